//! The rules that the model checker checks.

/// A broken rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Violation {
    TwoLeadersInATerm,
    TwoEntriesAtAnIndex,
    TwoChangesOfAVersion,
    /// A committed entry is not on the disks of a majority.
    CommittedWithoutMajority,
    /// A leader of a later term lacks a committed entry.
    LeaderLacksCommitted,
    LogsDiffer,
    StaleRead,
    /// Two members hold a lease, by the age of the newest round that a majority answered.
    TwoLeases,
    /// A machine was made a member although it lacks a committed entry.
    MemberLacksCommitted,
    /// A write doesn't follow on the content of the disk.
    WriteDoesNotFit,
    /// The state of a member goes back, or skips an entry.
    GapInState,
}

/// Each rule with the violation that breaks it.
pub const RULES: [(&str, Violation); 11] = [
    ("one leader in a term", Violation::TwoLeadersInATerm),
    ("one entry at an index", Violation::TwoEntriesAtAnIndex),
    ("one change of a version is acknowledged", Violation::TwoChangesOfAVersion),
    ("committed entries are on a majority's disks", Violation::CommittedWithoutMajority),
    ("every later leader has the committed entries", Violation::LeaderLacksCommitted),
    ("logs match", Violation::LogsDiffer),
    ("no stale reads", Violation::StaleRead),
    ("one leader with a lease", Violation::TwoLeases),
    ("new members have the committed entries", Violation::MemberLacksCommitted),
    ("writes follow on the disk's content", Violation::WriteDoesNotFit),
    ("states advance without gaps", Violation::GapInState),
];
