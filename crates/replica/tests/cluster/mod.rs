//! Three members with disks that take their time and lines of a given rate, on a fake clock: one is away for a while and
//! comes back while changes go on. Used by the tests and by the example `catch_up`.

#![allow(dead_code, missing_docs)]

use nickeljunction_consensus::{bootstrap_member_id, Envelope, Msg, Restored, Tuning, Write};
use nickeljunction_messages::Member;
use nickeljunction_replica::outbox::{Lane, Outbox};
use nickeljunction_replica::{Answer, Change, Event, MemberConfig, Replica, Ticket};
use nickeljunction_schema::Bounds;
use nickeljunction_storage::{LogStore, MemoryLogStore};
use serde_json::{json, Map, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub const MEMBERS: usize = 3;
/// One way, ms.
const WAY_MS: u64 = 2;

fn host(node: usize) -> String {
    format!("10.0.0.{}", node + 1)
}

fn member(node: usize) -> Member {
    Member { id: bootstrap_member_id(&host(node)), host: host(node) }
}

fn route(number: usize, timeout_s: u64) -> Value {
    json!({
        "hostname": format!("host{}.example", number % 50), "path_prefix": format!("/service{number}/"),
        "route_type": "idempotent", "timeout_s": timeout_s, "target_latency_s": 0.25, "backend": "b",
        "max_attempts": 3, "priority": number % 3,
    })
}

fn document(routes: usize) -> Value {
    let routes: Map<_, _> = (0..routes).map(|number| (format!("route{number}"), route(number, 3))).collect();
    json!({"config_version": 1, "backends": {"b": {}}, "routes": routes})
}

/// What happens at a time.
enum Due {
    /// A call with these messages is over; they arrived, or the call was given up.
    Call { from: usize, to: usize, lane: Lane, arrived: Option<Vec<Envelope>> },
    /// A write is on the disk, or failed; of this life of the member.
    Written { node: usize, life: u32, write: Box<Write> },
}

struct Node {
    replica: Option<Replica>,
    life: u32,
    disk: MemoryLogStore,
    disk_ms: u64,
    writing: VecDeque<Write>,
    /// Version in this life; it only rises.
    version: u64,
}

/// A member's way back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Caught {
    /// From its start until it had all that was acknowledged before its start.
    pub ms: u64,
    /// What was sent to it within that time.
    pub bytes: usize,
    /// A snapshot was needed.
    pub by_snapshot: bool,
}

pub struct Cluster {
    pub now: u64,
    nodes: Vec<Node>,
    due: BTreeMap<(u64, u64), Due>,
    number: u64,
    outboxes: BTreeMap<(usize, usize), Outbox>,
    /// Until when each line is in use, by lane.
    busy: BTreeMap<(usize, usize, Lane), u64>,
    /// Bytes a ms to and from this member; the others' lines have no bound.
    pub thin: Option<(usize, usize)>,
    pub cut: BTreeSet<usize>,
    answers: BTreeMap<(usize, Ticket), Answer>,
    /// Newest version that was acknowledged.
    pub acked: u64,
    sent: BTreeMap<usize, usize>,
    snapshots: BTreeMap<usize, usize>,
    /// Snapshots that went to each, to be sent once more.
    pub kept: Vec<(usize, Envelope)>,
    pub leads: Vec<(usize, u64)>,
    /// Bytes more of each patch.
    pub more: usize,
    seed: u64,
}

impl Cluster {
    /// Three members that lead, with a document of so many routes in force.
    pub fn new(seed: u64, routes: usize) -> Cluster {
        Cluster::large(seed, routes, 0)
    }

