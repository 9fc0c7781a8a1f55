//! When stages were entered, as far as requests tell, and whether gateways are even and in step.

use super::{Case, Ruling};
use crate::ebb_demo::record::{Log, FIRST, LAPSED};
use crate::ebb_demo::waits::{mean, median, Sample};

/// The added wait of all gateways together is the median of so many requests in a row.
const WINDOW: usize = 15;
/// A gateway's own crossing is sought so far around that of all, ms.
const AROUND_MS: f64 = 1_500.0;
/// A wait rises over a second: the calm middle of a stage begins and ends so far from a crossing, ms.
const EDGE_MS: f64 = 900.0;
/// Shorter than this, ms, nothing is said of a stage's middle.
const SHORT_MS: f64 = 500.0;
/// Least of Jain's index.
const EVEN: f64 = 0.98;
/// Most between the first and the last gateway that enters a stage, ms, beside the distance of their requests.
const STEP_MS: f64 = 250.0;
/// Fewer requests of a gateway tell nothing.
const FEW: usize = 5;

/// All gateways' waits passed the mark half-way between two stages.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crossing {
    /// The stage before.
    pub from: usize,
    /// The stage entered.
    pub to: usize,
    /// The mark, ms of added wait.
    pub mark: f64,
    /// When, ms.
    pub at: f64,
}

impl Crossing {
    fn name(&self) -> String {
        format!("stage {} to {}", self.from, self.to)
    }
}

/// The calm middle of a stage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plateau {
    /// Its stage.
    pub stage: usize,
    /// It is on the way back.
    pub back: bool,
    /// From, ms.
    pub from: f64,
    /// Until, ms.
    pub until: f64,
}

impl Plateau {
    /// Whether a moment is in it.
    pub fn holds(&self, moment: f64) -> bool {
        (self.from..self.until).contains(&moment)
    }

    /// For people.
    pub fn name(&self) -> String {
        format!("stage {}{}", self.stage, if self.back { " on the way back" } else { "" })
    }
}

fn slowed(waits: &[Sample]) -> Vec<Sample> {
    waits.iter().filter(|wait| wait.tenant == LAPSED && wait.rank() == FIRST).copied().collect()
}

/// Where the waits of all gateways together pass each mark: up after the lapse, down after the restoring, in this order.
pub fn crossings(log: &Log, waits: &[Sample]) -> Vec<Crossing> {
    let waits = slowed(waits);
    let running: Vec<(f64, f64)> = waits
        .windows(WINDOW)
        .map(|some| {
            let middle = median(some.iter().map(|wait| wait.added).collect()).unwrap_or(0.0);
            (some[WINDOW / 2].sent, middle)
        })
        .collect();
    let wait = |stage: usize| stage.checked_sub(1).map_or(0.0, |at| log.stages[at].0);
    let last = log.stages.len();
    let up = (0..last).map(|stage| (stage, stage + 1, log.lapse, log.restore));
    let down = (0..last).rev().map(|stage| (stage + 1, stage, log.restore, log.end));
    let (mut since, mut found) = (f64::NEG_INFINITY, Vec::new());
    for (from, to, begin, end) in up.chain(down) {
        since = f64::max(since, begin);
        // Nobody comes back from where nobody was.
        if to < from && !found.iter().any(|crossing: &Crossing| crossing.to == from) {
            continue;
        }
        let mark = (wait(from) + wait(to)) / 2.0;
        let mut after = running.iter().filter(|(at, _)| *at >= since && *at < end);
        let passed = after.find(|(_, middle)| if to > from { *middle >= mark } else { *middle < mark });
        if let Some((at, _)) = passed {
            since = *at;
            found.push(Crossing { from, to, mark, at: *at });
        }
    }
    found
}

/// The calm middles between crossings, stage 0 left out.
pub fn plateaus(log: &Log, crossings: &[Crossing]) -> Vec<Plateau> {
    let mut found = Vec::new();
    for (at, crossing) in crossings.iter().enumerate().filter(|(_, crossing)| crossing.to > 0) {
        let back = crossing.to < crossing.from;
        let end = if back { log.end } else { log.restore };
        let until = crossings.get(at + 1).map_or(end, |next| (next.at - EDGE_MS).min(end));
        let from = crossing.at + EDGE_MS;
        // The order to restore lies between two stages that are the same.
        let until = if back { until } else { until.min(log.restore) };
        if until - from >= SHORT_MS {
            found.push(Plateau { stage: crossing.to, back, from, until });
        }
    }
    found
}

/// Every order was taken, and every stage is seen in turn.
pub(super) fn all_entered(case: &Case) -> Ruling {
    let log = case.log;
    let mut found = log.refused.clone();
    let ups: Vec<&Crossing> = case.crossings.iter().filter(|crossing| crossing.to > crossing.from).collect();
    for stage in 1..=log.stages.len() {
        let Some(entered) = ups.iter().find(|crossing| crossing.to == stage) else {
            let wait = log.stages[stage - 1].0;
            found.push(format!(
                "second {:.1} to {:.1}: what can wait never waits as in stage {stage} at all gateways ({wait:.0} ms): wants \
                each stage before the restoring",
                log.lapse / 1_000.0,
                log.restore / 1_000.0
            ));
            continue;
        };
        let calm = case.plateaus.iter().any(|plateau| plateau.stage == stage && !plateau.back);
        if !calm {
            found.push(format!(
                "second {:.1}: stage {stage} is over at all gateways before its waits are even: wants {:.1} s of it",
                entered.at / 1_000.0,
                log.stage_ms / 1_000.0
            ));
        }
    }
    let seen: Vec<String> = case
        .crossings
        .iter()
        .map(|crossing| format!("{} at {:.1} s", crossing.name(), crossing.at / 1_000.0))
        .collect();
    Ruling {
        rule: "the trial lapses and is restored stage by stage",
        found,
        measured: if seen.is_empty() { "no stage was seen".into() } else { seen.join(", ") },
    }
}

