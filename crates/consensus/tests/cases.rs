//! Named cases of what the core has to bear, each over some seeds.

mod cluster;

use cluster::Cluster;
use nickeljunction_consensus::Write;
use nickeljunction_storage::LogStore;

const SEEDS: u64 = 20;

/// Plays a case over some seeds, of `members` machines that have a leader.
fn each(members: usize, case: impl Fn(&mut Cluster, usize)) {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut cluster = Cluster::new(members, seed);
        let leader = cluster.wait_for_leader(3_000);
        cluster.commit(1_000);
        case(&mut cluster, leader);
    }
}

fn others(cluster: &Cluster, number: usize) -> Vec<usize> {
    (0..cluster.machines.len()).filter(|other| *other != number).collect()
}

/// With the next heartbeat all know what is committed.
fn check_all(cluster: &mut Cluster) {
    cluster.run(200);
    for number in 0..cluster.machines.len() {
        if cluster.machines[number].node.is_some() {
            cluster.assert_has_acked(number);
        }
    }
}

#[test]
fn a_leader_that_was_frozen_tells_nothing_of_the_past() {
    each(3, |cluster, old| {
        // Its last proposal and read are under way when it freezes.
        cluster.propose(old);
        cluster.read(old);
        cluster.machines[old].suspended = true;
        cluster.run(1_500);
        let new = cluster.wait_for_leader(100);
        assert_ne!(old, new);
        cluster.commit(500);
        cluster.resume(old);
        // Whatever it says now is checked against what its successor acknowledged.
        cluster.propose(old);
        cluster.read(old);
        cluster.run(1_000);
        assert!(!cluster.node(old).is_leader());
        check_all(cluster);
    });
}

#[test]
fn a_leader_cut_one_way_is_succeeded() {
    for outward in [true, false] {
        each(3, |cluster, old| {
            cluster.isolate(old, outward, !outward);
            cluster.propose(old);
            cluster.run(2_500);
            let new = cluster.wait_for_leader(100);
            assert_ne!(old, new, "outward {outward}");
            assert!(!cluster.node(old).is_leader());
            cluster.commit(500);
            cluster.blocked_links.clear();
            let term = cluster.node(new).term();
            cluster.run(1_500);
            assert_eq!(cluster.wait_for_leader(500), new, "the return disturbs nobody");
            assert_eq!(cluster.node(new).term(), term);
            check_all(cluster);
        });
    }
}

#[test]
fn what_was_acknowledged_survives_a_loss_of_power_right_after() {
    each(3, |cluster, leader| {
        cluster.commit(500);
        let ms = cluster.rng.u64(0..4);
        cluster.run(ms);
        cluster.lose_power(leader);
        cluster.run(1_500);
        cluster.commit(500);
        cluster.start(leader);
        cluster.run(1_000);
        check_all(cluster);
    });
}

#[test]
fn what_was_acknowledged_survives_its_acknowledgers_disk_while_another_lags() {
    each(3, |cluster, leader| {
        let lagging = others(cluster, leader)[0];
        cluster.isolate(lagging, true, true);
        cluster.commit(500);
        cluster.wipe(leader);
        cluster.start(leader);
        cluster.blocked_links.clear();
        cluster.commit(3_000);
        cluster.wait_until_all_are_members(3_000);
        cluster.run(500);
        check_all(cluster);
    });
}

#[test]
fn a_wiped_member_does_not_help_to_elect() {
    each(3, |cluster, leader| {
        let [lagging, wiped] = others(cluster, leader)[..] else { unreachable!() };
        cluster.isolate(lagging, true, true);
        cluster.commit(500);
        cluster.wipe(wiped);
        cluster.start(wiped);
        cluster.kill(leader);
        cluster.blocked_links.clear();
        cluster.run(5_000);
        assert!(!cluster.node(lagging).is_leader() && !cluster.node(wiped).is_leader());
        // The one that has it comes back.
        cluster.start(leader);
        cluster.wait_until_all_are_members(4_000);
        cluster.run(500);
        check_all(cluster);
    });
}

