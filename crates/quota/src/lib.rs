//! The counter of units: what a tenant may send in any window, lent to gateways in batches. No I/O.
//!
//! Two sides. [`Counter`] runs on the core member that leads: it keeps a book of loans for each tenant and answers
//! gateways' calls. [`Allowance`] runs in every gateway: it spends from its loans, fetches ahead and gives back; a unit
//! that was spent comes back to the loan that it was spent from when it leaves the window. They say
//! [`UnitsCall`](nickeljunction_messages::UnitsCall) and [`UnitsAnswer`](nickeljunction_messages::UnitsAnswer) to each other.
//!
//! The rule that both keep together: over any span of a window's length, units spent over all gateways are at most the
//! tenant's cap. `docs/design/units.md` argues why. What the driver owes it:
//! - `now` is the steady clock of the own machine, ms; it never goes back.
//! - [`Counter::call`] is called only while the member surely leads (a majority has confirmed it since the call came, or
//!   its lease runs), and a successor is made only after that has ended.
//! - What [`Counter::before`] names is committed on the agreed log before [`Counter::call`] is called, and told with
//!   [`Counter::logged`]; what [`Counter::after`] names is put there, too. A new counter gets the list as its log has it.
//! - A machine has one process of a gateway at a time, and the calls of a killed one have come, or are lost, when the next
//!   one's first call comes.
//! - A request's first byte is written at `from` at the earliest, and not after `until`.
//! - Every attempt that is written spends its own unit.
//!
//! The gateway's driver, in short: [`Allowance::known`] on each configuration; [`Allowance::moved`] when another member leads, the first time included;
//! [`Allowance::poll`] after each of its calls and at [`Allowance::next_wake`]; what it returns is sent, and then either
//! [`Allowance::answered`] or [`Allowance::failed`] is called. A request that got [`Spend::Wait`] spends again after the next
//! `answered` or `failed`; after the counter time-out it calls [`Allowance::give_up`].

mod allowance;
mod counter;
mod peak;
mod ring;
mod takeover;
mod tuning;

pub use allowance::{Allowance, Holding, Spend};
pub use counter::{Counter, Roll, TenantStanding};
#[cfg(feature = "mutants")]
pub use tuning::Guard;
pub use tuning::{Limit, Tuning};
