//! The server side of a gateway: selects the server for each request and handles the results of sends.
//!
//! Each service has one decision core per set of home regions that its routes allow. The decision module in it
//! selects servers, tracks their health and decides about retries. The following limits are enforced here, whatever
//! the module decides: no server outside of the home regions or in an evacuated zone, no sends beyond a route's limit
//! of attempts, the service's retry budget or a cold server's rate.

use crate::attempt::{attempt, PendingRequest};
use crate::budget::{SendPacer, DEFAULT_GATEWAY_COUNT};
use crate::exchange::{Admission, Dispatch, Exchange, ServerResponse};
use crate::exchange_state::{SendCounts, SendDenial};
use crate::overflow::Overflow;
use crate::pool::Pool;
use crate::proxy_context::{FleetState, ProxyContext};
use crate::selection;
use crate::shutdown::Shutdown;
use crate::upstream::{
    local_region_slots, locality_distance, locality_weight, usable_upstreams, Location, Upstream,
};
use nickeljunction_core::facade::{
    Class, DedupScope, Facade, Intake, Outcome, RegionEntry, RequestKey, RetrySafety, RoutedTask,
    ServiceTable, Settings,
};
use nickeljunction_core::life::{Answer, Core, Ports, ANSWER_MARGIN_MS};
use nickeljunction_messages::ServerInfo;
use nickeljunction_net::budget::Budget;
use nickeljunction_net::wheel::Wheel;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::{Rc, Weak};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

pub use crate::proxy_types::{BackendConfig, ProxyCounts, ProxyTuning};

const HOUSEKEEPING_INTERVAL_MS: f64 = 1_000.0;
/// [`Proxy::wait_until_idle`] checks at this interval for requests that end without a send.
const IDLE_CHECK_INTERVAL_MS: f64 = HOUSEKEEPING_INTERVAL_MS / 20.0;
/// A lane without requests for this time is removed.
const LANE_IDLE_TIMEOUT_MS: f64 = 120_000.0;
/// A server that stated that it is another instance is excluded for this time, or until its entry in the list changes.
const MISDIRECTED_MS: f64 = 10_000.0;
/// After a failed connect the slots of the server don't count for this time.
const UNREACHABLE_MS: f64 = 3_000.0;
/// Locality distance from which a server is in another region.
const OTHER_REGION_DISTANCE: u8 = 2;
/// Limit on the classes of one lane: the module's averages iterate over all of them.
const MAX_CLASSES: usize = 48;
/// Connections to one server if the configuration doesn't state how many it accepts.
const DEFAULT_MAX_CONNECTIONS: u32 = 8;
/// A request whose time-out exceeds its class's by more than this factor raises the class's time-out.
const TIMEOUT_STEP: f64 = 1.1;

/// The effects of one decision core.
struct LanePorts {
    context: Rc<ProxyContext>,
    proxy: Weak<Proxy>,
    lane: Weak<Lane>,
    sends: HashMap<(RequestKey, usize), (AbortHandle, Rc<PendingRequest>)>,
    /// Denied sends, by request and attempt, and whether the client had disconnected. They are reported to the core
    /// after its turn.
    denied: Vec<(RequestKey, usize, bool)>,
}

impl Ports for LanePorts {
    type Content = Rc<PendingRequest>;
    type Served = ServerResponse;

