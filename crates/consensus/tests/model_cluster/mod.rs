//! A small cluster for a model checker: real [`Consensus`] instances, disks that hold what was synced, and a network in
//! which any message may arrive at any time, never, or twice. [`Violation`] lists the rules that are checked.
//!
//! Without a clock (limit of `ADVANCE` 0) an election time may end at any moment, and a leader has no lease, as the
//! shortest election time is 0: a rule that holds then holds for any behaviour of the clocks. With a clock all
//! members share coarse ticks, and each may act any time after it is due.

mod disk;
mod violation;

use disk::{Disk, Hashed};
use nickeljunction_consensus::model::{disable_guards, Guard};
use nickeljunction_consensus::{Body, Consensus, Entry, Envelope, Member, Msg, Restored, Tuning, Write};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::hash::Hash;
use std::time::{Duration, Instant};
use violation::{Violation, RULES};

/// One machine.
#[derive(Debug, Clone, PartialEq, Hash)]
pub struct Machine {
    pub node: Hashed<Consensus>,
    disk: Hashed<Disk>,
    writes: Vec<Hashed<Write>>,
    applied: u64,
    /// Proposals made here: the index of each, and the version that it builds on.
    proposals: Vec<(u64, u64)>,
    /// Open reads: the ticket of each, and how many entries were committed anywhere when it was requested.
    reads: Vec<(u64, u64)>,
}

/// A committed entry, and the term of the member that first delivered it as committed.
#[derive(Debug, Clone, Hash)]
struct Committed {
    entry: Entry,
    leader_term: u64,
}

/// The state of the whole cluster.
#[derive(Debug, Clone, PartialEq, Hash)]
pub struct ClusterState {
    pub machines: Vec<Machine>,
    /// Messages in flight with the machine to which each goes; sorted.
    network: Vec<Hashed<(usize, Envelope)>>,
    now: u64,
    used: [u8; KINDS],
    wiped: bool,
    committed: Vec<Hashed<Committed>>,
    /// The leader's number by term.
    leaders: Vec<(u64, u64)>,
    /// Versions for which a change was acknowledged.
    versions: Vec<u64>,
    violation: Option<Violation>,
}

pub const START_ELECTION: usize = 0;
pub const HEARTBEAT: usize = 1;
pub const PROPOSE: usize = 2;
pub const READ: usize = 3;
pub const RESTART: usize = 4;
pub const WIPE: usize = 5;
pub const DUPLICATE: usize = 6;
pub const FAIL_WRITE: usize = 7;
pub const SNAPSHOT: usize = 8;
pub const ADVANCE: usize = 9;
const KINDS: usize = 10;

/// An event in the cluster; the first number is the machine's, or the message's position in the network.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// The machine's election time ends.
    StartElection(usize),
    Heartbeat(usize),
    Propose(usize),
    Read(usize),
    Deliver(usize),
    /// A message arrives, and stays in flight to arrive once more.
    Duplicate(usize),
    /// The oldest pending write is synced.
    Sync(usize),
    /// The oldest pending write fails; if true, it has reached the disk all the same.
    FailWrite(usize, bool),
    /// The process restarts; if true, the oldest pending write has reached the disk.
    Restart(usize, bool),
    /// The disk is lost, and the machine starts under a new number.
    Wipe(usize),
    Snapshot(usize),
    /// The clock advances by a tick.
    Advance,
    /// All messages in flight are lost. Used only before the checker begins, like the actions below.
    LoseEverything,
    /// Messages are delivered until none is in flight.
    DeliverEverything,
    /// All messages in flight to a machine arrive.
    DeliverAll(usize),
    /// All messages to a machine arrive, except for pre-votes and their replies.
    DeliverOthers(usize),
    /// All pre-vote requests to a machine arrive.
    DeliverPreVotes(usize),
}

