//! What all lanes of a gateway share: the servers and services it knows, and what a send needs before it may begin.

use crate::attempt::Load;
use crate::budget::{slack_share, RetryBudget, SendPacer, DEFAULT_GATEWAY_COUNT};
use crate::exchange::Admission;
use crate::exchange_state::SendDenial;
use crate::figures::{Backend, Counts, Tuning};
use crate::pool::Pool;
use crate::selection::FleetLayout;
use crate::shutdown::Shutdown;
use crate::upstream::{Location, Upstream};
use nickeljunction_net::wheel::Wheel;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::{Rc, Weak};

/// What all lanes share.
pub(crate) struct Shared {
    pub(crate) pool: Rc<Pool>,
    pub(crate) wheel: Wheel,
    pub(crate) tuning: Tuning,
    pub(crate) here: Location,
    pub(crate) book: RefCell<Book>,
    pub(crate) counts: Cell<Counts>,
    /// A cold server's permit has been used since the tables were last told.
    pub(crate) cold_used: Cell<bool>,
    /// The schedule of the shutdown, once the order to leave has come.
    pub(crate) shutdown: Cell<Option<Shutdown>>,
    /// Who has units for further sends; nobody counts them before it is set.
    pub(crate) units: RefCell<Option<Weak<dyn Admission>>>,
}

/// What is known of servers and services.
#[derive(Default)]
pub(crate) struct Book {
    pub(crate) upstreams: BTreeMap<String, Upstream>,
    pub(crate) backends: HashMap<String, Backend>,
    pub(crate) gateways: Option<u32>,
    pub(crate) budgets: HashMap<Rc<str>, RetryBudget>,
    pub(crate) permits: HashMap<String, SendPacer>,
    /// Servers that said they are others, and until when they are left out, ms.
    pub(crate) misdirected: HashMap<String, f64>,
    /// Servers to which no connection came about lately, and until when their slots don't count, ms.
    pub(crate) unreached: HashMap<String, f64>,
}

impl Book {
    /// How the gateways are spread over zones and regions.
    pub(crate) fn scope(&self) -> FleetLayout {
        FleetLayout::new(self.gateways.unwrap_or(1), self.upstreams.values())
    }
}

impl Shared {
    pub(crate) fn now_ms(&self) -> u64 {
        self.wheel.now() as u64
    }

    /// How long a server may work on a request from now on, ms.
    pub(crate) fn left_ms(&self, load: &Load) -> f64 {
        let deadline = match self.shutdown.get() {
            Some(shutdown) => shutdown.bound_deadline(load.deadline),
            None => load.deadline,
        };
        deadline - self.wheel.now() - self.tuning.margin_ms
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Takes what a send needs: a cold server's permit, and for a further one a part of the budget. `Some(when)` for a
    /// further one.
    pub(crate) fn permit(&self, load: &Load, server: &str) -> Result<Option<u64>, SendDenial> {
        let now = self.now_ms();
        let sends = load.sends().begun();
        load.sends().check_allowed(load.repeat, load.max_attempts)?;
        if !load.has_body() {
            return Err(SendDenial::NoBody);
        }
        if self.shutdown.get().is_some_and(|shutdown| !shutdown.admits_send(self.wheel.now(), load.aim_ms)) {
            return Err(SendDenial::Shutdown);
        }
        let mut book = self.book.borrow_mut();
        let book = &mut *book;
        let Some(upstream) = book.upstreams.get(server) else { return Err(SendDenial::ServerGone) };
        let cold = upstream.cold;
        if cold && !book.permits.get(server).is_some_and(|permits| permits.is_ready(now)) {
            return Err(SendDenial::ColdServer);
        }
        let slack = slack_share(self.tuning.retry_slack, book.gateways.unwrap_or(DEFAULT_GATEWAY_COUNT));
        let budget = book
            .budgets
            .entry(load.backend.clone())
            .or_insert_with(|| RetryBudget::new(self.tuning.retry_window_ms, self.tuning.retry_ratio, slack));
        budget.set_slack(slack);
        // A unit covers one send, and only for a moment: each server that runs the request counts for its tenant.
        if sends > 0 || self.wheel.now() > load.unit_valid_until {
            let units = self.units.borrow().as_ref().and_then(Weak::upgrade);
            let tenant = load.tenant.as_deref();
            if let Some((units, tenant)) =
                units.zip(tenant).filter(|(units, tenant)| !units.take_extra_unit(tenant))
            {
                drop(units);
                self.count(|counts| counts.denied += 1);
                log::debug!("event=send_denied tenant={tenant} why=units");
                return Err(SendDenial::Units);
            }
        }
        let mut further = None;
        if sends == 0 {
            // Once, however many connections fail first: each would add to what may be sent again.
            if !load.counted.replace(true) {
                budget.record_first_send(now);
            }
        } else if budget.try_retry(now) {
            further = Some(now);
        } else {
            self.count(|counts| counts.denied += 1);
            return Err(SendDenial::Budget);
        }
        if cold {
            book.permits.get_mut(server).into_iter().for_each(|permits| {
                permits.try_send(now);
            });
            self.cold_used.set(true);
        }
        Ok(further)
    }
}
