//! A configuration whole, as it was sent, with its checked typed view.

use crate::config::{Config, Route, Trial};
use crate::lenient;
use quick_error::quick_error;
use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::fmt;

quick_error! {
    /// Why a configuration or a change is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Problem {
        /// The body can't be read whole: what ails it.
        Unreadable(what: String) {
            display("body: wants whole JSON: {}", what)
        }
        /// A place, and what is wanted there.
        At(place: String, wants: String) {
            display("{}: {}", place, wants)
        }
        /// Its version, and the one in place: it has to be above that.
        NotAbove(version: u64, current: u64) {
            display("config_version: wants more than {}, got {}", current, version)
        }
    }
}

impl Problem {
    /// The place: `body`, or names joined by dots (`routes.r-6sz.timeout_s`).
    pub fn place(&self) -> &str {
        match self {
            Problem::Unreadable(_) => "body",
            Problem::At(place, _) => place,
            Problem::NotAbove(..) => "config_version",
        }
    }

    pub(crate) fn at(place: impl Into<String>, wants: impl Into<String>) -> Problem {
        Problem::At(place.into(), wants.into())
    }
}

/// A configuration: the document as it was sent, unknown fields included, and the typed view of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    raw: Value,
    config: Config,
}

impl Document {
    /// Reads and checks a body. The error names the first place that is wrong.
    pub fn read(bytes: &[u8]) -> Result<Document, Problem> {
        Document::of(read_body(bytes)?)
    }

    /// The same for JSON that was read already.
    pub fn of(raw: Value) -> Result<Document, Problem> {
        let config = Document::view(&raw)?;
        Ok(Document { raw, config })
    }

    /// Checks JSON and gives the typed view alone.
    pub fn view(raw: &Value) -> Result<Config, Problem> {
        check_shapes(raw)?;
        let config: Config = typed(raw)?;
        check(&config)?;
        Ok(config)
    }

    /// The error: its version is not above `current` (0: there is none yet).
    pub fn above(&self, current: u64) -> Result<(), Problem> {
        let version = self.version();
        if version > current {
            return Ok(());
        }
        Err(Problem::NotAbove(version, current))
    }

    /// Its version, above 0.
    pub fn version(&self) -> u64 {
        self.config.config_version
    }

    /// The typed view.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The document as it was sent.
    pub fn raw(&self) -> &Value {
        &self.raw
    }

    /// The document as bytes of compact JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.raw.to_string().into_bytes()
    }

    /// Only the typed view, for those who never hand the document on.
    pub fn into_config(self) -> Config {
        self.config
    }

    /// Both parts.
    pub fn into_parts(self) -> (Value, Config) {
        (self.raw, self.config)
    }
}

/// Reads the body of a change, whole: an object in which no name stands twice. For [`Document::of`] and `Patch::of`.
pub fn read_body(bytes: &[u8]) -> Result<Value, Problem> {
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    let Once(value) =
        Once::deserialize(&mut reader).map_err(|error| Problem::Unreadable(error.to_string()))?;
    reader.end().map_err(|error| Problem::Unreadable(error.to_string()))?;
    if !value.is_object() {
        return Err(Problem::at("body", "wants an object"));
    }
    Ok(value)
}

/// The version that a change's body names, whatever else is in it.
pub fn body_version(body: &Value) -> Option<u64> {
    body.get("config_version").and_then(|version| lenient::whole(version).ok())
}

/// A typed view of JSON; the error names the place.
fn typed<'a, T: Deserialize<'a>>(raw: &'a Value) -> Result<T, Problem> {
    serde_path_to_error::deserialize(raw).map_err(|error| {
        let place = match error.path().to_string() {
            path if path == "." => "body".to_string(),
            path => path,
        };
        Problem::at(place, error.inner().to_string())
    })
}

