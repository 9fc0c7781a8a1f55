//! Suspicion of members that do not answer, with Lifeguard's dynamic time-out.

use super::pending::Suspicion;
use super::{Cause, Membership};
use crate::view::MemberState;
use crate::wire::Body;
use std::collections::BTreeSet;

/// Shortest and longest suspicion, in slots; independent accusers shorten it.
const MIN_SUSPICION_SLOTS: f64 = 2.4;
const MAX_SUSPICION_SLOTS: f64 = 8.0;
/// Accusers in addition to the first that reduce the suspicion to its shortest.
const CONFIRMATIONS: usize = 2;

impl Membership {
    pub(super) fn suspect(&mut self, index: usize, by: u16, cause: Cause) {
        match self.view.member(index).state {
            MemberState::Alive => {}
            MemberState::Suspect => return self.confirm_suspicion(index, by),
            // An unknown member cannot be suspected, nor one that has left or is gone.
            MemberState::Unknown | MemberState::Leaving | MemberState::Gone => return,
        }
        self.counts.suspected += u64::from(by == self.own_number);
        let (incarnation, epoch) = (self.view.member(index).incarnation, self.view.member(index).epoch);
        let from = self.view.set(self.now_ms, index, MemberState::Suspect, incarnation, epoch);
        self.view.member_mut(index).suspected_by = by;
        self.suspicions.insert(index, Suspicion { since_ms: self.now_ms, accusers: BTreeSet::from([by]) });
        self.record_change(index, from, cause);
        self.enqueue_gossip(index);
        // Inform the suspect at once: if it is alive it can refute the suspicion before anyone acts on it.
        if by == self.own_number {
            self.send(index, Body::Gossip, false);
        }
    }

    /// Adds an accuser to a suspicion.
    pub(super) fn confirm_suspicion(&mut self, index: usize, by: u16) {
        let Some(suspicion) = self.suspicions.get_mut(&index) else { return };
        if suspicion.accusers.len() <= CONFIRMATIONS && suspicion.accusers.insert(by) {
            self.view.member_mut(index).suspected_by = by;
            self.enqueue_gossip(index);
        }
    }

    /// When a suspicion times out. As in Lifeguard, the time-out falls logarithmically with the number of accusers.
    pub(super) fn suspicion_ends_ms(&self, suspicion: &Suspicion) -> f64 {
        let others = self.view.count(MemberState::Alive).saturating_sub(1);
        let max_confirmations = CONFIRMATIONS.min(others);
        let confirmations = suspicion.accusers.len() - 1;
        let reduction = if max_confirmations == 0 {
            1.0
        } else {
            ((confirmations + 1) as f64).ln() / ((max_confirmations + 1) as f64).ln()
        };
        let slots = MAX_SUSPICION_SLOTS - (MAX_SUSPICION_SLOTS - MIN_SUSPICION_SLOTS) * reduction.min(1.0);
        suspicion.since_ms + slots * self.slot_ms * (1.0 + f64::from(self.local_health) / 4.0)
    }

    pub(super) fn run_suspicions(&mut self) {
        let due: Vec<usize> = (self.suspicions.iter())
            .filter(|(_, suspicion)| self.now_ms >= self.suspicion_ends_ms(suspicion))
            .map(|(index, _)| *index)
            .collect();
        for index in due {
            // Datagrams arrived from the member since, so it probably missed the suspicion: inform it again and restart
            // the time-out.
            let since_ms = self.suspicions[&index].since_ms;
            if self.view.member(index).last_received_ms > since_ms {
                if let Some(suspicion) = self.suspicions.get_mut(&index) {
                    suspicion.since_ms = self.now_ms;
                }
                self.send(index, Body::Gossip, false);
                continue;
            }
            let (incarnation, epoch) = (self.view.member(index).incarnation, self.view.member(index).epoch);
            self.set_state(index, MemberState::Gone, incarnation, epoch, Cause::SuspicionTimedOut);
        }
    }
}
