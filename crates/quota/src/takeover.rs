//! What a new counter must account for that no gateway reports: processes that older counters lent to.

use crate::tuning::{Limit, Tuning};
use std::collections::BTreeMap;

/// One tenant's sums over all processes that have reported their loans.
#[derive(Debug, Clone, Default)]
struct Told {
    loans: u64,
    pace: u64,
    /// Least pace of the window before.
    least: u64,
    /// Pace of the rest before the limit was lowered.
    before: u64,
}

/// The rest: logged processes that have not reported. Together they hold at most what the older counter may have lent
/// beyond what was reported.
#[derive(Debug, Clone)]
pub(crate) struct Takeover {
    started: u64,
    /// Names of the rest.
    rest: BTreeMap<u64, String>,
    /// When the newest life that was heard of each name began, by this counter's clock, no earlier than it did.
    born: BTreeMap<String, u64>,
    told: BTreeMap<String, Told>,
    /// From then on the rest spends nothing.
    ends: u64,
}

impl Takeover {
    pub(crate) fn new(now: u64, tuning: &Tuning, logged: BTreeMap<u64, String>) -> Takeover {
        // An older counter answered its last call before now.
        let ends = now + tuning.life_ms;
        Takeover { started: now, rest: logged, born: BTreeMap::new(), told: BTreeMap::new(), ends }
    }

    /// When the counter began.
    pub(crate) fn started(&self) -> u64 {
        self.started
    }

    /// Nothing of the rest is in force any more.
    pub(crate) fn over(&self, now: u64, tuning: &Tuning) -> bool {
        self.rest.is_empty() || now >= self.ends + tuning.span_ms()
    }

    /// The lives that have not told.
    pub(crate) fn rest(&self) -> impl Iterator<Item = u64> + '_ {
        self.rest.keys().copied()
    }

    /// A life tells all. Whether it is one of the rest: what it has was lent by an older counter.
    pub(crate) fn heard(&mut self, life: u64, name: &str, born: u64, tuning: &Tuning) -> bool {
        let of_rest = self.rest.remove(&life).is_some();
        let newest = self.born.entry(name.to_owned()).or_insert(born);
        *newest = born.max(*newest);
        // A machine has one life: the one before spent nothing after the next one's birth.
        let end = |name: &String| self.born.get(name).copied().unwrap_or(u64::MAX);
        let last = self.rest.values().map(end).max().unwrap_or(0);
        self.ends = last.min(self.started + tuning.life_ms);
        of_rest
    }

    /// What it tells of a tenant.
    pub(crate) fn told(&mut self, tenant: &str, loan: u64, pace: u64, least: u64) {
        let told = self.told.entry(tenant.to_owned()).or_default();
        (told.loans, told.pace, told.least) = (told.loans + loan, told.pace + pace, told.least + least);
    }

    /// A lower limit cuts what the rest may have as it cuts every loan; but those who have ended spent as the old one let
    /// them, and what they spent is cut only where the cap is.
    pub(crate) fn lowered(&mut self, tenant: &str, old: Limit, new: Limit) {
        let told = self.told.entry(tenant.to_owned()).or_default();
        let rest = old.cap.saturating_sub(told.loans);
        let capped = (rest * new.cap).div_ceil(old.cap.max(1)).min(rest);
        told.loans = new.cap.saturating_sub(capped.max(old.part(&new, rest)));
        told.before = told.before.max(old.pace.saturating_sub(told.least));
        told.pace = new.pace.saturating_sub(old.part(&new, old.pace.saturating_sub(told.pace)));
    }

    fn of(&self, tenant: &str) -> Told {
        self.told.get(tenant).cloned().unwrap_or_default()
    }

    /// Units of the rest that may be in force.
    pub(crate) fn units(&self, now: u64, tenant: &str, limit: Limit, tuning: &Tuning) -> u64 {
        if self.over(now, tuning) {
            return 0;
        }
        let Told { loans, least, before, .. } = self.of(tenant);
        // Beside the loans of those who live, lives that ended a while ago may have spent up to the cap: more than the pace.
        let lent = limit.cap.saturating_sub(loans);
        let pace = limit.pace.saturating_sub(least).max(before);
        let ended_ms = now.saturating_sub(self.ends);
        let paced = tuning.in_force(limit.cap, self.rest.len() as u64, pace, ended_ms);
        lent.min(paced + tuning.boost_of(limit.cap))
    }

    /// Pace at which the rest may still spend.
    pub(crate) fn pace(&self, now: u64, tenant: &str, most: u64) -> u64 {
        match self.rest.is_empty() || now >= self.ends {
            true => 0,
            false => most.saturating_sub(self.of(tenant).pace),
        }
    }
}
