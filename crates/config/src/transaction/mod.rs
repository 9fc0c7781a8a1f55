//! A change of configuration as a transaction, without I/O.
//!
//! ```text
//!  stage            apply            all gateways have it     the flip's moment
//!  ------> Staged ---------> Voting ----------------------> Armed ------------> Trial ---> confirmed
//!             ^                 | not all in time: held                           |
//!             +-----------------+                                                 +------> rolled back
//! ```
//!
//! A change that touches nothing that gateways must agree on, or that has no other gateways, goes from Staged to
//! Trial at once. Others vote, in rounds that all gateways number alike ([`ROUND_MS`]): a round in which every
//! gateway said yes makes the flip, at one moment for all ([`flip_at`]); any other ends with nothing changed.
//! The trial runs in slots ([`SLOT_MS`]) with two ballots each: one calls for the change to be taken back, at
//! once; the other confirms it at the end of the slot, unless it was called back in it.
//!
//! What a gateway spends by while it can't know how a vote went is the smaller of both figures, plan by plan.
//! Before each step that others can see, a record goes to the history: [`Machine::recover`] goes on from there
//! after a crash at any place.

//!
//! - `schedule`: rounds, the flip and slots, as all gateways number them
//! - `record`: documents and the steps that the history keeps
//! - `effect`: what the machine decides, refuses and says of itself
//! - `state`: the phases, with `vote`, `trial` and `slot` for their steps
//! - `command`: what operators, the guard and the counter tell it
//! - `recover`: going on after a crash
//! - `status`: what it is doing, and when it wants to be called

mod command;
mod effect;
mod record;
mod recover;
mod schedule;
mod slot;
mod state;
mod status;
mod trial;
mod vote;

pub use effect::{Effect, Figures, InForce, Refusal, Status};
pub use record::{Change, Record, Step, Terms};
pub use schedule::{flip_at, Epoch, GRACE_MS, MOST_TRIAL_MS, ROUND_MS, SLOT_MS};

use state::State;

/// Steps of one tick at most that follow each other at once.
const STEPS_MOST: usize = 8;

/// The transaction machine of one gateway.
#[derive(Debug, Clone)]
pub struct Machine {
    gateways: usize,
    /// When this process started, ms: it votes only in rounds that began later, so that two processes of one
    /// gateway never say yes in the same round.
    started: f64,
    confirmed: Epoch,
    last: Epoch,
    doubt: Option<Epoch>,
    state: State,
    out: Vec<Effect>,
}

impl Machine {
    /// A machine whose first document is in force. `gateways`: how many share the counter; 1 also where there
    /// is no counter to vote with.
    pub fn new(gateways: usize, now: f64, first: Change) -> Machine {
        let epoch = first.epoch;
        let mut machine = Machine {
            gateways: gateways.max(1),
            started: now,
            confirmed: epoch,
            last: epoch,
            doubt: None,
            state: State::Idle,
            out: Vec::new(),
        };
        machine.record(now, epoch, Step::Began { change: first });
        machine.force(Figures::Of(epoch), epoch, f64::NEG_INFINITY);
        machine
    }

    /// What was decided since the last call.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    /// The number that the next document to be staged will have.
    pub fn next_epoch(&self) -> Epoch {
        self.last + 1
    }

    /// How many gateways must agree.
    pub fn gateways(&self) -> usize {
        self.gateways
    }

    /// The last confirmed document.
    pub fn confirmed(&self) -> Epoch {
        self.confirmed
    }

    /// The document under way.
    pub fn change(&self) -> Option<&Change> {
        self.state.change()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: f64) {
        // Each pass takes at most one step; a few follow each other at once.
        for _ in 0..STEPS_MOST {
            if !self.step(now) {
                break;
            }
        }
    }

    /// One step; true if another may follow at once.
    fn step(&mut self, now: f64) -> bool {
        match std::mem::replace(&mut self.state, State::Idle) {
            state @ (State::Idle | State::Staged(_)) => {
                self.state = state;
                false
            }
            State::Voting(voting) => self.vote(now, voting),
            State::Armed(armed) => self.run_armed(now, armed),
            State::Trial(trial) => self.run_trial(now, trial),
        }
    }

    /// The last confirmed document, at once.
    fn force_confirmed(&mut self) {
        let figures = self.figures_now();
        self.force(figures, self.confirmed, f64::NEG_INFINITY);
    }

    fn figures_now(&self) -> Figures {
        match self.doubt {
            Some(other) => Figures::Smaller(self.confirmed, other),
            None => Figures::Of(self.confirmed),
        }
    }

    fn force(&mut self, plans: Figures, sections: Epoch, from: f64) {
        self.out.push(Effect::Force(InForce { sections, plans, from }));
    }

    fn record(&mut self, at: f64, epoch: Epoch, step: Step) {
        self.out.push(Effect::Record(Record { epoch, at, step }));
    }

    fn note(&mut self, text: String) {
        self.out.push(Effect::Note(text));
    }
}
