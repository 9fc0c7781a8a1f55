//! The history of accepted changes: late repeats, its capacity, and snapshots of older program versions.

mod single_member;

use nickeljunction_replica::change_history::{ChangeStatus, MAX_CHANGES};
use nickeljunction_replica::state::{Entry, Outcome, ReplicatedState};
use nickeljunction_replica::{Answer, Change};
use nickeljunction_schema::call_digest;
use serde_json::{json, Value};
use single_member::{document, patch, SingleMember};

/// The target for changes a day.
const CHANGES_PER_DAY: u64 = 4_300;
/// Distance between two versions in these tests.
const STEP: u64 = 3;

/// The log entry of a change whose digest is [`digest`] of its version.
fn entry(base: u64, version: u64) -> Entry {
    let digest = call_digest("PATCH", Some(base), patch(version).to_string().as_bytes());
    Entry::Put { base, version, digest, doc: document(version) }
}

fn digest(version: u64) -> String {
    call_digest("PATCH", Some(version - STEP), patch(version).to_string().as_bytes())
}

/// A state after this many changes, with versions `STEP` apart.
fn state_after(changes: u64) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    for number in 0..changes {
        let outcome = state.apply(entry(number * STEP, (number + 1) * STEP));
        assert_eq!(outcome, Outcome::Taken);
    }
    state
}

#[test]
fn a_change_is_remembered_up_to_the_capacity_and_then_reported_as_forgotten() {
    let most = MAX_CHANGES as u64;
    let full = state_after(most);
    let mut state = ReplicatedState::from_text(&full.to_text()).expect("its own text");
    assert_eq!(state, full);
    for version in (1..=most).map(|number| number * STEP) {
        assert_eq!(state.change_status(version, &digest(version)), ChangeStatus::Taken, "version {version}");
        assert_eq!(
            state.change_status(version, "another"),
            ChangeStatus::NotTaken,
            "another change with the same version"
        );
        assert_eq!(
            state.change_status(version - 1, &digest(version)),
            ChangeStatus::NotTaken,
            "a version between two changes"
        );
    }
    state.apply(entry(most * STEP, (most + 1) * STEP));
    let state = ReplicatedState::from_text(&state.to_text()).expect("its own text");
    for version in 1..=STEP {
        assert_eq!(state.change_status(version, &digest(STEP)), ChangeStatus::Forgotten, "version {version}");
    }
    assert_eq!(state.change_status(2 * STEP, &digest(2 * STEP)), ChangeStatus::Taken);
    assert_eq!(state.change_status(STEP + 1, "any"), ChangeStatus::NotTaken, "above all forgotten versions");
}

#[test]
fn the_first_change_of_a_day_is_remembered_at_its_end() {
    let day = ReplicatedState::from_text(&state_after(CHANGES_PER_DAY).to_text()).expect("its own text");
    assert_eq!(day.change_status(STEP, &digest(STEP)), ChangeStatus::Taken);
}

#[test]
fn repeats_are_accepted_within_the_history_and_not_refused_beyond_it() {
    let most = MAX_CHANGES as u64;
    let mut core = SingleMember::new(&state_after(most - 1).to_text(), &[]);
    let newest = (most - 1) * STEP;
    assert_eq!(
        core.send(true, 0, &patch(STEP)),
        Answer::Accepted,
        "the first change, whose base is long replaced"
    );
    let conflict = |version| Answer::Conflict(Some(version));
    assert_eq!(core.send(false, 0, &document(STEP)), conflict(newest), "a whole document with that version");
    assert_eq!(core.send(true, newest, &patch(newest + STEP)), Answer::Accepted);
    assert_eq!(core.send(true, newest + STEP, &patch(newest + 2 * STEP)), Answer::Accepted);
    // The oldest change is now forgotten.
    for body in [patch(STEP), patch(STEP - 1)] {
        let version = body["config_version"].as_u64().expect("a version");
        assert_eq!(core.send(true, 0, &body), Answer::Forgotten(version));
    }
    assert_eq!(core.send(false, 0, &document(1)), Answer::Forgotten(1));
    assert_eq!(core.send(true, STEP, &patch(2 * STEP)), Answer::Accepted, "the oldest remembered change");
    // Changes that certainly were not accepted are still refused as such.
    assert_eq!(core.send(true, 0, &patch(STEP + 1)), conflict(newest + 2 * STEP));
    let invalid = json!({"config_version": 1, "routes": {"r": {}}});
    assert!(matches!(core.send(false, 0, &invalid), Answer::Invalid(_)), "no program version accepted it");
    let not_above = core.send(true, newest + 2 * STEP, &patch(1));
    assert!(
        matches!(not_above, Answer::Invalid(_)),
        "on the newest version, but not above it: {not_above:?}"
    );
}

