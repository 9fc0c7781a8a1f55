//! Routes: what the description and the hand-written list have in common, and how a path finds its own.

use super::{fail, member, FrontError};
use miniserde::json::{Number, Value};
use nickeljunction_core::facade::Settings;
use nickeljunction_decide::api::RetrySafety;
use std::collections::BTreeMap;

/// Methods that a description may have operations for and that are passed on.
pub(super) const METHODS: [&str; 6] = ["get", "put", "post", "delete", "options", "patch"];

/// How often a request of a route may run, from the loosest to the strictest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatRule {
    /// Any number of times.
    Safe,
    /// Again where the key is known.
    Keyed,
    /// Never twice.
    Never,
}

/// A route as it was written, before it is checked against the settings.
#[derive(Debug, Clone, Default)]
pub(super) struct Draft {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) class: Option<String>,
    pub(super) repeat: Option<String>,
    pub(super) units: Option<f64>,
    /// The request must bring an `Idempotency-Key`.
    pub(super) key_required: bool,
}

impl Draft {
    pub(super) fn name(&self) -> String {
        format!("{} {}", self.method.to_uppercase(), self.path)
    }

    /// Reads class, repeat rule and units under their keys in the object.
    pub(super) fn read(&mut self, from: &Value, keys: [&str; 3]) -> Result<(), FrontError> {
        let name = self.name();
        let text = |key: &str| match member(from, key) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text.clone())),
            Some(_) => fail(&name, format!("{key} must be a text")),
        };
        self.class = text(keys[0])?.or(self.class.take());
        self.repeat = text(keys[1])?.or(self.repeat.take());
        self.units = match member(from, keys[2]) {
            None => self.units,
            Some(Value::Number(Number::U64(units))) => Some(*units as f64),
            Some(Value::Number(Number::F64(units))) => Some(*units),
            Some(_) => return fail(&name, format!("{} must be a number above 0", keys[2])),
        };
        Ok(())
    }
}

/// The hand-written list: `{"method", "path", "class", "repeat", "units", "key_required"}` each.
pub(super) fn by_hand(list: &[Value]) -> Result<Vec<Draft>, FrontError> {
    let read = |(at, item): (usize, &Value)| {
        let at = format!("routes[{at}]");
        let text = |key: &str| match member(item, key) {
            Some(Value::String(text)) => Ok(text.clone()),
            _ => fail(&at, format!("{key} must be a text")),
        };
        let key_required = match member(item, "key_required") {
            None => false,
            Some(Value::Bool(required)) => *required,
            Some(_) => return fail(&at, "key_required must be true or false"),
        };
        let (method, path) = (text("method")?.to_lowercase(), text("path")?);
        let mut draft = Draft { method, path, key_required, ..Draft::default() };
        draft.read(item, ["class", "repeat", "units"])?;
        Ok(draft)
    };
    list.iter().enumerate().map(read).collect()
}

/// A route that is in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Index of its class in the settings.
    pub class: usize,
    /// How often its requests may run.
    pub repeat: RepeatRule,
    /// Guessed units.
    pub units: f64,
}

#[derive(Debug, Clone, Default)]
struct Node {
    literal: BTreeMap<String, Node>,
    /// Segments that are partly a template: what stands before and after the braces.
    partial: Vec<(String, String, Node)>,
    template: Option<Box<Node>>,
    /// By method.
    routes: BTreeMap<String, Route>,
}

/// All routes, by the segments of their paths.
#[derive(Debug, Clone, Default)]
pub struct Routes {
    root: Node,
}

impl Routes {
    /// Checks drafts against the settings and puts them in force; `banned` names operations
    /// (`"POST /desk/checkins"`) that the operator calls unsafe to repeat.
    pub(super) fn build(
        drafts: Vec<Draft>,
        banned: &[String],
        settings: &Settings,
        warnings: &mut Vec<String>,
    ) -> Result<Routes, FrontError> {
        let mut routes = Routes::default();
        for ban in banned {
            if !drafts.iter().any(|draft| draft.name() == *ban) {
                warnings.push(format!("unsafe: no operation is called '{ban}'"));
            }
        }
        for draft in drafts {
            let route = in_force(&draft, banned.contains(&draft.name()), settings, warnings)?;
            let node = routes.node(&draft)?;
            if node.routes.insert(draft.method.to_uppercase(), route).is_some() {
                return fail(&draft.name(), "another operation has the same method and the same path");
            }
        }
        Ok(routes)
    }

