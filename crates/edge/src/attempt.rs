//! One send of a request to one server, with its socket I/O. [`crate::exchange_state`] decides what the answer means.

use crate::exchange::{
    BodyPart, BodyStream, Exchange, RequestBody, ResponseBody, ServerResponse, MAX_BUFFERED_BODY_BYTES,
};
use crate::exchange_state::{judge_answer, AnswerReader, AnswerVerdict, SendCounts, SendDenial};
use crate::pool::{Connection, Pool, SendError};
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

/// Size of a read from a connection; most answers are short.
const READ_BYTES: usize = 4 * 1024;
/// Size of a read within a streamed answer, and limit on its forwarded parts.
const STREAM_READ_BYTES: usize = 16 * 1024;
/// Limit on the parts of a streamed answer that wait for the client.
const MAX_WAITING_PARTS: usize = 2;
/// A body up to this length is written together with the head.
const MAX_BODY_WITH_HEAD_BYTES: usize = 8 * 1024;
/// Headers of a client that are not forwarded, because the gateway writes its own or must not disclose them.
const NOT_FORWARDED: [&str; 5] =
    ["authorization", "x-attempt-id", "x-deadline-remaining", "x-expected-instance", "x-tenant-name"];

/// A request in flight, shared by the decision core and the attempts.
pub(crate) struct PendingRequest {
    method: String,
    target: String,
    headers: Headers,
    body: RequestBody,
    attempt_id: String,
    pub(crate) tenant: Option<String>,
    pub(crate) backend: Rc<str>,
    pub(crate) retry_safety: RetrySafety,
    pub(crate) max_attempts: u32,
    /// An answer within this time earns its full worth, ms.
    pub(crate) target_latency_ms: f64,
    /// When the client stops waiting, ms of the process clock.
    pub(crate) deadline: f64,
    /// The first byte must be sent by this time for the quota unit to cover it, ms of the process clock.
    pub(crate) unit_valid_until: f64,
    reply: RefCell<Option<oneshot::Sender<Answer<ServerResponse>>>>,
    sends: Cell<SendCounts>,
    /// The decision module has received the request and had the chance to send it at once.
    pub(crate) was_offered: Cell<bool>,
    /// Why the last denied send was not started; `None`: no send was denied.
    pub(crate) last_denial: Cell<Option<SendDenial>>,
    /// The retry budget of the service has counted its first send.
    pub(crate) is_budgeted: Cell<bool>,
    /// The last complete error answer, for the client if no server gives a better one.
    fallback_answer: RefCell<Option<ServerResponse>>,
    /// Sends that the decision core has given up and that still continue, by attempt.
    detached_sends: RefCell<Vec<(usize, AbortHandle)>>,
    /// What the client is answered if none of the detached sends gets an answer.
    deferred_answer: RefCell<Option<Answer<ServerResponse>>>,
    _in_flight: Rc<()>,
}

impl PendingRequest {
    /// The request of an exchange; `in_flight` is dropped with it.
    pub(crate) fn new(exchange: Exchange, in_flight: Rc<()>) -> PendingRequest {
        PendingRequest {
            method: exchange.method,
            target: exchange.target,
            headers: exchange.headers,
            body: exchange.body,
            attempt_id: exchange.attempt_id,
            tenant: exchange.tenant,
            backend: exchange.backend,
            retry_safety: exchange.retry_safety,
            max_attempts: exchange.max_attempts,
            target_latency_ms: exchange.target_latency_ms,
            deadline: exchange.arrived + exchange.timeout_ms,
            unit_valid_until: exchange.unit_valid_until,
            reply: RefCell::new(Some(exchange.reply)),
            sends: Cell::default(),
            was_offered: Cell::new(false),
            last_denial: Cell::new(None),
            is_budgeted: Cell::new(false),
            fallback_answer: RefCell::new(None),
            detached_sends: RefCell::default(),
            deferred_answer: RefCell::default(),
            _in_flight: in_flight,
        }
    }

