//! The simulator's wire format: tab-separated text lines. Parses events and settings, and writes actions.

use crate::api::*;
use base64::{engine::general_purpose::STANDARD, Engine};
use std::collections::BTreeMap;
use std::fmt::Write;

/// A line that can't be parsed.
#[derive(Debug, Clone, PartialEq)]
pub struct WireError {
    /// The field that is missing or malformed.
    pub field: String,
    /// What is wrong with the field.
    pub reason: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "field {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for WireError {}

fn error<T>(field: &str, reason: impl Into<String>) -> Result<T, WireError> {
    Err(WireError { field: field.to_string(), reason: reason.into() })
}

/// A parsed line.
#[derive(Debug)]
pub struct Line<'a> {
    /// The message name.
    pub name: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    /// Splits a line into its name and fields.
    pub fn parse(text: &'a str) -> Result<Self, WireError> {
        let mut parts = text.split('\t');
        let name = parts.next().unwrap_or_default();
        let mut fields = BTreeMap::new();
        for part in parts {
            match part.split_once('=') {
                Some((key, value)) => fields.insert(key, value),
                None => return error(part, format!("no '=' in a part of {name}")),
            };
        }
        Ok(Line { name, fields })
    }

    /// A line made of pairs from another source: a gateway's settings come as nested JSON.
    pub fn from_pairs(name: &'a str, pairs: &'a [(String, String)]) -> Self {
        let fields = pairs.iter().map(|(key, value)| (key.as_str(), value.as_str())).collect();
        Line { name, fields }
    }

