//! Members: their numbers, how many there may be, operators' orders on them, and how their leader sees them.

use nickeljunction_messages::{Member, MemberId};
use serde::{Deserialize, Serialize};

/// No more members than this.
pub const MEMBERS_MAX: usize = 7;
/// Members are removed while at least so many remain.
pub const MEMBERS_MIN: usize = 3;

/// Numbers are short on the wire, and two of them are never drawn alike in the life of a core.
const ID_MASK: u64 = (1 << 40) - 1;

/// Number of the member on `host` at the first start of the whole core: the same on every machine, never 0.
pub fn bootstrap_member_id(host: &str) -> MemberId {
    // FNV-1a: fixed for good, as every machine of a first start has to find the same number.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in host.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    member_id_from_random(hash)
}

/// A member's number out of a `random` value, never 0: for a disk that is written for the first time.
pub fn member_id_from_random(random: u64) -> MemberId {
    ((random ^ (random >> 40)) & ID_MASK).max(1)
}

/// A host that is not to be a member, by operators' word.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Exclusion {
    /// It, as in [`Member::host`].
    pub host: String,
    /// It stays until this host is a member.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

/// How a leader sees another machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Which.
    pub member: Member,
    /// It is taught and doesn't count yet.
    pub learner: bool,
    /// Its disk has the log up to this index, as far as it said so.
    pub match_index: u64,
    /// Since its last answer, or since it was first asked, ms.
    pub silent_ms: u64,
    /// It answered within the longest election time.
    pub reachable: bool,
}
