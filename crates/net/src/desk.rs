//! The server of inner and control calls: HTTP/1.1, whole requests, resources by the prefix of their path.

use crate::call_state::{self, CALL_ID};
use crate::link;
use crate::wheel::Wheel;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use nickeljunction_http::{reason, Headers, HttpError, TerminalCodec, MOST_HEAD};
use std::borrow::Cow;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio_util::codec::Framed;

/// What a connection's read buffer holds, bytes.
const READ_BYTES: usize = 4 * 1024;
/// An answer's body up to so long goes out in one write with its head, bytes.
const JOINED: usize = 16 * 1024;
/// How long what a client still sends is taken in and thrown away after an error, ms: closed at once, the kernel would
/// reset the connection and the client might never see the answer.
const LINGER_MS: f64 = 1_000.0;
/// How long after a failed accept the next one is tried, ms: with no descriptor free it fails at once.
const ACCEPT_AGAIN_MS: f64 = 50.0;
/// How often a client that has sent more than its request is looked at for its end while a call is held, ms.
const LOOK_MS: f64 = 250.0;

/// Bounds of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Most connections at once; further clients wait in the kernel's queue while idle ones are closed for them.
    pub connections: usize,
    /// Longest body of a request, bytes.
    pub body: usize,
    /// How long a request may take from its first byte to its last, ms.
    pub read_ms: f64,
    /// How long an answer may take to go out, ms.
    pub write_ms: f64,
    /// How long a connection may wait for its next request, ms.
    pub idle_ms: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { connections: 512, body: 8 << 20, read_ms: 30_000.0, write_ms: 30_000.0, idle_ms: 60_000.0 }
    }
}

/// A request to a resource.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: String,
    /// Path and query as they came.
    pub target: String,
    /// Header lines.
    pub headers: Headers,
    /// Body.
    pub body: Bytes,
    /// Where the client's connection comes from.
    pub peer: SocketAddr,
}

impl Call {
    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The query without its question mark, as it came; empty if there is none.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }
}

/// An answer. A body without a `Content-Type` line is sent as JSON.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header lines beside `Content-Length` and `Connection`.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
    /// The connection ends with this answer.
    pub close: bool,
}

impl Response {
    /// An answer without a body.
    pub fn empty(status: u16) -> Response {
        Response { status, headers: Vec::new(), body: Bytes::new(), close: false }
    }

    /// An answer whose body is JSON, already written.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Response {
        Response { body: body.into(), ..Response::empty(status) }
    }

    /// An answer whose body is a text.
    pub fn text(status: u16, text: impl Into<String>) -> Response {
        let body = Bytes::from(text.into());
        Response { body, ..Response::empty(status) }.with("Content-Type", "text/plain; charset=utf-8")
    }

    /// An error as `{"error": text}`; the text should name what is wanted.
    pub fn error(status: u16, text: &str) -> Response {
        Response::json(status, format!("{{\"error\":{}}}", quoted(text)))
    }

    /// A temporary redirection: the same method and body are to go to `location`.
    pub fn redirect(location: impl Into<String>) -> Response {
        Response::error(307, "another one answers this: see Location").with("Location", location)
    }

    /// The same answer with one more header line.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Response {
        self.headers.push((name, value.into()));
        self
    }

    /// The bytes of the head; `named`: the number of the call that it answers.
    fn head(&self, close: bool, named: Option<&str>) -> BytesMut {
        let mut text = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        for (name, value) in &self.headers {
            text.push_str(name);
            text.push_str(": ");
            // A control character would break the line, and the rest be read as another.
            text.extend(value.chars().filter(|char| !char.is_control()));
            text.push_str("\r\n");
        }
        let typed = self.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("content-type"));
        if !self.body.is_empty() && !typed {
            text.push_str("Content-Type: application/json\r\n");
        }
        if let Some(number) = named {
            text.extend([CALL_ID, ": ", number, "\r\n"]);
        }
        if close {
            text.push_str("Connection: close\r\n");
        }
        // These two have no body by definition, and a length would speak of one.
        if !self.bodiless() {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        BytesMut::from(text.as_bytes())
    }

    fn bodiless(&self) -> bool {
        matches!(self.status, 204 | 304)
    }
}

