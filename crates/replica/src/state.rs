//! The replicated state: the configuration with its version, the evacuated zones, tenants' trials, membership orders,
//! servers' departures, keyed operations, and the gateway processes that may hold units. It has no I/O and no clock: every
//! member applies the same entries in the same order.

use crate::change_history::{ChangeHistory, ChangeStatus, LegacyRecord};
use crate::departures::Departures;
use nickeljunction_consensus::Exclusion;
use nickeljunction_operations::{OperationTable, OperationsEntry};
use nickeljunction_registry::ConfigHistory;
use nickeljunction_schema::{Difference, DocumentDigest};
use serde::{Deserialize, Serialize, Serializer};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A configuration, built on a base version.
    Put {
        /// The version that it builds on; 0: none.
        base: u64,
        /// The new version.
        version: u64,
        /// Digest of the operator's call.
        digest: String,
        /// The whole document.
        doc: Value,
    },
    /// A configuration as a difference from the document of its base version.
    Change {
        /// The version that it builds on.
        base: u64,
        /// The new version.
        version: u64,
        /// Digest of the operator's call.
        digest: String,
        /// The difference.
        change: Difference,
        /// Digest of the resulting document at the proposer.
        result: DocumentDigest,
    },
    /// A zone's evacuation begins: no more requests go to its servers.
    Evacuate(String),
    /// A zone's evacuation ends.
    Return(String),
    /// An operator's order on the core's membership.
    Core {
        /// Number of orders that were applied when this one was made.
        base: u64,
        /// The order.
        order: MembershipOrder,
    },
    /// A tenant's trial lapses, is restored, or enters its next stage.
    Trial {
        /// Name of the tenant.
        tenant: String,
        /// The step that the trial was at when this entry was made; 0: none.
        base: u64,
        /// The change of the trial.
        order: TrialOrder,
        /// Number of stages, by the proposer's configuration.
        #[serde(rename = "most")]
        stage_count: u32,
    },
    /// Changes the list of gateway processes that the counter may lend units to.
    Gateways {
        /// Added processes by their random number, with the names of their machines.
        #[serde(rename = "come", default, skip_serializing_if = "BTreeMap::is_empty")]
        added: BTreeMap<u64, String>,
        /// Removed processes: they have no units in force any more.
        #[serde(rename = "gone", default, skip_serializing_if = "Vec::is_empty")]
        removed: Vec<u64>,
    },
    /// Departures of servers.
    Departures {
        /// Draining servers by id, with the number of the call that announced it.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        draining: BTreeMap<String, u64>,
        /// Servers whose process has ended.
        #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
        ended: BTreeSet<String>,
        /// Servers whose departure is forgotten.
        #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
        forgotten: BTreeSet<String>,
    },
    /// Claims of keyed operations, and the ends of their generations.
    Operations(OperationsEntry),
}

impl Entry {
    /// Whether the entry changes nothing that the register sends to gateways, servers or other members.
    pub fn is_unpublished(&self) -> bool {
        matches!(self, Entry::Operations(_))
    }
}

/// The membership that operators have ordered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipOrder {
    /// The host that is to become a member, if any.
    #[serde(rename = "come", default, skip_serializing_if = "Option::is_none")]
    pub requested_host: Option<String>,
    /// Hosts that must not be members. That of the newest order is last.
    #[serde(rename = "away", default, skip_serializing_if = "Vec::is_empty")]
    pub excluded: Vec<Exclusion>,
}

/// A change of a tenant's trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrialOrder {
    /// The trial lapses from now on, and enters the first stage at once.
    Lapse,
    /// The trial is restored from now on, and goes back by one stage at once.
    Restore,
    /// The trial enters the next stage in its direction, as the time of the current one is over.
    Stage,
}

/// The state of a tenant's trial.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Rises with each change. It never falls, even if the tenant is removed: gateways only accept higher steps.
    pub step: u64,
    /// Whether the trial lapses; otherwise it is being restored, or it is restored.
    pub lapses: bool,
    /// Stage in force; 0: not throttled.
    pub stage: u32,
}

