//! The check on made-up days: one that keeps all rules, and for each rule days that break it.

use super::stages::{jain, own_crossing};
use super::*;
use crate::ebb_demo::record::{attempt, Away, End, Run, Try, BOOKING, FIRST, KINDS, LAPSED, OTHER};
use crate::ebb_demo::{plot, scene, table, traffic, waits};

/// Stages as the field sees them: entered at 6.3 s and each 4 s after, one down at 27.3 s and each 4 s after. Reached over a
/// second each, as gateways do. `late`: this gateway enters all of it so much later, ms.
fn wait(at: f64, rank: u32, late: f64) -> f64 {
    let stages = scene::waits();
    let of = |stage: usize| match (stage.checked_sub(1), rank) {
        (Some(at), FIRST) => stages[at].0,
        (Some(at), rank) if rank < BOOKING => stages[at].1,
        _ => 0.0,
    };
    let up = (1..=4).map(|stage| (6_300.0 + 4_000.0 * (stage - 1) as f64, stage - 1, stage));
    let down = (0..4).map(|step| (27_300.0 + 4_000.0 * step as f64, 4 - step, 3 - step));
    let mut now = 0.0;
    for (begin, from, to) in up.chain(down) {
        let part = ((at - late - begin) / 1_000.0).clamp(0.0, 1.0);
        if part > 0.0 {
            now = of(from) + (of(to) - of(from)) * part;
        }
    }
    now
}

/// A day as it should be, but for what `spoil` makes of each try's added wait, ms.
fn day(spoil: impl Fn(&Try, f64) -> f64) -> Log {
    let end = 46_000.0;
    let plan = traffic::draw(7, end, false);
    let mut log = Log {
        gateways: (1..=scene::GATEWAYS).map(|number| format!("edge-{number}")).collect(),
        stages: scene::waits(),
        stage_ms: scene::stage_ms(),
        planned: plan.len() as u32,
        lapse: 6_000.0,
        restore: 27_000.0,
        end,
        away: vec![Away { gateway: 2, from: 15_000.0, until: 18_200.0 }],
        ..Log::default()
    };
    for due in plan {
        let noise = 1.0 + f64::from(due.request % 7);
        let mut one = Try {
            request: due.request,
            number: 0,
            kind: due.kind,
            tenant: due.tenant,
            gateway: due.gateway,
            leaver: due.leaves_ms.is_some(),
            as_told: false,
            due: due.at,
            sent: due.at,
            ended: due.at + 1.0,
            end: End::NoConnection,
        };
        if due.gateway == 2 && (15_000.0..18_200.0).contains(&due.at) {
            log.tries.push(one);
            one = Try { number: 1, gateway: 3, sent: due.at + 20.0, ..one };
        }
        let rank = KINDS[due.kind].rank;
        let added = if due.tenant == LAPSED { wait(one.sent, rank, 0.0) } else { 0.0 };
        let way = noise + spoil(&one, added);
        one.ended = one.sent + way + 1.0;
        one.end = End::Answer(200, None);
        match due.leaves_ms {
            Some(patience) if one.sent + way > due.at + patience => {
                (one.ended, one.end) = (due.at + patience, End::Left);
            }
            _ => log.runs.push(Run { attempt: one.attempt(), at: one.sent + way }),
        }
        log.tries.push(one);
    }
    log
}

fn kept(_: &Try, added: f64) -> f64 {
    added
}

/// Rules that are broken, and their first findings.
fn broken(log: &Log) -> Vec<(&'static str, String)> {
    let rulings = check(log).into_iter().filter(|ruling| !ruling.found.is_empty());
    rulings.map(|ruling| (ruling.rule, ruling.found[0].clone())).collect()
}

/// This rule is broken, with a finding that says all of this.
fn wants(log: &Log, rule: &str, says: &[&str]) {
    let found = broken(log);
    let finding = found.iter().find(|(broken, _)| broken.contains(rule));
    let (_, finding) = finding.unwrap_or_else(|| panic!("{rule:?} is not broken: {found:?}"));
    assert!(says.iter().all(|word| finding.contains(word)), "{finding}");
}

