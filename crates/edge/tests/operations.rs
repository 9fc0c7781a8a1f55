//! Tests of the operation table: its bounds on memory and time, the digest of requests, and a comparison with a
//! reference that keeps every claim.

use bytes::Bytes;
use nickeljunction_edge::exchange::{ResponseBody, ServerResponse};
use nickeljunction_edge::operations::{request_digest, BeginResult, OperationTable, StoredAnswer};
use nickeljunction_http::stream::read_answer_head;
use nickeljunction_messages::{Claimant, OperationId, RecallAnswer, RecallCall};
use proptest::prelude::*;
use std::collections::HashMap;
use std::net::Ipv4Addr;

const HOST: Ipv4Addr = Ipv4Addr::LOCALHOST;
const INCARNATION: u64 = 7;
const WINDOW_MS: f64 = 60_000.0;

fn buffered_response(status: u16, body: &str) -> ServerResponse {
    let text =
        format!("HTTP/1.1 {status} X\r\nX-Attempt-Id: 1\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n");
    let head = read_answer_head(&mut text.as_bytes().into(), 4096, false).unwrap().unwrap();
    ServerResponse {
        status,
        headers: head.headers,
        body: ResponseBody::Buffered(Bytes::from(body.to_string())),
    }
}

fn answer(body: &str) -> StoredAnswer {
    StoredAnswer::from_response(&buffered_response(200, body)).unwrap()
}

fn operation_table() -> OperationTable {
    OperationTable::new(HOST, INCARNATION, WINDOW_MS)
}

/// The number of the claim that was begun.
fn claim_number(result: BeginResult) -> u64 {
    match result {
        BeginResult::Claim { claimant, .. } => claimant.number,
        other => panic!("{other:?}"),
    }
}

fn recall(operation: OperationId, number: u64, request: u64) -> RecallCall {
    RecallCall {
        operation,
        claimant: Claimant { host: HOST, incarnation: INCARNATION, number },
        request_digest: request,
    }
}

#[test]
fn different_operations_and_requests_have_different_identifiers() {
    let id = OperationId::of(Some("t"), "key");
    assert_eq!(id, OperationId::of(Some("t"), "key"));
    for (tenant, key) in [(Some("tk"), "ey"), (Some("t"), "keys"), (None, "key"), (Some(""), "key")] {
        assert_ne!(id, OperationId::of(tenant, key));
    }
    let request = request_digest("POST", "/o/", Some(b"b"));
    for other in [("PUT", "/o/", Some(&b"b"[..])), ("POST", "/o/b", Some(b"")), ("POST", "/o/", None)] {
        assert_ne!(request, request_digest(other.0, other.1, other.2));
    }
}

#[test]
fn stored_answer_is_unchanged_by_the_transfer_between_gateways() {
    let stored = answer("body");
    let received = StoredAnswer::from_message(&stored.to_message()).unwrap();
    assert_eq!(received, stored);
    let repeated = received.to_response("2").unwrap();
    assert_eq!((repeated.status, repeated.headers.get("x-response-seal")), (200, Some("s")));
    assert_eq!(repeated.headers.all("x-attempt-id").collect::<Vec<_>>(), ["2"]);
    assert!(matches!(repeated.body, ResponseBody::Buffered(body) if body == "body"));
}

#[test]
fn oldest_answers_are_evicted_and_their_operations_stay_in_doubt() {
    let mut table = operation_table().with_max_answer_bytes(4_000);
    let ids: Vec<_> = (0..8).map(|index| OperationId::of(None, &index.to_string())).collect();
    for id in &ids {
        let number = claim_number(table.begin(0.0, *id, 1));
        table.record_answer(0.0, *id, number, answer(&"x".repeat(800)));
    }
    let (operations, answers, bytes) = table.usage();
    assert_eq!((operations, answers), (8, 4));
    assert!(bytes <= 4_000, "{bytes}");
    for (index, id) in ids.iter().enumerate() {
        let result = table.begin(1.0, *id, 1);
        assert_eq!(matches!(result, BeginResult::Answered(_)), index >= 4, "{result:?}");
        assert!(index >= 4 || result == BeginResult::InDoubt);
    }
}

#[test]
fn operation_is_kept_for_the_whole_window_after_its_end() {
    let mut table = operation_table();
    let id = OperationId::of(Some("t"), "k");
    let number = claim_number(table.begin(0.0, id, 1));
    // An operation in progress is never removed.
    assert_eq!(table.begin(1e6, id, 1), BeginResult::InProgress);
    table.record_answer(1e6, id, number, answer("b"));
    assert!(matches!(table.begin(1e6 + WINDOW_MS, id, 1), BeginResult::Answered(_)));
    assert!(claim_number(table.begin(1e6 + WINDOW_MS + 30_001.0, id, 1)) > number);
    assert_eq!((table.usage().1, table.usage().2), (0, 0));
}

