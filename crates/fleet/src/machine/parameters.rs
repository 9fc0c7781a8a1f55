//! Figures of the protocol that several modules use, and the hash that all gateways draw by.

/// Helpers that ping in a gateway's place.
pub(super) const HELPERS: usize = 3;
/// Local health: the more a gateway's own probes fail, or it is suspected itself, the longer it waits. Lifeguard's bound.
pub(super) const HEALTH_MOST: u32 = 8;
/// Incarnations count tenths of a second since 2020 (Unix ms) in their upper bits, and a life's mark below: two
/// processes that claim one number differ in it.
pub(super) const SINCE_MS: f64 = 1_577_836_800_000.0;
pub(super) const MARK_BITS: u32 = 12;
/// News go out this often at most, ms.
pub(super) const GOSSIP_MS: f64 = 100.0;

/// The same drawn number for the same value at every gateway.
pub(super) fn mix(value: u64) -> u64 {
    fastrand::Rng::with_seed(value).u64(..)
}
