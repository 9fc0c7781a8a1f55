//! A small world of the agreement for a model checker: the true [`Consensus`]s, disks that hold what was synced, and a net
//! in which any message may come at any time, or never, or twice. What is checked is said by [`Breach`].
//!
//! Without a clock (`ticks` 0) an election time is over whenever the checker likes, and the leader's word binds nobody, as
//! the shortest election time is 0: what holds then holds whatever the clocks do. With one all members share a clock of
//! coarse ticks, and act as late as the checker likes.

mod disk;

use disk::{Disk, Seal};
use nickeljunction_consensus::model::{take_out, Guard};
use nickeljunction_consensus::{Body, Consensus, Entry, Envelope, Member, Msg, Restored, Tuning, Write};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// What must never be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Breach {
    TwoLeadersInATerm,
    TwoOnOneIndex,
    TwoOnOneVersion,
    /// What came out as committed is on no majority's disks.
    NotOnDisks,
    /// A leader of a later term lacks what was committed.
    Incomplete,
    LogsDiffer,
    ReadOfThePast,
    /// Two members surely lead, by the age of the newest round that a majority answered.
    TwoSurelyLead,
    /// A member was taken in that lacks what was committed.
    StrangerCounts,
    /// A write doesn't fit on what the disk holds.
    Forged,
    /// The state of a member goes back, or leaves out an entry.
    Gap,
}

const BREACHES: [(&str, Breach); 11] = [
    ("one leader in a term", Breach::TwoLeadersInATerm),
    ("one entry on an index", Breach::TwoOnOneIndex),
    ("one acknowledged on a version", Breach::TwoOnOneVersion),
    ("acknowledged is on a majority's disks", Breach::NotOnDisks),
    ("acknowledged is with every later leader", Breach::Incomplete),
    ("logs match", Breach::LogsDiffer),
    ("no reading of the past", Breach::ReadOfThePast),
    ("one surely leads", Breach::TwoSurelyLead),
    ("a stranger counts once it has caught up", Breach::StrangerCounts),
    ("writes fit on the disk", Breach::Forged),
    ("states go on without gaps", Breach::Gap),
];

/// One machine.
#[derive(Debug, Clone, PartialEq, Hash)]
pub struct Machine {
    pub book: Seal<Consensus>,
    disk: Seal<Disk>,
    writes: Vec<Seal<Write>>,
    applied: u64,
    /// Index and version that it builds on of what was proposed here.
    proposals: Vec<(u64, u64)>,
    /// Tickets, and how much had come out as committed anywhere when it was asked.
    reads: Vec<(u64, u64)>,
}

/// An entry that came out as committed, and the term of the member where it did so first.
#[derive(Debug, Clone, Hash)]
struct Committed {
    entry: Entry,
    by: u64,
}

/// Everything.
#[derive(Debug, Clone, PartialEq, Hash)]
pub struct World {
    pub machines: Vec<Machine>,
    /// To which machine, and what; sorted.
    net: Vec<Seal<(usize, Envelope)>>,
    now: u64,
    spent: [u8; KINDS],
    wiped: bool,
    committed: Vec<Seal<Committed>>,
    /// Leaders by term.
    leaders: Vec<(u64, u64)>,
    /// Versions on which a change was acknowledged.
    versions: Vec<u64>,
    broken: Option<Breach>,
}

pub const STAND: usize = 0;
pub const BEAT: usize = 1;
pub const PROPOSE: usize = 2;
pub const READ: usize = 3;
pub const RESTART: usize = 4;
pub const WIPE: usize = 5;
pub const DOUBLE: usize = 6;
pub const FAIL: usize = 7;
pub const SNAPSHOT: usize = 8;
pub const ADVANCE: usize = 9;
const KINDS: usize = 10;

