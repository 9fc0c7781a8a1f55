//! Storms and written timelines of faults over real gateway processes, checked by what stand-ins and clients saw.

use clap::{Parser, Subcommand};
use nickeljunction_testkit::rig::{play, Act, Report, Timeline, QUIET_MS};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use svg::node::element::{Line, Rectangle, Text};

/// Starts gateways as processes on loopback with stand-ins and a faulty network between all of them. Exit codes: 0 the
/// rules held and the views agree, 1 a rule was broken or they do not, 2 bad use.
#[derive(Debug, Parser)]
#[command(name = "nickeljunction-rig", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play a storm that a seed draws
    Storm {
        #[command(flatten)]
        drawn: Drawn,
        #[command(flatten)]
        run: Run,
    },
    /// Play a written timeline (JSON)
    Play {
        /// The file
        file: PathBuf,
        #[command(flatten)]
        run: Run,
    },
    /// Print the timeline that a seed draws, to be edited and played
    Draw(Drawn),
    /// Measure: a crash, a start, halves that part and heal, at some sizes, with the view and without
    Measure {
        /// Sizes, 2 to 64 each
        #[arg(default_values_t = [2, 4, 16])]
        sizes: Vec<usize>,
        /// The gateway program
        #[arg(long, value_name = "FILE", default_value = "target/release/nickeljunction")]
        program: PathBuf,
    },
    /// Print the summary of a report, and draw its timeline
    Show {
        /// The report
        report: PathBuf,
        /// Where to draw to
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
    },
}

/// What a storm is drawn from.
#[derive(Debug, clap::Args)]
struct Drawn {
    /// Gateways, 2 to 64
    #[arg(long, default_value = "8", value_parser = clap::value_parser!(u16).range(2..=64))]
    gateways: u16,
    /// Length of the faults, s; quiet follows
    #[arg(long, default_value = "30", value_parser = clap::value_parser!(u16).range(10..=800))]
    seconds: u16,
    /// The seed
    #[arg(long, default_value = "1")]
    seed: u64,
}

impl Drawn {
    fn timeline(&self) -> Timeline {
        Timeline::storm(self.gateways.into(), self.seconds.into(), self.seed)
    }
}

#[derive(Debug, clap::Args)]
struct Run {
    /// The gateway program
    #[arg(long, value_name = "FILE", default_value = "target/release/nickeljunction")]
    program: PathBuf,
    /// Write the report here (JSON)
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// The gateways keep no view of the fleet: the run to compare with
    #[arg(long)]
    without_view: bool,
    /// Print no acts as they are done
    #[arg(long)]
    quiet: bool,
}

fn read<T: serde::de::DeserializeOwned>(file: &Path, wanted: &str) -> Result<T, String> {
    let text = std::fs::read_to_string(file).map_err(|why| format!("{}: {why}", file.display()))?;
    serde_json::from_str(&text).map_err(|why| format!("{}: {why}; {wanted} is wanted", file.display()))
}

fn print(text: &str) {
    // A reader that has gone away, as `| head` does, is no failure.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn run(mut line: Timeline, with: &Run) -> Result<bool, String> {
    if !with.program.is_file() {
        return Err(format!("--program: {} is not there: build it first", with.program.display()));
    }
    line.view &= !with.without_view;
    let stop = Arc::new(AtomicBool::new(false));
    // Interrupted, it ends in order: every gateway that it started goes with it.
    let mut signals = signal_hook::iterator::Signals::new([2, 15, 1]).map_err(|why| why.to_string())?;
    let flag = stop.clone();
    std::thread::spawn(move || signals.forever().for_each(|_| flag.store(true, Ordering::Relaxed)));
    let program = with.program.display().to_string();
    let report = play(&program, &line, &stop, |text| {
        if !with.quiet {
            eprintln!("{text}");
        }
    })?;
    print(&report.summary());
    if let Some(file) = &with.report {
        let text = serde_json::to_string(&report).map_err(|why| why.to_string())?;
        std::fs::write(file, text).map_err(|why| format!("--report: {}: {why}", file.display()))?;
    }
    if stop.load(Ordering::Relaxed) {
        return Err("interrupted: the report tells the part that was played".into());
    }
    Ok(report.fine())
}

