//! The configuration to watchers as differences: what each is told, and what becomes of one that doesn't fit.

use nickeljunction_messages::{Caller, VersionedConfig, WatchAnswer, WatchCall};
use nickeljunction_registry::{ApplyError, ConfigHistory, Register, Tuning, WatchCache};
use nickeljunction_schema::{Difference, DocumentDigest, Place};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A leader's register and the document that it tells, of so many routes.
struct Leader {
    register: Register,
    doc: Value,
    version: u64,
    changes: ConfigHistory,
}

impl Leader {
    fn new(routes: usize) -> Leader {
        let names = (0..routes).map(|number| (format!("r{number}"), json!({"path_prefix": "/", "note": 0})));
        let doc = json!({"config_version": 1, "routes": names.collect::<serde_json::Map<_, _>>()});
        let register = Register::new(1_000, Tuning::new(1_000, BTreeMap::new()), 1, None);
        let mut leader = Leader { register, doc, version: 1, changes: ConfigHistory::default() };
        leader.publish();
        leader
    }

    fn publish(&mut self) {
        let line = VersionedConfig { version: self.version, document: self.doc.clone() };
        self.register.set_config(Rc::new(line), DocumentDigest::of(&self.doc), self.changes.clone());
    }

    /// ConfigHistory one route, as an entry of the log would.
    fn change(&mut self, route: usize) {
        let before = self.doc.clone();
        self.version += 2;
        self.doc["config_version"] = self.version.into();
        self.doc["routes"][format!("r{route}")]["note"] = self.version.into();
        let places = Difference::between(&before, &self.doc).places(&before);
        self.changes.push(self.version - 2, self.version, places);
        self.publish();
    }

    fn ask(&self, copy: &WatchCache) -> WatchCall {
        copy.watch_call(Caller::Gateway, "edge", 7, None, 1_000)
    }

    /// What a watcher is told, by way of the wire.
    fn answer(&self, call: &WatchCall) -> Option<WatchAnswer> {
        let answer = self.register.answer(1_000, call, 0)?;
        let text = serde_json::to_string(&answer).expect("JSON");
        Some(serde_json::from_str(&text).expect("own text"))
    }

    fn told(&self, copy: &mut WatchCache) -> WatchAnswer {
        let answer = self.answer(&self.ask(copy)).expect("news");
        copy.apply(answer.clone()).expect("it fits");
        assert_eq!(copy.catalog().config.as_ref().map(|held| &held.document), Some(&self.doc));
        answer
    }
}

fn bytes(answer: &WatchAnswer) -> usize {
    serde_json::to_string(answer).map_or(0, |text| text.len())
}

#[test]
fn a_watcher_is_told_one_difference_whatever_number_of_versions_it_is_behind() {
    let mut leader = Leader::new(200);
    let (mut near, mut far) = (WatchCache::new(), WatchCache::new());
    let whole = leader.told(&mut near);
    leader.told(&mut far);
    assert!(whole.config.is_some() && whole.config_change.is_none(), "the first is whole");
    for round in 0..400 {
        leader.change(round % 3);
        let answer = leader.told(&mut near);
        let change = answer.config_change.as_ref().expect("a difference");
        assert_eq!((change.from, change.version), (leader.version - 2, leader.version));
        assert!(bytes(&answer) < 300, "{} bytes", bytes(&answer));
    }
    let answer = leader.told(&mut far);
    assert_eq!(answer.config_change.as_ref().map(|change| change.from), Some(1));
    assert!(bytes(&answer) < 450, "400 changes of three routes are {} bytes", bytes(&answer));
    assert!(leader.answer(&leader.ask(&far)).is_none(), "nothing more");
}

