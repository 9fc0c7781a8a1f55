//! The check: pure, it trusts the notes of clients and stand-ins alone. Each finding is a sentence.

use super::record::{Got, Key, Log, Run, Try};
use crate::storm_demo::check::{shortened, Ruling};
use std::collections::BTreeMap;

/// Fewer runs, or repeats that got the first run's answer, show nothing.
const LEAST: usize = 10;

/// One operation: its tries and its runs, both by time.
#[derive(Default)]
struct Operation<'a> {
    tries: Vec<&'a Try>,
    runs: Vec<&'a Run>,
}

impl Operation<'_> {
    fn seals(&self) -> impl Iterator<Item = (&Try, &str)> {
        self.tries.iter().filter_map(|one| match &one.got {
            Got::Served(seal) => Some((*one, &seal[..])),
            _ => None,
        })
    }
}

fn operations(log: &Log) -> BTreeMap<Key, Operation<'_>> {
    let mut all = BTreeMap::<Key, Operation>::new();
    for one in &log.tries {
        all.entry(one.key).or_default().tries.push(one);
    }
    for run in &log.runs {
        all.entry(run.key).or_default().runs.push(run);
    }
    for operation in all.values_mut() {
        operation.tries.sort_by(|one, other| one.sent.total_cmp(&other.sent));
        operation.runs.sort_by(|one, other| one.at.total_cmp(&other.at));
    }
    all
}

/// Judges by all rules; `window_ms`: tries of one key that come within it are one operation.
pub fn check(log: &Log, window_ms: f64) -> Vec<Ruling> {
    let all = operations(log);
    let rulings = vec![
        once(&all, window_ms),
        same_answer(&all),
        served_is_run(&all),
        something_to_judge(&all),
        Ruling {
            rule: "no process ends by itself",
            found: log.ended.clone(),
            measured: "all machines".into(),
        },
    ];
    rulings.into_iter().map(shortened).collect()
}

fn once(all: &BTreeMap<Key, Operation>, window_ms: f64) -> Ruling {
    let mut found = Vec::new();
    for (key, operation) in all {
        let from = operation.tries.first().map_or(f64::NEG_INFINITY, |first| first.sent);
        let runs: Vec<&&Run> = operation.runs.iter().filter(|run| run.at < from + window_ms).collect();
        if runs.len() > 1 {
            let at: Vec<String> = runs.iter().map(|run| second(run.at)).collect();
            found.push(format!("operation {key} ran {} times: {}", runs.len(), at.join(", ")));
        }
    }
    let runs: usize = all.values().map(|operation| operation.runs.len()).sum();
    Ruling {
        rule: "a key runs once within its window",
        found,
        measured: format!("{runs} runs of {} keys", all.len()),
    }
}

fn same_answer(all: &BTreeMap<Key, Operation>) -> Ruling {
    let (mut found, mut count) = (Vec::new(), 0);
    for (key, operation) in all {
        let Some((_, first)) = operation.seals().next() else { continue };
        for (one, seal) in operation.seals().skip(1) {
            count += 1;
            if seal != first {
                found.push(format!("operation {key}: another answer at {}", second(one.ended)));
            }
        }
        let foreign = operation.tries.iter().filter(|one| one.got == Got::Foreign);
        found.extend(foreign.map(|one| format!("operation {key}: a wrong 200 at {}", second(one.ended))));
    }
    Ruling {
        rule: "a repeat that is served gets the first run's answer",
        found,
        measured: format!("{count} repeats were served"),
    }
}

fn served_is_run(all: &BTreeMap<Key, Operation>) -> Ruling {
    let (mut found, mut count) = (Vec::new(), 0);
    for (key, operation) in all {
        for (one, seal) in operation.seals() {
            count += 1;
            if !operation.runs.iter().any(|run| run.seal == seal) {
                found.push(format!("operation {key}: no run of it has the answer of {}", second(one.ended)));
            }
        }
    }
    Ruling { rule: "what was served has run", found, measured: format!("{count} tries were served") }
}

fn something_to_judge(all: &BTreeMap<Key, Operation>) -> Ruling {
    let ran = all.values().filter(|operation| !operation.runs.is_empty()).count();
    let repeated = all.values().filter(|operation| operation.seals().count() > 1).count();
    let is_little = ran < LEAST || repeated < LEAST;
    let found = is_little.then(|| format!("wants {LEAST} of each")).into_iter().collect();
    let measured = format!("{ran} operations ran, {repeated} were answered more than once");
    Ruling { rule: "there is something to judge", found, measured }
}

fn second(ms: f64) -> String {
    format!("second {:.3}", ms / 1_000.0)
}
