//! Another member as its leader sees it: the part of the log that it has, and the entries to send to it next.

use crate::entry::Entry;
use crate::log::Log;
use crate::messages::Msg;
use nickeljunction_messages::Member;
use std::collections::VecDeque;

/// Size of the entries in one message, bytes; an entry larger than this goes out alone.
const BATCH_BYTES: usize = 4 * 1024;
/// Size of the entries in flight to a member at a time, bytes. Any reply of the member, to a heartbeat too, comes after
/// these: over a slow link (0.4 Mbit/s) they must take less than the shortest election time, after which leases end.
const INFLIGHT_BYTES_MAX: usize = 2 * BATCH_BYTES;
/// Messages with entries in flight to a member at a time.
const INFLIGHT_MESSAGES_MAX: usize = 16;
/// An unanswered snapshot is sent again after this time, ms, if the member has answered anything since.
const SNAPSHOT_RESEND_MS: u64 = 500;

/// How entries are sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mode {
    /// At once, without waiting for replies.
    Replicate,
    /// Not before the member has answered an empty append.
    Probe,
    /// Not before the member has a snapshot; the time is that of the last sending.
    Snapshot(Option<u64>),
}

/// Another member, or a learner, as its leader sees it.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// It isn't a member and doesn't count.
    pub(crate) learner: bool,
    /// Index of the next entry to send; the entries before it are assumed to be there.
    next_index: u64,
    /// `next_index` returns to this if the peer falls silent before it has acknowledged anything.
    fallback_index: u64,
    /// Up to this index the leader's log is on the peer's disk.
    match_index: u64,
    /// The newest round in which the peer acknowledged that.
    accepted_round: u64,
    mode: Mode,
    /// Last entry of each unanswered message, and its size in bytes.
    inflight: VecDeque<(u64, usize)>,
    /// The newest round that the peer answered.
    answered_round: u64,
    /// When that round was started.
    acked_at: Option<u64>,
    /// When the peer was added.
    added_at: u64,
    /// An empty append is due at once.
    probe_due: bool,
}

impl Peer {
    pub(crate) fn new(member: Member, learner: bool, next_index: u64, added_at: u64) -> Peer {
        Peer {
            member,
            learner,
            next_index,
            fallback_index: next_index,
            match_index: 0,
            accepted_round: 0,
            mode: if learner { Mode::Probe } else { Mode::Replicate },
            inflight: VecDeque::new(),
            answered_round: 0,
            acked_at: None,
            added_at,
            probe_due: learner,
        }
    }

    /// The peer was reachable at this time; before its first answer, the time at which it was added.
    pub(crate) fn last_answer_at(&self) -> u64 {
        self.acked_at.unwrap_or(self.added_at)
    }

    /// Up to this index the peer has acknowledged the leader's log as on its disk.
    pub(crate) fn match_index(&self) -> u64 {
        self.match_index
    }

    /// When the newest round that the peer answered was started.
    pub(crate) fn acked_at(&self) -> Option<u64> {
        self.acked_at
    }

    /// The newest round that the peer answered.
    pub(crate) fn answered_round(&self) -> u64 {
        self.answered_round
    }

    /// Entries are sent to the peer without waiting for replies.
    pub(crate) fn is_replicating(&self) -> bool {
        self.mode == Mode::Replicate
    }

    /// Records an answer to `round`, which was started at `started_at` if that is still remembered.
    pub(crate) fn record_answer(&mut self, round: u64, started_at: Option<u64>) {
        self.answered_round = self.answered_round.max(round);
        self.acked_at = self.acked_at.max(started_at);
    }

    /// The peer has answered, and has everything up to `index` on its disk.
    pub(crate) fn has_up_to(&self, index: u64) -> bool {
        self.acked_at.is_some() && self.match_index >= index
    }

    /// Stops sending entries until the peer answers a probe: what it received is unknown.
    pub(crate) fn probe(&mut self) {
        self.mode = Mode::Probe;
        self.next_index = self.fallback_index.max(self.match_index + 1);
        self.inflight.clear();
    }

    /// Probes the peer without waiting for the next heartbeat.
    pub(crate) fn probe_now(&mut self) {
        self.probe();
        self.probe_due = true;
    }

    /// The limits on entries in flight allow another message.
    fn may_send(&self) -> bool {
        let bytes: usize = self.inflight.iter().map(|(_, bytes)| bytes).sum();
        self.inflight.len() < INFLIGHT_MESSAGES_MAX && bytes < INFLIGHT_BYTES_MAX
    }

