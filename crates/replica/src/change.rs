//! Validation of an operator's change of the configuration against the state.

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

/// A change as the operator sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Whether the body is a patch; otherwise it is a whole document.
    pub patch: bool,
    /// The version that the change builds on, 0 for the first; `None`: the call gave none.
    pub base: Option<u64>,
    /// JSON.
    pub body: Bytes,
}

/// A change that can be proposed.
pub(crate) struct ValidatedChange {
    pub base: u64,
    pub version: u64,
    pub entry: Entry,
    /// The resulting document.
    pub checked: CheckedConfig,
}

/// The typed view of a validated document, with the document's digest.
#[derive(Debug, Clone)]
pub(crate) struct CheckedConfig {
    pub digest: DocumentDigest,
    pub config: Rc<Config>,
}

/// The document that a change produces.
struct BuiltDocument {
    document: Document,
    digest: DocumentDigest,
    /// The difference from the document in force; `None`: there is none, or the change builds on another version.
    difference: Option<Difference>,
}

impl Replica {
    /// The typed view of the document in force.
    pub(crate) fn config(&mut self) -> Rc<Config> {
        let digest = self.state.document_digest();
        let cached = self.checked.as_ref().filter(|checked| checked.digest == digest);
        if let Some(checked) = cached {
            return checked.config.clone();
        }
        let config = Rc::new(Document::view(self.state.doc()).unwrap_or_default());
        self.checked = Some(CheckedConfig { digest, config: config.clone() });
        config
    }
}

fn invalid(problem: Problem) -> Answer {
    Answer::Invalid(problem.to_string())
}

impl Change {
    /// Returns the entry to propose, or the answer if the change can't be proposed.
    pub(crate) fn validate(&self, state: &ReplicatedState) -> Result<ValidatedChange, Answer> {
        let wants = "If-Match: wants the version that this builds on, 0 for the first";
        let base = self.base.ok_or_else(|| Answer::Invalid(wants.into()))?;
        let body = read_body(&self.body).map_err(invalid)?;
        let digest = value_digest(if self.patch { "PATCH" } else { "PUT" }, Some(base), &body);
        // Repeats are recognised before validation, as the rules may have changed since another version of this program
        // accepted the change.
        let status = body_version(&body)
            .map_or(ChangeStatus::NotTaken, |version| state.change_status(version, &digest));
        if status == ChangeStatus::Taken {
            return Err(Answer::Accepted);
        }
        let (version, built) = self.build(state, base, body)?;
        // Every accepted change had a version above its base.
        if status == ChangeStatus::Forgotten && base < version {
            return Err(Answer::Forgotten(version));
        }
        let conflict = || Answer::Conflict(Some(state.version()));
        let built = built.filter(|_| base == state.version()).ok_or_else(conflict)?;
        built.document.above(state.version()).map_err(invalid)?;
        let BuiltDocument { document, digest: result, difference } = built;
        let (doc, config) = document.into_parts();
        let checked = CheckedConfig { digest: result, config: Rc::new(config) };
        let entry = match difference.filter(|difference| difference.is_less_than(&doc)) {
            Some(change) => Entry::Change { base, version, digest, change, result },
            None => Entry::Put { base, version, digest, doc },
        };
        Ok(ValidatedChange { base, version, entry, checked })
    }

    /// The change's version and the whole document that it produces; `None`: a patch of a version that is not in force.
    fn build(
        &self,
        state: &ReplicatedState,
        base: u64,
        body: Value,
    ) -> Result<(u64, Option<BuiltDocument>), Answer> {
        if !self.patch {
            let document = Document::of(body).map_err(invalid)?;
            let is_on_current = base == state.version() && base > 0;
            let difference = is_on_current.then(|| Difference::between(state.doc(), document.raw()));
            let digest = DocumentDigest::of(document.raw());
            return Ok((document.version(), Some(BuiltDocument { document, digest, difference })));
        }
        let patch = Patch::of(body).map_err(invalid)?;
        if base != state.version() {
            return Ok((patch.version(), None));
        }
        if state.version() == 0 {
            return Err(Answer::Invalid("nothing to change: put a whole configuration first".into()));
        }
        let patched = patch.apply_raw(state.doc(), state.document_digest()).map_err(invalid)?;
        let Patched { document, difference, digest } = patched;
        Ok((patch.version(), Some(BuiltDocument { document, digest, difference: Some(difference) })))
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
        /// A change: whether it is a patch, how far its base is behind the version in force, the step to its version, the
        /// number of its route, and its fault (0 to 5: none).
        Send(bool, u64, u64, u8, u8),
        /// An earlier change is sent again unchanged.
        Repeat(usize),
        /// A validated change is applied from the log.
        Apply(usize),
    }