    fn route(&mut self, task: &RoutedTask, request: &Rc<PendingRequest>, _limit_ms: f64) {
        let is_abandoned = request.is_abandoned();
        let start = match is_abandoned {
            true => Err(SendDenial::ClientGone),
            false => self.context.start_send(request, &task.region),
        };
        let retry_counted_at = match start {
            Ok(retry_counted_at) => retry_counted_at,
            Err(denial) => {
                request.last_denial.set(Some(denial));
                log::debug!("event=not_sent server={} why=\"{}\"", task.region, denial.reason());
                return self.denied.push((task.request, task.attempt, is_abandoned));
            }
        };
        let is_first = request.sends().begun() == 0;
        request.update_sends(SendCounts::begin);
        self.context.update_counts(|counts| {
            *(if is_first { &mut counts.first_attempts } else { &mut counts.further_attempts }) += 1
        });
        let (Some(proxy), Some(lane)) = (self.proxy.upgrade(), self.lane.upgrade()) else { return };
        let send = proxy.send(lane, task.clone(), request.clone(), retry_counted_at);
        let handle = tokio::task::spawn_local(send).abort_handle();
        // During a shutdown the detached sends continue even so, because the new send may end in an answer of the
        // gateway itself. They are still aborted if the request must not run twice: none of them may have reached a
        // server.
        if self.context.shutdown.get().is_none() || request.retry_safety == RetrySafety::AtMostOnce {
            request.abort_detached_sends();
        }
        self.sends.insert((task.request, task.attempt), (handle, request.clone()));
    }

    fn cancel_attempt(&mut self, key: RequestKey, attempt: usize, why: Outcome) {
        let Some((handle, request)) = self.sends.remove(&(key, attempt)) else { return };
        self.context.update_counts(|counts| counts.count_outcome(why));
        let until = request.deadline - ANSWER_MARGIN_MS;
        if request.is_answered() || request.is_abandoned() || self.context.wheel.now() >= until {
            // The task closes its connection when it is next polled.
            return handle.abort();
        }
        // A server's work is aborted only in favour of another send, not for an answer of the gateway itself.
        request.detach_send(attempt, handle.clone());
        let (wheel, request) = (self.context.wheel.clone(), Rc::downgrade(&request));
        tokio::task::spawn_local(async move {
            wheel.sleep_until(until).await;
            handle.abort();
            if let Some(request) = request.upgrade() {
                request.on_send_end(attempt, &mut None);
            }
        });
    }

    fn answer(&mut self, request: Rc<PendingRequest>, answer: Answer<ServerResponse>) {
        if matches!(answer, Answer::ShortOnCapacityReply(_)) && request.lacked_capacity() {
            if let Some(lane) = self.lane.upgrade() {
                lane.update_overflow(|overflow| overflow.record_send(false));
            }
        }
        request.answer(answer);
    }

    fn increment_counter(&mut self, _: String, _: f64, _: f64) {}

    fn close_idle(&mut self, server: &str) {
        self.context.pool.close_idle(server);
    }

    fn status(response: &ServerResponse) -> u16 {
        response.status
    }
}

/// A class of a lane: the properties that distinguish it, and its settings for the module.
struct LaneClass {
    retry_safety: RetrySafety,
    target_latency_ms: f64,
    priority: u32,
    class: Class,
}

/// One service with one set of home regions.
struct Lane {
    backend: Rc<str>,
    home_regions: Rc<[String]>,
    core: RefCell<Core<LanePorts>>,
    classes: RefCell<Vec<LaneClass>>,
    max_attempts: Cell<u32>,
    /// Number of changes of the settings so far.
    settings_epoch: Cell<u64>,
    /// The weights of servers as the core knows them.
    weights: RefCell<BTreeMap<String, f64>>,
    /// Minimum number of servers that the core selects from, in its current settings and as the servers require it.
    min_subset: Cell<f64>,
    required_min_subset: Cell<f64>,
    last_used: Cell<f64>,
    /// Whether requests are sent to other regions.
    overflow: Cell<Overflow>,
    /// Slots of the own region for these requests.
    local_slots: Cell<u32>,
}

impl Lane {
    fn update_overflow(&self, change: impl FnOnce(&mut Overflow)) {
        let mut overflow = self.overflow.get();
        change(&mut overflow);
        self.overflow.set(overflow);
    }

    /// When the core's next turn is due, ms; `None` without a request in flight, because the module then learns nothing
    /// from a turn.
    fn next_turn(&self) -> Option<f64> {
        let core = self.core.borrow();
        let is_busy = core.open() > 0 || core.unanswered() > 0;
        core.next_tick().filter(|_| is_busy)
    }
}

