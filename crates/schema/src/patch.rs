//! Changes of named items, and the difference of two documents.

use crate::difference::Difference;
use crate::digest::DocumentDigest;
use crate::document::{read_body, Document, Problem};
use crate::table::Table;
use serde_json::{json, Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// A change of named items, read from the body of a `PATCH`.
#[derive(Debug, Clone, PartialEq)]
pub struct Patch {
    version: u64,
    upsert: BTreeMap<Table, Map<String, Value>>,
    remove: BTreeMap<Table, BTreeSet<String>>,
    limits: Option<Value>,
}

/// What a patch makes of a document.
#[derive(Debug, Clone, PartialEq)]
pub struct Patched {
    /// The whole document that results, checked.
    pub document: Document,
    /// What led to it.
    pub difference: Difference,
    /// Its digest, where that of the one before was given.
    pub digest: DocumentDigest,
}

impl Patch {
    /// Reads a body: `config_version`, `upsert` (for each table a map by name, or a list of items that carry their
    /// `name`; also `limits`, whole) and `remove` (for each table a list of names). Whether the items are right
    /// shows in [`Patch::apply`], in the document that results.
    pub fn read(bytes: &[u8]) -> Result<Patch, Problem> {
        Patch::of(read_body(bytes)?)
    }

    /// The same for JSON that was read already.
    pub fn of(raw: Value) -> Result<Patch, Problem> {
        let Value::Object(mut raw) = raw else {
            return Err(Problem::at("body", "wants an object"));
        };
        let version = raw.remove("config_version").as_ref().and_then(whole).filter(|version| *version > 0);
        let version = version.ok_or_else(|| Problem::at("config_version", "wants a whole number above 0"))?;
        let mut patch = Patch { version, upsert: BTreeMap::new(), remove: BTreeMap::new(), limits: None };
        for (name, items) in members(raw.remove("upsert"), "upsert")? {
            let place = format!("upsert.{name}");
            if name == "limits" {
                let limits = items.is_object().then_some(items);
                patch.limits = Some(limits.ok_or_else(|| Problem::at(place, "wants an object"))?);
                continue;
            }
            let table = Table::named(&name).ok_or_else(|| unknown_table(&place))?;
            patch.upsert.insert(table, named_items(items, &place)?);
        }
        for (name, names) in members(raw.remove("remove"), "remove")? {
            let place = format!("remove.{name}");
            let table = Table::named(&name).ok_or_else(|| unknown_table(&place))?;
            let wants = || Problem::at(place.clone(), "wants a list of names");
            let Value::Array(list) = names else { return Err(wants()) };
            let names = list.into_iter().map(|name| match name {
                Value::String(name) => Ok(name),
                _ => Err(wants()),
            });
            patch.remove.insert(table, names.collect::<Result<_, _>>()?);
        }
        Ok(patch)
    }

    /// The version that results.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The whole document that results, checked; names that aren't there are removed without complaint, and a name
    /// both removed and given anew is given anew. Whether the version is above the present one is not asked here:
    /// see [`Document::above`].
    pub fn apply(&self, to: &Document) -> Result<Document, Problem> {
        self.apply_raw(to.raw(), DocumentDigest::default()).map(|made| made.document)
    }

    /// The same on a document that was checked before and has this digest, and the difference that it makes.
    pub fn apply_raw(&self, to: &Value, digest: DocumentDigest) -> Result<Patched, Problem> {
        if !to.is_object() {
            return Err(Problem::at("body", "wants an object"));
        }
        let mut raw = to.clone();
        let difference = self.difference(to);
        let digest = difference.apply(&mut raw, digest);
        Ok(Patched { document: Document::of(raw)?, difference, digest })
    }

    /// What it changes in a document.
    fn difference(&self, to: &Value) -> Difference {
        let mut difference = Difference::default();
        difference.set("config_version", self.version.into());
        for (table, names) in &self.remove {
            let given = self.upsert.get(table);
            let gone = names.iter().filter(|name| given.is_none_or(|given| !given.contains_key(*name)));
            let there = |name: &&String| to[table.name()].get(name.as_str()).is_some();
            difference.remove(table.name(), gone.filter(there).cloned().collect());
        }
        for (table, given) in &self.upsert {
            match &to[table.name()] {
                Value::Object(held) => {
                    let news = given.iter().filter(|(name, item)| held.get(*name) != Some(item));
                    let news = news.map(|(name, item)| (name.clone(), item.clone())).collect();
                    difference.upsert(table.name(), news);
                }
                Value::Null => difference.set(table.name(), given.clone().into()),
                // No table: what results is refused as it was.
                _ => {}
            }
        }
        if let Some(limits) = &self.limits {
            difference.set("limits", limits.clone());
        }
        difference
    }
}

/// Difference between two documents, small where they share items: for pushes, see [`apply_delta`]. Members:
/// `from` (the old version), `set` and `unset` (members of the document), `upsert` and `remove` (items of tables).
pub fn delta(old: &Document, new: &Document) -> Value {
    let (mut set, mut upsert, mut remove) = (Map::new(), Map::new(), Map::new());
    let empty = Map::new();
    let (before, after) = (old.raw().as_object().unwrap_or(&empty), new.raw().as_object().unwrap_or(&empty));
    for (name, value) in after {
        match (before.get(name), value) {
            (Some(known), _) if known == value => (),
            (Some(Value::Object(known)), Value::Object(items)) if Table::named(name).is_some() => {
                let given = items.iter().filter(|(item, value)| known.get(*item) != Some(value));
                let given: Map<_, _> = given.map(|(item, value)| (item.clone(), value.clone())).collect();
                if !given.is_empty() {
                    upsert.insert(name.clone(), given.into());
                }
                let gone: Vec<_> = known.keys().filter(|item| !items.contains_key(*item)).cloned().collect();
                if !gone.is_empty() {
                    remove.insert(name.clone(), gone.into());
                }
            }
            _ => {
                set.insert(name.clone(), value.clone());
            }
        }
    }
    let unset: Vec<_> = before.keys().filter(|name| !after.contains_key(*name)).cloned().collect();
    let mut delta = Map::from_iter([("from".to_string(), json!(old.version()))]);
    let parts = [("set", set), ("upsert", upsert), ("remove", remove)];
    delta.extend(
        parts.into_iter().filter(|part| !part.1.is_empty()).map(|part| (part.0.into(), part.1.into())),
    );
    if !unset.is_empty() {
        delta.insert("unset".into(), unset.into());
    }
    delta.into()
}

/// The new document of a [`delta`]. The error: it was made from another version than `old`'s, or isn't one.
pub fn apply_delta(old: &Document, delta: &Value) -> Result<Document, Problem> {
    let from = delta.get("from").and_then(Value::as_u64).unwrap_or_default();
    if from != old.version() {
        return Err(Problem::at("from", format!("wants version {}, got {from}", old.version())));
    }
    let mut raw = old.raw().clone();
    let Some(members) = raw.as_object_mut() else {
        return Err(Problem::at("body", "wants an object"));
    };
    let part = |name: &str| delta.get(name).and_then(Value::as_object).into_iter().flatten();
    for name in names(delta.get("unset")) {
        members.remove(name);
    }
    for (table, gone) in part("remove") {
        if let Some(Value::Object(items)) = members.get_mut(table) {
            for name in names(Some(gone)) {
                items.remove(name);
            }
        }
    }
    for (table, given) in part("upsert") {
        if let (Some(Value::Object(items)), Value::Object(given)) = (members.get_mut(table), given) {
            items.extend(given.iter().map(|(name, item)| (name.clone(), item.clone())));
        }
    }
    members.extend(part("set").map(|(name, value)| (name.clone(), value.clone())));
    Document::of(raw)
}

fn names(list: Option<&Value>) -> impl Iterator<Item = &str> {
    list.and_then(Value::as_array).into_iter().flatten().filter_map(Value::as_str)
}

fn unknown_table(place: &str) -> Problem {
    let known = Table::ALL.map(Table::name).join(", ");
    Problem::at(place, format!("wants one of the tables {known}"))
}

/// A whole number, written `2` or `2.0`.
fn whole(value: &Value) -> Option<u64> {
    crate::lenient::whole(value).ok()
}

fn members(value: Option<Value>, place: &str) -> Result<Map<String, Value>, Problem> {
    match value {
        None | Some(Value::Null) => Ok(Map::new()),
        Some(Value::Object(members)) => Ok(members),
        Some(_) => Err(Problem::at(place, "wants an object of tables")),
    }
}

/// Items by name, from a map or from a list of items that carry their `name`, which then stands as key alone.
fn named_items(items: Value, place: &str) -> Result<Map<String, Value>, Problem> {
    match items {
        Value::Object(items) => match items.iter().find(|(_, item)| !item.is_object()) {
            Some((name, _)) => Err(Problem::at(format!("{place}.{name}"), "wants an object")),
            None => Ok(items),
        },
        Value::Array(list) => {
            let mut items = Map::new();
            for (at, item) in list.into_iter().enumerate() {
                let Value::Object(mut item) = item else {
                    return Err(Problem::at(format!("{place}[{at}]"), "wants an object"));
                };
                let wants = |wants: &str| Problem::at(format!("{place}[{at}].name"), wants);
                let Some(Value::String(name)) = item.remove("name") else {
                    return Err(wants("wants a name"));
                };
                if items.insert(name, item.into()).is_some() {
                    return Err(wants("wants a name that the list has only once"));
                }
            }
            Ok(items)
        }
        _ => Err(Problem::at(place, "wants items by name, or a list of items with their name")),
    }
}
