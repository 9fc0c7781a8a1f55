//! Gradual throttling over nine gateways in virtual time: clients that send steadily, come back as they are told, and leave; gateways that ask
//! the leader for shares each half second, are cut off, die and come anew.

use nickeljunction_pacing::{Arrival, Pacer, Rank, StageSchedule, Throttle, Verdict};
use nickeljunction_schema::Document;
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const TENANT: &str = "corner";
const SERVICE_MS: f64 = 100.0;
const LEFT_MS: f64 = 3_000.0;
const RANKS: [Rank; 3] = [Rank::Deferrable, Rank::Interactive, Rank::Booking];

/// A curve with these stages (s, wait, wait of reads, part of a rate of 100 a second).
fn curve(stages: &[(f64, f64, f64, f64)]) -> StageSchedule {
    let stage = |(for_s, wait_s, read_wait_s, pace): &(f64, f64, f64, f64)| serde_json::json!({"for_s": for_s, "wait_s": wait_s, "read_wait_s": read_wait_s, "pace": pace});
    let raw = serde_json::json!({"config_version": 1, "routes": {}, "backends": {},
        "tenants": {TENANT: {"api_keys": ["k"], "rate_per_s": 100}},
        "trials": {TENANT: {"floor_per_s": 5, "stages": stages.iter().map(stage).collect::<Vec<_>>()}}});
    StageSchedule::for_tenant(Document::of(raw).expect("valid").config(), TENANT)
}

/// A try under way to a gateway.
#[derive(Debug, Clone, Copy)]
struct Try {
    at: usize,
    rank: Rank,
    sent: f64,
    left_ms: f64,
    tries: u32,
    /// Its request's first gateway, and when that had it.
    first: (usize, f64),
}

/// What became of a request.
#[derive(Debug, Clone, Copy)]
struct End {
    /// Its first gateway.
    at: usize,
    rank: Rank,
    /// When that had it.
    came: f64,
    /// From then until it was handed on, wherever, ms; `None`: its client gave up.
    wait_ms: Option<f64>,
    again: bool,
}

struct World {
    seed: u64,
    rng: fastrand::Rng,
    now: f64,
    curve: StageSchedule,
    throttles: Vec<Throttle>,
    lives: Vec<u64>,
    cut: Vec<bool>,
    pacer: Pacer,
    stage: (u64, u32),
    /// Part of all traffic at each gateway.
    weights: Vec<f64>,
    /// Requests a second by rank.
    rates: [f64; 3],
    tries: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, Try>,
    seq: u64,
    ends: Vec<End>,
    told: u64,
}

impl World {
    fn new(seed: u64, curve: StageSchedule, weights: Vec<f64>, rates: [f64; 3]) -> World {
        let size = weights.len();
        let mut world = World {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            curve,
            throttles: Vec::new(),
            lives: (0..size as u64).collect(),
            cut: vec![false; size],
            pacer: Pacer::default(),
            stage: (0, 0),
            weights,
            rates,
            tries: BinaryHeap::new(),
            pending: BTreeMap::new(),
            seq: 0,
            ends: Vec::new(),
            told: 0,
        };
        world.throttles = vec![Throttle::default(); size];
        world
    }

    /// The next stage is on the log: everyone in touch hears of it.
    fn enter(&mut self, stage: u32) {
        self.stage = (self.stage.0 + 1, stage);
        (0..self.throttles.len()).for_each(|at| self.tell(at, 300.0));
    }

    fn tell(&mut self, at: usize, in_ms: f64) {
        let (step, stage) = self.stage;
        if !self.cut[at] && step > 0 {
            // On its way for up to 20 ms.
            let late = self.rng.f64() * 20.0;
            self.throttles[at].set_stage(self.now + late, TENANT, step, stage, (in_ms - late).max(0.0));
            let curve = &self.curve;
            self.throttles[at].set_schedules(|_| Some(curve.clone()));
        }
    }

    fn restart(&mut self, at: usize) {
        self.throttles[at] = Throttle::default();
        self.lives[at] += 100;
        self.tell(at, 0.0);
    }

