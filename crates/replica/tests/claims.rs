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

/// A state with this many claimed operations.
fn state_with(operations: u128) -> ReplicatedState {
    let claims = (0..operations)
        .map(|operation| Claim { operation: OperationId(operation << 64), claimant: claimant(1) })
        .collect();
    let mut state = ReplicatedState::default();
    state.apply(Entry::Operations(OperationsEntry { claims, ..OperationsEntry::default() }));
    state
}

fn begin(member: &mut SingleMember, call: &ClaimCall) -> ClaimReply {
    member.replica.claim(member.now, call).expect("it leads")
}

/// Runs the member for this time; its disk goes on writing. Returns the answers.
fn run(member: &mut SingleMember, ms: u64) -> Vec<Answer> {
    let end = member.now + ms;
    let mut answers = Vec::new();
    while member.now < end {
        member.now = member.replica.next_wake().clamp(member.now + 1, end);
        member.replica.tick(member.now);
        answers.extend(member.write());
    }
    answers
}

#[test]
fn a_claim_is_granted_only_once_it_is_on_the_disk() {
    let mut member = SingleMember::new("", &[]);
    assert!(matches!(begin(&mut member, &claim(1, 1)), ClaimReply::Pending(_)));
    assert_eq!(member.carry_out(), []);
    // Until then a second claim is not refused either, as the first may get lost.
    assert!(matches!(begin(&mut member, &claim(1, 2)), ClaimReply::Pending(_)));
    let [granted, held] = [ClaimAnswer::Granted, ClaimAnswer::Held(claimant(1))].map(Answer::Claim);
    assert_eq!(member.write(), [granted]);
    assert_eq!(run(&mut member, 10), [held]);
    assert_eq!(begin(&mut member, &claim(1, 3)), ClaimReply::Immediate(ClaimAnswer::Held(claimant(1))));
}

#[test]
fn claims_that_arrive_while_an_entry_is_in_flight_share_the_next_one() {
    let mut member = SingleMember::new("", &[]);
    let commit = member.replica.consensus().commit();
    for operation in 0..100 {
        begin(&mut member, &claim(operation, 1));
    }
    assert_eq!((member.write().len(), run(&mut member, 10).len()), (1, 99));
    assert_eq!(member.replica.consensus().commit(), commit + 2);
}

#[test]
fn an_entry_of_claims_wakes_no_held_calls() {
    let mut member = SingleMember::new("", &[]);
    begin(&mut member, &claim(1, 1));
    let effects = member.replica.take_effects();
    assert!(!effects.changed);
    effects.writes.iter().for_each(|write| member.replica.written(member.now, write.ticket, true));
    let effects = member.replica.take_effects();
    assert_eq!(effects.answers.len(), 1);
    assert!(!effects.changed);
}

#[test]
fn a_claim_that_is_not_committed_in_time_is_answered_as_unknown() {
    let mut member = SingleMember::new("", &[]);
    begin(&mut member, &claim(1, 1));
    begin(&mut member, &claim(2, 1));
    member.carry_out();
    member.now += 600;
    member.replica.tick(member.now);
    assert_eq!(member.carry_out(), [Answer::Unknown, Answer::Unknown]);
    // The entry is committed later: a repeat is granted, and no other claim.
    member.write();
    begin(&mut member, &claim(1, 1));
    assert_eq!(member.write(), [Answer::Claim(ClaimAnswer::Granted)]);
    assert_eq!(begin(&mut member, &claim(1, 2)), ClaimReply::Immediate(ClaimAnswer::Held(claimant(1))));
}

#[test]
fn an_operation_is_remembered_for_the_window_and_then_forgotten() {
    let mut member = SingleMember::new("", &[]);
    begin(&mut member, &claim(1, 1));
    member.write();
    run(&mut member, 60_000 + RETENTION_MARGIN_MS);
    assert_eq!(member.replica.state().operations().operation_count(), 1);
    // Its generation is closed after a quarter of the window, and checks take place at intervals.
    run(&mut member, 15_000 + 1_000);
    assert_eq!(member.replica.state().operations().record_count(), 0);
}

#[test]
fn a_new_leader_counts_the_age_of_generations_from_its_own_start() {
    let mut state = state_with(3);
    state.apply(Entry::Operations(OperationsEntry { close: Some(0), ..OperationsEntry::default() }));
    let mut member = SingleMember::new(&state.to_text(), &[]);
    run(&mut member, 60_000 + RETENTION_MARGIN_MS - 1_000);
    assert_eq!(member.replica.state().operations().operation_count(), 3);
    run(&mut member, 2_000);
    assert_eq!(member.replica.state().operations().operation_count(), 0);
}

#[test]
fn a_state_without_operations_keeps_the_old_format() {
    let state = ReplicatedState::default();
    assert!(!state.to_text().contains("operations"));
    let claimed = state_with(100);
    assert_eq!(ReplicatedState::from_text(&claimed.to_text()).expect("its own text"), claimed);
}

#[test]
fn no_snapshot_of_a_large_table_is_taken_for_every_few_claims() {
    let state = state_with(30_000);
    let bytes = state.to_text().len();
    let mut member = SingleMember::new(&state.to_text(), &[]);
    let mut snapshots = 0;
    for operation in 0..9_000 {
        let before = member.replica.applied_since_snapshot();
        begin(&mut member, &claim(operation, 1));
        run(&mut member, 10);
        snapshots += usize::from(member.replica.applied_since_snapshot() < before);
    }
    println!("{snapshots} snapshots of {bytes} bytes and more in 9,000 entries");
    assert!((1..=3).contains(&snapshots), "{snapshots} snapshots of {bytes} bytes");
}

/// A watch call of the gateway process that made the claims of [`claimant`].
fn watch_call() -> WatchCall {
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
    let mut member = SingleMember::new("", &[]);
    let state = |member: &SingleMember| member.replica.operation_view(member.now, OperationId(1)).state;
    assert_eq!(state(&member), "unclaimed");
    begin(&mut member, &claim(1, 4));
    assert_eq!(member.replica.operations_view(member.now).waiting, 0, "its entry is in flight");
    member.write();
    assert_eq!(state(&member), "holder_unknown");

    let held = member.replica.begin_watch(member.now, &watch_call()).expect("it leads");
    let view = member.replica.operation_view(member.now, OperationId(1));
    let claim = view.claim.expect("a claim");
    assert_eq!((view.state, claim.number, claim.gateway.as_deref()), ("held", 4, Some("edge")));
    assert_eq!((claim.granted.closed_ms, claim.granted.claims), (None, 1), "in the open generation");
    member.replica.watch_disconnected(member.now, &watch_call(), &held);
    run(&mut member, 20_000);
    assert_eq!(state(&member), "holder_away");

    let view = member.replica.operations_view(member.now);
    assert_eq!((view.remembered, view.claims, view.most_claims, view.generations), (1, 1, MAX_RECORDS, 2));
    let [closed, open] = &view.oldest[..] else { panic!("{view:?}") };
    let (since, until) = (closed.closed_ms.expect("closed"), closed.forgotten_in_ms.expect("closed"));
    assert!((1..20_000).contains(&since) && since + until == 60_000 + RETENTION_MARGIN_MS, "{closed:?}");
    assert_eq!((open.claims, open.closed_ms), (0, None));
    run(&mut member, until + 1_000);
    assert_eq!(state(&member), "unclaimed");
}