/// What may happen; the first number is the machine's.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Act {
    /// Its election time is over.
    Stand(usize),
    Beat(usize),
    Propose(usize),
    Read(usize),
    Deliver(usize),
    /// A message comes, and will come once more.
    Double(usize),
    /// The write that is under way is synced.
    Sync(usize),
    /// It is not, though it may have reached the disk.
    Fail(usize, bool),
    /// The process ends and starts anew; the write that was under way may have reached the disk.
    Restart(usize, bool),
    /// The disk is lost, and a stranger starts there.
    Wipe(usize),
    Snapshot(usize),
    /// The clock goes on.
    Advance,
    /// All that is under way is lost, or comes: for what happens before the checker begins.
    Lose,
    Quiet,
    /// All that is under way to a machine comes, or all but questions and answers to them, or questions alone.
    Bring(usize),
    Orders(usize),
    Questions(usize),
}

/// How a world may go.
#[derive(Debug, Clone)]
pub struct Bounds {
    pub name: &'static str,
    pub members: usize,
    /// The last so many of them are empty machines that were not there at the first start.
    pub strangers: usize,
    /// How often each kind of act may happen.
    pub limits: [u8; KINDS],
    pub terms: u64,
    /// So many messages are under way at a time; of more the oldest are lost.
    pub flight: usize,
    /// Writes take time.
    pub slow: bool,
    /// What is of an older term than its receiver may still come.
    pub stale: bool,
    /// Who may stand for election.
    pub stands: &'static [usize],
    /// So long a member remembers, without a clock.
    pub memory: u64,
    pub out: Vec<Guard>,
    /// A wiped machine comes back under its old number.
    pub old_number: bool,
    /// What has happened before.
    pub before: Vec<Act>,
    /// So many steps deep.
    pub depth: usize,
    /// Questions before votes are messages, too, and their answers may be late.
    pub late_answers: bool,
    /// Silent for so many ticks a member is removed.
    pub gone: u64,
}

impl Bounds {
    pub fn new(name: &'static str, members: usize, terms: u64, limits: &[(usize, u8)]) -> Bounds {
        let mut all = [0; KINDS];
        for (kind, limit) in limits {
            all[*kind] = *limit;
        }
        Bounds {
            name,
            members,
            strangers: 0,
            limits: all,
            terms,
            flight: 4,
            slow: false,
            stale: false,
            stands: &[0, 1, 2],
            memory: 0,
            out: Vec::new(),
            old_number: false,
            before: Vec::new(),
            depth: usize::MAX,
            late_answers: false,
            gone: 100,
        }
    }

    fn timed(&self) -> bool {
        self.limits[ADVANCE] > 0
    }

    fn tuning(&self) -> Tuning {
        let (election_min_ms, election_max_ms) = if self.timed() { (2, 2) } else { (0, 1) };
        Tuning {
            heartbeat_ms: 1,
            election_min_ms,
            election_max_ms,
            removal_timeout_ms: self.gone,
            min_members: 3,
            max_members: 7,
            join_interval_ms: 0,
            write_retry_ms: 0,
        }
    }

    /// The clock of a member when nothing happens.
    fn rest(&self, world: &World) -> u64 {
        if self.timed() {
            world.now
        } else {
            self.memory
        }
    }

    fn book(&self, restored: Restored, now: u64) -> Consensus {
        let mut book = Consensus::new(restored, self.tuning(), 0, now);
        let hosts: Vec<String> = (0..self.members).map(|number| member(number).host).collect();
        book.add_seed_hosts(&hosts);
        if !self.timed() {
            book.set_clock(now);
        }
        book
    }

    /// Members of the first start.
    fn founders(&self) -> Vec<Member> {
        (0..self.members - self.strangers).map(member).collect()
    }

