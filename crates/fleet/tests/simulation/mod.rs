//! A fleet in virtual time: membership machines, a network with faults on every directed link, and a reference that
//! knows which gateways really run. A run depends only on its seed.

#![allow(dead_code)]

use nickeljunction_fleet::{Change, MemberState, Membership, RosterEntry};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::sync::Arc;

/// Start time of every simulation, Unix ms.
pub const START_MS: f64 = 1_790_000_000_000.0;
/// Datagrams that the socket of a hung process buffers.
const SOCKET_BUFFER_DATAGRAMS: usize = 256;
/// Interval of the checks of the share sum, ms.
const CHECK_INTERVAL_MS: f64 = 20.0;
/// Tolerance in comparisons of times, ms: times this large are exact to a quarter of a microsecond.
const TIME_TOLERANCE_MS: f64 = 0.01;

/// What the network does to datagrams.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Fractions of datagrams lost, duplicated, and damaged in one bit.
    pub loss: f64,
    pub duplication: f64,
    pub corrupt: f64,
    /// Shortest delay, and the largest random addition, ms; the jitter reorders datagrams.
    pub delay_ms: f64,
    pub jitter_ms: f64,
}

/// A network without faults, with the usual delays between gateways.
pub const NORMAL_NETWORK: Faults =
    Faults { loss: 0.0, duplication: 0.0, corrupt: 0.0, delay_ms: 1.2, jitter_ms: 33.0 };

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Arrive { to: usize, from: u16, bytes: Vec<u8> },
}

pub struct Simulation {
    pub now_ms: f64,
    pub machines: Vec<Option<Membership>>,
    pub faults: Faults,
    /// The partition of each gateway; only gateways in one partition reach each other.
    pub partition: Vec<u8>,
    /// Directed links that are cut.
    pub cut_links: HashSet<(usize, usize)>,
    /// Each gateway's clock less the true time, ms.
    pub clock_skew_ms: Vec<f64>,
    /// All changes of views in their order, with the index of the gateway whose view changed.
    pub changes: Vec<(usize, Change)>,
    /// Datagrams and bytes sent.
    pub sent_datagrams: u64,
    pub sent_bytes: u64,
    /// The last datagram sent to member 0, and its sender.
    pub last_to_member_0: Option<(u16, Vec<u8>)>,
    pub rng: fastrand::Rng,
    roster: Arc<[RosterEntry]>,
    max_received_per_s: f64,
    /// Events by time in microseconds, and by their order of creation.
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    events_created: u64,
    tick_due_ms: Vec<f64>,
    hung_until_ms: Vec<f64>,
    /// Datagrams in the sockets of hung processes.
    socket_buffers: Vec<Vec<(u16, Vec<u8>)>>,
    last_check_ms: f64,
    /// The largest sum of shares seen, and whether the sum is checked during the run.
    pub max_share_sum: f64,
    pub check_shares: bool,
}

impl Simulation {
    /// A fleet of this size, with no gateway started.
    pub fn new(size: usize, seed: u64) -> Simulation {
        let entry = |number: usize| RosterEntry {
            number: number as u16,
            name: format!("n{number}"),
            address: None,
            zone: String::new(),
        };
        Simulation {
            now_ms: START_MS,
            machines: (0..size).map(|_| None).collect(),
            faults: NORMAL_NETWORK,
            partition: vec![0; size],
            cut_links: HashSet::new(),
            clock_skew_ms: vec![0.0; size],
            changes: Vec::new(),
            sent_datagrams: 0,
            sent_bytes: 0,
            last_to_member_0: None,
            rng: fastrand::Rng::with_seed(seed),
            roster: (0..size).map(entry).collect(),
            max_received_per_s: 100.0,
            queue: BinaryHeap::new(),
            events_created: 0,
            tick_due_ms: vec![f64::INFINITY; size],
            hung_until_ms: vec![f64::NEG_INFINITY; size],
            socket_buffers: vec![Vec::new(); size],
            last_check_ms: START_MS,
            max_share_sum: 0.0,
            check_shares: true,
        }
    }

