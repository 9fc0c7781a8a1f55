//! The decisions of an admission gateway. The interface (settings, events, actions) is `src/api.rs`. A
//! request passes admission (quota leases, hard ceiling, cap on concurrent attempts, queue), the choice of a
//! server (health, warm-up) and, after a failed attempt, retries. The state is in `src/state.rs`. Sans-IO and
//! deterministic: actions depend on the settings, the seed and the events alone.

mod admission;
mod choice;
mod cold;
mod health;
mod leases;
mod repeats;

use crate::api::*;
use crate::retry_age::FirstTryTimeout;
pub use crate::state::Limiter;
use crate::state::*;

/// Longest life of a count at the counter service, ms. A window is half of it, so no count expires in one.
const COUNT_TTL_MS: f64 = 60_000.0;
/// Tolerance for rounding, units: totals have seven digits.
const ROUNDING: f64 = 0.02;
/// Lower bound of `fetch_prob` and of `admission`.
const MIN_PROB: f64 = 0.15;
/// Fraction of its target latency that a request may wait for quota or for an attempt of its customer to end.
const MAX_QUOTA_WAIT: f64 = 0.25;
/// Steps between two sweeps over requests and servers (while requests are queued, and otherwise) and over
/// accounts. Sweeps with next to nothing to do took a third of all CPU time.
const SWEEP_STEPS: f64 = 2.0;
const IDLE_SWEEP_STEPS: f64 = 5.0;
const ACCOUNT_STEPS: f64 = 16.0;
/// Least weight of a sample in a class's averages.
const CLASS_GAIN: f64 = 0.03;
/// The retry budget against retry storms: further attempts earned by each first one, and the most saved up.
const RETRY_RATE: f64 = 0.15;
const MAX_RETRY_BUDGET: f64 = 20.0;
/// Up to this many gateways, each sees enough of the fleet's work and of a customer's quota to judge alone.
const FEW_GATEWAYS: f64 = 4.0;

impl Limiter {
    /// A limiter that has seen no event yet.
    pub fn new(settings: Settings, seed: u64) -> Result<Limiter, InvalidSettings> {
        let bucket = |rate: f64, burst: f64| rate == 0.0 || (rate > 0.0 && burst > 0.0);
        let (classes, plans) = (&settings.classes, &settings.plans);
        let index_fits = settings.gateway_index < settings.gateway_count;
        let checks = [
            (plans.iter().all(|plan| bucket(plan.rate, plan.burst)), "a plan's rate needs a burst"),
            (plans.iter().all(|p| bucket(p.ceiling_rate, p.ceiling_burst)), "a ceiling needs a burst"),
            (classes.iter().all(|class| class.target_latency_ms > 0.0), "a class needs an aim above 0"),
            (settings.step_ms > 0.0, "the step must be above 0"),
            (settings.max_attempts > 0, "the most attempts must be above 0"),
            (index_fits, "me must be under siblings: the number of gateways"),
        ];
        if let Some((_, reason)) = checks.into_iter().find(|(valid, _)| !valid) {
            return Err(InvalidSettings(reason));
        }
        let guesses: Vec<f64> = classes.iter().map(|class| class.target_latency_ms * FIRST_GUESS).collect();
        Ok(Limiter {
            rng: fastrand::Rng::with_seed(seed),
            plan_trust: vec![1.0; plans.len()],
            others_share: 1.0 - (FEW_GATEWAYS / settings.gateway_count.max(1) as f64).min(1.0),
            latency: guesses.iter().map(|guess| Average::of(*guess)).collect(),
            lowest_latency: guesses,
            first_try_timeouts: vec![FirstTryTimeout::default(); classes.len()],
            mean_size: Average::of(1.0),
            retry_budget: MAX_RETRY_BUDGET / 2.0,
            admission: 1.0,
            fetch_prob: 1.0,
            settings,
            ..Limiter::default()
        })
    }

    /// Handles an event at time `now` (ms) and appends the actions that follow from it.
    pub fn on_event(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if !std::mem::replace(&mut self.started, true) {
            self.actions.push(Action::Timer("sweep".into(), self.settings.step_ms * SWEEP_STEPS));
            if self.settings.subscribe {
                self.actions.push(Action::SubscribeServers);
            }
        }
        match event {
            Event::Servers(kind, entries) => self.update_servers(kind, entries),
            Event::Request(arrival) => self.on_request(arrival),
            Event::StreamStarted(id, _) => {
                self.requests.get_mut(&id).into_iter().for_each(|r| r.streaming = true)
            }
            Event::Outcome(outcome) => self.on_outcome(outcome),
            Event::Abandoned(id) => self.close(&id),
            Event::Timer(token) if token == "sweep" => self.sweep(),
            Event::CountReply(name, status, total) => self.on_count_reply(&name, status, total),
            Event::LateCount(name, total) => self.on_late_count(&name, total),
            Event::Timer(_) | Event::Probed(..) | Event::Peer(..) => {}
        }
        out.append(&mut self.actions);
    }

    /// The gateway stops: returns units held to the counter and reports what it does not know of yet.
    pub fn shut_down(&mut self, now: f64, out: &mut Vec<Action>) {
        self.now = now;
        for customer in self.accounts.keys().copied().collect::<Vec<_>>() {
            let Some(mut account) = self.accounts.remove(&customer) else { continue };
            for lease in account.lease.iter_mut() {
                lease.roll_window(now);
                lease.correction -= std::mem::take(&mut lease.held).max(0.0);
                if (lease.correction + lease.unreported).abs() > ROUNDING {
                    self.call_counter(lease, 0.0, 0.0);
                }
            }
            self.accounts.insert(customer, account);
        }
        out.append(&mut self.actions);
    }

    fn sweep(&mut self) {
        let now = self.now;
        self.servers.values_mut().for_each(|s| (s.oldest, s.total_wait) = (f64::INFINITY, 0.0));
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        for attempt in attempts.filter(|attempt| attempt.open) {
            if let Some(server) = self.servers.get_mut(&attempt.server) {
                server.oldest = server.oldest.min(attempt.sent);
                server.total_wait += now - attempt.sent.max(server.heard_at);
            }
        }
        self.eject_outliers();
        for id in self.requests.keys().cloned().collect::<Vec<_>>() {
            let Some(request) = self.requests.get(&id) else { continue };
            let (customer, arrived) = (request.customer, request.arrived);
            match request.stage {
                Stage::AwaitingQuota if now > arrived + MAX_QUOTA_WAIT * (request.target_at - arrived) => {
                    self.refuse(&id, self.settings.max_retry_after_ms);
                }
                Stage::AwaitingQuota => self.serve_waiting(customer),
                Stage::InFlight if !request.streaming => self.hedge(&id),
                _ => {}
            }
        }
        self.drain_queue();
        if now - self.accounts_swept_at >= ACCOUNT_STEPS * self.settings.step_ms && !self.silent {
            self.accounts_swept_at = now;
            self.sweep_accounts();
        }
        let steps = if self.queue.is_empty() { IDLE_SWEEP_STEPS } else { SWEEP_STEPS };
        self.actions.push(Action::Timer("sweep".into(), self.settings.step_ms * steps));
    }
}
