//! What the machine waits for: answers to pings, and the end of suspicions.

use std::collections::BTreeSet;

/// A ping that is not answered yet.
#[derive(Debug)]
pub(super) struct Probe {
    /// Index of the pinged member.
    pub(super) target: usize,
    pub(super) seq: u16,
    pub(super) sent_ms: f64,
    pub(super) asked_helpers: bool,
    /// A helper got no answer either, which shows that this gateway's own links work.
    pub(super) nacked: bool,
}

/// A ping on behalf of another gateway.
#[derive(Debug)]
pub(super) struct Relay {
    /// Number of the gateway that requested the ping.
    pub(super) requester: u16,
    /// Sequence number of the request.
    pub(super) requester_seq: u16,
    /// Sequence number of this gateway's ping.
    pub(super) seq: u16,
    pub(super) until_ms: f64,
}

/// When a member became suspect, and who suspects it.
#[derive(Debug)]
pub(super) struct Suspicion {
    pub(super) since_ms: f64,
    pub(super) accusers: BTreeSet<u16>,
}
