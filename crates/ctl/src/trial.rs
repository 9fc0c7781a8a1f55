//! Tenants' trials: ordered, shown, and what each stage does.

use crate::status::table;
use crate::tour::Tour;
use crate::wire::{Answer, Request};
use crate::{Shown, Trouble};
use nickeljunction_pacing::{Rank, StageSchedule};
use nickeljunction_schema::Config;
use serde_json::{json, Value};
use std::fmt::Write;

/// Has a tenant's trial lapse (`POST`), or restores it (`DELETE`).
pub(crate) fn order(tour: &Tour, method: &'static str, tenant: &str) -> Result<Shown, Trouble> {
    let path = format!("/-/trials/{}", encoded(tenant)?);
    let (mut view, by) = read(tour.call(&Request { method, path, ..Request::default() })?)?;
    let text = format!("{}says {by}\n", rows([(tenant, &view)].into_iter()));
    (view["ok"], view["tenant"], view["by"]) = (true.into(), tenant.into(), by.into());
    Ok(Shown { text, json: view, trouble: None })
}

/// Shows how far trials have lapsed: all, or this tenant's.
pub(crate) fn status(tour: &Tour, tenant: Option<&str>) -> Result<Shown, Trouble> {
    let request = Request { method: "GET", path: "/-/trials".into(), ..Request::default() };
    let (mut views, by) = read(tour.call(&request)?)?;
    if let (Some(tenant), Some(all)) = (tenant, views.as_object_mut()) {
        let names: Vec<String> = all.keys().cloned().collect();
        all.retain(|name, _| name == tenant);
        if all.is_empty() {
            return Err(unknown(tenant, &names, &format!("the configuration in place at {by}")));
        }
    }
    let all = views.as_object().into_iter().flatten();
    let mut text = rows(all.clone().map(|(name, view)| (&name[..], view)));
    for (name, view) in all {
        let shares = view["shares"].as_object().into_iter().flatten();
        for (gateway, share) in shares {
            let _ = writeln!(text, "{name}: {gateway} lets {} a second pass", number(share));
        }
    }
    let _ = writeln!(text, "says {by}");
    Ok(Shown { text, json: json!({"ok": true, "trials": views, "by": by}), trouble: None })
}

/// Shows what each stage of a tenant's trial does, by a configuration.
pub(crate) fn plan(name: &str, config: &Config, tenant: &str) -> Result<Shown, Trouble> {
    if !config.tenants.contains_key(tenant) {
        return Err(unknown(tenant, &config.tenants.keys().cloned().collect::<Vec<_>>(), name));
    }
    let curve = StageSchedule::for_tenant(config, tenant);
    let mut lines = vec![["STAGE", "FROM", "WAIT", "READS", "PACE"].map(String::from)];
    let (mut from_s, mut stages) = (0.0, Vec::new());
    for stage in 1..=curve.stage_count() {
        let step = curve.effect(stage);
        let [wait, reads] = [Rank::Deferrable, Rank::Interactive].map(|rank| step.wait_ms(rank) / 1_000.0);
        let pace = Some(step.pace_per_s).filter(|pace| pace.is_finite());
        stages.push(
            json!({"stage": stage, "from_s": from_s, "for_s": step.duration_ms as f64 / 1_000.0, "wait_s": wait,
            "read_wait_s": reads, "pace_per_s": pace}),
        );
        lines.push([
            stage.to_string(),
            format!("{from_s} s"),
            format!("{wait} s"),
            format!("{reads} s"),
            pace.map_or("-".into(), |pace| format!("{pace:.1} a second")),
        ]);
        from_s += step.duration_ms as f64 / 1_000.0;
    }
    let text = format!("{}{tenant}, by {name}; the last stage stays\n", table(&lines));
    Ok(Shown { text, json: json!({"ok": true, "tenant": tenant, "stages": stages}), trouble: None })
}

fn rows<'a>(views: impl Iterator<Item = (&'a str, &'a Value)>) -> String {
    let mut lines = vec![["TENANT", "STATE", "STAGE", "NEXT", "PACE", "STEP"].map(String::from)];
    for (tenant, view) in views {
        lines.push([
            tenant.to_string(),
            view["state"].as_str().unwrap_or("-").to_string(),
            format!("{} of {}", number(&view["stage"]), number(&view["stages"])),
            view["next_in_s"].as_f64().map_or("-".into(), |next| format!("in {next:.1} s")),
            view["pace"].as_f64().map_or("-".into(), |pace| format!("{pace:.1} a second")),
            number(&view["step"]),
        ]);
    }
    table(&lines)
}

fn number(value: &Value) -> String {
    match value.as_u64() {
        Some(whole) => whole.to_string(),
        None => value.as_f64().map_or("-".into(), |number| format!("{number:.1}")),
    }
}

fn unknown(tenant: &str, names: &[String], place: &str) -> Trouble {
    Trouble::Use(format!("{tenant:?} is no tenant of {place}: wants one of {}", names.join(", ")))
}

fn read(answer: Answer) -> Result<(Value, String), Trouble> {
    match serde_json::from_slice(&answer.body) {
        Ok(view @ Value::Object(_)) => Ok((view, answer.by)),
        _ => {
            Err(Trouble::Use(format!("{} answers no JSON object: programs of different versions", answer.by)))
        }
    }
}

/// A name as a part of a path.
fn encoded(tenant: &str) -> Result<String, Trouble> {
    if tenant.is_empty() || tenant.starts_with('.') {
        return Err(Trouble::Use(format!("{tenant:?} is no name of a tenant")));
    }
    let mut path = String::new();
    for byte in tenant.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => path.push(byte.into()),
            _ => drop(write!(path, "%{byte:02X}")),
        }
    }
    Ok(path)
}
