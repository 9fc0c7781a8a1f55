//! A gateway: the real copy, lease, allowance and search, driven by the thin rules of `edge::link::Link`, which are modelled here.

use crate::{host, node_of, Answer, Fact, Node, Out, Packet, Question, TENANT, WINDOW_MS};
use nickeljunction_edge::lease::Lease;
use nickeljunction_edge::seek::Seek;
use nickeljunction_messages::{Caller, GatewayLine, WatchAnswer};
use nickeljunction_pacing::Throttle;
use nickeljunction_quota::{Allowance, Spend};
use nickeljunction_registry::{Copy, Leave};
use nickeljunction_replica::limits;
use nickeljunction_schema::Bounds;

// The figures of `edge::link`.
const HOLD_MS: u64 = 1_000;
const ANSWER_MS: u64 = 400;
const UNITS_MS: u64 = 300;
const WAIT_MS: u64 = 220;

/// A call under way.
#[derive(Debug, Clone, Copy)]
struct Flight {
    call: u64,
    to: Node,
    sent: u64,
    until: u64,
    held: bool,
}

/// One edge machine and its process.
pub struct Gateway {
    node: Node,
    /// Its process runs.
    pub up: bool,
    /// Its process's number.
    pub life: u64,
    /// What the leader told.
    pub copy: Copy,
    /// For how long it may go by that.
    pub lease: Lease,
    /// Its units.
    pub allowance: Allowance,
    /// Its search for the leader.
    pub seek: Seek,
    /// Trials that lapse.
    pub throttle: Throttle,
    rng: fastrand::Rng,
    watch: Option<Flight>,
    /// Calls to all who may lead, and whom they asked; while no leader is known.
    finding: Vec<Flight>,
    asked: Vec<String>,
    watch_at: u64,
    recall: bool,
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
            copy: Copy::new(),
            lease: Lease::new(strict, Bounds::usual().revoke_timeout_s * 1_000.0),
            allowance: Allowance::new(now, format!("g{node}"), life, tuning),
            seek: Seek::new(seeds.to_vec()),
            throttle: Throttle::default(),
            // Answers to the life before are not taken for its own.
            next_call: rng.u64(..1 << 40),
            rng,
            watch: None,
            finding: Vec::new(),
            asked: Vec::new(),
            paced: Vec::new(),
            watch_at: now,
            recall: false,
            units: None,
            waiting: Vec::new(),
            next_server: 0,
            refused: 0,
        }
    }

    /// `Link::ready`.
    pub fn ready(&self, now: u64) -> bool {
        self.up && self.copy.catalog().version() > 0 && self.lease.holds(now as f64)
    }

    /// Version that it goes by.
    pub fn version(&self) -> u64 {
        self.copy.catalog().version()
    }

    /// Step and stage that it goes by.
    pub fn tide(&self, now: u64) -> (u64, u32) {
        let standings = self.throttle.clone().standings(now as f64);
        standings.iter().find(|one| one.tenant == TENANT).map_or((0, 0), |one| (one.step, one.stage))
    }

    /// `Link::ask`.
    fn ask(&mut self, now: u64, to: Node, hold: u64, out: &mut Out) -> Flight {
        self.next_call += 1;
        let name = format!("g{}", self.node);
        let zone = if self.node.is_multiple_of(2) { "z1" } else { "z2" };
        let front = format!("10.1.0.{}:80", self.node);
        let line = GatewayLine { name: name.clone(), front, zone: zone.into(), ready: self.ready(now) };
        let call = self.copy.ask(Caller::Gateway, &name, self.life, Some(line), hold);
        out.posts.push((to, Packet::Ask(self.node, self.next_call, Question::Watch(call))));
        Flight { call: self.next_call, to, sent: now, until: now + hold + ANSWER_MS, held: hold > 0 }
    }

    fn hang_up(&self, flight: Flight, out: &mut Out) {
        out.posts.push((flight.to, Packet::Ask(self.node, flight.call, Question::HangUp)));
    }

    /// `Link::find`: asks all at once; here in rounds, the slower case: there each machine is asked again by itself.
    fn find(&mut self, now: u64, out: &mut Out) {
        self.asked = self.seek.all();
        for to in self.asked.clone().iter().filter_map(|host| node_of(host)) {
            let flight = self.ask(now, to, 0, out);
            self.finding.push(flight);
        }
        self.found_nobody(now);
    }

    /// One of those asked doesn't lead.
    fn not_there(&mut self, now: u64, flight: Flight, leader: Option<String>, out: &mut Out) {
        self.finding.retain(|other| other.call != flight.call);
        if let Some(to) = leader.filter(|leader| !self.asked.contains(leader)) {
            self.asked.push(to.clone());
            if let Some(to) = node_of(&to) {
                let flight = self.ask(now, to, 0, out);
                self.finding.push(flight);
            }
        }
        self.found_nobody(now);
    }

    fn found_nobody(&mut self, now: u64) {
        if self.finding.is_empty() {
            self.watch_at = now + self.rng.u64(20..=60);
        }
    }

    /// `Link::watch`, with `Link::follow`.
    fn watch(&mut self, now: u64, out: &mut Out) {
        for flight in self.finding.clone().into_iter().filter(|flight| now >= flight.until) {
            self.hang_up(flight, out);
            self.not_there(now, flight, None, out);
        }
        if let Some(flight) = self.watch {
            if now >= flight.until {
                self.watch = None;
                self.hang_up(flight, out);
                self.seek.lost();
                self.watch_at = now;
            } else if flight.held && std::mem::take(&mut self.recall) {
                self.hang_up(flight, out);
                self.watch = Some(self.ask(now, flight.to, 0, out));
            }
        }
        if self.watch.is_some() || !self.finding.is_empty() || now < self.watch_at {
            return;
        }
        let Some(to) = self.seek.leader().and_then(node_of) else { return self.find(now, out) };
        let fresh = self.lease.age(now as f64) < (HOLD_MS + ANSWER_MS) as f64;
        self.watch = Some(self.ask(now, to, if fresh { HOLD_MS } else { 0 }, out));
    }

    /// An answer to a watch call.
    fn told(&mut self, now: u64, flight: Flight, answer: Answer, out: &mut Out) {
        let sought = self.watch.is_none_or(|watch| watch.call != flight.call);
        let leader = match answer {
            Answer::Watch(ref answer) if self.learn(now, flight, answer.clone(), out) => {
                self.watch = None;
                // The others' answers are not waited for.
                for other in std::mem::take(&mut self.finding) {
                    if other.call != flight.call {
                        self.hang_up(other, out);
                    }
                }
                self.seek.found(&host(flight.to));
                self.watch_at = now;
                return;
            }
            Answer::Elsewhere(leader) => leader,
            _ => None,
        };
        if sought {
            return self.not_there(now, flight, leader, out);
        }
        self.watch = None;
        // Whom it points to is found among all.
        self.seek.lost();
        self.watch_at = now;
    }

    /// `Link::learn`; false where the answer is refused.
    fn learn(&mut self, now: u64, flight: Flight, answer: WatchAnswer, out: &mut Out) -> bool {
        let (age, ready) = (answer.age_ms as f64, self.ready(now));
        let Ok(applied) = self.copy.apply(answer) else { return false };
        self.lease.answered(flight.sent as f64, age);
        let catalog = self.copy.catalog();
        if applied.leader {
            self.allowance.moved(now, self.copy.term());
        }
        if let Some(config) = catalog.config.as_ref().filter(|_| applied.config) {
            self.allowance.known(now, &limits(&config.doc, &Bounds::usual()));
        }
        for line in applied.trials {
            let (tenant, step, stage) = (line.tenant, line.step, line.stage);
            let news = self.throttle.told(now as f64, &tenant, step, stage, line.in_ms as f64);
            assert!(news, "gateway {}: step {step} is news to its copy alone", self.node);
            out.facts.push(Fact::Tide { life: self.life, tenant, step, stage, holds: now + line.in_ms });
        }
        if applied.core {
            self.seek.known(&catalog.core);
        }
        self.recall |= !ready && self.ready(now);
        let at = now - self.lease.age(now as f64).min(now as f64) as u64;
        out.facts.push(Fact::Knows { life: self.life, version: catalog.version(), at });
        true
    }

    /// `Link::count` and `Link::add`.
    fn count(&mut self, now: u64, out: &mut Out) {
        if let Some(flight) = self.units.filter(|flight| now >= flight.until) {
            self.units = None;
            self.hang_up(flight, out);
            self.recall = true;
            self.allowance.failed(now);
            self.serve_waiting(now);
        }
        if self.units.is_some() {
            return;
        }
        let Some(units) = self.allowance.poll(now) else { return };
        let Some(to) = self.seek.leader().and_then(node_of) else {
            self.allowance.failed(now);
            return self.serve_waiting(now);
        };
        self.next_call += 1;
        self.units = Some(Flight { call: self.next_call, to, sent: now, until: now + UNITS_MS, held: false });
        out.posts.push((to, Packet::Ask(self.node, self.next_call, Question::Units(units))));
    }

    /// An answer came in.
    pub(crate) fn heard(&mut self, now: u64, packet: Packet, out: &mut Out) {
        let Packet::Reply(call, answer) = packet else { return };
        if !self.up {
            return;
        }
        let mut flights = self.watch.iter().chain(&self.finding);
        if let Some(flight) = flights.find(|flight| flight.call == call).copied() {
            self.told(now, flight, answer, out);
        } else if self.units.is_some_and(|flight| flight.call == call) {
            self.units = None;
            match answer {
                Answer::Units(answer) => self.allowance.answered(now, &answer),
                _ => {
                    self.recall = true;
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
        let known_ms = self.lease.age(now as f64) as u64;
        let name = format!("g{}", self.node);
        let open: Vec<_> = catalog
            .servers
            .values()
            .filter(|line| !catalog.evacuated.contains(&line.zone))
            .filter(|line| Leave::of(line, &name, known_ms) != Leave::Nothing)
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
        let calls = self.watch.iter().chain(&self.finding).map(|flight| flight.until);
        let watch = calls.min().unwrap_or(self.watch_at);
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
