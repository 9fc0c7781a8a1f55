//! Keyed operations as operators see them. What became of an operation is known to the gateway that holds its claim alone.

use crate::replica::Replica;
use nickeljunction_messages::OperationId;
use nickeljunction_operations::MAX_RECORDS;
use serde::Serialize;
use std::net::Ipv4Addr;

/// Generations that are told one by one, the oldest first; more than a window has of them.
const MOST_GENERATIONS: usize = 32;

/// How many operations are claimed, and for how long.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OperationsView {
    /// Operations that are claimed.
    pub remembered: usize,
    /// Claims that are remembered: more where one was claimed in several generations.
    pub claims: usize,
    /// Most claims that are remembered: no more is granted then.
    pub most_claims: usize,
    /// Claims that wait for their entry of the log.
    pub waiting: usize,
    /// How many generations there are.
    pub generations: u64,
    /// The oldest of them, oldest first.
    pub oldest: Vec<GenerationView>,
}

/// Claims that were granted in one stretch of time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GenerationView {
    /// Rises by one.
    pub generation: u64,
    /// Claims in it.
    pub claims: usize,
    /// For how long this leader has known it to be closed, ms: its claims are at least so old. `None`: it is open.
    pub closed_ms: Option<u64>,
    /// Until it is forgotten, ms; `None`: it is open.
    pub forgotten_in_ms: Option<u64>,
}

/// One operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OperationView {
    /// Digest of its tenant and its key.
    pub operation: OperationId,
    /// `unclaimed`, `held`, `holder_away` or `holder_unknown`.
    pub state: &'static str,
    /// Its claim; `None`: nobody holds it.
    #[serde(flatten)]
    pub claim: Option<ClaimView>,
}

/// The claim that holds an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ClaimView {
    /// IP address of the gateway that made it.
    pub host: Ipv4Addr,
    /// That gateway's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the claim in that process's life.
    pub number: u64,
    /// Name of that gateway, where its process is known to this leader.
    pub gateway: Option<String>,
    /// For how long that process has been away, ms; `None`: it is there, or not known.
    pub away_ms: Option<u64>,
    /// When it was granted.
    #[serde(flatten)]
    pub granted: GenerationView,
}

impl Replica {
    /// All operations, as this member, which leads, knows them.
    pub fn operations_view(&self, now: u64) -> OperationsView {
        let table = self.state.operations();
        let generations = table.closed_generations().start..table.open_generation() + 1;
        let oldest = generations.clone().take(MOST_GENERATIONS);
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

    /// One operation, as this member, which leads, knows it.
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