#[derive(Debug, Clone)]
enum Action {
    /// Operation and request.
    Begin(u8, u64),
    /// Operation and claim number.
    Release(u8, u64),
    /// Operation and claim number.
    Answer(u8, u64),
    /// Operation and claim number.
    MarkInDoubt(u8, u64),
    /// Operation, claim number and request.
    Recall(u8, u64, u64),
    /// Time in ms.
    Wait(u32),
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let (operation, number) = (0..3_u8, 1..12_u64);
    let action = prop_oneof![
        4 => (operation.clone(), 0..2_u64).prop_map(|(operation, request)| Action::Begin(operation, request)),
        2 => (operation.clone(), number.clone()).prop_map(|(operation, number)| Action::Release(operation, number)),
        1 => (operation.clone(), number.clone()).prop_map(|(operation, number)| Action::Answer(operation, number)),
        1 => (operation.clone(), number.clone()).prop_map(|(operation, number)| Action::MarkInDoubt(operation, number)),
        3 => (operation, number, 0..2_u64)
            .prop_map(|(operation, number, request)| Action::Recall(operation, number, request)),
        1 => (0..40_000_u32).prop_map(Action::Wait),
    ];
    proptest::collection::vec(action, 1..80)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimState {
    InProgress,
    Released,
    Answered,
    InDoubt,
}

#[derive(Debug, Clone, Copy)]
struct ReferenceClaim {
    operation: u8,
    request: u64,
    state: ClaimState,
    /// When the claim entered its state.
    since_ms: f64,
}

/// Every claim that was ever made, by its number.
#[derive(Default)]
struct Reference(HashMap<u64, ReferenceClaim>);

impl Reference {
    fn newest(&self, operation: u8) -> Option<ReferenceClaim> {
        let claims = self.0.iter().filter(|(_, claim)| claim.operation == operation);
        claims.max_by_key(|(number, _)| **number).map(|(_, claim)| *claim)
    }

    fn finish(&mut self, now_ms: f64, operation: u8, number: u64, state: ClaimState) {
        let claim = self.0.get_mut(&number);
        let in_progress =
            claim.filter(|claim| claim.operation == operation && claim.state == ClaimState::InProgress);
        if let Some(claim) = in_progress {
            (claim.state, claim.since_ms) = (state, now_ms);
        }
    }
}

proptest! {
    #[test]
    fn new_claim_within_the_window_follows_only_released_ones_and_recalls_match_the_reference(actions in actions()) {
        let (mut table, mut reference, mut now_ms) = (operation_table(), Reference::default(), 0.0);
        let id = |operation: u8| OperationId::of(Some("t"), &operation.to_string());
        for action in actions {
            match action {
                Action::Wait(ms) => now_ms += f64::from(ms),
                Action::Release(operation, number) => {
                    table.release(now_ms, id(operation), number);
                    reference.finish(now_ms, operation, number, ClaimState::Released);
                }
                Action::Answer(operation, number) => {
                    table.record_answer(now_ms, id(operation), number, answer("b"));
                    reference.finish(now_ms, operation, number, ClaimState::Answered);
                }
                Action::MarkInDoubt(operation, number) => {
                    table.mark_in_doubt(now_ms, id(operation), number);
                    reference.finish(now_ms, operation, number, ClaimState::InDoubt);
                }
                Action::Begin(operation, request) => {
                    let newest = reference.newest(operation);
                    match table.begin(now_ms, id(operation), request) {
                        BeginResult::Claim { claimant, .. } => {
                            let number = claimant.number;
                            prop_assert!(!reference.0.contains_key(&number), "claim number {number} is used twice");
                            if let Some(ReferenceClaim { state, since_ms, .. }) = newest {
                                let is_expired =
                                    state != ClaimState::InProgress && now_ms >= since_ms + WINDOW_MS;
                                prop_assert!(state == ClaimState::Released || is_expired);
                            }
                            let state = ClaimState::InProgress;
                            let claim = ReferenceClaim { operation, request, state, since_ms: now_ms };
                            reference.0.insert(number, claim);
                        }
                        result => {
                            let claim = newest.expect("an earlier claim");
                            let (state, is_same_request) = (claim.state, claim.request == request);
                            let fits = match result {
                                BeginResult::InProgress => state == ClaimState::InProgress && is_same_request,
                                BeginResult::Answered(_) => state == ClaimState::Answered && is_same_request,
                                BeginResult::InDoubt => state == ClaimState::InDoubt && is_same_request,
                                BeginResult::OtherRequest => state != ClaimState::Released && !is_same_request,
                                _ => false,
                            };
                            prop_assert!(fits, "{result:?} for a claim that is {state:?}");
                        }
                    }
                }
                Action::Recall(operation, number, request) => {
                    let claim = reference.0.get(&number).filter(|claim| claim.operation == operation);
                    match table.recall(now_ms, &recall(id(operation), number, request)) {
                        RecallAnswer::InDoubt => {
                            // Also the answer for claims that were removed or never made.
                            let current = claim.filter(|claim| {
                                now_ms < claim.since_ms + WINDOW_MS || claim.state == ClaimState::InProgress
                            });
                            prop_assert!(current.is_none_or(|claim| claim.state == ClaimState::InDoubt), "{claim:?}");
                        }
                        answer => {
                            // A number between two claims of this operation may belong to another operation. No
                            // gateway recalls such a number.
                            let Some(claim) = claim else { continue };
                            let (state, is_same_request) = (claim.state, claim.request == request);
                            let fits = match answer {
                                RecallAnswer::Released => state == ClaimState::Released,
                                RecallAnswer::OtherRequest => !is_same_request && state != ClaimState::Released,
                                RecallAnswer::InProgress => state == ClaimState::InProgress && is_same_request,
                                RecallAnswer::Answered(_) => state == ClaimState::Answered && is_same_request,
                                RecallAnswer::InDoubt => false,
                            };
                            prop_assert!(fits, "{answer:?} for a claim that is {state:?}");
                        }
                    }
                }
            }
        }
    }
}
