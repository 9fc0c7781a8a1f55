//! Every step of a repair, a return and a replacement, and at each of them a second loss, of every machine and in every way:
//! what is left decides, wherever the losses are within what the core is to bear, and nothing acknowledged is lost.

mod cluster;

use cluster::Cluster;
use nickeljunction_consensus::model::{disable_guards, Guard};
use nickeljunction_consensus::{Consensus, MemberId, Tuning};
use std::collections::{BTreeMap, BTreeSet};

/// A value is proposed so often, ms.
const PROPOSE_MS: u64 = 25;
/// Within so long of a loss that is to be borne something new is acknowledged: an election at its worst, and some.
const DECIDES_MS: u64 = 1_500;
/// So long a second loss lasts at least before what was lost comes back, ms.
const LASTS_MS: u64 = 2_000;
/// So long a process that was told to end waits for its place to be taken.
const LEAVE_MS: u64 = 3_000;
/// Where all go dark at once they are back after this time, ms.
const DARK_MS: u64 = 300;
/// Back, and all of them members, within this time, ms.
const WHOLE_MS: u64 = 10_000;

/// What happens to a machine on the way.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Act {
    /// It loses power with what wasn't synced.
    Power,
    /// Its disk is lost.
    Wipe,
    /// It gets the order to end, and does.
    End,
    /// It starts, from what its disk has.
    Start,
    Cut,
    Join,
    /// Its disk syncs nothing any more, or goes on.
    Hang(bool),
    /// Operators order it replaced by the other one, and end it once it is no member.
    Order(usize),
}

/// One trouble and what is done about it: acts by time, and till when each of its machines counts as lost.
#[derive(Debug, Clone)]
struct Scene {
    name: &'static str,
    members: usize,
    /// The machine in trouble leads.
    leads: bool,
    /// So many entries are there before, so that a snapshot is what a newcomer gets.
    entries: usize,
    /// At which time, to whom.
    acts: Vec<(u64, usize, Act)>,
    /// Machines that share a place, and till when it counts as lost.
    places: Vec<(Vec<usize>, u64)>,
    /// Disks that are lost on the way, or don't come back.
    disks_lost: usize,
    out: Vec<Guard>,
}

/// What is lost second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    Power,
    Wipe,
    Cut,
    /// Its disk is lost, and all others lose power with what wasn't synced; all are back a moment later.
    Dark,
}

const LOSSES: [Loss; 4] = [Loss::Power, Loss::Wipe, Loss::Cut, Loss::Dark];

/// When it is lost: at the step, or right after the next acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Moment {
    Step,
    Acked,
}

/// What may be lost at once, and for how long after its return a machine counts as lost.
fn borne(members: usize) -> (usize, u64) {
    match members {
        3 => (1, 4_000),
        _ => (2, 6_000),
    }
}

/// A world on its way through a scene.
struct Run<'a> {
    scene: &'a Scene,
    cluster: Cluster,
    begun: u64,
    next_act: usize,
    propose_at: u64,
    /// Nobody is ended by plan before.
    ends_from: u64,
    /// Who ends once it may, at the latest then.
    ends: Option<(usize, u64)>,
    told_to_end: bool,
    /// Who is to end once it is no member, and who comes in its place.
    ordered: Option<(usize, usize)>,
    /// The scene's machines by place in it: the one in trouble first, then the other old ones, then new ones.
    numbers: Vec<usize>,
}

impl Scene {
    fn begin(&self) -> Run<'_> {
        let (losses, _) = borne(self.members);
        let mut cluster = Cluster::tuned(self.members, 7, Tuning::tolerating(losses));
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
        let most = self.acts.iter().map(|(_, who, _)| *who).max().unwrap_or(0);
        while numbers.len() <= most {
            numbers.push(cluster.add());
        }
        let begun = cluster.now;
        Run {
            scene: self,
            cluster,
            begun,
            next_act: 0,
            propose_at: begun,
            ends_from: 0,
            ends: None,
            told_to_end: false,
            ordered: None,
            numbers,
        }
    }
}

