//! Consensus of the core: a majority-replicated log, elections, membership changes, snapshots and fencing by term, as
//! a state machine without I/O.
//!
//! [`Consensus`] receives the time of a monotonic clock (ms), messages and the results of disk writes. What has to be
//! written, sent and applied is collected until [`Consensus::take_outputs`]. After every call that changes something
//! the embedding program takes the [`Outputs`] and, in this order,
//!
//! 1. loads [`Outputs::restored_state`] into its state, then applies [`Outputs::committed`],
//! 2. sends [`Outputs::send`] (messages that must wait for the disk aren't in there yet),
//! 3. does [`Outputs::writes`] one after the other and reports each by [`Consensus::written`] or
//!    [`Consensus::write_failed`],
//! 4. answers [`Outputs::reads`], and fails its own proposals that [`Outputs::unresolved`] lists.
//!
//! ```text
//! Consensus::new(restored: Restored, tuning: Tuning, seed: u64, now: u64) -> Consensus
//!   .step(now, Envelope)            .tick(now)             .next_wake() -> u64
//!   .propose(now, String) -> Result<u64, RequestError>     .read(now) -> Result<ReadTicket, RequestError>
//!   .written(now, ticket)           .write_failed(now, ticket)
//!   .snapshot(now, index, state)    .add_seed_hosts(hosts) .resign(now)
//!   .set_exclusions(Vec<Exclusion>) .peer_statuses(now) -> Vec<PeerStatus>
//!   .take_outputs() -> Outputs
//!   .leader() .is_leader() .ready() .term() .members() .me() .commit() .quorum_age(now)
//!   .replicated_to_all_reachable(now, index) .disk_failed()
//! ```
//!
//! Guarantees: an index that came out as committed is on a majority of disks and comes out on every member, in the
//! same order; a term has at most one leader; a read that came out as ready sees everything that was committed
//! anywhere before the read was requested. A member's identity is tied to its disk: its number is drawn when the disk
//! is first written, so that a wiped machine comes back under another identity, which neither votes nor counts before
//! the leader has made it a member.

/// `guard!(Name, with, without)` evaluates to `with`. In builds for the model (feature `model`, used by the tests
/// alone) a test may disable the guard `Name`, and then it evaluates to `without`: this shows that each guard is
/// needed.
#[cfg(not(feature = "model"))]
macro_rules! guard {
    ($name:ident, $with:expr, $without:expr) => {
        $with
    };
}
#[cfg(feature = "model")]
macro_rules! guard {
    ($name:ident, $with:expr, $without:expr) => {
        if crate::guards::is_disabled(crate::guards::Guard::$name) {
            $without
        } else {
            $with
        }
    };
}

mod disk;
mod election;
mod entry;
#[cfg(feature = "model")]
mod guards;
mod join;
mod leader;
mod log;
mod machine;
mod members;
mod membership;
mod messages;
#[cfg(feature = "model")]
pub mod model;
mod outputs;
mod peer;
mod persistent;
mod replication;
mod state;
mod tuning;

pub use entry::{Body, Entry, Snapshot};
pub use log::ENTRIES_KEPT_BEFORE_SNAPSHOT;
pub use members::{
    bootstrap_member_id, member_id_from_random, Exclusion, PeerStatus, MEMBERS_MAX, MEMBERS_MIN,
};
pub use messages::{Envelope, Msg};
pub use nickeljunction_messages::{Member, MemberId};
pub use outputs::{Outputs, ReadTicket, RequestError};
pub use persistent::{HardState, Restored, Write};
pub use state::Consensus;
pub use tuning::Tuning;
