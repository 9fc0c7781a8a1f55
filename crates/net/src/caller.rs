//! Calls to the system's own processes and to other control services: HTTP/1.1 over kept connections.

use crate::call_state::{Calls, CALL_ID};
use crate::link;
use crate::wheel::Wheel;
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::StreamExt;
use nickeljunction_http::{Headers, HttpError, RegionCodec};
use quick_error::quick_error;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Most idle connections kept to one address.
const MOST_IDLE: usize = 3;
/// A kept connection unused for so long is closed here, ms: well before a [`crate::desk::Desk`] closes it, so that a
/// call seldom crosses the close.
const KEEP_MS: f64 = 20_000.0;
/// A connection comes up within this, ms, or is given up: the first packet to a dark machine, or to one whose queue was
/// full, is sent again only after a second. Twice the longest way between regions and then some.
const CONNECT_MS: f64 = 200.0;
/// Longest body of an answer, bytes: a whole document with the registers beside it.
pub const MOST_ANSWER: usize = 16 << 20;
/// What a connection's read buffer holds, bytes.
const READ_BYTES: usize = 4 * 1024;
/// A body up to so long goes out in one write with its head, bytes.
const JOINED: usize = 16 * 1024;
/// Room for the line of the call's number, bytes.
const NUMBER_BYTES: usize = 36;

quick_error! {
    /// Why a call has no answer: the step it failed at, and the peer.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection came up: the peer has not begun.
        Connect(peer: SocketAddr, cause: io::Error) {
            display("connecting to {}: {}", peer, cause)
            source(cause)
        }
        /// The request did not go out whole: the peer has not begun.
        Write(peer: SocketAddr, cause: io::Error) {
            display("writing to {}: {}", peer, cause)
            source(cause)
        }
        /// No whole answer came: the peer may have done what was asked.
        Answer(peer: SocketAddr, cause: HttpError) {
            display("reading the answer of {}: {}", peer, cause)
            source(cause)
        }
        /// The call's time ran out at the step named.
        TimedOut(peer: SocketAddr, step: Step, ms: f64) {
            display("{} {}: not done within {} ms", step.doing(), peer, ms)
        }
    }
}

impl CallError {
    /// The peer may have done what was asked; otherwise it certainly has not.
    pub fn may_have_run(&self) -> bool {
        matches!(self, CallError::Answer(..) | CallError::TimedOut(_, Step::Answer, _))
    }

    /// The peer called.
    pub fn peer(&self) -> SocketAddr {
        match self {
            CallError::Connect(peer, _) | CallError::Write(peer, _) => *peer,
            CallError::Answer(peer, _) | CallError::TimedOut(peer, _, _) => *peer,
        }
    }
}

/// The steps of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The connection comes up.
    Connect,
    /// The request goes out.
    Write,
    /// The answer is awaited and read.
    Answer,
}

impl Step {
    fn doing(self) -> &'static str {
        match self {
            Step::Connect => "connecting to",
            Step::Write => "writing to",
            Step::Answer => "awaiting the answer of",
        }
    }
}

/// An answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// Status code; redirections are the caller's to follow.
    pub status: u16,
    /// Header lines.
    pub headers: Headers,
    /// Body.
    pub body: Bytes,
}

/// A connection that waits for the next call.
struct Idle {
    framed: Framed<TcpStream, RegionCodec>,
    calls: Calls,
    since: f64,
}

/// A client with kept connections: each carries one call at a time, and parallel calls open further ones.
pub struct Caller {
    wheel: Wheel,
    connect_ms: f64,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Caller {
    /// A client without connections; the wheel bounds its calls.
    pub fn new(wheel: Wheel) -> Rc<Caller> {
        Caller::within(wheel, CONNECT_MS)
    }

    /// The same for peers that are near: a connection that is not up after `connect_ms` is given up.
    pub fn within(wheel: Wheel, connect_ms: f64) -> Rc<Caller> {
        Rc::new(Caller { wheel, connect_ms, idle: RefCell::default() })
    }

    /// Sends one request, once, and waits for the whole answer, `timeout_ms` at most for all of it. A body is sent as
    /// JSON unless `headers` name a type. Dropping the future gives the call up and closes its connection.
    ///
    /// # Errors
    ///
    /// [`CallError`]. Nothing is repeated here, not even what failed on a kept connection: whether a second time does
    /// harm is known to who calls.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout_ms: f64,
    ) -> Result<Reply, CallError> {
        let head = head(to, method, path, headers, body).map_err(|cause| CallError::Write(to, cause))?;
        let step = Cell::new(Step::Connect);
        match self.wheel.timeout(timeout_ms, self.exchange(to, head, body, &step)).await {
            Some(ended) => ended,
            None => Err(CallError::TimedOut(to, step.get(), timeout_ms)),
        }
    }

