//! Watch calls of gateways, and what the watchers' caches contain in the end.

mod common;

use common::*;
use nickeljunction_messages::{Caller, TrialInfo, VersionedConfig, WatchAnswer, WatchCall};
use nickeljunction_registry::{ApplyError, CallOutcome, TrialState, WatchCache};
use std::rc::Rc;

fn config(version: u64) -> VersionedConfig {
    VersionedConfig { version, document: serde_json::json!({ "config_version": version }) }
}

#[test]
fn a_gateway_is_ready_while_it_keeps_calling() {
    let mut leader = TestLeader::new();
    let ready =
        |leader: &TestLeader| leader.register.roster().iter().map(|line| line.ready).collect::<Vec<_>>();
    leader.register.record_watch_call(leader.now, &first_call("g", "a1", 1, true));
    leader.advance(2_000);
    assert_eq!(ready(&leader), [true], "its call is held for a second, and the next one may be on its way");
    leader.advance(500);
    assert_eq!((ready(&leader), leader.register.gateway_count()), (vec![false], 1));
    leader.advance(5_000);
    assert_eq!((ready(&leader), leader.register.gateway_count()), (vec![false], 0));
    leader.advance(20_000);
    assert!(ready(&leader).is_empty());
    leader.register.record_watch_call(leader.now, &first_call("g", "a1", 1, true));
    leader.register.gateway_disconnected(leader.now, "g", 1);
    assert_eq!((ready(&leader), leader.register.gateway_count()), (vec![false], 1), "it may reconnect");
}

#[test]
fn statuses_show_disconnected_gateways_silent_servers_and_config_versions() {
    let mut leader = TestLeader::new();
    let call = |version| WatchCall { version, ..first_call("g", "a1", 1, true) };
    let status = |leader: &TestLeader| {
        let gateway = leader.register.gateway_statuses(leader.now).remove(0);
        (gateway.version, gateway.away_ms, gateway.line.ready)
    };
    leader.register.record_watch_call(leader.now, &call(3));
    assert_eq!(status(&leader), (Some(3), None, true));
    leader.register.record_watch_call(leader.now, &call(5));
    leader.register.gateway_disconnected(leader.now, "g", 1);
    leader.advance(1_000);
    assert_eq!(status(&leader), (Some(5), Some(1_000), false));
    leader.register.record_watch_call(leader.now, &call(5));
    assert_eq!(status(&leader), (Some(5), None, true));

    let silent_ms = |leader: &TestLeader| {
        let servers = leader.register.server_statuses(leader.now);
        servers.iter().map(|server| server.silent_ms).collect::<Vec<_>>()
    };
    leader.register.record_heartbeat(leader.now, "s", &heartbeat("s:1", "a1", 1));
    leader.advance(HEARTBEAT_MS * 2);
    assert_eq!(silent_ms(&leader), [None], "one heartbeat may be lost");
    leader.advance(HEARTBEAT_MS);
    assert_eq!(silent_ms(&leader), [Some(HEARTBEAT_MS * 3)]);
    leader.register.record_heartbeat(leader.now, "s", &heartbeat("s:1", "a1", 2));
    assert_eq!(silent_ms(&leader), [None]);
}

