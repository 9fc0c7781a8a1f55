//! Who holds which operation, as the log's entries make it: the same at every member.

use crate::entry::{Claim, OperationsEntry};
use crate::record::{append_claims, read_claims, RecordError, CLAIM_CHARACTERS};
use hashbrown::HashMap;
use nickeljunction_messages::{ClaimAnswer, ClaimCall, Claimant, OperationId};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::VecDeque;
use std::ops::Range;

/// Claims that are remembered at most.
pub const MAX_RECORDS: usize = 200_000;

/// Who holds an operation, by the newest claim that was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// Who.
    pub claimant: Claimant,
    /// The generation of that claim.
    pub generation: u64,
}

/// Operations that are claimed, in generations.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OperationTable {
    holdings: HashMap<OperationId, Holding, ahash::RandomState>,
    /// Number of the oldest generation.
    oldest: u64,
    /// Claims that were granted, as text, by generation: the oldest first, the open one last. A generation is only ever
    /// added to, so that a snapshot copies texts. A claim of a later one takes the place of an earlier one's.
    generations: VecDeque<String>,
}

impl OperationTable {
    /// Nothing was ever claimed.
    pub fn is_empty(&self) -> bool {
        self.oldest == 0 && self.generations.is_empty()
    }

    /// How many operations are claimed.
    pub fn operation_count(&self) -> usize {
        self.holdings.len()
    }

    /// Claims that are remembered: more than there are operations where one was claimed in several generations.
    pub fn record_count(&self) -> usize {
        self.generations.iter().map(|text| text.len() / CLAIM_CHARACTERS).sum()
    }

    /// Claims that are remembered in one generation.
    pub fn record_count_in(&self, generation: u64) -> usize {
        let at = generation.checked_sub(self.oldest).and_then(|at| usize::try_from(at).ok());
        let text = at.and_then(|at| self.generations.get(at));
        text.map_or(0, |text| text.len() / CLAIM_CHARACTERS)
    }

    /// No more claims are granted until a generation is forgotten.
    pub fn is_full(&self) -> bool {
        self.record_count() >= MAX_RECORDS
    }

    /// Numbers of the generations that are closed.
    pub fn closed_generations(&self) -> Range<u64> {
        self.oldest..self.open_generation()
    }

    /// Number of the open generation.
    pub fn open_generation(&self) -> u64 {
        self.oldest + (self.generations.len() as u64).saturating_sub(1)
    }

    /// Claims were granted in the open generation.
    pub fn open_has_records(&self) -> bool {
        self.generations.back().is_some_and(|text| !text.is_empty())
    }

    /// Who holds an operation.
    pub fn holder(&self, operation: OperationId) -> Option<Claimant> {
        self.holding(operation).map(|holding| holding.claimant)
    }

    /// Who holds an operation, and since which generation.
    pub fn holding(&self, operation: OperationId) -> Option<Holding> {
        self.holdings.get(&operation).copied()
    }

    /// Why a claim isn't put on the log at all; `None`: the log decides.
    pub fn refusal(&self, call: &ClaimCall) -> Option<ClaimAnswer> {
        let holder = self.holder(call.operation);
        let is_own = holder == Some(call.claimant);
        match holder {
            Some(other) if !is_own && call.released != holder => Some(ClaimAnswer::Held(other)),
            _ if !is_own && self.is_full() => Some(ClaimAnswer::Full),
            _ => None,
        }
    }

    /// Takes what an entry of the log says.
    pub fn apply(&mut self, entry: &OperationsEntry) {
        entry.claims.iter().for_each(|claim| self.claim(claim, None));
        entry.takeovers.iter().for_each(|takeover| self.claim(&takeover.claim, Some(takeover.released)));
        if let Some(generation) = entry.close {
            self.close(generation);
        }
        if let Some(generation) = entry.forget {
            self.forget(generation);
        }
    }

    fn claim(&mut self, claim: &Claim, released: Option<Claimant>) {
        let open = self.open_generation();
        let is_granted = match self.holdings.get(&claim.operation) {
            None => true,
            // Its holder repeats it: it is remembered from now on.
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
        for claim in read_claims(&text).unwrap_or_default() {
            let is_newest = |holding: &Holding| holding.generation == generation;
            if self.holdings.get(&claim.operation).is_some_and(is_newest) {
                self.holdings.remove(&claim.operation);
            }
        }
        // Memory is dear, and a peak of claims is over at some time.
        if self.holdings.len() < self.holdings.capacity() / 4 {
            self.holdings.shrink_to_fit();
        }
    }

    fn from_generations(oldest: u64, generations: VecDeque<String>) -> Result<OperationTable, RecordError> {
        let mut holdings = HashMap::default();
        for (generation, text) in (oldest..).zip(&generations) {
            for Claim { operation, claimant } in read_claims(text)? {
                holdings.insert(operation, Holding { claimant, generation });
            }
        }
        Ok(OperationTable { holdings, oldest, generations })
    }
}

#[derive(Serialize)]
struct Written<'a> {
    oldest: u64,
    generations: &'a VecDeque<String>,
}

#[derive(Deserialize)]
struct Read {
    oldest: u64,
    generations: VecDeque<String>,
}

impl Serialize for OperationTable {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        Written { oldest: self.oldest, generations: &self.generations }.serialize(to)
    }
}

impl<'de> Deserialize<'de> for OperationTable {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<OperationTable, D::Error> {
        let Read { oldest, generations } = Read::deserialize(from)?;
        OperationTable::from_generations(oldest, generations).map_err(serde::de::Error::custom)
    }
}
