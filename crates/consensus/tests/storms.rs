//! Storms of faults over whole harbours; the seed of each is printed before it, `STORM=seed` plays one again, and `STORMS=count` that many.

mod cluster;

use cluster::Cluster;

const STORMS: u64 = 600;

/// Does something bad, or makes something good again.
fn trouble(harbour: &mut Cluster) {
    let count = harbour.machines.len();
    let (one, other) = (harbour.rng.usize(..count), harbour.rng.usize(..count));
    let target = if harbour.rng.bool() { harbour.leader().unwrap_or(one) } else { one };
    let up = harbour.machines[target].book.is_some();
    let all_up = harbour.machines.iter().all(|machine| machine.book.is_some());
    match harbour.rng.u8(..18) {
        0 | 1 if up => harbour.kill(target),
        2 | 3 if up => harbour.lose_power(target),
        // One disk at a time, and none before all of the last one's is there again.
        4 if all_up && harbour.complete() => harbour.wipe(target),
        5 if up => harbour.machines[target].frozen = true,
        6 | 7 if harbour.machines[one].frozen => harbour.thaw(one),
        8 => harbour.cut(one, other, true),
        9 => harbour.cut_off(target, harbour.rng.clone().bool(), true),
        10 => harbour.cut_off(target, true, false),
        11 | 12 => harbour.cuts.clear(),
        13 => harbour.machines[target].disk.fail(true),
        14 => harbour.machines[target].disk.hang(true),
        15 => {
            harbour.machines[one].disk.fail(false);
            harbour.machines[one].disk.hang(false);
        }
        16 => harbour.loss = harbour.rng.u8(..30),
        17 => {
            for number in 0..count {
                if harbour.machines[number].book.is_none() {
                    harbour.start(number);
                }
            }
        }
        _ if harbour.machines[one].book.is_none() => harbour.start(one),
        _ => {}
    }
}

fn heal(harbour: &mut Cluster) {
    harbour.cuts.clear();
    (harbour.loss, harbour.double, harbour.late) = (0, 0, 0);
    (harbour.way, harbour.sync) = (2, 3);
    for number in 0..harbour.machines.len() {
        harbour.machines[number].disk.fail(false);
        harbour.machines[number].disk.hang(false);
        if harbour.machines[number].frozen {
            harbour.thaw(number);
        }
        if harbour.machines[number].book.is_none() {
            harbour.start(number);
        }
    }
}

fn storm(seed: u64) -> (usize, usize) {
    let members = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut harbour = Cluster::new(members, seed);
    (harbour.double, harbour.late) = (harbour.rng.u8(..10), harbour.rng.u8(..6));
    // Near and far apart, with quick and slow disks.
    harbour.way = [2, 2, 40, 120][harbour.rng.usize(..4)];
    harbour.sync = [3, 3, 30, 120][harbour.rng.usize(..4)];
    harbour.run(700);
    let (steps, calm) = (harbour.rng.usize(40..120), harbour.rng.u8(2..9));
    for _ in 0..steps {
        if harbour.rng.u8(..calm) == 0 {
            trouble(&mut harbour);
        }
        for _ in 0..harbour.rng.usize(..6) {
            let number = harbour.rng.usize(..members);
            harbour.propose(number);
            harbour.read(number);
            let ms = harbour.rng.u64(..30);
            harbour.run(ms);
        }
        let ms = harbour.rng.u64(..150);
        harbour.run(ms);
    }
    heal(&mut harbour);
    harbour.commit(10_000);
    harbour.complete_within(20_000);
    harbour.run(2_000);
    for number in 0..members {
        harbour.check(number);
    }
    (harbour.acked.len(), harbour.reads_done)
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
