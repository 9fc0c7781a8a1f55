//! The decision module and the simulator's wire. Sans-IO: events and the time come in, actions go out.

mod retry_age;
pub mod api;
mod attempt_counts;
pub mod decide;
mod plan_change;
mod late_counts;
mod state;
mod settings_update;
pub mod wire;
