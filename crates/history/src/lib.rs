//! Checks a history of operators' calls and answers against the guarantee of the control plane: the configuration
//! version is one linearizable register, changed by compare-and-set, and a change that was applied is acknowledged
//! again whenever it is sent again. The crate does no I/O and reads no clock.
//!
//! ```text
//! check(&[Exchange { call: Call { operator, kind, base, version, digest, valid, sent_ms }, answer: Option<Answer> }])
//!     -> Result<Summary, Violation>
//! ```
//!
//! One [`Exchange`] is one copy of a call with its answer; copies of one change have the same kind, base, version and
//! digest. All times are milliseconds of one clock; the order of the exchanges does not matter. A history has to hold all
//! calls that change the configuration, including those without an answer: a version that no call names is a violation.

mod chain;
mod check;

pub use check::{check, Summary, Violation};

/// The kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// `PUT`: replaces the whole configuration.
    Put,
    /// `PATCH`: changes named items.
    Patch,
    /// `GET`: reads the newest configuration.
    Read,
}

/// One copy of a call, as it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The operator that sent the call.
    pub operator: u32,
    /// The kind of the call.
    pub kind: Kind,
    /// The version that the change builds on (`If-Match`); 0 for the first change, and for reads.
    pub base: u64,
    /// The version that the change creates; 0 for reads.
    pub version: u64,
    /// Distinguishes changes with the same version: equal for copies of one change. Any digest will do. Empty for reads.
    pub digest: String,
    /// Whether the change is valid on top of `base`.
    pub valid: bool,
    /// When the copy was sent, ms.
    pub sent_ms: u64,
}

/// The outcome that an answer reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// 2xx to a change.
    Acknowledged,
    /// 2xx to a read, with the version of the document.
    Read(u64),
    /// 409 or 412: another version is current.
    Conflict,
    /// Any other 4xx except 408 and 429: the change is invalid.
    Invalid,
    /// Anything else: 5xx, 408, 429 or a truncated answer. Redirects are followed and not recorded.
    Unclear,
}

/// The answer to a copy of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The reported outcome.
    pub status: Status,
    /// When the answer was received, ms.
    pub received_ms: u64,
}

/// One copy of a call and its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    /// The call as sent.
    pub call: Call,
    /// `None`: no answer was received.
    pub answer: Option<Answer>,
}

impl Exchange {
    /// The reported outcome; [`Status::Unclear`] without an answer.
    pub(crate) fn status(&self) -> Status {
        self.answer.map_or(Status::Unclear, |answer| answer.status)
    }
}
