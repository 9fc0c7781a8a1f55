//! Sequences of single calls between a counter and an allowance.

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

fn counter_and_allowance(cap: u64) -> (Counter, Allowance, Log) {
    let mut allowance = Allowance::new(0, "g", 7, tuning());
    allowance.set_limits(0, &limits(cap));
    allowance.leader_changed(0, 1);
    (counter(0, 1, cap, &Log::new()), allowance, Log::new())
}

/// Commits the enrollment and handles the call, as the leader's driver does.
fn enroll_and_call(
    counter: &mut Counter,
    log: &mut Log,
    now: u64,
    call: &UnitsCall,
    gateways: usize,
) -> UnitsAnswer {
    if let Some(change) = counter.enrollment_for(now, call) {
        log.extend(change.added);
        counter.set_logged_processes(log);
        counter.enrollment_committed(call.incarnation);
    }
    counter.handle_call(now, call, gateways)
}

#[test]
fn lost_answer_and_duplicated_call_lend_nothing_twice() {
    let (mut counter, mut allowance, mut log) = counter_and_allowance(80);
    let first = allowance.poll(0).unwrap();
    assert!(
        counter.handle_call(5, &first, 4).full_report_needed,
        "nothing is lent to a process that is not in the log"
    );
    let lost = enroll_and_call(&mut counter, &mut log, 5, &first, 4);
    assert_eq!((lost.tenants["t"].granted, lost.tenants["t"].initial_pace), (10, 10));
    assert_eq!(allowance.spend(6, "t"), Spend::Wait);
    allowance.failed(250);
    assert_eq!(allowance.spend(251, "t"), Spend::Wait, "waits for its first units");
    let refused = allowance.give_up(259, "t");
    assert!(
        matches!(refused, Spend::Refused { retry_after_ms: 300.. }),
        "refused while the counter does not answer: {refused:?}"
    );
    // The lost answer arrives after its time-out and must be ignored.
    allowance.answered(260, &lost);
    assert_eq!(allowance.held(260, "t"), 0);
    let second = allowance.poll(400).unwrap();
    let answer = enroll_and_call(&mut counter, &mut log, 405, &second, 4);
    let lent = answer.tenants["t"].granted;
    assert_eq!(counter.used(405, "t"), lent, "the units lent to the first call are free again");
    assert!(counter.handle_call(406, &second, 4).tenants.is_empty());
    assert!(counter.handle_call(407, &first, 4).tenants.is_empty());
    assert_eq!(counter.used(407, "t"), lent);
    allowance.answered(410, &answer);
    assert_eq!(allowance.spend(411, "t"), Spend::Done { from: 411, until: 511 });
    assert_eq!(allowance.spend(8_400, "t"), Spend::Wait, "the lease has ended");
    assert!(!allowance.spend_for_retry(8_400, "t"), "no unit for a further attempt either");
    assert_eq!(allowance.spend(8_400, "free"), Spend::Done { from: 0, until: u64::MAX });
}

