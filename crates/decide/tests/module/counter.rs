//! A counter that is silent, slow, crowded or absent.

use crate::common::*;
use nickeljunction_decide::api::*;
use std::collections::BTreeMap;

#[test]
fn a_crowded_counter_is_called_less_and_not_taken_for_silent() {
    let mut rig = Rig::new(settings(), 30);
    let (mut most, mut silent) = (0, false);
    for round in 0..200u64 {
        let mut asked = Vec::new();
        for at in 0..40u64 {
            asked.extend(counts(&rig.tell(Event::Request(Arrival {
                id: format!("r{round}.{at}"),
                class: "safe".into(),
                plan: "soft".into(),
                customer: 1000 + round * 40 + at,
                timeout_ms: 2000.0,
                units: 1.0,
                gateways: 2,
                retry: false,
            }))));
        }
        most = asked.len();
        for (at, (name, add)) in asked.into_iter().enumerate() {
            let status = if at % 3 == 2 { Status::TimedOut } else { Status::Ok };
            let out = rig.counted(&name, status, add);
            silent |= out.iter().any(|a| matches!(a, Action::Log(text) if text.contains("silent")));
            for (name, add) in counts(&out) {
                rig.counted(&name, Status::Ok, add);
            }
        }
    }
    assert!(!silent && most <= 16, "{most} calls at once, silent: {silent}");
}

#[test]
fn counter_silence_outside_a_ceiling_gets_a_bounded_local_share() {
    let mut rig = Rig::new(settings(), 30);
    let mut sent = 0;
    for at in 0..60 {
        let out = rig.request(&format!("r{at}"), "safe", "soft");
        let mut all = sends(&out);
        for (name, _) in counts(&out) {
            all.extend(sends(&rig.counted(&name, Status::TimedOut, 0.0)));
        }
        for (id, server) in all {
            sent += 1;
            rig.outcome(&id, 0, &server, Status::Ok);
        }
    }
    // A full store of 20, two doors, of which the one with requests in hand counts as the busier.
    assert!((5..=15).contains(&sent), "{sent} sent");
}

#[test]
fn under_a_ceiling_a_door_spends_its_own_part_alone_while_the_counter_is_silent() {
    let mut rig = Rig::new(settings(), 30);
    let mut sent = 0;
    for at in 0..200 {
        rig.now += 10.0;
        let out = rig.request(&format!("r{at}"), "safe", "hard");
        let mut all = sends(&out);
        for (name, _) in counts(&out) {
            all.extend(sends(&rig.counted(&name, Status::TimedOut, 0.0)));
        }
        sent += all.len();
    }
    // One request at once, then half of what the ceiling (20 a second) leaves above the quota (10): 5 a second.
    assert!((2..=11).contains(&sent), "{sent} sent in 2 s through one of two doors");
}

#[test]
fn a_turned_away_counter_call_is_not_booked() {
    let mut rig = Rig::new(settings(), 3);
    let (name, _) = counts(&rig.request("a", "safe", "soft")).remove(0);
    let out = rig.counted(&name, Status::QueueFull, 0.0);
    assert_eq!(sends(&out).len(), 1, "the local share serves who waited");
    let later = counts(&rig.run(200.0));
    assert!(later.iter().any(|(_, add)| *add >= 1.0), "what was spent goes on the books: {later:?}");
}

#[test]
fn no_counter_means_a_fixed_share() {
    let mut rig = Rig::new(Settings { counter_enabled: false, ..settings() }, 30);
    let mut sent = 0;
    for at in 0..40 {
        let out = rig.request(&format!("r{at}"), "safe", "soft");
        assert!(counts(&out).is_empty());
        for (id, server) in sends(&out) {
            sent += 1;
            rig.outcome(&id, 0, &server, Status::Ok);
        }
    }
    assert!((8..=15).contains(&sent), "{sent} of a store of 20 through one of two doors");
}

#[test]
fn a_ceiling_without_a_counter_is_never_more_than_a_door_s_exact_part() {
    let mut own = Settings { counter_enabled: false, ..settings() };
    own.plans[1].burst = 200.0;
    own.plans[1].ceiling_burst = 40.0;
    let mut rig = Rig::new(own, 60);
    let sent: usize = (0..60).map(|at| sends(&rig.request(&format!("r{at}"), "safe", "hard")).len()).sum();
    // Half the ceiling's burst a window, through one of two doors.
    assert!((1..=10).contains(&sent), "{sent} sent under a ceiling of 40");
}

