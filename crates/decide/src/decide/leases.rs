//! Leases: the units that this gateway holds of each customer's quota, and its calls to the counter.

use super::*;

/// Greatest share of the remaining quota that one fetch takes: the static batch of the paper.
const FETCH_SHARE: f64 = 0.5;
/// Span of the recent use that caps a fetch, in burst lengths: the dynamic batch of the paper.
const RECENT_SPAN: f64 = 0.25;
/// A lease that is idle for this fraction of the burst length is returned.
const RETURN_AFTER: f64 = 0.25;
/// Fraction of the capacity by which a total may be off before a call of its own corrects it, and that with
/// many gateways: each seldom calls for a count, and half of all calls were such corrections.
const TOLERANCE: f64 = 0.1;
const MAX_TOLERANCE: f64 = 0.4;
/// `fetch_prob` after a silence. Each quick reply in a row raises it by more, any other lowers it, so that
/// all gateways together stay below a limit of the counter that none of them knows.
const PROB_AFTER_SILENCE: f64 = 0.5;
const PROB_STEP: f64 = 0.03;
const PROB_FACTOR: f64 = 0.7;
/// Bound on a request's relative density, up and down, where it changes the probability of a fetch.
const MAX_DENSITY: f64 = 2.0;
/// A reply slower than this fraction of the way from the fastest one to the timeout indicates overload: a
/// distant or slow counter is never quick. The fastest reply grows by this factor with each reply.
const OVERLOADED_AT: f64 = 0.5;
const FASTEST_GROWTH: f64 = 1.001;
/// Below this `fetch_prob` the counter is overloaded: calls that only correct a total can wait.
const CORRECTION_PROB: f64 = 0.7;
/// Weight of one fetch in the share of covered fetches of a plan, and of a customer.
const PLAN_GAIN: f64 = 0.1;
const CUSTOMER_GAIN: f64 = 0.5;
/// Calls in a row without a reply after which the counter is silent: an overloaded one answers some.
const SILENT_CALLS: u32 = 6;
/// Fraction of its capacity that a bucket must be known to hold for its customer to be trusted regardless.
const KNOWN_PART: f64 = 0.15;
/// After an empty bucket this gateway waits for this fraction of the time in which it refills for all
/// gateways: they would all ask for each new unit and return what is not covered.
const EMPTY_PART: f64 = 0.25;

impl Lease {
    /// The lease of a customer with requests of up to `max_units`, that enter through this many gateways;
    /// `shift` (0 to 1) keeps customers from changing windows together.
    pub(crate) fn new(plan: &Plan, shift: f64, gateways: f64, max_units: f64) -> Option<Lease> {
        let (mut rate, mut capacity, has_ceiling) = (plan.rate, plan.burst, plan.ceiling_rate > 0.0);
        let (mut local_max, mut local_rate) = (0.0, 0.0);
        if has_ceiling {
            // All local shares fit the ceiling with two capacities, one on each side of a window's start.
            local_max = if gateways * max_units <= plan.ceiling_burst / 2.0 { max_units } else { 0.0 };
            let most = (plan.ceiling_burst + plan.ceiling_slack - gateways * local_max) / 2.0;
            rate = if rate > 0.0 { rate.min(plan.ceiling_rate) } else { plan.ceiling_rate / 2.0 };
            capacity = if capacity > 0.0 { capacity.min(most) } else { most };
            local_rate = (plan.ceiling_rate - rate) / gateways / 1000.0;
        }
        let (burst_ms, window_ms) = (capacity / rate * 1000.0, COUNT_TTL_MS / 2.0);
        let (window_shift, window, never) = (shift * window_ms, i64::MIN, f64::NEG_INFINITY);
        let unused = Lease { used_at: never, local_at: never, covered_at: never, ..Lease::default() };
        let limits = Lease { has_ceiling, capacity, gateways, local_max, local_rate, ..unused };
        let lease = Lease { rate: rate / 1000.0, burst_ms, window_ms, window_shift, window, ..limits };
        (rate > 0.0).then_some(lease)
    }

