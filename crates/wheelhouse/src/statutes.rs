//! What must outlive everything, as the agreed log makes it: the configuration with its version, the evacuated zones, and which
//! gateways' processes have units. No I/O and no clock: entries go in, one after the other and the same at every member.

use nickeljunction_logbook::Away;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Calls remembered by their digests, so that a repeated one gets its 200: operators repeat a call without a clear
/// answer for some seconds, and the fastest storms send three a second.
const REMEMBERED: usize = 64;

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A configuration on top of the version that it was made for.
    Put {
        /// The version that it builds on; 0: none.
        base: u64,
        /// Its own version.
        version: u64,
        /// Digest of the operator's call.
        digest: String,
        /// The document, whole.
        doc: Value,
    },
    /// Nothing more to this zone's servers.
    Evacuate(String),
    /// The zone is taken back.
    Return(String),
    /// Operators' order on who is a member of the core, on top of the orders before it.
    Core {
        /// How many orders were on the log when it was made.
        base: u64,
        /// It, whole.
        order: CoreOrder,
    },
    /// Processes of gateways that the counter may lend units to.
    Gateways {
        /// Those that come, by the number that each drew, with the names of their machines.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        come: BTreeMap<u64, String>,
        /// Those that have nothing in force any more.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        gone: Vec<u64>,
    },
}

/// What operators last ordered on who is a member of the core.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreOrder {
    /// The host that is to become a member.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub come: Option<String>,
    /// Hosts that are to be none, that of this order last.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub away: Vec<Away>,
}

/// What an entry came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// In force.
    Taken,
    /// Another version is in place.
    Conflict,
}

/// A call that was taken, by what identifies it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Taken {
    version: u64,
    digest: String,
}

/// The state that the log's entries make.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Statutes {
    version: u64,
    doc: Value,
    taken: VecDeque<Taken>,
    evacuated: BTreeSet<String>,
    /// Processes of gateways that units may be lent to, or were, with the names of their machines.
    #[serde(default)]
    gateways: BTreeMap<u64, String>,
    /// How many orders on the core's members were taken, and the last one.
    #[serde(default, skip_serializing_if = "is_none_yet")]
    core: (u64, CoreOrder),
}

fn is_none_yet(core: &(u64, CoreOrder)) -> bool {
    core.0 == 0
}

impl Statutes {
    /// Takes the next entry of the log.
    pub fn apply(&mut self, entry: Entry) -> Outcome {
        match entry {
            Entry::Put { base, version, digest, doc } => {
                if self.knows(version, &digest) {
                    return Outcome::Taken;
                }
                // Two operators' changes of one version may both be on the log: the first one wins, at every member.
                if base != self.version || version <= self.version {
                    return Outcome::Conflict;
                }
                (self.version, self.doc) = (version, doc);
                self.taken.push_back(Taken { version, digest });
                if self.taken.len() > REMEMBERED {
                    self.taken.pop_front();
                }
            }
            Entry::Evacuate(zone) => {
                self.evacuated.insert(zone);
            }
            Entry::Return(zone) => {
                self.evacuated.remove(&zone);
            }
            // Each order is made with the ones before it in view: of two made at once the first wins.
            Entry::Core { base, .. } if base != self.core.0 => return Outcome::Conflict,
            Entry::Core { base, order } => self.core = (base + 1, order),
            Entry::Gateways { come, gone } => {
                self.gateways.retain(|life, _| !gone.contains(life));
                self.gateways.extend(come);
            }
        }
        Outcome::Taken
    }

    /// This very call was taken before.
    pub fn knows(&self, version: u64, digest: &str) -> bool {
        self.taken.iter().any(|taken| taken.version == version && taken.digest == digest)
    }

    /// Version in force; 0: none yet.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The document in force; null before the first.
    pub fn doc(&self) -> &Value {
        &self.doc
    }

    /// Zones that are evacuated.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Processes of gateways that units may be lent to, or were and may still be in force: by the number that each drew,
    /// with the names of their machines.
    pub fn gateways(&self) -> &BTreeMap<u64, String> {
        &self.gateways
    }

    /// How many orders on the core's members were taken, and the last one.
    pub fn core(&self) -> (u64, &CoreOrder) {
        (self.core.0, &self.core.1)
    }

    /// For a snapshot of the log.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// From a snapshot of the log.
    ///
    /// # Errors
    /// The text was not made by [`Statutes::to_text`].
    pub fn from_text(text: &str) -> Result<Statutes, serde_json::Error> {
        serde_json::from_str(text)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn put(base: u64, version: u64, digest: &str) -> Entry {
        Entry::Put { base, version, digest: digest.into(), doc: Value::from(version) }
    }

    #[test]
    fn of_two_changes_on_one_version_the_first_on_the_log_wins_and_its_repeat_is_taken() {
        let mut state = Statutes::default();
        assert_eq!(state.apply(put(0, 4, "a")), Outcome::Taken);
        assert_eq!(state.apply(put(4, 7, "b")), Outcome::Taken);
        assert_eq!(state.apply(put(4, 9, "c")), Outcome::Conflict);
        assert_eq!(state.apply(put(4, 7, "b")), Outcome::Taken, "the very same call once more");
        assert_eq!(state.apply(put(4, 7, "d")), Outcome::Conflict, "the same version, another call");
        assert_eq!(state.apply(put(7, 6, "e")), Outcome::Conflict, "versions only rise");
        assert_eq!((state.version(), state.doc()), (7, &Value::from(7)));
    }

    #[test]
    fn a_snapshot_brings_all_of_it_back() {
        let mut state = Statutes::default();
        state.apply(put(0, 4, "a"));
        state.apply(Entry::Evacuate("z1".into()));
        state.apply(Entry::Evacuate("z2".into()));
        state.apply(Entry::Return("z1".into()));
        let come = |life: u64| BTreeMap::from([(life, format!("edge-{life}"))]);
        state.apply(Entry::Gateways { come: come(u64::MAX), gone: Vec::new() });
        state.apply(Entry::Gateways { come: come(8), gone: vec![u64::MAX] });
        assert!(!state.to_text().contains("core"), "where nobody ordered, snapshots are as they were");
        let order =
            CoreOrder { come: Some("h4".into()), away: vec![Away { host: "h1".into(), after: None }] };
        assert_eq!(state.apply(Entry::Core { base: 0, order: order.clone() }), Outcome::Taken);
        let late = Entry::Core { base: 0, order: CoreOrder::default() };
        assert_eq!(state.apply(late), Outcome::Conflict, "it was made without the other one in view");
        let mut back = Statutes::from_text(&state.to_text()).expect("own text");
        assert_eq!(back.core(), (1, &order));
        assert_eq!(back, state);
        assert!(back.evacuated().iter().eq(["z2"]));
        assert_eq!(back.gateways(), &come(8));
        assert_eq!(back.apply(put(0, 4, "a")), Outcome::Taken, "repeats are known after a snapshot, too");
        assert!(Statutes::from_text("{").is_err());
    }
}
