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

use crate::ballot::{Ballot, Call, Decision, Reply};
use serde::{Deserialize, Serialize};

/// Number of a document: 1 is the one that the history began with.
pub type Epoch = u64;

/// Length of a round of voting, ms, and how long after its start a gateway still says yes: later it might not
/// be counted before the round's end.
pub const ROUND_MS: f64 = 4_000.0;
const VOTE_WITHIN_MS: f64 = 2_500.0;
/// From a round's end to the flip, ms: time to learn how the round went.
pub const GRACE_MS: f64 = 1_000.0;
/// Length of a slot of a trial, ms.
pub const SLOT_MS: f64 = 5_000.0;
/// Each gateway adds so much to the pause between two reads, ms.
const READ_MS_EACH: f64 = 20.0;
/// Longest trial and longest wait for the other gateways, ms.
pub const MOST_TRIAL_MS: f64 = 24.0 * 3_600_000.0;

/// When the plans of a round's vote hold from, ms: for each franchisee's windows that begin then or later.
pub fn flip_at(round: u64) -> f64 {
    (round + 1) as f64 * ROUND_MS + GRACE_MS
}

/// A staged document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its number.
    pub epoch: Epoch,
    /// The confirmed one that it was checked against.
    pub base: Epoch,
    /// Digest of document and files.
    pub digest: String,
    /// Fingerprint of what must agree over the gateways.
    pub fingerprint: String,
    /// That differs from what holds now.
    pub shared: bool,
    /// Who staged it.
    pub who: String,
    /// And why.
    pub why: String,
}

/// How a change is to be applied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Who applied it.
    pub who: String,
    /// Without a confirmation after so long on trial it is taken back, ms.
    pub confirm_within_ms: f64,
    /// Without all gateways after so long it is held, ms.
    pub gather_within_ms: f64,
}

/// A step of a transaction, as the history keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Step {
    /// The first document, in force without a trial.
    Began {
        /// The document.
        change: Change,
    },
    /// Checked, prepared and waiting to be applied.
    Staged {
        /// The document.
        change: Change,
    },
    /// Given up before it was applied.
    Dropped {
        /// Why.
        why: String,
    },
    /// Waits for the other gateways.
    Voting {
        /// How it is applied.
        terms: Terms,
    },
    /// Says yes in this round; recorded before it does.
    Voted {
        /// The round.
        round: u64,
    },
    /// Not all gateways had it in time: staged as before.
    Held {
        /// What was missing.
        why: String,
    },
    /// All gateways have it: the flip is at [`flip_at`].
    Armed {
        /// The round that decided.
        round: u64,
    },
    /// On trial; recorded before it is in force.
    Trial {
        /// Until when, ms.
        until: f64,
        /// The round that decided, with other gateways.
        round: Option<u64>,
        /// The ballots of its first slot were marked ahead.
        marked: bool,
    },
    /// A slot of a trial begins.
    Slot {
        /// Its number.
        slot: u64,
        /// Its ballots were marked ahead.
        marked: bool,
    },
    /// In force for good.
    Confirmed {
        /// Who confirmed it.
        who: String,
    },
    /// The last confirmed document is back.
    RolledBack {
        /// Why.
        why: String,
    },
    /// Nobody can know any more how the vote went: the last confirmed document holds, with the smaller figures.
    InDoubt {
        /// Which vote.
        why: String,
    },
    /// An operator ended the doubt: the last confirmed document's own figures hold.
    Settled {
        /// Who.
        who: String,
    },
}

/// A step with its transaction and time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The document's number.
    pub epoch: Epoch,
    /// When, Unix ms.
    pub at: f64,
    /// What.
    #[serde(flatten)]
    pub step: Step,
}

/// Plans' figures in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Figures {
    /// Those of one document.
    Of(Epoch),
    /// The smaller ones of two, plan by plan.
    Smaller(Epoch, Epoch),
}

