//! Membership in virtual time: each kind of fault on its own, and random sequences of faults from many seeds.

mod simulation;

use nickeljunction_fleet::{Cause, Config, DropReason, MemberState, Membership, RosterEntry};
use simulation::{Faults, Simulation, NORMAL_NETWORK, START_MS};

/// Longest time from the end of a fault until the views are equal, for the fleet sizes of this file, ms.
const MAX_CONVERGENCE_MS: f64 = 12_000.0;

fn assert_converges(simulation: &mut Simulation, event: &str) {
    let elapsed_ms = simulation.run_until_converged(MAX_CONVERGENCE_MS);
    assert!(elapsed_ms.is_some(), "no convergence after {event}\n{}", simulation.describe_views());
}

/// All changes of a member to gone, as observer and member. Only for tests in which every gateway keeps running.
fn declared_gone(simulation: &Simulation) -> Vec<(usize, u16)> {
    let gone = simulation.changes.iter().filter(|(_, change)| change.to == MemberState::Gone);
    gone.map(|(observer, change)| (*observer, change.number)).collect()
}

#[test]
fn simultaneous_start_converges_to_equal_shares() {
    let mut simulation = Simulation::converged(24, 1);
    simulation.run_for(16_000.0);
    for index in simulation.running() {
        let share = simulation.membership(index).share(simulation.now_ms);
        assert!((share - 1.0 / 24.0).abs() < 1e-9, "gateway {index} has the share {share}");
        assert!(!simulation.membership(index).is_uncertain());
    }
    assert!(declared_gone(&simulation).is_empty());
}

#[test]
fn one_join_and_simultaneous_joins_converge() {
    let mut simulation = Simulation::new(24, 2);
    (0..16).for_each(|index| simulation.start(index));
    simulation.run_for(5_000.0);
    assert!(simulation.membership(0).is_uncertain(), "eight members are unknown");
    simulation.start(16);
    assert_converges(&mut simulation, "one join");
    (17..24).for_each(|index| simulation.start(index));
    assert_converges(&mut simulation, "simultaneous joins");
    assert!(!simulation.membership(23).is_uncertain() && declared_gone(&simulation).is_empty());
}

#[test]
fn crash_is_detected_and_the_others_divide_its_part_of_the_pool() {
    let mut simulation = Simulation::converged(24, 3);
    simulation.run_for(16_000.0);
    simulation.crash(5);
    assert_converges(&mut simulation, "a crash");
    simulation.run_for(16_000.0);
    let share = simulation.membership(7).share(simulation.now_ms);
    assert!((share - (0.5 / 24.0 + 0.5 / 23.0)).abs() < 1e-9, "{share}");
    assert_eq!(
        simulation.membership(7).live_estimate().max,
        24,
        "the crashed gateway may be alive behind a partition"
    );
    assert_eq!(simulation.membership(7).live_estimate().likely, 23);
}

#[test]
fn seven_in_ten_crash_at_once_and_restart() {
    let mut simulation = Simulation::converged(30, 4);
    (0..21).for_each(|index| simulation.crash(index));
    assert_converges(&mut simulation, "the crash of seven in ten");
    simulation.run_for(16_000.0);
    // Nine of thirty are no quorum: the other 21 may be alive behind a partition and use the pool.
    assert!((simulation.membership(25).share(simulation.now_ms) - 0.5 / 30.0).abs() < 1e-9);
    (0..21).for_each(|index| simulation.start(index));
    assert_converges(&mut simulation, "their restart");
    simulation.run_for(16_000.0);
    assert!((simulation.membership(25).share(simulation.now_ms) - 1.0 / 30.0).abs() < 1e-9);
}

#[test]
fn equal_partitions_merge_again() {
    let mut simulation = Simulation::converged(24, 5);
    simulation.run_for(11_000.0);
    (0..12).for_each(|index| simulation.partition[index] = 1);
    simulation.run_for(20_000.0);
    assert_eq!(simulation.membership(3).live_estimate().likely, 12);
    assert_eq!(simulation.membership(3).live_estimate().max, 24);
    assert!(
        (simulation.membership(3).share(simulation.now_ms) - 0.5 / 24.0).abs() < 1e-9,
        "neither half has a quorum"
    );
    simulation.partition.fill(0);
    assert_converges(&mut simulation, "the end of the partition");
}

#[test]
fn only_the_majority_partition_uses_the_pool() {
    let mut simulation = Simulation::converged(9, 6);
    simulation.run_for(16_000.0);
    (0..3).for_each(|index| simulation.partition[index] = 1);
    simulation.run_for(25_000.0);
    assert!((simulation.membership(0).share(simulation.now_ms) - 0.5 / 9.0).abs() < 1e-9);
    assert!((simulation.membership(8).share(simulation.now_ms) - (0.5 / 9.0 + 0.5 / 6.0)).abs() < 1e-9);
    simulation.partition.fill(0);
    assert_converges(&mut simulation, "the end of the partition");
}

