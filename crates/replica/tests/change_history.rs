//! What is remembered of operators' changes: repeats long after, its end, and snapshots of former programs.

mod single_member;

use nickeljunction_replica::change_history::{ChangeStatus, MAX_CHANGES};
use nickeljunction_replica::state::{Entry, Outcome, ReplicatedState};
use nickeljunction_replica::{Answer, Change};
use nickeljunction_schema::call_digest;
use serde_json::{json, Value};
use single_member::{document, patch, SingleMember};

/// Changes of a day that is planned for.
const DAY: u64 = 4_300;
/// Versions climb by so much in these tests.
const STEP: u64 = 3;

/// Log entry of a change whose digest is its version's.
fn entry(base: u64, version: u64) -> Entry {
    let digest = call_digest("PATCH", Some(base), patch(version).to_string().as_bytes());
    Entry::Put { base, version, digest, doc: document(version) }
}

fn digest(version: u64) -> String {
    call_digest("PATCH", Some(version - STEP), patch(version).to_string().as_bytes())
}

/// A state after so many changes, `STEP` apart.
fn state_after(changes: u64) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    for number in 0..changes {
        let taken = state.apply(entry(number * STEP, (number + 1) * STEP));
        assert_eq!(taken, Outcome::Taken);
    }
    state
}

#[test]
fn a_change_is_known_after_thousands_of_later_ones_and_a_snapshot_and_then_forgotten_openly() {
    let most = MAX_CHANGES as u64;
    let full = state_after(most);
    let mut state = ReplicatedState::from_text(&full.to_text()).expect("its own text");
    assert_eq!(state, full);
    for version in (1..=most).map(|number| number * STEP) {
        assert_eq!(state.change_status(version, &digest(version)), ChangeStatus::Taken, "version {version}");
        assert_eq!(
            state.change_status(version, "another"),
            ChangeStatus::NotTaken,
            "the same number, another change"
        );
        assert_eq!(
            state.change_status(version - 1, &digest(version)),
            ChangeStatus::NotTaken,
            "a number between two"
        );
    }
    state.apply(entry(most * STEP, (most + 1) * STEP));
    let state = ReplicatedState::from_text(&state.to_text()).expect("its own text");
    for version in 1..=STEP {
        assert_eq!(state.change_status(version, &digest(STEP)), ChangeStatus::Forgotten, "version {version}");
    }
    assert_eq!(state.change_status(2 * STEP, &digest(2 * STEP)), ChangeStatus::Taken);
    assert_eq!(state.change_status(STEP + 1, "any"), ChangeStatus::NotTaken, "above all that was forgotten");
}

#[test]
fn a_days_first_change_is_known_at_its_end() {
    let day = ReplicatedState::from_text(&state_after(DAY).to_text()).expect("its own text");
    assert_eq!(day.change_status(STEP, &digest(STEP)), ChangeStatus::Taken);
}

#[test]
fn operators_get_200_within_the_memory_and_no_refusal_beyond_it() {
    let most = MAX_CHANGES as u64;
    let mut core = SingleMember::new(&state_after(most - 1).to_text(), &[]);
    let newest = (most - 1) * STEP;
    assert_eq!(core.send(true, 0, &patch(STEP)), Answer::Accepted, "the very first, its base long gone");
    let in_place = |version| Answer::Conflict(Some(version));
    assert_eq!(core.send(false, 0, &document(STEP)), in_place(newest), "a whole one of that number");
    assert_eq!(core.send(true, newest, &patch(newest + STEP)), Answer::Accepted);
    assert_eq!(core.send(true, newest + STEP, &patch(newest + 2 * STEP)), Answer::Accepted);
    // The oldest is forgotten now.
    for body in [patch(STEP), patch(STEP - 1)] {
        let version = body["config_version"].as_u64().expect("a number");
        assert_eq!(core.send(true, 0, &body), Answer::Forgotten(version));
    }
    assert_eq!(core.send(false, 0, &document(1)), Answer::Forgotten(1));
    assert_eq!(core.send(true, STEP, &patch(2 * STEP)), Answer::Accepted, "the oldest that is remembered");
    // What is certain is said all the same.
    assert_eq!(core.send(true, 0, &patch(STEP + 1)), in_place(newest + 2 * STEP));
    let invalid = json!({"config_version": 1, "routes": {"r": {}}});
    assert!(matches!(core.send(false, 0, &invalid), Answer::Invalid(_)), "no program took it");
    let not_above = core.send(true, newest + 2 * STEP, &patch(1));
    assert!(matches!(not_above, Answer::Invalid(_)), "on the newest, and not above it: {not_above:?}");
}

