//! The watcher's side: an immutable snapshot of everything that the leader publishes, replaced as a whole by each
//! watch answer that changes it.

use crate::register::PERMIT_LIFETIME_MS;
use crate::roster;
use nickeljunction_messages::{
    Caller, ConfigChange, GatewayInfo, ServerInfo, ServerState, TrialInfo, VersionedConfig, WatchAnswer,
    WatchCall,
};
use nickeljunction_schema::DocumentDigest;
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Ids of recently removed server instances that are kept for the case that this member becomes leader. More than end
/// within a minute while a release replaces all servers.
const MAX_RECENTLY_REMOVED: usize = 128;

/// Everything that the leader published, as one snapshot. Cheap to clone: its tables are shared.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    /// Server instances by id.
    pub servers: Rc<BTreeMap<Rc<str>, Rc<ServerInfo>>>,
    /// Zones whose servers must not receive requests.
    pub evacuated_zones: Rc<BTreeSet<String>>,
    /// The newest configuration.
    pub config: Option<Rc<VersionedConfig>>,
    /// Number of gateways, overestimated rather than underestimated. 0: not received yet.
    pub gateway_count: u32,
    /// IP addresses of the core members' machines.
    pub core_hosts: Rc<Vec<String>>,
    /// All gateways. Only core members and gateways that serve the directory receive this list.
    pub roster: Rc<Vec<GatewayInfo>>,
    /// Step and stage of each tenant whose trial ever changed. The time from which they are in effect is given only
    /// once, in [`CatalogUpdate::trials`].
    pub trials: Rc<BTreeMap<String, (u64, u32)>>,
}

impl Catalog {
    /// Version of the configuration; 0: there is none.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }
}

/// How much a gateway may send to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendLimit {
    /// As much as the server accepts: it is warm.
    Unlimited,
    /// At the configured rate for a cold server.
    WarmupRate,
    /// Nothing at all.
    Blocked,
}

impl SendLimit {
    /// What `gateway` may send to the server described by `line`. `data_age_ms` is the age of the gateway's data: the
    /// time since it *sent* the newest watch call that was answered, plus that answer's `age_ms`. A permit expires
    /// after [`PERMIT_LIFETIME_MS`], because the leader may give it to another gateway after that.
    pub fn of(line: &ServerInfo, gateway: &str, data_age_ms: u64) -> SendLimit {
        match (&line.state, &line.cold) {
            (ServerState::Draining, _) => SendLimit::Blocked,
            (ServerState::InService, None) => SendLimit::Unlimited,
            (ServerState::InService, Some(holder))
                if holder == gateway && data_age_ms < PERMIT_LIFETIME_MS =>
            {
                SendLimit::WarmupRate
            }
            (ServerState::InService, Some(_)) => SendLimit::Blocked,
        }
    }
}

/// Why a gateway sends no request at all to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendBlock {
    /// The server is shutting down.
    Draining,
    /// The server's zone is evacuated.
    Evacuated,
    /// The server is cold, and the named gateway holds the permit for it; `None`: no gateway holds it yet.
    Cold(Option<String>),
}

/// Why `gateway` must not send to the server described by `line`; `None`: it may. Doesn't check whether the gateway's
/// permit has expired, see [`SendLimit::of`] for that.
pub fn send_block(line: &ServerInfo, gateway: &str, evacuated: impl Fn(&str) -> bool) -> Option<SendBlock> {
    match (&line.state, &line.cold) {
        (ServerState::Draining, _) => Some(SendBlock::Draining),
        _ if evacuated(&line.zone) => Some(SendBlock::Evacuated),
        (_, Some(holder)) if holder != gateway => {
            Some(SendBlock::Cold(Some(holder.clone()).filter(|name| !name.is_empty())))
        }
        _ => None,
    }
}

/// What a watch answer changed in the catalog.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CatalogUpdate {
    /// Server instances that were added or changed.
    pub servers: Vec<Rc<str>>,
    /// Server instances that were removed.
    pub removed_servers: Vec<Rc<str>>,
    /// The configuration is newer.
    pub config: bool,
    /// The set of evacuated zones changed.
    pub evacuated: bool,
    /// The number of gateways changed.
    pub gateways: bool,
    /// The core members' machines changed.
    pub core: bool,
    /// The list of gateways changed.
    pub roster: bool,
    /// Trials with a higher step than before.
    pub trials: Vec<TrialInfo>,
    /// The answer came from a different leader than the previous one.
    pub new_leader: bool,
}

