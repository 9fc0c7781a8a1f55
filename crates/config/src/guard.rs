//! Whether answers got worse after a change, without I/O.
//!
//! Answers are counted by signal (turned away at the door, refused, failed, late) in cells: all of them, by class,
//! by plan, by both. The bound of a cell comes from the time before: its worst stretch, or three standard
//! deviations above its mean, whichever is more, and the rise that is put up with on top. After the change each
//! block of answers is a bet that its share of bad ones is above that bound: the stake is multiplied by
//! `1 + l * (share - bound)`, which on average can't grow while the mean stays at or under the bound. A stake that
//! has grown to the cell's part of `1 / false_alarm` ends the trial: by Ville's inequality that happens with a
//! chance of at most `false_alarm` to a change that keeps every cell's mean under its bound, however long it is
//! watched. Stakes are spread over several `l` and over beginnings (a second's part is `1 / (k * (k + 1))`), so
//! that what turns bad late is found, too. (Waudby-Smith and Ramdas 2024, "Estimating means of bounded random
//! variables by betting"; Shin, Ramdas and Rinaldo 2024, "E-detectors".)
//!
//! A region's or the counter's trouble that begins in the same second is told apart by what is bad and by whom:
//!
//! | trouble | is not laid to the change |
//! | --- | --- |
//! | a few regions fail while most do not | answers that ended there, whatever changed |
//! | attempts fail more everywhere | failures and lateness, unless the roster, limits or time-outs changed |
//! | the counter stops answering | refusals of up to 45% more, unless the counter changed |
//! | the fleet is short, work is shed | such refusals, and a tenth more refused or late, unless the change can bring work |
//! | all plans are refused more | that much of the rise, where a plan's figures changed and others' did not |
//!
//! What is turned away at the door (no such route, refused by the script) no outage can cause: it always counts.

use crate::document::GuardFigures;
use crate::transaction::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Stakes by the part of `1 / bound` that they bet.
const BETS: [f64; 4] = [0.1, 0.3, 0.6, 0.9];
/// Length of a stretch whose share is compared with others, s, and answers that it must hold at least.
const STRETCH_S: usize = 3;
const STRETCH_LEAST: u32 = 12;
/// A block that has waited so long is taken as it is, ms.
const BLOCK_MS: f64 = 1_000.0;
/// Answers are laid to a region or not only after so long, ms: by then its trouble shows.
const HINDSIGHT_MS: f64 = 700.0;
/// A region is in trouble when this part of its attempts of the last seconds fails, and that is so many times the
/// middle region's; while at most this part of the regions is.
const TROUBLED: f64 = 0.25;
const TROUBLED_X: f64 = 3.0;
const TROUBLED_PART: f64 = 0.5;
/// Least attempts or counter calls that say anything.
const LEAST_TRIES: u32 = 4;
/// Rise of the part of attempts, or of counter calls, that fail, which is a trouble of all.
const TROUBLE_RISE: f64 = 0.1;
/// The fleet is short when this part of the answers of the last seconds was shed; then so many more may be late
/// or refused.
const SHORT: f64 = 0.08;
const SHORT_RELIEF: f64 = 0.1;
/// Share of answers that may be refused more while the counter does not answer.
const DARK_RELIEF: f64 = 0.45;
/// Longest time before the change that is kept, s.
const MOST_SECONDS: usize = 600;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Served within its aim.
    Served,
    /// Served after it.
    Late,
    /// Refused by the module; `shed`: while it thought the fleet short.
    Refused {
        /// Work is being shed.
        shed: bool,
    },
    /// Failed.
    Failed,
    /// Answered by the front or the script: no such route, not allowed, refused by a rule.
    TurnedAway,
}

/// One final answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Seen {
    /// Index of its class, where it was known.
    pub class: Option<usize>,
    /// Index of its plan, where it was known.
    pub plan: Option<usize>,
    /// What became of it.
    pub kind: Kind,
    /// The region of its last attempt, as a number that stands for it.
    pub region: Option<u64>,
}

