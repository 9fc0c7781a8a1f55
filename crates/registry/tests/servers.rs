//! Scripted sequences of heartbeats and other events of servers on a simulated clock.

mod common;

use common::*;
use nickeljunction_messages::{Caller, ServerState};
use nickeljunction_registry::{HeartbeatKind, Register, WatchCache};
use std::collections::{BTreeMap, BTreeSet};

fn zones<const N: usize>(names: [&str; N]) -> BTreeSet<String> {
    names.map(String::from).into()
}

#[test]
fn a_draining_server_stays_draining_after_stale_heartbeats_and_a_crash() {
    let mut leader = TestLeader::new();
    leader.add_servers(3, "a1");
    assert_eq!(leader.heartbeat("x", &heartbeat("x:1", "a1", 1)), HeartbeatKind::Registered);
    let announced = leader.register.record_heartbeat(leader.now, "x", &draining_heartbeat("x:1", "a1", 4));
    assert_eq!(announced.kind, HeartbeatKind::Changed);
    assert_eq!(leader.heartbeat("x", &heartbeat("x:1", "a1", 3)), HeartbeatKind::Stale);
    let repeated = leader.register.record_heartbeat(leader.now, "x", &draining_heartbeat("x:1", "a1", 5));
    assert_eq!(
        (repeated.kind, repeated.seq),
        (HeartbeatKind::Unchanged, announced.seq),
        "a repeated announcement refers to the same change"
    );
    assert_eq!(leader.state("x"), Some(ServerState::Draining));
    leader.advance(6_000);
    assert_eq!(leader.expired_ids, ["x"]);
    assert_eq!(leader.heartbeat("x", &heartbeat("x:1", "a1", 3)), HeartbeatKind::Stale);
    assert_eq!(leader.state("x"), None);
    assert_eq!(
        leader.heartbeat("x", &draining_heartbeat("x:1", "a1", 6)),
        HeartbeatKind::Registered,
        "a newer heartbeat shows that the server had only been cut off"
    );
}

#[test]
fn the_newest_heartbeat_counts_and_an_announced_end_is_final() {
    let mut leader = TestLeader::new();
    leader.heartbeat("x", &draining_heartbeat("x:1", "a1", 7));
    assert_eq!(leader.heartbeat("x", &heartbeat("x:1", "a1", 9)), HeartbeatKind::Changed);
    assert_eq!(leader.heartbeat("x", &draining_heartbeat("x:1", "a1", 8)), HeartbeatKind::Stale);
    assert_eq!(leader.state("x"), Some(ServerState::InService));
    leader.register.remove_server(leader.now, "x");
    leader.register.remove_server(leader.now, "no-heartbeat");
    assert_eq!(leader.heartbeat("x", &heartbeat("x:1", "a1", 10)), HeartbeatKind::Ended);
    assert_eq!(leader.heartbeat("no-heartbeat", &heartbeat("y:1", "a1", 1)), HeartbeatKind::Ended);
    assert_eq!(leader.register.server_count(), 0);
}

#[test]
fn an_address_belongs_to_the_instance_that_registered_last() {
    let mut leader = TestLeader::new();
    leader.add_servers(3, "a1");
    leader.heartbeat("old", &heartbeat("p:1", "a1", 50));
    leader.advance(2_000);
    let mut other = heartbeat("p:1", "a1", 1);
    other.backend = "eligcheck".into();
    assert_eq!(leader.heartbeat("new", &other), HeartbeatKind::Registered);
    assert_eq!(leader.state("old"), None);
    assert_eq!(leader.heartbeat("old", &heartbeat("p:1", "a1", 51)), HeartbeatKind::Ended);
    assert_eq!(leader.catalog().servers["new"].backend, "eligcheck");
    // The same if the older instance had been removed because it was silent.
    leader.heartbeat("silent", &heartbeat("q:1", "a1", 5));
    leader.advance(6_000);
    leader.heartbeat("next", &heartbeat("q:1", "a1", 1));
    assert_eq!(leader.heartbeat("silent", &heartbeat("q:1", "a1", 6)), HeartbeatKind::Ended);
    assert_eq!(leader.state("next"), Some(ServerState::InService));
}

