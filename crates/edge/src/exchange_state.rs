//! What happens to a request on its way to servers, without I/O: whose an answer is, what it proves, whether the request
//! may be sent again, and whether the connection may carry another one.
//!
//! Until the first byte is written the request has not run; from then on it may have, unless the server says otherwise.
//! An answer counts when it names the request's own id: bytes of an earlier one may come in its place.

use bytes::BytesMut;
use nickeljunction_core::facade::{Outcome, RetrySafety};
use nickeljunction_http::stream::{read_answer_head, AnswerHead, BodyReader};
use nickeljunction_http::{Chunk, HttpError, MOST_HEAD};

/// A surplus answer up to this length is read past, bytes; one longer ends the connection.
const MOST_SURPLUS: u64 = 1024 * 1024;

/// Why a send does not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDenial {
    /// As many servers have it as its route allows.
    MostSends,
    /// A server may have run it, and it must not run twice.
    MayHaveRun,
    /// Its client has gone.
    ClientGone,
    /// Its streamed body went out with an earlier send.
    NoBody,
    /// It could not end before this process does.
    Shutdown,
    /// The server is no longer in the list.
    ServerGone,
    /// A cold server that may not be sent more just now.
    ColdServer,
    /// Its tenant has no unit for it.
    Units,
    /// The service's budget of further sends is used up.
    Budget,
}

impl SendDenial {
    /// The server had no room for it; the other reasons say nothing of servers.
    pub fn is_capacity_limit(self) -> bool {
        self == SendDenial::ColdServer
    }

    /// The reason in words, for the log.
    pub fn reason(self) -> &'static str {
        match self {
            SendDenial::MostSends => "most sends",
            SendDenial::MayHaveRun => "may have run",
            SendDenial::ClientGone => "client has gone",
            SendDenial::NoBody => "body is gone",
            SendDenial::Shutdown => "this gateway is about to end",
            SendDenial::ServerGone => "server is gone",
            SendDenial::ColdServer => "cold server",
            SendDenial::Units => "units",
            SendDenial::Budget => "budget",
        }
    }
}

/// The sends of one request, over all servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SendCounts {
    begun: u32,
    exposed: u32,
}

impl SendCounts {
    /// Servers that have it, or are being sent it.
    pub fn begun(&self) -> u32 {
        self.begun
    }

    /// May it be sent to one more server, where its route allows `most`?
    ///
    /// # Errors
    /// Why not.
    pub fn check_allowed(&self, repeat: RetrySafety, most: u32) -> Result<(), SendDenial> {
        if self.begun >= most {
            return Err(SendDenial::MostSends);
        }
        if repeat == RetrySafety::AtMostOnce && self.exposed > 0 {
            return Err(SendDenial::MayHaveRun);
        }
        Ok(())
    }

    /// A send begins; nothing of it has gone out yet.
    pub fn begin(&mut self) {
        self.begun += 1;
    }

    /// A send ended before its first byte.
    pub fn cancel(&mut self) {
        self.begun = self.begun.saturating_sub(1);
    }

    /// The first byte of a send has gone out.
    pub fn mark_exposed(&mut self) {
        self.exposed += 1;
    }

    /// A server vouches for not having run it.
    pub fn mark_not_executed(&mut self) {
        self.exposed = self.exposed.saturating_sub(1);
    }

    /// Its client may be told that it has not run. What may run twice may run after a refusal, too.
    pub fn may_refuse(&self, repeat: RetrySafety) -> bool {
        repeat != RetrySafety::AtMostOnce || self.exposed == 0
    }
}

/// The sorts of requests that a connection has carried: answers to `HEAD` have no body whatever they state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionHistory {
    heads: bool,
    others: bool,
}

impl ConnectionHistory {
    /// One more request goes out on it.
    pub fn record_request(&mut self, to_head: bool) {
        self.heads |= to_head;
        self.others |= !to_head;
    }

    /// The end of an answer can be told although nobody knows which of the requests it belongs to.
    fn one_sort(&self) -> bool {
        !(self.heads && self.others)
    }
}