impl Trial {
    /// The trial after an order, with this number of stages.
    fn after(self, order: TrialOrder, stage_count: u32) -> Trial {
        let previous = self.stage.min(stage_count).saturating_sub(1);
        let (lapses, stage) = match order {
            // It goes in this direction already.
            TrialOrder::Restore if !self.lapses => return self,
            TrialOrder::Lapse => (true, self.stage.max(1)),
            TrialOrder::Restore => (false, previous),
            TrialOrder::Stage if self.lapses => (true, (self.stage + 1).min(stage_count.max(self.stage))),
            TrialOrder::Stage => (false, previous),
        };
        let changed = (lapses, stage) != (self.lapses, self.stage);
        Trial { step: self.step + u64::from(changed), lapses, stage }
    }
}

/// The order that a document gives for a tenant's trial, if any.
fn trial_order_in(doc: &Value, tenant: &str) -> Option<TrialOrder> {
    match doc["trials"][tenant]["state"].as_str()? {
        "lapsed" => Some(TrialOrder::Lapse),
        "restored" | "running" => Some(TrialOrder::Restore),
        _ => None,
    }
}

/// The outcome of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force.
    Taken,
    /// It was built on another version, order or step than the one in force.
    Conflict,
    /// It produced another document here than at its proposer: this state, or the proposer's, doesn't match the log. The state
    /// is unchanged.
    Diverged,
}

/// A document with its digest. The digest is not serialized, but computed when the document is read.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(from = "Value")]
struct DigestedDocument {
    doc: Value,
    digest: DocumentDigest,
}

impl Serialize for DigestedDocument {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.doc.serialize(serializer)
    }
}

impl From<Value> for DigestedDocument {
    fn from(doc: Value) -> DigestedDocument {
        DigestedDocument { digest: DocumentDigest::of(&doc), doc }
    }
}

/// The state that results from the entries of the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    version: u64,
    doc: DigestedDocument,
    /// The accepted changes as older program versions stored them. They require the field, which is always empty here.
    #[serde(rename = "taken", default)]
    legacy_changes: Vec<LegacyRecord>,
    /// Accepted changes of the configuration.
    #[serde(rename = "orders", default)]
    changes: ChangeHistory,
    evacuated: BTreeSet<String>,
    /// Gateway processes that may hold units, with the names of their machines.
    #[serde(default)]
    gateways: BTreeMap<u64, String>,
    /// Number of membership orders that were applied, and the last one.
    #[serde(rename = "core", default, skip_serializing_if = "has_no_order")]
    membership: (u64, MembershipOrder),
    /// All trials that ever changed, by tenant.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    trials: BTreeMap<String, Trial>,
    /// Servers that are leaving or have left recently.
    #[serde(default, skip_serializing_if = "Departures::is_empty")]
    departures: Departures,
    /// Claimed keyed operations.
    #[serde(default, skip_serializing_if = "OperationTable::is_empty")]
    operations: OperationTable,
}

fn has_no_order(membership: &(u64, MembershipOrder)) -> bool {
    membership.0 == 0
}

impl ReplicatedState {
    /// Applies the next entry of the log.
    pub fn apply(&mut self, entry: Entry) -> Outcome {
        self.apply_recording(entry, &mut ConfigHistory::default())
    }

