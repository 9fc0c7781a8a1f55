//! The leader's soft state: what it receives from servers and gateways, and what each watcher has not received yet.

use crate::catalog::WatchCache;
use crate::config_history::ConfigHistory;
use crate::gateways::{CallOutcome, GatewayStatus, Gateways};
use crate::server_counts::{count_servers, ServerCounts};
use crate::servers::{Heartbeat, HeartbeatKind, HeartbeatOutcome, ServerStatus, Servers};
use nickeljunction_messages::{
    Caller, ConfigChange, GatewayInfo, ServerState, TrialInfo, VersionedConfig, WatchAnswer, WatchCall,
};
use nickeljunction_schema::DocumentDigest;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// How long a gateway may use a permit for a cold server, ms. Counted from when the gateway sent the watch call whose
/// answer gave it the permit, less the answer's `age_ms` (see [`crate::SendLimit::of`]). Less than
/// [`Tuning::permit_gap_ms`].
pub const PERMIT_LIFETIME_MS: u64 = 2_500;

/// Time-outs and intervals of the register, ms. [`Tuning::new`] derives them from the settings.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Usual interval between two heartbeats of a server.
    pub heartbeat_ms: u64,
    /// A server instance without a heartbeat for this long is removed. Too short: lost heartbeats empty the table. Too
    /// long: requests are sent to servers that have failed.
    pub silence_ms: u64,
    /// Used instead of `silence_ms` while most instances are silent, because then this machine was probably cut off.
    pub mass_silence_ms: u64,
    /// After a start without a cache the server table counts as incomplete for this long, and gateways keep the servers
    /// that they have in addition. Extended, to four times as long at most, while new instances still register or none
    /// has registered yet.
    pub gathering_ms: u64,
    /// The ids of ended instances are remembered for this long, so that delayed heartbeats don't register them again.
    pub ended_memory_ms: u64,
    /// Heartbeats that arrive within this time after an evacuation was withdrawn may have been sent before that.
    pub reopen_margin_ms: u64,
    /// After a gateway has lost the permit for a cold server, no gateway receives it for this long. More than
    /// [`PERMIT_LIFETIME_MS`].
    pub permit_gap_ms: u64,
    /// A disconnected gateway keeps its permits for this long.
    pub permit_grace_ms: u64,
    /// The next watch call of a gateway arrives within this time after the hold time of the previous one.
    pub gateway_slack_ms: u64,
    /// A gateway counts as alive for this long after it was last connected.
    pub gateway_alive_ms: u64,
    /// A gateway is removed this long after it was last connected.
    pub gateway_removal_ms: u64,
    /// The gateways in a cache have this long to find the new leader.
    pub takeover_ms: u64,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
}

impl Tuning {
    /// The defaults for servers that send a heartbeat every `heartbeat_ms` (at least 100).
    pub fn new(heartbeat_ms: u64, zones: BTreeMap<String, String>) -> Tuning {
        let heartbeat_ms = heartbeat_ms.max(100);
        let silence_ms = heartbeat_ms * 33 / 10;
        Tuning {
            heartbeat_ms,
            silence_ms,
            mass_silence_ms: silence_ms * 4,
            gathering_ms: heartbeat_ms * 3,
            ended_memory_ms: 60_000,
            reopen_margin_ms: 200,
            permit_gap_ms: 3_000,
            permit_grace_ms: 1_000,
            gateway_slack_ms: 1_200,
            gateway_alive_ms: 5_000,
            gateway_removal_ms: 20_000,
            takeover_ms: 4_000,
            zones,
        }
    }

    /// An instance without a heartbeat for longer than this, ms, is reported as silent. It may still send one before it
    /// is removed.
    pub(crate) fn silence_report_ms(&self) -> u64 {
        self.silence_ms.saturating_sub(self.heartbeat_ms * 6 / 5)
    }
}

/// Sequence numbers of changes within a term.
#[derive(Debug)]
pub(crate) struct Sequence(u64);

impl Sequence {
    /// Starts at 0, which stands for nothing received.
    pub(crate) fn new() -> Sequence {
        Sequence(0)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }
}