impl Run<'_> {
    fn at(&self) -> u64 {
        self.cluster.now - self.begun
    }

    fn act(&mut self, who: usize, act: Act) {
        let number = self.numbers[who];
        match act {
            Act::Power => self.cluster.lose_power_keeping(number, 0),
            Act::Wipe => self.cluster.wipe(number),
            Act::End => {
                self.cluster.leave(number);
                self.told_to_end = true;
                self.ends = Some((number, self.cluster.now + LEAVE_MS));
            }
            Act::Start => self.cluster.start(number),
            Act::Cut => self.cluster.isolate(number, true, true),
            Act::Join => self.cluster.blocked_links.clear(),
            Act::Hang(hangs) => self.cluster.machines[number].disk.hang(hangs),
            Act::Order(by) => {
                let by = self.numbers[by];
                self.ordered = Some((number, by));
            }
        }
    }

    /// Proposes, where it is time.
    fn propose(&mut self) {
        if self.cluster.now >= self.propose_at {
            self.propose_at = self.cluster.now + PROPOSE_MS;
            if let Some(leader) = self.cluster.leader() {
                self.cluster.propose(leader);
                // The same order again changes nothing.
                if let Some((number, by)) = self.ordered {
                    self.cluster.propose_exclusions(leader, &[(number, Some(by))]);
                }
            }
        }
    }

    /// The next event of the scene.
    fn event(&mut self) {
        self.propose();
        if let Some((at, who, act)) = self.scene.acts.get(self.next_act).copied() {
            // Planned work waits until what is lost has had its time.
            let from = if act == Act::End { self.ends_from } else { 0 };
            if (self.begun + at).max(from) <= self.cluster.now {
                self.next_act += 1;
                return self.act(who, act);
            }
        }
        if let Some((number, until)) = self.ends {
            let node = self.cluster.machines[number].node.as_ref();
            if self.cluster.now >= until || node.is_none_or(Consensus::may_stop) {
                self.ends = None;
                self.cluster.resign(number);
                return self.cluster.kill(number);
            }
        }
        if let Some((number, _)) = self.ordered.filter(|(number, _)| self.is_out(*number)) {
            self.ordered = None;
            return self.cluster.kill(number);
        }
        let due = self.scene.acts.get(self.next_act).map_or(u64::MAX, |(at, ..)| self.begun + at);
        let due = if due <= self.cluster.now { self.ends_from } else { due };
        let due = self.ends.map_or(due, |(_, until)| until.min(due));
        let end = due.min(self.propose_at);
        self.cluster.next_event(end);
    }

    /// The list that is agreed is without this machine.
    fn is_out(&self, number: usize) -> bool {
        let host = &self.cluster.machines[number].host;
        self.cluster.agreed_members().is_some_and(|list| list.iter().all(|member| member.host != *host))
    }

    /// How far the repair is: who is there, who leads, whom each takes for members and whether that is agreed, and what
    /// newcomers have on their disks.
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
            let taught = if known.contains(&node.me().id) {
                "member"
            } else if commit.is_some_and(|commit| self.cluster.has_synced(number, commit)) {
                "caught up"
            } else if machine
                .disk
                .synced()
                .is_some_and(|kept| kept.snapshot.is_some() || !kept.entries.is_empty())
            {
                "taught"
            } else {
                "stranger"
            };
            let leads = if node.is_leader() { "leads " } else { "" };
            step.push_str(&format!("{leads}{taught} {:?}; ", self.ids(number).len()));
        }
        let agreed = self.cluster.agreed_members().map_or(0, Vec::len);
        format!("{step}agreed {agreed}")
    }

    /// As many as are wanted are members, and each of them is there and agrees.
    fn is_whole(&self) -> bool {
        let Some(leader) = self.cluster.leader() else { return false };
        let list = self.cluster.node(leader).members();
        let nodes = || self.cluster.machines.iter().filter_map(|machine| machine.node.as_ref());
        let right = match self.scene.out.contains(&Guard::StandbyLimit) {
            true => list.len() >= self.scene.members,
            false => list.len() == self.scene.members,
        };
        right && list.iter().all(|member| nodes().any(|node| node.me() == member && node.members() == list))
    }

    fn ids(&self, number: usize) -> Vec<MemberId> {
        let ids = |node: &Consensus| node.members().iter().map(|member| member.id).collect();
        self.cluster.machines[number].node.as_ref().map_or_else(Vec::new, ids)
    }
}

