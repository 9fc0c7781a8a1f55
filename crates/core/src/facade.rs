//! The decision module in blocking style: ask with [`Facade::pick`], tell with [`Facade::report`], let time
//! pass with [`Facade::tick`]. Each call returns what is decided by then, also for other requests. The
//! module's events and actions stay in here.

use crate::ledger::CountOwner;
use nickeljunction_decide::api::{self, Action, Event, ListKind, ServerEntry, ServerState, Status};
use nickeljunction_decide::decide::Limiter;
use std::collections::BTreeMap;

pub use nickeljunction_decide::api::{Class, DedupScope, InvalidSettings, Plan, RetrySafety, Settings};

/// Number of a request within this process, never reused.
pub type RequestKey = u64;

/// What the module needs to know of a request.
#[derive(Clone, PartialEq)]
pub struct Intake {
    /// Class, by the name in the settings.
    pub class: String,
    /// Handle it as never to be run twice, whatever its class permits.
    pub never_twice: bool,
    /// Plan, by the name in the settings.
    pub plan: String,
    /// The franchisee.
    pub customer: u64,
    /// How long the client waits, ms.
    pub timeout_ms: f64,
    /// Guessed units.
    pub units: f64,
    /// Through how many gateways this franchisee's requests come in.
    pub gateways: usize,
    /// The client marked it as a retry.
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
    /// How long to wait at most, ms; 0: until the client gives up.
    pub limit_ms: f64,
}

/// How a routed task ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A good answer.
    Served,
    /// The region failed; the request may have run.
    Error,
    /// Turned away unseen: it never ran.
    Rejected,
    /// The request was never wholly written: it never ran.
    CouldNotConnect,
    /// The connection broke after the request's last byte: it may have run.
    Reset,
    /// The answer can't be read: it has run, for all this side can tell.
    Unreadable,
    /// Not answered in time: it may have run.
    TimedOut,
    /// Called off because the request was answered otherwise: it may have run, and that tells nothing of the region.
    Canceled,
    /// Never sent, since the request or its time had ended meanwhile: it never ran.
    NotSent,
}

/// The counter's answer to one call.
#[derive(Clone, Copy, PartialEq)]
pub enum CounterReply {
    /// The total after the call.
    Total(f64),
    /// Turned away: nothing was added.
    Busy,
    /// The call was never wholly written: nothing was added.
    CouldNotConnect,
    /// No answer in time: it may have been added.
    TimedOut,
    /// After it had timed out: it was added, and this is the total after the call.
    Late(f64),
    /// After it had timed out: no more will be known of it.
    Unresolved,
}

/// State of a region as the service table tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegionState {
    /// Takes work.
    Ready,
    /// Completes what it has.
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
    /// Its stated size.
    pub weight: f64,
    /// When it last started, Unix ms; 0: long ago.
    pub boot_ms: f64,
    /// How near it is to this gateway, 0 for the nearest: nearer ones are chosen first.
    pub distance: u8,
    /// Its place among equally near ones in this gateway's own order, lower ones first.
    pub rank: f64,
}

/// Discovery's list, or a change of it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServiceTable {
    /// Version.
    pub rev: u64,
    /// Complete rather than changed lines only.
    pub all: bool,
    /// The lines.
    pub regions: Vec<RegionEntry>,
}

/// What the network tells the module.
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
        /// True units, where the answer told them; else 0.
        settled: f64,
        /// Time since it was routed, ms.
        latency_ms: f64,
        /// The request has had its final answer, or has it with this.
        closed: bool,
    },
    /// The client left, or the program has answered for the module.
    ClientLeft(RequestKey),
    /// The counter answered a call on this name.
    CounterReplied(String, CounterReply),
    /// The service table changed; `saved`: it is the list of before the start.
    ServiceTable {
        /// The change.
        table: ServiceTable,
        /// It may be old.
        saved: bool,
    },
}

/// What is decided.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Send an attempt.
    Route(RoutedTask),
    /// Final: refused, come back after so many ms (0: not told).
    ShortOnCapacity(RequestKey, f64),
    /// Final: failed.
    Fail(RequestKey),
    /// Give up an attempt.
    CancelAttempt(RequestKey, usize),
    /// Call the counter: name, amount, life of a new name in ms.
    IncrementCounter(String, f64, f64),
    /// Close idle connections to a region.
    CloseIdle(String),
    /// A line for the operators.
    Log(String),
}

/// The class that stands in for `class` where a request must not run twice.
fn never_twice(class: &str) -> String {
    format!("{class}#once")
}

/// Odds of admission under which the module is said to shed work.
const SHEDS_UNDER: f64 = 0.9;

