//! The hard cases of the whole cluster, one by one; each over some seeds, which a failure names.

use nickeljunction_simulation::{host, Answer, Plan, Question, World, WINDOW_MS};

const SEEDS: u64 = 12;
const THREE: Plan = Plan { members: 3, seeds: 3, gateways: 3, strict: false };

/// Plays a case for some seeds, each with a cluster in service at version 1 or above.
fn over(plan: Plan, case: impl Fn(&mut World)) {
    for seed in 0..SEEDS {
        let mut world = World::new(plan, seed);
        world.settle(5_000);
        world.commit(100);
        world.converge(5_000);
        case(&mut world);
    }
}

fn others(world: &World, node: usize) -> Vec<usize> {
    (0..world.members.len()).filter(|other| *other != node).collect()
}

/// Lets time pass until another than `old` leads, and acknowledges there.
fn succeed(world: &mut World, old: usize) -> usize {
    let other = |world: &World| world.sure_leader().filter(|leader| *leader != old);
    assert!(world.until(5_000, |world| other(world).is_some()), "seed {}: no successor", world.seed);
    let next = world.sure_leader().unwrap();
    world.commit(100);
    next
}

/// What this member said as a leader from `at` on.
fn said(world: &World, member: usize, at: u64) -> usize {
    world.audit.said.iter().filter(|said| said.member == member && said.at >= at).count()
}

/// What of it rests on its lease alone.
fn said_by_lease(world: &World, member: usize, at: u64) -> usize {
    let by_lease = |what: &str| matches!(what, "units" | "watch");
    let said = world.audit.said.iter().filter(|said| said.member == member && said.at >= at);
    said.filter(|said| by_lease(said.what)).count()
}

#[test]
fn two_operators_on_one_version() {
    over(THREE, |world| {
        let base = world.audit.state.version();
        let (one, other) = (world.put(base, 90), world.put(base, 80));
        let orders = [world.order(0, one.clone()), world.order(2, other), world.order(1, one)];
        world.run(3_000);
        let outcome =
            orders.map(|order| (world.people.orders[order].done(), world.people.orders[order].conflict()));
        assert!(outcome.iter().all(|(done, conflict)| done != conflict), "{outcome:?}");
        assert_eq!(outcome[0], outcome[2], "the very same call gets the same answer, wherever it goes");
        assert_ne!(outcome[0], outcome[1], "one of two");
    });
}

/// A leader that stands still, with calls before and in its sleep, wakes when another one has acknowledged.
#[test]
fn a_frozen_leader_wakes_after_its_successor_acknowledged() {
    over(THREE, |world| {
        let old = world.settle(1_000);
        let base = world.audit.state.version();
        let calls = |world: &mut World| {
            let put = world.put(base, 70);
            [Question::Get, put, Question::Evacuate("z2".into())]
                .map(|question| world.ask_only(old, question))
        };
        // Before, under way, and in its sleep.
        let earlier = calls(world);
        let ms = world.rng.u64(0..6);
        world.run(ms);
        world.freeze(old);
        world.run(5);
        let mut later = calls(world).to_vec();
        let next = succeed(world, old);
        // Long after, or while it still takes itself for the leader.
        let ms = world.rng.u64(0..4_000);
        world.run(ms);
        let woke = world.now;
        world.thaw(old);
        later.extend(calls(world));
        world.run(1_500);
        // What it had committed or confirmed for them before its sleep is true, as the audit has seen.
        let clear_since = |order: &usize| {
            let order = &world.people.orders[*order];
            let clear = matches!(order.answer, Some(Answer::Done | Answer::State(_)));
            clear && order.answered_at >= Some(woke)
        };
        let owed = earlier.iter().filter(|order| clear_since(order)).count();
        if world.leader() == Some(next) {
            assert_eq!(said_by_lease(world, old, woke), 0, "seed {}: by a lease that is over", world.seed);
            assert_eq!(said(world, old, woke), owed, "seed {}: late answers", world.seed);
        }
        for order in later {
            let answer = &world.people.orders[order].answer;
            let late = matches!(answer, Some(Answer::Done | Answer::State(_)));
            assert!(!late || said(world, old, woke) == owed, "seed {}: {answer:?}", world.seed);
        }
        world.converge(5_000);
    });
}