/// A text as JSON writes it.
fn quoted(text: &str) -> String {
    let mut quoted = String::with_capacity(text.len() + 2);
    quoted.push('"');
    for char in text.chars() {
        match char {
            '"' | '\\' => quoted.extend(['\\', char]),
            char if char < ' ' => quoted.push_str(&format!("\\u{:04x}", char as u32)),
            char => quoted.push(char),
        }
    }
    quoted.push('"');
    quoted
}

/// A text without its percent signs; what is no escape stays as it is.
pub fn percent_decoded(text: &str) -> Cow<'_, str> {
    if !text.contains('%') {
        return text.into();
    }
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::with_capacity(text.len()), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned().into()
}

/// An answer to come.
pub type Answering<'a> = Pin<Box<dyn Future<Output = Response> + 'a>>;

/// What answers the requests under a prefix.
pub trait Resource {
    /// Answers one request, at once or held until there is something to tell. The future is dropped when the client
    /// goes away before, or closes its side for sending: what a held call keeps learns of it by `Drop`.
    fn handle<'a>(&'a self, call: Call) -> Answering<'a>;
}

/// A server: connections, and the resources that answer on them.
pub struct Desk {
    wheel: Wheel,
    limits: Limits,
    routes: Vec<(String, Rc<dyn Resource>)>,
    leaving: Cell<bool>,
    left: Notify,
    /// One idle connection should close, since a client finds no place.
    squeeze: Notify,
}

impl Desk {
    /// A server without resources.
    pub fn new(wheel: Wheel, limits: Limits) -> Desk {
        let (leaving, left, squeeze) = (Cell::new(false), Notify::new(), Notify::new());
        Desk { wheel, limits, routes: Vec::new(), leaving, left, squeeze }
    }

    /// The same with a resource at a path and all below it; the longest prefix that fits a path wins.
    pub fn route(mut self, prefix: &str, resource: Rc<dyn Resource>) -> Desk {
        self.routes.push((prefix.to_string(), resource));
        // Longest first, so that the first that fits wins.
        self.routes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        self
    }

    /// Begins the end: no connection is accepted any more, idle ones close, and each answer still to come closes its
    /// connection. [`Desk::serve`] returns once all are closed.
    pub fn close_all(&self) {
        self.leaving.set(true);
        self.left.notify_waiters();
    }

    /// Serves a listener until [`Desk::close_all`] has closed all connections. Dropping the future closes them at once.
    /// Must run in a `LocalSet`.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        while !self.leaving.get() {
            let full = connections.len() >= self.limits.connections;
            if full {
                self.squeeze.notify_one();
            }
            tokio::select! {
                biased;
                () = self.left.notified() => {}
                Some(_) = connections.join_next() => {}
                accepted = listener.accept(), if !full => match accepted {
                    Ok((stream, peer)) => drop(connections.spawn_local(self.clone().connection(stream, peer))),
                    Err(_) => self.wheel.sleep(ACCEPT_AGAIN_MS).await,
                },
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    /// Serves one connection to its end.
    async fn connection(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        if link::tune(&stream).is_err() {
            return;
        }
        let codec = TerminalCodec::with_most(self.limits.body);
        let mut framed = Framed::with_capacity(stream, codec, READ_BYTES);
        while self.begun(&mut framed).await {
            let request = match self.wheel.timeout(self.limits.read_ms, framed.next()).await {
                Some(Some(Ok(request))) => request,
                Some(None | Some(Err(HttpError::Io(_)))) => return,
                Some(Some(Err(error))) => return self.refuse(framed.get_mut(), &error).await,
                None => return self.refuse(framed.get_mut(), &HttpError::TooSlow).await,
            };
            // A large body must not stay with a connection that idles.
            link::shrink(framed.read_buffer_mut(), READ_BYTES);
            let (headless, keep) = (request.method == "HEAD", request.keep_alive);
            let named = call_state::number(request.headers.get(CALL_ID)).map(str::to_string);
            let (method, target, headers, body) =
                (request.method, request.target, request.headers, request.body);
            let call = Call { method, target, headers, body, peer };
            let Some(answer) = self.answer(framed.get_ref(), call).await else { return };
            let close = answer.close || !keep || self.leaving.get();
            let written = self.write(framed.get_mut(), &answer, close, headless, named.as_deref()).await;
            if written.is_none() || close {
                return;
            }
        }
    }

    /// Waits for the next request's first byte; `false`: there will be none.
    async fn begun(&self, framed: &mut Framed<TcpStream, TerminalCodec>) -> bool {
        if !framed.read_buffer().is_empty() {
            return true;
        }
        if self.leaving.get() {
            return false;
        }
        let mut byte = [0; 1];
        tokio::select! {
            biased;
            seen = framed.get_ref().peek(&mut byte) => seen.is_ok_and(|bytes| bytes > 0),
            () = self.left.notified() => false,
            () = self.squeeze.notified() => false,
            () = self.wheel.sleep(self.limits.idle_ms) => false,
        }
    }

    /// The answer to a call; `None`: the client has gone, and what was to answer it is dropped.
    async fn answer(&self, stream: &TcpStream, call: Call) -> Option<Response> {
        let path = call.path();
        let fits = |prefix: &str| {
            let rest = path.strip_prefix(prefix);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
        };
        let Some((_, resource)) = self.routes.iter().find(|(prefix, _)| fits(prefix)) else {
            let known: Vec<&str> = self.routes.iter().map(|(prefix, _)| prefix.as_str()).collect();
            let text = format!("nothing at {path}: there is {}", known.join(", "));
            return Some(Response::error(404, &text));
        };
        tokio::select! {
            biased;
            response = resource.handle(call) => Some(response),
            () = self.gone(stream) => None,
        }
    }

    /// Ready once the client has closed its side or the connection broke.
    async fn gone(&self, stream: &TcpStream) {
        let mut byte = [0; 1];
        if stream.peek(&mut byte).await.is_ok_and(|bytes| bytes > 0) {
            // The next request is here already and hides the end: only the kernel's flag tells.
            while stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
                self.wheel.sleep(LOOK_MS).await;
            }
        }
    }

