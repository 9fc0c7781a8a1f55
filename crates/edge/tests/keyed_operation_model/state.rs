//! Gateways, the core, servers and the ways between them, with every next step there is. The flow of a try is
//! `edge::claim_attempt`, its record `edge::operations`; how a run's end is recorded is as in `edge::frontend::keyed`.

use super::core::{Answered, Core, WINDOW_MS};
use super::{Bounds, Fault};
use nickeljunction_edge::claim_attempt::{ClaimAttempt, ClaimRefusal, ClaimStep};
use nickeljunction_edge::operations::{OperationTable, StoredAnswer};
use nickeljunction_messages::{ClaimAnswer, ClaimCall, KeptAnswer, OperationId, RecallAnswer, RecallCall};
use std::net::Ipv4Addr;

const OPERATION: OperationId = OperationId(5);
const REQUEST: u64 = 9;
const SERVERS: usize = 3;
/// How long [`Act::Pass`] takes; all else takes no time.
const PASS_MS: u64 = 20_000;

/// What happens next. Numbers are places in the lists of [`World`].
#[derive(Debug, Clone, Copy)]
pub enum Act {
    /// A try reaches this gateway.
    Begin(usize),
    /// A claim reaches the leader, and is never seen again, or is once more on its way.
    Claim {
        at: usize,
        again: bool,
    },
    /// The same, at a leader that has yet to apply the newest entry and knows of a holder.
    ClaimAtLagging(usize),
    Commit,
    GiveUp,
    ChangeLeader {
        kept: usize,
    },
    ClaimAnswered(usize),
    Recall(usize),
    RecallAnswered(usize),
    /// A try waits no more for the call that it made, which may arrive later, or never.
    TimeOut(usize),
    /// A granted try is sent to a server, or ends before that.
    Send(usize),
    Decline(usize),
    /// A server has run it, and its answer arrives or doesn't.
    Run {
        at: usize,
        is_answered: bool,
    },
    /// A server vouches that it didn't run it.
    Vouch(usize),
    /// It never gets to the server, and nobody can tell.
    LoseRequest(usize),
    /// The process ends, and another one begins that knows nothing.
    Crash(usize),
    Pass,
}

/// What a client is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Told {
    Answer(KeptAnswer),
    AtWork,
    Failed,
    /// Its gateway crashed.
    Nothing,
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Claims(ClaimCall),
    Recalls(RecallCall),
    Granted,
    AtServer,
    Ended(Told),
}

#[derive(Debug, Clone)]
struct Try {
    gateway: usize,
    begun_ms: u64,
    claiming: ClaimAttempt,
    number: u64,
    phase: Phase,
}

/// A request on its way to a server, which may get there after its gateway crashed.
#[derive(Debug, Clone)]
struct ServerCall {
    by: usize,
    server: usize,
}

#[derive(Debug, Clone)]
struct Run {
    /// When its try came to a gateway.
    begun_ms: u64,
    answer: KeptAnswer,
}

#[derive(Debug, Clone)]
pub struct World {
    pub left: Bounds,
    now_ms: u64,
    lives: u64,
    gateways: Vec<OperationTable>,
    core: Core,
    tries: Vec<Try>,
    claim_calls: Vec<(usize, ClaimCall)>,
    claim_answers: Vec<Answered>,
    recall_answers: Vec<(usize, RecallCall, RecallAnswer)>,
    recall_calls: Vec<(usize, RecallCall)>,
    server_calls: Vec<ServerCall>,
    runs: Vec<Run>,
    /// Tries that were sent to a server and may have run, by when they came.
    exposed: Vec<(usize, u64)>,
}

impl World {
    pub fn new(bounds: Bounds) -> World {
        let mut world = World {
            left: bounds,
            now_ms: 0,
            lives: 0,
            gateways: Vec::new(),
            core: Core::new(),
            tries: Vec::new(),
            claim_calls: Vec::new(),
            claim_answers: Vec::new(),
            recall_calls: Vec::new(),
            recall_answers: Vec::new(),
            server_calls: Vec::new(),
            runs: Vec::new(),
            exposed: Vec::new(),
        };
        for gateway in 0..2 {
            let operations = world.process(gateway);
            world.gateways.push(operations);
        }
        world
    }

    fn process(&mut self, gateway: usize) -> OperationTable {
        if self.left.fault != Fault::LifeReused {
            self.lives += 1;
        }
        let host = Ipv4Addr::new(10, 0, 0, gateway as u8);
        OperationTable::new(host, self.lives, WINDOW_MS as f64)
    }

