//! Settings that are refused, and new figures while requests are under way.

use crate::common::*;
use nickeljunction_decide::api::*;
use nickeljunction_decide::decide::Limiter;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn impossible_settings_name_their_key() {
    let mut own = settings();
    own.plans[0].burst = 0.0;
    let why = Limiter::new(own, 1).expect_err("no burst").to_string();
    assert!(why.contains("burst"), "{why}");
    for (me, siblings) in [(0, 0), (3, 3)] {
        let own = Settings { gateway_index: me, gateway_count: siblings, ..settings() };
        let why = Limiter::new(own, 1).expect_err("no such gateway").to_string();
        assert!(why.contains("siblings"), "{why}");
    }
}

/// Figures of a window are one for all gateways: a change holds for windows that begin after its moment, and the
/// window under way goes on by the former ones, also for a customer that comes only now.
#[test]
fn new_figures_hold_from_a_windows_start_or_at_once() {
    let mut rig = Rig::new(settings(), 2);
    // A counter that answers each call, also those that an answer leads to.
    let mut totals: BTreeMap<String, f64> = BTreeMap::new();
    let mut told = |rig: &mut Rig, id: &str| {
        let mut out = rig.request(id, "safe", "soft");
        let (mut at, mut last) = (0, String::new());
        while let Some((name, amount)) = counts(&out).get(at).cloned() {
            let total = totals.entry(name.clone()).or_default();
            *total += amount;
            let total = *total;
            out.extend(rig.counted(&name, Status::Ok, total));
            (at, last) = (at + 1, name);
        }
        let sent = sends(&out).into_iter().find(|(sent, _)| sent == id);
        if let Some((id, server)) = &sent {
            rig.outcome(id, 0, server, Status::Ok);
        }
        (last, sent.is_some())
    };
    let (name, sent) = told(&mut rig, "a");
    assert!(sent, "a store of 20 lets the first one in");
    // A hundredth of the store, from the next window on.
    let mut small = settings();
    small.plans[0] = plan("soft", 0.1, 0.2, 0.0, 0.0);
    let from = rig.now + 1.0;
    rig.limiter.update_settings(small.clone(), from);
    let (mut served, mut windows) = (0, BTreeSet::from([name.clone()]));
    for at in 0..40 {
        rig.now += 1_000.0;
        let (window, sent) = told(&mut rig, &format!("b{at}"));
        windows.extend((!window.is_empty()).then_some(window));
        if windows.len() > 1 {
            break;
        }
        assert!(sent, "the window under way goes on by the former figures, {at} s");
        served += 1;
    }
    assert!(served > 2 && windows.len() == 2, "{served} served, {windows:?}");
    let sent: Vec<bool> = (0..8).map(|at| told(&mut rig, &format!("c{at}")).1).collect();
    assert!(sent[2..].iter().all(|sent| !sent), "a store of 0.2 covers none: {sent:?}");
    // And back at once, in the middle of the window.
    rig.limiter.update_settings(settings(), f64::NEG_INFINITY);
    assert!(told(&mut rig, "e").1, "the store of 20 is back, with what was spent of it");
}

/// What a batch holds above a smaller store goes back to the counter, and is not spent.
#[test]
fn a_smaller_store_takes_back_what_is_held_above_it() {
    let mut rig = Rig::new(settings(), 2);
    let mut total = 0.0;
    let mut out = rig.request("a", "safe", "soft");
    let mut at = 0;
    while let Some((name, amount)) = counts(&out).get(at).cloned() {
        total += amount;
        at += 1;
        out.extend(rig.counted(&name, Status::Ok, total));
    }
    // Enough use for a batch of several units.
    for number in 0..12 {
        rig.now += 20.0;
        let mut out = rig.request(&format!("b{number}"), "safe", "soft");
        let mut at = 0;
        while let Some((name, amount)) = counts(&out).get(at).cloned() {
            total += amount;
            at += 1;
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
    let mut back = 0.0f64;
    for number in 0..8 {
        let mut out = rig.request(&format!("c{number}"), "safe", "soft");
        let mut at = 0;
        while let Some((name, amount)) = counts(&out).get(at).cloned() {
            back = back.min(amount);
            total += amount;
            at += 1;
            out.extend(rig.counted(&name, Status::Ok, total));
        }
        served += sends(&out).len();
    }
    assert!(served <= 1, "{served} served out of a store of one");
    assert!(back <= -1.0, "units went back: {back}");
}

#[test]
fn a_plan_that_came_later_is_known_and_the_others_keep_their_places() {
    let mut rig = Rig::new(settings(), 1);
    assert!(refused(&rig.request("a", "safe", "new"), "a"));
    let mut more = settings();
    more.plans.push(plan("new", 0.0, 0.0, 0.0, 0.0));
    rig.limiter.update_settings(more, f64::NEG_INFINITY);
    assert_eq!(sends(&rig.request("b", "safe", "new")).len(), 1);
    assert_eq!(rig.limiter.admission_probability(), 1.0);
}
