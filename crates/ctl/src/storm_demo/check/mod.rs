//! The check: pure, it trusts the notes of operators, readers, clients and stand-ins alone. Each finding is a sentence.

mod control;
mod gateways;

use super::facts::Facts;
use super::record::Log;

/// So many findings of a rule are told one by one.
const MOST: usize = 6;

/// A rule, and what was found against it.
#[derive(Debug, Clone, PartialEq)]
pub struct Ruling {
    /// The rule.
    pub rule: &'static str,
    /// Sentences; none: it was kept.
    pub found: Vec<String>,
    /// What was looked at, for people.
    pub measured: String,
}

/// Judges by all rules.
pub fn check(log: &Log) -> Vec<Ruling> {
    let facts = Facts::of(log);
    let rulings = vec![
        control::one_change(&facts),
        control::taken_is_not_refused(&facts),
        control::reads_never_go_back(&facts),
        control::reads_show_what_was_sent(&facts),
        control::nothing_is_lost(&facts),
        control::linearizable(&facts),
        control::changes_go_on(&facts),
        gateways::serve_what_is_in_force(&facts),
        gateways::never_go_back(&facts),
        gateways::in_time(&facts),
        gateways::of_one_configuration(&facts),
        gateways::once(&facts),
        gateways::own_answers(&facts),
        no_process_ends(log),
    ];
    rulings.into_iter().map(shortened).collect()
}

/// No process of the system ends by itself.
fn no_process_ends(log: &Log) -> Ruling {
    let count = log.cores.len() + log.gateways.len();
    Ruling {
        rule: "no process ends by itself",
        found: log.ended.clone(),
        measured: format!("{count} machines"),
    }
}

/// With the first findings alone, and a word on how many more there are.
pub(crate) fn shortened(mut ruling: Ruling) -> Ruling {
    let more = ruling.found.len().saturating_sub(MOST);
    ruling.found.truncate(MOST);
    if more > 0 {
        ruling.found.push(format!("and {more} more against this rule"));
    }
    ruling
}

/// For findings.
fn second(at: f64) -> String {
    format!("second {:.3}", at / 1_000.0)
}
