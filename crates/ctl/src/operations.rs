//! Keyed operations: how many the core remembers, and who holds one of them.

use crate::flags::{OperationsCmd, Show};
use crate::status::table;
use crate::tour::Tour;
use crate::wire::{Answer, Request};
use crate::{Shown, Trouble};
use nickeljunction_messages::OperationId;
use serde_json::Value;

/// Carries out one of the commands.
pub(crate) fn carry_out(command: &OperationsCmd, tour: &Tour) -> Result<Shown, Trouble> {
    match command {
        OperationsCmd::All(_) => {
            let (view, by) = look(tour, "/-/operations".into())?;
            Ok(shown(list(&view), view, &by))
        }
        OperationsCmd::Show(show) => {
            let (view, by) = look(tour, format!("/-/operations/{}", operation(show)?))?;
            Ok(shown(one(&view), view, &by))
        }
    }
}

fn operation(show: &Show) -> Result<OperationId, Trouble> {
    match (&show.key, &show.tenant, &show.digest) {
        (Some(key), tenant, None) => Ok(OperationId::of(tenant.as_deref(), key)),
        (None, None, Some(digest)) => {
            digest.parse().map_err(|wants| Trouble::Use(format!("--digest {wants}, got {digest:?}")))
        }
        _ => Err(Trouble::Use(
            "operations show wants --key, with --tenant or without, or else --digest".into(),
        )),
    }
}

fn look(tour: &Tour, path: String) -> Result<(Value, String), Trouble> {
    let Answer { body, by, .. } = tour.call(&Request { method: "GET", path, ..Request::default() })?;
    match serde_json::from_slice(&body) {
        Ok(view @ Value::Object(_)) => Ok((view, by)),
        _ => Err(Trouble::Use(format!("{by} answers no JSON object: programs of different versions"))),
    }
}

fn shown(text: String, mut view: Value, by: &str) -> Shown {
    (view["ok"], view["by"]) = (true.into(), by.into());
    Shown { text: format!("{text}says {by}\n"), json: view, trouble: None }
}

fn list(view: &Value) -> String {
    let all = &view["table"];
    let mut lines = vec![["GENERATION", "CLAIMS", "CLOSED", "FORGOTTEN"].map(String::from)];
    for generation in all["oldest"].as_array().into_iter().flatten() {
        lines.push([
            generation["generation"].to_string(),
            generation["claims"].to_string(),
            seconds(&generation["closed_ms"]).map_or("open".into(), |s| format!("{s} ago")),
            seconds(&generation["forgotten_in_ms"]).map_or("-".into(), |s| format!("in {s}")),
        ]);
    }
    let told = all["oldest"].as_array().map_or(0, |told| told.len() as u64);
    let more = all["generations"].as_u64().unwrap_or_default().saturating_sub(told);
    let mut text = table(&lines);
    if more > 0 {
        text += &format!("and {more} newer generations\n");
    }
    let (claims, most) = (&all["claims"], &all["most_claims"]);
    let full = 100.0 * claims.as_f64().unwrap_or_default() / most.as_f64().unwrap_or(f64::INFINITY);
    text += &format!(
        "remembered: {} operations by {claims} of {most} claims ({full:.1}% full); waiting: {}\n",
        all["remembered"], all["waiting"]
    );
    let answered = &view["answered"];
    text + &format!(
        "answered in {}: granted {}, held {}, refused as full {}, not known {}\n",
        seconds(&view["answered_during_ms"]).unwrap_or("-".into()),
        answered["granted"],
        answered["held"],
        answered["full"],
        answered["unknown"]
    )
}

fn one(view: &Value) -> String {
    let mut text = format!("operation {}: {}\n", word(&view["operation"]), word(&view["state"]));
    if view["host"].is_null() {
        return text;
    }
    let gateway = view["gateway"].as_str().unwrap_or("no gateway that is known here");
    let (host, life) = (word(&view["host"]), &view["life"]);
    text += &format!("held by: {gateway}, {host}, life {life}, claim {}\n", view["number"]);
    if let Some(away) = seconds(&view["away_ms"]) {
        text += &format!("away since: {away} ago\n");
    }
    let granted =
        seconds(&view["closed_ms"]).map_or("in the open generation".into(), |s| format!("at least {s} ago"));
    text += &format!("granted: {granted}, in generation {}\n", view["generation"]);
    if let Some(forgotten) = seconds(&view["forgotten_in_ms"]) {
        text += &format!("forgotten: in {forgotten} or later\n");
    }
    text
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn seconds(ms: &Value) -> Option<String> {
    ms.as_f64().map(|ms| format!("{:.1} s", ms / 1_000.0))
}
