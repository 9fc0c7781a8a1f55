//! Scripted histories of servers on a fake clock.

mod common;

use common::*;
use nickeljunction_messages::{Caller, ServerState};
use nickeljunction_registry::{HeartbeatKind, Register, WatchCache};
use std::collections::{BTreeMap, BTreeSet};

fn zones<const N: usize>(names: [&str; N]) -> BTreeSet<String> {
    names.map(String::from).into()
}

#[test]
fn a_drain_holds_through_late_beats_and_a_crash() {
    let mut cluster = Cluster::new();
    cluster.crowd(3, "a1");
    assert_eq!(cluster.beat("x", &beat("x:1", "a1", 1)), HeartbeatKind::Registered);
    let told = cluster.register.record_heartbeat(cluster.now, "x", &draining("x:1", "a1", 4));
    assert_eq!(told.kind, HeartbeatKind::Changed);
    assert_eq!(cluster.beat("x", &beat("x:1", "a1", 3)), HeartbeatKind::Stale);
    let again = cluster.register.record_heartbeat(cluster.now, "x", &draining("x:1", "a1", 5));
    assert_eq!(
        (again.kind, again.seq),
        (HeartbeatKind::Unchanged, told.seq),
        "a repeat waits for the same change"
    );
    assert_eq!(cluster.state("x"), Some(ServerState::Draining));
    cluster.wait(6_000);
    assert_eq!(cluster.expired, ["x"]);
    assert_eq!(cluster.beat("x", &beat("x:1", "a1", 3)), HeartbeatKind::Stale);
    assert_eq!(cluster.state("x"), None);
    assert_eq!(
        cluster.beat("x", &draining("x:1", "a1", 6)),
        HeartbeatKind::Registered,
        "it was only cut off"
    );
}

#[test]
fn the_newest_word_counts_and_the_end_is_final() {
    let mut cluster = Cluster::new();
    cluster.beat("x", &draining("x:1", "a1", 7));
    assert_eq!(cluster.beat("x", &beat("x:1", "a1", 9)), HeartbeatKind::Changed);
    assert_eq!(cluster.beat("x", &draining("x:1", "a1", 8)), HeartbeatKind::Stale);
    assert_eq!(cluster.state("x"), Some(ServerState::InService));
    cluster.register.remove_server(cluster.now, "x");
    cluster.register.remove_server(cluster.now, "never-beat");
    assert_eq!(cluster.beat("x", &beat("x:1", "a1", 10)), HeartbeatKind::Ended);
    assert_eq!(cluster.beat("never-beat", &beat("y:1", "a1", 1)), HeartbeatKind::Ended);
    assert_eq!(cluster.register.server_count(), 0);
}

#[test]
fn an_address_belongs_to_the_life_that_came_last() {
    let mut cluster = Cluster::new();
    cluster.crowd(3, "a1");
    cluster.beat("old", &beat("p:1", "a1", 50));
    cluster.wait(2_000);
    let mut other = beat("p:1", "a1", 1);
    other.backend = "eligcheck".into();
    assert_eq!(cluster.beat("new", &other), HeartbeatKind::Registered);
    assert_eq!(cluster.state("old"), None);
    assert_eq!(cluster.beat("old", &beat("p:1", "a1", 51)), HeartbeatKind::Ended);
    assert_eq!(cluster.catalog().servers["new"].backend, "eligcheck");
    // The same where the older life had been withdrawn for its silence.
    cluster.beat("gone", &beat("q:1", "a1", 5));
    cluster.wait(6_000);
    cluster.beat("next", &beat("q:1", "a1", 1));
    assert_eq!(cluster.beat("gone", &beat("q:1", "a1", 6)), HeartbeatKind::Ended);
    assert_eq!(cluster.state("next"), Some(ServerState::InService));
}

