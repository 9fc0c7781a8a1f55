//! Membership in virtual time: every fault by its name, and storms of many seeds.

mod simulation;

use nickeljunction_fleet::{Cause, Config, DropReason, MemberState, Membership, RosterEntry};
use simulation::{Faults, Simulation, CALM, START_MS};

/// Longest time until views are equal after a fault ended, ms, in fleets of this file's sizes.
const SETTLES_MS: f64 = 12_000.0;

fn settles(world: &mut Simulation, what: &str) {
    let took = world.settle(SETTLES_MS);
    assert!(took.is_some(), "{what}: not settled\n{}", world.tell());
}

/// Members that somebody held to be gone though they ran all along.
fn wrongly_gone(world: &Simulation) -> Vec<(usize, u16)> {
    let gone = world.changes.iter().filter(|(_, change)| change.to == MemberState::Gone);
    gone.map(|(seen_by, change)| (*seen_by, change.number)).collect()
}

#[test]
fn a_start_of_all_at_once_settles_and_gives_everybody_an_even_part() {
    let mut world = Simulation::settled(24, 1);
    world.run(16_000.0);
    for at in world.living() {
        let part = world.fleet(at).share(world.now);
        assert!((part - 1.0 / 24.0).abs() < 1e-9, "{at} has {part}");
        assert!(!world.fleet(at).is_uncertain());
    }
    assert!(wrongly_gone(&world).is_empty());
}

#[test]
fn one_joins_and_a_third_joins_at_once() {
    let mut world = Simulation::new(24, 2);
    (0..16).for_each(|at| world.start(at));
    world.run(5_000.0);
    assert!(world.fleet(0).is_uncertain(), "eight were never heard of");
    world.start(16);
    settles(&mut world, "one joined");
    (17..24).for_each(|at| world.start(at));
    settles(&mut world, "a third joined");
    assert!(!world.fleet(23).is_uncertain() && wrongly_gone(&world).is_empty());
}

#[test]
fn a_crash_is_found_out_and_its_part_of_the_pool_goes_to_the_others() {
    let mut world = Simulation::settled(24, 3);
    world.run(16_000.0);
    world.kill(5);
    settles(&mut world, "a crash");
    world.run(16_000.0);
    let part = world.fleet(7).share(world.now);
    assert!((part - (0.5 / 24.0 + 0.5 / 23.0)).abs() < 1e-9, "{part}");
    assert_eq!(world.fleet(7).live_estimate().max, 24, "it may be beyond a cut");
    assert_eq!(world.fleet(7).live_estimate().likely, 23);
}

#[test]
fn seven_in_ten_crash_at_once() {
    let mut world = Simulation::settled(30, 4);
    (0..21).for_each(|at| world.kill(at));
    settles(&mut world, "seven in ten");
    world.run(16_000.0);
    // Nine of thirty are no quorum: whoever is gone may be many, beyond a cut, and use the pool.
    assert!((world.fleet(25).share(world.now) - 0.5 / 30.0).abs() < 1e-9);
    (0..21).for_each(|at| world.start(at));
    settles(&mut world, "they came back");
    world.run(16_000.0);
    assert!((world.fleet(25).share(world.now) - 1.0 / 30.0).abs() < 1e-9);
}

#[test]
fn two_halves_part_and_find_one_another_again() {
    let mut world = Simulation::settled(24, 5);
    world.run(11_000.0);
    (0..12).for_each(|at| world.side[at] = 1);
    world.run(20_000.0);
    assert_eq!(world.fleet(3).live_estimate().likely, 12);
    assert_eq!(world.fleet(3).live_estimate().max, 24);
    assert!((world.fleet(3).share(world.now) - 0.5 / 24.0).abs() < 1e-9, "no half has a quorum");
    world.side.fill(0);
    settles(&mut world, "a heal of halves");
}

#[test]
fn the_larger_side_of_a_cut_uses_the_pool_and_the_smaller_its_even_part_alone() {
    let mut world = Simulation::settled(9, 6);
    world.run(16_000.0);
    (0..3).for_each(|at| world.side[at] = 1);
    world.run(25_000.0);
    assert!((world.fleet(0).share(world.now) - 0.5 / 9.0).abs() < 1e-9);
    assert!((world.fleet(8).share(world.now) - (0.5 / 9.0 + 0.5 / 6.0)).abs() < 1e-9);
    world.side.fill(0);
    settles(&mut world, "a heal");
}

