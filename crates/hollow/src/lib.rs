//! Measures what control costs as the fleet grows. A real core (one, three or five `controller` processes) runs on
//! loopback before hollow gateways and hollow servers, which all share this one process: they have the gateway's own
//! copy of the register and its own allowance of units, and make the real calls, but carry no traffic and compile no
//! table. A real `edge` process beside them shows what one gateway spends.
//!
//! What is printed is read from `/proc` and counted at the hollow side of each call; nothing is estimated.

pub mod document;
pub mod flags;
pub mod gateway;
pub mod operator;
pub mod processes;
pub mod procfs;
pub mod report;
pub mod run;
pub mod server;
pub mod spread;
pub mod traffic;