/// It hears and isn't heard, or is heard and hears nothing; operators and gateways reach it all the while.
#[test]
fn a_leader_cut_off_one_way() {
    for outward in [true, false] {
        over(THREE, |world| {
            let old = world.settle(1_000);
            for other in others(world, old) {
                world.cuts.insert(if outward { (old, other) } else { (other, old) });
            }
            for _ in 0..30 {
                let base = world.audit.state.version();
                let put = world.put(base, 60);
                world.ask_only(old, put);
                world.ask_only(old, Question::Get);
                world.run(50);
            }
            let next = succeed(world, old);
            let since = world.now;
            for _ in 0..20 {
                world.ask_only(old, Question::Get);
                world.run(50);
            }
            if world.leader() == Some(next) {
                assert_eq!(said(world, old, since), 0, "seed {}", world.seed);
            }
            world.heal();
            world.converge(5_000);
        });
    }
}

#[test]
fn the_acknowledging_member_loses_power_or_its_disk_within_4_ms() {
    for wiped in [false, true] {
        over(THREE, |world| {
            for _ in 0..4 {
                world.settle(5_000);
                assert!(world.until(15_000, World::complete), "seed {}: not complete", world.seed);
                let acked = world.audit.acked.len();
                let base = world.audit.state.version();
                let (put, leader) = (world.put(base, 90), world.settle(1_000));
                world.order(leader, put);
                world.until(5_000, |world| world.audit.acked.len() > acked);
                let member = world.audit.said.iter().rev().find(|said| said.what == "ack").unwrap().member;
                let ms = world.rng.u64(0..=4);
                world.run(ms);
                let survive = world.rng.usize(0..2);
                match wiped {
                    true => world.wipe(member),
                    false => world.power_off(member, survive),
                }
                succeed(world, member);
                world.start(member);
                world.converge(15_000);
            }
        });
    }
}

#[test]
fn all_of_the_core_killed_at_once() {
    over(Plan { members: 5, seeds: 5, ..THREE }, |world| {
        let acked = world.audit.acked.len();
        let base = world.audit.state.version();
        let put = world.put(base, 90);
        let order = world.order(0, put);
        world.until(5_000, |world| world.audit.acked.len() > acked);
        (0..5).for_each(|node| world.kill(node));
        world.run(3_000);
        (0..5).for_each(|node| world.start(node));
        world.converge(5_000);
        assert!(
            world.until(5_000, |world| world.people.orders[order].done()),
            "its operator learns it at last"
        );
    });
}

#[test]
fn all_machines_without_power_then_one_disk_gone() {
    over(THREE, |world| {
        for gone in 0..3 {
            assert!(world.until(20_000, World::complete), "seed {}: not complete", world.seed);
            let acked = world.audit.acked.len();
            let (base, to) = (world.audit.state.version(), world.settle(5_000));
            let put = world.put(base, 90);
            world.order(to, put);
            world.until(5_000, |world| world.audit.acked.len() > acked);
            (0..3).for_each(|node| world.power_off(node, 0));
            (0..3).for_each(|gateway| world.kill_gateway(gateway));
            world.wipe(gone);
            world.run(2_000);
            world.heal();
            world.converge(10_000);
        }
    });
}

/// An acknowledged version is on two disks; one of those is wiped, the other's machine is down: the third must not lead.
#[test]
fn a_member_wiped_while_another_lags() {
    over(THREE, |world| {
        let leader = world.settle(1_000);
        let [lags, wiped] = [others(world, leader)[0], others(world, leader)[1]];
        world.cut_off(lags, true, true);
        world.commit(90);
        world.wipe(wiped);
        world.start(wiped);
        world.kill(leader);
        world.cuts.clear();
        world.run(5_000);
        assert_eq!(world.leader(), None, "seed {}: one leads without what was acknowledged", world.seed);
        world.start(leader);
        world.converge(10_000);
        assert!(world.until(20_000, World::complete), "seed {}: the wiped one is not taken in", world.seed);
    });
}