    fn shares(&mut self, at: usize) {
        if self.cut[at] {
            return;
        }
        self.seq += 1;
        let (demand, held) =
            (self.throttles[at].demand(self.now), self.throttles[at].shares_in_use(self.now));
        let (name, pace) = (format!("edge-{at}"), self.curve.effect(self.stage.1).pace_per_s);
        let who = (name.as_str(), self.lives[at], self.seq);
        let size = self.throttles.len();
        let answer = self.pacer.allocate(self.now as u64, who, &demand, &held, |_| Some(pace), size);
        self.throttles[at].set_shares(&answer);
    }

    fn push(&mut self, try_: Try) {
        self.seq += 1;
        self.tries.push(Reverse(((try_.sent * 1_000.0) as u64, self.seq)));
        self.pending.insert(self.seq, try_);
    }

    /// Plays until `end`, ms.
    fn run(&mut self, end: f64) {
        let all: f64 = self.weights.iter().sum();
        for (at, weight) in self.weights.clone().into_iter().enumerate() {
            for (rank, rate) in RANKS.into_iter().zip(self.rates) {
                // Steady with some luck, as of many clients.
                let gap = 1_000.0 * all / (rate * weight).max(1e-9);
                let mut next = self.now + gap * self.rng.f64();
                while next < end {
                    self.push(Try { at, rank, sent: next, left_ms: LEFT_MS, tries: 0, first: (at, next) });
                    next += gap * (0.5 + self.rng.f64());
                }
            }
        }
        let mut asks: Vec<f64> = (0..self.throttles.len()).map(|at| self.now + 50.0 * at as f64).collect();
        while let Some(Reverse((at_us, number))) = self.tries.pop() {
            let now = at_us as f64 / 1_000.0;
            if now >= end {
                self.tries.push(Reverse((at_us, number)));
                break;
            }
            for (at, ask) in asks.iter_mut().enumerate() {
                while *ask <= now {
                    self.now = self.now.max(*ask);
                    self.shares(at);
                    *ask += 500.0;
                }
            }
            self.now = self.now.max(now);
            let try_ = self.pending.remove(&number).expect("pending");
            self.arrive(try_);
        }
        self.now = end;
    }

    fn arrive(&mut self, try_: Try) {
        let Try { at, rank, left_ms, tries, first, .. } = try_;
        let again = tries > 0;
        let arrival = Arrival { rank, remaining_ms: left_ms, expected_ms: SERVICE_MS, is_retry: again };
        let came = self.now;
        let end = |until: Option<f64>| {
            let wait_ms = until.map(|until| until - first.1);
            End { at: first.0, rank, came: first.1, wait_ms, again }
        };
        match self.throttles[at].admit(came, TENANT, &arrival) {
            Verdict::Pass => self.ends.push(end(Some(came))),
            Verdict::Delay { until } => {
                assert!(until + SERVICE_MS <= came + left_ms, "seed {}: held beyond its time", self.seed);
                assert!(rank != Rank::Booking, "seed {}: a booking was held", self.seed);
                self.throttles[at].end_delay(TENANT);
                self.ends.push(end(Some(until)));
            }
            Verdict::RetryLater { retry_after_ms } => {
                self.told += 1;
                let pause = retry_after_ms.min(left_ms / 3.0);
                if tries >= 2 {
                    return self.ends.push(end(None));
                }
                // On a new connection: to any gateway.
                let to = self.draw();
                let (sent, left_ms) = (came + pause, left_ms - pause);
                self.push(Try { at: to, rank, sent, left_ms, tries: tries + 1, first });
            }
        }
    }

    fn draw(&mut self) -> usize {
        let mut lot = self.rng.f64() * self.weights.iter().sum::<f64>();
        self.weights
            .iter()
            .position(|weight| {
                (lot < *weight) || {
                    lot -= weight;
                    false
                }
            })
            .unwrap_or(0)
    }

    /// Mean wait by gateway of a rank's requests that came in a span, of gateways with some.
    fn waits(&self, rank: Rank, from: f64, to: f64) -> Vec<f64> {
        let mut sums = vec![(0.0, 0); self.throttles.len()];
        for end in self.ends.iter().filter(|end| end.rank == rank && (from..to).contains(&end.came)) {
            if let Some(wait) = end.wait_ms {
                sums[end.at] = (sums[end.at].0 + wait, sums[end.at].1 + 1);
            }
        }
        sums.into_iter().filter(|(_, count)| *count > 0).map(|(sum, count)| sum / f64::from(count)).collect()
    }

