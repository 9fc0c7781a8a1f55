//! `nickeljunction trace ...`: what gateways saw and decided. One block of a file is in memory at a time.

use crate::record::ENDING;
use crate::serve::Failure;
use clap::{Args, Subcommand};
use nickeljunction_core::facade::{Outcome, RequestKey, Settings};
use nickeljunction_decide::wire::Line;
use nickeljunction_trace::event::{Ending, Event, TICKS_PER_MS};
use nickeljunction_trace::file::{Header, Reader, Writer};
use nickeljunction_trace::replay::Replay;
use nickeljunction_trace::summary::{Summary, OUTCOMES};
use nickeljunction_trace::TraceError;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

#[derive(Debug, Subcommand)]
pub(super) enum Trace {
    /// Tell what a trace holds: gateway, times, blocks, damage
    Info {
        #[command(flatten)]
        files: Files,
    },
    /// Print events, one a line
    Cat {
        #[command(flatten)]
        files: Files,
        #[command(flatten)]
        which: Which,
    },
    /// Write the events of a time or a franchisee into a trace of their own
    Cut {
        #[command(flatten)]
        files: Files,
        #[command(flatten)]
        which: Which,
        /// The trace to write
        #[arg(long, short, value_name = "FILE")]
        out: PathBuf,
    },
    /// Check every block of a trace
    Verify {
        #[command(flatten)]
        files: Files,
    },
    /// Write what can still be read of a damaged trace, with an index
    Repair {
        /// The trace
        file: PathBuf,
        /// The trace to write
        #[arg(long, short, value_name = "FILE")]
        out: PathBuf,
    },
    /// Tell the life of a request: by its id, its idempotency key, or all of a franchisee
    Story {
        #[command(flatten)]
        files: Files,
        /// The request's id
        #[arg(long, value_name = "ID")]
        request: Option<String>,
        /// Its idempotency key
        #[arg(long, value_name = "KEY")]
        key: Option<String>,
        /// All requests of this franchisee
        #[arg(long, value_name = "N")]
        franchisee: Option<u64>,
    },
    /// Tell what traces come to: service by class and plan, attempts, regions, counter, latencies
    Summary {
        #[command(flatten)]
        files: Files,
    },
    /// Run a trace through the decision module again and tell the first verdict that differs
    Replay {
        #[command(flatten)]
        files: Files,
    },
}

#[derive(Debug, Args)]
pub(super) struct Files {
    /// Traces, or folders of them; those of one gateway are read in the order of their beginning
    #[arg(required = true)]
    paths: Vec<PathBuf>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
pub(super) struct Which {
    /// From this time on, Unix ms
    #[arg(long, value_name = "MS")]
    from: Option<f64>,
    /// Up to this time, Unix ms
    #[arg(long, value_name = "MS")]
    to: Option<f64>,
    /// Of this franchisee alone
    #[arg(long, value_name = "N")]
    franchisee: Option<u64>,
}

type Open = Reader<BufReader<File>>;

fn open(path: &Path) -> Result<Open, Failure> {
    let bad = |why: TraceError| Failure::Bad(vec![format!("{}: {why}", path.display())]);
    let file = File::open(path).map_err(|why| bad(why.into()))?;
    Reader::open(BufReader::new(file)).map_err(bad)
}

impl Files {
    /// The files, those of a folder among them, by gateway and beginning.
    fn list(&self) -> Result<Vec<PathBuf>, Failure> {
        let mut found = Vec::new();
        for path in &self.paths {
            if !path.is_dir() {
                found.push(path.clone());
                continue;
            }
            let entries = std::fs::read_dir(path)
                .map_err(|why| Failure::Bad(vec![format!("{}: {why}", path.display())]))?;
            let inside = entries.flatten().map(|entry| entry.path());
            found.extend(inside.filter(|path| path.extension().is_some_and(|ending| ending == ENDING)));
        }
        if found.is_empty() {
            return Err(Failure::Bad(vec![format!("no file that ends in .{ENDING}")]));
        }
        let mut keyed = Vec::new();
        for path in found {
            let reader = open(&path)?;
            let header = reader.header();
            keyed.push((header.gateway.clone(), header.begun_ms, path));
        }
        keyed.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        Ok(keyed.into_iter().map(|(.., path)| path).collect())
    }