    /// The messages to send now; with `heartbeat`, at least one, empty if there are no entries to send.
    pub(crate) fn messages_due(
        &mut self,
        log: &Log,
        commit: u64,
        round: u64,
        now: u64,
        heartbeat: bool,
    ) -> Vec<Msg> {
        let mut messages = Vec::new();
        // Also checked if the limits on entries in flight allow no message: if all of these were lost, no entry that is
        // still in the log follows on the peer's log, and an empty append would get no rejection to recover by.
        if self.mode == Mode::Replicate && log.term(self.next_index - 1).is_none() {
            self.mode = Mode::Snapshot(None);
            self.inflight.clear();
        }
        if self.mode == Mode::Replicate {
            while self.next_index <= log.last() && self.may_send() {
                let prev_index = self.next_index - 1;
                let Some(prev_term) = log.term(prev_index) else {
                    self.mode = Mode::Snapshot(None);
                    self.inflight.clear();
                    break;
                };
                let entries = log.slice(self.next_index, log.last(), guard!(LargeBatches, BATCH_BYTES, 1));
                self.next_index += entries.len() as u64;
                self.inflight.push_back((self.next_index - 1, entries.iter().map(Entry::size).sum()));
                messages.push(Msg::Append { prev_index, prev_term, entries, commit, round });
            }
        }
        if let (Mode::Snapshot(sent_at), Some(snapshot)) = (self.mode, log.snapshot()) {
            let resend_due = |sent_at: u64| {
                heartbeat && now >= sent_at + SNAPSHOT_RESEND_MS && self.last_answer_at() > sent_at
            };
            if sent_at.is_none_or(resend_due) {
                self.mode = Mode::Snapshot(Some(now));
                messages.push(Msg::InstallSnapshot { snapshot: Box::new(snapshot.clone()), round });
            }
        }
        if messages.is_empty() && (heartbeat || self.probe_due) {
            // If the log no longer has the entry before the next one, index 0 will do: there all logs agree.
            let prev_index = self.next_index - 1;
            let prev_term = log.term(prev_index).filter(|_| !matches!(self.mode, Mode::Snapshot(_)));
            let (prev_index, prev_term) = prev_term.map_or((0, 0), |term| (prev_index, term));
            messages.push(Msg::Append { prev_index, prev_term, entries: Vec::new(), commit, round });
        }
        self.probe_due = false;
        messages
    }

    /// In `round` the peer acknowledged everything up to `index` as on its disk.
    pub(crate) fn on_accepted(&mut self, index: u64, round: u64, base: u64) {
        self.match_index = self.match_index.max(index);
        self.accepted_round = self.accepted_round.max(round);
        while self.inflight.front().is_some_and(|(last, _)| *last <= self.match_index) {
            self.inflight.pop_front();
        }
        if self.mode == Mode::Probe || (matches!(self.mode, Mode::Snapshot(_)) && self.match_index >= base) {
            self.mode = Mode::Replicate;
        }
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// In `round` the peer rejected an append: its log doesn't have the entry `prev_index`; the logs may agree at
    /// `hint`.
    pub(crate) fn on_rejected(&mut self, prev_index: u64, hint: u64, round: u64) {
        if prev_index <= self.match_index && round > self.accepted_round {
            // The peer had acknowledged this very entry before: its disk has lost it. From now on the peer counts for
            // what it still has, and the rest is sent again.
            self.match_index = hint.min(prev_index - 1);
        }
        let stale = prev_index <= self.match_index
            || matches!(self.mode, Mode::Snapshot(_))
            || (self.mode == Mode::Probe && prev_index != self.next_index - 1);
        if !stale {
            self.fallback_index = hint.min(prev_index - 1).max(self.match_index) + 1;
            self.probe_now();
        }
    }
}

/// For the model: see [`crate::Consensus::set_clock`].
#[cfg(feature = "model")]
impl Peer {
    pub(crate) fn shift_times(&mut self, shift: impl Fn(u64) -> u64) {
        self.added_at = shift(self.added_at);
        self.acked_at = self.acked_at.map(&shift);
        if let Mode::Snapshot(Some(sent_at)) = &mut self.mode {
            *sent_at = shift(*sent_at);
        }
    }
}
