//! The machine itself: what it knows, its calls, and how outputs are put together.

use crate::disk::Disk;
use crate::log::Log;
use crate::messages::{
    Away, Body, Entry, Envelope, Hard, Msg, NotLeader, Outputs, ReadTicket, Restored, Tuning,
};
use crate::replication::{Lead, PendingRead};
use nickeljunction_messages::{Member, MemberId};
use std::collections::VecDeque;

/// More entries than this don't wait for a majority at a time.
const WAITING_MAX: usize = 256;

/// What a member is at the moment.
#[derive(Debug, Clone, Hash)]
pub(crate) enum Role {
    /// It follows a leader, or waits for one.
    Following,
    /// It asks whether it would be voted for; those that said yes.
    Asking(Vec<MemberId>),
    /// It stands for election: those that voted for it, and since when its own vote is out.
    Standing { yes: Vec<MemberId>, since: u64, sent: bool },
    /// It leads.
    Leading(Box<Lead>),
}

/// What a follower owes its leader, once the disk allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Owed {
    /// Nothing.
    Nothing,
    /// To say what it keeps.
    Kept,
    /// To say that it hasn't entry `prev`, and that the logs may agree at `hint`.
    Refusal { prev: u64, hint: u64 },
}

/// A member that comes back may have answered a leader just before its end, whose lease counts on it for
/// `election_min_ms`. It is bound for as long, or until each other member has said that it neither leads nor follows:
/// that leader is over then, and won't lead in the same term again.
#[derive(Debug, Default)]
#[cfg_attr(feature = "model", derive(Clone, Hash))]
pub(crate) struct Bound {
    /// Members that said so.
    pub(crate) free: Vec<MemberId>,
    /// Members that were asked in return.
    pub(crate) asked: Vec<MemberId>,
}

/// A member of the core's agreement. See the crate's page for how it is driven.
#[derive(Debug)]
#[cfg_attr(feature = "model", derive(Clone))]
pub struct Consensus {
    pub(crate) me: Member,
    pub(crate) tuning: Tuning,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: u64,
    pub(crate) hard: Hard,
    pub(crate) log: Log,
    pub(crate) disk: Disk,
    pub(crate) commit: u64,
    pub(crate) delivered: u64,
    pub(crate) role: Role,
    /// Who leads in this term, as far as known, and when it was last heard.
    pub(crate) leader: Option<Member>,
    pub(crate) heard_at: Option<u64>,
    /// What an earlier life of this member may have said still binds it.
    pub(crate) bound: Option<Bound>,
    /// So many times it asks again soon where its question was not answered well.
    pub(crate) hurry: u32,
    /// Since when there was no leader for this member; while there is one, the time of its last word.
    pub(crate) alone_since: u64,
    /// When to stand for election.
    pub(crate) deadline: u64,
    /// Up to here the log is known to be the leader's of this term.
    pub(crate) verified: u64,
    /// Newest round heard of the leader of this term.
    pub(crate) round: u64,
    pub(crate) owed: Owed,
    /// Who got this term's vote and hasn't been told.
    pub(crate) owed_vote: Option<Member>,
    /// Hosts where the core may be, and when to ask there next to be taken in.
    pub(crate) hosts: VecDeque<String>,
    pub(crate) join_at: u64,
    /// Who is not to be a member, by operators' word.
    pub(crate) away: Vec<Away>,
    /// Who is to be one, by operators' word.
    pub(crate) called: Option<String>,
    /// Members that said that they are about to end, and when; this one among them where it leads.
    pub(crate) ending: Vec<(Member, u64)>,
    /// This one is about to end.
    pub(crate) leaves: bool,
    /// When it says so next.
    pub(crate) leave_at: u64,
    /// It need not stay any longer.
    pub(crate) may_end: bool,
    /// When a hint to a leader was last followed.
    pub(crate) pointed_at: Option<u64>,
    pub(crate) next_read: ReadTicket,
    pub(crate) out: Outputs,
}

