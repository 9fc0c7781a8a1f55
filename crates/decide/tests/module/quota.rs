//! Quota leases: stores, batches, and books at the counter.

use crate::common::*;
use nickeljunction_decide::api::*;
use std::collections::BTreeMap;

#[test]
fn a_request_waits_for_its_lease_and_the_next_spends_the_batch() {
    let mut rig = Rig::new(settings(), 3);
    let (asked, out) = lease(&mut rig, "a", "soft");
    assert_eq!(asked.len(), 1, "one fetch in flight for a customer");
    assert!(asked[0].1 >= 1.0);
    assert_eq!(sends(&out).len(), 1);
}

#[test]
fn a_total_past_the_cap_is_handed_back_and_the_request_refused_with_advice() {
    let mut rig = Rig::new(settings(), 3);
    let (name, add) = counts(&rig.request("a", "safe", "soft")).remove(0);
    // 300 s of refill at most lie in a window of 30 s: this total is past any allowance.
    let out = rig.counted(&name, Status::Ok, 100_000.0 + add);
    assert!(sends(&out).is_empty());
    assert!(out
        .iter()
        .any(|action| matches!(action, Action::Refuse(id, pause) if id == "a" && *pause > 0.0)));
    assert!(counts(&out).contains(&(name, -add)), "{out:?}");
}

#[test]
fn a_total_far_past_the_cap_does_not_refuse_for_seconds() {
    let mut rig = Rig::new(settings(), 3);
    let (name, add) = counts(&rig.request("a", "safe", "soft")).remove(0);
    // Two doors put the same name right at once: for a moment the total is far too high.
    let back = counts(&rig.counted(&name, Status::Ok, 100_000.0 + add));
    back.iter().for_each(|(name, add)| drop(rig.counted(name, Status::Ok, 100_000.0 + add)));
    assert!(refused(&rig.request("b", "safe", "soft"), "b"), "known to be empty");
    rig.now += 150.0;
    assert!(!counts(&rig.request("c", "safe", "soft")).is_empty(), "a unit's time later it asks again");
}

/// On sockets a refused connection fails a call at once; asked again on its heels, the gateway span.
#[test]
fn books_to_be_put_right_are_not_asked_for_on_the_heels_of_a_failed_call() {
    for status in [Status::ConnectError, Status::QueueFull] {
        let mut rig = Rig::new(settings(), 3);
        let (name, add) = counts(&rig.request("a", "safe", "soft")).remove(0);
        let back = counts(&rig.counted(&name, Status::Ok, 100_000.0 + add));
        assert_eq!(back, [(name.clone(), -add)]);
        assert!(counts(&rig.counted(&name, status, 0.0)).is_empty(), "asked again at once");
        assert_eq!(counts(&rig.run(100.0)), back, "a sweep asks again, once");
    }
}

#[test]
fn an_idle_batch_stays_while_the_store_is_half_full() {
    let mut rig = Rig::new(settings(), 30);
    let (mut total, mut sent) = (0.0, 0);
    for at in 0..8 {
        let mut out = rig.request(&format!("r{at}"), "safe", "soft");
        while let Some((name, add)) = counts(&out).first().cloned() {
            sent += sends(&out).len();
            total += add;
            out = rig.counted(&name, Status::Ok, total);
        }
        sent += sends(&out).len();
    }
    assert_eq!(sent, 8);
    let back: f64 = counts(&rig.run(2_000.0)).iter().map(|(_, add)| add.min(0.0)).sum();
    assert_eq!(back, 0.0, "nobody lacks what lies idle while the store is half full");
}

#[test]
fn an_idle_batch_goes_back_while_the_store_is_low() {
    let mut rig = Rig::new(settings(), 30);
    let mut total = 0.0;
    for at in 0..8 {
        let mut out = rig.request(&format!("r{at}"), "safe", "soft");
        while let Some((name, add)) = counts(&out).first().cloned() {
            // The first answer finds the store overfull and puts it right; then another door has used 9 of 20.
            total += add;
            out = rig.counted(&name, Status::Ok, total);
            if at == 0 && counts(&out).is_empty() {
                total += 9.0;
            }
        }
    }
    let back: f64 = counts(&rig.run(1_000.0)).iter().map(|(_, add)| add.min(0.0)).sum();
    assert!(back <= -1.0, "units fetched ahead and not spent come off the total: {back}");
}

