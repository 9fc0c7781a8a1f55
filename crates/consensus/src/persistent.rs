//! What must be on the disk: term and vote, what is to be written, and what a start finds there.

use crate::entry::{Entry, Snapshot};
use nickeljunction_messages::{Member, MemberId};
use serde::{Deserialize, Serialize};

/// What a member must never forget: its term, and whom it voted for in it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
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
    pub hard: Option<HardState>,
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
    pub is_new: bool,
    /// Term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it, without gaps.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// A member of the first start of the whole core, on an empty disk; every machine names the same `members`, each
    /// with the number of [`bootstrap_member_id`].
    pub fn bootstrap(me: Member, members: Vec<Member>) -> Restored {
        let snapshot = Snapshot { index: 0, term: 0, members, state: String::new() };
        Restored {
            me,
            is_new: true,
            hard: HardState::default(),
            snapshot: Some(snapshot),
            entries: Vec::new(),
        }
    }

    /// A new or wiped machine, with a number drawn anew ([`member_id_from_random`]): it has to be taken in.
    pub fn joining(me: Member) -> Restored {
        Restored { me, is_new: true, hard: HardState::default(), snapshot: None, entries: Vec::new() }
    }
}
