//! Figures of configuration transactions over real processes. Needs the machine to itself.
//!
//! `cargo bench -p nickeljunction --bench changes` makes all; an argument picks some: `rollback`, `swap`, `cpu`;
//! `runs=20` sets how often, `only=plan` which changes. With `OTHER=path/to/a/gateway` the costs are paired with those of another build.

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
    let only = std::env::args().find_map(|word| word.strip_prefix("only=").map(str::to_string));
    for (name, sections, files) in BAD.into_iter().chain([small]) {
        if only.as_ref().is_some_and(|only| !name.contains(only.as_str())) {
            continue;
        }
        let gateways = if name == small.0 { 1 } else { 3 };
        let fleet = Fleet::start(gateways, 4);
        // What the guard knows of the time before.
        let warm = fleet.load(190.0);
        sleep(5_000);
        warm.stop();
        let (mut seconds, mut bad, mut seen) = (Vec::new(), Vec::new(), 0);
        for _ in 0..runs {
            let load = fleet.load(190.0);
            sleep(700);
            fleet.push(sections, files, "50s");
            fleet.settle(LONG);
            sleep(400);
            let answers = load.stop();
            fleet.check(&answers);
            let (count, took) = spoilt(&answers);
            seconds.push(took);
            bad.push(count as f64);
            seen += answers.len();
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

/// Processor time a request, side by side: without a document, with a quiet one, on trial, and another build's.
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
    for run in 0..runs {
        // All at the same time: whatever else the machine does, it does to each of them.
        // Started in another order each time, so that no variant always comes first.
        let mut fleets: Vec<Option<Fleet>> = variants.iter().map(|_| None).collect();
        for step in 0..variants.len() {
            let at = (run + step) % variants.len();
            let (_, program, document, _) = variants[at];
            fleets[at] = Some(Fleet::of(program, 1, 3, document));
        }
        let fleets: Vec<Fleet> = fleets.into_iter().flatten().collect();
        let warm: Vec<_> = fleets.iter().map(|fleet| fleet.load(300.0)).collect();
        sleep(1_500);
        warm.into_iter().for_each(|load| drop(load.stop()));
        for (fleet, (.., trial)) in fleets.iter().zip(&variants) {
            if *trial {
                fleet.push(r#""limits":{"max_attempts":4}"#, &[], "50s");
            }
        }
        let before: Vec<f64> = fleets.iter().map(|fleet| fleet.gateways[0].cpu()).collect();
        let loads: Vec<_> = fleets.iter().map(|fleet| fleet.load(400.0)).collect();
        sleep(12_000);
        let answers: Vec<usize> = loads.into_iter().map(|load| load.stop().len()).collect();
        for (at, fleet) in fleets.iter().enumerate() {
            costs[at].push((fleet.gateways[0].cpu() - before[at]) / answers[at] as f64 * 1e6);
        }
    }
    println!(
        "\ncpu: us a request, {} gateways at the same time with 400 requests/s each, {runs} rounds",
        costs.len()
    );
    for (at, (name, ..)) in variants.iter().enumerate() {
        let mut ratios: Vec<f64> = costs[at].iter().zip(&costs[0]).map(|(own, first)| own / first).collect();
        let ratio = median(&mut ratios);
        let (least, most) = (ratios[0], ratios[ratios.len() - 1]);
        let cost = median(&mut costs[at].clone());
        println!("{name:<18} {cost:>7.1}   {ratio:.3} of the first ({least:.3} to {most:.3})");
    }
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).filter(|word| !word.starts_with("--")).collect();
    let runs = words.iter().find_map(|word| word.strip_prefix("runs=")?.parse().ok()).unwrap_or(20);
    let wanted =
        |name: &str| words.iter().all(|word| word.contains('=')) || words.iter().any(|word| word == name);
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
