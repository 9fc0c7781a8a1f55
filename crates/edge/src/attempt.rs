//! One send of a request to one server over its sockets; what its answer means is decided in [`crate::exchange_state`].

use crate::exchange::{
    BodyPart, BodyStream, Exchange, RequestBody, ResponseBody, ServerResponse, MAX_BUFFERED_BODY_BYTES,
};
use crate::exchange_state::{judge_answer, AnswerReader, AnswerVerdict, SendCounts, SendDenial};
use crate::pool::{Link, Pool, SendError};
use bytes::{Bytes, BytesMut};
use nickeljunction_core::facade::{Outcome, RetrySafety};
use nickeljunction_core::life::Answer;
use nickeljunction_http::stream::{put_chunk, put_last_chunk, put_line, AnswerHead, BodyReader};
use nickeljunction_http::{Chunk, Framing, Headers};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// What is read from a connection at once, bytes: small where whole answers come, more within a long one.
const READ_BYTES: usize = 4 * 1024;
const STREAM_BYTES: usize = 16 * 1024;
/// Parts of a streamed answer that wait for the client at most.
const PARTS_AHEAD: usize = 2;
/// A body up to this length is written together with its head, bytes.
const WITH_HEAD: usize = 8 * 1024;
/// Header lines of a client that are not passed on, since this side writes its own or keeps them to itself.
const NOT_PASSED: [&str; 5] =
    ["authorization", "x-attempt-id", "x-deadline-remaining", "x-expected-instance", "x-tenant-name"];

/// A request while it is under way, shared by the core and the attempts.
pub(crate) struct Load {
    method: String,
    target: String,
    headers: Headers,
    body: RequestBody,
    attempt_id: String,
    pub(crate) tenant: Option<String>,
    pub(crate) backend: Rc<str>,
    pub(crate) repeat: RetrySafety,
    pub(crate) max_attempts: u32,
    /// Full worth is earned within this time, ms.
    pub(crate) aim_ms: f64,
    /// When its client stops waiting, ms of the program's clock.
    pub(crate) deadline: f64,
    /// Its unit is good for a first byte until then, ms of the program's clock.
    pub(crate) unit_valid_until: f64,
    reply: RefCell<Option<oneshot::Sender<Answer<ServerResponse>>>>,
    /// What went out of it.
    sends: Cell<SendCounts>,
    /// The module has it, and had the chance to send it at once.
    pub(crate) waits: Cell<bool>,
    /// Why its last send did not begin; `None`: each that the module asked for did.
    pub(crate) withheld: Cell<Option<SendDenial>>,
    /// The budget of its service has counted it.
    pub(crate) counted: Cell<bool>,
    /// The last whole answer that told of a failure.
    failure: RefCell<Option<ServerResponse>>,
    /// Sends that were given up and go on all the same, and what the client is told should none of them be answered.
    kept: RefCell<Vec<(usize, AbortHandle)>>,
    parked: RefCell<Option<Answer<ServerResponse>>>,
    _held: Rc<()>,
}

impl Load {
    /// The request of a exchange; `held` is dropped with it.
    pub(crate) fn new(exchange: Exchange, held: Rc<()>) -> Load {
        Load {
            method: exchange.method,
            target: exchange.target,
            headers: exchange.headers,
            body: exchange.body,
            attempt_id: exchange.attempt_id,
            tenant: exchange.tenant,
            backend: exchange.backend,
            repeat: exchange.retry_safety,
            max_attempts: exchange.max_attempts,
            aim_ms: exchange.target_latency_ms,
            deadline: exchange.arrived + exchange.timeout_ms,
            unit_valid_until: exchange.unit_valid_until,
            reply: RefCell::new(Some(exchange.reply)),
            sends: Cell::default(),
            waits: Cell::new(false),
            withheld: Cell::new(None),
            counted: Cell::new(false),
            failure: RefCell::new(None),
            kept: RefCell::default(),
            parked: RefCell::default(),
            _held: held,
        }
    }

    /// The client has gone.
    pub(crate) fn is_left(&self) -> bool {
        self.reply.borrow().as_ref().is_some_and(oneshot::Sender::is_closed)
    }

    /// Ready when the client has gone; never once it has its answer.
    pub(crate) async fn left(&self) {
        poll_fn(|context| match self.reply.borrow_mut().as_mut() {
            Some(reply) => reply.poll_closed(context),
            None => Poll::Pending,
        })
        .await;
    }

