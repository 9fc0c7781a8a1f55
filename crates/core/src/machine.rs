//! A state-machine test of the request life cycle in virtual time: random requests, outcomes, departures, counter
//! replies, service tables and settings, with checks after every step. The attempt counts of core and module are
//! equal between any two steps. An injected missing report of an attempt's end is detected and repaired.

use crate::facade::{
    Class, CounterReply, DedupScope, Facade, Intake, Outcome, Plan, RegionEntry, RegionState, RequestKey,
    RetrySafety, RoutedTask, ServiceTable, Settings,
};
use crate::ledger::{CountOwner, Difference};
use crate::life::{Answer, Core, Ports};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

const CLASSES: [(&str, RetrySafety); 3] =
    [("safe", RetrySafety::Idempotent), ("keyed", RetrySafety::Keyed), ("once", RetrySafety::AtMostOnce)];
const PLANS: [&str; 3] = ["quota", "few", "free"];
const REGIONS: [&str; 5] = ["a", "b", "c", "d", "e"];
const CLIENT_TIMEOUT_MS: f64 = 1_200.0;

/// A fake network that tracks attempts and answers by itself and panics if a rule is violated.
#[derive(Default)]
struct FakeNetwork {
    /// Attempts in flight.
    in_flight: BTreeSet<(RequestKey, usize)>,
    /// Regions in which each request may have run.
    ran: BTreeMap<RequestKey, Vec<String>>,
    /// Region of each attempt that was ever sent.
    regions: BTreeMap<(RequestKey, usize), String>,
    /// Number of final answers to each request.
    answers: BTreeMap<RequestKey, usize>,
    /// Names in the counter calls that have no reply yet.
    counter_calls: Vec<String>,
    hedging: bool,
    /// Attempts that were sent while another one of the same request was in flight.
    hedged: usize,
    max_attempts: usize,
}

/// A request: its number, its class's retry safety, and the maximum number of attempts when it arrived, because
/// open requests keep the rules they arrived under.
type Content = (RequestKey, RetrySafety, usize);

impl Ports for FakeNetwork {
    type Content = Content;
    type Served = ();

    fn route(&mut self, task: &RoutedTask, (key, retry_safety, max_at_arrival): &Content, limit_ms: f64) {
        let concurrent = self.in_flight.iter().filter(|(request, _)| request == key).count();
        assert!(
            concurrent == 0 || (self.hedging && *retry_safety != RetrySafety::AtMostOnce),
            "hedging is not allowed"
        );
        assert!(concurrent <= 1, "more than one hedged attempt");
        self.hedged += concurrent;
        let max_attempts = self.max_attempts.max(*max_at_arrival);
        assert!(task.attempt < max_attempts, "attempt {} of {max_attempts}", task.attempt);
        assert!(
            limit_ms > 0.0 && !self.answers.contains_key(key),
            "sent after the final answer or without time left"
        );
        let ran = self.ran.entry(*key).or_default();
        assert!(
            ran.is_empty() || *retry_safety != RetrySafety::AtMostOnce,
            "an at-most-once request may have run before"
        );
        // Regions of one pod group are neighbours in the list: a and b, c and d.
        let group = |uid: &str| REGIONS.iter().position(|region| *region == uid).map(|index| index / 2);
        let same_group = ran.iter().all(|earlier| group(earlier) == group(&task.region));
        assert!(
            *retry_safety != RetrySafety::Keyed || same_group,
            "a keyed request was retried outside its pod group"
        );
        ran.push(task.region.clone());
        self.regions.insert((*key, task.attempt), task.region.clone());
        assert!(self.in_flight.insert((*key, task.attempt)), "the same attempt was sent twice");
    }

    fn cancel_attempt(&mut self, request: RequestKey, attempt: usize, _: Outcome) {
        assert!(self.in_flight.remove(&(request, attempt)), "canceled an attempt that is not in flight");
    }

    fn answer(&mut self, (key, ..): Content, _: Answer<()>) {
        *self.answers.entry(key).or_default() += 1;
    }

    fn increment_counter(&mut self, name: String, _: f64, _: f64) {
        self.counter_calls.push(name);
    }

    fn close_idle(&mut self, _: &str) {}
}

