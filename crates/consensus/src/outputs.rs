//! What the embedding program is to do, and why a call is refused.

use crate::entry::{Entry, Snapshot};
use crate::messages::Envelope;
use crate::persistent::Write;
use nickeljunction_messages::Member;
use quick_error::quick_error;

/// Names a read from [`crate::Consensus::read`] to its [`Outputs::reads`].
pub type ReadTicket = u64;

/// What is to be done, in the order that the crate's page names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Outputs {
    /// Replaces the whole state; comes before `committed`. Also given once after a start with a snapshot on disk.
    pub restored_state: Option<Snapshot>,
    /// To be applied, in order, without gaps. After a start all entries since the snapshot come again.
    pub committed: Vec<Entry>,
    /// Messages, each to a host; one that gets lost harms nothing.
    pub send: Vec<(String, Envelope)>,
    /// To be written and synced, one after the other.
    pub writes: Vec<Write>,
    /// Reads that are settled: true: the state with `committed` applied may be answered from; false: ask elsewhere.
    pub reads: Vec<(ReadTicket, bool)>,
    /// Indexes proposed here whose fate is open: this member stopped leading before they were committed.
    pub unresolved: Vec<u64>,
}

quick_error! {
    /// Why a proposal or a read is not taken.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestError {
        /// Another member leads, or none is known to.
        NotLeader(leader: Option<Member>) {
            display("not the leader; known leader: {}", leader.as_ref().map_or("none", |member| member.host.as_str()))
        }
        /// It leads and has not yet committed an entry of its own term: ask again shortly.
        NotReady(term: u64) {
            display("leader of term {term} has not committed in it yet")
        }
        /// Too much waits for a majority's disks: ask again shortly.
        Busy(waiting: usize) {
            display("{waiting} entries wait to be committed")
        }
    }
}