    fn print(&self, data: &Value, text: impl FnOnce() -> String) {
        let text = if self.json { format!("{data:#}\n") } else { text() };
        let _ = std::io::stdout().write_all(text.as_bytes());
    }
}

fn ms(time: i64) -> f64 {
    time as f64 / TICKS_PER_MS
}

impl Which {
    fn block(&self, reader: &Open, at: usize) -> bool {
        let block = &reader.blocks()[at];
        self.from.is_none_or(|from| ms(block.last) >= from)
            && self.to.is_none_or(|to| ms(block.first) <= to)
            && self.franchisee.is_none_or(|number| block.franchisees.binary_search(&number).is_ok())
    }

    fn time(&self, time: i64) -> bool {
        self.from.is_none_or(|from| ms(time) >= from) && self.to.is_none_or(|to| ms(time) <= to)
    }

    /// Reads the index that this needs.
    fn prepare(&self, path: &Path, reader: &mut Open) -> Result<(), Failure> {
        if self.franchisee.is_some() {
            reader.franchisees().map_err(|why| Failure::Bad(vec![format!("{}: {why}", path.display())]))?;
        }
        Ok(())
    }
}

/// Follows which requests are a franchisee's, so that their later events are known for its own.
#[derive(Default)]
struct Own(BTreeSet<RequestKey>);

impl Own {
    fn is(&mut self, franchisee: u64, event: &Event) -> bool {
        if let Event::Taken { request, intake, .. } = event {
            if intake.customer == franchisee {
                self.0.insert(*request);
                return true;
            }
            return false;
        }
        match (event.franchisee(), event.request()) {
            (Some(named), _) => named == franchisee,
            (None, Some(request)) => self.0.contains(&request),
            (None, None) => matches!(event, Event::Boot { .. } | Event::Tuned { .. } | Event::Dropped { .. }),
        }
    }
}

/// Goes through the events that are asked for, block by block.
fn each(
    files: &Files,
    which: &Which,
    mut take: impl FnMut(&Header, i64, &Event) -> Result<bool, Failure>,
) -> Result<(u64, u64), Failure> {
    let (mut read, mut whole) = (0, 0);
    for path in files.list()? {
        let mut reader = open(&path)?;
        which.prepare(&path, &mut reader)?;
        let mut own = Own::default();
        let header = reader.header().clone();
        'file: for at in 0..reader.blocks().len() {
            if !which.block(&reader, at) {
                continue;
            }
            let events =
                reader.events(at).map_err(|why| Failure::Bad(vec![format!("{}: {why}", path.display())]))?;
            for (time, event) in &events {
                let ours = which.franchisee.is_none_or(|number| own.is(number, event));
                if ours && which.time(*time) && !take(&header, *time, event)? {
                    break 'file;
                }
            }
        }
        read += reader.bytes_read();
        whole += std::fs::metadata(&path).map_or(0, |about| about.len());
    }
    Ok((read, whole))
}

pub(super) fn run(trace: Trace) -> Result<(), Failure> {
    match trace {
        Trace::Info { files } => info(&files),
        Trace::Cat { files, which } => {
            let mut out = BufWriter::new(std::io::stdout().lock());
            each(&files, &which, |header, time, event| {
                let line = if files.json {
                    json!({"gateway": header.gateway, "ms": ms(time), "event": format!("{event:?}")})
                        .to_string()
                } else {
                    format!("{:.3} {} {event:?}", ms(time), header.gateway)
                };
                // A reader that has gone away ends it.
                Ok(writeln!(out, "{line}").is_ok())
            })?;
            Ok(())
        }
        Trace::Cut { files, which, out } => cut(&files, &which, &out),
        Trace::Verify { files } => verify(&files),
        Trace::Repair { file, out } => repair(&file, &out),
        Trace::Story { files, request, key, franchisee } => story(&files, request, key, franchisee),
        Trace::Summary { files } => summary(&files),
        Trace::Replay { files } => replay(&files),
    }
}

