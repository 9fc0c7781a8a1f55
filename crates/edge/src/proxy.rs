//! The servers' side of a gateway: which server a request goes to, and what became of it.
//!
//! Each service, with each set of home regions that its routes allow, has a core of its own: the module in it chooses
//! among the servers, judges them and decides what is sent again. What never may be, whatever the module says, is held
//! here: a server outside of the homes or in an emptied zone, sends beyond a route's most, beyond the service's budget of
//! further sends or beyond a cold server's rate.

use crate::attempt::{attempt, Load};
use crate::budget::{SendPacer, DEFAULT_GATEWAY_COUNT};
use crate::exchange::{Admission, Dispatch, Exchange, ServerResponse};
use crate::exchange_state::{SendCounts, SendDenial};
use crate::overflow::Overflow;
use crate::pool::Pool;
use crate::proxy_context::{Book, Shared};
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

pub use crate::figures::{Backend, Counts, Tuning};

/// Between two rounds of housekeeping, ms.
const HOUSEKEEPING_MS: f64 = 1_000.0;
/// A lane that no request has come to for so long is dropped, ms.
const LANE_LIFE_MS: f64 = 120_000.0;
/// A server that said it is another one is left out until the list changes it, or for so long, ms.
const MISDIRECTED_MS: f64 = 10_000.0;
/// The slots of a server to which no connection came about don't count for so long, ms.
const UNREACHED_MS: f64 = 3_000.0;
/// Nearness from which a server is in another region.
const FAR: u8 = 2;
/// Most classes of one lane: the module's averages go over all of them.
const MOST_CLASSES: usize = 48;
/// Connections to one server where the configuration doesn't say how many it accepts.
const CONNECTIONS_ASSUMED: u32 = 8;
/// A wait longer than the class's by this factor makes it a new class.
const PATIENCE_STEP: f64 = 1.1;

/// The world of one core.
struct World {
    shared: Rc<Shared>,
    proxy: Weak<Proxy>,
    lane: Weak<Lane>,
    out: HashMap<(RequestKey, usize), (AbortHandle, Rc<Load>)>,
    /// Told by this side after the core's turn: sends that were not begun, and whether their clients had gone.
    late: Vec<(RequestKey, usize, bool)>,
}

impl Ports for World {
    type Content = Rc<Load>;
    type Served = ServerResponse;

    fn route(&mut self, task: &RoutedTask, load: &Rc<Load>, _limit_ms: f64) {
        let left = load.is_left();
        let permit = if left { Err(SendDenial::ClientGone) } else { self.shared.permit(load, &task.region) };
        let further = match permit {
            Ok(further) => further,
            Err(withheld) => {
                load.withheld.set(Some(withheld));
                log::debug!("event=not_sent server={} why=\"{}\"", task.region, withheld.reason());
                return self.late.push((task.request, task.attempt, left));
            }
        };
        let first = load.sends().begun() == 0;
        load.note(SendCounts::begin);
        self.shared.count(|counts| *(if first { &mut counts.sends } else { &mut counts.repeats }) += 1);
        let (Some(proxy), Some(lane)) = (self.proxy.upgrade(), self.lane.upgrade()) else { return };
        let send = proxy.send(lane, task.clone(), load.clone(), further);
        let handle = tokio::task::spawn_local(send).abort_handle();
        // After the order to leave all go on: what the client gets in the end may be an answer of one's own. What must not
        // run twice has no other send that may have reached a server.
        if self.shared.shutdown.get().is_none() || load.repeat == RetrySafety::AtMostOnce {
            load.cut_kept();
        }
        self.out.insert((task.request, task.attempt), (handle, load.clone()));
    }

    fn give_up(&mut self, request: RequestKey, attempt: usize, why: Outcome) {
        let Some((handle, load)) = self.out.remove(&(request, attempt)) else { return };
        self.shared.count(|counts| counts.ended(why));
        let until = load.deadline - ANSWER_MARGIN_MS;
        if load.is_answered() || load.is_left() || self.shared.wheel.now() >= until {
            // Its connection is closed with it, at the task's next turn.
            return handle.abort();
        }
        // A server's work is not broken off for an answer of one's own, but for another send.
        load.keep(attempt, handle.clone());
        let (wheel, load) = (self.shared.wheel.clone(), Rc::downgrade(&load));
        tokio::task::spawn_local(async move {
            wheel.sleep_until(until).await;
            handle.abort();
            if let Some(load) = load.upgrade() {
                load.kept_ended(attempt, &mut None);
            }
        });
    }

