//! One client's connection: requests in, answers out in the same order, some of them at work at once.

use super::lifecycle::Entry;
use super::{count, Frontend, RoutedRequest};
use crate::exchange::{Body, Part, Stream, MOST_WHOLE};
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

/// Most requests of one connection at work at once: what a client sends ahead beyond them stays unread.
const MOST_AHEAD: usize = 8;
/// Parts of a streamed request on their way at once.
const PARTS: usize = 2;
/// Longest part, bytes.
const MOST_PART: usize = 16 * 1024;
/// Most bytes read ahead of what can be dealt with yet.
const MOST_UNREAD: usize = 16 * 1024;
/// After the last answer: how long the client has to close, ms, and how many bytes it may still send. Closing with
/// bytes unread would reset the connection, and the answer with it.
const LINGER_MS: f64 = 1_000.0;
const MOST_LINGERED: usize = 256 * 1024;

/// What is being read.
enum Reading {
    /// A head, or nothing: between requests.
    Head,
    /// A head is read, and its request waits until those before it are answered.
    Held(Box<(RequestHead, f64)>),
    /// A body that is handed on whole.
    Whole(Box<Whole>),
    /// A body that is handed on as it comes.
    Upload(Box<Upload>),
    /// A short body of a request that has been answered without it.
    Discard(BodyReader),
    /// Nothing more: the answers that are due are the last.
    Over,
}

struct Whole {
    head: RequestHead,
    routed: RoutedRequest,
    reader: BodyReader,
    held: BytesMut,
}

/// Room for one more part; `None`: nobody takes it.
type Room = Pin<Box<dyn Future<Output = Option<OwnedPermit<Part>>>>>;

struct Upload {
    reader: BodyReader,
    /// The client keeps the connection.
    keep: bool,
    /// `None`: nobody wants the rest.
    to: Option<mpsc::Sender<Part>>,
    /// Parts without room yet; nothing more is read meanwhile.
    backlog: VecDeque<Part>,
    room: Option<Room>,
}

/// A request that is to be answered.
struct Waiting {
    /// Its answer may break off, and the connection with it.
    large_answer: bool,
    work: Option<Pin<Box<dyn Future<Output = Reply>>>>,
    reply: Option<Reply>,
    attempt_id: Option<String>,
    is_head: bool,
    http_minor: u8,
}

enum Event {
    /// The next answer is there.
    Answer,
    /// Something else has moved.
    Stirred,
    /// A time is up.
    Late,
    /// The client is gone, or the connection is idle and to end.
    Gone,
}

/// How an answer ended.
enum Written {
    /// More may come on the connection.
    Kept,
    /// It was the last one.
    Last,
    /// It did not get through whole: the connection must break.
    Broken,
}

