//! Elections: a pre-vote first, which changes nothing, then the vote. A majority of each list of members elects.

use crate::leader::LeaderState;
use crate::messages::Msg;
use crate::persistent::HardState;
use crate::state::{Bound, Consensus, Owed, Role};
use nickeljunction_messages::{Member, MemberId};

/// How often a member asks again soon once all are known to be free: another one may not have known it yet.
const HURRIES: u32 = 5;

impl Consensus {
    /// Follows, in `term`; a leader's open proposals and reads are given up.
    pub(crate) fn follow(&mut self, term: u64) {
        if term > self.hard.term {
            self.begin_term(HardState { term, vote: None });
        }
        if let Role::Leader(lead) = std::mem::replace(&mut self.role, Role::Follower) {
            self.leader = None;
            self.heard_at = None;
            self.alone_since = self.now;
            let (lost, reads) = lead.give_up();
            self.out.unresolved.extend(lost);
            self.out.reads.extend(reads.into_iter().map(|ticket| (ticket, false)));
            self.put_off_election();
        }
    }

    /// Begins a new term: what was known of the last one's leader, and owed to it, counts no more.
    fn begin_term(&mut self, hard: HardState) {
        self.hard = hard;
        self.leader = None;
        // A newer term that nobody leads yet doesn't end what an earlier life may have said.
        if self.bound.is_none() {
            self.heard_at = None;
        }
        guard!(VerifiedByTerm, self.verified = 0, ());
        guard!(RoundByTerm, self.round = 0, ());
        self.owed = Owed::Nothing;
        guard!(OwedVoteByTerm, self.owed_vote = None, ());
    }

    /// Accepts the sender as the leader of this term.
    pub(crate) fn accept_leader(&mut self, from: &Member, round: u64) {
        if !matches!(self.role, Role::Follower) {
            self.follow(self.hard.term);
        }
        self.leader = Some(from.clone());
        self.heard_at = Some(self.now);
        (self.bound, self.hurry) = (None, 0);
        self.alone_since = self.now;
        self.round = self.round.max(round);
        self.put_off_election();
    }

    /// Draws the time at which this member stands for election.
    pub(crate) fn put_off_election(&mut self) {
        let (min, max) = (self.tuning.election_min_ms, self.tuning.election_max_ms);
        self.deadline = self.now + self.rng.u64(min..=max.max(min));
    }

    /// The same, soon: nobody led when this was last known.
    fn hurry(&mut self) {
        let beat = self.tuning.heartbeat_ms;
        self.deadline = self.now + self.rng.u64(beat / 10..=beat * 6 / 10);
    }

    /// The sum of the members that this one knows; never 0.
    fn members_sum(&self) -> u64 {
        let sum =
            |sum: u64, member: &Member| sum.wrapping_add(member.id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11);
        self.log.all_members().fold(0, sum) >> 1 | 1
    }

    /// Takes note that a member is free. Once all others are, with the same members in their logs, no lease can count
    /// on what an earlier life of this member said: a leader that this member doesn't know would stand in the log of
    /// one of them.
    fn unbind(&mut self, from: Option<MemberId>) {
        let others = self.others();
        let Some(bound) = &mut self.bound else { return };
        bound.free.extend(from);
        if others.iter().all(|member| bound.free.contains(&member.id)) {
            self.bound = None;
            self.heard_at = None;
            self.hurry = HURRIES;
            self.hurry();
        }
    }

    /// No leader was heard for long: asks the others whether they would vote for this member.
    pub(crate) fn start_pre_vote(&mut self) {
        match self.hurry.checked_sub(1) {
            Some(left) => {
                self.hurry = left;
                self.hurry();
            }
            None => self.put_off_election(),
        }
        let stands = self.is_member() || guard!(GoingStands, self.goes(), false);
        if !stands || self.disk.sick() {
            return;
        }
        self.leader = None;
        self.unbind(None);
        self.role = Role::PreCandidate(vec![self.me.id]);
        let (last, last_term) = (self.log.last(), self.log.last_term());
        for member in self.others() {
            self.send(&member, Msg::PreVote { last, last_term });
        }
        self.count_pre_votes();
    }

    /// Its log says that it is no member any more, and it doesn't know that to be agreed. It may have the longest log of
    /// all, of one that led its own removal and told nobody: then no other one is elected.
    pub(crate) fn goes(&self) -> bool {
        self.log.members_since() > self.commit && self.log.was_member(self.me.id)
    }

    pub(crate) fn on_pre_vote(&mut self, from: &Member, term: u64, last: u64, last_term: u64) {
        let yes = !self.disk.sick()
            && term >= self.hard.term
            && !self.has_leader()
            && (last_term, last) >= (self.log.last_term(), self.log.last());
        // One that stands may lead in this term a moment later.
        let leads = matches!(self.role, Role::Leader(_));
        let leads = leads || guard!(StandingIsBound, matches!(self.role, Role::Candidate { .. }), false);
        let free = self.leader.is_none() && !leads && self.is_member();
        let free = if free { self.members_sum() } else { 0 };
        self.send(from, Msg::PreVoteReply { asked: term, yes, free });
        self.pre_vote_in_return(from);
        if !self.knows(from.id) {
            // It was removed without learning so: it has to ask to be taken in again.
            self.redirect(from);
        }
    }

