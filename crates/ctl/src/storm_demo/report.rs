//! Figures for people: changes, how fast calls were answered, leaders by term, members, versions by gateway, faults.

use super::facts::{quantile, Facts};
use super::record::{Copy, Got, Hit, Log, Said};
use crate::status::table;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Counts of changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changes {
    /// Sent at least once.
    pub sent: usize,
    /// Acknowledged by at least one answer.
    pub acknowledged: usize,
    /// Refused, and never acknowledged.
    pub refused: usize,
    /// Neither.
    pub unclear: usize,
    /// Of these, in force in the end.
    pub unclear_in_force: usize,
    /// Copies after a change's first one.
    pub repeats: usize,
    /// Of these, acknowledged.
    pub repeats_taken: usize,
    /// Copies whose answer was given up on purpose.
    pub given_up: usize,
}

/// Counts them.
pub fn changes(facts: &Facts) -> Changes {
    let mut copies: BTreeMap<u32, Vec<&Copy>> = BTreeMap::new();
    for copy in &facts.log.copies {
        copies.entry(copy.order).or_default().push(copy);
    }
    let mut counts = Changes { sent: copies.len(), ..Changes::default() };
    for (order, own) in &copies {
        let said = |wanted: fn(Said) -> bool| own.iter().any(|copy| wanted(copy.said));
        if facts.acked.contains_key(order) {
            counts.acknowledged += 1;
        } else if said(|said| matches!(said, Said::Conflict | Said::Invalid)) {
            counts.refused += 1;
        } else {
            counts.unclear += 1;
            counts.unclear_in_force += usize::from(facts.chain.contains(order));
        }
        counts.repeats += own.len() - 1;
        let taken = own.iter().filter(|copy| copy.said == Said::Taken).count();
        let first = own.iter().min_by(|a, b| a.sent.total_cmp(&b.sent));
        counts.repeats_taken += taken - usize::from(first.is_some_and(|copy| copy.said == Said::Taken));
        counts.given_up += own.iter().filter(|copy| copy.said == Said::GivenUp).count();
    }
    counts
}

/// How long calls of one kind took, in calm and among faults.
#[derive(Debug, Clone, PartialEq)]
struct Took {
    what: &'static str,
    calm: Vec<f64>,
    faults: Vec<f64>,
    /// Without an answer, in calm.
    silent_in_calm: usize,
}

fn took(facts: &Facts) -> Vec<Took> {
    let of = |what: &'static str, calls: Vec<(f64, f64, bool)>| {
        let mut took = Took { what, calm: Vec::new(), faults: Vec::new(), silent_in_calm: 0 };
        for (sent, ended, answered) in calls {
            if facts.calm(sent, ended) {
                took.calm.push(ended - sent);
                took.silent_in_calm += usize::from(!answered);
            } else {
                took.faults.push(ended - sent);
            }
        }
        took
    };
    let log = facts.log;
    // Whether the machine was there at all is the faults' doing.
    let heard = log.copies.iter().filter(|one| !matches!(one.said, Said::GivenUp | Said::NoConnection));
    let reads = log.reads.iter().filter(|one| !one.no_connection);
    let zones = log.evacuations.iter().filter(|one| one.said != Said::NoConnection);
    vec![
        of("changes", heard.map(|one| (one.sent, one.ended, one.said != Said::Silent)).collect()),
        of("reads", reads.map(|one| (one.sent, one.ended, one.seen.is_some())).collect()),
        of("zones", zones.map(|one| (one.sent, one.ended, one.said != Said::Silent)).collect()),
        of("requests", log.tries.iter().map(|one| (one.sent, one.ended, one.got != Got::Nothing)).collect()),
    ]
}

/// A machine that led in a term, and when, ms.
#[derive(Debug, Clone, PartialEq)]
pub struct Reign {
    /// The term.
    pub term: u64,
    /// Place of the machine.
    pub machine: usize,
    /// When it was first seen to lead.
    pub from: u64,
    /// When it was last seen to.
    pub until: u64,
}

