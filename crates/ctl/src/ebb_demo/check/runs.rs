//! What ran, and what was answered.

use super::{Case, Ruling};
use crate::ebb_demo::record::{End, Try, BOOKING, KINDS, LAPSED, TENANTS};
use std::collections::HashMap;

/// A gateway that is back may refuse for so long, ms.
const BACK_MS: f64 = 1_000.0;

/// A booking runs once if it is answered by a 2xx, never if it is declined, and never twice.
pub(super) fn bookings(case: &Case) -> Ruling {
    let mut ran: HashMap<u64, usize> = HashMap::new();
    for run in &case.log.runs {
        *ran.entry(run.attempt).or_default() += 1;
    }
    let (mut found, mut count) = (Vec::new(), 0);
    // By request: runs of all its tries, its last try.
    let mut requests: HashMap<u32, (usize, &Try)> = HashMap::new();
    for one in case.log.tries.iter().filter(|one| KINDS[one.kind].rank == BOOKING) {
        let runs = ran.get(&one.attempt()).copied().unwrap_or(0);
        let entry = requests.entry(one.request).or_insert((0, one));
        entry.0 += runs;
        if one.number >= entry.1.number {
            entry.1 = one;
        }
        let problem = match one.end {
            end if end.served() && runs != 1 => Some("wants exactly 1 run"),
            end if (end.declined() || end == End::NoConnection) && runs > 0 => Some("wants no run"),
            _ if runs > 1 => Some("wants 1 run at most"),
            _ => None,
        };
        if let Some(wants) = problem {
            found.push(format!("{} ran {runs} times: {wants}", told(case, one)));
        }
    }
    for (runs, last) in requests.values() {
        count += runs;
        if *runs > 1 && last.number > 0 {
            found.push(format!(
                "{} and its tries before it ran {runs} times: wants 1 at most",
                told(case, last)
            ));
        }
    }
    found.sort();
    Ruling {
        rule: "a booking runs once if it is served, never if it is declined, never twice",
        found,
        measured: format!("bookings: {}, runs of them: {count}", requests.len()),
    }
}

/// No request vanishes, nothing fails but at killed gateways, and who comes back as told is served.
pub(super) fn answers(case: &Case) -> Ruling {
    let log = case.log;
    let (mut found, mut away, mut back) = (Vec::new(), 0, 0);
    let mut requests: Vec<u32> = log.tries.iter().map(|one| one.request).collect();
    requests.sort_unstable();
    requests.dedup();
    if requests.len() as u32 != log.planned {
        found.push(format!("of {} requests {} were noted: wants all", log.planned, requests.len()));
    }
    for one in &log.tries {
        if log.away(one.gateway, one.sent, one.ended, BACK_MS) && !one.end.served() {
            away += 1;
            continue;
        }
        back += usize::from(one.as_told);
        let lapsed = one.tenant == LAPSED && KINDS[one.kind].rank != BOOKING;
        let problem = match one.end {
            End::Left | End::Answer(200..=299, _) => None,
            End::Broke => {
                Some("lost its connection without an answer, and its gateway was not killed".to_string())
            }
            End::NoConnection => Some("got no connection, and its gateway was not killed".into()),
            End::Silent => Some("got no answer in its client's time".into()),
            End::Answer(429, _) if one.tenant != LAPSED => Some("got 429: wants none, its trial runs".into()),
            End::Answer(429, _) if one.as_told => {
                Some("came back as told and got 429: wants to be served".into())
            }
            End::Answer(429, None) if lapsed => Some("got 429 and not when to come back".into()),
            End::Answer(429, _) => None,
            End::Answer(status, _) => Some(format!("got {status}: wants none, its gateway was not killed")),
        };
        found.extend(problem.map(|problem| format!("{} {problem}", told(case, one))));
    }
    Ruling {
        rule: "every request is answered, its client left or its gateway was killed; who comes back as told is served",
        found,
        measured: format!(
            "requests: {}, tries that failed at killed gateways: {away}, came back as told: {back}",
            requests.len()
        ),
    }
}

fn told(case: &Case, one: &Try) -> String {
    format!(
        "second {:.1}: {} of {} at {} (try {:x})",
        one.sent / 1_000.0,
        KINDS[one.kind].name,
        TENANTS[one.tenant],
        case.gateway(one.gateway),
        one.attempt()
    )
}