#[test]
fn a_ceiling_name_below_own_takes_grants_nothing() {
    let mut rig = Rig::new(settings(), 30);
    let (mut total, mut flushed) = (0.0, false);
    for at in 0..30 {
        // From the tenth request on the name has lost all that was taken before.
        total = if at == 10 { 0.0 } else { total };
        let mut asked = counts(&rig.request(&format!("r{at}"), "safe", "hard"));
        while let Some((name, add)) = asked.pop() {
            total += add;
            let out = rig.counted(&name, Status::Ok, total);
            if out.iter().any(|a| matches!(a, Action::Log(text) if text.contains("flushed"))) {
                assert!(sends(&out).is_empty(), "spent from a flushed name under a ceiling");
                flushed = true;
            }
            asked.extend(counts(&out));
        }
    }
    assert!(flushed, "the flush was seen");
}

/// While the counter is crowded a client's repeat was refused unasked, though the store was known to be all
/// but full.
fn repeats_let_in(doors: usize) -> usize {
    let mut rig = Rig::new(Settings { gateway_count: doors, ..settings() }, 30);
    let (mut sent, mut totals) = (0, BTreeMap::new());
    for at in 0..400u64 {
        rig.now += 100.0;
        let retry = at >= 100;
        let request = Arrival {
            customer: at % 4,
            gateways: doors,
            retry,
            ..arrival(&format!("r{at}"), "safe", "soft")
        };
        let mut out = rig.tell(Event::Request(request));
        let mut calls = counts(&out);
        while let Some((name, add)) = calls.pop() {
            // Mostly turned away; what totals there are tell of a store that is almost full.
            let status = if at < 10 || at % 5 == 0 { Status::Ok } else { Status::QueueFull };
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
fn a_store_known_to_have_room_serves_a_repeat_that_is_not_asked_for() {
    // (The others meet a new window, of which nothing is known yet.)
    let sent = repeats_let_in(2);
    assert!(sent >= 210, "{sent} of 300 repeats let in");
}

/// Through many doors that knowledge is old at once: what the others took since is not in it.
#[test]
fn what_one_of_many_doors_knows_of_a_store_is_not_trusted_for_long() {
    let sent = repeats_let_in(20);
    assert!(sent <= 30, "{sent} of 300 repeats let in");
}

/// What a full store of customer 5 on `soft` would have let go since its window began.
fn floor(rig: &Rig) -> f64 {
    0.01 * ((rig.now + (5.0 * 0.618_033_988_75_f64).fract() * 30_000.0) % 30_000.0)
}

/// A quarter of the store behind: put right by a call of its own at one of two doors. At one of a hundred, each of
/// which meets the name seldom, such calls were half of what the counter had to serve.
#[test]
fn through_many_doors_books_that_are_little_off_cost_no_call_of_their_own() {
    for (doors, expected) in [(2, true), (100, false)] {
        let mut rig = among_many(1);
        let out = rig.tell(Event::Request(Arrival { gateways: doors, ..arrival("r", "safe", "soft") }));
        let (name, add) = &counts(&out)[0];
        let out = rig.counted(name, Status::Ok, floor(&rig) - 5.0 + add);
        assert_eq!(sends(&out).len(), 1, "served");
        assert_eq!(!counts(&out).is_empty(), expected, "{doors} doors");
    }
}

/// A customer of a slow plan was left alone by a door for as long as all doors together need, which is minutes.
#[test]
fn a_store_found_empty_is_asked_for_again_once_it_could_be_full() {
    let mut rig = among_many(1);
    for (after, calls) in [(0.0, 1), (1_000.0, 0), (1_100.0, 1)] {
        rig.now += after;
        let large = Arrival { units: 6.0, gateways: 100, ..arrival(&format!("r{after}"), "safe", "soft") };
        let asked = counts(&rig.tell(Event::Request(large)));
        assert_eq!(asked.len(), calls, "{after} ms later");
        for (name, add) in asked {
            let total = floor(&rig) + 20.0;
            rig.counted(&name, Status::Ok, total + add);
            rig.counted(&name, Status::Ok, total);
        }
    }
}

/// A customer on `soft` asks 40 times a second, four times its quota, for 20 s through 60 doors. The quota lets 220
/// units go. Each door that saw room for one asked for it, and handed back what the others had taken first.
#[test]
fn a_store_found_empty_is_left_to_the_other_doors_and_is_still_used() {
    let doors = 60;
    let (mut rigs, mut rng) = (gateways(doors, 20), fastrand::Rng::with_seed(11));
    let (mut totals, mut calls, mut sent) = (BTreeMap::<String, f64>::new(), 0, 0);
    for at in 0..800 {
        let rig = &mut rigs[rng.usize(..doors)];
        rig.now = rig.now.max(100_000.0 + at as f64 * 25.0);
        let mut out = rig
            .tell(Event::Request(Arrival { gateways: doors, ..arrival(&format!("r{at}"), "safe", "soft") }));
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
fn units_of_a_call_that_was_answered_late_are_spent_and_those_of_one_never_answered_are_not() {
    for (total, calls) in [(Some(1.0), 0), (None, 1)] {
        let mut rig = Rig::new(settings(), 3);
        let (name, add) = counts(&rig.request("a", "safe", "soft")).remove(0);
        assert_eq!(add, 1.0);
        let out = rig.counted(&name, Status::TimedOut, 0.0);
        assert_eq!(sends(&out).len(), 1, "served out of the local share");
        // News of another window, or of a name that nobody knows, changes nothing.
        rig.tell(Event::LateCount("5.1".into(), Some(9.0)));
        rig.tell(Event::LateCount("77.1".into(), Some(9.0)));
        rig.tell(Event::LateCount(name, total));
        let out = rig.request("b", "safe", "soft");
        // What b is covered by, or what it asks for itself; books may be put right besides.
        let fetched = counts(&out).iter().filter(|(_, add)| *add >= 1.0).count();
        assert_eq!((fetched, sends(&out).len()), (calls, 1 - calls), "{total:?}: {out:?}");
    }
}

#[test]
fn customers_that_come_once_are_freed() {
    let mut rig = Rig::new(settings(), 9);
    for customer in 0..500 {
        let once = Arrival { customer, ..arrival(&format!("r{customer}"), "safe", "soft") };
        let mut out = rig.tell(Event::Request(once));
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

/// The counter loses all counts under a plan without a ceiling: the customer is served on, and what it had taken comes
/// back onto the books, so that it takes no second quota.
#[test]
fn a_flushed_name_without_a_ceiling_shuts_nobody_out_and_is_put_right() {
    let mut rig = Rig::new(settings(), 30);
    let (mut total, mut taken, mut sent, mut flushed) = (0.0_f64, 0.0, 0, false);
    for at in 0..40 {
        if at == 10 {
            (taken, total) = (total, 0.0);
        }
        let out = rig.request(&format!("r{at}"), "safe", "soft");
        sent += sends(&out).len();
        let mut asked = counts(&out);
        while let Some((name, add)) = asked.pop() {
            total += add;
            let out = rig.counted(&name, Status::Ok, total);
            flushed |= out.iter().any(|a| matches!(a, Action::Log(text) if text.contains("flushed")));
            asked.extend(counts(&out));
            sent += sends(&out).len();
            for (id, server) in sends(&out) {
                rig.outcome(&id, 0, &server, Status::Ok);
            }
        }
    }
    assert!(flushed && taken > 5.0, "{taken} taken when the name was flushed");
    // The store holds 20 and no time passes: at most that is sent, and the books tell of all of it again.
    assert!((15..=21).contains(&sent), "{sent} sent out of a store of 20");
    assert!(total >= sent as f64 - 1.0, "{total} on the books for {sent} sent");
}
