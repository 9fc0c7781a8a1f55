//! The interface of the decision module: plain types, settings, events and actions. No logic lives here.
//!
//! Times are milliseconds on one monotonic clock that the embedding program owns; amounts are quota units.

use std::collections::BTreeMap;

/// A request's id, opaque and never reused.
pub type RequestId = String;
/// A server's id, opaque; it stays the same when its process restarts.
pub type ServerId = String;

/// How often a request of a class may take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// Safe to run any number of times.
    Idempotent,
    /// Carries a key: servers of one group drop repeats for a while.
    Keyed,
    /// Must never run twice.
    AtMostOnce,
}

/// Which servers drop a repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Name as requests carry it.
    pub name: String,
    /// Full worth is earned within this time, ms.
    pub target_latency_ms: f64,
    /// The client's whole wait over all its tries, ms.
    pub client_timeout_ms: f64,
    /// Whether a request may run again.
    pub retry_safety: RetrySafety,
    /// Who drops repeats of a keyed request.
    pub dedup_scope: DedupScope,
    /// How long repeats are dropped, from the first send that may have run, ms.
    pub key_ttl_ms: f64,
    /// Share of the worth earned after the aim.
    pub late_share: f64,
    /// Answers are streamed.
    pub stream: bool,
    /// Worth of one request.
    pub worth: f64,
}

/// A plan: the quota of each of its customers over all limiters together.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Name as requests carry it.
    pub name: String,
    /// Units a second that refill the store; 0: no such quota.
    pub rate: f64,
    /// Units that the store holds at most.
    pub burst: f64,
    /// Attempts out at once; 0: no such quota.
    pub max_concurrent: f64,
    /// Worth factor of the plan.
    pub worth_factor: f64,
    /// Share of its worth that a request beyond the quota earns.
    pub excess_worth: f64,
    /// Share of its worth that a request beyond the quota costs.
    pub excess_cost: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// Units that the ceiling's store holds at most.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's store may go below nothing.
    pub ceiling_slack: f64,
}

impl Default for Plan {
    /// A plan without a name and without a quota, whose requests are worth what their class says.
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

/// Everything told once, at start.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// This limiter's number among its siblings, from 0.
    pub gateway_index: usize,
    /// How many limiters there are.
    pub gateway_count: usize,
    /// This limiter's zone.
    pub zone: String,
    /// Shortest time between two rounds of events, ms.
    pub step_ms: f64,
    /// Fewest servers to choose among where so many run; 0: the module's own bound.
    pub min_subset: f64,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// The counter service may be called.
    pub counter_enabled: bool,
    /// A counter call without an answer by then counts as timed out, ms.
    pub counter_timeout_ms: f64,
    /// Requests name a guess of their units; the answer tells the true ones.
    pub settles_units: bool,
    /// Most units of one request.
    pub max_request_units: f64,
    /// The server list must be subscribed to.
    pub subscribe: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Longest advice to stay away that clients honour, ms.
    pub max_retry_after_ms: f64,
    /// Advice to stay away reaches clients.
    pub retry_after: bool,
    /// Clients mark their retries.
    pub marks_retry: bool,
    /// Servers may be probed.
    pub probing: bool,
    /// Two attempts of one request may be out at the same time.
    pub hedging: bool,
    /// Points for one probe a request.
    pub probe_fee: f64,
    /// Points for every attempt crossing zones.
    pub cross_zone_fee: f64,
    /// A server starts with no less than this share of its capacity.
    pub cold_start_share: f64,
    /// A server is warm no later than this after its start, ms.
    pub warmup_ms: f64,
    /// Sends to a drained server must end within this time, ms.
    pub drain_grace_ms: f64,
    /// A cold server falls when sent this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long, ms.
    pub overload_ms: f64,
    /// A final answer may come this long after the client's deadline, ms.
    pub answer_grace_ms: f64,
}

/// State of a server as the list tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Runs.
    Up,
    /// Completes its work; takes nothing new.
    Draining,
    /// No longer in the list.
    Removed,
}

/// One entry of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// Its state.
    pub state: ServerState,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Stated size for comparison with other servers.
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started_at_ms: f64,
    /// How near it is, 0 for the nearest: nearer ones are chosen first. The simulator's wire knows of none.
    pub distance: u8,
    /// Its place among equally near ones in this limiter's own order: lower ones are chosen first, and equal ones by
    /// the limiter's number. The simulator's wire knows of none.
    pub rank: f64,
}

/// What a list of servers is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Incremental,
    /// The complete list.
    Full,
    /// The complete list as last held, possibly stale.
    Cached,
    /// A call to the list failed or the subscription broke.
    Failed,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The server returned an error; it may have run.
    Failed,
    /// Turned away unseen.
    QueueFull,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectError,
    /// The connection broke; it may have run.
    Reset,
    /// The answer can't be read: it has run, and that tells nothing of the server.
    Unreadable,
    /// Cancelled; it may have run.
    Canceled,
    /// Never sent.
    NotSent,
}

/// A request as it arrives.
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
    /// Time until the client gives this try up, ms.
    pub timeout_ms: f64,
    /// Units drawn from the quota.
    pub units: f64,
    /// How many limiters the customer's requests come in through.
    pub gateways: usize,
    /// A client's repeat, where clients mark it.
    pub retry: bool,
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, from 0 in order of sending.
    pub attempt: usize,
    /// The server it went to.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// True units, where they are settled afterwards; 0: none told.
    pub settled_units: f64,
    /// Time since it was sent, ms.
    pub latency_ms: f64,
    /// The request has had its final answer.
    pub request_closed: bool,
    /// The server's load report, by name of its figure.
    pub load: BTreeMap<String, f64>,
}

/// What a limiter is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The list of servers, or a change of it.
    Servers(ListKind, Vec<ServerEntry>),
    /// A request arrived.
    Request(Arrival),
    /// A streamed answer has started.
    StreamStarted(RequestId, usize),
    /// An attempt ended.
    Outcome(Outcome),
    /// The client left, or its final answer is overdue.
    Abandoned(RequestId),
    /// A timer set by this limiter is due.
    Timer(String),
    /// A probe ended: server, status, latency in ms.
    Probed(ServerId, Status, f64),
    /// A counter call ended: name, status, total after the call.
    CountReply(String, Status, f64),
    /// A counter call that had timed out was answered after all: name, and the total after it (`None`: never).
    LateCount(String, Option<f64>),
    /// A message of another limiter; this module sends none and reads none.
    Peer(usize, Vec<u8>),
}

/// What a limiter asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt at a server with a time-out in ms (0: until the client gives up).
    Send(RequestId, ServerId, f64),
    /// Final answer: refused, retry does no harm; advice to stay away in ms (0: none).
    Refuse(RequestId, f64),
    /// Final answer: failed, no assurance.
    Fail(RequestId),
    /// Stop waiting for one attempt.
    Cancel(RequestId, usize),
    /// Test a server.
    Probe(ServerId),
    /// Subscribe to the server list.
    SubscribeServers,
    /// Ask for the whole server list once.
    FetchServers,
    /// Add an amount to a named count: name, amount, life of a new name in ms.
    IncrementCounter(String, f64, f64),
    /// Ask for a timer: token, delay in ms.
    Timer(String, f64),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// A line for the operators.
    Log(String),
}

/// Settings that no limiter can work with, by the key at fault.
#[derive(Debug, Clone, PartialEq)]
pub struct InvalidSettings(pub &'static str);

impl std::fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "impossible setting: {}", self.0)
    }
}

impl std::error::Error for InvalidSettings {}