/// Leaders by term, as they said themselves.
pub fn reigns(log: &Log) -> Vec<Reign> {
    let mut reigns: BTreeMap<(u64, usize), Reign> = BTreeMap::new();
    for sample in log.samples.iter().filter(|sample| sample.leads) {
        let fresh = Reign { term: sample.term, machine: sample.machine, from: sample.at, until: sample.at };
        let reign = reigns.entry((sample.term, sample.machine)).or_insert(fresh);
        reign.until = reign.until.max(sample.at);
    }
    reigns.into_values().collect()
}

/// How many members there were, by when that changed, ms, as leaders said.
pub fn members(log: &Log) -> Vec<(u64, usize)> {
    let mut leads: Vec<_> = log.samples.iter().filter(|sample| sample.leads).collect();
    leads.sort_by_key(|sample| sample.at);
    let mut steps: Vec<(u64, usize)> = Vec::new();
    let mut term = 0;
    for sample in leads {
        // A leader that has just woken is not asked any more.
        if sample.term >= term && steps.last().is_none_or(|(_, count)| *count != sample.members) {
            steps.push((sample.at, sample.members));
        }
        term = term.max(sample.term);
    }
    steps
}

fn ms(value: Option<f64>) -> String {
    value.map_or("-".into(), |value| format!("{value:.0}"))
}

fn most(values: &[f64]) -> Option<f64> {
    values.iter().copied().reduce(f64::max)
}

/// All of it as text.
pub fn as_text(facts: &Facts) -> String {
    let parts = [changes_text(facts), took_text(facts), leaders_text(facts.log), gateways_text(facts)];
    let mut text = parts.join("\n");
    text += &faults_text(facts.log);
    text
}

fn changes_text(facts: &Facts) -> String {
    let counts = changes(facts);
    let row = |what: &str, count: usize| [what.to_string(), count.to_string()];
    let reads = facts.log.reads.iter().filter(|read| read.seen.is_some()).count();
    table(&[
        row("CHANGES", counts.sent),
        row("acknowledged", counts.acknowledged),
        row("refused", counts.refused),
        row("unclear", counts.unclear),
        row("unclear, in force", counts.unclear_in_force),
        row("repeats sent", counts.repeats),
        row("repeats taken", counts.repeats_taken),
        row("answers given up", counts.given_up),
        row("reads answered", reads),
        row("zone orders", facts.log.evacuations.len()),
    ])
}

fn took_text(facts: &Facts) -> String {
    let heads =
        ["CALLS", "CALM", "NO ANSWER", "P50 MS", "P99 MS", "MOST MS", "AMONG FAULTS", "P99 MS", "MOST MS"];
    let mut rows = vec![heads.map(String::from)];
    for one in took(facts) {
        let part = |values: &[f64], part| ms(quantile(values.to_vec(), part));
        rows.push([
            one.what.into(),
            one.calm.len().to_string(),
            one.silent_in_calm.to_string(),
            part(&one.calm, 0.5),
            part(&one.calm, 0.99),
            ms(most(&one.calm)),
            one.faults.len().to_string(),
            part(&one.faults, 0.99),
            ms(most(&one.faults)),
        ]);
    }
    table(&rows)
}

fn leaders_text(log: &Log) -> String {
    let mut rows = vec![["TERM", "LEADER", "FROM S", "FOR S"].map(String::from)];
    for reign in reigns(log) {
        rows.push([
            reign.term.to_string(),
            log.cores[reign.machine].clone(),
            format!("{:.1}", reign.from as f64 / 1_000.0),
            format!("{:.1}", (reign.until - reign.from) as f64 / 1_000.0),
        ]);
    }
    let steps = members(log);
    let steps: Vec<String> =
        steps.iter().map(|(at, count)| format!("{count} from {:.1} s", *at as f64 / 1_000.0)).collect();
    format!("{}members: {}\n", table(&rows), steps.join(", "))
}

