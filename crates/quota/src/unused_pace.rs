//! The part of a tenant's pace that no gateway has: it flows into one bucket at the counter, from which units are allowed
//! beyond the gateways' own paces.

use crate::ring::Ring;
use crate::tuning::Tuning;

/// The bucket of one tenant. What it holds and what may still be on its way to gateways are together at most
/// `Tuning::boost_of`, so that all gateways spend no more in any span than their own buckets, that many, and the tenant's pace
/// over the span.
#[derive(Debug, Clone)]
pub(crate) struct UnusedPace {
    /// Units held, times the ms of a window.
    stored: u64,
    /// Units a window that flow in since `settled`.
    rate: u64,
    settled: u64,
    /// Allowed units that may still be on their way.
    under_way: Ring,
}

impl UnusedPace {
    /// Of a counter that no other came before: full with `most` units.
    pub(crate) fn full(now: u64, tuning: &Tuning, most: u64) -> UnusedPace {
        UnusedPace { stored: most * tuning.window_ms, ..UnusedPace::empty(now, tuning) }
    }

    /// Into which nothing flows before `from`.
    pub(crate) fn empty(from: u64, tuning: &Tuning) -> UnusedPace {
        let under_way = Ring::new(tuning.slot_ms, tuning.max_boost_answer_ms);
        UnusedPace { stored: 0, rate: 0, settled: from, under_way }
    }

    /// Lets time pass; from `now` on `rate` units a window flow in. To be called at each rise of the gateways' paces.
    pub(crate) fn settle(&mut self, now: u64, tuning: &Tuning, most: u64, rate: u64) {
        self.under_way.age(now);
        let room = most.saturating_sub(self.under_way.sum()) * tuning.window_ms;
        let came = self.rate * now.saturating_sub(self.settled);
        self.stored = (self.stored + came).min(room);
        self.settled = now.max(self.settled);
        self.rate = rate;
    }

    /// Takes up to `asked` of the whole units held, half of them at most, rounded up: others may ask, too.
    pub(crate) fn take(&mut self, now: u64, tuning: &Tuning, asked: u64) -> u64 {
        let units = asked.min((self.stored / tuning.window_ms).div_ceil(2));
        self.stored -= units * tuning.window_ms;
        self.under_way.book(now, units);
        units
    }
}
