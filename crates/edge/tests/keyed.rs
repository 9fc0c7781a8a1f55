//! Keyed operations at gateways whose core and whose servers are scripted: each runs once at most, and repeats are told so.

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

/// How long a unit is good that runs out amid a test, ms: longer than a busy machine takes to begin with a request.
const UNIT_MS: f64 = 400.0;

/// What the scripted leader does with a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leader {
    Answers,
    /// It takes a claim, and its answer is lost.
    TakesSilently,
    Unreachable,
    Full,
    /// It answers once [`Core::go_on`] is notified.
    Waits,
}

/// The core, and the ways between gateways.
struct Core {
    leader: Cell<Leader>,
    go_on: Notify,
    cut_off: Cell<bool>,
    holders: RefCell<HashMap<OperationId, Claimant>>,
    calls: RefCell<Vec<ClaimCall>>,
    gateways: RefCell<HashMap<u64, Rc<RefCell<OperationTable>>>>,
}

impl Core {
    fn new() -> Rc<Core> {
        Rc::new(Core {
            leader: Cell::new(Leader::Answers),
            go_on: Notify::new(),
            cut_off: Cell::new(false),
            holders: RefCell::default(),
            calls: RefCell::default(),
            gateways: RefCell::default(),
        })
    }

    /// A gateway whose process has this life.
    fn gateway(self: &Rc<Core>, life: u64) -> FrontendFixture {
        let world = FrontendFixture::new("");
        let operations = OperationTable::new(Ipv4Addr::LOCALHOST, life, 60_000.0);
        let operations = Rc::new(RefCell::new(operations));
        self.gateways.borrow_mut().insert(life, operations.clone());
        world.frontend.set_keyed_operations(KeyedOperations::new(
            world.wheel.clone(),
            operations,
            self.clone(),
        ));
        world
    }

