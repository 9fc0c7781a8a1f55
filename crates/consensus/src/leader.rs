//! State that only a leader has: its peers, heartbeat rounds, open reads and open proposals.

use crate::outputs::ReadTicket;
use crate::peer::Peer;
use nickeljunction_messages::{Member, MemberId};
use std::collections::VecDeque;

/// Rounds whose start time is remembered.
const ROUNDS_KEPT: usize = 64;

/// A read that is not decided yet.
#[derive(Debug, Clone, Hash)]
pub(crate) struct PendingRead {
    pub(crate) ticket: ReadTicket,
    /// Index that must be committed first.
    pub(crate) index: u64,
    /// Round that a majority must answer first.
    pub(crate) round: u64,
}

/// State that only a leader has.
#[derive(Debug, Clone, Hash)]
pub(crate) struct LeaderState {
    /// When the leader requested the votes that elected it.
    votes_requested_at: u64,
    /// Index of the first entry of the leader's own term.
    pub(crate) first_index: u64,
    pub(crate) peers: Vec<Peer>,
    /// Number of the newest round.
    pub(crate) round: u64,
    /// The last rounds, each with the time at which it was started.
    round_starts: VecDeque<(u64, u64)>,
    next_heartbeat_at: u64,
    /// A round is due at once.
    pub(crate) round_requested: bool,
    /// Last index of the log when messages were last sent.
    last_sent_index: u64,
    pub(crate) reads: VecDeque<PendingRead>,
    open_proposals: VecDeque<u64>,
}

impl LeaderState {
    pub(crate) fn new(
        votes_requested_at: u64,
        first_index: u64,
        now: u64,
        other_members: Vec<Member>,
    ) -> LeaderState {
        let peer = |member| Peer::new(member, false, first_index, votes_requested_at);
        LeaderState {
            votes_requested_at,
            first_index,
            peers: other_members.into_iter().map(peer).collect(),
            round: 0,
            round_starts: VecDeque::new(),
            next_heartbeat_at: now,
            round_requested: true,
            last_sent_index: first_index - 1,
            reads: VecDeque::new(),
            open_proposals: VecDeque::new(),
        }
    }

    /// When the leader requested the votes that elected it.
    pub(crate) fn votes_requested_at(&self) -> u64 {
        self.votes_requested_at
    }

    /// Starts a round if a heartbeat is due, or entries were added since the last one; `last_index` is the log's last
    /// entry. Returns true for a heartbeat, which goes to every peer even without entries.
    pub(crate) fn start_round(&mut self, now: u64, last_index: u64, heartbeat_ms: u64) -> bool {
        let heartbeat = self.round_requested || now >= self.next_heartbeat_at;
        if !heartbeat && self.last_sent_index >= last_index {
            return false;
        }
        self.round += 1;
        self.round_starts.push_back((self.round, now));
        if self.round_starts.len() > ROUNDS_KEPT {
            self.round_starts.pop_front();
        }
        // Entries serve as a heartbeat if every peer gets them.
        if heartbeat || self.peers.iter().all(Peer::is_replicating) {
            self.next_heartbeat_at = now + heartbeat_ms;
        }
        self.round_requested = false;
        self.last_sent_index = last_index;
        heartbeat
    }

    /// When the round was started, if that is still remembered.
    pub(crate) fn round_started_at(&self, round: u64) -> Option<u64> {
        self.round_starts.iter().find(|(number, _)| *number == round).map(|(_, started_at)| *started_at)
    }

    /// Proposals up to `commit` are committed and no longer open.
    pub(crate) fn close_proposals(&mut self, commit: u64) {
        while self.open_proposals.front().is_some_and(|index| *index <= commit) {
            self.open_proposals.pop_front();
        }
    }

    /// When the next heartbeat is due.
    pub(crate) fn next_heartbeat_at(&self) -> u64 {
        self.next_heartbeat_at
    }

    /// Records that the entry was proposed here.
    pub(crate) fn record_proposal(&mut self, index: u64) {
        self.open_proposals.push_back(index);
    }

    /// The proposals and reads that are still open when the leader steps down.
    pub(crate) fn into_unresolved(self) -> (VecDeque<u64>, Vec<ReadTicket>) {
        (self.open_proposals, self.reads.into_iter().map(|read| read.ticket).collect())
    }

    /// All members that answered a round started at `since` or later have the entry on their disks.
    pub(crate) fn all_reachable_have(&self, since: u64, index: u64) -> bool {
        let reachable =
            |peer: &&Peer| !peer.learner && peer.acked_at().is_some_and(|acked_at| acked_at >= since);
        self.peers.iter().filter(reachable).all(|peer| peer.match_index() >= index)
    }

    /// The peer with this number.
    pub(crate) fn peer(&self, id: MemberId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.member.id == id)
    }

    /// Starts to replicate to a machine that isn't a member; `last_index` is the log's last entry.
    pub(crate) fn add_learner(&mut self, member: Member, last_index: u64, now: u64) {
        self.peers.push(Peer::new(member, true, last_index + 1, now));
    }
}

/// For the model, which may set a member's clock back as long as all remembered times are shifted with it.
#[cfg(feature = "model")]
impl LeaderState {
    pub(crate) fn shift_times(&mut self, shift: impl Fn(u64) -> u64) {
        self.votes_requested_at = shift(self.votes_requested_at);
        self.next_heartbeat_at = shift(self.next_heartbeat_at);
        self.round_starts.iter_mut().for_each(|(_, started_at)| *started_at = shift(*started_at));
        for peer in &mut self.peers {
            peer.shift_times(&shift);
        }
    }
}
