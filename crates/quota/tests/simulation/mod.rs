//! A simulation of gateways and a counter with a network that delays, loses, duplicates and reorders messages, and with
//! gateways that freeze and are killed. It checks that the units spent in any span of a window's length are within the
//! cap, and records the events for tests that check more.

#![allow(dead_code)]

use nickeljunction_messages::{UnitsAnswer, UnitsCall};
use nickeljunction_quota::{Allowance, Counter, Limit, ProcessListChange, Spend, Tuning};
use std::collections::BTreeMap;

pub const WINDOW_MS: u64 = 5_000;
/// Time-out of a gateway's call, and of a request that waits for a unit.
const CALL_TIMEOUT_MS: u64 = 250;
const WAIT_TIMEOUT_MS: u64 = 220;
/// Minimum time before the next process of a killed gateway starts; the calls of the killed one have arrived by then.
const RESTART_DELAY_MS: u64 = 100;

/// What happened in a simulation.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request of this tenant was sent by this process.
    RequestSent(usize, u64),
    /// This process sent its call with this sequence number.
    CallSent(u64, u64),
    /// This process received the answer to its call with this sequence number, which lends units or renews leases.
    CallAnswered(u64, u64),
    /// The cap of this tenant was set to this value at the counter and all gateways.
    CapChanged(usize, u64),
}

pub struct Gateway {
    pub allowance: Allowance,
    pub process_id: u64,
    pub up: bool,
    killed_at: u64,
    restart_at: Option<u64>,
    pub frozen_until: u64,
    pub disconnected_until: u64,
    /// Sequence number and time-out of the call in flight.
    call_in_flight: Option<(u64, u64)>,
    /// Requests that wait for a unit: time-out and tenant.
    waiting: Vec<(u64, usize)>,
    /// Tenants of the requests that arrived while the gateway was frozen.
    missed_while_frozen: Vec<usize>,
    next_wake: u64,
}

enum Message {
    /// From this gateway, to the counter of this term.
    Call(usize, UnitsCall, u64),
    /// To this gateway, for the process with this id.
    Answer(usize, u64, UnitsAnswer),
}

/// A tenant's traffic, and what became of its requests.
#[derive(Default, Clone)]
pub struct TenantStats {
    pub cap: u64,
    /// Pace of the limit, as a share of the cap.
    pub pace_share: f64,
    /// Requests a second.
    pub rate: f64,
    /// Most requests arrive at one gateway.
    pub skewed: bool,
    pub sent: Vec<u64>,
    /// Units spent for requests that are yet to be sent: earliest time, latest time, and the gateway.
    pub scheduled: Vec<(u64, u64, usize)>,
    pub requested: u64,
    pub refused: u64,
    pub waited: u64,
}

pub struct Simulation {
    pub now: u64,
    pub seed: u64,
    pub rng: fastrand::Rng,
    pub tuning: Tuning,
    /// Tuning of the gateways. Tests set it apart from `tuning` to show that a fault is detected.
    pub gateway_tuning: Tuning,
    /// A new counter starts without the list of processes. Shows that the fault is detected.
    pub new_counter_ignores_log: bool,
    pub gateways: Vec<Gateway>,
    /// Number of gateways that each gateway assumes.
    pub announced_gateways: u32,
    pub counter: Option<Counter>,
    pub term: u64,
    pub tenants: Vec<TenantStats>,
    /// Share of messages that are lost. Above 0, some others are delayed or duplicated.
    pub loss: f64,
    /// Minimum and maximum delay of a message, ms.
    pub delay: (u64, u64),
    pub calls: u64,
    pub bytes: usize,
    /// Messages in flight with their time of arrival.
    in_transit: Vec<(u64, Message)>,
    /// Gateway processes in the replicated log.
    pub log: BTreeMap<u64, String>,
    /// The next counter runs on the same machine, so that calls and answers in flight still reach it and the gateways.
    pub successor_on_same_machine: bool,
    /// What happened, with its time.
    pub events: Vec<(u64, Event)>,
}

