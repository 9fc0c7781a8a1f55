//! A second loss at every step of a repair, a return or a replacement, of every machine and of every kind. As long as
//! the losses are within the fault tolerance, the remaining machines can decide, and no acknowledged value is lost.

mod cluster;

use cluster::Cluster;
use nickeljunction_consensus::model::{disable_guards, Guard};
use nickeljunction_consensus::{Consensus, MemberId, Tuning};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between proposals, ms.
const PROPOSE_INTERVAL_MS: u64 = 25;
/// After a tolerated loss a new value is acknowledged within this time, ms: the longest election, and a margin.
const DECISION_MS: u64 = 1_500;
/// Shortest duration of the second loss, ms.
const LOSS_MS: u64 = 2_000;
/// Time for which a process that has to stop waits to be replaced, ms.
const LEAVE_MS: u64 = 3_000;
/// Duration of a power loss of all machines, ms.
const BLACKOUT_MS: u64 = 300;
/// Once everything is repaired, the core has all its members within this time, ms.
const RECOVERY_MS: u64 = 10_000;

/// An action on a machine in a scenario.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Action {
    /// It loses power and all unsynced writes.
    LosePower,
    /// Its disk is lost.
    Wipe,
    /// Its process is told to stop, waits to be replaced, and stops.
    Stop,
    /// It starts from its disk.
    Start,
    /// It is isolated from all other machines.
    Isolate,
    /// All links work again.
    Reconnect,
    /// If true its disk syncs nothing any more, if false it does again.
    Hang(bool),
    /// Operators order its replacement by the given machine, and stop it once it is no longer a member.
    Replace(usize),
}

/// A first fault and its repair: the actions by time, and until when each machine concerned counts as lost.
#[derive(Debug, Clone)]
struct Scenario {
    name: &'static str,
    members: usize,
    /// The first faulty machine is the leader.
    leads: bool,
    /// Entries committed before; with many, a joining machine gets a snapshot.
    entries: usize,
    /// The time, the machine and the action.
    actions: Vec<(u64, usize, Action)>,
    /// Groups of machines that count as one loss (a member and its replacement), and until when each counts as lost.
    lost_groups: Vec<(Vec<usize>, u64)>,
    /// Disks that are wiped in the scenario, or don't come back.
    disks_lost: usize,
    /// Guards that are disabled.
    disabled: Vec<Guard>,
}

/// The second loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    Power,
    Wipe,
    Isolation,
    /// Its disk is lost, and all other machines lose power and their unsynced writes; all are back a moment later.
    Blackout,
}

const LOSSES: [Loss; 4] = [Loss::Power, Loss::Wipe, Loss::Isolation, Loss::Blackout];

/// When the second loss happens: at the step, or right after the next acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Moment {
    Step,
    Acknowledged,
}

/// The number of losses tolerated at once, and for how long after its return a machine counts as lost, ms.
fn fault_tolerance(members: usize) -> (usize, u64) {
    match members {
        3 => (1, 4_000),
        _ => (2, 6_000),
    }
}

/// A cluster that runs through a scenario.
struct Run<'a> {
    scenario: &'a Scenario,
    cluster: Cluster,
    started_at: u64,
    next_action: usize,
    propose_at: u64,
    /// Earliest time of a planned stop.
    stops_from: u64,
    /// The machine that stops as soon as it may, and the latest time for that.
    stopping: Option<(usize, u64)>,
    stop_requested: bool,
    /// The machine that stops once it is no longer a member, and its replacement.
    ordered_replacement: Option<(usize, usize)>,
    /// Machine numbers by position in the scenario: the first faulty machine, the other members, then new machines.
    numbers: Vec<usize>,
}

