//! Delays requests of tenants whose trial has lapsed, as `nickeljunction-pacing` decides, and requests shares of the
//! tenants' rates from the leader. Does nothing while there is no such tenant.

use crate::core_client::CoreClient;
use nickeljunction_messages::{path, PaceSharesAnswer, PaceSharesCall, TrialInfo};
use nickeljunction_net::wheel::Wheel;
use nickeljunction_pacing::{Arrival, Rank, StageSchedule, TenantStatus, Throttle, Verdict};
use nickeljunction_schema::Config;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Interval between two calls for shares, ms.
const SHARES_INTERVAL_MS: f64 = 500.0;
/// Time-out of a call for shares, ms.
const SHARES_TIMEOUT_MS: f64 = 300.0;
/// A request with less than this part of the longest client time-out on its route is taken for a retry.
const RETRY_PART: f64 = 0.93;
/// Weight of one service time in the mean and in the mean deviation.
const GAIN: f64 = 0.1;

/// A request that may be delayed.
#[derive(Debug, Clone, Copy)]
pub struct PacedRequest<'a> {
    /// Its tenant.
    pub tenant: &'a str,
    /// Its route.
    pub route: &'a str,
    /// The order in which requests are delayed, see [`Rank::from_gives_way`].
    pub gives_way: u32,
    /// An answer within this time earns its full worth, ms.
    pub target_latency_ms: f64,
    /// The time-out that the client stated, ms; infinite if it stated none.
    pub client_timeout_ms: f64,
    /// Longest time that the request may be delayed, ms.
    pub max_delay_ms: f64,
}

/// Statistics of a route, from its requests since a tenant is slowed down.
#[derive(Debug, Clone, Copy, Default)]
struct RouteStats {
    /// Longest time-out that a client stated, ms.
    max_client_timeout_ms: f64,
    /// Mean and mean deviation of service times, ms; `None` before the first.
    service_time: Option<(f64, f64)>,
}

impl RouteStats {
    fn expected_ms(&self, target_latency_ms: f64) -> f64 {
        self.service_time.map_or(target_latency_ms / 2.0, |(mean, deviation)| mean + 2.0 * deviation)
    }
}

/// Delays the requests of slowed tenants.
pub struct TenantPacing {
    wheel: Wheel,
    throttle: RefCell<Throttle>,
    route_stats: RefCell<BTreeMap<Box<str>, RouteStats>>,
    is_active: Cell<bool>,
    is_shutting_down: Cell<bool>,
    shutdown_began: Notify,
    /// Notified when the first tenant is slowed down.
    activated: Notify,
    seq: Cell<u64>,
}

/// A request that is being delayed. Dropping this ends the delay, also when the client has disconnected.
struct DelayGuard<'a> {
    pacing: &'a TenantPacing,
    tenant: &'a str,
}

impl Drop for DelayGuard<'_> {
    fn drop(&mut self) {
        self.pacing.throttle.borrow_mut().end_delay(self.tenant);
    }
}

impl TenantPacing {
    /// Starts without a slowed tenant.
    pub fn new(wheel: Wheel) -> TenantPacing {
        TenantPacing {
            wheel,
            throttle: RefCell::default(),
            route_stats: RefCell::default(),
            is_active: Cell::new(false),
            is_shutting_down: Cell::new(false),
            shutdown_began: Notify::new(),
            activated: Notify::new(),
            seq: Cell::new(0),
        }
    }

    /// Whether a tenant is slowed down, or requests of one are still being delayed.
    pub fn is_active(&self) -> bool {
        self.is_active.get()
    }

    /// Takes the states of the trials that the leader has just sent. Their schedules come from `config`, the current
    /// configuration.
    pub fn update_trials(&self, trials: &[TrialInfo], config: Option<&Config>) {
        let now = self.wheel.now();
        let mut throttle = self.throttle.borrow_mut();
        for trial in trials {
            if throttle.set_stage(now, &trial.tenant, trial.step, trial.stage, trial.in_ms as f64) {
                log::info!(
                    "event=trial tenant={:?} step={} stage={} in_ms={}",
                    trial.tenant,
                    trial.step,
                    trial.stage,
                    trial.in_ms
                );
            }
        }
        drop(throttle);
        if let Some(config) = config {
            self.update_config(config);
        }
        self.update_active();
    }

