//! The ebb (gradual throttling): how a tenant whose trial lapsed is slowed, at a gateway and over all of them. No I/O: times
//! (`now`, ms of a steady clock) and messages are arguments.
//!
//! - [`Curve`]: what each stage does to each [`Rank`] of requests, out of the configuration.
//! - [`Pacer`] runs at the leader: it divides a tenant's pace among gateways by what each is asked.
//! - [`Throttle`] runs in every gateway: it says for each request whether it passes, waits, or is told when to come back.
//!
//! `docs/design/ebb.md` argues why it is so. Nothing here is needed for the rules of quotas: a share of pace slows, a unit admits.

mod curve;
mod pacer;
mod throttle;

pub use curve::{Curve, Rank, Step};
pub use pacer::{Pacer, LEASE_MS};
pub use throttle::{Arrival, Standing, Throttle, Verdict};
