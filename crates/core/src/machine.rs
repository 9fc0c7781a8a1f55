//! A state-machine test of requests' lives, in virtual time: random requests, outcomes, departures, answers of the
//! counter, service tables and settings, with checks after every step. The books of core and module are equal between
//! any two steps; an end that is not told, put in on purpose, is found and healed.

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
const PATIENCE_MS: f64 = 1_200.0;

/// What went out and came back, by the wire's own book; panics on a broken rule.
#[derive(Default)]
struct Wire {
    out: BTreeSet<(RequestKey, usize)>,
    /// Where each attempt went that may have run.
    ran: BTreeMap<RequestKey, Vec<String>>,
    tasks: BTreeMap<(RequestKey, usize), String>,
    answers: BTreeMap<RequestKey, usize>,
    calls: Vec<String>,
    copies: bool,
    /// Copies that went out beside another attempt.
    copied: usize,
    most_attempts: usize,
}

/// A request: its number, its class and the most attempts when it came; open requests keep the rules they came under.
type Content = (RequestKey, RetrySafety, usize);

impl Ports for Wire {
    type Content = Content;
    type Served = ();

    fn route(&mut self, task: &RoutedTask, (key, repeat, most): &Content, limit_ms: f64) {
        let beside = self.out.iter().filter(|(request, _)| request == key).count();
        assert!(
            beside == 0 || (self.copies && *repeat != RetrySafety::AtMostOnce),
            "a copy that is not allowed"
        );
        assert!(beside <= 1, "more than one copy");
        self.copied += beside;
        let most = self.most_attempts.max(*most);
        assert!(task.attempt < most, "attempt {} of {most}", task.attempt);
        assert!(limit_ms > 0.0 && !self.answers.contains_key(key), "sent in vain");
        let ran = self.ran.entry(*key).or_default();
        assert!(ran.is_empty() || *repeat != RetrySafety::AtMostOnce, "run twice");
        // Regions of one pod group are neighbours in the list: a and b, c and d.
        let group = |uid: &str| REGIONS.iter().position(|region| *region == uid).map(|at| at / 2);
        let home = ran.iter().all(|first| group(first) == group(&task.region));
        assert!(*repeat != RetrySafety::Keyed || home, "a keyed repeat outside its pod group");
        ran.push(task.region.clone());
        self.tasks.insert((*key, task.attempt), task.region.clone());
        assert!(self.out.insert((*key, task.attempt)), "one attempt twice");
    }

    fn cancel_attempt(&mut self, request: RequestKey, attempt: usize, _: Outcome) {
        assert!(self.out.remove(&(request, attempt)), "given up, but not out");
    }

    fn answer(&mut self, (key, ..): Content, _: Answer<()>) {
        *self.answers.entry(key).or_default() += 1;
    }

    fn increment_counter(&mut self, name: String, _: f64, _: f64) {
        self.calls.push(name);
    }

    fn close_idle(&mut self, _: &str) {}
}

fn settings(copies: bool, cancel: bool, most_attempts: usize) -> Settings {
    let class = |(name, repeat): &(&str, RetrySafety)| Class {
        name: (*name).into(),
        target_latency_ms: 400.0,
        client_timeout_ms: PATIENCE_MS,
        retry_safety: *repeat,
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
        max_attempts: most_attempts,
        hedging: copies,
        may_cancel: cancel,
        ..Settings::default()
    }
}

struct World {
    core: Core<Wire>,
    now: f64,
    last: RequestKey,
    departed: BTreeSet<RequestKey>,
    rev: u64,
    cancel: bool,
}

impl World {
    fn new(copies: bool, cancel: bool) -> World {
        let facade = Facade::new(settings(copies, cancel, 4), 1, false).expect("good settings");
        let wire = Wire { copies, most_attempts: 4, ..Wire::default() };
        let core = Core::new(facade, wire);
        let mut world = World { core, now: 1_000.0, last: 0, departed: BTreeSet::new(), rev: 0, cancel };
        world.table(0);
        world
    }

    /// A list in which one region may drain or be missing.
    fn table(&mut self, pick: usize) {
        self.rev += 1;
        let entry = |(at, uid): (usize, &&str)| RegionEntry {
            uid: (*uid).into(),
            endpoint: String::new(),
            state: if pick == at + 1 { RegionState::Terminating } else { RegionState::Ready },
            zone: String::new(),
            pod_group: (at / 2) as u64,
            weight: 1.0,
            boot_ms: if pick == at + 11 { self.now } else { 0.0 },
            distance: 0,
            rank: 0.0,
        };
        let listed = REGIONS.iter().enumerate().filter(|(at, _)| pick != at + 6);
        let table = ServiceTable { rev: self.rev, all: true, regions: listed.map(entry).collect() };
        self.core.update_service_table(self.now, table, false);
    }

