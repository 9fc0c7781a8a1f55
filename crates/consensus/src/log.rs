//! The log in memory: the entries since a base, the newest snapshot, and which members hold from which entry on.

use crate::entry::{Body, Entry, Snapshot};
use nickeljunction_messages::{Member, MemberId};
use std::collections::VecDeque;

/// So many entries before a snapshot stay in memory at least, for members that lag a little.
pub const ENTRIES_KEPT_BEFORE_SNAPSHOT: u64 = 64;
/// Entries that a snapshot covers stay for laggards up to so many bytes.
const HELD_BYTES: usize = 256 * 1024;

/// Who the members are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Membership {
    members: Vec<Member>,
    /// While one member takes another's place, the members before: a majority of these is wanted, too. Else empty.
    old: Vec<Member>,
}

impl Membership {
    fn of(members: Vec<Member>) -> Membership {
        Membership { members, old: Vec::new() }
    }

    /// What an entry makes of it; `None`: nothing.
    fn from_body(body: &Body) -> Option<Membership> {
        match body {
            Body::Members(members) => Some(Membership::of(members.clone())),
            Body::Joint { old, new } => Some(Membership { members: new.clone(), old: old.clone() }),
            Body::Data(_) | Body::Empty => None,
        }
    }

    fn is_joint(&self) -> bool {
        !self.old.is_empty()
    }

    /// Members by either list, each once.
    fn all(&self) -> impl Iterator<Item = &Member> {
        let left = self.old.iter().filter(|old| self.members.iter().all(|member| member.id != old.id));
        self.members.iter().chain(left)
    }
}

/// Entries `base + 1` to `last`; all up to `base` are committed.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Log {
    base: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    snapshot: Option<Snapshot>,
    /// Members by the index from which on they hold: the newest at or before the base, and all after it.
    configs: VecDeque<(u64, Membership)>,
}

impl Log {
    /// From what a disk kept; entries that don't follow on the snapshot are left out.
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Log {
        let (base, base_term) = snapshot.as_ref().map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let members = snapshot.as_ref().map_or_else(Vec::new, |snapshot| snapshot.members.clone());
        let mut log = Log {
            base,
            base_term,
            entries: VecDeque::new(),
            snapshot,
            configs: VecDeque::from([(base, Membership::of(members))]),
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

    /// Term of the entry at `index`, where it is known.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`.
    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let place = index.checked_sub(self.base + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// Copies of the entries from `from` to `to`, both included, of at most about `bytes`, one at least.
    pub(crate) fn some(&self, from: u64, to: u64, bytes: usize) -> Vec<Entry> {
        let mut taken = 0;
        (from..=to)
            .map_while(|index| self.get(index))
            .take_while(|entry| {
                let fits = taken == 0 || taken + entry.size() <= bytes;
                taken += entry.size();
                fits
            })
            .cloned()
            .collect()
    }

    /// Adds an entry; its index is the one after the last.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last() + 1);
        if let Some(membership) = Membership::from_body(&entry.body) {
            self.configs.push_back((entry.index, membership));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        while self.configs.len() > 1 && self.configs.back().is_some_and(|(from, _)| *from >= index) {
            self.configs.pop_back();
        }
    }

    /// The members that hold now, committed or not; the new list, while one takes another's place.
    pub(crate) fn members(&self) -> &[Member] {
        self.configs.back().map_or(&[], |(_, membership)| &membership.members)
    }

    /// The lists that hold now, committed or not: a majority of each decides.
    pub(crate) fn lists(&self) -> impl Iterator<Item = &[Member]> {
        let now = self.configs.back().map(|(_, membership)| membership);
        let lists = now.map(|membership| [&membership.members[..], &membership.old[..]]);
        lists
            .into_iter()
            .flatten()
            .enumerate()
            .filter(|(at, list)| *at == 0 || !list.is_empty())
            .map(|(_, list)| list)
    }

    /// Members by any list that holds now, each once.
    pub(crate) fn all_members(&self) -> impl Iterator<Item = &Member> {
        self.configs.back().into_iter().flat_map(|(_, membership)| membership.all())
    }

    /// One member takes the place of another.
    pub(crate) fn is_joint(&self) -> bool {
        self.configs.back().is_some_and(|(_, membership)| membership.is_joint())
    }

    /// It was a member by the lists before those that hold.
    pub(crate) fn was_member(&self, id: MemberId) -> bool {
        let before = self.configs.iter().rev().nth(1);
        before.is_some_and(|(_, membership)| membership.all().any(|member| member.id == id))
    }

    /// From which entry on they hold.
    pub(crate) fn members_since(&self) -> u64 {
        self.configs.back().map_or(0, |(from, _)| *from)
    }

    /// The members after the entry at `index`.
    fn members_at(&self, index: u64) -> Membership {
        let held = self.configs.iter().rev().find(|(from, _)| *from <= index);
        held.map_or_else(Membership::default, |(_, membership)| membership.clone())
    }

    /// The newest snapshot.
    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Index of the newest snapshot, 0 where there is none.
    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// Takes the program's own state after the entry at `index` for a snapshot and drops entries long before it.
    /// False where it is no newer than the one before, or no such entry is known, or one member was taking another's place
    /// then: a snapshot names one list.
    pub(crate) fn compact(&mut self, index: u64, state: String) -> bool {
        let Some(term) = self.term(index).filter(|_| index > self.snapshot_index()) else { return false };
        let membership = self.members_at(index);
        if membership.is_joint() {
            return false;
        }
        let whole = state.len();
        self.snapshot = Some(Snapshot { index, term, members: membership.members, state });
        // Bounded in bytes too: documents may be large, and memory is dear.
        let mut held = 0;
        let mut base = index;
        while base > self.base {
            held += self.get(base).map_or(0, Entry::size);
            let few = index - base < guard!(HeldBack, ENTRIES_KEPT_BEFORE_SNAPSHOT, 0);
            // A laggard is better taught by entries as long as they are less than the snapshot.
            if held > HELD_BYTES || !few && held > whole {
                break;
            }
            base -= 1;
        }
        if let Some(term) = self.term(base) {
            self.entries.drain(..(base - self.base) as usize);
            (self.base, self.base_term) = (base, term);
        }
        while self.configs.get(1).is_some_and(|(from, _)| *from <= self.base) {
            self.configs.pop_front();
        }
        true
    }

    /// Takes a leader's snapshot; true where the entries after it could stay, as this log has the entry that it covers.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> bool {
        let stays = self.term(snapshot.index) == Some(snapshot.term);
        if stays {
            self.entries.drain(..(snapshot.index - self.base) as usize);
            self.configs.retain(|(from, _)| *from > snapshot.index);
        } else {
            self.entries.clear();
            self.configs.clear();
        }
        (self.base, self.base_term) = (snapshot.index, snapshot.term);
        self.configs.push_front((snapshot.index, Membership::of(snapshot.members.clone())));
        self.snapshot = Some(snapshot);
        stays
    }

    /// The first entry of the run of one term that `index` is part of, but none at or before `floor`.
    pub(crate) fn run_start(&self, index: u64, floor: u64) -> u64 {
        let term = self.term(index);
        let mut start = index;
        while start > floor + 1 && self.term(start - 1) == term {
            start -= 1;
        }
        start
    }
}
