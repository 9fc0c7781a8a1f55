//! Membership changes: machines that have caught up are added, silent members and those that operators exclude are
//! removed, one change at a time.

use crate::entry::Body;
use crate::members::{Exclusion, PeerStatus, MEMBERS_MAX, MEMBERS_MIN};
use crate::messages::Msg;
use crate::peer::Peer;
use crate::state::{Consensus, Role};
use nickeljunction_messages::{Member, MemberId};

/// A learner that was silent for this many longest election times is dropped; it will ask to join again.
const LEARNER_TIMEOUTS: u64 = 4;
/// A learner that lacks no more entries than this has caught up.
const CAUGHT_UP_ENTRIES: u64 = 64;
/// Removal timeout that is too long, ms: replaces [`crate::Tuning::removal_timeout_ms`] in tests that disable its
/// guard.
#[cfg(feature = "model")]
const SLOW_REMOVAL_MS: u64 = 6_000;

impl Consensus {
    /// Sets the host that operators want as a member, beyond [`crate::Tuning::max_members`] if necessary. As for
    /// [`Consensus::set_exclusions`], the order comes from the log.
    pub fn set_requested_host(&mut self, host: Option<String>) {
        self.requested_host = host;
    }

    /// Replaces the list of hosts that operators exclude: a member there is removed once `after` is a member and a
    /// majority of the remaining members answers; a machine there that asks to join is ignored. The list must come
    /// from the log, so that it is the same at every member; the leader carries it out.
    pub fn set_exclusions(&mut self, exclusions: Vec<Exclusion>) {
        self.exclusions = exclusions;
    }

    /// The other machines as their leader sees them, members first, then learners; empty if this member doesn't lead.
    pub fn peer_statuses(&self, now: u64) -> Vec<PeerStatus> {
        let Role::Leader(leader_state) = &self.role else { return Vec::new() };
        let status = |peer: &Peer| PeerStatus {
            member: peer.member.clone(),
            learner: peer.learner,
            match_index: peer.match_index(),
            silent_ms: now.saturating_sub(peer.last_answer_at()),
            reachable: self.answered_recently(peer, now),
        };
        let mut statuses: Vec<PeerStatus> = leader_state.peers.iter().map(status).collect();
        statuses.sort_by_key(|status| status.learner);
        statuses
    }

    /// Operators exclude this host.
    fn is_excluded(&self, host: &str) -> bool {
        self.exclusions.iter().any(|exclusion| exclusion.host == host)
    }

    /// A member runs on this host.
    fn has_member_at(&self, host: &str) -> bool {
        self.log.members().iter().any(|member| member.host == host)
    }

    /// Operators exclude this member's host, and its replacement, if any, is a member already.
    fn removal_due(&self, member: &Member) -> bool {
        self.exclusions.iter().any(|exclusion| {
            exclusion.host == member.host
                && exclusion.after.as_ref().is_none_or(|host| self.has_member_at(host))
        })
    }

    /// Forgets that a member announced its stop if it sends a request, or still answers after the removal timeout: it
    /// goes on running after all.
    pub(crate) fn update_departing(&mut self, from: MemberId, msg: &Msg) {
        let (now, removal_timeout_ms) = (self.now, self.tuning.removal_timeout_ms);
        let is_reply =
            matches!(msg, Msg::AppendReply { .. } | Msg::PreVoteReply { .. } | Msg::VoteReply { .. });
        self.departing.retain(|(member, announced_at)| {
            member.id != from || (is_reply && now < announced_at + removal_timeout_ms)
        });
    }