    fn text(&self, key: &str) -> Result<&'a str, WireError> {
        match self.fields.get(key) {
            Some(value) if !value.is_empty() => Ok(value),
            Some(_) => error(key, format!("empty in {}", self.name)),
            None => error(key, format!("missing in {}", self.name)),
        }
    }

    fn number(&self, key: &str) -> Result<f64, WireError> {
        read_number(key, self.text(key)?)
    }

    /// A number, or the default if the line has no such field.
    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, WireError> {
        self.fields.get(key).map_or(Ok(default), |value| read_number(key, value))
    }

    fn flag(&self, key: &str) -> Result<bool, WireError> {
        match self.fields.get(key) {
            None | Some(&"0") => Ok(false),
            Some(&"1") => Ok(true),
            Some(other) => error(key, format!("'{other}' is neither 0 nor 1")),
        }
    }

    /// A required integer.
    pub fn integer(&self, key: &str) -> Result<u64, WireError> {
        let text = self.text(key)?;
        text.parse().or_else(|_| error(key, format!("'{text}' is not a whole number")))
    }

    fn integer_or(&self, key: &str, default: u64) -> Result<u64, WireError> {
        if self.fields.contains_key(key) {
            self.integer(key)
        } else {
            Ok(default)
        }
    }

    fn status(&self) -> Result<Status, WireError> {
        Ok(match self.text("Disposition")? {
            "Ok" => Status::Ok,
            "Failed" => Status::Failed,
            "QueueFull" => Status::QueueFull,
            "TimedOut" => Status::TimedOut,
            "ConnectError" => Status::ConnectError,
            "ResetByPeer" => Status::Reset,
            "Canceled" => Status::Canceled,
            "Ignored" => Status::NotSent,
            other => return error("Disposition", format!("unknown '{other}'")),
        })
    }

    fn load(&self) -> Result<BTreeMap<String, f64>, WireError> {
        let text = self.fields.get("Pressure").copied().unwrap_or_default();
        let mut load = BTreeMap::new();
        for pair in text.split(',').filter(|pair| !pair.is_empty() && *pair != "-") {
            match pair.split_once(':') {
                Some((key, value)) => load.insert(key.to_string(), read_number("Pressure", value)?),
                None => return error("Pressure", format!("no ':' in '{pair}'")),
            };
        }
        Ok(load)
    }

    /// Clock (`WallMs`) and batch index (`turn`) of a `FRAME`.
    pub fn batch_header(&self) -> Result<(f64, u64), WireError> {
        Ok((self.number("WallMs")?, self.integer("turn")?))
    }

    /// An `ITEM` of a server list.
    pub fn server_entry(&self) -> Result<ServerEntry, WireError> {
        let state = match self.text("Mode")? {
            "U" => ServerState::Up,
            "L" => ServerState::Draining,
            "D" => ServerState::Removed,
            other => return error("Mode", format!("unknown '{other}'")),
        };
        Ok(ServerEntry {
            server: self.text("Server")?.to_string(),
            state,
            zone: self.fields.get("Az").copied().unwrap_or_default().to_string(),
            cell: self.integer_or("Group", 0)?,
            weight: self.number_or("Heft", 1.0)?,
            started_at_ms: self.number_or("LaunchedMs", 0.0)?,
            distance: 0,
            rank: 0.0,
        })
    }

    /// Kind and list number of a `SYNC`. A failed one has no list.
    pub fn server_list_update(&self) -> Result<(ListKind, Option<u64>), WireError> {
        let kind = match self.text("Mode")? {
            "INCREMENTAL" => ListKind::Incremental,
            "FULL" => ListKind::Full,
            "SAVED" => ListKind::Cached,
            "FAILED" => return Ok((ListKind::Failed, None)),
            other => return error("Mode", format!("unknown '{other}'")),
        };
        Ok((kind, Some(self.integer("Ref")?)))
    }

    /// The event of a line; `None` if the message name is unknown.
    pub fn event(&self) -> Result<Option<Event>, WireError> {
        Ok(Some(match self.name {
            "ACCEPT" => Event::Request(Arrival {
                id: self.text("Id")?.to_string(),
                class: self.text("Class")?.to_string(),
                plan: self.fields.get("Contract").copied().unwrap_or_default().to_string(),
                customer: self.integer_or("Customer", 0)?,
                timeout_ms: self.number("PatienceLeftMs")?,
                units: self.number_or("QuotaUnits", 1.0)?,
                gateways: self.integer_or("Doors", 1)? as usize,
                retry: self.flag("IsRetry")?,
            }),
            "REPLY" => Event::Outcome(Outcome {
                id: self.text("Id")?.to_string(),
                attempt: self.integer_or("Go", 0)? as usize,
                server: self.text("Server")?.to_string(),
                status: self.status()?,
                settled_units: self.number_or("Settled", 0.0)?,
                latency_ms: self.number_or("DelaySeenMs", 0.0)?,
                request_closed: self.flag("Last")?,
                load: self.load()?,
            }),
            "HEAD_RECEIVED" => {
                Event::StreamStarted(self.text("Id")?.to_string(), self.integer_or("Go", 0)? as usize)
            }
            "LAPSED" => Event::Abandoned(self.text("Id")?.to_string()),
            "TIMER" => Event::Timer(self.text("KeyBack")?.to_string()),
            "PROBE_RESULT" => Event::Probed(
                self.text("Server")?.to_string(),
                self.status()?,
                self.number_or("DelaySeenMs", 0.0)?,
            ),
            "RECKONED" => {
                let status = self.status()?;
                let sum =
                    if status == Status::Ok { self.number("Sum")? } else { self.number_or("Sum", 0.0)? };
                Event::CountReply(self.text("CounterKey")?.to_string(), status, sum)
            }
            "PEER" => {
                let text = self.text("Bytes")?;
                let bytes = match text {
                    "-" => Vec::new(),
                    text => STANDARD.decode(text).or_else(|reason| error("Bytes", reason.to_string()))?,
                };
                Event::Peer(self.integer("From")? as usize, bytes)
            }
            _ => return Ok(None),
        }))
    }

    /// Seed and settings of an `OPEN_INSTANCE`.
    pub fn open_instance(&self) -> Result<(u64, Settings), WireError> {
        let seed = match self.text("Nonce64")?.parse::<i128>() {
            Ok(seed) => seed as u64,
            Err(reason) => return error("Nonce64", reason.to_string()),
        };
        Ok((seed, self.settings()?))
    }

    fn bool_or(&self, key: &str, default: bool) -> Result<bool, WireError> {
        match self.fields.get(key) {
            None => Ok(default),
            Some(&"true") | Some(&"1") => Ok(true),
            Some(&"false") | Some(&"0") => Ok(false),
            Some(other) => error(key, format!("'{other}' is neither true nor false")),
        }
    }

    fn text_or_empty(&self, key: &str) -> String {
        self.fields.get(key).copied().unwrap_or_default().to_string()
    }

    fn class(&self, index: u64) -> Result<Class, WireError> {
        let key = |name: &str| format!("Classes.{index}.{name}");
        let repeat = match self.text(&key("Repeat"))? {
            "repeatable" => RetrySafety::Idempotent,
            "by_key" => RetrySafety::Keyed,
            "once" => RetrySafety::AtMostOnce,
            other => return error(&key("Repeat"), format!("unknown '{other}'")),
        };
        let group = match self.fields.get(key("Group").as_str()) {
            None | Some(&"all") => DedupScope::All,
            Some(&"zone") => DedupScope::Zone,
            Some(&"cell") => DedupScope::Cell,
            Some(other) => return error(&key("Group"), format!("unknown '{other}'")),
        };
        Ok(Class {
            name: self.text(&key("Name"))?.to_string(),
            target_latency_ms: self.number(&key("AimMs"))?,
            client_timeout_ms: self.number(&key("GiveUpMs"))?,
            retry_safety: repeat,
            dedup_scope: group,
            key_ttl_ms: self.number_or(&key("KeyTtlMs"), 0.0)?,
            late_share: self.number_or(&key("LateShare"), 0.0)?,
            stream: self.bool_or(&key("Stream"), false)?,
            worth: self.number_or(&key("Worth"), 1.0)?,
        })
    }

    fn plan(&self, index: u64) -> Result<Plan, WireError> {
        let key = |name: &str| format!("TiersOfService.{index}.{name}");
        let number = |name: &str, default: f64| self.number_or(&key(name), default);
        Ok(Plan {
            name: self.text(&key("Name"))?.to_string(),
            rate: number("Refill", 0.0)?,
            burst: number("PeakUnits", 0.0)?,
            max_concurrent: number("AtOnce", 0.0)?,
            worth_factor: number("WorthFactor", 1.0)?,
            excess_worth: number("ExcessWorth", 0.0)?,
            excess_cost: number("OverCost", 0.0)?,
            ceiling_rate: number("CeilingRate", 0.0)?,
            ceiling_burst: number("NeverOverDepth", 0.0)?,
            ceiling_slack: number("CeilingSlack", 0.0)?,
        })
    }

    /// The settings among the fields.
    pub fn settings(&self) -> Result<Settings, WireError> {
        let classes = self.integer_or("Classes.count", 0)?;
        let plans = self.integer_or("TiersOfService.count", 0)?;
        Ok(Settings {
            gateway_index: self.integer_or("Me", 0)? as usize,
            gateway_count: self.integer_or("Siblings", 1)? as usize,
            zone: self.text_or_empty("Locality"),
            step_ms: self.number_or("StepMs", 1.0)?,
            min_subset: self.number_or("SubsetLeast", 0.0)?,
            classes: (0..classes).map(|index| self.class(index)).collect::<Result<_, _>>()?,
            plans: (0..plans).map(|index| self.plan(index)).collect::<Result<_, _>>()?,
            counter_enabled: self.bool_or("Extra.Counter", false)?,
            counter_timeout_ms: self.number_or("Extra.CounterTimeoutMs", 0.0)?,
            settles_units: self.bool_or("Extra.Settles", false)?,
            max_request_units: self.number_or("Extra.UnitsTop", 1.0)?,
            subscribe: self.text_or_empty("Discovery") == "subscribe",
            may_cancel: self.bool_or("Permissions.MayCancel", false)?,
            max_attempts: self.integer_or("Permissions.MaxAttempts", 1)? as usize,
            max_retry_after_ms: self.number_or("Permissions.MaxRetryAfterMs", 0.0)?,
            retry_after: self.bool_or("Permissions.RetryAfter", false)?,
            marks_retry: self.bool_or("Clients.MarksRetry", false)?,
            probing: self.bool_or("Permissions.Probing", false)?,
            hedging: self.bool_or("Permissions.SecondCopies", false)?,
            probe_fee: self.number_or("Tariffs.Probe", 0.0)?,
            cross_zone_fee: self.number_or("Tariffs.CrossZone", 0.0)?,
            cold_start_share: self.number_or("Guarantees.ColdFrom", 1.0)?,
            warmup_ms: self.number_or("Guarantees.ColdMs", 0.0)?,
            drain_grace_ms: self.number_or("Guarantees.DrainGraceMs", 0.0)?,
            overload_multiple: self.number_or("Guarantees.FallMultiple", 1.0)?,
            overload_ms: self.number_or("Guarantees.FallMs", 0.0)?,
            answer_grace_ms: self.number_or("Guarantees.GraceToAnswerMs", 0.0)?,
        })
    }
}

