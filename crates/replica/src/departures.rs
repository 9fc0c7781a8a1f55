//! Servers' departures on the agreed log.
//!
//! A server that was told that it may leave must not be sent to by any later leader, whatever that leader's copy of the
//! register says. So a departure (a drain, or an end) is acknowledged only once a majority's disks have it, and a leader
//! applies all that the log says before its register tells anyone anything.

use crate::state::Entry;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An ended life is forgotten so long after a leader first knew of it, ms: no beat of it is still on its way.
const REMEMBERED_MS: u64 = 60_000;
/// Between two looks for what may be forgotten, ms.
const LOOK_MS: u64 = 1_000;
/// Departures that the log's state keeps at most; ended lives go first, the oldest of them before others.
const MOST_DEPARTURES: usize = 4_096;

/// How a server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// It said so in its call of this number, and still serves.
    Draining {
        /// Number of that call, which rises in a server's life.
        call_seq: u64,
    },
    /// It is gone.
    Ended,
}

/// Lives of servers that left, as the agreed log has them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    /// Those that drain, by id, with the number of the call that said so.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    draining: BTreeMap<String, u64>,
    /// Those that ended.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    ended: BTreeSet<String>,
}

impl Departures {
    /// Nobody left.
    pub fn is_empty(&self) -> bool {
        self.draining.is_empty() && self.ended.is_empty()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.draining.len() + self.ended.len()
    }

    /// How the server of this id left.
    pub fn get(&self, id: &str) -> Option<Departure> {
        if self.ended.contains(id) {
            return Some(Departure::Ended);
        }
        self.draining.get(id).map(|call_seq| Departure::Draining { call_seq: *call_seq })
    }

    /// Servers that drain, with the number of the call that said so.
    pub fn draining(&self) -> &BTreeMap<String, u64> {
        &self.draining
    }

    /// Servers that ended.
    pub fn ended(&self) -> &BTreeSet<String> {
        &self.ended
    }

    /// Takes what an entry of the log says.
    pub fn apply(
        &mut self,
        draining: BTreeMap<String, u64>,
        ended: BTreeSet<String>,
        forgotten: &BTreeSet<String>,
    ) {
        self.draining.retain(|id, _| !forgotten.contains(id) && !ended.contains(id));
        self.ended.retain(|id| !forgotten.contains(id));
        let ended_before = &self.ended;
        self.draining.extend(draining.into_iter().filter(|(id, _)| !ended_before.contains(id)));
        self.ended.extend(ended);
    }
}

/// What is to be put on the log in one entry.
#[derive(Debug, Clone, Default)]
struct Batch {
    departures: BTreeMap<String, Departure>,
    forgotten: BTreeSet<String>,
}

impl Batch {
    fn is_empty(&self) -> bool {
        self.departures.is_empty() && self.forgotten.is_empty()
    }

    fn entry(&self) -> Entry {
        let mut draining = BTreeMap::new();
        let mut ended = BTreeSet::new();
        for (id, departure) in &self.departures {
            match departure {
                Departure::Draining { call_seq } => drop(draining.insert(id.clone(), *call_seq)),
                Departure::Ended => drop(ended.insert(id.clone())),
            }
        }
        Entry::Departures { draining, ended, forgotten: self.forgotten.clone() }
    }
}

/// A leader's way of putting departures on the log: one entry is under way at a time, and what comes meanwhile goes with
/// the next one.
#[derive(Debug, Clone, Default)]
pub struct DepartureLog {
    waiting: Batch,
    under_way: Option<(u64, Batch)>,
    /// Number of the departure that came last.
    told: u64,
    /// All departures up to this number are on the log.
    logged: u64,
    /// Since when this leader has known each departure of the log.
    known_since: BTreeMap<String, u64>,
    /// When it is looked next for what may be forgotten.
    look_at: u64,
}

impl DepartureLog {
    /// A server leaves. Returns the number up to which departures must be logged before that is acknowledged.
    pub fn record(&mut self, id: &str, departure: Departure, logged: &Departures) -> u64 {
        let known = match logged.get(id) {
            Some(Departure::Ended) => true,
            Some(Departure::Draining { .. }) => departure != Departure::Ended,
            None => false,
        };
        if known && !self.waiting.forgotten.contains(id) {
            return 0;
        }
        self.waiting.forgotten.remove(id);
        self.waiting.departures.insert(id.to_owned(), departure);
        self.told += 1;
        self.told
    }

    /// A server that drained serves on after all: a call later than the one that said so told it.
    pub fn record_return(&mut self, id: &str) {
        self.waiting.departures.remove(id);
        self.waiting.forgotten.insert(id.to_owned());
    }

    /// All departures up to this number are on the log.
    pub fn is_logged(&self, number: u64) -> bool {
        self.logged >= number
    }

    /// The entry that is to be put on the log now, if any.
    pub fn next_entry(&mut self) -> Option<Entry> {
        if self.under_way.is_some() || self.waiting.is_empty() {
            return None;
        }
        let batch = std::mem::take(&mut self.waiting);
        let entry = batch.entry();
        self.under_way = Some((self.told, batch));
        Some(entry)
    }

    /// What became of the entry under way. One that is not known to be on the log is put there again, with what came since:
    /// a second copy of it changes nothing.
    pub fn entry_settled(&mut self, is_logged: bool) {
        let Some((number, batch)) = self.under_way.take() else { return };
        if is_logged {
            self.logged = number;
            return;
        }
        let newer = std::mem::replace(&mut self.waiting, batch);
        self.waiting.departures.retain(|id, _| !newer.forgotten.contains(id));
        self.waiting.forgotten.retain(|id| !newer.departures.contains_key(id));
        self.waiting.departures.extend(newer.departures);
        self.waiting.forgotten.extend(newer.forgotten);
    }

    /// Finds what need not be remembered any more; `serves`: the register still has this life.
    pub fn forget_old(&mut self, now: u64, logged: &Departures, serves: impl Fn(&str) -> bool) {
        if now < self.look_at {
            return;
        }
        self.look_at = now + LOOK_MS;
        let ids = || logged.ended.iter().chain(logged.draining.keys());
        self.known_since.retain(|id, _| logged.get(id).is_some());
        for id in ids() {
            let since = self.known_since.entry(id.clone()).or_insert(now);
            if logged.draining.contains_key(id) && serves(id) {
                *since = now;
            }
        }
        let old = ids().filter(|id| now >= self.known_since[*id] + REMEMBERED_MS).cloned();
        let old: Vec<String> = old.collect();
        self.waiting.forgotten.extend(old);
        let surplus = logged.len().saturating_sub(MOST_DEPARTURES + self.waiting.forgotten.len());
        let mut by_age: Vec<(bool, u64, &String)> =
            ids().map(|id| (logged.draining.contains_key(id), self.known_since[id], id)).collect();
        by_age.sort_unstable();
        self.waiting.forgotten.extend(by_age.iter().take(surplus).map(|(.., id)| (*id).clone()));
    }
}
