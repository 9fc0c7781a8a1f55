//! Elections: first a pre-vote, which changes nothing, then the vote. Each takes a majority of every member list in
//! force.

use crate::leader::LeaderState;
use crate::messages::Msg;
use crate::persistent::HardState;
use crate::state::{Consensus, PendingReply, RestartLease, Role};
use nickeljunction_messages::{Member, MemberId};

/// Number of times a member repeats a failed pre-vote soon after its restart lease was released: another member may not
/// have released its own yet.
const FAST_RETRIES: u32 = 5;

impl Consensus {
    /// Becomes a follower in `term`; a leader's open proposals and reads are given up.
    pub(crate) fn become_follower(&mut self, term: u64) {
        if term > self.hard.term {
            self.begin_term(HardState { term, vote: None });
        }
        if let Role::Leader(leader_state) = std::mem::replace(&mut self.role, Role::Follower) {
            self.leader = None;
            self.leader_contact_at = None;
            self.leaderless_since = self.now;
            let (proposals, reads) = leader_state.into_unresolved();
            self.outputs.unresolved.extend(proposals);
            self.outputs.reads.extend(reads.into_iter().map(|ticket| (ticket, false)));
            self.reset_election_deadline();
        }
    }

    /// Begins a new term: what was known of the last term's leader, and the replies to it, no longer count.
    fn begin_term(&mut self, hard: HardState) {
        self.hard = hard;
        self.leader = None;
        // A newer term without a leader doesn't end the lease that an answer from before the restart may have given.
        if self.restart_lease.is_none() {
            self.leader_contact_at = None;
        }
        guard!(VerifiedByTerm, self.verified_index = 0, ());
        guard!(RoundByTerm, self.round = 0, ());
        self.pending_reply = PendingReply::None;
        guard!(PendingVoteByTerm, self.pending_vote = None, ());
    }

    /// Accepts the sender as the leader of this term.
    pub(crate) fn accept_leader(&mut self, from: &Member, round: u64) {
        if !matches!(self.role, Role::Follower) {
            self.become_follower(self.hard.term);
        }
        self.leader = Some(from.clone());
        self.leader_contact_at = Some(self.now);
        (self.restart_lease, self.fast_retries) = (None, 0);
        self.leaderless_since = self.now;
        self.round = self.round.max(round);
        self.reset_election_deadline();
    }

    /// Draws the time at which this member stands for election.
    pub(crate) fn reset_election_deadline(&mut self) {
        let (min, max) = (self.tuning.election_min_ms, self.tuning.election_max_ms);
        self.election_deadline = self.now + self.rng.u64(min..=max.max(min));
    }

    /// Draws an early election deadline, for when nobody was leading at the last check.
    fn schedule_fast_election(&mut self) {
        let heartbeat_ms = self.tuning.heartbeat_ms;
        self.election_deadline = self.now + self.rng.u64(heartbeat_ms / 10..=heartbeat_ms * 6 / 10);
    }

    /// Checksum of the members in this member's log; never 0.
    fn member_set_checksum(&self) -> u64 {
        let add =
            |sum: u64, member: &Member| sum.wrapping_add(member.id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11);
        self.log.all_members().fold(0, add) >> 1 | 1
    }

    /// Records that a member neither leads nor follows. Once that holds for all others, with the same members in
    /// their logs, no leader's lease can rely on an answer from before this member's restart: a leader that this
    /// member doesn't know would be in the log of one of them.
    fn release_restart_lease(&mut self, from: Option<MemberId>) {
        let other_members = self.other_members();
        let Some(lease) = &mut self.restart_lease else { return };
        lease.free.extend(from);
        if other_members.iter().all(|member| lease.free.contains(&member.id)) {
            self.restart_lease = None;
            self.leader_contact_at = None;
            self.fast_retries = FAST_RETRIES;
            self.schedule_fast_election();
        }
    }

