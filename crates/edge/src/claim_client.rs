//! The calls that keyed operations make to the core and to other gateways, as the client side sees them.

use nickeljunction_messages::{ClaimAnswer, ClaimCall, RecallAnswer, RecallCall};
use std::future::Future;
use std::pin::Pin;

/// The answer to a call; `None`: there was no answer in time.
pub type CallFuture<'a, A> = Pin<Box<dyn Future<Output = Option<A>> + 'a>>;

/// Calls to the core's leader and to the gateways that hold claims.
pub trait ClaimClient {
    /// Requests a claim from the leader. The call is repeated unchanged until the leader answers, or until `until`, ms
    /// of the process clock.
    fn claim<'a>(&'a self, call: &'a ClaimCall, until: f64) -> CallFuture<'a, ClaimAnswer>;
    /// Queries the holder of a claim for its outcome, for `timeout_ms` at most.
    fn recall<'a>(&'a self, call: &'a RecallCall, timeout_ms: f64) -> CallFuture<'a, RecallAnswer>;
    /// Whether the core has been unreachable for too long to expect that a claim would be granted.
    fn is_core_unreachable(&self) -> bool;
}
