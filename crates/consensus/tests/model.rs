//! Model checking: all interleavings of small scenarios keep the rules of consensus, and break one if a guard is
//! disabled.
//!
//! The depth of the scenarios is limited so that the tests take some seconds; `MODEL_DEPTH=100 MODEL_SECONDS=3600`
//! explores them completely.

mod model_cluster;

use model_cluster::Action::*;
use model_cluster::*;
use nickeljunction_consensus::model::Guard;

/// Two members stand for election in one term, disks are slow, and one member loses power.
fn votes() -> Scenario {
    let before = vec![Restart(0, false), StartElection(1), StartElection(2)];
    let limits = [(RESTART, 1)];
    Scenario { slow_disks: true, before, max_in_flight: 6, ..Scenario::new("votes", 3, 2, &limits) }
}

/// Elections over two terms with messages of earlier terms, on slow disks.
fn terms() -> Scenario {
    let before = vec![Heartbeat(0), StartElection(1), Sync(1), StartElection(1), Sync(1)];
    let limits = [(START_ELECTION, 1)];
    let defaults = Scenario::new("terms", 3, 3, &limits);
    Scenario {
        slow_disks: true,
        stale_terms: true,
        max_in_flight: 6,
        candidates: &[2],
        before,
        depth: 10,
        ..defaults
    }
}

/// Entries reach some members late or twice while another leader is elected.
fn entries() -> Scenario {
    let limits = [(START_ELECTION, 1), (PROPOSE, 1), (HEARTBEAT, 1), (DUPLICATE, 1)];
    Scenario { candidates: &[1], depth: 11, ..Scenario::new("entries", 3, 2, &limits) }
}

/// Like `entries`, on slow disks that lose power.
fn slow_entries() -> Scenario {
    let limits = [(START_ELECTION, 1), (PROPOSE, 1), (RESTART, 1)];
    Scenario { slow_disks: true, candidates: &[1], depth: 14, ..Scenario::new("slow entries", 3, 2, &limits) }
}

/// Machine 0 has an entry that no other machine received, and another leader is elected.
fn divergence() -> Scenario {
    let before = vec![Propose(0), LoseEverything, StartElection(1)];
    let limits = [(START_ELECTION, 1), (PROPOSE, 1), (HEARTBEAT, 1)];
    Scenario { candidates: &[0], before, depth: 11, ..Scenario::new("divergence", 3, 3, &limits) }
}

/// Like `divergence`, with slow disks.
fn slow_divergence() -> Scenario {
    let before = vec![Propose(0), LoseEverything, StartElection(1), DeliverAll(2), DeliverAll(1)];
    let limits = [(HEARTBEAT, 1)];
    Scenario { slow_disks: true, before, ..Scenario::new("slow divergence", 3, 2, &limits) }
}

/// Machine 0 loses the entry that it proposed, of which machine 1 alone has a copy, and is elected again.
fn lost_power() -> Scenario {
    let before = vec![
        Propose(0),
        DeliverAll(1),
        Sync(1),
        DeliverAll(2),
        LoseEverything,
        Restart(0, false),
        Restart(2, false),
        StartElection(0),
        Sync(0),
    ];
    let limits = [(HEARTBEAT, 1)];
    Scenario { slow_disks: true, before, depth: 14, ..Scenario::new("lost power", 3, 2, &limits) }
}

/// Figure 8 of the Raft paper: machines 0 and 1 have different entries at one index, and entries are sent one by one.
fn raft_figure_8() -> Scenario {
    let before = vec![
        Propose(0),
        LoseEverything,
        StartElection(1),
        DeliverAll(2),
        DeliverAll(1),
        LoseEverything,
        Restart(0, false),
    ];
    let limits = [(START_ELECTION, 3)];
    let disabled = vec![Guard::LargeBatches];
    Scenario {
        candidates: &[0, 1],
        before,
        disabled,
        depth: 16,
        ..Scenario::new("raft figure 8", 3, 4, &limits)
    }
}

