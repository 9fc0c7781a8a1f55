//! `nickeljunction config ...`: the operators' document. `check`, `diff`, `sign`, `keygen` and `schema` need no
//! gateway; the others speak to one over its Unix socket.

use super::{document, may_be_empty};
use crate::control::{ask, Ask, Told};
use crate::serve::{read_document, read_file, read_keys, Failure};
use clap::{Args, Subcommand};
use nickeljunction_config::bundle::{Key, Tag};
use nickeljunction_config::diff::{diff, Difference};
use nickeljunction_config::document::schema;
use nickeljunction_config::problem::Problem;
use nickeljunction_config::transaction::{Epoch, Record, Step};
use serde_json::{json, Value};
use std::ffi::OsString;
use std::io::{IsTerminal, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often a trial's progress is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(250);

#[derive(Debug, Subcommand)]
pub(super) enum Config {
    /// Check a document: every problem with file, line, column, key, what was found and what is wanted
    Check {
        /// The document
        file: PathBuf,
        /// Check it against this gateway's settings, too: classes, plans, units
        #[arg(long, value_name = "FILE", env = "EDGE_CONFIG")]
        config: Option<PathBuf>,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Tell what differs between two documents
    Diff {
        /// The document of before
        before: PathBuf,
        /// The document of after
        after: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Sign a document with the files that it names; the signature goes to FILE.tag
    Sign {
        /// The document
        file: PathBuf,
        /// Key file; its first key signs
        #[arg(long, value_name = "FILE")]
        key: PathBuf,
    },
    /// Make a key; its line belongs in a key file
    Keygen {
        /// The key's name
        name: String,
    },
    /// Print the JSON Schema of the document
    Schema,
    /// Check, prepare and stage a document at a gateway
    Stage {
        /// The document; its signature is taken from FILE.tag if that is there
        file: PathBuf,
        /// Why
        #[arg(long, default_value = "")]
        why: String,
        /// Also in place of what another operator has staged
        #[arg(long)]
        replace: bool,
        #[command(flatten)]
        gateway: Gateway,
    },
    /// Put what is staged in force, on trial
    Apply {
        /// It must be this epoch that is staged
        epoch: Option<Epoch>,
        /// Take it back unless it is confirmed within this time, such as 60s, 500ms, 2m
        #[arg(long, value_name = "TIME", default_value = "60s", value_parser = duration)]
        confirm_within: Duration,
        /// Give up if not all gateways have it staged and applied within this time
        #[arg(long, value_name = "TIME", default_value = "60s", value_parser = duration)]
        gather_within: Duration,
        /// Wait for the trial's end; what it does on a terminal
        #[arg(long, overrides_with = "no_wait")]
        wait: bool,
        /// Return at once; what it does without a terminal
        #[arg(long)]
        no_wait: bool,
        #[command(flatten)]
        gateway: Gateway,
    },
    /// Keep what is on trial, at all gateways
    Confirm {
        #[command(flatten)]
        gateway: Gateway,
    },
    /// Drop what is staged, or take back what is under way; alone, end a doubt
    Rollback {
        /// Why
        #[arg(long, default_value = "")]
        why: String,
        #[command(flatten)]
        gateway: Gateway,
    },
    /// Tell what is in force and under way
    Status {
        #[command(flatten)]
        gateway: Gateway,
    },
    /// Tell every step of every change
    History {
        #[command(flatten)]
        gateway: Gateway,
    },
    /// Print the document of an epoch
    Show {
        /// The epoch
        epoch: Epoch,
        #[command(flatten)]
        gateway: Gateway,
    },
}

/// Which gateway is meant, and who speaks to it.
#[derive(Debug, Args)]
pub(super) struct Gateway {
    #[command(flatten)]
    at: At,
    /// Who gives the command
    #[arg(long, env = "USER", default_value = "operator")]
    who: String,
}

/// Which gateway is meant.
#[derive(Debug, Args)]
pub(super) struct At {
    /// The gateway's socket; by default that of the document
    #[arg(long, value_name = "PATH", env = "NICKELJUNCTION_SOCKET")]
    socket: Option<PathBuf>,
    /// The document that the gateway was started with; its daemon.control is the socket
    #[arg(long, value_name = "FILE", env = "NICKELJUNCTION_DOCUMENT", value_parser = may_be_empty())]
    document: Option<OsString>,
    /// Print JSON
    #[arg(long)]
    pub(super) json: bool,
}

impl At {
    fn path(&self) -> Result<PathBuf, Failure> {
        if let Some(path) = &self.socket {
            return Ok(path.clone());
        }
        let bad = |why: String| Failure::Bad(vec![why]);
        let Some(path) = document(self.document.clone()) else {
            return Err(bad("which gateway? name its --socket, or its --document".into()));
        };
        let (_, daemon) = read_document(&path, None)?;
        let control =
            daemon.control.ok_or_else(|| bad(format!("{}: daemon.control is not set", path.display())))?;
        Ok(crate::paths::beside(&path, &control))
    }

    pub(super) fn ask(&self, what: &Ask) -> Result<Told, Failure> {
        let told = ask(&self.path()?, what)?;
        match told.exit {
            0 => Ok(told),
            2 => Err(Failure::Bad(match told.problems.is_empty() {
                true => vec![told.text],
                false => told.problems.iter().map(ToString::to_string).collect(),
            })),
            _ => Err(Failure::Failed(told.text)),
        }
    }
}

/// `60s`, `500ms`, `2m`, or a number of seconds.
fn duration(text: &str) -> Result<Duration, String> {
    let cut = text.find(|letter: char| letter.is_ascii_alphabetic()).unwrap_or(text.len());
    let (number, unit) = text.split_at(cut);
    let unit = match unit {
        "ms" => 0.001,
        "" | "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return Err(format!("unknown unit '{unit}': ms, s, m or h")),
    };
    let number = number.parse::<f64>().map_err(|_| "no number of seconds".to_string())?;
    let seconds = number * unit;
    if !(seconds > 0.0 && seconds <= 86_400.0) {
        return Err("must be above nothing and at most a day".into());
    }
    Ok(Duration::from_secs_f64(seconds))
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

fn print(json: bool, data: &Value, text: impl FnOnce() -> String) {
    let text = if json { format!("{data:#}\n") } else { text() };
    // A reader that has gone away, as `| head` does, is no failure.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn tag_path(file: &Path) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(".tag");
    PathBuf::from(name)
}

fn read_tag(file: &Path) -> Result<Option<Tag>, Failure> {
    let path = tag_path(file);
    let Ok(text) = std::fs::read_to_string(&path) else { return Ok(None) };
    let problem = |why: serde_json::Error| {
        let name = path.display().to_string();
        vec![Problem::of_file(&name, why.to_string(), "what 'config sign' writes")]
    };
    Ok(Some(serde_json::from_str(&text).map_err(problem)?))
}

pub(super) fn run(config: Config) -> Result<(), Failure> {
    match config {
        Config::Check { file, config, json } => check(&file, config, json),
        Config::Diff { before, after, json } => {
            let value = |path: &Path| -> Result<Value, Failure> {
                let (bundle, _) = read_document(path, None)?;
                let mut value = bundle.check(None)?.value;
                // Files are compared by their text's digest: the document's own text only names them.
                let files = bundle.files.iter().map(|(name, text)| (name.clone(), json!(digest(text))));
                if let Value::Object(map) = &mut value {
                    map.insert("files".into(), Value::Object(files.collect()));
                }
                Ok(value)
            };
            let differences = diff(&value(&before)?, &value(&after)?);
            print(json, &json!(differences), || lines(&differences));
            Ok(())
        }
        Config::Sign { file, key } => {
            let (bundle, _) = read_document(&file, None)?;
            let name = key.display().to_string();
            let text = std::fs::read_to_string(&key)
                .map_err(|why| vec![Problem::of_file(&name, why.to_string(), "a key file")])?;
            let keys = Key::read(&name, &text)?;
            let tag = bundle.sign(&keys[0]);
            let text = serde_json::to_string(&tag).unwrap_or_default() + "\n";
            let path = tag_path(&file);
            std::fs::write(&path, text).map_err(|why| format!("{}: {why}", path.display()))?;
            println!("{}: signed with key {} ({})", path.display(), keys[0].name, tag.key);
            Ok(())
        }
        Config::Keygen { name } => {
            if name.is_empty() || name.contains(|letter: char| letter.is_whitespace() || letter == '#') {
                return Err(Failure::Bad(vec!["the name must be one word without '#'".into()]));
            }
            let mut bytes = [0; 32];
            std::fs::File::open("/dev/urandom")
                .and_then(|mut file| file.read_exact(&mut bytes))
                .map_err(|why| format!("no random numbers: {why}"))?;
            println!("{}", Key::new(&name, bytes).line());
            Ok(())
        }
        Config::Schema => {
            print!("{}", schema());
            Ok(())
        }
        Config::Stage { file, why, replace, gateway } => {
            let (bundle, _) = read_document(&file, None)?;
            let tag = read_tag(&file)?;
            let who = gateway.who.clone();
            let told = gateway.at.ask(&Ask::Stage { bundle, tag, who, why, replace })?;
            print(gateway.at.json, &told.data, || {
                let differences: Vec<Difference> =
                    serde_json::from_value(told.data["differences"].clone()).unwrap_or_default();
                let shared = match told.data["shared"].as_bool() {
                    Some(true) => "changes plans' figures: takes effect when all gateways have it\n",
                    _ => "",
                };
                format!("{}\n{}{shared}", told.text, lines(&differences))
            });
            Ok(())
        }
        Config::Apply { epoch, confirm_within, gather_within, wait, no_wait, gateway } => {
            let who = gateway.who.clone();
            let (confirm_within_ms, gather_within_ms) = (ms(confirm_within), ms(gather_within));
            let told = gateway.at.ask(&Ask::Apply { epoch, who, confirm_within_ms, gather_within_ms })?;
            let terminal = std::io::stdout().is_terminal();
            if no_wait || !(wait || terminal) {
                print(gateway.at.json, &told.data, || format!("{}\n{}", told.text, status_text(&told.data)));
                return Ok(());
            }
            follow(&gateway, &told, terminal)
        }
        Config::Confirm { gateway } => simple(&gateway, &Ask::Confirm { who: gateway.who.clone() }),
        Config::Rollback { why, gateway } => {
            simple(&gateway, &Ask::Rollback { who: gateway.who.clone(), why })
        }
        Config::Status { gateway } => {
            let told = gateway.at.ask(&Ask::Status)?;
            print(gateway.at.json, &told.data, || status_text(&told.data));
            Ok(())
        }
        Config::History { gateway } => {
            let told = gateway.at.ask(&Ask::History)?;
            print(gateway.at.json, &told.data, || history_text(&told.data));
            Ok(())
        }
        Config::Show { epoch, gateway } => {
            let told = gateway.at.ask(&Ask::Show { epoch })?;
            print(gateway.at.json, &told.data, || {
                let mut text = told.data["bundle"]["text"].as_str().unwrap_or_default().to_string();
                if !text.ends_with('\n') {
                    text.push('\n');
                }
                text
            });
            Ok(())
        }
    }
}

fn digest(text: &str) -> String {
    let bundle = nickeljunction_config::bundle::Bundle {
        name: String::new(),
        text: text.to_string(),
        files: Default::default(),
    };
    bundle.digest()
}

fn check(file: &Path, config: Option<PathBuf>, json: bool) -> Result<(), Failure> {
    let base = config.map(|path| read_file(Some(&path))).transpose()?;
    let checked = read_document(file, base.as_ref()).and_then(|(bundle, daemon)| {
        read_keys(file, &daemon)?;
        Ok(bundle)
    });
    match checked {
        Ok(bundle) => {
            let data = json!({"good": true, "digest": bundle.digest(), "files": bundle.files.len()});
            print(json, &data, || {
                let files = bundle.files.len();
                format!("{}: good, with {files} files; digest {}\n", file.display(), bundle.digest())
            });
            Ok(())
        }
        Err(problems) if json => {
            print(true, &json!({"good": false, "problems": problems}), String::new);
            Err(Failure::Bad(Vec::new()))
        }
        Err(problems) => Err(problems.into()),
    }
}

fn simple(gateway: &Gateway, what: &Ask) -> Result<(), Failure> {
    let told = gateway.at.ask(what)?;
    print(gateway.at.json, &told.data, || format!("{}\n{}", told.text, status_text(&told.data)));
    Ok(())
}

fn lines(differences: &[Difference]) -> String {
    differences.iter().map(|difference| format!("  {difference}\n")).collect()
}

fn status_text(status: &Value) -> String {
    let mut text = format!("epoch {} is confirmed", status["confirmed"]);
    let change = &status["change"];
    match status["phase"].as_str().unwrap_or_default() {
        "idle" => {}
        phase => {
            let what = match phase {
                "staged" => "is staged",
                "voting" => "waits for the other gateways",
                "armed" => "is about to be in force",
                _ => "is on trial",
            };
            text +=
                &format!("; epoch {} of {} {what}", change["epoch"], change["who"].as_str().unwrap_or("?"));
            if let Some(left) = status["left_ms"].as_f64() {
                text += &format!(" ({:.1} s left)", left / 1000.0);
            }
        }
    }
    text.push('\n');
    for (key, label) in [("note", "note"), ("doubt", "in doubt beside epoch")] {
        match &status[key] {
            Value::Null => {}
            Value::String(note) => text += &format!("{label}: {note}\n"),
            other => text += &format!("{label}: {other}\n"),
        }
    }
    if let Some(alarm) = status["guard"]["alarm"].as_str() {
        text += &format!("last alarm of the guard: {alarm}\n");
    }
    if status["lasting"] == json!(false) {
        text += "the history is in memory and ends with the process\n";
    }
    text
}

fn history_text(data: &Value) -> String {
    let steps: Vec<Record> = serde_json::from_value(data["steps"].clone()).unwrap_or_default();
    let mut text = String::new();
    for record in steps {
        let what = match &record.step {
            Step::Began { change } => format!("began with {} (digest {})", change.why, short(&change.digest)),
            Step::Staged { change } => {
                let why = if change.why.is_empty() { String::new() } else { format!(": {}", change.why) };
                format!("staged by {}{why} (digest {})", change.who, short(&change.digest))
            }
            Step::Dropped { why } => format!("dropped {why}"),
            Step::Voting { terms } => format!("applied by {}, waits for the other gateways", terms.who),
            Step::Voted { round } => format!("voted in round {round}"),
            Step::Held { why } => format!("held: {why}"),
            Step::Armed { round } => format!("all gateways have it (round {round})"),
            Step::Trial { until, .. } => format!("on trial, for {:.1} s", (until - record.at) / 1000.0),
            Step::Slot { .. } => continue,
            Step::Confirmed { who } => format!("confirmed by {who}"),
            Step::RolledBack { why } => format!("rolled back: {why}"),
            Step::InDoubt { why } => format!("in doubt: {why}"),
            Step::Settled { who } => format!("doubt ended by {who}"),
        };
        text += &format!("{}  epoch {:<4} {what}\n", utc(record.at), record.epoch);
    }
    if data["lasting"] == json!(false) {
        text += "in memory: it ends with the process\n";
    }
    text
}

fn short(digest: &str) -> &str {
    &digest[..digest.len().min(12)]
}

/// Unix ms as UTC, to the millisecond. (Howard Hinnant, "chrono-compatible low-level date algorithms".)
fn utc(at: f64) -> String {
    let ms = at.max(0.0) as i64;
    let (days, rest) = (ms.div_euclid(86_400_000), ms.rem_euclid(86_400_000));
    let shifted = days + 719_468;
    let era = shifted.div_euclid(146_097);
    let day_of_era = shifted.rem_euclid(146_097);
    let year_of_era = (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_part = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_part + 2) / 5 + 1;
    let month = if month_part < 10 { month_part + 3 } else { month_part - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    let (hours, minutes) = (rest / 3_600_000, rest / 60_000 % 60);
    format!(
        "{year:04}-{month:02}-{day:02}T{hours:02}:{minutes:02}:{:02}.{:03}Z",
        rest / 1000 % 60,
        rest % 1000
    )
}

/// Shows a trial's progress until its end. Fails if it is taken back or held.
fn follow(gateway: &Gateway, begun: &Told, terminal: bool) -> Result<(), Failure> {
    let epoch = begun.data["change"]["epoch"].clone();
    loop {
        let told = gateway.at.ask(&Ask::Status)?;
        let phase = told.data["phase"].as_str().unwrap_or_default();
        if matches!(phase, "voting" | "armed" | "trial") && told.data["change"]["epoch"] == epoch {
            if terminal && !gateway.at.json {
                let line = status_text(&told.data);
                let line = line.lines().next().unwrap_or_default().to_string();
                eprint!("\r\x1b[K{line}");
            }
            std::thread::sleep(LOOK_EVERY);
            continue;
        }
        if terminal && !gateway.at.json {
            eprint!("\r\x1b[K");
        }
        let history = gateway.at.ask(&Ask::History)?;
        let steps: Vec<Record> = serde_json::from_value(history.data["steps"].clone()).unwrap_or_default();
        let ours = |record: &&Record| json!(record.epoch) == epoch;
        let ended = steps.iter().rev().filter(ours).find_map(|record| match &record.step {
            Step::Confirmed { who } => Some(Ok(format!("epoch {epoch} is confirmed by {who}"))),
            Step::RolledBack { why } => Some(Err(format!("epoch {epoch} is rolled back: {why}"))),
            Step::Held { why } => Some(Err(format!("epoch {epoch} is held: {why}"))),
            Step::InDoubt { why } => Some(Err(format!("epoch {epoch} is in doubt: {why}"))),
            Step::Dropped { why } => Some(Err(format!("epoch {epoch} is dropped {why}"))),
            _ => None,
        });
        return match ended {
            Some(Ok(text)) => {
                print(gateway.at.json, &told.data, || format!("{text}\n"));
                Ok(())
            }
            Some(Err(why)) => Err(Failure::Failed(why)),
            None => Err(Failure::Failed(format!("epoch {epoch} is no longer under way"))),
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_are_read_and_told() {
        assert_eq!(duration("60s"), Ok(Duration::from_secs(60)));
        assert_eq!(duration("500ms"), Ok(Duration::from_millis(500)));
        assert_eq!(duration("1.5m"), Ok(Duration::from_secs(90)));
        for bad in ["", "s", "0", "-1s", "2d", "25h", "1s1"] {
            assert!(duration(bad).is_err(), "{bad}");
        }
        assert_eq!(utc(0.0), "1970-01-01T00:00:00.000Z");
        assert_eq!(utc(951_782_400_123.0), "2000-02-29T00:00:00.123Z");
        assert_eq!(utc(1_796_083_199_999.0), "2026-11-30T23:59:59.999Z");
    }
}
