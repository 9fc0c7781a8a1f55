//! The membership machine of one gateway. It is told the time, and datagrams with their senders; it yields datagrams
//! with their receivers, and changes of its view with their causes.
//!
//! Probing goes by turns on the common clock: in a slot each gateway pings the one that stands so many places behind
//! it in the roster, the same distance for all, another one each slot. So each is pinged once a slot, not by chance
//! none or five times, and every pair meets in time. A gateway whose clock is off only meets others in another order.

use crate::bits::Bits;
use crate::share::{Shares, PERIOD_MS};
use crate::view::{Doubt, Member, Place, State, View};
use crate::wire::{Body, Claim, Entry, Packet, Unreadable};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Length of a slot, ms, where enough datagrams may be sent; fewer make it longer.
const SLOT_MS: f64 = 500.0;
/// Datagrams a second that a gateway sends at most, as a part of what one takes in, and bounds of that: what all
/// send comes in evenly, and the rest is room for chance and for datagrams that others add.
const MAIL_PART: f64 = 0.18;
const MAIL_LEAST: f64 = 4.0;
const MAIL_MOST: f64 = 16.0;
/// A ping unanswered for this part of a slot is sent again and asked of helpers.
const DIRECT_PART: f64 = 0.3;
/// Helpers that ping in a gateway's place.
const HELPERS: usize = 3;
/// Pings of a slot at most, when one after another goes unanswered: a massacre is found out sooner.
const PINGS_MOST: usize = 4;
/// Shortest and longest suspicion, in slots; independent voices make it shorter.
const SUSPECT_LEAST: f64 = 2.4;
const SUSPECT_MOST: f64 = 8.0;
/// Voices beside the first after which a suspicion is as short as can be.
const VOICES: usize = 2;
/// Local health: the more a gateway's own probes fail, or it is suspected itself, the longer it waits. Lifeguard's bound.
const HEALTH_MOST: u32 = 8;
/// Silent gateways are asked once in so many slots, so that two halves find one another again.
const ASK_GONE_SLOTS: i64 = 2;
/// After a start, silent ones are asked each slot for so long, ms.
const GREEN_MS: f64 = 10_000.0;
/// News go out this often at most, ms.
const GOSSIP_MS: f64 = 100.0;
/// Receivers of one round of news.
const FANOUT: usize = 2;
/// News are told this many times the logarithm (base ten) of the roster.
const RETELL: f64 = 4.0;
/// So many news are much: more than a datagram holds.
const MUCH_NEWS: usize = 24;
/// Most numbers whose entries one [`Body::Tell`] holds: they fit a datagram.
const TELL_SPAN: u32 = 16;
/// Parts of a range that are compared by digest in one datagram.
const PARTS: u32 = 16;
/// Datagrams that answer one comparison at most; the rest comes with the next.
const TELLS_MOST: usize = 4;
/// No tick for so many slots: this process hung, and what it waited for says nothing.
const HANG_SLOTS: f64 = 1.5;
/// Incarnations count tenths of a second since 2020 (Unix ms) in their upper bits, and a life's mark below: two
/// processes that claim one number differ in it.
const SINCE_MS: f64 = 1_577_836_800_000.0;
const MARK_BITS: u32 = 12;
/// Claims of a living rival to this gateway's number after which it counts as one: the first may be a life of before,
/// whose clock was ahead.
const RIVAL_CLAIMS: u32 = 2;
/// Changes that wait to be told at most; older ones are dropped, and the figures still count them.
const CHANGES_MOST: usize = 1_024;

/// What a gateway is told at its start.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its number.
    pub me: u16,
    /// Who may be a member, itself among them; any order.
    pub roster: Vec<Place>,
    /// Datagrams a second that a gateway takes in; it drops the rest.
    pub mail_per_s: f64,
    /// Epoch of its configuration.
    pub epoch: u32,
    /// For random numbers; another one at each start.
    pub seed: u64,
}

/// A roster that can't be used: what is wrong and wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadRoster(pub String);

impl std::fmt::Display for BadRoster {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BadRoster {}

/// Why a member's state changed, or what else was noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// A datagram came from it.
    Heard,
    /// The gateway of this number said so.
    Told(u16),
    /// It answered neither this gateway nor its helpers.
    NoAnswer,
    /// Nobody heard it while it was suspected.
    SuspicionOver,
    /// This gateway's own doing: it started, leaves, comes back or has another epoch.
    Own,
    /// This gateway was held to be suspect, gone or leaving, by the gateway of this number, and took it back.
    TakenBack(u16),
    /// An earlier life of this gateway had a clock that was ahead.
    ClockWentBack,
    /// Another process claims this gateway's number; this one stays and the other should leave.
    Rival,
    /// Another process claims this gateway's number, and this one yields: it says nothing more of itself.
    Yields,
    /// This process did nothing for so many ms.
    Hung(u64),
}

/// A change of the view.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// When, ms.
    pub at: f64,
    /// Whose.
    pub number: u16,
    /// Its former state.
    pub from: State,
    /// Its state.
    pub to: State,
    /// Why.
    pub cause: Cause,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Dropped {
    /// Checksum, length or form.
    Damaged,
    /// Another version's.
    Version,
    /// From an address, or in the name, of nobody in the roster, or of this gateway itself.
    Stranger,
    /// Its sender goes by another roster.
    Roster,
    /// Of an earlier life of its sender.
    Stale,
    /// More than this gateway takes in, of one member or of all.
    TooMany,
}