/// Adds a never-twice twin of every class that may run again, if `strict`.
fn twinned(mut settings: Settings, strict: bool) -> Settings {
    if strict {
        let twins: Vec<Class> = (settings.classes.iter())
            .filter(|class| class.retry_safety != RetrySafety::AtMostOnce)
            .map(|class| Class {
                name: never_twice(&class.name),
                retry_safety: RetrySafety::AtMostOnce,
                ..class.clone()
            })
            .collect();
        settings.classes.extend(twins);
    }
    settings
}

/// The module's own check of settings.
///
/// # Errors
/// The key that no module can work with.
pub fn check(settings: &Settings) -> Result<(), InvalidSettings> {
    Limiter::new(settings.clone(), 0).map(drop)
}

/// What goes into the module.
#[derive(Debug)]
pub enum Input<'a> {
    /// A request.
    Request(RequestKey, &'a Intake),
    /// A report.
    Report(&'a Report),
    /// A tick that was due.
    Tick,
    /// The stop.
    ShutDown,
    /// New figures, from which windows on the plans' hold, ms, and the document's epoch.
    SettingsUpdated(&'a Settings, f64, u64),
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ending {
    /// A region's answer, with its status.
    Served(u16),
    /// Refused; come back after so many ms (0: not told).
    ShortOnCapacity(f64),
    /// Failed.
    Failed,
}

/// Sees all that goes into the module and comes out of it, in order. Must not wait for anything.
pub trait Tap: std::fmt::Debug {
    /// Id and key of the request that is told next.
    fn named(&mut self, id: &str, key: &str);
    /// Something goes in.
    fn input(&mut self, now: f64, input: Input<'_>);
    /// A verdict came out.
    fn verdict(&mut self, now: f64, verdict: &Verdict);
    /// A client has its final answer.
    fn answered(&mut self, now: f64, request: RequestKey, ending: Ending);
}

/// The decision module behind three calls.
#[derive(Debug)]
pub struct Facade {
    limiter: Limiter,
    tap: Option<Box<dyn Tap>>,
    strict: bool,
    /// The classes as the module has them, retired ones among them: see [`crate::classes`].
    classes: Vec<Class>,
    /// Changes of settings so far.
    changes: u64,
    attempts: BTreeMap<RequestKey, usize>,
    units_top: f64,
    wake: Option<f64>,
    actions: Vec<Action>,
}

impl Facade {
    /// A module with these settings. `strict` adds a never-twice twin of every class that may run again,
    /// for requests with [`Intake::never_twice`]; it is off where no front asks for it.
    pub fn new(settings: Settings, seed: u64, strict: bool) -> Result<Facade, InvalidSettings> {
        let settings = twinned(settings, strict);
        let units_top = settings.max_request_units.max(1.0);
        let (classes, changes) = (settings.classes.clone(), 0);
        let limiter = Limiter::new(settings, seed)?;
        let (attempts, wake, actions) = (BTreeMap::new(), None, Vec::new());
        Ok(Facade { limiter, tap: None, strict, units_top, attempts, wake, actions, classes, changes })
    }

    /// Sets or takes away who sees what goes in and out. `None` costs nothing.
    pub fn set_tap(&mut self, tap: Option<Box<dyn Tap>>) {
        self.tap = tap;
    }

    /// Who sees what goes in and out.
    pub fn tap(&mut self) -> Option<&mut (dyn Tap + 'static)> {
        self.tap.as_deref_mut()
    }

    /// Asks what to do with a new request. Without a verdict on it the request is held.
    pub fn pick(&mut self, now: f64, request: RequestKey, intake: &Intake) -> Vec<Verdict> {
        let class = match intake.never_twice {
            true => never_twice(&intake.class),
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
        self.attempts.insert(request, 0);
        if let Some(tap) = &mut self.tap {
            tap.input(now, Input::Request(request, intake));
        }
        self.tell(now, Event::Request(arrival))
    }

    /// Tells what happened.
    pub fn report(&mut self, now: f64, report: Report) -> Vec<Verdict> {
        if let Some(tap) = &mut self.tap {
            tap.input(now, Input::Report(&report));
        }
        let event = match report {
            Report::Ended { request, attempt, region, outcome, settled, latency_ms, closed } => {
                if closed {
                    self.attempts.remove(&request);
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
                // A figure on use that can't be true says nothing; believed, it would empty a quota.
                let settled = if settled <= self.units_top { settled } else { 0.0 };
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
                self.attempts.remove(&request);
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
        self.tell(now, event)
    }

    /// Lets time pass; worth calling from [`Facade::next_tick`] on.
    pub fn tick(&mut self, now: f64) -> Vec<Verdict> {
        match self.wake.filter(|wake| now >= *wake) {
            None => Vec::new(),
            Some(_) => {
                self.wake = None;
                if let Some(tap) = &mut self.tap {
                    tap.input(now, Input::Tick);
                }
                self.tell(now, Event::Timer("sweep".into()))
            }
        }
    }

    /// When the module wants the next tick, ms.
    pub fn next_tick(&self) -> Option<f64> {
        self.wake
    }

    /// Takes new figures: those of plans for windows that begin at `from` (ms) or later, the others at once. Must
    /// name the classes and plans of before in their order; new plans come last.
    /// [`check`] must have found them good.
    pub fn update_settings(&mut self, now: f64, settings: Settings, from: f64, epoch: u64) {
        if let Some(tap) = &mut self.tap {
            tap.input(now, Input::SettingsUpdated(&settings, from, epoch));
        }
        let mut settings = twinned(settings, self.strict);
        self.changes += 1;
        settings.classes = crate::classes::carry(&self.classes, settings.classes, self.changes);
        self.classes.clone_from(&settings.classes);
        self.units_top = settings.max_request_units.max(1.0);
        self.limiter.update_settings(settings, from);
    }

    /// The module's counts of attempts out.
    pub(crate) fn believed(&self) -> BTreeMap<CountOwner, usize> {
        let regions =
            self.limiter.attempts_by_server().map(|(uid, out)| (CountOwner::Region(uid.to_string()), out));
        let customers =
            self.limiter.attempts_by_customer().map(|(number, out)| (CountOwner::Franchisee(number), out));
        regions.chain(customers).collect()
    }

    /// Attempts that the module believes to be out: request, number, region.
    pub(crate) fn believed_out(&self) -> Vec<(RequestKey, usize, String)> {
        let key = |id: &str| id.parse().expect("ids are made from keys");
        self.limiter.open_attempts().map(|(id, attempt, uid)| (key(id), attempt, uid.to_string())).collect()
    }

    /// Puts one of the module's counts right.
    pub(crate) fn put_right(&mut self, owner: &CountOwner, out: usize) {
        match owner {
            CountOwner::Region(uid) => self.limiter.set_attempts_at_server(uid, out),
            CountOwner::Franchisee(number) => self.limiter.set_attempts_of_customer(*number, out),
        }
    }

    /// The settings allow two attempts of a request to be out at once.
    pub fn hedging_enabled(&self) -> bool {
        self.limiter.hedging()
    }

    /// A request such as this may have two attempts out where the settings allow it: it repeats safely, or by key.
    pub fn copies(&self, intake: &Intake) -> bool {
        let repeats =
            |class: &Class| class.name == intake.class && class.retry_safety != RetrySafety::AtMostOnce;
        self.hedging_enabled() && !intake.never_twice && self.classes.iter().any(repeats)
    }

    /// The module thinks the fleet short and sheds some of the work.
    pub fn is_shedding(&self) -> bool {
        self.limiter.admission_probability() < SHEDS_UNDER
    }

    /// The program stops: the counter calls that hand unused leases back.
    pub fn shut_down(&mut self, now: f64) -> Vec<Verdict> {
        if let Some(tap) = &mut self.tap {
            tap.input(now, Input::ShutDown);
        }
        let mut actions = std::mem::take(&mut self.actions);
        self.limiter.shut_down(now, &mut actions);
        self.verdicts(now, actions)
    }

    fn tell(&mut self, now: f64, event: Event) -> Vec<Verdict> {
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
                    let next = self.attempts.entry(request).or_default();
                    let attempt = std::mem::replace(next, *next + 1);
                    Verdict::Route(RoutedTask { request, attempt, region, limit_ms })
                }
                Action::Refuse(id, pause) => {
                    let request = key(id);
                    self.attempts.remove(&request);
                    Verdict::ShortOnCapacity(request, pause)
                }
                Action::Fail(id) => {
                    let request = key(id);
                    self.attempts.remove(&request);
                    Verdict::Fail(request)
                }
                Action::Cancel(id, attempt) => Verdict::CancelAttempt(key(id), attempt),
                Action::IncrementCounter(name, amount, life_ms) => {
                    Verdict::IncrementCounter(name, amount, life_ms)
                }
                Action::CloseIdle(region) => Verdict::CloseIdle(region),
                Action::Log(text) => Verdict::Log(text),
                // The module has one timer, its sweep; an earlier one stands for a later one.
                Action::Timer(_, after) => {
                    let due = now + after;
                    self.wake = Some(self.wake.map_or(due, |wake| wake.min(due)));
                    continue;
                }
                // The module probes nothing, and the watch is the service table's own affair.
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
