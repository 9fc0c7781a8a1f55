//! Why a message can't be read.

use std::io;

/// Why a message can't be read.
#[derive(Debug)]
pub enum HttpError {
    /// Malformed, or its framing is ambiguous.
    Malformed(&'static str),
    /// The body is too long.
    BodyTooLarge,
    /// The head is too long.
    HeadTooLarge,
    /// Half of it came and no more.
    TooSlow,
    /// The connection broke.
    Io(io::Error),
}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> HttpError {
        HttpError::Io(error)
    }
}

impl std::fmt::Display for HttpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HttpError::Malformed(what) => write!(f, "malformed: {what}"),
            HttpError::BodyTooLarge => write!(f, "body too large"),
            HttpError::HeadTooLarge => write!(f, "head too large"),
            HttpError::TooSlow => write!(f, "not whole in time"),
            HttpError::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for HttpError {}
