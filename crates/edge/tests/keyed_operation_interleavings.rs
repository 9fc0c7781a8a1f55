//! Checks that a keyed operation runs at most once within its window, in all interleavings of two gateways, the core's
//! log and three servers.
//!
//! The search is bounded so that it takes some seconds. `ONCE_MODEL=whole` allows all kinds of failures in one history.

mod keyed_operation_model;

use keyed_operation_model::{search, Bounds, Fault, Visited};

const UNDISTURBED: Bounds = Bounds {
    fault: Fault::None,
    requests: 2,
    timeouts: 0,
    duplicates: 0,
    leader_changes: 0,
    crashes: 0,
    runs_in_doubt: 0,
    refusals: 0,
    time_steps: 0,
};
/// Claims that are lost, late or duplicated, over two changes of the leader.
const LEADER_CHANGES: Bounds = Bounds { timeouts: 1, duplicates: 1, leader_changes: 2, ..UNDISTURBED };
/// Gateways that crash and lose their operation tables, and lost answers of servers.
const CRASHES: Bounds = Bounds { timeouts: 2, crashes: 2, runs_in_doubt: 1, ..UNDISTURBED };
/// Servers that refuse a request, and runs in doubt after a refusal.
const REFUSALS: Bounds = Bounds { timeouts: 1, refusals: 3, runs_in_doubt: 1, ..UNDISTURBED };
/// Claims for three requests, one of which takes over the released claim of another.
const TAKEOVERS: Bounds = Bounds { requests: 3, timeouts: 1, refusals: 1, ..UNDISTURBED };
/// Time steps until the last record is removed, which takes more than five thirds of a window.
const WINDOW: Bounds = Bounds { leader_changes: 1, crashes: 1, time_steps: 6, ..UNDISTURBED };
/// All kinds of failures in one history.
const ALL: Bounds = Bounds { duplicates: 1, timeouts: 1, runs_in_doubt: 1, refusals: 1, ..WINDOW };

/// Searches all states within the bounds and panics if a rule is broken.
fn check_all_states(name: &str, bounds: Bounds) -> Visited {
    let start = std::time::Instant::now();
    let visited = search(bounds).unwrap_or_else(|violation| panic!("{name}: {violation}"));
    println!("{name}: {visited:?} in {:.1} s", start.elapsed().as_secs_f64());
    visited
}

#[test]
fn without_failures_one_request_runs_and_all_get_its_answer_or_a_conflict() {
    let visited = check_all_states("undisturbed", UNDISTURBED);
    assert_eq!((visited.runs, visited.answered), (1, 2));
    let visited = check_all_states("undisturbed, three requests", Bounds { requests: 3, ..UNDISTURBED });
    assert_eq!((visited.runs, visited.answered), (1, 3));
}

#[test]
fn operation_runs_once_across_leader_changes() {
    check_all_states("leader changes", LEADER_CHANGES);
}

#[test]
fn operation_runs_once_despite_gateway_crashes_and_lost_answers() {
    check_all_states("crashes", CRASHES);
}

#[test]
fn operation_that_was_refused_runs_at_most_once() {
    check_all_states("refusals", REFUSALS);
    check_all_states("takeovers", TAKEOVERS);
}

#[test]
fn operation_runs_again_only_after_its_window() {
    let visited = check_all_states("window", WINDOW);
    assert_eq!(visited.runs, 2, "no record was removed after its window");
}

#[test]
fn operation_runs_once_with_all_kinds_of_failures() {
    let is_unreduced = std::env::var("ONCE_MODEL").is_ok_and(|value| value == "whole");
    let bounds = if is_unreduced { ALL } else { Bounds { duplicates: 0, time_steps: 1, ..ALL } };
    check_all_states("all", bounds);
}

#[test]
fn search_detects_each_injected_fault() {
    let faults = [
        (Fault::AnswerBeforeCommit, LEADER_CHANGES, "IN DOUBT"),
        (Fault::ClockKeptByNewLeader, WINDOW, "IN DOUBT"),
        (Fault::SilentHolderAssumedReleased, REFUSALS, "IN DOUBT"),
        (Fault::IncarnationReused, CRASHES, "IN DOUBT"),
        (Fault::UncheckedTakeover, TAKEOVERS, "IN DOUBT"),
        (Fault::AlteredAnswer, UNDISTURBED, "WRONG ANSWER"),
    ];
    for (fault, bounds, rule) in faults {
        let violation = search(Bounds { fault, ..bounds }).expect_err("the fault was not detected");
        println!("{fault:?}: {violation}");
        assert!(violation.starts_with(rule), "{fault:?}: {violation}");
    }
}
