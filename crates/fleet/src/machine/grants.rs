//! The exchange of votes and grants, which divide the pool among the gateways.

use super::Membership;
use crate::member_set::MemberSet;
use crate::share::PERIOD_MS;
use crate::view::MemberState;
use crate::wire::Packet;

/// A voter set of up to this length leaves room for a grant in the same datagram.
const SMALL_VOTER_SET_BYTES: usize = 50;

impl Membership {
    pub(super) fn run_shares(&mut self) {
        // A leaving gateway still votes, since the others need the quorum; one that yielded its number must not.
        if self.yielded {
            return;
        }
        let leader = self.view.members().find(|(_, member)| member.state == MemberState::Alive);
        let leader = leader.map_or(self.own_number, |(place, _)| place.number);
        // Votes start a tenth into the period: by then most gateways know of the changes around its start.
        if self.now_ms - f64::from(self.period) * PERIOD_MS > 0.1 * PERIOD_MS {
            self.shares.vote(self.period, leader);
        }
        let view = &self.view;
        let alive_members = || {
            let alive = view.members().filter(|(_, member)| member.state == MemberState::Alive);
            MemberSet::from_numbers(alive.map(|(place, _)| place.number))
        };
        if !self.leaving && self.shares.issue_grant(self.period, alive_members) {
            self.grant_transmissions = 0;
        }
    }

    pub(super) fn has_votes_to_send(&self) -> bool {
        let ballot =
            self.ballot_transmissions < self.retransmit_limit && self.shares.ballot(self.period).is_some();
        ballot || (self.grant_transmissions < self.retransmit_limit && self.shares.grant().is_some())
    }

    /// Takes the votes and the grant from a datagram; anything new is sent on.
    pub(super) fn receive_votes(&mut self, packet: &Packet) {
        if let Some(ballot) = &packet.ballot {
            if self.shares.merge_ballot(self.period, ballot) {
                self.ballot_transmissions = 0;
            }
        }
        if let Some(grant) = &packet.grant {
            if self.shares.accept_grant(self.period, grant) {
                self.grant_transmissions = 0;
            }
        }
    }

    /// Adds the votes and the grant to a datagram until each reaches the retransmit limit.
    pub(super) fn attach_votes(&mut self, packet: &mut Packet) {
        let is_small = |set: &MemberSet| set.byte_len() <= SMALL_VOTER_SET_BYTES;
        packet.ballot =
            self.shares.ballot(self.period).filter(|_| self.ballot_transmissions < self.retransmit_limit);
        packet.grant =
            self.shares.grant().filter(|_| self.grant_transmissions < self.retransmit_limit).cloned();
        // Both fit into one datagram only in a fleet of up to some hundreds. Otherwise the one with fewer
        // transmissions is sent. A grant makes the votes for its period unnecessary.
        let both = packet.ballot.is_some() && packet.grant.is_some();
        if both && !packet.ballot.as_ref().is_some_and(|ballot| is_small(&ballot.voters)) {
            if self.ballot_transmissions > self.grant_transmissions {
                packet.ballot = None;
            } else {
                packet.grant = None;
            }
        }
        self.ballot_transmissions += u32::from(packet.ballot.is_some());
        self.grant_transmissions += u32::from(packet.grant.is_some());
    }
}
