//! State that must be on the disk: term and vote, the writes that get it there, and what a start reads back.

use crate::entry::{Entry, Snapshot};
use nickeljunction_messages::{Member, MemberId};
use serde::{Deserialize, Serialize};

/// State that a member must never lose: its term, and its vote in that term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term that the member knows of.
    #[serde(rename = "t")]
    pub term: u64,
    /// Its vote in that term.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub vote: Option<MemberId>,
}

/// A change that must be on the disk before the member acknowledges it to others. Its parts are applied in this order:
/// `me`, `hard`, `truncate_from`, `snapshot`, `entries`; a loss of power should leave all of a write or none of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Write {
    /// Argument for [`crate::Consensus::written`]; rises by one with each write.
    pub ticket: u64,
    /// Ticket of the write that this one builds on and must not be done without; 0: it depends on no other, like the
    /// first write after a start and the first after a failure.
    pub after: u64,
    /// The member's identity, in the first write on a new disk.
    pub me: Option<Member>,
    /// Term and vote, if they changed.
    pub hard: Option<HardState>,
    /// Entries from this index on have to be deleted.
    pub truncate_from: Option<u64>,
    /// Replaces an older snapshot and all entries up to its index, which have to be deleted.
    pub snapshot: Option<Snapshot>,
    /// To be added after the last entry, or after the snapshot if no entry is left.
    pub entries: Vec<Entry>,
}

/// What was read from a disk, or the initial state for an empty disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Restored {
    /// The member's identity.
    pub me: Member,
    /// The disk doesn't hold `me` yet.
    pub is_new: bool,
    /// Term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it, without gaps.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// A member at the first start of the whole core, on an empty disk; every machine passes the same `members`, each
    /// with the number that [`crate::bootstrap_member_id`] gives.
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

    /// A new or wiped machine with a newly drawn number ([`crate::member_id_from_random`]), which has to ask to join.
    pub fn joining(me: Member) -> Restored {
        Restored { me, is_new: true, hard: HardState::default(), snapshot: None, entries: Vec::new() }
    }
}
