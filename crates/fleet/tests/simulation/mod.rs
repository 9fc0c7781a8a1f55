//! A fleet in virtual time: machines, a network with faults between every directed pair, and a reference that knows
//! who really lives. One seed gives one run.

#![allow(dead_code)]

use nickeljunction_fleet::{Change, MemberState, Membership, RosterEntry};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::sync::Arc;

/// The first moment of every world, Unix ms.
pub const START_MS: f64 = 1_790_000_000_000.0;
/// Datagrams that a socket of a process that hangs keeps.
const SOCKET: usize = 256;

/// What the network does to datagrams.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Parts lost, doubled, and with a byte changed.
    pub loss: f64,
    pub double: f64,
    pub corrupt: f64,
    /// Shortest time under way, and what chance adds at most, ms; spread reorders.
    pub delay_ms: f64,
    pub spread_ms: f64,
}

/// A network as settings of operators have it.
pub const CALM: Faults = Faults { loss: 0.0, double: 0.0, corrupt: 0.0, delay_ms: 1.2, spread_ms: 33.0 };

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Arrive { to: usize, from: u16, bytes: Vec<u8> },
}

pub struct Simulation {
    pub now: f64,
    pub machines: Vec<Option<Membership>>,
    pub faults: Faults,
    /// Which side of a cut each stands on; only equal sides reach one another.
    pub side: Vec<u8>,
    /// Directed pairs that are cut.
    pub cut: HashSet<(usize, usize)>,
    /// Clock of each less the true time, ms.
    pub skew: Vec<f64>,
    /// Changes as they came: whose view, and what.
    pub changes: Vec<(usize, Change)>,
    /// Datagrams and bytes handed to the network.
    pub sent: u64,
    pub bytes: u64,
    /// The last datagram that was carried to member 0, and who sent it.
    pub last: Option<(u16, Vec<u8>)>,
    pub rng: fastrand::Rng,
    places: Arc<[RosterEntry]>,
    max_received_per_s: f64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    due: Vec<f64>,
    hung_until: Vec<f64>,
    waiting: Vec<Vec<(u16, Vec<u8>)>>,
    checked: f64,
    /// The largest sum of parts seen, and whether it is checked all along.
    pub most_parts: f64,
    pub check_parts: bool,
}

impl Simulation {
    /// A world of so many places, nobody started.
    pub fn new(size: usize, seed: u64) -> Simulation {
        let place = |number: usize| RosterEntry {
            number: number as u16,
            name: format!("n{number}"),
            address: None,
            zone: String::new(),
        };
        Simulation {
            now: START_MS,
            machines: (0..size).map(|_| None).collect(),
            faults: CALM,
            side: vec![0; size],
            cut: HashSet::new(),
            skew: vec![0.0; size],
            changes: Vec::new(),
            sent: 0,
            bytes: 0,
            last: None,
            rng: fastrand::Rng::with_seed(seed),
            places: (0..size).map(place).collect(),
            max_received_per_s: 100.0,
            queue: BinaryHeap::new(),
            number: 0,
            due: vec![f64::INFINITY; size],
            hung_until: vec![f64::NEG_INFINITY; size],
            waiting: vec![Vec::new(); size],
            checked: START_MS,
            most_parts: 0.0,
            check_parts: true,
        }
    }

    /// The same with all started at once and settled.
    pub fn settled(size: usize, seed: u64) -> Simulation {
        let mut world = Simulation::new(size, seed);
        (0..size).for_each(|at| world.start(at));
        let took = world.settle(60_000.0);
        assert!(took.is_some(), "{size} gateways do not settle after a start, seed {seed}\n{}", world.tell());
        world
    }

    pub fn start(&mut self, at: usize) {
        let seed = self.rng.u64(..);
        let now = self.now + self.skew[at];
        let fleet = Membership::with_shared_roster(
            at as u16,
            self.places.clone(),
            self.max_received_per_s,
            1,
            seed,
            now,
        )
        .expect("a roster");
        self.machines[at] = Some(fleet);
        self.hung_until[at] = f64::NEG_INFINITY;
        self.waiting[at].clear();
        self.after(at);
    }

    pub fn kill(&mut self, at: usize) {
        self.machines[at] = None;
        self.waiting[at].clear();
    }

    /// The process does nothing for so long, and believes that no time passed.
    pub fn hang(&mut self, at: usize, ms: f64) {
        self.hung_until[at] = self.now + ms;
    }

    pub fn hung(&self, at: usize) -> bool {
        // Times this large are exact to a quarter of a microsecond.
        self.hung_until[at] > self.now + 0.01
    }

    /// Something is told to a machine.
    pub fn with(&mut self, at: usize, tell: impl FnOnce(&mut Membership, f64)) {
        let now = self.now + self.skew[at];
        if let Some(fleet) = &mut self.machines[at] {
            tell(fleet, now);
        }
        self.after(at);
    }

