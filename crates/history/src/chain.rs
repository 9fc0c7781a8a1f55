//! The chain of versions that a history proves: which versions were in force, since when, and on which base.

use crate::{Answer, Call, Exchange, Kind, Status};
use std::collections::{BTreeMap, BTreeSet};

/// The fields that are equal in all copies of one change.
type Identity<'a> = (Kind, u64, u64, &'a str);

/// One change with all its copies.
#[derive(Debug)]
pub(crate) struct Change<'a> {
    pub call: &'a Call,
    /// When the first copy was sent.
    pub first_sent_ms: u64,
    /// When the first acknowledgement was received.
    pub acked_ms: Option<u64>,
    /// A copy was refused that was sent when the base, or a newer version, was known to be in force: the change can't be
    /// applied later.
    pub refused: bool,
}

impl Change<'_> {
    /// Whether the answers to this change allow that it was applied.
    pub fn may_be_applied(&self) -> bool {
        self.acked_ms.is_some() || (!self.refused && self.call.valid && self.call.version > self.call.base)
    }

    fn identity(&self) -> Identity<'_> {
        identity(self.call)
    }
}

fn identity(call: &Call) -> Identity<'_> {
    (call.kind, call.base, call.version, &call.digest)
}

/// The changes of a history and the versions that its answers prove.
#[derive(Debug)]
pub(crate) struct Chain<'a> {
    pub changes: Vec<Change<'a>>,
    /// Indexes into `changes`, as in the next two maps.
    by_identity: BTreeMap<Identity<'a>, usize>,
    by_version: BTreeMap<u64, Vec<usize>>,
    by_base: BTreeMap<u64, Vec<usize>>,
    /// Versions that were certainly in force; always contains 0.
    pub in_force: BTreeSet<u64>,
    /// By the time of an answer, ms: the newest version that answers have proved to be in force by then.
    newest_proved: BTreeMap<u64, u64>,
    /// By version: when the last read that returned it was sent, ms.
    last_read_sent_ms: BTreeMap<u64, u64>,
}

impl<'a> Chain<'a> {
    pub fn from_history(history: &'a [Exchange]) -> Chain<'a> {
        let mut chain = Chain {
            changes: Vec::new(),
            by_identity: BTreeMap::new(),
            by_version: BTreeMap::new(),
            by_base: BTreeMap::new(),
            in_force: BTreeSet::from([0]),
            newest_proved: BTreeMap::new(),
            last_read_sent_ms: BTreeMap::new(),
        };
        let mut proofs: Vec<(u64, u64)> = Vec::new();
        for exchange in history {
            let call = &exchange.call;
            if call.kind != Kind::Read {
                chain.add_copy(exchange);
            }
            let version = match exchange.status() {
                Status::Acknowledged => call.version,
                Status::Read(version) => {
                    let last = chain.last_read_sent_ms.entry(version).or_default();
                    *last = call.sent_ms.max(*last);
                    version
                }
                _ => continue,
            };
            chain.in_force.insert(version);
            proofs.extend(exchange.answer.map(|answer| (answer.received_ms, version)));
        }
        proofs.sort_unstable();
        let mut newest = 0;
        for (received_ms, version) in proofs {
            newest = version.max(newest);
            chain.newest_proved.insert(received_ms, newest);
        }
        chain.add_refusals(history);
        chain.add_bases();
        chain
    }

    fn add_copy(&mut self, exchange: &'a Exchange) {
        let call = &exchange.call;
        let next = self.changes.len();
        let index = *self.by_identity.entry(identity(call)).or_insert(next);
        if index == next {
            self.by_version.entry(call.version).or_default().push(index);
            self.by_base.entry(call.base).or_default().push(index);
            self.changes.push(Change { call, first_sent_ms: call.sent_ms, acked_ms: None, refused: false });
        }
        let change = &mut self.changes[index];
        change.first_sent_ms = change.first_sent_ms.min(call.sent_ms);
        if let Some(Answer { status: Status::Acknowledged, received_ms }) = exchange.answer {
            change.acked_ms = Some(change.acked_ms.map_or(received_ms, |acked_ms| acked_ms.min(received_ms)));
        }
    }

    fn add_refusals(&mut self, history: &[Exchange]) {
        let is_refusal =
            |exchange: &&Exchange| matches!(exchange.status(), Status::Conflict | Status::Invalid);
        for exchange in history.iter().filter(is_refusal) {
            let call = &exchange.call;
            if let Some(index) = self.by_identity.get(&identity(call)) {
                self.changes[*index].refused |= self.newest_proved_before(call.sent_ms) >= call.base;
            }
        }
    }

    /// Adds the bases of versions in force, recursively: they were in force, too.
    fn add_bases(&mut self) {
        let mut pending: Vec<u64> = self.in_force.iter().copied().collect();
        while let Some(version) = pending.pop() {
            let base = self.only_creator(version).map(|change| change.call.base);
            pending.extend(base.filter(|base| self.in_force.insert(*base)));
        }
    }

    /// The change that this call is a copy of.
    pub fn change_of(&self, call: &Call) -> Option<&Change<'a>> {
        self.by_identity.get(&identity(call)).map(|index| &self.changes[*index])
    }

