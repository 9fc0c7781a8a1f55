//! What must outlive everything, as the agreed log makes it: the configuration with its version, the evacuated zones, tenants'
//! trials, and which gateways' processes have units. No I/O and no clock: entries go in, one after the other and the same at every member.

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
    /// The same as a difference to the document of the version that it was made for.
    Change {
        /// The version that it builds on.
        base: u64,
        /// Its own version.
        version: u64,
        /// Digest of the operator's call.
        digest: String,
        /// What differs.
        change: Difference,
        /// Digest of the document that results, by who proposed it.
        result: DocumentDigest,
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
        order: MembershipOrder,
    },
    /// A tenant's trial lapses, is restored, or goes on by a stage, on top of the step before.
    Trial {
        /// Whose.
        tenant: String,
        /// The step that it was made for; 0: none.
        base: u64,
        /// What is to become of it.
        order: TrialOrder,
        /// How many stages it has, by the configuration that who proposed this went by.
        #[serde(rename = "most")]
        stage_count: u32,
    },
    /// Processes of gateways that the counter may lend units to.
    Gateways {
        /// Those that come, by the number that each drew, with the names of their machines.
        #[serde(rename = "come", default, skip_serializing_if = "BTreeMap::is_empty")]
        added: BTreeMap<u64, String>,
        /// Those that have nothing in force any more.
        #[serde(rename = "gone", default, skip_serializing_if = "Vec::is_empty")]
        removed: Vec<u64>,
    },
    /// Servers that leave.
    Departures {
        /// Those that drain, by id, with the number of the call that said so.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        draining: BTreeMap<String, u64>,
        /// Those that ended.
        #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
        ended: BTreeSet<String>,
        /// Those whose departure need not be remembered any more.
        #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
        forgotten: BTreeSet<String>,
    },
    /// Claims of keyed operations.
    Operations(OperationsEntry),
}

impl Entry {
    /// It changes nothing that gateways, servers or other members are told.
    pub fn is_unpublished(&self) -> bool {
        matches!(self, Entry::Operations(_))
    }
}

/// What operators last ordered on who is a member of the core.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipOrder {
    /// The host that is to become a member.
    #[serde(rename = "come", default, skip_serializing_if = "Option::is_none")]
    pub requested_host: Option<String>,
    /// Hosts that are to be none, that of this order last.
    #[serde(rename = "away", default, skip_serializing_if = "Vec::is_empty")]
    pub excluded: Vec<Exclusion>,
}

/// What is to become of a tenant's trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrialOrder {
    /// It lapses from now on: the first stage at once.
    Lapse,
    /// It goes back from now on: by one stage at once.
    Restore,
    /// The next stage in its direction: the time of the last one is over.
    Stage,
}

/// How far a tenant's trial has lapsed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Rises with each change. It never falls, whatever becomes of the tenant: gateways only take higher ones.
    pub step: u64,
    /// It lapses; else it goes back, or has.
    pub lapses: bool,
    /// Stage in force; 0: full pace.
    pub stage: u32,
}

impl Trial {
    /// What an order makes of it, where there are so many stages; the same where it changes nothing.
    fn after(self, order: TrialOrder, most: u32) -> Trial {
        let back = self.stage.min(most).saturating_sub(1);
        let (lapses, stage) = match order {
            // The direction in force.
            TrialOrder::Restore if !self.lapses => return self,
            TrialOrder::Lapse => (true, self.stage.max(1)),
            TrialOrder::Restore => (false, back),
            TrialOrder::Stage if self.lapses => (true, (self.stage + 1).min(most.max(self.stage))),
            TrialOrder::Stage => (false, back),
        };
        let changed = (lapses, stage) != (self.lapses, self.stage);
        Trial { step: self.step + u64::from(changed), lapses, stage }
    }
}

/// What a document orders for a tenant's trial; `None`: nothing.
fn ordered(doc: &Value, tenant: &str) -> Option<TrialOrder> {
    match doc["trials"][tenant]["state"].as_str()? {
        "lapsed" => Some(TrialOrder::Lapse),
        "restored" | "running" => Some(TrialOrder::Restore),
        _ => None,
    }
}

/// What an entry came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// In force.
    Taken,
    /// Another version is in place.
    Conflict,
    /// What it makes here isn't what it made where it was proposed: this state, or the other one, is not the log's. Nothing
    /// was changed.
    Diverged,
}