/// The server side of a gateway.
pub struct Proxy {
    weak_self: Weak<Proxy>,
    context: Rc<ProxyContext>,
    seed: u64,
    lanes: RefCell<Vec<Rc<Lane>>>,
    last_key: Cell<RequestKey>,
    /// Held by every request and every streamed answer.
    in_flight: Rc<()>,
    became_idle: Notify,
    /// When the loop wakes up, ms.
    wake_at: Cell<f64>,
    /// Notified when `wake_at` becomes earlier.
    wake_earlier: Notify,
}

impl Proxy {
    /// The server side of the gateway at this location; `seed` should differ between gateways and between starts.
    /// Timers only run while [`Proxy::run`] is polled, on the same `LocalSet` as the callers of
    /// [`Dispatch::dispatch`].
    pub fn new(
        wheel: Wheel,
        budget: Rc<Budget>,
        here: Location,
        seed: u64,
        tuning: ProxyTuning,
    ) -> Rc<Proxy> {
        let context = Rc::new(ProxyContext {
            pool: Pool::new(wheel.clone(), budget),
            wheel,
            tuning,
            here,
            fleet: RefCell::default(),
            counts: Cell::default(),
            cold_server_used: Cell::default(),
            shutdown: Cell::new(None),
            admission: RefCell::new(None),
        });
        Rc::new_cyclic(|weak_self| Proxy {
            weak_self: weak_self.clone(),
            context,
            seed,
            lanes: RefCell::default(),
            last_key: Cell::new(0),
            in_flight: Rc::new(()),
            became_idle: Notify::new(),
            wake_at: Cell::new(0.0),
            wake_earlier: Notify::new(),
        })
    }

    /// Sets the source of quota units for retries.
    pub fn set_admission(&self, admission: Weak<dyn Admission>) {
        *self.context.admission.borrow_mut() = Some(admission);
    }

    /// Begins the shutdown. From now on no send is aborted for lack of time while its client waits, not even for
    /// another send. No send begins that is not expected to finish in time, and servers get deadlines before the
    /// process ends.
    pub fn begin_shutdown(&self, shutdown: Shutdown) {
        self.context.shutdown.set(Some(shutdown));
    }

    /// Replaces the list of servers, the evacuated zones and the regions of the zones.
    pub fn update_servers(
        &self,
        servers: &[ServerInfo],
        evacuated_zones: &[String],
        regions: &HashMap<String, String>,
    ) {
        let evacuated_zones: HashSet<String> = evacuated_zones.iter().cloned().collect();
        let upstreams = usable_upstreams(servers, &evacuated_zones, regions, &self.context.here);
        let upstreams = upstreams.into_iter().map(|upstream| (upstream.id.clone(), upstream)).collect();
        {
            let mut fleet = self.context.fleet.borrow_mut();
            let old = std::mem::replace(&mut fleet.upstreams, upstreams);
            let FleetState { upstreams, misdirected, .. } = &mut *fleet;
            misdirected
                .retain(|id, _| upstreams.get(id).is_some_and(|upstream| old.get(id) == Some(upstream)));
        }
        self.apply_fleet();
    }

    /// Replaces the configuration of the services.
    pub fn update_backends(&self, backends: HashMap<String, BackendConfig>) {
        self.context.fleet.borrow_mut().backends = backends;
        self.apply_fleet();
    }

    /// Sets the number of gateways, among which retry slack and connections are divided.
    pub fn set_gateway_count(&self, gateways: u32) {
        self.context.fleet.borrow_mut().gateways = Some(gateways.max(1));
        self.apply_fleet();
    }

