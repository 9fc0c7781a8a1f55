//! What scripts of tests ask of the system and wait for: orders, a leader, a state on which all agree.

use super::World;
use crate::{host, Gateway, Node, Question, TENANT};
use nickeljunction_consensus::{Consensus, Tuning};
use nickeljunction_schema::value_digest;

/// A stage of a trial lasts so long, s.
const STAGE_S: u64 = 2;
/// Waits of its stages, s.
const STAGES: [f64; 4] = [0.1, 0.2, 0.4, 0.8];

impl World {
    /// All keyed operations that were granted within the window are remembered by the log.
    pub fn check_claims(&self) {
        self.claimants.check(self.now, self.audit.state.operations());
    }

    /// The member that leads, by the newest term.
    pub fn leader(&self) -> Option<Node> {
        let leads = |node: &Node| self.members[*node].leads() && !self.frozen(*node);
        let term = |node: &Node| self.members[*node].book().map_or(0, |book| book.term());
        (0..self.members.len()).filter(leads).max_by_key(term)
    }

    /// The leader, whose majority has answered lately.
    pub fn sure_leader(&self) -> Option<Node> {
        let fresh = |node: &Node| {
            let age = self.members[*node].book().and_then(|book| book.quorum_age(self.now));
            age.is_some_and(|age| age < Tuning::default().election_min_ms)
        };
        self.leader().filter(fresh)
    }

    /// What a failed check tells of the members.
    fn views(&self) -> String {
        self.members.iter().map(|one| format!("\n  {}", one.view(self.now))).collect()
    }

    /// Waits for a leader.
    pub fn settle(&mut self, ms: u64) -> Node {
        let fine = self.until(ms, |world| world.sure_leader().is_some());
        assert!(fine, "seed {}, {} ms: no leader in {ms} ms:{}", self.seed, self.now, self.views());
        self.sure_leader().unwrap_or(0)
    }

    /// The core machines that are there and that operators don't keep away, by the last order that was agreed on.
    pub fn wanted(&self) -> Vec<Node> {
        let (_, order) = self.audit.state.membership_order();
        let away = |node: &Node| order.excluded.iter().any(|away| away.host == host(*node));
        (0..self.members.len()).filter(|node| !away(node) && !self.absent.contains(node)).collect()
    }

    /// The core has settled on what was ordered: its members are all machines that aren't kept away, with their numbers of
    /// now, by the logs of all of them. One more disk may go.
    pub fn complete(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let Some(book) = self.members[leader].book() else { return false };
        let knows = |node: &Node| {
            let other = self.members[*node].book();
            let agrees = |other: &Consensus| {
                let is_member = book.members().contains(other.me());
                is_member && book.members() == other.members() && !other.is_replacing()
            };
            other.is_some_and(agrees)
        };
        let settled = self.members[leader].core_view(self.now).is_some_and(|view| view.open_order.is_none());
        let wanted = self.wanted();
        settled && book.members().len() == wanted.len() && wanted.iter().all(knows)
    }

    /// Waits until the core has settled on what was ordered.
    pub fn settle_core(&mut self, ms: u64) {
        let fine = self.until(ms, World::complete);
        let view = self.leader().and_then(|leader| self.members[leader].core_view(self.now));
        let order = self.audit.state.membership_order();
        assert!(
            fine,
            "seed {}, {} ms: {order:?} is not carried out: {view:?}{}",
            self.seed,
            self.now,
            self.views()
        );
    }

    /// A document of this version that allows the tenant `rate` a second.
    pub fn document(version: u64, rate: u64) -> serde_json::Value {
        serde_json::json!({
            "config_version": version, "limits": null, "backends": {"b": {}},
            "routes": {"r": {"hostname": "h", "path_prefix": "/", "backend": "b"}},
            "tenants": {"peach": {"api_keys": [format!("k{version}")], "rate_per_s": rate, "burst_size": rate}},
            "trials": {"peach": {"stages": STAGES.map(|wait_s| serde_json::json!({"for_s": STAGE_S, "wait_s": wait_s}))}},
        })
    }

