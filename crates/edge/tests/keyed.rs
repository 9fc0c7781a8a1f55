//! Tests of keyed operations at several gateways with a scripted core and a fake proxy: an operation runs at most once,
//! and repeated requests receive the answer of the first run or an error that says why there is none.

mod frontend_fixture;

use frontend_fixture::*;
use nickeljunction_core::life::Answer;
use nickeljunction_edge::claim_client::{CallFuture, ClaimClient};
use nickeljunction_edge::exchange::{AdmissionDecision, BodyPart};
use nickeljunction_edge::frontend::KeyedOperations;
use nickeljunction_edge::operations::OperationTable;
use nickeljunction_edge::shutdown::Shutdown;
use nickeljunction_messages::{ClaimAnswer, ClaimCall, Claimant, OperationId, RecallAnswer, RecallCall};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::io::DuplexStream;
use tokio::sync::Notify;

/// Validity of a unit that expires during a test. A busy machine must be able to start a request within it.
const UNIT_VALIDITY_MS: f64 = 400.0;

/// The scripted leader's reaction to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leader {
    Answers,
    /// Applies the claim, but the answer is lost.
    AppliesWithoutAnswer,
    Unreachable,
    Full,
    /// Answers after [`FakeCore::resume`] is notified.
    WaitsForResume,
}

/// A core with a scripted leader, which also carries recall calls between the gateways.
struct FakeCore {
    leader: Cell<Leader>,
    resume: Notify,
    unreachable: Cell<bool>,
    holders: RefCell<HashMap<OperationId, Claimant>>,
    calls: RefCell<Vec<ClaimCall>>,
    gateways: RefCell<HashMap<u64, Rc<RefCell<OperationTable>>>>,
}

impl FakeCore {
    fn new() -> Rc<FakeCore> {
        Rc::new(FakeCore {
            leader: Cell::new(Leader::Answers),
            resume: Notify::new(),
            unreachable: Cell::new(false),
            holders: RefCell::default(),
            calls: RefCell::default(),
            gateways: RefCell::default(),
        })
    }

    /// Starts a gateway process with this incarnation.
    fn start_gateway(self: &Rc<FakeCore>, incarnation: u64) -> FrontendFixture {
        let gateway = FrontendFixture::new("");
        let operations = OperationTable::new(Ipv4Addr::LOCALHOST, incarnation, 60_000.0);
        let operations = Rc::new(RefCell::new(operations));
        self.gateways.borrow_mut().insert(incarnation, operations.clone());
        gateway.frontend.set_keyed_operations(KeyedOperations::new(
            gateway.wheel.clone(),
            operations,
            self.clone(),
        ));
        gateway
    }

    fn apply(&self, call: &ClaimCall) -> ClaimAnswer {
        let mut holders = self.holders.borrow_mut();
        match holders.get(&call.operation).copied() {
            Some(holder) if holder != call.claimant && call.released != Some(holder) => {
                ClaimAnswer::Held(holder)
            }
            _ => {
                holders.insert(call.operation, call.claimant);
                ClaimAnswer::Granted
            }
        }
    }
}

impl ClaimClient for FakeCore {
    fn claim<'a>(&'a self, call: &'a ClaimCall, _until: f64) -> CallFuture<'a, ClaimAnswer> {
        Box::pin(async move {
            self.calls.borrow_mut().push(*call);
            match self.leader.get() {
                Leader::Answers => Some(self.apply(call)),
                Leader::AppliesWithoutAnswer => {
                    self.apply(call);
                    None
                }
                Leader::Unreachable => None,
                Leader::Full => Some(ClaimAnswer::Full),
                Leader::WaitsForResume => {
                    self.resume.notified().await;
                    Some(self.apply(call))
                }
            }
        })
    }

    fn recall<'a>(&'a self, call: &'a RecallCall, _timeout_ms: f64) -> CallFuture<'a, RecallAnswer> {
        Box::pin(async move {
            let gateway = self.gateways.borrow().get(&call.claimant.incarnation).cloned()?;
            let answer = gateway.borrow_mut().recall(0.0, call);
            Some(answer)
        })
    }