#[test]
fn trials_are_published_when_they_change_with_their_effective_time_and_never_revert() {
    let mut leader = TestLeader::new();
    leader.register.set_trials(Vec::new());
    let mut cache = WatchCache::new();
    let watch_call = |cache: &WatchCache| cache.watch_call(Caller::Gateway, "g", 1, None, 1_000);
    let first = leader.register.answer(leader.now, &watch_call(&cache), 0).expect("the first answer");
    assert!(
        !serde_json::to_string(&first).expect("plain data").contains("trials"),
        "no trial has ever changed"
    );
    cache.apply(first).expect("the first answer");
    let trial =
        |step, stage, effective_at_ms| TrialState { tenant: "t".into(), step, stage, effective_at_ms };
    let (seq, effective_at_ms) = (leader.register.seq(), leader.now + 300);
    leader.register.set_trials(vec![trial(4, 1, effective_at_ms)]);
    assert!(leader.register.seq() > seq, "held calls are answered");
    leader.advance(100);
    let first_change = leader.register.answer(leader.now, &watch_call(&cache), 0).expect("there are changes");
    leader.register.set_trials(vec![trial(5, 2, effective_at_ms)]);
    let second = leader.register.answer(leader.now, &watch_call(&cache), 0).expect("there are changes");
    let trial_line = |step, stage, in_ms| TrialInfo { tenant: "t".into(), step, stage, in_ms };
    assert_eq!(cache.apply(second).expect("the step is newer").trials, [trial_line(5, 2, 200)]);
    assert!(
        leader.register.answer(leader.now, &watch_call(&cache), 0).is_none(),
        "the watcher has everything"
    );
    // An answer of a new leader whose state is older, with a lower step.
    let outdated = WatchAnswer { term: first_change.term + 1, ..first_change };
    assert_eq!(cache.apply(outdated).expect("an answer of a new leader").trials, []);
    assert_eq!(cache.catalog().trials.get("t"), Some(&(5, 2)));
    assert_eq!(cache.to_answer().trials, Some(vec![trial_line(5, 2, 0)]));
    leader.advance(300);
    let answer = leader
        .register
        .answer(leader.now, &watch_call(&WatchCache::new()), 0)
        .and_then(|answer| answer.trials);
    assert_eq!(
        answer,
        Some(vec![trial_line(5, 2, 0)]),
        "a later caller gets a stage that is already in effect"
    );
}

#[test]
fn calls_of_a_replaced_gateway_process_are_ignored() {
    let mut leader = TestLeader::new();
    let register = &mut leader.register;
    assert_eq!(register.record_watch_call(1_000, &first_call("g", "a1", 9, true)), CallOutcome::Accepted);
    let without_line = WatchCache::new().watch_call(Caller::Gateway, "g", 4, None, 1_000);
    assert_eq!(register.record_watch_call(1_000, &without_line), CallOutcome::MissingLine);
    assert_eq!(register.record_watch_call(1_000, &first_call("g", "a1", 4, true)), CallOutcome::Accepted);
    assert_eq!(
        register.record_watch_call(1_100, &first_call("g", "a1", 9, false)),
        CallOutcome::ReplacedProcess
    );
    register.gateway_disconnected(1_200, "g", 9);
    assert!(register.roster()[0].ready, "the connection of the older process doesn't concern the newer one");
    assert_eq!(register.gateway_count(), 1);
}

#[test]
fn the_list_of_gateways_is_sent_as_a_difference_to_callers_that_accept_it() {
    let mut leader = TestLeader::new();
    for (number, name) in ["f", "g", "h"].into_iter().enumerate() {
        leader.register.record_watch_call(leader.now, &first_call(name, "a1", number as u64, true));
    }
    let mut cache = leader.core_cache();
    let answer = |leader: &TestLeader, cache: &WatchCache, roster_differences: bool| {
        let call = WatchCall {
            accepts_roster_changes: roster_differences,
            ..cache.watch_call(Caller::Core, "watcher", 7, None, 0)
        };
        leader.register.answer(leader.now, &call, 0).expect("there are changes")
    };
    leader.register.record_watch_call(leader.now, &first_call("g", "a1", 1, false));
    let change = answer(&leader, &cache, true).roster_change.expect("a difference");
    assert_eq!((change.changed, change.removed), (vec![gateway_line("g", "a1", false)], Vec::new()));
    assert_eq!(answer(&leader, &cache, false).roster.map(|roster| roster.len()), Some(3));
    // "f" and "h" are removed, and "h" registers again.
    leader.calling_gateways.push(("g", "a1"));
    leader.advance(23_000);
    leader.register.record_watch_call(leader.now, &first_call("h", "a2", 8, true));
    let change = answer(&leader, &cache, true).roster_change.expect("a difference");
    assert_eq!(change.removed, ["f"]);
    leader.update(&mut cache, Caller::Core);
    assert_eq!(cache.catalog().roster, leader.catalog().roster);
    let next_leader = TestLeader::from(leader.now, 2, Some(cache.clone()));
    assert!(
        answer(&next_leader, &cache, true).roster.is_some(),
        "the sequence numbers are those of another leader"
    );
}