#[test]
fn spent_unit_returns_to_its_loan_after_a_window_and_the_pace_delays_requests() {
    let (mut counter, mut allowance, mut log) = counter_and_allowance(80);
    let answer = enroll_and_call(&mut counter, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    allowance.answered(10, &answer);
    for _ in 0..4 {
        assert_eq!(allowance.spend(20, "t"), Spend::Done { from: 20, until: 120 });
    }
    // 10 units a window are one in 500 ms. A request that would wait longer causes a call for more.
    assert_eq!(allowance.spend(400, "t"), Spend::Done { from: 520, until: 620 });
    assert_eq!(allowance.spend(400, "t"), Spend::Wait);
    assert!(!allowance.spend_for_retry(400, "t"), "a further attempt exceeds the pace, too");
    assert_eq!(allowance.held(400, "t"), 5);
    assert_eq!(allowance.held(5_149, "t"), 5);
    assert_eq!(
        allowance.held(5_150, "t"),
        9,
        "after the end of the slot, the window and the maximum write delay"
    );
}

#[test]
fn counter_grants_a_few_units_beyond_the_pace() {
    let (mut counter, mut allowance, mut log) = counter_and_allowance(80);
    let answer = enroll_and_call(&mut counter, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    allowance.answered(10, &answer);
    (0..4).for_each(|_| assert!(matches!(allowance.spend(20, "t"), Spend::Done { .. })));
    (0..3).for_each(|_| assert_eq!(allowance.spend(25, "t"), Spend::Wait));
    let fetch = allowance.poll(allowance.next_wake().unwrap()).unwrap();
    assert_eq!(fetch.tenants["t"].boost, 3);
    let answer = enroll_and_call(&mut counter, &mut log, 30, &fetch, 4);
    assert_eq!(answer.tenants["t"].boost, 1, "half of the remaining units, rounded up");
    allowance.answered(35, &answer);
    assert_eq!(allowance.spend(36, "t"), Spend::Done { from: 36, until: 136 });
    assert_eq!(allowance.spend(36, "t"), Spend::Wait);
    // A new counter does not know what the old one granted beyond the pace, so it grants nothing at first.
    let mut second = self::counter(100, 2, 80, &log);
    allowance.leader_changed(120, 2);
    let all = allowance.poll(120).unwrap();
    assert!(all.tenants["t"].boost > 0);
    assert_eq!(enroll_and_call(&mut second, &mut log, 125, &all, 4).tenants["t"].boost, 0);
}

#[test]
fn unused_pace_allows_units_beyond_the_paces() {
    let (mut counter, mut allowance, mut log) = counter_and_allowance(80);
    enroll_and_call(&mut counter, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    let mut seq = 1;
    let mut allowed = |now, boost| {
        seq += 1;
        let tenants =
            BTreeMap::from([("t".to_owned(), TenantUnits { loan: 10, boost, ..Default::default() })]);
        counter.handle_call(now, &UnitsCall { incarnation: 7, seq, tenants, ..Default::default() }, 4).tenants
            ["t"]
            .boost
    };
    assert_eq!(
        [allowed(20, 9), allowed(40, 9), allowed(60, 9)],
        [1, 1, 0],
        "half of the remaining two, rounded up, each time"
    );
    assert_eq!(allowed(400, 9), 0, "the granted units may still be in flight");
    // No gateway has 70 of the 80 units a window: that is one unit in about 70 ms.
    assert_eq!([allowed(700, 9), allowed(720, 9), allowed(740, 9)], [1, 1, 0]);
}

#[test]
fn units_an_older_counter_granted_beyond_the_pace_are_held_back_when_their_process_ends() {
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
        // At the end of the window, what it may have spent last is held back: its bucket, one unit of its pace, and the
        // units beyond the pace.
        assert_eq!(counter.usage_by_tenant(100 + 5_000)["t"].held_for_ended, 4 + 1 + held_back);
    }
}

#[test]
fn units_of_a_silent_gateway_are_held_for_its_lease_and_decay_over_a_window() {
    let (mut counter, mut allowance, mut log) = counter_and_allowance(80);
    let answer = enroll_and_call(&mut counter, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    allowance.answered(10, &answer);
    assert_eq!(counter.used(8_004, "t"), 10);
    // Its bucket, and the units that its pace allowed in the part of the window still in force.
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
    assert_eq!(
        counter.removable_processes(13_105).unwrap().removed,
        [7],
        "its process may be removed from the log"
    );
    let again = allowance.poll(13_106).unwrap();
    assert!(
        counter.handle_call(13_110, &again, 4).full_report_needed,
        "nothing is lent to a process whose removal is pending"
    );
}

#[test]
fn new_counter_holds_units_back_for_logged_processes_until_they_report() {
    let (mut counter_1, mut allowance, mut log) = counter_and_allowance(80);
    let answer = enroll_and_call(&mut counter_1, &mut log, 5, &allowance.poll(0).unwrap(), 4);
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
    let answer = enroll_and_call(&mut counter, &mut log, 960, &all, 4);
    assert_eq!(counter.used(960, "t"), 10 + answer.tenants["t"].granted, "the only process has reported");
    // Another process starts on its machine: the units of the first one expire with the window.
    let mut restarted = Allowance::new(2_000, "g", 8, tuning());
    restarted.set_limits(2_000, &limits(80));
    restarted.leader_changed(2_000, 3);
    let mut third = self::counter(2_500, 3, 80, &log);
    let answer = enroll_and_call(&mut third, &mut log, 2_600, &restarted.poll(2_600).unwrap(), 4);
    // Held back for the ended process: its bucket, the cap's pace over 4.5 s of the window, and two units beyond the
    // pace.
    assert_eq!(third.used(2_600, "t"), 4 + 72 + 2 + answer.tenants["t"].granted);
    // Answers of the old counter are ignored from now on.
    allowance.answered(2_605, &UnitsAnswer { seq: all.seq, term: 2, ..UnitsAnswer::default() });
    allowance.leader_changed(2_610, 3);
    let delayed = allowance.poll(2_610).unwrap();
    let held = allowance.held(2_620, "t");
    allowance.answered(2_620, &UnitsAnswer { seq: delayed.seq, term: 2, ..UnitsAnswer::default() });
    assert_eq!(allowance.held(2_620, "t"), held);
}

/// A first call that is delayed, and counter and allowance after the second call was answered at 410 ms.
fn overtaken_call(cap: u64) -> (UnitsCall, Counter, Allowance, Log) {
    let (mut counter, mut allowance, mut log) = counter_and_allowance(cap);
    let delayed = allowance.poll(0).unwrap();
    allowance.failed(250);
    let second = allowance.poll(400).unwrap();
    let answer = enroll_and_call(&mut counter, &mut log, 405, &second, 4);
    allowance.answered(410, &answer);
    (delayed, counter, allowance, log)
}

#[test]
fn call_that_arrives_after_its_process_ended_changes_nothing() {
    let (delayed, mut counter, _, _) = overtaken_call(80);
    assert_eq!(counter.used(8_405 + 1_000, "t"), 10, "its units stay in force for a window");
    assert!(counter.handle_call(8_405 + 1_000, &delayed, 4).tenants.is_empty());
    assert_eq!(counter.used(8_405 + 1_000, "t"), 10);
}

#[test]
fn report_addressed_to_another_counter_must_be_repeated() {
    let (delayed, _, mut allowance, mut log) = overtaken_call(80);
    assert_eq!(allowance.held(410, "t"), 10);
    let mut counter = self::counter(500, 2, 80, &log);
    assert!(enroll_and_call(&mut counter, &mut log, 510, &delayed, 4).full_report_needed);
    assert_eq!(counter.used(510, "t"), 80, "the report predates the loan of ten units");
    allowance.leader_changed(520, 2);
    enroll_and_call(&mut counter, &mut log, 530, &allowance.poll(520).unwrap(), 4);
    assert_eq!(counter.used(530, "t"), 10);
}

#[test]
fn takeover_time_covers_processes_that_never_report() {
    let (takeover_ms, mut log) = (counter(100, 2, 40, &Log::new()).takeover_ms(), Log::new());
    assert_eq!(takeover_ms, 0, "no process was lent to");
    log.insert(7, "g".to_owned());
    let mut new = counter(100, 2, 40, &log);
    let takeover_ms = new.takeover_ms();
    assert!(new.used(100, "t") > 0);
    assert!(new.used(100 + takeover_ms * 2 / 3, "t") > 0, "the time is not far too long");
    assert_eq!(new.used(100 + takeover_ms, "t"), 0);
}

/// A counter with a predecessor under the same limit. Processes 7 and 8 are in the log, and 7 has reported what the
/// predecessor lent to it.
fn successor_counter(cap: u64, pace: u64, loan: u64, over: u64) -> Counter {
    let log = Log::from([(7, "g".to_owned()), (8, "h".to_owned())]);
    let mut counter = Counter::new(1_000, 2, tuning(), log);
    counter.set_limits(1_000, &BTreeMap::from([("t".to_owned(), Limit { cap, pace })]));
    assert!(!counter.handle_call(1_010, &report(1, loan, over, 0), 2).full_report_needed);
    counter
}

fn report(seq: u64, loan: u64, over: u64, want: u64) -> UnitsCall {
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

fn granted(counter: &mut Counter, now: u64, call: &UnitsCall) -> u64 {
    counter.handle_call(now, call, 2).tenants["t"].granted
}

#[test]
fn units_spent_under_a_higher_limit_do_not_reduce_what_unreported_processes_may_have() {
    let (mut counter_1, mut allowance, mut log) = counter_and_allowance(80);
    let answer = enroll_and_call(&mut counter_1, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    allowance.answered(10, &answer);
    (0..4).for_each(|_| assert!(matches!(allowance.spend(20, "t"), Spend::Done { .. })));
    allowance.set_limits(30, &limits(16));
    allowance.leader_changed(40, 2);
    let reported = allowance.poll(40).unwrap().tenants["t"].clone();
    assert_eq!((reported.loan, reported.unspendable), (4, 2), "four are spent, two may still be spent");
    // 12 are spent and 2 may still be spent, so the other process may have 10 of 12.
    let mut counter = successor_counter(12, 12, 12, 10);
    assert_eq!(granted(&mut counter, 6_000, &report(2, 2, 0, 6)), 0);
}

#[test]
fn limit_lowered_after_a_takeover_reduces_what_unreported_processes_may_have() {
    let mut counter = successor_counter(80, 80, 60, 0);
    assert_eq!(counter.used(1_020, "t"), 80);
    counter.set_limits(1_030, &limits(40));
    assert_eq!(counter.used(1_030, "t"), 60 + 10);
    assert_eq!(granted(&mut counter, 1_040, &report(2, 30, 0, 6)), 0, "10 may be lent to the other process");
    // If process 8 has ended, a lower pace alone does not reduce what it has spent.
    let mut counter = successor_counter(80, 80, 60, 0);
    counter.set_limits(1_030, &BTreeMap::from([("t".to_owned(), Limit { cap: 80, pace: 40 })]));
    assert_eq!(counter.used(1_030, "t"), 80);
}

#[test]
fn processes_that_ended_before_a_takeover_count_in_addition_to_running_ones() {
    let mut counter = successor_counter(80, 40, 40, 0);
    assert_eq!(counter.used(1_020, "t"), 80, "process 8 may have spent 40 before process 7 was lent 40");
    assert_eq!(granted(&mut counter, 1_040, &report(2, 20, 0, 30)), 10, "half of what process 7 returns");
}

#[test]
fn lower_cap_with_a_higher_pace_does_not_raise_the_loan() {
    let (mut counter, mut allowance, mut log) = counter_and_allowance(40);
    let answer = enroll_and_call(&mut counter, &mut log, 5, &allowance.poll(0).unwrap(), 4);
    allowance.answered(10, &answer);
    let held = allowance.held(20, "t");
    let limit = |cap, pace| BTreeMap::from([("t".to_owned(), Limit { cap, pace })]);
    allowance.set_limits(20, &limit(80, 20));
    let reduced = allowance.held(20, "t");
    assert!(0 < reduced && reduced < held);
    allowance.set_limits(30, &limit(70, 60));
    assert_eq!(allowance.held(30, "t"), reduced);
}

/// One of ten gateways and a tenant whose cap is one unit for each.
fn one_of_ten() -> (Counter, Allowance, Log) {
    let (mut counter, mut allowance, mut log) = counter_and_allowance(10);
    allowance.set_gateway_count(10);
    let start = allowance.poll(0).unwrap();
    let answer = enroll_and_call(&mut counter, &mut log, 5, &start, 10);
    allowance.answered(10, &answer);
    assert_eq!(counter.used(10, "t"), 0, "no unit is lent before one is requested");
    (counter, allowance, log)
}

#[test]
fn unit_on_demand_is_lent_to_a_waiting_request_and_returned_after_its_window() {
    let (mut counter, mut allowance, mut log) = one_of_ten();
    assert_eq!(allowance.spend(500, "t"), Spend::Wait);
    let fetch = allowance.poll(500).unwrap();
    assert_eq!((fetch.tenants["t"].requested, fetch.tenants["t"].loan), (1, 0));
    let answer = enroll_and_call(&mut counter, &mut log, 505, &fetch, 10);
    assert_eq!((answer.tenants["t"].granted, answer.tenants["t"].initial_pace), (1, 0));
    allowance.answered(510, &answer);
    assert!(matches!(allowance.spend(510, "t"), Spend::Done { from: 510, .. }));
    let refresh = allowance.poll(2_600).unwrap();
    assert!(refresh.tenants.is_empty(), "the unit is spent and stays in force");
    allowance.answered(2_610, &enroll_and_call(&mut counter, &mut log, 2_605, &refresh, 10));
    assert_eq!(counter.used(2_610, "t"), 1);
    let returning = allowance.poll(5_700).unwrap();
    assert_eq!(returning.tenants["t"], TenantUnits::default());
    let answer = enroll_and_call(&mut counter, &mut log, 5_705, &returning, 10);
    assert!(answer.tenants.is_empty(), "a call that only returns units needs no grant");
    assert_eq!(counter.used(5_705, "t"), 0);
}

#[test]
fn request_that_keeps_waiting_after_an_answer_is_counted_once() {
    let (mut counter, mut allowance, mut log) = one_of_ten();
    let refresh = allowance.poll(2_000).unwrap();
    assert_eq!(allowance.spend(2_001, "t"), Spend::Wait);
    allowance.answered(2_010, &enroll_and_call(&mut counter, &mut log, 2_005, &refresh, 10));
    assert_eq!(allowance.spend(2_010, "t"), Spend::Wait);
    assert_eq!(allowance.poll(2_030).unwrap().tenants["t"].requested, 1);
}

#[test]
fn no_unit_is_requested_after_a_request_gave_up() {
    let (_, mut allowance, _) = one_of_ten();
    (0..2).for_each(|_| assert_eq!(allowance.spend(500, "t"), Spend::Wait));
    assert!(matches!(allowance.give_up(510, "t"), Spend::Refused { .. }));
    assert_eq!(allowance.poll(520).unwrap().tenants["t"].requested, 1, "for the other request");
}

#[test]
fn call_in_flight_for_a_waiting_request_is_reported() {
    let (_, mut allowance, _) = one_of_ten();
    assert_eq!(allowance.spend(500, "t"), Spend::Wait);
    assert!(!allowance.is_fetching("t", 500), "no call yet");
    allowance.poll(640).unwrap();
    assert!(allowance.is_fetching("t", 500));
    assert!(!allowance.is_fetching("t", 641), "the request came after the call was sent");
    allowance.failed(900);
    assert!(!allowance.is_fetching("t", 500));
}