/// What a change can be to blame for.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Scope {
    /// Sections that changed.
    pub sections: BTreeSet<String>,
    /// Plans whose figures changed, by index.
    pub plans: BTreeSet<usize>,
    /// Some plan's figures grew: more work may come in.
    pub grew: bool,
}

impl Scope {
    fn touches(&self, any: &[&str]) -> bool {
        any.iter().any(|section| self.sections.contains(*section))
    }
}

/// What tripped the guard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Alarm {
    /// `turned away`, `refused`, `failed` or `late`.
    pub signal: String,
    /// Of this class alone.
    pub class: Option<String>,
    /// Of this plan alone.
    pub plan: Option<String>,
    /// Share before.
    pub before: f64,
    /// What was put up with.
    pub bound: f64,
    /// Share since the change.
    pub after: f64,
    /// Answers since the change.
    pub answers: u32,
}

impl std::fmt::Display for Alarm {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ", self.signal)?;
        for (what, name) in [("class", &self.class), ("plan", &self.plan)] {
            if let Some(name) = name {
                write!(f, "in {what} {name} ")?;
            }
        }
        let percent = |share: f64| share * 100.0;
        write!(
            f,
            "{:.1}% of {} answers, {:.1}% before, {:.1}% put up with",
            percent(self.after),
            self.answers,
            percent(self.before),
            percent(self.bound)
        )
    }
}

const SIGNALS: [&str; 4] = ["turned away", "refused", "failed", "late"];

/// Answers by the second.
#[derive(Debug, Clone, Default)]
struct Past {
    seconds: VecDeque<(i64, u32, u32)>,
}

impl Past {
    fn add(&mut self, now: f64, bad: bool) {
        let second = (now / 1000.0) as i64;
        match self.seconds.back_mut() {
            Some(last) if last.0 >= second => {
                last.1 += 1;
                last.2 += u32::from(bad);
            }
            _ => {
                self.seconds.push_back((second, 1, u32::from(bad)));
                if self.seconds.len() > MOST_SECONDS {
                    self.seconds.pop_front();
                }
            }
        }
    }

    fn forget(&mut self, before: f64) {
        let second = (before / 1000.0) as i64;
        while self.seconds.front().is_some_and(|first| first.0 < second) {
            self.seconds.pop_front();
        }
    }

    /// Answers and bad ones of the seconds from then on.
    fn since(&self, from: f64) -> (u32, u32) {
        let second = (from / 1000.0) as i64;
        let kept = self.seconds.iter().rev().take_while(|entry| entry.0 >= second);
        kept.fold((0, 0), |(all, bad), entry| (all + entry.1, bad + entry.2))
    }

    fn share(&self) -> (u32, f64) {
        let (all, bad) = self.since(f64::NEG_INFINITY);
        (all, f64::from(bad) / f64::from(all.max(1)))
    }

    /// The share that ordinary stretches stay under.
    fn usual(&self) -> f64 {
        let (mut shares, mut worst, mut stretch) = (Vec::new(), 0.0f64, VecDeque::new());
        for entry in &self.seconds {
            stretch.push_back(*entry);
            let all = |stretch: &VecDeque<(i64, u32, u32)>| stretch.iter().map(|entry| entry.1).sum::<u32>();
            while stretch.len() > STRETCH_S && all(&stretch) - stretch[0].1 >= STRETCH_LEAST {
                stretch.pop_front();
            }
            if stretch.len() >= STRETCH_S && all(&stretch) >= STRETCH_LEAST {
                let share =
                    f64::from(stretch.iter().map(|entry| entry.2).sum::<u32>()) / f64::from(all(&stretch));
                worst = worst.max(share);
                shares.push(share);
            }
        }
        let (all, bad) = self.since(f64::NEG_INFINITY);
        // Few answers before say little: then only a large rise is one.
        let cautious = (f64::from(bad) + 4.0) / (f64::from(all) + 8.0);
        let count = shares.len().max(1) as f64;
        let mean = shares.iter().sum::<f64>() / count;
        let deviation = (shares.iter().map(|share| (share - mean).powi(2)).sum::<f64>() / count).sqrt();
        worst.max(mean + 3.0 * deviation).max(cautious)
    }
}

