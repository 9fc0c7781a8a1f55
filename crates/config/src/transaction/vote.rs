//! The vote by which all gateways put a document in force at one moment.

use super::effect::{Effect, Figures};
use super::record::{Change, Step};
use super::schedule::{flip_at, start_of, ROUND_MS, VOTE_WITHIN_MS};
use super::slot::{read_pause_ms, Slot};
use super::state::{Armed, Round, Staged, State, Voting, Want};
use super::Machine;
use crate::ballot::{Ballot, Decision};

impl Machine {
    /// One step of a vote; true if another may follow at once.
    pub(super) fn vote(&mut self, now: f64, mut voting: Voting) -> bool {
        match voting.round.take() {
            Some(round) => self.run_round(now, voting, round),
            None => self.between_rounds(now, voting),
        }
    }

    /// Begins a round that this gateway can vote in, or gives up.
    fn between_rounds(&mut self, now: f64, mut voting: Voting) -> bool {
        if let Some(why) = voting.withdrawn {
            self.record(now, voting.change.epoch, Step::Dropped { why });
            return false;
        }
        if now >= voting.since + voting.terms.gather_within_ms {
            let why = self.missing(voting.seen);
            self.hold(now, voting.change, why);
            return false;
        }
        let number = (now / ROUND_MS).floor() as u64;
        let mut again = false;
        if number >= voting.first && now - start_of(number) <= VOTE_WITHIN_MS {
            voting.round = Some(self.begin_round(now, &voting.change, number));
            again = true;
        } else if number >= voting.first {
            voting.first = number + 1;
        }
        self.state = State::Voting(voting);
        again
    }

    fn begin_round(&mut self, now: f64, change: &Change, number: u64) -> Round {
        // Recorded before it is said: a process after this one must not say it again.
        self.record(now, change.epoch, Step::Voted { round: number });
        let name = flip_name(change, number);
        let ballot = Ballot::new(name, self.gateways as u32, start_of(number));
        let mut ballot = ballot.reading(Some(read_pause_ms(self.gateways)));
        ballot.say_yes();
        Round { number, ballot }
    }

    fn run_round(&mut self, now: f64, mut voting: Voting, round: Round) -> bool {
        let Round { number, mut ballot } = round;
        voting.seen = voting.seen.max(ballot.seen());
        // All must say yes: while its own was never written, nobody can have seen enough.
        let barred = ballot.never_said() && now >= start_of(number + 1);
        match ballot.decided() {
            Some(Decision::Yes) => {
                self.arm(now, voting, number);
                return true;
            }
            decided if barred || (decided == Some(Decision::No) && ballot.done()) => {
                self.end_round(voting, number);
                return true;
            }
            Some(Decision::Lost) => {
                self.lost(now, &voting.change, "whether all gateways had it");
                return false;
            }
            _ => {}
        }
        if now >= start_of(number + 1) || voting.withdrawn.is_some() {
            ballot.end();
        }
        if !voting.doubt && now >= flip_at(number) && ballot.decided().is_none() {
            self.doubt_vote(&voting.change);
            voting.doubt = true;
        }
        let call = ballot.poll(now);
        let again = call.is_none()
            && ballot.decided().is_some_and(|decided| decided != Decision::No || ballot.done());
        self.out.extend(call.map(Effect::Call));
        voting.round = Some(Round { number, ballot });
        self.state = State::Voting(voting);
        again
    }

    /// All gateways have it.
    fn arm(&mut self, now: f64, voting: Voting, round: u64) {
        let Voting { change, terms, withdrawn, .. } = voting;
        self.record(now, change.epoch, Step::Armed { round });
        self.note(format!("epoch {}: all gateways have it; in force from {}", change.epoch, flip_at(round)));
        let want = withdrawn.map(Want::Back);
        let ahead = Box::new(Slot::ahead(&change, self.gateways, round, 0));
        self.state = State::Armed(Armed { change, terms, round, want, ahead });
    }

    /// Not all gateways said yes in this round: the next may be tried.
    fn end_round(&mut self, mut voting: Voting, number: u64) {
        if std::mem::take(&mut voting.doubt) {
            self.force_confirmed();
        }
        voting.first = number + 1;
        self.state = State::Voting(voting);
    }

    /// The flip's moment is here, and the vote's outcome is not known.
    fn doubt_vote(&mut self, change: &Change) {
        self.note(format!(
            "epoch {}: the vote's outcome is not known: the smaller figures hold",
            change.epoch
        ));
        self.force(Figures::Smaller(self.confirmed, change.epoch), self.confirmed, f64::NEG_INFINITY);
    }

    /// Why a vote is given up after which at most so many gateways were seen.
    fn missing(&self, seen: u32) -> String {
        match seen {
            0 => "no vote could be counted: the counter is silent".to_string(),
            seen => format!(
                "{seen} of {} gateways had it staged and applied; the others keep an older document",
                self.gateways
            ),
        }
    }

    fn hold(&mut self, now: f64, change: Change, why: String) {
        self.record(now, change.epoch, Step::Held { why: why.clone() });
        self.note(format!("epoch {}: held: {why}", change.epoch));
        self.state = State::Staged(Staged { change, held: Some(why) });
    }
}

/// Name of the ballot of a round.
pub(super) fn flip_name(change: &Change, round: u64) -> String {
    format!("cfg.{}.{round}", change.fingerprint)
}
