//! Histories that keep the promise, and one for each way to break it.

use nickeljunction_history::{check, Answer, Call, Exchange, Kind, Status, Summary, Violation};

/// A copy of a change: version and digest on a base, sent and answered at these times.
fn put(
    base: u64,
    (version, digest): (u64, &str),
    sent_ms: u64,
    status: Status,
    received_ms: u64,
) -> Exchange {
    let (kind, digest) = (Kind::Put, digest.into());
    let call = Call { operator: 1, kind, base, version, digest, valid: true, sent_ms };
    Exchange { call, answer: Some(Answer { status, received_ms }) }
}

fn read(version: u64, sent_ms: u64, received_ms: u64) -> Exchange {
    let digest = String::new();
    let call = Call { operator: 2, kind: Kind::Read, base: 0, version: 0, digest, valid: true, sent_ms };
    Exchange { call, answer: Some(Answer { status: Status::Read(version), received_ms }) }
}

fn silent(mut exchange: Exchange) -> Exchange {
    exchange.answer = None;
    exchange
}

fn invalid(mut exchange: Exchange) -> Exchange {
    exchange.call.valid = false;
    exchange
}

/// The name of the violation that a history shows; empty: none.
fn shows(history: &[Exchange]) -> String {
    let told = check(history).err().map(|violation| format!("{violation:?}"));
    told.unwrap_or_default().split('(').next().unwrap_or_default().to_owned()
}

use Status::{Acknowledged, Conflict, Invalid, Unclear};

#[test]
fn a_history_that_keeps_the_promise_passes_with_its_counts() {
    let history = [
        put(0, (1, "a"), 0, Unclear, 9),
        put(0, (1, "a"), 10, Acknowledged, 12),
        // Two on one base, and the loser later under the same number on the newer one.
        put(1, (3, "b"), 20, Acknowledged, 30),
        put(1, (3, "c"), 20, Conflict, 30),
        put(3, (4, "c"), 40, Acknowledged, 41),
        // Long after, and without an answer.
        put(0, (1, "a"), 50, Acknowledged, 52),
        silent(put(1, (3, "b"), 53, Unclear, 0)),
        read(4, 54, 55),
        // Never answered, and seen by a read; the next is built on it.
        silent(put(4, (8, "d"), 60, Unclear, 0)),
        read(8, 62, 64),
        put(8, (9, "e"), 65, Acknowledged, 66),
        // May be refused for either reason, or left open.
        invalid(put(4, (9, "f"), 70, Invalid, 71)),
        put(4, (9, "g"), 70, Unclear, 71),
    ];
    let summary = Summary { changes: 8, copies: 11, acknowledged: 4, repeats: 1, refused: 2, reads: 2 };
    assert_eq!(check(&history), Ok(summary));
}

#[test]
fn a_refusal_before_the_base_was_in_force_says_nothing_of_later_copies() {
    let early = [
        put(0, (1, "a"), 0, Acknowledged, 5),
        put(3, (4, "c"), 6, Conflict, 8),
        put(1, (3, "b"), 10, Acknowledged, 12),
        put(3, (4, "c"), 13, Acknowledged, 14),
    ];
    assert_eq!(shows(&early), "");
}

#[test]
fn two_acknowledged_changes_on_one_base_or_of_one_number_are_found() {
    let first = put(0, (1, "a"), 0, Acknowledged, 5);
    let fork = [first.clone(), put(1, (2, "b"), 6, Acknowledged, 9), put(1, (3, "c"), 6, Acknowledged, 9)];
    assert_eq!(shows(&fork), "Fork");
    let same = [
        first.clone(),
        put(1, (7, "b"), 6, Acknowledged, 9),
        put(0, (7, "c"), 6, Unclear, 9),
        put(2, (7, "d"), 6, Acknowledged, 9),
    ];
    assert_eq!(shows(&same), "DuplicateVersion");
    let mut patch = put(1, (2, "b"), 6, Acknowledged, 9);
    patch.call.kind = Kind::Patch;
    assert_eq!(
        shows(&[first, put(1, (2, "b"), 6, Acknowledged, 9), patch]),
        "Fork",
        "another kind, another order"
    );
}

#[test]
fn a_refused_repeat_of_what_was_taken_is_found_whatever_showed_that_it_was() {
    let first = put(0, (1, "a"), 0, Acknowledged, 5);
    for refusal in [Conflict, Invalid] {
        let after = [first.clone(), put(0, (1, "a"), 6, refusal, 8)];
        assert_eq!(shows(&after), "AppliedRefused");
    }
    // One copy is on its way to the log while the other is refused.
    let meanwhile = [first.clone(), put(1, (2, "b"), 6, Conflict, 8), put(1, (2, "b"), 6, Acknowledged, 20)];
    assert_eq!(shows(&meanwhile), "AppliedRefused");
    let lost =
        [first, silent(put(1, (2, "b"), 6, Unclear, 0)), read(2, 8, 9), put(1, (2, "b"), 10, Conflict, 12)];
    assert_eq!(shows(&lost), "UnexplainedVersion", "after a refusal nothing may come of it");
    let beyond = [
        put(0, (1, "a"), 0, Acknowledged, 5),
        put(1, (2, "b"), 6, Acknowledged, 9),
        put(2, (3, "c"), 10, Acknowledged, 12),
        put(0, (1, "a"), 13, Conflict, 14),
    ];
    assert_eq!(shows(&beyond), "AppliedRefused", "also after later changes");
}

