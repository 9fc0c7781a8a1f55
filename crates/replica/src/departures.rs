//! Departures of servers on the replicated log.
//!
//! Once a server's departure (a drain or an end) is acknowledged, no later leader may route requests to it, whatever that
//! leader's copy of the register contains. So a departure is acknowledged only when it is on a majority's disks, and a
//! leader applies the departures on the log before its register answers any call.

use crate::state::Entry;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A departure is forgotten this long after a leader first knew of it, ms: none of the server's heartbeats can still be in
/// transit by then.
const RETENTION_MS: u64 = 60_000;
/// Time between two searches for departures to forget, ms.
const CLEANUP_INTERVAL_MS: u64 = 1_000;
/// Most departures in the replicated state. Beyond that ended servers are forgotten before draining ones, the oldest first.
const MAX_DEPARTURES: usize = 4_096;

/// How a server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// It announced this in the call with this number, and still serves.
    Draining {
        /// Number of that call; it rises with each call of a server process.
        call_seq: u64,
    },
    /// Its process has ended.
    Ended,
}

/// Departed servers by the id of their process, as recorded by the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    /// Draining servers, with the number of the call that announced it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    draining: BTreeMap<String, u64>,
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    ended: BTreeSet<String>,
}

impl Departures {
    /// Whether there are no departures.
    pub fn is_empty(&self) -> bool {
        self.draining.is_empty() && self.ended.is_empty()
    }

    /// Number of departures.
    pub fn len(&self) -> usize {
        self.draining.len() + self.ended.len()
    }

    /// The departure of the server with this id.
    pub fn get(&self, id: &str) -> Option<Departure> {
        if self.ended.contains(id) {
            return Some(Departure::Ended);
        }
        self.draining.get(id).map(|call_seq| Departure::Draining { call_seq: *call_seq })
    }

    /// Draining servers, with the number of the call that announced it.
    pub fn draining(&self) -> &BTreeMap<String, u64> {
        &self.draining
    }

    /// Servers whose process has ended.
    pub fn ended(&self) -> &BTreeSet<String> {
        &self.ended
    }

    /// Applies an entry of the log.
    pub fn apply(
        &mut self,
        draining: BTreeMap<String, u64>,
        ended: BTreeSet<String>,
        forgotten: &BTreeSet<String>,
    ) {
        self.draining.retain(|id, _| !forgotten.contains(id) && !ended.contains(id));
        self.ended.retain(|id| !forgotten.contains(id));
        let already_ended = &self.ended;
        self.draining.extend(draining.into_iter().filter(|(id, _)| !already_ended.contains(id)));
        self.ended.extend(ended);
    }
}

/// The contents of one entry.
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

/// Batches a leader's departures into log entries. One entry is in flight at a time, and departures that arrive meanwhile
/// share the next one.
#[derive(Debug, Clone, Default)]
pub struct DepartureLog {
    waiting: Batch,
    in_flight: Option<(u64, Batch)>,
    /// Number of the newest departure.
    last_number: u64,
    /// All departures up to this number are on the log.
    logged_up_to: u64,
    /// Since when this leader has known each departure on the log, ms.
    known_since: BTreeMap<String, u64>,
    /// Time of the next search for departures to forget, ms.
    next_cleanup: u64,
}

impl DepartureLog {
    /// Records that a server leaves. Returns the number up to which departures must be logged before the server's call is
    /// acknowledged.
    pub fn record(&mut self, id: &str, departure: Departure, logged: &Departures) -> u64 {
        let is_known = match logged.get(id) {
            Some(Departure::Ended) => true,
            Some(Departure::Draining { .. }) => departure != Departure::Ended,
            None => false,
        };
        if is_known && !self.waiting.forgotten.contains(id) {
            return 0;
        }
        self.waiting.forgotten.remove(id);
        self.waiting.departures.insert(id.to_owned(), departure);
        self.last_number += 1;
        self.last_number
    }

    /// Withdraws the departure of a draining server that is in service again, by a later call of the server.
    pub fn record_return(&mut self, id: &str) {
        self.waiting.departures.remove(id);
        self.waiting.forgotten.insert(id.to_owned());
    }

    /// All departures up to this number are on the log.
    pub fn is_logged(&self, number: u64) -> bool {
        self.logged_up_to >= number
    }

    /// The entry to propose now, if any.
    pub fn next_entry(&mut self) -> Option<Entry> {
        if self.in_flight.is_some() || self.waiting.is_empty() {
            return None;
        }
        let batch = std::mem::take(&mut self.waiting);
        let entry = batch.entry();
        self.in_flight = Some((self.last_number, batch));
        Some(entry)
    }

    /// Takes the result of the entry in flight. If it is not known to be on the log it is proposed again, merged with the
    /// departures since; applying it twice does no harm.
    pub fn entry_settled(&mut self, is_logged: bool) {
        let Some((number, batch)) = self.in_flight.take() else { return };
        if is_logged {
            self.logged_up_to = number;
            return;
        }
        let newer = std::mem::replace(&mut self.waiting, batch);
        self.waiting.departures.retain(|id, _| !newer.forgotten.contains(id));
        self.waiting.forgotten.retain(|id| !newer.departures.contains_key(id));
        self.waiting.departures.extend(newer.departures);
        self.waiting.forgotten.extend(newer.forgotten);
    }

    /// Finds the departures to forget. `is_registered`: whether the register still has this server.
    pub fn forget_old(&mut self, now: u64, logged: &Departures, is_registered: impl Fn(&str) -> bool) {
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + CLEANUP_INTERVAL_MS;
        let ids = || logged.ended.iter().chain(logged.draining.keys());
        self.known_since.retain(|id, _| logged.get(id).is_some());
        for id in ids() {
            let since = self.known_since.entry(id.clone()).or_insert(now);
            if logged.draining.contains_key(id) && is_registered(id) {
                *since = now;
            }
        }
        let expired = ids().filter(|id| now >= self.known_since[*id] + RETENTION_MS).cloned();
        let expired: Vec<String> = expired.collect();
        self.waiting.forgotten.extend(expired);
        let surplus = logged.len().saturating_sub(MAX_DEPARTURES + self.waiting.forgotten.len());
        let mut by_age: Vec<(bool, u64, &String)> =
            ids().map(|id| (logged.draining.contains_key(id), self.known_since[id], id)).collect();
        by_age.sort_unstable();
        self.waiting.forgotten.extend(by_age.iter().take(surplus).map(|(.., id)| (*id).clone()));
    }
}