impl Scenario {
    fn begin(&self) -> Run<'_> {
        let (losses, _) = fault_tolerance(self.members);
        let mut cluster = Cluster::with_tuning(self.members, 7, Tuning::tolerating(losses));
        cluster.encode_messages = false;
        let leader = cluster.wait_for_leader(3_000);
        for _ in 0..self.entries.max(1) {
            cluster.commit(1_000);
        }
        let others = (0..self.members).filter(|number| *number != leader);
        let mut numbers: Vec<usize> = if self.leads {
            std::iter::once(leader).chain(others).collect()
        } else {
            others.chain([leader]).collect()
        };
        let last_position = self.actions.iter().map(|(_, position, _)| *position).max().unwrap_or(0);
        while numbers.len() <= last_position {
            numbers.push(cluster.add_machine());
        }
        let started_at = cluster.now;
        Run {
            scenario: self,
            cluster,
            started_at,
            next_action: 0,
            propose_at: started_at,
            stops_from: 0,
            stopping: None,
            stop_requested: false,
            ordered_replacement: None,
            numbers,
        }
    }
}

impl Run<'_> {
    fn elapsed_ms(&self) -> u64 {
        self.cluster.now - self.started_at
    }

    fn perform(&mut self, position: usize, action: Action) {
        let number = self.numbers[position];
        match action {
            Action::LosePower => self.cluster.lose_power_keeping(number, 0),
            Action::Wipe => self.cluster.wipe(number),
            Action::Stop => {
                self.cluster.leave(number);
                self.stop_requested = true;
                self.stopping = Some((number, self.cluster.now + LEAVE_MS));
            }
            Action::Start => self.cluster.start(number),
            Action::Isolate => self.cluster.isolate(number, true, true),
            Action::Reconnect => self.cluster.blocked_links.clear(),
            Action::Hang(hangs) => self.cluster.machines[number].disk.hang(hangs),
            Action::Replace(by) => {
                let by = self.numbers[by];
                self.ordered_replacement = Some((number, by));
            }
        }
    }

    /// Proposes a value if one is due.
    fn propose(&mut self) {
        if self.cluster.now >= self.propose_at {
            self.propose_at = self.cluster.now + PROPOSE_INTERVAL_MS;
            if let Some(leader) = self.cluster.leader() {
                self.cluster.propose(leader);
                // Repeating the order is harmless.
                if let Some((number, by)) = self.ordered_replacement {
                    self.cluster.propose_exclusions(leader, &[(number, Some(by))]);
                }
            }
        }
    }

    /// Runs the next event of the scenario.
    fn run_next_event(&mut self) {
        self.propose();
        if let Some((at, position, action)) = self.scenario.actions.get(self.next_action).copied() {
            // A planned stop waits until the second loss is repaired.
            let from = if action == Action::Stop { self.stops_from } else { 0 };
            if (self.started_at + at).max(from) <= self.cluster.now {
                self.next_action += 1;
                return self.perform(position, action);
            }
        }
        if let Some((number, until)) = self.stopping {
            let node = self.cluster.machines[number].node.as_ref();
            if self.cluster.now >= until || node.is_none_or(Consensus::may_stop) {
                self.stopping = None;
                self.cluster.resign(number);
                return self.cluster.kill(number);
            }
        }
        if let Some((number, _)) = self.ordered_replacement.filter(|(number, _)| self.is_removed(*number)) {
            self.ordered_replacement = None;
            return self.cluster.kill(number);
        }
        let due =
            self.scenario.actions.get(self.next_action).map_or(u64::MAX, |(at, ..)| self.started_at + at);
        let due = if due <= self.cluster.now { self.stops_from } else { due };
        let due = self.stopping.map_or(due, |(_, until)| until.min(due));
        let end = due.min(self.propose_at);
        self.cluster.next_event(end);
    }

    /// The committed member list doesn't have this machine.
    fn is_removed(&self, number: usize) -> bool {
        let host = &self.cluster.machines[number].host;
        self.cluster.committed_members().is_some_and(|list| list.iter().all(|member| member.host != *host))
    }

    /// A description of the repair's progress: which machines run, which one leads, how many members each has in its
    /// log, how many are committed, and what joining machines have on their disks.
    fn step(&self) -> String {
        let commit = self.cluster.newest_commit();
        let known: BTreeSet<MemberId> =
            self.cluster.leader().map(|leader| self.ids(leader)).into_iter().flatten().collect();
        let mut step = String::new();
        for number in 0..self.cluster.machines.len() {
            let machine = &self.cluster.machines[number];
            let Some(node) = &machine.node else {
                step.push_str("down; ");
                continue;
            };
            let progress = if known.contains(&node.me().id) {
                "member"
            } else if commit.is_some_and(|commit| self.cluster.has_synced(number, commit)) {
                "caught up"
            } else if machine
                .disk
                .synced()
                .is_some_and(|kept| kept.snapshot.is_some() || !kept.entries.is_empty())
            {
                "receiving"
            } else {
                "joining"
            };
            let leads = if node.is_leader() { "leads " } else { "" };
            step.push_str(&format!("{leads}{progress} {:?}; ", self.ids(number).len()));
        }
        let committed = self.cluster.committed_members().map_or(0, Vec::len);
        format!("{step}committed {committed}")
    }

    /// The core has the wanted number of members, and all of them run and have the same list.
    fn is_complete(&self) -> bool {
        let Some(leader) = self.cluster.leader() else { return false };
        let list = self.cluster.node(leader).members();
        let nodes = || self.cluster.machines.iter().filter_map(|machine| machine.node.as_ref());
        let count_matches = match self.scenario.disabled.contains(&Guard::StandbyLimit) {
            true => list.len() >= self.scenario.members,
            false => list.len() == self.scenario.members,
        };
        count_matches
            && list.iter().all(|member| nodes().any(|node| node.me() == member && node.members() == list))
    }

    fn ids(&self, number: usize) -> Vec<MemberId> {
        let ids = |node: &Consensus| node.members().iter().map(|member| member.id).collect();
        self.cluster.machines[number].node.as_ref().map_or_else(Vec::new, ids)
    }
}

