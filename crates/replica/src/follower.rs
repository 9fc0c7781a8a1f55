//! Timing of the watch call that a follower keeps open at its leader. The driver applies it.

/// How long a leader may hold the call, ms.
pub const WATCH_HOLD_MS: u64 = 2_000;
/// Extra time for the answer beyond the hold, ms.
pub const ANSWER_MARGIN_MS: u64 = 700;
/// Pause before the next call when there is no leader or it does not answer, ms.
pub const RETRY_MS: u64 = 60;