/// The limits of a scenario and the actions that precede it.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub members: usize,
    /// Number of machines, the last ones, that are empty and join after the first start.
    pub joining: usize,
    /// How often each kind of action may happen.
    pub limits: [u8; KINDS],
    pub terms: u64,
    /// Messages in flight at a time; if there are more, the excess ones of the oldest terms are lost.
    pub max_in_flight: usize,
    /// Writes stay pending until [`Action::Sync`].
    pub slow_disks: bool,
    /// Messages of an earlier term than their receiver's may still arrive.
    pub stale_terms: bool,
    /// Machines that may stand for election.
    pub candidates: &'static [usize],
    /// Without a clock: the constant time of each member's clock, which limits how far back its remembered times go.
    pub idle_clock: u64,
    /// Guards that are disabled.
    pub disabled: Vec<Guard>,
    /// A wiped machine comes back under its old number.
    pub keeps_number: bool,
    /// Actions that precede the search.
    pub before: Vec<Action>,
    /// Largest number of steps.
    pub depth: usize,
    /// Pre-votes and their replies are messages in flight, too, and may be late.
    pub pre_votes_as_messages: bool,
    /// Ticks after which a silent member is removed.
    pub removal_timeout: u64,
}

impl Scenario {
    pub fn new(name: &'static str, members: usize, terms: u64, limits: &[(usize, u8)]) -> Scenario {
        let mut all = [0; KINDS];
        for (kind, limit) in limits {
            all[*kind] = *limit;
        }
        Scenario {
            name,
            members,
            joining: 0,
            limits: all,
            terms,
            max_in_flight: 4,
            slow_disks: false,
            stale_terms: false,
            candidates: &[0, 1, 2],
            idle_clock: 0,
            disabled: Vec::new(),
            keeps_number: false,
            before: Vec::new(),
            depth: usize::MAX,
            pre_votes_as_messages: false,
            removal_timeout: 100,
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
            removal_timeout_ms: self.removal_timeout,
            min_members: 3,
            max_members: 7,
            join_interval_ms: 0,
            write_retry_ms: 0,
        }
    }

    /// The time of a member's clock between actions.
    fn idle_time(&self, state: &ClusterState) -> u64 {
        if self.timed() {
            state.now
        } else {
            self.idle_clock
        }
    }

    fn new_node(&self, restored: Restored, now: u64) -> Consensus {
        let mut node = Consensus::new(restored, self.tuning(), 0, now);
        let hosts: Vec<String> = (0..self.members).map(|number| member(number).host).collect();
        node.add_seed_hosts(&hosts);
        if !self.timed() {
            node.set_clock(now);
        }
        node
    }

    /// The members of the first start.
    fn founders(&self) -> Vec<Member> {
        (0..self.members - self.joining).map(member).collect()
    }

    fn initial_state(&self) -> ClusterState {
        disable_guards(&[]);
        let all: Vec<Member> = (0..self.members).map(member).collect();
        let founders = self.founders();
        let now = if self.timed() { 10 } else { self.idle_clock };
        let restored = |me: &Member| match founders.contains(me) {
            true => Restored::bootstrap(me.clone(), founders.clone()),
            false => Restored::joining(me.clone()),
        };
        let machine = |me: &Member| Machine {
            node: Hashed::new(self.new_node(restored(me), now)),
            disk: Hashed::new(Disk::default()),
            writes: Vec::new(),
            applied: 0,
            proposals: Vec::new(),
            reads: Vec::new(),
        };
        let mut state = ClusterState {
            machines: all.iter().map(machine).collect(),
            network: Vec::new(),
            now,
            used: [0; KINDS],
            wiped: false,
            committed: Vec::new(),
            leaders: Vec::new(),
            versions: Vec::new(),
            violation: None,
        };
        // Machine 0 leads in term 1, and all members follow it.
        let preparation = Scenario {
            max_in_flight: 100,
            slow_disks: false,
            pre_votes_as_messages: false,
            disabled: Vec::new(),
            ..self.clone()
        };
        if self.timed() {
            state.now += 2;
        }
        preparation.run_script(&mut state, &[Action::StartElection(0)]);
        preparation.deliver_everything(&mut state);
        if self.timed() {
            state.now += 1;
        }
        preparation.run_script(&mut state, &[Action::Heartbeat(0)]);
        preparation.deliver_everything(&mut state);
        let mut founder_machines = state.machines.iter().take(founders.len());
        assert!(founder_machines.all(|machine| machine.applied == 1 && machine.node.term() == 1));
        // Writes are synced at once in the preceding actions, unless these sync writes or restart machines explicitly.
        let slow_disks = self.slow_disks
            && self.before.iter().any(|action| matches!(action, Action::Sync(_) | Action::Restart(..)));
        Scenario {
            disabled: self.disabled.clone(),
            slow_disks,
            pre_votes_as_messages: self.pre_votes_as_messages,
            ..preparation
        }
        .run_script(&mut state, &self.before);
        state.used = [0; KINDS];
        state
    }

