//! The calls that drive the machine: messages, time, proposals, reads and what the disk did go in, outputs come out.

use crate::entry::{Body, Entry};
use crate::leader::PendingRead;
use crate::messages::{Envelope, Msg};
use crate::outputs::{Outputs, ReadTicket, RequestError};
use crate::state::{Consensus, Owed, Role};
use nickeljunction_messages::Member;

/// More entries than this don't wait for a majority at a time.
const WAITING_MAX: usize = 256;

impl Consensus {
    /// Takes a message. One for another member, or of a term that is over, is dropped or refused.
    pub fn step(&mut self, now: u64, envelope: Envelope) {
        self.pass(now);
        self.dispatch(envelope);
    }

    /// Lets time pass; due whenever [`Consensus::next_wake`] is reached. Early and late calls are harmless.
    pub fn tick(&mut self, now: u64) {
        self.pass(now);
        match self.role {
            Role::Leader(_) => self.govern(),
            _ => {
                if self.now >= self.deadline {
                    self.start_pre_vote();
                }
                self.seek_core();
                if self.leaves && !self.may_end && self.now >= self.leave_at {
                    self.send_leaving();
                }
            }
        }
    }

    /// When [`Consensus::tick`] is due, by the clock of `now`, ms.
    pub fn next_wake(&self) -> u64 {
        let next = match &self.role {
            Role::Leader(lead) => lead.beat_at(),
            _ if self.leaves && !self.may_end => self.deadline.min(self.next_seek()).min(self.leave_at),
            _ => self.deadline.min(self.next_seek()),
        };
        self.disk.retry_at().map_or(next, |retry_at| next.min(retry_at))
    }

    /// Proposes an entry and returns its index. It is committed when it comes out of [`Outputs::committed`] with the
    /// leader's term of now, or lost when [`Outputs::unresolved`] names it.
    ///
    /// # Errors
    /// Where this member doesn't lead, isn't [`Consensus::ready`], or too much is waiting.
    pub fn propose(&mut self, now: u64, data: String) -> Result<u64, RequestError> {
        self.pass(now);
        let ready = self.ready();
        let term = self.hard.term;
        let waiting = (self.log.last() - self.commit) as usize;
        let Role::Leader(lead) = &mut self.role else {
            return Err(RequestError::NotLeader(self.leader.clone()));
        };
        if !ready {
            return Err(RequestError::NotReady(term));
        }
        if waiting >= WAITING_MAX {
            return Err(RequestError::Busy(waiting));
        }
        let index = self.log.last() + 1;
        lead.proposed(index);
        self.log.push(Entry { index, term, body: Body::Data(data) });
        Ok(index)
    }

    /// Asks to read: once the ticket comes out of [`Outputs::reads`] as true, the state with all [`Outputs::committed`]
    /// applied shows everything that was committed before this call.
    ///
    /// # Errors
    /// Where this member doesn't lead. Before it is [`Consensus::ready`] the read waits.
    pub fn read(&mut self, now: u64) -> Result<ReadTicket, RequestError> {
        self.pass(now);
        let commit = self.commit;
        let Role::Leader(lead) = &mut self.role else {
            return Err(RequestError::NotLeader(self.leader.clone()));
        };
        let ticket = self.next_read;
        self.next_read += 1;
        // A leader learns with the first commit of its own term what its predecessors committed.
        let index = guard!(ReadOwnTerm, commit.max(lead.start), commit);
        lead.reads.push_back(PendingRead {
            ticket,
            index,
            round: guard!(ReadNextRound, lead.round + 1, lead.round),
        });
        lead.want_round = true;
        Ok(ticket)
    }

    /// The write `ticket`, and all before it, is synced.
    pub fn written(&mut self, now: u64, ticket: u64) {
        self.pass(now);
        let stable = self.disk.stable();
        if !self.disk.written(ticket) {
            return;
        }
        match self.role {
            Role::Leader(_) => self.advance(),
            _ if self.disk.stable() > stable && self.leader.is_some() && self.owed == Owed::Nothing => {
                self.owed = Owed::AppendReply;
            }
            _ => {}
        }
    }

    /// The write `ticket` failed, or may have; so are all after it taken to have. A leader steps down, and this member
    /// neither votes nor vouches for entries until a later write has succeeded; [`Consensus::take_outputs`] gives one after
    /// [`Tuning::write_retry_ms`] that covers all that is missing.
    pub fn write_failed(&mut self, now: u64, ticket: u64) {
        self.pass(now);
        if self.disk.failed(ticket, self.now + self.tuning.write_retry_ms) {
            self.hand_over();
            if !matches!(self.role, Role::Follower) {
                self.follow(self.hard.term);
            }
        }
    }

    /// The program's own state after the entry at `index`, which it has applied: entries up to it may be forgotten.
    /// Ignored where a newer snapshot exists.
    pub fn snapshot(&mut self, now: u64, index: u64, state: String) {
        self.pass(now);
        if index <= self.delivered {
            self.log.compact(index, state);
        }
    }

    /// Hosts (IP addresses, as in [`Member::host`]) where members may be: used while this machine isn't a member, or has
    /// heard of no leader for long.
    pub fn add_seed_hosts(&mut self, hosts: &[String]) {
        for host in hosts {
            self.learn_host(host);
        }
        self.join_at = self.now;
    }

    /// For a program that is about to end: where another machine stands by, it is to come in the place of this one, which
    /// goes on until [`Consensus::may_stop`], or until it has waited enough; then it resigns.
    pub fn leave(&mut self, now: u64) {
        self.pass(now);
        self.leaves = true;
        if matches!(self.role, Role::Leader(_)) {
            return self.govern();
        }
        self.may_end = !self.is_member() && !self.goes();
        self.send_leaving();
    }