/// Checks the rules after every event of a scenario without a second loss.
struct RuleChecker {
    /// Machines that a leader has had as members so far.
    counted: BTreeSet<MemberId>,
    commit: (u64, u64),
}

impl RuleChecker {
    fn check(&mut self, run: &Run) {
        let cluster = &run.cluster;
        if let Some(leader) = cluster.leader() {
            for id in run.ids(leader) {
                if self.counted.insert(id) {
                    let has_id = |number: &usize| {
                        cluster.machines[*number].node.as_ref().is_some_and(|node| node.me().id == id)
                    };
                    let number = (0..cluster.machines.len()).find(has_id).unwrap();
                    // It must have everything on its disk that was committed by the event before.
                    assert!(
                        cluster.has_synced(number, self.commit),
                        "{number} is a member before its disk has all committed entries"
                    );
                }
            }
        }
        let Some(commit) = cluster.newest_commit() else { return };
        self.commit = commit;
        let holders: Vec<usize> =
            (0..cluster.machines.len()).filter(|number| cluster.has_synced(*number, commit)).collect();
        let faulty = run.numbers[0];
        assert!(
            holders.iter().any(|number| *number != faulty),
            "{commit:?} is only on the member that is being replaced"
        );
        if let Some(list) = cluster.committed_members() {
            let has = |number: &usize| {
                let host = &cluster.machines[*number].host;
                // A machine whose disk is lost counts as having had it.
                let lost = cluster.machines[*number].disk.synced().is_none();
                list.iter().any(|member| member.host == *host) && (lost || holders.contains(number))
            };
            let count = (0..cluster.machines.len()).filter(has).count();
            let (tolerated, _) = fault_tolerance(run.scenario.members);
            assert!(count > list.len() / 2, "{commit:?} is on {count} disks of {} members", list.len());
            assert!(count > tolerated, "{commit:?} is on only {count} disks");
        }
    }
}

