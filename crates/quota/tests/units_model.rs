//! A small world of the true [`Counter`] and [`Allowance`], step by step in every order: two gateways and one tenant with a
//! cap of four units. Calls and answers are lost, late, doubled and overtaken, gateways freeze (they just do nothing
//! while time goes on), are killed and come back as new lives, and counters follow each other.
//!
//! What can't make a difference to the rule is left out: a gateway spends all that it may at once, and an answer that
//! comes in time comes at once.

use nickeljunction_messages::{UnitsAnswer, UnitsCall};
use nickeljunction_quota::{Allowance, Boost, BucketDepth, Counter, Guard, Limit, Spend, Tuning};
use stateright::{Checker, Expectation, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::hash::{Hash, Hasher};

const CAP: u64 = 4;
const LOWERED: u64 = 2;
const STEP_MS: u64 = 100;
const WINDOW_MS: u64 = 3 * STEP_MS;
/// Calls that are kept on the way, of each gateway, to come late or once more.
const LATE: usize = 2;

/// Two steps of life, three of window; no time to write, and a call a step.
fn tuning() -> Tuning {
    Tuning {
        window_ms: WINDOW_MS,
        slot_ms: 1,
        max_write_delay_ms: 0,
        lease_ms: 2 * STEP_MS,
        pace_floor_ms: WINDOW_MS,
        bucket_depth: BucketDepth { divisor: 1, min: 1, max: 1 },
        boost: Boost { divisor: 1_000, extra: 1 },
        max_boost_answer_ms: STEP_MS,
        max_pace_delay_ms: 0,
        return_interval_ms: STEP_MS,
        refresh_interval_ms: STEP_MS,
        fetch_interval_ms: STEP_MS,
        urgent_fetch_interval_ms: STEP_MS,
        exhausted_fetch_interval_ms: STEP_MS,
        // Units are lent ahead of need, too: the wider case.
        on_demand_cap_per_gateway: 0,
        ..Tuning::new(WINDOW_MS)
    }
}

fn limits(cap: u64) -> BTreeMap<String, Limit> {
    BTreeMap::from([("t".to_owned(), Limit { cap, pace: cap })])
}

#[derive(Debug, Clone)]
struct World {
    now: u64,
    term: u64,
    counter: Counter,
    allowances: Vec<Allowance>,
    lives: [u64; 2],
    /// The last gateway that acted in this step: the one before it does so no more.
    turn: usize,
    /// A request waits at the gateway.
    waits: [bool; 2],
    log: BTreeMap<u64, String>,
    /// Calls that came nowhere yet, or came and may come once more: from whom.
    calls: Vec<(usize, UnitsCall)>,
    /// Answers that have not come yet; to which life.
    answers: Vec<(u64, UnitsAnswer)>,
    /// When units were spent in the last window.
    sent: Vec<u64>,
    /// The gateways, and last the counter, that know the lower limit.
    lowered: [bool; 3],
    /// When the last of them learned of it.
    all_lowered: Option<u64>,
    kills: u8,
    successors: u8,
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        struct Sink<'a, H>(&'a mut H);
        impl<H: Hasher> Write for Sink<'_, H> {
            fn write_str(&mut self, text: &str) -> std::fmt::Result {
                self.0.write(text.as_bytes());
                Ok(())
            }
        }
        let _ = write!(Sink(state), "{self:?}");
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl World {
    fn answer(&mut self, call: &UnitsCall) -> UnitsAnswer {
        if let Some(roll) = self.counter.enrollment_for(self.now, call) {
            self.log.extend(roll.added);
            self.counter.set_logged_processes(&self.log);
            self.counter.enrollment_committed(call.incarnation);
        }
        self.counter.handle_call(self.now, call, 2)
    }

    /// Most units that a window that ends now may have.
    fn cap(&self) -> u64 {
        match self.all_lowered {
            Some(at) if self.now >= at + WINDOW_MS => LOWERED,
            _ => CAP,
        }
    }

    /// Units that may be spent now, were it not for the pace.
    fn held(&self) -> u64 {
        self.allowances.iter().map(|allowance| allowance.clone().held(self.now, "t")).sum()
    }

    /// A life that has units, and that a new counter would not know of.
    fn unlisted(&self) -> bool {
        let mut allowances = self.allowances.clone();
        (0..2).any(|to| allowances[to].held(self.now, "t") > 0 && !self.log.contains_key(&self.lives[to]))
    }
}

