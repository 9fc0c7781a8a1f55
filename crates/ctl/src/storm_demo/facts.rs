//! What the notes show at a second look: which changes were acknowledged and when, what was in force at the end, which
//! gateway showed which version, and where faults excuse it.

use super::record::{Fault, Got, Hit, Log, Order, OrderId, Said, Try};
use std::collections::{BTreeMap, BTreeSet};

/// A gateway in touch has a version so long after its acknowledgement, ms.
pub const APPLY_MS: f64 = 4_000.0;

/// A version that a gateway showed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shown {
    /// When the request that showed it was sent, ms.
    pub sent: f64,
    /// When its answer was there, ms.
    pub ended: f64,
    /// The version.
    pub version: u64,
    /// The order that made it.
    pub order: OrderId,
    /// Lives of the gateway that had ended by the time the request was sent.
    pub life: usize,
}

/// See the module.
pub struct Facts<'a> {
    /// What it is about.
    pub log: &'a Log,
    /// Changes by their number.
    pub orders: BTreeMap<OrderId, &'a Order>,
    /// When the first acknowledgement of a change was there, ms.
    pub acked: BTreeMap<OrderId, f64>,
    /// Changes in force at the end, and those that they are built on.
    pub chain: BTreeSet<OrderId>,
    /// The newest version that was read at the end.
    pub last: Option<u64>,
    /// By gateway, by the time at which they were sent.
    pub shown: Vec<Vec<Shown>>,
}

impl<'a> Facts<'a> {
    /// Looks through the notes.
    pub fn of(log: &'a Log) -> Facts<'a> {
        let orders: BTreeMap<OrderId, &Order> = log.orders.iter().map(|order| (order.id, order)).collect();
        let mut acked: BTreeMap<OrderId, f64> = BTreeMap::new();
        for copy in log.copies.iter().filter(|copy| copy.said == Said::Taken) {
            let first = acked.entry(copy.order).or_insert(copy.ended);
            *first = first.min(copy.ended);
        }
        let read_last = log.reads.iter().filter(|read| read.last).filter_map(|read| read.seen.as_ref());
        let last = read_last.max_by_key(|seen| seen.version);
        let mut chain = BTreeSet::new();
        let mut next = last.map(|seen| seen.order);
        while let Some(order) = next.and_then(|id| orders.get(&id)).filter(|order| chain.insert(order.id)) {
            next = Some(order.base_order);
        }
        let last = last.map(|seen| seen.version);
        let mut facts = Facts { log, orders, acked, chain, last, shown: Vec::new() };
        facts.shown = (0..log.gateways.len()).map(|gateway| facts.shown_by(gateway)).collect();
        facts
    }

    fn shown_by(&self, gateway: usize) -> Vec<Shown> {
        let own = self.log.tries.iter().filter(|one| one.gateway == gateway);
        let mut shown: Vec<Shown> = own
            .filter_map(|one| {
                let Got::Served(id) = one.got else { return None };
                let order = self.orders.get(&id)?;
                let life = self.life(one);
                Some(Shown { sent: one.sent, ended: one.ended, version: order.version, order: id, life })
            })
            .collect();
        shown.sort_by(|a, b| a.sent.total_cmp(&b.sent));
        shown
    }

    /// In which life of its gateway a request was sent.
    pub fn life(&self, one: &Try) -> usize {
        let mut kills = self.faults(Hit::Gateway(one.gateway));
        let before = kills.by_ref().filter(|fault| fault.killed && fault.from <= one.sent);
        before.count()
    }

    fn faults(&self, hit: Hit) -> impl Iterator<Item = &'a Fault> {
        self.log.faults.iter().filter(move |fault| fault.hit == hit)
    }

    /// Whether a gateway may have been out of touch at some moment between these: it was hit and hasn't had the bound to
    /// come back to since, or the core was.
    pub fn excused(&self, gateway: usize, from: f64, until: f64) -> bool {
        let over = |fault: &Fault| match (fault.hit, fault.all) {
            (Hit::Core(_), false) => fault.from + APPLY_MS,
            _ => fault.until + APPLY_MS,
        };
        let concerns = |fault: &&Fault| match fault.hit {
            Hit::Gateway(hit) => hit == gateway,
            Hit::Core(_) => true,
        };
        let mut faults = self.log.faults.iter().filter(concerns);
        faults.any(|fault| fault.from <= until && from <= over(fault))
    }

    /// Whether nothing was hit from `APPLY_MS` before the first moment to the second.
    pub fn calm(&self, from: f64, until: f64) -> bool {
        !self.log.faults.iter().any(|fault| fault.from <= until && from <= fault.until + APPLY_MS)
    }

    /// Versions in force, each with when its acknowledgement was there, by that time.
    pub fn acknowledged(&self) -> Vec<(f64, u64)> {
        let mut acked: Vec<(f64, u64)> =
            self.acked.iter().filter_map(|(id, at)| Some((*at, self.orders.get(id)?.version))).collect();
        acked.sort_by(|a, b| a.0.total_cmp(&b.0));
        acked
    }

    /// How long after each acknowledgement the last gateway that wasn't excused showed the version, ms; with the
    /// acknowledgement's time.
    pub fn spread(&self) -> Vec<(f64, f64)> {
        let acked = self.acknowledged();
        let last = |(at, version): &(f64, u64)| -> Option<(f64, f64)> {
            let gateways = (0..self.shown.len()).filter_map(|gateway| {
                let first = self.shown[gateway]
                    .iter()
                    .filter(|one| one.version >= *version)
                    .min_by(|a, b| a.ended.total_cmp(&b.ended))?;
                (!self.excused(gateway, *at, first.ended)).then_some((first.ended - at).max(0.0))
            });
            gateways.reduce(f64::max).map(|spread| (*at, spread))
        };
        acked.iter().filter_map(last).collect()
    }
}

/// The value below which this part of all lies.
pub fn quantile(mut values: Vec<f64>, part: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let at = (part * values.len() as f64).ceil() as usize;
    values.get(at.saturating_sub(1).min(values.len().saturating_sub(1))).copied()
}
