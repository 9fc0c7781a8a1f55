//! Which places of the configuration the last versions changed, so that a watcher of one of them is told the difference.
//!
//! Only names are kept. What they hold is looked up in the newest document: whatever number of versions a watcher is
//! behind, a place goes out once, with what it holds now.

use nickeljunction_schema::{places_in, Difference, Place};
use serde_json::Value;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// Versions whose changes are kept: those of a minute and a half of the fastest storms (six changes a second).
const MOST_VERSIONS: usize = 512;
/// Places that are kept, over all versions: about 60 bytes each.
const MOST_PLACES: usize = 16_384;

/// What led from one version to the next.
#[derive(Debug, Clone)]
struct Step {
    from: u64,
    to: u64,
    places: Rc<BTreeSet<Place>>,
}

/// The last versions' changes, oldest first; each begins where the one before ended. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct ConfigHistory {
    steps: VecDeque<Step>,
    places: usize,
}

impl ConfigHistory {
    /// Version `to` was made of `from` by a difference in `places`.
    pub fn push(&mut self, from: u64, to: u64, places: BTreeSet<Place>) {
        if self.steps.back().is_some_and(|last| last.to != from) {
            self.clear();
        }
        self.places += places.len();
        self.steps.push_back(Step { from, to, places: Rc::new(places) });
        while self.steps.len() > MOST_VERSIONS || self.places > MOST_PLACES {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.places -= oldest.places.len();
        }
    }

    /// Nothing is known any more: the document came whole.
    pub fn clear(&mut self) {
        *self = ConfigHistory::default();
    }

    /// What leads from version `from` to `doc`, which is version `to`. `None`: that is not known, or is no less than the
    /// whole.
    pub fn since(&self, from: u64, to: u64, doc: &Value) -> Option<Difference> {
        if self.steps.back()?.to != to {
            return None;
        }
        let first = self.steps.iter().position(|step| step.from == from)?;
        let places: BTreeSet<&Place> = self.steps.range(first..).flat_map(|step| &*step.places).collect();
        (places.len() < places_in(doc)).then(|| Difference::of_places(doc, places))
    }
}
