//! Receiving, answering and sending datagrams, with limits on both rates.

use super::{Cause, DropReason, Membership};
use crate::view::MemberState;
use crate::wire::{Body, DecodeError, Entry, Packet};

impl Membership {
    /// Processes a datagram that arrived from the address of member `from`.
    pub fn receive(&mut self, now_ms: f64, from: u16, bytes: &[u8]) {
        self.advance(now_ms);
        let (peer, packet) = match self.accept(from, bytes) {
            Ok(accepted) => accepted,
            Err(reason) => return self.count_dropped(reason),
        };
        let member = self.view.member(peer);
        if packet.incarnation < member.incarnation {
            self.count_dropped(DropReason::Stale);
            // An earlier process that still runs, a start after the clock moved back, or another process with the
            // member's number: in each case the sender must learn which incarnation of its number is known here.
            self.send_entries(peer, Body::Gossip, &[peer], false);
            return;
        }
        self.counts.received += 1;
        if packet.incarnation > member.incarnation || member.state == MemberState::Unknown {
            let state = if packet.leaving { MemberState::Leaving } else { MemberState::Alive };
            self.set_state(peer, state, packet.incarnation, packet.epoch, Cause::DatagramReceived);
        }
        self.view.member_mut(peer).last_received_ms = self.now_ms;
        self.last_received_ms = self.now_ms;
        for entry in &packet.entries {
            self.apply_claim(packet.from, entry, packet.incarnation);
        }
        self.receive_votes(&packet);
        // The sender is held to be suspect or gone but is alive: it must learn of the claim to refute it.
        let accused = matches!(self.view.member(peer).state, MemberState::Suspect | MemberState::Gone);
        let answered_anyway = matches!(packet.body, Body::Ping(_) | Body::PingRequest { .. });
        if accused && !answered_anyway {
            self.send(peer, Body::Gossip, false);
        }
        if packet.digest != self.view.digest() as u32 {
            self.differing_peer = Some(from);
        }
        self.handle_body(peer, packet.body, &packet.entries, packet.incarnation);
    }

    /// Decodes and checks a datagram. Returns the sender's index and the packet, or why it is dropped.
    fn accept(&mut self, from: u16, bytes: &[u8]) -> Result<(usize, Packet), DropReason> {
        let peer = self
            .view
            .index_of(from)
            .filter(|peer| *peer != self.own_index)
            .ok_or(DropReason::UnknownSender)?;
        let packet = Packet::decode(bytes).map_err(|error| match error {
            DecodeError::Damaged => DropReason::Damaged,
            DecodeError::UnknownVersion => DropReason::VersionMismatch,
        })?;
        // The address identifies the sender; the number in the packet must be the same.
        if packet.from != from {
            return Err(DropReason::UnknownSender);
        }
        if packet.roster_hash != self.roster_hash {
            return Err(DropReason::RosterMismatch);
        }
        // Only valid datagrams use up the sender's budget: garbage with a member's address as its source must not
        // displace the member's own datagrams.
        if !self.admit_datagram(peer) {
            return Err(DropReason::RateLimited);
        }
        Ok((peer, packet))
    }

    /// Handles the body; `base` is the sender's incarnation.
    fn handle_body(&mut self, peer: usize, body: Body, entries: &[Entry], base: u64) {
        match body {
            Body::Ping(seq) => self.send(peer, Body::Ack(seq), true),
            Body::PingRequest { number, seq } => self.relay_ping(peer, number, seq),
            Body::Ack(seq) => self.handle_ack(peer, seq),
            Body::Nack(seq) => self.handle_nack(seq),
            Body::Gossip => {}
            Body::CompareDigests { first, span, digests } => self.handle_compare(peer, first, span, &digests),
            Body::Entries { first, span, reply_wanted: true } => {
                self.reply_with_newer(peer, first, span, entries, base)
            }
            Body::Entries { .. } => {}
        }
    }

    pub(super) fn count_dropped(&mut self, reason: DropReason) {
        self.counts.dropped[reason as usize] += 1;
    }

    /// Charges a datagram to the receive budgets, the total and the sender's, which is a fourth of the total. Returns
    /// whether both suffice: without the second, one sender's flood would use up the budget of all others.
    fn admit_datagram(&mut self, peer: usize) -> bool {
        let elapsed_s = (self.now_ms - self.receive_budget_at_ms) / 1_000.0;
        self.receive_budget =
            (self.receive_budget + elapsed_s * self.max_received_per_s).min(self.max_received_per_s);
        self.receive_budget_at_ms = self.now_ms;
        let (now_ms, member_rate_per_s) = (self.now_ms, (self.max_received_per_s / 4.0).max(10.0));
        let member = self.view.member_mut(peer);
        let elapsed_s = ((now_ms - member.receive_budget_at_ms) / 1_000.0).min(1.0);
        member.receive_budget =
            (f64::from(member.receive_budget) + elapsed_s * member_rate_per_s).min(member_rate_per_s) as f32;
        member.receive_budget_at_ms = now_ms;
        if member.receive_budget < 1.0 || self.receive_budget < 1.0 {
            return false;
        }
        member.receive_budget -= 1.0;
        self.receive_budget -= 1.0;
        true
    }

    pub(super) fn send(&mut self, peer: usize, body: Body, urgent: bool) {
        self.send_with(peer, body, None, urgent);
    }

    pub(super) fn send_entries(&mut self, peer: usize, body: Body, members: &[usize], urgent: bool) {
        self.send_with(peer, body, Some(members), urgent);
    }

    /// Sends a datagram if the send budget allows it; urgent ones may overdraw it. `members` selects the entries, with
    /// `None` they come from the gossip queue, and votes are attached.
    fn send_with(&mut self, peer: usize, body: Body, members: Option<&[usize]>, urgent: bool) {
        if self.yielded || peer == self.own_index {
            return;
        }
        if self.send_budget < self.min_budget(&body, urgent) {
            self.counts.rate_limited += 1;
            return;
        }
        let mut packet = self.packet_with(body);
        // Votes and grants take a third of a datagram in a fleet of hundreds: with a long gossip queue only every third
        // datagram has them.
        let with_votes = self.gossip_queue_is_short() || self.counts.sent.is_multiple_of(3);
        if members.is_none() && with_votes {
            self.attach_votes(&mut packet);
        }
        let free_bytes = packet.free_bytes();
        packet.entries = match members {
            None => self.select_gossip(peer, free_bytes),
            Some(members) => self.entries_for(members, free_bytes),
        };
        let Some(bytes) = packet.encode() else { return };
        self.send_budget -= 1.0;
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.outgoing.push_back((self.view.roster_entry(peer).number, bytes));
    }

    /// The budget below which a datagram with this body is not sent; a negative value allows an overdraft.
    fn min_budget(&self, body: &Body, urgent: bool) -> f64 {
        // A missing answer looks like a crash: answers may overdraw a whole second of the send rate, pings half of one.
        let is_answer = matches!(body, Body::Ack(_) | Body::Nack(_));
        if is_answer {
            1.0 - self.send_rate_per_s
        } else if urgent {
            -0.5 * self.send_rate_per_s
        } else {
            1.0
        }
    }

    /// A packet of this gateway without votes and entries.
    fn packet_with(&self, body: Body) -> Packet {
        Packet {
            from: self.own_number,
            roster_hash: self.roster_hash,
            incarnation: self.incarnation,
            epoch: self.epoch,
            leaving: self.leaving,
            digest: self.view.digest() as u32,
            body,
            ballot: None,
            grant: None,
            entries: Vec::new(),
        }
    }
}
