//! Model check of the real [`Counter`] and [`Allowance`] with two gateways and one tenant with a cap of four units,
//! in all orders of steps. Calls and answers are lost, delayed, duplicated and overtaken; gateways freeze (do nothing
//! while time passes), are killed and restart as new processes; counters replace each other.
//!
//! Cases that cannot affect the invariant are left out: a gateway spends all that it may at once, and an answer that
//! arrives in time arrives at once.

use nickeljunction_messages::{UnitsAnswer, UnitsCall};
use nickeljunction_quota::{Allowance, Boost, BucketDepth, Counter, Guard, Limit, Spend, Tuning};
use stateright::{Checker, Expectation, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::hash::{Hash, Hasher};

const CAP: u64 = 4;
const LOWERED_CAP: u64 = 2;
const STEP_MS: u64 = 100;
const WINDOW_MS: u64 = 3 * STEP_MS;
/// Maximum number of calls in flight of each gateway, which may arrive late or twice.
const MAX_DELAYED_CALLS: usize = 2;

/// The lease is two steps and the window three; requests are written at once, and a gateway may call in each step.
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
        // Units are lent ahead of need, which allows more behaviours than lending on demand.
        on_demand_cap_per_gateway: 0,
        ..Tuning::new(WINDOW_MS)
    }
}

fn limits(cap: u64) -> BTreeMap<String, Limit> {
    BTreeMap::from([("t".to_owned(), Limit { cap, pace: cap })])
}

#[derive(Debug, Clone)]
struct State {
    now: u64,
    term: u64,
    counter: Counter,
    allowances: Vec<Allowance>,
    process_ids: [u64; 2],
    /// The last gateway that acted in this tick: gateways before it do not act any more.
    turn: usize,
    /// Whether a request waits at the gateway.
    has_waiting: [bool; 2],
    log: BTreeMap<u64, String>,
    /// Calls in flight with their gateway; a call that has arrived stays here, as it may arrive again.
    calls: Vec<(usize, UnitsCall)>,
    /// Answers in flight, with the process that they are for.
    answers: Vec<(u64, UnitsAnswer)>,
    /// When units were spent in the last window.
    sent: Vec<u64>,
    /// Whether the gateways and (last) the counter know the lowered limit.
    lowered: [bool; 3],
    /// When the last of them received the lowered limit.
    all_lowered_at: Option<u64>,
    kills: u8,
    replacements: u8,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        struct Sink<'a, H>(&'a mut H);
        impl<H: Hasher> Write for Sink<'_, H> {
            fn write_str(&mut self, text: &str) -> std::fmt::Result {
                self.0.write(text.as_bytes());
                Ok(())
            }
        }
        let _ = write!(Sink(hasher), "{self:?}");
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl State {
    fn answer(&mut self, call: &UnitsCall) -> UnitsAnswer {
        if let Some(change) = self.counter.enrollment_for(self.now, call) {
            self.log.extend(change.added);
            self.counter.set_logged_processes(&self.log);
            self.counter.enrollment_committed(call.incarnation);
        }
        self.counter.handle_call(self.now, call, 2)
    }

    /// Maximum units that may be spent in the window that ends now.
    fn cap(&self) -> u64 {
        match self.all_lowered_at {
            Some(lowered_at) if self.now >= lowered_at + WINDOW_MS => LOWERED_CAP,
            _ => CAP,
        }
    }

    /// Units that the gateways may spend, apart from their pace.
    fn held(&self) -> u64 {
        self.allowances.iter().map(|allowance| allowance.clone().held(self.now, "t")).sum()
    }

    /// Whether a process has units but is not in the log, so that a new counter would not know of it.
    fn has_unlogged_process(&self) -> bool {
        let mut allowances = self.allowances.clone();
        (0..2).any(|gateway| {
            allowances[gateway].held(self.now, "t") > 0 && !self.log.contains_key(&self.process_ids[gateway])
        })
    }
}

