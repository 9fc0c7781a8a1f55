//! Who must notice nothing, and the way back.

use super::{Case, Ruling};
use crate::ebb_demo::record::{FIRST, LAPSED, OTHER, TENANTS};
use crate::ebb_demo::waits::{mean, quantile};

/// Most change of the other tenant's median latency, ms.
const MEDIAN_MS: f64 = 10.0;
/// Its 99th percentile: so many times what it was, and so much more, ms. It is a few requests' worth, and the machine's noise.
const TAIL: (f64, f64) = (3.0, 100.0);
/// Most requests that servers get in a second after the restoring, in means.
const HERD: f64 = 2.0;
/// The last so many ms are the calm end.
const LAST_MS: f64 = 1_500.0;

/// The other tenant's latency is as before the lapse, away from killed gateways.
pub(super) fn other_tenant(case: &Case) -> Ruling {
    let log = case.log;
    let latency = |from: f64, until: f64, part: f64| {
        let tries = log.tries.iter().filter(|one| {
            one.tenant == OTHER
                && one.number == 0
                && one.end.served()
                && (from..until).contains(&one.sent)
                && !log.away(one.gateway, one.sent, one.ended, 0.0)
        });
        quantile(tries.map(|one| one.ended - one.due).collect(), part).unwrap_or(0.0)
    };
    let [before, after] = [(0.0, log.lapse), (log.lapse, log.end)]
        .map(|(from, until)| (latency(from, until, 0.5), latency(from, until, 0.99)));
    let mut found = Vec::new();
    let name = TENANTS[OTHER];
    if (after.0 - before.0).abs() > MEDIAN_MS {
        found.push(format!(
            "from second {:.1}: all kinds of {name} take {:.1} ms at the median of all gateways, {:.1} ms before: wants \
            {MEDIAN_MS:.0} ms of difference at most",
            log.lapse / 1_000.0,
            after.0,
            before.0
        ));
    }
    let bound = TAIL.0 * before.1 + TAIL.1;
    if after.1 > bound {
        found.push(format!(
            "from second {:.1}: all kinds of {name} take {:.1} ms at the 99th percentile of all gateways, {:.1} ms before: \
            wants {bound:.0} ms at most",
            log.lapse / 1_000.0,
            after.1,
            before.1
        ));
    }
    Ruling {
        rule: "the tenant whose trial runs notices nothing",
        found,
        measured: format!(
            "{name}: p50 {:.1} ms before and {:.1} ms since, p99 {:.1} ms and {:.1} ms",
            before.0, after.0, before.1, after.1
        ),
    }
}

/// The waits go away again.
pub(super) fn restored(case: &Case) -> Ruling {
    let log = case.log;
    let last = |from: f64, until: f64| {
        let waits = case.waits.iter().filter(|wait| wait.tenant == LAPSED && wait.rank() == FIRST);
        mean(waits.filter(|wait| (from..until).contains(&wait.sent)).map(|wait| wait.added)).unwrap_or(0.0)
    };
    let high = last(log.restore - LAST_MS, log.restore);
    let low = last(log.end - LAST_MS, log.end);
    // A stage a step; a short day ends on the way.
    let whole = log.end - log.restore >= log.stage_ms * log.stages.len() as f64 + LAST_MS;
    let bound = match log.stages.first() {
        Some((wait, _)) if whole => wait / 2.0,
        _ => high,
    };
    let mut found = Vec::new();
    if low > bound {
        found.push(format!(
            "second {:.1}: what can wait waits {low:.0} ms more at all gateways, {high:.0} ms before the restoring: wants \
            {bound:.0} ms at most",
            (log.end - LAST_MS) / 1_000.0
        ));
    }
    Ruling {
        rule: "a restored trial comes back to full pace",
        found,
        measured: format!(
            "added wait of what can wait: {high:.0} ms before the restoring, {low:.0} ms at the end"
        ),
    }
}

/// Servers get no herd after the restoring.
pub(super) fn no_herd(case: &Case) -> Ruling {
    let log = case.log;
    let mut seconds = vec![0_u32; (log.end / 1_000.0) as usize];
    for run in &log.runs {
        if let Some(count) = seconds.get_mut((run.at.max(0.0) / 1_000.0) as usize) {
            *count += 1;
        }
    }
    let usual = mean(seconds.iter().map(|count| f64::from(*count))).unwrap_or(0.0);
    let since = (log.restore / 1_000.0) as usize;
    let after = || seconds.iter().copied().enumerate().skip(since);
    let found = after().filter(|(_, count)| f64::from(*count) > HERD * usual).map(|(second, count)| {
        format!("second {second}: servers get {count} requests of all kinds through all gateways: wants {:.0} at most", HERD * usual)
    });
    Ruling {
        rule: "no herd comes with the restoring",
        found: found.collect(),
        measured: format!(
            "requests a second at servers: {usual:.0} in the mean, {} at most since",
            after().map(|(_, count)| count).max().unwrap_or(0)
        ),
    }
}
