//! Trace files: what a gateway saw and decided, so exactly that it can be run through the decision module again.
//!
//! - [`event`]: what is recorded: all that goes into the module, all that comes out, and each final answer.
//! - [`block`]: events in bounded, compressed, checksummed blocks, each with a summary of what it holds.
//! - [`file`]: a header, blocks, and an index at the end; a file without its end is read by scanning.
//! - [`summary`]: what a trace comes to, in counts.
//! - [`replay`]: feeds the recorded events to the module and tells the first verdict that differs.
//!
//! The format is drawn byte by byte in `docs/design/traces.md`. Nothing here opens a file or looks at a clock. Every
//! integer that is read is bounded before it is used: a hostile file costs no more than its own length.

pub mod block;
pub mod event;
pub mod file;
pub mod number;
pub mod replay;
pub mod summary;

/// Why a trace can't be read or written.
#[derive(Debug)]
pub enum TraceError {
    /// It is no trace, or of a later version.
    Not(String),
    /// It is damaged at this byte.
    Damaged(u64, String),
    /// The file could not be read or written.
    Io(std::io::Error),
}

impl std::fmt::Display for TraceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            TraceError::Not(why) => write!(f, "{why}"),
            TraceError::Damaged(at, why) => write!(f, "damaged at byte {at}: {why}"),
            TraceError::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for TraceError {}

impl From<std::io::Error> for TraceError {
    fn from(error: std::io::Error) -> TraceError {
        TraceError::Io(error)
    }
}
