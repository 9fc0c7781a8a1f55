//! What operators, the guard and the counter tell the machine.

use super::effect::{refuse, Figures, Refusal};
use super::record::{Change, Step, Terms};
use super::schedule::{start_of, Epoch, ROUND_MS};
use super::state::{Staged, State, Voting, Want};
use super::Machine;
use crate::ballot::{Ballot, Reply};

impl Machine {
    /// Stages a checked and prepared document, in place of one that the same operator has staged. Its number must
    /// be [`Machine::next_epoch`], its base the last confirmed one.
    ///
    /// # Errors
    /// While another is under way, one of another operator is staged (unless `replace`), or the base is old.
    pub fn stage(&mut self, now: f64, change: Change, replace: bool) -> Result<(), Refusal> {
        match &self.state {
            State::Idle => {}
            State::Staged(Staged { change: old, .. }) if replace || old.who == change.who => {
                let (epoch, why) = (old.epoch, format!("replaced by {} of {}", change.epoch, change.who));
                self.record(now, epoch, Step::Dropped { why });
            }
            State::Staged(Staged { change: old, .. }) => {
                return refuse(format!(
                    "epoch {} of {} is staged: apply it, drop it with rollback, or stage with --replace",
                    old.epoch, old.who
                ));
            }
            _ => return refuse(self.state.busy()),
        }
        if change.epoch != self.next_epoch() || change.base != self.confirmed {
            return refuse(format!(
                "epoch {} was checked against epoch {}, and {} holds meanwhile: stage it again",
                change.epoch, change.base, self.confirmed
            ));
        }
        self.last = change.epoch;
        self.record(now, change.epoch, Step::Staged { change: change.clone() });
        self.state = State::Staged(Staged { change, held: None });
        Ok(())
    }

    /// Applies what is staged; `epoch`: it must be this one.
    ///
    /// # Errors
    /// Nothing is staged, another one is, or one is under way already.
    pub fn apply(&mut self, now: f64, epoch: Option<Epoch>, terms: Terms) -> Result<(), Refusal> {
        let State::Staged(Staged { change, .. }) = &self.state else { return refuse(self.state.busy()) };
        if let Some(wanted) = epoch.filter(|wanted| *wanted != change.epoch) {
            return refuse(format!("epoch {} of {} is staged, not {wanted}", change.epoch, change.who));
        }
        if change.base != self.confirmed {
            return refuse(format!(
                "it was checked against epoch {}, and {} holds now: stage it again",
                change.base, self.confirmed
            ));
        }
        let change = change.clone();
        if change.shared && self.gateways > 1 {
            self.begin_vote(now, change, terms);
        } else {
            self.begin_trial(now, change, terms.confirm_within_ms, None, None);
        }
        Ok(())
    }

    fn begin_vote(&mut self, now: f64, change: Change, terms: Terms) {
        self.record(now, change.epoch, Step::Voting { terms: terms.clone() });
        let first = (now.max(self.started) / ROUND_MS).floor() as u64;
        // A round that began before this process may hold a yes of the one before it.
        let first = if start_of(first) < self.started { first + 1 } else { first };
        self.state = State::Voting(Voting {
            change,
            terms,
            since: now,
            round: None,
            first,
            seen: 0,
            withdrawn: None,
            doubt: false,
        });
        self.tick(now);
    }

    /// Confirms what is on trial.
    ///
    /// # Errors
    /// Nothing is on trial, or it is being taken back.
    pub fn confirm(&mut self, now: f64, who: &str) -> Result<(), Refusal> {
        let State::Trial(trial) = &mut self.state else {
            return refuse(format!("nothing is on trial: {}", self.state.busy()));
        };
        if let Some(Want::Back(why)) = &trial.want {
            return refuse(format!("epoch {} is being taken back: {why}", trial.change.epoch));
        }
        if trial.vote.is_some() {
            trial.want = Some(Want::Confirm(who.to_string()));
            self.tick(now);
        } else {
            let change = trial.change.clone();
            self.ended_confirmed(now, &change, who);
        }
        Ok(())
    }

    /// Drops what is staged, or takes back what is under way. With nothing under way it ends a doubt: the last
    /// confirmed document's own figures hold.
    ///
    /// # Errors
    /// Nothing to take back.
    pub fn rollback(&mut self, now: f64, who: &str, why: &str) -> Result<(), Refusal> {
        let reason = if why.is_empty() { format!("by {who}") } else { format!("by {who}: {why}") };
        match &mut self.state {
            State::Idle => {
                let Some(epoch) = self.doubt.take() else { return refuse("nothing to take back") };
                self.record(now, epoch, Step::Settled { who: who.to_string() });
                self.force(Figures::Of(self.confirmed), self.confirmed, f64::NEG_INFINITY);
                Ok(())
            }
            State::Staged(staged) => {
                let epoch = staged.change.epoch;
                self.state = State::Idle;
                self.record(now, epoch, Step::Dropped { why: reason });
                Ok(())
            }
            State::Voting(voting) => {
                voting.withdrawn = Some(reason);
                self.tick(now);
                Ok(())
            }
            State::Armed(armed) => {
                armed.want = Some(Want::Back(reason));
                Ok(())
            }
            State::Trial(_) => {
                self.back(now, reason);
                Ok(())
            }
        }
    }

    /// The guard found that answers got worse: takes the trial of this document back.
    pub fn tripped(&mut self, now: f64, epoch: Epoch, why: &str) {
        if matches!(&self.state, State::Trial(trial) if trial.change.epoch == epoch) {
            self.back(now, format!("the guard: {why}"));
        }
    }

    /// The counter's answer to the call on this name.
    pub fn answered(&mut self, now: f64, name: &str, reply: Reply) {
        if let Some(ballot) = self.ballot(name) {
            ballot.answered(now, reply);
        }
        self.tick(now);
    }

    /// The open ballot of this name.
    fn ballot(&mut self, name: &str) -> Option<&mut Ballot> {
        match &mut self.state {
            State::Idle | State::Staged(_) => None,
            State::Voting(voting) => {
                let ballot = voting.round.as_mut().map(|round| &mut round.ballot);
                ballot.filter(|ballot| ballot.name() == name)
            }
            State::Armed(armed) => armed.ahead.ballot(name),
            State::Trial(trial) => {
                let vote = trial.vote.as_mut()?;
                let ahead = vote.ahead.as_mut();
                vote.slot.ballot(name).or_else(|| ahead?.ballot(name))
            }
        }
    }
}