#[derive(Debug, Clone, PartialEq)]
enum Step {
    /// Time advances by `STEP_MS`.
    Tick,
    /// A gateway spends all units that it may.
    Spend(usize),
    /// A gateway calls and is answered at once.
    Exchange(usize),
    /// A gateway sends a call.
    Call(usize),
    /// A call arrives at the counter, for the first time or again.
    Arrive(usize),
    /// An answer arrives.
    Answer(usize),
    /// A call of a gateway times out.
    Fail(usize),
    /// A gateway is killed and restarts at once.
    Kill(usize),
    /// A new counter replaces the current one.
    ReplaceCounter,
    /// Processes without units in force are removed from the log.
    CleanLog,
    /// A gateway (0 or 1) or the counter (2) receives the lowered limit.
    Lower(usize),
}

#[derive(Debug, Clone)]
struct FleetModel {
    tuning: Tuning,
    gateway_tuning: Tuning,
    /// Maximum number of ticks, kills and counter replacements.
    ticks: u64,
    kills: u8,
    replacements: u8,
    /// Requests wait for units beyond the pace.
    requests_wait: bool,
    /// Calls and answers may be lost, delayed and duplicated.
    delays: bool,
    /// The limit is lowered.
    lowers_limit: bool,
    /// A new counter starts without the list of processes.
    new_counter_ignores_log: bool,
}

impl FleetModel {
    fn new() -> FleetModel {
        FleetModel {
            tuning: tuning(),
            gateway_tuning: tuning(),
            ticks: 4,
            kills: 0,
            replacements: 0,
            requests_wait: false,
            delays: false,
            lowers_limit: false,
            new_counter_ignores_log: false,
        }
    }

    fn allowance(&self, now: u64, gateway: usize, process_id: u64, term: u64) -> Allowance {
        let mut allowance =
            Allowance::new(now, format!("g{gateway}"), process_id, self.gateway_tuning.clone());
        allowance.set_limits(now, &limits(CAP));
        allowance.leader_changed(now, term);
        allowance
    }
}

