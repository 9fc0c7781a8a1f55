//! Rules on what clients meet at gateways and what stand-ins run.

use super::{second, Ruling};
use crate::storm_demo::facts::{Facts, Shown, APPLY_MS};
use crate::storm_demo::record::{Asked, Got, OrderId, Try};
use std::collections::BTreeMap;

/// Gateways serve under configurations that are in force at the end or that one is built on, and under no other.
pub(super) fn serve_what_is_in_force(facts: &Facts) -> Ruling {
    let mut wrong: BTreeMap<OrderId, &Try> = BTreeMap::new();
    let mut count = 0;
    for one in &facts.log.tries {
        if let Got::Served(order) = one.got {
            count += 1;
            if facts.last.is_some() && !facts.chain.contains(&order) {
                wrong.entry(order).or_insert(one);
            }
        }
    }
    let found = wrong.iter().map(|(order, one)| {
        let gateway = &facts.log.gateways[one.gateway];
        format!("{}: {gateway} serves under order {order}, which never was in force", second(one.sent))
    });
    Ruling {
        rule: "gateways serve only under what was in force",
        found: found.collect(),
        measured: format!("{count} answers of servers"),
    }
}

/// In one life of its process a gateway shows no version older than one that an answer had shown before the request was
/// sent.
pub(super) fn never_go_back(facts: &Facts) -> Ruling {
    let mut found = Vec::new();
    for (gateway, shown) in facts.shown.iter().enumerate() {
        let mut ended: Vec<&Shown> = shown.iter().collect();
        ended.sort_by(|a, b| a.ended.total_cmp(&b.ended));
        let mut ended = ended.into_iter().peekable();
        let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
        for one in shown {
            while let Some(before) = ended.next_if(|other| other.ended < one.sent) {
                let version = newest.entry(before.life).or_default();
                *version = before.version.max(*version);
            }
            let least = newest.get(&one.life).copied().unwrap_or_default();
            if one.version < least {
                found.push(format!(
                    "{}: {} shows version {} after version {least}",
                    second(one.sent),
                    facts.log.gateways[gateway],
                    one.version
                ));
            }
        }
    }
    let answers: usize = facts.shown.iter().map(Vec::len).sum();
    Ruling {
        rule: "a gateway never goes back in one life",
        found,
        measured: format!("{answers} answers at {} gateways", facts.shown.len()),
    }
}

/// A gateway in touch has a version 4 s after its acknowledgement.
pub(super) fn in_time(facts: &Facts) -> Ruling {
    let acked = facts.acknowledged();
    let mut found = Vec::new();
    let mut judged = 0;
    for (gateway, shown) in facts.shown.iter().enumerate() {
        for one in shown {
            let due = acked.partition_point(|(at, _)| at + APPLY_MS < one.sent);
            // One that nothing excuses is enough: after a fault the versions that came later count.
            let mut late = acked[..due].iter().filter(|(_, version)| *version > one.version).peekable();
            if late.peek().is_none() {
                judged += usize::from(due > 0);
                continue;
            }
            let Some((at, version)) = late.find(|(at, _)| !facts.excused(gateway, *at, one.sent)) else {
                continue;
            };
            judged += 1;
            found.push(format!(
                "{}: {} shows version {}, and version {version} was acknowledged {:.0} ms before",
                second(one.sent),
                facts.log.gateways[gateway],
                one.version,
                one.sent - at
            ));
        }
    }
    let spread: Vec<f64> = facts.spread().into_iter().map(|(_, spread)| spread).collect();
    let most = spread.iter().copied().fold(0.0, f64::max);
    Ruling {
        rule: "gateways in touch have a version 4 s after its acknowledgement",
        found,
        measured: format!("{judged} answers; the last gateway after {most:.0} ms at most"),
    }
}

/// An answer's route and tenant are of one configuration, and a route is missing only where one of the configurations that
/// may have been in force there lacks it.
pub(super) fn of_one_configuration(facts: &Facts) -> Ruling {
    let mut found = Vec::new();
    let mut count = 0;
    for one in &facts.log.tries {
        let at = || format!("{}: {}", second(one.sent), facts.log.gateways[one.gateway]);
        match (one.got, one.asked) {
            (Got::Served(order), Asked::Route(route)) => {
                count += 1;
                if facts.orders.get(&order).is_some_and(|order| !order.routes.contains(&route)) {
                    found.push(format!(
                        "{} serves the route of {route} under order {order}, which lacks it",
                        at()
                    ));
                }
            }
            (Got::Status(status @ (401 | 403 | 404)), asked) => {
                count += 1;
                if refused_wrongly(facts, one, asked) {
                    found.push(format!(
                        "{} answers {status} to {asked:?}, which was there all the while",
                        at()
                    ));
                }
            }
            _ => (),
        }
    }
    Ruling {
        rule: "routes and keys are those of one configuration in force",
        found,
        measured: format!("{count} answers on routes that come and go"),
    }
}

fn refused_wrongly(facts: &Facts, one: &Try, asked: Asked) -> bool {
    let life = facts.life(one);
    let shown = facts.shown[one.gateway].iter().filter(|shown| shown.life == life);
    let least = shown.clone().filter(|shown| shown.ended < one.sent).map(|shown| shown.version).max();
    // A process that hasn't shown any configuration yet may have none.
    let Some(least) = least else { return false };
    let Asked::Route(route) = asked else { return true };
    let most = shown.filter(|shown| shown.sent > one.ended).map(|shown| shown.version).min();
    let most = most.unwrap_or(u64::MAX);
    let mut between = facts.chain.iter().filter_map(|id| facts.orders.get(id));
    !between.any(|order| (least..=most).contains(&order.version) && !order.routes.contains(&route))
}

/// What may run once does so at most once, and never though its client was told that it did not; what was served has run.
pub(super) fn once(facts: &Facts) -> Ruling {
    let mut runs: BTreeMap<u64, usize> = BTreeMap::new();
    for run in &facts.log.runs {
        *runs.entry(run.attempt).or_default() += 1;
    }
    let mut found = Vec::new();
    let mut count = 0;
    for one in &facts.log.tries {
        let ran = runs.get(&one.attempt).copied().unwrap_or_default();
        let at =
            || format!("{}: {:016x} at {}", second(one.sent), one.attempt, facts.log.gateways[one.gateway]);
        if one.asked == Asked::Once {
            count += 1;
            if ran > 1 {
                found.push(format!("{} ran {ran} times", at()));
            }
        }
        match one.got {
            Got::Status(status @ (408 | 421 | 429 | 503)) if ran > 0 => {
                found.push(format!("{} ran, and its client got {status}", at()));
            }
            Got::Served(_) if ran == 0 => found.push(format!("{} was served and never ran", at())),
            _ => (),
        }
    }
    Ruling {
        rule: "what may not be repeated runs at most once",
        found,
        measured: format!("{count} requests that may not be repeated, {} runs in all", facts.log.runs.len()),
    }
}

/// An answer is whole and belongs to its request.
pub(super) fn own_answers(facts: &Facts) -> Ruling {
    let foreign = facts.log.tries.iter().filter(|one| one.got == Got::Foreign);
    let found = foreign.map(|one| {
        let gateway = &facts.log.gateways[one.gateway];
        format!("{}: {gateway} answers {:016x} with what is not its answer", second(one.sent), one.attempt)
    });
    Ruling {
        rule: "an answer belongs to its request",
        found: found.collect(),
        measured: format!("{} requests", facts.log.tries.len()),
    }
}
