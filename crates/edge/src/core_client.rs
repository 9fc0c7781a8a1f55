//! A gateway's client of the core: held watch calls that bring configuration and state, and calls for units of quota.

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

/// Time-out of a call for units, ms.
const UNITS_TIMEOUT_MS: f64 = 300.0;
/// How long a request waits for a unit, ms.
const UNIT_WAIT_MS: f64 = 220.0;
/// How much longer a request waits while a call for its tenant's units is pending, ms.
const PENDING_CALL_WAIT_MS: f64 = 60.0;
/// `Retry-After` while the lease on the configuration has expired, ms.
const STALE_PAUSE_MS: f64 = 700.0;
/// Age of the knowledge from which the gateway counts as out of touch, ms: held calls are answered every second, and
/// units last for 4 s.
const OUT_OF_TOUCH_MS: f64 = 3_000.0;
/// Age of the knowledge from which permits for cold servers are checked for expiry, ms.
const PERMIT_CHECK_AGE_MS: f64 = 1_000.0;

/// This gateway's identity and settings, as far as calls to the core need them.
pub struct GatewayIdentity {
    /// Its name, zone and region.
    pub place: Location,
    /// The address at which clients reach it.
    pub client_address: String,
    /// Port for calls between the system's machines.
    pub inner_port: u16,
    /// Random number of this process, drawn at its start.
    pub incarnation: u64,
    /// Limits and time-outs from the settings.
    pub bounds: Bounds,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Whether it also serves the directory.
    pub serves_directory: bool,
}

/// What a gateway knows of the core, for the metrics.
pub struct CoreStatus {
    /// Version of the applied configuration; 0: none yet.
    pub config_version: u64,
    /// Term of the leader that sent it.
    pub term: u64,
    /// Host that last answered as the leader; `None`: none is known.
    pub leader: Option<String>,
    /// Time since the leader last confirmed the knowledge, ms; infinite before the first answer.
    pub knowledge_age_ms: f64,
    /// Units held for each tenant.
    pub units: Vec<Holding>,
}

/// A gateway's client of the core.
pub struct CoreClient {
    identity: GatewayIdentity,
    wheel: Wheel,
    caller: Rc<Caller>,
    /// For watch calls, which have a longer time-out for connecting.
    watch_caller: Rc<Caller>,
    table: Rc<SnapshotCell<Table>>,
    proxy: Rc<Proxy>,
    watcher: RefCell<Watcher>,
    cache: RefCell<WatchCache>,
    allowance: RefCell<Allowance>,
    lease: RefCell<Lease>,
    ebb: Rc<TenantPacing>,
    /// For claims at the leader.
    claim_delay: Cell<HedgeDelay>,
    /// For queries to gateways that hold claims.
    recall_delay: Cell<HedgeDelay>,
    shutting_down: Cell<bool>,
    /// The proxy was given permits for cold servers.
    has_permits: Cell<bool>,
    /// The leader is to be called at once: this gateway has something to report, or the leader may have failed.
    query_leader: Notify,
    /// The next watch call may be due earlier.
    watch_rescheduled: Notify,
    /// A call for units has been answered or has failed.
    units_answered: Notify,
    /// For the next call for units.
    units_timer: WakeTimer,
    rng: RefCell<fastrand::Rng>,
}

