//! Who gives way first.

use super::{Case, Ruling};
use crate::ebb_demo::record::{BOOKING, FIRST, KINDS, LAPSED, READ};
use crate::ebb_demo::waits::{mean, median};

/// Part of the difference of two ranks' waits that must be seen in each second.
const SEEN: f64 = 0.25;
/// Most of a booking's added wait at the median, ms.
const BOOKING_MS: f64 = 30.0;
/// Fewer requests tell nothing.
const FEW: usize = 3;

/// In each second of a stage, each kind that gives way first waits longer than reads.
pub(super) fn giving_way(case: &Case) -> Ruling {
    let (mut found, mut seconds, mut least) = (Vec::new(), 0, f64::INFINITY);
    for plateau in case.plateaus.iter().filter(|plateau| plateau.stage > 0) {
        let (wait, read_wait) = case.log.stages[plateau.stage - 1];
        let margin = SEEN * (wait - read_wait);
        let (from, until) =
            ((plateau.from / 1_000.0).ceil() as u64, (plateau.until / 1_000.0).floor() as u64);
        for second in from..until {
            let added = |of: &dyn Fn(usize) -> bool| {
                let waits = case.waits.iter().filter(|wait| {
                    wait.tenant == LAPSED && of(wait.kind) && (wait.sent / 1_000.0).floor() as u64 == second
                });
                let waits: Vec<f64> = waits.map(|wait| wait.added).collect();
                (waits.len() >= FEW).then(|| mean(waits)).flatten()
            };
            let Some(reads) = added(&|kind| KINDS[kind].rank == READ) else { continue };
            seconds += 1;
            for (at, kind) in KINDS.iter().enumerate().filter(|(_, kind)| kind.rank == FIRST) {
                let Some(firsts) = added(&|of| of == at) else { continue };
                least = least.min(firsts - reads);
                if firsts < reads + margin {
                    found.push(format!(
                        "second {second} ({}): {} waits {firsts:.0} ms more at all gateways, reads {reads:.0} ms: wants at \
                        least {margin:.0} ms between them",
                        plateau.name(),
                        kind.name
                    ));
                }
            }
        }
    }
    Ruling {
        rule: "what can wait gives way first and most, in every second of every stage",
        found,
        measured: match seconds {
            0 => "no second with both".into(),
            seconds => format!("seconds: {seconds}, least distance: {least:.0} ms"),
        },
    }
}

/// Bookings wait for nothing in any stage.
pub(super) fn bookings_wait_for_nothing(case: &Case) -> Ruling {
    let (mut found, mut most) = (Vec::new(), 0.0_f64);
    for plateau in &case.plateaus {
        for (at, gateway) in case.log.gateways.iter().enumerate() {
            let waits = case.waits.iter().filter(|wait| {
                wait.tenant == LAPSED
                    && wait.gateway == at
                    && wait.rank() == BOOKING
                    && plateau.holds(wait.sent)
            });
            let waits: Vec<f64> = waits.map(|wait| wait.added).collect();
            if waits.len() < FEW {
                continue;
            }
            let middle = median(waits).unwrap_or(0.0);
            most = most.max(middle);
            if middle >= BOOKING_MS {
                found.push(format!(
                    "from second {:.1} ({}): book waits {middle:.0} ms more at {gateway} at the median: wants less than \
                    {BOOKING_MS:.0} ms",
                    plateau.from / 1_000.0,
                    plateau.name()
                ));
            }
        }
    }
    Ruling {
        rule: "bookings wait for nothing",
        found,
        measured: format!("longest median of a gateway in a stage: {most:.1} ms"),
    }
}