/// What must hold after every event of a scene without a second loss.
struct Watch {
    /// Whom a leader had taken for a member so far.
    counted: BTreeSet<MemberId>,
    commit: (u64, u64),
}

impl Watch {
    fn look(&mut self, run: &Run) {
        let cluster = &run.cluster;
        if let Some(leader) = cluster.leader() {
            for id in run.ids(leader) {
                if self.counted.insert(id) {
                    let is_it = |number: &usize| {
                        cluster.machines[*number].node.as_ref().is_some_and(|node| node.me().id == id)
                    };
                    let number = (0..cluster.machines.len()).find(is_it).unwrap();
                    // What had been agreed by the event before is on its disk.
                    assert!(
                        cluster.has_synced(number, self.commit),
                        "{number} counts before its disk has it"
                    );
                }
            }
        }
        let Some(commit) = cluster.newest_commit() else { return };
        self.commit = commit;
        let holders: Vec<usize> =
            (0..cluster.machines.len()).filter(|number| cluster.has_synced(*number, commit)).collect();
        let troubled = run.numbers[0];
        assert!(
            holders.iter().any(|number| *number != troubled),
            "{commit:?} is on the leaving member alone"
        );
        if let Some(list) = cluster.agreed_members() {
            let has = |number: &usize| {
                let host = &cluster.machines[*number].host;
                // One without its disk had it.
                let lost = cluster.machines[*number].disk.synced().is_none();
                list.iter().any(|member| member.host == *host) && (lost || holders.contains(number))
            };
            let count = (0..cluster.machines.len()).filter(has).count();
            let (bears, _) = borne(run.scene.members);
            assert!(count > list.len() / 2, "{commit:?} is on {count} disks of {} members", list.len());
            assert!(count > bears, "{commit:?} is on {count} disks alone");
        }
    }
}

/// Of a scene: the numbers of the events after which it is at another step, with the step, and the moments from which on a
/// place counts as repaired.
fn steps(scene: &Scene) -> Vec<(usize, String)> {
    let mut run = scene.begin();
    let mut watch = Watch { counted: (0..scene.members).flat_map(|n| run.ids(n)).collect(), commit: (0, 0) };
    let acts = scene.acts.iter().map(|(at, ..)| at + 3_000);
    let last = scene.places.iter().map(|(_, until)| *until).chain(acts).max().unwrap_or(0);
    let mut marks: Vec<u64> = scene.places.iter().flat_map(|(_, until)| [*until, until + 500]).collect();
    let mut seen = BTreeSet::new();
    let mut steps = Vec::new();
    for event in 1.. {
        run.event();
        watch.look(&run);
        let step = run.step();
        let marked = marks.iter().any(|mark| *mark <= run.at());
        marks.retain(|mark| *mark > run.at());
        if seen.insert(step.clone()) || marked {
            let name = if marked { format!("{step}, repaired") } else { step };
            steps.push((event, name));
        }
        if run.at() > last + 600 {
            break;
        }
    }
    steps
}

/// How a pair ended.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    /// The losses are within what is to be borne.
    promised: bool,
    /// It decided so long after the loss, ms.
    decided: Option<u64>,
    /// All that came back is taken in again, and decides.
    whole: bool,
}