impl CoreClient {
    /// A client that knows only the core hosts from the settings.
    pub fn new(
        identity: GatewayIdentity,
        wheel: Wheel,
        caller: Rc<Caller>,
        table: Rc<SnapshotCell<Table>>,
        proxy: Rc<Proxy>,
        seeds: Vec<String>,
        seed: u64,
    ) -> Rc<CoreClient> {
        let window = (identity.bounds.quota_window_s * 1_000.0) as u64;
        let tuning = nickeljunction_quota::Tuning::new(window);
        let allowance =
            Allowance::new(wheel.now() as u64, identity.place.name.clone(), identity.incarnation, tuning);
        let lease = Lease::new(identity.bounds.revocation_strict, identity.bounds.revoke_timeout_s * 1_000.0);
        let watcher = RefCell::new(Watcher::new(seeds, 0));
        let watch_caller = Caller::within(wheel.clone(), CONNECT_TIMEOUT_MS);
        let ebb = Rc::new(TenantPacing::new(wheel.clone()));
        Rc::new(CoreClient {
            identity,
            wheel,
            caller,
            watch_caller,
            table,
            proxy,
            watcher,
            cache: RefCell::new(WatchCache::new()),
            allowance: RefCell::new(allowance),
            lease: RefCell::new(lease),
            ebb,
            claim_delay: Cell::default(),
            recall_delay: Cell::default(),
            shutting_down: Cell::new(false),
            has_permits: Cell::new(false),
            query_leader: Notify::new(),
            watch_rescheduled: Notify::new(),
            units_answered: Notify::new(),
            units_timer: WakeTimer::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
        })
    }

    /// Whether it may serve clients: it is not shutting down, and the leader has confirmed its configuration to this
    /// process, recently enough where revocation is strict.
    pub fn is_ready(&self) -> bool {
        !self.shutting_down.get()
            && self.cache.borrow().catalog().version() > 0
            && self.lease.borrow().is_valid(self.wheel.now())
    }

    /// Whether it can't serve tenants' requests, or soon won't be able to: the core has not answered for too long.
    pub fn is_out_of_touch(&self) -> bool {
        !self.is_ready() || self.lease.borrow().age_ms(self.wheel.now()) > OUT_OF_TOUCH_MS
    }

    /// The gateway's name.
    pub fn name(&self) -> &str {
        &self.identity.place.name
    }

    /// Begins the shutdown and reports it to the core at once.
    pub fn begin_shutdown(&self) {
        self.shutting_down.set(true);
        self.ebb.begin_shutdown();
        self.query_leader.notify_one();
    }

    /// Delays the requests of tenants whose trial has lapsed.
    pub fn ebb(&self) -> &Rc<TenantPacing> {
        &self.ebb
    }

    /// A call for shares of paces with only the identity of this gateway filled in.
    pub(crate) fn pace_shares_call(&self) -> PaceSharesCall {
        PaceSharesCall {
            name: self.identity.place.name.clone(),
            incarnation: self.identity.incarnation,
            ..PaceSharesCall::default()
        }
    }

    /// Calls the leader; `None`: none is known, it no longer leads, or the call failed.
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

    /// All gateways known here.
    pub fn gateways(&self) -> Rc<Vec<GatewayInfo>> {
        self.cache.borrow().catalog().roster.clone()
    }

    /// Region of each zone.
    pub fn zones(&self) -> &BTreeMap<String, String> {
        &self.identity.zones
    }

    /// The regions that are a home of every route of the host that has homes; see [`Table::host_homes`].
    pub fn host_homes(&self, host: &str) -> Option<Vec<String>> {
        self.table.get().host_homes(host)
    }

    /// What is known of the core, and the units held, for the metrics.
    pub fn status(&self) -> CoreStatus {
        let now = self.wheel.now();
        let cache = self.cache.borrow();
        CoreStatus {
            config_version: cache.catalog().version(),
            term: cache.term(),
            leader: self.watcher.borrow().leader().map(str::to_string),
            knowledge_age_ms: self.lease.borrow().age_ms(now),
            units: self.allowance.borrow_mut().holdings(now as u64, MOST_LABELLED),
        }
    }

    /// Replaces the core hosts from the settings.
    pub fn set_seeds(&self, hosts: Vec<String>) {
        self.watcher.borrow_mut().set_seeds(hosts);
    }

    fn address(&self, host: &str) -> Option<SocketAddr> {
        Some(SocketAddr::new(host.parse::<IpAddr>().ok()?, self.identity.inner_port))
    }

    // ---- Watch calls ----

