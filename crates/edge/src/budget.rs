//! Limits on sends to servers: retries of a service, and sends to a cold server.
//!
//! Sans-IO: times are ms of a monotonic clock and are passed to each call.

/// Slices that a window is counted in.
const SLICES: u64 = 50;
/// Part of the allowed retry ratio that gateways use. The two ends of a connection differ slightly in what they count a
/// request as and when.
const RATIO_PART: f64 = 0.7;
/// Number of gateways assumed until the core's leader has reported it.
pub const DEFAULT_GATEWAY_COUNT: u32 = 16;

/// One gateway's share of the slack that all gateways have together. Half of the slack is left unused, because gateways
/// may disagree about their number.
pub fn slack_share(slack: u32, gateways: u32) -> u32 {
    slack / (2 * gateways.max(1))
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    first_sends: u32,
    retries: u32,
}

/// The number of retries that a service may get from this gateway: a ratio of the first sends in a sliding window,
/// plus a share of the common slack. The sum over all gateways then stays below the rule's limit, whatever load each
/// of them has.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    slice_ms: u64,
    ratio: f64,
    slack: u32,
    slices: [Slice; SLICES as usize + 1],
}

impl RetryBudget {
    /// In any `window_ms` (at least 50) fewer retries are allowed than `ratio` times the first sends, plus
    /// `slack_share`.
    pub fn new(window_ms: u64, ratio: f64, slack_share: u32) -> RetryBudget {
        let slice_ms = (window_ms / SLICES).max(1) + u64::from(!window_ms.is_multiple_of(SLICES));
        RetryBudget { slice_ms, ratio, slack: slack_share, slices: [Slice::default(); SLICES as usize + 1] }
    }

    /// Changes the share of the slack.
    pub fn set_slack(&mut self, slack_share: u32) {
        self.slack = slack_share;
    }

    /// Counts the first send of a request.
    pub fn record_first_send(&mut self, now: u64) {
        self.slice(now).first_sends += 1;
    }

    /// Counts a retry if the budget allows one; `false`: it does not.
    pub fn try_retry(&mut self, now: u64) -> bool {
        let current = now / self.slice_ms;
        let (mut first_sends, mut retries) = (0u64, 0u64);
        for slice in &self.slices {
            // Retries count in slices that the window touches, first sends only in slices that it covers.
            if slice.number <= current && slice.number + SLICES >= current {
                retries += u64::from(slice.retries);
                first_sends += if slice.number + SLICES > current { u64::from(slice.first_sends) } else { 0 };
            }
        }
        let allowed = self.ratio * RATIO_PART * first_sends as f64 + f64::from(self.slack);
        let is_allowed = (retries + 1) as f64 <= allowed;
        if is_allowed {
            self.slice(now).retries += 1;
        }
        is_allowed
    }

    /// Takes back a retry that was counted at `counted_at` and never sent.
    pub fn cancel_retry(&mut self, counted_at: u64) {
        let number = counted_at / self.slice_ms;
        let slice = &mut self.slices[(number % (SLICES + 1)) as usize];
        if slice.number == number {
            slice.retries = slice.retries.saturating_sub(1);
        }
    }

    fn slice(&mut self, now: u64) -> &mut Slice {
        let number = now / self.slice_ms;
        let slice = &mut self.slices[(number % (SLICES + 1)) as usize];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        slice
    }
}

/// Paces the sends to one cold server: evenly spaced and one at a time, so that it never gets a burst.
#[derive(Debug, Clone, Copy)]
pub struct SendPacer {
    interval_ms: u64,
    next_send: u64,
}

impl SendPacer {
    /// Allows `per_s` sends per second, 0 for none; the first one immediately.
    pub fn new(now: u64, per_s: f64) -> SendPacer {
        SendPacer {
            interval_ms: SendPacer::interval_ms(per_s),
            next_send: if per_s > 0.0 { now } else { u64::MAX },
        }
    }

    /// Changes the rate. The interval that has begun is kept, unless it is infinite or longer than the new one.
    pub fn set_rate(&mut self, now: u64, per_s: f64) {
        let interval_ms = SendPacer::interval_ms(per_s);
        if interval_ms != self.interval_ms {
            let is_stopped = interval_ms == u64::MAX;
            self.next_send =
                if is_stopped { u64::MAX } else { self.next_send.min(now.saturating_add(interval_ms)) };
            self.interval_ms = interval_ms;
        }
    }

    /// Whether a send is allowed now.
    pub fn is_ready(&self, now: u64) -> bool {
        now >= self.next_send
    }

    /// When the next send is allowed, ms; `u64::MAX` for never.
    pub fn next_send(&self) -> u64 {
        self.next_send
    }

    /// Counts a send if one is allowed now; `false`: none is.
    pub fn try_send(&mut self, now: u64) -> bool {
        let is_ready = self.is_ready(now);
        if is_ready {
            self.next_send = now.saturating_add(self.interval_ms);
        }
        is_ready
    }

    fn interval_ms(per_s: f64) -> u64 {
        if per_s > 0.0 {
            (1000.0 / per_s).ceil() as u64
        } else {
            u64::MAX
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Checks every window that ends with a retry, for random arrivals and with all sends failing.
        #[test]
        fn retries_stay_within_the_ratio_and_slack_in_every_window(
            gaps in proptest::collection::vec((0u64..400, 0u32..4), 1..400),
            slack in 0u32..6,
        ) {
            let (window, ratio) = (10_000, 0.2);
            let mut budget = RetryBudget::new(window, ratio, slack);
            let (mut now, mut first_sends, mut retries) = (123_456, Vec::new(), Vec::new());
            for (gap, attempts) in gaps {
                now += gap;
                budget.record_first_send(now);
                first_sends.push(now);
                for _ in 0..attempts {
                    if budget.try_retry(now) {
                        retries.push(now);
                    }
                }
                let in_window = |times: &[u64]| times.iter().filter(|time| **time + window > now).count() as f64;
                let was_granted = retries.last() == Some(&now);
                let limit = ratio * RATIO_PART * in_window(&first_sends) + f64::from(slack);
                prop_assert!(!was_granted || in_window(&retries) <= limit);
            }
        }
    }

    #[test]
    fn retries_follow_recent_first_sends_and_a_cancelled_retry_is_returned() {
        let mut budget = RetryBudget::new(10_000, 0.2, 0);
        (0..1_000).for_each(|n| budget.record_first_send(n * 10));
        let granted = (0..300).filter(|_| budget.try_retry(10_000)).count();
        assert!((130..=140).contains(&granted), "{granted}");
        budget.cancel_retry(10_000);
        assert!(budget.try_retry(10_050) && !budget.try_retry(10_051));
        assert!(!budget.try_retry(40_000), "first sends outside of the window count");
        assert_eq!((slack_share(58, 9), slack_share(58, 16), slack_share(58, 100)), (3, 1, 0));
    }

    #[test]
    fn sends_to_a_cold_server_are_evenly_spaced() {
        let mut pacer = SendPacer::new(1_000, 4.0);
        let sent: Vec<u64> = (1_000..2_001).filter(|now| pacer.try_send(*now)).collect();
        assert_eq!(sent, [1_000, 1_250, 1_500, 1_750, 2_000]);
        pacer.set_rate(2_001, 0.0);
        assert!(!pacer.is_ready(u64::MAX - 1));
        pacer.set_rate(3_000, 2.0);
        assert_eq!(pacer.next_send(), 3_500);
    }
}