/// Reads at a leader that has a successor, and at one that was just elected.
fn reads() -> Scenario {
    let limits = [(START_ELECTION, 1), (PROPOSE, 1), (READ, 1), (HEARTBEAT, 1)];
    Scenario {
        candidates: &[1],
        before: vec![Heartbeat(0), DeliverEverything],
        depth: 10,
        ..Scenario::new("reads", 3, 2, &limits)
    }
}

/// The first leader is elected again after the second one; machine 2 has received many rounds of its first term.
fn reads_after_reelection() -> Scenario {
    let before = vec![
        Heartbeat(0),
        DeliverEverything,
        Heartbeat(0),
        DeliverEverything,
        Heartbeat(0),
        DeliverEverything,
        Heartbeat(0),
        DeliverEverything,
        StartElection(1),
        DeliverAll(2),
        DeliverAll(1),
        DeliverAll(2),
        DeliverAll(1),
    ];
    let limits = [(START_ELECTION, 1), (READ, 1)];
    Scenario { candidates: &[0], before, ..Scenario::new("reads after re-election", 3, 3, &limits) }
}

/// Slow disks, where one write fails, or reaches the disk although it is reported as failed.
fn failing_disks() -> Scenario {
    let limits = [(START_ELECTION, 1), (PROPOSE, 1), (FAIL_WRITE, 1)];
    Scenario {
        slow_disks: true,
        candidates: &[1],
        depth: 11,
        ..Scenario::new("failing disks", 3, 2, &limits)
    }
}

/// Machine 0 has two entries that no other machine received, and its successor sends a snapshot.
fn snapshots() -> Scenario {
    let before = vec![
        Propose(0),
        Propose(0),
        LoseEverything,
        StartElection(1),
        DeliverAll(2),
        DeliverAll(1),
        DeliverAll(2),
        DeliverAll(1),
        LoseEverything,
    ];
    let limits = [(SNAPSHOT, 1), (HEARTBEAT, 2)];
    let defaults = Scenario::new("snapshots", 3, 2, &limits);
    Scenario { slow_disks: true, disabled: vec![Guard::EntriesKeptBeforeSnapshot], before, ..defaults }
}

/// A snapshot arrives twice, with entries in between.
fn duplicate_snapshot() -> Scenario {
    let before = vec![
        Propose(0),
        LoseEverything,
        StartElection(1),
        DeliverAll(2),
        DeliverAll(1),
        DeliverAll(2),
        DeliverAll(1),
        LoseEverything,
        Snapshot(1),
        Heartbeat(1),
        Propose(1),
        Heartbeat(1),
    ];
    let limits = [(HEARTBEAT, 1), (DUPLICATE, 1)];
    let defaults = Scenario::new("duplicate snapshot", 3, 2, &limits);
    Scenario { disabled: vec![Guard::EntriesKeptBeforeSnapshot], before, depth: 10, ..defaults }
}

/// With a clock: the leader's lease while another leader is elected and one member restarts.
fn leases() -> Scenario {
    let limits = [(ADVANCE, 3), (START_ELECTION, 1), (HEARTBEAT, 1), (RESTART, 1)];
    Scenario { candidates: &[1], depth: 12, ..Scenario::new("leases", 3, 2, &limits) }
}

/// Machine 2 votes for machine 1 and requests its pre-vote, and with that vote machine 1 leads a moment later.
/// Machine 2 then answers the leader and restarts, while a reply that machine 1 sent before it led is still in
/// flight.
fn late_pre_vote_replies() -> Scenario {
    let candidacy = [
        Advance,
        Advance,
        StartElection(1),
        DeliverAll(2),
        DeliverAll(1),
        DeliverAll(2),
        Advance,
        Advance,
        StartElection(2),
    ];
    let leadership = [
        DeliverPreVotes(1),
        DeliverOthers(1),
        DeliverOthers(2),
        DeliverOthers(1),
        Restart(2, false),
        DeliverPreVotes(0),
    ];
    let limits = [(ADVANCE, 1), (START_ELECTION, 1)];
    let before = [&candidacy[..], &leadership].concat();
    let defaults = Scenario::new("late pre-vote replies", 3, 3, &limits);
    Scenario { pre_votes_as_messages: true, candidates: &[2], max_in_flight: 7, before, depth: 9, ..defaults }
}

