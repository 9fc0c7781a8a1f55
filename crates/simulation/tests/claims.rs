//! Keyed operations that many claim at once, at any member, through whatever befalls the core: none is granted twice without
//! a release in between, and none that was granted is forgotten within the window.

use nickeljunction_simulation::{Node, Plan, World};

/// Worlds of each kind; `CLAIM_WORLDS` sets another number, `CLAIM_SEED` the first seed.
const WORLDS: u64 = 12;
const RATE: u64 = 90;
/// Between two claims, ms.
const EVERY_MS: u64 = 15;
/// Losses of disks before the closing one.
const EARLIER: usize = 2;
/// Until the core is whole again after a loss of disks, ms.
const SYNC_MS: u64 = 6_000;

/// Core machines, and how many disks may go at once.
#[derive(Debug, Clone, Copy)]
struct Deployment {
    members: usize,
    losses: usize,
}

const SMALL: Deployment = Deployment { members: 3, losses: 1 };
const GROWN: Deployment = Deployment { members: 5, losses: 2 };

fn world(of: Deployment, seed: u64) -> World {
    let plan = Plan { members: of.members, seeds: 3, gateways: 2, strict: false };
    let mut world = World::bearing(plan, of.losses, seed);
    world.settle(5_000);
    world.commit(RATE);
    assert!(world.until(10_000, World::complete), "seed {seed}: the core did not grow");
    world.members.iter_mut().for_each(|member| member.disk_ms = 1 + seed % 12);
    world.claimants.every_ms = EVERY_MS;
    world
}

fn any(world: &mut World) -> Node {
    world.rng.usize(..world.members.len())
}

/// The leader, or any member.
fn victim(world: &mut World) -> Node {
    let leader = world.leader().filter(|_| world.rng.bool());
    leader.unwrap_or_else(|| any(world))
}

fn pause(world: &mut World, most_ms: u64) {
    let ms = world.rng.u64(..most_ms);
    world.run(ms);
}

/// Cuts the core into two parts; claimants reach both.
fn split(world: &mut World) {
    let mut nodes: Vec<Node> = (0..world.members.len()).collect();
    world.rng.shuffle(&mut nodes);
    let (one, other) = nodes.split_at(nodes.len() / 2);
    for (left, right) in one.iter().flat_map(|left| other.iter().map(move |right| (*left, *right))) {
        world.cuts.extend([(left, right), (right, left)]);
    }
}

/// One trouble that takes no disk.
fn trouble(world: &mut World) {
    let node = victim(world);
    match world.rng.u8(..10) {
        0 => world.kill(node),
        1 => {
            let survive = world.rng.usize(..3);
            (0..world.members.len()).for_each(|node| world.power_off(node, survive));
        }
        2 => world.power_off(node, 0),
        3 | 4 => world.freeze(node),
        5 => {
            let (outward, inward) = [(true, true), (true, false), (false, true)][world.rng.usize(..3)];
            world.cut_off(node, outward, inward);
        }
        6 => split(world),
        7 => world.members[node].disk.hang(true),
        8 => world.members[node].disk_ms = 100,
        _ => (world.loss, world.late) = (10, 10),
    }
}

/// Troubles, some of them at once, and the time until the core is whole again.
fn troubles(world: &mut World) {
    for _ in 0..world.rng.usize(1..=3) {
        trouble(world);
        pause(world, 1_500);
    }
    pause(world, 3_000);
    world.heal();
    world.settle(10_000);
    world.check_claims();
    pause(world, 2_000);
}

fn wiped(world: &mut World, of: Deployment) -> Vec<Node> {
    let mut nodes: Vec<Node> = (0..world.members.len()).collect();
    world.rng.shuffle(&mut nodes);
    let leader = world.leader();
    if world.rng.bool() {
        nodes.sort_by_key(|node| Some(*node) != leader);
    }
    nodes.truncate(of.losses);
    nodes
}

/// As many disks as may go are lost, and machines come back with empty ones.
fn lose_disks(world: &mut World, of: Deployment) {
    for node in wiped(world, of) {
        world.wipe(node);
        pause(world, 300);
    }
    pause(world, 2_000);
    world.heal();
    world.settle(10_000);
    world.settle_core(15_000);
    world.check_claims();
    world.run(SYNC_MS);
}

/// The same while all other machines lose power.
fn lose_all(world: &mut World, of: Deployment) {
    let gone = wiped(world, of);
    for node in 0..world.members.len() {
        let survive = world.rng.usize(..3);
        match gone.contains(&node) {
            true => world.wipe(node),
            false => world.power_off(node, survive),
        }
    }
    pause(world, 2_000);
    world.heal();
    world.settle(10_000);
    world.converge(15_000);
    world.check_claims();
}

/// A day of a core; claims that were granted, held, and taken over.
fn day(of: Deployment, seed: u64) -> [usize; 3] {
    let mut world = world(of, seed);
    for _ in 0..EARLIER {
        world.run(1_000);
        troubles(&mut world);
        troubles(&mut world);
        lose_disks(&mut world, of);
    }
    pause(&mut world, 3_000);
    lose_all(&mut world, of);
    world.run(4_000);
    // Long enough for all of it to be forgotten, while leaders change.
    world.claimants.every_ms = 0;
    world.load = 0;
    for _ in 0..3 {
        world.run(25_000);
        let node = victim(&mut world);
        world.kill(node);
        world.run(3_000);
        world.check_claims();
        world.heal();
    }
    world.run(130_000);
    assert_eq!(world.audit.state.operations().record_count(), 0, "seed {seed}: not forgotten");
    [world.claimants.granted, world.claimants.held, world.claimants.taken_over]
}

fn days(of: Deployment) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let (worlds, first) = (number("CLAIM_WORLDS").unwrap_or(WORLDS), number("CLAIM_SEED").unwrap_or(0));
    let mut sum = [0; 3];
    for seed in first..first + worlds {
        for (sum, one) in sum.iter_mut().zip(day(of, seed)) {
            *sum += one;
        }
    }
    println!("{of:?}: {sum:?} claims granted, held, taken over in {worlds} worlds");
    assert!(sum.iter().all(|count| *count > 20 * worlds as usize), "the days left nothing to check: {sum:?}");
}

#[test]
fn no_operation_is_granted_twice_by_a_core_of_three() {
    days(SMALL);
}

#[test]
fn no_operation_is_granted_twice_by_a_core_of_five() {
    days(GROWN);
}
