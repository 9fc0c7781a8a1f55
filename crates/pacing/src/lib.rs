//! Gradual throttling of tenants whose trial has lapsed, at one gateway and over all of them. No I/O: times (`now`, ms of
//! a monotonic clock) and messages are arguments.
//!
//! - [`StageSchedule`]: what each stage does to each [`Rank`] of requests, from the configuration.
//! - [`Pacer`] runs at the leader: it divides a tenant's rate among gateways by demand.
//! - [`Throttle`] runs in every gateway: it decides for each request whether it passes, is delayed, or is to be retried
//!   later.
//!
//! `docs/design/ebb.md` has the reasons. The quota rules don't depend on this crate: quota units admit requests, and a share
//! of the rate only slows them.

mod pacer;
mod stage_schedule;
mod throttle;

pub use pacer::{Pacer, LEASE_MS};
pub use stage_schedule::{Rank, StageEffect, StageSchedule};
pub use throttle::{Arrival, TenantStatus, Throttle, Verdict};
