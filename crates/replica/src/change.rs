//! An operator's change of the configuration, checked against the state.

use crate::change_history::ChangeStatus;
use crate::effects::Answer;
use crate::replica::Replica;
use crate::state::{Entry, ReplicatedState};
use bytes::Bytes;
use nickeljunction_schema::{
    body_version, read_body, value_digest, Config, Difference, Document, DocumentDigest, Patch, Patched,
    Problem,
};
use serde_json::Value;
use std::rc::Rc;

/// A change as an operator sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// It is a patch; else a whole document.
    pub patch: bool,
    /// The version that it builds on, 0 for the first; `None`: the call named none.
    pub base: Option<u64>,
    /// The call's body: JSON.
    pub body: Bytes,
}

/// A change that may go on the log.
pub(crate) struct Fit {
    pub base: u64,
    pub version: u64,
    pub entry: Entry,
    /// The document that results, checked.
    pub checked: Checked,
}

/// The typed view of a document that was checked, by the document's digest.
#[derive(Debug, Clone)]
pub(crate) struct Checked {
    pub result: DocumentDigest,
    pub config: Rc<Config>,
}

/// What a call makes of the document in force.
struct Made {
    document: Document,
    digest: DocumentDigest,
    /// `None`: nothing is in place that it might differ from.
    difference: Option<Difference>,
}

impl Replica {
    /// The typed view of the document in force.
    pub(crate) fn config(&mut self) -> Rc<Config> {
        let result = self.state.document_digest();
        let known = self.checked.as_ref().filter(|checked| checked.result == result);
        if let Some(checked) = known {
            return checked.config.clone();
        }
        let config = Rc::new(Document::view(self.state.doc()).unwrap_or_default());
        self.checked = Some(Checked { result, config: config.clone() });
        config
    }
}

fn bad(problem: Problem) -> Answer {
    Answer::Invalid(problem.to_string())
}

impl Change {
    /// What goes on the log; else the answer.
    pub(crate) fn check(&self, state: &ReplicatedState) -> Result<Fit, Answer> {
        let wants = "If-Match: wants the version that this builds on, 0 for the first";
        let base = self.base.ok_or_else(|| Answer::Invalid(wants.into()))?;
        let body = read_body(&self.body).map_err(bad)?;
        let digest = value_digest(if self.patch { "PATCH" } else { "PUT" }, Some(base), &body);
        // A repeat is known before it is judged: a newer program may judge otherwise than the one that took it.
        let recall = body_version(&body)
            .map_or(ChangeStatus::NotTaken, |version| state.change_status(version, &digest));
        if recall == ChangeStatus::Taken {
            return Err(Answer::Accepted);
        }
        let (version, made) = self.read(state, base, body)?;
        // What was taken had a version above its base.
        if recall == ChangeStatus::Forgotten && base < version {
            return Err(Answer::Forgotten(version));
        }
        let in_place = || Answer::Conflict(Some(state.version()));
        let made = made.filter(|_| base == state.version()).ok_or_else(in_place)?;
        made.document.above(state.version()).map_err(bad)?;
        let Made { document, digest: result, difference } = made;
        let (doc, config) = document.into_parts();
        let checked = Checked { result, config: Rc::new(config) };
        let entry = match difference.filter(|difference| difference.is_less_than(&doc)) {
            Some(change) => Entry::Change { base, version, digest, change, result },
            None => Entry::Put { base, version, digest, doc },
        };
        Ok(Fit { base, version, entry, checked })
    }