/// In the middle of each stage, gateways add the same.
pub(super) fn evenness(case: &Case) -> Ruling {
    let waits = slowed(&case.waits);
    let (mut found, mut told) = (Vec::new(), Vec::new());
    for plateau in &case.plateaus {
        let means: Vec<(usize, f64)> = (0..case.log.gateways.len())
            .filter_map(|at| {
                let own = waits.iter().filter(|wait| wait.gateway == at && plateau.holds(wait.sent));
                let own: Vec<f64> = own.map(|wait| wait.added).collect();
                (own.len() >= FEW).then(|| mean(own)).flatten().map(|mean| (at, mean.max(0.0)))
            })
            .collect();
        let index = jain(means.iter().map(|(_, mean)| *mean));
        told.push(format!("{}: {index:.4} of {} gateways", plateau.name(), means.len()));
        if index < EVEN {
            let middle = median(means.iter().map(|(_, mean)| *mean).collect()).unwrap_or(0.0);
            let off = means.iter().max_by(|a, b| (a.1 - middle).abs().total_cmp(&(b.1 - middle).abs()));
            let (at, mean) = off.copied().unwrap_or((0, 0.0));
            found.push(format!(
                "second {:.1} to {:.1} ({}): what can wait waits {mean:.0} ms more at {}, {middle:.0} ms at the middle \
                gateway; Jain's index is {index:.4}: wants {EVEN} at least",
                plateau.from / 1_000.0,
                plateau.until / 1_000.0,
                plateau.name(),
                case.gateway(at)
            ));
        }
    }
    Ruling {
        rule: "in each stage the added wait is even over gateways (Jain's index)",
        found,
        measured: if told.is_empty() { "no stage was seen".into() } else { told.join(", ") },
    }
}

/// Jain's index of fairness (Jain, Chiu, Hawe 1984): 1 where all are the same, 1/n where one has all. Of nothing it is 1.
pub(super) fn jain(figures: impl IntoIterator<Item = f64>) -> f64 {
    let (count, sum, squares) = figures.into_iter().fold((0.0, 0.0, 0.0), |(count, sum, squares), figure| {
        (count + 1.0, sum + figure, squares + figure * figure)
    });
    if squares > 0.0 {
        sum * sum / (count * squares)
    } else {
        1.0
    }
}

/// Gateways enter each stage together.
pub(super) fn in_step(case: &Case) -> Ruling {
    let waits = slowed(&case.waits);
    let (mut found, mut told) = (Vec::new(), Vec::new());
    for crossing in &case.crossings {
        let mut entered: Vec<(usize, f64, f64)> = (0..case.log.gateways.len())
            .filter_map(|at| {
                let own = waits.iter().filter(|wait| wait.gateway == at).copied().collect::<Vec<_>>();
                own_crossing(&own, crossing).map(|(moment, distance)| (at, moment, distance))
            })
            .collect();
        entered.sort_by(|a, b| a.1.total_cmp(&b.1));
        let (Some(first), Some(last)) = (entered.first(), entered.last()) else { continue };
        let spread = last.1 - first.1;
        let bound = STEP_MS + entered.iter().map(|(_, _, distance)| *distance).fold(0.0, f64::max);
        told.push(format!("{}: {spread:.0} ms", crossing.name()));
        if spread > bound {
            found.push(format!(
                "second {:.2}: what can wait enters {} at {} first and at {} {spread:.0} ms later: wants {bound:.0} ms at most",
                first.1 / 1_000.0,
                crossing.name(),
                case.gateway(first.0),
                case.gateway(last.0)
            ));
        }
    }
    Ruling {
        rule: "gateways enter each stage together",
        found,
        measured: if told.is_empty() {
            "no stage was seen".into()
        } else {
            format!("from first to last: {}", told.join(", "))
        },
    }
}

/// When one gateway's waits pass the mark, and the distance of the requests beside it, ms. It is the moment that parts its
/// requests best into those before it, on the one side of the mark, and those after it, on the other: one slow request alone
/// moves nothing. `None`: too few requests around.
pub(super) fn own_crossing(own: &[Sample], crossing: &Crossing) -> Option<(f64, f64)> {
    let near = (crossing.at - AROUND_MS)..(crossing.at + AROUND_MS);
    let near: Vec<&Sample> = own.iter().filter(|wait| near.contains(&wait.sent)).collect();
    let entered = |wait: &Sample| (wait.added >= crossing.mark) == (crossing.to > crossing.from);
    let (before, after) = (near.iter().filter(|wait| wait.sent < crossing.at).count(), near.len());
    if before < FEW || after - before < FEW {
        return None;
    }
    // Wrong sides if it were before all; then one place further each time.
    let mut wrong = near.iter().filter(|wait| !entered(wait)).count() as i64;
    let (mut least, mut places) = (i64::MAX, (0, 0));
    for at in 0..=near.len() {
        if wrong < least {
            (least, places) = (wrong, (at, at));
        } else if wrong == least {
            places.1 = at;
        }
        if let Some(wait) = near.get(at) {
            wrong += if entered(wait) { 1 } else { -1 };
        }
    }
    let left = near[places.0.max(1) - 1].sent;
    let right = near[places.1.min(near.len() - 1)].sent;
    Some(((left + right) / 2.0, right - left))
}
