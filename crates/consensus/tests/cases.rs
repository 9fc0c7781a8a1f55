//! Named cases of what the core has to bear, each over some seeds.

mod cluster;

use cluster::Cluster;
use nickeljunction_consensus::Write;
use nickeljunction_storage::Hold;

const SEEDS: u64 = 20;

/// Plays a case over some seeds, of `members` machines that have a leader.
fn each(members: usize, case: impl Fn(&mut Cluster, usize)) {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut harbour = Cluster::new(members, seed);
        let leader = harbour.settle(3_000);
        harbour.commit(1_000);
        case(&mut harbour, leader);
    }
}

fn others(harbour: &Cluster, number: usize) -> Vec<usize> {
    (0..harbour.machines.len()).filter(|other| *other != number).collect()
}

/// With the next heartbeat all know what is committed.
fn check_all(harbour: &mut Cluster) {
    harbour.run(200);
    for number in 0..harbour.machines.len() {
        if harbour.machines[number].book.is_some() {
            harbour.check(number);
        }
    }
}

#[test]
fn a_leader_that_was_frozen_tells_nothing_of_the_past() {
    each(3, |harbour, old| {
        // Its last proposal and read are under way when it freezes.
        harbour.propose(old);
        harbour.read(old);
        harbour.machines[old].frozen = true;
        harbour.run(1_500);
        let new = harbour.settle(100);
        assert_ne!(old, new);
        harbour.commit(500);
        harbour.thaw(old);
        // Whatever it says now is checked against what its successor acknowledged.
        harbour.propose(old);
        harbour.read(old);
        harbour.run(1_000);
        assert!(!harbour.book(old).is_leader());
        check_all(harbour);
    });
}

#[test]
fn a_leader_cut_one_way_is_succeeded() {
    for outward in [true, false] {
        each(3, |harbour, old| {
            harbour.cut_off(old, outward, !outward);
            harbour.propose(old);
            harbour.run(2_500);
            let new = harbour.settle(100);
            assert_ne!(old, new, "outward {outward}");
            assert!(!harbour.book(old).is_leader());
            harbour.commit(500);
            harbour.cuts.clear();
            let term = harbour.book(new).term();
            harbour.run(1_500);
            assert_eq!(harbour.settle(500), new, "the return disturbs nobody");
            assert_eq!(harbour.book(new).term(), term);
            check_all(harbour);
        });
    }
}

#[test]
fn what_was_acknowledged_survives_a_loss_of_power_right_after() {
    each(3, |harbour, leader| {
        harbour.commit(500);
        let ms = harbour.rng.u64(0..4);
        harbour.run(ms);
        harbour.lose_power(leader);
        harbour.run(1_500);
        harbour.commit(500);
        harbour.start(leader);
        harbour.run(1_000);
        check_all(harbour);
    });
}

#[test]
fn what_was_acknowledged_survives_its_acknowledgers_disk_while_another_lags() {
    each(3, |harbour, leader| {
        let lagging = others(harbour, leader)[0];
        harbour.cut_off(lagging, true, true);
        harbour.commit(500);
        harbour.wipe(leader);
        harbour.start(leader);
        harbour.cuts.clear();
        harbour.commit(3_000);
        harbour.complete_within(3_000);
        harbour.run(500);
        check_all(harbour);
    });
}

#[test]
fn a_wiped_member_does_not_help_to_elect() {
    each(3, |harbour, leader| {
        let [lagging, wiped] = others(harbour, leader)[..] else { unreachable!() };
        harbour.cut_off(lagging, true, true);
        harbour.commit(500);
        harbour.wipe(wiped);
        harbour.start(wiped);
        harbour.kill(leader);
        harbour.cuts.clear();
        harbour.run(5_000);
        assert!(!harbour.book(lagging).is_leader() && !harbour.book(wiped).is_leader());
        // The one that has it comes back.
        harbour.start(leader);
        harbour.complete_within(4_000);
        harbour.run(500);
        check_all(harbour);
    });
}

