//! How soon a change is in force at gateways on thin links, on which packets wait for up to half a second each way, as
//! downloads make them wait. Beyond that a machine no longer counts as in touch. Each case over some seeds, which a failure
//! names.

use nickeljunction_schema::value_digest;
use nickeljunction_simulation::{Pipe, Plan, Question, World};

const CHANGES: usize = 6;
const SEEDS: u64 = 24;
const PLAN: Plan = Plan { members: 5, seeds: 3, gateways: 8, strict: true };
/// A change is in force at every gateway in touch so long after its acknowledgement, ms; see docs/design/control-safety.
const IN_FORCE_MS: u64 = 3_000;
/// The same where the answer that brings it is lost with its connection, and nobody is told: `config_apply_s` of a grown
/// deployment.
const LOST_IN_FORCE_MS: u64 = 4_000;
/// Longest wait of a packet at a link of a machine in touch, ms.
const MOST_WAIT_MS: f64 = 500.0;
/// A download comes onto a link that often at most, ms.
const PRESS_MS: u64 = 20;

/// Lets time pass with other traffic on the gateways' links, until something holds.
fn pressed(world: &mut World, ms: u64, mut holds: impl FnMut(&World) -> bool) -> bool {
    let end = world.now + ms;
    while world.now < end {
        for gateway in 0..world.gateways.len() {
            let (outward, inward) = (world.rng.f64() * MOST_WAIT_MS, world.rng.f64() * MOST_WAIT_MS);
            let (node, now) = (world.edge(gateway), world.now);
            if let Some(pipe) = world.pipes.get_mut(&node) {
                pipe.press(now, outward, inward);
            }
        }
        if world.until(PRESS_MS, &mut holds) {
            return true;
        }
    }
    false
}

/// A put of about as many bytes as a document of a grown deployment.
fn large_put(world: &mut World, bytes: usize) -> Question {
    let base = world.audit.state.version();
    let Question::Put(base, version, _, mut doc) = world.put(base, 100) else { unreachable!("it is a put") };
    doc["backends"]["b"]["note"] = "x".repeat(bytes).into();
    Question::Put(base, version, value_digest("PUT", Some(base), &doc), doc)
}

/// A world on thin links with other traffic, some seconds on; its gateways know all there is.
fn thin(seed: u64) -> World {
    let mut world = World::new(PLAN, seed);
    world.settle(5_000);
    world.commit(100);
    for number in 0..24 {
        world.server(&format!("s{number}"), &format!("10.2.0.{number}:80"), "b", "z1");
    }
    world.converge(5_000);
    for gateway in 0..PLAN.gateways {
        let mbps = 2.0 + 3.8 * world.rng.f64();
        world.pipes.insert(world.edge(gateway), Pipe::new(mbps));
    }
    pressed(&mut world, 6_000, |_| false);
    world
}

/// Changes, one after the other, each measured: longest time from its acknowledgement to its being in force everywhere.
fn slowest(world: &mut World, bytes: usize, answers_lost: bool) -> u64 {
    let mut slowest = 0;
    for _ in 0..CHANGES {
        let (put, to) = (large_put(world, bytes), world.settle(1_000));
        if answers_lost {
            let gateways: Vec<usize> = (0..PLAN.gateways).map(|gateway| world.edge(gateway)).collect();
            world.cuts.extend(gateways.into_iter().map(|gateway| (to, gateway)));
        }
        let order = world.order(to, put);
        assert!(pressed(world, 2_000, |world| world.people.orders[order].done()), "seed {}", world.seed);
        world.cuts.clear();
        let (acked, version) = (world.now, world.audit.newest);
        let known = |world: &World| world.gateways.iter().all(|gateway| gateway.version() >= version);
        let fine = pressed(world, 10_000, known);
        assert!(fine, "seed {}: {version} is not in force after 10 s", world.seed);
        slowest = slowest.max(world.now - acked);
        // Whatever the calls' phase is.
        let ms = world.rng.u64(0..2_000);
        pressed(world, ms, |_| false);
    }
    slowest
}

fn over_seeds(bytes: usize, answers_lost: bool, bound: u64) {
    let mut worst = 0;
    for seed in 0..SEEDS {
        let slowest = slowest(&mut thin(seed), bytes, answers_lost);
        assert!(slowest <= bound, "seed {seed}: in force after {slowest} ms");
        worst = worst.max(slowest);
    }
    println!("in force after {worst} ms at the latest");
}

#[test]
fn a_change_is_in_force_in_time_over_links_on_which_packets_wait() {
    over_seeds(24_000, false, IN_FORCE_MS);
}

#[test]
fn a_change_is_in_force_in_time_where_the_answers_that_bring_it_are_lost() {
    over_seeds(24_000, true, LOST_IN_FORCE_MS);
}
