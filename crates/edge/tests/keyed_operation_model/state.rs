//! The state of the model (gateways, core, servers and the messages between them) and all actions that are possible in
//! it. The model uses the real `edge::claim_attempt` and `edge::operations`, and records the end of a run as
//! `edge::frontend::keyed` does.

use super::core::{ClaimReply, Core, WINDOW_MS};
use super::{Bounds, Fault};
use nickeljunction_edge::claim_attempt::{ClaimAttempt, ClaimRefusal, ClaimStep};
use nickeljunction_edge::operations::{OperationTable, StoredAnswer};
use nickeljunction_messages::{ClaimAnswer, ClaimCall, KeptAnswer, OperationId, RecallAnswer, RecallCall};
use std::net::Ipv4Addr;

const OPERATION: OperationId = OperationId(5);
const REQUEST_DIGEST: u64 = 9;
const SERVERS: usize = 3;
/// Duration of [`Action::AdvanceTime`]. All other actions take no time.
const TIME_STEP_MS: u64 = 20_000;

/// A step of the model. Numbers are indices into the lists of [`SystemState`].
#[derive(Debug, Clone, Copy)]
pub enum Action {
    /// A client's request reaches this gateway.
    BeginRequest(usize),
    /// A claim reaches the leader. If `duplicate` is set, it will reach the leader once more.
    DeliverClaim {
        index: usize,
        duplicate: bool,
    },
    /// A claim reaches a leader that has not applied the most recent entry yet and refuses the claim at once.
    DeliverClaimToLaggingLeader(usize),
    Commit,
    /// The leader stops waiting for its uncommitted entries, which may still be committed later.
    TimeOutAtLeader,
    /// Another member becomes the leader; its log has the first `kept` of the uncommitted entries.
    ChangeLeader {
        kept: usize,
    },
    DeliverClaimAnswer(usize),
    DeliverRecall(usize),
    DeliverRecallAnswer(usize),
    /// A request stops waiting for its call, which may arrive later or never.
    TimeOut(usize),
    /// A request whose claim was granted is sent to a server.
    SendToServer(usize),
    /// A request whose claim was granted is refused by its gateway.
    RefuseAtGateway(usize),
    /// A server runs the operation. Its answer arrives if `is_answered` is set.
    RunAtServer {
        index: usize,
        is_answered: bool,
    },
    /// A server states that it did not run the operation.
    RefuseAtServer(usize),
    /// A request is lost on the way to its server, which the gateway cannot distinguish from a lost answer.
    LoseServerCall(usize),
    /// A gateway process ends, and a new one starts with an empty operation table.
    Crash(usize),
    AdvanceTime,
}

/// The result that a client receives.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientResult {
    Answer(KeptAnswer),
    /// Another request is still running the operation.
    InProgress,
    Failed,
    /// No answer, because the gateway crashed.
    NoAnswer,
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Claiming(ClaimCall),
    Recalling(RecallCall),
    Granted,
    SentToServer,
    Ended(ClientResult),
}

#[derive(Debug, Clone)]
struct ClientRequest {
    gateway: usize,
    begun_ms: u64,
    claim_attempt: ClaimAttempt,
    claim_number: u64,
    phase: Phase,
}

/// A request on its way to a server. It may arrive after its gateway has crashed.
#[derive(Debug, Clone)]
struct ServerCall {
    request: usize,
    server: usize,
}

#[derive(Debug, Clone)]
struct Run {
    /// When the request reached its gateway.
    begun_ms: u64,
    answer: KeptAnswer,
}

#[derive(Debug, Clone)]
pub struct SystemState {
    /// How often each kind of event may still happen.
    remaining: Bounds,
    now_ms: u64,
    incarnations: u64,
    gateways: Vec<OperationTable>,
    core: Core,
    requests: Vec<ClientRequest>,
    claim_calls: Vec<(usize, ClaimCall)>,
    claim_answers: Vec<ClaimReply>,
    recall_answers: Vec<(usize, RecallCall, RecallAnswer)>,
    recall_calls: Vec<(usize, RecallCall)>,
    server_calls: Vec<ServerCall>,
    runs: Vec<Run>,
    /// Requests that were sent to a server and may have run, with the times when they reached their gateways.
    exposed: Vec<(usize, u64)>,
}

