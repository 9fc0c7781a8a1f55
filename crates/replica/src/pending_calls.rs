//! Calls that wait for consensus: reads, changes of the configuration, of the membership, of evacuations and of trials,
//! and requests for units by new gateway processes.

use crate::change::{Change, ValidatedChange};
use crate::effects::{Answer, Event, Ticket};
use crate::membership::MembershipRequest;
use crate::replica::Replica;
use crate::state::{Entry, Outcome};
use nickeljunction_consensus::RequestError;
use nickeljunction_messages::UnitsCall;
use nickeljunction_operations::Batch;
use nickeljunction_quota::ProcessListChange;

/// After this time an operator's call is answered as undecided, ms: operators give up after a second without an answer and
/// repeat the call unchanged at another member.
const ANSWER_TIMEOUT_MS: u64 = 900;
/// An entry that the leader proposed by itself is proposed again if it is not committed within this time, ms.
const OWN_ENTRY_TIMEOUT_MS: u64 = 2_500;
/// A read that no majority confirms within this time fails, ms.
const READ_TIMEOUT_MS: u64 = 800;
/// Operators wait longer for large bodies: one ms more for this many bytes.
const BYTES_PER_EXTRA_MS: usize = 1_024;
/// How long a gateway's request for units waits for the log, ms: less than the gateway's own time-out.
const ENROLL_TIMEOUT_MS: u64 = 250;

/// A call that waits until a majority has confirmed this member as leader.
#[derive(Debug)]
pub(crate) struct PendingRead {
    /// Deadline of the confirmation, ms.
    pub confirm_by: u64,
    /// Deadline of the answer, ms.
    pub answer_by: u64,
    pub call: ReadCall,
}

/// A call that needs this member to be confirmed as leader before it is handled.
#[derive(Debug)]
pub(crate) enum ReadCall {
    Get(Ticket),
    Change(Ticket, Change),
    Membership(Ticket, MembershipRequest),
    /// The tenant, and whether its trial lapses or is restored.
    Trial(Ticket, String, bool),
}

/// The origin of a proposed entry that is not yet committed.
#[derive(Debug)]
pub(crate) enum Proposal {
    /// Proposed by the leader: gateway processes without units in force are removed.
    ForgetProcesses,
    /// Proposed by the leader: departures of servers.
    Departures,
    /// Claims of keyed operations.
    Claims(Batch),
    /// Proposed by the leader: generations of keyed operations are closed or forgotten.
    Generations,
    /// A new gateway process is registered, then its request for units is answered.
    Enroll(Ticket, UnitsCall),
    /// A configuration with this version, built on version `base`.
    ConfigChange {
        ticket: Ticket,
        patch: bool,
        base: u64,
        version: u64,
    },
    Membership {
        ticket: Ticket,
        request: MembershipRequest,
    },
    /// A zone's evacuation begins or ends.
    Evacuation {
        ticket: Ticket,
        zone: String,
        end: bool,
    },
    /// An operator's order on a tenant's trial.
    Trial {
        ticket: Ticket,
        tenant: String,
        lapse: bool,
        answer_by: u64,
    },
    /// Proposed by the leader: the next stage of a trial after step `base`.
    TrialStage {
        tenant: String,
        base: u64,
    },
}

/// A confirmed read or a decided entry, to be handled next.
#[derive(Debug)]
pub(crate) enum Resolved {
    /// The deadline of the answer, ms; `None`: no majority has confirmed this member as leader.
    Read(ReadCall, Option<u64>),
    /// The outcome of the entry; `None`: it is not known whether the entry is on the log.
    Entry(Proposal, Option<Outcome>),
}

impl Replica {
    pub(crate) fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// A linearizable read by an operator: [`Answer::Confirmed`] once a majority has confirmed, after `now`, that this
    /// member leads.
    pub fn read(&mut self, now: u64) -> Ticket {
        let ticket = self.new_ticket();
        self.await_confirmation(now, now + ANSWER_TIMEOUT_MS, ReadCall::Get(ticket));
        ticket
    }

    /// An operator changes the configuration: [`Answer::Accepted`] once the change is committed.
    pub fn change_config(&mut self, now: u64, change: Change) -> Ticket {
        let ticket = self.new_ticket();
        // The body is parsed only after the confirmation, so a member that doesn't lead redirects the call unparsed.
        let answer_by = now + ANSWER_TIMEOUT_MS + (change.body.len() / BYTES_PER_EXTRA_MS) as u64;
        self.await_confirmation(now, answer_by, ReadCall::Change(ticket, change));
        ticket
    }

    /// An operator requests a change of the core's membership: [`Answer::Accepted`] once the order is on the log, or at
    /// once if there is nothing to change. [`Replica::core_view`] shows how far it is carried out.
    pub fn change_membership(&mut self, now: u64, request: MembershipRequest) -> Ticket {
        let ticket = self.new_ticket();
        self.await_confirmation(now, now + ANSWER_TIMEOUT_MS, ReadCall::Membership(ticket, request));
        ticket
    }