#[test]
fn all_killed_at_once_are_back_in_a_moment() {
    each(3, |cluster, _| {
        (0..3).for_each(|number| cluster.kill(number));
        cluster.run(200);
        // One after the other, as machines come up; nobody has to wait out what nobody holds any more.
        for number in 0..3 {
            let ms = cluster.rng.u64(0..300);
            cluster.run(ms);
            cluster.start(number);
        }
        cluster.commit(150);
        cluster.run(500);
        check_all(cluster);
    });
}

#[test]
fn one_that_comes_back_keeps_an_earlier_lifes_word_to_a_leader_it_cant_reach() {
    each(3, |cluster, leader| {
        let [cut, restarts] = others(cluster, leader)[..] else { unreachable!() };
        cluster.set_link_blocked(leader, cut, true);
        cluster.set_link_blocked(cut, leader, true);
        cluster.run(700);
        cluster.kill(restarts);
        cluster.isolate(leader, true, true);
        cluster.start(restarts);
        // The leader may still go by that word, by its own clock.
        while cluster
            .node(leader)
            .quorum_age(cluster.now)
            .is_some_and(|age| age < cluster.tuning.election_min_ms)
        {
            assert!(!cluster.node(cut).is_leader() && !cluster.node(restarts).is_leader());
            cluster.run(1);
        }
        cluster.run(1_500);
        assert_ne!(cluster.wait_for_leader(100), leader);
        cluster.commit(500);
    });
}

#[test]
fn all_without_power_and_one_disk_gone() {
    each(3, |cluster, leader| {
        (0..3).for_each(|number| cluster.lose_power(number));
        cluster.wipe(leader);
        cluster.run(1_000);
        (0..3).for_each(|number| cluster.start(number));
        cluster.commit(3_000);
        cluster.wait_until_all_are_members(3_000);
        cluster.run(500);
        check_all(cluster);
    });
}

#[test]
fn two_more_join_three_seeds_and_silent_ones_go() {
    each(3, |cluster, _| {
        for _ in 0..2 {
            let number = cluster.add();
            cluster.start(number);
        }
        cluster.wait_until_all_are_members(2_000);
        // Two go for good, one after the other: the others remain able to decide, down to three.
        for _ in 0..2 {
            let gone = cluster.wait_for_leader(3_000);
            cluster.kill(gone);
            cluster.run(9_000);
        }
        cluster.wait_until_all_are_members(1_000);
        cluster.commit(500);
        check_all(cluster);
    });
}

#[test]
fn one_alone_leads_and_takes_others_in() {
    each(1, |cluster, _| {
        for _ in 0..2 {
            let number = cluster.add();
            cluster.start(number);
            cluster.wait_until_all_are_members(2_000);
        }
        cluster.wipe(1);
        cluster.start(1);
        cluster.wait_until_all_are_members(3_000);
        cluster.commit(500);
        check_all(cluster);
    });
}

#[test]
fn seeds_are_replaced_by_other_machines() {
    each(3, |cluster, _| {
        for old in 0..3 {
            let new = cluster.add();
            cluster.start(new);
            cluster.wait_until_all_are_members(2_000);
            cluster.kill(old);
            cluster.seeds[old].clone_from(&cluster.machines[new].host.clone());
            cluster.run(9_000);
            cluster.wait_until_all_are_members(1_000);
        }
        cluster.commit(500);
        check_all(cluster);
        // One that was away all the time finds the others by the new seeds.
        cluster.start(0);
        cluster.wait_until_all_are_members(8_000);
        cluster.run(500);
        check_all(cluster);
    });
}