    /// Tells the leader that this one is about to end; again, as it may be another one by now.
    fn send_leaving(&mut self) {
        self.leave_at = self.now + self.tuning.join_interval_ms;
        if let Some(leader) = self.leader.clone().filter(|leader| leader.id != self.me.id) {
            self.send(&leader, Msg::Resign);
        }
    }

    /// After [`Consensus::leave`]: its place is taken, or nobody stands by to take it.
    pub fn may_stop(&self) -> bool {
        self.may_end
    }

    /// Stops leading at once and tells the others not to wait: for a program that is about to end.
    pub fn resign(&mut self, now: u64) {
        self.pass(now);
        self.hand_over();
        if matches!(self.role, Role::Leader(_)) {
            self.follow(self.hard.term);
        }
    }

    /// So long ago, ms, was the newest heartbeat round begun that a majority has answered, this member with it: at that
    /// time nobody else led in a later term with their votes. None for one that doesn't lead, or before the first answer.
    pub fn quorum_age(&self, now: u64) -> Option<u64> {
        self.quorum_at(now.max(self.now)).map(|at| now.saturating_sub(at))
    }

    /// What is to be done now. To be called after every call that takes `now`; see the crate's page for the order.
    pub fn take_outputs(&mut self) -> Outputs {
        // First what waited for the disk: it may make a leader, whose first entry is to be written.
        self.send_owed();
        if let Some(write) = self.disk.write(self.now, &self.me, self.hard, &self.log) {
            self.out.writes.push(write);
        }
        self.replicate();
        self.settle_reads();
        while self.delivered < self.commit {
            let Some(entry) = self.log.get(self.delivered + 1) else { break };
            self.out.committed.push(entry.clone());
            self.delivered += 1;
        }
        std::mem::take(&mut self.out)
    }

    /// Moves the clock on. A leader that was frozen learns here, before anything else, that its word may be stale.
    fn pass(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.check_quorum();
    }

    /// Sorts a message by whom it is for and by its term.
    pub(crate) fn dispatch(&mut self, envelope: Envelope) {
        let Envelope { from, to, term, msg } = envelope;
        if from.id == self.me.id {
            return;
        }
        if to != self.me.id && !(to == 0 && matches!(msg, Msg::Join)) {
            // For whoever had this host before: a place to ask, no more.
            if !self.is_member() {
                self.learn_host(&from.host);
            }
            return;
        }
        self.note_ending(from.id, &msg);
        match msg {
            // These carry no term that binds: a question, an answer to one, a stranger's wish and a hint.
            Msg::PreVote { last, last_term } => return self.on_pre_vote(&from, term, last, last_term),
            Msg::PreVoteReply { asked, yes, free } => {
                return self.on_pre_vote_reply(&from, term, asked, yes, free)
            }
            Msg::Join => return self.on_join(&from),
            Msg::Redirect { leader } => return self.on_redirect(&leader),
            _ => {}
        }
        if guard!(OldTermRefused, term < self.hard.term, false) {
            return self.refuse_old(&from, msg);
        }
        if term > self.hard.term {
            if matches!(msg, Msg::RequestVote { .. }) && guard!(LeaderHeard, self.has_leader(), false) {
                // It asked before this member heard of the leader, or can't hear it itself.
                return;
            }
            self.follow(term);
        }
        match msg {
            Msg::RequestVote { last, last_term } => self.on_request_vote(&from, last, last_term),
            Msg::VoteReply { yes } => self.on_vote_reply(from.id, yes),
            Msg::Append { prev, prev_term, entries, commit, round } => {
                self.accept_leader(&from, round);
                self.on_append(prev, prev_term, entries, commit);
            }
            Msg::InstallSnapshot { snapshot, round } => {
                self.accept_leader(&from, round);
                self.on_install_snapshot(*snapshot);
            }
            Msg::AppendReply { index, round, refused } => {
                self.on_append_reply(from.id, index, round, refused)
            }
            Msg::Resign => self.on_resign(&from),
            Msg::PreVote { .. } | Msg::PreVoteReply { .. } | Msg::Join | Msg::Redirect { .. } => {}
        }
    }

    /// Tells the sender of an old term which one it is; nothing else is done with its message.
    fn refuse_old(&mut self, from: &Member, msg: Msg) {
        match msg {
            Msg::RequestVote { .. } => self.send(from, Msg::VoteReply { yes: false }),
            Msg::Append { prev, .. } => {
                self.send(from, Msg::AppendReply { index: 0, round: 0, refused: Some(prev) });
            }
            Msg::InstallSnapshot { .. } => {
                self.send(from, Msg::AppendReply { index: 0, round: 0, refused: Some(0) })
            }
            _ => {}
        }
    }

    /// What had to wait for the disk and may go out now.
    fn send_owed(&mut self) {
        if !guard!(VoteSynced, self.disk.keeps(self.hard), true) {
            return;
        }
        if let Some(candidate) = self.owed_vote.take() {
            self.send(&candidate, Msg::VoteReply { yes: true });
        }
        self.request_votes();
        let Some(leader) = self.leader.clone().filter(|leader| leader.id != self.me.id) else { return };
        let stable = guard!(EntriesSynced, self.disk.stable(), self.log.last());
        let kept = guard!(KeptVerified, stable.min(self.verified), stable);
        let round = self.round;
        match std::mem::replace(&mut self.owed, Owed::Nothing) {
            Owed::Nothing => {}
            Owed::AppendReply => self.send(&leader, Msg::AppendReply { index: kept, round, refused: None }),
            Owed::Refusal { prev, hint } => {
                self.send(&leader, Msg::AppendReply { index: hint, round, refused: Some(prev) });
            }
        }
    }
}