    /// A fleet whose gateways all started at once and whose views have converged.
    pub fn converged(size: usize, seed: u64) -> Simulation {
        let mut simulation = Simulation::new(size, seed);
        (0..size).for_each(|index| simulation.start(index));
        let elapsed_ms = simulation.run_until_converged(60_000.0);
        assert!(
            elapsed_ms.is_some(),
            "{size} gateways do not converge after a start, seed {seed}\n{}",
            simulation.describe_views()
        );
        simulation
    }

    pub fn start(&mut self, index: usize) {
        let seed = self.rng.u64(..);
        let now_ms = self.now_ms + self.clock_skew_ms[index];
        let membership = Membership::with_shared_roster(
            index as u16,
            self.roster.clone(),
            self.max_received_per_s,
            1,
            seed,
            now_ms,
        )
        .expect("the roster is valid");
        self.machines[index] = Some(membership);
        self.hung_until_ms[index] = f64::NEG_INFINITY;
        self.socket_buffers[index].clear();
        self.process_outputs(index);
    }

    pub fn crash(&mut self, index: usize) {
        self.machines[index] = None;
        self.socket_buffers[index].clear();
    }

    /// The process does nothing for this time, and does not notice that time passes.
    pub fn hang(&mut self, index: usize, ms: f64) {
        self.hung_until_ms[index] = self.now_ms + ms;
    }

    pub fn is_hung(&self, index: usize) -> bool {
        self.hung_until_ms[index] > self.now_ms + TIME_TOLERANCE_MS
    }

    /// Calls a machine, if it runs, with the time by its own clock, and processes its outputs.
    pub fn call(&mut self, index: usize, action: impl FnOnce(&mut Membership, f64)) {
        let now_ms = self.now_ms + self.clock_skew_ms[index];
        if let Some(membership) = &mut self.machines[index] {
            action(membership, now_ms);
        }
        self.process_outputs(index);
    }

