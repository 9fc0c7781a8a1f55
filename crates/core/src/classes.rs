//! Classes across a change of settings: requests that are open keep the rules they came under.
//!
//! The module knows a request's class by its place in the list, and a new request's class by the first
//! entry of its name. So a class that stays the same keeps its place; one whose rules change, or that is
//! dropped, keeps its place under a name that no request can carry, for the requests still open under it;
//! new classes and the new rules of changed ones come last. Bookkeeping only: nothing is decided here.

use nickeljunction_decide::api::Class;

/// Stands between a class's name and the number of its retirement. A request's class comes from a header,
/// where a line feed can't stand, so no request names a retired class.
const RETIRED: char = '\n';

/// The list of classes after a change from `old` to `new`: see the module's page. Retired entries of
/// earlier changes stay retired where they are.
pub fn carry(old: &[Class], new: Vec<Class>, change: u64) -> Vec<Class> {
    let mut carried: Vec<Class> = (old.iter())
        .map(|class| match new.iter().find(|other| other.name == class.name) {
            Some(same) if same == class => class.clone(),
            _ if class.name.contains(RETIRED) => class.clone(),
            _ => Class { name: format!("{}{RETIRED}{change}", class.name), ..class.clone() },
        })
        .collect();
    for class in new {
        if !carried.iter().any(|other| other.name == class.name) {
            carried.push(class);
        }
    }
    carried
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickeljunction_decide::api::{DedupScope, RetrySafety};

    fn class(name: &str, repeat: RetrySafety, aim_ms: f64) -> Class {
        let group = DedupScope::All;
        let (give_up_ms, key_ttl_ms) = (3.0 * aim_ms, 1_000.0);
        Class {
            name: name.into(),
            target_latency_ms: aim_ms,
            client_timeout_ms: give_up_ms,
            retry_safety: repeat,
            dedup_scope: group,
            key_ttl_ms,
            late_share: 0.0,
            stream: false,
            worth: 1.0,
        }
    }

    #[test]
    fn kept_classes_keep_their_places_and_changed_or_dropped_ones_stay_for_open_requests() {
        let (safe, once) =
            (class("safe", RetrySafety::Idempotent, 400.0), class("once", RetrySafety::AtMostOnce, 400.0));
        let old = vec![safe.clone(), once.clone(), class("gone", RetrySafety::AtMostOnce, 100.0)];
        let new = vec![
            class("fresh", RetrySafety::AtMostOnce, 50.0),
            class("once", RetrySafety::Idempotent, 400.0),
            safe.clone(),
        ];
        let carried = carry(&old, new, 1);
        let names: Vec<&str> = carried.iter().map(|class| class.name.as_str()).collect();
        assert_eq!(names, ["safe", "once\n1", "gone\n1", "fresh", "once"]);
        assert_eq!(carried[1].retry_safety, RetrySafety::AtMostOnce, "open requests keep the old rules");
        assert_eq!(carried[4].retry_safety, RetrySafety::Idempotent, "new ones take the new rules");
        // A second change leaves the retired where they are and retires no more than changes.
        let again = carry(&carried, vec![safe.clone()], 2);
        let names: Vec<&str> = again.iter().map(|class| class.name.as_str()).collect();
        assert_eq!(names, ["safe", "once\n1", "gone\n1", "fresh\n2", "once\n2"]);
        assert_eq!(carry(&again, vec![safe], 3), again, "no change, no new entry");
    }
}
