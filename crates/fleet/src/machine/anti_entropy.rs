//! Anti-entropy between views that differ: ranges of numbers are compared by digest, down to small ranges, whose entries
//! are exchanged.

use super::Membership;
use crate::view::MemberState;
use crate::wire::{Body, Entry};

/// Length from which the gossip queue counts as long: more entries than fit into a datagram.
const LONG_GOSSIP_QUEUE: usize = 24;
/// Largest range of numbers whose entries are sent with one [`Body::Entries`]; that many fit into a datagram.
const MAX_RANGE_ENTRIES: u32 = 16;
/// Parts of a range whose digests are compared with one datagram.
const COMPARED_PARTS: u32 = 16;
/// Most datagrams in reply to one comparison; the next comparison covers the rest.
const MAX_COMPARE_REPLIES: usize = 4;

impl Membership {
    pub(super) fn number_range(&self) -> (u32, u32) {
        (
            u32::from(self.view.roster_entry(0).number),
            u32::from(self.view.roster_entry(self.view.len() - 1).number) + 1,
        )
    }

    /// Compares the numbers from `first` to before `end` with a peer: sends the entries of a small range, the digests of
    /// the parts of a large one.
    pub(super) fn compare_range(&mut self, peer: usize, first: u32, end: u32) {
        let span = end.saturating_sub(first);
        if span <= MAX_RANGE_ENTRIES {
            return self.send_range(peer, first, end);
        }
        let part_span = span.div_ceil(COMPARED_PARTS);
        let digests = (0..span.div_ceil(part_span)).map(|index| {
            let part_first = first + index * part_span;
            self.view.digest_of(part_first, (part_first + part_span).min(end))
        });
        let body =
            Body::CompareDigests { first: first as u16, span: span as u16, digests: digests.collect() };
        self.send(peer, body, self.gossip_queue_is_short());
    }

    /// Whether anti-entropy has priority over gossip. With a long queue the gossip itself repairs most differences.
    pub(super) fn gossip_queue_is_short(&self) -> bool {
        self.gossip_queue.len() < LONG_GOSSIP_QUEUE
    }

    pub(super) fn handle_compare(&mut self, peer: usize, first: u16, span: u16, digests: &[u32]) {
        if digests.is_empty() || digests.len() > COMPARED_PARTS as usize || span == 0 {
            return;
        }
        let (first, span) = (u32::from(first), u32::from(span));
        let part_span = span.div_ceil(digests.len() as u32);
        let mut differing: Vec<(u32, u32)> = digests
            .iter()
            .enumerate()
            .map(|(index, digest)| {
                let part_first = first + index as u32 * part_span;
                (part_first, (part_first + part_span).min(first + span), *digest)
            })
            .filter(|(first, end, digest)| first < end && self.view.digest_of(*first, *end) != *digest)
            .map(|(first, end, _)| (first, end))
            .collect();
        self.rng.shuffle(&mut differing);
        for (first, end) in differing.into_iter().take(MAX_COMPARE_REPLIES) {
            self.compare_range(peer, first, end);
        }
    }

    /// Sends the entries of all known members in a range and asks for newer ones.
    fn send_range(&mut self, peer: usize, first: u32, end: u32) {
        let known: Vec<usize> = (first..end)
            .filter_map(|number| self.view.index_of(number as u16))
            .filter(|index| self.view.member(*index).state != MemberState::Unknown)
            .collect();
        let body = Body::Entries { first: first as u16, span: (end - first) as u16, reply_wanted: true };
        self.send_entries(peer, body, &known, self.gossip_queue_is_short());
    }

    /// Replies to the entries of a range with those that are newer in this view.
    pub(super) fn reply_with_newer(
        &mut self,
        peer: usize,
        first: u16,
        span: u16,
        received: &[Entry],
        base: u64,
    ) {
        let range = u32::from(first)..u32::from(first) + u32::from(span).min(MAX_RANGE_ENTRIES);
        let newer: Vec<usize> = range
            .filter_map(|number| self.view.index_of(number as u16))
            .filter(|index| self.is_newer(*index, received, base))
            .collect();
        if !newer.is_empty() {
            self.send_entries(peer, Body::Entries { first, span, reply_wanted: false }, &newer, false);
        }
    }

    /// Whether this view of a member is newer than the received entries, or they lack it.
    fn is_newer(&self, index: usize, received: &[Entry], base: u64) -> bool {
        let member = self.view.member(index);
        let number = self.view.roster_entry(index).number;
        let Some(claim) = member.claim() else { return false };
        let entry = received.iter().find(|entry| entry.number == number);
        entry.is_none_or(|entry| {
            (member.incarnation, claim.rank()) > (entry.incarnation(base), entry.claim.rank())
        })
    }
}
