//! The membership machine against a reference that knows who really lives, over drawn sequences of faults that shrink
//! to the fewest when one fails. The reference is `Simulation::agrees`: after the last fault ends all that live hold one
//! view, and it is the truth; parts are checked against the whole all along.

mod simulation;

use proptest::prelude::*;
use simulation::{Faults, Simulation, CALM};

const SIZE: usize = 5;

#[derive(Debug, Clone)]
enum Op {
    Kill(usize),
    Start(usize),
    Hang(usize, u32),
    Cut(usize, usize),
    Sides([u8; SIZE]),
    Heal,
    Loss(u8),
    Leave(usize),
    Stay(usize),
    Epoch(usize, u32),
    Run(u32),
}

fn op() -> impl Strategy<Value = Op> {
    let at = 0..SIZE;
    prop_oneof![
        at.clone().prop_map(Op::Kill),
        at.clone().prop_map(Op::Start),
        (at.clone(), 100..12_000u32).prop_map(|(at, ms)| Op::Hang(at, ms)),
        (at.clone(), at.clone()).prop_map(|(from, to)| Op::Cut(from, to)),
        proptest::array::uniform5(0..2u8).prop_map(Op::Sides),
        Just(Op::Heal),
        (0..40u8).prop_map(Op::Loss),
        at.clone().prop_map(Op::Leave),
        at.clone().prop_map(Op::Stay),
        (at, 1..9u32).prop_map(|(at, epoch)| Op::Epoch(at, epoch)),
        (50..8_000u32).prop_map(Op::Run),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn whatever_happened_all_that_live_agree_on_the_truth_in_the_end(
        seed in any::<u64>(),
        ops in proptest::collection::vec(op(), 1..24),
    ) {
        let mut world = Simulation::new(SIZE, seed);
        (0..SIZE).for_each(|at| world.start(at));
        for op in ops {
            match op {
                Op::Kill(at) => world.kill(at),
                Op::Start(at) => world.start(at),
                Op::Hang(at, ms) => world.hang(at, f64::from(ms)),
                Op::Cut(from, to) => drop(world.cut.insert((from, to))),
                Op::Sides(sides) => world.side = sides.to_vec(),
                Op::Heal => {
                    world.side.fill(0);
                    world.cut.clear();
                }
                Op::Loss(part) => world.faults = Faults { loss: f64::from(part) / 100.0, ..CALM },
                Op::Leave(at) => world.with(at, |fleet, now| fleet.leave(now)),
                Op::Stay(at) => world.with(at, |fleet, now| fleet.cancel_leave(now)),
                Op::Epoch(at, epoch) => world.with(at, |fleet, now| fleet.set_epoch(now, epoch)),
                Op::Run(ms) => world.run(f64::from(ms)),
            }
            world.run(20.0);
        }
        world.side.fill(0);
        world.cut.clear();
        world.faults = CALM;
        (0..SIZE).for_each(|at| world.with(at, |fleet, now| fleet.cancel_leave(now)));
        // A hang may still be under way.
        world.run(12_000.0);
        prop_assert!(world.settle(12_000.0).is_some(), "not settled\n{}", world.tell());
    }
}
