//! One call of HTTP/1.1 on a connection of its own, bounded in time and size.

use quick_error::quick_error;
use std::io::{self, Read, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::time::{Duration, Instant};

/// Longest answer, bytes: a configuration of many thousand routes stays far below.
const MOST_ANSWER: usize = 64 << 20;
/// Longest head, bytes.
const MOST_HEAD: usize = 64 << 10;
/// Bytes of a body for which one more silence is granted: slow links carry at least that.
const BYTES_A_SILENCE: usize = 256 << 10;

quick_error! {
    /// Why a call got no answer. Each names the address.
    #[derive(Debug)]
    pub enum CallError {
        /// The address can't be resolved.
        Resolve(to: String, error: io::Error) {
            display("{}: no such address: {}", to, error)
            source(error)
        }
        /// No connection came up.
        Connect(to: String, error: io::Error) {
            display("{}: can't connect: {}", to, error)
            source(error)
        }
        /// The request couldn't be sent.
        Send(to: String, error: io::Error) {
            display("{}: can't send: {}", to, error)
            source(error)
        }
        /// The connection broke before the answer was whole.
        Receive(to: String, error: io::Error) {
            display("{}: no whole answer: {}", to, error)
            source(error)
        }
        /// Nothing came for so long, or the time of the order is up.
        Silent(to: String) {
            display("{}: silent", to)
        }
        /// What came is no answer.
        Malformed(to: String, what: &'static str) {
            display("{}: answers {}", to, what)
        }
    }
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Who gave it, `HOST:PORT`.
    pub by: String,
    /// Status code.
    pub status: u16,
    /// Header lines.
    pub headers: Vec<(String, String)>,
    /// Body, whole.
    pub body: Vec<u8>,
}

impl Answer {
    /// The first line of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let line = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        Some(&line.1)
    }

    /// Its body as one line of text, for messages.
    pub fn text(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        let line = text.split_whitespace().collect::<Vec<_>>().join(" ");
        line.chars().filter(|letter| !letter.is_control()).take(300).collect()
    }
}

/// A request; repeated unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// `If-Match`: the version it builds on.
    pub on: Option<u64>,
    /// More header lines; `Host` among them replaces the address.
    pub headers: Vec<(&'static str, String)>,
    /// Body, JSON; empty: none.
    pub body: Vec<u8>,
}

/// Sends a request and reads its answer. Each step may be silent for `silence`; all ends at `deadline`.
pub fn call(
    to: &str,
    path: &str,
    request: &Request,
    silence: Duration,
    deadline: Instant,
) -> Result<Answer, CallError> {
    let silence = patience(silence, request);
    // A time-out of 0 would mean none.
    let left =
        || deadline.saturating_duration_since(Instant::now()).min(silence).max(Duration::from_millis(1));
    let stream = send(to, path, request, left)?;
    let mut reader = Reader { to, stream, bytes: Vec::new(), deadline, left };
    loop {
        let head = reader.head()?;
        // Preliminary answers come before the answer.
        if !(100..200).contains(&head.status) {
            let body = reader.body(&head)?;
            return Ok(Answer { by: to.into(), status: head.status, headers: head.headers, body });
        }
    }
}

/// Sends a request and closes the connection after `stay`, whatever has come by then: its answer is lost.
pub fn send_and_leave(
    to: &str,
    request: &Request,
    silence: Duration,
    stay: Duration,
) -> Result<(), CallError> {
    let stream = send(to, &request.path, request, || patience(silence, request))?;
    std::thread::sleep(stay);
    drop(stream);
    Ok(())
}

/// How long a step may be silent.
fn patience(silence: Duration, request: &Request) -> Duration {
    silence * (1 + request.body.len() / BYTES_A_SILENCE) as u32
}

fn send(
    to: &str,
    path: &str,
    request: &Request,
    left: impl Fn() -> Duration,
) -> Result<TcpStream, CallError> {
    let mut stream = connect(to, &left)?;
    let head = head_of(to, path, request);
    let sent = stream.set_write_timeout(Some(left())).and_then(|()| {
        stream.write_all(&[head.as_bytes(), &request.body].concat())?;
        stream.flush()
    });
    match sent {
        Ok(()) => Ok(stream),
        Err(error) if is_silence(&error) => Err(CallError::Silent(to.into())),
        Err(error) => Err(CallError::Send(to.into(), error)),
    }
}

fn connect(to: &str, left: impl Fn() -> Duration) -> Result<TcpStream, CallError> {
    let addresses = to.to_socket_addrs().map_err(|error| CallError::Resolve(to.into(), error))?;
    let mut last = io::Error::new(io::ErrorKind::NotFound, "no address");
    for address in addresses {
        match TcpStream::connect_timeout(&address, left()) {
            Ok(stream) => {
                // Only a delay is at stake.
                let _ = stream.set_nodelay(true);
                return Ok(stream);
            }
            Err(error) => last = error,
        }
    }
    Err(CallError::Connect(to.into(), last))
}