    /// Its body is still here to be sent.
    pub(crate) fn has_body(&self) -> bool {
        match &self.body {
            RequestBody::Buffered(_) => true,
            RequestBody::Streamed(stream) => stream.borrow().is_some(),
        }
    }

    /// It has its answer.
    pub(crate) fn is_answered(&self) -> bool {
        self.reply.borrow().is_none()
    }

    /// This send goes on although it was given up: until it ends the client gets a server's answer or none.
    pub(crate) fn keep(&self, attempt: usize, send: AbortHandle) {
        self.kept.borrow_mut().push((attempt, send));
    }

    /// Another send has begun in place of those that were given up: they end.
    pub(crate) fn cut_kept(&self) {
        self.kept.borrow_mut().drain(..).for_each(|(_, send)| send.abort());
    }

    /// A send has ended, with this answer if it was kept and has one; false if it was not kept.
    pub(crate) fn kept_ended(&self, attempt: usize, served: &mut Option<ServerResponse>) -> bool {
        let known = self.kept.borrow().iter().position(|(kept, _)| *kept == attempt);
        let Some(at) = known else { return false };
        self.kept.borrow_mut().remove(at);
        let parked = self.parked.borrow_mut().take();
        if let Some(answer) = served.take().map(Answer::Served).or(parked) {
            self.answer(answer);
        }
        true
    }

    /// Gives the client its answer. A refusal would promise that the request has not run and never will.
    pub(crate) fn answer(&self, answer: Answer<ServerResponse>) {
        if !matches!(answer, Answer::Served(_)) && !self.kept.borrow().is_empty() {
            *self.parked.borrow_mut() = Some(answer);
            return;
        }
        let Some(reply) = self.reply.borrow_mut().take() else { return };
        let answer = match (answer, self.failure.borrow_mut().take()) {
            (Answer::Served(served), _) | (_, Some(served)) => Answer::Served(served),
            (Answer::ShortOnCapacityReply(_), _) if !self.sends().may_refuse(self.repeat) => Answer::Failed,
            (answer, _) => answer,
        };
        // A client that has gone awaits nothing.
        let _ = reply.send(answer);
    }

    /// What went out of it so far.
    pub(crate) fn sends(&self) -> SendCounts {
        self.sends.get()
    }

    /// Where it is refused now: it waited for a server with room, and none had any. One that is refused as it comes has too
    /// little time, or is held not to be worth a wait.
    pub(crate) fn found_no_room(&self) -> bool {
        let unsent = self.sends().begun() == 0;
        unsent && self.waits.get() && self.withheld.get().is_none_or(SendDenial::is_capacity_limit)
    }

    /// Something goes out of it, or has turned out not to have.
    pub(crate) fn note(&self, change: impl FnOnce(&mut SendCounts)) {
        let mut sends = self.sends.get();
        change(&mut sends);
        self.sends.set(sends);
    }

    fn is_head(&self) -> bool {
        self.method == "HEAD"
    }

    /// The head as the server of this id gets it, with so many ms left.
    fn head(&self, id: &str, left_ms: f64, length: Option<u64>) -> BytesMut {
        let mut to = BytesMut::with_capacity(512);
        for part in [self.method.as_bytes(), b" ", self.target.as_bytes(), b" HTTP/1.1\r\n"] {
            to.extend_from_slice(part);
        }
        for (name, value) in self.headers.passed_on() {
            if !NOT_PASSED.iter().any(|other| name.eq_ignore_ascii_case(other)) {
                put_line(&mut to, name, value);
            }
        }
        put_line(&mut to, "X-Attempt-Id", self.attempt_id.as_bytes());
        put_line(&mut to, "X-Deadline-Remaining", whole_ms(left_ms).to_string().as_bytes());
        put_line(&mut to, "X-Expected-Instance", id.as_bytes());
        if let Some(tenant) = &self.tenant {
            put_line(&mut to, "X-Tenant-Name", tenant.as_bytes());
        }
        match length {
            Some(0) if matches!(&self.method[..], "GET" | "HEAD" | "DELETE" | "OPTIONS" | "TRACE") => {}
            Some(length) => put_line(&mut to, "Content-Length", length.to_string().as_bytes()),
            None => put_line(&mut to, "Transfer-Encoding", b"chunked"),
        }
        to.extend_from_slice(b"\r\n");
        to
    }
}

