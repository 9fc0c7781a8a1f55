//! Shedding under overload, and its end.

use crate::common::*;
use nickeljunction_decide::api::*;
use std::collections::BTreeMap;

#[test]
fn overload_is_refused_early_and_not_sent() {
    let mut rig = Rig::new(settings(), 2);
    let sent: usize = (0..200).map(|at| sends(&rig.request(&format!("r{at}"), "once", "free")).len()).sum();
    assert!(sent <= 8, "{sent} out at two servers that have answered nothing");
    let out = rig.run(600.0);
    assert!((0..200).filter(|at| refused(&out, &format!("r{at}"))).count() >= 150);
}

#[test]
fn late_answers_all_over_shed_what_is_cheap_for_its_time_first() {
    let mut own = Settings { gateway_count: 200, ..settings() };
    own.plans[3].worth_factor = 4.0;
    own.plans.push(plan("cheap", 0.0, 0.0, 0.0, 0.0));
    let mut rig = Rig::new(own, 40);
    let (mut cheap, mut dear) = (0, 0);
    for at in 0..300 {
        rig.now += 20.0;
        let plan = if at % 2 == 0 { "cheap" } else { "free" };
        for (id, to) in sends(&rig.request(&format!("r{at}"), "safe", plan)) {
            (cheap, dear) = if at % 2 == 0 { (cheap + 1, dear) } else { (cheap, dear + 1) };
            rig.tell(Event::Outcome(answer(&id, &to, if at % 4 < 2 { 450.0 } else { 40.0 })));
        }
    }
    assert!(dear > 2 * cheap && dear > 10, "{dear} dear and {cheap} cheap ones sent while answers come late");
}

#[test]
fn shedding_ends_soon_after_answers_are_quick_again() {
    let mut rig = Rig::new(Settings { gateway_count: 400, ..settings() }, 40);
    let mut sent = 0;
    for at in 0..300 {
        rig.now += 100.0;
        for (id, to) in sends(&rig.request(&format!("r{at}"), "safe", "free")) {
            sent += usize::from(at >= 200);
            let latency_ms = if at < 100 { 450.0 } else { 40.0 };
            rig.tell(Event::Outcome(answer(&id, &to, latency_ms)));
        }
    }
    assert!(sent >= 90, "{sent} of 100 let in ten seconds after the jam");
}

#[test]
fn time_outs_of_servers_not_set_aside_shed_like_late_answers() {
    let mut rig = Rig::new(Settings { gateway_count: 400, ..settings() }, 40);
    let mut sent = 0;
    for at in 0..100 {
        rig.now += 20.0;
        for (id, to) in sends(&rig.request(&format!("r{at}"), "once", "free")) {
            sent += 1;
            rig.tell(Event::Outcome(Outcome {
                id,
                attempt: 0,
                server: to,
                status: Status::TimedOut,
                settled_units: 0.0,
                latency_ms: 500.0,
                request_closed: true,
                load: BTreeMap::new(),
            }));
        }
    }
    assert!(sent <= 60, "{sent} of 100 sent into a jam in which nothing is answered");
}

#[test]
fn after_a_jam_unasked_first_tries_are_trusted_again_before_shedding_has_ended() {
    let mut own = Settings { gateway_count: 800, ..settings() };
    own.plans[0].excess_cost = 5.0;
    let mut rig = Rig::new(own, 40);
    let mut sent = 0;
    for at in 0..400u64 {
        rig.now += 300.0;
        let mut out = first_request(&mut rig, at, 200);
        // A crowded counter: late answers but for the first, so that few fetches are made.
        for (name, add) in counts(&out.clone()) {
            rig.now += if at < 3 { 1.0 } else { 40.0 };
            out.extend(rig.counted(&name, Status::Ok, add));
        }
        for (id, to) in sends(&out) {
            sent += usize::from((150..200).contains(&at));
            let latency_ms = if at < 150 { 450.0 } else { 185.0 };
            rig.tell(Event::Outcome(answer(&id, &to, latency_ms)));
        }
    }
    assert!(sent >= 35, "{sent} of the first 50 tries after the jam let in");
}

/// Requests of so many units, answered after so many ms: all that the limiter did.
fn serve(rig: &mut Rig, requests: impl Iterator<Item = (f64, f64)>) -> Vec<Action> {
    let mut all = Vec::new();
    for (at, (units, latency_ms)) in requests.enumerate() {
        let request = Arrival { units, ..arrival(&format!("r{at}"), "safe", "free") };
        let out = rig.tell(Event::Request(request));
        rig.now += latency_ms;
        for (id, to) in sends(&out) {
            all.extend(rig.tell(Event::Outcome(answer(&id, &to, latency_ms))));
        }
        all.extend(out.into_iter().chain(rig.tell(Event::Timer("sweep".into()))));
    }
    all
}

/// A request of six units takes six times as long. Read as lateness, each one cut the odds of admission.
#[test]
fn large_requests_that_take_their_time_tell_neither_of_a_late_fleet_nor_of_a_slow_server() {
    let units = (0..300).map(|at| if at % 4 == 3 { 6.0 } else { 1.0 });
    let out = serve(&mut among_many(20), units.map(|units| (units, units * 60.0)));
    assert_eq!(sends(&out).len(), 300, "nothing is late for its size");
    assert!(!out.iter().any(|action| matches!(action, Action::Log(_))), "no server is slow");
}

/// Service times vary: one answer in four that is barely late is how a loaded fleet looks that keeps its aims.
#[test]
fn answers_that_are_barely_late_shed_little_and_those_that_are_very_late_much() {
    let sent = |late_ms| {
        let answers = (0..300).map(|at| (1.0, if at % 4 == 3 { late_ms } else { 40.0 }));
        sends(&serve(&mut among_many(20), answers)).len()
    };
    let (barely, very) = (sent(220.0), sent(490.0));
    assert!(barely > 290 && very < 270, "{barely} and {very} of 300 sent");
}
