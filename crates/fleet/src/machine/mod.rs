//! The membership machine of one gateway. It is told the time, and datagrams with their senders; it yields datagrams
//! with their receivers, and changes of its view with their causes.
//!
//! Probing goes by turns on the common clock: in a slot each gateway pings the one that stands so many places behind
//! it in the roster, the same distance for all, another one each slot. So each is pinged once a slot, not by chance
//! none or five times, and every pair meets in time. A gateway whose clock is off only meets others in another order.

//!
//! - `probe`: pings, and helpers that ping in a gateway's place
//! - `suspicion`: from no answer to a member that is gone
//! - `claims`: what others say of a member, and of this gateway
//! - `gossip`: spreading news
//! - `anti_entropy`: repair of views that differ
//! - `grants`: votes and grants of shares
//! - `datagrams`: receiving, answering, sending
//! - `change`, `counts`, `config`: the types of the machine's interface
//! - `pending`, `parameters`: what it waits for, and figures of the protocol

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
use parameters::{mix, GOSSIP_MS, HEALTH_MOST, HELPERS, MARK_BITS, SINCE_MS};
use pending::{Probe, Relay, Suspicion};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Length of a slot, ms, where enough datagrams may be sent; fewer make it longer.
const SLOT_MS: f64 = 500.0;
/// Datagrams a second that a gateway sends at most, as a part of what one takes in, and bounds of that: what all
/// send comes in evenly, and the rest is room for chance and for datagrams that others add.
const MAIL_PART: f64 = 0.18;
const MAIL_LEAST: f64 = 4.0;
const MAIL_MOST: f64 = 16.0;
/// News are told this many times the logarithm (base ten) of the roster.
const RETELL: f64 = 4.0;
/// No tick for so many slots: this process hung, and what it waited for says nothing.
const HANG_SLOTS: f64 = 1.5;

/// The membership machine of one gateway.
#[derive(Debug)]
pub struct Membership {
    me: u16,
    at: usize,
    roster: u16,
    view: View,
    rng: fastrand::Rng,
    slot_ms: f64,
    phase_ms: f64,
    rate: f64,
    max_received_per_s: f64,
    retell: u32,
    epoch: u32,
    incarnation: u64,
    leaving: bool,
    rival_claims: u32,
    yielded: bool,
    started: f64,
    now: f64,
    /// When anybody was last heard, ms.
    heard: f64,
    ticked: f64,
    slot: i64,
    pinged: usize,
    seq: u16,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    suspicions: BTreeMap<usize, Suspicion>,
    health: u32,
    /// News by importance, times told, and member.
    news: BTreeSet<(u8, u32, usize)>,
    news_of: BTreeMap<usize, (u8, u32)>,
    gossip_at: f64,
    differs: Option<u16>,
    budget: f64,
    budget_at: f64,
    taken: f64,
    taken_at: f64,
    shares: Shares,
    period: u32,
    vote_told: u32,
    grant_told: u32,
    out: VecDeque<(u16, Vec<u8>)>,
    changes: VecDeque<Change>,
    counts: Counts,
}

fn period(now: f64) -> u32 {
    (now / PERIOD_MS).clamp(0.0, f64::from(u32::MAX - 2)) as u32
}

impl Membership {
    /// A gateway that knows its roster and nobody in it.
    ///
    /// # Errors
    /// The roster is empty, names a number twice, or this gateway is not in it.
    pub fn new(config: Config, now: f64) -> Result<Membership, InvalidRoster> {
        let Config { own_number: me, mut roster, max_received_per_s, epoch, seed } = config;
        roster.sort_by_key(|place| place.number);
        if let Some(pair) = roster.windows(2).find(|pair| pair[0].number == pair[1].number) {
            return Err(InvalidRoster(format!(
                "number {} stands twice: each is wanted once",
                pair[0].number
            )));
        }
        Membership::with_shared_roster(me, roster.into(), max_received_per_s, epoch, seed, now)
    }

