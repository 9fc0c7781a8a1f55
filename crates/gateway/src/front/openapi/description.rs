//! Reads an OpenAPI 3 description (JSON) into drafts of routes.
//!
//! Extensions, on an operation or for all of a path: `x-request-class` (a class of the settings),
//! `x-repeat` (`safe`, `keyed`, `never`) and `x-units` (a number).

use super::routes::{Draft, METHODS};
use super::{fail, member, FrontError};
use miniserde::json::{self, Value};
use std::collections::BTreeSet;

/// Keys of the extensions: class, repeat rule, units.
const KEYS: [&str; 3] = ["x-request-class", "x-repeat", "x-units"];

/// Reads the text of a description.
pub(super) fn read(text: &str) -> Result<Vec<Draft>, FrontError> {
    let Ok(root) = json::from_str::<Value>(text) else { return fail("description", "not JSON") };
    match member(&root, "openapi") {
        Some(Value::String(version)) if version.starts_with("3.") => {}
        _ => return fail("description", "'openapi' must name a version 3"),
    }
    let Some(Value::Object(paths)) = member(&root, "paths") else {
        return fail("description", "'paths' must be an object");
    };
    let base = base(&root)?;
    let (mut drafts, mut ids) = (Vec::new(), BTreeSet::new());
    for (path, item) in paths.iter().filter(|(path, _)| !path.starts_with("x-")) {
        if member(item, "$ref").is_some() {
            return fail(path, "a path that is a reference is not supported");
        }
        let Value::Object(operations) = item else { return fail(path, "must be an object") };
        for (method, operation) in operations.iter() {
            if matches!(method.as_str(), "head" | "trace") {
                return fail(&format!("{} {path}", method.to_uppercase()), "this method is not passed on");
            }
            if !METHODS.contains(&method.as_str()) {
                continue;
            }
            let mut draft =
                Draft { method: method.clone(), path: format!("{base}{path}"), ..Draft::default() };
            let name = draft.name();
            if let Some(Value::String(id)) = member(operation, "operationId") {
                if !ids.insert(id.clone()) {
                    return fail(&name, format!("operationId '{id}' is taken by another operation"));
                }
            }
            draft.read(item, KEYS)?;
            draft.read(operation, KEYS)?;
            draft.key_required = parameters(&root, item, operation, path, &name)?;
            drafts.push(draft);
        }
    }
    Ok(drafts)
}

/// The path that the first server's address adds before all paths.
fn base(root: &Value) -> Result<String, FrontError> {
    let Some(Value::Array(servers)) = member(root, "servers") else { return Ok(String::new()) };
    let Some(Value::String(url)) = servers.first().and_then(|server| member(server, "url")) else {
        return Ok(String::new());
    };
    if url.contains('{') {
        return fail("servers[0].url", "variables are not supported");
    }
    let path = match url.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("", |at| &rest[at..]),
        None => url,
    };
    Ok(path.trim_end_matches('/').to_string())
}

/// Checks an operation's parameters; true if the request must bring an `Idempotency-Key`.
fn parameters(
    root: &Value,
    item: &Value,
    operation: &Value,
    path: &str,
    name: &str,
) -> Result<bool, FrontError> {
    let mut key = None;
    // The operation's own word on a parameter replaces that of its path.
    for holder in [item, operation] {
        let list = match member(holder, "parameters") {
            None => continue,
            Some(Value::Array(list)) => list,
            Some(_) => return fail(name, "'parameters' must be a list"),
        };
        let mut seen = BTreeSet::new();
        for parameter in list.iter() {
            let parameter = resolve(root, parameter, name)?;
            let (Some(Value::String(called)), Some(Value::String(place))) =
                (member(parameter, "name"), member(parameter, "in"))
            else {
                return fail(name, "a parameter needs 'name' and 'in'");
            };
            if !seen.insert((called.to_lowercase(), place.clone())) {
                return fail(name, format!("parameter '{called}' in {place} is there twice"));
            }
            let required = matches!(member(parameter, "required"), Some(Value::Bool(true)));
            if place == "path" {
                if !path.contains(&format!("{{{called}}}")) {
                    return fail(name, format!("path parameter '{called}' is not in the path"));
                }
                if !required {
                    return fail(name, format!("path parameter '{called}' must be required"));
                }
            }
            if place == "header" && called.eq_ignore_ascii_case("idempotency-key") {
                key = Some(required);
            }
        }
    }
    Ok(key.unwrap_or(false))
}

/// Follows a reference within the description, as far as it goes.
fn resolve<'a>(root: &'a Value, value: &'a Value, name: &str) -> Result<&'a Value, FrontError> {
    let mut value = value;
    for _ in 0..8 {
        let Some(Value::String(reference)) = member(value, "$ref") else { return Ok(value) };
        let Some(path) = reference.strip_prefix("#/") else {
            return fail(name, format!("reference '{reference}' leaves the description"));
        };
        let unescape = |part: &str| part.replace("~1", "/").replace("~0", "~");
        let found = path.split('/').try_fold(root, |at, part| member(at, &unescape(part)));
        match found {
            Some(found) => value = found,
            None => return fail(name, format!("reference '{reference}' leads nowhere")),
        }
    }
    fail(name, "references go round")
}
