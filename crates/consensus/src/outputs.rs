//! The work that the embedding program has to do, and the reasons for which a request is rejected.

use crate::entry::{Entry, Snapshot};
use crate::messages::Envelope;
use crate::persistent::Write;
use nickeljunction_messages::Member;
use quick_error::quick_error;

/// Links a read from [`crate::Consensus::read`] to its result in [`Outputs::reads`].
pub type ReadTicket = u64;

/// Work for the embedding program; the crate's documentation says in which order to do it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Outputs {
    /// Replaces the whole state, before `committed` is applied. Also set once after a start with a snapshot on disk.
    pub restored_state: Option<Snapshot>,
    /// Entries to apply, in order, without gaps. After a start all entries since the snapshot come again.
    pub committed: Vec<Entry>,
    /// Messages, each with the host to send it to; losing one is harmless.
    pub send: Vec<(String, Envelope)>,
    /// Writes to do and sync, one after the other.
    pub writes: Vec<Write>,
    /// Reads that are decided: true: answer from the state with `committed` applied; false: the client must ask
    /// another member.
    pub reads: Vec<(ReadTicket, bool)>,
    /// Indexes proposed here of which it is unknown whether they will be committed: this member stopped leading first.
    pub unresolved: Vec<u64>,
}

quick_error! {
    /// The reason for which a proposal or a read is rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestError {
        /// Another member leads, or no leader is known.
        NotLeader(leader: Option<Member>) {
            display("not the leader; known leader: {}", leader.as_ref().map_or("none", |member| member.host.as_str()))
        }
        /// This member leads but has not committed an entry of its own term yet; the client should retry shortly.
        NotReady(term: u64) {
            display("leader of term {term} has not committed in it yet")
        }
        /// Too many entries wait for a majority's disks; the client should retry shortly.
        Busy(waiting: usize) {
            display("{waiting} entries wait to be committed")
        }
    }
}
