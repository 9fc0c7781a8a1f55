//! What a history shows of the chain of versions: which were in force, since when that is known, and on what each was built.

use crate::{Answer, Call, Exchange, Kind, Status};
use std::collections::{BTreeMap, BTreeSet};

/// What makes copies of a call one order.
type Identity<'a> = (Kind, u64, u64, &'a str);

/// All copies of one change.
#[derive(Debug)]
pub(crate) struct Order<'a> {
    pub call: &'a Call,
    /// When its first copy was sent.
    pub sent_ms: u64,
    /// When its first acknowledgement was there.
    pub acked_ms: Option<u64>,
    /// A copy was refused that was sent when its base, or a newer version, was known to be in force: it can't be taken later.
    pub refused: bool,
}

impl Order<'_> {
    /// It may have been taken, as far as its own answers tell.
    pub fn open(&self) -> bool {
        self.acked_ms.is_some() || (!self.refused && self.call.valid && self.call.version > self.call.base)
    }

    fn identity(&self) -> Identity<'_> {
        identity(self.call)
    }
}

fn identity(call: &Call) -> Identity<'_> {
    (call.kind, call.base, call.version, &call.digest)
}

/// What a history shows.
#[derive(Debug)]
pub(crate) struct Chain<'a> {
    pub orders: Vec<Order<'a>>,
    by_identity: BTreeMap<Identity<'a>, usize>,
    by_version: BTreeMap<u64, Vec<usize>>,
    by_base: BTreeMap<u64, Vec<usize>>,
    /// Versions that were in force for certain; 0 is among them.
    pub in_force: BTreeSet<u64>,
    /// By time: from then on at least this version is in force, as an answer tells.
    evidence: BTreeMap<u64, u64>,
    /// Copies of reads that were answered, by the version that they saw: when the last of them was sent.
    last_read: BTreeMap<u64, u64>,
}

impl<'a> Chain<'a> {
    pub fn of(history: &'a [Exchange]) -> Chain<'a> {
        let mut chain = Chain {
            orders: Vec::new(),
            by_identity: BTreeMap::new(),
            by_version: BTreeMap::new(),
            by_base: BTreeMap::new(),
            in_force: BTreeSet::from([0]),
            evidence: BTreeMap::new(),
            last_read: BTreeMap::new(),
        };
        let mut told: Vec<(u64, u64)> = Vec::new();
        for exchange in history {
            let call = &exchange.call;
            if call.kind != Kind::Read {
                chain.add(exchange);
            }
            let version = match exchange.status() {
                Status::Acknowledged => call.version,
                Status::Read(version) => {
                    let last = chain.last_read.entry(version).or_default();
                    *last = call.sent_ms.max(*last);
                    version
                }
                _ => continue,
            };
            chain.in_force.insert(version);
            told.extend(exchange.answer.map(|answer| (answer.received_ms, version)));
        }
        told.sort_unstable();
        let mut most = 0;
        for (at, version) in told {
            most = version.max(most);
            chain.evidence.insert(at, most);
        }
        chain.add_refusals(history);
        chain.add_bases();
        chain
    }

    fn add(&mut self, exchange: &'a Exchange) {
        let call = &exchange.call;
        let next = self.orders.len();
        let at = *self.by_identity.entry(identity(call)).or_insert(next);
        if at == next {
            self.by_version.entry(call.version).or_default().push(at);
            self.by_base.entry(call.base).or_default().push(at);
            self.orders.push(Order { call, sent_ms: call.sent_ms, acked_ms: None, refused: false });
        }
        let order = &mut self.orders[at];
        order.sent_ms = order.sent_ms.min(call.sent_ms);
        if let Some(Answer { status: Status::Acknowledged, received_ms }) = exchange.answer {
            order.acked_ms = Some(order.acked_ms.map_or(received_ms, |at| at.min(received_ms)));
        }
    }

    fn add_refusals(&mut self, history: &[Exchange]) {
        for exchange in
            history.iter().filter(|one| matches!(one.status(), Status::Conflict | Status::Invalid))
        {
            let call = &exchange.call;
            if let Some(at) = self.by_identity.get(&identity(call)) {
                self.orders[*at].refused |= self.known_at(call.sent_ms) >= call.base;
            }
        }
    }

    /// What versions in force were built on was in force, too.
    fn add_bases(&mut self) {
        let mut open: Vec<u64> = self.in_force.iter().copied().collect();
        while let Some(version) = open.pop() {
            let base = self.maker(version).map(|order| order.call.base);
            open.extend(base.filter(|base| self.in_force.insert(*base)));
        }
    }

    /// The order of a call.
    pub fn order_of(&self, call: &Call) -> Option<&Order<'a>> {
        self.by_identity.get(&identity(call)).map(|at| &self.orders[*at])
    }

    /// Orders that may have made this version; the acknowledged one alone, if there is one.
    pub fn makers(&self, version: u64) -> Vec<&Order<'a>> {
        Self::likely(self.at(self.by_version.get(&version)))
    }

    /// Orders that may have been taken on this base; the acknowledged one alone, if there is one.
    pub fn takers(&self, base: u64) -> Vec<&Order<'a>> {
        Self::likely(self.at(self.by_base.get(&base)))
    }

    fn at(&self, some: Option<&Vec<usize>>) -> Vec<&Order<'a>> {
        some.into_iter().flatten().map(|at| &self.orders[*at]).collect()
    }

    fn likely<'b>(orders: Vec<&'b Order<'a>>) -> Vec<&'b Order<'a>> {
        let acked: Vec<_> = orders.iter().copied().filter(|order| order.acked_ms.is_some()).collect();
        match acked.is_empty() {
            true => orders.into_iter().filter(|order| order.open()).collect(),
            false => acked,
        }
    }

    /// The one order that can have made this version.
    pub fn maker(&self, version: u64) -> Option<&Order<'a>> {
        let makers = self.makers(version);
        (makers.len() == 1).then(|| makers[0])
    }

    /// This order was taken for certain: it was acknowledged, or is the only one that can have made a version in force.
    pub fn taken(&self, order: &Order) -> bool {
        let version = order.call.version;
        order.acked_ms.is_some()
            || (self.in_force.contains(&version)
                && self.maker(version).is_some_and(|maker| maker.identity() == order.identity()))
    }

    /// The newest version that an answer had told of before `at`.
    pub fn known_at(&self, at: u64) -> u64 {
        self.evidence.range(..at).next_back().map_or(0, |(_, version)| *version)
    }

    /// This version was in force at `at` or before, as an answer had told by then.
    pub fn certain_at(&self, version: u64, at: u64) -> bool {
        version == 0 || (self.in_force.contains(&version) && self.known_at(at) >= version)
    }

    /// This version was still current at `at`: a read sent later saw it.
    pub fn still_current(&self, version: u64, at: u64) -> bool {
        self.last_read.get(&version).is_some_and(|sent| *sent >= at)
    }

    /// `newer` can have come about on top of `older`, by orders that may have been taken.
    pub fn leads_to(&self, older: u64, newer: u64) -> bool {
        let (mut open, mut seen) = (vec![newer], BTreeSet::from([newer]));
        while let Some(version) = open.pop() {
            if version == older {
                return true;
            }
            let bases = self.makers(version).into_iter().map(|order| order.call.base);
            let bases: Vec<u64> = bases.filter(|base| (older..version).contains(base)).collect();
            open.extend(bases.into_iter().filter(|base| seen.insert(*base)));
        }
        false
    }
}
