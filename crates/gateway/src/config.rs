//! What the gateway is told at its start: the file named by `EDGE_CONFIG`, read once.

use crate::net::service_table;
use miniserde::json::{self, Number, Value};
use nickeljunction_core::facade::{check, ServiceTable, Settings};
use nickeljunction_decide::wire::Line;
use std::net::SocketAddr;

/// The configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// This gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Discovery's agent.
    pub discovery: SocketAddr,
    /// The admin door, from `admin_addr`; none: no such listener.
    pub admin: Option<SocketAddr>,
    /// The counter, where there is one.
    pub counter: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Most descriptors.
    pub sockets: usize,
    /// Most memory, bytes.
    pub memory: usize,
    /// The service table as it was last held.
    pub known: ServiceTable,
    /// The module's settings.
    pub settings: Settings,
    /// When regions close idle connections, ms.
    pub idle_close_ms: f64,
    /// How long a connection may take to come up, ms.
    pub connect_ms: f64,
    /// What the platform tells of messages between gateways.
    pub peers: Peers,
}

/// What the platform tells of messages between gateways: `peer_listen`, `peers`, and the settings' permission.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Peers {
    /// Where datagrams reach this gateway.
    pub listen: Option<SocketAddr>,
    /// The gateways' addresses as this one knows them, by number.
    pub addresses: Vec<SocketAddr>,
    /// `Permissions.MayTell`, where the settings say it.
    pub may_tell: Option<bool>,
    /// `Extra.MailPerS`: datagrams a second that a gateway takes in; 0: not told.
    pub mail_per_s: f64,
}

/// Reads [`Peers`]. `peers` is a list of addresses by number.
fn peers(root: &Value, settings: &Value) -> Result<Peers, ConfigError> {
    let listen = match field(root, "peer_listen") {
        None | Some(Value::Null) => None,
        Some(Value::String(text)) if text.is_empty() => None,
        Some(_) => Some(address(root, "peer_listen")?),
    };
    let addresses = match field(root, "peers") {
        None | Some(Value::Null) => Vec::new(),
        Some(Value::Array(items)) => {
            let read = |(at, item): (usize, &Value)| match item {
                Value::String(text) => text.parse().or_else(|_| {
                    error(&format!("peers.{at}"), format!("'{text}' is no address with a port"))
                }),
                _ => error(&format!("peers.{at}"), "not a text"),
            };
            items.iter().enumerate().map(read).collect::<Result<_, _>>()?
        }
        Some(_) => return error("peers", "must be a list of addresses with a port"),
    };
    let inner = |section: &str, key: &str| field(settings, section).and_then(|section| field(section, key));
    let may_tell = match inner("Permissions", "MayTell") {
        Some(Value::Bool(may)) => Some(*may),
        _ => None,
    };
    let mail_per_s = match inner("Extra", "MailPerS") {
        Some(Value::Number(mail)) => number(mail).max(0.0),
        _ => 0.0,
    };
    Ok(Peers { listen, addresses, may_tell, mail_per_s })
}

/// What is wrong with the configuration: the key and why.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigError {
    /// The key at fault.
    pub key: String,
    /// What is wrong.
    pub why: String,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.why)
    }
}

impl std::error::Error for ConfigError {}

fn error<T>(key: &str, why: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError { key: key.to_string(), why: why.into() })
}

fn field<'a>(value: &'a Value, key: &str) -> Option<&'a Value> {
    match value {
        Value::Object(object) => object.get(key),
        _ => None,
    }
}

fn text<'a>(value: &'a Value, key: &str) -> Result<&'a str, ConfigError> {
    match field(value, key) {
        Some(Value::String(text)) if !text.is_empty() => Ok(text),
        Some(_) => error(key, "not a text"),
        None => error(key, "missing"),
    }
}

fn address(value: &Value, key: &str) -> Result<SocketAddr, ConfigError> {
    let text = text(value, key)?;
    text.parse().or_else(|_| error(key, format!("'{text}' is no address with a port")))
}

fn number(number: &Number) -> f64 {
    match number {
        Number::U64(number) => *number as f64,
        Number::I64(number) => *number as f64,
        Number::F64(number) => *number,
    }
}