pub fn tenant_name(tenant_index: usize) -> String {
    format!("t{tenant_index}")
}

impl Simulation {
    pub fn new(seed: u64, gateways: usize, tenants: &[(Limit, f64)]) -> Simulation {
        Simulation::with_tuning(seed, gateways, tenants, Tuning::new(WINDOW_MS))
    }

    /// A simulation in which both sides have this tuning.
    pub fn with_tuning(seed: u64, gateways: usize, tenants: &[(Limit, f64)], tuning: Tuning) -> Simulation {
        let tenants: Vec<TenantStats> = tenants
            .iter()
            .map(|&(Limit { cap, pace }, rate)| TenantStats {
                cap,
                pace_share: pace as f64 / cap as f64,
                rate,
                ..TenantStats::default()
            })
            .collect();
        let mut sim = Simulation {
            now: 10_000,
            seed,
            rng: fastrand::Rng::with_seed(seed),
            gateways: Vec::new(),
            announced_gateways: gateways as u32,
            counter: None,
            term: 1,
            tenants,
            loss: 0.0,
            delay: (1, 12),
            calls: 0,
            bytes: 0,
            in_transit: Vec::new(),
            log: BTreeMap::new(),
            gateway_tuning: tuning.clone(),
            new_counter_ignores_log: false,
            successor_on_same_machine: false,
            events: Vec::new(),
            tuning,
        };
        let mut counter = Counter::new(sim.now, 1, sim.tuning.clone(), BTreeMap::new());
        counter.set_limits(sim.now, &sim.limits());
        sim.counter = Some(counter);
        for gateway_index in 0..gateways {
            let gateway = sim.start_gateway(gateway_index);
            sim.gateways.push(gateway);
        }
        sim
    }

    pub fn limits(&self) -> BTreeMap<String, Limit> {
        let limits = self.tenants.iter().enumerate();
        limits
            .map(|(tenant_index, stats)| {
                (
                    tenant_name(tenant_index),
                    Limit { cap: stats.cap, pace: (stats.cap as f64 * stats.pace_share).round() as u64 },
                )
            })
            .collect()
    }

    fn start_gateway(&mut self, gateway_index: usize) -> Gateway {
        let tuning = self.gateway_tuning.clone();
        let process_id = self.rng.u64(..);
        let mut allowance = Allowance::new(self.now, format!("g{gateway_index}"), process_id, tuning);
        allowance.set_gateway_count(self.announced_gateways);
        allowance.set_limits(self.now, &self.limits());
        // The gateway knows the leader before its first call.
        allowance.leader_changed(self.now, self.term);
        Gateway {
            allowance,
            process_id,
            up: true,
            next_wake: self.now,
            killed_at: 0,
            restart_at: None,
            frozen_until: 0,
            disconnected_until: 0,
            call_in_flight: None,
            waiting: Vec::new(),
            missed_while_frozen: Vec::new(),
        }
    }

    pub fn kill(&mut self, gateway_index: usize) {
        self.gateways[gateway_index].up = false;
        let latest_arrival = self.now + RESTART_DELAY_MS;
        for (arrival, message) in &mut self.in_transit {
            if matches!(message, Message::Call(from, ..) if *from == gateway_index) {
                *arrival = latest_arrival.min(*arrival);
            }
        }
        self.gateways[gateway_index].killed_at = self.now;
        for stats in &mut self.tenants {
            stats.scheduled.retain(|(_, _, gateway)| *gateway != gateway_index);
        }
    }

    /// Restarts a gateway with a new process; a running one is killed first.
    pub fn restart(&mut self, gateway_index: usize) {
        if self.gateways[gateway_index].up {
            self.kill(gateway_index);
        }
        let earliest = self.gateways[gateway_index].killed_at + RESTART_DELAY_MS;
        self.gateways[gateway_index].restart_at = Some(earliest.max(self.now));
    }

