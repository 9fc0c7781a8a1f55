//! Who is a member: machines that ask are taught and added, silent ones and those that operators take away are removed, one
//! change at a time.

use crate::machine::{Consensus, Role};
use crate::messages::{Away, Body, Envelope, Msg, Seen};
use crate::replication::Peer;
use nickeljunction_messages::Member;

/// No more members than this.
pub const MEMBERS_MAX: usize = 7;
/// Members are removed while at least so many remain.
pub const MEMBERS_MIN: usize = 3;
/// Machines that are taught at a time.
const LEARNERS_MAX: usize = 4;
/// A learner that was silent for so many longest election times is let go; it asks again.
const LEARNER_TIMES: u64 = 4;
/// A learner that misses no more entries than this has caught up.
const CAUGHT_UP: u64 = 64;
/// Hosts that are remembered to ask at.
const HOSTS_MAX: usize = 16;
/// A member that has heard of no leader for so many longest election times asks to be taken in, as it may have been
/// removed.
const LONELY_TIMES: u64 = 3;

impl Consensus {
    /// Operators' word on who is not to be a member, in the place of what was told before: a member is removed once `after`
    /// is one and a majority of the rest answers, a machine that asks is not taken in. To be told from the log, the same at
    /// every member; it is carried out by the one that leads.
    pub fn away(&mut self, away: Vec<Away>) {
        self.away = away;
    }