    /// Indexes of the gateways that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|index| self.machines[*index].is_some()).collect()
    }

    pub fn membership(&self, index: usize) -> &Membership {
        self.machines[index].as_ref().expect("the gateway runs")
    }

    /// The state of a member in the view of `observer`.
    pub fn state_of(&self, observer: usize, member: usize) -> MemberState {
        self.membership(observer).view().member(member).state
    }

    fn push_event(&mut self, time_ms: f64, event: Event) {
        self.events_created += 1;
        // Rounded up: an event before the end of a hang would be postponed to that end, and rounded down again, forever.
        self.queue.push(Reverse(((time_ms * 1_000.0).ceil() as u64, self.events_created, event)));
    }

    /// Records the changes of a machine, sends its datagrams and schedules its next tick.
    fn process_outputs(&mut self, index: usize) {
        let Some(membership) = &mut self.machines[index] else { return };
        while let Some(change) = membership.next_change() {
            self.changes.push((index, change));
        }
        let mut outgoing = Vec::new();
        while let Some(datagram) = membership.next_datagram() {
            outgoing.push(datagram);
        }
        let due_ms = membership.next_tick() - self.clock_skew_ms[index];
        if due_ms < self.tick_due_ms[index] {
            self.tick_due_ms[index] = due_ms;
            self.push_event(due_ms, Event::Tick(index));
        }
        for (to, bytes) in outgoing {
            assert!(bytes.len() <= 256, "a datagram has {} bytes", bytes.len());
            self.sent_datagrams += 1;
            self.sent_bytes += bytes.len() as u64;
            self.transmit(index, usize::from(to), bytes);
        }
    }

    fn transmit(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if to == 0 {
            self.last_to_member_0 = Some((from as u16, bytes.clone()));
        }
        let copies = 1 + usize::from(self.rng.f64() < self.faults.duplication);
        for _ in 0..copies {
            if self.rng.f64() < self.faults.loss
                || self.partition[from] != self.partition[to]
                || self.cut_links.contains(&(from, to))
            {
                continue;
            }
            let mut bytes = bytes.clone();
            if self.rng.f64() < self.faults.corrupt {
                let position = self.rng.usize(0..bytes.len());
                bytes[position] ^= 1 << self.rng.u8(0..8);
            }
            let arrival_ms = self.now_ms + self.faults.delay_ms + self.rng.f64() * self.faults.jitter_ms;
            self.push_event(arrival_ms, Event::Arrive { to, from: from as u16, bytes });
        }
    }

    /// Delivers a datagram from the test itself.
    pub fn inject(&mut self, from: u16, to: usize, bytes: Vec<u8>) {
        self.push_event(self.now_ms + 0.1, Event::Arrive { to, from, bytes });
    }

    pub fn run_for(&mut self, ms: f64) {
        let end_ms = self.now_ms + ms;
        while self.queue.peek().is_some_and(|next| next.0 .0 as f64 / 1_000.0 <= end_ms) {
            let Reverse((time_us, _, event)) = self.queue.pop().expect("an event was peeked");
            self.now_ms = self.now_ms.max(time_us as f64 / 1_000.0);
            self.check_share_sum();
            match event {
                Event::Tick(index) => {
                    // A tick that was rescheduled to a later time: running it would start a second series of ticks.
                    if self.tick_due_ms[index] > self.now_ms + TIME_TOLERANCE_MS {
                        continue;
                    }
                    self.tick_due_ms[index] = f64::INFINITY;
                    if self.is_hung(index) {
                        let until_ms = self.hung_until_ms[index];
                        self.tick_due_ms[index] = until_ms;
                        self.push_event(until_ms, Event::Tick(index));
                        continue;
                    }
                    let buffered = std::mem::take(&mut self.socket_buffers[index]);
                    let now_ms = self.now_ms + self.clock_skew_ms[index];
                    if let Some(membership) = &mut self.machines[index] {
                        buffered
                            .into_iter()
                            .for_each(|(from, bytes)| membership.receive(now_ms, from, &bytes));
                        membership.tick(now_ms);
                    }
                    self.process_outputs(index);
                }
                Event::Arrive { to, from, bytes } => {
                    if self.is_hung(to) {
                        if self.socket_buffers[to].len() < SOCKET_BUFFER_DATAGRAMS {
                            self.socket_buffers[to].push((from, bytes));
                        }
                        continue;
                    }
                    self.call(to, |membership, now_ms| membership.receive(now_ms, from, &bytes));
                }
            }
        }
        self.now_ms = end_ms;
    }

    /// Checks that all shares at one true time add up to at most the whole. A hung process uses nothing, and must look
    /// at the clock before it does again.
    fn check_share_sum(&mut self) {
        if !self.check_shares || self.now_ms < self.last_check_ms + CHECK_INTERVAL_MS {
            return;
        }
        self.last_check_ms = self.now_ms;
        let sum: f64 = (0..self.machines.len())
            .filter(|index| !self.is_hung(*index))
            .filter_map(|index| {
                Some(self.machines[index].as_ref()?.share(self.now_ms + self.clock_skew_ms[index]))
            })
            .sum();
        self.max_share_sum = self.max_share_sum.max(sum);
        assert!(sum < 1.0 + 1e-9, "shares add up to {sum} at {} ms", self.now_ms - START_MS);
    }

    /// Whether all running gateways have the same view, and it is true: running members are alive, others are not.
    pub fn has_converged(&self) -> bool {
        let running = self.running();
        let Some(first) = running.first() else { return true };
        let digest = self.membership(*first).view().digest();
        if running.iter().any(|index| self.membership(*index).view().digest() != digest) {
            return false;
        }
        (0..self.machines.len()).all(|index| {
            let state = self.state_of(*first, index);
            // A view with a suspect has not converged: the suspect can still become alive or gone.
            if self.machines[index].is_some() {
                state == MemberState::Alive
            } else {
                !matches!(state, MemberState::Alive | MemberState::Suspect)
            }
        })
    }

    /// Runs until all views have converged. Returns the time that it took, or `None` if that exceeds `max_ms`.
    pub fn run_until_converged(&mut self, max_ms: f64) -> Option<f64> {
        let start_ms = self.now_ms;
        while !self.has_converged() {
            if self.now_ms - start_ms >= max_ms {
                return None;
            }
            self.run_for(50.0);
        }
        Some(self.now_ms - start_ms)
    }

    /// The views and counters of all running gateways, for failure messages.
    pub fn describe_views(&self) -> String {
        let mut text = String::new();
        for index in self.running() {
            let membership = self.membership(index);
            let view = membership.view();
            let states: Vec<String> =
                view.members().map(|(_, member)| format!("{:.2}", member.state.name())).collect();
            text +=
                &format!("{index} {:016x} {} {:?}\n", view.digest(), states.join(" "), membership.counts());
        }
        text
    }
}
