//! Storms over whole clusters: 30 s of faults drawn by chance, then calm. `STORM=seed` plays one again.

use nickeljunction_replica::MembershipRequest;
use nickeljunction_simulation::{host, Plan, Question, World, WINDOW_MS};
use std::collections::BTreeSet;

/// In each of two halves, which run at once.
const STORMS: u64 = 100;
const RATE: u64 = 20;

/// Does something bad, or makes something good again; `doubtful` are members whose disk is not known to have all.
fn trouble(world: &mut World) {
    let (members, edge) = (world.members.len(), world.gateways.len());
    let (one, other) = (world.rng.usize(..world.outside()), world.rng.usize(..world.outside()));
    let any = world.rng.usize(..members);
    let member = if world.rng.bool() { world.leader().unwrap_or(any) } else { any };
    let up = world.members[member].up();
    match world.rng.u8(..24) {
        0 if up => world.kill(member),
        1 | 2 if up => {
            let survive = world.rng.usize(0..2);
            world.power_off(member, survive);
        }
        // One disk at a time, and none before all of the last one's is there again.
        3 if up && world.complete() => world.wipe(member),
        4 => (0..members).for_each(|node| world.kill(node)),
        5 | 6 => world.freeze(one),
        7 => world.freeze(member),
        8 | 9 => world.thaw(one),
        10 => drop(world.cuts.insert((one, other))),
        11 => {
            let inward = world.rng.bool();
            world.cut_off(member, true, inward);
        }
        12 => world.cut_off(one, false, true),
        13 | 14 => world.cuts.clear(),
        15 => world.members[member].disk.fail(true),
        16 => world.members[member].disk.hang(true),
        17 => world.members[member].disk_ms = world.rng.u64(1..200),
        18 => {
            world.members[any].disk.fail(false);
            world.members[any].disk.hang(false);
        }
        19 => (world.loss, world.late) = (world.rng.u8(..25), world.rng.u8(..10)),
        20 | 21 => {
            for node in 0..members {
                if !world.members[node].up() {
                    world.start(node);
                }
            }
        }
        22 => {
            let gateway = world.rng.usize(..edge);
            match world.gateways[gateway].up {
                true => world.kill_gateway(gateway),
                false => world.start_gateway(gateway),
            }
        }
        _ if !world.members[any].up() => world.start(any),
        _ => {}
    }
}

/// An order on the core's members, whatever it may make of them.
fn wish(world: &mut World) -> MembershipRequest {
    let members = world.members.len();
    let (one, other) = (host(world.rng.usize(..members)), host(world.rng.usize(..members)));
    match world.rng.u8(..3) {
        0 => MembershipRequest::Remove(one),
        1 => MembershipRequest::Add(one, None),
        _ => MembershipRequest::Add(one, Some(other)),
    }
}

