//! Claims of keyed operations: a leader answers that one is held by its lease, and grants by the log alone.

use crate::effects::{Answer, Ticket};
use crate::pending_calls::Proposed;
use crate::replica::Replica;
use crate::state::Entry;
use nickeljunction_messages::{ClaimAnswer, ClaimCall, LeaderRedirect};
use nickeljunction_operations::{Batch, WaitingClaim};

/// How long a claim waits for the log, ms. A later answer would find nobody: who asked repeats the claim unchanged.
const CLAIM_MS: u64 = 600;

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// Its answer: it could not be granted.
    Immediate(ClaimAnswer),
    /// It goes on the log; [`Answer::Claim`] or [`Answer::Unknown`] comes by this ticket.
    Pending(Ticket),
}

impl Replica {
    /// A gateway claims an operation.
    ///
    /// # Errors
    /// This member doesn't lead, or is not sure of it.
    pub fn claim(&mut self, now: u64, call: &ClaimCall) -> Result<ClaimReply, LeaderRedirect> {
        self.with_lead(now, |_, _| ())?;
        if let Some(refusal) = self.state.operations().refusal(call) {
            return Ok(ClaimReply::Immediate(refusal));
        }
        let ticket = self.ticket();
        if self.claims.enqueue(WaitingClaim { call: *call, ticket, deadline: now + CLAIM_MS }) {
            self.turn_claims(now);
            self.out.wake_changed = true;
        } else {
            self.out.answers.push((ticket, Answer::Unknown));
        }
        Ok(ClaimReply::Pending(ticket))
    }

    /// Puts the claims that wait on the log, where it is time for that.
    pub(crate) fn turn_claims(&mut self, now: u64) {
        if self.propose_claims(now) {
            self.turn(now, |_| ());
        }
    }

    /// The same, to be followed by a turn where it is true.
    fn propose_claims(&mut self, now: u64) -> bool {
        let Some(batch) = self.claims.next_batch(now) else { return false };
        let entry = Entry::Operations(batch.to_entry());
        self.propose(now, &entry, now + CLAIM_MS, Proposed::Claims(batch));
        true
    }

    /// What became of an entry with claims. One that is not known to be on the log may still get there: who asked repeats
    /// its claim.
    pub(crate) fn claims_settled(&mut self, now: u64, batch: &Batch, is_logged: bool) {
        self.claims.finish_batch(batch);
        let table = self.state.operations();
        for claim in &batch.claims {
            let answer = claim.answer(now, table).filter(|_| is_logged);
            self.out.answers.push((claim.ticket, answer.map_or(Answer::Unknown, Answer::Claim)));
        }
        if self.lead.is_some() {
            self.propose_claims(now);
        }
    }

    /// Answers the claims that have waited for too long without getting into an entry.
    pub(crate) fn give_up_late_claims(&mut self, now: u64) {
        let late = self.claims.drain_expired(now);
        self.out.answers.extend(late.iter().map(|claim| (claim.ticket, Answer::Unknown)));
    }

    /// This member leads no more: nobody here puts the claims that wait on the log.
    pub(crate) fn hand_over_claims(&mut self) {
        let elsewhere = Answer::NotLeader(self.leader_redirect());
        let waiting = self.claims.drain_waiting();
        self.out.answers.extend(waiting.iter().map(|claim| (claim.ticket, elsewhere.clone())));
    }

    /// Has generations closed and forgotten.
    pub(crate) fn age_generations(&mut self, now: u64) {
        let Some(lead) = self.lead.as_mut().filter(|lead| !lead.generations_under_way) else { return };
        let Some(entry) = lead.generations.due_entry(now, self.state.operations()) else { return };
        lead.generations_under_way = true;
        self.propose_own(now, &Entry::Operations(entry), Proposed::Generations);
        self.turn(now, |_| ());
    }

    /// The entry on generations is on the log, or was given up.
    pub(crate) fn generations_settled(&mut self) {
        if let Some(lead) = &mut self.lead {
            lead.generations_under_way = false;
        }
    }
}
