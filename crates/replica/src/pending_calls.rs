//! Calls that wait for the agreement: reads, changes, zones, trials, and gateways' processes that are new.

use crate::change::{Change, Fit};
use crate::effects::{Answer, Event, Ticket};
use crate::membership::MembershipRequest;
use crate::replica::Replica;
use crate::state::{Entry, Outcome};
use nickeljunction_consensus::RequestError;
use nickeljunction_messages::UnitsCall;
use nickeljunction_operations::Batch;
use nickeljunction_quota::ProcessListChange;

/// A call that isn't settled by then is answered as open, ms: operators move on after a second of silence, and repeat it
/// unchanged elsewhere.
const ANSWER_MS: u64 = 900;
/// An entry of the leader's own that is not on a majority's disks by then is proposed anew, ms.
const OWN_MS: u64 = 2_500;
/// A read that no majority confirms by then is given up, ms.
const READ_MS: u64 = 800;
/// Operators wait longer where they sent much: a ms for so many bytes.
const BYTES_A_MS: usize = 1_024;
/// How long a gateway's counted add waits for the log, ms: below its own time-out.
const ENROLL_MS: u64 = 250;

/// A call that waits for a majority to confirm it.
#[derive(Debug)]
pub(crate) struct Confirming {
    /// Last moment for that, ms.
    pub confirm_by: u64,
    /// Last moment for its answer, ms.
    pub answer_by: u64,
    pub reading: Reading,
}

/// A call that a majority is to confirm.
#[derive(Debug)]
pub(crate) enum Reading {
    Get(Ticket),
    Change(Ticket, Change),
    Core(Ticket, MembershipRequest),
    /// Whose trial is to lapse, or else to be restored.
    Trial(Ticket, String, bool),
}

/// A call whose entry is on its way.
#[derive(Debug)]
pub(crate) enum Proposed {
    /// The counter's own wish.
    Forget,
    /// The leader's own: departures of servers.
    Departures,
    /// Claims of keyed operations.
    Claims(Batch),
    /// The leader's own: generations of keyed operations.
    Generations,
    /// Counted adds of a gateway's process that is new.
    Lend(Ticket, UnitsCall),
    /// A configuration on a base, with its version.
    Put { ticket: Ticket, patch: bool, base: u64, version: u64 },
    /// An order on the core's members.
    Core { ticket: Ticket, wish: MembershipRequest },
    /// A zone is evacuated, or taken back.
    Zone { ticket: Ticket, zone: String, back: bool },
    /// An order on a tenant's trial.
    Trial { ticket: Ticket, tenant: String, lapse: bool, answer_by: u64 },
    /// The leader's own: the next stage of a trial, on a step.
    Stage { tenant: String, base: u64 },
}

/// A call that can go on.
#[derive(Debug)]
pub(crate) enum Settled {
    /// A majority has confirmed the lead: last moment for the answer, ms. `None`: none has.
    Read(Reading, Option<u64>),
    /// What the entry came to; `None`: not known to be taken.
    Entry(Proposed, Option<Outcome>),
}

impl Replica {
    pub(crate) fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// An operator reads: [`Answer::Confirmed`] once a majority has confirmed this member's lead after now.
    pub fn read(&mut self, now: u64) -> Ticket {
        let ticket = self.ticket();
        self.confirm(now, now + ANSWER_MS, Reading::Get(ticket));
        ticket
    }

    /// An operator changes the configuration.
    pub fn change_config(&mut self, now: u64, change: Change) -> Ticket {
        let ticket = self.ticket();
        // A member that doesn't lead sends it on before it reads: the leader looks.
        let answer_by = now + ANSWER_MS + (change.body.len() / BYTES_A_MS) as u64;
        self.confirm(now, answer_by, Reading::Change(ticket, change));
        ticket
    }

    /// An operator orders who is to be a member of the core: [`Answer::Accepted`] once it is on the log, or where it is so
    /// already. [`Replica::core_view`] tells how far it is.
    pub fn change_membership(&mut self, now: u64, wish: MembershipRequest) -> Ticket {
        let ticket = self.ticket();
        self.confirm(now, now + ANSWER_MS, Reading::Core(ticket, wish));
        ticket
    }

