//! Keyed operations: each is claimed at the core's leader before a server is asked, so that it runs once at most, and a
//! repeat gets the first run's answer from the gateway that holds the claim.
//!
//! A claimed request is served by a task of its own: a client that leaves ends neither the run nor the record of it.

use super::{AdmittedRequest, Frontend, RoutedRequest, KEYS_STALE, SHUTDOWN_PAUSE_MS};
use crate::claiming::{Claiming, Refusal, Step};
use crate::claims::Claims;
use crate::exchange::Body;
use crate::operations::{request_digest, Answer, Operations};
use crate::reply::{LocalReply, Reply};
use nickeljunction_http::stream::RequestHead;
use nickeljunction_messages::{ClaimAnswer, ClaimCall, OperationId, RecallAnswer, RecallCall};
use nickeljunction_net::wheel::Wheel;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::oneshot;

/// Part of a route's aim that may go by until a claim is granted.
const CLAIM_PART: f64 = 0.5;
/// At least so long is waited for a claim, ms.
const CLAIM_LEAST_MS: f64 = 150.0;
/// How long a holder is waited for, ms.
const RECALL_MS: f64 = 500.0;
/// Between two looks whether the first request of a key has ended: here, and at another gateway, ms.
const LOOK_MS: f64 = 10.0;
const LOOK_ELSEWHERE_MS: f64 = 100.0;
/// A repeat that waits for the first request is told so long before its time is up that it is still at work, ms.
const AT_WORK_MARGIN_MS: f64 = 150.0;
/// Pause told while the first request of a key is at work, ms.
const AT_WORK_PAUSE_MS: f64 = 150.0;
/// Pause told where no claim could be had, ms.
const CLAIM_PAUSE_MS: f64 = 250.0;
/// Pause told where no claim is to be expected soon, ms.
const CUT_OFF_PAUSE_MS: f64 = 700.0;

/// The table of this gateway's operations, and the way to claim them.
pub struct KeyedOperations {
    wheel: Wheel,
    operations: Rc<RefCell<Operations>>,
    claims: Rc<dyn Claims>,
    counts: KeyedCounts,
}

/// What became of claims, beside what the table counts.
#[derive(Debug, Default)]
pub struct KeyedCounts {
    /// Granted by the leader.
    pub granted: Cell<u64>,
    /// How long those took, added up, ms.
    pub granted_ms: Cell<f64>,
    /// Held by another claim.
    pub held: Cell<u64>,
    /// Not answered by the leader in time.
    pub unanswered: Cell<u64>,
    /// Holders that did not answer.
    pub holder_silent: Cell<u64>,
}

/// Where a client is told; closed once it has gone.
type Client = oneshot::Sender<Reply>;

/// An operation that a request is a try of.
#[derive(Debug, Clone, Copy)]
pub(super) struct Operation {
    id: OperationId,
    request: u64,
}

/// A claim of this gateway until its end is recorded. Dropped before that it is released, or in doubt once a server may have
/// been asked.
struct Claim {
    keyed: Rc<KeyedOperations>,
    id: OperationId,
    number: u64,
    exposed: bool,
}

impl Claim {
    /// The run's end, as the client is told.
    fn settle(mut self, reply: &Reply) {
        let KeyedOperations { wheel, operations, .. } = &*self.keyed;
        match reply {
            Reply::Served(served) => {
                if let Some(answer) = Answer::copy_of(served) {
                    operations.borrow_mut().answer(wheel.now(), self.id, self.number, answer);
                }
            }
            // It promises that no server has run it.
            Reply::Local(own) if matches!(own.status, 429 | 503) => self.exposed = false,
            Reply::Local(_) => {}
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let (now, mut operations) = (self.keyed.wheel.now(), self.keyed.operations.borrow_mut());
        match self.exposed {
            true => operations.doubt(now, self.id, self.number),
            false => operations.release(now, self.id, self.number),
        }
    }
}

impl KeyedOperations {
    /// Claims by these operations' table.
    pub fn new(
        wheel: Wheel,
        operations: Rc<RefCell<Operations>>,
        claims: Rc<dyn Claims>,
    ) -> Rc<KeyedOperations> {
        Rc::new(KeyedOperations { wheel, operations, claims, counts: KeyedCounts::default() })
    }

    /// What became of claims so far.
    pub fn counts(&self) -> &KeyedCounts {
        &self.counts
    }

    /// The table.
    pub fn operations(&self) -> &Rc<RefCell<Operations>> {
        &self.operations
    }

