//! Quota leases: token buckets, fetches and the counter's totals.

use crate::common::*;
use nickeljunction_decide::api::*;
use std::collections::BTreeMap;

#[test]
fn request_waits_for_its_lease() {
    let mut rig = Rig::new(settings(), 3);
    let (counter_calls, out) = fetch_lease(&mut rig, "a", "soft");
    assert_eq!(counter_calls.len(), 1, "one fetch in flight for a customer");
    assert!(counter_calls[0].1 >= 1.0);
    assert_eq!(sends(&out).len(), 1);
}

#[test]
fn fetch_above_the_capacity_is_returned_and_the_request_refused() {
    let mut rig = Rig::new(settings(), 3);
    let (name, add) = counts(&rig.request("a", "safe", "soft")).remove(0);
    // At most 300 units are refilled in a window of 30 s: this total is above any allowance.
    let out = rig.counted(&name, Status::Ok, 100_000.0 + add);
    assert!(sends(&out).is_empty());
    assert!(out
        .iter()
        .any(|action| matches!(action, Action::Refuse(id, pause) if id == "a" && *pause > 0.0)));
    assert!(counts(&out).contains(&(name, -add)), "{out:?}");
}

#[test]
fn total_far_above_the_capacity_does_not_refuse_for_seconds() {
    let mut rig = Rig::new(settings(), 3);
    let (name, add) = counts(&rig.request("a", "safe", "soft")).remove(0);
    // Two gateways correct the same count at once: for a moment the total is far too high.
    let returned = counts(&rig.counted(&name, Status::Ok, 100_000.0 + add));
    returned.iter().for_each(|(name, add)| drop(rig.counted(name, Status::Ok, 100_000.0 + add)));
    assert!(refused(&rig.request("b", "safe", "soft"), "b"), "known to be empty");
    rig.now += 150.0;
    assert!(!counts(&rig.request("c", "safe", "soft")).is_empty(), "fetched again once a unit is refilled");
}

/// A refused connection fails a call at once. The gateway then repeated the call in a busy loop.
#[test]
fn correction_is_not_retried_directly_after_a_failed_call() {
    for status in [Status::ConnectError, Status::QueueFull] {
        let mut rig = Rig::new(settings(), 3);
        let (name, add) = counts(&rig.request("a", "safe", "soft")).remove(0);
        let returned = counts(&rig.counted(&name, Status::Ok, 100_000.0 + add));
        assert_eq!(returned, [(name.clone(), -add)]);
        assert!(counts(&rig.counted(&name, status, 0.0)).is_empty(), "called again at once");
        assert_eq!(counts(&rig.run(100.0)), returned, "a sweep repeats the call once");
    }
}

#[test]
fn idle_lease_is_kept_while_the_bucket_is_half_full() {
    let mut rig = Rig::new(settings(), 30);
    let (mut total, mut sent) = (0.0, 0);
    for index in 0..8 {
        let mut out = rig.request(&format!("r{index}"), "safe", "soft");
        while let Some((name, add)) = counts(&out).first().cloned() {
            sent += sends(&out).len();
            total += add;
            out = rig.counted(&name, Status::Ok, total);
        }
        sent += sends(&out).len();
    }
    assert_eq!(sent, 8);
    let returned: f64 = counts(&rig.run(2_000.0)).iter().map(|(_, add)| add.min(0.0)).sum();
    assert_eq!(returned, 0.0, "no gateway lacks the idle units while the bucket is half full");
}

#[test]
fn idle_lease_is_returned_while_the_bucket_is_low() {
    let mut rig = Rig::new(settings(), 30);
    let mut total = 0.0;
    for index in 0..8 {
        let mut out = rig.request(&format!("r{index}"), "safe", "soft");
        while let Some((name, add)) = counts(&out).first().cloned() {
            // The first reply shows a total below that of a full bucket, and it is corrected. Then another gateway
            // uses 9 of 20.
            total += add;
            out = rig.counted(&name, Status::Ok, total);
            if index == 0 && counts(&out).is_empty() {
                total += 9.0;
            }
        }
    }
    let returned: f64 = counts(&rig.run(1_000.0)).iter().map(|(_, add)| add.min(0.0)).sum();
    assert!(returned <= -1.0, "unspent units are subtracted from the total: {returned}");
}

