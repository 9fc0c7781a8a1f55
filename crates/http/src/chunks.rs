//! Chunked bodies, read part by part.

use crate::error::HttpError;
use bytes::{Bytes, BytesMut};

/// Reads chunks one by one; also used for discovery's endless answer.
#[derive(Debug, Default)]
pub struct Chunks {
    /// Bytes of the present chunk still to come, and whether its line end is due.
    left: usize,
    line_end_due: bool,
    trailer: bool,
}

/// A step of [`Chunks`].
#[derive(Debug, PartialEq)]
pub enum Chunk {
    /// Some bytes of the body.
    Part(Bytes),
    /// The body is complete.
    End,
    /// More must be read first.
    Incomplete,
}

impl Chunks {
    /// Takes the next part of the body.
    pub fn next(&mut self, from: &mut BytesMut) -> Result<Chunk, HttpError> {
        loop {
            if self.left > 0 {
                if from.is_empty() {
                    return Ok(Chunk::Incomplete);
                }
                let part = from.split_to(self.left.min(from.len())).freeze();
                self.left -= part.len();
                self.line_end_due = self.left == 0;
                return Ok(Chunk::Part(part));
            }
            let Some(at) = from.iter().position(|byte| *byte == b'\n') else {
                return if from.len() > 256 {
                    Err(HttpError::Malformed("chunk line"))
                } else {
                    Ok(Chunk::Incomplete)
                };
            };
            let line = from.split_to(at + 1);
            let line = line.strip_suffix(b"\r\n").ok_or(HttpError::Malformed("chunk line end"))?;
            if self.line_end_due {
                if !line.is_empty() {
                    return Err(HttpError::Malformed("chunk longer than stated"));
                }
                self.line_end_due = false;
            } else if self.trailer {
                if line.is_empty() {
                    return Ok(Chunk::End);
                }
            } else {
                let size = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
                let text = std::str::from_utf8(size).unwrap_or_default();
                if text.is_empty() || text.len() > 8 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                    return Err(HttpError::Malformed("chunk size"));
                }
                self.left =
                    usize::from_str_radix(text, 16).map_err(|_| HttpError::Malformed("chunk size"))?;
                self.trailer = self.left == 0;
            }
        }
    }
}
