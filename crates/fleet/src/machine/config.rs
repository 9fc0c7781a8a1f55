//! Start parameters of a gateway's membership machine.

use crate::view::RosterEntry;

/// Start parameters.
#[derive(Debug, Clone)]
pub struct Config {
    /// This gateway's number.
    pub own_number: u16,
    /// The possible members, this gateway included, in any order.
    pub roster: Vec<RosterEntry>,
    /// Datagrams per second that a gateway accepts; it drops the rest.
    pub max_received_per_s: f64,
    /// Epoch of this gateway's configuration.
    pub epoch: u32,
    /// Seed of the random numbers; must differ at each start.
    pub seed: u64,
}

/// The roster is unusable; the text says what is wrong and what is expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRoster(pub String);

impl std::fmt::Display for InvalidRoster {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidRoster {}
