//! Changes on the log as differences, and recovery of a member on which one produces another document than at its proposer.

use nickeljunction_consensus::{
    bootstrap_member_id, Entry as Logged, Envelope, HardState, Restored, Snapshot, Tuning,
};
use nickeljunction_messages::{Member, WatchAnswer};
use nickeljunction_replica::state::{Entry, Outcome, ReplicatedState};
use nickeljunction_replica::{Answer, Change, Event, MemberConfig, Replica, Ticket};
use nickeljunction_schema::Bounds;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

const MEMBERS: usize = 3;

fn host(node: usize) -> String {
    format!("10.0.0.{}", node + 1)
}

fn document(version: u64, routes: usize) -> Value {
    let route = |number| {
        (format!("r{number}"), json!({"hostname": "h", "path_prefix": format!("/{number}/"), "backend": "b"}))
    };
    let routes: serde_json::Map<_, _> = (0..routes).map(route).collect();
    json!({"config_version": version, "backends": {"b": {}}, "routes": routes, "tenants": {"peach": {}}})
}

fn put(base: u64, doc: Value) -> Entry {
    let version = doc["config_version"].as_u64().expect("a version");
    Entry::Put { base, version, digest: format!("call {version}"), doc }
}

/// The snapshot text of a state with a document of ten routes; `altered`: one route differs.
fn snapshot(altered: bool) -> String {
    let mut doc = document(1, 10);
    if altered {
        doc["routes"]["r3"]["timeout_s"] = 7.into();
    }
    let mut state = ReplicatedState::default();
    assert_eq!(state.apply(put(0, doc)), Outcome::Taken);
    state.to_text()
}

/// Three members that restart from their disks, on a simulated clock. Disks write at once, and messages arrive within the
/// same ms.
struct Core {
    now: u64,
    replicas: Vec<Replica>,
    answers: BTreeMap<Ticket, Answer>,
    events: Vec<(usize, Event)>,
    /// The entries that each member applied.
    logs: Vec<Vec<Logged>>,
    /// Members without links to the others.
    cut: BTreeSet<usize>,
    /// Index of the newest snapshot that each member wrote.
    snapshots: Vec<u64>,
}

impl Core {
    /// The snapshot of member `odd` differs from the others'.
    fn new(seed: u64, odd: Option<usize>) -> Core {
        let member = |node| Member { id: bootstrap_member_id(&host(node)), host: host(node) };
        let replica = |node: usize| {
            let config = MemberConfig {
                name: format!("core-{node}"),
                host: host(node),
                zones: BTreeMap::from([("z1".into(), "r1".into())]),
                bounds: Bounds::usual(),
                heartbeat_ms: 1_000,
            };
            let members = (0..MEMBERS).map(member).collect();
            let state = snapshot(odd == Some(node));
            let snapshot = Some(Snapshot { index: 9, term: 1, members, state });
            let hard = HardState { term: 1, vote: None };
            let restored = Restored { me: member(node), is_new: false, hard, snapshot, entries: Vec::new() };
            Replica::new(Rc::new(config), restored, Tuning::default(), seed * 10 + node as u64, 1_000)
        };
        let mut core = Core {
            now: 1_000,
            replicas: (0..MEMBERS).map(replica).collect(),
            answers: BTreeMap::new(),
            events: Vec::new(),
            logs: vec![Vec::new(); MEMBERS],
            cut: BTreeSet::new(),
            snapshots: vec![0; MEMBERS],
        };
        core.run(3_000);
        core
    }

    fn leader(&self) -> Option<usize> {
        let has_lease = |replica: &Replica| {
            replica.leader_state().is_some()
                && replica.consensus().quorum_age(self.now).is_some_and(|age| age < 350)
        };
        (0..MEMBERS).find(|node| has_lease(&self.replicas[*node]))
    }