    fn first(&self) -> World {
        take_out(&[]);
        let all: Vec<Member> = (0..self.members).map(member).collect();
        let founders = self.founders();
        let now = if self.timed() { 10 } else { self.memory };
        let restored = |me: &Member| match founders.contains(me) {
            true => Restored::bootstrap(me.clone(), founders.clone()),
            false => Restored::joining(me.clone()),
        };
        let machine = |me: &Member| Machine {
            book: Seal::new(self.book(restored(me), now)),
            disk: Seal::new(Disk::default()),
            writes: Vec::new(),
            applied: 0,
            proposals: Vec::new(),
            reads: Vec::new(),
        };
        let mut world = World {
            machines: all.iter().map(machine).collect(),
            net: Vec::new(),
            now,
            spent: [0; KINDS],
            wiped: false,
            committed: Vec::new(),
            leaders: Vec::new(),
            versions: Vec::new(),
            broken: None,
        };
        // Machine 0 leads in term 1, and all know it.
        let open = Bounds { flight: 100, slow: false, late_answers: false, out: Vec::new(), ..self.clone() };
        if self.timed() {
            world.now += 2;
        }
        open.script(&mut world, &[Act::Stand(0)]);
        open.quiet(&mut world);
        if self.timed() {
            world.now += 1;
        }
        open.script(&mut world, &[Act::Beat(0)]);
        open.quiet(&mut world);
        let mut founding = world.machines.iter().take(founders.len());
        assert!(founding.all(|machine| machine.applied == 1 && machine.book.term() == 1));
        // Disks are quick till then, unless power is lost.
        let slow = self.slow && self.before.iter().any(|act| matches!(act, Act::Sync(_) | Act::Restart(..)));
        Bounds { out: self.out.clone(), slow, late_answers: self.late_answers, ..open }
            .script(&mut world, &self.before);
        world.spent = [0; KINDS];
        world
    }

    fn script(&self, world: &mut World, acts: &[Act]) {
        for act in acts {
            *world = self.next_state(world, *act).unwrap();
        }
    }

    fn quiet(&self, world: &mut World) {
        while !world.net.is_empty() {
            self.script(world, &[Act::Deliver(0)]);
        }
    }

    /// Does something to a member, and what it asks for.
    fn on(&self, world: &mut World, number: usize, act: impl FnOnce(&mut Consensus, &mut World)) {
        let mut book = (*world.machines[number].book).clone();
        let (members, was_leader) = (book.members().to_vec(), book.is_leader());
        act(&mut book, world);
        self.settle(world, number, &mut book);
        if !self.timed() {
            book.set_clock(self.memory);
        }
        if book.is_leader() && was_leader && book.members() != members {
            self.check_change(world, &book, &members);
        }
        world.machines[number].book = Seal::new(book);
        self.check(world, number);
        if !self.stale {
            let World { machines, net, .. } = world;
            net.retain(|sealed| {
                let (to, envelope) = &**sealed;
                let book = &machines[*to].book;
                let bound = !matches!(
                    envelope.msg,
                    Msg::PreVote { .. } | Msg::PreVoteReply { .. } | Msg::Join | Msg::Redirect { .. }
                );
                (envelope.to == 0 || envelope.to == book.me().id) && !(bound && envelope.term < book.term())
            });
        }
        world.net.sort_by_key(|sealed| (sealed.1.term, sealed.hash_of()));
        world.net.dedup();
        let late = world.net.len().saturating_sub(self.flight);
        world.net.drain(..late);
    }