#[test]
fn lives_are_not_withdrawn_together() {
    let mut cluster = Cluster::new();
    cluster.crowd(9, "a1");
    cluster.wait(3_000);
    let crowd = std::mem::take(&mut cluster.beating);
    cluster.wait(10_000);
    assert!(cluster.expired.is_empty(), "cut off, not they");
    // Most are back: the others have as long as after a beat.
    cluster.beating = crowd[..6].to_vec();
    cluster.wait(3_000);
    assert!(cluster.expired.is_empty());
    cluster.beating = crowd[..8].to_vec();
    cluster.wait(6_000);
    assert_eq!(cluster.expired, ["s8"]);
    cluster.beating.clear();
    cluster.wait(25_000);
    assert_eq!(cluster.register.server_count(), 0, "not for ever");
}

#[test]
fn standing_still_is_not_their_silence() {
    let mut cluster = Cluster::new();
    cluster.crowd(4, "a1");
    cluster.wait(1_000);
    cluster.now += 9_000;
    cluster.beat("s0", &beat("s0:1", "a1", 99));
    cluster.beat("s1", &beat("s1:1", "a1", 99));
    cluster.beat("s2", &beat("s2:1", "a1", 99));
    assert!(cluster.register.tick(cluster.now).is_empty());
}

#[test]
fn beats_that_tell_nothing_new_are_not_told() {
    let mut cluster = Cluster::new();
    cluster.calling = vec![("g", "a1")];
    cluster.crowd(1, "a1");
    cluster.wait(6_000);
    cluster.beat("x", &cold("x:1", "a1", 1, 5_000));
    assert_eq!(cluster.permit("x").as_deref(), Some("g"));
    let seq = cluster.register.seq();
    cluster.wait(1_500);
    assert_eq!(cluster.beat("x", &cold("x:1", "a1", 2, 3_500)), HeartbeatKind::Unchanged);
    assert_eq!(cluster.register.seq(), seq, "a countdown is no news");
    cluster.wait(3_250);
    assert!(cluster.permit("x").is_some());
    cluster.wait(500);
    assert_eq!(cluster.permit("x"), None, "warm by time");
    assert_eq!(cluster.beat("x", &beat("x:1", "a1", 3)), HeartbeatKind::Unchanged);
    assert_eq!(cluster.beat("x", &cold("x:1", "a1", 4, 2_000)), HeartbeatKind::Changed, "cold again");
    assert_eq!(cluster.beat("x", &beat("x:1", "a1", 5)), HeartbeatKind::Changed, "0 is warm at once");
}

#[test]
fn permits_go_to_near_gateways_and_spread() {
    let mut cluster = Cluster::new();
    cluster.calling = vec![("b", "b1"), ("g", "a1"), ("h", "a1"), ("i", "a2")];
    cluster.wait(4_000);
    for n in 0..6 {
        cluster.beat(&format!("x{n}"), &cold(&format!("x{n}:1"), "a1", 1, 60_000));
    }
    let mut holders: Vec<String> = (0..6).filter_map(|n| cluster.permit(&format!("x{n}"))).collect();
    holders.sort();
    assert_eq!(holders, ["g", "g", "g", "h", "h", "h"]);
    cluster.calling = vec![("b", "b1")];
    cluster.wait(8_000);
    assert_eq!(cluster.permit("x0").as_deref(), Some("b"), "far ones are better than none");
    cluster.calling = vec![("b", "b1"), ("g", "a1")];
    cluster.wait(8_000);
    assert_eq!(cluster.permit("x0").as_deref(), Some("b"), "it stays while that gateway lives");
}

