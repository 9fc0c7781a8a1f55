//! Members: their numbers, their minimum and maximum count, operators' exclusions, and their status as a leader sees
//! it.

use nickeljunction_messages::{Member, MemberId};
use serde::{Deserialize, Serialize};

/// Largest number of members.
pub const MEMBERS_MAX: usize = 7;
/// Smallest number of members that a removal may leave.
pub const MEMBERS_MIN: usize = 3;

/// Member numbers have 40 bits: short on the wire, and wide enough that no two drawn in the lifetime of a core are
/// equal.
const ID_MASK: u64 = (1 << 40) - 1;

/// Number of the member on `host` at the first start of the whole core: the same on every machine, never 0.
pub fn bootstrap_member_id(host: &str) -> MemberId {
    // FNV-1a. The hash must never change, as every machine of a first start has to compute the same number.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in host.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    member_id_from_random(hash)
}

/// Member number made from a `random` value, never 0: for a disk that is written for the first time.
pub fn member_id_from_random(random: u64) -> MemberId {
    ((random ^ (random >> 40)) & ID_MASK).max(1)
}

/// A host that operators exclude from the membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Exclusion {
    /// The excluded host, as in [`Member::host`].
    pub host: String,
    /// If set, the excluded host stays a member until this host is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

/// Status of another machine as a leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// The machine.
    pub member: Member,
    /// It receives the log but isn't a member and doesn't count.
    pub learner: bool,
    /// Last index of the log that it has acknowledged as on its disk.
    pub match_index: u64,
    /// Time since its last answer, or since it was added, ms.
    pub silent_ms: u64,
    /// It answered within the longest election time.
    pub reachable: bool,
}