/// The steps of a scenario: the number of each event after which the step is new, or a group of machines counts as
/// repaired, with the step's description.
fn steps(scenario: &Scenario) -> Vec<(usize, String)> {
    let mut run = scenario.begin();
    let mut checker =
        RuleChecker { counted: (0..scenario.members).flat_map(|n| run.ids(n)).collect(), commit: (0, 0) };
    let actions = scenario.actions.iter().map(|(at, ..)| at + 3_000);
    let last = scenario.lost_groups.iter().map(|(_, until)| *until).chain(actions).max().unwrap_or(0);
    let mut marks: Vec<u64> =
        scenario.lost_groups.iter().flat_map(|(_, until)| [*until, until + 500]).collect();
    let mut seen = BTreeSet::new();
    let mut steps = Vec::new();
    for event in 1.. {
        run.run_next_event();
        checker.check(&run);
        let step = run.step();
        let marked = marks.iter().any(|mark| *mark <= run.elapsed_ms());
        marks.retain(|mark| *mark > run.elapsed_ms());
        if seen.insert(step.clone()) || marked {
            let name = if marked { format!("{step}, repaired") } else { step };
            steps.push((event, name));
        }
        if run.elapsed_ms() > last + 600 {
            break;
        }
    }
    steps
}

/// The outcome of a first and a second loss.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    /// The losses are within the fault tolerance.
    tolerated: bool,
    /// Time after the second loss at which a new value was acknowledged, ms.
    decided_ms: Option<u64>,
    /// After the repair the core is complete and decides again.
    recovered: bool,
}

/// Runs a scenario up to an event, injects the second loss, and examines the remaining machines.
fn run_with_second_loss(
    scenario: &Scenario,
    event: usize,
    victim: usize,
    loss: Loss,
    moment: Moment,
) -> Option<Outcome> {
    let mut run = scenario.begin();
    (0..event).for_each(|_| run.run_next_event());
    if moment == Moment::Acknowledged {
        let acknowledged = run.cluster.acknowledged.len();
        let until = run.cluster.now + 500;
        while run.cluster.acknowledged.len() == acknowledged && run.cluster.now < until {
            run.run_next_event();
        }
    }
    run.cluster.machines[victim].node.as_ref()?;
    let (tolerated, resync_ms) = fault_tolerance(scenario.members);
    let at = run.elapsed_ms();
    let lost = |(machines, until): &&(Vec<usize>, u64)| {
        at < *until || machines.iter().any(|position| run.numbers[*position] == victim)
    };
    let in_scenario = scenario
        .lost_groups
        .iter()
        .any(|(machines, _)| machines.iter().any(|position| run.numbers[*position] == victim));
    let count = scenario.lost_groups.iter().filter(lost).count() + usize::from(!in_scenario);
    let within_tolerance = count <= tolerated;
    run.stops_from = run.cluster.now + LOSS_MS + resync_ms;
    inject(&mut run, victim, loss);
    let lost_at = run.cluster.now;
    let acknowledged = run.cluster.acknowledged.len();
    let back_ms = if loss == Loss::Blackout { BLACKOUT_MS } else { 0 };
    let wait = if within_tolerance { DECISION_MS + back_ms } else { 700 };
    while run.cluster.acknowledged.len() == acknowledged && run.cluster.now < lost_at + wait {
        run.run_next_event();
    }
    let decided_ms = (run.cluster.acknowledged.len() > acknowledged).then(|| run.cluster.now - lost_at);
    // Beyond the fault tolerance the core need not decide before all machines that kept their disks are back, and, if
    // more disks than tolerated are lost, never again.
    let disks_lost = scenario.disks_lost + usize::from(matches!(loss, Loss::Wipe | Loss::Blackout));
    let can_recover =
        within_tolerance || matches!(loss, Loss::Power | Loss::Isolation) || disks_lost <= tolerated;
    let recovered = !can_recover || repair(&mut run, victim, loss, lost_at);
    Some(Outcome { tolerated: within_tolerance, decided_ms, recovered })
}

