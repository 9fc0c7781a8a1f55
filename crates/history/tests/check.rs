//! Checks histories that satisfy the guarantee of the control plane, and at least one history per kind of violation.

use nickeljunction_history::{check, Answer, Call, Exchange, Kind, Status, Summary, Violation};

/// A copy of a change that creates `version` on `base`, with its answer.
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

/// The same call without an answer.
fn unanswered(mut exchange: Exchange) -> Exchange {
    exchange.answer = None;
    exchange
}

/// The same exchange with a change that is not valid on its base.
fn invalid(mut exchange: Exchange) -> Exchange {
    exchange.call.valid = false;
    exchange
}

/// The variant name of the violation found in a history; empty if there is none.
fn violation_name(history: &[Exchange]) -> String {
    let debug_text = check(history).err().map(|violation| format!("{violation:?}"));
    debug_text.unwrap_or_default().split('(').next().unwrap_or_default().to_owned()
}

use Status::{Acknowledged, Conflict, Invalid, Unclear};

#[test]
fn valid_history_passes_with_its_counts() {
    let history = [
        put(0, (1, "a"), 0, Unclear, 9),
        put(0, (1, "a"), 10, Acknowledged, 12),
        // Two changes with one version on one base; the refused one is then sent again on the newer base.
        put(1, (3, "b"), 20, Acknowledged, 30),
        put(1, (3, "c"), 20, Conflict, 30),
        put(3, (4, "c"), 40, Acknowledged, 41),
        // Late copies of applied changes, one of them without an answer.
        put(0, (1, "a"), 50, Acknowledged, 52),
        unanswered(put(1, (3, "b"), 53, Unclear, 0)),
        read(4, 54, 55),
        // Never answered, but a read returns its version, and the next change is built on it.
        unanswered(put(4, (8, "d"), 60, Unclear, 0)),
        read(8, 62, 64),
        put(8, (9, "e"), 65, Acknowledged, 66),
        // Changes on a base that is no longer current, the first also invalid: a refusal and an unclear answer are both
        // allowed.
        invalid(put(4, (9, "f"), 70, Invalid, 71)),
        put(4, (9, "g"), 70, Unclear, 71),
    ];
    let summary = Summary { changes: 8, copies: 11, acknowledged: 4, repeats: 1, refused: 2, reads: 2 };
    assert_eq!(check(&history), Ok(summary));
}

#[test]
fn refusal_before_the_base_is_in_force_does_not_rule_out_later_acknowledgement() {
    let history = [
        put(0, (1, "a"), 0, Acknowledged, 5),
        put(3, (4, "c"), 6, Conflict, 8),
        put(1, (3, "b"), 10, Acknowledged, 12),
        put(3, (4, "c"), 13, Acknowledged, 14),
    ];
    assert_eq!(violation_name(&history), "");
}

#[test]
fn two_acknowledged_changes_with_one_base_or_version_are_detected() {
    let first = put(0, (1, "a"), 0, Acknowledged, 5);
    let fork = [first.clone(), put(1, (2, "b"), 6, Acknowledged, 9), put(1, (3, "c"), 6, Acknowledged, 9)];
    assert_eq!(violation_name(&fork), "Fork");
    let same = [
        first.clone(),
        put(1, (7, "b"), 6, Acknowledged, 9),
        put(0, (7, "c"), 6, Unclear, 9),
        put(2, (7, "d"), 6, Acknowledged, 9),
    ];
    assert_eq!(violation_name(&same), "DuplicateVersion");
    let mut patch = put(1, (2, "b"), 6, Acknowledged, 9);
    patch.call.kind = Kind::Patch;
    assert_eq!(
        violation_name(&[first, put(1, (2, "b"), 6, Acknowledged, 9), patch]),
        "Fork",
        "changes of different kinds are different changes"
    );
}

#[test]
fn refused_copy_of_an_applied_change_is_detected() {
    let first = put(0, (1, "a"), 0, Acknowledged, 5);
    for refusal in [Conflict, Invalid] {
        let after = [first.clone(), put(0, (1, "a"), 6, refusal, 8)];
        assert_eq!(violation_name(&after), "AppliedRefused");
    }
    // One copy is still being committed while the other is refused.
    let concurrent = [first.clone(), put(1, (2, "b"), 6, Conflict, 8), put(1, (2, "b"), 6, Acknowledged, 20)];
    assert_eq!(violation_name(&concurrent), "AppliedRefused");
    let read_then_refused = [
        first,
        unanswered(put(1, (2, "b"), 6, Unclear, 0)),
        read(2, 8, 9),
        put(1, (2, "b"), 10, Conflict, 12),
    ];
    assert_eq!(
        violation_name(&read_then_refused),
        "UnexplainedVersion",
        "a refused change can't create the version that was read"
    );
    let superseded = [
        put(0, (1, "a"), 0, Acknowledged, 5),
        put(1, (2, "b"), 6, Acknowledged, 9),
        put(2, (3, "c"), 10, Acknowledged, 12),
        put(0, (1, "a"), 13, Conflict, 14),
    ];
    assert_eq!(violation_name(&superseded), "AppliedRefused", "the copy was refused after later changes");
}

