//! What the machine waits for: answers to pings, and the end of suspicions.

use std::collections::BTreeSet;

/// A ping that waits for its answer.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) at: usize,
    pub(super) seq: u16,
    pub(super) sent: f64,
    pub(super) asked_helpers: bool,
    /// A helper said that it heard nothing either: this gateway's own links are fine.
    pub(super) nacked: bool,
}

/// A ping in another's place.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) asker: u16,
    pub(super) asked: u16,
    pub(super) seq: u16,
    pub(super) until: f64,
}

/// A member that is suspected, since when, and by whom.
#[derive(Debug)]
pub(super) struct Suspicion {
    pub(super) since: f64,
    pub(super) accusers: BTreeSet<u16>,
}
