//! All interleavings of a small world of the share rule: three gateways whose clocks are less than a period apart,
//! votes and grants that come late, doubled, to some or to nobody, gateways that hang and start again, and leaders
//! that hold any others to be alive. What is checked is [`Shares`] itself.
//!
//! What can't make a difference to the rule is left out, or the world would not be small: a leader hears all its votes
//! when it grants (with fewer it does not grant, which is also among the acts), and the third gateway, which never
//! leads, hears every grant as soon as its clock lets it (with fewer it uses less).

use nickeljunction_fleet::{Ballot, Grant, MemberSet, Shares};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SIZE: usize = 3;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    clocks: [u32; SIZE],
    hung: [bool; SIZE],
    shares: [Shares; SIZE],
    /// Votes cast: voter, period, leader.
    votes: BTreeSet<(u16, u32, u16)>,
    /// Grants made. Each may reach anybody at any time, or never.
    grants: BTreeSet<Grant>,
    /// Which of them came to whom.
    came: BTreeSet<(usize, u32)>,
    restarts: u8,
    hangs: u8,
}

#[derive(Debug, Clone, PartialEq)]
enum Act {
    Advance(usize),
    Hang(usize),
    Wake(usize),
    Restart(usize),
    Vote(usize, u16),
    Issue(usize, Vec<u16>),
    HearGrant(usize, Grant),
}

struct Rule {
    /// Members of the first grant, a bit each.
    first: &'static [u16],
    periods: u32,
    restarts: u8,
    hangs: u8,
    /// What a weaker rule would use: this period's grant alone, whatever stood in the one before.
    careless: bool,
}

impl Rule {
    fn pool(&self, world: &World, at: usize) -> f64 {
        if world.hung[at] {
            return 0.0;
        }
        let period = world.clocks[at];
        if self.careless {
            let came = world.came.contains(&(at, period));
            let grant = world.grants.iter().find(|grant| grant.period == period && came);
            let grant = grant.filter(|grant| grant.members.contains(at as u16));
            return grant.map_or(0.0, |grant| 1.0 / f64::from(grant.divisor));
        }
        world.shares[at].pool_divisor(period).map_or(0.0, |divisor| 1.0 / f64::from(divisor))
    }
}