fn info(files: &Files) -> Result<(), Failure> {
    let mut rows = Vec::new();
    let mut text = String::new();
    for path in files.list()? {
        let reader = open(&path)?;
        let length = std::fs::metadata(&path).map_or(0, |about| about.len());
        let events: u64 = reader.blocks().iter().map(|block| u64::from(block.events)).sum();
        let first = reader.blocks().first().map_or(0.0, |block| ms(block.first));
        let last = reader.blocks().last().map_or(0.0, |block| ms(block.last));
        let damage: Vec<String> = reader.damage().iter().map(ToString::to_string).collect();
        text += &format!(
            "{}\n  gateway {}, {length} bytes, {} blocks, {events} events, {:.1} s from {first:.0}, {}\n",
            path.display(),
            reader.header().gateway,
            reader.blocks().len(),
            (last - first) / 1000.0,
            if reader.indexed() { "indexed" } else { "without its end: scanned" },
        );
        damage.iter().for_each(|why| text += &format!("  {why}\n"));
        rows.push(json!({"file": path.display().to_string(), "gateway": reader.header().gateway,
            "bytes": length, "blocks": reader.blocks().len(), "events": events, "first_ms": first,
            "last_ms": last, "indexed": reader.indexed(), "damage": damage}));
    }
    files.print(&json!(rows), || text);
    Ok(())
}

fn writer(out: &Path, header: &Header) -> Result<Writer<BufWriter<File>>, Failure> {
    let file = File::options().write(true).create_new(true).open(out);
    let file = file.map_err(|why| Failure::Bad(vec![format!("{}: {why}", out.display())]))?;
    Writer::new(BufWriter::new(file), header).map_err(|why| Failure::Failed(why.to_string()))
}

fn cut(files: &Files, which: &Which, out: &Path) -> Result<(), Failure> {
    let mut to: Option<Writer<BufWriter<File>>> = None;
    let mut events = 0u64;
    let (read, whole) = each(files, which, |header, time, event| {
        let to = match &mut to {
            Some(to) => to,
            None => to.insert(writer(out, header)?),
        };
        to.add(time, event).map_err(|why| Failure::Failed(why.to_string()))?;
        events += 1;
        Ok(true)
    })?;
    let Some(to) = to else { return Err(Failure::Failed("nothing fits: no trace is written".into())) };
    to.end().map_err(|why| Failure::Failed(why.to_string()))?;
    let share = read as f64 / whole.max(1) as f64;
    files.print(&json!({"events": events, "read": read, "of": whole}), || {
        format!("{events} events; {read} of {whole} bytes were read ({:.1}%)\n", share * 100.0)
    });
    Ok(())
}

fn verify(files: &Files) -> Result<(), Failure> {
    let (mut blocks, mut events, mut bad) = (0u64, 0u64, Vec::new());
    for path in files.list()? {
        let mut reader = open(&path)?;
        bad.extend(reader.damage().iter().map(|why| format!("{}: {why}", path.display())));
        for at in 0..reader.blocks().len() {
            match reader.events(at) {
                Ok(read) => (blocks, events) = (blocks + 1, events + read.len() as u64),
                Err(why) => bad.push(format!("{}: {why}", path.display())),
            }
        }
    }
    files.print(&json!({"blocks": blocks, "events": events, "damage": bad}), || {
        format!("{blocks} blocks with {events} events are whole\n")
    });
    if bad.is_empty() {
        Ok(())
    } else {
        Err(Failure::Failed(bad.join("\n")))
    }
}

fn repair(file: &Path, out: &Path) -> Result<(), Failure> {
    let mut reader = open(file)?;
    let mut to = writer(out, reader.header())?;
    let (mut events, mut lost) = (0u64, reader.damage().len());
    for at in 0..reader.blocks().len() {
        let Ok(read) = reader.events(at) else {
            lost += 1;
            continue;
        };
        for (time, event) in &read {
            to.add(*time, event).map_err(|why| Failure::Failed(why.to_string()))?;
        }
        events += read.len() as u64;
    }
    to.end().map_err(|why| Failure::Failed(why.to_string()))?;
    println!("{events} events are kept; {lost} places could not be read");
    Ok(())
}

