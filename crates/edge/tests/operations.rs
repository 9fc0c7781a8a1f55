//! The table of operations against a reference that forgets nothing, and its bounds.

use bytes::Bytes;
use nickeljunction_edge::exchange::{ResponseBody, ServerResponse};
use nickeljunction_edge::operations::{request_digest, BeginResult, OperationTable, StoredAnswer};
use nickeljunction_http::stream::read_answer_head;
use nickeljunction_messages::{Claimant, OperationId, RecallAnswer, RecallCall};
use proptest::prelude::*;
use std::collections::HashMap;
use std::net::Ipv4Addr;

const HOST: Ipv4Addr = Ipv4Addr::LOCALHOST;
const LIFE: u64 = 7;
const WINDOW_MS: f64 = 60_000.0;

fn served(status: u16, body: &str) -> ServerResponse {
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
    StoredAnswer::from_response(&served(200, body)).unwrap()
}

fn operations() -> OperationTable {
    OperationTable::new(HOST, LIFE, WINDOW_MS)
}

fn claimed(begun: BeginResult) -> u64 {
    match begun {
        BeginResult::Claim { claimant, .. } => claimant.number,
        other => panic!("{other:?}"),
    }
}

fn recall(operation: OperationId, number: u64, request: u64) -> RecallCall {
    RecallCall {
        operation,
        claimant: Claimant { host: HOST, incarnation: LIFE, number },
        request_digest: request,
    }
}

