//! Single calls, by hand.

use nickeljunction_messages::{TenantUnits, UnitsAnswer, UnitsCall};
use nickeljunction_quota::{Allowance, Boost, BucketDepth, Counter, Limit, Spend, TenantUsage, Tuning};
use std::collections::BTreeMap;

fn limits(cap: u64) -> BTreeMap<String, Limit> {
    BTreeMap::from([("t".to_owned(), Limit { cap, pace: cap })])
}

fn tuning() -> Tuning {
    Tuning {
        bucket_depth: BucketDepth { divisor: 1, min: 4, max: 4 },
        boost: Boost { divisor: 1_000, extra: 2 },
        ..Tuning::new(5_000)
    }
}

type Log = BTreeMap<u64, String>;

fn counter(now: u64, term: u64, cap: u64, log: &Log) -> Counter {
    let mut counter = Counter::new(now, term, tuning(), log.clone());
    counter.set_limits(now, &limits(cap));
    counter
}

fn pair(cap: u64) -> (Counter, Allowance, Log) {
    let mut allowance = Allowance::new(0, "g", 7, tuning());
    allowance.set_limits(0, &limits(cap));
    allowance.leader_changed(0, 1);
    (counter(0, 1, cap, &Log::new()), allowance, Log::new())
}

/// As a leader does it.
fn call(counter: &mut Counter, log: &mut Log, now: u64, call: &UnitsCall, gateways: usize) -> UnitsAnswer {
    if let Some(roll) = counter.enrollment_for(now, call) {
        log.extend(roll.added);
        counter.set_logged_processes(log);
        counter.enrollment_committed(call.incarnation);
    }
    counter.handle_call(now, call, gateways)
}

#[test]
fn lost_answer_and_second_copy_lend_nothing_twice() {
    let (mut counter, mut allowance, mut log) = pair(80);
    let first = allowance.poll(0).unwrap();
    assert!(counter.handle_call(5, &first, 4).full_report_needed, "nothing for one that isn't on the log");
    let lost = call(&mut counter, &mut log, 5, &first, 4);
    assert_eq!((lost.tenants["t"].granted, lost.tenants["t"].initial_pace), (10, 10));
    assert_eq!(allowance.spend(6, "t"), Spend::Wait);
    allowance.failed(250);
    assert_eq!(allowance.spend(251, "t"), Spend::Wait, "its first units are on their way");
    let refused = allowance.give_up(259, "t");
    assert!(matches!(refused, Spend::Refused { retry_after_ms: 300.. }), "silent: loans alone, {refused:?}");
    // Its answer comes after all: the batch isn't taken.
    allowance.answered(260, &lost);
    assert_eq!(allowance.held(260, "t"), 0);
    let second = allowance.poll(400).unwrap();
    let answer = call(&mut counter, &mut log, 405, &second, 4);
    let lent = answer.tenants["t"].granted;
    assert_eq!(counter.used(405, "t"), lent, "what the first call was lent has come back");
    assert!(counter.handle_call(406, &second, 4).tenants.is_empty());
    assert!(counter.handle_call(407, &first, 4).tenants.is_empty());
    assert_eq!(counter.used(407, "t"), lent);
    allowance.answered(410, &answer);
    assert_eq!(allowance.spend(411, "t"), Spend::Done { from: 411, until: 511 });
    assert_eq!(allowance.spend(8_400, "t"), Spend::Wait, "too old");
    assert!(!allowance.spend_for_retry(8_400, "t"), "nor for a further try");
    assert_eq!(allowance.spend(8_400, "free"), Spend::Done { from: 0, until: u64::MAX });
}

