//! What part of a whole this gateway may use now. The rule: over all gateways, parts never add up to more than the
//! whole, in any view, settled or not, as long as all go by one roster.
//!
//! Half of the whole is split evenly over the roster, for good. The other half, the pool, is granted anew for each
//! period of the common clock, split over those that live, by a leader that most of the roster voted for:
//!
//! - a gateway votes once a period at most, for the next one, and not before its second period after a start: what
//!   it voted in an earlier life is over then. So a period has one leader at most, and one grant at most.
//! - a grant names its members and a divisor no smaller than the number of members of it and of the grant before
//!   taken together; one whose leader does not hold the grant before has the whole roster as its divisor.
//! - a gateway uses its part of the pool only by its own clock's period, only if this period's grant and the one
//!   before both name it. A gateway that was stopped finds its grants over as soon as it looks at the clock.
//!
//! While clocks are less than a period apart, those that use the pool at one moment all stand in one grant, and every
//! divisor in use is at least its size. `tests/share_model.rs` checks the rule over all interleavings of a small
//! world. Vote and grant are facts that gossip carries; nobody answers anybody.

use crate::member_set::MemberSet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Length of a period, ms. Longer than votes and a grant take to be told, with datagrams lost.
pub const PERIOD_MS: f64 = 5_000.0;
/// Most gateways with a pool: a set of more does not fit a datagram.
const MOST: usize = 1_200;

/// Votes for a leader of a period.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// The period.
    pub period: u32,
    /// Number of the gateway that is voted for.
    pub leader: u16,
    /// Who voted for it, as far as is known.
    pub voters: MemberSet,
}

/// The pool of a period.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Grant {
    /// The period.
    pub period: u32,
    /// Who granted it.
    pub leader: u16,
    /// Into how many parts the pool is split.
    pub divisor: u16,
    /// Who may use one.
    pub members: MemberSet,
}

/// Votes and grants as one gateway holds them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Shares {
    me: u16,
    size: usize,
    most: u16,
    since: u32,
    voted: Option<Ballot>,
    ballots: BTreeMap<(u32, u16), MemberSet>,
    grants: BTreeMap<u32, Grant>,
}

impl Shares {
    /// For the gateway `me` of a roster of `size` numbers, the largest `most`, started in this period.
    pub fn new(me: u16, size: usize, most: u16, period: u32) -> Shares {
        let (voted, ballots, grants) = (None, BTreeMap::new(), BTreeMap::new());
        Shares { me, size: size.max(1), most, since: period, voted, ballots, grants }
    }

    /// Too many gateways for a pool: the whole is split over the roster.
    pub fn has_no_pool(&self) -> bool {
        self.size > MOST
    }

    /// Votes for the leader of the next period, at most once for each, however often it is asked. A gateway that
    /// just started does not.
    pub fn vote(&mut self, period: u32, leader: u16) {
        let next = period + 1;
        if self.has_no_pool()
            || next < self.since + 2
            || self.voted.as_ref().is_some_and(|vote| vote.period >= next)
        {
            return;
        }
        self.voted = Some(Ballot { period: next, leader, voters: MemberSet::default() });
        self.ballots.entry((next, leader)).or_default().insert(self.me);
    }

    /// Takes votes that another told in this period; whether any was new.
    pub fn merge_ballot(&mut self, period: u32, ballot: &Ballot) -> bool {
        // Two leaders of a period are many; hearsay of more must not fill memory.
        let known = self.ballots.contains_key(&(ballot.period, ballot.leader));
        let room = self.ballots.len() < 8 || known;
        if self.has_no_pool() || ballot.leader > self.most || ballot.period != period + 1 || !room {
            return false;
        }
        let mut votes = ballot.voters.clone();
        votes.limit_to(self.most);
        self.ballots.entry((ballot.period, ballot.leader)).or_default().merge(&votes)
    }

    /// Grants the next period's pool to those that live, if this gateway leads it and has not; whether it did.
    pub fn issue_grant(&mut self, period: u32, living: impl FnOnce() -> MemberSet) -> bool {
        let next = period + 1;
        let led = self.ballots.get(&(next, self.me)).is_some_and(|votes| votes.count() * 2 > self.size);
        // An earlier life may have granted a period up to the one after it ended.
        if !led || self.grants.contains_key(&next) || next < self.since + 2 {
            return false;
        }
        let mut members = living();
        members.insert(self.me);
        let divisor = match self.grants.get(&period) {
            None => self.size,
            Some(before) => {
                let mut both = before.members.clone();
                both.merge(&members);
                both.count()
            }
        };
        let grant = Grant { period: next, leader: self.me, divisor: divisor as u16, members };
        self.grants.insert(next, grant);
        true
    }

    /// Takes a grant that another told; whether it was new.
    pub fn accept_grant(&mut self, period: u32, grant: &Grant) -> bool {
        let near = grant.period <= period + 1 && grant.period + 1 >= period;
        // Fewer parts than members: no gateway of ours grants that, and believed it would pass the whole.
        let even = usize::from(grant.divisor) >= grant.members.count().max(1);
        let fine = even && grant.leader <= self.most && !self.has_no_pool();
        if !near || !fine || self.grants.contains_key(&grant.period) {
            return false;
        }
        self.grants.insert(grant.period, grant.clone());
        true
    }

    /// Whether it holds just this grant.
    pub fn holds_grant(&self, grant: &Grant) -> bool {
        self.grants.get(&grant.period) == Some(grant)
    }

    /// Frees what earlier periods left.
    pub fn discard_before(&mut self, period: u32) {
        self.ballots.retain(|(of, _), _| *of > period);
        self.grants.retain(|of, _| *of + 1 >= period);
    }

    /// Into how many parts the pool is split of which this gateway may use one now; `None`: it may not.
    pub fn pool_divisor(&self, period: u32) -> Option<u16> {
        let mine = |of: u32| self.grants.get(&of).filter(|grant| grant.members.contains(self.me));
        mine(period.checked_sub(1)?)?;
        mine(period).map(|grant| grant.divisor)
    }

    /// The part of the whole that this gateway may use now, above 0 to 1.
    pub fn share(&self, period: u32) -> f64 {
        let even = 1.0 / self.size as f64;
        if self.has_no_pool() {
            return even;
        }
        0.5 * even + self.pool_divisor(period).map_or(0.0, |divisor| 0.5 / f64::from(divisor))
    }

    /// What to tell of the next period: the votes that this gateway stands by, while nothing is granted.
    pub(crate) fn ballot(&self, period: u32) -> Option<Ballot> {
        let vote = self.voted.as_ref().filter(|vote| vote.period == period + 1)?;
        if self.grants.contains_key(&vote.period) {
            return None;
        }
        let votes = self.ballots.get(&(vote.period, vote.leader))?.clone();
        Some(Ballot { voters: votes, ..vote.clone() })
    }

    /// The latest grant.
    pub(crate) fn grant(&self) -> Option<&Grant> {
        self.grants.values().next_back()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_grant_of_fewer_parts_than_members_is_not_believed() {
        let grant =
            |divisor| Grant { period: 9, leader: 1, divisor, members: MemberSet::from_numbers([0, 1, 2]) };
        let mut shares = Shares::new(0, 4, 3, 0);
        assert!(!shares.accept_grant(9, &grant(2)) && !shares.accept_grant(9, &grant(0)));
        assert!(shares.accept_grant(9, &grant(3)));
    }
}