    fn settle(&self, world: &mut World, number: usize, book: &mut Consensus) {
        loop {
            let mut out = book.take_outputs();
            if book.is_leader() {
                match world.leaders.iter().find(|(term, _)| *term == book.term()) {
                    Some((_, id)) if *id != book.me().id => {
                        _ = world.broken.get_or_insert(Breach::TwoLeadersInATerm)
                    }
                    Some(_) => {}
                    None => world.leaders.push((book.term(), book.me().id)),
                }
            }
            if let Some(snapshot) = out.restored_state.take() {
                let known = snapshot.index <= world.committed.len() as u64;
                if snapshot.index < world.machines[number].applied || !known {
                    _ = world.broken.get_or_insert(Breach::Gap);
                }
                world.machines[number].applied = snapshot.index;
            }
            for entry in out.committed {
                self.commit(world, number, book, entry);
            }
            let machine = &mut world.machines[number];
            for index in out.unresolved {
                machine.proposals.retain(|(mine, _)| *mine != index);
            }
            for (ticket, ready) in out.reads {
                let place = machine.reads.iter().position(|(mine, _)| *mine == ticket);
                let need = place.map_or(0, |place| machine.reads.remove(place).1);
                if ready && machine.applied < need {
                    _ = world.broken.get_or_insert(Breach::ReadOfThePast);
                }
            }
            for (host, envelope) in out.send {
                let to = (0..self.members).find(|number| member(*number).host == host);
                if let Some(to) = to.filter(|to| *to != number) {
                    world.net.push(Seal::new((to, envelope)));
                }
            }
            machine.writes.extend(out.writes.into_iter().map(Seal::new));
            if self.slow || machine.writes.is_empty() {
                return;
            }
            while !world.machines[number].writes.is_empty() {
                let ticket = self.save(world, number);
                book.written(self.rest(world), ticket);
            }
        }
    }

    /// The first write of a machine gets to its disk.
    fn save(&self, world: &mut World, number: usize) -> u64 {
        let machine = &mut world.machines[number];
        let write = machine.writes.remove(0);
        let mut disk = (*machine.disk).clone();
        if !disk.save(&write) || !disk.fits() {
            _ = world.broken.get_or_insert(Breach::Forged);
        }
        machine.disk = Seal::new(disk);
        write.ticket
    }

    fn commit(&self, world: &mut World, number: usize, book: &Consensus, entry: Entry) {
        let machine = &mut world.machines[number];
        if entry.index != machine.applied + 1 {
            _ = world.broken.get_or_insert(Breach::Gap);
        }
        machine.applied = entry.index;
        let (index, term) = (entry.index, entry.term);
        match world.committed.get(index as usize - 1) {
            Some(first) if first.entry != entry => _ = world.broken.get_or_insert(Breach::TwoOnOneIndex),
            Some(_) => {}
            None => {
                let held = |member: &&Member| {
                    world
                        .machines
                        .iter()
                        .any(|machine| machine.book.me().id == member.id && machine.disk.holds(index, term))
                };
                // A disk that was lost since it vouched for the entry counts no more here.
                let all = book.members().iter().filter(held).count() > book.members().len() / 2;
                if !all && !world.wiped {
                    _ = world.broken.get_or_insert(Breach::NotOnDisks);
                }
                world.committed.push(Seal::new(Committed { entry, by: book.term() }));
            }
        }
        // The state: the version, and whether the change that builds on one is taken.
        let place = world.machines[number].proposals.iter().position(|(mine, _)| *mine == index);
        let Some((_, base)) = place.map(|place| world.machines[number].proposals.remove(place)) else {
            return;
        };
        if base == world.version(index - 1) {
            if world.versions.contains(&base) {
                _ = world.broken.get_or_insert(Breach::TwoOnOneVersion);
            }
            world.versions.push(base);
        }
    }

    /// Who was taken in has all that the leader knows to be committed.
    fn check_change(&self, world: &mut World, book: &Consensus, before: &[Member]) {
        for new in book.members().iter().filter(|member| !before.contains(member)) {
            let machine = world.machines.iter().find(|machine| machine.book.me() == new);
            let all = |machine: &Machine| {
                world.committed.iter().all(|one| {
                    one.entry.index > book.commit() || machine.disk.holds(one.entry.index, one.entry.term)
                })
            };
            if !machine.is_some_and(all) {
                _ = world.broken.get_or_insert(Breach::StrangerCounts);
            }
        }
    }