    /// Removes the counter; `start_new_counter` starts the next one.
    pub fn lose_counter(&mut self) {
        self.counter = None;
    }

    pub fn start_new_counter(&mut self) {
        self.term += 1;
        let mut counter = Counter::new(self.now, self.term, self.tuning.clone(), self.log_for_new_counter());
        counter.set_limits(self.now, &self.limits());
        self.counter = Some(counter);
        let now = self.now;
        for gateway in self.gateways.iter_mut().filter(|gateway| gateway.up && gateway.frozen_until <= now) {
            gateway.call_in_flight = None;
            gateway.allowance.leader_changed(now, self.term);
            gateway.next_wake = now + self.rng.u64(0..100);
        }
    }

    fn log_for_new_counter(&self) -> BTreeMap<u64, String> {
        if self.new_counter_ignores_log {
            BTreeMap::new()
        } else {
            self.log.clone()
        }
    }

    pub fn set_cap(&mut self, tenant_index: usize, cap: u64) {
        self.tenants[tenant_index].cap = cap;
        self.events.push((self.now, Event::CapChanged(tenant_index, cap)));
        let (now, limits) = (self.now, self.limits());
        if let Some(counter) = &mut self.counter {
            counter.set_limits(now, &limits);
        }
        for gateway in &mut self.gateways {
            gateway.allowance.set_limits(now, &limits);
            gateway.next_wake = now;
        }
    }

    fn transmit(&mut self, message: Message) {
        let (min_delay, max_delay) = self.delay;
        let is_lossy = self.loss > 0.0;
        let extra_delay = if is_lossy && self.rng.f64() < 0.1 { self.rng.u64(0..600) } else { 0 };
        if self.rng.f64() < self.loss {
            return;
        }
        if is_lossy && self.rng.f64() < 0.1 {
            if let Message::Call(from, call, term) = &message {
                let arrival = self.now + self.rng.u64(min_delay..=max_delay * 20);
                self.in_transit.push((arrival, Message::Call(*from, call.clone(), *term)));
            }
        }
        self.in_transit.push((self.now + self.rng.u64(min_delay..=max_delay) + extra_delay, message));
    }

    fn request(&mut self, tenant_index: usize, gateway_index: usize, is_retry: bool) {
        let now = self.now;
        let gateway = &mut self.gateways[gateway_index];
        if !gateway.up {
            return;
        }
        if gateway.frozen_until > now {
            gateway.missed_while_frozen.push(tenant_index);
            return;
        }
        if !is_retry {
            self.tenants[tenant_index].requested += 1;
        }
        let stats = &mut self.tenants[tenant_index];
        match gateway.allowance.spend(now, &tenant_name(tenant_index)) {
            Spend::Done { from, until } => {
                assert!(until > from && from >= now && from <= now + 200);
                stats.scheduled.push((from, until, gateway_index));
            }
            Spend::Wait => {
                stats.waited += 1;
                gateway.waiting.push((now + WAIT_TIMEOUT_MS, tenant_index));
            }
            Spend::Refused { retry_after_ms } => {
                assert!((1..=5_000).contains(&retry_after_ms));
                stats.refused += 1;
            }
        }
        gateway.next_wake = gateway.next_wake.min(gateway.allowance.next_wake().unwrap_or(u64::MAX));
    }

    fn retry_waiting(&mut self, gateway_index: usize) {
        let now = self.now;
        for (until, tenant_index) in std::mem::take(&mut self.gateways[gateway_index].waiting) {
            let gateway = &mut self.gateways[gateway_index];
            match gateway.allowance.spend(now, &tenant_name(tenant_index)) {
                Spend::Done { from, until } => {
                    self.tenants[tenant_index].scheduled.push((from, until, gateway_index))
                }
                Spend::Wait => gateway.waiting.push((until, tenant_index)),
                Spend::Refused { .. } => self.tenants[tenant_index].refused += 1,
            }
        }
    }

