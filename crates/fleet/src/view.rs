//! What is known of the members: plain state. The roster (who may be a member) is told by configuration and never
//! grows by hearsay; what the members do is told by messages.

use crate::wire::Claim;
use std::net::SocketAddr;

/// A place in the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterEntry {
    /// Its number among its siblings, from 0.
    pub number: u16,
    /// Its name.
    pub name: String,
    /// Where its datagrams go to and come from; `None`: the embedding program reaches it by its number.
    pub address: Option<SocketAddr>,
    /// Its zone; empty: not told.
    pub zone: String,
}

/// What is held of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Told by the roster, never heard of.
    Unknown,
    /// It lives.
    Alive,
    /// Some did not reach it; it has a while to say that it lives.
    Suspect,
    /// It leaves, or has left, by its own word.
    Leaving,
    /// Nobody reached it, and it said nothing.
    Gone,
}

impl MemberState {
    /// Its name in figures and logs.
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

/// A member as this gateway sees it.
#[derive(Debug, Clone)]
pub struct Member {
    /// What is held of it.
    pub state: MemberState,
    /// Its life: rises with each start and with each claim that it had to take back; 0: never heard of.
    pub incarnation: u64,
    /// Epoch of its configuration, by its own word.
    pub epoch: u32,
    /// Since when it has this state, ms.
    pub since_ms: f64,
    /// When a datagram of this life last came from it, ms; negative infinity: never.
    pub last_received_ms: f64,
    /// Who suspected it first.
    pub(crate) by: u16,
    /// Datagrams that may yet be taken from it, and when that was reckoned, ms.
    pub(crate) mail: f32,
    pub(crate) mail_at: f64,
}

impl Member {
    fn new(now: f64) -> Member {
        let (state, heard, mail_at) = (MemberState::Unknown, f64::NEG_INFINITY, f64::NEG_INFINITY);
        Member {
            state,
            incarnation: 0,
            epoch: 0,
            since_ms: now,
            last_received_ms: heard,
            by: 0,
            mail: 0.0,
            mail_at,
        }
    }

    /// What to claim of it to others; `None`: nothing is known.
    pub(crate) fn claim(&self) -> Option<Claim> {
        match self.state {
            MemberState::Unknown => None,
            MemberState::Alive => Some(Claim::Alive),
            MemberState::Suspect => Some(Claim::Suspect(self.by)),
            MemberState::Leaving => Some(Claim::Leaving),
            MemberState::Gone => Some(Claim::Gone),
        }
    }

    /// Its part of the digest: what all gateways must agree on. 0 for one never heard of.
    fn print(&self, number: u16) -> u64 {
        if self.state == MemberState::Unknown {
            return 0;
        }
        // SplitMix64's finaliser (Steele, Lea, Flood 2014) over the fields in turn.
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

/// How many gateways live: an estimate with bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveEstimate {
    /// So many surely did a moment ago.
    pub min: usize,
    /// Most likely.
    pub likely: usize,
    /// No more than these: all that did not leave by their own word may be on the far side of a cut.
    pub max: usize,
}

/// The members, in the order of their numbers.
#[derive(Debug, Clone)]
pub struct View {
    places: std::sync::Arc<[RosterEntry]>,
    members: Vec<Member>,
    /// How many are in each state: asked for each suspicion and each draw, with thousands of members.
    counts: [usize; 5],
    digest: u64,
    changed: f64,
}

impl View {
    /// Places in the order of their numbers, each once.
    pub(crate) fn new(places: std::sync::Arc<[RosterEntry]>, now: f64) -> View {
        let members: Vec<Member> = places.iter().map(|_| Member::new(now)).collect();
        let mut counts = [0; 5];
        counts[MemberState::Unknown as usize] = members.len();
        View { places, members, counts, digest: 0, changed: now }
    }

    /// Index of a number.
    pub fn index_of(&self, number: u16) -> Option<usize> {
        // Numbers mostly run from 0 without a gap.
        let at = usize::from(number);
        if self.places.get(at).is_some_and(|place| place.number == number) {
            return Some(at);
        }
        self.places.binary_search_by_key(&number, |place| place.number).ok()
    }

    /// Places and members.
    pub fn members(&self) -> impl Iterator<Item = (&RosterEntry, &Member)> {
        self.places.iter().zip(&self.members)
    }

    /// The place at an index.
    pub fn roster_entry(&self, at: usize) -> &RosterEntry {
        &self.places[at]
    }

    /// The member at an index.
    pub fn member(&self, at: usize) -> &Member {
        &self.members[at]
    }

    /// How many places there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// There is no place.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Members in this state.
    pub fn count(&self, state: MemberState) -> usize {
        self.counts[state as usize]
    }

    /// Equal at two gateways exactly when their views are (but for one chance in 2^64): of each member ever heard
    /// of, number, incarnation, epoch and state.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// When it last changed, ms.
    pub fn last_change_ms(&self) -> f64 {
        self.changed
    }

    /// Digest of the members whose numbers lie in a range.
    pub(crate) fn digest_of(&self, from: u32, to: u32) -> u32 {
        let first = self.places.partition_point(|place| u32::from(place.number) < from);
        let range = self.places[first..].iter().zip(&self.members[first..]);
        let range = range.take_while(|(place, _)| u32::from(place.number) < to);
        range.fold(0u64, |sum, (place, member)| sum.wrapping_add(member.print(place.number))) as u32
    }

    /// What direct contact tells, which is no part of the digest.
    pub(crate) fn contact(&mut self, at: usize) -> &mut Member {
        &mut self.members[at]
    }

    /// Changes a member; the digest follows. Returns its former state.
    pub(crate) fn set(
        &mut self,
        now: f64,
        at: usize,
        state: MemberState,
        incarnation: u64,
        epoch: u32,
    ) -> MemberState {
        let number = self.places[at].number;
        let member = &mut self.members[at];
        let (former, before) = (member.state, member.print(number));
        if former != state || member.incarnation != incarnation {
            member.since_ms = now;
        }
        self.counts[former as usize] -= 1;
        self.counts[state as usize] += 1;
        (member.state, member.incarnation, member.epoch) = (state, incarnation, epoch);
        let after = member.print(number);
        if before != after {
            self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
            self.changed = now;
        }
        former
    }
}