    fn spend(&mut self, now: f64, units: f64) {
        self.held -= units;
        let decay = (-(now - self.used_at) / (RECENT_SPAN * self.burst_ms).max(1.0)).exp();
        self.recent_use = self.recent_use * decay + units;
        self.used_at = now;
    }

    /// Trust in a customer: its share of covered fetches, fading into that of its plan. A few customers that
    /// ask for many times their quota make most fetches of a plan; by that alone all were distrusted.
    /// Drawback: after a burst a customer is fetched for rather than trusted.
    fn trust(&self, now: f64, plan: f64) -> f64 {
        plan + (-(now - self.covered_at) / self.window_ms).exp() * (self.covered - plan)
    }

    fn record_fetch(&mut self, now: f64, covered: f64, plan: &mut f64) {
        // A customer judged lately adds little about its plan, or a few heavy ones would decide for all.
        let weight = 1.0 - (-(now - self.covered_at) / self.window_ms).exp();
        self.covered = (1.0 - CUSTOMER_GAIN) * self.trust(now, *plan) + CUSTOMER_GAIN * covered;
        *plan += PLAN_GAIN * weight * (covered - *plan);
        self.covered_at = now;
    }

    /// Units to fetch for `need`: half the remainder, at most the recent use and one request (`one`) more.
    fn fetch_size(&self, now: f64, need: f64, one: f64) -> f64 {
        let (available, short) = (self.available(now), need - self.held);
        let ahead = (FETCH_SHARE * available).min(self.recent_use + one);
        // Whole units: a fraction of a unit serves no request and would stay unused.
        ahead.max(short).min(available.max(short.min(one))).ceil().max(0.0)
    }

    /// Applies a reply; true if the counter had lost the count. Uncovered units are returned, at random
    /// (`drawn`) where `fetch_prob` is low: a third of all calls did nothing else.
    pub(crate) fn apply_reply(&mut self, now: f64, call: &CounterCall, total: f64, drawn: bool) -> bool {
        let before = total - call.amount();
        // Less than this gateway added: the count was lost, and new leases would exceed the quota.
        let lost = before < self.own_total - 0.5;
        if lost {
            self.min_total = self.known_total.unwrap_or(self.own_total).max(self.own_total);
            self.own_total = 0.0;
        }
        let refilled = self.refilled(now);
        let base = refilled.max(self.min_total);
        let lacking = (base - before).max(0.0);
        // Two gateways may correct the same count at once: the second takes its correction back.
        let done = call.correction;
        let mut correction = if done > 0.0 { (lacking - done).max(-done) } else { lacking };
        let tolerance = (TOLERANCE * self.gateways / FEW_GATEWAYS).clamp(TOLERANCE, MAX_TOLERANCE);
        if correction.abs() < tolerance * self.capacity {
            correction = 0.0;
        }
        let free = refilled + self.capacity - base.max(before) - call.unreported;
        let barred = lost && self.has_ceiling;
        let granted = if barred { 0.0 } else { (free + ROUNDING).floor().clamp(0.0, call.fetch) };
        if granted < call.fetch.min(1.0) && self.gateways > FEW_GATEWAYS {
            // No longer than an empty bucket takes to fill: with many gateways the customers of a slow plan
            // were refused for minutes.
            self.empty_until = now + (EMPTY_PART * call.fetch * self.gateways / self.rate).min(self.burst_ms);
        }
        // Sampled units beyond the quota must not count against later requests.
        let surplus = call.fetch - granted + (call.sampled - (free - granted).max(0.0)).max(0.0).floor();
        if self.has_ceiling || call.fetch_prob >= 1.0 {
            correction -= surplus;
        } else if drawn && surplus > 0.0 {
            // Also on behalf of calls that were not drawn: down to the capacity, whoever exceeded it.
            correction = (refilled + self.capacity - total).min(-surplus);
        }
        self.held += granted;
        self.own_total += call.amount();
        self.correction += correction;
        // Units beyond the capacity are about to be returned: counting them would refuse for seconds. After a
        // loss the reply to the correction is judged by `min_total`; by the refill alone it was undone.
        self.min_total = if lost { total + correction } else { 0.0 };
        self.known_total = Some((total + correction).min(refilled + self.capacity));
        lost
    }
}

