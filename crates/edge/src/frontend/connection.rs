//! One client's connection: reads pipelined requests, processes some of them concurrently, and writes the answers in
//! order.

use super::lifecycle::Entry;
use super::{count, Frontend, RoutedRequest};
use crate::exchange::{BodyPart, BodyStream, RequestBody, MAX_BUFFERED_BODY_BYTES};
use crate::reply::{put_local_reply, put_served_reply, LocalReply, Reply, ReplyBody, ReplyContext};
use bytes::{Buf, Bytes, BytesMut};
use nickeljunction_http::stream::{
    put_chunk_size, put_last_chunk, read_request_head, BodyReader, RequestHead,
};
use nickeljunction_http::{Chunk, Framing, HttpError};
use nickeljunction_net::wheel::Sleep;
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::mpsc::{self, error::TryRecvError, error::TrySendError, OwnedPermit};

/// Most requests of one connection that are processed at once: further pipelined requests stay unread.
const MAX_PIPELINED: usize = 8;
/// Capacity of the channel for a streamed body, parts.
const PART_CHANNEL_CAPACITY: usize = 2;
/// Size limit of a part of a streamed body, bytes.
const MAX_PART_BYTES: usize = 16 * 1024;
/// Most bytes that are read before they can be parsed or forwarded.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// After the last answer: how long the client may take to close the connection, ms, and how many bytes it may still
/// send. Closing with unread bytes would reset the connection and could lose the answer.
const LINGER_MS: f64 = 1_000.0;
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// What is being read.
enum Reading {
    /// The head of the next request, if any.
    Head,
    /// Nothing: a head has been read, and its request waits until the earlier ones are answered.
    Deferred(Box<(RequestHead, f64)>),
    /// A body that is forwarded once it is complete.
    Whole(Box<Whole>),
    /// A body that is forwarded as it is received.
    Upload(Box<Upload>),
    /// A short body of a request that has already been answered; it is dropped.
    Discard(BodyReader),
    /// Nothing more: the connection is closed after the answers that are due.
    Closed,
}

/// A request whose body is being read as a whole.
struct Whole {
    head: RequestHead,
    routed: RoutedRequest,
    reader: BodyReader,
    received: BytesMut,
}

/// Waits for capacity for one more part; `None`: the receiver is closed.
type Capacity = Pin<Box<dyn Future<Output = Option<OwnedPermit<BodyPart>>>>>;

/// A body that is being forwarded as it is received.
struct Upload {
    reader: BodyReader,
    /// The connection stays open after the request.
    keep_alive: bool,
    /// `None`: the rest of the body is not needed.
    sender: Option<mpsc::Sender<BodyPart>>,
    /// Parts that wait for capacity; nothing is read from the client meanwhile.
    backlog: VecDeque<BodyPart>,
    /// The wait for capacity, while the channel is full.
    capacity: Option<Capacity>,
}

/// A request that is not yet answered.
struct Pending {
    /// Its answer is expected to be large: it may break off, and the connection with it.
    large_answer: bool,
    /// Produces the reply; `None` once it is there.
    handler: Option<Pin<Box<dyn Future<Output = Reply>>>>,
    reply: Option<Reply>,
    attempt_id: Option<String>,
    is_head: bool,
    http_minor: u8,
}

/// What a connection waits for.
enum Event {
    /// The next answer can be written.
    Answer,
    /// Bytes were read, a part was forwarded, or the shutdown has begun.
    Progress,
    /// The time limit of the present state has passed.
    TimedOut,
    /// The client has closed the connection, or it is idle and to be evicted.
    Closed,
}

/// The result of writing an answer.
enum Written {
    /// Written completely; the connection stays open.
    KeepOpen,
    /// Written completely, as the last one of the connection.
    Last,
    /// Not written completely: the connection must be closed at once.
    Broken,
}

