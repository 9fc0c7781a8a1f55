//! A virtual world: gateways, a counter, a network that delays, loses, doubles and reorders, freezes, kills; and a
//! checker of every span of a window over what was spent. What happens is noted down, for whoever checks more.

#![allow(dead_code)]

use nickeljunction_messages::{UnitsAnswer, UnitsCall};
use nickeljunction_quota::{Allowance, Counter, Limit, ProcessListChange, Spend, Tuning};
use std::collections::BTreeMap;

pub const WINDOW_MS: u64 = 5_000;
/// A gateway gives a call up after this long, and a request its wait after that long.
const CALL_MS: u64 = 250;
const WAIT_MS: u64 = 220;
/// A process that was killed is back no sooner; its last words have come by then.
const LAST_MS: u64 = 100;

/// What happened in a world.
#[derive(Debug, Clone, PartialEq)]
pub enum Fact {
    /// A request of this tenant was sent by this life.
    Sent(usize, u64),
    /// A life's call of this number went out.
    Called(u64, u64),
    /// The answer to that call came to that life, and it lends or keeps alive.
    Answered(u64, u64),
    /// A tenant's cap is this one for all who are up.
    Cap(usize, u64),
}

pub struct Gateway {
    pub allowance: Allowance,
    pub life: u64,
    pub up: bool,
    killed_at: u64,
    back_at: Option<u64>,
    pub frozen_until: u64,
    pub cut_until: u64,
    flight: Option<(u64, u64)>,
    waiting: Vec<(u64, usize)>,
    missed: Vec<usize>,
    wake: u64,
}

enum Parcel {
    Call(usize, UnitsCall, u64),
    /// To a gateway's process, by its life.
    Answer(usize, u64, UnitsAnswer),
}

/// A tenant's traffic and its luck.
#[derive(Default, Clone)]
pub struct Luck {
    pub cap: u64,
    /// Most pace over the most units.
    pub paced: f64,
    pub rate: f64,
    pub uneven: bool,
    pub sent: Vec<u64>,
    /// Units whose moment lies ahead: from when, until when, and at which gateway.
    pub due: Vec<(u64, u64, usize)>,
    pub asked: u64,
    pub refused: u64,
    pub waited: u64,
}

pub struct World {
    pub now: u64,
    pub seed: u64,
    pub rng: fastrand::Rng,
    pub tuning: Tuning,
    /// Of gateways: another one shows what a guard is good for.
    pub gateway_tuning: Tuning,
    /// A new counter doesn't know the list of processes: shows what it is good for.
    pub forgetful: bool,
    pub gateways: Vec<Gateway>,
    /// How many there are, as each is told.
    pub known_gateways: u32,
    pub counter: Option<Counter>,
    pub term: u64,
    pub tenants: Vec<Luck>,
    pub loss: f64,
    pub delay: (u64, u64),
    pub calls: u64,
    pub bytes: usize,
    net: Vec<(u64, Parcel)>,
    /// The agreed log's list of gateways' processes.
    pub log: BTreeMap<u64, String>,
    /// The next counter leads on the same machine: calls and answers that are under way reach it, and gateways.
    pub same: bool,
    /// When what happened.
    pub facts: Vec<(u64, Fact)>,
}

pub fn tenant(number: usize) -> String {
    format!("t{number}")
}

impl World {
    pub fn new(seed: u64, gateways: usize, tenants: &[(Limit, f64)]) -> World {
        World::tuned(seed, gateways, tenants, Tuning::new(WINDOW_MS))
    }

    /// One in which both sides have this tuning.
    pub fn tuned(seed: u64, gateways: usize, tenants: &[(Limit, f64)], tuning: Tuning) -> World {
        let tenants: Vec<Luck> = tenants
            .iter()
            .map(|&(Limit { cap, pace }, rate)| Luck {
                cap,
                paced: pace as f64 / cap as f64,
                rate,
                ..Luck::default()
            })
            .collect();
        let mut world = World {
            now: 10_000,
            seed,
            rng: fastrand::Rng::with_seed(seed),
            gateways: Vec::new(),
            known_gateways: gateways as u32,
            counter: None,
            term: 1,
            tenants,
            loss: 0.0,
            delay: (1, 12),
            calls: 0,
            bytes: 0,
            net: Vec::new(),
            log: BTreeMap::new(),
            gateway_tuning: tuning.clone(),
            forgetful: false,
            same: false,
            facts: Vec::new(),
            tuning,
        };
        let mut counter = Counter::new(world.now, 1, world.tuning.clone(), BTreeMap::new());
        counter.set_limits(world.now, &world.limits());
        world.counter = Some(counter);
        for number in 0..gateways {
            let gateway = world.gateway(number);
            world.gateways.push(gateway);
        }
        world
    }

