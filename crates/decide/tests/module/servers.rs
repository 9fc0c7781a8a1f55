//! The choice of a server: cold, drained, hung, slow, full or out of reach.

use crate::common::*;
use nickeljunction_decide::api::*;
use nickeljunction_decide::decide::Limiter;
use std::collections::BTreeSet;

#[test]
fn far_servers_are_chosen_once_the_near_ones_are_too_few() {
    let near = |at: usize| ServerEntry { distance: u8::from(at >= 10), ..server(at, ServerState::Up, 0.0) };
    let far = |to: &str| to[1..].parse::<usize>().expect("a number") >= 10;
    for me in 0..12 {
        let own = Settings { gateway_index: me, gateway_count: 12, ..settings() };
        let mut rig = Rig { limiter: Limiter::new(own, me as u64).expect("good settings"), now: 100_000.0 };
        rig.tell(Event::Servers(ListKind::Full, (0..20).map(near).collect()));
        for at in 0..50 {
            let id = format!("r{at}");
            for (_, to) in sends(&rig.request(&id, "safe", "free")) {
                assert!(!far(&to), "gateway {me} went to {to}");
                rig.outcome(&id, 0, &to, Status::Ok);
            }
            rig.run(200.0);
        }
        // Those near by leave one by one: what is left of them and the first of the far ones share the work.
        let gone = (3..10).map(|at| ServerEntry { state: ServerState::Removed, ..near(at) }).collect();
        rig.tell(Event::Servers(ListKind::Incremental, gone));
        let mut seen = BTreeSet::new();
        for at in 50..150 {
            let id = format!("r{at}");
            for (_, to) in sends(&rig.request(&id, "safe", "free")) {
                rig.outcome(&id, 0, &to, Status::Ok);
                seen.insert(to);
            }
            rig.run(200.0);
        }
        let (away, at_home): (Vec<_>, Vec<_>) = seen.iter().partition(|to| far(to));
        assert!(at_home.len() == 3 && !away.is_empty() && away.len() <= 5, "gateway {me} used {seen:?}");
    }
}

#[test]
fn a_hung_server_is_set_aside_and_its_safe_requests_get_a_copy() {
    let mut rig = Rig::new(settings(), 6);
    let mut copied = 0;
    for at in 0..600 {
        rig.now += 10.0;
        let mut out = rig.request(&format!("r{at}"), "safe", "free");
        out.extend(rig.tell(Event::Timer("sweep".into())));
        for (id, to) in sends(&out).into_iter().filter(|(_, to)| to != "s3") {
            let attempt = usize::from(id != format!("r{at}"));
            copied += attempt;
            rig.outcome(&id, attempt, &to, Status::Ok);
        }
    }
    assert!(copied >= 1, "what hung was copied");
    let late: usize = (600..660)
        .map(|at| {
            let out = rig.request(&format!("r{at}"), "once", "free");
            let all = sends(&out);
            all.iter().for_each(|(id, to)| drop(rig.outcome(id, 0, to, Status::Ok)));
            all.iter().filter(|(_, to)| to == "s3").count()
        })
        .sum();
    assert_eq!(late, 0, "no unsafe request tests a server that hangs");
}

#[test]
fn one_long_request_alone_does_not_set_its_server_aside() {
    let mut rig = Rig::new(settings(), 3);
    let (_, held) = sends(&rig.request("long", "once", "free")).remove(0);
    let out = rig.run(600.0);
    let aside = |action: &Action| matches!(action, Action::Log(text) if text.contains(&held));
    assert!(!out.iter().any(aside), "{out:?}");
}

