//! The state machine of one core member (a replicated state machine with a leader's lease): agreement, state, registers,
//! counter, and the rules by which they are driven. No I/O.
//!
//! [`Replica`] takes the time of a steady clock (ms, whole), messages, completions of writes and calls. What is to be done
//! waits in [`Replica::take_effects`], which the driver calls after every call that takes `now`; then it
//!
//! 1. sends [`Effects::send`] and gives [`Effects::writes`] to the disk, in order, telling [`Replica::written`] of each,
//! 2. answers the waiting callers in [`Effects::answers`], each by the ticket that its call was given,
//! 3. lets held calls look again where [`Effects::changed`], and sets its alarm anew where [`Effects::sooner`],
//! 4. keeps [`Effects::hint`] as well as may be, and logs [`Effects::events`].
//!
//! ```text
//! Replica::new(Rc<MemberConfig>, Restored, Tuning, seed, now) -> Replica
//!   .tick(now)   .next_wake() -> u64   .heard(now, messages)   .written(now, ticket, fine)   .take() -> Effects
//!   .seek(now, hosts)   .resign(now)   .remember(Copy)
//! for callers that wait for the agreement, answered by ticket in time of their own:
//!   .read(now) -> Ticket   .change(now, Change) -> Ticket   .zone(now, zone, back) -> Ticket   .leave_off(ticket)
//!   .order(now, MembershipRequest) -> Ticket   .core_view(now) -> CoreView   .trial(now, tenant, lapse) -> Ticket   .trials(now)
//! for callers of the leader, by its lease:
//!   .units(now, &call) -> Result<UnitsReply, LeaderRedirect>   .ebb(now, &call) -> Result<PaceSharesAnswer, LeaderRedirect>
//!   .claim(now, &call) -> Result<ClaimReply, LeaderRedirect>
//!   .called(now, &call) -> Result<HeldWatch, LeaderRedirect>   .watch(now, &call, &held) -> Result<Option<WatchAnswer>, LeaderRedirect>
//!   .beat(now, id, &beat) -> Result<Option<PendingAck>, LeaderRedirect>   .gone(now, id)   .come_round(now, &round)
//! for followers: .elsewhere() .ask(life) .learned(answer); to look at: .book() .state() .copy() .leads()
//! ```
//!
//! The same driver runs in `controller::driver` over sockets and in `simulation` over virtual time.

mod change;
pub mod change_history;
mod claims;
pub mod departures;
mod divergence;
mod effects;
pub mod follower;
mod leader;
mod membership;
mod operations_view;
pub mod outbox;
mod pending_calls;
mod replica;
pub mod state;
mod trials;

pub use change::Change;
pub use claims::ClaimReply;
pub use effects::{Answer, Effects, Event, Ticket};
pub use leader::{quota_limits, HeldWatch, PendingAck, UnitsReply};
pub use membership::{CoreView, MemberView, MembershipError, MembershipRequest};
pub use operations_view::{ClaimView, GenerationView, OperationView, OperationsView};
pub use replica::{MemberConfig, Replica, SAVED_CACHE_MAX_AGE_MS};
pub use trials::{TrialView, STEP_EFFECTIVE_AFTER_MS};
