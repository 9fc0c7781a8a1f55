//! Retries: what follows from the end of an attempt, and whether a request is sent again.

use super::*;

/// A hedged attempt is sent when an attempt has taken this many expected latencies.
const HEDGE_AFTER: f64 = 3.0;
/// An attempt's timeout leaves this many expected latencies for another one, and has at least so many itself.
const TIMEOUT_RESERVE: f64 = 2.0;
const MIN_TIMEOUT: f64 = 4.0;

impl Limiter {
    /// Timeout of an attempt, ms; 0: until the client gives up. It leaves time for another server within the
    /// target if there is one: a server or path that does not respond would use it all up.
    pub(super) fn attempt_timeout(&self, id: &RequestId) -> f64 {
        let request = &self.requests[id];
        let expected = self.expected(request);
        let left = request.target_at - self.now - TIMEOUT_RESERVE * expected;
        let idempotent = self.settings.classes[request.class].retry_safety == RetrySafety::Idempotent;
        let more = request.attempts.len() < self.settings.max_attempts && self.retry_budget >= 1.0;
        let enough = left >= MIN_TIMEOUT * expected;
        if idempotent && more && enough && self.has_untried_server(id) {
            left
        } else {
            0.0
        }
    }

    pub(super) fn on_outcome(&mut self, outcome: Outcome) {
        self.record_outcome(&outcome);
        let Some(request) = self.requests.get_mut(&outcome.id) else { return };
        let customer = request.customer;
        if let Some(attempt) = request.attempts.get_mut(outcome.attempt).filter(|attempt| attempt.open) {
            attempt.open = false;
            let never = matches!(outcome.status, Status::QueueFull | Status::ConnectError | Status::NotSent);
            attempt.may_have_run = !never;
            let mut account = self.accounts.get_mut(&customer);
            account.iter_mut().for_each(|account| account.in_flight = (account.in_flight - 1.0).max(0.0));
            if outcome.settled_units > 0.0 && outcome.status == Status::Ok {
                let lease = account.and_then(|account| account.lease.as_mut());
                lease.into_iter().for_each(|l| l.unreported += outcome.settled_units - request.units);
            }
        }
        let answered = request.stage == Stage::Answered;
        let expected = request.size * self.latency[request.class].mean;
        let cancel = !answered && self.settings.may_cancel;
        if outcome.request_closed || answered {
            for (number, _) in request.attempts.iter().enumerate().filter(|(_, a)| a.open && cancel) {
                self.actions.push(Action::Cancel(outcome.id.clone(), number));
            }
            self.close(&outcome.id);
        } else if request.in_flight() == 0 && !request.streaming {
            // A failed connection cost no server any work, so it needs no retry budget.
            let allowed = self.retry_budget >= 1.0 || outcome.status == Status::ConnectError;
            let in_time = self.now + expected * 0.5 < request.deadline;
            if allowed && in_time && self.may_retry(&outcome.id) && self.has_untried_server(&outcome.id) {
                self.enqueue(outcome.id);
            } else {
                self.answer(&outcome.id);
            }
        }
        self.serve_waiting(customer);
        self.drain_queue();
    }

    /// Whether a server is left to try. Without one the request is answered at once, not queued in vain.
    fn has_untried_server(&self, id: &RequestId) -> bool {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.class];
        let run = request.first_run().filter(|_| class.retry_safety == RetrySafety::Keyed);
        let first = run.and_then(|run| self.servers.get(&run.server));
        self.candidates.iter().any(|name| {
            let in_scope = match (class.dedup_scope, first, self.servers.get(name)) {
                (_, _, None) => false,
                (DedupScope::All, ..) | (_, None, _) => true,
                (DedupScope::Zone, Some(first), Some(server)) => first.zone == server.zone,
                (DedupScope::Cell, Some(first), Some(server)) => first.cell == server.cell,
            };
            in_scope && request.attempts.iter().all(|attempt| attempt.server != *name)
        })
    }

    fn may_retry(&self, id: &RequestId) -> bool {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.class];
        let safe = match (class.retry_safety, request.first_run()) {
            (_, None) | (RetrySafety::Idempotent, _) => true,
            // A margin of one step before the key is forgotten, since the send takes effect a little later.
            (RetrySafety::Keyed, Some(run)) => self.now + self.settings.step_ms < run.sent + class.key_ttl_ms,
            (RetrySafety::AtMostOnce, Some(_)) => false,
        };
        safe && request.attempts.len() < self.settings.max_attempts && self.now < request.deadline
    }

    /// Gives the final answer: a refusal where a client's retry does no harm, otherwise a failure.
    pub(super) fn answer(&mut self, id: &RequestId) {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.class];
        let keyed = class.retry_safety == RetrySafety::Keyed && class.dedup_scope == DedupScope::All;
        if class.retry_safety == RetrySafety::Idempotent || keyed || request.first_run().is_none() {
            return self.refuse(id, self.settings.max_retry_after_ms);
        }
        self.actions.push(Action::Fail(id.clone()));
        self.close(id);
    }

    /// Sends a second attempt to another server if the only one in flight takes too long.
    pub(super) fn hedge(&mut self, id: &RequestId) {
        let request = &self.requests[id];
        let (class, expected) = (&self.settings.classes[request.class], self.expected(request));
        let once = class.retry_safety == RetrySafety::AtMostOnce;
        if once || !self.settings.hedging || request.in_flight() != 1 {
            return;
        }
        let Some(last) = request.attempts.iter().find(|attempt| attempt.open) else { return };
        let slow = self.now - last.sent > expected * HEDGE_AFTER;
        let in_time = self.now + expected * 0.5 < request.deadline;
        if slow && in_time && self.retry_budget >= 1.0 && self.may_retry(id) {
            self.dispatch(id);
        }
    }
}
