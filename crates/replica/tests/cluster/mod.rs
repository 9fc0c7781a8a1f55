//! Three members on a simulated clock, with slow disks and links of a given rate: one is down for a while and catches up
//! while changes go on. Used by the tests and by the example `catch_up`.

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
/// One-way latency, ms.
const ONE_WAY_MS: u64 = 2;

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

/// A scheduled event.
enum Due {
    /// A call with messages ends. `arrived`: the messages, or `None` if the call has timed out.
    Call { from: usize, to: usize, lane: Lane, arrived: Option<Vec<Envelope>> },
    /// A write of this run of the member's process ends.
    Written { node: usize, run: u32, write: Box<Write> },
}

struct Node {
    replica: Option<Replica>,
    run: u32,
    disk: MemoryLogStore,
    disk_ms: u64,
    writing: VecDeque<Write>,
    /// Version in this run; it only rises.
    version: u64,
}

/// How a member caught up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CatchUp {
    /// From the start until the member had every change acknowledged before, ms.
    pub ms: u64,
    /// Bytes sent to it in that time.
    pub bytes: usize,
    /// Whether a snapshot was sent.
    pub by_snapshot: bool,
}

pub struct Cluster {
    pub now: u64,
    nodes: Vec<Node>,
    /// Scheduled events by time and sequence number.
    due: BTreeMap<(u64, u64), Due>,
    last_number: u64,
    outboxes: BTreeMap<(usize, usize), Outbox>,
    /// Until when each link is in use, by lane.
    busy: BTreeMap<(usize, usize, Lane), u64>,
    /// A member and the rate of its links, bytes per ms; the other links are unlimited.
    pub slow_link: Option<(usize, usize)>,
    /// Members without links to the others.
    pub cut: BTreeSet<usize>,
    answers: BTreeMap<(usize, Ticket), Answer>,
    /// Newest acknowledged version.
    pub acked: u64,
    sent: BTreeMap<usize, usize>,
    snapshots: BTreeMap<usize, usize>,
    /// Snapshots that were sent, by receiver, for tests that deliver them again.
    pub sent_snapshots: Vec<(usize, Envelope)>,
    /// Members that became the leader, and when.
    pub leads: Vec<(usize, u64)>,
    /// Bytes of padding in each patch.
    pub padding: usize,
    seed: u64,
}

impl Cluster {
    /// Three members with a leader, and a document with this many routes in force.
    pub fn new(seed: u64, routes: usize) -> Cluster {
        Cluster::large(seed, routes, 0)
    }

    /// As [`Cluster::new`], with this many bytes of padding in the document.
    pub fn large(seed: u64, routes: usize, padding: usize) -> Cluster {
        let node = |_| Node {
            replica: None,
            run: 0,
            disk: MemoryLogStore::new(),
            disk_ms: 3,
            writing: VecDeque::new(),
            version: 0,
        };
        let mut cluster = Cluster {
            now: 1_000,
            nodes: (0..MEMBERS).map(node).collect(),
            due: BTreeMap::new(),
            last_number: 0,
            outboxes: BTreeMap::new(),
            busy: BTreeMap::new(),
            slow_link: None,
            cut: BTreeSet::new(),
            answers: BTreeMap::new(),
            acked: 0,
            sent: BTreeMap::new(),
            snapshots: BTreeMap::new(),
            sent_snapshots: Vec::new(),
            leads: Vec::new(),
            padding: 0,
            seed,
        };
        (0..MEMBERS).for_each(|node| cluster.start(node));
        let mut first = document(routes);
        assert!(cluster.until(5_000, |cluster| cluster.leader().is_some()), "seed {seed}: no leader");
        if padding > 0 {
            first["note"] = "x".repeat(padding).into();
        }
        cluster.send_change(false, 0, &first, 1);
        assert_eq!(cluster.acked, 1, "seed {seed}");
        cluster
    }

    pub fn replica(&self, node: usize) -> Option<&Replica> {
        self.nodes[node].replica.as_ref()
    }

    pub fn version(&self, node: usize) -> u64 {
        self.replica(node).map_or(0, |replica| replica.state().version())
    }

    pub fn leader(&self) -> Option<usize> {
        let has_lease = |node: &usize| {
            self.replica(*node).is_some_and(|replica| {
                replica.leader_state().is_some()
                    && replica.consensus().quorum_age(self.now).is_some_and(|age| age < 350)
            })
        };
        (0..MEMBERS).filter(|node| !self.cut.contains(node)).find(has_lease)
    }

