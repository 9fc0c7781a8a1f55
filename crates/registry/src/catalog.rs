//! The watcher's side: an immutable picture of all that the leader tells, swapped whole with every answer.

use crate::register::PERMIT_LIFE_MS;
use crate::roster;
use nickeljunction_messages::{
    Caller, ConfigChange, GatewayInfo, ServerInfo, ServerState, TrialInfo, VersionedConfig, WatchAnswer,
    WatchCall,
};
use nickeljunction_schema::DocumentDigest;
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Ids of lives that went lately and are kept for a successor: more than end within a minute of a whole release.
const MOST_GONE: usize = 128;

/// All that the leader told, as one snapshot. Cheap to clone: its tables are shared.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    /// Lives of servers by id.
    pub servers: Rc<BTreeMap<Rc<str>, Rc<ServerInfo>>>,
    /// Zones to whose servers nothing is to be sent.
    pub evacuated_zones: Rc<BTreeSet<String>>,
    /// The newest configuration.
    pub config: Option<Rc<VersionedConfig>>,
    /// How many gateways there are; rather too many than too few. 0: not told yet.
    pub gateway_count: u32,
    /// IP addresses of the core's machines.
    pub core_hosts: Rc<Vec<String>>,
    /// All gateways; told to core members, and to gateways that serve the directory.
    pub roster: Rc<Vec<GatewayInfo>>,
    /// Step and stage of each tenant whose trial ever changed. From when they hold is told once, in [`CatalogUpdate::trials`].
    pub trials: Rc<BTreeMap<String, (u64, u32)>>,
}

impl Catalog {
    /// Version of its configuration; 0: none.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }
}

/// How much a gateway may send to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendLimit {
    /// As much as it takes: the server is warm.
    Unlimited,
    /// At the configured rate of a cold server.
    WarmupRate,
    /// Nothing.
    Blocked,
}

impl SendLimit {
    /// What `gateway` may send to the server of `line`. `known_ms` is the age of its knowledge: the time since the
    /// newest answered watch call was *sent*, and that answer's `age_ms`. A permit ends with [`PERMIT_LIFE_MS`], for
    /// the leader hands it to another gateway after that.
    pub fn of(line: &ServerInfo, gateway: &str, known_ms: u64) -> SendLimit {
        match (&line.state, &line.cold) {
            (ServerState::Draining, _) => SendLimit::Blocked,
            (ServerState::InService, None) => SendLimit::Unlimited,
            (ServerState::InService, Some(holder)) if holder == gateway && known_ms < PERMIT_LIFE_MS => {
                SendLimit::WarmupRate
            }
            (ServerState::InService, Some(_)) => SendLimit::Blocked,
        }
    }
}

/// Why a gateway sends nothing to a server, whatever the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendBlock {
    /// It leaves.
    Draining,
    /// Its zone is evacuated.
    Evacuated,
    /// It is cold, and the permit is another gateway's, or nobody's yet.
    Cold(Option<String>),
}

/// What keeps `gateway` from sending to the server of `line`; `None`: nothing. How old a permit is counts besides, see
/// [`SendLimit::of`].
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

/// What an answer changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CatalogUpdate {
    /// Lives that came or changed.
    pub servers: Vec<Rc<str>>,
    /// Lives that went.
    pub removed_servers: Vec<Rc<str>>,
    /// There is a newer configuration.
    pub config: bool,
    /// Other zones are evacuated.
    pub evacuated: bool,
    /// The count of gateways changed.
    pub gateways: bool,
    /// The core's machines changed.
    pub core: bool,
    /// The list of gateways changed.
    pub roster: bool,
    /// Trials with a higher step than was held.
    pub trials: Vec<TrialInfo>,
    /// The answer came from another leader than the one before.
    pub new_leader: bool,
}

impl CatalogUpdate {
    /// The catalog is another one than before.
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
    /// An answer that was not applied, for it leads back.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ApplyError {
        /// From a leader whose successor has been heard.
        StaleTerm(held: u64, seen: u64) {
            display("applying an answer: its term {} is older than {}", seen, held)
        }
        /// Older than one of the same leader that was applied.
        StaleSeq(held: u64, seen: u64) {
            display("applying an answer: its number {} is older than {}", seen, held)
        }
        /// With an older configuration.
        StaleConfig(held: u64, seen: u64) {
            display("applying an answer: its configuration {} is older than {}", seen, held)
        }
        /// With a difference to another version of the configuration than is held.
        BaseMismatch(held: u64, from: u64) {
            display("applying an answer: its difference is to configuration {}, held is {}", from, held)
        }
        /// With a difference that makes another document than the leader's.
        DigestMismatch(version: u64) {
            display("applying an answer: its difference makes another configuration {} than the leader's", version)
        }
    }
}

