//! The guards of this crate that tests may disable one at a time (feature `model`), and which are disabled in this
//! thread.

use std::cell::Cell;

thread_local! {
    /// One bit for each disabled guard.
    static DISABLED: Cell<u64> = const { Cell::new(0) };
}

/// A condition that `guard!` protects.
#[allow(missing_docs)] // The use of each guard in the code and `docs/design/agreement.md` explain it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    AckVerified,
    AckWithinLog,
    CandidacySynced,
    CandidateNotFree,
    ChangeAfterOwnCommit,
    CommitVerified,
    CommitsOwnTerm,
    CommittedNotTruncated,
    DepartureAnnounced,
    EntriesKeptBeforeSnapshot,
    EntriesSynced,
    FailedWriteTruncates,
    JointMajorities,
    LargeBatches,
    LaterTruncations,
    LeaderLease,
    LeaderSynced,
    LearnerCaughtUp,
    LogUpToDate,
    MinMembersKept,
    NoAppendWhileDiskFailed,
    NoVoteWhileDiskFailed,
    OneChangeAtATime,
    OneVote,
    PendingVoteByTerm,
    PrevEntryMatches,
    PromptRemoval,
    QuorumRaisedWhenHealthy,
    ReadConfirmed,
    ReadNextRound,
    ReadOwnTerm,
    RemovedMayStand,
    RestartLease,
    RoundByTerm,
    RoundStarted,
    SnapshotAhead,
    SnapshotTruncates,
    StaleTermRejected,
    StandbyLimit,
    TermsMatch,
    TruncationUnsynced,
    VerifiedByTerm,
    VoteMajority,
    VoteSynced,
}

impl Guard {
    /// All guards.
    pub const ALL: [Guard; 44] = [
        Guard::AckVerified,
        Guard::AckWithinLog,
        Guard::CandidacySynced,
        Guard::CandidateNotFree,
        Guard::ChangeAfterOwnCommit,
        Guard::CommitVerified,
        Guard::CommitsOwnTerm,
        Guard::CommittedNotTruncated,
        Guard::DepartureAnnounced,
        Guard::EntriesKeptBeforeSnapshot,
        Guard::EntriesSynced,
        Guard::FailedWriteTruncates,
        Guard::JointMajorities,
        Guard::LargeBatches,
        Guard::LaterTruncations,
        Guard::LeaderLease,
        Guard::LeaderSynced,
        Guard::LearnerCaughtUp,
        Guard::LogUpToDate,
        Guard::MinMembersKept,
        Guard::NoAppendWhileDiskFailed,
        Guard::NoVoteWhileDiskFailed,
        Guard::OneChangeAtATime,
        Guard::OneVote,
        Guard::PendingVoteByTerm,
        Guard::PrevEntryMatches,
        Guard::PromptRemoval,
        Guard::QuorumRaisedWhenHealthy,
        Guard::ReadConfirmed,
        Guard::ReadNextRound,
        Guard::ReadOwnTerm,
        Guard::RemovedMayStand,
        Guard::RestartLease,
        Guard::RoundByTerm,
        Guard::RoundStarted,
        Guard::SnapshotAhead,
        Guard::SnapshotTruncates,
        Guard::StaleTermRejected,
        Guard::StandbyLimit,
        Guard::TermsMatch,
        Guard::TruncationUnsynced,
        Guard::VerifiedByTerm,
        Guard::VoteMajority,
        Guard::VoteSynced,
    ];
}

/// Disables these guards for all replicas of this thread, and enables all others.
pub fn disable_guards(guards: &[Guard]) {
    DISABLED.set(guards.iter().fold(0, |disabled, guard| disabled | 1 << *guard as u64));
}

/// This guard is disabled in this thread.
pub(crate) fn is_disabled(guard: Guard) -> bool {
    DISABLED.get() & (1 << guard as u64) != 0
}
