//! Who is a member of the core: shown, and changed by orders that are followed to their end.

use crate::flags::CoreCmd;
use crate::status::table;
use crate::tour::Tour;
use crate::wire::{Answer, Request};
use crate::{Shown, Trouble};
use serde_json::{json, Value};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Between two looks at how far an order is.
const LOOK: Duration = Duration::from_millis(100);

/// Carries out one of the commands.
pub(crate) fn carry_out(command: &CoreCmd, tour: &Tour) -> Result<Shown, Trouble> {
    let order = |method, host: &str, body| -> Result<Request, Trouble> {
        Ok(Request { method, path: format!("/-/core/{}", ip(host)?), body, ..Request::default() })
    };
    match command {
        CoreCmd::List(_) => {
            let (view, by) = look(tour)?;
            Ok(Shown { text: as_text(&view, &by), json: view, trouble: None })
        }
        CoreCmd::Add(add) => follow(tour, &order("PUT", &add.host, Vec::new())?),
        CoreCmd::Remove(remove) => follow(tour, &order("DELETE", &remove.host, Vec::new())?),
        CoreCmd::Replace(replace) => {
            let body = json!({"instead_of": ip(&replace.old)?}).to_string().into_bytes();
            follow(tour, &order("PUT", &replace.new, body)?)
        }
    }
}

fn ip(host: &str) -> Result<String, Trouble> {
    let ip = host.parse::<IpAddr>();
    ip.map(|ip| ip.to_string())
        .map_err(|_| Trouble::Use(format!("{host:?}: wants the IP address of a core machine")))
}

fn read(answer: Answer) -> Result<(Value, String), Trouble> {
    match serde_json::from_slice(&answer.body) {
        Ok(view @ Value::Object(_)) => Ok((view, answer.by)),
        _ => {
            Err(Trouble::Use(format!("{} answers no JSON object: programs of different versions", answer.by)))
        }
    }
}

fn look(tour: &Tour) -> Result<(Value, String), Trouble> {
    read(tour.call(&Request { method: "GET", path: "/-/core".into(), ..Request::default() })?)
}

/// Sends an order and waits until it is carried out.
fn follow(tour: &Tour, order: &Request) -> Result<Shown, Trouble> {
    let (mut view, mut by) = read(tour.call(order)?)?;
    while let Some(open) = view["open"].as_str() {
        let open = open.to_string();
        if Instant::now() + LOOK >= tour.deadline {
            return Ok(unfinished(view, &by, open));
        }
        std::thread::sleep(LOOK);
        // The leader may go with its own removal: the order stands all the same.
        match look(tour) {
            Ok(seen) => (view, by) = seen,
            Err(_) => return Ok(unfinished(view, &by, open)),
        }
    }
    Ok(Shown { text: as_text(&view, &by), json: view, trouble: None })
}

fn unfinished(view: Value, by: &str, open: String) -> Shown {
    Shown { text: as_text(&view, by), json: view, trouble: Some(Trouble::Open(open)) }
}

fn as_text(view: &Value, by: &str) -> String {
    let mut rows = vec![["HOST", "PART", "BEHIND", "SILENT", "DISK"].map(String::from)];
    let commit = view["commit"].as_u64().unwrap_or_default();
    for machine in view["machines"].as_array().into_iter().flatten() {
        let number = |name: &str| machine[name].as_u64().unwrap_or_default();
        let word = |name: &str| machine[name].as_str().unwrap_or("-").to_string();
        let heard = number("id") > 0;
        let told = |text: String| if heard { text } else { "-".to_string() };
        rows.push([
            word("host"),
            word("part"),
            told(commit.saturating_sub(number("kept")).to_string()),
            told(format!("{} ms", number("silent_ms"))),
            told(number("id").to_string()),
        ]);
    }
    let mut text = table(&rows);
    let away: Vec<&str> = view["away"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    if !away.is_empty() {
        text += &format!("kept away: {}\n", away.join(", "));
    }
    let open = view["open"].as_str().map_or("nothing".to_string(), str::to_string);
    text + &format!("under way: {open}, says {by}\n")
}