#[test]
fn servers_are_not_removed_early_when_most_are_silent() {
    let mut leader = TestLeader::new();
    leader.add_servers(9, "a1");
    leader.advance(3_000);
    let all_servers = std::mem::take(&mut leader.active_servers);
    leader.advance(10_000);
    assert!(leader.expired_ids.is_empty(), "this machine was cut off, not the servers");
    // Most have returned. The others have as much time as after a heartbeat.
    leader.active_servers = all_servers[..6].to_vec();
    leader.advance(3_000);
    assert!(leader.expired_ids.is_empty());
    leader.active_servers = all_servers[..8].to_vec();
    leader.advance(6_000);
    assert_eq!(leader.expired_ids, ["s8"]);
    leader.active_servers.clear();
    leader.advance(25_000);
    assert_eq!(leader.register.server_count(), 0, "even most servers are removed in the end");
}

#[test]
fn a_pause_of_this_process_does_not_count_as_silence_of_servers() {
    let mut leader = TestLeader::new();
    leader.add_servers(4, "a1");
    leader.advance(1_000);
    leader.now += 9_000;
    leader.heartbeat("s0", &heartbeat("s0:1", "a1", 99));
    leader.heartbeat("s1", &heartbeat("s1:1", "a1", 99));
    leader.heartbeat("s2", &heartbeat("s2:1", "a1", 99));
    assert!(leader.register.tick(leader.now).is_empty());
}

#[test]
fn heartbeats_without_changes_are_not_published() {
    let mut leader = TestLeader::new();
    leader.calling_gateways = vec![("g", "a1")];
    leader.add_servers(1, "a1");
    leader.advance(6_000);
    leader.heartbeat("x", &cold_heartbeat("x:1", "a1", 1, 5_000));
    assert_eq!(leader.permit_holder("x").as_deref(), Some("g"));
    let seq = leader.register.seq();
    leader.advance(1_500);
    assert_eq!(leader.heartbeat("x", &cold_heartbeat("x:1", "a1", 2, 3_500)), HeartbeatKind::Unchanged);
    assert_eq!(leader.register.seq(), seq, "a shorter remaining cold time is not published");
    leader.advance(3_250);
    assert!(leader.permit_holder("x").is_some());
    leader.advance(500);
    assert_eq!(leader.permit_holder("x"), None, "the cold time is over");
    assert_eq!(leader.heartbeat("x", &heartbeat("x:1", "a1", 3)), HeartbeatKind::Unchanged);
    assert_eq!(
        leader.heartbeat("x", &cold_heartbeat("x:1", "a1", 4, 2_000)),
        HeartbeatKind::Changed,
        "cold again"
    );
    assert_eq!(
        leader.heartbeat("x", &heartbeat("x:1", "a1", 5)),
        HeartbeatKind::Changed,
        "a remaining time of 0 makes it warm at once"
    );
}

#[test]
fn permits_are_spread_over_the_nearest_gateways() {
    let mut leader = TestLeader::new();
    leader.calling_gateways = vec![("b", "b1"), ("g", "a1"), ("h", "a1"), ("i", "a2")];
    leader.advance(4_000);
    for n in 0..6 {
        leader.heartbeat(&format!("x{n}"), &cold_heartbeat(&format!("x{n}:1"), "a1", 1, 60_000));
    }
    let mut holders: Vec<String> = (0..6).filter_map(|n| leader.permit_holder(&format!("x{n}"))).collect();
    holders.sort();
    assert_eq!(holders, ["g", "g", "g", "h", "h", "h"]);
    leader.calling_gateways = vec![("b", "b1")];
    leader.advance(8_000);
    assert_eq!(
        leader.permit_holder("x0").as_deref(),
        Some("b"),
        "a gateway in another region if there is no nearer one"
    );
    leader.calling_gateways = vec![("b", "b1"), ("g", "a1")];
    leader.advance(8_000);
    assert_eq!(
        leader.permit_holder("x0").as_deref(),
        Some("b"),
        "the permit stays while its holder is connected"
    );
}