fn whole_ms(ms: f64) -> u64 {
    ms.max(1.0) as u64
}

/// How a send ended.
pub(crate) struct Ended {
    pub(crate) outcome: Outcome,
    /// The answer for the client.
    pub(crate) served: Option<ServerResponse>,
    /// The rest of a streamed answer, to be passed on.
    pub(crate) rest: Option<Rest>,
    /// The server said that it is another one.
    pub(crate) misdirected: bool,
}

impl Ended {
    fn with(outcome: Outcome, served: Option<ServerResponse>, rest: Option<Rest>) -> Ended {
        Ended { outcome, served, rest, misdirected: false }
    }
}

/// Sends a request to the server of this id, once. Dropping the future gives the attempt up and closes its connection.
/// The server is told how many ms are left as the request is written.
pub(crate) async fn attempt(pool: &Rc<Pool>, id: &str, load: &Load, left_ms: impl Fn() -> f64) -> Ended {
    match exchange(pool, id, load, left_ms).await {
        Ok(ended) => ended,
        Err(error) => {
            log::debug!("event=send_failed server={id} attempt={} error=\"{error}\"", load.attempt_id);
            Ended::with(error.outcome(), None, None)
        }
    }
}

async fn exchange(
    pool: &Rc<Pool>,
    id: &str,
    load: &Load,
    left_ms: impl Fn() -> f64,
) -> Result<Ended, SendError> {
    let (mut whole, mut stream) = (Bytes::new(), None);
    match &load.body {
        RequestBody::Buffered(body) => whole = body.clone(),
        RequestBody::Streamed(body) => stream = Some(body.borrow_mut().take().ok_or(SendError::NoBody)?),
    }
    let length = stream.as_ref().map_or(Some(whole.len() as u64), |stream| stream.length);
    let together = whole.len() <= WITH_HEAD;
    let head = |left_ms| {
        let mut head = load.head(id, left_ms, length);
        head.extend_from_slice(if together { &whole } else { &[] });
        head
    };
    let (mut link, head, written) = match begin(pool, id, || head(left_ms())).await {
        Ok(begun) => begun,
        Err(error) => {
            // Nothing of it has gone out: another server may have it.
            if let RequestBody::Streamed(body) = &load.body {
                *body.borrow_mut() = stream;
            }
            return Err(error);
        }
    };
    if together {
        whole = Bytes::new();
    }
    let peer = link.peer;
    load.note(SendCounts::mark_exposed);
    link.carried.record_request(load.is_head());
    let came = AnswerReader::new(&load.attempt_id, load.is_head(), link.carried);
    let mut incoming = Incoming { came, peer };
    let sent = match stream {
        None => {
            let wrote = match link.stream.write_all(&head[written..]).await {
                Ok(()) => link.stream.write_all(&whole).await,
                error => error,
            };
            wrote.map_err(|error| SendError::Write(peer, error))
        }
        Some(stream) => {
            let (mut reading, mut writing) = link.stream.split();
            let sending = async {
                writing.write_all(&head[written..]).await.map_err(|error| SendError::Write(peer, error))?;
                send_stream(&mut writing, stream, peer).await
            };
            tokio::pin!(sending);
            loop {
                tokio::select! {
                    biased;
                    sent = &mut sending => break sent,
                    came = incoming.more(&mut reading, READ_BYTES) => came?,
                }
                // A server may answer before it has the whole body: what it would still get is of no use to it.
                if incoming.came.has_early_answer() {
                    incoming.came.mark_request_incomplete();
                    break Ok(());
                }
            }
        }
    };
    if let Err(error) = sent {
        if matches!(error, SendError::BodyBroke(_)) {
            return Err(error);
        }
        // It may have answered and closed before it read all.
        incoming.came.mark_request_incomplete();
        return match answer(pool, id, load, link, incoming).await {
            Ok(ended) => Ok(ended),
            Err(_) => Err(error),
        };
    }
    answer(pool, id, load, link, incoming).await
}

