//! How the machines of control stand, as a table.

use crate::standing::{leads, seconds, Doubt, Known, Standing};
use crate::wire::{self, Answer, Request};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// What one machine says, or why it says nothing.
pub struct Line {
    /// Its address.
    pub at: String,
    /// Its word, a JSON object, or the error.
    pub told: Result<Value, String>,
}

/// Asks each address once, then the members that they name, on the same port; all at once, so that a dark machine costs
/// one silence.
pub fn ask(addresses: &[String], silence: Duration, deadline: Instant) -> Vec<Line> {
    let mut lines = ask_all(addresses, silence, deadline);
    let mut asked: BTreeSet<String> = addresses.iter().cloned().collect();
    let mut others = Vec::new();
    for line in &lines {
        let port = line.at.rsplit_once(':').map_or("", |(_, port)| port);
        let told = line.told.as_ref().unwrap_or(&Value::Null);
        // By its own host it may be known under another name than the one that was given.
        if let Some(host) = told["host"].as_str() {
            asked.insert(joined(host, port));
        }
        others.extend(hosts(told).map(|host| joined(host, port)));
    }
    others.retain(|other| asked.insert(other.clone()));
    lines.extend(ask_all(&others, silence, deadline));
    lines
}

fn ask_all(addresses: &[String], silence: Duration, deadline: Instant) -> Vec<Line> {
    std::thread::scope(|scope| {
        let ask = |at: &String| {
            (
                at.clone(),
                scope.spawn({
                    let at = at.clone();
                    move || ask_one(&at, silence, deadline)
                }),
            )
        };
        let asked: Vec<_> = addresses.iter().map(ask).collect();
        let heard = asked.into_iter().map(|(at, line)| {
            // It panics nowhere that is known; then the others' words still count.
            line.join().unwrap_or_else(|_| Line { at, told: Err("asking failed".into()) })
        });
        heard.collect()
    })
}

/// All of it as JSON: `{ok, members, doubts}` with a list of `{at, status}` or `{at, error}`.
pub fn as_json(lines: &[Line], standing: &Standing, doubts: &[Doubt]) -> Value {
    let lines = lines.iter().map(|line| match &line.told {
        Ok(told) => json!({"at": line.at, "status": told}),
        Err(error) => json!({"at": line.at, "error": error}),
    });
    let members: Value = lines.collect();
    let doubts: Value = doubts.iter().map(Doubt::as_json).collect();
    json!({"ok": standing.known.is_some(), "members": members, "doubts": doubts})
}

/// All of it as text: a row for each machine, then what the leader (else the one with the highest commit) knows.
pub fn as_text(lines: &[Line], standing: &Standing, doubts: &[Doubt]) -> String {
    let mut rows = vec![["AT", "NODE", "PART", "TERM", "COMMIT", "CONFIG", "MEMBERS"].map(String::from)];
    let mut best: Option<&Value> = None;
    for line in lines {
        let Ok(told) = &line.told else {
            rows.push([&line.at, "-", "no answer", "-", "-", "-", "-"].map(String::from));
            continue;
        };
        let rank = |told: &Value| (leads(told), told["term"].as_u64(), told["commit"].as_u64());
        if best.is_none_or(|best| rank(told) > rank(best)) {
            best = Some(told);
        }
        let mut part = match (leads(told), told["leader"].as_str()) {
            (true, _) => "leads".to_string(),
            (false, Some(leader)) => format!("follows {leader}"),
            (false, None) => "no leader".to_string(),
        };
        if told["disk_sick"].as_bool().unwrap_or_default() {
            part += ", disk sick";
        }
        let members = told["members"].as_array().map_or("-".to_string(), |members| members.len().to_string());
        let figure = |name: &str| told[name].as_u64().map_or("-".to_string(), |figure| figure.to_string());
        let node = told["node_name"].as_str().unwrap_or("-").to_string();
        rows.push([
            line.at.clone(),
            node,
            part,
            figure("term"),
            figure("commit"),
            figure("config_version"),
            members,
        ]);
    }
    let mut text = table(&rows);
    match (&standing.known, best) {
        (Some(known), _) => text += &all(known),
        (None, Some(told)) => text += &some(told),
        (None, None) => (),
    }
    text += &best.map_or(String::new(), operations);
    text += if doubts.is_empty() { "\ndoubts: none\n" } else { "\ndoubts:\n" };
    for doubt in doubts {
        let _ = writeln!(text, "  {}", doubt.line());
    }
    text
}

