//! Searches a history for violations of the guarantee.

use crate::chain::{Chain, Change};
use crate::{Answer, Call, Exchange, Kind, Status};
use quick_error::quick_error;
use std::collections::BTreeMap;

quick_error! {
    /// A violation of the guarantee that a history proves.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Violation {
        /// Two changes on one base were acknowledged.
        Fork(base: u64, one: Box<Call>, other: Box<Call>) {
            display("two changes on version {} were acknowledged: {:?} and {:?}", base, one, other)
        }
        /// Two changes with one version were acknowledged.
        DuplicateVersion(version: u64, one: Box<Call>, other: Box<Call>) {
            display("two changes with version {} were acknowledged: {:?} and {:?}", version, one, other)
        }
        /// A change that had been applied was refused.
        AppliedRefused(call: Box<Call>, answer: Answer) {
            display("an applied change was refused: {:?}, answered {:?}", call, answer)
        }
        /// A valid change was refused while the version that it builds on was current.
        UnjustifiedRefusal(call: Box<Call>, answer: Answer) {
            display("a change was refused without a conflicting change: {:?}, answered {:?}", call, answer)
        }
        /// A change was acknowledged that is not valid, or whose version is not above its base.
        InvalidAcknowledged(call: Box<Call>) {
            display("an invalid change, or one whose version is not above its base, was acknowledged: {:?}", call)
        }
        /// A change was acknowledged that was first sent when a newer version than its base was in force.
        StaleBaseAcknowledged(call: Box<Call>, newer: u64) {
            display("a change was acknowledged, though version {} was in force when it was first sent: {:?}", newer, call)
        }
        /// A read returned an older version than was known before it was sent.
        StaleRead(call: Box<Call>, version: u64, known: u64) {
            display("a read returned version {}, though version {} was known before it: {:?}", version, known, call)
        }
        /// A read returned a version that no change sent by then can have created, or only refused or invalid ones.
        UnexplainedVersion(call: Box<Call>, version: u64) {
            display("a read returned version {}, which no change can have created by then: {:?}", version, call)
        }
        /// A version that was acknowledged or read is not in the chain of a newer one.
        LostVersion(older: u64, newer: u64) {
            display("version {} was in force, and version {} is not built on it", older, newer)
        }
    }
}

/// Counts of a history without violations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Summary {
    /// Changes; all copies of one change count once.
    pub changes: usize,
    /// Copies of changes that were sent.
    pub copies: usize,
    /// Changes that were acknowledged.
    pub acknowledged: usize,
    /// Acknowledgements of copies beyond the first acknowledgement of each change.
    pub repeats: usize,
    /// Copies that were refused.
    pub refused: usize,
    /// Reads that were answered.
    pub reads: usize,
}

/// Checks a history.
///
/// # Errors
/// The first violation found.
pub fn check(history: &[Exchange]) -> Result<Summary, Violation> {
    let chain = Chain::from_history(history);
    check_acknowledged(&chain)?;
    for exchange in history {
        let Some(answer) = exchange.answer else { continue };
        let call = &exchange.call;
        match answer.status {
            Status::Read(version) => check_read(&chain, call, version, answer.received_ms)?,
            Status::Conflict | Status::Invalid if call.kind != Kind::Read => {
                check_refusal(&chain, call, answer)?;
            }
            _ => {}
        }
    }
    check_single_chain(&chain)?;
    Ok(summarize(&chain, history))
}

fn boxed_call(change: &Change) -> Box<Call> {
    Box::new(change.call.clone())
}

/// Acknowledged changes have distinct bases and distinct versions; each is valid, and its base was not yet superseded
/// when it was first sent.
fn check_acknowledged(chain: &Chain) -> Result<(), Violation> {
    let (mut by_base, mut by_version) = (BTreeMap::new(), BTreeMap::new());
    for change in chain.changes.iter().filter(|change| change.acked_ms.is_some()) {
        let call = change.call;
        if let Some(other) = by_base.insert(call.base, change) {
            return Err(Violation::Fork(call.base, boxed_call(other), boxed_call(change)));
        }
        if let Some(other) = by_version.insert(call.version, change) {
            return Err(Violation::DuplicateVersion(call.version, boxed_call(other), boxed_call(change)));
        }
        if !call.valid || call.version <= call.base {
            return Err(Violation::InvalidAcknowledged(boxed_call(change)));
        }
        let newer = chain.newest_proved_before(change.first_sent_ms);
        if newer > call.base {
            return Err(Violation::StaleBaseAcknowledged(boxed_call(change), newer));
        }
    }
    Ok(())
}

/// A read returns no older version than was known before it, and only a version that a change sent by then can have
/// created.
fn check_read(chain: &Chain, call: &Call, version: u64, received_ms: u64) -> Result<(), Violation> {
    let known = chain.newest_proved_before(call.sent_ms);
    if version < known {
        return Err(Violation::StaleRead(Box::new(call.clone()), version, known));
    }
    let explained = chain.possible_creators(version).iter().any(|change| change.first_sent_ms <= received_ms);
    if version > 0 && !explained {
        return Err(Violation::UnexplainedVersion(Box::new(call.clone()), version));
    }
    Ok(())
}

/// A refusal is justified if another version than the change's base was current at some moment between call and answer.
fn check_refusal(chain: &Chain, call: &Call, answer: Answer) -> Result<(), Violation> {
    let Some(change) = chain.change_of(call) else { return Ok(()) };
    let error =
        |violation: fn(Box<Call>, Answer) -> Violation| Err(violation(Box::new(call.clone()), answer));
    // A copy of an applied change must not be refused if the change was acknowledged before the copy was sent. The same
    // holds if the base was in force by then, because the copy can't have been refused for arriving before its base.
    let acked_before = change.acked_ms.is_some_and(|acked_ms| acked_ms < call.sent_ms);
    let base_in_force = chain.proved_before(call.base, call.sent_ms);
    if chain.certainly_applied(change) && (acked_before || base_in_force) {
        return error(Violation::AppliedRefused);
    }
    if !call.valid || call.version <= call.base {
        return Ok(());
    }
    let is_rival =
        |other: &&Change| !std::ptr::eq(*other, change) && other.first_sent_ms <= answer.received_ms;
    let rival_possible = chain.possible_successors(call.base).iter().any(is_rival);
    if base_in_force && (!rival_possible || chain.still_current(call.base, answer.received_ms)) {
        return error(Violation::UnjustifiedRefusal);
    }
    Ok(())
}

/// All versions that were in force lie on one chain.
fn check_single_chain(chain: &Chain) -> Result<(), Violation> {
    let versions: Vec<u64> = chain.in_force.iter().copied().collect();
    match versions.windows(2).find(|pair| !chain.leads_to(pair[0], pair[1])) {
        Some(pair) => Err(Violation::LostVersion(pair[0], pair[1])),
        None => Ok(()),
    }
}

fn summarize(chain: &Chain, history: &[Exchange]) -> Summary {
    let count =
        |matches: fn(Status) -> bool| history.iter().filter(|exchange| matches(exchange.status())).count();
    let acknowledged = chain.changes.iter().filter(|change| change.acked_ms.is_some()).count();
    Summary {
        changes: chain.changes.len(),
        copies: history.iter().filter(|exchange| exchange.call.kind != Kind::Read).count(),
        acknowledged,
        repeats: count(|status| status == Status::Acknowledged) - acknowledged,
        refused: count(|status| matches!(status, Status::Conflict | Status::Invalid)),
        reads: count(|status| matches!(status, Status::Read(_))),
    }
}
