//! Servers that leave while leaders change: what was acknowledged to a server binds every later leader, also one that was not
//! told of it by its predecessor, and one that comes after all of the core was dark.

use nickeljunction_simulation::{Node, Plan, World};
use std::collections::BTreeSet;

const SEEDS: u64 = 24;
const FIVE: Plan = Plan { members: 5, seeds: 5, gateways: 3, strict: false };
/// `drain_timeout_s` of the operators' rules, ms.
const DRAIN_MS: u64 = 3_000;
/// `contact_s`, ms: the core is settled for so long before a gateway counts as in touch again.
const CONTACT_MS: u64 = 4_000;
const STAYING: &str = "stays";

/// How a server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum How {
    Drains,
    Ends,
}

/// A core in service, and one server that stays.
fn world(seed: u64) -> World {
    let mut world = World::new(FIVE, seed);
    world.settle(5_000);
    world.commit(100);
    world.converge(5_000);
    world.server(STAYING, "10.2.0.1:80", "b", "z1");
    // The register is whole, and members have notes of it.
    world.run(8_000);
    world
}

/// One more server, known to everybody.
fn known_server(world: &mut World, number: usize) -> usize {
    let server = world.server(&format!("s{number}"), &format!("10.2.1.{number}:80"), "b", "z1");
    world.run(2_000);
    server
}

fn leave(world: &mut World, server: usize, how: How) {
    match how {
        How::Drains => world.drain(server),
        How::Ends => world.leave(server),
    }
}

fn acked(world: &World, server: usize) -> Option<u64> {
    world.people.servers[server].acked
}

fn await_ack(world: &mut World, server: usize) -> u64 {
    assert!(
        world.until(8_000, |world| acked(world, server).is_some()),
        "seed {}, {} ms: not acknowledged",
        world.seed,
        world.now
    );
    acked(world, server).unwrap_or(0)
}

/// Nobody sends to a server that left later than `DRAIN_MS` after its acknowledgement, but in the `CONTACT_MS` after a
/// trouble of the core.
fn check(world: &World, servers: &[usize], settled: impl Fn(u64) -> bool) {
    for server in servers {
        let Some(at) = acked(world, *server) else { continue };
        let id = &world.people.servers[*server].id;
        let late =
            world.audit.sent.iter().find(|(when, _, to)| to == id && *when > at + DRAIN_MS && settled(*when));
        assert!(late.is_none(), "seed {}: {id} was acknowledged at {at}, sent {late:?}", world.seed);
    }
    let last = world.audit.sent.last().map_or(0, |(when, ..)| *when);
    assert!(last + 1_000 > world.now, "seed {}: nothing is sent any more", world.seed);
}

/// Cuts one member's link to the leader while the departure is acknowledged: its log catches up by heartbeats, its held
/// watch call stays without an answer.
fn keep_from(world: &mut World, leader: Node, follower: Node) {
    world.cuts.extend([(leader, follower), (follower, leader)]);
}

/// Ends all members but `next` and one more, which has a shorter log or the same: `next` leads, if it may. True if it does.
fn hand_lead_to(world: &mut World, next: Node) -> bool {
    let before = world.leader();
    for _ in 0..4 {
        let Some(leader) = world.sure_leader() else {
            world.run(100);
            continue;
        };
        if leader == next {
            break;
        }
        world.freeze(leader);
        world.until(3_000, |world| world.sure_leader().is_some_and(|now| now != leader));
        world.thaw(leader);
    }
    world.until(3_000, |world| world.sure_leader().is_some());
    before != world.sure_leader() && world.sure_leader() == Some(next)
}

#[test]
fn a_successor_that_was_not_told_of_a_departure_goes_by_it() {
    for how in [How::Drains, How::Ends] {
        let mut succeeded = 0;
        for seed in 0..SEEDS {
            let mut world = world(seed);
            let server = known_server(&mut world, 0);
            let leader = world.settle(1_000);
            let uninformed = (leader + 1) % FIVE.members;
            keep_from(&mut world, leader, uninformed);
            leave(&mut world, server, how);
            let at = await_ack(&mut world, server);
            // A drained server's next beat would tell any leader; this one's are on their way for long.
            world.people.servers[server].up = false;
            world.cuts.clear();
            world.run(300);
            succeeded += usize::from(hand_lead_to(&mut world, uninformed));
            let left = (at + 10_000).saturating_sub(world.now);
            world.run(left);
            // All gateways can reach every member all the while.
            check(&world, &[server], |_| true);
        }
        assert!(succeeded >= 6, "{how:?}: the uninformed one led in {succeeded} of {SEEDS} worlds");
    }
}

