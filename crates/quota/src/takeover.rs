//! What a new counter must account for that no gateway reports: processes that older counters lent to.

use crate::tuning::{Limit, Tuning};
use std::collections::BTreeMap;

/// One tenant's sums over all processes that have reported their loans.
#[derive(Debug, Clone, Default)]
struct Reports {
    loans: u64,
    pace: u64,
    /// Least pace of the window before.
    least: u64,
    /// Pace of the unreported processes before the limit was lowered.
    before: u64,
}

/// Logged processes that have not reported. Together they hold at most what the older counter may have lent beyond what
/// was reported.
#[derive(Debug, Clone)]
pub(crate) struct Takeover {
    started: u64,
    /// Names of their machines.
    unreported: BTreeMap<u64, String>,
    /// When the first reported process of each machine started, by this counter's clock, no earlier than it did.
    started_of: BTreeMap<String, u64>,
    reports: BTreeMap<String, Reports>,
    /// From then on unreported processes spend nothing.
    ends: u64,
}

impl Takeover {
    pub(crate) fn new(now: u64, tuning: &Tuning, logged: BTreeMap<u64, String>) -> Takeover {
        // An older counter answered its last call before now.
        let ends = now + tuning.lease_ms;
        Takeover {
            started: now,
            unreported: logged,
            started_of: BTreeMap::new(),
            reports: BTreeMap::new(),
            ends,
        }
    }

    /// When the counter began.
    pub(crate) fn started(&self) -> u64 {
        self.started
    }

    /// Nothing of the unreported processes is in force any more.
    pub(crate) fn over(&self, now: u64, tuning: &Tuning) -> bool {
        self.unreported.is_empty() || now >= self.ends + tuning.span_ms()
    }

    /// The processes that have not reported.
    pub(crate) fn unreported(&self) -> impl Iterator<Item = u64> + '_ {
        self.unreported.keys().copied()
    }

    /// A process reports all of its loans; true if it was unreported until now: they were made by an older counter.
    pub(crate) fn reported(&mut self, life: u64, name: &str, started: u64, tuning: &Tuning) -> bool {
        let was_unreported = self.unreported.remove(&life).is_some();
        // Whoever reports runs now, so that all unreported processes of its machine ended before it began: a machine runs one
        // process at a time. That a later one begins afterwards tells nothing new of them.
        let first = self.started_of.entry(name.to_owned()).or_insert(started);
        *first = started.min(*first);
        let end = |name: &String| self.started_of.get(name).copied().unwrap_or(u64::MAX);
        let last = self.unreported.values().map(end).max().unwrap_or(0);
        self.ends = last.min(self.started + tuning.lease_ms);
        was_unreported
    }

    /// What it reports of a tenant.
    pub(crate) fn add_report(&mut self, tenant: &str, loan: u64, pace: u64, least: u64) {
        let reports = self.reports.entry(tenant.to_owned()).or_default();
        (reports.loans, reports.pace, reports.least) =
            (reports.loans + loan, reports.pace + pace, reports.least + least);
    }

    /// A lower limit reduces what unreported processes may hold as it reduces every loan; but processes that have ended
    /// spent under the old limit, so what they spent is bounded by the new cap alone.
    pub(crate) fn lowered(&mut self, tenant: &str, old: Limit, new: Limit) {
        let reports = self.reports.entry(tenant.to_owned()).or_default();
        let unreported = old.cap.saturating_sub(reports.loans);
        let capped = (unreported * new.cap).div_ceil(old.cap.max(1)).min(unreported);
        reports.loans = new.cap.saturating_sub(capped.max(old.part(&new, unreported)));
        reports.before = reports.before.max(old.pace.saturating_sub(reports.least));
        reports.pace = new.pace.saturating_sub(old.part(&new, old.pace.saturating_sub(reports.pace)));
    }

    fn reports_of(&self, tenant: &str) -> Reports {
        self.reports.get(tenant).cloned().unwrap_or_default()
    }

    /// Units of the unreported processes that may be in force.
    pub(crate) fn units(&self, now: u64, tenant: &str, limit: Limit, tuning: &Tuning) -> u64 {
        if self.over(now, tuning) {
            return 0;
        }
        let Reports { loans, least, before, .. } = self.reports_of(tenant);
        // Beside the loans of running processes, those that ended a while ago may have spent up to the cap: more than the pace.
        let lent = limit.cap.saturating_sub(loans);
        let pace = limit.pace.saturating_sub(least).max(before);
        let ended_ms = now.saturating_sub(self.ends);
        let paced = tuning.in_force(limit.cap, self.unreported.len() as u64, pace, ended_ms);
        lent.min(paced + tuning.boost_of(limit.cap))
    }

    /// Pace at which the unreported processes may still spend.
    pub(crate) fn pace(&self, now: u64, tenant: &str, most: u64) -> u64 {
        match self.unreported.is_empty() || now >= self.ends {
            true => 0,
            false => most.saturating_sub(self.reports_of(tenant).pace),
        }
    }
}