/// What a leader knows.
fn all(known: &Known) -> String {
    let mut text = String::new();
    let majority = known.majority_ms.map_or("unknown".to_string(), |ms| format!("{} ago", seconds(ms)));
    let (has, there) = known.reached();
    let _ = writeln!(text, "\na majority agreed: {majority}");
    let _ = writeln!(text, "version {} reached {has} of {there} gateways", known.version);
    let zones: Vec<&str> = known.evacuated.iter().map(String::as_str).collect();
    let zones = if zones.is_empty() { "none".to_string() } else { zones.join(", ") };
    let _ = writeln!(text, "evacuated zones: {zones}");
    let mut counts: BTreeMap<&str, [usize; 4]> = BTreeMap::new();
    for life in known.lives.values() {
        let states = ["in service", "cold", "draining", "silent"];
        let place = states.iter().position(|state| *state == life.state());
        counts.entry(&life.service).or_default()[place.unwrap_or(0)] += 1;
    }
    let mut rows = vec![["SERVICE", "IN SERVICE", "COLD", "DRAINING", "SILENT"].map(String::from)];
    rows.extend(counts.iter().map(|(service, count)| {
        let [serves, cold, leaves, silent] = count.map(|count| count.to_string());
        [service.to_string(), serves, cold, leaves, silent]
    }));
    text += &section(&rows);
    let mut rows = vec![["GATEWAY", "ZONE", "FRONT", "READY", "VERSION"].map(String::from)];
    rows.extend(known.gateways.iter().map(|(name, gateway)| {
        let ready = match gateway.away_ms {
            Some(_) => "away",
            None if gateway.ready => "yes",
            None => "no",
        };
        let version = gateway.version.map_or("-".to_string(), |version| version.to_string());
        [name.clone(), gateway.zone.clone(), gateway.front.clone(), ready.into(), version]
    }));
    text += &section(&rows);
    let mut rows = vec![["TENANT", "CAP", "LENT", "HELD BACK", "USED"].map(String::from)];
    rows.extend(known.units.iter().map(|(tenant, units)| {
        let [cap, lent, held, used] =
            [units.cap, units.lent, units.held, units.used].map(|units| units.to_string());
        [tenant.clone(), cap, lent, held, used]
    }));
    text + &section(&rows)
}

/// Keyed operations that are remembered, where there are some; nothing of a core member that knows none of them.
fn operations(told: &Value) -> String {
    let told = &told["operations"];
    let remembered = told["remembered"].as_u64().unwrap_or_default();
    if remembered == 0 {
        return String::new();
    }
    let generations = told["generations"].as_u64().unwrap_or_default();
    let age = told["oldest_closed_ms"].as_u64();
    let age = age.map_or(String::new(), |ms| format!(", the oldest closed {} ago", seconds(ms)));
    format!("\nkeyed operations remembered: {remembered}, in {generations} generations{age}\n")
}

/// What a follower knows.
fn some(told: &Value) -> String {
    let zones: Vec<&str> =
        told["evacuated"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let zones = if zones.is_empty() { "none".to_string() } else { zones.join(", ") };
    let mut text = format!("\nevacuated zones: {zones}\n");
    let mut rows = vec![["SERVICE", "STATE", "SERVERS"].map(String::from)];
    for (service, states) in told["servers"].as_object().into_iter().flatten() {
        for (state, count) in states.as_object().into_iter().flatten() {
            rows.push([service.clone(), state.clone(), count.to_string()]);
        }
    }
    text += &section(&rows);
    let mut rows = vec![["GATEWAY", "ZONE", "FRONT"].map(String::from)];
    for gateway in told["gateways"].as_array().into_iter().flatten() {
        let word = |name: &str| gateway[name].as_str().unwrap_or("-").to_string();
        rows.push([word("name"), word("zone"), word("front")]);
    }
    text + &section(&rows)
}

/// A table with a line in front; nothing where it has only its heads.
fn section<const N: usize>(rows: &[[String; N]]) -> String {
    if rows.len() < 2 {
        return String::new();
    }
    format!("\n{}", table(rows))
}

/// Asks one address once.
pub fn ask_one(at: &str, silence: Duration, deadline: Instant) -> Line {
    let request = Request { method: "GET", path: "/-/status".into(), ..Request::default() };
    let told = match wire::call(at, &request.path, &request, silence, deadline) {
        Ok(Answer { status: 200, body, .. }) => match serde_json::from_slice(&body) {
            Ok(told @ Value::Object(_)) => Ok(told),
            _ => Err("answers no JSON object".into()),
        },
        Ok(answer) => Err(format!("answers {}: {}", answer.status, answer.text())),
        Err(error) => Err(error.to_string()),
    };
    Line { at: at.into(), told }
}

/// Hosts of the members, which are named alone or in an object.
fn hosts(told: &Value) -> impl Iterator<Item = &str> {
    let members = told["members"].as_array().into_iter().flatten();
    members.filter_map(|member| member.as_str().or_else(|| member["host"].as_str()))
}

fn joined(host: &str, port: &str) -> String {
    if host.contains(':') && !host.starts_with('[') {
        return format!("[{host}]:{port}");
    }
    format!("{host}:{port}")
}

pub fn table<const N: usize>(rows: &[[String; N]]) -> String {
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or_default();
    let widths: Vec<usize> = (0..N).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let _ = writeln!(text, "{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
    text
}
