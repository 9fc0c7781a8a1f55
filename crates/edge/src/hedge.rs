//! When a call that may be made twice is made once more beside the first: packets get lost, and waiting for them to be sent
//! again would take longer than asking again. No I/O.

/// Before any call was answered, ms.
const FIRST_MS: f64 = 100.0;
/// Never sooner, ms.
const LEAST_MS: f64 = 15.0;
/// Never later, ms.
const MOST_MS: f64 = 400.0;
/// Weight of one call in the mean, and in the mean deviation.
const GAIN: f64 = 0.1;
/// Mean deviations above the mean that a call may take.
const DEVIATIONS: f64 = 4.0;

/// How long calls of one sort take.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HedgeDelay {
    /// Mean and mean deviation, ms; `None` before the first call.
    known: Option<(f64, f64)>,
}

impl HedgeDelay {
    /// A call was answered after so many ms, from its own sending on.
    pub fn record_latency(&mut self, ms: f64) {
        let (mean, deviation) = self.known.unwrap_or((ms, ms / DEVIATIONS));
        let off = ms - mean;
        self.known = Some((mean + GAIN * off, deviation + GAIN * (off.abs() - deviation)));
    }

    /// A call that is not answered after so many ms is made once more.
    pub fn delay_ms(&self) -> f64 {
        let (mean, deviation) = self.known.unwrap_or((FIRST_MS, 0.0));
        (mean + DEVIATIONS * deviation).clamp(LEAST_MS, MOST_MS)
    }
}

#[cfg(test)]
mod tests;
