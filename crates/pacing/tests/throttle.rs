//! Gradual throttling over several gateways in virtual time. Clients send at a steady rate, retry when they are asked
//! to, and give up after two retries. Gateways request shares from the leader every half second, lose contact with
//! it, and restart.

use nickeljunction_pacing::{Arrival, Pacer, Rank, StageSchedule, Throttle, Verdict};
use nickeljunction_schema::Document;
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const TENANT: &str = "corner";
const SERVICE_MS: f64 = 100.0;
const CLIENT_TIMEOUT_MS: f64 = 3_000.0;
const RANKS: [Rank; 3] = [Rank::Deferrable, Rank::Interactive, Rank::Booking];

fn stage_json((for_s, wait_s, read_wait_s, pace): &(f64, f64, f64, f64)) -> serde_json::Value {
    serde_json::json!({"for_s": for_s, "wait_s": wait_s, "read_wait_s": read_wait_s, "pace": pace})
}

/// A schedule with these stages: duration, s; delay, s; delay of reads, s; pace as a fraction of a rate of 100 per
/// second.
fn schedule(stages: &[(f64, f64, f64, f64)]) -> StageSchedule {
    let config = serde_json::json!({"config_version": 1, "routes": {}, "backends": {},
        "tenants": {TENANT: {"api_keys": ["k"], "rate_per_s": 100}},
        "trials": {TENANT: {"floor_per_s": 5, "stages": stages.iter().map(stage_json).collect::<Vec<_>>()}}});
    StageSchedule::for_tenant(Document::of(config).expect("valid").config(), TENANT)
}

/// A request that is on its way to a gateway.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    gateway: usize,
    rank: Rank,
    /// When it arrives at the gateway, ms.
    arrives: f64,
    /// Time until the client's deadline, ms.
    remaining_ms: f64,
    /// Number of earlier attempts.
    retries: u32,
    /// Gateway and arrival time of the first attempt.
    first: (usize, f64),
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy)]
struct Completion {
    /// Gateway of the first attempt.
    gateway: usize,
    rank: Rank,
    /// Arrival time of the first attempt, ms.
    arrived: f64,
    /// Time from the first arrival until any gateway forwarded the request, ms; `None`: the client gave up.
    wait_ms: Option<f64>,
    was_retried: bool,
}

struct Harness {
    seed: u64,
    rng: fastrand::Rng,
    now: f64,
    schedule: StageSchedule,
    throttles: Vec<Throttle>,
    incarnations: Vec<u64>,
    is_partitioned: Vec<bool>,
    pacer: Pacer,
    /// Step and stage of the trial.
    stage: (u64, u32),
    /// Relative traffic of each gateway.
    weights: Vec<f64>,
    /// Requests per second, by rank.
    rates: [f64; 3],
    /// Arrival time, in microseconds, and number of each pending attempt, the earliest first.
    arrivals: BinaryHeap<Reverse<(u64, u64)>>,
    /// Attempts on their way, by number.
    pending: BTreeMap<u64, Attempt>,
    seq: u64,
    completions: Vec<Completion>,
    retry_later_count: u64,
}

impl Harness {
    fn new(seed: u64, schedule: StageSchedule, weights: Vec<f64>, rates: [f64; 3]) -> Harness {
        let size = weights.len();
        let mut harness = Harness {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            schedule,
            throttles: Vec::new(),
            incarnations: (0..size as u64).collect(),
            is_partitioned: vec![false; size],
            pacer: Pacer::default(),
            stage: (0, 0),
            weights,
            rates,
            arrivals: BinaryHeap::new(),
            pending: BTreeMap::new(),
            seq: 0,
            completions: Vec::new(),
            retry_later_count: 0,
        };
        harness.throttles = vec![Throttle::default(); size];
        harness
    }

    /// Commits the next stage and sends it to all gateways that can reach the leader; it begins 300 ms later.
    fn enter_stage(&mut self, stage: u32) {
        self.stage = (self.stage.0 + 1, stage);
        (0..self.throttles.len()).for_each(|gateway| self.send_stage(gateway, 300.0));
    }

