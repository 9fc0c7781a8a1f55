//! The leader's registers as one: what comes in, what is new for whom.

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

/// How long a gateway may go by a permit for a cold server, ms, counted from the sending of the watch call whose answer
/// told it, less the answer's `age_ms` (see [`crate::SendLimit::of`]). Below [`Tuning::permit_gap_ms`].
pub const PERMIT_LIFE_MS: u64 = 2_500;

/// Times of the registers, ms. [`Tuning::new`] derives them from the settings.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Servers beat about that often.
    pub heartbeat_ms: u64,
    /// A life that was silent for so long is withdrawn. Too short: lost beats empty the table; too long: requests go to
    /// the dead.
    pub silence_ms: u64,
    /// The same while most lives are silent: then this machine was cut off, not they.
    pub mass_silence_ms: u64,
    /// So long after a start without a copy the table is not whole, and gateways keep what they had besides. Longer, at
    /// most four times as long, while lives still come or none has.
    pub gather_ms: u64,
    /// Ids of lives that ended are remembered for so long, against late beats.
    pub ended_ms: u64,
    /// After an evacuation's withdrawal beats within this time may have been sent before it.
    pub hold_margin_ms: u64,
    /// Nobody has the permit for a cold server for so long after it was taken from a gateway. Above [`PERMIT_LIFE_MS`].
    pub permit_gap_ms: u64,
    /// A gateway out of reach keeps its permits for so long.
    pub permit_patience_ms: u64,
    /// A gateway's next watch call comes within this time after the hold of the one before.
    pub gateway_slack_ms: u64,
    /// Gateways count as alive for so long after they were last there.
    pub gateway_alive_ms: u64,
    /// Gateways are forgotten so long after they were last there.
    pub gateway_forget_ms: u64,
    /// A copy's gateways have so long to find the new leader.
    pub takeover_ms: u64,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
}

impl Tuning {
    /// The usual times for servers that beat every `heartbeat_ms` (at least 100).
    pub fn new(heartbeat_ms: u64, zones: BTreeMap<String, String>) -> Tuning {
        let heartbeat_ms = heartbeat_ms.max(100);
        let silence_ms = heartbeat_ms * 33 / 10;
        Tuning {
            heartbeat_ms,
            silence_ms,
            mass_silence_ms: silence_ms * 4,
            gather_ms: heartbeat_ms * 3,
            ended_ms: 60_000,
            hold_margin_ms: 200,
            permit_gap_ms: 3_000,
            permit_patience_ms: 1_000,
            gateway_slack_ms: 1_200,
            gateway_alive_ms: 5_000,
            gateway_forget_ms: 20_000,
            takeover_ms: 4_000,
            zones,
        }
    }

    /// A life that was silent for longer, ms, is missed; it may still be back before it is withdrawn.
    pub(crate) fn missing_ms(&self) -> u64 {
        self.silence_ms.saturating_sub(self.heartbeat_ms * 6 / 5)
    }
}

/// Numbers of changes within a term.
#[derive(Debug)]
pub(crate) struct Numbering(u64);

impl Numbering {
    /// From 0: nothing was told.
    pub(crate) fn new() -> Numbering {
        Numbering(0)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }
}

/// How far a change has come round, by the watch calls that followed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Propagation {
    /// Gateways that have it.
    pub gateways: usize,
    /// Gateways that are there now.
    pub connected_gateways: usize,
}

/// Something published: what it is, and the number of its last change. `None`: not told yet.
type Told<T> = Option<(T, u64)>;

/// How far a tenant's trial has lapsed, by the agreed log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrialState {
    /// Whose.
    pub tenant: String,
    /// Rises with each change.
    pub step: u64,
    /// 0: not at all.
    pub stage: u32,
    /// From then on it holds, ms of this leader's clock.
    pub effective_at_ms: u64,
}

impl TrialState {
    /// As it is told now.
    fn line(&self, now: u64) -> TrialInfo {
        let in_ms = self.effective_at_ms.saturating_sub(now);
        TrialInfo { tenant: self.tenant.clone(), step: self.step, stage: self.stage, in_ms }
    }
}

/// A configuration as it is told.
#[derive(Debug)]
struct Published {
    line: Rc<VersionedConfig>,
    digest: DocumentDigest,
    changes: ConfigHistory,
    /// Made when the first caller asks for it, the same for all of one version.
    made: RefCell<BTreeMap<u64, Option<Rc<ConfigChange>>>>,
}

