//! Heads of messages that are read whole: taken off the read buffer once they are complete.

use crate::error::HttpError;
use crate::headers::Headers;
use bytes::BytesMut;
use httparse::Status;

/// Longest head, bytes.
pub const MOST_HEAD: usize = 16 * 1024;
/// Most header lines.
const MOST_HEADERS: usize = 64;

/// The head of a request.
pub(crate) struct RequestHead {
    pub(crate) method: String,
    pub(crate) target: String,
    /// It is of HTTP/1.0.
    pub(crate) old: bool,
    pub(crate) headers: Headers,
}

/// The head of an answer.
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    /// It is of HTTP/1.0.
    pub(crate) old: bool,
    pub(crate) headers: Headers,
}

/// Takes the head of a request; none where more must be read first.
///
/// # Errors
/// It is malformed or too long.
pub(crate) fn take_request_head(from: &mut BytesMut) -> Result<Option<RequestHead>, HttpError> {
    let mut space = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut space);
    let Some(length) = head_length(parsed.parse(from), from)? else { return Ok(None) };
    let method = parsed.method.unwrap_or_default().to_string();
    let target = parsed.path.unwrap_or_default().to_string();
    let old = parsed.version == Some(0);
    // Parsed again on the frozen head, so that the spans lie in it: cheaper than copies of all lines.
    let head = from.split_to(length).freeze();
    let mut space = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut space);
    parsed.parse(&head).map_err(head_error)?;
    let headers = Headers::of(head.clone(), parsed.headers);
    Ok(Some(RequestHead { method, target, old, headers }))
}

/// Takes the head of an answer; none where more must be read first.
///
/// # Errors
/// It is malformed or too long.
pub(crate) fn take_response_head(from: &mut BytesMut) -> Result<Option<ResponseHead>, HttpError> {
    let mut space = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut space);
    let Some(length) = head_length(parsed.parse(from), from)? else { return Ok(None) };
    let status = parsed.code.unwrap_or_default();
    let old = parsed.version == Some(0);
    // Parsed again, as above.
    let head = from.split_to(length).freeze();
    let mut space = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut space);
    parsed.parse(&head).map_err(head_error)?;
    let headers = Headers::of(head.clone(), parsed.headers);
    Ok(Some(ResponseHead { status, old, headers }))
}

/// Bytes of a head that is complete. Spans of header lines are 16 bits wide, so that it must be bounded.
fn head_length(parsed: httparse::Result<usize>, from: &BytesMut) -> Result<Option<usize>, HttpError> {
    match parsed.map_err(head_error)? {
        Status::Complete(length) if length > MOST_HEAD => Err(HttpError::HeadTooLarge),
        Status::Complete(length) => Ok(Some(length)),
        Status::Partial if from.len() > MOST_HEAD => Err(HttpError::HeadTooLarge),
        Status::Partial => Ok(None),
    }
}

/// What httparse's error means here.
pub(crate) fn head_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        _ => HttpError::Malformed("head"),
    }
}