/// One client's connection.
pub(super) struct ClientConnection<S> {
    frontend: Rc<Frontend>,
    io: S,
    entry: Entry,
    /// Bytes received and not yet parsed.
    input: BytesMut,
    reading: Reading,
    /// The requests not yet answered, in order.
    queue: VecDeque<Pending>,
    /// When the connection became idle, ms of the program's clock.
    idle_since: f64,
    /// When the client last made progress on a head or a body, ms of the program's clock.
    last_progress: f64,
    /// Idle time-out that was sent to the client, ms: a new configuration doesn't shorten it.
    idle_ms: f64,
    /// Part of a head has been received.
    head_begun: bool,
    /// `100 Continue` is to be sent.
    send_continue: bool,
    /// Bytes that were read and dropped after the last request.
    dropped_bytes: usize,
    /// The connection has seen that the shutdown has begun.
    saw_shutdown: bool,
    /// An answer is being written.
    writing: bool,
    /// The timer for the present state, with its time, ms of the program's clock.
    timer: Option<(f64, Sleep)>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> ClientConnection<S> {
    pub(super) fn new(frontend: Rc<Frontend>, io: S) -> ClientConnection<S> {
        let now = frontend.wheel.now();
        let entry = Entry::new(frontend.lifecycle.clone(), now);
        let idle_ms = frontend.table.get().bounds.idle_ms;
        ClientConnection {
            frontend,
            io,
            entry,
            input: BytesMut::new(),
            reading: Reading::Head,
            queue: VecDeque::new(),
            idle_since: now,
            last_progress: now,
            idle_ms,
            head_begun: false,
            send_continue: false,
            dropped_bytes: 0,
            saw_shutdown: false,
            writing: false,
            timer: None,
        }
    }

    /// Serves the connection until it is closed.
    pub(super) async fn run(mut self) {
        loop {
            self.advance();
            if std::mem::take(&mut self.send_continue) {
                let mut text = &b"HTTP/1.1 100 Continue\r\n\r\n"[..];
                if !self.write(&mut text).await {
                    return;
                }
            }
            if matches!(self.reading, Reading::Closed) && self.queue.is_empty() {
                // The rest of a body was malformed or late, and its request has been answered.
                return self.linger().await;
            }
            if self.input.is_empty() {
                // Frees the buffer: there are many idle connections.
                self.input = BytesMut::new();
            }
            let idle = self.is_idle();
            self.entry.set_idle(idle.then_some(self.idle_since));
            match poll_fn(|context| self.poll_event(context)).await {
                Event::Answer => match self.write_answer().await {
                    Written::KeepOpen => {}
                    Written::Last => return self.linger().await,
                    Written::Broken => return,
                },
                Event::Progress => {}
                Event::TimedOut if self.is_idle() => return,
                Event::TimedOut => self.on_timeout(),
                Event::Closed => {
                    if !self.queue.is_empty() {
                        count(&self.frontend.counts.client_gone);
                    }
                    return;
                }
            }
        }
    }

    /// Whether no request is being received and none is unanswered.
    fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.input.is_empty() && matches!(self.reading, Reading::Head)
    }

    // ---- waiting

    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<Event> {
        self.entry.connection.set_waker(context.waker());
        self.poll_handlers(context);
        if self.queue.front().is_some_and(|first| first.reply.is_some()) {
            return Poll::Ready(Event::Answer);
        }
        if let Reading::Upload(upload) = &mut self.reading {
            if let Some(capacity) = &mut upload.capacity {
                if let Poll::Ready(permit) = capacity.as_mut().poll(context) {
                    upload.capacity = None;
                    match (permit, upload.backlog.pop_front()) {
                        (Some(permit), Some(part)) => drop(permit.send(part)),
                        _ => upload.sender = None,
                    }
                    self.last_progress = self.frontend.wheel.now();
                    return Poll::Ready(Event::Progress);
                }
            }
        }
        if let Poll::Ready(open) = self.poll_read(context) {
            return Poll::Ready(if open { Event::Progress } else { Event::Closed });
        }
        // Only after reading from the socket: a request that has already arrived is served.
        if self.entry.connection.is_evicted() && self.is_idle() {
            return Poll::Ready(Event::Closed);
        }
        let shutting_down = self.frontend.lifecycle.is_shutting_down();
        if std::mem::replace(&mut self.saw_shutdown, shutting_down) != shutting_down {
            return Poll::Ready(Event::Progress);
        }
        self.poll_timer(context)
    }

