//! A counter that is silent, slow, overloaded or absent.

use crate::common::*;
use nickeljunction_decide::api::*;
use std::collections::BTreeMap;

#[test]
fn overloaded_counter_is_called_less_and_not_taken_for_silent() {
    let mut rig = Rig::new(settings(), 30);
    let (mut most, mut silent) = (0, false);
    for round in 0..200u64 {
        let mut counter_calls = Vec::new();
        for index in 0..40u64 {
            counter_calls.extend(counts(&rig.handle(Event::Request(Arrival {
                id: format!("r{round}.{index}"),
                class: "safe".into(),
                plan: "soft".into(),
                customer: 1000 + round * 40 + index,
                timeout_ms: 2000.0,
                units: 1.0,
                gateways: 2,
                retry: false,
            }))));
        }
        most = counter_calls.len();
        for (index, (name, add)) in counter_calls.into_iter().enumerate() {
            let status = if index % 3 == 2 { Status::TimedOut } else { Status::Ok };
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
fn silent_counter_without_a_ceiling_leaves_a_bounded_local_share() {
    let mut rig = Rig::new(settings(), 30);
    let mut sent = 0;
    for index in 0..60 {
        let out = rig.request(&format!("r{index}"), "safe", "soft");
        let mut all = sends(&out);
        for (name, _) in counts(&out) {
            all.extend(sends(&rig.counted(&name, Status::TimedOut, 0.0)));
        }
        for (id, server) in all {
            sent += 1;
            rig.outcome(&id, 0, &server, Status::Ok);
        }
    }
    // A full bucket of 20 and two gateways: the share of the one with waiting requests is the larger.
    assert!((5..=15).contains(&sent), "{sent} sent");
}

#[test]
fn silent_counter_under_a_ceiling_leaves_the_gateway_its_own_part() {
    let mut rig = Rig::new(settings(), 30);
    let mut sent = 0;
    for index in 0..200 {
        rig.now += 10.0;
        let out = rig.request(&format!("r{index}"), "safe", "hard");
        let mut all = sends(&out);
        for (name, _) in counts(&out) {
            all.extend(sends(&rig.counted(&name, Status::TimedOut, 0.0)));
        }
        sent += all.len();
    }
    // One request at once, then half of what the ceiling (20/s) leaves above the quota (10/s): 5/s.
    assert!((2..=11).contains(&sent), "{sent} sent in 2 s by one of two gateways");
}

#[test]
fn rejected_counter_call_is_not_counted() {
    let mut rig = Rig::new(settings(), 3);
    let (name, _) = counts(&rig.request("a", "safe", "soft")).remove(0);
    let out = rig.counted(&name, Status::QueueFull, 0.0);
    assert_eq!(sends(&out).len(), 1, "the waiting request is served from the local share");
    let later = counts(&rig.run(200.0));
    assert!(later.iter().any(|(_, add)| *add >= 1.0), "units spent are reported: {later:?}");
}

#[test]
fn without_a_counter_each_gateway_has_a_fixed_share() {
    let mut rig = Rig::new(Settings { counter_enabled: false, ..settings() }, 30);
    let mut sent = 0;
    for index in 0..40 {
        let out = rig.request(&format!("r{index}"), "safe", "soft");
        assert!(counts(&out).is_empty());
        for (id, server) in sends(&out) {
            sent += 1;
            rig.outcome(&id, 0, &server, Status::Ok);
        }
    }
    assert!((8..=15).contains(&sent), "{sent} of a bucket of 20 by one of two gateways");
}

#[test]
fn without_a_counter_a_ceiling_allows_no_more_than_the_gateways_part() {
    let mut custom = Settings { counter_enabled: false, ..settings() };
    custom.plans[1].burst = 200.0;
    custom.plans[1].ceiling_burst = 40.0;
    let mut rig = Rig::new(custom, 60);
    let sent: usize =
        (0..60).map(|index| sends(&rig.request(&format!("r{index}"), "safe", "hard")).len()).sum();
    // Half of the ceiling's burst in a window, at one of two gateways.
    assert!((1..=10).contains(&sent), "{sent} sent under a ceiling of 40");
}

#[test]
fn hundreds_of_gateways_call_an_overloaded_counter_less_and_still_admit() {
    let mut rig = Rig::new(Settings { gateway_count: 400, ..settings() }, 40);
    let (mut calls, mut sent) = (0, 0);
    for index in 0..400u64 {
        rig.now += 50.0;
        let mut out = first_request(&mut rig, index, 200);
        // Two calls in three are answered late: in time, but after more than half of the timeout.
        for (name, add) in counts(&out.clone()) {
            calls += usize::from(index >= 100);
            rig.now += if index % 3 == 0 { 4.0 } else { 40.0 };
            out.extend(rig.counted(&name, Status::Ok, add));
        }
        for (id, to) in sends(&out) {
            sent += usize::from(index >= 100);
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    assert!(calls <= 150, "{calls} calls for 300 requests at an overloaded counter");
    assert!(sent >= 250, "{sent} of 300 first tries of customers within their quota admitted");
}

#[test]
fn hundreds_of_gateways_refuse_marked_retries_while_the_counter_is_silent() {
    for (gateway_count, expected) in [(2, true), (400, false)] {
        let mut rig = Rig::new(Settings { gateway_count, ..settings() }, 40);
        let mut admitted = false;
        for index in 0..60u64 {
            rig.now += 20.0;
            let mut out = rig.handle(Event::Request(Arrival {
                customer: 1_000 + index,
                gateways: gateway_count.min(200),
                retry: true,
                ..arrival(&format!("r{index}"), "safe", "soft")
            }));
            for (name, _) in counts(&out.clone()) {
                out.extend(rig.counted(&name, Status::TimedOut, 0.0));
            }
            admitted |= !sends(&out).is_empty();
        }
        assert_eq!(admitted, expected, "{gateway_count} gateways");
    }
}

#[test]
fn a_few_heavy_customers_do_not_cost_their_plan_its_trust() {
    let mut rig = Rig::new(Settings { gateway_count: 400, ..settings() }, 40);
    let (mut light, mut heavy) = ((0, 0), (0, 0));
    let mut totals = BTreeMap::new();
    for index in 0..2_000u64 {
        rig.now += 20.0;
        // Nine in ten requests are of thirty customers far beyond their quota, the others of eight within theirs.
        let within_quota = index % 10 == 0;
        let customer = if within_quota { 100 + index / 10 % 8 } else { 1 + index % 30 };
        let mut out = rig.handle(Event::Request(Arrival {
            customer,
            gateways: 200,
            ..arrival(&format!("r{index}"), "safe", "soft")
        }));
        for (name, add) in counts(&out.clone()) {
            // Overloaded except for the first replies: late ones keep the probability of a fetch low.
            rig.now += if index < 10 { 1.0 } else { 30.0 };
            let total = totals.entry(name.clone()).or_insert(if within_quota { 0.0 } else { 1_000.0 });
            *total += add;
            out.extend(rig.counted(&name, Status::Ok, if within_quota { *total } else { 1_000.0 + add }));
        }
        let sent = sends(&out);
        let seen = if within_quota { &mut light } else { &mut heavy };
        *seen = (seen.0 + usize::from(index >= 1_000), seen.1 + if index >= 1_000 { sent.len() } else { 0 });
        for (id, to) in sent {
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    assert!(light.1 * 2 >= light.0, "{} of {} within their quota admitted", light.1, light.0);
    assert!(heavy.1 * 4 <= heavy.0, "{} of {} beyond their quota admitted", heavy.1, heavy.0);
}

/// A distant counter answers late without being overloaded: it was called for only one request in six.
#[test]
fn slow_counter_is_not_taken_for_overloaded() {
    let (mut rig, mut counter_calls) = (Rig::new(settings(), 30), 0);
    for index in 0..200u64 {
        rig.now += 300.0;
        let mut out = first_request(&mut rig, index, 2);
        for (name, add) in counts(&out.clone()) {
            counter_calls += 1;
            rig.now += 30.0;
            out.extend(rig.counted(&name, Status::Ok, add));
        }
        for (id, to) in sends(&out) {
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    assert!(counter_calls >= 180, "{counter_calls} counter calls for 200 first requests");
}
