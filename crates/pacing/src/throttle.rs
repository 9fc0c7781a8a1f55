//! The gateway's side: whether a request of a tenant whose trial has lapsed passes, is delayed, or is to be retried later.

use crate::stage_schedule::{Rank, StageEffect, StageSchedule};
use std::collections::{BTreeMap, VecDeque};

/// A stage's delays are reached over so long, ms, so that two gateways which enter it at slightly different times behave
/// alike.
const RAMP_MS: f64 = 1_000.0;
/// Most of a client's time beyond the expected service time that a stage's delay takes, by rank.
const WAIT_PART: [f64; 3] = [0.5, 0.25, 0.0];
/// Time kept free for the ways beside the expected time of service, ms.
const MARGIN_MS: f64 = 20.0;
/// So many requests may pass at once at a pace that wasn't used before.
const BURST: f64 = 4.0;
/// Least part of a share for those that give way first, however much the others ask.
const FLOOR_PART: f64 = 0.1;
/// Least share, requests a second: a place comes at some time.
const LEAST_PER_S: f64 = 0.01;
/// Places are given out for so long ahead, ms: what bookings and reads take beyond the pace delays the others by no more.
const FARTHEST_MS: f64 = 3_000.0;
/// Least and most time after which a client is to retry, ms.
const RETRY_LEAST_MS: f64 = 20.0;
const RETRY_MOST_MS: f64 = 30_000.0;
/// Clients retry after a third of the time that they have left at most.
const RETURN_PART: f64 = 1.0 / 3.0;
/// A reserved place is released so long after its time, ms.
const KEPT_MS: f64 = 1_000.0;
/// A client may retry so much before its time, ms.
const EARLY_MS: f64 = 50.0;
/// Most pending retries that are kept of a tenant and rank.
const MOST_AWAY: usize = 256;
/// Most requests that are delayed here at once, of one tenant and of all.
const MOST_WAITING_OF_TENANT: usize = 64;
const MOST_WAITING: usize = 256;
/// A gateway that begins to slow a tenant goes by waits alone for so long, ms: its demand must be known for a share.
const SETTLE_MS: f64 = 2_000.0;
/// Part of a client's remaining time for which the pace delays it at most; beyond that it is told to retry.
const PACE_PART: f64 = 0.3;
/// Time over which demand is averaged, ms.
const DEMAND_MS: f64 = 4_000.0;

/// A request that has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// In which order it gives way.
    pub rank: Rank,
    /// Time that it may be held, ms.
    pub remaining_ms: f64,
    /// Time that a server is expected to take, ms.
    pub expected_ms: f64,
    /// Its client has been told to come back before, as far as can be seen.
    pub is_retry: bool,
}

/// What becomes of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// It goes on at once.
    Pass,
    /// It goes on at `until`, ms of the caller's clock; [`Throttle::end_delay`] is told then, or when its client has gone.
    Delay {
        /// That moment.
        until: f64,
    },
    /// It would be too late: its client is told at once, and has a place at that time.
    RetryLater {
        /// After so long, ms.
        retry_after_ms: f64,
    },
}

/// How a tenant stands here, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantStatus {
    /// Who.
    pub tenant: String,
    /// Stage in force.
    pub stage: u32,
    /// StageEffect that it came with.
    pub step: u64,
    /// Requests that wait.
    pub waiting: usize,
    /// Share of the pace, requests a second; infinite: not bound.
    pub per_s: f64,
    /// Requests that were held, and for how long in all, ms.
    pub delayed: (u64, f64),
    /// Requests that were told to come back.
    pub retry_later_count: u64,
}

/// Demand, requests a second, averaged over [`DEMAND_MS`].
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    per_s: f64,
    at: f64,
    /// Since when it is counted.
    since: Option<f64>,
}

impl Demand {
    fn fade(&mut self, now: f64) {
        let gap = (now - self.at).max(0.0);
        self.per_s *= (-gap / DEMAND_MS).exp();
        self.at = now.max(self.at);
    }

    fn note(&mut self, now: f64) {
        self.fade(now);
        self.per_s += 1_000.0 / DEMAND_MS;
        self.since.get_or_insert(now);
    }

    /// Of so short a time that little has come in, the average would be too low.
    fn get(mut self, now: f64) -> f64 {
        self.fade(now);
        let known_ms = self.since.map_or(0.0, |since| now - since).max(DEMAND_MS / 8.0);
        self.per_s / (1.0 - (-known_ms / DEMAND_MS).exp())
    }
}

