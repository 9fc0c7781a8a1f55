//! Trials that lapse and are restored, in the whole cluster: each case over some seeds, which a failure names.

use nickeljunction_simulation::{Plan, World};

const SEEDS: u64 = 8;
const NINE: Plan = Plan { members: 3, seeds: 3, gateways: 9, strict: false };
/// Stages of the worlds' trial, and how long each lasts, ms.
const STAGES: u32 = 4;
const STAGE_MS: u64 = 2_000;

/// Plays a case for some seeds, each with a cluster in service.
fn over(case: impl Fn(&mut World)) {
    for seed in 0..SEEDS {
        let mut world = World::new(NINE, seed);
        world.settle(5_000);
        world.commit(100);
        world.converge(5_000);
        case(&mut world);
        stages(&world);
    }
}

/// An order that is acknowledged.
fn order(world: &mut World, lapse: bool) {
    let to = world.rng.usize(..world.members.len());
    let order = world.trial(to, lapse);
    let done = world.until(10_000, |world| world.people.orders[order].done());
    assert!(done, "seed {}: {:?}", world.seed, world.people.orders[order]);
}

/// Step and stage on the log.
fn logged(world: &World) -> (u64, u32) {
    let trial = world.audit.state.trial("peach");
    (trial.step, trial.stage)
}

/// Lets time pass until a stage is on the log.
fn reach(world: &mut World, stage: u32) {
    let fine = world.until(25_000, |world| logged(world).1 == stage);
    assert!(fine, "seed {}: stage {:?}, wants {stage}", world.seed, logged(world));
}

/// All gateways go by the step on the log.
fn at_one(world: &World) -> bool {
    world.gateways.iter().all(|gateway| gateway.tide(world.now) == logged(world))
}

fn become_one(world: &mut World) {
    let fine = world.until(8_000, at_one);
    let told: Vec<(u64, u32)> = world.gateways.iter().map(|gateway| gateway.tide(world.now)).collect();
    assert!(fine, "seed {}: the log has {:?}, gateways {told:?}", world.seed, logged(world));
}

/// No stage was skipped, and none that ended by its time was shorter than that.
fn stages(world: &World) {
    for pair in world.audit.tides.windows(2) {
        let (old, new) = (&pair[0], &pair[1]);
        assert_eq!(new.trial.step, old.trial.step + 1, "seed {}: {pair:?}", world.seed);
        assert!(new.trial.stage.abs_diff(old.trial.stage) <= 1, "seed {}: {pair:?}", world.seed);
        let by_order = old.trial.lapses != new.trial.lapses;
        assert!(by_order || new.at >= old.at + STAGE_MS, "seed {}: too short: {pair:?}", world.seed);
    }
}

/// Each of these steps held at all of these gateways within 250 ms, from 300 ms after the leader took it.
fn in_step(world: &World, gateways: &[usize], steps: std::ops::RangeInclusive<u64>) {
    for step in steps {
        let of = |told: &&nickeljunction_simulation::Told| {
            told.step == step && gateways.iter().any(|gateway| world.edge(*gateway) == told.gateway)
        };
        let holds: Vec<u64> = world.audit.told.iter().filter(of).map(|told| told.holds).collect();
        let (least, most) = (holds.iter().min(), holds.iter().max());
        assert_eq!(holds.len(), gateways.len(), "seed {}: step {step}", world.seed);
        let apart = most.zip(least).map_or(0, |(most, least)| most - least);
        assert!(apart <= 250, "seed {}: step {step} holds from {least:?} to {most:?}", world.seed);
        let taken = world.audit.tides.iter().find(|tide| tide.trial.step == step).map_or(0, |tide| tide.at);
        let after = holds.iter().map(|holds| holds - taken);
        assert!(after.clone().all(|ms| (300..310).contains(&ms)), "seed {}: {after:?}", world.seed);
    }
}

#[test]
fn a_trial_lapses_through_all_stages_in_step_and_back() {
    over(|world| {
        order(world, true);
        reach(world, STAGES);
        world.run(3 * STAGE_MS);
        assert_eq!(logged(world), (4, STAGES), "seed {}: the last one stays", world.seed);
        become_one(world);
        order(world, false);
        reach(world, 0);
        world.run(3 * STAGE_MS);
        assert_eq!(logged(world), (8, 0), "seed {}", world.seed);
        become_one(world);
        in_step(world, &[0, 1, 2, 3, 4, 5, 6, 7, 8], 1..=8);
        // In a calm no stage waits for longer than it takes to write it down.
        for pair in world.audit.tides.windows(2).filter(|pair| pair[0].trial.lapses == pair[1].trial.lapses) {
            assert!(pair[1].at <= pair[0].at + STAGE_MS + 50, "seed {}: late: {pair:?}", world.seed);
        }
    });
}

