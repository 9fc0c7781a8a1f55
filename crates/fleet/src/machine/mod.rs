//! The membership machine of one gateway. Inputs are the time, and received datagrams with their senders; outputs are
//! datagrams with their receivers, and changes of the view with their causes.
//!
//! Probe targets rotate by the common clock: in each slot every gateway pings the live member at the same distance
//! behind it in the roster, and the distance changes from slot to slot. So each member is pinged once per slot, not
//! zero or five times by chance, and over time every pair communicates. A gateway with a wrong clock only has another
//! order of targets.
//!
//! - `probe`: direct pings, and indirect ones through helpers
//! - `suspicion`: from a failed probe to a member that is gone
//! - `claims`: reports about a member, or about this gateway
//! - `gossip`: dissemination of member changes
//! - `anti_entropy`: repair of views that differ
//! - `grants`: votes and grants for shares
//! - `datagrams`: receiving, answering, sending
//! - `change`, `counts`, `config`: the types of the machine's interface
//! - `pending`, `parameters`: open probes and suspicions, and parameters of the protocol

mod anti_entropy;
mod change;
mod claims;
mod config;
mod counts;
mod datagrams;
mod gossip;
mod grants;
mod parameters;
mod pending;
mod probe;
mod suspicion;

pub use change::{Cause, Change};
pub use config::{Config, InvalidRoster};
pub use counts::{Counts, DropReason};

use crate::share::{Shares, PERIOD_MS};
use crate::view::{LiveEstimate, Member, MemberState, RosterEntry, View};
use crate::wire::Body;
use parameters::{
    hash, GOSSIP_INTERVAL_MS, INCARNATION_EPOCH_MS, MAX_LOCAL_HEALTH, PROBE_FANOUT, PROCESS_MARK_BITS,
};
use pending::{Probe, Relay, Suspicion};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Length of a slot, ms, at a send rate of at least [`FULL_SEND_RATE_PER_S`]; lower rates lengthen it.
const SLOT_MS: f64 = 500.0;
const FULL_SEND_RATE_PER_S: f64 = 10.0;
/// A gateway's send rate, as a fraction of the rate that a gateway accepts, with bounds in datagrams per second. The
/// targets are evenly distributed, so each gateway receives about as much as it sends; the rest of the accepted rate
/// leaves room for random peaks and for datagrams that others add.
const SEND_FRACTION: f64 = 0.18;
const MIN_SEND_RATE_PER_S: f64 = 4.0;
const MAX_SEND_RATE_PER_S: f64 = 16.0;
/// Gossip is retransmitted this many times the decimal logarithm of the roster size.
const RETRANSMIT_FACTOR: f64 = 4.0;
/// Slots without a tick after which this process is considered to have hung: missing answers then prove nothing.
const HANG_SLOTS: f64 = 1.5;
/// Local health from which the failure of this gateway's probes may be its own fault.
const UNRELIABLE_LOCAL_HEALTH: u32 = 3;
/// A member counts as certainly alive if a datagram arrived from it within this many slots.
const RECENT_SLOTS: f64 = 4.0;

/// The membership machine of one gateway.
#[derive(Debug)]
pub struct Membership {
    own_number: u16,
    own_index: usize,
    roster_hash: u16,
    view: View,
    rng: fastrand::Rng,
    slot_ms: f64,
    /// Offset of this gateway's slots, so that not all gateways ping at the same moment.
    phase_ms: f64,
    send_rate_per_s: f64,
    max_received_per_s: f64,
    retransmit_limit: u32,
    epoch: u32,
    incarnation: u64,
    leaving: bool,
    /// Claims of a higher incarnation of this gateway's number.
    duplicate_claims: u32,
    /// Another process keeps this gateway's number, and this one sends nothing.
    yielded: bool,
    started_ms: f64,
    now_ms: f64,
    /// When the last valid datagram arrived from any member.
    last_received_ms: f64,
    last_tick_ms: f64,
    slot: i64,
    pings_in_slot: usize,
    last_seq: u16,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    suspicions: BTreeMap<usize, Suspicion>,
    local_health: u32,
    /// Members whose state is to be sent, ordered by priority and transmissions.
    gossip_queue: BTreeSet<(u8, u32, usize)>,
    /// Priority and transmissions by member: the rest of its key in the queue.
    gossip_keys: BTreeMap<usize, (u8, u32)>,
    last_gossip_ms: f64,
    /// Number of the last member whose datagram had another view digest.
    differing_peer: Option<u16>,
    send_budget: f64,
    send_budget_at_ms: f64,
    receive_budget: f64,
    receive_budget_at_ms: f64,
    shares: Shares,
    period: u32,
    ballot_transmissions: u32,
    grant_transmissions: u32,
    outgoing: VecDeque<(u16, Vec<u8>)>,
    changes: VecDeque<Change>,
    counts: Counts,
}

