//! Which tenants were refused for their quota lately, for operators.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Requests refused for their tenant's quota since they were last told; as many entries as there are tenants at most.
#[derive(Debug, Default)]
pub struct QuotaRefusals(RefCell<BTreeMap<Rc<str>, u64>>);

impl QuotaRefusals {
    /// One more of this tenant.
    pub fn record(&self, tenant: &Rc<str>) {
        *self.0.borrow_mut().entry(tenant.clone()).or_default() += 1;
    }

    /// As a log line, and begins anew; `None` where nobody was refused. Of equals the first by name counts as the one
    /// with most.
    pub fn take_log_line(&self) -> Option<String> {
        let refused = self.0.take();
        let (most, its) = refused.iter().rev().max_by_key(|(_, count)| **count)?;
        let all: u64 = refused.values().sum();
        Some(format!("event=over_quota refused={all} tenants={} most={most:?} its={its}", refused.len()))
    }
}