/// A cell under watch.
#[derive(Debug, Clone)]
struct Bet {
    before: f64,
    bound: f64,
    /// What it must grow to.
    goal: f64,
    stakes: [f64; BETS.len()],
    block: (u32, u32),
    opened: f64,
    second: u64,
    all: u32,
    bad: u32,
}

impl Bet {
    fn new(past: &Past, figures: &GuardFigures, part: f64, now: f64) -> Bet {
        let bound = (past.usual() + figures.least_rise).min(0.98);
        Bet {
            before: past.share().1,
            bound,
            goal: 1.0 / (figures.false_alarm * part),
            stakes: [0.0; BETS.len()],
            block: (0, 0),
            opened: now,
            second: 0,
            all: 0,
            bad: 0,
        }
    }

    /// A new second: some of the stake begins here.
    fn begin(&mut self) {
        self.second += 1;
        let part = 1.0 / (self.second * (self.second + 1)) as f64 / BETS.len() as f64;
        self.stakes.iter_mut().for_each(|stake| *stake += part);
    }

    fn add(&mut self, now: f64, bad: bool, most: u32, relief: f64) {
        if self.block.0 == 0 {
            self.opened = now;
        }
        self.block = (self.block.0 + 1, self.block.1 + u32::from(bad));
        (self.all, self.bad) = (self.all + 1, self.bad + u32::from(bad));
        if self.block.0 >= most {
            self.close(relief);
        }
    }

    fn close(&mut self, relief: f64) {
        let (all, bad) = std::mem::take(&mut self.block);
        if all == 0 {
            return;
        }
        let (share, bound) = (f64::from(bad) / f64::from(all), (self.bound + relief).min(0.98));
        for (stake, bet) in self.stakes.iter_mut().zip(BETS) {
            *stake *= 1.0 + bet / bound * (share - bound);
        }
    }

    fn won(&self) -> bool {
        self.stakes.iter().sum::<f64>() >= self.goal
    }
}

/// An answer that waits to be laid to a region or not.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    at: f64,
    seen: Seen,
}

#[derive(Debug, Clone)]
struct Watch {
    epoch: Epoch,
    scope: Scope,
    bets: Vec<Option<Bet>>,
    waiting: VecDeque<Waiting>,
    /// Of those that wait, so many have been counted under the signals that need no hindsight.
    counted: usize,
    began: f64,
    excused: u32,
    /// Answers, the bad ones being those refused while work was shed.
    shed: Past,
}

impl Watch {
    /// The fleet is short of room, and not by the change: some of what comes is shed.
    fn short(&self, now: f64) -> bool {
        let (all, shed) = self.shed.since(now - 3_000.0);
        let brings_work = self.scope.grew || self.scope.touches(&["roster", "limits", "timeouts", "counter"]);
        !brings_work && all >= STRETCH_LEAST && f64::from(shed) >= SHORT * f64::from(all)
    }
}

/// The guard of one gateway.
#[derive(Debug, Clone)]
pub struct Guard {
    figures: GuardFigures,
    classes: Vec<String>,
    plans: Vec<String>,
    past: Vec<Past>,
    regions: BTreeMap<u64, Past>,
    attempts: Past,
    counter: Past,
    watch: Option<Watch>,
    tidied: f64,
}

impl Guard {
    /// A guard over these classes and plans, by the names that alarms give them.
    pub fn new(figures: GuardFigures, classes: Vec<String>, plans: Vec<String>) -> Guard {
        let cells = SIGNALS.len() * (classes.len() + 1) * (plans.len() + 1);
        Guard {
            figures,
            past: vec![Past::default(); cells],
            classes,
            plans,
            regions: BTreeMap::new(),
            attempts: Past::default(),
            counter: Past::default(),
            watch: None,
            tidied: 0.0,
        }
    }