#[test]
fn a_permit_moves_through_a_time_in_which_nobody_has_it() {
    let mut cluster = Cluster::new();
    cluster.calling = vec![("g", "a1"), ("h", "a2")];
    cluster.wait(4_000);
    cluster.beat("x", &cold("x:1", "a1", 1, 60_000));
    assert_eq!(cluster.permit("x").as_deref(), Some("g"));
    // A connection that breaks and comes back moves nothing.
    cluster.register.gateway_disconnected(cluster.now, "g", 1);
    cluster.wait(250);
    assert_eq!(cluster.permit("x").as_deref(), Some("g"));
    // One that says it leaves loses it at once.
    cluster.calling = vec![("h", "a2")];
    cluster.register.record_watch_call(cluster.now, &hello("g", "a1", 1, false));
    cluster.wait(250);
    assert_eq!(cluster.permit("x").as_deref(), Some(""));
    cluster.wait(2_750);
    assert_eq!(cluster.permit("x").as_deref(), Some(""));
    cluster.wait(500);
    assert_eq!(cluster.permit("x").as_deref(), Some("h"));
}

#[test]
fn a_life_that_comes_back_has_no_second_permit() {
    let mut cluster = Cluster::new();
    cluster.calling = vec![("g", "a1"), ("h", "a2")];
    cluster.crowd(3, "a2");
    cluster.wait(4_000);
    cluster.beat("x", &cold("x:1", "a1", 1, 60_000));
    cluster.wait(5_250);
    assert_eq!(cluster.expired, ["x"]);
    cluster.calling = vec![("h", "a2")];
    cluster.register.record_watch_call(cluster.now, &hello("g", "a1", 1, false));
    cluster.beat("x", &cold("x:1", "a1", 2, 60_000));
    assert_eq!(
        cluster.permit("x").as_deref(),
        Some(""),
        "the first holder may not have heard of the withdrawal"
    );
    cluster.wait(3_250);
    assert_eq!(cluster.permit("x").as_deref(), Some("h"));
}

#[test]
fn after_an_evacuation_each_server_is_held_until_it_has_beaten() {
    let mut cluster = Cluster::new();
    cluster.calling = vec![("g", "a1")];
    cluster.wait(4_000);
    cluster.beat("x", &beat("x:1", "a1", 1));
    cluster.beat("y", &beat("y:1", "a1", 1));
    cluster.beat("z", &beat("z:1", "b1", 1));
    cluster.register.set_evacuated_zones(cluster.now, zones(["a1", "b1"]));
    cluster.wait(1_000);
    let mut gateway = cluster.copy();
    assert_eq!(*gateway.catalog().evacuated_zones, zones(["a1", "b1"]));
    cluster.register.set_evacuated_zones(cluster.now, zones(["b1"]));
    cluster.tell(&mut gateway, Caller::Gateway).expect("news");
    let permit = |id: &str| gateway.catalog().servers[id].cold.clone();
    assert_eq!(*gateway.catalog().evacuated_zones, zones(["b1"]));
    assert_eq!((permit("x"), permit("z")), (Some(String::new()), None), "barred with the withdrawal");
    cluster.now += 100;
    cluster.beat("x", &beat("x:1", "a1", 2));
    assert_eq!(cluster.permit("x").as_deref(), Some(""), "may have been sent before it turned cold");
    cluster.wait(900);
    cluster.beat("x", &beat("x:1", "a1", 3));
    cluster.beat("y", &cold("y:1", "a1", 2, 3_000));
    assert_eq!((cluster.permit("x"), cluster.permit("y").as_deref()), (None, Some("g")));
}

