//! Keyed operations: each is claimed at the core's leader before a server is asked, so that it runs once at most, and a
//! repeat gets the first run's answer from the gateway that holds the claim.
//!
//! A claimed request is served by a task of its own: a client that leaves ends neither the run nor the record of it.

use super::{AdmittedRequest, Ask, Frontend, ELSEWHERE_PAUSE_MS, KEYS_STALE};
use crate::claim_attempt::{ClaimAttempt, ClaimRefusal, ClaimStep};
use crate::claim_client::ClaimClient;
use crate::exchange::RequestBody;
use crate::operations::{request_digest, OperationTable, StoredAnswer};
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
    operations: Rc<RefCell<OperationTable>>,
    claims: Rc<dyn ClaimClient>,
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
                if let Some(answer) = StoredAnswer::from_response(served) {
                    operations.borrow_mut().record_answer(wheel.now(), self.id, self.number, answer);
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
            true => operations.mark_in_doubt(now, self.id, self.number),
            false => operations.release(now, self.id, self.number),
        }
    }
}

impl KeyedOperations {
    /// Claims by these operations' table.
    pub fn new(
        wheel: Wheel,
        operations: Rc<RefCell<OperationTable>>,
        claims: Rc<dyn ClaimClient>,
    ) -> Rc<KeyedOperations> {
        Rc::new(KeyedOperations { wheel, operations, claims, counts: KeyedCounts::default() })
    }

    /// What became of claims so far.
    pub fn counts(&self) -> &KeyedCounts {
        &self.counts
    }

    /// The table.
    pub fn operations(&self) -> &Rc<RefCell<OperationTable>> {
        &self.operations
    }

    /// The counts as a line for the log; `None`: there was no keyed request yet.
    pub fn log_line(&self) -> Option<String> {
        let (seen, KeyedCounts { granted, granted_ms, held, unanswered, holder_silent }) =
            (self.operations.borrow().counts(), &self.counts);
        let (remembered, answers, bytes) = self.operations.borrow().usage();
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
        ask: &Ask,
        client: &Client,
    ) -> Result<Claim, Reply> {
        let most_ms = (ask.route.aim_ms * CLAIM_PART).max(CLAIM_LEAST_MS);
        let until = (self.wheel.now() + most_ms).min(ask.arrived + ask.patience_ms);
        let mut claiming = ClaimAttempt::new(operation.id, operation.request);
        let mut step = self.begin(&mut claiming, ask, client).await;
        loop {
            step = match step {
                ClaimStep::Claim(call) => {
                    let number = call.claimant.number;
                    let claim = Claim { keyed: self.clone(), id: operation.id, number, exposed: false };
                    let answer = self.ask_leader(&call, until).await;
                    let mut table = self.operations.borrow_mut();
                    match claiming.on_claim_answer(self.wheel.now(), &mut table, answer) {
                        None => return Ok(claim),
                        Some(next) => next,
                    }
                }
                ClaimStep::Recall(call) => {
                    let answer = self.await_holder(&call, ask, client).await;
                    let mut table = self.operations.borrow_mut();
                    claiming.on_recall_answer(self.wheel.now(), &mut table, call.claimant, answer)
                }
                ClaimStep::Refused(refusal) => return Err(refused(&refusal, ask)),
            };
        }
    }

    /// What the request may do once no other one of its key is at work here, or its time is up.
    async fn begin(&self, claiming: &mut ClaimAttempt, ask: &Ask, client: &Client) -> ClaimStep {
        loop {
            let step = claiming.begin(self.wheel.now(), &mut self.operations.borrow_mut());
            if step != ClaimStep::Refused(ClaimRefusal::InProgress) || !self.waits(ask, client, LOOK_MS).await
            {
                return step;
            }
        }
    }

    /// Waits before another look at a first request that is at work; `false`: there is no time for it, or nobody waits.
    async fn waits(&self, ask: &Ask, client: &Client, ms: f64) -> bool {
        let until = ask.arrived + ask.patience_ms - AT_WORK_MARGIN_MS;
        if client.is_closed() || self.wheel.now() + ms > until {
            return false;
        }
        self.wheel.sleep(ms).await;
        true
    }

