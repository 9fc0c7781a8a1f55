//! A simulated cluster on its own clock: a network that loses, duplicates, delays and blocks messages, disks that lose
//! unsynced writes, and checks on all outputs.

#![allow(dead_code)] // Each test program uses only a part of this module.

use nickeljunction_consensus::{
    bootstrap_member_id, member_id_from_random, Body, Consensus, Envelope, Exclusion, Member, MemberId,
    ReadTicket, Restored, Tuning, Write,
};
use nickeljunction_storage::{LogStore, MemoryLogStore};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Starts a proposed value that sets the exclusions.
const EXCLUSIONS_PREFIX: &str = "away ";

/// A scheduled event at a machine.
enum Event {
    Deliver(Envelope),
    Written { incarnation: u64 },
}

/// One machine.
pub struct Machine {
    pub host: String,
    pub disk: MemoryLogStore,
    pub node: Option<Consensus>,
    /// The replicated state: values by index.
    pub state: Vec<(u64, String)>,
    pub applied: u64,
    pub suspended: bool,
    incarnation: u64,
    inbox: VecDeque<Envelope>,
    writes: VecDeque<Write>,
    writing: bool,
    write_failed: bool,
    proposals: HashMap<u64, String>,
    /// Open reads, with the values that had been acknowledged before each.
    reads: HashMap<ReadTicket, Vec<String>>,
}

/// All machines and the network between them.
pub struct Cluster {
    pub now: u64,
    pub rng: fastrand::Rng,
    pub machines: Vec<Machine>,
    pub seeds: Vec<String>,
    pub tuning: Tuning,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    scheduled: u64,
    /// Sender and receiver of links that pass no messages.
    pub blocked_links: HashSet<(usize, usize)>,
    /// Percentages of messages that are lost, duplicated, and delayed by up to 1.5 s.
    pub loss_percent: u8,
    pub duplicate_percent: u8,
    pub delay_percent: u8,
    /// Longest regular latency of a message and longest write, ms.
    pub max_latency_ms: u64,
    pub max_sync_ms: u64,
    /// Committed entries by index: term and data.
    committed: BTreeMap<u64, (u64, Option<String>)>,
    /// Committed member lists by index.
    member_lists: BTreeMap<u64, Vec<Member>>,
    leaders: HashMap<u64, MemberId>,
    pub acknowledged: Vec<String>,
    pub reads_done: usize,
    pub messages: u64,
    /// Messages are encoded as JSON and decoded again.
    pub encode_messages: bool,
    next_value: u64,
}

fn host(number: usize) -> String {
    format!("10.0.0.{}", number + 1)
}

impl Cluster {
    /// `members` machines at the first start, each of them a seed of the others.
    pub fn new(members: usize, seed: u64) -> Cluster {
        Cluster::with_tuning(members, seed, Tuning::default())
    }

    /// Like `new`, with other settings.
    pub fn with_tuning(members: usize, seed: u64, tuning: Tuning) -> Cluster {
        let hosts: Vec<String> = (0..members).map(host).collect();
        let mut cluster = Cluster {
            now: 1_000,
            rng: fastrand::Rng::with_seed(seed),
            machines: Vec::new(),
            seeds: hosts.clone(),
            tuning,
            queue: BTreeMap::new(),
            scheduled: 0,
            blocked_links: HashSet::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            delay_percent: 0,
            max_latency_ms: 2,
            max_sync_ms: 3,
            committed: BTreeMap::new(),
            member_lists: BTreeMap::new(),
            leaders: HashMap::new(),
            acknowledged: Vec::new(),
            reads_done: 0,
            messages: 0,
            encode_messages: true,
            next_value: 0,
        };
        let list: Vec<Member> =
            hosts.iter().map(|host| Member { id: bootstrap_member_id(host), host: host.clone() }).collect();
        for member in &list {
            let number = cluster.add_machine();
            cluster.boot(number, Restored::bootstrap(member.clone(), list.clone()));
        }
        cluster
    }

    /// Adds a machine without starting it.
    pub fn add_machine(&mut self) -> usize {
        self.machines.push(Machine {
            host: host(self.machines.len()),
            disk: MemoryLogStore::new(),
            node: None,
            state: Vec::new(),
            applied: 0,
            suspended: false,
            incarnation: 0,
            inbox: VecDeque::new(),
            writes: VecDeque::new(),
            writing: false,
            write_failed: false,
            proposals: HashMap::new(),
            reads: HashMap::new(),
        });
        self.machines.len() - 1
    }