#[test]
fn a_successor_starts_from_its_copy() {
    let mut old = Cluster::new();
    old.calling = vec![("g", "a1"), ("h", "a1")];
    old.crowd(3, "a1");
    old.wait(6_000);
    old.beat("d", &beat("d:1", "a1", 4));
    old.beat("d", &draining("d:1", "a1", 5));
    old.beat("c", &cold("c:1", "a1", 1, 60_000));
    old.beat("l", &beat("l:1", "a1", 8));
    old.wait(500);
    let mut follower = old.copy();
    old.register.remove_server(old.now, "l");
    old.tell(&mut follower, Caller::Core);
    assert!(old.permit("c").is_some_and(|holder| !holder.is_empty()));

    let mut new = Cluster::from(70_000, 2, Some(follower));
    assert!(!new.register.is_gathering());
    assert_eq!(new.register.gateway_count(), 2);
    assert_eq!(new.permit("c").as_deref(), Some(""), "the old leader's may still be gone by");
    new.beating = old.beating;
    new.beat("c", &cold("c:1", "a1", 2, 60_000));
    assert_eq!(new.beat("l", &beat("l:1", "a1", 8)), HeartbeatKind::Unconfirmed, "late, after its end");
    assert_eq!(new.beat("l", &beat("l:1", "a1", 8)), HeartbeatKind::Stale);
    // Which of its calls said that it drains isn't told by the copy.
    new.beat("d", &beat("d:1", "a1", 4));
    assert_eq!(new.state("d"), Some(ServerState::Draining));
    new.beat("d", &draining("d:1", "a1", 6));
    new.calling = vec![("g", "a1"), ("h", "a1")];
    new.wait(2_750);
    assert_eq!(new.permit("c").as_deref(), Some(""));
    new.wait(500);
    assert!(new.permit("c").is_some_and(|holder| !holder.is_empty()));
    assert!(new.expired.is_empty(), "all had their time to find it");
    new.wait(2_500);
    assert_eq!(new.expired, ["c", "d"]);
    assert_eq!(
        new.beat("l", &beat("l:1", "a1", 9)),
        HeartbeatKind::Registered,
        "alive: it had only been silent"
    );
}

#[test]
fn without_a_copy_gateways_keep_what_they_had_until_the_table_is_whole() {
    let mut old = Cluster::new();
    old.crowd(2, "a1");
    old.beat("x", &draining("x:1", "a1", 9));
    old.beat("lost", &beat("lost:1", "b1", 9));
    old.calling = vec![("g", "b1")];
    old.wait(3_250);
    old.beat("cold", &cold("cold:1", "b1", 9, 60_000));
    assert_eq!(old.permit("cold").as_deref(), Some("g"));
    old.register.set_evacuated_zones(old.now, zones(["a1"]));
    old.wait(1_000);
    let mut gateway = old.copy();

    let mut new = Cluster::from(20_000, 2, None);
    new.register.set_evacuated_zones(new.now, zones([]));
    new.beat("s0", &beat("s0:1", "a1", 99));
    new.beat("x", &beat("x:1", "a1", 8));
    new.tell(&mut gateway, Caller::Gateway).expect("news");
    let catalog = gateway.catalog();
    assert_eq!(catalog.servers.len(), 5, "its own knowledge besides");
    assert_eq!(catalog.servers["s0"].cold, None, "has beaten since");
    assert_eq!(catalog.servers["s1"].cold.as_deref(), Some(""), "may have turned cold with nobody to know");
    assert_eq!(catalog.servers["cold"].cold.as_deref(), Some(""), "its permit was the old leader's to lend");
    assert_eq!(catalog.servers["x"].state, ServerState::Draining, "no way back through an older word");
    new.register.set_evacuated_zones(new.now, zones(["b1"]));
    new.tell(&mut gateway, Caller::Gateway).expect("news");
    assert_eq!(gateway.catalog().servers["lost"].cold, None);
    new.register.set_evacuated_zones(new.now, zones([]));
    new.tell(&mut gateway, Caller::Gateway).expect("news");
    assert_eq!(gateway.catalog().servers["lost"].cold.as_deref(), Some(""), "unknown to the new leader");
    let mut follower = WatchCache::new();
    new.tell(&mut follower, Caller::Core);
    assert!(!follower.is_complete(), "a successor must gather again");

    new.beating = vec![("s0".into(), "a1", "s0:1".into(), 100), ("s1".into(), "a1", "s1:1".into(), 100)];
    new.wait(7_000);
    assert!(!new.register.is_gathering());
    new.tell(&mut gateway, Caller::Gateway).expect("news");
    assert!(!gateway.catalog().servers.contains_key("lost"));
    assert_eq!(gateway.catalog().servers, new.catalog().servers);
}

