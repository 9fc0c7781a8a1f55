//! The links to the core: one held call that brings what is new, and the counted adds.

mod claims;

use crate::exchange::{Admission, AdmissionDecision};
use crate::hedge::HedgeDelay;
use crate::lease::Lease;
use crate::proxy::{BackendConfig, Proxy};
use crate::table::{SnapshotCell, Table};
use crate::tenant_pacing::TenantPacing;
use crate::upstream::Location;
use crate::wake_timer::WakeTimer;
use crate::watch::{Call, CallAction, CallOutcome, Watcher, CONNECT_TIMEOUT_MS, GIVE_UP_MS};
use bytes::Bytes;
use nickeljunction_messages::{
    path, GatewayInfo, LeaderRedirect, PaceSharesCall, ServerInfo, UnitsAnswer, WatchAnswer,
};
use nickeljunction_net::caller::Caller;
use nickeljunction_net::compression;
use nickeljunction_net::figures::MOST_LABELLED;
use nickeljunction_net::wheel::Wheel;
use nickeljunction_quota::{Allowance, Holding, Limit, Spend};
use nickeljunction_registry::{ApplyError, SendLimit, WatchCache};
use nickeljunction_schema::{Bounds, Config, Document};
use serde::{de::DeserializeOwned, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};

/// How long a counted add may take, ms.
const UNITS_MS: f64 = 300.0;
/// How long a request waits for units: the counter's short time-out, ms.
const WAIT_MS: f64 = 220.0;
/// So much longer where the call for them is under way, ms.
const ANSWER_DUE_MS: f64 = 60.0;
/// When a client is to come back while the core is out of touch, ms.
const STALE_MS: f64 = 700.0;
/// Since the core was last heard, ms: held calls are answered every second, units last for 4 s.
const OUT_OF_TOUCH_MS: f64 = 3_000.0;

/// What this gateway is, for the core.
pub struct GatewayIdentity {
    /// Where it stands.
    pub place: Location,
    /// Where clients reach it.
    pub client_address: String,
    /// Inner port of core machines.
    pub inner_port: u16,
    /// Drawn at this process's start.
    pub incarnation: u64,
    /// Figures of the rules.
    pub bounds: Bounds,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// It serves the directory, too.
    pub serves_directory: bool,
}

/// What a gateway knows of the core, for operators.
pub struct CoreStatus {
    /// Version of the configuration in force; 0: none yet.
    pub config_version: u64,
    /// Term of the leader that told it.
    pub term: u64,
    /// Who leads, where one answered last.
    pub leader: Option<String>,
    /// How old the knowledge is, ms; infinite before the first answer.
    pub knowledge_age_ms: f64,
    /// Units of tenants.
    pub units: Vec<Holding>,
}

/// See the module.
pub struct CoreClient {
    own: GatewayIdentity,
    wheel: Wheel,
    caller: Rc<Caller>,
    /// For watch calls, which may take their time.
    patient: Rc<Caller>,
    table: Rc<SnapshotCell<Table>>,
    proxy: Rc<Proxy>,
    watcher: RefCell<Watcher>,
    copy: RefCell<WatchCache>,
    allowance: RefCell<Allowance>,
    lease: RefCell<Lease>,
    ebb: Rc<TenantPacing>,
    /// Of claims at the leader.
    claim_delay: Cell<HedgeDelay>,
    /// Of questions to other gateways.
    recall_delay: Cell<HedgeDelay>,
    leaving: Cell<bool>,
    permits_told: Cell<bool>,
    /// The leader is to be asked at once: this gateway has something to say, or a doubt.
    recall: Notify,
    /// When the leader is to be asked may have come nearer.
    behind: Notify,
    /// Units came, or won't.
    units: Notify,
    /// When the next counted add is due.
    add_due: WakeTimer,
    dice: RefCell<fastrand::Rng>,
}

