//! One member of the replicated core as a state machine: consensus with a leader's lease, the replicated state, the
//! registers of servers and gateways, and the quota counter. No I/O.
//!
//! [`Replica`] is driven by a monotonic clock (whole ms), messages, completed writes and calls. Its effects are collected
//! until the driver calls [`Replica::take_effects`], which it does after every call that takes `now`. The driver then
//!
//! 1. sends [`Effects::send`] and passes [`Effects::writes`] to the disk in order, reporting each with [`Replica::written`],
//! 2. answers the waiting callers in [`Effects::answers`], each by the ticket that its call was given,
//! 3. checks held calls again if [`Effects::changed`], and resets its timer if [`Effects::wake_changed`],
//! 4. saves [`Effects::watch_cache_to_save`] on a best-effort basis, and logs [`Effects::events`].
//!
//! ```text
//! Replica::new(Rc<MemberConfig>, Restored, Tuning, seed, now) -> Replica
//!   .tick(now)   .next_wake() -> u64   .receive(now, messages)   .written(now, ticket, succeeded)
//!   .take_effects() -> Effects   .add_seed_hosts(now, hosts)   .leave(now)   .resign(now)   .load_watch_cache(WatchCache)
//! calls that wait for consensus, answered later by ticket:
//!   .read(now) -> Ticket   .change_config(now, Change) -> Ticket   .change_evacuation(now, zone, end) -> Ticket
//!   .change_membership(now, MembershipRequest) -> Ticket   .core_view(now) -> CoreView
//!   .change_trial(now, tenant, lapse) -> Ticket   .trial_views(now)   .cancel(ticket)
//! calls that the leader answers by its lease:
//!   .request_units(now, &call) -> Result<UnitsReply, LeaderRedirect>
//!   .request_pace_shares(now, &call) -> Result<PaceSharesAnswer, LeaderRedirect>
//!   .claim(now, &call) -> Result<ClaimReply, LeaderRedirect>
//!   .begin_watch(now, &call) -> Result<HeldWatch, LeaderRedirect>
//!   .answer_watch(now, &call, &held) -> Result<Option<WatchAnswer>, LeaderRedirect>
//!   .watch_disconnected(now, &call, &held)
//!   .record_heartbeat(now, id, &beat) -> Result<Option<PendingAck>, LeaderRedirect>
//!   .remove_server(now, id) -> Result<PendingAck, LeaderRedirect>
//!   .ack_ready(now, &pending) -> Result<bool, LeaderRedirect>
//! for followers: .leader_redirect() .watch_call(incarnation) .apply_watch_answer(now, answer)
//! to inspect: .consensus() .state() .watch_cache() .leader_state()
//! ```
//!
//! The same state machine is driven by `controller::driver` over sockets and by `simulation` over virtual time.

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
