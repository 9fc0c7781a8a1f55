//! Extremes of a figure over the last window.

/// The most (or least) that a figure was over the last window, or up to two of them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peak {
    before: u64,
    current: u64,
    since: u64,
}

impl Peak {
    /// The figure is `value` from `now` on, and was `last` up to now.
    pub(crate) fn note(&mut self, now: u64, span_ms: u64, last: u64, value: u64, pick: fn(u64, u64) -> u64) {
        let gone = now.saturating_sub(self.since);
        if gone >= span_ms {
            // In the part that is over it was never beyond its last value, if there was no note in it.
            self.before = if gone >= 2 * span_ms { last } else { pick(self.current, last) };
            (self.current, self.since) = (last, now);
        }
        self.current = pick(pick(self.current, last), value);
    }

    /// The extreme as of `now`, where the figure is `value`.
    pub(crate) fn get(&mut self, now: u64, span_ms: u64, value: u64, pick: fn(u64, u64) -> u64) -> u64 {
        self.note(now, span_ms, value, value, pick);
        pick(self.before, self.current)
    }
}
