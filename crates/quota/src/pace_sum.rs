//! The sum of the paces of all gateway processes for one tenant, updated at each change. Adding the paces up for each
//! tenant of each call would cost the square of the number of processes.

use std::collections::BTreeSet;

/// Sum of the paces of one tenant, with the times at which pace floors end.
#[derive(Debug, Clone, Default)]
pub(crate) struct PaceSum {
    sum: u64,
    /// When a pace floor ends, and the process that has it. Extending a floor leaves its old entry here; that only
    /// causes one more update.
    floor_ends: BTreeSet<(u64, u64)>,
}

impl PaceSum {
    pub(crate) fn sum(&self) -> u64 {
        self.sum
    }

    /// Replaces what is `counted` for a process by `pace`.
    pub(crate) fn update(&mut self, counted: &mut u64, pace: u64) {
        self.sum = self.sum - *counted + pace;
        *counted = pace;
    }

    /// Notes that the pace floor of a process ends at `until`.
    pub(crate) fn add_floor_end(&mut self, process_id: u64, until: u64) {
        self.floor_ends.insert((until, process_id));
    }

    /// Removes and returns a process whose pace floor has ended, so that its pace must be updated; `None` if there are
    /// no more.
    pub(crate) fn pop_ended_floor(&mut self, now: u64) -> Option<u64> {
        let (until, process_id) = *self.floor_ends.first()?;
        if until > now {
            return None;
        }
        self.floor_ends.pop_first();
        Some(process_id)
    }
}