    fn boot(&mut self, number: usize, restored: Restored) {
        let seed = self.rng.u64(..);
        let (now, tuning, seeds) = (self.now, self.tuning, self.seeds.clone());
        let machine = &mut self.machines[number];
        machine.incarnation += 1;
        (machine.suspended, machine.writing, machine.applied) = (false, false, 0);
        machine.state.clear();
        let mut node = Consensus::new(restored, tuning, seed, now);
        node.add_seed_hosts(&seeds);
        machine.node = Some(node);
        self.process_outputs(number);
    }

    /// Starts a machine from its disk.
    pub fn start(&mut self, number: usize) {
        let restored = match self.machines[number].disk.load().unwrap() {
            Some(kept) => kept.into(),
            None => {
                let id = member_id_from_random(self.rng.u64(..));
                Restored::joining(Member { id, host: self.machines[number].host.clone() })
            }
        };
        self.boot(number, restored);
    }

    /// Kills a process; the disk keeps all writes, synced or not.
    pub fn kill(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        machine.node = None;
        machine.inbox.clear();
        machine.writes.clear();
        machine.proposals.clear();
        machine.reads.clear();
        machine.disk.fail(false);
        machine.disk.hang(false);
        machine.disk.sync();
    }

    /// Cuts the power of a machine; of the unsynced writes none or only the first survives.
    pub fn lose_power(&mut self, number: usize) {
        let survive = self.rng.usize(0..2);
        self.lose_power_keeping(number, survive);
    }

    /// Cuts the power of a machine; of the unsynced writes the first `survive` ones survive.
    pub fn lose_power_keeping(&mut self, number: usize, survive: usize) {
        self.machines[number].disk.lose_power(survive);
        self.kill(number);
    }

    pub fn wipe(&mut self, number: usize) {
        self.kill(number);
        self.machines[number].disk.wipe();
    }

    /// Blocks or unblocks the link between two machines, in one direction.
    pub fn set_link_blocked(&mut self, from: usize, to: usize, blocked: bool) {
        if blocked {
            self.blocked_links.insert((from, to));
        } else {
            self.blocked_links.remove(&(from, to));
        }
    }

    /// Blocks the links between a machine and all others, in the given directions.
    pub fn isolate(&mut self, number: usize, outward: bool, inward: bool) {
        for other in (0..self.machines.len()).filter(|other| *other != number) {
            if outward {
                self.set_link_blocked(number, other, true);
            }
            if inward {
                self.set_link_blocked(other, number, true);
            }
        }
    }

    pub fn resume(&mut self, number: usize) {
        let now = self.now;
        let machine = &mut self.machines[number];
        machine.suspended = false;
        let inbox = std::mem::take(&mut machine.inbox);
        if machine.node.is_none() {
            return;
        }
        // A resumed process may look at the clock or at its messages first.
        if self.rng.bool() {
            if let Some(node) = &mut self.machines[number].node {
                node.tick(now);
            }
            self.process_outputs(number);
        }
        for envelope in inbox {
            self.deliver(number, envelope);
        }
    }

    fn deliver(&mut self, number: usize, envelope: Envelope) {
        let now = self.now;
        if let Some(node) = &mut self.machines[number].node {
            node.step(now, envelope);
        }
        self.process_outputs(number);
    }

    /// Proposes a new value.
    pub fn propose(&mut self, number: usize) -> Option<String> {
        let value = format!("v{}", self.next_value);
        self.propose_value(number, value)
    }

    /// Proposes a new value of at least this size.
    pub fn propose_long(&mut self, number: usize, bytes: usize) -> Option<String> {
        let value = format!("v{}-{}", self.next_value, "x".repeat(bytes));
        self.propose_value(number, value)
    }

    fn propose_value(&mut self, number: usize, value: String) -> Option<String> {
        let now = self.now;
        let machine = &mut self.machines[number];
        let node = machine.node.as_mut().filter(|_| !machine.suspended)?;
        let proposed = node.propose(now, value.clone()).ok();
        if let Some(index) = proposed {
            self.next_value += 1;
            machine.proposals.insert(index, value.clone());
        }
        self.process_outputs(number);
        proposed.map(|_| value)
    }

    pub fn read(&mut self, number: usize) {
        let now = self.now;
        let acknowledged = self.acknowledged.clone();
        let machine = &mut self.machines[number];
        let Some(node) = machine.node.as_mut().filter(|_| !machine.suspended) else { return };
        if let Ok(ticket) = node.read(now) {
            machine.reads.insert(ticket, acknowledged);
        }
        self.process_outputs(number);
    }

