//! What goes in and out: entries, snapshots, messages between members, writes, tuning.

use crate::membership::{MEMBERS_MAX, MEMBERS_MIN};
use nickeljunction_messages::{Member, MemberId};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// So many entries before a snapshot stay in memory at least, for members that lag a little.
pub const HELD_BACK: u64 = 64;

/// Numbers are short on the wire, and two of them are never drawn alike in the life of a core.
const ID_MASK: u64 = (1 << 40) - 1;

fn is_nothing(free: &u64) -> bool {
    *free == 0
}

/// Number of the member on `host` at the first start of the whole core: the same on every machine, never 0.
pub fn first_id(host: &str) -> MemberId {
    // FNV-1a: fixed for good, as every machine of a first start has to find the same number.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in host.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    draw_id(hash)
}

/// A member's number out of a `random` value, never 0: for a disk that is written for the first time.
pub fn draw_id(random: u64) -> MemberId {
    ((random ^ (random >> 40)) & ID_MASK).max(1)
}

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Nothing: a new leader's first entry, which commits what its predecessors left.
    #[serde(rename = "n")]
    Empty,
    /// What the embedding program proposed.
    #[serde(rename = "d")]
    Data(String),
    /// The members from here on.
    #[serde(rename = "m")]
    Members(Vec<Member>),
    /// One member takes the place of another: from here on, and until the new list alone is appended, whatever is decided
    /// takes a majority of each list (joint consensus).
    #[serde(rename = "j")]
    Joint {
        /// The members before.
        #[serde(rename = "o")]
        old: Vec<Member>,
        /// The members after.
        #[serde(rename = "n")]
        new: Vec<Member>,
    },
}

impl Body {
    /// The members that it leads to, where it changes them.
    pub fn members(&self) -> Option<&[Member]> {
        match self {
            Body::Members(members) | Body::Joint { new: members, .. } => Some(members),
            Body::Data(_) | Body::Empty => None,
        }
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its place, from 1, without gaps.
    #[serde(rename = "i")]
    pub index: u64,
    /// Term of the leader that wrote it.
    #[serde(rename = "t")]
    pub term: u64,
    /// What it holds.
    #[serde(rename = "b")]
    pub body: Body,
}

impl Entry {
    /// Its data, where it holds any.
    pub fn data(&self) -> Option<&str> {
        match &self.body {
            Body::Data(data) => Some(data),
            Body::Empty | Body::Members(_) | Body::Joint { .. } => None,
        }
    }

    /// About how many bytes it takes.
    pub(crate) fn size(&self) -> usize {
        32 + match &self.body {
            Body::Empty => 0,
            Body::Data(data) => data.len(),
            Body::Members(members) => size_of_list(members),
            Body::Joint { old, new } => size_of_list(old) + size_of_list(new),
        }
    }
}

fn size_of_list(members: &[Member]) -> usize {
    members.iter().map(|member| 32 + member.host.len()).sum()
}

/// The embedding program's whole state after an entry, in place of all entries up to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers; 0: none, it only names the first members.
    #[serde(rename = "i")]
    pub index: u64,
    /// That entry's term.
    #[serde(rename = "t")]
    pub term: u64,
    /// The members after that entry.
    #[serde(rename = "m")]
    pub members: Vec<Member>,
    /// The state, opaque.
    #[serde(rename = "s")]
    pub state: String,
}

/// What a member must never forget: its term, and whom it voted for in it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hard {
    /// The newest term that it knows of.
    #[serde(rename = "t")]
    pub term: u64,
    /// Its vote in that term.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub vote: Option<MemberId>,
}

/// What is to be on the disk before the member says so to others. Done whole and in this order: `me`, `hard`,
/// `truncate_from`, `snapshot`, `entries`; all of one write or none of it should survive a loss of power.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Write {
    /// To be named to [`crate::Consensus::written`]; rises by one with each write.
    pub ticket: u64,
    /// Ticket of the write that it builds on and must not be done without; 0: it stands by itself, as the first in a
    /// life does, and the first after a failure.
    pub after: u64,
    /// Who writes, in the first write on a new disk.
    pub me: Option<Member>,
    /// Term and vote, where they changed.
    pub hard: Option<Hard>,
    /// Entries from this index on are to be deleted.
    pub truncate_from: Option<u64>,
    /// Takes the place of an older snapshot and of all entries up to its index, which are to be deleted.
    pub snapshot: Option<Snapshot>,
    /// To be added after the last entry, or after the snapshot where no entry is left.
    pub entries: Vec<Entry>,
}