fn head_of(to: &str, path: &str, request: &Request) -> String {
    let mut head = format!("{} {path} HTTP/1.1\r\nConnection: close\r\n", request.method);
    if !request.headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {to}\r\n");
    }
    for (name, value) in &request.headers {
        head += &format!("{name}: {value}\r\n");
    }
    if let Some(on) = request.on {
        head += &format!("If-Match: {on}\r\n");
    }
    if !request.body.is_empty() {
        head += "Content-Type: application/json\r\n";
    }
    if !request.body.is_empty() || request.method != "GET" {
        head += &format!("Content-Length: {}\r\n", request.body.len());
    }
    head + "\r\n"
}

fn is_silence(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

struct Head {
    status: u16,
    headers: Vec<(String, String)>,
    length: Option<usize>,
    chunked: bool,
}

struct Reader<'a, L> {
    to: &'a str,
    stream: TcpStream,
    bytes: Vec<u8>,
    deadline: Instant,
    left: L,
}

impl<L: Fn() -> Duration> Reader<'_, L> {
    fn malformed<T>(&self, what: &'static str) -> Result<T, CallError> {
        Err(CallError::Malformed(self.to.into(), what))
    }

    /// Reads some more; false: the other side closed.
    fn more(&mut self) -> Result<bool, CallError> {
        if self.bytes.len() > MOST_ANSWER {
            return self.malformed("too much");
        }
        let mut space = [0; 16 << 10];
        loop {
            // Also where bytes drip in: each alone is no silence.
            if Instant::now() >= self.deadline {
                return Err(CallError::Silent(self.to.into()));
            }
            let read =
                self.stream.set_read_timeout(Some((self.left)())).and_then(|()| self.stream.read(&mut space));
            match read {
                Ok(count) => {
                    self.bytes.extend_from_slice(&space[..count]);
                    return Ok(count > 0);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => (),
                Err(error) if is_silence(&error) => return Err(CallError::Silent(self.to.into())),
                Err(error) => return Err(CallError::Receive(self.to.into(), error)),
            }
        }
    }

    /// Reads on; the error: the answer ends too soon.
    fn need_more(&mut self) -> Result<(), CallError> {
        if self.more()? {
            return Ok(());
        }
        let error = io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended");
        Err(CallError::Receive(self.to.into(), error))
    }

    fn head(&mut self) -> Result<Head, CallError> {
        loop {
            let mut space = [httparse::EMPTY_HEADER; 64];
            let mut parsed = httparse::Response::new(&mut space);
            match parsed.parse(&self.bytes) {
                Ok(httparse::Status::Complete(end)) => {
                    let mut head = Head {
                        status: parsed.code.unwrap_or_default(),
                        headers: Vec::new(),
                        length: None,
                        chunked: false,
                    };
                    for header in parsed.headers.iter() {
                        let value = std::str::from_utf8(header.value).unwrap_or_default().trim();
                        head.headers.push((header.name.into(), value.into()));
                        if header.name.eq_ignore_ascii_case("transfer-encoding") {
                            head.chunked = true;
                        } else if header.name.eq_ignore_ascii_case("content-length") {
                            match value.parse() {
                                Ok(length) => head.length = Some(length),
                                Err(_) => return self.malformed("no length"),
                            }
                        }
                    }
                    self.bytes.drain(..end);
                    return Ok(head);
                }
                Ok(httparse::Status::Partial) if self.bytes.len() > MOST_HEAD => {
                    return self.malformed("a long head")
                }
                Ok(httparse::Status::Partial) => self.need_more()?,
                Err(_) => return self.malformed("no HTTP"),
            }
        }
    }

    fn body(&mut self, head: &Head) -> Result<Vec<u8>, CallError> {
        if head.status == 204 || head.status == 304 {
            return Ok(Vec::new());
        }
        if head.chunked {
            return self.chunks();
        }
        match head.length {
            Some(length) if length > MOST_ANSWER => self.malformed("too much"),
            Some(length) => self.take(length),
            None => {
                while self.more()? {}
                Ok(std::mem::take(&mut self.bytes))
            }
        }
    }

    fn take(&mut self, length: usize) -> Result<Vec<u8>, CallError> {
        while self.bytes.len() < length {
            self.need_more()?;
        }
        Ok(self.bytes.drain(..length).collect())
    }

    fn chunks(&mut self) -> Result<Vec<u8>, CallError> {
        let mut whole = Vec::new();
        loop {
            match httparse::parse_chunk_size(&self.bytes) {
                Ok(httparse::Status::Complete((start, size))) => {
                    self.bytes.drain(..start);
                    if size == 0 {
                        return Ok(whole);
                    }
                    let size = usize::try_from(size).unwrap_or(usize::MAX);
                    if size > MOST_ANSWER - whole.len() {
                        return self.malformed("too much");
                    }
                    whole.extend(self.take(size)?);
                    if self.take(2)? != b"\r\n" {
                        return self.malformed("a chunk without an end");
                    }
                }
                Ok(httparse::Status::Partial) => self.need_more()?,
                Err(_) => return self.malformed("no chunk"),
            }
        }
    }
}