/// The period of the share rule at this time.
fn period_at(now_ms: f64) -> u32 {
    (now_ms / PERIOD_MS).clamp(0.0, f64::from(u32::MAX - 2)) as u32
}

impl Membership {
    /// A gateway that knows its roster; all other members are unknown.
    ///
    /// # Errors
    /// The roster has a number twice, or lacks this gateway.
    pub fn new(config: Config, now_ms: f64) -> Result<Membership, InvalidRoster> {
        let Config { own_number, mut roster, max_received_per_s, epoch, seed } = config;
        roster.sort_by_key(|entry| entry.number);
        if let Some(pair) = roster.windows(2).find(|pair| pair[0].number == pair[1].number) {
            return Err(InvalidRoster(format!(
                "number {} stands twice: expected each number once",
                pair[0].number
            )));
        }
        Membership::with_shared_roster(own_number, roster.into(), max_received_per_s, epoch, seed, now_ms)
    }

    /// The same with a shared roster that is sorted by number, for many machines in one process.
    ///
    /// # Errors
    /// The roster lacks this gateway.
    pub fn with_shared_roster(
        own_number: u16,
        roster: Arc<[RosterEntry]>,
        max_received_per_s: f64,
        epoch: u32,
        seed: u64,
        now_ms: f64,
    ) -> Result<Membership, InvalidRoster> {
        let (size, max_number) = (roster.len(), roster.last().map_or(0, |entry| entry.number));
        // Only the numbers: addresses may differ between gateways, and the protocol does not use names and zones.
        let roster_hash = roster.iter().fold(size as u64, |sum, entry| hash(sum ^ u64::from(entry.number)));
        let view = View::new(roster, now_ms);
        let own_index = view.index_of(own_number).ok_or_else(|| {
            InvalidRoster(format!(
                "number {own_number} is not in the roster: expected this gateway's own number"
            ))
        })?;
        let send_rate_per_s =
            (max_received_per_s * SEND_FRACTION).clamp(MIN_SEND_RATE_PER_S, MAX_SEND_RATE_PER_S);
        let mut rng = fastrand::Rng::with_seed(seed);
        let start_tenths = ((now_ms - INCARNATION_EPOCH_MS) / 100.0).max(1.0) as u64;
        let incarnation = (start_tenths << PROCESS_MARK_BITS) | rng.u64(1..1 << PROCESS_MARK_BITS);
        let slot_ms = SLOT_MS * (FULL_SEND_RATE_PER_S / send_rate_per_s).max(1.0);
        let phase_ms = (hash(u64::from(own_number)) % 1_000) as f64 / 1_000.0 * slot_ms;
        let shares = Shares::new(own_number, size, max_number, period_at(now_ms));
        let mut membership = Membership {
            own_number,
            own_index,
            roster_hash: roster_hash as u16,
            view,
            rng,
            slot_ms,
            phase_ms,
            send_rate_per_s,
            max_received_per_s: max_received_per_s.max(1.0),
            retransmit_limit: (RETRANSMIT_FACTOR * ((size + 1) as f64).log10()).ceil() as u32 + 1,
            epoch,
            incarnation,
            leaving: false,
            duplicate_claims: 0,
            yielded: false,
            started_ms: now_ms,
            now_ms,
            last_received_ms: now_ms,
            last_tick_ms: now_ms,
            slot: ((now_ms + phase_ms) / slot_ms).floor() as i64,
            pings_in_slot: 0,
            last_seq: 0,
            probes: Vec::new(),
            relays: Vec::new(),
            suspicions: BTreeMap::new(),
            local_health: 0,
            gossip_queue: BTreeSet::new(),
            gossip_keys: BTreeMap::new(),
            last_gossip_ms: now_ms,
            differing_peer: None,
            send_budget: send_rate_per_s,
            send_budget_at_ms: now_ms,
            receive_budget: 0.0,
            receive_budget_at_ms: now_ms,
            shares,
            period: period_at(now_ms),
            ballot_transmissions: 0,
            grant_transmissions: 0,
            outgoing: VecDeque::new(),
            changes: VecDeque::new(),
            counts: Counts::default(),
        };
        membership.announce_self(MemberState::Alive, Cause::LocalEvent);
        // An answer shows that the member is alive, and its digest that there are differences to repair.
        for _ in 0..PROBE_FANOUT {
            membership.ping_unreachable();
        }
        Ok(membership)
    }

