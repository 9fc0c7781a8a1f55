//! Many limiters on one table, in virtual time: what is fine when one does it and hurts when a hundred do.

use nickeljunction_decide::api::*;
use nickeljunction_decide::decide::Limiter;
use std::collections::BTreeMap;

fn settings(me: usize, siblings: usize) -> Settings {
    let class = Class {
        name: "look".into(),
        aim_ms: 1_500.0,
        give_up_ms: 6_000.0,
        repeat: Repeat::Repeatable,
        group: Group::All,
        key_ttl_ms: 1_000.0,
        late_share: 0.0,
        stream: false,
        worth: 1.0,
    };
    let plan = Plan {
        name: "free".into(),
        rate: 0.0,
        burst: 0.0,
        at_once: 0.0,
        price: 1.0,
        excess_worth: 0.0,
        over_cost: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    };
    Settings {
        me,
        siblings,
        step_ms: 2.0,
        classes: vec![class],
        plans: vec![plan],
        counter: true,
        counter_timeout_ms: 30.0,
        settles: true,
        units_top: 6.0,
        max_attempts: 6,
        max_retry_after_ms: 2_000.0,
        retry_after: true,
        cold_from: 0.15,
        cold_ms: 16_000.0,
        drain_grace_ms: 1_000.0,
        fall_multiple: 2.0,
        fall_ms: 1_500.0,
        answer_grace_ms: 5.0,
        ..Settings::default()
    }
}

fn entry(at: usize, launched: f64) -> ServerEntry {
    let (state, zone) = (ServerState::Up, "z".to_string());
    ServerEntry { server: format!("s{at:02}"), state, zone, cell: 0, weight: 1.0, launched }
}

/// One limiter of a fleet of `siblings` and its servers, each request answered in its own time.
struct Door {
    limiter: Limiter,
    now: f64,
    asked: usize,
    met: std::collections::BTreeSet<String>,
}

impl Door {
    fn new(siblings: usize, servers: usize) -> Door {
        let limiter = Limiter::new(settings(0, siblings), 7).expect("good settings");
        let mut door = Door { limiter, now: 100_000.0, asked: 0, met: Default::default() };
        door.tell(Event::Servers(ListKind::Saved, (0..servers).map(|at| entry(at, 0.0)).collect()));
        door
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.limiter.on_event(self.now, event, &mut out);
        out
    }

    /// A request of so many units, answered after `latency_ms`; false if it was refused. Logs go to `logs`.
    fn serve(&mut self, units: f64, latency_ms: f64, logs: &mut Vec<String>) -> bool {
        self.asked += 1;
        let id = format!("r{}", self.asked);
        let mut out = self.tell(Event::Request(Arrival {
            id: id.clone(),
            class: "look".into(),
            plan: "free".into(),
            customer: 5,
            patience_ms: 6_000.0,
            units,
            doors: 100,
            retry: false,
        }));
        let sent = out.iter().find_map(|action| match action {
            Action::Send(_, server, _) => Some(server.clone()),
            _ => None,
        });
        self.now += latency_ms;
        if let Some(server) = &sent {
            self.met.insert(server.clone());
            out.extend(self.tell(Event::Outcome(Outcome {
                id,
                attempt: 0,
                server: server.clone(),
                status: Status::Ok,
                settled: units,
                latency_ms,
                closed: true,
                load: BTreeMap::new(),
            })));
        }
        out.extend(self.tell(Event::Timer("sweep".into())));
        logs.extend(out.into_iter().filter_map(|action| match action {
            Action::Log(text) => Some(text),
            _ => None,
        }));
        sent.is_some()
    }
}

/// A request of six units takes six times as long. Read as lateness, each one cut the odds of admission, and with
/// five requests a second there are too few others to raise them again.
#[test]
fn large_requests_that_take_their_time_tell_neither_of_a_late_fleet_nor_of_a_slow_server() {
    let (mut door, mut logs, mut refused) = (Door::new(100, 20), Vec::new(), 0);
    for at in 0..300 {
        let units = if at % 4 == 3 { 6.0 } else { 1.0 };
        refused += usize::from(!door.serve(units, units * 120.0, &mut logs));
    }
    assert_eq!(refused, 0, "nothing is late for its size");
    assert!(logs.is_empty(), "no server is slow: {logs:?}");
}