/// Refuses a list where an object is wanted: the typed view would take it for an object's members in a row.
fn check_shapes(raw: &Value) -> Result<(), Problem> {
    let wants_object = |value: &Value, place: &dyn Fn() -> String| match value {
        Value::Array(_) => Err(Problem::at(place(), "wants an object, got a list")),
        _ => Ok(()),
    };
    wants_object(raw, &|| "body".into())?;
    wants_object(&raw["limits"], &|| "limits".into())?;
    for table in ["routes", "backends", "tenants", "trials"] {
        for (name, item) in raw[table].as_object().into_iter().flatten() {
            wants_object(item, &|| format!("{table}.{name}"))?;
            for (at, share) in item["traffic_split"].as_array().into_iter().flatten().enumerate() {
                wants_object(share, &|| format!("{table}.{name}.traffic_split[{at}]"))?;
            }
            for (at, stage) in item["stages"].as_array().into_iter().flatten().enumerate() {
                wants_object(stage, &|| format!("{table}.{name}.stages[{at}]"))?;
            }
        }
    }
    Ok(())
}

/// JSON in which no object names a member twice: readers would differ on which one holds.
struct Once(Value);

impl<'de> Deserialize<'de> for Once {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Once, D::Error> {
        struct Reader;
        impl<'de> Visitor<'de> for Reader {
            type Value = Once;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("JSON")
            }
            fn visit_bool<E>(self, value: bool) -> Result<Once, E> {
                Ok(Once(value.into()))
            }
            fn visit_u64<E>(self, value: u64) -> Result<Once, E> {
                Ok(Once(value.into()))
            }
            fn visit_i64<E>(self, value: i64) -> Result<Once, E> {
                Ok(Once(value.into()))
            }
            fn visit_f64<E>(self, value: f64) -> Result<Once, E> {
                Ok(Once(value.into()))
            }
            fn visit_str<E>(self, value: &str) -> Result<Once, E> {
                Ok(Once(value.into()))
            }
            fn visit_string<E>(self, value: String) -> Result<Once, E> {
                Ok(Once(value.into()))
            }
            fn visit_unit<E>(self) -> Result<Once, E> {
                Ok(Once(Value::Null))
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<Once, A::Error> {
                let mut list = Vec::new();
                while let Some(Once(value)) = from.next_element()? {
                    list.push(value);
                }
                Ok(Once(list.into()))
            }
            fn visit_map<A: MapAccess<'de>>(self, mut from: A) -> Result<Once, A::Error> {
                let mut members = Map::new();
                while let Some(name) = from.next_key::<String>()? {
                    let Once(value) = from.next_value()?;
                    if members.contains_key(&name) {
                        return Err(A::Error::custom(format!("{name:?} stands twice in one object")));
                    }
                    members.insert(name, value);
                }
                Ok(Once(members.into()))
            }
        }
        from.deserialize_any(Reader)
    }
}

