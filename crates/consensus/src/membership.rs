//! Who is a member: machines that have caught up are added, silent ones and those that operators take away are removed, one
//! change at a time.

use crate::entry::Body;
use crate::members::{Exclusion, PeerStatus, MEMBERS_MAX, MEMBERS_MIN};
use crate::messages::Msg;
use crate::peer::Peer;
use crate::state::{Consensus, Role};
use nickeljunction_messages::{Member, MemberId};

/// A learner that was silent for so many longest election times is let go; it asks again.
const LEARNER_TIMES: u64 = 4;
/// A learner that misses no more entries than this has caught up.
const CAUGHT_UP: u64 = 64;
/// A time after which a silent member is removed that is too long, for the tests: the guard [`crate::Tuning::removal_timeout_ms`] out.
#[cfg(feature = "model")]
const LATE_MS: u64 = 6_000;

impl Consensus {
    /// Operators' word on which host is to be a member, above [`crate::Tuning::max_members`] if need be. As with
    /// [`Consensus::set_exclusions`].
    pub fn set_requested_host(&mut self, host: Option<String>) {
        self.called = host;
    }

    /// Operators' word on who is not to be a member, in the place of what was told before: a member is removed once `after`
    /// is one and a majority of the rest answers, a machine that asks is not taken in. To be told from the log, the same at
    /// every member; it is carried out by the one that leads.
    pub fn set_exclusions(&mut self, away: Vec<Exclusion>) {
        self.away = away;
    }

    /// The others as their leader sees them, members first, then those that are taught; nobody where this member doesn't
    /// lead.
    pub fn peer_statuses(&self, now: u64) -> Vec<PeerStatus> {
        let Role::Leader(lead) = &self.role else { return Vec::new() };
        let seen = |peer: &Peer| PeerStatus {
            member: peer.member.clone(),
            learner: peer.learner,
            match_index: peer.matched(),
            silent_ms: now.saturating_sub(peer.heard_at()),
            reachable: self.answers(peer, now),
        };
        let mut all: Vec<PeerStatus> = lead.peers.iter().map(seen).collect();
        all.sort_by_key(|seen| seen.learner);
        all
    }

    /// This host is on operators' list.
    fn is_away(&self, host: &str) -> bool {
        self.away.iter().any(|away| away.host == host)
    }

    /// It is, and nobody has to come before it goes.
    fn is_to_go(&self, member: &Member) -> bool {
        let is_there = |host: &String| self.log.members().iter().any(|member| member.host == *host);
        self.away.iter().any(|away| away.host == member.host && away.after.as_ref().is_none_or(is_there))
    }

    /// Who was about to end and asks for something, or still answers a while later, is there after all.
    pub(crate) fn note_ending(&mut self, from: MemberId, msg: &Msg) {
        let (now, gone_ms) = (self.now, self.tuning.removal_timeout_ms);
        let answers =
            matches!(msg, Msg::AppendReply { .. } | Msg::PreVoteReply { .. } | Msg::VoteReply { .. });
        self.ending.retain(|(member, at)| member.id != from || (answers && now < at + gone_ms));
    }

    /// The leader's care for who is a member.
    pub(crate) fn govern(&mut self) {
        let (now, longest) = (self.now, self.tuning.election_max_ms);
        if let Role::Leader(lead) = &mut self.role {
            let away = &self.away;
            lead.peers.retain(|peer| {
                !peer.learner
                    || (now <= peer.heard_at() + longest * LEARNER_TIMES
                        && !away.iter().any(|away| away.host == peer.member.host))
            });
        }
        // One change at a time, and none before this term has an entry that is committed, and told to the program: it may
        // be the one by which operators keep a host away.
        let told = matches!(&self.role, Role::Leader(lead) if self.delivered >= lead.start);
        if !guard!(ChangeReady, told, true)
            || guard!(OneChange, self.log.members_since() > self.commit, false)
        {
            return;
        }
        // Who ends and whose place is taken need not stay.
        let mut ending = std::mem::take(&mut self.ending);
        if self.leaves && !ending.iter().any(|(member, _)| member.id == self.me.id) {
            ending.push((self.me.clone(), self.now));
        }
        let (stay, ended): (Vec<_>, Vec<_>) =
            ending.into_iter().partition(|(member, _)| self.knows(member.id));
        self.ending = stay;
        // To itself it says nothing: such a message would be dropped.
        ended.iter().for_each(|(member, _)| self.send(member, Msg::Resign));
        // It led its own removal to the end, with the votes of the others alone: now one of them leads.
        if !self.is_member() {
            self.hand_over();
            self.join_at = self.now + self.tuning.join_interval_ms;
            self.may_end = true;
            return self.follow(self.hard.term);
        }
        self.may_end |= self.leaves && self.may_end_as_member(&self.me);
        if let Some(change) = self.next_change() {
            self.change_members(change);
        }
    }

