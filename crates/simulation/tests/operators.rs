//! Operators who race and repeat themselves, with calls and answers lost, over a core in trouble. Every history is judged.

use nickeljunction_history::{check, Exchange, Summary};
use nickeljunction_schema::value_digest;
use nickeljunction_simulation::{Lost, Plan, Question, World};
use serde_json::json;

/// Seeds of the races, and of the moments at which a leader goes.
const RACES: u64 = 150;
const MOMENTS: u64 = 150;
/// Orders under way at once.
const UNDER_WAY: usize = 8;

/// A change on a base: whole, or as a patch of the tenant; `rate` makes it another one of its number.
fn change(patch: bool, base: u64, version: u64, rate: u64) -> Question {
    let doc = World::document(version, rate);
    match patch {
        false => Question::Put(base, version, value_digest("PUT", Some(base), &doc), doc),
        true => {
            let body = json!({"config_version": version, "upsert": {"tenants": doc["tenants"]}});
            Question::Patch(base, version, value_digest("PATCH", Some(base), &body), body)
        }
    }
}

/// A core without gateways that has taken a first change.
fn core(members: usize, seed: u64) -> World {
    let mut world = World::new(Plan { members, seeds: members, gateways: 0, strict: false }, seed);
    // No clients, as there are no gateways.
    world.load = 0;
    world.people.rng = fastrand::Rng::with_seed(seed);
    world.settle(10_000);
    world.commit(100);
    world
}

/// Ends the trouble and waits until every order has a clear answer.
fn calm(world: &mut World) {
    world.heal();
    world.people.lost = Lost::default();
    world.settle(15_000);
    let answered = world.until(20_000, |world| world.people.under_way() == 0);
    assert!(answered, "seed {}: {} orders have no clear answer", world.seed, world.people.under_way());
}

fn judge(world: &World) -> Summary {
    check(&world.people.history).unwrap_or_else(|violation| panic!("seed {}: {violation}", world.seed))
}

/// Sends every change that was acknowledged once more, to any member.
fn repeat_all(world: &mut World) {
    let taken: Vec<Question> = {
        let orders = world.people.orders.iter();
        orders.filter(|order| order.done()).map(|order| order.question.clone()).collect()
    };
    for question in taken {
        let to = world.rng.usize(..world.members.len());
        world.order(to, question);
    }
    calm(world);
}

fn trouble(world: &mut World) {
    let members = world.members.len();
    let any = world.rng.usize(..members);
    let member = if world.rng.bool() { world.leader().unwrap_or(any) } else { any };
    match world.rng.u8(..12) {
        0 if world.members[member].up() => world.kill(member),
        1 if world.members[member].up() => {
            let survive = world.rng.usize(0..3);
            world.power_off(member, survive);
        }
        2 => (0..members).for_each(|node| world.kill(node)),
        3 => world.freeze(member),
        4 => world.thaw(any),
        5 => {
            let inward = world.rng.bool();
            world.cut_off(member, true, inward);
        }
        6 => world.cuts.clear(),
        7 => world.members[member].disk_ms = world.rng.u64(1..150),
        8 => (world.loss, world.late) = (world.rng.u8(..25), world.rng.u8(..15)),
        _ => {
            for node in 0..members {
                world.thaw(node);
                if !world.members[node].up() {
                    world.start(node);
                }
            }
        }
    }
}

/// Something that an operator sends: a read, a change on what is known, or one that was sent before.
fn next(world: &mut World, sent: &mut Vec<Question>) -> Question {
    let again = world.rng.usize(..sent.len().max(1));
    match world.rng.u8(..6) {
        0 => Question::Get,
        1 | 2 if !sent.is_empty() => sent[again].clone(),
        _ => {
            let (base, up) = (world.people.known(), world.rng.u64(1..=3));
            let (patch, rate) = (base > 0 && world.rng.bool(), world.rng.u64(50..55));
            let question = change(patch, base, base + up, rate);
            sent.push(question.clone());
            question
        }
    }
}

fn race(seed: u64) -> Summary {
    let mut world = core(if seed.is_multiple_of(2) { 3 } else { 5 }, seed);
    world.people.lost = Lost { calls: 10, answers: 25 };
    let (end, mut sent) = (world.now + 15_000, Vec::new());
    while world.now < end {
        if world.rng.u8(..6) == 0 {
            trouble(&mut world);
        }
        if world.people.under_way() < UNDER_WAY {
            let (question, to) = (next(&mut world, &mut sent), world.rng.usize(..world.members.len()));
            world.order(to, question);
        }
        let ms = world.rng.u64(..120);
        world.run(ms);
    }
    calm(&mut world);
    repeat_all(&mut world);
    world.order(0, Question::Get);
    calm(&mut world);
    judge(&world)
}

fn sum(summaries: &[Summary], of: fn(&Summary) -> usize) -> usize {
    summaries.iter().map(of).sum()
}

#[test]
fn operators_who_race_and_repeat_over_a_core_in_trouble_see_one_register() {
    let seen: Vec<Summary> = (0..RACES).map(race).collect();
    let (orders, copies) = (sum(&seen, |one| one.changes), sum(&seen, |one| one.copies));
    let acknowledged = sum(&seen, |one| one.acknowledged);
    let (repeats, refused) = (sum(&seen, |one| one.repeats), sum(&seen, |one| one.refused));
    let reads = sum(&seen, |one| one.reads);
    println!("{orders} orders in {copies} copies, {acknowledged} acknowledged, {repeats} repeats, {refused} refused, {reads} reads");
    let races = RACES as usize;
    assert!(acknowledged > 5 * races && repeats > 10 * races, "too little to judge");
    assert!(refused > 5 * races && reads > 5 * races, "too little to judge");
}

