//! The calls that drive the state machine: messages, time, proposals, reads and the results of writes go in, outputs
//! come out.

use crate::entry::{Body, Entry};
use crate::leader::PendingRead;
use crate::messages::{Envelope, Msg};
use crate::outputs::{Outputs, ReadTicket, RequestError};
use crate::state::{Consensus, PendingReply, Role};
use nickeljunction_messages::Member;

/// Entries that may wait for a majority at a time; further proposals are rejected.
const UNCOMMITTED_MAX: usize = 256;

impl Consensus {
    /// Handles a message. One for another member is dropped, one of an earlier term is rejected.
    pub fn step(&mut self, now: u64, envelope: Envelope) {
        self.advance_clock(now);
        self.dispatch(envelope);
    }

    /// Lets time pass; due whenever [`Consensus::next_wake`] is reached. Early and late calls are harmless.
    pub fn tick(&mut self, now: u64) {
        self.advance_clock(now);
        match self.role {
            Role::Leader(_) => self.update_membership(),
            _ => {
                if self.now >= self.election_deadline {
                    self.start_pre_vote();
                }
                self.request_join_if_due();
                if self.leaving && !self.may_stop && self.now >= self.next_leave_at {
                    self.announce_departure();
                }
            }
        }
    }

    /// When [`Consensus::tick`] is due, by the clock of `now`, ms.
    pub fn next_wake(&self) -> u64 {
        let next = match &self.role {
            Role::Leader(leader_state) => leader_state.next_heartbeat_at(),
            _ if self.leaving && !self.may_stop => {
                self.election_deadline.min(self.next_join_attempt()).min(self.next_leave_at)
            }
            _ => self.election_deadline.min(self.next_join_attempt()),
        };
        self.disk.retry_at().map_or(next, |retry_at| next.min(retry_at))
    }

    /// Proposes an entry and returns its index. The entry is committed when [`Outputs::committed`] has that index
    /// with the leader's term at the time of the call; if [`Outputs::unresolved`] lists the index, its outcome is
    /// unknown.
    ///
    /// # Errors
    /// If this member doesn't lead, isn't [`Consensus::ready`], or too many entries wait to be committed.
    pub fn propose(&mut self, now: u64, data: String) -> Result<u64, RequestError> {
        self.advance_clock(now);
        let ready = self.ready();
        let term = self.hard.term;
        let waiting = (self.log.last() - self.commit) as usize;
        let Role::Leader(leader_state) = &mut self.role else {
            return Err(RequestError::NotLeader(self.leader.clone()));
        };
        if !ready {
            return Err(RequestError::NotReady(term));
        }
        if waiting >= UNCOMMITTED_MAX {
            return Err(RequestError::Busy(waiting));
        }
        let index = self.log.last() + 1;
        leader_state.record_proposal(index);
        self.log.push(Entry { index, term, body: Body::Data(data) });
        Ok(index)
    }

    /// Requests a read: once [`Outputs::reads`] has the ticket as true, the state with all [`Outputs::committed`]
    /// applied shows everything that was committed before this call.
    ///
    /// # Errors
    /// If this member doesn't lead. Before it is [`Consensus::ready`] the read waits.
    pub fn read(&mut self, now: u64) -> Result<ReadTicket, RequestError> {
        self.advance_clock(now);
        let commit = self.commit;
        let Role::Leader(leader_state) = &mut self.role else {
            return Err(RequestError::NotLeader(self.leader.clone()));
        };
        let ticket = self.next_read_ticket;
        self.next_read_ticket += 1;
        // Only the first commit of its own term shows a leader which entries of earlier terms are committed.
        let index = guard!(ReadOwnTerm, commit.max(leader_state.first_index), commit);
        leader_state.reads.push_back(PendingRead {
            ticket,
            index,
            round: guard!(ReadNextRound, leader_state.round + 1, leader_state.round),
        });
        leader_state.round_requested = true;
        Ok(ticket)
    }

