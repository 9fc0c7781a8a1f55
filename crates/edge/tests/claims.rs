//! Tests of claim and recall calls over real sockets, with a scripted leader for claims and a real operation table at
//! the holder for recalls.

mod core_client_fixture;

use core_client_fixture::{core_client, start_server, start_wheel};
use nickeljunction_edge::claim_client::ClaimClient;
use nickeljunction_edge::operations::{BeginResult, OperationTable};
use nickeljunction_edge::recall::RecallResource;
use nickeljunction_messages::{
    path, ClaimAnswer, ClaimCall, Claimant, OperationId, RecallAnswer, RecallCall,
};
use nickeljunction_net::desk::{Answering, Call, Resource, Response};
use nickeljunction_net::wheel::Wheel;
use std::cell::RefCell;
use std::future::Future;
use std::net::Ipv4Addr;
use std::rc::Rc;

const OPERATION: OperationId = OperationId(7);

/// The scripted leader's reaction to a call.
enum Reaction {
    Answer(u16, &'static str),
    /// Sends no answer within the time of the test.
    Hang,
}

struct FakeLeader {
    wheel: Wheel,
    reactions: RefCell<Vec<Reaction>>,
    bodies: RefCell<Vec<Vec<u8>>>,
}

impl Resource for FakeLeader {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            self.bodies.borrow_mut().push(call.body.to_vec());
            let reaction = self.reactions.borrow_mut().remove(0);
            match reaction {
                Reaction::Answer(status, body) => Response::json(status, body),
                Reaction::Hang => {
                    self.wheel.sleep(10_000.0).await;
                    Response::empty(500)
                }
            }
        })
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    let local = tokio::task::LocalSet::new();
    let bounded = async { tokio::time::timeout(std::time::Duration::from_secs(20), test).await };
    local.block_on(&runtime, bounded).expect("the test does not complete within 20 s");
}

fn claimant(incarnation: u64, number: u64) -> Claimant {
    Claimant { host: Ipv4Addr::LOCALHOST, incarnation, number }
}

/// Makes a claim that lasts at most `timeout_ms`. Returns its answer and the bodies that the leader received.
async fn claim(reactions: Vec<Reaction>, timeout_ms: f64) -> (Option<ClaimAnswer>, Vec<Vec<u8>>) {
    let wheel = start_wheel();
    let (reactions, bodies) = (RefCell::new(reactions), RefCell::default());
    let leader = Rc::new(FakeLeader { wheel: wheel.clone(), reactions, bodies });
    let port = start_server(&wheel, &[(path::CLAIM, leader.clone())]).await;
    let call = ClaimCall { operation: OPERATION, claimant: claimant(1, 1), released: None };
    let deadline = wheel.now() + timeout_ms;
    let answer = core_client(&wheel, port).claim(&call, deadline).await;
    let bodies = leader.bodies.borrow().clone();
    (answer, bodies)
}

#[test]
fn claim_is_repeated_unchanged_until_the_leader_answers() {
    run(async {
        let reactions = vec![
            Reaction::Answer(503, "{}"),
            Reaction::Answer(421, "{\"leader\":null}"),
            Reaction::Answer(200, "not an answer"),
            Reaction::Answer(200, "\"granted\""),
        ];
        let (answer, bodies) = claim(reactions, 5_000.0).await;
        assert_eq!((answer, bodies.len()), (Some(ClaimAnswer::Granted), 4));
        assert!(bodies.iter().all(|body| *body == bodies[0]));
    });
}

#[test]
fn claim_whose_answer_is_late_is_sent_again_while_the_first_call_is_pending() {
    run(async {
        let (answer, bodies) = claim(vec![Reaction::Hang, Reaction::Answer(200, "\"full\"")], 5_000.0).await;
        assert_eq!((answer, bodies.len()), (Some(ClaimAnswer::Full), 2));
        assert_eq!(bodies[0], bodies[1]);
    });
}

#[test]
fn claim_ends_at_its_deadline_without_an_answer() {
    run(async {
        assert_eq!(claim(vec![Reaction::Hang, Reaction::Hang], 200.0).await.0, None);
    });
}

#[test]
fn holder_answers_recalls_of_its_own_claims_and_reports_unknown_ones_as_in_doubt() {
    run(async {
        let wheel = start_wheel();
        let operations = Rc::new(RefCell::new(OperationTable::new(Ipv4Addr::LOCALHOST, 5, 60_000.0)));
        let begun = operations.borrow_mut().begin(wheel.now(), OPERATION, 9);
        let BeginResult::Claim { claimant: own, .. } = begun else { panic!("{begun:?}") };
        let port = start_server(
            &wheel,
            &[(path::RECALL, Rc::new(RecallResource::new(wheel.clone(), operations.clone())))],
        )
        .await;
        let client = core_client(&wheel, port);
        let recall = async |claimant| {
            let call = RecallCall { operation: OPERATION, claimant, request_digest: 9 };
            client.recall(&call, 5_000.0).await
        };
        assert_eq!(recall(own).await, Some(RecallAnswer::InProgress));
        operations.borrow_mut().release(wheel.now(), OPERATION, own.number);
        assert_eq!(recall(own).await, Some(RecallAnswer::Released));
        assert_eq!(recall(claimant(6, own.number)).await, Some(RecallAnswer::InDoubt));
        assert_eq!(recall(claimant(5, own.number + 1)).await, Some(RecallAnswer::InDoubt));
    });
}