impl CoreClient {
    /// A gateway that knows only the seeds' hosts.
    pub fn new(
        own: GatewayIdentity,
        wheel: Wheel,
        caller: Rc<Caller>,
        table: Rc<SnapshotCell<Table>>,
        proxy: Rc<Proxy>,
        seeds: Vec<String>,
        seed: u64,
    ) -> Rc<CoreClient> {
        let window = (own.bounds.quota_window_s * 1_000.0) as u64;
        let tuning = nickeljunction_quota::Tuning::new(window);
        let allowance = Allowance::new(wheel.now() as u64, own.place.name.clone(), own.incarnation, tuning);
        let lease = Lease::new(own.bounds.revocation_strict, own.bounds.revoke_timeout_s * 1_000.0);
        let watcher = RefCell::new(Watcher::new(seeds, 0));
        let patient = Caller::within(wheel.clone(), CONNECT_TIMEOUT_MS);
        let ebb = Rc::new(TenantPacing::new(wheel.clone()));
        Rc::new(CoreClient {
            own,
            wheel,
            caller,
            patient,
            table,
            proxy,
            watcher,
            copy: RefCell::new(WatchCache::new()),
            allowance: RefCell::new(allowance),
            lease: RefCell::new(lease),
            ebb,
            claim_delay: Cell::default(),
            recall_delay: Cell::default(),
            leaving: Cell::new(false),
            permits_told: Cell::new(false),
            recall: Notify::new(),
            behind: Notify::new(),
            units: Notify::new(),
            add_due: WakeTimer::default(),
            dice: RefCell::new(fastrand::Rng::with_seed(seed)),
        })
    }

    /// It may take clients: a configuration is known that was current when this process asked.
    pub fn is_ready(&self) -> bool {
        !self.leaving.get()
            && self.copy.borrow().catalog().version() > 0
            && self.lease.borrow().is_valid(self.wheel.now())
    }

    /// It can't serve tenants' requests, or soon won't: the core has not been heard of for long.
    pub fn is_out_of_touch(&self) -> bool {
        !self.is_ready() || self.lease.borrow().age_ms(self.wheel.now()) > OUT_OF_TOUCH_MS
    }

    /// This machine's name.
    pub fn name(&self) -> &str {
        &self.own.place.name
    }

    /// The order to leave: the core is told at once.
    pub fn begin_shutdown(&self) {
        self.leaving.set(true);
        self.ebb.begin_shutdown();
        self.recall.notify_one();
    }

    /// What slows tenants here.
    pub fn ebb(&self) -> &Rc<TenantPacing> {
        &self.ebb
    }

    /// Who asks for shares of paces.
    pub(crate) fn pace_shares_call(&self) -> PaceSharesCall {
        PaceSharesCall {
            name: self.own.place.name.clone(),
            incarnation: self.own.incarnation,
            ..PaceSharesCall::default()
        }
    }

