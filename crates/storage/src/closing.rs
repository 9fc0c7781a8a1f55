//! Days of a core whose members keep their log in true stores, on disks that forget: what was written
//! without a sync, and names whose folder was not synced, are there or not after a loss of power, each by itself.
//!
//! At the end of a day as many members as may be lost lose their disks, and all others lose power at the same moment. What
//! was acknowledged must be in the log of whoever leads then.

use crate::power::{self, CONTENTS};
use crate::tests::{seeds, temp};
use crate::{FileLogStore, LogStore};
use nickeljunction_consensus::{
    bootstrap_member_id, member_id_from_random, Body, Consensus, Envelope, Member, Restored, Tuning, Write,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::{Path, PathBuf};

/// A message's way, ms.
const WAY_MS: u64 = 1;
/// A write takes so long, ms.
const WRITE_MS: u64 = 2;
/// Entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 24;
/// `sync_time_s` of the operators, ms: by then a wiped member counts again.
const SYNC_MS: u64 = 4_000;

/// What is left out, to show that the days see it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Flaw {
    None,
    /// The store leaves files to the kernel.
    NoSync,
}

struct Machine {
    host: String,
    store: Option<FileLogStore>,
    book: Option<Consensus>,
    writes: VecDeque<Write>,
    writing: bool,
    /// Values by index, as far as they are committed here.
    state: Vec<(u64, String)>,
    applied: u64,
    snapshot_at: u64,
    /// Its disk takes nothing until then.
    full_until: u64,
}

enum Due {
    Message(Envelope),
    Written,
}

struct Day {
    seed: u64,
    rng: fastrand::Rng,
    now: u64,
    root: tempfile::TempDir,
    machines: Vec<Machine>,
    due: BTreeMap<(u64, u64), (usize, Due)>,
    number: u64,
    tuning: Tuning,
    flaw: Flaw,
    proposed: BTreeMap<(u64, u64), String>,
    acknowledged: Vec<String>,
    values: u64,
}

fn host(number: usize) -> String {
    format!("10.0.0.{}", number + 1)
}

/// Folder of a machine under the root of all.
fn folder(number: usize) -> PathBuf {
    PathBuf::from(format!("machine{number}"))
}

fn encode(state: &[(u64, String)]) -> String {
    serde_json::to_string(state).expect("plain data")
}

impl Day {
    fn new(members: usize, losses: usize, seed: u64, flaw: Flaw) -> Day {
        fastrand::seed(seed);
        let root = temp();
        power::record_synced(root.path());
        let mut day = Day {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: 1_000,
            root,
            machines: Vec::new(),
            due: BTreeMap::new(),
            number: 0,
            tuning: Tuning::tolerating(losses),
            flaw,
            proposed: BTreeMap::new(),
            acknowledged: Vec::new(),
            values: 0,
        };
        let founders: Vec<Member> =
            (0..members).map(host).map(|host| Member { id: bootstrap_member_id(&host), host }).collect();
        for founder in &founders {
            day.machines.push(Machine {
                host: founder.host.clone(),
                store: None,
                book: None,
                writes: VecDeque::new(),
                writing: false,
                state: Vec::new(),
                applied: 0,
                snapshot_at: 0,
                full_until: 0,
            });
        }
        for (number, founder) in founders.iter().enumerate() {
            day.start(number, Some(Restored::bootstrap(founder.clone(), founders.clone())));
        }
        day
    }

    fn dir(&self, number: usize) -> PathBuf {
        self.root.path().join(folder(number)).join("logbook")
    }

    /// Starts a process; `first`: as which, where its disk was never written.
    fn start(&mut self, number: usize, first: Option<Restored>) {
        let mut store = FileLogStore::open(self.dir(number)).expect("a disk that can be read");
        if self.flaw == Flaw::NoSync {
            store.forget_syncs();
        }
        let host = self.machines[number].host.clone();
        let stranger = Restored::joining(Member { id: member_id_from_random(self.rng.u64(..)), host });
        let kept = store.load().expect("a disk that can be read").map(Restored::from);
        let restored = kept.or(first).unwrap_or(stranger);
        let hosts: Vec<String> = self.machines.iter().map(|machine| machine.host.clone()).collect();
        let mut book = Consensus::new(restored, self.tuning, self.rng.u64(..), self.now);
        book.add_seed_hosts(&hosts);
        let machine = &mut self.machines[number];
        (machine.state, machine.applied, machine.snapshot_at) = (Vec::new(), 0, 0);
        (machine.store, machine.book, machine.writing) = (Some(store), Some(book), false);
        self.take(number);
    }

    /// Ends a process.
    fn end(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        (machine.book, machine.store) = (None, None);
        machine.writes.clear();
        machine.full_until = 0;
        self.due.retain(|_, (to, _)| *to != number);
    }