    /// Takes other figures; a watch under way goes on by those that it began with.
    pub fn set(&mut self, figures: GuardFigures) {
        self.figures = figures;
    }

    /// The number of a cell; `None` for class or plan stands for all of them.
    fn cell(&self, signal: usize, class: Option<usize>, plan: Option<usize>) -> usize {
        let (classes, plans) = (self.classes.len() + 1, self.plans.len() + 1);
        let class = class.map_or(0, |class| class + 1).min(classes - 1);
        let plan = plan.map_or(0, |plan| plan + 1).min(plans - 1);
        (signal * classes + class) * plans + plan
    }

    /// The cells of an answer under one signal: all, its class, its plan, both.
    fn cells(&self, signal: usize, seen: &Seen) -> [Option<usize>; 4] {
        let known = |index: Option<usize>, most: usize| index.filter(|index| *index < most);
        let (class, plan) = (known(seen.class, self.classes.len()), known(seen.plan, self.plans.len()));
        [
            Some(self.cell(signal, None, None)),
            class.map(|_| self.cell(signal, class, None)),
            plan.map(|_| self.cell(signal, None, plan)),
            class.zip(plan).map(|_| self.cell(signal, class, plan)),
        ]
    }

    /// Takes an answer that was given under a document.
    pub fn answer(&mut self, now: f64, epoch: Epoch, seen: Seen) {
        if let Some(watch) = &mut self.watch {
            // Those that the former document took in say nothing of the new one.
            if epoch == watch.epoch {
                watch.shed.add(now, seen.kind == Kind::Refused { shed: true });
                watch.waiting.push_back(Waiting { at: now, seen });
            }
            return;
        }
        for signal in 0..SIGNALS.len() {
            for cell in self.cells(signal, &seen).into_iter().flatten() {
                self.past[cell].add(now, bad(signal, seen.kind));
            }
        }
    }

    /// Takes the end of an attempt.
    pub fn attempt(&mut self, now: f64, region: u64, good: bool) {
        self.regions.entry(region).or_default().add(now, !good);
        if self.watch.is_none() {
            self.attempts.add(now, !good);
        }
    }

    /// Takes the answer to a counter call.
    pub fn counted(&mut self, now: f64, good: bool) {
        self.counter.add(now, !good);
    }

    /// Begins to watch the answers given under a document.
    pub fn watch(&mut self, now: f64, epoch: Epoch, scope: Scope) {
        self.tidy(now, true);
        let (classes, plans) = (self.classes.len(), self.plans.len());
        let signals = SIGNALS.len() as f64;
        let mut bets = vec![None; self.past.len()];
        for signal in 0..SIGNALS.len() {
            // A quarter of the false alarms for each kind of cell, in even parts.
            for class in (0..=classes).map(|class| class.checked_sub(1)) {
                for plan in (0..=plans).map(|plan| plan.checked_sub(1)) {
                    let many = class.map_or(1, |_| classes) * plan.map_or(1, |_| plans);
                    let cell = self.cell(signal, class, plan);
                    let part = 1.0 / (signals * 4.0 * many as f64);
                    bets[cell] = Some(Bet::new(&self.past[cell], &self.figures, part, now));
                }
            }
        }
        self.watch = Some(Watch {
            epoch,
            scope,
            bets,
            waiting: VecDeque::new(),
            counted: 0,
            began: now,
            excused: 0,
            shed: Past::default(),
        });
    }

    /// Ends the watch; answers count as those before again.
    pub fn rest(&mut self) {
        self.watch = None;
    }

    /// Answers that were laid to a region's or the counter's trouble since the watch began.
    pub fn excused(&self) -> u32 {
        self.watch.as_ref().map_or(0, |watch| watch.excused)
    }