    /// A call to the leader, where one is known; its answer, where it leads.
    pub(crate) async fn call_leader<C: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        call: &C,
        timeout_ms: f64,
    ) -> Option<A> {
        let host = self.watcher.borrow().leader()?.to_string();
        let to = self.address(&host)?;
        let body = serde_json::to_vec(call).ok()?;
        match self.caller.call(to, "POST", path, &[], &body, timeout_ms).await {
            Ok(reply) if reply.status == 200 => serde_json::from_slice(&reply.body).ok(),
            Ok(_) => None,
            Err(error) => {
                log::debug!("event=core_silent step={path} peer={to} error={:?}", error.to_string());
                None
            }
        }
    }

    /// All gateways, as far as is known here.
    pub fn gateways(&self) -> Rc<Vec<GatewayInfo>> {
        self.copy.borrow().catalog().roster.clone()
    }

    /// Region of each zone.
    pub fn zones(&self) -> &BTreeMap<String, String> {
        &self.own.zones
    }

    /// Regions that are a home of each of a host's routes with homes; see [`Table::host_homes`].
    pub fn host_homes(&self, host: &str) -> Option<Vec<String>> {
        self.table.get().host_homes(host)
    }

    /// What is known here of the core and held of its units, for operators.
    pub fn status(&self) -> CoreStatus {
        let now = self.wheel.now();
        let copy = self.copy.borrow();
        CoreStatus {
            config_version: copy.catalog().version(),
            term: copy.term(),
            leader: self.watcher.borrow().leader().map(str::to_string),
            knowledge_age_ms: self.lease.borrow().age_ms(now),
            units: self.allowance.borrow_mut().holdings(now as u64, MOST_LABELLED),
        }
    }

    /// Other seeds' hosts.
    pub fn set_seeds(&self, hosts: Vec<String>) {
        self.watcher.borrow_mut().set_seeds(hosts);
    }

    fn address(&self, host: &str) -> Option<SocketAddr> {
        Some(SocketAddr::new(host.parse::<IpAddr>().ok()?, self.own.inner_port))
    }

    // ---- What is new ----

    /// Watches the leader for as long as it is polled.
    pub async fn run_watch(self: Rc<Self>) {
        let mut asking = JoinSet::new();
        let mut under_way: BTreeMap<u64, AbortHandle> = BTreeMap::new();
        loop {
            let now = self.wheel.now();
            let known_ms = self.lease.borrow().age_ms(now);
            let steps = self.watcher.borrow_mut().poll(now, known_ms);
            for step in steps {
                match step {
                    CallAction::Start(call) => {
                        let id = call.id;
                        under_way.insert(id, asking.spawn_local(self.clone().ask(call)));
                    }
                    CallAction::Cancel(call) => {
                        under_way.remove(&call.id).into_iter().for_each(|asked| asked.abort());
                    }
                }
            }
            if self.watcher.borrow().is_leader_overdue(now) {
                self.permits_age();
            }
            let wake = self.watcher.borrow().next_wake();
            tokio::select! {
                biased;
                Some(ended) = asking.join_next(), if !asking.is_empty() => {
                    // Those that were hung up end without an answer.
                    let Ok((id, how)) = ended else { continue };
                    under_way.remove(&id);
                    let luck = self.dice.borrow_mut().f64();
                    self.watcher.borrow_mut().call_ended(self.wheel.now(), id, how, luck);
                }
                () = self.recall.notified() => self.watcher.borrow_mut().query_leader_now(),
                () = self.behind.notified() => {}
                () = self.wheel.sleep_until(wake) => {}
            }
        }
    }

    /// Asks a host for what is new.
    async fn ask(self: Rc<Self>, call: Call) -> (u64, CallOutcome) {
        (call.id, self.asked(&call).await.unwrap_or(CallOutcome::Failed))
    }

    async fn asked(&self, call: &Call) -> Option<CallOutcome> {
        let to = self.address(&call.host)?;
        let place = &self.own.place;
        let (front, zone) = (self.own.client_address.clone(), place.zone.clone());
        let line = GatewayInfo { name: place.name.clone(), front, zone, ready: self.is_ready() };
        let mut ask = self.copy.borrow().watch_call(
            nickeljunction_messages::Caller::Gateway,
            &place.name,
            self.own.incarnation,
            Some(line),
            call.hold_ms,
        );
        ask.serves_directory = self.own.serves_directory;
        let body = serde_json::to_vec(&ask).ok()?;
        let sent = self.wheel.now();
        let timeout = call.hold_ms as f64 + GIVE_UP_MS;
        let reply =
            match self.patient.call(to, "POST", path::WATCH, &[compression::ACCEPT], &body, timeout).await {
                Ok(reply) => reply,
                Err(error) => {
                    log::debug!("event=core_silent step=watch peer={to} error={:?}", error.to_string());
                    return None;
                }
            };
        match reply.status {
            200 => match compression::decompressed(&reply) {
                Ok(body) => Some(self.learn(to, sent, &body)),
                Err(error) => {
                    log::warn!("event=answer_unreadable step=watch peer={to} error={:?}", error.to_string());
                    None
                }
            },
            421 => {
                let answer = serde_json::from_slice::<LeaderRedirect>(&reply.body).ok();
                Some(CallOutcome::NotLeader(answer.and_then(|answer| answer.leader)))
            }
            status => {
                log::warn!("event=watch_refused peer={to} status={status}");
                None
            }
        }
    }

    fn learn(&self, from: SocketAddr, sent: f64, body: &Bytes) -> CallOutcome {
        let answer = match serde_json::from_slice::<WatchAnswer>(body) {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!("event=answer_unreadable step=watch peer={from} error={:?}", error.to_string());
                return CallOutcome::Failed;
            }
        };
        let (age, ready) = (answer.quorum_age_ms as f64, self.is_ready());
        let applied = match self.copy.borrow_mut().apply(answer) {
            Ok(applied) => applied,
            // The next call is answered by a difference to what is held by now, or by the whole.
            Err(ApplyError::StaleSeq(..) | ApplyError::BaseMismatch(..) | ApplyError::DigestMismatch(..)) => {
                return CallOutcome::Superseded
            }
            Err(error) => {
                log::warn!("event=answer_refused step=watch peer={from} error={:?}", error.to_string());
                return CallOutcome::Failed;
            }
        };
        self.lease.borrow_mut().renew(sent, age);
        let now = self.wheel.now();
        let catalog = self.copy.borrow().catalog();
        if applied.new_leader {
            log::info!("event=leader peer={from} term={}", self.copy.borrow().term());
            self.allowance.borrow_mut().leader_changed(now as u64, self.copy.borrow().term());
            self.add_due.wake_now();
        }
        if applied.config {
            if let Some(config) = &catalog.config {
                match Document::view(&config.document) {
                    Ok(config) => self.configure(&config),
                    // The leader has checked it: versions of the programs differ.
                    Err(problem) => log::error!(
                        "event=config_unreadable version={} error={:?}",
                        config.version,
                        problem.to_string()
                    ),
                }
            }
        }
        if !applied.trials.is_empty() {
            // Stages count down from here; curves come with the configuration, which may be older.
            let config = catalog.config.as_ref().and_then(|config| Document::view(&config.document).ok());
            self.ebb.update_trials(&applied.trials, config.as_ref());
        }
        if applied.gateways {
            self.proxy.set_gateway_count(catalog.gateway_count);
            self.allowance.borrow_mut().set_gateway_count(catalog.gateway_count);
        }
        if applied.core {
            self.watcher.borrow_mut().set_core_hosts(&catalog.core_hosts);
        }
        if applied.config
            || applied.evacuated
            || !applied.servers.is_empty()
            || !applied.removed_servers.is_empty()
        {
            self.tell_servers();
        }
        if !ready && self.is_ready() {
            log::info!("event=ready version={}", catalog.version());
            // The directory should know at once.
            self.recall.notify_one();
        }
        CallOutcome::Answered
    }

    fn configure(&self, config: &Config) {
        let table = Table::of(config);
        if let Some(apart) =
            table.disjoint_homes().filter(|apart| self.table.get().disjoint_homes() != Some(*apart))
        {
            log::warn!(
                "event=no_common_home pairs={} route={:?} tenant={:?}",
                apart.pairs,
                apart.route,
                apart.tenant
            );
        }
        self.table.set(table);
        let backend = |backend: &nickeljunction_schema::Backend| BackendConfig {
            max_connections: backend.max_connections.unwrap_or(0),
            warmup_per_s: backend.warmup_per_s.unwrap_or(0.0),
        };
        self.proxy.update_backends(
            config.backends.iter().map(|(name, item)| (name.clone(), backend(item))).collect(),
        );
        let bounds = &self.own.bounds;
        let limits = config.tenants.iter().filter_map(|(name, tenant)| {
            let (rate, burst) = tenant.quota()?;
            let (window, overrun, slack) = (bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack);
            Some((name.clone(), Limit::with_default_margin(rate, burst, window, overrun, slack)?))
        });
        self.allowance.borrow_mut().set_limits(self.wheel.now() as u64, &limits.collect());
        self.ebb.update_config(config);
        self.add_due.wake_now();
        log::info!("event=config version={} routes={}", config.config_version, config.routes.len());
    }

    /// Tells the servers' side which servers there are, and which cold ones this gateway may send to.
    fn tell_servers(&self) {
        let catalog = self.copy.borrow().catalog();
        let known_ms = self.lease.borrow().age_ms(self.wheel.now()) as u64;
        let name = &self.own.place.name;
        let mut permits = false;
        let line = |line: &Rc<ServerInfo>| {
            let mut line = ServerInfo::clone(line);
            if line.cold.as_ref() == Some(name) {
                match SendLimit::of(&line, name, known_ms) {
                    SendLimit::Blocked => line.cold = Some(String::new()),
                    SendLimit::WarmupRate | SendLimit::Unlimited => permits = true,
                }
            }
            line
        };
        let lines: Vec<ServerInfo> = catalog.servers.values().map(line).collect();
        self.permits_told.set(permits);
        let evacuated: Vec<String> = catalog.evacuated_zones.iter().cloned().collect();
        let zones = self.own.zones.iter().map(|(zone, region)| (zone.clone(), region.clone())).collect();
        self.proxy.update_servers(&lines, &evacuated, &zones);
    }

    /// Permits for cold servers end when the core is out of touch: it gives them to others.
    fn permits_age(&self) {
        if self.permits_told.get() && self.lease.borrow().age_ms(self.wheel.now()) >= 1_000.0 {
            self.tell_servers();
        }
    }

    // ---- Counted adds ----

    /// Makes counted adds for as long as it is polled.
    pub async fn run_quota_sync(self: Rc<Self>) {
        loop {
            let call = self.allowance.borrow_mut().poll(self.wheel.now() as u64);
            let Some(call) = call else {
                let wake = self.allowance.borrow().next_wake().map_or(f64::INFINITY, |wake| wake as f64);
                self.add_due.sleep_until(&self.wheel, wake).await;
                continue;
            };
            let answer = self.add(&call).await;
            let now = self.wheel.now() as u64;
            match answer {
                Some(answer) => self.allowance.borrow_mut().answered(now, &answer),
                None => self.allowance.borrow_mut().failed(now),
            }
            self.units.notify_waiters();
        }
    }

    async fn add(&self, call: &nickeljunction_messages::UnitsCall) -> Option<UnitsAnswer> {
        let host = self.watcher.borrow().leader()?.to_string();
        let to = self.address(&host)?;
        let body = serde_json::to_vec(call).ok()?;
        let sent = self.wheel.now();
        match self.caller.call(to, "POST", path::UNITS, &[], &body, UNITS_MS).await {
            Ok(reply) if reply.status == 200 => {
                let answer: UnitsAnswer = serde_json::from_slice(&reply.body).ok()?;
                let copy = self.copy.borrow();
                // What this gateway knows was still the newest then.
                if answer.version == copy.catalog().version() && answer.term >= copy.term() {
                    self.lease.borrow_mut().renew(sent, answer.quorum_age_ms as f64);
                }
                // There is a newer one, and the held call has not brought it.
                if answer.version > copy.catalog().version() {
                    self.watcher.borrow_mut().newer_version_seen(self.wheel.now());
                    self.behind.notify_one();
                }
                Some(answer)
            }
            Ok(_) => {
                self.recall.notify_one();
                None
            }
            Err(error) => {
                log::debug!("event=counter_silent step=units peer={to} error={:?}", error.to_string());
                // The held call would find out later.
                self.recall.notify_one();
                None
            }
        }
    }

    /// Gives all units back before the end; what is lost on the way lapses by itself.
    pub async fn return_units(&self) {
        let call = self.allowance.borrow_mut().return_all(self.wheel.now() as u64);
        self.add(&call).await;
    }
}