impl Limiter {
    /// Admits a customer's waiting requests in order as far as its lease covers them; fetches for the others.
    pub(crate) fn serve_waiting(&mut self, customer: u64) {
        let Some(mut account) = self.accounts.remove(&customer) else { return };
        let (now, mut admitted) = (self.now, Vec::new());
        for lease in account.lease.iter_mut() {
            lease.roll_window(now);
            self.apply_plan_change(lease);
        }
        while let Some(id) = account.waiting.front().cloned() {
            let waiting = |id| self.requests.get(id).filter(|r: &&Request| r.stage == Stage::AwaitingQuota);
            let Some((units, density)) = waiting(&id).map(|r| (r.units, r.relative_density)) else {
                account.waiting.pop_front();
                continue;
            };
            // An even part of the cap on concurrent attempts: a counter call for each would overload it.
            let most = (account.max_concurrent / account.gateways).ceil();
            if most > 0.0 && account.in_flight + admitted.len() as f64 >= most {
                break;
            }
            let need = account.waiting.iter().filter_map(waiting).map(|request| request.units).sum();
            let check = match account.lease.as_mut().filter(|lease| lease.held + 1e-6 < units) {
                Some(lease) => self.check_quota(lease, units, need, density),
                None => Quota::Covered,
            };
            if matches!(check, Quota::Pending) {
                break;
            }
            account.waiting.pop_front();
            if let Quota::Denied(pause) = check {
                self.refuse(&id, pause);
                continue;
            }
            account.lease.iter_mut().for_each(|lease| lease.spend(now, units));
            let request = self.requests.get_mut(&id).expect("looked up above");
            (request.stage, request.charged) = (Stage::Queued, true);
            request.charged_window = account.lease.as_ref().map_or(0, |lease| lease.window);
            admitted.push(id);
        }
        if let Some(lease) = account.lease.as_mut() {
            // Not directly after a failed call: where connections are refused, calls repeated without a
            // pause. The next sweep makes it.
            let due = lease.correction > 0.0 && self.fetch_prob >= CORRECTION_PROB;
            if (lease.correction < 0.0 || due) && !lease.call_failed {
                self.call_counter(lease, 0.0, 0.0);
            }
        }
        self.accounts.insert(customer, account);
        admitted.into_iter().for_each(|id| self.enqueue(id));
    }