/// Writes the start of a request to a connection: what was written to it, and how many bytes of that have gone out.
async fn begin(
    pool: &Pool,
    id: &str,
    head: impl Fn() -> BytesMut,
) -> Result<(Link, BytesMut, usize), SendError> {
    loop {
        let (mut link, kept) = pool.take(id).await?;
        let head = head();
        match link.stream.write(&head).await {
            Ok(written) if written > 0 => return Ok((link, head, written)),
            // A kept connection whose end came between the look at it and the write: nothing has gone out.
            _ if kept => {}
            Ok(_) => return Err(SendError::Unwritten(link.peer, io::ErrorKind::WriteZero.into())),
            Err(error) => return Err(SendError::Unwritten(link.peer, error)),
        }
    }
}

/// Writes a streamed body.
async fn send_stream(
    writing: &mut (impl AsyncWriteExt + Unpin),
    mut stream: BodyStream,
    peer: SocketAddr,
) -> Result<(), SendError> {
    let failed = |error| SendError::Write(peer, error);
    let mut left = stream.length;
    while let Some(part) = stream.parts.recv().await {
        match (part, &mut left) {
            (BodyPart::Data(bytes), Some(left)) => {
                // More than stated would be read as the next request.
                *left = left.checked_sub(bytes.len() as u64).ok_or(SendError::BodyBroke(peer))?;
                writing.write_all(&bytes).await.map_err(failed)?;
            }
            (BodyPart::Data(bytes), None) => {
                let mut chunk = BytesMut::with_capacity(bytes.len() + 16);
                put_chunk(&mut chunk, &bytes);
                writing.write_all(&chunk).await.map_err(failed)?;
            }
            (BodyPart::End, Some(0)) => return Ok(()),
            (BodyPart::End, Some(_)) => break,
            (BodyPart::End, None) => {
                let mut end = BytesMut::with_capacity(8);
                put_last_chunk(&mut end);
                return writing.write_all(&end).await.map_err(failed);
            }
        }
    }
    Err(SendError::BodyBroke(peer))
}

/// What comes from a server.
struct Incoming {
    came: AnswerReader,
    peer: SocketAddr,
}

