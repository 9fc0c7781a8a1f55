//! The schedule of an orderly shutdown, without I/O: until when servers may work for this process, when the last
//! answer must be written, and whether a request or a send that would begin now can still finish in time.
//!
//! ```text
//! SIGTERM                                       work_until   answers_until   grace_s
//!    |--- new requests, if they fit -----------------|              |            |
//!    |--- servers at work -------------------------->|- answers --->|- the end ->|
//! ```
//!
//! The caller checks [`Shutdown::admits_request`] before it accepts a request and [`Shutdown::admits_send`] before it
//! sends the request to a server, and limits the deadline that the server gets with [`Shutdown::bound_deadline`].
//! Most servers stop at their deadline and answer that they did. Because some don't, a late request is not accepted
//! if its server could still be working when the process ends.

/// Time at the end of the grace period for returning quota units and writing the last bytes to clients, ms.
const FINAL_MS: f64 = 650.0;
/// Time for a server's last answer to be received and forwarded to the client, ms.
const ANSWER_RELAY_MS: f64 = 350.0;
/// A schedule that starts late by no more than this still leaves enough time at the end, ms.
const TOLERATED_DELAY_MS: f64 = 200.0;
/// Requests that arrive up to this long after the shutdown order may still be in progress when the process ends, ms,
/// because a server may work past its deadline. The operators' limit is 3 s after the request was sent; the
/// difference covers the request's transit and a late start of the schedule.
const LONG_WORK_MS: f64 = 2_800.0;
/// A request is assumed to need at most this part of the time for work, however long its route lets it take: nearly any
/// server can answer within that time, and is told to stop if it can't.
const MAX_NEEDED_PART: f64 = 0.5;
/// A send is assumed to need this part of what its request needed: some of that time has passed, and most requests take
/// less.
const SEND_NEEDED_PART: f64 = 0.5;

/// When the phases of an orderly shutdown end, ms of the process clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shutdown {
    /// When this process learned of the shutdown order.
    pub began: f64,
    /// The last moment at which a server may work on a request that was sent to it after the order.
    pub work_until: f64,
    /// When every answer must be on its way to the client.
    pub answers_until: f64,
    /// A request that arrives later is accepted only if its client's deadline is before `answers_until`.
    long_work_until: f64,
}

impl Shutdown {
    /// A shutdown that begins now. The process is killed `grace_ms` after the order, which may have been given up to
    /// `late_ms` ago: a process that gets no CPU time learns of the order late, while the platform's clock runs.
    pub fn begin(now: f64, late_ms: f64, grace_ms: f64) -> Shutdown {
        let lost_ms = (late_ms - TOLERATED_DELAY_MS).max(0.0);
        let answers_until = now + (grace_ms - lost_ms - FINAL_MS).max(0.0);
        let work_until = (answers_until - ANSWER_RELAY_MS).max(now);
        let long_work_until = now - lost_ms + LONG_WORK_MS;
        Shutdown { began: now, work_until, answers_until, long_work_until }
    }

    /// Whether a request may be accepted now that arrived at `arrived`, is worth most if answered within
    /// `target_latency_ms`, and whose client stops waiting at `deadline`.
    pub fn admits_request(&self, now: f64, arrived: f64, target_latency_ms: f64, deadline: f64) -> bool {
        let ends_in_time = arrived <= self.long_work_until || deadline <= self.answers_until;
        ends_in_time && now + self.needed_ms(target_latency_ms) <= self.work_until
    }

    /// Whether such a request may be sent to a server now, for the first time or again.
    pub fn admits_send(&self, now: f64, target_latency_ms: f64) -> bool {
        now + self.needed_ms(target_latency_ms) * SEND_NEEDED_PART <= self.work_until
    }

    /// The deadline that a server gets for a request whose client stops waiting at `deadline`.
    pub fn bound_deadline(&self, deadline: f64) -> f64 {
        deadline.min(self.work_until)
    }

    /// The time-out of a request that arrived at `arrived` and whose client would wait `patience_ms`.
    pub fn bound_patience(&self, arrived: f64, patience_ms: f64) -> f64 {
        patience_ms.min(self.answers_until - arrived)
    }