/// What one watcher holds. Terms, numbers and versions only rise in its life.
#[derive(Debug, Clone, Default)]
pub struct WatchCache {
    catalog: Rc<Catalog>,
    term: u64,
    seq: u64,
    /// A leader that knew all lives told them all.
    complete: bool,
    /// Term of the leader that told them last.
    whole_term: u64,
    /// Newest last, at most [`MOST_GONE`].
    gone: VecDeque<Rc<str>>,
    /// Of the configuration held.
    digest: DocumentDigest,
    /// A difference didn't fit: the configuration is to be told whole.
    whole_config: bool,
}

impl WatchCache {
    /// One that holds nothing.
    pub fn new() -> WatchCache {
        WatchCache::default()
    }

    /// The present snapshot.
    pub fn catalog(&self) -> Rc<Catalog> {
        self.catalog.clone()
    }

    /// Term of the leader whose answer was applied last; 0: none.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Number of the answer that was applied last.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// A leader that knew all lives has told them all: no life is missing for want of a beat.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Lives that went lately, oldest first: a late beat must not bring them back.
    pub(crate) fn gone(&self) -> impl Iterator<Item = &Rc<str>> {
        self.gone.iter()
    }

    /// All that is held but the configuration, as the answer that makes a copy of it.
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
            trials: (!catalog.trials.is_empty()).then(|| catalog.trials.iter().map(line).collect()),
            ..WatchAnswer::default()
        }
    }

    /// The call that asks for what is new. `line` is to be set in the first call on each new connection, to each new
    /// leader, and whenever it changed.
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
            version: if self.whole_config { 0 } else { self.catalog.version() },
            wait_ms,
            serves_directory: false,
            accepts_config_changes: true,
            accepts_roster_changes: true,
            has_full_server_list: self.term > 0 && self.whole_term == self.term,
            diverged: false,
        }
    }

    /// The configuration that an answer leads to, with its digest; `None`: it has none that is news.
    fn config_of(
        &self,
        answer: &mut WatchAnswer,
    ) -> Result<Option<(Rc<VersionedConfig>, DocumentDigest)>, ApplyError> {
        let held = self.catalog.version();
        if let Some(change) = answer.config_change.take() {
            return self.changed(&change);
        }
        let Some(config) = answer.config.take() else { return Ok(None) };
        if config.version < held {
            return Err(ApplyError::StaleConfig(held, config.version));
        }
        if config.version == held && !self.whole_config {
            return Ok(None);
        }
        let digest = DocumentDigest::of(&config.document);
        Ok(Some((config, digest)))
    }

    fn changed(
        &self,
        change: &ConfigChange,
    ) -> Result<Option<(Rc<VersionedConfig>, DocumentDigest)>, ApplyError> {
        let version = self.catalog.version();
        if change.version < version {
            return Err(ApplyError::StaleConfig(version, change.version));
        }
        // Another answer was faster.
        if change.version == version && !self.whole_config {
            return Ok(None);
        }
        let held =
            self.catalog.config.as_ref().filter(|held| held.version == change.from && !self.whole_config);
        let Some(held) = held else { return Err(ApplyError::BaseMismatch(version, change.from)) };
        let mut doc = held.document.clone();
        let digest = change.difference.apply(&mut doc, self.digest);
        if digest != change.digest {
            return Err(ApplyError::DigestMismatch(change.version));
        }
        Ok(Some((Rc::new(VersionedConfig { version: change.version, document: doc }), digest)))
    }

    /// Takes an answer to a call made by [`WatchCache::watch_call`]; nothing changes where it is refused, but that the next call asks for
    /// the whole configuration where a difference didn't fit.
    pub fn apply(&mut self, mut answer: WatchAnswer) -> Result<CatalogUpdate, ApplyError> {
        if answer.term < self.term {
            return Err(ApplyError::StaleTerm(self.term, answer.term));
        }
        let turn = answer.term > self.term;
        if !turn && answer.seq < self.seq {
            return Err(ApplyError::StaleSeq(self.seq, answer.seq));
        }
        let config = self.config_of(&mut answer).inspect_err(|refused| {
            self.whole_config |= matches!(refused, ApplyError::DigestMismatch(_));
        })?;
        let mut applied = CatalogUpdate { new_leader: turn, ..CatalogUpdate::default() };
        let mut catalog = Catalog::clone(&self.catalog);
        let mut withdrawn = BTreeSet::new();
        if let Some(zones) = answer.evacuated_zones {
            let zones: BTreeSet<String> = zones.into_iter().collect();
            if zones != *catalog.evacuated_zones {
                withdrawn = catalog.evacuated_zones.difference(&zones).cloned().collect();
                catalog.evacuated_zones = Rc::new(zones);
                applied.evacuated = true;
            }
        }
        if turn
            || answer.is_full_list
            || !answer.servers.is_empty()
            || !answer.removed_servers.is_empty()
            || !withdrawn.is_empty()
        {
            let fresh = Fresh {
                lines: answer.servers,
                gone: answer.removed_servers,
                whole: answer.is_full_list,
                turn,
            };
            catalog.servers = Rc::new(fresh.over(&catalog.servers, &withdrawn, &mut applied));
        }
        if let Some((config, digest)) = config {
            catalog.config = Some(config);
            (self.digest, self.whole_config) = (digest, false);
            applied.config = true;
        }
        if let Some(count) = answer.gateway_count.filter(|count| *count != catalog.gateway_count) {
            catalog.gateway_count = count;
            applied.gateways = true;
        }
        if let Some(hosts) = answer.core_hosts.filter(|hosts| *hosts != *catalog.core_hosts) {
            catalog.core_hosts = Rc::new(hosts);
            applied.core = true;
        }
        let change = answer.roster_change.map(|change| roster::changed(&catalog.roster, change));
        if let Some(roster) = answer.roster.or(change).filter(|roster| *roster != *catalog.roster) {
            catalog.roster = Rc::new(roster);
            applied.roster = true;
        }
        // A leader's log has all steps that any leader told: a lower one is from an answer that was overtaken.
        let higher =
            |line: &TrialInfo| catalog.trials.get(&line.tenant).is_none_or(|(step, _)| line.step > *step);
        applied.trials = answer.trials.into_iter().flatten().filter(higher).collect();
        if !applied.trials.is_empty() {
            let news = applied.trials.iter().map(|line| (line.tenant.clone(), (line.step, line.stage)));
            catalog.trials = Rc::new(
                catalog.trials.iter().map(|(name, held)| (name.clone(), *held)).chain(news).collect(),
            );
        }
        self.gone.retain(|id| !catalog.servers.contains_key(id));
        self.gone.extend(applied.removed_servers.iter().cloned());
        let surplus = self.gone.len().saturating_sub(MOST_GONE);
        self.gone.drain(..surplus);
        self.term = answer.term;
        self.seq = answer.seq;
        self.complete |= answer.is_full_list;
        if answer.is_full_list {
            self.whole_term = answer.term;
        }
        if applied.has_changes() {
            self.catalog = Rc::new(catalog);
        }
        Ok(applied)
    }
}

