//! A gateway: the real copy, lease, allowance and watcher, driven by the thin rules of `edge::core_client::CoreClient`, which are modelled here,
//! with the connections that its calls go over.

use crate::{node_of, Answer, Fact, Node, Out, Packet, Question, TENANT, WINDOW_MS};
use nickeljunction_edge::lease::Lease;
use nickeljunction_edge::watch::{Call, CallAction, CallOutcome, Watcher, CONNECT_TIMEOUT_MS};
use nickeljunction_messages::{Caller, GatewayInfo, WatchAnswer, WatchCall};
use nickeljunction_pacing::Throttle;
use nickeljunction_quota::{Allowance, Spend};
use nickeljunction_registry::{ApplyError, SendLimit, WatchCache};
use nickeljunction_replica::quota_limits;
use nickeljunction_schema::Bounds;
use std::collections::BTreeMap;

/// `Caller` keeps so many idle connections to a host.
const MOST_IDLE: usize = 3;
// The figures of `edge::core_client`.
const UNITS_MS: u64 = 300;
const WAIT_MS: u64 = 220;

/// A counted add under way.
#[derive(Debug, Clone, Copy)]
struct Flight {
    call: u64,
    to: Node,
    until: u64,
}

/// A watch call under way.
#[derive(Debug, Clone)]
struct Watching {
    call: Call,
    to: Node,
    sent: u64,
    /// What goes out once its connection is up, and the last moment for that.
    unsent: Option<(WatchCall, u64)>,
}

impl Watching {
    fn open_until(&self) -> u64 {
        self.unsent.as_ref().map_or(u64::MAX, |(_, until)| *until)
    }
}

/// One edge machine and its process.
pub struct Gateway {
    node: Node,
    /// Its process runs.
    pub up: bool,
    /// Its process's number.
    pub life: u64,
    /// What the leader told.
    pub copy: WatchCache,
    /// For how long it may go by that.
    pub lease: Lease,
    /// Its units.
    pub allowance: Allowance,
    /// Its watch calls.
    pub watcher: Watcher,
    /// Trials that lapse.
    pub throttle: Throttle,
    rng: fastrand::Rng,
    watching: Vec<Watching>,
    /// Kept connections for watch calls, by host.
    idle: BTreeMap<Node, usize>,
    units: Option<Flight>,
    next_call: u64,
    waiting: Vec<u64>,
    /// Requests that have their unit: first and last moment to be sent.
    paced: Vec<(u64, u64)>,
    next_server: usize,
    /// Requests refused for want of units.
    pub refused: u64,
}

impl Gateway {
    pub(crate) fn new(
        node: Node,
        now: u64,
        seeds: &[String],
        strict: bool,
        rng: &mut fastrand::Rng,
    ) -> Gateway {
        let mut rng = rng.fork();
        let life = rng.u64(1..);
        let tuning = nickeljunction_quota::Tuning::new(WINDOW_MS);
        Gateway {
            node,
            up: true,
            life,
            copy: WatchCache::new(),
            lease: Lease::new(strict, Bounds::usual().revoke_timeout_s * 1_000.0),
            allowance: Allowance::new(now, format!("g{node}"), life, tuning),
            // Answers to the life before are not taken for its own.
            watcher: Watcher::new(seeds.to_vec(), rng.u64(..1 << 40)),
            throttle: Throttle::default(),
            next_call: (1 << 41) + rng.u64(..1 << 40),
            rng,
            watching: Vec::new(),
            idle: BTreeMap::new(),
            paced: Vec::new(),
            units: None,
            waiting: Vec::new(),
            next_server: 0,
            refused: 0,
        }
    }

    /// `Link::ready`.
    pub fn ready(&self, now: u64) -> bool {
        self.up && self.copy.catalog().version() > 0 && self.lease.is_valid(now as f64)
    }

    /// Version that it goes by.
    pub fn version(&self) -> u64 {
        self.copy.catalog().version()
    }

    /// Step and stage that it goes by.
    pub fn tide(&self, now: u64) -> (u64, u32) {
        let standings = self.throttle.clone().tenant_statuses(now as f64);
        standings.iter().find(|one| one.tenant == TENANT).map_or((0, 0), |one| (one.step, one.stage))
    }

    /// `Link::watch`.
    fn watch(&mut self, now: u64, out: &mut Out) {
        let late: Vec<u64> =
            self.watching.iter().filter(|one| one.open_until() <= now).map(|one| one.call.id).collect();
        late.into_iter().for_each(|id| self.ended(now, id, CallOutcome::Failed));
        for step in self.watcher.poll(now as f64, self.lease.age_ms(now as f64)) {
            match step {
                CallAction::Start(call) => self.ask(now, call, out),
                CallAction::Cancel(call) => {
                    let Some(at) = self.watching.iter().position(|one| one.call.id == call.id) else {
                        continue;
                    };
                    let one = self.watching.remove(at);
                    out.posts.push((one.to, Packet::Ask(self.node, call.id, Question::HangUp)));
                }
            }
        }
    }

