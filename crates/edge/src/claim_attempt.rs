//! How one try of a keyed operation gets its claim, or what it is told instead, without I/O: its driver makes the calls that
//! a [`Step`] names and hands over their answers.

use crate::operations::{Answer, Begun, Operations};
use nickeljunction_messages::{ClaimAnswer, ClaimCall, Claimant, OperationId, RecallAnswer, RecallCall};
use std::rc::Rc;

/// Claims that are tried for one request: each further one takes over a claim that was released meanwhile.
const MOST_CLAIMS: usize = 3;

/// What a try does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Have the leader grant this claim; [`Claiming::claimed`] is to be told of the answer.
    Claim(ClaimCall),
    /// Ask the holder of a claim; [`Claiming::recalled`] is to be told of the answer.
    Recall(RecallCall),
    /// The try is over: it runs nothing.
    Refused(Refusal),
}

/// Why a try runs nothing.
#[derive(Debug, Clone, PartialEq)]
pub enum Refusal {
    /// The operation ran: this is the first run's answer.
    Answered(Rc<Answer>),
    /// Another try is being claimed, or at a server.
    AtWork,
    /// It may have run, and there is no answer.
    InDoubt,
    /// The key was used for another request.
    OtherRequest,
    /// As many operations as fit are remembered.
    Full,
    /// The leader did not answer in time.
    Unanswered,
    /// Each claim that was made met another one.
    Overtaken,
}

/// One try's way to a claim.
#[derive(Debug, Clone)]
pub struct Claiming {
    operation: OperationId,
    request: u64,
    claims_left: usize,
    /// The claim that was last made.
    number: u64,
    /// The claim of another process that was said to be released.
    taken_over: Option<Claimant>,
}

impl Claiming {
    /// Of a request, named by its digest, under a key.
    pub fn new(operation: OperationId, request: u64) -> Claiming {
        Claiming { operation, request, claims_left: MOST_CLAIMS, number: 0, taken_over: None }
    }

    /// What is to be done first, again while another try is at work, and after each claim that was found to be released.
    pub fn begin(&mut self, now: f64, table: &mut Operations) -> Step {
        if self.claims_left == 0 {
            return Step::Refused(Refusal::Overtaken);
        }
        Step::Refused(match table.begin(now, self.operation, self.request) {
            Begun::Claim { claimant, released } => {
                self.claims_left -= 1;
                self.number = claimant.number;
                let released = self.taken_over.or(released);
                return Step::Claim(ClaimCall { operation: self.operation, claimant, released });
            }
            Begun::Answered(answer) => Refusal::Answered(answer),
            Begun::AtWork => Refusal::AtWork,
            Begun::InDoubt => Refusal::InDoubt,
            Begun::OtherRequest => Refusal::OtherRequest,
            Begun::Full => Refusal::Full,
        })
    }

    /// The leader answered, or did not in time. `None`: the claim is granted, and the operation may be sent to a server; else
    /// it is released.
    pub fn claimed(&mut self, now: f64, table: &mut Operations, answer: Option<ClaimAnswer>) -> Option<Step> {
        if answer == Some(ClaimAnswer::Granted) {
            return None;
        }
        table.release(now, self.operation, self.number);
        Some(match answer {
            Some(ClaimAnswer::Held(holder)) => self.ask(now, table, holder),
            Some(ClaimAnswer::Full) => Step::Refused(Refusal::Full),
            Some(ClaimAnswer::Granted) | None => Step::Refused(Refusal::Unanswered),
        })
    }

    fn ask(&mut self, now: f64, table: &mut Operations, holder: Claimant) -> Step {
        let call = RecallCall { operation: self.operation, claimant: holder, request_digest: self.request };
        if !table.own(&holder) {
            return Step::Recall(call);
        }
        let answer = table.look(&call);
        self.recalled(now, table, holder, Some(answer))
    }

    /// The holder of a claim answered, or did not in time.
    pub fn recalled(
        &mut self,
        now: f64,
        table: &mut Operations,
        holder: Claimant,
        answer: Option<RecallAnswer>,
    ) -> Step {
        Step::Refused(match answer {
            Some(RecallAnswer::Released) => {
                self.taken_over = Some(holder);
                return self.begin(now, table);
            }
            Some(RecallAnswer::InProgress) => Refusal::AtWork,
            Some(RecallAnswer::OtherRequest) => Refusal::OtherRequest,
            Some(RecallAnswer::Answered(answer)) => {
                table.repeated();
                Answer::from_message(&answer)
                    .map_or(Refusal::InDoubt, |answer| Refusal::Answered(Rc::new(answer)))
            }
            Some(RecallAnswer::InDoubt) | None => Refusal::InDoubt,
        })
    }
}
