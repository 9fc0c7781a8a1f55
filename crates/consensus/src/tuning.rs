//! Times and sizes that the embedding program sets.

use crate::members::{MEMBERS_MAX, MEMBERS_MIN};

/// Timeouts (ms) and member counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tuning {
    /// Interval between a leader's heartbeats.
    pub heartbeat_ms: u64,
    /// A member that has had no contact with a leader for a time between this and `election_max_ms` stands for
    /// election; one that had contact with a leader within this time votes for nobody.
    pub election_min_ms: u64,
    /// See `election_min_ms`; a leader that got no answer from a majority for this time steps down.
    pub election_max_ms: u64,
    /// Silence alone removes a member only while more members than this are left: a smaller list would keep
    /// acknowledged entries on fewer disks.
    pub min_members: usize,
    /// Machines that ask to join become members up to this count; further ones stand by as learners until a member is
    /// gone or operators request one.
    pub max_members: usize,
    /// A member that was silent for this time counts as gone and makes room for a standby. Shorter than the time after
    /// which the core must survive the next loss.
    pub removal_timeout_ms: u64,
    /// Interval at which a machine that isn't a member asks to join.
    pub join_interval_ms: u64,
    /// Delay before a failed write is retried.
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
    /// For a core that survives the loss of this many machines at once: it takes twice as many members, and one more.
    pub fn tolerating(losses: usize) -> Tuning {
        let members = losses.saturating_mul(2).saturating_add(1).clamp(MEMBERS_MIN, MEMBERS_MAX);
        Tuning { min_members: members, max_members: members, ..Tuning::default() }
    }
}
