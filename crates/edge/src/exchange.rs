//! What travels between the client's side and the servers' side of a gateway.

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

/// Longest body, bytes, of a request or of an answer that is held whole. What is longer is streamed: a streamed request
/// goes to one server at most, a streamed answer breaks off where its server's does.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// A body that is still coming in.
pub struct BodyStream {
    /// Its length, bytes, where it is known beforehand; else it is sent on in chunks.
    pub length: Option<u64>,
    /// Its parts in order, few at a time (backpressure). The end of the channel without [`BodyPart::End`] is a break.
    pub parts: mpsc::Receiver<BodyPart>,
}

/// A part of a streamed body.
#[derive(Debug, Clone, PartialEq)]
pub enum BodyPart {
    /// Bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// A body.
pub enum RequestBody {
    /// Held whole.
    Buffered(Bytes),
    /// Streamed: whoever takes it first has it.
    Streamed(RefCell<Option<BodyStream>>),
}

/// A client's request that is allowed, on its way to a server.
pub struct Exchange {
    /// Method as the client sent it.
    pub method: String,
    /// Path and query as the client sent them.
    pub target: String,
    /// The client's header lines.
    pub headers: Headers,
    /// The body.
    pub body: RequestBody,
    /// Value of `X-Attempt-Id`, which every answer of a server must carry back.
    pub attempt_id: String,
    /// Tenant for `X-Tenant-Name`; `None` on an open route: the header is taken away.
    pub tenant: Option<String>,
    /// The service.
    pub backend: Rc<str>,
    /// Regions that may serve it; empty: any.
    pub home_regions: Rc<[String]>,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// Full worth is earned within this time, ms.
    pub target_latency_ms: f64,
    /// Most servers that it may be sent to.
    pub max_attempts: u32,
    /// Rank, 0 the highest.
    pub priority: u32,
    /// When its head had been read, ms of the program's clock, and how long it may take from then on: the lesser of the
    /// client's `X-Deadline-Remaining` and the route's `timeout_s`.
    pub arrived: f64,
    /// See `arrived`, ms.
    pub timeout_ms: f64,
    /// Its unit is good for a first byte until then, ms of the program's clock; infinite without a tenant.
    pub unit_valid_until: f64,
    /// Where the one final answer goes.
    pub reply: oneshot::Sender<Answer<ServerResponse>>,
}

/// A server's answer.
pub struct ServerResponse {
    /// Status.
    pub status: u16,
    /// Header lines.
    pub headers: Headers,
    /// Body.
    pub body: ResponseBody,
}

/// A server's body.
pub enum ResponseBody {
    /// Held whole.
    Buffered(Bytes),
    /// Longer than [`MAX_BUFFERED_BODY_BYTES`] (or of unknown length and longer): passed on as it comes.
    Streamed(BodyStream),
}

/// The servers' side, as the clients' side sees it.
pub trait Dispatch {
    /// Takes a request; exactly one answer comes through [`Exchange::reply`], at the end of its patience at the latest.
    /// Dropping the receiver means that the client has gone.
    fn dispatch(&self, exchange: Exchange);
}

/// What admission says of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// It may go; its unit is spent. The unit must be used before this time, ms of the program's clock.
    Admitted(f64),
    /// Beyond the tenant's quota: 429, come back after so many ms.
    OverQuota(f64),
    /// The core has not been heard of for too long to know keys and units (503), come back after so many ms.
    QuotaUnknown(f64),
}

/// Units of tenants and the lease of knowledge, as the clients' side sees them.
pub trait Admission {
    /// Asks for one unit of a tenant; waits for the counter at most a short time-out.
    fn admit<'a>(&'a self, tenant: &'a str) -> Pin<Box<dyn Future<Output = AdmissionDecision> + 'a>>;
    /// Takes one more unit of a tenant at once, for a send beyond the one that was admitted or later than its unit allows.
    /// False: there is none, and nothing is to be sent.
    fn take_extra_unit(&self, tenant: &str) -> bool;
    /// `None`: keys may be taken as known. Else for so many ms they may not: revocations bind machines out of touch, too.
    fn stale_retry_after_ms(&self) -> Option<f64>;
    /// Where a tenant's trial has lapsed: what holds its requests. `None`: nobody is slowed.
    fn pacing(&self) -> Option<&TenantPacing> {
        None
    }
}
