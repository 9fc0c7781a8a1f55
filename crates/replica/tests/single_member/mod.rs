//! A core of one member.

// Not every test uses all of it.
#![allow(dead_code)]

use nickeljunction_consensus::{
    bootstrap_member_id, Body, Entry as Logged, HardState, Restored, Snapshot, Tuning,
};
use nickeljunction_messages::Member;
use nickeljunction_replica::{Answer, Change, MemberConfig, Replica};
use nickeljunction_schema::Bounds;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A core of one member, which leads.
pub struct SingleMember {
    pub replica: Replica,
    pub now: u64,
    /// Tickets of writes that are not reported as written yet.
    pub writing: Vec<u64>,
}

impl SingleMember {
    /// Starts from a snapshot of the state and the entries after it, and waits until the member leads.
    pub fn new(state: &str, entries: &[String]) -> SingleMember {
        let me = Member { id: bootstrap_member_id("10.0.0.1"), host: "10.0.0.1".into() };
        let snapshot = Snapshot { index: 1, term: 1, members: vec![me.clone()], state: state.into() };
        let logged = |(position, data): (usize, &String)| Logged {
            index: position as u64 + 2,
            term: 1,
            body: Body::Data(data.clone()),
        };
        let entries = entries.iter().enumerate().map(logged).collect();
        let hard = HardState { term: 1, ..HardState::default() };
        let restored = Restored { me, is_new: false, hard, snapshot: Some(snapshot), entries };
        let config = MemberConfig {
            name: "core-1".into(),
            host: "10.0.0.1".into(),
            zones: BTreeMap::new(),
            bounds: Bounds::usual(),
            heartbeat_ms: 1_000,
        };
        let replica = Replica::new(Rc::new(config), restored, Tuning::default(), 1, 0);
        let mut member = SingleMember { replica, now: 0, writing: Vec::new() };
        while member.replica.leader_state().is_none() {
            member.now += 1;
            member.replica.tick(member.now);
            member.write();
        }
        member
    }

    /// Collects the effects and returns the answers. Writes stay open until [`SingleMember::write`].
    pub fn carry_out(&mut self) -> Vec<Answer> {
        let effects = self.replica.take_effects();
        self.writing.extend(effects.writes.iter().map(|write| write.ticket));
        effects.answers.into_iter().map(|(_, answer)| answer).collect()
    }

    /// Reports all open writes as written, and those that follow from them. Returns the answers.
    pub fn write(&mut self) -> Vec<Answer> {
        let mut answers = self.carry_out();
        while !self.writing.is_empty() {
            for ticket in std::mem::take(&mut self.writing) {
                self.replica.written(self.now, ticket, true);
                answers.extend(self.carry_out());
            }
        }
        answers
    }

    /// Sends an operator's change without waiting for its answer.
    pub fn begin(&mut self, patch: bool, base: u64, body: &Value) {
        let body = body.to_string().into();
        self.replica.change_config(self.now, Change { patch, base: Some(base), body });
    }

    /// Sends an operator's change and returns its answer.
    pub fn send(&mut self, patch: bool, base: u64, body: &Value) -> Answer {
        self.begin(patch, base, body);
        self.write().pop().expect("an answer at once")
    }
}

/// A document with this version.
pub fn document(version: u64) -> Value {
    json!({"config_version": version, "backends": {"b": {}},
        "routes": {"r": {"hostname": "h", "path_prefix": "/", "backend": "b"}}})
}

/// A patch to this version that changes nothing else.
pub fn patch(version: u64) -> Value {
    json!({"config_version": version, "remove": {"routes": ["none"]}})
}