/// What a disk gave back, or what one starts with that gave nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Restored {
    /// Who this is.
    pub me: Member,
    /// The disk doesn't know `me` yet.
    pub new: bool,
    /// Term and vote.
    pub hard: Hard,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it, without gaps.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// A member of the first start of the whole core, on an empty disk; every machine names the same `members`, each
    /// with the number of [`first_id`].
    pub fn first(me: Member, members: Vec<Member>) -> Restored {
        let snapshot = Snapshot { index: 0, term: 0, members, state: String::new() };
        Restored { me, new: true, hard: Hard::default(), snapshot: Some(snapshot), entries: Vec::new() }
    }

    /// A new or wiped machine, with a number drawn anew ([`draw_id`]): it has to be taken in.
    pub fn stranger(me: Member) -> Restored {
        Restored { me, new: true, hard: Hard::default(), snapshot: None, entries: Vec::new() }
    }
}

/// A message to one member, or to whoever is at a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// Who says it.
    #[serde(rename = "f")]
    pub from: Member,
    /// To which member; 0: to whoever is there.
    #[serde(rename = "t")]
    pub to: MemberId,
    /// The sender's term.
    #[serde(rename = "n")]
    pub term: u64,
    /// What is said.
    #[serde(rename = "m")]
    pub msg: Msg,
}

impl Envelope {
    /// About how many bytes it takes.
    pub fn size(&self) -> usize {
        let held = match &self.msg {
            Msg::Append { entries, .. } => entries.iter().map(Entry::size).sum(),
            Msg::Snap { snapshot, .. } => snapshot.state.len(),
            _ => 0,
        };
        128 + held
    }
}

/// What members say to each other.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Msg {
    /// "Would you vote for me in the term after mine?" Changes nothing.
    #[serde(rename = "p")]
    Ask {
        /// Index of the sender's last entry.
        #[serde(rename = "i")]
        last: u64,
        /// Its term.
        #[serde(rename = "t")]
        last_term: u64,
    },
    /// Answer to [`Msg::Ask`].
    #[serde(rename = "P")]
    Asked {
        /// The term of the sender of the question.
        #[serde(rename = "a")]
        asked: u64,
        /// It would.
        #[serde(rename = "y")]
        yes: bool,
        /// It neither leads nor follows anyone: the sum of the members that it knows; else 0.
        #[serde(rename = "f", default, skip_serializing_if = "is_nothing")]
        free: u64,
    },
    /// "Vote for me."
    #[serde(rename = "v")]
    Vote {
        /// Index of the sender's last entry.
        #[serde(rename = "i")]
        last: u64,
        /// Its term.
        #[serde(rename = "t")]
        last_term: u64,
    },
    /// Answer to [`Msg::Vote`].
    #[serde(rename = "V")]
    Voted {
        /// It did.
        #[serde(rename = "y")]
        yes: bool,
    },
    /// The leader's heartbeat, with what the receiver's log is missing.
    #[serde(rename = "a")]
    Append {
        /// Index of the entry before `entries`.
        #[serde(rename = "p")]
        prev: u64,
        /// Its term.
        #[serde(rename = "q")]
        prev_term: u64,
        /// What comes after it.
        #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
        entries: Vec<Entry>,
        /// All up to here is committed.
        #[serde(rename = "c")]
        commit: u64,
        /// Number of the heartbeat round.
        #[serde(rename = "r")]
        round: u64,
    },
    /// A snapshot, for a log that ends before the leader's begins.
    #[serde(rename = "s")]
    Snap {
        /// It.
        #[serde(rename = "s")]
        snapshot: Box<Snapshot>,
        /// Number of the heartbeat round.
        #[serde(rename = "r")]
        round: u64,
    },
    /// "My disk has your log up to here."
    #[serde(rename = "k")]
    Kept {
        /// Up to where; in a refusal, where the logs may still agree.
        #[serde(rename = "i")]
        index: u64,
        /// The newest round seen.
        #[serde(rename = "r")]
        round: u64,
        /// "I don't have this entry", the `prev` of an append.
        #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
        refused: Option<u64>,
    },
    /// "Take me in." To whoever is at a host.
    #[serde(rename = "j")]
    Join,
    /// "I don't lead; as far as I know, this one does", to one who asked to be taken in or isn't a member any more.
    #[serde(rename = "l")]
    Point {
        /// The leader.
        #[serde(rename = "l")]
        leader: Member,
    },
    /// "I lead no longer; don't wait for me", or, of one that doesn't lead: "I am about to end."
    #[serde(rename = "z")]
    Resign,
}

