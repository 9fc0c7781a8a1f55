//! The choice of a server: distant, cold, draining, hung, slow, full or unreachable ones.

use crate::common::*;
use nickeljunction_decide::api::*;
use nickeljunction_decide::decide::Limiter;
use std::collections::BTreeSet;

#[test]
fn distant_servers_are_used_if_the_near_ones_are_too_few() {
    let near =
        |index: usize| ServerEntry { distance: u8::from(index >= 10), ..server(index, ServerState::Up, 0.0) };
    let distant = |to: &str| to[1..].parse::<usize>().expect("a number") >= 10;
    for gateway_index in 0..12 {
        let custom = Settings { gateway_index, gateway_count: 12, ..settings() };
        let mut rig = Rig {
            limiter: Limiter::new(custom, gateway_index as u64).expect("good settings"),
            now: 100_000.0,
        };
        rig.handle(Event::Servers(ListKind::Full, (0..20).map(near).collect()));
        for index in 0..50 {
            let id = format!("r{index}");
            for (_, to) in sends(&rig.request(&id, "safe", "free")) {
                assert!(!distant(&to), "gateway {gateway_index} used {to}");
                rig.outcome(&id, 0, &to, Status::Ok);
            }
            rig.run(200.0);
        }
        // Seven near servers leave: the other three and the first of the distant ones share the work.
        let gone = (3..10).map(|index| ServerEntry { state: ServerState::Removed, ..near(index) }).collect();
        rig.handle(Event::Servers(ListKind::Incremental, gone));
        let mut used_servers = BTreeSet::new();
        for index in 50..150 {
            let id = format!("r{index}");
            for (_, to) in sends(&rig.request(&id, "safe", "free")) {
                rig.outcome(&id, 0, &to, Status::Ok);
                used_servers.insert(to);
            }
            rig.run(200.0);
        }
        let (distant_used, near_used): (Vec<_>, Vec<_>) = used_servers.iter().partition(|to| distant(to));
        assert!(
            near_used.len() == 3 && !distant_used.is_empty() && distant_used.len() <= 5,
            "gateway {gateway_index} used {used_servers:?}"
        );
    }
}

#[test]
fn hung_server_is_ejected_and_its_idempotent_requests_are_hedged() {
    let mut rig = Rig::new(settings(), 6);
    let mut hedged = 0;
    for index in 0..600 {
        rig.now += 10.0;
        let mut out = rig.request(&format!("r{index}"), "safe", "free");
        out.extend(rig.handle(Event::Timer("sweep".into())));
        for (id, to) in sends(&out).into_iter().filter(|(_, to)| to != "s3") {
            let attempt = usize::from(id != format!("r{index}"));
            hedged += attempt;
            rig.outcome(&id, attempt, &to, Status::Ok);
        }
    }
    assert!(hedged >= 1, "no request was hedged");
    let tests: usize = (600..660)
        .map(|index| {
            let out = rig.request(&format!("r{index}"), "once", "free");
            let all = sends(&out);
            all.iter().for_each(|(id, to)| drop(rig.outcome(id, 0, to, Status::Ok)));
            all.iter().filter(|(_, to)| to == "s3").count()
        })
        .sum();
    assert_eq!(tests, 0, "at-most-once requests do not test an ejected server");
}

#[test]
fn one_long_request_does_not_eject_its_server() {
    let mut rig = Rig::new(settings(), 3);
    let (_, busy) = sends(&rig.request("long", "once", "free")).remove(0);
    let out = rig.run(600.0);
    let ejected = |action: &Action| matches!(action, Action::Log(text) if text.contains(&busy));
    assert!(!out.iter().any(ejected), "{out:?}");
}