    fn run_script(&self, state: &mut ClusterState, actions: &[Action]) {
        for action in actions {
            *state = self.next_state(state, *action).unwrap();
        }
    }

    fn deliver_everything(&self, state: &mut ClusterState) {
        while !state.network.is_empty() {
            self.run_script(state, &[Action::Deliver(0)]);
        }
    }

    /// Runs `action` on a member, processes its outputs and checks the rules.
    fn run_on(
        &self,
        state: &mut ClusterState,
        number: usize,
        action: impl FnOnce(&mut Consensus, &mut ClusterState),
    ) {
        let mut node = (*state.machines[number].node).clone();
        let (members, was_leader) = (node.members().to_vec(), node.is_leader());
        action(&mut node, state);
        self.process_outputs(state, number, &mut node);
        if !self.timed() {
            node.set_clock(self.idle_clock);
        }
        if node.is_leader() && was_leader && node.members() != members {
            self.check_change(state, &node, &members);
        }
        state.machines[number].node = Hashed::new(node);
        self.check(state, number);
        if !self.stale_terms {
            let ClusterState { machines, network, .. } = state;
            network.retain(|hashed| {
                let (to, envelope) = &**hashed;
                let node = &machines[*to].node;
                let bound = !matches!(
                    envelope.msg,
                    Msg::PreVote { .. } | Msg::PreVoteReply { .. } | Msg::Join | Msg::Redirect { .. }
                );
                (envelope.to == 0 || envelope.to == node.me().id) && !(bound && envelope.term < node.term())
            });
        }
        state.network.sort_by_key(|hashed| (hashed.1.term, hashed.hash_of()));
        state.network.dedup();
        let excess = state.network.len().saturating_sub(self.max_in_flight);
        state.network.drain(..excess);
    }

    fn process_outputs(&self, state: &mut ClusterState, number: usize, node: &mut Consensus) {
        loop {
            let mut out = node.take_outputs();
            if node.is_leader() {
                match state.leaders.iter().find(|(term, _)| *term == node.term()) {
                    Some((_, id)) if *id != node.me().id => {
                        _ = state.violation.get_or_insert(Violation::TwoLeadersInATerm)
                    }
                    Some(_) => {}
                    None => state.leaders.push((node.term(), node.me().id)),
                }
            }
            if let Some(snapshot) = out.restored_state.take() {
                let known = snapshot.index <= state.committed.len() as u64;
                if snapshot.index < state.machines[number].applied || !known {
                    _ = state.violation.get_or_insert(Violation::GapInState);
                }
                state.machines[number].applied = snapshot.index;
            }
            for entry in out.committed {
                self.commit(state, number, node, entry);
            }
            let machine = &mut state.machines[number];
            for index in out.unresolved {
                machine.proposals.retain(|(proposed, _)| *proposed != index);
            }
            for (ticket, ready) in out.reads {
                let position = machine.reads.iter().position(|(open, _)| *open == ticket);
                let required = position.map_or(0, |position| machine.reads.remove(position).1);
                if ready && machine.applied < required {
                    _ = state.violation.get_or_insert(Violation::StaleRead);
                }
            }
            for (host, envelope) in out.send {
                let to = (0..self.members).find(|number| member(*number).host == host);
                if let Some(to) = to.filter(|to| *to != number) {
                    state.network.push(Hashed::new((to, envelope)));
                }
            }
            machine.writes.extend(out.writes.into_iter().map(Hashed::new));
            if self.slow_disks || machine.writes.is_empty() {
                return;
            }
            while !state.machines[number].writes.is_empty() {
                let ticket = self.sync_oldest_write(state, number);
                node.written(self.idle_time(state), ticket);
            }
        }
    }