    /// Makes watch calls to the core for as long as it is polled.
    pub async fn run_watch(self: Rc<Self>) {
        let mut calls = JoinSet::new();
        let mut handles: BTreeMap<u64, AbortHandle> = BTreeMap::new();
        loop {
            let now = self.wheel.now();
            let knowledge_age_ms = self.lease.borrow().age_ms(now);
            let actions = self.watcher.borrow_mut().poll(now, knowledge_age_ms);
            for action in actions {
                match action {
                    CallAction::Start(call) => {
                        let id = call.id;
                        handles.insert(id, calls.spawn_local(self.clone().watch_call(call)));
                    }
                    CallAction::Cancel(call) => {
                        handles.remove(&call.id).into_iter().for_each(|handle| handle.abort());
                    }
                }
            }
            if self.watcher.borrow().is_leader_overdue(now) {
                self.withdraw_expired_permits();
            }
            let wake = self.watcher.borrow().next_wake();
            tokio::select! {
                biased;
                Some(ended) = calls.join_next(), if !calls.is_empty() => {
                    // Cancelled calls end without an outcome.
                    let Ok((id, outcome)) = ended else { continue };
                    handles.remove(&id);
                    let jitter = self.rng.borrow_mut().f64();
                    self.watcher.borrow_mut().call_ended(self.wheel.now(), id, outcome, jitter);
                }
                () = self.query_leader.notified() => self.watcher.borrow_mut().query_leader_now(),
                () = self.watch_rescheduled.notified() => {}
                () = self.wheel.sleep_until(wake) => {}
            }
        }
    }

    /// Makes a watch call; returns its id and outcome.
    async fn watch_call(self: Rc<Self>, call: Call) -> (u64, CallOutcome) {
        (call.id, self.watch_outcome(&call).await.unwrap_or(CallOutcome::Failed))
    }

