//! The last change of the plans, for windows that still follow the previous ones.

use crate::api::Plan;

/// The plans before the last change, and from which windows on the current ones apply.
#[derive(Debug)]
pub(crate) struct PlanChange {
    pub(crate) previous: Vec<Plan>,
    /// Windows that begin before this time, ms, follow the previous plans, at every gateway alike.
    pub(crate) effective_from: f64,
    /// Number of changes so far.
    pub(crate) revision: u64,
}

impl Default for PlanChange {
    fn default() -> PlanChange {
        PlanChange { previous: Vec::new(), effective_from: f64::NEG_INFINITY, revision: 0 }
    }
}