#[test]
fn a_repeat_of_what_an_older_program_took_is_known_before_it_is_judged() {
    // Today's rules want a weight above 0.
    let mut body = document(2);
    body["routes"]["r"]["max_attempts"] = json!(0);
    let digest = call_digest("PUT", Some(0), body.to_string().as_bytes());
    let taken = Entry::Put { base: 0, version: 2, digest, doc: body.clone() };
    let mut core = SingleMember::new("", &[serde_json::to_string(&taken).expect("JSON")]);
    assert_eq!(core.replica.state().version(), 2);
    assert_eq!(core.send(false, 0, &body), Answer::Accepted);
    assert!(matches!(core.send(false, 2, &body), Answer::Invalid(_)), "another order");
    let change = Change {
        patch: false,
        base: Some(0),
        body: br#"{"config_version":2,"config_version":2}"#[..].into(),
    };
    core.replica.change_config(core.now, change);
    assert!(matches!(core.write()[..], [Answer::Invalid(_)]), "a number that stands twice");
}

/// As a former program wrote it, with so many changes.
fn former(changes: u64, first: u64) -> String {
    let version = |number| (first + number) * STEP;
    let taken: Vec<Value> = (0..changes)
        .map(|number| json!({"version": version(number), "digest": digest(version(number))}))
        .collect();
    let newest = version(changes - 1);
    json!({"version": newest, "doc": document(newest), "taken": taken, "evacuated": ["z1"], "gateways": {"7": "edge-1"}})
        .to_string()
}

#[test]
fn a_former_programs_snapshot_opens_with_all_that_it_remembered_and_no_more() {
    let full = ReplicatedState::from_text(&former(64, 100)).expect("a former text");
    assert_eq!((full.version(), full.gateways().len()), (163 * STEP, 1));
    for version in (100..164).map(|number| number * STEP) {
        assert_eq!(full.change_status(version, &digest(version)), ChangeStatus::Taken);
        assert_eq!(full.change_status(version, "another"), ChangeStatus::NotTaken);
    }
    assert_eq!(full.change_status(99 * STEP, &digest(99 * STEP)), ChangeStatus::Forgotten, "it kept only 64");
    let all = ReplicatedState::from_text(&former(63, 1)).expect("a former text");
    assert_eq!(all.change_status(STEP - 1, "any"), ChangeStatus::NotTaken, "it had forgotten nothing");
    let text = full.to_text();
    assert_eq!(ReplicatedState::from_text(&text).expect("its own text"), full);
    // A former program wants the list, and opens it without its repeats.
    let value: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(value["taken"], json!([]));
}

#[test]
fn a_snapshot_with_a_broken_record_is_not_taken_for_whole() {
    let text = state_after(3).to_text();
    for (good, bad) in [
        ("3,", "x,"),
        ("3,", "99999999999999999999,"),
        ("\"records\":\"", "\"records\":\"!"),
        ("3,\"", "3,A\""),
    ] {
        assert!(text.contains(good), "{text}");
        assert!(ReplicatedState::from_text(&text.replacen(good, bad, 1)).is_err(), "{bad}");
    }
}

#[test]
fn a_record_takes_eleven_bytes_of_a_snapshot_at_most() {
    let bare = state_after(1).to_text().len();
    for changes in [64, 1_000, 8_192] {
        let bytes = state_after(changes).to_text().len() - bare;
        println!("{changes} changes: {bytes} bytes more in a snapshot");
        assert!(bytes as u64 <= changes * 11, "{changes} changes: {bytes} bytes");
    }
}