#[test]
fn a_leader_whose_disk_is_full_makes_way_and_comes_back() {
    each(3, |cluster, full| {
        cluster.machines[full].disk.fail(true);
        cluster.propose(full);
        cluster.run(800);
        assert!(cluster.node(full).disk_failed() && !cluster.node(full).is_leader());
        cluster.commit(1_000);
        // While it can't keep anything it vouches for nothing: with it alone nothing is committed.
        let new = cluster.wait_for_leader(500);
        let third = others(cluster, full).into_iter().find(|number| *number != new).unwrap();
        cluster.kill(third);
        let value = cluster.propose(new);
        cluster.run(500);
        assert!(value.is_none_or(|value| !cluster.acknowledged.contains(&value)));
        cluster.machines[full].disk.fail(false);
        cluster.commit(3_000);
        assert!(!cluster.node(full).disk_failed());
        cluster.start(third);
        cluster.run(1_500);
        check_all(cluster);
    });
}

#[test]
fn a_laggard_gets_a_snapshot() {
    each(3, |cluster, leader| {
        let lagging = others(cluster, leader)[0];
        cluster.kill(lagging);
        for _ in 0..200 {
            cluster.commit(500);
        }
        assert!(cluster.node(leader).commit() > 200);
        cluster.start(lagging);
        cluster.run(1_500);
        check_all(cluster);
        assert!(cluster.node(leader).replicated_to_all_reachable(cluster.now, cluster.node(leader).commit()));
    });
}

/// A whole window of appends is lost within an election time, so that nobody takes the member for silent, and the leader
/// forgets the entries in them before it learns of it.
#[test]
fn a_member_is_taught_by_a_snapshot_where_a_lost_window_is_forgotten() {
    each(3, |cluster, leader| {
        cluster.commit(500);
        cluster.run(200);
        let lagging = others(cluster, leader)[0];
        cluster.set_link_blocked(leader, lagging, true);
        for _ in 0..120 {
            cluster.propose_long(leader, 8 * 1024);
            cluster.run(2);
        }
        cluster.set_link_blocked(leader, lagging, false);
        cluster.run(5_000);
        check_all(cluster);
        assert!(cluster.node(leader).replicated_to_all_reachable(cluster.now, cluster.node(leader).commit()));
    });
}

#[test]
fn quiet_members_say_little_and_commits_take_one_round_trip() {
    each(3, |cluster, leader| {
        cluster.run(500);
        let before = cluster.messages;
        cluster.run(10_000);
        let told = cluster.messages - before;
        assert!(told <= 404, "{told} messages in 10 s");
        assert!(cluster.node(leader).quorum_age(cluster.now).unwrap() <= 110);
        // There 1 or 2 ms, a write of 1 to 3 ms, and back.
        let value = cluster.propose(leader).unwrap();
        cluster.read(leader);
        cluster.run(7);
        assert!(cluster.acknowledged.contains(&value));
        assert_eq!(cluster.reads_done, 1);
    });
}

#[test]
fn a_leader_that_resigns_is_succeeded_at_once() {
    each(3, |cluster, old| {
        let now = cluster.now;
        cluster.machines[old].node.as_mut().unwrap().resign(now);
        cluster.propose(old);
        cluster.run(5);
        cluster.kill(old);
        cluster.run(300);
        assert_ne!(cluster.wait_for_leader(50), old);
        cluster.commit(100);
    });
}

#[test]
fn a_member_whose_disk_forgot_is_taught_again() {
    each(3, |cluster, leader| {
        let forgetful = others(cluster, leader)[0];
        cluster.run(300);
        // Its disk as it is now is what is left of it after more was acknowledged.
        let early = cluster.machines[forgetful].disk.load().unwrap().unwrap();
        for _ in 0..5 {
            cluster.commit(500);
        }
        cluster.run(300);
        cluster.kill(forgetful);
        cluster.machines[forgetful].disk.wipe();
        let write = Write {
            ticket: 1,
            me: Some(early.me),
            hard: Some(early.hard),
            snapshot: early.snapshot,
            entries: early.entries,
            ..Write::default()
        };
        cluster.machines[forgetful].disk.save(&write).unwrap();
        cluster.start(forgetful);
        cluster.run(1_000);
        let commit = |number: usize| cluster.machines[number].node.as_ref().unwrap().commit();
        assert_eq!(commit(forgetful), commit(leader));
        check_all(cluster);
    });
}
