//! Counts final answers, attempts and counter calls for the guard of a change on trial. Nothing is counted, and no
//! mark is made, without an operators' document.

use nickeljunction_config::document::GuardFigures;
use nickeljunction_config::guard::{Alarm, Guard, Kind, Scope, Seen};
use nickeljunction_config::transaction::Epoch;
use nickeljunction_core::facade::{Intake, Settings};
use nickeljunction_core::life::Answer;
use nickeljunction_http::RegionReply;
use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};

/// What an answer counts for: fixed when the request is taken in, so that a change in between does not move it.
#[derive(Debug)]
pub struct Mark {
    epoch: Epoch,
    class: Option<usize>,
    plan: Option<usize>,
    aim_at: f64,
    region: Cell<Option<u64>>,
}

impl Mark {
    /// An attempt goes to this region.
    pub fn sent_to(&self, region: u64) {
        self.region.set(Some(region));
    }
}

/// A number that stands for a region.
pub fn region_number(uid: &str) -> u64 {
    let mut hash = DefaultHasher::new();
    uid.hash(&mut hash);
    hash.finish()
}

/// Names and aims as the settings in force have them.
#[derive(Debug, Default)]
struct Names {
    classes: Vec<(String, f64)>,
    plans: Vec<String>,
}

/// The counts, with the guard that judges by them.
#[derive(Debug)]
pub struct Tally {
    guard: RefCell<Guard>,
    names: RefCell<Names>,
    epoch: Cell<Epoch>,
    sheds: Cell<bool>,
}

impl Tally {
    /// A tally over the classes and plans of these settings, for answers under this document.
    pub fn new(figures: GuardFigures, settings: &Settings, epoch: Epoch) -> Tally {
        let tally = Tally {
            guard: RefCell::new(Guard::new(figures.clone(), Vec::new(), Vec::new())),
            names: RefCell::default(),
            epoch: Cell::new(epoch),
            sheds: Cell::new(false),
        };
        tally.retune(&figures, settings, epoch);
        tally
    }

    /// Another document is in force: requests taken in from now on count for it. A guard over other plans begins
    /// anew; else what it knows of the time before stays.
    pub fn retune(&self, figures: &GuardFigures, settings: &Settings, epoch: Epoch) {
        self.epoch.set(epoch);
        let classes =
            settings.classes.iter().map(|class| (class.name.clone(), class.target_latency_ms)).collect();
        let plans: Vec<String> = settings.plans.iter().map(|plan| plan.name.clone()).collect();
        let mut names = self.names.borrow_mut();
        let new = names.plans != plans || names.classes.len() != settings.classes.len();
        *names = Names { classes, plans };
        if new {
            let classes = names.classes.iter().map(|(name, _)| name.clone()).collect();
            *self.guard.borrow_mut() = Guard::new(figures.clone(), classes, names.plans.clone());
        } else {
            self.guard.borrow_mut().set(figures.clone());
        }
    }

    /// The mark of a request that is taken in now.
    pub fn mark(&self, now: f64, intake: &Intake) -> Mark {
        let names = self.names.borrow();
        let class = names.classes.iter().position(|(name, _)| *name == intake.class);
        let plan = names.plans.iter().position(|name| *name == intake.plan);
        let aim_at = now + class.map_or(f64::INFINITY, |class| names.classes[class].1);
        Mark { epoch: self.epoch.get(), class, plan, aim_at, region: Cell::new(None) }
    }

    /// A request was answered at the door, under this plan if it named one.
    pub fn turned_away(&self, now: f64, plan: Option<&str>) {
        let plan = plan.and_then(|plan| self.names.borrow().plans.iter().position(|name| name == plan));
        let seen = Seen { class: None, plan, kind: Kind::TurnedAway, region: None };
        self.guard.borrow_mut().answer(now, self.epoch.get(), seen);
    }

    /// A request has its final answer.
    pub fn answered(&self, now: f64, mark: &Mark, answer: &Answer<RegionReply>) {
        let kind = match answer {
            Answer::Served(_) if now <= mark.aim_at => Kind::Served,
            Answer::Served(_) => Kind::Late,
            Answer::ShortOnCapacityReply(_) => Kind::Refused { shed: self.sheds.get() },
            Answer::Failed => Kind::Failed,
        };
        let seen = Seen { class: mark.class, plan: mark.plan, kind, region: mark.region.get() };
        self.guard.borrow_mut().answer(now, mark.epoch, seen);
    }

    /// An attempt ended, or was given up.
    pub fn attempt(&self, now: f64, region: u64, good: bool) {
        self.guard.borrow_mut().attempt(now, region, good);
    }

    /// A counter call ended.
    pub fn counted(&self, now: f64, good: bool) {
        self.guard.borrow_mut().counted(now, good);
    }

    /// The module sheds work, or no more.
    pub fn sheds(&self, sheds: bool) {
        self.sheds.set(sheds);
    }

    /// Watches what is answered under a document, or rests.
    pub fn watch(&self, now: f64, watched: Option<(Epoch, Scope)>) {
        let mut guard = self.guard.borrow_mut();
        match watched {
            Some((epoch, scope)) => guard.watch(now, epoch, scope),
            None => guard.rest(),
        }
    }

    /// Answers that were not laid to the change on trial.
    pub fn excused(&self) -> u32 {
        self.guard.borrow().excused()
    }

    /// The guard's alarm, once.
    pub fn tick(&self, now: f64) -> Option<Alarm> {
        self.guard.borrow_mut().tick(now)
    }
}