/// A host that is not to be a member, by operators' word.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Away {
    /// It, as in [`Member::host`].
    pub host: String,
    /// It stays until this host is a member.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

/// How a leader sees another machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// Which.
    pub member: Member,
    /// It is taught and doesn't count yet.
    pub learner: bool,
    /// Its disk has the log up to this index, as far as it said so.
    pub kept: u64,
    /// Since its last answer, or since it was first asked, ms.
    pub silent_ms: u64,
    /// It answered within the longest election time.
    pub reachable: bool,
}

/// Times of the agreement, ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tuning {
    /// A leader's word goes out so often.
    pub heartbeat_ms: u64,
    /// A member that has heard of no leader for a time between this and `election_max_ms` stands for election; one that
    /// has heard of a leader within this time votes for nobody.
    pub election_min_ms: u64,
    /// See `election_min_ms`; a leader that no majority answered for this long steps down.
    pub election_max_ms: u64,
    /// Nobody is removed for silence alone where no more members than this are left: a smaller list keeps what is
    /// acknowledged on fewer disks.
    pub least: usize,
    /// Machines that ask are taken in up to this many members; more of them stand by as learners, until a member is gone
    /// or operators call one in.
    pub most: usize,
    /// A member that was silent for so long is gone: it makes room for one that stands by. Shorter than the time after
    /// which the next loss has to be borne.
    pub gone_ms: u64,
    /// A machine that isn't a member asks so often to be taken in.
    pub join_ms: u64,
    /// After a failed write it is tried again so much later.
    pub retry_ms: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            heartbeat_ms: 100,
            election_min_ms: 350,
            election_max_ms: 650,
            least: MEMBERS_MIN,
            most: MEMBERS_MAX,
            gone_ms: 2_000,
            join_ms: 300,
            retry_ms: 200,
        }
    }
}

impl Tuning {
    /// For a core that is to bear the loss of so many machines at once: twice as many members, and one.
    pub fn bearing(losses: usize) -> Tuning {
        let members = losses.saturating_mul(2).saturating_add(1).clamp(MEMBERS_MIN, MEMBERS_MAX);
        Tuning { least: members, most: members, ..Tuning::default() }
    }
}

/// Names a read from [`crate::Consensus::read`] to its [`Outputs::reads`].
pub type ReadTicket = u64;

/// What is to be done, in the order that the crate's page names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Outputs {
    /// Replaces the whole state; comes before `committed`. Also given once after a start with a snapshot on disk.
    pub restored_state: Option<Snapshot>,
    /// To be applied, in order, without gaps. After a start all entries since the snapshot come again.
    pub committed: Vec<Entry>,
    /// Messages, each to a host; one that gets lost harms nothing.
    pub send: Vec<(String, Envelope)>,
    /// To be written and synced, one after the other.
    pub writes: Vec<Write>,
    /// Reads that are settled: true: the state with `committed` applied may be answered from; false: ask elsewhere.
    pub reads: Vec<(ReadTicket, bool)>,
    /// Indexes proposed here whose fate is open: this member stopped leading before they were committed.
    pub lost: Vec<u64>,
}

quick_error! {
    /// Why a proposal or a read is not taken.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NotLeader {
        /// Another member leads, or none is known to.
        Elsewhere(leader: Option<Member>) {
            display("not the leader; known leader: {}", leader.as_ref().map_or("none", |member| member.host.as_str()))
        }
        /// It leads and has not yet committed an entry of its own term: ask again shortly.
        NotReady(term: u64) {
            display("leader of term {term} has not committed in it yet")
        }
        /// Too much waits for a majority's disks: ask again shortly.
        Busy(waiting: usize) {
            display("{waiting} entries wait to be committed")
        }
    }
}