    /// Applies the oldest pending write of a machine to its disk.
    fn sync_oldest_write(&self, state: &mut ClusterState, number: usize) -> u64 {
        let machine = &mut state.machines[number];
        let write = machine.writes.remove(0);
        let mut disk = (*machine.disk).clone();
        if !disk.save(&write) || !disk.is_consistent() {
            _ = state.violation.get_or_insert(Violation::WriteDoesNotFit);
        }
        machine.disk = Hashed::new(disk);
        write.ticket
    }

    fn commit(&self, state: &mut ClusterState, number: usize, node: &Consensus, entry: Entry) {
        let machine = &mut state.machines[number];
        if entry.index != machine.applied + 1 {
            _ = state.violation.get_or_insert(Violation::GapInState);
        }
        machine.applied = entry.index;
        let (index, term) = (entry.index, entry.term);
        match state.committed.get(index as usize - 1) {
            Some(first) if first.entry != entry => {
                _ = state.violation.get_or_insert(Violation::TwoEntriesAtAnIndex)
            }
            Some(_) => {}
            None => {
                let has_entry = |member: &&Member| {
                    state
                        .machines
                        .iter()
                        .any(|machine| machine.node.me().id == member.id && machine.disk.holds(index, term))
                };
                // After a wipe this isn't checked: the lost disk may have been one that acknowledged the entry.
                let on_majority = node.members().iter().filter(has_entry).count() > node.members().len() / 2;
                if !on_majority && !state.wiped {
                    _ = state.violation.get_or_insert(Violation::CommittedWithoutMajority);
                }
                state.committed.push(Hashed::new(Committed { entry, leader_term: node.term() }));
            }
        }
        // The replicated state is a version number; a change takes effect if it builds on the current version.
        let proposals = &mut state.machines[number].proposals;
        let position = proposals.iter().position(|(proposed, _)| *proposed == index);
        let Some((_, base)) = position.map(|position| proposals.remove(position)) else {
            return;
        };
        if base == state.version(index - 1) {
            if state.versions.contains(&base) {
                _ = state.violation.get_or_insert(Violation::TwoChangesOfAVersion);
            }
            state.versions.push(base);
        }
    }

    /// New members must have every entry that the leader knows to be committed.
    fn check_change(&self, state: &mut ClusterState, node: &Consensus, before: &[Member]) {
        for new in node.members().iter().filter(|member| !before.contains(member)) {
            let machine = state.machines.iter().find(|machine| machine.node.me() == new);
            let has_committed = |machine: &Machine| {
                state.committed.iter().all(|committed| {
                    let entry = &committed.entry;
                    entry.index > node.commit() || machine.disk.holds(entry.index, entry.term)
                })
            };
            if !machine.is_some_and(has_committed) {
                _ = state.violation.get_or_insert(Violation::MemberLacksCommitted);
            }
        }
    }