impl SystemState {
    pub fn new(bounds: Bounds) -> SystemState {
        let mut state = SystemState {
            remaining: bounds,
            now_ms: 0,
            incarnations: 0,
            gateways: Vec::new(),
            core: Core::new(),
            requests: Vec::new(),
            claim_calls: Vec::new(),
            claim_answers: Vec::new(),
            recall_calls: Vec::new(),
            recall_answers: Vec::new(),
            server_calls: Vec::new(),
            runs: Vec::new(),
            exposed: Vec::new(),
        };
        for gateway in 0..2 {
            let operations = state.start_gateway(gateway);
            state.gateways.push(operations);
        }
        state
    }

    fn start_gateway(&mut self, gateway: usize) -> OperationTable {
        if self.remaining.fault != Fault::IncarnationReused {
            self.incarnations += 1;
        }
        let host = Ipv4Addr::new(10, 0, 0, gateway as u8);
        OperationTable::new(host, self.incarnations, WINDOW_MS as f64)
    }

    /// All actions that are possible in this state.
    pub fn enabled_actions(&self) -> Vec<Action> {
        let remaining = &self.remaining;
        // The gateways are alike, and no action before the first request makes a difference.
        if self.requests.is_empty() {
            return vec![Action::BeginRequest(0)];
        }
        let mut actions = Vec::new();
        actions.extend((0..2).filter(|_| remaining.requests > 0).map(Action::BeginRequest));
        for (index, (_, call)) in self.claim_calls.iter().enumerate() {
            actions.push(Action::DeliverClaim { index, duplicate: false });
            actions.extend(
                (remaining.duplicates > 0).then_some(Action::DeliverClaim { index, duplicate: true }),
            );
            let is_refused = self.core.lagging_refusal(call).is_some();
            actions.extend(
                (remaining.leader_changes > 0 && is_refused)
                    .then_some(Action::DeliverClaimToLaggingLeader(index)),
            );
        }
        actions.extend(self.core.has_uncommitted().then_some(Action::Commit));
        actions.extend(
            (remaining.timeouts > 0 && self.core.has_waiting_callers()).then_some(Action::TimeOutAtLeader),
        );
        if remaining.leader_changes > 0 {
            actions.extend((0..=self.core.uncommitted_len()).map(|kept| Action::ChangeLeader { kept }));
        }
        actions.extend((0..self.claim_answers.len()).map(Action::DeliverClaimAnswer));
        actions.extend((0..self.recall_calls.len()).map(Action::DeliverRecall));
        actions.extend((0..self.recall_answers.len()).map(Action::DeliverRecallAnswer));
        for (index, request) in self.requests.iter().enumerate() {
            match request.phase {
                Phase::Claiming(_) | Phase::Recalling(_) => {
                    actions.extend((remaining.timeouts > 0).then_some(Action::TimeOut(index)))
                }
                Phase::Granted => {
                    actions.push(Action::SendToServer(index));
                    actions.extend((remaining.refusals > 0).then_some(Action::RefuseAtGateway(index)));
                }
                _ => {}
            }
        }
        for index in 0..self.server_calls.len() {
            actions.push(Action::RunAtServer { index, is_answered: true });
            if remaining.runs_in_doubt > 0 {
                actions.extend([
                    Action::RunAtServer { index, is_answered: false },
                    Action::LoseServerCall(index),
                ]);
            }
            actions.extend((remaining.refusals > 0).then_some(Action::RefuseAtServer(index)));
        }
        let has_claims = |gateway: &usize| self.gateways[*gateway].counts().claims > 0;
        actions.extend((0..2).filter(|_| remaining.crashes > 0).filter(has_claims).map(Action::Crash));
        actions.extend((remaining.time_steps > 0 && self.is_idle()).then_some(Action::AdvanceTime));
        actions
    }