    fn is_core_unreachable(&self) -> bool {
        self.unreachable.get()
    }
}

fn keyed_request_of(tenant_key: &str, path: &str, id: &str, key: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nX-Operation-Key: {key}\r\n\
         Authorization: Bearer {tenant_key}\r\nContent-Length: 4\r\n\r\nbook"
    )
}

fn keyed_request(id: &str, key: &str) -> String {
    keyed_request_of("good", "/o/book", id, key)
}

async fn begin_request(gateway: &FrontendFixture, text: &str) -> DuplexStream {
    let mut client = gateway.client();
    send(&mut client, text).await;
    settle().await;
    client
}

/// Sends a request on a new connection and returns the status, the head and the body of the answer.
async fn request_answer(gateway: &FrontendFixture, text: &str) -> (u16, String, String) {
    let mut client = begin_request(gateway, text).await;
    read_answer(&mut client).await
}

async fn read_answer(client: &mut DuplexStream) -> (u16, String, String) {
    let (head, body) = read_response(client).await;
    let status = head.split(' ').nth(1).expect("a status").parse().expect("a number");
    (status, head, body)
}

#[test]
fn concurrent_requests_with_one_key_at_two_gateways_run_once() {
    run_test(async {
        let core = FakeCore::new();
        let (first_gateway, second_gateway) = (core.start_gateway(1), core.start_gateway(2));
        let mut first = begin_request(&first_gateway, &keyed_request("1", "k")).await;
        for gateway in [&second_gateway, &first_gateway] {
            let (status, head, _) = request_answer(gateway, &keyed_request("2", "k")).await;
            assert_eq!(status, 409);
            assert!(head.contains("Retry-After: 0.") && head.contains("X-Attempt-Id: 2\r\n"), "{head}");
        }
        first_gateway.expect_dispatched(&["1"]).await;
        second_gateway.expect_dispatched(&[]).await;
        first_gateway.reply_ok("1");
        assert_eq!(read_answer(&mut first).await.0, 200);
    });
}

#[test]
fn repeat_waits_for_the_first_run_and_gets_its_answer_or_runs_after_a_refusal() {
    run_test(async {
        let core = FakeCore::new();
        let (first_gateway, second_gateway) = (core.start_gateway(1), core.start_gateway(2));
        for (key, completes) in [("k", true), ("m", false)] {
            let mut first = begin_request(&first_gateway, &keyed_request("1", key)).await;
            let mut repeats = [
                begin_request(&first_gateway, &keyed_request("2", key)).await,
                begin_request(&second_gateway, &keyed_request("3", key)).await,
            ];
            first_gateway.wheel.sleep(250.0).await;
            first_gateway.expect_dispatched(&["1"]).await;
            second_gateway.expect_dispatched(&[]).await;
            match completes {
                true => first_gateway.reply_ok("1"),
                false => first_gateway.reply("1", Answer::ShortOnCapacityReply(0.0)),
            }
            assert_eq!(read_answer(&mut first).await.0, if completes { 200 } else { 503 });
            if !completes {
                // The first was refused before it ran, so exactly one of the repeats runs.
                first_gateway.wheel.sleep(250.0).await;
                first_gateway.expect_dispatched(&["2"]).await;
                second_gateway.expect_dispatched(&[]).await;
                first_gateway.reply_ok("2");
            }
            for repeat in &mut repeats {
                let (status, _, body) = read_answer(repeat).await;
                assert_eq!((status, &body[..]), (200, if completes { "body of 1" } else { "body of 2" }));
            }
        }
    });
}

#[test]
fn repeat_receives_the_first_runs_status_seal_and_body_at_any_gateway() {
    run_test(async {
        let core = FakeCore::new();
        let (first_gateway, second_gateway) = (core.start_gateway(1), core.start_gateway(2));
        for (key, status) in [("k1", 200), ("k2", 404), ("k3", 500)] {
            let mut first = begin_request(&first_gateway, &keyed_request("1", key)).await;
            first_gateway.reply("1", Answer::Served(buffered_response(status, "1")));
            assert_eq!(read_answer(&mut first).await.0, status);
            for gateway in [&first_gateway, &second_gateway] {
                let (repeated, head, body) = request_answer(gateway, &keyed_request("2", key)).await;
                assert_eq!((repeated, &body[..]), (status, "body of 1"));
                assert!(
                    head.contains("X-Response-Seal: s.1\r\n") && head.contains("X-Attempt-Id: 2\r\n"),
                    "{head}"
                );
                assert!(!head.contains("X-Attempt-Id: 1"), "{head}");
                gateway.expect_dispatched(&[]).await;
            }
        }
    });
}

