//! What two documents differ in, key by key.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One difference. `before` is null where the key is new, `after` where it is gone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Key path.
    pub path: String,
    /// What it was.
    pub before: Value,
    /// What it is.
    pub after: Value,
}

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match (&self.before, &self.after) {
            (Value::Null, after) => write!(f, "+ {}: {after}", self.path),
            (before, Value::Null) => write!(f, "- {}: {before}", self.path),
            (before, after) => write!(f, "~ {}: {before} -> {after}", self.path),
        }
    }
}

/// All differences between two values, in the order of their keys. Lists of the same length are compared item
/// by item, others as a whole: what an insertion moves has not changed.
pub fn diff(before: &Value, after: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    walk("", before, after, &mut found);
    found
}

fn walk(path: &str, before: &Value, after: &Value, found: &mut Vec<Difference>) {
    match (before, after) {
        (Value::Object(a), Value::Object(b)) => {
            let mut names: Vec<&String> = a.keys().chain(b.keys()).collect();
            names.sort();
            names.dedup();
            for name in names {
                let under = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                let side = |map: &serde_json::Map<String, Value>| map.get(name).cloned().unwrap_or_default();
                walk(&under, &side(a), &side(b), found);
            }
        }
        (Value::Array(a), Value::Array(b)) if a.len() == b.len() => {
            a.iter().zip(b).enumerate().for_each(|(at, (a, b))| walk(&format!("{path}[{at}]"), a, b, found));
        }
        (a, b) if a == b => {}
        (a, b) => found.push(Difference { path: path.into(), before: a.clone(), after: b.clone() }),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn each_key_that_differs_is_told_once() {
        let before = json!({"a": 1, "b": {"c": [1, 2], "d": "x"}, "e": [1]});
        let after = json!({"a": 1, "b": {"c": [1, 3]}, "e": [1, 2], "f": true});
        let said: Vec<String> = diff(&before, &after).iter().map(ToString::to_string).collect();
        assert_eq!(said, ["~ b.c[1]: 2 -> 3", "- b.d: \"x\"", "~ e: [1] -> [1,2]", "+ f: true"]);
        assert!(diff(&before, &before).is_empty());
    }
}
