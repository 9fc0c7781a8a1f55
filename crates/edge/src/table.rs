//! The configuration as the clients' side uses it: a table that is compiled once a version and swapped whole.

pub use nickeljunction_routing::{priority, Bounds, Route, RouteMatch, Table, Tenant};
use std::cell::RefCell;
use std::rc::Rc;

/// A snapshot that is swapped whole: whoever holds the old one keeps it until done.
#[derive(Debug)]
pub struct SnapshotCell<T>(RefCell<Rc<T>>);

impl<T> SnapshotCell<T> {
    /// Begins with this snapshot.
    pub fn new(first: T) -> SnapshotCell<T> {
        SnapshotCell(RefCell::new(Rc::new(first)))
    }

    /// The snapshot in force.
    pub fn get(&self) -> Rc<T> {
        self.0.borrow().clone()
    }

    /// Puts another one in force.
    pub fn set(&self, next: T) {
        self.0.replace(Rc::new(next));
    }
}
