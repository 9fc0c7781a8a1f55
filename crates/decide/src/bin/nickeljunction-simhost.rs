//! The adapter of the simulator: hosts limiter instances behind its wire format and decides nothing itself. With
//! `--fleet` it also hosts a view of the fleet for each instance, if the settings allow messages between instances: the
//! views exchange messages by `TELL` and `PEER`.

use base64::prelude::{Engine as _, BASE64_STANDARD};
use nickeljunction_decide::api::{Action, Event, ServerEntry, Settings};
use nickeljunction_decide::decide::Limiter;
use nickeljunction_decide::wire::{one_line, write_action, Line, WireError};
use nickeljunction_fleet::{Config, Membership, RosterEntry};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

/// Token of a view's timer, and its longest interval, ms, which limits the delay of its messages.
const VIEW_TIMER: &str = "fleet";
const MAX_VIEW_INTERVAL_MS: f64 = 100.0;
/// Added to the simulator's clock, ms. That clock may start at any value, but the incarnation numbers of a view need
/// Unix time after 2020.
const CLOCK_OFFSET_MS: f64 = 1_790_000_000_000.0;

#[derive(Default)]
struct Adapter {
    /// `--fleet`: hosts views of the fleet.
    hosts_views: bool,
    /// The views and limiters, by instance.
    views: BTreeMap<u64, Membership>,
    limiters: BTreeMap<u64, Limiter>,
    /// Time, number and current instance of the batch that is being read.
    now: f64,
    turn: u64,
    instance: u64,
    /// Server lists, by number.
    lists: BTreeMap<u64, Vec<ServerEntry>>,
    /// The list that is being read, and how many entries it still lacks.
    open_list: Option<(u64, u64)>,
    reply: String,
    /// The instance that the last lines of the reply belong to.
    source: Option<u64>,
    actions: Vec<Action>,
}

impl Adapter {
    /// Handles one line; true if the batch ends with it and the reply is complete.
    fn line(&mut self, text: &str) -> Result<bool, WireError> {
        let line = Line::parse(text)?;
        if let Some((list, left)) = self.open_list {
            if line.name != "ITEM" {
                let reason = format!("{left} entries still to come, found {}", line.name);
                return Err(WireError { field: "Members".into(), reason });
            }
            self.lists.entry(list).or_default().push(line.server_entry()?);
            self.open_list = (left > 1).then_some((list, left - 1));
            return Ok(false);
        }
        match line.name {
            "FRAME" => (self.now, self.turn) = line.batch_header()?,
            "CONTEXT" => self.instance = line.integer("LimiterId")?,
            "SHEET" => {
                let (list, entries) = (line.integer("Ref")?, line.integer("Members")?);
                self.lists.insert(list, Vec::new());
                self.open_list = (entries > 0).then_some((list, entries));
            }
            "SYNC" => {
                let (kind, list) = line.server_list_update()?;
                let entries = match list {
                    None => Vec::new(),
                    Some(list) => self.lists.get(&list).cloned().ok_or_else(|| WireError {
                        field: "Ref".into(),
                        reason: format!("no list {list} was given"),
                    })?,
                };
                self.event(Event::Servers(kind, entries));
            }
            "OPEN_INSTANCE" => {
                let (seed, settings) = line.open_instance()?;
                let limiter = Limiter::new(settings, seed)
                    .map_err(|error| WireError { field: "Env".into(), reason: error.to_string() })?;
                let mail_per_s = line.number_or("Extra.MailPerS", 0.0)?;
                if self.hosts_views && mail_per_s > 0.0 {
                    self.open_view(limiter.settings(), mail_per_s, seed)?;
                }
                self.limiters.insert(self.instance, limiter);
            }
            "KILLED" => {
                self.views.remove(&self.instance);
                self.limiters.remove(&self.instance);
            }
            "GO" => {
                self.reply.push_str(&format!("READY\tturn={}\n", self.turn));
                self.source = None;
                return Ok(true);
            }
            "" if text.is_empty() => {}
            _ => {
                if let Some(event) = line.event()? {
                    self.event(event);
                }
            }
        }
        Ok(false)
    }

