//! The checkers end to end: a stand-in gateway that breaks every rule, played by the rig, is found out in each.

use nickeljunction_testkit::rig::{play, Act, Timeline};
use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;

#[test]
fn a_gateway_that_breaks_every_rule_is_found_out_in_each() {
    let mut line =
        Timeline::calm(2, 10).at(1_000, Act::Drain { region: 1 }).at(6_000, Act::Cold { region: 1 });
    (line.view, line.regions, line.rate_each, line.franchisees) = (false, 2, 120.0, 1);
    line.length_ms = 26_000;
    let program = env!("CARGO_BIN_EXE_nickeljunction-rig-faulty");
    let report = play(program, &line, &AtomicBool::new(false), |_| ()).expect("it plays");
    let rules: BTreeSet<&str> = report.broken.iter().map(|broken| broken.rule.as_str()).collect();
    let wanted =
        BTreeSet::from(["one answer", "never twice", "two attempts out", "drain", "ceiling", "cold start"]);
    assert_eq!(rules, wanted, "{}", report.summary());
    assert!(!report.fine());
}

#[test]
fn a_seed_draws_one_timeline_and_bad_ones_are_turned_down() {
    assert_eq!(Timeline::storm(8, 30, 7), Timeline::storm(8, 30, 7));
    assert_ne!(Timeline::storm(8, 30, 7).steps, Timeline::storm(8, 30, 8).steps);
    let line = Timeline::storm(24, 60, 3);
    let text = serde_json::to_string(&line).expect("JSON");
    assert_eq!(serde_json::from_str::<Timeline>(&text).expect("a timeline"), line);
    assert!(line.steps.iter().all(|step| step.at_ms <= line.length_ms - 16_000), "the end is quiet");
    let stop = AtomicBool::new(false);
    let bad = [Timeline::calm(1, 10), Timeline { length_ms: 1, ..Timeline::calm(2, 10) }];
    assert!(bad.iter().all(|line| play("none", line, &stop, |_| ()).is_err()));
}