/// Plays a scene up to an event, loses a machine, and looks at what is left.
fn pair(scene: &Scene, event: usize, victim: usize, loss: Loss, moment: Moment) -> Option<Outcome> {
    let mut run = scene.begin();
    (0..event).for_each(|_| run.event());
    if moment == Moment::Acked {
        let acknowledged = run.cluster.acknowledged.len();
        let until = run.cluster.now + 500;
        while run.cluster.acknowledged.len() == acknowledged && run.cluster.now < until {
            run.event();
        }
    }
    run.cluster.machines[victim].node.as_ref()?;
    let (bears, sync_ms) = borne(scene.members);
    let at = run.at();
    let lost = |(machines, until): &&(Vec<usize>, u64)| {
        at < *until || machines.iter().any(|who| run.numbers[*who] == victim)
    };
    let in_scene =
        scene.places.iter().any(|(machines, _)| machines.iter().any(|who| run.numbers[*who] == victim));
    let count = scene.places.iter().filter(lost).count() + usize::from(!in_scene);
    let promised = count <= bears;
    run.ends_from = run.cluster.now + LASTS_MS + sync_ms;
    strike(&mut run, victim, loss);
    let struck = run.cluster.now;
    let acknowledged = run.cluster.acknowledged.len();
    let back_ms = if loss == Loss::Dark { DARK_MS } else { 0 };
    let wait = if promised { DECIDES_MS + back_ms } else { 700 };
    while run.cluster.acknowledged.len() == acknowledged && run.cluster.now < struck + wait {
        run.event();
    }
    let decided = (run.cluster.acknowledged.len() > acknowledged).then(|| run.cluster.now - struck);
    // Beyond what is to be borne nobody need decide before all that kept their disks are back; with more disks lost than that,
    // never again.
    let disks_lost = scene.disks_lost + usize::from(matches!(loss, Loss::Wipe | Loss::Dark));
    let may = promised || matches!(loss, Loss::Power | Loss::Cut) || disks_lost <= bears;
    let whole = !may || heal(&mut run, victim, loss, struck);
    Some(Outcome { promised, decided, whole })
}

fn strike(run: &mut Run, victim: usize, loss: Loss) {
    let cluster = &mut run.cluster;
    match loss {
        Loss::Power => cluster.lose_power_keeping(victim, 0),
        Loss::Wipe => cluster.wipe(victim),
        Loss::Cut => cluster.isolate(victim, true, true),
        Loss::Dark => {
            let up = |number: &usize| cluster.machines[*number].node.is_some();
            let dark: Vec<usize> = (0..cluster.machines.len()).filter(up).collect();
            dark.iter().for_each(|number| cluster.lose_power_keeping(*number, 0));
            cluster.wipe(victim);
            cluster.run(DARK_MS);
            dark.iter().for_each(|number| cluster.start(*number));
            if let Some((number, _)) = run.ends {
                // It is told again.
                cluster.leave(number);
                run.ends = Some((number, cluster.now + LEAVE_MS));
            }
        }
    }
}

/// What was lost comes back, the scene goes on to its end, and as many as are wanted are members again and have what was
/// acknowledged; false where they are not.
fn heal(run: &mut Run, victim: usize, loss: Loss, struck: u64) -> bool {
    while run.cluster.now < struck + LASTS_MS {
        run.event();
    }
    match loss {
        // Who was told to end doesn't come back.
        _ if victim == run.numbers[0] && run.told_to_end => {}
        Loss::Power | Loss::Wipe if run.cluster.machines[victim].node.is_none() => run.cluster.start(victim),
        _ => {}
    }
    while run.next_act < run.scene.acts.len() {
        run.event();
    }
    run.cluster.blocked_links.clear();
    let gone = run.numbers[0];
    let stays_gone = |act: &Act| matches!(act, Act::End | Act::Order(_));
    let last = run.scene.acts.iter().rev().find(|(_, who, _)| *who == 0).map(|(_, _, act)| *act);
    let replaced = run.numbers.len() > run.scene.members && !last.is_some_and(|act| act == Act::Start);
    for number in 0..run.cluster.machines.len() {
        let away = number == gone && (replaced || last.as_ref().is_some_and(stays_gone));
        if run.cluster.machines[number].node.is_none() && !away {
            run.cluster.start(number);
        }
    }
    let until = run.cluster.now + WHOLE_MS;
    while !run.is_whole() {
        if run.cluster.now >= until {
            return false;
        }
        run.cluster.run(20);
    }
    run.cluster.commit(1_000);
    run.cluster.run(250);
    run.cluster.members().iter().for_each(|number| run.cluster.assert_has_acked(*number));
    true
}

