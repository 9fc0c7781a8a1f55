//! Storms of faults over whole clusters; the seed of each is printed before it, `STORM=seed` plays one again, and `STORMS=count` that many.

mod cluster;

use cluster::Cluster;

const STORMS: u64 = 600;

/// Does something bad, or makes something good again.
fn trouble(cluster: &mut Cluster) {
    let count = cluster.machines.len();
    let (one, other) = (cluster.rng.usize(..count), cluster.rng.usize(..count));
    let target = if cluster.rng.bool() { cluster.leader().unwrap_or(one) } else { one };
    let up = cluster.machines[target].book.is_some();
    let all_up = cluster.machines.iter().all(|machine| machine.book.is_some());
    match cluster.rng.u8(..18) {
        0 | 1 if up => cluster.kill(target),
        2 | 3 if up => cluster.lose_power(target),
        // One disk at a time, and none before all of the last one's is there again.
        4 if all_up && cluster.complete() => cluster.wipe(target),
        5 if up => cluster.machines[target].frozen = true,
        6 | 7 if cluster.machines[one].frozen => cluster.thaw(one),
        8 => cluster.cut(one, other, true),
        9 => cluster.cut_off(target, cluster.rng.clone().bool(), true),
        10 => cluster.cut_off(target, true, false),
        11 | 12 => cluster.cuts.clear(),
        13 => cluster.machines[target].disk.fail(true),
        14 => cluster.machines[target].disk.hang(true),
        15 => {
            cluster.machines[one].disk.fail(false);
            cluster.machines[one].disk.hang(false);
        }
        16 => cluster.loss = cluster.rng.u8(..30),
        17 => {
            for number in 0..count {
                if cluster.machines[number].book.is_none() {
                    cluster.start(number);
                }
            }
        }
        _ if cluster.machines[one].book.is_none() => cluster.start(one),
        _ => {}
    }
}

fn heal(cluster: &mut Cluster) {
    cluster.cuts.clear();
    (cluster.loss, cluster.double, cluster.late) = (0, 0, 0);
    (cluster.way, cluster.sync) = (2, 3);
    for number in 0..cluster.machines.len() {
        cluster.machines[number].disk.fail(false);
        cluster.machines[number].disk.hang(false);
        if cluster.machines[number].frozen {
            cluster.thaw(number);
        }
        if cluster.machines[number].book.is_none() {
            cluster.start(number);
        }
    }
}

fn storm(seed: u64) -> (usize, usize) {
    let members = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut cluster = Cluster::new(members, seed);
    (cluster.double, cluster.late) = (cluster.rng.u8(..10), cluster.rng.u8(..6));
    // Near and far apart, with quick and slow disks.
    cluster.way = [2, 2, 40, 120][cluster.rng.usize(..4)];
    cluster.sync = [3, 3, 30, 120][cluster.rng.usize(..4)];
    cluster.run(700);
    let (steps, calm) = (cluster.rng.usize(40..120), cluster.rng.u8(2..9));
    for _ in 0..steps {
        if cluster.rng.u8(..calm) == 0 {
            trouble(&mut cluster);
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
    heal(&mut cluster);
    cluster.commit(10_000);
    cluster.complete_within(20_000);
    cluster.run(2_000);
    for number in 0..members {
        cluster.check(number);
    }
    (cluster.acked.len(), cluster.reads_done)
}

#[test]
fn storms_lose_nothing() {
    if let Ok(seed) = std::env::var("STORM") {
        println!("{:?}", storm(seed.parse().unwrap()));
        return;
    }
    let start = fastrand::u64(..1 << 40);
    let count = std::env::var("STORMS").map_or(STORMS, |count| count.parse().unwrap());
    let (mut acked, mut reads) = (0, 0);
    for seed in start..start + count {
        println!("storm {seed}");
        let (more_acked, more_reads) = storm(seed);
        (acked, reads) = (acked + more_acked, reads + more_reads);
    }
    println!("{acked} acknowledged, {reads} reads");
    assert!(acked > 1_000 && reads > 1_000, "the storms left nothing to check");
}
