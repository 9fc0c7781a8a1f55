//! Servers counted by service and state, for operators.

use nickeljunction_messages::{ServerInfo, ServerState};
use std::collections::BTreeMap;

/// Number of server instances by service and [`state_name`].
pub type ServerCounts = BTreeMap<String, BTreeMap<&'static str, usize>>;

/// The state of a server as one word: `in_service`, `cold` (in service, at the rate of a cold server) or `draining`.
pub fn state_name(line: &ServerInfo) -> &'static str {
    // A draining server receives no requests, so it doesn't matter whether it is cold.
    match (line.state, &line.cold) {
        (ServerState::Draining, _) => "draining",
        (ServerState::InService, Some(_)) => "cold",
        (ServerState::InService, None) => "in_service",
    }
}

/// Counts these server instances by service and [`state_name`]. A service without instances is absent.
pub fn count_servers<'a>(lines: impl IntoIterator<Item = &'a ServerInfo>) -> ServerCounts {
    let mut counts = ServerCounts::new();
    for line in lines {
        *counts.entry(line.backend.clone()).or_default().entry(state_name(line)).or_default() += 1;
    }
    counts
}
