//! Repeats of one request that are in flight at once, beside other requests, at a leader with a slow disk.

mod single_member;

use nickeljunction_replica::state::ReplicatedState;
use nickeljunction_replica::{Answer, MembershipRequest};
use serde_json::json;
use single_member::{document, patch, SingleMember};

fn accepted(answers: &[Answer]) -> usize {
    answers.iter().filter(|answer| **answer == Answer::Accepted).count()
}

#[test]
fn two_concurrent_repeats_of_a_change_are_both_accepted() {
    let mut core = SingleMember::new("", &[]);
    for (is_patch, base, body) in [(false, 0, document(4)), (true, 4, patch(6))] {
        core.begin(is_patch, base, &body);
        core.begin(is_patch, base, &body);
        assert_eq!(core.carry_out(), [], "both wait for the disk");
        assert_eq!(core.write(), [Answer::Accepted, Answer::Accepted]);
        core.begin(is_patch, base, &body);
        assert_eq!(core.write(), [Answer::Accepted], "and a later repeat");
    }
    assert!(
        matches!(core.send(false, 4, &patch(6)), Answer::Invalid(_)),
        "the same body as a whole document"
    );
    assert_eq!(core.send(true, 3, &patch(6)), Answer::Conflict(Some(6)), "the same body on another base");
}

#[test]
fn of_eight_concurrent_changes_to_one_version_only_the_first_and_its_repeat_are_accepted() {
    let mut core = SingleMember::new("", &[]);
    assert_eq!(core.send(false, 0, &document(1)), Answer::Accepted);
    let whole = |rate: u64| {
        let mut body = document(3);
        body["tenants"] = json!({"t": {"api_keys": [], "rate_per_s": rate, "burst_size": rate}});
        body
    };
    let mut changes: Vec<_> = (1..=6).map(|rate| (false, whole(rate))).collect();
    changes.push((true, patch(3)));
    // The body of the patch as a whole document, and a repeat of the first change.
    changes.push((false, patch(3)));
    changes.push(changes[0].clone());
    for (is_patch, body) in &changes {
        core.begin(*is_patch, 1, body);
    }
    let answers = core.write();
    // The patch body is invalid as a whole document, and is answered at once.
    assert_eq!((answers.len(), accepted(&answers)), (9, 2), "{answers:?}");
    assert_eq!(core.replica.state().doc(), &changes[0].1);
    for (number, (is_patch, body)) in changes.iter().enumerate() {
        let again = core.send(*is_patch, 1, body);
        assert_eq!(again == Answer::Accepted, number == 0 || number == 8, "change {number}: {again:?}");
    }
}

#[test]
fn two_concurrent_repeats_of_a_membership_evacuation_or_trial_request_are_both_accepted() {
    let mut core = SingleMember::new("", &[]);
    let mut body = document(1);
    body["tenants"] = json!({"t": {"api_keys": [], "rate_per_s": 9, "burst_size": 9}});
    assert_eq!(core.send(false, 0, &body), Answer::Accepted);
    let now = core.now;
    for _ in 0..2 {
        core.replica.change_membership(now, MembershipRequest::Add("10.0.0.2".into(), None));
    }
    assert_eq!(core.write(), [Answer::Accepted, Answer::Accepted], "members");
    assert_eq!(core.replica.state().membership_order().0, 1, "one order");
    for _ in 0..2 {
        core.replica.change_evacuation(now, "z1".into(), false);
    }
    assert_eq!(core.write(), [Answer::Accepted, Answer::Accepted], "an evacuation");
    for _ in 0..2 {
        core.replica.change_trial(now, "t".into(), true);
    }
    assert_eq!(core.write(), [Answer::Accepted, Answer::Accepted], "a trial");
    assert_eq!(core.replica.state().trial("t").step, 1, "one step");
}

#[test]
fn a_membership_request_behind_another_one_is_answered_as_a_conflict() {
    let mut core = SingleMember::new("", &[]);
    for host in ["10.0.0.2", "10.0.0.3"] {
        core.replica.change_membership(core.now, MembershipRequest::Add(host.into(), None));
    }
    assert_eq!(core.write(), [Answer::Accepted, Answer::Conflict(None)]);
    let state = ReplicatedState::from_text(&core.replica.state().to_text()).expect("its own text");
    assert_eq!(state.membership_order().1.requested_host.as_deref(), Some("10.0.0.2"));
}