    pub fn followers(&self) -> Vec<usize> {
        let leader = self.leader();
        (0..MEMBERS).filter(|node| Some(*node) != leader).collect()
    }

    // ---- Members ----

    /// Starts the process from its disk, if there is anything on it.
    pub fn start(&mut self, node: usize) {
        let config = MemberConfig {
            name: format!("core-{node}"),
            host: host(node),
            zones: BTreeMap::from([("z1".into(), "r1".into())]),
            bounds: Bounds::usual(),
            heartbeat_ms: 1_000,
        };
        let restored = match self.nodes[node].disk.load().expect("readable") {
            Some(stored) => stored.into(),
            None => Restored::bootstrap(member(node), (0..MEMBERS).map(member).collect()),
        };
        let member = &mut self.nodes[node];
        member.run += 1;
        member.version = 0;
        let seed = self.seed * 100 + node as u64 * 10 + u64::from(member.run);
        member.replica = Some(Replica::new(Rc::new(config), restored, Tuning::default(), seed, self.now));
        self.carry_out(node);
    }

    /// Ends the process; what it has written is on its disk.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].replica = None;
        self.nodes[node].writing.clear();
        self.outboxes.retain(|(from, _), _| *from != node);
        self.busy.retain(|(from, ..), _| *from != node);
        let is_own = |due: &Due| match due {
            Due::Call { from, .. } => *from == node,
            Due::Written { node: owner, .. } => *owner == node,
        };
        self.due.retain(|_, due| !is_own(due));
    }

    pub fn disk_ms(&mut self, node: usize, ms: u64) {
        self.nodes[node].disk_ms = ms;
    }

    pub fn disk_full(&mut self, node: usize, full: bool) {
        self.nodes[node].disk.fail(full);
    }

    /// Runs `act` on a member and carries out the effects.
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
                        "member {node} leads with version {version}, the acknowledged {} is lost",
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
                self.sent_snapshots.push((to, envelope.clone()));
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
        let member = &self.nodes[node];
        let Some(write) = member.writing.front() else { return };
        let (run, write) = (member.run, Box::new(write.clone()));
        self.schedule(member.disk_ms, Due::Written { node, run, write });
    }

    fn schedule(&mut self, in_ms: u64, due: Due) {
        self.last_number += 1;
        self.due.insert((self.now + in_ms, self.last_number), due);
    }

    // ---- Links ----

    /// Starts the calls to a member that are due.
    fn call(&mut self, from: usize, to: usize) {
        for lane in Lane::ALL {
            let Some(batch) = self.outboxes.entry((from, to)).or_default().next(lane) else { continue };
            let bytes = serde_json::to_vec(&batch.messages).expect("JSON").len();
            let rate = self
                .slow_link
                .filter(|(node, _)| [from, to].contains(node))
                .map_or(usize::MAX, |slow_link| slow_link.1);
            // Each lane gets half of the link.
            let transfer_ms = (bytes / (rate / 2).max(1)) as u64;
            let begins = self.busy.get(&(from, to, lane)).copied().unwrap_or(0).max(self.now);
            let duration = begins + transfer_ms + 2 * ONE_WAY_MS - self.now;
            let is_unreachable =
                self.cut.contains(&from) || self.cut.contains(&to) || self.nodes[to].replica.is_none();
            let fits = duration <= batch.timeout_ms && !is_unreachable;
            let ends = if fits { duration } else { batch.timeout_ms };
            let (arrives_in, done) = (ends.saturating_sub(ONE_WAY_MS).max(1), ends.max(2));
            if !is_unreachable {
                self.busy.insert((from, to, lane), begins.max(self.now + done - 2));
                let sent = if fits { bytes } else { bytes.min(rate.saturating_mul(done as usize) / 2) };
                *self.sent.entry(to).or_default() += sent;
            }
            let arrived = fits.then_some(batch.messages);
            self.schedule(arrives_in, Due::Call { from, to, lane, arrived });
        }
    }

    /// Handles the next event before `end`; false if there is none.
    fn step(&mut self, end: u64) -> bool {
        let wake = |(number, node): (usize, &Node)| Some((node.replica.as_ref()?.next_wake(), number));
        let next_tick = self.nodes.iter().enumerate().filter_map(wake).min();
        let event = self.due.first_key_value().map(|(at, _)| at.0);
        let at = next_tick.map(|(at, _)| at).into_iter().chain(event).min().unwrap_or(u64::MAX);
        if at > end {
            self.now = end;
            return false;
        }
        self.now = self.now.max(at);
        if event.is_some_and(|event| event <= self.now) {
            if let Some((_, due)) = self.due.pop_first() {
                self.handle(due);
            }
        } else if let Some((_, node)) = next_tick {
            self.act(node, Replica::tick);
        }
        true
    }

    fn handle(&mut self, due: Due) {
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
            Due::Written { node, run, write } if self.nodes[node].run == run => {
                let member = &mut self.nodes[node];
                member.writing.pop_front();
                let succeeded = member.disk.write(&write).is_ok() && member.disk.sync();
                self.act(node, |replica, now| replica.written(now, write.ticket, succeeded));
                self.write(node);
            }
            Due::Written { .. } => {}
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.step(end) {}
    }

    pub fn until(&mut self, ms: u64, condition: impl Fn(&Cluster) -> bool) -> bool {
        let end = self.now + ms;
        while !condition(self) {
            if !self.step(end) {
                return condition(self);
            }
        }
        true
    }

    /// Delivers a message to a member as if it had been delayed.
    pub fn deliver(&mut self, to: usize, envelope: Envelope) {
        self.act(to, |replica, now| replica.receive(now, vec![envelope]));
    }

    // ---- Operators ----

    /// Sends a change to the leader; whether it is accepted within some seconds.
    fn send_change(&mut self, patch: bool, base: u64, body: &Value, version: u64) -> bool {
        let Some(leader) = self.leader() else { return false };
        let body = body.to_string().into();
        let change = Change { patch, base: Some(base), body };
        let Some(ticket) = self.act(leader, |replica, now| replica.change_config(now, change)) else {
            return false;
        };
        let key = (leader, ticket);
        self.until(4_000, |cluster| cluster.answers.contains_key(&key));
        let is_accepted = self.answers.remove(&key) == Some(Answer::Accepted);
        if is_accepted {
            self.acked = self.acked.max(version);
        }
        is_accepted
    }

    /// Patches one route; whether it is acknowledged.
    pub fn change(&mut self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let base = self.version(leader);
        let number = (base % 7) as usize;
        let mut item = route(number, base + 3);
        if self.padding > 0 {
            item["note"] = "x".repeat(self.padding).into();
        }
        let body = json!({
            "config_version": base + 1, "upsert": {"routes": {format!("route{number}"): item}},
        });
        self.send_change(true, base, &body, base + 1)
    }

    /// Makes this many changes, one after the other.
    pub fn changes(&mut self, count: usize) {
        for _ in 0..count {
            assert!(self.until(8_000, |cluster| cluster.leader().is_some()), "seed {}: no leader", self.seed);
            assert!(self.change(), "seed {}: not acknowledged at {} ms", self.seed, self.now);
        }
    }

    /// Starts a member and lets it catch up while a change is made every `every_ms`; `None`: not within `within_ms`.
    pub fn restart_and_catch_up(&mut self, node: usize, every_ms: u64, within_ms: u64) -> Option<CatchUp> {
        self.start(node);
        self.catch_up(node, every_ms, within_ms)
    }

    pub fn catch_up(&mut self, node: usize, every_ms: u64, within_ms: u64) -> Option<CatchUp> {
        let (began, wanted) = (self.now, self.acked);
        let (bytes, snapshots) = (self.sent(node), self.snapshots(node));
        let mut next = self.now;
        while self.version(node) < wanted {
            if self.now >= began + within_ms {
                return None;
            }
            next += every_ms;
            if self.leader().is_some() {
                self.change();
            }
            let left = next.saturating_sub(self.now).max(1);
            self.until(left, |cluster| cluster.version(node) >= wanted);
        }
        Some(CatchUp {
            ms: self.now - began,
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

    /// Waits until all members have the same state.
    pub fn converge(&mut self) {
        let is_same = |cluster: &Cluster| {
            let newest = cluster.acked;
            (0..MEMBERS)
                .all(|node| cluster.version(node) >= newest && cluster.version(node) == cluster.version(0))
        };
        assert!(
            self.until(20_000, is_same),
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
