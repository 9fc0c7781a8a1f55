//! The interface of the decision module: settings, events and actions as plain types, without logic.
//!
//! Each gateway runs one limiter. Times are in ms on a monotonic clock of the embedding program; amounts are in quota
//! units. Requests earn points: their worth, less fees.

use std::collections::BTreeMap;

/// Id of a request: opaque and never reused.
pub type RequestId = String;
/// Id of a server: opaque, and the same after a restart of its process.
pub type ServerId = String;

/// Whether a request may be sent again after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key: for a while, servers within the deduplication scope drop repeats.
    Keyed,
    /// It must not run twice.
    AtMostOnce,
}

/// Which servers know the idempotency key of a request and drop its repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// Servers in the zone of the first one.
    Zone,
    /// Servers in the cell of the first one.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Its name in requests.
    pub name: String,
    /// An answer within this time earns the full worth, ms.
    pub target_latency_ms: f64,
    /// Time after which the client gives up, over all its tries, ms.
    pub client_timeout_ms: f64,
    /// Whether a request may be sent again.
    pub retry_safety: RetrySafety,
    /// Which servers drop repeats of a keyed request.
    pub dedup_scope: DedupScope,
    /// How long they drop repeats, from the first send that may have run, ms.
    pub key_ttl_ms: f64,
    /// Fraction of the worth that a later answer earns.
    pub late_share: f64,
    /// Responses are streamed.
    pub stream: bool,
    /// Worth of one request.
    pub worth: f64,
}

/// A plan: the quota of each of its customers at all gateways together.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Its name in requests.
    pub name: String,
    /// Refill of the token bucket, units/s; 0: no quota.
    pub rate: f64,
    /// Capacity of the bucket, units.
    pub burst: f64,
    /// Most concurrent attempts; 0: any number.
    pub max_concurrent: f64,
    /// Factor on the worth of a request.
    pub worth_factor: f64,
    /// Fraction of its worth that a request beyond the quota earns.
    pub excess_worth: f64,
    /// Fraction of its worth that a request beyond the quota costs.
    pub excess_cost: f64,
    /// Refill of the hard ceiling's bucket, units/s; 0: no ceiling.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's bucket, units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's bucket may go below 0.
    pub ceiling_slack: f64,
}

impl Default for Plan {
    /// A plan without name and quota, whose requests have the worth of their class.
    fn default() -> Plan {
        Plan {
            name: String::new(),
            rate: 0.0,
            burst: 0.0,
            max_concurrent: 0.0,
            worth_factor: 1.0,
            excess_worth: 0.0,
            excess_cost: 1.0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            ceiling_slack: 0.0,
        }
    }
}

/// Settings of a limiter.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Index of this gateway, from 0.
    pub gateway_index: usize,
    /// Number of gateways.
    pub gateway_count: usize,
    /// Zone of this gateway.
    pub zone: String,
    /// Shortest time between two batches of events, ms.
    pub step_ms: f64,
    /// Fewest servers to choose among, if that many are up; 0: the module's own minimum.
    pub min_subset: f64,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// The counter service is available.
    pub counter_enabled: bool,
    /// Timeout of a counter call, ms.
    pub counter_timeout_ms: f64,
    /// The units of a request are an estimate; the answer states the true ones.
    pub settles_units: bool,
    /// Most units of one request.
    pub max_request_units: f64,
    /// The server list requires a subscription.
    pub subscribe: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Longest retry-after time that clients honour, ms.
    pub max_retry_after_ms: f64,
    /// Clients receive the retry-after time.
    pub retry_after: bool,
    /// Clients mark their retries.
    pub marks_retry: bool,
    /// Servers may be probed.
    pub probing: bool,
    /// Two attempts of one request may be in flight at the same time.
    pub hedging: bool,
    /// Points that a probe costs.
    pub probe_fee: f64,
    /// Points that each attempt in another zone costs.
    pub cross_zone_fee: f64,
    /// Least fraction of its capacity that a server starts with.
    pub cold_start_share: f64,
    /// Longest warm-up of a server, ms.
    pub warmup_ms: f64,
    /// Time within which attempts at a draining server must end, ms.
    pub drain_grace_ms: f64,
    /// A cold server fails if it receives this multiple of its current capacity ...
    pub overload_multiple: f64,
    /// ... for this long, ms.
    pub overload_ms: f64,
    /// How long after the client's deadline a final answer is still allowed, ms.
    pub answer_grace_ms: f64,
}

