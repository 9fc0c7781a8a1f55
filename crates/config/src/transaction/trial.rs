//! The trial of a document, and how it ends.

use super::effect::{Effect, Figures};
use super::record::{Change, Step};
use super::schedule::{flip_at, slot_end, MOST_TRIAL_MS};
use super::slot::Slot;
use super::state::{Armed, State, Trial, TrialVote, Want};
use super::Machine;
use crate::ballot::{Ballot, Decision};

const NOT_CONFIRMED: &str = "not confirmed in time";

impl Machine {
    /// Waits for the moment that all gateways agreed on; true if another step may follow at once.
    pub(super) fn run_armed(&mut self, now: f64, mut armed: Armed) -> bool {
        if now < flip_at(armed.round) {
            self.out.extend(armed.ahead.poll(now));
            self.state = State::Armed(armed);
            return false;
        }
        let Armed { change, terms, round, want, ahead } = armed;
        let vote = TrialVote { round, slot: ahead.open(), ahead: None };
        self.begin_trial(now, change, terms.confirm_within_ms, Some(vote), want);
        true
    }

    /// One step of a trial; true if another may follow at once.
    pub(super) fn run_trial(&mut self, now: f64, mut trial: Trial) -> bool {
        if let Some(vote) = trial.vote.take() {
            return self.run_slot(now, trial, vote);
        }
        if now >= trial.until {
            self.ended_back(now, &trial.change, NOT_CONFIRMED);
        } else {
            self.state = State::Trial(trial);
        }
        false
    }

    pub(super) fn begin_trial(
        &mut self,
        now: f64,
        change: Change,
        within_ms: f64,
        vote: Option<TrialVote>,
        want: Option<Want>,
    ) {
        let round = vote.as_ref().map(|vote| vote.round);
        let until = round.map_or(now, flip_at) + within_ms.clamp(1.0, MOST_TRIAL_MS);
        let marked = vote.as_ref().is_some_and(|vote| vote.slot.marked());
        self.record(now, change.epoch, Step::Trial { until, round, marked });
        let sheltered = matches!(want, Some(Want::Back(_)));
        if sheltered {
            self.shelter(&change);
        } else {
            let from = round.map_or(f64::NEG_INFINITY, flip_at);
            self.force(Figures::Of(change.epoch), change.epoch, from);
            self.out.push(Effect::Watch(Some(change.epoch)));
            self.note(format!("epoch {} is on trial until {until:.0}", change.epoch));
        }
        self.state = State::Trial(Trial { change, until, vote, want, sheltered });
    }

    /// Back to the last confirmed sections before the vote on it is known; the smaller figures for the plans.
    pub(super) fn shelter(&mut self, change: &Change) {
        self.out.push(Effect::Watch(None));
        self.force(Figures::Smaller(self.confirmed, change.epoch), self.confirmed, f64::NEG_INFINITY);
    }

    /// Takes the trial back, if one is under way.
    pub(super) fn back(&mut self, now: f64, why: String) {
        let State::Trial(trial) = &mut self.state else { return };
        if matches!(trial.want, Some(Want::Back(_))) {
            return;
        }
        let change = trial.change.clone();
        if trial.vote.is_none() {
            return self.ended_back(now, &change, &why);
        }
        trial.want = Some(Want::Back(why));
        if !std::mem::replace(&mut trial.sheltered, true) {
            self.shelter(&change);
        }
        self.tick(now);
    }

    fn run_slot(&mut self, now: f64, mut trial: Trial, vote: TrialVote) -> bool {
        let TrialVote { round, mut slot, ahead } = vote;
        if now >= trial.until && !matches!(trial.want, Some(Want::Back(_))) {
            trial.want = Some(Want::Back(NOT_CONFIRMED.to_string()));
            if !std::mem::replace(&mut trial.sheltered, true) {
                self.shelter(&trial.change);
            }
        }
        let mut next = ahead
            .unwrap_or_else(|| Box::new(Slot::ahead(&trial.change, self.gateways, round, slot.number + 1)));
        match &trial.want {
            Some(Want::Back(_)) => slot.back.say_yes(),
            Some(Want::Confirm(_)) => slot.confirm.say_yes(),
            None => {}
        }
        if now >= slot_end(round, slot.number) {
            slot.back.end();
            slot.confirm.end();
        }
        match (slot.back.decided(), slot.confirm.decided()) {
            (Some(Decision::Yes), _) => {
                self.voted_back(now, trial);
                return false;
            }
            (Some(Decision::Lost), _) | (_, Some(Decision::Lost)) => {
                self.lost(now, &trial.change, "whether the trial was taken back or confirmed");
                return false;
            }
            (Some(Decision::No), Some(Decision::Yes)) => {
                self.voted_confirmed(now, trial);
                return false;
            }
            (Some(Decision::No), Some(Decision::No)) if slot.back.done() && slot.confirm.done() => {
                let step = Step::Slot { slot: next.number, marked: next.marked() };
                self.record(now, trial.change.epoch, step);
                trial.vote = Some(TrialVote { round, slot: next.open(), ahead: None });
                self.state = State::Trial(trial);
                return true;
            }
            _ => {}
        }
        self.out.extend(slot.poll(now));
        self.out.extend(next.poll(now));
        let lost = |ballot: &Ballot| ballot.decided() == Some(Decision::Lost);
        let again = lost(&slot.back) || lost(&slot.confirm);
        trial.vote = Some(TrialVote { round, slot, ahead: Some(next) });
        self.state = State::Trial(trial);
        again
    }

    /// Some gateway took the trial back.
    fn voted_back(&mut self, now: f64, trial: Trial) {
        let why = match trial.want {
            Some(Want::Back(why)) => why,
            _ => "another gateway took it back".to_string(),
        };
        self.ended_back(now, &trial.change, &why);
    }

    /// Some gateway confirmed the trial, and none took it back.
    fn voted_confirmed(&mut self, now: f64, trial: Trial) {
        let who = match trial.want {
            Some(Want::Confirm(who)) => who,
            _ => "another gateway".to_string(),
        };
        if trial.sheltered {
            self.force(Figures::Of(trial.change.epoch), trial.change.epoch, f64::NEG_INFINITY);
        }
        self.ended_confirmed(now, &trial.change, &who);
    }

    pub(super) fn ended_confirmed(&mut self, now: f64, change: &Change, who: &str) {
        self.record(now, change.epoch, Step::Confirmed { who: who.to_string() });
        self.note(format!("epoch {} is confirmed by {who}", change.epoch));
        (self.confirmed, self.doubt, self.state) = (change.epoch, None, State::Idle);
        self.out.push(Effect::Watch(None));
    }

    pub(super) fn ended_back(&mut self, now: f64, change: &Change, why: &str) {
        // In force first, written down after: a crash between the two ends in the same.
        self.out.push(Effect::Watch(None));
        self.force_confirmed();
        self.record(now, change.epoch, Step::RolledBack { why: why.to_string() });
        self.note(format!("epoch {} is rolled back: {why}", change.epoch));
        self.state = State::Idle;
    }

    pub(super) fn lost(&mut self, now: f64, change: &Change, what: &str) {
        let why = format!("{what} can't be known any more: the counter lost it or was silent too long");
        self.note(format!("epoch {} is in doubt: {why}", change.epoch));
        self.doubt = Some(change.epoch);
        self.out.push(Effect::Watch(None));
        self.force_confirmed();
        self.record(now, change.epoch, Step::InDoubt { why });
        self.state = State::Idle;
    }
}
