//! Rules on what control answers operators and readers.

use super::{second, Ruling};
use crate::storm_demo::facts::Facts;
use crate::storm_demo::record::{Copy, Got, Order, OrderId, Read, Said};
use nickeljunction_history::{Answer, Call, Exchange, Kind, Status};
use std::collections::BTreeMap;

/// Between two acknowledgements, ms: an election, and hands that wait for machines that stand still.
const STALL_MS: f64 = 10_000.0;

fn named(order: &Order) -> String {
    let method = if order.patch { "PATCH" } else { "PUT" };
    format!("{method} {} to version {} on {}", order.id, order.version, order.base)
}

/// Of changes on one version, and of changes to one, one is acknowledged, and it is a proper one.
pub(super) fn one_change(facts: &Facts) -> Ruling {
    let mut found = Vec::new();
    let (mut on, mut to) = (BTreeMap::new(), BTreeMap::new());
    let acked = facts.acked.iter().filter_map(|(id, at)| Some((facts.orders.get(id)?, *at)));
    let mut count = 0;
    for (order, at) in acked {
        count += 1;
        if !order.valid {
            found.push(format!("{}: {} is not proper and was acknowledged", second(at), named(order)));
        }
        if let Some(other) = on.insert(order.base, order) {
            found.push(format!(
                "{}: {} and {} were both acknowledged",
                second(at),
                named(other),
                named(order)
            ));
        } else if let Some(other) = to.insert(order.version, order) {
            found.push(format!(
                "{}: {} and {} were both acknowledged",
                second(at),
                named(other),
                named(order)
            ));
        }
    }
    Ruling {
        rule: "of changes on one version one is acknowledged",
        found,
        measured: format!("{count} acknowledged of {} that were sent", facts.orders.len()),
    }
}

/// When each change was first seen to be taken: acknowledged, read or in force at a gateway.
fn taken_since(facts: &Facts) -> BTreeMap<OrderId, f64> {
    let reads = facts.log.reads.iter().filter_map(|read| Some((read.seen.as_ref()?.order, read.ended)));
    let served = facts.log.tries.iter().filter_map(|one| match one.got {
        Got::Served(order) => Some((order, one.ended)),
        _ => None,
    });
    let mut since = facts.acked.clone();
    for (order, at) in reads.chain(served) {
        let first = since.entry(order).or_insert(at);
        *first = first.min(at);
    }
    since
}

/// The very same change, sent again after it was seen to be taken, isn't refused.
pub(super) fn taken_is_not_refused(facts: &Facts) -> Ruling {
    let since = taken_since(facts);
    let again = |copy: &&Copy| since.get(&copy.order).is_some_and(|at| *at < copy.sent);
    let repeats: Vec<&Copy> = facts.log.copies.iter().filter(again).collect();
    let refused = repeats.iter().filter(|copy| matches!(copy.said, Said::Conflict | Said::Invalid));
    let found = refused.filter_map(|copy| {
        let order = facts.orders.get(&copy.order)?;
        let taken = since.get(&copy.order).copied().unwrap_or_default();
        Some(format!(
            "{}: {} was refused ({:?}), though taken by {}",
            second(copy.sent),
            named(order),
            copy.said,
            second(taken)
        ))
    });
    Ruling {
        rule: "a repeat of what was taken is not refused",
        found: found.collect(),
        measured: format!("{} repeats of what was known to be taken", repeats.len()),
    }
}

/// A read sees nothing older than what was acknowledged, or read, before it was sent.
pub(super) fn reads_never_go_back(facts: &Facts) -> Ruling {
    let mut known: Vec<(f64, u64)> = facts.acknowledged();
    let seen = |read: &Read| read.seen.as_ref().map(|seen| seen.version);
    known.extend(facts.log.reads.iter().filter_map(|read| Some((read.ended, seen(read)?))));
    known.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut newest = 0;
    for (_, version) in &mut known {
        newest = newest.max(*version);
        *version = newest;
    }
    let mut found = Vec::new();
    let mut count = 0;
    for read in &facts.log.reads {
        let Some(version) = seen(read) else { continue };
        count += 1;
        let before = known.partition_point(|(at, _)| *at < read.sent);
        let least = before.checked_sub(1).map_or(0, |at| known[at].1);
        if version < least {
            found.push(format!(
                "{}: a read saw version {version}, {:.0} ms later; version {least} was known before it was sent",
                second(read.sent),
                read.ended - read.sent
            ));
        }
    }
    Ruling { rule: "reads are never stale", found, measured: format!("{count} reads") }
}