    /// Applies the fleet state to the pool, the pacers and the cores' tables.
    fn apply_fleet(&self) {
        let now = self.context.now_ms();
        {
            let mut fleet = self.context.fleet.borrow_mut();
            let FleetState { upstreams, backends, gateways, pacers, .. } = &mut *fleet;
            let (pool, tuning) = (&self.context.pool, &self.context.tuning);
            pool.retain(|id| upstreams.contains_key(id));
            pacers.retain(|id, _| upstreams.get(id).is_some_and(|upstream| upstream.cold));
            for (id, upstream) in upstreams.iter() {
                let backend = backends.get(&upstream.backend);
                let max_open = match backend.map_or(0, |backend| backend.max_connections) {
                    0 => DEFAULT_MAX_CONNECTIONS,
                    total => (total / gateways.unwrap_or(DEFAULT_GATEWAY_COUNT)).max(1),
                };
                let is_local = upstream.region == self.context.here.region;
                let connect_timeout_ms =
                    if is_local { tuning.connect_timeout_ms } else { tuning.cross_region_connect_timeout_ms };
                pool.update_server(id, upstream.address, connect_timeout_ms, max_open as usize);
                if upstream.cold {
                    let per_s = backend.map_or(0.0, |backend| backend.warmup_per_s);
                    let pacer = pacers.entry(id.clone()).or_insert_with(|| SendPacer::new(now, per_s));
                    pacer.set_rate(now, per_s);
                }
            }
        }
        self.update_tables();
    }

    /// Updates the servers of every core.
    fn update_tables(&self) {
        let lanes = self.lanes.borrow().clone();
        loop {
            self.context.cold_server_used.set(false);
            for lane in &lanes {
                let table = self.table_changes(lane);
                self.update_min_subset(lane);
                if !table.regions.is_empty() {
                    self.run_turn(lane, |core, now| core.update_service_table(now, table, false));
                }
            }
            // A waiting request may have been sent to a cold server at once. The server is then not ready for another
            // send.
            if !self.context.cold_server_used.get() {
                break;
            }
        }
        self.wake_by(self.next_wake());
    }

    /// The changes of a lane's servers since the last call.
    fn table_changes(&self, lane: &Lane) -> ServiceTable {
        let now = self.context.wheel.now();
        let here = &self.context.here;
        let fleet = self.context.fleet.borrow();
        let is_available = |upstream: &&Upstream| {
            let pacer = fleet.pacers.get(&upstream.id);
            let is_ready = !upstream.cold || pacer.is_some_and(|pacer| pacer.is_ready(now as u64));
            let is_expected = fleet.misdirected.get(&upstream.id).is_none_or(|until| now >= *until);
            *upstream.backend == *lane.backend && is_ready && is_expected
        };
        let upstreams: Vec<&Upstream> = fleet.upstreams.values().filter(is_available).collect();
        let is_reachable =
            |upstream: &&Upstream| fleet.unreachable.get(&upstream.id).is_none_or(|until| now >= *until);
        let reachable = upstreams.iter().copied().filter(is_reachable);
        let local_slots = local_region_slots(reachable, &lane.home_regions, here);
        lane.local_slots.set(local_slots);
        let mut overflow = lane.overflow.get();
        let spills = overflow.update(local_slots);
        lane.overflow.set(overflow);
        let weights = &self.context.tuning.nearness;
        let weigh =
            |upstream: &Upstream| locality_weight(upstream, &lane.home_regions, here, weights, spills);
        let new: BTreeMap<String, f64> =
            upstreams.iter().filter_map(|upstream| Some((upstream.id.clone(), weigh(upstream)?))).collect();
        let usable = upstreams.iter().copied().filter(|upstream| new.contains_key(&upstream.id));
        lane.required_min_subset.set(fleet.layout().min_subset_size(usable, here));
        let mut old = lane.weights.borrow_mut();
        let removed = old.iter().filter(|(id, _)| !new.contains_key(*id));
        let removed =
            removed.map(|(id, weight)| selection::withdrawn_entry(id, fleet.upstreams.get(id), *weight));
        let changed = new.iter().filter(|(id, weight)| old.get(*id) != Some(*weight));
        let changed = changed.map(|(id, weight)| selection::ready_entry(&fleet.upstreams[id], here, *weight));
        let regions: Vec<RegionEntry> = removed.chain(changed).collect();
        *old = new;
        ServiceTable { rev: 0, all: false, regions }
    }

