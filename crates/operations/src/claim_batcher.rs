//! Batches claims on the leader: few log entries are in flight at a time, and claims that arrive meanwhile wait for
//! the next entry.

use crate::entry::{Claim, OperationsEntry, Takeover};
use crate::table::OperationTable;
use nickeljunction_messages::{ClaimAnswer, ClaimCall};
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of claims in one entry: about 12 kB.
const MAX_BATCH_CLAIMS: usize = 256;
/// Maximum number of claims that wait for an entry.
const MAX_WAITING: usize = 4_096;
/// Maximum number of entries in flight.
const MAX_IN_FLIGHT: usize = 1;
/// Minimum time between the starts of two entries, ms: each entry costs a round trip to every member, and a disk sync
/// at each.
const ENTRY_INTERVAL_MS: u64 = 10;

/// A claim whose caller waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingClaim {
    /// The caller's claim.
    pub call: ClaimCall,
    /// Identifies the caller.
    pub ticket: u64,
    /// Latest time for the answer, ms.
    pub deadline: u64,
}

impl WaitingClaim {
    /// The answer, after the entry with the claim was applied; `None` after the deadline, as the caller may have
    /// given up.
    pub fn answer(&self, now: u64, table: &OperationTable) -> Option<ClaimAnswer> {
        if now > self.deadline {
            return None;
        }
        let holder = table.holder(self.call.operation);
        let is_free = holder.is_none() || holder == self.call.released;
        match holder {
            Some(holder) if holder == self.call.claimant => Some(ClaimAnswer::Granted),
            _ if is_free && table.is_full() => Some(ClaimAnswer::Full),
            other => other.map(ClaimAnswer::Held),
        }
    }
}

/// Claims that are proposed in one log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    number: u64,
    /// In order of arrival.
    pub claims: Vec<WaitingClaim>,
}

impl Batch {
    /// The log entry with these claims.
    pub fn to_entry(&self) -> OperationsEntry {
        let mut entry = OperationsEntry::default();
        for WaitingClaim { call, .. } in &self.claims {
            let claim = Claim { operation: call.operation, claimant: call.claimant };
            match call.released {
                None => entry.claims.push(claim),
                Some(released) => entry.takeovers.push(Takeover { claim, released }),
            }
        }
        entry
    }
}

/// The queue of claims and the batches in flight. It persists when the leader loses its role, because entries in flight
/// do, too.
#[derive(Debug, Clone, Default)]
pub struct ClaimBatcher {
    waiting: VecDeque<WaitingClaim>,
    /// Numbers of the proposed batches.
    in_flight: BTreeSet<u64>,
    next_number: u64,
    /// Earliest time of the next batch, ms.
    next_batch_not_before: u64,
}

impl ClaimBatcher {
    /// Queues a claim; returns false if the queue is full.
    pub fn enqueue(&mut self, claim: WaitingClaim) -> bool {
        let has_room = self.waiting.len() < MAX_WAITING;
        if has_room {
            self.waiting.push_back(claim);
        }
        has_room
    }

    /// Number of claims that wait for an entry.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the batch to propose now, if any. The caller must report its end to [`ClaimBatcher::finish_batch`].
    pub fn next_batch(&mut self, now: u64) -> Option<Batch> {
        if self.next_batch_due()? > now {
            return None;
        }
        self.next_batch_not_before = now + ENTRY_INTERVAL_MS;
        let count = self.waiting.len().min(MAX_BATCH_CLAIMS);
        let claims = self.waiting.drain(..count).collect();
        self.next_number += 1;
        self.in_flight.insert(self.next_number);
        Some(Batch { number: self.next_number, claims })
    }

    /// Ends a batch: its entry was committed, or the leader gave it up.
    pub fn finish_batch(&mut self, batch: &Batch) {
        self.in_flight.remove(&batch.number);
    }

    /// Time from which [`ClaimBatcher::next_batch`] returns a batch; `None` if no claim waits or too many entries are
    /// in flight.
    fn next_batch_due(&self) -> Option<u64> {
        let can_start = !self.waiting.is_empty() && self.in_flight.len() < MAX_IN_FLIGHT;
        can_start.then_some(self.next_batch_not_before)
    }

    /// Time of the next batch or of the oldest claim's deadline, whichever is earlier, ms.
    pub fn next_deadline(&self) -> Option<u64> {
        let deadline = self.waiting.front().map(|claim| claim.deadline);
        self.next_batch_due().into_iter().chain(deadline).min()
    }

    /// Removes and returns the waiting claims whose deadline has passed.
    pub fn drain_expired(&mut self, now: u64) -> Vec<WaitingClaim> {
        let expired = self.waiting.partition_point(|claim| claim.deadline <= now);
        self.waiting.drain(..expired).collect()
    }

    /// Removes and returns all waiting claims; called when this member is no longer the leader.
    pub fn drain_waiting(&mut self) -> Vec<WaitingClaim> {
        self.waiting.drain(..).collect()
    }

    /// Removes the claim of a caller that no longer waits.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|claim| claim.ticket != ticket);
    }
}