pub(super) struct ClientConnection<S> {
    front: Rc<Frontend>,
    io: S,
    entry: Entry,
    from: BytesMut,
    reading: Reading,
    queue: VecDeque<Waiting>,
    /// When the connection fell idle, and when the client last moved a head or a body on, ms of the program's clock.
    idle_since: f64,
    moved: f64,
    /// How long it may be idle, as the client was told, ms: a new configuration doesn't shorten it.
    idle_ms: f64,
    /// A head has begun to come.
    begun: bool,
    /// `100 Continue` is due.
    go_on: bool,
    /// Bytes read and thrown away at the end.
    spilt: usize,
    left: bool,
    /// An answer is being written.
    writing: bool,
    alarm: Option<(f64, Sleep)>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> ClientConnection<S> {
    pub(super) fn new(front: Rc<Frontend>, io: S) -> ClientConnection<S> {
        let now = front.wheel.now();
        let entry = Entry::new(front.lifecycle.clone(), now);
        let idle_ms = front.table.get().bounds.idle_ms;
        ClientConnection {
            front,
            io,
            entry,
            from: BytesMut::new(),
            reading: Reading::Head,
            queue: VecDeque::new(),
            idle_since: now,
            moved: now,
            idle_ms,
            begun: false,
            go_on: false,
            spilt: 0,
            left: false,
            writing: false,
            alarm: None,
        }
    }

    /// Serves the connection to its end.
    pub(super) async fn run(mut self) {
        loop {
            self.advance();
            if std::mem::take(&mut self.go_on) {
                let mut text = &b"HTTP/1.1 100 Continue\r\n\r\n"[..];
                if !self.write(&mut text).await {
                    return;
                }
            }
            if matches!(self.reading, Reading::Over) && self.queue.is_empty() {
                return self.linger().await; // A rest of a body did not come as stated; its answer has been given.
            }
            if self.from.is_empty() {
                // Idle connections are many: they hold no buffer.
                self.from = BytesMut::new();
            }
            let idle = self.idle();
            self.entry.set_idle(idle.then_some(self.idle_since));
            match poll_fn(|context| self.poll_event(context)).await {
                Event::Answer => match self.answer().await {
                    Written::Kept => {}
                    Written::Last => return self.linger().await,
                    Written::Broken => return,
                },
                Event::Stirred => {}
                Event::Late if self.idle() => return,
                Event::Late => self.late(),
                Event::Gone => {
                    if !self.queue.is_empty() {
                        count(&self.front.counts.client_gone);
                    }
                    return;
                }
            }
        }
    }

    /// No request has begun to come, and none is unanswered.
    fn idle(&self) -> bool {
        self.queue.is_empty() && self.from.is_empty() && matches!(self.reading, Reading::Head)
    }

    // ---- waiting

    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<Event> {
        self.entry.connection.set_waker(context.waker());
        self.poll_work(context);
        if self.queue.front().is_some_and(|first| first.reply.is_some()) {
            return Poll::Ready(Event::Answer);
        }
        if let Reading::Upload(upload) = &mut self.reading {
            if let Some(room) = &mut upload.room {
                if let Poll::Ready(permit) = room.as_mut().poll(context) {
                    upload.room = None;
                    match (permit, upload.backlog.pop_front()) {
                        (Some(permit), Some(part)) => drop(permit.send(part)),
                        _ => upload.to = None,
                    }
                    self.moved = self.front.wheel.now();
                    return Poll::Ready(Event::Stirred);
                }
            }
        }
        if let Poll::Ready(there) = self.poll_read(context) {
            return Poll::Ready(if there { Event::Stirred } else { Event::Gone });
        }
        // After the last look at the socket: a request that has come in time is served.
        if self.entry.connection.is_evicted() && self.idle() {
            return Poll::Ready(Event::Gone);
        }
        let leaving = self.front.lifecycle.is_shutting_down();
        if std::mem::replace(&mut self.left, leaving) != leaving {
            return Poll::Ready(Event::Stirred);
        }
        self.poll_alarm(context)
    }

    /// Moves the requests at work on; at the program's end those that have no answer yet are told so.
    fn poll_work(&mut self, context: &mut Context<'_>) {
        let ended = self.front.lifecycle.is_failing_unanswered();
        for waiting in &mut self.queue {
            let Some(work) = &mut waiting.work else { continue };
            if let Poll::Ready(reply) = work.as_mut().poll(context) {
                (waiting.work, waiting.reply) = (None, Some(reply));
            } else if ended {
                count(&self.front.counts.cut_by_end);
                let late = LocalReply::new(504, "the gateway ended before a server had answered");
                (waiting.work, waiting.reply) = (None, Some(Reply::Local(late)));
            }
        }
    }

    /// Reads what can be dealt with; `false`: the client is gone.
    fn poll_read(&mut self, context: &mut Context<'_>) -> Poll<bool> {
        let wanted = match &self.reading {
            Reading::Upload(upload) => upload.backlog.is_empty() && self.from.len() < MOST_UNREAD,
            Reading::Over => self.spilt < MOST_UNREAD,
            Reading::Head if self.queue.is_empty() && !self.writing => true,
            _ => self.from.len() < MOST_UNREAD,
        };
        if !wanted {
            return Poll::Pending;
        }
        let mut scratch = self.front.read_buffer.borrow_mut();
        let mut space = ReadBuf::new(&mut scratch);
        match Pin::new(&mut self.io).poll_read(context, &mut space) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Err(_)) => return Poll::Ready(false),
            Poll::Ready(Ok(())) if space.filled().is_empty() => return Poll::Ready(false),
            Poll::Ready(Ok(())) => {}
        }
        match self.reading {
            Reading::Over => self.spilt += space.filled().len(),
            // The time of a head runs from its first byte, that of a body from its last one.
            Reading::Head if self.begun => self.from.extend_from_slice(space.filled()),
            _ => {
                self.from.extend_from_slice(space.filled());
                self.moved = self.front.wheel.now();
            }
        }
        Poll::Ready(true)
    }

    /// When the present state must have ended, ms of the program's clock.
    fn due(&self) -> f64 {
        let bounds = &self.front.table.get().bounds;
        let lifecycle = &self.front.lifecycle;
        match &self.reading {
            Reading::Head if self.idle() => {
                (self.idle_since + self.idle_ms).min(lifecycle.idle_until(self.idle_since))
            }
            Reading::Head if self.begun => self.moved + bounds.head_ms,
            Reading::Whole(whole) => {
                (self.moved + bounds.head_ms).min(whole.routed.arrived + whole.routed.time_limit_ms)
            }
            Reading::Discard(_) => self.moved + bounds.head_ms,
            Reading::Upload(upload) if upload.backlog.is_empty() => self.moved + bounds.head_ms,
            _ => f64::INFINITY,
        }
    }

    /// One timer a connection, which is moved only when it would ring too late.
    fn poll_alarm(&mut self, context: &mut Context<'_>) -> Poll<Event> {
        let due = self.due();
        loop {
            if due == f64::INFINITY {
                return Poll::Pending;
            }
            match &mut self.alarm {
                Some((at, sleep)) if *at <= due => {
                    if Pin::new(sleep).poll(context).is_pending() {
                        return Poll::Pending;
                    }
                    self.alarm = None;
                    if self.front.wheel.now() >= due {
                        return Poll::Ready(Event::Late);
                    }
                }
                _ => self.alarm = Some((due, self.front.wheel.sleep_until(due))),
            }
        }
    }

    /// The time of the present state is up.
    fn late(&mut self) {
        match &mut self.reading {
            Reading::Head | Reading::Whole(_) => {
                self.own(LocalReply::new(408, "request not whole in time"), None, false, 1);
                self.reading = Reading::Over;
            }
            // It has been passed on: its answer stands, and tells whether it ran.
            Reading::Upload(_) | Reading::Discard(_) => self.reading = Reading::Over,
            Reading::Held(_) | Reading::Over => {}
        }
    }

    // ---- reading

    /// Deals with what has been read as far as it goes.
    fn advance(&mut self) {
        loop {
            let reading = std::mem::replace(&mut self.reading, Reading::Over);
            let (next, on) = match reading {
                Reading::Head => self.read_head(),
                Reading::Held(held) if self.queue.is_empty() => (self.begin(held.0, held.1), true),
                Reading::Whole(whole) => self.read_whole(whole),
                Reading::Upload(upload) => self.read_upload(upload),
                Reading::Discard(reader) => self.discard(reader),
                held @ Reading::Held(_) => (held, false),
                Reading::Over => {
                    self.from.clear();
                    (Reading::Over, false)
                }
            };
            self.reading = next;
            if !on {
                return;
            }
        }
    }

    /// The next state, and whether to go on at once.
    fn read_head(&mut self) -> (Reading, bool) {
        let ahead = self.queue.len();
        // Once it is leaving, the last answer due closes: what was sent behind it stays unread.
        if ahead >= MOST_AHEAD || (ahead > 0 && self.front.lifecycle.is_shutting_down()) {
            self.begun = false;
            return (Reading::Head, false);
        }
        let now = self.front.wheel.now();
        let most = self.front.table.get().bounds.head;
        match read_request_head(&mut self.from, most) {
            Ok(None) => {
                if !self.begun && !self.from.is_empty() {
                    (self.begun, self.moved) = (true, now);
                }
                (Reading::Head, false)
            }
            Ok(Some(head)) => {
                (self.begun, self.moved) = (false, now);
                count(&self.front.counts.requests);
                if ahead > 0 && !self.may_go_ahead(&head) {
                    return (Reading::Held(Box::new((head, now))), false);
                }
                (self.begin(head, now), true)
            }
            Err(error) => {
                self.own(improper(&error), None, false, 1);
                (Reading::Over, true)
            }
        }
    }

    /// It may be at work while others before it are: repeatable, its body, if any, short and on its way, and none before it
    /// whose answer may break the connection off, so that its own could never be given.
    fn may_go_ahead(&self, head: &RequestHead) -> bool {
        if self.queue.iter().any(|waiting| waiting.large_answer) {
            return false;
        }
        let short = matches!(head.framing, Framing::Length(length) if length <= MOST_WHOLE);
        short && !head.expects_continue() && self.front.is_repeatable(head)
    }

    /// Begins with a request whose head is there.
    fn begin(&mut self, head: RequestHead, arrived: f64) -> Reading {
        let (framing, expects) = (head.framing, head.expects_continue());
        let reader = match BodyReader::new(framing, self.front.table.get().bounds.body) {
            Ok(reader) => reader,
            Err(error) => return self.turn_away(&head, improper(&error), None),
        };
        let routed = match self.front.route_request(&head, arrived) {
            Ok(routed) => routed,
            Err(own) => return self.turn_away(&head, own, Some(reader)),
        };
        if reader.is_complete() {
            return self.start(head, routed, Body::Whole(Bytes::new()));
        }
        self.go_on = expects && self.from.is_empty();
        match framing {
            Framing::Length(length) if length > MOST_WHOLE => {
                self.upload(head, routed, reader, Some(length as u64), VecDeque::new())
            }
            _ => Reading::Whole(Box::new(Whole { head, routed, reader, held: BytesMut::new() })),
        }
    }

    /// Answers a request that goes no further, and finds out whether the connection can be kept.
    fn turn_away(&mut self, head: &RequestHead, own: LocalReply, reader: Option<BodyReader>) -> Reading {
        let id = head.headers.get("x-attempt-id").map(str::to_string);
        self.own(own, id, head.method == "HEAD", head.minor);
        match (reader, head.framing) {
            (Some(reader), _) if reader.is_complete() => after(head.keep_alive),
            // A client that waits for a word before it sends its body may send none now.
            (Some(reader), Framing::Length(length))
                if length <= MOST_WHOLE && head.keep_alive && !head.expects_continue() =>
            {
                Reading::Discard(reader)
            }
            _ => Reading::Over,
        }
    }

    /// Queues an answer of the gateway itself.
    fn own(&mut self, own: LocalReply, attempt_id: Option<String>, is_head: bool, http_minor: u8) {
        let reply = Some(Reply::Local(own));
        self.queue.push_back(Waiting {
            large_answer: false,
            work: None,
            reply,
            attempt_id,
            is_head,
            http_minor,
        });
    }

    /// Sets a request to work; the next state.
    fn start(&mut self, head: RequestHead, routed: RoutedRequest, body: Body) -> Reading {
        let next = after(head.keep_alive);
        let (is_head, http_minor) = (head.method == "HEAD", head.minor);
        let attempt_id = Some(routed.attempt_id.clone());
        let large_answer = routed.route.large_answers;
        let work = Some(Box::pin(self.front.clone().handle_request(head, routed, body)) as Pin<Box<_>>);
        self.queue.push_back(Waiting { large_answer, work, reply: None, attempt_id, is_head, http_minor });
        next
    }

    /// Sets a request to work whose body goes on as it comes.
    fn upload(
        &mut self,
        head: RequestHead,
        routed: RoutedRequest,
        reader: BodyReader,
        length: Option<u64>,
        backlog: VecDeque<Part>,
    ) -> Reading {
        let (to, parts) = mpsc::channel(PARTS);
        let keep = head.keep_alive;
        self.start(head, routed, Body::Streamed(Some(Stream { length, parts }).into()));
        Reading::Upload(Box::new(Upload { reader, keep, to: Some(to), backlog, room: None }))
    }

    fn read_whole(&mut self, mut whole: Box<Whole>) -> (Reading, bool) {
        loop {
            match whole.reader.next(&mut self.from) {
                Ok(Chunk::Part(part)) if whole.held.is_empty() && whole.reader.is_complete() => {
                    let Whole { head, routed, .. } = *whole;
                    return (self.start(head, routed, Body::Whole(part)), true);
                }
                Ok(Chunk::Part(part)) if whole.held.len() + part.len() > MOST_WHOLE => {
                    let Whole { head, routed, reader, held } = *whole;
                    let mut backlog = VecDeque::new();
                    for mut bytes in [held.freeze(), part] {
                        while !bytes.is_empty() {
                            backlog.push_back(Part::Data(bytes.split_to(bytes.len().min(MOST_PART))));
                        }
                    }
                    return (self.upload(head, routed, reader, None, backlog), true);
                }
                Ok(Chunk::Part(part)) => whole.held.extend_from_slice(&part),
                Ok(Chunk::End) => {
                    let Whole { head, routed, held, .. } = *whole;
                    return (self.start(head, routed, Body::Whole(held.freeze())), true);
                }
                Ok(Chunk::Incomplete) => return (Reading::Whole(whole), false),
                Err(error) => return (self.turn_away(&whole.head, improper(&error), None), true),
            }
        }
    }

    fn read_upload(&mut self, mut upload: Box<Upload>) -> (Reading, bool) {
        loop {
            if let (Some(to), None) = (&upload.to, &upload.room) {
                while let Some(part) = upload.backlog.pop_front() {
                    match to.try_send(part) {
                        Ok(()) => {}
                        Err(TrySendError::Full(part)) => {
                            upload.backlog.push_front(part);
                            let to = to.clone();
                            upload.room = Some(Box::pin(async move { to.reserve_owned().await.ok() }));
                            break;
                        }
                        Err(TrySendError::Closed(_)) => {
                            upload.to = None;
                            break;
                        }
                    }
                }
            }
            if upload.to.is_none() {
                // The answer is due; what still comes is of no use to anybody.
                return (upload.rest(), true);
            }
            if !upload.backlog.is_empty() {
                return (Reading::Upload(upload), false);
            }
            if upload.reader.is_complete() {
                return (after(upload.keep), true);
            }
            match upload.reader.next(&mut self.from) {
                Ok(Chunk::Part(part)) => {
                    upload.backlog.push_back(Part::Data(part));
                    if upload.reader.is_complete() {
                        upload.backlog.push_back(Part::End);
                    }
                }
                Ok(Chunk::End) => upload.backlog.push_back(Part::End),
                Ok(Chunk::Incomplete) => return (Reading::Upload(upload), false),
                Err(error) => {
                    // No server has had it whole, and dropping the work tells the servers' side to let go.
                    if let Some(waiting) = self.queue.back_mut() {
                        waiting.work = None;
                        waiting.reply = Some(Reply::Local(improper(&error)));
                    }
                    return (Reading::Over, true);
                }
            }
        }
    }

    fn discard(&mut self, mut reader: BodyReader) -> (Reading, bool) {
        loop {
            match reader.next(&mut self.from) {
                Ok(Chunk::Part(_)) => {}
                Ok(Chunk::End) => return (Reading::Head, true),
                Ok(Chunk::Incomplete) => return (Reading::Discard(reader), false),
                Err(_) => return (Reading::Over, true),
            }
        }
    }

    // ---- writing

    /// Writes the first of the answers, which is there.
    async fn answer(&mut self) -> Written {
        let Some(Waiting { reply: Some(reply), attempt_id, is_head, http_minor, .. }) =
            self.queue.pop_front()
        else {
            return Written::Broken;
        };
        if let (true, Reading::Upload(_)) = (self.queue.is_empty(), &self.reading) {
            // Answered before its body was whole: nobody waits for the rest.
            if let Reading::Upload(upload) = std::mem::replace(&mut self.reading, Reading::Over) {
                self.reading = upload.rest();
            }
        }
        let leaving = self.front.lifecycle.is_shutting_down();
        // Those behind that are at work have been passed on: they are answered first, whatever ends the connection.
        let ends = leaving || self.entry.connection.is_evicted() || matches!(self.reading, Reading::Over);
        let close = ends && self.queue.is_empty();
        self.idle_ms = self.front.table.get().bounds.idle_ms;
        let hop = ReplyContext { close, http_minor, is_head, idle_timeout_ms: self.idle_ms };
        self.writing = true;
        let written = self.put(reply, attempt_id.as_deref(), &hop).await && self.io.flush().await.is_ok();
        self.writing = false;
        (self.idle_since, self.moved) = (self.front.wheel.now(), self.front.wheel.now());
        match (written, close) {
            (false, _) => Written::Broken,
            (true, true) => Written::Last,
            (true, false) => Written::Kept,
        }
    }

    /// `false`: it did not get through whole.
    async fn put(&mut self, reply: Reply, attempt_id: Option<&str>, hop: &ReplyContext) -> bool {
        let mut out = BytesMut::new();
        let follows = match reply {
            Reply::Local(own) => Err(own),
            Reply::Served(served) => put_served_reply(&mut out, served, hop),
        };
        let counts = &self.front.clone().counts;
        let written = match follows {
            Err(own) => {
                counts.count_local_reply(own.status);
                put_local_reply(&mut out, &own, attempt_id, hop);
                return self.write(&mut out).await;
            }
            Ok(ReplyBody::Empty) => self.write(&mut out).await,
            Ok(ReplyBody::Whole(body)) => self.write(&mut out.chain(body)).await,
            Ok(ReplyBody::Streamed(stream)) => self.pump(out, stream).await,
        };
        count(if written { &counts.served } else { &counts.broken });
        written
    }

    /// Passes a body on as it comes. `false`: it broke off; then nothing has been written that would make it look
    /// complete.
    async fn pump(&mut self, mut out: BytesMut, mut stream: Stream) -> bool {
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
                (Some(Part::Data(bytes)), _) if bytes.is_empty() => true,
                (Some(Part::Data(bytes)), Some(left)) => match left.checked_sub(bytes.len() as u64) {
                    Some(rest) => {
                        *left = rest;
                        self.write(&mut out.split().chain(bytes)).await
                    }
                    // More than stated: the surplus would be taken for another answer.
                    None => false,
                },
                (Some(Part::Data(bytes)), None) => {
                    put_chunk_size(&mut out, bytes.len());
                    self.write(&mut out.split().chain(bytes).chain(&b"\r\n"[..])).await
                }
                (Some(Part::End), Some(0)) => return self.write(&mut out).await,
                (Some(Part::End), None) => {
                    put_last_chunk(&mut out);
                    return self.write(&mut out).await;
                }
                (Some(Part::End), Some(_)) | (None, _) => false,
            };
            if !sent {
                return false;
            }
        }
    }

    /// The next part; `None`: it broke off, or the client is gone. Meanwhile requests behind are at work.
    fn poll_part(&mut self, context: &mut Context<'_>, stream: &mut Stream) -> Poll<Option<Part>> {
        if let Poll::Ready(part) = stream.parts.poll_recv(context) {
            return Poll::Ready(part);
        }
        self.poll_work(context);
        loop {
            match self.poll_read(context) {
                Poll::Ready(true) => {}
                Poll::Ready(false) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Writes it all; `false`: the client is gone, or has not read for as long as a connection may be idle.
    async fn write(&mut self, bytes: &mut impl Buf) -> bool {
        while bytes.has_remaining() {
            let mut step = pin!(self.io.write_buf(bytes));
            // A timer only where it has to wait.
            let wrote = match poll_fn(|context| Poll::Ready(step.as_mut().poll(context))).await {
                Poll::Ready(wrote) => Some(wrote),
                Poll::Pending => {
                    let most = self.front.table.get().bounds.idle_ms;
                    self.front.wheel.timeout(most, step).await
                }
            };
            if !matches!(wrote, Some(Ok(1..))) {
                return false;
            }
        }
        true
    }

    /// After the last answer: closes its own direction, and waits for the client to close the other.
    async fn linger(mut self) {
        self.entry.set_idle(Some(self.front.wheel.now()));
        self.entry.connection.evict();
        (self.from, self.alarm) = (BytesMut::new(), None);
        let front = self.front.clone();
        let drained = async {
            let mut left = MOST_LINGERED;
            let mut on = self.io.shutdown().await.is_ok();
            while on && left > 0 {
                let read = poll_fn(|context| {
                    let mut scratch = front.read_buffer.borrow_mut();
                    let mut space = ReadBuf::new(&mut scratch);
                    Pin::new(&mut self.io).poll_read(context, &mut space).map_ok(|()| space.filled().len())
                });
                let read = read.await.unwrap_or(0);
                left = left.saturating_sub(read);
                on = read > 0;
            }
        };
        front.wheel.timeout(LINGER_MS, drained).await;
    }
}

impl Upload {
    /// What to read once nobody wants the body any more: a short rest is read over, so that the connection can stay.
    fn rest(self) -> Reading {
        match self.reader.stated_left() {
            Some(left) if self.keep && left <= MOST_WHOLE as u64 => Reading::Discard(self.reader),
            _ => Reading::Over,
        }
    }
}

/// What to read after a request that is whole.
fn after(keep: bool) -> Reading {
    if keep {
        Reading::Head
    } else {
        Reading::Over
    }
}

/// The answer to what is no proper request.
fn improper(error: &HttpError) -> LocalReply {
    match error {
        HttpError::HeadTooLarge => LocalReply::new(431, "head too large"),
        HttpError::BodyTooLarge => LocalReply::new(413, "body too large"),
        _ => LocalReply::new(400, "malformed request"),
    }
}
