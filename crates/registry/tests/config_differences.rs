//! The configuration sent to watchers as differences: what each watcher receives, and what happens to a difference
//! that doesn't fit.

use nickeljunction_messages::{Caller, VersionedConfig, WatchAnswer, WatchCall};
use nickeljunction_registry::{ApplyError, ConfigHistory, Register, Tuning, WatchCache};
use nickeljunction_schema::{Difference, DocumentDigest, Place};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A leader's register and the configuration document that it publishes.
struct Leader {
    register: Register,
    doc: Value,
    version: u64,
    history: ConfigHistory,
}

impl Leader {
    /// A leader whose document has this number of routes.
    fn new(routes: usize) -> Leader {
        let names = (0..routes).map(|number| (format!("r{number}"), json!({"path_prefix": "/", "note": 0})));
        let doc = json!({"config_version": 1, "routes": names.collect::<serde_json::Map<_, _>>()});
        let register = Register::new(1_000, Tuning::new(1_000, BTreeMap::new()), 1, None);
        let mut leader = Leader { register, doc, version: 1, history: ConfigHistory::default() };
        leader.publish();
        leader
    }

    fn publish(&mut self) {
        let line = VersionedConfig { version: self.version, document: self.doc.clone() };
        self.register.set_config(Rc::new(line), DocumentDigest::of(&self.doc), self.history.clone());
    }

    /// Changes one route, as a log entry would.
    fn change(&mut self, route: usize) {
        let before = self.doc.clone();
        self.version += 2;
        self.doc["config_version"] = self.version.into();
        self.doc["routes"][format!("r{route}")]["note"] = self.version.into();
        let places = Difference::between(&before, &self.doc).places(&before);
        self.history.push(self.version - 2, self.version, places);
        self.publish();
    }

    fn watch_call(&self, cache: &WatchCache) -> WatchCall {
        cache.watch_call(Caller::Gateway, "edge", 7, None, 1_000)
    }

    /// The answer to a call, serialized and parsed again.
    fn answer(&self, call: &WatchCall) -> Option<WatchAnswer> {
        let answer = self.register.answer(1_000, call, 0)?;
        let text = serde_json::to_string(&answer).expect("JSON");
        Some(serde_json::from_str(&text).expect("valid JSON"))
    }

    /// Applies the next answer to a cache, which then has the leader's document. Returns the answer.
    fn update(&self, cache: &mut WatchCache) -> WatchAnswer {
        let answer = self.answer(&self.watch_call(cache)).expect("there are changes");
        cache.apply(answer.clone()).expect("the answer fits");
        assert_eq!(cache.catalog().config.as_ref().map(|config| &config.document), Some(&self.doc));
        answer
    }
}

fn bytes(answer: &WatchAnswer) -> usize {
    serde_json::to_string(answer).map_or(0, |text| text.len())
}

#[test]
fn a_watcher_receives_one_difference_however_many_versions_it_is_behind() {
    let mut leader = Leader::new(200);
    let (mut current, mut behind) = (WatchCache::new(), WatchCache::new());
    let whole = leader.update(&mut current);
    leader.update(&mut behind);
    assert!(
        whole.config.is_some() && whole.config_change.is_none(),
        "the first answer has the whole document"
    );
    for round in 0..400 {
        leader.change(round % 3);
        let answer = leader.update(&mut current);
        let change = answer.config_change.as_ref().expect("a difference");
        assert_eq!((change.from, change.version), (leader.version - 2, leader.version));
        assert!(bytes(&answer) < 300, "{} bytes", bytes(&answer));
    }
    let answer = leader.update(&mut behind);
    assert_eq!(answer.config_change.as_ref().map(|change| change.from), Some(1));
    assert!(bytes(&answer) < 450, "400 changes of three routes are {} bytes", bytes(&answer));
    assert!(leader.answer(&leader.watch_call(&behind)).is_none(), "the watcher has everything");
}