/// What is in force.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct InForce {
    /// All sections but the plans are this document's.
    pub sections: Epoch,
    /// The plans.
    pub plans: Figures,
    /// They hold for windows that begin from then on, ms; negative infinity: for all, at once.
    pub from: f64,
}

/// What the driver is to do, in this order, each whole before the next.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Keep it, durably where there is a disk.
    Record(Record),
    /// Put it in force between two turns of the core loop. Can't fail.
    Force(InForce),
    /// Watch the answers given under this document, or none.
    Watch(Option<Epoch>),
    /// Call the counter; the answer goes to [`Machine::answered`].
    Call(Call),
    /// A line for the log.
    Note(String),
}

/// Why a command can't be carried out.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal(pub String);

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Refusal {}

fn refuse<T>(why: impl Into<String>) -> Result<T, Refusal> {
    Err(Refusal(why.into()))
}

/// Why a trial is to end.
#[derive(Debug, Clone, PartialEq)]
enum Want {
    Confirm(String),
    Back(String),
}

/// The vote of one slot.
#[derive(Debug, Clone)]
struct Slot {
    number: u64,
    back: Ballot,
    confirm: Ballot,
}

impl Slot {
    fn open(mut self: Box<Self>) -> Box<Self> {
        self.back.open();
        self.confirm.open();
        self
    }

    fn marked(&self) -> bool {
        self.back.marked() && self.confirm.marked()
    }

    fn poll(&mut self, now: f64) -> impl Iterator<Item = Effect> {
        [self.back.poll(now), self.confirm.poll(now)].into_iter().flatten().map(Effect::Call)
    }

    fn next(&self) -> f64 {
        self.back.next().min(self.confirm.next())
    }
}

#[derive(Debug, Clone)]
enum State {
    Idle,
    Staged {
        change: Change,
        held: Option<String>,
    },
    Voting {
        change: Change,
        terms: Terms,
        since: f64,
        round: Option<(u64, Ballot)>,
        /// The first round that may be voted in.
        first: u64,
        /// Most gateways that were seen to have it in one round.
        seen: u32,
        withdrawn: Option<String>,
        /// The smaller figures are in force, since the flip may have been.
        doubt: bool,
    },
    Armed {
        change: Change,
        terms: Terms,
        round: u64,
        want: Option<Want>,
        /// The first slot, marked ahead.
        ahead: Box<Slot>,
    },
    Trial {
        change: Change,
        since: f64,
        until: f64,
        round: Option<u64>,
        /// With other gateways: the slot that is being decided.
        slot: Option<Box<Slot>>,
        /// And the next one, marked ahead.
        ahead: Option<Box<Slot>>,
        want: Option<Want>,
        /// The last confirmed sections are back already, though the vote on it is not known yet.
        sheltered: bool,
    },
}

