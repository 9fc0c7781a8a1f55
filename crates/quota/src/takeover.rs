//! What a new counter must account for until gateways report it: loans that older counters made.

use crate::tuning::{Limit, Tuning};
use std::collections::BTreeMap;

/// One tenant's sums over all processes that have reported their loans.
#[derive(Debug, Clone, Default)]
struct Reports {
    loans: u64,
    pace: u64,
    /// Sum of each process's minimum pace over the window before its report.
    min_pace: u64,
    /// Pace of the unreported processes before the limit was lowered.
    unreported_pace_before: u64,
}

/// Logged processes that have not reported. Together they hold at most what the older counter may have lent beyond what
/// was reported.
#[derive(Debug, Clone)]
pub(crate) struct Takeover {
    started_at: u64,
    /// Machine names of the unreported processes.
    unreported: BTreeMap<u64, String>,
    /// Upper bound, by this counter's clock, for when the first reported process of each machine started.
    machine_started_at: BTreeMap<String, u64>,
    reports: BTreeMap<String, Reports>,
    /// From then on unreported processes spend nothing.
    spending_ends: u64,
}

impl Takeover {
    pub(crate) fn new(now: u64, tuning: &Tuning, logged: BTreeMap<u64, String>) -> Takeover {
        // An older counter answered its last call before now.
        let spending_ends = now + tuning.lease_ms;
        Takeover {
            started_at: now,
            unreported: logged,
            machine_started_at: BTreeMap::new(),
            reports: BTreeMap::new(),
            spending_ends,
        }
    }

    /// When the counter started.
    pub(crate) fn started_at(&self) -> u64 {
        self.started_at
    }

    /// Whether no unit of the unreported processes is in force any more.
    pub(crate) fn is_over(&self, now: u64, tuning: &Tuning) -> bool {
        self.unreported.is_empty() || now >= self.spending_ends + tuning.in_force_ms()
    }

    /// The processes that have not reported.
    pub(crate) fn unreported(&self) -> impl Iterator<Item = u64> + '_ {
        self.unreported.keys().copied()
    }

    /// Records that a process reports all of its loans. Returns true if it was unreported until now, so that an older
    /// counter made them.
    pub(crate) fn process_reported(
        &mut self,
        process_id: u64,
        machine: &str,
        started_at: u64,
        tuning: &Tuning,
    ) -> bool {
        let was_unreported = self.unreported.remove(&process_id).is_some();
        // A machine runs one process at a time, so all unreported processes of this machine ended before the reporting
        // one started. A process that starts later does not change that bound.
        let first = self.machine_started_at.entry(machine.to_owned()).or_insert(started_at);
        *first = started_at.min(*first);
        let end = |machine: &String| self.machine_started_at.get(machine).copied().unwrap_or(u64::MAX);
        let last = self.unreported.values().map(end).max().unwrap_or(0);
        self.spending_ends = last.min(self.started_at + tuning.lease_ms);
        was_unreported
    }

    /// Adds what the process reports of a tenant.
    pub(crate) fn add_report(&mut self, tenant: &str, loan: u64, pace: u64, min_pace: u64) {
        let reports = self.reports.entry(tenant.to_owned()).or_default();
        (reports.loans, reports.pace, reports.min_pace) =
            (reports.loans + loan, reports.pace + pace, reports.min_pace + min_pace);
    }

    /// A lower limit reduces what unreported processes may hold as it reduces every loan; but processes that have ended
    /// spent under the old limit, so what they spent is bounded by the new cap alone.
    pub(crate) fn limit_lowered(&mut self, tenant: &str, old: Limit, new: Limit) {
        let reports = self.reports.entry(tenant.to_owned()).or_default();
        let unreported = old.cap.saturating_sub(reports.loans);
        let capped = (unreported * new.cap).div_ceil(old.cap.max(1)).min(unreported);
        reports.loans = new.cap.saturating_sub(capped.max(old.scale_to(&new, unreported)));
        reports.unreported_pace_before =
            reports.unreported_pace_before.max(old.pace.saturating_sub(reports.min_pace));
        reports.pace = new.pace.saturating_sub(old.scale_to(&new, old.pace.saturating_sub(reports.pace)));
    }

    fn reports_of(&self, tenant: &str) -> Reports {
        self.reports.get(tenant).cloned().unwrap_or_default()
    }

    /// Units of the unreported processes that may be in force.
    pub(crate) fn units(&self, now: u64, tenant: &str, limit: Limit, tuning: &Tuning) -> u64 {
        if self.is_over(now, tuning) {
            return 0;
        }
        let Reports { loans, min_pace, unreported_pace_before, .. } = self.reports_of(tenant);
        // In addition to the loans of running processes, processes that ended some time ago may have spent units up to
        // the cap, which is more than the pace.
        let lent = limit.cap.saturating_sub(loans);
        let pace = limit.pace.saturating_sub(min_pace).max(unreported_pace_before);
        let ended_ms = now.saturating_sub(self.spending_ends);
        let paced = tuning.max_in_force(limit.cap, self.unreported.len() as u64, pace, ended_ms);
        lent.min(paced + tuning.max_boost(limit.cap))
    }

    /// Pace at which the unreported processes may still spend, of the tenant's pace `max`.
    pub(crate) fn pace(&self, now: u64, tenant: &str, max: u64) -> u64 {
        match self.unreported.is_empty() || now >= self.spending_ends {
            true => 0,
            false => max.saturating_sub(self.reports_of(tenant).pace),
        }
    }
}
