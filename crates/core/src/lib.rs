//! The request life cycle on top of the decision module, without I/O. [`facade`] wraps the decision module in
//! `pick`, `report` and `tick`; [`life`] tracks each request from its arrival to its single final answer.
//! Neither uses the network or reads a clock, and the crate depends on nothing that would let it.

pub mod classes;
mod debug_text;
pub mod facade;
pub mod ledger;
pub mod life;
#[cfg(test)]
mod machine;