#[test]
fn operators_see_how_many_of_each_service_are_in_which_state() {
    let mut cluster = Cluster::new();
    cluster.beat("w1", &beat("w:1", "a1", 1));
    cluster.beat("w2", &beat("w:2", "a1", 1));
    cluster.beat("c", &cold("c:1", "a1", 1, 9_000));
    cluster.beat("d", &draining("d:1", "a1", 1));
    let mut last = cold("l:1", "b1", 1, 9_000);
    (last.backend, last.state) = ("eligcheck".into(), ServerState::Draining);
    cluster.beat("l", &last);
    let tally = cluster.register.server_counts();
    assert_eq!(tally["bookdesk"], [("in_service", 2), ("cold", 1), ("draining", 1)].into());
    assert_eq!(tally["eligcheck"], [("draining", 1)].into(), "one that leaves is not warming up");
    cluster.register.remove_server(cluster.now, "l");
    assert!(!cluster.register.server_counts().contains_key("eligcheck"));
}

/// A register that is whole, with the servers `stays`, `drains` and `ends`.
fn with_three_servers() -> Cluster {
    let mut cluster = Cluster::new();
    for call_seq in 1..=3 {
        for id in ["stays", "drains", "ends"] {
            cluster.beat(id, &beat(&format!("{id}:1"), "a1", call_seq));
        }
        cluster.wait(2_000);
    }
    cluster
}

#[test]
fn a_new_leader_goes_by_the_log_whatever_its_copy_says() {
    let copy = with_three_servers().copy();
    let now = 50_000;
    let leaving = BTreeMap::from([("drains".to_owned(), 4), ("unknown".to_owned(), 4)]);
    let ended = BTreeSet::from(["ends".to_owned(), "never heard of".to_owned()]);
    let mut register = Register::new(now, tuning(), 9, Some(copy));
    register.apply_departures(now, &leaving, &ended);
    let states = ["stays", "drains", "ends", "unknown"].map(|id| register.server_state(id));
    assert_eq!(states, [Some(ServerState::InService), Some(ServerState::Draining), None, None]);
    // Beats of before the departures, and one that came after.
    assert_eq!(
        register.record_heartbeat(now, "drains", &beat("drains:1", "a1", 3)).kind,
        HeartbeatKind::Stale
    );
    assert_eq!(
        register.record_heartbeat(now, "unknown", &beat("unknown:1", "a1", 3)).kind,
        HeartbeatKind::Stale
    );
    assert_eq!(register.record_heartbeat(now, "ends", &beat("ends:1", "a1", 99)).kind, HeartbeatKind::Ended);
    assert_eq!(
        register.record_heartbeat(now, "never heard of", &beat("n:1", "a1", 1)).kind,
        HeartbeatKind::Ended
    );
    assert_eq!(
        register.record_heartbeat(now, "unknown", &draining("unknown:1", "a1", 5)).kind,
        HeartbeatKind::Registered
    );
    assert_eq!(register.server_state("unknown"), Some(ServerState::Draining));
}

/// It has no copy: its answers add to what gateways have, and must take away what left.
#[test]
fn a_new_leader_without_a_copy_names_who_left() {
    let draining = BTreeMap::from([("drains".to_owned(), 4)]);
    let ended = BTreeSet::from(["ends".to_owned()]);
    let mut copy = with_three_servers().copy();
    let now = 50_000;
    let mut register = Register::new(now, tuning(), 9, None);
    register.apply_departures(now, &draining, &ended);
    let call = copy.watch_call(Caller::Gateway, "g", 1, None, 0);
    let answer = register.answer(now, &call, 0).expect("a new leader's answer");
    assert!(!answer.is_full_list);
    copy.apply(answer).expect("of a newer term");
    let left: Vec<String> = copy.catalog().servers.keys().map(|id| id.to_string()).collect();
    assert_eq!(left, ["stays"]);
}
