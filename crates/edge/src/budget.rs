//! Bounds on what goes out to servers: sends beyond the first of a request, and sends to a cold server.
//!
//! Sans-IO: times are ms of a steady clock and come with each call.

/// Slices that a window is counted in.
const SLICES: u64 = 50;
/// Part of the allowed ratio that gateways use: what a request counts for, and when, differs a little between the two ends
/// of a connection.
const RATIO_PART: f64 = 0.7;
/// Gateways to reckon with before the core has told how many there are.
pub const DEFAULT_GATEWAY_COUNT: u32 = 16;

/// One gateway's part of the slack that all share: half of it is left for what gateways see differently.
pub fn slack_share(slack: u32, gateways: u32) -> u32 {
    slack / (2 * gateways.max(1))
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    firsts: u32,
    repeats: u32,
}

/// How many further sends a service may get from this gateway: a share of the first ones in a sliding window, and a part of
/// the common slack. The sum over all gateways then stays under the rule's, whatever each of them sees.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    slice_ms: u64,
    ratio: f64,
    slack: u32,
    slices: [Slice; SLICES as usize + 1],
}

impl RetryBudget {
    /// Over any `window_ms` (50 at least) the allowed sends beyond the first are under `ratio` of the first ones, plus
    /// `slack_share`.
    pub fn new(window_ms: u64, ratio: f64, slack_share: u32) -> RetryBudget {
        let slice_ms = (window_ms / SLICES).max(1) + u64::from(!window_ms.is_multiple_of(SLICES));
        RetryBudget { slice_ms, ratio, slack: slack_share, slices: [Slice::default(); SLICES as usize + 1] }
    }

    /// The share of the slack has changed.
    pub fn set_slack(&mut self, slack_share: u32) {
        self.slack = slack_share;
    }

    /// A request goes out for the first time.
    pub fn first(&mut self, now: u64) {
        self.slice(now).firsts += 1;
    }

    /// May a request go out once more? If so, it is counted.
    pub fn repeat(&mut self, now: u64) -> bool {
        let current = now / self.slice_ms;
        let (mut firsts, mut repeats) = (0u64, 0u64);
        for slice in &self.slices {
            // Slices that the window touches count for the repeats, those that it covers for the firsts.
            if slice.number <= current && slice.number + SLICES >= current {
                repeats += u64::from(slice.repeats);
                firsts += if slice.number + SLICES > current { u64::from(slice.firsts) } else { 0 };
            }
        }
        let allowed = self.ratio * RATIO_PART * firsts as f64 + f64::from(self.slack);
        let fits = (repeats + 1) as f64 <= allowed;
        if fits {
            self.slice(now).repeats += 1;
        }
        fits
    }

    /// The further send that was counted at `at` was never begun.
    pub fn unsent(&mut self, at: u64) {
        let number = at / self.slice_ms;
        let slice = &mut self.slices[(number % (SLICES + 1)) as usize];
        if slice.number == number {
            slice.repeats = slice.repeats.saturating_sub(1);
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

/// Sends to one cold server: evenly spaced, one at a time, so that it never gets a burst.
#[derive(Debug, Clone, Copy)]
pub struct SendPacer {
    pause_ms: u64,
    next: u64,
}

impl SendPacer {
    /// `per_s` sends a second, 0 for none; the first one at once.
    pub fn new(now: u64, per_s: f64) -> SendPacer {
        SendPacer { pause_ms: SendPacer::pause(per_s), next: if per_s > 0.0 { now } else { u64::MAX } }
    }

    /// Another rate from now on; the pause that runs is kept, but for one without an end.
    pub fn set_rate(&mut self, now: u64, per_s: f64) {
        let pause_ms = SendPacer::pause(per_s);
        if pause_ms != self.pause_ms {
            let stopped = pause_ms == u64::MAX;
            self.next = if stopped { u64::MAX } else { self.next.min(now.saturating_add(pause_ms)) };
            self.pause_ms = pause_ms;
        }
    }

    /// A send may go out.
    pub fn ready(&self, now: u64) -> bool {
        now >= self.next
    }

    /// When the next send may go out, ms; `u64::MAX` for never.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Takes the permit for one send, if there is one.
    pub fn take(&mut self, now: u64) -> bool {
        let ready = self.ready(now);
        if ready {
            self.next = now.saturating_add(self.pause_ms);
        }
        ready
    }

    fn pause(per_s: f64) -> u64 {
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
        /// Over every window that ends with a further send: however requests come, and with every send a failure.
        #[test]
        fn no_window_holds_more_than_its_share(
            gaps in proptest::collection::vec((0u64..400, 0u32..4), 1..400),
            slack in 0u32..6,
        ) {
            let (window, ratio) = (10_000, 0.2);
            let mut budget = RetryBudget::new(window, ratio, slack);
            let (mut now, mut firsts, mut repeats) = (123_456, Vec::new(), Vec::new());
            for (gap, tries) in gaps {
                now += gap;
                budget.first(now);
                firsts.push(now);
                for _ in 0..tries {
                    if budget.repeat(now) {
                        repeats.push(now);
                    }
                }
                let within = |times: &[u64]| times.iter().filter(|at| **at + window > now).count() as f64;
                let grants = repeats.last() == Some(&now);
                prop_assert!(!grants || within(&repeats) <= ratio * RATIO_PART * within(&firsts) + f64::from(slack));
            }
        }
    }

    #[test]
    fn a_busy_service_gets_its_share_and_what_was_not_begun_comes_back() {
        let mut budget = RetryBudget::new(10_000, 0.2, 0);
        (0..1_000).for_each(|n| budget.first(n * 10));
        let granted = (0..300).filter(|_| budget.repeat(10_000)).count();
        assert!((130..=140).contains(&granted), "{granted}");
        budget.unsent(10_000);
        assert!(budget.repeat(10_050) && !budget.repeat(10_051));
        assert!(!budget.repeat(40_000), "requests of long ago carry nothing");
        assert_eq!((slack_share(58, 9), slack_share(58, 16), slack_share(58, 100)), (3, 1, 0));
    }

    #[test]
    fn a_cold_server_gets_evenly_spaced_sends() {
        let mut permits = SendPacer::new(1_000, 4.0);
        let sent: Vec<u64> = (1_000..2_001).filter(|now| permits.take(*now)).collect();
        assert_eq!(sent, [1_000, 1_250, 1_500, 1_750, 2_000]);
        permits.set_rate(2_001, 0.0);
        assert!(!permits.ready(u64::MAX - 1));
        permits.set_rate(3_000, 2.0);
        assert_eq!(permits.next(), 3_500);
    }
}
