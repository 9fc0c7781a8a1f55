//! Effects of the state machine, for its driver to carry out.

use crate::membership::{MembershipError, MembershipRequest};
use crate::state::{Outcome, Trial};
use nickeljunction_consensus::{Entry, Envelope, Write};
use nickeljunction_messages::{ClaimAnswer, LeaderRedirect, ServerState, UnitsAnswer};
use nickeljunction_registry::WatchCache;

/// Identifies a call that waits for its answer.
pub type Ticket = u64;

/// What the driver has to do. The crate's documentation gives the order.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages by destination host. The protocol tolerates their loss.
    pub send: Vec<(String, Envelope)>,
    /// To be written and synced one after the other.
    pub writes: Vec<Write>,
    /// Answers to waiting callers.
    pub answers: Vec<(Ticket, Answer)>,
    /// Held watch calls and pending acknowledgements have to be checked again.
    pub changed: bool,
    /// [`crate::Replica::next_wake`] may be earlier than before.
    pub wake_changed: bool,
    /// To be saved on this machine for its next process; needs no sync.
    pub watch_cache_to_save: Option<WatchCache>,
    /// In the order in which they occurred.
    pub events: Vec<Event>,
    /// Entries that were applied, in the log's order; for checks of the state machine.
    pub applied: Vec<Entry>,
}

/// The answer to a call that waited for consensus.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// To a read: a majority has confirmed this member as leader since the call, so [`crate::Replica::state`] is current.
    Confirmed,
    /// To a request for units.
    Units(UnitsAnswer),
    /// To a claim of a keyed operation.
    Claim(ClaimAnswer),
    /// It is in force, and on a majority's disks.
    Accepted,
    /// The change builds on a version that is not in force. `Some`: this version is; `None`: another change was applied
    /// first.
    Conflict(Option<u64>),
    /// The change of the core's membership is refused in the current state.
    MembershipRefused(MembershipError),
    /// The call is invalid; the text says what is expected.
    Invalid(String),
    /// The call names something that does not exist; the text says what is expected.
    NotFound(String),
    /// It is not known whether the call will be accepted: the caller has to repeat it unchanged.
    Unknown,
    /// It is no longer known whether the change was accepted: its version is as old as the changes that are no longer
    /// remembered.
    Forgotten(u64),
    /// This member doesn't lead, or can't be sure that it still does.
    NotLeader(LeaderRedirect),
}

/// What is logged for operators.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)] // The names of the fields are clear by themselves.
pub enum Event {
    /// This member leads from now on, with this many known servers and gateways and this version of the configuration.
    /// `logged_gateways`: gateway processes on the log; `held_ms`: longest time for which the counter
    /// withholds units that an earlier leader may have lent to them.
    LeadBegun { term: u64, version: u64, servers: usize, gateways: u32, logged_gateways: usize, held_ms: u64 },
    /// This member no longer leads.
    LeadEnded { term: u64 },
    /// A server's heartbeats are missing.
    ServerSilent { id: String },
    /// A server registered, or its heartbeat differs from the one before.
    ServerChanged { id: String, backend: String, zone: String, state: ServerState, warmup_left_ms: u64 },
    /// A server reported that it has ended.
    ServerGone { id: String },
    /// A gateway closed its last watch call.
    GatewayDisconnected { name: String },
    /// A change of the list of gateway processes was proposed: names of the added ones, count of the removed ones.
    GatewaysEnrolled { added: Vec<String>, removed: usize },
    /// An operator's change of the configuration was decided; `None`: it was not decided in time.
    ConfigChange { patch: bool, base: u64, version: u64, outcome: Option<Outcome> },
    /// An operator's change of the membership was decided; `None`: it was not decided in time.
    MembershipOrder { request: MembershipRequest, outcome: Option<Outcome> },
    /// A zone's evacuation began or ended.
    Evacuation { zone: String, ended: bool },
    /// A tenant's trial changed to this state.
    Trial { tenant: String, trial: Trial },
    /// The log accepts no further entries at the moment.
    ProposalRefused { error: String },
    /// A snapshot can't be parsed although its checksum on the disk is right.
    SnapshotUnreadable { index: u64, error: String },
    /// An entry can't be parsed although its checksum on the disk is right.
    EntryUnreadable { index: u64, error: String },
    /// An entry produced another document here than at its proposer: this member's state no longer matches the log.
    Diverged { index: u64, version: u64 },
    /// This member continues from the leader's state, which includes all entries up to this index.
    StateTransferred { last_index: u64 },
}