/// Machine 2 has lost its disk, came back under a new number and asks to join.
fn joining_machine() -> Scenario {
    let before = vec![Heartbeat(0), Wipe(2), DeliverEverything, StartElection(2), DeliverAll(0)];
    let limits = [(HEARTBEAT, 3), (PROPOSE, 1)];
    Scenario { idle_clock: 2, before, depth: 9, ..Scenario::new("joining machine", 3, 2, &limits) }
}

/// Machine 2 loses its disk with an entry that machine 1 lacks.
fn wiped() -> Scenario {
    let before = vec![Propose(0), DeliverAll(2), DeliverAll(0), LoseEverything];
    let limits = [(WIPE, 1), (START_ELECTION, 2), (HEARTBEAT, 1)];
    Scenario { candidates: &[1, 2], before, depth: 9, ..Scenario::new("wiped", 3, 2, &limits) }
}

/// The leader removes machines 3 and 4, which were silent for a long time. Then the leader is gone, and machine 2,
/// which has not received the removals, stands for election.
fn removals() -> Scenario {
    let round = [Advance, Heartbeat(0), DeliverAll(1), DeliverAll(2), DeliverAll(0), LoseEverything];
    let last = [
        Advance,
        Heartbeat(0),
        DeliverAll(1),
        DeliverAll(0),
        DeliverAll(1),
        DeliverAll(0),
        LoseEverything,
        Advance,
        Advance,
    ];
    let before = [&round[..], &round, &round, &last].concat();
    let limits = [(ADVANCE, 1), (START_ELECTION, 1), (PROPOSE, 1)];
    Scenario {
        candidates: &[2],
        removal_timeout: 3,
        before,
        depth: 9,
        ..Scenario::new("removals", 5, 2, &limits)
    }
}

/// The leader replaces machine 2, which was silent for a long time, by the empty machine 3. Then the leader is gone,
/// and machine 2, which has not received the replacement, stands for election.
fn replacements() -> Scenario {
    let join = [
        Advance,
        Advance,
        StartElection(3),
        DeliverAll(0),
        Heartbeat(0),
        DeliverAll(1),
        DeliverAll(3),
        DeliverAll(0),
        LoseEverything,
    ];
    let round = [Advance, Heartbeat(0), DeliverAll(1), DeliverAll(3), DeliverAll(0), LoseEverything];
    let before = [&join[..], &round, &round].concat();
    let limits = [(ADVANCE, 3), (START_ELECTION, 1), (PROPOSE, 1), (HEARTBEAT, 1)];
    let defaults = Scenario::new("replacements", 4, 2, &limits);
    Scenario { joining: 1, candidates: &[2], removal_timeout: 3, before, depth: 11, ..defaults }
}

/// Five members, two of which stand for election.
fn five_members() -> Scenario {
    let limits = [(START_ELECTION, 2), (PROPOSE, 1)];
    Scenario {
        candidates: &[1, 2],
        max_in_flight: 5,
        depth: 9,
        ..Scenario::new("five members", 5, 3, &limits)
    }
}

/// Tests that a scenario breaks a rule without the guard.
macro_rules! needed {
    ($($test:ident: $scenario:ident, $guard:ident;)*) => {
        $(#[test]
        fn $test() {
            $scenario().breaks(Guard::$guard);
        })*
    };
}

/// Tests that a scenario breaks no rule.
macro_rules! hold {
    ($($test:ident: $scenario:ident;)*) => {
        $(#[test]
        fn $test() {
            $scenario().holds();
        })*
    };
}

