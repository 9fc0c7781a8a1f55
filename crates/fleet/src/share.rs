//! The share of a common quantity that this gateway may use now. The invariant: the shares of all gateways never add
//! up to more than the whole, in any view, converged or not, provided that all gateways have the same roster.
//!
//! Half of the whole is divided evenly and permanently over the roster. The other half, the pool, is granted for each
//! period of the common clock: a leader with the votes of a majority of the roster divides it over the live gateways.
//!
//! - A gateway votes at most once per period, for the leader of the next period, and not before its second period after
//!   a start, when any vote of an earlier process has expired. So a period has at most one leader and one grant.
//! - A grant names its members and a divisor. The divisor is at least the size of the union of its members and those of
//!   the previous grant; if the leader does not hold the previous grant, the divisor is the size of the roster.
//! - A gateway uses its part of the pool only in a period, by its own clock, for which this period's grant and the
//!   previous one both name it. After a pause of the process the first look at the clock shows that its grants expired.
//!
//! While clocks differ by less than a period, all gateways that use the pool at one moment are members of one grant, and
//! every divisor in use is at least its size. `tests/share_model.rs` checks the invariant over all interleavings of a
//! small model. Votes and grants spread by gossip, without requests and answers.

use crate::member_set::MemberSet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Length of a period, ms: longer than votes and a grant take to spread, even when datagrams are lost.
pub const PERIOD_MS: f64 = 5_000.0;
/// Largest roster with a pool: a larger member set does not fit into a datagram.
const MAX_ROSTER_WITH_POOL: usize = 1_200;
/// Most candidates, over all periods, whose voters are kept.
const MAX_CANDIDATES: usize = 8;

/// Votes for a leader in a period.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// The period of the candidate's leadership.
    pub period: u32,
    /// Number of the candidate.
    pub leader: u16,
    /// The known voters.
    pub voters: MemberSet,
}

/// The division of the pool in a period.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Grant {
    /// The period in which the grant is valid.
    pub period: u32,
    /// Number of the gateway that issued the grant.
    pub leader: u16,
    /// Number of parts into which the pool is divided.
    pub divisor: u16,
    /// The gateways that may use one part each.
    pub members: MemberSet,
}

/// The votes and grants that one gateway knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Shares {
    own_number: u16,
    roster_size: usize,
    max_number: u16,
    start_period: u32,
    /// This gateway's latest vote, without voters.
    own_vote: Option<Ballot>,
    /// Voters by period and candidate.
    voters: BTreeMap<(u32, u16), MemberSet>,
    /// Grants by period.
    grants: BTreeMap<u32, Grant>,
}

impl Shares {
    /// For a gateway that starts in `start_period`, with a roster of `roster_size` numbers up to `max_number`.
    pub fn new(own_number: u16, roster_size: usize, max_number: u16, start_period: u32) -> Shares {
        let (own_vote, voters, grants) = (None, BTreeMap::new(), BTreeMap::new());
        let roster_size = roster_size.max(1);
        Shares { own_number, roster_size, max_number, start_period, own_vote, voters, grants }
    }

    /// Whether the roster is too large for a pool: then the whole is divided evenly over the roster.
    pub fn has_no_pool(&self) -> bool {
        self.roster_size > MAX_ROSTER_WITH_POOL
    }

    /// Votes for a leader of the next period. Has no effect if this gateway has already voted for that period, or has
    /// only just started.
    pub fn vote(&mut self, period: u32, leader: u16) {
        let next = period + 1;
        if self.has_no_pool()
            || next < self.start_period + 2
            || self.own_vote.as_ref().is_some_and(|vote| vote.period >= next)
        {
            return;
        }
        self.own_vote = Some(Ballot { period: next, leader, voters: MemberSet::default() });
        self.voters.entry((next, leader)).or_default().insert(self.own_number);
    }

    /// Merges votes that another gateway sent. Returns whether any of them was new.
    pub fn merge_ballot(&mut self, period: u32, ballot: &Ballot) -> bool {
        // More than two candidates in a period are rare; the limit protects memory from invalid reports.
        let known = self.voters.contains_key(&(ballot.period, ballot.leader));
        let accepted = self.voters.len() < MAX_CANDIDATES || known;
        if self.has_no_pool() || ballot.leader > self.max_number || ballot.period != period + 1 || !accepted {
            return false;
        }
        let mut voters = ballot.voters.clone();
        voters.limit_to(self.max_number);
        self.voters.entry((ballot.period, ballot.leader)).or_default().merge(&voters)
    }

