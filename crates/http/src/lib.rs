//! HTTP/1.1 for both sides: codecs over httparse. Bodies are read whole and bounded before they are buffered; [`stream`] is
//! for those that are passed on as they come.

mod body;
mod chunks;
mod error;
mod framing;
mod head;
mod headers;
mod region;
mod status;
pub mod stream;
mod terminal;
#[cfg(test)]
mod tests;
mod watch;

pub use body::{most_answer, MOST_BODY};
pub use chunks::{Chunk, Chunks};
pub use error::HttpError;
pub use framing::Framing;
pub use head::MOST_HEAD;
pub use headers::Headers;
pub use region::{RegionCodec, RegionReply, RegionRequest};
pub use status::reason;
pub use terminal::{TerminalCodec, TerminalReply, TerminalRequest};
pub use watch::WatchCodec;
