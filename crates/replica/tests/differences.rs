//! Changes on the log as differences, and a member on which one makes another document than where it was proposed.

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

/// A state with a document of ten routes, as a snapshot's text; `other`: one route says another thing.
fn snapshot(other: bool) -> String {
    let mut doc = document(1, 10);
    if other {
        doc["routes"]["r3"]["timeout_s"] = 7.into();
    }
    let mut state = ReplicatedState::default();
    assert_eq!(state.apply(put(0, doc)), Outcome::Taken);
    state.to_text()
}

/// Three members that come back with their disks, on a fake clock; disks write at once, messages come within the ms.
struct Core {
    now: u64,
    houses: Vec<Replica>,
    answers: BTreeMap<Ticket, Answer>,
    events: Vec<(usize, Event)>,
    /// What each applied.
    logs: Vec<Vec<Logged>>,
    cut: BTreeSet<usize>,
    /// Index of the newest snapshot that each wrote.
    snapshots: Vec<u64>,
}

impl Core {
    /// The snapshot of member `odd` is another one than the others'.
    fn new(seed: u64, odd: Option<usize>) -> Core {
        let member = |node| Member { id: bootstrap_member_id(&host(node)), host: host(node) };
        let house = |node: usize| {
            let place = MemberConfig {
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
            Replica::new(Rc::new(place), restored, Tuning::default(), seed * 10 + node as u64, 1_000)
        };
        let mut core = Core {
            now: 1_000,
            houses: (0..MEMBERS).map(house).collect(),
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
        let sure = |house: &Replica| {
            house.leader_state().is_some()
                && house.consensus().quorum_age(self.now).is_some_and(|age| age < 350)
        };
        (0..MEMBERS).find(|node| sure(&self.houses[*node]))
    }

    fn at<R>(&mut self, node: usize, act: impl FnOnce(&mut Replica, u64) -> R) -> R {
        let result = act(&mut self.houses[node], self.now);
        let mut mail: VecDeque<(usize, usize, Envelope)> = VecDeque::new();
        let mut busy = vec![node];
        while let Some(node) = busy.pop() {
            let effects = self.houses[node].take_effects();
            for write in &effects.writes {
                if let Some(snapshot) = &write.snapshot {
                    self.snapshots[node] = snapshot.index;
                }
                self.houses[node].written(self.now, write.ticket, true);
                busy.push(node);
            }
            self.answers.extend(effects.answers);
            self.logs[node].extend(effects.applied);
            self.events.extend(effects.events.into_iter().map(|event| (node, event)));
            for (to, envelope) in effects.send {
                mail.extend((0..MEMBERS).find(|node| host(*node) == to).map(|to| (node, to, envelope)));
            }
            while busy.is_empty() {
                let Some((from, to, envelope)) = mail.pop_front() else { break };
                if !self.cut.contains(&from) && !self.cut.contains(&to) {
                    self.houses[to].receive(self.now, vec![envelope]);
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
                if self.houses[node].next_wake() <= self.now {
                    self.at(node, Replica::tick);
                }
            }
        }
    }

    fn send(&mut self, node: usize, patch: bool, base: u64, body: &Value) -> Option<Answer> {
        let body = serde_json::to_vec(body).expect("JSON").into();
        let ticket =
            self.at(node, |house, now| house.change_config(now, Change { patch, base: Some(base), body }));
        self.answers.remove(&ticket)
    }

    /// Patches one route, from the version in force.
    fn patch(&mut self, route: usize) -> Option<Answer> {
        let leader = self.leader().expect("one leads");
        let base = self.houses[leader].state().version();
        let route = json!({format!("r{route}"): {
            "hostname": "h", "path_prefix": format!("/{route}/"), "backend": "b", "timeout_s": base,
        }});
        self.send(leader, true, base, &json!({"config_version": base + 1, "upsert": {"routes": route}}))
    }

    /// One watch call of a follower at its leader.
    fn follow(&mut self, node: usize) {
        if let Some(answer) = self.ask(node) {
            self.learn(node, answer);
        }
    }

    /// The leader's answer to a follower's call, by way of the wire.
    fn ask(&mut self, node: usize) -> Option<WatchAnswer> {
        let leader = self.leader().filter(|leader| *leader != node)?;
        let call = self.houses[node].watch_call(5);
        let text = serde_json::to_string(&call).expect("JSON");
        let call = serde_json::from_str(&text).expect("own text");
        let held = self.at(leader, |house, now| house.begin_watch(now, &call)).expect("it leads");
        let answer =
            self.at(leader, |house, now| house.answer_watch(now, &call, &held)).expect("it leads")?;
        let text = serde_json::to_string(&answer).expect("JSON");
        Some(serde_json::from_str(&text).expect("own text"))
    }

    fn learn(&mut self, node: usize, answer: WatchAnswer) {
        self.at(node, |house, now| house.apply_watch_answer(now, answer)).expect("no way back");
    }

    fn diverged(&self) -> Vec<usize> {
        (0..MEMBERS).filter(|node| self.houses[*node].is_diverged()).collect()
    }

    /// The newest entry that a member applied.
    fn newest(&self, node: usize) -> Option<(Entry, usize)> {
        let data = self.logs[node].iter().rev().find_map(Logged::data)?;
        Some((serde_json::from_str(data).expect("an entry"), data.len()))
    }
}

#[test]
fn the_log_has_differences_where_they_are_less() {
    let mut core = Core::new(3, None);
    let leader = core.leader().expect("one leads");
    let mut whole = document(2, 300);
    // All of the ten that were there are gone.
    let routes = whole["routes"].as_object_mut().expect("a table");
    (0..10).for_each(|number| drop(routes.remove(&format!("r{number}"))));
    assert_eq!(core.send(leader, false, 1, &whole), Some(Answer::Accepted));
    assert!(matches!(core.newest(leader), Some((Entry::Put { version: 2, .. }, _))), "most of it is new");
    assert_eq!(core.patch(17), Some(Answer::Accepted));
    let Some((Entry::Change { base: 2, version: 3, .. }, bytes)) = core.newest(leader) else {
        panic!("a patch is a difference")
    };
    assert!(bytes < 350, "{bytes} bytes of an entry, the document has {}", whole.to_string().len());
    // The document whole once more, with one route changed: the same.
    let mut next = core.houses[leader].state().doc().clone();
    next["config_version"] = 9.into();
    next["routes"]["r50"]["timeout_s"] = 2.into();
    assert_eq!(core.send(leader, false, 3, &next), Some(Answer::Accepted));
    assert!(matches!(core.newest(leader), Some((Entry::Change { version: 9, .. }, 0..=350))));
    core.run(300);
    for node in 0..MEMBERS {
        assert_eq!(core.houses[node].state(), core.houses[leader].state());
        assert_eq!(core.houses[node].state().doc(), &next);
    }
}

/// What the program of before wrote: entries of whole documents, and a state without digests.
#[test]
fn a_log_of_whole_documents_opens_and_goes_on_with_differences() {
    let old = r#"{"put":{"base":0,"version":4,"digest":"a","doc":{"config_version":4,"routes":{"r":{"weight":0.1}}}}}"#;
    let mut state = ReplicatedState::default();
    let entry: Entry = serde_json::from_str(old).expect("as it was written");
    assert_eq!(state.apply(entry.clone()), Outcome::Taken);
    assert_eq!(serde_json::to_string(&entry).expect("JSON"), old, "and is written as it was");
    let mut back = ReplicatedState::from_text(&state.to_text()).expect("own text");
    assert!(!state.to_text().contains("result"), "snapshots are as they were");
    let change =
        nickeljunction_schema::Patch::of(json!({"config_version": 6, "upsert": {"routes": {"s": {}}}}))
            .expect("a patch");
    let mut wants = state.doc().clone();
    let difference = nickeljunction_schema::Difference::between(
        state.doc(),
        &json!({
            "config_version": 6, "routes": {"r": {"weight": 0.1}, "s": {}},
        }),
    );
    let result = difference.apply(&mut wants, state.document_digest());
    let entry =
        Entry::Change { base: 4, version: change.version(), digest: "b".into(), change: difference, result };
    let text = serde_json::to_string(&entry).expect("JSON");
    assert_eq!(serde_json::from_str::<Entry>(&text).expect("own text"), entry);
    for state in [&mut state, &mut back] {
        assert_eq!(state.apply(entry.clone()), Outcome::Taken);
        assert_eq!((state.version(), state.doc()), (6, &wants));
        assert_eq!(state.apply(entry.clone()), Outcome::Taken, "the same once more");
    }
    assert_eq!(state, back);
}

#[test]
fn a_difference_that_makes_another_document_changes_nothing_and_says_so() {
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

/// A follower's state is another one than the log's: it says so, holds what comes, never leads, and goes on from the
/// leader's state with all that came meanwhile.
#[test]
fn a_member_whose_state_came_apart_says_so_and_never_leads_before_it_has_the_leaders() {
    for seed in 0..8 {
        let odd =
            (0..MEMBERS).find(|odd| Core::new(seed, Some(*odd)).leader() != Some(*odd)).expect("a follower");
        let mut core = Core::new(seed, Some(odd));
        let leader = core.leader().expect("one leads");
        assert_eq!(core.patch(1), Some(Answer::Accepted));
        core.run(200);
        assert_eq!(core.diverged(), [odd], "seed {seed}");
        let told = core
            .events
            .iter()
            .filter(|(node, event)| *node == odd && matches!(event, Event::Diverged { .. }));
        assert_eq!(told.count(), 1, "seed {seed}");
        for route in 2..5 {
            assert_eq!(core.patch(route), Some(Answer::Accepted));
        }
        core.at(leader, |house, now| house.change_evacuation(now, "z1".into(), false));
        core.run(200);
        assert_eq!(core.houses[odd].state().version(), 1, "nothing more is applied");
        // The leader is gone: of the two that remain only the other one leads.
        core.cut.insert(leader);
        for _ in 0..6_000 {
            core.run(1);
            assert!(core.houses[odd].leader_state().is_none(), "seed {seed}: it leads with old state");
        }
        let next = core.leader().expect("the other one leads");
        assert_ne!(next, odd);
        assert_eq!(core.patch(5), Some(Answer::Accepted));
        core.follow(odd);
        core.run(200);
        core.cut.clear();
        core.run(2_000);
        assert_eq!(core.patch(6), Some(Answer::Accepted));
        core.run(200);
        assert!(core.diverged().is_empty(), "seed {seed}");
        let now = core.leader().expect("one leads");
        for node in 0..MEMBERS {
            assert_eq!(core.houses[node].state(), core.houses[now].state(), "seed {seed}");
        }
        assert!(core.houses[odd].state().evacuated().contains("z1"));
        assert!(core
            .events
            .iter()
            .any(|(node, event)| *node == odd && matches!(event, Event::StateTransferred { .. })));
    }
}

/// The one that leads is the odd one: what it acknowledges is what all have in the end.
#[test]
fn where_the_others_came_apart_from_the_leader_they_take_its_state() {
    let seed = (0..20).find(|seed| Core::new(*seed, Some(0)).leader() == Some(0)).expect("a seed");
    let mut core = Core::new(seed, Some(0));
    assert_eq!(core.patch(1), Some(Answer::Accepted));
    core.run(200);
    assert_eq!(core.diverged(), [1, 2]);
    core.follow(1);
    core.follow(2);
    assert_eq!(core.patch(2), Some(Answer::Accepted));
    core.run(200);
    assert!(core.diverged().is_empty());
    for node in 1..MEMBERS {
        assert_eq!(core.houses[node].state(), core.houses[0].state());
    }
}

/// The state that was asked for is older than what came since, or newer than what came so far; and nothing of the wrong
/// state gets onto the disk, however many entries pass.
#[test]
fn a_state_that_is_told_late_or_early_is_taken_at_its_place_on_the_log() {
    let odd = (0..MEMBERS).find(|odd| Core::new(1, Some(*odd)).leader() != Some(*odd)).expect("a follower");
    let mut core = Core::new(1, Some(odd));
    for number in 0..70 {
        assert_eq!(core.patch(number % 10), Some(Answer::Accepted));
    }
    core.run(200);
    let leader = core.leader().expect("one leads");
    assert_eq!(core.diverged(), [odd]);
    assert_eq!((core.snapshots[odd], core.snapshots[leader] > 9), (0, true), "snapshots written");
    // Late: two more changes come before the answer.
    let answer = core.ask(odd).expect("an answer");
    assert_eq!(core.patch(1), Some(Answer::Accepted));
    core.at(leader, |house, now| house.change_evacuation(now, "z1".into(), false));
    core.run(200);
    core.learn(odd, answer);
    assert!(core.diverged().is_empty());
    assert_eq!(core.houses[odd].state(), core.houses[leader].state());

    // Early: the answer tells of changes that have not come here.
    let mut core = Core::new(1, Some(odd));
    assert_eq!(core.patch(1), Some(Answer::Accepted));
    core.run(200);
    core.cut.insert(odd);
    assert_eq!(core.patch(2), Some(Answer::Accepted));
    core.run(200);
    let answer = core.ask(odd).expect("an answer");
    core.learn(odd, answer);
    assert_eq!((core.diverged(), core.houses[odd].state().version()), (vec![odd], 1), "not yet");
    core.cut.clear();
    core.run(2_000);
    let leader = core.leader().expect("one leads");
    assert!(core.diverged().is_empty());
    assert_eq!(core.houses[odd].state(), core.houses[leader].state());
}