    fn mean(&self, rank: Rank, from: f64, to: f64) -> f64 {
        let waits = self.waits(rank, from, to);
        waits.iter().sum::<f64>() / waits.len().max(1) as f64
    }
}

/// Jain's index of fairness: 1 where all are equal.
fn jain(values: &[f64]) -> f64 {
    let (sum, squares) = (values.iter().sum::<f64>(), values.iter().map(|value| value * value).sum::<f64>());
    sum * sum / (values.len() as f64 * squares).max(f64::MIN_POSITIVE)
}

const UNEVEN: [f64; 9] = [1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 3.0, 3.0, 5.0];

#[test]
fn every_gateway_slows_alike_while_some_die_come_back_and_are_cut_off() {
    let stages = [(9.0, 0.1, 0.0, 1.0), (9.0, 0.25, 0.05, 1.0), (9.0, 0.5, 0.12, 0.9)];
    for seed in 0..6 {
        let mut world = World::new(seed, curve(&stages), UNEVEN.to_vec(), [40.0, 25.0, 10.0]);
        world.run(2_000.0);
        world.enter(1);
        world.run(11_000.0);
        (world.cut[4], world.cut[8]) = (true, true);
        world.enter(2);
        world.run(13_000.0);
        assert!(
            world.throttles[4].tenant_statuses(world.now)[0].stage == 1,
            "who is cut off keeps the stage it knows"
        );
        (world.cut[4], world.cut[8]) = (false, false);
        world.tell(4, 0.0);
        world.tell(8, 0.0);
        world.restart(7);
        world.pacer = Pacer::default();
        world.run(20_000.0);
        world.enter(3);
        world.run(30_000.0);
        for (from, to, first, reads) in [
            (4_000.0, 11_000.0, 100.0, 0.0),
            (15_000.0, 20_000.0, 250.0, 50.0),
            (22_000.0, 30_000.0, 500.0, 120.0),
        ] {
            let waits = world.waits(Rank::Deferrable, from, to);
            assert!(jain(&waits) >= 0.98, "seed {seed}, from {from}: {waits:?}");
            let mean = world.mean(Rank::Deferrable, from, to);
            assert!((mean - first).abs() < 0.1 * first, "seed {seed}, from {from}: {mean}");
            let mean = world.mean(Rank::Interactive, from, to);
            assert!((mean - reads).abs() < 10.0, "seed {seed}, from {from}: reads {mean}");
        }
        // At five sixths of its pace next to nobody has to come back, at small gateways either.
        let (told, all) = (world.told, world.ends.len() as u64);
        assert!(told * 100 <= all, "seed {seed}: {told} of {all} told to come back");
        assert!(world.mean(Rank::Booking, 0.0, 30_000.0) < 0.1, "seed {seed}: bookings wait for nothing");
    }
}

#[test]
fn a_tenant_beyond_its_pace_gives_way_in_order_and_who_comes_back_as_told_is_served() {
    for seed in 10..14 {
        // 94 requests a second at a pace of 70: 12 bookings and 30 reads leave 28 of 52.
        let mut world =
            World::new(seed, curve(&[(60.0, 0.2, 0.05, 0.7)]), UNEVEN.to_vec(), [52.0, 30.0, 12.0]);
        world.enter(1);
        world.run(40_000.0);
        let of = |rank| world.ends.iter().filter(move |end| end.rank == rank && end.came > 6_000.0);
        let served = |rank| of(rank).filter(|end| end.wait_ms.is_some()).count() as f64;
        let part = RANKS.map(|rank| served(rank) / of(rank).count() as f64);
        assert_eq!(part[2], 1.0, "seed {seed}: bookings are run at once: {part:?}");
        assert!(part[1] > 0.98 && part[0] < part[1], "seed {seed}: {part:?}");
        assert!(part[0] > 0.45, "seed {seed}: the rest has what is left: {part:?}");
        // The floor, in any second, and never far above the pace.
        let mut seconds = [0.0; 40];
        for end in world.ends.iter() {
            if let Some(wait) = end.wait_ms {
                let second = ((end.came + wait) / 1_000.0) as usize;
                seconds.iter_mut().skip(second).take(1).for_each(|count| *count += 1.0);
            }
        }
        let least = seconds[2..38].iter().copied().fold(f64::INFINITY, f64::min);
        let mean = seconds[8..38].iter().sum::<f64>() / 30.0;
        assert!(
            least >= 5.0 && (60.0..77.0).contains(&mean),
            "seed {seed}: {least} at least, {mean}: {seconds:?}"
        );
        let waits = world.waits(Rank::Deferrable, 8_000.0, 40_000.0);
        assert!(jain(&waits) >= 0.98, "seed {seed}: {waits:?}");
    }
}