impl CatalogUpdate {
    /// Whether the catalog differs from the previous one.
    pub fn has_changes(&self) -> bool {
        !self.servers.is_empty()
            || !self.removed_servers.is_empty()
            || self.config
            || self.evacuated
            || self.gateways
            || self.core
            || self.roster
            || !self.trials.is_empty()
    }
}

quick_error! {
    /// Why a watch answer was not applied: it would replace newer data by older, or doesn't fit the data here.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ApplyError {
        /// The answer is from an earlier leader than one whose answer was applied.
        StaleTerm(current: u64, received: u64) {
            display("watch answer not applied: its term {} is older than the current term {}", received, current)
        }
        /// The answer is older than one of the same leader that was applied.
        StaleSeq(current: u64, received: u64) {
            display("watch answer not applied: its sequence number {} is older than {}", received, current)
        }
        /// The answer's configuration is older than the current one.
        StaleConfig(current: u64, received: u64) {
            display("watch answer not applied: its configuration version {} is older than {}", received, current)
        }
        /// The answer's difference applies to another version of the configuration than the current one.
        BaseMismatch(current: u64, base: u64) {
            display(
                "watch answer not applied: its difference is to configuration version {}, but the current one is {}",
                base, current
            )
        }
        /// Applying the answer's difference gave another document than the leader has.
        DigestMismatch(version: u64) {
            display(
                "watch answer not applied: its difference to configuration version {} gives another document than the \
                 leader's",
                version
            )
        }
    }
}

/// What one watcher has received. Terms, sequence numbers and versions never decrease during its lifetime.
#[derive(Debug, Clone, Default)]
pub struct WatchCache {
    catalog: Rc<Catalog>,
    term: u64,
    seq: u64,
    /// A leader with a complete server table has sent all of it.
    complete: bool,
    /// Term of the leader that last sent its complete server table.
    full_table_term: u64,
    /// Ids of removed server instances, newest last, at most [`MAX_RECENTLY_REMOVED`].
    recently_removed: VecDeque<Rc<str>>,
    /// Digest of the current configuration.
    digest: DocumentDigest,
    /// The next call must request the full configuration, because a difference gave a wrong document.
    needs_full_config: bool,
}

impl WatchCache {
    /// An empty cache.
    pub fn new() -> WatchCache {
        WatchCache::default()
    }

    /// The current snapshot.
    pub fn catalog(&self) -> Rc<Catalog> {
        self.catalog.clone()
    }

    /// Term of the leader whose answer was applied last; 0: none.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Sequence number of the answer that was applied last.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Whether a leader with a complete server table has sent all of it. Otherwise servers may be missing that have not
    /// yet sent a heartbeat to their leader.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Ids of recently removed server instances, oldest first: a delayed heartbeat must not register them again.
    pub(crate) fn recently_removed(&self) -> impl Iterator<Item = &Rc<str>> {
        self.recently_removed.iter()
    }

    /// The whole catalog except for the configuration, as a watch answer from which another cache can be filled.
    pub fn to_answer(&self) -> WatchAnswer {
        let catalog = &self.catalog;
        WatchAnswer {
            term: self.term,
            seq: self.seq,
            is_full_list: self.complete,
            evacuated_zones: Some(catalog.evacuated_zones.iter().cloned().collect()),
            servers: catalog.servers.values().map(|line| ServerInfo::clone(line)).collect(),
            gateway_count: Some(catalog.gateway_count),
            core_hosts: Some(catalog.core_hosts.to_vec()),
            roster: Some(catalog.roster.to_vec()),
            trials: (!catalog.trials.is_empty()).then(|| catalog.trials.iter().map(trial_line).collect()),
            ..WatchAnswer::default()
        }
    }

    /// The call that requests everything newer than this cache. The caller must set `line` in the first call on each
    /// new connection, in the first call to each new leader, and whenever the line changed.
    pub fn watch_call(
        &self,
        who: Caller,
        name: &str,
        life: u64,
        line: Option<GatewayInfo>,
        wait_ms: u64,
    ) -> WatchCall {
        WatchCall {
            caller: who,
            name: name.to_string(),
            incarnation: life,
            gateway: line,
            term: self.term,
            seq: self.seq,
            version: if self.needs_full_config { 0 } else { self.catalog.version() },
            wait_ms,
            serves_directory: false,
            accepts_config_changes: true,
            accepts_roster_changes: true,
            has_full_server_list: self.term > 0 && self.full_table_term == self.term,
            diverged: false,
        }
    }

