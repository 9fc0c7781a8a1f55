//! Figures of configuration transactions over real processes. Needs the machine to itself.
//!
//! `cargo bench -p nickeljunction --bench changes` makes all; an argument picks some: `rollback`, `swap`, `cpu`;
//! `runs=20` sets how often. With `OTHER=path/to/a/gateway` the costs are paired with those of another build.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::{document, spoilt, Fleet, BAD, QUIET, SMALL_PLAN};
use std::time::Duration;

const LONG: Duration = Duration::from_secs(60);

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Seconds from the first bad answer to the last, with everything counted by clients and regions.
fn rollback(runs: usize) {
    println!("\nrollback: 190 requests/s, 3 gateways (1 for the plan), {runs} runs each");
    println!("{:<38} {:>9} {:>9} {:>9} {:>8}", "change", "median s", "worst s", "bad, med", "answers");
    let small = ("a plan a hundred times too small", SMALL_PLAN, &[][..]);
    for (name, sections, files) in BAD.into_iter().chain([small]) {
        let gateways = if name == small.0 { 1 } else { 3 };
        let fleet = Fleet::start(gateways, 4);
        let load = fleet.load(190.0);
        sleep(5_000);
        let (mut seconds, mut bad, mut seen) = (Vec::new(), Vec::new(), 0);
        for run in 0..runs {
            // The load ends after a minute: a new one goes on.
            let load = if run == 0 { None } else { Some(fleet.load(190.0)) };
            if load.is_some() {
                sleep(1_000);
            }
            fleet.push(sections, files, "50s");
            fleet.settle(LONG);
            sleep(500);
            let Some(load) = load else { continue };
            let answers = load.stop();
            fleet.check(&answers);
            let (count, took) = spoilt(&answers);
            seconds.push(took);
            bad.push(count as f64);
            seen += answers.len();
        }
        let answers = load.stop();
        fleet.check(&answers);
        seen += answers.len();
        let (count, took) = spoilt(&answers);
        if seconds.is_empty() {
            seconds.push(took);
            bad.push(count as f64);
        }
        let worst = seconds.iter().copied().fold(0.0, f64::max);
        println!("{name:<38} {:>9.2} {worst:>9.2} {:>9.0} {seen:>8}", median(&mut seconds), median(&mut bad));
    }
    println!(
        "checked by clients and regions: none left unanswered, none answered twice, no check-in run twice"
    );
}

/// The pause of the core loop at a swap, with 500 routes and 10,000 franchisees known.
fn swap(runs: usize) {
    let fleet = Fleet::start(1, 4);
    let gateway = &fleet.gateways[0];
    // Each franchisee is asked for once, so that the module has an account of it.
    let shape = nickeljunction_testkit::load::Shape {
        line: "GET /slot-lookup/1".into(),
        plan: "standard".into(),
        keyed: false,
        franchisees: 0..10_000,
    };
    let load = nickeljunction_testkit::load::Load::start(vec![gateway.address.clone()], 1_800.0, vec![shape]);
    sleep(6_000);
    let mut routes: Vec<String> = (0..500)
        .map(|at| format!(r#"{{"method":"GET","path":"/desk{at}/{{id}}/part","class":"slot-lookup"}}"#))
        .collect();
    routes.push(r#"{"method":"GET","path":"/slot-lookup/{id}","class":"slot-lookup"}"#.into());
    for run in 0..runs {
        let sections = format!(
            r#""routes":{{"routes":[{}]}},"plans":{{"standard":{{"rate":{}}}}}"#,
            routes.join(","),
            20 + run % 3
        );
        fleet.push(&sections, &[], "50s");
        gateway.done(&["rollback"]);
    }
    let answers = load.stop();
    let served = answers.iter().filter(|answer| answer.status == Some(200)).count();
    let mut took: Vec<f64> = gateway
        .log()
        .iter()
        .filter_map(|line| {
            let text = line.split("took=").nth(1)?.trim();
            let (number, scale) = match text {
                text if text.ends_with("µs") => (text.trim_end_matches("µs"), 1.0),
                text if text.ends_with("ms") => (text.trim_end_matches("ms"), 1_000.0),
                text => (text.trim_end_matches('s'), 1_000_000.0),
            };
            Some(number.parse::<f64>().ok()? * scale)
        })
        .collect();
    let worst = took.iter().copied().fold(0.0, f64::max);
    println!(
        "\nswap: 501 routes, 10,000 franchisees, {} swaps under load ({served} of {} served)",
        took.len(),
        answers.len()
    );
    println!("pause of the core loop: median {:.0} us, worst {worst:.0} us", median(&mut took));
}

/// Processor time a request, in turns: without a document, with a quiet one, on trial, and another build's.
fn cpu(runs: usize) {
    let own = env!("CARGO_BIN_EXE_nickeljunction");
    let other = std::env::var("OTHER").ok();
    let quiet = document(QUIET);
    let mut variants: Vec<(&str, &str, Option<&str>, bool)> = vec![
        ("off", own, None, false),
        ("document", own, Some(&quiet), false),
        ("on trial", own, Some(&quiet), true),
    ];
    if let Some(other) = &other {
        variants.insert(0, ("other build, off", other, None, false));
    }
    let mut costs: Vec<Vec<f64>> = variants.iter().map(|_| Vec::new()).collect();
    for _ in 0..runs {
        for (at, (_, program, document, trial)) in variants.iter().enumerate() {
            let fleet = Fleet::of(program, 1, 4, *document);
            let warm = fleet.load(300.0);
            sleep(1_000);
            warm.stop();
            if *trial {
                fleet.push(r#""limits":{"max_attempts":4}"#, &[], "50s");
            }
            let before = fleet.gateways[0].cpu();
            let load = fleet.load(1_500.0);
            sleep(6_000);
            let answers = load.stop();
            let spent = fleet.gateways[0].cpu() - before;
            costs[at].push(spent / answers.len() as f64 * 1e6);
        }
    }
    println!("\ncpu: us a request at 1,500 requests/s, {runs} rounds in turn");
    let medians: Vec<f64> = costs.iter_mut().map(|costs| median(costs)).collect();
    for ((name, ..), cost) in variants.iter().zip(&medians) {
        println!("{name:<18} {cost:>7.1}   {:.3} of the first", cost / medians[0]);
    }
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).filter(|word| !word.starts_with("--")).collect();
    let runs = words.iter().find_map(|word| word.strip_prefix("runs=")?.parse().ok()).unwrap_or(20);
    let wanted = |name: &str| {
        words.iter().all(|word| word.starts_with("runs=")) || words.iter().any(|word| word == name)
    };
    if wanted("rollback") {
        rollback(runs);
    }
    if wanted("swap") {
        swap(runs);
    }
    if wanted("cpu") {
        cpu((runs / 4).max(3));
    }
}