fn inject(run: &mut Run, victim: usize, loss: Loss) {
    let cluster = &mut run.cluster;
    match loss {
        Loss::Power => cluster.lose_power_keeping(victim, 0),
        Loss::Wipe => cluster.wipe(victim),
        Loss::Isolation => cluster.isolate(victim, true, true),
        Loss::Blackout => {
            let up = |number: &usize| cluster.machines[*number].node.is_some();
            let powerless: Vec<usize> = (0..cluster.machines.len()).filter(up).collect();
            powerless.iter().for_each(|number| cluster.lose_power_keeping(*number, 0));
            cluster.wipe(victim);
            cluster.run(BLACKOUT_MS);
            powerless.iter().for_each(|number| cluster.start(*number));
            if let Some((number, _)) = run.stopping {
                // The restarted process has to be told again to stop.
                cluster.leave(number);
                run.stopping = Some((number, cluster.now + LEAVE_MS));
            }
        }
    }
}

/// Ends the second loss, runs the scenario to its end, and waits until the core is complete; its members must then
/// have all acknowledged values. Returns false if the core doesn't become complete in time.
fn repair(run: &mut Run, victim: usize, loss: Loss, lost_at: u64) -> bool {
    while run.cluster.now < lost_at + LOSS_MS {
        run.run_next_event();
    }
    match loss {
        // A process that was told to stop doesn't come back.
        _ if victim == run.numbers[0] && run.stop_requested => {}
        Loss::Power | Loss::Wipe if run.cluster.machines[victim].node.is_none() => run.cluster.start(victim),
        _ => {}
    }
    while run.next_action < run.scenario.actions.len() {
        run.run_next_event();
    }
    run.cluster.blocked_links.clear();
    let faulty = run.numbers[0];
    let stops_for_good = |action: &Action| matches!(action, Action::Stop | Action::Replace(_));
    let last = run
        .scenario
        .actions
        .iter()
        .rev()
        .find(|(_, position, _)| *position == 0)
        .map(|(_, _, action)| *action);
    let replaced =
        run.numbers.len() > run.scenario.members && !last.is_some_and(|action| action == Action::Start);
    for number in 0..run.cluster.machines.len() {
        let stays_down = number == faulty && (replaced || last.as_ref().is_some_and(stops_for_good));
        if run.cluster.machines[number].node.is_none() && !stays_down {
            run.cluster.start(number);
        }
    }
    let until = run.cluster.now + RECOVERY_MS;
    while !run.is_complete() {
        if run.cluster.now >= until {
            return false;
        }
        run.cluster.run(20);
    }
    run.cluster.commit(1_000);
    run.cluster.run(250);
    run.cluster.members().iter().for_each(|number| run.cluster.assert_has_acknowledged(*number));
    true
}

/// The outcomes of all runs of a scenario, each with another second loss.
#[derive(Default)]
struct Tally {
    runs: usize,
    tolerated: usize,
    /// Runs that decided although the losses were beyond the fault tolerance.
    decided_beyond: usize,
    slowest_ms: u64,
    /// Tolerated runs that did not decide, and runs that did not recover.
    failures: Vec<String>,
    /// By loss: runs, tolerated, decided, slowest of the tolerated, ms.
    by_loss: BTreeMap<Loss, (usize, usize, usize, u64)>,
}

fn run_all(scenario: &Scenario) -> Tally {
    disable_guards(&scenario.disabled);
    let mut tally = Tally::default();
    let steps = steps(scenario);
    let machines = scenario.begin().cluster.machines.len();
    for (event, step) in &steps {
        for victim in 0..machines {
            for loss in LOSSES {
                for moment in [Moment::Step, Moment::Acknowledged] {
                    let Some(outcome) = run_with_second_loss(scenario, *event, victim, loss, moment) else {
                        continue;
                    };
                    let totals = tally.by_loss.entry(loss).or_default();
                    tally.runs += 1;
                    totals.0 += 1;
                    totals.2 += usize::from(outcome.decided_ms.is_some());
                    if !outcome.recovered {
                        tally
                            .failures
                            .push(format!("no recovery after {loss:?} of {victim} at {moment:?} of: {step}"));
                    }
                    match outcome {
                        Outcome { tolerated: true, decided_ms: Some(ms), .. } => {
                            tally.tolerated += 1;
                            tally.slowest_ms = tally.slowest_ms.max(ms);
                            totals.1 += 1;
                            totals.3 = totals.3.max(ms);
                        }
                        Outcome { tolerated: true, decided_ms: None, .. } => {
                            tally.tolerated += 1;
                            totals.1 += 1;
                            tally.failures.push(format!(
                                "no decision after {loss:?} of {victim} at {moment:?} of: {step}"
                            ));
                        }
                        Outcome { decided_ms, .. } => {
                            tally.decided_beyond += usize::from(decided_ms.is_some())
                        }
                    }
                }
            }
        }
    }
    println!(
        "{} of {}{}: {} steps, {} runs, {} tolerated, slowest {} ms; {} others decided, too; {} failures",
        scenario.name,
        scenario.members,
        if scenario.leads { ", the leader" } else { "" },
        steps.len(),
        tally.runs,
        tally.tolerated,
        tally.slowest_ms,
        tally.decided_beyond,
        tally.failures.len()
    );
    for (loss, (runs, tolerated, decided, slowest_ms)) in &tally.by_loss {
        println!(
            "  {loss:?}: {runs} runs, {tolerated} tolerated, {decided} decided, slowest {slowest_ms} ms"
        );
    }
    disable_guards(&[]);
    tally
}