    /// What must hold between members, after an act of one.
    fn check(&self, world: &mut World, number: usize) {
        let book = &world.machines[number].book;
        for other in (0..self.members).filter(|other| *other != number) {
            // Where a later pair is alike in term all before it must be alike too.
            let mut differ = false;
            let (_, others) = world.machines[other].book.entries();
            for other in others {
                let Some(mine) = book.entry(other.index) else { continue };
                if mine.term == other.term && (differ || mine != other) {
                    _ = world.broken.get_or_insert(Breach::LogsDiffer);
                }
                differ |= mine.term != other.term;
            }
        }
        for machine in world.machines.iter().filter(|machine| machine.book.is_leader()) {
            let (base, _) = machine.book.entries();
            let term = machine.book.term();
            for one in world.committed.iter().filter(|one| one.by < term && one.entry.index > base) {
                if machine.book.entry(one.entry.index) != Some(&one.entry) {
                    _ = world.broken.get_or_insert(Breach::Incomplete);
                }
            }
        }
    }

    /// A member whose election time is over asks the others, which changes nothing at them, so that their answers come
    /// at once.
    fn stand(&self, world: &mut World, number: usize) {
        let now = self.rest(world) + u64::from(!self.timed());
        if self.late_answers {
            return self.on(world, number, |book, _| book.tick(now));
        }
        self.on(world, number, |book, world| {
            book.tick(now);
            let mut out = book.take_outputs();
            let (asks, rest) =
                out.send.into_iter().partition(|(_, envelope)| matches!(envelope.msg, Msg::PreVote { .. }));
            out.send = rest;
            world.machines[number].writes.extend(out.writes.into_iter().map(Seal::new));
            let asks: Vec<(String, Envelope)> = asks;
            let mut answers = Vec::new();
            for (host, ask) in asks {
                let asked = world.machines.iter().zip(0..).find(|(_, number)| member(*number).host == host);
                let Some((machine, _)) = asked else { continue };
                let mut asked = (*machine.book).clone();
                asked.step(self.rest(world), ask);
                let sends = asked.take_outputs().send.into_iter().map(|(_, envelope)| envelope);
                answers.extend(sends.filter(|envelope| matches!(envelope.msg, Msg::PreVoteReply { .. })));
            }
            let yes = |envelope: &&Envelope| matches!(envelope.msg, Msg::PreVoteReply { yes: true, .. });
            let enough = answers.iter().filter(yes).count() + 1 > book.members().len() / 2;
            for envelope in answers.iter().filter(|envelope| !enough || yes(envelope)) {
                book.step(now, envelope.clone());
            }
            for (host, envelope) in out.send {
                let to = (0..self.members).find(|number| member(*number).host == host);
                world.net.extend(to.filter(|to| *to != number).map(|to| Seal::new((to, envelope))));
            }
        });
    }

    fn restart(&self, world: &mut World, number: usize, wiped: bool) {
        let now = self.rest(world);
        let machine = &mut world.machines[number];
        let mut me = machine.book.me().clone();
        if wiped {
            machine.disk = Seal::new(Disk::default());
        }
        let disk = Disk { ticket: 0, ..(*machine.disk).clone() };
        let founders = self.founders();
        let restored = match &disk.me {
            Some(me) => Restored {
                me: me.clone(),
                is_new: false,
                hard: disk.hard,
                snapshot: disk.snapshot.clone(),
                entries: disk.entries.clone(),
            },
            None if !founders.contains(&me) => Restored::joining(me),
            None if self.old_number || !wiped => Restored::bootstrap(me, founders),
            None => {
                me.id += 10;
                Restored::joining(me)
            }
        };
        machine.disk = Seal::new(disk);
        machine.writes.clear();
        machine.proposals.clear();
        machine.reads.clear();
        machine.applied = 0;
        machine.book = Seal::new(self.book(restored, now));
        self.on(world, number, |_, _| ());
    }