    // ---- State ----

    /// The members as this gateway sees them.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The number from the configuration, which identifies this gateway in the roster.
    pub fn own_number(&self) -> u16 {
        self.own_number
    }

    /// Time since the last change of the view's digest.
    pub fn unchanged_ms(&self) -> f64 {
        (self.now_ms - self.view.last_change_ms()).max(0.0)
    }

    /// Estimates the number of live gateways, this one included.
    pub fn live_estimate(&self) -> LiveEstimate {
        let alive = self.view.count(MemberState::Alive);
        let suspect = self.view.count(MemberState::Suspect);
        let leaving = self.view.count(MemberState::Leaving);
        // A gateway whose probes fail cannot tell whether the fault is its own: then only members that it received
        // datagrams from are certainly alive.
        let is_recent = |member: &Member| member.last_received_ms > self.now_ms - RECENT_SLOTS * self.slot_ms;
        let recent_members = self
            .view
            .members()
            .filter(|(entry, member)| entry.number != self.own_number && is_recent(member));
        let min = if self.local_health >= UNRELIABLE_LOCAL_HEALTH {
            recent_members.count() + usize::from(!self.leaving)
        } else {
            alive
        };
        LiveEstimate { min: min.min(alive), likely: alive + suspect, max: self.view.len() - leaving }
    }

    /// Whether a member is suspect, unknown, or gone without having announced its leave, or this gateway's own probes
    /// are unreliable, or it yielded its number.
    pub fn is_uncertain(&self) -> bool {
        let estimate = self.live_estimate();
        self.yielded || estimate.min < estimate.max
    }

    /// The share of the whole that this gateway may use at `now_ms`: at most 1 over all gateways, and 0 only after it
    /// yielded its number. Call it for each use, since after a pause of the process the share may have expired.
    pub fn share(&self, now_ms: f64) -> f64 {
        if self.yielded {
            return 0.0;
        }
        self.shares.share(period_at(now_ms))
    }

    /// The number of parts into which the pool is divided if this gateway may use one of them, else `None`.
    pub fn pool_divisor(&self, now_ms: f64) -> Option<u16> {
        self.shares.pool_divisor(period_at(now_ms)).filter(|_| !self.yielded)
    }

    /// Whether another process keeps this gateway's number, so that this one sends nothing.
    pub fn has_yielded(&self) -> bool {
        self.yielded
    }

    /// Counters since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Lifeguard's local health, from 0 (healthy) to 8.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// The next datagram to send, with its receiver's number.
    pub fn next_datagram(&mut self) -> Option<(u16, Vec<u8>)> {
        self.outgoing.pop_front()
    }

    /// The next change of the view.
    pub fn next_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    // ---- Inputs of the embedding program ----

