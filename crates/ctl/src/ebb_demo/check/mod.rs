//! The check: pure, it trusts the logs of clients and stand-ins alone. Each finding is a sentence.

mod calm;
mod order;
mod runs;
mod stages;

use super::record::Log;
use super::waits::{samples, Sample};
pub use stages::{crossings, plateaus, Crossing, Plateau};

#[cfg(test)]
mod tests;

/// So many findings of a rule are told one by one.
const MOST: usize = 6;

/// A rule, and what was found against it.
#[derive(Debug, Clone, PartialEq)]
pub struct Ruling {
    /// The rule.
    pub rule: &'static str,
    /// Sentences; none: it was kept.
    pub found: Vec<String>,
    /// What was measured, for people.
    pub measured: String,
}

/// What rules share.
struct Case<'a> {
    log: &'a Log,
    waits: Vec<Sample>,
    crossings: Vec<Crossing>,
    plateaus: Vec<Plateau>,
}

impl Case<'_> {
    fn gateway(&self, at: usize) -> &str {
        &self.log.gateways[at]
    }
}

/// Judges a day by all rules.
pub fn check(log: &Log) -> Vec<Ruling> {
    let waits = samples(log);
    let crossings = crossings(log, &waits);
    let plateaus = plateaus(log, &crossings);
    let case = Case { log, waits, crossings, plateaus };
    let rulings = vec![
        runs::bookings(&case),
        runs::answers(&case),
        stages::all_entered(&case),
        order::giving_way(&case),
        order::bookings_wait_for_nothing(&case),
        stages::evenness(&case),
        stages::in_step(&case),
        calm::other_tenant(&case),
        calm::restored(&case),
        calm::no_herd(&case),
    ];
    rulings.into_iter().map(shortened).collect()
}

fn shortened(mut ruling: Ruling) -> Ruling {
    let more = ruling.found.len().saturating_sub(MOST);
    ruling.found.truncate(MOST);
    if more > 0 {
        ruling.found.push(format!("and {more} more against this rule"));
    }
    ruling
}