#[test]
fn a_link_cut_one_way_a_bridge_and_a_flapping_link_cost_nobody_its_life() {
    let mut world = Simulation::settled(8, 7);
    // One way.
    world.cut.insert((0, 1));
    world.run(30_000.0);
    // A bridge: 2 and 3 don't reach each other, both reach all others.
    world.cut.extend([(2, 3), (3, 2)]);
    world.run(30_000.0);
    // A link that flaps.
    for round in 0..30 {
        if round % 2 == 0 {
            world.cut.extend([(4, 5), (5, 4)]);
        } else {
            world.cut.remove(&(4, 5));
            world.cut.remove(&(5, 4));
        }
        world.run(700.0);
    }
    assert!(wrongly_gone(&world).is_empty(), "{:?}", wrongly_gone(&world));
    world.cut.clear();
    settles(&mut world, "links came back");
}

#[test]
fn one_that_hears_nobody_is_gone_to_the_others_and_doubts_itself() {
    let mut world = Simulation::settled(8, 8);
    world.side[0] = 1;
    world.run(8_000.0);
    let doubt = world.fleet(0).live_estimate();
    assert_eq!((doubt.min, doubt.max), (1, 8), "{doubt:?}");
    assert_eq!(world.state(5, 0), MemberState::Gone);
    world.side[0] = 0;
    settles(&mut world, "it is back");
}

#[test]
fn a_process_that_hung_declares_nobody_gone_and_has_nothing_of_what_it_had() {
    let mut world = Simulation::settled(12, 9);
    world.run(16_000.0);
    for ms in [1_000.0, 10_000.0] {
        let before = world.changes.len();
        world.hang(4, ms);
        world.run(ms + 200.0);
        let accused = |(seen_by, change): &&(usize, nickeljunction_fleet::Change)| {
            *seen_by == 4 && matches!(change.to, MemberState::Gone | MemberState::Suspect)
        };
        assert_eq!(world.changes[before..].iter().filter(accused).count(), 0, "after {ms} ms");
        assert!(world.changes[before..]
            .iter()
            .any(|(at, change)| *at == 4 && matches!(change.cause, Cause::Hung(_))));
        settles(&mut world, "a hang");
    }
    // The grant that it held before it hung is over the moment it looks at the clock.
    world.hang(4, 20_000.0);
    world.run(19_999.0);
    assert!((world.fleet(4).share(world.now) - 0.5 / 12.0).abs() < 1e-9);
}

#[test]
fn a_rolling_restart_with_words_of_parting_causes_no_suspicion() {
    let mut world = Simulation::settled(10, 10);
    let before = world.changes.len();
    for at in 0..10 {
        world.with(at, |fleet, now| fleet.leave(now));
        world.run(800.0);
        world.kill(at);
        world.run(400.0);
        world.start(at);
        world.run(1_500.0);
    }
    settles(&mut world, "a rolling restart");
    let bad = |state| world.changes[before..].iter().filter(|(_, change)| change.to == state).count();
    assert_eq!((bad(MemberState::Suspect), bad(MemberState::Gone)), (0, 0));
}

#[test]
fn a_drain_that_ends_is_taken_back() {
    let mut world = Simulation::settled(4, 11);
    world.with(2, |fleet, now| fleet.leave(now));
    world.run(2_000.0);
    assert_eq!(world.state(0, 2), MemberState::Leaving);
    world.with(2, |fleet, now| fleet.cancel_leave(now));
    settles(&mut world, "it stays");
}

#[test]
fn a_restart_with_a_clock_that_jumped_back_is_believed() {
    let mut world = Simulation::settled(6, 12);
    world.kill(3);
    world.run(300.0);
    world.skew[3] = -3_600_000.0;
    world.start(3);
    settles(&mut world, "an hour back");
    let told = |(at, change): &&(usize, nickeljunction_fleet::Change)| {
        *at == 3 && change.cause == Cause::ClockWentBackwards
    };
    assert_eq!(world.changes.iter().filter(told).count(), 1);
    world.run(30_000.0);
    assert!(!world.fleet(3).has_yielded() && world.agrees());
}