    /// Worth calling a few times a second. The alarm, if answers got worse; it is given once.
    pub fn tick(&mut self, now: f64) -> Option<Alarm> {
        self.tidy(now, false);
        let mut watch = self.watch.take()?;
        let troubled = self.troubled(now);
        let attempts_worse = self.attempts_worse(now);
        let counter_dark = self.counter_dark(now, watch.began);
        let mut reliefs = self.reliefs(&watch);
        if watch.short(now) {
            reliefs[1] += SHORT_RELIEF;
            reliefs[3] += SHORT_RELIEF;
        }
        if counter_dark && !watch.scope.touches(&["counter"]) {
            reliefs[1] += DARK_RELIEF;
        }
        while (watch.bets[0].as_ref()).is_some_and(|bet| now - watch.began >= bet.second as f64 * 1000.0) {
            watch.bets.iter_mut().flatten().for_each(Bet::begin);
        }
        let count = |watch: &mut Watch, waiting: Waiting, signals: std::ops::Range<usize>| {
            for signal in signals {
                let bad = bad(signal, waiting.seen.kind);
                if bad && excused(signal, &waiting.seen, &watch.scope, &troubled, attempts_worse) {
                    watch.excused += 1;
                    continue;
                }
                for cell in self.cells(signal, &waiting.seen).into_iter().flatten() {
                    if let Some(bet) = &mut watch.bets[cell] {
                        bet.add(waiting.at, bad, self.figures.block, reliefs[signal]);
                    }
                }
            }
        };
        // What is turned away or refused is no region's doing: it counts at once.
        for at in watch.counted..watch.waiting.len() {
            let waiting = watch.waiting[at];
            count(&mut watch, waiting, 0..2);
        }
        while let Some(waiting) = watch.waiting.front().copied().filter(|one| one.at + HINDSIGHT_MS <= now) {
            watch.waiting.pop_front();
            count(&mut watch, waiting, 2..SIGNALS.len());
        }
        watch.counted = watch.waiting.len();
        for (cell, bet) in watch.bets.iter_mut().enumerate() {
            let Some(bet) = bet else { continue };
            if bet.block.0 > 0 && now - bet.opened >= BLOCK_MS + HINDSIGHT_MS {
                bet.close(reliefs[cell / ((self.classes.len() + 1) * (self.plans.len() + 1))]);
            }
        }
        let alarm = self.alarm(&watch);
        self.watch = alarm.is_none().then_some(watch);
        alarm
    }

    /// The cell that has won most, if any has.
    fn alarm(&self, watch: &Watch) -> Option<Alarm> {
        let won = watch.bets.iter().enumerate().filter_map(|(cell, bet)| Some((cell, bet.as_ref()?)));
        let won = won.filter(|(_, bet)| bet.won());
        let worth = |bet: &Bet| bet.stakes.iter().sum::<f64>() / bet.goal;
        let (cell, bet) = won.max_by(|a, b| worth(a.1).total_cmp(&worth(b.1)))?;
        let plans = self.plans.len() + 1;
        let (signal, class, plan) =
            (cell / plans / (self.classes.len() + 1), cell / plans % (self.classes.len() + 1), cell % plans);
        Some(Alarm {
            signal: SIGNALS[signal].to_string(),
            class: class.checked_sub(1).map(|class| self.classes[class].clone()),
            plan: plan.checked_sub(1).map(|plan| self.plans[plan].clone()),
            before: bet.before,
            bound: bet.bound,
            after: f64::from(bet.bad) / f64::from(bet.all.max(1)),
            answers: bet.all,
        })
    }

    /// Regions in a trouble of their own: a few that fail while most do not.
    fn troubled(&self, now: f64) -> BTreeSet<u64> {
        let from = now - 3_000.0;
        let mut shares: Vec<(f64, u64)> = Vec::new();
        for (region, past) in &self.regions {
            let (all, bad) = past.since(from);
            if all >= LEAST_TRIES {
                shares.push((f64::from(bad) / f64::from(all), *region));
            }
        }
        shares.sort_by(|a, b| a.0.total_cmp(&b.0));
        let Some(middle) = shares.get(shares.len().saturating_sub(1) / 2).map(|(share, _)| *share) else {
            return BTreeSet::new();
        };
        let bad: BTreeSet<u64> = shares
            .iter()
            .filter(|(share, _)| *share >= TROUBLED && *share >= TROUBLED_X * middle)
            .map(|(_, region)| *region)
            .collect();
        if bad.len() as f64 <= TROUBLED_PART * shares.len() as f64 {
            bad
        } else {
            BTreeSet::new()
        }
    }

