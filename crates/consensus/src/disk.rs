//! Tracks the disk: the state known to be synced, the writes issued, and the state to write again after a failure.

use crate::log::Log;
use crate::persistent::{HardState, Write};
use nickeljunction_messages::Member;
use std::collections::VecDeque;

/// State of the disk after some write.
#[derive(Debug, Clone, Copy, Hash)]
struct DiskState {
    /// The member's identity is written.
    has_identity: bool,
    hard: HardState,
    /// Index of the newest snapshot.
    snapshot: Option<u64>,
    /// Up to this index the log on the disk equals the log in memory.
    last_index: u64,
}

/// A write that was issued and is not done yet.
#[derive(Debug, Clone, Copy, Hash)]
struct PendingWrite {
    ticket: u64,
    /// It deletes entries from this index on.
    truncate_from: Option<u64>,
    /// State of the disk once the write is done.
    result: DiskState,
}

/// The state machine's view of its disk.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Disk {
    /// State known to be synced.
    synced: DiskState,
    /// State once all issued writes are done.
    issued: DiskState,
    /// Entries from this index on, issued before, have to be deleted.
    truncate_from: Option<u64>,
    pending: VecDeque<PendingWrite>,
    next_ticket: u64,
    /// The newest valid write, done or pending; 0: none.
    last_ticket: u64,
    /// Set after a failed write: when to try again.
    pub(crate) retry_due: Option<u64>,
}

impl Disk {
    /// A disk at the start: `is_new`, or with the content that `log` was read from.
    pub(crate) fn new(is_new: bool, hard: HardState, log: &Log) -> Disk {
        let synced = DiskState {
            has_identity: !is_new,
            hard,
            snapshot: log.snapshot().filter(|_| !is_new).map(|snapshot| snapshot.index),
            last_index: log.last(),
        };
        Disk {
            synced,
            issued: synced,
            truncate_from: None,
            pending: VecDeque::new(),
            next_ticket: 1,
            last_ticket: 0,
            retry_due: None,
        }
    }

    /// Up to this index the log in memory is synced to the disk.
    pub(crate) fn synced_index(&self) -> u64 {
        self.synced.last_index
    }

    /// This term and vote, and the identity of the voter, would survive a loss of power.
    pub(crate) fn has_synced(&self, hard: HardState) -> bool {
        self.synced.has_identity
            && self.synced.hard == hard
            && guard!(NoVoteWhileDiskFailed, self.retry_due.is_none(), true)
    }

    /// A write failed, and none has succeeded since.
    pub(crate) fn has_failed(&self) -> bool {
        self.retry_due.is_some()
    }

    /// When to retry a failed write; none while a write is pending.
    pub(crate) fn retry_at(&self) -> Option<u64> {
        self.retry_due.filter(|_| self.pending.is_empty())
    }

    /// The log in memory was truncated: entries from `index` on differ from before.
    pub(crate) fn on_truncated(&mut self, index: u64) {
        if index <= self.issued.last_index {
            self.truncate_from = Some(self.truncate_from.map_or(index, |earlier| earlier.min(index)));
            self.issued.last_index = index - 1;
        }
        guard!(TruncationUnsynced, self.synced.last_index = self.synced.last_index.min(index - 1), ());
    }

    /// A leader's snapshot up to `index` replaced the start of the log; `kept_entries`: the entries after it
    /// remained. Up to `commit` the log was, and is, the leader's.
    pub(crate) fn on_snapshot_installed(&mut self, index: u64, kept_entries: bool, commit: u64) {
        if !kept_entries {
            guard!(SnapshotTruncates, self.on_truncated(commit + 1), ());
        }
        self.issued.last_index = self.issued.last_index.max(index);
    }

    /// The next write to issue, if there is anything to write; after a failure, none before the retry is due.
    pub(crate) fn next_write(&mut self, now: u64, me: &Member, hard: HardState, log: &Log) -> Option<Write> {
        // After a failure only one write is pending at a time, so that writes don't pile up.
        if self.retry_due.is_some_and(|retry_at| now < retry_at || !self.pending.is_empty()) {
            return None;
        }
        let snapshot =
            log.snapshot().filter(|snapshot| self.issued.snapshot.is_none_or(|index| index < snapshot.index));
        let from = self.issued.last_index.max(log.snapshot_index()) + 1;
        let result = DiskState {
            has_identity: true,
            hard,
            snapshot: snapshot.map_or(self.issued.snapshot, |snapshot| Some(snapshot.index)),
            last_index: log.last().max(self.issued.last_index),
        };
        let mut write = Write {
            ticket: self.next_ticket,
            after: self.last_ticket,
            me: (!self.issued.has_identity).then(|| me.clone()),
            hard: (self.issued.hard != hard).then_some(hard),
            truncate_from: self.truncate_from,
            snapshot: snapshot.cloned(),
            entries: log.slice(from, log.last(), usize::MAX),
        };
        let empty_write = Write { ticket: write.ticket, after: write.after, ..Write::default() };
        if write == empty_write {
            // Nothing changed. After a failure something is written all the same, to learn whether the disk works
            // again.
            self.retry_due?;
            write.hard = Some(hard);
        }
        self.next_ticket += 1;
        self.last_ticket = write.ticket;
        self.pending.push_back(PendingWrite {
            ticket: write.ticket,
            truncate_from: self.truncate_from.take(),
            result,
        });
        self.issued = result;
        Some(write)
    }

    /// All writes up to `ticket` are synced. Returns false for a write that is no longer valid.
    pub(crate) fn on_written(&mut self, ticket: u64) -> bool {
        let mut any = false;
        while let Some(done) = self.pending.front().copied().filter(|write| write.ticket <= ticket) {
            self.pending.pop_front();
            // This write still included entries that a later one deletes: those are not in the log in memory any more.
            let truncations = self.pending.iter().filter_map(|write| write.truncate_from);
            let last_kept = truncations.chain(self.truncate_from).map(|index| index - 1);
            let done_index = done.result.last_index;
            let last_index = guard!(LaterTruncations, last_kept.fold(done_index, u64::min), done_index);
            self.synced = DiskState { last_index: last_index.max(self.synced.last_index), ..done.result };
            any = true;
        }
        if any {
            self.retry_due = None;
        }
        any
    }

    /// The write `ticket` failed, and with it all later ones: any part of them that reached the disk is overwritten
    /// by the next write, at `retry_at` or later. Returns false for a write that is no longer valid.
    pub(crate) fn on_failed(&mut self, ticket: u64, retry_at: u64) -> bool {
        if !self.pending.iter().any(|write| write.ticket == ticket) {
            return false;
        }
        // Earlier writes may still succeed or fail by themselves, but nothing relies on them.
        self.pending.clear();
        self.issued = self.synced;
        self.last_ticket = 0;
        guard!(FailedWriteTruncates, self.truncate_from = Some(self.synced.last_index + 1), ());
        self.retry_due = Some(retry_at);
        true
    }
}
