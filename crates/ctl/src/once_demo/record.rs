//! What clients and stand-ins noted: all that the check goes by. Times are ms of one steady clock, from the start of the
//! traffic.

/// Number of an operation: its key, and its path.
pub type Key = u32;

/// What a client got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Got {
    /// A server's answer, whole, by its `X-Response-Seal`.
    Served(String),
    /// A 200 that is not whole, or not for this try.
    Foreign,
    /// Another status.
    Status(u16),
    /// No answer.
    Nothing,
}

/// One try of an operation.
#[derive(Debug, Clone, PartialEq)]
pub struct Try {
    /// Of which operation.
    pub key: Key,
    /// Place of the gateway.
    pub gateway: usize,
    /// When it was sent, ms.
    pub sent: f64,
    /// When it ended, ms.
    pub ended: f64,
    /// What came.
    pub got: Got,
}

/// A run of an operation at a stand-in.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    /// Which.
    pub key: Key,
    /// When, ms.
    pub at: f64,
    /// Seal of its answer: no two runs have the same.
    pub seal: String,
}

/// A fault, or its end.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// When, ms.
    pub at: f64,
    /// What, to which machines.
    pub what: String,
}

/// All of it.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// Tries.
    pub tries: Vec<Try>,
    /// Runs.
    pub runs: Vec<Run>,
    /// Faults and their ends, for people.
    pub events: Vec<Event>,
    /// Processes that ended by themselves, and when.
    pub ended: Vec<String>,
}