    /// The same; the document has so many bytes more, in a member of no meaning.
    pub fn large(seed: u64, routes: usize, more: usize) -> Cluster {
        let node = |_| Node {
            replica: None,
            life: 0,
            disk: MemoryLogStore::new(),
            disk_ms: 3,
            writing: VecDeque::new(),
            version: 0,
        };
        let mut world = Cluster {
            now: 1_000,
            nodes: (0..MEMBERS).map(node).collect(),
            due: BTreeMap::new(),
            number: 0,
            outboxes: BTreeMap::new(),
            busy: BTreeMap::new(),
            thin: None,
            cut: BTreeSet::new(),
            answers: BTreeMap::new(),
            acked: 0,
            sent: BTreeMap::new(),
            snapshots: BTreeMap::new(),
            kept: Vec::new(),
            leads: Vec::new(),
            more: 0,
            seed,
        };
        (0..MEMBERS).for_each(|node| world.start(node));
        let mut first = document(routes);
        assert!(world.until(5_000, |world| world.leader().is_some()), "seed {seed}: no leader");
        if more > 0 {
            first["note"] = "x".repeat(more).into();
        }
        world.order(false, 0, &first, 1);
        assert_eq!(world.acked, 1, "seed {seed}");
        world
    }

    pub fn replica(&self, node: usize) -> Option<&Replica> {
        self.nodes[node].replica.as_ref()
    }

    pub fn version(&self, node: usize) -> u64 {
        self.replica(node).map_or(0, |replica| replica.state().version())
    }

    pub fn leader(&self) -> Option<usize> {
        let sure = |node: &usize| {
            self.replica(*node).is_some_and(|replica| {
                replica.leader_state().is_some()
                    && replica.consensus().quorum_age(self.now).is_some_and(|age| age < 350)
            })
        };
        (0..MEMBERS).filter(|node| !self.cut.contains(node)).find(sure)
    }

    pub fn followers(&self) -> Vec<usize> {
        let leader = self.leader();
        (0..MEMBERS).filter(|node| Some(*node) != leader).collect()
    }

    // ---- Members ----

    /// A process begins, from its disk where there is something.
    pub fn start(&mut self, node: usize) {
        let place = MemberConfig {
            name: format!("core-{node}"),
            host: host(node),
            zones: BTreeMap::from([("z1".into(), "r1".into())]),
            bounds: Bounds::usual(),
            heartbeat_ms: 1_000,
        };
        let restored = match self.nodes[node].disk.load().expect("readable") {
            Some(kept) => kept.into(),
            None => Restored::bootstrap(member(node), (0..MEMBERS).map(member).collect()),
        };
        let one = &mut self.nodes[node];
        one.life += 1;
        one.version = 0;
        let seed = self.seed * 100 + node as u64 * 10 + u64::from(one.life);
        one.replica = Some(Replica::new(Rc::new(place), restored, Tuning::default(), seed, self.now));
        self.carry_out(node);
    }

