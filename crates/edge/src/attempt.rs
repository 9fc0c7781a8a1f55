//! One send of a request to one server, and what its answer proves.
//!
//! Until the first byte is written the request has not run; from then on it may have, unless the server says otherwise.
//! An answer counts when it names the request's own id: bytes of an earlier one may come in its place.

use crate::exchange::{Body, Exchange, Part, Served, ServedBody, Stream, MOST_WHOLE};
use crate::pool::{Link, Pool, SendError};
use bytes::{Bytes, BytesMut};
use nickeljunction_core::facade::{Outcome, Repeat};
use nickeljunction_core::life::Answer;
use nickeljunction_http::stream::{
    put_chunk, put_last_chunk, put_line, read_answer_head, AnswerHead, BodyReader,
};
use nickeljunction_http::{Chunk, Framing, Headers, HttpError, MOST_HEAD};
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
/// A surplus answer up to this length is read past, bytes; one longer ends the connection.
const MOST_SURPLUS: u64 = 1024 * 1024;
/// Header lines of a client that are not passed on, since this side writes its own or keeps them to itself.
const NOT_PASSED: [&str; 5] =
    ["authorization", "x-attempt-id", "x-deadline-remaining", "x-expected-instance", "x-tenant-name"];

/// A request while it is under way, shared by the core and the attempts.
pub(crate) struct Load {
    method: String,
    target: String,
    headers: Headers,
    body: Body,
    attempt_id: String,
    pub(crate) tenant: Option<String>,
    pub(crate) backend: Rc<str>,
    pub(crate) repeat: Repeat,
    pub(crate) max_attempts: u32,
    /// When its client stops waiting, ms of the program's clock.
    pub(crate) deadline: f64,
    /// Its unit is good for a first byte until then, ms of the program's clock.
    pub(crate) unit_until: f64,
    reply: RefCell<Option<oneshot::Sender<Answer<Served>>>>,
    /// Servers that it has been sent to, or is being.
    pub(crate) sends: Cell<u32>,
    /// The budget of its service has counted it.
    pub(crate) counted: Cell<bool>,
    /// Sends that have run or may have.
    exposed: Cell<u32>,
    /// The last whole answer that told of a failure.
    failure: RefCell<Option<Served>>,
    /// Sends that were given up and go on all the same, and what the client is told should none of them be answered.
    kept: RefCell<Vec<(usize, AbortHandle)>>,
    parked: RefCell<Option<Answer<Served>>>,
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
            repeat: exchange.repeat,
            max_attempts: exchange.max_attempts,
            deadline: exchange.arrived + exchange.patience_ms,
            unit_until: exchange.unit_until,
            reply: RefCell::new(Some(exchange.reply)),
            sends: Cell::new(0),
            counted: Cell::new(false),
            exposed: Cell::new(0),
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
            Body::Whole(_) => true,
            Body::Streamed(stream) => stream.borrow().is_some(),
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
    pub(crate) fn kept_ended(&self, attempt: usize, served: &mut Option<Served>) -> bool {
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
    pub(crate) fn answer(&self, answer: Answer<Served>) {
        if !matches!(answer, Answer::Served(_)) && !self.kept.borrow().is_empty() {
            *self.parked.borrow_mut() = Some(answer);
            return;
        }
        let Some(reply) = self.reply.borrow_mut().take() else { return };
        let answer = match (answer, self.failure.borrow_mut().take()) {
            (Answer::Served(served), _) | (_, Some(served)) => Answer::Served(served),
            (Answer::ShortOnCapacityReply(_), _) if self.repeat == Repeat::Once && self.exposed.get() > 0 => {
                Answer::Failed
            }
            (answer, _) => answer,
        };
        // A client that has gone awaits nothing.
        let _ = reply.send(answer);
    }

    fn expose(&self) {
        self.exposed.set(self.exposed.get() + 1);
    }

    /// The server vouches for not having run it.
    fn absolve(&self) {
        self.exposed.set(self.exposed.get().saturating_sub(1));
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
    pub(crate) served: Option<Served>,
    /// The rest of a streamed answer, to be passed on.
    pub(crate) rest: Option<Rest>,
    /// The server said that it is another one.
    pub(crate) misdirected: bool,
}

impl Ended {
    fn with(outcome: Outcome, served: Option<Served>, rest: Option<Rest>) -> Ended {
        Ended { outcome, served, rest, misdirected: false }
    }
}

/// Sends a request to the server of this id, once. Dropping the future gives the attempt up and closes its connection.
/// The server is told that `margin_ms` less is left than there is.
pub(crate) async fn attempt(
    pool: &Rc<Pool>,
    id: &str,
    load: &Load,
    now: impl Fn() -> f64,
    margin_ms: f64,
) -> Ended {
    match exchange(pool, id, load, || load.deadline - now() - margin_ms).await {
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
        Body::Whole(body) => whole = body.clone(),
        Body::Streamed(body) => stream = Some(body.borrow_mut().take().ok_or(SendError::NoBody)?),
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
            if let Body::Streamed(body) = &load.body {
                *body.borrow_mut() = stream;
            }
            return Err(error);
        }
    };
    if together {
        whole = Bytes::new();
    }
    let peer = link.peer;
    load.expose();
    let mut incoming = Incoming { from: BytesMut::new(), peer, clean: true };
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
                if incoming.answered(load) {
                    incoming.clean = false;
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
        incoming.clean = false;
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
    mut stream: Stream,
    peer: SocketAddr,
) -> Result<(), SendError> {
    let failed = |error| SendError::Write(peer, error);
    let mut left = stream.length;
    while let Some(part) = stream.parts.recv().await {
        match (part, &mut left) {
            (Part::Data(bytes), Some(left)) => {
                // More than stated would be read as the next request.
                *left = left.checked_sub(bytes.len() as u64).ok_or(SendError::BodyBroke(peer))?;
                writing.write_all(&bytes).await.map_err(failed)?;
            }
            (Part::Data(bytes), None) => {
                let mut chunk = BytesMut::with_capacity(bytes.len() + 16);
                put_chunk(&mut chunk, &bytes);
                writing.write_all(&chunk).await.map_err(failed)?;
            }
            (Part::End, Some(0)) => return Ok(()),
            (Part::End, Some(_)) => break,
            (Part::End, None) => {
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
    from: BytesMut,
    peer: SocketAddr,
    /// The connection can be used again as far as is known.
    clean: bool,
}

impl Incoming {
    /// Reads some more.
    async fn more(&mut self, reading: &mut (impl AsyncRead + Unpin), most: usize) -> Result<(), SendError> {
        let begun = !self.from.is_empty();
        self.from.reserve(most);
        match reading.read_buf(&mut self.from).await {
            Ok(0) if begun => Err(SendError::Cut(self.peer)),
            Ok(0) => Err(SendError::Silent(self.peer, io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => Ok(()),
            Err(_) if begun => Err(SendError::Cut(self.peer)),
            Err(error) => Err(SendError::Silent(self.peer, error)),
        }
    }

    fn garbled(&self, error: HttpError) -> SendError {
        SendError::Garbled(self.peer, error)
    }

    /// What has come is the answer to this request, or nothing that could be followed by it.
    fn answered(&self, load: &Load) -> bool {
        match read_answer_head(&mut self.from.clone(), MOST_HEAD, load.method == "HEAD") {
            Ok(Some(head)) => head.headers.get("x-attempt-id") == Some(&load.attempt_id),
            Ok(None) => false,
            Err(_) => true,
        }
    }

    /// The head of the answer to this request. One surplus answer to an earlier request may come before it; two would be
    /// no accident.
    async fn head(&mut self, link: &mut Link, load: &Load) -> Result<AnswerHead, SendError> {
        for turn in 0..2 {
            let head = loop {
                let head = read_answer_head(&mut self.from, MOST_HEAD, load.method == "HEAD");
                match head.map_err(|error| self.garbled(error))? {
                    Some(head) => break head,
                    None => self.more(&mut link.stream, READ_BYTES).await?,
                }
            };
            match head.headers.single("x-attempt-id").map_err(|error| self.garbled(error))? {
                Some(id) if id == load.attempt_id => return Ok(head),
                Some(_) if turn == 0 => {
                    self.clean = false;
                    self.skip(link, &head).await?;
                }
                Some(_) => break,
                None => return Err(SendError::Foreign(self.peer, "no id")),
            }
        }
        Err(SendError::Foreign(self.peer, "another id"))
    }

    /// Reads past the body of an answer to another request.
    async fn skip(&mut self, link: &mut Link, head: &AnswerHead) -> Result<(), SendError> {
        let reader = BodyReader::new(head.framing, MOST_SURPLUS);
        let mut reader = reader.map_err(|error| self.garbled(error))?;
        while !reader.is_complete() {
            match reader.next(&mut self.from).map_err(|error| self.garbled(error))? {
                Chunk::Incomplete => self.more(&mut link.stream, READ_BYTES).await?,
                Chunk::Part(_) | Chunk::End => {}
            }
        }
        Ok(())
    }

    /// The body, or its start where it is longer than [`MOST_WHOLE`].
    async fn body(&mut self, link: &mut Link, reader: &mut BodyReader) -> Result<Bytes, SendError> {
        let mut whole = BytesMut::new();
        loop {
            let step = reader.next(&mut self.from).map_err(|error| self.garbled(error))?;
            match step {
                Chunk::Part(part) if whole.is_empty() && reader.is_complete() => return Ok(part),
                Chunk::Part(part) => whole.extend_from_slice(&part),
                Chunk::End => return Ok(whole.freeze()),
                Chunk::Incomplete => match self.more(&mut link.stream, READ_BYTES).await {
                    // The head has come: what breaks now is an answer that is cut off.
                    Err(SendError::Silent(peer, _)) => return Err(SendError::Cut(peer)),
                    other => other?,
                },
            }
            if reader.is_complete() || whole.len() > MOST_WHOLE {
                return Ok(whole.freeze());
            }
        }
    }
}

/// What the status and lines of an answer prove.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Proof {
    /// It has not run.
    TurnedAway,
    /// The client's answer.
    Answer,
    /// It has run, and failed.
    Failure,
    /// It may have run, and the status would promise the client that it has not.
    Unclear,
    /// Not the server's own answer.
    Spoilt(&'static str),
}

fn proof(head: &AnswerHead) -> Proof {
    if head.status == 421 || head.headers.get("x-not-executed").is_some() {
        return Proof::TurnedAway;
    }
    if head.headers.all("content-encoding").any(|coding| !coding.eq_ignore_ascii_case("identity")) {
        return Proof::Spoilt("encoded");
    }
    match head.status {
        200..=299 if head.headers.get("x-response-seal").is_none() => Proof::Spoilt("no seal"),
        408 | 429 | 503 => Proof::Unclear,
        ..=499 => Proof::Answer,
        _ => Proof::Failure,
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
    let head = incoming.head(&mut link, load).await?;
    incoming.clean &= head.keep_alive;
    link.heed(head.headers.get("keep-alive"));
    let proof = proof(&head);
    let mut reader =
        BodyReader::new(head.framing, u64::MAX).map_err(|error| SendError::Garbled(link.peer, error))?;
    if proof == Proof::TurnedAway {
        load.absolve();
        let misdirected = head.status == 421;
        // Its body matters only for the connection, and not enough to wait for it.
        let mut whole = Ok(Chunk::Incomplete);
        while !reader.is_complete() {
            whole = reader.next(&mut incoming.from);
            if matches!(whole, Ok(Chunk::Incomplete) | Err(_)) {
                break;
            }
        }
        drop(whole);
        give_back(pool, id, link, &incoming, reader.is_complete() && !misdirected);
        return Ok(Ended { misdirected, ..Ended::with(Outcome::TurnedAway, None, None) });
    }
    if let Proof::Spoilt(what) = proof {
        return Err(SendError::Foreign(link.peer, what));
    }
    let long = matches!(head.framing, Framing::Length(length) if length > MOST_WHOLE);
    let begin = if long { Bytes::new() } else { incoming.body(&mut link, &mut reader).await? };
    // What repeats can go elsewhere; what can't is told what the server told.
    let elsewhere = proof == Proof::Unclear || (proof == Proof::Failure && load.repeat != Repeat::Once);
    let outcome = if proof == Proof::Answer { Outcome::Served } else { Outcome::Error };
    if reader.is_complete() {
        give_back(pool, id, link, &incoming, true);
        let served = Served { status: head.status, headers: head.headers, body: ServedBody::Whole(begin) };
        if elsewhere {
            if proof == Proof::Failure {
                *load.failure.borrow_mut() = Some(served);
            }
            return Ok(Ended::with(outcome, None, None));
        }
        return Ok(Ended::with(outcome, Some(served), None));
    }
    if elsewhere {
        return Ok(Ended::with(outcome, None, None));
    }
    let (to, parts) = mpsc::channel(PARTS_AHEAD);
    let length = match head.framing {
        Framing::Length(length) => Some(length as u64),
        Framing::Chunked => None,
    };
    let body = ServedBody::Streamed(Stream { length, parts });
    let served = Served { status: head.status, headers: head.headers, body };
    let rest = Rest { id: id.to_string(), link, incoming, reader, begin, to };
    Ok(Ended::with(outcome, Some(served), Some(rest)))
}

/// Bytes past an answer belong to no request: such a connection is closed.
fn give_back(pool: &Pool, id: &str, link: Link, incoming: &Incoming, read: bool) {
    if read && incoming.clean && incoming.from.is_empty() {
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
    to: mpsc::Sender<Part>,
}

impl Rest {
    /// Passes it on until it is whole, breaks, or the client has gone; a break shows as an end without [`Part::End`].
    /// Dropping the future breaks it.
    pub(crate) async fn pass_on(mut self, pool: &Pool) {
        let mut begin = std::mem::take(&mut self.begin);
        while !begin.is_empty() {
            let part = begin.split_to(begin.len().min(STREAM_BYTES));
            if self.to.send(Part::Data(part)).await.is_err() {
                return;
            }
        }
        loop {
            match self.reader.next(&mut self.incoming.from) {
                Ok(Chunk::Part(part)) => {
                    if self.to.send(Part::Data(part)).await.is_err() {
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
        let _ = self.to.send(Part::End).await;
    }
}
