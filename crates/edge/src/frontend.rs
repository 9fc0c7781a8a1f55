//! The client side of a gateway: accepts connections, reads requests, admits them, forwards them and writes the
//! answers.

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

/// How long sent bytes may stay unacknowledged before the kernel closes the connection.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after accepting a connection failed, ms: mostly file descriptors have run out and become free again.
const LISTENER_PAUSE_MS: f64 = 20.0;
/// Size of the read buffer that all connections share: idle connections have no buffer of their own.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// `Retry-After` before the first configuration has arrived, ms.
const CONFIGURATION_PAUSE_MS: f64 = 200.0;
/// `Retry-After` where no region may serve a request, ms: only a new configuration changes that.
const NO_REGION_PAUSE_MS: f64 = 1_000.0;
/// `Retry-After` during shutdown, ms: the client's next connection goes to another gateway.
const SHUTDOWN_PAUSE_MS: f64 = 50.0;

const KEYS_STALE: &str = "out of touch with the core, keys can not be checked";

/// Counters since the start of the process, for the log and the metrics.
#[derive(Debug, Default)]
pub struct FrontendCounts {
    /// Accepted connections.
    pub connections: Cell<u64>,
    /// Requests whose heads were read.
    pub requests: Cell<u64>,
    /// Servers' answers forwarded completely.
    pub served: Cell<u64>,
    /// Servers' answers that broke off while they were being forwarded.
    pub broken: Cell<u64>,
    /// No route (404).
    pub no_route: Cell<u64>,
    /// Missing or unknown key (401).
    pub no_key: Cell<u64>,
    /// Tenant over its quota, or its trial has lapsed (429).
    pub over_quota: Cell<u64>,
    /// Not executed; the client may retry later (503).
    pub refused: Cell<u64>,
    /// Of the refused ones: too long since the last contact with the core.
    pub stale: Cell<u64>,
    /// Of the refused ones: could not be expected to finish before the process exits.
    pub refused_at_shutdown: Cell<u64>,
    /// Still unanswered at the end of the shutdown (504, also counted in `timed_out`).
    pub cut_by_end: Cell<u64>,
    /// No usable answer from a server (502).
    pub failed: Cell<u64>,
    /// Operation keys whose first request is still being processed (409).
    pub in_progress: Cell<u64>,
    /// Not answered in time (504).
    pub timed_out: Cell<u64>,
    /// Malformed, too large or too slow (other 4xx).
    pub malformed: Cell<u64>,
    /// Connections that the client closed before its answer.
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

    /// Requests by outcome, under the names of the metric's labels, with the status sent to the client; `*`: the
    /// server's.
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