#[test]
fn a_disk_torn_full_or_hung_for_seconds() {
    for (what, at_leader) in
        [("full", true), ("full", false), ("hung", true), ("hung", false), ("torn", true), ("torn", false)]
    {
        over(THREE, |world| {
            let leader = world.settle(1_000);
            let member = if at_leader { leader } else { others(world, leader)[0] };
            let base = world.audit.state.version();
            let put = world.put(base, 90);
            let order = world.order(leader, put);
            let ms = world.rng.u64(0..12);
            world.run(ms);
            match what {
                "full" => world.members[member].disk.fail(true),
                "hung" => world.members[member].disk.hang(true),
                _ => {
                    world.power_off(member, 0);
                    world.run(300);
                    world.start(member);
                }
            }
            let begun = world.now;
            assert!(
                world.until(6_000, |world| world.people.orders[order].done()),
                "{what}, seed {}",
                world.seed
            );
            world.commit(80);
            assert!(world.now < begun + 6_000, "{what}, seed {}: {} ms", world.seed, world.now - begun);
            world.run(3_000);
            world.heal();
            world.converge(10_000);
        });
    }
}

#[test]
fn five_members_with_three_seeds() {
    over(Plan { members: 5, seeds: 3, ..THREE }, |world| {
        assert!(world.until(10_000, World::complete), "seed {}: not all five are members", world.seed);
        // Two of the seeds go; the others are three of five.
        (0..2).for_each(|node| world.kill(node));
        world.settle(5_000);
        world.commit(90);
        world.heal();
        world.converge(10_000);
    });
}

#[test]
fn seeds_replaced_while_running() {
    over(Plan { members: 5, seeds: 3, ..THREE }, |world| {
        assert!(world.until(10_000, World::complete), "seed {}: not all five are members", world.seed);
        world.reseed(vec![host(3), host(4)]);
        (0..3).for_each(|gateway| world.kill_gateway(gateway));
        // One of the old seeds loses its disk, and finds the core by the new ones.
        world.wipe(1);
        world.run(500);
        world.heal();
        world.commit(90);
        world.converge(10_000);
        assert!(world.until(20_000, World::complete), "seed {}: the wiped one is not taken in", world.seed);
    });
}

/// It may have told the gateways, or nobody; its acknowledgement is out.
#[test]
fn a_drain_acknowledged_by_a_leader_that_is_cut_off_right_after() {
    for before in [false, true] {
        over(THREE, |world| {
            let ids: Vec<String> = (0..3).map(|number| format!("s{}-{number}", world.seed)).collect();
            let servers: Vec<usize> = ids
                .iter()
                .enumerate()
                .map(|(number, id)| world.server(id, &format!("10.2.0.{number}:80"), "b", "z1"))
                .collect();
            world.run(4_000);
            let old = world.settle(1_000);
            // Cut off before the followers hear of it, or at the acknowledgement.
            if before {
                world.cut_off(old, true, true);
            }
            world.drain(servers[0]);
            let acked = |world: &World| world.people.servers[servers[0]].acked;
            world.until(5_000, |world| acked(world).is_some());
            world.cut_off(old, true, true);
            let at = acked(world).expect("an acknowledgement");
            world.run(10_000);
            let late = world.audit.sent.iter().find(|(when, _, id)| *id == ids[0] && *when > at + 3_000);
            assert!(late.is_none(), "seed {}: acknowledged at {at}, sent {late:?}", world.seed);
            assert!(world.audit.sent.iter().any(|(when, _, id)| *id == ids[1] && *when > at + 3_000));
        });
    }
}

