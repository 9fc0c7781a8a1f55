//! What comes out of the machine.

use crate::membership::{MembershipError, MembershipRequest};
use crate::state::{Outcome, Trial};
use nickeljunction_consensus::{Entry, Envelope, Write};
use nickeljunction_messages::{ClaimAnswer, LeaderRedirect, ServerState, UnitsAnswer};
use nickeljunction_registry::WatchCache;

/// Names a call that waits for its answer.
pub type Ticket = u64;

/// What is to be done, in the order that the crate's page names.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages, each to a host; one that gets lost harms nothing.
    pub send: Vec<(String, Envelope)>,
    /// To be written and synced, one after the other.
    pub writes: Vec<Write>,
    /// To callers that wait.
    pub answers: Vec<(Ticket, Answer)>,
    /// Held watch calls and rounds are to look again.
    pub changed: bool,
    /// [`crate::Replica::next_wake`] may have come nearer.
    pub wake_changed: bool,
    /// To be kept on the machine for a next process, without a sync.
    pub watch_cache_to_save: Option<WatchCache>,
    /// In the order in which they came.
    pub events: Vec<Event>,
    /// Entries that were applied, in the log's order: for who checks what the machine does.
    pub applied: Vec<Entry>,
}

/// The answer to a call that waited for the agreement.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// To a read: a majority has confirmed the lead since it came, and [`crate::Replica::state`] may be told.
    Confirmed,
    /// To counted adds.
    Units(UnitsAnswer),
    /// To a claim of a keyed operation.
    Claim(ClaimAnswer),
    /// In force, and on a majority's disks.
    Accepted,
    /// What the change builds on is not in force: this version is, or another change came first on the log.
    Conflict(Option<u64>),
    /// An order on the core's members can't be carried out as things are.
    MembershipRefused(MembershipError),
    /// It can't be taken; what is wanted.
    Invalid(String),
    /// What it names isn't there; what is wanted.
    NotFound(String),
    /// Whether it will be taken is not known: it is to be repeated unchanged.
    Unknown,
    /// Whether it was taken is not known any more: this version is as old as what was forgotten.
    Forgotten(u64),
    /// This member doesn't lead, or is not sure of it.
    NotLeader(LeaderRedirect),
}

/// What operators may want to know.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)] // The names tell: term, life (a process's id), index on the log, counts.
pub enum Event {
    /// It leads, from this many servers and gateways and with this version of the configuration.
    LeadBegun { term: u64, version: u64, servers: usize, gateways: u32, logged_gateways: usize, held_ms: u64 },
    /// It leads no more.
    LeadEnded { term: u64 },
    /// A server was not heard of for too long.
    ServerSilent { id: String },
    /// A server came, or says something else than before.
    ServerChanged { id: String, backend: String, zone: String, state: ServerState, warmup_left_ms: u64 },
    /// A server says that it is gone.
    ServerGone { id: String },
    /// A gateway hung up.
    GatewayDisconnected { name: String },
    /// The list of gateways' processes is to change: names of those that come, count of those that go.
    GatewaysEnrolled { added: Vec<String>, removed: usize },
    /// An operator's change was decided on, or not in time.
    ConfigChange { patch: bool, base: u64, version: u64, outcome: Option<Outcome> },
    /// An order on the core's members was put on the log, or not in time.
    MembershipOrder { request: MembershipRequest, outcome: Option<Outcome> },
    /// A zone was evacuated, or taken back.
    Evacuation { zone: String, ended: bool },
    /// A tenant's trial changed, as it stands now.
    Trial { tenant: String, trial: Trial },
    /// The log takes nothing more at the moment.
    ProposalRefused { error: String },
    /// A snapshot that this program didn't write, though the disk has checked it.
    SnapshotUnreadable { index: u64, error: String },
    /// The same of an entry.
    EntryUnreadable { index: u64, error: String },
    /// The entry made another document here than where it was proposed: this member's state isn't the log's any more.
    Diverged { index: u64, version: u64 },
    /// It goes on from the leader's state, which holds all up to this entry.
    StateTransferred { last_index: u64 },
}
