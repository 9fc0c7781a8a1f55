//! Digests: of a call, by which a repeat of it is known, and of a document, by which two copies are known to be the same.

use crate::table::Table;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::{Map, Value};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// The version in an `If-Match` header: a whole number, bare or quoted. `None`: it is none.
pub fn if_match(text: &str) -> Option<u64> {
    let text = text.trim();
    let bare = text.strip_prefix('"').and_then(|text| text.strip_suffix('"')).unwrap_or(text);
    // Digits only: `parse` would take a plus sign.
    bare.bytes().all(|byte| byte.is_ascii_digit()).then(|| bare.parse().ok())?
}

/// Digest of a call's method, the version it builds on and its body: 32 hex digits, the same on every machine and
/// however the members of the body's objects are ordered. A body that is no JSON is taken byte by byte.
pub fn call_digest(method: &str, if_match: Option<u64>, body: &[u8]) -> String {
    match serde_json::from_slice(body) {
        Ok(value) => value_digest(method, if_match, &value),
        Err(_) => finish(method, if_match, |hasher| {
            hasher.write_u8(b'x');
            text(hasher, body);
        }),
    }
}

/// The same for a body that was read already.
pub fn value_digest(method: &str, if_match: Option<u64>, body: &Value) -> String {
    finish(method, if_match, |hasher| add(hasher, body))
}

/// Digest of a document's content, the same on every machine and however its members are ordered: the sum of a keyless
/// 128-bit hash for each of its places (see [`crate::Difference`]), so that a change costs the hashes of what changed.
///
/// It tells copies apart that came to differ by a lost, doubled or misplaced change, or by another reading of it. It is no
/// guard against who makes documents collide on purpose: operators may write any document anyhow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct DocumentDigest(u128);

impl DocumentDigest {
    /// Of a whole document; of null, where there is none yet: 0.
    pub fn of(doc: &Value) -> DocumentDigest {
        let none = Map::new();
        let sum = DocumentDigest(if doc.is_null() { 0 } else { hash(b'o', "", "", &Value::Null) });
        let members = doc.as_object().unwrap_or(&none);
        members.iter().fold(sum, |sum, (name, value)| sum.with_member(name, value))
    }

    pub(crate) fn with_member(self, name: &str, value: &Value) -> DocumentDigest {
        DocumentDigest(self.0.wrapping_add(member(name, value)))
    }

    pub(crate) fn without_member(self, name: &str, value: &Value) -> DocumentDigest {
        DocumentDigest(self.0.wrapping_sub(member(name, value)))
    }

    pub(crate) fn with_item(self, table: &str, name: &str, item: &Value) -> DocumentDigest {
        DocumentDigest(self.0.wrapping_add(hash(b'i', table, name, item)))
    }

    pub(crate) fn without_item(self, table: &str, name: &str, item: &Value) -> DocumentDigest {
        DocumentDigest(self.0.wrapping_sub(hash(b'i', table, name, item)))
    }
}

impl Serialize for DocumentDigest {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&format!("{:032x}", self.0))
    }
}

impl<'de> Deserialize<'de> for DocumentDigest {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<DocumentDigest, D::Error> {
        let digits = String::deserialize(from)?;
        u128::from_str_radix(&digits, 16).map(DocumentDigest).map_err(serde::de::Error::custom)
    }
}

/// A member's part of the sum: a table's is the sum of its items', and of one for the table itself.
fn member(name: &str, value: &Value) -> u128 {
    match value {
        Value::Object(items) if Table::ALL.iter().any(|table| table.name() == name) => {
            items.iter().fold(hash(b't', name, "", &Value::Null), |sum, (item, value)| {
                sum.wrapping_add(hash(b'i', name, item, value))
            })
        }
        _ => hash(b'm', name, "", value),
    }
}

fn hash(kind: u8, table: &str, name: &str, value: &Value) -> u128 {
    let mut hasher = SipHasher13::new();
    hasher.write(&[kind]);
    text(&mut hasher, table.as_bytes());
    text(&mut hasher, name.as_bytes());
    add(&mut hasher, value);
    hasher.finish128().as_u128()
}

fn finish(method: &str, if_match: Option<u64>, body: impl FnOnce(&mut SipHasher13)) -> String {
    let mut hasher = SipHasher13::new();
    text(&mut hasher, method.as_bytes());
    hasher.write(&[u8::from(if_match.is_some())]);
    hasher.write(&if_match.unwrap_or_default().to_le_bytes());
    body(&mut hasher);
    format!("{:032x}", hasher.finish128().as_u128())
}

/// With its length in front, so that no two rows of texts look alike.
fn text(hasher: &mut SipHasher13, bytes: &[u8]) {
    hasher.write(&(bytes.len() as u64).to_le_bytes());
    hasher.write(bytes);
}

fn add(hasher: &mut SipHasher13, value: &Value) {
    match value {
        Value::Null => hasher.write(b"n"),
        Value::Bool(value) => hasher.write(if *value { b"t" } else { b"f" }),
        Value::Number(number) => {
            hasher.write(b"d");
            text(hasher, number.to_string().as_bytes());
        }
        Value::String(value) => {
            hasher.write(b"s");
            text(hasher, value.as_bytes());
        }
        Value::Array(list) => {
            hasher.write(b"a");
            hasher.write(&(list.len() as u64).to_le_bytes());
            list.iter().for_each(|value| add(hasher, value));
        }
        Value::Object(members) => {
            hasher.write(b"o");
            hasher.write(&(members.len() as u64).to_le_bytes());
            // Sorted here: whether the map sorts is a feature that any package of the build may turn off.
            let mut sorted: Vec<_> = members.iter().collect();
            sorted.sort_unstable_by_key(|member| member.0);
            for (name, value) in sorted {
                text(hasher, name.as_bytes());
                add(hasher, value);
            }
        }
    }
}