/// A document with its digest, which is not written: it is made anew of what is read.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(from = "Value")]
struct DigestedDocument {
    doc: Value,
    digest: DocumentDigest,
}

impl Serialize for DigestedDocument {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        self.doc.serialize(to)
    }
}

impl From<Value> for DigestedDocument {
    fn from(doc: Value) -> DigestedDocument {
        DigestedDocument { digest: DocumentDigest::of(&doc), doc }
    }
}

/// The state that the log's entries make.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    version: u64,
    doc: DigestedDocument,
    /// As former programs kept it: they want the list, which stays empty here.
    #[serde(default)]
    taken: Vec<LegacyRecord>,
    /// Changes that were taken.
    #[serde(default)]
    orders: ChangeHistory,
    evacuated: BTreeSet<String>,
    /// Processes of gateways that units may be lent to, or were, with the names of their machines.
    #[serde(default)]
    gateways: BTreeMap<u64, String>,
    /// How many orders on the core's members were taken, and the last one.
    #[serde(default, skip_serializing_if = "is_none_yet")]
    core: (u64, MembershipOrder),
    /// Trials by tenant, all that ever changed.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    trials: BTreeMap<String, Trial>,
    /// Servers that leave, or left a short time ago.
    #[serde(default, skip_serializing_if = "Departures::is_empty")]
    departures: Departures,
    /// Keyed operations that were claimed.
    #[serde(default, skip_serializing_if = "OperationTable::is_empty")]
    operations: OperationTable,
}

fn is_none_yet(core: &(u64, MembershipOrder)) -> bool {
    core.0 == 0
}

impl ReplicatedState {
    /// Takes the next entry of the log.
    pub fn apply(&mut self, entry: Entry) -> Outcome {
        self.apply_recording(entry, &mut ConfigHistory::default())
    }