#[test]
fn operation_that_was_refused_before_it_ran_can_be_claimed_again() {
    run_test(async {
        let core = FakeCore::new();
        let (first_gateway, second_gateway) = (core.start_gateway(1), core.start_gateway(2));
        let mut first = begin_request(&first_gateway, &keyed_request("1", "k")).await;
        first_gateway.reply("1", Answer::ShortOnCapacityReply(0.0));
        assert_eq!(read_answer(&mut first).await.0, 503);
        // It is claimed again first at another gateway than the one that released it, then at the same one.
        let mut second = begin_request(&second_gateway, &keyed_request("2", "k")).await;
        second_gateway.reply("2", Answer::ShortOnCapacityReply(0.0));
        assert_eq!(read_answer(&mut second).await.0, 503);
        let mut third = begin_request(&second_gateway, &keyed_request("3", "k")).await;
        second_gateway.reply_ok("3");
        assert_eq!(read_answer(&mut third).await.0, 200);
    });
}

#[test]
fn key_belongs_to_one_tenant_and_one_request() {
    run_test(async {
        let core = FakeCore::new();
        let (first_gateway, second_gateway) = (core.start_gateway(1), core.start_gateway(2));
        let mut first = begin_request(&first_gateway, &keyed_request("1", "k")).await;
        let mut other_tenant =
            begin_request(&first_gateway, &keyed_request_of("further", "/o/book", "2", "k")).await;
        first_gateway.expect_dispatched(&["1", "2"]).await;
        first_gateway.reply_ok("1");
        first_gateway.reply_ok("2");
        assert_eq!((read_answer(&mut first).await.0, read_answer(&mut other_tenant).await.0), (200, 200));
        for gateway in [&first_gateway, &second_gateway] {
            assert_eq!(
                request_answer(gateway, &keyed_request_of("good", "/o/cancel", "3", "k")).await.0,
                422
            );
            gateway.expect_dispatched(&[]).await;
        }
    });
}

#[test]
fn operation_whose_gateway_crashed_never_runs_again() {
    run_test(async {
        let core = FakeCore::new();
        let (first_gateway, second_gateway) = (core.start_gateway(1), core.start_gateway(2));
        let _first = begin_request(&first_gateway, &keyed_request("1", "k")).await;
        core.gateways.borrow_mut().remove(&1);
        assert_eq!(request_answer(&second_gateway, &keyed_request("2", "k")).await.0, 502);
        // A new process in place of the first gateway has no record of the claim.
        let restarted = core.start_gateway(3);
        let table = core.gateways.borrow()[&3].clone();
        core.gateways.borrow_mut().insert(1, table);
        assert_eq!(request_answer(&restarted, &keyed_request("3", "k")).await.0, 502);
        second_gateway.expect_dispatched(&[]).await;
        restarted.expect_dispatched(&[]).await;
    });
}

#[test]
fn operation_whose_run_failed_or_was_dropped_never_runs_again() {
    run_test(async {
        let core = FakeCore::new();
        let (first_gateway, second_gateway) = (core.start_gateway(1), core.start_gateway(2));
        let mut first = begin_request(&first_gateway, &keyed_request("1", "k")).await;
        first_gateway.reply("1", Answer::Failed);
        assert_eq!(read_answer(&mut first).await.0, 502);
        let mut dropped_run = begin_request(&first_gateway, &keyed_request("2", "m")).await;
        drop(first_gateway.proxy.remove("2"));
        assert_eq!(read_answer(&mut dropped_run).await.0, 502);
        for (gateway, key) in
            [(&first_gateway, "k"), (&second_gateway, "k"), (&first_gateway, "m"), (&second_gateway, "m")]
        {
            assert_eq!(request_answer(gateway, &keyed_request("3", key)).await.0, 502);
            gateway.expect_dispatched(&[]).await;
        }
    });
}

