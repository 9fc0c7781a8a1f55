//! Servers counted by service and state, for operators.

use nickeljunction_messages::{ServerInfo, ServerState};
use std::collections::BTreeMap;

/// How many lives there are by service and state.
pub type ServerCounts = BTreeMap<String, BTreeMap<&'static str, usize>>;

/// A life's state in a word: `in_service`, `cold` (in service, at its rate) or `draining`.
pub fn state_name(line: &ServerInfo) -> &'static str {
    // One that leaves gets nothing, however cold it is.
    match (line.state, &line.cold) {
        (ServerState::Draining, _) => "draining",
        (ServerState::InService, Some(_)) => "cold",
        (ServerState::InService, None) => "in_service",
    }
}

/// How many of these lives are in which [`state_name`]. A service without a life is not in it.
pub fn count_servers<'a>(lines: impl IntoIterator<Item = &'a ServerInfo>) -> ServerCounts {
    let mut tally = ServerCounts::new();
    for line in lines {
        *tally.entry(line.backend.clone()).or_default().entry(state_name(line)).or_default() += 1;
    }
    tally
}
