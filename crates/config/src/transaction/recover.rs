//! Going on from the records of earlier processes.

use super::record::{Change, Record, Step, Terms};
use super::schedule::{start_of, Epoch, ROUND_MS, SLOT_MS};
use super::slot::{BegunSlot, Slot};
use super::state::{Armed, Round, Staged, State, Trial, TrialVote, Voting, Want};
use super::vote::flip_name;
use super::Machine;
use crate::ballot::Ballot;

/// A trial as it was recorded.
#[derive(Debug, Clone, Copy)]
struct RecordedTrial {
    until: f64,
    round: Option<u64>,
}

/// What the records add up to.
#[derive(Debug, Default)]
struct History {
    confirmed: Epoch,
    last: Epoch,
    doubt: Option<Epoch>,
    change: Option<Change>,
    terms: Option<Terms>,
    voted: Option<u64>,
    armed: Option<u64>,
    trial: Option<RecordedTrial>,
    slot: BegunSlot,
}

impl History {
    fn read(records: &[Record]) -> History {
        let mut history = History::default();
        for record in records {
            history.last = history.last.max(record.epoch);
            history.take(record);
        }
        history
    }

    fn take(&mut self, record: &Record) {
        match &record.step {
            Step::Began { change } => self.confirmed = change.epoch,
            Step::Staged { change } => self.stage(change.clone()),
            Step::Voting { terms } => (self.terms, self.voted) = (Some(terms.clone()), None),
            Step::Voted { round } => self.voted = Some(*round),
            Step::Held { .. } => (self.terms, self.voted) = (None, None),
            Step::Armed { round } => self.armed = Some(*round),
            Step::Trial { until, round, marked } => {
                self.trial = Some(RecordedTrial { until: *until, round: *round });
                self.slot = BegunSlot { number: 0, marked: *marked };
            }
            Step::Slot { slot, marked } => self.slot = BegunSlot { number: *slot, marked: *marked },
            Step::Dropped { .. } | Step::RolledBack { .. } => self.change = None,
            Step::Confirmed { .. } => {
                (self.confirmed, self.change, self.doubt) = (record.epoch, None, None);
            }
            Step::InDoubt { .. } => (self.change, self.doubt) = (None, Some(record.epoch)),
            Step::Settled { .. } => self.doubt = None,
        }
    }

    fn stage(&mut self, change: Change) {
        self.change = Some(change);
        (self.terms, self.voted, self.armed, self.trial) = (None, None, None, None);
        self.slot = BegunSlot::default();
    }
}

impl Machine {
    /// Goes on from the records of earlier processes, oldest first; `None`: they hold no document.
    pub fn recover(gateways: usize, now: f64, records: &[Record]) -> Option<Machine> {
        let mut history = History::read(records);
        if history.confirmed == 0 {
            return None;
        }
        let mut machine = Machine {
            gateways: gateways.max(1),
            started: now,
            confirmed: history.confirmed,
            last: history.last,
            doubt: history.doubt,
            state: State::Idle,
            out: Vec::new(),
        };
        machine.force_confirmed();
        if let Some(change) = history.change.take() {
            machine.resume(now, change, history);
        }
        Some(machine)
    }

    /// Goes on with the document that was under way.
    fn resume(&mut self, now: f64, change: Change, history: History) {
        let terms = history.terms.unwrap_or(Terms {
            who: change.who.clone(),
            confirm_within_ms: SLOT_MS,
            gather_within_ms: ROUND_MS,
        });
        match (history.trial, history.armed, history.voted) {
            (Some(trial), ..) => self.resume_trial(now, change, trial, history.slot),
            (None, Some(round), _) => {
                let ahead = Box::new(Slot::ahead(&change, self.gateways, round, 0));
                self.state = State::Armed(Armed { change, terms, round, want: ended(), ahead });
            }
            (None, None, Some(round)) => self.resume_vote(now, change, terms, round),
            (None, None, None) => {
                let held = Some("the process ended before it was applied".to_string());
                self.state = State::Staged(Staged { change, held });
            }
        }
    }

    fn resume_trial(&mut self, now: f64, change: Change, trial: RecordedTrial, slot: BegunSlot) {
        let Some(round) = trial.round else {
            return self.ended_back(now, &change, ENDED_ON_TRIAL);
        };
        self.shelter(&change);
        let slot = Box::new(Slot::resumed(&change, self.gateways, round, slot));
        let vote = Some(TrialVote { round, slot, ahead: None });
        self.state = State::Trial(Trial { change, until: trial.until, vote, want: ended(), sheltered: true });
    }

    fn resume_vote(&mut self, now: f64, change: Change, terms: Terms, number: u64) {
        let name = flip_name(&change, number);
        let ballot = Ballot::resumed(name, self.gateways as u32, start_of(number));
        self.state = State::Voting(Voting {
            change,
            terms,
            since: now,
            round: Some(Round { number, ballot }),
            first: number + 1,
            seen: 0,
            withdrawn: Some("the process ended while it voted".to_string()),
            doubt: false,
        });
    }
}

/// Why a trial that a process did not survive is taken back.
const ENDED_ON_TRIAL: &str = "the process ended during the trial";

fn ended() -> Option<Want> {
    Some(Want::Back(ENDED_ON_TRIAL.to_string()))
}
