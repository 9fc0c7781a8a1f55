//! A synchronous interface to the decision module: [`Facade::pick`] submits a request, [`Facade::report`] passes
//! on an event, and [`Facade::tick`] advances time. Each call returns all decisions made so far, including those
//! on other requests. The module's own events and actions are not visible outside this file.

use crate::ledger::CountOwner;
use nickeljunction_decide::api::{self, Action, Event, ListKind, ServerEntry, ServerState, Status};
use nickeljunction_decide::decide::Limiter;
use std::collections::BTreeMap;

pub use nickeljunction_decide::api::{Class, DedupScope, InvalidSettings, Plan, RetrySafety, Settings};

/// Number of a request within this process, never reused.
pub type RequestKey = u64;

/// The properties of a request that decisions depend on.
#[derive(Clone, PartialEq)]
pub struct Intake {
    /// Class, by the name in the settings.
    pub class: String,
    /// The request must never run twice, even if its class permits it.
    pub never_twice: bool,
    /// Plan, by the name in the settings.
    pub plan: String,
    /// The franchisee.
    pub customer: u64,
    /// How long the client waits, ms.
    pub timeout_ms: f64,
    /// Estimated units.
    pub units: f64,
    /// Number of gateways that receive this franchisee's requests.
    pub gateways: usize,
    /// The client marked the request as a retry.
    pub retry: bool,
}

/// One attempt of a request at one region.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedTask {
    /// The request.
    pub request: RequestKey,
    /// Number of the attempt, from 0.
    pub attempt: usize,
    /// The region, by its uid.
    pub region: String,
    /// Time-out of the attempt, ms; 0: until the client's deadline.
    pub limit_ms: f64,
}

/// How a routed task ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A good answer.
    Served,
    /// The region failed; the request may have run.
    Error,
    /// The region rejected the request without processing it: it never ran.
    Rejected,
    /// The request was not completely written: it never ran.
    CouldNotConnect,
    /// The connection broke after the request's last byte: it may have run.
    Reset,
    /// The answer is unreadable: the request counts as having run.
    Unreadable,
    /// Not answered in time: it may have run.
    TimedOut,
    /// Canceled because the request was answered otherwise: it may have run. Says nothing about the region's health.
    Canceled,
    /// Not sent, because the request had ended or its deadline had passed: it never ran.
    NotSent,
}

/// The counter's answer to one call.
#[derive(Clone, Copy, PartialEq)]
pub enum CounterReply {
    /// The total after the call.
    Total(f64),
    /// The call was rejected: nothing was added.
    Busy,
    /// The call was not completely written: nothing was added.
    CouldNotConnect,
    /// No answer in time: it may have been added.
    TimedOut,
    /// A reply that came after the time-out: the amount was added, and this is the total after the call.
    Late(f64),
    /// The call timed out, and no reply will follow: it stays unknown whether the amount was added.
    Unresolved,
}

/// State of a region according to the service table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegionState {
    /// Accepts new requests.
    Ready,
    /// Completes its open requests and accepts no new ones.
    Terminating,
    /// Removed.
    Gone,
}

/// One line of the service table.
#[derive(Clone, PartialEq)]
pub struct RegionEntry {
    /// Its id, the same at every gateway.
    pub uid: String,
    /// Where it listens, as this gateway reaches it.
    pub endpoint: String,
    /// Its state.
    pub state: RegionState,
    /// Its zone.
    pub zone: String,
    /// Its pod group.
    pub pod_group: u64,
    /// Its configured capacity weight.
    pub weight: f64,
    /// When it last started, Unix ms; 0: long ago.
    pub boot_ms: f64,
    /// Distance from this gateway, 0 for the nearest: nearer regions are chosen first.
    pub distance: u8,
    /// Rank among regions at the same distance, specific to this gateway: lower ones are chosen first.
    pub rank: f64,
}

/// Discovery's list, or a change of it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServiceTable {
    /// Version.
    pub rev: u64,
    /// The table is complete; otherwise it contains only the changed lines.
    pub all: bool,
    /// The lines.
    pub regions: Vec<RegionEntry>,
}

/// An event that the caller reports to the decision module.
#[derive(Debug, Clone, PartialEq)]
pub enum Report {
    /// A routed task ended.
    Ended {
        /// The request.
        request: RequestKey,
        /// Number of the attempt.
        attempt: usize,
        /// The region it went to.
        region: String,
        /// How it ended.
        outcome: Outcome,
        /// Actual units, if the answer states them; otherwise 0.
        settled: f64,
        /// Time since it was routed, ms.
        latency_ms: f64,
        /// The request has its final answer, or gets it with this attempt.
        closed: bool,
    },
    /// The client left, or the core answered the request without a decision of the module.
    ClientLeft(RequestKey),
    /// The counter answered a call on this name.
    CounterReplied(String, CounterReply),
    /// The service table changed.
    ServiceTable {
        /// The change.
        table: ServiceTable,
        /// The table was saved before the last start and may be out of date.
        saved: bool,
    },
}