    /// The counters as `key=value` pairs for the log.
    pub fn log_line(&self) -> String {
        let counters = [
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
        counters.map(|(name, cell)| format!("{name}={}", cell.get())).join(" ")
    }
}

/// A request with its route and, where the route requires a key, its tenant.
struct RoutedRequest {
    attempt_id: String,
    route: Rc<Route>,
    tenant: Option<Rc<Tenant>>,
    /// Regions that may serve it; empty: any.
    homes: Rc<[String]>,
    /// When its head had been read, ms of the program's clock.
    arrived: f64,
    /// Remaining time as the client stated it, ms; infinite where it stated none.
    client_deadline_ms: f64,
    /// How long it may take from its arrival on, ms.
    time_limit_ms: f64,
}

/// A request for which a unit of the tenant's quota has been spent.
struct AdmittedRequest {
    head: RequestHead,
    routed: RoutedRequest,
    body: RequestBody,
    /// When the unit expires, ms of the program's clock: the first byte must be sent before.
    unit_until: f64,
}

/// The client side of a gateway.
pub struct Frontend {
    wheel: Wheel,
    table: Rc<SnapshotCell<Table>>,
    admission: Rc<dyn Admission>,
    dispatch: Rc<dyn Dispatch>,
    lifecycle: Rc<Lifecycle>,
    budget: Rc<Budget>,
    /// Claims keyed operations; `None`: keyed routes are served as non-repeatable ones.
    keyed: RefCell<Option<Rc<KeyedOperations>>>,
    counts: FrontendCounts,
    over_quota: QuotaRefusals,
    rng: RefCell<fastrand::Rng>,
    read_buffer: RefCell<Box<[u8]>>,
}

impl Frontend {
    /// A frontend; `seed` is for drawing backends by weight.
    pub fn new(
        wheel: Wheel,
        table: Rc<SnapshotCell<Table>>,
        admission: Rc<dyn Admission>,
        dispatch: Rc<dyn Dispatch>,
        lifecycle: Rc<Lifecycle>,
        budget: Rc<Budget>,
        seed: u64,
    ) -> Rc<Frontend> {
        let rng = RefCell::new(fastrand::Rng::with_seed(seed));
        let read_buffer = RefCell::new(vec![0; READ_BUFFER_BYTES].into_boxed_slice());
        let (counts, over_quota) = (FrontendCounts::default(), QuotaRefusals::default());
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
            over_quota,
            rng,
            read_buffer,
        })
    }

    /// The keyed operations, where they are claimed.
    pub fn keyed_operations(&self) -> Option<Rc<KeyedOperations>> {
        self.keyed.borrow().clone()
    }

    /// Has keyed operations claimed from now on.
    pub fn set_keyed_operations(&self, keyed: Rc<KeyedOperations>) {
        *self.keyed.borrow_mut() = Some(keyed);
    }

    /// The counters since the start.
    pub fn counts(&self) -> &FrontendCounts {
        &self.counts
    }

    /// Tenants recently refused because they were over their quota.
    pub fn over_quota(&self) -> &QuotaRefusals {
        &self.over_quota
    }

    /// Accepts clients' connections until [`Lifecycle::stop_accepting`], and serves each in a task of its own (within a
    /// `LocalSet`). A connection beyond the budget waits in the listener's queue while the longest idle one is closed.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        while self.lifecycle.is_accepting() {
            let accepted = tokio::select! {
                biased;
                () = self.lifecycle.stopped_accepting() => continue,
                // No slot of the budget is left for a connection to a server.
                () = self.budget.squeeze.notified() => {
                    self.lifecycle.evict_longest_idle();
                    continue;
                }
                accepted = self.accept(&listener) => accepted,
            };
            let Ok((stream, slot)) = accepted else {
                self.wheel.sleep(LISTENER_PAUSE_MS).await;
                continue;
            };
            // Setting options fails only on a closed connection, which the next read reports.
            let _ = stream.set_nodelay(true);
            let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
            // Registered here, before its task first runs, so that a shutdown waits for it.
            let connection = self.clone().client_connection(stream);
            tokio::task::spawn_local(async move {
                connection.run().await;
                drop(slot);
            });
        }
    }

    /// Accepts a connection once the budget has a slot for it, and evicts idle connections until then.
    async fn accept(&self, listener: &TcpListener) -> std::io::Result<(TcpStream, Slot)> {
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

    /// Serves one client's connection until it is closed.
    pub async fn serve_connection<S: AsyncRead + AsyncWrite + Unpin>(self: Rc<Self>, io: S) {
        self.client_connection(io).run().await;
    }

    fn client_connection<S: AsyncRead + AsyncWrite + Unpin>(self: Rc<Self>, io: S) -> ClientConnection<S> {
        count(&self.counts.connections);
        ClientConnection::new(self, io)
    }

    /// Whether the request may be executed repeatedly. Only such requests are forwarded while earlier ones are
    /// unanswered.
    fn is_repeatable(&self, head: &RequestHead) -> bool {
        match self.table.get().find(head.host(), head.path()) {
            RouteMatch::Route(route) => route.repeatable,
            // The gateway answers it itself.
            RouteMatch::NotFound | RouteMatch::NotLoaded => true,
        }
    }

    /// Finds route, tenant and home regions for a head read at `arrived`, ms of the program's clock.
    fn route_request(&self, head: &RequestHead, arrived: f64) -> Result<RoutedRequest, LocalReply> {
        let bad_request = |error: &'static str| move |_: HttpError| LocalReply::new(400, error);
        let attempt_id = head.headers.single("x-attempt-id").map_err(bad_request("two X-Attempt-Id"))?;
        let attempt_id = attempt_id.filter(|id| !id.is_empty());
        let attempt_id = attempt_id.ok_or(LocalReply::new(400, "no X-Attempt-Id"))?.to_string();
        let deadline =
            head.headers.single("x-deadline-remaining").map_err(bad_request("two X-Deadline-Remaining"))?;
        let left_ms = match deadline.map(str::parse::<f64>) {
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
            // Without contact to the core, the newest routes may be missing here.
            RouteMatch::NotFound => {
                let stale = self.stale_reply("out of touch with the core, route not known here");
                return Err(stale.unwrap_or(LocalReply::new(404, "no such route")));
            }
        };
        let tenant = match table.requires_key(&route) {
            true => Some(self.authenticate(&table, head)?),
            false => None,
        };
        let homes = table.homes(&route, tenant.as_deref());
        let homes = homes.ok_or(LocalReply::refusal(
            503,
            "route and tenant share no home region",
            NO_REGION_PAUSE_MS,
        ))?;
        let time_limit_ms = left_ms.min(route.timeout_ms);
        if time_limit_ms <= 0.0 {
            return Err(LocalReply::refusal(503, "no time left on arrival", 0.0));
        }
        self.limit_to_shutdown(RoutedRequest {
            attempt_id,
            route,
            tenant,
            homes,
            arrived,
            client_deadline_ms: left_ms,
            time_limit_ms,
        })
    }

    /// During shutdown: limits the request's time to what is left, or refuses the request if it can't be expected to
    /// finish before the process exits.
    fn limit_to_shutdown(&self, routed: RoutedRequest) -> Result<RoutedRequest, LocalReply> {
        let Some(shutdown) = self.lifecycle.shutdown() else { return Ok(routed) };
        let (arrived, deadline) = (routed.arrived, routed.arrived + routed.time_limit_ms);
        if !shutdown.admits_request(self.wheel.now(), arrived, routed.route.aim_ms, deadline) {
            count(&self.counts.refused_at_shutdown);
            return Err(LocalReply::refusal(503, "this gateway is about to end", SHUTDOWN_PAUSE_MS));
        }
        let time_limit_ms = shutdown.bound_patience(routed.arrived, routed.time_limit_ms);
        Ok(RoutedRequest { time_limit_ms, ..routed })
    }

    /// The tenant whose key the request carries.
    fn authenticate(&self, table: &Table, head: &RequestHead) -> Result<Rc<Tenant>, LocalReply> {
        // Checked first: without contact to the core, a key known here may have been revoked, and an unknown one may
        // have been issued.
        if let Some(refusal) = self.stale_reply(KEYS_STALE) {
            return Err(refusal);
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

    /// A refusal where the last contact with the core is too long ago.
    fn stale_reply(&self, error: &'static str) -> Option<LocalReply> {
        let pause = self.admission.stale_retry_after_ms()?;
        count(&self.counts.stale);
        Some(LocalReply::refusal(503, error, pause))
    }

    /// Admits a request, forwards it and waits for its answer. Dropping the future cancels the request.
    async fn handle_request(
        self: Rc<Self>,
        head: RequestHead,
        routed: RoutedRequest,
        body: RequestBody,
    ) -> Reply {
        let operation = match self.operation(&head, &routed, &body) {
            Ok(operation) => operation,
            Err(refusal) => return Reply::Local(refusal),
        };
        if let Err(refusal) = self.delay_lapsed_trial(&routed).await {
            return Reply::Local(refusal);
        }
        // The shutdown may have begun since the head was read.
        let routed = match self.limit_to_shutdown(routed) {
            Ok(routed) => routed,
            Err(refusal) => return Reply::Local(refusal),
        };
        let unit_until = match self.acquire_unit(&routed).await {
            Ok(until) => until,
            Err(refusal) => return Reply::Local(refusal),
        };
        let admitted = AdmittedRequest { head, routed, body, unit_until };
        match operation {
            Some(operation) => self.run_once(operation, admitted).await,
            None => self.send_to_server(admitted).await,
        }
    }

    /// Sends an admitted request to a server and waits for its answer.
    async fn send_to_server(&self, request: AdmittedRequest) -> Reply {
        let AdmittedRequest { head, routed, body, unit_until } = request;
        let RoutedRequest { attempt_id, route, tenant, homes, arrived, time_limit_ms, .. } = routed;
        let sent = self.wheel.now();
        if sent >= arrived + time_limit_ms {
            return Reply::Local(LocalReply::refusal(503, "no time left before a server was asked", 0.0));
        }
        let Some(backend) = route.backend(self.rng.borrow_mut().f64()).cloned() else {
            return Reply::Local(LocalReply::refusal(503, "route without a service", NO_REGION_PAUSE_MS));
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
            timeout_ms: time_limit_ms,
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
            // Also if the proxy dropped the request without an answer: it may have been executed then.
            Ok(Answer::Failed) | Err(_) if self.wheel.now() >= arrived + time_limit_ms => {
                Reply::Local(LocalReply::new(504, "no answer from a server in time"))
            }
            Ok(Answer::Failed) | Err(_) => Reply::Local(LocalReply::new(502, "no good answer from a server")),
        }
    }

    /// Delays a request of a tenant whose trial has lapsed, or refuses it with a `Retry-After` before it reaches a
    /// server.
    async fn delay_lapsed_trial(&self, routed: &RoutedRequest) -> Result<(), LocalReply> {
        let (Some(tenant), Some(ebb)) = (&routed.tenant, self.admission.pacing()) else { return Ok(()) };
        let RoutedRequest { route, client_deadline_ms, time_limit_ms, arrived, .. } = routed;
        let delayed = PacedRequest {
            tenant: &tenant.name,
            route: &route.name,
            gives_way: route.gives_way,
            target_latency_ms: route.aim_ms,
            client_timeout_ms: *client_deadline_ms,
            max_delay_ms: arrived + time_limit_ms - self.wheel.now(),
        };
        ebb.admit(delayed)
            .await
            .map_err(|pause| LocalReply::refusal(429, "the tenant's trial has lapsed, come back", pause))
    }

    /// Spends a unit of the tenant's quota and returns when it expires, ms of the program's clock: the request's first
    /// byte must be sent before.
    async fn acquire_unit(&self, routed: &RoutedRequest) -> Result<f64, LocalReply> {
        let Some(tenant) = &routed.tenant else { return Ok(f64::INFINITY) };
        let mut admitted = self.admission.admit(&tenant.name).await;
        // The unit expired before this task ran: requests another one.
        if matches!(admitted, AdmissionDecision::Admitted(until) if until < self.wheel.now()) {
            admitted = self.admission.admit(&tenant.name).await;
        }
        match admitted {
            AdmissionDecision::Admitted(until) if until < self.wheel.now() => {
                Err(LocalReply::refusal(503, "unit of quota came too late", 0.0))
            }
            // The lease on the configuration may have expired during the wait.
            AdmissionDecision::Admitted(until) => self.stale_reply(KEYS_STALE).map_or(Ok(until), Err),
            AdmissionDecision::OverQuota(pause) => {
                self.over_quota.record(&tenant.name);
                Err(LocalReply::refusal(429, "beyond the quota", pause))
            }
            AdmissionDecision::QuotaUnknown(pause) => {
                Err(LocalReply::refusal(503, "quota not known, core out of reach", pause))
            }
        }
    }
}