    /// Whether no request is in progress. None outlives its deadline, which is far below [`TIME_STEP_MS`].
    fn is_idle(&self) -> bool {
        self.server_calls.is_empty()
            && self.requests.iter().all(|request| matches!(request.phase, Phase::Ended(_)))
    }

    /// Carries out an action.
    ///
    /// # Errors
    /// The rule that the action breaks.
    pub fn apply(&mut self, action: Action) -> Result<(), String> {
        let fault = self.remaining.fault;
        match action {
            Action::BeginRequest(gateway) => {
                self.remaining.requests -= 1;
                let mut claim_attempt = ClaimAttempt::new(OPERATION, REQUEST_DIGEST);
                let step = claim_attempt.begin(self.now_ms as f64, &mut self.gateways[gateway]);
                let (begun_ms, phase) = (self.now_ms, Phase::Granted);
                self.requests.push(ClientRequest {
                    gateway,
                    begun_ms,
                    claim_attempt,
                    claim_number: 0,
                    phase,
                });
                self.apply_claim_step(self.requests.len() - 1, step)?;
            }
            Action::DeliverClaim { index, duplicate } => {
                let (request, call) = self.claim_calls.remove(index);
                if duplicate {
                    self.remaining.duplicates -= 1;
                    self.claim_calls.insert(index, (request, call));
                }
                let replies = self.core.deliver_claim(request, call, fault);
                self.claim_answers.extend(replies);
            }
            Action::DeliverClaimToLaggingLeader(index) => {
                let (request, call) = self.claim_calls.remove(index);
                let refusal = self.core.lagging_refusal(&call);
                self.claim_answers.extend(refusal.map(|refusal| (request, call, refusal)));
            }
            Action::Commit => {
                let replies = self.core.commit(fault);
                self.claim_answers.extend(replies);
            }
            Action::TimeOutAtLeader => {
                self.remaining.timeouts -= 1;
                let replies = self.core.time_out_callers(fault);
                self.claim_answers.extend(replies);
            }
            Action::ChangeLeader { kept } => {
                self.remaining.leader_changes -= 1;
                self.core.change_leader(kept, fault);
            }
            Action::DeliverClaimAnswer(index) => {
                let (request, _, answer) = self.claim_answers.remove(index);
                self.on_claim_answer(request, Some(answer))?;
            }
            Action::DeliverRecall(index) => {
                let (request, call) = self.recall_calls.remove(index);
                let answer = self.recall(&call);
                self.recall_answers.push((request, call, answer));
            }
            Action::DeliverRecallAnswer(index) => {
                let (request, call, mut answer) = self.recall_answers.remove(index);
                if let (RecallAnswer::Answered(answer), Fault::AlteredAnswer) = (&mut answer, fault) {
                    answer.body = "b3RoZXI=".to_string();
                }
                self.on_recall_answer(request, &call, Some(answer))?;
            }
            Action::TimeOut(request) => {
                self.remaining.timeouts -= 1;
                match self.requests[request].phase.clone() {
                    Phase::Recalling(call) if fault == Fault::SilentHolderAssumedReleased => {
                        self.on_recall_answer(request, &call, Some(RecallAnswer::Released))?;
                    }
                    Phase::Recalling(call) => self.on_recall_answer(request, &call, None)?,
                    _ => self.on_claim_answer(request, None)?,
                }
            }
            Action::SendToServer(request) => {
                self.requests[request].phase = Phase::SentToServer;
                self.server_calls.push(ServerCall { request, server: 0 });
                self.record_exposure(request)?;
            }
            Action::RefuseAtGateway(request) => {
                self.remaining.refusals -= 1;
                self.release(request);
            }
            Action::RunAtServer { index, is_answered } => {
                let call = self.server_calls.remove(index);
                self.run_at_server(&call, is_answered)?;
            }
            Action::RefuseAtServer(index) => self.refuse_at_server(index),
            Action::LoseServerCall(index) => {
                self.remaining.runs_in_doubt -= 1;
                let call = self.server_calls.remove(index);
                self.mark_in_doubt(call.request);
            }
            Action::Crash(gateway) => self.crash(gateway),
            Action::AdvanceTime => {
                self.remaining.time_steps -= 1;
                self.core.time_out_callers(Fault::None);
                self.core.advance_time(self.now_ms, self.now_ms + TIME_STEP_MS);
                self.now_ms += TIME_STEP_MS;
            }
        }
        self.drop_stale_messages();
        Ok(())
    }