/// How many gateways have received a change, as their later watch calls show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Propagation {
    /// Connected gateways that have received the change.
    pub gateways: usize,
    /// All connected gateways.
    pub connected_gateways: usize,
}

/// A published value with the sequence number of its last change. `None`: not published yet.
type Published<T> = Option<(T, u64)>;

/// How far a tenant's trial has lapsed, according to the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrialState {
    /// Name of the tenant.
    pub tenant: String,
    /// Increases with each change.
    pub step: u64,
    /// 0: not lapsed at all.
    pub stage: u32,
    /// When the stage takes effect, ms of this leader's clock.
    pub effective_at_ms: u64,
}

impl TrialState {
    /// The line to publish at time `now`.
    fn line(&self, now: u64) -> TrialInfo {
        let in_ms = self.effective_at_ms.saturating_sub(now);
        TrialInfo { tenant: self.tenant.clone(), step: self.step, stage: self.stage, in_ms }
    }
}

/// The published configuration.
#[derive(Debug)]
struct PublishedConfig {
    line: Rc<VersionedConfig>,
    digest: DocumentDigest,
    history: ConfigHistory,
    /// Differences by the version that they start from. Each is made for the first caller that needs it and shared by
    /// all callers of that version.
    differences: RefCell<BTreeMap<u64, Option<Rc<ConfigChange>>>>,
}

impl PublishedConfig {
    /// The difference from version `from`; `None`: there is none that is smaller than the whole document.
    fn change_from(&self, from: u64) -> Option<Rc<ConfigChange>> {
        let make = || {
            let version = self.line.version;
            let difference = self.history.since(from, version, &self.line.document)?;
            Some(Rc::new(ConfigChange { from, version, difference, digest: self.digest }))
        };
        self.differences.borrow_mut().entry(from).or_insert_with(make).clone()
    }
}

/// The time after a start without a cache in which the server table is incomplete.
#[derive(Debug)]
struct Gathering {
    /// Ends at this time if any server has registered.
    end: u64,
    /// Ends at this time in any case.
    latest_end: u64,
}

/// The soft state of a leader in one term: servers, gateways, and the parts of the replicated log that they need.
///
/// Nothing here is stored on disk. A new leader starts from its [`WatchCache`]. Without one it gathers heartbeats for
/// [`Tuning::gathering_ms`], and meanwhile its answers add to what gateways have instead of replacing it.
#[derive(Debug)]
pub struct Register {
    tuning: Tuning,
    term: u64,
    sequence: Sequence,
    servers: Servers,
    gateways: Gateways,
    evacuated_zones: Published<BTreeSet<String>>,
    /// Evacuated zones according to the cache, used until those of the log are set.
    cached_evacuated_zones: BTreeSet<String>,
    core_hosts: Published<Vec<String>>,
    /// All trials that ever changed.
    trials: Published<Vec<TrialState>>,
    config: Option<PublishedConfig>,
    /// Time of the last tick before `config` was set.
    config_set_at: u64,
    /// Set while the server table is incomplete.
    gathering: Option<Gathering>,
    /// Callers with a lower sequence number need the whole server table, because it was incomplete up to then.
    complete_since_seq: u64,
    last_tick: u64,
}

impl Register {
    /// Starts leading in `term` (above 0) from what this member received as a follower.
    pub fn new(now: u64, tuning: Tuning, term: u64, cache: Option<WatchCache>) -> Register {
        let mut sequence = Sequence::new();
        let complete = cache.as_ref().is_some_and(WatchCache::is_complete);
        let cache = cache.unwrap_or_default();
        let catalog = cache.catalog();
        let servers = Servers::new(now, &tuning, &cache, &mut sequence);
        let gateways = Gateways::new(now, &tuning, &catalog.roster, catalog.gateway_count, &mut sequence);
        Register {
            gathering: (!complete).then_some(Gathering {
                end: now + tuning.gathering_ms,
                latest_end: now + 4 * tuning.gathering_ms,
            }),
            tuning,
            term,
            sequence,
            servers,
            gateways,
            evacuated_zones: None,
            cached_evacuated_zones: BTreeSet::clone(&catalog.evacuated_zones),
            core_hosts: None,
            trials: None,
            config: None,
            config_set_at: now,
            complete_since_seq: 0,
            last_tick: now,
        }
    }

