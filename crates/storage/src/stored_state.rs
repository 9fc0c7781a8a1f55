//! What a disk has, and what a write makes of it.

use crate::StorageError;
use nickeljunction_consensus::{Entry, HardState, Member, Restored, Snapshot, Write};

/// What a disk gave back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredState {
    /// Whose disk it is.
    pub me: Member,
    /// Term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it, without gaps.
    pub entries: Vec<Entry>,
}

impl From<StoredState> for Restored {
    fn from(kept: StoredState) -> Restored {
        Restored {
            me: kept.me,
            is_new: false,
            hard: kept.hard,
            snapshot: kept.snapshot,
            entries: kept.entries,
        }
    }
}

impl StoredState {
    /// The members by this disk, committed or not.
    pub fn members(&self) -> &[Member] {
        let newest = self.entries.iter().rev().find_map(|entry| entry.body.members());
        newest.or(self.snapshot.as_ref().map(|snapshot| &snapshot.members[..])).unwrap_or_default()
    }

    /// What a write makes of a disk that has `kept`; whether it fits is for [`StateSummary::after`] to say.
    ///
    /// # Errors
    /// Where nobody knows whose disk it is.
    pub(crate) fn after(kept: Option<StoredState>, write: &Write) -> Result<StoredState, StorageError> {
        let mut next = match (kept, &write.me) {
            (Some(mut kept), me) => {
                kept.me = me.clone().unwrap_or(kept.me);
                kept
            }
            (None, Some(me)) => StoredState {
                me: me.clone(),
                hard: HardState::default(),
                snapshot: None,
                entries: Vec::new(),
            },
            (None, None) => return Err(corrupt("me", "the first write doesn't say whose disk it is")),
        };
        next.hard = write.hard.unwrap_or(next.hard);
        if let Some(from) = write.truncate_from {
            next.entries.retain(|entry| entry.index < from);
        }
        if let Some(snapshot) = &write.snapshot {
            next.snapshot = Some(snapshot.clone());
            next.entries.retain(|entry| entry.index > snapshot.index);
        }
        next.entries.extend_from_slice(&write.entries);
        Ok(next)
    }

    /// Checks that entries follow on the snapshot and on each other, with terms that never go down.
    ///
    /// # Errors
    /// Where they don't.
    pub(crate) fn check(&self) -> Result<(), StorageError> {
        let (mut index, mut term) =
            self.snapshot.as_ref().map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        for entry in &self.entries {
            if entry.index != index + 1 {
                return Err(corrupt(format!("entry {}", entry.index), "doesn't follow on the one before"));
            }
            if entry.term < term {
                return Err(corrupt(
                    format!("entry {}", entry.index),
                    "is of an older term than the one before",
                ));
            }
            (index, term) = (entry.index, entry.term);
        }
        if self.hard.term < term {
            return Err(corrupt("hard", "is of an older term than the log"));
        }
        Ok(())
    }
}

/// As much of what a disk has as must fit together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct StateSummary {
    /// It was written at all.
    pub(crate) known: bool,
    /// Ticket of the last write of this life; 0: none yet.
    pub(crate) ticket: u64,
    pub(crate) hard: HardState,
    /// Index of the snapshot; 0: none, or one that covers nothing.
    pub(crate) snapshot: u64,
    /// Index and term of the last entry, or of the snapshot where there is none after it.
    pub(crate) last: u64,
    pub(crate) last_term: u64,
}

impl StateSummary {
    /// Both tell of the same disk; a last term of 0 is one that isn't known.
    pub(crate) fn is_same(&self, other: &StateSummary) -> bool {
        let terms = self.last_term == other.last_term || self.last_term == 0 || other.last_term == 0;
        (self.known, self.hard, self.snapshot, self.last)
            == (other.known, other.hard, other.snapshot, other.last)
            && terms
    }

    pub(crate) fn of(kept: Option<&StoredState>) -> StateSummary {
        let Some(kept) = kept else { return StateSummary::default() };
        let (snapshot, term) =
            kept.snapshot.as_ref().map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let (last, last_term) =
            kept.entries.last().map_or((snapshot, term), |entry| (entry.index, entry.term));
        StateSummary { known: true, ticket: 0, hard: kept.hard, snapshot, last, last_term }
    }

    /// After a write.
    ///
    /// # Errors
    /// Where the write leaves a gap, or doesn't say whose disk a new one is.
    pub(crate) fn after(mut self, write: &Write) -> Result<StateSummary, StorageError> {
        if !self.known && write.me.is_none() {
            return Err(corrupt("me", "the first write doesn't say whose disk it is"));
        }
        if write.after != 0 && write.after != self.ticket {
            return Err(corrupt(format!("write {}", write.ticket), "builds on one that isn't there"));
        }
        self.known = true;
        self.ticket = write.ticket;
        self.hard = write.hard.unwrap_or(self.hard);
        if let Some(from) = write.truncate_from.filter(|from| *from <= self.last) {
            if from <= self.snapshot {
                return Err(corrupt(format!("entry {from}"), "is to be deleted, but part of the snapshot"));
            }
            // The term of the entry before isn't known here; whatever follows only has to be no older than 0.
            (self.last, self.last_term) = (from - 1, 0);
        }
        if let Some(snapshot) = &write.snapshot {
            if snapshot.index < self.snapshot {
                return Err(corrupt(format!("snapshot {}", snapshot.index), "is older than the one before"));
            }
            if snapshot.term > self.hard.term {
                return Err(corrupt(
                    format!("snapshot {}", snapshot.index),
                    "is of a later term than the disk knows",
                ));
            }
            self.snapshot = snapshot.index;
            if snapshot.index >= self.last {
                (self.last, self.last_term) = (snapshot.index, snapshot.term);
            }
        }
        for entry in &write.entries {
            if entry.index != self.last + 1 {
                return Err(corrupt(format!("entry {}", entry.index), "leaves a gap"));
            }
            if entry.term > self.hard.term || entry.term < self.last_term {
                return Err(corrupt(format!("entry {}", entry.index), "is of a term that can't be"));
            }
            (self.last, self.last_term) = (entry.index, entry.term);
        }
        Ok(self)
    }
}

pub(crate) fn corrupt(key: impl Into<String>, what: &'static str) -> StorageError {
    StorageError::Corrupt(key.into(), what)
}
