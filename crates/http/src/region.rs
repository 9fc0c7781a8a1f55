//! The regions' side of a gateway: writes requests, reads answers.

use crate::body::{Body, MOST_BODY};
use crate::error::HttpError;
use crate::framing::{framing, Framing};
use crate::head::{take_response_head, ResponseHead};
use crate::headers::Headers;
use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

/// Most preliminary answers (1xx) before the answer.
const MOST_EARLY: usize = 8;

/// A request as it goes to a region or to discovery: its bytes.
#[derive(Debug, Clone)]
pub struct RegionRequest(pub Bytes);

/// A region's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionReply {
    /// Status code.
    pub status: u16,
    /// True units (`X-Settled`).
    pub settled: Option<f64>,
    /// The region vouches that it did not begin the request.
    pub not_started: bool,
    /// Header lines.
    pub headers: Headers,
    /// Body.
    pub body: Bytes,
    /// The region keeps the connection.
    pub keep_alive: bool,
}

/// The region's side: writes requests, reads answers.
#[derive(Debug)]
pub struct RegionCodec {
    head: Option<(RegionReply, Body)>,
    most: usize,
    /// Preliminary answers so far.
    early: usize,
}

impl Default for RegionCodec {
    fn default() -> RegionCodec {
        RegionCodec::new(MOST_BODY)
    }
}

impl RegionCodec {
    /// Reads answers with bodies of so many bytes at most.
    pub fn new(most: usize) -> RegionCodec {
        RegionCodec { head: None, most, early: 0 }
    }

    /// Part of an answer has come, and the rest has not.
    pub fn begun(&self) -> bool {
        self.head.is_some()
    }
}

impl Decoder for RegionCodec {
    type Item = RegionReply;
    type Error = HttpError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<RegionReply>, HttpError> {
        while self.head.is_none() {
            if from.is_empty() {
                return Ok(None);
            }
            let Some(ResponseHead { status, old, headers }) = take_response_head(from)? else {
                return Ok(None);
            };
            if (100..200).contains(&status) {
                self.early += 1;
                if status == 101 || self.early > MOST_EARLY {
                    return Err(HttpError::Malformed("preliminary answers"));
                }
                continue;
            }
            self.early = 0;
            let framing = match status {
                204 | 304 => Framing::Length(0),
                _ => framing(&headers, true, self.most)?,
            };
            let close = headers.has_token("connection", "close") || old;
            let settled = headers.get("x-settled").and_then(|text| text.parse::<f64>().ok());
            let reply = RegionReply {
                status,
                settled: settled.filter(|units| units.is_finite() && *units > 0.0),
                not_started: headers.get("not-started") == Some("1"),
                headers,
                body: Bytes::new(),
                keep_alive: !close,
            };
            self.head = Some((reply, Body::new(framing, self.most)));
        }
        let Some((_, body)) = self.head.as_mut() else { return Ok(None) };
        let Some(body) = body.read(from)? else { return Ok(None) };
        Ok(self.head.take().map(|(reply, _)| RegionReply { body, ..reply }))
    }

    fn decode_eof(&mut self, from: &mut BytesMut) -> Result<Option<RegionReply>, HttpError> {
        match self.decode(from)? {
            None if self.head.is_some() || !from.is_empty() => Err(HttpError::Malformed("answer cut short")),
            reply => Ok(reply),
        }
    }
}

impl Encoder<RegionRequest> for RegionCodec {
    type Error = HttpError;

    fn encode(&mut self, request: RegionRequest, to: &mut BytesMut) -> Result<(), HttpError> {
        to.extend_from_slice(&request.0);
        Ok(())
    }
}
