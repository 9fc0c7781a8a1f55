//! Admission: which requests are taken in, wait, or are turned away.

use super::*;

/// Part of its time after which a request that was never sent is refused: later, refusing costs too.
const UNSENT_PART: f64 = 0.48;

impl Limiter {
    pub(super) fn arrive(&mut self, arrival: Arrival) {
        let (settings, now, id) = (&self.settings, self.now, arrival.id);
        let class = settings.classes.iter().position(|class| class.name == arrival.class);
        let plan = settings.plans.iter().position(|plan| plan.name == arrival.plan);
        let (Some(class), Some(plan_at)) = (class, plan) else {
            self.out.push(Action::Refuse(id, 0.0));
            return;
        };
        let (plan, units) = (&settings.plans[plan_at], arrival.units.max(0.0));
        // The aim counts from the client's first try: a later one comes with part of it gone.
        let marked = settings.marks_retry.then_some(arrival.retry);
        let age = self.usual[class].age(&settings.classes[class], arrival.timeout_ms, marked);
        // Units that are settled afterwards follow the work: without this each large request passed for a
        // slow server and a late fleet, and a gateway among many has few samples to put that right.
        let size = if settings.settles_units { units.max(1.0) } else { 1.0 };
        let (aim, least) =
            (settings.classes[class].target_latency_ms - age, 0.5 * size * self.latency[class].mean);
        let late = (f64::INFINITY, settings.classes[class].late_share);
        let (aim, share) = if aim > least { (aim, 1.0) } else { late };
        let mut request = Request {
            class,
            customer: arrival.customer,
            units,
            arrived: now,
            due: now + arrival.timeout_ms,
            aim_at: now + aim.min(arrival.timeout_ms),
            value: settings.classes[class].worth * plan.worth_factor * units * share,
            size,
            ..Request::default()
        };
        // Place bounds of hundreds bind nothing: what is cheap for its time is shed before it draws units.
        let worth = request.value / self.usual(&request);
        self.worth += CLASS_GAIN * (worth - self.worth);
        request.stake = if arrival.retry { 0.0 } else { worth / self.worth };
        // Worth nothing any more (by a mark: else its age is a guess, and a hasty first try would do),
        // or too short for any server or for the next sweep, which would answer late.
        let least = least.max(self.settings.step_ms * CALM_STEPS);
        let hopeless = arrival.timeout_ms < least || share <= 0.0 && marked.is_some();
        if hopeless || self.rng.f64() > self.admit.powf(self.worth / worth.max(1e-9)) {
            self.requests.insert(id.clone(), request);
            return self.refuse(&id, self.settings.max_retry_after_ms);
        }
        self.requests.insert(id.clone(), request);
        let doors = (arrival.gateways.max(1) as f64).min(settings.gateway_count.max(1) as f64);
        let account = self.accounts.entry(arrival.customer).or_insert_with(|| {
            // Golden-ratio shift by number: a plan's customers must not all change windows at one moment.
            let shift = (arrival.customer as f64 * 0.618_033_988_75).fract();
            let pool = Pool::new(plan, shift, doors, settings.max_request_units.max(1.0));
            let pool = pool.map(|pool| Pool { plan: plan_at, ..pool });
            Account { pool, doors, at_once: plan.max_concurrent, seen: now, ..Account::default() }
        });
        (account.seen, account.at_once) = (now, plan.max_concurrent);
        account.waiters.push_back(id);
        self.serve(arrival.customer);
    }

    pub(super) fn refuse(&mut self, id: &RequestId, pause: f64) {
        let most = if self.settings.retry_after { self.settings.max_retry_after_ms } else { 0.0 };
        self.out.push(Action::Refuse(id.clone(), pause.clamp(0.0, most)));
        self.end(id);
    }

    /// The request has had its final answer; it is forgotten once all its attempts have ended.
    pub(super) fn end(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let unsent = request.stage == Stage::Line && request.attempts.is_empty();
        if request.stage == Stage::Line {
            self.line.retain(|other| other != id);
        }
        request.stage = Stage::Ended;
        let done = request.open() == 0;
        let account = self.accounts.get_mut(&request.customer);
        let pool = account.and_then(|account| account.pool.as_mut()).filter(|_| request.paid && unsent);
        // Paid for but never sent: its units go back to the batch, unless that has ended.
        pool.into_iter()
            .filter(|pool| pool.window == request.charged)
            .for_each(|pool| pool.held += request.units);
        if done {
            self.requests.remove(id);
        }
    }

    /// Sends waiting requests to servers that have a place, the dearest first; those too late are refused.
    pub(super) fn drain_line(&mut self) {
        let mut at = 0;
        while let Some(id) = self.line.get(at).cloned() {
            let request = &self.requests[&id];
            // Given up is answered now: nobody is held until the deadline so that the client can't ask.
            let stale = request.arrived + UNSENT_PART * (request.due - request.arrived);
            let unsent = request.attempts.is_empty() && self.now > stale;
            let late = unsent || self.now + self.usual(request) > request.aim_at;
            if late && request.open() == 0 {
                self.finish(&id);
            } else if !self.dispatch(&id) {
                at += 1;
            }
        }
    }

    /// A request with its units in hand: to a server, or into the line, ordered by worth for its time.
    pub(super) fn place(&mut self, id: RequestId) {
        let density = |id: &RequestId| self.requests.get(id).map_or(0.0, |r| r.value / self.usual(r));
        let own = density(&id);
        let at = self.line.partition_point(|other| density(other) >= own);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Line;
        self.line.insert(at, id.clone());
        if at == 0 {
            self.dispatch(&id);
        }
    }
}