/// Nested JSON as the path=value pairs that the simulator's wire carries: one reader knows the names.
fn flatten(path: &str, value: &Value, to: &mut Vec<(String, String)>) {
    let under = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Null => {}
        Value::Bool(truth) => to.push((path.to_string(), truth.to_string())),
        Value::Number(Number::U64(number)) => to.push((path.to_string(), number.to_string())),
        Value::Number(other) => to.push((path.to_string(), number(other).to_string())),
        Value::String(text) => to.push((path.to_string(), text.clone())),
        Value::Array(items) if items.iter().any(|item| matches!(item, Value::Object(_))) => {
            to.push((under("count"), items.len().to_string()));
            items.iter().enumerate().for_each(|(at, item)| flatten(&under(&at.to_string()), item, to));
        }
        Value::Array(items) => {
            let mut parts = Vec::new();
            items.iter().for_each(|item| flatten("", item, &mut parts));
            let parts: Vec<String> = parts.into_iter().map(|(_, text)| text).collect();
            to.push((path.to_string(), parts.join(",")));
        }
        Value::Object(object) => object.iter().for_each(|(key, item)| flatten(&under(key), item, to)),
    }
}

impl Config {
    /// The settings can be taken by a gateway that runs: at least one class, each with an aim and a time to
    /// give up above 0, at least one attempt, and what the module itself asks of them.
    ///
    /// # Errors
    /// The first key at fault, by its place under `settings`, and what is wanted there.
    pub fn retunable(&self) -> Result<(), ConfigError> {
        let settings = &self.settings;
        if settings.classes.is_empty() {
            return error("settings.Classes", "must name one class or more");
        }
        if settings.max_attempts == 0 {
            return error("settings.Permissions.MaxAttempts", "must be a whole number above 0");
        }
        for (at, class) in settings.classes.iter().enumerate() {
            for (key, ms) in [("AimMs", class.target_latency_ms), ("GiveUpMs", class.client_timeout_ms)] {
                if !(ms > 0.0 && ms.is_finite()) {
                    return error(&format!("settings.Classes.{at}.{key}"), "must be a number of ms above 0");
                }
            }
        }
        check(settings).or_else(|why| error("settings", why.to_string()))
    }

    /// Reads the text of a configuration file.
    pub fn parse(text_of_file: &str) -> Result<Config, ConfigError> {
        let Ok(root) = json::from_str::<Value>(text_of_file) else { return error("file", "not JSON") };
        let counter = match field(&root, "counter") {
            None | Some(Value::Null) => None,
            Some(Value::String(text)) if text.is_empty() => None,
            Some(_) => Some(address(&root, "counter")?),
        };
        let admin = match field(&root, "admin_addr") {
            None | Some(Value::Null) => None,
            Some(Value::String(text)) if text.is_empty() => None,
            Some(_) => Some(address(&root, "admin_addr")?),
        };
        let seed = match field(&root, "seed") {
            None => 0,
            Some(Value::Number(seed)) => number(seed) as u64,
            Some(_) => {
                let seed = text(&root, "seed")?;
                u64::from_str_radix(seed, 16).or_else(|_| error("seed", "not hexadecimal"))?
            }
        };
        let sockets = match field(&root, "limits").and_then(|limits| field(limits, "sockets")) {
            None => 1024,
            Some(Value::Number(sockets)) if number(sockets) >= 48.0 => number(sockets) as usize,
            Some(_) => return error("limits.sockets", "must be a number, 48 or more"),
        };
        let memory = match field(&root, "limits").and_then(|limits| field(limits, "memory_mb")) {
            None => 64 << 20,
            Some(Value::Number(mb)) if number(mb) > 0.0 => (number(mb) * f64::from(1 << 20)) as usize,
            Some(_) => return error("limits.memory_mb", "must be a number above 0"),
        };
        let known = match field(&root, "known") {
            None | Some(Value::Null) => ServiceTable::default(),
            Some(known) => {
                let known = service_table::parse(&json::to_string(known));
                known.or_else(|why| error("known", why))?
            }
        };
        let Some(settings) = field(&root, "settings") else { return error("settings", "missing") };
        let mut pairs = Vec::new();
        flatten("", settings, &mut pairs);
        let line = Line::from_pairs("settings", &pairs);
        let fail = |why: nickeljunction_decide::wire::WireError| ConfigError {
            key: format!("settings.{}", why.field),
            why: why.reason,
        };
        let positive = |key: &str, default: f64| match line.number_or(key, default) {
            Ok(number) if number > 0.0 => Ok(number),
            Ok(_) => error(&format!("settings.{key}"), "must be above 0"),
            Err(why) => Err(fail(why)),
        };
        Ok(Config {
            name: text(&root, "name").unwrap_or("gateway").to_string(),
            listen: address(&root, "listen")?,
            discovery: address(&root, "discovery")?,
            admin,
            counter,
            seed,
            sockets,
            memory,
            known,
            settings: line.settings().map_err(fail)?,
            idle_close_ms: positive("Permissions.IdleCloseMs", 30_000.0)?,
            connect_ms: positive("Permissions.ConnectTimeoutMs", 250.0)?,
            peers: peers(&root, settings)?,
        })
    }
}