#[test]
fn a_permit_moves_only_after_a_time_without_a_holder() {
    let mut leader = TestLeader::new();
    leader.calling_gateways = vec![("g", "a1"), ("h", "a2")];
    leader.advance(4_000);
    leader.heartbeat("x", &cold_heartbeat("x:1", "a1", 1, 60_000));
    assert_eq!(leader.permit_holder("x").as_deref(), Some("g"));
    // A connection that breaks and is re-established soon moves no permit.
    leader.register.gateway_disconnected(leader.now, "g", 1);
    leader.advance(250);
    assert_eq!(leader.permit_holder("x").as_deref(), Some("g"));
    // A gateway that announces its shutdown loses its permit at once.
    leader.calling_gateways = vec![("h", "a2")];
    leader.register.record_watch_call(leader.now, &first_call("g", "a1", 1, false));
    leader.advance(250);
    assert_eq!(leader.permit_holder("x").as_deref(), Some(""));
    leader.advance(2_750);
    assert_eq!(leader.permit_holder("x").as_deref(), Some(""));
    leader.advance(500);
    assert_eq!(leader.permit_holder("x").as_deref(), Some("h"));
}

#[test]
fn an_instance_that_registers_again_gets_no_second_permit() {
    let mut leader = TestLeader::new();
    leader.calling_gateways = vec![("g", "a1"), ("h", "a2")];
    leader.add_servers(3, "a2");
    leader.advance(4_000);
    leader.heartbeat("x", &cold_heartbeat("x:1", "a1", 1, 60_000));
    leader.advance(5_250);
    assert_eq!(leader.expired_ids, ["x"]);
    leader.calling_gateways = vec![("h", "a2")];
    leader.register.record_watch_call(leader.now, &first_call("g", "a1", 1, false));
    leader.heartbeat("x", &cold_heartbeat("x:1", "a1", 2, 60_000));
    assert_eq!(
        leader.permit_holder("x").as_deref(),
        Some(""),
        "the first holder may not have received the removal"
    );
    leader.advance(3_250);
    assert_eq!(leader.permit_holder("x").as_deref(), Some("h"));
}

#[test]
fn after_an_evacuation_each_server_is_blocked_until_its_next_heartbeat() {
    let mut leader = TestLeader::new();
    leader.calling_gateways = vec![("g", "a1")];
    leader.advance(4_000);
    leader.heartbeat("x", &heartbeat("x:1", "a1", 1));
    leader.heartbeat("y", &heartbeat("y:1", "a1", 1));
    leader.heartbeat("z", &heartbeat("z:1", "b1", 1));
    leader.register.set_evacuated_zones(leader.now, zones(["a1", "b1"]));
    leader.advance(1_000);
    let mut gateway = leader.core_cache();
    assert_eq!(*gateway.catalog().evacuated_zones, zones(["a1", "b1"]));
    leader.register.set_evacuated_zones(leader.now, zones(["b1"]));
    leader.update(&mut gateway, Caller::Gateway).expect("there are changes");
    let permit_holder = |id: &str| gateway.catalog().servers[id].cold.clone();
    assert_eq!(*gateway.catalog().evacuated_zones, zones(["b1"]));
    assert_eq!(
        (permit_holder("x"), permit_holder("z")),
        (Some(String::new()), None),
        "blocked as soon as the evacuation is withdrawn"
    );
    leader.now += 100;
    leader.heartbeat("x", &heartbeat("x:1", "a1", 2));
    assert_eq!(
        leader.permit_holder("x").as_deref(),
        Some(""),
        "the heartbeat may have been sent before the server turned cold"
    );
    leader.advance(900);
    leader.heartbeat("x", &heartbeat("x:1", "a1", 3));
    leader.heartbeat("y", &cold_heartbeat("y:1", "a1", 2, 3_000));
    assert_eq!((leader.permit_holder("x"), leader.permit_holder("y").as_deref()), (None, Some("g")));
}