    pub fn limits(&self) -> BTreeMap<String, Limit> {
        let limits = self.tenants.iter().enumerate();
        limits
            .map(|(number, luck)| {
                (tenant(number), Limit { cap: luck.cap, pace: (luck.cap as f64 * luck.paced).round() as u64 })
            })
            .collect()
    }

    fn gateway(&mut self, number: usize) -> Gateway {
        let tuning = self.gateway_tuning.clone();
        let life = self.rng.u64(..);
        let mut allowance = Allowance::new(self.now, format!("g{number}"), life, tuning);
        allowance.set_gateway_count(self.known_gateways);
        allowance.set_limits(self.now, &self.limits());
        // It learns who leads before it learns of any tenant.
        allowance.leader_changed(self.now, self.term);
        let (up, wake) = (true, self.now);
        Gateway {
            allowance,
            life,
            up,
            wake,
            killed_at: 0,
            back_at: None,
            frozen_until: 0,
            cut_until: 0,
            flight: None,
            waiting: Vec::new(),
            missed: Vec::new(),
        }
    }

    pub fn kill(&mut self, number: usize) {
        self.gateways[number].up = false;
        let last = self.now + LAST_MS;
        for (at, parcel) in &mut self.net {
            if matches!(parcel, Parcel::Call(from, ..) if *from == number) {
                *at = last.min(*at);
            }
        }
        self.gateways[number].killed_at = self.now;
        for luck in &mut self.tenants {
            luck.due.retain(|due| due.2 != number);
        }
    }

    /// Brings a gateway back, with a new process; one that runs is killed before.
    pub fn restart(&mut self, number: usize) {
        if self.gateways[number].up {
            self.kill(number);
        }
        let back = self.gateways[number].killed_at + LAST_MS;
        self.gateways[number].back_at = Some(back.max(self.now));
    }

    /// The counter is gone; a new one follows with `succeed`.
    pub fn lose_counter(&mut self) {
        self.counter = None;
    }

    pub fn succeed(&mut self) {
        self.term += 1;
        let mut counter = Counter::new(self.now, self.term, self.tuning.clone(), self.known());
        counter.set_limits(self.now, &self.limits());
        self.counter = Some(counter);
        let now = self.now;
        for gateway in self.gateways.iter_mut().filter(|gateway| gateway.up && gateway.frozen_until <= now) {
            gateway.flight = None;
            gateway.allowance.leader_changed(now, self.term);
            gateway.wake = now + self.rng.u64(0..100);
        }
    }

    fn known(&self) -> BTreeMap<u64, String> {
        if self.forgetful {
            BTreeMap::new()
        } else {
            self.log.clone()
        }
    }

    pub fn set_cap(&mut self, number: usize, cap: u64) {
        self.tenants[number].cap = cap;
        self.facts.push((self.now, Fact::Cap(number, cap)));
        let (now, limits) = (self.now, self.limits());
        if let Some(counter) = &mut self.counter {
            counter.set_limits(now, &limits);
        }
        for gateway in &mut self.gateways {
            gateway.allowance.set_limits(now, &limits);
            gateway.wake = now;
        }
    }

    fn post(&mut self, parcel: Parcel) {
        let (least, most) = self.delay;
        let storm = self.loss > 0.0;
        let lag = if storm && self.rng.f64() < 0.1 { self.rng.u64(0..600) } else { 0 };
        if self.rng.f64() < self.loss {
            return;
        }
        if storm && self.rng.f64() < 0.1 {
            if let Parcel::Call(from, call, term) = &parcel {
                let at = self.now + self.rng.u64(least..=most * 20);
                self.net.push((at, Parcel::Call(*from, call.clone(), *term)));
            }
        }
        self.net.push((self.now + self.rng.u64(least..=most) + lag, parcel));
    }