#[test]
fn two_successors_in_a_row_go_by_a_departure() {
    for how in [How::Drains, How::Ends] {
        for seed in 0..SEEDS {
            let mut world = world(seed);
            let server = known_server(&mut world, 0);
            let leader = world.settle(1_000);
            let others: Vec<Node> = (0..FIVE.members).filter(|node| *node != leader).collect();
            others[..2].iter().for_each(|node| keep_from(&mut world, leader, *node));
            leave(&mut world, server, how);
            let at = await_ack(&mut world, server);
            world.people.servers[server].up = false;
            world.cuts.clear();
            for _ in 0..2 {
                let ms = world.rng.u64(100..600);
                world.run(ms);
                let leader = world.settle(5_000);
                world.kill(leader);
                world.until(3_000, |world| world.sure_leader().is_some());
                world.start(leader);
            }
            let left = (at + 10_000).saturating_sub(world.now);
            world.run(left);
            check(&world, &[server], |_| true);
        }
    }
}

/// Its notes of the register are older than the departure.
#[test]
fn a_core_that_was_dark_goes_by_a_departure() {
    for how in [How::Drains, How::Ends] {
        for seed in 0..SEEDS {
            let mut world = world(seed);
            let server = known_server(&mut world, 0);
            leave(&mut world, server, how);
            let at = await_ack(&mut world, server);
            world.people.servers[server].up = false;
            let notes: Vec<_> = world.members.iter().map(|member| member.hint.clone()).collect();
            (0..FIVE.members).for_each(|node| world.power_off(node, 0));
            let down = world.rng.u64(100..1_000);
            world.run(down);
            // The time of day vouches for them.
            world.members.iter_mut().zip(notes).for_each(|(member, notes)| member.hint = notes);
            world.heal();
            let left = (at + 12_000).saturating_sub(world.now);
            world.run(left);
            check(&world, &[server], |_| true);
        }
    }
}

/// Crashes, freezes, cuts and losses of power of members by chance, while servers leave all the time.
#[test]
fn departures_hold_through_storms() {
    let mut acknowledged = 0;
    for seed in 0..SEEDS {
        let mut world = world(seed);
        let mut servers = Vec::new();
        let mut troubles = Vec::new();
        for round in 0..8 {
            let fresh: Vec<usize> = (0..3).map(|of| known_server(&mut world, round * 3 + of)).collect();
            let mut down = BTreeSet::new();
            for server in &fresh {
                let how = if world.rng.bool() { How::Drains } else { How::Ends };
                leave(&mut world, *server, how);
                let node = world.rng.usize(..FIVE.members);
                down.insert(node);
                match world.rng.u8(..5) {
                    0 => world.kill(node),
                    1 => world.power_off(node, 1),
                    2 => world.freeze(node),
                    3 => world.cut_off(node, true, true),
                    _ => (0..FIVE.members).for_each(|node| world.power_off(node, 0)),
                }
                troubles.push(world.now);
                let ms = world.rng.u64(..900);
                world.run(ms);
            }
            world.heal();
            troubles.push(world.now);
            world.run(DRAIN_MS + CONTACT_MS);
            // Those that drain are silent from now on: no beat tells a later leader.
            fresh.iter().for_each(|server| world.people.servers[*server].up = false);
            servers.extend(fresh);
        }
        world.run(5_000);
        let calm = |when: u64| !troubles.iter().any(|at| (*at..at + CONTACT_MS).contains(&when));
        check(&world, &servers, calm);
        acknowledged += servers.iter().filter(|server| acked(&world, **server).is_some()).count();
    }
    assert!(acknowledged > 20 * SEEDS as usize, "{acknowledged} departures were acknowledged");
}

#[test]
fn departures_are_forgotten_in_time() {
    let mut world = world(7);
    let server = known_server(&mut world, 0);
    leave(&mut world, server, How::Ends);
    await_ack(&mut world, server);
    assert_eq!(world.audit.state.departures().len(), 1);
    world.run(65_000);
    assert!(world.audit.state.departures().is_empty(), "{:?}", world.audit.state.departures());
    world.converge(1_000);
}
