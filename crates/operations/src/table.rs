//! The holder of each claimed operation: state that every member derives from the log entries.

use crate::entry::{Claim, OperationsEntry};
use crate::record::{append_claims, decode_claims, RecordError, CLAIM_CHARACTERS};
use hashbrown::HashMap;
use nickeljunction_messages::{ClaimAnswer, ClaimCall, Claimant, OperationId};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::VecDeque;
use std::ops::Range;

/// Maximum number of recorded claims.
pub const MAX_RECORDS: usize = 200_000;

/// The holder of an operation: the claimant of its newest granted claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// The holder.
    pub claimant: Claimant,
    /// Generation in which the claim was granted.
    pub generation: u64,
}

/// Claimed operations, grouped in generations.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OperationTable {
    holdings: HashMap<OperationId, Holding, ahash::RandomState>,
    /// Number of the oldest generation.
    oldest: u64,
    /// Granted claims as text, by generation: the oldest first, the open one last. Texts are append-only, so that a
    /// snapshot only has to copy them. A claim replaces claims on the same operation in earlier generations.
    generations: VecDeque<String>,
}

impl OperationTable {
    /// Whether no claim was ever granted.
    pub fn is_empty(&self) -> bool {
        self.oldest == 0 && self.generations.is_empty()
    }

    /// Number of claimed operations.
    pub fn operation_count(&self) -> usize {
        self.holdings.len()
    }

    /// Number of recorded claims: higher than the number of operations if one was claimed in several generations.
    pub fn record_count(&self) -> usize {
        self.generations.iter().map(|text| text.len() / CLAIM_CHARACTERS).sum()
    }

    /// Number of claims recorded in one generation.
    pub fn record_count_in(&self, generation: u64) -> usize {
        let index = generation.checked_sub(self.oldest).and_then(|offset| usize::try_from(offset).ok());
        let text = index.and_then(|index| self.generations.get(index));
        text.map_or(0, |text| text.len() / CLAIM_CHARACTERS)
    }

    /// Whether the table is full: no claim is granted until a generation is forgotten.
    pub fn is_full(&self) -> bool {
        self.record_count() >= MAX_RECORDS
    }

    /// Numbers of the closed generations.
    pub fn closed_generations(&self) -> Range<u64> {
        self.oldest..self.open_generation()
    }

    /// Number of the open generation.
    pub fn open_generation(&self) -> u64 {
        self.oldest + (self.generations.len() as u64).saturating_sub(1)
    }

    /// Whether claims were granted in the open generation.
    pub fn open_has_records(&self) -> bool {
        self.generations.back().is_some_and(|text| !text.is_empty())
    }

    /// The holder of an operation.
    pub fn holder(&self, operation: OperationId) -> Option<Claimant> {
        self.holding(operation).map(|holding| holding.claimant)
    }

    /// The holder of an operation, and the generation of its claim.
    pub fn holding(&self, operation: OperationId) -> Option<Holding> {
        self.holdings.get(&operation).copied()
    }

    /// The answer to a claim that is refused without a log entry; `None` if the claim must be proposed.
    pub fn refusal(&self, call: &ClaimCall) -> Option<ClaimAnswer> {
        let holder = self.holder(call.operation);
        let is_own = holder == Some(call.claimant);
        match holder {
            Some(other) if !is_own && call.released != holder => Some(ClaimAnswer::Held(other)),
            _ if !is_own && self.is_full() => Some(ClaimAnswer::Full),
            _ => None,
        }
    }

    /// Applies a log entry.
    pub fn apply(&mut self, entry: &OperationsEntry) {
        entry.claims.iter().for_each(|claim| self.apply_claim(claim, None));
        entry
            .takeovers
            .iter()
            .for_each(|takeover| self.apply_claim(&takeover.claim, Some(takeover.released)));
        if let Some(generation) = entry.close {
            self.close(generation);
        }
        if let Some(generation) = entry.forget {
            self.forget(generation);
        }
    }

    fn apply_claim(&mut self, claim: &Claim, released: Option<Claimant>) {
        let open = self.open_generation();
        let is_granted = match self.holdings.get(&claim.operation) {
            None => true,
            // The holder repeats its claim: record it in the open generation, so that it is kept for longer.
            Some(holding) if holding.claimant == claim.claimant => holding.generation != open,
            Some(holding) => released == Some(holding.claimant),
        };
        if is_granted && !self.is_full() {
            self.grant(claim);
        }
    }

    fn grant(&mut self, claim: &Claim) {
        let holding = Holding { claimant: claim.claimant, generation: self.open_generation() };
        self.holdings.insert(claim.operation, holding);
        if self.generations.is_empty() {
            self.generations.push_back(String::new());
        }
        if let Some(open) = self.generations.back_mut() {
            append_claims(open, [claim]);
        }
    }

    fn close(&mut self, generation: u64) {
        if generation == self.open_generation() && self.open_has_records() {
            self.generations.push_back(String::new());
        }
    }

    fn forget(&mut self, generation: u64) {
        if generation != self.oldest || self.closed_generations().is_empty() {
            return;
        }
        let text = self.generations.pop_front().unwrap_or_default();
        self.oldest += 1;
        for claim in decode_claims(&text).unwrap_or_default() {
            let is_newest = |holding: &Holding| holding.generation == generation;
            if self.holdings.get(&claim.operation).is_some_and(is_newest) {
                self.holdings.remove(&claim.operation);
            }
        }
        // Memory is limited: return what a past peak of claims has allocated.
        if self.holdings.len() < self.holdings.capacity() / 4 {
            self.holdings.shrink_to_fit();
        }
    }

    fn from_generations(oldest: u64, generations: VecDeque<String>) -> Result<OperationTable, RecordError> {
        let mut holdings = HashMap::default();
        for (generation, text) in (oldest..).zip(&generations) {
            for Claim { operation, claimant } in decode_claims(text)? {
                holdings.insert(operation, Holding { claimant, generation });
            }
        }
        Ok(OperationTable { holdings, oldest, generations })
    }
}

#[derive(Serialize)]
struct TableRef<'a> {
    oldest: u64,
    generations: &'a VecDeque<String>,
}

#[derive(Deserialize)]
struct TableData {
    oldest: u64,
    generations: VecDeque<String>,
}

impl Serialize for OperationTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        TableRef { oldest: self.oldest, generations: &self.generations }.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for OperationTable {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<OperationTable, D::Error> {
        let TableData { oldest, generations } = TableData::deserialize(deserializer)?;
        OperationTable::from_generations(oldest, generations).map_err(serde::de::Error::custom)
    }
}
