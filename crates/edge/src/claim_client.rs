//! What claims of keyed operations need of the core and of other gateways, as the clients' side sees it.

use nickeljunction_messages::{ClaimAnswer, ClaimCall, RecallAnswer, RecallCall};
use std::future::Future;
use std::pin::Pin;

/// An answer that is awaited; `None`: none came in time.
pub type CallFuture<'a, A> = Pin<Box<dyn Future<Output = Option<A>> + 'a>>;

/// The core's leader, and the gateways that hold claims.
pub trait ClaimClient {
    /// Has the leader grant a claim. It is asked again, unchanged, until it answers or `until`, ms of the program's clock.
    fn claim<'a>(&'a self, call: &'a ClaimCall, until: f64) -> CallFuture<'a, ClaimAnswer>;
    /// Asks the holder of a claim what became of it, `timeout_ms` at most.
    fn recall<'a>(&'a self, call: &'a RecallCall, timeout_ms: f64) -> CallFuture<'a, RecallAnswer>;
    /// The core has been out of reach for so long that no claim is to be expected.
    fn is_core_unreachable(&self) -> bool;
}