#[test]
fn a_spent_unit_comes_back_to_its_loan_after_a_window_and_the_pace_holds_requests_up() {
    let (mut counter, mut allowance, mut log) = pair(80);
    let answer = call(&mut counter, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    allowance.answered(10, &answer);
    for _ in 0..4 {
        assert_eq!(allowance.spend(20, "t"), Spend::Done { from: 20, until: 120 });
    }
    // 10 units a window: one in 500 ms; those who would wait longer ask for more.
    assert_eq!(allowance.spend(400, "t"), Spend::Done { from: 520, until: 620 });
    assert_eq!(allowance.spend(400, "t"), Spend::Wait);
    assert!(!allowance.spend_for_retry(400, "t"), "nor is a further try within the pace");
    assert_eq!(allowance.held(400, "t"), 5);
    assert_eq!(allowance.held(5_149, "t"), 5);
    assert_eq!(allowance.held(5_150, "t"), 9, "a slot's end, the window and the time to write later");
}

#[test]
fn the_counter_allows_a_few_units_beyond_the_pace() {
    let (mut counter, mut allowance, mut log) = pair(80);
    let answer = call(&mut counter, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    allowance.answered(10, &answer);
    (0..4).for_each(|_| assert!(matches!(allowance.spend(20, "t"), Spend::Done { .. })));
    (0..3).for_each(|_| assert_eq!(allowance.spend(25, "t"), Spend::Wait));
    let ask = allowance.poll(allowance.next_wake().unwrap()).unwrap();
    assert_eq!(ask.tenants["t"].boost, 3);
    let answer = call(&mut counter, &mut log, 30, &ask, 4);
    assert_eq!(answer.tenants["t"].boost, 1, "a half of what is left, rounded up");
    allowance.answered(35, &answer);
    assert_eq!(allowance.spend(36, "t"), Spend::Done { from: 36, until: 136 });
    assert_eq!(allowance.spend(36, "t"), Spend::Wait);
    // A new counter can't know what the old one allowed.
    let mut second = self::counter(100, 2, 80, &log);
    allowance.leader_changed(120, 2);
    let all = allowance.poll(120).unwrap();
    assert!(all.tenants["t"].boost > 0);
    assert_eq!(call(&mut second, &mut log, 125, &all, 4).tenants["t"].boost, 0);
}

#[test]
fn the_pace_that_no_gateway_has_allows_units_beyond_the_paces() {
    let (mut counter, mut allowance, mut log) = pair(80);
    call(&mut counter, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    let mut seq = 1;
    let mut allowed = |now, boost| {
        seq += 1;
        let tenants =
            BTreeMap::from([("t".to_owned(), TenantUnits { loan: 10, boost, ..Default::default() })]);
        counter.handle_call(now, &UnitsCall { incarnation: 7, seq, tenants, ..Default::default() }, 4).tenants
            ["t"]
            .boost
    };
    assert_eq!([allowed(20, 9), allowed(40, 9), allowed(60, 9)], [1, 1, 0], "halves of two");
    assert_eq!(allowed(400, 9), 0, "they may still be on their way");
    // 70 of 80 units a window are nobody's pace: a unit in some 70 ms.
    assert_eq!([allowed(700, 9), allowed(720, 9), allowed(740, 9)], [1, 1, 0]);
}

#[test]
fn what_an_older_counter_allowed_beyond_the_pace_is_held_back_when_its_life_ends() {
    for (tells_boosted, boosted, held_back) in [(true, 0, 0), (true, 1, 1), (false, 0, 2)] {
        let log = Log::from([(7, "g".to_owned())]);
        let mut counter = counter(0, 2, 80, &log);
        let tenants =
            BTreeMap::from([("t".to_owned(), TenantUnits { loan: 10, boosted, ..Default::default() })]);
        let name = "g".to_owned();
        let all = UnitsCall {
            incarnation: 7,
            seq: 1,
            is_full_report: true,
            counter_term: 2,
            name,
            reports_boosted: tells_boosted,
            ..Default::default()
        };
        counter.handle_call(0, &UnitsCall { tenants, ..all.clone() }, 4);
        counter.handle_call(100, &UnitsCall { seq: 2, is_final: true, ..all }, 4);
        // Of its last moments, at the end of the window: its bucket, a unit of its pace, and those beyond it.
        assert_eq!(counter.usage_by_tenant(100 + 5_000)["t"].held_for_ended, 4 + 1 + held_back);
    }
}

#[test]
fn units_of_a_silent_gateway_count_for_its_life_and_less_over_a_window() {
    let (mut counter, mut allowance, mut log) = pair(80);
    let answer = call(&mut counter, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    allowance.answered(10, &answer);
    assert_eq!(counter.used(8_004, "t"), 10);
    // At its pace it can have spent as much in the rest of the window.
    assert_eq!(counter.used(8_005 + 4_100, "t"), 4 + 2);
    let held = TenantUsage {
        cap: 80,
        lent: 0,
        held_for_ended: 4 + 2,
        held_for_unreported: 0,
        held_back_ms: Some(4_100),
    };
    assert_eq!(counter.usage_by_tenant(8_005 + 4_100)["t"], held);
    assert_eq!(counter.used(8_005 + 5_099, "t"), 4 + 1);
    assert_eq!(counter.used(8_005 + 5_100, "t"), 0);
    assert_eq!(counter.removable_processes(13_105).unwrap().removed, [7], "it may leave the log");
    let again = allowance.poll(13_106).unwrap();
    assert!(counter.handle_call(13_110, &again, 4).full_report_needed, "nothing for one that leaves the log");
}

#[test]
fn a_new_counter_holds_back_what_lives_on_the_log_may_have_until_they_tell() {
    let (mut counter_1, mut allowance, mut log) = pair(80);
    let answer = call(&mut counter_1, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    allowance.answered(10, &answer);
    (0..4).for_each(|_| assert!(matches!(allowance.spend(20, "t"), Spend::Done { .. })));
    let mut counter = counter(900, 2, 80, &log);
    assert_eq!(counter.used(900, "t"), 80);
    let held =
        TenantUsage { cap: 80, lent: 0, held_for_ended: 0, held_for_unreported: 80, held_back_ms: Some(30) };
    assert_eq!(counter.usage_by_tenant(930)["t"], held);
    allowance.leader_changed(950, 2);
    let all = allowance.poll(950).unwrap();
    assert!(all.is_full_report);
    let answer = call(&mut counter, &mut log, 960, &all, 4);
    assert_eq!(counter.used(960, "t"), 10 + answer.tenants["t"].granted, "the only life has told");
    // Its machine comes back with another process: what the first one had goes with the window.
    let mut reborn = Allowance::new(2_000, "g", 8, tuning());
    reborn.set_limits(2_000, &limits(80));
    reborn.leader_changed(2_000, 3);
    let mut third = self::counter(2_500, 3, 80, &log);
    let answer = call(&mut third, &mut log, 2_600, &reborn.poll(2_600).unwrap(), 4);
    // Of the process that is gone: its depth, and the cap's pace over 4.5 s of the window, and what was allowed beyond.
    assert_eq!(third.used(2_600, "t"), 4 + 72 + 2 + answer.tenants["t"].granted);
    // The old counter's word is out of date from now on.
    allowance.answered(2_605, &UnitsAnswer { seq: all.seq, term: 2, ..UnitsAnswer::default() });
    allowance.leader_changed(2_610, 3);
    let late = allowance.poll(2_610).unwrap();
    let held = allowance.held(2_620, "t");
    allowance.answered(2_620, &UnitsAnswer { seq: late.seq, term: 2, ..UnitsAnswer::default() });
    assert_eq!(allowance.held(2_620, "t"), held);
}

/// A pair whose first call is held up on its way: that call, and the pair after the second one was answered at 410 ms.
fn overtaken(cap: u64) -> (UnitsCall, Counter, Allowance, Log) {
    let (mut counter, mut allowance, mut log) = pair(cap);
    let late = allowance.poll(0).unwrap();
    allowance.failed(250);
    let second = allowance.poll(400).unwrap();
    let answer = call(&mut counter, &mut log, 405, &second, 4);
    allowance.answered(410, &answer);
    (late, counter, allowance, log)
}

#[test]
fn a_call_that_comes_after_its_life_has_ended_changes_nothing() {
    let (late, mut counter, _, _) = overtaken(80);
    assert_eq!(counter.used(8_405 + 1_000, "t"), 10, "its units are in force for a window");
    assert!(counter.handle_call(8_405 + 1_000, &late, 4).tenants.is_empty());
    assert_eq!(counter.used(8_405 + 1_000, "t"), 10);
}

#[test]
fn a_call_that_was_meant_for_another_counter_is_told_anew() {
    let (late, _, mut allowance, mut log) = overtaken(80);
    assert_eq!(allowance.held(410, "t"), 10);
    let mut counter = self::counter(500, 2, 80, &log);
    assert!(call(&mut counter, &mut log, 510, &late, 4).full_report_needed);
    assert_eq!(counter.used(510, "t"), 80, "what it told was of before the ten units");
    allowance.leader_changed(520, 2);
    call(&mut counter, &mut log, 530, &allowance.poll(520).unwrap(), 4);
    assert_eq!(counter.used(530, "t"), 10);
}

#[test]
fn a_new_counter_tells_until_when_it_holds_back_for_lives_that_never_tell() {
    let (held, mut log) = (counter(100, 2, 40, &Log::new()).takeover_ms(), Log::new());
    assert_eq!(held, 0, "nobody has had a unit");
    log.insert(7, "g".to_owned());
    let mut new = counter(100, 2, 40, &log);
    let held = new.takeover_ms();
    assert!(new.used(100, "t") > 0);
    assert!(new.used(100 + held * 2 / 3, "t") > 0, "it does not tell far too much");
    assert_eq!(new.used(100 + held, "t"), 0);
}

/// A counter that follows another one with this limit; 7 and 8 are on the log, and 7 has told what the old one lent it.
fn followed(cap: u64, pace: u64, loan: u64, over: u64) -> Counter {
    let log = Log::from([(7, "g".to_owned()), (8, "h".to_owned())]);
    let mut counter = Counter::new(1_000, 2, tuning(), log);
    counter.set_limits(1_000, &BTreeMap::from([("t".to_owned(), Limit { cap, pace })]));
    assert!(!counter.handle_call(1_010, &tells(1, loan, over, 0), 2).full_report_needed);
    counter
}

fn tells(seq: u64, loan: u64, over: u64, want: u64) -> UnitsCall {
    let units = TenantUnits { loan, unspendable: over, requested: want, ..TenantUnits::default() };
    let (all, to) = (seq == 1, if seq == 1 { 2 } else { 0 });
    let tenants = BTreeMap::from([("t".to_owned(), units)]);
    UnitsCall {
        incarnation: 7,
        seq,
        is_full_report: all,
        counter_term: to,
        name: "g".into(),
        tenants,
        ..UnitsCall::default()
    }
}

fn lent(counter: &mut Counter, now: u64, call: &UnitsCall) -> u64 {
    counter.handle_call(now, call, 2).tenants["t"].granted
}

#[test]
fn what_was_spent_under_a_higher_limit_leaves_the_silent_no_less() {
    let (mut counter_1, mut allowance, mut log) = pair(80);
    let answer = call(&mut counter_1, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    allowance.answered(10, &answer);
    (0..4).for_each(|_| assert!(matches!(allowance.spend(20, "t"), Spend::Done { .. })));
    allowance.set_limits(30, &limits(16));
    allowance.leader_changed(40, 2);
    let told = allowance.poll(40).unwrap().tenants["t"].clone();
    assert_eq!((told.loan, told.unspendable), (4, 2), "four are spent, two may be");
    // As 12 are spent and 2 may be, the other one may have 10 of 12.
    let mut counter = followed(12, 12, 12, 10);
    assert_eq!(lent(&mut counter, 6_000, &tells(2, 2, 0, 6)), 0);
}

#[test]
fn a_limit_lowered_after_a_takeover_cuts_what_the_silent_may_have_by_its_part() {
    let mut counter = followed(80, 80, 60, 0);
    assert_eq!(counter.used(1_020, "t"), 80);
    counter.set_limits(1_030, &limits(40));
    assert_eq!(counter.used(1_030, "t"), 60 + 10);
    assert_eq!(lent(&mut counter, 1_040, &tells(2, 30, 0, 6)), 0, "10 are the other one's");
    // What 8 has spent, should it have ended, is not cut with the pace alone.
    let mut counter = followed(80, 80, 60, 0);
    counter.set_limits(1_030, &BTreeMap::from([("t".to_owned(), Limit { cap: 80, pace: 40 })]));
    assert_eq!(counter.used(1_030, "t"), 80);
}

#[test]
fn lives_that_ended_before_a_takeover_count_beside_the_paces_of_those_who_live() {
    let mut counter = followed(80, 40, 40, 0);
    assert_eq!(counter.used(1_020, "t"), 80, "8 may have spent 40 before 7 had as many");
    assert_eq!(lent(&mut counter, 1_040, &tells(2, 20, 0, 30)), 10, "half of what 7 gives back");
}

#[test]
fn a_lower_cap_with_a_higher_pace_lends_nothing() {
    let (mut counter, mut allowance, mut log) = pair(40);
    let answer = call(&mut counter, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    allowance.answered(10, &answer);
    let held = allowance.held(20, "t");
    let limit = |cap, pace| BTreeMap::from([("t".to_owned(), Limit { cap, pace })]);
    allowance.set_limits(20, &limit(80, 20));
    let cut = allowance.held(20, "t");
    assert!(0 < cut && cut < held);
    allowance.set_limits(30, &limit(70, 60));
    assert_eq!(allowance.held(30, "t"), cut);
}

/// One of ten gateways before a tenant whose cap is a unit for each.
fn one_of_ten() -> (Counter, Allowance, Log) {
    let (mut counter, mut allowance, mut log) = pair(10);
    allowance.set_gateway_count(10);
    let start = allowance.poll(0).unwrap();
    let answer = call(&mut counter, &mut log, 5, &start, 10);
    allowance.answered(10, &answer);
    assert_eq!(counter.used(10, "t"), 0, "nothing before it is asked for");
    (counter, allowance, log)
}

#[test]
fn a_thinly_spread_unit_is_lent_to_the_request_that_waits_and_goes_back_after_its_window() {
    let (mut counter, mut allowance, mut log) = one_of_ten();
    assert_eq!(allowance.spend(500, "t"), Spend::Wait);
    let asks = allowance.poll(500).unwrap();
    assert_eq!((asks.tenants["t"].requested, asks.tenants["t"].loan), (1, 0));
    let answer = call(&mut counter, &mut log, 505, &asks, 10);
    assert_eq!((answer.tenants["t"].granted, answer.tenants["t"].initial_pace), (1, 0));
    allowance.answered(510, &answer);
    assert!(matches!(allowance.spend(510, "t"), Spend::Done { from: 510, .. }));
    let refreshes = allowance.poll(2_600).unwrap();
    assert!(refreshes.tenants.is_empty(), "it is spent, and stays in force");
    allowance.answered(2_610, &call(&mut counter, &mut log, 2_605, &refreshes, 10));
    assert_eq!(counter.used(2_610, "t"), 1);
    let gives_back = allowance.poll(5_700).unwrap();
    assert_eq!(gives_back.tenants["t"], TenantUnits::default());
    let answer = call(&mut counter, &mut log, 5_705, &gives_back, 10);
    assert!(answer.tenants.is_empty(), "no word is needed");
    assert_eq!(counter.used(5_705, "t"), 0);
}

#[test]
fn a_request_that_waits_on_through_another_answer_is_counted_once() {
    let (mut counter, mut allowance, mut log) = one_of_ten();
    let refreshes = allowance.poll(2_000).unwrap();
    assert_eq!(allowance.spend(2_001, "t"), Spend::Wait);
    allowance.answered(2_010, &call(&mut counter, &mut log, 2_005, &refreshes, 10));
    assert_eq!(allowance.spend(2_010, "t"), Spend::Wait);
    assert_eq!(allowance.poll(2_030).unwrap().tenants["t"].requested, 1);
}

#[test]
fn a_request_that_gave_up_is_asked_for_no_more() {
    let (_, mut allowance, _) = one_of_ten();
    (0..2).for_each(|_| assert_eq!(allowance.spend(500, "t"), Spend::Wait));
    assert!(matches!(allowance.give_up(510, "t"), Spend::Refused { .. }));
    assert_eq!(allowance.poll(520).unwrap().tenants["t"].requested, 1, "for the other one");
}

#[test]
fn a_request_whose_call_is_under_way_at_the_time_out_may_wait_for_its_answer() {
    let (_, mut allowance, _) = one_of_ten();
    assert_eq!(allowance.spend(500, "t"), Spend::Wait);
    assert!(!allowance.is_fetching("t", 500), "no call yet");
    allowance.poll(640).unwrap();
    assert!(allowance.is_fetching("t", 500));
    assert!(!allowance.is_fetching("t", 641), "it came after the call went out");
    allowance.failed(900);
    assert!(!allowance.is_fetching("t", 500));
}