    /// Appends a change of the members, by which this leader goes from now on.
    fn change_members(&mut self, change: Body) {
        self.append(change);
        let members: Vec<MemberId> = self.log.all_members().map(|member| member.id).collect();
        if let Role::Leader(lead) = &mut self.role {
            let is_member = |peer: &Peer| members.contains(&peer.member.id);
            lead.peers.retain(|peer| peer.learner || is_member(peer));
            for peer in &mut lead.peers {
                peer.learner = !is_member(peer);
            }
        }
        // Alone, or with what the others vouched for before, this may be enough already.
        self.advance();
    }

    /// The next change of the members, where one is due: the end of a replacement, then who comes, then who was told to go,
    /// then who is gone.
    fn next_change(&self) -> Option<Body> {
        if self.log.is_joint() {
            // It is agreed by both lists: the new one holds alone.
            return Some(Body::Members(self.log.members().to_vec()));
        }
        let comes = self.newcomers().find_map(|member| self.with(member));
        let goes = || self.without_leaving().or_else(|| self.without_gone()).map(Body::Members);
        comes.or_else(goes)
    }

    /// Machines that are taught, have caught up and answer, and may come.
    fn newcomers(&self) -> impl Iterator<Item = &Member> {
        let peers = match &self.role {
            Role::Leader(lead) => lead.peers.as_slice(),
            _ => &[],
        };
        let near = self.commit.max(self.log.last().saturating_sub(CAUGHT_UP));
        let caught_up = move |peer: &&Peer| {
            peer.learner
                && guard!(CaughtUp, peer.keeps(near), true)
                && self.now <= peer.heard_at() + self.tuning.election_max_ms
        };
        let members = peers.iter().filter(caught_up).map(|peer| &peer.member);
        members.filter(|member| !self.is_away(&member.host))
    }

    /// The change by which this machine becomes a member: in the place of its old self, or of one that is gone or ends, or
    /// else as one more.
    fn with(&self, member: &Member) -> Option<Body> {
        let members = self.log.members();
        if let Some(old) = members.iter().find(|old| old.host == member.host) {
            // Its old self has to be silent: else two programs share a host, and the first one stays.
            return self.silent(old, self.tuning.election_max_ms).then(|| self.replacement(old, member))?;
        }
        if let Some(gone) = self.gone() {
            return self.replacement(gone, member);
        }
        let room = if self.is_called(&member.host) { MEMBERS_MAX } else { self.tuning.max_members };
        if members.len() >= guard!(StandsBy, room.min(MEMBERS_MAX), MEMBERS_MAX) {
            return None;
        }
        // Who comes doesn't raise the number that a majority takes while a member is missing: its own loss, right after,
        // would leave none.
        let next: Vec<Member> = members.iter().chain([member]).cloned().collect();
        let raises = next.len() / 2 > members.len() / 2;
        let whole = || !members.iter().any(|member| self.silent(member, self.tuning.election_min_ms));
        (guard!(RaisedWhole, !raises || whole(), true) && self.in_touch(&next)).then_some(Body::Members(next))
    }