#[test]
fn another_epoch_is_told_to_all() {
    let mut world = Simulation::settled(6, 13);
    world.with(1, |fleet, now| fleet.set_epoch(now, 7));
    settles(&mut world, "an epoch");
    assert!((0..6).all(|at| world.fleet(at).view().member(1).epoch == 7));
}

/// Two processes of one number, each behind a socket of its own that bears the number's address: 0 and 5 are both 0.
#[test]
fn two_processes_of_one_number_are_found_out_and_one_yields() {
    for seed in 0..20 {
        let place = |number: u16| RosterEntry {
            number,
            name: format!("n{number}"),
            address: None,
            zone: String::new(),
        };
        let start = |me: u16, seed: u64, now: f64| {
            let config = Config {
                own_number: me,
                roster: (0..5).map(place).collect(),
                max_received_per_s: 100.0,
                epoch: 1,
                seed,
            };
            Membership::new(config, now).expect("a roster")
        };
        let mut now = START_MS;
        let mut machines: Vec<Membership> =
            (0..5).map(|me| start(me, seed * 100 + u64::from(me), now)).collect();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut notes = Vec::new();
        for step in 0..6_000 {
            now += 5.0;
            if step == 1_000 {
                machines.push(start(0, seed * 100 + 55, now));
            }
            for at in 0..machines.len() {
                if machines[at].next_tick() <= now {
                    machines[at].tick(now);
                }
                let from = machines[at].own_number();
                while let Some((to, bytes)) = machines[at].next_datagram() {
                    // Both processes of number 0 share its address: each datagram to it reaches either of them.
                    let holders: Vec<usize> =
                        (0..machines.len()).filter(|it| machines[*it].own_number() == to).collect();
                    let to = holders[rng.usize(0..holders.len())];
                    machines[to].receive(now, from, &bytes);
                }
                while let Some(change) = machines[at].next_change() {
                    notes.push((at, change));
                }
            }
        }
        let yielded: Vec<usize> = (0..machines.len()).filter(|at| machines[*at].has_yielded()).collect();
        assert_eq!(yielded.len(), 1, "seed {seed}: {yielded:?}");
        assert!(yielded[0] == 0 || yielded[0] == 5, "seed {seed}");
        assert_eq!(machines[yielded[0]].share(now), 0.0);
        let bids = notes.iter().filter(|(at, change)| {
            (*at == 0 || *at == 5)
                && matches!(
                    change.cause,
                    Cause::DuplicateNumber | Cause::ClockWentBackwards | Cause::YieldedNumber
                )
        });
        assert!(bids.count() <= 6, "seed {seed}: they flap");
        assert_eq!(machines[2].view().member(0).state, MemberState::Alive, "seed {seed}");
    }
}

/// Gateways 0 to 3 go by a roster of four, 4 by one of five that names them, too.
#[test]
fn a_gateway_of_another_roster_is_found_out_and_takes_no_part() {
    let place =
        |number: u16| RosterEntry { number, name: format!("n{number}"), address: None, zone: String::new() };
    let mut now = START_MS;
    let mut machines: Vec<Membership> = (0..5u16)
        .map(|me| {
            let size = if me == 4 { 5 } else { 4 };
            let roster = (0..size).map(place).collect();
            let config =
                Config { own_number: me, roster, max_received_per_s: 100.0, epoch: 1, seed: u64::from(me) };
            Membership::new(config, now).expect("a roster")
        })
        .collect();
    for _ in 0..6_000 {
        now += 5.0;
        for at in 0..machines.len() {
            if machines[at].next_tick() <= now {
                machines[at].tick(now);
            }
            while let Some((to, bytes)) = machines[at].next_datagram() {
                machines[usize::from(to)].receive(now, at as u16, &bytes);
            }
        }
    }
    assert_eq!(machines[4].live_estimate().likely, 1);
    assert!(machines[4].share(now) < 0.11, "it uses the even half alone: {}", machines[4].share(now));
    assert!(
        machines[0].counts().dropped(DropReason::UnknownSender) > 0,
        "who is not in the roster is a stranger"
    );
    assert_eq!(machines[0].live_estimate().likely, 4);
    assert!((machines[0].share(now) - 0.25).abs() < 1e-9);
}

