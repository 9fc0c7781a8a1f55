//! For the model of the tests alone (feature `model`): a logbook that can be copied, compared and set back in time, and
//! guards that can be taken out one at a time.

use crate::machine::{Logbook, Role};
use crate::{Entry, Snapshot};
use std::cell::Cell;
use std::hash::{Hash, Hasher};

thread_local! {
    static OUT: Cell<Option<Guard>> = const { Cell::new(None) };
}

/// What a line of this crate guards.
#[allow(missing_docs)] // Each is told by its place in the code and in `docs/design/agreement.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    CandidacySynced,
    CaughtUp,
    ChangeReady,
    CommitVerified,
    CommittedStays,
    CutIsUnsafe,
    EntriesSynced,
    FailureCuts,
    KeptVerified,
    KeptWithinLog,
    LargeBatches,
    LaterCuts,
    LeaderHeard,
    LeaderSynced,
    LogAsGood,
    LogsMatch,
    OldTermRefused,
    OneChange,
    OneVote,
    OwedVoteByTerm,
    OwnTermCommits,
    ReadConfirmed,
    ReadNextRound,
    ReadOwnTerm,
    RestartWaits,
    RoundBegun,
    RoundByTerm,
    SickIsSilent,
    SickTakesNothing,
    SnapshotAhead,
    SnapshotCuts,
    TermsMatch,
    VerifiedByTerm,
    VoteSynced,
    VotesOfMajority,
}

/// Takes a guard out, of all logbooks of this thread, or puts all back.
pub fn take_out(guard: Option<Guard>) {
    OUT.set(guard);
}

/// This guard is out.
pub(crate) fn is_out(guard: Guard) -> bool {
    OUT.get() == Some(guard)
}

impl Logbook {
    /// Sets the clock to `now` with everything that is remembered of it; what is longer ago than that becomes 0. What
    /// is drawn by chance is drawn anew, and the time to stand for election is due.
    pub fn set_clock(&mut self, now: u64) {
        let was = self.now;
        let to = |at: u64| (at + now).saturating_sub(was);
        self.now = now;
        self.rng = fastrand::Rng::with_seed(0);
        self.heard_at = self.heard_at.map(to);
        self.alone_since = to(self.alone_since);
        self.deadline = now;
        self.join_at = to(self.join_at);
        self.pointed_at = self.pointed_at.map(to);
        self.disk.sick = self.disk.sick.map(to);
        if let Role::Leading(lead) = &mut self.role {
            lead.map_times(to);
        }
    }

    /// The newest snapshot, and the entries that are in memory.
    pub fn kept(&self) -> (Option<&Snapshot>, Vec<Entry>) {
        (self.log.snapshot(), self.log.some(self.log.base() + 1, self.log.last(), usize::MAX))
    }
}

impl Hash for Logbook {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // All but what is drawn by chance and what never changes.
        (&self.me, self.now, self.hard, &self.log, &self.disk, self.commit, self.delivered).hash(state);
        (&self.role, &self.leader, self.heard_at, self.alone_since, self.deadline).hash(state);
        (&self.bound, self.hurry).hash(state);
        (self.verified, self.round, self.owed, &self.owed_vote, &self.hosts).hash(state);
        (self.join_at, self.pointed_at, self.next_read, &self.out).hash(state);
    }
}