    /// As [`ReplicatedState::apply`]; also records in `changes` which places of the document have changed.
    pub fn apply_recording(&mut self, entry: Entry, changes: &mut ConfigHistory) -> Outcome {
        match entry {
            Entry::Put { base, version, digest, doc } => {
                if let Some(outcome) = self.decide(base, version, &digest) {
                    return outcome;
                }
                let before = std::mem::replace(&mut self.doc, doc.into());
                changes.clear();
                self.put_in_force(version, &digest, &before.doc["trials"]);
            }
            Entry::Change { base, version, digest, change, result } => {
                if let Some(outcome) = self.decide(base, version, &digest) {
                    return outcome;
                }
                let DigestedDocument { doc, digest: current } = &mut self.doc;
                let places = change.places(doc);
                let undo = Difference::of_places(doc, &places);
                let trials = doc["trials"].clone();
                *current = change.apply(doc, *current);
                if *current != result {
                    *current = undo.apply(doc, *current);
                    return Outcome::Diverged;
                }
                changes.push(base, version, places);
                self.put_in_force(version, &digest, &trials);
            }
            Entry::Evacuate(zone) => {
                self.evacuated.insert(zone);
            }
            Entry::Return(zone) => {
                self.evacuated.remove(&zone);
            }
            // An order is made on top of those before it: of two concurrent ones the first is applied.
            Entry::Core { base, .. } if base != self.membership.0 => return Outcome::Conflict,
            Entry::Core { base, order } => self.membership = (base + 1, order),
            // Of an operator's order and a concurrent stage proposed by a leader, the first is applied.
            Entry::Trial { tenant, base, .. } if base != self.trial(&tenant).step => {
                return Outcome::Conflict
            }
            // A configuration has removed the tenant while the order was in flight.
            Entry::Trial { tenant, .. } if !self.has_tenant(&tenant) => return Outcome::Conflict,
            Entry::Trial { tenant, order, stage_count, .. } => {
                self.apply_trial_order(&tenant, order, stage_count)
            }
            Entry::Gateways { added, removed } => {
                self.gateways.retain(|incarnation, _| !removed.contains(incarnation));
                self.gateways.extend(added);
            }
            Entry::Departures { draining, ended, forgotten } => {
                self.departures.apply(draining, ended, &forgotten);
            }
            Entry::Operations(entry) => self.operations.apply(&entry),
        }
        Outcome::Taken
    }

    /// The outcome of a configuration as far as its version and digest decide it; `None`: it is to be applied.
    fn decide(&self, base: u64, version: u64, digest: &str) -> Option<Outcome> {
        if self.was_accepted(version, digest) {
            return Some(Outcome::Taken);
        }
        // Changes of two operators that build on the same version may both be on the log: every member applies the first.
        (base != self.version || version <= self.version).then_some(Outcome::Conflict)
    }

    /// Puts the document that is already in `doc` in force, by an operator's call with this digest. `trials`: the trials of
    /// the previous document.
    fn put_in_force(&mut self, version: u64, digest: &str, trials: &Value) {
        self.version = version;
        self.apply_document_trials(trials);
        self.changes.add(version, digest);
    }

    fn apply_trial_order(&mut self, tenant: &str, order: TrialOrder, stage_count: u32) {
        let (before, after) = (self.trial(tenant), self.trial(tenant).after(order, stage_count));
        if before != after {
            self.trials.insert(tenant.to_owned(), after);
        }
    }

    /// Applies the trial orders of the document in force that differ from those of the document before, and restores the
    /// trials of removed tenants.
    fn apply_document_trials(&mut self, before: &Value) {
        let named = self.doc.doc["trials"].as_object().into_iter().flat_map(|trials| trials.keys());
        let orders: Vec<(String, TrialOrder)> = named
            .filter(|tenant| before[tenant]["state"] != self.doc.doc["trials"][tenant]["state"])
            .filter_map(|tenant| Some((tenant.clone(), trial_order_in(&self.doc.doc, tenant)?)))
            .collect();
        for (tenant, order) in orders {
            self.apply_trial_order(&tenant, order, u32::MAX);
        }
        // The step is kept and raised: if a tenant of this name is added again, gateways accept only higher steps.
        let tenants = &self.doc.doc["tenants"];
        for (_, trial) in self.trials.iter_mut().filter(|(tenant, _)| tenants.get(tenant.as_str()).is_none())
        {
            if (trial.lapses, trial.stage) != (false, 0) {
                *trial = Trial { step: trial.step + 1, ..Trial::default() };
            }
        }
    }

    /// All trials that ever changed, by tenant.
    pub fn trials(&self) -> &BTreeMap<String, Trial> {
        &self.trials
    }

    /// The state of a tenant's trial.
    pub fn trial(&self, tenant: &str) -> Trial {
        self.trials.get(tenant).copied().unwrap_or_default()
    }

    /// Whether the configuration in force has this tenant.
    pub fn has_tenant(&self, tenant: &str) -> bool {
        self.doc.doc["tenants"].get(tenant).is_some()
    }

    /// Whether this same change is remembered as accepted.
    pub fn was_accepted(&self, version: u64, digest: &str) -> bool {
        self.change_status(version, digest) == ChangeStatus::Taken
    }

    /// What is known of a change with this version and digest.
    pub fn change_status(&self, version: u64, digest: &str) -> ChangeStatus {
        self.changes.status(version, digest)
    }