    /// The counts as a line for the log; `None`: there was no keyed request yet.
    pub fn log_line(&self) -> Option<String> {
        let (seen, KeyedCounts { granted, granted_ms, held, unanswered, holder_silent }) =
            (self.operations.borrow().counts(), &self.counts);
        let (remembered, answers, bytes) = self.operations.borrow().held();
        (seen.claims > 0).then(|| {
            format!(
                "event=operations claims={} granted={} granted_ms={:.0} held={} unanswered={} released={} answered={} in_doubt={} \
                 repeated={} recalls={} silent={} dropped={} remembered={remembered} kept={answers} kept_bytes={bytes}",
                seen.claims,
                granted.get(),
                granted_ms.get(),
                held.get(),
                unanswered.get(),
                seen.released,
                seen.answered,
                seen.in_doubt,
                seen.repeated,
                seen.recalls,
                holder_silent.get(),
                seen.dropped,
            )
        })
    }

    /// Claims and runs by what became of them.
    pub(crate) fn outcomes(&self) -> [(&'static str, u64); 9] {
        let (seen, counts) = (self.operations.borrow().counts(), &self.counts);
        [
            ("granted", counts.granted.get()),
            ("held", counts.held.get()),
            ("unanswered", counts.unanswered.get()),
            ("holder_silent", counts.holder_silent.get()),
            ("released", seen.released),
            ("answered", seen.answered),
            ("in_doubt", seen.in_doubt),
            ("repeated", seen.repeated),
            ("dropped", seen.dropped),
        ]
    }

    /// Claims an operation, or says what its request is told instead.
    async fn claim(
        self: &Rc<Self>,
        operation: Operation,
        routed: &RoutedRequest,
        client: &Client,
    ) -> Result<Claim, Reply> {
        let most_ms = (routed.route.aim_ms * CLAIM_PART).max(CLAIM_LEAST_MS);
        let until = (self.wheel.now() + most_ms).min(routed.arrived + routed.time_limit_ms);
        let mut claiming = Claiming::new(operation.id, operation.request);
        let mut step = self.begin(&mut claiming, routed, client).await;
        loop {
            step = match step {
                Step::Claim(call) => {
                    let number = call.claimant.number;
                    let claim = Claim { keyed: self.clone(), id: operation.id, number, exposed: false };
                    let answer = self.ask_leader(&call, until).await;
                    let mut table = self.operations.borrow_mut();
                    match claiming.claimed(self.wheel.now(), &mut table, answer) {
                        None => return Ok(claim),
                        Some(next) => next,
                    }
                }
                Step::Recall(call) => {
                    let answer = self.await_holder(&call, routed, client).await;
                    let mut table = self.operations.borrow_mut();
                    claiming.recalled(self.wheel.now(), &mut table, call.claimant, answer)
                }
                Step::Refused(refusal) => return Err(refused(&refusal, routed)),
            };
        }
    }

    /// What the request may do once no other one of its key is at work here, or its time is up.
    async fn begin(&self, claiming: &mut Claiming, routed: &RoutedRequest, client: &Client) -> Step {
        loop {
            let step = claiming.begin(self.wheel.now(), &mut self.operations.borrow_mut());
            if step != Step::Refused(Refusal::AtWork) || !self.waits(routed, client, LOOK_MS).await {
                return step;
            }
        }
    }

    /// Waits before another look at a first request that is at work; `false`: there is no time for it, or nobody waits.
    async fn waits(&self, routed: &RoutedRequest, client: &Client, ms: f64) -> bool {
        let until = routed.arrived + routed.time_limit_ms - AT_WORK_MARGIN_MS;
        if client.is_closed() || self.wheel.now() + ms > until {
            return false;
        }
        self.wheel.sleep(ms).await;
        true
    }

    /// The holder's word once its request is no longer at work, or this one's time is up.
    async fn await_holder(
        &self,
        call: &RecallCall,
        routed: &RoutedRequest,
        client: &Client,
    ) -> Option<RecallAnswer> {
        loop {
            let answer = self.ask_holder(call, routed).await;
            let at_work = answer == Some(RecallAnswer::InProgress);
            if !at_work || !self.waits(routed, client, LOOK_ELSEWHERE_MS).await {
                return answer;
            }
        }
    }

    async fn ask_leader(&self, call: &ClaimCall, until: f64) -> Option<ClaimAnswer> {
        let asked = self.wheel.now();
        let answer = self.claims.claim(call, until).await;
        match answer {
            None => count(&self.counts.unanswered),
            Some(ClaimAnswer::Granted) => {
                count(&self.counts.granted);
                self.counts.granted_ms.set(self.counts.granted_ms.get() + self.wheel.now() - asked);
            }
            Some(ClaimAnswer::Held(_)) => count(&self.counts.held),
            Some(ClaimAnswer::Full) => {}
        }
        answer
    }

    async fn ask_holder(&self, call: &RecallCall, routed: &RoutedRequest) -> Option<RecallAnswer> {
        let left_ms = routed.arrived + routed.time_limit_ms - self.wheel.now();
        let answer = self.claims.recall(call, left_ms.min(RECALL_MS)).await;
        if answer.is_none() {
            count(&self.counts.holder_silent);
        }
        answer
    }
}

impl Frontend {
    /// The operation that a request is a try of; `None`: its route is not keyed, or it carries no key.
    pub(super) fn operation(
        &self,
        head: &RequestHead,
        routed: &RoutedRequest,
        body: &Body,
    ) -> Result<Option<Operation>, LocalReply> {
        let keyed = self.keyed.borrow();
        let Some(keyed) = keyed.as_ref().filter(|_| routed.route.keyed) else { return Ok(None) };
        let key = head.headers.single("x-operation-key");
        let key = key.map_err(|_| LocalReply::new(400, "two X-Operation-Key"))?;
        let Some(key) = key.filter(|key| !key.is_empty()) else { return Ok(None) };
        if keyed.claims.cut_off() {
            let error = "out of touch with the core, operations can not be claimed";
            return Err(LocalReply::refusal(503, error, CUT_OFF_PAUSE_MS));
        }
        let body = match body {
            Body::Whole(bytes) => Some(&bytes[..]),
            Body::Streamed(_) => None,
        };
        let id = OperationId::of(routed.tenant.as_ref().map(|tenant| &*tenant.name), key);
        Ok(Some(Operation { id, request: request_digest(&head.method, &head.target, body) }))
    }

