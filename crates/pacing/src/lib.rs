//! Gradual throttling of tenants whose trial has lapsed, at each gateway and over all gateways. No I/O: the time
//! (`now`, ms of a monotonic clock) and messages are arguments.
//!
//! - [`StageSchedule`]: what each stage does to requests of each [`Rank`], from the configuration.
//! - [`Pacer`] runs on the leader: it divides a tenant's rate among gateways by demand.
//! - [`Throttle`] runs in every gateway: it decides whether a request passes, is delayed, or has to be retried later.
//!
//! `docs/design/ebb.md` explains the design. Quotas don't depend on this crate: quota units decide whether a request is
//! admitted, and a share of the rate only delays it.

mod pacer;
mod stage_schedule;
mod throttle;

pub use pacer::{Pacer, LEASE_MS};
pub use stage_schedule::{Rank, StageEffect, StageSchedule};
pub use throttle::{Arrival, TenantStatus, Throttle, Verdict};
