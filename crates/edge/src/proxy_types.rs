//! The proxy's tuning, its settings for each backend, and its counters.

use crate::upstream::LocalityWeights;
use nickeljunction_core::facade::Outcome;
use std::fmt;

/// Tuning of the proxy to servers.
#[derive(Debug, Clone)]
pub struct ProxyTuning {
    /// Window over which further attempts are limited, ms.
    pub retry_window_ms: u64,
    /// Further attempts allowed per request, over all gateways.
    pub retry_ratio: f64,
    /// Further attempts allowed beyond that ratio in a window, over all gateways.
    pub retry_slack: u32,
    /// Weight of a server's slot by its distance: same zone, same region or another region.
    pub nearness: LocalityWeights,
    /// Time-out for connecting to a server in the same region, ms.
    pub connect_timeout_ms: f64,
    /// Time-out for connecting to a server in another region, ms.
    pub cross_region_connect_timeout_ms: f64,
    /// How much earlier than the real deadline the one sent to servers is, ms.
    pub deadline_margin_ms: f64,
    /// Time step of the decision module, ms: while requests are in flight its rounds are whole numbers of steps apart.
    pub decide_step_ms: f64,
    /// Rounds of all lanes begin at multiples of this, ms, so that one wake-up serves all lanes.
    pub round_grid_ms: f64,
    /// Longest pause that a client is asked to make before it retries, ms.
    pub max_retry_after_ms: f64,
    /// Whether a second attempt may start while the first is in flight.
    pub hedging: bool,
}

impl Default for ProxyTuning {
    fn default() -> ProxyTuning {
        ProxyTuning {
            retry_window_ms: 10_000,
            retry_ratio: 0.2,
            retry_slack: 0,
            nearness: LocalityWeights::default(),
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

/// A backend's settings from the configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackendConfig {
    /// Connections that each of its servers accepts from all callers together; 0: not configured.
    pub max_connections: u32,
    /// Requests per second that one of its servers can take while it is cold.
    pub warmup_per_s: f64,
}

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProxyCounts {
    /// Requests received.
    pub requests: u64,
    /// First attempts of requests, each counted again after a failure to connect.
    pub first_attempts: u64,
    /// Attempts beyond the first of a request.
    pub further_attempts: u64,
    /// Further attempts that the budget didn't allow.
    pub further_attempts_denied: u64,
    /// Attempts answered successfully.
    pub served: u64,
    /// Attempts answered with a failure.
    pub errors: u64,
    /// Attempts that the server rejected.
    pub rejected: u64,
    /// Attempts whose connection could not be established.
    pub connect_failures: u64,
    /// Attempts whose connection broke before an answer.
    pub resets: u64,
    /// Attempts whose answer was not usable.
    pub invalid_answers: u64,
    /// Attempts given up for lack of time.
    pub timed_out: u64,
    /// Attempts cancelled because the client had disconnected or another attempt was answered.
    pub cancelled: u64,
    /// Connections opened.
    pub connections_opened: u64,
}

impl ProxyCounts {
    pub(crate) fn count_outcome(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Served => &mut self.served,
            Outcome::Error => &mut self.errors,
            Outcome::Rejected => &mut self.rejected,
            Outcome::CouldNotConnect => &mut self.connect_failures,
            Outcome::Reset => &mut self.resets,
            Outcome::Unreadable => &mut self.invalid_answers,
            Outcome::TimedOut => &mut self.timed_out,
            Outcome::Canceled => &mut self.cancelled,
            Outcome::NotSent => return,
        };
        *count += 1;
    }

    /// Attempts by outcome, under the names of the metric's labels.
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
