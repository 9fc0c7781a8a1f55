//! Model check of the share rule over all interleavings of a small fleet: three gateways whose clocks differ by less
//! than a period, votes and grants that arrive late, repeatedly, at some gateways or at none, gateways that hang and
//! restart, and leaders that consider any others alive. The code under test is [`Shares`] itself.
//!
//! To keep the state space small, two kinds of loss that cannot affect the rule are left out. A leader receives all its
//! votes when it grants: with fewer it would not grant, which is covered because granting is optional. The third
//! gateway, which never leads, receives every grant as soon as its clock allows it: with fewer it would use less.

use nickeljunction_fleet::{Ballot, Grant, MemberSet, Shares};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SIZE: usize = 3;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelState {
    clocks: [u32; SIZE],
    hung: [bool; SIZE],
    shares: [Shares; SIZE],
    /// Votes: voter, period, leader.
    votes: BTreeSet<(u16, u32, u16)>,
    /// Grants issued. Each may reach any gateway at any time, or never.
    grants: BTreeSet<Grant>,
    /// Which gateway received the grant of which period.
    received: BTreeSet<(usize, u32)>,
    restarts: u8,
    hangs: u8,
}

#[derive(Debug, Clone, PartialEq)]
enum ModelAction {
    Advance(usize),
    Hang(usize),
    Wake(usize),
    Restart(usize),
    Vote(usize, u16),
    Issue(usize, Vec<u16>),
    ReceiveGrant(usize, Grant),
}

struct ShareModel {
    /// Member sets of the first grant to start from, as bit masks.
    first_members: &'static [u16],
    periods: u32,
    restarts: u8,
    hangs: u8,
    /// Checks a weaker rule, which uses this period's grant without regard to the previous one.
    ignores_previous_grant: bool,
}

impl ShareModel {
    fn pool_share(&self, state: &ModelState, gateway: usize) -> f64 {
        if state.hung[gateway] {
            return 0.0;
        }
        let period = state.clocks[gateway];
        if self.ignores_previous_grant {
            let received = state.received.contains(&(gateway, period));
            let grant = state.grants.iter().find(|grant| grant.period == period && received);
            let grant = grant.filter(|grant| grant.members.contains(gateway as u16));
            return grant.map_or(0.0, |grant| 1.0 / f64::from(grant.divisor));
        }
        state.shares[gateway].pool_divisor(period).map_or(0.0, |divisor| 1.0 / f64::from(divisor))
    }
}

