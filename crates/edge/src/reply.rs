//! Writes answers to clients: a server's, forwarded unchanged, or one made by the gateway itself.

use crate::exchange::{ResponseBody, ServerResponse};
use bytes::{BufMut, Bytes, BytesMut};
use nickeljunction_http::stream::{put_line, put_status};
use std::fmt::Write;

/// Shortest pause in `Retry-After`, ms: a client that retries sooner gets the same answer again.
const MIN_RETRY_AFTER_MS: f64 = 50.0;
/// Pause in `Retry-After` where none is known, ms: about the time in which a server's queue moves on.
const DEFAULT_RETRY_AFTER_MS: f64 = 100.0;

/// The final answer to a request.
pub enum Reply {
    /// A server's answer.
    Served(ServerResponse),
    /// An answer made by the gateway.
    Local(LocalReply),
}

/// An answer made by the gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalReply {
    /// Status code. 408, 421, 429 and 503 promise that the request has not been executed and never will be.
    pub status: u16,
    /// What failed, for the body; must not contain quotes.
    pub error: &'static str,
    /// How long the client should wait before a retry, ms.
    pub retry_after_ms: Option<f64>,
}

impl LocalReply {
    /// An answer without `Retry-After`.
    pub fn new(status: u16, error: &'static str) -> LocalReply {
        LocalReply { status, error, retry_after_ms: None }
    }

    /// The request has not been executed and won't be; the client may retry after this pause (0: not known).
    pub fn refusal(status: u16, error: &'static str, pause_ms: f64) -> LocalReply {
        let has_pause = pause_ms.is_finite() && pause_ms > 0.0;
        let pause_ms = if has_pause { pause_ms.max(MIN_RETRY_AFTER_MS) } else { DEFAULT_RETRY_AFTER_MS };
        LocalReply { status, error, retry_after_ms: Some(pause_ms) }
    }
}

/// The properties of the connection and the request that an answer depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplyContext {
    /// The connection is closed after this answer.
    pub close: bool,
    /// The client's minor version of HTTP/1.
    pub http_minor: u8,
    /// The request was `HEAD`: its answer has no body.
    pub is_head: bool,
    /// How long an idle connection is kept, ms.
    pub idle_timeout_ms: f64,
}

/// The body to send after the head of a server's answer.
pub enum ReplyBody {
    /// No body.
    Empty,
    /// A complete body.
    Whole(Bytes),
    /// A body that is still being received, with its length or in chunks.
    Streamed(crate::exchange::BodyStream),
}

fn put_connection(out: &mut BytesMut, context: &ReplyContext) {
    if context.close {
        return put_line(out, "Connection", b"close");
    }
    if context.http_minor == 0 {
        put_line(out, "Connection", b"keep-alive");
    }
    // One second less than the real time-out: a request sent at the last moment must not find the connection closed.
    let seconds = (context.idle_timeout_ms / 1_000.0 - 1.0).floor();
    if seconds >= 1.0 {
        let _ = write!(out, "Keep-Alive: timeout={seconds}\r\n");
    }
}

/// Writes an answer made by the gateway, head and body.
pub fn put_local_reply(
    out: &mut BytesMut,
    reply: &LocalReply,
    attempt_id: Option<&str>,
    context: &ReplyContext,
) {
    let body = format!("{{\"error\":\"{}\"}}", reply.error);
    out.reserve(256 + body.len());
    put_status(out, reply.status);
    if let Some(id) = attempt_id {
        put_line(out, "X-Attempt-Id", id.as_bytes());
    }
    if let Some(pause) = reply.retry_after_ms {
        // Rounded up: a client that retries slightly too early is refused again.
        let _ = write!(out, "Retry-After: {:.3}\r\n", pause.ceil() / 1_000.0);
    }
    put_connection(out, context);
    let _ = write!(out, "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    if !context.is_head {
        out.put_slice(body.as_bytes());
    }
}

/// Writes the head of a server's answer and returns its body. Status, end-to-end header lines and body stay unchanged.
///
/// # Errors
/// Writes nothing if the body has no known length and the client speaks HTTP/1.0: it couldn't tell a complete body from
/// a truncated one.
pub fn put_served_reply(
    out: &mut BytesMut,
    served: ServerResponse,
    context: &ReplyContext,
) -> Result<ReplyBody, LocalReply> {
    let ServerResponse { status, headers, body } = served;
    let no_body = context.is_head || matches!(status, 204 | 304);
    if let (false, 0, ResponseBody::Streamed(stream)) = (no_body, context.http_minor, &body) {
        if stream.length.is_none() {
            return Err(LocalReply::new(502, "answer of unknown length for HTTP/1.0"));
        }
    }
    out.reserve(512);
    put_status(out, status);
    for (name, value) in headers.passed_on() {
        put_line(out, name, value);
    }
    put_connection(out, context);
    let length = match &body {
        // The length that the server stated for the body that a GET would have.
        _ if context.is_head => headers.get("content-length").map(str::to_string),
        _ if no_body => None,
        ResponseBody::Buffered(bytes) => Some(bytes.len().to_string()),
        ResponseBody::Streamed(stream) => stream.length.map(|length| length.to_string()),
    };
    match length {
        Some(length) => put_line(out, "Content-Length", length.as_bytes()),
        None if !no_body => put_line(out, "Transfer-Encoding", b"chunked"),
        None => {}
    }
    out.put_slice(b"\r\n");
    Ok(match body {
        _ if no_body => ReplyBody::Empty,
        ResponseBody::Buffered(bytes) => ReplyBody::Whole(bytes),
        ResponseBody::Streamed(stream) => ReplyBody::Streamed(stream),
    })
}