/// A decision of the module.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Send an attempt.
    Route(RoutedTask),
    /// Final: refused for lack of capacity; retry after this time, ms (0: not stated).
    ShortOnCapacity(RequestKey, f64),
    /// Final: failed.
    Fail(RequestKey),
    /// Cancel an attempt.
    CancelAttempt(RequestKey, usize),
    /// Call the counter: name, amount, time to live of a new name in ms.
    IncrementCounter(String, f64, f64),
    /// Close idle connections to a region.
    CloseIdle(String),
    /// A line for the operators' log.
    Log(String),
}

/// Name of the variant of `class` for requests that must not run twice.
fn at_most_once_name(class: &str) -> String {
    format!("{class}#once")
}

/// Admission probability below which the module counts as shedding load.
const SHEDDING_THRESHOLD: f64 = 0.9;

/// If `strict`, adds an at-most-once variant of every class that permits repeats.
fn with_at_most_once_classes(mut settings: Settings, strict: bool) -> Settings {
    if strict {
        let variants: Vec<Class> = (settings.classes.iter())
            .filter(|class| class.retry_safety != RetrySafety::AtMostOnce)
            .map(|class| Class {
                name: at_most_once_name(&class.name),
                retry_safety: RetrySafety::AtMostOnce,
                ..class.clone()
            })
            .collect();
        settings.classes.extend(variants);
    }
    settings
}

/// Checks settings as the decision module does.
///
/// # Errors
/// Names the invalid setting.
pub fn check(settings: &Settings) -> Result<(), InvalidSettings> {
    Limiter::new(settings.clone(), 0).map(drop)
}

