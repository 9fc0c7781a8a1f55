//! The clients' side of a gateway: reads requests, writes answers.

use crate::body::{Body, MOST_BODY};
use crate::error::HttpError;
use crate::framing::framing;
use crate::head::{take_request_head, RequestHead};
use crate::headers::Headers;
use crate::status::reason;
use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

/// A client's request.
#[derive(Debug, Clone)]
pub struct TerminalRequest {
    /// Method.
    pub method: String,
    /// Path and query as they came.
    pub target: String,
    /// Header lines.
    pub headers: Headers,
    /// Body.
    pub body: Bytes,
    /// The client keeps the connection.
    pub keep_alive: bool,
}

impl TerminalRequest {
    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// An answer to a client.
#[derive(Debug, Clone, PartialEq)]
pub struct TerminalReply {
    /// Status code.
    pub status: u16,
    /// `Retry-After`, seconds.
    pub retry_after: Option<f64>,
    /// Header lines of a region's answer, passed on.
    pub headers: Headers,
    /// Body.
    pub body: Bytes,
    /// The connection ends with this answer.
    pub close: bool,
}

impl TerminalReply {
    /// An answer with a line of text.
    pub fn text(status: u16, text: &str) -> TerminalReply {
        let body = Bytes::copy_from_slice(text.as_bytes());
        TerminalReply { status, retry_after: None, headers: Headers::default(), body, close: false }
    }
}

/// The client's side: reads requests, writes answers.
#[derive(Debug)]
pub struct TerminalCodec {
    head: Option<(TerminalRequest, Body)>,
    most_body: usize,
}

impl Default for TerminalCodec {
    fn default() -> TerminalCodec {
        TerminalCodec::with_most(MOST_BODY)
    }
}

impl TerminalCodec {
    /// Reads requests with bodies of so many bytes at most.
    pub fn with_most(most_body: usize) -> TerminalCodec {
        TerminalCodec { head: None, most_body }
    }

    /// Bytes of a body taken in so far, beside those still in the read buffer; `None` before a head is whole.
    pub fn body_held(&self) -> Option<usize> {
        self.head.as_ref().map(|(_, body)| body.held())
    }
}

impl Decoder for TerminalCodec {
    type Item = TerminalRequest;
    type Error = HttpError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<TerminalRequest>, HttpError> {
        if self.head.is_none() {
            if from.is_empty() {
                return Ok(None);
            }
            let Some(RequestHead { method, target, old, headers }) = take_request_head(from)? else {
                return Ok(None);
            };
            let framing = framing(&headers, false, self.most_body)?;
            let close = headers.has_token("connection", "close");
            let keep_alive = !close && (!old || headers.has_token("connection", "keep-alive"));
            let request = TerminalRequest { method, target, headers, body: Bytes::new(), keep_alive };
            self.head = Some((request, Body::new(framing, self.most_body)));
        }
        let Some((_, body)) = self.head.as_mut() else { return Ok(None) };
        let Some(body) = body.read(from)? else { return Ok(None) };
        Ok(self.head.take().map(|(request, _)| TerminalRequest { body, ..request }))
    }
}

impl Encoder<TerminalReply> for TerminalCodec {
    type Error = HttpError;

    fn encode(&mut self, reply: TerminalReply, to: &mut BytesMut) -> Result<(), HttpError> {
        use std::fmt::Write;
        to.reserve(reply.body.len() + 160);
        let head = (|| {
            write!(to, "HTTP/1.1 {} {}\r\n", reply.status, reason(reply.status))?;
            for (name, value) in reply.headers.end_to_end() {
                write!(to, "{name}: ")?;
                to.extend_from_slice(value);
                to.write_str("\r\n")?;
            }
            if let Some(seconds) = reply.retry_after {
                write!(to, "Retry-After: {seconds:.3}\r\n")?;
            }
            if reply.close {
                to.write_str("Connection: close\r\n")?;
            }
            match reply.status {
                // These two have no body by definition, and a length would speak of one.
                204 | 304 => to.write_str("\r\n"),
                _ => write!(to, "Content-Length: {}\r\n\r\n", reply.body.len()),
            }
        })();
        head.map_err(|_| HttpError::Malformed("answer"))?;
        to.extend_from_slice(&reply.body);
        Ok(())
    }
}