    /// One member in the place of another, in one step by majorities of both lists: in two, a list with one member less or
    /// more would hold between them, of which the loss of as many disks as are to be borne may leave no majority, though
    /// the member that was taken for gone comes back with its own.
    fn replacement(&self, old: &Member, new: &Member) -> Option<Body> {
        let before = self.log.members().to_vec();
        let after: Vec<Member> =
            before.iter().map(|member| if member.id == old.id { new } else { member }).cloned().collect();
        (self.in_touch(&before) && self.in_touch(&after)).then_some(Body::Joint { old: before, new: after })
    }

    /// The member that was silent for longest of those that are gone, or said that they end.
    fn gone(&self) -> Option<&Member> {
        let gone_ms = guard!(GoneSoon, self.tuning.removal_timeout_ms, LATE_MS);
        let ends = |id| guard!(EndTold, self.ending.iter().any(|(ending, _)| ending.id == id), false);
        let Role::Leader(lead) = &self.role else { return None };
        let is_gone = |member: &&Member| self.silent(member, gone_ms) || ends(member.id);
        let gone = self.log.members().iter().filter(is_gone);
        gone.min_by_key(|member| lead.peer(member.id).map(Peer::heard_at))
    }

    /// The members without one that operators take away.
    fn without_leaving(&self) -> Option<Vec<Member>> {
        let leaving = self.log.members().iter().find(|member| self.is_to_go(member))?;
        let next = self.without(leaving);
        (next.len() >= MEMBERS_MIN && self.in_touch(&next)).then_some(next)
    }

    /// The members without one that is gone, where enough are left.
    fn without_gone(&self) -> Option<Vec<Member>> {
        let least = guard!(ReplacedOnly, self.tuning.min_members.max(MEMBERS_MIN), MEMBERS_MIN);
        if self.log.members().len() <= least {
            return None;
        }
        let next = self.without(self.gone()?);
        self.in_touch(&next).then_some(next)
    }

    /// A machine is there that could come in the place of a member.
    pub(crate) fn stands_by(&self) -> bool {
        let members = self.log.members();
        self.newcomers().any(|new| members.iter().all(|member| member.host != new.host))
    }

    /// This one may end as it is a member: nobody could take its place, no change is due, and those that are left decide.
    pub(crate) fn may_end_as_member(&self, member: &Member) -> bool {
        let members = self.log.members();
        let few = members.len() <= self.tuning.min_members.max(MEMBERS_MIN);
        let left = members.iter().filter(|other| other.id != member.id && self.is_here(other)).count();
        let settled = self.ready() && self.log.members_since() <= self.commit && !self.log.is_joint();
        let decides = left > members.len() / 2 || members.len() < MEMBERS_MIN;
        settled && few && decides && !self.stands_by()
    }

    /// The members without this one.
    fn without(&self, gone: &Member) -> Vec<Member> {
        self.log.members().iter().filter(|member| member.id != gone.id).cloned().collect()
    }

    /// Operators want a member there: one more, or in the place of one that is still there.
    fn is_called(&self, host: &str) -> bool {
        let is_there = |host: &String| self.log.members().iter().any(|member| member.host == *host);
        let follows = |away: &Exclusion| away.after.as_deref() == Some(host) && is_there(&away.host);
        self.called.as_deref() == Some(host) || self.away.iter().any(follows)
    }

    /// Another member that wasn't heard for so long, ms.
    fn silent(&self, member: &Member, ms: u64) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        member.id != self.me.id && lead.peer(member.id).is_some_and(|peer| self.now > peer.heard_at() + ms)
    }

    /// It is this one, or answered within the longest election time.
    fn is_here(&self, member: &Member) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        member.id == self.me.id || lead.peer(member.id).is_some_and(|peer| self.answers(peer, self.now))
    }

    /// More than half of these members are here.
    fn in_touch(&self, members: &[Member]) -> bool {
        members.iter().filter(|member| self.is_here(member)).count() > members.len() / 2
    }

    /// It answered within the longest election time.
    fn answers(&self, peer: &Peer, now: u64) -> bool {
        peer.keeps(0) && now <= peer.heard_at() + self.tuning.election_max_ms
    }
}