    /// Processes the outputs of a machine's consensus and checks them.
    fn process_outputs(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let Some(node) = &mut machine.node else { return };
        let out = node.take_outputs();
        if node.is_leader() {
            let previous = self.leaders.insert(node.term(), node.me().id);
            assert!(previous.is_none_or(|id| id == node.me().id), "two leaders in term {}", node.term());
        }
        let state_changed = out.restored_state.is_some() || !out.committed.is_empty();
        if let Some(snapshot) = out.restored_state {
            assert!(snapshot.index >= machine.applied, "the state goes back");
            machine.applied = snapshot.index;
            machine.state = serde_json::from_str(&snapshot.state).unwrap();
        }
        for entry in out.committed {
            assert_eq!(entry.index, machine.applied + 1, "a gap in the committed entries");
            machine.applied = entry.index;
            let content = (entry.term, entry.data().map(str::to_owned));
            let first = self.committed.entry(entry.index).or_insert_with(|| content.clone());
            assert_eq!(*first, content, "index {} differs on {}", entry.index, machine.host);
            if let Body::Members(members) = &entry.body {
                self.member_lists.insert(entry.index, members.clone());
            }
            if let Body::Data(value) = entry.body {
                if machine.proposals.remove(&entry.index).is_some_and(|proposed| proposed == value) {
                    self.acknowledged.push(value.clone());
                }
                machine.state.push((entry.index, value));
            }
        }
        for index in out.unresolved {
            assert!(
                machine.proposals.remove(&index).is_some(),
                "an unresolved index that wasn't proposed here"
            );
        }
        for (ticket, ready) in out.reads {
            let acknowledged = machine.reads.remove(&ticket).unwrap();
            if ready {
                self.reads_done += 1;
                let seen: HashSet<&String> = machine.state.iter().map(|(_, value)| value).collect();
                assert!(
                    acknowledged.iter().all(|value| seen.contains(value)),
                    "a read on {} returned stale state",
                    machine.host
                );
            }
        }
        // The newest value with exclusions in the log is in force, as operators' orders are.
        if state_changed {
            let newest =
                machine.state.iter().rev().find_map(|(_, value)| value.strip_prefix(EXCLUSIONS_PREFIX));
            let exclusions: Vec<Exclusion> =
                newest.map_or_else(Vec::new, |value| serde_json::from_str(value).unwrap());
            node.set_exclusions(exclusions);
        }
        if machine.applied % 40 == 39 {
            let state = serde_json::to_string(&machine.state).unwrap();
            node.snapshot(self.now, machine.applied, state);
        }
        machine.writes.extend(out.writes);
        for (to, envelope) in out.send {
            self.send(number, &to, envelope);
        }
        self.write(number);
    }

    fn send(&mut self, from: usize, to: &str, envelope: Envelope) {
        self.messages += 1;
        // Scenarios with very many runs skip the encoding to save time.
        let envelope = if self.encode_messages {
            serde_json::from_str(&serde_json::to_string(&envelope).unwrap()).unwrap()
        } else {
            envelope
        };
        let Some(to) = self.machines.iter().position(|machine| machine.host == to) else { return };
        let copies = 1 + u8::from(self.rng.u8(..100) < self.duplicate_percent);
        for _ in 0..copies {
            if self.blocked_links.contains(&(from, to)) || self.rng.u8(..100) < self.loss_percent {
                continue;
            }
            let delay = if self.rng.u8(..100) < self.delay_percent { self.rng.u64(..1_500) } else { 0 };
            let at = self.now + self.rng.u64(1..=self.max_latency_ms) + delay;
            self.schedule(at, to, Event::Deliver(envelope.clone()));
        }
    }

    fn schedule(&mut self, at: u64, number: usize, event: Event) {
        self.scheduled += 1;
        self.queue.insert((at, self.scheduled), (number, event));
    }

    /// Starts the next write of a machine.
    fn write(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        if machine.writing || machine.node.is_none() {
            return;
        }
        let Some(write) = machine.writes.front() else { return };
        // A failure, too, is reported only when the write ends.
        machine.write_failed = machine.disk.write(write).is_err();
        machine.writing = true;
        let (incarnation, at) = (machine.incarnation, self.now + self.rng.u64(1..=self.max_sync_ms));
        self.schedule(at, number, Event::Written { incarnation });
    }