    /// Runs `act` on a member, then carries out the effects at all members.
    fn act<R>(&mut self, node: usize, act: impl FnOnce(&mut Replica, u64) -> R) -> R {
        let result = act(&mut self.replicas[node], self.now);
        let mut messages: VecDeque<(usize, usize, Envelope)> = VecDeque::new();
        let mut busy = vec![node];
        while let Some(node) = busy.pop() {
            let effects = self.replicas[node].take_effects();
            for write in &effects.writes {
                if let Some(snapshot) = &write.snapshot {
                    self.snapshots[node] = snapshot.index;
                }
                self.replicas[node].written(self.now, write.ticket, true);
                busy.push(node);
            }
            self.answers.extend(effects.answers);
            self.logs[node].extend(effects.applied);
            self.events.extend(effects.events.into_iter().map(|event| (node, event)));
            for (to, envelope) in effects.send {
                messages.extend((0..MEMBERS).find(|node| host(*node) == to).map(|to| (node, to, envelope)));
            }
            while busy.is_empty() {
                let Some((from, to, envelope)) = messages.pop_front() else { break };
                if !self.cut.contains(&from) && !self.cut.contains(&to) {
                    self.replicas[to].receive(self.now, vec![envelope]);
                    busy.push(to);
                }
            }
        }
        result
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            for node in 0..MEMBERS {
                if self.replicas[node].next_wake() <= self.now {
                    self.act(node, Replica::tick);
                }
            }
        }
    }

    fn send(&mut self, node: usize, patch: bool, base: u64, body: &Value) -> Option<Answer> {
        let body = serde_json::to_vec(body).expect("JSON").into();
        let ticket = self
            .act(node, |replica, now| replica.change_config(now, Change { patch, base: Some(base), body }));
        self.answers.remove(&ticket)
    }

    /// Patches one route of the version in force.
    fn patch(&mut self, route: usize) -> Option<Answer> {
        let leader = self.leader().expect("there is a leader");
        let base = self.replicas[leader].state().version();
        let route = json!({format!("r{route}"): {
            "hostname": "h", "path_prefix": format!("/{route}/"), "backend": "b", "timeout_s": base,
        }});
        self.send(leader, true, base, &json!({"config_version": base + 1, "upsert": {"routes": route}}))
    }

    /// Makes one watch call of a follower to its leader, and applies the answer.
    fn watch(&mut self, node: usize) {
        if let Some(answer) = self.watch_answer(node) {
            self.apply_answer(node, answer);
        }
    }

    /// Returns the leader's answer to a follower's watch call; both pass through their wire format.
    fn watch_answer(&mut self, node: usize) -> Option<WatchAnswer> {
        let leader = self.leader().filter(|leader| *leader != node)?;
        let call = self.replicas[node].watch_call(5);
        let text = serde_json::to_string(&call).expect("JSON");
        let call = serde_json::from_str(&text).expect("own text");
        let held = self.act(leader, |replica, now| replica.begin_watch(now, &call)).expect("it leads");
        let answer =
            self.act(leader, |replica, now| replica.answer_watch(now, &call, &held)).expect("it leads")?;
        let text = serde_json::to_string(&answer).expect("JSON");
        Some(serde_json::from_str(&text).expect("own text"))
    }

    fn apply_answer(&mut self, node: usize, answer: WatchAnswer) {
        self.act(node, |replica, now| replica.apply_watch_answer(now, answer)).expect("it is newer");
    }

    fn diverged(&self) -> Vec<usize> {
        (0..MEMBERS).filter(|node| self.replicas[*node].is_diverged()).collect()
    }

    /// The newest entry that a member applied.
    fn newest(&self, node: usize) -> Option<(Entry, usize)> {
        let data = self.logs[node].iter().rev().find_map(Logged::data)?;
        Some((serde_json::from_str(data).expect("an entry"), data.len()))
    }
}

#[test]
fn changes_are_logged_as_differences_if_these_are_smaller() {
    let mut core = Core::new(3, None);
    let leader = core.leader().expect("there is a leader");
    let mut whole = document(2, 300);
    // The ten routes of before are removed.
    let routes = whole["routes"].as_object_mut().expect("a table");
    (0..10).for_each(|number| drop(routes.remove(&format!("r{number}"))));
    assert_eq!(core.send(leader, false, 1, &whole), Some(Answer::Accepted));
    assert!(
        matches!(core.newest(leader), Some((Entry::Put { version: 2, .. }, _))),
        "most of the document is new"
    );
    assert_eq!(core.patch(17), Some(Answer::Accepted));
    let Some((Entry::Change { base: 2, version: 3, .. }, bytes)) = core.newest(leader) else {
        panic!("a patch is a difference")
    };
    assert!(bytes < 350, "{bytes} bytes of an entry, the document has {}", whole.to_string().len());
    // A whole document that differs by one route is stored as a difference, too.
    let mut next = core.replicas[leader].state().doc().clone();
    next["config_version"] = 9.into();
    next["routes"]["r50"]["timeout_s"] = 2.into();
    assert_eq!(core.send(leader, false, 3, &next), Some(Answer::Accepted));
    assert!(matches!(core.newest(leader), Some((Entry::Change { version: 9, .. }, 0..=350))));
    core.run(300);
    for node in 0..MEMBERS {
        assert_eq!(core.replicas[node].state(), core.replicas[leader].state());
        assert_eq!(core.replicas[node].state().doc(), &next);
    }
}

