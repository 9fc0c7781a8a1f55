//! Counts refusals for exceeded quotas by tenant, for the operators' log.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Requests refused for their tenant's quota since the last log line; at most one entry per tenant.
#[derive(Debug, Default)]
pub struct QuotaRefusals(RefCell<BTreeMap<Rc<str>, u64>>);

impl QuotaRefusals {
    /// Counts one refused request of this tenant.
    pub fn record(&self, tenant: &Rc<str>) {
        *self.0.borrow_mut().entry(tenant.clone()).or_default() += 1;
    }

    /// Returns the counts as a log line and resets them; `None` if nothing was refused. If several tenants have the
    /// most refusals, the first by name is logged as the one with most.
    pub fn take_log_line(&self) -> Option<String> {
        let refused = self.0.take();
        let (tenant, count) = refused.iter().rev().max_by_key(|(_, count)| **count)?;
        let total: u64 = refused.values().sum();
        Some(format!(
            "event=over_quota refused={total} tenants={} most={tenant:?} its={count}",
            refused.len()
        ))
    }
}