fn settings(hedging: bool, cancel: bool, max_attempts: usize) -> Settings {
    let class = |(name, retry_safety): &(&str, RetrySafety)| Class {
        name: (*name).into(),
        target_latency_ms: 400.0,
        client_timeout_ms: CLIENT_TIMEOUT_MS,
        retry_safety: *retry_safety,
        dedup_scope: DedupScope::Cell,
        key_ttl_ms: 900.0,
        late_share: 0.2,
        stream: false,
        worth: 1.0,
    };
    let plan = |name: &str| Plan {
        name: name.into(),
        rate: if name == "quota" { 20.0 } else { 0.0 },
        burst: if name == "quota" { 30.0 } else { 0.0 },
        max_concurrent: if name == "few" { 3.0 } else { 0.0 },
        ..Plan::default()
    };
    Settings {
        gateway_count: 2,
        step_ms: 2.0,
        classes: CLASSES.iter().map(class).collect(),
        plans: PLANS.iter().map(|name| plan(name)).collect(),
        counter_enabled: true,
        counter_timeout_ms: 30.0,
        max_request_units: 4.0,
        settles_units: true,
        max_attempts,
        hedging,
        may_cancel: cancel,
        ..Settings::default()
    }
}

struct Simulation {
    core: Core<FakeNetwork>,
    now: f64,
    last_key: RequestKey,
    departed: BTreeSet<RequestKey>,
    rev: u64,
    cancel: bool,
}

impl Simulation {
    fn new(hedging: bool, cancel: bool) -> Simulation {
        let facade = Facade::new(settings(hedging, cancel, 4), 1, false).expect("good settings");
        let network = FakeNetwork { hedging, max_attempts: 4, ..FakeNetwork::default() };
        let core = Core::new(facade, network);
        let mut simulation =
            Simulation { core, now: 1_000.0, last_key: 0, departed: BTreeSet::new(), rev: 0, cancel };
        simulation.update_table(0);
        simulation
    }

    /// Updates the service table to one in which a region may terminate, be missing or have just started.
    fn update_table(&mut self, pick: usize) {
        self.rev += 1;
        let entry = |(index, uid): (usize, &&str)| RegionEntry {
            uid: (*uid).into(),
            endpoint: String::new(),
            state: if pick == index + 1 { RegionState::Terminating } else { RegionState::Ready },
            zone: String::new(),
            pod_group: (index / 2) as u64,
            weight: 1.0,
            boot_ms: if pick == index + 11 { self.now } else { 0.0 },
            distance: 0,
            rank: 0.0,
        };
        let listed = REGIONS.iter().enumerate().filter(|(index, _)| pick != index + 6);
        let table = ServiceTable { rev: self.rev, all: true, regions: listed.map(entry).collect() };
        self.core.update_service_table(self.now, table, false);
    }

    fn arrive(&mut self, pick: usize) {
        self.last_key += 1;
        let (name, retry_safety) = CLASSES[pick % 3];
        let intake = Intake {
            class: name.into(),
            never_twice: false,
            plan: PLANS[pick / 3 % 3].into(),
            customer: (pick / 9 % 4) as u64,
            timeout_ms: CLIENT_TIMEOUT_MS,
            units: (1 + pick % 4) as f64,
            gateways: 2,
            retry: false,
        };
        let max_attempts = self.core.ports().max_attempts;
        self.core.arrive(self.now, self.last_key, 0.0, intake, (self.last_key, retry_safety, max_attempts));
    }

    /// Reports the end of an attempt in flight, or now and then of any attempt again.
    fn end_attempt(&mut self, pick: usize) {
        let network = self.core.ports();
        let in_flight = network.in_flight.iter().copied().nth(pick / 8 % network.in_flight.len().max(1));
        let any = network.regions.keys().copied().nth(pick / 8 % network.regions.len().max(1));
        let repeat_report = pick % 64 == 63;
        let Some((key, attempt)) = (if repeat_report { any } else { in_flight }) else { return };
        let was_in_flight = network.in_flight.remove(&(key, attempt));
        let outcome = [
            Outcome::Served,
            Outcome::Served,
            Outcome::Served,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::CouldNotConnect,
            Outcome::Reset,
            Outcome::Unreadable,
        ][pick % 8];
        if was_in_flight && matches!(outcome, Outcome::Rejected | Outcome::CouldNotConnect) {
            let region = network.regions[&(key, attempt)].clone();
            let ran = network.ran.entry(key).or_default();
            ran.retain({
                let mut first = true;
                move |uid| *uid != region || !std::mem::take(&mut first)
            });
        }
        let served = (outcome == Outcome::Served).then_some(());
        self.core.attempt_ended(self.now, key, attempt, outcome, 2.0, served);
    }

