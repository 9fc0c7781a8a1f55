//! The clients' side of a gateway: takes connections, reads requests, admits them, hands them on and answers them.

mod connection;
mod keyed;
mod lifecycle;

use crate::exchange::{Admission, AdmissionDecision, Dispatch, Exchange, RequestBody};
use crate::quota_refusals::QuotaRefusals;
use crate::reply::{LocalReply, Reply};
use crate::table::{self, Route, RouteMatch, SnapshotCell, Table, Tenant};
use crate::tenant_pacing::PacedRequest;
use nickeljunction_core::facade::RetrySafety;
use nickeljunction_core::life::Answer;
use nickeljunction_http::stream::RequestHead;
use nickeljunction_http::HttpError;
use nickeljunction_net::budget::{Budget, Slot};
use nickeljunction_net::wheel::Wheel;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use connection::ClientConnection;
pub use keyed::KeyedOperations;
pub use lifecycle::Lifecycle;

/// How long bytes sent to a client may stay without an acknowledgement before the kernel gives the connection up.
const UNHEARD: Duration = Duration::from_secs(10);
/// Pause after the listener failed, ms: mostly for want of descriptors, which come back.
const LISTENER_PAUSE_MS: f64 = 20.0;
/// Read buffer that all connections share, bytes: an idle one holds none of its own.
const SCRATCH: usize = 16 * 1024;
/// Pause told where no configuration has come yet, ms.
const CONFIGURATION_PAUSE_MS: f64 = 200.0;
/// Pause told where no region may serve a request, ms: only a new configuration changes that.
const HOMELESS_PAUSE_MS: f64 = 1_000.0;

/// Pause told by a gateway that ends: the client's next connection goes to another one.
const ELSEWHERE_PAUSE_MS: f64 = 50.0;

const KEYS_STALE: &str = "out of touch with the core, keys can not be checked";

/// What a front has done since its start, for logs.
#[derive(Debug, Default)]
pub struct FrontendCounts {
    /// Connections taken.
    pub connections: Cell<u64>,
    /// Requests whose heads were read.
    pub requests: Cell<u64>,
    /// Servers' answers passed on whole.
    pub served: Cell<u64>,
    /// Servers' answers that broke off under way.
    pub broken: Cell<u64>,
    /// No route (404).
    pub no_route: Cell<u64>,
    /// No key, or an unknown one (401).
    pub no_key: Cell<u64>,
    /// Beyond a quota (429).
    pub over_quota: Cell<u64>,
    /// Not run, come back later (503).
    pub refused: Cell<u64>,
    /// Of these, those that the core was out of touch for.
    pub stale: Cell<u64>,
    /// Of these, those that came too late before the gateway's end.
    pub refused_at_shutdown: Cell<u64>,
    /// Told at the gateway's end that no answer had come (504, counted as late, too).
    pub cut_by_end: Cell<u64>,
    /// Failed at a server (502).
    pub failed: Cell<u64>,
    /// Keys whose first request is still at work (409).
    pub in_progress: Cell<u64>,
    /// Not answered in time (504).
    pub timed_out: Cell<u64>,
    /// Malformed, too large or too slow (other 4xx).
    pub malformed: Cell<u64>,
    /// Clients that went before their answer.
    pub client_gone: Cell<u64>,
}

