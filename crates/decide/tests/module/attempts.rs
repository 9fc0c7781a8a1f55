//! Attempts of a request: retries, copies, places and time limits.

use crate::common::*;
use nickeljunction_decide::api::*;
use std::collections::BTreeMap;

#[test]
fn attempts_open_at_once_are_capped_and_the_next_goes_when_one_ends() {
    let mut rig = Rig::new(settings(), 5);
    let first = sends(&rig.request("a", "safe", "few"));
    assert_eq!(first.len(), 1);
    assert!(sends(&rig.request("b", "safe", "few")).is_empty(), "one of two for one of two doors");
    let next = sends(&rig.outcome("a", 0, &first[0].1, Status::Ok));
    assert_eq!(next.first().map(|(id, _)| id.as_str()), Some("b"));
}

#[test]
fn a_request_held_too_long_for_an_open_place_is_refused_before_its_deadline() {
    let mut rig = Rig::new(settings(), 5);
    rig.request("a", "once", "few");
    rig.request("b", "once", "few");
    assert!(refused(&rig.run(600.0), "b"));
}

#[test]
fn an_unsafe_request_is_never_sent_twice_once_it_may_have_run() {
    for status in [Status::Failed, Status::TimedOut, Status::Reset, Status::Canceled] {
        let mut rig = Rig::new(settings(), 5);
        let first = sends(&rig.request("a", "once", "free"));
        let out = rig.outcome("a", 0, &first[0].1, status);
        assert!(sends(&out).is_empty() && failed(&out, "a") && !refused(&out, "a"), "{status:?}: {out:?}");
    }
}

#[test]
fn an_unsafe_request_turned_away_unseen_goes_elsewhere() {
    for status in [Status::QueueFull, Status::ConnectError] {
        let mut rig = Rig::new(settings(), 5);
        let first = sends(&rig.request("a", "once", "free"));
        let next = sends(&rig.outcome("a", 0, &first[0].1, status));
        assert_eq!(next.len(), 1);
        assert_ne!(next[0].1, first[0].1);
    }
}

#[test]
fn a_keyed_request_is_not_repeated_after_its_key_is_forgotten() {
    let mut rig = Rig::new(settings(), 5);
    let first = sends(&rig.request("a", "keyed", "free"));
    rig.now += 998.0;
    assert!(sends(&rig.outcome("a", 0, &first[0].1, Status::Failed)).is_empty());
}

#[test]
fn a_keyed_request_of_a_cell_is_repeated_in_its_cell_only() {
    let mut own = settings();
    own.classes[1].dedup_scope = DedupScope::Cell;
    let mut rig = Rig::new(own, 0);
    let cell = |at: usize, cell| ServerEntry { cell, ..server(at, ServerState::Up, 0.0) };
    rig.tell(Event::Servers(ListKind::Full, vec![cell(0, 1), cell(1, 2), cell(2, 2), cell(3, 3)]));
    for round in 0..20 {
        let id = format!("r{round}");
        let first = sends(&rig.request(&id, "keyed", "free"));
        let Some((_, to)) = first.first() else { continue };
        let next = sends(&rig.outcome(&id, 0, to, Status::Reset));
        let cells = BTreeMap::from([("s0", 1), ("s1", 2), ("s2", 2), ("s3", 3)]);
        for (_, again) in &next {
            assert_eq!(cells[again.as_str()], cells[to.as_str()]);
            rig.outcome(&id, 1, again, Status::Ok);
        }
    }
}

#[test]
fn a_copy_that_lost_is_cancelled() {
    let mut rig = Rig::new(settings(), 3);
    let (_, first) = sends(&rig.request("a", "safe", "free")).remove(0);
    let copy = sends(&rig.run(450.0));
    assert_eq!(copy.len(), 1);
    assert_ne!(copy[0].1, first);
    let out = rig.outcome("a", 1, &copy[0].1, Status::Ok);
    assert!(out.contains(&Action::Cancel("a".into(), 0)));
}

/// The advice of the refusal of a request, if it was refused.
fn advice(out: &[Action], id: &str) -> Option<f64> {
    out.iter().find_map(|action| match action {
        Action::Refuse(other, pause) if other == id => Some(*pause),
        _ => None,
    })
}

