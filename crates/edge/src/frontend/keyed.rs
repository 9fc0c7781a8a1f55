//! Keyed operations: each is claimed at the core's leader before it is sent to a server, so that it runs at most once.
//! A repeated request gets the first one's answer from the gateway that holds the claim.
//!
//! A claimed request runs in a task of its own: a client that disconnects ends neither the request nor its record.

use super::{AdmittedRequest, Frontend, RoutedRequest, KEYS_STALE, SHUTDOWN_PAUSE_MS};
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

/// Part of a route's target time that getting a claim may take.
const CLAIM_TIME_RATIO: f64 = 0.5;
/// Shortest time limit for getting a claim, ms.
const MIN_CLAIM_TIMEOUT_MS: f64 = 150.0;
/// Time-out for a query to the gateway that holds a claim, ms.
const RECALL_TIMEOUT_MS: f64 = 500.0;
/// Interval for checking whether the first request of a key has ended, ms: at this gateway, and at another one.
const LOCAL_POLL_MS: f64 = 10.0;
const REMOTE_POLL_MS: f64 = 100.0;
/// How long before its deadline a repeated request stops waiting for the first one and is answered 409, ms.
const IN_PROGRESS_MARGIN_MS: f64 = 150.0;
/// `Retry-After` while the first request of a key is in progress, ms.
const IN_PROGRESS_PAUSE_MS: f64 = 150.0;
/// `Retry-After` where a claim was not granted, ms.
const CLAIM_PAUSE_MS: f64 = 250.0;
/// `Retry-After` where no claim can be expected soon, ms.
const CUT_OFF_PAUSE_MS: f64 = 700.0;

/// The keyed operations of this gateway, and the means to claim them.
pub struct KeyedOperations {
    wheel: Wheel,
    operations: Rc<RefCell<OperationTable>>,
    claims: Rc<dyn ClaimClient>,
    counts: KeyedCounts,
}

/// Outcomes of claims, in addition to the counts of [`Operations`].
#[derive(Debug, Default)]
pub struct KeyedCounts {
    /// Claims granted by the leader.
    pub granted: Cell<u64>,
    /// Total time that the granted claims took, ms.
    pub granted_ms: Cell<f64>,
    /// Claims refused because another claim holds the operation.
    pub held: Cell<u64>,
    /// Claims that the leader did not answer in time.
    pub unanswered: Cell<u64>,
    /// Queries that the holder of a claim did not answer.
    pub holder_silent: Cell<u64>,
}

/// Sends the answer to the client; closed once the client has disconnected.
type ReplySender = oneshot::Sender<Reply>;

/// The operation that a request belongs to.
#[derive(Debug, Clone, Copy)]
pub(super) struct Operation {
    id: OperationId,
    /// Digest of the request.
    request: u64,
}

/// A claim of this gateway until its outcome is recorded. If it is dropped before, the operation is released, or left
/// in doubt if a server may have received the request.
struct Claim {
    keyed: Rc<KeyedOperations>,
    id: OperationId,
    number: u64,
    /// A server may have received the request.
    may_have_run: bool,
}

impl Claim {
    /// Records the outcome that is sent to the client.
    fn record(mut self, reply: &Reply) {
        let KeyedOperations { wheel, operations, .. } = &*self.keyed;
        match reply {
            Reply::Served(served) => {
                if let Some(answer) = StoredAnswer::from_response(served) {
                    operations.borrow_mut().record_answer(wheel.now(), self.id, self.number, answer);
                }
            }
            // These statuses promise that no server has executed the request.
            Reply::Local(refusal) if matches!(refusal.status, 429 | 503) => self.may_have_run = false,
            Reply::Local(_) => {}
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let (now, mut operations) = (self.keyed.wheel.now(), self.keyed.operations.borrow_mut());
        match self.may_have_run {
            true => operations.mark_in_doubt(now, self.id, self.number),
            false => operations.release(now, self.id, self.number),
        }
    }
}

impl KeyedOperations {
    /// Keyed operations that are recorded in `operations` and claimed through `claims`.
    pub fn new(
        wheel: Wheel,
        operations: Rc<RefCell<OperationTable>>,
        claims: Rc<dyn ClaimClient>,
    ) -> Rc<KeyedOperations> {
        Rc::new(KeyedOperations { wheel, operations, claims, counts: KeyedCounts::default() })
    }

    /// The counts of claims since the start.
    pub fn counts(&self) -> &KeyedCounts {
        &self.counts
    }

