//! What operators, readers, clients and stand-ins noted, and which faults there were. Times are ms of one steady clock, from
//! the start of the traffic.

/// Number of an order: one change, with all its copies.
pub type OrderId = u32;

/// A change that an operator made up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Its number, which its result shows as the tenant's name and as a route.
    pub id: OrderId,
    /// Who made it up.
    pub operator: u32,
    /// It is sent as named items (`PATCH`), not as a whole (`PUT`).
    pub patch: bool,
    /// Version that it builds on.
    pub base: u64,
    /// Order that made that version, as the operator knows it; 0: nothing was in place.
    pub base_order: OrderId,
    /// Version that it makes.
    pub version: u64,
    /// Orders whose routes the result has, its own among them.
    pub routes: Vec<OrderId>,
    /// Stamp of the whole result.
    pub stamp: String,
    /// It is a proper change.
    pub valid: bool,
}

/// How a call to control ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    /// 200.
    Taken,
    /// 409 or 412.
    Conflict,
    /// Another 4xx that ends an order.
    Invalid,
    /// 5xx, 408 or 429.
    Unclear(u16),
    /// The caller gave up on the answer on purpose.
    GivenUp,
    /// No connection came up: it was not sent.
    NoConnection,
    /// No answer: the connection broke, or silence.
    Silent,
}

/// One copy of an order, as it was sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Copy {
    /// Which order.
    pub order: OrderId,
    /// When it was sent, ms.
    pub sent: f64,
    /// When its answer was there, or was given up, ms.
    pub ended: f64,
    /// How it ended.
    pub said: Said,
}

/// What a read saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The version.
    pub version: u64,
    /// The order that the document names.
    pub order: OrderId,
    /// Stamp of the document.
    pub stamp: String,
}

/// A read of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Read {
    /// When it was sent, ms.
    pub sent: f64,
    /// When it ended, ms.
    pub ended: f64,
    /// What it saw; `None`: it got no clear answer.
    pub seen: Option<Seen>,
    /// No connection came up.
    pub no_connection: bool,
    /// It is one of those at the end, after the last fault.
    pub last: bool,
}

/// An order on a zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Evacuation {
    /// When it was sent, ms.
    pub sent: f64,
    /// When it ended, ms.
    pub ended: f64,
    /// How it ended.
    pub said: Said,
}

/// What a client asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// The route that is always there, of requests that may be repeated.
    Steady,
    /// The route that is always there, of requests that run at most once.
    Once,
    /// The route of an order.
    Route(OrderId),
}

/// What a client got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Got {
    /// A server's answer, whole, for this very request, and the order whose configuration let it through.
    Served(OrderId),
    /// A 200 that is not whole or not for this request.
    Foreign,
    /// Another status.
    Status(u16),
    /// No answer.
    Nothing,
}

/// One request of a client; none is sent twice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Try {
    /// The number that its `X-Attempt-Id` is.
    pub attempt: u64,
    /// Place of the gateway.
    pub gateway: usize,
    /// What it asked for.
    pub asked: Asked,
    /// When it was sent, ms.
    pub sent: f64,
    /// When it ended, ms.
    pub ended: f64,
    /// What came.
    pub got: Got,
}

/// A request that a stand-in ran.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Run {
    /// Of this attempt.
    pub attempt: u64,
    /// When it came, ms.
    pub at: f64,
}

/// A machine that a fault hit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hit {
    /// A core machine, by its place.
    Core(usize),
    /// A gateway, by its place.
    Gateway(usize),
}

/// A fault on one machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// What happened, for people.
    pub what: String,
    /// To which machine.
    pub hit: Hit,
    /// The process ended: a new life begins.
    pub killed: bool,
    /// Whole core at once.
    pub all: bool,
    /// When, ms.
    pub from: f64,
    /// When the process ran again (a gateway: was ready again), ms.
    pub until: f64,
}

/// What a core machine said of itself. For the table and the drawing alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// When, ms.
    pub at: u64,
    /// Its place.
    pub machine: usize,
    /// It leads.
    pub leads: bool,
    /// Its term.
    pub term: u64,
    /// Members, as it knows them.
    pub members: usize,
}

/// All of it.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// Names of core machines.
    pub cores: Vec<String>,
    /// Names of gateways.
    pub gateways: Vec<String>,
    /// Changes that were made up.
    pub orders: Vec<Order>,
    /// Copies of them that were sent.
    pub copies: Vec<Copy>,
    /// Reads.
    pub reads: Vec<Read>,
    /// Orders on zones.
    pub evacuations: Vec<Evacuation>,
    /// Requests of clients.
    pub tries: Vec<Try>,
    /// What stand-ins ran.
    pub runs: Vec<Run>,
    /// Faults.
    pub faults: Vec<Fault>,
    /// Faults that were drawn and left out, and why.
    pub left_out: Vec<String>,
    /// Processes that ended by themselves, and when.
    pub ended: Vec<String>,
    /// What core machines said of themselves.
    pub samples: Vec<Sample>,
    /// When the traffic ended, ms.
    pub end: f64,
}