#[test]
fn noise_in_members_names_is_counted_and_crowds_out_nobodys_true_mail() {
    let mut world = Simulation::settled(8, 14);
    world.run(3_000.0);
    let mut rng = fastrand::Rng::with_seed(9);
    let before = *world.fleet(0).counts();
    for _ in 0..4_000 {
        for _ in 0..4 {
            let noise: Vec<u8> = (0..rng.usize(0..300)).map(|_| rng.u8(..)).collect();
            world.inject(rng.u16(0..20), 0, noise);
        }
        world.run(1.0);
    }
    let after = *world.fleet(0).counts();
    assert!(after.dropped(DropReason::Damaged) > before.dropped(DropReason::Damaged) + 4_000, "{after:?}");
    assert!(after.dropped(DropReason::UnknownSender) > 4_000, "{after:?}");
    let too_many = DropReason::RateLimited;
    assert_eq!(after.dropped(too_many), before.dropped(too_many), "noise was charged to members");
    assert_eq!(after.suspected, before.suspected, "the flooded member suspects somebody");
    assert!(world.agrees(), "{}", world.tell());
}

#[test]
fn a_flood_of_one_members_true_datagrams_is_bounded_and_changes_nothing() {
    let mut world = Simulation::settled(8, 15);
    world.run(3_000.0);
    let (from, bytes) = world.last.clone().expect("mail to member 0");
    for _ in 0..2_000 {
        world.inject(from, 0, bytes.clone());
        world.run(1.0);
    }
    let after = *world.fleet(0).counts();
    assert!(after.dropped(DropReason::RateLimited) > 1_000, "{after:?}");
    settles(&mut world, "a flood");
    assert!(wrongly_gone(&world).is_empty());
}

#[test]
fn what_a_gateway_sends_is_bounded_in_any_storm() {
    let mut world = Simulation::settled(40, 15);
    world.faults = Faults { loss: 0.3, double: 0.1, corrupt: 0.05, ..CALM };
    let (sent, began) = (world.sent, world.now);
    for at in 0..20 {
        world.kill(at);
        world.run(500.0);
        world.start(at);
    }
    world.run(10_000.0);
    let rate = (world.sent - sent) as f64 / 40.0 / ((world.now - began) / 1_000.0);
    assert!(rate < 20.0, "{rate} datagrams a second for each gateway");
}

/// One storm: faults drawn from a seed, then quiet; all that live must hold the same, true view in the end, and at no
/// moment may parts add up to more than the whole.
fn storm(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let size = rng.usize(2..13);
    let mut world = Simulation::new(size, seed);
    for at in 0..size {
        world.skew[at] = (rng.f64() - 0.5) * 400.0;
        if rng.f64() < 0.8 {
            world.start(at);
        }
    }
    world.faults = Faults {
        loss: rng.f64() * rng.f64() * 0.4,
        double: rng.f64() * 0.1,
        corrupt: rng.f64() * 0.05,
        delay_ms: 0.5,
        spread_ms: rng.f64() * 80.0,
    };
    for _ in 0..rng.usize(4..16) {
        let (one, other) = (rng.usize(0..size), rng.usize(0..size));
        match rng.u32(0..9) {
            0 => world.kill(one),
            1 | 2 => world.start(one),
            3 => world.hang(one, rng.f64() * 15_000.0),
            4 => world.side.iter_mut().for_each(|side| *side = rng.u8(0..2)),
            5 => world.side.fill(0),
            6 => drop(world.cut.insert((one, other))),
            7 => world.cut.clear(),
            _ => world.with(one, |fleet, now| fleet.leave(now)),
        }
        world.run(rng.f64() * 9_000.0);
    }
    world.side.fill(0);
    world.cut.clear();
    world.faults = CALM;
    for at in 0..size {
        world.with(at, |fleet, now| fleet.cancel_leave(now));
    }
    world.run(15_000.0);
    settles(&mut world, &format!("seed {seed}, {size} gateways"));
}

#[test]
fn storms_of_many_seeds_settle_and_keep_the_rule_of_parts() {
    let seeds = std::env::var("STORMS").ok().and_then(|text| text.parse().ok()).unwrap_or(150);
    let from = std::env::var("STORM_FROM").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    for seed in from..from + seeds {
        println!("storm {seed}");
        storm(seed);
    }
}