    /// An operator evacuates a zone, or takes it `back`.
    pub fn change_evacuation(&mut self, now: u64, zone: String, back: bool) -> Ticket {
        let ticket = self.ticket();
        let entry = if back { Entry::Return(zone.clone()) } else { Entry::Evacuate(zone.clone()) };
        self.propose(now, &entry, now + ANSWER_MS, Proposed::Zone { ticket, zone, back });
        self.turn(now, |_| ());
        ticket
    }

    /// An operator has a tenant's trial lapse, or else restores it: [`Answer::Accepted`] once that is its direction.
    pub fn change_trial(&mut self, now: u64, tenant: String, lapse: bool) -> Ticket {
        let ticket = self.ticket();
        self.confirm(now, now + ANSWER_MS, Reading::Trial(ticket, tenant, lapse));
        ticket
    }

    /// Nobody waits for this answer any more: what was not begun for it is not done.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.claims.cancel(ticket);
        self.reads.retain(|_, confirming| match &confirming.reading {
            Reading::Get(of) | Reading::Change(of, _) | Reading::Core(of, _) | Reading::Trial(of, ..) => {
                *of != ticket
            }
        });
        self.waits.retain(|_, (.., proposed)| match proposed {
            Proposed::Forget
            | Proposed::Departures
            | Proposed::Claims(_)
            | Proposed::Generations
            | Proposed::Stage { .. } => true,
            Proposed::Lend(of, _)
            | Proposed::Put { ticket: of, .. }
            | Proposed::Core { ticket: of, .. }
            | Proposed::Trial { ticket: of, .. }
            | Proposed::Zone { ticket: of, .. } => *of != ticket,
        });
    }

    fn confirm(&mut self, now: u64, answer_by: u64, reading: Reading) {
        match self.book.read(now) {
            Ok(ticket) => {
                let confirming = Confirming { confirm_by: now + READ_MS, answer_by, reading };
                self.reads.insert(ticket, confirming);
            }
            Err(_) => self.settled.push(Settled::Read(reading, None)),
        }
        self.turn(now, |_| ());
    }

    /// Puts an entry on the log, if that takes it; to be followed by a turn.
    pub(crate) fn propose(&mut self, now: u64, entry: &Entry, until: u64, proposed: Proposed) {
        let index = match serde_json::to_string(entry) {
            Ok(data) => self.book.propose(now, data),
            Err(_) => Err(RequestError::NotLeader(None)),
        };
        match index {
            Ok(index) => {
                let term = self.book.term();
                self.waits.insert(index, (term, until, proposed));
            }
            Err(error) => {
                if !matches!(error, RequestError::NotLeader(_)) {
                    self.out.events.push(Event::ProposalRefused { error: error.to_string() });
                }
                self.settled.push(Settled::Entry(proposed, None));
            }
        }
    }

    /// The leader's own entry on a trial.
    pub(crate) fn propose_own(&mut self, now: u64, entry: &Entry, proposed: Proposed) {
        self.propose(now, entry, now + OWN_MS, proposed);
    }

    /// Has a trial's order put on the log, where that is needed; else its answer.
    fn order_trial(
        &mut self,
        now: u64,
        answer_by: u64,
        ticket: Ticket,
        tenant: String,
        lapse: bool,
    ) -> Option<Answer> {
        match self.trial_entry(&tenant, lapse) {
            Ok(Some(entry)) => {
                let proposed = Proposed::Trial { ticket, tenant, lapse, answer_by };
                self.propose(now, &entry, answer_by, proposed);
                None
            }
            Ok(None) => Some(Answer::Accepted),
            Err(wants) => Some(Answer::NotFound(wants)),
        }
    }

    fn enroll(&mut self, now: u64, roll: ProcessListChange, until: u64, proposed: Proposed) {
        let ProcessListChange { added, removed } = roll;
        let names = added.values().cloned().collect();
        self.out.events.push(Event::GatewaysEnrolled { added: names, removed: removed.len() });
        self.propose(now, &Entry::Gateways { added, removed }, until, proposed);
        self.turn(now, |_| ());
    }

    /// Puts a gateway's process on the log before anything is lent to it.
    pub(crate) fn enroll_first(&mut self, now: u64, roll: ProcessListChange, call: UnitsCall) -> Ticket {
        let ticket = self.ticket();
        self.enroll(now, roll, now + ENROLL_MS, Proposed::Lend(ticket, call));
        ticket
    }

    /// Takes processes off the log that have nothing in force.
    pub(crate) fn forget(&mut self, now: u64, roll: ProcessListChange) {
        self.enroll(now, roll, u64::MAX, Proposed::Forget);
    }

    /// Goes on with a call.
    pub(crate) fn go_on(&mut self, now: u64, settled: Settled) {
        let (ticket, answer) = match settled {
            Settled::Read(Reading::Get(ticket), Some(_)) => (ticket, Answer::Confirmed),
            Settled::Read(Reading::Change(ticket, change), Some(by)) => match change.check(&self.state) {
                Ok(Fit { base, version, entry, checked }) => {
                    self.checked = Some(checked);
                    let proposed = Proposed::Put { ticket, patch: change.patch, base, version };
                    return self.propose(now, &entry, by, proposed);
                }
                Err(answer) => (ticket, answer),
            },
            Settled::Read(Reading::Core(ticket, wish), Some(by)) => match self.core_entry(now, &wish) {
                Ok(Some(entry)) => {
                    return self.propose(now, &entry, by, Proposed::Core { ticket, wish });
                }
                Ok(None) => (ticket, Answer::Accepted),
                Err(unfit) => (ticket, Answer::MembershipRefused(unfit)),
            },
            Settled::Read(Reading::Trial(ticket, tenant, lapse), Some(by)) => {
                match self.order_trial(now, by, ticket, tenant, lapse) {
                    Some(answer) => (ticket, answer),
                    None => return,
                }
            }
            Settled::Read(
                Reading::Get(ticket)
                | Reading::Change(ticket, _)
                | Reading::Core(ticket, _)
                | Reading::Trial(ticket, ..),
                None,
            ) => (ticket, Answer::NotLeader(self.leader_redirect())),
            Settled::Entry(Proposed::Forget, _) => {
                if let Some(lead) = &mut self.lead {
                    lead.forgets = false;
                }
                return;
            }
            Settled::Entry(Proposed::Departures, outcome) => {
                return self.departures_settled(now, outcome.is_some())
            }
            Settled::Entry(Proposed::Claims(batch), outcome) => {
                return self.claims_settled(now, &batch, outcome.is_some())
            }
            Settled::Entry(Proposed::Generations, _) => return self.generations_settled(),
            Settled::Entry(Proposed::Lend(ticket, call), Some(_)) => {
                (ticket, self.lend_to_new(now, &call).map_or_else(Answer::NotLeader, Answer::Units))
            }
            Settled::Entry(Proposed::Put { ticket, patch, base, version }, outcome) => {
                self.out.events.push(Event::ConfigChange { patch, base, version, outcome });
                let answer = match outcome {
                    Some(Outcome::Taken) => Answer::Accepted,
                    Some(Outcome::Conflict) => Answer::Conflict(None),
                    Some(Outcome::Diverged) | None => Answer::Unknown,
                };
                (ticket, answer)
            }
            Settled::Entry(Proposed::Core { ticket, wish }, outcome) => {
                let answer = match outcome {
                    Some(Outcome::Taken) => Answer::Accepted,
                    // What came first may have been another copy of this very order.
                    Some(Outcome::Conflict) => match self.core_entry(now, &wish) {
                        Ok(None) => Answer::Accepted,
                        _ => Answer::Conflict(None),
                    },
                    Some(Outcome::Diverged) | None => Answer::Unknown,
                };
                self.out.events.push(Event::MembershipOrder { request: wish, outcome });
                (ticket, answer)
            }
            Settled::Entry(Proposed::Stage { tenant, base }, _) => {
                return self.stage_settled(now, &tenant, base)
            }
            Settled::Entry(Proposed::Trial { ticket, tenant, lapse, answer_by }, outcome) => match outcome {
                Some(Outcome::Taken) => (ticket, Answer::Accepted),
                // A stage came first, or another operator: made anew on top of it.
                Some(Outcome::Conflict) => match self.order_trial(now, answer_by, ticket, tenant, lapse) {
                    Some(answer) => (ticket, answer),
                    None => return,
                },
                Some(Outcome::Diverged) | None => (ticket, Answer::Unknown),
            },
            Settled::Entry(Proposed::Zone { ticket, zone, back }, Some(_)) => {
                self.out.events.push(Event::Evacuation { zone, ended: back });
                (ticket, Answer::Accepted)
            }
            // Also where this member only passes it on.
            Settled::Entry(Proposed::Lend(ticket, _) | Proposed::Zone { ticket, .. }, None) => {
                (ticket, Answer::NotLeader(self.leader_redirect()))
            }
        };
        self.out.answers.push((ticket, answer));
    }
}
