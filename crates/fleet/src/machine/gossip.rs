//! Gossip of member changes: each is sent to random members until it reaches the retransmit limit.

use super::parameters::GOSSIP_INTERVAL_MS;
use super::Membership;
use crate::view::{MemberState, View};
use crate::wire::{Body, Entry};

/// Receivers of one round of gossip.
const GOSSIP_FANOUT: usize = 2;
/// Seconds' worth of the send rate that gossip leaves in the budget for pings and answers.
const RESERVED_BUDGET_S: f64 = 0.1;

impl Membership {
    pub(super) fn enqueue_gossip(&mut self, index: usize) {
        self.enqueue_gossip_with(index, false);
    }

    /// Queues a member's state for gossip; `refuted` gives it the highest priority.
    pub(super) fn enqueue_gossip_with(&mut self, index: usize, refuted: bool) {
        self.dequeue_gossip(index);
        if self.view.len() < 2 || (self.yielded && index == self.own_index) {
            return;
        }
        let priority = match self.view.member(index).state {
            // A refutation must spread faster than the claim that it refutes.
            _ if index == self.own_index || refuted => 0,
            MemberState::Suspect | MemberState::Leaving => 1,
            MemberState::Gone => 2,
            MemberState::Alive | MemberState::Unknown => 3,
        };
        self.gossip_queue.insert((priority, 0, index));
        self.gossip_keys.insert(index, (priority, 0));
    }

    pub(super) fn dequeue_gossip(&mut self, index: usize) {
        if let Some((priority, transmissions)) = self.gossip_keys.remove(&index) {
            self.gossip_queue.remove(&(priority, transmissions, index));
        }
    }

    pub(super) fn run_gossip(&mut self) {
        if self.yielded
            || self.now_ms < self.last_gossip_ms + GOSSIP_INTERVAL_MS
            || (self.gossip_queue.is_empty() && !self.has_votes_to_send())
        {
            return;
        }
        self.last_gossip_ms = self.now_ms;
        for _ in 0..GOSSIP_FANOUT {
            if self.send_budget < RESERVED_BUDGET_S * self.send_rate_per_s {
                self.counts.rate_limited += 1;
                return;
            }
            if let Some(index) =
                self.random_member(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
            {
                self.send(index, Body::Gossip, false);
            }
        }
    }

    /// The entries that fit into `free_bytes`: first the receiver's own if it is not held to be alive, then the queue by
    /// priority, and within a priority by the fewest transmissions. Counts the transmissions.
    pub(super) fn select_gossip(&mut self, to: usize, mut free_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let base = self.incarnation;
        let entry = |view: &View, index: usize| {
            let member = view.member(index);
            let claim = member.claim()?;
            Some(Entry::new(view.roster_entry(index).number, claim, member.incarnation, member.epoch, base))
        };
        let receiver_accused =
            !matches!(self.view.member(to).state, MemberState::Alive | MemberState::Unknown);
        if let Some(accusation) = entry(&self.view, to).filter(|_| receiver_accused) {
            free_bytes = free_bytes.saturating_sub(accusation.byte_len());
            entries.push(accusation);
        }
        let mut transmitted = Vec::new();
        for (priority, transmissions, index) in &self.gossip_queue {
            // The receiver knows its own state, so its entry is not sent but counts as transmitted: otherwise, with only
            // two members alive, their entries about each other would stay queued for ever and use up the send budget.
            if *index == to {
                transmitted.push((*priority, *transmissions, *index));
                continue;
            }
            let Some(selected) = entry(&self.view, *index) else { continue };
            let bytes = selected.byte_len();
            if bytes > free_bytes {
                break;
            }
            free_bytes -= bytes;
            entries.push(selected);
            transmitted.push((*priority, *transmissions, *index));
        }
        for (priority, transmissions, index) in transmitted {
            self.gossip_queue.remove(&(priority, transmissions, index));
            if transmissions + 1 < self.retransmit_limit {
                self.gossip_queue.insert((priority, transmissions + 1, index));
                self.gossip_keys.insert(index, (priority, transmissions + 1));
            } else {
                self.gossip_keys.remove(&index);
            }
        }
        entries
    }

    /// The entries of these members that fit into `free_bytes`.
    pub(super) fn entries_for(&self, members: &[usize], mut free_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        for index in members {
            let member = self.view.member(*index);
            let Some(claim) = member.claim() else { continue };
            let number = self.view.roster_entry(*index).number;
            let entry = Entry::new(number, claim, member.incarnation, member.epoch, self.incarnation);
            if entry.byte_len() > free_bytes {
                break;
            }
            free_bytes -= entry.byte_len();
            entries.push(entry);
        }
        entries
    }
}