impl Scenario {
    fn new(name: &'static str, members: usize, leads: bool, actions: &[(u64, usize, Action)]) -> Scenario {
        let disks_lost = actions.iter().filter(|(.., action)| *action == Action::Wipe).count();
        let is_gone = |position: usize| {
            let last = actions.iter().rev().find(|(_, of, _)| *of == position);
            last.is_some_and(|(.., action)| {
                matches!(action, Action::LosePower | Action::Stop | Action::Replace(_))
            })
        };
        let gone = (0..members).filter(|position| is_gone(*position)).count();
        let disks_lost = disks_lost + gone;
        let (lost_groups, disabled) = (Vec::new(), Vec::new());
        Scenario {
            name,
            members,
            leads,
            entries: 1,
            actions: actions.to_vec(),
            lost_groups,
            disks_lost,
            disabled,
        }
    }

    /// These machines count as one loss until the given time, and for the time that a returned machine counts as lost.
    fn counts_as_lost(mut self, machines: &[usize], until: u64) -> Scenario {
        let (_, resync_ms) = fault_tolerance(self.members);
        self.lost_groups.push((machines.to_vec(), until + resync_ms));
        self
    }

    fn holds(&self) {
        let tally = run_all(self);
        assert!(tally.failures.is_empty(), "{}: {:#?}", self.name, tally.failures);
        assert!(tally.tolerated > 0 && tally.runs > 50, "{}: too few runs", self.name);
    }

    fn without(mut self, guard: Guard) -> Scenario {
        self.disabled = vec![guard];
        self
    }
}

/// A member loses its disk and comes back with an empty one.
fn wiped(members: usize, leads: bool) -> Scenario {
    Scenario::new("wiped", members, leads, &[(0, 0, Action::Wipe), (300, 0, Action::Start)])
        .counts_as_lost(&[0], 300)
}

/// A member loses its disk and comes back with an empty one, whose first writes take a second.
fn wiped_and_slow(members: usize) -> Scenario {
    let actions = [
        (0, 0, Action::Wipe),
        (300, 0, Action::Start),
        (304, 0, Action::Hang(true)),
        (1_300, 0, Action::Hang(false)),
    ];
    Scenario::new("wiped, slow", members, false, &actions).counts_as_lost(&[0], 1_300)
}

/// A member loses its disk, comes back with an empty one and gets a snapshot.
fn wiped_gets_snapshot(members: usize, leads: bool) -> Scenario {
    Scenario { name: "wiped, gets a snapshot", entries: 300, ..wiped(members, leads) }
}

/// A member loses power, or is isolated, for longer than the removal timeout, and comes back.
fn returns(members: usize, leads: bool, isolated: bool) -> Scenario {
    let (fault, repair) =
        if isolated { (Action::Isolate, Action::Reconnect) } else { (Action::LosePower, Action::Start) };
    let name = if isolated { "isolated and back" } else { "power lost and back" };
    Scenario::new(name, members, leads, &[(0, 0, fault), (3_500, 0, repair)]).counts_as_lost(&[0], 3_500)
}