    /// The table of this gateway's operations.
    pub fn operations(&self) -> &Rc<RefCell<OperationTable>> {
        &self.operations
    }

    /// The counts as a log line; `None`: no claim was made yet.
    pub fn log_line(&self) -> Option<String> {
        let (table, KeyedCounts { granted, granted_ms, held, unanswered, holder_silent }) =
            (self.operations.borrow().counts(), &self.counts);
        let (remembered, answers, bytes) = self.operations.borrow().usage();
        (table.claims > 0).then(|| {
            format!(
                "event=operations claims={} granted={} granted_ms={:.0} held={} unanswered={} released={} answered={} in_doubt={} \
                 repeated={} recalls={} silent={} dropped={} remembered={remembered} kept={answers} kept_bytes={bytes}",
                table.claims,
                granted.get(),
                granted_ms.get(),
                held.get(),
                unanswered.get(),
                table.released,
                table.answered,
                table.in_doubt,
                table.repeated,
                table.recalls,
                holder_silent.get(),
                table.dropped,
            )
        })
    }

    /// Claims and operations by outcome, under the names of the metric's labels.
    pub(crate) fn outcomes(&self) -> [(&'static str, u64); 9] {
        let (table, counts) = (self.operations.borrow().counts(), &self.counts);
        [
            ("granted", counts.granted.get()),
            ("held", counts.held.get()),
            ("unanswered", counts.unanswered.get()),
            ("holder_silent", counts.holder_silent.get()),
            ("released", table.released),
            ("answered", table.answered),
            ("in_doubt", table.in_doubt),
            ("repeated", table.repeated),
            ("dropped", table.dropped),
        ]
    }

    /// Claims an operation, or returns the answer to send instead of running it.
    async fn claim(
        self: &Rc<Self>,
        operation: Operation,
        routed: &RoutedRequest,
        client: &ReplySender,
    ) -> Result<Claim, Reply> {
        let timeout_ms = (routed.route.aim_ms * CLAIM_TIME_RATIO).max(MIN_CLAIM_TIMEOUT_MS);
        let until = (self.wheel.now() + timeout_ms).min(routed.arrived + routed.time_limit_ms);
        let mut claiming = ClaimAttempt::new(operation.id, operation.request);
        let mut step = self.begin(&mut claiming, routed, client).await;
        loop {
            step = match step {
                ClaimStep::Claim(call) => {
                    let number = call.claimant.number;
                    let claim = Claim { keyed: self.clone(), id: operation.id, number, may_have_run: false };
                    let answer = self.claim_at_leader(&call, until).await;
                    let mut table = self.operations.borrow_mut();
                    match claiming.on_claim_answer(self.wheel.now(), &mut table, answer) {
                        None => return Ok(claim),
                        Some(next) => next,
                    }
                }
                ClaimStep::Recall(call) => {
                    let answer = self.await_holder(&call, routed, client).await;
                    let mut table = self.operations.borrow_mut();
                    claiming.on_recall_answer(self.wheel.now(), &mut table, call.claimant, answer)
                }
                ClaimStep::Refused(refusal) => return Err(refusal_reply(&refusal, routed)),
            };
        }
    }

    /// The first step of a claim, once no other request of the same key is in progress here or the request's time is
    /// up.
    async fn begin(
        &self,
        claiming: &mut ClaimAttempt,
        routed: &RoutedRequest,
        client: &ReplySender,
    ) -> ClaimStep {
        loop {
            let step = claiming.begin(self.wheel.now(), &mut self.operations.borrow_mut());
            if step != ClaimStep::Refused(ClaimRefusal::InProgress)
                || !self.wait_for_first(routed, client, LOCAL_POLL_MS).await
            {
                return step;
            }
        }
    }

    /// Waits before checking again on a first request in progress; `false`: no time is left, or the client has
    /// disconnected.
    async fn wait_for_first(&self, routed: &RoutedRequest, client: &ReplySender, ms: f64) -> bool {
        let until = routed.arrived + routed.time_limit_ms - IN_PROGRESS_MARGIN_MS;
        if client.is_closed() || self.wheel.now() + ms > until {
            return false;
        }
        self.wheel.sleep(ms).await;
        true
    }

    /// The holder's answer once its request is no longer in progress, or this request's time is up.
    async fn await_holder(
        &self,
        call: &RecallCall,
        routed: &RoutedRequest,
        client: &ReplySender,
    ) -> Option<RecallAnswer> {
        loop {
            let answer = self.query_holder(call, routed).await;
            let in_progress = answer == Some(RecallAnswer::InProgress);
            if !in_progress || !self.wait_for_first(routed, client, REMOTE_POLL_MS).await {
                return answer;
            }
        }
    }

    async fn claim_at_leader(&self, call: &ClaimCall, until: f64) -> Option<ClaimAnswer> {
        let asked_at = self.wheel.now();
        let answer = self.claims.claim(call, until).await;
        match answer {
            None => count(&self.counts.unanswered),
            Some(ClaimAnswer::Granted) => {
                count(&self.counts.granted);
                self.counts.granted_ms.set(self.counts.granted_ms.get() + self.wheel.now() - asked_at);
            }
            Some(ClaimAnswer::Held(_)) => count(&self.counts.held),
            Some(ClaimAnswer::Full) => {}
        }
        answer
    }

    async fn query_holder(&self, call: &RecallCall, routed: &RoutedRequest) -> Option<RecallAnswer> {
        let left_ms = routed.arrived + routed.time_limit_ms - self.wheel.now();
        let answer = self.claims.recall(call, left_ms.min(RECALL_TIMEOUT_MS)).await;
        if answer.is_none() {
            count(&self.counts.holder_silent);
        }
        answer
    }
}

impl Frontend {
    /// The operation that a request belongs to; `None`: its route is not keyed, or it carries no operation key.
    pub(super) fn operation(
        &self,
        head: &RequestHead,
        routed: &RoutedRequest,
        body: &RequestBody,
    ) -> Result<Option<Operation>, LocalReply> {
        let keyed = self.keyed.borrow();
        let Some(keyed) = keyed.as_ref().filter(|_| routed.route.keyed) else { return Ok(None) };
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
        let id = OperationId::of(routed.tenant.as_ref().map(|tenant| &*tenant.name), key);
        Ok(Some(Operation { id, request: request_digest(&head.method, &head.target, body) }))
    }