#[test]
fn a_new_leader_starts_from_its_cache() {
    let mut old = TestLeader::new();
    old.calling_gateways = vec![("g", "a1"), ("h", "a1")];
    old.add_servers(3, "a1");
    old.advance(6_000);
    old.heartbeat("d", &heartbeat("d:1", "a1", 4));
    old.heartbeat("d", &draining_heartbeat("d:1", "a1", 5));
    old.heartbeat("c", &cold_heartbeat("c:1", "a1", 1, 60_000));
    old.heartbeat("l", &heartbeat("l:1", "a1", 8));
    old.advance(500);
    let mut follower = old.core_cache();
    old.register.remove_server(old.now, "l");
    old.update(&mut follower, Caller::Core);
    assert!(old.permit_holder("c").is_some_and(|holder| !holder.is_empty()));

    let mut new = TestLeader::from(70_000, 2, Some(follower));
    assert!(!new.register.is_gathering());
    assert_eq!(new.register.gateway_count(), 2);
    assert_eq!(
        new.permit_holder("c").as_deref(),
        Some(""),
        "a gateway may still use the old leader's permit"
    );
    new.active_servers = old.active_servers;
    new.heartbeat("c", &cold_heartbeat("c:1", "a1", 2, 60_000));
    assert_eq!(
        new.heartbeat("l", &heartbeat("l:1", "a1", 8)),
        HeartbeatKind::Unconfirmed,
        "it may have been sent before the end of the instance"
    );
    assert_eq!(new.heartbeat("l", &heartbeat("l:1", "a1", 8)), HeartbeatKind::Stale);
    // The cache doesn't contain which of its calls announced that it drains.
    new.heartbeat("d", &heartbeat("d:1", "a1", 4));
    assert_eq!(new.state("d"), Some(ServerState::Draining));
    new.heartbeat("d", &draining_heartbeat("d:1", "a1", 6));
    new.calling_gateways = vec![("g", "a1"), ("h", "a1")];
    new.advance(2_750);
    assert_eq!(new.permit_holder("c").as_deref(), Some(""));
    new.advance(500);
    assert!(new.permit_holder("c").is_some_and(|holder| !holder.is_empty()));
    assert!(new.expired_ids.is_empty(), "every server had time to find the new leader");
    new.advance(2_500);
    assert_eq!(new.expired_ids, ["c", "d"]);
    assert_eq!(
        new.heartbeat("l", &heartbeat("l:1", "a1", 9)),
        HeartbeatKind::Registered,
        "a newer heartbeat shows that the server is alive"
    );
}

#[test]
fn without_a_cache_gateways_keep_their_servers_until_the_table_is_complete() {
    let mut old = TestLeader::new();
    old.add_servers(2, "a1");
    old.heartbeat("x", &draining_heartbeat("x:1", "a1", 9));
    old.heartbeat("silent", &heartbeat("silent:1", "b1", 9));
    old.calling_gateways = vec![("g", "b1")];
    old.advance(3_250);
    old.heartbeat("cold", &cold_heartbeat("cold:1", "b1", 9, 60_000));
    assert_eq!(old.permit_holder("cold").as_deref(), Some("g"));
    old.register.set_evacuated_zones(old.now, zones(["a1"]));
    old.advance(1_000);
    let mut gateway = old.core_cache();

    let mut new = TestLeader::from(20_000, 2, None);
    new.register.set_evacuated_zones(new.now, zones([]));
    new.heartbeat("s0", &heartbeat("s0:1", "a1", 99));
    new.heartbeat("x", &heartbeat("x:1", "a1", 8));
    new.update(&mut gateway, Caller::Gateway).expect("there are changes");
    let catalog = gateway.catalog();
    assert_eq!(catalog.servers.len(), 5, "the servers that the gateway already had are kept");
    assert_eq!(catalog.servers["s0"].cold, None, "it has sent a heartbeat since");
    assert_eq!(catalog.servers["s1"].cold.as_deref(), Some(""), "it may have turned cold unnoticed");
    assert_eq!(catalog.servers["cold"].cold.as_deref(), Some(""), "its permit was given by the old leader");
    assert_eq!(
        catalog.servers["x"].state,
        ServerState::Draining,
        "an older heartbeat must not end the drain"
    );
    new.register.set_evacuated_zones(new.now, zones(["b1"]));
    new.update(&mut gateway, Caller::Gateway).expect("there are changes");
    assert_eq!(gateway.catalog().servers["silent"].cold, None);
    new.register.set_evacuated_zones(new.now, zones([]));
    new.update(&mut gateway, Caller::Gateway).expect("there are changes");
    assert_eq!(
        gateway.catalog().servers["silent"].cold.as_deref(),
        Some(""),
        "the new leader doesn't know whether it is warm"
    );
    let mut follower = WatchCache::new();
    new.update(&mut follower, Caller::Core);
    assert!(!follower.is_complete(), "the next leader must gather again");

    new.active_servers =
        vec![("s0".into(), "a1", "s0:1".into(), 100), ("s1".into(), "a1", "s1:1".into(), 100)];
    new.advance(7_000);
    assert!(!new.register.is_gathering());
    new.update(&mut gateway, Caller::Gateway).expect("there are changes");
    assert!(!gateway.catalog().servers.contains_key("silent"));
    assert_eq!(gateway.catalog().servers, new.catalog().servers);
}

