//! Decides when the leader closes a generation and when it removes one.

use crate::entry::OperationsEntry;
use crate::table::OperationTable;
use std::collections::BTreeMap;

/// Records are kept for this time beyond the window, ms: a request may be sent some seconds after its claim was
/// granted.
pub const RETENTION_MARGIN_MS: u64 = 30_000;
/// Number of generations that start within one window.
const GENERATIONS_PER_WINDOW: u64 = 4;
/// Minimum time for which a generation stays open, ms.
const MIN_OPEN_MS: u64 = 1_000;

/// Age of a closed generation, as measured by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationAge {
    /// Time since the leader first saw it closed, ms: its claims are at least this old.
    pub closed_ms: u64,
    /// Time until it may be forgotten, ms; it must also be the oldest generation by then.
    pub forgotten_in_ms: u64,
}

/// Measures the age of generations with the leader's own monotonic clock, from the start of its leadership.
#[derive(Debug, Clone)]
pub struct GenerationClock {
    window_ms: u64,
    /// The open generation, and when this leader first saw claims in it.
    open: Option<(u64, u64)>,
    /// When this leader first saw each generation closed.
    closed: BTreeMap<u64, u64>,
}

impl GenerationClock {
    /// The clock of a new leader. Two requests with the same key within `window_ms` are the same operation.
    pub fn new(window_ms: u64) -> GenerationClock {
        GenerationClock { window_ms, open: None, closed: BTreeMap::new() }
    }

    /// The entry to propose now, if a generation must be closed or forgotten.
    pub fn due_entry(&mut self, now: u64, table: &OperationTable) -> Option<OperationsEntry> {
        self.observe(now, table);
        let entry = OperationsEntry {
            close: self.generation_to_close(now),
            forget: self.generation_to_forget(now),
            ..Default::default()
        };
        (entry != OperationsEntry::default()).then_some(entry)
    }

    /// Time since this leader first saw the oldest generation closed, ms.
    pub fn oldest_closed_ms(&self, now: u64) -> Option<u64> {
        self.closed.values().next().map(|since| now.saturating_sub(*since))
    }

    /// Age of a generation; `None` if it is open or if this leader hasn't seen it closed yet.
    pub fn age(&self, now: u64, generation: u64) -> Option<GenerationAge> {
        let closed_ms = now.saturating_sub(*self.closed.get(&generation)?);
        let forgotten_in_ms = (self.window_ms + RETENTION_MARGIN_MS).saturating_sub(closed_ms);
        Some(GenerationAge { closed_ms, forgotten_in_ms })
    }

    fn observe(&mut self, now: u64, table: &OperationTable) {
        let open = table.open_generation();
        if self.open.is_none_or(|(generation, _)| generation != open) {
            self.open = table.open_has_records().then_some((open, now));
        }
        self.closed.retain(|generation, _| table.closed_generations().contains(generation));
        for generation in table.closed_generations() {
            self.closed.entry(generation).or_insert(now);
        }
    }

    fn generation_to_close(&self, now: u64) -> Option<u64> {
        let open_ms = (self.window_ms / GENERATIONS_PER_WINDOW).max(MIN_OPEN_MS);
        self.open.filter(|(_, since)| now >= since + open_ms).map(|(generation, _)| generation)
    }

    fn generation_to_forget(&self, now: u64) -> Option<u64> {
        let (oldest, since) = self.closed.first_key_value()?;
        (now >= since + self.window_ms + RETENTION_MARGIN_MS).then_some(*oldest)
    }
}