#[test]
fn client_disconnect_ends_neither_the_run_nor_its_record() {
    run_test(async {
        let core = FakeCore::new();
        let (first_gateway, second_gateway) = (core.start_gateway(1), core.start_gateway(2));
        drop(begin_request(&first_gateway, &keyed_request("1", "k")).await);
        settle().await;
        assert_eq!(request_answer(&second_gateway, &keyed_request("2", "k")).await.0, 409);
        first_gateway.reply_ok("1");
        settle().await;
        for gateway in [&second_gateway, &first_gateway] {
            assert_eq!(request_answer(gateway, &keyed_request("3", "k")).await.2, "body of 1");
        }
        // If the client disconnects before the claim is granted, the operation does not run.
        core.leader.set(Leader::WaitsForResume);
        drop(begin_request(&first_gateway, &keyed_request("4", "m")).await);
        settle().await;
        core.resume.notify_one();
        first_gateway.expect_dispatched(&[]).await;
        core.leader.set(Leader::Answers);
        let _second = begin_request(&second_gateway, &keyed_request("5", "m")).await;
        second_gateway.expect_dispatched(&["5"]).await;
    });
}

#[test]
fn answer_too_long_to_store_leaves_its_operation_in_doubt() {
    run_test(async {
        let core = FakeCore::new();
        let (first_gateway, second_gateway) = (core.start_gateway(1), core.start_gateway(2));
        let mut first = begin_request(&first_gateway, &keyed_request("1", "k")).await;
        let (part_sender, served) = streamed_response(Some(4));
        first_gateway.reply("1", Answer::Served(served));
        for part in [BodyPart::Data("long".into()), BodyPart::End] {
            part_sender.send(part).await.expect("receiver is open");
        }
        assert_eq!(read_answer(&mut first).await.2, "long");
        for gateway in [&first_gateway, &second_gateway] {
            assert_eq!(request_answer(gateway, &keyed_request("2", "k")).await.0, 502);
            gateway.expect_dispatched(&[]).await;
        }
    });
}

#[test]
fn unanswered_claim_is_released_even_if_the_leader_applied_it() {
    run_test(async {
        for leader in [Leader::Unreachable, Leader::AppliesWithoutAnswer] {
            let core = FakeCore::new();
            let (first_gateway, second_gateway) = (core.start_gateway(1), core.start_gateway(2));
            core.leader.set(leader);
            let (status, head, _) = request_answer(&first_gateway, &keyed_request("1", "k")).await;
            assert_eq!(status, 503);
            assert!(head.contains("Retry-After"), "{head}");
            core.leader.set(Leader::Answers);
            let _second = begin_request(&second_gateway, &keyed_request("2", "k")).await;
            first_gateway.expect_dispatched(&[]).await;
            second_gateway.expect_dispatched(&["2"]).await;
            // The gateway that released the claim now finds the claim of the other one.
            assert_eq!(request_answer(&first_gateway, &keyed_request("3", "k")).await.0, 409);
            first_gateway.expect_dispatched(&[]).await;
        }
    });
}

#[test]
fn released_claim_is_taken_over_by_only_one_gateway() {
    run_test(async {
        let core = FakeCore::new();
        let gateways = [core.start_gateway(1), core.start_gateway(2), core.start_gateway(3)];
        core.leader.set(Leader::AppliesWithoutAnswer);
        assert_eq!(request_answer(&gateways[0], &keyed_request("1", "k")).await.0, 503);
        core.leader.set(Leader::Answers);
        let mut clients = Vec::new();
        for gateway in &gateways {
            clients.push(begin_request(gateway, &keyed_request("2", "k")).await);
        }
        let dispatched: usize = gateways.iter().map(|gateway| gateway.proxy.attempt_ids().len()).sum();
        assert_eq!(dispatched, 1);
        let numbers: Vec<_> = core
            .calls
            .borrow()
            .iter()
            .map(|call| (call.claimant.incarnation, call.claimant.number))
            .collect();
        let mut unique = numbers.clone();
        unique.dedup();
        assert_eq!(unique, numbers, "a claim number is used only once");
    });
}