    /// Announces at once that this gateway leaves, so that no member will suspect it.
    pub fn leave(&mut self, now_ms: f64) {
        self.advance(now_ms);
        if !std::mem::replace(&mut self.leaving, true) && !self.yielded {
            self.announce_self(MemberState::Leaving, Cause::LocalEvent);
            for _ in 0..PROBE_FANOUT {
                if let Some(peer) = self.random_member(|member| member.state == MemberState::Alive) {
                    self.send(peer, Body::Gossip, true);
                }
            }
        }
    }

    /// Announces that this gateway stays.
    pub fn cancel_leave(&mut self, now_ms: f64) {
        self.advance(now_ms);
        if std::mem::take(&mut self.leaving) && !self.yielded {
            self.raise_incarnation(self.incarnation);
            self.announce_self(MemberState::Alive, Cause::LocalEvent);
        }
    }

    /// Announces another epoch of this gateway's configuration.
    pub fn set_epoch(&mut self, now_ms: f64, epoch: u32) {
        self.advance(now_ms);
        if std::mem::replace(&mut self.epoch, epoch) != epoch && !self.yielded {
            self.raise_incarnation(self.incarnation);
            let state = if self.leaving { MemberState::Leaving } else { MemberState::Alive };
            self.announce_self(state, Cause::LocalEvent);
        }
    }

    /// Counts a datagram from an address that is not in the roster.
    pub fn count_unknown_sender(&mut self) {
        self.count_dropped(DropReason::UnknownSender);
    }

    /// When [`Membership::tick`] is due, by this gateway's clock.
    pub fn next_tick(&self) -> f64 {
        let mut due = (self.slot + 1) as f64 * self.slot_ms - self.phase_ms;
        for probe in &self.probes {
            due = due.min(probe.sent_ms + self.probe_timeout_ms(probe.asked_helpers));
        }
        for relay in &self.relays {
            due = due.min(relay.until_ms);
        }
        for suspicion in self.suspicions.values() {
            due = due.min(self.suspicion_ends_ms(suspicion));
        }
        if !self.gossip_queue.is_empty() || self.has_votes_to_send() {
            due = due.min(self.last_gossip_ms + GOSSIP_INTERVAL_MS);
        }
        due.max(self.last_tick_ms + 1.0)
    }

    /// Runs everything that is due.
    pub fn tick(&mut self, now_ms: f64) {
        self.advance(now_ms);
        self.last_tick_ms = self.now_ms;
        self.run_probes();
        self.run_slot();
        self.run_suspicions();
        self.run_shares();
        self.run_gossip();
    }

    /// Sets the clock, refills the send budget, and detects a hang and a new period.
    fn advance(&mut self, now_ms: f64) {
        self.now_ms = now_ms.max(self.now_ms);
        let gap_ms = self.now_ms - self.last_tick_ms;
        if gap_ms > HANG_SLOTS * self.slot_ms {
            self.resume_after_hang(gap_ms);
            self.last_tick_ms = self.now_ms;
        }
        let elapsed_s = (self.now_ms - self.send_budget_at_ms) / 1_000.0;
        self.send_budget = (self.send_budget + elapsed_s * self.send_rate_per_s).min(self.send_rate_per_s);
        self.send_budget_at_ms = self.now_ms;
        let period = period_at(self.now_ms);
        if period != self.period {
            self.period = period;
            self.shares.discard_before(period);
            (self.ballot_transmissions, self.grant_transmissions) = (0, 0);
        }
    }

    /// Handles a hang of this process. Answers may wait in the socket, so missing ones prove nothing: open probes are
    /// discarded, suspicions continue as if no time had passed, and the local health becomes worse.
    fn resume_after_hang(&mut self, gap_ms: f64) {
        self.probes.clear();
        self.relays.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.since_ms += gap_ms;
        }
        self.local_health = (self.local_health + 2).min(MAX_LOCAL_HEALTH);
        self.record_change(self.own_index, MemberState::Alive, Cause::Hung(gap_ms as u64));
    }
}
