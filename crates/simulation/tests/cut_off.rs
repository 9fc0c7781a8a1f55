//! One member of the core is cut off for twenty seconds and reached by everybody else all the while. Whatever it says must
//! hold, each call must have its answer within a second, and nothing proper may be refused; then it comes back into a race of
//! orders. [`nickeljunction_simulation::Audit`] checks each answer as it is given: what was acknowledged is on the log, what
//! is told or lent comes from the newest leader, a refused change built on another version.
//!
//! Nothing here has a time of day: no machine without I/O is given one, and times never cross machines. Stepping clocks
//! can't change any of it.

use nickeljunction_messages::{ServerState, UnitsCall};
use nickeljunction_registry::{Heartbeat, WatchCache};
use nickeljunction_replica::MembershipRequest;
use nickeljunction_simulation::{host, Answer, Plan, Question, World, TENANT};

const SEEDS: u64 = 3;
const CUT_MS: u64 = 20_000;
/// Who calls control moves on after a second.
const PATIENCE_MS: u64 = 1_000;
/// A call comes that often, ms.
const EVERY_MS: u64 = 25;
/// A gateway that reaches a leader again goes by what that one tells after so long, ms: twice the patience of a call, the
/// longest pause, and the ways.
const BACK_MS: u64 = 1_120;
const PLAN: Plan = Plan { members: 5, seeds: 3, gateways: 3, strict: true };

/// Whom the member is cut off from, and which way.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Cut {
    /// All other machines.
    Both,
    /// The same: it hears, and isn't heard.
    Outward,
    /// The same: it is heard, and hears nothing.
    Inward,
    /// The machines that every process knows at its start.
    Seeds,
    /// The other members.
    Members,
    Gateways,
}

const CUTS: [Cut; 6] = [Cut::Both, Cut::Outward, Cut::Inward, Cut::Seeds, Cut::Members, Cut::Gateways];

#[derive(Debug, Clone, Copy, PartialEq)]
enum Part {
    Leader,
    Follower,
    /// Back with an empty disk, so that it has yet to learn the log and doesn't count.
    Learner,
}

fn cut(world: &mut World, node: usize, cut: Cut) {
    let members = world.members.len();
    let others: Vec<usize> = match cut {
        Cut::Both | Cut::Outward | Cut::Inward => (0..world.outside()).collect(),
        Cut::Seeds => (0..PLAN.seeds).collect(),
        Cut::Members => (0..members).collect(),
        Cut::Gateways => (members..world.outside()).collect(),
    };
    for other in others.into_iter().filter(|other| *other != node) {
        world.cuts.extend((cut != Cut::Inward).then_some((node, other)));
        world.cuts.extend((cut != Cut::Outward).then_some((other, node)));
    }
}

fn chosen(world: &mut World, part: Part) -> usize {
    let leader = world.settle(3_000);
    let others: Vec<usize> = (0..world.members.len()).filter(|node| *node != leader).collect();
    let other = others[world.rng.usize(..others.len())];
    match part {
        Part::Leader => leader,
        Part::Follower => other,
        Part::Learner => {
            world.wipe(other);
            world.start(other);
            // It has asked to be taken in, and may have been taught a part of the log.
            let ms = world.rng.u64(..400);
            world.run(ms);
            other
        }
    }
}

fn beat(state: ServerState, call_seq: u64) -> Heartbeat {
    Heartbeat {
        address: "10.2.9.9:80".into(),
        backend: "b".into(),
        version: "v1".into(),
        zone: "z1".into(),
        slots: 4,
        state,
        call_seq,
        warmup_left_ms: 0,
    }
}

/// A call of one of the kinds that control and the inner port take.
fn call(world: &mut World, number: u64) -> Question {
    // What is newest, or was when its operator read it.
    let behind = u64::from(world.rng.u8(..4) == 0);
    let base = world.audit.newest.saturating_sub(behind);
    match number % 12 {
        0 | 1 => Question::Get,
        2 => world.put(base, 90),
        3 => world.patch(base, 80),
        4 => Question::Evacuate(if number.is_multiple_of(24) { "z1".into() } else { "z2".into() }),
        5 => Question::Core(MembershipRequest::Add(host(world.rng.usize(..PLAN.members)), None)),
        6 => Question::Trial(TENANT.into(), world.rng.bool(), world.now),
        7 => Question::Beat("late".into(), beat(ServerState::InService, number)),
        8 => Question::Beat(format!("gone{number}"), beat(ServerState::Draining, number)),
        9 => Question::Leave("left".into()),
        10 => Question::Units(UnitsCall { incarnation: 7 + number, seq: 1, ..UnitsCall::default() }),
        _ => Question::Watch(WatchCache::new().watch_call(
            nickeljunction_messages::Caller::Gateway,
            "onlooker",
            9,
            None,
            0,
        )),
    }
}

