//! State that all lanes of a gateway share: the known servers and services, and the checks before a send.

use crate::attempt::PendingRequest;
use crate::budget::{slack_share, RetryBudget, SendPacer, DEFAULT_GATEWAY_COUNT};
use crate::exchange::Admission;
use crate::exchange_state::SendDenial;
use crate::pool::Pool;
use crate::proxy_types::{BackendConfig, ProxyCounts, ProxyTuning};
use crate::selection::FleetLayout;
use crate::shutdown::Shutdown;
use crate::upstream::{Location, Upstream};
use nickeljunction_net::wheel::Wheel;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::{Rc, Weak};

/// State that all lanes share.
pub(crate) struct ProxyContext {
    pub(crate) pool: Rc<Pool>,
    pub(crate) wheel: Wheel,
    pub(crate) tuning: ProxyTuning,
    pub(crate) here: Location,
    pub(crate) fleet: RefCell<FleetState>,
    pub(crate) counts: Cell<ProxyCounts>,
    /// A send to a cold server has been counted since the decision cores' tables were last updated.
    pub(crate) cold_server_used: Cell<bool>,
    /// The schedule of the shutdown, once it has begun.
    pub(crate) shutdown: Cell<Option<Shutdown>>,
    /// Source of quota units for retries; until it is set they need none.
    pub(crate) admission: RefCell<Option<Weak<dyn Admission>>>,
}

/// What is known about servers, services and gateways.
#[derive(Default)]
pub(crate) struct FleetState {
    pub(crate) upstreams: BTreeMap<String, Upstream>,
    pub(crate) backends: HashMap<String, BackendConfig>,
    /// Number of gateways, once the core's leader has reported it.
    pub(crate) gateways: Option<u32>,
    /// Retry budgets by service.
    pub(crate) budgets: HashMap<Rc<str>, RetryBudget>,
    /// Pacers of the cold servers.
    pub(crate) pacers: HashMap<String, SendPacer>,
    /// Servers that stated that they are another instance, and until when they are excluded, ms.
    pub(crate) misdirected: HashMap<String, f64>,
    /// Servers to which connecting failed recently, and until when their slots don't count, ms.
    pub(crate) unreachable: HashMap<String, f64>,
}

impl FleetState {
    /// How the gateways are spread over zones and regions.
    pub(crate) fn layout(&self) -> FleetLayout {
        FleetLayout::new(self.gateways.unwrap_or(1), self.upstreams.values())
    }
}

impl ProxyContext {
    pub(crate) fn now_ms(&self) -> u64 {
        self.wheel.now() as u64
    }

    /// How long a server may work on a request from now on, ms.
    pub(crate) fn remaining_ms(&self, request: &PendingRequest) -> f64 {
        let deadline = match self.shutdown.get() {
            Some(shutdown) => shutdown.bound_deadline(request.deadline),
            None => request.deadline,
        };
        deadline - self.wheel.now() - self.tuning.deadline_margin_ms
    }

    pub(crate) fn update_counts(&self, change: impl FnOnce(&mut ProxyCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Checks whether a send may start, and takes what it needs: a send of a cold server's pacer, a quota unit, and
    /// for a retry a part of the retry budget. Returns for a retry when it was counted.
    pub(crate) fn start_send(
        &self,
        request: &PendingRequest,
        server: &str,
    ) -> Result<Option<u64>, SendDenial> {
        let now = self.now_ms();
        let begun = request.sends().begun();
        request.sends().check_allowed(request.retry_safety, request.max_attempts)?;
        if !request.has_body() {
            return Err(SendDenial::NoBody);
        }
        let is_too_late =
            |shutdown: Shutdown| !shutdown.admits_send(self.wheel.now(), request.target_latency_ms);
        if self.shutdown.get().is_some_and(is_too_late) {
            return Err(SendDenial::Shutdown);
        }
        let mut fleet = self.fleet.borrow_mut();
        let fleet = &mut *fleet;
        let Some(upstream) = fleet.upstreams.get(server) else { return Err(SendDenial::ServerGone) };
        let is_cold = upstream.cold;
        if is_cold && !fleet.pacers.get(server).is_some_and(|pacer| pacer.is_ready(now)) {
            return Err(SendDenial::ColdServer);
        }
        let slack = slack_share(self.tuning.retry_slack, fleet.gateways.unwrap_or(DEFAULT_GATEWAY_COUNT));
        let budget = fleet
            .budgets
            .entry(request.backend.clone())
            .or_insert_with(|| RetryBudget::new(self.tuning.retry_window_ms, self.tuning.retry_ratio, slack));
        budget.set_slack(slack);
        // A quota unit covers one send, and only for a short time: each server that runs the request counts for its
        // tenant.
        if begun > 0 || self.wheel.now() > request.unit_valid_until {
            let admission = self.admission.borrow().as_ref().and_then(Weak::upgrade);
            let tenant = request.tenant.as_deref();
            let denied =
                admission.zip(tenant).filter(|(admission, tenant)| !admission.take_extra_unit(tenant));
            if let Some((admission, tenant)) = denied {
                drop(admission);
                self.update_counts(|counts| counts.further_attempts_denied += 1);
                log::debug!("event=send_denied tenant={tenant} why=units");
                return Err(SendDenial::Units);
            }
        }
        let mut retry_counted_at = None;
        if begun == 0 {
            // Counted once, however many connections fail first, because each count allows more retries.
            if !request.is_budgeted.replace(true) {
                budget.record_first_send(now);
            }
        } else if budget.try_retry(now) {
            retry_counted_at = Some(now);
        } else {
            self.update_counts(|counts| counts.further_attempts_denied += 1);
            return Err(SendDenial::Budget);
        }
        if is_cold {
            if let Some(pacer) = fleet.pacers.get_mut(server) {
                pacer.try_send(now);
            }
            self.cold_server_used.set(true);
        }
        Ok(retry_counted_at)
    }
}
