//! All interleavings of a small world of keyed operations, breadth first.

mod core;
mod state;

use siphasher::sip128::{Hasher128, SipHasher13};
use state::{Act, World};
use std::collections::{HashSet, VecDeque};
use std::fmt::{self, Write};
use std::hash::Hasher;

/// What is broken on purpose in the rig.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Claims are answered once they are proposed.
    AnsweredBeforeCommit,
    /// A leader goes on with the ages that the one before measured by its own clock.
    ClockKept,
    /// A holder that doesn't answer is taken to have released its claim.
    SilentIsReleased,
    /// A gateway's next process has the life of the one before, and numbers its claims anew.
    LifeReused,
    /// A claim takes over whoever holds the operation.
    BlindTakeover,
    /// A holder's answer isn't the one that it kept.
    AnswerAltered,
}

/// How often each may happen.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub fault: Fault,
    pub tries: u8,
    /// Calls that nobody awaits any more; their messages are lost, or late.
    pub timeouts: u8,
    /// Claims that reach the leader once more.
    pub repeats: u8,
    /// Leaders that follow one another.
    pub changes: u8,
    pub crashes: u8,
    /// Runs that end in doubt.
    pub broken: u8,
    /// Servers, or the gateway after the grant, that vouch that nothing ran.
    pub refusals: u8,
    /// Thirds of a window that go by.
    pub passes: u8,
}

/// What a search has seen.
#[derive(Debug, Default)]
pub struct Visited {
    pub states: usize,
    /// Most runs in one history, each after the window of the one before.
    pub runs: usize,
    /// Most clients in one history that were told the answer.
    pub answered: usize,
}

struct Digest(SipHasher13);

impl Write for Digest {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

fn digest(world: &World) -> u128 {
    let mut digest = Digest(SipHasher13::new());
    write!(digest, "{world:?}").expect("a digest takes all");
    digest.0.finish128().as_u128()
}

/// Looks at every state within the bounds.
///
/// # Errors
/// The shortest history that breaks a rule.
pub fn search(bounds: Bounds) -> Result<Visited, String> {
    let first = World::new(bounds);
    let is_undisturbed =
        [bounds.timeouts, bounds.changes, bounds.crashes, bounds.broken, bounds.refusals] == [0; 5];
    let (mut seen, mut visited) = (HashSet::from([digest(&first)]), Visited::default());
    let mut steps: Vec<(usize, Option<Act>)> = vec![(0, None)];
    let mut next = VecDeque::from([(first, 0)]);
    while let Some((world, at)) = next.pop_front() {
        visited.states += 1;
        let (runs, answered) = world.seen();
        (visited.runs, visited.answered) = (visited.runs.max(runs), visited.answered.max(answered));
        let acts = world.acts();
        if acts.is_empty() && is_undisturbed {
            world.check_served().map_err(|broken| history(&steps, at, &broken))?;
        }
        for act in acts {
            let mut world = world.clone();
            let broken = world.take(act).err();
            steps.push((at, Some(act)));
            if let Some(broken) = broken {
                return Err(history(&steps, steps.len() - 1, &broken));
            }
            if seen.insert(digest(&world)) {
                next.push_back((world, steps.len() - 1));
            } else {
                steps.pop();
            }
        }
    }
    Ok(visited)
}

fn history(steps: &[(usize, Option<Act>)], mut at: usize, broken: &str) -> String {
    let mut acts = Vec::new();
    while let (before, Some(act)) = steps[at] {
        acts.push(format!("{act:?}"));
        at = before;
    }
    acts.reverse();
    format!("{broken}, after {}", acts.join(", "))
}