    /// The same; which places of the document it changed is added to `changes`.
    pub fn apply_recording(&mut self, entry: Entry, changes: &mut ConfigHistory) -> Outcome {
        match entry {
            Entry::Put { base, version, digest, doc } => {
                if let Some(settled) = self.settled(base, version, &digest) {
                    return settled;
                }
                let before = std::mem::replace(&mut self.doc, doc.into());
                changes.clear();
                self.take(version, &digest, &before.doc["trials"]);
            }
            Entry::Change { base, version, digest, change, result } => {
                if let Some(settled) = self.settled(base, version, &digest) {
                    return settled;
                }
                let DigestedDocument { doc, digest: held } = &mut self.doc;
                let places = change.places(doc);
                let undo = Difference::of_places(doc, &places);
                let trials = doc["trials"].clone();
                *held = change.apply(doc, *held);
                if *held != result {
                    *held = undo.apply(doc, *held);
                    return Outcome::Diverged;
                }
                changes.push(base, version, places);
                self.take(version, &digest, &trials);
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
            // Of an order and a leader's late stage the first holds: the other was made without it in view.
            Entry::Trial { tenant, base, .. } if base != self.trial(&tenant).step => {
                return Outcome::Conflict
            }
            // An order that was on its way when a configuration took its tenant away.
            Entry::Trial { tenant, .. } if !self.has_tenant(&tenant) => return Outcome::Conflict,
            Entry::Trial { tenant, order, stage_count, .. } => self.turn(&tenant, order, stage_count),
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

    /// What becomes of a configuration without a look at it; `None`: it comes into force.
    fn settled(&self, base: u64, version: u64, digest: &str) -> Option<Outcome> {
        if self.was_accepted(version, digest) {
            return Some(Outcome::Taken);
        }
        // Two operators' changes of one version may both be on the log: the first one wins, at every member.
        (base != self.version || version <= self.version).then_some(Outcome::Conflict)
    }

    /// The document that is in `doc` by now comes into force, by an operator's call of this digest; `trials`: those of the
    /// one before.
    fn take(&mut self, version: u64, digest: &str, trials: &Value) {
        self.version = version;
        self.trials_of(trials);
        self.orders.add(version, digest);
    }

    fn turn(&mut self, tenant: &str, order: TrialOrder, most: u32) {
        let (before, after) = (self.trial(tenant), self.trial(tenant).after(order, most));
        if before != after {
            self.trials.insert(tenant.to_owned(), after);
        }
    }

    /// Orders that the document in force gives, where the one before gave another, and trials of tenants that are gone.
    fn trials_of(&mut self, before: &Value) {
        let named = self.doc.doc["trials"].as_object().into_iter().flat_map(|trials| trials.keys());
        let orders: Vec<(String, TrialOrder)> = named
            .filter(|tenant| before[tenant]["state"] != self.doc.doc["trials"][tenant]["state"])
            .filter_map(|tenant| Some((tenant.clone(), ordered(&self.doc.doc, tenant)?)))
            .collect();
        for (tenant, order) in orders {
            self.turn(&tenant, order, u32::MAX);
        }
        // Its step stays: should there be a tenant of this name again, gateways know higher ones only.
        let tenants = &self.doc.doc["tenants"];
        for (_, trial) in self.trials.iter_mut().filter(|(tenant, _)| tenants.get(tenant.as_str()).is_none())
        {
            if (trial.lapses, trial.stage) != (false, 0) {
                *trial = Trial { step: trial.step + 1, ..Trial::default() };
            }
        }
    }

    /// Trials by tenant, all that ever changed.
    pub fn trials(&self) -> &BTreeMap<String, Trial> {
        &self.trials
    }

    /// How far a tenant's trial has lapsed.
    pub fn trial(&self, tenant: &str) -> Trial {
        self.trials.get(tenant).copied().unwrap_or_default()
    }

    /// The configuration in force has this tenant.
    pub fn has_tenant(&self, tenant: &str) -> bool {
        self.doc.doc["tenants"].get(tenant).is_some()
    }

    /// This very call was taken before, as far as is remembered.
    pub fn was_accepted(&self, version: u64, digest: &str) -> bool {
        self.change_status(version, digest) == ChangeStatus::Taken
    }

    /// What became of this very call.
    pub fn change_status(&self, version: u64, digest: &str) -> ChangeStatus {
        self.orders.status(version, digest)
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

    /// Processes of gateways that units may be lent to, or were and may still be in force: by the number that each drew,
    /// with the names of their machines.
    pub fn gateways(&self) -> &BTreeMap<u64, String> {
        &self.gateways
    }

    /// Servers that leave, or left a short time ago: no leader tells anyone to send to them.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Keyed operations that were claimed.
    pub fn operations(&self) -> &OperationTable {
        &self.operations
    }

    /// How many orders on the core's members were taken, and the last one.
    pub fn membership_order(&self) -> (u64, &MembershipOrder) {
        (self.core.0, &self.core.1)
    }

    /// For a snapshot of the log.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// From a snapshot of the log.
    ///
    /// # Errors
    /// The text was not made by [`ReplicatedState::to_text`].
    pub fn from_text(text: &str) -> Result<ReplicatedState, serde_json::Error> {
        let mut state: ReplicatedState = serde_json::from_str(text)?;
        state.orders.adopt(&std::mem::take(&mut state.taken));
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
    fn of_two_changes_on_one_version_the_first_on_the_log_wins_and_its_repeat_is_taken() {
        let mut state = ReplicatedState::default();
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
        let mut state = ReplicatedState::default();
        state.apply(put(0, 4, "a"));
        state.apply(Entry::Evacuate("z1".into()));
        state.apply(Entry::Evacuate("z2".into()));
        state.apply(Entry::Return("z1".into()));
        let come = |life: u64| BTreeMap::from([(life, format!("edge-{life}"))]);
        state.apply(Entry::Gateways { added: come(u64::MAX), removed: Vec::new() });
        state.apply(Entry::Gateways { added: come(8), removed: vec![u64::MAX] });
        assert!(!state.to_text().contains("core"), "where nobody ordered, snapshots are as they were");
        let order = MembershipOrder {
            requested_host: Some("h4".into()),
            excluded: vec![Exclusion { host: "h1".into(), after: None }],
        };
        assert_eq!(state.apply(Entry::Core { base: 0, order: order.clone() }), Outcome::Taken);
        let late = Entry::Core { base: 0, order: MembershipOrder::default() };
        assert_eq!(state.apply(late), Outcome::Conflict, "it was made without the other one in view");
        let mut back = ReplicatedState::from_text(&state.to_text()).expect("own text");
        assert_eq!(back.membership_order(), (1, &order));
        assert_eq!(back, state);
        assert!(back.evacuated().iter().eq(["z2"]));
        assert_eq!(back.gateways(), &come(8));
        assert_eq!(back.apply(put(0, 4, "a")), Outcome::Taken, "repeats are known after a snapshot, too");
        assert!(ReplicatedState::from_text("{").is_err());
    }

    fn with(base: u64, version: u64, tenants: &[&str], state: Option<&str>) -> Entry {
        let named: BTreeMap<&str, Value> = tenants.iter().map(|name| (*name, Value::Null)).collect();
        let trials = state.map(|state| serde_json::json!({ "peach": { "state": state } }));
        let doc = serde_json::json!({ "tenants": named, "trials": trials });
        Entry::Put { base, version, digest: version.to_string(), doc }
    }

    fn trial(base: u64, order: TrialOrder) -> Entry {
        Entry::Trial { tenant: "peach".into(), base, order, stage_count: 3 }
    }

    /// Step, whether it lapses, stage.
    fn stands(state: &ReplicatedState) -> (u64, bool, u32) {
        let trial = state.trial("peach");
        (trial.step, trial.lapses, trial.stage)
    }

    #[test]
    fn a_trial_goes_by_one_stage_at_a_time_and_of_two_entries_on_one_step_the_first_holds() {
        use TrialOrder::{Lapse, Restore, Stage};
        let mut state = ReplicatedState::default();
        assert_eq!(state.apply(trial(0, Lapse)), Outcome::Conflict, "no such tenant");
        state.apply(with(0, 1, &["peach"], None));
        assert!(
            !state.to_text().contains("\"lapses\""),
            "where no trial changed, snapshots are as they were"
        );
        assert_eq!((state.apply(trial(0, Restore)), stands(&state)), (Outcome::Taken, (0, false, 0)));
        assert_eq!((state.apply(trial(0, Stage)), stands(&state)), (Outcome::Taken, (0, false, 0)));
        for (base, order, then) in [
            (0, Lapse, (1, true, 1)),
            (1, Lapse, (1, true, 1)),
            (1, Stage, (2, true, 2)),
            (2, Stage, (3, true, 3)),
            // The last one stays.
            (3, Stage, (3, true, 3)),
            (3, Restore, (4, false, 2)),
            (4, Restore, (4, false, 2)),
            // Again right after: the stage in force, and up from there.
            (4, Lapse, (5, true, 2)),
            (5, Restore, (6, false, 1)),
            (6, Stage, (7, false, 0)),
            (7, Stage, (7, false, 0)),
        ] {
            assert_eq!(
                (state.apply(trial(base, order)), stands(&state)),
                (Outcome::Taken, then),
                "{order:?}"
            );
        }
        assert_eq!((state.apply(trial(6, Lapse)), stands(&state)), (Outcome::Conflict, (7, false, 0)));
        let back = ReplicatedState::from_text(&state.to_text()).expect("own text");
        assert_eq!((stands(&back), &back), ((7, false, 0), &state));
    }

    #[test]
    fn a_document_orders_where_it_says_another_thing_than_the_one_before() {
        let mut state = ReplicatedState::default();
        let mut put = |version: u64, tenants: &[&str], says: Option<&str>| {
            assert_eq!(state.apply(with(version - 1, version, tenants, says)), Outcome::Taken);
            stands(&state)
        };
        assert_eq!(put(1, &["peach"], Some("running")), (0, false, 0));
        assert_eq!(put(2, &["peach"], Some("lapsed")), (1, true, 1));
        assert_eq!(put(3, &["peach", "plum"], Some("lapsed")), (1, true, 1), "it says what it said");
        assert_eq!(put(4, &["peach"], None), (1, true, 1), "it says nothing");
        assert_eq!(put(5, &["peach"], Some("restored")), (2, false, 0));
        assert_eq!(put(6, &["peach"], Some("lapsed")), (3, true, 1));
        assert_eq!(put(7, &["plum"], None), (4, false, 0), "the tenant is gone");
        assert_eq!(put(8, &["peach"], Some("lapsed")), (5, true, 1), "steps never fall");
        // An operator's order came between: the document repeats nothing.
        state.apply(trial(5, TrialOrder::Restore));
        state.apply(with(8, 9, &["peach"], Some("lapsed")));
        assert_eq!(stands(&state), (6, false, 0));
    }

    #[test]
    fn a_curve_with_fewer_stages_than_were_entered_is_left_by_its_own() {
        let long = Trial { step: 9, lapses: true, stage: 6 };
        assert_eq!(long.after(TrialOrder::Stage, 2), long);
        assert_eq!(long.after(TrialOrder::Restore, 2), Trial { step: 10, lapses: false, stage: 1 });
    }
}