    /// The term in which this member leads.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Sequence number of the newest change. When it increases, there may be answers for held watch calls.
    pub fn seq(&self) -> u64 {
        self.sequence.0
    }

    /// Whether the server table may still lack servers, because it was started without a cache and they have not sent a
    /// heartbeat yet.
    pub fn is_gathering(&self) -> bool {
        self.gathering.is_some()
    }

    /// Applies the departures from the replicated log, which take precedence over the cache: draining servers with the
    /// number of the call that announced it, and ended servers. Must be called right after [`Register::new`].
    pub fn apply_departures(&mut self, now: u64, draining: &BTreeMap<String, u64>, ended: &BTreeSet<String>) {
        self.servers.apply_departures(now, &self.tuning, draining, ended, &mut self.sequence);
    }

    /// State of the server instance `id`; `None`: it is not in the table.
    pub fn server_state(&self, id: &str) -> Option<ServerState> {
        self.servers.state(id)
    }

    /// Records a server's heartbeat. The caller must acknowledge it whatever the outcome is; one that announces
    /// `draining` only when the change [`HeartbeatOutcome::seq`] has reached all gateways, see [`Register::propagation`].
    pub fn record_heartbeat(&mut self, now: u64, id: &str, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        let outcome = self.servers.record_heartbeat(
            now,
            &self.tuning,
            &self.gateways,
            id,
            heartbeat,
            &mut self.sequence,
        );
        if let (HeartbeatKind::Registered, Some(gathering)) = (outcome.kind, &mut self.gathering) {
            gathering.end = gathering.end.max(now + self.tuning.heartbeat_ms);
        }
        outcome
    }

    /// Removes a server that announced its end. Returns the sequence number of this change, or of the newest one if the
    /// server was not in the table. The announcement must be acknowledged only when that change has reached all gateways.
    pub fn remove_server(&mut self, now: u64, id: &str) -> u64 {
        self.servers.remove(now, &self.tuning, id, &mut self.sequence);
        self.seq()
    }

    /// Applies everything that depends on time. Must be called every 100 to 500 ms: a longer pause counts as time in
    /// which this process was suspended. Returns the ids of servers that were removed because they were silent.
    pub fn tick(&mut self, now: u64) -> Vec<String> {
        let pause = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        // Heartbeats that arrived while this process was suspended have not been read yet, so no server counts as silent
        // for that time.
        if pause > 1_000 {
            self.servers.discount_pause(now, pause);
        }
        self.gateways.refresh(now, &self.tuning, &mut self.sequence);
        let expired = self.servers.expire(now, &self.tuning, &mut self.sequence);
        self.servers.update_warmth(now, &self.tuning, &self.gateways, &mut self.sequence);
        let has_ended = |gathering: &Gathering| {
            now >= gathering.latest_end || now >= gathering.end && self.servers.count() > 0
        };
        if self.gathering.as_ref().is_some_and(has_ended) {
            self.gathering = None;
            self.complete_since_seq = self.sequence.next();
        }
        expired
    }

    /// Records a watch call of a gateway or of a follower. Must be called before [`Register::answer`].
    pub fn record_watch_call(&mut self, now: u64, call: &WatchCall) -> CallOutcome {
        let acknowledged_seq = if call.term == self.term { call.seq } else { 0 };
        match call.caller {
            Caller::Gateway => {
                self.gateways.record_call(now, &self.tuning, call, acknowledged_seq, &mut self.sequence)
            }
            Caller::Core => CallOutcome::CoreMember,
        }
    }

    /// The watch connection of the gateway process `life` broke.
    pub fn gateway_disconnected(&mut self, now: u64, name: &str, life: u64) {
        self.gateways.disconnected(now, &self.tuning, name, life, &mut self.sequence);
    }

    /// Number of gateways that were connected within the last [`Tuning::gateway_alive_ms`], and after a take-over at
    /// least as many as in the cache. Quota shares are divided by it, so it is overestimated rather than underestimated.
    pub fn gateway_count(&self) -> u32 {
        self.gateways.count()
    }

    /// All gateways, as the directory needs them.
    pub fn roster(&self) -> Rc<Vec<GatewayInfo>> {
        self.gateways.roster().lines().clone()
    }

