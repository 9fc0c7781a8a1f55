//! How a machine finds the core and asks to be taken in, and how a leader begins to teach it.

use crate::messages::{Envelope, Msg};
use crate::state::{Consensus, Role};
use nickeljunction_messages::Member;

/// Machines that are taught at a time.
const LEARNERS_MAX: usize = 4;
/// Hosts that are remembered to ask at.
const HOSTS_MAX: usize = 16;
/// A member that has heard of no leader for so many longest election times asks to be taken in, as it may have been
/// removed.
const LONELY_TIMES: u64 = 3;

impl Consensus {
    /// "Take me in."
    pub(crate) fn on_join(&mut self, from: &Member) {
        let (now, last, known) = (self.now, self.log.last(), self.knows(from.id));
        let Role::Leader(lead) = &mut self.role else { return self.redirect(from) };
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
    pub(crate) fn redirect(&mut self, to: &Member) {
        if let Some(leader) = self.leader.clone().filter(|leader| self.has_leader() && leader.id != to.id) {
            self.send(to, Msg::Redirect { leader });
        }
    }

    /// Somebody leads there: asks to be taken in, unless this is a member that hears its leader.
    pub(crate) fn on_redirect(&mut self, leader: &Member) {
        self.learn_host(&leader.host);
        // Two that point to each other must not keep this one busy.
        let lately = self.pointed_at.is_some_and(|at| self.now < at + self.tuning.heartbeat_ms);
        if self.has_leader() || lately || leader.id == self.me.id {
            return;
        }
        self.pointed_at = Some(self.now);
        self.send_join(leader.host.clone());
    }

    fn send_join(&mut self, host: String) {
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
        let wait = if self.is_member() {
            self.tuning.election_max_ms * LONELY_TIMES
        } else {
            self.tuning.join_interval_ms
        };
        // Spread a little: machines that start together don't ask together.
        self.join_at = self.now + wait + self.rng.u64(0..=wait / 8);
        let mut hosts: Vec<String> = self.hosts.iter().cloned().collect();
        for member in self.others() {
            if !hosts.contains(&member.host) {
                hosts.push(member.host);
            }
        }
        for host in hosts {
            self.send_join(host);
        }
    }
}
