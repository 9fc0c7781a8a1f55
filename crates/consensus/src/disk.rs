//! What the disk has for sure, what it was told to write, and what it has to be told again after a failure.

use crate::log::Log;
use crate::persistent::{HardState, Write};
use nickeljunction_messages::Member;
use std::collections::VecDeque;

/// What a disk holds, in the order in which it was told.
#[derive(Debug, Clone, Copy, Hash)]
struct Held {
    me: bool,
    hard: HardState,
    /// Index of its newest snapshot.
    snapshot: Option<u64>,
    /// Up to here its log is that in memory.
    last: u64,
}

/// A write that is under way: what holds once it is done, and from where on it deleted entries.
#[derive(Debug, Clone, Copy, Hash)]
struct Underway {
    ticket: u64,
    cut: Option<u64>,
    then: Held,
}

/// The machine's view of its disk.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Disk {
    /// Known to be synced.
    safe: Held,
    /// Once all that was handed over is written.
    told: Held,
    /// Entries from here on, handed over before, are not to be kept.
    cut: Option<u64>,
    underway: VecDeque<Underway>,
    next_ticket: u64,
    /// The newest write that counts, done or under way; 0: none.
    newest: u64,
    /// When a failed write is tried again.
    pub(crate) sick: Option<u64>,
}

impl Disk {
    /// As it was at the start, `new` or with what `log` was read from.
    pub(crate) fn new(new: bool, hard: HardState, log: &Log) -> Disk {
        let kept = !new;
        let safe = Held {
            me: kept,
            hard,
            snapshot: log.snapshot().filter(|_| kept).map(|snapshot| snapshot.index),
            last: log.last(),
        };
        Disk { safe, told: safe, cut: None, underway: VecDeque::new(), next_ticket: 1, newest: 0, sick: None }
    }

    /// Up to here the log in memory is safe on the disk.
    pub(crate) fn stable(&self) -> u64 {
        self.safe.last
    }

    /// This term and vote, and who casts it, would survive a loss of power.
    pub(crate) fn keeps(&self, hard: HardState) -> bool {
        self.safe.me && self.safe.hard == hard && guard!(SickIsSilent, self.sick.is_none(), true)
    }

    /// A write failed, and none has succeeded since.
    pub(crate) fn sick(&self) -> bool {
        self.sick.is_some()
    }

    /// When to try again, where there is something to try.
    pub(crate) fn retry_at(&self) -> Option<u64> {
        self.sick.filter(|_| self.underway.is_empty())
    }

    /// The log in memory was cut: entries from `index` on are others than before.
    pub(crate) fn truncated(&mut self, index: u64) {
        if index <= self.told.last {
            self.cut = Some(self.cut.map_or(index, |cut| cut.min(index)));
            self.told.last = index - 1;
        }
        guard!(CutIsUnsafe, self.safe.last = self.safe.last.min(index - 1), ());
    }

    /// A leader's snapshot up to `index` took the place of the log; `stays`: entries after it remained. `commit`: up to
    /// there the log was and is the leader's.
    pub(crate) fn installed(&mut self, index: u64, stays: bool, commit: u64) {
        if !stays {
            guard!(SnapshotCuts, self.truncated(commit + 1), ());
        }
        self.told.last = self.told.last.max(index);
    }

    /// What is to be written now; at `now` a failed write may be due again.
    pub(crate) fn write(&mut self, now: u64, me: &Member, hard: HardState, log: &Log) -> Option<Write> {
        // While the disk is in trouble one write at a time tries it, so that nothing piles up.
        if self.sick.is_some_and(|retry_at| now < retry_at || !self.underway.is_empty()) {
            return None;
        }
        let snapshot =
            log.snapshot().filter(|snapshot| self.told.snapshot.is_none_or(|told| told < snapshot.index));
        let from = self.told.last.max(log.snapshot_index()) + 1;
        let then = Held {
            me: true,
            hard,
            snapshot: snapshot.map_or(self.told.snapshot, |snapshot| Some(snapshot.index)),
            last: log.last().max(self.told.last),
        };
        let mut write = Write {
            ticket: self.next_ticket,
            after: self.newest,
            me: (!self.told.me).then(|| me.clone()),
            hard: (self.told.hard != hard).then_some(hard),
            truncate_from: self.cut,
            snapshot: snapshot.cloned(),
            entries: log.some(from, log.last(), usize::MAX),
        };
        let nothing = Write { ticket: write.ticket, after: write.after, ..Write::default() };
        if write == nothing {
            // Nothing to do, unless something has to be written to learn whether the disk is well again.
            self.sick?;
            write.hard = Some(hard);
        }
        self.next_ticket += 1;
        self.newest = write.ticket;
        self.underway.push_back(Underway { ticket: write.ticket, cut: self.cut.take(), then });
        self.told = then;
        Some(write)
    }

    /// All writes up to `ticket` are synced. False for a write that counts no more.
    pub(crate) fn written(&mut self, ticket: u64) -> bool {
        let mut any = false;
        while let Some(done) = self.underway.front().copied().filter(|write| write.ticket <= ticket) {
            self.underway.pop_front();
            // What a later write deletes was still there at this one: it is not the log in memory any more.
            let cuts = self.underway.iter().filter_map(|write| write.cut).chain(self.cut);
            let cuts = cuts.map(|cut| cut - 1);
            let last = guard!(LaterCuts, cuts.fold(done.then.last, u64::min), done.then.last);
            self.safe = Held { last: last.max(self.safe.last), ..done.then };
            any = true;
        }
        if any {
            self.sick = None;
        }
        any
    }

    /// The write `ticket` failed, and with it all after it: whatever of them reached the disk is written over by the
    /// next one, at `retry_at` or later. False for a write that counts no more.
    pub(crate) fn failed(&mut self, ticket: u64, retry_at: u64) -> bool {
        if !self.underway.iter().any(|write| write.ticket == ticket) {
            return false;
        }
        // Earlier ones may still succeed or fail by themselves, but nothing is built on that.
        self.underway.clear();
        self.told = self.safe;
        self.newest = 0;
        guard!(FailureCuts, self.cut = Some(self.safe.last + 1), ());
        self.sick = Some(retry_at);
        true
    }
}