/// What one machine says to each of a flood of calls, for this long; the orders, for the checks at the end.
fn flood(world: &mut World, node: usize, ms: u64) -> Vec<usize> {
    let end = world.now + ms;
    let mut calls = Vec::new();
    let mut number = world.rng.u64(..12);
    while world.now < end {
        let question = call(world, number);
        calls.push(world.ask_only(node, question));
        // Others go wherever they are sent, and are served by whoever leads.
        if number.is_multiple_of(8)
            && world.people.orders.iter().rev().take(64).all(|order| order.only || order.answer.is_some())
        {
            let (base, to) = (world.audit.newest, world.rng.usize(..PLAN.members));
            let put = world.put(base, 70);
            world.order(to, put);
        }
        number += 1;
        world.run(EVERY_MS);
    }
    world.run(PATIENCE_MS);
    calls
}

fn check(world: &World, node: usize, calls: &[usize], of: &str) {
    for order in calls.iter().map(|call| &world.people.orders[*call]) {
        let took = order.answered_at.map(|at| at - order.asked_at);
        assert!(
            took.is_some_and(|took| took <= PATIENCE_MS),
            "seed {}, {of}: member {node} took {took:?} ms for {:?}, asked at {}",
            world.seed,
            order.question,
            order.asked_at
        );
        if let Some(Answer::Watch(answer)) = &order.answer {
            let version = answer.config.as_ref().map_or(0, |config| config.version);
            // On its way for 3 ms at most.
            let heard = order.answered_at.unwrap_or(0) - answer.quorum_age_ms - 3;
            let missed = world
                .audit
                .acked
                .iter()
                .find(|acked| acked.version > version && acked.at < heard.saturating_sub(3));
            assert!(missed.is_none(), "seed {}, {of}: {version} is told without {missed:?}", world.seed);
        }
    }
}

/// Operators on both sides as the cut ends, each repeating what has no clear answer.
fn race(world: &mut World, node: usize, of: &str) {
    let base = world.audit.state.version();
    let other = (node + 1) % PLAN.members;
    let (one, two, third) = (world.put(base, 60), world.patch(base, 50), world.put(base, 40));
    let orders = [
        world.order(node, one.clone()),
        world.order(other, two),
        world.order(node, third),
        world.order(other, one),
    ];
    let more = [
        world.order(node, Question::Evacuate("z2".into())),
        world.trial(node, true),
        world.order(node, Question::Get),
    ];
    world.heal();
    world.run(6_000);
    let done: Vec<bool> = orders.iter().map(|order| world.people.orders[*order].done()).collect();
    assert_eq!(done[0], done[3], "seed {}, {of}: the very same call", world.seed);
    let winners = done[..3].iter().filter(|done| **done).count();
    assert!(winners <= 1, "seed {}, {of}: {done:?}", world.seed);
    for order in orders.into_iter().chain(more) {
        assert!(world.people.orders[order].answer.is_some(), "seed {}, {of}: no answer", world.seed);
    }
    assert!(more.iter().take(2).all(|order| world.people.orders[*order].done()), "seed {}, {of}", world.seed);
}

fn play(part: Part, side: Cut) {
    for seed in 0..SEEDS {
        let of = format!("{part:?} {side:?}");
        let mut world = World::new(PLAN, seed);
        world.settle(5_000);
        world.commit(100);
        world.settle_core(10_000);
        world.converge(5_000);
        let node = chosen(&mut world, part);
        cut(&mut world, node, side);
        let calls = flood(&mut world, node, CUT_MS);
        check(&world, node, &calls, &of);
        race(&mut world, node, &of);
        world.converge(8_000);
    }
}

#[test]
fn a_leader_cut_off_for_twenty_seconds_says_nothing_old_and_refuses_nothing() {
    CUTS.iter().for_each(|side| play(Part::Leader, *side));
}