    /// Checks the rules between members after an action of one.
    fn check(&self, state: &mut ClusterState, number: usize) {
        let node = &state.machines[number].node;
        for other in (0..self.members).filter(|other| *other != number) {
            // If two logs have an entry of the same term at an index, all entries up to it must be equal.
            let mut differ = false;
            let (_, others) = state.machines[other].node.entries();
            for other in others {
                let Some(mine) = node.entry(other.index) else { continue };
                if mine.term == other.term && (differ || mine != other) {
                    _ = state.violation.get_or_insert(Violation::LogsDiffer);
                }
                differ |= mine.term != other.term;
            }
        }
        for machine in state.machines.iter().filter(|machine| machine.node.is_leader()) {
            let (base, _) = machine.node.entries();
            let term = machine.node.term();
            for one in state.committed.iter().filter(|one| one.leader_term < term && one.entry.index > base) {
                if machine.node.entry(one.entry.index) != Some(&one.entry) {
                    _ = state.violation.get_or_insert(Violation::LeaderLacksCommitted);
                }
            }
        }
    }

    /// A member whose election time ended requests pre-votes. As these change nothing at the other members, the
    /// replies are computed and delivered at once.
    fn start_election(&self, state: &mut ClusterState, number: usize) {
        let now = self.idle_time(state) + u64::from(!self.timed());
        if self.pre_votes_as_messages {
            return self.run_on(state, number, |node, _| node.tick(now));
        }
        self.run_on(state, number, |node, state| {
            node.tick(now);
            let mut out = node.take_outputs();
            let (asks, rest) =
                out.send.into_iter().partition(|(_, envelope)| matches!(envelope.msg, Msg::PreVote { .. }));
            out.send = rest;
            state.machines[number].writes.extend(out.writes.into_iter().map(Hashed::new));
            let asks: Vec<(String, Envelope)> = asks;
            let mut answers = Vec::new();
            for (host, ask) in asks {
                let asked = state.machines.iter().zip(0..).find(|(_, number)| member(*number).host == host);
                let Some((machine, _)) = asked else { continue };
                let mut asked = (*machine.node).clone();
                asked.step(self.idle_time(state), ask);
                let sends = asked.take_outputs().send.into_iter().map(|(_, envelope)| envelope);
                answers.extend(sends.filter(|envelope| matches!(envelope.msg, Msg::PreVoteReply { .. })));
            }
            let yes = |envelope: &&Envelope| matches!(envelope.msg, Msg::PreVoteReply { granted: true, .. });
            let enough = answers.iter().filter(yes).count() + 1 > node.members().len() / 2;
            for envelope in answers.iter().filter(|envelope| !enough || yes(envelope)) {
                node.step(now, envelope.clone());
            }
            for (host, envelope) in out.send {
                let to = (0..self.members).find(|number| member(*number).host == host);
                state.network.extend(to.filter(|to| *to != number).map(|to| Hashed::new((to, envelope))));
            }
        });
    }

    fn restart(&self, state: &mut ClusterState, number: usize, wiped: bool) {
        let now = self.idle_time(state);
        let machine = &mut state.machines[number];
        let mut me = machine.node.me().clone();
        if wiped {
            machine.disk = Hashed::new(Disk::default());
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
            None if self.keeps_number || !wiped => Restored::bootstrap(me, founders),
            None => {
                me.id += 10;
                Restored::joining(me)
            }
        };
        machine.disk = Hashed::new(disk);
        machine.writes.clear();
        machine.proposals.clear();
        machine.reads.clear();
        machine.applied = 0;
        machine.node = Hashed::new(self.new_node(restored, now));
        self.run_on(state, number, |_, _| ());
    }

    /// Searches for a broken rule and returns it with the actions that led to it. With one thread the result is
    /// always the same.
    pub fn search(self, threads: usize) -> Option<(&'static str, Vec<Action>)> {
        let (name, disabled, start) = (self.name, self.disabled.clone(), Instant::now());
        let seconds = std::env::var("MODEL_SECONDS").map_or(600, |seconds| seconds.parse().unwrap());
        let depth = std::env::var("MODEL_DEPTH").map_or(self.depth, |depth| depth.parse().unwrap());
        let checker =
            self.checker().threads(threads).timeout(Duration::from_secs(seconds)).target_max_depth(depth);
        let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        let found = checker.discoveries().into_iter().next();
        let found = found.map(|(property, path)| (property, path.into_actions()));
        let (states, deep, took) =
            (checker.unique_state_count(), checker.max_depth(), start.elapsed().as_secs_f64());
        println!("{name} without {disabled:?}: {states} states, {deep} deep, {took:.1} s; {found:?}");
        assert!(found.is_some() || took < seconds as f64, "{name}: search not finished within {seconds} s");
        found
    }