    /// Takes the stage schedules of a new configuration.
    pub fn update_config(&self, config: &Config) {
        let is_known = |tenant: &str| config.tenants.contains_key(tenant);
        self.throttle
            .borrow_mut()
            .set_schedules(|tenant| is_known(tenant).then(|| StageSchedule::for_tenant(config, tenant)));
    }

    fn update_active(&self) {
        let is_active = self.throttle.borrow().is_throttling(self.wheel.now());
        if !is_active {
            self.route_stats.borrow_mut().clear();
        }
        if is_active && !self.is_active.replace(is_active) {
            self.activated.notify_one();
        }
        self.is_active.set(is_active);
    }

    /// Begins the shutdown: delayed requests go on at once and no request is delayed any more, because every accepted
    /// request must be answered before the process ends.
    pub fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
        self.shutdown_began.notify_waiters();
    }

    /// Delays a request as its tenant's pace requires.
    ///
    /// # Errors
    /// The request can't be sent within its time. Holds the time after which its client should retry, ms.
    pub async fn admit(&self, request: PacedRequest<'_>) -> Result<(), f64> {
        let now = self.wheel.now();
        let (is_retry, expected_ms) = {
            let mut route_stats = self.route_stats.borrow_mut();
            if !route_stats.contains_key(request.route) {
                route_stats.insert(request.route.into(), RouteStats::default());
            }
            let Some(stats) = route_stats.get_mut(request.route) else { return Ok(()) };
            let has_timeout = request.client_timeout_ms.is_finite();
            if has_timeout {
                stats.max_client_timeout_ms = stats.max_client_timeout_ms.max(request.client_timeout_ms);
            }
            (
                has_timeout && request.client_timeout_ms < RETRY_PART * stats.max_client_timeout_ms,
                stats.expected_ms(request.target_latency_ms),
            )
        };
        let arrival = Arrival {
            rank: Rank::from_gives_way(request.gives_way),
            remaining_ms: request.max_delay_ms,
            expected_ms,
            is_retry,
        };
        let verdict = self.throttle.borrow_mut().admit(now, request.tenant, &arrival);
        match verdict {
            Verdict::Pass => Ok(()),
            Verdict::RetryLater { retry_after_ms } => Err(retry_after_ms),
            Verdict::Delay { until } => {
                let guard = DelayGuard { pacing: self, tenant: request.tenant };
                if !self.is_shutting_down.get() {
                    self.wheel.timeout(until - now, self.shutdown_began.notified()).await;
                }
                drop(guard);
                Ok(())
            }
        }
    }

    /// Records how long a request of this route took from when it was dispatched, ms.
    pub fn record_service_time(&self, route: &str, took_ms: f64) {
        if let Some(stats) = self.route_stats.borrow_mut().get_mut(route) {
            let (mean, deviation) = stats.service_time.unwrap_or((took_ms, took_ms / 4.0));
            let difference = (took_ms - mean).abs();
            stats.service_time =
                Some((mean + GAIN * (took_ms - mean), deviation + GAIN * (difference - deviation)));
        }
    }

    /// States of the slowed tenants, for the metrics.
    pub fn tenant_statuses(&self) -> Vec<TenantStatus> {
        self.throttle.borrow_mut().tenant_statuses(self.wheel.now())
    }

    /// Requests shares from the leader while a tenant is slowed down. Never completes.
    pub async fn run_share_refresh(self: Rc<Self>, link: Rc<CoreClient>) {
        loop {
            if !self.is_active.get() {
                self.activated.notified().await;
            }
            self.refresh_shares(&link).await;
            self.wheel.sleep(SHARES_INTERVAL_MS).await;
            self.update_active();
        }
    }

    async fn refresh_shares(&self, link: &CoreClient) {
        self.seq.set(self.seq.get() + 1);
        let (demand, held) = {
            let (now, throttle) = (self.wheel.now(), self.throttle.borrow());
            (throttle.demand(now), throttle.shares_in_use(now))
        };
        let call = PaceSharesCall { demand, held, seq: self.seq.get(), ..link.pace_shares_call() };
        let Some(answer) =
            link.call_leader::<_, PaceSharesAnswer>(path::PACE_SHARES, &call, SHARES_TIMEOUT_MS).await
        else {
            return;
        };
        if answer.seq == call.seq {
            self.throttle.borrow_mut().set_shares(&answer.shares);
        }
    }
}
