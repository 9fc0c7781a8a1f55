//! Which watch calls a [`Watcher`] starts and cancels, step by step; the time is an argument.

use nickeljunction_edge::watch::{Call, CallAction, CallOutcome, Watcher, GIVE_UP_MS, HOLD_MS, OVERDUE_MS};

const HOLD: f64 = HOLD_MS as f64;

/// Polls the watcher; returns the calls to start and the calls to cancel.
fn poll(watcher: &mut Watcher, now: f64) -> (Vec<Call>, Vec<Call>) {
    let (mut started, mut cancelled) = (Vec::new(), Vec::new());
    for action in watcher.poll(now, 0.0) {
        match action {
            CallAction::Start(call) => started.push(call),
            CallAction::Cancel(call) => cancelled.push(call),
        }
    }
    assert!(watcher.next_wake() > now, "the caller would poll in a busy loop");
    (started, cancelled)
}

/// A watcher with the seeds `a` and `b` that found `a` to lead at time 0, and the call that `a` has held since then.
fn watcher_with_held_call() -> (Watcher, Call) {
    let mut watcher = Watcher::new(vec!["a".into(), "b".into()], 0);
    let (started, _) = poll(&mut watcher, 0.0);
    let hosts: Vec<&str> = started.iter().map(|call| call.host.as_str()).collect();
    assert_eq!(hosts, ["a", "b"], "all seeds are called at once");
    watcher.call_ended(0.0, started[0].id, CallOutcome::Answered, 0.5);
    let (held, cancelled) = poll(&mut watcher, 0.0);
    assert_eq!((held.len(), held[0].hold_ms, &cancelled), (1, HOLD_MS, &started[1..].to_vec()));
    (watcher, held[0].clone())
}

#[test]
fn an_overdue_call_stays_open_while_all_hosts_are_called_again() {
    let (mut watcher, held) = watcher_with_held_call();
    let overdue_at = HOLD + OVERDUE_MS;
    assert_eq!(poll(&mut watcher, overdue_at - 1.0), (Vec::new(), Vec::new()));
    let (started, cancelled) = poll(&mut watcher, overdue_at);
    assert_eq!(
        (started.len(), cancelled.len()),
        (2, 0),
        "both hosts are called, the overdue call stays open"
    );
    assert_eq!(watcher.leader(), Some("a"), "an overdue call does not prove that the leader failed");
    watcher.call_ended(overdue_at + 50.0, held.id, CallOutcome::Answered, 0.5);
    let (next, cancelled) = poll(&mut watcher, overdue_at + 50.0);
    assert_eq!(
        (next.len(), next[0].hold_ms, cancelled),
        (1, HOLD_MS, started),
        "the answer makes the further calls superfluous"
    );
}

#[test]
fn open_calls_at_a_silent_host_are_limited_and_given_up() {
    let (mut watcher, held) = watcher_with_held_call();
    let (mut max_open, mut open, mut now) = (0, vec![held], 0.0);
    while now < 30_000.0 {
        now = watcher.next_wake().max(now);
        let (started, cancelled) = poll(&mut watcher, now);
        open.retain(|call| !cancelled.contains(call));
        open.extend(started);
        max_open = max_open.max(open.iter().filter(|call| call.host == "a").count());
    }
    assert_eq!(max_open, 4);
    let (_, cancelled) = poll(&mut watcher, now + HOLD + GIVE_UP_MS);
    assert!(!cancelled.is_empty());
}

#[test]
fn immediate_queries_run_beside_the_held_call_one_at_a_time() {
    let (mut watcher, held) = watcher_with_held_call();
    watcher.query_leader_now();
    let (started, cancelled) = poll(&mut watcher, 100.0);
    assert_eq!((started.len(), started[0].hold_ms, cancelled.len()), (1, 0, 0));
    watcher.query_leader_now();
    assert_eq!(poll(&mut watcher, 110.0), (Vec::new(), Vec::new()), "a query is still open");
    watcher.call_ended(120.0, started[0].id, CallOutcome::Answered, 0.5);
    let (next, cancelled) = poll(&mut watcher, 120.0);
    assert_eq!(
        (next.len(), next[0].hold_ms, cancelled.len()),
        (1, 0, 0),
        "the second query starts, and {held:?} stays open"
    );
}

#[test]
fn after_a_newer_version_the_leader_is_called_only_if_the_held_call_is_not_answered() {
    let (mut watcher, held) = watcher_with_held_call();
    watcher.newer_version_seen(100.0);
    assert_eq!(
        poll(&mut watcher, 150.0),
        (Vec::new(), Vec::new()),
        "the held call's answer may be on its way"
    );
    assert_eq!(watcher.next_wake(), 100.0 + OVERDUE_MS);
    let (started, _) = poll(&mut watcher, 100.0 + OVERDUE_MS);
    assert_eq!((started.len(), started[0].host.as_str(), started[0].hold_ms), (1, "a", 0));
    // The held call is answered in time: no further call.
    let (mut watcher, held_again) = watcher_with_held_call();
    watcher.newer_version_seen(100.0);
    watcher.call_ended(130.0, held_again.id, CallOutcome::Answered, 0.5);
    assert_eq!(poll(&mut watcher, 130.0).0.len(), 1, "only the next held call starts, after {held:?}");
    assert_eq!(poll(&mut watcher, 100.0 + OVERDUE_MS), (Vec::new(), Vec::new()));
}

#[test]
fn a_leader_that_steps_down_is_replaced_by_the_host_that_it_names() {
    let (mut watcher, held) = watcher_with_held_call();
    watcher.call_ended(200.0, held.id, CallOutcome::NotLeader(Some("c".into())), 0.5);
    assert_eq!(watcher.leader(), None);
    let (started, _) = poll(&mut watcher, 200.0);
    let hosts: Vec<&str> = started.iter().map(|call| call.host.as_str()).collect();
    assert_eq!(hosts, ["b", "c"], "the former leader is called again only after a pause");
    watcher.call_ended(210.0, started[1].id, CallOutcome::Answered, 0.5);
    assert_eq!(watcher.leader(), Some("c"));
}
