//! Events in any order: unexpected ones, and seeded random sequences.

use crate::common::*;
use nickeljunction_decide::api::*;
use std::collections::BTreeMap;

#[test]
fn unexpected_events_are_tolerated() {
    let mut rig = Rig::new(settings(), 2);
    rig.handle(Event::Abandoned("nobody".into()));
    rig.outcome("nobody", 3, "nowhere", Status::Ok);
    rig.counted("", Status::Ok, 1.0);
    rig.counted("0x.y", Status::Ok, 1.0);
    rig.handle(Event::Timer("stale".into()));
    rig.handle(Event::StreamStarted("nobody".into(), 0));
    rig.handle(Event::Servers(ListKind::Failed, Vec::new()));
    let out = rig.request("a", "unheard-of", "free");
    assert!(refused(&out, "a"));
}

/// Seeded random events: each request gets one final answer and is not sent after it, the retry safety of its class is
/// kept, a draining server gets nothing new, and no state is left at the end.
#[test]
fn random_events_keep_the_invariants_of_one_limiter() {
    for seed in 0..20u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut rig = Rig::new(settings(), 5);
        let mut open: Vec<(String, usize, String)> = Vec::new();
        let mut calls: Vec<(String, f64)> = Vec::new();
        let mut totals: BTreeMap<String, f64> = BTreeMap::new();
        let mut tries: BTreeMap<String, (usize, bool, &str)> = BTreeMap::new();
        let (mut ended, mut drained) = (BTreeMap::<String, u32>::new(), false);
        for round in 0..1500 {
            rig.now += rng.f64() * 8.0;
            let mut out = Vec::new();
            let arriving = round < 1000;
            match rng.u32(0..10) {
                0..=2 if arriving => {
                    let class = ["safe", "keyed", "once"][rng.usize(0..3)];
                    let id = format!("r{round}");
                    tries.insert(id.clone(), (0, false, class));
                    out.extend(rig.request(&id, class, ["soft", "hard", "few", "free"][rng.usize(0..4)]));
                }
                3..=5 if !open.is_empty() => {
                    let (id, attempt, to) = open.swap_remove(rng.usize(0..open.len()));
                    let all = [Status::Ok, Status::Ok, Status::Failed, Status::QueueFull, Status::TimedOut];
                    let status = all[rng.usize(0..all.len())];
                    let done = ended.contains_key(&id);
                    let request_closed = done || status == Status::Ok;
                    let state = tries.get_mut(&id).expect("sent");
                    state.1 |= status != Status::QueueFull;
                    if request_closed && !done {
                        ended.insert(id.clone(), 1);
                    }
                    let (server, settled_units, latency_ms) = (to, 0.0, rng.f64() * 300.0);
                    let load = BTreeMap::new();
                    let outcome = Outcome {
                        id,
                        attempt,
                        server,
                        status,
                        settled_units,
                        latency_ms,
                        request_closed,
                        load,
                    };
                    out.extend(rig.handle(Event::Outcome(outcome)));
                }
                6..=7 if !calls.is_empty() => {
                    let (name, add) = calls.remove(0);
                    let total = totals.entry(name.clone()).or_default();
                    let status = if rng.u32(0..5) == 0 { Status::TimedOut } else { Status::Ok };
                    *total += add;
                    let total = *total;
                    out.extend(rig.counted(&name, status, total));
                }
                8 if round == 700 || (!drained && round > 500) => {
                    drained = true;
                    let gone = vec![server(0, ServerState::Draining, 0.0)];
                    out.extend(rig.handle(Event::Servers(ListKind::Incremental, gone)));
                }
                _ => out.extend(rig.handle(Event::Timer("sweep".into()))),
            }
            for action in out {
                match action {
                    Action::Send(id, to, _) => {
                        assert!(!ended.contains_key(&id), "{id} sent after its answer");
                        assert!(!drained || to != "s0", "sent to a draining server");
                        let state = tries.get_mut(&id).expect("asked");
                        assert!(state.2 != "once" || !state.1, "{id} sent again after it may have run");
                        let in_flight = open.iter().any(|(other, ..)| *other == id);
                        assert!(state.2 != "once" || !in_flight, "{id} has two attempts in flight");
                        open.push((id, state.0, to));
                        state.0 += 1;
                        assert!(state.0 <= 3);
                    }
                    Action::Refuse(id, _) => {
                        let (_, ran, class) = tries[&id];
                        let pending = open.iter().any(|(other, ..)| *other == id);
                        assert!(class != "once" || !(ran || pending), "{id} refused though it may have run");
                        *ended.entry(id).or_default() += 1;
                    }
                    Action::Fail(id) => *ended.entry(id).or_default() += 1,
                    Action::IncrementCounter(name, add, _) => calls.push((name, add)),
                    _ => {}
                }
            }
        }
        for (id, attempt, server) in std::mem::take(&mut open) {
            let (status, settled_units, latency_ms, load) = (Status::Ok, 0.0, 1.0, BTreeMap::new());
            ended.entry(id.clone()).or_insert(1);
            let outcome = Outcome {
                id,
                attempt,
                server,
                status,
                settled_units,
                latency_ms,
                request_closed: true,
                load,
            };
            rig.handle(Event::Outcome(outcome));
        }
        for action in rig.run(3_000.0) {
            if let Action::Refuse(id, _) | Action::Fail(id) = action {
                *ended.entry(id).or_default() += 1;
            }
        }
        for id in tries.keys() {
            assert_eq!(ended.get(id), Some(&1), "seed {seed}: {id} needs one final answer");
        }
        assert_eq!(rig.limiter.open_request_count(), 0, "seed {seed}: state is left");
    }
}