/// Its successor counts the stage's time anew: it lasts longer, none is skipped or taken twice.
#[test]
fn a_leader_killed_between_stages() {
    over(|world| {
        order(world, true);
        while logged(world).1 < STAGES {
            let ms = world.rng.u64(0..=STAGE_MS + 50);
            world.run(ms);
            let leader = world.settle(5_000);
            world.kill(leader);
            let (step, stage) = logged(world);
            // The last one may have come since the loop looked: there is none after it.
            let gone = stage == STAGES || world.until(10_000, |world| logged(world).0 > step);
            assert!(gone, "seed {}: no next stage", world.seed);
            world.start(leader);
            world.converge(8_000);
        }
        world.heal();
        become_one(world);
    });
}

/// What a gateway wakes to may be older than what it hears first: it goes by the newest, and never back.
#[test]
fn a_gateway_frozen_through_two_stages() {
    over(|world| {
        order(world, true);
        become_one(world);
        let edge = world.edge(0);
        world.freeze(edge);
        reach(world, 3);
        let step = world.gateways[0].tide(world.now).0;
        assert_eq!(step, 1, "seed {}", world.seed);
        world.thaw(edge);
        become_one(world);
        in_step(world, &[1, 2, 3, 4, 5, 6, 7, 8], 1..=3);
    });
}

#[test]
fn a_gateway_that_is_cut_off_keeps_its_stage_and_catches_up() {
    over(|world| {
        order(world, true);
        reach(world, 2);
        become_one(world);
        let (edge, outward) = (world.edge(0), world.rng.bool());
        world.cut_off(edge, outward, true);
        reach(world, STAGES);
        world.run(4 * STAGE_MS);
        assert_eq!(world.gateways[0].tide(world.now), (2, 2), "seed {}", world.seed);
        world.heal();
        become_one(world);
        in_step(world, &[1, 2, 3, 4, 5, 6, 7, 8], 1..=4);
    });
}

/// Both are told that it is so: whichever is last on the log is in force, the same everywhere.
#[test]
fn two_operators_one_lapses_and_one_restores() {
    over(|world| {
        order(world, true);
        reach(world, 2);
        for _ in 0..6 {
            let orders = [(0, true), (2, false), (1, true)].map(|(to, lapse)| world.trial(to, lapse));
            let ms = world.rng.u64(..STAGE_MS);
            world.run(ms);
            let done = |world: &World| orders.iter().all(|order| world.people.orders[*order].done());
            assert!(world.until(10_000, done), "seed {}", world.seed);
        }
        become_one(world);
        world.converge(5_000);
    });
}

#[test]
fn a_trial_lapses_again_right_after_it_was_restored() {
    over(|world| {
        order(world, true);
        reach(world, 3);
        order(world, false);
        assert_eq!(logged(world).1, 2, "seed {}", world.seed);
        order(world, true);
        assert_eq!(logged(world), (5, 2), "seed {}: from where it stands", world.seed);
        // The time of a stage that was left by an order is not counted against the one it comes back to.
        reach(world, STAGES);
        become_one(world);
    });
}

#[test]
fn all_machines_lose_power_half_way() {
    over(|world| {
        order(world, true);
        reach(world, 2);
        let ms = world.rng.u64(..STAGE_MS);
        world.run(ms);
        let before = logged(world);
        (0..3).for_each(|node| world.power_off(node, 0));
        (0..9).for_each(|gateway| world.kill_gateway(gateway));
        world.run(3 * STAGE_MS);
        world.heal();
        let healed = world.now;
        world.converge(10_000);
        assert!(logged(world).0 >= before.0, "seed {}: {before:?} is lost", world.seed);
        become_one(world);
        // What was on the log at the start holds at once, for everyone.
        let step = logged(world).0;
        let told = world.audit.told.iter().filter(|told| told.at > healed && told.step == step);
        assert_eq!(told.clone().filter(|told| told.holds == told.at).count(), 9, "seed {}", world.seed);
        reach(world, STAGES);
        become_one(world);
    });
}

/// A leader that is cut off at the time of a stage puts it on nobody's log, and an operator's order goes before it.
#[test]
fn a_leader_cut_off_when_a_stage_is_due_and_an_order_at_its_successor() {
    over(|world| {
        order(world, true);
        become_one(world);
        let old = world.settle(1_000);
        let due = world.audit.tides[0].at + STAGE_MS;
        let ms = due.saturating_sub(world.now + 20);
        world.run(ms);
        world.cut_off(old, true, true);
        world.run(1_500);
        assert_eq!(logged(world), (1, 1), "seed {}: by the old leader alone", world.seed);
        let others: Vec<usize> = (0..3).filter(|node| *node != old).collect();
        let order = world.trial(others[0], false);
        assert!(world.until(10_000, |world| world.people.orders[order].done()), "seed {}", world.seed);
        assert_eq!(logged(world), (2, 0), "seed {}", world.seed);
        world.heal();
        world.converge(8_000);
        world.run(2 * STAGE_MS);
        assert_eq!(logged(world), (2, 0), "seed {}: its stage is gone", world.seed);
        become_one(world);
    });
}
