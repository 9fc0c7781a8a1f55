//! `nickeljunction demo`: the main job on one machine. A toy world and a gateway of this very binary on loopback,
//! mixed requests, some of them beyond a quota, and a table of what was answered and why.

mod world;

use clap::Args;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use world::World;

/// Longest wait for the gateway to be ready, and for an answer.
const READY_WITHIN: Duration = Duration::from_secs(10);
const ANSWER_WITHIN: Duration = Duration::from_secs(5);

#[derive(Debug, Args)]
pub(crate) struct Demo {
    /// Print JSON
    #[arg(long)]
    json: bool,
    /// Keep the world and the gateway running afterwards, until interrupted
    #[arg(long)]
    keep: bool,
    /// Booking servers in the toy world
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=16))]
    regions: u8,
}

/// A request of the demonstration, and what it shows.
struct Try {
    shows: &'static str,
    method: &'static str,
    path: &'static str,
    plan: &'static str,
    units: u32,
    key: bool,
}

const fn a(
    shows: &'static str,
    method: &'static str,
    path: &'static str,
    plan: &'static str,
    units: u32,
    key: bool,
) -> Try {
    Try { shows, method, path, plan, units, key }
}

const TRIES: [Try; 14] = [
    a("a lookup", "GET", "/slot-lookup/1", "starter", 1, false),
    a("a hold with its key", "POST", "/slot-hold/2", "growth", 2, true),
    a("a hold without its key", "POST", "/slot-hold/3", "growth", 1, false),
    a("a check-in", "POST", "/donor-checkin/4", "growth", 2, false),
    a("a check-in whose server fails: never run twice", "POST", "/donor-checkin/fails", "growth", 1, false),
    a("a check-in turned away unseen: tried elsewhere", "POST", "/donor-checkin/full", "growth", 1, false),
    a("a lookup whose server fails: tried elsewhere", "GET", "/slot-lookup/fails", "growth", 1, false),
    a("a class that nobody knows", "GET", "/nothing/7", "growth", 1, false),
    a("a plan that nobody knows", "GET", "/slot-lookup/8", "gold", 1, false),
    a("more units than any request may have", "GET", "/slot-lookup/9", "growth", 60, false),
    a("3 of the 8 units of a starter", "GET", "/slot-lookup/10", "starter", 3, false),
    a("3 more", "GET", "/slot-lookup/11", "starter", 3, false),
    a("6 more: beyond the quota", "GET", "/slot-lookup/12", "starter", 6, false),
    a("6 more: beyond the quota", "GET", "/slot-lookup/13", "starter", 6, false),
];

struct Answer {
    status: u16,
    retry_after: Option<String>,
    body: String,
    took: Duration,
}

impl Answer {
    fn why(&self) -> String {
        let body = self.body.trim();
        match self.status {
            200 => body.to_string(),
            503 => match &self.retry_after {
                Some(after) => format!("refused, come back after {after} s: {body}"),
                None => format!("refused: {body}"),
            },
            502 => "failed: it may have run, and must not run again".to_string(),
            _ => body.to_string(),
        }
    }
}

fn send(address: &str, one: &Try, number: usize) -> Result<Answer, String> {
    let began = Instant::now();
    let text = |why: std::io::Error| why.to_string();
    let mut stream = TcpStream::connect(address).map_err(text)?;
    stream.set_read_timeout(Some(ANSWER_WITHIN)).map_err(text)?;
    let key = if one.key { format!("Idempotency-Key: key-{number}\r\n") } else { String::new() };
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: demo\r\nConnection: close\r\nRequest-Id: demo-{number}\r\nX-Contract: {}\r\n\
        X-Client-Id: {:016x}\r\nRequest-Timeout: 1.2\r\n{key}X-Metering: units={},spread=1,first=0\r\n\
        Content-Length: 0\r\n\r\n",
        one.method,
        one.path,
        one.plan,
        if one.plan == "starter" { 7 } else { 8 },
        one.units,
    );
    stream.write_all(request.as_bytes()).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).map_err(text)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or("no answer")?;
    let mut retry_after = None;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).map_err(text)? == 0 || line.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("retry-after") {
                retry_after = Some(value.trim().to_string());
            }
        }
    }
    let mut body = String::new();
    reader.read_to_string(&mut body).map_err(text)?;
    Ok(Answer { status, retry_after, body, took: began.elapsed() })
}

/// The gateway's process; it ends with this, and so do its files.
struct Gateway {
    process: Child,
    folder: PathBuf,
    address: String,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The configuration of the demonstration's gateway: two plans, three classes.
fn configuration(world: &World) -> String {
    let class = |name: &str, aim: u32, give_up: u32, repeat: &str| {
        json!({"Name": name, "AimMs": aim, "GiveUpMs": give_up, "Repeat": repeat, "Group": "all",
               "KeyTtlMs": 1000, "Worth": 1})
    };
    json!({
        "name": "demo", "listen": "127.0.0.1:0", "discovery": world.discovery.to_string(),
        "counter": world.counter.to_string(), "seed": "2a",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": {
            "Me": 0, "Siblings": 1, "Locality": "east-wing", "StepMs": 2.0, "Discovery": "automatic",
            "Classes": [
                class("slot-lookup", 600, 2500, "repeatable"),
                class("slot-hold", 400, 1500, "by_key"),
                class("donor-checkin", 500, 1200, "once"),
            ],
            "TiersOfService": [
                {"Name": "starter", "Refill": 0.5, "PeakUnits": 8, "WorthFactor": 1, "OverCost": 1},
                {"Name": "growth", "Refill": 15, "PeakUnits": 24, "WorthFactor": 1.3, "OverCost": 1.2,
                 "CeilingRate": 35, "NeverOverDepth": 52, "CeilingSlack": 6},
            ],
            "Extra": {"Counter": true, "CounterTimeoutMs": 100, "Settles": true, "UnitsTop": 6},
            "Permissions": {"ConnectTimeoutMs": 250, "IdleCloseMs": 30000, "MaxAttempts": 6,
                            "MaxRetryAfterMs": 2000, "MayCancel": true, "RetryAfter": true,
                            "SecondCopies": false},
            "Guarantees": {"ColdFrom": 0.15, "ColdMs": 16000, "DrainGraceMs": 1000, "FallMs": 1500,
                           "FallMultiple": 2},
        },
    })
    .to_string()
}

