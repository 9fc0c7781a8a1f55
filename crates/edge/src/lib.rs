//! The gateway on edge machines: clients on one side, servers on the other, the core's knowledge between them.

mod attempt;
pub mod beyond;
pub mod budget;
pub mod claims;
pub mod cli;
pub mod drain;
pub mod ebb;
pub mod exchange;
pub mod exchange_state;
pub mod figures;
pub mod front;
pub mod hedge;
pub mod lease;
pub mod link;
pub mod metrics;
pub mod operations;
mod pool;
pub mod proxy;
pub mod recall;
pub mod reply;
pub mod resolve;
pub mod seek;
pub mod serve;
pub mod shutdown;
pub mod table;
pub mod upstream;
pub mod watch;