impl Model for ShareModel {
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        // All gateways are in the second period after their start, since they cannot vote before. The grant of that
        // period has the smallest divisor that the rule allows, and one of the possible leaders may have missed it.
        let (clocks, hung) = ([1; SIZE], [false; SIZE]);
        let mut states = Vec::new();
        for mask in self.first_members.iter().copied() {
            let members = MemberSet::from_numbers((0..3).filter(|number| mask & (1 << number) != 0));
            let divisor = members.count() as u16;
            for missed_mask in [0, 1] {
                let grant = Grant { period: 1, leader: 2, divisor, members: members.clone() };
                let mut shares = [0, 1, 2].map(|me| Shares::new(me, SIZE, 2, 0));
                let mut received = BTreeSet::new();
                for (gateway, own_shares) in
                    shares.iter_mut().enumerate().filter(|(gateway, _)| missed_mask & (1 << gateway) == 0)
                {
                    assert!(own_shares.accept_grant(1, &grant));
                    received.insert((gateway, 1));
                }
                let (votes, grants) = (BTreeSet::new(), BTreeSet::from([grant]));
                states.push(ModelState {
                    clocks,
                    hung,
                    shares,
                    votes,
                    grants,
                    received,
                    restarts: 0,
                    hangs: 0,
                });
            }
        }
        states
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<ModelAction>) {
        let is_running = |gateway: &usize| !state.hung[*gateway];
        let slowest_clock =
            (0..SIZE).filter(is_running).map(|gateway| state.clocks[gateway]).min().unwrap_or(0);
        for gateway in 0..SIZE {
            let clock = state.clocks[gateway];
            if state.hung[gateway] {
                actions.push(ModelAction::Wake(gateway));
                continue;
            }
            if clock < self.periods && clock == slowest_clock {
                actions.push(ModelAction::Advance(gateway));
            }
            if state.hangs < self.hangs {
                actions.push(ModelAction::Hang(gateway));
            }
            if state.restarts < self.restarts {
                actions.push(ModelAction::Restart(gateway));
            }
            // Two candidates are enough for conflicting votes. Grants after the last period would not be used.
            if clock < self.periods {
                actions.extend([0, 1].map(|leader| ModelAction::Vote(gateway, leader)));
            }
            if gateway < 2 && clock < self.periods {
                for others in [vec![], vec![1 - gateway as u16], vec![1 - gateway as u16, 2]] {
                    actions.push(ModelAction::Issue(gateway, others));
                }
            }
            for grant in &state.grants {
                if gateway < 2
                    && grant.period > 1
                    && !state.received.contains(&(gateway, grant.period))
                    && grant.leader != gateway as u16
                {
                    actions.push(ModelAction::ReceiveGrant(gateway, grant.clone()));
                }
            }
        }
    }

    fn next_state(&self, last: &ModelState, action: ModelAction) -> Option<ModelState> {
        let mut state = last.clone();
        match action {
            ModelAction::Advance(gateway) => {
                state.clocks[gateway] += 1;
                state.shares[gateway].discard_before(state.clocks[gateway]);
            }
            ModelAction::Hang(gateway) => {
                state.hung[gateway] = true;
                state.hangs += 1;
            }
            ModelAction::Wake(gateway) => {
                // Its clock continued during the hang.
                state.clocks[gateway] = state.clocks.iter().copied().max().unwrap_or(0);
                state.hung[gateway] = false;
                state.shares[gateway].discard_before(state.clocks[gateway]);
            }
            ModelAction::Restart(gateway) => {
                state.shares[gateway] = Shares::new(gateway as u16, SIZE, 2, state.clocks[gateway]);
                state.received.retain(|(receiver, _)| *receiver != gateway);
                state.restarts += 1;
            }
            ModelAction::Vote(gateway, leader) => {
                let clock = state.clocks[gateway];
                let previous = state.shares[gateway].clone();
                state.shares[gateway].vote(clock, leader);
                if state.shares[gateway] == previous {
                    return None;
                }
                state.votes.insert((gateway as u16, clock + 1, leader));
            }
            ModelAction::Issue(gateway, others) => {
                let clock = state.clocks[gateway];
                let members = MemberSet::from_numbers(others.into_iter().chain([gateway as u16]));
                for (voter, period, leader) in &last.votes {
                    if usize::from(*leader) == gateway && *period == clock + 1 {
                        let ballot = Ballot {
                            period: *period,
                            leader: *leader,
                            voters: MemberSet::from_numbers([*voter]),
                        };
                        state.shares[gateway].merge_ballot(clock, &ballot);
                    }
                }
                if !state.shares[gateway].issue_grant(clock, || members.clone()) {
                    return None;
                }
                let divisors = 1..=SIZE as u16;
                // `Shares` does not return the grant, so look for it among all that the gateway could have issued.
                let possible_grants = divisors.map(|divisor| Grant {
                    period: clock + 1,
                    leader: gateway as u16,
                    divisor,
                    members: members.clone(),
                });
                let issued =
                    possible_grants.into_iter().find(|grant| state.shares[gateway].holds_grant(grant));
                state.grants.insert(issued.expect("the issued grant is stored"));
                state.received.insert((gateway, clock + 1));
            }
            ModelAction::ReceiveGrant(gateway, grant) => {
                if !state.shares[gateway].accept_grant(state.clocks[gateway], &grant) {
                    return None;
                }
                state.received.insert((gateway, grant.period));
            }
        }
        for grant in &state.grants {
            let third = SIZE - 1;
            if !state.hung[third] && state.shares[third].accept_grant(state.clocks[third], grant) {
                state.received.insert((third, grant.period));
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "the shares of the pool add up to at most the pool",
                |model: &ShareModel, state: &ModelState| {
                    (0..SIZE).map(|gateway| model.pool_share(state, gateway)).sum::<f64>() < 1.0 + 1e-9
                },
            ),
            Property::always("a period has at most one grant", |_: &ShareModel, state: &ModelState| {
                let periods: BTreeSet<u32> = state.grants.iter().map(|grant| grant.period).collect();
                periods.len() == state.grants.len()
            }),
            Property::sometimes("all gateways use a share", |model: &ShareModel, state: &ModelState| {
                (0..SIZE).all(|gateway| model.pool_share(state, gateway) > 0.0)
            }),
            Property::sometimes("a share grows", |model: &ShareModel, state: &ModelState| {
                (0..SIZE).any(|gateway| model.pool_share(state, gateway) > 0.4)
            }),
        ]
    }
}

fn check(model: ShareModel) -> impl Checker<ShareModel> {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker
}

#[test]
fn pool_shares_hold_over_all_interleavings() {
    check(ShareModel {
        first_members: &[1, 2, 3, 7],
        periods: 3,
        restarts: 0,
        hangs: 0,
        ignores_previous_grant: false,
    })
    .assert_properties();
}

#[test]
fn pool_shares_hold_over_all_interleavings_with_a_hang() {
    check(ShareModel {
        first_members: &[1],
        periods: 3,
        restarts: 0,
        hangs: 1,
        ignores_previous_grant: false,
    })
    .assert_properties();
}

#[test]
fn pool_shares_hold_over_all_interleavings_with_a_restart() {
    check(ShareModel {
        first_members: &[1],
        periods: 3,
        restarts: 1,
        hangs: 0,
        ignores_previous_grant: false,
    })
    .assert_properties();
}

#[test]
fn checker_finds_the_fault_of_a_rule_without_the_previous_grant() {
    let checker = check(ShareModel {
        first_members: &[1],
        periods: 3,
        restarts: 0,
        hangs: 0,
        ignores_previous_grant: true,
    });
    assert!(checker.discovery("the shares of the pool add up to at most the pool").is_some());
}
