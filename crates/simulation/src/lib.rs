//! The whole cluster in virtual time, for tests alone: core members' machines (`nickeljunction_replica`, all that
//! `controller` decides) and gateways' (copy, allowance, lease, search), driven as the programs drive them, with scripted
//! operators and servers between links and disks that fail when told to.
//!
//! [`World`] owns the clock (ms), the network and the machines; [`Audit`] checks all that comes out of them as it comes.
//! Nothing here waits: a world of some minutes runs in milliseconds, and the same seed makes the same world.

mod audit;
mod claimants;
mod gateway;
mod member;
mod operators;
mod pipe;
mod simulation;

pub use audit::{Acked, Audit, Said, Tide, Told};
pub use claimants::Claimants;
pub use gateway::Gateway;
pub use member::Member;
pub use operators::{Lost, Operators, Order, Server};
pub use pipe::Pipe;
pub use simulation::{Plan, World};

use nickeljunction_consensus::Envelope;
use nickeljunction_messages::{ClaimAnswer, ClaimCall, UnitsAnswer, UnitsCall, WatchAnswer, WatchCall};
use nickeljunction_registry::Heartbeat;
use nickeljunction_replica::MembershipRequest;

/// A machine's place in the world: core members first, then gateways, then the one of operators and servers.
pub type Node = usize;

/// Window of units, ms.
pub const WINDOW_MS: u64 = 5_000;
/// The tenant of all worlds.
pub const TENANT: &str = "peach";

/// IP address of a core member.
pub fn host(member: Node) -> String {
    format!("10.0.0.{}", member + 1)
}

/// The core member with this address.
pub fn node_of(host: &str) -> Option<Node> {
    host.strip_prefix("10.0.0.")?.parse::<usize>().ok()?.checked_sub(1)
}

/// What is asked of a core member.
#[derive(Debug, Clone)]
pub enum Question {
    /// A gateway's or follower's watch call.
    Watch(WatchCall),
    /// Counted adds.
    Units(UnitsCall),
    /// A keyed operation is claimed.
    Claim(ClaimCall),
    /// An operator reads the configuration.
    Get,
    /// An operator puts a configuration: base, version, digest, document.
    Put(u64, u64, String, serde_json::Value),
    /// An operator patches a configuration: base, version, digest, patch.
    Patch(u64, u64, String, serde_json::Value),
    /// An operator evacuates a zone.
    Evacuate(String),
    /// An operator takes a zone back.
    Return(String),
    /// An operator orders who is to be a member of the core.
    Core(MembershipRequest),
    /// An operator has a tenant's trial lapse, or else restores it; asked at this time.
    Trial(String, bool, u64),
    /// A server says that it lives.
    Beat(String, Heartbeat),
    /// A server says that it is gone.
    Leave(String),
    /// The caller of this number hangs up.
    HangUp,
}

/// What a core member answers.
#[derive(Debug, Clone)]
pub enum Answer {
    /// To a watch call.
    Watch(Box<WatchAnswer>),
    /// To counted adds.
    Units(UnitsAnswer),
    /// To a claim.
    Claim(ClaimAnswer),
    /// To a read: the version in force.
    State(u64),
    /// Acknowledged.
    Done,
    /// 412.
    Conflict,
    /// 409: an order that can't be carried out now.
    Unfit,
    /// 503: not known to be taken.
    Unknown,
    /// 421 or 307, or 503 without a host.
    Elsewhere(Option<String>),
}

/// What is on a link.
#[derive(Debug, Clone)]
pub(crate) enum Packet {
    /// Between core members.
    Book(Envelope),
    /// A new connection for the call of this number is asked for, and is up.
    Open(Node, u64),
    /// See `Open`.
    Opened(u64),
    /// A call.
    Ask(Node, u64, Question),
    /// Its answer.
    Reply(u64, Answer),
}

/// What the audit is told.
#[derive(Debug)]
pub(crate) enum Fact {
    /// A member applied an entry: its index, term and data.
    Applied(u64, u64, Option<String>),
    /// A member begins to lead with this version, in this term.
    Leads(u64, u64),
    /// A member answered.
    Answered(Box<(Question, Answer)>),
    /// A gateway's life goes by a version, which is no older than a time.
    Knows { life: u64, version: u64, at: u64 },
    /// A gateway takes a request, by this version.
    Takes { version: u64 },
    /// A gateway's life learns of a trial: whose, its step and stage, and from when they hold.
    Tide { life: u64, tenant: String, step: u64, stage: u32, holds: u64 },
    /// A gateway spends a unit.
    Spends,
    /// A gateway sends to the server of this id.
    Sends(String),
}

/// What comes out of a machine in one go.
#[derive(Debug, Default)]
pub(crate) struct Out {
    /// Packets, each to a machine.
    pub posts: Vec<(Node, Packet)>,
    /// For the audit.
    pub facts: Vec<Fact>,
}