fn start(world: &World) -> Result<Gateway, String> {
    let folder = std::env::temp_dir().join(format!("nickeljunction-demo-{}", std::process::id()));
    let text = |why: std::io::Error| format!("{}: {why}", folder.display());
    std::fs::create_dir_all(&folder).map_err(text)?;
    let config = folder.join("config.json");
    std::fs::write(&config, configuration(world)).map_err(text)?;
    let program = std::env::current_exe().map_err(|why| why.to_string())?;
    let process = Command::new(program)
        .args(["serve", "--log-level", "info", "--config"])
        .arg(&config)
        // Nothing of the caller's own gateways may reach this one.
        .envs(
            ["NICKELJUNCTION_FRONT", "NICKELJUNCTION_PLUGIN", "NICKELJUNCTION_EPHEMERAL"]
                .map(|name| (name, "")),
        )
        .env("NICKELJUNCTION_DOCUMENT", "")
        .env_remove("EDGE_LISTEN")
        .env_remove("EDGE_DISCOVERY")
        .env_remove("NICKELJUNCTION_LOG_FORMAT")
        .stderr(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .map_err(|why| format!("the gateway does not start: {why}"))?;
    let mut gateway = Gateway { process, folder, address: String::new() };
    let log = gateway.process.stderr.take().ok_or("no log of the gateway")?;
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    let serving = lines.find(|line| line.contains("serving")).ok_or("the gateway ended at its start")?;
    gateway.address = serving.split("listen=").nth(1).unwrap_or_default().trim_matches('"').to_string();
    // A log that nobody reads would block the gateway.
    std::thread::spawn(move || lines.for_each(drop));
    let began = Instant::now();
    while !ready(&gateway.address) {
        if began.elapsed() > READY_WITHIN {
            return Err("the gateway is not ready in time".into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(gateway)
}

fn ready(address: &str) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(ANSWER_WITHIN))?;
        stream.write_all(b"GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line.contains(" 200 "))
    };
    ask().unwrap_or(false)
}

/// Runs the demonstration.
///
/// # Errors
/// The world or the gateway can't be started, or a request got no answer.
pub(crate) fn run(demo: &Demo) -> Result<(), String> {
    let world = World::start(demo.regions.into()).map_err(|why| format!("the toy world: {why}"))?;
    let gateway = start(&world)?;
    let mut rows = Vec::new();
    for (number, one) in TRIES.iter().enumerate() {
        let answer = send(&gateway.address, one, number).map_err(|why| format!("{}: {why}", one.path))?;
        rows.push((one, answer));
    }
    if demo.json {
        let rows: Vec<_> = rows
            .iter()
            .map(|(one, answer)| {
                json!({"shows": one.shows, "method": one.method, "path": one.path, "plan": one.plan,
                       "units": one.units, "status": answer.status, "retry_after": answer.retry_after,
                       "why": answer.why(), "ms": answer.took.as_secs_f64() * 1000.0})
            })
            .collect();
        println!("{:#}", json!(rows));
    } else {
        print_table(&world, &gateway.address, &rows);
    }
    if demo.keep {
        let config = Path::new(&gateway.folder).join("config.json");
        println!(
            "\nIt goes on at http://{} with {}; interrupt to end it.",
            gateway.address,
            config.display()
        );
        println!(
            "  curl -i -H 'Request-Id: 1' -H 'X-Contract: starter' -H 'X-Client-Id: 0000000000000007' \\"
        );
        println!("    http://{}/slot-lookup/1", gateway.address);
        loop {
            std::thread::park();
        }
    }
    Ok(())
}

fn print_table(world: &World, address: &str, rows: &[(&Try, Answer)]) {
    let regions: Vec<&str> = world.regions.iter().map(|(name, _)| name.as_str()).collect();
    println!("A gateway at {address}, booking servers {}, discovery, a counter.", regions.join(" and "));
    println!("Plans: starter holds 8 units for each franchisee, growth 24.\n");
    let request = |one: &Try| format!("{} {}", one.method, one.path);
    let widest = |text: &dyn Fn(&Try) -> usize| rows.iter().map(|(one, _)| text(one)).max().unwrap_or(0);
    let (shows, asked) = (widest(&|one| one.shows.len()), widest(&|one| request(one).len()));
    let (what, req) = ("what it shows", "request");
    println!(
        "{what:<shows$}  {req:<asked$}  {:<8} {:>5}  {:>6}  {:>5}  why",
        "plan", "units", "answer", "ms"
    );
    for (one, answer) in rows {
        println!(
            "{:<shows$}  {:<asked$}  {:<8} {:>5}  {:>6}  {:>5.0}  {}",
            one.shows,
            request(one),
            one.plan,
            one.units,
            answer.status,
            answer.took.as_secs_f64() * 1000.0,
            answer.why()
        );
    }
}