    /// Number of server instances.
    pub fn server_count(&self) -> usize {
        self.servers.count()
    }

    /// Number of server instances by service and state.
    pub fn server_counts(&self) -> ServerCounts {
        count_servers(self.servers.lines())
    }

    /// Status of each gateway that has sent its line.
    pub fn gateway_statuses(&self, now: u64) -> Vec<GatewayStatus> {
        self.gateways.statuses(now)
    }

    /// Status of the gateway process `life`; `None`: it has ended, or has not sent this leader its line.
    pub fn gateway_status(&self, now: u64, life: u64) -> Option<GatewayStatus> {
        self.gateways.status_of(now, life)
    }

    /// Status of each server instance.
    pub fn server_statuses(&self, now: u64) -> Vec<ServerStatus> {
        self.servers.statuses(now, &self.tuning)
    }

    /// Time since the configuration was set under this leader, ms, accurate to the interval of ticks.
    pub fn config_age(&self, now: u64) -> u64 {
        now.saturating_sub(self.config_set_at)
    }

    /// Sets the evacuated zones, all of them, according to the replicated log. Servers of a zone whose evacuation was
    /// withdrawn receive no requests until each has sent a heartbeat, because they may have turned cold.
    pub fn set_evacuated_zones(&mut self, now: u64, zones: BTreeSet<String>) {
        let previous = match &self.evacuated_zones {
            Some((published, _)) if *published == zones => return,
            Some((published, _)) => published,
            None => &self.cached_evacuated_zones,
        };
        let reopened: BTreeSet<&String> = previous.difference(&zones).collect();
        self.servers.await_warmth(now, &self.tuning, &reopened, &mut self.sequence);
        self.evacuated_zones = Some((zones, self.sequence.next()));
    }

    /// Sets the IP addresses of the core members' machines.
    pub fn set_core_hosts(&mut self, hosts: Vec<String>) {
        if self.core_hosts.as_ref().is_none_or(|(published, _)| *published != hosts) {
            self.core_hosts = Some((hosts, self.sequence.next()));
        }
    }

    /// Sets all trials that ever changed, according to the replicated log. An empty list is not published unless another
    /// one was.
    pub fn set_trials(&mut self, trials: Vec<TrialState>) {
        let published = self.trials.as_ref().map_or(&[][..], |(published, _)| published);
        if published != trials {
            self.trials = Some((trials, self.sequence.next()));
        }
    }

    /// Sets the newest committed configuration, with its digest and the changes that led to it. Has no effect if it is
    /// not newer than the current one.
    pub fn set_config(&mut self, line: Rc<VersionedConfig>, digest: DocumentDigest, history: ConfigHistory) {
        if self.config.as_ref().is_none_or(|config| config.line.version < line.version) {
            self.config = Some(PublishedConfig { line, digest, history, differences: RefCell::default() });
            self.config_set_at = self.last_tick;
            self.sequence.next();
        }
    }

    /// How many gateways have received the change `seq`. Only for changes of servers and of evacuated zones.
    pub fn propagation(&self, now: u64, seq: u64) -> Propagation {
        let (gateways, connected_gateways) = self.gateways.propagation(now, seq);
        Propagation { gateways, connected_gateways }
    }

