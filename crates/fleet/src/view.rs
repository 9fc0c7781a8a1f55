//! The view of the members: plain state. The roster, the set of possible members, comes from the configuration and
//! never grows through messages; the states of the members come from messages.

use crate::wire::Claim;
use std::net::SocketAddr;

/// A possible member, as configured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterEntry {
    /// The gateway's number in the fleet, from 0.
    pub number: u16,
    /// The configured name, for status and logs.
    pub name: String,
    /// Address of its datagrams in both directions; `None` if the embedding program addresses it by its number.
    pub address: Option<SocketAddr>,
    /// Its zone; empty if not configured.
    pub zone: String,
}

/// The state of a member in this gateway's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// In the roster, but nothing was received from it or about it.
    Unknown,
    /// It announced itself in this incarnation, and no probe has failed since.
    Alive,
    /// Some gateways did not reach it; it can refute this before the suspicion times out.
    Suspect,
    /// It announced that it leaves, and may have left.
    Leaving,
    /// Its suspicion timed out without an announcement that it leaves.
    Gone,
}

impl MemberState {
    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Unknown => "unproven",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Gone => "gone",
        }
    }
}

/// A member in this gateway's view.
#[derive(Debug, Clone)]
pub struct Member {
    /// The state in this gateway's view.
    pub state: MemberState,
    /// Rises with each start, refuted claim, cancelled leave and change of the configuration epoch; 0 if the member is
    /// unknown.
    pub incarnation: u64,
    /// Epoch of its configuration, as it announced it.
    pub epoch: u32,
    /// When it entered this state or incarnation, Unix ms.
    pub since_ms: f64,
    /// When the last datagram arrived from it, Unix ms; negative infinity if none did.
    pub last_received_ms: f64,
    /// The gateway that suspected it last.
    pub(crate) suspected_by: u16,
    /// Datagrams that may still be accepted from it, and when this was computed.
    pub(crate) receive_budget: f32,
    pub(crate) receive_budget_at_ms: f64,
}

impl Member {
    fn new(now_ms: f64) -> Member {
        Member {
            state: MemberState::Unknown,
            incarnation: 0,
            epoch: 0,
            since_ms: now_ms,
            last_received_ms: f64::NEG_INFINITY,
            suspected_by: 0,
            receive_budget: 0.0,
            receive_budget_at_ms: f64::NEG_INFINITY,
        }
    }

    /// The claim to report to others; `None` if the member is unknown.
    pub(crate) fn claim(&self) -> Option<Claim> {
        match self.state {
            MemberState::Unknown => None,
            MemberState::Alive => Some(Claim::Alive),
            MemberState::Suspect => Some(Claim::Suspect(self.suspected_by)),
            MemberState::Leaving => Some(Claim::Leaving),
            MemberState::Gone => Some(Claim::Gone),
        }
    }

    /// Its contribution to the digest: a hash of the fields on which all gateways must agree. 0 for an unknown member.
    fn fingerprint(&self, number: u16) -> u64 {
        if self.state == MemberState::Unknown {
            return 0;
        }
        // The finalizer of SplitMix64 (Steele, Lea, Flood 2014), applied to the fields in turn.
        let mix = |seed: u64, value: u64| {
            let mut mixed = (seed ^ value).wrapping_add(0x9e37_79b9_7f4a_7c15);
            mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            mixed ^ (mixed >> 31)
        };
        let fields = [u64::from(number), self.incarnation, u64::from(self.epoch), self.state as u64];
        fields.into_iter().fold(0x6e6a, mix)
    }
}

/// An estimate of the number of live gateways, with bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveEstimate {
    /// Lower bound: gateways that were certainly alive a moment ago.
    pub min: usize,
    /// The most likely number: alive and suspect members.
    pub likely: usize,
    /// Upper bound: any gateway that did not announce its leave may be alive behind a network partition.
    pub max: usize,
}

/// The members, in the order of their numbers.
#[derive(Debug, Clone)]
pub struct View {
    roster: std::sync::Arc<[RosterEntry]>,
    members: Vec<Member>,
    /// Members in each state, kept because suspicions and random draws need them often, with thousands of members.
    counts: [usize; 5],
    digest: u64,
    last_change_ms: f64,
}

impl View {
    /// Creates a view of a roster that is sorted by number, with each number once.
    pub(crate) fn new(roster: std::sync::Arc<[RosterEntry]>, now_ms: f64) -> View {
        let members: Vec<Member> = roster.iter().map(|_| Member::new(now_ms)).collect();
        let mut counts = [0; 5];
        counts[MemberState::Unknown as usize] = members.len();
        View { roster, members, counts, digest: 0, last_change_ms: now_ms }
    }

    /// The index of the member with this number.
    pub fn index_of(&self, number: u16) -> Option<usize> {
        // Numbers usually run from 0 without gaps.
        let index = usize::from(number);
        if self.roster.get(index).is_some_and(|entry| entry.number == number) {
            return Some(index);
        }
        self.roster.binary_search_by_key(&number, |entry| entry.number).ok()
    }

    /// All members with their roster entries.
    pub fn members(&self) -> impl Iterator<Item = (&RosterEntry, &Member)> {
        self.roster.iter().zip(&self.members)
    }

    /// The roster entry at an index from [`View::index_of`].
    pub fn roster_entry(&self, index: usize) -> &RosterEntry {
        &self.roster[index]
    }

    /// The member at an index from [`View::index_of`].
    pub fn member(&self, index: usize) -> &Member {
        &self.members[index]
    }

    /// The size of the roster.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the roster is empty.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The number of members in a state.
    pub fn count(&self, state: MemberState) -> usize {
        self.counts[state as usize]
    }

    /// A digest that is equal at two gateways exactly if their views are equal, but for a collision with probability
    /// 2^-64. It covers the number, incarnation, epoch and state of each member that is not unknown.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Time of the last change of the digest, Unix ms.
    pub fn last_change_ms(&self) -> f64 {
        self.last_change_ms
    }

    /// Digest of the members with numbers from `first` to before `end`.
    pub(crate) fn digest_of(&self, first: u32, end: u32) -> u32 {
        let start = self.roster.partition_point(|entry| u32::from(entry.number) < first);
        let range = self.roster[start..].iter().zip(&self.members[start..]);
        let range = range.take_while(|(entry, _)| u32::from(entry.number) < end);
        range.fold(0u64, |sum, (entry, member)| sum.wrapping_add(member.fingerprint(entry.number))) as u32
    }

    /// For fields that are not part of the digest.
    pub(crate) fn member_mut(&mut self, index: usize) -> &mut Member {
        &mut self.members[index]
    }

    /// Changes a member and updates the digest. Returns the former state.
    pub(crate) fn set(
        &mut self,
        now_ms: f64,
        index: usize,
        state: MemberState,
        incarnation: u64,
        epoch: u32,
    ) -> MemberState {
        let number = self.roster[index].number;
        let member = &mut self.members[index];
        let (former_state, fingerprint_before) = (member.state, member.fingerprint(number));
        if former_state != state || member.incarnation != incarnation {
            member.since_ms = now_ms;
        }
        self.counts[former_state as usize] -= 1;
        self.counts[state as usize] += 1;
        (member.state, member.incarnation, member.epoch) = (state, incarnation, epoch);
        let fingerprint_after = member.fingerprint(number);
        if fingerprint_before != fingerprint_after {
            self.digest = self.digest.wrapping_sub(fingerprint_before).wrapping_add(fingerprint_after);
            self.last_change_ms = now_ms;
        }
        former_state
    }
}
