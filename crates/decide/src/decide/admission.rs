//! Admission: which requests are admitted, wait, or are refused.

use super::*;

/// Fraction of a request's time after which it is refused if it was never sent: refusing later costs as well.
const MAX_UNSENT: f64 = 0.48;

impl Limiter {
    pub(super) fn on_request(&mut self, arrival: Arrival) {
        let (settings, now, id) = (&self.settings, self.now, arrival.id);
        let class_index = settings.classes.iter().position(|class| class.name == arrival.class);
        let plan_index = settings.plans.iter().position(|plan| plan.name == arrival.plan);
        let (Some(class_index), Some(plan_index)) = (class_index, plan_index) else {
            return self.actions.push(Action::Refuse(id, 0.0));
        };
        let (class, plan) = (&settings.classes[class_index], &settings.plans[plan_index]);
        let units = arrival.units.max(0.0);
        // The target latency counts from the client's first try: part of it is over when a retry arrives.
        let marked = settings.marks_retry.then_some(arrival.retry);
        let age = self.first_try_timeouts[class_index].age(class, arrival.timeout_ms, marked);
        // Settled units are proportional to the work. If size ignored them, each large request would count as
        // a slow server and a late fleet, and one gateway among many has few samples to correct that.
        let size = if settings.settles_units { units.max(1.0) } else { 1.0 };
        let (left, shortest) = (class.target_latency_ms - age, 0.5 * size * self.latency[class_index].mean);
        let (left, share) = if left > shortest { (left, 1.0) } else { (f64::INFINITY, class.late_share) };
        let mut request = Request {
            class: class_index,
            customer: arrival.customer,
            units,
            arrived: now,
            deadline: now + arrival.timeout_ms,
            target_at: now + left.min(arrival.timeout_ms),
            value: class.worth * plan.worth_factor * units * share,
            size,
            ..Request::default()
        };
        // The server limits of hundreds of gateways together bind nothing, so requests of low density are
        // shed here, before they draw units.
        let density = request.value / self.expected(&request);
        self.mean_density += CLASS_GAIN * (density - self.mean_density);
        request.relative_density = if arrival.retry { 0.0 } else { density / self.mean_density };
        // Worth nothing any more (if clients mark retries: otherwise the age is a guess, and a first try with
        // a short timeout would be refused), or too short for any server or until the next sweep.
        let shortest = shortest.max(self.settings.step_ms * IDLE_SWEEP_STEPS);
        let hopeless = arrival.timeout_ms < shortest || share <= 0.0 && marked.is_some();
        let rejected =
            hopeless || self.rng.f64() > self.admission.powf(self.mean_density / density.max(1e-9));
        self.requests.insert(id.clone(), request);
        if rejected {
            return self.refuse(&id, self.settings.max_retry_after_ms);
        }
        let gateways = (arrival.gateways.max(1) as f64).min(settings.gateway_count.max(1) as f64);
        let (max_concurrent, max_units) = (plan.max_concurrent, settings.max_request_units.max(1.0));
        let account = self.accounts.entry(arrival.customer).or_insert_with(|| {
            // Golden-ratio sequence: a plan's customers must not all change windows at once.
            let shift = (arrival.customer as f64 * 0.618_033_988_75).fract();
            let lease = Lease::new(plan, shift, gateways, max_units);
            let lease = lease.map(|lease| Lease { customer: arrival.customer, plan: plan_index, ..lease });
            Account { lease, gateways, ..Account::default() }
        });
        (account.last_seen, account.max_concurrent) = (now, max_concurrent);
        account.waiting.push_back(id);
        self.serve_waiting(arrival.customer);
    }

    pub(super) fn refuse(&mut self, id: &RequestId, retry_after: f64) {
        let most = if self.settings.retry_after { self.settings.max_retry_after_ms } else { 0.0 };
        self.actions.push(Action::Refuse(id.clone(), retry_after.clamp(0.0, most)));
        self.close(id);
    }

    /// The request has its final answer; its state is dropped once all its attempts have ended.
    pub(super) fn close(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let unsent = request.stage == Stage::Queued && request.attempts.is_empty();
        if request.stage == Stage::Queued {
            self.queue.retain(|other| other != id);
        }
        request.stage = Stage::Answered;
        let done = request.in_flight() == 0;
        let account = self.accounts.get_mut(&request.customer);
        let lease = account.and_then(|account| account.lease.as_mut());
        // Units of a request that was never sent go back to the lease, unless their window has ended.
        if let Some(lease) = lease.filter(|l| request.charged && unsent && l.window == request.charged_window)
        {
            lease.held += request.units;
        }
        if done {
            self.requests.remove(id);
        }
    }

    /// Sends queued requests in order to servers below their limits; late ones get their final answer.
    pub(super) fn drain_queue(&mut self) {
        let mut position = 0;
        while let Some(id) = self.queue.get(position).cloned() {
            let request = &self.requests[&id];
            // Answered at once rather than at the deadline, so that the client can try again.
            let stale = request.arrived + MAX_UNSENT * (request.deadline - request.arrived);
            let unsent = request.attempts.is_empty() && self.now > stale;
            let late = unsent || self.now + self.expected(request) > request.target_at;
            if late && request.in_flight() == 0 {
                self.answer(&id);
            } else if !self.dispatch(&id) {
                position += 1;
            }
        }
    }

    /// Queues a request that has its units by density, and dispatches it at once if it comes first.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let density = |id: &RequestId| self.requests.get(id).map_or(0.0, |r| r.value / self.expected(r));
        let own = density(&id);
        let position = self.queue.partition_point(|other| density(other) >= own);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queued;
        self.queue.insert(position, id.clone());
        if position == 0 {
            self.dispatch(&id);
        }
    }
}
