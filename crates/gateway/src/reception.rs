//! Between sockets and fronts: what a front is to a terminal, and the request's id, which both need. Neither
//! side imports the other.

use nickeljunction_core::facade::Intake;
use nickeljunction_http::{TerminalReply, TerminalRequest};

/// Longest request id, bytes.
const MOST_ID: usize = 128;

/// Reads requests; it decides nothing about them.
pub trait Front {
    /// The request as the core takes it in, or the answer to what is no proper request.
    fn take_in(&self, request: &TerminalRequest) -> Result<Intake, TerminalReply>;
}

pub(crate) fn bad(what: &str) -> TerminalReply {
    TerminalReply::text(400, &format!("missing or malformed: {what}\n"))
}

/// The one value under a name; said twice, nobody knows which one holds further on.
pub(crate) fn single<'a>(
    request: &'a TerminalRequest,
    name: &'a str,
) -> Result<Option<&'a str>, TerminalReply> {
    let mut values = request.headers.all(name);
    let first = values.next();
    match values.next() {
        None => Ok(first),
        Some(_) => Err(bad(name)),
    }
}

pub(crate) fn needed<'a>(request: &'a TerminalRequest, name: &'a str) -> Result<&'a str, TerminalReply> {
    single(request, name)?.filter(|text| !text.is_empty()).ok_or_else(|| bad(name))
}

/// The request's id: regions know a request by it, so there is one, of visible characters.
pub fn request_id(request: &TerminalRequest) -> Result<&str, TerminalReply> {
    let id = needed(request, "Request-Id")?;
    match id.len() <= MOST_ID && id.bytes().all(|byte| byte.is_ascii_graphic()) {
        true => Ok(id),
        false => Err(bad("Request-Id")),
    }
}