#[test]
fn refusal_without_a_conflicting_change_is_detected() {
    let first = put(0, (1, "a"), 0, Acknowledged, 5);
    assert_eq!(violation_name(&[first.clone(), put(1, (2, "b"), 6, Conflict, 8)]), "UnjustifiedRefusal");
    assert_eq!(violation_name(&[first.clone(), put(1, (2, "b"), 6, Invalid, 8)]), "UnjustifiedRefusal");
    assert_eq!(violation_name(&[put(0, (1, "a"), 0, Conflict, 8)]), "UnjustifiedRefusal", "the first change");
    let late = [first.clone(), put(1, (2, "b"), 6, Conflict, 8), put(1, (3, "c"), 9, Acknowledged, 11)];
    assert_eq!(violation_name(&late), "UnjustifiedRefusal", "the rival was sent after the refusal");
    let unanswered_rival = unanswered(put(1, (3, "c"), 6, Unclear, 0));
    let open = [first.clone(), put(1, (2, "b"), 6, Conflict, 8), unanswered_rival];
    assert_eq!(violation_name(&open), "", "the unanswered rival may have been applied");
    assert_eq!(
        violation_name(&[&open[..], &[read(1, 9, 10)]].concat()),
        "UnjustifiedRefusal",
        "a read proves that the rival was not applied"
    );
    let two_refused = [first, put(1, (2, "b"), 6, Conflict, 8), put(1, (3, "c"), 6, Conflict, 8)];
    assert_eq!(violation_name(&two_refused), "UnjustifiedRefusal", "one of two rivals must be applied");
}

#[test]
fn acknowledged_change_that_is_invalid_or_on_a_stale_base_is_detected() {
    let first = put(0, (5, "a"), 0, Acknowledged, 5);
    assert_eq!(violation_name(&[first.clone(), put(5, (5, "b"), 6, Acknowledged, 8)]), "DuplicateVersion");
    assert_eq!(violation_name(&[first.clone(), put(5, (4, "b"), 6, Acknowledged, 8)]), "InvalidAcknowledged");
    assert_eq!(
        violation_name(&[first.clone(), invalid(put(5, (6, "b"), 6, Acknowledged, 8))]),
        "InvalidAcknowledged"
    );
    let late = [
        first,
        put(5, (6, "b"), 6, Acknowledged, 8),
        unanswered(put(6, (9, "c"), 9, Unclear, 0)),
        read(9, 10, 11),
    ];
    assert_eq!(violation_name(&late), "");
    assert_eq!(
        violation_name(&[&late[..], &[put(8, (10, "d"), 12, Acknowledged, 14)]].concat()),
        "StaleBaseAcknowledged"
    );
}

#[test]
fn stale_reads_and_reads_of_unsent_versions_are_detected() {
    let acknowledged = [put(0, (1, "a"), 0, Acknowledged, 5), put(1, (2, "b"), 6, Acknowledged, 9)];
    let violation_after = |more: &[Exchange]| violation_name(&[&acknowledged[..], more].concat());
    assert_eq!(violation_after(&[read(1, 8, 12), read(2, 8, 10)]), "", "the reads overlap the change");
    assert_eq!(violation_after(&[read(1, 10, 12)]), "StaleRead", "older than the acknowledged version");
    let unacknowledged = unanswered(put(2, (3, "c"), 10, Unclear, 0));
    assert_eq!(
        violation_after(&[unacknowledged.clone(), read(3, 11, 12), read(2, 13, 14)]),
        "StaleRead",
        "older than an earlier read"
    );
    assert_eq!(violation_after(&[unacknowledged.clone(), read(4, 11, 12)]), "UnexplainedVersion");
    assert_eq!(
        violation_after(&[read(3, 7, 8), unacknowledged]),
        "UnexplainedVersion",
        "the change was sent after the read"
    );
}

#[test]
fn acknowledged_version_missing_from_the_chain_of_a_newer_one_is_detected() {
    let first = put(0, (1, "a"), 0, Acknowledged, 5);
    let rival = unanswered(put(1, (4, "c"), 6, Unclear, 0));
    let lost = [first.clone(), put(1, (2, "b"), 6, Acknowledged, 9), rival.clone(), read(4, 10, 11)];
    assert_eq!(violation_name(&lost), "LostVersion");
    // The chain continues through changes that were never answered.
    let bridge = unanswered(put(2, (3, "d"), 10, Unclear, 0));
    let rival_on_bridge = unanswered(put(3, (4, "c"), 10, Unclear, 0));
    let connected =
        [first, put(1, (2, "b"), 6, Acknowledged, 9), rival, bridge, rival_on_bridge, read(4, 12, 13)];
    assert_eq!(violation_name(&connected), "");
    let violation = Violation::LostVersion(2, 4).to_string();
    assert!(violation.contains("version 2") && violation.contains("version 4"), "{violation}");
}
