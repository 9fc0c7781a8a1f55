//! The sum of the paces of all lives for one tenant, kept up as they change: added up anew for each tenant of each call it
//! would cost the square of the lives.

use std::collections::BTreeSet;

/// See the module.
#[derive(Debug, Clone, Default)]
pub(crate) struct Paces {
    sum: u64,
    /// When lifted paces end, and whose they are. A lift that was put off leaves its old entry, which does no harm.
    lifts: BTreeSet<(u64, u64)>,
}

impl Paces {
    /// The sum of what is counted.
    pub(crate) fn sum(&self) -> u64 {
        self.sum
    }

    /// Counts `pace` for a life in place of what was `counted` for it.
    pub(crate) fn count(&mut self, counted: &mut u64, pace: u64) {
        self.sum = self.sum - *counted + pace;
        *counted = pace;
    }

    /// The pace of a life falls by itself at `until`.
    pub(crate) fn lifted(&mut self, life: u64, until: u64) {
        self.lifts.insert((until, life));
    }

    /// A life whose lifted pace has ended: it must be counted anew. `None`: no more of them.
    pub(crate) fn lapsed(&mut self, now: u64) -> Option<u64> {
        let (until, life) = *self.lifts.first()?;
        if until > now {
            return None;
        }
        self.lifts.pop_first();
        Some(life)
    }
}