#[test]
fn cut_and_flapping_links_cause_no_false_positives() {
    let mut simulation = Simulation::converged(8, 7);
    // A link that is cut in one direction.
    simulation.cut_links.insert((0, 1));
    simulation.run_for(30_000.0);
    // 2 and 3 do not reach each other, but both reach all others.
    simulation.cut_links.extend([(2, 3), (3, 2)]);
    simulation.run_for(30_000.0);
    // A flapping link.
    for round in 0..30 {
        if round % 2 == 0 {
            simulation.cut_links.extend([(4, 5), (5, 4)]);
        } else {
            simulation.cut_links.remove(&(4, 5));
            simulation.cut_links.remove(&(5, 4));
        }
        simulation.run_for(700.0);
    }
    assert!(declared_gone(&simulation).is_empty(), "{:?}", declared_gone(&simulation));
    simulation.cut_links.clear();
    assert_converges(&mut simulation, "the repair of the links");
}

#[test]
fn isolated_gateway_is_gone_for_the_others_and_counts_only_itself_as_alive() {
    let mut simulation = Simulation::converged(8, 8);
    simulation.partition[0] = 1;
    simulation.run_for(8_000.0);
    let estimate = simulation.membership(0).live_estimate();
    assert_eq!((estimate.min, estimate.max), (1, 8), "{estimate:?}");
    assert_eq!(simulation.state_of(5, 0), MemberState::Gone);
    simulation.partition[0] = 0;
    assert_converges(&mut simulation, "the end of the isolation");
}

#[test]
fn process_after_a_hang_suspects_no_member_and_has_lost_its_grant() {
    let mut simulation = Simulation::converged(12, 9);
    simulation.run_for(16_000.0);
    for ms in [1_000.0, 10_000.0] {
        let previous_changes = simulation.changes.len();
        simulation.hang(4, ms);
        simulation.run_for(ms + 200.0);
        let is_accusation = |(observer, change): &&(usize, nickeljunction_fleet::Change)| {
            *observer == 4 && matches!(change.to, MemberState::Gone | MemberState::Suspect)
        };
        assert_eq!(
            simulation.changes[previous_changes..].iter().filter(is_accusation).count(),
            0,
            "accusations after a hang of {ms} ms"
        );
        assert!(simulation.changes[previous_changes..]
            .iter()
            .any(|(observer, change)| *observer == 4 && matches!(change.cause, Cause::Hung(_))));
        assert_converges(&mut simulation, "a hang");
    }
    // The grant from before the hang has expired by the first look at the clock.
    simulation.hang(4, 20_000.0);
    simulation.run_for(19_999.0);
    assert!((simulation.membership(4).share(simulation.now_ms) - 0.5 / 12.0).abs() < 1e-9);
}

#[test]
fn rolling_restart_with_leave_causes_no_suspicion() {
    let mut simulation = Simulation::converged(10, 10);
    let previous_changes = simulation.changes.len();
    for index in 0..10 {
        simulation.call(index, |membership, now_ms| membership.leave(now_ms));
        simulation.run_for(800.0);
        simulation.crash(index);
        simulation.run_for(400.0);
        simulation.start(index);
        simulation.run_for(1_500.0);
    }
    assert_converges(&mut simulation, "a rolling restart");
    let count_of = |state| {
        simulation.changes[previous_changes..].iter().filter(|(_, change)| change.to == state).count()
    };
    assert_eq!((count_of(MemberState::Suspect), count_of(MemberState::Gone)), (0, 0));
}

#[test]
fn cancelled_leave_is_announced() {
    let mut simulation = Simulation::converged(4, 11);
    simulation.call(2, |membership, now_ms| membership.leave(now_ms));
    simulation.run_for(2_000.0);
    assert_eq!(simulation.state_of(0, 2), MemberState::Leaving);
    simulation.call(2, |membership, now_ms| membership.cancel_leave(now_ms));
    assert_converges(&mut simulation, "the cancelled leave");
}

#[test]
fn restart_with_a_clock_moved_back_is_accepted() {
    let mut simulation = Simulation::converged(6, 12);
    simulation.crash(3);
    simulation.run_for(300.0);
    simulation.clock_skew_ms[3] = -3_600_000.0;
    simulation.start(3);
    assert_converges(&mut simulation, "a restart with a clock one hour behind");
    let reports_clock = |(observer, change): &&(usize, nickeljunction_fleet::Change)| {
        *observer == 3 && change.cause == Cause::ClockWentBackwards
    };
    assert_eq!(simulation.changes.iter().filter(reports_clock).count(), 1);
    simulation.run_for(30_000.0);
    assert!(!simulation.membership(3).has_yielded() && simulation.has_converged());
}