/// What came of all pairs of a scene.
#[derive(Default)]
struct Tally {
    pairs: usize,
    promised: usize,
    /// Decided though it was not to be borne.
    beyond: usize,
    slowest: u64,
    /// Those that were to be borne and did not decide, and those that were never whole again.
    stuck: Vec<String>,
    /// By loss: pairs, promised, decided, slowest of the promised.
    by_loss: BTreeMap<Loss, (usize, usize, usize, u64)>,
}

fn play(scene: &Scene) -> Tally {
    disable_guards(&scene.out);
    let mut tally = Tally::default();
    let steps = steps(scene);
    let machines = scene.begin().cluster.machines.len();
    for (event, step) in &steps {
        for victim in 0..machines {
            for loss in LOSSES {
                for moment in [Moment::Step, Moment::Acked] {
                    let Some(outcome) = pair(scene, *event, victim, loss, moment) else { continue };
                    let line = tally.by_loss.entry(loss).or_default();
                    tally.pairs += 1;
                    line.0 += 1;
                    line.2 += usize::from(outcome.decided.is_some());
                    if !outcome.whole {
                        tally
                            .stuck
                            .push(format!("not whole after {loss:?} of {victim} at {moment:?} of: {step}"));
                    }
                    match outcome {
                        Outcome { promised: true, decided: Some(ms), .. } => {
                            tally.promised += 1;
                            tally.slowest = tally.slowest.max(ms);
                            line.1 += 1;
                            line.3 = line.3.max(ms);
                        }
                        Outcome { promised: true, decided: None, .. } => {
                            tally.promised += 1;
                            line.1 += 1;
                            tally.stuck.push(format!("{loss:?} of {victim} at {moment:?} of: {step}"));
                        }
                        Outcome { decided, .. } => tally.beyond += usize::from(decided.is_some()),
                    }
                }
            }
        }
    }
    println!(
        "{} of {}{}: {} steps, {} pairs, {} to be borne, slowest {} ms; {} others decided, too; {} stuck",
        scene.name,
        scene.members,
        if scene.leads { ", the leader" } else { "" },
        steps.len(),
        tally.pairs,
        tally.promised,
        tally.slowest,
        tally.beyond,
        tally.stuck.len()
    );
    for (loss, (pairs, promised, decided, slowest)) in &tally.by_loss {
        println!(
            "  {loss:?}: {pairs} pairs, {promised} to be borne, {decided} decided, slowest {slowest} ms"
        );
    }
    disable_guards(&[]);
    tally
}

impl Scene {
    fn new(name: &'static str, members: usize, leads: bool, acts: &[(u64, usize, Act)]) -> Scene {
        let disks_lost = acts.iter().filter(|(.., act)| *act == Act::Wipe).count();
        let gone = |who: usize| {
            let last = acts.iter().rev().find(|(_, of, _)| *of == who);
            last.is_some_and(|(.., act)| matches!(act, Act::Power | Act::End | Act::Order(_)))
        };
        let gone = (0..members).filter(|who| gone(*who)).count();
        let disks_lost = disks_lost + gone;
        let (places, out) = (Vec::new(), Vec::new());
        Scene { name, members, leads, entries: 1, acts: acts.to_vec(), places, disks_lost, out }
    }

    /// These share a place, which counts as lost until then, and the time after it.
    fn lost(mut self, machines: &[usize], until: u64) -> Scene {
        let (_, sync_ms) = borne(self.members);
        self.places.push((machines.to_vec(), until + sync_ms));
        self
    }

    fn holds(&self) {
        let tally = play(self);
        assert!(tally.stuck.is_empty(), "{}: {:#?}", self.name, tally.stuck);
        assert!(tally.promised > 0 && tally.pairs > 50, "{}: hardly anything was tried", self.name);
    }

    fn without(mut self, guard: Guard) -> Scene {
        self.out = vec![guard];
        self
    }
}

/// It loses its disk and comes back without.
fn wiped(members: usize, leads: bool) -> Scene {
    Scene::new("wiped", members, leads, &[(0, 0, Act::Wipe), (300, 0, Act::Start)]).lost(&[0], 300)
}