    /// Drops silent and excluded learners, and starts the next membership change if one is due. Done by the leader.
    pub(crate) fn update_membership(&mut self) {
        let (now, longest) = (self.now, self.tuning.election_max_ms);
        if let Role::Leader(leader_state) = &mut self.role {
            let exclusions = &self.exclusions;
            leader_state.peers.retain(|peer| {
                !peer.learner
                    || (now <= peer.last_answer_at() + longest * LEARNER_TIMEOUTS
                        && !exclusions.iter().any(|exclusion| exclusion.host == peer.member.host))
            });
        }
        // One change at a time, and none before an entry of this term is committed and delivered to the program: it
        // may be the one by which operators exclude a host.
        let own_term_delivered = match &self.role {
            Role::Leader(leader_state) => self.delivered >= leader_state.first_index,
            _ => false,
        };
        if !guard!(ChangeAfterOwnCommit, own_term_delivered, true)
            || guard!(OneChangeAtATime, self.log.membership_index() > self.commit, false)
        {
            return;
        }
        // Departing machines that are no longer members may stop.
        let mut departing = std::mem::take(&mut self.departing);
        if self.leaving && !departing.iter().any(|(member, _)| member.id == self.me.id) {
            departing.push((self.me.clone(), self.now));
        }
        let (still_members, removed): (Vec<_>, Vec<_>) =
            departing.into_iter().partition(|(member, _)| self.has_member(member.id));
        self.departing = still_members;
        // A message to this member itself is dropped by the receiving side.
        removed.iter().for_each(|(member, _)| self.send(member, Msg::Resign));
        // This leader has completed its own removal, with the votes of the others alone: now one of them leads.
        if !self.is_member() {
            self.announce_resignation();
            self.next_join_at = self.now + self.tuning.join_interval_ms;
            self.may_stop = true;
            return self.become_follower(self.hard.term);
        }
        self.may_stop |= self.leaving && self.may_stop_as_member(&self.me);
        if let Some(change) = self.next_change() {
            self.change_members(change);
        }
    }

    /// Appends a membership change, which is in force for this leader at once.
    fn change_members(&mut self, change: Body) {
        self.append(change);
        let ids: Vec<MemberId> = self.log.all_members().map(|member| member.id).collect();
        if let Role::Leader(leader_state) = &mut self.role {
            let is_member = |peer: &Peer| ids.contains(&peer.member.id);
            leader_state.peers.retain(|peer| peer.learner || is_member(peer));
            for peer in &mut leader_state.peers {
                peer.learner = !is_member(peer);
            }
        }
        // A leader alone, or with what the others acknowledged before, may already be a majority.
        self.advance_commit();
    }

    /// The next membership change, if one is due. The order is: the end of a replacement, additions, removals of
    /// excluded members, removals of members that are gone.
    fn next_change(&self) -> Option<Body> {
        if self.log.is_joint() {
            // The joint entry is committed by both lists: from here on the new list is in force alone.
            return Some(Body::Members(self.log.members().to_vec()));
        }
        let addition = self.promotable_learners().find_map(|member| self.addition_of(member));
        let removal = || self.without_excluded().or_else(|| self.without_departed()).map(Body::Members);
        addition.or_else(removal)
    }

    /// Learners that have caught up, answer, and aren't excluded.
    fn promotable_learners(&self) -> impl Iterator<Item = &Member> {
        let peers = match &self.role {
            Role::Leader(leader_state) => leader_state.peers.as_slice(),
            _ => &[],
        };
        let caught_up_index = self.commit.max(self.log.last().saturating_sub(CAUGHT_UP_ENTRIES));
        let caught_up = move |peer: &&Peer| {
            peer.learner
                && guard!(LearnerCaughtUp, peer.has_up_to(caught_up_index), true)
                && self.now <= peer.last_answer_at() + self.tuning.election_max_ms
        };
        let members = peers.iter().filter(caught_up).map(|peer| &peer.member);
        members.filter(|member| !self.is_excluded(&member.host))
    }

    /// The change that makes this machine a member: it replaces the earlier member on its host, or one that is gone or
    /// departing, or else becomes one more.
    fn addition_of(&self, member: &Member) -> Option<Body> {
        let members = self.log.members();
        if let Some(old) = members.iter().find(|old| old.host == member.host) {
            // The earlier member must be silent: otherwise two programs share a host, and the first one stays.
            return self
                .is_silent(old, self.tuning.election_max_ms)
                .then(|| self.replacement(old, member))?;
        }
        if let Some(departed) = self.departed_member() {
            return self.replacement(departed, member);
        }
        let limit = if self.is_requested(&member.host) { MEMBERS_MAX } else { self.tuning.max_members };
        if members.len() >= guard!(StandbyLimit, limit.min(MEMBERS_MAX), MEMBERS_MAX) {
            return None;
        }
        // While a member is missing, an addition must not raise the size of a majority: the loss of the new member
        // right after would leave no majority.
        let next: Vec<Member> = members.iter().chain([member]).cloned().collect();
        let raises_majority = next.len() / 2 > members.len() / 2;
        let all_answer = || !members.iter().any(|member| self.is_silent(member, self.tuning.election_min_ms));
        let allowed = guard!(QuorumRaisedWhenHealthy, !raises_majority || all_answer(), true);
        (allowed && self.majority_reachable(&next)).then_some(Body::Members(next))
    }

