//! How one try of a keyed operation gets its claim, or what it is told instead, without I/O: its driver makes the calls that
//! a [`ClaimStep`] names and hands over their answers.

use crate::operations::{BeginResult, OperationTable, StoredAnswer};
use nickeljunction_messages::{ClaimAnswer, ClaimCall, Claimant, OperationId, RecallAnswer, RecallCall};
use std::rc::Rc;

/// Claims that are tried for one request: each further one takes over a claim that was released meanwhile.
const MOST_CLAIMS: usize = 3;

/// What a try does next.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimStep {
    /// Have the leader grant this claim; [`ClaimAttempt::claimed`] is to be told of the answer.
    Claim(ClaimCall),
    /// Ask the holder of a claim; [`ClaimAttempt::recalled`] is to be told of the answer.
    Recall(RecallCall),
    /// The try is over: it runs nothing.
    Refused(ClaimRefusal),
}

/// Why a try runs nothing.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimRefusal {
    /// The operation ran: this is the first run's answer.
    Answered(Rc<StoredAnswer>),
    /// Another try is being claimed, or at a server.
    InProgress,
    /// It may have run, and there is no answer.
    InDoubt,
    /// The key was used for another request.
    OtherRequest,
    /// As many operations as fit are remembered.
    TableFull,
    /// The leader did not answer in time.
    LeaderTimeout,
    /// Each claim that was made met another one.
    TooManyConflicts,
}

/// One try's way to a claim.
#[derive(Debug, Clone)]
pub struct ClaimAttempt {
    operation: OperationId,
    request: u64,
    claims_left: usize,
    /// The claim that was last made.
    number: u64,
    /// The claim of another process that was said to be released.
    taken_over: Option<Claimant>,
}

impl ClaimAttempt {
    /// Of a request, named by its digest, under a key.
    pub fn new(operation: OperationId, request: u64) -> ClaimAttempt {
        ClaimAttempt { operation, request, claims_left: MOST_CLAIMS, number: 0, taken_over: None }
    }

    /// What is to be done first, again while another try is at work, and after each claim that was found to be released.
    pub fn begin(&mut self, now: f64, table: &mut OperationTable) -> ClaimStep {
        if self.claims_left == 0 {
            return ClaimStep::Refused(ClaimRefusal::TooManyConflicts);
        }
        ClaimStep::Refused(match table.begin(now, self.operation, self.request) {
            BeginResult::Claim { claimant, released } => {
                self.claims_left -= 1;
                self.number = claimant.number;
                let released = self.taken_over.or(released);
                return ClaimStep::Claim(ClaimCall { operation: self.operation, claimant, released });
            }
            BeginResult::Answered(answer) => ClaimRefusal::Answered(answer),
            BeginResult::InProgress => ClaimRefusal::InProgress,
            BeginResult::InDoubt => ClaimRefusal::InDoubt,
            BeginResult::OtherRequest => ClaimRefusal::OtherRequest,
            BeginResult::Full => ClaimRefusal::TableFull,
        })
    }

    /// The leader answered, or did not in time. `None`: the claim is granted, and the operation may be sent to a server; else
    /// it is released.
    pub fn on_claim_answer(
        &mut self,
        now: f64,
        table: &mut OperationTable,
        answer: Option<ClaimAnswer>,
    ) -> Option<ClaimStep> {
        if answer == Some(ClaimAnswer::Granted) {
            return None;
        }
        table.release(now, self.operation, self.number);
        Some(match answer {
            Some(ClaimAnswer::Held(holder)) => self.ask(now, table, holder),
            Some(ClaimAnswer::Full) => ClaimStep::Refused(ClaimRefusal::TableFull),
            Some(ClaimAnswer::Granted) | None => ClaimStep::Refused(ClaimRefusal::LeaderTimeout),
        })
    }

    fn ask(&mut self, now: f64, table: &mut OperationTable, holder: Claimant) -> ClaimStep {
        let call = RecallCall { operation: self.operation, claimant: holder, request_digest: self.request };
        if !table.is_own_claim(&holder) {
            return ClaimStep::Recall(call);
        }
        let answer = table.lookup(&call);
        self.on_recall_answer(now, table, holder, Some(answer))
    }

    /// The holder of a claim answered, or did not in time.
    pub fn on_recall_answer(
        &mut self,
        now: f64,
        table: &mut OperationTable,
        holder: Claimant,
        answer: Option<RecallAnswer>,
    ) -> ClaimStep {
        ClaimStep::Refused(match answer {
            Some(RecallAnswer::Released) => {
                self.taken_over = Some(holder);
                return self.begin(now, table);
            }
            Some(RecallAnswer::InProgress) => ClaimRefusal::InProgress,
            Some(RecallAnswer::OtherRequest) => ClaimRefusal::OtherRequest,
            Some(RecallAnswer::Answered(answer)) => {
                table.record_repeat();
                StoredAnswer::from_message(&answer)
                    .map_or(ClaimRefusal::InDoubt, |answer| ClaimRefusal::Answered(Rc::new(answer)))
            }
            Some(RecallAnswer::InDoubt) | None => ClaimRefusal::InDoubt,
        })
    }
}
