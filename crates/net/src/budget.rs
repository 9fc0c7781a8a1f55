//! The process's descriptors: one budget over terminals, regions and the rest.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors for the listener, the runtime, standard streams, the counter and discovery.
const FIXED: usize = 32;
/// Part of the others that terminals may not take, so that what they ask can still be sent on.
const FOR_REGIONS: f64 = 0.35;

/// The budget.
pub struct Budget {
    most: usize,
    most_terminals: usize,
    used: Cell<usize>,
    terminals: Cell<usize>,
    /// Idle terminals should close, since a region's connection finds no place.
    pub squeeze: Notify,
}

/// A descriptor held; dropping it frees the place.
pub struct Slot {
    budget: Rc<Budget>,
    terminal: bool,
}

impl Budget {
    /// A budget of so many descriptors in all.
    pub fn new(sockets: usize) -> Rc<Budget> {
        let most = sockets.saturating_sub(FIXED).max(2);
        let most_terminals = (most as f64 * (1.0 - FOR_REGIONS)).max(1.0) as usize;
        let (used, terminals) = (Cell::new(0), Cell::new(0));
        Rc::new(Budget { most, most_terminals, used, terminals, squeeze: Notify::new() })
    }

    /// So many descriptors are this part of the budget.
    pub fn part(&self, part: f64) -> usize {
        (self.most as f64 * part) as usize
    }

    /// A place for a connection to a region.
    pub fn region(self: &Rc<Self>) -> Option<Slot> {
        self.take(false)
    }

    /// A place for a client's connection.
    pub fn terminal(self: &Rc<Self>) -> Option<Slot> {
        if self.terminals.get() < self.most_terminals {
            return self.take(true);
        }
        None
    }

    fn take(self: &Rc<Self>, terminal: bool) -> Option<Slot> {
        if self.used.get() >= self.most {
            return None;
        }
        self.used.set(self.used.get() + 1);
        self.terminals.set(self.terminals.get() + usize::from(terminal));
        Some(Slot { budget: self.clone(), terminal })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.used.set(budget.used.get() - 1);
        budget.terminals.set(budget.terminals.get() - usize::from(self.terminal));
    }
}