fn check(config: &Config) -> Result<(), Problem> {
    if config.config_version == 0 {
        return Err(Problem::at("config_version", "wants a whole number above 0, got 0"));
    }
    let mut places = BTreeMap::new();
    for (name, route) in &config.routes {
        check_route(config, name, route)?;
        let place = (route.hostname.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(other) = places.insert(place, name) {
            let wants = format!("wants a host and prefix of its own, shares them with routes.{other}");
            return Err(Problem::at(format!("routes.{name}.path_prefix"), wants));
        }
    }
    for (name, backend) in &config.backends {
        let place = |field| format!("backends.{name}.{field}");
        not_negative(backend.warmup_s, || place("warmup_s"))?;
        not_negative(backend.warmup_per_s.unwrap_or_default(), || place("warmup_per_s"))?;
    }
    let limits = &config.limits;
    not_negative(limits.header_timeout_s.unwrap_or_default(), || "limits.header_timeout_s".into())?;
    not_negative(limits.idle_timeout_s.unwrap_or_default(), || "limits.idle_timeout_s".into())?;
    let mut holders = BTreeMap::new();
    for (name, tenant) in &config.tenants {
        not_negative(tenant.rate_per_s, || format!("tenants.{name}.rate_per_s"))?;
        not_negative(tenant.burst_size, || format!("tenants.{name}.burst_size"))?;
        for (at, key) in tenant.api_keys.iter().enumerate() {
            let place = || format!("tenants.{name}.api_keys[{at}]");
            if key.is_empty() {
                return Err(Problem::at(place(), "wants a key, got an empty one"));
            }
            // The key itself stays out of the message: it is a secret, and messages go to logs.
            if let Some(other) = holders.insert(key, name).filter(|other| *other != name) {
                let wants = format!("wants a key of its own, shares it with tenants.{other}");
                return Err(Problem::at(place(), wants));
            }
        }
    }
    config.trials.iter().try_for_each(|(name, trial)| check_trial(config, name, trial))
}

fn check_trial(config: &Config, name: &str, trial: &Trial) -> Result<(), Problem> {
    if !config.tenants.contains_key(name) {
        return Err(Problem::at(format!("trials.{name}"), "wants the name of a tenant that is in tenants"));
    }
    not_negative(trial.floor_per_s(), || format!("trials.{name}.floor_per_s"))?;
    let (mut waits, mut pace) = ((0.0, 0.0), 1.0);
    for (at, stage) in trial.stages.iter().enumerate() {
        let place = |field: &str| format!("trials.{name}.stages[{at}].{field}");
        let wants = |field: &str, wants: String| Err(Problem::at(place(field), wants));
        if !(stage.for_s > 0.0 && stage.for_s.is_finite()) {
            return wants("for_s", format!("wants a number above 0, got {}", stage.for_s));
        }
        not_negative(stage.wait_s, || place("wait_s"))?;
        let read = stage.reads_s();
        if !(0.0..=stage.wait_s).contains(&read) {
            return wants("read_wait_s", format!("wants 0 to wait_s ({}), got {read}", stage.wait_s));
        }
        if !(stage.pace() > 0.0 && stage.pace() <= 1.0) {
            return wants("pace", format!("wants a number above 0, 1 at most, got {}", stage.pace()));
        }
        // Else a tenant would be sped up while it lapses.
        if stage.wait_s < waits.0 || read < waits.1 || stage.pace() > pace {
            return wants("wait_s", "wants no shorter waits and no higher pace than the stage before".into());
        }
        (waits, pace) = ((stage.wait_s, read), stage.pace());
    }
    Ok(())
}

fn check_route(config: &Config, name: &str, route: &Route) -> Result<(), Problem> {
    let problem = |field: &str, wants: String| Err(Problem::at(format!("routes.{name}.{field}"), wants));
    if route.hostname.is_empty() {
        return problem("hostname", "wants a host name, got an empty one".into());
    }
    // One without a slash at its end can be served: it is a beginning like any other.
    if !route.path_prefix.starts_with('/') {
        return problem("path_prefix", format!("wants a slash in front, got {:?}", route.path_prefix));
    }
    match route.timeout_s {
        Some(time) if !(time > 0.0 && time.is_finite()) => {
            return problem("timeout_s", format!("wants a number above 0, got {time}"));
        }
        _ => (),
    }
    not_negative(route.target_latency_s.unwrap_or_default(), || format!("routes.{name}.target_latency_s"))?;
    if !(1..=3).contains(&route.rank()) {
        return problem("gives_way", format!("wants 1, 2 or 3, got {}", route.rank()));
    }
    if route.max_attempts == Some(0) {
        return problem("max_attempts", "wants a whole number above 0, got 0".into());
    }
    let known = |service: &str| config.backends.contains_key(service);
    let unknown = |service: &str| format!("wants a service that is in backends, got {service:?}");
    if route.traffic_split.is_empty() && route.backend.is_empty() {
        return problem("backend", "wants a service here, or some in traffic_split".into());
    }
    if !route.backend.is_empty() && !known(&route.backend) {
        return problem("backend", unknown(&route.backend));
    }
    for (at, share) in route.traffic_split.iter().enumerate() {
        if !known(&share.backend) {
            return problem(&format!("traffic_split[{at}].backend"), unknown(&share.backend));
        }
        not_negative(share.weight, || format!("routes.{name}.traffic_split[{at}].weight"))?;
    }
    let total: f64 = route.shares().map(|(_, weight)| weight).sum();
    if !(total > 0.0 && total.is_finite()) {
        return problem("traffic_split", format!("wants weights that add up to more than 0, got {total}"));
    }
    Ok(())
}

fn not_negative(value: f64, place: impl Fn() -> String) -> Result<(), Problem> {
    if value >= 0.0 && value.is_finite() {
        return Ok(());
    }
    Err(Problem::at(place(), format!("wants a number, 0 or more, got {value}")))
}