#[test]
fn new_epoch_reaches_all_members() {
    let mut simulation = Simulation::converged(6, 13);
    simulation.call(1, |membership, now_ms| membership.set_epoch(now_ms, 7));
    assert_converges(&mut simulation, "a new epoch");
    assert!((0..6).all(|index| simulation.membership(index).view().member(1).epoch == 7));
}

/// Machines 0 and 5 both have the number 0, with separate sockets at the address of that number.
#[test]
fn of_two_processes_with_one_number_one_yields() {
    for seed in 0..20 {
        let entry = |number: u16| RosterEntry {
            number,
            name: format!("n{number}"),
            address: None,
            zone: String::new(),
        };
        let start = |own_number: u16, seed: u64, now_ms: f64| {
            let config = Config {
                own_number,
                roster: (0..5).map(entry).collect(),
                max_received_per_s: 100.0,
                epoch: 1,
                seed,
            };
            Membership::new(config, now_ms).expect("the roster is valid")
        };
        let mut now_ms = START_MS;
        let mut machines: Vec<Membership> =
            (0..5).map(|number| start(number, seed * 100 + u64::from(number), now_ms)).collect();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut changes = Vec::new();
        for step in 0..6_000 {
            now_ms += 5.0;
            if step == 1_000 {
                machines.push(start(0, seed * 100 + 55, now_ms));
            }
            for index in 0..machines.len() {
                if machines[index].next_tick() <= now_ms {
                    machines[index].tick(now_ms);
                }
                let from = machines[index].own_number();
                while let Some((to, bytes)) = machines[index].next_datagram() {
                    // A datagram to the shared address reaches one of the two processes at random.
                    let receivers: Vec<usize> =
                        (0..machines.len()).filter(|index| machines[*index].own_number() == to).collect();
                    let receiver = receivers[rng.usize(0..receivers.len())];
                    machines[receiver].receive(now_ms, from, &bytes);
                }
                while let Some(change) = machines[index].next_change() {
                    changes.push((index, change));
                }
            }
        }
        let yielded: Vec<usize> =
            (0..machines.len()).filter(|index| machines[*index].has_yielded()).collect();
        assert_eq!(yielded.len(), 1, "seed {seed}: {yielded:?}");
        assert!(yielded[0] == 0 || yielded[0] == 5, "seed {seed}");
        assert_eq!(machines[yielded[0]].share(now_ms), 0.0);
        let number_conflicts = changes.iter().filter(|(observer, change)| {
            (*observer == 0 || *observer == 5)
                && matches!(
                    change.cause,
                    Cause::DuplicateNumber | Cause::ClockWentBackwards | Cause::YieldedNumber
                )
        });
        assert!(number_conflicts.count() <= 6, "seed {seed}: the processes keep yielding in turn");
        assert_eq!(machines[2].view().member(0).state, MemberState::Alive, "seed {seed}");
    }
}

/// Gateways 0 to 3 have a roster of four; gateway 4 has one of five that includes them.
#[test]
fn gateway_with_another_roster_is_excluded() {
    let entry =
        |number: u16| RosterEntry { number, name: format!("n{number}"), address: None, zone: String::new() };
    let mut now_ms = START_MS;
    let mut machines: Vec<Membership> = (0..5u16)
        .map(|own_number| {
            let size = if own_number == 4 { 5 } else { 4 };
            let roster = (0..size).map(entry).collect();
            let config = Config {
                own_number,
                roster,
                max_received_per_s: 100.0,
                epoch: 1,
                seed: u64::from(own_number),
            };
            Membership::new(config, now_ms).expect("the roster is valid")
        })
        .collect();
    for _ in 0..6_000 {
        now_ms += 5.0;
        for index in 0..machines.len() {
            if machines[index].next_tick() <= now_ms {
                machines[index].tick(now_ms);
            }
            while let Some((to, bytes)) = machines[index].next_datagram() {
                machines[usize::from(to)].receive(now_ms, index as u16, &bytes);
            }
        }
    }
    assert_eq!(machines[4].live_estimate().likely, 1);
    assert!(machines[4].share(now_ms) < 0.11, "more than its permanent share: {}", machines[4].share(now_ms));
    assert!(
        machines[0].counts().dropped(DropReason::UnknownSender) > 0,
        "gateway 4 is not in the roster of gateway 0"
    );
    assert_eq!(machines[0].live_estimate().likely, 4);
    assert!((machines[0].share(now_ms) - 0.25).abs() < 1e-9);
}