    pub fn living(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|at| self.machines[*at].is_some()).collect()
    }

    pub fn fleet(&self, at: usize) -> &Membership {
        self.machines[at].as_ref().expect("it runs")
    }

    pub fn state(&self, seen_by: usize, at: usize) -> MemberState {
        self.fleet(seen_by).view().member(at).state
    }

    fn push(&mut self, at_ms: f64, event: Event) {
        self.number += 1;
        // Never earlier than asked for: a machine that hangs until then would hang for ever.
        self.queue.push(Reverse(((at_ms * 1_000.0).ceil() as u64, self.number, event)));
    }

    /// Carries out what a machine wants after it was told something.
    fn after(&mut self, at: usize) {
        let Some(fleet) = &mut self.machines[at] else { return };
        while let Some(change) = fleet.next_change() {
            self.changes.push((at, change));
        }
        let mut out = Vec::new();
        while let Some(datagram) = fleet.next_datagram() {
            out.push(datagram);
        }
        let due = fleet.next_tick() - self.skew[at];
        if due < self.due[at] {
            self.due[at] = due;
            self.push(due, Event::Tick(at));
        }
        for (to, bytes) in out {
            assert!(bytes.len() <= 256, "a datagram of {} bytes", bytes.len());
            self.sent += 1;
            self.bytes += bytes.len() as u64;
            self.carry(at, usize::from(to), bytes);
        }
    }

    fn carry(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if to == 0 {
            self.last = Some((from as u16, bytes.clone()));
        }
        let copies = 1 + usize::from(self.rng.f64() < self.faults.double);
        for _ in 0..copies {
            if self.rng.f64() < self.faults.loss
                || self.side[from] != self.side[to]
                || self.cut.contains(&(from, to))
            {
                continue;
            }
            let mut bytes = bytes.clone();
            if self.rng.f64() < self.faults.corrupt {
                let at = self.rng.usize(0..bytes.len());
                bytes[at] ^= 1 << self.rng.u8(0..8);
            }
            let at_ms = self.now + self.faults.delay_ms + self.rng.f64() * self.faults.spread_ms;
            self.push(at_ms, Event::Arrive { to, from: from as u16, bytes });
        }
    }

    /// Sends a datagram of the tester's own making.
    pub fn inject(&mut self, from: u16, to: usize, bytes: Vec<u8>) {
        self.push(self.now + 0.1, Event::Arrive { to, from, bytes });
    }

    /// Runs for so long.
    pub fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.queue.peek().is_some_and(|next| next.0 .0 as f64 / 1_000.0 <= end) {
            let Reverse((at_us, _, event)) = self.queue.pop().expect("peeked");
            self.now = self.now.max(at_us as f64 / 1_000.0);
            self.check();
            match event {
                Event::Tick(at) => {
                    // Another one is due later: this one was overtaken, and would begin a row of ticks of its own.
                    if self.due[at] > self.now + 0.01 {
                        continue;
                    }
                    self.due[at] = f64::INFINITY;
                    if self.hung(at) {
                        let until = self.hung_until[at];
                        self.due[at] = until;
                        self.push(until, Event::Tick(at));
                        continue;
                    }
                    let waiting = std::mem::take(&mut self.waiting[at]);
                    let now = self.now + self.skew[at];
                    if let Some(fleet) = &mut self.machines[at] {
                        waiting.into_iter().for_each(|(from, bytes)| fleet.receive(now, from, &bytes));
                        fleet.tick(now);
                    }
                    self.after(at);
                }
                Event::Arrive { to, from, bytes } => {
                    if self.hung(to) {
                        if self.waiting[to].len() < SOCKET {
                            self.waiting[to].push((from, bytes));
                        }
                        continue;
                    }
                    self.with(to, |fleet, now| fleet.receive(now, from, &bytes));
                }
            }
        }
        self.now = end;
    }

    /// The rule of parts, by the true time: one that hangs uses nothing while it does, and must look at the clock
    /// before it does again.
    fn check(&mut self) {
        if !self.check_parts || self.now < self.checked + 20.0 {
            return;
        }
        self.checked = self.now;
        let parts: f64 = (0..self.machines.len())
            .filter(|at| !self.hung(*at))
            .filter_map(|at| Some(self.machines[at].as_ref()?.share(self.now + self.skew[at])))
            .sum();
        self.most_parts = self.most_parts.max(parts);
        assert!(parts < 1.0 + 1e-9, "parts add up to {parts} at {} ms", self.now - START_MS);
    }

    /// All that live hold the same view, and it is the truth: who lives is alive, who does not is not.
    pub fn agrees(&self) -> bool {
        let living = self.living();
        let Some(first) = living.first() else { return true };
        let digest = self.fleet(*first).view().digest();
        if living.iter().any(|at| self.fleet(*at).view().digest() != digest) {
            return false;
        }
        (0..self.machines.len()).all(|at| {
            let state = self.state(*first, at);
            // A suspect is no settled view: it may yet be either.
            if self.machines[at].is_some() {
                state == MemberState::Alive
            } else {
                !matches!(state, MemberState::Alive | MemberState::Suspect)
            }
        })
    }

    /// Runs until all agree, for no longer than `ms`; how long it took.
    pub fn settle(&mut self, ms: f64) -> Option<f64> {
        let began = self.now;
        while !self.agrees() {
            if self.now - began >= ms {
                return None;
            }
            self.run(50.0);
        }
        Some(self.now - began)
    }

    /// Views that differ, for a failure's message.
    pub fn tell(&self) -> String {
        let mut text = String::new();
        for at in self.living() {
            let view = self.fleet(at).view();
            let states: Vec<String> =
                view.members().map(|(_, member)| format!("{:.2}", member.state.name())).collect();
            text +=
                &format!("{at} {:016x} {} {:?}\n", view.digest(), states.join(" "), self.fleet(at).counts());
        }
        text
    }
}