    /// Issues the grant of the next period to the live gateways, if this gateway is the leader and has not done so.
    /// Returns whether it did.
    pub fn issue_grant(&mut self, period: u32, alive_members: impl FnOnce() -> MemberSet) -> bool {
        let next = period + 1;
        let is_leader = (self.voters.get(&(next, self.own_number)))
            .is_some_and(|voters| voters.count() * 2 > self.roster_size);
        // An earlier process with this number may have issued grants up to the period after the one in which it ended.
        if !is_leader || self.grants.contains_key(&next) || next < self.start_period + 2 {
            return false;
        }
        let mut members = alive_members();
        members.insert(self.own_number);
        let divisor = match self.grants.get(&period) {
            None => self.roster_size,
            Some(previous) => {
                let mut union = previous.members.clone();
                union.merge(&members);
                union.count()
            }
        };
        let grant = Grant { period: next, leader: self.own_number, divisor: divisor as u16, members };
        self.grants.insert(next, grant);
        true
    }

    /// Stores a grant that another gateway sent. Returns whether it was valid and new.
    pub fn accept_grant(&mut self, period: u32, grant: &Grant) -> bool {
        let is_current = grant.period <= period + 1 && grant.period + 1 >= period;
        // A grant with fewer parts than members would exceed the whole. No gateway issues one.
        let divides_pool = usize::from(grant.divisor) >= grant.members.count().max(1);
        let is_valid = divides_pool && grant.leader <= self.max_number && !self.has_no_pool();
        if !is_current || !is_valid || self.grants.contains_key(&grant.period) {
            return false;
        }
        self.grants.insert(grant.period, grant.clone());
        true
    }

    /// Whether this grant is stored, unchanged.
    pub fn holds_grant(&self, grant: &Grant) -> bool {
        self.grants.get(&grant.period) == Some(grant)
    }

    /// Discards the votes up to this period, and the grants before the previous one.
    pub fn discard_before(&mut self, period: u32) {
        self.voters.retain(|(voted_period, _), _| *voted_period > period);
        self.grants.retain(|granted_period, _| *granted_period + 1 >= period);
    }

    /// The number of parts into which the pool is divided if this gateway may use one of them, else `None`.
    pub fn pool_divisor(&self, period: u32) -> Option<u16> {
        let own_grant =
            |period: u32| self.grants.get(&period).filter(|grant| grant.members.contains(self.own_number));
        own_grant(period.checked_sub(1)?)?;
        own_grant(period).map(|grant| grant.divisor)
    }

    /// The share of the whole that this gateway may use in this period, above 0 and at most 1.
    pub fn share(&self, period: u32) -> f64 {
        let even_share = 1.0 / self.roster_size as f64;
        if self.has_no_pool() {
            return even_share;
        }
        0.5 * even_share + self.pool_divisor(period).map_or(0.0, |divisor| 0.5 / f64::from(divisor))
    }

    /// The votes for the candidate of this gateway's own vote for the next period; `None` once a grant exists.
    pub(crate) fn ballot(&self, period: u32) -> Option<Ballot> {
        let vote = self.own_vote.as_ref().filter(|vote| vote.period == period + 1)?;
        if self.grants.contains_key(&vote.period) {
            return None;
        }
        let voters = self.voters.get(&(vote.period, vote.leader))?.clone();
        Some(Ballot { voters, ..vote.clone() })
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
    fn a_grant_with_fewer_parts_than_members_is_rejected() {
        let grant =
            |divisor| Grant { period: 9, leader: 1, divisor, members: MemberSet::from_numbers([0, 1, 2]) };
        let mut shares = Shares::new(0, 4, 3, 0);
        assert!(!shares.accept_grant(9, &grant(2)) && !shares.accept_grant(9, &grant(0)));
        assert!(shares.accept_grant(9, &grant(3)));
    }
}
