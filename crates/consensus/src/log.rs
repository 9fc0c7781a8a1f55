//! The log in memory: the entries after a base index, the newest snapshot, and the member lists by the entry from
//! which on each is in force.

use crate::entry::{Body, Entry, Snapshot};
use nickeljunction_messages::{Member, MemberId};
use std::collections::VecDeque;

/// Number of entries before a snapshot that stay in memory at least, for members that lag a little.
pub const ENTRIES_KEPT_BEFORE_SNAPSHOT: u64 = 64;
/// Entries that a snapshot covers stay in memory for lagging members up to this size.
const KEPT_BYTES_MAX: usize = 256 * 1024;

/// The member lists in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Membership {
    members: Vec<Member>,
    /// While one member replaces another, the members before, of which a majority is needed too. Else empty.
    outgoing: Vec<Member>,
}

impl Membership {
    fn single(members: Vec<Member>) -> Membership {
        Membership { members, outgoing: Vec::new() }
    }

    /// The membership that an entry leads to; `None` if it changes nothing.
    fn from_body(body: &Body) -> Option<Membership> {
        match body {
            Body::Members(members) => Some(Membership::single(members.clone())),
            Body::Joint { old, new } => Some(Membership { members: new.clone(), outgoing: old.clone() }),
            Body::Data(_) | Body::Empty => None,
        }
    }

    fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Members of either list, each once.
    fn all_members(&self) -> impl Iterator<Item = &Member> {
        let only_outgoing =
            self.outgoing.iter().filter(|old| self.members.iter().all(|member| member.id != old.id));
        self.members.iter().chain(only_outgoing)
    }
}

/// Entries `base + 1` to `last`; all up to `base` are committed.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Log {
    base: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    snapshot: Option<Snapshot>,
    /// Memberships by the index from which on each is in force: the newest at or before the base, and all after it.
    memberships: VecDeque<(u64, Membership)>,
}

impl Log {
    /// A log read from a disk; entries that don't follow on the snapshot are left out.
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Log {
        let (base, base_term) = snapshot.as_ref().map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let members = snapshot.as_ref().map_or_else(Vec::new, |snapshot| snapshot.members.clone());
        let mut log = Log {
            base,
            base_term,
            entries: VecDeque::new(),
            snapshot,
            memberships: VecDeque::from([(base, Membership::single(members))]),
        };
        for entry in entries {
            if entry.index == log.last() + 1 {
                log.push(entry);
            }
        }
        log
    }

    /// Index before the first entry.
    pub(crate) fn base(&self) -> u64 {
        self.base
    }

