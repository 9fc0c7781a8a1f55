//! Traces that gateways recorded over sockets: whole, and decided again in the same way.

mod fleet;

use fleet::{document, Fleet};
use nickeljunction_testkit::counter::Manner;
use nickeljunction_testkit::gateway::Gateway;
use nickeljunction_testkit::region;
use std::process::{Command, Output};
use std::time::Duration;

const TRACE: &str = r#""trace":{"folder":"traces"}"#;

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn trace(gateway: &Gateway, words: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_nickeljunction");
    let folder = gateway.folder().path();
    Command::new(program).arg("trace").args(words).current_dir(folder).output().expect("it runs")
}

fn done(gateway: &Gateway, words: &[&str]) -> String {
    let output = trace(gateway, words);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).to_string();
    assert!(output.status.success(), "{words:?}: {}{}", text(&output.stdout), text(&output.stderr));
    text(&output.stdout)
}

/// Under load, with failing regions, a counter that goes dark, a change of plans on trial, a kill and a restart: every
/// verdict of every process comes again, and a killed process costs a second of its trace at most.
#[test]
fn what_was_recorded_under_troubles_is_decided_again_in_the_same_way() {
    let mut fleet = Fleet::of(env!("CARGO_BIN_EXE_nickeljunction"), 2, 3, Some(&document(TRACE)));
    fleet.regions[0].set(region::Manner { fail_every: 7, ..region::Manner::default() });
    let load = fleet.load(150.0);
    pause(1_500);
    fleet.counter.set(Manner::Dark);
    pause(700);
    fleet.counter.set(Manner::Fine);
    let gateway = &fleet.gateways[0];
    gateway.folder().write("next.json", &document(&format!(r#"{TRACE},"limits":{{"max_attempts":2}}"#)));
    gateway.done(&["stage", "next.json"]);
    gateway.done(&["apply"]);
    pause(500);
    gateway.done(&["confirm"]);
    pause(700);
    fleet.gateways[1].kill();
    let answers = load.stop();
    fleet.gateways[1].again().expect("it serves again");
    pause(300);
    for gateway in &mut fleet.gateways {
        assert_eq!(gateway.stop(), Some(0));
    }
    assert!(answers.len() > 300, "{}", answers.len());
    for gateway in &fleet.gateways {
        let whole = done(gateway, &["verify", "traces"]);
        assert!(whole.contains("are whole"), "{whole}");
        let same = done(gateway, &["replay", "traces"]);
        assert!(same.contains("verdicts are the same\n"), "{same}");
    }
    let summary = done(&fleet.gateways[0], &["summary", "traces"]);
    assert!(summary.contains("slot-lookup") && summary.contains("served in ms: p50"), "{summary}");
    let events = done(&fleet.gateways[0], &["cat", "traces"]);
    assert!(events.contains("Tuned { epoch: 2,"), "the change on trial is in the trace, by its epoch");
    let info = done(&fleet.gateways[1], &["info", "traces"]);
    assert!(info.contains("without its end: scanned") && info.contains("indexed"), "{info}");
    // A request's life in plain lines, and the events of a franchisee as a trace of their own.
    let served = answers.iter().find(|answer| answer.status == Some(200)).expect("one was served");
    let (ours, other) = (&fleet.gateways[0], &fleet.gateways[1]);
    let stories: Vec<Output> =
        [ours, other].iter().map(|one| trace(one, &["story", "traces", "--request", &served.id])).collect();
    let told: Vec<String> = stories
        .iter()
        .filter(|story| story.status.success())
        .map(|story| String::from_utf8_lossy(&story.stdout).to_string())
        .collect();
    assert_eq!(told.len(), 1, "one gateway took it");
    assert!(
        told[0].contains("taken in as") && told[0].contains("the client is answered with 200"),
        "{}",
        told[0]
    );
    done(ours, &["cut", "traces", "--franchisee", "100", "-o", "cut.njtrace"]);
    let lines = done(ours, &["cat", "cut.njtrace"]);
    let takes = lines.lines().filter(|line| line.contains("Taken"));
    assert!(
        takes.clone().count() > 0 && takes.clone().all(|line| line.contains("customer: 100,")),
        "{lines}"
    );
}

/// A double-booking made on purpose: a region that fails what it has run, where a repeat is allowed. The story tells
/// that it may have run twice, and where.
#[test]
fn a_booking_that_may_have_run_twice_is_found() {
    let mut fleet = Fleet::of(env!("CARGO_BIN_EXE_nickeljunction"), 1, 2, Some(&document(TRACE)));
    // Fails every second: the lookup goes on to the other region.
    fleet
        .regions
        .iter()
        .for_each(|region| region.set(region::Manner { fail_every: 2, ..Default::default() }));
    let load = fleet.load(60.0);
    pause(1_500);
    let answers = load.stop();
    let (twice, _) = region::doubles(&fleet.regions);
    assert!(!twice.is_empty(), "a failed lookup is tried again: {}", answers.len());
    assert_eq!(fleet.gateways[0].stop(), Some(0));
    let story = done(&fleet.gateways[0], &["story", "traces", "--request", &twice[0]]);
    assert!(story.contains("MAY HAVE RUN 2 TIMES, at r"), "{story}");
    assert!(story.contains("failed there; it may have run"), "{story}");
}

/// Recording begins and ends with a document, and a folder that can't be written costs the trace alone.
#[test]
fn recording_is_a_section_like_any_other_and_a_bad_folder_costs_no_answer() {
    let mut fleet = Fleet::start(1, 2);
    let folder = fleet.gateways[0].folder().path().to_path_buf();
    std::fs::write(folder.join("file"), "no folder").expect("written");
    let load = fleet.load(60.0);
    fleet.push(r#""trace":{"folder":"file"}"#, &[], "50s");
    fleet.gateways[0].done(&["confirm"]);
    pause(1_500);
    assert!(fleet.gateways[0].log().iter().any(|line| line.contains("traces can't be written")));
    fleet.push(TRACE, &[], "50s");
    fleet.gateways[0].done(&["confirm"]);
    pause(1_500);
    fleet.push("", &[], "50s");
    pause(300);
    let answers = load.stop();
    assert!(answers.iter().all(|answer| answer.status == Some(200)), "{answers:?}");
    let info = done(&fleet.gateways[0], &["info", "traces"]);
    assert!(info.contains("indexed"), "ended in order when it was turned off: {info}");
    // From the middle of a process on there is nothing to compare with, and that is said.
    let same = done(&fleet.gateways[0], &["replay", "traces", "--json"]);
    assert!(same.contains("\"verdicts\": 0"), "{same}");
    assert_eq!(fleet.gateways[0].stop(), Some(0));
}