    /// Covers a request's units: by a fetch, or by the local share where no fetch is made.
    fn check_quota(&mut self, lease: &mut Lease, units: f64, need: f64, density: f64) -> Quota {
        let lacking = units - lease.held - lease.available(self.now);
        let pause = lacking.max(0.0) / lease.rate;
        let blind = std::mem::take(&mut lease.call_failed) || self.silent || !self.settings.counter_enabled;
        if lease.call.is_some() && !blind {
            return Quota::Pending;
        }
        // A wrong decision costs more for a high density, so it is fetched for more often.
        let prob = self.fetch_prob.powf(1.0 / density.clamp(1.0 / MAX_DENSITY, MAX_DENSITY));
        let chosen = self.rng.f64() < prob;
        // Trust in a customer pays while its fetches are covered and the fleet has capacity. Most requests
        // marked as retries were refused for a reason.
        let excess_cost = self.settings.plans[lease.plan].excess_cost;
        let trust = lease.trust(self.now, self.plan_trust[lease.plan]);
        let capacity = self.admission.powf(1.0 / (1.0 + self.quick_answers));
        // A bucket known to hold units is reason enough, but with many gateways not for long.
        let age = (self.now - lease.covered_at) * lease.gateways;
        let fresh = lease.gateways <= FEW_GATEWAYS || age < FEW_GATEWAYS * lease.burst_ms;
        let filled = lease.available(self.now) >= KNOWN_PART * lease.capacity;
        let known = lease.known_total.is_some() && fresh && filled;
        let doubtful = !known && (density <= 0.0 || trust * capacity < excess_cost / (1.0 + excess_cost));
        if blind {
            if chosen && self.silent {
                self.call_counter(lease, 0.0, 0.0);
            }
            // A few gateways know a silent counter's customers well enough from their own requests.
            if doubtful && self.others_share >= 0.5 {
                return Quota::Denied(f64::INFINITY);
            }
            return self.draw_local_share(lease, units, pause, true);
        }
        if lease.known_total.is_some() && lacking > ROUNDING || self.now < lease.empty_until {
            // The bucket is known to be empty: a call would change nothing.
            return Quota::Denied(pause.max(lease.empty_until - self.now));
        }
        if chosen {
            let fetch = lease.fetch_size(self.now, need, units).max(units - lease.held);
            // Also counts requests that were trusted without a call. Doubtful ones were refused, but in an
            // overload their quota is counted down all the same.
            let trusted = if doubtful { 1.0 - self.admission } else { 1.0 };
            let sampled = trusted * units * (1.0 / prob - 1.0);
            self.call_counter(lease, fetch, sampled);
            return Quota::Pending;
        }
        if doubtful {
            // The longest pause: without one the client retries at once and is doubtful again.
            return Quota::Denied(f64::INFINITY);
        }
        self.draw_local_share(lease, units, pause, false)
    }

    /// Draws on a bounded part of the units left, without a call. Under a ceiling it is the gateway's own
    /// part of the room above the leases: two gateways that both guess would exceed it.
    fn draw_local_share(&self, lease: &mut Lease, units: f64, pause: f64, report: bool) -> Quota {
        let (now, lacking) = (self.now, units - lease.held);
        // An even part of a small bucket is under one request: each gateway may serve its first.
        let most = (lease.capacity / (2.0 * units.max(1.0))).max(1.0);
        let gateways = lease.gateways.clamp(1.0, most);
        let left = (lease.local_left + (now - lease.local_at) * lease.local_rate).min(lease.local_max);
        if lease.available(now) < lacking * gateways || (lease.has_ceiling && left < lacking) {
            return Quota::Denied(pause);
        }
        (lease.local_left, lease.local_at) = (left - lacking, now);
        // The estimate of the total assumes that the other gateways spend as much.
        let total = lease.known_total.unwrap_or(0.0).max(lease.refilled(now));
        lease.known_total = Some(total + lacking * gateways);
        lease.unreported += if report { lacking } else { 0.0 };
        lease.held += lacking;
        Quota::Covered
    }

    pub(super) fn call_counter(&mut self, lease: &mut Lease, fetch: f64, sampled: f64) {
        if !self.settings.counter_enabled || lease.call.is_some() {
            return;
        }
        let (window, sent_at, fetch_prob) = (lease.window, self.now, self.fetch_prob);
        let mut call = CounterCall { window, sent_at, fetch_prob, ..CounterCall::default() };
        // A silent counter is only read: an amount that a lost call added would be counted twice.
        if !self.silent {
            let (correction, unreported) = (lease.correction, lease.unreported);
            call = CounterCall { fetch, sampled, correction, unreported, ..call };
            (lease.correction, lease.unreported) = (0.0, 0.0);
        }
        let (name, amount) = (format!("{}.{window}", lease.customer), call.amount());
        lease.call = Some(call);
        self.actions.push(Action::IncrementCounter(name, amount, COUNT_TTL_MS));
    }

