//! Every order in which a few gateways' calls can reach the counter, with a bounded number of lost answers, lost
//! calls and counters replaced by an empty one: no two gateways ever decide differently.

use nickeljunction_config::ballot::{Ballot, Decision, Reply};
use std::collections::HashSet;

#[derive(Clone)]
struct State {
    total: f64,
    ballots: Vec<Ballot>,
    /// Orders to end the ballot, still to be given.
    ends: Vec<bool>,
    lost: u32,
    replaced: u32,
}

impl State {
    /// What tells two states apart: everything but times.
    fn key(&self) -> String {
        let mut key = format!("{:.3} {:?} {} {}", self.total, self.ends, self.lost, self.replaced);
        for ballot in &self.ballots {
            let text = format!("{ballot:?}");
            let (before, after) = text.split_once("next: ").expect("a field");
            key += before;
            key += after.split_once(',').expect("more fields").1;
        }
        key
    }

    fn check(&self) {
        let decided = |wanted| self.ballots.iter().any(|ballot| ballot.decided() == Some(wanted));
        let both = decided(Decision::Yes) && decided(Decision::No);
        assert!(!both, "two decisions: {:#?}", self.ballots);
    }
}

fn explore(state: State, step: u32, seen: &mut HashSet<String>, ends: &mut HashSet<String>) {
    state.check();
    if step > 60 || !seen.insert(state.key()) {
        return;
    }
    let now = 1_000.0 + f64::from(step) * 300.0;
    let mut moved = false;
    for at in 0..state.ballots.len() {
        if state.ends[at] {
            let mut next = state.clone();
            next.ends[at] = false;
            next.ballots[at].end();
            explore(next, step + 1, seen, ends);
        }
        let mut asked = state.clone();
        let Some(call) = asked.ballots[at].poll(now) else { continue };
        moved = true;
        // Added and answered.
        let mut next = asked.clone();
        next.total += call.amount;
        let total = next.total;
        next.ballots[at].answered(now, Reply::Total(total));
        explore(next, step + 1, seen, ends);
        if asked.lost > 0 && call.amount != 0.0 {
            for added in [true, false] {
                let mut next = asked.clone();
                next.lost -= 1;
                next.total += if added { call.amount } else { 0.0 };
                next.ballots[at].answered(now, Reply::Unknown);
                explore(next, step + 1, seen, ends);
            }
        }
    }
    if state.replaced > 0 {
        let mut next = state.clone();
        (next.replaced, next.total) = (next.replaced - 1, 0.0);
        explore(next, step + 1, seen, ends);
    }
    if !moved {
        ends.insert(format!("{:?}", state.ballots.iter().map(Ballot::decided).collect::<Vec<_>>()));
    }
}

/// `says`: who says yes; `needed` of them decide it. All end it at some time, in any order.
/// `ahead`: all had marked it before.
fn all_orders(says: &[bool], needed: u32, lost: u32, replaced: u32, ahead: bool) -> HashSet<String> {
    let ballots = says.iter().map(|says| {
        let mut ballot = Ballot::new("b".into(), needed, 0.0).with_mark(ahead);
        if *says {
            ballot.say_yes();
        }
        ballot
    });
    let total = if ahead { 0.001 * says.len() as f64 } else { 0.0 };
    let state = State { total, ballots: ballots.collect(), ends: vec![true; says.len()], lost, replaced };
    let (mut seen, mut ends) = (HashSet::new(), HashSet::new());
    explore(state, 0, &mut seen, &mut ends);
    println!("{says:?} needed {needed}: {} states, ends {ends:?}", seen.len());
    ends
}

#[test]
fn a_vote_of_all_is_decided_alike_in_every_order() {
    let ends = all_orders(&[true, true], 2, 0, 0, false);
    assert!(ends.contains("[Some(Yes), Some(Yes)]") && ends.contains("[Some(No), Some(No)]"), "{ends:?}");
    all_orders(&[true, true], 2, 2, 0, false);
    all_orders(&[true, true, true], 3, 0, 0, false);
}

#[test]
fn a_call_of_one_is_decided_alike_in_every_order() {
    let ends = all_orders(&[true, false], 1, 0, 0, false);
    assert!(ends.contains("[Some(Yes), Some(Yes)]") && ends.contains("[Some(No), Some(No)]"), "{ends:?}");
    all_orders(&[true, false], 1, 2, 0, false);
    all_orders(&[true, true, false], 1, 0, 0, false);
    all_orders(&[true, true], 1, 1, 0, false);
}

#[test]
fn a_counter_replaced_by_an_empty_one_leaves_a_gateway_without_decision_rather_than_with_another() {
    // A vote of all needs no mark ahead: who has not said yes before the counter is replaced, was not counted.
    for (says, needed, ahead) in [
        ([true, true], 2, false),
        ([true, false], 1, true),
        ([true, true], 1, true),
        ([false, false], 1, true),
    ] {
        let ends = all_orders(&says, needed, 0, 1, ahead);
        assert!(ends.iter().any(|end| end.contains("Lost")), "{ends:?}");
    }
}