    /// Polls the handlers of the unanswered requests; at the end of the shutdown, answers those that are still pending.
    fn poll_handlers(&mut self, context: &mut Context<'_>) {
        let failing_unanswered = self.frontend.lifecycle.is_failing_unanswered();
        for pending in &mut self.queue {
            let Some(handler) = &mut pending.handler else { continue };
            if let Poll::Ready(reply) = handler.as_mut().poll(context) {
                (pending.handler, pending.reply) = (None, Some(reply));
            } else if failing_unanswered {
                count(&self.frontend.counts.cut_by_end);
                let timed_out = LocalReply::new(504, "the gateway ended before a server had answered");
                (pending.handler, pending.reply) = (None, Some(Reply::Local(timed_out)));
            }
        }
    }

    /// Reads as much as can be processed; `false`: the client has closed the connection.
    fn poll_read(&mut self, context: &mut Context<'_>) -> Poll<bool> {
        let reads = match &self.reading {
            Reading::Upload(upload) => upload.backlog.is_empty() && self.input.len() < MAX_READ_AHEAD_BYTES,
            Reading::Closed => self.dropped_bytes < MAX_READ_AHEAD_BYTES,
            Reading::Head if self.queue.is_empty() && !self.writing => true,
            _ => self.input.len() < MAX_READ_AHEAD_BYTES,
        };
        if !reads {
            return Poll::Pending;
        }
        let mut buffer = self.frontend.read_buffer.borrow_mut();
        let mut space = ReadBuf::new(&mut buffer);
        match Pin::new(&mut self.io).poll_read(context, &mut space) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Err(_)) => return Poll::Ready(false),
            Poll::Ready(Ok(())) if space.filled().is_empty() => return Poll::Ready(false),
            Poll::Ready(Ok(())) => {}
        }
        match self.reading {
            Reading::Closed => self.dropped_bytes += space.filled().len(),
            // The time limit of a head runs from its first byte, that of a body from the last byte received.
            Reading::Head if self.head_begun => self.input.extend_from_slice(space.filled()),
            _ => {
                self.input.extend_from_slice(space.filled());
                self.last_progress = self.frontend.wheel.now();
            }
        }
        Poll::Ready(true)
    }

    /// When the present state times out, ms of the program's clock.
    fn deadline(&self) -> f64 {
        let bounds = &self.frontend.table.get().bounds;
        let lifecycle = &self.frontend.lifecycle;
        match &self.reading {
            Reading::Head if self.is_idle() => {
                (self.idle_since + self.idle_ms).min(lifecycle.idle_until(self.idle_since))
            }
            Reading::Head if self.head_begun => self.last_progress + bounds.head_ms,
            Reading::Whole(whole) => {
                (self.last_progress + bounds.head_ms).min(whole.routed.arrived + whole.routed.time_limit_ms)
            }
            Reading::Discard(_) => self.last_progress + bounds.head_ms,
            Reading::Upload(upload) if upload.backlog.is_empty() => self.last_progress + bounds.head_ms,
            _ => f64::INFINITY,
        }
    }

    /// Polls the connection's only timer, which is set anew only if it would fire too late.
    fn poll_timer(&mut self, context: &mut Context<'_>) -> Poll<Event> {
        let deadline = self.deadline();
        loop {
            if deadline == f64::INFINITY {
                return Poll::Pending;
            }
            match &mut self.timer {
                Some((set_for, sleep)) if *set_for <= deadline => {
                    if Pin::new(sleep).poll(context).is_pending() {
                        return Poll::Pending;
                    }
                    self.timer = None;
                    if self.frontend.wheel.now() >= deadline {
                        return Poll::Ready(Event::TimedOut);
                    }
                }
                _ => self.timer = Some((deadline, self.frontend.wheel.sleep_until(deadline))),
            }
        }
    }

    /// Handles the time-out of the present state.
    fn on_timeout(&mut self) {
        match &mut self.reading {
            Reading::Head | Reading::Whole(_) => {
                self.queue_local_reply(LocalReply::new(408, "request not whole in time"), None, false, 1);
                self.reading = Reading::Closed;
            }
            // The request has been forwarded or answered. Its answer stays valid, and says whether it was executed.
            Reading::Upload(_) | Reading::Discard(_) => self.reading = Reading::Closed,
            Reading::Deferred(_) | Reading::Closed => {}
        }
    }

    // ---- reading

    /// Processes the received bytes as far as possible.
    fn advance(&mut self) {
        loop {
            let reading = std::mem::replace(&mut self.reading, Reading::Closed);
            let (next, proceed) = match reading {
                Reading::Head => self.read_head(),
                Reading::Deferred(deferred) if self.queue.is_empty() => {
                    (self.begin(deferred.0, deferred.1), true)
                }
                Reading::Whole(whole) => self.read_whole(whole),
                Reading::Upload(upload) => self.read_upload(upload),
                Reading::Discard(reader) => self.discard(reader),
                deferred @ Reading::Deferred(_) => (deferred, false),
                Reading::Closed => {
                    self.input.clear();
                    (Reading::Closed, false)
                }
            };
            self.reading = next;
            if !proceed {
                return;
            }
        }
    }

    /// Returns the next state, and whether to go on in it at once.
    fn read_head(&mut self) -> (Reading, bool) {
        let ahead = self.queue.len();
        // During shutdown the last pending answer closes the connection: requests pipelined behind it stay unread.
        if ahead >= MAX_PIPELINED || (ahead > 0 && self.frontend.lifecycle.is_shutting_down()) {
            self.head_begun = false;
            return (Reading::Head, false);
        }
        let now = self.frontend.wheel.now();
        let max_head_bytes = self.frontend.table.get().bounds.head;
        match read_request_head(&mut self.input, max_head_bytes) {
            Ok(None) => {
                if !self.head_begun && !self.input.is_empty() {
                    (self.head_begun, self.last_progress) = (true, now);
                }
                (Reading::Head, false)
            }
            Ok(Some(head)) => {
                (self.head_begun, self.last_progress) = (false, now);
                count(&self.frontend.counts.requests);
                if ahead > 0 && !self.may_run_concurrently(&head) {
                    return (Reading::Deferred(Box::new((head, now))), false);
                }
                (self.begin(head, now), true)
            }
            Err(error) => {
                self.queue_local_reply(malformed(&error), None, false, 1);
                (Reading::Closed, true)
            }
        }
    }

    /// Whether the request may be processed while earlier ones are: it must be repeatable, with no body or a short one
    /// that the client sends without waiting, and no earlier answer may break off and close the connection before its
    /// own.
    fn may_run_concurrently(&self, head: &RequestHead) -> bool {
        if self.queue.iter().any(|pending| pending.large_answer) {
            return false;
        }
        let short = matches!(head.framing, Framing::Length(length) if length <= MAX_BUFFERED_BODY_BYTES);
        short && !head.expects_continue() && self.frontend.is_repeatable(head)
    }

    /// Begins a request whose head has been read.
    fn begin(&mut self, head: RequestHead, arrived: f64) -> Reading {
        let (framing, expects_continue) = (head.framing, head.expects_continue());
        let reader = match BodyReader::new(framing, self.frontend.table.get().bounds.body) {
            Ok(reader) => reader,
            Err(error) => return self.reject(&head, malformed(&error), None),
        };
        let routed = match self.frontend.route_request(&head, arrived) {
            Ok(routed) => routed,
            Err(reply) => return self.reject(&head, reply, Some(reader)),
        };
        if reader.is_complete() {
            return self.start(head, routed, RequestBody::Buffered(Bytes::new()));
        }
        self.send_continue = expects_continue && self.input.is_empty();
        match framing {
            Framing::Length(length) if length > MAX_BUFFERED_BODY_BYTES => {
                self.start_upload(head, routed, reader, Some(length as u64), VecDeque::new())
            }
            _ => Reading::Whole(Box::new(Whole { head, routed, reader, received: BytesMut::new() })),
        }
    }

    /// Answers a request that is not forwarded; the connection stays open if the rest of the body can be skipped.
    fn reject(&mut self, head: &RequestHead, reply: LocalReply, reader: Option<BodyReader>) -> Reading {
        let id = head.headers.get("x-attempt-id").map(str::to_string);
        self.queue_local_reply(reply, id, head.method == "HEAD", head.minor);
        match (reader, head.framing) {
            (Some(reader), _) if reader.is_complete() => after_request(head.keep_alive),
            // After `Expect: 100-continue`, the client may or may not send its body now.
            (Some(reader), Framing::Length(length))
                if length <= MAX_BUFFERED_BODY_BYTES && head.keep_alive && !head.expects_continue() =>
            {
                Reading::Discard(reader)
            }
            _ => Reading::Closed,
        }
    }

    /// Queues an answer made by the gateway.
    fn queue_local_reply(
        &mut self,
        reply: LocalReply,
        attempt_id: Option<String>,
        is_head: bool,
        http_minor: u8,
    ) {
        let reply = Some(Reply::Local(reply));
        self.queue.push_back(Pending {
            large_answer: false,
            handler: None,
            reply,
            attempt_id,
            is_head,
            http_minor,
        });
    }

    /// Starts processing a request; returns the next state.
    fn start(&mut self, head: RequestHead, routed: RoutedRequest, body: RequestBody) -> Reading {
        let next = after_request(head.keep_alive);
        let (is_head, http_minor) = (head.method == "HEAD", head.minor);
        let attempt_id = Some(routed.attempt_id.clone());
        let large_answer = routed.route.large_answers;
        let handler = Some(Box::pin(self.frontend.clone().handle_request(head, routed, body)) as Pin<Box<_>>);
        self.queue.push_back(Pending { large_answer, handler, reply: None, attempt_id, is_head, http_minor });
        next
    }

    /// Starts processing a request whose body is forwarded as it is received.
    fn start_upload(
        &mut self,
        head: RequestHead,
        routed: RoutedRequest,
        reader: BodyReader,
        length: Option<u64>,
        backlog: VecDeque<BodyPart>,
    ) -> Reading {
        let (sender, parts) = mpsc::channel(PART_CHANNEL_CAPACITY);
        let keep_alive = head.keep_alive;
        self.start(head, routed, RequestBody::Streamed(Some(BodyStream { length, parts }).into()));
        Reading::Upload(Box::new(Upload {
            reader,
            keep_alive,
            sender: Some(sender),
            backlog,
            capacity: None,
        }))
    }

    /// Reads a body that is forwarded once it is complete; one longer than `MOST_WHOLE` is forwarded as it is received.
    fn read_whole(&mut self, mut whole: Box<Whole>) -> (Reading, bool) {
        loop {
            match whole.reader.next(&mut self.input) {
                Ok(Chunk::Part(part)) if whole.received.is_empty() && whole.reader.is_complete() => {
                    let Whole { head, routed, .. } = *whole;
                    return (self.start(head, routed, RequestBody::Buffered(part)), true);
                }
                Ok(Chunk::Part(part)) if whole.received.len() + part.len() > MAX_BUFFERED_BODY_BYTES => {
                    let Whole { head, routed, reader, received } = *whole;
                    let mut backlog = VecDeque::new();
                    for mut bytes in [received.freeze(), part] {
                        while !bytes.is_empty() {
                            backlog
                                .push_back(BodyPart::Data(bytes.split_to(bytes.len().min(MAX_PART_BYTES))));
                        }
                    }
                    return (self.start_upload(head, routed, reader, None, backlog), true);
                }
                Ok(Chunk::Part(part)) => whole.received.extend_from_slice(&part),
                Ok(Chunk::End) => {
                    let Whole { head, routed, received, .. } = *whole;
                    return (self.start(head, routed, RequestBody::Buffered(received.freeze())), true);
                }
                Ok(Chunk::Incomplete) => return (Reading::Whole(whole), false),
                Err(error) => return (self.reject(&whole.head, malformed(&error), None), true),
            }
        }
    }

    /// Reads a body and passes its parts to the request's handler.
    fn read_upload(&mut self, mut upload: Box<Upload>) -> (Reading, bool) {
        loop {
            if let (Some(sender), None) = (&upload.sender, &upload.capacity) {
                while let Some(part) = upload.backlog.pop_front() {
                    match sender.try_send(part) {
                        Ok(()) => {}
                        Err(TrySendError::Full(part)) => {
                            upload.backlog.push_front(part);
                            let sender = sender.clone();
                            upload.capacity =
                                Some(Box::pin(async move { sender.reserve_owned().await.ok() }));
                            break;
                        }
                        Err(TrySendError::Closed(_)) => {
                            upload.sender = None;
                            break;
                        }
                    }
                }
            }
            if upload.sender.is_none() {
                // The request is about to be answered: the rest of its body is not needed.
                return (upload.skip_rest(), true);
            }
            if !upload.backlog.is_empty() {
                return (Reading::Upload(upload), false);
            }
            if upload.reader.is_complete() {
                return (after_request(upload.keep_alive), true);
            }
            match upload.reader.next(&mut self.input) {
                Ok(Chunk::Part(part)) => {
                    upload.backlog.push_back(BodyPart::Data(part));
                    if upload.reader.is_complete() {
                        upload.backlog.push_back(BodyPart::End);
                    }
                }
                Ok(Chunk::End) => upload.backlog.push_back(BodyPart::End),
                Ok(Chunk::Incomplete) => return (Reading::Upload(upload), false),
                Err(error) => {
                    // No server has received the complete request, and dropping the handler cancels it at the proxy.
                    if let Some(pending) = self.queue.back_mut() {
                        pending.handler = None;
                        pending.reply = Some(Reply::Local(malformed(&error)));
                    }
                    return (Reading::Closed, true);
                }
            }
        }
    }

    /// Reads and drops the rest of a body.
    fn discard(&mut self, mut reader: BodyReader) -> (Reading, bool) {
        loop {
            match reader.next(&mut self.input) {
                Ok(Chunk::Part(_)) => {}
                Ok(Chunk::End) => return (Reading::Head, true),
                Ok(Chunk::Incomplete) => return (Reading::Discard(reader), false),
                Err(_) => return (Reading::Closed, true),
            }
        }
    }

    // ---- writing

    /// Writes the first answer of the queue.
    async fn write_answer(&mut self) -> Written {
        let Some(Pending { reply: Some(reply), attempt_id, is_head, http_minor, .. }) =
            self.queue.pop_front()
        else {
            return Written::Broken;
        };
        if let (true, Reading::Upload(_)) = (self.queue.is_empty(), &self.reading) {
            // Answered before its body was complete: the rest is not needed.
            if let Reading::Upload(upload) = std::mem::replace(&mut self.reading, Reading::Closed) {
                self.reading = upload.skip_rest();
            }
        }
        let shutting_down = self.frontend.lifecycle.is_shutting_down();
        // Requests behind it have been forwarded: they are answered before the connection is closed, whatever the
        // reason.
        let closing =
            shutting_down || self.entry.connection.is_evicted() || matches!(self.reading, Reading::Closed);
        let close = closing && self.queue.is_empty();
        self.idle_ms = self.frontend.table.get().bounds.idle_ms;
        let context = ReplyContext { close, http_minor, is_head, idle_timeout_ms: self.idle_ms };
        self.writing = true;
        let written =
            self.write_reply(reply, attempt_id.as_deref(), &context).await && self.io.flush().await.is_ok();
        self.writing = false;
        (self.idle_since, self.last_progress) = (self.frontend.wheel.now(), self.frontend.wheel.now());
        match (written, close) {
            (false, _) => Written::Broken,
            (true, true) => Written::Last,
            (true, false) => Written::KeepOpen,
        }
    }

    /// Writes an answer; `false`: it was not written completely.
    async fn write_reply(&mut self, reply: Reply, attempt_id: Option<&str>, context: &ReplyContext) -> bool {
        let mut out = BytesMut::new();
        let body = match reply {
            Reply::Local(reply) => Err(reply),
            Reply::Served(served) => put_served_reply(&mut out, served, context),
        };
        let counts = &self.frontend.clone().counts;
        let written = match body {
            Err(reply) => {
                counts.count_local_reply(reply.status);
                put_local_reply(&mut out, &reply, attempt_id, context);
                return self.write(&mut out).await;
            }
            Ok(ReplyBody::Empty) => self.write(&mut out).await,
            Ok(ReplyBody::Whole(body)) => self.write(&mut out.chain(body)).await,
            Ok(ReplyBody::Streamed(stream)) => self.forward_body(out, stream).await,
        };
        count(if written { &counts.served } else { &counts.broken });
        written
    }

    /// Forwards a body as it is received. `false`: it broke off, and nothing has been written that makes it look
    /// complete.
    async fn forward_body(&mut self, mut out: BytesMut, mut stream: BodyStream) -> bool {
        let mut left = stream.length;
        loop {
            let part = match stream.parts.try_recv() {
                Ok(part) => Some(part),
                Err(TryRecvError::Disconnected) => None,
                Err(TryRecvError::Empty) => {
                    if !self.write(&mut out).await {
                        return false;
                    }
                    poll_fn(|context| self.poll_part(context, &mut stream)).await
                }
            };
            let sent = match (part, &mut left) {
                (Some(BodyPart::Data(bytes)), _) if bytes.is_empty() => true,
                (Some(BodyPart::Data(bytes)), Some(left)) => match left.checked_sub(bytes.len() as u64) {
                    Some(rest) => {
                        *left = rest;
                        self.write(&mut out.split().chain(bytes)).await
                    }
                    // Longer than stated: the client would read the surplus as the next answer.
                    None => false,
                },
                (Some(BodyPart::Data(bytes)), None) => {
                    put_chunk_size(&mut out, bytes.len());
                    self.write(&mut out.split().chain(bytes).chain(&b"\r\n"[..])).await
                }
                (Some(BodyPart::End), Some(0)) => return self.write(&mut out).await,
                (Some(BodyPart::End), None) => {
                    put_last_chunk(&mut out);
                    return self.write(&mut out).await;
                }
                (Some(BodyPart::End), Some(_)) | (None, _) => false,
            };
            if !sent {
                return false;
            }
        }
    }

    /// The next part; `None`: the body broke off, or the client has closed the connection. The requests behind are
    /// processed meanwhile.
    fn poll_part(&mut self, context: &mut Context<'_>, stream: &mut BodyStream) -> Poll<Option<BodyPart>> {
        if let Poll::Ready(part) = stream.parts.poll_recv(context) {
            return Poll::Ready(part);
        }
        self.poll_handlers(context);
        loop {
            match self.poll_read(context) {
                Poll::Ready(true) => {}
                Poll::Ready(false) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Writes all bytes; `false`: the connection is closed, or the client has read nothing for the idle time-out.
    async fn write(&mut self, bytes: &mut impl Buf) -> bool {
        while bytes.has_remaining() {
            let mut write = pin!(self.io.write_buf(bytes));
            // Sets a timer only if the write has to wait.
            let result = match poll_fn(|context| Poll::Ready(write.as_mut().poll(context))).await {
                Poll::Ready(result) => Some(result),
                Poll::Pending => {
                    let timeout = self.frontend.table.get().bounds.idle_ms;
                    self.frontend.wheel.timeout(timeout, write).await
                }
            };
            if !matches!(result, Some(Ok(1..))) {
                return false;
            }
        }
        true
    }

    /// After the last answer: shuts down the write side and waits for the client to close its own.
    async fn linger(mut self) {
        self.entry.set_idle(Some(self.frontend.wheel.now()));
        self.entry.connection.evict();
        (self.input, self.timer) = (BytesMut::new(), None);
        let frontend = self.frontend.clone();
        let drain = async {
            let mut left = MAX_LINGER_BYTES;
            let mut open = self.io.shutdown().await.is_ok();
            while open && left > 0 {
                let read = poll_fn(|context| {
                    let mut buffer = frontend.read_buffer.borrow_mut();
                    let mut space = ReadBuf::new(&mut buffer);
                    Pin::new(&mut self.io).poll_read(context, &mut space).map_ok(|()| space.filled().len())
                });
                let read = read.await.unwrap_or(0);
                left = left.saturating_sub(read);
                open = read > 0;
            }
        };
        frontend.wheel.timeout(LINGER_MS, drain).await;
    }
}

impl Upload {
    /// The next state once the body is not needed: a short rest is skipped, so that the connection can stay open.
    fn skip_rest(self) -> Reading {
        match self.reader.stated_left() {
            Some(left) if self.keep_alive && left <= MAX_BUFFERED_BODY_BYTES as u64 => {
                Reading::Discard(self.reader)
            }
            _ => Reading::Closed,
        }
    }
}

/// The next state after a complete request.
fn after_request(keep_alive: bool) -> Reading {
    if keep_alive {
        Reading::Head
    } else {
        Reading::Closed
    }
}

/// The answer to a malformed or too large request.
fn malformed(error: &HttpError) -> LocalReply {
    match error {
        HttpError::HeadTooLarge => LocalReply::new(431, "head too large"),
        HttpError::BodyTooLarge => LocalReply::new(413, "body too large"),
        _ => LocalReply::new(400, "malformed request"),
    }
}