hold! {
    votes_hold: votes;
    terms_hold: terms;
    entries_hold: entries;
    slow_entries_hold: slow_entries;
    divergence_holds: divergence;
    slow_divergence_holds: slow_divergence;
    lost_power_holds: lost_power;
    raft_figure_8_holds: raft_figure_8;
    reads_hold: reads;
    reads_after_reelection_hold: reads_after_reelection;
    failing_disks_hold: failing_disks;
    snapshots_hold: snapshots;
    duplicate_snapshot_holds: duplicate_snapshot;
    leases_hold: leases;
    late_pre_vote_replies_hold: late_pre_vote_replies;
    joining_machine_holds: joining_machine;
    wiped_holds: wiped;
    removals_hold: removals;
    replacements_hold: replacements;
    five_members_hold: five_members;
}

needed! {
    needs_one_vote: votes, OneVote;
    needs_vote_synced: votes, VoteSynced;
    needs_vote_majority: votes, VoteMajority;
    needs_pending_vote_by_term: terms, PendingVoteByTerm;
    needs_stale_term_rejected: terms, StaleTermRejected;
    needs_log_up_to_date: entries, LogUpToDate;
    needs_entries_synced: slow_entries, EntriesSynced;
    needs_leader_synced: slow_entries, LeaderSynced;
    needs_ack_verified: divergence, AckVerified;
    needs_commit_verified: divergence, CommitVerified;
    needs_prev_entry_matches: divergence, PrevEntryMatches;
    needs_terms_match: divergence, TermsMatch;
    needs_truncation_unsynced: slow_divergence, TruncationUnsynced;
    needs_verified_by_term: lost_power, VerifiedByTerm;
    needs_commits_own_term: raft_figure_8, CommitsOwnTerm;
    needs_read_confirmed: reads, ReadConfirmed;
    needs_read_next_round: reads, ReadNextRound;
    needs_read_own_term: reads, ReadOwnTerm;
    needs_round_by_term: reads_after_reelection, RoundByTerm;
    needs_failed_write_truncates: failing_disks, FailedWriteTruncates;
    needs_later_truncations: failing_disks, LaterTruncations;
    needs_snapshot_truncates: snapshots, SnapshotTruncates;
    needs_snapshot_ahead: duplicate_snapshot, SnapshotAhead;
    needs_leader_lease: leases, LeaderLease;
    needs_restart_lease: leases, RestartLease;
    needs_round_started: leases, RoundStarted;
    needs_one_change_at_a_time: removals, OneChangeAtATime;
    needs_joint_majorities: replacements, JointMajorities;
    needs_candidate_not_free: late_pre_vote_replies, CandidateNotFree;
    needs_learner_caught_up: joining_machine, LearnerCaughtUp;
}

/// A wiped machine must come back under a new number: under the old one it would vouch for entries that it lost.
#[test]
fn needs_a_new_number() {
    assert!(Scenario { keeps_number: true, ..wiped() }.search(1).is_some());
}

/// Runs the scenarios whose names start with `WORLD` without each of the guards in `GUARD`, for manual inspection:
/// `WORLD=reads GUARD=OneVote,LogUpToDate`.
#[test]
#[ignore = "for manual inspection"]
fn run_scenarios_without_guards() {
    let (name, guards) = (std::env::var("WORLD").unwrap(), std::env::var("GUARD").unwrap());
    let guards: Vec<String> = guards.split(',').map(str::to_owned).collect();
    let scenarios = [
        votes(),
        terms(),
        entries(),
        slow_entries(),
        divergence(),
        slow_divergence(),
        lost_power(),
        raft_figure_8(),
        reads(),
        reads_after_reelection(),
        failing_disks(),
        snapshots(),
        duplicate_snapshot(),
        leases(),
        late_pre_vote_replies(),
        joining_machine(),
        wiped(),
        removals(),
        replacements(),
        five_members(),
    ];
    for scenario in scenarios.into_iter().filter(|scenario| scenario.name.starts_with(&name)) {
        for guard in Guard::ALL.into_iter().filter(|guard| guards.contains(&format!("{guard:?}"))) {
            let disabled = scenario.disabled.iter().copied().chain([guard]).collect();
            Scenario { disabled, ..scenario.clone() }.search(1);
        }
    }
}