    /// Requests pre-votes from the other members, as no leader was in contact before the election deadline.
    pub(crate) fn start_pre_vote(&mut self) {
        match self.fast_retries.checked_sub(1) {
            Some(left) => {
                self.fast_retries = left;
                self.schedule_fast_election();
            }
            None => self.reset_election_deadline(),
        }
        let may_stand = self.is_member() || guard!(RemovedMayStand, self.is_being_removed(), false);
        if !may_stand || self.disk.has_failed() {
            return;
        }
        self.leader = None;
        self.release_restart_lease(None);
        self.role = Role::PreCandidate(vec![self.me.id]);
        let (last_index, last_term) = (self.log.last(), self.log.last_term());
        for member in self.other_members() {
            self.send(&member, Msg::PreVote { last_index, last_term });
        }
        self.count_pre_votes();
    }

    /// This member's log removes it, and the removal is not known to be committed. Such a member may still stand for
    /// election: if it led its own removal and the entry reached nobody else, its log may be the longest, and then no
    /// other member can be elected.
    pub(crate) fn is_being_removed(&self) -> bool {
        self.log.membership_index() > self.commit && self.log.was_member(self.me.id)
    }

    /// Handles a pre-vote request.
    pub(crate) fn on_pre_vote(&mut self, from: &Member, term: u64, last_index: u64, last_term: u64) {
        let granted = !self.disk.has_failed()
            && term >= self.hard.term
            && !self.has_leader()
            && (last_term, last_index) >= (self.log.last_term(), self.log.last());
        // A candidate may lead in this term a moment later.
        let is_leader = matches!(self.role, Role::Leader(_));
        let may_lead =
            is_leader || guard!(CandidateNotFree, matches!(self.role, Role::Candidate { .. }), false);
        let is_free = self.leader.is_none() && !may_lead && self.is_member();
        let free_checksum = if is_free { self.member_set_checksum() } else { 0 };
        self.send(from, Msg::PreVoteReply { asked_term: term, granted, free_checksum });
        self.request_pre_vote_back(from);
        if !self.has_member(from.id) {
            // The sender was removed without receiving that entry, and has to ask to join again.
            self.send_redirect(from);
        }
    }

    /// Requests a pre-vote in return, once: the sender has just come back, so it may have missed this member's request.
    fn request_pre_vote_back(&mut self, from: &Member) {
        let (last_index, last_term) = (self.log.last(), self.log.last_term());
        let is_member = self.has_member(from.id);
        let Some(RestartLease { free, asked_back }) = &mut self.restart_lease else { return };
        if is_member && !free.contains(&from.id) && !asked_back.contains(&from.id) {
            asked_back.push(from.id);
            self.send(from, Msg::PreVote { last_index, last_term });
        }
    }

