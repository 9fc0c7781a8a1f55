//! Units spent, by slots of time.

use std::collections::VecDeque;

/// Units by slot of their spend; a slot is in force until its end plus a window, so never shorter than a window after
/// any spend in it.
#[derive(Debug, Clone)]
pub(crate) struct Ring {
    slot_ms: u64,
    window_ms: u64,
    /// Number of the slot and its units, oldest first, none empty.
    slots: VecDeque<(u64, u64)>,
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
        let slot = at / self.slot_ms;
        let place = self.slots.partition_point(|(number, _)| *number < slot);
        match self.slots.get_mut(place) {
            Some((number, sum)) if *number == slot => *sum += units,
            _ => self.slots.insert(place, (slot, units)),
        }
        self.sum += units;
    }

    fn ends(&self, slot: u64) -> u64 {
        (slot + 1) * self.slot_ms + self.window_ms
    }

    /// Forgets slots that are out of force at `now`.
    pub(crate) fn age(&mut self, now: u64) {
        while let Some(&(slot, units)) = self.slots.front() {
            if self.ends(slot) > now {
                break;
            }
            self.sum -= units;
            self.slots.pop_front();
        }
    }

    /// Units in force, as of the last `age`.
    pub(crate) fn sum(&self) -> u64 {
        self.sum
    }

    /// When the next units go out of force.
    pub(crate) fn next_free(&self) -> Option<u64> {
        self.slots.front().map(|(slot, _)| self.ends(*slot))
    }
}