    fn post(&mut self, at: u64, to: usize, due: Due) {
        self.number += 1;
        self.due.insert((at, self.number), (to, due));
    }

    /// Carries out what a member wants.
    fn take(&mut self, number: usize) {
        loop {
            let machine = &mut self.machines[number];
            let Some(book) = &mut machine.book else { return };
            let outputs = book.take_outputs();
            if outputs == Default::default() {
                break;
            }
            if let Some(snapshot) = outputs.restored_state {
                machine.state = serde_json::from_str(&snapshot.state).unwrap_or_default();
                (machine.applied, machine.snapshot_at) = (snapshot.index, snapshot.index);
            }
            for entry in outputs.committed {
                machine.applied = entry.index;
                if let Body::Data(value) = &entry.body {
                    machine.state.push((entry.index, value.clone()));
                    if self.proposed.get(&(entry.index, entry.term)) == Some(value) && book.is_leader() {
                        self.acknowledged.push(value.clone());
                    }
                }
            }
            if machine.applied >= machine.snapshot_at + SNAPSHOT_EVERY {
                machine.snapshot_at = machine.applied;
                book.snapshot(self.now, machine.applied, encode(&machine.state));
            }
            machine.writes.extend(outputs.writes);
            for (to, envelope) in outputs.send {
                let to = self.machines.iter().position(|machine| machine.host == to).expect("a host");
                if self.machines[to].book.is_some() {
                    self.post(self.now + WAY_MS, to, Due::Message(envelope));
                }
            }
        }
        let machine = &mut self.machines[number];
        if !machine.writing && !machine.writes.is_empty() {
            machine.writing = true;
            let at = self.now + WRITE_MS + self.rng.u64(..3);
            self.post(at, number, Due::Written);
        }
    }

    fn save(&mut self, number: usize) {
        let now = self.now;
        let machine = &mut self.machines[number];
        machine.writing = false;
        let (Some(store), Some(book)) = (&mut machine.store, &mut machine.book) else { return };
        let Some(write) = machine.writes.pop_front() else { return };
        if now < machine.full_until {
            power::fail_after(0, usize::MAX - 1);
        }
        let saved = store.save(&write);
        power::fail_after(usize::MAX, 0);
        match saved {
            Ok(()) => book.written(now, write.ticket),
            Err(_) => book.write_failed(now, write.ticket),
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            let timers = self.machines.iter().filter_map(|machine| machine.book.as_ref());
            let wake = timers.map(Consensus::next_wake).min().unwrap_or(u64::MAX);
            let first = self.due.keys().next().map_or(u64::MAX, |(at, _)| *at);
            let next = wake.min(first).max(self.now);
            if next > end {
                break;
            }
            self.now = next;
            let now = next;
            if first <= next {
                let Some((_, (number, due))) = self.due.pop_first() else { continue };
                match due {
                    Due::Message(envelope) => {
                        if let Some(book) = &mut self.machines[number].book {
                            book.step(now, envelope);
                        }
                    }
                    Due::Written => self.save(number),
                }
                self.take(number);
                continue;
            }
            for number in 0..self.machines.len() {
                if let Some(book) = self.machines[number].book.as_mut().filter(|book| book.next_wake() <= now)
                {
                    book.tick(now);
                    self.take(number);
                }
            }
        }
        self.now = end;
    }

    /// Puts a value on the log, where somebody leads.
    fn propose(&mut self) {
        let now = self.now;
        for number in 0..self.machines.len() {
            let Some(book) = &mut self.machines[number].book else { continue };
            self.values += 1;
            let value = format!("{} {}", self.values, "x".repeat(self.rng.usize(..4_000)));
            if let Ok(index) = book.propose(now, value.clone()) {
                self.proposed.insert((index, book.term()), value);
            }
            self.take(number);
        }
    }