impl Dropped {
    /// All reasons.
    pub const ALL: [Dropped; 6] = [
        Dropped::Damaged,
        Dropped::Version,
        Dropped::Stranger,
        Dropped::Roster,
        Dropped::Stale,
        Dropped::TooMany,
    ];

    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            Dropped::Damaged => "damaged",
            Dropped::Version => "version",
            Dropped::Stranger => "stranger",
            Dropped::Roster => "roster",
            Dropped::Stale => "stale",
            Dropped::TooMany => "too_many",
        }
    }
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams and bytes sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams that were taken in.
    pub received: u64,
    /// Datagrams dropped, in the order of [`Dropped::ALL`].
    pub dropped: [u64; 6],
    /// Datagrams that were held back for want of room.
    pub held_back: u64,
    /// Members that this gateway came to suspect by its own probes.
    pub suspected: u64,
    /// Members that it held to be gone and that turned out to live the same life.
    pub wrongly_gone: u64,
    /// Claims on itself that it took back.
    pub taken_back: u64,
}

impl Counts {
    /// Dropped for this reason.
    pub fn dropped(&self, why: Dropped) -> u64 {
        self.dropped[why as usize]
    }
}

#[derive(Debug)]
struct Probe {
    at: usize,
    seq: u16,
    sent: f64,
    asked_helpers: bool,
    /// A helper said that it heard nothing either: this gateway's own links are fine.
    nacked: bool,
}

/// A ping in another's place.
#[derive(Debug)]
struct Relay {
    asker: u16,
    asked: u16,
    seq: u16,
    until: f64,
}

#[derive(Debug)]
struct Suspicion {
    since: f64,
    voices: BTreeSet<u16>,
}

/// The membership machine of one gateway.
#[derive(Debug)]
pub struct Fleet {
    me: u16,
    at: usize,
    roster: u16,
    view: View,
    rng: fastrand::Rng,
    slot_ms: f64,
    phase_ms: f64,
    rate: f64,
    mail_per_s: f64,
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

fn mix(value: u64) -> u64 {
    fastrand::Rng::with_seed(value).u64(..)
}

fn period(now: f64) -> u32 {
    (now / PERIOD_MS).clamp(0.0, f64::from(u32::MAX - 2)) as u32
}

impl Fleet {
    /// A gateway that knows its roster and nobody in it.
    ///
    /// # Errors
    /// The roster is empty, names a number twice, or this gateway is not in it.
    pub fn new(config: Config, now: f64) -> Result<Fleet, BadRoster> {
        let Config { me, mut roster, mail_per_s, epoch, seed } = config;
        roster.sort_by_key(|place| place.number);
        if let Some(pair) = roster.windows(2).find(|pair| pair[0].number == pair[1].number) {
            return Err(BadRoster(format!("number {} stands twice: each is wanted once", pair[0].number)));
        }
        Fleet::with(me, roster.into(), mail_per_s, epoch, seed, now)
    }