#[test]
fn all_killed_at_once_are_back_in_a_moment() {
    each(3, |harbour, _| {
        (0..3).for_each(|number| harbour.kill(number));
        harbour.run(200);
        // One after the other, as machines come up; nobody has to wait out what nobody holds any more.
        for number in 0..3 {
            let ms = harbour.rng.u64(0..300);
            harbour.run(ms);
            harbour.start(number);
        }
        harbour.commit(150);
        harbour.run(500);
        check_all(harbour);
    });
}

#[test]
fn one_that_comes_back_keeps_an_earlier_lifes_word_to_a_leader_it_cant_reach() {
    each(3, |harbour, leader| {
        let [cut, restarts] = others(harbour, leader)[..] else { unreachable!() };
        harbour.cut(leader, cut, true);
        harbour.cut(cut, leader, true);
        harbour.run(700);
        harbour.kill(restarts);
        harbour.cut_off(leader, true, true);
        harbour.start(restarts);
        // The leader may still go by that word, by its own clock.
        while harbour
            .book(leader)
            .quorum_age(harbour.now)
            .is_some_and(|age| age < harbour.tuning.election_min_ms)
        {
            assert!(!harbour.book(cut).is_leader() && !harbour.book(restarts).is_leader());
            harbour.run(1);
        }
        harbour.run(1_500);
        assert_ne!(harbour.settle(100), leader);
        harbour.commit(500);
    });
}

#[test]
fn all_without_power_and_one_disk_gone() {
    each(3, |harbour, leader| {
        (0..3).for_each(|number| harbour.lose_power(number));
        harbour.wipe(leader);
        harbour.run(1_000);
        (0..3).for_each(|number| harbour.start(number));
        harbour.commit(3_000);
        harbour.complete_within(3_000);
        harbour.run(500);
        check_all(harbour);
    });
}

#[test]
fn two_more_join_three_seeds_and_silent_ones_go() {
    each(3, |harbour, _| {
        for _ in 0..2 {
            let number = harbour.add();
            harbour.start(number);
        }
        harbour.complete_within(2_000);
        // Two go for good, one after the other: the others remain able to decide, down to three.
        for _ in 0..2 {
            let gone = harbour.settle(3_000);
            harbour.kill(gone);
            harbour.run(9_000);
        }
        harbour.complete_within(1_000);
        harbour.commit(500);
        check_all(harbour);
    });
}

#[test]
fn one_alone_leads_and_takes_others_in() {
    each(1, |harbour, _| {
        for _ in 0..2 {
            let number = harbour.add();
            harbour.start(number);
            harbour.complete_within(2_000);
        }
        harbour.wipe(1);
        harbour.start(1);
        harbour.complete_within(3_000);
        harbour.commit(500);
        check_all(harbour);
    });
}

#[test]
fn seeds_are_replaced_by_other_machines() {
    each(3, |harbour, _| {
        for old in 0..3 {
            let new = harbour.add();
            harbour.start(new);
            harbour.complete_within(2_000);
            harbour.kill(old);
            harbour.seeds[old].clone_from(&harbour.machines[new].host.clone());
            harbour.run(9_000);
            harbour.complete_within(1_000);
        }
        harbour.commit(500);
        check_all(harbour);
        // One that was away all the time finds the others by the new seeds.
        harbour.start(0);
        harbour.complete_within(8_000);
        harbour.run(500);
        check_all(harbour);
    });
}