    fn node(&mut self, draft: &Draft) -> Result<&mut Node, FrontError> {
        let name = draft.name();
        if !METHODS.contains(&draft.method.as_str()) {
            return fail(&name, "this method is not passed on");
        }
        let Some(rest) = draft.path.strip_prefix('/') else {
            return fail(&name, "the path must begin with /");
        };
        let mut node = &mut self.root;
        for segment in rest.split('/') {
            let braces = (segment.matches('{').count(), segment.matches('}').count());
            node = match (braces, segment.split_once('{').and_then(|(a, b)| Some((a, b.split_once('}')?)))) {
                ((0, 0), _) => node.literal.entry(segment.to_string()).or_default(),
                ((1, 1), Some(("", (_, "")))) => node.template.get_or_insert_with(Box::default),
                ((1, 1), Some((before, (_, after)))) => {
                    let known = node.partial.iter().position(|(a, b, _)| a == before && b == after);
                    let at = known.unwrap_or_else(|| {
                        node.partial.push((before.into(), after.into(), Node::default()));
                        node.partial.len() - 1
                    });
                    &mut node.partial[at].2
                }
                _ => return fail(&name, format!("'{segment}' has more than one template or an open brace")),
            };
        }
        Ok(node)
    }

    /// The route of a method and a path without query. Literal segments win over partly literal ones, and
    /// these over templates, from the left.
    pub fn find(&self, method: &str, path: &str) -> Option<&Route> {
        let segments: Vec<&str> = path.strip_prefix('/')?.split('/').collect();
        descend(&self.root, &segments, method)
    }
}

fn descend<'a>(node: &'a Node, segments: &[&str], method: &str) -> Option<&'a Route> {
    let Some((segment, rest)) = segments.split_first() else { return node.routes.get(method) };
    if let Some(route) = node.literal.get(*segment).and_then(|next| descend(next, rest, method)) {
        return Some(route);
    }
    // A region may read these as another path: no template may stand for them.
    if segment.is_empty() || *segment == "." || *segment == ".." {
        return None;
    }
    let fits = |a: &str, b: &str| {
        segment.len() > a.len() + b.len() && segment.starts_with(a) && segment.ends_with(b)
    };
    let partial = node.partial.iter().filter(|(a, b, _)| fits(a, b));
    let partial = partial.filter_map(|(a, b, next)| Some((a.len() + b.len(), descend(next, rest, method)?)));
    let best = partial.max_by_key(|(length, _)| *length).map(|(_, route)| route);
    best.or_else(|| node.template.as_ref().and_then(|next| descend(next, rest, method)))
}

/// What a draft comes to. The strictest of all that speaks of repeats holds: the method, the key, the class,
/// the draft's own word and the operator's list.
fn in_force(
    draft: &Draft,
    banned: bool,
    settings: &Settings,
    warnings: &mut Vec<String>,
) -> Result<Route, FrontError> {
    let name = draft.name();
    let by_method = match (draft.method.as_str(), draft.key_required) {
        ("get" | "options", _) => RepeatRule::Safe,
        (_, true) => RepeatRule::Keyed,
        (_, false) => RepeatRule::Never,
    };
    let said = match draft.repeat.as_deref() {
        None => None,
        Some("safe") => Some(RepeatRule::Safe),
        Some("keyed") if !draft.key_required => {
            return fail(&name, "said to be keyed, but Idempotency-Key is not required");
        }
        Some("keyed") => Some(RepeatRule::Keyed),
        Some("never") => Some(RepeatRule::Never),
        Some(other) => return fail(&name, format!("unknown repeat rule '{other}'")),
    };
    let mut rule = by_method.max(said.unwrap_or(by_method));
    if banned {
        rule = RepeatRule::Never;
    }
    let of_class = |repeat: RetrySafety| match repeat {
        RetrySafety::Idempotent => RepeatRule::Safe,
        RetrySafety::Keyed => RepeatRule::Keyed,
        RetrySafety::AtMostOnce => RepeatRule::Never,
    };
    let class = match &draft.class {
        Some(wanted) => match settings.classes.iter().position(|class| class.name == *wanted) {
            Some(class) => class,
            None => return fail(&name, format!("unknown class '{wanted}'")),
        },
        None => {
            // The loosest class that is strict enough; else the strictest, held to the rule all the same.
            let fits = |at: &usize| of_class(settings.classes[*at].retry_safety) >= rule;
            let strictness = |at: &usize| of_class(settings.classes[*at].retry_safety);
            let all = 0..settings.classes.len();
            let class = all.clone().filter(fits).min_by_key(strictness).or(all.max_by_key(strictness));
            match class {
                Some(class) => class,
                None => return fail(&name, "the settings have no class"),
            }
        }
    };
    let strict = rule.max(of_class(settings.classes[class].retry_safety));
    rule = match strict {
        // Keyed needs both: a class that says for how long and where, and a key to go by.
        RepeatRule::Keyed
            if settings.classes[class].retry_safety != RetrySafety::Keyed || !draft.key_required =>
        {
            RepeatRule::Never
        }
        other => other,
    };
    if said.is_some_and(|said| said < rule) {
        let word = draft.repeat.as_deref().unwrap_or_default();
        warnings.push(format!("{name}: said to be '{word}', but held to '{rule:?}': only stricter is taken"));
    }
    let top = settings.max_request_units.max(1.0);
    let units = draft.units.unwrap_or(1.0);
    if !(units > 0.0 && units <= top) {
        return fail(&name, format!("{units} units: must be above 0 and at most {top}"));
    }
    Ok(Route { class, repeat: rule, units })
}