    fn changes(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.propose();
            let pause = self.rng.u64(5..60);
            self.run(pause);
        }
    }

    /// What a machine finds that loses power now, in the place of its folder.
    fn lose_power(&mut self, number: usize) {
        let point = power::now();
        self.end(number);
        let part = folder(number);
        let missing: BTreeSet<PathBuf> =
            point.open_names_of(&part).into_iter().filter(|_| self.rng.bool()).collect();
        let content = CONTENTS[self.rng.usize(..CONTENTS.len())];
        let found = temp();
        point.build_folder(found.path(), &part, &missing, content);
        self.replace(number, Some(found.path()));
    }

    fn wipe(&mut self, number: usize) {
        self.end(number);
        self.replace(number, None);
    }

    /// Puts another folder in the place of a machine's; what it holds is durable.
    fn replace(&mut self, number: usize, found: Option<&Path>) {
        let own = self.root.path().join(folder(number));
        std::fs::remove_dir_all(&own).expect("removed");
        std::fs::create_dir_all(&own).expect("made");
        if let Some(found) = found {
            crate::tests::copy(&found.join(folder(number)), &own);
        }
        power::settle(&folder(number));
    }

    /// A write that is under way gets to the files of some.
    fn begin_writes(&mut self) {
        for machine in &mut self.machines {
            let write = machine.writes.front().cloned();
            if let (Some(store), Some(write), true) = (&mut machine.store, write, self.rng.bool()) {
                if store.is_open() {
                    store.save_unsynced(&write);
                }
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |machine: &Machine| machine.book.as_ref().is_some_and(Consensus::ready);
        self.machines.iter().position(leads)
    }

    /// The disks of so many are lost while all others lose power.
    fn close(&mut self, losses: usize) {
        let mut order: Vec<usize> = (0..self.machines.len()).collect();
        self.rng.shuffle(&mut order);
        if let Some(leader) = self.leader().filter(|_| self.rng.bool()) {
            order.sort_by_key(|number| *number != leader);
        }
        self.begin_writes();
        let (wiped, dark) = order.split_at(losses);
        dark.iter().for_each(|number| self.lose_power(*number));
        wiped.iter().for_each(|number| self.wipe(*number));
        self.now += 800;
        self.rng.shuffle(&mut order);
        order.into_iter().for_each(|number| self.start(number, None));
    }

    /// What was acknowledged and is not in the log of whoever leads.
    fn lost(&mut self) -> Result<(), String> {
        for _ in 0..100 {
            self.run(100);
            if let Some(leader) = self.leader() {
                let has: BTreeSet<&String> =
                    self.machines[leader].state.iter().map(|(_, value)| value).collect();
                let lost: Vec<&str> = self
                    .acknowledged
                    .iter()
                    .filter(|value| !has.contains(value))
                    .map(|value| value.split(' ').next().unwrap_or_default())
                    .collect();
                return match lost.is_empty() {
                    true => Ok(()),
                    false => Err(format!("seed {}: lost {lost:?}", self.seed)),
                };
            }
        }
        Err(format!("seed {}: nobody leads", self.seed))
    }

    /// A day: changes all the while, disks that are full, a member that is wiped or loses power, and the closing loss.
    fn play(&mut self, losses: usize) -> Result<usize, String> {
        self.run(2_000);
        for _ in 0..3 {
            self.changes(600);
            match self.rng.u8(..4) {
                0 => self.fill_disks(losses),
                1 => {
                    let number = self.rng.usize(..self.machines.len());
                    self.begin_writes();
                    self.lose_power(number);
                    self.run(400);
                    self.start(number, None);
                }
                2 => {
                    let number = self.rng.usize(..self.machines.len());
                    self.wipe(number);
                    self.run(400);
                    self.start(number, None);
                    self.changes(SYNC_MS);
                }
                _ => {
                    self.begin_writes();
                    (0..self.machines.len()).for_each(|number| self.lose_power(number));
                    self.now += 500;
                    (0..self.machines.len()).for_each(|number| self.start(number, None));
                }
            }
            self.lost()?;
        }
        self.changes(400);
        self.close(losses);
        self.lost()?;
        Ok(self.acknowledged.len())
    }

    /// Disks take nothing for a while: the leader's, those of a majority, or all.
    fn fill_disks(&mut self, losses: usize) {
        let count = [1, losses + 1, self.machines.len()][self.rng.usize(..3)];
        let mut order: Vec<usize> = (0..self.machines.len()).collect();
        self.rng.shuffle(&mut order);
        let leader = self.leader();
        order.sort_by_key(|number| Some(*number) != leader);
        let until = self.now + self.rng.u64(100..1_500);
        order.into_iter().take(count).for_each(|number| self.machines[number].full_until = until);
        self.changes(1_000);
        // One in two ends in the middle of it.
        if self.rng.bool() {
            self.run(1_000);
        }
    }
}

fn days(members: usize, losses: usize, flaw: Flaw) -> Result<usize, String> {
    let mut acknowledged = 0;
    for seed in seeds() {
        acknowledged += Day::new(members, losses, seed, flaw).play(losses)?;
    }
    println!("{members} members: {acknowledged} acknowledged, none lost");
    Ok(acknowledged)
}

#[test]
fn a_closing_loss_over_true_stores_loses_nothing_of_three() {
    let acknowledged = days(3, 1, Flaw::None).unwrap_or_else(|lost| panic!("{lost}"));
    assert!(acknowledged > 400, "{acknowledged}: little to lose");
}

#[test]
fn a_closing_loss_over_true_stores_loses_nothing_of_five() {
    let acknowledged = days(5, 2, Flaw::None).unwrap_or_else(|lost| panic!("{lost}"));
    assert!(acknowledged > 400, "{acknowledged}: little to lose");
}

#[test]
fn without_its_own_syncs_a_closing_loss_is_seen() {
    days(3, 1, Flaw::NoSync).unwrap_err();
}
