//! Processing of claims by other gateways about a member, or about this gateway.

use super::parameters::{MAX_LOCAL_HEALTH, PROCESS_MARK_BITS};
use super::{Cause, Change, Membership};
use crate::view::MemberState;
use crate::wire::{Claim, Entry};

/// Claims with a higher incarnation of this gateway's number after which another process is assumed to use the number:
/// the first claim may stem from an earlier process whose clock was ahead.
const DUPLICATE_CLAIMS_THRESHOLD: u32 = 2;
/// Changes queued for the embedding program; the oldest are dropped, but the counters still include them.
const MAX_QUEUED_CHANGES: usize = 1_024;

impl Membership {
    /// Applies a reported claim if it supersedes the present one: by a higher incarnation, or by a higher rank at the
    /// same incarnation.
    pub(super) fn apply_claim(&mut self, reporter: u16, entry: &Entry, base: u64) {
        let incarnation = entry.incarnation(base);
        let Some(index) = self.view.index_of(entry.number) else { return };
        if index == self.own_index {
            return self.apply_claim_about_self(reporter, entry.claim, incarnation);
        }
        let member = self.view.member(index);
        let current = member.claim().map_or((0, 0), |claim| (member.incarnation, claim.rank() + 1));
        if (incarnation, entry.claim.rank() + 1) <= current {
            if let Claim::Suspect(by) = entry.claim {
                if incarnation == member.incarnation && member.state == MemberState::Suspect {
                    self.confirm_suspicion(index, by);
                }
            }
            return;
        }
        let cause = Cause::ReportedBy(reporter);
        match entry.claim {
            Claim::Alive => self.set_state(index, MemberState::Alive, incarnation, entry.epoch, cause),
            Claim::Leaving => self.set_state(index, MemberState::Leaving, incarnation, entry.epoch, cause),
            Claim::Gone => self.set_state(index, MemberState::Gone, incarnation, entry.epoch, cause),
            Claim::Suspect(by) => {
                if incarnation > member.incarnation {
                    self.set_state(index, MemberState::Alive, incarnation, entry.epoch, cause);
                }
                self.suspect(index, by, cause);
            }
        }
    }

    /// Refutes what others claim about this gateway's own number, and detects another process with the number.
    pub(super) fn apply_claim_about_self(&mut self, reporter: u16, claim: Claim, incarnation: u64) {
        if self.yielded {
            // The process that kept the number has left or died, which frees the number.
            if matches!(claim, Claim::Gone | Claim::Leaving) && incarnation >= self.incarnation {
                (self.yielded, self.duplicate_claims) = (false, 0);
                self.raise_incarnation(incarnation);
                self.announce_self(MemberState::Alive, Cause::Refuted(reporter));
            }
            return;
        }
        let state = if self.leaving { MemberState::Leaving } else { MemberState::Alive };
        if incarnation > self.incarnation {
            // Only a process with this number creates an incarnation: an earlier one whose clock was ahead, or another
            // one that runs now.
            self.duplicate_claims += 1;
            let duplicate = self.duplicate_claims >= DUPLICATE_CLAIMS_THRESHOLD;
            let mark = |incarnation: u64| incarnation & ((1 << PROCESS_MARK_BITS) - 1);
            if duplicate && mark(incarnation) < mark(self.incarnation) {
                self.yielded = true;
                self.probes.clear();
                self.incarnation = incarnation;
                self.view.set(self.now_ms, self.own_index, MemberState::Alive, incarnation, self.epoch);
                self.dequeue_gossip(self.own_index);
                return self.record_change(self.own_index, state, Cause::YieldedNumber);
            }
            self.raise_incarnation(incarnation);
            self.announce_self(
                state,
                if duplicate { Cause::DuplicateNumber } else { Cause::ClockWentBackwards },
            );
        } else if incarnation == self.incarnation
            && claim.rank() > 0
            && !(self.leaving && claim == Claim::Leaving)
        {
            self.counts.refuted += 1;
            self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
            self.raise_incarnation(incarnation);
            self.announce_self(state, Cause::Refuted(reporter));
        }
    }

    /// Sets an incarnation above `floor` with the mark of this process.
    pub(super) fn raise_incarnation(&mut self, floor: u64) {
        let mark = self.incarnation & ((1 << PROCESS_MARK_BITS) - 1);
        self.incarnation = (((floor >> PROCESS_MARK_BITS) + 1) << PROCESS_MARK_BITS) | mark;
    }

    pub(super) fn announce_self(&mut self, state: MemberState, cause: Cause) {
        let from = self.view.set(self.now_ms, self.own_index, state, self.incarnation, self.epoch);
        self.record_change(self.own_index, from, cause);
        self.enqueue_gossip(self.own_index);
    }

    /// Sets a member's state, incarnation and epoch, ends its suspicion and gossips the change.
    pub(super) fn set_state(
        &mut self,
        index: usize,
        state: MemberState,
        incarnation: u64,
        epoch: u32,
        cause: Cause,
    ) {
        let member = self.view.member(index);
        let same_process = (incarnation >> PROCESS_MARK_BITS) != (member.incarnation >> PROCESS_MARK_BITS)
            && (incarnation ^ member.incarnation) & ((1 << PROCESS_MARK_BITS) - 1) == 0;
        if member.state == MemberState::Gone && state == MemberState::Alive && same_process {
            self.counts.false_positives += 1;
        }
        self.suspicions.remove(&index);
        let from = self.view.set(self.now_ms, index, state, incarnation, epoch);
        self.record_change(index, from, cause);
        // A refutation has priority: with a long gossip queue the suspicion would otherwise arrive before it everywhere.
        self.enqueue_gossip_with(
            index,
            matches!(from, MemberState::Suspect | MemberState::Gone) && state == MemberState::Alive,
        );
    }

    pub(super) fn record_change(&mut self, index: usize, from: MemberState, cause: Cause) {
        let to = self.view.member(index).state;
        if self.changes.len() >= MAX_QUEUED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change {
            at_ms: self.now_ms,
            number: self.view.roster_entry(index).number,
            from,
            to,
            cause,
        });
    }
}