    /// Carries out the next step of a request's claim.
    fn apply_claim_step(&mut self, request: usize, step: ClaimStep) -> Result<(), String> {
        self.requests[request].phase = match step {
            ClaimStep::Claim(call) => {
                self.requests[request].claim_number = call.claimant.number;
                self.claim_calls.push((request, call));
                Phase::Claiming(call)
            }
            ClaimStep::Recall(call) => {
                self.recall_calls.push((request, call));
                Phase::Recalling(call)
            }
            ClaimStep::Refused(ClaimRefusal::Answered(answer)) => {
                Phase::Ended(self.answer_to_client(&answer)?)
            }
            ClaimStep::Refused(ClaimRefusal::InProgress) => Phase::Ended(ClientResult::InProgress),
            ClaimStep::Refused(_) => Phase::Ended(ClientResult::Failed),
        };
        Ok(())
    }

    fn on_claim_answer(&mut self, request: usize, answer: Option<ClaimAnswer>) -> Result<(), String> {
        let ClientRequest { gateway, claim_attempt, .. } = &mut self.requests[request];
        match claim_attempt.on_claim_answer(self.now_ms as f64, &mut self.gateways[*gateway], answer) {
            None => self.requests[request].phase = Phase::Granted,
            Some(step) => self.apply_claim_step(request, step)?,
        }
        Ok(())
    }

    fn recall(&mut self, call: &RecallCall) -> RecallAnswer {
        let gateway = usize::from(call.claimant.host.octets()[3]);
        self.gateways[gateway].recall(self.now_ms as f64, call)
    }

    fn on_recall_answer(
        &mut self,
        request: usize,
        call: &RecallCall,
        answer: Option<RecallAnswer>,
    ) -> Result<(), String> {
        let ClientRequest { gateway, claim_attempt, .. } = &mut self.requests[request];
        let table = &mut self.gateways[*gateway];
        let step = claim_attempt.on_recall_answer(self.now_ms as f64, table, call.claimant, answer);
        self.apply_claim_step(request, step)
    }

    /// The client's copy of a stored answer, which must be the answer of the last run.
    fn answer_to_client(&self, answer: &StoredAnswer) -> Result<ClientResult, String> {
        let served = answer.to_response("a").and_then(|served| StoredAnswer::from_response(&served));
        let mut received = served.ok_or("the stored answer can't be read")?.to_message();
        received.headers.retain(|(name, _)| name == "X-Response-Seal");
        match self.runs.last().is_some_and(|run| run.answer == received) {
            true => Ok(ClientResult::Answer(received)),
            false => Err(format!("WRONG ANSWER: {received:?} after {:?}", self.runs)),
        }
    }

    /// Records that a server may run the operation for this request.
    ///
    /// # Errors
    /// Another request within the window may have run it.
    fn record_exposure(&mut self, request: usize) -> Result<(), String> {
        let first = self.exposed.iter().find(|(_, begun_ms)| self.now_ms < begun_ms + WINDOW_MS);
        if let Some(first) = first {
            return Err(format!(
                "IN DOUBT: sent at {} ms after request {}, which may have run",
                self.now_ms, first.0
            ));
        }
        self.exposed.push((request, self.requests[request].begun_ms));
        Ok(())
    }

