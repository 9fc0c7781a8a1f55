//! The adapter: hosts limiter instances on the simulator's wire. It translates and decides nothing. With `--fleet` it
//! also hosts, where the settings allow messages, each instance's view of the fleet over `TELL` and `PEER`.

use base64::prelude::{Engine as _, BASE64_STANDARD};
use nickeljunction_decide::api::{Action, Event, ServerEntry, Settings};
use nickeljunction_decide::decide::Limiter;
use nickeljunction_decide::wire::{one_line, write_action, Line, WireError};
use nickeljunction_fleet::{Config, Fleet, Place};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

/// Token of the view's timer, and its longest interval, ms: news wait no longer.
const VIEW: &str = "fleet";
const VIEW_MS: f64 = 100.0;
/// The simulator's clock begins anywhere; incarnations want one that is past 2020, Unix ms.
const CLOCK_AT: f64 = 1_790_000_000_000.0;

#[derive(Default)]
struct Host {
    /// Views are kept, where the settings allow messages.
    views: bool,
    fleets: BTreeMap<u64, Fleet>,
    now: f64,
    turn: u64,
    instance: u64,
    limiters: BTreeMap<u64, Limiter>,
    sheets: BTreeMap<u64, Vec<ServerEntry>>,
    filling: Option<(u64, u64)>,
    reply: String,
    speaker: Option<u64>,
    actions: Vec<Action>,
}

impl Host {
    /// Takes one line; true when the reply is ready to be written.
    fn line(&mut self, text: &str) -> Result<bool, WireError> {
        let line = Line::parse(text)?;
        if let Some((sheet, left)) = self.filling {
            if line.name != "ITEM" {
                let why = format!("{left} entries still to come, found {}", line.name);
                return Err(WireError { field: "Members".into(), reason: why });
            }
            self.sheets.entry(sheet).or_default().push(line.server_entry()?);
            self.filling = (left > 1).then_some((sheet, left - 1));
            return Ok(false);
        }
        match line.name {
            "FRAME" => (self.now, self.turn) = line.batch_header()?,
            "CONTEXT" => self.instance = line.integer("LimiterId")?,
            "SHEET" => {
                let (sheet, entries) = (line.integer("Ref")?, line.integer("Members")?);
                self.sheets.insert(sheet, Vec::new());
                self.filling = (entries > 0).then_some((sheet, entries));
            }
            "SYNC" => {
                let (kind, sheet) = line.server_list_update()?;
                let entries = match sheet {
                    None => Vec::new(),
                    Some(sheet) => self.sheets.get(&sheet).cloned().ok_or_else(|| WireError {
                        field: "Ref".into(),
                        reason: format!("no list {sheet} was given"),
                    })?,
                };
                self.event(Event::Servers(kind, entries));
            }
            "OPEN_INSTANCE" => {
                let (seed, settings) = line.open_instance()?;
                let limiter = Limiter::new(settings, seed)
                    .map_err(|why| WireError { field: "Env".into(), reason: why.to_string() })?;
                let mail_per_s = line.number_or("Extra.MailPerS", 0.0)?;
                if self.views && mail_per_s > 0.0 {
                    self.open_view(limiter.settings(), mail_per_s, seed)?;
                }
                self.limiters.insert(self.instance, limiter);
            }
            "KILLED" => {
                self.fleets.remove(&self.instance);
                self.limiters.remove(&self.instance);
            }
            "GO" => {
                self.reply.push_str(&format!("READY\tturn={}\n", self.turn));
                self.speaker = None;
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

    fn open_view(&mut self, settings: &Settings, mail_per_s: f64, seed: u64) -> Result<(), WireError> {
        let place = |number: usize| Place {
            number: number as u16,
            name: format!("n{number}"),
            address: None,
            zone: String::new(),
        };
        let roster = (0..settings.gateway_count).map(place).collect();
        let config = Config { me: settings.gateway_index as u16, roster, mail_per_s, epoch: 0, seed };
        let fleet = Fleet::new(config, CLOCK_AT + self.now)
            .map_err(|why| WireError { field: "Siblings".into(), reason: why.to_string() })?;
        self.fleets.insert(self.instance, fleet);
        self.tell_view(true);
        Ok(())
    }

    /// Tells what the view wants told, and sets its next timer if the last one has come.
    fn tell_view(&mut self, timer: bool) {
        let Some(fleet) = self.fleets.get_mut(&self.instance) else { return };
        let mut lines = String::new();
        while let Some((to, bytes)) = fleet.transmit() {
            lines.push_str(&format!("TELL\tTo={to}\tBytes={}\n", BASE64_STANDARD.encode(bytes)));
        }
        while fleet.change().is_some() {}
        if timer {
            let after = (fleet.next_tick() - CLOCK_AT - self.now).clamp(1.0, VIEW_MS);
            lines.push_str(&format!("SET_TIMER\tKeyBack={VIEW}\tAfterMs={after}\n"));
        }
        if !lines.is_empty() {
            self.speak();
            self.reply.push_str(&lines);
        }
    }

    fn speak(&mut self) {
        if self.speaker != Some(self.instance) {
            self.reply.push_str(&format!("SOURCE\tLimiterId={}\n", self.instance));
            self.speaker = Some(self.instance);
        }
    }

    fn event(&mut self, event: Event) {
        if let Some(fleet) = self.fleets.get_mut(&self.instance) {
            let now = CLOCK_AT + self.now;
            match &event {
                Event::Peer(from, bytes) => {
                    fleet.receive(now, *from as u16, bytes);
                    return self.tell_view(false);
                }
                Event::Timer(token) if token == VIEW => {
                    fleet.tick(now);
                    return self.tell_view(true);
                }
                _ => {}
            }
        }
        let Some(limiter) = self.limiters.get_mut(&self.instance) else {
            return;
        };
        let (now, actions) = (self.now, &mut self.actions);
        let run = catch_unwind(AssertUnwindSafe(|| limiter.on_event(now, event, actions)));
        if run.is_ok() && self.actions.is_empty() {
            return;
        }
        self.speak();
        for action in self.actions.drain(..) {
            write_action(&action, &mut self.reply);
        }
        if let Err(panic) = run {
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
    let views = match std::env::args().nth(1).as_deref() {
        None => false,
        Some("--fleet") => true,
        Some(other) => return Err(format!("unknown word '{other}': --fleet, or none")),
    };
    let mut host = Host { views, ..Host::default() };
    let (mut text, mut number) = (Vec::new(), 0u64);
    loop {
        text.clear();
        number += 1;
        if input.read_until(b'\n', &mut text).map_err(|why| format!("standard input: {why}"))? == 0 {
            return Ok(());
        }
        let line = std::str::from_utf8(&text).map_err(|why| format!("line {number}: not UTF-8: {why}"))?;
        let line = line.trim_end_matches(['\n', '\r']);
        if host.line(line).map_err(|why| format!("line {number}: {why}"))? {
            output.write_all(host.reply.as_bytes()).map_err(|why| format!("standard output: {why}"))?;
            output.flush().map_err(|why| format!("standard output: {why}"))?;
            host.reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("nickeljunction-simhost: {why}");
            ExitCode::FAILURE
        }
    }
}