/// A call to the decision module, as a [`Tap`] sees it.
#[derive(Debug)]
pub enum Input<'a> {
    /// A new request.
    Request(RequestKey, &'a Intake),
    /// A report.
    Report(&'a Report),
    /// A tick that was due.
    Tick,
    /// The program stops.
    ShutDown,
    /// New settings; the start of the first quota window that uses the new plan settings, ms; the document's epoch.
    SettingsUpdated(&'a Settings, f64, u64),
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ending {
    /// A region's answer, with its status.
    Served(u16),
    /// Refused for lack of capacity; retry after this time, ms (0: not stated).
    ShortOnCapacity(f64),
    /// Failed.
    Failed,
}

/// Observes all inputs and verdicts of the decision module in order. Its methods must not block.
pub trait Tap: std::fmt::Debug {
    /// Id and idempotency key of the request in the next [`Input::Request`].
    fn named(&mut self, id: &str, key: &str);
    /// An input is passed to the module.
    fn input(&mut self, now: f64, input: Input<'_>);
    /// The module returned a verdict.
    fn verdict(&mut self, now: f64, verdict: &Verdict);
    /// A client has its final answer.
    fn answered(&mut self, now: f64, request: RequestKey, ending: Ending);
}

/// The synchronous interface to the decision module.
#[derive(Debug)]
pub struct Facade {
    limiter: Limiter,
    tap: Option<Box<dyn Tap>>,
    strict: bool,
    /// The module's classes, including retired ones: see [`crate::classes`].
    classes: Vec<Class>,
    /// Number of settings changes since the start.
    changes: u64,
    /// Number of each open request's next attempt.
    next_attempts: BTreeMap<RequestKey, usize>,
    max_units: f64,
    wake: Option<f64>,
    actions: Vec<Action>,
}

impl Facade {
    /// Creates a module with these settings. `strict` adds an at-most-once variant of every class that permits
    /// repeats, for requests with [`Intake::never_twice`]; it is off where no front end needs it.
    pub fn new(settings: Settings, seed: u64, strict: bool) -> Result<Facade, InvalidSettings> {
        let settings = with_at_most_once_classes(settings, strict);
        let max_units = settings.max_request_units.max(1.0);
        let (classes, changes) = (settings.classes.clone(), 0);
        let limiter = Limiter::new(settings, seed)?;
        let (next_attempts, wake, actions) = (BTreeMap::new(), None, Vec::new());
        Ok(Facade { limiter, tap: None, strict, max_units, next_attempts, wake, actions, classes, changes })
    }

    /// Sets or removes the tap. `None` costs nothing.
    pub fn set_tap(&mut self, tap: Option<Box<dyn Tap>>) {
        self.tap = tap;
    }

    /// The tap, if one is set.
    pub fn tap(&mut self) -> Option<&mut (dyn Tap + 'static)> {
        self.tap.as_deref_mut()
    }

    /// Submits a new request. If no verdict on it is returned, the module holds the request.
    pub fn pick(&mut self, now: f64, request: RequestKey, intake: &Intake) -> Vec<Verdict> {
        let class = match intake.never_twice {
            true => at_most_once_name(&intake.class),
            false => intake.class.clone(),
        };
        let arrival = api::Arrival {
            id: request.to_string(),
            class,
            plan: intake.plan.clone(),
            customer: intake.customer,
            timeout_ms: intake.timeout_ms,
            units: intake.units,
            gateways: intake.gateways,
            retry: intake.retry,
        };
        self.next_attempts.insert(request, 0);
        if let Some(tap) = &mut self.tap {
            tap.input(now, Input::Request(request, intake));
        }
        self.handle(now, Event::Request(arrival))
    }

    /// Passes an event on to the module.
    pub fn report(&mut self, now: f64, report: Report) -> Vec<Verdict> {
        if let Some(tap) = &mut self.tap {
            tap.input(now, Input::Report(&report));
        }
        let event = match report {
            Report::Ended { request, attempt, region, outcome, settled, latency_ms, closed } => {
                if closed {
                    self.next_attempts.remove(&request);
                }
                let status = match outcome {
                    Outcome::Served => Status::Ok,
                    Outcome::Error => Status::Failed,
                    Outcome::Rejected => Status::QueueFull,
                    Outcome::CouldNotConnect => Status::ConnectError,
                    Outcome::Reset => Status::Reset,
                    Outcome::Unreadable => Status::Unreadable,
                    Outcome::TimedOut => Status::TimedOut,
                    Outcome::Canceled => Status::Canceled,
                    Outcome::NotSent => Status::NotSent,
                };
                // An impossible number of units is ignored: charging it would use up a whole quota.
                let settled = if settled <= self.max_units { settled } else { 0.0 };
                let (id, load) = (request.to_string(), BTreeMap::new());
                Event::Outcome(api::Outcome {
                    id,
                    attempt,
                    server: region,
                    status,
                    settled_units: settled,
                    latency_ms,
                    request_closed: closed,
                    load,
                })
            }
            Report::ClientLeft(request) => {
                self.next_attempts.remove(&request);
                Event::Abandoned(request.to_string())
            }
            Report::CounterReplied(name, reply) => match reply {
                CounterReply::Total(total) => Event::CountReply(name, Status::Ok, total),
                CounterReply::Busy => Event::CountReply(name, Status::QueueFull, 0.0),
                CounterReply::CouldNotConnect => Event::CountReply(name, Status::ConnectError, 0.0),
                CounterReply::TimedOut => Event::CountReply(name, Status::TimedOut, 0.0),
                CounterReply::Late(total) => Event::LateCount(name, Some(total)),
                CounterReply::Unresolved => Event::LateCount(name, None),
            },
            Report::ServiceTable { table, saved } => {
                let kind = match (saved, table.all) {
                    (true, _) => ListKind::Cached,
                    (false, true) => ListKind::Full,
                    (false, false) => ListKind::Incremental,
                };
                Event::Servers(kind, table.regions.into_iter().map(entry).collect())
            }
        };
        self.handle(now, event)
    }

    /// Advances time. Has no effect before [`Facade::next_tick`].
    pub fn tick(&mut self, now: f64) -> Vec<Verdict> {
        match self.wake.filter(|wake| now >= *wake) {
            None => Vec::new(),
            Some(_) => {
                self.wake = None;
                if let Some(tap) = &mut self.tap {
                    tap.input(now, Input::Tick);
                }
                self.handle(now, Event::Timer("sweep".into()))
            }
        }
    }

    /// Time at which the module needs the next tick, ms.
    pub fn next_tick(&self) -> Option<f64> {
        self.wake
    }

    /// Applies new settings: those of plans to windows that begin at `from` (ms) or later, the others at once.
    /// They must list the previous classes and plans in the same order, with new plans last, and must have
    /// passed [`check`].
    pub fn update_settings(&mut self, now: f64, settings: Settings, from: f64, epoch: u64) {
        if let Some(tap) = &mut self.tap {
            tap.input(now, Input::SettingsUpdated(&settings, from, epoch));
        }
        let mut settings = with_at_most_once_classes(settings, self.strict);
        self.changes += 1;
        settings.classes = crate::classes::merge(&self.classes, settings.classes, self.changes);
        self.classes.clone_from(&settings.classes);
        self.max_units = settings.max_request_units.max(1.0);
        self.limiter.update_settings(settings, from);
    }

    /// The module's counts of attempts in flight.
    pub(crate) fn attempt_counts(&self) -> BTreeMap<CountOwner, usize> {
        let regions = self
            .limiter
            .attempts_by_server()
            .map(|(uid, count)| (CountOwner::Region(uid.to_string()), count));
        let customers = self
            .limiter
            .attempts_by_customer()
            .map(|(number, count)| (CountOwner::Franchisee(number), count));
        regions.chain(customers).collect()
    }

    /// Attempts that the module counts as in flight: request, number, region.
    pub(crate) fn attempts_in_flight(&self) -> Vec<(RequestKey, usize, String)> {
        let key = |id: &str| id.parse().expect("ids are made from keys");
        self.limiter.open_attempts().map(|(id, attempt, uid)| (key(id), attempt, uid.to_string())).collect()
    }

    /// Corrects one of the module's counts.
    pub(crate) fn correct_count(&mut self, owner: &CountOwner, count: usize) {
        match owner {
            CountOwner::Region(uid) => self.limiter.set_attempts_at_server(uid, count),
            CountOwner::Franchisee(number) => self.limiter.set_attempts_of_customer(*number, count),
        }
    }

    /// Whether the settings allow two attempts of a request in flight at once.
    pub fn hedging_enabled(&self) -> bool {
        self.limiter.hedging()
    }

    /// Whether hedging is enabled and this request may be hedged: its class repeats safely or by key.
    pub fn allows_hedging(&self, intake: &Intake) -> bool {
        let repeats =
            |class: &Class| class.name == intake.class && class.retry_safety != RetrySafety::AtMostOnce;
        self.hedging_enabled() && !intake.never_twice && self.classes.iter().any(repeats)
    }

    /// Whether the module sheds load because the fleet lacks capacity.
    pub fn is_shedding(&self) -> bool {
        self.limiter.admission_probability() < SHEDDING_THRESHOLD
    }

    /// Stops the module. Returns the counter calls that hand unused leases back.
    pub fn shut_down(&mut self, now: f64) -> Vec<Verdict> {
        if let Some(tap) = &mut self.tap {
            tap.input(now, Input::ShutDown);
        }
        let mut actions = std::mem::take(&mut self.actions);
        self.limiter.shut_down(now, &mut actions);
        self.verdicts(now, actions)
    }

    fn handle(&mut self, now: f64, event: Event) -> Vec<Verdict> {
        let mut actions = std::mem::take(&mut self.actions);
        self.limiter.on_event(now, event, &mut actions);
        self.verdicts(now, actions)
    }

    fn verdicts(&mut self, now: f64, mut actions: Vec<Action>) -> Vec<Verdict> {
        let key = |id: String| id.parse::<RequestKey>().expect("ids are made from keys");
        let mut verdicts = Vec::new();
        for action in actions.drain(..) {
            verdicts.push(match action {
                Action::Send(id, region, limit_ms) => {
                    let request = key(id);
                    let next = self.next_attempts.entry(request).or_default();
                    let attempt = std::mem::replace(next, *next + 1);
                    Verdict::Route(RoutedTask { request, attempt, region, limit_ms })
                }
                Action::Refuse(id, pause) => {
                    let request = key(id);
                    self.next_attempts.remove(&request);
                    Verdict::ShortOnCapacity(request, pause)
                }
                Action::Fail(id) => {
                    let request = key(id);
                    self.next_attempts.remove(&request);
                    Verdict::Fail(request)
                }
                Action::Cancel(id, attempt) => Verdict::CancelAttempt(key(id), attempt),
                Action::IncrementCounter(name, amount, life_ms) => {
                    Verdict::IncrementCounter(name, amount, life_ms)
                }
                Action::CloseIdle(region) => Verdict::CloseIdle(region),
                Action::Log(text) => Verdict::Log(text),
                // The module has a single timer, its sweep; only the earliest due time is kept.
                Action::Timer(_, after) => {
                    let due = now + after;
                    self.wake = Some(self.wake.map_or(due, |wake| wake.min(due)));
                    continue;
                }
                // The module is not used for probes, and the service table has its own watch.
                Action::Probe(_) | Action::SubscribeServers | Action::FetchServers => continue,
            });
        }
        self.actions = actions;
        if let Some(tap) = &mut self.tap {
            verdicts.iter().for_each(|verdict| tap.verdict(now, verdict));
        }
        verdicts
    }
}

fn entry(region: RegionEntry) -> ServerEntry {
    ServerEntry {
        server: region.uid,
        state: match region.state {
            RegionState::Ready => ServerState::Up,
            RegionState::Terminating => ServerState::Draining,
            RegionState::Gone => ServerState::Removed,
        },
        zone: region.zone,
        cell: region.pod_group,
        weight: region.weight,
        started_at_ms: region.boot_ms,
        distance: region.distance,
        rank: region.rank,
    }
}