    /// Runs an operation unless another request has claimed it. Dropping the future doesn't end the task that runs it.
    pub(super) async fn run_once(self: Rc<Self>, operation: Operation, request: AdmittedRequest) -> Reply {
        let Some(keyed) = self.keyed.borrow().clone() else { return self.send_to_server(request).await };
        let (client, reply) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let reply = self.claim_and_send(&keyed, operation, request, &client).await;
            // Fails only if the client has disconnected.
            let _ = client.send(reply);
        });
        let not_known = |_| Reply::Local(LocalReply::new(502, "the operation's end is not known"));
        reply.await.unwrap_or_else(not_known)
    }

    async fn claim_and_send(
        &self,
        keyed: &Rc<KeyedOperations>,
        operation: Operation,
        request: AdmittedRequest,
        client: &ReplySender,
    ) -> Reply {
        let mut claim = match keyed.claim(operation, &request.routed, client).await {
            Ok(claim) => claim,
            Err(reply) => return reply,
        };
        let AdmittedRequest { head, routed, body, unit_until } = request;
        // The shutdown may have begun, or the contact to the core been lost, during the claim.
        let routed = match self
            .limit_to_shutdown(routed)
            .and_then(|routed| self.stale_reply(KEYS_STALE).map_or(Ok(routed), Err))
        {
            Ok(routed) => routed,
            Err(refusal) => return Reply::Local(refusal),
        };
        if client.is_closed() {
            return Reply::Local(LocalReply::refusal(503, "the client has gone", SHUTDOWN_PAUSE_MS));
        }
        let unit_until = match self.renew_unit(&routed, unit_until).await {
            Ok(until) => until,
            Err(refusal) => return Reply::Local(refusal),
        };
        claim.may_have_run = true;
        let reply = self.send_to_server(AdmittedRequest { head, routed, body, unit_until }).await;
        claim.record(&reply);
        reply
    }

    /// When the request's unit expires; spends another one if it expired during the claim.
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

fn refusal_reply(refusal: &ClaimRefusal, routed: &RoutedRequest) -> Reply {
    Reply::Local(match refusal {
        ClaimRefusal::Answered(answer) => {
            return answer
                .to_response(&routed.attempt_id)
                .map_or_else(|| Reply::Local(in_doubt()), Reply::Served)
        }
        ClaimRefusal::InProgress => {
            LocalReply::refusal(409, "the operation is at work", IN_PROGRESS_PAUSE_MS)
        }
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
