//! Messages whose bodies are passed on as they come: heads parsed strictly, bodies read part by part, chunks written.
//!
//! Whatever two readers could take for different messages is refused, since a request hidden in another one would reach
//! a server that no client asked: bare line feeds, folded lines, both framings or two lengths, two `Host` lines.

use crate::chunks::{Chunk, Chunks};
use crate::error::HttpError;
use crate::framing::{framing, Framing};
use crate::head::head_error;
use crate::headers::{Headers, HOP_BY_HOP};
use crate::status::reason;
use bytes::{BufMut, BytesMut};

/// Most header lines of a head.
const MOST_LINES: usize = 100;
/// Longest head, bytes, whatever the caller allows: spans of header lines are 16 bits wide.
const LONGEST_HEAD: usize = u16::MAX as usize;
/// Most bytes of chunk lines and trailers without a byte of the body among them.
const MOST_BARREN: usize = 16 * 1024;

/// The head of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    /// Method, as it came.
    pub method: String,
    /// Path and query, as they came; begins with a slash.
    pub target: String,
    /// Header lines; `Host` is there exactly once.
    pub headers: Headers,
    /// How the end of the body is found.
    pub framing: Framing,
    /// Minor version: 1, or 0 for an old client, which is to be sent no chunks.
    pub minor: u8,
    /// The client keeps the connection.
    pub keep_alive: bool,
}

impl RequestHead {
    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of `Host`.
    pub fn host(&self) -> &str {
        self.headers.get("host").unwrap_or_default()
    }

    /// The client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.minor > 0 && self.headers.get("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
    }
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerHead {
    /// Status, 200 at least: earlier ones are skipped.
    pub status: u16,
    /// Header lines.
    pub headers: Headers,
    /// How the end of the body is found; length 0 where the answer has none by definition.
    pub framing: Framing,
    /// The server keeps the connection.
    pub keep_alive: bool,
}

impl Headers {
    /// The lines that go on to the next hop: all but those of one connection, and those that `Connection` names.
    pub fn passed_on(&self) -> impl Iterator<Item = (&str, &[u8])> + '_ {
        // Nearly always `keep-alive`, `close` or nothing: then no line needs a look at the list.
        let tokens = || self.all("connection").flat_map(|value| value.split(',')).map(str::trim);
        let named =
            tokens().any(|t| !t.eq_ignore_ascii_case("close") && !t.eq_ignore_ascii_case("keep-alive"));
        self.lines().filter(move |(name, _)| {
            let own = HOP_BY_HOP.iter().any(|line| name.eq_ignore_ascii_case(line));
            let named = named && tokens().any(|token| token.eq_ignore_ascii_case(name));
            !(own || named)
        })
    }

    /// The value under a name that may come once at most.
    ///
    /// # Errors
    /// There are two, or it is no text.
    pub fn single(&self, name: &'static str) -> Result<Option<&str>, HttpError> {
        let values = self.strict(name)?;
        match values[..] {
            [] => Ok(None),
            [value] => Ok(Some(value)),
            _ => Err(HttpError::Malformed(name)),
        }
    }
}

/// A head between the start of `from` and `length`: every line ends in CR LF, and no CR stands alone. httparse lets bare
/// line feeds pass, and whoever comes after may not.
fn lines_end_well(head: &[u8]) -> Result<(), HttpError> {
    let mut before = 0;
    for (at, byte) in head.iter().enumerate() {
        let fine = match byte {
            b'\n' => before == b'\r',
            b'\r' => head.get(at + 1) == Some(&b'\n'),
            _ => true,
        };
        if !fine {
            return Err(HttpError::Malformed("line end"));
        }
        before = *byte;
    }
    Ok(())
}

/// Checks how much of a head is there: its length, `None` while it is not whole.
fn head_length(
    status: httparse::Status<usize>,
    from: &[u8],
    max_head: usize,
) -> Result<Option<usize>, HttpError> {
    let most = max_head.min(LONGEST_HEAD);
    match status {
        httparse::Status::Complete(length) if length > most => Err(HttpError::HeadTooLarge),
        httparse::Status::Complete(length) => {
            lines_end_well(&from[..length])?;
            Ok(Some(length))
        }
        httparse::Status::Partial if from.len() > most => Err(HttpError::HeadTooLarge),
        httparse::Status::Partial => Ok(None),
    }
}

