//! The membership machine against a reference that knows which gateways run, over random sequences of faults that are
//! shrunk when one fails. The reference is `Simulation::has_converged`: after the last fault all running gateways have
//! the same view, and it is true. The sum of the shares is checked during the whole run.

mod simulation;

use proptest::prelude::*;
use simulation::{Faults, Simulation, NORMAL_NETWORK};

const SIZE: usize = 5;

#[derive(Debug, Clone)]
enum Action {
    Crash(usize),
    Start(usize),
    Hang(usize, u32),
    CutLink(usize, usize),
    Partition([u8; SIZE]),
    Heal,
    LossPercent(u8),
    Leave(usize),
    CancelLeave(usize),
    SetEpoch(usize, u32),
    RunMs(u32),
}

fn any_action() -> impl Strategy<Value = Action> {
    let member = 0..SIZE;
    prop_oneof![
        member.clone().prop_map(Action::Crash),
        member.clone().prop_map(Action::Start),
        (member.clone(), 100..12_000u32).prop_map(|(member, ms)| Action::Hang(member, ms)),
        (member.clone(), member.clone()).prop_map(|(from, to)| Action::CutLink(from, to)),
        proptest::array::uniform5(0..2u8).prop_map(Action::Partition),
        Just(Action::Heal),
        (0..40u8).prop_map(Action::LossPercent),
        member.clone().prop_map(Action::Leave),
        member.clone().prop_map(Action::CancelLeave),
        (member, 1..9u32).prop_map(|(member, epoch)| Action::SetEpoch(member, epoch)),
        (50..8_000u32).prop_map(Action::RunMs),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn running_gateways_converge_to_the_truth_after_random_faults(
        seed in any::<u64>(),
        actions in proptest::collection::vec(any_action(), 1..24),
    ) {
        let mut simulation = Simulation::new(SIZE, seed);
        (0..SIZE).for_each(|member| simulation.start(member));
        for action in actions {
            match action {
                Action::Crash(member) => simulation.crash(member),
                Action::Start(member) => simulation.start(member),
                Action::Hang(member, ms) => simulation.hang(member, f64::from(ms)),
                Action::CutLink(from, to) => drop(simulation.cut_links.insert((from, to))),
                Action::Partition(partition) => simulation.partition = partition.to_vec(),
                Action::Heal => {
                    simulation.partition.fill(0);
                    simulation.cut_links.clear();
                }
                Action::LossPercent(percent) => {
                    simulation.faults = Faults { loss: f64::from(percent) / 100.0, ..NORMAL_NETWORK };
                }
                Action::Leave(member) => {
                    simulation.call(member, |membership, now_ms| membership.leave(now_ms));
                }
                Action::CancelLeave(member) => {
                    simulation.call(member, |membership, now_ms| membership.cancel_leave(now_ms));
                }
                Action::SetEpoch(member, epoch) => {
                    simulation.call(member, |membership, now_ms| membership.set_epoch(now_ms, epoch));
                }
                Action::RunMs(ms) => simulation.run_for(f64::from(ms)),
            }
            simulation.run_for(20.0);
        }
        simulation.partition.fill(0);
        simulation.cut_links.clear();
        simulation.faults = NORMAL_NETWORK;
        for member in 0..SIZE {
            simulation.call(member, |membership, now_ms| membership.cancel_leave(now_ms));
        }
        // A hang may not have ended yet.
        simulation.run_for(12_000.0);
        prop_assert!(
            simulation.run_until_converged(12_000.0).is_some(),
            "no convergence\n{}",
            simulation.describe_views()
        );
    }
}
