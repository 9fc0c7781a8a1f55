//! Gateways' calls, and what watchers end up with.

mod common;

use common::*;
use nickeljunction_messages::{Caller, TrialInfo, VersionedConfig, WatchAnswer, WatchCall};
use nickeljunction_registry::{ApplyError, CallOutcome, TrialState, WatchCache};
use std::rc::Rc;

fn config(version: u64) -> VersionedConfig {
    VersionedConfig { version, document: serde_json::json!({ "config_version": version }) }
}

#[test]
fn a_gateway_is_ready_while_it_calls() {
    let mut cluster = Cluster::new();
    let ready =
        |cluster: &Cluster| cluster.register.roster().iter().map(|line| line.ready).collect::<Vec<_>>();
    cluster.register.record_watch_call(cluster.now, &hello("g", "a1", 1, true));
    cluster.wait(2_000);
    assert_eq!(ready(&cluster), [true], "its call is held for a second, the next one may be under way");
    cluster.wait(500);
    assert_eq!((ready(&cluster), cluster.register.gateway_count()), (vec![false], 1));
    cluster.wait(5_000);
    assert_eq!((ready(&cluster), cluster.register.gateway_count()), (vec![false], 0));
    cluster.wait(20_000);
    assert!(ready(&cluster).is_empty());
    cluster.register.record_watch_call(cluster.now, &hello("g", "a1", 1, true));
    cluster.register.gateway_disconnected(cluster.now, "g", 1);
    assert_eq!((ready(&cluster), cluster.register.gateway_count()), (vec![false], 1), "it may come back");
}

#[test]
fn operators_see_who_is_away_who_is_silent_and_who_has_which_version() {
    let mut cluster = Cluster::new();
    let call = |version| WatchCall { version, ..hello("g", "a1", 1, true) };
    let standing = |cluster: &Cluster| {
        let gateway = cluster.register.gateway_statuses(cluster.now).remove(0);
        (gateway.version, gateway.away_ms, gateway.line.ready)
    };
    cluster.register.record_watch_call(cluster.now, &call(3));
    assert_eq!(standing(&cluster), (Some(3), None, true));
    cluster.register.record_watch_call(cluster.now, &call(5));
    cluster.register.gateway_disconnected(cluster.now, "g", 1);
    cluster.wait(1_000);
    assert_eq!(standing(&cluster), (Some(5), Some(1_000), false));
    cluster.register.record_watch_call(cluster.now, &call(5));
    assert_eq!(standing(&cluster), (Some(5), None, true));

    let silent = |cluster: &Cluster| {
        let lives = cluster.register.server_statuses(cluster.now);
        lives.iter().map(|life| life.silent_ms).collect::<Vec<_>>()
    };
    cluster.register.record_heartbeat(cluster.now, "s", &beat("s:1", "a1", 1));
    cluster.wait(HEARTBEAT_MS * 2);
    assert_eq!(silent(&cluster), [None], "one beat may be lost");
    cluster.wait(HEARTBEAT_MS);
    assert_eq!(silent(&cluster), [Some(HEARTBEAT_MS * 3)]);
    cluster.register.record_heartbeat(cluster.now, "s", &beat("s:1", "a1", 2));
    assert_eq!(silent(&cluster), [None]);
}

