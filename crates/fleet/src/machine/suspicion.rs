//! Suspicions of members that do not answer, and how long each lasts (Lifeguard).

use super::pending::Suspicion;
use super::{Cause, Membership};
use crate::view::MemberState;
use crate::wire::Body;
use std::collections::BTreeSet;

/// Shortest and longest suspicion, in slots; independent accusers make it shorter.
const SUSPECT_LEAST: f64 = 2.4;
const SUSPECT_MOST: f64 = 8.0;
/// Accusers beside the first after which a suspicion is as short as can be.
const CONFIRMATIONS: usize = 2;

impl Membership {
    pub(super) fn suspect(&mut self, at: usize, by: u16, cause: Cause) {
        match self.view.member(at).state {
            MemberState::Alive => {}
            MemberState::Suspect => return self.confirm_suspicion(at, by),
            // Never heard of: nothing to suspect.
            MemberState::Unknown | MemberState::Leaving | MemberState::Gone => return,
        }
        self.counts.suspected += u64::from(by == self.me);
        let (incarnation, epoch) = (self.view.member(at).incarnation, self.view.member(at).epoch);
        let from = self.view.set(self.now, at, MemberState::Suspect, incarnation, epoch);
        self.view.contact(at).by = by;
        self.suspicions.insert(at, Suspicion { since: self.now, accusers: BTreeSet::from([by]) });
        self.record_change(at, from, cause);
        self.spread(at);
        // It hears of it from here at once: if it lives it takes it back before anyone acts on it.
        if by == self.me {
            self.send(at, Body::Gossip, false);
        }
    }

    /// One more gateway did not reach a suspect.
    pub(super) fn confirm_suspicion(&mut self, at: usize, by: u16) {
        let Some(suspicion) = self.suspicions.get_mut(&at) else { return };
        if suspicion.accusers.len() <= CONFIRMATIONS && suspicion.accusers.insert(by) {
            self.view.contact(at).by = by;
            self.spread(at);
        }
    }

    /// When a suspicion is over, ms: Lifeguard's fall from the longest to the shortest with the accusers.
    pub(super) fn suspicion_ends(&self, suspicion: &Suspicion) -> f64 {
        let others = self.view.count(MemberState::Alive).saturating_sub(1);
        let wanted = CONFIRMATIONS.min(others);
        let heard = suspicion.accusers.len() - 1;
        let fall = if wanted == 0 { 1.0 } else { ((heard + 1) as f64).ln() / ((wanted + 1) as f64).ln() };
        let slots = SUSPECT_MOST - (SUSPECT_MOST - SUSPECT_LEAST) * fall.min(1.0);
        suspicion.since + slots * self.slot_ms * (1.0 + f64::from(self.health) / 4.0)
    }

    pub(super) fn run_suspicions(&mut self) {
        let due: Vec<usize> = (self.suspicions.iter())
            .filter(|(_, suspicion)| self.now >= self.suspicion_ends(suspicion))
            .map(|(at, _)| *at)
            .collect();
        for at in due {
            // It was heard meanwhile, and has not heard that it is suspected: that is told again, not acted on.
            let since = self.suspicions[&at].since;
            if self.view.member(at).last_received_ms > since {
                if let Some(suspicion) = self.suspicions.get_mut(&at) {
                    suspicion.since = self.now;
                }
                self.send(at, Body::Gossip, false);
                continue;
            }
            let (incarnation, epoch) = (self.view.member(at).incarnation, self.view.member(at).epoch);
            self.set_state(at, MemberState::Gone, incarnation, epoch, Cause::SuspicionTimedOut);
        }
    }
}