impl Published {
    /// What leads to it from version `from`; `None`: nothing does that is less than the whole.
    fn change(&self, from: u64) -> Option<Rc<ConfigChange>> {
        let make = || {
            let version = self.line.version;
            let difference = self.changes.since(from, version, &self.line.document)?;
            Some(Rc::new(ConfigChange { from, version, difference, digest: self.digest }))
        };
        self.made.borrow_mut().entry(from).or_insert_with(make).clone()
    }
}

/// A start without a copy.
#[derive(Debug)]
struct Gathering {
    /// Over then, if lives have come.
    end: u64,
    /// Over then in any case.
    last: u64,
}

/// The soft state of a leader in one term: servers, gateways, and what the agreed log says for them to know.
///
/// Nothing here is on disk. A successor starts from its [`WatchCache`]; without one it gathers for
/// [`Tuning::gather_ms`], and its answers add to what gateways have instead of replacing it.
#[derive(Debug)]
pub struct Register {
    tuning: Tuning,
    term: u64,
    numbers: Numbering,
    servers: Servers,
    gateways: Gateways,
    evacuated: Told<BTreeSet<String>>,
    /// The copy's evacuated zones, until the log's are told.
    before: BTreeSet<String>,
    core: Told<Vec<String>>,
    /// All trials that ever changed.
    trials: Told<Vec<TrialState>>,
    config: Option<Published>,
    /// When `config` came, to the tick.
    config_at: u64,
    /// The table is not whole before that.
    gathering: Option<Gathering>,
    /// Answers from before this number can't be continued by differences.
    whole_at: u64,
    ticked: u64,
}