    /// Looks for a breach: which rule is broken, after what. `threads` share the work; with one the answer is always the
    /// same.
    pub fn search(self, threads: usize) -> Option<(&'static str, Vec<Act>)> {
        let (name, out, start) = (self.name, self.out.clone(), Instant::now());
        let seconds = std::env::var("MODEL_SECONDS").map_or(600, |seconds| seconds.parse().unwrap());
        let depth = std::env::var("MODEL_DEPTH").map_or(self.depth, |depth| depth.parse().unwrap());
        let checker =
            self.checker().threads(threads).timeout(Duration::from_secs(seconds)).target_max_depth(depth);
        let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        let found = checker.discoveries().into_iter().next();
        let found = found.map(|(property, path)| (property, path.into_actions()));
        let (states, deep, took) =
            (checker.unique_state_count(), checker.max_depth(), start.elapsed().as_secs_f64());
        println!("{name} without {out:?}: {states} states, {deep} deep, {took:.1} s; {found:?}");
        assert!(found.is_some() || took < seconds as f64, "{name}: not done within {seconds} s");
        found
    }

    /// Nothing is broken within the bounds; `MODEL_DEPTH` sets others.
    pub fn holds(self) {
        assert_eq!(self.search(2), None);
    }

    /// Something is broken without `guard`.
    pub fn breaks(mut self, guard: Guard) {
        self.out.push(guard);
        self.depth = usize::MAX;
        assert!(self.search(1).is_some(), "{guard:?} isn't needed");
    }
}

/// The member that is on a machine at first.
pub fn member(number: usize) -> Member {
    Member { id: number as u64 + 1, host: ["a", "b", "c", "d", "e"][number].to_owned() }
}

impl World {
    /// The version after the entry at `index`: so many changes were taken.
    fn version(&self, index: u64) -> u64 {
        let mut version = 0;
        for one in self.committed.iter().take(index as usize) {
            if let Body::Data(data) = &one.entry.body {
                version += u64::from(data.split(':').next() == Some(version.to_string().as_str()));
            }
        }
        version
    }

