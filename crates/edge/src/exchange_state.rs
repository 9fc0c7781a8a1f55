//! State of a request and of its connection, without I/O: which request an answer belongs to, what it proves, whether
//! the request may be sent again, and whether the connection may be reused.
//!
//! A request has not run before its first byte is written. From then on it may have run, unless the server states
//! otherwise. An answer counts only if it names the request's own id, because bytes of an earlier answer may still be
//! on the connection.

use bytes::BytesMut;
use nickeljunction_core::facade::{Outcome, RetrySafety};
use nickeljunction_http::stream::{read_answer_head, AnswerHead, BodyReader};
use nickeljunction_http::{Chunk, HttpError, MOST_HEAD};

/// A surplus answer up to this length is skipped; a longer one closes the connection.
const MAX_SKIPPED_BODY_BYTES: u64 = 1024 * 1024;

/// Why a send was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDenial {
    /// The route's limit of attempts is reached.
    AttemptLimit,
    /// A server may have run the request, and it must not run twice.
    MayHaveRun,
    /// The client has disconnected.
    ClientGone,
    /// The streamed body was consumed by an earlier send.
    NoBody,
    /// The request could not finish before this process ends.
    Shutdown,
    /// The server is no longer in the list of servers.
    ServerGone,
    /// The server is cold, and its rate limit allows no send now.
    ColdServer,
    /// The tenant has no quota unit for the send.
    Units,
    /// The service's retry budget is used up.
    Budget,
}

impl SendDenial {
    /// Whether the server lacked capacity. The other reasons say nothing about servers.
    pub fn is_capacity_limit(self) -> bool {
        self == SendDenial::ColdServer
    }

    /// The reason for the log.
    pub fn reason(self) -> &'static str {
        match self {
            SendDenial::AttemptLimit => "attempt limit of the route reached",
            SendDenial::MayHaveRun => "a server may have run it",
            SendDenial::ClientGone => "client disconnected",
            SendDenial::NoBody => "streamed body already consumed",
            SendDenial::Shutdown => "gateway is shutting down",
            SendDenial::ServerGone => "server is no longer listed",
            SendDenial::ColdServer => "cold server at its rate limit",
            SendDenial::Units => "tenant has no quota unit",
            SendDenial::Budget => "retry budget used up",
        }
    }
}

/// Counts of the sends of one request, over all servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SendCounts {
    begun: u32,
    /// Sends of which a byte was written and whose server has not stated that it did not run the request.
    exposed: u32,
}

impl SendCounts {
    /// Sends that have begun and were not cancelled before their first byte.
    pub fn begun(&self) -> u32 {
        self.begun
    }

    /// Checks whether the request may be sent to one more server, with `max_attempts` for its route.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn check_allowed(&self, retry_safety: RetrySafety, max_attempts: u32) -> Result<(), SendDenial> {
        if self.begun >= max_attempts {
            return Err(SendDenial::AttemptLimit);
        }
        if retry_safety == RetrySafety::AtMostOnce && self.exposed > 0 {
            return Err(SendDenial::MayHaveRun);
        }
        Ok(())
    }

    /// Records that a send begins; no byte of it has been written yet.
    pub fn begin(&mut self) {
        self.begun += 1;
    }

    /// Records that a send ended before its first byte.
    pub fn cancel(&mut self) {
        self.begun = self.begun.saturating_sub(1);
    }

    /// Records that the first byte of a send was written.
    pub fn mark_exposed(&mut self) {
        self.exposed += 1;
    }

    /// Records that a server states that it has not run the request.
    pub fn mark_not_executed(&mut self) {
        self.exposed = self.exposed.saturating_sub(1);
    }

    /// Whether the client may get an answer that says that the request has not run. For a request that may run twice,
    /// the client may also get it if a server has run it.
    pub fn may_refuse(&self, retry_safety: RetrySafety) -> bool {
        retry_safety != RetrySafety::AtMostOnce || self.exposed == 0
    }
}

/// The kinds of requests that a connection has carried: answers to `HEAD` have no body, whatever length they state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionHistory {
    has_head: bool,
    has_other: bool,
}

impl ConnectionHistory {
    /// Records that one more request is written to the connection.
    pub fn record_request(&mut self, is_head: bool) {
        self.has_head |= is_head;
        self.has_other |= !is_head;
    }

    /// Whether the end of an answer can be determined without knowing which of the requests it belongs to.
    fn is_uniform(&self) -> bool {
        !(self.has_head && self.has_other)
    }
}

