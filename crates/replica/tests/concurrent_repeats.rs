//! Copies of one order that are under way at once, beside others, at a leader whose disk takes its time.

mod single_member;

use nickeljunction_replica::state::ReplicatedState;
use nickeljunction_replica::{Answer, MembershipRequest};
use serde_json::json;
use single_member::{document, patch, SingleMember};

fn taken(answers: &[Answer]) -> usize {
    answers.iter().filter(|answer| **answer == Answer::Accepted).count()
}

#[test]
fn two_copies_of_a_change_under_way_at_once_are_both_taken() {
    let mut core = SingleMember::new("", &[]);
    for (is_patch, base, body) in [(false, 0, document(4)), (true, 4, patch(6))] {
        core.begin(is_patch, base, &body);
        core.begin(is_patch, base, &body);
        assert_eq!(core.carry_out(), [], "both wait for the disk");
        assert_eq!(core.write(), [Answer::Accepted, Answer::Accepted]);
        core.begin(is_patch, base, &body);
        assert_eq!(core.write(), [Answer::Accepted], "and one more after them");
    }
    assert!(
        matches!(core.send(false, 4, &patch(6)), Answer::Invalid(_)),
        "its very body as a whole document"
    );
    assert_eq!(core.send(true, 3, &patch(6)), Answer::Conflict(Some(6)), "its very body on another base");
}

#[test]
fn of_eight_changes_of_one_number_under_way_at_once_one_is_taken_with_all_its_copies() {
    let mut core = SingleMember::new("", &[]);
    assert_eq!(core.send(false, 0, &document(1)), Answer::Accepted);
    let whole = |rate: u64| {
        let mut body = document(3);
        body["tenants"] = json!({"t": {"api_keys": [], "rate_per_s": rate, "burst_size": rate}});
        body
    };
    let mut orders: Vec<_> = (1..=6).map(|rate| (false, whole(rate))).collect();
    orders.push((true, patch(3)));
    // The very body of the patch, and the first one's, once more.
    orders.push((false, patch(3)));
    orders.push(orders[0].clone());
    for (is_patch, body) in &orders {
        core.begin(*is_patch, 1, body);
    }
    let answers = core.write();
    // The whole one without routes is wrong, and answered at once.
    assert_eq!((answers.len(), taken(&answers)), (9, 2), "{answers:?}");
    assert_eq!(core.replica.state().doc(), &orders[0].1);
    for (at, (is_patch, body)) in orders.iter().enumerate() {
        let again = core.send(*is_patch, 1, body);
        assert_eq!(again == Answer::Accepted, at == 0 || at == 8, "order {at}: {again:?}");
    }
}

#[test]
fn two_copies_of_an_order_on_members_on_a_zone_or_on_a_trial_under_way_at_once_are_both_taken() {
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
    assert_eq!(core.write(), [Answer::Accepted, Answer::Accepted], "a zone");
    for _ in 0..2 {
        core.replica.change_trial(now, "t".into(), true);
    }
    assert_eq!(core.write(), [Answer::Accepted, Answer::Accepted], "a trial");
    assert_eq!(core.replica.state().trial("t").step, 1, "one step");
}

#[test]
fn another_order_on_members_that_came_first_is_told_as_such() {
    let mut core = SingleMember::new("", &[]);
    for host in ["10.0.0.2", "10.0.0.3"] {
        core.replica.change_membership(core.now, MembershipRequest::Add(host.into(), None));
    }
    assert_eq!(core.write(), [Answer::Accepted, Answer::Conflict(None)]);
    let known = ReplicatedState::from_text(&core.replica.state().to_text()).expect("its own text");
    assert_eq!(known.membership_order().1.requested_host.as_deref(), Some("10.0.0.2"));
}
