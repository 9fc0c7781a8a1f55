//! A cluster of members on a clock of its own: a network that loses, doubles, delays and is cut, disks that lose what
//! wasn't synced, and checks on everything that comes out.

#![allow(dead_code)] // Each test program uses a part of it.

use nickeljunction_consensus::{
    bootstrap_member_id, member_id_from_random, Body, Consensus, Envelope, Exclusion, Member, MemberId,
    ReadTicket, Restored, Tuning, Write,
};
use nickeljunction_storage::{LogStore, MemoryLogStore};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Begins a value that says who is to stay away.
const AWAY: &str = "away ";

/// What happens to a machine at a time.
enum Event {
    Deliver(Envelope),
    Written { life: u64 },
}

/// One machine.
pub struct Machine {
    pub host: String,
    pub disk: MemoryLogStore,
    pub book: Option<Consensus>,
    /// What its state machine holds: values by index.
    pub state: Vec<(u64, String)>,
    pub applied: u64,
    pub frozen: bool,
    life: u64,
    mail: VecDeque<Envelope>,
    writes: VecDeque<Write>,
    writing: bool,
    failed: bool,
    proposals: HashMap<u64, String>,
    /// Reads that wait, with what had been acknowledged before them.
    reads: HashMap<ReadTicket, Vec<String>>,
}

/// All machines and what is between them.
pub struct Cluster {
    pub now: u64,
    pub rng: fastrand::Rng,
    pub machines: Vec<Machine>,
    pub seeds: Vec<String>,
    pub tuning: Tuning,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    sent: u64,
    /// From whom to whom nothing gets through.
    pub cuts: HashSet<(usize, usize)>,
    /// Percent of messages lost, doubled, and delayed by far.
    pub loss: u8,
    pub double: u8,
    pub late: u8,
    /// Longest way of a message and longest write, ms.
    pub way: u64,
    pub sync: u64,
    /// What came out anywhere, by index.
    committed: BTreeMap<u64, (u64, Option<String>)>,
    /// The lists of members among it.
    lists: BTreeMap<u64, Vec<Member>>,
    leaders: HashMap<u64, MemberId>,
    pub acked: Vec<String>,
    pub reads_done: usize,
    pub messages: u64,
    /// Messages are written out as JSON and read again.
    pub wire: bool,
    next_value: u64,
}

fn host(number: usize) -> String {
    format!("10.0.0.{}", number + 1)
}

impl Cluster {
    /// `members` machines at the first start, all of them seeds of each other.
    pub fn new(members: usize, seed: u64) -> Cluster {
        Cluster::tuned(members, seed, Tuning::default())
    }

    /// The same, with other times.
    pub fn tuned(members: usize, seed: u64, tuning: Tuning) -> Cluster {
        let hosts: Vec<String> = (0..members).map(host).collect();
        let mut cluster = Cluster {
            now: 1_000,
            rng: fastrand::Rng::with_seed(seed),
            machines: Vec::new(),
            seeds: hosts.clone(),
            tuning,
            queue: BTreeMap::new(),
            sent: 0,
            cuts: HashSet::new(),
            loss: 0,
            double: 0,
            late: 0,
            way: 2,
            sync: 3,
            committed: BTreeMap::new(),
            lists: BTreeMap::new(),
            leaders: HashMap::new(),
            acked: Vec::new(),
            reads_done: 0,
            messages: 0,
            wire: true,
            next_value: 0,
        };
        let list: Vec<Member> =
            hosts.iter().map(|host| Member { id: bootstrap_member_id(host), host: host.clone() }).collect();
        for member in &list {
            let number = cluster.add();
            cluster.boot(number, Restored::bootstrap(member.clone(), list.clone()));
        }
        cluster
    }

    /// A machine that isn't started yet.
    pub fn add(&mut self) -> usize {
        self.machines.push(Machine {
            host: host(self.machines.len()),
            disk: MemoryLogStore::new(),
            book: None,
            state: Vec::new(),
            applied: 0,
            frozen: false,
            life: 0,
            mail: VecDeque::new(),
            writes: VecDeque::new(),
            writing: false,
            failed: false,
            proposals: HashMap::new(),
            reads: HashMap::new(),
        });
        self.machines.len() - 1
    }