/// Why received bytes are not an answer to the request.
#[derive(Debug)]
pub enum InvalidAnswer {
    /// The bytes are not valid HTTP.
    Malformed(HttpError),
    /// The answer belongs to another request, or was not made by the server itself.
    Mismatch(&'static str),
}

impl From<HttpError> for InvalidAnswer {
    fn from(error: HttpError) -> InvalidAnswer {
        InvalidAnswer::Malformed(error)
    }
}

/// Reads the answer to one request from a connection.
#[derive(Debug)]
pub struct AnswerReader {
    /// Bytes that were received and are not processed yet.
    pub buffer: BytesMut,
    attempt_id: String,
    is_head: bool,
    history: ConnectionHistory,
    /// The body of a surplus answer that is being skipped.
    surplus_body: Option<BodyReader>,
    /// A surplus answer has been received.
    had_surplus: bool,
    /// The connection may be reused, as far as is known.
    keep_alive: bool,
}

impl AnswerReader {
    /// A reader for the request with this id, on a connection with this history, which includes the request.
    pub fn new(attempt_id: &str, is_head: bool, history: ConnectionHistory) -> AnswerReader {
        AnswerReader {
            buffer: BytesMut::new(),
            attempt_id: attempt_id.to_string(),
            is_head,
            history,
            surplus_body: None,
            had_surplus: false,
            keep_alive: true,
        }
    }

    /// Records that the request was not written completely: whatever the answer is, the connection can't be reused.
    pub fn mark_request_incomplete(&mut self) {
        self.keep_alive = false;
    }

    /// Whether the bytes received while the request is still being written end the exchange: they are the answer to
    /// the request, or are so malformed that its answer can't follow them.
    pub fn has_early_answer(&self) -> bool {
        match read_answer_head(&mut self.buffer.clone(), MOST_HEAD, self.is_head) {
            Ok(Some(head)) => head.headers.get("x-attempt-id") == Some(&self.attempt_id),
            Ok(None) => false,
            Err(_) => true,
        }
    }

    /// The head of the answer to this request; `None`: more bytes are needed. One surplus answer to an earlier request
    /// may precede it. Two of them are taken for a misbehaving server.
    ///
    /// # Errors
    /// No answer to this request can be read from this connection any more.
    pub fn read_head(&mut self) -> Result<Option<AnswerHead>, InvalidAnswer> {
        loop {
            if !self.skip_surplus_body()? {
                return Ok(None);
            }
            let head = read_answer_head(&mut self.buffer, MOST_HEAD, self.is_head)?;
            let Some(head) = head else { return Ok(None) };
            match head.headers.single("x-attempt-id")? {
                Some(id) if id == self.attempt_id => {
                    self.keep_alive &= head.keep_alive;
                    return Ok(Some(head));
                }
                Some(_) if !self.had_surplus && self.history.is_uniform() => {
                    (self.had_surplus, self.keep_alive) = (true, false);
                    self.surplus_body = Some(BodyReader::new(head.framing, MAX_SKIPPED_BODY_BYTES)?);
                }
                Some(_) => return Err(InvalidAnswer::Mismatch("X-Attempt-Id of another request")),
                None => return Err(InvalidAnswer::Mismatch("X-Attempt-Id is missing")),
            }
        }
    }

    /// Skips the body of a surplus answer; `false`: more bytes of it must be received first.
    fn skip_surplus_body(&mut self) -> Result<bool, InvalidAnswer> {
        let Some(body) = &mut self.surplus_body else { return Ok(true) };
        while !body.is_complete() {
            if body.next(&mut self.buffer)? == Chunk::Incomplete {
                return Ok(false);
            }
        }
        self.surplus_body = None;
        Ok(true)
    }

    /// Whether the connection may carry another request; `is_complete`: the answer was read to its end. Bytes after
    /// the answer belong to no request and prevent reuse.
    pub fn is_reusable(&self, is_complete: bool) -> bool {
        is_complete && self.keep_alive && self.buffer.is_empty()
    }
}

/// What an answer means for its request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerVerdict {
    /// The server has not run the request: it may be sent to another server.
    NotExecuted {
        /// The server states that it is not the expected instance.
        misdirected: bool,
    },
    /// The answer goes to the client.
    Deliver(Outcome),
    /// The request should be sent to another server if it is safe to do so.
    TryElsewhere {
        /// The client gets this answer if no other server gives a better one.
        use_as_fallback: bool,
    },
    /// The answer was not made by the server itself.
    Mismatch(&'static str),
}

/// Determines from status and headers what an answer means for a request of this retry safety.
pub fn judge_answer(head: &AnswerHead, retry_safety: RetrySafety) -> AnswerVerdict {
    if head.status == 421 || head.headers.get("x-not-executed").is_some() {
        return AnswerVerdict::NotExecuted { misdirected: head.status == 421 };
    }
    if head.headers.all("content-encoding").any(|coding| !coding.eq_ignore_ascii_case("identity")) {
        return AnswerVerdict::Mismatch("unexpected content encoding");
    }
    match head.status {
        200..=299 if head.headers.get("x-response-seal").is_none() => {
            AnswerVerdict::Mismatch("X-Response-Seal is missing")
        }
        // The request may have run, and these statuses would promise the client that it has not.
        408 | 429 | 503 => AnswerVerdict::TryElsewhere { use_as_fallback: false },
        ..=499 => AnswerVerdict::Deliver(Outcome::Served),
        // A request that must not run twice can't be retried: its client gets the server's own error.
        _ if retry_safety == RetrySafety::AtMostOnce => AnswerVerdict::Deliver(Outcome::Error),
        _ => AnswerVerdict::TryElsewhere { use_as_fallback: true },
    }
}