/// What the machine is doing, for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The last confirmed document.
    pub confirmed: Epoch,
    /// `idle`, `staged`, `voting`, `armed`, `trial`.
    pub phase: String,
    /// The document under way.
    pub change: Option<Change>,
    /// Why a staged one is held, or what a trial waits for.
    pub note: Option<String>,
    /// When the phase ends by itself, Unix ms.
    pub until: Option<f64>,
    /// The document whose figures may hold at other gateways, while that can't be known.
    pub doubt: Option<Epoch>,
}

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

    /// Goes on from the records of earlier processes, oldest first; `None`: they hold no document.
    pub fn recover(gateways: usize, now: f64, records: &[Record]) -> Option<Machine> {
        let mut confirmed = 0;
        let (mut doubt, mut change, mut terms): (Option<Epoch>, Option<Change>, Option<Terms>) =
            (None, None, None);
        let (mut voted, mut armed, mut trial, mut slot) = (None, None, None, (0, false));
        let mut last = 0;
        for record in records {
            last = last.max(record.epoch);
            match &record.step {
                Step::Began { change } => confirmed = change.epoch,
                Step::Staged { change: staged } => {
                    change = Some(staged.clone());
                    (terms, voted, armed, trial, slot) = (None, None, None, None, (0, false));
                }
                Step::Voting { terms: wanted } => (terms, voted) = (Some(wanted.clone()), None),
                Step::Voted { round } => voted = Some(*round),
                Step::Held { .. } => (terms, voted) = (None, None),
                Step::Armed { round } => armed = Some(*round),
                Step::Trial { until, round, marked } => {
                    (trial, slot) = (Some((record.at, *until, *round)), (0, *marked));
                }
                Step::Slot { slot: begun, marked } => slot = (*begun, *marked),
                Step::Dropped { .. } => change = None,
                Step::Confirmed { .. } => (confirmed, change, doubt) = (record.epoch, None, None),
                Step::RolledBack { .. } => change = None,
                Step::InDoubt { .. } => (change, doubt) = (None, Some(record.epoch)),
                Step::Settled { .. } => doubt = None,
            }
        }
        if confirmed == 0 {
            return None;
        }
        let mut machine = Machine {
            gateways: gateways.max(1),
            started: now,
            confirmed,
            last,
            doubt,
            state: State::Idle,
            out: Vec::new(),
        };
        let figures = machine.figures_now();
        machine.force(figures, confirmed, f64::NEG_INFINITY);
        let Some(change) = change else { return Some(machine) };
        let terms = terms.unwrap_or(Terms {
            who: change.who.clone(),
            confirm_within_ms: SLOT_MS,
            gather_within_ms: ROUND_MS,
        });
        let died = || Some(Want::Back("the process ended during the trial".to_string()));
        match (trial, armed, voted) {
            (Some((_, _, None)), ..) => {
                machine.ended_back(now, &change, "the process ended during the trial");
            }
            (Some((since, until, Some(round))), ..) => {
                machine.shelter(&change);
                let slot = Some(Box::new(machine.resumed_slot(&change, round, slot)));
                let (round, want, ahead) = (Some(round), died(), None);
                machine.state =
                    State::Trial { change, since, until, round, slot, ahead, want, sheltered: true };
            }
            (None, Some(round), _) => {
                let ahead = Box::new(machine.slot(&change, round, 0));
                machine.state = State::Armed { change, terms, round, want: died(), ahead };
            }
            (None, None, Some(round)) => {
                let ballot =
                    Ballot::resumed(flip_name(&change, round), machine.gateways as u32, start_of(round));
                let why = Some("the process ended while it voted".to_string());
                machine.state = State::Voting {
                    change,
                    terms,
                    since: now,
                    round: Some((round, ballot)),
                    first: round + 1,
                    seen: 0,
                    withdrawn: why,
                    doubt: false,
                };
            }
            (None, None, None) => {
                let held = Some("the process ended before it was applied".to_string());
                machine.state = State::Staged { change, held };
            }
        }
        Some(machine)
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
        match &self.state {
            State::Idle => None,
            State::Staged { change, .. }
            | State::Voting { change, .. }
            | State::Armed { change, .. }
            | State::Trial { change, .. } => Some(change),
        }
    }

    /// What it is doing.
    pub fn status(&self) -> Status {
        let (phase, note, until) = match &self.state {
            State::Idle => ("idle", None, None),
            State::Staged { held, .. } => ("staged", held.clone(), None),
            State::Voting { since, terms, withdrawn, doubt, .. } => {
                let note =
                    withdrawn.clone().or(doubt.then(|| "the vote's outcome is not known yet".to_string()));
                ("voting", note, Some(since + terms.gather_within_ms))
            }
            State::Armed { round, .. } => {
                ("armed", Some("all gateways have it".to_string()), Some(flip_at(*round)))
            }
            State::Trial { until, want, .. } => {
                let note = want.as_ref().map(|want| match want {
                    Want::Confirm(who) => format!("confirmed by {who}; the other gateways are being told"),
                    Want::Back(why) => format!("being taken back: {why}"),
                });
                ("trial", note, Some(*until))
            }
        };
        Status {
            confirmed: self.confirmed,
            phase: phase.to_string(),
            change: self.change().cloned(),
            note,
            until,
            doubt: self.doubt,
        }
    }

    /// Stages a checked and prepared document, in place of one that the same operator has staged. Its number must
    /// be [`Machine::next_epoch`], its base the last confirmed one.
    ///
    /// # Errors
    /// While another is under way, one of another operator is staged (unless `replace`), or the base is old.
    pub fn stage(&mut self, now: f64, change: Change, replace: bool) -> Result<(), Refusal> {
        match &self.state {
            State::Idle => {}
            State::Staged { change: old, .. } if replace || old.who == change.who => {
                let (epoch, why) = (old.epoch, format!("replaced by {} of {}", change.epoch, change.who));
                self.record(now, epoch, Step::Dropped { why });
            }
            State::Staged { change: old, .. } => {
                return refuse(format!(
                    "epoch {} of {} is staged: apply it, drop it with rollback, or stage with --replace",
                    old.epoch, old.who
                ));
            }
            _ => return refuse(self.busy()),
        }
        if change.epoch != self.next_epoch() || change.base != self.confirmed {
            return refuse(format!(
                "epoch {} was checked against epoch {}, and {} holds meanwhile: stage it again",
                change.epoch, change.base, self.confirmed
            ));
        }
        self.last = change.epoch;
        self.record(now, change.epoch, Step::Staged { change: change.clone() });
        self.state = State::Staged { change, held: None };
        Ok(())
    }

    fn busy(&self) -> String {
        let epoch = self.change().map_or(0, |change| change.epoch);
        match &self.state {
            State::Trial { .. } => format!("epoch {epoch} is on trial: confirm it or roll it back first"),
            State::Armed { .. } => format!("epoch {epoch} is about to be in force: wait, or roll it back"),
            State::Voting { .. } => {
                format!("epoch {epoch} waits for the other gateways: wait, or roll it back")
            }
            State::Staged { .. } => format!("epoch {epoch} is only staged"),
            State::Idle => "nothing is staged".to_string(),
        }
    }

    /// Applies what is staged; `epoch`: it must be this one.
    ///
    /// # Errors
    /// Nothing is staged, another one is, or one is under way already.
    pub fn apply(&mut self, now: f64, epoch: Option<Epoch>, terms: Terms) -> Result<(), Refusal> {
        let State::Staged { change, .. } = &self.state else { return refuse(self.busy()) };
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
            self.record(now, change.epoch, Step::Voting { terms: terms.clone() });
            let first = (now.max(self.started) / ROUND_MS).floor() as u64;
            // A round that began before this process may hold a yes of the one before it.
            let first = if start_of(first) < self.started { first + 1 } else { first };
            self.state = State::Voting {
                change,
                terms,
                since: now,
                round: None,
                first,
                seen: 0,
                withdrawn: None,
                doubt: false,
            };
            self.tick(now);
        } else {
            self.begin_trial(now, change, terms.confirm_within_ms, None, None);
        }
        Ok(())
    }

    /// Confirms what is on trial.
    ///
    /// # Errors
    /// Nothing is on trial, or it is being taken back.
    pub fn confirm(&mut self, now: f64, who: &str) -> Result<(), Refusal> {
        let State::Trial { change, round, want, .. } = &mut self.state else {
            return refuse(format!("nothing is on trial: {}", self.busy()));
        };
        if let Some(Want::Back(why)) = want {
            return refuse(format!("epoch {} is being taken back: {why}", change.epoch));
        }
        if round.is_some() {
            *want = Some(Want::Confirm(who.to_string()));
            self.tick(now);
        } else {
            let change = change.clone();
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
            State::Staged { change, .. } => {
                let epoch = change.epoch;
                self.state = State::Idle;
                self.record(now, epoch, Step::Dropped { why: reason });
                Ok(())
            }
            State::Voting { withdrawn, .. } => {
                *withdrawn = Some(reason);
                self.tick(now);
                Ok(())
            }
            State::Armed { want, .. } => {
                *want = Some(Want::Back(reason));
                Ok(())
            }
            State::Trial { .. } => {
                self.back(now, reason);
                Ok(())
            }
        }
    }

    /// The guard found that answers got worse: takes the trial of this document back.
    pub fn tripped(&mut self, now: f64, epoch: Epoch, why: &str) {
        if matches!(&self.state, State::Trial { change, .. } if change.epoch == epoch) {
            self.back(now, format!("the guard: {why}"));
        }
    }

    /// The counter's answer to the call on this name.
    pub fn answered(&mut self, now: f64, name: &str, reply: Reply) {
        let ballot = match &mut self.state {
            State::Voting { round: Some((_, ballot)), .. } => {
                Some(ballot).filter(|ballot| ballot.name() == name)
            }
            State::Armed { ahead, .. } => of_slots([Some(ahead), None], name),
            State::Trial { slot, ahead, .. } => of_slots([slot.as_mut(), ahead.as_mut()], name),
            _ => None,
        };
        if let Some(ballot) = ballot {
            ballot.answered(now, reply);
        }
        self.tick(now);
    }

    /// When [`Machine::tick`] is next of use, ms; infinity: only after something else.
    pub fn next_tick(&self) -> f64 {
        match &self.state {
            State::Idle | State::Staged { .. } => f64::INFINITY,
            State::Voting { round: Some((round, ballot)), doubt, .. } => {
                let unless = |over: bool, at: f64| if over { f64::INFINITY } else { at };
                let ends = unless(ballot.ending(), start_of(*round + 1));
                ballot.next().min(unless(*doubt, flip_at(*round))).min(ends)
            }
            State::Voting { round: None, since, terms, first, .. } => {
                start_of(*first).min(since + terms.gather_within_ms)
            }
            State::Armed { round, ahead, .. } => flip_at(*round).min(ahead.next()),
            State::Trial { until, slot: None, .. } => *until,
            State::Trial { until, slot: Some(slot), ahead, round, want, .. } => {
                let ends = round.filter(|_| !slot.back.ending()).map(|round| slot_end(round, slot.number));
                let until = if matches!(want, Some(Want::Back(_))) { f64::INFINITY } else { *until };
                let ahead = ahead.as_ref().map_or(f64::INFINITY, |ahead| ahead.next());
                slot.next().min(ahead).min(ends.unwrap_or(f64::INFINITY)).min(until)
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: f64) {
        // Each pass takes at most one step; a few follow each other at once.
        for _ in 0..8 {
            if !self.step(now) {
                break;
            }
        }
    }

    /// One step; true if another may follow at once.
    fn step(&mut self, now: f64) -> bool {
        match std::mem::replace(&mut self.state, State::Idle) {
            state @ (State::Idle | State::Staged { .. }) => {
                self.state = state;
                false
            }
            State::Voting { change, terms, since, round, first, seen, withdrawn, doubt } => {
                self.vote(now, change, terms, since, round, first, seen, withdrawn, doubt)
            }
            State::Armed { change, terms, round, want, mut ahead } => {
                if now < flip_at(round) {
                    self.out.extend(ahead.poll(now));
                    self.state = State::Armed { change, terms, round, want, ahead };
                    return false;
                }
                self.begin_trial(now, change, terms.confirm_within_ms, Some((round, ahead)), want);
                true
            }
            State::Trial { change, since, until, round, slot, ahead, want, sheltered } => {
                match (round, slot) {
                    (Some(round), Some(slot)) => {
                        self.run_slot(now, change, since, until, round, slot, ahead, want, sheltered)
                    }
                    (round, slot) => {
                        if now >= until {
                            self.ended_back(now, &change, "not confirmed in time");
                        } else {
                            self.state =
                                State::Trial { change, since, until, round, slot, ahead, want, sheltered };
                        }
                        false
                    }
                }
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn vote(
        &mut self,
        now: f64,
        change: Change,
        terms: Terms,
        since: f64,
        round: Option<(u64, Ballot)>,
        first: u64,
        seen: u32,
        withdrawn: Option<String>,
        doubt: bool,
    ) -> bool {
        let late = now >= since + terms.gather_within_ms;
        let Some((number, mut ballot)) = round else {
            if let Some(why) = withdrawn {
                self.record(now, change.epoch, Step::Dropped { why });
                return false;
            }
            if late {
                let why = match seen {
                    0 => "no vote could be counted: the counter is silent".to_string(),
                    seen => format!(
                        "{seen} of {} gateways had it staged and applied; the others keep an older document",
                        self.gateways
                    ),
                };
                self.hold(now, change, why);
                return false;
            }
            let number = (now / ROUND_MS).floor() as u64;
            let mut again = false;
            let (mut round, mut first) = (None, first);
            if number >= first && now - start_of(number) <= VOTE_WITHIN_MS {
                // Recorded before it is said: a process after this one must not say it again.
                self.record(now, change.epoch, Step::Voted { round: number });
                let mut ballot =
                    Ballot::new(flip_name(&change, number), self.gateways as u32, start_of(number))
                        .reading(Some(READ_MS_EACH * self.gateways as f64));
                ballot.say_yes();
                (round, again) = (Some((number, ballot)), true);
            } else if number >= first {
                first = number + 1;
            }
            self.state = State::Voting { change, terms, since, round, first, seen, withdrawn, doubt };
            return again;
        };
        let seen = seen.max(ballot.seen());
        // All must say yes: while its own was never written, nobody can have seen enough.
        let barred = ballot.never_said() && now >= start_of(number + 1);
        match ballot.decided() {
            Some(Decision::Yes) => {
                self.record(now, change.epoch, Step::Armed { round: number });
                self.note(format!(
                    "epoch {}: all gateways have it; in force from {}",
                    change.epoch,
                    flip_at(number)
                ));
                let (want, ahead) = (withdrawn.map(Want::Back), Box::new(self.slot(&change, number, 0)));
                self.state = State::Armed { change, terms, round: number, want, ahead };
                return true;
            }
            decided if barred || (decided == Some(Decision::No) && ballot.done()) => {
                if doubt {
                    let figures = self.figures_now();
                    self.force(figures, self.confirmed, f64::NEG_INFINITY);
                }
                let first = number + 1;
                self.state =
                    State::Voting { change, terms, since, round: None, first, seen, withdrawn, doubt: false };
                return true;
            }
            Some(Decision::Lost) => {
                self.lost(now, &change, "whether all gateways had it");
                return false;
            }
            _ => {}
        }
        if now >= start_of(number + 1) || withdrawn.is_some() {
            ballot.end();
        }
        let doubt = doubt || {
            let unknown = now >= flip_at(number) && ballot.decided().is_none();
            if unknown {
                self.note(format!(
                    "epoch {}: the vote's outcome is not known: the smaller figures hold",
                    change.epoch
                ));
                self.force(Figures::Smaller(self.confirmed, change.epoch), self.confirmed, f64::NEG_INFINITY);
            }
            unknown
        };
        let call = ballot.poll(now);
        let again = call.is_none()
            && ballot.decided().is_some_and(|decided| decided != Decision::No || ballot.done());
        self.out.extend(call.map(Effect::Call));
        let round = Some((number, ballot));
        self.state = State::Voting { change, terms, since, round, first, seen, withdrawn, doubt };
        again
    }

    fn hold(&mut self, now: f64, change: Change, why: String) {
        self.record(now, change.epoch, Step::Held { why: why.clone() });
        self.note(format!("epoch {}: held: {why}", change.epoch));
        self.state = State::Staged { change, held: Some(why) };
    }

    fn begin_trial(
        &mut self,
        now: f64,
        change: Change,
        within_ms: f64,
        vote: Option<(u64, Box<Slot>)>,
        want: Option<Want>,
    ) {
        let (round, slot) = (vote.as_ref().map(|(round, _)| *round), vote.map(|(_, slot)| slot.open()));
        let since = round.map_or(now, flip_at);
        let until = since + within_ms.clamp(1.0, MOST_TRIAL_MS);
        let marked = slot.as_ref().is_some_and(|slot| slot.marked());
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
        let ahead = None;
        self.state = State::Trial { change, since, until, round, slot, ahead, want, sheltered };
    }

    /// The ballots of a slot, to be marked ahead of it.
    fn slot(&self, change: &Change, round: u64, number: u64) -> Slot {
        let (back, confirm, started) = slot_names(change, round, number);
        Slot {
            number,
            back: Ballot::new(back, 1, started).reading(Some(READ_MS_EACH * self.gateways as f64)).ahead(),
            confirm: Ballot::new(confirm, 1, started).reading(None).ahead(),
        }
    }

    /// Those that an earlier process was in: what it had said is unknown, so nothing is said again.
    fn resumed_slot(&self, change: &Change, round: u64, (number, marked): (u64, bool)) -> Slot {
        let (back, confirm, started) = slot_names(change, round, number);
        let ballot = |name| Ballot::resumed(name, 1, started).with_mark(marked);
        let back = ballot(back).reading(Some(READ_MS_EACH * self.gateways as f64));
        Slot { number, back, confirm: ballot(confirm).reading(None) }
    }

    /// Back to the last confirmed sections before the vote on it is known; the smaller figures for the plans.
    fn shelter(&mut self, change: &Change) {
        self.out.push(Effect::Watch(None));
        self.force(Figures::Smaller(self.confirmed, change.epoch), self.confirmed, f64::NEG_INFINITY);
    }

    fn back(&mut self, now: f64, why: String) {
        let State::Trial { change, slot, want, sheltered, .. } = &mut self.state else { return };
        if matches!(want, Some(Want::Back(_))) {
            return;
        }
        let change = change.clone();
        if slot.is_none() {
            return self.ended_back(now, &change, &why);
        }
        *want = Some(Want::Back(why));
        if !std::mem::replace(sheltered, true) {
            self.shelter(&change);
        }
        self.tick(now);
    }

    #[allow(clippy::too_many_arguments)]
    fn run_slot(
        &mut self,
        now: f64,
        change: Change,
        since: f64,
        until: f64,
        round: u64,
        mut slot: Box<Slot>,
        mut ahead: Option<Box<Slot>>,
        mut want: Option<Want>,
        mut sheltered: bool,
    ) -> bool {
        if now >= until && !matches!(want, Some(Want::Back(_))) {
            want = Some(Want::Back("not confirmed in time".to_string()));
            if !std::mem::replace(&mut sheltered, true) {
                self.shelter(&change);
            }
        }
        let over = now >= slot_end(round, slot.number);
        let mut next = match ahead.take() {
            Some(next) => next,
            None => Box::new(self.slot(&change, round, slot.number + 1)),
        };
        match &want {
            Some(Want::Back(_)) => slot.back.say_yes(),
            Some(Want::Confirm(_)) => slot.confirm.say_yes(),
            None => {}
        }
        if over {
            slot.back.end();
            slot.confirm.end();
        }
        match (slot.back.decided(), slot.confirm.decided()) {
            (Some(Decision::Yes), _) => {
                let why = match want {
                    Some(Want::Back(why)) => why,
                    _ => "another gateway took it back".to_string(),
                };
                self.ended_back(now, &change, &why);
                return false;
            }
            (Some(Decision::Lost), _) | (_, Some(Decision::Lost)) => {
                self.lost(now, &change, "whether the trial was taken back or confirmed");
                return false;
            }
            (Some(Decision::No), Some(Decision::Yes)) => {
                let who = match want {
                    Some(Want::Confirm(who)) => who,
                    _ => "another gateway".to_string(),
                };
                if sheltered {
                    self.force(Figures::Of(change.epoch), change.epoch, f64::NEG_INFINITY);
                }
                self.ended_confirmed(now, &change, &who);
                return false;
            }
            (Some(Decision::No), Some(Decision::No)) if slot.back.done() && slot.confirm.done() => {
                let step = Step::Slot { slot: next.number, marked: next.marked() };
                self.record(now, change.epoch, step);
                let (round, slot, ahead) = (Some(round), Some(next.open()), None);
                self.state = State::Trial { change, since, until, round, slot, ahead, want, sheltered };
                return true;
            }
            _ => {}
        }
        self.out.extend(slot.poll(now));
        self.out.extend(next.poll(now));
        let lost = |ballot: &Ballot| ballot.decided() == Some(Decision::Lost);
        let again = lost(&slot.back) || lost(&slot.confirm);
        let (round, slot, ahead) = (Some(round), Some(slot), Some(next));
        self.state = State::Trial { change, since, until, round, slot, ahead, want, sheltered };
        again
    }

    fn ended_confirmed(&mut self, now: f64, change: &Change, who: &str) {
        self.record(now, change.epoch, Step::Confirmed { who: who.to_string() });
        self.note(format!("epoch {} is confirmed by {who}", change.epoch));
        (self.confirmed, self.doubt, self.state) = (change.epoch, None, State::Idle);
        self.out.push(Effect::Watch(None));
    }

    fn ended_back(&mut self, now: f64, change: &Change, why: &str) {
        // In force first, written down after: a crash between the two ends in the same.
        self.out.push(Effect::Watch(None));
        let figures = self.figures_now();
        self.force(figures, self.confirmed, f64::NEG_INFINITY);
        self.record(now, change.epoch, Step::RolledBack { why: why.to_string() });
        self.note(format!("epoch {} is rolled back: {why}", change.epoch));
        self.state = State::Idle;
    }

    fn lost(&mut self, now: f64, change: &Change, what: &str) {
        let why = format!("{what} can't be known any more: the counter lost it or was silent too long");
        self.note(format!("epoch {} is in doubt: {why}", change.epoch));
        self.doubt = Some(change.epoch);
        self.out.push(Effect::Watch(None));
        let figures = self.figures_now();
        self.force(figures, self.confirmed, f64::NEG_INFINITY);
        self.record(now, change.epoch, Step::InDoubt { why });
        self.state = State::Idle;
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

fn start_of(round: u64) -> f64 {
    round as f64 * ROUND_MS
}

fn slot_end(round: u64, slot: u64) -> f64 {
    flip_at(round) + (slot + 1) as f64 * SLOT_MS
}

/// Names of a slot's two ballots, and when they may first be called: they are marked in the slot before.
fn slot_names(change: &Change, round: u64, number: u64) -> (String, String, f64) {
    let name = |kind: &str| format!("cfg.{}.{round}.{kind}{number}", change.fingerprint);
    (name("b"), name("c"), flip_at(round) + (number as f64 - 1.0) * SLOT_MS)
}

fn of_slots<'a>(slots: [Option<&'a mut Box<Slot>>; 2], name: &str) -> Option<&'a mut Ballot> {
    let ballots = slots.into_iter().flatten().flat_map(|slot| {
        let Slot { back, confirm, .. } = &mut **slot;
        [back, confirm]
    });
    ballots.into_iter().find(|ballot| ballot.name() == name)
}

fn flip_name(change: &Change, round: u64) -> String {
    format!("cfg.{}.{round}", change.fingerprint)
}
