//! What clients and stand-ins noted: all that the check, the table and the drawing go by. Times are ms of one steady clock,
//! from the start of the traffic.

/// In which order requests give way; see `Route::gives_way`.
pub const FIRST: u32 = 1;
/// Interactive reads.
pub const READ: u32 = 2;
/// Bookings.
pub const BOOKING: u32 = 3;

/// Requests of one route.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Name of its route, its service and the first part of its paths.
    pub name: &'static str,
    /// In which order it gives way.
    pub rank: u32,
    /// Its `route_type`.
    pub route_type: &'static str,
    /// Requests a second of the tenant that lapses, at a gateway of weight 1; the other tenant sends half of it.
    pub per_s: f64,
    /// Bytes of its answers.
    pub bytes: usize,
}

/// All kinds.
pub const KINDS: [Kind; 6] = [
    Kind { name: "book", rank: BOOKING, route_type: "non_idempotent", per_s: 1.2, bytes: 0 },
    Kind { name: "chairs", rank: READ, route_type: "idempotent", per_s: 1.5, bytes: 2_000 },
    Kind { name: "bays", rank: READ, route_type: "idempotent", per_s: 1.0, bytes: 2_000 },
    Kind { name: "elig", rank: FIRST, route_type: "idempotent", per_s: 2.0, bytes: 500 },
    Kind { name: "sync", rank: FIRST, route_type: "idempotent", per_s: 1.5, bytes: 500 },
    Kind { name: "maps", rank: FIRST, route_type: "download", per_s: 1.5, bytes: 40_000 },
];

/// The tenant whose trial lapses, then one whose does not.
pub const TENANTS: [&str; 2] = ["corner", "meadow"];
/// Place of the one that lapses.
pub const LAPSED: usize = 0;
/// Place of the other one.
pub const OTHER: usize = 1;

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum End {
    /// An answer came; with `Retry-After`, ms.
    Answer(u16, Option<f64>),
    /// Its client left before, as it meant to.
    Left,
    /// No connection came up.
    NoConnection,
    /// The connection ended without an answer.
    Broke,
    /// No answer in the client's time.
    Silent,
}

impl End {
    /// A 2xx.
    pub fn served(&self) -> bool {
        matches!(self, End::Answer(200..=299, _))
    }

    /// An answer that promises that the request did not run and never will.
    pub fn declined(&self) -> bool {
        matches!(self, End::Answer(408 | 421 | 429 | 503, _))
    }
}

/// One try of a client.
#[derive(Debug, Clone, Copy)]
pub struct Try {
    /// Its request, from 0 on.
    pub request: u32,
    /// 0: the first one.
    pub number: u8,
    /// Place in [`KINDS`].
    pub kind: usize,
    /// Place in [`TENANTS`].
    pub tenant: usize,
    /// Place of the gateway that it was sent to.
    pub gateway: usize,
    /// Its client means to leave early.
    pub leaver: bool,
    /// The try before was told when to come back, and this one comes no earlier.
    pub as_told: bool,
    /// When its request was due, ms.
    pub due: f64,
    /// When it was sent, ms.
    pub sent: f64,
    /// When it ended, ms.
    pub ended: f64,
    /// How.
    pub end: End,
}

impl Try {
    /// The number that its `X-Attempt-Id` is.
    pub fn attempt(&self) -> u64 {
        attempt(self.request, self.number)
    }
}

/// The number that a try's `X-Attempt-Id` is.
pub fn attempt(request: u32, number: u8) -> u64 {
    u64::from(request) << 8 | u64::from(number)
}

/// A request that a stand-in ran.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Of this try.
    pub attempt: u64,
    /// When it came, ms.
    pub at: f64,
}

/// A gateway that was killed.
#[derive(Debug, Clone, Copy)]
pub struct Away {
    /// Its place.
    pub gateway: usize,
    /// When, ms.
    pub from: f64,
    /// When it was ready again, ms.
    pub until: f64,
}

/// A whole day of traffic.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// Names of gateways.
    pub gateways: Vec<String>,
    /// Added waits of each stage, ms: of those that give way first, of reads.
    pub stages: Vec<(f64, f64)>,
    /// How long a stage lasts at least, ms.
    pub stage_ms: f64,
    /// Requests that were to be sent.
    pub planned: u32,
    /// When the trial was ordered to lapse, ms.
    pub lapse: f64,
    /// When it was ordered to be restored, ms.
    pub restore: f64,
    /// When traffic ended, ms.
    pub end: f64,
    /// Gateways that were killed.
    pub away: Vec<Away>,
    /// Orders that were not taken.
    pub refused: Vec<String>,
    /// What clients noted.
    pub tries: Vec<Try>,
    /// What stand-ins noted.
    pub runs: Vec<Run>,
}

impl Log {
    /// Whether this gateway was away, or just going or coming, in that time.
    pub fn away(&self, gateway: usize, from: f64, until: f64, after_ms: f64) -> bool {
        let before = 200.0;
        let mut away = self.away.iter().filter(|away| away.gateway == gateway);
        away.any(|away| from <= away.until + after_ms && until >= away.from - before)
    }
}
