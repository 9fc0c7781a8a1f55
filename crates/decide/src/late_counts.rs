//! Counter replies that arrive after their timeout. An overloaded counter still applies such calls, so their units are
//! in its total; without the reply they would stay unused until the window ends. A late reply is applied like any
//! other; nothing else is decided here. The simulator's wire has no such replies.

use crate::api::Action;
use crate::decide::Limiter;

impl Limiter {
    /// A call on this count that had timed out was answered with this total (`None`: it never will be).
    pub(crate) fn on_late_count(&mut self, name: &str, total: Option<f64>) {
        let mut parts = name.split('.').map(str::parse::<i64>);
        let (Some(Ok(customer)), Some(Ok(window))) = (parts.next(), parts.next()) else { return };
        let (now, customer) = (self.now, customer as u64);
        let account = self.accounts.get_mut(&customer);
        let Some(lease) = account.and_then(|account| account.lease.as_mut()) else { return };
        lease.roll_window(now);
        if lease.window != window {
            return;
        }
        // Calls on one count are answered in order, so the reply belongs to the first that timed out.
        let Some(call) = lease.late_calls.pop_front() else { return };
        let Some(total) = total else { return };
        // Units that the call returned were already subtracted when it timed out.
        lease.own_total -= call.amount().min(0.0);
        let drawn = self.rng.f64() < call.fetch_prob;
        if lease.apply_reply(now, &call, total, drawn) {
            self.actions.push(Action::Log(format!("count {name} was flushed: total {total}")));
        }
        // The counter is overloaded, not silent.
        self.missed = 0;
        self.serve_waiting(customer);
    }
}