    /// The same over a roster that is sorted by number and shared, for many machines in one process.
    ///
    /// # Errors
    /// This gateway is not in it.
    pub fn with_shared_roster(
        me: u16,
        roster: Arc<[RosterEntry]>,
        max_received_per_s: f64,
        epoch: u32,
        seed: u64,
        now: f64,
    ) -> Result<Membership, InvalidRoster> {
        let (size, most) = (roster.len(), roster.last().map_or(0, |place| place.number));
        // Numbers alone: addresses may differ between gateways, and names and zones decide nothing.
        let numbers = roster.iter().fold(size as u64, |print, place| mix(print ^ u64::from(place.number)));
        let print = numbers as u16;
        let view = View::new(roster, now);
        let at = view.index_of(me).ok_or_else(|| {
            InvalidRoster(format!("number {me} is not in the roster: this gateway's own is wanted"))
        })?;
        let rate = (max_received_per_s * MAIL_PART).clamp(MAIL_LEAST, MAIL_MOST);
        let mut rng = fastrand::Rng::with_seed(seed);
        let units = ((now - SINCE_MS) / 100.0).max(1.0) as u64;
        let incarnation = (units << MARK_BITS) | rng.u64(1..1 << MARK_BITS);
        let slot_ms = SLOT_MS * (10.0 / rate).max(1.0);
        let phase_ms = (mix(u64::from(me)) % 1_000) as f64 / 1_000.0 * slot_ms;
        let shares = Shares::new(me, size, most, period(now));
        let mut fleet = Membership {
            me,
            at,
            roster: print,
            view,
            rng,
            slot_ms,
            phase_ms,
            rate,
            max_received_per_s: max_received_per_s.max(1.0),
            retell: (RETELL * ((size + 1) as f64).log10()).ceil() as u32 + 1,
            epoch,
            incarnation,
            leaving: false,
            rival_claims: 0,
            yielded: false,
            started: now,
            now,
            heard: now,
            ticked: now,
            slot: ((now + phase_ms) / slot_ms).floor() as i64,
            pinged: 0,
            seq: 0,
            probes: Vec::new(),
            relays: Vec::new(),
            suspicions: BTreeMap::new(),
            health: 0,
            news: BTreeSet::new(),
            news_of: BTreeMap::new(),
            gossip_at: now,
            differs: None,
            budget: rate,
            budget_at: now,
            taken: 0.0,
            taken_at: now,
            shares,
            period: period(now),
            vote_told: 0,
            grant_told: 0,
            out: VecDeque::new(),
            changes: VecDeque::new(),
            counts: Counts::default(),
        };
        fleet.announce_self(MemberState::Alive, Cause::LocalEvent);
        // Whoever answers tells that it lives, and by its digest that there is more to know.
        for _ in 0..HELPERS {
            fleet.ask_silent();
        }
        Ok(fleet)
    }

    // ---- What is known ----

    /// The members.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// This gateway's number.
    pub fn own_number(&self) -> u16 {
        self.me
    }

    /// How long the view has not changed, ms.
    pub fn unchanged_ms(&self) -> f64 {
        (self.now - self.view.last_change_ms()).max(0.0)
    }

    /// How many gateways live, this one among them.
    pub fn live_estimate(&self) -> LiveEstimate {
        let alive = self.view.count(MemberState::Alive);
        let suspect = self.view.count(MemberState::Suspect);
        let left = self.view.count(MemberState::Leaving);
        // Whose own probes fail can't tell the others' silence from its own: only what it hears itself is sure.
        let near = |member: &Member| member.last_received_ms > self.now - 4.0 * self.slot_ms;
        let heard = self.view.members().filter(|(place, member)| place.number != self.me && near(member));
        let least = if self.health >= 3 { heard.count() + usize::from(!self.leaving) } else { alive };
        LiveEstimate { min: least.min(alive), likely: alive + suspect, max: self.view.len() - left }
    }

    /// Somebody is suspected, never heard of, or gone without a word, or this gateway doubts itself.
    pub fn is_uncertain(&self) -> bool {
        let doubt = self.live_estimate();
        self.yielded || doubt.min < doubt.max
    }

    /// The part of a whole, above 0 to 1, that this gateway may use at `now`: over all gateways no more than 1.
    /// Ask anew for each use: a process that was stopped must look at the clock first.
    pub fn share(&self, now: f64) -> f64 {
        if self.yielded {
            return 0.0;
        }
        self.shares.share(period(now))
    }