/// A read shows a change that somebody sent, as it was sent.
pub(super) fn reads_show_what_was_sent(facts: &Facts) -> Ruling {
    let mut found = Vec::new();
    for read in &facts.log.reads {
        let Some(seen) = &read.seen else { continue };
        let at = second(read.sent);
        match facts.orders.get(&seen.order) {
            None => found.push(format!("{at}: version {} is by nobody's order {}", seen.version, seen.order)),
            Some(order) if !order.valid => {
                found.push(format!("{at}: {} is not proper and is read", named(order)))
            }
            Some(order) if (order.version, &order.stamp) != (seen.version, &seen.stamp) => found.push(
                format!("{at}: version {} is read otherwise than {} made it", seen.version, named(order)),
            ),
            Some(_) => (),
        }
    }
    let measured = format!("{} reads", facts.log.reads.iter().filter(|read| read.seen.is_some()).count());
    Ruling { rule: "reads show a change as it was sent", found, measured }
}

/// What is read at the end is built on all that was acknowledged.
pub(super) fn nothing_is_lost(facts: &Facts) -> Ruling {
    let rule = "no acknowledged change is lost";
    let Some(last) = facts.last else {
        return Ruling {
            rule,
            found: vec!["no machine gives the configuration at the end".into()],
            measured: "nothing was read".into(),
        };
    };
    let lost = facts.acked.iter().filter(|(id, _)| !facts.chain.contains(id));
    let found = lost.filter_map(|(id, at)| {
        let order = facts.orders.get(id)?;
        Some(format!(
            "{}: {} was acknowledged, and version {last}, read at the end, is not built on it",
            second(*at),
            named(order)
        ))
    });
    Ruling {
        rule,
        found: found.collect(),
        measured: format!("version {last} at the end, {} changes in its chain", facts.chain.len()),
    }
}

/// The whole history of calls is one that a single register of versions can have.
pub(super) fn linearizable(facts: &Facts) -> Ruling {
    let (found, measured) = match nickeljunction_history::check(&history(facts)) {
        Ok(summary) => (Vec::new(), format!("{} copies and {} reads", summary.copies, summary.reads)),
        Err(violation) => (vec![violation.to_string()], "the first violation of the history".into()),
    };
    Ruling { rule: "the calls on the configuration are linearizable", found, measured }
}

/// Times lose nothing but parts of a ms, and never make two calls follow each other that overlapped.
fn history(facts: &Facts) -> Vec<Exchange> {
    let copies = facts.log.copies.iter().filter_map(|copy| {
        let order = facts.orders.get(&copy.order)?;
        let status = match copy.said {
            Said::Taken => Some(Status::Acknowledged),
            Said::Conflict => Some(Status::Conflict),
            Said::Invalid => Some(Status::Invalid),
            Said::Unclear(_) => Some(Status::Unclear),
            Said::GivenUp | Said::NoConnection | Said::Silent => None,
        };
        let call = Call {
            operator: order.operator,
            kind: if order.patch { Kind::Patch } else { Kind::Put },
            base: order.base,
            version: order.version,
            digest: order.id.to_string(),
            valid: order.valid,
            sent_ms: copy.sent.floor() as u64,
        };
        Some(Exchange {
            call,
            answer: status.map(|status| Answer { status, received_ms: copy.ended.ceil() as u64 }),
        })
    });
    let reads = facts.log.reads.iter().map(|read| Exchange {
        call: Call {
            operator: 0,
            kind: Kind::Read,
            base: 0,
            version: 0,
            digest: String::new(),
            valid: true,
            sent_ms: read.sent.floor() as u64,
        },
        answer: read
            .seen
            .as_ref()
            .map(|seen| Answer { status: Status::Read(seen.version), received_ms: read.ended.ceil() as u64 }),
    });
    copies.chain(reads).collect()
}

/// No more than two of five members are away at once, but where all are: some operator's change goes through all the while.
pub(super) fn changes_go_on(facts: &Facts) -> Ruling {
    // Without any, traffic is one long gap.
    let mut moments: Vec<f64> = facts.acked.values().copied().collect();
    moments.extend([0.0, facts.log.end]);
    moments.sort_by(f64::total_cmp);
    let mut found = Vec::new();
    let mut longest = 0.0_f64;
    for two in moments.windows(2) {
        let (from, until) = (two[0], two[1]);
        // All at once are away together, so that one of them tells for all.
        let away =
            facts.log.faults.iter().filter(|fault| fault.all && fault.from <= until && from <= fault.until);
        let away = away.map(|fault| fault.until.min(until) - fault.from.max(from)).fold(0.0, f64::max);
        let gap = until - from - away;
        longest = longest.max(gap);
        if gap > STALL_MS {
            found.push(format!("{}: no change is acknowledged for {gap:.0} ms", second(from)));
        }
    }
    Ruling {
        rule: "changes go on while a majority of the core is there",
        found,
        measured: format!(
            "{longest:.0} ms between two acknowledgements at most, without the time for which all are away"
        ),
    }
}