#[test]
fn a_little_beyond_the_pace_whoever_is_told_when_to_come_is_served_then() {
    let mut world = World::new(3, curve(&[(60.0, 0.1, 0.02, 0.5)]), vec![1.0; 3], [40.0, 10.0, 5.0]);
    world.enter(1);
    world.run(30_000.0);
    let again: Vec<&End> = world.ends.iter().filter(|end| end.again).collect();
    let lost = again.iter().filter(|end| end.wait_ms.is_none()).count();
    assert!(again.len() > 20 && lost * 10 <= again.len(), "{lost} of {} told twice", again.len());
}

#[test]
fn bookings_beyond_the_whole_pace_are_declined_at_once_and_run_when_they_come_back() {
    let mut world = World::new(5, curve(&[(60.0, 0.4, 0.1, 0.2)]), vec![1.0; 3], [0.0, 0.0, 24.0]);
    world.enter(1);
    world.run(20_000.0);
    let late = world.ends.iter().filter(|end| end.came > 5_000.0);
    let (ran, again) = late
        .clone()
        .filter(|end| end.wait_ms.is_some())
        .fold((0, 0), |(ran, again), end| (ran + 1, again + u32::from(end.again)));
    // 20 a second of 24: each is run or declined, and most of those that were declined are run at another try.
    let all = late.count();
    assert!(world.told > 20 && again > 20, "{} told, {again} run when they came back", world.told);
    assert!((78..=100).contains(&(ran * 100 / all)), "{ran} of {all}");
}

/// Clients whose deadlines differ look like ones that come back; while nobody was told to, they wait like all others.
#[test]
fn a_short_deadline_alone_lets_nobody_pass() {
    let mut throttle = Throttle::default();
    throttle.set_stage(0.0, TENANT, 1, 1, 0.0);
    throttle.set_schedules(|_| Some(curve(&[(60.0, 0.4, 0.1, 1.0)])));
    for number in 0..200 {
        let now = 2_000.0 + 50.0 * f64::from(number);
        let left_ms = 2_000.0 + 10.0 * f64::from(number % 200);
        let arrival = Arrival {
            rank: Rank::Deferrable,
            remaining_ms: left_ms,
            expected_ms: 100.0,
            is_retry: number % 4 != 0,
        };
        assert_eq!(throttle.admit(now, TENANT, &arrival), Verdict::Delay { until: now + 400.0 });
        throttle.end_delay(TENANT);
    }
}

