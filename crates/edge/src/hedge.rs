//! The delay after which an idempotent call is sent a second time while the first is still unanswered: packets get lost,
//! and waiting for their retransmission takes longer than a second call. No I/O.

/// Delay before the first measurement, ms.
const INITIAL_MS: f64 = 100.0;
const MIN_MS: f64 = 15.0;
const MAX_MS: f64 = 400.0;
/// Weight of one call in the mean latency and in the mean deviation.
const GAIN: f64 = 0.1;
/// The delay is the mean latency plus this number of mean deviations.
const DEVIATIONS: f64 = 4.0;

/// The hedging delay for one kind of call, from its measured latencies.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HedgeDelay {
    /// Mean and mean deviation of the latency, ms; `None` before the first measurement.
    latency: Option<(f64, f64)>,
}

impl HedgeDelay {
    /// Records the latency of one call, from when it was sent itself.
    pub fn record_latency(&mut self, ms: f64) {
        let (mean, deviation) = self.latency.unwrap_or((ms, ms / DEVIATIONS));
        let difference = ms - mean;
        self.latency = Some((mean + GAIN * difference, deviation + GAIN * (difference.abs() - deviation)));
    }

    /// The time without an answer after which a call is sent again, ms.
    pub fn delay_ms(&self) -> f64 {
        let (mean, deviation) = self.latency.unwrap_or((INITIAL_MS, 0.0));
        (mean + DEVIATIONS * deviation).clamp(MIN_MS, MAX_MS)
    }
}

#[cfg(test)]
mod tests;
