//! Those that claim keyed operations, scripted: many for few operations, at members of their choice, through whatever
//! befalls these. What they are granted is checked as it comes.

use crate::{node_of, Answer, Node, Out, Packet, Question};
use nickeljunction_messages::{ClaimAnswer, ClaimCall, Claimant, OperationId};
use nickeljunction_operations::OperationTable;
use std::collections::BTreeMap;

/// Numbers of their calls, beyond those of operators and servers.
pub(crate) const FIRST_CALL: u64 = 1 << 50;
/// A call without an answer is repeated, unchanged, after so long, ms.
const ANSWER_MS: u64 = 700;
/// One that was sent on, or has no clear answer, after that.
const AGAIN_MS: u64 = 50;
/// Without a clear answer by then a claim is given up, ms.
const PATIENCE_MS: u64 = 4_000;
/// Operations that are claimed at a time, and for how long these, ms.
const OPERATIONS: u64 = 60;
const SAME_FOR_MS: u64 = 10_000;
/// `key_window_s` of all worlds, ms.
const WINDOW_MS: u64 = 60_000;

/// Where a claim stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It has no clear answer yet.
    Asking { to: Node, again_at: u64 },
    /// It was granted, and its operation run.
    Ran { at: u64 },
    /// It will never be used, and ran nowhere.
    Released,
    /// Held by another one, or given up: it will never be used, and doesn't say so.
    Over,
}

#[derive(Debug)]
struct Claim {
    call: ClaimCall,
    begun_at: u64,
    phase: Phase,
}

impl Claim {
    /// Nobody else may run the operation.
    fn holds(&self, now: u64) -> bool {
        matches!(self.phase, Phase::Ran { at } if now < at + WINDOW_MS)
    }
}

/// See the module.
#[derive(Debug)]
pub struct Claimants {
    node: Node,
    members: usize,
    seed: u64,
    /// A new claim comes so often, ms; 0: none.
    pub every_ms: u64,
    next_at: u64,
    rng: fastrand::Rng,
    /// By the number of the claimant.
    claims: Vec<Claim>,
    /// Claims that wait for an answer, by the number of their last call.
    calls: BTreeMap<u64, usize>,
    next_call: u64,
    /// Claims that were granted.
    pub granted: usize,
    /// Answers that another claim holds the operation.
    pub held: usize,
    /// Claims that were granted in the place of a released one.
    pub taken_over: usize,
}

impl Claimants {
    pub(crate) fn new(node: Node, members: usize, seed: u64) -> Claimants {
        Claimants {
            node,
            members,
            seed,
            every_ms: 0,
            next_at: 0,
            rng: fastrand::Rng::with_seed(seed),
            claims: Vec::new(),
            calls: BTreeMap::new(),
            next_call: FIRST_CALL,
            granted: 0,
            held: 0,
            taken_over: 0,
        }
    }

    pub(crate) fn wake(&self) -> u64 {
        let next = if self.every_ms > 0 { self.next_at } else { u64::MAX };
        let asking = self.claims.iter().filter_map(|claim| match claim.phase {
            Phase::Asking { again_at, .. } => Some(again_at),
            _ => None,
        });
        asking.chain([next]).min().unwrap_or(u64::MAX)
    }

    pub(crate) fn turn(&mut self, now: u64, out: &mut Out) {
        if self.every_ms > 0 && self.next_at <= now {
            self.next_at = now + self.rng.u64(1..=2 * self.every_ms);
            let operation = now / SAME_FOR_MS * OPERATIONS + self.rng.u64(..OPERATIONS);
            self.begin(now, OperationId(operation.into()), None);
        }
        for number in 0..self.claims.len() {
            let Claim { call, begun_at, phase } = self.claims[number];
            let Phase::Asking { to, again_at } = phase else { continue };
            if again_at > now {
                continue;
            }
            if now >= begun_at + PATIENCE_MS {
                self.calls.retain(|_, of| *of != number);
                self.claims[number].phase = self.end();
                continue;
            }
            self.next_call += 1;
            self.calls.insert(self.next_call, number);
            out.posts.push((to, Packet::Ask(self.node, self.next_call, Question::Claim(call))));
            let to = self.rng.usize(..self.members);
            self.claims[number].phase = Phase::Asking { to, again_at: now + ANSWER_MS };
        }
    }

    /// A claim that is not used is released, or its claimant falls silent.
    fn end(&mut self) -> Phase {
        if self.rng.bool() {
            Phase::Released
        } else {
            Phase::Over
        }
    }

    fn begin(&mut self, now: u64, operation: OperationId, released: Option<Claimant>) {
        let claimant =
            Claimant { host: [10, 1, 0, 1].into(), incarnation: 1, number: self.claims.len() as u64 };
        let call = ClaimCall { operation, claimant, released };
        let phase = Phase::Asking { to: self.rng.usize(..self.members), again_at: now };
        self.claims.push(Claim { call, begun_at: now, phase });
    }

    pub(crate) fn heard(&mut self, now: u64, call: u64, answer: &Answer) {
        let Some(number) = self.calls.remove(&call) else { return };
        if !matches!(self.claims[number].phase, Phase::Asking { .. }) {
            return;
        }
        match answer {
            Answer::Claim(ClaimAnswer::Granted) => self.granted(now, number),
            Answer::Claim(ClaimAnswer::Held(holder)) => self.held(now, number, *holder),
            Answer::Elsewhere(leader) => {
                let known = leader.as_deref().and_then(node_of);
                let to = known.unwrap_or_else(|| self.rng.usize(..self.members));
                self.claims[number].phase = Phase::Asking { to, again_at: now + AGAIN_MS };
            }
            _ => {
                let to = self.rng.usize(..self.members);
                self.claims[number].phase = Phase::Asking { to, again_at: now + AGAIN_MS };
            }
        }
    }

    fn granted(&mut self, now: u64, number: usize) {
        let call = self.claims[number].call;
        let same = |claim: &&Claim| claim.call.operation == call.operation && claim.holds(now);
        let other = self.claims.iter().find(same);
        assert!(other.is_none(), "seed {}, {now} ms: {call:?} is granted beside {other:?}", self.seed);
        self.granted += 1;
        self.taken_over += usize::from(call.released.is_some());
        self.claims[number].phase =
            if self.rng.u8(..3) == 0 { Phase::Released } else { Phase::Ran { at: now } };
    }

    fn held(&mut self, now: u64, number: usize, holder: Claimant) {
        let call = self.claims[number].call;
        assert_ne!(holder, call.claimant, "seed {}, {now} ms", self.seed);
        self.held += 1;
        self.claims[number].phase = self.end();
        if self.claims[holder.number as usize].phase == Phase::Released {
            self.begin(now, call.operation, Some(holder));
        }
    }

    /// All that was granted within the window is remembered.
    pub(crate) fn check(&self, now: u64, table: &OperationTable) {
        for claim in self.claims.iter().filter(|claim| claim.holds(now)) {
            let holder = table.holder(claim.call.operation);
            assert_eq!(holder, Some(claim.call.claimant), "seed {}, {now} ms: {claim:?}", self.seed);
        }
    }
}