    fn request(&mut self, number: usize, to: usize, again: bool) {
        let now = self.now;
        let gateway = &mut self.gateways[to];
        if !gateway.up {
            return;
        }
        if gateway.frozen_until > now {
            gateway.missed.push(number);
            return;
        }
        if !again {
            self.tenants[number].asked += 1;
        }
        let luck = &mut self.tenants[number];
        match gateway.allowance.spend(now, &tenant(number)) {
            Spend::Done { from, until } => {
                assert!(until > from && from >= now && from <= now + 200);
                luck.due.push((from, until, to));
            }
            Spend::Wait => {
                luck.waited += 1;
                gateway.waiting.push((now + WAIT_MS, number));
            }
            Spend::Refused { retry_after_ms } => {
                assert!((1..=5_000).contains(&retry_after_ms));
                luck.refused += 1;
            }
        }
        gateway.wake = gateway.wake.min(gateway.allowance.next_wake().unwrap_or(u64::MAX));
    }

    fn retry_waiting(&mut self, to: usize) {
        let now = self.now;
        for (until, number) in std::mem::take(&mut self.gateways[to].waiting) {
            let gateway = &mut self.gateways[to];
            match gateway.allowance.spend(now, &tenant(number)) {
                Spend::Done { from, until } => self.tenants[number].due.push((from, until, to)),
                Spend::Wait => gateway.waiting.push((until, number)),
                Spend::Refused { .. } => self.tenants[number].refused += 1,
            }
        }
    }

    fn gateway_step(&mut self, to: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[to];
        if !gateway.up || gateway.frozen_until > now {
            return;
        }
        for number in std::mem::take(&mut gateway.missed) {
            self.request(number, to, false);
        }
        let gateway = &mut self.gateways[to];
        if gateway.flight.is_some_and(|(_, until)| until <= now) {
            gateway.flight = None;
            gateway.allowance.failed(now);
            self.retry_waiting(to);
        }
        let gateway = &mut self.gateways[to];
        let late: Vec<usize> =
            gateway.waiting.iter().filter(|wait| wait.0 <= now).map(|wait| wait.1).collect();
        gateway.waiting.retain(|wait| wait.0 > now);
        for number in late {
            match gateway.allowance.give_up(now, &tenant(number)) {
                Spend::Done { from, until } => self.tenants[number].due.push((from, until, to)),
                _ => self.tenants[number].refused += 1,
            }
        }
        if gateway.flight.is_none() {
            if let Some(call) = gateway.allowance.poll(now) {
                self.calls += 1;
                self.bytes += serde_json::to_string(&call).map_or(0, |text| text.len());
                gateway.flight = Some((call.seq, now + CALL_MS));
                self.facts.push((now, Fact::Called(call.incarnation, call.seq)));
                let term = self.term;
                if gateway.cut_until <= now {
                    self.post(Parcel::Call(to, call, term));
                }
            }
        }
        let gateway = &mut self.gateways[to];
        gateway.wake = match gateway.flight {
            Some((_, until)) => until,
            None => gateway.allowance.next_wake().unwrap_or(u64::MAX),
        };
        if let Some(first) = gateway.waiting.iter().map(|wait| wait.0).min() {
            gateway.wake = gateway.wake.min(first);
        }
    }

    fn enroll(counter: &mut Counter, log: &mut BTreeMap<u64, String>, roll: ProcessListChange) {
        log.retain(|life, _| !roll.removed.contains(life));
        log.extend(roll.added);
        counter.set_logged_processes(log);
    }

