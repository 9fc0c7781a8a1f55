//! A change of settings while the limiter runs, and which version of a plan a window follows. Nothing else is decided
//! here: a lease is rebuilt from the plan of its window by [`Lease::new`].

use crate::api::Settings;
use crate::plan_change::PlanChange;
use crate::retry_age::FirstTryTimeout;
use crate::state::{Average, Lease, Limiter, FIRST_GUESS};

impl Limiter {
    /// Replaces the settings. Plans apply to windows that begin at `from` (ms) or later, negative infinity for all
    /// windows; other settings apply at once. Classes and plans keep their positions; new ones come last.
    pub fn update_settings(&mut self, settings: Settings, from: f64) {
        let previous = std::mem::replace(&mut self.settings, settings).plans;
        self.plan_change =
            PlanChange { previous, effective_from: from, revision: self.plan_change.revision + 1 };
        self.plan_trust.resize(self.settings.plans.len(), 1.0);
        // New classes begin with the guesses of a start; the others keep their averages.
        for class in &self.settings.classes[self.latency.len().min(self.settings.classes.len())..] {
            let guess = class.target_latency_ms * FIRST_GUESS;
            self.latency.push(Average::of(guess));
            self.lowest_latency.push(guess);
            self.first_try_timeouts.push(FirstTryTimeout::default());
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Probability that a request of mean value for its expected latency is admitted. Below 1 the fleet is overloaded.
    pub fn admission_probability(&self) -> f64 {
        self.admission
    }

    /// Whether two attempts of a request may be in flight at once.
    pub fn hedging(&self) -> bool {
        self.settings.hedging
    }

    /// Rebuilds a lease if its window follows another version of the plan than it was built from. Units held and
    /// unreported, and the known total, stay: totals count units, whatever the plan.
    pub(crate) fn apply_plan_change(&self, lease: &mut Lease) {
        let change = &self.plan_change;
        let current = lease.window as f64 * lease.window_ms - lease.window_shift >= change.effective_from;
        let revision = change.revision * 2 + u64::from(current);
        if lease.plan_revision == revision {
            return;
        }
        let plans = if current { &self.settings.plans } else { &change.previous };
        let (shift, max_units) =
            (lease.window_shift / lease.window_ms, self.settings.max_request_units.max(1.0));
        let new = plans.get(lease.plan).and_then(|plan| Lease::new(plan, shift, lease.gateways, max_units));
        let Some(new) = new else { return };
        lease.plan_revision = revision;
        (lease.has_ceiling, lease.local_max, lease.local_rate) =
            (new.has_ceiling, new.local_max, new.local_rate);
        (lease.rate, lease.capacity, lease.burst_ms) = (new.rate, new.capacity, new.burst_ms);
        // Units held above a smaller capacity go back with the next call; otherwise the customer would go on for
        // half a window as if nothing had changed.
        let above = (lease.held - lease.capacity).max(0.0);
        lease.held -= above;
        lease.correction -= above;
    }
}
