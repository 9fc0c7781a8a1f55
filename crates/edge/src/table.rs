//! The configuration as the client side uses it: a table that is compiled once per version and replaced as a whole.

pub use nickeljunction_routing::{priority, Bounds, Route, RouteMatch, Table, Tenant};
use std::cell::RefCell;
use std::rc::Rc;

/// Holds a snapshot that is replaced as a whole. Whoever has got the previous snapshot keeps it until it is dropped.
#[derive(Debug)]
pub struct SnapshotCell<T>(RefCell<Rc<T>>);

impl<T> SnapshotCell<T> {
    /// A cell with this first snapshot.
    pub fn new(first: T) -> SnapshotCell<T> {
        SnapshotCell(RefCell::new(Rc::new(first)))
    }

    /// The current snapshot.
    pub fn get(&self) -> Rc<T> {
        self.0.borrow().clone()
    }

    /// Replaces the snapshot.
    pub fn set(&self, next: T) {
        self.0.replace(Rc::new(next));
    }
}