    /// Creates the view of the current instance.
    fn open_view(&mut self, settings: &Settings, mail_per_s: f64, seed: u64) -> Result<(), WireError> {
        let member = |number: usize| RosterEntry {
            number: number as u16,
            name: format!("n{number}"),
            address: None,
            zone: String::new(),
        };
        let roster = (0..settings.gateway_count).map(member).collect();
        let config = Config {
            own_number: settings.gateway_index as u16,
            roster,
            max_received_per_s: mail_per_s,
            epoch: 0,
            seed,
        };
        let view = Membership::new(config, CLOCK_OFFSET_MS + self.now)
            .map_err(|error| WireError { field: "Siblings".into(), reason: error.to_string() })?;
        self.views.insert(self.instance, view);
        self.write_view_messages(true);
        Ok(())
    }

    /// Writes the messages of the current instance's view and, if `set_timer`, its next timer.
    fn write_view_messages(&mut self, set_timer: bool) {
        let Some(view) = self.views.get_mut(&self.instance) else { return };
        let mut lines = String::new();
        while let Some((to, bytes)) = view.next_datagram() {
            lines.push_str(&format!("TELL\tTo={to}\tBytes={}\n", BASE64_STANDARD.encode(bytes)));
        }
        while view.next_change().is_some() {}
        if set_timer {
            let after = (view.next_tick() - CLOCK_OFFSET_MS - self.now).clamp(1.0, MAX_VIEW_INTERVAL_MS);
            lines.push_str(&format!("SET_TIMER\tKeyBack={VIEW_TIMER}\tAfterMs={after}\n"));
        }
        if !lines.is_empty() {
            self.write_source();
            self.reply.push_str(&lines);
        }
    }

    /// Writes which instance the next lines belong to, unless it is the same as before.
    fn write_source(&mut self) {
        if self.source != Some(self.instance) {
            self.reply.push_str(&format!("SOURCE\tLimiterId={}\n", self.instance));
            self.source = Some(self.instance);
        }
    }

    /// Passes an event to the current instance and writes its actions. A panic becomes a `FATAL` line.
    fn event(&mut self, event: Event) {
        if let Some(view) = self.views.get_mut(&self.instance) {
            let now = CLOCK_OFFSET_MS + self.now;
            match &event {
                Event::Peer(from, bytes) => {
                    view.receive(now, *from as u16, bytes);
                    return self.write_view_messages(false);
                }
                Event::Timer(token) if token == VIEW_TIMER => {
                    view.tick(now);
                    return self.write_view_messages(true);
                }
                _ => {}
            }
        }
        let Some(limiter) = self.limiters.get_mut(&self.instance) else {
            return;
        };
        let (now, actions) = (self.now, &mut self.actions);
        let result = catch_unwind(AssertUnwindSafe(|| limiter.on_event(now, event, actions)));
        if result.is_ok() && self.actions.is_empty() {
            return;
        }
        self.write_source();
        for action in self.actions.drain(..) {
            write_action(&action, &mut self.reply);
        }
        if let Err(panic) = result {
            self.reply.push_str(&format!("FATAL\tWhat={}\n", one_line(&panic_text(&*panic))));
        }
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic").to_string()
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let hosts_views = match std::env::args().nth(1).as_deref() {
        None => false,
        Some("--fleet") => true,
        Some(other) => return Err(format!("unknown argument '{other}': expected --fleet or nothing")),
    };
    let mut adapter = Adapter { hosts_views, ..Adapter::default() };
    let (mut text, mut number) = (Vec::new(), 0u64);
    loop {
        text.clear();
        number += 1;
        if input.read_until(b'\n', &mut text).map_err(|error| format!("standard input: {error}"))? == 0 {
            return Ok(());
        }
        let line =
            std::str::from_utf8(&text).map_err(|error| format!("line {number}: not UTF-8: {error}"))?;
        let line = line.trim_end_matches(['\n', '\r']);
        if adapter.line(line).map_err(|error| format!("line {number}: {error}"))? {
            output
                .write_all(adapter.reply.as_bytes())
                .map_err(|error| format!("standard output: {error}"))?;
            output.flush().map_err(|error| format!("standard output: {error}"))?;
            adapter.reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("nickeljunction-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