/// A member is gone for good; an empty machine joins a second later.
fn replaced(members: usize, leads: bool) -> Scenario {
    let actions = [(0, 0, Action::LosePower), (1_000, members, Action::Start)];
    Scenario::new("replaced", members, leads, &actions).counts_as_lost(&[0, members], 1_000)
}

/// An empty machine joins, and a member is told to stop: a second later, or a second after the new machine no longer
/// counts as lost.
fn planned_stop(members: usize, leads: bool, late: bool) -> Scenario {
    let (_, resync_ms) = fault_tolerance(members);
    let stop_at = if late { resync_ms + 1_000 } else { 1_000 };
    let actions = [(0, members, Action::Start), (stop_at, 0, Action::Stop)];
    let name = if late { "planned stop, late" } else { "planned stop" };
    Scenario::new(name, members, leads, &actions).counts_as_lost(&[0, members], 0)
}

/// Operators order a member's replacement; it stops as soon as it is no longer a member.
fn replacement_ordered(members: usize, leads: bool) -> Scenario {
    let actions = [(0, members, Action::Start), (0, 0, Action::Replace(members))];
    Scenario::new("replacement ordered", members, leads, &actions).counts_as_lost(&[0, members], 0)
}

/// An empty machine stands by when a member is gone for good.
fn replaced_by_standby(members: usize) -> Scenario {
    let actions = [(0, members, Action::Start), (1_000, 0, Action::LosePower)];
    Scenario::new("replaced by a standby", members, false, &actions).counts_as_lost(&[0, members], 0)
}

/// An empty machine stands by when a member is isolated for longer than the removal timeout; the member comes back
/// with its disk.
fn isolated_with_standby(members: usize, leads: bool) -> Scenario {
    let actions = [(0, members, Action::Start), (1_000, 0, Action::Isolate), (7_000, 0, Action::Reconnect)];
    Scenario::new("isolated, with a standby", members, leads, &actions).counts_as_lost(&[0, members], 7_000)
}

/// Like `isolated_with_standby` with five members, and another one loses its disk a moment before the first one's
/// removal timeout ends.
fn isolated_and_another_wiped(leads: bool) -> Scenario {
    let actions = [
        (0, 5, Action::Start),
        (1_000, 0, Action::Isolate),
        (2_900, 1, Action::Wipe),
        (3_900, 1, Action::Start),
        (7_000, 0, Action::Reconnect),
    ];
    Scenario::new("isolated, another wiped", 5, leads, &actions)
        .counts_as_lost(&[0, 5], 7_000)
        .counts_as_lost(&[1], 3_900)
}

/// A member is gone for good, operators order its replacement, and the new machine joins.
fn gone_and_replacement_ordered(members: usize) -> Scenario {
    let actions =
        [(0, 0, Action::LosePower), (500, 0, Action::Replace(members)), (600, members, Action::Start)];
    Scenario::new("gone, replacement ordered", members, false, &actions).counts_as_lost(&[0, members], 600)
}

/// A member is replaced and comes back after all, with its disk or an empty one.
fn replaced_and_back(members: usize, wiped: bool) -> Scenario {
    let fault = if wiped { Action::Wipe } else { Action::LosePower };
    let actions = [(0, 0, fault), (500, members, Action::Start), (5_000, 0, Action::Start)];
    let name = if wiped { "replaced, and back wiped" } else { "replaced, and back" };
    Scenario::new(name, members, false, &actions).counts_as_lost(&[0, members], 500)
}

/// Two members lose their disks, one a moment after the other, and come back with empty ones.
fn two_wiped(leads: bool) -> Scenario {
    let actions =
        [(0, 0, Action::Wipe), (100, 1, Action::Wipe), (400, 0, Action::Start), (900, 1, Action::Start)];
    Scenario::new("two wiped", 5, leads, &actions).counts_as_lost(&[0], 400).counts_as_lost(&[1], 900)
}