    fn written(&mut self, number: usize, incarnation: u64) {
        let now = self.now;
        let machine = &mut self.machines[number];
        if machine.incarnation != incarnation || machine.node.is_none() {
            return;
        }
        if machine.suspended || machine.disk.hangs() {
            return self.schedule(now + 10, number, Event::Written { incarnation });
        }
        machine.writing = false;
        let write = machine.writes.pop_front().unwrap();
        machine.disk.sync();
        let node = machine.node.as_mut().unwrap();
        if !machine.write_failed {
            node.written(now, write.ticket);
        } else {
            node.write_failed(now, write.ticket);
        }
        self.process_outputs(number);
    }

    /// Runs the cluster for `ms`.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.next_event(end) {}
    }

    /// Runs the next event if there is one before `end`; otherwise moves the clock to `end` and returns false.
    pub fn next_event(&mut self, end: u64) -> bool {
        let running = |machine: &&Machine| !machine.suspended;
        let next_wakes = self
            .machines
            .iter()
            .filter(running)
            .filter_map(|machine| Some(machine.node.as_ref()?.next_wake()));
        let next_event = self.queue.keys().next().map(|(at, _)| *at);
        let next = next_wakes.chain(next_event).min().map(|at| at.max(self.now));
        let Some(next) = next.filter(|next| *next <= end) else {
            self.now = end;
            return false;
        };
        self.now = next;
        if next_event.is_some_and(|at| at <= next) {
            let (_, (number, event)) = self.queue.pop_first().unwrap();
            match event {
                Event::Written { incarnation } => self.written(number, incarnation),
                Event::Deliver(envelope) if self.machines[number].suspended => {
                    self.machines[number].inbox.push_back(envelope);
                }
                Event::Deliver(envelope) => self.deliver(number, envelope),
            }
            return true;
        }
        for number in 0..self.machines.len() {
            let machine = &mut self.machines[number];
            let Some(node) = machine.node.as_mut().filter(|_| !machine.suspended) else { continue };
            if node.next_wake() <= next {
                node.tick(next);
                self.process_outputs(number);
                let node = self.machines[number].node.as_ref().unwrap();
                assert!(node.next_wake() > next, "{} is due again at once after a tick", node.me().host);
            }
        }
        true
    }

    /// The process on a machine resigns; the caller ends it by [`Cluster::kill`].
    pub fn resign(&mut self, number: usize) {
        let now = self.now;
        if let Some(node) = &mut self.machines[number].node {
            node.resign(now);
            self.process_outputs(number);
        }
    }

    /// The process on a machine announces that it is about to stop, and waits to be replaced.
    pub fn leave(&mut self, number: usize) {
        let now = self.now;
        if let Some(node) = &mut self.machines[number].node {
            node.leave(now);
            self.process_outputs(number);
        }
    }

    /// The newest committed member list; none while the first one is in force.
    pub fn committed_members(&self) -> Option<&Vec<Member>> {
        self.member_lists.last_key_value().map(|(_, members)| members)
    }

    /// The newest committed index, and its term.
    pub fn newest_commit(&self) -> Option<(u64, u64)> {
        self.committed.last_key_value().map(|(index, (term, _))| (*index, *term))
    }

    /// This entry is in the synced part of a machine's disk.
    pub fn has_synced(&self, number: usize, (index, term): (u64, u64)) -> bool {
        let Some(kept) = self.machines[number].disk.synced() else { return false };
        kept.snapshot.as_ref().is_some_and(|snapshot| snapshot.index >= index)
            || kept.entries.iter().any(|entry| (entry.index, entry.term) == (index, term))
    }

    /// The machine that leads in the newest term and accepts proposals.
    pub fn leader(&self) -> Option<usize> {
        let ready = |number: &usize| self.machines[*number].node.as_ref().is_some_and(Consensus::ready);
        (0..self.machines.len()).filter(ready).max_by_key(|number| self.node(*number).term())
    }

    pub fn node(&self, number: usize) -> &Consensus {
        self.machines[number].node.as_ref().unwrap()
    }

    /// Waits for a leader that is ready and has a majority.
    pub fn wait_for_leader(&mut self, ms: u64) -> usize {
        for _ in 0..ms / 10 {
            if let Some(leader) = self.leader() {
                if self.node(leader).quorum_age(self.now).is_some_and(|age| age < 200) {
                    return leader;
                }
            }
            self.run(10);
        }
        panic!("no leader within {ms} ms: {}", self.describe());
    }

    /// Proposes values at the leader until one is acknowledged.
    pub fn commit(&mut self, ms: u64) -> String {
        let end = self.now + ms;
        while self.now < end {
            let leader = self.wait_for_leader(ms);
            if let Some(value) = self.propose(leader) {
                for _ in 0..50 {
                    self.run(2);
                    if self.acknowledged.contains(&value) {
                        return value;
                    }
                }
            }
            self.run(10);
        }
        panic!("nothing committed within {ms} ms");
    }

    /// Commits exclusions: each names a machine and, if any, the one that has to be a member first.
    pub fn commit_exclusions(&mut self, exclusions: &[(usize, Option<usize>)]) {
        let value = self.exclusions_value(exclusions);
        for _ in 0..40 {
            let leader = self.wait_for_leader(3_000);
            if self.propose_value(leader, value.clone()).is_some() {
                self.run(100);
                // Proposing the value again is harmless, as it sets the same exclusions.
                if self.acknowledged.contains(&value) {
                    return;
                }
            }
            self.run(20);
        }
        panic!("the exclusions were not committed: {}", self.describe());
    }

    fn exclusions_value(&self, exclusions: &[(usize, Option<usize>)]) -> String {
        let host = |number: usize| self.machines[number].host.clone();
        let exclusions: Vec<Exclusion> = exclusions
            .iter()
            .map(|(excluded, after)| Exclusion { host: host(*excluded), after: after.map(host) })
            .collect();
        format!("{EXCLUSIONS_PREFIX}{}", serde_json::to_string(&exclusions).unwrap())
    }

    /// Proposes exclusions at a leader without waiting for the commit.
    pub fn propose_exclusions(&mut self, leader: usize, exclusions: &[(usize, Option<usize>)]) {
        let value = self.exclusions_value(exclusions);
        self.propose_value(leader, value);
    }

    /// Machine numbers of the members, by the leader's log.
    pub fn members(&self) -> Vec<usize> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let number = |member: &Member| self.machines.iter().position(|m| m.host == member.host).unwrap();
        let mut members: Vec<usize> = self.node(leader).members().iter().map(number).collect();
        members.sort_unstable();
        members
    }

    /// Waits until exactly these are members, and one of them leads.
    pub fn wait_for_members(&mut self, ms: u64, wanted: &[usize]) {
        for _ in 0..ms / 20 {
            if self.members() == wanted && self.leader().is_some_and(|leader| wanted.contains(&leader)) {
                return;
            }
            self.run(20);
        }
        panic!("{wanted:?} are not the members within {ms} ms: {}", self.describe());
    }

    /// Asserts that all acknowledged values are in this machine's state.
    pub fn assert_has_acknowledged(&self, number: usize) {
        let seen: HashSet<&String> = self.machines[number].state.iter().map(|(_, value)| value).collect();
        for value in &self.acknowledged {
            assert!(
                seen.contains(value),
                "{value} was acknowledged but is missing on {}",
                self.machines[number].host
            );
        }
    }

    /// Every running machine is a member under its current number, all have the same list, and no replacement is in
    /// progress.
    pub fn all_running_are_members(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let members = self.node(leader).members();
        let running: Vec<&Consensus> =
            self.machines.iter().filter_map(|machine| machine.node.as_ref()).collect();
        let agrees = |node: &&Consensus| {
            members.contains(node.me()) && node.members() == members && !node.is_replacing()
        };
        members.len() == running.len() && running.iter().all(agrees)
    }

    /// Waits until [`Cluster::all_running_are_members`].
    pub fn wait_until_all_are_members(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            if self.all_running_are_members() {
                return;
            }
            self.run(20);
        }
        panic!("not all are members within {ms} ms: {}", self.describe());
    }

    /// Each machine's view of itself and the cluster, for panic messages.
    pub fn describe(&self) -> String {
        let view = |node: &Consensus| {
            let ids: Vec<_> =
                node.members().iter().map(|member| (member.id % 10_000, &member.host)).collect();
            let me = (node.me().id % 10_000, &node.me().host);
            format!(
                "{me:?} term {} leads {} disk failed {} members {ids:?}",
                node.term(),
                node.is_leader(),
                node.disk_failed()
            )
        };
        let views: Vec<String> =
            self.machines.iter().filter_map(|machine| machine.node.as_ref().map(view)).collect();
        views.join("; ")
    }
}