#[derive(Debug, Clone, PartialEq)]
enum Act {
    Tick,
    /// A gateway spends all that it may.
    Spend(usize),
    /// A gateway calls and is answered at once.
    Exchange(usize),
    /// A gateway calls.
    Call(usize),
    /// A call arrives, for the first time or once more.
    Arrive(usize),
    /// An answer comes.
    Answer(usize),
    /// A gateway gives its call up.
    Fail(usize),
    /// A gateway is killed, and is back at once.
    Kill(usize),
    /// Another counter leads.
    Succeed,
    /// The log is rid of lives that have nothing in force.
    Clean,
    /// A gateway, or (2) the counter, learns of the lower limit.
    Lower(usize),
}

#[derive(Debug, Clone)]
struct Rule {
    tuning: Tuning,
    gateways: Tuning,
    steps: u64,
    kills: u8,
    successors: u8,
    /// Requests wait, for units beyond the pace.
    waits: bool,
    /// Calls and answers come late.
    late: bool,
    lower: bool,
    /// A new counter has no list of lives.
    forgetful: bool,
}

impl Rule {
    fn new() -> Rule {
        Rule {
            tuning: tuning(),
            gateways: tuning(),
            steps: 4,
            kills: 0,
            successors: 0,
            waits: false,
            late: false,
            lower: false,
            forgetful: false,
        }
    }

    fn allowance(&self, now: u64, to: usize, life: u64, world_term: u64) -> Allowance {
        let mut allowance = Allowance::new(now, format!("g{to}"), life, self.gateways.clone());
        allowance.set_limits(now, &limits(CAP));
        allowance.leader_changed(now, world_term);
        allowance
    }
}

impl Model for Rule {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let now = 10 * STEP_MS;
        let mut counter = Counter::new(now, 1, self.tuning.clone(), BTreeMap::new());
        counter.set_limits(now, &limits(CAP));
        vec![World {
            now,
            term: 1,
            counter,
            allowances: (0..2).map(|to| self.allowance(now, to, to as u64, 1)).collect(),
            lives: [0, 1],
            turn: 0,
            waits: [false; 2],
            log: BTreeMap::new(),
            calls: Vec::new(),
            answers: Vec::new(),
            sent: Vec::new(),
            lowered: [false; 3],
            all_lowered: None,
            kills: 0,
            successors: 0,
        }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        if world.now < (10 + self.steps) * STEP_MS {
            acts.push(Act::Tick);
        }
        for to in world.turn..2 {
            acts.extend([Act::Spend(to), Act::Exchange(to)]);
            if self.late {
                acts.extend([Act::Call(to), Act::Fail(to)]);
            }
            if world.kills < self.kills {
                acts.push(Act::Kill(to));
            }
        }
        if self.late {
            acts.extend((0..world.calls.len()).map(Act::Arrive));
            acts.extend((0..world.answers.len()).map(Act::Answer));
        }
        if world.successors < self.successors {
            acts.push(Act::Succeed);
        }
        if self.kills > 0 {
            acts.push(Act::Clean);
        }
        if self.lower {
            // The counter's machine has agreed on it before a gateway hears of it.
            let known = |who: &usize| *who == 2 || world.lowered[2];
            acts.extend((0..3).filter(known).filter(|who| !world.lowered[*who]).map(Act::Lower));
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = last.clone();
        let now = world.now;
        if let Act::Spend(to) | Act::Exchange(to) | Act::Call(to) | Act::Fail(to) | Act::Kill(to) = act {
            world.turn = to;
        }
        match act {
            Act::Tick => {
                world.now += STEP_MS;
                world.turn = 0;
                let now = world.now;
                world.sent.retain(|at| at + WINDOW_MS > now);
            }
            Act::Spend(to) => {
                let before = world.sent.len();
                while let Spend::Done { from, .. } = world.allowances[to].spend(now, "t") {
                    world.sent.push(from);
                }
                // More who wait ask for more than the cap has.
                if world.sent.len() == before && (last.waits[to] || !self.waits) {
                    return None;
                }
                world.waits[to] = true;
            }
            Act::Exchange(to) => {
                let call = world.allowances[to].poll(now)?;
                let answer = world.answer(&call);
                world.allowances[to].answered(now, &answer);
                world.waits[to] = false;
            }
            Act::Call(to) => {
                let call = world.allowances[to].poll(now)?;
                let own = world.calls.iter().filter(|(from, _)| *from == to).count();
                if own == LATE {
                    let oldest = world.calls.iter().position(|(from, _)| *from == to)?;
                    world.calls.remove(oldest);
                }
                world.calls.push((to, call));
            }
            Act::Arrive(number) => {
                let (_, call) = world.calls[number].clone();
                let answer = world.answer(&call);
                world.answers.retain(|(life, _)| *life != call.incarnation);
                world.answers.push((call.incarnation, answer));
            }
            Act::Answer(number) => {
                let (life, answer) = world.answers.remove(number);
                let to = world.lives.iter().position(|own| *own == life)?;
                world.allowances[to].answered(now, &answer);
                world.waits[to] = false;
            }
            Act::Fail(to) => {
                if world.allowances[to].next_wake().is_some() {
                    return None;
                }
                world.allowances[to].failed(now);
            }
            Act::Kill(to) => {
                world.kills += 1;
                world.lives[to] += 2;
                world.waits[to] = false;
                // Its last words have come, or are lost: see `lib.rs`.
                world.calls.retain(|(from, _)| *from != to);
                world.allowances[to] = self.allowance(now, to, world.lives[to], world.term);
                if world.lowered[to] {
                    world.allowances[to].set_limits(now, &limits(LOWERED));
                }
            }
            Act::Succeed => {
                world.successors += 1;
                world.term += 1;
                let log = if self.forgetful { BTreeMap::new() } else { world.log.clone() };
                world.counter = Counter::new(now, world.term, self.tuning.clone(), log);
                world.counter.set_limits(now, &limits(if world.lowered[2] { LOWERED } else { CAP }));
            }
            Act::Clean => {
                let gone = world.counter.removable_processes(now)?.removed;
                world.log.retain(|life, _| !gone.contains(life));
                world.counter.set_logged_processes(&world.log);
            }
            Act::Lower(who) => {
                world.lowered[who] = true;
                match who {
                    2 => world.counter.set_limits(now, &limits(LOWERED)),
                    to => world.allowances[to].set_limits(now, &limits(LOWERED)),
                }
                if world.lowered.iter().all(|known| *known) {
                    world.all_lowered = Some(now);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no window has more than the cap", |_: &Rule, world: &World| {
                world.sent.len() as u64 <= world.cap()
            }),
            Property::always(
                "what is spent and may be spent is within the cap",
                |_: &Rule, world: &World| world.lowered[2] || world.sent.len() as u64 + world.held() <= CAP,
            ),
            Property::always("a life that has units is on the log", |_: &Rule, world: &World| {
                !world.unlisted()
            }),
            Property::sometimes("the whole cap is spent in a window", |_: &Rule, world: &World| {
                world.sent.len() as u64 == CAP
            }),
        ]
    }
}

/// Everything, in every order, up to `acts` acts.
fn all(rule: Rule, acts: usize) -> BTreeSet<&'static str> {
    let checker = rule.clone().checker().threads(3).target_max_depth(acts).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    let found: BTreeSet<&str> = checker.discoveries().into_keys().collect();
    for property in rule.properties().iter().filter(|rule| matches!(rule.expectation, Expectation::Always)) {
        assert!(!found.contains(property.name), "{:?}", checker.discovery(property.name));
    }
    found
}

