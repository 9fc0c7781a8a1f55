//! Changes of the view and their causes, as the machine reports them.

use crate::view::MemberState;

/// Why a member's state changed, or what else was noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// A datagram came from it.
    DatagramReceived,
    /// The gateway of this number said so.
    ReportedBy(u16),
    /// It answered neither this gateway nor its helpers.
    ProbeFailed,
    /// Nobody heard it while it was suspected.
    SuspicionTimedOut,
    /// This gateway's own doing: it started, leaves, comes back or has another epoch.
    LocalEvent,
    /// This gateway was held to be suspect, gone or leaving, by the gateway of this number, and took it back.
    Refuted(u16),
    /// An earlier life of this gateway had a clock that was ahead.
    ClockWentBackwards,
    /// Another process claims this gateway's number; this one stays and the other should leave.
    DuplicateNumber,
    /// Another process claims this gateway's number, and this one yields: it says nothing more of itself.
    YieldedNumber,
    /// This process did nothing for so many ms.
    Hung(u64),
}

/// A change of the view.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// When, ms.
    pub at_ms: f64,
    /// Whose.
    pub number: u16,
    /// Its former state.
    pub from: MemberState,
    /// Its state.
    pub to: MemberState,
    /// Why.
    pub cause: Cause,
}
