//! The list of gateways as it is published, with what changed in it since when.

use crate::register::Numbering;
use nickeljunction_messages::{GatewayInfo, RosterChange};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Names of gateways gone that are told as differences; who lags further behind reads the whole list.
const MOST_GONE: usize = 512;

/// See the module.
#[derive(Debug)]
pub(crate) struct Roster {
    /// In order of their names.
    lines: Rc<Vec<GatewayInfo>>,
    /// Number of each line's last change, by name.
    line_at: BTreeMap<String, u64>,
    /// Number and name of those that went, oldest first.
    gone: VecDeque<(u64, String)>,
    /// Differences can't be told from before this number.
    floor: u64,
    changed_at: u64,
    pressing_at: u64,
}

impl Roster {
    /// An empty one.
    pub(crate) fn new(numbers: &mut Numbering) -> Roster {
        let at = numbers.next();
        Roster {
            lines: Rc::default(),
            line_at: BTreeMap::new(),
            gone: VecDeque::new(),
            floor: at,
            changed_at: at,
            pressing_at: at,
        }
    }

    /// All gateways.
    pub(crate) fn lines(&self) -> &Rc<Vec<GatewayInfo>> {
        &self.lines
    }

    /// Number of the last change.
    pub(crate) fn changed_at(&self) -> u64 {
        self.changed_at
    }

    /// Number of the last change that must not wait: one by which clients would be sent to a gateway in vain.
    pub(crate) fn pressing_at(&self) -> u64 {
        self.pressing_at
    }

    /// Publishes `lines`, in order of their names.
    pub(crate) fn publish(&mut self, lines: Vec<GatewayInfo>, numbers: &mut Numbering) {
        let at = numbers.next();
        let held = std::mem::replace(&mut self.lines, Rc::new(lines));
        let held: BTreeMap<&str, &GatewayInfo> = held.iter().map(|line| (line.name.as_str(), line)).collect();
        let mut missing = held.clone();
        for line in self.lines.iter() {
            let before = held.get(line.name.as_str());
            missing.remove(line.name.as_str());
            if before == Some(&line) {
                continue;
            }
            self.line_at.insert(line.name.clone(), at);
            if before.is_some_and(|before| before.ready) {
                self.pressing_at = at;
            }
        }
        for (name, line) in missing {
            self.line_at.remove(name);
            self.gone.push_back((at, name.to_string()));
            if line.ready {
                self.pressing_at = at;
            }
        }
        while self.gone.len() > MOST_GONE {
            self.floor = self.gone.pop_front().map_or(self.floor, |(at, _)| at);
        }
        // Nobody was ready: clients wait for the first one.
        if !held.values().any(|line| line.ready) {
            self.pressing_at = at;
        }
        self.changed_at = at;
    }

    /// What changed after `since`; `None`: that is told by the whole list only.
    pub(crate) fn change_since(&self, since: u64) -> Option<RosterChange> {
        if since < self.floor {
            return None;
        }
        let fresh = |line: &&GatewayInfo| self.line_at.get(&line.name).is_some_and(|at| *at > since);
        let gone = self.gone.iter().rev().take_while(|(at, _)| *at > since);
        // One that went and came back is among the lines.
        let gone = gone.filter(|(_, name)| !self.line_at.contains_key(name));
        Some(RosterChange {
            changed: self.lines.iter().filter(fresh).cloned().collect(),
            removed: gone.map(|(_, name)| name.clone()).collect(),
        })
    }
}

/// The list that results from a change to the one held.
pub(crate) fn changed(held: &[GatewayInfo], change: RosterChange) -> Vec<GatewayInfo> {
    let mut lines: BTreeMap<String, GatewayInfo> =
        held.iter().map(|line| (line.name.clone(), line.clone())).collect();
    for name in &change.removed {
        lines.remove(name);
    }
    lines.extend(change.changed.into_iter().map(|line| (line.name.clone(), line)));
    lines.into_values().collect()
}