/// A change goes to a leader that is cut off, frozen or killed within its next messages; copies of it and a rival go to others.
fn moment(seed: u64) -> Summary {
    let mut world = core(3, seed);
    let (base, leader) = (world.people.known(), world.settle(1_000));
    let (one, rival) =
        (change(false, base, base + 2, 60), change(seed.is_multiple_of(2), base, base + 2, 61));
    world.members[leader].disk_ms = world.rng.u64(1..10);
    world.ask_only(leader, one.clone());
    let ms = world.rng.u64(0..14);
    world.run(ms);
    match world.rng.u8(..4) {
        0 => world.cut_off(leader, true, true),
        1 => world.freeze(leader),
        2 => world.kill(leader),
        _ => world.power_off(leader, 1),
    }
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    for (question, to) in [(&one, others[0]), (&rival, others[1]), (&one, others[1])] {
        world.order(to, question.clone());
    }
    let ms = world.rng.u64(0..3_000);
    world.run(ms);
    calm(&mut world);
    for to in 0..3 {
        world.order(to, one.clone());
        world.order(to, rival.clone());
    }
    calm(&mut world);
    judge(&world)
}

#[test]
fn a_change_whose_leader_goes_while_it_is_under_way_has_one_outcome_for_all_its_copies() {
    let seen: Vec<Summary> = (0..MOMENTS).map(moment).collect();
    // The first change, and one of the two rivals.
    assert!(seen.iter().all(|one| one.acknowledged == 2), "{seen:?}");
    // Nine copies that are repeated until they have an answer, and the first acknowledgement is no repeat.
    assert!(seen.iter().all(|one| one.refused + one.repeats >= 8), "{seen:?}");
    let first_won = seen.iter().filter(|one| one.refused == 4).count();
    println!("of {MOMENTS} the change whose leader went won {first_won}");
    assert!(first_won > 0 && first_won < seen.len(), "always the same one wins");
}

/// A leader is cut off from the others, and operators reach both sides: they read, and send changes, all the while.
fn aside(seed: u64) -> Summary {
    let mut world = core(5, seed);
    let leader = world.settle(1_000);
    world.cut_off(leader, true, true);
    for round in 0..150 {
        let known = world.people.known();
        world.ask_only(leader, Question::Get);
        if round % 5 == 0 {
            world.ask_only(leader, change(false, known, known + 1, 70));
        }
        // Once: whoever is sent on to the one that is cut off waits there for seconds.
        let patch = world.rng.bool();
        world.ask_only((leader + 1 + round % 4) % 5, change(patch, known, known + 1, 80));
        world.run(10);
    }
    calm(&mut world);
    judge(&world)
}

#[test]
fn a_leader_that_is_cut_off_says_nothing_that_the_others_belie() {
    let seen: Vec<Summary> = (0..MOMENTS).map(aside).collect();
    assert!(seen.iter().all(|one| one.acknowledged > 1), "{seen:?}");
}

#[test]
fn changes_are_acknowledged_again_after_hundreds_of_later_ones_and_a_restart_at_every_member() {
    let mut world = core(3, 7);
    let mut sent = Vec::new();
    for number in 0..300 {
        let (base, leader) = (world.people.known(), world.settle(1_000));
        let question = change(number % 3 == 1, base, base + 1 + number % 2, 50 + number);
        let order = world.order(leader, question.clone());
        assert!(world.until(5_000, |world| world.people.orders[order].done()), "change {number}");
        sent.push(question);
    }
    for node in 0..3 {
        world.power_off(node, 0);
    }
    calm(&mut world);
    let compacted = (0..3).all(|node| {
        let loaded = world.members[node].load();
        loaded.and_then(|disk| disk.snapshot).is_some_and(|snapshot| snapshot.index > 200)
    });
    assert!(compacted, "their entries are still on the log");
    for to in 0..3 {
        for question in [&sent[0], &sent[1], &sent[150], &sent[299]] {
            world.order(to, question.clone());
        }
    }
    calm(&mut world);
    let summary = judge(&world);
    assert_eq!((summary.acknowledged, summary.refused), (301, 0));
    assert!(summary.repeats >= 12, "{summary:?}");
}

#[test]
fn a_planted_refusal_is_found_in_a_race() {
    let mut world = core(3, 1);
    let base = world.people.known();
    let order = world.order(0, change(false, base, base + 1, 60));
    assert!(world.until(5_000, |world| world.people.orders[order].done()), "no acknowledgement");
    let again = world.order(1, world.people.orders[order].question.clone());
    assert!(world.until(5_000, |world| world.people.orders[again].done()), "no acknowledgement");
    judge(&world);
    let mut planted: Vec<Exchange> = world.people.history.clone();
    let last = planted.iter_mut().rfind(|one| one.call.version == base + 1 && one.answer.is_some());
    last.expect("the repeat").answer.as_mut().expect("its answer").status =
        nickeljunction_history::Status::Conflict;
    assert!(check(&planted).is_err(), "a refused repeat is not found");
}
