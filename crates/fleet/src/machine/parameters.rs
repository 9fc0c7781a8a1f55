//! Protocol parameters that several modules use, and the hash that all gateways have in common.

/// Random members that are asked for an indirect ping, pinged at the start, or informed of a leave.
pub(super) const PROBE_FANOUT: usize = 3;
/// Upper bound of the local health, as in Lifeguard. The value rises, and time-outs with it, when this gateway's own
/// probes fail or when others suspect it.
pub(super) const MAX_LOCAL_HEALTH: u32 = 8;
/// The upper bits of an incarnation count tenths of a second since this Unix time, the start of 2020.
pub(super) const INCARNATION_EPOCH_MS: f64 = 1_577_836_800_000.0;
/// The lower bits of an incarnation are a random mark of the process: it tells apart two processes with one number.
pub(super) const PROCESS_MARK_BITS: u32 = 12;
/// Shortest interval between two rounds of gossip, ms.
pub(super) const GOSSIP_INTERVAL_MS: f64 = 100.0;

/// A pseudo-random number that is the same for the same value at every gateway.
pub(super) fn hash(value: u64) -> u64 {
    fastrand::Rng::with_seed(value).u64(..)
}