    /// Closes idle connections to a peer that is known to be gone or to have been replaced.
    pub fn forget(&self, peer: SocketAddr) {
        self.idle.borrow_mut().remove(&peer);
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        mut head: BytesMut,
        body: &[u8],
        step: &Cell<Step>,
    ) -> Result<Reply, CallError> {
        let (mut framed, mut calls) = match self.take_idle(to) {
            Some(kept) => kept,
            None => {
                let connected = self.wheel.timeout(self.connect_ms, link::connect(to)).await;
                let stream = connected
                    .ok_or(CallError::TimedOut(to, Step::Connect, self.connect_ms))?
                    .map_err(|cause| CallError::Connect(to, cause))?;
                (Framed::with_capacity(stream, RegionCodec::new(MOST_ANSWER), READ_BYTES), Calls::default())
            }
        };
        step.set(Step::Write);
        head.extend_from_slice(format!("{CALL_ID}: {}\r\n\r\n", calls.begin()).as_bytes());
        let rest = if body.len() <= JOINED {
            head.extend_from_slice(body);
            &[]
        } else {
            body
        };
        let written = async {
            framed.get_mut().write_all(&head).await?;
            framed.get_mut().write_all(rest).await
        };
        // A peer that wants no such body answers before it has all of it, and closes: its answer tells why.
        let written = written.await;
        step.set(Step::Answer);
        let (reply, sent_whole) = match (framed.next().await, written) {
            (Some(Ok(reply)), written) => (reply, written.is_ok()),
            (_, Err(cause)) => return Err(CallError::Write(to, cause)),
            (Some(Err(cause)), Ok(())) => return Err(CallError::Answer(to, cause)),
            (None, Ok(())) => {
                let cause = HttpError::Io(io::ErrorKind::UnexpectedEof.into());
                return Err(CallError::Answer(to, cause));
            }
        };
        let refusal = reply.status >= 400 && !reply.keep_alive;
        if !calls.belongs(reply.headers.get(CALL_ID), refusal) {
            return Err(CallError::Answer(to, HttpError::Malformed("answer to another call")));
        }
        // Bytes past the answer would be taken for the answer to the next call.
        if calls.reusable(reply.keep_alive, sent_whole, framed.read_buffer().is_empty()) {
            self.keep(to, framed, calls);
        }
        Ok(Reply { status: reply.status, headers: reply.headers, body: reply.body })
    }

    /// A kept connection that is still good; closes those that are not, to whichever peer.
    fn take_idle(&self, to: SocketAddr) -> Option<(Framed<TcpStream, RegionCodec>, Calls)> {
        let (mut idle, now) = (self.idle.borrow_mut(), self.wheel.now());
        idle.retain(|_, kept| {
            kept.retain(|one| now - one.since < KEEP_MS);
            !kept.is_empty()
        });
        let kept = idle.get_mut(&to)?;
        while let Some(one) = kept.pop() {
            // A closed one would lose the call, and one on which something came would give a wrong answer.
            if link::quiet(one.framed.get_ref()) {
                return Some((one.framed, one.calls));
            }
        }
        None
    }

    fn keep(&self, to: SocketAddr, mut framed: Framed<TcpStream, RegionCodec>, calls: Calls) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(to).or_default();
        if kept.len() < MOST_IDLE {
            link::shrink(framed.read_buffer_mut(), READ_BYTES);
            kept.push(Idle { framed, calls, since: self.wheel.now() });
        }
    }
}

/// The head of a request, but for the call's number and the empty line. The error: a part of it would break its line and be read as something else.
fn head(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<BytesMut> {
    let plain = |text: &str| !text.bytes().any(|byte| byte.is_ascii_control());
    let word = |text: &str| !text.is_empty() && plain(text) && !text.contains(' ');
    if !(word(method) && word(path) && headers.iter().all(|(name, value)| word(name) && plain(value))) {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "method, path or header line is malformed"));
    }
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\n");
    for (name, value) in headers {
        text.extend([name, ": ", value, "\r\n"]);
    }
    if !body.is_empty() && !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("content-type")) {
        text.push_str("Content-Type: application/json\r\n");
    }
    if !body.is_empty() || !matches!(method, "GET" | "HEAD") {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    let joined = if body.len() <= JOINED { body.len() } else { 0 };
    let mut head = BytesMut::with_capacity(text.len() + NUMBER_BYTES + joined);
    head.put_slice(text.as_bytes());
    Ok(head)
}
