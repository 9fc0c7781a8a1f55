//! `njctl demo-storm`: the control side's worst days over real processes on loopback. Operators race, lose answers and repeat
//! themselves, readers read from any machine and clients send requests, while machines are killed, frozen, wiped and
//! replaced; what they and the stand-ins noted is checked, told as tables and drawn.

mod calls;
pub mod check;
mod clients;
pub mod facts;
mod faults;
mod operators;
mod plot;
pub mod record;
mod relay;
mod report;
mod run;
pub(crate) mod scene;
pub(crate) mod schedule;

pub(crate) use faults::Faults;
pub(crate) use operators::ms;
pub(crate) use record::Sample;
pub(crate) use run::{bring_up, look_on, on_a_fleet, put, StormError, LOOK};

use crate::flags::DemoStorm;
use crate::{BAD_INPUT, DONE, FAILED};
use check::Ruling;
use facts::Facts;
use record::Log;
use run::Storm;
use scene::Broken;
use serde_json::{json, Value};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// The drawing, where no file is named.
const USUAL_OUT: &str = "target/storm.svg";

/// Runs it and gives the exit code: 0, every rule was kept; 1, one was broken or the system did not come up; 2, bad use.
pub(crate) fn run(told: &DemoStorm, json: bool, out: &mut dyn Write, err: &mut dyn Write) -> u8 {
    let begin = Instant::now();
    let length_s = told.seconds.unwrap_or(scene::USUAL_S);
    let (least, most) = scene::LENGTH_S;
    if !(least..=most).contains(&length_s) {
        let _ = writeln!(err, "njctl: --seconds wants {least} to {most}, got {length_s}");
        return BAD_INPUT;
    }
    let broken = told.broken.as_deref().map(|name| Broken::read(name).ok_or(name)).transpose();
    let broken = match broken {
        Ok(broken) => broken,
        Err(name) => {
            let names = Broken::NAMES.map(|(name, _)| name).join(", ");
            let _ = writeln!(err, "njctl: --broken wants one of {names}, got {name:?}");
            return BAD_INPUT;
        }
    };
    let file = told.out.clone().unwrap_or_else(|| PathBuf::from(USUAL_OUT));
    let storm = Storm { length_s, seed: told.seed.unwrap_or(1), broken };
    let mut tell = Tell { out, quiet: json };
    let judged = storm.play(&mut tell).and_then(|(log, folder)| {
        let judged = judge(&log, &file, &mut tell)?;
        if judged.0 {
            // What is left lies in the system's folder for such things.
            let _ = std::fs::remove_dir_all(&folder);
        } else {
            tell.line(&format!("settings, logs and disks are in {}", folder.display()));
        }
        Ok(judged)
    });
    let took = begin.elapsed().as_secs_f64();
    match judged {
        Ok((kept, mut shown)) => {
            if json {
                shown["took_s"] = ((took * 10.0).round() / 10.0).into();
                shown["seed"] = storm.seed.into();
                let _ = writeln!(out, "{shown}");
            } else {
                let verdict = if kept { "every rule was kept" } else { "a rule was broken" };
                let _ = writeln!(out, "{verdict}; seed {}, {took:.0} s in all", storm.seed);
            }
            match kept {
                true => DONE,
                false => FAILED,
            }
        }
        Err(error) => {
            if json {
                let _ = writeln!(out, "{}", json!({"ok": false, "error": error.to_string()}));
            }
            let _ = writeln!(err, "njctl: {error}");
            FAILED
        }
    }
}

/// Tells as it goes. Where nobody reads, the exit code still tells.
pub(crate) struct Tell<'a> {
    /// Where to.
    pub(crate) out: &'a mut dyn Write,
    /// Nothing is told until the end.
    pub(crate) quiet: bool,
}

impl Tell<'_> {
    /// Tells a line.
    pub(crate) fn line(&mut self, text: &str) {
        if !self.quiet {
            let _ = writeln!(self.out, "{text}");
            let _ = self.out.flush();
        }
    }
}

/// Checks, tells and draws; whether every rule was kept, and all of it as JSON.
fn judge(log: &Log, file: &Path, tell: &mut Tell) -> Result<(bool, Value), StormError> {
    let facts = Facts::of(log);
    tell.line(&format!("\n{}", report::as_text(&facts)));
    let (kept, rules) = tell_rulings(&check::check(log), tell);
    write_drawing(file, &plot::draw(&facts))?;
    tell.line(&format!("drawn: {}", file.display()));
    let shown = json!({"ok": kept, "rules": rules, "figures": report::as_json(&facts),
        "drawn": file.display().to_string()});
    Ok((kept, shown))
}

/// Tells what a check found; whether every rule was kept, and all of it as JSON.
pub(crate) fn tell_rulings(rulings: &[Ruling], tell: &mut Tell) -> (bool, Vec<Value>) {
    for ruling in rulings {
        let mark = if ruling.found.is_empty() { "ok  " } else { "FAIL" };
        tell.line(&format!("{mark}  {}\n        {}", ruling.rule, ruling.measured));
        for found in &ruling.found {
            tell.line(&format!("      - {found}"));
        }
    }
    let told = rulings.iter().map(|ruling| {
        json!({"rule": ruling.rule, "ok": ruling.found.is_empty(), "measured": ruling.measured, "found": ruling.found})
    });
    (rulings.iter().all(|ruling| ruling.found.is_empty()), told.collect())
}

/// Writes a drawing, and makes its folder.
pub(crate) fn write_drawing(file: &Path, svg: &str) -> Result<(), StormError> {
    if let Some(folder) = file.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        std::fs::create_dir_all(folder).map_err(run::system(folder.display()))?;
    }
    std::fs::write(file, svg).map_err(run::system(file.display()))
}
