//! Keyed operations as operators see them. Only the gateway that holds an operation's claim knows its result.

use crate::replica::Replica;
use nickeljunction_messages::OperationId;
use nickeljunction_operations::MAX_RECORDS;
use serde::Serialize;
use std::net::Ipv4Addr;

/// Most generations that are listed, the oldest first: more than a window has.
const MAX_LISTED_GENERATIONS: usize = 32;

/// How many operations are claimed, and when they are forgotten.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OperationsView {
    /// Operations with a claim.
    pub remembered: usize,
    /// Claims on record: more than operations if one was claimed in several generations.
    pub claims: usize,
    /// Most claims on record; beyond that no claim is granted.
    pub most_claims: usize,
    /// Claims that wait to be put in a log entry.
    pub waiting: usize,
    /// Number of generations.
    pub generations: u64,
    /// The oldest generations, oldest first.
    pub oldest: Vec<GenerationView>,
}

/// Claims that were granted in one span of time and are forgotten together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GenerationView {
    /// Number of the generation; each is one above the one before.
    pub generation: u64,
    /// Number of claims.
    pub claims: usize,
    /// How long ago this leader learned that it is closed, ms: its claims are at least this old. `None`: it is open.
    pub closed_ms: Option<u64>,
    /// Time until it is forgotten, ms; `None`: it is open.
    pub forgotten_in_ms: Option<u64>,
}

/// A keyed operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OperationView {
    /// Digest of its tenant and its key.
    pub operation: OperationId,
    /// `unclaimed`, `held`, `holder_away` or `holder_unknown`.
    pub state: &'static str,
    /// `None`: the operation is unclaimed.
    #[serde(flatten)]
    pub claim: Option<ClaimView>,
}

/// The claim that holds an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ClaimView {
    /// IP address of the gateway that made the claim.
    pub host: Ipv4Addr,
    /// That gateway's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the claim among those of that process.
    pub number: u64,
    /// Name of that gateway, if this leader knows its process.
    pub gateway: Option<String>,
    /// How long that process has been disconnected, ms; `None`: it is connected, or not known.
    pub away_ms: Option<u64>,
    /// The generation in which it was granted.
    #[serde(flatten)]
    pub granted: GenerationView,
}

impl Replica {
    /// All operations, as this leader knows them.
    pub fn operations_view(&self, now: u64) -> OperationsView {
        let table = self.state.operations();
        let generations = table.closed_generations().start..table.open_generation() + 1;
        let oldest = generations.clone().take(MAX_LISTED_GENERATIONS);
        OperationsView {
            remembered: table.operation_count(),
            claims: table.record_count(),
            most_claims: MAX_RECORDS,
            waiting: self.claims.waiting_count(),
            generations: generations.end - generations.start,
            oldest: oldest.map(|generation| self.generation_view(now, generation)).collect(),
        }
    }

    fn generation_view(&self, now: u64, generation: u64) -> GenerationView {
        let age = self.lead.as_ref().and_then(|lead| lead.generations.age(now, generation));
        GenerationView {
            generation,
            claims: self.state.operations().record_count_in(generation),
            closed_ms: age.map(|age| age.closed_ms),
            forgotten_in_ms: age.map(|age| age.forgotten_in_ms),
        }
    }

    /// One operation, as this leader knows it.
    pub fn operation_view(&self, now: u64, operation: OperationId) -> OperationView {
        let Some(holding) = self.state.operations().holding(operation) else {
            return OperationView { operation, state: "unclaimed", claim: None };
        };
        let holder = holding.claimant;
        let register = self.lead.as_ref().map(|lead| &lead.register);
        let gateway = register.and_then(|register| register.gateway_status(now, holder.incarnation));
        let away_ms = gateway.as_ref().and_then(|gateway| gateway.away_ms);
        let state = match (&gateway, away_ms) {
            (None, _) => "holder_unknown",
            (Some(_), Some(_)) => "holder_away",
            (Some(_), None) => "held",
        };
        let claim = ClaimView {
            host: holder.host,
            incarnation: holder.incarnation,
            number: holder.number,
            gateway: gateway.map(|gateway| gateway.line.name),
            away_ms,
            granted: self.generation_view(now, holding.generation),
        };
        OperationView { operation, state, claim: Some(claim) }
    }
}