    /// Everything that can happen next.
    pub fn acts(&self) -> Vec<Act> {
        let left = &self.left;
        // Gateways are alike, and before the first try nothing matters.
        if self.tries.is_empty() {
            return vec![Act::Begin(0)];
        }
        let mut acts = Vec::new();
        acts.extend((0..2).filter(|_| left.tries > 0).map(Act::Begin));
        for (at, (_, call)) in self.claim_calls.iter().enumerate() {
            acts.push(Act::Claim { at, again: false });
            acts.extend((left.repeats > 0).then_some(Act::Claim { at, again: true }));
            let is_refused = self.core.lagging_refusal(call).is_some();
            acts.extend((left.changes > 0 && is_refused).then_some(Act::ClaimAtLagging(at)));
        }
        acts.extend(self.core.has_tail().then_some(Act::Commit));
        acts.extend((left.timeouts > 0 && self.core.somebody_waits()).then_some(Act::GiveUp));
        if left.changes > 0 {
            acts.extend((0..=self.core.tail()).map(|kept| Act::ChangeLeader { kept }));
        }
        acts.extend((0..self.claim_answers.len()).map(Act::ClaimAnswered));
        acts.extend((0..self.recall_calls.len()).map(Act::Recall));
        acts.extend((0..self.recall_answers.len()).map(Act::RecallAnswered));
        for (at, of) in self.tries.iter().enumerate() {
            match of.phase {
                Phase::Claims(_) | Phase::Recalls(_) => {
                    acts.extend((left.timeouts > 0).then_some(Act::TimeOut(at)))
                }
                Phase::Granted => {
                    acts.push(Act::Send(at));
                    acts.extend((left.refusals > 0).then_some(Act::Decline(at)));
                }
                _ => {}
            }
        }
        for at in 0..self.server_calls.len() {
            acts.push(Act::Run { at, is_answered: true });
            if left.broken > 0 {
                acts.extend([Act::Run { at, is_answered: false }, Act::LoseRequest(at)]);
            }
            acts.extend((left.refusals > 0).then_some(Act::Vouch(at)));
        }
        let knows = |gateway: &usize| self.gateways[*gateway].counts().claims > 0;
        acts.extend((0..2).filter(|_| left.crashes > 0).filter(knows).map(Act::Crash));
        acts.extend((left.passes > 0 && self.is_calm()).then_some(Act::Pass));
        acts
    }

    /// No try and no request outlives its deadline, which is far below [`PASS_MS`].
    fn is_calm(&self) -> bool {
        self.server_calls.is_empty() && self.tries.iter().all(|of| matches!(of.phase, Phase::Ended(_)))
    }