/// The only try of a kind that was served at the first attempt, by its place.
fn some(log: &Log, of: impl Fn(&Try) -> bool) -> usize {
    log.tries
        .iter()
        .position(|one| one.number == 0 && !one.leaver && one.end.served() && of(one))
        .expect("one")
}

#[test]
fn a_day_as_it_should_be_breaks_no_rule() {
    let log = day(kept);
    assert_eq!(broken(&log), []);
    let waits = samples(&log);
    let crossings = crossings(&log, &waits);
    assert_eq!(crossings.len(), 8);
    for (at, crossing) in crossings.iter().enumerate() {
        let begin = if at < 4 { 6_300.0 } else { 27_300.0 } + 4_000.0 * (at % 4) as f64;
        assert!((crossing.at - begin - 500.0).abs() < 150.0, "{crossing:?}");
    }
    let drawn = plot::draw(&log, &waits, &crossings, &[(6_000.0, "a < b".into())]);
    // One gateway was away: its line has a gap.
    assert_eq!(drawn.matches("<polyline").count(), 10);
    assert!(drawn.contains("a &lt; b") && drawn.ends_with("</svg>\n"));
    let rows = table::rows(&log, &waits);
    assert_eq!(rows.len(), 2 * 9 * KINDS.len());
    let told = table::as_json(&rows);
    let requests: u64 = told.as_array().unwrap().iter().map(|row| row["requests"].as_u64().unwrap()).sum();
    assert_eq!(requests, u64::from(log.planned));
}

#[test]
fn bookings_that_run_twice_or_though_declined_or_not_though_served() {
    let booking = |one: &Try| KINDS[one.kind].rank == BOOKING;
    let rule = "a booking runs once";
    let mut log = day(kept);
    let one = log.tries[some(&log, booking)];
    log.runs.push(Run { attempt: one.attempt(), at: one.ended });
    wants(&log, rule, &["ran 2 times", "wants exactly 1", &log.gateways[one.gateway]]);

    let mut log = day(kept);
    let at = some(&log, booking);
    log.tries[at].end = End::Answer(429, Some(100.0));
    wants(&log, rule, &["ran 1 times", "wants no run"]);

    let mut log = day(kept);
    let attempt_id = log.tries[some(&log, booking)].attempt();
    log.runs.retain(|run| run.attempt != attempt_id);
    wants(&log, rule, &["ran 0 times"]);

    // It ran at a gateway that was killed under it, and again when it was tried again.
    let mut log = day(kept);
    let again = log.tries.iter().find(|one| one.number == 1 && booking(one)).expect("one").request;
    log.runs.push(Run { attempt: attempt(again, 0), at: 16_000.0 });
    let first = log.tries.iter_mut().find(|one| one.request == again && one.number == 0).expect("one");
    first.end = End::Broke;
    wants(&log, rule, &["and its tries before it ran 2 times"]);
}

#[test]
fn requests_that_vanish_fail_or_are_not_served_as_told() {
    let rule = "every request is answered";
    let ends = [
        (End::Broke, "without an answer"),
        (End::NoConnection, "no connection"),
        (End::Silent, "no answer in its client's time"),
        (End::Answer(503, Some(50.0)), "got 503"),
        (End::Answer(429, None), "not when to come back"),
    ];
    for (end, says) in ends {
        let mut log = day(kept);
        let at = some(&log, |one| one.tenant == LAPSED && KINDS[one.kind].rank == FIRST);
        log.tries[at].end = end;
        wants(&log, rule, &[says]);
    }
    let mut log = day(kept);
    let at = some(&log, |one| one.tenant == LAPSED && KINDS[one.kind].rank == FIRST);
    log.tries[at].end = End::Answer(429, Some(100.0));
    assert!(broken(&log).is_empty(), "told when to come back, and no more");
    log.tries[at].as_told = true;
    wants(&log, rule, &["came back as told and got 429"]);
    let mut log = day(kept);
    let at = some(&log, |one| one.tenant == OTHER);
    log.tries[at].end = End::Answer(429, Some(100.0));
    wants(&log, rule, &["its trial runs"]);
    let mut log = day(kept);
    log.tries.remove(some(&log, |_| true));
    wants(&log, rule, &["were noted: wants all"]);
}

