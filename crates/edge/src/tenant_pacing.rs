//! Holds requests of tenants whose trial lapsed, as `nickeljunction-pacing` says, and asks the leader for shares of their paces.
//! Without such a tenant it does nothing.

use crate::core_client::CoreClient;
use nickeljunction_messages::{path, PaceSharesAnswer, PaceSharesCall, TrialInfo};
use nickeljunction_net::wheel::Wheel;
use nickeljunction_pacing::{Arrival, Rank, StageSchedule, TenantStatus, Throttle, Verdict};
use nickeljunction_schema::Config;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Between two calls for shares, ms.
const ASK_MS: f64 = 500.0;
/// How long such a call may take, ms.
const ANSWER_MS: f64 = 300.0;
/// A client that has less than this part of the longest time that any had on its route has been here before.
const AGAIN_PART: f64 = 0.93;
/// Weight of a new time of service against those before.
const NEW_PART: f64 = 0.1;
/// A request as it is to be slowed.
#[derive(Debug, Clone, Copy)]
pub struct PacedRequest<'a> {
    /// Its tenant.
    pub tenant: &'a str,
    /// Its route.
    pub route: &'a str,
    /// In which order it gives way, see [`Rank::from_gives_way`].
    pub gives_way: u32,
    /// Time within which its route's answers earn their full worth, ms.
    pub target_latency_ms: f64,
    /// What its client said that it waits, ms; infinite where it said nothing.
    pub client_timeout_ms: f64,
    /// Time that it may be held, ms.
    pub max_delay_ms: f64,
}

/// What is known of a route, from its requests since a tenant is slowed.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    /// Longest time that a client had, ms.
    longest_ms: f64,
    /// Mean and mean deviation of times of service, ms.
    served: Option<(f64, f64)>,
}

impl Known {
    fn expected_ms(&self, aim_ms: f64) -> f64 {
        self.served.map_or(aim_ms / 2.0, |(mean, deviation)| mean + 2.0 * deviation)
    }
}

/// See the module.
pub struct TenantPacing {
    wheel: Wheel,
    throttle: RefCell<Throttle>,
    routes: RefCell<BTreeMap<Box<str>, Known>>,
    active: Cell<bool>,
    leaving: Cell<bool>,
    /// The order to leave came.
    left: Notify,
    /// A tenant is slowed that was not before.
    began: Notify,
    seq: Cell<u64>,
}

/// A request that is held; dropping it ends that, also where its client has gone.
struct Held<'a>(&'a TenantPacing, &'a str);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.throttle.borrow_mut().end_delay(self.1);
    }
}

impl TenantPacing {
    /// Nobody is slowed yet.
    pub fn new(wheel: Wheel) -> TenantPacing {
        TenantPacing {
            wheel,
            throttle: RefCell::default(),
            routes: RefCell::default(),
            active: Cell::new(false),
            leaving: Cell::new(false),
            left: Notify::new(),
            began: Notify::new(),
            seq: Cell::new(0),
        }
    }

    /// Some tenant is slowed, or its last wait runs off.
    pub fn is_active(&self) -> bool {
        self.active.get()
    }

    /// Trials as the leader told them just now, by the configuration in force.
    pub fn update_trials(&self, trials: &[TrialInfo], config: Option<&Config>) {
        let now = self.wheel.now();
        let mut throttle = self.throttle.borrow_mut();
        for line in trials {
            if throttle.set_stage(now, &line.tenant, line.step, line.stage, line.in_ms as f64) {
                log::info!(
                    "event=trial tenant={:?} step={} stage={} in_ms={}",
                    line.tenant,
                    line.step,
                    line.stage,
                    line.in_ms
                );
            }
        }
        drop(throttle);
        if let Some(config) = config {
            self.update_config(config);
        }
        self.look();
    }