    /// The write `ticket`, and all before it, is synced.
    pub fn written(&mut self, now: u64, ticket: u64) {
        self.advance_clock(now);
        let synced_before = self.disk.synced_index();
        if !self.disk.on_written(ticket) {
            return;
        }
        match self.role {
            Role::Leader(_) => self.advance_commit(),
            _ if self.disk.synced_index() > synced_before
                && self.leader.is_some()
                && self.pending_reply == PendingReply::None =>
            {
                self.pending_reply = PendingReply::Accepted;
            }
            _ => {}
        }
    }

    /// The write `ticket` failed, or may have failed; all later ones count as failed too. A leader steps down, and this
    /// member neither votes nor acknowledges entries until a later write has succeeded. After
    /// [`crate::Tuning::write_retry_ms`] [`Consensus::take_outputs`] gives a write that covers everything missing.
    pub fn write_failed(&mut self, now: u64, ticket: u64) {
        self.advance_clock(now);
        if self.disk.on_failed(ticket, self.now + self.tuning.write_retry_ms) {
            self.announce_resignation();
            if !matches!(self.role, Role::Follower) {
                self.become_follower(self.hard.term);
            }
        }
    }

    /// Provides the program's own state after the entry at `index`, which it has applied, so that entries up to it
    /// may be dropped. Ignored if a newer snapshot exists.
    pub fn snapshot(&mut self, now: u64, index: u64, state: String) {
        self.advance_clock(now);
        if index <= self.delivered {
            self.log.compact(index, state);
        }
    }

    /// Adds hosts (IP addresses, as in [`Member::host`]) where members may be: used while this machine isn't a
    /// member, or has had no contact with a leader for a long time.
    pub fn add_seed_hosts(&mut self, hosts: &[String]) {
        for host in hosts {
            self.remember_host(host);
        }
        self.next_join_at = self.now;
    }

    /// For a program that is about to stop: if a standby exists, it replaces this member. The program keeps running
    /// until [`Consensus::may_stop`], or until it has waited long enough, and then calls [`Consensus::resign`].
    pub fn leave(&mut self, now: u64) {
        self.advance_clock(now);
        self.leaving = true;
        if matches!(self.role, Role::Leader(_)) {
            return self.update_membership();
        }
        self.may_stop = !self.is_member() && !self.is_being_removed();
        self.announce_departure();
    }

    /// Announces to the leader that this member is about to stop. Repeated, as the leader may have changed.
    fn announce_departure(&mut self) {
        self.next_leave_at = self.now + self.tuning.join_interval_ms;
        if let Some(leader) = self.leader.clone().filter(|leader| leader.id != self.me.id) {
            self.send(&leader, Msg::Resign);
        }
    }

    /// After [`Consensus::leave`]: this member has been replaced, or there is no standby to replace it.
    pub fn may_stop(&self) -> bool {
        self.may_stop
    }

    /// Stops leading at once and tells the other members not to wait for this one: for a program that is about to stop.
    pub fn resign(&mut self, now: u64) {
        self.advance_clock(now);
        self.announce_resignation();
        if matches!(self.role, Role::Leader(_)) {
            self.become_follower(self.hard.term);
        }
    }

    /// Time, ms, since the start of the newest heartbeat round that a majority, this member included, has answered:
    /// at that start nobody else led in a later term with their votes. None if this member doesn't lead, or before
    /// the first answers.
    pub fn quorum_age(&self, now: u64) -> Option<u64> {
        self.quorum_contact_at(now.max(self.now)).map(|contact_at| now.saturating_sub(contact_at))
    }

    /// The work to do now. To be called after every call that takes `now`; the crate's documentation gives the order.
    pub fn take_outputs(&mut self) -> Outputs {
        // Replies that waited for the disk come first: a vote may make this member the leader, whose first entry has
        // to be written.
        self.send_pending_replies();
        if let Some(write) = self.disk.next_write(self.now, &self.me, self.hard, &self.log) {
            self.outputs.writes.push(write);
        }
        self.replicate();
        self.settle_reads();
        while self.delivered < self.commit {
            let Some(entry) = self.log.get(self.delivered + 1) else { break };
            self.outputs.committed.push(entry.clone());
            self.delivered += 1;
        }
        std::mem::take(&mut self.outputs)
    }