/// State of a server in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Up,
    /// Finishes its work and accepts no new requests.
    Draining,
    /// No longer in the list.
    Removed,
}

/// One entry of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// Its id.
    pub server: ServerId,
    /// Its state.
    pub state: ServerState,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Capacity relative to other servers.
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started_at_ms: f64,
    /// Nearer servers are chosen first; 0 is the nearest. Always 0 on the simulator's wire.
    pub distance: u8,
    /// Order among servers at the same distance: lower ranks are chosen first, equal ones in an order that depends on
    /// the gateway's index. Always 0 on the simulator's wire.
    pub rank: f64,
}

/// Kind of a server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Incremental,
    /// The complete list.
    Full,
    /// The complete list from a cache, possibly stale.
    Cached,
    /// The list could not be fetched, or the subscription broke.
    Failed,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Success.
    Ok,
    /// The server returned an error. The request may have run.
    Failed,
    /// Rejected because a queue was full. It has not run.
    QueueFull,
    /// No answer within the timeout. It may have run.
    TimedOut,
    /// No connection. It has not run.
    ConnectError,
    /// The connection broke. It may have run.
    Reset,
    /// The response can't be read. It has run, and nothing follows for the server.
    Unreadable,
    /// Cancelled. It may have run.
    Canceled,
    /// It was not sent.
    NotSent,
}

/// A request that has arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class, by name.
    pub class: String,
    /// Its plan, by name.
    pub plan: String,
    /// Its customer.
    pub customer: u64,
    /// Time until the client gives up this try, ms.
    pub timeout_ms: f64,
    /// Units that it uses of the quota.
    pub units: f64,
    /// Number of gateways that receive the customer's requests.
    pub gateways: usize,
    /// It is marked as a client's retry.
    pub retry: bool,
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0 in order of sending.
    pub attempt: usize,
    /// The server it went to.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// True units, if they are settled afterwards; 0: not stated.
    pub settled_units: f64,
    /// Time since it was sent, ms.
    pub latency_ms: f64,
    /// The request has its final answer.
    pub request_closed: bool,
    /// The server's load report: value by name.
    pub load: BTreeMap<String, f64>,
}

/// Input of a limiter.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list, or a change of it.
    Servers(ListKind, Vec<ServerEntry>),
    /// A request arrived.
    Request(Arrival),
    /// A streamed response has started: request, number of the attempt.
    StreamStarted(RequestId, usize),
    /// An attempt ended.
    Outcome(Outcome),
    /// The client has left, or its final answer is overdue.
    Abandoned(RequestId),
    /// A timer is due: token.
    Timer(String),
    /// A probe ended: server, status, latency in ms.
    Probed(ServerId, Status, f64),
    /// A counter call ended: name of the count, status, total after the call.
    CountReply(String, Status, f64),
    /// A counter call that had timed out was answered late: name, total after the call (`None`: it never will be).
    LateCount(String, Option<f64>),
    /// A message of another gateway: sender, content. This module neither sends nor reads any.
    Peer(usize, Vec<u8>),
}

/// Output of a limiter.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt to a server, with a timeout in ms (0: until the client gives up).
    Send(RequestId, ServerId, f64),
    /// Final answer: refused, a retry does no harm. With a retry-after time in ms (0: none).
    Refuse(RequestId, f64),
    /// Final answer: failed, the request may have run.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel(RequestId, usize),
    /// Probe a server.
    Probe(ServerId),
    /// Subscribe to the server list.
    SubscribeServers,
    /// Fetch the complete server list once.
    FetchServers,
    /// Add to a count: name, amount, lifetime of a new count in ms.
    IncrementCounter(String, f64, f64),
    /// Set a timer: token, delay in ms.
    Timer(String, f64),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Write a line to the operators' log.
    Log(String),
}

/// Settings that a limiter can't work with, and the reason.
#[derive(Debug, Clone, PartialEq)]
pub struct InvalidSettings(pub &'static str);

impl std::fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "impossible setting: {}", self.0)
    }
}

impl std::error::Error for InvalidSettings {}
