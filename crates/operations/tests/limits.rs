//! How much is remembered and written, and what becomes of too much.

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
fn a_claim_is_48_characters_on_the_log_and_in_a_snapshot() {
    let entry = |count| claims((0..count).map(|one| claim(one, 1)).collect());
    let text = |count| serde_json::to_string(&entry(count)).expect("JSON").len();
    assert_eq!((text(0), text(1), text(100)), (2, 56, 8 + 4_800));
    let mut table = OperationTable::default();
    table.apply(&entry(1_000));
    assert!(serde_json::to_string(&table).expect("JSON").len() < 48_100);
}

#[test]
fn a_full_table_grants_nothing_new_and_forgets_nothing_early() {
    let mut table = OperationTable::default();
    table.apply(&claims((0..MAX_RECORDS).map(|one| claim(one, 1)).collect()));
    assert!(table.is_full());
    let takeover = Takeover { claim: claim(0, 2), released: claimant(1) };
    let more = vec![claim(MAX_RECORDS, 1)];
    table.apply(&OperationsEntry { claims: more, takeovers: vec![takeover], ..Default::default() });
    assert_eq!((table.operation_count(), table.record_count()), (MAX_RECORDS, MAX_RECORDS));
    assert_eq!(table.holder(claim(0, 1).operation), Some(claimant(1)));
    let answer = |operation, number, released| {
        let claim = claim(operation, number);
        let call = ClaimCall { operation: claim.operation, claimant: claim.claimant, released };
        WaitingClaim { call, ticket: 1, deadline: 9 }.answer(9, &table)
    };
    assert_eq!(answer(0, 1, None), Some(ClaimAnswer::Granted), "a repeat of its holder");
    assert_eq!(answer(0, 2, None), Some(ClaimAnswer::Held(claimant(1))));
    assert_eq!(answer(0, 2, Some(claimant(1))), Some(ClaimAnswer::Full));
    assert_eq!(answer(MAX_RECORDS, 1, None), Some(ClaimAnswer::Full));
    table.apply(&OperationsEntry { close: Some(0), ..Default::default() });
    table.apply(&OperationsEntry { forget: Some(0), ..Default::default() });
    assert!(!table.is_full() && table.operation_count() == 0);
}

#[test]
fn generations_are_closed_and_forgotten_once_and_in_order() {
    let mut table = OperationTable::default();
    let close = |generation| OperationsEntry { close: Some(generation), ..Default::default() };
    let forget = |generation| OperationsEntry { forget: Some(generation), ..Default::default() };
    table.apply(&close(0));
    assert!(table.closed_generations().is_empty(), "an empty one stays open");
    table.apply(&claims(vec![claim(1, 1)]));
    table.apply(&forget(0));
    assert_eq!(table.operation_count(), 1, "an open one is not forgotten");
    table.apply(&close(0));
    table.apply(&claims(vec![claim(2, 1)]));
    table.apply(&close(0));
    assert_eq!(
        (table.closed_generations(), table.open_generation()),
        (0..1, 1),
        "closed by two leaders, once"
    );
    table.apply(&close(1));
    table.apply(&forget(1));
    assert_eq!((table.closed_generations(), table.operation_count()), (0..2, 2), "the oldest goes first");
    table.apply(&forget(0));
    table.apply(&forget(0));
    assert_eq!((table.closed_generations(), table.operation_count()), (1..2, 1));
}

#[test]
fn an_answer_that_comes_too_late_is_none() {
    let mut table = OperationTable::default();
    table.apply(&claims(vec![claim(1, 1)]));
    let call = ClaimCall { operation: claim(1, 1).operation, claimant: claimant(1), released: None };
    let waiting = WaitingClaim { call, ticket: 1, deadline: 600 };
    assert_eq!(waiting.answer(600, &table), Some(ClaimAnswer::Granted));
    assert_eq!(waiting.answer(601, &table), None);
}

#[test]
fn a_log_that_stands_still_takes_a_bounded_number_of_claims() {
    let mut log = ClaimBatcher::default();
    let waiting = |ticket: u64| WaitingClaim {
        call: ClaimCall { operation: OperationId(ticket.into()), claimant: claimant(ticket), released: None },
        ticket,
        deadline: 600 + ticket,
    };
    let taken = (0..10_000).take_while(|ticket| log.enqueue(waiting(*ticket))).count();
    assert_eq!(taken, 4_096);
    let batch = log.next_batch(0).expect("claims wait");
    assert_eq!(batch.claims.len(), 256);
    let left_off = batch.claims.len() as u64;
    log.cancel(left_off);
    let late = log.drain_expired(900);
    let tickets: Vec<u64> = late.iter().map(|claim| claim.ticket).collect();
    assert_eq!(tickets, (left_off + 1..=300).collect::<Vec<u64>>());
    assert_eq!(log.next_deadline(), Some(901));
    assert_eq!(log.next_batch(901), None, "one entry at a time");
    log.finish_batch(&batch);
    assert_eq!(log.next_deadline(), Some(10));
}

#[test]
fn what_was_forgotten_may_be_claimed_and_taken_over() {
    let mut table = OperationTable::default();
    let takeover = Takeover { claim: claim(1, 2), released: claimant(1) };
    table.apply(&OperationsEntry { takeovers: vec![takeover], ..Default::default() });
    assert_eq!(table.holder(claim(1, 1).operation), Some(claimant(2)));
}
