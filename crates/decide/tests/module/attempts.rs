//! Attempts of a request: retries, hedging, concurrency limits and timeouts.

use crate::common::*;
use nickeljunction_decide::api::*;
use std::collections::BTreeMap;

#[test]
fn concurrent_attempts_are_capped_and_the_next_is_sent_when_one_ends() {
    let mut rig = Rig::new(settings(), 5);
    let first = sends(&rig.request("a", "safe", "few"));
    assert_eq!(first.len(), 1);
    assert!(
        sends(&rig.request("b", "safe", "few")).is_empty(),
        "this gateway, one of two, has one of two places"
    );
    let next = sends(&rig.outcome("a", 0, &first[0].1, Status::Ok));
    assert_eq!(next.first().map(|(id, _)| id.as_str()), Some("b"));
}

#[test]
fn request_that_waits_too_long_for_the_cap_is_refused_before_its_deadline() {
    let mut rig = Rig::new(settings(), 5);
    rig.request("a", "once", "few");
    rig.request("b", "once", "few");
    assert!(refused(&rig.run(600.0), "b"));
}

#[test]
fn at_most_once_request_is_not_resent_if_it_may_have_run() {
    for status in [Status::Failed, Status::TimedOut, Status::Reset, Status::Canceled] {
        let mut rig = Rig::new(settings(), 5);
        let first = sends(&rig.request("a", "once", "free"));
        let out = rig.outcome("a", 0, &first[0].1, status);
        assert!(sends(&out).is_empty() && failed(&out, "a") && !refused(&out, "a"), "{status:?}: {out:?}");
    }
}

#[test]
fn at_most_once_request_is_resent_if_it_has_not_run() {
    for status in [Status::QueueFull, Status::ConnectError] {
        let mut rig = Rig::new(settings(), 5);
        let first = sends(&rig.request("a", "once", "free"));
        let next = sends(&rig.outcome("a", 0, &first[0].1, status));
        assert_eq!(next.len(), 1);
        assert_ne!(next[0].1, first[0].1);
    }
}

#[test]
fn keyed_request_is_not_resent_after_its_key_expires() {
    let mut rig = Rig::new(settings(), 5);
    let first = sends(&rig.request("a", "keyed", "free"));
    rig.now += 998.0;
    assert!(sends(&rig.outcome("a", 0, &first[0].1, Status::Failed)).is_empty());
}

