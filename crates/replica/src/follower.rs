//! The times of a follower's watch at its leader, which its driver keeps.

/// How long a leader may hold the call, ms.
pub const WATCH_HOLD_MS: u64 = 2_000;
/// How long beyond that its answer may take, ms.
pub const ANSWER_MARGIN_MS: u64 = 700;
/// Pause before the next call, where there is no leader or it does not answer, ms.
pub const RETRY_MS: u64 = 60;