    fn send_stage(&mut self, gateway: usize, in_ms: f64) {
        let (step, stage) = self.stage;
        if !self.is_partitioned[gateway] && step > 0 {
            // The message takes up to 20 ms.
            let latency = self.rng.f64() * 20.0;
            self.throttles[gateway].set_stage(
                self.now + latency,
                TENANT,
                step,
                stage,
                (in_ms - latency).max(0.0),
            );
            let schedule = &self.schedule;
            self.throttles[gateway].set_schedules(|_| Some(schedule.clone()));
        }
    }

    fn restart(&mut self, gateway: usize) {
        self.throttles[gateway] = Throttle::default();
        self.incarnations[gateway] += 100;
        self.send_stage(gateway, 0.0);
    }

    fn request_shares(&mut self, gateway: usize) {
        if self.is_partitioned[gateway] {
            return;
        }
        self.seq += 1;
        let (demand, held) =
            (self.throttles[gateway].demand(self.now), self.throttles[gateway].shares_in_use(self.now));
        let (name, pace) = (format!("edge-{gateway}"), self.schedule.effect(self.stage.1).pace_per_s);
        let caller = (name.as_str(), self.incarnations[gateway], self.seq);
        let size = self.throttles.len();
        let answer = self.pacer.allocate(self.now as u64, caller, &demand, &held, |_| Some(pace), size);
        self.throttles[gateway].set_shares(&answer);
    }

    fn schedule_attempt(&mut self, attempt: Attempt) {
        self.seq += 1;
        self.arrivals.push(Reverse(((attempt.arrives * 1_000.0) as u64, self.seq)));
        self.pending.insert(self.seq, attempt);
    }

    /// Runs until `end`, ms.
    fn run_until(&mut self, end: f64) {
        let total_weight: f64 = self.weights.iter().sum();
        for (gateway, weight) in self.weights.clone().into_iter().enumerate() {
            for (rank, rate) in RANKS.into_iter().zip(self.rates) {
                // A steady rate with random gaps, as from many clients.
                let mean_gap = 1_000.0 * total_weight / (rate * weight).max(1e-9);
                let mut next = self.now + mean_gap * self.rng.f64();
                while next < end {
                    self.schedule_attempt(Attempt {
                        gateway,
                        rank,
                        arrives: next,
                        remaining_ms: CLIENT_TIMEOUT_MS,
                        retries: 0,
                        first: (gateway, next),
                    });
                    next += mean_gap * (0.5 + self.rng.f64());
                }
            }
        }
        let mut next_calls: Vec<f64> =
            (0..self.throttles.len()).map(|gateway| self.now + 50.0 * gateway as f64).collect();
        while let Some(Reverse((arrives_us, number))) = self.arrivals.pop() {
            let now = arrives_us as f64 / 1_000.0;
            if now >= end {
                self.arrivals.push(Reverse((arrives_us, number)));
                break;
            }
            for (gateway, next_call) in next_calls.iter_mut().enumerate() {
                while *next_call <= now {
                    self.now = self.now.max(*next_call);
                    self.request_shares(gateway);
                    *next_call += 500.0;
                }
            }
            self.now = self.now.max(now);
            let attempt = self.pending.remove(&number).expect("pending");
            self.arrive(attempt);
        }
        self.now = end;
    }