#[test]
fn a_leader_whose_disk_is_full_makes_way_and_comes_back() {
    each(3, |harbour, full| {
        harbour.machines[full].disk.fail(true);
        harbour.propose(full);
        harbour.run(800);
        assert!(harbour.book(full).sick() && !harbour.book(full).is_leader());
        harbour.commit(1_000);
        // While it can't keep anything it vouches for nothing: with it alone nothing is committed.
        let new = harbour.settle(500);
        let third = others(harbour, full).into_iter().find(|number| *number != new).unwrap();
        harbour.kill(third);
        let value = harbour.propose(new);
        harbour.run(500);
        assert!(value.is_none_or(|value| !harbour.acked.contains(&value)));
        harbour.machines[full].disk.fail(false);
        harbour.commit(3_000);
        assert!(!harbour.book(full).sick());
        harbour.start(third);
        harbour.run(1_500);
        check_all(harbour);
    });
}

#[test]
fn a_laggard_gets_a_snapshot() {
    each(3, |harbour, leader| {
        let lagging = others(harbour, leader)[0];
        harbour.kill(lagging);
        for _ in 0..200 {
            harbour.commit(500);
        }
        assert!(harbour.book(leader).commit() > 200);
        harbour.start(lagging);
        harbour.run(1_500);
        check_all(harbour);
        assert!(harbour.book(leader).everywhere(harbour.now, harbour.book(leader).commit()));
    });
}

/// A whole window of appends is lost within an election time, so that nobody takes the member for silent, and the leader
/// forgets the entries in them before it learns of it.
#[test]
fn a_member_is_taught_by_a_snapshot_where_a_lost_window_is_forgotten() {
    each(3, |harbour, leader| {
        harbour.commit(500);
        harbour.run(200);
        let lagging = others(harbour, leader)[0];
        harbour.cut(leader, lagging, true);
        for _ in 0..120 {
            harbour.propose_long(leader, 8 * 1024);
            harbour.run(2);
        }
        harbour.cut(leader, lagging, false);
        harbour.run(5_000);
        check_all(harbour);
        assert!(harbour.book(leader).everywhere(harbour.now, harbour.book(leader).commit()));
    });
}

#[test]
fn quiet_members_say_little_and_commits_take_one_round_trip() {
    each(3, |harbour, leader| {
        harbour.run(500);
        let before = harbour.messages;
        harbour.run(10_000);
        let told = harbour.messages - before;
        assert!(told <= 404, "{told} messages in 10 s");
        assert!(harbour.book(leader).quorum_age(harbour.now).unwrap() <= 110);
        // There 1 or 2 ms, a write of 1 to 3 ms, and back.
        let value = harbour.propose(leader).unwrap();
        harbour.read(leader);
        harbour.run(7);
        assert!(harbour.acked.contains(&value));
        assert_eq!(harbour.reads_done, 1);
    });
}

#[test]
fn a_leader_that_resigns_is_succeeded_at_once() {
    each(3, |harbour, old| {
        let now = harbour.now;
        harbour.machines[old].book.as_mut().unwrap().resign(now);
        harbour.propose(old);
        harbour.run(5);
        harbour.kill(old);
        harbour.run(300);
        assert_ne!(harbour.settle(50), old);
        harbour.commit(100);
    });
}

#[test]
fn a_member_whose_disk_forgot_is_taught_again() {
    each(3, |harbour, leader| {
        let forgetful = others(harbour, leader)[0];
        harbour.run(300);
        // Its disk as it is now is what is left of it after more was acknowledged.
        let early = harbour.machines[forgetful].disk.load().unwrap().unwrap();
        for _ in 0..5 {
            harbour.commit(500);
        }
        harbour.run(300);
        harbour.kill(forgetful);
        harbour.machines[forgetful].disk.wipe();
        let write = Write {
            ticket: 1,
            me: Some(early.me),
            hard: Some(early.hard),
            snapshot: early.snapshot,
            entries: early.entries,
            ..Write::default()
        };
        harbour.machines[forgetful].disk.save(&write).unwrap();
        harbour.start(forgetful);
        harbour.run(1_000);
        let commit = |number: usize| harbour.machines[number].book.as_ref().unwrap().commit();
        assert_eq!(commit(forgetful), commit(leader));
        check_all(harbour);
    });
}