fn gateways_text(facts: &Facts) -> String {
    let heads = ["GATEWAY", "REQUESTS", "SERVED", "NOT FOUND", "DECLINED", "FAILED", "VERSIONS SEEN", "LAST"];
    let mut rows = vec![heads.map(String::from)];
    for (gateway, name) in facts.log.gateways.iter().enumerate() {
        let own: Vec<_> = facts.log.tries.iter().filter(|one| one.gateway == gateway).collect();
        let count = |wanted: fn(Got) -> bool| own.iter().filter(|one| wanted(one.got)).count().to_string();
        let versions: BTreeSet<u64> = facts.shown[gateway].iter().map(|shown| shown.version).collect();
        rows.push([
            name.clone(),
            own.len().to_string(),
            count(|got| matches!(got, Got::Served(_))),
            count(|got| matches!(got, Got::Status(404))),
            count(|got| matches!(got, Got::Status(408 | 421 | 429 | 503))),
            count(|got| match got {
                Got::Status(status) => !matches!(status, 404 | 408 | 421 | 429 | 503),
                got => matches!(got, Got::Nothing | Got::Foreign),
            }),
            versions.len().to_string(),
            versions.last().map_or("-".into(), u64::to_string),
        ]);
    }
    let spread: Vec<f64> = facts.spread().into_iter().map(|(_, spread)| spread).collect();
    format!(
        "{}from acknowledgement to the last gateway in touch: {} ms at the median, {} ms for 99 of 100, {} ms at most, of {} versions\n",
        table(&rows),
        ms(quantile(spread.clone(), 0.5)),
        ms(quantile(spread.clone(), 0.99)),
        ms(most(&spread)),
        spread.len()
    )
}

fn faults_text(log: &Log) -> String {
    let mut rows = vec![["FAULT", "MACHINE", "FROM S", "FOR S"].map(String::from)];
    for fault in &log.faults {
        let name = match fault.hit {
            Hit::Core(at) => &log.cores[at],
            Hit::Gateway(at) => &log.gateways[at],
        };
        rows.push([
            fault.what.clone(),
            name.clone(),
            format!("{:.1}", fault.from / 1_000.0),
            format!("{:.1}", (fault.until.min(log.end) - fault.from) / 1_000.0),
        ]);
    }
    let left: String = log.left_out.iter().map(|line| format!("{line}\n")).collect();
    format!("\n{}{left}", table(&rows))
}

/// All of it as JSON.
pub fn as_json(facts: &Facts) -> Value {
    let counts = changes(facts);
    let spread: Vec<f64> = facts.spread().into_iter().map(|(_, spread)| spread).collect();
    let calls = took(facts).into_iter().map(|one| {
        json!({"what": one.what, "calm": one.calm.len(), "no_answer_in_calm": one.silent_in_calm,
            "calm_p50_ms": quantile(one.calm.clone(), 0.5), "calm_p99_ms": quantile(one.calm.clone(), 0.99),
            "calm_most_ms": most(&one.calm), "among_faults": one.faults.len(), "faults_most_ms": most(&one.faults)})
    });
    let reigns = reigns(facts.log).into_iter().map(|reign| {
        json!({"term": reign.term, "leader": facts.log.cores[reign.machine], "from_ms": reign.from, "until_ms": reign.until})
    });
    json!({
        "changes": {"sent": counts.sent, "acknowledged": counts.acknowledged, "refused": counts.refused,
            "unclear": counts.unclear, "unclear_in_force": counts.unclear_in_force, "repeats": counts.repeats,
            "repeats_taken": counts.repeats_taken, "given_up": counts.given_up},
        "calls": calls.collect::<Vec<_>>(),
        "leaders": reigns.collect::<Vec<_>>(),
        "members": members(facts.log),
        "last_gateway_p50_ms": quantile(spread.clone(), 0.5),
        "last_gateway_most_ms": most(&spread),
        "faults": facts.log.faults.len(),
        "left_out": facts.log.left_out,
    })
}