    fn arrive(&mut self, attempt: Attempt) {
        let Attempt { gateway, rank, remaining_ms, retries, first, .. } = attempt;
        let is_retry = retries > 0;
        let arrival = Arrival { rank, remaining_ms, expected_ms: SERVICE_MS, is_retry };
        let now = self.now;
        let completion = |forwarded: Option<f64>| {
            let wait_ms = forwarded.map(|forwarded| forwarded - first.1);
            Completion { gateway: first.0, rank, arrived: first.1, wait_ms, was_retried: is_retry }
        };
        match self.throttles[gateway].admit(now, TENANT, &arrival) {
            Verdict::Pass => self.completions.push(completion(Some(now))),
            Verdict::Delay { until } => {
                assert!(
                    until + SERVICE_MS <= now + remaining_ms,
                    "seed {}: delayed beyond the client's deadline",
                    self.seed
                );
                assert!(rank != Rank::Booking, "seed {}: a booking was delayed", self.seed);
                self.throttles[gateway].end_delay(TENANT);
                self.completions.push(completion(Some(until)));
            }
            Verdict::RetryLater { retry_after_ms } => {
                self.retry_later_count += 1;
                let pause = retry_after_ms.min(remaining_ms / 3.0);
                if retries >= 2 {
                    return self.completions.push(completion(None));
                }
                // The client opens a new connection, which may reach any gateway.
                let gateway = self.pick_gateway();
                let (arrives, remaining_ms) = (now + pause, remaining_ms - pause);
                self.schedule_attempt(Attempt {
                    gateway,
                    rank,
                    arrives,
                    remaining_ms,
                    retries: retries + 1,
                    first,
                });
            }
        }
    }

    fn pick_gateway(&mut self) -> usize {
        let mut point = self.rng.f64() * self.weights.iter().sum::<f64>();
        self.weights
            .iter()
            .position(|weight| {
                (point < *weight) || {
                    point -= weight;
                    false
                }
            })
            .unwrap_or(0)
    }

    /// Mean delay, by gateway, of the requests of a rank that arrived in a time span. Gateways without any are left
    /// out.
    fn mean_waits(&self, rank: Rank, from: f64, to: f64) -> Vec<f64> {
        let mut sums = vec![(0.0, 0); self.throttles.len()];
        let is_in_span =
            |request: &&Completion| request.rank == rank && (from..to).contains(&request.arrived);
        for request in self.completions.iter().filter(is_in_span) {
            if let Some(wait_ms) = request.wait_ms {
                let (sum, count) = sums[request.gateway];
                sums[request.gateway] = (sum + wait_ms, count + 1);
            }
        }
        sums.into_iter().filter(|(_, count)| *count > 0).map(|(sum, count)| sum / f64::from(count)).collect()
    }

    fn mean_wait(&self, rank: Rank, from: f64, to: f64) -> f64 {
        let waits = self.mean_waits(rank, from, to);
        waits.iter().sum::<f64>() / waits.len().max(1) as f64
    }
}

/// Jain's fairness index: 1 if all values are equal.
fn jain(values: &[f64]) -> f64 {
    let (sum, squares) = (values.iter().sum::<f64>(), values.iter().map(|value| value * value).sum::<f64>());
    sum * sum / (values.len() as f64 * squares).max(f64::MIN_POSITIVE)
}

/// Relative traffic of nine gateways.
const UNEVEN_WEIGHTS: [f64; 9] = [1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 3.0, 3.0, 5.0];