impl Model for FleetModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let now = 10 * STEP_MS;
        let mut counter = Counter::new(now, 1, self.tuning.clone(), BTreeMap::new());
        counter.set_limits(now, &limits(CAP));
        vec![State {
            now,
            term: 1,
            counter,
            allowances: (0..2).map(|gateway| self.allowance(now, gateway, gateway as u64, 1)).collect(),
            process_ids: [0, 1],
            turn: 0,
            has_waiting: [false; 2],
            log: BTreeMap::new(),
            calls: Vec::new(),
            answers: Vec::new(),
            sent: Vec::new(),
            lowered: [false; 3],
            all_lowered_at: None,
            kills: 0,
            replacements: 0,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < (10 + self.ticks) * STEP_MS {
            steps.push(Step::Tick);
        }
        for gateway in state.turn..2 {
            steps.extend([Step::Spend(gateway), Step::Exchange(gateway)]);
            if self.delays {
                steps.extend([Step::Call(gateway), Step::Fail(gateway)]);
            }
            if state.kills < self.kills {
                steps.push(Step::Kill(gateway));
            }
        }
        if self.delays {
            steps.extend((0..state.calls.len()).map(Step::Arrive));
            steps.extend((0..state.answers.len()).map(Step::Answer));
        }
        if state.replacements < self.replacements {
            steps.push(Step::ReplaceCounter);
        }
        if self.kills > 0 {
            steps.push(Step::CleanLog);
        }
        if self.lowers_limit {
            // The configuration is committed at the counter before a gateway receives it.
            let may_receive = |member: &usize| *member == 2 || state.lowered[2];
            steps
                .extend((0..3).filter(may_receive).filter(|member| !state.lowered[*member]).map(Step::Lower));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        if let Step::Spend(gateway)
        | Step::Exchange(gateway)
        | Step::Call(gateway)
        | Step::Fail(gateway)
        | Step::Kill(gateway) = step
        {
            state.turn = gateway;
        }
        match step {
            Step::Tick => {
                state.now += STEP_MS;
                state.turn = 0;
                let now = state.now;
                state.sent.retain(|sent_at| sent_at + WINDOW_MS > now);
            }
            Step::Spend(gateway) => {
                let before = state.sent.len();
                while let Spend::Done { from, .. } = state.allowances[gateway].spend(now, "t") {
                    state.sent.push(from);
                }
                // Further waiting requests would only request more units than the cap has.
                if state.sent.len() == before && (last.has_waiting[gateway] || !self.requests_wait) {
                    return None;
                }
                state.has_waiting[gateway] = true;
            }
            Step::Exchange(gateway) => {
                let call = state.allowances[gateway].poll(now)?;
                let answer = state.answer(&call);
                state.allowances[gateway].answered(now, &answer);
                state.has_waiting[gateway] = false;
            }
            Step::Call(gateway) => {
                let call = state.allowances[gateway].poll(now)?;
                let own = state.calls.iter().filter(|(from, _)| *from == gateway).count();
                if own == MAX_DELAYED_CALLS {
                    let oldest = state.calls.iter().position(|(from, _)| *from == gateway)?;
                    state.calls.remove(oldest);
                }
                state.calls.push((gateway, call));
            }
            Step::Arrive(number) => {
                let (_, call) = state.calls[number].clone();
                let answer = state.answer(&call);
                state.answers.retain(|(process_id, _)| *process_id != call.incarnation);
                state.answers.push((call.incarnation, answer));
            }
            Step::Answer(number) => {
                let (process_id, answer) = state.answers.remove(number);
                let gateway = state.process_ids.iter().position(|own| *own == process_id)?;
                state.allowances[gateway].answered(now, &answer);
                state.has_waiting[gateway] = false;
            }
            Step::Fail(gateway) => {
                if state.allowances[gateway].next_wake().is_some() {
                    return None;
                }
                state.allowances[gateway].failed(now);
            }
            Step::Kill(gateway) => {
                state.kills += 1;
                state.process_ids[gateway] += 2;
                state.has_waiting[gateway] = false;
                // The calls of the killed process have arrived or are lost: see `lib.rs`.
                state.calls.retain(|(from, _)| *from != gateway);
                state.allowances[gateway] =
                    self.allowance(now, gateway, state.process_ids[gateway], state.term);
                if state.lowered[gateway] {
                    state.allowances[gateway].set_limits(now, &limits(LOWERED_CAP));
                }
            }
            Step::ReplaceCounter => {
                state.replacements += 1;
                state.term += 1;
                let log = if self.new_counter_ignores_log { BTreeMap::new() } else { state.log.clone() };
                state.counter = Counter::new(now, state.term, self.tuning.clone(), log);
                state.counter.set_limits(now, &limits(if state.lowered[2] { LOWERED_CAP } else { CAP }));
            }
            Step::CleanLog => {
                let removed = state.counter.removable_processes(now)?.removed;
                state.log.retain(|process_id, _| !removed.contains(process_id));
                state.counter.set_logged_processes(&state.log);
            }
            Step::Lower(member) => {
                state.lowered[member] = true;
                match member {
                    2 => state.counter.set_limits(now, &limits(LOWERED_CAP)),
                    gateway => state.allowances[gateway].set_limits(now, &limits(LOWERED_CAP)),
                }
                if state.lowered.iter().all(|lowered| *lowered) {
                    state.all_lowered_at = Some(now);
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "units spent in a window are within the cap",
                |_: &FleetModel, state: &State| state.sent.len() as u64 <= state.cap(),
            ),
            Property::always("units spent and held are within the cap", |_: &FleetModel, state: &State| {
                state.lowered[2] || state.sent.len() as u64 + state.held() <= CAP
            }),
            Property::always("a process that has units is in the log", |_: &FleetModel, state: &State| {
                !state.has_unlogged_process()
            }),
            Property::sometimes("the whole cap is spent in a window", |_: &FleetModel, state: &State| {
                state.sent.len() as u64 == CAP
            }),
        ]
    }
}

/// Explores all orders of up to `steps` steps and checks the invariants. Returns the properties with a discovery.
fn check_all_orders(model: FleetModel, steps: usize) -> BTreeSet<&'static str> {
    let checker = model.clone().checker().threads(3).target_max_depth(steps).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    let found: BTreeSet<&str> = checker.discoveries().into_keys().collect();
    for property in
        model.properties().iter().filter(|property| matches!(property.expectation, Expectation::Always))
    {
        assert!(!found.contains(property.name), "{:?}", checker.discovery(property.name));
    }
    found
}

/// Checks `runs` random sequences of steps, with seeds from `seed` on. Returns the first invariant that is violated and
/// the steps that led there.
fn find_violation(model: &FleetModel, seed: u64, runs: u64) -> Option<(&'static str, Vec<Step>)> {
    let properties = model.properties();
    let invariants =
        || properties.iter().filter(|property| matches!(property.expectation, Expectation::Always));
    for seed in seed..seed + runs {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut state = model.init_states().remove(0);
        let (mut done, mut steps) = (Vec::new(), Vec::new());
        for _ in 0..model.ticks * 12 {
            steps.clear();
            model.actions(&state, &mut steps);
            let step = steps.swap_remove(rng.usize(..steps.len()));
            let Some(next) = model.next_state(&state, step.clone()) else { continue };
            state = next;
            done.push(step);
            if let Some(violated) = invariants().find(|property| !(property.condition)(model, &state)) {
                println!("seed {seed}: {}, after {done:?}", violated.name);
                return Some((violated.name, done));
            }
        }
    }
    None
}

#[test]
fn invariants_hold_in_all_orders_without_faults() {
    let found = check_all_orders(FleetModel { ticks: 3, ..FleetModel::new() }, 100);
    assert!(found.contains("the whole cap is spent in a window"));
}

#[test]
fn invariants_hold_in_all_orders_of_a_few_steps_with_faults() {
    check_all_orders(FleetModel { ticks: 3, kills: 1, replacements: 1, ..FleetModel::new() }, 8);
    check_all_orders(FleetModel { ticks: 3, delays: true, replacements: 1, ..FleetModel::new() }, 7);
}

fn with_losses() -> FleetModel {
    FleetModel { ticks: 8, kills: 2, replacements: 1, ..FleetModel::new() }
}

#[test]
fn invariants_hold_in_long_random_runs() {
    let faulty = FleetModel {
        ticks: 12,
        kills: 2,
        replacements: 2,
        delays: true,
        requests_wait: true,
        ..FleetModel::new()
    };
    let lowered = FleetModel { lowers_limit: true, kills: 0, replacements: 0, ..faulty.clone() };
    for model in [faulty, lowered, with_losses()] {
        assert_eq!(find_violation(&model, 1, 2_000), None);
    }
}

/// The same model with units lent only to waiting requests and returned after their window.
fn on_demand(model: &FleetModel) -> FleetModel {
    let tuning = |tuning: &Tuning| Tuning { on_demand_cap_per_gateway: CAP + 1, ..tuning.clone() };
    FleetModel {
        tuning: tuning(&model.tuning),
        gateway_tuning: tuning(&model.gateway_tuning),
        requests_wait: true,
        ..model.clone()
    }
}

#[test]
fn invariants_hold_with_lending_on_demand() {
    let found = check_all_orders(on_demand(&FleetModel { ticks: 3, ..FleetModel::new() }), 100);
    assert!(found.contains("the whole cap is spent in a window"));
    check_all_orders(on_demand(&FleetModel { ticks: 3, kills: 1, replacements: 1, ..FleetModel::new() }), 8);
    let faulty = FleetModel {
        ticks: 12,
        kills: 2,
        replacements: 2,
        delays: true,
        requests_wait: true,
        ..FleetModel::new()
    };
    let lowered = FleetModel { lowers_limit: true, kills: 0, replacements: 0, ..faulty.clone() };
    for model in [faulty, lowered, with_losses()] {
        assert_eq!(find_violation(&on_demand(&model), 1, 2_000), None);
    }
}

#[test]
fn invariants_need_each_mechanism_with_lending_on_demand() {
    let without_losses = FleetModel { kills: 0, replacements: 0, ..with_losses() };
    let short_window =
        FleetModel { gateway_tuning: Tuning { window_ms: STEP_MS, ..tuning() }, ..without_losses.clone() };
    check_is_needed("the full window", 1_000, &on_demand(&without_losses), &on_demand(&short_window));
    check_is_needed(
        "the process list",
        1_000,
        &on_demand(&with_losses()),
        &on_demand(&FleetModel { new_counter_ignores_log: true, ..with_losses() }),
    );
    for (mechanism, guard, runs) in [
        ("holding back for unreported processes", Guard::UnreportedProcesses, 15_000),
        ("holding back for ended processes", Guard::EndedProcesses, 1_000),
    ] {
        check_is_needed(
            mechanism,
            runs,
            &on_demand(&with_losses()),
            &on_demand(&with_disabled_guard(guard, &with_losses())),
        );
    }
}

/// Checks that random runs violate an invariant without a mechanism, and that the same runs hold with it.
fn check_is_needed(mechanism: &str, runs: u64, with: &FleetModel, without: &FleetModel) {
    println!("without {mechanism}:");
    let Some((_, steps)) = find_violation(without, 1, runs) else {
        panic!("no violation found without {mechanism}")
    };
    println!("{} steps", steps.len());
    assert_eq!(find_violation(with, 1, runs.min(2_000)), None, "with {mechanism}");
}

fn with_disabled_guard(guard: Guard, model: &FleetModel) -> FleetModel {
    let disable = |tuning: &Tuning| Tuning { disabled_guard: Some(guard), ..tuning.clone() };
    FleetModel {
        tuning: disable(&model.tuning),
        gateway_tuning: disable(&model.gateway_tuning),
        ..model.clone()
    }
}

#[test]
fn invariants_need_the_pace() {
    let unpaced = FleetModel {
        gateway_tuning: Tuning { bucket_depth: BucketDepth { divisor: 1, min: 9, max: 9 }, ..tuning() },
        ..with_losses()
    };
    check_is_needed("the pace", 4_000, &with_losses(), &unpaced);
}

#[test]
fn invariants_need_the_process_list() {
    check_is_needed(
        "the process list",
        1_000,
        &with_losses(),
        &FleetModel { new_counter_ignores_log: true, ..with_losses() },
    );
}

#[test]
fn invariants_need_the_end_of_leases() {
    let long_lease =
        FleetModel { gateway_tuning: Tuning { lease_ms: 10 * STEP_MS, ..tuning() }, ..with_losses() };
    check_is_needed("the end of leases", 1_000, &with_losses(), &long_lease);
}

#[test]
fn invariants_need_the_full_window() {
    let without_losses = FleetModel { kills: 0, replacements: 0, ..with_losses() };
    let short_window =
        FleetModel { gateway_tuning: Tuning { window_ms: STEP_MS, ..tuning() }, ..without_losses.clone() };
    check_is_needed("the full window", 1_000, &without_losses, &short_window);
}

#[test]
fn invariants_need_units_held_back_for_unreported_processes() {
    check_is_needed(
        "holding back for unreported processes",
        2_000,
        &with_losses(),
        &with_disabled_guard(Guard::UnreportedProcesses, &with_losses()),
    );
}

#[test]
fn invariants_need_units_held_back_for_ended_processes() {
    check_is_needed(
        "holding back for ended processes",
        2_000,
        &with_losses(),
        &with_disabled_guard(Guard::EndedProcesses, &with_losses()),
    );
}

#[test]
fn invariants_need_overtaken_calls_to_be_ignored() {
    let delayed = FleetModel { delays: true, ..with_losses() };
    check_is_needed("the order of calls", 2_000, &delayed, &with_disabled_guard(Guard::CallOrder, &delayed));
}

#[test]
fn invariants_need_older_answers_to_be_ignored() {
    let delayed =
        FleetModel { ticks: 12, delays: true, requests_wait: true, replacements: 2, ..with_losses() };
    check_is_needed(
        "accepting only the newest answer",
        2_000,
        &delayed,
        &with_disabled_guard(Guard::NewestAnswer, &delayed),
    );
}

/// A full report that arrives only when another counter leads reports less than has been lent since.
#[test]
fn invariants_need_reports_for_older_counters_to_be_ignored() {
    let delayed = FleetModel { delays: true, kills: 0, replacements: 2, ..with_losses() };
    check_is_needed(
        "the check of the term",
        2_000,
        &delayed,
        &with_disabled_guard(Guard::IntendedTerm, &delayed),
    );
}