    /// Changes that may have created this version; only the acknowledged ones, if there are any.
    pub fn possible_creators(&self, version: u64) -> Vec<&Change<'a>> {
        Self::possibly_applied(self.changes_at(self.by_version.get(&version)))
    }

    /// Changes that may have been applied on this base; only the acknowledged ones, if there are any.
    pub fn possible_successors(&self, base: u64) -> Vec<&Change<'a>> {
        Self::possibly_applied(self.changes_at(self.by_base.get(&base)))
    }

    fn changes_at(&self, indexes: Option<&Vec<usize>>) -> Vec<&Change<'a>> {
        indexes.into_iter().flatten().map(|index| &self.changes[*index]).collect()
    }

    fn possibly_applied<'b>(changes: Vec<&'b Change<'a>>) -> Vec<&'b Change<'a>> {
        let acked: Vec<_> = changes.iter().copied().filter(|change| change.acked_ms.is_some()).collect();
        match acked.is_empty() {
            true => changes.into_iter().filter(|change| change.may_be_applied()).collect(),
            false => acked,
        }
    }

    /// The change that created this version, if only one can have done so.
    pub fn only_creator(&self, version: u64) -> Option<&Change<'a>> {
        let creators = self.possible_creators(version);
        (creators.len() == 1).then(|| creators[0])
    }

    /// Whether the change was certainly applied: it was acknowledged, or only it can have created a version in force.
    pub fn certainly_applied(&self, change: &Change) -> bool {
        let version = change.call.version;
        change.acked_ms.is_some()
            || (self.in_force.contains(&version)
                && self.only_creator(version).is_some_and(|creator| creator.identity() == change.identity()))
    }

    /// The newest version that an answer received before `time_ms` proves to be in force.
    pub fn newest_proved_before(&self, time_ms: u64) -> u64 {
        self.newest_proved.range(..time_ms).next_back().map_or(0, |(_, version)| *version)
    }

    /// Whether answers received before `time_ms` prove that this version was in force by then.
    pub fn proved_before(&self, version: u64, time_ms: u64) -> bool {
        version == 0 || (self.in_force.contains(&version) && self.newest_proved_before(time_ms) >= version)
    }

    /// Whether this version was still current at `time_ms`: a read sent then or later returned it.
    pub fn still_current(&self, version: u64, time_ms: u64) -> bool {
        self.last_read_sent_ms.get(&version).is_some_and(|sent_ms| *sent_ms >= time_ms)
    }

    /// Whether changes that may have been applied can lead from `older` to `newer`.
    pub fn leads_to(&self, older: u64, newer: u64) -> bool {
        let (mut pending, mut visited) = (vec![newer], BTreeSet::from([newer]));
        while let Some(version) = pending.pop() {
            if version == older {
                return true;
            }
            let bases = self.possible_creators(version).into_iter().map(|change| change.call.base);
            let bases: Vec<u64> = bases.filter(|base| (older..version).contains(base)).collect();
            pending.extend(bases.into_iter().filter(|base| visited.insert(*base)));
        }
        false
    }
}
