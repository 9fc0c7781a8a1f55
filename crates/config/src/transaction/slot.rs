//! The two ballots of a slot of a trial.

use super::effect::Effect;
use super::record::Change;
use super::schedule::{slot_opens, READ_MS_EACH};
use crate::ballot::Ballot;

/// The vote of one slot: one ballot takes the trial back, the other confirms it.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub(super) number: u64,
    pub(super) back: Ballot,
    pub(super) confirm: Ballot,
}

/// Whether a slot was begun by an earlier process, and how far it had come.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BegunSlot {
    /// Its number.
    pub(super) number: u64,
    /// Its ballots were marked ahead.
    pub(super) marked: bool,
}

impl Slot {
    /// The ballots of a slot, to be marked ahead of it.
    pub(super) fn ahead(change: &Change, gateways: usize, round: u64, number: u64) -> Slot {
        let started = slot_opens(round, number);
        let back = Ballot::new(back_name(change, round, number), 1, started);
        let confirm = Ballot::new(confirm_name(change, round, number), 1, started);
        Slot {
            number,
            back: back.reading(Some(read_pause_ms(gateways))).ahead(),
            confirm: confirm.reading(None).ahead(),
        }
    }

    /// Those that an earlier process was in: what it had said is unknown, so nothing is said again.
    pub(super) fn resumed(change: &Change, gateways: usize, round: u64, begun: BegunSlot) -> Slot {
        let BegunSlot { number, marked } = begun;
        let ballot = |name| Ballot::resumed(name, 1, slot_opens(round, number)).with_mark(marked);
        let back = ballot(back_name(change, round, number)).reading(Some(read_pause_ms(gateways)));
        let confirm = ballot(confirm_name(change, round, number)).reading(None);
        Slot { number, back, confirm }
    }

    pub(super) fn open(mut self: Box<Self>) -> Box<Self> {
        self.back.open();
        self.confirm.open();
        self
    }

    pub(super) fn marked(&self) -> bool {
        self.back.marked() && self.confirm.marked()
    }

    pub(super) fn poll(&mut self, now: f64) -> impl Iterator<Item = Effect> {
        [self.back.poll(now), self.confirm.poll(now)].into_iter().flatten().map(Effect::Call)
    }

    pub(super) fn next(&self) -> f64 {
        self.back.next().min(self.confirm.next())
    }

    /// The one of its ballots that has this name.
    pub(super) fn ballot(&mut self, name: &str) -> Option<&mut Ballot> {
        [&mut self.back, &mut self.confirm].into_iter().find(|ballot| ballot.name() == name)
    }
}

/// Pause between two reads of a ballot by one of so many gateways, ms.
pub(super) fn read_pause_ms(gateways: usize) -> f64 {
    READ_MS_EACH * gateways as f64
}

fn back_name(change: &Change, round: u64, slot: u64) -> String {
    format!("cfg.{}.{round}.b{slot}", change.fingerprint)
}

fn confirm_name(change: &Change, round: u64, slot: u64) -> String {
    format!("cfg.{}.{round}.c{slot}", change.fingerprint)
}
