//! News of members, spread to members drawn at random until each item was told often enough.

use super::parameters::GOSSIP_MS;
use super::Membership;
use crate::view::{MemberState, View};
use crate::wire::{Body, Entry};

/// Receivers of one round of news.
const FANOUT: usize = 2;

impl Membership {
    pub(super) fn spread(&mut self, at: usize) {
        self.spread_as(at, false);
    }

    pub(super) fn spread_as(&mut self, at: usize, taken_back: bool) {
        self.forget_news(at);
        if self.view.len() < 2 || (self.yielded && at == self.at) {
            return;
        }
        let class = match self.view.member(at).state {
            // What is taken back must outrun what it takes back.
            _ if at == self.at || taken_back => 0,
            MemberState::Suspect | MemberState::Leaving => 1,
            MemberState::Gone => 2,
            MemberState::Alive | MemberState::Unknown => 3,
        };
        self.news.insert((class, 0, at));
        self.news_of.insert(at, (class, 0));
    }

    pub(super) fn forget_news(&mut self, at: usize) {
        if let Some((class, told)) = self.news_of.remove(&at) {
            self.news.remove(&(class, told, at));
        }
    }

    pub(super) fn run_gossip(&mut self) {
        if self.yielded
            || self.now < self.gossip_at + GOSSIP_MS
            || (self.news.is_empty() && !self.has_votes_to_tell())
        {
            return;
        }
        self.gossip_at = self.now;
        for _ in 0..FANOUT {
            // What stands by for pings and answers is not spent on news.
            if self.budget < 0.1 * self.rate {
                self.counts.rate_limited += 1;
                return;
            }
            if let Some(at) =
                self.random_member(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
            {
                self.send(at, Body::Gossip, false);
            }
        }
    }

    /// Entries for a datagram: of the receiver if it is accused, then news, the least told first, up to `room` bytes.
    pub(super) fn pick_news(&mut self, to: usize, mut room: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let base = self.incarnation;
        let entry = |view: &View, at: usize| {
            let member = view.member(at);
            let claim = member.claim()?;
            Some(Entry::new(view.roster_entry(at).number, claim, member.incarnation, member.epoch, base))
        };
        let accused = !matches!(self.view.member(to).state, MemberState::Alive | MemberState::Unknown);
        if let Some(accusation) = entry(&self.view, to).filter(|_| accused) {
            room = room.saturating_sub(accusation.byte_len());
            entries.push(accusation);
        }
        let mut told = Vec::new();
        for (class, times, at) in &self.news {
            // It knows best itself. Counted as told all the same: between two that live, news of each other would else
            // stay news for ever, and use up all that may be sent.
            if *at == to {
                told.push((*class, *times, *at));
                continue;
            }
            let Some(found) = entry(&self.view, *at) else { continue };
            let bytes = found.byte_len();
            if bytes > room {
                break;
            }
            room -= bytes;
            entries.push(found);
            told.push((*class, *times, *at));
        }
        for (class, times, at) in told {
            self.news.remove(&(class, times, at));
            if times + 1 < self.retell {
                self.news.insert((class, times + 1, at));
                self.news_of.insert(at, (class, times + 1));
            } else {
                self.news_of.remove(&at);
            }
        }
        entries
    }

    /// Entries of these members, up to `room` bytes.
    pub(super) fn entries_of(&self, members: &[usize], mut room: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        for index in members {
            let member = self.view.member(*index);
            let Some(claim) = member.claim() else { continue };
            let number = self.view.roster_entry(*index).number;
            let entry = Entry::new(number, claim, member.incarnation, member.epoch, self.incarnation);
            if entry.byte_len() > room {
                break;
            }
            room -= entry.byte_len();
            entries.push(entry);
        }
        entries
    }
}
