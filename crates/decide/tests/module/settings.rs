//! Invalid settings, and changes of settings while requests are in flight.

use crate::common::*;
use nickeljunction_decide::api::*;
use nickeljunction_decide::decide::Limiter;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn invalid_settings_name_the_key() {
    let mut custom = settings();
    custom.plans[0].burst = 0.0;
    let reason = Limiter::new(custom, 1).expect_err("no burst").to_string();
    assert!(reason.contains("burst"), "{reason}");
    for (gateway_index, gateway_count) in [(0, 0), (3, 3)] {
        let custom = Settings { gateway_index, gateway_count, ..settings() };
        let reason = Limiter::new(custom, 1).expect_err("no such gateway").to_string();
        assert!(reason.contains("siblings"), "{reason}");
    }
}

/// A window follows the same plan at all gateways: a change applies to windows that begin after it, and the current
/// window keeps the previous plan, also for a customer whose first request comes after the change.
#[test]
fn changed_plan_applies_from_the_next_window_or_at_once() {
    let mut rig = Rig::new(settings(), 2);
    // The counter answers each call, including those that follow from a reply.
    let mut totals: BTreeMap<String, f64> = BTreeMap::new();
    let mut serve = |rig: &mut Rig, id: &str| {
        let mut out = rig.request(id, "safe", "soft");
        let (mut index, mut last) = (0, String::new());
        while let Some((name, amount)) = counts(&out).get(index).cloned() {
            let total = totals.entry(name.clone()).or_default();
            *total += amount;
            let total = *total;
            out.extend(rig.counted(&name, Status::Ok, total));
            (index, last) = (index + 1, name);
        }
        let sent = sends(&out).into_iter().find(|(sent, _)| sent == id);
        if let Some((id, server)) = &sent {
            rig.outcome(id, 0, server, Status::Ok);
        }
        (last, sent.is_some())
    };
    let (name, sent) = serve(&mut rig, "a");
    assert!(sent, "a bucket of 20 covers the first request");
    // A hundredth of the capacity, from the next window on.
    let mut small = settings();
    small.plans[0] = plan("soft", 0.1, 0.2, 0.0, 0.0);
    let from = rig.now + 1.0;
    rig.limiter.update_settings(small.clone(), from);
    let (mut served, mut windows) = (0, BTreeSet::from([name.clone()]));
    for index in 0..40 {
        rig.now += 1_000.0;
        let (window, sent) = serve(&mut rig, &format!("b{index}"));
        windows.extend((!window.is_empty()).then_some(window));
        if windows.len() > 1 {
            break;
        }
        assert!(sent, "the current window keeps the previous plan, {index} s");
        served += 1;
    }
    assert!(served > 2 && windows.len() == 2, "{served} served, {windows:?}");
    let sent: Vec<bool> = (0..8).map(|index| serve(&mut rig, &format!("c{index}")).1).collect();
    assert!(sent[2..].iter().all(|sent| !sent), "a bucket of 0.2 covers none: {sent:?}");
    // The first plan again, at once, in the middle of the window.
    rig.limiter.update_settings(settings(), f64::NEG_INFINITY);
    assert!(serve(&mut rig, "e").1, "a bucket of 20 again, less the units spent");
}

/// Units held above a reduced capacity are returned to the counter and not spent.
#[test]
fn units_above_a_reduced_capacity_are_returned() {
    let mut rig = Rig::new(settings(), 2);
    let mut total = 0.0;
    let mut out = rig.request("a", "safe", "soft");
    let mut index = 0;
    while let Some((name, amount)) = counts(&out).get(index).cloned() {
        total += amount;
        index += 1;
        out.extend(rig.counted(&name, Status::Ok, total));
    }
    // Enough use for a lease of several units.
    for number in 0..12 {
        rig.now += 20.0;
        let mut out = rig.request(&format!("b{number}"), "safe", "soft");
        let mut index = 0;
        while let Some((name, amount)) = counts(&out).get(index).cloned() {
            total += amount;
            index += 1;
            out.extend(rig.counted(&name, Status::Ok, total));
        }
        for (id, server) in sends(&out) {
            rig.outcome(&id, 0, &server, Status::Ok);
        }
    }
    let mut small = settings();
    small.plans[0] = plan("soft", 0.1, 1.0, 0.0, 0.0);
    rig.limiter.update_settings(small, f64::NEG_INFINITY);
    let mut served = 0;
    let mut returned = 0.0f64;
    for number in 0..8 {
        let mut out = rig.request(&format!("c{number}"), "safe", "soft");
        let mut index = 0;
        while let Some((name, amount)) = counts(&out).get(index).cloned() {
            returned = returned.min(amount);
            total += amount;
            index += 1;
            out.extend(rig.counted(&name, Status::Ok, total));
        }
        served += sends(&out).len();
    }
    assert!(served <= 1, "{served} served out of a bucket of one");
    assert!(returned <= -1.0, "units returned: {returned}");
}

#[test]
fn added_plan_is_known_and_the_others_keep_their_positions() {
    let mut rig = Rig::new(settings(), 1);
    assert!(refused(&rig.request("a", "safe", "new"), "a"));
    let mut more = settings();
    more.plans.push(plan("new", 0.0, 0.0, 0.0, 0.0));
    rig.limiter.update_settings(more, f64::NEG_INFINITY);
    assert_eq!(sends(&rig.request("b", "safe", "new")).len(), 1);
    assert_eq!(rig.limiter.admission_probability(), 1.0);
}
