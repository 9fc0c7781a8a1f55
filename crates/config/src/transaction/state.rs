//! The phases of a transaction.

use super::record::{Change, Terms};
use super::schedule::Epoch;
use super::slot::Slot;
use crate::ballot::Ballot;

/// Why a trial is to end.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Want {
    /// An operator confirmed it.
    Confirm(String),
    /// It is to be taken back.
    Back(String),
}

/// What the machine is doing.
#[derive(Debug, Clone)]
pub(super) enum State {
    /// Nothing.
    Idle,
    /// A document waits to be applied.
    Staged(Staged),
    /// The gateways vote on it.
    Voting(Voting),
    /// All gateways have it; its moment comes.
    Armed(Armed),
    /// It is in force on trial.
    Trial(Trial),
}

/// A document that waits to be applied.
#[derive(Debug, Clone)]
pub(super) struct Staged {
    pub(super) change: Change,
    /// Why the last attempt to apply it ended.
    pub(super) held: Option<String>,
}

/// A round of voting and this gateway's ballot in it.
#[derive(Debug, Clone)]
pub(super) struct Round {
    pub(super) number: u64,
    pub(super) ballot: Ballot,
}

/// A vote on a document.
#[derive(Debug, Clone)]
pub(super) struct Voting {
    pub(super) change: Change,
    pub(super) terms: Terms,
    pub(super) since: f64,
    pub(super) round: Option<Round>,
    /// The first round that may be voted in.
    pub(super) first: u64,
    /// Most gateways that were seen to have it in one round.
    pub(super) seen: u32,
    pub(super) withdrawn: Option<String>,
    /// The smaller figures are in force, since the flip may have been.
    pub(super) doubt: bool,
}

/// A document that all gateways have, before its moment.
#[derive(Debug, Clone)]
pub(super) struct Armed {
    pub(super) change: Change,
    pub(super) terms: Terms,
    pub(super) round: u64,
    pub(super) want: Option<Want>,
    /// The first slot, marked ahead.
    pub(super) ahead: Box<Slot>,
}

/// A document on trial.
#[derive(Debug, Clone)]
pub(super) struct Trial {
    pub(super) change: Change,
    pub(super) until: f64,
    /// With other gateways: the vote on its end.
    pub(super) vote: Option<TrialVote>,
    pub(super) want: Option<Want>,
    /// The last confirmed sections are back already, though the vote on it is not known yet.
    pub(super) sheltered: bool,
}

/// The vote of all gateways on how a trial ends.
#[derive(Debug, Clone)]
pub(super) struct TrialVote {
    /// The round that decided on the trial.
    pub(super) round: u64,
    /// The slot that is being decided.
    pub(super) slot: Box<Slot>,
    /// And the next one, marked ahead.
    pub(super) ahead: Option<Box<Slot>>,
}

impl State {
    /// The document under way.
    pub(super) fn change(&self) -> Option<&Change> {
        match self {
            State::Idle => None,
            State::Staged(staged) => Some(&staged.change),
            State::Voting(voting) => Some(&voting.change),
            State::Armed(armed) => Some(&armed.change),
            State::Trial(trial) => Some(&trial.change),
        }
    }

    /// Its number; 0: nothing is under way.
    pub(super) fn epoch(&self) -> Epoch {
        self.change().map_or(0, |change| change.epoch)
    }
}
