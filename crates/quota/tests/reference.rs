//! The real counter and allowances against a simple reference, over random histories that proptest shrinks when they
//! fail. The reference has no loans, paces or takeovers. From the list of past events alone it decides what each
//! process may do.

mod simulation;

use nickeljunction_quota::{Guard, Limit, Tuning};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseResult, TestError, TestRunner};
use simulation::{Event, Simulation, WINDOW_MS};
use std::collections::HashMap;

const GATEWAYS: usize = 3;
/// Requests a second that the limits of the tenants allow.
const RATES: [f64; 2] = [8.0, 3.0];

/// One step of a history.
#[derive(Debug, Clone)]
enum Step {
    Run(u64),
    Freeze(usize, u64),
    Disconnect(usize, u64),
    Kill(usize),
    Restart(usize),
    /// The counter is lost. After this time another one starts, on the same machine or on another one.
    ReplaceCounter(u64, bool),
    /// The counter and all gateways are lost. After this time another counter starts, and the gateways restart or not.
    LoseAll(u64, bool),
    /// A tenant's traffic becomes this many quarters of its limit, mostly at one gateway or evenly at all.
    Traffic(usize, u64, bool),
    /// A tenant's cap becomes this many quarters of its initial one, and its pace this many tenths of that.
    Cap(usize, u64, u64),
    /// Percentage of messages that are lost; above 0, others are delayed or duplicated.
    Loss(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let (gateway, tenant) = (0..GATEWAYS, 0..RATES.len());
    prop_oneof![
        8 => (50..2_500_u64).prop_map(Step::Run),
        2 => (gateway.clone(), 100..14_000_u64).prop_map(|(gateway, ms)| Step::Freeze(gateway, ms)),
        2 => (gateway.clone(), 100..14_000_u64).prop_map(|(gateway, ms)| Step::Disconnect(gateway, ms)),
        2 => gateway.clone().prop_map(Step::Kill),
        3 => gateway.prop_map(Step::Restart),
        2 => (0..1_000_u64, prop::bool::ANY).prop_map(|(ms, same_machine)| Step::ReplaceCounter(ms, same_machine)),
        1 => (0..2_000_u64, prop::bool::ANY).prop_map(|(ms, restart)| Step::LoseAll(ms, restart)),
        2 => (tenant.clone(), 0..40_u64, prop::bool::ANY).prop_map(
            |(tenant, quarters, skewed)| Step::Traffic(tenant, quarters, skewed)
        ),
        1 => (tenant, 1..6_u64, 5..=10_u64).prop_map(
            |(tenant, quarters, pace_tenths)| Step::Cap(tenant, quarters, pace_tenths)
        ),
        2 => (0..25_u64).prop_map(Step::Loss),
    ]
}

/// Calls and answers of a process.
#[derive(Debug, Default)]
struct Process {
    /// Sequence number of its newest call, and when it was sent.
    newest_call: (u64, u64),
    /// When its newest answered call was sent.
    answered_call_at: Option<u64>,
}

/// What the events so far allow.
struct Reference {
    lease_ms: u64,
    processes: HashMap<u64, Process>,
    /// For each tenant, when its requests were sent, oldest first.
    sent: Vec<Vec<u64>>,
    /// For each tenant, its caps with the time from which they apply, oldest first.
    caps: Vec<Vec<(u64, u64)>>,
}

impl Reference {
    fn new(sim: &Simulation) -> Reference {
        Reference {
            lease_ms: sim.tuning.lease_ms,
            processes: HashMap::new(),
            sent: vec![Vec::new(); RATES.len()],
            caps: sim.tenants.iter().map(|stats| vec![(0, stats.cap)]).collect(),
        }
    }

    /// The highest cap that applied in the window that ends at `now`.
    fn highest_cap(&self, tenant: usize, now: u64) -> u64 {
        let caps = &self.caps[tenant];
        let until = caps.iter().skip(1).map(|(time, _)| *time).chain([u64::MAX]);
        let in_force = caps.iter().zip(until).filter(|(_, until)| until.saturating_add(WINDOW_MS) > now);
        in_force.map(|((_, cap), _)| *cap).max().unwrap_or(0)
    }

    /// Number of requests sent in the window that ends at `now`.
    fn sent_in_window(&self, tenant: usize, now: u64) -> u64 {
        self.sent[tenant].iter().rev().take_while(|time| **time + WINDOW_MS > now).count() as u64
    }