/// What is known of one request.
#[derive(Default)]
struct Life {
    id: String,
    key: String,
    lines: Vec<(i64, String)>,
    /// Attempts that may have run it, by region.
    may_have_run: Vec<String>,
    answered: bool,
    /// Attempts that are out.
    out: usize,
}

fn story(
    files: &Files,
    request: Option<String>,
    key: Option<String>,
    franchisee: Option<u64>,
) -> Result<(), Failure> {
    if [request.is_some(), key.is_some(), franchisee.is_some()].iter().filter(|given| **given).count() != 1 {
        return Err(Failure::Bad(vec!["name one of --request, --key, --franchisee".into()]));
    }
    let mut lives: BTreeMap<(String, u64, RequestKey), Life> = BTreeMap::new();
    for path in files.list()? {
        let mut reader = open(&path)?;
        let bad = |why: TraceError| Failure::Bad(vec![format!("{}: {why}", path.display())]);
        reader.franchisees().map_err(bad)?;
        reader.ids().map_err(bad)?;
        let gateway = reader.header().gateway.clone();
        let mut process = 0u64;
        let mut open_ones: BTreeSet<RequestKey> = BTreeSet::new();
        for at in 0..reader.blocks().len() {
            let block = &reader.blocks()[at];
            let named = request.iter().chain(&key).any(|id| block.may_hold(id))
                || franchisee.is_some_and(|number| block.franchisees.binary_search(&number).is_ok());
            if !named && open_ones.is_empty() {
                continue;
            }
            for (time, event) in reader.events(at).map_err(bad)? {
                if let Event::Boot { .. } = event {
                    process = time as u64;
                    open_ones.clear();
                }
                if let Event::Taken { request: number, id, key: its_key, intake } = &event {
                    let ours = request.as_ref().is_some_and(|wanted| wanted == id)
                        || key.as_ref().is_some_and(|wanted| wanted == its_key)
                        || franchisee == Some(intake.customer);
                    if ours {
                        open_ones.insert(*number);
                        let life = lives.entry((gateway.clone(), process, *number)).or_default();
                        (life.id, life.key) = (id.clone(), its_key.clone());
                    }
                }
                let Some(number) = event.request().filter(|number| open_ones.contains(number)) else {
                    continue;
                };
                let life = lives.entry((gateway.clone(), process, number)).or_default();
                life.lines.push((time, format!("{gateway}: {}", line(&event))));
                match &event {
                    Event::Route(_) => life.out += 1,
                    Event::Ended { region, outcome, closed, .. } => {
                        let never = [Outcome::Rejected, Outcome::CouldNotConnect, Outcome::NotSent];
                        if !never.contains(outcome) {
                            life.may_have_run.push(region.clone());
                        }
                        life.out = life.out.saturating_sub(1);
                        life.answered |= *closed;
                    }
                    Event::Answered(..) | Event::Left(_) => life.answered = true,
                    _ => {}
                }
                // A life is over with its answer and its last attempt; the blocks behind need not be read for it.
                if life.answered && life.out == 0 && matches!(event, Event::Answered(..) | Event::Left(_)) {
                    open_ones.remove(&number);
                }
            }
        }
    }
    if lives.is_empty() {
        return Err(Failure::Failed("no such request in these traces".into()));
    }
    let mut lives: Vec<Life> = lives.into_values().collect();
    lives.sort_by_key(|life| life.lines.first().map(|(time, _)| *time));
    // A key that went through two gateways, or came twice, is one booking.
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for life in &lives {
        let booking = if life.key.is_empty() { &life.id } else { &life.key };
        runs.entry(booking.clone()).or_default().extend(life.may_have_run.clone());
    }
    let mut text = String::new();
    for life in &lives {
        text += &format!(
            "request {}{}\n",
            life.id,
            if life.key.is_empty() { String::new() } else { format!(", key {}", life.key) }
        );
        let first = life.lines.first().map_or(0, |(time, _)| *time);
        for (time, line) in &life.lines {
            text += &format!("  {:.3} (+{:.1} ms) {line}\n", ms(*time), ms(*time - first));
        }
    }
    for (booking, regions) in &runs {
        let said = match regions.len() {
            0 => "ran nowhere".to_string(),
            1 => format!("ran once at most, at {}", regions[0]),
            _ => format!("MAY HAVE RUN {} TIMES, at {}", regions.len(), regions.join(" and ")),
        };
        text += &format!("{booking}: {said}\n");
    }
    let data = json!({
        "requests": lives.iter().map(|life| json!({"id": life.id, "key": life.key,
            "lines": life.lines.iter().map(|(time, line)| json!({"ms": ms(*time), "what": line})).collect::<Vec<_>>(),
            "may_have_run": life.may_have_run})).collect::<Vec<_>>(),
        "runs": runs,
    });
    files.print(&data, || text);
    Ok(())
}

