//! One request's life over the decision module, without I/O: [`facade`] is the module behind `pick`, `report`
//! and `tick`, [`life`] keeps each request from its arrival to its one final answer. Neither knows a wire, a
//! socket or a clock; the manifest has nothing that could bring one in.

pub mod classes;
mod debug_text;
pub mod facade;
pub mod ledger;
pub mod life;
#[cfg(test)]
mod machine;