fn line((tenant, (step, stage)): (&String, &(u64, u32))) -> TrialInfo {
    TrialInfo { tenant: tenant.clone(), step: *step, stage: *stage, in_ms: 0 }
}

/// The servers' part of an answer.
struct Fresh {
    lines: Vec<ServerInfo>,
    gone: Vec<String>,
    whole: bool,
    /// It is the first of a new leader.
    turn: bool,
}

impl Fresh {
    /// The table that results from this part over the one held.
    fn over(
        self,
        held: &BTreeMap<Rc<str>, Rc<ServerInfo>>,
        withdrawn: &BTreeSet<String>,
        applied: &mut CatalogUpdate,
    ) -> BTreeMap<Rc<str>, Rc<ServerInfo>> {
        let mut table = if self.whole { BTreeMap::new() } else { held.clone() };
        for id in &self.gone {
            table.remove(id.as_str());
        }
        // A leader that has no copy tells what it learns from beats, over what is held: the permits of the leader before
        // have ended, and where an evacuation ends it can't name all lives that may be cold until they beat.
        if !self.whole {
            for line in table.values_mut() {
                let lent = line.cold.as_ref().is_some_and(|holder| !holder.is_empty());
                if self.turn && lent || withdrawn.contains(&line.zone) {
                    let barred = ServerInfo { cold: Some(String::new()), ..ServerInfo::clone(line) };
                    *line = Rc::new(barred);
                }
            }
        }
        for mut line in self.lines {
            let known = held.get_key_value(line.id.as_str());
            // A new leader's copy may lag behind what the old one told: a server doesn't come back from draining.
            if self.turn && known.is_some_and(|(_, old)| old.state == ServerState::Draining) {
                line.state = ServerState::Draining;
            }
            let (id, line) = match known {
                Some((id, old)) if **old == line => (id.clone(), old.clone()),
                Some((id, _)) => (id.clone(), Rc::new(line)),
                None => (Rc::from(line.id.as_str()), Rc::new(line)),
            };
            table.insert(id, line);
        }
        for (id, line) in &table {
            if !held.get(id).is_some_and(|old| Rc::ptr_eq(old, line) || old == line) {
                applied.servers.push(id.clone());
            }
        }
        applied.removed_servers.extend(held.keys().filter(|id| !table.contains_key(*id)).cloned());
        table
    }
}