#[test]
fn keyed_request_is_resent_within_its_cell_only() {
    let mut custom = settings();
    custom.classes[1].dedup_scope = DedupScope::Cell;
    let mut rig = Rig::new(custom, 0);
    let cell = |index: usize, cell| ServerEntry { cell, ..server(index, ServerState::Up, 0.0) };
    rig.handle(Event::Servers(ListKind::Full, vec![cell(0, 1), cell(1, 2), cell(2, 2), cell(3, 3)]));
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
fn slower_attempt_is_cancelled() {
    let mut rig = Rig::new(settings(), 3);
    let (_, first) = sends(&rig.request("a", "safe", "free")).remove(0);
    let copy = sends(&rig.run(450.0));
    assert_eq!(copy.len(), 1);
    assert_ne!(copy[0].1, first);
    let out = rig.outcome("a", 1, &copy[0].1, Status::Ok);
    assert!(out.contains(&Action::Cancel("a".into(), 0)));
}

/// The retry-after time of a request, if it was refused.
fn retry_after(out: &[Action], id: &str) -> Option<f64> {
    out.iter().find_map(|action| match action {
        Action::Refuse(other, pause) if other == id => Some(*pause),
        _ => None,
    })
}

#[test]
fn abandoned_requests_are_answered_at_once_with_retry_after() {
    // No server is reachable.
    let mut rig = Rig::new(settings(), 4);
    let mut out = rig.request("cut", "once", "free");
    for attempt in 0..3 {
        let Some((_, to)) = sends(&out).first().cloned() else { break };
        out = rig.outcome("cut", attempt, &to, Status::ConnectError);
    }
    assert_eq!(retry_after(&out, "cut"), Some(500.0), "all attempts ended without a connection");
    // All servers reject it.
    let mut rig = Rig::new(settings(), 4);
    let mut out = rig.request("full", "once", "free");
    for attempt in 0..3 {
        let Some((_, to)) = sends(&out).first().cloned() else { break };
        out = rig.outcome("full", attempt, &to, Status::QueueFull);
    }
    assert_eq!(retry_after(&out, "full"), Some(500.0), "all attempts were rejected");
    // It ran and failed, and must not run twice: a failure, at once.
    let mut rig = Rig::new(settings(), 4);
    let out = rig.request("ran", "once", "free");
    let to = sends(&out)[0].1.clone();
    assert!(failed(&rig.outcome("ran", 0, &to, Status::Failed), "ran"));
    // Beyond the quota: until a unit has been refilled.
    let mut rig = Rig::new(settings(), 4);
    let name = counts(&rig.request("over", "safe", "soft"))[0].0.clone();
    let pause = retry_after(&rig.counted(&name, Status::Ok, 1_000.0), "over").expect("refused at once");
    assert!(pause > 50.0 && pause <= 500.0, "{pause} ms");
    // A marked retry while the counter is silent, among hundreds of gateways.
    let mut rig = Rig::new(Settings { gateway_count: 400, ..settings() }, 4);
    for index in 0..20u64 {
        rig.now += 20.0;
        let id = format!("r{index}");
        let mut out = rig.handle(Event::Request(Arrival {
            id: id.clone(),
            class: "safe".into(),
            plan: "soft".into(),
            customer: index,
            timeout_ms: 2000.0,
            units: 1.0,
            gateways: 200,
            retry: true,
        }));
        for (name, _) in counts(&out.clone()) {
            out.extend(rig.counted(&name, Status::TimedOut, 0.0));
        }
        assert_eq!(retry_after(&out, &id), Some(500.0), "{id}");
    }
    // Shed because answers are late.
    let mut rig = Rig::new(Settings { gateway_count: 400, ..settings() }, 4);
    let mut shed = 0;
    for index in 0..200 {
        rig.now += 20.0;
        let id = format!("r{index}");
        let out = rig.request(&id, "safe", "free");
        if let Some(pause) = retry_after(&out, &id) {
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
fn rejected_request_without_a_free_server_is_answered_before_its_deadline() {
    let mut rig = Rig::new(settings(), 1);
    let to = sends(&rig.request("r", "once", "free"))[0].1.clone();
    let out = rig.outcome("r", 0, &to, Status::QueueFull);
    let sent = rig.now;
    let mut answered = retry_after(&out, "r").map(|pause| (0.0, pause));
    while answered.is_none() && rig.now < sent + 2_000.0 {
        let out = rig.run(8.0);
        answered = retry_after(&out, "r").map(|pause| (rig.now - sent, pause));
    }
    let (after, pause) = answered.expect("answered before the deadline");
    assert!(after <= 500.0 && pause == 500.0, "after {after} ms with retry-after {pause}");
}

/// A keyed request without another server in its scope waited in the queue until its target had passed.
#[test]
fn request_without_an_untried_server_is_answered_at_once() {
    let mut rig = Rig::new(settings(), 2);
    fetch_lease(&mut rig, "a", "soft");
    let first = sends(&rig.outcome("a", 0, "s0", Status::Reset)).len();
    let out = match first {
        1 => rig.outcome("a", 1, "s1", Status::Reset),
        _ => panic!("the second server is tried"),
    };
    assert!(refused(&out, "a"), "{out:?}");
}

/// The last try of a client may arrive with very little time: it was held until a sweep and answered too late.
#[test]
fn request_with_too_little_time_is_refused_at_once() {
    let mut rig = Rig::new(settings(), 2);
    let (class, plan) = ("safe".to_string(), "soft".to_string());
    let (customer, timeout_ms, units, gateways, retry) = (5, 5.0, 1.0, 2, true);
    let arrival = Arrival { id: "a".into(), class, plan, customer, timeout_ms, units, gateways, retry };
    let out = rig.handle(Event::Request(arrival));
    assert!(refused(&out, "a") && sends(&out).is_empty(), "{out:?}");
    assert_eq!(rig.limiter.open_request_count(), 0);
}

/// A server or path that does not respond used up all the time of a request. If the request may be sent elsewhere, the
/// timeout of an attempt leaves time for that within the target.
#[test]
fn attempt_timeout_leaves_time_for_another_server() {
    let limit = |out: &[Action]| {
        let limit = |action: &Action| match action {
            Action::Send(_, _, limit) => Some(*limit),
            _ => None,
        };
        out.iter().find_map(limit).expect("sent")
    };
    let mut rig = Rig::new(settings(), 3);
    // The class is quick for its target: there is time for two attempts.
    for index in 0..30 {
        let id = format!("r{index}");
        let to = sends(&rig.request(&id, "safe", "free"))[0].1.clone();
        rig.now += 50.0;
        rig.outcome(&id, 0, &to, Status::Ok);
    }
    let out = rig.request("a", "safe", "free");
    let timeout = limit(&out);
    assert!(timeout > 0.0 && timeout < 500.0, "within its target: {timeout}");
    rig.now += timeout;
    let first = sends(&out)[0].1.clone();
    let out = rig.outcome("a", 0, &first, Status::TimedOut);
    assert!(sends(&out).iter().all(|(_, to)| *to != first) && sends(&out).len() == 1, "{out:?}");
    assert_eq!(limit(&rig.request("b", "once", "free")), 0.0, "it must not be sent again");
    rig.handle(Event::Servers(ListKind::Full, vec![server(1, ServerState::Up, 0.0)]));
    assert_eq!(limit(&rig.request("c", "safe", "free")), 0.0, "no other server is left");
}

/// A retry that arrives `age` ms after the first try.
fn retry(id: &str, age: f64) -> Arrival {
    Arrival {
        retry: true,
        timeout_ms: class("safe", RetrySafety::Idempotent).client_timeout_ms - age,
        ..arrival(id, "safe", "free")
    }
}

#[test]
fn retry_past_its_target_is_refused_if_a_late_answer_earns_nothing() {
    let target = class("safe", RetrySafety::Idempotent).target_latency_ms;
    for (late_share, age, sent) in
        [(0.0, target / 2.0, true), (0.0, target + 10.0, false), (0.2, target + 10.0, true)]
    {
        let mut custom = Settings { marks_retry: true, ..settings() };
        custom.classes.iter_mut().for_each(|class| class.late_share = late_share);
        let mut rig = Rig::new(custom, 2);
        let actions = rig.handle(Event::Request(retry("a", age)));
        assert_eq!(actions.iter().any(|a| matches!(a, Action::Send(..))), sent, "{late_share} {age}");
        assert_eq!(actions.iter().any(|a| matches!(a, Action::Refuse(..))), !sent, "{late_share} {age}");
    }
}

#[test]
fn first_try_is_sent_before_a_late_retry() {
    let mut custom = Settings { marks_retry: true, hedging: false, ..settings() };
    custom.classes.iter_mut().for_each(|class| class.late_share = 0.2);
    let target = custom.classes[0].target_latency_ms;
    let mut rig = Rig::new(custom, 1);
    let mut out = Vec::new();
    while let Some(to) = sends(&rig.request(&format!("fill{}", out.len()), "safe", "free")).pop() {
        out.push(to);
    }
    rig.handle(Event::Request(retry("late", target + 10.0)));
    rig.request("fresh", "safe", "free");
    // The last request found no server below its limit and is queued as well.
    let waiting = format!("fill{}", out.len());
    let mut next = Vec::new();
    for (id, server) in &out {
        next.extend(sends(&rig.outcome(id, 0, server, Status::Failed)).into_iter().map(|(id, _)| id));
    }
    assert_eq!(next, [waiting, "fresh".into(), "late".into()]);
}

#[test]
fn first_try_with_a_short_timeout_is_not_refused_for_a_guessed_age() {
    let mut rig = Rig::new(settings(), 9);
    for index in 0..40 {
        for (id, to) in sends(&rig.request(&format!("r{index}"), "safe", "free")) {
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    // Half of the usual timeout. Late answers earn nothing, and clients do not mark retries.
    let short = Arrival { timeout_ms: 1000.0, ..arrival("hasty", "safe", "free") };
    assert_eq!(sends(&rig.handle(Event::Request(short))).len(), 1);
}
