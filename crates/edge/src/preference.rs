//! The order in which a gateway prefers servers: weighted rendezvous hashing.
//!
//! Each gateway ranks the servers by a hash of its own name and theirs. Gateways that know nothing of each other are
//! thus spread over all servers, in proportion to the servers' slots. A server that is added or removed does not
//! change the rank of any other. See Schindelhauer and Schomaker, "Weighted Distributed Hash Tables" (SPAA 2005).

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Mean number of gateways that use a server. With fewer, some servers are used by no gateway, by chance.
const GATEWAYS_PER_SERVER: f64 = 8.0;
/// Separates the two hashed names; occurs in no name.
const SEPARATOR: u8 = 0;
/// Bits of the hash that are used: those of a double's fraction.
const FRACTION_BITS: u32 = 53;

/// Rank of a server for this gateway; servers of lower rank are preferred. The same in every process and version.
pub fn rendezvous_rank(gateway: &str, server: &str, slots: u32) -> f64 {
    let mut hasher = SipHasher13::new();
    hasher.write(gateway.as_bytes());
    hasher.write_u8(SEPARATOR);
    hasher.write(server.as_bytes());
    let bits = hasher.finish() >> (u64::BITS - FRACTION_BITS);
    // Greater than 0 and at most 1.
    let uniform = (bits + 1) as f64 / (1u64 << FRACTION_BITS) as f64;
    -uniform.ln() / f64::from(slots.max(1))
}

/// Number of servers that each of `gateways` must use so that all `servers` are used; all of them if there are few
/// gateways.
pub fn min_subset_size(servers: usize, gateways: f64) -> f64 {
    (servers as f64 * GATEWAYS_PER_SERVER / gateways.max(1.0)).ceil().min(servers as f64)
}
