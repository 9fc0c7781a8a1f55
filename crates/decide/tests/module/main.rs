//! The decision module alone, driven by events: one small test for each guard or failure found.

mod attempts;
mod common;
mod counter;
mod events;
mod quota;
mod servers;
mod settings;
mod shedding;
