//! Reads a document and tells all that is wrong with it, each problem with its place.
//!
//! The first pass goes by the JSON Schema that is made from the types of [`crate::document`], so the two can't
//! part. The second goes by what the first can't say: figures that need each other, names of the settings.

use crate::document::{Document, PlanFigures, VERSION};
use crate::problem::Problem;
use crate::tree::{self, Kind, Node};
use nickeljunction_core::facade::Settings;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A document that was read, with the places of its keys.
#[derive(Debug, Clone)]
pub struct Checked {
    /// The document.
    pub document: Document,
    /// The same as a plain value, without comments: what is compared, shown and hashed.
    pub value: Value,
    file: String,
    text: String,
    places: BTreeMap<String, usize>,
}

impl Checked {
    /// A problem at a key of this document; a path that is not there counts for the nearest one above it.
    pub fn problem(&self, path: &str, found: impl Into<String>, wanted: impl Into<String>) -> Problem {
        let mut known = path;
        let at = loop {
            match (self.places.get(known), known.rfind(['.', '['])) {
                (Some(at), _) => break *at,
                (None, Some(cut)) => known = &known[..cut],
                (None, None) => break 0,
            }
        };
        let (line, column) = tree::place(&self.text, at);
        let path = path.to_string();
        Problem { line, column, path, ..Problem::of_file(&self.file, found, wanted) }
    }
}

/// Reads and checks a text by itself, and against the settings of a gateway where they are known.
///
/// # Errors
/// All problems found, in the order of their places; never an empty list.
pub fn check(file: &str, text: &str, base: Option<&Settings>) -> Result<Checked, Vec<Problem>> {
    let root = tree::parse(file, text)?;
    let schema = Value::from(schemars::schema_for!(Document));
    let mut walk = Walk { file, text, schema: &schema, problems: Vec::new(), places: BTreeMap::new() };
    walk.node("", &root, &schema);
    let Walk { mut problems, places, .. } = walk;
    if !problems.is_empty() {
        problems.sort_by_key(|problem| (problem.line, problem.column));
        return Err(problems);
    }
    let value = root.value();
    let document: Document = match serde_json::from_value(value.clone()) {
        Ok(document) => document,
        Err(why) => return Err(vec![Problem::of_file(file, why.to_string(), "what the schema says")]),
    };
    let (file, text) = (file.to_string(), text.to_string());
    let checked = Checked { document, value, file, text, places };
    let mut problems = meaning(&checked, base);
    problems.sort_by_key(|problem| (problem.line, problem.column));
    if problems.is_empty() {
        Ok(checked)
    } else {
        Err(problems)
    }
}

/// Goes through tree and schema together.
struct Walk<'a> {
    file: &'a str,
    text: &'a str,
    schema: &'a Value,
    problems: Vec<Problem>,
    places: BTreeMap<String, usize>,
}

/// The known name most like this one, if any is like it at all.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let like = known.map(|other| (strsim::jaro_winkler(name, other), other));
    like.filter(|(likeness, _)| *likeness > 0.7).max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, other)| other)
}

fn list_of(names: &[&str]) -> String {
    names.join(", ")
}

impl<'a> Walk<'a> {
    fn tell(&mut self, at: usize, path: &str, found: String, wanted: String) {
        let (line, column) = tree::place(self.text, at);
        let path = path.to_string();
        self.problems.push(Problem { line, column, path, ..Problem::of_file(self.file, found, wanted) });
    }