    /// The same over a roster that is sorted by number and shared, for many machines in one process.
    ///
    /// # Errors
    /// This gateway is not in it.
    pub fn with(
        me: u16,
        roster: Arc<[Place]>,
        mail_per_s: f64,
        epoch: u32,
        seed: u64,
        now: f64,
    ) -> Result<Fleet, BadRoster> {
        let (size, most) = (roster.len(), roster.last().map_or(0, |place| place.number));
        // Numbers alone: addresses may differ between gateways, and names and zones decide nothing.
        let numbers = roster.iter().fold(size as u64, |print, place| mix(print ^ u64::from(place.number)));
        let print = numbers as u16;
        let view = View::new(roster, now);
        let at = view.index(me).ok_or_else(|| {
            BadRoster(format!("number {me} is not in the roster: this gateway's own is wanted"))
        })?;
        let rate = (mail_per_s * MAIL_PART).clamp(MAIL_LEAST, MAIL_MOST);
        let mut rng = fastrand::Rng::with_seed(seed);
        let units = ((now - SINCE_MS) / 100.0).max(1.0) as u64;
        let incarnation = (units << MARK_BITS) | rng.u64(1..1 << MARK_BITS);
        let slot_ms = SLOT_MS * (10.0 / rate).max(1.0);
        let phase_ms = (mix(u64::from(me)) % 1_000) as f64 / 1_000.0 * slot_ms;
        let shares = Shares::new(me, size, most, period(now));
        let mut fleet = Fleet {
            me,
            at,
            roster: print,
            view,
            rng,
            slot_ms,
            phase_ms,
            rate,
            mail_per_s: mail_per_s.max(1.0),
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
        fleet.own(State::Alive, Cause::Own);
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
    pub fn me(&self) -> u16 {
        self.me
    }

    /// How long the view has not changed, ms.
    pub fn quiet_ms(&self) -> f64 {
        (self.now - self.view.changed()).max(0.0)
    }

    /// How many gateways live, this one among them.
    pub fn doubt(&self) -> Doubt {
        let alive = self.view.count(State::Alive);
        let suspect = self.view.count(State::Suspect);
        let left = self.view.count(State::Leaving);
        // Whose own probes fail can't tell the others' silence from its own: only what it hears itself is sure.
        let near = |member: &Member| member.heard > self.now - 4.0 * self.slot_ms;
        let heard = self.view.members().filter(|(place, member)| place.number != self.me && near(member));
        let least = if self.health >= 3 { heard.count() + usize::from(!self.leaving) } else { alive };
        Doubt { least: least.min(alive), likely: alive + suspect, most: self.view.len() - left }
    }

    /// Somebody is suspected, never heard of, or gone without a word, or this gateway doubts itself.
    pub fn in_doubt(&self) -> bool {
        let doubt = self.doubt();
        self.yielded || doubt.least < doubt.most
    }

    /// The part of a whole, above 0 to 1, that this gateway may use at `now`: over all gateways no more than 1.
    /// Ask anew for each use: a process that was stopped must look at the clock first.
    pub fn part(&self, now: f64) -> f64 {
        if self.yielded {
            return 0.0;
        }
        self.shares.part(period(now))
    }

    /// Into how many parts the pool is split now of which this gateway uses one; `None`: it uses none.
    pub fn pool(&self, now: f64) -> Option<u16> {
        self.shares.pool(period(now)).filter(|_| !self.yielded)
    }

    /// Another process holds this gateway's number, and this one says nothing of itself.
    pub fn yielded(&self) -> bool {
        self.yielded
    }

    /// Counts since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Lifeguard's local health: 0, all is well, to 8.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// The next datagram to send, with its receiver's number.
    pub fn transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.out.pop_front()
    }

    /// The next change of the view.
    pub fn change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    // ---- What the embedding program tells ----

    /// This gateway leaves: it is told at once, and nobody will suspect it.
    pub fn leave(&mut self, now: f64) {
        self.advance(now);
        if !std::mem::replace(&mut self.leaving, true) && !self.yielded {
            self.own(State::Leaving, Cause::Own);
            for _ in 0..HELPERS {
                if let Some(at) = self.any(|member| member.state == State::Alive) {
                    self.send(at, Body::Gossip, true);
                }
            }
        }
    }

    /// It does not leave after all.
    pub fn stay(&mut self, now: f64) {
        self.advance(now);
        if std::mem::take(&mut self.leaving) && !self.yielded {
            self.bump(self.incarnation);
            self.own(State::Alive, Cause::Own);
        }
    }

    /// Its configuration has another epoch.
    pub fn set_epoch(&mut self, now: f64, epoch: u32) {
        self.advance(now);
        if std::mem::replace(&mut self.epoch, epoch) != epoch && !self.yielded {
            self.bump(self.incarnation);
            let state = if self.leaving { State::Leaving } else { State::Alive };
            self.own(state, Cause::Own);
        }
    }

    /// A datagram from nobody's address: counted and dropped.
    pub fn stranger(&mut self) {
        self.drop(Dropped::Stranger);
    }

    /// When [`Fleet::tick`] is due, ms.
    pub fn next_tick(&self) -> f64 {
        let mut due = (self.slot + 1) as f64 * self.slot_ms - self.phase_ms;
        for probe in &self.probes {
            due = due.min(probe.sent + self.patience(probe.asked_helpers));
        }
        for relay in &self.relays {
            due = due.min(relay.until);
        }
        for suspicion in self.suspicions.values() {
            due = due.min(self.over(suspicion));
        }
        if !self.news.is_empty() || self.hot_facts() {
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

    /// Takes a datagram that came from the address of member `from`.
    pub fn receive(&mut self, now: f64, from: u16, bytes: &[u8]) {
        self.advance(now);
        let Some(at) = self.view.index(from).filter(|at| *at != self.at) else {
            return self.drop(Dropped::Stranger);
        };
        let packet = match Packet::decode(bytes) {
            Ok(packet) => packet,
            Err(Unreadable::Damaged) => return self.drop(Dropped::Damaged),
            Err(Unreadable::Version) => return self.drop(Dropped::Version),
        };
        // Senders are believed by their address: in another's name nobody speaks.
        if packet.from != from {
            return self.drop(Dropped::Stranger);
        }
        if packet.roster != self.roster {
            return self.drop(Dropped::Roster);
        }
        // Only what can be read is charged to its sender: noise in a member's name must not crowd out its true mail.
        if !self.admit(at) {
            return self.drop(Dropped::TooMany);
        }
        let member = self.view.member(at);
        if packet.incarnation < member.incarnation {
            self.drop(Dropped::Stale);
            // A life of before that lingers, a start with a clock that jumped back, or a process beside the
            // member: whichever it is, it must hear what is held of its number.
            self.send_of(at, Body::Gossip, &[at], false);
            return;
        }
        self.counts.received += 1;
        if packet.incarnation > member.incarnation || member.state == State::Unproven {
            let state = if packet.leaving { State::Leaving } else { State::Alive };
            self.settle(at, state, packet.incarnation, packet.epoch, Cause::Heard);
        }
        self.view.contact(at).heard = self.now;
        self.heard = self.now;
        for entry in &packet.news {
            self.hear(packet.from, entry, packet.incarnation);
        }
        if let Some(ballot) = &packet.ballot {
            if self.shares.hear_ballot(self.period, ballot) {
                self.vote_told = 0;
            }
        }
        if let Some(grant) = &packet.grant {
            if self.shares.hear_grant(self.period, grant) {
                self.grant_told = 0;
            }
        }
        // It is held to be suspect or gone and speaks: it must hear that to take it back.
        let accused = matches!(self.view.member(at).state, State::Suspect | State::Gone);
        let answers = matches!(packet.body, Body::Ping(_) | Body::PingFor { .. });
        if accused && !answers {
            self.send(at, Body::Gossip, false);
        }
        if packet.digest != self.view.digest() as u32 {
            self.differs = Some(from);
        }
        self.answer(at, packet.body, &packet.news, packet.incarnation);
    }

    // ---- Time ----

    fn advance(&mut self, now: f64) {
        self.now = now.max(self.now);
        let silence = self.now - self.ticked;
        if silence > HANG_SLOTS * self.slot_ms {
            self.hung(silence);
            self.ticked = self.now;
        }
        let gap = (self.now - self.budget_at) / 1_000.0;
        self.budget = (self.budget + gap * self.rate).min(self.rate);
        self.budget_at = self.now;
        let period = period(self.now);
        if period != self.period {
            self.period = period;
            self.shares.forget(period);
            (self.vote_told, self.grant_told) = (0, 0);
        }
    }

    /// Nothing ran here for a while. Answers wait in the socket, and what was not answered says nothing: suspicions
    /// go on as if no time had passed, and this gateway trusts itself less.
    fn hung(&mut self, silence: f64) {
        self.probes.clear();
        self.relays.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.since += silence;
        }
        self.health = (self.health + 2).min(HEALTH_MOST);
        self.note(self.at, State::Alive, Cause::Hung(silence as u64));
    }

    fn slot_of(&self, now: f64) -> i64 {
        ((now + self.phase_ms) / self.slot_ms).floor() as i64
    }

    fn patience(&self, asked_helpers: bool) -> f64 {
        let part = if asked_helpers { 0.9 } else { DIRECT_PART };
        part * self.slot_ms * (1.0 + f64::from(self.health) / 2.0)
    }

    // ---- Probes ----

    fn run_slot(&mut self) {
        let slot = self.slot_of(self.now);
        if slot == self.slot {
            return;
        }
        self.slot = slot;
        self.pinged = 0;
        if self.yielded {
            return;
        }
        if !self.leaving {
            self.probe_next();
        }
        let green = self.now < self.started + GREEN_MS;
        // So many at once are rather cut off than dead: the sooner they are met again the better.
        let cut = self.view.count(State::Gone) * 4 > self.view.len();
        if green || cut || slot.rem_euclid(ASK_GONE_SLOTS) == 0 {
            self.ask_silent();
        }
        if let Some(at) = self.differs.take().and_then(|number| self.view.index(number)) {
            let (from, to) = self.numbers();
            self.compare(at, from, to);
        }
    }

    fn numbers(&self) -> (u32, u32) {
        (u32::from(self.view.place(0).number), u32::from(self.view.place(self.view.len() - 1).number) + 1)
    }

    /// Pings the one whose turn it is; with each ping of the slot that failed, one further on.
    fn probe_next(&mut self) {
        let size = self.view.len();
        if size < 2 {
            return;
        }
        // Those never heard of are asked apart: they may not be there yet, and each that is not would cost helpers,
        // health and further pings, until too little was left to answer those that live.
        let wanted = |member: &Member| matches!(member.state, State::Alive | State::Suspect);
        // Ranks among those that live, not in the roster: whoever stood behind a run of dead ones got the pings of
        // them all, more than it could answer, and was suspected for it.
        let ring: Vec<usize> =
            (0..size).filter(|at| *at == self.at || wanted(self.view.member(*at))).collect();
        let rank = ring.partition_point(|at| *at < self.at);
        let drawn = mix(self.slot as u64 ^ ((self.pinged as u64) << 48)) as f64 / u64::MAX as f64;
        let step = 1 + (drawn * ring.len().saturating_sub(1) as f64) as usize;
        let turn = (0..ring.len()).map(|on| ring[(rank + step + on) % ring.len()]);
        let found =
            turn.into_iter().find(|at| *at != self.at && self.probes.iter().all(|probe| probe.at != *at));
        let Some(at) = found else { return };
        self.pinged += 1;
        let seq = self.next_seq();
        self.probes.push(Probe { at, seq, sent: self.now, asked_helpers: false, nacked: false });
        self.send(at, Body::Ping(seq), true);
    }

    fn next_seq(&mut self) -> u16 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    fn run_probes(&mut self) {
        let mut failed = Vec::new();
        for index in (0..self.probes.len()).rev() {
            let probe = &self.probes[index];
            if self.now < probe.sent + self.patience(probe.asked_helpers) {
                continue;
            }
            let (at, seq, asked) = (probe.at, probe.seq, probe.asked_helpers);
            if asked {
                failed.push(self.probes.swap_remove(index));
                continue;
            }
            self.probes[index].asked_helpers = true;
            self.send(at, Body::Ping(seq), true);
            let number = self.view.place(at).number;
            // With many suspected most helpers are dead as well, and what they cost is lacking for the news of it.
            let helpers = if self.suspicions.len() * 10 > self.view.len() { 1 } else { HELPERS };
            for _ in 0..helpers {
                let helper = self.any(|member| member.state == State::Alive);
                if let Some(helper) = helper.filter(|helper| *helper != at) {
                    self.send(helper, Body::PingFor { number, seq }, true);
                }
            }
            // Whether it is one or most of the fleet is known sooner if the next is not waited for.
            let room = self.budget > 0.5 * self.rate;
            if room && self.pinged < PINGS_MOST && !self.yielded && !self.leaving {
                self.probe_next();
            }
        }
        for probe in failed {
            if self.view.member(probe.at).heard >= probe.sent {
                continue;
            }
            // Nobody was heard meanwhile, not even a helper that heard nothing: perhaps it is this gateway that is cut
            // off or slow. (Helpers alone don't tell: in a massacre most of them are dead, too.)
            if !probe.nacked && self.heard < probe.sent && self.view.count(State::Alive) > 2 {
                self.health = (self.health + 1).min(HEALTH_MOST);
            }
            self.suspect(probe.at, self.me, Cause::NoAnswer);
        }
        let mut nacks = Vec::new();
        let now = self.now;
        self.relays.retain(|relay| {
            let over = now >= relay.until;
            if over {
                nacks.push((relay.asker, relay.asked));
            }
            !over
        });
        for (asker, seq) in nacks {
            if let Some(at) = self.view.index(asker) {
                self.send(at, Body::Nack(seq), true);
            }
        }
    }

    /// A ping to one that is held to be gone, or was never heard of: it may be beyond a cut that has ended.
    fn ask_silent(&mut self) {
        let silent = |member: &Member| matches!(member.state, State::Gone | State::Unproven | State::Leaving);
        let count = |state| self.view.count(state);
        if count(State::Gone) + count(State::Unproven) + count(State::Leaving) == 0 {
            return;
        }
        if let Some(at) = self.any(silent) {
            let seq = self.next_seq();
            self.send(at, Body::Ping(seq), false);
        }
    }

    /// Some member other than this gateway, by lot.
    fn any(&mut self, wanted: impl Fn(&Member) -> bool) -> Option<usize> {
        let size = self.view.len();
        let first = self.rng.usize(0..size);
        // From a place by lot onwards in steps that meet every place: long runs of the unwanted favour nobody.
        let step = (1..).map(|by| (size / 3 + by) | 1).find(|step| gcd(*step, size) == 1).unwrap_or(1);
        let order = (0..size).map(|on| (first + on * step) % size);
        order.into_iter().find(|at| *at != self.at && wanted(self.view.member(*at)))
    }

    fn answer(&mut self, at: usize, body: Body, news: &[Entry], base: u64) {
        match body {
            Body::Ping(seq) => self.send(at, Body::Ack(seq), true),
            Body::PingFor { number, seq } => {
                let Some(target) = self.view.index(number).filter(|target| *target != self.at) else {
                    return;
                };
                // Helping is bounded: a flood of wishes must not become one of pings.
                if self.relays.len() < 32 && self.budget > 0.0 {
                    let own = self.next_seq();
                    let until = self.now + 0.4 * self.slot_ms;
                    let asker = self.view.place(at).number;
                    self.relays.push(Relay { asker, asked: seq, seq: own, until });
                    self.send(target, Body::Ping(own), true);
                }
            }
            Body::Ack(seq) => {
                if let Some(index) = self.probes.iter().position(|probe| probe.seq == seq && probe.at == at) {
                    self.probes.swap_remove(index);
                    self.health = self.health.saturating_sub(1);
                } else if let Some(index) = self.relays.iter().position(|relay| relay.seq == seq) {
                    let relay = self.relays.swap_remove(index);
                    if let Some(asker) = self.view.index(relay.asker) {
                        self.send(asker, Body::Ack(relay.asked), true);
                    }
                } else if let Some(index) = self.probes.iter().position(|probe| probe.seq == seq) {
                    // Through a helper.
                    self.probes.swap_remove(index);
                }
            }
            Body::Nack(seq) => {
                self.probes.iter_mut().filter(|probe| probe.seq == seq).for_each(|probe| probe.nacked = true);
            }
            Body::Gossip => {}
            Body::Compare { from, span, parts } => self.compared(at, from, span, &parts),
            Body::Tell { from, span, back } if back => {
                let range = u32::from(from)..u32::from(from) + u32::from(span).min(TELL_SPAN);
                let newer: Vec<usize> = range
                    .filter_map(|number| self.view.index(number as u16))
                    .filter(|index| {
                        let member = self.view.member(*index);
                        let number = self.view.place(*index).number;
                        let told = news.iter().find(|entry| entry.number == number);
                        member.claim().is_some_and(|claim| {
                            told.is_none_or(|entry| {
                                (member.incarnation, claim.rank())
                                    > (entry.incarnation(base), entry.claim.rank())
                            })
                        })
                    })
                    .collect();
                if !newer.is_empty() {
                    self.send_of(at, Body::Tell { from, span, back: false }, &newer, false);
                }
            }
            Body::Tell { .. } => {}
        }
    }

    // ---- Repair ----

    /// Compares a range of numbers with another gateway: few are told, many by digests of parts.
    fn compare(&mut self, at: usize, from: u32, to: u32) {
        let span = to.saturating_sub(from);
        if span <= TELL_SPAN {
            return self.tell(at, from, to);
        }
        let part = span.div_ceil(PARTS);
        let parts = (0..span.div_ceil(part)).map(|index| {
            let first = from + index * part;
            self.view.digest_of(first, (first + part).min(to))
        });
        let body = Body::Compare { from: from as u16, span: span as u16, parts: parts.collect() };
        self.send(at, body, self.calm());
    }

    /// Little is to be told: repair goes before news then. With much to tell news repair most of it themselves.
    fn calm(&self) -> bool {
        self.news.len() < MUCH_NEWS
    }

    fn compared(&mut self, at: usize, from: u16, span: u16, parts: &[u32]) {
        if parts.is_empty() || parts.len() > PARTS as usize || span == 0 {
            return;
        }
        let (from, span) = (u32::from(from), u32::from(span));
        let part = span.div_ceil(parts.len() as u32);
        let mut differing: Vec<(u32, u32)> = parts
            .iter()
            .enumerate()
            .map(|(index, digest)| {
                let first = from + index as u32 * part;
                (first, (first + part).min(from + span), *digest)
            })
            .filter(|(first, last, digest)| first < last && self.view.digest_of(*first, *last) != *digest)
            .map(|(first, last, _)| (first, last))
            .collect();
        self.rng.shuffle(&mut differing);
        for (first, last) in differing.into_iter().take(TELLS_MOST) {
            self.compare(at, first, last);
        }
    }

    fn tell(&mut self, at: usize, from: u32, to: u32) {
        let known: Vec<usize> = (from..to)
            .filter_map(|number| self.view.index(number as u16))
            .filter(|index| self.view.member(*index).state != State::Unproven)
            .collect();
        let body = Body::Tell { from: from as u16, span: (to - from) as u16, back: true };
        self.send_of(at, body, &known, self.calm());
    }

    // ---- Claims ----

    fn hear(&mut self, teller: u16, entry: &Entry, base: u64) {
        let incarnation = entry.incarnation(base);
        let Some(at) = self.view.index(entry.number) else { return };
        if at == self.at {
            return self.hear_of_me(teller, entry.claim, incarnation);
        }
        let member = self.view.member(at);
        let held = member.claim().map_or((0, 0), |claim| (member.incarnation, claim.rank() + 1));
        if (incarnation, entry.claim.rank() + 1) <= held {
            if let Claim::Suspect(by) = entry.claim {
                if incarnation == member.incarnation && member.state == State::Suspect {
                    self.voice(at, by);
                }
            }
            return;
        }
        let cause = Cause::Told(teller);
        match entry.claim {
            Claim::Alive => self.settle(at, State::Alive, incarnation, entry.epoch, cause),
            Claim::Leaving => self.settle(at, State::Leaving, incarnation, entry.epoch, cause),
            Claim::Gone => self.settle(at, State::Gone, incarnation, entry.epoch, cause),
            Claim::Suspect(by) => {
                if incarnation > member.incarnation {
                    self.settle(at, State::Alive, incarnation, entry.epoch, cause);
                }
                self.suspect(at, by, cause);
            }
        }
    }

    /// What others hold of this gateway's own number.
    fn hear_of_me(&mut self, teller: u16, claim: Claim, incarnation: u64) {
        if self.yielded {
            // The one that stayed has left or died: the number is free again.
            if matches!(claim, Claim::Gone | Claim::Leaving) && incarnation >= self.incarnation {
                (self.yielded, self.rival_claims) = (false, 0);
                self.bump(incarnation);
                self.own(State::Alive, Cause::TakenBack(teller));
            }
            return;
        }
        let state = if self.leaving { State::Leaving } else { State::Alive };
        if incarnation > self.incarnation {
            // Nobody but a process of this number claims a life: one of before whose clock was ahead, or one beside.
            self.rival_claims += 1;
            let rival = self.rival_claims >= RIVAL_CLAIMS;
            let mark = |incarnation: u64| incarnation & ((1 << MARK_BITS) - 1);
            if rival && mark(incarnation) < mark(self.incarnation) {
                self.yielded = true;
                self.probes.clear();
                self.incarnation = incarnation;
                self.view.set(self.now, self.at, State::Alive, incarnation, self.epoch);
                self.forget_news(self.at);
                return self.note(self.at, state, Cause::Yields);
            }
            self.bump(incarnation);
            self.own(state, if rival { Cause::Rival } else { Cause::ClockWentBack });
        } else if incarnation == self.incarnation
            && claim.rank() > 0
            && !(self.leaving && claim == Claim::Leaving)
        {
            self.counts.taken_back += 1;
            self.health = (self.health + 1).min(HEALTH_MOST);
            self.bump(incarnation);
            self.own(state, Cause::TakenBack(teller));
        }
    }

    /// A higher incarnation than `over`, with this life's mark.
    fn bump(&mut self, over: u64) {
        let mark = self.incarnation & ((1 << MARK_BITS) - 1);
        self.incarnation = (((over >> MARK_BITS) + 1) << MARK_BITS) | mark;
    }

    fn own(&mut self, state: State, cause: Cause) {
        let from = self.view.set(self.now, self.at, state, self.incarnation, self.epoch);
        self.note(self.at, from, cause);
        self.spread(self.at);
    }

    /// A member has another state or life.
    fn settle(&mut self, at: usize, state: State, incarnation: u64, epoch: u32, cause: Cause) {
        let member = self.view.member(at);
        let same_life = (incarnation >> MARK_BITS) != (member.incarnation >> MARK_BITS)
            && (incarnation ^ member.incarnation) & ((1 << MARK_BITS) - 1) == 0;
        if member.state == State::Gone && state == State::Alive && same_life {
            self.counts.wrongly_gone += 1;
        }
        self.suspicions.remove(&at);
        let from = self.view.set(self.now, at, state, incarnation, epoch);
        self.note(at, from, cause);
        // Taken back: else, with much to tell, word of the suspicion would outrun it everywhere.
        self.spread_as(at, matches!(from, State::Suspect | State::Gone) && state == State::Alive);
    }

    fn suspect(&mut self, at: usize, by: u16, cause: Cause) {
        match self.view.member(at).state {
            State::Alive => {}
            State::Suspect => return self.voice(at, by),
            // Never heard of: nothing to suspect.
            State::Unproven | State::Leaving | State::Gone => return,
        }
        self.counts.suspected += u64::from(by == self.me);
        let (incarnation, epoch) = (self.view.member(at).incarnation, self.view.member(at).epoch);
        let from = self.view.set(self.now, at, State::Suspect, incarnation, epoch);
        self.view.contact(at).by = by;
        self.suspicions.insert(at, Suspicion { since: self.now, voices: BTreeSet::from([by]) });
        self.note(at, from, cause);
        self.spread(at);
        // It hears of it from here at once: if it lives it takes it back before anyone acts on it.
        if by == self.me {
            self.send(at, Body::Gossip, false);
        }
    }

    /// One more gateway did not reach a suspect.
    fn voice(&mut self, at: usize, by: u16) {
        let Some(suspicion) = self.suspicions.get_mut(&at) else { return };
        if suspicion.voices.len() <= VOICES && suspicion.voices.insert(by) {
            self.view.contact(at).by = by;
            self.spread(at);
        }
    }

    /// When a suspicion is over, ms: Lifeguard's fall from the longest to the shortest with the voices.
    fn over(&self, suspicion: &Suspicion) -> f64 {
        let others = self.view.count(State::Alive).saturating_sub(1);
        let wanted = VOICES.min(others);
        let heard = suspicion.voices.len() - 1;
        let fall = if wanted == 0 { 1.0 } else { ((heard + 1) as f64).ln() / ((wanted + 1) as f64).ln() };
        let slots = SUSPECT_MOST - (SUSPECT_MOST - SUSPECT_LEAST) * fall.min(1.0);
        suspicion.since + slots * self.slot_ms * (1.0 + f64::from(self.health) / 4.0)
    }

    fn run_suspicions(&mut self) {
        let due: Vec<usize> = (self.suspicions.iter())
            .filter(|(_, suspicion)| self.now >= self.over(suspicion))
            .map(|(at, _)| *at)
            .collect();
        for at in due {
            // It was heard meanwhile, and has not heard that it is suspected: that is told again, not acted on.
            let since = self.suspicions[&at].since;
            if self.view.member(at).heard > since {
                if let Some(suspicion) = self.suspicions.get_mut(&at) {
                    suspicion.since = self.now;
                }
                self.send(at, Body::Gossip, false);
                continue;
            }
            let (incarnation, epoch) = (self.view.member(at).incarnation, self.view.member(at).epoch);
            self.settle(at, State::Gone, incarnation, epoch, Cause::SuspicionOver);
        }
    }

    fn note(&mut self, at: usize, from: State, cause: Cause) {
        let to = self.view.member(at).state;
        if self.changes.len() >= CHANGES_MOST {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at: self.now, number: self.view.place(at).number, from, to, cause });
    }

    // ---- Shares ----

    fn run_shares(&mut self) {
        // A gateway that leaves votes on for the others; one that yields has no voice.
        if self.yielded {
            return;
        }
        let leader = self.view.members().find(|(_, member)| member.state == State::Alive);
        let leader = leader.map_or(self.me, |(place, _)| place.number);
        // A while into the period: what changed at its seam is known to most by then.
        if self.now - f64::from(self.period) * PERIOD_MS > 0.1 * PERIOD_MS {
            self.shares.vote(self.period, leader);
        }
        let view = &self.view;
        let living = || {
            let alive = view.members().filter(|(_, member)| member.state == State::Alive);
            Bits::of(alive.map(|(place, _)| place.number))
        };
        if !self.leaving && self.shares.issue(self.period, living) {
            self.grant_told = 0;
        }
    }

    fn hot_facts(&self) -> bool {
        let ballot = self.vote_told < self.retell && self.shares.ballot(self.period).is_some();
        ballot || (self.grant_told < self.retell && self.shares.grant().is_some())
    }

    // ---- News ----

    fn spread(&mut self, at: usize) {
        self.spread_as(at, false);
    }

    fn spread_as(&mut self, at: usize, taken_back: bool) {
        self.forget_news(at);
        if self.view.len() < 2 || (self.yielded && at == self.at) {
            return;
        }
        let class = match self.view.member(at).state {
            // What is taken back must outrun what it takes back.
            _ if at == self.at || taken_back => 0,
            State::Suspect | State::Leaving => 1,
            State::Gone => 2,
            State::Alive | State::Unproven => 3,
        };
        self.news.insert((class, 0, at));
        self.news_of.insert(at, (class, 0));
    }

    fn forget_news(&mut self, at: usize) {
        if let Some((class, told)) = self.news_of.remove(&at) {
            self.news.remove(&(class, told, at));
        }
    }

    fn run_gossip(&mut self) {
        if self.yielded
            || self.now < self.gossip_at + GOSSIP_MS
            || (self.news.is_empty() && !self.hot_facts())
        {
            return;
        }
        self.gossip_at = self.now;
        for _ in 0..FANOUT {
            // What stands by for pings and answers is not spent on news.
            if self.budget < 0.1 * self.rate {
                self.counts.held_back += 1;
                return;
            }
            if let Some(at) = self.any(|member| matches!(member.state, State::Alive | State::Suspect)) {
                self.send(at, Body::Gossip, false);
            }
        }
    }

    /// Entries for a datagram: of the receiver if it is accused, then news, the least told first, up to `room` bytes.
    fn pick_news(&mut self, to: usize, mut room: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let base = self.incarnation;
        let entry = |view: &View, at: usize| {
            let member = view.member(at);
            let claim = member.claim()?;
            Some(Entry::new(view.place(at).number, claim, member.incarnation, member.epoch, base))
        };
        let accused = !matches!(self.view.member(to).state, State::Alive | State::Unproven);
        if let Some(accusation) = entry(&self.view, to).filter(|_| accused) {
            room = room.saturating_sub(accusation.bytes());
            entries.push(accusation);
        }
        let mut told = Vec::new();
        for (class, times, at) in &self.news {
            // It knows best itself. Counted as told all the same: between two that live, news of each other would else
            // stay news for ever, and use up all that may be sent.
            if *at == to {
                told.push((*class, *times, *at));
                continue;
            }
            let Some(found) = entry(&self.view, *at) else { continue };
            let bytes = found.bytes();
            if bytes > room {
                break;
            }
            room -= bytes;
            entries.push(found);
            told.push((*class, *times, *at));
        }
        for (class, times, at) in told {
            self.news.remove(&(class, times, at));
            if times + 1 < self.retell {
                self.news.insert((class, times + 1, at));
                self.news_of.insert(at, (class, times + 1));
            } else {
                self.news_of.remove(&at);
            }
        }
        entries
    }

    // ---- Datagrams ----

    fn drop(&mut self, why: Dropped) {
        self.counts.dropped[why as usize] += 1;
    }

    /// Whether a datagram of this member is taken: so many a second of all, and of each a fourth of them.
    fn admit(&mut self, at: usize) -> bool {
        let gap = (self.now - self.taken_at) / 1_000.0;
        self.taken = (self.taken + gap * self.mail_per_s).min(self.mail_per_s);
        self.taken_at = self.now;
        let (now, each) = (self.now, (self.mail_per_s / 4.0).max(10.0));
        let member = self.view.contact(at);
        let gap = ((now - member.mail_at) / 1_000.0).min(1.0);
        member.mail = (f64::from(member.mail) + gap * each).min(each) as f32;
        member.mail_at = now;
        // Else one that floods would use up what all others need.
        if member.mail < 1.0 || self.taken < 1.0 {
            return false;
        }
        member.mail -= 1.0;
        self.taken -= 1.0;
        true
    }

    fn send(&mut self, at: usize, body: Body, urgent: bool) {
        self.send_with(at, body, None, urgent);
    }

    fn send_of(&mut self, at: usize, body: Body, members: &[usize], urgent: bool) {
        self.send_with(at, body, Some(members), urgent);
    }

    /// Sends a datagram if there is room for one: urgent ones may use up what a second brings beforehand.
    fn send_with(&mut self, at: usize, body: Body, of: Option<&[usize]>, urgent: bool) {
        if self.yielded || at == self.at {
            return;
        }
        // An answer that is not sent passes for a death: answers may use up what the next second brings, pings half.
        let answer = matches!(body, Body::Ack(_) | Body::Nack(_));
        let least = if answer {
            1.0 - self.rate
        } else if urgent {
            -0.5 * self.rate
        } else {
            1.0
        };
        if self.budget < least {
            self.counts.held_back += 1;
            return;
        }
        let (from, roster, incarnation) = (self.me, self.roster, self.incarnation);
        let digest = self.view.digest() as u32;
        let news = Vec::new();
        let (epoch, leaving) = (self.epoch, self.leaving);
        let mut packet = Packet {
            from,
            roster,
            incarnation,
            epoch,
            leaving,
            digest,
            body,
            ballot: None,
            grant: None,
            news,
        };
        let small = |bits: &Bits| bits.bytes() <= 50;
        // Votes and grants take a third of a datagram in a fleet of hundreds: with much to tell, one in three has them.
        let facts = self.calm() || self.counts.sent.is_multiple_of(3);
        if of.is_none() && facts {
            packet.ballot = self.shares.ballot(self.period).filter(|_| self.vote_told < self.retell);
            packet.grant = self.shares.grant().filter(|_| self.grant_told < self.retell).cloned();
            // Both fit one datagram only in a fleet of some hundreds; the grant ends what the ballot is for.
            let both = packet.ballot.is_some() && packet.grant.is_some();
            if both && !packet.ballot.as_ref().is_some_and(|ballot| small(&ballot.votes)) {
                if self.vote_told > self.grant_told {
                    packet.ballot = None;
                } else {
                    packet.grant = None;
                }
            }
            self.vote_told += u32::from(packet.ballot.is_some());
            self.grant_told += u32::from(packet.grant.is_some());
        }
        let mut room = packet.room();
        packet.news = match of {
            None => self.pick_news(at, room),
            Some(members) => {
                let mut entries = Vec::new();
                for index in members {
                    let member = self.view.member(*index);
                    let Some(claim) = member.claim() else { continue };
                    let number = self.view.place(*index).number;
                    let entry = Entry::new(number, claim, member.incarnation, member.epoch, incarnation);
                    if entry.bytes() > room {
                        break;
                    }
                    room -= entry.bytes();
                    entries.push(entry);
                }
                entries
            }
        };
        let Some(bytes) = packet.encode() else { return };
        self.budget -= 1.0;
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.out.push_back((self.view.place(at).number, bytes));
    }
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        gcd(b, a % b)
    }
}