#[test]
fn watchers_that_are_too_far_behind_or_accept_no_differences_receive_the_whole_document() {
    let mut leader = Leader::new(50);
    let (mut behind, mut without_differences) = (WatchCache::new(), WatchCache::new());
    leader.update(&mut behind);
    leader.update(&mut without_differences);
    leader.change(1);
    let call = WatchCall { accepts_config_changes: false, ..leader.watch_call(&without_differences) };
    let answer = leader.answer(&call).expect("there are changes");
    assert!(
        answer.config.is_some() && answer.config_change.is_none(),
        "a watcher of an earlier program version"
    );
    without_differences.apply(answer).expect("the whole document");
    assert_eq!(without_differences.catalog().version(), leader.version);
    for _ in 0..600 {
        leader.change(1);
    }
    assert!(leader.update(&mut behind).config.is_some(), "more versions than the history keeps");
    // All routes have changed, so a difference would not be smaller.
    for route in 0..50 {
        leader.change(route);
    }
    assert!(leader.update(&mut behind).config.is_some());
    let core = WatchCache::new().watch_call(Caller::Core, "core-2", 9, None, 0);
    let answer = leader.answer(&core).expect("everything except for the configuration");
    assert!(answer.config.is_none() && answer.config_change.is_none(), "core members have it from the log");
}

#[test]
fn a_difference_that_gives_a_wrong_document_is_refused_and_the_whole_document_is_requested() {
    let mut leader = Leader::new(50);
    let mut cache = WatchCache::new();
    leader.update(&mut cache);
    leader.change(1);
    leader.update(&mut cache);
    leader.change(2);
    let mut answer = leader.answer(&leader.watch_call(&cache)).expect("there are changes");
    // A change in between is missing: the versions are the same, but the content differs.
    let change = answer.config_change.take().expect("a difference");
    let doc = json!({"config_version": leader.version});
    let difference = Difference::between(&json!({}), &doc);
    answer.config_change =
        Some(Rc::new(nickeljunction_messages::ConfigChange { difference, ..(*change).clone() }));
    let before = cache.catalog();
    assert_eq!(cache.apply(answer), Err(ApplyError::DigestMismatch(leader.version)));
    assert!(Rc::ptr_eq(&before, &cache.catalog()), "a refused answer changes nothing");
    assert_eq!(leader.watch_call(&cache).version, 0, "the next call requests the whole document");
    assert!(leader.update(&mut cache).config.is_some());
    leader.change(3);
    assert!(leader.update(&mut cache).config_change.is_some(), "after that differences are sent again");
}

/// If the document was replaced as a whole between two differences, there is no difference across that.
#[test]
fn there_is_no_difference_across_a_gap() {
    let mut history = ConfigHistory::default();
    let place = |name: &str| BTreeSet::from([Place::Member(name.into())]);
    let doc = json!({"a": 1, "b": 2, "c": 3, "d": 4});
    history.push(1, 2, place("a"));
    history.push(2, 4, place("b"));
    assert_eq!(
        history.since(1, 4, &doc),
        Some(Difference::of_places(&doc, &place("a").union(&place("b")).cloned().collect::<Vec<_>>()))
    );
    assert_eq!(history.since(3, 4, &doc), None, "there was no such version");
    assert_eq!(history.since(1, 5, &doc), None, "another version is the newest");
    history.push(9, 11, place("c"));
    assert_eq!(history.since(9, 11, &doc), Some(Difference::of_places(&doc, &place("c"))));
    assert_eq!(history.since(1, 11, &doc), None);
    history.clear();
    assert_eq!(history.since(9, 11, &doc), None);
}

#[test]
fn overtaken_answers_change_nothing() {
    let mut leader = Leader::new(50);
    let (mut cache, mut other) = (WatchCache::new(), WatchCache::new());
    leader.update(&mut cache);
    leader.update(&mut other);
    leader.change(1);
    let early = leader.answer(&leader.watch_call(&cache)).expect("there are changes");
    leader.change(2);
    let late = leader.answer(&leader.watch_call(&cache)).expect("there are changes");
    cache.apply(late.clone()).expect("the answer fits");
    assert!(!cache.apply(late).expect("the same answer again").config);
    assert!(cache.apply(early.clone()).is_err(), "its sequence number is older");
    assert_eq!(cache.catalog().config.as_ref().map(|config| &config.document), Some(&leader.doc));
    // Another watcher applies the early answer first, and then one that starts from the version before it.
    other.apply(early).expect("the answer fits");
    leader.change(3);
    let third =
        leader.answer(&WatchCall { version: 1, ..leader.watch_call(&other) }).expect("there are changes");
    assert_eq!(other.apply(third), Err(ApplyError::BaseMismatch(3, 1)));
    assert_eq!(leader.watch_call(&other).version, 3, "the configuration here is still valid");
    leader.update(&mut other);
}
