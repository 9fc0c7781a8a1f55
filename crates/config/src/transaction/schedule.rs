//! The timetable that all gateways number alike: rounds of voting, the flip, and slots of a trial.

/// Number of a document: 1 is the one that the history began with.
pub type Epoch = u64;

/// Length of a round of voting, ms, and how long after its start a gateway still says yes: later it might not
/// be counted before the round's end.
pub const ROUND_MS: f64 = 4_000.0;
pub(super) const VOTE_WITHIN_MS: f64 = 2_500.0;
/// From a round's end to the flip, ms: time to learn how the round went.
pub const GRACE_MS: f64 = 1_000.0;
/// Length of a slot of a trial, ms.
pub const SLOT_MS: f64 = 5_000.0;
/// Each gateway adds so much to the pause between two reads, ms.
pub(super) const READ_MS_EACH: f64 = 20.0;
/// Longest trial and longest wait for the other gateways, ms.
pub const MOST_TRIAL_MS: f64 = 24.0 * 3_600_000.0;

/// When the plans of a round's vote hold from, ms: for each franchisee's windows that begin then or later.
pub fn flip_at(round: u64) -> f64 {
    (round + 1) as f64 * ROUND_MS + GRACE_MS
}

/// When a round of voting begins, ms.
pub(super) fn start_of(round: u64) -> f64 {
    round as f64 * ROUND_MS
}

/// When a slot of a trial ends, ms.
pub(super) fn slot_end(round: u64, slot: u64) -> f64 {
    flip_at(round) + (slot + 1) as f64 * SLOT_MS
}

/// When a slot's ballots may first be called, ms: they are marked in the slot before.
pub(super) fn slot_opens(round: u64, slot: u64) -> f64 {
    flip_at(round) + (slot as f64 - 1.0) * SLOT_MS
}