/// The pairs from which [`Line::from_pairs`] and [`Line::settings`] restore these settings exactly: numbers are written
/// such that parsing them gives the same bits.
pub fn settings_to_pairs(settings: &Settings) -> Vec<(String, String)> {
    let mut pairs: Vec<(String, String)> = Vec::new();
    let mut put = |key: &str, value: String| pairs.push((key.to_string(), value));
    put("Me", settings.gateway_index.to_string());
    put("Siblings", settings.gateway_count.to_string());
    put("Locality", settings.zone.clone());
    put("StepMs", settings.step_ms.to_string());
    if settings.min_subset > 0.0 {
        put("SubsetLeast", settings.min_subset.to_string());
    }
    put("Extra.Counter", settings.counter_enabled.to_string());
    put("Extra.CounterTimeoutMs", settings.counter_timeout_ms.to_string());
    put("Extra.Settles", settings.settles_units.to_string());
    put("Extra.UnitsTop", settings.max_request_units.to_string());
    put("Discovery", if settings.subscribe { "subscribe" } else { "automatic" }.to_string());
    put("Permissions.MayCancel", settings.may_cancel.to_string());
    put("Permissions.MaxAttempts", settings.max_attempts.to_string());
    put("Permissions.MaxRetryAfterMs", settings.max_retry_after_ms.to_string());
    put("Permissions.RetryAfter", settings.retry_after.to_string());
    put("Clients.MarksRetry", settings.marks_retry.to_string());
    put("Permissions.Probing", settings.probing.to_string());
    put("Permissions.SecondCopies", settings.hedging.to_string());
    put("Tariffs.Probe", settings.probe_fee.to_string());
    put("Tariffs.CrossZone", settings.cross_zone_fee.to_string());
    put("Guarantees.ColdFrom", settings.cold_start_share.to_string());
    put("Guarantees.ColdMs", settings.warmup_ms.to_string());
    put("Guarantees.DrainGraceMs", settings.drain_grace_ms.to_string());
    put("Guarantees.FallMultiple", settings.overload_multiple.to_string());
    put("Guarantees.FallMs", settings.overload_ms.to_string());
    put("Guarantees.GraceToAnswerMs", settings.answer_grace_ms.to_string());
    put("Classes.count", settings.classes.len().to_string());
    for (index, class) in settings.classes.iter().enumerate() {
        let mut put = |key: &str, value: String| put(&format!("Classes.{index}.{key}"), value);
        put("Name", class.name.clone());
        put("AimMs", class.target_latency_ms.to_string());
        put("GiveUpMs", class.client_timeout_ms.to_string());
        let repeat = match class.retry_safety {
            RetrySafety::Idempotent => "repeatable",
            RetrySafety::Keyed => "by_key",
            RetrySafety::AtMostOnce => "once",
        };
        put("Repeat", repeat.to_string());
        let group = match class.dedup_scope {
            DedupScope::All => "all",
            DedupScope::Zone => "zone",
            DedupScope::Cell => "cell",
        };
        put("Group", group.to_string());
        put("KeyTtlMs", class.key_ttl_ms.to_string());
        put("LateShare", class.late_share.to_string());
        put("Stream", class.stream.to_string());
        put("Worth", class.worth.to_string());
    }
    put("TiersOfService.count", settings.plans.len().to_string());
    for (index, plan) in settings.plans.iter().enumerate() {
        let mut put =
            |key: &str, value: f64| put(&format!("TiersOfService.{index}.{key}"), value.to_string());
        put("Refill", plan.rate);
        put("PeakUnits", plan.burst);
        put("AtOnce", plan.max_concurrent);
        put("WorthFactor", plan.worth_factor);
        put("ExcessWorth", plan.excess_worth);
        put("OverCost", plan.excess_cost);
        put("CeilingRate", plan.ceiling_rate);
        put("NeverOverDepth", plan.ceiling_burst);
        put("CeilingSlack", plan.ceiling_slack);
    }
    for (index, plan) in settings.plans.iter().enumerate() {
        pairs.push((format!("TiersOfService.{index}.Name"), plan.name.clone()));
    }
    pairs
}