#[test]
fn hundreds_of_gateways_thin_their_calls_when_the_counter_is_crowded_and_still_let_in() {
    let mut rig = Rig::new(Settings { gateway_count: 400, ..settings() }, 40);
    let (mut calls, mut sent) = (0, 0);
    for at in 0..400u64 {
        rig.now += 50.0;
        let mut out = first_request(&mut rig, at, 200);
        // Two calls in three come back late: in time, but after more than half of the time-out.
        for (name, add) in counts(&out.clone()) {
            calls += usize::from(at >= 100);
            rig.now += if at % 3 == 0 { 4.0 } else { 40.0 };
            out.extend(rig.counted(&name, Status::Ok, add));
        }
        for (id, to) in sends(&out) {
            sent += usize::from(at >= 100);
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    assert!(calls <= 150, "{calls} calls for 300 tries at a crowded counter");
    assert!(sent >= 250, "{sent} of 300 first tries of customers within their quota let in");
}

#[test]
fn in_counter_silence_hundreds_of_gateways_refuse_marked_repeats_and_few_do_not() {
    for (siblings, expected) in [(2, true), (400, false)] {
        let mut rig = Rig::new(Settings { gateway_count: siblings, ..settings() }, 40);
        let mut let_in = false;
        for at in 0..60u64 {
            rig.now += 20.0;
            let mut out = rig.tell(Event::Request(Arrival {
                customer: 1_000 + at,
                gateways: siblings.min(200),
                retry: true,
                ..arrival(&format!("r{at}"), "safe", "soft")
            }));
            for (name, _) in counts(&out.clone()) {
                out.extend(rig.counted(&name, Status::TimedOut, 0.0));
            }
            let_in |= !sends(&out).is_empty();
        }
        assert_eq!(let_in, expected, "{siblings} gateways");
    }
}

#[test]
fn a_few_heavy_customers_do_not_take_the_trust_from_their_plan() {
    let mut rig = Rig::new(Settings { gateway_count: 400, ..settings() }, 40);
    let (mut light, mut heavy) = ((0, 0), (0, 0));
    let mut totals = BTreeMap::new();
    for at in 0..2_000u64 {
        rig.now += 20.0;
        // Nine in ten tries are of thirty customers far beyond their quota, the others of eight within theirs.
        let own = at % 10 == 0;
        let customer = if own { 100 + at / 10 % 8 } else { 1 + at % 30 };
        let mut out = rig.tell(Event::Request(Arrival {
            customer,
            gateways: 200,
            ..arrival(&format!("r{at}"), "safe", "soft")
        }));
        for (name, add) in counts(&out.clone()) {
            // Crowded, but for the first answers: late ones keep the odds low.
            rig.now += if at < 10 { 1.0 } else { 30.0 };
            let total = totals.entry(name.clone()).or_insert(if own { 0.0 } else { 1_000.0 });
            *total += add;
            out.extend(rig.counted(&name, Status::Ok, if own { *total } else { 1_000.0 + add }));
        }
        let sent = sends(&out);
        let seen = if own { &mut light } else { &mut heavy };
        *seen = (seen.0 + usize::from(at >= 1_000), seen.1 + if at >= 1_000 { sent.len() } else { 0 });
        for (id, to) in sent {
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    assert!(light.1 * 2 >= light.0, "{} of {} of those within their quota let in", light.1, light.0);
    assert!(heavy.1 * 4 <= heavy.0, "{} of {} of those beyond it let in", heavy.1, heavy.0);
}

/// A counter that stands far off answers late without being crowded: it was asked for one request in six.
#[test]
fn a_slow_counter_is_not_taken_for_a_crowded_one() {
    let (mut rig, mut asked) = (Rig::new(settings(), 30), 0);
    for at in 0..200u64 {
        rig.now += 300.0;
        let mut out = first_request(&mut rig, at, 2);
        for (name, add) in counts(&out.clone()) {
            asked += 1;
            rig.now += 30.0;
            out.extend(rig.counted(&name, Status::Ok, add));
        }
        for (id, to) in sends(&out) {
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    assert!(asked >= 180, "{asked} of 200 first requests asked for");
}
