//! Added waits out of the logs: how long a request was on its way to a stand-in, less the median of its kind before the lapse.

use super::record::{Log, KINDS};
use std::collections::HashMap;

/// After a killed gateway is ready again, its waits count no earlier than this, ms: it rises to its stage first.
pub const SETTLED_MS: f64 = 2_500.0;

/// One request's added wait.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Place of its kind.
    pub kind: usize,
    /// Place of its tenant.
    pub tenant: usize,
    /// Place of its gateway.
    pub gateway: usize,
    /// When its client sent it, ms.
    pub sent: f64,
    /// ms.
    pub added: f64,
}

impl Sample {
    /// In which order it gives way.
    pub fn rank(&self) -> u32 {
        KINDS[self.kind].rank
    }
}

/// Added waits of first tries that were served, by the time at which they were sent. Tries of clients that meant to leave are
/// left out, as those of them that were served waited less than others; so are those at gateways that are away.
pub fn samples(log: &Log) -> Vec<Sample> {
    let mut came: HashMap<u64, f64> = HashMap::new();
    for run in &log.runs {
        let first = came.entry(run.attempt).or_insert(run.at);
        *first = first.min(run.at);
    }
    let mut all: Vec<Sample> = log
        .tries
        .iter()
        .filter(|one| one.number == 0 && !one.leaver && one.end.served())
        .filter(|one| !log.away(one.gateway, one.sent, one.sent, SETTLED_MS))
        .filter_map(|one| {
            let added = came.get(&one.attempt())? - one.sent;
            Some(Sample { kind: one.kind, tenant: one.tenant, gateway: one.gateway, sent: one.sent, added })
        })
        .collect();
    let usual: Vec<f64> = (0..KINDS.len())
        .map(|kind| {
            let before = all.iter().filter(|sample| sample.kind == kind && sample.sent < log.lapse);
            median(before.map(|sample| sample.added).collect()).unwrap_or(0.0)
        })
        .collect();
    for sample in &mut all {
        sample.added -= usual[sample.kind];
    }
    all.sort_by(|a, b| a.sent.total_cmp(&b.sent));
    all
}

/// The figure below which this part of them is, 0 to 1.
pub fn quantile(mut figures: Vec<f64>, part: f64) -> Option<f64> {
    figures.sort_by(f64::total_cmp);
    let at = (part * figures.len() as f64).ceil() as usize;
    figures.get(at.saturating_sub(1)).copied()
}

/// The middle one.
pub fn median(figures: Vec<f64>) -> Option<f64> {
    quantile(figures, 0.5)
}

/// Their mean.
pub fn mean(figures: impl IntoIterator<Item = f64>) -> Option<f64> {
    let (sum, count) =
        figures.into_iter().fold((0.0, 0_u32), |(sum, count), figure| (sum + figure, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}
