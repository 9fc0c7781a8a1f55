//! The part of a tenant's pace that no gateway has. It fills one token bucket at the counter, from which gateways are
//! granted units beyond their own paces.

use crate::sliding_sum::SlidingSum;
use crate::tuning::Tuning;

/// The bucket of one tenant. Its content and the granted units that may not have reached their gateway yet are together
/// at most `Tuning::max_boost`. Thus all gateways spend in any span at most the content of their own buckets, that
/// maximum, and the tenant's pace over the span.
#[derive(Debug, Clone)]
pub(crate) struct UnusedPace {
    /// Content in units, multiplied by the window in ms.
    scaled_units: u64,
    /// Inflow since `settled_at`, units a window.
    rate: u64,
    settled_at: u64,
    /// Granted units that may not have reached their gateway yet.
    in_flight: SlidingSum,
}

impl UnusedPace {
    /// The full bucket, with `max` units, of a counter without a predecessor.
    pub(crate) fn full(now: u64, tuning: &Tuning, max: u64) -> UnusedPace {
        UnusedPace { scaled_units: max * tuning.window_ms, ..UnusedPace::empty(now, tuning) }
    }

    /// An empty bucket without inflow before `from`.
    pub(crate) fn empty(from: u64, tuning: &Tuning) -> UnusedPace {
        let in_flight = SlidingSum::new(tuning.slot_ms, tuning.max_boost_answer_ms);
        UnusedPace { scaled_units: 0, rate: 0, settled_at: from, in_flight }
    }

    /// Adds the inflow until `now` and sets the inflow from then on to `rate` units a window. Must be called whenever
    /// the gateways' paces rise.
    pub(crate) fn settle(&mut self, now: u64, tuning: &Tuning, max: u64, rate: u64) {
        self.in_flight.expire(now);
        let capacity = max.saturating_sub(self.in_flight.sum()) * tuning.window_ms;
        let inflow = self.rate * now.saturating_sub(self.settled_at);
        self.scaled_units = (self.scaled_units + inflow).min(capacity);
        self.settled_at = now.max(self.settled_at);
        self.rate = rate;
    }

    /// Takes up to `requested` whole units, but at most half of the content, rounded up, as other gateways may request
    /// some, too.
    pub(crate) fn take(&mut self, now: u64, tuning: &Tuning, requested: u64) -> u64 {
        let units = requested.min((self.scaled_units / tuning.window_ms).div_ceil(2));
        self.scaled_units -= units * tuning.window_ms;
        self.in_flight.add(now, units);
        units
    }
}