    /// An operator begins or, with `end`, ends a zone's evacuation.
    pub fn change_evacuation(&mut self, now: u64, zone: String, end: bool) -> Ticket {
        let ticket = self.new_ticket();
        let entry = if end { Entry::Return(zone.clone()) } else { Entry::Evacuate(zone.clone()) };
        self.propose(now, &entry, now + ANSWER_TIMEOUT_MS, Proposal::Evacuation { ticket, zone, end });
        self.advance(now, |_| ());
        ticket
    }

    /// An operator lets a tenant's trial lapse, or restores it: [`Answer::Accepted`] once the trial goes in that direction.
    pub fn change_trial(&mut self, now: u64, tenant: String, lapse: bool) -> Ticket {
        let ticket = self.new_ticket();
        self.await_confirmation(now, now + ANSWER_TIMEOUT_MS, ReadCall::Trial(ticket, tenant, lapse));
        ticket
    }

    /// The caller no longer waits for this answer: work on the call that has not begun is dropped.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.claims.cancel(ticket);
        self.pending_reads.retain(|_, pending| match &pending.call {
            ReadCall::Get(own)
            | ReadCall::Change(own, _)
            | ReadCall::Membership(own, _)
            | ReadCall::Trial(own, ..) => *own != ticket,
        });
        self.proposals.retain(|_, (.., proposal)| match proposal {
            Proposal::ForgetProcesses
            | Proposal::Departures
            | Proposal::Claims(_)
            | Proposal::Generations
            | Proposal::TrialStage { .. } => true,
            Proposal::Enroll(own, _)
            | Proposal::ConfigChange { ticket: own, .. }
            | Proposal::Membership { ticket: own, .. }
            | Proposal::Trial { ticket: own, .. }
            | Proposal::Evacuation { ticket: own, .. } => *own != ticket,
        });
    }

    fn await_confirmation(&mut self, now: u64, answer_by: u64, call: ReadCall) {
        match self.consensus.read(now) {
            Ok(ticket) => {
                let pending = PendingRead { confirm_by: now + READ_TIMEOUT_MS, answer_by, call };
                self.pending_reads.insert(ticket, pending);
            }
            Err(_) => self.resolved.push(Resolved::Read(call, None)),
        }
        self.advance(now, |_| ());
    }

    /// Proposes an entry. The caller has to call [`Replica::advance`] afterwards.
    pub(crate) fn propose(&mut self, now: u64, entry: &Entry, deadline: u64, proposal: Proposal) {
        let index = match serde_json::to_string(entry) {
            Ok(data) => self.consensus.propose(now, data),
            Err(_) => Err(RequestError::NotLeader(None)),
        };
        match index {
            Ok(index) => {
                let term = self.consensus.term();
                self.proposals.insert(index, (term, deadline, proposal));
            }
            Err(error) => {
                if !matches!(error, RequestError::NotLeader(_)) {
                    self.effects.events.push(Event::ProposalRefused { error: error.to_string() });
                }
                self.resolved.push(Resolved::Entry(proposal, None));
            }
        }
    }

    /// Proposes an entry on the leader's own behalf.
    pub(crate) fn propose_own(&mut self, now: u64, entry: &Entry, proposal: Proposal) {
        self.propose(now, entry, now + OWN_ENTRY_TIMEOUT_MS, proposal);
    }

    /// Proposes the entry for an order on a trial, or returns the answer if no entry is needed.
    fn propose_trial_order(
        &mut self,
        now: u64,
        answer_by: u64,
        ticket: Ticket,
        tenant: String,
        lapse: bool,
    ) -> Option<Answer> {
        match self.trial_entry(&tenant, lapse) {
            Ok(Some(entry)) => {
                let proposal = Proposal::Trial { ticket, tenant, lapse, answer_by };
                self.propose(now, &entry, answer_by, proposal);
                None
            }
            Ok(None) => Some(Answer::Accepted),
            Err(wants) => Some(Answer::NotFound(wants)),
        }
    }

    fn enroll(&mut self, now: u64, change: ProcessListChange, deadline: u64, proposal: Proposal) {
        let ProcessListChange { added, removed } = change;
        let names = added.values().cloned().collect();
        self.effects.events.push(Event::GatewaysEnrolled { added: names, removed: removed.len() });
        self.propose(now, &Entry::Gateways { added, removed }, deadline, proposal);
        self.advance(now, |_| ());
    }

    /// Puts a new gateway process on the log before it is granted any units.
    pub(crate) fn enroll_before_lending(
        &mut self,
        now: u64,
        change: ProcessListChange,
        call: UnitsCall,
    ) -> Ticket {
        let ticket = self.new_ticket();
        self.enroll(now, change, now + ENROLL_TIMEOUT_MS, Proposal::Enroll(ticket, call));
        ticket
    }

    /// Removes gateway processes without units in force from the log.
    pub(crate) fn forget_processes(&mut self, now: u64, change: ProcessListChange) {
        self.enroll(now, change, u64::MAX, Proposal::ForgetProcesses);
    }

    /// Continues a call after its confirmation or after the decision on its entry.
    pub(crate) fn handle_resolved(&mut self, now: u64, resolved: Resolved) {
        let (ticket, answer) = match resolved {
            Resolved::Read(ReadCall::Get(ticket), Some(_)) => (ticket, Answer::Confirmed),
            Resolved::Read(ReadCall::Change(ticket, change), Some(answer_by)) => {
                match change.validate(&self.state) {
                    Ok(ValidatedChange { base, version, entry, checked }) => {
                        self.checked = Some(checked);
                        let proposal = Proposal::ConfigChange { ticket, patch: change.patch, base, version };
                        return self.propose(now, &entry, answer_by, proposal);
                    }
                    Err(answer) => (ticket, answer),
                }
            }
            Resolved::Read(ReadCall::Membership(ticket, request), Some(answer_by)) => match self
                .membership_entry(now, &request)
            {
                Ok(Some(entry)) => {
                    return self.propose(now, &entry, answer_by, Proposal::Membership { ticket, request });
                }
                Ok(None) => (ticket, Answer::Accepted),
                Err(error) => (ticket, Answer::MembershipRefused(error)),
            },
            Resolved::Read(ReadCall::Trial(ticket, tenant, lapse), Some(answer_by)) => {
                match self.propose_trial_order(now, answer_by, ticket, tenant, lapse) {
                    Some(answer) => (ticket, answer),
                    None => return,
                }
            }
            Resolved::Read(
                ReadCall::Get(ticket)
                | ReadCall::Change(ticket, _)
                | ReadCall::Membership(ticket, _)
                | ReadCall::Trial(ticket, ..),
                None,
            ) => (ticket, Answer::NotLeader(self.leader_redirect())),
            Resolved::Entry(Proposal::ForgetProcesses, _) => {
                if let Some(lead) = &mut self.lead {
                    lead.forget_in_flight = false;
                }
                return;
            }
            Resolved::Entry(Proposal::Departures, outcome) => {
                return self.departures_settled(now, outcome.is_some())
            }
            Resolved::Entry(Proposal::Claims(batch), outcome) => {
                return self.claims_settled(now, &batch, outcome.is_some())
            }
            Resolved::Entry(Proposal::Generations, _) => return self.generations_settled(),
            Resolved::Entry(Proposal::Enroll(ticket, call), Some(_)) => {
                (ticket, self.lend_to_new(now, &call).map_or_else(Answer::NotLeader, Answer::Units))
            }
            Resolved::Entry(Proposal::ConfigChange { ticket, patch, base, version }, outcome) => {
                self.effects.events.push(Event::ConfigChange { patch, base, version, outcome });
                let answer = match outcome {
                    Some(Outcome::Taken) => Answer::Accepted,
                    Some(Outcome::Conflict) => Answer::Conflict(None),
                    Some(Outcome::Diverged) | None => Answer::Unknown,
                };
                (ticket, answer)
            }
            Resolved::Entry(Proposal::Membership { ticket, request }, outcome) => {
                let answer = match outcome {
                    Some(Outcome::Taken) => Answer::Accepted,
                    // The entry that was applied first may be a repeat of this same request.
                    Some(Outcome::Conflict) => match self.membership_entry(now, &request) {
                        Ok(None) => Answer::Accepted,
                        _ => Answer::Conflict(None),
                    },
                    Some(Outcome::Diverged) | None => Answer::Unknown,
                };
                self.effects.events.push(Event::MembershipOrder { request, outcome });
                (ticket, answer)
            }
            Resolved::Entry(Proposal::TrialStage { tenant, base }, _) => {
                return self.stage_settled(now, &tenant, base)
            }
            Resolved::Entry(Proposal::Trial { ticket, tenant, lapse, answer_by }, outcome) => match outcome {
                Some(Outcome::Taken) => (ticket, Answer::Accepted),
                // A stage or another operator's order was applied first: the order is made again on top of it.
                Some(Outcome::Conflict) => {
                    match self.propose_trial_order(now, answer_by, ticket, tenant, lapse) {
                        Some(answer) => (ticket, answer),
                        None => return,
                    }
                }
                Some(Outcome::Diverged) | None => (ticket, Answer::Unknown),
            },
            Resolved::Entry(Proposal::Evacuation { ticket, zone, end }, Some(_)) => {
                self.effects.events.push(Event::Evacuation { zone, ended: end });
                (ticket, Answer::Accepted)
            }
            // This is also the answer of a member that doesn't lead.
            Resolved::Entry(Proposal::Enroll(ticket, _) | Proposal::Evacuation { ticket, .. }, None) => {
                (ticket, Answer::NotLeader(self.leader_redirect()))
            }
        };
        self.effects.answers.push((ticket, answer));
    }
}
