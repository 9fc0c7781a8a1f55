//! Fronts: what turns a client's HTTP request into what the core deals in.

pub mod caller;
pub mod openapi;
pub mod platform;

use crate::facade::Intake;
use crate::net::http::{TerminalReply, TerminalRequest};

/// Reads requests; it decides nothing about them.
pub trait Front {
    /// The request as the core takes it in, or the answer to what is no proper request.
    fn take_in(&self, request: &TerminalRequest) -> Result<Intake, TerminalReply>;
}
