//! Merges the list of classes when settings change: open requests keep the rules they arrived under.
//!
//! The decision module refers to an open request's class by its index in the list, and looks up a new
//! request's class by the first entry with its name. An unchanged class therefore keeps its index. A class
//! that is changed or removed also keeps its index for the requests still open under it, but is retired:
//! renamed to a name that no request can carry. New classes and new versions of changed ones are appended.

use nickeljunction_decide::api::Class;

/// Separates a class's name from the number of the change that retired it. A request's class comes from a
/// header, which can't contain a line feed, so no request can name a retired class.
const RETIRED_SEPARATOR: char = '\n';

/// Returns the list of classes after change number `change` from `old` to `new`; see the module
/// documentation. Classes retired by earlier changes keep their index and stay retired.
pub fn merge(old: &[Class], new: Vec<Class>, change: u64) -> Vec<Class> {
    let mut merged: Vec<Class> = (old.iter())
        .map(|class| match new.iter().find(|other| other.name == class.name) {
            Some(same) if same == class => class.clone(),
            _ if class.name.contains(RETIRED_SEPARATOR) => class.clone(),
            _ => Class { name: format!("{}{RETIRED_SEPARATOR}{change}", class.name), ..class.clone() },
        })
        .collect();
    for class in new {
        if !merged.iter().any(|other| other.name == class.name) {
            merged.push(class);
        }
    }
    merged
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickeljunction_decide::api::{DedupScope, RetrySafety};

    fn class(name: &str, retry_safety: RetrySafety, target_latency_ms: f64) -> Class {
        Class {
            name: name.into(),
            target_latency_ms,
            client_timeout_ms: 3.0 * target_latency_ms,
            retry_safety,
            dedup_scope: DedupScope::All,
            key_ttl_ms: 1_000.0,
            late_share: 0.0,
            stream: false,
            worth: 1.0,
        }
    }

    #[test]
    fn unchanged_classes_keep_their_index_and_changed_or_removed_ones_are_retired() {
        let (safe, once) =
            (class("safe", RetrySafety::Idempotent, 400.0), class("once", RetrySafety::AtMostOnce, 400.0));
        let old = vec![safe.clone(), once.clone(), class("gone", RetrySafety::AtMostOnce, 100.0)];
        let new = vec![
            class("fresh", RetrySafety::AtMostOnce, 50.0),
            class("once", RetrySafety::Idempotent, 400.0),
            safe.clone(),
        ];
        let merged = merge(&old, new, 1);
        let names: Vec<&str> = merged.iter().map(|class| class.name.as_str()).collect();
        assert_eq!(names, ["safe", "once\n1", "gone\n1", "fresh", "once"]);
        assert_eq!(merged[1].retry_safety, RetrySafety::AtMostOnce, "open requests keep the old rules");
        assert_eq!(merged[4].retry_safety, RetrySafety::Idempotent, "new ones take the new rules");
        // A second change leaves retired classes at their index and retires only the classes it changes or removes.
        let merged_again = merge(&merged, vec![safe.clone()], 2);
        let names: Vec<&str> = merged_again.iter().map(|class| class.name.as_str()).collect();
        assert_eq!(names, ["safe", "once\n1", "gone\n1", "fresh\n2", "once\n2"]);
        assert_eq!(merge(&merged_again, vec![safe], 3), merged_again, "no change, no new entry");
    }
}
