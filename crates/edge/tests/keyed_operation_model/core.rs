//! The leader's side: the table of claims, the part of the log that isn't committed, and the measure of ages. Agreement itself
//! is checked in `consensus`; here an entry that isn't committed may survive a change of leaders or not.

use super::Fault;
use nickeljunction_messages::{ClaimAnswer, ClaimCall};
use nickeljunction_operations::{
    Batch, ClaimBatcher, GenerationClock, OperationTable, OperationsEntry, WaitingClaim,
};
use std::collections::VecDeque;

pub const WINDOW_MS: u64 = 60_000;
/// Between two looks of a leader at its generations, ms.
const LOOK_MS: u64 = 5_000;
/// Each leader's clock is ahead of the one before by so much, ms.
const CLOCK_STEP_MS: u64 = 1_000_000;

/// An answer to the try of this number.
pub type Answered = (usize, ClaimCall, ClaimAnswer);

#[derive(Debug, Clone)]
pub struct Core {
    pub table: OperationTable,
    /// The table of a leader that has yet to apply the newest entry.
    lagging: OperationTable,
    /// Entries that aren't committed, with the callers that wait for them.
    tail: VecDeque<(OperationsEntry, Option<Batch>)>,
    claims: ClaimBatcher,
    /// Of the claims' log: 0 where nothing waits.
    batch_ms: u64,
    clock: GenerationClock,
    leaders: u64,
}

impl Core {
    pub fn new() -> Core {
        Core {
            table: OperationTable::default(),
            lagging: OperationTable::default(),
            tail: VecDeque::new(),
            claims: ClaimBatcher::default(),
            batch_ms: 0,
            clock: GenerationClock::new(WINDOW_MS),
            leaders: 0,
        }
    }

    /// What a leader that has yet to apply the newest entry says at once.
    pub fn lagging_refusal(&self, call: &ClaimCall) -> Option<ClaimAnswer> {
        self.lagging.refusal(call)
    }

    /// A claim reaches the leader.
    pub fn claim(&mut self, from: usize, call: ClaimCall, fault: Fault) -> Vec<Answered> {
        if let Some(refusal) = self.table.refusal(&call) {
            return vec![(from, call, refusal)];
        }
        assert!(self.claims.enqueue(WaitingClaim { call, ticket: from as u64, deadline: u64::MAX }));
        self.propose(fault)
    }

    fn propose(&mut self, fault: Fault) -> Vec<Answered> {
        self.batch_ms += 10;
        let Some(batch) = self.claims.next_batch(self.batch_ms) else { return Vec::new() };
        let mut early = Vec::new();
        if fault == Fault::AnsweredBeforeCommit {
            let mut table = self.table.clone();
            table.apply(&batch.to_entry());
            early = answers(&batch, &table);
        }
        self.tail.push_back((batch.to_entry(), Some(batch)));
        early
    }

    pub fn has_tail(&self) -> bool {
        !self.tail.is_empty()
    }

    pub fn tail(&self) -> usize {
        self.tail.len()
    }

    /// The oldest entry of the tail is on a majority's disks and applied.
    pub fn commit(&mut self, fault: Fault) -> Vec<Answered> {
        let Some((mut entry, batch)) = self.tail.pop_front() else { return Vec::new() };
        if fault == Fault::BlindTakeover {
            for takeover in &mut entry.takeovers {
                let holder = self.table.holder(takeover.claim.operation);
                takeover.released = holder.unwrap_or(takeover.released);
            }
        }
        self.lagging = self.table.clone();
        self.apply(&entry);
        let Some(batch) = batch else { return Vec::new() };
        self.claims.finish_batch(&batch);
        let mut answers = answers(&batch, &self.table);
        answers.extend(self.propose(fault));
        self.rest();
        answers
    }

    /// As every member does, from what was written.
    fn apply(&mut self, entry: &OperationsEntry) {
        let text = serde_json::to_string(entry).expect("JSON");
        self.table.apply(&serde_json::from_str(&text).expect("its own text"));
    }

    /// Nobody waits for the entries of the tail any more; they may be committed yet.
    pub fn give_up(&mut self, fault: Fault) -> Vec<Answered> {
        for (_, batch) in &mut self.tail {
            batch.take().into_iter().for_each(|batch| self.claims.finish_batch(&batch));
        }
        let answers = self.propose(fault);
        self.rest();
        answers
    }

    pub fn somebody_waits(&self) -> bool {
        self.tail.iter().any(|(_, batch)| batch.is_some())
    }

    /// Another member leads, on whose log are `kept` entries of the tail.
    pub fn change_leader(&mut self, kept: usize, fault: Fault) {
        self.tail.truncate(kept);
        self.tail.iter_mut().for_each(|(_, batch)| *batch = None);
        self.claims = ClaimBatcher::default();
        self.batch_ms = 0;
        self.leaders += 1;
        if fault != Fault::ClockKept {
            self.clock = GenerationClock::new(WINDOW_MS);
        }
    }

    /// Numbers of batches that are over don't tell states apart.
    fn rest(&mut self) {
        if !self.somebody_waits() {
            (self.claims, self.batch_ms) = (ClaimBatcher::default(), 0);
        }
    }

    /// Time goes by; entries on generations commit what is on the log before them.
    pub fn pass(&mut self, from_ms: u64, to_ms: u64) {
        for now in (from_ms + LOOK_MS..=to_ms).step_by(LOOK_MS as usize) {
            let leaders_ms = now + self.leaders * CLOCK_STEP_MS;
            while let Some(entry) = self.clock.due_entry(leaders_ms, &self.table) {
                while self.has_tail() {
                    self.commit(Fault::None);
                }
                self.apply(&entry);
                self.lagging = self.table.clone();
            }
        }
    }
}

fn answers(batch: &Batch, table: &OperationTable) -> Vec<Answered> {
    let answer = |claim: &WaitingClaim| Some((claim.ticket as usize, claim.call, claim.answer(0, table)?));
    batch.claims.iter().filter_map(answer).collect()
}