/// Why what came is no answer to the request.
#[derive(Debug)]
pub enum InvalidAnswer {
    /// It is no HTTP.
    Malformed(HttpError),
    /// It is the answer to another request, or not the server's own.
    Mismatch(&'static str),
}

impl From<HttpError> for InvalidAnswer {
    fn from(error: HttpError) -> InvalidAnswer {
        InvalidAnswer::Malformed(error)
    }
}

/// What comes on a connection in answer to one request.
#[derive(Debug)]
pub struct AnswerReader {
    /// What has been read and not dealt with.
    pub buffer: BytesMut,
    id: String,
    to_head: bool,
    carried: ConnectionHistory,
    /// The body of a surplus answer that is being read past.
    surplus: Option<BodyReader>,
    /// There has been one.
    passed: bool,
    /// The connection may carry another request as far as is known.
    keep: bool,
}

impl AnswerReader {
    /// For the request of this id on a connection that has carried these sorts of requests, this one among them.
    pub fn new(id: &str, to_head: bool, carried: ConnectionHistory) -> AnswerReader {
        let buffer = BytesMut::new();
        AnswerReader {
            buffer,
            id: id.to_string(),
            to_head,
            carried,
            surplus: None,
            passed: false,
            keep: true,
        }
    }

    /// The request did not go out whole: whatever the answer, the connection carries no other.
    pub fn mark_request_incomplete(&mut self) {
        self.keep = false;
    }

    /// What has come while the request is still being written is the answer to it, or nothing that could be followed by
    /// it.
    pub fn has_early_answer(&self) -> bool {
        match read_answer_head(&mut self.buffer.clone(), MOST_HEAD, self.to_head) {
            Ok(Some(head)) => head.headers.get("x-attempt-id") == Some(&self.id),
            Ok(None) => false,
            Err(_) => true,
        }
    }

    /// The head of the answer to this request; `None`: more must be read first. One surplus answer to an earlier request
    /// may come before it; two would be no accident.
    ///
    /// # Errors
    /// No answer to this request will come on this connection.
    pub fn read_head(&mut self) -> Result<Option<AnswerHead>, InvalidAnswer> {
        loop {
            if !self.read_past()? {
                return Ok(None);
            }
            let head = read_answer_head(&mut self.buffer, MOST_HEAD, self.to_head)?;
            let Some(head) = head else { return Ok(None) };
            match head.headers.single("x-attempt-id")? {
                Some(id) if id == self.id => {
                    self.keep &= head.keep_alive;
                    return Ok(Some(head));
                }
                Some(_) if !self.passed && self.carried.one_sort() => {
                    (self.passed, self.keep) = (true, false);
                    self.surplus = Some(BodyReader::new(head.framing, MOST_SURPLUS)?);
                }
                Some(_) => return Err(InvalidAnswer::Mismatch("another id")),
                None => return Err(InvalidAnswer::Mismatch("no id")),
            }
        }
    }

    /// Reads past the body of a surplus answer; `false`: more of it must come first.
    fn read_past(&mut self) -> Result<bool, InvalidAnswer> {
        let Some(body) = &mut self.surplus else { return Ok(true) };
        while !body.is_complete() {
            if body.next(&mut self.buffer)? == Chunk::Incomplete {
                return Ok(false);
            }
        }
        self.surplus = None;
        Ok(true)
    }

    /// The connection may carry another request, once the answer was read as far as `whole` says. Bytes past an answer
    /// belong to no request.
    pub fn is_reusable(&self, whole: bool) -> bool {
        whole && self.keep && self.buffer.is_empty()
    }
}

/// What an answer to the request means for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerVerdict {
    /// It has not run: another server may have it.
    NotExecuted {
        /// The server is another one than was meant.
        misdirected: bool,
    },
    /// The client's answer.
    Deliver(Outcome),
    /// Another server may do better where that does no harm.
    TryElsewhere {
        /// The answer is the client's should no other server do better.
        use_as_fallback: bool,
    },
    /// Not the server's own answer.
    Mismatch(&'static str),
}

/// What status and lines of an answer mean for a request that may be repeated like this.
pub fn judge_answer(head: &AnswerHead, repeat: RetrySafety) -> AnswerVerdict {
    if head.status == 421 || head.headers.get("x-not-executed").is_some() {
        return AnswerVerdict::NotExecuted { misdirected: head.status == 421 };
    }
    if head.headers.all("content-encoding").any(|coding| !coding.eq_ignore_ascii_case("identity")) {
        return AnswerVerdict::Mismatch("encoded");
    }
    match head.status {
        200..=299 if head.headers.get("x-response-seal").is_none() => AnswerVerdict::Mismatch("no seal"),
        // It may have run, and the status would promise the client that it has not.
        408 | 429 | 503 => AnswerVerdict::TryElsewhere { use_as_fallback: false },
        ..=499 => AnswerVerdict::Deliver(Outcome::Served),
        // What repeats can go elsewhere; what can't is told what the server told.
        _ if repeat == RetrySafety::AtMostOnce => AnswerVerdict::Deliver(Outcome::Error),
        _ => AnswerVerdict::TryElsewhere { use_as_fallback: true },
    }
}