    /// Follows references, and takes what is not null out of a choice between something and null.
    fn plain(&self, schema: &'a Value) -> &'a Value {
        let mut schema = schema;
        for _ in 0..8 {
            if let Some(name) = schema["$ref"].as_str().and_then(|name| name.strip_prefix("#/$defs/")) {
                schema = &self.schema["$defs"][name];
            } else if let Some(some) = schema["anyOf"]
                .as_array()
                .and_then(|choice| choice.iter().find(|one| one["type"].as_str() != Some("null")))
            {
                schema = some;
            } else if let Some(only) =
                schema["allOf"].as_array().filter(|all| all.len() == 1).and_then(|all| all.first())
            {
                schema = only;
            } else {
                break;
            }
        }
        schema
    }

    /// The words of an enumeration, whichever of its two forms the schema gives it.
    fn words(schema: &'a Value) -> Option<Vec<&'a str>> {
        if let Some(words) = schema["enum"].as_array() {
            return Some(words.iter().filter_map(Value::as_str).collect());
        }
        let words: Vec<&str> =
            schema["oneOf"].as_array()?.iter().filter_map(|one| one["const"].as_str()).collect();
        (!words.is_empty()).then_some(words)
    }

    fn node(&mut self, path: &str, node: &Node, schema: &'a Value) {
        self.places.insert(path.to_string(), node.at);
        let optional = schema["anyOf"].is_array()
            || schema["type"].as_array().is_some_and(|types| types.iter().any(|one| one == "null"));
        if optional && matches!(node.kind, Kind::Null) {
            return;
        }
        let schema = self.plain(schema);
        let kind = match &schema["type"] {
            Value::String(kind) => kind.as_str(),
            Value::Array(kinds) => {
                kinds.iter().filter_map(Value::as_str).find(|kind| *kind != "null").unwrap_or("")
            }
            _ => "",
        };
        if let Some(words) = Walk::words(schema) {
            match &node.kind {
                Kind::Text(text) if words.contains(&text.as_str()) => {}
                _ => {
                    let mut wanted = format!("one of: {}", list_of(&words));
                    if let Kind::Text(text) = &node.kind {
                        if let Some(near) = nearest(text, words.iter().copied()) {
                            wanted = format!("one of: {} (did you mean '{near}'?)", list_of(&words));
                        }
                    }
                    self.tell(node.at, path, node.words(), wanted);
                }
            }
            return;
        }
        match (kind, &node.kind) {
            ("object", Kind::Map(entries)) => self.map(path, node, entries, schema),
            ("array", Kind::List(items)) => {
                let least = schema["minItems"].as_u64().unwrap_or(0) as usize;
                let most = schema["maxItems"].as_u64().unwrap_or(u64::MAX) as usize;
                if items.len() < least || items.len() > most {
                    self.tell(node.at, path, node.words(), format!("a list of {least} to {most}"));
                }
                for (at, item) in items.iter().enumerate() {
                    self.node(&format!("{path}[{at}]"), item, &schema["items"]);
                }
            }
            ("number" | "integer", Kind::Number(number)) => {
                let least = schema["minimum"].as_f64().unwrap_or(f64::NEG_INFINITY);
                let most = schema["maximum"].as_f64().unwrap_or(f64::INFINITY);
                let whole = kind == "integer";
                if *number < least || *number > most || (whole && number.fract() != 0.0) {
                    self.tell(node.at, path, node.words(), Walk::number(schema, whole));
                }
            }
            ("boolean", Kind::Bool(_)) => {}
            ("string", Kind::Text(text)) => {
                // The only pattern in use: a path from the root.
                if schema["pattern"].as_str() == Some("^/") && !text.starts_with('/') {
                    self.tell(node.at, path, node.words(), "a text that begins with '/'".into());
                } else if text.is_empty() {
                    self.tell(node.at, path, "an empty text".into(), Walk::about(schema, "a text"));
                }
            }
            (kind, _) => {
                let wanted = match kind {
                    "object" => "an object".to_string(),
                    "array" => "a list".to_string(),
                    "boolean" => "true or false".to_string(),
                    "string" => Walk::about(schema, "a text"),
                    "integer" => Walk::number(schema, true),
                    _ => Walk::number(schema, false),
                };
                self.tell(node.at, path, node.words(), wanted);
            }
        }
    }

    /// What is wanted, with the first sentence of the key's description.
    fn about(schema: &Value, what: &str) -> String {
        match schema["description"].as_str().and_then(|text| text.split(['.', ';']).next()) {
            Some(about) => format!("{what} ({})", about.trim()),
            None => what.to_string(),
        }
    }

    fn number(schema: &Value, whole: bool) -> String {
        let what = if whole { "a whole number" } else { "a number" };
        let what = match (schema["minimum"].as_f64(), schema["maximum"].as_f64()) {
            (Some(least), Some(most)) if least == most => format!("{what}: {least}"),
            (Some(least), Some(most)) => format!("{what} from {least} to {most}"),
            (Some(least), None) => format!("{what} from {least} on"),
            _ => what.to_string(),
        };
        Walk::about(schema, &what)
    }

    fn map(&mut self, path: &str, node: &Node, entries: &[(String, usize, Node)], schema: &'a Value) {
        let under = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        let known = schema["properties"].as_object();
        for (name, at, value) in entries {
            if name.starts_with("//") {
                continue;
            }
            match known.and_then(|known| known.get(name)) {
                Some(schema) => self.node(&under(name), value, schema),
                None => match &schema["additionalProperties"] {
                    other @ Value::Object(_) => self.node(&under(name), value, other),
                    _ => {
                        let names: Vec<&str> =
                            known.into_iter().flat_map(|known| known.keys()).map(String::as_str).collect();
                        let wanted = match nearest(name, names.iter().copied()) {
                            Some(near) => format!("a known key (did you mean '{near}'?)"),
                            None => format!("one of: {}", list_of(&names)),
                        };
                        self.tell(*at, &under(name), format!("the unknown key '{name}'"), wanted);
                    }
                },
            }
        }
        for name in schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if !entries.iter().any(|(known, ..)| known == name) {
                let wanted = known.map_or(Value::Null, |known| known[name].clone());
                self.tell(node.at, &under(name), "nothing".into(), Walk::about(&wanted, "this key"));
            }
        }
    }
}

/// What types can't say.
fn meaning(checked: &Checked, base: Option<&Settings>) -> Vec<Problem> {
    let (document, mut problems) = (&checked.document, Vec::new());
    let mut tell =
        |path: &str, found: String, wanted: &str| problems.push(checked.problem(path, found, wanted));
    if document.version != VERSION {
        tell("version", document.version.to_string(), "1");
    }
    let mut address = |path: &str, text: &str| {
        if text.parse::<SocketAddr>().is_err() {
            tell(path, format!("the text '{text}'"), "an address with a port, such as 127.0.0.1:6400");
        }
    };
    if let Some(counter) = &document.counter {
        address("counter.address", &counter.address);
    }
    if let Some(roster) = &document.roster {
        if let Some(discovery) = &roster.discovery {
            address("roster.discovery", discovery);
        }
        for (at, server) in roster.ephemeral.iter().flat_map(|nodes| &nodes.servers).enumerate() {
            address(&format!("roster.ephemeral.servers[{at}]"), server);
        }
        match (&roster.discovery, &roster.ephemeral) {
            (Some(_), Some(_)) => tell("roster", "both".into(), "either 'discovery' or 'ephemeral'"),
            (None, None) => tell("roster", "neither".into(), "either 'discovery' or 'ephemeral'"),
            _ => {}
        }
    }
    if let Some(routes) = &document.routes {
        match (&routes.description, &routes.routes) {
            (Some(_), Some(_)) => tell("routes", "both".into(), "either 'description' or 'routes'"),
            (None, None) => tell("routes", "neither".into(), "either 'description' or 'routes'"),
            _ => {}
        }
    }
    for (name, figures) in &document.plans {
        let of_start = base.and_then(|base| base.plans.iter().find(|plan| plan.name == *name));
        if base.is_some() && of_start.is_none() && (figures.rate.is_none() || figures.burst.is_none()) {
            let wanted = match nearest(
                name,
                base.into_iter().flat_map(|base| &base.plans).map(|plan| plan.name.as_str()),
            ) {
                Some(near) => format!("'rate' and 'burst', since the plan is new (did you mean '{near}'?)"),
                None => "'rate' and 'burst', since the plan is new".to_string(),
            };
            tell(&format!("plans.{name}"), "a plan that the gateway was not started with".into(), &wanted);
            continue;
        }
        plan(name, figures, of_start, base, &mut tell);
    }
    for (name, times) in document.timeouts.iter().flat_map(|times| &times.classes) {
        let path = format!("timeouts.classes.{name}");
        let class = base.map(|base| base.classes.iter().find(|class| class.name == *name));
        if let Some(None) = class {
            let names: Vec<&str> =
                base.into_iter().flat_map(|base| &base.classes).map(|class| class.name.as_str()).collect();
            tell(&path, format!("the class '{name}'"), &format!("one of: {}", list_of(&names)));
            continue;
        }
        let class = class.flatten();
        let aim = times.aim_ms.or(class.map(|class| class.target_latency_ms));
        let give_up = times.give_up_ms.or(class.map(|class| class.client_timeout_ms));
        if let (Some(aim), Some(give_up)) = (aim, give_up) {
            if aim > give_up {
                tell(
                    &path,
                    format!("an aim of {aim} ms, given up after {give_up} ms"),
                    "an aim within the give-up time",
                );
            }
        }
    }
    if let Some(base) = base {
        for (at, route) in
            document.routes.iter().flat_map(|routes| routes.routes.iter().flatten()).enumerate()
        {
            let names: Vec<&str> = base.classes.iter().map(|class| class.name.as_str()).collect();
            if let Some(class) = route.class.as_deref().filter(|class| !names.contains(class)) {
                let path = format!("routes.routes[{at}].class");
                tell(&path, format!("the class '{class}'"), &format!("one of: {}", list_of(&names)));
            }
            if route.units.is_some_and(|units| units > base.max_request_units.max(1.0)) {
                let path = format!("routes.routes[{at}].units");
                let found = route.units.unwrap_or_default().to_string();
                tell(&path, found, &format!("at most the largest request, {} units", base.max_request_units));
            }
        }
    }
    problems
}

fn plan(
    name: &str,
    figures: &PlanFigures,
    of_start: Option<&nickeljunction_core::facade::Plan>,
    base: Option<&Settings>,
    tell: &mut impl FnMut(&str, String, &str),
) {
    let path = |key: &str| format!("plans.{name}.{key}");
    let rate = figures.rate.or(of_start.map(|plan| plan.rate));
    let burst = figures.burst.or(of_start.map(|plan| plan.burst));
    let ceiling_rate = figures.ceiling_rate.or(of_start.map(|plan| plan.ceiling_rate)).unwrap_or(0.0);
    let ceiling_burst = figures.ceiling_burst.or(of_start.map(|plan| plan.ceiling_burst)).unwrap_or(0.0);
    if ceiling_rate > 0.0 && ceiling_burst <= 0.0 {
        tell(
            &path("ceiling_rate"),
            format!("a ceiling of {ceiling_rate} without a burst"),
            "'ceiling_burst' above 0",
        );
    }
    // A ceiling under the quota would make the quota a lie: the module would refuse what the plan promises.
    if ceiling_rate > 0.0 && rate.is_some_and(|rate| ceiling_rate < rate) {
        tell(
            &path("ceiling_rate"),
            format!("{ceiling_rate}, under the rate of {}", rate.unwrap_or_default()),
            "a ceiling that is no lower than the quota",
        );
    }
    let top = base.map_or(0.0, |base| base.max_request_units);
    if burst.is_some_and(|burst| burst > 0.0 && burst < top) {
        tell(
            &path("burst"),
            burst.unwrap_or_default().to_string(),
            &format!("at least the largest request, {top} units: it could never be served"),
        );
    }
}
