//! An operation runs once, through all interleavings of two gateways, the core's log and three servers.
//!
//! The instances are cut short so that all of this takes some seconds; `ONCE_MODEL=whole` has all troubles in one history.

mod keyed_operation_model;

use keyed_operation_model::{search, Bounds, Fault, Visited};

const UNDISTURBED: Bounds = Bounds {
    fault: Fault::None,
    tries: 2,
    timeouts: 0,
    repeats: 0,
    changes: 0,
    crashes: 0,
    broken: 0,
    refusals: 0,
    passes: 0,
};
/// Claims that are lost, late or repeated, over two leaders.
const LEADERS: Bounds = Bounds { timeouts: 1, repeats: 1, changes: 2, ..UNDISTURBED };
/// Gateways that are lost with what they know, and servers' answers that are lost.
const CRASHES: Bounds = Bounds { timeouts: 2, crashes: 2, broken: 1, ..UNDISTURBED };
/// Servers that refuse, and runs in doubt after that.
const REFUSALS: Bounds = Bounds { timeouts: 1, refusals: 3, broken: 1, ..UNDISTURBED };
/// Claims of three tries, of which one takes over what another one released.
const TAKEOVERS: Bounds = Bounds { tries: 3, timeouts: 1, refusals: 1, ..UNDISTURBED };
/// Until the last record is forgotten, which is after five windows' thirds and some more.
const WINDOW: Bounds = Bounds { changes: 1, crashes: 1, passes: 6, ..UNDISTURBED };
/// All troubles in one history.
const ALL: Bounds = Bounds { repeats: 1, timeouts: 1, broken: 1, refusals: 1, ..WINDOW };

fn sound(name: &str, bounds: Bounds) -> Visited {
    let begun = std::time::Instant::now();
    let visited = search(bounds).unwrap_or_else(|broken| panic!("{name}: {broken}"));
    println!("{name}: {visited:?} in {:.1} s", begun.elapsed().as_secs_f64());
    visited
}

#[test]
fn undisturbed_one_try_runs_and_all_are_answered_or_told_to_come_again() {
    let visited = sound("undisturbed", UNDISTURBED);
    assert_eq!((visited.runs, visited.answered), (1, 2));
    let visited = sound("undisturbed, three tries", Bounds { tries: 3, ..UNDISTURBED });
    assert_eq!((visited.runs, visited.answered), (1, 3));
}

#[test]
fn an_operation_runs_once_over_changes_of_leaders() {
    sound("leaders", LEADERS);
}

#[test]
fn an_operation_runs_once_over_losses_of_gateways_and_answers() {
    sound("crashes", CRASHES);
}

#[test]
fn an_operation_that_was_refused_may_run_once() {
    sound("refusals", REFUSALS);
    sound("takeovers", TAKEOVERS);
}

#[test]
fn an_operation_runs_anew_after_its_window_alone() {
    let visited = sound("window", WINDOW);
    assert_eq!(visited.runs, 2, "nothing was ever forgotten");
}

#[test]
fn an_operation_runs_once_through_all_troubles_at_once() {
    let is_whole = std::env::var("ONCE_MODEL").is_ok_and(|which| which == "whole");
    let bounds = if is_whole { ALL } else { Bounds { repeats: 0, passes: 1, ..ALL } };
    sound("all", bounds);
}

#[test]
fn each_fault_of_the_rig_is_found() {
    let faults = [
        (Fault::AnsweredBeforeCommit, LEADERS, "IN DOUBT"),
        (Fault::ClockKept, WINDOW, "IN DOUBT"),
        (Fault::SilentIsReleased, REFUSALS, "IN DOUBT"),
        (Fault::LifeReused, CRASHES, "IN DOUBT"),
        (Fault::BlindTakeover, TAKEOVERS, "IN DOUBT"),
        (Fault::AnswerAltered, UNDISTURBED, "MIXED"),
    ];
    for (fault, bounds, rule) in faults {
        let broken = search(Bounds { fault, ..bounds }).expect_err("a fault that nothing shows");
        println!("{fault:?}: {broken}");
        assert!(broken.starts_with(rule), "{fault:?}: {broken}");
    }
}