    /// Runs a turn of one core, then reports the sends that were denied in it.
    fn run_turn(&self, lane: &Rc<Lane>, turn: impl FnOnce(&mut Core<LanePorts>, f64)) {
        let now = self.context.wheel.now();
        let mut core = lane.core.borrow_mut();
        turn(&mut core, now);
        loop {
            let denied = std::mem::take(&mut core.ports().denied);
            if denied.is_empty() {
                return;
            }
            for (request, attempt, is_abandoned) in denied {
                if is_abandoned {
                    core.client_left(now, request);
                }
                core.attempt_ended(now, request, attempt, Outcome::NotSent, 0.0, None);
            }
        }
    }

    /// Runs a turn of one core and applies its consequences for the other cores and the loop.
    fn drive(&self, lane: &Rc<Lane>, turn: impl FnOnce(&mut Core<LanePorts>, f64)) {
        self.run_turn(lane, turn);
        if self.context.cold_server_used.get() {
            self.update_tables();
        } else if let Some(due) = lane.next_turn() {
            self.wake_by(due);
        }
    }

    /// Makes the loop wake up by this time.
    fn wake_by(&self, due: f64) {
        if due < self.wake_at.get() {
            self.wake_at.set(self.round_up_to_grid(due));
            self.wake_earlier.notify_one();
        }
    }

    fn round_up_to_grid(&self, due: f64) -> f64 {
        let grid_ms = self.context.tuning.round_grid_ms.max(1.0);
        (due / grid_ms).ceil() * grid_ms
    }

    /// When a core's turn or a send to a cold server is next due, ms.
    fn next_wake(&self) -> f64 {
        let lanes = self.lanes.borrow();
        lanes.iter().filter_map(|lane| lane.next_turn()).fold(self.next_cold_send(), f64::min)
    }

    /// When a cold server is next ready for a send, ms.
    fn next_cold_send(&self) -> f64 {
        let (now, fleet) = (self.context.now_ms(), self.context.fleet.borrow());
        let times = fleet.pacers.values().map(SendPacer::next_send);
        let next = times.filter(|time| *time > now && *time < u64::MAX).min();
        next.map_or(f64::INFINITY, |time| time as f64)
    }

    /// Runs the timers of all lanes. Never completes.
    pub async fn run(self: Rc<Self>) {
        let (mut housekeeping_at, mut cold_send_at) =
            (self.context.wheel.now() + HOUSEKEEPING_INTERVAL_MS, f64::INFINITY);
        loop {
            let now = self.context.wheel.now();
            if now >= housekeeping_at {
                self.housekeep(now);
                housekeeping_at = now + HOUSEKEEPING_INTERVAL_MS;
            } else if now >= cold_send_at {
                self.update_tables();
            }
            cold_send_at = self.next_cold_send();
            let lanes = self.lanes.borrow().clone();
            for lane in lanes.iter().filter(|lane| lane.next_turn().is_some_and(|due| now >= due)) {
                self.drive(lane, |core, now| core.tick(now));
            }
            self.wake_at.set(self.round_up_to_grid(housekeeping_at.min(self.next_wake())));
            tokio::select! {
                biased;
                () = self.context.wheel.sleep_until(self.wake_at.get()) => {}
                () = self.wake_earlier.notified() => {}
            }
        }
    }

    /// Closes idle connections, audits the cores, and removes unused lanes.
    fn housekeep(&self, now: f64) {
        self.context.pool.close_expired();
        {
            let mut fleet = self.context.fleet.borrow_mut();
            fleet.misdirected.retain(|_, until| now < *until);
            fleet.unreachable.retain(|_, until| now < *until);
        }
        let lanes = self.lanes.borrow().clone();
        for lane in &lanes {
            let unanswered = lane.core.borrow().unanswered();
            if unanswered == 0 {
                lane.update_overflow(Overflow::decay);
            }
            self.drive(lane, |core, now| {
                for difference in core.audit(now) {
                    let (whose, out, believed) = (difference.owner, difference.out, difference.believed);
                    log::error!("event=books_differ whose={whose:?} out={out} believed={believed}");
                }
            });
        }
        self.lanes
            .borrow_mut()
            .retain(|lane| lane.next_turn().is_some() || now - lane.last_used.get() < LANE_IDLE_TIMEOUT_MS);
        self.update_tables();
    }

