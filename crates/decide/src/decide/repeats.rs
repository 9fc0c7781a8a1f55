//! Repeats: how attempts end, and whether a request goes out once more.

use super::*;

/// A copy goes out when an attempt has been out for so many mean latencies of its class.
const HEDGE_X: f64 = 3.0;
/// Usual latencies that an attempt's bound leaves within the aim for another, and that it takes at least.
const BOUND_SPARE: f64 = 2.0;
const BOUND_LEAST: f64 = 4.0;

impl Limiter {
    /// How long an attempt may take, 0 for all the time there is. One that can go elsewhere leaves time for
    /// that within its aim: a server or a path that says nothing would cost it all.
    pub(super) fn bound(&self, id: &RequestId) -> f64 {
        let request = &self.requests[id];
        let usual = self.usual(request);
        let left = request.aim_at - self.now - BOUND_SPARE * usual;
        let repeats = self.settings.classes[request.class].retry_safety == RetrySafety::Idempotent;
        let more = request.attempts.len() < self.settings.max_attempts && self.retries >= 1.0;
        if repeats && more && left >= BOUND_LEAST * usual && self.untried(id) {
            left
        } else {
            0.0
        }
    }

    pub(super) fn outcome(&mut self, outcome: Outcome) {
        self.learn(&outcome);
        let Some(request) = self.requests.get_mut(&outcome.id) else { return };
        let customer = request.customer;
        if let Some(attempt) = request.attempts.get_mut(outcome.attempt).filter(|attempt| attempt.open) {
            attempt.open = false;
            let never = matches!(outcome.status, Status::QueueFull | Status::ConnectError | Status::NotSent);
            attempt.may_have_run = !never;
            let mut account = self.accounts.get_mut(&customer);
            if let Some(account) = account.as_mut() {
                account.open = (account.open - 1.0).max(0.0);
            }
            if outcome.settled_units > 0.0 && outcome.status == Status::Ok {
                let pool = account.and_then(|account| account.pool.as_mut());
                pool.into_iter().for_each(|pool| pool.owed += outcome.settled_units - request.units);
            }
        }
        let ended = request.stage == Stage::Ended;
        let usual = request.size * self.latency[request.class].mean;
        let cancel = !ended && self.settings.may_cancel;
        if outcome.request_closed || ended {
            for (at, _) in request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.open && cancel) {
                self.out.push(Action::Cancel(outcome.id.clone(), at));
            }
            self.end(&outcome.id);
        } else if request.open() == 0 && !request.streaming {
            // No connection cost no server work: the budget against retry storms is not for it.
            let paid = self.retries >= 1.0 || outcome.status == Status::ConnectError;
            let hopeful = paid && self.now + usual * 0.5 < request.due;
            if hopeful && self.may_repeat(&outcome.id) && self.untried(&outcome.id) {
                self.place(outcome.id);
            } else {
                self.finish(&outcome.id);
            }
        }
        self.serve(customer);
        self.drain_line();
    }

    /// Is there a server left that the request may go to? Without one it would wait in line in vain until its
    /// aim was gone: it is given up, and what is given up is answered at once.
    fn untried(&self, id: &RequestId) -> bool {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.class];
        let run = request.first_run().filter(|_| class.retry_safety == RetrySafety::Keyed);
        let home = run.and_then(|run| self.servers.get(&run.server));
        self.ring.iter().any(|name| {
            let fits = match (class.dedup_scope, home, self.servers.get(name)) {
                (_, _, None) => false,
                (DedupScope::All, ..) | (_, None, _) => true,
                (DedupScope::Zone, Some(home), Some(server)) => home.zone == server.zone,
                (DedupScope::Cell, Some(home), Some(server)) => home.cell == server.cell,
            };
            fits && request.attempts.iter().all(|attempt| attempt.server != *name)
        })
    }

    /// May the request go out once more?
    fn may_repeat(&self, id: &RequestId) -> bool {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.class];
        let allowed = match (class.retry_safety, request.first_run()) {
            (_, None) | (RetrySafety::Idempotent, _) => true,
            // The group forgets the key: a margin of a step, since the send takes effect a little later.
            (RetrySafety::Keyed, Some(first)) => {
                self.now + self.settings.step_ms < first.sent + class.key_ttl_ms
            }
            (RetrySafety::AtMostOnce, Some(_)) => false,
        };
        allowed && request.attempts.len() < self.settings.max_attempts && self.now < request.due
    }

    /// Final answer: a refusal where a retry is harmless, else a failure.
    pub(super) fn finish(&mut self, id: &RequestId) {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.class];
        let keyed = class.retry_safety == RetrySafety::Keyed && class.dedup_scope == DedupScope::All;
        if class.retry_safety == RetrySafety::Idempotent || keyed || request.first_run().is_none() {
            return self.refuse(id, self.settings.max_retry_after_ms);
        }
        self.out.push(Action::Fail(id.clone()));
        self.end(id);
    }

    /// A second copy for an attempt that is out too long, at a server that was not tried.
    pub(super) fn hedge(&mut self, id: &RequestId) {
        let request = &self.requests[id];
        let (class, usual) = (&self.settings.classes[request.class], self.usual(request));
        if class.retry_safety == RetrySafety::AtMostOnce || !self.settings.hedging || request.open() != 1 {
            return;
        }
        let Some(last) = request.attempts.iter().find(|attempt| attempt.open) else { return };
        let due = self.now - last.sent > usual * HEDGE_X;
        if due && self.now + usual * 0.5 < request.due && self.retries >= 1.0 && self.may_repeat(id) {
            self.dispatch(id);
        }
    }
}
