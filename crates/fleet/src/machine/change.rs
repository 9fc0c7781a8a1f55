//! Changes of the view and their causes, as the machine reports them.

use crate::view::State;

/// Why a member's state changed, or what else was noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// A datagram came from it.
    Heard,
    /// The gateway of this number said so.
    Told(u16),
    /// It answered neither this gateway nor its helpers.
    NoAnswer,
    /// Nobody heard it while it was suspected.
    SuspicionOver,
    /// This gateway's own doing: it started, leaves, comes back or has another epoch.
    Own,
    /// This gateway was held to be suspect, gone or leaving, by the gateway of this number, and took it back.
    TakenBack(u16),
    /// An earlier life of this gateway had a clock that was ahead.
    ClockWentBack,
    /// Another process claims this gateway's number; this one stays and the other should leave.
    Rival,
    /// Another process claims this gateway's number, and this one yields: it says nothing more of itself.
    Yields,
    /// This process did nothing for so many ms.
    Hung(u64),
}

/// A change of the view.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// When, ms.
    pub at: f64,
    /// Whose.
    pub number: u16,
    /// Its former state.
    pub from: State,
    /// Its state.
    pub to: State,
    /// Why.
    pub cause: Cause,
}
