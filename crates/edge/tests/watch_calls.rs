//! Which watch calls are under way, step by step on a clock of the test's own.

use nickeljunction_edge::watch::{Call, CallAction, CallOutcome, Watcher, GIVE_UP_MS, HOLD_MS, OVERDUE_MS};

const HOLD: f64 = HOLD_MS as f64;

/// Calls to be made now, and those to be dropped.
fn polled(watcher: &mut Watcher, now: f64) -> (Vec<Call>, Vec<Call>) {
    let (mut asked, mut dropped) = (Vec::new(), Vec::new());
    for step in watcher.poll(now, 0.0) {
        match step {
            CallAction::Start(call) => asked.push(call),
            CallAction::Cancel(call) => dropped.push(call),
        }
    }
    assert!(watcher.next_wake() > now, "it would be polled without end");
    (asked, dropped)
}

/// One that found `a` to lead at 0, of two seeds, and has its call held there since.
fn following() -> (Watcher, Call) {
    let mut watcher = Watcher::new(vec!["a".into(), "b".into()], 0);
    let (asked, _) = polled(&mut watcher, 0.0);
    let hosts: Vec<&str> = asked.iter().map(|call| call.host.as_str()).collect();
    assert_eq!(hosts, ["a", "b"], "all are asked at once");
    watcher.call_ended(0.0, asked[0].id, CallOutcome::Answered, 0.5);
    let (held, dropped) = polled(&mut watcher, 0.0);
    assert_eq!((held.len(), held[0].hold_ms, &dropped), (1, HOLD_MS, &asked[1..].to_vec()));
    (watcher, held[0].clone())
}

#[test]
fn a_slow_answer_is_waited_for_while_others_are_asked() {
    let (mut watcher, held) = following();
    let doubt = HOLD + OVERDUE_MS;
    assert_eq!(polled(&mut watcher, doubt - 1.0), (Vec::new(), Vec::new()));
    let (asked, dropped) = polled(&mut watcher, doubt);
    assert_eq!((asked.len(), dropped.len()), (2, 0), "both are asked, and the slow one is left");
    assert_eq!(watcher.leader(), Some("a"), "silence is no proof");
    watcher.call_ended(doubt + 50.0, held.id, CallOutcome::Answered, 0.5);
    let (again, dropped) = polled(&mut watcher, doubt + 50.0);
    assert_eq!(
        (again.len(), again[0].hold_ms, dropped),
        (1, HOLD_MS, asked),
        "what was asked beside it is of no use"
    );
}

#[test]
fn the_calls_at_one_silent_host_are_few_and_end() {
    let (mut watcher, held) = following();
    let (mut most, mut under_way, mut now) = (0, vec![held], 0.0);
    while now < 30_000.0 {
        now = watcher.next_wake().max(now);
        let (asked, dropped) = polled(&mut watcher, now);
        under_way.retain(|call| !dropped.contains(call));
        under_way.extend(asked);
        most = most.max(under_way.iter().filter(|call| call.host == "a").count());
    }
    assert_eq!(most, 4);
    let (_, dropped) = polled(&mut watcher, now + HOLD + GIVE_UP_MS);
    assert!(!dropped.is_empty());
}

#[test]
fn what_is_to_be_said_is_said_beside_the_held_call_and_once_at_a_time() {
    let (mut watcher, held) = following();
    watcher.query_leader_now();
    let (asked, dropped) = polled(&mut watcher, 100.0);
    assert_eq!((asked.len(), asked[0].hold_ms, dropped.len()), (1, 0, 0));
    watcher.query_leader_now();
    assert_eq!(polled(&mut watcher, 110.0), (Vec::new(), Vec::new()), "one is under way");
    watcher.call_ended(120.0, asked[0].id, CallOutcome::Answered, 0.5);
    let (next, dropped) = polled(&mut watcher, 120.0);
    assert_eq!(
        (next.len(), next[0].hold_ms, dropped.len()),
        (1, 0, 0),
        "what came meanwhile, and {held:?} is held on"
    );
}

#[test]
fn a_gateway_that_is_behind_asks_where_the_held_call_brings_nothing() {
    let (mut watcher, held) = following();
    watcher.newer_version_seen(100.0);
    assert_eq!(polled(&mut watcher, 150.0), (Vec::new(), Vec::new()), "it is on its way");
    assert_eq!(watcher.next_wake(), 100.0 + OVERDUE_MS);
    let (asked, _) = polled(&mut watcher, 100.0 + OVERDUE_MS);
    assert_eq!((asked.len(), asked[0].host.as_str(), asked[0].hold_ms), (1, "a", 0));
    // Where it has come, nothing is asked.
    let (mut watcher, held_again) = following();
    watcher.newer_version_seen(100.0);
    watcher.call_ended(130.0, held_again.id, CallOutcome::Answered, 0.5);
    assert_eq!(polled(&mut watcher, 130.0).0.len(), 1, "the next one to be held, after {held:?}");
    assert_eq!(polled(&mut watcher, 100.0 + OVERDUE_MS), (Vec::new(), Vec::new()));
}

#[test]
fn who_says_that_it_leads_no_more_is_left_at_once_for_whom_it_names() {
    let (mut watcher, held) = following();
    watcher.call_ended(200.0, held.id, CallOutcome::NotLeader(Some("c".into())), 0.5);
    assert_eq!(watcher.leader(), None);
    let (asked, _) = polled(&mut watcher, 200.0);
    let hosts: Vec<&str> = asked.iter().map(|call| call.host.as_str()).collect();
    assert_eq!(hosts, ["b", "c"], "the one that sent it on after a pause");
    watcher.call_ended(210.0, asked[1].id, CallOutcome::Answered, 0.5);
    assert_eq!(watcher.leader(), Some("c"));
}