    async fn watch_outcome(&self, call: &Call) -> Option<CallOutcome> {
        let to = self.address(&call.host)?;
        let place = &self.identity.place;
        let (front, zone) = (self.identity.client_address.clone(), place.zone.clone());
        let gateway = GatewayInfo { name: place.name.clone(), front, zone, ready: self.is_ready() };
        let mut request = self.cache.borrow().watch_call(
            nickeljunction_messages::Caller::Gateway,
            &place.name,
            self.identity.incarnation,
            Some(gateway),
            call.hold_ms,
        );
        request.serves_directory = self.identity.serves_directory;
        let body = serde_json::to_vec(&request).ok()?;
        let sent = self.wheel.now();
        let timeout = call.hold_ms as f64 + GIVE_UP_MS;
        let reply = match self
            .watch_caller
            .call(to, "POST", path::WATCH, &[compression::ACCEPT], &body, timeout)
            .await
        {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("event=core_silent step=watch peer={to} error={:?}", error.to_string());
                return None;
            }
        };
        match reply.status {
            200 => match compression::decompressed(&reply) {
                Ok(body) => Some(self.apply_answer(to, sent, &body)),
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

    /// Applies the answer to a watch call that was sent at `sent`, ms.
    fn apply_answer(&self, from: SocketAddr, sent: f64, body: &Bytes) -> CallOutcome {
        let answer = match serde_json::from_slice::<WatchAnswer>(body) {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!("event=answer_unreadable step=watch peer={from} error={:?}", error.to_string());
                return CallOutcome::Failed;
            }
        };
        let (age, was_ready) = (answer.quorum_age_ms as f64, self.is_ready());
        let applied = match self.cache.borrow_mut().apply(answer) {
            Ok(applied) => applied,
            // The next call is answered by a difference to the present state, or by the full state.
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
        let catalog = self.cache.borrow().catalog();
        if applied.new_leader {
            log::info!("event=leader peer={from} term={}", self.cache.borrow().term());
            self.allowance.borrow_mut().leader_changed(now as u64, self.cache.borrow().term());
            self.units_timer.wake_now();
        }
        if applied.config {
            if let Some(config) = &catalog.config {
                match Document::view(&config.document) {
                    Ok(config) => self.apply_config(&config),
                    // The leader has accepted it, so leader and gateway must be of different software versions.
                    Err(problem) => log::error!(
                        "event=config_unreadable version={} error={:?}",
                        config.version,
                        problem.to_string()
                    ),
                }
            }
        }
        if !applied.trials.is_empty() {
            // The countdown of a stage starts now; the curves come from the configuration, which may be older.
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
            self.update_servers();
        }
        if !was_ready && self.is_ready() {
            log::info!("event=ready version={}", catalog.version());
            // Reports it at once, so that the directory lists this gateway.
            self.query_leader.notify_one();
        }
        CallOutcome::Answered
    }

    /// Applies a configuration.
    fn apply_config(&self, config: &Config) {
        let table = Table::of(config);
        if let Some(disjoint) =
            table.disjoint_homes().filter(|disjoint| self.table.get().disjoint_homes() != Some(*disjoint))
        {
            log::warn!(
                "event=no_common_home pairs={} route={:?} tenant={:?}",
                disjoint.pairs,
                disjoint.route,
                disjoint.tenant
            );
        }
        self.table.set(table);
        let backend = |backend: &nickeljunction_schema::Backend| BackendConfig {
            max_connections: backend.max_connections.unwrap_or(0),
            warmup_per_s: backend.warmup_per_s.unwrap_or(0.0),
        };
        self.proxy.update_backends(
            config.backends.iter().map(|(name, config)| (name.clone(), backend(config))).collect(),
        );
        let bounds = &self.identity.bounds;
        let limits = config.tenants.iter().filter_map(|(name, tenant)| {
            let (rate, burst) = tenant.quota()?;
            let (window, overrun, slack) = (bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack);
            Some((name.clone(), Limit::with_default_margin(rate, burst, window, overrun, slack)?))
        });
        self.allowance.borrow_mut().set_limits(self.wheel.now() as u64, &limits.collect());
        self.ebb.update_config(config);
        self.units_timer.wake_now();
        log::info!("event=config version={} routes={}", config.config_version, config.routes.len());
    }

    /// Gives the proxy the list of servers, and which cold ones this gateway may send to.
    fn update_servers(&self) {
        let catalog = self.cache.borrow().catalog();
        let knowledge_age_ms = self.lease.borrow().age_ms(self.wheel.now()) as u64;
        let name = &self.identity.place.name;
        let mut has_permits = false;
        let with_permit = |server: &Rc<ServerInfo>| {
            let mut server = ServerInfo::clone(server);
            if server.cold.as_ref() == Some(name) {
                match SendLimit::of(&server, name, knowledge_age_ms) {
                    SendLimit::Blocked => server.cold = Some(String::new()),
                    SendLimit::WarmupRate | SendLimit::Unlimited => has_permits = true,
                }
            }
            server
        };
        let servers: Vec<ServerInfo> = catalog.servers.values().map(with_permit).collect();
        self.has_permits.set(has_permits);
        let evacuated: Vec<String> = catalog.evacuated_zones.iter().cloned().collect();
        let zones = self.identity.zones.iter().map(|(zone, region)| (zone.clone(), region.clone())).collect();
        self.proxy.update_servers(&servers, &evacuated, &zones);
    }

    /// Withdraws permits for cold servers without contact to the core, which then gives them to other gateways.
    fn withdraw_expired_permits(&self) {
        if self.has_permits.get() && self.lease.borrow().age_ms(self.wheel.now()) >= PERMIT_CHECK_AGE_MS {
            self.update_servers();
        }
    }

    // ---- Calls for units ----

    /// Makes calls for units to the leader for as long as it is polled.
    pub async fn run_quota_sync(self: Rc<Self>) {
        loop {
            let call = self.allowance.borrow_mut().poll(self.wheel.now() as u64);
            let Some(call) = call else {
                let wake = self.allowance.borrow().next_wake().map_or(f64::INFINITY, |wake| wake as f64);
                self.units_timer.sleep_until(&self.wheel, wake).await;
                continue;
            };
            let answer = self.call_for_units(&call).await;
            let now = self.wheel.now() as u64;
            match answer {
                Some(answer) => self.allowance.borrow_mut().answered(now, &answer),
                None => self.allowance.borrow_mut().failed(now),
            }
            self.units_answered.notify_waiters();
        }
    }

    async fn call_for_units(&self, call: &nickeljunction_messages::UnitsCall) -> Option<UnitsAnswer> {
        let host = self.watcher.borrow().leader()?.to_string();
        let to = self.address(&host)?;
        let body = serde_json::to_vec(call).ok()?;
        let sent = self.wheel.now();
        match self.caller.call(to, "POST", path::UNITS, &[], &body, UNITS_TIMEOUT_MS).await {
            Ok(reply) if reply.status == 200 => {
                let answer: UnitsAnswer = serde_json::from_slice(&reply.body).ok()?;
                let cache = self.cache.borrow();
                // The applied configuration was still the newest when the leader answered.
                if answer.version == cache.catalog().version() && answer.term >= cache.term() {
                    self.lease.borrow_mut().renew(sent, answer.quorum_age_ms as f64);
                }
                // There is a newer one that the held call has not brought yet.
                if answer.version > cache.catalog().version() {
                    self.watcher.borrow_mut().newer_version_seen(self.wheel.now());
                    self.watch_rescheduled.notify_one();
                }
                Some(answer)
            }
            Ok(_) => {
                self.query_leader.notify_one();
                None
            }
            Err(error) => {
                log::debug!("event=counter_silent step=units peer={to} error={:?}", error.to_string());
                // The held call would notice later that the leader may have failed.
                self.query_leader.notify_one();
                None
            }
        }
    }

    /// Returns all units at the end of the shutdown; if the call is lost, they expire at the leader.
    pub async fn return_units(&self) {
        let call = self.allowance.borrow_mut().return_all(self.wheel.now() as u64);
        self.call_for_units(&call).await;
    }
}

impl Admission for CoreClient {
    fn admit<'a>(&'a self, tenant: &'a str) -> Pin<Box<dyn Future<Output = AdmissionDecision> + 'a>> {
        Box::pin(async move {
            let began = self.wheel.now();
            let wait_until = began + UNIT_WAIT_MS;
            loop {
                let answered = self.units_answered.notified();
                tokio::pin!(answered);
                answered.as_mut().enable();
                let now = self.wheel.now();
                let call_pending = self.allowance.borrow().is_fetching(tenant, began as u64);
                let until = if call_pending { wait_until + PENDING_CALL_WAIT_MS } else { wait_until };
                let spend = {
                    let mut allowance = self.allowance.borrow_mut();
                    match now < until {
                        true => allowance.spend(now as u64, tenant),
                        false => allowance.give_up(now as u64, tenant),
                    }
                };
                // A waiting request, or a batch of units that runs low, makes the next call due earlier.
                if let Some(wake) = self.allowance.borrow().next_wake() {
                    self.units_timer.bring_forward(wake as f64);
                }
                match spend {
                    Spend::Done { from, until } => {
                        // Pacing: the unit becomes valid a moment later.
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
                // At the first time-out, checks again whether a call is pending.
                let left = if now < wait_until { wait_until - now } else { until - now };
                self.wheel.timeout(left, answered).await;
            }
        })
    }

    fn take_extra_unit(&self, tenant: &str) -> bool {
        self.allowance.borrow_mut().spend_for_retry(self.wheel.now() as u64, tenant)
    }

    fn stale_retry_after_ms(&self) -> Option<f64> {
        (!self.lease.borrow().is_valid(self.wheel.now())).then_some(STALE_PAUSE_MS)
    }

    fn pacing(&self) -> Option<&TenantPacing> {
        self.ebb.is_active().then_some(&*self.ebb)
    }
}
