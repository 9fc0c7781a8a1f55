//! New figures while a limiter runs: which of them a window is judged by. No decision is made here; a pool is
//! only rebuilt by the module's own rule out of the figures that hold for its window.

use crate::api::Settings;
use crate::plan_change::Figures;
use crate::state::{Average, Limiter, Pool, FIRST_GUESS};

impl Limiter {
    /// Takes new figures: those of plans for windows that begin at `from` (ms) or later, negative infinity for all
    /// at once; the others at once. Classes keep their places, and plans theirs: new ones come last.
    pub fn update_settings(&mut self, settings: Settings, from: f64) {
        let former = std::mem::replace(&mut self.settings, settings).plans;
        self.figures = Figures { former, from, changes: self.figures.changes + 1 };
        self.trust.resize(self.settings.plans.len(), 1.0);
        // Classes that come new begin with the guesses of a start; those of before keep what was learned.
        for class in &self.settings.classes[self.latency.len().min(self.settings.classes.len())..] {
            let guess = class.target_latency_ms * FIRST_GUESS;
            self.latency.push(Average::of(guess));
            self.calm.push(guess);
            self.usual.push(crate::retry_age::Usual::default());
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Odds, 0 to 1, that a request of mean worth for its time is taken in: below 1 the fleet is thought short.
    pub fn admission_probability(&self) -> f64 {
        self.admit
    }

    /// Two attempts of a request may be out at once.
    pub fn hedging(&self) -> bool {
        self.settings.hedging
    }

    /// Rebuilds a pool whose window is judged by other figures than those it was made of. What it holds, owes and
    /// was told stays: totals under the name count units, whatever the figures.
    pub(crate) fn fit(&self, pool: &mut Pool) {
        let figures = &self.figures;
        let present = pool.window as f64 * pool.length - pool.phase >= figures.from;
        let stamp = figures.changes * 2 + u64::from(present);
        if pool.fitted == stamp {
            return;
        }
        let plans = if present { &self.settings.plans } else { &figures.former };
        let new = plans.get(pool.plan).and_then(|plan| {
            Pool::new(plan, pool.phase / pool.length, pool.doors, self.settings.max_request_units.max(1.0))
        });
        let Some(new) = new else { return };
        pool.fitted = stamp;
        (pool.strict, pool.spare, pool.spare_rate) = (new.strict, new.spare, new.spare_rate);
        (pool.rate, pool.cap, pool.span) = (new.rate, new.cap, new.span);
        // A batch can't be larger than the store: what lies above a smaller one goes back with the next call, or a
        // franchisee would go on for half a window as if nothing had changed.
        let above = (pool.held - pool.cap).max(0.0);
        pool.held -= above;
        pool.fix -= above;
    }
}