    /// `Link::asked`, over a kept connection or a new one.
    fn ask(&mut self, now: u64, call: Call, out: &mut Out) {
        let Some(to) = node_of(&call.host) else {
            return self.watcher.call_ended(now as f64, call.id, CallOutcome::Failed, 0.5);
        };
        let name = format!("g{}", self.node);
        let zone = if self.node.is_multiple_of(2) { "z1" } else { "z2" };
        let front = format!("10.1.0.{}:80", self.node);
        let line = GatewayInfo { name: name.clone(), front, zone: zone.into(), ready: self.ready(now) };
        let ask = self.copy.watch_call(Caller::Gateway, &name, self.life, Some(line), call.hold_ms);
        let id = call.id;
        let mut watching = Watching { call, to, sent: now, unsent: None };
        match self.idle.get_mut(&to).filter(|idle| **idle > 0) {
            Some(idle) => {
                *idle -= 1;
                out.posts.push((to, Packet::Ask(self.node, id, Question::Watch(ask))));
            }
            None => {
                watching.unsent = Some((ask, now + CONNECT_TIMEOUT_MS as u64));
                out.posts.push((to, Packet::Open(self.node, id)));
            }
        }
        self.watching.push(watching);
    }

    /// A connection is up.
    fn opened(&mut self, id: u64, out: &mut Out) {
        let Some(one) = self.watching.iter_mut().find(|one| one.call.id == id) else { return };
        let ask = one.unsent.take();
        out.posts.extend(ask.map(|(ask, _)| (one.to, Packet::Ask(self.node, id, Question::Watch(ask)))));
    }

    /// A watch call has ended.
    fn ended(&mut self, now: u64, id: u64, how: CallOutcome) {
        let Some(at) = self.watching.iter().position(|one| one.call.id == id) else { return };
        let one = self.watching.remove(at);
        match how {
            // Nobody listens there, or the connections are gone with who did.
            CallOutcome::Failed | CallOutcome::NotLeader(None) => drop(self.idle.remove(&one.to)),
            _ => {
                let idle = self.idle.entry(one.to).or_default();
                *idle = (*idle + 1).min(MOST_IDLE);
            }
        }
        let luck = self.rng.f64();
        self.watcher.call_ended(now as f64, id, how, luck);
    }

    /// An answer to a watch call.
    fn told(&mut self, now: u64, id: u64, sent: u64, answer: Answer, out: &mut Out) {
        let how = match answer {
            Answer::Watch(answer) => self.learn(now, sent, *answer, out),
            Answer::Elsewhere(leader) => CallOutcome::NotLeader(leader),
            _ => CallOutcome::Failed,
        };
        self.ended(now, id, how);
    }

    /// `Link::learn`.
    fn learn(&mut self, now: u64, sent: u64, answer: WatchAnswer, out: &mut Out) -> CallOutcome {
        let (age, ready) = (answer.quorum_age_ms as f64, self.ready(now));
        let applied = match self.copy.apply(answer) {
            Ok(applied) => applied,
            // The next call is answered by a difference to what is held by now, or by the whole.
            Err(ApplyError::StaleSeq(..) | ApplyError::BaseMismatch(..) | ApplyError::DigestMismatch(..)) => {
                return CallOutcome::Superseded
            }
            Err(_) => return CallOutcome::Failed,
        };
        self.lease.renew(sent as f64, age);
        let catalog = self.copy.catalog();
        if applied.new_leader {
            self.allowance.leader_changed(now, self.copy.term());
        }
        if applied.gateways {
            self.allowance.set_gateway_count(catalog.gateway_count);
        }
        if let Some(config) = catalog.config.as_ref().filter(|_| applied.config) {
            self.allowance.set_limits(now, &quota_limits(&config.document, &Bounds::usual()));
        }
        for line in applied.trials {
            let (tenant, step, stage) = (line.tenant, line.step, line.stage);
            let news = self.throttle.set_stage(now as f64, &tenant, step, stage, line.in_ms as f64);
            assert!(news, "gateway {}: step {step} is news to its copy alone", self.node);
            out.facts.push(Fact::Tide { life: self.life, tenant, step, stage, holds: now + line.in_ms });
        }
        if applied.core {
            self.watcher.set_core_hosts(&catalog.core_hosts);
        }
        if !ready && self.ready(now) {
            self.watcher.query_leader_now();
        }
        let at = now - self.lease.age_ms(now as f64).min(now as f64) as u64;
        out.facts.push(Fact::Knows { life: self.life, version: catalog.version(), at });
        CallOutcome::Answered
    }