    /// # Errors
    /// A rule is broken.
    pub fn take(&mut self, act: Act) -> Result<(), String> {
        let fault = self.left.fault;
        match act {
            Act::Begin(gateway) => {
                self.left.tries -= 1;
                let mut claiming = ClaimAttempt::new(OPERATION, REQUEST);
                let step = claiming.begin(self.now_ms as f64, &mut self.gateways[gateway]);
                let (begun_ms, phase) = (self.now_ms, Phase::Granted);
                self.tries.push(Try { gateway, begun_ms, claiming, number: 0, phase });
                self.follow(self.tries.len() - 1, step)?;
            }
            Act::Claim { at, again } => {
                let (of, call) = self.claim_calls.remove(at);
                if again {
                    self.left.repeats -= 1;
                    self.claim_calls.insert(at, (of, call));
                }
                let answers = self.core.claim(of, call, fault);
                self.claim_answers.extend(answers);
            }
            Act::ClaimAtLagging(at) => {
                let (of, call) = self.claim_calls.remove(at);
                let refusal = self.core.lagging_refusal(&call);
                self.claim_answers.extend(refusal.map(|refusal| (of, call, refusal)));
            }
            Act::Commit => {
                let answers = self.core.commit(fault);
                self.claim_answers.extend(answers);
            }
            Act::GiveUp => {
                self.left.timeouts -= 1;
                let answers = self.core.give_up(fault);
                self.claim_answers.extend(answers);
            }
            Act::ChangeLeader { kept } => {
                self.left.changes -= 1;
                self.core.change_leader(kept, fault);
            }
            Act::ClaimAnswered(at) => {
                let (of, _, answer) = self.claim_answers.remove(at);
                self.claimed(of, Some(answer))?;
            }
            Act::Recall(at) => {
                let (of, call) = self.recall_calls.remove(at);
                let answer = self.recall(&call);
                self.recall_answers.push((of, call, answer));
            }
            Act::RecallAnswered(at) => {
                let (of, call, mut answer) = self.recall_answers.remove(at);
                if let (RecallAnswer::Answered(kept), Fault::AnswerAltered) = (&mut answer, fault) {
                    kept.body = "b3RoZXI=".to_string();
                }
                self.recalled(of, &call, Some(answer))?;
            }
            Act::TimeOut(of) => {
                self.left.timeouts -= 1;
                match self.tries[of].phase.clone() {
                    Phase::Recalls(call) if fault == Fault::SilentIsReleased => {
                        self.recalled(of, &call, Some(RecallAnswer::Released))?;
                    }
                    Phase::Recalls(call) => self.recalled(of, &call, None)?,
                    _ => self.claimed(of, None)?,
                }
            }
            Act::Send(of) => {
                self.tries[of].phase = Phase::AtServer;
                self.server_calls.push(ServerCall { by: of, server: 0 });
                self.expose(of)?;
            }
            Act::Decline(of) => {
                self.left.refusals -= 1;
                self.release(of);
            }
            Act::Run { at, is_answered } => {
                let call = self.server_calls.remove(at);
                self.run(&call, is_answered)?;
            }
            Act::Vouch(at) => self.vouch(at),
            Act::LoseRequest(at) => {
                self.left.broken -= 1;
                let call = self.server_calls.remove(at);
                self.doubt(call.by);
            }
            Act::Crash(gateway) => self.crash(gateway),
            Act::Pass => {
                self.left.passes -= 1;
                self.core.give_up(Fault::None);
                self.core.pass(self.now_ms, self.now_ms + PASS_MS);
                self.now_ms += PASS_MS;
            }
        }
        self.drop_answers_nobody_awaits();
        Ok(())
    }

    /// What a try does next.
    fn follow(&mut self, of: usize, step: ClaimStep) -> Result<(), String> {
        self.tries[of].phase = match step {
            ClaimStep::Claim(call) => {
                self.tries[of].number = call.claimant.number;
                self.claim_calls.push((of, call));
                Phase::Claims(call)
            }
            ClaimStep::Recall(call) => {
                self.recall_calls.push((of, call));
                Phase::Recalls(call)
            }
            ClaimStep::Refused(ClaimRefusal::Answered(answer)) => Phase::Ended(self.told(&answer)?),
            ClaimStep::Refused(ClaimRefusal::InProgress) => Phase::Ended(Told::AtWork),
            ClaimStep::Refused(_) => Phase::Ended(Told::Failed),
        };
        Ok(())
    }

    fn claimed(&mut self, of: usize, answer: Option<ClaimAnswer>) -> Result<(), String> {
        let Try { gateway, claiming, .. } = &mut self.tries[of];
        match claiming.on_claim_answer(self.now_ms as f64, &mut self.gateways[*gateway], answer) {
            None => self.tries[of].phase = Phase::Granted,
            Some(step) => self.follow(of, step)?,
        }
        Ok(())
    }

    fn recall(&mut self, call: &RecallCall) -> RecallAnswer {
        let gateway = usize::from(call.claimant.host.octets()[3]);
        self.gateways[gateway].recall(self.now_ms as f64, call)
    }

    fn recalled(&mut self, of: usize, call: &RecallCall, answer: Option<RecallAnswer>) -> Result<(), String> {
        let Try { gateway, claiming, .. } = &mut self.tries[of];
        let table = &mut self.gateways[*gateway];
        let step = claiming.on_recall_answer(self.now_ms as f64, table, call.claimant, answer);
        self.follow(of, step)
    }

    /// The client's copy of an answer, which must be the first run's.
    fn told(&self, answer: &StoredAnswer) -> Result<Told, String> {
        let served = answer.to_response("a").and_then(|served| StoredAnswer::from_response(&served));
        let mut told = served.ok_or("the answer can't be read")?.to_message();
        told.headers.retain(|(name, _)| name == "X-Response-Seal");
        match self.runs.last().is_some_and(|run| run.answer == told) {
            true => Ok(Told::Answer(told)),
            false => Err(format!("MIXED: told {told:?} after {:?}", self.runs)),
        }
    }

