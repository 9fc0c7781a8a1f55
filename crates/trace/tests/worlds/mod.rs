//! Small recorded worlds: a real module behind the facade, with random requests, servers that fail, a counter that
//! loses answers and lists that change. What it was told and decided is the trace.

use nickeljunction_core::facade::{
    Class, CounterReply, DedupScope, Facade, Intake, Outcome, Plan, RegionEntry, RegionState, Report,
    RetrySafety, ServiceTable, Settings, Verdict,
};
use nickeljunction_trace::event::{Ending, Event, TICKS_PER_MS};
use nickeljunction_trace::replay::of_verdict;
use std::collections::BTreeMap;

pub fn settings() -> Settings {
    let class = |name: &str, repeat| Class {
        name: name.into(),
        target_latency_ms: 500.0,
        client_timeout_ms: 2_000.0,
        retry_safety: repeat,
        dedup_scope: DedupScope::All,
        key_ttl_ms: 1_000.0,
        late_share: 0.0,
        stream: false,
        worth: 1.0,
    };
    let plan = |name: &str, rate: f64, ceiling: f64| Plan {
        name: name.into(),
        rate,
        burst: rate * 3.0,
        max_concurrent: 0.0,
        worth_factor: 1.0,
        excess_worth: 0.0,
        excess_cost: 1.0,
        ceiling_rate: rate * ceiling,
        ceiling_burst: rate * ceiling * 3.0,
        ceiling_slack: ceiling,
    };
    Settings {
        gateway_count: 3,
        zone: "east".into(),
        step_ms: 2.0,
        classes: vec![
            class("safe", RetrySafety::Idempotent),
            class("keyed", RetrySafety::Keyed),
            class("once", RetrySafety::AtMostOnce),
        ],
        plans: vec![plan("small", 2.0, 0.0), plan("large", 15.0, 2.0)],
        counter_enabled: true,
        counter_timeout_ms: 30.0,
        settles_units: true,
        max_request_units: 6.0,
        may_cancel: true,
        max_attempts: 3,
        max_retry_after_ms: 2_000.0,
        retry_after: true,
        cold_start_share: 0.2,
        warmup_ms: 5_000.0,
        drain_grace_ms: 1_000.0,
        overload_multiple: 2.0,
        overload_ms: 1_500.0,
        ..Settings::default()
    }
}

struct World {
    facade: Facade,
    trace: Vec<(i64, Event)>,
    time: i64,
    dice: fastrand::Rng,
    /// Attempts out and calls out, by when they end.
    due: BTreeMap<(i64, u64), Report>,
    number: u64,
    totals: BTreeMap<String, f64>,
}

impl World {
    fn now(&self) -> f64 {
        self.time as f64 / TICKS_PER_MS
    }

    fn later(&mut self, after_ms: f64, report: Report) {
        self.number += 1;
        self.due.insert((self.time + (after_ms * TICKS_PER_MS) as i64, self.number), report);
    }

    fn tell(&mut self, event: Event, verdicts: Vec<Verdict>) {
        self.trace.push((self.time, event));
        for verdict in verdicts {
            self.trace.push((self.time, of_verdict(verdict.clone())));
            match verdict {
                Verdict::Route(task) => {
                    let fails = self.dice.f64() < 0.1;
                    let outcome = match () {
                        () if !fails => Outcome::Served,
                        () if self.dice.bool() => Outcome::Error,
                        () if self.dice.bool() => Outcome::Rejected,
                        () => Outcome::Reset,
                    };
                    let latency_ms = (20.0 + 80.0 * self.dice.f64() * self.dice.f64()).floor();
                    let settled =
                        if outcome == Outcome::Served { f64::from(self.dice.u32(1..4)) } else { 0.0 };
                    let ended = Report::Ended {
                        request: task.request,
                        attempt: task.attempt,
                        region: task.region,
                        outcome,
                        settled,
                        latency_ms,
                        closed: outcome == Outcome::Served,
                    };
                    self.later(latency_ms, ended);
                }
                Verdict::IncrementCounter(name, amount, _) => {
                    let lost = self.dice.f64() < 0.05;
                    let total = self.totals.entry(name.clone()).or_default();
                    *total += amount;
                    let total = *total;
                    let reply = if lost { CounterReply::TimedOut } else { CounterReply::Total(total) };
                    self.later(if lost { 30.0 } else { 1.5 }, Report::CounterReplied(name, reply));
                }
                Verdict::ShortOnCapacity(request, pause) => {
                    self.trace.push((self.time, Event::Answered(request, Ending::ShortOnCapacity(pause))));
                }
                Verdict::Fail(request) => {
                    self.trace.push((self.time, Event::Answered(request, Ending::Failed)))
                }
                _ => {}
            }
        }
    }