impl Consensus {
    /// Starts from what the disk kept. `seed` is for the random part of election times and differs between machines;
    /// `now` is the time of a steady clock, ms, as in all calls.
    pub fn new(restored: Restored, tuning: Tuning, seed: u64, now: u64) -> Consensus {
        let log = Log::new(restored.snapshot, restored.entries);
        let disk = Disk::new(restored.new, restored.hard, &log);
        let snapshot = log.snapshot_index();
        let bound = guard!(RestartWaits, (!restored.new).then(Bound::default), None);
        let heard_at = bound.is_some().then_some(now);
        let mut consensus = Consensus {
            me: restored.me,
            tuning,
            rng: fastrand::Rng::with_seed(seed),
            now,
            hard: restored.hard,
            disk,
            commit: snapshot,
            delivered: snapshot,
            role: Role::Following,
            leader: None,
            heard_at,
            bound,
            hurry: 0,
            alone_since: now,
            deadline: now,
            verified: 0,
            round: 0,
            owed: Owed::Nothing,
            owed_vote: None,
            hosts: VecDeque::new(),
            join_at: now,
            away: Vec::new(),
            called: None,
            ending: Vec::new(),
            leaves: false,
            leave_at: now,
            may_end: false,
            pointed_at: None,
            next_read: 1,
            out: Outputs {
                restored_state: log.snapshot().filter(|snapshot| snapshot.index > 0).cloned(),
                ..Outputs::default()
            },
            log,
        };
        // One that comes back asks at once: all of the core may have been away.
        if consensus.bound.is_none() {
            consensus.put_off_election();
        }
        consensus
    }

    /// Takes a message. One for another member, or of a term that is over, is dropped or refused.
    pub fn step(&mut self, now: u64, envelope: Envelope) {
        self.pass(now);
        self.take_message(envelope);
    }

    /// Lets time pass; due whenever [`Consensus::next_wake`] is reached. Early and late calls are harmless.
    pub fn tick(&mut self, now: u64) {
        self.pass(now);
        match self.role {
            Role::Leading(_) => self.govern(),
            _ => {
                if self.now >= self.deadline {
                    self.ask();
                }
                self.seek_core();
                if self.leaves && !self.may_end && self.now >= self.leave_at {
                    self.say_leaving();
                }
            }
        }
    }

    /// When [`Consensus::tick`] is due, by the clock of `now`, ms.
    pub fn next_wake(&self) -> u64 {
        let next = match &self.role {
            Role::Leading(lead) => lead.beat_at(),
            _ if self.leaves && !self.may_end => self.deadline.min(self.next_seek()).min(self.leave_at),
            _ => self.deadline.min(self.next_seek()),
        };
        self.disk.retry_at().map_or(next, |retry_at| next.min(retry_at))
    }