    fn take(&self, call: &ClaimCall) -> ClaimAnswer {
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

impl ClaimClient for Core {
    fn claim<'a>(&'a self, call: &'a ClaimCall, _until: f64) -> CallFuture<'a, ClaimAnswer> {
        Box::pin(async move {
            self.calls.borrow_mut().push(*call);
            match self.leader.get() {
                Leader::Answers => Some(self.take(call)),
                Leader::TakesSilently => {
                    self.take(call);
                    None
                }
                Leader::Unreachable => None,
                Leader::Full => Some(ClaimAnswer::Full),
                Leader::Waits => {
                    self.go_on.notified().await;
                    Some(self.take(call))
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
        self.cut_off.get()
    }
}

fn try_by(tenant_key: &str, path: &str, id: &str, key: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nX-Operation-Key: {key}\r\n\
         Authorization: Bearer {tenant_key}\r\nContent-Length: 4\r\n\r\nbook"
    )
}

fn try_of(id: &str, key: &str) -> String {
    try_by("good", "/o/book", id, key)
}

async fn begin(world: &FrontendFixture, text: &str) -> DuplexStream {
    let mut client = world.client();
    send(&mut client, text).await;
    settle().await;
    client
}

/// The status line, the rest of the head, and the body that a new client is told.
async fn told(world: &FrontendFixture, text: &str) -> (u16, String, String) {
    let mut client = begin(world, text).await;
    answered(&mut client).await
}

async fn answered(client: &mut DuplexStream) -> (u16, String, String) {
    let (head, body) = read_response(client).await;
    let status = head.split(' ').nth(1).expect("a status").parse().expect("a number");
    (status, head, body)
}

#[test]
fn the_same_key_at_two_gateways_at_once_runs_once() {
    run_test(async {
        let core = Core::new();
        let (a, b) = (core.gateway(1), core.gateway(2));
        let mut first = begin(&a, &try_of("1", "k")).await;
        for gateway in [&b, &a] {
            let (status, head, _) = told(gateway, &try_of("2", "k")).await;
            assert_eq!(status, 409);
            assert!(head.contains("Retry-After: 0.") && head.contains("X-Attempt-Id: 2\r\n"), "{head}");
        }
        a.expect_dispatched(&["1"]).await;
        b.expect_dispatched(&[]).await;
        a.reply_ok("1");
        assert_eq!(answered(&mut first).await.0, 200);
    });
}

#[test]
fn a_repeat_waits_for_the_end_of_the_first_run_and_gets_its_answer_or_its_place() {
    run_test(async {
        let core = Core::new();
        let (a, b) = (core.gateway(1), core.gateway(2));
        for (key, ends) in [("k", true), ("m", false)] {
            let mut first = begin(&a, &try_of("1", key)).await;
            let mut repeats = [begin(&a, &try_of("2", key)).await, begin(&b, &try_of("3", key)).await];
            a.wheel.sleep(250.0).await;
            a.expect_dispatched(&["1"]).await;
            b.expect_dispatched(&[]).await;
            match ends {
                true => a.reply_ok("1"),
                false => a.reply("1", Answer::ShortOnCapacityReply(0.0)),
            }
            assert_eq!(answered(&mut first).await.0, if ends { 200 } else { 503 });
            if !ends {
                // Nothing has run: one of them does.
                a.wheel.sleep(250.0).await;
                a.expect_dispatched(&["2"]).await;
                b.expect_dispatched(&[]).await;
                a.reply_ok("2");
            }
            for repeat in &mut repeats {
                let (status, _, body) = answered(repeat).await;
                assert_eq!((status, &body[..]), (200, if ends { "body of 1" } else { "body of 2" }));
            }
        }
    });
}

#[test]
fn a_repeat_gets_the_first_runs_status_seal_and_body_at_any_gateway() {
    run_test(async {
        let core = Core::new();
        let (a, b) = (core.gateway(1), core.gateway(2));
        for (key, status) in [("k1", 200), ("k2", 404), ("k3", 500)] {
            let mut first = begin(&a, &try_of("1", key)).await;
            a.reply("1", Answer::Served(buffered_response(status, "1")));
            assert_eq!(answered(&mut first).await.0, status);
            for gateway in [&a, &b] {
                let (repeated, head, body) = told(gateway, &try_of("2", key)).await;
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
fn an_operation_that_was_refused_before_it_ran_is_free_again() {
    run_test(async {
        let core = Core::new();
        let (a, b) = (core.gateway(1), core.gateway(2));
        let mut first = begin(&a, &try_of("1", "k")).await;
        a.reply("1", Answer::ShortOnCapacityReply(0.0));
        assert_eq!(answered(&mut first).await.0, 503);
        // Once elsewhere, once where it was.
        let mut second = begin(&b, &try_of("2", "k")).await;
        b.reply("2", Answer::ShortOnCapacityReply(0.0));
        assert_eq!(answered(&mut second).await.0, 503);
        let mut third = begin(&b, &try_of("3", "k")).await;
        b.reply_ok("3");
        assert_eq!(answered(&mut third).await.0, 200);
    });
}

#[test]
fn a_key_is_one_tenants_and_one_requests() {
    run_test(async {
        let core = Core::new();
        let (a, b) = (core.gateway(1), core.gateway(2));
        let mut first = begin(&a, &try_of("1", "k")).await;
        let mut other = begin(&a, &try_by("further", "/o/book", "2", "k")).await;
        a.expect_dispatched(&["1", "2"]).await;
        a.reply_ok("1");
        a.reply_ok("2");
        assert_eq!((answered(&mut first).await.0, answered(&mut other).await.0), (200, 200));
        for gateway in [&a, &b] {
            assert_eq!(told(gateway, &try_by("good", "/o/cancel", "3", "k")).await.0, 422);
            gateway.expect_dispatched(&[]).await;
        }
    });
}

#[test]
fn an_operation_whose_gateway_is_gone_never_runs_again() {
    run_test(async {
        let core = Core::new();
        let (a, b) = (core.gateway(1), core.gateway(2));
        let _first = begin(&a, &try_of("1", "k")).await;
        core.gateways.borrow_mut().remove(&1);
        assert_eq!(told(&b, &try_of("2", "k")).await.0, 502);
        // A new process in its place knows nothing of the claim.
        let reborn = core.gateway(3);
        let table = core.gateways.borrow()[&3].clone();
        core.gateways.borrow_mut().insert(1, table);
        assert_eq!(told(&reborn, &try_of("3", "k")).await.0, 502);
        b.expect_dispatched(&[]).await;
        reborn.expect_dispatched(&[]).await;
    });
}

#[test]
fn an_operation_whose_run_failed_or_broke_off_never_runs_again() {
    run_test(async {
        let core = Core::new();
        let (a, b) = (core.gateway(1), core.gateway(2));
        let mut first = begin(&a, &try_of("1", "k")).await;
        a.reply("1", Answer::Failed);
        assert_eq!(answered(&mut first).await.0, 502);
        let mut dropped = begin(&a, &try_of("2", "m")).await;
        drop(a.proxy.remove("2"));
        assert_eq!(answered(&mut dropped).await.0, 502);
        for (gateway, key) in [(&a, "k"), (&b, "k"), (&a, "m"), (&b, "m")] {
            assert_eq!(told(gateway, &try_of("3", key)).await.0, 502);
            gateway.expect_dispatched(&[]).await;
        }
    });
}

#[test]
fn a_client_that_leaves_ends_neither_the_run_nor_its_record() {
    run_test(async {
        let core = Core::new();
        let (a, b) = (core.gateway(1), core.gateway(2));
        drop(begin(&a, &try_of("1", "k")).await);
        settle().await;
        assert_eq!(told(&b, &try_of("2", "k")).await.0, 409);
        a.reply_ok("1");
        settle().await;
        for gateway in [&b, &a] {
            assert_eq!(told(gateway, &try_of("3", "k")).await.2, "body of 1");
        }
        // One that leaves before its claim is granted has nothing run for it.
        core.leader.set(Leader::Waits);
        drop(begin(&a, &try_of("4", "m")).await);
        settle().await;
        core.go_on.notify_one();
        a.expect_dispatched(&[]).await;
        core.leader.set(Leader::Answers);
        let _second = begin(&b, &try_of("5", "m")).await;
        b.expect_dispatched(&["5"]).await;
    });
}

#[test]
fn an_answer_longer_than_what_is_kept_leaves_its_operation_in_doubt() {
    run_test(async {
        let core = Core::new();
        let (a, b) = (core.gateway(1), core.gateway(2));
        let mut first = begin(&a, &try_of("1", "k")).await;
        let (to, served) = streamed_response(Some(4));
        a.reply("1", Answer::Served(served));
        for part in [BodyPart::Data("long".into()), BodyPart::End] {
            to.send(part).await.expect("taken");
        }
        assert_eq!(answered(&mut first).await.2, "long");
        for gateway in [&a, &b] {
            assert_eq!(told(gateway, &try_of("2", "k")).await.0, 502);
            gateway.expect_dispatched(&[]).await;
        }
    });
}

#[test]
fn a_claim_that_was_not_answered_is_released_even_if_the_leader_took_it() {
    run_test(async {
        for leader in [Leader::Unreachable, Leader::TakesSilently] {
            let core = Core::new();
            let (a, b) = (core.gateway(1), core.gateway(2));
            core.leader.set(leader);
            let (status, head, _) = told(&a, &try_of("1", "k")).await;
            assert_eq!(status, 503);
            assert!(head.contains("Retry-After"), "{head}");
            core.leader.set(Leader::Answers);
            let _second = begin(&b, &try_of("2", "k")).await;
            a.expect_dispatched(&[]).await;
            b.expect_dispatched(&["2"]).await;
            // The gateway that gave it up finds the other's claim.
            assert_eq!(told(&a, &try_of("3", "k")).await.0, 409);
            a.expect_dispatched(&[]).await;
        }
    });
}

#[test]
fn a_released_claim_is_taken_over_by_one_gateway_alone() {
    run_test(async {
        let core = Core::new();
        let gateways = [core.gateway(1), core.gateway(2), core.gateway(3)];
        core.leader.set(Leader::TakesSilently);
        assert_eq!(told(&gateways[0], &try_of("1", "k")).await.0, 503);
        core.leader.set(Leader::Answers);
        let mut begun = Vec::new();
        for gateway in &gateways {
            begun.push(begin(gateway, &try_of("2", "k")).await);
        }
        let sent: usize = gateways.iter().map(|gateway| gateway.proxy.attempt_ids().len()).sum();
        assert_eq!(sent, 1);
        let numbers: Vec<_> = core
            .calls
            .borrow()
            .iter()
            .map(|call| (call.claimant.incarnation, call.claimant.number))
            .collect();
        let mut once = numbers.clone();
        once.dedup();
        assert_eq!(once, numbers, "a number is claimed once");
    });
}

#[test]
fn nothing_is_claimed_without_a_key_or_a_way_to_the_core() {
    run_test(async {
        let core = Core::new();
        let a = core.gateway(1);
        let mut plain = begin(&a, &authorized_request("POST", "/o/book", "1")).await;
        a.reply_ok("1");
        assert_eq!(answered(&mut plain).await.0, 200);
        core.cut_off.set(true);
        assert_eq!(told(&a, &try_of("2", "k")).await.0, 503);
        assert!(a.admission.admit_calls.borrow().len() == 1, "it costs no unit");
        core.cut_off.set(false);
        assert!(core.calls.borrow().is_empty());
        core.leader.set(Leader::Full);
        assert_eq!(told(&a, &try_of("3", "k")).await.0, 503);
        a.expect_dispatched(&[]).await;
    });
}

#[test]
fn a_claim_that_is_granted_too_late_is_released() {
    run_test(async {
        let core = Core::new();
        let (a, b) = (core.gateway(1), core.gateway(2));
        core.leader.set(Leader::Waits);
        let mut stale = begin(&a, &try_of("1", "k1")).await;
        a.admission.stale_retry_after_ms.set(Some(100.0));
        core.go_on.notify_one();
        assert_eq!(answered(&mut stale).await.0, 503);
        a.admission.stale_retry_after_ms.set(None);
        let mut leaving = begin(&a, &try_of("2", "k2")).await;
        a.lifecycle.begin_shutdown(Shutdown::begin(a.wheel.now(), 0.0, 0.0));
        core.go_on.notify_one();
        assert_eq!(answered(&mut leaving).await.0, 503);
        a.expect_dispatched(&[]).await;
        core.leader.set(Leader::Answers);
        let _both = [begin(&b, &try_of("3", "k1")).await, begin(&b, &try_of("4", "k2")).await];
        b.expect_dispatched(&["3", "4"]).await;
    });
}

#[test]
fn a_unit_that_ran_out_while_its_claim_was_under_way_is_replaced_before_a_server_is_asked() {
    run_test(async {
        let core = Core::new();
        let (a, b) = (core.gateway(1), core.gateway(2));
        core.leader.set(Leader::Waits);
        a.admission.decision.set(AdmissionDecision::Admitted(a.wheel.now() + UNIT_MS));
        let _client = begin(&a, &try_of("1", "k1")).await;
        a.wheel.sleep(UNIT_MS + 20.0).await;
        let until = a.wheel.now() + 60_000.0;
        a.admission.decision.set(AdmissionDecision::Admitted(until));
        core.go_on.notify_one();
        a.expect_dispatched(&["1"]).await;
        assert_eq!(a.proxy.remove("1").unit_valid_until, until);

        a.admission.decision.set(AdmissionDecision::Admitted(a.wheel.now() + UNIT_MS));
        let mut beyond = begin(&a, &try_of("2", "k2")).await;
        a.wheel.sleep(UNIT_MS + 20.0).await;
        a.admission.decision.set(AdmissionDecision::OverQuota(100.0));
        core.go_on.notify_one();
        assert_eq!(answered(&mut beyond).await.0, 429);
        core.leader.set(Leader::Answers);
        let _free_again = begin(&b, &try_of("3", "k2")).await;
        b.expect_dispatched(&["3"]).await;
    });
}