/// One line of the table over sockets.
fn measure(program: &str, gateways: usize) -> Result<bool, String> {
    let stop = AtomicBool::new(false);
    let half = (0..gateways).map(|at| u8::from(at < gateways / 2)).collect();
    let line = Timeline::calm(gateways, 44)
        .at(10_000, Act::Kill { gateway: gateways - 1 })
        .at(18_000, Act::Start { gateway: gateways - 1, old: false })
        .at(28_000, Act::Partition { sides: half })
        .at(44_000, Act::Heal);
    let with = play(program, &line, &stop, |_| ())?;
    let without = play(program, &Timeline { view: false, ..line.clone() }, &stop, |_| ())?;
    let seconds = line.length_ms as f64 / 1_000.0;
    let mean = |of: &[f64]| of.iter().sum::<f64>() / of.len().max(1) as f64;
    let cpu = |report: &Report| mean(&report.cpu_s) / seconds * 100.0;
    let served = |report: &Report| 100.0 * report.served as f64 / report.requests.max(1) as f64;
    let crash = with.noticed(10_000.0, 18_000.0, gateways as u64 - 1);
    let cut = with.noticed(28_000.0, 44_000.0, (gateways as u64).div_ceil(2));
    let at = |times: &[f64], part: f64| {
        times
            .get(((times.len().max(1) - 1) as f64 * part).round() as usize)
            .map_or("-".into(), |ms| format!("{ms:.0}"))
    };
    println!(
        "{gateways:>4} gateways: crash known to half {} all {} ms; cut {} {} ms; heal settled {} ms; {:.1} messages/s \
        each, {:.1} most; processor {:.2}% of a core each ({:.2}% without); {:.1} MiB ({:.1}); served {:.2}% ({:.2}%); \
        broken rules {} ({})",
        at(&crash, 0.5),
        at(&crash, 1.0),
        at(&cut, 0.5),
        at(&cut, 1.0),
        with.settled_ms.map_or("not".into(), |ms| format!("{ms:.0}")),
        with.sent_per_s.0,
        with.sent_per_s.1,
        cpu(&with),
        cpu(&without),
        mean(&with.memory_mb),
        mean(&without.memory_mb),
        served(&with),
        served(&without),
        with.broken.len(),
        without.broken.len(),
    );
    Ok(with.fine() && without.fine())
}

fn draw(report: &Report) -> svg::Document {
    let (left, width, row) = (60.0, 1_100.0, 14.0);
    let length = report.timeline.length_ms as f64;
    let gateways = report.timeline.gateways;
    let x = |ms: f64| left + ms / length * width;
    let text = |at_x: f64, at_y: f64, what: &str| {
        Text::new(what).set("x", at_x).set("y", at_y).set("font-size", 10).set("font-family", "sans-serif")
    };
    let height = 60.0 + row * gateways as f64 + 160.0;
    let mut document = svg::Document::new().set("viewBox", (0.0, 0.0, left + width + 20.0, height));
    document = document.add(text(
        left,
        14.0,
        "what each gateway holds to live (green: all that do; red: fewer); acts",
    ));
    for step in &report.done {
        let at = x(step.at_ms as f64);
        let line =
            Line::new().set("x1", at).set("x2", at).set("y1", 24).set("y2", 40.0 + row * gateways as f64);
        document = document.add(line.set("stroke", "#bbbbbb").set("stroke-width", 0.5));
    }
    for look in &report.looks {
        let part = look.likely as f64 / gateways as f64;
        let colour = format!("rgb({:.0},{:.0},80)", 230.0 * (1.0 - part), 60.0 + 140.0 * part);
        let block = Rectangle::new().set("x", x(look.at)).set("y", 30.0 + row * look.gateway as f64);
        document = document
            .add(block.set("width", 250.0 / length * width).set("height", row - 2.0).set("fill", colour));
    }
    for gateway in 0..gateways {
        document = document.add(text(6.0, 40.0 + row * gateway as f64, &format!("n{gateway}")));
    }
    let base = 50.0 + row * gateways as f64 + 120.0;
    let most = report.by_second.iter().map(|(served, other)| served + other).max().unwrap_or(1).max(1) as f64;
    document = document.add(text(left, base - 108.0, "requests by second: served, others (red)"));
    for (second, (served, other)) in report.by_second.iter().enumerate() {
        let (at, wide) = (x(second as f64 * 1_000.0), 1_000.0 / length * width - 1.0);
        let (good, bad) = (*served as f64 / most * 100.0, *other as f64 / most * 100.0);
        let bar = |y: f64, tall: f64, fill: &str| {
            let bar = Rectangle::new().set("x", at).set("y", y).set("width", wide).set("height", tall);
            bar.set("fill", fill)
        };
        document =
            document.add(bar(base - good, good, "#4a8f5a")).add(bar(base - good - bad, bad, "#c0392b"));
    }
    document.add(text(
        left,
        base + 14.0,
        &format!("0 to {:.0} s; the last {:.0} s are quiet", length / 1e3, QUIET_MS as f64 / 1e3),
    ))
}

fn command(command: Command) -> Result<bool, String> {
    match command {
        Command::Storm { drawn, run: with } => run(drawn.timeline(), &with),
        Command::Play { file, run: with } => run(read(&file, "a timeline such as 'draw' prints")?, &with),
        Command::Draw(drawn) => {
            let line = drawn.timeline();
            print(&(serde_json::to_string_pretty(&line).map_err(|why| why.to_string())? + "\n"));
            Ok(true)
        }
        Command::Measure { sizes, program } => {
            let program = program.display().to_string();
            let mut fine = true;
            for gateways in sizes {
                fine &= measure(&program, gateways)?;
            }
            Ok(fine)
        }
        Command::Show { report, svg: to } => {
            let report: Report = read(&report, "a report of 'storm' or 'play'")?;
            print(&report.summary());
            if let Some(to) = to {
                svg::save(&to, &draw(&report)).map_err(|why| format!("--svg: {}: {why}", to.display()))?;
            }
            Ok(report.fine())
        }
    }
}

fn main() -> ExitCode {
    match command(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("nickeljunction-rig: {why}");
            ExitCode::from(2)
        }
    }
}
