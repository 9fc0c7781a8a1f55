//! The clock and the network between the machines.

mod faults;
mod scripts;

use crate::claimants::FIRST_CALL;
use crate::{host, Answer, Audit, Claimants, Gateway, Member, Node, Operators, Out, Packet, Pipe};
use nickeljunction_consensus::{bootstrap_member_id, Restored, Tuning};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What a world begins with.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Core members.
    pub members: usize,
    /// The first so many are the seeds.
    pub seeds: usize,
    /// Gateways.
    pub gateways: usize,
    /// `revocation_strict`.
    pub strict: bool,
}

/// All machines and what is between them.
pub struct World {
    /// What makes it this one.
    pub seed: u64,
    /// ms.
    pub now: u64,
    /// For scripts.
    pub rng: fastrand::Rng,
    /// Core members, by node.
    pub members: Vec<Member>,
    /// Gateways; their nodes come after the members'.
    pub gateways: Vec<Gateway>,
    /// Operators and servers.
    pub people: Operators,
    /// Those that claim keyed operations, from outside, too.
    pub claimants: Claimants,
    /// Checks.
    pub audit: Audit,
    /// Hosts of the seeds.
    pub seeds: Vec<String>,
    /// Core machines that are gone for good, or have not come yet.
    pub absent: BTreeSet<Node>,
    /// Nothing gets through from one to the other.
    pub cuts: BTreeSet<(Node, Node)>,
    /// Percent of packets lost, and delayed by far.
    pub loss: u8,
    /// See `loss`.
    pub late: u8,
    /// Machines with a thin link; all others' are wide.
    pub pipes: BTreeMap<Node, Pipe>,
    /// Requests of clients a second, over all gateways.
    pub load: u64,
    strict: bool,
    mail: HashMap<Node, Vec<Packet>>,
    queue: BTreeMap<(u64, u64), (Node, Packet)>,
    posted: u64,
    load_at: u64,
    next_version: u64,
}

impl World {
    /// The first start of the whole system, with the agreement's usual figures.
    pub fn new(plan: Plan, seed: u64) -> World {
        World::tuned(plan, Tuning::default(), seed)
    }

    /// The first start of a system whose core is to bear the loss of so many machines at once, as `serve::run` has it.
    pub fn bearing(plan: Plan, losses: usize, seed: u64) -> World {
        World::tuned(plan, Tuning::tolerating(losses), seed)
    }

    fn tuned(plan: Plan, tuning: Tuning, seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let seeds: Vec<String> = (0..plan.seeds).map(host).collect();
        let members = (0..plan.members).map(|node| Member::new(node, tuning, rng.u64(..))).collect();
        let now = 10_000;
        let gateways = (plan.members..plan.members + plan.gateways)
            .map(|node| Gateway::new(node, now, &seeds, plan.strict, &mut rng))
            .collect();
        let mut world = World {
            seed,
            now,
            members,
            gateways,
            people: Operators::new(plan.members + plan.gateways, plan.members),
            claimants: Claimants::new(plan.members + plan.gateways, plan.members, seed),
            audit: Audit::new(seed, plan.strict),
            seeds: seeds.clone(),
            absent: BTreeSet::new(),
            cuts: BTreeSet::new(),
            loss: 0,
            late: 0,
            pipes: BTreeMap::new(),
            load: 20,
            strict: plan.strict,
            mail: HashMap::new(),
            queue: BTreeMap::new(),
            posted: 0,
            load_at: now,
            next_version: 0,
            rng,
        };
        // serve::open, at the first start.
        let member = |host: &String| nickeljunction_messages::Member {
            id: bootstrap_member_id(host),
            host: host.clone(),
        };
        for node in 0..plan.members {
            let me = member(&host(node));
            let restored = match node < plan.seeds {
                true => Restored::bootstrap(me, seeds.iter().map(member).collect()),
                false => Restored::joining(me),
            };
            world.at_member(node, |one, now, out| one.start(now, restored, &seeds, out));
        }
        world
    }

    /// Place of the operators and servers.
    pub fn outside(&self) -> Node {
        self.members.len() + self.gateways.len()
    }

    /// Node of a gateway.
    pub fn edge(&self, gateway: usize) -> Node {
        self.members.len() + gateway
    }

    fn at_member(&mut self, node: Node, act: impl FnOnce(&mut Member, u64, &mut Out)) {
        let mut out = Out::default();
        act(&mut self.members[node], self.now, &mut out);
        self.post(node, out);
    }