    fn spend(&mut self, kind: usize) {
        self.spent[kind] = self.spent[kind].saturating_add(1);
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        vec![self.first()]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        if world.broken.is_some() {
            return;
        }
        let may = |kind: usize| world.spent[kind] < self.limits[kind];
        if may(ADVANCE) {
            acts.push(Act::Advance);
        }
        for (number, machine) in world.machines.iter().enumerate() {
            let book = &machine.book;
            let due = !self.timed() || book.next_wake() <= world.now;
            if book.is_leader() {
                if may(BEAT) && due {
                    acts.push(Act::Beat(number));
                }
                if may(PROPOSE) && book.ready() {
                    acts.push(Act::Propose(number));
                }
                if may(READ) {
                    acts.push(Act::Read(number));
                }
            } else if may(STAND) && due && book.term() < self.terms && self.stands.contains(&number) {
                acts.push(Act::Stand(number));
            }
            if may(RESTART) {
                acts.push(Act::Restart(number, false));
                if !machine.writes.is_empty() {
                    acts.push(Act::Restart(number, true));
                }
            }
            if may(WIPE) {
                acts.push(Act::Wipe(number));
            }
            if may(SNAPSHOT) && machine.applied > machine.disk.base() {
                acts.push(Act::Snapshot(number));
            }
            if !machine.writes.is_empty() {
                acts.push(Act::Sync(number));
                if may(FAIL) {
                    acts.extend([Act::Fail(number, false), Act::Fail(number, true)]);
                }
            }
        }
        for place in 0..world.net.len() {
            acts.push(Act::Deliver(place));
            if may(DOUBLE) {
                acts.push(Act::Double(place));
            }
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        take_out(&self.out);
        let mut world = last.clone();
        let now = self.rest(&world);
        match act {
            Act::Stand(number) => {
                world.spend(STAND);
                self.stand(&mut world, number);
            }
            Act::Beat(number) => {
                world.spend(BEAT);
                let now = now + u64::from(!self.timed());
                self.on(&mut world, number, |book, _| book.tick(now));
            }
            Act::Propose(number) => {
                world.spend(PROPOSE);
                let (base, nth) = (world.version(world.machines[number].applied), world.spent[PROPOSE]);
                self.on(&mut world, number, |book, world| {
                    if let Ok(index) = book.propose(now, format!("{base}:{nth}")) {
                        world.machines[number].proposals.push((index, base));
                    }
                });
            }
            Act::Read(number) => {
                world.spend(READ);
                let need = world.committed.len() as u64;
                self.on(&mut world, number, |book, world| {
                    if let Ok(ticket) = book.read(now) {
                        world.machines[number].reads.push((ticket, need));
                    }
                });
            }
            Act::Deliver(place) | Act::Double(place) => {
                let sealed = world.net[place].clone();
                if act == Act::Deliver(place) {
                    world.net.remove(place);
                } else {
                    world.spend(DOUBLE);
                }
                let (to, envelope) = &*sealed;
                self.on(&mut world, *to, |book, _| book.step(now, envelope.clone()));
            }
            Act::Sync(number) => {
                let ticket = self.save(&mut world, number);
                self.on(&mut world, number, |book, _| book.written(now, ticket));
            }
            Act::Fail(number, reached) => {
                world.spend(FAIL);
                let ticket = world.machines[number].writes[0].ticket;
                if reached {
                    self.save(&mut world, number);
                } else {
                    world.machines[number].writes.remove(0);
                }
                // What builds on it is refused, one after the other.
                let machine = &mut world.machines[number];
                let mut newest = machine.disk.ticket;
                machine.writes.retain(|write| {
                    let fits = write.after == 0 || write.after == newest;
                    newest = if fits { write.ticket } else { newest };
                    fits
                });
                self.on(&mut world, number, |book, _| book.write_failed(now, ticket));
            }
            Act::Restart(number, reached) => {
                world.spend(RESTART);
                if reached {
                    self.save(&mut world, number);
                }
                self.restart(&mut world, number, false);
            }
            Act::Wipe(number) => {
                world.spend(WIPE);
                world.wiped = true;
                self.restart(&mut world, number, true);
            }
            Act::Snapshot(number) => {
                world.spend(SNAPSHOT);
                let applied = world.machines[number].applied;
                self.on(&mut world, number, |book, _| book.snapshot(now, applied, String::new()));
            }
            Act::Lose => world.net.clear(),
            Act::Quiet => self.quiet(&mut world),
            Act::Bring(number) | Act::Orders(number) | Act::Questions(number) => {
                let wanted = |sealed: &Seal<(usize, Envelope)>| {
                    let kind = match sealed.1.msg {
                        Msg::PreVote { .. } => Act::Questions(number),
                        Msg::PreVoteReply { .. } => Act::Bring(number),
                        _ => Act::Orders(number),
                    };
                    sealed.0 == number && (act == Act::Bring(number) || act == kind)
                };
                let (here, rest): (Vec<_>, Vec<_>) =
                    std::mem::take(&mut world.net).into_iter().partition(wanted);
                world.net = rest;
                for sealed in here {
                    self.on(&mut world, number, |book, _| book.step(now, sealed.1.clone()));
                }
            }
            Act::Advance => {
                world.spend(ADVANCE);
                world.now += 1;
            }
        }
        if self.timed() && world.broken.is_none() {
            let lease = self.tuning().election_min_ms;
            let surely =
                |machine: &&Machine| machine.book.quorum_age(world.now).is_some_and(|age| age < lease);
            if world.machines.iter().filter(surely).count() > 1 {
                _ = world.broken.get_or_insert(Breach::TwoSurelyLead);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn holds<const N: usize>(_: &Bounds, world: &World) -> bool {
            world.broken != Some(BREACHES[N].1)
        }
        let holds: [fn(&Bounds, &World) -> bool; BREACHES.len()] = [
            holds::<0>,
            holds::<1>,
            holds::<2>,
            holds::<3>,
            holds::<4>,
            holds::<5>,
            holds::<6>,
            holds::<7>,
            holds::<8>,
            holds::<9>,
            holds::<10>,
        ];
        BREACHES.iter().zip(holds).map(|((rule, _), holds)| Property::always(rule, holds)).collect()
    }
}