fn read_number(key: &str, text: &str) -> Result<f64, WireError> {
    match text.parse::<f64>() {
        Ok(value) if value.is_finite() => Ok(value),
        _ => error(key, format!("'{text}' is not a number")),
    }
}

/// Appends the line of one action.
pub fn write_action(action: &Action, out: &mut String) {
    let written = match action {
        Action::Send(id, server, timeout) => {
            writeln!(out, "DISPATCH\tId={id}\tServer={server}\tLimitMs={timeout:.3}")
        }
        Action::Refuse(id, pause) => writeln!(out, "SHED\tId={id}\tPauseMs={pause:.3}"),
        Action::Fail(id) => writeln!(out, "FAIL\tId={id}"),
        Action::Cancel(id, attempt) => writeln!(out, "RETRACT\tId={id}\tGo={attempt}"),
        Action::Probe(server) => writeln!(out, "SOUND_OUT\tServer={server}"),
        Action::SubscribeServers => writeln!(out, "TRACK\tActive=1"),
        Action::FetchServers => writeln!(out, "QUERY_ALL"),
        Action::IncrementCounter(name, add, ttl) => {
            writeln!(out, "INCR\tTtlMs={ttl:.3}\tAdd={add}\tCounterKey={name}")
        }
        Action::Timer(token, after) => writeln!(out, "SET_TIMER\tKeyBack={token}\tAfterMs={after:.3}"),
        Action::CloseIdle(server) => writeln!(out, "HANG_UP\tServer={server}"),
        Action::Log(text) => writeln!(out, "WRITE_LOG\tWhat={}", one_line(text)),
    };
    written.expect("writing to a String cannot fail");
}

/// Replaces tabs and line ends by spaces, so that the text fits in one field.
pub fn one_line(text: &str) -> String {
    text.replace(['\t', '\n', '\r'], " ")
}