    fn report(&mut self, report: Report) {
        let now = self.now();
        let event = match report.clone() {
            Report::Ended { request, attempt, region, outcome, settled, latency_ms, closed } => {
                Event::Ended { request, attempt, region, outcome, settled, latency_ms, closed }
            }
            Report::ClientLeft(request) => Event::Left(request),
            Report::CounterReplied(name, reply) => Event::Counted(name, reply),
            Report::ServiceTable { table, saved } => Event::Table { table, saved },
        };
        let answered = match &event {
            Event::Ended { request, closed: true, .. } => {
                Some(Event::Answered(*request, Ending::Served(200)))
            }
            _ => None,
        };
        let verdicts = self.facade.report(now, report);
        self.tell(event, verdicts);
        self.trace.extend(answered.map(|answered| (self.time, answered)));
    }
}

/// A trace of so many requests.
pub fn record(seed: u64, requests: u64, pairs: Vec<(String, String)>) -> Vec<(i64, Event)> {
    let facade = Facade::new(settings(), seed, true).expect("good settings");
    let time = (1_796_000_000_000.0 * TICKS_PER_MS) as i64;
    let dice = fastrand::Rng::with_seed(seed);
    let (due, totals) = (BTreeMap::new(), BTreeMap::new());
    let mut world = World { facade, trace: Vec::new(), time, dice, due, number: 0, totals };
    let boot = Event::Boot { name: format!("n{seed}"), seed, strict: true, settings: pairs };
    world.trace.push((time, boot));
    let region = |at: u64, state| RegionEntry {
        uid: format!("s-{at:08x}"),
        endpoint: format!("10.0.0.{at}:7070"),
        state,
        zone: if at.is_multiple_of(2) { "east".into() } else { "west".into() },
        pod_group: at / 4,
        weight: 1.0,
        boot_ms: 0.0,
        distance: (at / 4) as u8,
        rank: (at % 3) as f64,
    };
    let regions = (0..8).map(|at| region(at, RegionState::Ready)).collect();
    world.report(Report::ServiceTable { table: ServiceTable { rev: 1, all: true, regions }, saved: true });
    for request in 1..=requests {
        let step = (-(1.0 - world.dice.f64()).ln() * 16.0 * TICKS_PER_MS) as i64;
        let until = world.time + step;
        loop {
            let tick = world.facade.next_tick().map(|at| (at * TICKS_PER_MS).ceil() as i64);
            let next = world.due.keys().next().map(|(at, _)| *at);
            match (next, tick) {
                (Some(at), tick) if at <= until && tick.is_none_or(|tick| at <= tick) => {
                    world.time = world.time.max(at);
                    let (_, report) = world.due.pop_first().expect("looked at");
                    world.report(report);
                }
                (_, Some(tick)) if tick <= until => {
                    world.time = world.time.max(tick);
                    let verdicts = world.facade.tick(world.now());
                    world.tell(Event::Tick, verdicts);
                }
                _ => break,
            }
        }
        world.time = until;
        if request % 97 == 0 {
            let at = world.dice.u64(0..8);
            let state = if world.dice.bool() { RegionState::Ready } else { RegionState::Terminating };
            let table = ServiceTable { rev: request, all: false, regions: vec![region(at, state)] };
            world.report(Report::ServiceTable { table, saved: false });
        }
        let class = ["safe", "keyed", "once"][world.dice.usize(0..3)];
        let intake = Intake {
            class: class.into(),
            never_twice: class == "safe" && world.dice.f64() < 0.1,
            plan: if world.dice.f64() < 0.3 { "small".into() } else { "large".into() },
            customer: world.dice.u64(0..60) * 7_919,
            timeout_ms: 400.0 + (1_500.0 * world.dice.f64()).floor() - 20.0,
            units: f64::from(world.dice.u32(1..4)),
            gateways: 2,
            retry: world.dice.f64() < 0.1,
        };
        let id = format!("{:016x}", world.dice.u64(..));
        let key = if class == "keyed" { format!("{:032x}", world.dice.u128(..)) } else { String::new() };
        let verdicts = world.facade.pick(world.now(), request, &intake);
        world.tell(Event::Taken { request, id, key, intake }, verdicts);
    }
    let verdicts = world.facade.shut_down(world.now());
    world.tell(Event::Retired, verdicts);
    world.trace
}
