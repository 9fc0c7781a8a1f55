//! Bodies compressed in the manner of HTTP: the caller names the coding in `Accept-Encoding`, the answer that has it in
//! `Content-Encoding`. Programs that don't know the coding neither ask for it nor get it.

use crate::caller::{Reply, MOST_ANSWER};
use crate::desk::Response;
use bytes::Bytes;
use nickeljunction_http::Headers;
use quick_error::quick_error;

/// The coding: one lz4 block behind its uncompressed length, 4 bytes, little-endian.
const CODING: &str = "lz4";
/// Shorter bodies are not worth the header line, bytes.
const LEAST: usize = 512;
/// Header line of a call whose answer may be compressed.
pub const ACCEPT: (&str, &str) = ("Accept-Encoding", CODING);

quick_error! {
    /// Why a body can't be had.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CompressionError {
        /// It is in a coding that was not asked for.
        Coding(name: String) {
            display("decompressing an answer: its coding {:?} is not known", name)
        }
        /// It would be longer than any answer is.
        TooLong(bytes: usize) {
            display("decompressing an answer: {} bytes are more than {}", bytes, MOST_ANSWER)
        }
        /// It is no compressed body.
        Malformed {
            display("decompressing an answer: it is malformed")
        }
    }
}

/// `response`, compressed where that is worth it and the call's `headers` ask for it.
pub fn compressed(headers: &Headers, response: Response) -> Response {
    let asked = headers.all(ACCEPT.0).flat_map(|value| value.split(',')).any(|name| name.trim() == CODING);
    if !asked || response.body.len() < LEAST {
        return response;
    }
    let body = Bytes::from(lz4_flex::block::compress_prepend_size(&response.body));
    Response { body, ..response }.with("Content-Type", "application/json").with("Content-Encoding", CODING)
}

/// The body of a reply to a call with [`ACCEPT`].
///
/// # Errors
/// It is not what such a call may be answered with.
pub fn decompressed(reply: &Reply) -> Result<Bytes, CompressionError> {
    match reply.headers.get("Content-Encoding") {
        None => return Ok(reply.body.clone()),
        Some(CODING) => {}
        Some(other) => return Err(CompressionError::Coding(other.to_string())),
    }
    let (length, block) = reply.body.split_first_chunk().ok_or(CompressionError::Malformed)?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > MOST_ANSWER {
        return Err(CompressionError::TooLong(length));
    }
    let body = lz4_flex::block::decompress(block, length).map_err(|_| CompressionError::Malformed)?;
    Ok(body.into())
}
