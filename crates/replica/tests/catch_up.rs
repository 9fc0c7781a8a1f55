//! A member is down during some changes and catches up while more arrive: by log or by snapshot, over fast and slow links,
//! with a slow and with a full disk. In each case a new leader has every acknowledged change, no member's version goes back,
//! and in the end all members have the same state ([`cluster::Cluster`] checks this).

mod cluster;

use cluster::{CatchUp, Cluster};

/// Longest time for any catch-up, ms.
const WITHIN_MS: u64 = 30_000;
/// Size of a large document, bytes.
const LARGE: usize = 120_000;
/// Rate of a slow link, bytes per ms: 1 Mbit/s.
const SLOW_LINK: usize = 120;

/// Stops a follower and makes this many changes without it.
fn stop_during(cluster: &mut Cluster, changes: usize) -> usize {
    let node = cluster.followers()[0];
    cluster.kill(node);
    cluster.changes(changes);
    node
}

fn catch_up_after(cluster: &mut Cluster, changes: usize) -> CatchUp {
    let node = stop_during(cluster, changes);
    let catch_up = cluster.restart_and_catch_up(node, 100, WITHIN_MS);
    catch_up.unwrap_or_else(|| panic!("it never caught up after {changes} changes"))
}

#[test]
fn a_member_catches_up_after_any_number_of_changes() {
    for (changes, most_bytes) in [(1, 4_000), (10, 10_000), (100, 60_000), (1_000, 60_000)] {
        for seed in 0..2 {
            let mut cluster = Cluster::new(seed, 20);
            let catch_up = catch_up_after(&mut cluster, changes);
            assert!(
                catch_up.ms <= 1_000 && catch_up.bytes <= most_bytes,
                "{changes}, seed {seed}: {catch_up:?}"
            );
            cluster.converge();
        }
    }
}

/// A snapshot takes seconds, and entries take tenths of a second: time-outs grow with the size, and a transfer in flight is
/// not started again.
#[test]
fn a_large_state_is_transferred_over_a_slow_link_while_changes_go_on() {
    for seed in 0..2 {
        let mut cluster = Cluster::large(seed, 20, LARGE);
        let node = cluster.followers()[0];
        cluster.slow_link = Some((node, SLOW_LINK));
        let catch_up = catch_up_after(&mut cluster, 1_000);
        assert!(catch_up.by_snapshot, "{catch_up:?}");
        // Snapshots get half of the link.
        let transfer_ms = (LARGE / (SLOW_LINK / 2)) as u64;
        assert!((transfer_ms..2 * transfer_ms + 2_000).contains(&catch_up.ms), "seed {seed}: {catch_up:?}");
        cluster.converge();
        // No repeats of the snapshot follow it.
        let bytes = cluster.sent(node);
        cluster.run(5_000);
        assert!(
            catch_up.bytes < 2 * LARGE && cluster.sent(node) - bytes < LARGE / 4,
            "seed {seed}: {catch_up:?}"
        );
    }
}

/// By the log alone, with more entries than can be sent in one call.
#[test]
fn many_entries_are_transferred_over_a_slow_link() {
    let mut cluster = Cluster::large(5, 20, 2 * LARGE);
    cluster.slow_link = Some((cluster.followers()[0], SLOW_LINK));
    let catch_up = catch_up_after(&mut cluster, 120);
    assert!(!catch_up.by_snapshot && catch_up.ms < 10_000, "{catch_up:?}");
    cluster.converge();
}

