//! A leader's way of putting claims on the log: few entries are under way at a time, and what comes meanwhile goes with the
//! next one.

use crate::entry::{Claim, OperationsEntry, Takeover};
use crate::table::OperationTable;
use nickeljunction_messages::{ClaimAnswer, ClaimCall};
use std::collections::{BTreeSet, VecDeque};

/// Claims of one entry at most: some 12 kB.
const MOST_CLAIMS: usize = 256;
/// Claims that wait for their entry at most.
const MOST_WAITING: usize = 4_096;
/// Entries under way at a time.
const MOST_UNDER_WAY: usize = 1;
/// Between the beginnings of two entries, ms: each costs a message to every member and back, and a sync at each.
const ENTRY_EVERY_MS: u64 = 10;

/// A claim whose caller waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingClaim {
    /// The call.
    pub call: ClaimCall,
    /// Names the caller.
    pub ticket: u64,
    /// Last moment for its answer, ms.
    pub deadline: u64,
}

impl WaitingClaim {
    /// Its answer, once the entry with it is applied; `None`: it waited for too long, and whoever asked may have given up.
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

/// Claims that are put on the log in one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    number: u64,
    /// In the order in which they came.
    pub claims: Vec<WaitingClaim>,
}

impl Batch {
    /// As an entry of the log.
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

/// See the module. It outlives the lead, as entries under way do.
#[derive(Debug, Clone, Default)]
pub struct ClaimBatcher {
    waiting: VecDeque<WaitingClaim>,
    /// Numbers of batches.
    under_way: BTreeSet<u64>,
    next_number: u64,
    /// The next batch doesn't begin before.
    next_at: u64,
}

impl ClaimBatcher {
    /// A claim came; false where too many wait, and it isn't taken.
    pub fn enqueue(&mut self, claim: WaitingClaim) -> bool {
        let has_room = self.waiting.len() < MOST_WAITING;
        if has_room {
            self.waiting.push_back(claim);
        }
        has_room
    }

    /// Claims that wait for their entry.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// What is to be put on the log now, if anything; [`ClaimBatcher::settled`] is to be told of it.
    pub fn next_batch(&mut self, now: u64) -> Option<Batch> {
        if self.next_batch_at()? > now {
            return None;
        }
        self.next_at = now + ENTRY_EVERY_MS;
        let count = self.waiting.len().min(MOST_CLAIMS);
        let claims = self.waiting.drain(..count).collect();
        self.next_number += 1;
        self.under_way.insert(self.next_number);
        Some(Batch { number: self.next_number, claims })
    }

    /// A batch is on the log, or was given up.
    pub fn finish_batch(&mut self, batch: &Batch) {
        self.under_way.remove(&batch.number);
    }

    /// When [`ClaimBatcher::next_batch`] gives one; `None`: nothing waits, or an entry is under way.
    fn next_batch_at(&self) -> Option<u64> {
        let is_due = !self.waiting.is_empty() && self.under_way.len() < MOST_UNDER_WAY;
        is_due.then_some(self.next_at)
    }

    /// When there is something to do: a batch to begin, or a claim whose last moment has come, ms.
    pub fn next_deadline(&self) -> Option<u64> {
        let until = self.waiting.front().map(|claim| claim.deadline);
        self.next_batch_at().into_iter().chain(until).min()
    }

    /// Takes out the claims whose last moment has come.
    pub fn drain_expired(&mut self, now: u64) -> Vec<WaitingClaim> {
        let late = self.waiting.partition_point(|claim| claim.deadline <= now);
        self.waiting.drain(..late).collect()
    }

    /// Takes out all that wait: this member leads no more.
    pub fn drain_waiting(&mut self) -> Vec<WaitingClaim> {
        self.waiting.drain(..).collect()
    }

    /// This caller waits no more.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|claim| claim.ticket != ticket);
    }
}
