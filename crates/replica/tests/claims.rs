//! Claims of keyed operations through a whole core member.

mod single_member;

use nickeljunction_messages::{
    Caller, ClaimAnswer, ClaimCall, Claimant, GatewayInfo, OperationId, WatchCall,
};
use nickeljunction_operations::{Claim, OperationsEntry, MAX_RECORDS, RETENTION_MARGIN_MS};
use nickeljunction_replica::state::{Entry, ReplicatedState};
use nickeljunction_replica::{Answer, ClaimReply};
use single_member::SingleMember;

fn claimant(number: u64) -> Claimant {
    Claimant { host: [10, 1, 0, 1].into(), incarnation: 7, number }
}

fn claim(operation: u128, number: u64) -> ClaimCall {
    ClaimCall { operation: OperationId(operation), claimant: claimant(number), released: None }
}

/// A state that remembers so many operations.
fn remembering(operations: u128) -> ReplicatedState {
    let claims = (0..operations)
        .map(|operation| Claim { operation: OperationId(operation << 64), claimant: claimant(1) })
        .collect();
    let mut state = ReplicatedState::default();
    state.apply(Entry::Operations(OperationsEntry { claims, ..OperationsEntry::default() }));
    state
}

fn begin(alone: &mut SingleMember, call: &ClaimCall) -> ClaimReply {
    alone.replica.claim(alone.now, call).expect("it leads")
}

/// Lets time pass; its disk goes on writing.
fn pass(alone: &mut SingleMember, ms: u64) -> Vec<Answer> {
    let end = alone.now + ms;
    let mut answers = Vec::new();
    while alone.now < end {
        alone.now = alone.replica.next_wake().clamp(alone.now + 1, end);
        alone.replica.tick(alone.now);
        answers.extend(alone.write());
    }
    answers
}

#[test]
fn a_claim_is_granted_once_it_is_on_the_disk_and_not_before() {
    let mut alone = SingleMember::new("", &[]);
    assert!(matches!(begin(&mut alone, &claim(1, 1)), ClaimReply::Pending(_)));
    assert_eq!(alone.carry_out(), []);
    // It isn't said to be held either: the claim may get lost.
    assert!(matches!(begin(&mut alone, &claim(1, 2)), ClaimReply::Pending(_)));
    let [granted, held] = [ClaimAnswer::Granted, ClaimAnswer::Held(claimant(1))].map(Answer::Claim);
    assert_eq!(alone.write(), [granted]);
    assert_eq!(pass(&mut alone, 10), [held]);
    assert_eq!(begin(&mut alone, &claim(1, 3)), ClaimReply::Immediate(ClaimAnswer::Held(claimant(1))));
}

#[test]
fn claims_that_come_while_an_entry_is_under_way_share_the_next_one() {
    let mut alone = SingleMember::new("", &[]);
    let commit = alone.replica.consensus().commit();
    for operation in 0..100 {
        begin(&mut alone, &claim(operation, 1));
    }
    assert_eq!((alone.write().len(), pass(&mut alone, 10).len()), (1, 99));
    assert_eq!(alone.replica.consensus().commit(), commit + 2);
}

#[test]
fn an_entry_of_claims_wakes_no_held_call() {
    let mut alone = SingleMember::new("", &[]);
    begin(&mut alone, &claim(1, 1));
    let effects = alone.replica.take_effects();
    assert!(!effects.changed);
    effects.writes.iter().for_each(|write| alone.replica.written(alone.now, write.ticket, true));
    let effects = alone.replica.take_effects();
    assert_eq!(effects.answers.len(), 1);
    assert!(!effects.changed);
}

#[test]
fn a_claim_that_the_log_does_not_take_in_time_is_not_known_to_be_granted() {
    let mut alone = SingleMember::new("", &[]);
    begin(&mut alone, &claim(1, 1));
    begin(&mut alone, &claim(2, 1));
    alone.carry_out();
    alone.now += 600;
    alone.replica.tick(alone.now);
    assert_eq!(alone.carry_out(), [Answer::Unknown, Answer::Unknown]);
    // It got there after all: whoever repeats it is granted it, and nobody else.
    alone.write();
    begin(&mut alone, &claim(1, 1));
    assert_eq!(alone.write(), [Answer::Claim(ClaimAnswer::Granted)]);
    assert_eq!(begin(&mut alone, &claim(1, 2)), ClaimReply::Immediate(ClaimAnswer::Held(claimant(1))));
}