/// An event in plain words.
fn line(event: &Event) -> String {
    match event {
        Event::Taken { intake, .. } => format!(
            "taken in as {}{} under plan {} for franchisee {}, {} units, the client waits {:.0} ms{}",
            intake.class,
            if intake.never_twice { " (never twice)" } else { "" },
            intake.plan,
            intake.customer,
            intake.units,
            intake.timeout_ms,
            if intake.retry { ", a client's retry" } else { "" },
        ),
        Event::Route(task) => format!("attempt {} goes to {}", task.attempt, task.region),
        Event::Ended { attempt, region, outcome, latency_ms, settled, .. } => {
            let what = match outcome {
                Outcome::Served => "was served",
                Outcome::Error => "failed there; it may have run",
                Outcome::Rejected => "was turned away unseen; it never ran",
                Outcome::CouldNotConnect => "never reached it; it never ran",
                Outcome::Reset => "broke off; it may have run",
                Outcome::Unreadable => "came back unreadable; it has run",
                Outcome::TimedOut => "was given up; it may have run, or may yet",
                Outcome::Canceled => "was called off, another one did it; it may have run",
                Outcome::NotSent => "was never sent",
            };
            let units = if *settled > 0.0 { format!(", {settled} units") } else { String::new() };
            format!("attempt {attempt} at {region} {what} ({latency_ms:.1} ms{units})")
        }
        Event::Left(_) => "the client left, or its time was over".into(),
        Event::Short(_, pause) => format!("the module refuses it (come back after {pause:.0} ms)"),
        Event::Fail(_) => "the module fails it".into(),
        Event::GiveUp(_, attempt) => format!("attempt {attempt} is given up"),
        Event::Answered(_, Ending::Served(status)) => format!("the client is answered with {status}"),
        Event::Answered(_, Ending::ShortOnCapacity(_)) => "the client is refused with 503".into(),
        Event::Answered(_, Ending::Failed) => "the client is told that it failed (502)".into(),
        other => format!("{other:?}"),
    }
}