    /// Proposes an entry and returns its index. It is committed when it comes out of [`Outputs::committed`] with the
    /// leader's term of now, or lost when [`Outputs::lost`] names it.
    ///
    /// # Errors
    /// Where this member doesn't lead, isn't [`Consensus::ready`], or too much is waiting.
    pub fn propose(&mut self, now: u64, data: String) -> Result<u64, NotLeader> {
        self.pass(now);
        let ready = self.ready();
        let term = self.hard.term;
        let waiting = (self.log.last() - self.commit) as usize;
        let Role::Leading(lead) = &mut self.role else {
            return Err(NotLeader::Elsewhere(self.leader.clone()));
        };
        if !ready {
            return Err(NotLeader::NotReady(term));
        }
        if waiting >= WAITING_MAX {
            return Err(NotLeader::Busy(waiting));
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
    pub fn read(&mut self, now: u64) -> Result<ReadTicket, NotLeader> {
        self.pass(now);
        let commit = self.commit;
        let Role::Leading(lead) = &mut self.role else {
            return Err(NotLeader::Elsewhere(self.leader.clone()));
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
            Role::Leading(_) => self.advance(),
            _ if self.disk.stable() > stable && self.leader.is_some() && self.owed == Owed::Nothing => {
                self.owed = Owed::Kept;
            }
            _ => {}
        }
    }

    /// The write `ticket` failed, or may have; so are all after it taken to have. A leader steps down, and this member
    /// neither votes nor vouches for entries until a later write has succeeded; [`Consensus::take`] gives one after
    /// [`Tuning::retry_ms`] that covers all that is missing.
    pub fn write_failed(&mut self, now: u64, ticket: u64) {
        self.pass(now);
        if self.disk.failed(ticket, self.now + self.tuning.retry_ms) {
            self.hand_over();
            if !matches!(self.role, Role::Following) {
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
    pub fn seek(&mut self, hosts: &[String]) {
        for host in hosts {
            self.learn_host(host);
        }
        self.join_at = self.now;
    }

    /// For a program that is about to end: where another machine stands by, it is to come in the place of this one, which
    /// goes on until [`Consensus::may_end`], or until it has waited enough; then it resigns.
    pub fn leave(&mut self, now: u64) {
        self.pass(now);
        self.leaves = true;
        if matches!(self.role, Role::Leading(_)) {
            return self.govern();
        }
        self.may_end = !self.is_member() && !self.goes();
        self.say_leaving();
    }

    /// Tells the leader that this one is about to end; again, as it may be another one by now.
    fn say_leaving(&mut self) {
        self.leave_at = self.now + self.tuning.join_ms;
        if let Some(leader) = self.leader.clone().filter(|leader| leader.id != self.me.id) {
            self.say(&leader, Msg::Resign);
        }
    }

    /// After [`Consensus::leave`]: its place is taken, or nobody stands by to take it.
    pub fn may_end(&self) -> bool {
        self.may_end
    }

    /// Stops leading at once and tells the others not to wait: for a program that is about to end.
    pub fn resign(&mut self, now: u64) {
        self.pass(now);
        self.hand_over();
        if matches!(self.role, Role::Leading(_)) {
            self.follow(self.hard.term);
        }
    }

    /// Who leads, as far as this member knows.
    pub fn leader(&self) -> Option<Member> {
        self.leader.clone()
    }

    /// This member leads. It may have been succeeded without knowing: ask with [`Consensus::read`].
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leading(_))
    }

    /// This member leads and has committed an entry of its own term: its state is current, and it takes proposals.
    pub fn ready(&self) -> bool {
        matches!(&self.role, Role::Leading(lead) if self.commit >= lead.start)
    }

    /// The newest term that this member knows of.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The members by this member's log, committed or not, and the new ones while one takes another's place; empty for a
    /// stranger that has learned nothing yet.
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }

    /// One member is taking another's place, by this member's log, committed or not.
    pub fn is_replacing(&self) -> bool {
        self.log.is_joint()
    }

    /// This member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All entries up to here are committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// So long ago, ms, was the newest heartbeat round begun that a majority has answered, this member with it: at that
    /// time nobody else led in a later term with their votes. None for one that doesn't lead, or before the first answer.
    pub fn quorum_age(&self, now: u64) -> Option<u64> {
        self.quorum_at(now.max(self.now)).map(|at| now.saturating_sub(at))
    }

    /// This member leads, the entry at `index` is committed, and every member that answered within the shortest election
    /// time has it on its disk: more than a majority needs, so that even a majority's loss may be survived.
    pub fn everywhere(&self, now: u64, index: u64) -> bool {
        let Role::Leading(lead) = &self.role else { return false };
        let since = now.saturating_sub(self.tuning.election_min_ms);
        self.commit >= index && self.disk.stable() >= index && lead.reachable_keep(since, index)
    }

    /// The disk failed, and no write has succeeded since.
    pub fn sick(&self) -> bool {
        self.disk.sick()
    }

    /// What is to be done now. To be called after every call that takes `now`; see the crate's page for the order.
    pub fn take(&mut self) -> Outputs {
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

    /// This machine is a member, by its own log.
    pub(crate) fn is_member(&self) -> bool {
        self.knows(self.me.id)
    }

    /// The member with this number is one, by this machine's log.
    pub(crate) fn knows(&self, id: MemberId) -> bool {
        self.log.all_members().any(|member| member.id == id)
    }

    /// Queues a message to a member.
    pub(crate) fn say(&mut self, to: &Member, msg: Msg) {
        let envelope = Envelope { from: self.me.clone(), to: to.id, term: self.hard.term, msg };
        self.out.send.push((to.host.clone(), envelope));
    }

    /// What had to wait for the disk and may go out now.
    fn send_owed(&mut self) {
        if !guard!(VoteSynced, self.disk.keeps(self.hard), true) {
            return;
        }
        if let Some(candidate) = self.owed_vote.take() {
            self.say(&candidate, Msg::Voted { yes: true });
        }
        self.send_candidacy();
        let Some(leader) = self.leader.clone().filter(|leader| leader.id != self.me.id) else { return };
        let stable = guard!(EntriesSynced, self.disk.stable(), self.log.last());
        let kept = guard!(KeptVerified, stable.min(self.verified), stable);
        let round = self.round;
        match std::mem::replace(&mut self.owed, Owed::Nothing) {
            Owed::Nothing => {}
            Owed::Kept => self.say(&leader, Msg::Kept { index: kept, round, refused: None }),
            Owed::Refusal { prev, hint } => {
                self.say(&leader, Msg::Kept { index: hint, round, refused: Some(prev) });
            }
        }
    }
}