    /// Index of the last entry.
    pub(crate) fn last(&self) -> u64 {
        self.base + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Term of the entry at `index`, if it is the base or in memory.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`, if it is in memory.
    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.base + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Copies of the entries from `from` to `to`, both included: at least one, and no more than fit into about `bytes`.
    pub(crate) fn slice(&self, from: u64, to: u64, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        (from..=to)
            .map_while(|index| self.get(index))
            .take_while(|entry| {
                let fits = size == 0 || size + entry.size() <= bytes;
                size += entry.size();
                fits
            })
            .cloned()
            .collect()
    }

    /// Adds an entry, whose index must be the one after the last.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last() + 1);
        if let Some(membership) = Membership::from_body(&entry.body) {
            self.memberships.push_back((entry.index, membership));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        while self.memberships.len() > 1 && self.memberships.back().is_some_and(|(from, _)| *from >= index) {
            self.memberships.pop_back();
        }
    }

    /// The members in force, committed or not; while one replaces another, the new list.
    pub(crate) fn members(&self) -> &[Member] {
        self.memberships.back().map_or(&[], |(_, membership)| &membership.members)
    }

    /// The member lists in force, committed or not; a decision takes a majority of each.
    pub(crate) fn member_lists(&self) -> impl Iterator<Item = &[Member]> {
        let current = self.memberships.back().map(|(_, membership)| membership);
        let lists = current.map(|membership| [&membership.members[..], &membership.outgoing[..]]);
        lists
            .into_iter()
            .flatten()
            .enumerate()
            .filter(|(position, list)| *position == 0 || !list.is_empty())
            .map(|(_, list)| list)
    }

    /// Members of any list in force, each once.
    pub(crate) fn all_members(&self) -> impl Iterator<Item = &Member> {
        self.memberships.back().into_iter().flat_map(|(_, membership)| membership.all_members())
    }

    /// One member is replacing another.
    pub(crate) fn is_joint(&self) -> bool {
        self.memberships.back().is_some_and(|(_, membership)| membership.is_joint())
    }

    /// The machine was a member by the lists before those in force.
    pub(crate) fn was_member(&self, id: MemberId) -> bool {
        let previous = self.memberships.iter().rev().nth(1);
        previous.is_some_and(|(_, membership)| membership.all_members().any(|member| member.id == id))
    }

    /// Index of the entry from which on the current member lists are in force.
    pub(crate) fn membership_index(&self) -> u64 {
        self.memberships.back().map_or(0, |(from, _)| *from)
    }

    /// The membership after the entry at `index`.
    fn membership_at(&self, index: u64) -> Membership {
        let in_force = self.memberships.iter().rev().find(|(from, _)| *from <= index);
        in_force.map_or_else(Membership::default, |(_, membership)| membership.clone())
    }

    /// The newest snapshot.
    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Index of the newest snapshot, 0 if there is none.
    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// Makes a snapshot of the program's own state after the entry at `index` and drops entries long before it.
    /// Returns false, and does nothing, if the snapshot would be no newer than the last one, if the entry is not in
    /// memory, or if one member was replacing another at that entry, as a snapshot holds only one member list.
    pub(crate) fn compact(&mut self, index: u64, state: String) -> bool {
        let Some(term) = self.term(index).filter(|_| index > self.snapshot_index()) else { return false };
        let membership = self.membership_at(index);
        if membership.is_joint() {
            return false;
        }
        let snapshot_bytes = state.len();
        self.snapshot = Some(Snapshot { index, term, members: membership.members, state });
        // Entries are limited in bytes as well as in number: documents may be large, and memory is scarce.
        let mut kept_bytes = 0;
        let mut base = index;
        while base > self.base {
            kept_bytes += self.get(base).map_or(0, Entry::size);
            let below_minimum =
                index - base < guard!(EntriesKeptBeforeSnapshot, ENTRIES_KEPT_BEFORE_SNAPSHOT, 0);
            // As long as the entries are smaller than the snapshot, sending them to a lagging member costs less.
            if kept_bytes > KEPT_BYTES_MAX || !below_minimum && kept_bytes > snapshot_bytes {
                break;
            }
            base -= 1;
        }
        if let Some(term) = self.term(base) {
            self.entries.drain(..(base - self.base) as usize);
            (self.base, self.base_term) = (base, term);
        }
        while self.memberships.get(1).is_some_and(|(from, _)| *from <= self.base) {
            self.memberships.pop_front();
        }
        true
    }

    /// Installs a leader's snapshot. Returns true if this log has the entry that the snapshot covers last, so that the
    /// entries after it could stay.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> bool {
        let kept_entries = self.term(snapshot.index) == Some(snapshot.term);
        if kept_entries {
            self.entries.drain(..(snapshot.index - self.base) as usize);
            self.memberships.retain(|(from, _)| *from > snapshot.index);
        } else {
            self.entries.clear();
            self.memberships.clear();
        }
        (self.base, self.base_term) = (snapshot.index, snapshot.term);
        self.memberships.push_front((snapshot.index, Membership::single(snapshot.members.clone())));
        self.snapshot = Some(snapshot);
        kept_entries
    }

    /// Index of the first entry in the run of entries of one term that includes `index`, but no entry at or before
    /// `floor`.
    pub(crate) fn first_of_term_run(&self, index: u64, floor: u64) -> u64 {
        let term = self.term(index);
        let mut start = index;
        while start > floor + 1 && self.term(start - 1) == term {
            start -= 1;
        }
        start
    }
}