    fn boot(&mut self, number: usize, restored: Restored) {
        let seed = self.rng.u64(..);
        let (now, tuning, seeds) = (self.now, self.tuning, self.seeds.clone());
        let machine = &mut self.machines[number];
        machine.life += 1;
        (machine.frozen, machine.writing, machine.applied) = (false, false, 0);
        machine.state.clear();
        let mut book = Consensus::new(restored, tuning, seed, now);
        book.add_seed_hosts(&seeds);
        machine.book = Some(book);
        self.take(number);
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

    /// Ends a process; the disk keeps what was written, synced or not.
    pub fn kill(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        machine.book = None;
        machine.mail.clear();
        machine.writes.clear();
        machine.proposals.clear();
        machine.reads.clear();
        machine.disk.fail(false);
        machine.disk.hang(false);
        machine.disk.sync();
    }

    /// Ends a process and takes what its disk hadn't synced, or some of it.
    pub fn lose_power(&mut self, number: usize) {
        let survive = self.rng.usize(0..2);
        self.lose_unsynced(number, survive);
    }

    /// The same; of what wasn't synced the first writes survive.
    pub fn lose_unsynced(&mut self, number: usize, survive: usize) {
        self.machines[number].disk.lose_power(survive);
        self.kill(number);
    }

    pub fn wipe(&mut self, number: usize) {
        self.kill(number);
        self.machines[number].disk.wipe();
    }

    /// Cuts or joins two machines, one way.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cuts.insert((from, to));
        } else {
            self.cuts.remove(&(from, to));
        }
    }

    /// Cuts or joins a machine and all others, one way.
    pub fn cut_off(&mut self, number: usize, outward: bool, inward: bool) {
        for other in (0..self.machines.len()).filter(|other| *other != number) {
            if outward {
                self.cut(number, other, true);
            }
            if inward {
                self.cut(other, number, true);
            }
        }
    }

    pub fn thaw(&mut self, number: usize) {
        let now = self.now;
        let machine = &mut self.machines[number];
        machine.frozen = false;
        let mail = std::mem::take(&mut machine.mail);
        if machine.book.is_none() {
            return;
        }
        // Whether the clock or the mail comes first isn't known.
        if self.rng.bool() {
            if let Some(book) = &mut self.machines[number].book {
                book.tick(now);
            }
            self.take(number);
        }
        for envelope in mail {
            self.give(number, envelope);
        }
    }

    fn give(&mut self, number: usize, envelope: Envelope) {
        let now = self.now;
        if let Some(book) = &mut self.machines[number].book {
            book.step(now, envelope);
        }
        self.take(number);
    }

    /// Proposes a new value.
    pub fn propose(&mut self, number: usize) -> Option<String> {
        let value = format!("v{}", self.next_value);
        self.propose_value(number, value)
    }

    /// The same, with a value of at least so many bytes.
    pub fn propose_long(&mut self, number: usize, bytes: usize) -> Option<String> {
        let value = format!("v{}-{}", self.next_value, "x".repeat(bytes));
        self.propose_value(number, value)
    }

    fn propose_value(&mut self, number: usize, value: String) -> Option<String> {
        let now = self.now;
        let machine = &mut self.machines[number];
        let book = machine.book.as_mut().filter(|_| !machine.frozen)?;
        let proposed = book.propose(now, value.clone()).ok();
        if let Some(index) = proposed {
            self.next_value += 1;
            machine.proposals.insert(index, value.clone());
        }
        self.take(number);
        proposed.map(|_| value)
    }

    pub fn read(&mut self, number: usize) {
        let now = self.now;
        let acked = self.acked.clone();
        let machine = &mut self.machines[number];
        let Some(book) = machine.book.as_mut().filter(|_| !machine.frozen) else { return };
        if let Ok(ticket) = book.read(now) {
            machine.reads.insert(ticket, acked);
        }
        self.take(number);
    }

    /// Does what a machine's consensus asks for, and checks it.
    fn take(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let Some(book) = &mut machine.book else { return };
        let out = book.take_outputs();
        if book.is_leader() {
            let before = self.leaders.insert(book.term(), book.me().id);
            assert!(before.is_none_or(|id| id == book.me().id), "two leaders in term {}", book.term());
        }
        let news = out.restored_state.is_some() || !out.committed.is_empty();
        if let Some(snapshot) = out.restored_state {
            assert!(snapshot.index >= machine.applied, "the state goes back");
            machine.applied = snapshot.index;
            machine.state = serde_json::from_str(&snapshot.state).unwrap();
        }
        for entry in out.committed {
            assert_eq!(entry.index, machine.applied + 1, "a gap in what was committed");
            machine.applied = entry.index;
            let told = (entry.term, entry.data().map(str::to_owned));
            let first = self.committed.entry(entry.index).or_insert_with(|| told.clone());
            assert_eq!(*first, told, "index {} differs on {}", entry.index, machine.host);
            if let Body::Members(members) = &entry.body {
                self.lists.insert(entry.index, members.clone());
            }
            if let Body::Data(value) = entry.body {
                if machine.proposals.remove(&entry.index).is_some_and(|mine| mine == value) {
                    self.acked.push(value.clone());
                }
                machine.state.push((entry.index, value));
            }
        }
        for index in out.unresolved {
            assert!(machine.proposals.remove(&index).is_some(), "a loss of what wasn't proposed");
        }
        for (ticket, ready) in out.reads {
            let acked = machine.reads.remove(&ticket).unwrap();
            if ready {
                self.reads_done += 1;
                let seen: HashSet<&String> = machine.state.iter().map(|(_, value)| value).collect();
                assert!(
                    acked.iter().all(|value| seen.contains(value)),
                    "a read on {} saw the past",
                    machine.host
                );
            }
        }
        // The last word on the log says who is to stay away, as operators' orders do.
        if news {
            let word = machine.state.iter().rev().find_map(|(_, value)| value.strip_prefix(AWAY));
            let away: Vec<Exclusion> = word.map_or_else(Vec::new, |word| serde_json::from_str(word).unwrap());
            book.set_exclusions(away);
        }
        if machine.applied % 40 == 39 {
            let state = serde_json::to_string(&machine.state).unwrap();
            book.snapshot(self.now, machine.applied, state);
        }
        machine.writes.extend(out.writes);
        for (to, envelope) in out.send {
            self.send(number, &to, envelope);
        }
        self.write(number);
    }

    fn send(&mut self, from: usize, to: &str, envelope: Envelope) {
        self.messages += 1;
        // It goes over the wire as JSON, unless time is short.
        let envelope = if self.wire {
            serde_json::from_str(&serde_json::to_string(&envelope).unwrap()).unwrap()
        } else {
            envelope
        };
        let Some(to) = self.machines.iter().position(|machine| machine.host == to) else { return };
        let copies = 1 + u8::from(self.rng.u8(..100) < self.double);
        for _ in 0..copies {
            if self.cuts.contains(&(from, to)) || self.rng.u8(..100) < self.loss {
                continue;
            }
            let late = if self.rng.u8(..100) < self.late { self.rng.u64(..1_500) } else { 0 };
            let at = self.now + self.rng.u64(1..=self.way) + late;
            self.schedule(at, to, Event::Deliver(envelope.clone()));
        }
    }

    fn schedule(&mut self, at: u64, number: usize, event: Event) {
        self.sent += 1;
        self.queue.insert((at, self.sent), (number, event));
    }

    /// Begins the next write of a machine.
    fn write(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        if machine.writing || machine.book.is_none() {
            return;
        }
        let Some(write) = machine.writes.front() else { return };
        // What fails is told later too.
        machine.failed = machine.disk.write(write).is_err();
        machine.writing = true;
        let (life, at) = (machine.life, self.now + self.rng.u64(1..=self.sync));
        self.schedule(at, number, Event::Written { life });
    }

    fn written(&mut self, number: usize, life: u64) {
        let now = self.now;
        let machine = &mut self.machines[number];
        if machine.life != life || machine.book.is_none() {
            return;
        }
        if machine.frozen || machine.disk.hangs() {
            return self.schedule(now + 10, number, Event::Written { life });
        }
        machine.writing = false;
        let write = machine.writes.pop_front().unwrap();
        machine.disk.sync();
        let book = machine.book.as_mut().unwrap();
        if !machine.failed {
            book.written(now, write.ticket);
        } else {
            book.write_failed(now, write.ticket);
        }
        self.take(number);
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.next_event(end) {}
    }

    /// Lets the next thing happen, where one does before `end`; else it is `end` then, and the answer is false.
    pub fn next_event(&mut self, end: u64) -> bool {
        let awake = |machine: &&Machine| !machine.frozen;
        let wakes =
            self.machines.iter().filter(awake).filter_map(|machine| Some(machine.book.as_ref()?.next_wake()));
        let next_event = self.queue.keys().next().map(|(at, _)| *at);
        let next = wakes.chain(next_event).min().map(|at| at.max(self.now));
        let Some(next) = next.filter(|next| *next <= end) else {
            self.now = end;
            return false;
        };
        self.now = next;
        if next_event.is_some_and(|at| at <= next) {
            let (_, (number, event)) = self.queue.pop_first().unwrap();
            match event {
                Event::Written { life } => self.written(number, life),
                Event::Deliver(envelope) if self.machines[number].frozen => {
                    self.machines[number].mail.push_back(envelope);
                }
                Event::Deliver(envelope) => self.give(number, envelope),
            }
            return true;
        }
        for number in 0..self.machines.len() {
            let machine = &mut self.machines[number];
            let Some(book) = machine.book.as_mut().filter(|_| !machine.frozen) else { continue };
            if book.next_wake() <= next {
                book.tick(next);
                self.take(number);
                let book = self.machines[number].book.as_ref().unwrap();
                assert!(book.next_wake() > next, "{} wakes for nothing", book.me().host);
            }
        }
        true
    }

    /// The process on a machine says that it is about to end; to be ended by [`Cluster::kill`].
    pub fn resign(&mut self, number: usize) {
        let now = self.now;
        if let Some(book) = &mut self.machines[number].book {
            book.resign(now);
            self.take(number);
        }
    }

    /// The process on a machine is about to end, and waits for another one to take its place.
    pub fn leave(&mut self, number: usize) {
        let now = self.now;
        if let Some(book) = &mut self.machines[number].book {
            book.leave(now);
            self.take(number);
        }
    }

    /// The newest list of members that came out as committed; none: the first one holds.
    pub fn agreed_members(&self) -> Option<&Vec<Member>> {
        self.lists.last_key_value().map(|(_, members)| members)
    }

    /// The newest index that came out as committed, and its term.
    pub fn newest_commit(&self) -> Option<(u64, u64)> {
        self.committed.last_key_value().map(|(index, (term, _))| (*index, *term))
    }

    /// The synced part of a machine's disk has this entry.
    pub fn has_synced(&self, number: usize, (index, term): (u64, u64)) -> bool {
        let Some(kept) = self.machines[number].disk.synced() else { return false };
        kept.snapshot.as_ref().is_some_and(|snapshot| snapshot.index >= index)
            || kept.entries.iter().any(|entry| (entry.index, entry.term) == (index, term))
    }

    /// The machine that leads and may take proposals, by the newest term.
    pub fn leader(&self) -> Option<usize> {
        let ready = |number: &usize| self.machines[*number].book.as_ref().is_some_and(Consensus::ready);
        (0..self.machines.len()).filter(ready).max_by_key(|number| self.book(*number).term())
    }

    pub fn book(&self, number: usize) -> &Consensus {
        self.machines[number].book.as_ref().unwrap()
    }

    /// Waits for a leader that is ready.
    pub fn settle(&mut self, ms: u64) -> usize {
        for _ in 0..ms / 10 {
            if let Some(leader) = self.leader() {
                if self.book(leader).quorum_age(self.now).is_some_and(|age| age < 200) {
                    return leader;
                }
            }
            self.run(10);
        }
        panic!("no leader within {ms} ms: {}", self.views());
    }

    /// Proposes at the leader until a value is acknowledged.
    pub fn commit(&mut self, ms: u64) -> String {
        let end = self.now + ms;
        while self.now < end {
            let leader = self.settle(ms);
            if let Some(value) = self.propose(leader) {
                for _ in 0..50 {
                    self.run(2);
                    if self.acked.contains(&value) {
                        return value;
                    }
                }
            }
            self.run(10);
        }
        panic!("nothing committed within {ms} ms");
    }

    /// Puts on the log who is to stay away: each a machine, and the one that has to be a member first.
    pub fn order_away(&mut self, away: &[(usize, Option<usize>)]) {
        let word = self.away_word(away);
        for _ in 0..40 {
            let leader = self.settle(3_000);
            if self.propose_value(leader, word.clone()).is_some() {
                self.run(100);
                // The same word twice says the same.
                if self.acked.contains(&word) {
                    return;
                }
            }
            self.run(20);
        }
        panic!("nobody takes the order: {}", self.views());
    }

    fn away_word(&self, away: &[(usize, Option<usize>)]) -> String {
        let host = |number: usize| self.machines[number].host.clone();
        let away: Vec<Exclusion> = away
            .iter()
            .map(|(gone, after)| Exclusion { host: host(*gone), after: after.map(host) })
            .collect();
        format!("{AWAY}{}", serde_json::to_string(&away).unwrap())
    }

    /// The same, at a leader, without waiting for it.
    pub fn propose_away(&mut self, leader: usize, away: &[(usize, Option<usize>)]) {
        let word = self.away_word(away);
        self.propose_value(leader, word);
    }

    /// The members by number, as their leader has them, once all of it is committed.
    pub fn members(&self) -> Vec<usize> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let number = |member: &Member| self.machines.iter().position(|m| m.host == member.host).unwrap();
        let mut members: Vec<usize> = self.book(leader).members().iter().map(number).collect();
        members.sort_unstable();
        members
    }

    /// Waits until these, and no others, are members, and one of them leads.
    pub fn members_within(&mut self, ms: u64, wanted: &[usize]) {
        for _ in 0..ms / 20 {
            if self.members() == wanted && self.leader().is_some_and(|leader| wanted.contains(&leader)) {
                return;
            }
            self.run(20);
        }
        panic!("{wanted:?} are not the members within {ms} ms: {}", self.views());
    }

    /// All that was acknowledged is in this machine's state, in one order.
    pub fn check(&self, number: usize) {
        let seen: HashSet<&String> = self.machines[number].state.iter().map(|(_, value)| value).collect();
        for value in &self.acked {
            assert!(
                seen.contains(value),
                "{value} was acknowledged and is lost on {}",
                self.machines[number].host
            );
        }
    }

    /// Every host that runs is a member with its number of now, and no change is under way.
    pub fn complete(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let members = self.book(leader).members();
        let running: Vec<&Consensus> =
            self.machines.iter().filter_map(|machine| machine.book.as_ref()).collect();
        let agrees = |book: &&Consensus| {
            members.contains(book.me()) && book.members() == members && !book.is_replacing()
        };
        members.len() == running.len() && running.iter().all(agrees)
    }

    /// Waits until that is so.
    pub fn complete_within(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            if self.complete() {
                return;
            }
            self.run(20);
        }
        panic!("not all are members within {ms} ms: {}", self.views());
    }

    /// What each machine takes itself and the core for.
    pub fn views(&self) -> String {
        let view = |book: &Consensus| {
            let ids: Vec<_> =
                book.members().iter().map(|member| (member.id % 10_000, &member.host)).collect();
            let me = (book.me().id % 10_000, &book.me().host);
            format!(
                "{me:?} term {} leads {} sick {} members {ids:?}",
                book.term(),
                book.is_leader(),
                book.disk_failed()
            )
        };
        let views: Vec<String> =
            self.machines.iter().filter_map(|machine| machine.book.as_ref().map(view)).collect();
        views.join("; ")
    }
}