/// The same, with a disk that takes a second for what it is taught.
fn wiped_and_slow(members: usize) -> Scene {
    let acts =
        [(0, 0, Act::Wipe), (300, 0, Act::Start), (304, 0, Act::Hang(true)), (1_300, 0, Act::Hang(false))];
    Scene::new("wiped, slow", members, false, &acts).lost(&[0], 1_300)
}

/// The same, and it gets a snapshot.
fn snapshot(members: usize, leads: bool) -> Scene {
    Scene { name: "wiped, by snapshot", entries: 300, ..wiped(members, leads) }
}

/// It loses power, or is cut off, for longer than anybody waits, and comes back.
fn returns(members: usize, leads: bool, cut: bool) -> Scene {
    let (goes, comes) = if cut { (Act::Cut, Act::Join) } else { (Act::Power, Act::Start) };
    let name = if cut { "cut off and back" } else { "power lost and back" };
    Scene::new(name, members, leads, &[(0, 0, goes), (3_500, 0, comes)]).lost(&[0], 3_500)
}

/// It is gone for good; an empty machine comes a second later.
fn replaced(members: usize, leads: bool) -> Scene {
    let acts = [(0, 0, Act::Power), (1_000, members, Act::Start)];
    Scene::new("replaced", members, leads, &acts).lost(&[0, members], 1_000)
}

/// An empty machine comes, and it is ended by order once that one has had its time, or a second later.
fn planned(members: usize, leads: bool, late: bool) -> Scene {
    let (_, sync_ms) = borne(members);
    let ends = if late { sync_ms + 1_000 } else { 1_000 };
    let acts = [(0, members, Act::Start), (ends, 0, Act::End)];
    let name = if late { "planned, late" } else { "planned" };
    Scene::new(name, members, leads, &acts).lost(&[0, members], 0)
}

/// Operators order it replaced; it ends as soon as it is no member.
fn ordered(members: usize, leads: bool) -> Scene {
    let acts = [(0, members, Act::Start), (0, 0, Act::Order(members))];
    Scene::new("ordered", members, leads, &acts).lost(&[0, members], 0)
}

/// An empty machine is there when it is gone for good.
fn spared(members: usize) -> Scene {
    let acts = [(0, members, Act::Start), (1_000, 0, Act::Power)];
    Scene::new("spared", members, false, &acts).lost(&[0, members], 0)
}

/// An empty machine is there when it is cut off for longer than the core waits; it comes back with its disk.
fn away_with_a_spare(members: usize, leads: bool) -> Scene {
    let acts = [(0, members, Act::Start), (1_000, 0, Act::Cut), (7_000, 0, Act::Join)];
    Scene::new("away, one stands by", members, leads, &acts).lost(&[0, members], 7_000)
}

/// The same, and another one loses its disk a moment before the core takes the first one for gone.
fn away_and_another_wiped(leads: bool) -> Scene {
    let acts = [
        (0, 5, Act::Start),
        (1_000, 0, Act::Cut),
        (2_900, 1, Act::Wipe),
        (3_900, 1, Act::Start),
        (7_000, 0, Act::Join),
    ];
    Scene::new("away, another wiped", 5, leads, &acts).lost(&[0, 5], 7_000).lost(&[1], 3_900)
}

/// It is gone for good, operators order it replaced, and the machine that is to come does so.
fn gone_and_ordered(members: usize) -> Scene {
    let acts = [(0, 0, Act::Power), (500, 0, Act::Order(members)), (600, members, Act::Start)];
    Scene::new("gone, and ordered", members, false, &acts).lost(&[0, members], 600)
}

/// It is replaced, and comes back after all, with its disk or without.
fn replaced_and_back(members: usize, wiped: bool) -> Scene {
    let goes = if wiped { Act::Wipe } else { Act::Power };
    let acts = [(0, 0, goes), (500, members, Act::Start), (5_000, 0, Act::Start)];
    let name = if wiped { "replaced, and back wiped" } else { "replaced, and back" };
    Scene::new(name, members, false, &acts).lost(&[0, members], 500)
}

