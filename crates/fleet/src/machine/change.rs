//! Changes of the view and their causes.

use crate::view::MemberState;

/// Why a member's state changed, or which other condition was detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// A datagram arrived from the member.
    DatagramReceived,
    /// The gateway with this number reported the state.
    ReportedBy(u16),
    /// The member answered neither a direct nor an indirect ping.
    ProbeFailed,
    /// No datagram arrived from the member during its suspicion.
    SuspicionTimedOut,
    /// This gateway started, is leaving, cancelled its leave, or has another configuration epoch.
    LocalEvent,
    /// The gateway with this number reported this gateway as suspect, gone or leaving, and this gateway refuted it.
    Refuted(u16),
    /// An earlier process of this gateway had a clock ahead of the present one.
    ClockWentBackwards,
    /// Another process claims this gateway's number; this process keeps the number and the other should stop.
    DuplicateNumber,
    /// Another process claims this gateway's number; this process yields and sends nothing more.
    YieldedNumber,
    /// This process did not run for this many ms.
    Hung(u64),
}

/// A change of the view.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Time of the change by this gateway's clock, Unix ms.
    pub at_ms: f64,
    /// The member's number.
    pub number: u16,
    /// State before the change.
    pub from: MemberState,
    /// State after the change.
    pub to: MemberState,
    /// The reason for the change.
    pub cause: Cause,
}