    /// Another configuration is in force.
    pub fn update_config(&self, config: &Config) {
        let known = |tenant: &str| config.tenants.contains_key(tenant);
        self.throttle
            .borrow_mut()
            .set_schedules(|tenant| known(tenant).then(|| StageSchedule::for_tenant(config, tenant)));
    }

    fn look(&self) {
        let active = self.throttle.borrow().is_throttling(self.wheel.now());
        if !active {
            self.routes.borrow_mut().clear();
        }
        if active && !self.active.replace(active) {
            self.began.notify_one();
        }
        self.active.set(active);
    }

    /// The order to leave: what is held goes on at once, and nothing is held any more. What is taken must be answered in time.
    pub fn begin_shutdown(&self) {
        self.leaving.set(true);
        self.left.notify_waiters();
    }

    /// Holds a request for as long as its tenant is slowed.
    ///
    /// # Errors
    /// It would be too late: when its client is to come back, ms.
    pub async fn admit(&self, slow: PacedRequest<'_>) -> Result<(), f64> {
        let now = self.wheel.now();
        let (again, expected_ms) = {
            let mut routes = self.routes.borrow_mut();
            if !routes.contains_key(slow.route) {
                routes.insert(slow.route.into(), Known::default());
            }
            let Some(known) = routes.get_mut(slow.route) else { return Ok(()) };
            let told = slow.client_timeout_ms.is_finite();
            if told {
                known.longest_ms = known.longest_ms.max(slow.client_timeout_ms);
            }
            (
                told && slow.client_timeout_ms < AGAIN_PART * known.longest_ms,
                known.expected_ms(slow.target_latency_ms),
            )
        };
        let arrival = Arrival {
            rank: Rank::from_gives_way(slow.gives_way),
            remaining_ms: slow.max_delay_ms,
            expected_ms,
            is_retry: again,
        };
        let verdict = self.throttle.borrow_mut().admit(now, slow.tenant, &arrival);
        match verdict {
            Verdict::Pass => Ok(()),
            Verdict::RetryLater { retry_after_ms } => Err(retry_after_ms),
            Verdict::Delay { until } => {
                let held = Held(self, slow.tenant);
                if !self.leaving.get() {
                    self.wheel.timeout(until - now, self.left.notified()).await;
                }
                drop(held);
                Ok(())
            }
        }
    }

    /// A request of this route was served, ms after it was handed on.
    pub fn record_service_time(&self, route: &str, took_ms: f64) {
        if let Some(known) = self.routes.borrow_mut().get_mut(route) {
            let (mean, deviation) = known.served.unwrap_or((took_ms, took_ms / 4.0));
            let off = (took_ms - mean).abs();
            known.served =
                Some((mean + NEW_PART * (took_ms - mean), deviation + NEW_PART * (off - deviation)));
        }
    }

    /// How slowed tenants stand here, for operators.
    pub fn tenant_statuses(&self) -> Vec<TenantStatus> {
        self.throttle.borrow_mut().tenant_statuses(self.wheel.now())
    }

    /// Asks the leader for shares while a tenant is slowed, for as long as it is polled.
    pub async fn run_share_refresh(self: Rc<Self>, link: Rc<CoreClient>) {
        loop {
            if !self.active.get() {
                self.began.notified().await;
            }
            self.ask(&link).await;
            self.wheel.sleep(ASK_MS).await;
            self.look();
        }
    }

    async fn ask(&self, link: &CoreClient) {
        self.seq.set(self.seq.get() + 1);
        let (demand, held) = {
            let (now, throttle) = (self.wheel.now(), self.throttle.borrow());
            (throttle.demand(now), throttle.shares_in_use(now))
        };
        let call = PaceSharesCall { demand, held, seq: self.seq.get(), ..link.pace_shares_call() };
        let Some(answer) = link.call_leader::<_, PaceSharesAnswer>(path::PACE_SHARES, &call, ANSWER_MS).await
        else {
            return;
        };
        if answer.seq == call.seq {
            self.throttle.borrow_mut().set_shares(&answer.shares);
        }
    }
}
