//! Random sequences of faults (storms) on whole clusters. The seed of each is printed before it; `STORM=seed` repeats
//! one, and `STORMS=count` sets their number.

mod cluster;

use cluster::Cluster;

const STORMS: u64 = 600;

/// Injects a random fault, or repairs one.
fn inject_or_repair(cluster: &mut Cluster) {
    let count = cluster.machines.len();
    let (one, other) = (cluster.rng.usize(..count), cluster.rng.usize(..count));
    let target = if cluster.rng.bool() { cluster.leader().unwrap_or(one) } else { one };
    let up = cluster.machines[target].node.is_some();
    let all_up = cluster.machines.iter().all(|machine| machine.node.is_some());
    match cluster.rng.u8(..18) {
        0 | 1 if up => cluster.kill(target),
        2 | 3 if up => cluster.lose_power(target),
        // One disk at a time, and none before the last wiped machine is a member again.
        4 if all_up && cluster.all_running_are_members() => cluster.wipe(target),
        5 if up => cluster.machines[target].suspended = true,
        6 | 7 if cluster.machines[one].suspended => cluster.resume(one),
        8 => cluster.set_link_blocked(one, other, true),
        9 => cluster.isolate(target, cluster.rng.clone().bool(), true),
        10 => cluster.isolate(target, true, false),
        11 | 12 => cluster.blocked_links.clear(),
        13 => cluster.machines[target].disk.fail(true),
        14 => cluster.machines[target].disk.hang(true),
        15 => {
            cluster.machines[one].disk.fail(false);
            cluster.machines[one].disk.hang(false);
        }
        16 => cluster.loss_percent = cluster.rng.u8(..30),
        17 => {
            for number in 0..count {
                if cluster.machines[number].node.is_none() {
                    cluster.start(number);
                }
            }
        }
        _ if cluster.machines[one].node.is_none() => cluster.start(one),
        _ => {}
    }
}

fn repair_everything(cluster: &mut Cluster) {
    cluster.blocked_links.clear();
    (cluster.loss_percent, cluster.duplicate_percent, cluster.delay_percent) = (0, 0, 0);
    (cluster.max_latency_ms, cluster.max_sync_ms) = (2, 3);
    for number in 0..cluster.machines.len() {
        cluster.machines[number].disk.fail(false);
        cluster.machines[number].disk.hang(false);
        if cluster.machines[number].suspended {
            cluster.resume(number);
        }
        if cluster.machines[number].node.is_none() {
            cluster.start(number);
        }
    }
}

fn run_storm(seed: u64) -> (usize, usize) {
    let members = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut cluster = Cluster::new(members, seed);
    (cluster.duplicate_percent, cluster.delay_percent) = (cluster.rng.u8(..10), cluster.rng.u8(..6));
    // Short and long latencies, quick and slow disks.
    cluster.max_latency_ms = [2, 2, 40, 120][cluster.rng.usize(..4)];
    cluster.max_sync_ms = [3, 3, 30, 120][cluster.rng.usize(..4)];
    cluster.run(700);
    let (steps, fault_interval) = (cluster.rng.usize(40..120), cluster.rng.u8(2..9));
    for _ in 0..steps {
        if cluster.rng.u8(..fault_interval) == 0 {
            inject_or_repair(&mut cluster);
        }
        for _ in 0..cluster.rng.usize(..6) {
            let number = cluster.rng.usize(..members);
            cluster.propose(number);
            cluster.read(number);
            let ms = cluster.rng.u64(..30);
            cluster.run(ms);
        }
        let ms = cluster.rng.u64(..150);
        cluster.run(ms);
    }
    repair_everything(&mut cluster);
    cluster.commit(10_000);
    cluster.wait_until_all_are_members(20_000);
    cluster.run(2_000);
    for number in 0..members {
        cluster.assert_has_acknowledged(number);
    }
    (cluster.acknowledged.len(), cluster.reads_done)
}

#[test]
fn random_faults_lose_no_acknowledged_value() {
    if let Ok(seed) = std::env::var("STORM") {
        println!("{:?}", run_storm(seed.parse().unwrap()));
        return;
    }
    let start = fastrand::u64(..1 << 40);
    let count = std::env::var("STORMS").map_or(STORMS, |count| count.parse().unwrap());
    let (mut acknowledged, mut reads) = (0, 0);
    for seed in start..start + count {
        println!("storm {seed}");
        let (more_acked, more_reads) = run_storm(seed);
        (acknowledged, reads) = (acknowledged + more_acked, reads + more_reads);
    }
    println!("{acknowledged} acknowledged, {reads} reads");
    assert!(acknowledged > 1_000 && reads > 1_000, "the storms left nothing to check");
}