#[test]
fn all_gateways_add_the_same_delay_through_restarts_and_partitions() {
    let stages = [(9.0, 0.1, 0.0, 1.0), (9.0, 0.25, 0.05, 1.0), (9.0, 0.5, 0.12, 0.9)];
    for seed in 0..6 {
        let mut harness = Harness::new(seed, schedule(&stages), UNEVEN_WEIGHTS.to_vec(), [40.0, 25.0, 10.0]);
        harness.run_until(2_000.0);
        harness.enter_stage(1);
        harness.run_until(11_000.0);
        (harness.is_partitioned[4], harness.is_partitioned[8]) = (true, true);
        harness.enter_stage(2);
        harness.run_until(13_000.0);
        assert!(
            harness.throttles[4].tenant_statuses(harness.now)[0].stage == 1,
            "a partitioned gateway keeps its stage"
        );
        (harness.is_partitioned[4], harness.is_partitioned[8]) = (false, false);
        harness.send_stage(4, 0.0);
        harness.send_stage(8, 0.0);
        harness.restart(7);
        harness.pacer = Pacer::default();
        harness.run_until(20_000.0);
        harness.enter_stage(3);
        harness.run_until(30_000.0);
        for (from, to, deferrable_ms, reads_ms) in [
            (4_000.0, 11_000.0, 100.0, 0.0),
            (15_000.0, 20_000.0, 250.0, 50.0),
            (22_000.0, 30_000.0, 500.0, 120.0),
        ] {
            let waits = harness.mean_waits(Rank::Deferrable, from, to);
            assert!(jain(&waits) >= 0.98, "seed {seed}, from {from}: {waits:?}");
            let mean = harness.mean_wait(Rank::Deferrable, from, to);
            assert!((mean - deferrable_ms).abs() < 0.1 * deferrable_ms, "seed {seed}, from {from}: {mean}");
            let mean = harness.mean_wait(Rank::Interactive, from, to);
            assert!((mean - reads_ms).abs() < 10.0, "seed {seed}, from {from}: reads {mean}");
        }
        // At five sixths of the pace hardly any client is asked to retry, at small gateways too.
        let (retries, total) = (harness.retry_later_count, harness.completions.len() as u64);
        assert!(retries * 100 <= total, "seed {seed}: {retries} of {total} requests were asked to retry");
        assert!(harness.mean_wait(Rank::Booking, 0.0, 30_000.0) < 0.1, "seed {seed}: bookings were delayed");
    }
}

#[test]
fn a_tenant_above_its_pace_is_throttled_by_rank() {
    for seed in 10..14 {
        // 94 requests per second at a pace of 70: 12 bookings and 30 reads leave 28 for the 52 deferrable requests.
        let mut harness = Harness::new(
            seed,
            schedule(&[(60.0, 0.2, 0.05, 0.7)]),
            UNEVEN_WEIGHTS.to_vec(),
            [52.0, 30.0, 12.0],
        );
        harness.enter_stage(1);
        harness.run_until(40_000.0);
        let of = |rank| {
            harness
                .completions
                .iter()
                .filter(move |request| request.rank == rank && request.arrived > 6_000.0)
        };
        let served = |rank| of(rank).filter(|request| request.wait_ms.is_some()).count() as f64;
        let served_fraction = RANKS.map(|rank| served(rank) / of(rank).count() as f64);
        assert_eq!(served_fraction[2], 1.0, "seed {seed}: every booking passes: {served_fraction:?}");
        assert!(
            served_fraction[1] > 0.98 && served_fraction[0] < served_fraction[1],
            "seed {seed}: {served_fraction:?}"
        );
        assert!(
            served_fraction[0] > 0.45,
            "seed {seed}: deferrable requests get the rest: {served_fraction:?}"
        );
        // Every second has at least the floor, and the mean is never far above the pace.
        let mut per_second = [0.0; 40];
        for request in harness.completions.iter() {
            if let Some(wait_ms) = request.wait_ms {
                let second = ((request.arrived + wait_ms) / 1_000.0) as usize;
                per_second.iter_mut().skip(second).take(1).for_each(|count| *count += 1.0);
            }
        }
        let lowest = per_second[2..38].iter().copied().fold(f64::INFINITY, f64::min);
        let mean = per_second[8..38].iter().sum::<f64>() / 30.0;
        assert!(
            lowest >= 5.0 && (60.0..77.0).contains(&mean),
            "seed {seed}: lowest {lowest}, mean {mean}: {per_second:?}"
        );
        let waits = harness.mean_waits(Rank::Deferrable, 8_000.0, 40_000.0);
        assert!(jain(&waits) >= 0.98, "seed {seed}: {waits:?}");
    }
}

#[test]
fn slightly_above_the_pace_a_client_that_retries_when_asked_is_served() {
    let mut harness = Harness::new(3, schedule(&[(60.0, 0.1, 0.02, 0.5)]), vec![1.0; 3], [40.0, 10.0, 5.0]);
    harness.enter_stage(1);
    harness.run_until(30_000.0);
    let retried: Vec<&Completion> =
        harness.completions.iter().filter(|request| request.was_retried).collect();
    let failed = retried.iter().filter(|request| request.wait_ms.is_none()).count();
    assert!(
        retried.len() > 20 && failed * 10 <= retried.len(),
        "{failed} of {} retried requests failed",
        retried.len()
    );
}

