//! What changes between two documents, by place, and the digest by which both sides know that they came to the same.
//!
//! A document is a set of places: its members, and in each [`Table`] its items. A [`Difference`] names the places that
//! changed with what they hold from then on. It is applied to the raw JSON, without a look at what the items mean: who
//! makes one has checked the document that results.

use crate::digest::DocumentDigest;
use crate::table::Table;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// A part of a document that changes as a whole.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// A member of the document.
    Member(String),
    /// An item of a table: the table's name and its own.
    Item(String, String),
}

/// Places that changed, with what they hold now. Applied in the order of its fields.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Members of the document that are gone.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    unset: Vec<String>,
    /// Members of the document, whole.
    #[serde(rename = "s", default, skip_serializing_if = "Map::is_empty")]
    set: Map<String, Value>,
    /// Names of items that are gone, by table.
    #[serde(rename = "r", default, skip_serializing_if = "BTreeMap::is_empty")]
    remove: BTreeMap<String, Vec<String>>,
    /// Items, whole, by table and name.
    #[serde(rename = "u", default, skip_serializing_if = "BTreeMap::is_empty")]
    upsert: BTreeMap<String, Map<String, Value>>,
}

impl Difference {
    /// What makes `new` of `old`.
    pub fn between(old: &Value, new: &Value) -> Difference {
        let empty = Map::new();
        let (before, after) = (old.as_object().unwrap_or(&empty), new.as_object().unwrap_or(&empty));
        let mut difference = Difference::default();
        for (name, value) in after {
            match (before.get(name), value) {
                (Some(known), _) if known == value => {}
                (Some(Value::Object(known)), Value::Object(items)) if is_table(name) => {
                    difference.table(name, known, items);
                }
                _ => drop(difference.set.insert(name.clone(), value.clone())),
            }
        }
        difference.unset = before.keys().filter(|name| !after.contains_key(*name)).cloned().collect();
        difference
    }

    fn table(&mut self, name: &str, known: &Map<String, Value>, items: &Map<String, Value>) {
        let news = items.iter().filter(|(item, value)| known.get(*item) != Some(value));
        let news: Map<_, _> = news.map(|(item, value)| (item.clone(), value.clone())).collect();
        self.upsert(name, news);
        self.remove(name, known.keys().filter(|item| !items.contains_key(*item)).cloned().collect());
    }

    /// A member is set whole.
    pub(crate) fn set(&mut self, name: &str, value: Value) {
        self.set.insert(name.to_owned(), value);
    }

    /// Items go.
    pub(crate) fn remove(&mut self, table: &str, names: Vec<String>) {
        if !names.is_empty() {
            self.remove.insert(table.to_owned(), names);
        }
    }

    /// Items come or change.
    pub(crate) fn upsert(&mut self, table: &str, items: Map<String, Value>) {
        if !items.is_empty() {
            self.upsert.insert(table.to_owned(), items);
        }
    }

    /// It names fewer places than `doc` has: it is shorter on the wire, too.
    pub fn is_less_than(&self, doc: &Value) -> bool {
        let items = self.upsert.values().map(Map::len).chain(self.remove.values().map(Vec::len));
        self.unset.len() + self.set.len() + items.sum::<usize>() < places_in(doc)
    }

    /// What these places hold in `doc`: applied to any document that differs from `doc` in none but them it gives `doc`.
    pub fn of_places<'a>(doc: &Value, places: impl IntoIterator<Item = &'a Place>) -> Difference {
        let mut difference = Difference::default();
        for place in places {
            match place {
                Place::Member(name) => match doc.get(name) {
                    Some(value) => drop(difference.set.insert(name.clone(), value.clone())),
                    None => difference.unset.push(name.clone()),
                },
                Place::Item(table, name) => match doc.get(table).and_then(|items| items.get(name)) {
                    Some(item) => {
                        let items = difference.upsert.entry(table.clone()).or_default();
                        items.insert(name.clone(), item.clone());
                    }
                    None => difference.remove.entry(table.clone()).or_default().push(name.clone()),
                },
            }
        }
        difference
    }

    /// The places that it changes in `doc`: of a table that isn't there yet the whole.
    pub fn places(&self, doc: &Value) -> BTreeSet<Place> {
        let new = self.upsert.keys().filter(|table| !doc[table.as_str()].is_object());
        let members = self.unset.iter().chain(self.set.keys()).chain(new).cloned().map(Place::Member);
        let gone = self.remove.iter().flat_map(|(table, names)| names.iter().map(move |name| (table, name)));
        let given = self.upsert.iter().flat_map(|(table, items)| items.keys().map(move |name| (table, name)));
        let items = gone.chain(given).map(|(table, name)| Place::Item(table.clone(), name.clone()));
        members.chain(items).collect()
    }

    /// Changes `doc`, whose digest is `digest`, and gives the digest of what results. Only what is named is hashed.
    pub fn apply(&self, doc: &mut Value, digest: DocumentDigest) -> DocumentDigest {
        let mut sum = digest;
        if !doc.is_object() {
            sum = DocumentDigest::of(&Value::Object(Map::new()));
            *doc = Value::Object(Map::new());
        }
        let Value::Object(members) = doc else { return sum };
        for name in &self.unset {
            if let Some(old) = members.remove(name) {
                sum = sum.without_member(name, &old);
            }
        }
        for (name, value) in &self.set {
            if let Some(old) = members.insert(name.clone(), value.clone()) {
                sum = sum.without_member(name, &old);
            }
            sum = sum.with_member(name, value);
        }
        for (table, names) in &self.remove {
            let Some(Value::Object(items)) = members.get_mut(table) else { continue };
            for name in names {
                if let Some(old) = items.remove(name) {
                    sum = sum.without_item(table, name, &old);
                }
            }
        }
        for (table, given) in &self.upsert {
            if !members.get(table).is_some_and(Value::is_object) {
                let none = Value::Object(Map::new());
                sum = sum.with_member(table, &none);
                if let Some(old) = members.insert(table.clone(), none) {
                    sum = sum.without_member(table, &old);
                }
            }
            let Some(Value::Object(items)) = members.get_mut(table) else { continue };
            for (name, item) in given {
                if let Some(old) = items.insert(name.clone(), item.clone()) {
                    sum = sum.without_item(table, name, &old);
                }
                sum = sum.with_item(table, name, item);
            }
        }
        sum
    }
}

/// How many places a document has.
pub fn places_in(doc: &Value) -> usize {
    let members = doc.as_object().into_iter().flatten();
    let places = |(name, member): (&String, &Value)| match member {
        Value::Object(items) if is_table(name) => items.len(),
        _ => 1,
    };
    members.map(places).sum()
}

fn is_table(name: &str) -> bool {
    Table::ALL.iter().any(|table| table.name() == name)
}