#[test]
fn who_is_too_far_behind_or_takes_no_differences_is_told_the_whole() {
    let mut leader = Leader::new(50);
    let (mut old, mut plain) = (WatchCache::new(), WatchCache::new());
    leader.told(&mut old);
    leader.told(&mut plain);
    leader.change(1);
    let call = WatchCall { accepts_config_changes: false, ..leader.ask(&plain) };
    let answer = leader.answer(&call).expect("news");
    assert!(answer.config.is_some() && answer.config_change.is_none(), "a program of before");
    plain.apply(answer).expect("whole");
    assert_eq!(plain.catalog().version(), leader.version);
    for _ in 0..600 {
        leader.change(1);
    }
    assert!(leader.told(&mut old).config.is_some(), "more versions than are kept");
    // All routes at once: the difference would be no less.
    for route in 0..50 {
        leader.change(route);
    }
    assert!(leader.told(&mut old).config.is_some());
    let core = WatchCache::new().watch_call(Caller::Core, "core-2", 9, None, 0);
    let answer = leader.answer(&core).expect("all but the configuration");
    assert!(answer.config.is_none() && answer.config_change.is_none(), "core members have it from the log");
}

#[test]
fn a_difference_that_makes_another_document_is_refused_and_the_whole_asked_for() {
    let mut leader = Leader::new(50);
    let mut copy = WatchCache::new();
    leader.told(&mut copy);
    leader.change(1);
    leader.told(&mut copy);
    leader.change(2);
    let mut answer = leader.answer(&leader.ask(&copy)).expect("news");
    // One change between was lost: the same versions, another content.
    let change = answer.config_change.take().expect("a difference");
    let doc = json!({"config_version": leader.version});
    let difference = Difference::between(&json!({}), &doc);
    answer.config_change =
        Some(Rc::new(nickeljunction_messages::ConfigChange { difference, ..(*change).clone() }));
    let before = copy.catalog();
    assert_eq!(copy.apply(answer), Err(ApplyError::DigestMismatch(leader.version)));
    assert!(Rc::ptr_eq(&before, &copy.catalog()), "nothing changed");
    assert_eq!(leader.ask(&copy).version, 0, "it asks for the whole");
    assert!(leader.told(&mut copy).config.is_some());
    leader.change(3);
    assert!(leader.told(&mut copy).config_change.is_some(), "from then on by differences again");
}

/// A document that came whole between two differences: nothing leads over it.
#[test]
fn nothing_leads_over_a_gap() {
    let mut changes = ConfigHistory::default();
    let place = |name: &str| BTreeSet::from([Place::Member(name.into())]);
    let doc = json!({"a": 1, "b": 2, "c": 3, "d": 4});
    changes.push(1, 2, place("a"));
    changes.push(2, 4, place("b"));
    assert_eq!(
        changes.since(1, 4, &doc),
        Some(Difference::of_places(&doc, &place("a").union(&place("b")).cloned().collect::<Vec<_>>()))
    );
    assert_eq!(changes.since(3, 4, &doc), None, "no such version was in force");
    assert_eq!(changes.since(1, 5, &doc), None, "another one is the newest");
    changes.push(9, 11, place("c"));
    assert_eq!(changes.since(9, 11, &doc), Some(Difference::of_places(&doc, &place("c"))));
    assert_eq!(changes.since(1, 11, &doc), None);
    changes.clear();
    assert_eq!(changes.since(9, 11, &doc), None);
}

#[test]
fn answers_that_were_overtaken_change_nothing() {
    let mut leader = Leader::new(50);
    let (mut copy, mut other) = (WatchCache::new(), WatchCache::new());
    leader.told(&mut copy);
    leader.told(&mut other);
    leader.change(1);
    let early = leader.answer(&leader.ask(&copy)).expect("news");
    leader.change(2);
    let late = leader.answer(&leader.ask(&copy)).expect("news");
    copy.apply(late.clone()).expect("it fits");
    assert!(!copy.apply(late).expect("the same once more").config);
    assert!(copy.apply(early.clone()).is_err(), "an older number");
    assert_eq!(copy.catalog().config.as_ref().map(|held| &held.document), Some(&leader.doc));
    // The early one first, then one that is made for the version before it.
    other.apply(early).expect("it fits");
    leader.change(3);
    let third = leader.answer(&WatchCall { version: 1, ..leader.ask(&other) }).expect("news");
    assert_eq!(other.apply(third), Err(ApplyError::BaseMismatch(3, 1)));
    assert_eq!(leader.ask(&other).version, 3, "what it holds is sound");
    leader.told(&mut other);
}