/// A pace: when the next request may pass (a generic cell rate).
#[derive(Debug, Clone, Copy, Default)]
struct Lane {
    next: f64,
}

impl Lane {
    /// When a request that comes now may pass, at `per_s` requests a second.
    fn place(&self, now: f64, per_s: f64) -> f64 {
        match per_s.is_finite() {
            true => self.next.max(now - BURST * 1_000.0 / per_s),
            false => now,
        }
    }

    /// Uses up the next place.
    fn take(&mut self, now: f64, per_s: f64) {
        if per_s.is_finite() {
            self.next = (self.place(now, per_s) + 1_000.0 / per_s).min(now + FARTHEST_MS);
        }
    }

    fn give_back(&mut self, per_s: f64) {
        if per_s.is_finite() {
            self.next -= 1_000.0 / per_s;
        }
    }
}

/// The paces of one tenant here. All requests use up places of `all`; bookings and reads pass by paces of their own, and are at most
/// ahead of it: so those that give way first have what the others leave, and never less than the floor.
#[derive(Debug, Clone, Copy, Default)]
struct Lanes {
    all: Lane,
    floor: Lane,
    reads: Lane,
    bookings: Lane,
}

/// Requests a second of these paces; infinite: not bound.
#[derive(Debug, Clone, Copy)]
struct Paces {
    all: f64,
    floor: f64,
    reads: f64,
}

impl Lanes {
    fn place(&self, now: f64, rank: Rank, paces: Paces) -> f64 {
        match rank {
            Rank::Deferrable => self.all.place(now, paces.all).min(self.floor.place(now, paces.floor)),
            Rank::Interactive => self.reads.place(now, paces.reads),
            Rank::Booking => self.bookings.place(now, paces.all),
        }
    }

    fn own(&mut self, rank: Rank, paces: Paces) -> (&mut Lane, f64) {
        match rank {
            Rank::Deferrable => (&mut self.floor, paces.floor),
            Rank::Interactive => (&mut self.reads, paces.reads),
            Rank::Booking => (&mut self.bookings, paces.all),
        }
    }

    fn take(&mut self, now: f64, rank: Rank, paces: Paces) {
        self.all.take(now, paces.all);
        let (own, per_s) = self.own(rank, paces);
        own.take(now, per_s);
    }

    fn give_back(&mut self, rank: Rank, paces: Paces) {
        self.all.give_back(paces.all);
        let (own, per_s) = self.own(rank, paces);
        own.give_back(per_s);
    }
}

/// A client that was told to retry.
#[derive(Debug, Clone, Copy)]
struct Away {
    /// When it is expected, ms.
    comes: f64,
    /// A place is reserved for it.
    kept: bool,
}

/// A stage that is to come.
#[derive(Debug, Clone, Copy)]
struct ComingStage {
    step: u64,
    stage: u32,
    /// When it begins, ms.
    at: f64,
}

/// A tenant that is slowed, or was.
#[derive(Debug, Clone)]
struct Tenant {
    curve: Option<StageSchedule>,
    /// StageEffect and stage in force, and the stage before.
    step: u64,
    stage: u32,
    before: u32,
    entered: f64,
    /// Since when it is slowed.
    since: f64,
    coming: Option<ComingStage>,
    share: f64,
    lanes: Lanes,
    /// By rank.
    demand: [Demand; 3],
    /// Clients that were told to retry and haven't, by rank.
    away: [VecDeque<Away>; 3],
    waiting: usize,
    held: (u64, f64),
    told: u64,
}

impl Tenant {
    fn new() -> Tenant {
        Tenant {
            curve: None,
            step: 0,
            stage: 0,
            before: 0,
            entered: f64::NEG_INFINITY,
            since: f64::NEG_INFINITY,
            coming: None,
            share: f64::INFINITY,
            lanes: Lanes::default(),
            demand: [Demand::default(); 3],
            away: Default::default(),
            waiting: 0,
            held: (0, 0.0),
            told: 0,
        }
    }

