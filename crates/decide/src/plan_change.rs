//! Which figures a window of a plan is judged by while they change.

use crate::api::Plan;

/// The plans' former figures, and from which windows on the present ones hold.
#[derive(Debug)]
pub(crate) struct Figures {
    /// The figures before the last change.
    pub(crate) former: Vec<Plan>,
    /// Windows that begin earlier, ms, are judged by the former figures at every gateway alike.
    pub(crate) from: f64,
    /// Changes so far.
    pub(crate) changes: u64,
}

impl Default for Figures {
    fn default() -> Figures {
        Figures { former: Vec::new(), from: f64::NEG_INFINITY, changes: 0 }
    }
}
