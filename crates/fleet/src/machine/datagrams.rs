//! Datagrams: what is taken in, what is answered, and what may be sent within this gateway's rate.

use super::{Cause, DropReason, Membership};
use crate::view::MemberState;
use crate::wire::{Body, Entry, Packet, Unreadable};

impl Membership {
    /// Takes a datagram that came from the address of member `from`.
    pub fn receive(&mut self, now: f64, from: u16, bytes: &[u8]) {
        self.advance(now);
        let (at, packet) = match self.accept(from, bytes) {
            Ok(accepted) => accepted,
            Err(reason) => return self.count_dropped(reason),
        };
        let member = self.view.member(at);
        if packet.incarnation < member.incarnation {
            self.count_dropped(DropReason::Stale);
            // A life of before that lingers, a start with a clock that jumped back, or a process beside the
            // member: whichever it is, it must hear what is held of its number.
            self.send_of(at, Body::Gossip, &[at], false);
            return;
        }
        self.counts.received += 1;
        if packet.incarnation > member.incarnation || member.state == MemberState::Unknown {
            let state = if packet.leaving { MemberState::Leaving } else { MemberState::Alive };
            self.set_state(at, state, packet.incarnation, packet.epoch, Cause::DatagramReceived);
        }
        self.view.contact(at).last_received_ms = self.now;
        self.heard = self.now;
        for entry in &packet.news {
            self.hear_claim(packet.from, entry, packet.incarnation);
        }
        self.hear_votes(&packet);
        // It is held to be suspect or gone and speaks: it must hear that to take it back.
        let accused = matches!(self.view.member(at).state, MemberState::Suspect | MemberState::Gone);
        let answers = matches!(packet.body, Body::Ping(_) | Body::PingFor { .. });
        if accused && !answers {
            self.send(at, Body::Gossip, false);
        }
        if packet.digest != self.view.digest() as u32 {
            self.differs = Some(from);
        }
        self.handle(at, packet.body, &packet.news, packet.incarnation);
    }

    /// The sender's index and the packet, or why the datagram is dropped.
    fn accept(&mut self, from: u16, bytes: &[u8]) -> Result<(usize, Packet), DropReason> {
        let at = self.view.index_of(from).filter(|at| *at != self.at).ok_or(DropReason::UnknownSender)?;
        let packet = Packet::decode(bytes).map_err(|error| match error {
            Unreadable::Damaged => DropReason::Damaged,
            Unreadable::Version => DropReason::VersionMismatch,
        })?;
        // Senders are believed by their address: in another's name nobody speaks.
        if packet.from != from {
            return Err(DropReason::UnknownSender);
        }
        if packet.roster != self.roster {
            return Err(DropReason::RosterMismatch);
        }
        // Only what can be read is charged to its sender: noise in a member's name must not crowd out its true mail.
        if !self.admits(at) {
            return Err(DropReason::RateLimited);
        }
        Ok((at, packet))
    }

    /// Acts on what a datagram asks for or answers.
    fn handle(&mut self, at: usize, body: Body, news: &[Entry], base: u64) {
        match body {
            Body::Ping(seq) => self.send(at, Body::Ack(seq), true),
            Body::PingFor { number, seq } => self.relay_ping(at, number, seq),
            Body::Ack(seq) => self.acknowledged(at, seq),
            Body::Nack(seq) => self.not_acknowledged(seq),
            Body::Gossip => {}
            Body::Compare { from, span, parts } => self.handle_compare(at, from, span, &parts),
            Body::Tell { from, span, back: true } => self.tell_newer(at, from, span, news, base),
            Body::Tell { .. } => {}
        }
    }

    pub(super) fn count_dropped(&mut self, why: DropReason) {
        self.counts.dropped[why as usize] += 1;
    }

    /// Whether a datagram of this member is taken: so many a second of all, and of each a fourth of them.
    fn admits(&mut self, at: usize) -> bool {
        let gap = (self.now - self.taken_at) / 1_000.0;
        self.taken = (self.taken + gap * self.max_received_per_s).min(self.max_received_per_s);
        self.taken_at = self.now;
        let (now, each) = (self.now, (self.max_received_per_s / 4.0).max(10.0));
        let member = self.view.contact(at);
        let gap = ((now - member.mail_at) / 1_000.0).min(1.0);
        member.mail = (f64::from(member.mail) + gap * each).min(each) as f32;
        member.mail_at = now;
        // Else one that floods would use up what all others need.
        if member.mail < 1.0 || self.taken < 1.0 {
            return false;
        }
        member.mail -= 1.0;
        self.taken -= 1.0;
        true
    }

    pub(super) fn send(&mut self, at: usize, body: Body, urgent: bool) {
        self.send_with(at, body, None, urgent);
    }

    pub(super) fn send_of(&mut self, at: usize, body: Body, members: &[usize], urgent: bool) {
        self.send_with(at, body, Some(members), urgent);
    }

    /// Sends a datagram if there is room for one: urgent ones may use up what a second brings beforehand.
    fn send_with(&mut self, at: usize, body: Body, members: Option<&[usize]>, urgent: bool) {
        if self.yielded || at == self.at {
            return;
        }
        if self.budget < self.least_budget(&body, urgent) {
            self.counts.rate_limited += 1;
            return;
        }
        let mut packet = self.packet(body);
        // Votes and grants take a third of a datagram in a fleet of hundreds: with much to tell, one in three has them.
        let votes = self.has_little_news() || self.counts.sent.is_multiple_of(3);
        if members.is_none() && votes {
            self.attach_votes(&mut packet);
        }
        let room = packet.room();
        packet.news = match members {
            None => self.pick_news(at, room),
            Some(members) => self.entries_of(members, room),
        };
        let Some(bytes) = packet.encode() else { return };
        self.budget -= 1.0;
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.out.push_back((self.view.roster_entry(at).number, bytes));
    }

    /// The budget below which such a datagram is held back.
    fn least_budget(&self, body: &Body, urgent: bool) -> f64 {
        // An answer that is not sent passes for a death: answers may use up what the next second brings, pings half.
        let answer = matches!(body, Body::Ack(_) | Body::Nack(_));
        if answer {
            1.0 - self.rate
        } else if urgent {
            -0.5 * self.rate
        } else {
            1.0
        }
    }

    /// A packet of this gateway without votes and news.
    fn packet(&self, body: Body) -> Packet {
        Packet {
            from: self.me,
            roster: self.roster,
            incarnation: self.incarnation,
            epoch: self.epoch,
            leaving: self.leaving,
            digest: self.view.digest() as u32,
            body,
            ballot: None,
            grant: None,
            news: Vec::new(),
        }
    }
}
