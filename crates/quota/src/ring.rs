//! Units spent, by slots of time.

use std::collections::VecDeque;

/// Units spent in one slot.
#[derive(Debug, Clone, Copy)]
struct Slot {
    number: u64,
    units: u64,
}

/// Units by slot of their spend; a slot is in force until its end plus a window, so never shorter than a window after
/// any spend in it.
#[derive(Debug, Clone)]
pub(crate) struct Ring {
    slot_ms: u64,
    window_ms: u64,
    /// Oldest first, none empty.
    slots: VecDeque<Slot>,
    sum: u64,
}

impl Ring {
    pub(crate) fn new(slot_ms: u64, window_ms: u64) -> Ring {
        Ring { slot_ms: slot_ms.max(1), window_ms, slots: VecDeque::new(), sum: 0 }
    }

    /// Books `units` as spent at `at`, which may lie in the past.
    pub(crate) fn book(&mut self, at: u64, units: u64) {
        if units == 0 {
            return;
        }
        let number = at / self.slot_ms;
        let place = self.slots.partition_point(|slot| slot.number < number);
        match self.slots.get_mut(place) {
            Some(slot) if slot.number == number => slot.units += units,
            _ => self.slots.insert(place, Slot { number, units }),
        }
        self.sum += units;
    }

    fn ends(&self, slot: Slot) -> u64 {
        (slot.number + 1) * self.slot_ms + self.window_ms
    }

    /// Forgets slots that are out of force at `now`.
    pub(crate) fn age(&mut self, now: u64) {
        while let Some(&slot) = self.slots.front() {
            if self.ends(slot) > now {
                break;
            }
            self.sum -= slot.units;
            self.slots.pop_front();
        }
    }

    /// Units in force, as of the last `age`.
    pub(crate) fn sum(&self) -> u64 {
        self.sum
    }

    /// When the next units go out of force.
    pub(crate) fn next_free(&self) -> Option<u64> {
        self.slots.front().map(|slot| self.ends(*slot))
    }
}
