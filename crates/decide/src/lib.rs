//! The decision module and the simulator's wire. Sans-IO: events and the time come in, actions go out.

mod age;
pub mod api;
mod book;
pub mod decide;
mod figures;
mod late;
mod state;
mod tune;
pub mod wire;
