//! Where the leader of the core may be found. No I/O.

/// The search for the leader among the core's machines.
#[derive(Debug, Clone)]
pub struct Seek {
    seeds: Vec<String>,
    known: Vec<String>,
    leader: Option<String>,
}

impl Seek {
    /// Knows only the seeds' hosts.
    pub fn new(seeds: Vec<String>) -> Seek {
        Seek { seeds, known: Vec::new(), leader: None }
    }

    /// The settings name other seeds.
    pub fn seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// The leader told the core's machines.
    pub fn known(&mut self, hosts: &[String]) {
        self.known = hosts.to_vec();
    }

    /// The leader, where one answered last.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// All hosts where a leader may be found: the core's machines as last told, and the seeds.
    pub fn all(&self) -> Vec<String> {
        let fresh = self.seeds.iter().filter(|seed| !self.known.contains(seed));
        self.known.iter().chain(fresh).cloned().collect()
    }

    /// This host leads.
    pub fn found(&mut self, host: &str) {
        self.leader = Some(host.to_string());
    }

    /// The leader doesn't answer, or leads no more.
    pub fn lost(&mut self) {
        self.leader = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn machines_told_and_seeds_are_asked_once_each() {
        let mut seek = Seek::new(vec!["a".into(), "b".into()]);
        assert_eq!(seek.all(), ["a", "b"]);
        seek.known(&["b".into(), "c".into()]);
        assert_eq!(seek.all(), ["b", "c", "a"]);
        seek.found("c");
        assert_eq!(seek.leader(), Some("c"));
        seek.lost();
        assert_eq!(seek.leader(), None);
        seek.seeds(vec!["d".into()]);
        assert_eq!(seek.all(), ["b", "c", "d"]);
    }
}