    /// Version in force; 0: none yet.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The document in force; null before the first.
    pub fn doc(&self) -> &Value {
        &self.doc.doc
    }

    /// Digest of the document in force.
    pub fn document_digest(&self) -> DocumentDigest {
        self.doc.digest
    }

    /// Zones that are evacuated.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Gateway processes that may hold units, by their random number, with the names of their machines.
    pub fn gateways(&self) -> &BTreeMap<u64, String> {
        &self.gateways
    }

    /// Servers that are leaving or have left recently: no leader lets requests be routed to them.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Claimed keyed operations.
    pub fn operations(&self) -> &OperationTable {
        &self.operations
    }

    /// Number of membership orders that were applied, and the last one.
    pub fn membership_order(&self) -> (u64, &MembershipOrder) {
        (self.membership.0, &self.membership.1)
    }

    /// Serializes the state for a snapshot of the log.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses the state of a snapshot of the log.
    ///
    /// # Errors
    /// The text was not made by [`ReplicatedState::to_text`].
    pub fn from_text(text: &str) -> Result<ReplicatedState, serde_json::Error> {
        let mut state: ReplicatedState = serde_json::from_str(text)?;
        state.changes.import_legacy(&std::mem::take(&mut state.legacy_changes));
        Ok(state)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn put(base: u64, version: u64, digest: &str) -> Entry {
        Entry::Put { base, version, digest: digest.into(), doc: Value::from(version) }
    }

    #[test]
    fn the_first_of_two_changes_on_one_version_is_applied_and_its_repeat_is_accepted() {
        let mut state = ReplicatedState::default();
        assert_eq!(state.apply(put(0, 4, "a")), Outcome::Taken);
        assert_eq!(state.apply(put(4, 7, "b")), Outcome::Taken);
        assert_eq!(state.apply(put(4, 9, "c")), Outcome::Conflict);
        assert_eq!(state.apply(put(4, 7, "b")), Outcome::Taken, "a repeat of the same call");
        assert_eq!(state.apply(put(4, 7, "d")), Outcome::Conflict, "the same version, another call");
        assert_eq!(state.apply(put(7, 6, "e")), Outcome::Conflict, "versions only rise");
        assert_eq!((state.version(), state.doc()), (7, &Value::from(7)));
    }

    #[test]
    fn a_snapshot_restores_the_whole_state() {
        let mut state = ReplicatedState::default();
        state.apply(put(0, 4, "a"));
        state.apply(Entry::Evacuate("z1".into()));
        state.apply(Entry::Evacuate("z2".into()));
        state.apply(Entry::Return("z1".into()));
        let come = |life: u64| BTreeMap::from([(life, format!("edge-{life}"))]);
        state.apply(Entry::Gateways { added: come(u64::MAX), removed: Vec::new() });
        state.apply(Entry::Gateways { added: come(8), removed: vec![u64::MAX] });
        assert!(!state.to_text().contains("core"), "snapshots without an order have the old format");
        let order = MembershipOrder {
            requested_host: Some("h4".into()),
            excluded: vec![Exclusion { host: "h1".into(), after: None }],
        };
        assert_eq!(state.apply(Entry::Core { base: 0, order: order.clone() }), Outcome::Taken);
        let outdated = Entry::Core { base: 0, order: MembershipOrder::default() };
        assert_eq!(state.apply(outdated), Outcome::Conflict, "it was made without the first order");
        let mut back = ReplicatedState::from_text(&state.to_text()).expect("own text");
        assert_eq!(back.membership_order(), (1, &order));
        assert_eq!(back, state);
        assert!(back.evacuated().iter().eq(["z2"]));
        assert_eq!(back.gateways(), &come(8));
        assert_eq!(
            back.apply(put(0, 4, "a")),
            Outcome::Taken,
            "repeats are also recognised after a snapshot"
        );
        assert!(ReplicatedState::from_text("{").is_err());
    }

    fn put_trial(base: u64, version: u64, tenants: &[&str], state: Option<&str>) -> Entry {
        let named: BTreeMap<&str, Value> = tenants.iter().map(|name| (*name, Value::Null)).collect();
        let trials = state.map(|state| serde_json::json!({ "peach": { "state": state } }));
        let doc = serde_json::json!({ "tenants": named, "trials": trials });
        Entry::Put { base, version, digest: version.to_string(), doc }
    }

    fn trial(base: u64, order: TrialOrder) -> Entry {
        Entry::Trial { tenant: "peach".into(), base, order, stage_count: 3 }
    }

    /// Step, whether it lapses, and stage of the trial.
    fn trial_of(state: &ReplicatedState) -> (u64, bool, u32) {
        let trial = state.trial("peach");
        (trial.step, trial.lapses, trial.stage)
    }

    #[test]
    fn a_trial_changes_by_one_stage_at_a_time_and_the_first_of_two_entries_on_one_step_is_applied() {
        use TrialOrder::{Lapse, Restore, Stage};
        let mut state = ReplicatedState::default();
        assert_eq!(state.apply(trial(0, Lapse)), Outcome::Conflict, "no such tenant");
        state.apply(put_trial(0, 1, &["peach"], None));
        assert!(
            !state.to_text().contains("\"lapses\""),
            "snapshots without a changed trial have the old format"
        );
        assert_eq!((state.apply(trial(0, Restore)), trial_of(&state)), (Outcome::Taken, (0, false, 0)));
        assert_eq!((state.apply(trial(0, Stage)), trial_of(&state)), (Outcome::Taken, (0, false, 0)));
        for (base, order, expected) in [
            (0, Lapse, (1, true, 1)),
            (1, Lapse, (1, true, 1)),
            (1, Stage, (2, true, 2)),
            (2, Stage, (3, true, 3)),
            // The last stage stays.
            (3, Stage, (3, true, 3)),
            (3, Restore, (4, false, 2)),
            (4, Restore, (4, false, 2)),
            // Lapses again from the stage in force.
            (4, Lapse, (5, true, 2)),
            (5, Restore, (6, false, 1)),
            (6, Stage, (7, false, 0)),
            (7, Stage, (7, false, 0)),
        ] {
            assert_eq!(
                (state.apply(trial(base, order)), trial_of(&state)),
                (Outcome::Taken, expected),
                "{order:?}"
            );
        }
        assert_eq!((state.apply(trial(6, Lapse)), trial_of(&state)), (Outcome::Conflict, (7, false, 0)));
        let back = ReplicatedState::from_text(&state.to_text()).expect("own text");
        assert_eq!((trial_of(&back), &back), ((7, false, 0), &state));
    }

    #[test]
    fn a_document_orders_a_trial_only_if_it_differs_from_the_one_before() {
        let mut state = ReplicatedState::default();
        let mut put = |version: u64, tenants: &[&str], ordered: Option<&str>| {
            assert_eq!(state.apply(put_trial(version - 1, version, tenants, ordered)), Outcome::Taken);
            trial_of(&state)
        };
        assert_eq!(put(1, &["peach"], Some("running")), (0, false, 0));
        assert_eq!(put(2, &["peach"], Some("lapsed")), (1, true, 1));
        assert_eq!(
            put(3, &["peach", "plum"], Some("lapsed")),
            (1, true, 1),
            "its order is the same as before"
        );
        assert_eq!(put(4, &["peach"], None), (1, true, 1), "it has no order");
        assert_eq!(put(5, &["peach"], Some("restored")), (2, false, 0));
        assert_eq!(put(6, &["peach"], Some("lapsed")), (3, true, 1));
        assert_eq!(put(7, &["plum"], None), (4, false, 0), "the tenant is removed");
        assert_eq!(put(8, &["peach"], Some("lapsed")), (5, true, 1), "steps never fall");
        // After an operator's order, an unchanged document does not repeat its own.
        state.apply(trial(5, TrialOrder::Restore));
        state.apply(put_trial(8, 9, &["peach"], Some("lapsed")));
        assert_eq!(trial_of(&state), (6, false, 0));
    }

    #[test]
    fn a_trial_beyond_a_shortened_schedule_is_restored_from_its_last_stage() {
        let beyond = Trial { step: 9, lapses: true, stage: 6 };
        assert_eq!(beyond.after(TrialOrder::Stage, 2), beyond);
        assert_eq!(beyond.after(TrialOrder::Restore, 2), Trial { step: 10, lapses: false, stage: 1 });
    }
}