    fn answer(&mut self, load: Rc<Load>, answer: Answer<ServerResponse>) {
        if matches!(answer, Answer::ShortOnCapacityReply(_)) && load.found_no_room() {
            self.lane
                .upgrade()
                .into_iter()
                .for_each(|lane| lane.note(|overflow| overflow.record_send(false)));
        }
        load.answer(answer);
    }

    fn count(&mut self, _: String, _: f64, _: f64) {}

    fn close_idle(&mut self, server: &str) {
        self.shared.pool.close_idle(server);
    }

    fn status(served: &ServerResponse) -> u16 {
        served.status
    }
}

/// A class of a lane: what makes it one, and what the module is told.
struct LaneClass {
    repeat: RetrySafety,
    aim_ms: f64,
    priority: u32,
    class: Class,
}

/// One service with one set of home regions.
struct Lane {
    backend: Rc<str>,
    homes: Rc<[String]>,
    core: RefCell<Core<World>>,
    classes: RefCell<Vec<LaneClass>>,
    max_attempts: Cell<u32>,
    /// Changes of its settings so far.
    tuned: Cell<u64>,
    /// The weights that the core's table has.
    table: RefCell<BTreeMap<String, f64>>,
    /// Fewest servers that its core chooses among, as it was told and as the table asks for.
    subset_least: Cell<f64>,
    subset_wanted: Cell<f64>,
    used: Cell<f64>,
    /// Whether requests leave the region, and the slots that it has for them.
    overflow: Cell<Overflow>,
    own_slots: Cell<u32>,
}

impl Lane {
    fn note(&self, change: impl FnOnce(&mut Overflow)) {
        let mut overflow = self.overflow.get();
        change(&mut overflow);
        self.overflow.set(overflow);
    }

    /// When its next turn is due, ms; `None` while nothing is under way: the module then learns nothing from a turn.
    fn due(&self) -> Option<f64> {
        let core = self.core.borrow();
        let busy = core.open() > 0 || core.unanswered() > 0;
        core.next_tick().filter(|_| busy)
    }
}

/// The servers' side.
pub struct Proxy {
    me: Weak<Proxy>,
    shared: Rc<Shared>,
    seed: u64,
    lanes: RefCell<Vec<Rc<Lane>>>,
    keys: Cell<RequestKey>,
    /// Held by every request and every streamed answer.
    held: Rc<()>,
    freed: Notify,
    /// When the loop wakes, ms, and a sign that this has become earlier.
    armed: Cell<f64>,
    sooner: Notify,
}

impl Proxy {
    /// The servers' side of the gateway at this place; `seed` should differ between gateways and starts. It takes its
    /// turns only while [`Proxy::run`] is polled, on the `LocalSet` that polls [`Dispatch::dispatch`], too.
    pub fn new(wheel: Wheel, budget: Rc<Budget>, here: Location, seed: u64, tuning: Tuning) -> Rc<Proxy> {
        let pool = Pool::new(wheel.clone(), budget);
        let (book, counts, cold_used) = (RefCell::default(), Cell::default(), Cell::default());
        let (shutdown, units) = (Cell::new(None), RefCell::new(None));
        let shared = Rc::new(Shared { pool, wheel, tuning, here, book, counts, cold_used, shutdown, units });
        Rc::new_cyclic(|me| Proxy {
            me: me.clone(),
            shared,
            seed,
            lanes: RefCell::default(),
            keys: Cell::new(0),
            held: Rc::new(()),
            freed: Notify::new(),
            armed: Cell::new(0.0),
            sooner: Notify::new(),
        })
    }

    /// Further sends take units here.
    pub fn set_admission(&self, units: Weak<dyn Admission>) {
        *self.shared.units.borrow_mut() = Some(units);
    }