    fn gateway_step(&mut self, gateway_index: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[gateway_index];
        if !gateway.up || gateway.frozen_until > now {
            return;
        }
        for tenant_index in std::mem::take(&mut gateway.missed_while_frozen) {
            self.request(tenant_index, gateway_index, false);
        }
        let gateway = &mut self.gateways[gateway_index];
        if gateway.call_in_flight.is_some_and(|(_, until)| until <= now) {
            gateway.call_in_flight = None;
            gateway.allowance.failed(now);
            self.retry_waiting(gateway_index);
        }
        let gateway = &mut self.gateways[gateway_index];
        let timed_out: Vec<usize> =
            gateway.waiting.iter().filter(|wait| wait.0 <= now).map(|wait| wait.1).collect();
        gateway.waiting.retain(|wait| wait.0 > now);
        for tenant_index in timed_out {
            match gateway.allowance.give_up(now, &tenant_name(tenant_index)) {
                Spend::Done { from, until } => {
                    self.tenants[tenant_index].scheduled.push((from, until, gateway_index))
                }
                _ => self.tenants[tenant_index].refused += 1,
            }
        }
        if gateway.call_in_flight.is_none() {
            if let Some(call) = gateway.allowance.poll(now) {
                self.calls += 1;
                self.bytes += serde_json::to_string(&call).map_or(0, |text| text.len());
                gateway.call_in_flight = Some((call.seq, now + CALL_TIMEOUT_MS));
                self.events.push((now, Event::CallSent(call.incarnation, call.seq)));
                let term = self.term;
                if gateway.disconnected_until <= now {
                    self.transmit(Message::Call(gateway_index, call, term));
                }
            }
        }
        let gateway = &mut self.gateways[gateway_index];
        gateway.next_wake = match gateway.call_in_flight {
            Some((_, until)) => until,
            None => gateway.allowance.next_wake().unwrap_or(u64::MAX),
        };
        if let Some(first_timeout) = gateway.waiting.iter().map(|wait| wait.0).min() {
            gateway.next_wake = gateway.next_wake.min(first_timeout);
        }
    }