    /// Takes the new events from the simulation and checks them.
    fn check_events(&mut self, sim: &mut Simulation) -> TestCaseResult {
        let events = std::mem::take(&mut sim.events);
        let mut any_answer = false;
        for (time, event) in &events {
            match *event {
                Event::CallSent(process_id, seq) => {
                    self.processes.entry(process_id).or_default().newest_call = (seq, *time)
                }
                Event::CallAnswered(process_id, seq) => {
                    let process = self.processes.entry(process_id).or_default();
                    if process.newest_call.0 == seq {
                        process.answered_call_at = Some(process.newest_call.1);
                    }
                    any_answer = true;
                }
                Event::CapChanged(tenant, cap) => self.caps[tenant].push((*time, cap)),
                Event::RequestSent(tenant, process_id) => {
                    self.sent[tenant].push(*time);
                    let (sent, cap) = (self.sent_in_window(tenant, *time), self.highest_cap(tenant, *time));
                    prop_assert!(sent <= cap, "{} ms: tenant {} sent {} of {}", time, tenant, sent, cap);
                    let answered_call_at =
                        self.processes.get(&process_id).and_then(|process| process.answered_call_at);
                    let has_lease = answered_call_at.is_some_and(|sent_at| *time <= sent_at + self.lease_ms);
                    prop_assert!(
                        has_lease,
                        "{} ms: a process sends whose last answered call was sent at {:?}",
                        time,
                        answered_call_at
                    );
                    prop_assert!(
                        sim.log.contains_key(&process_id),
                        "{} ms: a process sends that is not in the log",
                        time
                    );
                }
            }
        }
        if any_answer {
            self.check_loans(sim)?;
        }
        Ok(())
    }

