//! What the machine says of itself to operators, and when it wants to be called.

use super::effect::Status;
use super::schedule::{flip_at, slot_end, start_of};
use super::state::{State, Trial, Voting, Want};
use super::Machine;

/// What a phase says of itself.
struct Phase {
    name: &'static str,
    note: Option<String>,
    until: Option<f64>,
}

impl Machine {
    /// What it is doing.
    pub fn status(&self) -> Status {
        let Phase { name, note, until } = self.state.phase();
        Status {
            confirmed: self.confirmed,
            phase: name.to_string(),
            change: self.change().cloned(),
            note,
            until,
            doubt: self.doubt,
        }
    }

    /// When [`Machine::tick`] is next of use, ms; infinity: only after something else.
    pub fn next_tick(&self) -> f64 {
        match &self.state {
            State::Idle | State::Staged(_) => f64::INFINITY,
            State::Voting(voting) => voting.next_tick(),
            State::Armed(armed) => flip_at(armed.round).min(armed.ahead.next()),
            State::Trial(trial) => trial.next_tick(),
        }
    }
}

impl State {
    fn phase(&self) -> Phase {
        match self {
            State::Idle => Phase { name: "idle", note: None, until: None },
            State::Staged(staged) => Phase { name: "staged", note: staged.held.clone(), until: None },
            State::Voting(voting) => {
                let doubt = voting.doubt.then(|| "the vote's outcome is not known yet".to_string());
                let note = voting.withdrawn.clone().or(doubt);
                Phase { name: "voting", note, until: Some(voting.since + voting.terms.gather_within_ms) }
            }
            State::Armed(armed) => {
                let note = Some("all gateways have it".to_string());
                Phase { name: "armed", note, until: Some(flip_at(armed.round)) }
            }
            State::Trial(trial) => {
                let note = trial.want.as_ref().map(|want| match want {
                    Want::Confirm(who) => format!("confirmed by {who}; the other gateways are being told"),
                    Want::Back(why) => format!("being taken back: {why}"),
                });
                Phase { name: "trial", note, until: Some(trial.until) }
            }
        }
    }

    /// Why a command that wants another phase can't be carried out.
    pub(super) fn busy(&self) -> String {
        let epoch = self.epoch();
        match self {
            State::Trial(_) => format!("epoch {epoch} is on trial: confirm it or roll it back first"),
            State::Armed(_) => format!("epoch {epoch} is about to be in force: wait, or roll it back"),
            State::Voting(_) => {
                format!("epoch {epoch} waits for the other gateways: wait, or roll it back")
            }
            State::Staged(_) => format!("epoch {epoch} is only staged"),
            State::Idle => "nothing is staged".to_string(),
        }
    }
}

impl Voting {
    fn next_tick(&self) -> f64 {
        let Some(round) = &self.round else {
            return start_of(self.first).min(self.since + self.terms.gather_within_ms);
        };
        let unless = |over: bool, at: f64| if over { f64::INFINITY } else { at };
        let ends = unless(round.ballot.ending(), start_of(round.number + 1));
        round.ballot.next().min(unless(self.doubt, flip_at(round.number))).min(ends)
    }
}

impl Trial {
    fn next_tick(&self) -> f64 {
        let Some(vote) = &self.vote else { return self.until };
        let ending = vote.slot.back.ending();
        let ends = if ending { f64::INFINITY } else { slot_end(vote.round, vote.slot.number) };
        let until = if matches!(self.want, Some(Want::Back(_))) { f64::INFINITY } else { self.until };
        let ahead = vote.ahead.as_ref().map_or(f64::INFINITY, |ahead| ahead.next());
        vote.slot.next().min(ahead).min(ends).min(until)
    }
}