    /// Whether it is a patch, its base, its body, and whether it is invalid.
    type Call = (bool, u64, Value, bool);

    fn step() -> impl Strategy<Value = Step> {
        prop_oneof![
            4 => (any::<bool>(), 0..2_u64, 0..4_u64, 0..5_u8, 0..12_u8).prop_map(
                |(patch, behind, up, number, fault)| Step::Send(patch, behind, up, number, fault)
            ),
            2 => (0..64_usize).prop_map(Step::Repeat),
            4 => (0..64_usize).prop_map(Step::Apply),
        ]
    }

    fn route(number: u8, fault: u8) -> Value {
        let mut route =
            json!({"hostname": "h", "path_prefix": format!("/r{number}/"), "backend": "b", "note": fault});
        match fault {
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

    fn body(patch: bool, version: u64, number: u8, fault: u8) -> Value {
        let (name, route) = (format!("r{number}"), route(number, fault));
        match patch {
            // Some patches without a fault remove their route.
            true if fault < 2 => json!({"config_version": version, "remove": {"routes": [name]}}),
            true => json!({"config_version": version, "upsert": {"routes": {name: route}}}),
            false => json!({"config_version": version, "backends": {"b": {}}, "routes": {
                "fixed": {"hostname": "h", "path_prefix": "/fixed/", "backend": "b"}, name: route }}),
        }
    }

    /// The document that a change produces, by a plain merge.
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

        /// Concurrent, repeated, outdated and invalid changes, compared with a plain merge of JSON: a repeat is accepted,
        /// one of several concurrent changes wins, no invalid document comes into force, and the document in force is the
        /// merged one.
        #[test]
        fn changes_produce_the_same_document_as_a_plain_merge(steps in prop::collection::vec(step(), 1..60)) {
            let mut state = ReplicatedState::default();
            let (mut version, mut doc) = (0, Value::Null);
            let mut sent: Vec<Call> = Vec::new();
            let (mut validated, mut accepted): (Vec<(Call, Entry)>, Vec<Call>) = (Vec::new(), Vec::new());
            for step in steps {
                let call = match step {
                    Step::Send(patch, behind, up, number, fault) => {
                        let base = version - behind.min(version);
                        (patch, base, body(patch, version + up, number, fault), fault > 5)
                    }
                    Step::Repeat(number) if !sent.is_empty() => sent[number % sent.len()].clone(),
                    Step::Apply(number) if !validated.is_empty() => {
                        let (call, entry) = validated.remove(number % validated.len());
                        let next = call.2["config_version"].as_u64().unwrap();
                        let outcome = state.apply(entry);
                        if accepted.contains(&call) {
                            prop_assert_eq!(outcome, Outcome::Taken);
                        } else if call.1 == version && next > version {
                            prop_assert_eq!(outcome, Outcome::Taken);
                            (version, doc) = (next, merged(&doc, call.0, &call.2));
                            accepted.push(call);
                        } else {
                            prop_assert_eq!(outcome, Outcome::Conflict);
                        }
                        prop_assert_eq!((state.version(), state.doc()), (version, &doc));
                        continue;
                    }
                    _ => continue,
                };
                let (patch, base, body, is_invalid) = call.clone();
                let bytes = serde_json::to_vec(&body).unwrap();
                let change = Change { patch, base: Some(base), body: bytes.clone().into() };
                let next = body["config_version"].as_u64().unwrap();
                let is_valid = !is_invalid && base == version && next > version && (!patch || version > 0);
                match change.validate(&state) {
                    Err(Answer::Accepted) => prop_assert!(accepted.contains(&call)),
                    _ if accepted.contains(&call) => prop_assert!(false, "a repeat is refused"),
                    Ok(change) => {
                        prop_assert!(is_valid, "{:?} on {}", call, version);
                        validated.push((call.clone(), change.entry));
                    }
                    Err(_) => prop_assert!(!is_valid, "{:?} on {}", call, version),
                }
                let truncated = Change { body: bytes[..bytes.len() - 1].to_vec().into(), ..change };
                prop_assert!(matches!(truncated.validate(&state), Err(Answer::Invalid(_))));
                sent.push(call);
            }
        }
    }
}