    /// The configuration that results from an answer, with its digest; `None`: the answer has no newer one.
    fn newer_config(
        &self,
        answer: &mut WatchAnswer,
    ) -> Result<Option<(Rc<VersionedConfig>, DocumentDigest)>, ApplyError> {
        let current = self.catalog.version();
        if let Some(change) = answer.config_change.take() {
            return self.config_after(&change);
        }
        let Some(config) = answer.config.take() else { return Ok(None) };
        if config.version < current {
            return Err(ApplyError::StaleConfig(current, config.version));
        }
        if config.version == current && !self.needs_full_config {
            return Ok(None);
        }
        let digest = DocumentDigest::of(&config.document);
        Ok(Some((config, digest)))
    }

    /// The configuration that results from a difference, with its digest; `None`: it is not newer.
    fn config_after(
        &self,
        change: &ConfigChange,
    ) -> Result<Option<(Rc<VersionedConfig>, DocumentDigest)>, ApplyError> {
        let version = self.catalog.version();
        if change.version < version {
            return Err(ApplyError::StaleConfig(version, change.version));
        }
        // Another answer with this version arrived earlier.
        if change.version == version && !self.needs_full_config {
            return Ok(None);
        }
        let usable_base =
            |base: &&Rc<VersionedConfig>| base.version == change.from && !self.needs_full_config;
        let Some(base) = self.catalog.config.as_ref().filter(usable_base) else {
            return Err(ApplyError::BaseMismatch(version, change.from));
        };
        let mut doc = base.document.clone();
        let digest = change.difference.apply(&mut doc, self.digest);
        if digest != change.digest {
            return Err(ApplyError::DigestMismatch(change.version));
        }
        Ok(Some((Rc::new(VersionedConfig { version: change.version, document: doc }), digest)))
    }

    /// Applies an answer to a call made by [`WatchCache::watch_call`]. An answer that is refused changes nothing, except
    /// that after [`ApplyError::DigestMismatch`] the next call requests the full configuration.
    pub fn apply(&mut self, mut answer: WatchAnswer) -> Result<CatalogUpdate, ApplyError> {
        if answer.term < self.term {
            return Err(ApplyError::StaleTerm(self.term, answer.term));
        }
        let new_leader = answer.term > self.term;
        if !new_leader && answer.seq < self.seq {
            return Err(ApplyError::StaleSeq(self.seq, answer.seq));
        }
        let config = self.newer_config(&mut answer).inspect_err(|error| {
            self.needs_full_config |= matches!(error, ApplyError::DigestMismatch(_));
        })?;
        let mut update = CatalogUpdate { new_leader, ..CatalogUpdate::default() };
        let mut catalog = Catalog::clone(&self.catalog);
        let mut reopened_zones = BTreeSet::new();
        if let Some(zones) = answer.evacuated_zones {
            let zones: BTreeSet<String> = zones.into_iter().collect();
            if zones != *catalog.evacuated_zones {
                reopened_zones = catalog.evacuated_zones.difference(&zones).cloned().collect();
                catalog.evacuated_zones = Rc::new(zones);
                update.evacuated = true;
            }
        }
        if new_leader
            || answer.is_full_list
            || !answer.servers.is_empty()
            || !answer.removed_servers.is_empty()
            || !reopened_zones.is_empty()
        {
            let changes = ServerChanges {
                lines: answer.servers,
                removed: answer.removed_servers,
                full_table: answer.is_full_list,
                new_leader,
            };
            catalog.servers = Rc::new(changes.apply_to(&catalog.servers, &reopened_zones, &mut update));
        }
        if let Some((config, digest)) = config {
            catalog.config = Some(config);
            (self.digest, self.needs_full_config) = (digest, false);
            update.config = true;
        }
        if let Some(count) = answer.gateway_count.filter(|count| *count != catalog.gateway_count) {
            catalog.gateway_count = count;
            update.gateways = true;
        }
        if let Some(hosts) = answer.core_hosts.filter(|hosts| *hosts != *catalog.core_hosts) {
            catalog.core_hosts = Rc::new(hosts);
            update.core = true;
        }
        let changed_roster = answer.roster_change.map(|change| roster::apply_change(&catalog.roster, change));
        if let Some(roster) = answer.roster.or(changed_roster).filter(|roster| *roster != *catalog.roster) {
            catalog.roster = Rc::new(roster);
            update.roster = true;
        }
        // Every leader's log contains all steps that any leader has published, so a lower step comes from an answer
        // that was overtaken by a newer one.
        let is_newer =
            |line: &TrialInfo| catalog.trials.get(&line.tenant).is_none_or(|(step, _)| line.step > *step);
        update.trials = answer.trials.into_iter().flatten().filter(is_newer).collect();
        if !update.trials.is_empty() {
            let newer = update.trials.iter().map(|line| (line.tenant.clone(), (line.step, line.stage)));
            catalog.trials = Rc::new(
                catalog.trials.iter().map(|(name, trial)| (name.clone(), *trial)).chain(newer).collect(),
            );
        }
        self.recently_removed.retain(|id| !catalog.servers.contains_key(id));
        self.recently_removed.extend(update.removed_servers.iter().cloned());
        let surplus = self.recently_removed.len().saturating_sub(MAX_RECENTLY_REMOVED);
        self.recently_removed.drain(..surplus);
        self.term = answer.term;
        self.seq = answer.seq;
        self.complete |= answer.is_full_list;
        if answer.is_full_list {
            self.full_table_term = answer.term;
        }
        if update.has_changes() {
            self.catalog = Rc::new(catalog);
        }
        Ok(update)
    }
}