/// Long ways by chance, `ways` of them from `seed` on: where one breaks the rule, what it broke and the acts that led there.
fn found(rule: &Rule, seed: u64, ways: u64) -> Option<(&'static str, Vec<Act>)> {
    let properties = rule.properties();
    let always = || properties.iter().filter(|rule| matches!(rule.expectation, Expectation::Always));
    for seed in seed..seed + ways {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = rule.init_states().remove(0);
        let (mut done, mut acts) = (Vec::new(), Vec::new());
        for _ in 0..rule.steps * 12 {
            acts.clear();
            rule.actions(&world, &mut acts);
            let act = acts.swap_remove(rng.usize(..acts.len()));
            let Some(next) = rule.next_state(&world, act.clone()) else { continue };
            world = next;
            done.push(act);
            if let Some(broken) = always().find(|property| !(property.condition)(rule, &world)) {
                println!("seed {seed}: {}, after {done:?}", broken.name);
                return Some((broken.name, done));
            }
        }
    }
    None
}

#[test]
fn the_rule_holds_in_every_order_of_a_calm_world() {
    let found = all(Rule { steps: 3, ..Rule::new() }, 100);
    assert!(found.contains("the whole cap is spent in a window"));
}

#[test]
fn the_rule_holds_in_every_order_of_a_few_acts_of_a_wild_one() {
    all(Rule { steps: 3, kills: 1, successors: 1, ..Rule::new() }, 8);
    all(Rule { steps: 3, late: true, successors: 1, ..Rule::new() }, 7);
}

fn lost() -> Rule {
    Rule { steps: 8, kills: 2, successors: 1, ..Rule::new() }
}

#[test]
fn the_rule_holds_over_long_ways() {
    let wild = Rule { steps: 12, kills: 2, successors: 2, late: true, waits: true, ..Rule::new() };
    let lower = Rule { lower: true, kills: 0, successors: 0, ..wild.clone() };
    for rule in [wild, lower, lost()] {
        assert_eq!(found(&rule, 1, 2_000), None);
    }
}