    /// It ends between two instructions; what it had written is on its disk.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].replica = None;
        self.nodes[node].writing.clear();
        self.outboxes.retain(|(from, _), _| *from != node);
        self.busy.retain(|(from, ..), _| *from != node);
        let mine = |due: &Due| match due {
            Due::Call { from, .. } => *from == node,
            Due::Written { node: of, .. } => *of == node,
        };
        self.due.retain(|_, due| !mine(due));
    }

    pub fn disk_ms(&mut self, node: usize, ms: u64) {
        self.nodes[node].disk_ms = ms;
    }

    pub fn disk_full(&mut self, node: usize, full: bool) {
        self.nodes[node].disk.fail(full);
    }

    /// Does something at a member and carries out what follows from it.
    fn act<R>(&mut self, node: usize, act: impl FnOnce(&mut Replica, u64) -> R) -> Option<R> {
        let now = self.now;
        let result = act(self.nodes[node].replica.as_mut()?, now);
        self.carry_out(node);
        Some(result)
    }

    fn carry_out(&mut self, node: usize) {
        let Some(replica) = self.nodes[node].replica.as_mut() else { return };
        let effects = replica.take_effects();
        let version = replica.state().version();
        assert!(version >= self.nodes[node].version, "member {node} went back to {version}");
        self.nodes[node].version = version;
        for event in effects.events {
            match event {
                Event::LeadBegun { version, .. } => {
                    assert!(
                        version >= self.acked,
                        "member {node} leads with {version}, {} is lost",
                        self.acked
                    );
                    self.leads.push((node, self.now));
                }
                Event::Diverged { .. } | Event::EntryUnreadable { .. } | Event::SnapshotUnreadable { .. } => {
                    panic!("{event:?}")
                }
                _ => {}
            }
        }
        for (to, envelope) in effects.send {
            let Some(to) = (0..MEMBERS).find(|node| host(*node) == to) else { continue };
            if matches!(envelope.msg, Msg::InstallSnapshot { .. }) {
                *self.snapshots.entry(to).or_default() += 1;
                self.kept.push((to, envelope.clone()));
            }
            self.outboxes.entry((node, to)).or_default().push(envelope);
            self.call(node, to);
        }
        self.answers.extend(effects.answers.into_iter().map(|(ticket, answer)| ((node, ticket), answer)));
        let idle = self.nodes[node].writing.is_empty();
        self.nodes[node].writing.extend(effects.writes);
        if idle {
            self.write(node);
        }
    }

    fn write(&mut self, node: usize) {
        let one = &self.nodes[node];
        let Some(write) = one.writing.front() else { return };
        let (life, write) = (one.life, Box::new(write.clone()));
        self.plan(one.disk_ms, Due::Written { node, life, write });
    }

    fn plan(&mut self, in_ms: u64, due: Due) {
        self.number += 1;
        self.due.insert((self.now + in_ms, self.number), due);
    }

    // ---- Lines ----

    /// Begins the calls that are due to a member.
    fn call(&mut self, from: usize, to: usize) {
        for lane in Lane::ALL {
            let Some(batch) = self.outboxes.entry((from, to)).or_default().next(lane) else { continue };
            let bytes = serde_json::to_vec(&batch.messages).expect("JSON").len();
            let rate =
                self.thin.filter(|(node, _)| [from, to].contains(node)).map_or(usize::MAX, |thin| thin.1);
            // Each lane has half of the line.
            let takes = (bytes / (rate / 2).max(1)) as u64;
            let begins = self.busy.get(&(from, to, lane)).copied().unwrap_or(0).max(self.now);
            let over = begins + takes + 2 * WAY_MS - self.now;
            let dark = self.cut.contains(&from) || self.cut.contains(&to) || self.nodes[to].replica.is_none();
            let fits = over <= batch.timeout_ms && !dark;
            let ends = if fits { over } else { batch.timeout_ms };
            let (way, done) = (ends.saturating_sub(WAY_MS).max(1), ends.max(2));
            if !dark {
                self.busy.insert((from, to, lane), begins.max(self.now + done - 2));
                let part = if fits { bytes } else { bytes.min(rate.saturating_mul(done as usize) / 2) };
                *self.sent.entry(to).or_default() += part;
            }
            let arrived = fits.then_some(batch.messages);
            self.plan(way, Due::Call { from, to, lane, arrived });
        }
    }

    /// Lets the next thing happen, before `end`.
    fn step(&mut self, end: u64) -> bool {
        let wake = |(number, node): (usize, &Node)| Some((node.replica.as_ref()?.next_wake(), number));
        let alarm = self.nodes.iter().enumerate().filter_map(wake).min();
        let event = self.due.first_key_value().map(|(at, _)| at.0);
        let at = alarm.map(|(at, _)| at).into_iter().chain(event).min().unwrap_or(u64::MAX);
        if at > end {
            self.now = end;
            return false;
        }
        self.now = self.now.max(at);
        if event.is_some_and(|event| event <= self.now) {
            if let Some((_, due)) = self.due.pop_first() {
                self.happens(due);
            }
        } else if let Some((_, node)) = alarm {
            self.act(node, Replica::tick);
        }
        true
    }

    fn happens(&mut self, due: Due) {
        match due {
            Due::Call { from, to, lane, arrived } => {
                if let Some(messages) =
                    arrived.filter(|_| !self.cut.contains(&from) && !self.cut.contains(&to))
                {
                    self.act(to, |replica, now| replica.receive(now, messages));
                }
                if let Some(outbox) = self.outboxes.get_mut(&(from, to)) {
                    outbox.done(lane);
                    self.call(from, to);
                }
            }
            Due::Written { node, life, write } if self.nodes[node].life == life => {
                let one = &mut self.nodes[node];
                one.writing.pop_front();
                let fine = one.disk.write(&write).is_ok() && one.disk.sync();
                self.act(node, |replica, now| replica.written(now, write.ticket, fine));
                self.write(node);
            }
            Due::Written { .. } => {}
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.step(end) {}
    }

    pub fn until(&mut self, ms: u64, holds: impl Fn(&Cluster) -> bool) -> bool {
        let end = self.now + ms;
        while !holds(self) {
            if !self.step(end) {
                return holds(self);
            }
        }
        true
    }

    /// Hands a message to a member as if it had been on its way all the time.
    pub fn deliver(&mut self, to: usize, envelope: Envelope) {
        self.act(to, |replica, now| replica.receive(now, vec![envelope]));
    }

    // ---- Operators ----

    /// An order at the leader, and its answer, where one comes within some seconds.
    fn order(&mut self, patch: bool, base: u64, body: &Value, version: u64) -> bool {
        let Some(leader) = self.leader() else { return false };
        let body = body.to_string().into();
        let change = Change { patch, base: Some(base), body };
        let Some(ticket) = self.act(leader, |replica, now| replica.change_config(now, change)) else {
            return false;
        };
        let key = (leader, ticket);
        self.until(4_000, |world| world.answers.contains_key(&key));
        let taken = self.answers.remove(&key) == Some(Answer::Accepted);
        if taken {
            self.acked = self.acked.max(version);
        }
        taken
    }

    /// Patches one route; whether it was acknowledged.
    pub fn change(&mut self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let base = self.version(leader);
        let number = (base % 7) as usize;
        let mut item = route(number, base + 3);
        if self.more > 0 {
            item["note"] = "x".repeat(self.more).into();
        }
        let body = json!({
            "config_version": base + 1, "upsert": {"routes": {format!("route{number}"): item}},
        });
        self.order(true, base, &body, base + 1)
    }

    /// Patches one after the other.
    pub fn changes(&mut self, count: usize) {
        for _ in 0..count {
            assert!(self.until(8_000, |world| world.leader().is_some()), "seed {}: no leader", self.seed);
            assert!(self.change(), "seed {}: not acknowledged at {} ms", self.seed, self.now);
        }
    }

    /// Starts a member and lets it catch up while a change comes every `every_ms`.
    pub fn come_back(&mut self, node: usize, every_ms: u64, within_ms: u64) -> Option<Caught> {
        self.start(node);
        self.catch_up(node, every_ms, within_ms)
    }

    pub fn catch_up(&mut self, node: usize, every_ms: u64, within_ms: u64) -> Option<Caught> {
        let (begun, wanted) = (self.now, self.acked);
        let (bytes, snapshots) = (self.sent(node), self.snapshots(node));
        let mut next = self.now;
        while self.version(node) < wanted {
            if self.now >= begun + within_ms {
                return None;
            }
            next += every_ms;
            if self.leader().is_some() {
                self.change();
            }
            let left = next.saturating_sub(self.now).max(1);
            self.until(left, |world| world.version(node) >= wanted);
        }
        Some(Caught {
            ms: self.now - begun,
            bytes: self.sent(node) - bytes,
            by_snapshot: self.snapshots(node) > snapshots,
        })
    }

    pub fn sent(&self, node: usize) -> usize {
        self.sent.get(&node).copied().unwrap_or(0)
    }

    pub fn snapshots(&self, node: usize) -> usize {
        self.snapshots.get(&node).copied().unwrap_or(0)
    }

    /// All members come to the same state.
    pub fn converge(&mut self) {
        let same = |world: &Cluster| {
            let newest = world.acked;
            (0..MEMBERS).all(|node| world.version(node) >= newest && world.version(node) == world.version(0))
        };
        assert!(
            self.until(20_000, same),
            "seed {}: versions {:?}",
            self.seed,
            [0, 1, 2].map(|node| self.version(node))
        );
        for node in 1..MEMBERS {
            let state = |node| self.replica(node).map(Replica::state);
            assert_eq!(state(node), state(0), "seed {}", self.seed);
        }
    }
}
