//! Discovery's watch: lines of JSON out of one endless answer.

use crate::body::MOST_BODY;
use crate::chunks::{Chunk, Chunks};
use crate::error::HttpError;
use crate::framing::{framing, Framing};
use crate::head::take_response_head;
use crate::region::RegionRequest;
use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

/// Longest line of the watch, bytes.
const MOST_LINE: usize = 4 << 20;

/// Discovery's watch: one line of JSON each, out of a chunked answer.
#[derive(Debug, Default)]
pub struct WatchCodec {
    begun: bool,
    chunks: Chunks,
    text: BytesMut,
}

impl Decoder for WatchCodec {
    type Item = Bytes;
    type Error = HttpError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        if !self.begun {
            let Some(head) = take_response_head(from)? else { return Ok(None) };
            if head.status != 200 {
                return Err(HttpError::Malformed("the watch was not answered with 200"));
            }
            if framing(&head.headers, true, MOST_BODY)? != Framing::Chunked {
                return Err(HttpError::Malformed("the watch is not chunked"));
            }
            self.begun = true;
        }
        loop {
            if let Some(at) = self.text.iter().position(|byte| *byte == b'\n') {
                let mut line = self.text.split_to(at + 1);
                line.truncate(at);
                return Ok(Some(line.freeze()));
            }
            match self.chunks.next(from)? {
                Chunk::Part(part) => self.text.extend_from_slice(&part),
                // What ends without a line end is a line, too.
                Chunk::End if !self.text.is_empty() => return Ok(Some(self.text.split().freeze())),
                Chunk::End | Chunk::Incomplete => return Ok(None),
            }
            if self.text.len() > MOST_LINE {
                return Err(HttpError::Malformed("a line of the watch is too long"));
            }
        }
    }
}

impl Encoder<RegionRequest> for WatchCodec {
    type Error = HttpError;

    fn encode(&mut self, request: RegionRequest, to: &mut BytesMut) -> Result<(), HttpError> {
        to.extend_from_slice(&request.0);
        Ok(())
    }
}
