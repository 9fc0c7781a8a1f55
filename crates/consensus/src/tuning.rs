//! Times and sizes that the embedding program sets.

use crate::members::{MEMBERS_MAX, MEMBERS_MIN};

/// Times of the agreement, ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tuning {
    /// A leader's word goes out so often.
    pub heartbeat_ms: u64,
    /// A member that has heard of no leader for a time between this and `election_max_ms` stands for election; one that
    /// has heard of a leader within this time votes for nobody.
    pub election_min_ms: u64,
    /// See `election_min_ms`; a leader that no majority answered for this long steps down.
    pub election_max_ms: u64,
    /// Nobody is removed for silence alone where no more members than this are left: a smaller list keeps what is
    /// acknowledged on fewer disks.
    pub min_members: usize,
    /// Machines that ask are taken in up to this many members; more of them stand by as learners, until a member is gone
    /// or operators call one in.
    pub max_members: usize,
    /// A member that was silent for so long is gone: it makes room for one that stands by. Shorter than the time after
    /// which the next loss has to be borne.
    pub removal_timeout_ms: u64,
    /// A machine that isn't a member asks so often to be taken in.
    pub join_interval_ms: u64,
    /// After a failed write it is tried again so much later.
    pub write_retry_ms: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            heartbeat_ms: 100,
            election_min_ms: 350,
            election_max_ms: 650,
            min_members: MEMBERS_MIN,
            max_members: MEMBERS_MAX,
            removal_timeout_ms: 2_000,
            join_interval_ms: 300,
            write_retry_ms: 200,
        }
    }
}

impl Tuning {
    /// For a core that is to bear the loss of so many machines at once: twice as many members, and one.
    pub fn tolerating(losses: usize) -> Tuning {
        let members = losses.saturating_mul(2).saturating_add(1).clamp(MEMBERS_MIN, MEMBERS_MAX);
        Tuning { min_members: members, max_members: members, ..Tuning::default() }
    }
}