    /// The order to leave: from now on no send is broken off for lack of time while its client waits, not even for another
    /// send; none begins that can't be expected to end in time, and servers are told to stop before the process does.
    pub fn begin_shutdown(&self, shutdown: Shutdown) {
        self.shared.shutdown.set(Some(shutdown));
    }

    /// Takes the whole list of servers, the zones that are evacuated, and the region of each zone.
    pub fn update_servers(
        &self,
        lines: &[ServerInfo],
        evacuated: &[String],
        regions: &HashMap<String, String>,
    ) {
        let evacuated: HashSet<String> = evacuated.iter().cloned().collect();
        let upstreams = usable_upstreams(lines, &evacuated, regions, &self.shared.here);
        let upstreams = upstreams.into_iter().map(|upstream| (upstream.id.clone(), upstream)).collect();
        {
            let mut book = self.shared.book.borrow_mut();
            let old = std::mem::replace(&mut book.upstreams, upstreams);
            let Book { upstreams, misdirected, .. } = &mut *book;
            misdirected
                .retain(|id, _| upstreams.get(id).is_some_and(|upstream| old.get(id) == Some(upstream)));
        }
        self.follow();
    }

    /// Takes what the configuration says of each service.
    pub fn update_backends(&self, backends: HashMap<String, Backend>) {
        self.shared.book.borrow_mut().backends = backends;
        self.follow();
    }

    /// Takes the number of gateways, among which slack and connections are divided.
    pub fn set_gateway_count(&self, gateways: u32) {
        self.shared.book.borrow_mut().gateways = Some(gateways.max(1));
        self.follow();
    }

    /// Brings pool, permits and tables in line with the book.
    fn follow(&self) {
        let now = self.shared.now_ms();
        {
            let mut book = self.shared.book.borrow_mut();
            let Book { upstreams, backends, gateways, permits, .. } = &mut *book;
            let (pool, tuning) = (&self.shared.pool, &self.shared.tuning);
            pool.retain(|id| upstreams.contains_key(id));
            permits.retain(|id, _| upstreams.get(id).is_some_and(|upstream| upstream.cold));
            for (id, upstream) in upstreams.iter() {
                let backend = backends.get(&upstream.backend);
                let most = backend.map_or(0, |backend| backend.max_connections);
                let share = match most {
                    0 => CONNECTIONS_ASSUMED,
                    most => (most / gateways.unwrap_or(DEFAULT_GATEWAY_COUNT)).max(1),
                };
                let near = upstream.region == self.shared.here.region;
                let connect_ms = if near { tuning.connect_ms } else { tuning.connect_far_ms };
                pool.follow(id, upstream.address, connect_ms, share as usize);
                if upstream.cold {
                    let per_s = backend.map_or(0.0, |backend| backend.warmup_per_s);
                    let permits = permits.entry(id.clone()).or_insert_with(|| SendPacer::new(now, per_s));
                    permits.set_rate(now, per_s);
                }
            }
        }
        self.tables();
    }

    /// Tells every core what has changed of its servers.
    fn tables(&self) {
        let lanes = self.lanes.borrow().clone();
        loop {
            self.shared.cold_used.set(false);
            for lane in &lanes {
                let table = self.table(lane);
                self.resize_subset(lane);
                if !table.regions.is_empty() {
                    self.turn_of(lane, |core, now| core.table(now, table, false));
                }
            }
            // What waited may have gone to a cold server at once, and used its permit.
            if !self.shared.cold_used.get() {
                break;
            }
        }
        self.arm(self.next_due());
    }