impl Model for Rule {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        // All stand at the second period after their start: before it nothing can be voted. The grant of that period
        // was one with the smallest divisor that the rule allows, and one of the leaders may have missed it.
        let (clocks, hung) = ([1; SIZE], [false; SIZE]);
        let mut worlds = Vec::new();
        for set in self.first.iter().copied() {
            let members = MemberSet::from_numbers((0..3).filter(|number| set & (1 << number) != 0));
            let least = members.count() as u16;
            let divisor = least;
            for missed in [0, 1] {
                let grant = Grant { period: 1, leader: 2, divisor, members: members.clone() };
                let mut shares = [0, 1, 2].map(|me| Shares::new(me, SIZE, 2, 0));
                let mut came = BTreeSet::new();
                for (at, own) in shares.iter_mut().enumerate().filter(|(at, _)| missed & (1 << at) == 0) {
                    assert!(own.accept_grant(1, &grant));
                    came.insert((at, 1));
                }
                let (votes, grants) = (BTreeSet::new(), BTreeSet::from([grant]));
                worlds.push(World { clocks, hung, shares, votes, grants, came, restarts: 0, hangs: 0 });
            }
        }
        worlds
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        let awake = |at: &usize| !world.hung[*at];
        let slowest = (0..SIZE).filter(awake).map(|at| world.clocks[at]).min().unwrap_or(0);
        for at in 0..SIZE {
            let clock = world.clocks[at];
            if world.hung[at] {
                acts.push(Act::Wake(at));
                continue;
            }
            if clock < self.periods && clock == slowest {
                acts.push(Act::Advance(at));
            }
            if world.hangs < self.hangs {
                acts.push(Act::Hang(at));
            }
            if world.restarts < self.restarts {
                acts.push(Act::Restart(at));
            }
            // Two leaders are enough to disagree on one; what holds after the last period is used by nobody.
            if clock < self.periods {
                acts.extend([0, 1].map(|leader| Act::Vote(at, leader)));
            }
            if at < 2 && clock < self.periods {
                for others in [vec![], vec![1 - at as u16], vec![1 - at as u16, 2]] {
                    acts.push(Act::Issue(at, others));
                }
            }
            for grant in &world.grants {
                if at < 2
                    && grant.period > 1
                    && !world.came.contains(&(at, grant.period))
                    && grant.leader != at as u16
                {
                    acts.push(Act::HearGrant(at, grant.clone()));
                }
            }
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = last.clone();
        match act {
            Act::Advance(at) => {
                world.clocks[at] += 1;
                world.shares[at].discard_before(world.clocks[at]);
            }
            Act::Hang(at) => {
                world.hung[at] = true;
                world.hangs += 1;
            }
            Act::Wake(at) => {
                // It looks at the clock, which went on without it.
                world.clocks[at] = world.clocks.iter().copied().max().unwrap_or(0);
                world.hung[at] = false;
                world.shares[at].discard_before(world.clocks[at]);
            }
            Act::Restart(at) => {
                world.shares[at] = Shares::new(at as u16, SIZE, 2, world.clocks[at]);
                world.came.retain(|(who, _)| *who != at);
                world.restarts += 1;
            }
            Act::Vote(at, leader) => {
                let clock = world.clocks[at];
                let before = world.shares[at].clone();
                world.shares[at].vote(clock, leader);
                if world.shares[at] == before {
                    return None;
                }
                world.votes.insert((at as u16, clock + 1, leader));
            }
            Act::Issue(at, others) => {
                let clock = world.clocks[at];
                let living = MemberSet::from_numbers(others.into_iter().chain([at as u16]));
                for (voter, period, leader) in &last.votes {
                    if usize::from(*leader) == at && *period == clock + 1 {
                        let ballot = Ballot {
                            period: *period,
                            leader: *leader,
                            voters: MemberSet::from_numbers([*voter]),
                        };
                        world.shares[at].merge_ballot(clock, &ballot);
                    }
                }
                if !world.shares[at].issue_grant(clock, || living.clone()) {
                    return None;
                }
                let divisors = 1..=SIZE as u16;
                let members = living;
                // What it granted is what it now holds: found by offering it every grant that it could be.
                let issued = divisors.map(|divisor| Grant {
                    period: clock + 1,
                    leader: at as u16,
                    divisor,
                    members: members.clone(),
                });
                let held = issued.into_iter().find(|grant| world.shares[at].holds_grant(grant));
                world.grants.insert(held.expect("it holds what it issued"));
                world.came.insert((at, clock + 1));
            }
            Act::HearGrant(at, grant) => {
                if !world.shares[at].accept_grant(world.clocks[at], &grant) {
                    return None;
                }
                world.came.insert((at, grant.period));
            }
        }
        for grant in &world.grants {
            let third = SIZE - 1;
            if !world.hung[third] && world.shares[third].accept_grant(world.clocks[third], grant) {
                world.came.insert((third, grant.period));
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "the pool's parts add up to no more than the pool",
                |rule: &Rule, world: &World| {
                    (0..SIZE).map(|at| rule.pool(world, at)).sum::<f64>() < 1.0 + 1e-9
                },
            ),
            Property::always("a period has one grant at most", |_: &Rule, world: &World| {
                let periods: BTreeSet<u32> = world.grants.iter().map(|grant| grant.period).collect();
                periods.len() == world.grants.len()
            }),
            Property::sometimes("all use a part", |rule: &Rule, world: &World| {
                (0..SIZE).all(|at| rule.pool(world, at) > 0.0)
            }),
            Property::sometimes("a part grows", |rule: &Rule, world: &World| {
                (0..SIZE).any(|at| rule.pool(world, at) > 0.4)
            }),
        ]
    }
}

fn check(rule: Rule) -> impl Checker<Rule> {
    let checker = rule.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker
}

#[test]
fn the_rule_of_parts_holds_over_all_interleavings() {
    check(Rule { first: &[1, 2, 3, 7], periods: 3, restarts: 0, hangs: 0, careless: false })
        .assert_properties();
}

#[test]
fn the_rule_of_parts_holds_over_all_interleavings_with_a_hang() {
    check(Rule { first: &[1], periods: 3, restarts: 0, hangs: 1, careless: false }).assert_properties();
}

#[test]
fn the_rule_of_parts_holds_over_all_interleavings_with_a_restart() {
    check(Rule { first: &[1], periods: 3, restarts: 1, hangs: 0, careless: false }).assert_properties();
}

#[test]
fn the_check_finds_the_fault_of_a_rule_that_looks_at_one_grant_alone() {
    let checker = check(Rule { first: &[1], periods: 3, restarts: 0, hangs: 0, careless: true });
    assert!(checker.discovery("the pool's parts add up to no more than the pool").is_some());
}