/// Older program versions wrote entries with whole documents, and a state without digests.
#[test]
fn a_log_of_whole_documents_is_continued_with_differences() {
    let old = r#"{"put":{"base":0,"version":4,"digest":"a","doc":{"config_version":4,"routes":{"r":{"weight":0.1}}}}}"#;
    let mut state = ReplicatedState::default();
    let entry: Entry = serde_json::from_str(old).expect("the old format");
    assert_eq!(state.apply(entry.clone()), Outcome::Taken);
    assert_eq!(serde_json::to_string(&entry).expect("JSON"), old, "and is written in the same format");
    let mut back = ReplicatedState::from_text(&state.to_text()).expect("own text");
    assert!(!state.to_text().contains("result"), "snapshots keep the old format");
    let change =
        nickeljunction_schema::Patch::of(json!({"config_version": 6, "upsert": {"routes": {"s": {}}}}))
            .expect("a patch");
    let mut expected = state.doc().clone();
    let difference = nickeljunction_schema::Difference::between(
        state.doc(),
        &json!({
            "config_version": 6, "routes": {"r": {"weight": 0.1}, "s": {}},
        }),
    );
    let result = difference.apply(&mut expected, state.document_digest());
    let entry =
        Entry::Change { base: 4, version: change.version(), digest: "b".into(), change: difference, result };
    let text = serde_json::to_string(&entry).expect("JSON");
    assert_eq!(serde_json::from_str::<Entry>(&text).expect("own text"), entry);
    for state in [&mut state, &mut back] {
        assert_eq!(state.apply(entry.clone()), Outcome::Taken);
        assert_eq!((state.version(), state.doc()), (6, &expected));
        assert_eq!(state.apply(entry.clone()), Outcome::Taken, "a repeat");
    }
    assert_eq!(state, back);
}

#[test]
fn a_difference_that_produces_another_document_is_reported_and_changes_nothing() {
    let mut state = ReplicatedState::from_text(&snapshot(true)).expect("own text");
    let right = ReplicatedState::from_text(&snapshot(false)).expect("own text");
    let before = state.clone();
    let mut next = document(2, 10);
    next["tenants"] = json!({});
    next["trials"] = json!({"peach": {"state": "lapsed"}});
    let change = nickeljunction_schema::Difference::between(right.doc(), &next);
    let result = change.apply(&mut right.doc().clone(), right.document_digest());
    let entry = Entry::Change { base: 1, version: 2, digest: "c".into(), change, result };
    assert_eq!(state.apply(entry.clone()), Outcome::Diverged);
    assert_eq!(state, before);
    assert_eq!(right.clone().apply(entry), Outcome::Taken);
}