    /// Attempts at all regions together fail more than before the change.
    fn attempts_worse(&self, now: f64) -> bool {
        let (mut all, mut bad) = (0, 0);
        for past in self.regions.values() {
            let (some, failed) = past.since(now - 3_000.0);
            (all, bad) = (all + some, bad + failed);
        }
        let before = self.attempts.share().1;
        all >= LEAST_TRIES && f64::from(bad) / f64::from(all) > before + TROUBLE_RISE
    }

    fn counter_dark(&self, now: f64, began: f64) -> bool {
        let (all, bad) = self.counter.since(now - 3_000.0);
        let (before_all, before_bad) = {
            let (all, bad) = self.counter.since(f64::NEG_INFINITY);
            let (late, late_bad) = self.counter.since(began);
            (all - late, bad - late_bad)
        };
        let before = f64::from(before_bad) / f64::from(before_all.max(1));
        all >= LEAST_TRIES && f64::from(bad) / f64::from(all) > before + TROUBLE_RISE
    }

    /// By signal: how much the plans that did not change got worse, which is not laid to those that did.
    fn reliefs(&self, watch: &Watch) -> [f64; SIGNALS.len()] {
        let mut reliefs = [0.0; SIGNALS.len()];
        let only_plans = watch.scope.sections.iter().all(|section| section == "plans" || section == "guard");
        if !only_plans || watch.scope.plans.is_empty() || watch.scope.grew {
            return reliefs;
        }
        for (signal, relief) in reliefs.iter_mut().enumerate() {
            let (mut all, mut bad, mut before) = (0, 0, 0.0);
            for plan in (0..self.plans.len()).filter(|plan| !watch.scope.plans.contains(plan)) {
                let Some(bet) = &watch.bets[self.cell(signal, None, Some(plan))] else { continue };
                (all, bad) = (all + bet.all, bad + bet.bad);
                before += bet.before * f64::from(bet.all);
            }
            if all >= STRETCH_LEAST {
                *relief = ((f64::from(bad) - before) / f64::from(all)).max(0.0);
            }
        }
        reliefs
    }

    fn tidy(&mut self, now: f64, at_once: bool) {
        if !at_once && now - self.tidied < 1_000.0 {
            return;
        }
        self.tidied = now;
        let from = now - self.figures.before_ms;
        if self.watch.is_none() {
            self.past.iter_mut().for_each(|past| past.forget(from));
            self.attempts.forget(from);
        }
        self.counter.forget(from);
        self.regions.retain(|_, past| {
            past.forget(now - 10_000.0);
            !past.seconds.is_empty()
        });
    }
}

fn bad(signal: usize, kind: Kind) -> bool {
    matches!(
        (signal, kind),
        (0, Kind::TurnedAway) | (1, Kind::Refused { .. }) | (2, Kind::Failed) | (3, Kind::Late)
    )
}

/// A bad answer that the change is not to blame for.
fn excused(
    signal: usize,
    seen: &Seen,
    scope: &Scope,
    troubled: &BTreeSet<u64>,
    attempts_worse: bool,
) -> bool {
    let work = scope.touches(&["roster", "limits", "timeouts"]);
    match (signal, seen.kind) {
        (0, _) => false,
        _ if seen.region.is_some_and(|region| troubled.contains(&region)) => true,
        (1, Kind::Refused { shed }) => {
            let brings_work = work || scope.grew || scope.touches(&["counter"]);
            shed && !brings_work
        }
        (2 | 3, _) => attempts_worse && !work,
        _ => false,
    }
}