fn summary(files: &Files) -> Result<(), Failure> {
    let mut summary = Summary::default();
    let (mut process, mut former) = (0u64, String::new());
    each(files, &Which { from: None, to: None, franchisee: None }, |header, time, event| {
        // Requests are numbered by process: each gateway and each boot counts by itself.
        if header.gateway != former || matches!(event, Event::Boot { .. }) {
            process += 1;
            former.clone_from(&header.gateway);
        }
        summary.add(process, time, event);
        Ok(true)
    })?;
    let rows: Vec<Value> = summary
        .service()
        .map(|(class, plan, service)| {
            json!({"class": class, "plan": plan, "taken": service.taken, "served": service.served,
                "refused": service.refused, "failed": service.failed, "open": service.open,
                "retries": service.retries, "units": service.milliunits as f64 / 1000.0})
        })
        .collect();
    let regions: BTreeMap<&String, BTreeMap<&str, u64>> = summary
        .regions
        .iter()
        .map(|(region, counts)| (region, OUTCOMES.into_iter().zip(*counts).collect()))
        .collect();
    let parts = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999), ("most", 1.0)];
    let latencies: BTreeMap<&str, f64> =
        parts.into_iter().map(|(name, part)| (name, summary.latency_ms(part))).collect();
    let seconds = (summary.last.saturating_sub(summary.first)).max(0) as f64 / TICKS_PER_MS / 1000.0;
    let replies: BTreeMap<&str, u64> = ["totals", "busy", "no connection", "timed out", "answered late"]
        .into_iter()
        .zip(summary.replies)
        .collect();
    let data = json!({"seconds": seconds, "service": rows, "regions": regions, "latency_ms": latencies,
        "counter": {"calls": summary.calls, "replies": replies}, "boots": summary.boots,
        "tunings": summary.tunings, "dropped_events": summary.dropped});
    files.print(&data, || {
        let mut text =
            format!("{seconds:.1} s, {} boots, {} changes of figures\n\n", summary.boots, summary.tunings);
        text += &format!(
            "{:<16} {:<12} {:>8} {:>8} {:>8} {:>8} {:>6} {:>8} {:>10}\n",
            "class", "plan", "taken", "served", "refused", "failed", "open", "retries", "units"
        );
        for (class, plan, service) in summary.service() {
            text += &format!(
                "{class:<16} {plan:<12} {:>8} {:>8} {:>8} {:>8} {:>6} {:>8} {:>10.1}\n",
                service.taken,
                service.served,
                service.refused,
                service.failed,
                service.open,
                service.retries,
                service.milliunits as f64 / 1000.0
            );
        }
        text += &format!("\n{:<20}", "region");
        OUTCOMES.iter().for_each(|outcome| text += &format!(" {outcome:>13}"));
        for (region, counts) in &summary.regions {
            text += &format!("\n{region:<20}");
            counts.iter().for_each(|count| text += &format!(" {count:>13}"));
        }
        text += &format!("\n\ncounter: {} calls; replies", summary.calls);
        replies.iter().for_each(|(reply, count)| text += &format!(" {reply} {count},"));
        text = text.trim_end_matches(',').to_string();
        text += "\nserved in ms:";
        parts.iter().for_each(|(name, part)| text += &format!(" {name} {:.1}", summary.latency_ms(*part)));
        text.push('\n');
        if summary.dropped > 0 {
            text += &format!("{} events are missing: the recorder could not keep up\n", summary.dropped);
        }
        text
    });
    Ok(())
}

fn settings(pairs: &[(String, String)]) -> Result<Settings, String> {
    Line::from_pairs("settings", pairs).settings().map_err(|why| why.to_string())
}

fn replay(files: &Files) -> Result<(), Failure> {
    let (mut gateways, mut differs) = (Vec::new(), Vec::new());
    let mut under_way: Option<(String, Replay)> = None;
    let mut done = |name: String, replay: Replay| {
        let (inputs, verdicts, blind) = (replay.inputs, replay.verdicts, replay.blind);
        gateways.push(json!({"gateway": name, "inputs": inputs, "verdicts": verdicts, "blind": blind}));
    };
    for path in files.list()? {
        let mut reader = open(&path)?;
        let name = reader.header().gateway.clone();
        let mut replay = match under_way.take() {
            Some((former, replay)) if former == name => replay,
            Some((former, replay)) => {
                done(former, replay);
                Replay::default()
            }
            None => Replay::default(),
        };
        'file: for at in 0..reader.blocks().len() {
            let events =
                reader.events(at).map_err(|why| Failure::Bad(vec![format!("{}: {why}", path.display())]))?;
            for (time, event) in &events {
                if let Err(why) = replay.feed(*time, event, &settings) {
                    differs.push(format!(
                        "{}: event {} at {:.3}: recorded {:?}, decided now {:?}",
                        path.display(),
                        why.event,
                        ms(why.time),
                        why.recorded,
                        why.decided
                    ));
                    replay.blind = true;
                    break 'file;
                }
            }
        }
        under_way = Some((name, replay));
    }
    if let Some((name, replay)) = under_way {
        done(name, replay);
    }
    let data = json!({"gateways": gateways, "differs": differs});
    files.print(&data, || {
        let rows = gateways.iter().map(|row| {
            format!(
                "{}: {} events fed, {} verdicts are the same{}\n",
                row["gateway"].as_str().unwrap_or_default(),
                row["inputs"],
                row["verdicts"],
                if row["blind"] == json!(true) { "; not all could be compared" } else { "" }
            )
        });
        rows.collect()
    });
    if differs.is_empty() {
        Ok(())
    } else {
        Err(Failure::Failed(differs.join("\n")))
    }
}