    /// Checks that the requests sent in the window, those scheduled and the units held by running gateways are together
    /// within the cap.
    fn check_loans(&self, sim: &mut Simulation) -> TestCaseResult {
        let now = sim.now;
        for tenant in 0..RATES.len() {
            let running = sim.gateways.iter_mut().filter(|gateway| gateway.up);
            let held: u64 =
                running.map(|gateway| gateway.allowance.held(now, &simulation::tenant_name(tenant))).sum();
            let scheduled =
                sim.tenants[tenant].scheduled.iter().filter(|(_, until, _)| *until >= now).count() as u64;
            let (sent, cap) = (self.sent_in_window(tenant, now), self.highest_cap(tenant, now));
            let total = sent + scheduled + held;
            prop_assert!(
                total <= cap,
                "{} ms: tenant {}: {} + {} + {} of {}",
                now,
                tenant,
                sent,
                scheduled,
                held,
                cap
            );
        }
        Ok(())
    }
}

fn run(sim: &mut Simulation, reference: &mut Reference, ms: u64) -> TestCaseResult {
    for _ in 0..ms {
        sim.step();
        reference.check_events(sim)?;
    }
    Ok(())
}

fn limits() -> Vec<Limit> {
    RATES.iter().map(|rate| Limit::from_rate(*rate, 0.0, 5.0, 0.1, 4.0, 0).expect("a limit")).collect()
}

/// Runs a history, with all guards or with one of them disabled.
fn run_history(seed: u64, steps: &[Step], disabled_guard: Option<Guard>) -> TestCaseResult {
    let tuning = Tuning { disabled_guard, ..Tuning::new(WINDOW_MS) };
    let tenants: Vec<(Limit, f64)> = limits().into_iter().zip(RATES).collect();
    let mut sim = Simulation::with_tuning(seed, GATEWAYS, &tenants, tuning);
    let mut reference = Reference::new(&sim);
    for step in steps {
        let now = sim.now;
        match *step {
            Step::Run(ms) => run(&mut sim, &mut reference, ms)?,
            Step::Freeze(gateway, ms) => sim.gateways[gateway].frozen_until = now + ms,
            Step::Disconnect(gateway, ms) => sim.gateways[gateway].disconnected_until = now + ms,
            Step::Kill(gateway) => sim.kill(gateway),
            Step::Restart(gateway) => sim.restart(gateway),
            Step::ReplaceCounter(ms, same_machine) => {
                sim.lose_counter();
                run(&mut sim, &mut reference, ms)?;
                sim.successor_on_same_machine = same_machine;
                sim.start_new_counter();
            }
            Step::LoseAll(ms, restart) => {
                sim.lose_counter();
                (0..GATEWAYS).for_each(|gateway| sim.kill(gateway));
                run(&mut sim, &mut reference, ms)?;
                (0..GATEWAYS).filter(|_| restart).for_each(|gateway| sim.restart(gateway));
                sim.start_new_counter();
            }
            Step::Traffic(tenant, quarters, skewed) => {
                sim.tenants[tenant].rate = RATES[tenant] * quarters as f64 / 4.0;
                sim.tenants[tenant].skewed = skewed;
            }
            Step::Cap(tenant, quarters, pace_tenths) => {
                sim.tenants[tenant].pace_share = pace_tenths as f64 / 10.0;
                sim.set_cap(tenant, (limits()[tenant].cap * quarters / 4).max(2));
            }
            Step::Loss(percent) => sim.loss = percent as f64 / 100.0,
        }
    }
    run(&mut sim, &mut reference, 1_000)?;
    if disabled_guard.is_none() {
        check_recovery(&mut sim, &mut reference)?;
    }
    Ok(())
}

/// Checks that after the history each tenant gets its limit again, as units held back for lost processes become free.
fn check_recovery(sim: &mut Simulation, reference: &mut Reference) -> TestCaseResult {
    sim.loss = 0.0;
    let now = sim.now;
    for gateway in 0..GATEWAYS {
        (sim.gateways[gateway].frozen_until, sim.gateways[gateway].disconnected_until) = (now, now);
        if !sim.gateways[gateway].up {
            sim.restart(gateway);
        }
    }
    for (tenant, Limit { cap, pace }) in limits().into_iter().enumerate() {
        sim.tenants[tenant].pace_share = pace as f64 / cap as f64;
        sim.set_cap(tenant, cap);
        (sim.tenants[tenant].rate, sim.tenants[tenant].skewed) = (RATES[tenant] * 3.0, false);
    }
    run(sim, reference, sim.tuning.lease_ms + 2 * WINDOW_MS)?;
    for (tenant, rate) in RATES.iter().enumerate() {
        let (sent, allowed) = (reference.sent_in_window(tenant, sim.now), rate * WINDOW_MS as f64 / 1_000.0);
        prop_assert!(
            sent as f64 >= allowed * 0.6,
            "tenant {} got {} of {} after the history",
            tenant,
            sent,
            allowed
        );
    }
    Ok(())
}

fn histories() -> impl Strategy<Value = (u64, Vec<Step>)> {
    (0..1_000_u64, prop::collection::vec(step(), 1..30))
}

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0xb0a7),
        max_shrink_iters: 300,
        ..ProptestConfig::default()
    })
}

#[test]
fn spent_units_are_within_the_reference() {
    let result =
        runner(std::env::var("REFERENCE_CASES").map_or(800, |cases| cases.parse().expect("a number")))
            .run(&histories(), |(seed, steps)| run_history(seed, &steps, None));
    assert!(result.is_ok(), "{}", result.unwrap_err());
}

#[test]
fn reference_detects_each_disabled_guard() {
    for guard in [Guard::CallOrder, Guard::NewestAnswer, Guard::EndedProcesses, Guard::UnreportedProcesses] {
        let result = runner(2_000).run(&histories(), |(seed, steps)| run_history(seed, &steps, Some(guard)));
        let Err(TestError::Fail(reason, (seed, steps))) = result else {
            panic!("without guard {guard:?}: {result:?}")
        };
        println!("without guard {guard:?}: {reason}; seed {seed}, {steps:?}");
        run_history(seed, &steps, None).expect("the same history with the guard");
    }
}

/// A process that ended soon after it had reported to a new counter had spent at a higher pace under the counter
/// before. More of its spent units were in force than its last pace accounted for. Found once in 60,000 histories.
#[test]
fn units_spent_under_an_older_counter_are_held_back_at_their_pace() {
    let steps = [
        Step::Run(1_368),
        Step::Freeze(0, 511),
        Step::ReplaceCounter(42, false),
        Step::Run(285),
        Step::ReplaceCounter(707, false),
        Step::Run(114),
        Step::Restart(1),
    ];
    run_history(821, &steps, None).expect("spent units within the cap");
}
