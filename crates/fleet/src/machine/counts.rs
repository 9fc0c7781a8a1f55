//! Counters of the machine since its start.

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// Checksum, length or form.
    Damaged,
    /// Another version's.
    VersionMismatch,
    /// From an address, or in the name, of nobody in the roster, or of this gateway itself.
    UnknownSender,
    /// Its sender goes by another roster.
    RosterMismatch,
    /// Of an earlier life of its sender.
    Stale,
    /// More than this gateway takes in, of one member or of all.
    RateLimited,
}

impl DropReason {
    /// All reasons.
    pub const ALL: [DropReason; 6] = [
        DropReason::Damaged,
        DropReason::VersionMismatch,
        DropReason::UnknownSender,
        DropReason::RosterMismatch,
        DropReason::Stale,
        DropReason::RateLimited,
    ];

    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::Damaged => "damaged",
            DropReason::VersionMismatch => "version",
            DropReason::UnknownSender => "stranger",
            DropReason::RosterMismatch => "roster",
            DropReason::Stale => "stale",
            DropReason::RateLimited => "too_many",
        }
    }
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams and bytes sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams that were taken in.
    pub received: u64,
    /// Datagrams dropped, in the order of [`DropReason::ALL`].
    pub dropped: [u64; 6],
    /// Datagrams that were held back for want of room.
    pub rate_limited: u64,
    /// Members that this gateway came to suspect by its own probes.
    pub suspected: u64,
    /// Members that it held to be gone and that turned out to live the same life.
    pub false_positives: u64,
    /// Claims on itself that it took back.
    pub refuted: u64,
}

impl Counts {
    /// DropReason for this reason.
    pub fn dropped(&self, why: DropReason) -> u64 {
        self.dropped[why as usize]
    }
}
