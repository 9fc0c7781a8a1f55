//! Tests of the decision module by events: one small test for each rule, and for each fault found.

mod attempts;
mod common;
mod counter;
mod events;
mod quota;
mod servers;
mod settings;
mod shedding;