/// Units are lent to requests that wait, and go back after their window.
fn on_demand(rule: &Rule) -> Rule {
    let tuning = |tuning: &Tuning| Tuning { on_demand_cap_per_gateway: CAP + 1, ..tuning.clone() };
    Rule { tuning: tuning(&rule.tuning), gateways: tuning(&rule.gateways), waits: true, ..rule.clone() }
}

#[test]
fn the_rule_holds_where_units_are_lent_on_demand() {
    let found = all(on_demand(&Rule { steps: 3, ..Rule::new() }), 100);
    assert!(found.contains("the whole cap is spent in a window"));
    all(on_demand(&Rule { steps: 3, kills: 1, successors: 1, ..Rule::new() }), 8);
    let wild = Rule { steps: 12, kills: 2, successors: 2, late: true, waits: true, ..Rule::new() };
    let lower = Rule { lower: true, kills: 0, successors: 0, ..wild.clone() };
    for rule in [wild, lower, lost()] {
        assert_eq!(self::found(&on_demand(&rule), 1, 2_000), None);
    }
}

#[test]
fn without_a_guard_it_is_broken_where_units_are_lent_on_demand() {
    let calm = Rule { kills: 0, successors: 0, ..lost() };
    let early = Rule { gateways: Tuning { window_ms: STEP_MS, ..tuning() }, ..calm.clone() };
    needed("a whole window", 1_000, &on_demand(&calm), &on_demand(&early));
    needed("names", 1_000, &on_demand(&lost()), &on_demand(&Rule { forgetful: true, ..lost() }));
    for (what, guard, ways) in
        [("the rest", Guard::UnreportedProcesses, 15_000), ("locks", Guard::EndedProcesses, 1_000)]
    {
        needed(what, ways, &on_demand(&lost()), &on_demand(&without(guard, &lost())));
    }
}

/// Without a guard the rule is found broken, on the same ways on which it holds with it.
fn needed(what: &str, ways: u64, with: &Rule, without: &Rule) {
    println!("without {what}:");
    let Some((_, acts)) = found(without, 1, ways) else { panic!("without {what} nothing is found") };
    println!("{} acts", acts.len());
    assert_eq!(found(with, 1, ways.min(2_000)), None, "with {what}");
}

fn without(guard: Guard, rule: &Rule) -> Rule {
    let out = |tuning: &Tuning| Tuning { disabled_guard: Some(guard), ..tuning.clone() };
    Rule { tuning: out(&rule.tuning), gateways: out(&rule.gateways), ..rule.clone() }
}

#[test]
fn without_the_pace_it_is_broken() {
    let hasty = Rule {
        gateways: Tuning { bucket_depth: BucketDepth { divisor: 1, min: 9, max: 9 }, ..tuning() },
        ..lost()
    };
    needed("the pace", 4_000, &lost(), &hasty);
}

#[test]
fn without_the_names_on_the_log_it_is_broken() {
    needed("names", 1_000, &lost(), &Rule { forgetful: true, ..lost() });
}

#[test]
fn without_the_end_of_loans_it_is_broken() {
    let lasting = Rule { gateways: Tuning { lease_ms: 10 * STEP_MS, ..tuning() }, ..lost() };
    needed("the end of loans", 1_000, &lost(), &lasting);
}

#[test]
fn with_units_back_too_early_it_is_broken() {
    let calm = Rule { kills: 0, successors: 0, ..lost() };
    let early = Rule { gateways: Tuning { window_ms: STEP_MS, ..tuning() }, ..calm.clone() };
    needed("a whole window", 1_000, &calm, &early);
}

#[test]
fn without_what_lives_on_the_log_may_have_it_is_broken() {
    needed("the rest", 2_000, &lost(), &without(Guard::UnreportedProcesses, &lost()));
}

#[test]
fn without_what_ended_lives_may_have_it_is_broken() {
    needed("locks", 2_000, &lost(), &without(Guard::EndedProcesses, &lost()));
}

#[test]
fn with_overtaken_calls_it_is_broken() {
    let late = Rule { late: true, ..lost() };
    needed("the order of calls", 2_000, &late, &without(Guard::CallOrder, &late));
}

#[test]
fn with_answers_to_older_calls_it_is_broken() {
    let late = Rule { steps: 12, late: true, waits: true, successors: 2, ..lost() };
    needed("the newest answer alone", 2_000, &late, &without(Guard::NewestAnswer, &late));
}

/// A call that tells all, late until another counter leads: it told less than has been lent since.
#[test]
fn with_calls_meant_for_an_older_counter_it_is_broken() {
    let late = Rule { late: true, kills: 0, successors: 2, ..lost() };
    needed("the counter's own term", 2_000, &late, &without(Guard::IntendedTerm, &late));
}
