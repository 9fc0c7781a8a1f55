//! Fronts: what turns a client's HTTP request into what the core deals in.

pub mod caller;
pub mod openapi;
pub mod platform;
