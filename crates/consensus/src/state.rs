//! What a member knows, and what can be told from that alone. The other modules change it.

use crate::disk::Disk;
use crate::leader::LeaderState;
use crate::log::Log;
use crate::members::Exclusion;
use crate::messages::{Envelope, Msg};
use crate::outputs::{Outputs, ReadTicket};
use crate::persistent::{HardState, Restored};
use crate::tuning::Tuning;
use nickeljunction_messages::{Member, MemberId};
use std::collections::VecDeque;

/// What a member is at the moment.
#[derive(Debug, Clone, Hash)]
pub(crate) enum Role {
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks whether it would be voted for; those that said yes.
    PreCandidate(Vec<MemberId>),
    /// It stands for election: those that voted for it, and since when its own vote is out.
    Candidate { yes: Vec<MemberId>, since: u64, sent: bool },
    /// It leads.
    Leader(Box<LeaderState>),
}

/// What a follower owes its leader, once the disk allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Owed {
    /// Nothing.
    Nothing,
    /// To say what it keeps.
    AppendReply,
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
    pub(crate) hard: HardState,
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
    pub(crate) away: Vec<Exclusion>,
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
        let disk = Disk::new(restored.is_new, restored.hard, &log);
        let snapshot = log.snapshot_index();
        let bound = guard!(RestartWaits, (!restored.is_new).then(Bound::default), None);
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
            role: Role::Follower,
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

    /// Who leads, as far as this member knows.
    pub fn leader(&self) -> Option<Member> {
        self.leader.clone()
    }

    /// This member leads. It may have been succeeded without knowing: ask with [`Consensus::read`].
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// This member leads and has committed an entry of its own term: its state is current, and it takes proposals.
    pub fn ready(&self) -> bool {
        matches!(&self.role, Role::Leader(lead) if self.commit >= lead.start)
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

    /// This member leads, the entry at `index` is committed, and every member that answered within the shortest election
    /// time has it on its disk: more than a majority needs, so that even a majority's loss may be survived.
    pub fn replicated_to_all_reachable(&self, now: u64, index: u64) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        let since = now.saturating_sub(self.tuning.election_min_ms);
        self.commit >= index && self.disk.stable() >= index && lead.reachable_keep(since, index)
    }

    /// The disk failed, and no write has succeeded since.
    pub fn disk_failed(&self) -> bool {
        self.disk.sick()
    }

    /// This machine is a member, by its own log.
    pub(crate) fn is_member(&self) -> bool {
        self.knows(self.me.id)
    }

    /// The member with this number is one, by this machine's log.
    pub(crate) fn knows(&self, id: MemberId) -> bool {
        self.log.all_members().any(|member| member.id == id)
    }

    /// The other members, by any list that holds.
    pub(crate) fn others(&self) -> Vec<Member> {
        self.log.all_members().filter(|member| member.id != self.me.id).cloned().collect()
    }

    /// A leader is there: this member itself, or one that it heard a short time ago.
    pub(crate) fn has_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
            || self.heard_at.is_some_and(|at| self.now < at + self.tuning.election_min_ms)
    }

    /// Queues a message to a member.
    pub(crate) fn send(&mut self, to: &Member, msg: Msg) {
        let envelope = Envelope { from: self.me.clone(), to: to.id, term: self.hard.term, msg };
        self.out.send.push((to.host.clone(), envelope));
    }
}
