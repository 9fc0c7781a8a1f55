//! Quota units: what a tenant may send in any sliding window, leased to gateways in batches. No I/O.
//!
//! [`Counter`] runs on the leader of the core members: it records the loans of each tenant and answers gateways' calls.
//! [`Allowance`] runs in every gateway: it spends from its loans, fetches units ahead of need and returns idle ones. A
//! spent unit becomes available again, in the loan that it was spent from, when it leaves the window. The two exchange
//! [`UnitsCall`](nickeljunction_messages::UnitsCall) and [`UnitsAnswer`](nickeljunction_messages::UnitsAnswer).
//!
//! Invariant: over any span of a window's length, units spent over all gateways are at most the tenant's cap.
//! `docs/design/units.md` has the proof. It depends on the driver:
//! - `now` is the monotonic clock of the own machine, ms.
//! - [`Counter::handle_call`] is called only while the member is certain to be the leader (a quorum has confirmed it
//!   since the call arrived, or its lease is valid); a new leader's counter starts only after that has ended.
//! - What [`Counter::enrollment_for`] returns is committed to the replicated log before [`Counter::handle_call`] is
//!   called, and reported with [`Counter::set_logged_processes`]; what [`Counter::removable_processes`] returns is
//!   appended there, too. A new counter starts from the list in its log.
//! - A machine runs one gateway process at a time. When the first call of a process arrives, the calls of the killed
//!   process before it have arrived or are lost.
//! - A request's first byte is written no earlier than `from` and no later than `until`.
//! - Every attempt that is written spends its own unit.
//!
//! The gateway's driver calls [`Allowance::set_limits`] on each configuration, [`Allowance::leader_changed`] when
//! another member becomes leader (the first one included), and [`Allowance::poll`] after each of its calls and at
//! [`Allowance::next_wake`]. It sends what `poll` returns, and then calls either [`Allowance::answered`] or
//! [`Allowance::failed`]. A request that got [`Spend::Wait`] spends again after the next `answered` or `failed`; after
//! the counter's time-out the driver calls [`Allowance::give_up`] for it.

mod allowance;
mod counter;
mod pace_sum;
mod sliding_sum;
mod takeover;
mod tuning;
mod unused_pace;
mod window_extreme;

pub use allowance::{Allowance, Holding, Spend};
pub use counter::{Counter, ProcessListChange, TenantUsage};
#[cfg(feature = "mutants")]
pub use tuning::Guard;
pub use tuning::{Boost, BucketDepth, Limit, Tuning};