#[test]
fn a_key_revoked_while_a_gateway_is_cut_off() {
    for strict in [true, false] {
        over(Plan { strict, ..THREE }, |world| {
            let far = world.edge(0);
            // For good, or so that its calls still come in.
            let inward = true;
            let outward = world.rng.bool();
            world.cut_off(far, outward, inward);
            let ms = world.rng.u64(0..3_000);
            world.run(ms);
            let version = world.commit(90);
            // The audit sees any key of before that is taken too late.
            world.run(8_000);
            let far = &world.gateways[0];
            assert!(far.version() < version);
            assert_eq!(far.ready(world.now), !strict, "strict {strict}, seed {}", world.seed);
            world.heal();
            world.converge(5_000);
        });
    }
}

/// Nothing that a leader of before tells is taken, whether it knows that it is one or not.
#[test]
fn a_gateway_that_lags_behind_never_goes_back() {
    over(THREE, |world| {
        let old = world.settle(1_000);
        let others = others(world, old);
        for other in &others {
            world.cuts.extend([(old, *other), (*other, old)]);
        }
        // Gateway 0 stays with the old leader for as long as that answers, gateway 1 goes over and comes back.
        let [stays, comes] = [world.edge(0), world.edge(1)];
        others.iter().for_each(|other| world.cuts.extend([(stays, *other), (*other, stays)]));
        succeed(world, old);
        let newest = world.audit.state.version();
        assert!(world.until(3_000, |world| world.gateways[1].version() == newest), "seed {}", world.seed);
        world.freeze(old);
        others.iter().for_each(|other| world.cuts.extend([(comes, *other), (*other, comes)]));
        world.run(1_500);
        world.thaw(old);
        world.run(3_000);
        assert_eq!(world.gateways[1].version(), newest, "seed {}", world.seed);
        assert!(world.gateways[0].version() < newest);
        world.heal();
        world.converge(5_000);
    });
}

#[test]
fn an_evacuation_acknowledged_then_everything_lost() {
    over(THREE, |world| {
        let leader = world.settle(1_000);
        let order = world.order(leader, Question::Evacuate("z2".into()));
        world.until(5_000, |world| !world.audit.evacuated.is_empty());
        (0..3).for_each(|node| world.power_off(node, 0));
        (0..3).for_each(|gateway| world.kill_gateway(gateway));
        world.run(1_000);
        world.heal();
        world.converge(5_000);
        assert!(world.gateways.iter().all(|gateway| gateway.copy.catalog().evacuated_zones.contains("z2")));
        assert!(world.until(5_000, |world| world.people.orders[order].done()));
    });
}

/// Its first life's service has another name; the leader changes before the new life says anything.
fn back_under_its_address(world: &mut World) {
    let (first, second) = (format!("a-{}", world.seed), format!("b-{}", world.seed));
    let before = world.server(&first, "10.2.0.1:80", "b", "z1");
    world.run(3_000);
    assert!(world.gateways.iter().all(|gateway| gateway.copy.catalog().servers.contains_key(first.as_str())));
    world.people.servers[before].up = false;
    let old = world.settle(1_000);
    world.kill(old);
    world.run(400);
    let after = world.server(&second, "10.2.0.1:80", "other", "z1");
    assert!(world.until(5_000, |world| world.people.servers[after].acked.is_some()), "seed {}", world.seed);
    world.run(1_500);
    for gateway in &world.gateways {
        let catalog = gateway.copy.catalog();
        let at: Vec<_> = catalog.servers.values().filter(|line| line.address == "10.2.0.1:80").collect();
        assert_eq!(at.len(), 1, "seed {}: {at:?}", world.seed);
        assert_eq!((at[0].id.as_str(), at[0].backend.as_str()), (second.as_str(), "other"));
    }
}

#[test]
fn a_server_back_under_the_same_address_as_another_service() {
    over(THREE, |world| {
        // The register is whole, and so are the followers' copies.
        world.server("c", "10.2.0.9:80", "b", "z1");
        world.run(13_000);
        back_under_its_address(world);
    });
}