    fn post(&mut self, from: Node, out: Out) {
        for fact in out.facts {
            self.audit.take(self.now, from, fact);
        }
        for (to, packet) in out.posts {
            // What is within a machine, and outside of all of them, isn't lost.
            let far = self.rng.u8(..100) < self.late;
            let lost = self.rng.u8(..100) < self.loss && from != self.outside() && to != self.outside();
            if lost || self.cuts.contains(&(from, to)) {
                continue;
            }
            let delay = self.rng.u64(1..=3) + if far { self.rng.u64(..1_200) } else { 0 };
            let now = self.now as f64;
            let left = self.pipes.get_mut(&from).map_or(now, |pipe| pipe.send(now, &packet));
            let came = left + delay as f64;
            let came = self.pipes.get_mut(&to).map_or(came, |pipe| pipe.receive(came, &packet));
            self.posted += 1;
            self.queue.insert((came.ceil() as u64, self.posted), (to, packet));
        }
    }

    fn deliver(&mut self, to: Node, packet: Packet) {
        if let Some(mail) = self.mail.get_mut(&to) {
            return mail.push(packet);
        }
        let mut out = Out::default();
        match to {
            _ if to < self.members.len() => match packet {
                // Refused: nobody listens.
                Packet::Ask(from, call, _) | Packet::Open(from, call) if !self.members[to].up() => {
                    out.posts.push((from, Packet::Reply(call, Answer::Elsewhere(None))));
                }
                packet => self.members[to].heard(self.now, packet, &mut out),
            },
            _ if to < self.outside() => {
                let gateway = to - self.members.len();
                self.gateways[gateway].heard(self.now, packet, &mut out);
            }
            _ => {
                if let Packet::Reply(call, answer) = &packet {
                    if *call >= FIRST_CALL {
                        return self.claimants.heard(self.now, *call, answer);
                    }
                }
                if let Packet::Reply(call, Answer::State(version)) = &packet {
                    let asked = self.people.asked(*call);
                    asked.into_iter().for_each(|floor| self.audit.read(self.now, floor, *version));
                }
                self.people.heard(self.now, packet);
            }
        }
        self.post(to, out);
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        self.until(ms, |_| false);
        self.now = end;
    }

    /// Lets time pass until something holds; false where it doesn't by then.
    pub fn until(&mut self, ms: u64, mut holds: impl FnMut(&World) -> bool) -> bool {
        let end = self.now + ms;
        loop {
            if holds(self) {
                return true;
            }
            if !self.step(end) {
                self.now = end;
                return holds(self);
            }
        }
    }

    /// Goes on to what comes next; false where that is after `end`.
    fn step(&mut self, end: u64) -> bool {
        let awake = |node: &Node| !self.mail.contains_key(node);
        let members = (0..self.members.len()).filter(awake).map(|node| self.members[node].wake());
        let edge = |gateway: &usize| awake(&(self.members.len() + gateway));
        let gateways = (0..self.gateways.len()).filter(edge).map(|gateway| self.gateways[gateway].wake());
        let load_at = if self.load > 0 { self.load_at } else { u64::MAX };
        let timers = members
            .chain(gateways)
            .chain([self.people.wake(), self.claimants.wake(), load_at])
            .min()
            .unwrap_or(u64::MAX);
        let first = self.queue.keys().next().map_or(u64::MAX, |(at, _)| *at);
        let next = timers.min(first).max(self.now);
        if next > end {
            return false;
        }
        self.now = next;
        if first <= next {
            if let Some((_, (to, packet))) = self.queue.pop_first() {
                self.deliver(to, packet);
            }
            return true;
        }
        for node in 0..self.outside() {
            self.turn(node);
        }
        let mut out = Out::default();
        self.people.turn(next, &mut out);
        self.claimants.turn(next, &mut out);
        self.post(self.outside(), out);
        if load_at <= next && !self.gateways.is_empty() {
            self.load_at = next + 1_000 / self.load.max(1);
            let gateway = self.rng.usize(..self.gateways.len());
            if !self.mail.contains_key(&self.edge(gateway)) {
                let mut out = Out::default();
                self.gateways[gateway].request(next, &mut out);
                self.post(self.edge(gateway), out);
            }
        }
        true
    }

    fn turn(&mut self, node: Node) {
        let members = self.members.len();
        let wake =
            if node < members { self.members[node].wake() } else { self.gateways[node - members].wake() };
        if wake > self.now || self.mail.contains_key(&node) {
            return;
        }
        let mut out = Out::default();
        match node.checked_sub(members) {
            None => self.members[node].turn(self.now, &mut out),
            Some(gateway) => self.gateways[gateway].turn(self.now, &mut out),
        }
        self.post(node, out);
    }
}
