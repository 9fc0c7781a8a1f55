//! Size limits of the table, of its encoding and of the claim queue, and behaviour at these limits.

use nickeljunction_messages::{ClaimAnswer, ClaimCall, Claimant, OperationId};
use nickeljunction_operations::{
    Claim, ClaimBatcher, OperationTable, OperationsEntry, Takeover, WaitingClaim, MAX_RECORDS,
};

fn claimant(number: u64) -> Claimant {
    Claimant { host: [10, 3, 0, 9].into(), incarnation: u64::MAX - number, number }
}

fn claim(operation: usize, number: u64) -> Claim {
    Claim { operation: OperationId(u128::MAX - operation as u128), claimant: claimant(number) }
}

fn claims(claims: Vec<Claim>) -> OperationsEntry {
    OperationsEntry { claims, ..OperationsEntry::default() }
}

#[test]
fn a_claim_takes_48_characters_in_an_entry_and_in_a_snapshot() {
    let entry_of = |count| claims((0..count).map(|operation| claim(operation, 1)).collect());
    let text_length = |count| serde_json::to_string(&entry_of(count)).expect("JSON").len();
    assert_eq!((text_length(0), text_length(1), text_length(100)), (2, 56, 8 + 4_800));
    let mut table = OperationTable::default();
    table.apply(&entry_of(1_000));
    assert!(serde_json::to_string(&table).expect("JSON").len() < 48_100);
}

#[test]
fn a_full_table_refuses_new_claims_and_keeps_old_ones_until_their_generation_is_forgotten() {
    let mut table = OperationTable::default();
    table.apply(&claims((0..MAX_RECORDS).map(|operation| claim(operation, 1)).collect()));
    assert!(table.is_full());
    let takeover = Takeover { claim: claim(0, 2), released: claimant(1) };
    let new_claims = vec![claim(MAX_RECORDS, 1)];
    table.apply(&OperationsEntry { claims: new_claims, takeovers: vec![takeover], ..Default::default() });
    assert_eq!((table.operation_count(), table.record_count()), (MAX_RECORDS, MAX_RECORDS));
    assert_eq!(table.holder(claim(0, 1).operation), Some(claimant(1)));
    let answer = |operation, number, released| {
        let claim = claim(operation, number);
        let call = ClaimCall { operation: claim.operation, claimant: claim.claimant, released };
        WaitingClaim { call, ticket: 1, deadline: 9 }.answer(9, &table)
    };
    assert_eq!(answer(0, 1, None), Some(ClaimAnswer::Granted), "the holder repeats its claim");
    assert_eq!(answer(0, 2, None), Some(ClaimAnswer::Held(claimant(1))));
    assert_eq!(answer(0, 2, Some(claimant(1))), Some(ClaimAnswer::Full));
    assert_eq!(answer(MAX_RECORDS, 1, None), Some(ClaimAnswer::Full));
    table.apply(&OperationsEntry { close: Some(0), ..Default::default() });
    table.apply(&OperationsEntry { forget: Some(0), ..Default::default() });
    assert!(!table.is_full() && table.operation_count() == 0);
}

#[test]
fn each_generation_is_closed_and_forgotten_once_and_in_order() {
    let mut table = OperationTable::default();
    let close = |generation| OperationsEntry { close: Some(generation), ..Default::default() };
    let forget = |generation| OperationsEntry { forget: Some(generation), ..Default::default() };
    table.apply(&close(0));
    assert!(table.closed_generations().is_empty(), "an empty generation stays open");
    table.apply(&claims(vec![claim(1, 1)]));
    table.apply(&forget(0));
    assert_eq!(table.operation_count(), 1, "an open generation is not forgotten");
    table.apply(&close(0));
    table.apply(&claims(vec![claim(2, 1)]));
    table.apply(&close(0));
    assert_eq!(
        (table.closed_generations(), table.open_generation()),
        (0..1, 1),
        "two leaders propose to close it, it is closed once"
    );
    table.apply(&close(1));
    table.apply(&forget(1));
    assert_eq!(
        (table.closed_generations(), table.operation_count()),
        (0..2, 2),
        "only the oldest generation can be forgotten"
    );
    table.apply(&forget(0));
    table.apply(&forget(0));
    assert_eq!((table.closed_generations(), table.operation_count()), (1..2, 1));
}

#[test]
fn there_is_no_answer_after_the_deadline_of_a_claim() {
    let mut table = OperationTable::default();
    table.apply(&claims(vec![claim(1, 1)]));
    let call = ClaimCall { operation: claim(1, 1).operation, claimant: claimant(1), released: None };
    let waiting = WaitingClaim { call, ticket: 1, deadline: 600 };
    assert_eq!(waiting.answer(600, &table), Some(ClaimAnswer::Granted));
    assert_eq!(waiting.answer(601, &table), None);
}

#[test]
fn the_claim_queue_is_bounded_while_no_entry_is_committed() {
    let mut batcher = ClaimBatcher::default();
    let waiting_claim = |ticket: u64| WaitingClaim {
        call: ClaimCall { operation: OperationId(ticket.into()), claimant: claimant(ticket), released: None },
        ticket,
        deadline: 600 + ticket,
    };
    let queued = (0..10_000).take_while(|ticket| batcher.enqueue(waiting_claim(*ticket))).count();
    assert_eq!(queued, 4_096);
    let batch = batcher.next_batch(0).expect("claims wait");
    assert_eq!(batch.claims.len(), 256);
    let cancelled_ticket = batch.claims.len() as u64;
    batcher.cancel(cancelled_ticket);
    let expired = batcher.drain_expired(900);
    let tickets: Vec<u64> = expired.iter().map(|claim| claim.ticket).collect();
    assert_eq!(tickets, (cancelled_ticket + 1..=300).collect::<Vec<u64>>());
    assert_eq!(batcher.next_deadline(), Some(901));
    assert_eq!(batcher.next_batch(901), None, "one entry in flight at a time");
    batcher.finish_batch(&batch);
    assert_eq!(batcher.next_deadline(), Some(10));
}

#[test]
fn a_takeover_of_a_forgotten_claim_is_granted() {
    let mut table = OperationTable::default();
    let takeover = Takeover { claim: claim(1, 2), released: claimant(1) };
    table.apply(&OperationsEntry { takeovers: vec![takeover], ..Default::default() });
    assert_eq!(table.holder(claim(1, 1).operation), Some(claimant(2)));
}
