//! Units spent within a sliding window, summed by time slot.

use std::collections::VecDeque;

/// Units spent in one slot.
#[derive(Debug, Clone, Copy)]
struct Slot {
    number: u64,
    units: u64,
}

/// Units by the slot in which they were spent. A slot stays in force for a window after its end, so that every unit in
/// it stays in force for at least a window.
#[derive(Debug, Clone)]
pub(crate) struct SlidingSum {
    slot_ms: u64,
    window_ms: u64,
    /// Oldest first, none empty.
    slots: VecDeque<Slot>,
    sum: u64,
}

impl SlidingSum {
    pub(crate) fn new(slot_ms: u64, window_ms: u64) -> SlidingSum {
        SlidingSum { slot_ms: slot_ms.max(1), window_ms, slots: VecDeque::new(), sum: 0 }
    }

    /// Adds `units` spent at `time`, which may lie in the past.
    pub(crate) fn add(&mut self, time: u64, units: u64) {
        if units == 0 {
            return;
        }
        let number = time / self.slot_ms;
        let index = self.slots.partition_point(|slot| slot.number < number);
        match self.slots.get_mut(index) {
            Some(slot) if slot.number == number => slot.units += units,
            _ => self.slots.insert(index, Slot { number, units }),
        }
        self.sum += units;
    }

    fn expiry(&self, slot: Slot) -> u64 {
        (slot.number + 1) * self.slot_ms + self.window_ms
    }

    /// Drops slots that are out of force at `now`.
    pub(crate) fn expire(&mut self, now: u64) {
        while let Some(&slot) = self.slots.front() {
            if self.expiry(slot) > now {
                break;
            }
            self.sum -= slot.units;
            self.slots.pop_front();
        }
    }

    /// Units in force, as of the last `expire`.
    pub(crate) fn sum(&self) -> u64 {
        self.sum
    }

    /// When the next units go out of force.
    pub(crate) fn next_expiry(&self) -> Option<u64> {
        self.slots.front().map(|slot| self.expiry(*slot))
    }
}
