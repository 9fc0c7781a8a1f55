//! How one request of a keyed operation gets its claim, or what it is answered instead, without I/O: the caller performs
//! the calls that a [`ClaimStep`] names and passes their answers back.

use crate::operations::{BeginResult, OperationTable, StoredAnswer};
use nickeljunction_messages::{ClaimAnswer, ClaimCall, Claimant, OperationId, RecallAnswer, RecallCall};
use std::rc::Rc;

/// Claims that are tried for one request: each further one replaces a claim that was released in the meantime.
const MAX_CLAIMS: usize = 3;

/// What the caller does next.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimStep {
    /// Request this claim from the leader and pass the answer to [`ClaimAttempt::on_claim_answer`].
    Claim(ClaimCall),
    /// Query the holder of a claim and pass the answer to [`ClaimAttempt::on_recall_answer`].
    Recall(RecallCall),
    /// The request gets no claim, and its operation is not run.
    Refused(ClaimRefusal),
}

/// Why a request's operation is not run.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimRefusal {
    /// The operation has run: this is the answer of the first run.
    Answered(Rc<StoredAnswer>),
    /// Another request of the operation is being claimed or is at a server.
    InProgress,
    /// The operation may have run, and there is no answer.
    InDoubt,
    /// The key was used for a different request.
    OtherRequest,
    /// The table of operations is full.
    TableFull,
    /// The leader did not answer in time.
    LeaderTimeout,
    /// Each claim that was requested conflicted with another one.
    TooManyConflicts,
}

/// The state of one request on its way to a claim.
#[derive(Debug, Clone)]
pub struct ClaimAttempt {
    operation: OperationId,
    request_digest: u64,
    claims_left: usize,
    /// Number of the claim that was requested last.
    number: u64,
    /// The claim of another process that was reported as released, which the next claim replaces.
    replaced: Option<Claimant>,
}

impl ClaimAttempt {
    /// An attempt for the request with this digest, under the key of `operation`.
    pub fn new(operation: OperationId, request_digest: u64) -> ClaimAttempt {
        ClaimAttempt { operation, request_digest, claims_left: MAX_CLAIMS, number: 0, replaced: None }
    }

    /// The first step. It is also the next step after a claim was found to be released, and the caller repeats it while
    /// another request of the operation is in progress.
    pub fn begin(&mut self, now: f64, table: &mut OperationTable) -> ClaimStep {
        if self.claims_left == 0 {
            return ClaimStep::Refused(ClaimRefusal::TooManyConflicts);
        }
        ClaimStep::Refused(match table.begin(now, self.operation, self.request_digest) {
            BeginResult::Claim { claimant, released } => {
                self.claims_left -= 1;
                self.number = claimant.number;
                let released = self.replaced.or(released);
                return ClaimStep::Claim(ClaimCall { operation: self.operation, claimant, released });
            }
            BeginResult::Answered(answer) => ClaimRefusal::Answered(answer),
            BeginResult::InProgress => ClaimRefusal::InProgress,
            BeginResult::InDoubt => ClaimRefusal::InDoubt,
            BeginResult::OtherRequest => ClaimRefusal::OtherRequest,
            BeginResult::Full => ClaimRefusal::TableFull,
        })
    }

    /// Handles the leader's answer; `answer` is `None` after a time-out. `None`: the claim is granted, and the operation
    /// may be sent to a server. Otherwise the claim is released.
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
            Some(ClaimAnswer::Held(holder)) => self.query_holder(now, table, holder),
            Some(ClaimAnswer::Full) => ClaimStep::Refused(ClaimRefusal::TableFull),
            Some(ClaimAnswer::Granted) | None => ClaimStep::Refused(ClaimRefusal::LeaderTimeout),
        })
    }

    fn query_holder(&mut self, now: f64, table: &mut OperationTable, holder: Claimant) -> ClaimStep {
        let call =
            RecallCall { operation: self.operation, claimant: holder, request_digest: self.request_digest };
        if !table.is_own_claim(&holder) {
            return ClaimStep::Recall(call);
        }
        let answer = table.lookup(&call);
        self.on_recall_answer(now, table, holder, Some(answer))
    }

    /// Handles the answer of the holder of a claim; `answer` is `None` after a time-out.
    pub fn on_recall_answer(
        &mut self,
        now: f64,
        table: &mut OperationTable,
        holder: Claimant,
        answer: Option<RecallAnswer>,
    ) -> ClaimStep {
        ClaimStep::Refused(match answer {
            Some(RecallAnswer::Released) => {
                self.replaced = Some(holder);
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