    /// An operator asks, at this member first.
    pub fn order(&mut self, to: Node, question: Question) -> usize {
        if let Question::Evacuate(zone) | Question::Return(zone) = &question {
            self.audit.ordered_zone(zone);
        }
        let floor = self.audit.newest;
        self.people.order(self.now, to, question, floor, false)
    }

    /// One call to one member, never repeated.
    pub fn ask_only(&mut self, to: Node, question: Question) -> usize {
        let floor = self.audit.newest;
        self.people.order(self.now, to, question, floor, true)
    }

    /// A call that puts a new version on `base`.
    pub fn put(&mut self, base: u64, rate: u64) -> Question {
        self.next_version = self.next_version.max(base) + 1;
        let version = self.next_version;
        let doc = World::document(version, rate);
        Question::Put(base, version, value_digest("PUT", Some(base), &doc), doc)
    }

    /// A call that changes the version in place, `base`, by one more.
    pub fn patch(&mut self, base: u64, rate: u64) -> Question {
        self.next_version = self.next_version.max(base) + 1;
        let version = self.next_version;
        let tenant =
            serde_json::json!({"api_keys": [format!("k{version}")], "rate_per_s": rate, "burst_size": rate});
        let patch = serde_json::json!({"config_version": version, "upsert": {"tenants": {TENANT: tenant}}});
        Question::Patch(base, version, value_digest("PATCH", Some(base), &patch), patch)
    }

    /// Puts a configuration and waits for its acknowledgement; again where another operator's came first. Its version.
    pub fn commit(&mut self, rate: u64) -> u64 {
        let end = self.now + 15_000;
        loop {
            let base = self.audit.state.version();
            let (question, to) = (self.put(base, rate), self.leader().unwrap_or(0));
            let order = self.order(to, question);
            let left = end.saturating_sub(self.now);
            let answered = self.until(left, |world| world.people.orders[order].answer.is_some());
            assert!(answered, "seed {}, {} ms: no acknowledgement in 15 s", self.seed, self.now);
            if self.people.orders[order].done() {
                return self.audit.state.version();
            }
        }
    }

    /// An operator has the trial lapse, or else restores it, at this member first.
    pub fn trial(&mut self, to: Node, lapse: bool) -> usize {
        self.order(to, Question::Trial(TENANT.into(), lapse, self.now))
    }

    /// A server comes up.
    pub fn server(&mut self, id: &str, address: &str, backend: &str, zone: &str) -> usize {
        self.people.server(self.now, id, address, backend, zone)
    }

    /// A server drains.
    pub fn drain(&mut self, server: usize) {
        self.people.drain(self.now, server);
    }

    /// A server ends.
    pub fn leave(&mut self, server: usize) {
        self.people.leave(self.now, server);
    }

    /// All gateways have the newest version, all members that aren't kept away the log's state.
    pub fn converged(&self) -> bool {
        let version = self.audit.state.version();
        let steps = |gateway: &Gateway| {
            let told = gateway.copy.catalog().trials.clone();
            self.audit.state.trials().iter().all(|(name, trial)| {
                told.get(name).is_some_and(|(step, stage)| (*step, *stage) == (trial.step, trial.stage))
            })
        };
        self.sure_leader().is_some()
            && self.gateways.iter().all(steps)
            && self.gateways.iter().all(|gateway| gateway.version() == version && gateway.ready(self.now))
            && self.wanted().iter().all(|node| self.members[*node].state() == Some(&self.audit.state))
    }

    /// Waits for that, and checks that nothing acknowledged is lost.
    pub fn converge(&mut self, ms: u64) {
        let fine = self.until(ms, World::converged);
        let told = || {
            let gateways = self.gateways.iter().map(Gateway::version).collect::<Vec<_>>();
            format!("log {}, gateways {gateways:?}, members:{}", self.audit.state.version(), self.views())
        };
        assert!(fine, "seed {}, {} ms: not at one: {}", self.seed, self.now, told());
        for node in self.wanted() {
            self.members[node].state().into_iter().for_each(|state| self.audit.check_state(node, state));
        }
    }
}