#[test]
fn a_refusal_that_nothing_conflicts_with_is_found() {
    let first = put(0, (1, "a"), 0, Acknowledged, 5);
    assert_eq!(shows(&[first.clone(), put(1, (2, "b"), 6, Conflict, 8)]), "UnjustifiedRefusal");
    assert_eq!(shows(&[first.clone(), put(1, (2, "b"), 6, Invalid, 8)]), "UnjustifiedRefusal");
    assert_eq!(shows(&[put(0, (1, "a"), 0, Conflict, 8)]), "UnjustifiedRefusal", "the very first");
    let late = [first.clone(), put(1, (2, "b"), 6, Conflict, 8), put(1, (3, "c"), 9, Acknowledged, 11)];
    assert_eq!(shows(&late), "UnjustifiedRefusal", "what came between was sent later");
    let unheard = silent(put(1, (3, "c"), 6, Unclear, 0));
    let open = [first.clone(), put(1, (2, "b"), 6, Conflict, 8), unheard];
    assert_eq!(shows(&open), "", "another may have been taken");
    assert_eq!(
        shows(&[&open[..], &[read(1, 9, 10)]].concat()),
        "UnjustifiedRefusal",
        "a read shows that it wasn't"
    );
    let both = [first, put(1, (2, "b"), 6, Conflict, 8), put(1, (3, "c"), 6, Conflict, 8)];
    assert_eq!(shows(&both), "UnjustifiedRefusal", "of two rivals one must win");
}

#[test]
fn what_is_not_proper_or_comes_late_is_found_where_it_is_acknowledged() {
    let first = put(0, (5, "a"), 0, Acknowledged, 5);
    assert_eq!(shows(&[first.clone(), put(5, (5, "b"), 6, Acknowledged, 8)]), "DuplicateVersion");
    assert_eq!(shows(&[first.clone(), put(5, (4, "b"), 6, Acknowledged, 8)]), "InvalidAcknowledged");
    assert_eq!(shows(&[first.clone(), invalid(put(5, (6, "b"), 6, Acknowledged, 8))]), "InvalidAcknowledged");
    let late = [
        first,
        put(5, (6, "b"), 6, Acknowledged, 8),
        silent(put(6, (9, "c"), 9, Unclear, 0)),
        read(9, 10, 11),
    ];
    assert_eq!(shows(&late), "");
    assert_eq!(
        shows(&[&late[..], &[put(8, (10, "d"), 12, Acknowledged, 14)]].concat()),
        "StaleBaseAcknowledged"
    );
}

#[test]
fn reads_that_go_back_or_see_what_nobody_sent_are_found() {
    let taken = [put(0, (1, "a"), 0, Acknowledged, 5), put(1, (2, "b"), 6, Acknowledged, 9)];
    let with = |more: &[Exchange]| shows(&[&taken[..], more].concat());
    assert_eq!(with(&[read(1, 8, 12), read(2, 8, 10)]), "", "they overlap");
    assert_eq!(with(&[read(1, 10, 12)]), "StaleRead", "behind what was acknowledged");
    let seen = silent(put(2, (3, "c"), 10, Unclear, 0));
    assert_eq!(with(&[seen.clone(), read(3, 11, 12), read(2, 13, 14)]), "StaleRead", "behind another read");
    assert_eq!(with(&[seen.clone(), read(4, 11, 12)]), "UnexplainedVersion");
    assert_eq!(with(&[read(3, 7, 8), seen]), "UnexplainedVersion", "it was sent later");
}

#[test]
fn an_acknowledged_change_that_a_newer_version_is_not_built_on_is_found() {
    let first = put(0, (1, "a"), 0, Acknowledged, 5);
    let aside = silent(put(1, (4, "c"), 6, Unclear, 0));
    let lost = [first.clone(), put(1, (2, "b"), 6, Acknowledged, 9), aside.clone(), read(4, 10, 11)];
    assert_eq!(shows(&lost), "LostVersion");
    // A path over what was never answered.
    let over = silent(put(2, (3, "d"), 10, Unclear, 0));
    let onto = silent(put(3, (4, "c"), 10, Unclear, 0));
    let whole = [first, put(1, (2, "b"), 6, Acknowledged, 9), aside, over, onto, read(4, 12, 13)];
    assert_eq!(shows(&whole), "");
    let violation = Violation::LostVersion(2, 4).to_string();
    assert!(violation.contains("version 2") && violation.contains("version 4"), "{violation}");
}