    /// The others as their leader sees them, members first, then those that are taught; nobody where this member doesn't
    /// lead.
    pub fn seen(&self, now: u64) -> Vec<Seen> {
        let Role::Leading(lead) = &self.role else { return Vec::new() };
        let seen = |peer: &Peer| Seen {
            member: peer.member.clone(),
            learner: peer.learner,
            kept: peer.matched(),
            silent_ms: now.saturating_sub(peer.heard_at()),
            reachable: self.answers(peer, now),
        };
        let mut all: Vec<Seen> = lead.peers.iter().map(seen).collect();
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

    /// "Take me in."
    pub(crate) fn on_join(&mut self, from: &Member) {
        let (now, last, known) = (self.now, self.log.last(), self.knows(from.id));
        let Role::Leading(lead) = &mut self.role else { return self.point(from) };
        if from.host == self.me.host || (!known && self.away.iter().any(|away| away.host == from.host)) {
            return;
        }
        if let Some(peer) = lead.peers.iter_mut().find(|peer| peer.member.id == from.id) {
            return peer.poke();
        }
        // A host has one disk: what was there before is gone.
        lead.peers.retain(|peer| !peer.learner || peer.member.host != from.host);
        if !known && lead.peers.iter().filter(|peer| peer.learner).count() < LEARNERS_MAX {
            lead.teach(from.clone(), last, now);
        }
    }

    /// Tells who leads, where that is known.
    pub(crate) fn point(&mut self, to: &Member) {
        if let Some(leader) = self.leader.clone().filter(|leader| self.has_leader() && leader.id != to.id) {
            self.say(to, Msg::Point { leader });
        }
    }

    /// Somebody leads there: asks to be taken in, unless this is a member that hears its leader.
    pub(crate) fn on_point(&mut self, leader: &Member) {
        self.learn_host(&leader.host);
        // Two that point to each other must not keep this one busy.
        let lately = self.pointed_at.is_some_and(|at| self.now < at + self.tuning.heartbeat_ms);
        if self.has_leader() || lately || leader.id == self.me.id {
            return;
        }
        self.pointed_at = Some(self.now);
        self.say_join(leader.host.clone());
    }

    fn say_join(&mut self, host: String) {
        let envelope = Envelope { from: self.me.clone(), to: 0, term: self.hard.term, msg: Msg::Join };
        self.out.send.push((host, envelope));
    }

    /// Remembers a host where a member may be.
    pub(crate) fn learn_host(&mut self, host: &str) {
        if host == self.me.host || self.hosts.iter().any(|known| known == host) {
            return;
        }
        if self.hosts.len() >= HOSTS_MAX {
            self.hosts.pop_front();
        }
        self.hosts.push_back(host.to_owned());
    }

    /// When to look for the core next: a stranger at once, a member when it has heard of no leader for long.
    pub(crate) fn next_seek(&self) -> u64 {
        let longest = self.tuning.election_max_ms;
        let alone = if self.is_member() {
            self.alone_since + longest * LONELY_TIMES
        } else {
            self.heard_at.map_or(0, |at| at + longest)
        };
        self.join_at.max(alone)
    }

    /// Asks all known hosts to be taken in, where this isn't a member or no leader was heard for long.
    pub(crate) fn seek_core(&mut self) {
        if self.now < self.next_seek() {
            return;
        }
        let wait =
            if self.is_member() { self.tuning.election_max_ms * LONELY_TIMES } else { self.tuning.join_ms };
        // Spread a little: machines that start together don't ask together.
        self.join_at = self.now + wait + self.rng.u64(0..=wait / 8);
        let mut hosts: Vec<String> = self.hosts.iter().cloned().collect();
        for member in self.others() {
            if !hosts.contains(&member.host) {
                hosts.push(member.host);
            }
        }
        for host in hosts {
            self.say_join(host);
        }
    }

    /// The leader's care for who is a member.
    pub(crate) fn govern(&mut self) {
        let (now, longest) = (self.now, self.tuning.election_max_ms);
        if let Role::Leading(lead) = &mut self.role {
            let away = &self.away;
            lead.peers.retain(|peer| {
                !peer.learner
                    || (now <= peer.heard_at() + longest * LEARNER_TIMES
                        && !away.iter().any(|away| away.host == peer.member.host))
            });
        }
        // One change at a time, and none before this term has an entry that is committed, and told to the program: it may
        // be the one by which operators keep a host away.
        let told = matches!(&self.role, Role::Leading(lead) if self.delivered >= lead.start);
        let told = guard!(ChangeReady, told, true);
        if !told || guard!(OneChange, self.log.members_since() > self.commit, false) {
            return;
        }
        // It led its own removal to the end, with the votes of the others alone: now one of them leads.
        if !self.is_member() {
            self.hand_over();
            return self.follow(self.hard.term);
        }
        if let Some(members) = self.next_members() {
            self.append(Body::Members(members.clone()));
            if let Role::Leading(lead) = &mut self.role {
                let is_member = |peer: &Peer| members.iter().any(|member| member.id == peer.member.id);
                lead.peers.retain(|peer| peer.learner || is_member(peer));
                for peer in &mut lead.peers {
                    peer.learner = !is_member(peer);
                }
            }
            // Alone, or with what the others vouched for before, this may be enough already.
            self.advance();
        }
    }

    /// The members after the next change, where one is due.
    fn next_members(&self) -> Option<Vec<Member>> {
        let Role::Leading(lead) = &self.role else { return None };
        let members = self.log.members();
        let silent = |member: &Member, ms: u64| {
            member.id != self.me.id
                && lead.peer(member.id).is_some_and(|peer| self.now > peer.heard_at() + ms)
        };
        let without = |id| members.iter().filter(|member| member.id != id).cloned().collect::<Vec<_>>();
        let caught_up = |peer: &&Peer| {
            peer.learner
                && guard!(
                    CaughtUp,
                    peer.keeps(self.commit.max(self.log.last().saturating_sub(CAUGHT_UP))),
                    true
                )
                && self.now <= peer.heard_at() + self.tuning.election_max_ms
        };
        // Who comes is taken in before anybody goes.
        for peer in lead.peers.iter().filter(caught_up).filter(|peer| !self.is_away(&peer.member.host)) {
            let before = members.iter().find(|member| member.host == peer.member.host);
            let next = match before {
                // Its old self has to be silent: else two programs share a host, and the first one stays.
                Some(old) if silent(old, self.tuning.election_max_ms) => without(old.id),
                Some(_) => continue,
                None if members.len() >= MEMBERS_MAX => continue,
                None => members.iter().chain([&peer.member]).cloned().collect(),
            };
            if self.in_touch(&next) {
                return Some(next);
            }
        }
        if let Some(leaving) = members.iter().find(|member| self.is_to_go(member)) {
            let next = without(leaving.id);
            if next.len() >= MEMBERS_MIN && self.in_touch(&next) {
                return Some(next);
            }
        }
        // The longest silent one first.
        let mut gone: Vec<&Member> =
            members.iter().filter(|member| silent(member, self.tuning.gone_ms)).collect();
        gone.sort_by_key(|member| lead.peer(member.id).map(Peer::heard_at));
        let next = without(gone.first()?.id);
        (next.len() >= MEMBERS_MIN && self.in_touch(&next)).then_some(next)
    }

    /// More than half of these members answered within the longest election time.
    fn in_touch(&self, members: &[Member]) -> bool {
        let Role::Leading(lead) = &self.role else { return false };
        let answers = |member: &&Member| {
            member.id == self.me.id || lead.peer(member.id).is_some_and(|peer| self.answers(peer, self.now))
        };
        members.iter().filter(answers).count() > members.len() / 2
    }

    /// It answered within the longest election time.
    fn answers(&self, peer: &Peer, now: u64) -> bool {
        peer.keeps(0) && now <= peer.heard_at() + self.tuning.election_max_ms
    }
}
