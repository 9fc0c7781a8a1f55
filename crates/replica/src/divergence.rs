//! Recovery of a member whose state has diverged from the log: a difference on the log produced another document here than
//! at its proposer.
//!
//! The member reports the divergence. From then on it
//! 1. applies no entries, but holds them in the log's order,
//! 2. doesn't lead: it resigns whenever it is elected, and confirms no read,
//! 3. takes no snapshot, so that its disk keeps the last correct state and the entries since,
//! 4. requests the leader's whole state with its next watch call, and continues from that.
//!
//! Its log is sound, so it votes and acknowledges entries as before. A snapshot from the leader also ends the divergence.

use crate::effects::Event;
use crate::replica::Replica;
use crate::state::{Entry, Outcome, ReplicatedState};
use nickeljunction_messages::StateTransfer;
use nickeljunction_registry::ConfigHistory;
use std::collections::VecDeque;

/// Most entries held. Beyond that the oldest are dropped, and only a newer state of the leader can be used.
const MAX_HELD_ENTRIES: usize = 4_096;

/// Kept while the state is diverged.
#[derive(Debug, Default)]
pub(crate) struct Divergence {
    /// Entries not yet applied, with their indexes.
    held: VecDeque<(u64, Entry)>,
    /// The leader's state, if it includes entries that are not committed here yet.
    transfer: Option<StateTransfer>,
}

impl Divergence {
    fn hold(&mut self, index: u64, entry: Entry) {
        self.held.push_back((index, entry));
        if self.held.len() > MAX_HELD_ENTRIES {
            self.held.pop_front();
        }
    }

    /// Whether the held entries continue a state that ends at this index without a gap.
    fn continues(&self, last_index: u64) -> bool {
        self.held.front().is_some_and(|(first, _)| *first <= last_index + 1)
    }
}

impl Replica {
    /// This member's state has diverged from the log, and it waits for the leader's state.
    pub fn is_diverged(&self) -> bool {
        self.divergence.is_some()
    }

    /// Whether the next watch call has to request the leader's state.
    pub(crate) fn needs_state_transfer(&self) -> bool {
        self.divergence.as_ref().is_some_and(|divergence| divergence.transfer.is_none())
    }

    /// Applies an entry of the log; `None`: the state is diverged, and the entry is held.
    pub(crate) fn apply(&mut self, now: u64, index: u64, entry: Entry) -> Option<Outcome> {
        if self.divergence.is_some() {
            self.hold(now, index, entry);
            return None;
        }
        // Only these entries can reveal a divergence.
        let retained = matches!(entry, Entry::Change { .. }).then(|| entry.clone());
        match (self.state.apply_recording(entry, &mut self.changes), retained) {
            (Outcome::Diverged, Some(entry)) => {
                self.hold(now, index, entry);
                None
            }
            (outcome, _) => Some(outcome),
        }
    }

    /// Holds an entry that can't be applied. The first such entry begins the divergence.
    pub(crate) fn hold(&mut self, now: u64, index: u64, entry: Entry) {
        if self.divergence.is_none() {
            self.effects.events.push(Event::Diverged { index, version: self.state.version() });
            self.changes = ConfigHistory::default();
            self.consensus.resign(now);
        }
        self.divergence.get_or_insert_default().hold(index, entry);
    }

    /// Receives the leader's state, which is installed once all entries that it includes are committed here.
    pub(crate) fn receive_state_transfer(&mut self, now: u64, transfer: Option<StateTransfer>) {
        if let (Some(divergence), Some(transfer)) = (&mut self.divergence, transfer) {
            if divergence.continues(transfer.last_index) {
                divergence.transfer = Some(transfer);
            }
        }
        self.install_state_transfer(now);
    }

    /// Continues from the leader's state, if it was received and all its entries are committed here.
    pub(crate) fn install_state_transfer(&mut self, now: u64) {
        let applied_index = self.applied_index;
        let due = |divergence: &mut Divergence| {
            divergence.transfer.take_if(|transfer| transfer.last_index <= applied_index)
        };
        let Some(transfer) = self.divergence.as_mut().and_then(due) else { return };
        let state = match ReplicatedState::from_text(&transfer.state) {
            Ok(state) => state,
            Err(error) => {
                let error = error.to_string();
                return self
                    .effects
                    .events
                    .push(Event::SnapshotUnreadable { index: transfer.last_index, error });
            }
        };
        self.state = state;
        self.effects.events.push(Event::StateTransferred { last_index: transfer.last_index });
        let held = self.divergence.take().map(|divergence| divergence.held).unwrap_or_default();
        for (index, entry) in held.into_iter().filter(|(index, _)| *index > transfer.last_index) {
            self.apply(now, index, entry);
        }
    }
}