impl Admission for CoreClient {
    fn admit<'a>(&'a self, tenant: &'a str) -> Pin<Box<dyn Future<Output = AdmissionDecision> + 'a>> {
        Box::pin(async move {
            let began = self.wheel.now();
            let until = began + WAIT_MS;
            loop {
                let answered = self.units.notified();
                tokio::pin!(answered);
                answered.as_mut().enable();
                let now = self.wheel.now();
                let asks = self.allowance.borrow().is_fetching(tenant, began as u64);
                let until = if asks { until + ANSWER_DUE_MS } else { until };
                let spend = {
                    let mut allowance = self.allowance.borrow_mut();
                    match now < until {
                        true => allowance.spend(now as u64, tenant),
                        false => allowance.give_up(now as u64, tenant),
                    }
                };
                // A request that waits, or a batch that runs low, makes an add due earlier.
                if let Some(wake) = self.allowance.borrow().next_wake() {
                    self.add_due.bring_forward(wake as f64);
                }
                match spend {
                    Spend::Done { from, until } => {
                        // The pace: a unit of the next moments.
                        if from as f64 > now {
                            self.wheel.sleep_until(from as f64).await;
                        }
                        return AdmissionDecision::Admitted(until as f64);
                    }
                    Spend::Refused { retry_after_ms } => {
                        return AdmissionDecision::OverQuota(retry_after_ms as f64)
                    }
                    Spend::Wait => {}
                }
                // At the time-out it is looked anew whether the call is under way.
                let left = if now < began + WAIT_MS { began + WAIT_MS - now } else { until - now };
                self.wheel.timeout(left, answered).await;
            }
        })
    }

    fn take_extra_unit(&self, tenant: &str) -> bool {
        self.allowance.borrow_mut().spend_for_retry(self.wheel.now() as u64, tenant)
    }

    fn stale_retry_after_ms(&self) -> Option<f64> {
        (!self.lease.borrow().is_valid(self.wheel.now())).then_some(STALE_MS)
    }

    fn pacing(&self) -> Option<&TenantPacing> {
        self.ebb.is_active().then_some(&*self.ebb)
    }
}