#[test]
fn servers_are_counted_by_service_and_state() {
    let mut leader = TestLeader::new();
    leader.heartbeat("w1", &heartbeat("w:1", "a1", 1));
    leader.heartbeat("w2", &heartbeat("w:2", "a1", 1));
    leader.heartbeat("c", &cold_heartbeat("c:1", "a1", 1, 9_000));
    leader.heartbeat("d", &draining_heartbeat("d:1", "a1", 1));
    let mut last = cold_heartbeat("l:1", "b1", 1, 9_000);
    (last.backend, last.state) = ("eligcheck".into(), ServerState::Draining);
    leader.heartbeat("l", &last);
    let counts = leader.register.server_counts();
    assert_eq!(counts["bookdesk"], [("in_service", 2), ("cold", 1), ("draining", 1)].into());
    assert_eq!(counts["eligcheck"], [("draining", 1)].into(), "a draining server doesn't count as cold");
    leader.register.remove_server(leader.now, "l");
    assert!(!leader.register.server_counts().contains_key("eligcheck"));
}

/// A leader with a complete server table: `stays`, `drains` and `ends`.
fn with_three_servers() -> TestLeader {
    let mut leader = TestLeader::new();
    for call_seq in 1..=3 {
        for id in ["stays", "drains", "ends"] {
            leader.heartbeat(id, &heartbeat(&format!("{id}:1"), "a1", call_seq));
        }
        leader.advance(2_000);
    }
    leader
}

#[test]
fn departures_in_the_log_take_precedence_over_the_cache() {
    let cache = with_three_servers().core_cache();
    let now = 50_000;
    let draining = BTreeMap::from([("drains".to_owned(), 4), ("unknown".to_owned(), 4)]);
    let ended = BTreeSet::from(["ends".to_owned(), "not in the cache".to_owned()]);
    let mut register = Register::new(now, tuning(), 9, Some(cache));
    register.apply_departures(now, &draining, &ended);
    let states = ["stays", "drains", "ends", "unknown"].map(|id| register.server_state(id));
    assert_eq!(states, [Some(ServerState::InService), Some(ServerState::Draining), None, None]);
    // Heartbeats from before the departures, and one from after.
    assert_eq!(
        register.record_heartbeat(now, "drains", &heartbeat("drains:1", "a1", 3)).kind,
        HeartbeatKind::Stale
    );
    assert_eq!(
        register.record_heartbeat(now, "unknown", &heartbeat("unknown:1", "a1", 3)).kind,
        HeartbeatKind::Stale
    );
    assert_eq!(
        register.record_heartbeat(now, "ends", &heartbeat("ends:1", "a1", 99)).kind,
        HeartbeatKind::Ended
    );
    assert_eq!(
        register.record_heartbeat(now, "not in the cache", &heartbeat("n:1", "a1", 1)).kind,
        HeartbeatKind::Ended
    );
    assert_eq!(
        register.record_heartbeat(now, "unknown", &draining_heartbeat("unknown:1", "a1", 5)).kind,
        HeartbeatKind::Registered
    );
    assert_eq!(register.server_state("unknown"), Some(ServerState::Draining));
}

/// The answers of a leader without a cache add to what gateways have, so they must also remove the servers that left.
#[test]
fn a_new_leader_without_a_cache_removes_departed_servers_from_gateways() {
    let draining = BTreeMap::from([("drains".to_owned(), 4)]);
    let ended = BTreeSet::from(["ends".to_owned()]);
    let mut cache = with_three_servers().core_cache();
    let now = 50_000;
    let mut register = Register::new(now, tuning(), 9, None);
    register.apply_departures(now, &draining, &ended);
    let call = cache.watch_call(Caller::Gateway, "g", 1, None, 0);
    let answer = register.answer(now, &call, 0).expect("a new leader's answer");
    assert!(!answer.is_full_list);
    cache.apply(answer).expect("the answer is of a newer term");
    let remaining: Vec<String> = cache.catalog().servers.keys().map(|id| id.to_string()).collect();
    assert_eq!(remaining, ["stays"]);
}
