//! Shedding during an overload, and its end.

use crate::common::*;
use nickeljunction_decide::api::*;
use std::collections::BTreeMap;

#[test]
fn overload_is_refused_early() {
    let mut rig = Rig::new(settings(), 2);
    let sent: usize =
        (0..200).map(|index| sends(&rig.request(&format!("r{index}"), "once", "free")).len()).sum();
    assert!(sent <= 8, "{sent} in flight at two servers that have not responded");
    let out = rig.run(600.0);
    assert!((0..200).filter(|index| refused(&out, &format!("r{index}"))).count() >= 150);
}

#[test]
fn late_answers_shed_requests_of_low_density_first() {
    let mut custom = Settings { gateway_count: 200, ..settings() };
    custom.plans[3].worth_factor = 4.0;
    custom.plans.push(plan("low", 0.0, 0.0, 0.0, 0.0));
    let mut rig = Rig::new(custom, 40);
    let (mut low, mut high) = (0, 0);
    for index in 0..300 {
        rig.now += 20.0;
        let plan = if index % 2 == 0 { "low" } else { "free" };
        for (id, to) in sends(&rig.request(&format!("r{index}"), "safe", plan)) {
            (low, high) = if index % 2 == 0 { (low + 1, high) } else { (low, high + 1) };
            rig.handle(Event::Outcome(answer(&id, &to, if index % 4 < 2 { 450.0 } else { 40.0 })));
        }
    }
    assert!(
        high > 2 * low && high > 10,
        "{high} of high and {low} of low density sent while answers are late"
    );
}

#[test]
fn shedding_ends_soon_after_answers_are_quick_again() {
    let mut rig = Rig::new(Settings { gateway_count: 400, ..settings() }, 40);
    let mut sent = 0;
    for index in 0..300 {
        rig.now += 100.0;
        for (id, to) in sends(&rig.request(&format!("r{index}"), "safe", "free")) {
            sent += usize::from(index >= 200);
            let latency_ms = if index < 100 { 450.0 } else { 40.0 };
            rig.handle(Event::Outcome(answer(&id, &to, latency_ms)));
        }
    }
    assert!(sent >= 90, "{sent} of 100 admitted ten seconds after the overload");
}

#[test]
fn timeouts_shed_like_late_answers() {
    let mut rig = Rig::new(Settings { gateway_count: 400, ..settings() }, 40);
    let mut sent = 0;
    for index in 0..100 {
        rig.now += 20.0;
        for (id, to) in sends(&rig.request(&format!("r{index}"), "once", "free")) {
            sent += 1;
            rig.handle(Event::Outcome(Outcome {
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
    assert!(sent <= 60, "{sent} of 100 sent while no server responds");
}

#[test]
fn first_tries_are_trusted_again_before_shedding_ends() {
    let mut custom = Settings { gateway_count: 800, ..settings() };
    custom.plans[0].excess_cost = 5.0;
    let mut rig = Rig::new(custom, 40);
    let mut sent = 0;
    for index in 0..400u64 {
        rig.now += 300.0;
        let mut out = first_request(&mut rig, index, 200);
        // An overloaded counter: all replies but the first are late, so that few fetches are made.
        for (name, add) in counts(&out.clone()) {
            rig.now += if index < 3 { 1.0 } else { 40.0 };
            out.extend(rig.counted(&name, Status::Ok, add));
        }
        for (id, to) in sends(&out) {
            sent += usize::from((150..200).contains(&index));
            let latency_ms = if index < 150 { 450.0 } else { 185.0 };
            rig.handle(Event::Outcome(answer(&id, &to, latency_ms)));
        }
    }
    assert!(sent >= 35, "{sent} of the first 50 requests after the overload admitted");
}

/// Serves requests, given as units and latency in ms, and returns all actions.
fn serve(rig: &mut Rig, requests: impl Iterator<Item = (f64, f64)>) -> Vec<Action> {
    let mut all = Vec::new();
    for (index, (units, latency_ms)) in requests.enumerate() {
        let request = Arrival { units, ..arrival(&format!("r{index}"), "safe", "free") };
        let out = rig.handle(Event::Request(request));
        rig.now += latency_ms;
        for (id, to) in sends(&out) {
            all.extend(rig.handle(Event::Outcome(answer(&id, &to, latency_ms))));
        }
        all.extend(out.into_iter().chain(rig.handle(Event::Timer("sweep".into()))));
    }
    all
}

/// A request of six units takes six times as long. Counted as late, each one lowered admission.
#[test]
fn large_requests_are_neither_late_nor_slow_for_their_size() {
    let units = (0..300).map(|index| if index % 4 == 3 { 6.0 } else { 1.0 });
    let out = serve(&mut one_of_100_gateways(20), units.map(|units| (units, units * 60.0)));
    assert_eq!(sends(&out).len(), 300, "nothing is late for its size");
    assert!(!out.iter().any(|action| matches!(action, Action::Log(_))), "no server is slow");
}

/// Service times vary: in a busy fleet that meets its targets, one answer in four is slightly late.
#[test]
fn shedding_grows_with_the_lateness_of_answers() {
    let sent = |late_ms| {
        let answers = (0..300).map(|index| (1.0, if index % 4 == 3 { late_ms } else { 40.0 }));
        sends(&serve(&mut one_of_100_gateways(20), answers)).len()
    };
    let (slightly, very) = (sent(220.0), sent(490.0));
    assert!(slightly > 290 && very < 270, "{slightly} and {very} of 300 sent");
}