/// Two lose their disks, one a moment after the other, and come back without.
fn two_wiped(leads: bool) -> Scene {
    let acts = [(0, 0, Act::Wipe), (100, 1, Act::Wipe), (400, 0, Act::Start), (900, 1, Act::Start)];
    Scene::new("two wiped", 5, leads, &acts).lost(&[0], 400).lost(&[1], 900)
}

/// Two are gone for good; an empty machine comes for each.
fn two_replaced() -> Scene {
    let acts = [(0, 0, Act::Power), (200, 1, Act::Power), (1_000, 5, Act::Start), (1_500, 6, Act::Start)];
    Scene::new("two replaced", 5, true, &acts).lost(&[0, 5], 1_000).lost(&[1, 6], 1_500)
}

/// Two lose power for longer than anybody waits, and come back.
fn two_return() -> Scene {
    let acts = [(0, 0, Act::Power), (200, 1, Act::Power), (4_000, 0, Act::Start), (4_500, 1, Act::Start)];
    Scene::new("two back", 5, true, &acts).lost(&[0], 4_000).lost(&[1], 4_500)
}

macro_rules! scenes {
    ($($test:ident: $($scene:expr),+;)*) => {
        $(#[test]
        fn $test() {
            let begun = std::time::Instant::now();
            $($scene.holds();)+
            println!("{:.1} s", begun.elapsed().as_secs_f64());
        })*
    };
}

scenes! {
    of_3_one_is_wiped: wiped(3, false), wiped(3, true), wiped_and_slow(3);
    of_3_one_is_wiped_and_gets_a_snapshot: snapshot(3, false);
    of_3_one_returns: returns(3, false, false), returns(3, true, true);
    of_3_one_is_replaced: replaced(3, false), replaced(3, true), spared(3);
    of_3_one_is_replaced_by_plan: planned(3, false, false), planned(3, true, false);
    of_3_one_is_replaced_by_plan_late: planned(3, false, true), planned(3, true, true);
    of_3_one_is_replaced_by_order: ordered(3, false), ordered(3, true), gone_and_ordered(3);
    of_3_one_is_away_and_another_stands_by: away_with_a_spare(3, false), away_with_a_spare(3, true);
    of_5_one_is_away_and_another_stands_by: away_with_a_spare(5, false);
    of_5_one_is_away_and_another_is_wiped: away_and_another_wiped(false);
    of_3_one_is_replaced_and_comes_back: replaced_and_back(3, false), replaced_and_back(3, true);
    of_5_one_is_wiped: wiped(5, true);
    of_5_one_returns: returns(5, true, false);
    of_5_one_is_replaced: replaced(5, true);
    of_5_one_is_replaced_by_plan: planned(5, true, false);
    of_5_one_is_replaced_by_plan_late: planned(5, false, true);
    of_5_one_is_replaced_by_order: ordered(5, true);
    of_5_two_are_wiped: two_wiped(true);
    of_5_two_are_replaced: two_replaced();
    of_5_two_return: two_return();
}

/// What a scene shows once a guard is out: pairs that are to be borne and don't decide, or what must hold on the way.
macro_rules! needed {
    ($($test:ident: $scene:expr, $guard:ident;)*) => {
        $(#[test]
        fn $test() {
            let scene = $scene.without(Guard::$guard);
            let broken = std::panic::catch_unwind(|| play(&scene).stuck.len());
            disable_guards(&[]);
            println!("{broken:?}");
            assert!(!matches!(broken, Ok(0)), "{} holds without the guard", scene.name);
        })*
    };
}

needed! {
    needs_learner_caught_up: wiped_and_slow(3), LearnerCaughtUp;
    needs_min_members_kept: two_return(), MinMembersKept;
    needs_removed_may_stand: ordered(3, true), RemovedMayStand;
    needs_departure_announced: planned(3, false, true), DepartureAnnounced;
    needs_prompt_removal: replaced(3, false), PromptRemoval;
    needs_quorum_raised_when_healthy: gone_and_ordered(3), QuorumRaisedWhenHealthy;
    needs_standby_limit: spared(3), StandbyLimit;
}