#[test]
fn draining_server_gets_no_new_requests() {
    let mut rig = Rig::new(settings(), 2);
    rig.handle(Event::Servers(ListKind::Incremental, vec![server(0, ServerState::Draining, 0.0)]));
    for index in 0..20 {
        for (id, to) in sends(&rig.request(&format!("r{index}"), "safe", "free")) {
            assert_eq!(to, "s1");
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    rig.handle(Event::Servers(ListKind::Full, vec![server(2, ServerState::Up, 0.0)]));
    let to = sends(&rig.request("last", "safe", "free"));
    assert_eq!(to[0].1, "s2", "a server missing from a full list is removed");
}

#[test]
fn first_burst_to_a_new_server_is_bounded() {
    let mut rig = Rig::new(settings(), 4);
    for index in 0..100 {
        rig.now += 10.0;
        for (id, to) in sends(&rig.request(&format!("w{index}"), "safe", "free")) {
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    let started_at_ms = rig.now - 100.0;
    rig.handle(Event::Servers(ListKind::Incremental, vec![server(9, ServerState::Up, started_at_ms)]));
    let mut cold = 0;
    for index in 0..300 {
        rig.now += 10.0;
        for (id, to) in sends(&rig.request(&format!("c{index}"), "safe", "free")) {
            cold += usize::from(to == "s9");
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    // One warm server of five gets 60 of 300; a cold one starts with a fifth of that and gets at most half.
    assert!((1..=30).contains(&cold), "{cold} to the cold server");
}

#[test]
fn requests_without_a_server_are_refused_in_time() {
    let mut rig = Rig::new(settings(), 0);
    assert!(sends(&rig.request("a", "once", "free")).is_empty());
    assert!(refused(&rig.run(600.0), "a"));
}

#[test]
fn server_that_rejects_all_requests_is_soon_avoided() {
    let mut rig = Rig::new(settings(), 6);
    let mut rejected = 0;
    for index in 0..200 {
        rig.now += 10.0;
        let id = format!("r{index}");
        let mut out = rig.request(&id, "once", "free");
        for attempt in 0..3 {
            let Some((_, to)) = sends(&out).first().cloned() else { break };
            let full = to == "s2";
            rejected += u32::from(full && index >= 100);
            out = rig.outcome(&id, attempt, &to, if full { Status::QueueFull } else { Status::Ok });
        }
        rig.handle(Event::Timer("sweep".into()));
    }
    assert!(rejected <= 5, "{rejected} of the last 100 went to the server that rejects all");
}

#[test]
fn hundreds_of_gateways_do_not_overload_a_cold_server() {
    let (gateways, servers, ms) = (200, 20, 2_000);
    let mut rigs = fleet(gateways, servers);
    let (mut cold, mut all) = (0, 0);
    for (gateway_index, rig) in rigs.iter_mut().enumerate() {
        // Each gateway gets 5 requests/s; the cold server is added after 2 s.
        for index in 0..20 {
            rig.now = 100_000.0 + index as f64 * 200.0 + gateway_index as f64;
            if index == 10 {
                let new = server(99, ServerState::Up, rig.now - 100.0);
                rig.handle(Event::Servers(ListKind::Incremental, vec![new]));
            }
            for (id, to) in sends(&rig.request(&format!("{gateway_index}.{index}"), "safe", "free")) {
                all += usize::from(index >= 10);
                cold += usize::from(to == "s99");
                rig.outcome(&id, 0, &to, Status::Ok);
            }
        }
    }
    // Of 1000 requests/s a warm server gets 50. The cold one starts with a fifth of a warm one's capacity and fails at
    // twice that.
    let budget = 2.0 * 0.2 * all as f64 / (servers + 1) as f64;
    assert!(
        all > 1_900 && (cold as f64) <= budget,
        "{cold} of {all} to the cold server in {ms} ms, {budget}"
    );
}

#[test]
fn one_gateway_among_hundreds_uses_few_servers() {
    let custom = Settings { gateway_count: 400, gateway_index: 7, ..settings() };
    let mut rig = Rig::new(custom, 100);
    let mut used = BTreeSet::new();
    for index in 0..300 {
        rig.now += 60.0;
        let out = rig.request(&format!("r{index}"), "once", "free");
        for (id, to) in sends(&out) {
            used.insert(to.clone());
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    // Each server used may hang and cost a first request, which hundreds of gateways multiply.
    assert!((4..=20).contains(&used.len()), "{} servers used", used.len());
}

#[test]
fn servers_that_are_slow_together_are_not_ejected() {
    for (gateway_count, servers, gap_ms, most) in [(2, 9, 20.0, 0), (400, 100, 100.0, 1)] {
        let mut rig = Rig::new(Settings { gateway_count, ..settings() }, servers);
        let mut ejected = 0;
        for index in 0..300 {
            rig.now += gap_ms;
            let mut out = rig.request(&format!("r{index}"), "safe", "free");
            for (id, to) in sends(&out) {
                // All servers become three times slower at once.
                let latency_ms = if index < 150 { 50.0 } else { 150.0 };
                out.extend(rig.handle(Event::Outcome(answer(&id, &to, latency_ms))));
            }
            out.extend(rig.handle(Event::Timer("sweep".into())));
            ejected +=
                out.iter().filter(|a| matches!(a, Action::Log(text) if text.contains("set aside"))).count();
        }
        assert!(ejected <= most, "{gateway_count} gateways: {ejected} ejected although all are slow");
    }
}

#[test]
fn unreachable_servers_are_ejected_at_once_and_cost_few_attempts() {
    let mut rig = Rig::new(Settings { gateway_count: 300, gateway_index: 11, ..settings() }, 60);
    let reached = |server: &str| server.trim_start_matches('s').parse::<usize>().expect("a number") % 5 == 0;
    let (mut failed_sends, mut served, mut log) = (0, 0, 0);
    for index in 0..300 {
        rig.now += 100.0;
        let (id, late) = (format!("r{index}"), index >= 150);
        let mut out = rig.request(&id, "once", "free");
        for attempt in 0..3 {
            let Some((_, to)) = sends(&out).first().cloned() else { break };
            let reachable = reached(&to);
            failed_sends += usize::from(late && !reachable);
            served += usize::from(late && reachable);
            out = rig.outcome(&id, attempt, &to, if reachable { Status::Ok } else { Status::ConnectError });
            log += out
                .iter()
                .filter(|a| matches!(a, Action::Log(text) if text.contains("no connection")))
                .count();
        }
    }
    assert!(served >= 145, "{served} of the last 150 served by the reachable fifth of the servers");
    assert!(failed_sends <= 25, "{failed_sends} attempts at unreachable servers");
    assert!((2..=6).contains(&log), "{log} log lines, at 1, 2, 4, 8 ... servers");
}

#[test]
fn reachable_server_is_used_again() {
    let mut rig = Rig::new(Settings { gateway_count: 300, ..settings() }, 2);
    let mut sent_to_s1 = 0;
    for index in 0..400 {
        rig.now += 100.0;
        let id = format!("r{index}");
        let mut out = rig.request(&id, "once", "free");
        for attempt in 0..3 {
            let Some((_, to)) = sends(&out).first().cloned() else { break };
            sent_to_s1 += usize::from(index >= 300 && to == "s1");
            let unreachable = to == "s1" && index < 100;
            out = rig.outcome(&id, attempt, &to, if unreachable { Status::ConnectError } else { Status::Ok });
        }
    }
    assert!(sent_to_s1 >= 25, "{sent_to_s1} of the last 100 at the server that is reachable again");
}

/// Responses of any server may be damaged on the way. That does not eject the server, and an at-most-once request is
/// not sent again.
#[test]
fn unreadable_responses_do_not_eject_a_server() {
    let (mut rig, mut unreadable) = (Rig::new(settings(), 3), 0);
    for round in 0..20 {
        // Six concurrent requests need all three servers. By chance all damaged responses come from one of them.
        let ids: Vec<String> = (0..6).map(|index| format!("r{round}.{index}")).collect();
        let sent: Vec<_> = ids.iter().flat_map(|id| sends(&rig.request(id, "once", "free"))).collect();
        rig.now += 50.0;
        for (id, server) in sent {
            let status = if server == "s1" { Status::Unreadable } else { Status::Ok };
            let out = rig.outcome(&id, 0, &server, status);
            if status == Status::Unreadable {
                unreadable += 1;
                assert!(failed(&out, &id), "it may have run");
            }
        }
        rig.run(16.0);
    }
    assert!(unreadable >= 20, "the server is no longer chosen: {unreadable}");
}