    fn deliver(&mut self, parcel: Parcel) {
        let now = self.now;
        match parcel {
            Parcel::Call(from, call, term) => {
                let gateways = self.gateways.len();
                let reaches = term == self.term || self.same;
                let Some(counter) = self.counter.as_mut().filter(|_| reaches) else { return };
                if let Some(roll) = counter.enrollment_for(now, &call) {
                    Self::enroll(counter, &mut self.log, roll);
                    counter.enrollment_committed(call.incarnation);
                }
                let answer = counter.handle_call(now, &call, gateways);
                if self.gateways[from].cut_until <= now {
                    self.post(Parcel::Answer(from, call.incarnation, answer));
                }
            }
            Parcel::Answer(to, life, answer) => {
                let gateway = &mut self.gateways[to];
                // A process that was killed hears nothing more, nor does its successor in its place.
                if !gateway.up || gateway.life != life || (answer.term != self.term && !self.same) {
                    return;
                }
                if gateway.frozen_until > now {
                    let at = gateway.frozen_until + 1;
                    self.net.push((at, Parcel::Answer(to, life, answer)));
                    return;
                }
                self.bytes += serde_json::to_string(&answer).map_or(0, |text| text.len());
                if !answer.full_report_needed {
                    self.facts.push((now, Fact::Answered(gateway.life, answer.seq)));
                }
                gateway.allowance.answered(now, &answer);
                if gateway.flight.is_some_and(|(seq, _)| seq == answer.seq) {
                    gateway.flight = None;
                }
                gateway.wake = now;
                self.retry_waiting(to);
            }
        }
    }

    /// A millisecond.
    pub fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        if let Some(counter) = self.counter.as_mut().filter(|_| now.is_multiple_of(200)) {
            if let Some(roll) = counter.removable_processes(now) {
                Self::enroll(counter, &mut self.log, roll);
            }
        }
        for number in 0..self.gateways.len() {
            if self.gateways[number].back_at.is_some_and(|at| at <= now) {
                self.gateways[number] = self.gateway(number);
            }
        }
        self.send_due();
        let mut place = 0;
        while place < self.net.len() {
            if self.net[place].0 <= now {
                let (_, parcel) = self.net.swap_remove(place);
                self.deliver(parcel);
            } else {
                place += 1;
            }
        }
        for number in 0..self.tenants.len() {
            let mut due = self.tenants[number].rate / 1_000.0;
            while due > 0.0 && self.rng.f64() < due {
                due -= 1.0;
                let to = match self.tenants[number].uneven {
                    true if self.rng.f64() < 0.8 => number % self.gateways.len(),
                    _ => self.rng.usize(..self.gateways.len()),
                };
                self.request(number, to, false);
            }
        }
        for to in 0..self.gateways.len() {
            if self.gateways[to].wake <= now {
                self.gateway_step(to);
            }
        }
        self.send_due();
    }

    /// Sends what is due; a frozen gateway sends when it wakes, if it isn't too late by then.
    fn send_due(&mut self) {
        let (now, gateways) = (self.now, &self.gateways);
        for (number, luck) in self.tenants.iter_mut().enumerate() {
            let (sent, facts) = (&mut luck.sent, &mut self.facts);
            let mut late = 0;
            luck.due.retain(|(from, until, to)| {
                if *from > now || gateways[*to].frozen_until > now {
                    return true;
                }
                match now <= *until {
                    true => {
                        sent.push(now);
                        facts.push((now, Fact::Sent(number, gateways[*to].life)));
                    }
                    false => late += 1,
                }
                false
            });
            luck.refused += late;
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.step();
        }
    }

    /// Most units spent in any window that begins at `from` or later.
    pub fn most(&self, number: usize, from: u64) -> u64 {
        let sent = &self.tenants[number].sent;
        let (mut first, mut most) = (0, 0);
        for (last, at) in sent.iter().enumerate() {
            while sent[first] + WINDOW_MS <= *at || sent[first] < from {
                first += 1;
                if first > last {
                    break;
                }
            }
            most = most.max((last + 1).saturating_sub(first) as u64);
        }
        most
    }

    /// The rule, over all spans of all tenants.
    pub fn check(&self, what: &str) {
        for (number, luck) in self.tenants.iter().enumerate() {
            let most = self.most(number, 0);
            assert!(
                most <= luck.cap,
                "{what}, seed {}: tenant {number} spent {most} of {}",
                self.seed,
                luck.cap
            );
        }
    }

    /// Forgets luck so far, not what was spent.
    pub fn reset_luck(&mut self) {
        for luck in &mut self.tenants {
            (luck.asked, luck.refused, luck.waited) = (0, 0, 0);
        }
        (self.calls, self.bytes) = (0, 0);
    }

    /// Share of requests refused.
    pub fn refused(&self, number: usize) -> f64 {
        self.tenants[number].refused as f64 / self.tenants[number].asked.max(1) as f64
    }
}
