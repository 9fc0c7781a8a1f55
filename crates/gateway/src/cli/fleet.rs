//! `nickeljunction fleet ...`: the view of the fleet as one gateway has it, over its admin door or its Unix socket.

use super::change::At;
use crate::control::Ask;
use crate::serve::Failure;
use clap::{Args, Subcommand};
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The door answers within 1 s.
const DOOR_WITHIN: Duration = Duration::from_secs(2);

#[derive(Debug, Subcommand)]
pub(super) enum Fleet {
    /// How many gateways live, how sure that is, this one's part, and what was sent and dropped
    Status {
        #[command(flatten)]
        source: Source,
    },
    /// Every member with its state, since when, and when it was last heard
    Members {
        #[command(flatten)]
        source: Source,
    },
    /// Print changes as they come, until interrupted
    Watch {
        #[command(flatten)]
        source: Source,
        /// Look this often, ms
        #[arg(long, value_name = "MS", default_value = "500", value_parser = clap::value_parser!(u64).range(100..=60_000))]
        every: u64,
        /// End after so many looks; without it, never
        #[arg(long, value_name = "N")]
        looks: Option<u64>,
    },
}

/// Where the view is asked for.
#[derive(Debug, Args)]
pub(super) struct Source {
    /// The gateway's admin door (HTTP); else its Unix socket is asked
    #[arg(long, value_name = "ADDRESS", env = "EDGE_ADMIN_ADDR")]
    admin: Option<String>,
    #[command(flatten)]
    at: At,
}

impl Source {
    fn status(&self) -> Result<Value, Failure> {
        let Some(admin) = self.admin.as_ref().filter(|admin| !admin.is_empty()) else {
            return Ok(self.at.ask(&Ask::Fleet)?.data);
        };
        let address: SocketAddr = admin.parse().map_err(|_| {
            Failure::Bad(vec![format!("--admin: '{admin}' is no address with a port such as 127.0.0.1:9000")])
        })?;
        let said = |why: String| Failure::Failed(format!("{address}: {why}"));
        let text = call(address).map_err(|why| said(format!("no answer of an admin door ({why})")))?;
        let (head, body) = text.split_once("\r\n\r\n").ok_or_else(|| said("no answer of HTTP".into()))?;
        match head.split(' ').nth(1) {
            Some("200") => serde_json::from_str(body).map_err(|why| said(why.to_string())),
            Some("404") => Err(Failure::Bad(vec![format!(
                "{address}: this gateway keeps no view of the fleet: its document has no daemon.fleet"
            )])),
            other => Err(said(format!("answered {}", other.unwrap_or("nothing")))),
        }
    }
}

fn call(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, DOOR_WITHIN)?;
    stream.set_read_timeout(Some(DOOR_WITHIN))?;
    stream.write_all(b"GET /v1/fleet HTTP/1.1\r\nHost: admin\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

pub(super) fn run(fleet: Fleet) -> Result<(), Failure> {
    match fleet {
        Fleet::Status { source } => show(&source, status_text),
        Fleet::Members { source } => show(&source, members_text),
        Fleet::Watch { source, every, looks } => watch(&source, every, looks),
    }
}

fn print(text: &str) {
    // A reader that has gone away, as `| head` does, is no failure.
    let _ = std::io::stdout().write_all(text.as_bytes()).and_then(|()| std::io::stdout().flush());
}

fn show(source: &Source, text: fn(&Value) -> String) -> Result<(), Failure> {
    let status = source.status()?;
    print(&if source.at.json { format!("{status:#}\n") } else { text(&status) });
    Ok(())
}

fn ago(seconds: &Value) -> String {
    match seconds.as_f64() {
        None => "never".into(),
        Some(seconds) if seconds < 120.0 => format!("{seconds:.1} s"),
        Some(seconds) if seconds < 7_200.0 => format!("{:.0} min", seconds / 60.0),
        Some(seconds) => format!("{:.1} h", seconds / 3_600.0),
    }
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

fn status_text(status: &Value) -> String {
    let live = &status["live"];
    let mut out = String::new();
    let doubt = if status["in_doubt"] == true { "in doubt" } else { "sure" };
    let _ = writeln!(
        out,
        "live      {} ({} to {}), {doubt}; view quiet for {}",
        live["likely"],
        live["least"],
        live["most"],
        ago(&status["quiet_s"])
    );
    let states: Vec<String> = ["alive", "suspect", "leaving", "gone", "unproven"]
        .iter()
        .map(|state| format!("{} {state}", status["states"][state]))
        .collect();
    let _ = writeln!(out, "members   {}", states.join(", "));
    let _ = writeln!(out, "digest    {}", text(&status["digest"]));
    let split = match &status["pool_split"] {
        Value::Null => "the even half alone: no grant names this gateway in this period".to_string(),
        split => format!("an even half, and one of {split} of the pool"),
    };
    let _ = writeln!(out, "part      {:.4} of the whole: {split}", status["part"].as_f64().unwrap_or(0.0));
    let _ = writeln!(out, "health    {} of 8 (0: its own probes succeed)", status["health"]);
    if status["yielded"] == true {
        let _ =
            writeln!(out, "yielded   another process claims number {}: stop one of the two", status["me"]);
    }
    let dropped: Vec<String> = status["dropped"]
        .as_object()
        .map(|dropped| dropped.iter().map(|(why, count)| format!("{count} {why}")).collect())
        .unwrap_or_default();
    let _ = writeln!(
        out,
        "messages  {} sent ({} bytes), {} received, {} held back; dropped: {}",
        status["sent"],
        status["sent_bytes"],
        status["received"],
        status["held_back"],
        dropped.join(", ")
    );
    let _ = writeln!(
        out,
        "mistakes  {} held gone that lived on, {} claims on itself taken back",
        status["wrongly_gone"], status["taken_back"]
    );
    out
}

fn members_text(status: &Value) -> String {
    let mut out = format!(
        "{:>6} {:<16} {:<10} {:<9} {:>9} {:>9} {:>6}  address\n",
        "number", "name", "zone", "state", "since", "heard", "epoch"
    );
    for member in status["members"].as_array().into_iter().flatten() {
        let own = if member["number"] == status["me"] { " (this one)" } else { "" };
        let _ = writeln!(
            out,
            "{:>6} {:<16} {:<10} {:<9} {:>9} {:>9} {:>6}  {}{own}",
            text(&member["number"]),
            text(&member["name"]),
            text(&member["zone"]),
            text(&member["state"]),
            ago(&member["since_s"]),
            if own.is_empty() { ago(&member["heard_s"]) } else { "-".into() },
            text(&member["epoch"]),
            text(&member["address"]),
        );
    }
    out
}

fn watch(source: &Source, every: u64, looks: Option<u64>) -> Result<(), Failure> {
    let mut last = 0;
    let mut look = 0;
    while looks.is_none_or(|looks| look < looks) {
        if look > 0 {
            std::thread::sleep(Duration::from_millis(every));
        }
        look += 1;
        let status = source.status()?;
        for change in status["recent"].as_array().into_iter().flatten() {
            let (at, nr) = (change["at"].as_f64().unwrap_or(0.0), change["nr"].as_u64().unwrap_or(0));
            if nr <= last {
                continue;
            }
            last = nr;
            print(&if source.at.json {
                format!("{change}\n")
            } else {
                format!(
                    "{:.3}  {} {}: {} -> {} ({})\n",
                    at / 1_000.0,
                    change["member"],
                    text(&change["name"]),
                    text(&change["from"]),
                    text(&change["to"]),
                    text(&change["cause"])
                )
            });
        }
    }
    Ok(())
}