fn trial_line((tenant, (step, stage)): (&String, &(u64, u32))) -> TrialInfo {
    TrialInfo { tenant: tenant.clone(), step: *step, stage: *stage, in_ms: 0 }
}

/// The part of an answer that concerns servers.
struct ServerChanges {
    lines: Vec<ServerInfo>,
    removed: Vec<String>,
    /// `lines` is the complete table, not a difference.
    full_table: bool,
    /// This is the first answer of a new leader.
    new_leader: bool,
}

impl ServerChanges {
    /// The server table that results from applying these changes to `current`.
    fn apply_to(
        self,
        current: &BTreeMap<Rc<str>, Rc<ServerInfo>>,
        reopened_zones: &BTreeSet<String>,
        update: &mut CatalogUpdate,
    ) -> BTreeMap<Rc<str>, Rc<ServerInfo>> {
        let mut table = if self.full_table { BTreeMap::new() } else { current.clone() };
        for id in &self.removed {
            table.remove(id.as_str());
        }
        // A leader that started without a cache publishes what it receives in heartbeats, and its answers are applied on
        // top of the current table. The permits of the previous leader have ended by then. When an evacuation ends, such
        // a leader can't name all servers that may be cold until they have sent a heartbeat.
        if !self.full_table {
            for line in table.values_mut() {
                let has_permit_holder = line.cold.as_ref().is_some_and(|holder| !holder.is_empty());
                if self.new_leader && has_permit_holder || reopened_zones.contains(&line.zone) {
                    let without_permit = ServerInfo { cold: Some(String::new()), ..ServerInfo::clone(line) };
                    *line = Rc::new(without_permit);
                }
            }
        }
        for mut line in self.lines {
            let previous = current.get_key_value(line.id.as_str());
            // The cache from which a new leader started may be older than the last answer of the old leader. A server
            // never returns from draining that way.
            if self.new_leader && previous.is_some_and(|(_, old)| old.state == ServerState::Draining) {
                line.state = ServerState::Draining;
            }
            let (id, line) = match previous {
                Some((id, old)) if **old == line => (id.clone(), old.clone()),
                Some((id, _)) => (id.clone(), Rc::new(line)),
                None => (Rc::from(line.id.as_str()), Rc::new(line)),
            };
            table.insert(id, line);
        }
        for (id, line) in &table {
            if !current.get(id).is_some_and(|old| Rc::ptr_eq(old, line) || old == line) {
                update.servers.push(id.clone());
            }
        }
        update.removed_servers.extend(current.keys().filter(|id| !table.contains_key(*id)).cloned());
        table
    }
}
