//! Where a body ends: by its length, or in chunks.

use crate::error::HttpError;
use crate::headers::Headers;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Framing {
    /// After so many bytes.
    Length(usize),
    /// It comes in chunks, the last of them empty.
    Chunked,
}

/// The framing that a head states; `most`: longest body, bytes.
///
/// # Errors
/// Where it states none that two readers would take alike, or too long a body.
pub(crate) fn framing(headers: &Headers, response: bool, most: usize) -> Result<Framing, HttpError> {
    let mut length = None;
    for value in headers.strict("content-length")? {
        // Digits only: a sign or a list would be read differently by whoever comes after.
        if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(HttpError::Malformed("content-length"));
        }
        let value = value.parse::<usize>().map_err(|_| HttpError::BodyTooLarge)?;
        if length.is_some_and(|known| known != value) {
            return Err(HttpError::Malformed("conflicting content-lengths"));
        }
        length = Some(value);
    }
    let codings = headers.strict("transfer-encoding")?;
    let mut codings = codings.into_iter();
    match (codings.next(), length) {
        (None, Some(length)) if length > most => Err(HttpError::BodyTooLarge),
        (None, Some(length)) => Ok(Framing::Length(length)),
        // Read to the connection's end it may have been cut short, and nobody could tell.
        (None, None) if response => Err(HttpError::Malformed("an answer without a length")),
        (None, None) => Ok(Framing::Length(0)),
        (Some(_), Some(_)) => Err(HttpError::Malformed("both content-length and transfer-encoding")),
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") && codings.next().is_none() => {
            Ok(Framing::Chunked)
        }
        (Some(_), None) => Err(HttpError::Malformed("transfer-encoding")),
    }
}