    /// Enters the stage whose time has come, and releases places that nobody came for.
    fn advance(&mut self, now: f64) {
        if let Some(ComingStage { step, stage, at }) = self.coming.filter(|coming| coming.at <= now) {
            if self.stage == 0 && now >= self.entered + RAMP_MS {
                self.since = at;
            }
            (self.before, self.step, self.stage, self.entered) = (self.stage, step, stage, at);
            self.coming = None;
        }
        let paces = self.paces(now);
        for rank in [Rank::Deferrable, Rank::Interactive, Rank::Booking] {
            let away = &mut self.away[rank as usize];
            while away.front().is_some_and(|client| client.comes + KEPT_MS < now) {
                if away.pop_front().is_some_and(|client| client.kept) {
                    self.lanes.give_back(rank, paces);
                }
            }
        }
    }

    /// A client that was told to retry about now, or another in its place where that one went to another gateway.
    fn take_returning(&mut self, now: f64, rank: Rank) -> Option<Away> {
        let away = &mut self.away[rank as usize];
        away.front().filter(|client| client.comes <= now + EARLY_MS)?;
        away.pop_front()
    }

    /// Tells a client to retry when there is a place, and reserves it where the client can be back for it.
    fn turn_away(&mut self, now: f64, rank: Rank, place_in_ms: f64, left_ms: f64, full: bool) -> Verdict {
        self.told += 1;
        let retry_after_ms = place_in_ms.clamp(RETRY_LEAST_MS, RETRY_MOST_MS);
        let returns_ms = left_ms * RETURN_PART;
        let kept = !full && retry_after_ms <= returns_ms;
        if kept {
            let paces = self.paces(now);
            self.lanes.take(now, rank, paces);
        }
        let away = &mut self.away[rank as usize];
        if away.len() < MOST_AWAY {
            away.push_back(Away { comes: now + retry_after_ms.min(returns_ms), kept });
        }
        Verdict::RetryLater { retry_after_ms }
    }

    fn step_of(&self, stage: u32) -> StageEffect {
        self.curve.as_ref().map_or(StageEffect::NONE, |curve| curve.effect(stage))
    }

    /// Added wait of a rank as it is now, on the way from the stage before.
    fn wait(&self, now: f64, rank: Rank) -> f64 {
        let (from, to) = (self.step_of(self.before).wait_ms(rank), self.step_of(self.stage).wait_ms(rank));
        let part = ((now - self.entered) / RAMP_MS).clamp(0.0, 1.0);
        from + (to - from) * part
    }

    /// Also while a restored one's last wait runs off.
    fn slowed(&self, now: f64) -> bool {
        self.stage > 0 || self.coming.is_some() || now < self.entered + RAMP_MS
    }

    /// Bookings may use up all of the share, reads what these leave, the rest what both leave, or the floor.
    fn paces(&self, now: f64) -> Paces {
        // Waits alone slow until its demand is known, here and to the leader.
        let settled = now >= self.since + SETTLE_MS;
        let all = self.share.min(self.step_of(self.stage).pace_per_s).max(LEAST_PER_S);
        if !settled || !all.is_finite() {
            return Paces { all: f64::INFINITY, floor: f64::INFINITY, reads: f64::INFINITY };
        }
        let floor = FLOOR_PART * all;
        let bookings = self.demand[Rank::Booking as usize].get(now);
        Paces { all, floor, reads: (all - bookings).max(floor) }
    }
}

/// All slowed tenants at one gateway. Without one it keeps nothing and costs a look at an empty map.
#[derive(Debug, Clone, Default)]
pub struct Throttle {
    tenants: BTreeMap<String, Tenant>,
    waiting: usize,
}

impl Throttle {
    /// A trial as the leader told it: `step` rises with each change, `stage` holds from `in_ms` on. What is not higher than
    /// known is dropped: a gateway never goes back. Whether it was news.
    pub fn set_stage(&mut self, now: f64, tenant: &str, step: u64, stage: u32, in_ms: f64) -> bool {
        let entry = self.tenants.entry(tenant.to_owned()).or_insert_with(Tenant::new);
        entry.advance(now);
        if step <= entry.coming.map_or(entry.step, |coming| coming.step) {
            return false;
        }
        entry.coming = Some(ComingStage { step, stage, at: now + in_ms });
        entry.advance(now);
        true
    }

    /// The curves in force, by a new configuration.
    pub fn set_schedules(&mut self, curve: impl Fn(&str) -> Option<StageSchedule>) {
        for (name, tenant) in &mut self.tenants {
            tenant.curve = curve(name);
        }
    }

