//! The hosts among which the core's leader is looked for. No I/O.

/// The core hosts known to a gateway, and the leader among them.
#[derive(Debug, Clone)]
pub struct LeaderLookup {
    /// Hosts from the settings.
    seeds: Vec<String>,
    /// The core's members as the leader last listed them.
    core_hosts: Vec<String>,
    leader: Option<String>,
}

impl LeaderLookup {
    /// A lookup that knows only the hosts from the settings.
    pub fn new(seeds: Vec<String>) -> LeaderLookup {
        LeaderLookup { seeds, core_hosts: Vec::new(), leader: None }
    }

    /// Replaces the hosts from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Replaces the core's members by the leader's latest list.
    pub fn set_core_hosts(&mut self, hosts: &[String]) {
        self.core_hosts = hosts.to_vec();
    }

    /// The host that last answered as the leader; `None`: none is known.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// All hosts that may lead: the core's members first, then the seeds that are not among them.
    pub fn candidate_hosts(&self) -> Vec<String> {
        let other_seeds = self.seeds.iter().filter(|seed| !self.core_hosts.contains(seed));
        self.core_hosts.iter().chain(other_seeds).cloned().collect()
    }

    /// Records that this host leads.
    pub fn set_leader(&mut self, host: &str) {
        self.leader = Some(host.to_string());
    }

    /// Records that the leader doesn't answer or no longer leads.
    pub fn clear_leader(&mut self) {
        self.leader = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn candidates_are_core_members_then_other_seeds_without_duplicates() {
        let mut lookup = LeaderLookup::new(vec!["a".into(), "b".into()]);
        assert_eq!(lookup.candidate_hosts(), ["a", "b"]);
        lookup.set_core_hosts(&["b".into(), "c".into()]);
        assert_eq!(lookup.candidate_hosts(), ["b", "c", "a"]);
        lookup.set_leader("c");
        assert_eq!(lookup.leader(), Some("c"));
        lookup.clear_leader();
        assert_eq!(lookup.leader(), None);
        lookup.set_seeds(vec!["d".into()]);
        assert_eq!(lookup.candidate_hosts(), ["b", "c", "d"]);
    }
}
