//! Judges a history of operators' calls and answers: was there one register of versions, changed by compare-and-set, whose
//! every change was acknowledged again when it was sent again? No I/O and no clock.
//!
//! ```text
//! check(&[Exchange { call: Call { operator, kind, base, version, digest, valid, sent_ms }, answer: Option<Answer> }])
//!     -> Result<Summary, Violation>
//! ```
//!
//! One [`Exchange`] is one copy of a call and what came back for it; copies of one order have the same kind, base, version
//! and digest. Times are of one clock, ms; the order of the exchanges is of no account. A history has to hold all calls that
//! change the configuration, those without an answer too: a version that nobody asked for is a violation.

mod chain;
mod check;

pub use check::{check, Summary, Violation};

/// What kind of call it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A whole configuration: `PUT`.
    Put,
    /// Named items: `PATCH`.
    Patch,
    /// The newest configuration is asked for: `GET`.
    Read,
}

/// One copy of a call, as it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Who sent it.
    pub operator: u32,
    /// What kind.
    pub kind: Kind,
    /// The version that it builds on (`If-Match`); 0 for the first, and for reads.
    pub base: u64,
    /// The version that it names; 0 for reads.
    pub version: u64,
    /// Tells changes of one number apart: equal for copies of one order, whatever digest it is. Empty for reads.
    pub digest: String,
    /// The change is valid on top of `base`.
    pub valid: bool,
    /// When it was sent, ms.
    pub sent_ms: u64,
}

/// What an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// 2xx to a change.
    Acknowledged,
    /// 2xx to a read, with the version of the document.
    Read(u64),
    /// 409 or 412: another version is current.
    Conflict,
    /// Another 4xx but 408 and 429: the change is wrong.
    Invalid,
    /// Anything else: 5xx, 408, 429, an answer that broke off. Redirects are followed, not noted down.
    Unclear,
}

/// The answer to a copy of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// What it says.
    pub status: Status,
    /// When it was there, ms.
    pub received_ms: u64,
}

/// One copy of a call and what came back for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    /// As sent.
    pub call: Call,
    /// `None`: nothing came back.
    pub answer: Option<Answer>,
}

impl Exchange {
    /// What the answer says; no answer says nothing.
    pub(crate) fn status(&self) -> Status {
        self.answer.map_or(Status::Unclear, |answer| answer.status)
    }
}
