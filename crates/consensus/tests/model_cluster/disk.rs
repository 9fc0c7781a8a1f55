//! A disk that holds what was synced, and shared values with a precomputed hash.

use nickeljunction_consensus::{Entry, HardState, Member, Snapshot, Write};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// A value shared between cluster states, with its hash, by which it is compared.
#[derive(Debug)]
pub struct Hashed<T>(Arc<(u64, T)>);

impl<T: Hash> Hashed<T> {
    pub fn new(value: T) -> Hashed<T> {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        Hashed(Arc::new((hasher.finish(), value)))
    }
}

impl<T> Hashed<T> {
    /// The hash of the value.
    pub fn hash_of(&self) -> u64 {
        self.0 .0
    }
}

impl<T> Clone for Hashed<T> {
    fn clone(&self) -> Self {
        Hashed(Arc::clone(&self.0))
    }
}

impl<T> PartialEq for Hashed<T> {
    fn eq(&self, other: &Self) -> bool {
        self.0 .0 == other.0 .0
    }
}

impl<T> Hash for Hashed<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0 .0.hash(state);
    }
}

impl<T> std::ops::Deref for Hashed<T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.0 .1
    }
}

/// The synced content of a disk.
#[derive(Debug, Clone, Default, Hash)]
pub struct Disk {
    pub me: Option<Member>,
    pub hard: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
    pub ticket: u64,
}

impl Disk {
    /// Does a write; false if it depends on one that isn't on the disk.
    pub fn save(&mut self, write: &Write) -> bool {
        if write.after != 0 && write.after != self.ticket {
            return false;
        }
        self.ticket = write.ticket;
        self.me = write.me.clone().or(self.me.take());
        self.hard = write.hard.unwrap_or(self.hard);
        if let Some(from) = write.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        if let Some(snapshot) = &write.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot.clone());
        }
        self.entries.extend_from_slice(&write.entries);
        true
    }

    pub fn base(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// The entries follow on the snapshot without gaps, and their terms never fall.
    pub fn is_consistent(&self) -> bool {
        self.entries.iter().zip(self.base() + 1..).all(|(entry, index)| entry.index == index)
            && self.entries.windows(2).all(|pair| pair[0].term <= pair[1].term)
            && self
                .entries
                .first()
                .is_none_or(|first| self.snapshot.as_ref().is_none_or(|snapshot| snapshot.term <= first.term))
    }

    pub fn holds(&self, index: u64, term: u64) -> bool {
        index <= self.base() || self.entries.iter().any(|entry| (entry.index, entry.term) == (index, term))
    }
}