#[test]
fn lapsed_restored_and_lapsed_again_at_once_with_late_words_and_a_frozen_gateway() {
    let mut throttle = Throttle::default();
    let stages = [(9.0, 0.1, 0.0, 1.0), (9.0, 0.4, 0.1, 1.0), (9.0, 0.8, 0.2, 1.0)];
    let slow = |throttle: &mut Throttle, now: f64| {
        throttle.set_schedules(|_| Some(curve(&stages)));
        let arrival =
            Arrival { rank: Rank::Deferrable, remaining_ms: 9_000.0, expected_ms: 10.0, is_retry: false };
        match throttle.admit(now, TENANT, &arrival) {
            Verdict::Delay { until } => {
                throttle.end_delay(TENANT);
                until - now
            }
            Verdict::Pass => 0.0,
            told => panic!("{told:?}"),
        }
    };
    assert!(!throttle.is_slowing(0.0) && slow(&mut throttle, 0.0) == 0.0);
    assert!(throttle.set_stage(0.0, TENANT, 1, 1, 300.0));
    assert_eq!(slow(&mut throttle, 299.0), 0.0, "before its moment");
    assert_eq!(slow(&mut throttle, 2_000.0), 100.0);
    // It stood still while two stages passed, and wakes in the third; the second's word comes late.
    assert!(throttle.set_stage(30_000.0, TENANT, 3, 3, 0.0));
    assert!(!throttle.set_stage(30_001.0, TENANT, 2, 2, 0.0), "a word of before leads back");
    assert_eq!(slow(&mut throttle, 30_500.0), 450.0, "half way between the stages");
    assert_eq!(slow(&mut throttle, 32_000.0), 800.0);
    // Restored: down again over the ramp, and no step.
    assert!(throttle.set_stage(40_000.0, TENANT, 4, 0, 0.0));
    let mut last = 800.0;
    for at in 1..=10 {
        let wait = slow(&mut throttle, 40_000.0 + 100.0 * f64::from(at));
        assert!(wait <= last && last - wait < 81.0, "{last} {wait}");
        last = wait;
    }
    assert!(!throttle.is_slowing(41_000.0));
    assert!(throttle.set_stage(41_100.0, TENANT, 5, 1, 0.0) && throttle.is_slowing(41_100.0));
    assert_eq!(slow(&mut throttle, 43_000.0), 100.0);
}

#[test]
fn a_thousand_lapsed_tenants_hold_a_bounded_number_of_requests() {
    let mut throttle = Throttle::default();
    let arrival =
        Arrival { rank: Rank::Deferrable, remaining_ms: 2_000.0, expected_ms: 100.0, is_retry: false };
    let (mut held, mut told) = (0, 0);
    for tenant in 0..1_000 {
        throttle.set_stage(0.0, &tenant.to_string(), 1, 1, 0.0);
    }
    throttle.set_schedules(|_| Some(curve(&[(9.0, 0.5, 0.1, 1.0)])));
    for tenant in 0..1_000 {
        for _ in 0..3 {
            match throttle.admit(2_000.0, &tenant.to_string(), &arrival) {
                Verdict::Delay { .. } => held += 1,
                Verdict::RetryLater { retry_after_ms } => {
                    assert!(retry_after_ms > 0.0);
                    told += 1;
                }
                Verdict::Pass => panic!("the stage has a wait"),
            }
        }
    }
    assert_eq!((held, told), (256, 2_744));
    assert_eq!(throttle.admit(2_000.0, "other", &arrival), Verdict::Pass, "who never lapsed feels nothing");
    let last = Arrival { rank: Rank::Booking, ..arrival };
    assert_eq!(throttle.admit(2_000.0, "0", &last), Verdict::Pass, "a booking needs no place in the queue");
    (0..256).for_each(|_| throttle.end_delay("0"));
    assert!(matches!(throttle.admit(2_000.0, "999", &arrival), Verdict::Delay { .. }));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Whatever comes in whatever order: nothing is held beyond its time, bookings never, and what is told is a time above 0.
    #[test]
    fn nobody_is_held_beyond_the_time_that_it_has(
        share in 0.0f64..40.0,
        calls in proptest::collection::vec((0u8..3, 0.0f64..4_000.0, 0.0f64..900.0, any::<bool>(), 0.0f64..300.0), 1..120),
    ) {
        let mut throttle = Throttle::default();
        throttle.set_stage(0.0, TENANT, 1, 2, 0.0);
        throttle.set_schedules(|_| Some(curve(&[(9.0, 0.1, 0.0, 1.0), (9.0, 0.9, 0.4, 0.4)])));
        throttle.set_shares(&BTreeMap::from([(TENANT.to_string(), share)]));
        let mut now = 0.0;
        for (rank, left_ms, expected_ms, again, gap) in calls {
            now += gap;
            let rank = RANKS[usize::from(rank)];
            match throttle.admit(now, TENANT, &Arrival { rank, remaining_ms: left_ms, expected_ms, is_retry: again }) {
                Verdict::Pass => {}
                Verdict::Delay { until } => {
                    prop_assert!(rank != Rank::Booking && until > now && until + expected_ms <= now + left_ms);
                }
                Verdict::RetryLater { retry_after_ms } => prop_assert!((20.0..=30_000.0).contains(&retry_after_ms)),
            }
        }
    }
}