#[test]
fn bookings_above_the_pace_are_declined_at_once_and_pass_when_retried() {
    let mut harness = Harness::new(5, schedule(&[(60.0, 0.4, 0.1, 0.2)]), vec![1.0; 3], [0.0, 0.0, 24.0]);
    harness.enter_stage(1);
    harness.run_until(20_000.0);
    let bookings = harness.completions.iter().filter(|request| request.arrived > 5_000.0);
    let (passed, passed_on_retry) = bookings
        .clone()
        .filter(|request| request.wait_ms.is_some())
        .fold((0, 0), |(passed, on_retry), request| (passed + 1, on_retry + u32::from(request.was_retried)));
    // 20 per second of 24 can pass: each booking passes or is declined, and most of the declined ones pass on a retry.
    let total = bookings.count();
    assert!(
        harness.retry_later_count > 20 && passed_on_retry > 20,
        "{} asked to retry, {passed_on_retry} passed on a retry",
        harness.retry_later_count
    );
    assert!((78..=100).contains(&(passed * 100 / total)), "{passed} of {total} passed");
}

/// A request with a shorter deadline than others looks like a retry. As long as no client was asked to retry, it must
/// be delayed like all others.
#[test]
fn a_short_deadline_alone_does_not_count_as_a_retry() {
    let mut throttle = Throttle::default();
    throttle.set_stage(0.0, TENANT, 1, 1, 0.0);
    throttle.set_schedules(|_| Some(schedule(&[(60.0, 0.4, 0.1, 1.0)])));
    for number in 0..200 {
        let now = 2_000.0 + 50.0 * f64::from(number);
        let remaining_ms = 2_000.0 + 10.0 * f64::from(number % 200);
        let arrival =
            Arrival { rank: Rank::Deferrable, remaining_ms, expected_ms: 100.0, is_retry: number % 4 != 0 };
        assert_eq!(throttle.admit(now, TENANT, &arrival), Verdict::Delay { until: now + 400.0 });
        throttle.end_delay(TENANT);
    }
}

#[test]
fn delays_follow_lapse_restore_and_new_lapse_despite_delayed_messages_and_a_paused_gateway() {
    let mut throttle = Throttle::default();
    let stages = [(9.0, 0.1, 0.0, 1.0), (9.0, 0.4, 0.1, 1.0), (9.0, 0.8, 0.2, 1.0)];
    let delay_ms = |throttle: &mut Throttle, now: f64| {
        throttle.set_schedules(|_| Some(schedule(&stages)));
        let arrival =
            Arrival { rank: Rank::Deferrable, remaining_ms: 9_000.0, expected_ms: 10.0, is_retry: false };
        match throttle.admit(now, TENANT, &arrival) {
            Verdict::Delay { until } => {
                throttle.end_delay(TENANT);
                until - now
            }
            Verdict::Pass => 0.0,
            verdict => panic!("{verdict:?}"),
        }
    };
    assert!(!throttle.is_throttling(0.0) && delay_ms(&mut throttle, 0.0) == 0.0);
    assert!(throttle.set_stage(0.0, TENANT, 1, 1, 300.0));
    assert_eq!(delay_ms(&mut throttle, 299.0), 0.0, "before the stage begins");
    assert_eq!(delay_ms(&mut throttle, 2_000.0), 100.0);
    // The gateway was paused while two stages passed, and resumes in the third; the message on the second comes late.
    assert!(throttle.set_stage(30_000.0, TENANT, 3, 3, 0.0));
    assert!(
        !throttle.set_stage(30_001.0, TENANT, 2, 2, 0.0),
        "an older message must not lead back to an earlier stage"
    );
    assert_eq!(delay_ms(&mut throttle, 30_500.0), 450.0, "half way between the stages");
    assert_eq!(delay_ms(&mut throttle, 32_000.0), 800.0);
    // Restored: the delay falls gradually over the ramp, without a jump.
    assert!(throttle.set_stage(40_000.0, TENANT, 4, 0, 0.0));
    let mut previous = 800.0;
    for step in 1..=10 {
        let wait = delay_ms(&mut throttle, 40_000.0 + 100.0 * f64::from(step));
        assert!(wait <= previous && previous - wait < 81.0, "{previous} {wait}");
        previous = wait;
    }
    assert!(!throttle.is_throttling(41_000.0));
    assert!(throttle.set_stage(41_100.0, TENANT, 5, 1, 0.0) && throttle.is_throttling(41_100.0));
    assert_eq!(delay_ms(&mut throttle, 43_000.0), 100.0);
}