#[test]
fn a_follower_cut_off_for_twenty_seconds_says_nothing_old_and_refuses_nothing() {
    CUTS.iter().for_each(|side| play(Part::Follower, *side));
}

#[test]
fn a_learner_cut_off_for_twenty_seconds_says_nothing_old_and_refuses_nothing() {
    CUTS.iter().for_each(|side| play(Part::Learner, *side));
}

/// A gateway reaches only the member that is cut off: it takes no key for longer than it may, and is back as soon as it
/// reaches one of the others.
#[test]
fn a_gateway_that_reaches_only_the_one_cut_off_finds_another_when_it_can() {
    for seed in 0..12 {
        let mut world = World::new(PLAN, seed);
        world.settle(5_000);
        world.commit(100);
        world.converge(5_000);
        let old = world.settle(1_000);
        let alone = world.edge(0);
        cut(&mut world, old, Cut::Members);
        for other in (0..PLAN.members).filter(|other| *other != old) {
            world.cuts.extend([(alone, other), (other, alone)]);
        }
        world.run(CUT_MS / 2);
        world.commit(90);
        world.run(CUT_MS / 2);
        assert!(!world.gateways[0].ready(world.now), "seed {seed}: it goes by what it can't know");
        // One of the others, whether it leads or not, and the leader that this one points to.
        let leader = world.settle(1_000);
        let other = (0..PLAN.members).find(|node| *node != old && *node != leader).unwrap_or(leader);
        for reached in [other, leader] {
            world.cuts.remove(&(alone, reached));
            world.cuts.remove(&(reached, alone));
        }
        let back = world.until(BACK_MS, |world| world.gateways[0].ready(world.now));
        assert!(back, "seed {seed}: not back {BACK_MS} ms after it reaches a leader");
        assert_eq!(world.gateways[0].version(), world.audit.state.version(), "seed {seed}");
    }
}

/// The leader keeps its lead, and the disks of a majority take nothing: what can't be settled is answered as open in time.
#[test]
fn a_leader_whose_majority_has_no_disk_answers_in_time() {
    for seed in 0..SEEDS {
        let mut world = World::new(PLAN, seed);
        world.settle(5_000);
        world.commit(100);
        world.settle_core(10_000);
        world.converge(5_000);
        let leader = world.settle(1_000);
        let others = (0..PLAN.members).filter(|node| *node != leader).take(3).collect::<Vec<_>>();
        others.iter().for_each(|node| world.members[*node].disk.hang(true));
        let calls = flood(&mut world, leader, 3_000);
        check(&world, leader, &calls, "disks hang");
        world.heal();
        world.converge(8_000);
    }
}

/// The time between a successor's first acknowledgement and the old leader's own end of its lead, in which its state is old.
#[test]
fn one_that_still_takes_itself_for_the_leader_reads_and_refuses_nothing_of_old() {
    let (mut asked, mut worlds) = (0, 0);
    for seed in 0..60 {
        let mut world = World::new(PLAN, seed);
        world.settle(5_000);
        world.commit(100);
        world.converge(5_000);
        let old = world.settle(1_000);
        cut(&mut world, old, Cut::Both);
        let successor = |world: &World| world.sure_leader().is_some_and(|leader| leader != old);
        assert!(world.until(5_000, successor), "seed {seed}: no successor");
        world.commit(90);
        worlds += u32::from(world.members[old].leads());
        let mut calls = Vec::new();
        while world.members[old].leads() {
            let base = world.audit.newest;
            let (put, patch) = (world.put(base, 80), world.patch(base, 70));
            let (stranger, trial) = (
                MembershipRequest::Remove("10.9.9.9".into()),
                Question::Trial(TENANT.into(), true, world.now),
            );
            let all = [Question::Get, put, patch, Question::Core(stranger), trial];
            calls.extend(all.map(|question| world.ask_only(old, question)));
            world.run(5);
        }
        world.run(PATIENCE_MS);
        asked += calls.len();
        check(&world, old, &calls, "two leaders");
        for order in calls.iter().map(|call| &world.people.orders[*call]) {
            let open = matches!(order.answer, Some(Answer::Elsewhere(_) | Answer::Unknown));
            assert!(open, "seed {seed}: {:?} to {:?}", order.answer, order.question);
        }
    }
    assert!(worlds >= 10 && asked >= 100, "only {asked} calls in {worlds} worlds");
}