#[test]
fn operations_and_requests_are_told_apart() {
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
fn a_kept_answer_is_the_same_after_a_way_between_gateways() {
    let kept = answer("body");
    let far = StoredAnswer::from_message(&kept.to_message()).unwrap();
    assert_eq!(far, kept);
    let repeated = far.to_response("2").unwrap();
    assert_eq!((repeated.status, repeated.headers.get("x-response-seal")), (200, Some("s")));
    assert_eq!(repeated.headers.all("x-attempt-id").collect::<Vec<_>>(), ["2"]);
    assert!(matches!(repeated.body, ResponseBody::Buffered(body) if body == "body"));
}

#[test]
fn the_oldest_answers_give_way_and_their_operations_stay_in_doubt() {
    let mut table = operations().with_max_answer_bytes(4_000);
    let ids: Vec<_> = (0..8).map(|at| OperationId::of(None, &at.to_string())).collect();
    for id in &ids {
        let number = claimed(table.begin(0.0, *id, 1));
        table.record_answer(0.0, *id, number, answer(&"x".repeat(800)));
    }
    let (remembered, kept, bytes) = table.usage();
    assert_eq!((remembered, kept), (8, 4));
    assert!(bytes <= 4_000, "{bytes}");
    for (at, id) in ids.iter().enumerate() {
        let begun = table.begin(1.0, *id, 1);
        assert_eq!(matches!(begun, BeginResult::Answered(_)), at >= 4, "{begun:?}");
        assert!(at >= 4 || begun == BeginResult::InDoubt);
    }
}

#[test]
fn an_operation_is_remembered_for_the_whole_window_after_its_end() {
    let mut table = operations();
    let id = OperationId::of(Some("t"), "k");
    let number = claimed(table.begin(0.0, id, 1));
    // One at work is never forgotten.
    assert_eq!(table.begin(1e6, id, 1), BeginResult::InProgress);
    table.record_answer(1e6, id, number, answer("b"));
    assert!(matches!(table.begin(1e6 + WINDOW_MS, id, 1), BeginResult::Answered(_)));
    assert!(claimed(table.begin(1e6 + WINDOW_MS + 30_001.0, id, 1)) > number);
    assert_eq!((table.usage().1, table.usage().2), (0, 0));
}

#[derive(Debug, Clone)]
enum Act {
    Begin(u8, u64),
    Release(u8, u64),
    Answer(u8, u64),
    Doubt(u8, u64),
    Recall(u8, u64, u64),
    Wait(u32),
}

fn acts() -> impl Strategy<Value = Vec<Act>> {
    let (operation, number) = (0..3_u8, 1..12_u64);
    let act = prop_oneof![
        4 => (operation.clone(), 0..2_u64).prop_map(|(operation, request)| Act::Begin(operation, request)),
        2 => (operation.clone(), number.clone()).prop_map(|(operation, number)| Act::Release(operation, number)),
        1 => (operation.clone(), number.clone()).prop_map(|(operation, number)| Act::Answer(operation, number)),
        1 => (operation.clone(), number.clone()).prop_map(|(operation, number)| Act::Doubt(operation, number)),
        3 => (operation, number, 0..2_u64).prop_map(|(o, n, r)| Act::Recall(o, n, r)),
        1 => (0..40_000_u32).prop_map(Act::Wait),
    ];
    proptest::collection::vec(act, 1..80)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    AtWork,
    Released,
    Answered,
    InDoubt,
}

/// Every claim that was ever made, by its number.
#[derive(Default)]
struct Reference(HashMap<u64, (u8, u64, End, f64)>);

impl Reference {
    fn newest(&self, operation: u8) -> Option<(u64, u64, End, f64)> {
        let of_it = self.0.iter().filter(|(_, claim)| claim.0 == operation);
        of_it.map(|(number, claim)| (*number, claim.1, claim.2, claim.3)).max_by_key(|claim| claim.0)
    }

    fn end(&mut self, now: f64, operation: u8, number: u64, end: End) {
        let claim = self.0.get_mut(&number).filter(|claim| claim.0 == operation && claim.2 == End::AtWork);
        if let Some(claim) = claim {
            (claim.2, claim.3) = (end, now);
        }
    }
}

proptest! {
    #[test]
    fn within_the_window_a_claim_follows_released_ones_alone_and_recalls_tell_the_truth(acts in acts()) {
        let (mut table, mut reference, mut now) = (operations(), Reference::default(), 0.0);
        let id = |operation: u8| OperationId::of(Some("t"), &operation.to_string());
        for act in acts {
            match act {
                Act::Wait(ms) => now += f64::from(ms),
                Act::Release(operation, number) => {
                    table.release(now, id(operation), number);
                    reference.end(now, operation, number, End::Released);
                }
                Act::Answer(operation, number) => {
                    table.record_answer(now, id(operation), number, answer("b"));
                    reference.end(now, operation, number, End::Answered);
                }
                Act::Doubt(operation, number) => {
                    table.mark_in_doubt(now, id(operation), number);
                    reference.end(now, operation, number, End::InDoubt);
                }
                Act::Begin(operation, request) => {
                    let newest = reference.newest(operation);
                    match table.begin(now, id(operation), request) {
                        BeginResult::Claim { claimant, .. } => {
                            prop_assert!(!reference.0.contains_key(&claimant.number), "a number is used once");
                            if let Some((_, _, end, since)) = newest {
                                prop_assert!(end == End::Released || (end != End::AtWork && now >= since + WINDOW_MS));
                            }
                            reference.0.insert(claimant.number, (operation, request, End::AtWork, now));
                        }
                        begun => {
                            let (_, known, end, _) = newest.expect("begun before");
                            let fits = match begun {
                                BeginResult::InProgress => end == End::AtWork && known == request,
                                BeginResult::Answered(_) => end == End::Answered && known == request,
                                BeginResult::InDoubt => end == End::InDoubt && known == request,
                                BeginResult::OtherRequest => end != End::Released && known != request,
                                _ => false,
                            };
                            prop_assert!(fits, "{begun:?} of {end:?}");
                        }
                    }
                }
                Act::Recall(operation, number, request) => {
                    let claim = reference.0.get(&number).filter(|claim| claim.0 == operation);
                    match table.recall(now, &recall(id(operation), number, request)) {
                        RecallAnswer::InDoubt => {
                            // Also of what is forgotten, and of claims that never were.
                            let current = claim.filter(|claim| now < claim.3 + WINDOW_MS || claim.2 == End::AtWork);
                            prop_assert!(current.is_none_or(|claim| claim.2 == End::InDoubt), "{claim:?}");
                        }
                        told => {
                            // A number between two claims of an operation may be another operation's: nobody asks for it.
                            let Some((_, known, end, _)) = claim else { continue };
                            let fits = match told {
                                RecallAnswer::Released => *end == End::Released,
                                RecallAnswer::OtherRequest => *known != request && *end != End::Released,
                                RecallAnswer::InProgress => *end == End::AtWork && *known == request,
                                RecallAnswer::Answered(_) => *end == End::Answered && *known == request,
                                RecallAnswer::InDoubt => false,
                            };
                            prop_assert!(fits, "{told:?} of {end:?}");
                        }
                    }
                }
            }
        }
    }
}