    fn arrive(&mut self, pick: usize) {
        self.last += 1;
        let (name, repeat) = CLASSES[pick % 3];
        let intake = Intake {
            class: name.into(),
            never_twice: false,
            plan: PLANS[pick / 3 % 3].into(),
            customer: (pick / 9 % 4) as u64,
            timeout_ms: PATIENCE_MS,
            units: (1 + pick % 4) as f64,
            gateways: 2,
            retry: false,
        };
        let most = self.core.ports().most_attempts;
        self.core.arrive(self.now, self.last, 0.0, intake, (self.last, repeat, most));
    }

    /// One of the attempts that are out ends, or one that ended already ends again.
    fn end(&mut self, pick: usize) {
        let wire = self.core.ports();
        let ended = wire.out.iter().copied().nth(pick / 8 % wire.out.len().max(1));
        let stale = wire.tasks.keys().copied().nth(pick / 8 % wire.tasks.len().max(1));
        let again = pick % 64 == 63;
        let Some((key, attempt)) = (if again { stale } else { ended }) else { return };
        let out = wire.out.remove(&(key, attempt));
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
        if out && matches!(outcome, Outcome::Rejected | Outcome::CouldNotConnect) {
            let region = wire.tasks[&(key, attempt)].clone();
            let ran = wire.ran.entry(key).or_default();
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
            4..=6 => self.end(pick),
            7 => {
                let wire = self.core.ports();
                if !wire.calls.is_empty() {
                    let name = wire.calls.remove(pick % wire.calls.len());
                    let reply = match pick % 5 {
                        0 => CounterReply::TimedOut,
                        1 => CounterReply::Busy,
                        _ => CounterReply::Total((pick % 40) as f64),
                    };
                    self.core.counter_replied(self.now, name, reply);
                }
            }
            8 if self.last > 0 => {
                let key = 1 + pick as u64 % self.last;
                self.departed.insert(key);
                self.core.client_left(self.now, key);
            }
            9 if pick.is_multiple_of(4) => self.table(pick / 4 % 16),
            10 if pick.is_multiple_of(8) => {
                let (copies, most) = (pick & 8 != 0, 1 + pick / 16 % 4);
                // What is out goes on; only what is sent from now on is bound.
                (self.core.ports().copies, self.core.ports().most_attempts) = (copies, most);
                self.core.update_settings(self.now, settings(copies, self.cancel, most), self.now, 0);
            }
            _ => {
                self.now += (1 + pick % 80) as f64;
                self.core.tick(self.now);
            }
        }
    }

    /// After all patience has passed nothing is owed and nothing is out, and nobody was answered twice.
    fn close(&mut self) {
        for _ in 0..200 {
            self.now += 10.0;
            self.core.tick(self.now);
        }
        assert_eq!((self.core.unanswered(), self.core.open()), (0, 0));
        assert!(self.core.ports().out.is_empty(), "the wire has attempts that nobody knows");
        for key in 1..=self.last {
            let answers = self.core.ports().answers.get(&key).copied().unwrap_or_default();
            let gone = self.departed.contains(&key);
            assert!(answers == 1 || (gone && answers == 0), "request {key}: {answers} answers");
        }
    }
}

/// The same cases in every run; a failing one is printed as its steps.
fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[21; 32]);
    TestRunner::new_with_rng(Config { cases: 300, failure_persistence: None, ..Config::default() }, rng)
}

#[test]
fn both_books_are_equal_after_every_step_and_each_request_ends_once() {
    let steps = vec((0u8..14, any::<u16>()), 1..250);
    let copied = Cell::new(0);
    let run = |(steps, copies, cancel): (Vec<(u8, u16)>, bool, bool)| {
        let mut world = World::new(copies, cancel);
        for (kind, pick) in steps {
            world.step(kind, usize::from(pick));
            assert_eq!(world.core.audit(world.now), Vec::<Difference>::new());
        }
        world.close();
        assert_eq!(world.core.audit(world.now), Vec::<Difference>::new());
        copied.set(copied.get() + world.core.ports().copied);
        Ok(())
    };
    runner().run(&(steps, any::<bool>(), any::<bool>()), run).expect("kept");
    assert!(copied.get() > 50, "{} copies went out: too few to say anything", copied.get());
}

#[test]
fn an_end_that_was_not_told_is_found_and_healed() {
    let mut world = World::new(true, true);
    // A safe request of the free plan, franchisee 0.
    world.arrive(6);
    let (key, region) = (world.last, world.core.ports().tasks[&(1, 0)].clone());
    world.core.drop_attempts(key);
    world.core.ports().out.clear();
    let lost = |owner| Difference { owner, out: 0, believed: 1 };
    let found = world.core.audit(world.now);
    assert_eq!(found, [lost(CountOwner::Region(region)), lost(CountOwner::Franchisee(0))]);
    assert_eq!(world.core.audit(world.now), [], "healed");
    world.close();
}