/// ms from the calm to a leader, and to all being at one; acknowledgements, reads, units, orders, members that are away; orders
/// on trials, changes of them, and how often a gateway learned of one.
fn storm(seed: u64) -> [u64; 10] {
    let mut dice = fastrand::Rng::with_seed(seed);
    let members = [5, 3, 4][(seed % 3) as usize];
    let seeds = if members == 4 || (members == 5 && dice.bool()) { 3 } else { members };
    let plan = Plan { members, seeds, gateways: dice.usize(3..=9), strict: dice.bool() };
    let mut world = World::new(plan, seed);
    world.settle(10_000);
    world.commit(RATE);
    world.load = 60;
    for number in 0..4 {
        let (id, address) = (format!("s{number}"), format!("10.2.0.{number}:80"));
        world.server(&id, &address, "b", if number % 2 == 0 { "z1" } else { "z2" });
    }
    world.converge(10_000);
    let end = world.now + 30_000;
    let mut zones: BTreeSet<String> = (3..9).map(|zone| format!("z{zone}")).collect();
    while world.now < end {
        if world.rng.u8(..4) == 0 {
            trouble(&mut world);
        }
        let to = world.rng.usize(..members);
        match world.rng.u8(..12) {
            0..=3 => drop(world.order(to, Question::Get)),
            4..=6 => {
                // Two operators on what may be the newest version, or one of before.
                let base = world.audit.newest.saturating_sub(u64::from(world.rng.u8(..8) == 0));
                let (one, other) = (world.put(base, RATE), world.put(base, RATE));
                world.order(to, one);
                let to = world.rng.usize(..members);
                world.order(to, other);
            }
            7 => {
                if let Some(zone) = zones.pop_first() {
                    world.order(to, Question::Evacuate(zone));
                }
            }
            8 => {
                let wish = wish(&mut world);
                world.order(to, Question::Core(wish));
            }
            9 => {
                // Two operators, of one mind or not.
                let (lapse, again) = (world.rng.bool(), world.rng.bool());
                world.trial(to, lapse);
                let to = world.rng.usize(..members);
                world.trial(to, again);
            }
            _ => {}
        }
        let ms = world.rng.u64(..250);
        world.run(ms);
    }
    world.heal();
    let calm = world.now;
    world.settle(15_000);
    let led = world.now - calm;
    world.converge(15_000);
    let at_one = world.now - calm;
    world.commit(RATE);
    world.settle_core(20_000);
    world.run(WINDOW_MS);
    world.converge(5_000);
    let (most, cap) = (world.audit.most_units(WINDOW_MS), cap());
    assert!(most <= cap, "seed {seed}: {most} units of {cap} in a window");
    let audit = &world.audit;
    let away = members - world.wanted().len();
    let counts = [audit.acked.len(), audit.reads, audit.spent.len(), audit.ordered, away];
    let [acked, reads, spent, ordered, away] = counts.map(|count| count as u64);
    let trials = [audit.trial_acks, audit.tides.len(), audit.told.len()];
    let [orders, tides, told] = trials.map(|count| count as u64);
    [led, at_one, acked, reads, spent, ordered, away, orders, tides, told]
}

fn cap() -> u64 {
    let (rate, window_s) = (RATE as f64, WINDOW_MS as f64 / 1_000.0);
    nickeljunction_quota::Limit::with_default_margin(rate, rate, window_s, 0.1, 20.0).expect("a limit").cap
}

fn storms(of: &str) {
    if let Ok(seed) = std::env::var("STORM") {
        println!("{:?}", storm(seed.parse().expect("a number")));
        return;
    }
    let start = fastrand::u64(..1 << 40);
    let mut seen = Vec::new();
    for seed in start..start + STORMS {
        println!("storm {seed}");
        seen.push(storm(seed));
    }
    let median = |field: usize| {
        let mut values: Vec<u64> = seen.iter().map(|one| one[field]).collect();
        values.sort_unstable();
        (values[values.len() / 2], values[values.len() * 99 / 100], values[values.len() - 1])
    };
    let sum = |field: usize| seen.iter().map(|one| one[field]).sum::<u64>();
    println!("{of}: to a leader, ms (median, 99%, most): {:?}; to all at one: {:?}", median(0), median(1));
    println!("{of}: {} acknowledged, {} reads, {} units", sum(2), sum(3), sum(4));
    println!("{of}: {} orders on members, {} members away at the end", sum(5), sum(6));
    println!("{of}: {} orders on trials, {} changes, learned {} times", sum(7), sum(8), sum(9));
    assert!(sum(7) > STORMS / 2 && sum(9) > sum(8), "the storms slowed nobody");
    assert!(median(0).0 <= 1_500, "leaders take long");
    assert!(
        sum(2) > STORMS && sum(3) > STORMS && sum(5) > STORMS && sum(6) > 0,
        "the storms left nothing to check"
    );
}

#[test]
fn storms_lose_nothing_and_all_is_at_one_after_them() {
    storms("one half");
}

#[test]
fn more_storms_lose_nothing() {
    storms("other half");
}
