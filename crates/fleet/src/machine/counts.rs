//! Counters of the machine since its start.

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Dropped {
    /// Checksum, length or form.
    Damaged,
    /// Another version's.
    Version,
    /// From an address, or in the name, of nobody in the roster, or of this gateway itself.
    Stranger,
    /// Its sender goes by another roster.
    Roster,
    /// Of an earlier life of its sender.
    Stale,
    /// More than this gateway takes in, of one member or of all.
    TooMany,
}

impl Dropped {
    /// All reasons.
    pub const ALL: [Dropped; 6] = [
        Dropped::Damaged,
        Dropped::Version,
        Dropped::Stranger,
        Dropped::Roster,
        Dropped::Stale,
        Dropped::TooMany,
    ];

    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            Dropped::Damaged => "damaged",
            Dropped::Version => "version",
            Dropped::Stranger => "stranger",
            Dropped::Roster => "roster",
            Dropped::Stale => "stale",
            Dropped::TooMany => "too_many",
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
    /// Datagrams dropped, in the order of [`Dropped::ALL`].
    pub dropped: [u64; 6],
    /// Datagrams that were held back for want of room.
    pub held_back: u64,
    /// Members that this gateway came to suspect by its own probes.
    pub suspected: u64,
    /// Members that it held to be gone and that turned out to live the same life.
    pub wrongly_gone: u64,
    /// Claims on itself that it took back.
    pub taken_back: u64,
}

impl Counts {
    /// Dropped for this reason.
    pub fn dropped(&self, why: Dropped) -> u64 {
        self.dropped[why as usize]
    }
}
