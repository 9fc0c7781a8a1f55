//! The promise, judged over a history.

use crate::chain::{Chain, Order};
use crate::{Answer, Call, Exchange, Kind, Status};
use quick_error::quick_error;
use std::collections::BTreeMap;

quick_error! {
    /// What a history shows to have been broken.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Violation {
        /// Two changes were acknowledged on one base.
        Fork(base: u64, one: Box<Call>, other: Box<Call>) {
            display("two changes on version {} were acknowledged: {:?} and {:?}", base, one, other)
        }
        /// Two changes were acknowledged under one number.
        DuplicateVersion(version: u64, one: Box<Call>, other: Box<Call>) {
            display("two changes of number {} were acknowledged: {:?} and {:?}", version, one, other)
        }
        /// A change that was taken was refused.
        AppliedRefused(call: Box<Call>, answer: Answer) {
            display("a change that was taken was refused: {:?}, answered {:?}", call, answer)
        }
        /// A proper change was refused while the version that it builds on was current.
        UnjustifiedRefusal(call: Box<Call>, answer: Answer) {
            display("refused, though nothing came between: {:?}, answered {:?}", call, answer)
        }
        /// A change was acknowledged that is not valid, or whose version is not above its base.
        InvalidAcknowledged(call: Box<Call>) {
            display("acknowledged, though it is not proper: {:?}", call)
        }
        /// A change was acknowledged that was first sent when a newer version than its base was in force.
        StaleBaseAcknowledged(call: Box<Call>, newer: u64) {
            display("acknowledged, though version {} was in force when it was first sent: {:?}", newer, call)
        }
        /// A read saw less than was known before it was sent.
        StaleRead(call: Box<Call>, version: u64, known: u64) {
            display("a read saw version {}, version {} was known before it: {:?}", version, known, call)
        }
        /// A read saw a version that nobody had asked for by then, or only with changes that were refused.
        UnexplainedVersion(call: Box<Call>, version: u64) {
            display("a read saw version {}, which no change can have made by then: {:?}", version, call)
        }
        /// A version that was acknowledged or read is not in the chain of a newer one.
        LostVersion(older: u64, newer: u64) {
            display("version {} was in force, and version {} is not built on it", older, newer)
        }
    }
}

/// What was judged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Summary {
    /// Changes, each with all its copies.
    pub changes: usize,
    /// Copies of changes that were sent.
    pub copies: usize,
    /// Changes that were acknowledged.
    pub acknowledged: usize,
    /// Copies that were acknowledged after an acknowledgement of the same change.
    pub repeats: usize,
    /// Copies that were refused.
    pub refused: usize,
    /// Reads that were answered.
    pub reads: usize,
}

/// Judges a history.
///
/// # Errors
/// The first violation that it shows.
pub fn check(history: &[Exchange]) -> Result<Summary, Violation> {
    let chain = Chain::of(history);
    acknowledged_once(&chain)?;
    for exchange in history {
        let Some(answer) = exchange.answer else { continue };
        let call = &exchange.call;
        match answer.status {
            Status::Read(version) => read(&chain, call, version, answer.received_ms)?,
            Status::Conflict | Status::Invalid if call.kind != Kind::Read => refusal(&chain, call, answer)?,
            _ => {}
        }
    }
    one_chain(&chain)?;
    Ok(summary(&chain, history))
}

fn boxed(order: &Order) -> Box<Call> {
    Box::new(order.call.clone())
}

/// No two changes on one base, none of one number; each proper, and none on what was out of force when it was first sent.
fn acknowledged_once(chain: &Chain) -> Result<(), Violation> {
    let (mut on, mut of) = (BTreeMap::new(), BTreeMap::new());
    for order in chain.orders.iter().filter(|order| order.acked_ms.is_some()) {
        let call = order.call;
        if let Some(other) = on.insert(call.base, order) {
            return Err(Violation::Fork(call.base, boxed(other), boxed(order)));
        }
        if let Some(other) = of.insert(call.version, order) {
            return Err(Violation::DuplicateVersion(call.version, boxed(other), boxed(order)));
        }
        if !call.valid || call.version <= call.base {
            return Err(Violation::InvalidAcknowledged(boxed(order)));
        }
        let newer = chain.known_at(order.sent_ms);
        if newer > call.base {
            return Err(Violation::StaleBaseAcknowledged(boxed(order), newer));
        }
    }
    Ok(())
}

/// A read goes back behind nothing that was known before it, and sees only what was asked for.
fn read(chain: &Chain, call: &Call, version: u64, at: u64) -> Result<(), Violation> {
    let known = chain.known_at(call.sent_ms);
    if version < known {
        return Err(Violation::StaleRead(Box::new(call.clone()), version, known));
    }
    let made = chain.makers(version).iter().any(|order| order.sent_ms <= at);
    if version > 0 && !made {
        return Err(Violation::UnexplainedVersion(Box::new(call.clone()), version));
    }
    Ok(())
}

/// A refusal is right where another version than the change's base was current at some moment between call and answer.
fn refusal(chain: &Chain, call: &Call, answer: Answer) -> Result<(), Violation> {
    let Some(order) = chain.order_of(call) else { return Ok(()) };
    let refused =
        |violation: fn(Box<Call>, Answer) -> Violation| Err(violation(Box::new(call.clone()), answer));
    // Acknowledged, or found in force, by the time at which this copy was sent; or its base was, so that it can't have
    // been refused for coming too early.
    let acked = order.acked_ms.is_some_and(|at| at < call.sent_ms);
    let in_force = chain.certain_at(call.base, call.sent_ms);
    if chain.taken(order) && (acked || in_force) {
        return refused(Violation::AppliedRefused);
    }
    if !call.valid || call.version <= call.base {
        return Ok(());
    }
    let other = |rival: &&Order| !std::ptr::eq(*rival, order) && rival.sent_ms <= answer.received_ms;
    let came_between = chain.takers(call.base).iter().any(other);
    if in_force && (!came_between || chain.still_current(call.base, answer.received_ms)) {
        return refused(Violation::UnjustifiedRefusal);
    }
    Ok(())
}

/// All that was in force lies on one chain.
fn one_chain(chain: &Chain) -> Result<(), Violation> {
    let versions: Vec<u64> = chain.in_force.iter().copied().collect();
    match versions.windows(2).find(|two| !chain.leads_to(two[0], two[1])) {
        Some(two) => Err(Violation::LostVersion(two[0], two[1])),
        None => Ok(()),
    }
}

fn summary(chain: &Chain, history: &[Exchange]) -> Summary {
    let of = |wanted: fn(Status) -> bool| history.iter().filter(|one| wanted(one.status())).count();
    let acknowledged = chain.orders.iter().filter(|order| order.acked_ms.is_some()).count();
    Summary {
        changes: chain.orders.len(),
        copies: history.iter().filter(|one| one.call.kind != Kind::Read).count(),
        acknowledged,
        repeats: of(|status| status == Status::Acknowledged) - acknowledged,
        refused: of(|status| matches!(status, Status::Conflict | Status::Invalid)),
        reads: of(|status| matches!(status, Status::Read(_))),
    }
}