#[test]
fn one_gateway_that_is_uneven_late_or_stays_behind() {
    let log = day(|one, added| if one.gateway == 4 && added > 0.0 { added + 150.0 } else { added });
    wants(&log, "even over gateways", &["edge-5", "stage 1", "Jain's index"]);
    let log = day(|one, added| match (one.gateway, one.tenant) {
        (5, LAPSED) => wait(one.sent, KINDS[one.kind].rank, 700.0),
        _ => added,
    });
    wants(&log, "enter each stage together", &["edge-6", "stage 0 to 1"]);
    let log = day(|one, added| if one.gateway == 8 { 0.0 } else { added });
    wants(&log, "even over gateways", &["edge-9"]);
}

#[test]
fn the_wrong_ones_wait() {
    let log = day(|one, added| match KINDS[one.kind].rank {
        BOOKING if one.tenant == LAPSED => wait(one.sent, FIRST, 0.0) / 4.0,
        _ => added,
    });
    wants(&log, "bookings wait for nothing", &["book", "ms"]);
    let log = day(
        |one, added| if one.tenant == LAPSED { added.max(wait(one.sent, FIRST, 0.0) * 0.95) } else { added },
    );
    wants(&log, "gives way first", &["reads", "second"]);
    let log = day(|one, added| if one.tenant == OTHER && one.sent > 6_000.0 { 25.0 } else { added });
    wants(&log, "notices nothing", &["meadow", "median"]);
}

#[test]
fn a_stage_that_never_comes_a_way_back_that_never_ends_and_a_herd() {
    let log = day(|_, added| added.min(150.0));
    wants(&log, "stage by stage", &["stage 2", "250 ms"]);
    let log = day(|one, added| match one.tenant {
        LAPSED if one.sent > 27_000.0 => wait(26_999.0, KINDS[one.kind].rank, 0.0),
        _ => added,
    });
    wants(&log, "comes back to full pace", &["600 ms", "50 ms at most"]);
    // A short day ends on the way, but not above where it began.
    let mut log = day(|one, added| if one.tenant == LAPSED && one.sent > 27_000.0 { 700.0 } else { added });
    log.end = 33_000.0;
    wants(&log, "comes back to full pace", &["700 ms more", "600 ms at most"]);
    let mut log = day(kept);
    let one = log.runs[0].attempt;
    log.runs.extend((0..300).map(|at| Run { attempt: one | 0xff, at: 30_000.0 + f64::from(at) }));
    wants(&log, "no herd", &["second 30"]);
    let mut log = day(kept);
    log.refused.push("second 6.0: the order was not taken".into());
    wants(&log, "stage by stage", &["not taken"]);
}

#[test]
fn one_slow_request_moves_no_crossing() {
    let sample = |at: u32, added: f64| waits::Sample {
        kind: 3,
        tenant: LAPSED,
        gateway: 0,
        sent: f64::from(at) * 100.0,
        added,
    };
    let mut own: Vec<waits::Sample> =
        (0..30).map(|at| sample(at, if at < 15 { 0.0 } else { 100.0 })).collect();
    let crossing = Crossing { from: 0, to: 1, mark: 50.0, at: 1_500.0 };
    assert_eq!(own_crossing(&own, &crossing), Some((1_450.0, 100.0)));
    own[5].added = 90.0;
    own[20].added = 10.0;
    assert_eq!(own_crossing(&own, &crossing), Some((1_450.0, 100.0)));
    assert_eq!(own_crossing(&own[..17], &crossing), None, "too few after it");
}

#[test]
fn jains_index_is_1_where_all_are_the_same_and_1_of_n_where_one_has_all() {
    assert_eq!(jain([3.0; 9]), 1.0);
    assert!((jain([0.0, 0.0, 0.0, 5.0]) - 0.25).abs() < 1e-9);
    assert_eq!(jain([]), 1.0);
}