    fn needed_ms(&self, target_latency_ms: f64) -> f64 {
        target_latency_ms.min((self.work_until - self.began) * MAX_NEEDED_PART)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GRACE_MS: f64 = 6_000.0;

    #[test]
    fn requests_are_admitted_as_long_as_they_fit_into_the_time_for_work() {
        for began in [0.0, 12_345.0] {
            let shutdown = Shutdown::begin(began, 0.0, GRACE_MS);
            assert_eq!((shutdown.work_until, shutdown.answers_until), (began + 5_000.0, began + 5_350.0));
            for target_ms in [1.0, 400.0, 800.0, 1_200.0, 2_000.0, 30_000.0] {
                let times = (0..6_000).map(|after| began + f64::from(after));
                let admitted: Vec<f64> =
                    times.filter(|now| shutdown.admits_request(*now, *now, target_ms, *now)).collect();
                let last = admitted.last().copied().unwrap_or(f64::NEG_INFINITY);
                assert!(last + target_ms.min(2_500.0) <= shutdown.work_until, "target {target_ms}: {last}");
                // Requests are admitted up to that moment, and an admitted request can be sent.
                assert_eq!(last, shutdown.work_until - target_ms.min(2_500.0));
                assert!(shutdown.admits_send(last + target_ms.min(2_500.0) / 2.0, target_ms));
                assert!(!shutdown.admits_send(shutdown.work_until, target_ms));
            }
        }
    }

    #[test]
    fn deadlines_are_cut_at_the_schedule_and_shorter_ones_stay() {
        let shutdown = Shutdown::begin(1_000.0, 0.0, GRACE_MS);
        assert_eq!(shutdown.bound_deadline(3_000.0), 3_000.0);
        assert_eq!(shutdown.bound_deadline(9_000.0), shutdown.work_until);
        assert_eq!(shutdown.bound_patience(2_000.0, 500.0), 500.0);
        assert_eq!(2_000.0 + shutdown.bound_patience(2_000.0, 60_000.0), shutdown.answers_until);
        assert!(shutdown.work_until < shutdown.answers_until);
        assert!(shutdown.answers_until < 1_000.0 + GRACE_MS);
    }

    #[test]
    fn late_requests_are_admitted_only_with_a_deadline_before_the_end() {
        let shutdown = Shutdown::begin(0.0, 0.0, GRACE_MS);
        for patience_ms in [500.0, 1_500.0, 3_000.0, 60_000.0] {
            for now in (0..6_000).map(f64::from).filter(|now| *now > LONG_WORK_MS) {
                let deadline = now + patience_ms;
                assert!(
                    !shutdown.admits_request(now, now, 100.0, deadline) || deadline <= shutdown.answers_until
                );
                // It arrived in time and was delayed since.
                assert_eq!(shutdown.admits_request(now, 1_000.0, 100.0, deadline), now <= 4_900.0);
            }
            assert!(shutdown.admits_request(LONG_WORK_MS, LONG_WORK_MS, 100.0, 90_000.0));
        }
        assert!(shutdown.admits_request(3_850.0, 3_850.0, 600.0, 5_350.0));
    }

    #[test]
    fn a_schedule_that_starts_late_still_ends_before_the_kill() {
        let ordered_at = 1_000.0;
        for late_ms in (0..6_000).map(f64::from) {
            let shutdown = Shutdown::begin(ordered_at + late_ms, late_ms, GRACE_MS);
            let end = ordered_at + GRACE_MS - FINAL_MS + TOLERATED_DELAY_MS;
            assert!(shutdown.answers_until <= end.max(ordered_at + late_ms), "{late_ms}");
            assert!(
                late_ms > TOLERATED_DELAY_MS
                    || shutdown.answers_until == ordered_at + late_ms + GRACE_MS - FINAL_MS
            );
            assert!(shutdown.began <= shutdown.work_until && shutdown.work_until <= shutdown.answers_until);
        }
    }

    #[test]
    fn nothing_is_admitted_without_a_grace_period() {
        for grace_ms in [0.0, 500.0, 900.0] {
            let shutdown = Shutdown::begin(7.0, 0.0, grace_ms);
            assert!(shutdown.work_until <= shutdown.answers_until);
            assert!(
                !shutdown.admits_request(8.0, 8.0, 1.0, 9.0) && !shutdown.admits_send(8.0, 1.0),
                "{grace_ms}"
            );
        }
    }
}