#[test]
fn no_claim_without_a_key_or_a_reachable_core() {
    run_test(async {
        let core = FakeCore::new();
        let gateway = core.start_gateway(1);
        let mut without_key = begin_request(&gateway, &authorized_request("POST", "/o/book", "1")).await;
        gateway.reply_ok("1");
        assert_eq!(read_answer(&mut without_key).await.0, 200);
        core.unreachable.set(true);
        assert_eq!(request_answer(&gateway, &keyed_request("2", "k")).await.0, 503);
        assert!(
            gateway.admission.admit_calls.borrow().len() == 1,
            "the request without a claim takes no unit"
        );
        core.unreachable.set(false);
        assert!(core.calls.borrow().is_empty());
        core.leader.set(Leader::Full);
        assert_eq!(request_answer(&gateway, &keyed_request("3", "k")).await.0, 503);
        gateway.expect_dispatched(&[]).await;
    });
}

#[test]
fn claim_that_is_granted_too_late_is_released() {
    run_test(async {
        let core = FakeCore::new();
        let (first_gateway, second_gateway) = (core.start_gateway(1), core.start_gateway(2));
        core.leader.set(Leader::WaitsForResume);
        let mut stale = begin_request(&first_gateway, &keyed_request("1", "k1")).await;
        first_gateway.admission.stale_retry_after_ms.set(Some(100.0));
        core.resume.notify_one();
        assert_eq!(read_answer(&mut stale).await.0, 503);
        first_gateway.admission.stale_retry_after_ms.set(None);
        let mut during_shutdown = begin_request(&first_gateway, &keyed_request("2", "k2")).await;
        first_gateway.lifecycle.begin_shutdown(Shutdown::begin(first_gateway.wheel.now(), 0.0, 0.0));
        core.resume.notify_one();
        assert_eq!(read_answer(&mut during_shutdown).await.0, 503);
        first_gateway.expect_dispatched(&[]).await;
        core.leader.set(Leader::Answers);
        let _repeats = [
            begin_request(&second_gateway, &keyed_request("3", "k1")).await,
            begin_request(&second_gateway, &keyed_request("4", "k2")).await,
        ];
        second_gateway.expect_dispatched(&["3", "4"]).await;
    });
}

#[test]
fn unit_that_expires_during_the_claim_is_replaced_before_the_dispatch() {
    run_test(async {
        let core = FakeCore::new();
        let (first_gateway, second_gateway) = (core.start_gateway(1), core.start_gateway(2));
        core.leader.set(Leader::WaitsForResume);
        first_gateway
            .admission
            .decision
            .set(AdmissionDecision::Admitted(first_gateway.wheel.now() + UNIT_VALIDITY_MS));
        let _client = begin_request(&first_gateway, &keyed_request("1", "k1")).await;
        first_gateway.wheel.sleep(UNIT_VALIDITY_MS + 20.0).await;
        let until = first_gateway.wheel.now() + 60_000.0;
        first_gateway.admission.decision.set(AdmissionDecision::Admitted(until));
        core.resume.notify_one();
        first_gateway.expect_dispatched(&["1"]).await;
        assert_eq!(first_gateway.proxy.remove("1").unit_valid_until, until);

        first_gateway
            .admission
            .decision
            .set(AdmissionDecision::Admitted(first_gateway.wheel.now() + UNIT_VALIDITY_MS));
        let mut over_quota = begin_request(&first_gateway, &keyed_request("2", "k2")).await;
        first_gateway.wheel.sleep(UNIT_VALIDITY_MS + 20.0).await;
        first_gateway.admission.decision.set(AdmissionDecision::OverQuota(100.0));
        core.resume.notify_one();
        assert_eq!(read_answer(&mut over_quota).await.0, 429);
        core.leader.set(Leader::Answers);
        let _repeat = begin_request(&second_gateway, &keyed_request("3", "k2")).await;
        second_gateway.expect_dispatched(&["3"]).await;
    });
}