/// Service times vary. One answer in four that is barely late is how a loaded fleet looks that still keeps its aims.
#[test]
fn answers_that_are_barely_late_shed_little_and_those_that_are_very_late_much() {
    let refused = |late_ms: f64| {
        let (mut door, mut logs) = (Door::new(100, 20), Vec::new());
        (0..300).filter(|at| !door.serve(1.0, if at % 4 == 3 { late_ms } else { 120.0 }, &mut logs)).count()
    };
    let (barely, very) = (refused(700.0), refused(2_000.0));
    assert!(barely < 5, "{barely} of 300 refused for answers at 1.2 of the late mark");
    assert!(very > 30, "{very} of 300 refused for answers past their aim");
}

/// A name that fell behind its store by a third is put right by a call of its own at one of two doors. At one of a
/// hundred that meets the name seldom, such calls were half of what the counter had to serve.
#[test]
fn through_many_doors_books_that_are_little_off_cost_no_call_of_their_own() {
    let calls = |doors: usize| {
        let mut settings = settings(0, 100);
        (settings.plans[0].rate, settings.plans[0].burst) = (3.0, 15.0);
        let mut limiter = Limiter::new(settings, 7).expect("good settings");
        let (mut out, mut now) = (Vec::new(), 100_000.0);
        let name = |out: &[Action]| {
            out.iter().find_map(|action| match action {
                Action::Count(name, add, _) => Some((name.clone(), *add)),
                _ => None,
            })
        };
        limiter.on_event(now, Event::Servers(ListKind::Saved, vec![entry(0, 0.0)]), &mut out);
        let arrival = Arrival {
            id: "r".into(),
            class: "look".into(),
            plan: "free".into(),
            customer: 5,
            patience_ms: 6_000.0,
            units: 1.0,
            doors,
            retry: false,
        };
        limiter.on_event(now, Event::Request(arrival), &mut out);
        let (first, add) = name(&out).expect("a fetch");
        // What a full store would have let go by now, less a third of it.
        let window: f64 = first.split('.').next_back().and_then(|text| text.parse().ok()).expect("a window");
        let start = window * 30_000.0 - (5.0 * 0.618_033_988_75_f64).fract() * 30_000.0;
        let floor = 3.0 / 1_000.0 * (now - start);
        now += 5.0;
        out.clear();
        limiter.on_event(now, Event::Counted(first, Status::Ok, floor - 5.0 + add), &mut out);
        assert!(out.iter().any(|action| matches!(action, Action::Send(..))), "served");
        name(&out).is_some()
    };
    assert!(calls(2), "two doors keep the books exact");
    assert!(!calls(100), "a hundred leave them");
}

/// Many limiters on one counter in virtual time; an answer takes 5 ms, or up to `slow_ms`, and an attempt 100 ms.
struct Fleet {
    limiters: Vec<Limiter>,
    totals: BTreeMap<String, f64>,
    due: BTreeMap<(u64, usize), (usize, Event)>,
    step: usize,
    calls: usize,
    sent: f64,
    asked: usize,
    now: f64,
    slow_ms: f64,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(siblings: usize, rate: f64, burst: f64) -> Fleet {
        let limiters = (0..siblings).map(|me| {
            let mut settings = settings(me, siblings);
            (settings.plans[0].rate, settings.plans[0].burst) = (rate, burst);
            let mut limiter = Limiter::new(settings, 100 + me as u64).expect("good settings");
            let list = (0..60).map(|at| entry(at, 0.0)).collect();
            limiter.on_event(100_000.0, Event::Servers(ListKind::Saved, list), &mut Vec::new());
            limiter
        });
        let (totals, due) = (BTreeMap::new(), BTreeMap::new());
        let rng = fastrand::Rng::with_seed(11);
        Fleet {
            limiters: limiters.collect(),
            totals,
            due,
            step: 0,
            calls: 0,
            sent: 0.0,
            asked: 0,
            now: 100_000.0,
            slow_ms: 5.0,
            rng,
        }
    }

