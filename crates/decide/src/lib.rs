//! The decision module and the simulator's wire. Sans-IO: events and the time come in, actions go out.

pub mod api;
mod attempt_counts;
pub mod decide;
mod late_counts;
mod plan_change;
mod retry_age;
mod settings_update;
mod state;
pub mod wire;
