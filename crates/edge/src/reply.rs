//! Answers to clients as bytes: a server's, passed on unchanged, or the gateway's own.

use crate::exchange::{Served, ServedBody};
use bytes::{BufMut, Bytes, BytesMut};
use nickeljunction_http::stream::{put_line, put_status};
use std::fmt::Write;

/// Shortest pause that is told, ms: clients that come back sooner find nothing changed.
const LEAST_PAUSE_MS: f64 = 50.0;
/// Pause that is told where the core doesn't know one, ms: about what a queue of a server takes to move.
const USUAL_PAUSE_MS: f64 = 100.0;

/// The final answer to a request.
pub enum Reply {
    /// A server's.
    Served(Served),
    /// The gateway's own.
    Local(LocalReply),
}

/// An answer of the gateway itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalReply {
    /// Status. 408, 421, 429 and 503 promise that the request has not run and never will.
    pub status: u16,
    /// The step at which the request ended; plain words without quotes.
    pub error: &'static str,
    /// The client may come back after so many ms.
    pub retry_after_ms: Option<f64>,
}

impl LocalReply {
    /// An answer that promises nothing.
    pub fn new(status: u16, error: &'static str) -> LocalReply {
        LocalReply { status, error, retry_after_ms: None }
    }

    /// The request has not run and will not; the client may come back after so many ms (0: not known).
    pub fn refusal(status: u16, error: &'static str, pause_ms: f64) -> LocalReply {
        let known = pause_ms.is_finite() && pause_ms > 0.0;
        let pause_ms = if known { pause_ms.max(LEAST_PAUSE_MS) } else { USUAL_PAUSE_MS };
        LocalReply { status, error, retry_after_ms: Some(pause_ms) }
    }
}

/// What an answer must respect of the connection and the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplyContext {
    /// The connection ends with this answer.
    pub close: bool,
    /// The client's minor version of HTTP/1.
    pub http_minor: u8,
    /// The request was `HEAD`: its answer has no body.
    pub is_head: bool,
    /// How long an idle connection is kept, ms.
    pub idle_timeout_ms: f64,
}

/// What follows the head of a server's answer.
pub enum ReplyBody {
    /// Nothing.
    Empty,
    /// These bytes.
    Whole(Bytes),
    /// A body that still comes, of so many bytes, or in chunks.
    Streamed(crate::exchange::Stream),
}

fn put_connection(to: &mut BytesMut, hop: &ReplyContext) {
    if hop.close {
        return put_line(to, "Connection", b"close");
    }
    if hop.http_minor == 0 {
        put_line(to, "Connection", b"keep-alive");
    }
    // A second less than the truth: a request sent at the last moment must not meet the end of the connection.
    let seconds = (hop.idle_timeout_ms / 1_000.0 - 1.0).floor();
    if seconds >= 1.0 {
        let _ = write!(to, "Keep-Alive: timeout={seconds}\r\n");
    }
}

/// Writes an answer of the gateway itself, body and all.
pub fn put_local_reply(to: &mut BytesMut, own: &LocalReply, attempt_id: Option<&str>, hop: &ReplyContext) {
    let body = format!("{{\"error\":\"{}\"}}", own.error);
    to.reserve(256 + body.len());
    put_status(to, own.status);
    if let Some(id) = attempt_id {
        put_line(to, "X-Attempt-Id", id.as_bytes());
    }
    if let Some(pause) = own.retry_after_ms {
        // Rounded up: back a hair too early is refused again.
        let _ = write!(to, "Retry-After: {:.3}\r\n", (pause.ceil()) / 1_000.0);
    }
    put_connection(to, hop);
    let _ = write!(to, "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    if !hop.is_head {
        to.put_slice(body.as_bytes());
    }
}

/// Writes the head of a server's answer and gives what follows it. Status, end-to-end lines and body stay as they are.
///
/// # Errors
/// Nothing was written, for the client's old version has no way to tell where such a body ends from where it broke.
pub fn put_served_reply(
    to: &mut BytesMut,
    served: Served,
    hop: &ReplyContext,
) -> Result<ReplyBody, LocalReply> {
    let Served { status, headers, body } = served;
    let bodiless = hop.is_head || matches!(status, 204 | 304);
    if let (false, 0, ServedBody::Streamed(stream)) = (bodiless, hop.http_minor, &body) {
        if stream.length.is_none() {
            return Err(LocalReply::new(502, "answer of unknown length for HTTP/1.0"));
        }
    }
    to.reserve(512);
    put_status(to, status);
    for (name, value) in headers.passed_on() {
        put_line(to, name, value);
    }
    put_connection(to, hop);
    let length = match &body {
        // What the body would have been, in the server's own words.
        _ if hop.is_head => headers.get("content-length").map(str::to_string),
        _ if bodiless => None,
        ServedBody::Whole(bytes) => Some(bytes.len().to_string()),
        ServedBody::Streamed(stream) => stream.length.map(|length| length.to_string()),
    };
    match length {
        Some(length) => put_line(to, "Content-Length", length.as_bytes()),
        None if !bodiless => put_line(to, "Transfer-Encoding", b"chunked"),
        None => {}
    }
    to.put_slice(b"\r\n");
    Ok(match body {
        _ if bodiless => ReplyBody::Empty,
        ServedBody::Whole(bytes) => ReplyBody::Whole(bytes),
        ServedBody::Streamed(stream) => ReplyBody::Streamed(stream),
    })
}