#[test]
fn the_number_of_delayed_requests_is_bounded_with_a_thousand_lapsed_tenants() {
    let mut throttle = Throttle::default();
    let arrival =
        Arrival { rank: Rank::Deferrable, remaining_ms: 2_000.0, expected_ms: 100.0, is_retry: false };
    let (mut delayed, mut retry_later) = (0, 0);
    for tenant in 0..1_000 {
        throttle.set_stage(0.0, &tenant.to_string(), 1, 1, 0.0);
    }
    throttle.set_schedules(|_| Some(schedule(&[(9.0, 0.5, 0.1, 1.0)])));
    for tenant in 0..1_000 {
        for _ in 0..3 {
            match throttle.admit(2_000.0, &tenant.to_string(), &arrival) {
                Verdict::Delay { .. } => delayed += 1,
                Verdict::RetryLater { retry_after_ms } => {
                    assert!(retry_after_ms > 0.0);
                    retry_later += 1;
                }
                Verdict::Pass => panic!("the stage has a delay"),
            }
        }
    }
    assert_eq!((delayed, retry_later), (256, 2_744));
    assert_eq!(
        throttle.admit(2_000.0, "other", &arrival),
        Verdict::Pass,
        "a tenant whose trial never lapsed is not throttled"
    );
    let booking = Arrival { rank: Rank::Booking, ..arrival };
    assert_eq!(
        throttle.admit(2_000.0, "0", &booking),
        Verdict::Pass,
        "a booking does not count as a delayed request"
    );
    (0..256).for_each(|_| throttle.end_delay("0"));
    assert!(matches!(throttle.admit(2_000.0, "999", &arrival), Verdict::Delay { .. }));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// For any sequence of requests: none is delayed beyond its deadline, bookings are never delayed, and every time
    /// after which to retry is within its limits.
    #[test]
    fn no_request_is_delayed_beyond_its_deadline(
        share in 0.0f64..40.0,
        requests in proptest::collection::vec(
            (0u8..3, 0.0f64..4_000.0, 0.0f64..900.0, any::<bool>(), 0.0f64..300.0),
            1..120,
        ),
    ) {
        let mut throttle = Throttle::default();
        throttle.set_stage(0.0, TENANT, 1, 2, 0.0);
        throttle.set_schedules(|_| Some(schedule(&[(9.0, 0.1, 0.0, 1.0), (9.0, 0.9, 0.4, 0.4)])));
        throttle.set_shares(&BTreeMap::from([(TENANT.to_string(), share)]));
        let mut now = 0.0;
        for (rank, remaining_ms, expected_ms, is_retry, gap) in requests {
            now += gap;
            let rank = RANKS[usize::from(rank)];
            match throttle.admit(now, TENANT, &Arrival { rank, remaining_ms, expected_ms, is_retry }) {
                Verdict::Pass => {}
                Verdict::Delay { until } => {
                    prop_assert!(rank != Rank::Booking && until > now && until + expected_ms <= now + remaining_ms);
                }
                Verdict::RetryLater { retry_after_ms } => prop_assert!((20.0..=30_000.0).contains(&retry_after_ms)),
            }
        }
    }
}