#[test]
fn a_repeat_of_a_change_that_is_invalid_by_now_is_recognised_before_validation() {
    // Today's rules require at least one attempt.
    let mut body = document(2);
    body["routes"]["r"]["max_attempts"] = json!(0);
    let digest = call_digest("PUT", Some(0), body.to_string().as_bytes());
    let accepted = Entry::Put { base: 0, version: 2, digest, doc: body.clone() };
    let mut core = SingleMember::new("", &[serde_json::to_string(&accepted).expect("JSON")]);
    assert_eq!(core.replica.state().version(), 2);
    assert_eq!(core.send(false, 0, &body), Answer::Accepted);
    assert!(matches!(core.send(false, 2, &body), Answer::Invalid(_)), "another change");
    let change = Change {
        patch: false,
        base: Some(0),
        body: br#"{"config_version":2,"config_version":2}"#[..].into(),
    };
    core.replica.change_config(core.now, change);
    assert!(matches!(core.write()[..], [Answer::Invalid(_)]), "a duplicate version");
}

/// A snapshot in the format of older program versions, with this many accepted changes.
fn legacy_snapshot(changes: u64, first: u64) -> String {
    let version = |number| (first + number) * STEP;
    let taken: Vec<Value> = (0..changes)
        .map(|number| json!({"version": version(number), "digest": digest(version(number))}))
        .collect();
    let newest = version(changes - 1);
    json!({"version": newest, "doc": document(newest), "taken": taken, "evacuated": ["z1"], "gateways": {"7": "edge-1"}})
        .to_string()
}

#[test]
fn a_legacy_snapshot_opens_with_all_its_accepted_changes_and_no_others() {
    let full = ReplicatedState::from_text(&legacy_snapshot(64, 100)).expect("a legacy snapshot");
    assert_eq!((full.version(), full.gateways().len()), (163 * STEP, 1));
    for version in (100..164).map(|number| number * STEP) {
        assert_eq!(full.change_status(version, &digest(version)), ChangeStatus::Taken);
        assert_eq!(full.change_status(version, "another"), ChangeStatus::NotTaken);
    }
    assert_eq!(
        full.change_status(99 * STEP, &digest(99 * STEP)),
        ChangeStatus::Forgotten,
        "it has only 64 changes"
    );
    let below_capacity = ReplicatedState::from_text(&legacy_snapshot(63, 1)).expect("a legacy snapshot");
    assert_eq!(
        below_capacity.change_status(STEP - 1, "any"),
        ChangeStatus::NotTaken,
        "nothing was forgotten"
    );
    let text = full.to_text();
    assert_eq!(ReplicatedState::from_text(&text).expect("its own text"), full);
    // Older program versions require the list; they can open the snapshot, but don't recognise repeats.
    let value: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(value["taken"], json!([]));
}

#[test]
fn a_snapshot_with_a_broken_record_is_refused() {
    let text = state_after(3).to_text();
    for (valid, broken) in [
        ("3,", "x,"),
        ("3,", "99999999999999999999,"),
        ("\"records\":\"", "\"records\":\"!"),
        ("3,\"", "3,A\""),
    ] {
        assert!(text.contains(valid), "{text}");
        assert!(ReplicatedState::from_text(&text.replacen(valid, broken, 1)).is_err(), "{broken}");
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
