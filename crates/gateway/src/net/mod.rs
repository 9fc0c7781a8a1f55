//! Sockets: codecs, the client's side, the regions, the counter, discovery, and the timer wheel.

pub mod counter;
pub mod ephemeral;
pub mod hub;
pub mod inbox;
pub mod inherit;
pub mod region;
pub mod roster;
pub mod service_table;
pub mod terminal;
