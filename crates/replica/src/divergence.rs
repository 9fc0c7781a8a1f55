//! A member whose state came apart from the log's: a difference on the log made another document here than where it was
//! proposed.
//!
//! It says so, and from then on
//! 1. applies nothing more; what comes is held, in the log's order,
//! 2. doesn't lead: it resigns, whenever it is elected, and confirms no read,
//! 3. takes no snapshot, so that its disk keeps the last state that was right and the entries since,
//! 4. asks the leader for its state whole, with its next watch call, and goes on from that.
//!
//! Its log is sound, so it votes and vouches for entries as before. A snapshot from the leader ends it, too.

use crate::effects::Event;
use crate::replica::Replica;
use crate::state::{Entry, Outcome, ReplicatedState};
use nickeljunction_messages::StateTransfer;
use nickeljunction_registry::ConfigHistory;
use std::collections::VecDeque;

/// Entries that are held at most. Beyond that the oldest go, and only a newer state will do.
const MOST_HELD: usize = 4_096;

/// What is kept while the state is apart.
#[derive(Debug, Default)]
pub(crate) struct Divergence {
    /// Entries that were not applied, with their indexes.
    held: VecDeque<(u64, Entry)>,
    /// The leader's state, where its log goes further than what came here so far.
    restated: Option<StateTransfer>,
}

impl Divergence {
    fn hold(&mut self, index: u64, entry: Entry) {
        self.held.push_back((index, entry));
        if self.held.len() > MOST_HELD {
            self.held.pop_front();
        }
    }

    /// The state that a leader told goes on with what is held.
    fn follows(&self, after: u64) -> bool {
        self.held.front().is_some_and(|(first, _)| *first <= after + 1)
    }
}

impl Replica {
    /// This member's state isn't the log's, and it waits for the leader's.
    pub fn is_diverged(&self) -> bool {
        self.divergence.is_some()
    }

    /// The leader is to tell its state.
    pub(crate) fn wants_state(&self) -> bool {
        self.divergence.as_ref().is_some_and(|divergence| divergence.restated.is_none())
    }

    /// Takes an entry of the log; what it came to, `None` where this state is apart.
    pub(crate) fn apply(&mut self, now: u64, index: u64, entry: Entry) -> Option<Outcome> {
        if self.divergence.is_some() {
            self.hold(now, index, entry);
            return None;
        }
        // Only of these it can be told.
        let kept = matches!(entry, Entry::Change { .. }).then(|| entry.clone());
        match (self.state.apply_recording(entry, &mut self.changes), kept) {
            (Outcome::Diverged, Some(entry)) => {
                self.hold(now, index, entry);
                None
            }
            (outcome, _) => Some(outcome),
        }
    }

    /// An entry that can't be applied: the first one makes the divergence.
    pub(crate) fn hold(&mut self, now: u64, index: u64, entry: Entry) {
        if self.divergence.is_none() {
            self.out.events.push(Event::Diverged { index, version: self.state.version() });
            self.changes = ConfigHistory::default();
            self.book.resign(now);
        }
        self.divergence.get_or_insert_default().hold(index, entry);
    }

    /// The leader told its state; it is taken once all that is in it has come here.
    pub(crate) fn restated(&mut self, now: u64, restated: Option<StateTransfer>) {
        if let (Some(divergence), Some(restated)) = (&mut self.divergence, restated) {
            if divergence.follows(restated.last_index) {
                divergence.restated = Some(restated);
            }
        }
        self.rejoin(now);
    }

    /// Goes on from the leader's state, where that is due.
    pub(crate) fn rejoin(&mut self, now: u64) {
        let applied = self.applied;
        let due = |divergence: &mut Divergence| divergence.restated.take_if(|it| it.last_index <= applied);
        let Some(restated) = self.divergence.as_mut().and_then(due) else { return };
        let state = match ReplicatedState::from_text(&restated.state) {
            Ok(state) => state,
            Err(error) => {
                let error = error.to_string();
                return self.out.events.push(Event::SnapshotUnreadable { index: restated.last_index, error });
            }
        };
        self.state = state;
        self.out.events.push(Event::StateTransferred { last_index: restated.last_index });
        let held = self.divergence.take().map(|divergence| divergence.held).unwrap_or_default();
        for (index, entry) in held.into_iter().filter(|(index, _)| *index > restated.last_index) {
            self.apply(now, index, entry);
        }
    }
}
