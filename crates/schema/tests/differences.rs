//! Differences of documents and their digests, over drawn documents.

use nickeljunction_schema::{Difference, Document, DocumentDigest, Patch, Place};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Map, Value};
use std::collections::BTreeSet;

/// Documents that share most of their items, with tables that are missing, null or empty.
fn documents() -> impl Strategy<Value = Value> {
    let table = || {
        let items = prop::collection::btree_map(
            "[a-d]",
            (0..3_u8, any::<f64>().prop_filter("JSON", |it| it.is_finite())),
            0..4,
        );
        let items = items.prop_map(|items| {
            let item = |(name, (kind, figure))| (name, json!({"kind": kind, "figure": figure}));
            Value::from(Map::from_iter(items.into_iter().map(item)))
        });
        prop_oneof![4 => items, 1 => Just(Value::Null), 1 => Just(json!("none"))]
    };
    let names = ["routes", "tenants", "trials", "limits", "extra"];
    prop::collection::vec((0..names.len(), table()), 0..6).prop_map(move |members| {
        Value::from(Map::from_iter(members.into_iter().map(|(at, value)| (names[at].to_owned(), value))))
    })
}

fn applied(change: &Difference, doc: &Value) -> (Value, DocumentDigest) {
    let mut made = doc.clone();
    let digest = change.apply(&mut made, DocumentDigest::of(doc));
    (made, digest)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0xd1ff),
        ..ProptestConfig::default()
    })]

    /// The digest of what results is the one that a whole look at it gives, and the difference comes back from the wire.
    #[test]
    fn a_difference_leads_to_the_new_document_and_its_digest(old in documents(), new in documents()) {
        let change = Difference::between(&old, &new);
        let text = serde_json::to_string(&change).unwrap();
        let change: Difference = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(applied(&change, &old), (new.clone(), DocumentDigest::of(&new)));
        prop_assert_eq!(DocumentDigest::of(&old) == DocumentDigest::of(&new), old == new);
    }

    /// Whatever number of versions lies between, one difference over the places that they changed leads to the newest.
    #[test]
    fn the_places_of_many_changes_make_one(row in prop::collection::vec(documents(), 2..8)) {
        let mut places: BTreeSet<Place> = BTreeSet::new();
        for pair in row.windows(2) {
            places.extend(Difference::between(&pair[0], &pair[1]).places(&pair[0]));
        }
        let (oldest, newest) = (&row[0], &row[row.len() - 1]);
        let (made, digest) = applied(&Difference::of_places(newest, &places), oldest);
        prop_assert_eq!((&made, digest), (newest, DocumentDigest::of(newest)));
        // And back: what is undone is as it was.
        let undo = Difference::of_places(oldest, &places);
        prop_assert_eq!(applied(&undo, newest).0, oldest.clone());
    }

    /// A difference to another document than it was made for is told by the digest, unless it makes the same of it.
    #[test]
    fn another_base_shows(old in documents(), new in documents(), other in documents()) {
        let (made, digest) = applied(&Difference::between(&old, &new), &other);
        prop_assert_eq!(digest == DocumentDigest::of(&new), made == new);
    }
}

#[test]
fn a_patch_tells_what_it_changes_and_no_more() {
    let route = |prefix: &str| json!({"hostname": "h", "path_prefix": prefix, "backend": "b"});
    let doc = json!({"config_version": 1, "backends": {"b": {}}, "routes": {"r1": route("/1/"), "r2": route("/2/")}});
    let patch = json!({
        "config_version": 5,
        "upsert": {"routes": {"r1": route("/1/"), "r3": route("/3/")}, "tenants": {"t": {"api_keys": ["k"]}}},
        "remove": {"routes": ["r2", "r9", "r3"]},
    });
    let patched = Patch::of(patch).unwrap().apply_raw(&doc, DocumentDigest::of(&doc)).unwrap();
    let wants = json!({
        "s": {"config_version": 5, "tenants": {"t": {"api_keys": ["k"]}}},
        "r": {"routes": ["r2"]}, "u": {"routes": {"r3": route("/3/")}},
    });
    assert_eq!(serde_json::to_value(&patched.difference).unwrap(), wants);
    assert_eq!(patched.digest, DocumentDigest::of(patched.document.raw()));
    let whole = Patch::of(json!({"config_version": 5, "remove": {"routes": ["r2"]}})).unwrap();
    let current = Document::of(doc.clone()).unwrap();
    assert_eq!(whole.apply(&current).unwrap().raw()["routes"], json!({"r1": route("/1/")}));
}

#[test]
fn a_digest_is_the_same_on_every_machine() {
    let digest = |doc: &Value| serde_json::to_value(DocumentDigest::of(doc)).unwrap();
    let doc = json!({"config_version": 1, "routes": {"a": {"weight": 0.1}, "b": {}}});
    // Another figure here means that members of two builds would part: they must not run together.
    assert_eq!(digest(&doc), json!("bbeeb7b8a4ed11df0c8fdd76a24a877e"));
    assert_eq!(digest(&Value::Null), json!("00000000000000000000000000000000"));
    let swapped = json!({"config_version": 1, "routes": {"b": {"weight": 0.1}, "a": {}}});
    assert_ne!(digest(&doc), digest(&swapped));
}