    /// The holder's word once its request is no longer at work, or this one's time is up.
    async fn await_holder(&self, call: &RecallCall, ask: &Ask, client: &Client) -> Option<RecallAnswer> {
        loop {
            let answer = self.ask_holder(call, ask).await;
            let at_work = answer == Some(RecallAnswer::InProgress);
            if !at_work || !self.waits(ask, client, LOOK_ELSEWHERE_MS).await {
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

    async fn ask_holder(&self, call: &RecallCall, ask: &Ask) -> Option<RecallAnswer> {
        let left_ms = ask.arrived + ask.patience_ms - self.wheel.now();
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
        ask: &Ask,
        body: &RequestBody,
    ) -> Result<Option<Operation>, LocalReply> {
        let keyed = self.keyed.borrow();
        let Some(keyed) = keyed.as_ref().filter(|_| ask.route.keyed) else { return Ok(None) };
        let key = head.headers.single("x-operation-key");
        let key = key.map_err(|_| LocalReply::new(400, "two X-Operation-Key"))?;
        let Some(key) = key.filter(|key| !key.is_empty()) else { return Ok(None) };
        if keyed.claims.is_core_unreachable() {
            let error = "out of touch with the core, operations can not be claimed";
            return Err(LocalReply::refusal(503, error, CUT_OFF_PAUSE_MS));
        }
        let body = match body {
            RequestBody::Buffered(bytes) => Some(&bytes[..]),
            RequestBody::Streamed(_) => None,
        };
        let id = OperationId::of(ask.tenant.as_ref().map(|tenant| &*tenant.name), key);
        Ok(Some(Operation { id, request: request_digest(&head.method, &head.target, body) }))
    }

    /// Runs an operation unless another try has claimed it, whether or not its client waits. Dropping this doesn't end it.
    pub(super) async fn run_once(self: Rc<Self>, operation: Operation, request: AdmittedRequest) -> Reply {
        let Some(keyed) = self.keyed.borrow().clone() else { return self.send(request).await };
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
        let mut claim = match keyed.claim(operation, &request.ask, client).await {
            Ok(claim) => claim,
            Err(reply) => return reply,
        };
        let AdmittedRequest { head, ask, body, unit_until } = request;
        // Much may have changed while the claim was under way.
        let ask = match self.in_time(ask).and_then(|ask| self.stale(KEYS_STALE).map_or(Ok(ask), Err)) {
            Ok(ask) => ask,
            Err(own) => return Reply::Local(own),
        };
        if client.is_closed() {
            return Reply::Local(LocalReply::refusal(503, "the client has gone", ELSEWHERE_PAUSE_MS));
        }
        let unit_until = match self.renew_unit(&ask, unit_until).await {
            Ok(until) => until,
            Err(own) => return Reply::Local(own),
        };
        claim.exposed = true;
        let reply = self.send(AdmittedRequest { head, ask, body, unit_until }).await;
        claim.settle(&reply);
        reply
    }
}

impl Frontend {
    /// Until when the request's unit is good: a new one's where it ran out while the claim was under way.
    async fn renew_unit(&self, ask: &Ask, unit_until: f64) -> Result<f64, LocalReply> {
        match unit_until < self.wheel.now() {
            true => self.admit(ask).await,
            false => Ok(unit_until),
        }
    }
}

fn count(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

fn refused(refusal: &ClaimRefusal, ask: &Ask) -> Reply {
    Reply::Local(match refusal {
        ClaimRefusal::Answered(answer) => {
            return answer
                .to_response(&ask.attempt_id)
                .map_or_else(|| Reply::Local(in_doubt()), Reply::Served)
        }
        ClaimRefusal::InProgress => LocalReply::refusal(409, "the operation is at work", AT_WORK_PAUSE_MS),
        ClaimRefusal::InDoubt => in_doubt(),
        ClaimRefusal::OtherRequest => LocalReply::new(422, "the operation key was used for another request"),
        ClaimRefusal::TableFull => {
            LocalReply::refusal(503, "too many operations are remembered", CUT_OFF_PAUSE_MS)
        }
        ClaimRefusal::LeaderTimeout => {
            LocalReply::refusal(503, "the core did not grant the operation in time", CLAIM_PAUSE_MS)
        }
        ClaimRefusal::TooManyConflicts => {
            LocalReply::refusal(503, "the operation is being claimed elsewhere", CLAIM_PAUSE_MS)
        }
    })
}

fn in_doubt() -> LocalReply {
    LocalReply::new(502, "the operation may have run, its answer is not known")
}