#[test]
fn a_drained_server_gets_nothing_new() {
    let mut rig = Rig::new(settings(), 2);
    rig.tell(Event::Servers(ListKind::Incremental, vec![server(0, ServerState::Draining, 0.0)]));
    for at in 0..20 {
        for (id, to) in sends(&rig.request(&format!("r{at}"), "safe", "free")) {
            assert_eq!(to, "s1");
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    rig.tell(Event::Servers(ListKind::Full, vec![server(2, ServerState::Up, 0.0)]));
    let to = sends(&rig.request("last", "safe", "free"));
    assert_eq!(to[0].1, "s2", "a server missing from a full list is gone");
}

#[test]
fn the_first_burst_to_an_empty_new_server_is_bounded() {
    let mut rig = Rig::new(settings(), 4);
    for at in 0..100 {
        rig.now += 10.0;
        for (id, to) in sends(&rig.request(&format!("w{at}"), "safe", "free")) {
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    let launched = rig.now - 100.0;
    rig.tell(Event::Servers(ListKind::Incremental, vec![server(9, ServerState::Up, launched)]));
    let mut cold = 0;
    for at in 0..300 {
        rig.now += 10.0;
        for (id, to) in sends(&rig.request(&format!("c{at}"), "safe", "free")) {
            cold += usize::from(to == "s9");
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    // A warm server of five gets 60 of 300; a cold one a fifth of that to begin with, at most half.
    assert!((1..=30).contains(&cold), "{cold} to the cold server");
}

#[test]
fn an_empty_list_holds_requests_and_refuses_them_in_time() {
    let mut rig = Rig::new(settings(), 0);
    assert!(sends(&rig.request("a", "once", "free")).is_empty());
    assert!(refused(&rig.run(600.0), "a"));
}

#[test]
fn a_server_that_turns_all_away_is_not_the_cheapest_for_long() {
    let mut rig = Rig::new(settings(), 6);
    let mut away = 0;
    for at in 0..200 {
        rig.now += 10.0;
        let id = format!("r{at}");
        let mut out = rig.request(&id, "once", "free");
        for attempt in 0..3 {
            let Some((_, to)) = sends(&out).first().cloned() else { break };
            let full = to == "s2";
            away += u32::from(full && at >= 100);
            out = rig.outcome(&id, attempt, &to, if full { Status::QueueFull } else { Status::Ok });
        }
        rig.tell(Event::Timer("sweep".into()));
    }
    assert!(away <= 5, "{away} of the last 100 went to the server that turns all away");
}

#[test]
fn hundreds_of_gateways_that_hear_of_a_cold_server_do_not_push_it_over_together() {
    let (doors, servers, ms) = (200, 20, 2_000);
    let mut rigs = gateways(doors, servers);
    let (mut cold, mut all) = (0, 0);
    for (me, rig) in rigs.iter_mut().enumerate() {
        // Each sees 5 requests a second; the cold server comes after two seconds of them.
        for at in 0..20 {
            rig.now = 100_000.0 + at as f64 * 200.0 + me as f64;
            if at == 10 {
                let new = server(99, ServerState::Up, rig.now - 100.0);
                rig.tell(Event::Servers(ListKind::Incremental, vec![new]));
            }
            for (id, to) in sends(&rig.request(&format!("{me}.{at}"), "safe", "free")) {
                all += usize::from(at >= 10);
                cold += usize::from(to == "s99");
                rig.outcome(&id, 0, &to, Status::Ok);
            }
        }
    }
    // Of 1000 sends a second a warm server gets 50; the budget of the rule here: twice a fifth of that and more.
    let budget = 2.0 * 0.2 * all as f64 / (servers + 1) as f64;
    assert!(
        all > 1_900 && (cold as f64) <= budget,
        "{cold} of {all} to the cold server in {ms} ms, {budget}"
    );
}

#[test]
fn a_gateway_among_hundreds_meets_few_of_the_hung_servers() {
    let own = Settings { gateway_count: 400, gateway_index: 7, ..settings() };
    let mut rig = Rig::new(own, 100);
    let mut met = BTreeSet::new();
    for at in 0..300 {
        rig.now += 60.0;
        let out = rig.request(&format!("r{at}"), "once", "free");
        for (id, to) in sends(&out) {
            met.insert(to.clone());
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    // Each server met costs a greeting, and one gateway's greetings are the fleet's hundreds of times over.
    assert!((4..=20).contains(&met.len()), "{} servers used", met.len());
}

#[test]
fn slow_together_at_few_or_hundreds_of_gateways_sets_nobody_aside() {
    for (siblings, servers, gap_ms, most) in [(2, 9, 20.0, 0), (400, 100, 100.0, 1)] {
        let mut rig = Rig::new(Settings { gateway_count: siblings, ..settings() }, servers);
        let mut aside = 0;
        for at in 0..300 {
            rig.now += gap_ms;
            let mut out = rig.request(&format!("r{at}"), "safe", "free");
            for (id, to) in sends(&out) {
                // All servers turn three times slower at once.
                let latency_ms = if at < 150 { 50.0 } else { 150.0 };
                out.extend(rig.tell(Event::Outcome(answer(&id, &to, latency_ms))));
            }
            out.extend(rig.tell(Event::Timer("sweep".into())));
            aside +=
                out.iter().filter(|a| matches!(a, Action::Log(text) if text.contains("set aside"))).count();
        }
        assert!(aside <= most, "{siblings} gateways: {aside} set aside for a slowness of all");
    }
}

#[test]
fn most_paths_cut_leave_the_choice_at_once_and_spare_the_attempts() {
    let mut rig = Rig::new(Settings { gateway_count: 300, gateway_index: 11, ..settings() }, 60);
    let reached = |server: &str| server.trim_start_matches('s').parse::<usize>().expect("a number") % 5 == 0;
    let (mut cut, mut served, mut log) = (0, 0, 0);
    for at in 0..300 {
        rig.now += 100.0;
        let (id, late) = (format!("r{at}"), at >= 150);
        let mut out = rig.request(&id, "once", "free");
        for attempt in 0..3 {
            let Some((_, to)) = sends(&out).first().cloned() else { break };
            let fine = reached(&to);
            cut += usize::from(late && !fine);
            served += usize::from(late && fine);
            out = rig.outcome(&id, attempt, &to, if fine { Status::Ok } else { Status::ConnectError });
            log += out
                .iter()
                .filter(|a| matches!(a, Action::Log(text) if text.contains("no connection")))
                .count();
        }
    }
    assert!(served >= 145, "{served} of the last 150 served by the fifth of the servers that is reached");
    assert!(cut <= 25, "{cut} attempts at servers known to be out of reach");
    assert!((2..=6).contains(&log), "{log} lines tell of it: at 1, 2, 4, 8 ... servers");
}

#[test]
fn a_path_that_is_back_is_used_again() {
    let mut rig = Rig::new(Settings { gateway_count: 300, ..settings() }, 2);
    let mut back = 0;
    for at in 0..400 {
        rig.now += 100.0;
        let id = format!("r{at}");
        let mut out = rig.request(&id, "once", "free");
        for attempt in 0..3 {
            let Some((_, to)) = sends(&out).first().cloned() else { break };
            back += usize::from(at >= 300 && to == "s1");
            let cut = to == "s1" && at < 100;
            out = rig.outcome(&id, attempt, &to, if cut { Status::ConnectError } else { Status::Ok });
        }
    }
    assert!(back >= 25, "{back} of the last 100 at the server that can be reached again");
}

/// Any server's answers arrive spoilt alike: that leaves none out of the choice, while the request is not run
/// again where it must not be.
#[test]
fn spoilt_answers_say_nothing_of_their_server() {
    let (mut rig, mut spoilt) = (Rig::new(settings(), 3), 0);
    for round in 0..20 {
        // Six at once need all three servers. Bad luck: all that is spoilt comes from one of them.
        let ids: Vec<String> = (0..6).map(|at| format!("r{round}.{at}")).collect();
        let sent: Vec<_> = ids.iter().flat_map(|id| sends(&rig.request(id, "once", "free"))).collect();
        rig.now += 50.0;
        for (id, server) in sent {
            let status = if server == "s1" { Status::Unreadable } else { Status::Ok };
            let out = rig.outcome(&id, 0, &server, status);
            if status == Status::Unreadable {
                spoilt += 1;
                assert!(failed(&out, &id), "it may have run");
            }
        }
        rig.run(16.0);
    }
    assert!(spoilt >= 20, "it stays in the choice: {spoilt}");
}