    /// No rule is broken within the scenario's depth, or that in `MODEL_DEPTH`.
    pub fn holds(self) {
        assert_eq!(self.search(2), None);
    }

    /// Some rule is broken without `guard`.
    pub fn breaks(mut self, guard: Guard) {
        self.disabled.push(guard);
        self.depth = usize::MAX;
        assert!(self.search(1).is_some(), "no rule is broken without {guard:?}");
    }
}

/// The first member on a machine.
pub fn member(number: usize) -> Member {
    Member { id: number as u64 + 1, host: ["a", "b", "c", "d", "e"][number].to_owned() }
}

impl ClusterState {
    /// The version after the entry at `index`: the number of changes that took effect.
    fn version(&self, index: u64) -> u64 {
        let mut version = 0;
        for one in self.committed.iter().take(index as usize) {
            if let Body::Data(data) = &one.entry.body {
                version += u64::from(data.split(':').next() == Some(version.to_string().as_str()));
            }
        }
        version
    }

    fn record_use(&mut self, kind: usize) {
        self.used[kind] = self.used[kind].saturating_add(1);
    }
}

impl Model for Scenario {
    type State = ClusterState;
    type Action = Action;

    fn init_states(&self) -> Vec<ClusterState> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &ClusterState, actions: &mut Vec<Action>) {
        if state.violation.is_some() {
            return;
        }
        let may = |kind: usize| state.used[kind] < self.limits[kind];
        if may(ADVANCE) {
            actions.push(Action::Advance);
        }
        for (number, machine) in state.machines.iter().enumerate() {
            let node = &machine.node;
            let due = !self.timed() || node.next_wake() <= state.now;
            if node.is_leader() {
                if may(HEARTBEAT) && due {
                    actions.push(Action::Heartbeat(number));
                }
                if may(PROPOSE) && node.ready() {
                    actions.push(Action::Propose(number));
                }
                if may(READ) {
                    actions.push(Action::Read(number));
                }
            } else if may(START_ELECTION)
                && due
                && node.term() < self.terms
                && self.candidates.contains(&number)
            {
                actions.push(Action::StartElection(number));
            }
            if may(RESTART) {
                actions.push(Action::Restart(number, false));
                if !machine.writes.is_empty() {
                    actions.push(Action::Restart(number, true));
                }
            }
            if may(WIPE) {
                actions.push(Action::Wipe(number));
            }
            if may(SNAPSHOT) && machine.applied > machine.disk.base() {
                actions.push(Action::Snapshot(number));
            }
            if !machine.writes.is_empty() {
                actions.push(Action::Sync(number));
                if may(FAIL_WRITE) {
                    actions.extend([Action::FailWrite(number, false), Action::FailWrite(number, true)]);
                }
            }
        }
        for place in 0..state.network.len() {
            actions.push(Action::Deliver(place));
            if may(DUPLICATE) {
                actions.push(Action::Duplicate(place));
            }
        }
    }

    fn next_state(&self, last: &ClusterState, action: Action) -> Option<ClusterState> {
        disable_guards(&self.disabled);
        let mut state = last.clone();
        let now = self.idle_time(&state);
        match action {
            Action::StartElection(number) => {
                state.record_use(START_ELECTION);
                self.start_election(&mut state, number);
            }
            Action::Heartbeat(number) => {
                state.record_use(HEARTBEAT);
                let now = now + u64::from(!self.timed());
                self.run_on(&mut state, number, |node, _| node.tick(now));
            }
            Action::Propose(number) => {
                state.record_use(PROPOSE);
                let (base, nth) = (state.version(state.machines[number].applied), state.used[PROPOSE]);
                self.run_on(&mut state, number, |node, state| {
                    if let Ok(index) = node.propose(now, format!("{base}:{nth}")) {
                        state.machines[number].proposals.push((index, base));
                    }
                });
            }
            Action::Read(number) => {
                state.record_use(READ);
                let need = state.committed.len() as u64;
                self.run_on(&mut state, number, |node, state| {
                    if let Ok(ticket) = node.read(now) {
                        state.machines[number].reads.push((ticket, need));
                    }
                });
            }
            Action::Deliver(place) | Action::Duplicate(place) => {
                let hashed = state.network[place].clone();
                if action == Action::Deliver(place) {
                    state.network.remove(place);
                } else {
                    state.record_use(DUPLICATE);
                }
                let (to, envelope) = &*hashed;
                self.run_on(&mut state, *to, |node, _| node.step(now, envelope.clone()));
            }
            Action::Sync(number) => {
                let ticket = self.sync_oldest_write(&mut state, number);
                self.run_on(&mut state, number, |node, _| node.written(now, ticket));
            }
            Action::FailWrite(number, reached) => {
                state.record_use(FAIL_WRITE);
                let ticket = state.machines[number].writes[0].ticket;
                if reached {
                    self.sync_oldest_write(&mut state, number);
                } else {
                    state.machines[number].writes.remove(0);
                }
                // Later writes that depend on the failed one are rejected in turn.
                let machine = &mut state.machines[number];
                let mut newest = machine.disk.ticket;
                machine.writes.retain(|write| {
                    let fits = write.after == 0 || write.after == newest;
                    newest = if fits { write.ticket } else { newest };
                    fits
                });
                self.run_on(&mut state, number, |node, _| node.write_failed(now, ticket));
            }
            Action::Restart(number, reached) => {
                state.record_use(RESTART);
                if reached {
                    self.sync_oldest_write(&mut state, number);
                }
                self.restart(&mut state, number, false);
            }
            Action::Wipe(number) => {
                state.record_use(WIPE);
                state.wiped = true;
                self.restart(&mut state, number, true);
            }
            Action::Snapshot(number) => {
                state.record_use(SNAPSHOT);
                let applied = state.machines[number].applied;
                self.run_on(&mut state, number, |node, _| node.snapshot(now, applied, String::new()));
            }
            Action::LoseEverything => state.network.clear(),
            Action::DeliverEverything => self.deliver_everything(&mut state),
            Action::DeliverAll(number) | Action::DeliverOthers(number) | Action::DeliverPreVotes(number) => {
                let wanted = |hashed: &Hashed<(usize, Envelope)>| {
                    let kind = match hashed.1.msg {
                        Msg::PreVote { .. } => Action::DeliverPreVotes(number),
                        Msg::PreVoteReply { .. } => Action::DeliverAll(number),
                        _ => Action::DeliverOthers(number),
                    };
                    hashed.0 == number && (action == Action::DeliverAll(number) || action == kind)
                };
                let (here, rest): (Vec<_>, Vec<_>) =
                    std::mem::take(&mut state.network).into_iter().partition(wanted);
                state.network = rest;
                for hashed in here {
                    self.run_on(&mut state, number, |node, _| node.step(now, hashed.1.clone()));
                }
            }
            Action::Advance => {
                state.record_use(ADVANCE);
                state.now += 1;
            }
        }
        if self.timed() && state.violation.is_none() {
            let lease = self.tuning().election_min_ms;
            let surely =
                |machine: &&Machine| machine.node.quorum_age(state.now).is_some_and(|age| age < lease);
            if state.machines.iter().filter(surely).count() > 1 {
                _ = state.violation.get_or_insert(Violation::TwoLeases);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn holds<const N: usize>(_: &Scenario, state: &ClusterState) -> bool {
            state.violation != Some(RULES[N].1)
        }
        let holds: [fn(&Scenario, &ClusterState) -> bool; RULES.len()] = [
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
        RULES.iter().zip(holds).map(|((rule, _), holds)| Property::always(rule, holds)).collect()
    }
}
