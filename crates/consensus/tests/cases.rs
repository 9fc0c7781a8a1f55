//! Single faults that the core has to survive, each over several seeds.

mod cluster;

use cluster::Cluster;
use nickeljunction_consensus::Write;
use nickeljunction_storage::LogStore;

const SEEDS: u64 = 20;

/// Runs a case over several seeds, on a cluster of `members` machines that have a leader.
fn for_each_seed(members: usize, case: impl Fn(&mut Cluster, usize)) {
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

/// Asserts that all running machines have the acknowledged values, once a heartbeat has spread the commit index.
fn assert_all_have_acknowledged(cluster: &mut Cluster) {
    cluster.run(200);
    for number in 0..cluster.machines.len() {
        if cluster.machines[number].node.is_some() {
            cluster.assert_has_acknowledged(number);
        }
    }
}

#[test]
fn a_suspended_leader_returns_no_stale_state() {
    for_each_seed(3, |cluster, old| {
        // Its last proposal and read are in flight when it is suspended.
        cluster.propose(old);
        cluster.read(old);
        cluster.machines[old].suspended = true;
        cluster.run(1_500);
        let new = cluster.wait_for_leader(100);
        assert_ne!(old, new);
        cluster.commit(500);
        cluster.resume(old);
        // The cluster checks all its outputs against the entries that its successor acknowledged.
        cluster.propose(old);
        cluster.read(old);
        cluster.run(1_000);
        assert!(!cluster.node(old).is_leader());
        assert_all_have_acknowledged(cluster);
    });
}

#[test]
fn a_leader_isolated_in_one_direction_is_replaced() {
    for outward in [true, false] {
        for_each_seed(3, |cluster, old| {
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
            assert_eq!(cluster.wait_for_leader(500), new, "the returning member changes no leader");
            assert_eq!(cluster.node(new).term(), term);
            assert_all_have_acknowledged(cluster);
        });
    }
}

#[test]
fn acknowledged_entries_survive_an_immediate_power_loss() {
    for_each_seed(3, |cluster, leader| {
        cluster.commit(500);
        let ms = cluster.rng.u64(0..4);
        cluster.run(ms);
        cluster.lose_power(leader);
        cluster.run(1_500);
        cluster.commit(500);
        cluster.start(leader);
        cluster.run(1_000);
        assert_all_have_acknowledged(cluster);
    });
}

#[test]
fn acknowledged_entries_survive_a_disk_loss_while_a_member_lags() {
    for_each_seed(3, |cluster, leader| {
        let lagging = others(cluster, leader)[0];
        cluster.isolate(lagging, true, true);
        cluster.commit(500);
        cluster.wipe(leader);
        cluster.start(leader);
        cluster.blocked_links.clear();
        cluster.commit(3_000);
        cluster.wait_until_all_are_members(3_000);
        cluster.run(500);
        assert_all_have_acknowledged(cluster);
    });
}

#[test]
fn a_wiped_member_does_not_vote() {
    for_each_seed(3, |cluster, leader| {
        let [lagging, wiped] = others(cluster, leader)[..] else { unreachable!() };
        cluster.isolate(lagging, true, true);
        cluster.commit(500);
        cluster.wipe(wiped);
        cluster.start(wiped);
        cluster.kill(leader);
        cluster.blocked_links.clear();
        cluster.run(5_000);
        assert!(!cluster.node(lagging).is_leader() && !cluster.node(wiped).is_leader());
        // The member that has the acknowledged entry comes back.
        cluster.start(leader);
        cluster.wait_until_all_are_members(4_000);
        cluster.run(500);
        assert_all_have_acknowledged(cluster);
    });
}

#[test]
fn a_restarted_core_commits_without_waiting_for_leases() {
    for_each_seed(3, |cluster, _| {
        (0..3).for_each(|number| cluster.kill(number));
        cluster.run(200);
        // Machines start one after the other; none has to wait for a lease that no leader holds any more.
        for number in 0..3 {
            let ms = cluster.rng.u64(0..300);
            cluster.run(ms);
            cluster.start(number);
        }
        cluster.commit(150);
        cluster.run(500);
        assert_all_have_acknowledged(cluster);
    });
}

#[test]
fn a_restarted_member_honours_the_lease_of_an_unreachable_leader() {
    for_each_seed(3, |cluster, leader| {
        let [follower, restarted] = others(cluster, leader)[..] else { unreachable!() };
        cluster.set_link_blocked(leader, follower, true);
        cluster.set_link_blocked(follower, leader, true);
        cluster.run(700);
        cluster.kill(restarted);
        cluster.isolate(leader, true, true);
        cluster.start(restarted);
        // By its own clock the leader may still rely on the lease.
        while cluster
            .node(leader)
            .quorum_age(cluster.now)
            .is_some_and(|age| age < cluster.tuning.election_min_ms)
        {
            assert!(!cluster.node(follower).is_leader() && !cluster.node(restarted).is_leader());
            cluster.run(1);
        }
        cluster.run(1_500);
        assert_ne!(cluster.wait_for_leader(100), leader);
        cluster.commit(500);
    });
}

#[test]
fn the_core_survives_a_total_power_loss_and_a_disk_loss() {
    for_each_seed(3, |cluster, leader| {
        (0..3).for_each(|number| cluster.lose_power(number));
        cluster.wipe(leader);
        cluster.run(1_000);
        (0..3).for_each(|number| cluster.start(number));
        cluster.commit(3_000);
        cluster.wait_until_all_are_members(3_000);
        cluster.run(500);
        assert_all_have_acknowledged(cluster);
    });
}

#[test]
fn two_machines_join_and_silent_members_are_removed() {
    for_each_seed(3, |cluster, _| {
        for _ in 0..2 {
            let number = cluster.add_machine();
            cluster.start(number);
        }
        cluster.wait_until_all_are_members(2_000);
        // Two members are lost for good, one after the other: the others can still decide, down to three.
        for _ in 0..2 {
            let gone = cluster.wait_for_leader(3_000);
            cluster.kill(gone);
            cluster.run(9_000);
        }
        cluster.wait_until_all_are_members(1_000);
        cluster.commit(500);
        assert_all_have_acknowledged(cluster);
    });
}

#[test]
fn a_single_member_leads_and_adds_others() {
    for_each_seed(1, |cluster, _| {
        for _ in 0..2 {
            let number = cluster.add_machine();
            cluster.start(number);
            cluster.wait_until_all_are_members(2_000);
        }
        cluster.wipe(1);
        cluster.start(1);
        cluster.wait_until_all_are_members(3_000);
        cluster.commit(500);
        assert_all_have_acknowledged(cluster);
    });
}

#[test]
fn all_seeds_are_replaced_by_other_machines() {
    for_each_seed(3, |cluster, _| {
        for old in 0..3 {
            let new = cluster.add_machine();
            cluster.start(new);
            cluster.wait_until_all_are_members(2_000);
            cluster.kill(old);
            cluster.seeds[old].clone_from(&cluster.machines[new].host.clone());
            cluster.run(9_000);
            cluster.wait_until_all_are_members(1_000);
        }
        cluster.commit(500);
        assert_all_have_acknowledged(cluster);
        // A machine that was down all the time finds the others by the new seeds.
        cluster.start(0);
        cluster.wait_until_all_are_members(8_000);
        cluster.run(500);
        assert_all_have_acknowledged(cluster);
    });
}

#[test]
fn a_leader_with_a_full_disk_steps_down_and_recovers() {
    for_each_seed(3, |cluster, full| {
        cluster.machines[full].disk.fail(true);
        cluster.propose(full);
        cluster.run(800);
        assert!(cluster.node(full).disk_failed() && !cluster.node(full).is_leader());
        cluster.commit(1_000);
        // While its disk fails it acknowledges nothing: a leader with this follower alone commits nothing.
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
        assert_all_have_acknowledged(cluster);
    });
}

#[test]
fn a_lagging_member_gets_a_snapshot() {
    for_each_seed(3, |cluster, leader| {
        let lagging = others(cluster, leader)[0];
        cluster.kill(lagging);
        for _ in 0..200 {
            cluster.commit(500);
        }
        assert!(cluster.node(leader).commit() > 200);
        cluster.start(lagging);
        cluster.run(1_500);
        assert_all_have_acknowledged(cluster);
        assert!(cluster.node(leader).replicated_to_all_reachable(cluster.now, cluster.node(leader).commit()));
    });
}

/// All appends in flight are lost within an election time, so that the member doesn't count as silent, and the leader
/// compacts their entries before it notices the loss.
#[test]
fn a_member_gets_a_snapshot_if_lost_appends_were_compacted() {
    for_each_seed(3, |cluster, leader| {
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
        assert_all_have_acknowledged(cluster);
        assert!(cluster.node(leader).replicated_to_all_reachable(cluster.now, cluster.node(leader).commit()));
    });
}

#[test]
fn idle_members_send_few_messages_and_commits_take_one_round_trip() {
    for_each_seed(3, |cluster, leader| {
        cluster.run(500);
        let messages_before = cluster.messages;
        cluster.run(10_000);
        let sent = cluster.messages - messages_before;
        assert!(sent <= 404, "{sent} messages in 10 s");
        assert!(cluster.node(leader).quorum_age(cluster.now).unwrap() <= 110);
        // A message takes 1 or 2 ms each way, a write 1 to 3 ms.
        let value = cluster.propose(leader).unwrap();
        cluster.read(leader);
        cluster.run(7);
        assert!(cluster.acknowledged.contains(&value));
        assert_eq!(cluster.reads_done, 1);
    });
}

#[test]
fn a_leader_that_resigns_is_replaced_at_once() {
    for_each_seed(3, |cluster, old| {
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
fn a_member_whose_disk_lost_entries_gets_them_again() {
    for_each_seed(3, |cluster, leader| {
        let lossy = others(cluster, leader)[0];
        cluster.run(300);
        // After more entries were acknowledged, the disk falls back to its present content.
        let old_content = cluster.machines[lossy].disk.load().unwrap().unwrap();
        for _ in 0..5 {
            cluster.commit(500);
        }
        cluster.run(300);
        cluster.kill(lossy);
        cluster.machines[lossy].disk.wipe();
        let write = Write {
            ticket: 1,
            me: Some(old_content.me),
            hard: Some(old_content.hard),
            snapshot: old_content.snapshot,
            entries: old_content.entries,
            ..Write::default()
        };
        cluster.machines[lossy].disk.save(&write).unwrap();
        cluster.start(lossy);
        cluster.run(1_000);
        let commit = |number: usize| cluster.machines[number].node.as_ref().unwrap().commit();
        assert_eq!(commit(lossy), commit(leader));
        assert_all_have_acknowledged(cluster);
    });
}
