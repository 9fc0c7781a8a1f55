//! When a leader closes a generation, and when it has one forgotten.

use crate::entry::OperationsEntry;
use crate::table::OperationTable;
use std::collections::BTreeMap;

/// Records outlive the window by so much, ms: a request may be sent some seconds after its claim was granted.
pub const RETENTION_MARGIN_MS: u64 = 30_000;
/// Generations that begin in one window.
const GENERATIONS_A_WINDOW: u64 = 4;
/// Least time for which a generation is open, ms.
const LEAST_OPEN_MS: u64 = 1_000;

/// How old a closed generation is, as a leader has measured it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationAge {
    /// For how long the leader has known it to be closed, ms: its claims are at least so old.
    pub closed_ms: u64,
    /// Until it is due to be forgotten, ms, if the oldest one is by then.
    pub forgotten_in_ms: u64,
}

/// One leader's measure, by its own steady clock and from its own beginning.
#[derive(Debug, Clone)]
pub struct GenerationClock {
    window_ms: u64,
    /// The open generation, and since when this leader has known claims in it.
    open: Option<(u64, u64)>,
    /// Since when this leader has known each generation to be closed.
    closed: BTreeMap<u64, u64>,
}

impl GenerationClock {
    /// Of a leader that begins; two requests with one key that come within the window are one operation.
    pub fn new(window_ms: u64) -> GenerationClock {
        GenerationClock { window_ms, open: None, closed: BTreeMap::new() }
    }

    /// What is due now by the state of the log; to be put on the log.
    pub fn due_entry(&mut self, now: u64, table: &OperationTable) -> Option<OperationsEntry> {
        self.look(now, table);
        let entry =
            OperationsEntry { close: self.to_close(now), forget: self.to_forget(now), ..Default::default() };
        (entry != OperationsEntry::default()).then_some(entry)
    }

    /// For how long this leader has known the oldest generation to be closed, ms.
    pub fn oldest_closed_ms(&self, now: u64) -> Option<u64> {
        self.closed.values().next().map(|since| now.saturating_sub(*since))
    }

    /// How old a generation is; `None`: it is open, or this leader hasn't looked at it yet.
    pub fn age(&self, now: u64, generation: u64) -> Option<GenerationAge> {
        let closed_ms = now.saturating_sub(*self.closed.get(&generation)?);
        let forgotten_in_ms = (self.window_ms + RETENTION_MARGIN_MS).saturating_sub(closed_ms);
        Some(GenerationAge { closed_ms, forgotten_in_ms })
    }

    fn look(&mut self, now: u64, table: &OperationTable) {
        let open = table.open_generation();
        if self.open.is_none_or(|(known, _)| known != open) {
            self.open = table.open_has_records().then_some((open, now));
        }
        self.closed.retain(|generation, _| table.closed_generations().contains(generation));
        for generation in table.closed_generations() {
            self.closed.entry(generation).or_insert(now);
        }
    }

    fn to_close(&self, now: u64) -> Option<u64> {
        let open_ms = (self.window_ms / GENERATIONS_A_WINDOW).max(LEAST_OPEN_MS);
        self.open.filter(|(_, since)| now >= since + open_ms).map(|(open, _)| open)
    }

    fn to_forget(&self, now: u64) -> Option<u64> {
        let (oldest, since) = self.closed.first_key_value()?;
        (now >= since + self.window_ms + RETENTION_MARGIN_MS).then_some(*oldest)
    }
}
