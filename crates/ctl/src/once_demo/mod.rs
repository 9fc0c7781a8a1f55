//! `njctl demo-once`: keyed operations over real processes on loopback. Clients try each at several gateways while gateways and
//! core machines are killed, frozen and wiped, and at last all power is lost; what clients and stand-ins noted is checked.

pub mod check;
mod clients;
mod plot;
pub mod record;
mod run;
mod scene;

use crate::flags::DemoOnce;
use crate::storm_demo::{tell_rulings, write_drawing, StormError, Tell};
use crate::{BAD_INPUT, DONE, FAILED};
use record::{Got, Log};
use run::Day;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::path::{Path, PathBuf};

/// The drawing, where no file is named.
const USUAL_OUT: &str = "target/once.svg";
/// What may be broken on purpose: one gateway's tries are sent without their key.
const BROKEN: &str = "no-key";

/// Runs it and gives the exit code: 0, every rule was kept; 1, one was broken or the system did not come up; 2, bad use.
pub(crate) fn run(told: &DemoOnce, json: bool, out: &mut dyn Write, err: &mut dyn Write) -> u8 {
    let length_s = told.seconds.unwrap_or(scene::USUAL_S);
    let (least, most) = scene::LENGTH_S;
    if !(least..=most).contains(&length_s) {
        let _ = writeln!(err, "njctl: --seconds wants {least} to {most}, got {length_s}");
        return BAD_INPUT;
    }
    if let Some(name) = told.broken.as_deref().filter(|name| *name != BROKEN) {
        let _ = writeln!(err, "njctl: --broken wants {BROKEN}, got {name:?}");
        return BAD_INPUT;
    }
    let day = Day { length_s, seed: told.seed.unwrap_or(1), broken: told.broken.is_some() };
    let mut tell = Tell { out, quiet: json };
    let file = told.out.clone().unwrap_or_else(|| PathBuf::from(USUAL_OUT));
    match play(&day, &file, &mut tell) {
        Ok((is_kept, mut shown)) => {
            let verdict = if is_kept { "every rule was kept" } else { "a rule was broken" };
            tell.line(&format!("{verdict}; seed {}", day.seed));
            if json {
                shown["seed"] = day.seed.into();
                let _ = writeln!(out, "{shown}");
            }
            if is_kept {
                DONE
            } else {
                FAILED
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

fn play(day: &Day, file: &Path, tell: &mut Tell) -> Result<(bool, Value), StormError> {
    let (log, folder) = day.play(tell)?;
    let figures = figures(&log);
    for (name, count) in &figures {
        tell.line(&format!("{count:>8}  {name}"));
    }
    let (is_kept, rules) = tell_rulings(&check::check(&log, scene::WINDOW_MS), tell);
    write_drawing(file, &plot::draw(&log))?;
    tell.line(&format!("drawn: {}", file.display()));
    if is_kept {
        // What is left lies in the system's folder for such things.
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        tell.line(&format!("settings, logs and disks are in {}", folder.display()));
    }
    Ok((
        is_kept,
        json!({"ok": is_kept, "rules": rules, "figures": figures, "drawn": file.display().to_string()}),
    ))
}

/// Tries by what came of them, operations by how they stand at the end.
fn figures(log: &Log) -> BTreeMap<String, usize> {
    let mut figures = BTreeMap::new();
    let mut count = |name: String, count: usize| *figures.entry(name).or_insert(0) += count;
    for one in &log.tries {
        let name = match &one.got {
            Got::Served(_) => "tries: served".into(),
            Got::Foreign => "tries: a wrong 200".into(),
            Got::Status(status) => format!("tries: {status}"),
            Got::Nothing => "tries: no answer".into(),
        };
        count(name, 1);
    }
    let keys: BTreeSet<_> = log.tries.iter().map(|one| one.key).collect();
    let is_served = |got: &Got| matches!(got, Got::Served(_));
    let served: BTreeSet<_> = log.tries.iter().filter(|one| is_served(&one.got)).map(|one| one.key).collect();
    let ran: BTreeSet<_> = log.runs.iter().map(|run| run.key).collect();
    count("operations".into(), keys.len());
    count("operations: served".into(), served.len());
    count("operations: ran, and no client got the answer".into(), ran.difference(&served).count());
    count("operations: did not run".into(), keys.difference(&ran).count());
    count("runs".into(), log.runs.len());
    figures
}
