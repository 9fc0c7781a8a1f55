//! Counters of the machine since its start.

/// Why a received datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// Wrong checksum, length or encoding.
    Damaged,
    /// The datagram has another protocol version.
    VersionMismatch,
    /// The address or the sender's number is not in the roster, is this gateway's own, or the two do not match.
    UnknownSender,
    /// The sender has another roster.
    RosterMismatch,
    /// The datagram has an older incarnation of its sender.
    Stale,
    /// The limit of accepted datagrams, of one member or in total, is exceeded.
    RateLimited,
}

impl DropReason {
    /// All reasons, in the order of [`Counts::dropped`].
    pub const ALL: [DropReason; 6] = [
        DropReason::Damaged,
        DropReason::VersionMismatch,
        DropReason::UnknownSender,
        DropReason::RosterMismatch,
        DropReason::Stale,
        DropReason::RateLimited,
    ];

    /// The name in metrics and in the status output.
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

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes in the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Datagrams dropped, in the order of [`DropReason::ALL`].
    pub dropped: [u64; 6],
    /// Datagrams not sent because the send budget was used up.
    pub rate_limited: u64,
    /// Members that this gateway's own probes made suspect.
    pub suspected: u64,
    /// Members declared gone that later proved to be alive, with the same process.
    pub false_positives: u64,
    /// Claims about this gateway that it refuted.
    pub refuted: u64,
}

impl Counts {
    /// Datagrams dropped for this reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason as usize]
    }
}
