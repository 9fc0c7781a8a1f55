//! The leader's part of the model: the table of claims, the uncommitted part of the log, and the clock of the
//! generations. Consensus itself is tested in `consensus`; here an uncommitted entry may or may not survive a change of
//! the leader.

use super::Fault;
use nickeljunction_messages::{ClaimAnswer, ClaimCall};
use nickeljunction_operations::{
    Batch, ClaimBatcher, GenerationClock, OperationTable, OperationsEntry, WaitingClaim,
};
use std::collections::VecDeque;

pub const WINDOW_MS: u64 = 60_000;
/// Interval at which a leader checks its generations.
const CHECK_INTERVAL_MS: u64 = 5_000;
/// Difference between the clocks of successive leaders.
const LEADER_CLOCK_OFFSET_MS: u64 = 1_000_000;

/// The index of the request that an answer belongs to, its claim and the answer.
pub type ClaimReply = (usize, ClaimCall, ClaimAnswer);

#[derive(Debug, Clone)]
pub struct Core {
    pub table: OperationTable,
    /// The table without the most recent entry, as on a leader that has not applied it yet.
    lagging_table: OperationTable,
    /// Uncommitted entries, with the batch of callers that wait for each.
    uncommitted: VecDeque<(OperationsEntry, Option<Batch>)>,
    batcher: ClaimBatcher,
    /// Clock of the batcher; 0 while nothing waits.
    batch_ms: u64,
    clock: GenerationClock,
    leader_changes: u64,
}

impl Core {
    pub fn new() -> Core {
        Core {
            table: OperationTable::default(),
            lagging_table: OperationTable::default(),
            uncommitted: VecDeque::new(),
            batcher: ClaimBatcher::default(),
            batch_ms: 0,
            clock: GenerationClock::new(WINDOW_MS),
            leader_changes: 0,
        }
    }

    /// The immediate refusal by a leader that has not applied the most recent entry yet.
    pub fn lagging_refusal(&self, call: &ClaimCall) -> Option<ClaimAnswer> {
        self.lagging_table.refusal(call)
    }

    /// Delivers a claim for the request with this index to the leader.
    pub fn deliver_claim(&mut self, request: usize, call: ClaimCall, fault: Fault) -> Vec<ClaimReply> {
        if let Some(refusal) = self.table.refusal(&call) {
            return vec![(request, call, refusal)];
        }
        assert!(self.batcher.enqueue(WaitingClaim { call, ticket: request as u64, deadline: u64::MAX }));
        self.propose_batch(fault)
    }

    fn propose_batch(&mut self, fault: Fault) -> Vec<ClaimReply> {
        self.batch_ms += 10;
        let Some(batch) = self.batcher.next_batch(self.batch_ms) else { return Vec::new() };
        let mut early_replies = Vec::new();
        if fault == Fault::AnswerBeforeCommit {
            let mut table = self.table.clone();
            table.apply(&batch.to_entry());
            early_replies = replies(&batch, &table);
        }
        self.uncommitted.push_back((batch.to_entry(), Some(batch)));
        early_replies
    }

    pub fn has_uncommitted(&self) -> bool {
        !self.uncommitted.is_empty()
    }

    pub fn uncommitted_len(&self) -> usize {
        self.uncommitted.len()
    }

    /// Commits and applies the oldest uncommitted entry.
    pub fn commit(&mut self, fault: Fault) -> Vec<ClaimReply> {
        let Some((mut entry, batch)) = self.uncommitted.pop_front() else { return Vec::new() };
        if fault == Fault::UncheckedTakeover {
            for takeover in &mut entry.takeovers {
                let holder = self.table.holder(takeover.claim.operation);
                takeover.released = holder.unwrap_or(takeover.released);
            }
        }
        self.lagging_table = self.table.clone();
        self.apply(&entry);
        let Some(batch) = batch else { return Vec::new() };
        self.batcher.finish_batch(&batch);
        let mut replies = replies(&batch, &self.table);
        replies.extend(self.propose_batch(fault));
        self.reset_idle_batcher();
        replies
    }

    /// Applies the entry as every member does, from its serialized form.
    fn apply(&mut self, entry: &OperationsEntry) {
        let text = serde_json::to_string(entry).expect("JSON");
        self.table.apply(&serde_json::from_str(&text).expect("a serialized entry"));
    }

    /// All callers stop waiting for the uncommitted entries, which may still be committed later.
    pub fn time_out_callers(&mut self, fault: Fault) -> Vec<ClaimReply> {
        for (_, batch) in &mut self.uncommitted {
            batch.take().into_iter().for_each(|batch| self.batcher.finish_batch(&batch));
        }
        let replies = self.propose_batch(fault);
        self.reset_idle_batcher();
        replies
    }

    pub fn has_waiting_callers(&self) -> bool {
        self.uncommitted.iter().any(|(_, batch)| batch.is_some())
    }

    /// Another member becomes the leader. Its log has the first `kept` of the uncommitted entries.
    pub fn change_leader(&mut self, kept: usize, fault: Fault) {
        self.uncommitted.truncate(kept);
        self.uncommitted.iter_mut().for_each(|(_, batch)| *batch = None);
        self.batcher = ClaimBatcher::default();
        self.batch_ms = 0;
        self.leader_changes += 1;
        if fault != Fault::ClockKeptByNewLeader {
            self.clock = GenerationClock::new(WINDOW_MS);
        }
    }

    /// Resets the batcher if nobody waits, so that states that differ only in the numbers of finished batches are
    /// equal.
    fn reset_idle_batcher(&mut self) {
        if !self.has_waiting_callers() {
            (self.batcher, self.batch_ms) = (ClaimBatcher::default(), 0);
        }
    }

    /// Advances the time. An entry about generations also commits the entries before it on the log.
    pub fn advance_time(&mut self, from_ms: u64, to_ms: u64) {
        for now_ms in (from_ms + CHECK_INTERVAL_MS..=to_ms).step_by(CHECK_INTERVAL_MS as usize) {
            let leader_ms = now_ms + self.leader_changes * LEADER_CLOCK_OFFSET_MS;
            while let Some(entry) = self.clock.due_entry(leader_ms, &self.table) {
                while self.has_uncommitted() {
                    self.commit(Fault::None);
                }
                self.apply(&entry);
                self.lagging_table = self.table.clone();
            }
        }
    }
}

/// The answers to all claims of a batch that the table has decided.
fn replies(batch: &Batch, table: &OperationTable) -> Vec<ClaimReply> {
    let reply = |claim: &WaitingClaim| Some((claim.ticket as usize, claim.call, claim.answer(0, table)?));
    batch.claims.iter().filter_map(reply).collect()
}