    fn run_at_server(&mut self, call: &ServerCall, is_answered: bool) -> Result<(), String> {
        let ClientRequest { gateway, begun_ms, claim_number, .. } = self.requests[call.request];
        let first = self.runs.iter().find(|run| self.now_ms < run.begun_ms + WINDOW_MS);
        if let Some(first) = first {
            return Err(format!("TWICE: run at {} ms after {first:?}", self.now_ms));
        }
        let seal = format!("{}.{}", self.runs.len(), call.server);
        let headers = vec![("X-Response-Seal".to_string(), seal)];
        let answer = KeptAnswer { status: 200, headers, body: "Ym9va2Vk".to_string() };
        self.runs.push(Run { begun_ms, answer: answer.clone() });
        if !is_answered {
            self.remaining.runs_in_doubt -= 1;
            self.mark_in_doubt(call.request);
        } else if self.requests[call.request].phase == Phase::SentToServer {
            let stored = StoredAnswer::from_message(&answer).ok_or("no answer")?;
            self.requests[call.request].phase = Phase::Ended(self.answer_to_client(&stored)?);
            self.gateways[gateway].record_answer(self.now_ms as f64, OPERATION, claim_number, stored);
        }
        Ok(())
    }

    /// Sends the request to the next server, or releases its claim if there is none.
    fn refuse_at_server(&mut self, index: usize) {
        self.remaining.refusals -= 1;
        let ServerCall { request, server } = self.server_calls.remove(index);
        let is_awaited = self.requests[request].phase == Phase::SentToServer;
        if is_awaited && server + 1 < SERVERS {
            self.server_calls.push(ServerCall { request, server: server + 1 });
            return;
        }
        self.exposed.retain(|(exposed, _)| *exposed != request);
        if is_awaited {
            self.release(request);
        }
    }

    fn release(&mut self, request: usize) {
        let ClientRequest { gateway, claim_number, .. } = self.requests[request];
        self.gateways[gateway].release(self.now_ms as f64, OPERATION, claim_number);
        self.requests[request].phase = Phase::Ended(ClientResult::Failed);
    }

    fn mark_in_doubt(&mut self, request: usize) {
        let ClientRequest { gateway, claim_number, .. } = self.requests[request];
        if self.requests[request].phase == Phase::SentToServer {
            self.gateways[gateway].mark_in_doubt(self.now_ms as f64, OPERATION, claim_number);
            self.requests[request].phase = Phase::Ended(ClientResult::Failed);
        }
    }

    fn crash(&mut self, gateway: usize) {
        self.remaining.crashes -= 1;
        self.gateways[gateway] = self.start_gateway(gateway);
        let unfinished = self.requests.iter_mut().filter(|request| !matches!(request.phase, Phase::Ended(_)));
        for request in unfinished.filter(|request| request.gateway == gateway) {
            request.phase = Phase::Ended(ClientResult::NoAnswer);
        }
    }

    /// Drops the messages whose request no longer waits for them.
    fn drop_stale_messages(&mut self) {
        let requests = &self.requests;
        self.claim_answers.retain(|(request, call, _)| requests[*request].phase == Phase::Claiming(*call));
        self.recall_calls.retain(|(request, call)| requests[*request].phase == Phase::Recalling(*call));
        self.recall_answers.retain(|(request, call, _)| requests[*request].phase == Phase::Recalling(*call));
    }

    /// Checks a final state without failures: the operation ran once, at least one client received its answer, and
    /// every other client received the answer or [`ClientResult::InProgress`].
    ///
    /// # Errors
    /// The results of all requests, if they differ from that.
    pub fn check_all_answered(&self) -> Result<(), String> {
        let phases: Vec<&Phase> = self.requests.iter().map(|request| &request.phase).collect();
        let [Run { answer, .. }] = &self.runs[..] else {
            return Err(format!("the operation did not run exactly once: {phases:?}"));
        };
        let answer = Phase::Ended(ClientResult::Answer(answer.clone()));
        let conflicts =
            phases.iter().filter(|phase| ***phase == Phase::Ended(ClientResult::InProgress)).count();
        let served = phases.iter().filter(|phase| ***phase == answer).count();
        match served > 0 && served + conflicts == phases.len() {
            true => Ok(()),
            false => Err(format!("a request received neither the answer nor a conflict: {phases:?}")),
        }
    }

    /// The numbers of runs and of requests that received the answer, for the statistics of the search.
    pub fn counts(&self) -> (usize, usize) {
        let is_answer =
            |request: &&ClientRequest| matches!(request.phase, Phase::Ended(ClientResult::Answer(_)));
        (self.runs.len(), self.requests.iter().filter(is_answer).count())
    }
}
