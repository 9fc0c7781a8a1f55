//! How changes spread: from the acknowledgement of each to the moment a hollow gateway has it. No I/O.

use std::collections::BTreeMap;

/// One change.
#[derive(Debug, Clone, Default)]
struct Change {
    acknowledged: Option<f64>,
    /// When each gateway had it, ms.
    had: Vec<f64>,
}

/// All changes of a run.
#[derive(Debug, Clone, Default)]
pub struct Spread {
    changes: BTreeMap<u64, Change>,
}

/// Times of a run, ms; `None`: there is nothing to tell.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Delays {
    /// Changes that were acknowledged.
    pub changes: usize,
    /// Of these, those that all gateways had at the end.
    pub everywhere: usize,
    /// From the acknowledgement to a gateway, over all gateways and changes: the median.
    pub median: Option<f64>,
    /// From the acknowledgement to the last gateway, over the changes that all had: the median.
    pub last_median: Option<f64>,
    /// The same: the longest.
    pub last_most: Option<f64>,
}

impl Spread {
    /// The operator heard at `at`, ms, that this version is in place.
    pub fn acknowledged(&mut self, version: u64, at: f64) {
        self.changes.entry(version).or_default().acknowledged = Some(at);
    }

    /// A gateway that had `from` has had `to` since `at`, ms: all versions between them with it.
    pub fn arrived(&mut self, from: u64, to: u64, at: f64) {
        // Gateways may have a change before its operator hears of it.
        self.changes.entry(to).or_default();
        for (_, change) in self.changes.range_mut(from + 1..=to) {
            change.had.push(at);
        }
    }

    /// The times of changes above `base`, for so many gateways.
    pub fn delays(&self, base: u64, gateways: usize) -> Delays {
        let mut told = Delays::default();
        let (mut all, mut lasts) = (Vec::new(), Vec::new());
        for change in self.changes.range(base + 1..).map(|(_, change)| change) {
            let Some(acknowledged) = change.acknowledged else { continue };
            told.changes += 1;
            let delays = change.had.iter().map(|had| (had - acknowledged).max(0.0));
            all.extend(delays.clone());
            if gateways > 0 && change.had.len() >= gateways {
                told.everywhere += 1;
                lasts.push(delays.fold(0.0, f64::max));
            }
        }
        told.median = median(&mut all);
        told.last_median = median(&mut lasts);
        told.last_most = lasts.last().copied();
        told
    }
}

/// The middle of some figures, which are sorted on the way; the lower one of two.
pub fn median(figures: &mut [f64]) -> Option<f64> {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len().saturating_sub(1) / 2).copied()
}
