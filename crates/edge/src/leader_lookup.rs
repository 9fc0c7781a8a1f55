//! Where the leader of the core may be found. No I/O.

/// The search for the leader among the core's machines.
#[derive(Debug, Clone)]
pub struct LeaderLookup {
    seeds: Vec<String>,
    known: Vec<String>,
    leader: Option<String>,
}

impl LeaderLookup {
    /// Knows only the seeds' hosts.
    pub fn new(seeds: Vec<String>) -> LeaderLookup {
        LeaderLookup { seeds, known: Vec::new(), leader: None }
    }

    /// The settings name other seeds.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// The leader told the core's machines.
    pub fn set_core_hosts(&mut self, hosts: &[String]) {
        self.known = hosts.to_vec();
    }

    /// The leader, where one answered last.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// All hosts where a leader may be found: the core's machines as last told, and the seeds.
    pub fn candidate_hosts(&self) -> Vec<String> {
        let fresh = self.seeds.iter().filter(|seed| !self.known.contains(seed));
        self.known.iter().chain(fresh).cloned().collect()
    }

    /// This host leads.
    pub fn set_leader(&mut self, host: &str) {
        self.leader = Some(host.to_string());
    }

    /// The leader doesn't answer, or leads no more.
    pub fn clear_leader(&mut self) {
        self.leader = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn machines_told_and_seeds_are_asked_once_each() {
        let mut seek = LeaderLookup::new(vec!["a".into(), "b".into()]);
        assert_eq!(seek.candidate_hosts(), ["a", "b"]);
        seek.set_core_hosts(&["b".into(), "c".into()]);
        assert_eq!(seek.candidate_hosts(), ["b", "c", "a"]);
        seek.set_leader("c");
        assert_eq!(seek.leader(), Some("c"));
        seek.clear_leader();
        assert_eq!(seek.leader(), None);
        seek.set_seeds(vec!["d".into()]);
        assert_eq!(seek.candidate_hosts(), ["b", "c", "d"]);
    }
}