    /// Runs an operation unless another try has claimed it, whether or not its client waits. Dropping this doesn't end it.
    pub(super) async fn run_once(self: Rc<Self>, operation: Operation, request: AdmittedRequest) -> Reply {
        let Some(keyed) = self.keyed.borrow().clone() else { return self.send_to_server(request).await };
        let (to, reply) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let reply = self.claim_and_send(&keyed, operation, request, &to).await;
            // A client that has gone awaits nothing.
            let _ = to.send(reply);
        });
        let ended = |_| Reply::Local(LocalReply::new(502, "the operation's end is not known"));
        reply.await.unwrap_or_else(ended)
    }

    async fn claim_and_send(
        &self,
        keyed: &Rc<KeyedOperations>,
        operation: Operation,
        request: AdmittedRequest,
        client: &Client,
    ) -> Reply {
        let mut claim = match keyed.claim(operation, &request.routed, client).await {
            Ok(claim) => claim,
            Err(reply) => return reply,
        };
        let AdmittedRequest { head, routed, body, unit_until } = request;
        // Much may have changed while the claim was under way.
        let routed = match self
            .limit_to_shutdown(routed)
            .and_then(|routed| self.stale_reply(KEYS_STALE).map_or(Ok(routed), Err))
        {
            Ok(routed) => routed,
            Err(own) => return Reply::Local(own),
        };
        if client.is_closed() {
            return Reply::Local(LocalReply::refusal(503, "the client has gone", SHUTDOWN_PAUSE_MS));
        }
        let unit_until = match self.renew_unit(&routed, unit_until).await {
            Ok(until) => until,
            Err(own) => return Reply::Local(own),
        };
        claim.exposed = true;
        let reply = self.send_to_server(AdmittedRequest { head, routed, body, unit_until }).await;
        claim.settle(&reply);
        reply
    }
}

impl Frontend {
    /// Until when the request's unit is good: a new one's where it ran out while the claim was under way.
    async fn renew_unit(&self, routed: &RoutedRequest, unit_until: f64) -> Result<f64, LocalReply> {
        match unit_until < self.wheel.now() {
            true => self.acquire_unit(routed).await,
            false => Ok(unit_until),
        }
    }
}

fn count(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

fn refused(refusal: &Refusal, routed: &RoutedRequest) -> Reply {
    Reply::Local(match refusal {
        Refusal::Answered(answer) => {
            return answer
                .for_attempt(&routed.attempt_id)
                .map_or_else(|| Reply::Local(in_doubt()), Reply::Served)
        }
        Refusal::AtWork => LocalReply::refusal(409, "the operation is at work", AT_WORK_PAUSE_MS),
        Refusal::InDoubt => in_doubt(),
        Refusal::OtherRequest => LocalReply::new(422, "the operation key was used for another request"),
        Refusal::Full => LocalReply::refusal(503, "too many operations are remembered", CUT_OFF_PAUSE_MS),
        Refusal::Unanswered => {
            LocalReply::refusal(503, "the core did not grant the operation in time", CLAIM_PAUSE_MS)
        }
        Refusal::Overtaken => {
            LocalReply::refusal(503, "the operation is being claimed elsewhere", CLAIM_PAUSE_MS)
        }
    })
}

fn in_doubt() -> LocalReply {
    LocalReply::new(502, "the operation may have run, its answer is not known")
}