#[test]
fn what_is_given_up_is_answered_at_once_and_with_advice() {
    // No server is reached.
    let mut rig = Rig::new(settings(), 4);
    let mut out = rig.request("cut", "once", "free");
    for attempt in 0..3 {
        let Some((_, to)) = sends(&out).first().cloned() else { break };
        out = rig.outcome("cut", attempt, &to, Status::ConnectError);
    }
    assert_eq!(advice(&out, "cut"), Some(500.0), "all attempts ended without a connection");
    // Turned away by all.
    let mut rig = Rig::new(settings(), 4);
    let mut out = rig.request("full", "once", "free");
    for attempt in 0..3 {
        let Some((_, to)) = sends(&out).first().cloned() else { break };
        out = rig.outcome("full", attempt, &to, Status::QueueFull);
    }
    assert_eq!(advice(&out, "full"), Some(500.0), "all attempts were turned away");
    // Ran and failed, must not run twice: a failure, at once too.
    let mut rig = Rig::new(settings(), 4);
    let out = rig.request("ran", "once", "free");
    let to = sends(&out)[0].1.clone();
    assert!(failed(&rig.outcome("ran", 0, &to, Status::Failed), "ran"));
    // Beyond the quota: until a unit's time has passed.
    let mut rig = Rig::new(settings(), 4);
    let name = counts(&rig.request("over", "safe", "soft"))[0].0.clone();
    let pause = advice(&rig.counted(&name, Status::Ok, 1_000.0), "over").expect("refused at once");
    assert!(pause > 50.0 && pause <= 500.0, "{pause} ms");
    // Doubted: a client's repeat while the counter is silent, among hundreds of gateways.
    let mut rig = Rig::new(Settings { gateway_count: 400, ..settings() }, 4);
    for at in 0..20u64 {
        rig.now += 20.0;
        let id = format!("r{at}");
        let mut out = rig.tell(Event::Request(Arrival {
            id: id.clone(),
            class: "safe".into(),
            plan: "soft".into(),
            customer: at,
            timeout_ms: 2000.0,
            units: 1.0,
            gateways: 200,
            retry: true,
        }));
        for (name, _) in counts(&out.clone()) {
            out.extend(rig.counted(&name, Status::TimedOut, 0.0));
        }
        assert_eq!(advice(&out, &id), Some(500.0), "{id}");
    }
    // Shed by late answers.
    let mut rig = Rig::new(Settings { gateway_count: 400, ..settings() }, 4);
    let mut shed = 0;
    for at in 0..200 {
        rig.now += 20.0;
        let id = format!("r{at}");
        let out = rig.request(&id, "safe", "free");
        if let Some(pause) = advice(&out, &id) {
            shed += 1;
            assert_eq!(pause, 500.0, "{id}");
        }
        for (id, to) in sends(&out) {
            rig.outcome(&id, 0, &to, Status::QueueFull);
        }
    }
    assert!(shed > 50, "{shed} shed");
}

#[test]
fn a_request_turned_away_that_finds_no_place_in_time_is_answered_then_and_not_at_its_deadline() {
    let mut rig = Rig::new(settings(), 1);
    let to = sends(&rig.request("r", "once", "free"))[0].1.clone();
    let out = rig.outcome("r", 0, &to, Status::QueueFull);
    let sent = rig.now;
    let mut answered = advice(&out, "r").map(|pause| (0.0, pause));
    while answered.is_none() && rig.now < sent + 2_000.0 {
        let out = rig.run(8.0);
        answered = advice(&out, "r").map(|pause| (rig.now - sent, pause));
    }
    let (after, pause) = answered.expect("answered before the deadline");
    assert!(after <= 500.0 && pause == 500.0, "after {after} ms with advice {pause}");
}

/// A keyed request whose pod group has no other server waited in line until its aim was gone.
#[test]
fn a_request_with_no_server_left_to_try_is_answered_at_once() {
    let mut rig = Rig::new(settings(), 2);
    lease(&mut rig, "a", "soft");
    let first = sends(&rig.outcome("a", 0, "s0", Status::Reset)).len();
    let out = match first {
        1 => rig.outcome("a", 1, "s1", Status::Reset),
        _ => panic!("the second server is tried"),
    };
    assert!(refused(&out, "a"), "{out:?}");
}

/// The last try of a client may come with next to no time: held until a sweep it was answered too late.
#[test]
fn a_request_with_too_little_time_for_any_server_is_refused_at_once() {
    let mut rig = Rig::new(settings(), 2);
    let (class, plan) = ("safe".to_string(), "soft".to_string());
    let (customer, patience_ms, units, doors, retry) = (5, 5.0, 1.0, 2, true);
    let arrival = Arrival {
        id: "a".into(),
        class,
        plan,
        customer,
        timeout_ms: patience_ms,
        units,
        gateways: doors,
        retry,
    };
    let out = rig.tell(Event::Request(arrival));
    assert!(refused(&out, "a") && sends(&out).is_empty(), "{out:?}");
    assert_eq!(rig.limiter.open_request_count(), 0);
}

