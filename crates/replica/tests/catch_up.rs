//! A member is away for some changes and comes back while more come: by log or by snapshot, over good and thin lines, with
//! a slow and with a full disk. In each world whoever begins to lead has all that was acknowledged, no member's state goes
//! back, and in the end all have the same ([`cluster::Cluster`] checks it).

mod cluster;

use cluster::{Caught, Cluster};

/// Longest time that any of these may take, ms.
const WITHIN_MS: u64 = 30_000;
/// A large document, bytes, and a thin line, bytes a ms (1 Mbit/s).
const LARGE: usize = 120_000;
const THIN: usize = 120;

/// A follower that ends and is away for some changes.
fn away(world: &mut Cluster, changes: usize) -> usize {
    let node = world.followers()[0];
    world.kill(node);
    world.changes(changes);
    node
}

fn back_after(world: &mut Cluster, changes: usize) -> Caught {
    let node = away(world, changes);
    let caught = world.come_back(node, 100, WITHIN_MS);
    caught.unwrap_or_else(|| panic!("it never caught up after {changes} changes"))
}

#[test]
fn a_member_comes_back_after_any_number_of_changes() {
    for (changes, most_bytes) in [(1, 4_000), (10, 10_000), (100, 60_000), (1_000, 60_000)] {
        for seed in 0..2 {
            let mut world = Cluster::new(seed, 20);
            let caught = back_after(&mut world, changes);
            assert!(caught.ms <= 1_000 && caught.bytes <= most_bytes, "{changes}, seed {seed}: {caught:?}");
            world.converge();
        }
    }
}

/// A snapshot takes seconds, entries some tenths: calls wait in proportion, and what is under way is not begun again.
#[test]
fn a_thin_line_brings_a_large_state_though_changes_go_on() {
    for seed in 0..2 {
        let mut world = Cluster::large(seed, 20, LARGE);
        let node = world.followers()[0];
        world.thin = Some((node, THIN));
        let caught = back_after(&mut world, 1_000);
        assert!(caught.by_snapshot, "{caught:?}");
        // Half of the line is the snapshots'.
        let least = (LARGE / (THIN / 2)) as u64;
        assert!((least..2 * least + 2_000).contains(&caught.ms), "seed {seed}: {caught:?}");
        world.converge();
        // What was sent again while it was under way doesn't follow it.
        let bytes = world.sent(node);
        world.run(5_000);
        assert!(caught.bytes < 2 * LARGE && world.sent(node) - bytes < LARGE / 4, "seed {seed}: {caught:?}");
    }
}

/// By the log alone, more entries than go through in the time of one call.
#[test]
fn a_thin_line_brings_many_entries() {
    let mut world = Cluster::large(5, 20, 2 * LARGE);
    world.thin = Some((world.followers()[0], THIN));
    let caught = back_after(&mut world, 120);
    assert!(!caught.by_snapshot && caught.ms < 10_000, "{caught:?}");
    world.converge();
}

/// The third is away, so that the leader leads by the word of the one that it teaches: entries that are on their way for
/// longer than an election takes would cost it the lead, again and again.
#[test]
fn a_leader_keeps_its_lead_while_it_teaches_its_only_other_member_over_a_thin_line() {
    // By 220 kB of entries, and by a snapshot, which heartbeats pass.
    for (seed, changes, more) in [(0, 110, 2_000), (1, 110, 2_000), (2, 700, 0), (3, 700, 0)] {
        let mut world = Cluster::large(seed, 20, if more > 0 { 2 * LARGE } else { LARGE });
        world.more = more;
        let node = away(&mut world, changes);
        world.thin = Some((node, THIN));
        let other = world.followers().into_iter().find(|other| *other != node).expect("a third one");
        world.start(node);
        world.run(5);
        world.kill(other);
        let (leader, begun) = (world.leader(), world.now);
        assert!(leader.is_some());
        while world.version(node) < world.acked {
            world.run(50);
            assert_eq!(world.leader(), leader, "seed {seed}: after {} ms", world.now - begun);
            assert!(world.now < begun + 10_000, "seed {seed}: it never caught up");
        }
        assert_eq!(world.snapshots(node) > 0, more == 0, "seed {seed}");
        world.start(other);
        world.converge();
    }
}

#[test]
fn a_slow_disk_and_a_full_one_delay_it_and_no_more() {
    for (changes, seed) in [(20, 1), (400, 2)] {
        let mut world = Cluster::new(seed, 20);
        let node = world.followers()[0];
        world.disk_ms(node, 400);
        let caught = back_after(&mut world, changes);
        assert!(caught.ms <= 4_000, "slow: {caught:?}");
        world.disk_ms(node, 3);
        world.kill(node);
        world.changes(changes);
        world.disk_full(node, true);
        world.start(node);
        for _ in 0..30 {
            world.run(100);
            world.change();
        }
        world.disk_full(node, false);
        let caught = world.catch_up(node, 100, WITHIN_MS).expect("it never caught up");
        assert!(caught.ms <= 2_000, "full: {caught:?}");
        world.converge();
    }
}

/// Its process ends some times while the snapshot is on its way; and copies of old ones come late.
#[test]
fn interrupted_and_late_snapshots_lead_nowhere_back() {
    for seed in 0..4 {
        let mut world = Cluster::large(seed, 20, LARGE);
        world.thin = Some((world.followers()[0], THIN));
        let node = away(&mut world, 600);
        for round in 0..3 {
            world.start(node);
            world.run(400 + 300 * round);
            world.change();
            world.kill(node);
        }
        world.come_back(node, 100, WITHIN_MS).expect("it never caught up");
        assert!(!world.kept.is_empty(), "no snapshot was sent");
        world.changes(3);
        for (to, snapshot) in std::mem::take(&mut world.kept) {
            world.deliver(to, snapshot);
            world.run(20);
        }
        world.changes(3);
        world.converge();
    }
}

/// The leader ends at any moment of another member's return: whoever succeeds has all that was acknowledged.
#[test]
fn who_comes_back_never_leads_with_old_state() {
    let mut leads = 0;
    for seed in 0..24 {
        let mut world = Cluster::new(seed, 20);
        world.thin = (seed % 2 == 0).then(|| (world.followers()[0], THIN));
        let node = away(&mut world, [1, 10, 90][seed as usize % 3]);
        world.start(node);
        world.run(seed * 17 % 300);
        let leader = world.leader();
        leader.into_iter().for_each(|leader| world.kill(leader));
        let before = world.leads.len();
        let next = world.until(20_000, |world| world.leader().is_some());
        assert!(next, "seed {seed}: two of three elect nobody");
        leads += usize::from(world.leads[before..].iter().any(|(who, _)| *who == node));
        world.changes(2);
        leader.into_iter().for_each(|leader| world.start(leader));
        world.converge();
    }
    assert!(leads > 0, "it never led at all: nothing was tested");
}