    /// Moves the clock on. A leader that was suspended steps down here before it does anything with its outdated state.
    fn advance_clock(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.check_quorum();
    }

    /// Handles a message according to its receiver and its term.
    pub(crate) fn dispatch(&mut self, envelope: Envelope) {
        let Envelope { from, to, term, msg } = envelope;
        if from.id == self.me.id {
            return;
        }
        if to != self.me.id && !(to == 0 && matches!(msg, Msg::Join)) {
            // The message is for an earlier member at this host: it only shows where another member is.
            if !self.is_member() {
                self.remember_host(&from.host);
            }
            return;
        }
        self.update_departing(from.id, &msg);
        match msg {
            // The term of these messages binds nobody.
            Msg::PreVote { last_index, last_term } => {
                return self.on_pre_vote(&from, term, last_index, last_term)
            }
            Msg::PreVoteReply { asked_term, granted, free_checksum } => {
                return self.on_pre_vote_reply(&from, term, asked_term, granted, free_checksum)
            }
            Msg::Join => return self.on_join(&from),
            Msg::Redirect { leader } => return self.on_redirect(&leader),
            _ => {}
        }
        if guard!(StaleTermRejected, term < self.hard.term, false) {
            return self.reject_stale_term(&from, msg);
        }
        if term > self.hard.term {
            if matches!(msg, Msg::RequestVote { .. }) && guard!(LeaderLease, self.has_leader(), false) {
                // The candidate asked before this member had contact with the leader, or can't reach the leader itself.
                return;
            }
            self.become_follower(term);
        }
        match msg {
            Msg::RequestVote { last_index, last_term } => self.on_request_vote(&from, last_index, last_term),
            Msg::VoteReply { granted } => self.on_vote_reply(from.id, granted),
            Msg::Append { prev_index, prev_term, entries, commit, round } => {
                self.accept_leader(&from, round);
                self.on_append(prev_index, prev_term, entries, commit);
            }
            Msg::InstallSnapshot { snapshot, round } => {
                self.accept_leader(&from, round);
                self.on_install_snapshot(*snapshot);
            }
            Msg::AppendReply { index, round, rejected } => {
                self.on_append_reply(from.id, index, round, rejected)
            }
            Msg::Resign => self.on_resign(&from),
            Msg::PreVote { .. } | Msg::PreVoteReply { .. } | Msg::Join | Msg::Redirect { .. } => {}
        }
    }

    /// Replies to a message of an earlier term, so that its sender receives the current one; otherwise ignores it.
    fn reject_stale_term(&mut self, from: &Member, msg: Msg) {
        match msg {
            Msg::RequestVote { .. } => self.send(from, Msg::VoteReply { granted: false }),
            Msg::Append { prev_index, .. } => {
                self.send(from, Msg::AppendReply { index: 0, round: 0, rejected: Some(prev_index) });
            }
            Msg::InstallSnapshot { .. } => {
                self.send(from, Msg::AppendReply { index: 0, round: 0, rejected: Some(0) })
            }
            _ => {}
        }
    }

    /// Sends the replies and vote requests that had to wait for the disk, if it allows them now.
    fn send_pending_replies(&mut self) {
        if !guard!(VoteSynced, self.disk.has_synced(self.hard), true) {
            return;
        }
        if let Some(candidate) = self.pending_vote.take() {
            self.send(&candidate, Msg::VoteReply { granted: true });
        }
        self.request_votes();
        let Some(leader) = self.leader.clone().filter(|leader| leader.id != self.me.id) else { return };
        let synced_index = guard!(EntriesSynced, self.disk.synced_index(), self.log.last());
        let index = guard!(AckVerified, synced_index.min(self.verified_index), synced_index);
        let round = self.round;
        match std::mem::replace(&mut self.pending_reply, PendingReply::None) {
            PendingReply::None => {}
            PendingReply::Accepted => self.send(&leader, Msg::AppendReply { index, round, rejected: None }),
            PendingReply::Rejected { prev_index, hint } => {
                self.send(&leader, Msg::AppendReply { index: hint, round, rejected: Some(prev_index) });
            }
        }
    }
}
