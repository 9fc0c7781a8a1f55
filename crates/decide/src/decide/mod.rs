//! The decisions of an admission gateway. The interface (settings, events, actions) is `src/api.rs`.
//!
//! Order: admission (leases, ceiling, open cap, waiting line), server choice and health, repeats, cold
//! starts. What is remembered: `src/state.rs`. Sans-IO and deterministic: everything follows from the
//! settings, the seed and the events.

mod admission;
mod choice;
mod cold;
mod health;
mod leases;
mod repeats;

use crate::api::*;
pub use crate::state::Limiter;
use crate::state::*;

/// Longest life of a count name, ms (the counter service's own bound); a window is half of it, so that no
/// name is forgotten within its window.
const NAME_LIFE_MS: f64 = 60_000.0;
/// Totals come to seven digits: a store is full enough when it lacks no more than this, units.
const ROUNDING: f64 = 0.02;
/// Least odds of a fetch, and of admission.
const ODDS_LEAST: f64 = 0.15;
/// Part of a request's aim that it may wait for units or for an attempt of its customer to end.
const UNIT_WAIT: f64 = 0.25;
/// Rounds between two sweeps over requests and servers: while requests wait for a server, and else, when a
/// sweep finds next to nothing to do; then between two over accounts. Idle ones were a third of all CPU.
const SWEEP_STEPS: f64 = 2.0;
const CALM_STEPS: f64 = 5.0;
const ACCOUNT_STEPS: f64 = 16.0;
/// Weight of one sample in a class's average.
const CLASS_GAIN: f64 = 0.03;
/// Further attempts allowed for each first one, and how many may be saved up: bounds a retry storm.
const RETRY_RATE: f64 = 0.15;
const RETRY_SAVED: f64 = 20.0;
/// With more gateways (doors) than this one's own place bounds, work out and books say little.
const FEW: f64 = 4.0;

impl Limiter {
    /// A limiter that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Limiter, InvalidSettings> {
        let store = |rate: f64, burst: f64| rate == 0.0 || (rate > 0.0 && burst > 0.0);
        let (classes, plans) = (&settings.classes, &settings.plans);
        let checks = [
            (plans.iter().all(|plan| store(plan.rate, plan.burst)), "a plan's rate needs a burst"),
            (
                plans.iter().all(|plan| store(plan.ceiling_rate, plan.ceiling_burst)),
                "a ceiling needs a burst",
            ),
            (classes.iter().all(|class| class.target_latency_ms > 0.0), "a class needs an aim above 0"),
            (settings.step_ms > 0.0, "the step must be above 0"),
            (settings.max_attempts > 0, "the most attempts must be above 0"),
            (
                settings.gateway_index < settings.gateway_count,
                "me must be under siblings: the number of gateways",
            ),
        ];
        if let Some((_, why)) = checks.into_iter().find(|(fine, _)| !fine) {
            return Err(InvalidSettings(why));
        }
        let guesses: Vec<f64> = classes.iter().map(|class| class.target_latency_ms * FIRST_GUESS).collect();
        Ok(Limiter {
            rng: fastrand::Rng::with_seed(seed),
            trust: vec![1.0; settings.plans.len()],
            unseen: 1.0 - (FEW / settings.gateway_count.max(1) as f64).min(1.0),
            latency: guesses.iter().map(|guess| Average::of(*guess)).collect(),
            calm: guesses,
            usual: vec![crate::retry_age::Usual::default(); settings.classes.len()],
            size: Average::of(1.0),
            retries: RETRY_SAVED / 2.0,
            admit: 1.0,
            odds: 1.0,
            settings,
            ..Limiter::default()
        })
    }

    /// Takes one event at time `now` (ms) and appends the actions that follow from it.
    pub fn on_event(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if !std::mem::replace(&mut self.swept, true) {
            self.out.push(Action::Timer("sweep".into(), self.settings.step_ms * SWEEP_STEPS));
            if self.settings.subscribe {
                self.out.push(Action::SubscribeServers);
            }
        }
        match event {
            Event::Servers(kind, entries) => self.list(kind, entries),
            Event::Request(arrival) => self.arrive(arrival),
            Event::StreamStarted(id, _) => {
                self.requests.get_mut(&id).into_iter().for_each(|r| r.streaming = true)
            }
            Event::Outcome(outcome) => self.outcome(outcome),
            Event::Abandoned(id) => self.end(&id),
            Event::Timer(token) if token == "sweep" => self.sweep(),
            Event::CountReply(name, status, total) => self.counted(&name, status, total),
            Event::LateCount(name, total) => self.counted_late(&name, total),
            Event::Timer(_) | Event::Probed(..) | Event::Peer(..) => {}
        }
        out.append(&mut self.out);
    }

    /// The gateway stops: what its batches hold, and what is still to be put right, goes to the counter.
    pub fn shut_down(&mut self, now: f64, out: &mut Vec<Action>) {
        self.now = now;
        for customer in self.accounts.keys().copied().collect::<Vec<_>>() {
            let Some(mut account) = self.accounts.remove(&customer) else { continue };
            for pool in account.pool.iter_mut() {
                pool.roll(now);
                pool.fix -= std::mem::take(&mut pool.held).max(0.0);
                if (pool.fix + pool.owed).abs() > ROUNDING {
                    self.ask(customer, pool, 0.0, 0.0);
                }
            }
            self.accounts.insert(customer, account);
        }
        out.append(&mut self.out);
    }

    /// Requests whose attempts or final answer are still owed.
    pub fn open_request_count(&self) -> usize {
        self.requests.len()
    }

    fn sweep(&mut self) {
        let now = self.now;
        self.servers.values_mut().for_each(|server| (server.oldest, server.waits) = (f64::INFINITY, 0.0));
        for attempt in
            self.requests.values().flat_map(|request| &request.attempts).filter(|attempt| attempt.open)
        {
            if let Some(server) = self.servers.get_mut(&attempt.server) {
                server.oldest = server.oldest.min(attempt.sent);
                server.waits += now - attempt.sent.max(server.heard);
            }
        }
        self.judge_servers();
        for id in self.requests.keys().cloned().collect::<Vec<_>>() {
            let Some(request) = self.requests.get(&id) else { continue };
            let customer = request.customer;
            match request.stage {
                Stage::Units if now > request.arrived + UNIT_WAIT * (request.aim_at - request.arrived) => {
                    self.refuse(&id, self.settings.max_retry_after_ms);
                }
                Stage::Units => self.serve(customer),
                Stage::Out if !request.streaming => self.hedge(&id),
                _ => {}
            }
        }
        self.drain_line();
        if now - self.accounts_at >= ACCOUNT_STEPS * self.settings.step_ms && !self.silent {
            self.accounts_at = now;
            self.sweep_accounts();
        }
        let steps = if self.line.is_empty() { CALM_STEPS } else { SWEEP_STEPS };
        self.out.push(Action::Timer("sweep".into(), self.settings.step_ms * steps));
    }
}