    /// What has changed of a lane's servers since its core was last told.
    fn table(&self, lane: &Lane) -> ServiceTable {
        let now = self.shared.wheel.now();
        let here = &self.shared.here;
        let book = self.shared.book.borrow();
        let fit = |upstream: &&Upstream| {
            let permits = book.permits.get(&upstream.id);
            let ready = !upstream.cold || permits.is_some_and(|permits| permits.is_ready(now as u64));
            let itself = book.misdirected.get(&upstream.id).is_none_or(|until| now >= *until);
            *upstream.backend == *lane.backend && ready && itself
        };
        let upstreams: Vec<&Upstream> = book.upstreams.values().filter(fit).collect();
        let scope = book.scope();
        let reached = upstreams.iter().copied();
        let reached =
            reached.filter(|upstream| book.unreached.get(&upstream.id).is_none_or(|until| now >= *until));
        let own = local_region_slots(reached, &lane.homes, here);
        lane.own_slots.set(own);
        let mut overflow = lane.overflow.get();
        let wide = overflow.update(own);
        lane.overflow.set(overflow);
        let nearness = &self.shared.tuning.nearness;
        let weigh = |upstream: &Upstream| locality_weight(upstream, &lane.homes, here, nearness, wide);
        let new: BTreeMap<String, f64> =
            upstreams.iter().filter_map(|upstream| Some((upstream.id.clone(), weigh(upstream)?))).collect();
        let usable = upstreams.iter().copied().filter(|upstream| new.contains_key(&upstream.id));
        lane.subset_wanted.set(scope.min_subset_size(usable, here));
        let mut old = lane.table.borrow_mut();
        let gone = old.iter().filter(|(id, _)| !new.contains_key(*id));
        let gone = gone.map(|(id, weight)| selection::withdrawn_entry(id, book.upstreams.get(id), *weight));
        let changed = new.iter().filter(|(id, weight)| old.get(*id) != Some(*weight));
        let changed = changed.map(|(id, weight)| selection::ready_entry(&book.upstreams[id], here, *weight));
        let regions: Vec<RegionEntry> = gone.chain(changed).collect();
        *old = new;
        ServiceTable { rev: 0, all: false, regions }
    }

    /// Lets one core do something, and tells it of sends that were not begun.
    fn turn_of(&self, lane: &Rc<Lane>, turn: impl FnOnce(&mut Core<World>, f64)) {
        let now = self.shared.wheel.now();
        let mut core = lane.core.borrow_mut();
        turn(&mut core, now);
        loop {
            let late = std::mem::take(&mut core.ports().late);
            if late.is_empty() {
                return;
            }
            for (request, attempt, left) in late {
                if left {
                    core.left(now, request);
                }
                core.ended(now, request, attempt, Outcome::NotSent, 0.0, None);
            }
        }
    }

    /// The same from outside of a turn, with what follows for the other cores and the loop.
    fn drive(&self, lane: &Rc<Lane>, turn: impl FnOnce(&mut Core<World>, f64)) {
        self.turn_of(lane, turn);
        if self.shared.cold_used.get() {
            self.tables();
        } else if let Some(due) = lane.due() {
            self.arm(due);
        }
    }

    /// Has the loop wake by then.
    fn arm(&self, due: f64) {
        if due < self.armed.get() {
            self.armed.set(self.on_grid(due));
            self.sooner.notify_one();
        }
    }

    fn on_grid(&self, due: f64) -> f64 {
        let grid = self.shared.tuning.grid_ms.max(1.0);
        (due / grid).ceil() * grid
    }

    /// When a lane or a cold server is next due, ms.
    fn next_due(&self) -> f64 {
        let lanes = self.lanes.borrow();
        lanes.iter().filter_map(|lane| lane.due()).fold(self.permit_due(), f64::min)
    }

    /// When the next cold server may be sent to again, ms.
    fn permit_due(&self) -> f64 {
        let (now, book) = (self.shared.now_ms(), self.shared.book.borrow());
        let next =
            book.permits.values().map(SendPacer::next_send).filter(|next| *next > now && *next < u64::MAX);
        next.min().map_or(f64::INFINITY, |next| next as f64)
    }