#[test]
fn lost_count_under_a_ceiling_grants_nothing() {
    let mut rig = Rig::new(settings(), 30);
    let (mut total, mut flushed) = (0.0, false);
    for index in 0..30 {
        // Before the tenth request the counter loses the count.
        total = if index == 10 { 0.0 } else { total };
        let mut counter_calls = counts(&rig.request(&format!("r{index}"), "safe", "hard"));
        while let Some((name, add)) = counter_calls.pop() {
            total += add;
            let out = rig.counted(&name, Status::Ok, total);
            if out.iter().any(|a| matches!(a, Action::Log(text) if text.contains("flushed"))) {
                assert!(sends(&out).is_empty(), "spent from a lost count under a ceiling");
                flushed = true;
            }
            counter_calls.extend(counts(&out));
        }
    }
    assert!(flushed, "the loss was not detected");
}

/// Retries admitted at an overloaded counter. A client's retry was refused without a call although the bucket was known
/// to be almost full.
fn admitted_retries(gateways: usize) -> usize {
    let mut rig = Rig::new(Settings { gateway_count: gateways, ..settings() }, 30);
    let (mut sent, mut totals) = (0, BTreeMap::new());
    for index in 0..400u64 {
        rig.now += 100.0;
        let retry = index >= 100;
        let request =
            Arrival { customer: index % 4, gateways, retry, ..arrival(&format!("r{index}"), "safe", "soft") };
        let mut out = rig.handle(Event::Request(request));
        let mut calls = counts(&out);
        while let Some((name, add)) = calls.pop() {
            // Most calls are rejected; the totals that arrive show an almost full bucket.
            let status = if index < 10 || index % 5 == 0 { Status::Ok } else { Status::QueueFull };
            let total: &mut f64 = totals.entry(name.clone()).or_default();
            *total += if status == Status::Ok { add } else { 0.0 };
            let then = rig.counted(&name, status, *total);
            calls.extend(counts(&then));
            out.extend(then);
        }
        for (id, to) in sends(&out) {
            sent += usize::from(retry);
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    sent
}

#[test]
fn bucket_known_to_hold_units_serves_a_retry_without_a_call() {
    // The others arrive in a new window whose total is not known yet.
    let sent = admitted_retries(2);
    assert!(sent >= 210, "{sent} of 300 retries admitted");
}

/// With many gateways a known total is soon outdated by what the others have taken since.
#[test]
fn known_total_expires_soon_with_many_gateways() {
    let sent = admitted_retries(20);
    assert!(sent <= 30, "{sent} of 300 retries admitted");
}

/// The total of a full bucket of customer 5 on `soft`: what has been refilled since its window began.
fn full_bucket_total(rig: &Rig) -> f64 {
    0.01 * ((rig.now + (5.0 * 0.618_033_988_75_f64).fract() * 30_000.0) % 30_000.0)
}

/// A total that is a quarter of the bucket too low is corrected by a call of its own at one of two gateways. At one of
/// 100, each of which seldom uses the count, such calls were half of the counter's load.
#[test]
fn small_errors_of_a_total_cost_no_call_with_many_gateways() {
    for (gateways, expected) in [(2, true), (100, false)] {
        let mut rig = one_of_100_gateways(1);
        let out = rig.handle(Event::Request(Arrival { gateways, ..arrival("r", "safe", "soft") }));
        let (name, add) = &counts(&out)[0];
        let out = rig.counted(name, Status::Ok, full_bucket_total(&rig) - 5.0 + add);
        assert_eq!(sends(&out).len(), 1, "served");
        assert_eq!(!counts(&out).is_empty(), expected, "{gateways} gateways");
    }
}

/// A gateway made no fetch for a customer of a slow plan for as long as the refill for all gateways takes: minutes.
#[test]
fn empty_bucket_is_fetched_from_again_once_it_may_be_full() {
    let mut rig = one_of_100_gateways(1);
    for (after, calls) in [(0.0, 1), (1_000.0, 0), (1_100.0, 1)] {
        rig.now += after;
        let large = Arrival { units: 6.0, gateways: 100, ..arrival(&format!("r{after}"), "safe", "soft") };
        let counter_calls = counts(&rig.handle(Event::Request(large)));
        assert_eq!(counter_calls.len(), calls, "{after} ms later");
        for (name, add) in counter_calls {
            let total = full_bucket_total(&rig) + 20.0;
            rig.counted(&name, Status::Ok, total + add);
            rig.counted(&name, Status::Ok, total);
        }
    }
}

/// A customer on `soft` sends 40 requests/s, four times its quota, for 20 s to 60 gateways. The quota covers 220 units.
/// Each gateway that saw one unit left fetched it, and returned it if another one had been first.
#[test]
fn empty_bucket_is_left_to_the_other_gateways_and_still_used() {
    let gateways = 60;
    let (mut rigs, mut rng) = (fleet(gateways, 20), fastrand::Rng::with_seed(11));
    let (mut totals, mut calls, mut sent) = (BTreeMap::<String, f64>::new(), 0, 0);
    for index in 0..800 {
        let rig = &mut rigs[rng.usize(..gateways)];
        rig.now = rig.now.max(100_000.0 + index as f64 * 25.0);
        let mut out =
            rig.handle(Event::Request(Arrival { gateways, ..arrival(&format!("r{index}"), "safe", "soft") }));
        let mut done = 0;
        while let Some((name, add)) = counts(&out).get(done).cloned() {
            let total = totals.entry(name.clone()).or_default();
            *total += add;
            rig.now += rng.f64() * 5.0;
            out.extend(rig.counted(&name, Status::Ok, *total));
            done += 1;
        }
        calls += done;
        for (id, to) in sends(&out) {
            sent += 1;
            rig.outcome(&id, 0, &to, Status::Ok);
        }
    }
    assert!(calls < 1_100 && sent > 180, "{calls} calls for {sent} sent");
}

#[test]
fn units_of_a_late_reply_are_spent_and_those_of_a_lost_call_are_not() {
    for (total, calls) in [(Some(1.0), 0), (None, 1)] {
        let mut rig = Rig::new(settings(), 3);
        let (name, add) = counts(&rig.request("a", "safe", "soft")).remove(0);
        assert_eq!(add, 1.0);
        let out = rig.counted(&name, Status::TimedOut, 0.0);
        assert_eq!(sends(&out).len(), 1, "served from the local share");
        // Late replies for another window or an unknown count change nothing.
        rig.handle(Event::LateCount("5.1".into(), Some(9.0)));
        rig.handle(Event::LateCount("77.1".into(), Some(9.0)));
        rig.handle(Event::LateCount(name, total));
        let out = rig.request("b", "safe", "soft");
        // `b` is covered by the late reply, or needs a fetch; there may be a correction as well.
        let fetched = counts(&out).iter().filter(|(_, add)| *add >= 1.0).count();
        assert_eq!((fetched, sends(&out).len()), (calls, 1 - calls), "{total:?}: {out:?}");
    }
}

#[test]
fn accounts_of_customers_with_one_request_are_dropped() {
    let mut rig = Rig::new(settings(), 9);
    for customer in 0..500 {
        let once = Arrival { customer, ..arrival(&format!("r{customer}"), "safe", "soft") };
        let mut out = rig.handle(Event::Request(once));
        for (name, add) in counts(&out) {
            out.extend(rig.counted(&name, Status::Ok, add));
        }
        for (id, server) in sends(&out) {
            rig.outcome(&id, 0, &server, Status::Ok);
        }
    }
    assert_eq!(rig.limiter.customer_count(), 500);
    rig.run(70_000.0);
    assert_eq!((rig.limiter.customer_count(), rig.limiter.open_request_count()), (0, 0));
}

/// The counter loses all counts of a plan without a ceiling. The customer is still served, and the units taken are
/// added again, so that it does not get its quota twice.
#[test]
fn lost_count_without_a_ceiling_is_corrected_while_requests_are_served() {
    let mut rig = Rig::new(settings(), 30);
    let (mut total, mut taken, mut sent, mut flushed) = (0.0_f64, 0.0, 0, false);
    for index in 0..40 {
        if index == 10 {
            (taken, total) = (total, 0.0);
        }
        let out = rig.request(&format!("r{index}"), "safe", "soft");
        sent += sends(&out).len();
        let mut counter_calls = counts(&out);
        while let Some((name, add)) = counter_calls.pop() {
            total += add;
            let out = rig.counted(&name, Status::Ok, total);
            flushed |= out.iter().any(|a| matches!(a, Action::Log(text) if text.contains("flushed")));
            counter_calls.extend(counts(&out));
            sent += sends(&out).len();
            for (id, server) in sends(&out) {
                rig.outcome(&id, 0, &server, Status::Ok);
            }
        }
    }
    assert!(flushed && taken > 5.0, "{taken} taken when the count was lost");
    // The bucket holds 20 and no time passes: at most that is sent, and the total includes all of it again.
    assert!((15..=21).contains(&sent), "{sent} sent out of a bucket of 20");
    assert!(total >= sent as f64 - 1.0, "total {total} for {sent} sent");
}
