//! False alarms, misses and delays of the guard over 10,000 random stretches, beside the stated rate.
//! `cargo bench -p nickeljunction-config --bench guard`; an argument sets how many stretches.

#[path = "../tests/streams/mod.rs"]
mod streams;

use nickeljunction_config::document::GuardFigures;
use streams::{play, HARMFUL, HARMLESS, TROUBLES};

fn main() {
    let stretches: u64 = std::env::args().filter_map(|word| word.parse().ok()).next().unwrap_or(10_000);
    let figures = GuardFigures::default();
    println!(
        "stated false-alarm rate: {} a trial; {stretches} stretches at 63 requests/s",
        figures.false_alarm
    );
    let each = stretches / (HARMLESS.len() + HARMFUL.len()) as u64 / TROUBLES.len() as u64;
    println!(
        "{:<16} {:<14} {:>8} {:>8} {:>9} {:>9}",
        "change", "beside", "runs", "alarms", "p50 ms", "p99 ms"
    );
    let (mut false_alarms, mut calm, mut missed, mut bad) = (0, 0, 0, 0);
    for (harmful, changes) in [(false, &HARMLESS[..]), (true, &HARMFUL[..])] {
        for change in changes {
            for trouble in TROUBLES {
                let mut delays = Vec::new();
                for seed in 0..each {
                    let after_s = if harmful { 30.0 } else { 60.0 };
                    delays.extend(
                        play(seed + 1_000, 63.0, after_s, trouble, *change, &figures).map(|one| one.1),
                    );
                }
                delays.sort_by(f64::total_cmp);
                let at =
                    |part: f64| delays.get((delays.len() as f64 * part) as usize).copied().unwrap_or(0.0);
                println!(
                    "{:<16} {:<14} {each:>8} {:>8} {:>9.0} {:>9.0}",
                    format!("{change:?}"),
                    format!("{trouble:?}"),
                    delays.len(),
                    at(0.5),
                    at(0.99)
                );
                let alarms = delays.len() as u64;
                if harmful {
                    (missed, bad) = (missed + each - alarms, bad + each);
                } else {
                    (false_alarms, calm) = (false_alarms + alarms, calm + each);
                }
            }
        }
    }
    println!("false alarms {false_alarms} of {calm}, misses {missed} of {bad}");
}