#[test]
fn an_operation_is_remembered_for_the_window_and_then_forgotten() {
    let mut alone = SingleMember::new("", &[]);
    begin(&mut alone, &claim(1, 1));
    alone.write();
    pass(&mut alone, 60_000 + RETENTION_MARGIN_MS);
    assert_eq!(alone.replica.state().operations().operation_count(), 1);
    // A quarter of the window until it is closed, and some looks.
    pass(&mut alone, 15_000 + 1_000);
    assert_eq!(alone.replica.state().operations().record_count(), 0);
}

#[test]
fn a_new_leader_measures_from_its_own_beginning() {
    let mut state = remembering(3);
    state.apply(Entry::Operations(OperationsEntry { close: Some(0), ..OperationsEntry::default() }));
    let mut alone = SingleMember::new(&state.to_text(), &[]);
    pass(&mut alone, 60_000 + RETENTION_MARGIN_MS - 1_000);
    assert_eq!(alone.replica.state().operations().operation_count(), 3);
    pass(&mut alone, 2_000);
    assert_eq!(alone.replica.state().operations().operation_count(), 0);
}

#[test]
fn a_state_without_operations_is_written_as_before() {
    let state = ReplicatedState::default();
    assert!(!state.to_text().contains("operations"));
    let remembering = remembering(100);
    assert_eq!(ReplicatedState::from_text(&remembering.to_text()).expect("its own text"), remembering);
}

#[test]
fn a_large_table_is_not_written_anew_for_every_few_claims() {
    let state = remembering(30_000);
    let bytes = state.to_text().len();
    let mut alone = SingleMember::new(&state.to_text(), &[]);
    let mut snapshots = 0;
    for operation in 0..9_000 {
        let before = alone.replica.applied_since_snapshot();
        begin(&mut alone, &claim(operation, 1));
        pass(&mut alone, 10);
        snapshots += usize::from(alone.replica.applied_since_snapshot() < before);
    }
    println!("{snapshots} snapshots of {bytes} bytes and more in 9,000 entries");
    assert!((1..=3).contains(&snapshots), "{snapshots} snapshots of {bytes} bytes");
}

/// The held call of the gateway whose process has the life of [`claimant`].
fn watch() -> WatchCall {
    let line =
        GatewayInfo { name: "edge".into(), front: "10.1.0.1:80".into(), zone: "z1".into(), ready: true };
    WatchCall {
        caller: Caller::Gateway,
        name: "edge".into(),
        incarnation: claimant(1).incarnation,
        gateway: Some(line),
        term: 0,
        seq: 0,
        version: 0,
        wait_ms: 1_000,
        serves_directory: false,
        accepts_config_changes: true,
        accepts_roster_changes: true,
        has_full_server_list: false,
        diverged: false,
    }
}

#[test]
fn operators_see_who_holds_an_operation_and_when_it_is_forgotten() {
    let mut alone = SingleMember::new("", &[]);
    let state = |alone: &SingleMember| alone.replica.operation_view(alone.now, OperationId(1)).state;
    assert_eq!(state(&alone), "unclaimed");
    begin(&mut alone, &claim(1, 4));
    assert_eq!(alone.replica.operations_view(alone.now).waiting, 0, "its entry is under way");
    alone.write();
    assert_eq!(state(&alone), "holder_unknown");

    let held = alone.replica.begin_watch(alone.now, &watch()).expect("it leads");
    let view = alone.replica.operation_view(alone.now, OperationId(1));
    let claim = view.claim.expect("a claim");
    assert_eq!((view.state, claim.number, claim.gateway.as_deref()), ("held", 4, Some("edge")));
    assert_eq!((claim.granted.closed_ms, claim.granted.claims), (None, 1), "in the open generation");
    alone.replica.watch_disconnected(alone.now, &watch(), &held);
    pass(&mut alone, 20_000);
    assert_eq!(state(&alone), "holder_away");

    let all = alone.replica.operations_view(alone.now);
    assert_eq!((all.remembered, all.claims, all.most_claims, all.generations), (1, 1, MAX_RECORDS, 2));
    let [closed, open] = &all.oldest[..] else { panic!("{all:?}") };
    let (since, until) = (closed.closed_ms.expect("closed"), closed.forgotten_in_ms.expect("closed"));
    assert!((1..20_000).contains(&since) && since + until == 60_000 + RETENTION_MARGIN_MS, "{closed:?}");
    assert_eq!((open.claims, open.closed_ms), (0, None));
    pass(&mut alone, until + 1_000);
    assert_eq!(state(&alone), "unclaimed");
}
