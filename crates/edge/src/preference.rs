//! The order in which a gateway prefers servers: weighted rendezvous hashing.
//!
//! Each gateway ranks the servers by a hash of its own name and theirs, so that gateways that know nothing of each other
//! spread over all servers, in proportion to the servers' slots. A server that comes or goes changes no other one's place.
//! See Schindelhauer and Schomaker, "Weighted Distributed Hash Tables" (SPAA 2005).

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Gateways that should have a server among those they use: with fewer, chance leaves some servers to none.
const GATEWAYS_PER_SERVER: f64 = 8.0;
/// Between the two names that are hashed: part of no name.
const SEPARATOR: u8 = 0;
/// Bits of a double's fraction, and of the hash that is used.
const FRACTION_BITS: u32 = 53;

/// A server's place in the order of this gateway: lower ones are preferred. The same in every process and version.
pub fn rendezvous_rank(gateway: &str, server: &str, slots: u32) -> f64 {
    let mut hasher = SipHasher13::new();
    hasher.write(gateway.as_bytes());
    hasher.write_u8(SEPARATOR);
    hasher.write(server.as_bytes());
    let bits = hasher.finish() >> (u64::BITS - FRACTION_BITS);
    // Above 0 and at most 1.
    let draw = (bits + 1) as f64 / (1u64 << FRACTION_BITS) as f64;
    -draw.ln() / f64::from(slots.max(1))
}

/// Fewest servers that each of `gateways` must use for all of `servers` to be used: all of them where gateways are few.
pub fn min_subset_size(servers: usize, gateways: f64) -> f64 {
    (servers as f64 * GATEWAYS_PER_SERVER / gateways.max(1.0)).ceil().min(servers as f64)
}
