//! Votes and grants by which the gateways split a whole among them.

use super::Membership;
use crate::member_set::MemberSet;
use crate::share::PERIOD_MS;
use crate::view::MemberState;
use crate::wire::Packet;

/// Votes of this length at most leave room for a grant in the same datagram.
const SMALL_BALLOT_BYTES: usize = 50;

impl Membership {
    pub(super) fn run_shares(&mut self) {
        // A gateway that leaves votes on for the others; one that yields has no voice.
        if self.yielded {
            return;
        }
        let leader = self.view.members().find(|(_, member)| member.state == MemberState::Alive);
        let leader = leader.map_or(self.me, |(place, _)| place.number);
        // A while into the period: what changed at its seam is known to most by then.
        if self.now - f64::from(self.period) * PERIOD_MS > 0.1 * PERIOD_MS {
            self.shares.vote(self.period, leader);
        }
        let view = &self.view;
        let living = || {
            let alive = view.members().filter(|(_, member)| member.state == MemberState::Alive);
            MemberSet::from_numbers(alive.map(|(place, _)| place.number))
        };
        if !self.leaving && self.shares.issue_grant(self.period, living) {
            self.grant_told = 0;
        }
    }

    pub(super) fn has_votes_to_tell(&self) -> bool {
        let ballot = self.vote_told < self.retell && self.shares.ballot(self.period).is_some();
        ballot || (self.grant_told < self.retell && self.shares.grant().is_some())
    }

    /// Takes in the votes and grants of a datagram.
    pub(super) fn hear_votes(&mut self, packet: &Packet) {
        if let Some(ballot) = &packet.ballot {
            if self.shares.merge_ballot(self.period, ballot) {
                self.vote_told = 0;
            }
        }
        if let Some(grant) = &packet.grant {
            if self.shares.accept_grant(self.period, grant) {
                self.grant_told = 0;
            }
        }
    }

    /// Adds votes and the grant to a datagram while they were not told often enough.
    pub(super) fn attach_votes(&mut self, packet: &mut Packet) {
        let small = |bits: &MemberSet| bits.byte_len() <= SMALL_BALLOT_BYTES;
        packet.ballot = self.shares.ballot(self.period).filter(|_| self.vote_told < self.retell);
        packet.grant = self.shares.grant().filter(|_| self.grant_told < self.retell).cloned();
        // Both fit one datagram only in a fleet of some hundreds; the grant ends what the ballot is for.
        let both = packet.ballot.is_some() && packet.grant.is_some();
        if both && !packet.ballot.as_ref().is_some_and(|ballot| small(&ballot.voters)) {
            if self.vote_told > self.grant_told {
                packet.ballot = None;
            } else {
                packet.grant = None;
            }
        }
        self.vote_told += u32::from(packet.ballot.is_some());
        self.grant_told += u32::from(packet.grant.is_some());
    }
}
