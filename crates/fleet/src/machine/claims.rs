//! What other gateways claim of a member, and of this gateway itself.

use super::parameters::{HEALTH_MOST, MARK_BITS};
use super::{Cause, Change, Membership};
use crate::view::MemberState;
use crate::wire::{Claim, Entry};

/// Claims of a living rival to this gateway's number after which it counts as one: the first may be a life of before,
/// whose clock was ahead.
const RIVAL_CLAIMS: u32 = 2;
/// Changes that wait to be told at most; older ones are dropped, and the figures still count them.
const CHANGES_MOST: usize = 1_024;

impl Membership {
    pub(super) fn hear_claim(&mut self, teller: u16, entry: &Entry, base: u64) {
        let incarnation = entry.incarnation(base);
        let Some(at) = self.view.index_of(entry.number) else { return };
        if at == self.at {
            return self.hear_claim_on_self(teller, entry.claim, incarnation);
        }
        let member = self.view.member(at);
        let held = member.claim().map_or((0, 0), |claim| (member.incarnation, claim.rank() + 1));
        if (incarnation, entry.claim.rank() + 1) <= held {
            if let Claim::Suspect(by) = entry.claim {
                if incarnation == member.incarnation && member.state == MemberState::Suspect {
                    self.confirm_suspicion(at, by);
                }
            }
            return;
        }
        let cause = Cause::ReportedBy(teller);
        match entry.claim {
            Claim::Alive => self.set_state(at, MemberState::Alive, incarnation, entry.epoch, cause),
            Claim::Leaving => self.set_state(at, MemberState::Leaving, incarnation, entry.epoch, cause),
            Claim::Gone => self.set_state(at, MemberState::Gone, incarnation, entry.epoch, cause),
            Claim::Suspect(by) => {
                if incarnation > member.incarnation {
                    self.set_state(at, MemberState::Alive, incarnation, entry.epoch, cause);
                }
                self.suspect(at, by, cause);
            }
        }
    }

    /// What others hold of this gateway's own number.
    pub(super) fn hear_claim_on_self(&mut self, teller: u16, claim: Claim, incarnation: u64) {
        if self.yielded {
            // The one that stayed has left or died: the number is free again.
            if matches!(claim, Claim::Gone | Claim::Leaving) && incarnation >= self.incarnation {
                (self.yielded, self.rival_claims) = (false, 0);
                self.raise_incarnation(incarnation);
                self.announce_self(MemberState::Alive, Cause::Refuted(teller));
            }
            return;
        }
        let state = if self.leaving { MemberState::Leaving } else { MemberState::Alive };
        if incarnation > self.incarnation {
            // Nobody but a process of this number claims a life: one of before whose clock was ahead, or one beside.
            self.rival_claims += 1;
            let rival = self.rival_claims >= RIVAL_CLAIMS;
            let mark = |incarnation: u64| incarnation & ((1 << MARK_BITS) - 1);
            if rival && mark(incarnation) < mark(self.incarnation) {
                self.yielded = true;
                self.probes.clear();
                self.incarnation = incarnation;
                self.view.set(self.now, self.at, MemberState::Alive, incarnation, self.epoch);
                self.forget_news(self.at);
                return self.record_change(self.at, state, Cause::YieldedNumber);
            }
            self.raise_incarnation(incarnation);
            self.announce_self(state, if rival { Cause::DuplicateNumber } else { Cause::ClockWentBackwards });
        } else if incarnation == self.incarnation
            && claim.rank() > 0
            && !(self.leaving && claim == Claim::Leaving)
        {
            self.counts.refuted += 1;
            self.health = (self.health + 1).min(HEALTH_MOST);
            self.raise_incarnation(incarnation);
            self.announce_self(state, Cause::Refuted(teller));
        }
    }

    /// A higher incarnation than `over`, with this life's mark.
    pub(super) fn raise_incarnation(&mut self, over: u64) {
        let mark = self.incarnation & ((1 << MARK_BITS) - 1);
        self.incarnation = (((over >> MARK_BITS) + 1) << MARK_BITS) | mark;
    }

    pub(super) fn announce_self(&mut self, state: MemberState, cause: Cause) {
        let from = self.view.set(self.now, self.at, state, self.incarnation, self.epoch);
        self.record_change(self.at, from, cause);
        self.spread(self.at);
    }

    /// A member has another state or life.
    pub(super) fn set_state(
        &mut self,
        at: usize,
        state: MemberState,
        incarnation: u64,
        epoch: u32,
        cause: Cause,
    ) {
        let member = self.view.member(at);
        let same_life = (incarnation >> MARK_BITS) != (member.incarnation >> MARK_BITS)
            && (incarnation ^ member.incarnation) & ((1 << MARK_BITS) - 1) == 0;
        if member.state == MemberState::Gone && state == MemberState::Alive && same_life {
            self.counts.false_positives += 1;
        }
        self.suspicions.remove(&at);
        let from = self.view.set(self.now, at, state, incarnation, epoch);
        self.record_change(at, from, cause);
        // Taken back: else, with much to tell, word of the suspicion would outrun it everywhere.
        self.spread_as(
            at,
            matches!(from, MemberState::Suspect | MemberState::Gone) && state == MemberState::Alive,
        );
    }
    pub(super) fn record_change(&mut self, at: usize, from: MemberState, cause: Cause) {
        let to = self.view.member(at).state;
        if self.changes.len() >= CHANGES_MOST {
            self.changes.pop_front();
        }
        self.changes.push_back(Change {
            at_ms: self.now,
            number: self.view.roster_entry(at).number,
            from,
            to,
            cause,
        });
    }
}
