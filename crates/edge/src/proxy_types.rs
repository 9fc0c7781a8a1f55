//! Figures of the servers' side: what it is tuned by, and what it counts.

use crate::upstream::Nearness;
use nickeljunction_core::facade::Outcome;
use std::fmt;

/// Figures of the servers' side.
#[derive(Debug, Clone)]
pub struct ProxyTuning {
    /// The rule's window of further sends, ms.
    pub retry_window_ms: u64,
    /// Further sends for each request, over all gateways.
    pub retry_ratio: f64,
    /// Further sends beyond that in a window, over all gateways.
    pub retry_slack: u32,
    /// How dear a slot is by where it stands.
    pub nearness: Nearness,
    /// How long a connection within the region may take to come up, ms, and to another region.
    pub connect_timeout_ms: f64,
    /// See `connect_timeout_ms`.
    pub cross_region_connect_timeout_ms: f64,
    /// Servers are told that they have so much less time than there is, ms.
    pub deadline_margin_ms: f64,
    /// The module's step, ms: its rounds are some of these apart while requests are under way.
    pub decide_step_ms: f64,
    /// Rounds of all lanes begin at multiples of this, ms, so that one wake-up serves them all.
    pub round_grid_ms: f64,
    /// Longest advice to stay away, ms.
    pub max_retry_after_ms: f64,
    /// A second attempt may go out beside the first.
    pub hedging: bool,
}

impl Default for ProxyTuning {
    fn default() -> ProxyTuning {
        ProxyTuning {
            retry_window_ms: 10_000,
            retry_ratio: 0.2,
            retry_slack: 0,
            nearness: Nearness::default(),
            connect_timeout_ms: 250.0,
            cross_region_connect_timeout_ms: 450.0,
            deadline_margin_ms: 10.0,
            decide_step_ms: 5.0,
            round_grid_ms: 10.0,
            max_retry_after_ms: 1_000.0,
            hedging: false,
        }
    }
}

/// What the configuration says of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackendConfig {
    /// Connections that each of its servers accepts from all callers together; 0: not told.
    pub max_connections: u32,
    /// Requests a second that a cold server of it bears.
    pub warmup_per_s: f64,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProxyCounts {
    /// Requests taken in.
    pub requests: u64,
    /// First sends of a request, begun anew where no connection came about.
    pub first_attempts: u64,
    /// Further sends.
    pub further_attempts: u64,
    /// Further sends that the budget didn't allow.
    pub further_attempts_denied: u64,
    /// Sends answered well.
    pub served: u64,
    /// Sends answered with a failure.
    pub errors: u64,
    /// Sends turned away.
    pub rejected: u64,
    /// Connections that did not come about.
    pub connect_failures: u64,
    /// Connections that broke before an answer.
    pub resets: u64,
    /// Answers that could not be used.
    pub invalid_answers: u64,
    /// Sends given up for lack of time.
    pub timed_out: u64,
    /// Sends given up since the client had gone, or another one was answered.
    pub cancelled: u64,
    /// Connections opened.
    pub connections_opened: u64,
}

impl ProxyCounts {
    pub(crate) fn count_outcome(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Served => &mut self.served,
            Outcome::Error => &mut self.errors,
            Outcome::TurnedAway => &mut self.rejected,
            Outcome::CouldNotConnect => &mut self.connect_failures,
            Outcome::Reset => &mut self.resets,
            Outcome::Spoilt => &mut self.invalid_answers,
            Outcome::TimedOut => &mut self.timed_out,
            Outcome::CalledOff => &mut self.cancelled,
            Outcome::NotSent => return,
        };
        *count += 1;
    }
}

impl ProxyCounts {
    /// Sends by how they ended.
    pub(crate) fn outcomes(&self) -> [(&'static str, u64); 8] {
        [
            ("served", self.served),
            ("errors", self.errors),
            ("turned_away", self.rejected),
            ("unconnected", self.connect_failures),
            ("resets", self.resets),
            ("spoilt", self.invalid_answers),
            ("timed_out", self.timed_out),
            ("called_off", self.cancelled),
        ]
    }
}

impl fmt::Display for ProxyCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "taken={} sends={} repeats={} denied={}",
            self.requests, self.first_attempts, self.further_attempts, self.further_attempts_denied
        )?;
        write!(f, " served={} errors={} turned_away={}", self.served, self.errors, self.rejected)?;
        write!(
            f,
            " unconnected={} resets={} spoilt={}",
            self.connect_failures, self.resets, self.invalid_answers
        )?;
        let (timed_out, called_off) = (self.timed_out, self.cancelled);
        write!(f, " timed_out={timed_out} called_off={called_off} connections={}", self.connections_opened)
    }
}