    /// Handles the reply to a pre-vote request.
    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: &Member,
        term: u64,
        asked_term: u64,
        granted: bool,
        free_checksum: u64,
    ) {
        // A reply to a request from before the restart may arrive late. A member that said in this term, to a request
        // of this term, that it is free has not led in this term since: it was no candidate in it, and if it becomes
        // one later, that is in a later term.
        let is_current = asked_term == self.hard.term && term == self.hard.term;
        if is_current && free_checksum == self.member_set_checksum() {
            self.release_restart_lease(Some(from.id));
        }
        if !granted && term > self.hard.term {
            return self.become_follower(term);
        }
        let asked_in_this_term = asked_term == self.hard.term;
        if let Role::PreCandidate(pre_votes) = &mut self.role {
            if granted && asked_in_this_term && !pre_votes.contains(&from.id) {
                pre_votes.push(from.id);
                self.count_pre_votes();
            }
        }
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate(pre_votes) = &self.role else { return };
        // While a lease binds this member, it doesn't vote for itself either.
        if self.has_majority(pre_votes) && !self.has_leader() {
            self.begin_term(HardState { term: self.hard.term + 1, vote: Some(self.me.id) });
            self.role = Role::Candidate { votes: Vec::new(), since: self.now, requested: false };
            self.fast_retries = 0;
            self.reset_election_deadline();
        }
    }

    /// These are more than half of the members of each list in force.
    fn has_majority(&self, ids: &[MemberId]) -> bool {
        let is_majority = |list: &[Member]| {
            let majority = guard!(VoteMajority, list.len() / 2 + 1, 1);
            list.iter().filter(|member| ids.contains(&member.id)).count() >= majority
        };
        self.log.member_lists().take(guard!(JointMajorities, 2, 1)).all(is_majority)
    }

    /// Requests votes once the candidate's own vote and its log are synced: otherwise it might lose entries with the
    /// power and then be elected by votes given for the longer log.
    pub(crate) fn request_votes(&mut self) {
        let log_synced = guard!(CandidacySynced, self.disk.synced_index() >= self.log.last(), true);
        let Role::Candidate { votes, since, requested } = &mut self.role else { return };
        if *requested || !log_synced {
            return;
        }
        *requested = true;
        *since = self.now;
        votes.push(self.me.id);
        let (last_index, last_term) = (self.log.last(), self.log.last_term());
        for member in self.other_members() {
            self.send(&member, Msg::RequestVote { last_index, last_term });
        }
        self.count_votes();
    }

    /// Handles a vote request of this term.
    pub(crate) fn on_request_vote(&mut self, from: &Member, last_index: u64, last_term: u64) {
        let vote_is_free = guard!(OneVote, self.hard.vote.is_none_or(|vote| vote == from.id), true);
        let up_to_date = (last_term, last_index) >= (self.log.last_term(), self.log.last());
        if !vote_is_free || !guard!(LogUpToDate, up_to_date, true) || self.disk.has_failed() {
            return self.send(from, Msg::VoteReply { granted: false });
        }
        self.role = Role::Follower;
        self.hard.vote = Some(from.id);
        self.pending_vote = Some(from.clone());
        self.reset_election_deadline();
    }

    /// Handles the reply to a vote request.
    pub(crate) fn on_vote_reply(&mut self, from: MemberId, granted: bool) {
        let Role::Candidate { votes, .. } = &mut self.role else { return };
        if granted && !votes.contains(&from) {
            votes.push(from);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let Role::Candidate { votes, since, requested: true } = &self.role else { return };
        if self.has_majority(votes) {
            let votes_requested_at = *since;
            let first_index = self.log.last() + 1;
            let leader_state =
                LeaderState::new(votes_requested_at, first_index, self.now, self.other_members());
            self.role = Role::Leader(Box::new(leader_state));
            self.leader = Some(self.me.clone());
            self.append_first_of_term();
        }
    }

    /// Handles [`Msg::Resign`]: the leader no longer leads, a member is about to stop, or the leader allows this
    /// member to stop.
    pub(crate) fn on_resign(&mut self, from: &Member) {
        if self.leaving {
            self.may_stop = true;
            return;
        }
        self.departing.retain(|(member, _)| member.id != from.id);
        if self.has_member(from.id) {
            self.departing.push((from.clone(), self.now));
        }
        if self.leader.as_ref().is_some_and(|leader| leader.id == from.id) {
            self.leader = None;
            self.leader_contact_at = None;
            self.pending_reply = PendingReply::None;
            // Soon, but spread out, so that the members don't all stand at once.
            self.election_deadline = self.now + self.rng.u64(0..=self.tuning.heartbeat_ms);
        }
        if matches!(self.role, Role::Leader(_)) {
            self.update_membership();
            if self.may_stop_as_member(from) {
                self.send(from, Msg::Resign);
            }
        }
    }

    /// If this member leads, tells the others that it stops leading, so that they don't wait for an election timeout.
    pub(crate) fn announce_resignation(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            for member in self.other_members() {
                self.send(&member, Msg::Resign);
            }
        }
    }
}
