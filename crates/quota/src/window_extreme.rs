//! Maximum or minimum of a value over the last window.

/// The maximum (or minimum) of a value over at least the last window and at most the last two.
#[derive(Debug, Clone, Default)]
pub(crate) struct WindowExtreme {
    /// Extreme of the previous period, which began up to two windows ago.
    previous: u64,
    /// Extreme of the current period.
    current: u64,
    /// When the current period began.
    period_start: u64,
}

impl WindowExtreme {
    /// Records that the value is `value` from `now` on and was `last` until now. `pick` is `u64::max` or `u64::min`.
    pub(crate) fn record(
        &mut self,
        now: u64,
        window_ms: u64,
        last: u64,
        value: u64,
        pick: fn(u64, u64) -> u64,
    ) {
        let elapsed = now.saturating_sub(self.period_start);
        if elapsed >= window_ms {
            // After two windows without a record the value was `last` during all of the previous period.
            self.previous = if elapsed >= 2 * window_ms { last } else { pick(self.current, last) };
            (self.current, self.period_start) = (last, now);
        }
        self.current = pick(pick(self.current, last), value);
    }

    /// The extreme as of `now`, where the current value is `value`.
    pub(crate) fn get(&mut self, now: u64, window_ms: u64, value: u64, pick: fn(u64, u64) -> u64) -> u64 {
        self.record(now, window_ms, value, value, pick);
        pick(self.previous, self.current)
    }
}
