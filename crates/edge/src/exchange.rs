//! Types that pass between the client side and the server side of a gateway.

use crate::tenant_pacing::TenantPacing;
use bytes::Bytes;
use nickeljunction_core::facade::RetrySafety;
use nickeljunction_core::life::Answer;
use nickeljunction_http::Headers;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Longest body of a request or of an answer that is buffered whole. Longer bodies are streamed: a streamed request
/// is sent to one server at most, and a streamed answer breaks off where the server's answer does.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// A body that is still being received.
pub struct BodyStream {
    /// Length in bytes if it is known beforehand; otherwise the body is forwarded in chunks.
    pub length: Option<u64>,
    /// The parts in order. The channel is short, for backpressure. If it closes without [`BodyPart::End`], the body
    /// is incomplete.
    pub parts: mpsc::Receiver<BodyPart>,
}

/// A part of a streamed body.
#[derive(Debug, Clone, PartialEq)]
pub enum BodyPart {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The body of a request.
pub enum RequestBody {
    /// Held whole in memory.
    Buffered(Bytes),
    /// Streamed. The first send takes the stream and leaves `None`.
    Streamed(RefCell<Option<BodyStream>>),
}

/// An admitted request of a client, on its way to a server.
pub struct Exchange {
    /// Method as the client sent it.
    pub method: String,
    /// Path and query as the client sent them.
    pub target: String,
    /// The client's header lines.
    pub headers: Headers,
    /// The body.
    pub body: RequestBody,
    /// Value of `X-Attempt-Id`, which every answer of a server must repeat.
    pub attempt_id: String,
    /// Tenant for `X-Tenant-Name`. `None` on an open route: the client's own header is removed.
    pub tenant: Option<String>,
    /// The service.
    pub backend: Rc<str>,
    /// Regions that may serve the request; empty: any.
    pub home_regions: Rc<[String]>,
    /// Whether the request may be sent again.
    pub retry_safety: RetrySafety,
    /// An answer within this time earns its full worth, ms.
    pub target_latency_ms: f64,
    /// Most servers that the request may be sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// When the request head had been read, ms of the process clock.
    pub arrived: f64,
    /// Time from `arrived` within which the request must be answered, ms: the lesser of the client's
    /// `X-Deadline-Remaining` and the route's `timeout_s`.
    pub timeout_ms: f64,
    /// The first byte must be sent by this time for the quota unit to cover it, ms of the process clock; infinite
    /// without a tenant.
    pub unit_valid_until: f64,
    /// Receives the one final answer.
    pub reply: oneshot::Sender<Answer<ServerResponse>>,
}

/// A server's answer.
pub struct ServerResponse {
    /// Status code.
    pub status: u16,
    /// Header lines.
    pub headers: Headers,
    /// Body.
    pub body: ResponseBody,
}

/// The body of a server's answer.
pub enum ResponseBody {
    /// Held whole in memory.
    Buffered(Bytes),
    /// Longer than [`MAX_BUFFERED_BODY_BYTES`], by its stated length or by what has been read: forwarded as it is
    /// received.
    Streamed(BodyStream),
}

/// The server side of the gateway, as the client side calls it.
pub trait Dispatch {
    /// Takes a request. Exactly one answer is sent to [`Exchange::reply`], no later than the request's time-out.
    /// A dropped receiver means that the client has disconnected.
    fn dispatch(&self, exchange: Exchange);
}

/// The result of admission control for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// The request is admitted and its quota unit is spent. The unit must be used before this time, ms of the process
    /// clock.
    Admitted(f64),
    /// The tenant is over its quota (429). Holds the time after which to retry, ms.
    OverQuota(f64),
    /// The gateway has had no contact with the core for too long to know keys and quota units (503). Holds the time
    /// after which to retry, ms.
    QuotaUnknown(f64),
}

/// Quota units of tenants and the gateway's lease, as the client side calls them.
pub trait Admission {
    /// Requests one quota unit of a tenant. Waits for the quota counter for a short time-out at most.
    fn admit<'a>(&'a self, tenant: &'a str) -> Pin<Box<dyn Future<Output = AdmissionDecision> + 'a>>;
    /// Takes one more quota unit of a tenant without waiting, for a retry or for a send after the admitted unit has
    /// expired. `false`: there is none, and nothing may be sent.
    fn take_extra_unit(&self, tenant: &str) -> bool;
    /// `None`: the known API keys may be used. Otherwise they may not, because a key may have been revoked while this
    /// gateway had no contact with the core, and the client should retry after this time, ms.
    fn stale_retry_after_ms(&self) -> Option<f64>;
    /// Delays requests of tenants whose trial has lapsed. `None`: no tenant is slowed down.
    fn pacing(&self) -> Option<&TenantPacing> {
        None
    }
}
