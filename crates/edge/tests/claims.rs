//! Claims and questions over sockets: a leader that is scripted, and a holder with its true table.

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

/// What the scripted leader does with the next call.
enum Reaction {
    Says(u16, &'static str),
    Hangs,
}

struct Leader {
    wheel: Wheel,
    reactions: RefCell<Vec<Reaction>>,
    bodies: RefCell<Vec<Vec<u8>>>,
}

impl Resource for Leader {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            self.bodies.borrow_mut().push(call.body.to_vec());
            let reaction = self.reactions.borrow_mut().remove(0);
            match reaction {
                Reaction::Says(status, body) => Response::json(status, body),
                Reaction::Hangs => {
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
    local.block_on(&runtime, bounded).expect("hangs");
}

fn claimant(life: u64, number: u64) -> Claimant {
    Claimant { host: Ipv4Addr::LOCALHOST, incarnation: life, number }
}

async fn claim(reactions: Vec<Reaction>, for_ms: f64) -> (Option<ClaimAnswer>, Vec<Vec<u8>>) {
    let wheel = start_wheel();
    let (reactions, bodies) = (RefCell::new(reactions), RefCell::default());
    let leader = Rc::new(Leader { wheel: wheel.clone(), reactions, bodies });
    let port = start_server(&wheel, &[(path::CLAIM, leader.clone())]).await;
    let call = ClaimCall { operation: OPERATION, claimant: claimant(1, 1), released: None };
    let until = wheel.now() + for_ms;
    let answer = core_client(&wheel, port).claim(&call, until).await;
    let bodies = leader.bodies.borrow().clone();
    (answer, bodies)
}

#[test]
fn a_claim_is_repeated_unchanged_until_the_leader_answers() {
    run(async {
        let reactions = vec![
            Reaction::Says(503, "{}"),
            Reaction::Says(421, "{\"leader\":null}"),
            Reaction::Says(200, "not an answer"),
            Reaction::Says(200, "\"granted\""),
        ];
        let (answer, bodies) = claim(reactions, 5_000.0).await;
        assert_eq!((answer, bodies.len()), (Some(ClaimAnswer::Granted), 4));
        assert!(bodies.iter().all(|body| *body == bodies[0]));
    });
}

#[test]
fn a_claim_whose_answer_is_late_is_made_once_more_beside_the_first() {
    run(async {
        let (answer, bodies) = claim(vec![Reaction::Hangs, Reaction::Says(200, "\"full\"")], 5_000.0).await;
        assert_eq!((answer, bodies.len()), (Some(ClaimAnswer::Full), 2));
        assert_eq!(bodies[0], bodies[1]);
    });
}

#[test]
fn a_claim_ends_in_its_time_where_nobody_answers() {
    run(async {
        assert_eq!(claim(vec![Reaction::Hangs, Reaction::Hangs], 200.0).await.0, None);
    });
}

#[test]
fn a_holder_tells_of_its_own_claims_and_another_life_is_in_doubt() {
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
        let link = core_client(&wheel, port);
        let ask = async |claimant| {
            let call = RecallCall { operation: OPERATION, claimant, request_digest: 9 };
            link.recall(&call, 5_000.0).await
        };
        assert_eq!(ask(own).await, Some(RecallAnswer::InProgress));
        operations.borrow_mut().release(wheel.now(), OPERATION, own.number);
        assert_eq!(ask(own).await, Some(RecallAnswer::Released));
        assert_eq!(ask(claimant(6, own.number)).await, Some(RecallAnswer::InDoubt));
        assert_eq!(ask(claimant(5, own.number + 1)).await, Some(RecallAnswer::InDoubt));
    });
}
