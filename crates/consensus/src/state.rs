//! The state of a member, and the queries that need nothing else. The other modules change it.

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

/// A member's role in its term.
#[derive(Debug, Clone, Hash)]
pub(crate) enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Has requested pre-votes; holds the members that granted theirs.
    PreCandidate(Vec<MemberId>),
    /// Stands for election.
    Candidate {
        /// Members that voted for this one.
        votes: Vec<MemberId>,
        /// When the votes were requested; before that, when the candidacy began.
        since: u64,
        /// The votes have been requested.
        requested: bool,
    },
    Leader(Box<LeaderState>),
}

/// The reply that a follower sends to its leader once the disk allows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum PendingReply {
    None,
    /// Acknowledges the entries on the disk.
    Accepted,
    /// Says that the log doesn't have the entry `prev_index`, and that the logs may agree at `hint`.
    Rejected {
        prev_index: u64,
        hint: u64,
    },
}

/// Lease that a restarted member has to honour. It may have answered a leader just before the restart, and that
/// leader's lease relies on it for `election_min_ms`. So it votes for nobody for that time, or until every other
/// member has said that it neither leads nor follows: then that leader has stepped down, and won't lead in the same
/// term again.
#[derive(Debug, Default)]
#[cfg_attr(feature = "model", derive(Clone, Hash))]
pub(crate) struct RestartLease {
    /// Members that said that they neither lead nor follow.
    pub(crate) free: Vec<MemberId>,
    /// Members that were sent a pre-vote request in return for theirs.
    pub(crate) asked_back: Vec<MemberId>,
}

/// A member of the core's consensus group. The crate's documentation says how to drive it.
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
    /// Last index handed out in [`Outputs::committed`] or [`Outputs::restored_state`].
    pub(crate) delivered: u64,
    pub(crate) role: Role,
    /// The leader of this term, if known.
    pub(crate) leader: Option<Member>,
    /// When a leader was last in contact; after a restart, the time of the restart.
    pub(crate) leader_contact_at: Option<u64>,
    /// Set while an answer from before the restart may still bind this member.
    pub(crate) restart_lease: Option<RestartLease>,
    /// Number of failed pre-vote rounds after which the next one still follows soon.
    pub(crate) fast_retries: u32,
    /// Since when this member has had no leader; while it has one, the time of the last contact.
    pub(crate) leaderless_since: u64,
    /// When to stand for election.
    pub(crate) election_deadline: u64,
    /// Up to this index the log is known to equal that of this term's leader.
    pub(crate) verified_index: u64,
    /// Newest round received from the leader of this term.
    pub(crate) round: u64,
    pub(crate) pending_reply: PendingReply,
    /// The candidate that got this term's vote and hasn't been sent it yet.
    pub(crate) pending_vote: Option<Member>,
    /// Hosts where members may be.
    pub(crate) known_hosts: VecDeque<String>,
    /// Earliest time of the next request to join.
    pub(crate) next_join_at: u64,
    /// Hosts that operators exclude from the membership.
    pub(crate) exclusions: Vec<Exclusion>,
    /// Host that operators want as a member.
    pub(crate) requested_host: Option<String>,
    /// Members that announced that they are about to stop, and when; includes this one if it leads.
    pub(crate) departing: Vec<(Member, u64)>,
    /// This member is about to stop.
    pub(crate) leaving: bool,
    /// When to announce that next.
    pub(crate) next_leave_at: u64,
    /// This member is no longer needed.
    pub(crate) may_stop: bool,
    /// When a redirect was last followed.
    pub(crate) redirect_followed_at: Option<u64>,
    pub(crate) next_read_ticket: ReadTicket,
    pub(crate) outputs: Outputs,
}

impl Consensus {
    /// Starts from the content of the disk. `seed` is for the random part of election times and must differ between
    /// machines; `now` is the time of a monotonic clock, ms, as in all calls.
    pub fn new(restored: Restored, tuning: Tuning, seed: u64, now: u64) -> Consensus {
        let log = Log::new(restored.snapshot, restored.entries);
        let disk = Disk::new(restored.is_new, restored.hard, &log);
        let snapshot = log.snapshot_index();
        let restart_lease = guard!(RestartLease, (!restored.is_new).then(RestartLease::default), None);
        let leader_contact_at = restart_lease.is_some().then_some(now);
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
            leader_contact_at,
            restart_lease,
            fast_retries: 0,
            leaderless_since: now,
            election_deadline: now,
            verified_index: 0,
            round: 0,
            pending_reply: PendingReply::None,
            pending_vote: None,
            known_hosts: VecDeque::new(),
            next_join_at: now,
            exclusions: Vec::new(),
            requested_host: None,
            departing: Vec::new(),
            leaving: false,
            next_leave_at: now,
            may_stop: false,
            redirect_followed_at: None,
            next_read_ticket: 1,
            outputs: Outputs {
                restored_state: log.snapshot().filter(|snapshot| snapshot.index > 0).cloned(),
                ..Outputs::default()
            },
            log,
        };
        // A restarted member requests pre-votes at once: the whole core may have been down.
        if consensus.restart_lease.is_none() {
            consensus.reset_election_deadline();
        }
        consensus
    }

    /// The leader, as far as this member knows.
    pub fn leader(&self) -> Option<Member> {
        self.leader.clone()
    }

    /// This member leads, as far as it knows: there may be a successor already. Only [`Consensus::read`] makes sure.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// This member leads and has committed an entry of its own term: its state is current, and it takes proposals.
    pub fn ready(&self) -> bool {
        matches!(&self.role, Role::Leader(leader_state) if self.commit >= leader_state.first_index)
    }

    /// The newest term that this member knows of.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The members by this member's log, committed or not; while one replaces another, the new list. Empty on a joining
    /// machine that has received nothing yet.
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }

    /// One member is replacing another, by this member's log, committed or not.
    pub fn is_replacing(&self) -> bool {
        self.log.is_joint()
    }

    /// This member's identity.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Commit index: all entries up to it are committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// This member leads, the entry at `index` is committed, and every member that answered within the shortest
    /// election time has it on its disk. That is more than a majority needs, so the entry may survive even the loss
    /// of a majority.
    pub fn replicated_to_all_reachable(&self, now: u64, index: u64) -> bool {
        let Role::Leader(leader_state) = &self.role else { return false };
        let since = now.saturating_sub(self.tuning.election_min_ms);
        self.commit >= index
            && self.disk.synced_index() >= index
            && leader_state.all_reachable_have(since, index)
    }

    /// The disk failed, and no write has succeeded since.
    pub fn disk_failed(&self) -> bool {
        self.disk.has_failed()
    }

    /// This machine is a member by its own log.
    pub(crate) fn is_member(&self) -> bool {
        self.has_member(self.me.id)
    }

    /// A member with this number is in this machine's log.
    pub(crate) fn has_member(&self, id: MemberId) -> bool {
        self.log.all_members().any(|member| member.id == id)
    }

    /// The other members, of any list in force.
    pub(crate) fn other_members(&self) -> Vec<Member> {
        self.log.all_members().filter(|member| member.id != self.me.id).cloned().collect()
    }

    /// There is a leader: this member itself, or one that was in contact within the shortest election time.
    pub(crate) fn has_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
            || self
                .leader_contact_at
                .is_some_and(|contact_at| self.now < contact_at + self.tuning.election_min_ms)
    }

    /// Queues a message to a member.
    pub(crate) fn send(&mut self, to: &Member, msg: Msg) {
        let envelope = Envelope { from: self.me.clone(), to: to.id, term: self.hard.term, msg };
        self.outputs.send.push((to.host.clone(), envelope));
    }
}