    /// Everything that the caller has not received yet; `None`: there is nothing, and the call must be held. `age_ms` is
    /// the time since a majority last confirmed this member as leader.
    pub fn answer(&self, now: u64, call: &WatchCall, age_ms: u64) -> Option<WatchAnswer> {
        if call.term > self.term {
            return None;
        }
        let same_term = call.term == self.term && call.seq <= self.seq();
        let since = if same_term { call.seq } else { 0 };
        let mut answer = self.empty_answer(age_ms);
        // While the table is incomplete, a caller that has nothing receives it as the full table all the same, but not a
        // core member: as the next leader it would take the table for complete.
        let partial = self.is_gathering() && (call.caller == Caller::Core || call.term != 0);
        if same_term && self.has_full_table(call) && self.servers.has_differences_since(since) {
            self.servers.add_changes(since, &mut answer);
        } else {
            answer.is_full_list = !partial;
            answer.servers = self.servers.cloned_lines();
            if partial {
                // The caller adds these servers to those it has, which may include some that were removed under this
                // leader.
                answer.removed_servers = self.servers.removed_ids();
            }
        }
        self.add_config(call, &mut answer);
        let evacuated_zones = self.evacuated_zones.as_ref().filter(|(_, seq)| *seq > since);
        answer.evacuated_zones = evacuated_zones.map(|(zones, _)| zones.iter().cloned().collect());
        let core_hosts = self.core_hosts.as_ref().filter(|(_, seq)| *seq > since);
        answer.core_hosts = core_hosts.map(|(hosts, _)| hosts.clone());
        let trials = self.trials.as_ref().filter(|(_, seq)| *seq > since);
        answer.trials = trials.map(|(trials, _)| trials.iter().map(|trial| trial.line(now)).collect());
        answer.gateway_count = (self.gateways.count_seq() > since).then(|| self.gateways.count());
        self.add_roster(call, since, &mut answer);
        let has_content = !same_term
            || answer.is_full_list
            || !answer.servers.is_empty()
            || !answer.removed_servers.is_empty()
            || answer.config.is_some()
            || answer.config_change.is_some()
            || answer.evacuated_zones.is_some()
            || answer.core_hosts.is_some()
            || answer.trials.is_some()
            || answer.gateway_count.is_some()
            || answer.roster.is_some()
            || answer.roster_change.is_some();
        has_content.then_some(answer)
    }

    /// Whether the caller has exactly the servers that this leader's table had at the caller's sequence number.
    fn has_full_table(&self, call: &WatchCall) -> bool {
        call.seq >= self.complete_since_seq || call.has_full_server_list
    }

    /// Whether there is a change for the caller that must be sent at once. New servers, new gateways and the number of
    /// gateways may wait.
    pub fn has_urgent_changes(&self, call: &WatchCall) -> bool {
        let since = call.seq;
        let same_term = call.term == self.term && 0 < since && since <= self.seq();
        let is_newer = |seq: u64| seq > since;
        let config = self.config.as_ref().is_some_and(|config| config.line.version > call.version);
        !same_term
            || !self.has_full_table(call)
            || is_newer(self.servers.urgent_seq())
            || receives_roster(call) && is_newer(self.gateways.roster().urgent_seq())
            || call.caller == Caller::Gateway && config
            || self.evacuated_zones.as_ref().is_some_and(|(_, seq)| is_newer(*seq))
            || self.core_hosts.as_ref().is_some_and(|(_, seq)| is_newer(*seq))
            || self.trials.as_ref().is_some_and(|(_, seq)| is_newer(*seq))
    }

    /// Adds the list of gateways if the caller receives it: the difference to the caller's list if that is known,
    /// otherwise the whole list.
    fn add_roster(&self, call: &WatchCall, since: u64, answer: &mut WatchAnswer) {
        let roster = self.gateways.roster();
        if !receives_roster(call) || roster.changed_seq() <= since {
            return;
        }
        answer.roster_change = if call.accepts_roster_changes { roster.change_since(since) } else { None };
        if answer.roster_change.is_none() {
            answer.roster = Some(roster.lines().to_vec());
        }
    }

    /// Adds the configuration if the caller has an older one: the difference to the caller's version if that is known,
    /// otherwise the whole document.
    fn add_config(&self, call: &WatchCall, answer: &mut WatchAnswer) {
        // Core members read the configuration from the log.
        let needed =
            |config: &&PublishedConfig| call.caller == Caller::Gateway && config.line.version > call.version;
        let Some(config) = self.config.as_ref().filter(needed) else { return };
        answer.config_change =
            if call.accepts_config_changes { config.change_from(call.version) } else { None };
        if answer.config_change.is_none() {
            answer.config = Some(config.line.clone());
        }
    }

    /// The answer to a call that was held for its whole hold time without any change.
    pub fn empty_answer(&self, age_ms: u64) -> WatchAnswer {
        WatchAnswer { term: self.term, seq: self.seq(), quorum_age_ms: age_ms, ..WatchAnswer::default() }
    }
}

/// Whether the caller receives the list of gateways.
fn receives_roster(call: &WatchCall) -> bool {
    call.caller == Caller::Core || call.serves_directory
}
