//! Operators' orders that change the membership, each over several seeds: no acknowledged value is lost, whatever
//! faults occur during the change.

mod cluster;

use cluster::Cluster;
use nickeljunction_consensus::Tuning;

const SEEDS: u64 = 12;

fn for_each_seed(case: impl Fn(&mut Cluster, usize)) {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut cluster = Cluster::new(3, seed);
        let leader = cluster.wait_for_leader(3_000);
        cluster.commit(1_000);
        case(&mut cluster, leader);
    }
}

fn start_new_machine(cluster: &mut Cluster) -> usize {
    let number = cluster.add_machine();
    cluster.start(number);
    number
}

fn assert_members_have_acknowledged(cluster: &mut Cluster, members: &[usize]) {
    cluster.commit(2_000);
    cluster.run(500);
    members.iter().for_each(|number| cluster.assert_has_acknowledged(*number));
}

#[test]
fn two_machines_join_then_the_leader_and_another_member_are_excluded() {
    for_each_seed(|cluster, first| {
        start_new_machine(cluster);
        cluster.wait_for_members(2_000, &[0, 1, 2, 3]);
        start_new_machine(cluster);
        cluster.wait_for_members(2_000, &[0, 1, 2, 3, 4]);
        // The leader commits its own removal, steps down, and asks in vain to join again.
        let leader = cluster.wait_for_leader(1_000);
        cluster.commit_exclusions(&[(leader, None)]);
        let rest: Vec<usize> = (0..5).filter(|number| *number != leader).collect();
        cluster.wait_for_members(1_500, &rest);
        assert!(!cluster.node(leader).is_leader());
        cluster.run(10_000);
        assert_eq!(cluster.members(), rest, "an excluded machine must not join");
        let next = *rest.iter().find(|number| **number != first).expect("four are left");
        cluster.commit_exclusions(&[(leader, None), (next, None)]);
        let rest: Vec<usize> = rest.into_iter().filter(|number| *number != next).collect();
        cluster.wait_for_members(1_500, &rest);
        assert_members_have_acknowledged(cluster, &rest);
        // Without exclusions both join again.
        cluster.commit_exclusions(&[]);
        cluster.wait_for_members(8_000, &[0, 1, 2, 3, 4]);
        assert_members_have_acknowledged(cluster, &[0, 1, 2, 3, 4]);
    });
}

#[test]
fn an_excluded_member_stays_until_its_replacement_joins_and_three_remain() {
    for_each_seed(|cluster, leader| {
        cluster.commit_exclusions(&[(leader, None)]);
        cluster.run(3_000);
        assert_eq!(cluster.members(), [0, 1, 2], "two members would survive no loss");
        cluster.commit_exclusions(&[]);
        start_new_machine(cluster);
        cluster.wait_for_members(2_000, &[0, 1, 2, 3]);
        let new = cluster.add_machine();
        cluster.commit_exclusions(&[(leader, Some(new))]);
        cluster.run(3_000);
        assert_eq!(cluster.members(), [0, 1, 2, 3], "the member stays until its replacement has joined");
        cluster.start(new);
        let rest: Vec<usize> = (0..5).filter(|number| *number != leader).collect();
        cluster.wait_for_members(3_000, &rest);
        assert_members_have_acknowledged(cluster, &rest);
    });
}

#[test]
fn a_lost_member_is_replaced_while_another_lags_under_constant_writes() {
    for_each_seed(|cluster, leader| {
        let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
        let (lost, lagging) = (others[0], others[1]);
        cluster.wipe(lost);
        cluster.commit(2_000);
        let new = cluster.add_machine();
        cluster.commit_exclusions(&[(lost, Some(new))]);
        cluster.isolate(lagging, true, true);
        cluster.start(new);
        // Without the lagging member nothing is committed; once it is back, writes continue all the time.
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
        assert_members_have_acknowledged(cluster, &rest);
    });
}