#[test]
fn changes_of_the_roster_answer_only_calls_of_core_members() {
    let mut leader = TestLeader::new();
    leader.register.record_watch_call(leader.now, &first_call("g", "a1", 1, false));
    let (mut gateway, mut follower) = (WatchCache::new(), WatchCache::new());
    leader.update(&mut gateway, Caller::Gateway);
    leader.update(&mut follower, Caller::Core);
    leader.register.record_watch_call(leader.now, &first_call("g", "a1", 1, true));
    assert_eq!(leader.update(&mut gateway, Caller::Gateway), None);
    assert!(leader.update(&mut follower, Caller::Core).is_some_and(|update| update.roster));
    assert_eq!(leader.update(&mut follower, Caller::Core), None);
}

#[test]
fn a_change_has_propagated_when_gateways_call_with_its_sequence_number() {
    let mut leader = TestLeader::new();
    leader.register.record_watch_call(leader.now, &first_call("g", "a1", 1, true));
    let seq = leader.register.record_heartbeat(leader.now, "x", &draining_heartbeat("x:1", "a1", 1)).seq;
    let mut cache = WatchCache::new();
    leader.update(&mut cache, Caller::Gateway);
    let propagation = leader.register.propagation(leader.now, seq);
    assert_eq!((propagation.gateways, propagation.connected_gateways), (0, 1));
    leader.register.record_watch_call(leader.now, &cache.watch_call(Caller::Core, "core-2", 1, None, 1_000));
    assert_eq!(
        leader.register.propagation(leader.now, seq).gateways,
        0,
        "core members don't count as gateways"
    );
    leader.register.record_watch_call(leader.now, &cache.watch_call(Caller::Gateway, "g", 1, None, 1_000));
    let propagation = leader.register.propagation(leader.now, seq);
    assert_eq!((propagation.gateways, propagation.connected_gateways), (1, 1));
    assert_eq!(leader.register.propagation(leader.now, leader.register.seq() + 1).gateways, 0);
}

#[test]
fn watchers_that_are_far_behind_receive_the_whole_table() {
    let mut leader = TestLeader::new();
    leader.add_servers(2, "a1");
    leader.advance(6_000);
    let mut cache = leader.core_cache();
    for n in 0..1_100 {
        leader.heartbeat(&format!("x{n}"), &heartbeat("x:1", "a1", 1));
    }
    let call = cache.watch_call(Caller::Core, "watcher", 7, None, 0);
    assert!(leader.register.answer(leader.now, &call, 0).is_some_and(|answer| answer.is_full_list));
    leader.update(&mut cache, Caller::Core);
    assert_eq!(cache.catalog(), leader.catalog());
}

#[test]
fn stale_answers_are_refused() {
    let mut cache = WatchCache::new();
    let answer = |term, seq, version: Option<u64>| WatchAnswer {
        term,
        seq,
        is_full_list: true,
        config: version.map(config).map(Rc::new),
        ..WatchAnswer::default()
    };
    assert!(cache.apply(answer(3, 10, Some(7))).is_ok_and(|update| update.config && update.new_leader));
    let catalog = cache.catalog();
    assert_eq!(cache.apply(answer(2, 99, Some(8))), Err(ApplyError::StaleTerm(3, 2)));
    assert_eq!(cache.apply(answer(3, 9, None)), Err(ApplyError::StaleSeq(10, 9)));
    assert_eq!(cache.apply(answer(4, 1, Some(6))), Err(ApplyError::StaleConfig(7, 6)));
    assert!(Rc::ptr_eq(&catalog, &cache.catalog()), "a refused answer changes nothing");
    assert_eq!((cache.term(), cache.seq()), (3, 10));
    assert!(cache.apply(answer(3, 11, Some(7))).is_ok_and(|update| !update.has_changes()));
    assert!(Rc::ptr_eq(&catalog, &cache.catalog()), "an answer without changes doesn't replace the snapshot");
}