/// Two members are gone for good; an empty machine joins for each.
fn two_replaced() -> Scenario {
    let actions = [
        (0, 0, Action::LosePower),
        (200, 1, Action::LosePower),
        (1_000, 5, Action::Start),
        (1_500, 6, Action::Start),
    ];
    Scenario::new("two replaced", 5, true, &actions)
        .counts_as_lost(&[0, 5], 1_000)
        .counts_as_lost(&[1, 6], 1_500)
}

/// Two members lose power for longer than the removal timeout, and come back.
fn two_return() -> Scenario {
    let actions = [
        (0, 0, Action::LosePower),
        (200, 1, Action::LosePower),
        (4_000, 0, Action::Start),
        (4_500, 1, Action::Start),
    ];
    Scenario::new("two back", 5, true, &actions).counts_as_lost(&[0], 4_000).counts_as_lost(&[1], 4_500)
}

macro_rules! scenarios {
    ($($test:ident: $($scenario:expr),+;)*) => {
        $(#[test]
        fn $test() {
            let start = std::time::Instant::now();
            $($scenario.holds();)+
            println!("{:.1} s", start.elapsed().as_secs_f64());
        })*
    };
}

scenarios! {
    of_3_one_is_wiped: wiped(3, false), wiped(3, true), wiped_and_slow(3);
    of_3_one_is_wiped_and_gets_a_snapshot: wiped_gets_snapshot(3, false);
    of_3_one_returns: returns(3, false, false), returns(3, true, true);
    of_3_one_is_replaced: replaced(3, false), replaced(3, true), replaced_by_standby(3);
    of_3_one_is_replaced_after_a_planned_stop: planned_stop(3, false, false), planned_stop(3, true, false);
    of_3_one_is_replaced_after_a_late_planned_stop: planned_stop(3, false, true), planned_stop(3, true, true);
    of_3_one_is_replaced_by_order: replacement_ordered(3, false), replacement_ordered(3, true), gone_and_replacement_ordered(3);
    of_3_one_is_isolated_with_a_standby: isolated_with_standby(3, false), isolated_with_standby(3, true);
    of_5_one_is_isolated_with_a_standby: isolated_with_standby(5, false);
    of_5_one_is_isolated_and_another_is_wiped: isolated_and_another_wiped(false);
    of_3_one_is_replaced_and_comes_back: replaced_and_back(3, false), replaced_and_back(3, true);
    of_5_one_is_wiped: wiped(5, true);
    of_5_one_returns: returns(5, true, false);
    of_5_one_is_replaced: replaced(5, true);
    of_5_one_is_replaced_after_a_planned_stop: planned_stop(5, true, false);
    of_5_one_is_replaced_after_a_late_planned_stop: planned_stop(5, false, true);
    of_5_one_is_replaced_by_order: replacement_ordered(5, true);
    of_5_two_are_wiped: two_wiped(true);
    of_5_two_are_replaced: two_replaced();
    of_5_two_return: two_return();
}

/// Tests that a scenario fails without a guard: a tolerated run doesn't decide, or a rule is broken on the way.
macro_rules! needed {
    ($($test:ident: $scenario:expr, $guard:ident;)*) => {
        $(#[test]
        fn $test() {
            let scenario = $scenario.without(Guard::$guard);
            let broken = std::panic::catch_unwind(|| run_all(&scenario).failures.len());
            disable_guards(&[]);
            println!("{broken:?}");
            assert!(!matches!(broken, Ok(0)), "{} passes without the guard", scenario.name);
        })*
    };
}

needed! {
    needs_learner_caught_up: wiped_and_slow(3), LearnerCaughtUp;
    needs_min_members_kept: two_return(), MinMembersKept;
    needs_removed_may_stand: replacement_ordered(3, true), RemovedMayStand;
    needs_departure_announced: planned_stop(3, false, true), DepartureAnnounced;
    needs_prompt_removal: replaced(3, false), PromptRemoval;
    needs_quorum_raised_when_healthy: gone_and_replacement_ordered(3), QuorumRaisedWhenHealthy;
    needs_standby_limit: replaced_by_standby(3), StandbyLimit;
}