/// The same while the core is young: the successor still gathers.
#[test]
fn a_server_back_under_the_same_address_while_the_successor_gathers() {
    over(THREE, back_under_its_address);
}

fn cap(rate: u64) -> u64 {
    let (burst, window_s) = (rate as f64, WINDOW_MS as f64 / 1_000.0);
    nickeljunction_quota::Limit::with_default_margin(rate as f64, burst, window_s, 0.1, 20.0).unwrap().cap
}

#[test]
fn the_counters_owner_changes_while_a_gateway_sleeps_with_lent_units() {
    over(THREE, |world| {
        world.commit(20);
        world.load = 120;
        world.run(4_000);
        let (old, sleeper) = (world.settle(1_000), world.edge(2));
        world.freeze(sleeper);
        let ms = world.rng.u64(0..2_000);
        world.run(ms);
        match world.rng.u8(..3) {
            0 => world.kill(old),
            1 => world.freeze(old),
            _ => world.cut_off(old, true, true),
        }
        let ms = world.rng.u64(200..7_000);
        world.run(ms);
        world.thaw(sleeper);
        world.run(3_000);
        world.heal();
        world.run(WINDOW_MS * 2);
        // From when the limit was in force everywhere.
        let from = world.audit.acked.last().unwrap().at + 3_000 + WINDOW_MS;
        world.audit.spent.retain(|(at, _)| *at >= from);
        let most = world.audit.most_units(WINDOW_MS);
        assert!(most <= cap(20), "seed {}: {most} of {}", world.seed, cap(20));
        assert!(most * 2 > cap(20), "seed {}: only {most} of {} were had", world.seed, cap(20));
    });
}

#[test]
fn a_limit_lowered_under_load() {
    over(THREE, |world| {
        world.load = 200;
        world.run(WINDOW_MS);
        world.commit(10);
        if world.rng.bool() {
            let old = world.settle(1_000);
            world.kill(old);
        }
        world.run(WINDOW_MS * 3);
        let from = world.audit.acked.last().unwrap().at + 3_000;
        world.audit.spent.retain(|(at, _)| *at >= from);
        let most = world.audit.most_units(WINDOW_MS);
        assert!(most <= cap(10), "seed {}: {most} of {}", world.seed, cap(10));
    });
}

/// A follower that restarts has forgotten whom it answered: it must not elect another one within the old leader's word.
#[test]
fn a_restarted_follower_keeps_the_leaders_word() {
    over(THREE, |world| {
        world.load = 300;
        let leader = world.settle(1_000);
        let [cut, restarts] = [others(world, leader)[0], others(world, leader)[1]];
        world.cuts.extend([(leader, cut), (cut, leader)]);
        world.run(700);
        for _ in 0..40 {
            // The audit sees whoever speaks as a leader beside another one.
            world.kill(restarts);
            world.start(restarts);
            let ms = world.rng.u64(20..120);
            world.run(ms);
        }
        world.heal();
        world.converge(5_000);
    });
}

/// A gateway's new process asks a leader whose majority has just gone: it gets no unit that a later leader wouldn't know of.
#[test]
fn a_new_gateway_gets_no_units_before_it_is_on_the_log() {
    over(THREE, |world| {
        let old = world.settle(1_000);
        let node = world.edge(0);
        world.load = 300;
        for other in others(world, old) {
            world.cuts.extend([(old, other), (other, old), (node, other), (other, node)]);
        }
        world.kill_gateway(0);
        world.start_gateway(0);
        let spent = |world: &World, since: u64| {
            world.audit.spent.iter().filter(|(at, by)| *by == node && *at >= since).count()
        };
        let since = world.now;
        world.run(1_000);
        assert_eq!(
            world.gateways[0].version(),
            world.audit.state.version(),
            "seed {}: it was told",
            world.seed
        );
        assert_eq!(spent(world, since), 0, "seed {}", world.seed);
        world.heal();
        world.converge(5_000);
    });
}
