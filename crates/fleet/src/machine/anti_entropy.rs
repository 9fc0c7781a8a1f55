//! Repair of views that differ: ranges of members are compared by digest, and small ranges are told entry by entry.

use super::Membership;
use crate::view::MemberState;
use crate::wire::{Body, Entry};

/// So many news are much: more than a datagram holds.
const NEWS_MUCH: usize = 24;
/// Most numbers whose entries one [`Body::Tell`] holds: they fit a datagram.
const TELL_SPAN: u32 = 16;
/// Parts of a range that are compared by digest in one datagram.
const PARTS: u32 = 16;
/// Datagrams that answer one comparison at most; the rest comes with the next.
const TELLS_MOST: usize = 4;

impl Membership {
    pub(super) fn number_range(&self) -> (u32, u32) {
        (
            u32::from(self.view.roster_entry(0).number),
            u32::from(self.view.roster_entry(self.view.len() - 1).number) + 1,
        )
    }

    /// Pings the one whose turn it is; with each ping of the slot that failed, one further on.    /// Compares a range of numbers with another gateway: few are told, many by digests of parts.
    pub(super) fn compare(&mut self, at: usize, from: u32, to: u32) {
        let span = to.saturating_sub(from);
        if span <= TELL_SPAN {
            return self.tell(at, from, to);
        }
        let part = span.div_ceil(PARTS);
        let parts = (0..span.div_ceil(part)).map(|index| {
            let first = from + index * part;
            self.view.digest_of(first, (first + part).min(to))
        });
        let body = Body::Compare { from: from as u16, span: span as u16, parts: parts.collect() };
        self.send(at, body, self.has_little_news());
    }

    /// Little is to be told: repair goes before news then. With much to tell news repair most of it themselves.
    pub(super) fn has_little_news(&self) -> bool {
        self.news.len() < NEWS_MUCH
    }

    pub(super) fn handle_compare(&mut self, at: usize, from: u16, span: u16, parts: &[u32]) {
        if parts.is_empty() || parts.len() > PARTS as usize || span == 0 {
            return;
        }
        let (from, span) = (u32::from(from), u32::from(span));
        let part = span.div_ceil(parts.len() as u32);
        let mut differing: Vec<(u32, u32)> = parts
            .iter()
            .enumerate()
            .map(|(index, digest)| {
                let first = from + index as u32 * part;
                (first, (first + part).min(from + span), *digest)
            })
            .filter(|(first, last, digest)| first < last && self.view.digest_of(*first, *last) != *digest)
            .map(|(first, last, _)| (first, last))
            .collect();
        self.rng.shuffle(&mut differing);
        for (first, last) in differing.into_iter().take(TELLS_MOST) {
            self.compare(at, first, last);
        }
    }

    fn tell(&mut self, at: usize, from: u32, to: u32) {
        let known: Vec<usize> = (from..to)
            .filter_map(|number| self.view.index_of(number as u16))
            .filter(|index| self.view.member(*index).state != MemberState::Unknown)
            .collect();
        let body = Body::Tell { from: from as u16, span: (to - from) as u16, back: true };
        self.send_of(at, body, &known, self.has_little_news());
    }

    /// Answers a told range with what is newer here.
    pub(super) fn tell_newer(&mut self, at: usize, from: u16, span: u16, news: &[Entry], base: u64) {
        let range = u32::from(from)..u32::from(from) + u32::from(span).min(TELL_SPAN);
        let newer: Vec<usize> = range
            .filter_map(|number| self.view.index_of(number as u16))
            .filter(|index| self.is_newer(*index, news, base))
            .collect();
        if !newer.is_empty() {
            self.send_of(at, Body::Tell { from, span, back: false }, &newer, false);
        }
    }

    /// This gateway knows more of a member than the told entries.
    fn is_newer(&self, index: usize, told: &[Entry], base: u64) -> bool {
        let member = self.view.member(index);
        let number = self.view.roster_entry(index).number;
        let Some(claim) = member.claim() else { return false };
        let told = told.iter().find(|entry| entry.number == number);
        told.is_none_or(|entry| {
            (member.incarnation, claim.rank()) > (entry.incarnation(base), entry.claim.rank())
        })
    }
}