    /// Whether the client has disconnected before its answer.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.reply.borrow().as_ref().is_some_and(oneshot::Sender::is_closed)
    }

    /// Completes when the client disconnects; never completes once it has its answer.
    pub(crate) async fn abandoned(&self) {
        poll_fn(|context| match self.reply.borrow_mut().as_mut() {
            Some(reply) => reply.poll_closed(context),
            None => Poll::Pending,
        })
        .await;
    }

    /// Whether the body is still available for a send.
    pub(crate) fn has_body(&self) -> bool {
        match &self.body {
            RequestBody::Buffered(_) => true,
            RequestBody::Streamed(stream) => stream.borrow().is_some(),
        }
    }

    /// Whether the client has its answer.
    pub(crate) fn is_answered(&self) -> bool {
        self.reply.borrow().is_none()
    }

    /// Lets a send continue that the decision core has given up. Until it ends, the client gets a server's answer or
    /// none.
    pub(crate) fn detach_send(&self, attempt: usize, send: AbortHandle) {
        self.detached_sends.borrow_mut().push((attempt, send));
    }

    /// Aborts the detached sends, because another send replaces them.
    pub(crate) fn abort_detached_sends(&self) {
        self.detached_sends.borrow_mut().drain(..).for_each(|(_, send)| send.abort());
    }

    /// Records the end of a send. If it was detached, takes its response and answers the client with it, or with the
    /// deferred answer. Returns whether it was detached.
    pub(crate) fn on_send_end(&self, attempt: usize, response: &mut Option<ServerResponse>) -> bool {
        let position = self.detached_sends.borrow().iter().position(|(detached, _)| *detached == attempt);
        let Some(index) = position else { return false };
        self.detached_sends.borrow_mut().remove(index);
        let deferred = self.deferred_answer.borrow_mut().take();
        if let Some(answer) = response.take().map(Answer::Served).or(deferred) {
            self.answer(answer);
        }
        true
    }

    /// Answers the client. Only a server's answer is sent while detached sends continue, because a refusal would
    /// promise that the request has not run and never will.
    pub(crate) fn answer(&self, answer: Answer<ServerResponse>) {
        if !matches!(answer, Answer::Served(_)) && !self.detached_sends.borrow().is_empty() {
            *self.deferred_answer.borrow_mut() = Some(answer);
            return;
        }
        let Some(reply) = self.reply.borrow_mut().take() else { return };
        let answer = match (answer, self.fallback_answer.borrow_mut().take()) {
            (Answer::Served(response), _) | (_, Some(response)) => Answer::Served(response),
            (Answer::ShortOnCapacityReply(_), _) if !self.sends().may_refuse(self.retry_safety) => {
                Answer::Failed
            }
            (answer, _) => answer,
        };
        // Fails only if the client has disconnected.
        let _ = reply.send(answer);
    }

    /// The sends so far.
    pub(crate) fn sends(&self) -> SendCounts {
        self.sends.get()
    }

    /// For a request that is being refused: whether the reason is that it waited for a server with capacity and there
    /// was none. A request that is refused on arrival has too little time, or is not considered worth a wait.
    pub(crate) fn lacked_capacity(&self) -> bool {
        let is_unsent = self.sends().begun() == 0;
        is_unsent
            && self.was_offered.get()
            && self.last_denial.get().is_none_or(SendDenial::is_capacity_limit)
    }

    /// Updates the counts of sends.
    pub(crate) fn update_sends(&self, change: impl FnOnce(&mut SendCounts)) {
        let mut sends = self.sends.get();
        change(&mut sends);
        self.sends.set(sends);
    }

    fn is_head(&self) -> bool {
        self.method == "HEAD"
    }

    /// The request head for the server of this id, with the time that remains and the length of the body if it is
    /// known.
    fn head(&self, server_id: &str, remaining_ms: f64, length: Option<u64>) -> BytesMut {
        let mut head = BytesMut::with_capacity(512);
        for part in [self.method.as_bytes(), b" ", self.target.as_bytes(), b" HTTP/1.1\r\n"] {
            head.extend_from_slice(part);
        }
        for (name, value) in self.headers.passed_on() {
            if !NOT_FORWARDED.iter().any(|excluded| name.eq_ignore_ascii_case(excluded)) {
                put_line(&mut head, name, value);
            }
        }
        put_line(&mut head, "X-Attempt-Id", self.attempt_id.as_bytes());
        put_line(&mut head, "X-Deadline-Remaining", whole_ms(remaining_ms).to_string().as_bytes());
        put_line(&mut head, "X-Expected-Instance", server_id.as_bytes());
        if let Some(tenant) = &self.tenant {
            put_line(&mut head, "X-Tenant-Name", tenant.as_bytes());
        }
        match length {
            Some(0) if matches!(&self.method[..], "GET" | "HEAD" | "DELETE" | "OPTIONS" | "TRACE") => {}
            Some(length) => put_line(&mut head, "Content-Length", length.to_string().as_bytes()),
            None => put_line(&mut head, "Transfer-Encoding", b"chunked"),
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}

fn whole_ms(ms: f64) -> u64 {
    ms.max(1.0) as u64
}

/// The result of a send.
pub(crate) struct SendResult {
    pub(crate) outcome: Outcome,
    /// The answer for the client.
    pub(crate) response: Option<ServerResponse>,
    /// The rest of a streamed answer, still to be forwarded.
    pub(crate) forwarder: Option<BodyForwarder>,
    /// The server stated that it is not the expected instance.
    pub(crate) misdirected: bool,
}

impl SendResult {
    fn new(
        outcome: Outcome,
        response: Option<ServerResponse>,
        forwarder: Option<BodyForwarder>,
    ) -> SendResult {
        SendResult { outcome, response, forwarder, misdirected: false }
    }
}

/// Sends a request to a server once. Dropping the future aborts the send and closes its connection. `remaining_ms` is
/// called when the request is written, and the server gets its result as the time that remains.
pub(crate) async fn attempt(
    pool: &Rc<Pool>,
    server_id: &str,
    request: &PendingRequest,
    remaining_ms: impl Fn() -> f64,
) -> SendResult {
    match try_attempt(pool, server_id, request, remaining_ms).await {
        Ok(result) => result,
        Err(error) => {
            log::debug!(
                "event=send_failed server={server_id} attempt={} error=\"{error}\"",
                request.attempt_id
            );
            SendResult::new(error.outcome(), None, None)
        }
    }
}

async fn try_attempt(
    pool: &Rc<Pool>,
    server_id: &str,
    request: &PendingRequest,
    remaining_ms: impl Fn() -> f64,
) -> Result<SendResult, SendError> {
    let (mut buffered, mut stream) = (Bytes::new(), None);
    match &request.body {
        RequestBody::Buffered(body) => buffered = body.clone(),
        RequestBody::Streamed(body) => stream = Some(body.borrow_mut().take().ok_or(SendError::NoBody)?),
    }
    let length = stream.as_ref().map_or(Some(buffered.len() as u64), |stream| stream.length);
    let with_head = buffered.len() <= MAX_BODY_WITH_HEAD_BYTES;
    let head = || {
        let mut head = request.head(server_id, remaining_ms(), length);
        head.extend_from_slice(if with_head { &buffered } else { &[] });
        head
    };
    let (mut connection, head, written) = match start_write(pool, server_id, head).await {
        Ok(started) => started,
        Err(error) => {
            // Nothing of the request was written: another server may get its body.
            if let RequestBody::Streamed(body) = &request.body {
                *body.borrow_mut() = stream;
            }
            return Err(error);
        }
    };
    if with_head {
        buffered = Bytes::new();
    }
    let peer = connection.peer;
    request.update_sends(SendCounts::mark_exposed);
    connection.history.record_request(request.is_head());
    let reader = AnswerReader::new(&request.attempt_id, request.is_head(), connection.history);
    let mut answer = IncomingAnswer { reader, peer };
    let written = match stream {
        None => {
            let result = match connection.stream.write_all(&head[written..]).await {
                Ok(()) => connection.stream.write_all(&buffered).await,
                error => error,
            };
            result.map_err(|error| SendError::Write(peer, error))
        }
        Some(stream) => {
            let (mut reading, mut writing) = connection.stream.split();
            let sending = async {
                writing.write_all(&head[written..]).await.map_err(|error| SendError::Write(peer, error))?;
                write_stream(&mut writing, stream, peer).await
            };
            tokio::pin!(sending);
            loop {
                tokio::select! {
                    biased;
                    written = &mut sending => break written,
                    received = answer.read_more(&mut reading, READ_BYTES) => received?,
                }
                // A server may answer before it has received the whole body: it has no use for the rest.
                if answer.reader.has_early_answer() {
                    answer.reader.mark_request_incomplete();
                    break Ok(());
                }
            }
        }
    };
    if let Err(error) = written {
        if matches!(error, SendError::InvalidBody(_)) {
            return Err(error);
        }
        // The server may have answered and closed the connection before it read the whole request.
        answer.reader.mark_request_incomplete();
        return read_answer(pool, server_id, request, connection, answer).await.map_err(|_| error);
    }
    read_answer(pool, server_id, request, connection, answer).await
}

/// Writes the start of a request to a connection. Returns the connection, the bytes to write, and how many of them were
/// written.
async fn start_write(
    pool: &Pool,
    server_id: &str,
    head: impl Fn() -> BytesMut,
) -> Result<(Connection, BytesMut, usize), SendError> {
    loop {
        let (mut connection, was_idle) = pool.take(server_id).await?;
        let head = head();
        match connection.stream.write(&head).await {
            Ok(written) if written > 0 => return Ok((connection, head, written)),
            // The server closed an idle connection between the check and the write: nothing was sent.
            _ if was_idle => {}
            Ok(_) => return Err(SendError::FirstWrite(connection.peer, io::ErrorKind::WriteZero.into())),
            Err(error) => return Err(SendError::FirstWrite(connection.peer, error)),
        }
    }
}

/// Writes a streamed body.
async fn write_stream(
    writing: &mut (impl AsyncWriteExt + Unpin),
    mut stream: BodyStream,
    peer: SocketAddr,
) -> Result<(), SendError> {
    let failed = |error| SendError::Write(peer, error);
    let mut remaining = stream.length;
    while let Some(part) = stream.parts.recv().await {
        match (part, &mut remaining) {
            (BodyPart::Data(bytes), Some(remaining)) => {
                // The server would read bytes beyond the stated length as the next request.
                *remaining = remaining.checked_sub(bytes.len() as u64).ok_or(SendError::InvalidBody(peer))?;
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
    Err(SendError::InvalidBody(peer))
}

/// The answer that is being received from a server.
struct IncomingAnswer {
    reader: AnswerReader,
    peer: SocketAddr,
}

impl IncomingAnswer {
    /// Reads more bytes, about `size` at most.
    async fn read_more(
        &mut self,
        reading: &mut (impl AsyncRead + Unpin),
        size: usize,
    ) -> Result<(), SendError> {
        let buffer = &mut self.reader.buffer;
        let has_begun = !buffer.is_empty();
        buffer.reserve(size);
        match reading.read_buf(buffer).await {
            Ok(0) if has_begun => Err(SendError::Truncated(self.peer)),
            Ok(0) => Err(SendError::NoAnswer(self.peer, io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => Ok(()),
            Err(_) if has_begun => Err(SendError::Truncated(self.peer)),
            Err(error) => Err(SendError::NoAnswer(self.peer, error)),
        }
    }

    /// Reads the head of the answer to this request.
    async fn read_head(&mut self, connection: &mut Connection) -> Result<AnswerHead, SendError> {
        loop {
            match self.reader.read_head().map_err(|invalid| SendError::invalid_answer(self.peer, invalid))? {
                Some(head) => return Ok(head),
                None => self.read_more(&mut connection.stream, READ_BYTES).await?,
            }
        }
    }

    /// Reads the body, or its start if it is longer than [`MAX_BUFFERED_BODY_BYTES`].
    async fn read_body(
        &mut self,
        connection: &mut Connection,
        body: &mut BodyReader,
    ) -> Result<Bytes, SendError> {
        let mut read = BytesMut::new();
        loop {
            let chunk = body.next(&mut self.reader.buffer);
            match chunk.map_err(|error| SendError::Malformed(self.peer, error))? {
                Chunk::Part(part) if read.is_empty() && body.is_complete() => return Ok(part),
                Chunk::Part(part) => read.extend_from_slice(&part),
                Chunk::End => return Ok(read.freeze()),
                Chunk::Incomplete => match self.read_more(&mut connection.stream, READ_BYTES).await {
                    // The head was received, so an answer that breaks off here is truncated.
                    Err(SendError::NoAnswer(peer, _)) => return Err(SendError::Truncated(peer)),
                    other => other?,
                },
            }
            if body.is_complete() || read.len() > MAX_BUFFERED_BODY_BYTES {
                return Ok(read.freeze());
            }
        }
    }
}

/// Reads the answer and determines what it means for the request.
async fn read_answer(
    pool: &Rc<Pool>,
    server_id: &str,
    request: &PendingRequest,
    mut connection: Connection,
    mut answer: IncomingAnswer,
) -> Result<SendResult, SendError> {
    let head = answer.read_head(&mut connection).await?;
    connection.set_idle_timeout(head.headers.get("keep-alive"));
    let mut body = BodyReader::new(head.framing, u64::MAX)
        .map_err(|error| SendError::Malformed(connection.peer, error))?;
    let (outcome, deliver, use_as_fallback) = match judge_answer(&head, request.retry_safety) {
        AnswerVerdict::NotExecuted { misdirected } => {
            request.update_sends(SendCounts::mark_not_executed);
            // The body is only needed to reuse the connection, which is not worth waiting for it.
            while !body.is_complete() {
                if matches!(body.next(&mut answer.reader.buffer), Ok(Chunk::Incomplete) | Err(_)) {
                    break;
                }
            }
            release_connection(pool, server_id, connection, &answer, body.is_complete() && !misdirected);
            return Ok(SendResult { misdirected, ..SendResult::new(Outcome::Rejected, None, None) });
        }
        AnswerVerdict::Mismatch(reason) => return Err(SendError::Mismatch(connection.peer, reason)),
        AnswerVerdict::Deliver(outcome) => (outcome, true, false),
        AnswerVerdict::TryElsewhere { use_as_fallback } => (Outcome::Error, false, use_as_fallback),
    };
    let is_long = matches!(head.framing, Framing::Length(length) if length > MAX_BUFFERED_BODY_BYTES);
    let start = if is_long { Bytes::new() } else { answer.read_body(&mut connection, &mut body).await? };
    if body.is_complete() {
        release_connection(pool, server_id, connection, &answer, true);
        let response = ServerResponse {
            status: head.status,
            headers: head.headers,
            body: ResponseBody::Buffered(start),
        };
        if use_as_fallback {
            *request.fallback_answer.borrow_mut() = Some(response);
            return Ok(SendResult::new(outcome, None, None));
        }
        return Ok(SendResult::new(outcome, deliver.then_some(response), None));
    }
    if !deliver {
        return Ok(SendResult::new(outcome, None, None));
    }
    let (forward, parts) = mpsc::channel(MAX_WAITING_PARTS);
    let length = match head.framing {
        Framing::Length(length) => Some(length as u64),
        Framing::Chunked => None,
    };
    let streamed = ResponseBody::Streamed(BodyStream { length, parts });
    let response = ServerResponse { status: head.status, headers: head.headers, body: streamed };
    let server_id = server_id.to_string();
    let forwarder = BodyForwarder { server_id, connection, answer, body, start, forward };
    Ok(SendResult::new(outcome, Some(response), Some(forwarder)))
}

/// Returns a reusable connection to the pool and closes any other; `is_complete`: the answer was read to its end.
fn release_connection(
    pool: &Pool,
    server_id: &str,
    connection: Connection,
    answer: &IncomingAnswer,
    is_complete: bool,
) {
    if answer.reader.is_reusable(is_complete) {
        pool.put_back(server_id, connection);
    }
}

/// Forwards the body of a streamed answer as it is received.
pub(crate) struct BodyForwarder {
    server_id: String,
    connection: Connection,
    answer: IncomingAnswer,
    body: BodyReader,
    /// The part of the body that was already read.
    start: Bytes,
    forward: mpsc::Sender<BodyPart>,
}

impl BodyForwarder {
    /// Forwards the body until it is complete, breaks off, or the client disconnects. If it breaks off or the future is
    /// dropped, the stream ends without [`BodyPart::End`].
    pub(crate) async fn run(mut self, pool: &Pool) {
        let mut start = std::mem::take(&mut self.start);
        while !start.is_empty() {
            let part = start.split_to(start.len().min(STREAM_READ_BYTES));
            if self.forward.send(BodyPart::Data(part)).await.is_err() {
                return;
            }
        }
        loop {
            match self.body.next(&mut self.answer.reader.buffer) {
                Ok(Chunk::Part(part)) => {
                    if self.forward.send(BodyPart::Data(part)).await.is_err() {
                        return;
                    }
                }
                Ok(Chunk::End) => break,
                Ok(Chunk::Incomplete) => {
                    let reading = self.answer.read_more(&mut self.connection.stream, STREAM_READ_BYTES);
                    let received = tokio::select! {
                        biased;
                        received = reading => received,
                        () = self.forward.closed() => return,
                    };
                    if let Err(error) = received {
                        log::debug!("event=answer_broke server={} error=\"{error}\"", self.server_id);
                        return;
                    }
                }
                Err(error) => {
                    log::debug!("event=answer_broke server={} error=\"{error}\"", self.server_id);
                    return;
                }
            }
        }
        release_connection(pool, &self.server_id, self.connection, &self.answer, true);
        // Fails only if the client has disconnected.
        let _ = self.forward.send(BodyPart::End).await;
    }
}
