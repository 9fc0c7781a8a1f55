//! Answers to clients as bytes: a server's, passed on unchanged, or the gateway's own.

use crate::exchange::{ResponseBody, ServerResponse};
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
    Served(ServerResponse),
    /// The gateway's own.
    Own(Own),
}

/// An answer of the gateway itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Own {
    /// Status. 408, 421, 429 and 503 promise that the request has not run and never will.
    pub status: u16,
    /// The step at which the request ended; plain words without quotes.
    pub error: &'static str,
    /// The client may come back after so many ms.
    pub pause_ms: Option<f64>,
}

impl Own {
    /// An answer that promises nothing.
    pub fn new(status: u16, error: &'static str) -> Own {
        Own { status, error, pause_ms: None }
    }

    /// The request has not run and will not; the client may come back after so many ms (0: not known).
    pub fn refusal(status: u16, error: &'static str, pause_ms: f64) -> Own {
        let known = pause_ms.is_finite() && pause_ms > 0.0;
        let pause_ms = if known { pause_ms.max(LEAST_PAUSE_MS) } else { USUAL_PAUSE_MS };
        Own { status, error, pause_ms: Some(pause_ms) }
    }
}

/// What an answer must respect of the connection and the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Hop {
    /// The connection ends with this answer.
    pub close: bool,
    /// The client's minor version of HTTP/1.
    pub minor: u8,
    /// The request was `HEAD`: its answer has no body.
    pub to_head: bool,
    /// How long an idle connection is kept, ms.
    pub idle_ms: f64,
}

/// What follows the head of a server's answer.
pub enum Follows {
    /// Nothing.
    Nothing,
    /// These bytes.
    Whole(Bytes),
    /// A body that still comes, of so many bytes, or in chunks.
    Streamed(crate::exchange::BodyStream),
}

fn put_connection(to: &mut BytesMut, hop: &Hop) {
    if hop.close {
        return put_line(to, "Connection", b"close");
    }
    if hop.minor == 0 {
        put_line(to, "Connection", b"keep-alive");
    }
    // A second less than the truth: a request sent at the last moment must not meet the end of the connection.
    let seconds = (hop.idle_ms / 1_000.0 - 1.0).floor();
    if seconds >= 1.0 {
        let _ = write!(to, "Keep-Alive: timeout={seconds}\r\n");
    }
}

/// Writes an answer of the gateway itself, body and all.
pub fn put_own(to: &mut BytesMut, own: &Own, attempt_id: Option<&str>, hop: &Hop) {
    let body = format!("{{\"error\":\"{}\"}}", own.error);
    to.reserve(256 + body.len());
    put_status(to, own.status);
    if let Some(id) = attempt_id {
        put_line(to, "X-Attempt-Id", id.as_bytes());
    }
    if let Some(pause) = own.pause_ms {
        // Rounded up: back a hair too early is refused again.
        let _ = write!(to, "Retry-After: {:.3}\r\n", (pause.ceil()) / 1_000.0);
    }
    put_connection(to, hop);
    let _ = write!(to, "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    if !hop.to_head {
        to.put_slice(body.as_bytes());
    }
}

/// Writes the head of a server's answer and gives what follows it. Status, end-to-end lines and body stay as they are.
///
/// # Errors
/// Nothing was written, for the client's old version has no way to tell where such a body ends from where it broke.
pub fn put_served(to: &mut BytesMut, served: ServerResponse, hop: &Hop) -> Result<Follows, Own> {
    let ServerResponse { status, headers, body } = served;
    let bodiless = hop.to_head || matches!(status, 204 | 304);
    if let (false, 0, ResponseBody::Streamed(stream)) = (bodiless, hop.minor, &body) {
        if stream.length.is_none() {
            return Err(Own::new(502, "answer of unknown length for HTTP/1.0"));
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
        _ if hop.to_head => headers.get("content-length").map(str::to_string),
        _ if bodiless => None,
        ResponseBody::Buffered(bytes) => Some(bytes.len().to_string()),
        ResponseBody::Streamed(stream) => stream.length.map(|length| length.to_string()),
    };
    match length {
        Some(length) => put_line(to, "Content-Length", length.as_bytes()),
        None if !bodiless => put_line(to, "Transfer-Encoding", b"chunked"),
        None => {}
    }
    to.put_slice(b"\r\n");
    Ok(match body {
        _ if bodiless => Follows::Nothing,
        ResponseBody::Buffered(bytes) => Follows::Whole(bytes),
        ResponseBody::Streamed(stream) => Follows::Streamed(stream),
    })
}
