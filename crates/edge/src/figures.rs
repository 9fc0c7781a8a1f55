//! Figures of the servers' side: what it is tuned by, and what it counts.

use crate::upstream::LocalityWeights;
use nickeljunction_core::facade::Outcome;
use std::fmt;

/// Figures of the servers' side.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// The rule's window of further sends, ms.
    pub retry_window_ms: u64,
    /// Further sends for each request, over all gateways.
    pub retry_ratio: f64,
    /// Further sends beyond that in a window, over all gateways.
    pub retry_slack: u32,
    /// How dear a slot is by where it stands.
    pub nearness: LocalityWeights,
    /// How long a connection within the region may take to come up, ms, and to another region.
    pub connect_ms: f64,
    /// See `connect_ms`.
    pub connect_far_ms: f64,
    /// Servers are told that they have so much less time than there is, ms.
    pub margin_ms: f64,
    /// The module's step, ms: its rounds are some of these apart while requests are under way.
    pub step_ms: f64,
    /// Rounds of all lanes begin at multiples of this, ms, so that one wake-up serves them all.
    pub grid_ms: f64,
    /// Longest advice to stay away, ms.
    pub retry_after_ms: f64,
    /// A second attempt may go out beside the first.
    pub second_copies: bool,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            retry_window_ms: 10_000,
            retry_ratio: 0.2,
            retry_slack: 0,
            nearness: LocalityWeights::default(),
            connect_ms: 250.0,
            connect_far_ms: 450.0,
            margin_ms: 10.0,
            step_ms: 5.0,
            grid_ms: 10.0,
            retry_after_ms: 1_000.0,
            second_copies: false,
        }
    }
}

/// What the configuration says of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backend {
    /// Connections that each of its servers accepts from all callers together; 0: not told.
    pub max_connections: u32,
    /// Requests a second that a cold server of it bears.
    pub warmup_per_s: f64,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests taken in.
    pub taken: u64,
    /// First sends of a request, begun anew where no connection came about.
    pub sends: u64,
    /// Further sends.
    pub repeats: u64,
    /// Further sends that the budget didn't allow.
    pub denied: u64,
    /// Sends answered well.
    pub served: u64,
    /// Sends answered with a failure.
    pub errors: u64,
    /// Sends turned away.
    pub turned_away: u64,
    /// Connections that did not come about.
    pub unconnected: u64,
    /// Connections that broke before an answer.
    pub resets: u64,
    /// Answers that could not be used.
    pub spoilt: u64,
    /// Sends given up for lack of time.
    pub timed_out: u64,
    /// Sends given up since the client had gone, or another one was answered.
    pub called_off: u64,
    /// Connections opened.
    pub connections: u64,
}

impl Counts {
    pub(crate) fn ended(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Served => &mut self.served,
            Outcome::Error => &mut self.errors,
            Outcome::TurnedAway => &mut self.turned_away,
            Outcome::CouldNotConnect => &mut self.unconnected,
            Outcome::Reset => &mut self.resets,
            Outcome::Spoilt => &mut self.spoilt,
            Outcome::TimedOut => &mut self.timed_out,
            Outcome::CalledOff => &mut self.called_off,
            Outcome::NotSent => return,
        };
        *count += 1;
    }
}

impl Counts {
    /// Sends by how they ended.
    pub(crate) fn outcomes(&self) -> [(&'static str, u64); 8] {
        [
            ("served", self.served),
            ("errors", self.errors),
            ("turned_away", self.turned_away),
            ("unconnected", self.unconnected),
            ("resets", self.resets),
            ("spoilt", self.spoilt),
            ("timed_out", self.timed_out),
            ("called_off", self.called_off),
        ]
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "taken={} sends={} repeats={} denied={}",
            self.taken, self.sends, self.repeats, self.denied
        )?;
        write!(f, " served={} errors={} turned_away={}", self.served, self.errors, self.turned_away)?;
        write!(f, " unconnected={} resets={} spoilt={}", self.unconnected, self.resets, self.spoilt)?;
        let (timed_out, called_off) = (self.timed_out, self.called_off);
        write!(f, " timed_out={timed_out} called_off={called_off} connections={}", self.connections)
    }
}
