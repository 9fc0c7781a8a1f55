//! What a gateway's membership machine is given at its start.

use crate::view::RosterEntry;

/// What a gateway is told at its start.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its number.
    pub own_number: u16,
    /// Who may be a member, itself among them; any order.
    pub roster: Vec<RosterEntry>,
    /// Datagrams a second that a gateway takes in; it drops the rest.
    pub max_received_per_s: f64,
    /// Epoch of its configuration.
    pub epoch: u32,
    /// For random numbers; another one at each start.
    pub seed: u64,
}

/// A roster that can't be used: what is wrong and wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRoster(pub String);

impl std::fmt::Display for InvalidRoster {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidRoster {}
