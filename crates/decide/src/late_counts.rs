//! The counter's answers that come after their time-out. A crowded counter works on such calls all the same: their units
//! are on its books, and without its answer they would lie unused until the window ends. Books them as any answer;
//! nothing new is decided here. The simulator's wire has no such answers.

use crate::api::Action;
use crate::decide::Limiter;

impl Limiter {
    /// A call on this name that had timed out came to this total after all (`None`: nothing will be known of it).
    pub(crate) fn counted_late(&mut self, name: &str, total: Option<f64>) {
        let mut parts = name.split('.').map(str::parse::<i64>);
        let (Some(Ok(customer)), Some(Ok(window))) = (parts.next(), parts.next()) else { return };
        let (now, customer) = (self.now, customer as u64);
        let account = self.accounts.get_mut(&customer);
        let Some(pool) = account.and_then(|account| account.pool.as_mut()) else { return };
        pool.roll(now);
        if pool.window != window {
            return;
        }
        // Calls on one name are answered in their order, so it is the first that timed out.
        let Some(flight) = pool.late.pop_front() else { return };
        let Some(total) = total else { return };
        // What it handed back was booked when it timed out.
        pool.own -= flight.amount().min(0.0);
        let drawn = self.rng.f64() < flight.odds;
        if pool.settle(now, &flight, total, drawn) {
            self.out.push(Action::Log(format!("count {name} was flushed: total {total}")));
        }
        // It is crowded, not silent.
        self.misses = 0;
        self.serve(customer);
    }
}