    /// `Link::count` and `Link::add`.
    fn count(&mut self, now: u64, out: &mut Out) {
        if let Some(flight) = self.units.filter(|flight| now >= flight.until) {
            self.units = None;
            out.posts.push((flight.to, Packet::Ask(self.node, flight.call, Question::HangUp)));
            self.watcher.query_leader_now();
            self.allowance.failed(now);
            self.serve_waiting(now);
        }
        if self.units.is_some() {
            return;
        }
        let Some(units) = self.allowance.poll(now) else { return };
        let Some(to) = self.watcher.leader().and_then(node_of) else {
            self.allowance.failed(now);
            return self.serve_waiting(now);
        };
        self.next_call += 1;
        self.units = Some(Flight { call: self.next_call, to, until: now + UNITS_MS });
        out.posts.push((to, Packet::Ask(self.node, self.next_call, Question::Units(units))));
    }

    /// An answer came in.
    pub(crate) fn heard(&mut self, now: u64, packet: Packet, out: &mut Out) {
        let (call, answer) = match packet {
            Packet::Reply(call, answer) if self.up => (call, answer),
            Packet::Opened(call) if self.up => return self.opened(call, out),
            _ => return,
        };
        let watching = self.watching.iter().find(|one| one.call.id == call).map(|one| one.sent);
        if let Some(sent) = watching {
            self.told(now, call, sent, answer, out);
        } else if self.units.is_some_and(|flight| flight.call == call) {
            self.units = None;
            match answer {
                Answer::Units(answer) => {
                    // There is a newer one, and the held call has not brought it.
                    if answer.version > self.version() {
                        self.watcher.newer_version_seen(now as f64);
                    }
                    self.allowance.answered(now, &answer);
                }
                _ => {
                    self.watcher.query_leader_now();
                    self.allowance.failed(now);
                }
            }
            self.serve_waiting(now);
        }
        self.turn(now, out);
    }

    /// A client's request: `Link::{stale, admit}`, and the choice of a server.
    pub(crate) fn request(&mut self, now: u64, out: &mut Out) {
        if !self.ready(now) {
            return;
        }
        out.facts.push(Fact::Takes { version: self.version() });
        self.waiting.push(now + WAIT_MS);
        self.serve_waiting(now);
        self.turn(now, out);
    }

    fn serve_waiting(&mut self, now: u64) {
        for until in std::mem::take(&mut self.waiting) {
            let spend = match now < until {
                true => self.allowance.spend(now, TENANT),
                false => self.allowance.give_up(now, TENANT),
            };
            match spend {
                Spend::Done { from, until } => self.paced.push((from, until)),
                Spend::Wait => self.waiting.push(until),
                Spend::Refused { .. } => self.refused += 1,
            }
        }
    }

    /// `Link::admit`, at the end: the pace is kept, and no unit spent after its time.
    fn send_paced(&mut self, now: u64, out: &mut Out) {
        for (from, until) in std::mem::take(&mut self.paced) {
            if now < from {
                self.paced.push((from, until));
            } else if now <= until {
                out.facts.push(Fact::Spends);
                self.send(now, out);
            }
        }
    }

    /// Sends to one of the servers that it may send to, in turn.
    fn send(&mut self, now: u64, out: &mut Out) {
        let catalog = self.copy.catalog();
        let known_ms = self.lease.age_ms(now as f64) as u64;
        let name = format!("g{}", self.node);
        let open: Vec<_> = catalog
            .servers
            .values()
            .filter(|line| !catalog.evacuated_zones.contains(&line.zone))
            .filter(|line| SendLimit::of(line, &name, known_ms) != SendLimit::Blocked)
            .collect();
        self.next_server += 1;
        if let Some(line) = open.get(self.next_server % open.len().max(1)) {
            out.facts.push(Fact::Sends(line.id.clone()));
        }
    }

    /// When it is to be turned.
    pub(crate) fn wake(&self) -> u64 {
        if !self.up {
            return u64::MAX;
        }
        let opens = self.watching.iter().map(Watching::open_until).min().unwrap_or(u64::MAX);
        let watch = opens.min(self.watcher.next_wake().max(0.0).ceil() as u64);
        let paced = self.paced.iter().map(|(from, _)| *from).min().unwrap_or(u64::MAX);
        let units = self.units.map_or(self.allowance.next_wake().unwrap_or(u64::MAX), |flight| flight.until);
        self.waiting.iter().copied().chain([watch, units, paced]).min().unwrap_or(u64::MAX)
    }

    /// Lets time pass.
    pub(crate) fn turn(&mut self, now: u64, out: &mut Out) {
        if !self.up {
            return;
        }
        self.count(now, out);
        if self.waiting.iter().any(|until| *until <= now) {
            self.serve_waiting(now);
        }
        self.send_paced(now, out);
        self.watch(now, out);
    }
}