    fn step(&mut self, kind: u8, pick: usize) {
        match kind {
            0..=3 => self.arrive(pick),
            4..=6 => self.end_attempt(pick),
            7 => {
                let network = self.core.ports();
                if !network.counter_calls.is_empty() {
                    let name = network.counter_calls.remove(pick % network.counter_calls.len());
                    let reply = match pick % 5 {
                        0 => CounterReply::TimedOut,
                        1 => CounterReply::Busy,
                        _ => CounterReply::Total((pick % 40) as f64),
                    };
                    self.core.counter_replied(self.now, name, reply);
                }
            }
            8 if self.last_key > 0 => {
                let key = 1 + pick as u64 % self.last_key;
                self.departed.insert(key);
                self.core.client_left(self.now, key);
            }
            9 if pick.is_multiple_of(4) => self.update_table(pick / 4 % 16),
            10 if pick.is_multiple_of(8) => {
                let (hedging, max_attempts) = (pick & 8 != 0, 1 + pick / 16 % 4);
                // Attempts in flight continue; the new settings bind only those sent from now on.
                (self.core.ports().hedging, self.core.ports().max_attempts) = (hedging, max_attempts);
                self.core.update_settings(
                    self.now,
                    settings(hedging, self.cancel, max_attempts),
                    self.now,
                    0,
                );
            }
            _ => {
                self.now += (1 + pick % 80) as f64;
                self.core.tick(self.now);
            }
        }
    }

    /// After all client time-outs no request is open, no attempt is in flight, and no request was answered twice.
    fn finish(&mut self) {
        for _ in 0..200 {
            self.now += 10.0;
            self.core.tick(self.now);
        }
        assert_eq!((self.core.unanswered(), self.core.open()), (0, 0));
        assert!(
            self.core.ports().in_flight.is_empty(),
            "the network has attempts that the core does not track"
        );
        for key in 1..=self.last_key {
            let answers = self.core.ports().answers.get(&key).copied().unwrap_or_default();
            let departed = self.departed.contains(&key);
            assert!(answers == 1 || (departed && answers == 0), "request {key}: {answers} answers");
        }
    }
}

/// Runs the same cases each time and prints the steps of a failing one.
fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[21; 32]);
    TestRunner::new_with_rng(Config { cases: 300, failure_persistence: None, ..Config::default() }, rng)
}

#[test]
fn attempt_counts_match_after_every_step_and_each_request_is_answered_once() {
    let steps = vec((0u8..14, any::<u16>()), 1..250);
    let hedged = Cell::new(0);
    let run = |(steps, hedging, cancel): (Vec<(u8, u16)>, bool, bool)| {
        let mut simulation = Simulation::new(hedging, cancel);
        for (kind, pick) in steps {
            simulation.step(kind, usize::from(pick));
            assert_eq!(simulation.core.audit(simulation.now), Vec::<Difference>::new());
        }
        simulation.finish();
        assert_eq!(simulation.core.audit(simulation.now), Vec::<Difference>::new());
        hedged.set(hedged.get() + simulation.core.ports().hedged);
        Ok(())
    };
    runner().run(&(steps, any::<bool>(), any::<bool>()), run).expect("the invariants hold");
    assert!(hedged.get() > 50, "only {} attempts were hedged: too few to test hedging", hedged.get());
}

#[test]
fn a_missing_report_of_an_attempts_end_is_detected_and_repaired() {
    let mut simulation = Simulation::new(true, true);
    // Pick 6 is a safe request of the free plan, franchisee 0.
    simulation.arrive(6);
    let (key, region) = (simulation.last_key, simulation.core.ports().regions[&(1, 0)].clone());
    simulation.core.drop_attempts(key);
    simulation.core.ports().in_flight.clear();
    let difference = |owner| Difference { owner, out: 0, believed: 1 };
    let differences = simulation.core.audit(simulation.now);
    assert_eq!(differences, [difference(CountOwner::Region(region)), difference(CountOwner::Franchisee(0))]);
    assert_eq!(simulation.core.audit(simulation.now), [], "no difference is left after the repair");
    simulation.finish();
}