    fn apply_log_change(counter: &mut Counter, log: &mut BTreeMap<u64, String>, change: ProcessListChange) {
        log.retain(|process_id, _| !change.removed.contains(process_id));
        log.extend(change.added);
        counter.set_logged_processes(log);
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Call(from, call, term) => {
                let gateways = self.gateways.len();
                let reaches_counter = term == self.term || self.successor_on_same_machine;
                let Some(counter) = self.counter.as_mut().filter(|_| reaches_counter) else { return };
                if let Some(change) = counter.enrollment_for(now, &call) {
                    Self::apply_log_change(counter, &mut self.log, change);
                    counter.enrollment_committed(call.incarnation);
                }
                let answer = counter.handle_call(now, &call, gateways);
                if self.gateways[from].disconnected_until <= now {
                    self.transmit(Message::Answer(from, call.incarnation, answer));
                }
            }
            Message::Answer(to, process_id, answer) => {
                let gateway = &mut self.gateways[to];
                // A killed process receives nothing more, and its successor does not receive its answers.
                if !gateway.up
                    || gateway.process_id != process_id
                    || (answer.term != self.term && !self.successor_on_same_machine)
                {
                    return;
                }
                if gateway.frozen_until > now {
                    let arrival = gateway.frozen_until + 1;
                    self.in_transit.push((arrival, Message::Answer(to, process_id, answer)));
                    return;
                }
                self.bytes += serde_json::to_string(&answer).map_or(0, |text| text.len());
                if !answer.full_report_needed {
                    self.events.push((now, Event::CallAnswered(gateway.process_id, answer.seq)));
                }
                gateway.allowance.answered(now, &answer);
                if gateway.call_in_flight.is_some_and(|(seq, _)| seq == answer.seq) {
                    gateway.call_in_flight = None;
                }
                gateway.next_wake = now;
                self.retry_waiting(to);
            }
        }
    }

    /// Advances by a millisecond.
    pub fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        if let Some(counter) = self.counter.as_mut().filter(|_| now.is_multiple_of(200)) {
            if let Some(change) = counter.removable_processes(now) {
                Self::apply_log_change(counter, &mut self.log, change);
            }
        }
        for gateway_index in 0..self.gateways.len() {
            if self.gateways[gateway_index].restart_at.is_some_and(|time| time <= now) {
                self.gateways[gateway_index] = self.start_gateway(gateway_index);
            }
        }
        self.send_scheduled();
        let mut index = 0;
        while index < self.in_transit.len() {
            if self.in_transit[index].0 <= now {
                let (_, message) = self.in_transit.swap_remove(index);
                self.deliver(message);
            } else {
                index += 1;
            }
        }
        for tenant_index in 0..self.tenants.len() {
            let mut expected = self.tenants[tenant_index].rate / 1_000.0;
            while expected > 0.0 && self.rng.f64() < expected {
                expected -= 1.0;
                let gateway_index = match self.tenants[tenant_index].skewed {
                    true if self.rng.f64() < 0.8 => tenant_index % self.gateways.len(),
                    _ => self.rng.usize(..self.gateways.len()),
                };
                self.request(tenant_index, gateway_index, false);
            }
        }
        for gateway_index in 0..self.gateways.len() {
            if self.gateways[gateway_index].next_wake <= now {
                self.gateway_step(gateway_index);
            }
        }
        self.send_scheduled();
    }

    /// Sends the scheduled requests whose time has come. A frozen gateway sends when it resumes, unless it is too late.
    fn send_scheduled(&mut self) {
        let (now, gateways) = (self.now, &self.gateways);
        for (tenant_index, stats) in self.tenants.iter_mut().enumerate() {
            let (sent, events) = (&mut stats.sent, &mut self.events);
            let mut expired = 0;
            stats.scheduled.retain(|(from, until, gateway)| {
                if *from > now || gateways[*gateway].frozen_until > now {
                    return true;
                }
                match now <= *until {
                    true => {
                        sent.push(now);
                        events.push((now, Event::RequestSent(tenant_index, gateways[*gateway].process_id)));
                    }
                    false => expired += 1,
                }
                false
            });
            stats.refused += expired;
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.step();
        }
    }

    /// Maximum units spent in any window that begins at `from` or later.
    pub fn max_in_window(&self, tenant_index: usize, from: u64) -> u64 {
        let sent = &self.tenants[tenant_index].sent;
        let (mut first, mut most) = (0, 0);
        for (last, time) in sent.iter().enumerate() {
            while sent[first] + WINDOW_MS <= *time || sent[first] < from {
                first += 1;
                if first > last {
                    break;
                }
            }
            most = most.max((last + 1).saturating_sub(first) as u64);
        }
        most
    }

    /// Checks that no tenant spent more than its cap in any window.
    pub fn check_caps(&self, context: &str) {
        for (tenant_index, stats) in self.tenants.iter().enumerate() {
            let most = self.max_in_window(tenant_index, 0);
            assert!(
                most <= stats.cap,
                "{context}, seed {}: tenant {tenant_index} spent {most} of {}",
                self.seed,
                stats.cap
            );
        }
    }

    /// Resets the counts of requests, calls and bytes, but not the record of what was spent.
    pub fn reset_stats(&mut self) {
        for stats in &mut self.tenants {
            (stats.requested, stats.refused, stats.waited) = (0, 0, 0);
        }
        (self.calls, self.bytes) = (0, 0);
    }

    /// Share of a tenant's requests that were refused.
    pub fn refused_share(&self, tenant_index: usize) -> f64 {
        self.tenants[tenant_index].refused as f64 / self.tenants[tenant_index].requested.max(1) as f64
    }
}