    /// Writes an answer; `None`: it did not go out.
    async fn write(
        &self,
        to: &mut TcpStream,
        answer: &Response,
        close: bool,
        headless: bool,
        named: Option<&str>,
    ) -> Option<()> {
        let mut head = answer.head(close, named);
        let body = if headless || answer.bodiless() { &[] } else { &answer.body[..] };
        let rest = if body.len() <= JOINED {
            head.extend_from_slice(body);
            &[]
        } else {
            body
        };
        let written = async {
            to.write_all(&head).await?;
            to.write_all(rest).await?;
            io::Result::Ok(())
        };
        self.wheel.timeout(self.limits.write_ms, written).await?.ok()
    }

    /// Answers what can't be read, and ends the connection so that the client sees the answer.
    async fn refuse(&self, stream: &mut TcpStream, error: &HttpError) {
        let body = self.limits.body;
        let (status, text) = match error {
            HttpError::Malformed(what) => {
                (400, format!("wanted is a well-formed HTTP/1.1 request; this has a malformed {what}"))
            }
            HttpError::BodyTooLarge => (413, format!("wanted is a body of at most {body} bytes")),
            HttpError::HeadTooLarge => {
                (431, format!("wanted is a head of at most {MOST_HEAD} bytes and 64 lines"))
            }
            HttpError::TooSlow => {
                (408, format!("wanted is a request that is whole within {} ms", self.limits.read_ms))
            }
            HttpError::Io(_) => return,
        };
        if self.write(stream, &Response::error(status, &text), true, false, None).await.is_none() {
            return;
        }
        let drained = async {
            let (mut scrap, mut left) = ([0; 1024], body);
            stream.shutdown().await?;
            while left > 0 {
                let read = stream.read(&mut scrap).await?;
                left = if read == 0 { 0 } else { left.saturating_sub(read) };
            }
            io::Result::Ok(())
        };
        let _ = self.wheel.timeout(LINGER_MS, drained).await;
    }
}

#[cfg(test)]
mod tests {
    use super::percent_decoded;

    #[test]
    fn escapes_are_read_and_what_is_none_stays() {
        assert_eq!(percent_decoded("a%2Fb%20c"), "a/b c");
        assert_eq!(percent_decoded("100%"), "100%");
        assert_eq!(percent_decoded("%zz%4"), "%zz%4");
        assert_eq!(percent_decoded("%C3%A9"), "é");
    }
}