#[test]
fn a_replacement_survives_power_loss_at_each_step() {
    // One machine, or all, lose power some time after the order; some unsynced writes may survive.
    for step in 0..40 {
        println!("step {step}");
        let mut cluster = Cluster::new(3, step);
        let leader = cluster.wait_for_leader(3_000);
        cluster.commit(1_000);
        let new = cluster.add_machine();
        cluster.commit_exclusions(&[(leader, Some(new))]);
        cluster.start(new);
        cluster.run(step * 8);
        cluster.wait_for_leader(3_000);
        cluster.commit(2_000);
        let all = step % 2 == 0;
        let victim = cluster.wait_for_leader(3_000);
        let powerless: Vec<usize> = (0..4).filter(|number| all || *number == victim).collect();
        powerless.iter().for_each(|number| cluster.lose_power(*number));
        cluster.run(300);
        powerless.iter().for_each(|number| cluster.start(*number));
        let rest: Vec<usize> = (0..4).filter(|number| *number != leader).collect();
        cluster.wait_for_members(8_000, &rest);
        assert_members_have_acknowledged(&mut cluster, &rest);
    }
}

#[test]
fn a_leader_with_the_only_copy_of_its_own_removal_is_elected_again() {
    for_each_seed(|cluster, leader| {
        let new = start_new_machine(cluster);
        cluster.wait_for_members(2_000, &[0, 1, 2, new]);
        let leader = if cluster.leader() == Some(new) { new } else { leader };
        cluster.propose_exclusions(leader, &[(leader, None)]);
        while cluster.node(leader).members().len() > 3 {
            cluster.run(1);
        }
        // The others lose power before they receive the removal, and one of them its disk; then the leader loses
        // power, with the removal synced.
        let others: Vec<usize> = (0..4).filter(|number| *number != leader).collect();
        others.iter().for_each(|number| cluster.lose_power_keeping(*number, 0));
        cluster.run(20);
        cluster.lose_power_keeping(leader, 0);
        cluster.wipe(others[2]);
        cluster.run(300);
        (0..4).for_each(|number| cluster.start(number));
        // The two others with a disk have shorter logs than the leader, and are no majority of four.
        cluster.wait_for_members(8_000, &others);
        // The wiped machine comes back under a new number.
        cluster.run(3_000);
        assert_members_have_acknowledged(cluster, &others);
    });
}

#[test]
fn a_standby_joins_when_requested_or_when_a_member_is_gone() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::with_tuning(3, seed, Tuning::tolerating(1));
        let leader = cluster.wait_for_leader(3_000);
        cluster.commit(1_000);
        let new = start_new_machine(&mut cluster);
        cluster.run(4_000);
        assert_eq!(cluster.members(), [0, 1, 2], "the fourth machine must stand by");
        // A member that is gone for a long time is replaced by the standby, and is a standby itself once it is back.
        let gone = (0..3).find(|number| *number != leader).expect("two others");
        cluster.kill(gone);
        let rest: Vec<usize> = (0..4).filter(|number| *number != gone).collect();
        cluster.wait_for_members(2_500, &rest);
        cluster.start(gone);
        cluster.run(4_000);
        assert_eq!(cluster.members(), rest, "the fourth machine must stand by");
        // Operators request it as a member.
        let host = cluster.machines[gone].host.clone();
        for machine in &mut cluster.machines {
            machine.node.as_mut().expect("all machines run").set_requested_host(Some(host.clone()));
        }
        cluster.wait_for_members(1_000, &[0, 1, 2, new]);
        // A member that announces its stop is replaced without the removal timeout.
        let departing = cluster.wait_for_leader(1_000);
        cluster.leave(departing);
        cluster.run(30);
        assert!(cluster.node(departing).may_stop());
        cluster.resign(departing);
        cluster.kill(departing);
        let rest: Vec<usize> = (0..4).filter(|number| *number != departing).collect();
        cluster.wait_for_members(200, &rest);
        assert_members_have_acknowledged(&mut cluster, &rest);
    }
}