    /// The lane of a service and its home regions, which is created if it doesn't exist. `None`: the decision module
    /// rejects its settings.
    fn lane(&self, backend: &Rc<str>, home_regions: &Rc<[String]>) -> Option<Rc<Lane>> {
        let matches = |lane: &&Rc<Lane>| lane.backend == *backend && lane.home_regions == *home_regions;
        if let Some(lane) = self.lanes.borrow().iter().find(matches) {
            return Some(lane.clone());
        }
        let seed = self.seed ^ (self.lanes.borrow().len() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        // The module starts with a default class; the first request adds its own.
        let facade = Facade::new(self.settings(&[], 1, 0.0), seed, false);
        let facade = facade.inspect_err(|error| log::error!("event=bad_settings error=\"{error}\"")).ok()?;
        let lane = Rc::new_cyclic(|weak_lane| {
            let ports = LanePorts {
                context: self.context.clone(),
                proxy: self.weak_self.clone(),
                lane: weak_lane.clone(),
                sends: HashMap::new(),
                denied: Vec::new(),
            };
            Lane {
                backend: backend.clone(),
                home_regions: home_regions.clone(),
                core: RefCell::new(Core::new(facade, ports)),
                classes: RefCell::default(),
                max_attempts: Cell::new(1),
                settings_epoch: Cell::new(0),
                weights: RefCell::default(),
                min_subset: Cell::new(0.0),
                required_min_subset: Cell::new(0.0),
                last_used: Cell::new(self.context.wheel.now()),
                overflow: Cell::default(),
                local_slots: Cell::new(0),
            }
        });
        self.lanes.borrow_mut().push(lane.clone());
        let table = self.table_changes(&lane);
        self.update_min_subset(&lane);
        self.run_turn(&lane, |core, now| core.update_service_table(now, table, false));
        Some(lane)
    }

    fn settings(&self, classes: &[LaneClass], max_attempts: u32, min_subset: f64) -> Settings {
        let classes = classes.iter().map(|entry| entry.class.clone()).collect();
        let (tuning, here) = (&self.context.tuning, &self.context.here);
        selection::decision_settings(tuning, here, classes, max_attempts, min_subset)
    }

    /// Updates the minimum number of servers that a lane's core selects from.
    fn update_min_subset(&self, lane: &Rc<Lane>) {
        let required = lane.required_min_subset.get();
        if lane.min_subset.replace(required) != required {
            self.apply_settings(lane);
        }
    }

    /// Passes a lane's current settings to its core.
    fn apply_settings(&self, lane: &Rc<Lane>) {
        let settings = self.settings(&lane.classes.borrow(), lane.max_attempts.get(), lane.min_subset.get());
        lane.settings_epoch.set(lane.settings_epoch.get() + 1);
        let epoch = lane.settings_epoch.get();
        self.run_turn(lane, |core, now| core.update_settings(now, settings, f64::NEG_INFINITY, epoch));
    }

    /// The name of a request's class in the lane; a new class is added to the module's settings.
    fn class_name(&self, lane: &Rc<Lane>, exchange: &Exchange) -> String {
        // A request that may be sent to only one server is not retried, nor aborted early for a retry.
        let retry_safety =
            if exchange.max_attempts <= 1 { RetrySafety::AtMostOnce } else { exchange.retry_safety };
        let (target_latency_ms, priority) = (exchange.target_latency_ms.max(1.0), exchange.priority);
        let matches = |entry: &LaneClass| {
            entry.retry_safety == retry_safety
                && entry.target_latency_ms == target_latency_ms
                && entry.priority == priority
        };
        let mut classes = lane.classes.borrow_mut();
        let max_attempts = lane.max_attempts.get().max(exchange.max_attempts);
        let mut has_changed = lane.max_attempts.replace(max_attempts) != max_attempts;
        let index = match classes.iter().position(matches) {
            Some(index) => index,
            None if classes.len() >= MAX_CLASSES => {
                classes.iter().position(|entry| entry.retry_safety == retry_safety).unwrap_or(0)
            }
            None => {
                has_changed = true;
                let class = Class {
                    name: format!("{retry_safety:?}/{target_latency_ms}/{priority}"),
                    target_latency_ms,
                    client_timeout_ms: exchange.timeout_ms,
                    retry_safety,
                    dedup_scope: DedupScope::All,
                    key_ttl_ms: 0.0,
                    late_share: 0.5,
                    stream: false,
                    worth: 1.0 / (1.0 + f64::from(priority)),
                };
                classes.push(LaneClass { retry_safety, target_latency_ms, priority, class });
                classes.len() - 1
            }
        };
        // Retries of a client arrive with less time left than its first try, so the longest time-out is the client's
        // own.
        if exchange.timeout_ms > classes[index].class.client_timeout_ms * TIMEOUT_STEP {
            has_changed = true;
            classes[index].class.client_timeout_ms = exchange.timeout_ms;
        }
        let name = classes[index].class.name.clone();
        drop(classes);
        if has_changed {
            self.apply_settings(lane);
        }
        name
    }

    /// One send, from getting a connection to the last byte of the answer.
    async fn send(
        self: Rc<Self>,
        lane: Rc<Lane>,
        task: RoutedTask,
        request: Rc<PendingRequest>,
        retry_counted_at: Option<u64>,
    ) {
        let key = task.request;
        let wheel = self.context.wheel.clone();
        let began = wheel.now();
        let result = {
            let sending =
                attempt(&self.context.pool, &task.region, &request, || self.context.remaining_ms(&request));
            tokio::pin!(sending);
            tokio::select! {
                biased;
                result = &mut sending => result,
                () = request.abandoned() => {
                    self.drive(&lane, |core, now| core.client_left(now, key));
                    if request.retry_safety != RetrySafety::AtMostOnce {
                        self.finish_send(&lane, &task, Outcome::Canceled, None);
                        return;
                    }
                    // A server may be working on the request, and aborts its work when the connection closes: a request
                    // that must not run twice may finish within its deadline.
                    sending.await
                }
            }
        };
        if matches!(result.outcome, Outcome::CouldNotConnect | Outcome::NotSent) {
            // No server has received any of it.
            request.update_sends(SendCounts::cancel);
            if let Some(counted_at) = retry_counted_at {
                let mut fleet = self.context.fleet.borrow_mut();
                if let Some(budget) = fleet.budgets.get_mut(&request.backend) {
                    budget.cancel_retry(counted_at);
                }
            }
        }
        if result.outcome == Outcome::CouldNotConnect {
            // Before the core learns of the failure: if the region has no other server, the core's next send can then
            // use servers of other regions.
            let until = wheel.now() + UNREACHABLE_MS;
            self.context.fleet.borrow_mut().unreachable.insert(task.region.clone(), until);
            if !lane.overflow.get().spills() {
                self.update_tables();
            }
        } else if result.outcome != Outcome::NotSent {
            self.context.fleet.borrow_mut().unreachable.remove(&task.region);
        }
        let is_in_time = wheel.now() - began <= request.target_latency_ms;
        self.record_capacity(&lane, &task.region, result.outcome, is_in_time);
        if result.misdirected {
            log::warn!("event=misdirected server={} backend={}", task.region, lane.backend);
            let until = wheel.now() + MISDIRECTED_MS;
            self.context.fleet.borrow_mut().misdirected.insert(task.region.clone(), until);
            self.context.pool.close_idle(&task.region);
            self.update_tables();
        }
        let mut response = result.response;
        if request.on_send_end(task.attempt, &mut response) && request.is_answered() {
            // The core needs no further sends of the request.
            self.drive(&lane, |core, now| core.client_left(now, key));
        }
        self.finish_send(&lane, &task, result.outcome, response);
        drop(lane);
        if let Some(forwarder) = result.forwarder {
            let remaining_ms = request.deadline - wheel.now();
            wheel.timeout(remaining_ms, forwarder.run(&self.context.pool)).await;
        }
        drop(request);
        if self.active_requests() == 0 {
            self.became_idle.notify_waiters();
        }
    }

    /// Records from the result of a send whether its server had capacity, if the server is in the own region.
    fn record_capacity(&self, lane: &Lane, server: &str, outcome: Outcome, is_in_time: bool) {
        let had_capacity = match outcome {
            Outcome::Served | Outcome::Error => is_in_time,
            Outcome::Rejected | Outcome::Reset | Outcome::TimedOut => false,
            Outcome::CouldNotConnect | Outcome::Unreadable | Outcome::Canceled | Outcome::NotSent => return,
        };
        let is_local =
            |upstream: &Upstream| locality_distance(upstream, &self.context.here) < OTHER_REGION_DISTANCE;
        if !self.context.fleet.borrow().upstreams.get(server).is_some_and(is_local) {
            return;
        }
        lane.update_overflow(|overflow| overflow.record_send(had_capacity));
        let overflow = lane.overflow.get();
        if overflow.should_spill(lane.local_slots.get()) != overflow.spills() {
            self.update_tables();
        }
    }

    /// Reports the end of a send to the core.
    fn finish_send(
        &self,
        lane: &Rc<Lane>,
        task: &RoutedTask,
        outcome: Outcome,
        response: Option<ServerResponse>,
    ) {
        let (request, attempt) = (task.request, task.attempt);
        self.drive(lane, |core, now| {
            if core.ports().sends.remove(&(request, attempt)).is_some() {
                self.context.update_counts(|counts| counts.count_outcome(outcome));
            }
            core.attempt_ended(now, request, attempt, outcome, 0.0, response);
        });
    }

    /// Number of requests that have no answer yet or a send in progress, and of answers that are being forwarded.
    pub fn active_requests(&self) -> usize {
        Rc::strong_count(&self.in_flight) - 1
    }

    /// Completes when no request is active. Requests may still arrive afterwards.
    pub async fn wait_until_idle(&self) {
        while self.active_requests() > 0 {
            let became_idle = self.became_idle.notified();
            // Requests that end without a send cause no notification.
            self.context.wheel.timeout(IDLE_CHECK_INTERVAL_MS, became_idle).await;
        }
    }

    /// Counts since the start.
    pub fn counts(&self) -> ProxyCounts {
        ProxyCounts { connections_opened: self.context.pool.opened(), ..self.context.counts.get() }
    }

    /// Number of open connections to servers, and how many of them are idle.
    pub(crate) fn connections(&self) -> (usize, usize) {
        self.context.pool.open_and_idle()
    }

    /// The counts as a log line.
    pub fn log_line(&self) -> String {
        format!("event=servers {} busy={}", self.counts(), self.active_requests())
    }
}

impl Dispatch for Proxy {
    fn dispatch(&self, exchange: Exchange) {
        self.context.update_counts(|counts| counts.requests += 1);
        let Some(lane) = self.lane(&exchange.backend, &exchange.home_regions) else {
            let _ = exchange.reply.send(Answer::Failed);
            return;
        };
        let class = self.class_name(&lane, &exchange);
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        let (arrived, timeout_ms) = (exchange.arrived, exchange.timeout_ms);
        let request = Rc::new(PendingRequest::new(exchange, self.in_flight.clone()));
        let intake = Intake {
            class,
            never_twice: false,
            plan: String::new(),
            customer: 0,
            timeout_ms,
            units: 1.0,
            gateways: 1,
            retry: false,
        };
        let (in_flight, now) = (lane.core.borrow().unanswered(), self.context.wheel.now());
        self.drive(&lane, |core, now| core.arrive(now, key, now - arrived, intake, request.clone()));
        request.was_offered.set(true);
        lane.last_used.set(now);
        lane.update_overflow(|overflow| overflow.record_arrival(in_flight));
    }
}