fn count(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

impl FrontendCounts {
    fn count_local_reply(&self, status: u16) {
        count(match status {
            401 => &self.no_key,
            404 => &self.no_route,
            409 => &self.in_progress,
            429 => &self.over_quota,
            502 => &self.failed,
            503 => &self.refused,
            504 => &self.timed_out,
            _ => &self.malformed,
        });
    }

    /// Requests by what became of them, with the status that their clients got; `*`: a server's.
    pub(crate) fn outcomes(&self) -> [(&'static str, &'static str, u64); 12] {
        let stale = self.stale.get();
        [
            ("served", "*", self.served.get()),
            ("broken", "*", self.broken.get()),
            ("no_route", "404", self.no_route.get()),
            ("no_key", "401", self.no_key.get()),
            ("over_quota", "429", self.over_quota.get()),
            ("stale", "503", stale),
            ("refused", "503", self.refused.get().saturating_sub(stale)),
            ("failed", "502", self.failed.get()),
            ("at_work", "409", self.in_progress.get()),
            ("late", "504", self.timed_out.get()),
            ("improper", "4xx", self.malformed.get()),
            ("gone", "", self.client_gone.get()),
        ]
    }

    /// The counts as pairs for the log.
    pub fn log_line(&self) -> String {
        let figures = [
            ("connections", &self.connections),
            ("requests", &self.requests),
            ("served", &self.served),
            ("broken", &self.broken),
            ("no_route", &self.no_route),
            ("no_key", &self.no_key),
            ("over_quota", &self.over_quota),
            ("refused", &self.refused),
            ("too_late", &self.refused_at_shutdown),
            ("cut_by_end", &self.cut_by_end),
            ("failed", &self.failed),
            ("at_work", &self.in_progress),
            ("late", &self.timed_out),
            ("improper", &self.malformed),
            ("gone", &self.client_gone),
        ];
        figures.map(|(name, cell)| format!("{name}={}", cell.get())).join(" ")
    }
}

/// A request that may go as far as admission.
struct Ask {
    attempt_id: String,
    route: Rc<Route>,
    tenant: Option<Rc<Tenant>>,
    homes: Rc<[String]>,
    arrived: f64,
    /// As the client said it; infinite where it said nothing.
    deadline_ms: f64,
    patience_ms: f64,
}

/// A request that has its unit.
struct AdmittedRequest {
    head: RequestHead,
    ask: Ask,
    body: RequestBody,
    /// Until when its first byte may be sent, ms of the program's clock.
    unit_until: f64,
}

/// The clients' side.
pub struct Frontend {
    wheel: Wheel,
    table: Rc<SnapshotCell<Table>>,
    admission: Rc<dyn Admission>,
    dispatch: Rc<dyn Dispatch>,
    lifecycle: Rc<Lifecycle>,
    budget: Rc<Budget>,
    /// Claims keyed operations; without it keyed routes are served as non-repeatable ones.
    keyed: RefCell<Option<Rc<KeyedOperations>>>,
    counts: FrontendCounts,
    beyond: QuotaRefusals,
    lots: RefCell<fastrand::Rng>,
    scratch: RefCell<Box<[u8]>>,
}

impl Frontend {
    /// A front; `seed` draws services by weight.
    pub fn new(
        wheel: Wheel,
        table: Rc<SnapshotCell<Table>>,
        admission: Rc<dyn Admission>,
        dispatch: Rc<dyn Dispatch>,
        lifecycle: Rc<Lifecycle>,
        budget: Rc<Budget>,
        seed: u64,
    ) -> Rc<Frontend> {
        let lots = RefCell::new(fastrand::Rng::with_seed(seed));
        let scratch = RefCell::new(vec![0; SCRATCH].into_boxed_slice());
        let (counts, beyond) = (FrontendCounts::default(), QuotaRefusals::default());
        let keyed = RefCell::default();
        Rc::new(Frontend {
            wheel,
            table,
            admission,
            dispatch,
            lifecycle,
            budget,
            keyed,
            counts,
            beyond,
            lots,
            scratch,
        })
    }

    /// What claims keyed operations, where there is such.
    pub fn keyed_operations(&self) -> Option<Rc<KeyedOperations>> {
        self.keyed.borrow().clone()
    }

    /// Keyed operations are claimed by this from now on.
    pub fn set_keyed_operations(&self, keyed: Rc<KeyedOperations>) {
        *self.keyed.borrow_mut() = Some(keyed);
    }

    /// What has been done so far.
    pub fn counts(&self) -> &FrontendCounts {
        &self.counts
    }

    /// Tenants refused for their quota lately.
    pub fn over_quota(&self) -> &QuotaRefusals {
        &self.beyond
    }

    /// Takes clients' connections until [`Lifecycle::stop_accepting`], each in a task of its own (within a `LocalSet`).
    /// A connection without a place in the budget waits in the listener's queue while the longest idle one is closed.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        while self.lifecycle.is_accepting() {
            let taken = tokio::select! {
                biased;
                () = self.lifecycle.stopped_accepting() => continue,
                // A server's connection finds no place.
                () = self.budget.squeeze.notified() => {
                    self.lifecycle.evict_longest_idle();
                    continue;
                }
                taken = self.take(&listener) => taken,
            };
            let Ok((stream, slot)) = taken else {
                self.wheel.sleep(LISTENER_PAUSE_MS).await;
                continue;
            };
            // What can't be tuned has ended already, which reading it will tell.
            let _ = stream.set_nodelay(true);
            let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNHEARD));
            // Known from here on, not only from its task's first turn: a shutdown waits for it.
            let connection = self.clone().client_connection(stream);
            tokio::task::spawn_local(async move {
                connection.run().await;
                drop(slot);
            });
        }
    }

    async fn take(&self, listener: &TcpListener) -> std::io::Result<(TcpStream, Slot)> {
        let slot = loop {
            match self.budget.terminal() {
                Some(slot) => break slot,
                None => {
                    self.lifecycle.evict_longest_idle();
                    let _ = self.wheel.timeout(LISTENER_PAUSE_MS, self.lifecycle.connection_closed()).await;
                }
            }
        };
        let (stream, _) = listener.accept().await?;
        Ok((stream, slot))
    }

    /// Serves one client's connection to its end.
    pub async fn serve_connection<S: AsyncRead + AsyncWrite + Unpin>(self: Rc<Self>, io: S) {
        self.client_connection(io).run().await;
    }

    fn client_connection<S: AsyncRead + AsyncWrite + Unpin>(self: Rc<Self>, io: S) -> ClientConnection<S> {
        count(&self.counts.connections);
        ClientConnection::new(self, io)
    }

    /// A request of repeatable kind, as far as known: it may be handed on while others before it are unanswered.
    fn repeats(&self, head: &RequestHead) -> bool {
        match self.table.get().find(head.host(), head.path()) {
            RouteMatch::Route(route) => route.repeatable,
            // Its answer is the gateway's own.
            RouteMatch::NotFound | RouteMatch::NotLoaded => true,
        }
    }

    /// Finds route, tenant and homes for a head read at `arrived`, ms of the program's clock.
    fn sort(&self, head: &RequestHead, arrived: f64) -> Result<Ask, LocalReply> {
        let bad = |error: &'static str| move |_: HttpError| LocalReply::new(400, error);
        let attempt_id = head.headers.single("x-attempt-id").map_err(bad("two X-Attempt-Id"))?;
        let attempt_id = attempt_id.filter(|id| !id.is_empty());
        let attempt_id = attempt_id.ok_or(LocalReply::new(400, "no X-Attempt-Id"))?.to_string();
        let left = head.headers.single("x-deadline-remaining").map_err(bad("two X-Deadline-Remaining"))?;
        let left = match left.map(str::parse::<f64>) {
            None => f64::INFINITY,
            Some(Ok(ms)) if ms.is_finite() => ms,
            Some(_) => return Err(LocalReply::new(400, "X-Deadline-Remaining is no number")),
        };
        let table = self.table.get();
        let route = match table.find(head.host(), head.path()) {
            RouteMatch::Route(route) => route,
            RouteMatch::NotLoaded => {
                return Err(LocalReply::refusal(503, "configuration not here yet", CONFIGURATION_PAUSE_MS))
            }
            // A machine out of touch may lack the newest routes.
            RouteMatch::NotFound => {
                let stale = self.stale("out of touch with the core, route not known here");
                return Err(stale.unwrap_or(LocalReply::new(404, "no such route")));
            }
        };
        let tenant = match table.requires_key(&route) {
            true => Some(self.holder(&table, head)?),
            false => None,
        };
        let homes = table.homes(&route, tenant.as_deref());
        let homes = homes.ok_or(LocalReply::refusal(
            503,
            "route and tenant share no home region",
            HOMELESS_PAUSE_MS,
        ))?;
        let patience_ms = left.min(route.timeout_ms);
        if patience_ms <= 0.0 {
            return Err(LocalReply::refusal(503, "no time left on arrival", 0.0));
        }
        self.in_time(Ask { attempt_id, route, tenant, homes, arrived, deadline_ms: left, patience_ms })
    }

    /// Once the order to leave has come: the request with no more time than is left, or its refusal where it could not be
    /// expected to end before the process does.
    fn in_time(&self, ask: Ask) -> Result<Ask, LocalReply> {
        let Some(shutdown) = self.lifecycle.shutdown() else { return Ok(ask) };
        let (arrived, deadline) = (ask.arrived, ask.arrived + ask.patience_ms);
        if !shutdown.admits_request(self.wheel.now(), arrived, ask.route.aim_ms, deadline) {
            count(&self.counts.refused_at_shutdown);
            return Err(LocalReply::refusal(503, "this gateway is about to end", ELSEWHERE_PAUSE_MS));
        }
        let patience_ms = shutdown.bound_patience(ask.arrived, ask.patience_ms);
        Ok(Ask { patience_ms, ..ask })
    }

    /// The holder of the key that a request carries.
    fn holder(&self, table: &Table, head: &RequestHead) -> Result<Rc<Tenant>, LocalReply> {
        // First of all: while the core is out of reach, a key that is here may have been taken away, and one that is not
        // may have been given out.
        if let Some(own) = self.stale(KEYS_STALE) {
            return Err(own);
        }
        let line = head
            .headers
            .single("authorization")
            .map_err(|_| LocalReply::new(401, "two Authorization lines"))?;
        let key = line.and_then(|line| line.split_once(' '));
        let key = key.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer")).map(|(_, key)| key.trim());
        let key = key.ok_or(LocalReply::new(401, "no key"))?;
        table.tenant_by_key(key).cloned().ok_or(LocalReply::new(401, "unknown key"))
    }

    fn stale(&self, error: &'static str) -> Option<LocalReply> {
        let pause = self.admission.stale_retry_after_ms()?;
        count(&self.counts.stale);
        Some(LocalReply::refusal(503, error, pause))
    }

    /// Admits a request, hands it on and waits for its answer. Dropping this gives it up.
    async fn pass_on(self: Rc<Self>, head: RequestHead, ask: Ask, body: RequestBody) -> Reply {
        let operation = match self.operation(&head, &ask, &body) {
            Ok(operation) => operation,
            Err(own) => return Reply::Local(own),
        };
        if let Err(own) = self.slow(&ask).await {
            return Reply::Local(own);
        }
        // The order to leave may have come since its head was read.
        let ask = match self.in_time(ask) {
            Ok(ask) => ask,
            Err(own) => return Reply::Local(own),
        };
        let unit_until = match self.admit(&ask).await {
            Ok(until) => until,
            Err(own) => return Reply::Local(own),
        };
        let admitted = AdmittedRequest { head, ask, body, unit_until };
        match operation {
            Some(operation) => self.run_once(operation, admitted).await,
            None => self.send(admitted).await,
        }
    }

    /// Hands an admitted request on and waits for its answer.
    async fn send(&self, request: AdmittedRequest) -> Reply {
        let AdmittedRequest { head, ask, body, unit_until } = request;
        let Ask { attempt_id, route, tenant, homes, arrived, patience_ms, .. } = ask;
        let sent = self.wheel.now();
        if sent >= arrived + patience_ms {
            return Reply::Local(LocalReply::refusal(503, "no time left before a server was asked", 0.0));
        }
        let Some(backend) = route.backend(self.lots.borrow_mut().f64()).cloned() else {
            return Reply::Local(LocalReply::refusal(503, "route without a service", HOMELESS_PAUSE_MS));
        };
        let (reply, answer) = oneshot::channel();
        self.dispatch.dispatch(Exchange {
            method: head.method,
            target: head.target,
            headers: head.headers,
            body,
            attempt_id,
            backend,
            home_regions: homes,
            retry_safety: if route.repeatable { RetrySafety::Idempotent } else { RetrySafety::AtMostOnce },
            target_latency_ms: route.aim_ms,
            max_attempts: route.max_attempts,
            priority: table::priority(&route, tenant.as_deref()),
            tenant: tenant.map(|tenant| tenant.name.to_string()),
            arrived,
            timeout_ms: patience_ms,
            unit_valid_until: unit_until,
            reply,
        });
        let answer = answer.await;
        if let (Ok(Answer::Served(_)), Some(ebb)) = (&answer, self.admission.pacing()) {
            ebb.record_service_time(&route.name, self.wheel.now() - sent);
        }
        match answer {
            Ok(Answer::Served(served)) => Reply::Served(served),
            Ok(Answer::ShortOnCapacityReply(pause)) => {
                Reply::Local(LocalReply::refusal(503, "no server free", pause))
            }
            // Also where the servers' side has let go of it: then it may have run.
            Ok(Answer::Failed) | Err(_) if self.wheel.now() >= arrived + patience_ms => {
                Reply::Local(LocalReply::new(504, "no answer from a server in time"))
            }
            Ok(Answer::Failed) | Err(_) => Reply::Local(LocalReply::new(502, "no good answer from a server")),
        }
    }

    /// Holds a request of a tenant whose trial has lapsed, or tells it when to come back: no server was asked then.
    async fn slow(&self, ask: &Ask) -> Result<(), LocalReply> {
        let (Some(tenant), Some(ebb)) = (&ask.tenant, self.admission.pacing()) else { return Ok(()) };
        let Ask { route, deadline_ms, patience_ms, arrived, .. } = ask;
        let slow = PacedRequest {
            tenant: &tenant.name,
            route: &route.name,
            gives_way: route.gives_way,
            target_latency_ms: route.aim_ms,
            client_timeout_ms: *deadline_ms,
            max_delay_ms: arrived + patience_ms - self.wheel.now(),
        };
        ebb.admit(slow)
            .await
            .map_err(|pause| LocalReply::refusal(429, "the tenant's trial has lapsed, come back", pause))
    }

    /// Until when the request's first byte may be sent, ms of the program's clock.
    async fn admit(&self, ask: &Ask) -> Result<f64, LocalReply> {
        let Some(tenant) = &ask.tenant else { return Ok(f64::INFINITY) };
        let mut admitted = self.admission.admit(&tenant.name).await;
        // A unit that this task came too late to use: one more is asked for.
        if matches!(admitted, AdmissionDecision::Admitted(until) if until < self.wheel.now()) {
            admitted = self.admission.admit(&tenant.name).await;
        }
        match admitted {
            AdmissionDecision::Admitted(until) if until < self.wheel.now() => {
                Err(LocalReply::refusal(503, "unit of quota came too late", 0.0))
            }
            // The wait may have been long enough for the lease of knowledge to end.
            AdmissionDecision::Admitted(until) => self.stale(KEYS_STALE).map_or(Ok(until), Err),
            AdmissionDecision::OverQuota(pause) => {
                self.beyond.record(&tenant.name);
                Err(LocalReply::refusal(429, "beyond the quota", pause))
            }
            AdmissionDecision::QuotaUnknown(pause) => {
                Err(LocalReply::refusal(503, "quota not known, core out of reach", pause))
            }
        }
    }
}