    /// Replaces one member by another in one step, by majorities of both lists. Two steps would put a list with one
    /// member less or more in force between them, and then the loss of as many disks as the core has to survive may
    /// leave no majority, although the member that was considered gone comes back with its disk.
    fn replacement(&self, old: &Member, new: &Member) -> Option<Body> {
        let before = self.log.members().to_vec();
        let after: Vec<Member> =
            before.iter().map(|member| if member.id == old.id { new } else { member }).cloned().collect();
        (self.majority_reachable(&before) && self.majority_reachable(&after))
            .then_some(Body::Joint { old: before, new: after })
    }

    /// Of the members that are gone or announced their stop, the one that has been silent for the longest time.
    fn departed_member(&self) -> Option<&Member> {
        let timeout_ms = guard!(PromptRemoval, self.tuning.removal_timeout_ms, SLOW_REMOVAL_MS);
        let is_departing =
            |id| guard!(DepartureAnnounced, self.departing.iter().any(|(member, _)| member.id == id), false);
        let Role::Leader(leader_state) = &self.role else { return None };
        let is_departed = |member: &&Member| self.is_silent(member, timeout_ms) || is_departing(member.id);
        let departed = self.log.members().iter().filter(is_departed);
        departed.min_by_key(|member| leader_state.peer(member.id).map(Peer::last_answer_at))
    }

    /// The members without one that operators exclude.
    fn without_excluded(&self) -> Option<Vec<Member>> {
        let excluded = self.log.members().iter().find(|member| self.removal_due(member))?;
        let next = self.without(excluded);
        (next.len() >= MEMBERS_MIN && self.majority_reachable(&next)).then_some(next)
    }

    /// The members without one that is gone or departing, if enough are left.
    fn without_departed(&self) -> Option<Vec<Member>> {
        let min_members = guard!(MinMembersKept, self.tuning.min_members.max(MEMBERS_MIN), MEMBERS_MIN);
        if self.log.members().len() <= min_members {
            return None;
        }
        let next = self.without(self.departed_member()?);
        self.majority_reachable(&next).then_some(next)
    }

    /// There is a learner that could replace a member.
    pub(crate) fn has_standby(&self) -> bool {
        self.promotable_learners().any(|learner| !self.has_member_at(&learner.host))
    }

    /// This member may stop without being replaced: there is no standby, no change is due, and the remaining members
    /// can decide.
    pub(crate) fn may_stop_as_member(&self, member: &Member) -> bool {
        let members = self.log.members();
        let at_minimum = members.len() <= self.tuning.min_members.max(MEMBERS_MIN);
        let remaining =
            members.iter().filter(|other| other.id != member.id && self.is_reachable(other)).count();
        let settled = self.ready() && self.log.membership_index() <= self.commit && !self.log.is_joint();
        let can_decide = remaining > members.len() / 2 || members.len() < MEMBERS_MIN;
        settled && at_minimum && can_decide && !self.has_standby()
    }

    /// The members without this one.
    fn without(&self, removed: &Member) -> Vec<Member> {
        self.log.members().iter().filter(|member| member.id != removed.id).cloned().collect()
    }

    /// Operators want a member on this host: one more, or in place of one that is still a member.
    fn is_requested(&self, host: &str) -> bool {
        let replaces = |exclusion: &Exclusion| {
            exclusion.after.as_deref() == Some(host) && self.has_member_at(&exclusion.host)
        };
        self.requested_host.as_deref() == Some(host) || self.exclusions.iter().any(replaces)
    }

    /// This is another member, and it has not answered for `ms`.
    fn is_silent(&self, member: &Member, ms: u64) -> bool {
        let Role::Leader(leader_state) = &self.role else { return false };
        let unanswered = |peer: &Peer| self.now > peer.last_answer_at() + ms;
        member.id != self.me.id && leader_state.peer(member.id).is_some_and(unanswered)
    }

    /// This is the leader itself, or a member that answered within the longest election time.
    fn is_reachable(&self, member: &Member) -> bool {
        let Role::Leader(leader_state) = &self.role else { return false };
        let answered = |peer: &Peer| self.answered_recently(peer, self.now);
        member.id == self.me.id || leader_state.peer(member.id).is_some_and(answered)
    }

    /// More than half of these members are reachable.
    fn majority_reachable(&self, members: &[Member]) -> bool {
        members.iter().filter(|member| self.is_reachable(member)).count() > members.len() / 2
    }

    /// The peer answered within the longest election time.
    fn answered_recently(&self, peer: &Peer, now: u64) -> bool {
        peer.has_up_to(0) && now <= peer.last_answer_at() + self.tuning.election_max_ms
    }
}