/// Takes the head of a request of at most `max_head` bytes off `from`; `None`: more must be read first.
///
/// # Errors
/// [`HttpError::HeadTooLarge`]: longer, or with more than 100 lines. [`HttpError::Malformed`]: no request, or one that
/// two readers could understand differently.
pub fn read_request_head(from: &mut BytesMut, max_head: usize) -> Result<Option<RequestHead>, HttpError> {
    // Empty lines before a request are to be ignored; they belong to no head.
    while from.starts_with(b"\r\n") {
        let _ = from.split_to(2);
    }
    if from.is_empty() {
        return Ok(None);
    }
    let mut space = [httparse::EMPTY_HEADER; MOST_LINES];
    let mut parsed = httparse::Request::new(&mut space);
    let status = parsed.parse(from).map_err(head_error)?;
    let Some(length) = head_length(status, from, max_head)? else { return Ok(None) };
    let method = parsed.method.unwrap_or_default().to_string();
    let target = parsed.path.unwrap_or_default().to_string();
    let minor = parsed.version.unwrap_or_default();
    if !target.starts_with('/') || !target.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'#') {
        return Err(HttpError::Malformed("target"));
    }
    // Parsed again on the frozen head, so that the spans lie in it: cheaper than copies of all lines.
    let head = from.split_to(length).freeze();
    let mut space = [httparse::EMPTY_HEADER; MOST_LINES];
    let mut parsed = httparse::Request::new(&mut space);
    parsed.parse(&head).map_err(head_error)?;
    let headers = Headers::of(head.clone(), parsed.headers);
    if headers.single("host")?.is_none_or(str::is_empty) {
        return Err(HttpError::Malformed("host"));
    }
    let framing = framing(&headers, false, usize::MAX)?;
    // Chunks came with 1.1: a hop in between that knows only 1.0 has not understood them.
    if minor == 0 && framing == Framing::Chunked {
        return Err(HttpError::Malformed("chunks in HTTP/1.0"));
    }
    let close = headers.has_token("connection", "close");
    let keep_alive = !close && (minor > 0 || headers.has_token("connection", "keep-alive"));
    Ok(Some(RequestHead { method, target, headers, framing, minor, keep_alive }))
}

/// Takes the head of an answer of at most `max_head` bytes off `from`, and skips preliminary ones (1xx); `None`: more
/// must be read first. `to_head`: the request was `HEAD`, whose answers have no body whatever they state.
///
/// # Errors
/// [`HttpError::HeadTooLarge`]: longer, or with more than 100 lines. [`HttpError::Malformed`]: no answer, one whose end
/// can't be told from a connection that broke, or one that two readers could understand differently.
pub fn read_answer_head(
    from: &mut BytesMut,
    max_head: usize,
    to_head: bool,
) -> Result<Option<AnswerHead>, HttpError> {
    loop {
        if from.is_empty() {
            return Ok(None);
        }
        // httparse skips empty lines; between answers they are bytes that belong to none.
        if matches!(from[0], b'\r' | b'\n') {
            return Err(HttpError::Malformed("line end"));
        }
        let mut space = [httparse::EMPTY_HEADER; MOST_LINES];
        let mut parsed = httparse::Response::new(&mut space);
        let status = parsed.parse(from).map_err(head_error)?;
        let Some(length) = head_length(status, from, max_head)? else { return Ok(None) };
        let (code, minor) = (parsed.code.unwrap_or_default(), parsed.version.unwrap_or_default());
        let head = from.split_to(length).freeze();
        match code {
            // Another protocol was not asked for.
            101 => return Err(HttpError::Malformed("protocol switched")),
            100..=199 => continue,
            200..=599 => {}
            _ => return Err(HttpError::Malformed("status")),
        }
        let mut space = [httparse::EMPTY_HEADER; MOST_LINES];
        let mut parsed = httparse::Response::new(&mut space);
        parsed.parse(&head).map_err(head_error)?;
        let headers = Headers::of(head.clone(), parsed.headers);
        let framing = match code {
            204 | 304 => Framing::Length(0),
            _ if to_head => Framing::Length(0),
            _ => framing(&headers, true, usize::MAX)?,
        };
        if minor == 0 && framing == Framing::Chunked {
            return Err(HttpError::Malformed("chunks in HTTP/1.0"));
        }
        let close = headers.has_token("connection", "close");
        let keep_alive = !close && (minor > 0 || headers.has_token("connection", "keep-alive"));
        return Ok(Some(AnswerHead { status: code, headers, framing, keep_alive }));
    }
}