    /// The version that it names, and the whole document that it makes; `None` where that can't be told because it builds
    /// on another version.
    fn read(&self, state: &ReplicatedState, base: u64, body: Value) -> Result<(u64, Option<Made>), Answer> {
        if !self.patch {
            let document = Document::of(body).map_err(bad)?;
            let known = base == state.version() && base > 0;
            let difference = known.then(|| Difference::between(state.doc(), document.raw()));
            let digest = DocumentDigest::of(document.raw());
            return Ok((document.version(), Some(Made { document, digest, difference })));
        }
        let patch = Patch::of(body).map_err(bad)?;
        if base != state.version() {
            return Ok((patch.version(), None));
        }
        if state.version() == 0 {
            return Err(Answer::Invalid("nothing to change: put a whole configuration first".into()));
        }
        let made = patch.apply_raw(state.doc(), state.document_digest()).map_err(bad)?;
        let Patched { document, difference, digest } = made;
        Ok((patch.version(), Some(Made { document, digest, difference: Some(difference) })))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::Outcome;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;
    use serde_json::json;

    #[derive(Debug, Clone)]
    enum Step {
        /// Patch or whole; so far behind the version in place; steps up; a route; what is wrong with it, 0 to 5: nothing.
        Send(bool, u64, u64, u8, u8),
        /// One that was sent before, unchanged.
        Again(usize),
        /// One that was found fit comes onto the log.
        Log(usize),
    }

    /// Patch, the version it builds on, its body, whether it is wrong.
    type Call = (bool, u64, Value, bool);

    fn step() -> impl Strategy<Value = Step> {
        prop_oneof![
            4 => (any::<bool>(), 0..2_u64, 0..4_u64, 0..5_u8, 0..12_u8).prop_map(|(p, b, v, r, w)| Step::Send(p, b, v, r, w)),
            2 => (0..64_usize).prop_map(Step::Again),
            4 => (0..64_usize).prop_map(Step::Log),
        ]
    }

    fn route(number: u8, wrong: u8) -> Value {
        let mut route =
            json!({"hostname": "h", "path_prefix": format!("/r{number}/"), "backend": "b", "note": wrong});
        match wrong {
            6 => route["backend"] = json!("unknown"),
            7 => route["timeout_s"] = json!(0),
            8 => route["max_attempts"] = json!(0),
            9 => route["path_prefix"] = json!("r/"),
            10 => route["traffic_split"] = json!([{"backend": "b", "weight": 0}]),
            11 => route["path_prefix"] = json!("/fixed/"),
            _ => {}
        }
        route
    }

    fn body(patch: bool, version: u64, number: u8, wrong: u8) -> Value {
        let (name, route) = (format!("r{number}"), route(number, wrong));
        match patch {
            // Without a fault, some take their route away.
            true if wrong < 2 => json!({"config_version": version, "remove": {"routes": [name]}}),
            true => json!({"config_version": version, "upsert": {"routes": {name: route}}}),
            false => json!({"config_version": version, "backends": {"b": {}}, "routes": {
                "fixed": {"hostname": "h", "path_prefix": "/fixed/", "backend": "b"}, name: route }}),
        }
    }

    /// The document that a change makes, by hand.
    fn merged(doc: &Value, patch: bool, body: &Value) -> Value {
        if !patch {
            return body.clone();
        }
        let mut doc = doc.clone();
        doc["config_version"] = body["config_version"].clone();
        for name in body["remove"]["routes"].as_array().into_iter().flatten() {
            doc["routes"].as_object_mut().unwrap().remove(name.as_str().unwrap());
        }
        for (name, item) in body["upsert"]["routes"].as_object().into_iter().flatten() {
            doc["routes"][name] = item.clone();
        }
        doc
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 300,
            failure_persistence: None,
            rng_seed: RngSeed::Fixed(0x0c0f),
            ..ProptestConfig::default()
        })]

        /// Operators who race, repeat themselves, lag behind and err, against a plain merge of JSON: a repeat is taken,
        /// one of a race wins, nothing invalid is in force, and what is read back is what was sent.
        #[test]
        fn changes_come_to_what_a_plain_merge_makes_of_them(steps in prop::collection::vec(step(), 1..60)) {
            let mut state = ReplicatedState::default();
            let (mut version, mut doc) = (0, Value::Null);
            let mut sent: Vec<Call> = Vec::new();
            let (mut fit, mut taken): (Vec<(Call, Entry)>, Vec<Call>) = (Vec::new(), Vec::new());
            for step in steps {
                let call = match step {
                    Step::Send(patch, behind, up, number, wrong) => {
                        let base = version - behind.min(version);
                        (patch, base, body(patch, version + up, number, wrong), wrong > 5)
                    }
                    Step::Again(number) if !sent.is_empty() => sent[number % sent.len()].clone(),
                    Step::Log(number) if !fit.is_empty() => {
                        let (call, entry) = fit.remove(number % fit.len());
                        let next = call.2["config_version"].as_u64().unwrap();
                        let outcome = state.apply(entry);
                        if taken.contains(&call) {
                            prop_assert_eq!(outcome, Outcome::Taken);
                        } else if call.1 == version && next > version {
                            prop_assert_eq!(outcome, Outcome::Taken);
                            (version, doc) = (next, merged(&doc, call.0, &call.2));
                            taken.push(call);
                        } else {
                            prop_assert_eq!(outcome, Outcome::Conflict);
                        }
                        prop_assert_eq!((state.version(), state.doc()), (version, &doc));
                        continue;
                    }
                    _ => continue,
                };
                let (patch, base, body, wrong) = call.clone();
                let bytes = serde_json::to_vec(&body).unwrap();
                let change = Change { patch, base: Some(base), body: bytes.clone().into() };
                let next = body["config_version"].as_u64().unwrap();
                let fits = !wrong && base == version && next > version && (!patch || version > 0);
                match change.check(&state) {
                    Err(Answer::Accepted) => prop_assert!(taken.contains(&call)),
                    _ if taken.contains(&call) => prop_assert!(false, "a repeat is not taken"),
                    Ok(found) => {
                        prop_assert!(fits, "{:?} on {}", call, version);
                        fit.push((call.clone(), found.entry));
                    }
                    Err(_) => prop_assert!(!fits, "{:?} on {}", call, version),
                }
                let torn = Change { body: bytes[..bytes.len() - 1].to_vec().into(), ..change };
                prop_assert!(matches!(torn.check(&state), Err(Answer::Invalid(_))));
                sent.push(call);
            }
        }
    }
}
