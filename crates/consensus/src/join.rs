//! How a machine finds the core and asks to join, and how a leader adds it as a learner.

use crate::messages::{Envelope, Msg};
use crate::state::{Consensus, Role};
use nickeljunction_messages::Member;

/// Learners that a leader replicates to at a time.
const LEARNERS_MAX: usize = 4;
/// Remembered hosts at which members may be.
const HOSTS_MAX: usize = 16;
/// A member without contact to a leader for this many longest election times asks to join, as it may have been removed.
const LEADERLESS_TIMEOUTS: u64 = 3;

impl Consensus {
    /// Handles [`Msg::Join`]: a leader adds the sender as a learner, another member redirects it.
    pub(crate) fn on_join(&mut self, from: &Member) {
        let (now, last_index, is_member) = (self.now, self.log.last(), self.has_member(from.id));
        let Role::Leader(leader_state) = &mut self.role else { return self.send_redirect(from) };
        let is_excluded = self.exclusions.iter().any(|exclusion| exclusion.host == from.host);
        if from.host == self.me.host || (!is_member && is_excluded) {
            return;
        }
        if let Some(peer) = leader_state.peers.iter_mut().find(|peer| peer.member.id == from.id) {
            return peer.probe_now();
        }
        // A host has one disk: an earlier learner there has lost its own.
        leader_state.peers.retain(|peer| !peer.learner || peer.member.host != from.host);
        let learners = leader_state.peers.iter().filter(|peer| peer.learner).count();
        if !is_member && learners < LEARNERS_MAX {
            leader_state.add_learner(from.clone(), last_index, now);
        }
    }

    /// Sends the current leader, if there is one.
    pub(crate) fn send_redirect(&mut self, to: &Member) {
        if let Some(leader) = self.leader.clone().filter(|leader| self.has_leader() && leader.id != to.id) {
            self.send(to, Msg::Redirect { leader });
        }
    }

    /// Handles [`Msg::Redirect`]: asks the leader to join, unless this is a member in contact with its leader.
    pub(crate) fn on_redirect(&mut self, leader: &Member) {
        self.remember_host(&leader.host);
        // Limits the rate if two machines redirect to each other.
        let followed_recently = self
            .redirect_followed_at
            .is_some_and(|followed_at| self.now < followed_at + self.tuning.heartbeat_ms);
        if self.has_leader() || followed_recently || leader.id == self.me.id {
            return;
        }
        self.redirect_followed_at = Some(self.now);
        self.send_join(leader.host.clone());
    }

    fn send_join(&mut self, host: String) {
        let envelope = Envelope { from: self.me.clone(), to: 0, term: self.hard.term, msg: Msg::Join };
        self.outputs.send.push((host, envelope));
    }

    /// Remembers a host where a member may be.
    pub(crate) fn remember_host(&mut self, host: &str) {
        if host == self.me.host || self.known_hosts.iter().any(|known| known == host) {
            return;
        }
        if self.known_hosts.len() >= HOSTS_MAX {
            self.known_hosts.pop_front();
        }
        self.known_hosts.push_back(host.to_owned());
    }

    /// When to ask to join next: a machine that isn't a member, at once; a member, after a long time without a leader.
    pub(crate) fn next_join_attempt(&self) -> u64 {
        let longest = self.tuning.election_max_ms;
        let earliest = if self.is_member() {
            self.leaderless_since + longest * LEADERLESS_TIMEOUTS
        } else {
            self.leader_contact_at.map_or(0, |contact_at| contact_at + longest)
        };
        self.next_join_at.max(earliest)
    }

    /// If an attempt is due, asks all known hosts to join the core.
    pub(crate) fn request_join_if_due(&mut self) {
        if self.now < self.next_join_attempt() {
            return;
        }
        let wait = if self.is_member() {
            self.tuning.election_max_ms * LEADERLESS_TIMEOUTS
        } else {
            self.tuning.join_interval_ms
        };
        // The random part keeps machines that start together from asking together.
        self.next_join_at = self.now + wait + self.rng.u64(0..=wait / 8);
        let mut hosts: Vec<String> = self.known_hosts.iter().cloned().collect();
        for member in self.other_members() {
            if !hosts.contains(&member.host) {
                hosts.push(member.host);
            }
        }
        for host in hosts {
            self.send_join(host);
        }
    }
}