impl Incoming {
    /// Reads some more.
    async fn more(&mut self, reading: &mut (impl AsyncRead + Unpin), most: usize) -> Result<(), SendError> {
        let from = &mut self.came.buffer;
        let begun = !from.is_empty();
        from.reserve(most);
        match reading.read_buf(from).await {
            Ok(0) if begun => Err(SendError::Cut(self.peer)),
            Ok(0) => Err(SendError::Silent(self.peer, io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => Ok(()),
            Err(_) if begun => Err(SendError::Cut(self.peer)),
            Err(error) => Err(SendError::Silent(self.peer, error)),
        }
    }

    /// The head of the answer to this request.
    async fn head(&mut self, link: &mut Link) -> Result<AnswerHead, SendError> {
        loop {
            match self.came.read_head().map_err(|flaw| SendError::flaw(self.peer, flaw))? {
                Some(head) => return Ok(head),
                None => self.more(&mut link.stream, READ_BYTES).await?,
            }
        }
    }

    /// The body, or its start where it is longer than [`MAX_BUFFERED_BODY_BYTES`].
    async fn body(&mut self, link: &mut Link, reader: &mut BodyReader) -> Result<Bytes, SendError> {
        let mut whole = BytesMut::new();
        loop {
            let step = reader.next(&mut self.came.buffer);
            match step.map_err(|error| SendError::Garbled(self.peer, error))? {
                Chunk::Part(part) if whole.is_empty() && reader.is_complete() => return Ok(part),
                Chunk::Part(part) => whole.extend_from_slice(&part),
                Chunk::End => return Ok(whole.freeze()),
                Chunk::Incomplete => match self.more(&mut link.stream, READ_BYTES).await {
                    // The head has come: what breaks now is an answer that is cut off.
                    Err(SendError::Silent(peer, _)) => return Err(SendError::Cut(peer)),
                    other => other?,
                },
            }
            if reader.is_complete() || whole.len() > MAX_BUFFERED_BODY_BYTES {
                return Ok(whole.freeze());
            }
        }
    }
}

/// Reads the answer and says what it proves.
async fn answer(
    pool: &Rc<Pool>,
    id: &str,
    load: &Load,
    mut link: Link,
    mut incoming: Incoming,
) -> Result<Ended, SendError> {
    let head = incoming.head(&mut link).await?;
    link.heed(head.headers.get("keep-alive"));
    let mut reader =
        BodyReader::new(head.framing, u64::MAX).map_err(|error| SendError::Garbled(link.peer, error))?;
    let (outcome, deliver, use_as_fallback) = match judge_answer(&head, load.repeat) {
        AnswerVerdict::NotExecuted { misdirected } => {
            load.note(SendCounts::mark_not_executed);
            // Its body matters only for the connection, and not enough to wait for it.
            while !reader.is_complete() {
                if matches!(reader.next(&mut incoming.came.buffer), Ok(Chunk::Incomplete) | Err(_)) {
                    break;
                }
            }
            give_back(pool, id, link, &incoming, reader.is_complete() && !misdirected);
            return Ok(Ended { misdirected, ..Ended::with(Outcome::TurnedAway, None, None) });
        }
        AnswerVerdict::Mismatch(what) => return Err(SendError::Foreign(link.peer, what)),
        AnswerVerdict::Deliver(outcome) => (outcome, true, false),
        AnswerVerdict::TryElsewhere { use_as_fallback } => (Outcome::Error, false, use_as_fallback),
    };
    let long = matches!(head.framing, Framing::Length(length) if length > MAX_BUFFERED_BODY_BYTES);
    let begin = if long { Bytes::new() } else { incoming.body(&mut link, &mut reader).await? };
    if reader.is_complete() {
        give_back(pool, id, link, &incoming, true);
        let served = ServerResponse {
            status: head.status,
            headers: head.headers,
            body: ResponseBody::Buffered(begin),
        };
        if use_as_fallback {
            *load.failure.borrow_mut() = Some(served);
            return Ok(Ended::with(outcome, None, None));
        }
        return Ok(Ended::with(outcome, deliver.then_some(served), None));
    }
    if !deliver {
        return Ok(Ended::with(outcome, None, None));
    }
    let (to, parts) = mpsc::channel(PARTS_AHEAD);
    let length = match head.framing {
        Framing::Length(length) => Some(length as u64),
        Framing::Chunked => None,
    };
    let body = ResponseBody::Streamed(BodyStream { length, parts });
    let served = ServerResponse { status: head.status, headers: head.headers, body };
    let rest = Rest { id: id.to_string(), link, incoming, reader, begin, to };
    Ok(Ended::with(outcome, Some(served), Some(rest)))
}

/// Keeps a connection that may carry another request; any other is closed.
fn give_back(pool: &Pool, id: &str, link: Link, incoming: &Incoming, read: bool) {
    if incoming.came.is_reusable(read) {
        pool.keep(id, link);
    }
}

/// The rest of an answer that is passed on as it comes.
pub(crate) struct Rest {
    id: String,
    link: Link,
    incoming: Incoming,
    reader: BodyReader,
    begin: Bytes,
    to: mpsc::Sender<BodyPart>,
}

impl Rest {
    /// Passes it on until it is whole, breaks, or the client has gone; a break shows as an end without [`BodyPart::End`].
    /// Dropping the future breaks it.
    pub(crate) async fn pass_on(mut self, pool: &Pool) {
        let mut begin = std::mem::take(&mut self.begin);
        while !begin.is_empty() {
            let part = begin.split_to(begin.len().min(STREAM_BYTES));
            if self.to.send(BodyPart::Data(part)).await.is_err() {
                return;
            }
        }
        loop {
            match self.reader.next(&mut self.incoming.came.buffer) {
                Ok(Chunk::Part(part)) => {
                    if self.to.send(BodyPart::Data(part)).await.is_err() {
                        return;
                    }
                }
                Ok(Chunk::End) => break,
                Ok(Chunk::Incomplete) => {
                    let more = self.incoming.more(&mut self.link.stream, STREAM_BYTES);
                    let more = tokio::select! {
                        biased;
                        more = more => more,
                        () = self.to.closed() => return,
                    };
                    if let Err(error) = more {
                        log::debug!("event=answer_broke server={} error=\"{error}\"", self.id);
                        return;
                    }
                }
                Err(error) => {
                    log::debug!("event=answer_broke server={} error=\"{error}\"", self.id);
                    return;
                }
            }
        }
        give_back(pool, &self.id, self.link, &self.incoming, true);
        // A client that has gone awaits nothing.
        let _ = self.to.send(BodyPart::End).await;
    }
}