#[test]
fn trials_are_told_where_one_changed_with_the_moment_from_which_they_hold_and_never_lead_back() {
    let mut cluster = Cluster::new();
    cluster.register.set_trials(Vec::new());
    let mut copy = WatchCache::new();
    let ask = |copy: &WatchCache| copy.watch_call(Caller::Gateway, "g", 1, None, 1_000);
    let first = cluster.register.answer(cluster.now, &ask(&copy), 0).expect("the first");
    assert!(!serde_json::to_string(&first).expect("plain data").contains("trials"), "none has ever changed");
    copy.apply(first).expect("the first");
    let tide = |step, stage, effective_at_ms| TrialState { tenant: "t".into(), step, stage, effective_at_ms };
    let (seq, effective_at_ms) = (cluster.register.seq(), cluster.now + 300);
    cluster.register.set_trials(vec![tide(4, 1, effective_at_ms)]);
    assert!(cluster.register.seq() > seq, "held calls look again");
    cluster.wait(100);
    let early = cluster.register.answer(cluster.now, &ask(&copy), 0).expect("news");
    cluster.register.set_trials(vec![tide(5, 2, effective_at_ms)]);
    let news = cluster.register.answer(cluster.now, &ask(&copy), 0).expect("news");
    let line = |step, stage, in_ms| TrialInfo { tenant: "t".into(), step, stage, in_ms };
    assert_eq!(copy.apply(news).expect("newer").trials, [line(5, 2, 200)]);
    assert!(cluster.register.answer(cluster.now, &ask(&copy), 0).is_none(), "all is told");
    // A new leader that lags behind, and the same step once more.
    let of_another = WatchAnswer { term: early.term + 1, ..early };
    assert_eq!(copy.apply(of_another).expect("a new leader").trials, []);
    assert_eq!(copy.catalog().trials.get("t"), Some(&(5, 2)));
    assert_eq!(copy.to_answer().trials, Some(vec![line(5, 2, 0)]));
    cluster.wait(300);
    let late =
        cluster.register.answer(cluster.now, &ask(&WatchCache::new()), 0).and_then(|answer| answer.trials);
    assert_eq!(late, Some(vec![line(5, 2, 0)]), "who hears late has it at once");
}

#[test]
fn a_replaced_life_says_nothing_more() {
    let mut cluster = Cluster::new();
    let register = &mut cluster.register;
    assert_eq!(register.record_watch_call(1_000, &hello("g", "a1", 9, true)), CallOutcome::Accepted);
    let silent = WatchCache::new().watch_call(Caller::Gateway, "g", 4, None, 1_000);
    assert_eq!(register.record_watch_call(1_000, &silent), CallOutcome::MissingLine);
    assert_eq!(register.record_watch_call(1_000, &hello("g", "a1", 4, true)), CallOutcome::Accepted);
    assert_eq!(register.record_watch_call(1_100, &hello("g", "a1", 9, false)), CallOutcome::ReplacedProcess);
    register.gateway_disconnected(1_200, "g", 9);
    assert!(register.roster()[0].ready, "the older life's connection, the newer one's gateway");
    assert_eq!(register.gateway_count(), 1);
}

#[test]
fn the_list_of_gateways_goes_as_a_difference_to_who_takes_it() {
    let mut cluster = Cluster::new();
    for (number, name) in ["f", "g", "h"].into_iter().enumerate() {
        cluster.register.record_watch_call(cluster.now, &hello(name, "a1", number as u64, true));
    }
    let mut copy = cluster.copy();
    let answer = |cluster: &Cluster, copy: &WatchCache, roster_differences: bool| {
        let call = WatchCall {
            accepts_roster_changes: roster_differences,
            ..copy.watch_call(Caller::Core, "watcher", 7, None, 0)
        };
        cluster.register.answer(cluster.now, &call, 0).expect("news")
    };
    cluster.register.record_watch_call(cluster.now, &hello("g", "a1", 1, false));
    let change = answer(&cluster, &copy, true).roster_change.expect("a difference");
    assert_eq!((change.changed, change.removed), (vec![line("g", "a1", false)], Vec::new()));
    assert_eq!(answer(&cluster, &copy, false).roster.map(|roster| roster.len()), Some(3));
    // "f" and "h" are forgotten, and "h" comes back.
    cluster.calling.push(("g", "a1"));
    cluster.wait(23_000);
    cluster.register.record_watch_call(cluster.now, &hello("h", "a2", 8, true));
    let change = answer(&cluster, &copy, true).roster_change.expect("a difference");
    assert_eq!(change.removed, ["f"]);
    cluster.tell(&mut copy, Caller::Core);
    assert_eq!(copy.catalog().roster, cluster.catalog().roster);
    let successor = Cluster::from(cluster.now, 2, Some(copy.clone()));
    assert!(answer(&successor, &copy, true).roster.is_some(), "another leader's numbers");
}

