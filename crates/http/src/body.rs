//! Bodies that are read whole, and their bounds.

use crate::chunks::{Chunk, Chunks};
use crate::error::HttpError;
use crate::framing::Framing;
use bytes::{Bytes, BytesMut};

/// Longest body of a request, bytes; the least that is taken of an answer.
pub const MOST_BODY: usize = 64 * 1024;
/// Longest body of an answer, bytes, where memory allows it: the protocol speaks of 64 KiB, and booking servers
/// have been seen to send some hundred.
const MOST_ANSWER: usize = 1024 * 1024;
/// Part of the memory that one answer may take.
const ANSWER_PART: usize = 64;

/// Longest body of an answer for a program with so much memory, bytes.
pub fn most_answer(memory: usize) -> usize {
    (memory / ANSWER_PART).clamp(MOST_BODY, MOST_ANSWER)
}

/// Reads a whole body once its head is known.
#[derive(Debug)]
pub(crate) struct Body {
    framing: Framing,
    most: usize,
    chunks: Chunks,
    whole: BytesMut,
}

impl Body {
    pub(crate) fn new(framing: Framing, most: usize) -> Body {
        Body { framing, most, chunks: Chunks::default(), whole: BytesMut::new() }
    }

    /// The whole body, once all of it is there.
    pub(crate) fn read(&mut self, from: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        match self.framing {
            Framing::Length(length) if from.len() < length => {
                // Memory for what comes, not for what is merely announced.
                from.reserve((length - from.len()).min(MOST_BODY));
                Ok(None)
            }
            Framing::Length(length) => Ok(Some(from.split_to(length).freeze())),
            Framing::Chunked => loop {
                match self.chunks.next(from)? {
                    Chunk::Part(part) if self.whole.len() + part.len() > self.most => {
                        return Err(HttpError::BodyTooLarge);
                    }
                    Chunk::Part(part) => self.whole.extend_from_slice(&part),
                    Chunk::End => return Ok(Some(self.whole.split().freeze())),
                    Chunk::Incomplete => return Ok(None),
                }
            },
        }
    }

    /// Bytes taken in so far.
    pub(crate) fn held(&self) -> usize {
        self.whole.len()
    }
}