#[test]
fn garbage_from_member_addresses_does_not_displace_valid_datagrams() {
    let mut simulation = Simulation::converged(8, 14);
    simulation.run_for(3_000.0);
    let mut rng = fastrand::Rng::with_seed(9);
    let before = *simulation.membership(0).counts();
    for _ in 0..4_000 {
        for _ in 0..4 {
            let garbage: Vec<u8> = (0..rng.usize(0..300)).map(|_| rng.u8(..)).collect();
            simulation.inject(rng.u16(0..20), 0, garbage);
        }
        simulation.run_for(1.0);
    }
    let after = *simulation.membership(0).counts();
    assert!(after.dropped(DropReason::Damaged) > before.dropped(DropReason::Damaged) + 4_000, "{after:?}");
    assert!(after.dropped(DropReason::UnknownSender) > 4_000, "{after:?}");
    let rate_limited = DropReason::RateLimited;
    assert_eq!(
        after.dropped(rate_limited),
        before.dropped(rate_limited),
        "garbage was charged to the members' budgets"
    );
    assert_eq!(after.suspected, before.suspected, "the flooded gateway suspects a member");
    assert!(simulation.has_converged(), "{}", simulation.describe_views());
}

#[test]
fn flood_of_repeated_valid_datagrams_is_limited_and_harmless() {
    let mut simulation = Simulation::converged(8, 15);
    simulation.run_for(3_000.0);
    let (from, bytes) = simulation.last_to_member_0.clone().expect("a datagram was sent to member 0");
    for _ in 0..2_000 {
        simulation.inject(from, 0, bytes.clone());
        simulation.run_for(1.0);
    }
    let after = *simulation.membership(0).counts();
    assert!(after.dropped(DropReason::RateLimited) > 1_000, "{after:?}");
    assert_converges(&mut simulation, "a flood");
    assert!(declared_gone(&simulation).is_empty());
}

#[test]
fn send_rate_is_bounded_during_faults() {
    let mut simulation = Simulation::converged(40, 15);
    simulation.faults = Faults { loss: 0.3, duplication: 0.1, corrupt: 0.05, ..NORMAL_NETWORK };
    let (sent_before, start_ms) = (simulation.sent_datagrams, simulation.now_ms);
    for index in 0..20 {
        simulation.crash(index);
        simulation.run_for(500.0);
        simulation.start(index);
    }
    simulation.run_for(10_000.0);
    let rate =
        (simulation.sent_datagrams - sent_before) as f64 / 40.0 / ((simulation.now_ms - start_ms) / 1_000.0);
    assert!(rate < 20.0, "{rate} datagrams per second and gateway");
}

/// Random faults from a seed, then none: the views of all running gateways must converge to the truth, and shares must
/// never add up to more than the whole.
fn run_random_faults(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let size = rng.usize(2..13);
    let mut simulation = Simulation::new(size, seed);
    for index in 0..size {
        simulation.clock_skew_ms[index] = (rng.f64() - 0.5) * 400.0;
        if rng.f64() < 0.8 {
            simulation.start(index);
        }
    }
    simulation.faults = Faults {
        loss: rng.f64() * rng.f64() * 0.4,
        duplication: rng.f64() * 0.1,
        corrupt: rng.f64() * 0.05,
        delay_ms: 0.5,
        jitter_ms: rng.f64() * 80.0,
    };
    for _ in 0..rng.usize(4..16) {
        let (first, second) = (rng.usize(0..size), rng.usize(0..size));
        match rng.u32(0..9) {
            0 => simulation.crash(first),
            1 | 2 => simulation.start(first),
            3 => simulation.hang(first, rng.f64() * 15_000.0),
            4 => simulation.partition.iter_mut().for_each(|partition| *partition = rng.u8(0..2)),
            5 => simulation.partition.fill(0),
            6 => drop(simulation.cut_links.insert((first, second))),
            7 => simulation.cut_links.clear(),
            _ => simulation.call(first, |membership, now_ms| membership.leave(now_ms)),
        }
        simulation.run_for(rng.f64() * 9_000.0);
    }
    simulation.partition.fill(0);
    simulation.cut_links.clear();
    simulation.faults = NORMAL_NETWORK;
    for index in 0..size {
        simulation.call(index, |membership, now_ms| membership.cancel_leave(now_ms));
    }
    simulation.run_for(15_000.0);
    assert_converges(&mut simulation, &format!("the faults of seed {seed} with {size} gateways"));
}

/// The environment variable `STORMS` sets the number of seeds, `STORM_FROM` the first one.
#[test]
fn random_faults_converge_and_shares_never_exceed_the_whole() {
    let seed_count = std::env::var("STORMS").ok().and_then(|text| text.parse().ok()).unwrap_or(150);
    let first_seed = std::env::var("STORM_FROM").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    for seed in first_seed..first_seed + seed_count {
        println!("seed {seed}");
        run_random_faults(seed);
    }
}