impl Register {
    /// Starts leading in `term` (above 0), from what this member had learned as a follower.
    pub fn new(now: u64, tuning: Tuning, term: u64, copy: Option<WatchCache>) -> Register {
        let mut numbers = Numbering::new();
        let complete = copy.as_ref().is_some_and(WatchCache::is_complete);
        let copy = copy.unwrap_or_default();
        let catalog = copy.catalog();
        let servers = Servers::new(now, &tuning, &copy, &mut numbers);
        let gateways = Gateways::new(now, &tuning, &catalog.roster, catalog.gateway_count, &mut numbers);
        Register {
            gathering: (!complete)
                .then_some(Gathering { end: now + tuning.gather_ms, last: now + 4 * tuning.gather_ms }),
            tuning,
            term,
            numbers,
            servers,
            gateways,
            evacuated: None,
            before: BTreeSet::clone(&catalog.evacuated_zones),
            core: None,
            trials: None,
            config: None,
            config_at: now,
            whole_at: 0,
            ticked: now,
        }
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Number of the newest change: where it rose, held watch calls may have an answer.
    pub fn seq(&self) -> u64 {
        self.numbers.0
    }

    /// The table may lack lives that have not beaten since the start without a copy.
    pub fn is_gathering(&self) -> bool {
        self.gathering.is_some()
    }

    /// Servers that left by the agreed log, whatever the copy said of them: those that drain, each with the number of the
    /// call that said so, and those that ended. To be told right after [`Register::new`].
    pub fn apply_departures(&mut self, now: u64, draining: &BTreeMap<String, u64>, ended: &BTreeSet<String>) {
        self.servers.departed(now, &self.tuning, draining, ended, &mut self.numbers);
    }

    /// State of the server of this id; `None`: it is not in the table.
    pub fn server_state(&self, id: &str) -> Option<ServerState> {
        self.servers.state(id)
    }

    /// A server says that it lives. Whatever the outcome, the call is to be acknowledged; one that says `draining` only
    /// when [`HeartbeatOutcome::at`] has come round, see [`Register::propagation`].
    pub fn record_heartbeat(&mut self, now: u64, id: &str, beat: &Heartbeat) -> HeartbeatOutcome {
        let outcome = self.servers.beat(now, &self.tuning, &self.gateways, id, beat, &mut self.numbers);
        if let (HeartbeatKind::Registered, Some(gathering)) = (outcome.kind, &mut self.gathering) {
            gathering.end = gathering.end.max(now + self.tuning.heartbeat_ms);
        }
        outcome
    }

    /// A server says that it is gone. Returns the number of the change that withdrew it, or of the newest one if it was
    /// not there; to be acknowledged when that has come round.
    pub fn remove_server(&mut self, now: u64, id: &str) -> u64 {
        self.servers.leave(now, &self.tuning, id, &mut self.numbers);
        self.seq()
    }

    /// Lets time pass: to be called every 100 to 500 ms, for a longer pause is taken for one in which this machine stood
    /// still. Returns the lives that were withdrawn for their silence.
    pub fn tick(&mut self, now: u64) -> Vec<String> {
        let pause = now.saturating_sub(self.ticked);
        self.ticked = now;
        // Beats that came while this process was frozen are still unread: nobody was silent.
        if pause > 1_000 {
            self.servers.stood_still(now, pause);
        }
        self.gateways.refresh(now, &self.tuning, &mut self.numbers);
        let expired = self.servers.expire(now, &self.tuning, &mut self.numbers);
        self.servers.warm(now, &self.tuning, &self.gateways, &mut self.numbers);
        let over = |wait: &Gathering| now >= wait.last || now >= wait.end && self.servers.count() > 0;
        if self.gathering.as_ref().is_some_and(over) {
            self.gathering = None;
            self.whole_at = self.numbers.next();
        }
        expired
    }

    /// A watch call came in, of a gateway or of a follower; to be told before [`Register::answer`] is asked.
    pub fn record_watch_call(&mut self, now: u64, call: &WatchCall) -> CallOutcome {
        let has = if call.term == self.term { call.seq } else { 0 };
        match call.caller {
            Caller::Gateway => self.gateways.called(now, &self.tuning, call, has, &mut self.numbers),
            Caller::Core => CallOutcome::CoreMember,
        }
    }

    /// The watch connection of a gateway's life broke.
    pub fn gateway_disconnected(&mut self, now: u64, name: &str, life: u64) {
        self.gateways.left(now, &self.tuning, name, life, &mut self.numbers);
    }

    /// How many gateways there are: those that were there in the last [`Tuning::gateway_alive_ms`], and after a
    /// take-over at least as many as the copy told. Rather too many than too few: shares are divided by it.
    pub fn gateway_count(&self) -> u32 {
        self.gateways.count()
    }

    /// All gateways, as the directory needs them.
    pub fn roster(&self) -> Rc<Vec<GatewayInfo>> {
        self.gateways.roster().lines().clone()
    }

    /// How many lives of servers there are.
    pub fn server_count(&self) -> usize {
        self.servers.count()
    }

    /// How many lives of each service are in which state.
    pub fn server_counts(&self) -> ServerCounts {
        count_servers(self.servers.lines())
    }

    /// How each gateway stands that has told its line.
    pub fn gateway_statuses(&self, now: u64) -> Vec<GatewayStatus> {
        self.gateways.standings(now)
    }

    /// How a gateway's process stands, by its life; `None`: it has ended, or has not told this leader its line.
    pub fn gateway_status(&self, now: u64, life: u64) -> Option<GatewayStatus> {
        self.gateways.standing_of(now, life)
    }

    /// How each life of a server stands.
    pub fn server_statuses(&self, now: u64) -> Vec<ServerStatus> {
        self.servers.standings(now, &self.tuning)
    }

    /// So long ago, ms, give or take a tick, the configuration came under this leader.
    pub fn config_age(&self, now: u64) -> u64 {
        now.saturating_sub(self.config_at)
    }

    /// Zones that are evacuated, all of them, by the agreed log. Servers of a zone whose evacuation is withdrawn are
    /// held until each has beaten, for they may have turned cold.
    pub fn set_evacuated_zones(&mut self, now: u64, zones: BTreeSet<String>) {
        let before = match &self.evacuated {
            Some((told, _)) if *told == zones => return,
            Some((told, _)) => told,
            None => &self.before,
        };
        let withdrawn: BTreeSet<&String> = before.difference(&zones).collect();
        self.servers.hold(now, &self.tuning, &withdrawn, &mut self.numbers);
        self.evacuated = Some((zones, self.numbers.next()));
    }

    /// The core's machines, by IP address.
    pub fn set_core_hosts(&mut self, hosts: Vec<String>) {
        if self.core.as_ref().is_none_or(|(told, _)| *told != hosts) {
            self.core = Some((hosts, self.numbers.next()));
        }
    }

    /// All trials that ever changed, by the agreed log. None: there is nothing to tell.
    pub fn set_trials(&mut self, tides: Vec<TrialState>) {
        let told = self.trials.as_ref().map_or(&[][..], |(told, _)| told);
        if told != tides {
            self.trials = Some((tides, self.numbers.next()));
        }
    }

    /// The newest configuration that was agreed on, with its digest and what led to it; an older one than is held changes
    /// nothing.
    pub fn set_config(&mut self, line: Rc<VersionedConfig>, digest: DocumentDigest, changes: ConfigHistory) {
        if self.config.as_ref().is_none_or(|held| held.line.version < line.version) {
            self.config = Some(Published { line, digest, changes, made: RefCell::default() });
            self.config_at = self.ticked;
            self.numbers.next();
        }
    }

    /// How far the change of number `seq` has come round; for changes of servers and evacuations.
    pub fn propagation(&self, now: u64, seq: u64) -> Propagation {
        let (gateways, connected_gateways) = self.gateways.reached(now, seq);
        Propagation { gateways, connected_gateways }
    }

    /// What the caller lacks; `None`: nothing, and the call is to be held. `age_ms`: so long ago a majority agreed that
    /// this member leads.
    pub fn answer(&self, now: u64, call: &WatchCall, age_ms: u64) -> Option<WatchAnswer> {
        if call.term > self.term {
            return None;
        }
        let own = call.term == self.term && call.seq <= self.seq();
        let since = if own { call.seq } else { 0 };
        let mut answer = self.empty_answer(age_ms);
        // One that has nothing is told all there is as the whole, unless a successor would take it for that.
        let partial = self.is_gathering() && (call.caller == Caller::Core || call.term != 0);
        if own && self.holds_all(call) && self.servers.follows(since) {
            self.servers.since(since, &mut answer);
        } else {
            answer.is_full_list = !partial;
            answer.servers = self.servers.all();
            if partial {
                // It goes on top of what the caller has, which may name lives that went under this leader.
                answer.removed_servers = self.servers.all_gone();
            }
        }
        self.add_config(call, &mut answer);
        let evacuated = self.evacuated.as_ref().filter(|(_, at)| *at > since);
        answer.evacuated_zones = evacuated.map(|(zones, _)| zones.iter().cloned().collect());
        answer.core_hosts = self.core.as_ref().filter(|(_, at)| *at > since).map(|(hosts, _)| hosts.clone());
        let trials = self.trials.as_ref().filter(|(_, at)| *at > since);
        answer.trials = trials.map(|(tides, _)| tides.iter().map(|tide| tide.line(now)).collect());
        answer.gateway_count = (self.gateways.count_at() > since).then(|| self.gateways.count());
        self.add_roster(call, since, &mut answer);
        let news = !own
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
        news.then_some(answer)
    }

    /// The caller has all lives of this leader's table up to its number, and no others.
    fn holds_all(&self, call: &WatchCall) -> bool {
        call.seq >= self.whole_at || call.has_full_server_list
    }

    /// The caller lacks something that must not wait. What may: servers and gateways that came, and how many gateways
    /// there are.
    pub fn has_urgent_changes(&self, call: &WatchCall) -> bool {
        let since = call.seq;
        let own = call.term == self.term && 0 < since && since <= self.seq();
        let later = |at: u64| at > since;
        let config = self.config.as_ref().is_some_and(|held| held.line.version > call.version);
        !own || !self.holds_all(call)
            || later(self.servers.pressing_at())
            || told_roster(call) && later(self.gateways.roster().pressing_at())
            || call.caller == Caller::Gateway && config
            || self.evacuated.as_ref().is_some_and(|(_, at)| later(*at))
            || self.core.as_ref().is_some_and(|(_, at)| later(*at))
            || self.trials.as_ref().is_some_and(|(_, at)| later(*at))
    }

    /// The list of gateways where the caller is told it: what differs from the caller's own where that is known, else the whole.
    fn add_roster(&self, call: &WatchCall, since: u64, answer: &mut WatchAnswer) {
        let roster = self.gateways.roster();
        if !told_roster(call) || roster.changed_at() <= since {
            return;
        }
        answer.roster_change = if call.accepts_roster_changes { roster.change_since(since) } else { None };
        if answer.roster_change.is_none() {
            answer.roster = Some(roster.lines().to_vec());
        }
    }

    /// The configuration where the caller lacks it: what differs from the caller's own where that is known, else the whole.
    fn add_config(&self, call: &WatchCall, answer: &mut WatchAnswer) {
        // A core member has it from the log.
        let asks = |held: &&Published| call.caller == Caller::Gateway && held.line.version > call.version;
        let Some(held) = self.config.as_ref().filter(asks) else { return };
        answer.config_change = if call.accepts_config_changes { held.change(call.version) } else { None };
        if answer.config_change.is_none() {
            answer.config = Some(held.line.clone());
        }
    }

    /// The answer to a call that was held for its whole time without news.
    pub fn empty_answer(&self, age_ms: u64) -> WatchAnswer {
        WatchAnswer { term: self.term, seq: self.seq(), quorum_age_ms: age_ms, ..WatchAnswer::default() }
    }
}

/// The caller is told the list of gateways.
fn told_roster(call: &WatchCall) -> bool {
    call.caller == Caller::Core || call.serves_directory
}
