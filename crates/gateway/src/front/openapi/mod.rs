//! The second front: routes, classes, repeat rules and unit guesses out of an OpenAPI description, or out
//! of a list that an operator wrote by hand. Both become one [`Routes`], so both are decided alike.
//!
//! Off unless an operator's file turns it on; see `deploy/front.example.json`.

mod description;
mod routes;

pub use routes::{RepeatRule, Route, Routes};

use super::caller::{Bounds, Caller};
use crate::reception::Front;
use miniserde::json::{self, Value};
use nickeljunction_core::facade::{Class, Intake, Settings};
use nickeljunction_decide::api::RetrySafety;
use nickeljunction_http::{TerminalReply, TerminalRequest};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::Path;

/// Most undescribed endpoints that are logged one by one: paths are the clients' to choose.
const MOST_LOGGED: usize = 256;

/// Why a front can't be set up: where and what.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontError {
    /// The key of the operator's file, or the operation of the description.
    pub at: String,
    /// What is wrong.
    pub why: String,
}

impl std::fmt::Display for FrontError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "front: {}: {}", self.at, self.why)
    }
}

impl std::error::Error for FrontError {}

pub(crate) fn fail<T>(at: &str, why: impl Into<String>) -> Result<T, FrontError> {
    Err(FrontError { at: at.to_string(), why: why.into() })
}

/// What an operator's file says.
#[derive(Debug, Clone)]
pub struct OpenApi {
    routes: Routes,
    /// Index of the class for what is not described; `None`: it is refused.
    undescribed: Option<usize>,
    classes: Vec<Class>,
    units_top: f64,
    siblings: usize,
    bounds: Bounds,
    logged: RefCell<BTreeSet<String>>,
    /// Warnings of the load, for the operators' log.
    pub warnings: Vec<String>,
}

pub(crate) fn member<'a>(value: &'a Value, key: &str) -> Option<&'a Value> {
    match value {
        Value::Object(object) => object.get(key),
        _ => None,
    }
}

/// A list of texts under a key of the operator's file; none if the key is not there.
fn texts(file: &Value, key: &str) -> Result<Vec<String>, FrontError> {
    match member(file, key) {
        None => Ok(Vec::new()),
        Some(Value::Array(items)) => items
            .iter()
            .map(|item| match item {
                Value::String(text) => Ok(text.clone()),
                _ => fail(key, "must be a list of texts"),
            })
            .collect(),
        Some(_) => fail(key, "must be a list of texts"),
    }
}

impl OpenApi {
    /// Reads an operator's file; a description that it names lies beside it.
    pub fn load(path: &Path, settings: &Settings) -> Result<OpenApi, FrontError> {
        let read = |path: &Path| {
            let name = path.display().to_string();
            std::fs::read_to_string(path).or_else(|why| fail(&name, why.to_string()))
        };
        let text = read(path)?;
        let beside = path.parent().unwrap_or(Path::new("."));
        OpenApi::parse(&text, settings, |name| read(&beside.join(name)))
    }

    /// Reads the text of an operator's file; `read` gives the text of a description by its name.
    pub fn parse(
        text: &str,
        settings: &Settings,
        read: impl Fn(&str) -> Result<String, FrontError>,
    ) -> Result<OpenApi, FrontError> {
        let Ok(file @ Value::Object(_)) = json::from_str::<Value>(text) else {
            return fail("file", "not a JSON object");
        };
        let Value::Object(keys) = &file else { return fail("file", "not a JSON object") };
        for key in keys.keys().filter(|key| !key.starts_with("//")) {
            if !["description", "routes", "unsafe", "undescribed"].contains(&key.as_str()) {
                return fail(key, "unknown key");
            }
        }
        let drafts = match (member(&file, "description"), member(&file, "routes")) {
            (Some(Value::String(name)), None) => description::read(&read(name)?)?,
            (None, Some(Value::Array(list))) => routes::by_hand(list)?,
            (Some(_), None) => return fail("description", "must be the name of a file"),
            (None, Some(_)) => return fail("routes", "must be a list"),
            (Some(_), Some(_)) => return fail("routes", "either a description or routes, not both"),
            (None, None) => return fail("description", "neither a description nor routes"),
        };
        let mut warnings = Vec::new();
        let banned = texts(&file, "unsafe")?;
        let routes = Routes::build(drafts, &banned, settings, &mut warnings)?;
        let undescribed = match member(&file, "undescribed") {
            None => Some(most_cautious(&settings.classes)),
            Some(Value::String(text)) if text == "pass" => Some(most_cautious(&settings.classes)),
            Some(Value::String(text)) if text == "refuse" => None,
            Some(_) => return fail("undescribed", "must be \"pass\" or \"refuse\""),
        };
        Ok(OpenApi {
            routes,
            undescribed,
            classes: settings.classes.clone(),
            units_top: settings.max_request_units.max(1.0),
            siblings: settings.gateway_count,
            bounds: Bounds::of(settings),
            logged: RefCell::default(),
            warnings,
        })
    }

    /// The route of a request, if it has one.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.find(method, path)
    }

    fn log_once(&self, method: &str, path: &str) {
        let mut logged = self.logged.borrow_mut();
        if logged.len() < MOST_LOGGED && logged.insert(format!("{method} {path}")) {
            let what = if self.undescribed.is_some() { "passed on with most care" } else { "refused" };
            tracing::warn!(method, path, "not described: {what}");
            if logged.len() == MOST_LOGGED {
                tracing::warn!("no further undescribed endpoints are logged");
            }
        }
    }
}

/// The class that may do the least harm: never run twice, and among such the first given up.
fn most_cautious(classes: &[Class]) -> usize {
    let rank = |class: &Class| (class.retry_safety != RetrySafety::AtMostOnce, class.client_timeout_ms);
    let order = |a: &usize, b: &usize| rank(&classes[*a]).partial_cmp(&rank(&classes[*b]));
    (0..classes.len()).min_by(|a, b| order(a, b).unwrap_or(std::cmp::Ordering::Equal)).unwrap_or(0)
}

impl Front for OpenApi {
    fn take_in(&self, request: &TerminalRequest) -> Result<Intake, TerminalReply> {
        let (method, path) = (request.method.as_str(), request.path());
        if matches!(method, "HEAD" | "CONNECT" | "TRACE") {
            return Err(TerminalReply::text(405, "this method is not passed on\n"));
        }
        let route = self.routes.find(method, path);
        let (class, never_twice, units) = match (route, self.undescribed) {
            (Some(route), _) => {
                // A keyed route whose request brings no key: no region could drop its repeat.
                let keyless =
                    route.repeat == RepeatRule::Keyed && request.headers.get("idempotency-key").is_none();
                (route.class, keyless || route.repeat == RepeatRule::Never, route.units)
            }
            (None, class) => {
                self.log_once(method, path);
                match class {
                    Some(class) => (class, true, self.units_top),
                    None => return Err(TerminalReply::text(404, "not described\n")),
                }
            }
        };
        let class = &self.classes[class];
        let caller = Caller::read(request, &self.bounds)?;
        Ok(Intake {
            class: class.name.clone(),
            never_twice: never_twice && class.retry_safety != RetrySafety::AtMostOnce,
            plan: caller.plan,
            customer: caller.customer,
            timeout_ms: caller.patience_ms.unwrap_or(class.client_timeout_ms).min(class.client_timeout_ms),
            units,
            gateways: caller.doors.unwrap_or(self.siblings),
            retry: caller.retry,
        })
    }
}
