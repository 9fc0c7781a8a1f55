//! Which places of the configuration document the last versions changed, so that a watcher that has one of these versions
//! receives a difference instead of the whole document.
//!
//! Only the names of the places are kept. Their values are read from the newest document: however many versions a watcher
//! is behind, it receives each place once, with its newest value.

use nickeljunction_schema::{places_in, Difference, Place};
use serde_json::Value;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// Versions whose changes are kept: a minute and a half at six changes a second, the fastest rate expected.
const MAX_VERSIONS: usize = 512;
/// Places that are kept over all versions, about 60 bytes each.
const MAX_PLACES: usize = 16_384;

/// The change from one version to the next.
#[derive(Debug, Clone)]
struct VersionChange {
    from: u64,
    to: u64,
    places: Rc<BTreeSet<Place>>,
}

/// The changes of the last versions, oldest first. Each starts from the version that the one before it led to. Cheap to
/// clone.
#[derive(Debug, Clone, Default)]
pub struct ConfigHistory {
    changes: VecDeque<VersionChange>,
    /// Number of places over all changes.
    place_count: usize,
}

impl ConfigHistory {
    /// Adds the change that made version `to` from version `from` by changing `places`.
    pub fn push(&mut self, from: u64, to: u64, places: BTreeSet<Place>) {
        if self.changes.back().is_some_and(|last| last.to != from) {
            self.clear();
        }
        self.place_count += places.len();
        self.changes.push_back(VersionChange { from, to, places: Rc::new(places) });
        while self.changes.len() > MAX_VERSIONS || self.place_count > MAX_PLACES {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.place_count -= oldest.places.len();
        }
    }

    /// Removes all changes, because the document was replaced as a whole.
    pub fn clear(&mut self) {
        *self = ConfigHistory::default();
    }

    /// The difference from version `from` to `doc`, which is version `to`. `None`: the changes between them are not
    /// known, or touch at least as many places as the whole document has.
    pub fn since(&self, from: u64, to: u64, doc: &Value) -> Option<Difference> {
        if self.changes.back()?.to != to {
            return None;
        }
        let first = self.changes.iter().position(|change| change.from == from)?;
        let places: BTreeSet<&Place> =
            self.changes.range(first..).flat_map(|change| &*change.places).collect();
        (places.len() < places_in(doc)).then(|| Difference::of_places(doc, places))
    }
}