    pub(super) fn on_count_reply(&mut self, name: &str, status: Status, total: f64) {
        let Some(customer) = name.split('.').next().and_then(|text| text.parse().ok()) else { return };
        let (now, account) = (self.now, self.accounts.get_mut(&customer));
        let Some(lease) = account.and_then(|account| account.lease.as_mut()) else { return };
        let Some(call) = lease.call.take() else { return };
        let waited = now - call.sent_at;
        lease.roll_window(now);
        if lease.window != call.window {
            // The window has ended, and its lease with it.
        } else if status == Status::Ok {
            if lease.apply_reply(now, &call, total, self.rng.f64() < call.fetch_prob) {
                self.actions.push(Action::Log(format!("count {name} was flushed: total {total}")));
            }
            if call.fetch > 0.0 {
                let covered = if lease.held >= call.fetch.min(1.0) { 1.0 } else { 0.0 };
                lease.record_fetch(now, covered, &mut self.plan_trust[lease.plan]);
            }
        } else if status == Status::TimedOut {
            // It may have been added, and others then see it: it is neither spent nor returned.
            lease.own_total += call.amount().min(0.0);
            lease.late_calls.push_back(call);
        } else {
            lease.unreported += call.unreported;
            lease.correction += call.correction;
        }
        lease.call_failed = status != Status::Ok;
        self.adapt_fetch_prob(status, waited);
        self.serve_waiting(customer);
    }

    /// Adapts `fetch_prob` to the replies, so that gateways share an overloaded counter. A silent one is only
    /// read, and seldom: hundreds of gateways polling it would keep it overloaded.
    fn adapt_fetch_prob(&mut self, status: Status, waited: f64) {
        let answered = status == Status::Ok;
        if answered {
            self.fastest =
                waited.min(if self.fastest > 0.0 { self.fastest * FASTEST_GROWTH } else { waited });
        }
        let span = (self.settings.counter_timeout_ms - self.fastest).max(0.0);
        let quick = answered && waited < self.fastest + OVERLOADED_AT * span;
        self.quick_replies = if quick { self.quick_replies + 1.0 } else { 0.0 };
        self.fetch_prob *= if quick { 1.0 + PROB_STEP * self.quick_replies } else { PROB_FACTOR };
        self.fetch_prob = self.fetch_prob.clamp(MIN_PROB, 1.0);
        self.missed = if answered { 0 } else { self.missed + 1 };
        let silent = self.missed >= SILENT_CALLS;
        if silent != self.silent {
            self.silent = silent;
            self.fetch_prob = if silent { MIN_PROB } else { PROB_AFTER_SILENCE };
            self.actions.push(Action::Log(format!("counter {}", if silent { "silent" } else { "back" })));
        }
    }

    /// Returns idle leases, reports units spent while the counter was silent, and drops unused accounts.
    pub(super) fn sweep_accounts(&mut self) {
        let now = self.now;
        for customer in self.accounts.keys().copied().collect::<Vec<_>>() {
            let Some(mut account) = self.accounts.remove(&customer) else { continue };
            for lease in account.lease.iter_mut().filter(|_| account.waiting.is_empty()) {
                lease.roll_window(now);
                let idle = lease.held > 0.0 && now - lease.used_at > RETURN_AFTER * lease.burst_ms;
                // While the bucket is half full no gateway lacks the idle units, and a call is only load.
                let low = lease.available(now) < lease.capacity / 2.0;
                if idle && low && self.settings.counter_enabled {
                    lease.correction -= lease.held;
                    lease.held = 0.0;
                }
                let due = self.fetch_prob >= CORRECTION_PROB && lease.correction + lease.unreported > 0.0;
                if lease.correction < 0.0 || due {
                    self.call_counter(lease, 0.0, 0.0);
                }
            }
            let recent = now - account.last_seen < COUNT_TTL_MS;
            if recent || account.in_flight > 0.0 || !account.waiting.is_empty() {
                self.accounts.insert(customer, account);
            }
        }
    }
}
