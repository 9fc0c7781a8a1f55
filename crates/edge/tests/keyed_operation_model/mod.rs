//! Breadth-first search through all interleavings of a small system with one keyed operation.

mod core;
mod state;

use siphasher::sip128::{Hasher128, SipHasher13};
use state::{Action, SystemState};
use std::collections::{HashSet, VecDeque};
use std::fmt::{self, Write};
use std::hash::Hasher;

/// A fault that is injected into the model, to test that the search detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The leader answers a claim when it proposes the entry, before the entry is committed.
    AnswerBeforeCommit,
    /// A new leader continues with the ages that its predecessor measured by its own clock.
    ClockKeptByNewLeader,
    /// A holder that does not answer a recall is assumed to have released its claim.
    SilentHolderAssumedReleased,
    /// A restarted gateway has the same incarnation as before, and numbers its claims from the start again.
    IncarnationReused,
    /// A claim takes over the operation from any holder, not only from the one that released it.
    UncheckedTakeover,
    /// A recall delivers another answer than the holder stored.
    AlteredAnswer,
}

/// How often each kind of event may happen in one history.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub fault: Fault,
    pub requests: u8,
    /// Calls whose caller stops waiting; their messages are lost or late.
    pub timeouts: u8,
    /// Claims that reach the leader a second time.
    pub duplicates: u8,
    pub leader_changes: u8,
    pub crashes: u8,
    /// Requests to servers whose outcome remains unknown.
    pub runs_in_doubt: u8,
    /// Refusals by a server, or by the gateway after the grant, which state that the operation did not run.
    pub refusals: u8,
    /// Steps of time, each a third of a window.
    pub time_steps: u8,
}

/// Statistics of a search.
#[derive(Debug, Default)]
pub struct Visited {
    pub states: usize,
    /// Highest number of runs in one history; each run is after the window of the one before.
    pub runs: usize,
    /// Highest number of clients in one history that received the answer.
    pub answered: usize,
}

struct Digest(SipHasher13);

impl Write for Digest {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

fn digest(state: &SystemState) -> u128 {
    let mut digest = Digest(SipHasher13::new());
    write!(digest, "{state:?}").expect("writing to a digest cannot fail");
    digest.0.finish128().as_u128()
}

/// Visits every state within the bounds.
///
/// # Errors
/// The shortest history that breaks a rule.
pub fn search(bounds: Bounds) -> Result<Visited, String> {
    let initial = SystemState::new(bounds);
    let is_undisturbed =
        [bounds.timeouts, bounds.leader_changes, bounds.crashes, bounds.runs_in_doubt, bounds.refusals]
            == [0; 5];
    let (mut digests, mut visited) = (HashSet::from([digest(&initial)]), Visited::default());
    // Each step holds the index of the step before it and its action; the initial state has none.
    let mut steps: Vec<(usize, Option<Action>)> = vec![(0, None)];
    let mut queue = VecDeque::from([(initial, 0)]);
    while let Some((state, step)) = queue.pop_front() {
        visited.states += 1;
        let (runs, answered) = state.counts();
        (visited.runs, visited.answered) = (visited.runs.max(runs), visited.answered.max(answered));
        let actions = state.enabled_actions();
        if actions.is_empty() && is_undisturbed {
            state.check_all_answered().map_err(|violation| history(&steps, step, &violation))?;
        }
        for action in actions {
            let mut state = state.clone();
            let violation = state.apply(action).err();
            steps.push((step, Some(action)));
            if let Some(violation) = violation {
                return Err(history(&steps, steps.len() - 1, &violation));
            }
            if digests.insert(digest(&state)) {
                queue.push_back((state, steps.len() - 1));
            } else {
                steps.pop();
            }
        }
    }
    Ok(visited)
}

/// The violation and the actions that lead to this step.
fn history(steps: &[(usize, Option<Action>)], mut step: usize, violation: &str) -> String {
    let mut actions = Vec::new();
    while let (previous, Some(action)) = steps[step] {
        actions.push(format!("{action:?}"));
        step = previous;
    }
    actions.reverse();
    format!("{violation}, after {}", actions.join(", "))
}
