//! Operators' orders on who is a member, each over some seeds: what was acknowledged stays, whatever befalls the core on
//! the way.

mod cluster;

use cluster::Cluster;
use nickeljunction_consensus::Tuning;

const SEEDS: u64 = 12;

fn each(case: impl Fn(&mut Cluster, usize)) {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut cluster = Cluster::new(3, seed);
        let leader = cluster.wait_for_leader(3_000);
        cluster.commit(1_000);
        case(&mut cluster, leader);
    }
}

fn join(cluster: &mut Cluster) -> usize {
    let number = cluster.add();
    cluster.start(number);
    number
}

fn check(cluster: &mut Cluster, members: &[usize]) {
    cluster.commit(2_000);
    cluster.run(500);
    members.iter().for_each(|number| cluster.assert_has_acked(*number));
}

#[test]
fn a_fourth_and_fifth_come_and_the_leader_and_another_go() {
    each(|cluster, first| {
        join(cluster);
        cluster.wait_for_members(2_000, &[0, 1, 2, 3]);
        join(cluster);
        cluster.wait_for_members(2_000, &[0, 1, 2, 3, 4]);
        // The leader leads its own removal to the end, makes way, and asks in vain to be taken in again.
        let leader = cluster.wait_for_leader(1_000);
        cluster.commit_exclusions(&[(leader, None)]);
        let rest: Vec<usize> = (0..5).filter(|number| *number != leader).collect();
        cluster.wait_for_members(1_500, &rest);
        assert!(!cluster.node(leader).is_leader());
        cluster.run(10_000);
        assert_eq!(cluster.members(), rest, "one that was taken away stays away");
        let next = *rest.iter().find(|number| **number != first).expect("four are left");
        cluster.commit_exclusions(&[(leader, None), (next, None)]);
        let rest: Vec<usize> = rest.into_iter().filter(|number| *number != next).collect();
        cluster.wait_for_members(1_500, &rest);
        check(cluster, &rest);
        // Both are welcome again.
        cluster.commit_exclusions(&[]);
        cluster.wait_for_members(8_000, &[0, 1, 2, 3, 4]);
        check(cluster, &[0, 1, 2, 3, 4]);
    });
}

#[test]
fn nobody_goes_before_its_successor_has_come_nor_below_three() {
    each(|cluster, leader| {
        cluster.commit_exclusions(&[(leader, None)]);
        cluster.run(3_000);
        assert_eq!(cluster.members(), [0, 1, 2], "two would bear nothing");
        cluster.commit_exclusions(&[]);
        join(cluster);
        cluster.wait_for_members(2_000, &[0, 1, 2, 3]);
        let new = cluster.add();
        cluster.commit_exclusions(&[(leader, Some(new))]);
        cluster.run(3_000);
        assert_eq!(cluster.members(), [0, 1, 2, 3], "it waits for the other one");
        cluster.start(new);
        let rest: Vec<usize> = (0..5).filter(|number| *number != leader).collect();
        cluster.wait_for_members(3_000, &rest);
        check(cluster, &rest);
    });
}

#[test]
fn a_lost_member_is_replaced_while_another_lags_under_a_storm_of_writes() {
    each(|cluster, leader| {
        let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
        let (lost, lagging) = (others[0], others[1]);
        cluster.wipe(lost);
        cluster.commit(2_000);
        let new = cluster.add();
        cluster.commit_exclusions(&[(lost, Some(new))]);
        cluster.isolate(lagging, true, true);
        cluster.start(new);
        // With the lagging one away, nothing is decided: with it back, writes go on all the time.
        cluster.run(400);
        cluster.blocked_links.clear();
        let mut rest = vec![leader, lagging, new];
        rest.sort_unstable();
        for _ in 0..600 {
            if let Some(leader) = cluster.leader() {
                cluster.propose(leader);
            }
            cluster.run(10);
        }
        cluster.wait_for_members(2_000, &rest);
        check(cluster, &rest);
    });
}

#[test]
fn power_is_lost_at_each_step_of_a_replacement() {
    // One, or all, go dark at some time after the order; some of what was not synced survives.
    for step in 0..40 {
        println!("step {step}");
        let mut cluster = Cluster::new(3, step);
        let leader = cluster.wait_for_leader(3_000);
        cluster.commit(1_000);
        let new = cluster.add();
        cluster.commit_exclusions(&[(leader, Some(new))]);
        cluster.start(new);
        cluster.run(step * 8);
        cluster.wait_for_leader(3_000);
        cluster.commit(2_000);
        let all = step % 2 == 0;
        let struck = cluster.wait_for_leader(3_000);
        let dark: Vec<usize> = (0..4).filter(|number| all || *number == struck).collect();
        dark.iter().for_each(|number| cluster.lose_power(*number));
        cluster.run(300);
        dark.iter().for_each(|number| cluster.start(*number));
        let rest: Vec<usize> = (0..4).filter(|number| *number != leader).collect();
        cluster.wait_for_members(8_000, &rest);
        check(&mut cluster, &rest);
    }
}

#[test]
fn a_leader_that_alone_has_its_own_removal_is_elected_again() {
    each(|cluster, leader| {
        let new = join(cluster);
        cluster.wait_for_members(2_000, &[0, 1, 2, new]);
        let leader = if cluster.leader() == Some(new) { new } else { leader };
        cluster.propose_exclusions(leader, &[(leader, None)]);
        while cluster.node(leader).members().len() > 3 {
            cluster.run(1);
        }
        // The others lose power before they hear of it, and one of them its disk; then the leader does, with it synced.
        let others: Vec<usize> = (0..4).filter(|number| *number != leader).collect();
        others.iter().for_each(|number| cluster.lose_power_keeping(*number, 0));
        cluster.run(20);
        cluster.lose_power_keeping(leader, 0);
        cluster.wipe(others[2]);
        cluster.run(300);
        (0..4).for_each(|number| cluster.start(number));
        // The two others' logs are the shorter ones, and are no majority of four.
        cluster.wait_for_members(8_000, &others);
        // The wiped one comes back under a new number.
        cluster.run(3_000);
        check(cluster, &others);
    });
}

#[test]
fn a_fourth_stands_by_until_it_is_called_or_a_member_is_gone() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::tuned(3, seed, Tuning::tolerating(1));
        let leader = cluster.wait_for_leader(3_000);
        cluster.commit(1_000);
        let new = join(&mut cluster);
        cluster.run(4_000);
        assert_eq!(cluster.members(), [0, 1, 2], "it stands by");
        // One that is gone for good makes room for it, and stands by itself once it is back.
        let gone = (0..3).find(|number| *number != leader).expect("two others");
        cluster.kill(gone);
        let rest: Vec<usize> = (0..4).filter(|number| *number != gone).collect();
        cluster.wait_for_members(2_500, &rest);
        cluster.start(gone);
        cluster.run(4_000);
        assert_eq!(cluster.members(), rest, "it stands by");
        // Operators call it.
        let host = cluster.machines[gone].host.clone();
        for machine in &mut cluster.machines {
            machine.node.as_mut().expect("all run").set_requested_host(Some(host.clone()));
        }
        cluster.wait_for_members(1_000, &[0, 1, 2, new]);
        // One that says that it ends is not waited for.
        let ends = cluster.wait_for_leader(1_000);
        cluster.leave(ends);
        cluster.run(30);
        assert!(cluster.node(ends).may_stop());
        cluster.resign(ends);
        cluster.kill(ends);
        let rest: Vec<usize> = (0..4).filter(|number| *number != ends).collect();
        cluster.wait_for_members(200, &rest);
        check(&mut cluster, &rest);
    }
}