/// The third member is down, so the leader's majority depends on the member that catches up: a call with entries that took
/// longer than an election time-out would cost it the lead, again and again.
#[test]
fn a_leader_keeps_its_lead_while_its_only_follower_catches_up_over_a_slow_link() {
    // With 220 kB of entries, and with a snapshot, which heartbeats overtake.
    for (seed, changes, padding) in [(0, 110, 2_000), (1, 110, 2_000), (2, 700, 0), (3, 700, 0)] {
        let mut cluster = Cluster::large(seed, 20, if padding > 0 { 2 * LARGE } else { LARGE });
        cluster.padding = padding;
        let node = stop_during(&mut cluster, changes);
        cluster.slow_link = Some((node, SLOW_LINK));
        let other = cluster.followers().into_iter().find(|other| *other != node).expect("a third member");
        cluster.start(node);
        cluster.run(5);
        cluster.kill(other);
        let (leader, began) = (cluster.leader(), cluster.now);
        assert!(leader.is_some());
        while cluster.version(node) < cluster.acked {
            cluster.run(50);
            assert_eq!(cluster.leader(), leader, "seed {seed}: after {} ms", cluster.now - began);
            assert!(cluster.now < began + 10_000, "seed {seed}: it never caught up");
        }
        assert_eq!(cluster.snapshots(node) > 0, padding == 0, "seed {seed}");
        cluster.start(other);
        cluster.converge();
    }
}

#[test]
fn a_slow_or_full_disk_only_delays_catching_up() {
    for (changes, seed) in [(20, 1), (400, 2)] {
        let mut cluster = Cluster::new(seed, 20);
        let node = cluster.followers()[0];
        cluster.disk_ms(node, 400);
        let catch_up = catch_up_after(&mut cluster, changes);
        assert!(catch_up.ms <= 4_000, "slow: {catch_up:?}");
        cluster.disk_ms(node, 3);
        cluster.kill(node);
        cluster.changes(changes);
        cluster.disk_full(node, true);
        cluster.start(node);
        for _ in 0..30 {
            cluster.run(100);
            cluster.change();
        }
        cluster.disk_full(node, false);
        let catch_up = cluster.catch_up(node, 100, WITHIN_MS).expect("it never caught up");
        assert!(catch_up.ms <= 2_000, "full: {catch_up:?}");
        cluster.converge();
    }
}

/// The process ends several times during the transfer of a snapshot, and old snapshots are delivered late.
#[test]
fn interrupted_and_late_snapshots_never_revert_the_state() {
    for seed in 0..4 {
        let mut cluster = Cluster::large(seed, 20, LARGE);
        cluster.slow_link = Some((cluster.followers()[0], SLOW_LINK));
        let node = stop_during(&mut cluster, 600);
        for round in 0..3 {
            cluster.start(node);
            cluster.run(400 + 300 * round);
            cluster.change();
            cluster.kill(node);
        }
        cluster.restart_and_catch_up(node, 100, WITHIN_MS).expect("it never caught up");
        assert!(!cluster.sent_snapshots.is_empty(), "no snapshot was sent");
        cluster.changes(3);
        for (to, snapshot) in std::mem::take(&mut cluster.sent_snapshots) {
            cluster.deliver(to, snapshot);
            cluster.run(20);
        }
        cluster.changes(3);
        cluster.converge();
    }
}

/// The leader is stopped at various moments while another member catches up: the next leader has every acknowledged change.
#[test]
fn a_member_that_catches_up_never_leads_with_an_old_state() {
    let mut leads = 0;
    for seed in 0..24 {
        let mut cluster = Cluster::new(seed, 20);
        cluster.slow_link = (seed % 2 == 0).then(|| (cluster.followers()[0], SLOW_LINK));
        let node = stop_during(&mut cluster, [1, 10, 90][seed as usize % 3]);
        cluster.start(node);
        cluster.run(seed * 17 % 300);
        let leader = cluster.leader();
        leader.into_iter().for_each(|leader| cluster.kill(leader));
        let before = cluster.leads.len();
        let is_elected = cluster.until(20_000, |cluster| cluster.leader().is_some());
        assert!(is_elected, "seed {seed}: two of three members elect no leader");
        leads += usize::from(cluster.leads[before..].iter().any(|(leader, _)| *leader == node));
        cluster.changes(2);
        leader.into_iter().for_each(|leader| cluster.start(leader));
        cluster.converge();
    }
    assert!(leads > 0, "the member never led, so nothing was tested");
}