    /// Some tenant is slowed, or about to be.
    pub fn is_slowing(&self, now: f64) -> bool {
        self.tenants.values().any(|tenant| tenant.slowed(now))
    }

    /// Shares of paces, as the leader answered; they hold until the next ones.
    pub fn set_shares(&mut self, shares: &BTreeMap<String, f64>) {
        for (name, per_s) in shares {
            if let Some(tenant) = self.tenants.get_mut(name).filter(|_| *per_s >= 0.0) {
                tenant.share = *per_s;
            }
        }
    }

    /// Shares that are gone by, of tenants that are slowed.
    pub fn shares_in_use(&self, now: f64) -> BTreeMap<String, f64> {
        let slowed = self.tenants.iter().filter(|(_, tenant)| tenant.slowed(now) && tenant.share.is_finite());
        slowed.map(|(name, tenant)| (name.clone(), tenant.share)).collect()
    }

    /// Requests a second that each slowed tenant sends here.
    pub fn demand(&self, now: f64) -> BTreeMap<String, f64> {
        let slowed = self.tenants.iter().filter(|(_, tenant)| tenant.slowed(now));
        let sum = |tenant: &Tenant| tenant.demand.iter().map(|demand| demand.get(now)).sum();
        slowed.map(|(name, tenant)| (name.clone(), sum(tenant))).collect()
    }

    /// What becomes of a request of this tenant.
    pub fn admit(&mut self, now: f64, tenant: &str, arrival: &Arrival) -> Verdict {
        let Some(tenant) = self.tenants.get_mut(tenant) else { return Verdict::Pass };
        tenant.advance(now);
        if !tenant.slowed(now) {
            return Verdict::Pass;
        }
        let Arrival { rank, remaining_ms: left_ms, expected_ms, is_retry: again } = *arrival;
        let free_ms = (left_ms - expected_ms - MARGIN_MS).max(0.0);
        // A short deadline may be a first try all the same: no more count as retries than were told to.
        let back = if again { tenant.take_returning(now, rank) } else { None };
        if back.is_none() {
            tenant.demand[rank as usize].note(now);
        }
        if back.is_some_and(|client| client.kept) {
            return Verdict::Pass;
        }
        let full = tenant.waiting >= MOST_WAITING_OF_TENANT || self.waiting >= MOST_WAITING;
        let paces = tenant.paces(now);
        let place = tenant.lanes.place(now, rank, paces);
        // A client that retries has waited: it passes before the delayed ones as long as there is a place in its time.
        if back.is_some() && place <= now + free_ms {
            tenant.lanes.take(now, rank, paces);
            return Verdict::Pass;
        }
        let wait = tenant.wait(now, rank).min(WAIT_PART[rank as usize] * free_ms);
        let until = place.max(now + wait);
        // A booking is not delayed; it may be a little ahead of the pace.
        let latest = match rank {
            Rank::Booking => now + BURST * 1_000.0 / paces.all,
            _ => now + free_ms.min(wait.max(PACE_PART * left_ms)),
        };
        let at_once = rank == Rank::Booking || until <= now + 1.0;
        if until <= latest && at_once {
            tenant.lanes.take(now, rank, paces);
            return Verdict::Pass;
        }
        if until <= latest && !full {
            tenant.lanes.take(now, rank, paces);
            tenant.waiting += 1;
            self.waiting += 1;
            tenant.held = (tenant.held.0 + 1, tenant.held.1 + (until - now));
            return Verdict::Delay { until };
        }
        tenant.turn_away(now, rank, place - now, left_ms, full)
    }

    /// A request that was held goes on, or its client has gone.
    pub fn end_delay(&mut self, tenant: &str) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.waiting = tenant.waiting.saturating_sub(1);
        }
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// How each tenant that ever was slowed stands here.
    pub fn tenant_statuses(&mut self, now: f64) -> Vec<TenantStatus> {
        let tenants = self.tenants.iter_mut().map(|(name, tenant)| {
            tenant.advance(now);
            TenantStatus {
                tenant: name.clone(),
                stage: tenant.stage,
                step: tenant.step,
                waiting: tenant.waiting,
                per_s: tenant.share.min(tenant.step_of(tenant.stage).pace_per_s),
                delayed: tenant.held,
                retry_later_count: tenant.told,
            }
        });
        tenants.collect()
    }
}