#[test]
fn only_core_members_are_woken_by_the_roster() {
    let mut cluster = Cluster::new();
    cluster.register.record_watch_call(cluster.now, &hello("g", "a1", 1, false));
    let (mut gateway, mut follower) = (WatchCache::new(), WatchCache::new());
    cluster.tell(&mut gateway, Caller::Gateway);
    cluster.tell(&mut follower, Caller::Core);
    cluster.register.record_watch_call(cluster.now, &hello("g", "a1", 1, true));
    assert_eq!(cluster.tell(&mut gateway, Caller::Gateway), None);
    assert!(cluster.tell(&mut follower, Caller::Core).is_some_and(|applied| applied.roster));
    assert_eq!(cluster.tell(&mut follower, Caller::Core), None);
}

#[test]
fn a_change_has_come_round_when_watchers_call_with_its_number() {
    let mut cluster = Cluster::new();
    cluster.register.record_watch_call(cluster.now, &hello("g", "a1", 1, true));
    let at = cluster.register.record_heartbeat(cluster.now, "x", &draining("x:1", "a1", 1)).seq;
    let mut copy = WatchCache::new();
    cluster.tell(&mut copy, Caller::Gateway);
    let reach = cluster.register.propagation(cluster.now, at);
    assert_eq!((reach.gateways, reach.connected_gateways), (0, 1));
    cluster.register.record_watch_call(cluster.now, &copy.watch_call(Caller::Core, "core-2", 1, None, 1_000));
    assert_eq!(cluster.register.propagation(cluster.now, at).gateways, 0, "a core member is no gateway");
    cluster.register.record_watch_call(cluster.now, &copy.watch_call(Caller::Gateway, "g", 1, None, 1_000));
    let reach = cluster.register.propagation(cluster.now, at);
    assert_eq!((reach.gateways, reach.connected_gateways), (1, 1));
    assert_eq!(cluster.register.propagation(cluster.now, cluster.register.seq() + 1).gateways, 0);
}

#[test]
fn who_lags_far_behind_reads_the_whole() {
    let mut cluster = Cluster::new();
    cluster.crowd(2, "a1");
    cluster.wait(6_000);
    let mut copy = cluster.copy();
    for n in 0..1_100 {
        cluster.beat(&format!("x{n}"), &beat("x:1", "a1", 1));
    }
    let call = copy.watch_call(Caller::Core, "watcher", 7, None, 0);
    assert!(cluster.register.answer(cluster.now, &call, 0).is_some_and(|answer| answer.is_full_list));
    cluster.tell(&mut copy, Caller::Core);
    assert_eq!(copy.catalog(), cluster.catalog());
}

#[test]
fn nothing_leads_back() {
    let mut copy = WatchCache::new();
    let answer = |term, seq, version: Option<u64>| WatchAnswer {
        term,
        seq,
        is_full_list: true,
        config: version.map(config).map(Rc::new),
        ..WatchAnswer::default()
    };
    assert!(copy.apply(answer(3, 10, Some(7))).is_ok_and(|applied| applied.config && applied.new_leader));
    let catalog = copy.catalog();
    assert_eq!(copy.apply(answer(2, 99, Some(8))), Err(ApplyError::StaleTerm(3, 2)));
    assert_eq!(copy.apply(answer(3, 9, None)), Err(ApplyError::StaleSeq(10, 9)));
    assert_eq!(copy.apply(answer(4, 1, Some(6))), Err(ApplyError::StaleConfig(7, 6)));
    assert!(Rc::ptr_eq(&catalog, &copy.catalog()), "a refused answer changes nothing");
    assert_eq!((copy.term(), copy.seq()), (3, 10));
    assert!(copy.apply(answer(3, 11, Some(7))).is_ok_and(|applied| !applied.has_changes()));
    assert!(Rc::ptr_eq(&catalog, &copy.catalog()), "no news, no swap");
}