    fn tell(&mut self, me: usize, now: f64, event: Event) {
        let mut out = Vec::new();
        self.limiters[me].on_event(now, event, &mut out);
        for action in out {
            self.step += 1;
            let (after, event) = match action {
                Action::Count(name, add, _) => {
                    self.calls += 1;
                    let total = self.totals.entry(name.clone()).or_default();
                    *total += add;
                    (5.0 + self.rng.f64() * (self.slow_ms - 5.0), Event::Counted(name, Status::Ok, *total))
                }
                Action::Send(id, server, _) => {
                    self.sent += 1.0;
                    let (load, latency_ms) = (BTreeMap::new(), 100.0);
                    let (attempt, status, settled, closed) = (0, Status::Ok, 1.0, true);
                    let outcome = Outcome { id, attempt, server, status, settled, latency_ms, closed, load };
                    (latency_ms, Event::Outcome(outcome))
                }
                Action::Timer(token, after) => (after, Event::Timer(token)),
                _ => continue,
            };
            self.due.insert((((now + after) * 1_000.0) as u64, self.step), (me, event));
        }
    }

    /// A customer's requests of one unit, so many a second, at each door in turn, for so long.
    fn ask(&mut self, per_second: f64, seconds: f64) {
        let doors = self.limiters.len();
        let requests = (per_second * seconds) as usize;
        for _ in 0..requests {
            self.asked += 1;
            self.now += 1_000.0 / per_second;
            let now = self.now;
            while let Some(entry) =
                self.due.first_entry().filter(|entry| entry.key().0 <= (now * 1_000.0) as u64)
            {
                let ((at, _), (me, event)) = entry.remove_entry();
                self.tell(me, at as f64 / 1_000.0, event);
            }
            let arrival = Arrival {
                id: format!("q{}", self.asked),
                class: "look".into(),
                plan: "free".into(),
                customer: 5,
                patience_ms: 6_000.0,
                units: 1.0,
                doors,
                retry: false,
            };
            let door = self.rng.usize(..doors);
            self.tell(door, now, Event::Request(arrival));
        }
    }
}

/// A customer that asks for four times its quota through 60 doors: each door that saw room asked for it, and handed
/// back what the others had taken first, so that refusing one request cost two calls.
#[test]
fn a_store_found_empty_is_left_to_the_other_doors_and_is_still_used() {
    let mut fleet = Fleet::new(60, 25.0, 50.0);
    fleet.ask(100.0, 20.0);
    let quota = 50.0 + 25.0 * 20.0;
    assert!(fleet.sent > 0.8 * quota, "{} of {quota} units used", fleet.sent);
    assert!(fleet.sent < 1.1 * quota, "{} of {quota} units used", fleet.sent);
    let calls = fleet.calls as f64 / fleet.sent;
    assert!(calls < 4.5, "{} calls for {} served", fleet.calls, fleet.sent);
}

/// While the counter is crowded requests are served on trust where the store is known to have room. Through 80 doors
/// that knowledge is old at once: a heavy customer was let in beyond its quota at each door that had once seen room.
#[test]
fn what_one_of_many_doors_knows_of_a_store_is_not_trusted_for_long() {
    let mut fleet = Fleet::new(80, 25.0, 50.0);
    fleet.slow_ms = 28.0;
    fleet.ask(100.0, 20.0);
    let quota = 50.0 + 25.0 * 20.0;
    assert!(fleet.sent > 0.8 * quota, "{} of {quota} units used", fleet.sent);
    assert!(fleet.sent < 1.03 * quota, "{} of {quota} units used", fleet.sent);
}

/// Each server met costs a greeting, and each gateway's greetings are the fleet's a hundredfold.
#[test]
fn a_gateway_with_five_requests_a_second_greets_few_of_sixty_servers() {
    let (mut door, mut logs) = (Door::new(100, 60), Vec::new());
    (0..100).for_each(|_| assert!(door.serve(1.0, 200.0, &mut logs)));
    assert!((8..=18).contains(&door.met.len()), "{} servers met", door.met.len());
}
