//! The published list of gateways, with the sequence number of each change.

use crate::register::Sequence;
use nickeljunction_messages::{GatewayInfo, RosterChange};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Removals that can be sent as differences. A watcher that is further behind receives the whole list.
const MAX_REMOVED: usize = 512;

/// The published list of gateways.
#[derive(Debug)]
pub(crate) struct Roster {
    /// Sorted by name.
    lines: Rc<Vec<GatewayInfo>>,
    /// Sequence number of each line's last change, by gateway name.
    line_seqs: BTreeMap<String, u64>,
    /// Sequence number and name of each removed gateway, oldest first.
    removed: VecDeque<(u64, String)>,
    /// Differences are available only from this sequence number on.
    oldest_seq: u64,
    changed_seq: u64,
    urgent_seq: u64,
}

impl Roster {
    /// An empty list.
    pub(crate) fn new(sequence: &mut Sequence) -> Roster {
        let seq = sequence.next();
        Roster {
            lines: Rc::default(),
            line_seqs: BTreeMap::new(),
            removed: VecDeque::new(),
            oldest_seq: seq,
            changed_seq: seq,
            urgent_seq: seq,
        }
    }

    /// All gateways, sorted by name.
    pub(crate) fn lines(&self) -> &Rc<Vec<GatewayInfo>> {
        &self.lines
    }

    /// Sequence number of the last change.
    pub(crate) fn changed_seq(&self) -> u64 {
        self.changed_seq
    }

    /// Sequence number of the last change that must be sent at once, because without it clients would be sent to a
    /// gateway that doesn't serve them, or would wait for a gateway although one is ready.
    pub(crate) fn urgent_seq(&self) -> u64 {
        self.urgent_seq
    }

    /// Publishes `lines`, which must be sorted by name.
    pub(crate) fn publish(&mut self, lines: Vec<GatewayInfo>, sequence: &mut Sequence) {
        let seq = sequence.next();
        let previous = std::mem::replace(&mut self.lines, Rc::new(lines));
        let previous: BTreeMap<&str, &GatewayInfo> =
            previous.iter().map(|line| (line.name.as_str(), line)).collect();
        let mut missing = previous.clone();
        for line in self.lines.iter() {
            let before = previous.get(line.name.as_str());
            missing.remove(line.name.as_str());
            if before == Some(&line) {
                continue;
            }
            self.line_seqs.insert(line.name.clone(), seq);
            if before.is_some_and(|before| before.ready) {
                self.urgent_seq = seq;
            }
        }
        for (name, line) in missing {
            self.line_seqs.remove(name);
            self.removed.push_back((seq, name.to_string()));
            if line.ready {
                self.urgent_seq = seq;
            }
        }
        while self.removed.len() > MAX_REMOVED {
            self.oldest_seq = self.removed.pop_front().map_or(self.oldest_seq, |(seq, _)| seq);
        }
        // No gateway was ready before, so clients are waiting for the first one.
        if !previous.values().any(|line| line.ready) {
            self.urgent_seq = seq;
        }
        self.changed_seq = seq;
    }

    /// What changed after `since`; `None`: `since` is too old for a difference, the whole list must be sent.
    pub(crate) fn change_since(&self, since: u64) -> Option<RosterChange> {
        if since < self.oldest_seq {
            return None;
        }
        let changed = |line: &&GatewayInfo| self.line_seqs.get(&line.name).is_some_and(|seq| *seq > since);
        let removed = self.removed.iter().rev().take_while(|(seq, _)| *seq > since);
        // A gateway that was removed and added again is among the lines.
        let removed = removed.filter(|(_, name)| !self.line_seqs.contains_key(name));
        Some(RosterChange {
            changed: self.lines.iter().filter(changed).cloned().collect(),
            removed: removed.map(|(_, name)| name.clone()).collect(),
        })
    }
}

/// The list that results from applying a change to `current`.
pub(crate) fn apply_change(current: &[GatewayInfo], change: RosterChange) -> Vec<GatewayInfo> {
    let mut lines: BTreeMap<String, GatewayInfo> =
        current.iter().map(|line| (line.name.clone(), line.clone())).collect();
    for name in &change.removed {
        lines.remove(name);
    }
    lines.extend(change.changed.into_iter().map(|line| (line.name.clone(), line)));
    lines.into_values().collect()
}