/// A follower whose state differs from the log's reports it, holds further entries and never leads. It continues from the
/// leader's state with the held entries.
#[test]
fn a_diverged_member_reports_it_and_never_leads_before_it_has_the_leaders_state() {
    for seed in 0..8 {
        let odd =
            (0..MEMBERS).find(|odd| Core::new(seed, Some(*odd)).leader() != Some(*odd)).expect("a follower");
        let mut core = Core::new(seed, Some(odd));
        let leader = core.leader().expect("there is a leader");
        assert_eq!(core.patch(1), Some(Answer::Accepted));
        core.run(200);
        assert_eq!(core.diverged(), [odd], "seed {seed}");
        let reported = core
            .events
            .iter()
            .filter(|(node, event)| *node == odd && matches!(event, Event::Diverged { .. }));
        assert_eq!(reported.count(), 1, "seed {seed}");
        for route in 2..5 {
            assert_eq!(core.patch(route), Some(Answer::Accepted));
        }
        core.act(leader, |replica, now| replica.change_evacuation(now, "z1".into(), false));
        core.run(200);
        assert_eq!(core.replicas[odd].state().version(), 1, "no further entry is applied");
        // Without the leader, only the other one of the two remaining members may lead.
        core.cut.insert(leader);
        for _ in 0..6_000 {
            core.run(1);
            assert!(core.replicas[odd].leader_state().is_none(), "seed {seed}: it leads with an old state");
        }
        let next = core.leader().expect("the other member leads");
        assert_ne!(next, odd);
        assert_eq!(core.patch(5), Some(Answer::Accepted));
        core.watch(odd);
        core.run(200);
        core.cut.clear();
        core.run(2_000);
        assert_eq!(core.patch(6), Some(Answer::Accepted));
        core.run(200);
        assert!(core.diverged().is_empty(), "seed {seed}");
        let now = core.leader().expect("there is a leader");
        for node in 0..MEMBERS {
            assert_eq!(core.replicas[node].state(), core.replicas[now].state(), "seed {seed}");
        }
        assert!(core.replicas[odd].state().evacuated().contains("z1"));
        assert!(core
            .events
            .iter()
            .any(|(node, event)| *node == odd && matches!(event, Event::StateTransferred { .. })));
    }
}

/// The leader's state is the one that differs: the others take it over, so that what the leader acknowledged is kept.
#[test]
fn members_that_diverge_from_the_leader_take_over_its_state() {
    let seed = (0..20).find(|seed| Core::new(*seed, Some(0)).leader() == Some(0)).expect("a seed");
    let mut core = Core::new(seed, Some(0));
    assert_eq!(core.patch(1), Some(Answer::Accepted));
    core.run(200);
    assert_eq!(core.diverged(), [1, 2]);
    core.watch(1);
    core.watch(2);
    assert_eq!(core.patch(2), Some(Answer::Accepted));
    core.run(200);
    assert!(core.diverged().is_empty());
    for node in 1..MEMBERS {
        assert_eq!(core.replicas[node].state(), core.replicas[0].state());
    }
}

/// The leader's state may be older than the entries committed here, or newer. No snapshot of the diverged state is written,
/// however many entries pass.
#[test]
fn a_state_transfer_is_installed_at_its_place_on_the_log() {
    let odd = (0..MEMBERS).find(|odd| Core::new(1, Some(*odd)).leader() != Some(*odd)).expect("a follower");
    let mut core = Core::new(1, Some(odd));
    for number in 0..70 {
        assert_eq!(core.patch(number % 10), Some(Answer::Accepted));
    }
    core.run(200);
    let leader = core.leader().expect("there is a leader");
    assert_eq!(core.diverged(), [odd]);
    assert_eq!((core.snapshots[odd], core.snapshots[leader] > 9), (0, true), "snapshots written");
    // Older: two more entries are committed before the answer arrives.
    let answer = core.watch_answer(odd).expect("an answer");
    assert_eq!(core.patch(1), Some(Answer::Accepted));
    core.act(leader, |replica, now| replica.change_evacuation(now, "z1".into(), false));
    core.run(200);
    core.apply_answer(odd, answer);
    assert!(core.diverged().is_empty());
    assert_eq!(core.replicas[odd].state(), core.replicas[leader].state());

    // Newer: the answer includes an entry that is not committed here yet.
    let mut core = Core::new(1, Some(odd));
    assert_eq!(core.patch(1), Some(Answer::Accepted));
    core.run(200);
    core.cut.insert(odd);
    assert_eq!(core.patch(2), Some(Answer::Accepted));
    core.run(200);
    let answer = core.watch_answer(odd).expect("an answer");
    core.apply_answer(odd, answer);
    assert_eq!((core.diverged(), core.replicas[odd].state().version()), (vec![odd], 1), "not yet");
    core.cut.clear();
    core.run(2_000);
    let leader = core.leader().expect("there is a leader");
    assert!(core.diverged().is_empty());
    assert_eq!(core.replicas[odd].state(), core.replicas[leader].state());
}