/// A region or a path that says nothing cost a request all its time: where it may go elsewhere, it leaves time
/// for that within its aim, and goes.
#[test]
fn an_attempt_that_can_go_elsewhere_does_not_take_all_the_time() {
    let limit = |out: &[Action]| {
        let limit = |action: &Action| match action {
            Action::Send(_, _, limit) => Some(*limit),
            _ => None,
        };
        out.iter().find_map(limit).expect("sent")
    };
    let mut rig = Rig::new(settings(), 3);
    // The class is quick for its aim: there is time for two.
    for at in 0..30 {
        let id = format!("r{at}");
        let to = sends(&rig.request(&id, "safe", "free"))[0].1.clone();
        rig.now += 50.0;
        rig.outcome(&id, 0, &to, Status::Ok);
    }
    let out = rig.request("a", "safe", "free");
    let bound = limit(&out);
    assert!(bound > 0.0 && bound < 500.0, "within its aim: {bound}");
    rig.now += bound;
    let first = sends(&out)[0].1.clone();
    let out = rig.outcome("a", 0, &first, Status::TimedOut);
    assert!(sends(&out).iter().all(|(_, to)| *to != first) && sends(&out).len() == 1, "{out:?}");
    assert_eq!(limit(&rig.request("b", "once", "free")), 0.0, "it has nowhere else to go");
    rig.tell(Event::Servers(ListKind::Full, vec![server(1, ServerState::Up, 0.0)]));
    assert_eq!(limit(&rig.request("c", "safe", "free")), 0.0, "nor has this");
}

/// A later try of a request whose client waits so long over all its tries, so many ms after the first.
fn later(id: &str, age: f64) -> Arrival {
    Arrival {
        retry: true,
        timeout_ms: class("safe", RetrySafety::Idempotent).client_timeout_ms - age,
        ..arrival(id, "safe", "free")
    }
}

#[test]
fn a_later_try_whose_aim_is_gone_is_refused_at_once_where_a_late_answer_earns_nothing() {
    let aim = class("safe", RetrySafety::Idempotent).target_latency_ms;
    for (late_share, age, sent) in [(0.0, aim / 2.0, true), (0.0, aim + 10.0, false), (0.2, aim + 10.0, true)]
    {
        let mut own = Settings { marks_retry: true, ..settings() };
        own.classes.iter_mut().for_each(|class| class.late_share = late_share);
        let mut rig = Rig::new(own, 2);
        let actions = rig.tell(Event::Request(later("a", age)));
        assert_eq!(actions.iter().any(|a| matches!(a, Action::Send(..))), sent, "{late_share} {age}");
        assert_eq!(actions.iter().any(|a| matches!(a, Action::Refuse(..))), !sent, "{late_share} {age}");
    }
}

#[test]
fn a_place_that_gets_free_goes_to_a_first_try_before_a_late_one_that_came_earlier() {
    let mut own = Settings { marks_retry: true, hedging: false, ..settings() };
    own.classes.iter_mut().for_each(|class| class.late_share = 0.2);
    let aim = own.classes[0].target_latency_ms;
    let mut rig = Rig::new(own, 1);
    let mut out = Vec::new();
    while let Some(to) = sends(&rig.request(&format!("fill{}", out.len()), "safe", "free")).pop() {
        out.push(to);
    }
    rig.tell(Event::Request(later("late", aim + 10.0)));
    rig.request("fresh", "safe", "free");
    // The one that found no place is in line as well.
    let waiting = format!("fill{}", out.len());
    let mut next = Vec::new();
    for (id, server) in &out {
        next.extend(sends(&rig.outcome(id, 0, server, Status::Failed)).into_iter().map(|(id, _)| id));
    }
    assert_eq!(next, [waiting, "fresh".into(), "late".into()]);
}

#[test]
fn a_hasty_clients_first_try_is_not_refused_for_an_age_that_is_only_guessed() {
    let mut rig = Rig::new(settings(), 9);
    for at in 0..40 {
        for (id, to) in sends(&rig.request(&format!("r{at}"), "safe", "free")) {
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    // Half of the usual patience, and late answers earn nothing; nobody marks retries here.
    let hasty = Arrival { timeout_ms: 1000.0, ..arrival("hasty", "safe", "free") };
    assert_eq!(sends(&rig.tell(Event::Request(hasty))).len(), 1);
}
