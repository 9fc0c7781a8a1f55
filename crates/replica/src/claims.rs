//! Claims of keyed operations. By its lease a leader may only refuse a claim; it grants a claim once the log has it.

use crate::effects::{Answer, Ticket};
use crate::pending_calls::Proposal;
use crate::replica::Replica;
use crate::state::Entry;
use nickeljunction_messages::{ClaimAnswer, ClaimCall, LeaderRedirect};
use nickeljunction_operations::{Batch, WaitingClaim};

/// How long a claim waits for the log, ms. After that the gateway has given up and repeats the claim unchanged.
const CLAIM_TIMEOUT_MS: u64 = 600;

/// The reply to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The claim is refused with this answer.
    Immediate(ClaimAnswer),
    /// The claim is put on the log; [`Answer::Claim`] or [`Answer::Unknown`] follows by this ticket.
    Pending(Ticket),
}

impl Replica {
    /// A gateway claims an operation.
    ///
    /// # Errors
    /// This member doesn't lead, or can't be sure that it still does.
    pub fn claim(&mut self, now: u64, call: &ClaimCall) -> Result<ClaimReply, LeaderRedirect> {
        self.with_lead(now, |_, _| ())?;
        if let Some(refusal) = self.state.operations().refusal(call) {
            return Ok(ClaimReply::Immediate(refusal));
        }
        let ticket = self.new_ticket();
        if self.claims.enqueue(WaitingClaim { call: *call, ticket, deadline: now + CLAIM_TIMEOUT_MS }) {
            self.flush_claims(now);
            self.effects.wake_changed = true;
        } else {
            self.effects.answers.push((ticket, Answer::Unknown));
        }
        Ok(ClaimReply::Pending(ticket))
    }

    /// Proposes the waiting claims if a batch is due.
    pub(crate) fn flush_claims(&mut self, now: u64) {
        if self.propose_claims(now) {
            self.advance(now, |_| ());
        }
    }

    /// As [`Replica::flush_claims`], but if this returns true the caller has to call [`Replica::advance`].
    fn propose_claims(&mut self, now: u64) -> bool {
        let Some(batch) = self.claims.next_batch(now) else { return false };
        let entry = Entry::Operations(batch.to_entry());
        self.propose(now, &entry, now + CLAIM_TIMEOUT_MS, Proposal::Claims(batch));
        true
    }

    /// Answers the claims of an entry that is decided. One that is not known to be on the log may still get there, so its
    /// gateways repeat their claims.
    pub(crate) fn claims_settled(&mut self, now: u64, batch: &Batch, is_logged: bool) {
        self.claims.finish_batch(batch);
        let table = self.state.operations();
        for claim in &batch.claims {
            let answer = claim.answer(now, table).filter(|_| is_logged);
            self.effects.answers.push((claim.ticket, answer.map_or(Answer::Unknown, Answer::Claim)));
        }
        if self.lead.is_some() {
            self.propose_claims(now);
        }
    }

    /// Answers the claims whose deadline passed before they got into an entry.
    pub(crate) fn expire_claims(&mut self, now: u64) {
        let expired = self.claims.drain_expired(now);
        self.effects.answers.extend(expired.iter().map(|claim| (claim.ticket, Answer::Unknown)));
    }

    /// Redirects the waiting claims: this member no longer leads, so it does not propose them.
    pub(crate) fn redirect_waiting_claims(&mut self) {
        let redirect = Answer::NotLeader(self.leader_redirect());
        let waiting = self.claims.drain_waiting();
        self.effects.answers.extend(waiting.iter().map(|claim| (claim.ticket, redirect.clone())));
    }

    /// Proposes to close or forget generations that are due.
    pub(crate) fn maintain_generations(&mut self, now: u64) {
        let Some(lead) = self.lead.as_mut().filter(|lead| !lead.generations_in_flight) else { return };
        let Some(entry) = lead.generations.due_entry(now, self.state.operations()) else { return };
        lead.generations_in_flight = true;
        self.propose_own(now, &Entry::Operations(entry), Proposal::Generations);
        self.advance(now, |_| ());
    }

    pub(crate) fn generations_settled(&mut self) {
        if let Some(lead) = &mut self.lead {
            lead.generations_in_flight = false;
        }
    }
}
