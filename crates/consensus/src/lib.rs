//! The core's agreement (consensus): a log kept by a majority, elections, membership, snapshots and fencing by term, as
//! one machine without I/O.
//!
//! [`Consensus`] takes the time of a steady clock (ms), messages and what the disk did; what is to be written, sent and
//! applied waits in [`Consensus::take_outputs`]. After every call that changes something the embedding program takes the
//! [`Outputs`] and, in this order,
//!
//! 1. loads [`Outputs::restored_state`] into its state, then applies [`Outputs::committed`],
//! 2. sends [`Outputs::send`] (what must wait for the disk isn't in there yet),
//! 3. writes [`Outputs::writes`] one after the other and tells [`Consensus::written`] or [`Consensus::write_failed`],
//! 4. answers [`Outputs::reads`], and fails what it proposed as [`Outputs::unresolved`] says.
//!
//! ```text
//! Consensus::new(restored: Restored, tuning: Tuning, seed: u64, now: u64) -> Consensus
//!   .step(now, Envelope)            .tick(now)             .next_wake() -> u64
//!   .propose(now, String) -> Result<u64, RequestError>        .read(now) -> Result<ReadTicket, RequestError>
//!   .written(now, ticket)           .write_failed(now, ticket)
//!   .snapshot(now, index, state)    .seek(hosts)           .resign(now)
//!   .away(Vec<Exclusion>)                .seen(now) -> Vec<PeerStatus>
//!   .take() -> Outputs
//!   .leader() .is_leader() .ready() .term() .members() .me() .commit() .quorum_age(now) .everywhere(now, index) .sick()
//! ```
//!
//! What holds: an index that came out as committed is on a majority of disks and comes out everywhere, in one order; one
//! term has one leader; a read that came out ready sees all that was committed anywhere before it was asked for. A member
//! is its disk: its number is drawn when the disk is first written, so that a wiped machine comes back as somebody else,
//! who neither votes nor counts before the leader has made it a member.

/// `guard!(Name, with, without)` is `with`. Where the model is built (feature `model`, of the tests alone) a test may take
/// the guard `Name` out, and then it is `without`: so each guard is shown to be needed.
#[cfg(not(feature = "model"))]
macro_rules! guard {
    ($name:ident, $with:expr, $without:expr) => {
        $with
    };
}
#[cfg(feature = "model")]
macro_rules! guard {
    ($name:ident, $with:expr, $without:expr) => {
        if crate::guards::is_out(crate::guards::Guard::$name) {
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