    fn expose(&mut self, of: usize) -> Result<(), String> {
        let first = self.exposed.iter().find(|(_, begun_ms)| self.now_ms < begun_ms + WINDOW_MS);
        if let Some(first) = first {
            return Err(format!(
                "IN DOUBT: sent at {} ms after try {}, which may have run",
                self.now_ms, first.0
            ));
        }
        self.exposed.push((of, self.tries[of].begun_ms));
        Ok(())
    }

    fn run(&mut self, call: &ServerCall, is_answered: bool) -> Result<(), String> {
        let Try { gateway, begun_ms, number, .. } = self.tries[call.by];
        let first = self.runs.iter().find(|run| self.now_ms < run.begun_ms + WINDOW_MS);
        if let Some(first) = first {
            return Err(format!("TWICE: run at {} ms after {first:?}", self.now_ms));
        }
        let seal = format!("{}.{}", self.runs.len(), call.server);
        let headers = vec![("X-Response-Seal".to_string(), seal)];
        let answer = KeptAnswer { status: 200, headers, body: "Ym9va2Vk".to_string() };
        self.runs.push(Run { begun_ms, answer: answer.clone() });
        if !is_answered {
            self.left.broken -= 1;
            self.doubt(call.by);
        } else if self.tries[call.by].phase == Phase::AtServer {
            let kept = StoredAnswer::from_message(&answer).ok_or("no answer")?;
            self.tries[call.by].phase = Phase::Ended(self.told(&kept)?);
            self.gateways[gateway].record_answer(self.now_ms as f64, OPERATION, number, kept);
        }
        Ok(())
    }

    /// The next server is asked, if there is one.
    fn vouch(&mut self, at: usize) {
        self.left.refusals -= 1;
        let ServerCall { by, server } = self.server_calls.remove(at);
        let is_alive = self.tries[by].phase == Phase::AtServer;
        if is_alive && server + 1 < SERVERS {
            self.server_calls.push(ServerCall { by, server: server + 1 });
            return;
        }
        self.exposed.retain(|(of, _)| *of != by);
        if is_alive {
            self.release(by);
        }
    }

    fn release(&mut self, of: usize) {
        let Try { gateway, number, .. } = self.tries[of];
        self.gateways[gateway].release(self.now_ms as f64, OPERATION, number);
        self.tries[of].phase = Phase::Ended(Told::Failed);
    }

    fn doubt(&mut self, of: usize) {
        let Try { gateway, number, .. } = self.tries[of];
        if self.tries[of].phase == Phase::AtServer {
            self.gateways[gateway].mark_in_doubt(self.now_ms as f64, OPERATION, number);
            self.tries[of].phase = Phase::Ended(Told::Failed);
        }
    }

    fn crash(&mut self, gateway: usize) {
        self.left.crashes -= 1;
        self.gateways[gateway] = self.process(gateway);
        let live = self.tries.iter_mut().filter(|of| !matches!(of.phase, Phase::Ended(_)));
        for of in live.filter(|of| of.gateway == gateway) {
            of.phase = Phase::Ended(Told::Nothing);
        }
    }

    fn drop_answers_nobody_awaits(&mut self) {
        let tries = &self.tries;
        self.claim_answers.retain(|(of, call, _)| tries[*of].phase == Phase::Claims(*call));
        self.recall_calls.retain(|(of, call)| tries[*of].phase == Phase::Recalls(*call));
        self.recall_answers.retain(|(of, call, _)| tries[*of].phase == Phase::Recalls(*call));
    }

    /// Where nothing can happen any more: one try ran and was told its answer, each other one that or to come again.
    ///
    /// # Errors
    /// It is not so.
    pub fn check_served(&self) -> Result<(), String> {
        let told: Vec<&Phase> = self.tries.iter().map(|of| &of.phase).collect();
        let [Run { answer, .. }] = &self.runs[..] else { return Err(format!("no single run: {told:?}")) };
        let answer = Phase::Ended(Told::Answer(answer.clone()));
        let repeats = told.iter().filter(|phase| ***phase == Phase::Ended(Told::AtWork)).count();
        let served = told.iter().filter(|phase| ***phase == answer).count();
        match served > 0 && served + repeats == told.len() {
            true => Ok(()),
            false => Err(format!("not all were served: {told:?}")),
        }
    }

    /// Runs so far, and tries that were told a kept answer, for what the search is to have seen.
    pub fn seen(&self) -> (usize, usize) {
        let is_answer = |of: &&Try| matches!(of.phase, Phase::Ended(Told::Answer(_)));
        (self.runs.len(), self.tries.iter().filter(is_answer).count())
    }
}