/// Reads a body part by part once its head is known; trailers are discarded.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    chunks: Chunks,
    /// Bytes that may still come, of those stated or of those allowed.
    left: u64,
    barren: usize,
    complete: bool,
}

impl BodyReader {
    /// Reads a body of at most `most` bytes.
    ///
    /// # Errors
    /// [`HttpError::BodyTooLarge`]: the head states more.
    pub fn new(framing: Framing, most: u64) -> Result<BodyReader, HttpError> {
        let (left, complete) = match framing {
            Framing::Length(length) if length as u64 > most => return Err(HttpError::BodyTooLarge),
            Framing::Length(length) => (length as u64, length == 0),
            Framing::Chunked => (most, false),
        };
        Ok(BodyReader { framing, chunks: Chunks::default(), left, barren: 0, complete })
    }

    /// The whole body has been read; what follows belongs to another message.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Bytes still to come, where the head stated how many there are.
    pub fn stated_left(&self) -> Option<u64> {
        matches!(self.framing, Framing::Length(_)).then_some(self.left)
    }

    /// Takes the next part of the body off `from`; after [`Chunk::End`] it takes nothing more.
    ///
    /// # Errors
    /// [`HttpError::BodyTooLarge`]: more than allowed. [`HttpError::Malformed`]: no chunks.
    pub fn next(&mut self, from: &mut BytesMut) -> Result<Chunk, HttpError> {
        if self.complete {
            return Ok(Chunk::End);
        }
        if let Framing::Length(_) = self.framing {
            if from.is_empty() {
                return Ok(Chunk::Incomplete);
            }
            let length = self.left.min(from.len() as u64);
            self.left -= length;
            self.complete = self.left == 0;
            return Ok(Chunk::Part(from.split_to(length as usize).freeze()));
        }
        let before = from.len();
        let step = self.chunks.next(from)?;
        match &step {
            Chunk::Part(part) if part.len() as u64 > self.left => return Err(HttpError::BodyTooLarge),
            Chunk::Part(part) => {
                self.left -= part.len() as u64;
                self.barren = 0;
            }
            Chunk::End => self.complete = true,
            Chunk::Incomplete => {
                self.barren += before - from.len();
                if self.barren > MOST_BARREN {
                    return Err(HttpError::Malformed("endless trailer"));
                }
            }
        }
        Ok(step)
    }
}

/// Writes the line of a status.
pub fn put_status(to: &mut BytesMut, status: u16) {
    let digits =
        [b'0' + (status / 100 % 10) as u8, b'0' + (status / 10 % 10) as u8, b'0' + (status % 10) as u8];
    to.put_slice(b"HTTP/1.1 ");
    to.put_slice(&digits);
    to.put_u8(b' ');
    to.put_slice(phrase(status).as_bytes());
    to.put_slice(b"\r\n");
}

/// Writes a header line.
pub fn put_line(to: &mut BytesMut, name: &str, value: &[u8]) {
    to.reserve(name.len() + value.len() + 4);
    to.put_slice(name.as_bytes());
    to.put_slice(b": ");
    to.put_slice(value);
    to.put_slice(b"\r\n");
}

/// Writes a chunk; nothing for an empty part, which would end the body.
pub fn put_chunk(to: &mut BytesMut, part: &[u8]) {
    if part.is_empty() {
        return;
    }
    put_chunk_size(to, part.len());
    to.reserve(part.len() + 2);
    to.put_slice(part);
    to.put_slice(b"\r\n");
}

/// Writes the line before a chunk of so many bytes, above 0; its bytes and `\r\n` are to follow.
pub fn put_chunk_size(to: &mut BytesMut, bytes: usize) {
    to.put_slice(format!("{bytes:x}\r\n").as_bytes());
}

/// Writes the end of a body in chunks.
pub fn put_last_chunk(to: &mut BytesMut) {
    to.put_slice(b"0\r\n\r\n");
}

/// The phrase of a status.
pub fn phrase(status: u16) -> &'static str {
    match status {
        202 => "Accepted",
        206 => "Partial Content",
        307 => "Temporary Redirect",
        401 => "Unauthorized",
        403 => "Forbidden",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        500 => "Internal Server Error",
        _ => reason(status),
    }
}

#[cfg(test)]
mod tests;