    /// Into how many parts the pool is split now of which this gateway uses one; `None`: it uses none.
    pub fn pool_divisor(&self, now: f64) -> Option<u16> {
        self.shares.pool_divisor(period(now)).filter(|_| !self.yielded)
    }

    /// Another process holds this gateway's number, and this one says nothing of itself.
    pub fn has_yielded(&self) -> bool {
        self.yielded
    }

    /// Counts since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Lifeguard's local health: 0, all is well, to 8.
    pub fn local_health(&self) -> u32 {
        self.health
    }

    /// The next datagram to send, with its receiver's number.
    pub fn next_datagram(&mut self) -> Option<(u16, Vec<u8>)> {
        self.out.pop_front()
    }

    /// The next change of the view.
    pub fn next_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    // ---- What the embedding program tells ----

    /// This gateway leaves: it is told at once, and nobody will suspect it.
    pub fn leave(&mut self, now: f64) {
        self.advance(now);
        if !std::mem::replace(&mut self.leaving, true) && !self.yielded {
            self.announce_self(MemberState::Leaving, Cause::LocalEvent);
            for _ in 0..HELPERS {
                if let Some(at) = self.random_member(|member| member.state == MemberState::Alive) {
                    self.send(at, Body::Gossip, true);
                }
            }
        }
    }

    /// It does not leave after all.
    pub fn cancel_leave(&mut self, now: f64) {
        self.advance(now);
        if std::mem::take(&mut self.leaving) && !self.yielded {
            self.raise_incarnation(self.incarnation);
            self.announce_self(MemberState::Alive, Cause::LocalEvent);
        }
    }

    /// Its configuration has another epoch.
    pub fn set_epoch(&mut self, now: f64, epoch: u32) {
        self.advance(now);
        if std::mem::replace(&mut self.epoch, epoch) != epoch && !self.yielded {
            self.raise_incarnation(self.incarnation);
            let state = if self.leaving { MemberState::Leaving } else { MemberState::Alive };
            self.announce_self(state, Cause::LocalEvent);
        }
    }

    /// A datagram from nobody's address: counted and dropped.
    pub fn count_unknown_sender(&mut self) {
        self.count_dropped(DropReason::UnknownSender);
    }

    /// When [`Membership::tick`] is due, ms.
    pub fn next_tick(&self) -> f64 {
        let mut due = (self.slot + 1) as f64 * self.slot_ms - self.phase_ms;
        for probe in &self.probes {
            due = due.min(probe.sent + self.patience(probe.asked_helpers));
        }
        for relay in &self.relays {
            due = due.min(relay.until);
        }
        for suspicion in self.suspicions.values() {
            due = due.min(self.suspicion_ends(suspicion));
        }
        if !self.news.is_empty() || self.has_votes_to_tell() {
            due = due.min(self.gossip_at + GOSSIP_MS);
        }
        due.max(self.ticked + 1.0)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: f64) {
        self.advance(now);
        self.ticked = self.now;
        self.run_probes();
        self.run_slot();
        self.run_suspicions();
        self.run_shares();
        self.run_gossip();
    }

    fn advance(&mut self, now: f64) {
        self.now = now.max(self.now);
        let silence = self.now - self.ticked;
        if silence > HANG_SLOTS * self.slot_ms {
            self.resume_after_hang(silence);
            self.ticked = self.now;
        }
        let gap = (self.now - self.budget_at) / 1_000.0;
        self.budget = (self.budget + gap * self.rate).min(self.rate);
        self.budget_at = self.now;
        let period = period(self.now);
        if period != self.period {
            self.period = period;
            self.shares.discard_before(period);
            (self.vote_told, self.grant_told) = (0, 0);
        }
    }

    /// Nothing ran here for a while. Answers wait in the socket, and what was not answered says nothing: suspicions
    /// go on as if no time had passed, and this gateway trusts itself less.
    fn resume_after_hang(&mut self, silence: f64) {
        self.probes.clear();
        self.relays.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.since += silence;
        }
        self.health = (self.health + 2).min(HEALTH_MOST);
        self.record_change(self.at, MemberState::Alive, Cause::Hung(silence as u64));
    }
}