    /// One that asks has come back, too, maybe after this one's own question went unheard: it is asked once in return.
    fn pre_vote_in_return(&mut self, from: &Member) {
        let (last, last_term) = (self.log.last(), self.log.last_term());
        let known = self.knows(from.id);
        let Some(Bound { free, asked }) = &mut self.bound else { return };
        if known && !free.contains(&from.id) && !asked.contains(&from.id) {
            asked.push(from.id);
            self.send(from, Msg::PreVote { last, last_term });
        }
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: &Member, term: u64, asked: u64, yes: bool, free: u64) {
        // An answer to an earlier life may be told late. Who said so in this term, to a question of this term, has not led
        // in it since: it did not stand in it, and who stands later does so in a later one.
        let now = asked == self.hard.term && term == self.hard.term;
        if now && free == self.members_sum() {
            self.unbind(Some(from.id));
        }
        if !yes && term > self.hard.term {
            return self.follow(term);
        }
        let current = asked == self.hard.term;
        if let Role::PreCandidate(said) = &mut self.role {
            if yes && current && !said.contains(&from.id) {
                said.push(from.id);
                self.count_pre_votes();
            }
        }
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate(said) = &self.role else { return };
        // One that is bound gives no vote, its own neither.
        if self.has_majority(said) && !self.has_leader() {
            self.begin_term(HardState { term: self.hard.term + 1, vote: Some(self.me.id) });
            self.role = Role::Candidate { yes: Vec::new(), since: self.now, sent: false };
            self.hurry = 0;
            self.put_off_election();
        }
    }

    /// Of the members, by each list that holds, these are more than half.
    fn has_majority(&self, ids: &[MemberId]) -> bool {
        let are_enough = |list: &[Member]| {
            let majority = guard!(VotesOfMajority, list.len() / 2 + 1, 1);
            list.iter().filter(|member| ids.contains(&member.id)).count() >= majority
        };
        self.log.lists().take(guard!(JointMajorities, 2, 1)).all(are_enough)
    }

    /// Asks for votes once its own, and the log that it stands with, would survive a loss of power: else it might come
    /// back with less and be elected by votes for more.
    pub(crate) fn request_votes(&mut self) {
        let safe = guard!(CandidacySynced, self.disk.stable() >= self.log.last(), true);
        let Role::Candidate { yes, since, sent } = &mut self.role else { return };
        if *sent || !safe {
            return;
        }
        *sent = true;
        *since = self.now;
        yes.push(self.me.id);
        let (last, last_term) = (self.log.last(), self.log.last_term());
        for member in self.others() {
            self.send(&member, Msg::RequestVote { last, last_term });
        }
        self.count_votes();
    }

    pub(crate) fn on_request_vote(&mut self, from: &Member, last: u64, last_term: u64) {
        let free = guard!(OneVote, self.hard.vote.is_none_or(|vote| vote == from.id), true);
        let as_good = (last_term, last) >= (self.log.last_term(), self.log.last());
        if !free || !guard!(LogAsGood, as_good, true) || self.disk.sick() {
            return self.send(from, Msg::VoteReply { yes: false });
        }
        self.role = Role::Follower;
        self.hard.vote = Some(from.id);
        self.owed_vote = Some(from.clone());
        self.put_off_election();
    }

    pub(crate) fn on_vote_reply(&mut self, from: MemberId, yes: bool) {
        let Role::Candidate { yes: said, .. } = &mut self.role else { return };
        if yes && !said.contains(&from) {
            said.push(from);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let Role::Candidate { yes, since, sent: true } = &self.role else { return };
        if self.has_majority(yes) {
            let since = *since;
            let start = self.log.last() + 1;
            self.role = Role::Leader(Box::new(LeaderState::new(since, start, self.now, self.others())));
            self.leader = Some(self.me.clone());
            self.append_first_of_term();
        }
    }

    /// The leader said that it leads no longer, a member that it is about to end, or the leader that this one may.
    pub(crate) fn on_resign(&mut self, from: &Member) {
        if self.leaves {
            self.may_end = true;
            return;
        }
        self.ending.retain(|(member, _)| member.id != from.id);
        if self.knows(from.id) {
            self.ending.push((from.clone(), self.now));
        }
        if self.leader.as_ref().is_some_and(|leader| leader.id == from.id) {
            self.leader = None;
            self.heard_at = None;
            self.owed = Owed::Nothing;
            // Soon, but not all at once.
            self.deadline = self.now + self.rng.u64(0..=self.tuning.heartbeat_ms);
        }
        if matches!(self.role, Role::Leader(_)) {
            self.govern();
            if self.may_end_as_member(from) {
                self.send(from, Msg::Resign);
            }
        }
    }

    /// A leader tells the others not to wait for its silence.
    pub(crate) fn hand_over(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            for member in self.others() {
                self.send(&member, Msg::Resign);
            }
        }
    }
}