    /// Takes its turns for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        let (mut kept, mut permits) = (self.shared.wheel.now() + HOUSEKEEPING_MS, f64::INFINITY);
        loop {
            let now = self.shared.wheel.now();
            if now >= kept {
                self.keep_house(now);
                kept = now + HOUSEKEEPING_MS;
            } else if now >= permits {
                self.tables();
            }
            permits = self.permit_due();
            let lanes = self.lanes.borrow().clone();
            for lane in lanes.iter().filter(|lane| lane.due().is_some_and(|due| now >= due)) {
                self.drive(lane, |core, now| core.tick(now));
            }
            self.armed.set(self.on_grid(kept.min(self.next_due())));
            tokio::select! {
                biased;
                () = self.shared.wheel.sleep_until(self.armed.get()) => {}
                () = self.sooner.notified() => {}
            }
        }
    }

    /// Closes idle connections, compares books, and drops lanes out of use.
    fn keep_house(&self, now: f64) {
        self.shared.pool.reap();
        {
            let mut book = self.shared.book.borrow_mut();
            book.misdirected.retain(|_, until| now < *until);
            book.unreached.retain(|_, until| now < *until);
        }
        let lanes = self.lanes.borrow().clone();
        for lane in &lanes {
            let open = lane.core.borrow().unanswered();
            if open == 0 {
                lane.note(Overflow::decay);
            }
            self.drive(lane, |core, now| {
                for difference in core.audit(now) {
                    let (whose, out, believed) = (difference.whose, difference.out, difference.believed);
                    log::error!("event=books_differ whose={whose:?} out={out} believed={believed}");
                }
            });
        }
        self.lanes.borrow_mut().retain(|lane| lane.due().is_some() || now - lane.used.get() < LANE_LIFE_MS);
        self.tables();
    }

    /// The lane of a service and homes; a new one where there is none.
    fn lane(&self, backend: &Rc<str>, homes: &Rc<[String]>) -> Option<Rc<Lane>> {
        let known = |lane: &&Rc<Lane>| lane.backend == *backend && lane.homes == *homes;
        if let Some(lane) = self.lanes.borrow().iter().find(known) {
            return Some(lane.clone());
        }
        let seed = self.seed ^ (self.lanes.borrow().len() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        // The module begins with one class; the first request brings its own.
        let facade = Facade::new(self.settings(&[], 1, 0.0), seed, false);
        let facade = facade.inspect_err(|error| log::error!("event=bad_settings error=\"{error}\"")).ok()?;
        let lane = Rc::new_cyclic(|lane| {
            let (proxy, lane) = (self.me.clone(), lane.clone());
            let (out, late) = (HashMap::new(), Vec::new());
            let world = World { shared: self.shared.clone(), proxy, lane, out, late };
            Lane {
                backend: backend.clone(),
                homes: homes.clone(),
                core: RefCell::new(Core::new(facade, world)),
                classes: RefCell::default(),
                max_attempts: Cell::new(1),
                tuned: Cell::new(0),
                table: RefCell::default(),
                used: Cell::new(self.shared.wheel.now()),
                subset_least: Cell::new(0.0),
                subset_wanted: Cell::new(0.0),
                overflow: Cell::default(),
                own_slots: Cell::new(0),
            }
        });
        self.lanes.borrow_mut().push(lane.clone());
        let table = self.table(&lane);
        self.resize_subset(&lane);
        self.turn_of(&lane, |core, now| core.table(now, table, false));
        Some(lane)
    }

    fn settings(&self, classes: &[LaneClass], max_attempts: u32, subset_least: f64) -> Settings {
        let classes = classes.iter().map(|known| known.class.clone()).collect();
        selection::decision_settings(
            &self.shared.tuning,
            &self.shared.here,
            classes,
            max_attempts,
            subset_least,
        )
    }

    /// Tells a lane's core how many servers to choose among, if that has changed.
    fn resize_subset(&self, lane: &Rc<Lane>) {
        let wanted = lane.subset_wanted.get();
        if lane.subset_least.replace(wanted) != wanted {
            self.retune(lane);
        }
    }

    /// Tells a lane's core its present settings.
    fn retune(&self, lane: &Rc<Lane>) {
        let settings =
            self.settings(&lane.classes.borrow(), lane.max_attempts.get(), lane.subset_least.get());
        lane.tuned.set(lane.tuned.get() + 1);
        let epoch = lane.tuned.get();
        self.turn_of(lane, |core, now| core.retune(now, settings, f64::NEG_INFINITY, epoch));
    }

    /// The class of a request, by its name in the lane; the module is told of new ones.
    fn class(&self, lane: &Rc<Lane>, exchange: &Exchange) -> String {
        // One that may go to a single server is not repeated, nor cut short in the hope of it.
        let repeat = if exchange.max_attempts <= 1 { RetrySafety::AtMostOnce } else { exchange.retry_safety };
        let (aim_ms, priority) = (exchange.target_latency_ms.max(1.0), exchange.priority);
        let fits = |known: &LaneClass| {
            known.repeat == repeat && known.aim_ms == aim_ms && known.priority == priority
        };
        let mut classes = lane.classes.borrow_mut();
        let most = lane.max_attempts.get().max(exchange.max_attempts);
        let mut changed = lane.max_attempts.replace(most) != most;
        let at = match classes.iter().position(fits) {
            Some(at) => at,
            None if classes.len() >= MOST_CLASSES => {
                classes.iter().position(|known| known.repeat == repeat).unwrap_or(0)
            }
            None => {
                changed = true;
                let class = Class {
                    name: format!("{repeat:?}/{aim_ms}/{priority}"),
                    target_latency_ms: aim_ms,
                    client_timeout_ms: exchange.timeout_ms,
                    retry_safety: repeat,
                    dedup_scope: DedupScope::All,
                    key_ttl_ms: 0.0,
                    late_share: 0.5,
                    stream: false,
                    worth: 1.0 / (1.0 + f64::from(priority)),
                };
                classes.push(LaneClass { repeat, aim_ms, priority, class });
                classes.len() - 1
            }
        };
        // Later tries come with less time left than first ones: the longest wait is the client's whole.
        if exchange.timeout_ms > classes[at].class.client_timeout_ms * PATIENCE_STEP {
            changed = true;
            classes[at].class.client_timeout_ms = exchange.timeout_ms;
        }
        let name = classes[at].class.name.clone();
        drop(classes);
        if changed {
            self.retune(lane);
        }
        name
    }

    /// One send, from its connection to the last byte of its answer.
    async fn send(self: Rc<Self>, lane: Rc<Lane>, task: RoutedTask, load: Rc<Load>, further: Option<u64>) {
        let key = task.request;
        let wheel = self.shared.wheel.clone();
        let begun = wheel.now();
        let ended = {
            let sending = attempt(&self.shared.pool, &task.region, &load, || self.shared.left_ms(&load));
            tokio::pin!(sending);
            tokio::select! {
                biased;
                ended = &mut sending => ended,
                () = load.left() => {
                    self.drive(&lane, |core, now| core.left(now, key));
                    if load.repeat != RetrySafety::AtMostOnce {
                        self.ended(&lane, &task, Outcome::CalledOff, None);
                        return;
                    }
                    // It may be at work, and servers drop what they work on with its connection: a booking is left
                    // to end, within its time.
                    sending.await
                }
            }
        };
        if matches!(ended.outcome, Outcome::CouldNotConnect | Outcome::NotSent) {
            // Nothing of it has arrived anywhere.
            load.note(SendCounts::cancel);
            if let Some(at) = further {
                let mut book = self.shared.book.borrow_mut();
                book.budgets.get_mut(&load.backend).into_iter().for_each(|budget| budget.cancel_retry(at));
            }
        }
        if ended.outcome == Outcome::CouldNotConnect {
            // Told before the end is: where the region has no other server, the next send finds those of others.
            let until = wheel.now() + UNREACHED_MS;
            self.shared.book.borrow_mut().unreached.insert(task.region.clone(), until);
            if !lane.overflow.get().spills() {
                self.tables();
            }
        } else if ended.outcome != Outcome::NotSent {
            self.shared.book.borrow_mut().unreached.remove(&task.region);
        }
        self.note_room(&lane, &task.region, ended.outcome, wheel.now() - begun <= load.aim_ms);
        if ended.misdirected {
            log::warn!("event=misdirected server={} backend={}", task.region, lane.backend);
            let until = wheel.now() + MISDIRECTED_MS;
            self.shared.book.borrow_mut().misdirected.insert(task.region.clone(), until);
            self.shared.pool.close_idle(&task.region);
            self.tables();
        }
        let mut served = ended.served;
        if load.kept_ended(task.attempt, &mut served) && load.is_answered() {
            // What else the core had in mind for it is no longer wanted.
            self.drive(&lane, |core, now| core.left(now, key));
        }
        self.ended(&lane, &task, ended.outcome, served);
        drop(lane);
        if let Some(rest) = ended.rest {
            let left = load.deadline - wheel.now();
            wheel.timeout(left, rest.pass_on(&self.shared.pool)).await;
        }
        drop(load);
        if self.active_requests() == 0 {
            self.freed.notify_waiters();
        }
    }

    /// Learns from the end of a send whether its server, if it is one of the own region, had room for it.
    fn note_room(&self, lane: &Lane, server: &str, outcome: Outcome, in_time: bool) {
        let room = match outcome {
            Outcome::Served | Outcome::Error => in_time,
            Outcome::TurnedAway | Outcome::Reset | Outcome::TimedOut => false,
            Outcome::CouldNotConnect | Outcome::Spoilt | Outcome::CalledOff | Outcome::NotSent => return,
        };
        let own = |upstream: &Upstream| locality_distance(upstream, &self.shared.here) < FAR;
        if !self.shared.book.borrow().upstreams.get(server).is_some_and(own) {
            return;
        }
        lane.note(|overflow| overflow.record_send(room));
        let overflow = lane.overflow.get();
        if overflow.should_spill(lane.own_slots.get()) != overflow.spills() {
            self.tables();
        }
    }

    fn ended(&self, lane: &Rc<Lane>, task: &RoutedTask, outcome: Outcome, served: Option<ServerResponse>) {
        let (request, attempt) = (task.request, task.attempt);
        self.drive(lane, |core, now| {
            if core.ports().out.remove(&(request, attempt)).is_some() {
                self.shared.count(|counts| counts.ended(outcome));
            }
            core.ended(now, request, attempt, outcome, 0.0, served);
        });
    }

    /// Requests that are owed an answer or have an attempt out, and answers that are being passed on.
    pub fn active_requests(&self) -> usize {
        Rc::strong_count(&self.held) - 1
    }

    /// Ready when nothing is under way; what still comes in begins anew.
    pub async fn wait_until_idle(&self) {
        while self.active_requests() > 0 {
            let freed = self.freed.notified();
            // Requests that end without a send tell nobody.
            self.shared.wheel.timeout(HOUSEKEEPING_MS / 20.0, freed).await;
        }
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        Counts { connections: self.shared.pool.opened(), ..self.shared.counts.get() }
    }

    /// Connections to servers: open, and of these idle.
    pub(crate) fn connections(&self) -> (usize, usize) {
        self.shared.pool.open()
    }

    /// The counts as a line for the log.
    pub fn log_line(&self) -> String {
        format!("event=servers {} busy={}", self.counts(), self.active_requests())
    }
}

impl Dispatch for Proxy {
    fn dispatch(&self, exchange: Exchange) {
        self.shared.count(|counts| counts.taken += 1);
        let Some(lane) = self.lane(&exchange.backend, &exchange.home_regions) else {
            let _ = exchange.reply.send(Answer::Failed);
            return;
        };
        let class = self.class(&lane, &exchange);
        let key = self.keys.get() + 1;
        self.keys.set(key);
        let (arrived, patience_ms) = (exchange.arrived, exchange.timeout_ms);
        let load = Rc::new(Load::new(exchange, self.held.clone()));
        let intake = Intake {
            class,
            never_twice: false,
            plan: String::new(),
            customer: 0,
            patience_ms,
            units: 1.0,
            doors: 1,
            retry: false,
        };
        let (under_way, now) = (lane.core.borrow().unanswered(), self.shared.wheel.now());
        self.drive(&lane, |core, now| core.arrive(now, key, now - arrived, intake, load.clone()));
        load.waits.set(true);
        lane.used.set(now);
        lane.note(|overflow| overflow.record_arrival(under_way));
    }
}
