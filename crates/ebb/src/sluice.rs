//! The gateway's side: whether a request of a tenant whose trial lapses passes, waits, or is told when to come back.

use crate::curve::{Curve, Rank, Step};
use std::collections::{BTreeMap, VecDeque};

/// A stage's waits are reached over so long, ms: a moment's difference between two gateways is no step.
const RAMP_MS: f64 = 1_000.0;
/// Most of what a client has left beyond its expected time of service that a stage's wait takes.
const PART: [f64; 3] = [0.5, 0.25, 0.0];
/// Time kept free for the ways beside the expected time of service, ms.
const MARGIN_MS: f64 = 20.0;
/// So many requests may pass at once at a pace that wasn't used before.
const BURST: f64 = 4.0;
/// Least part of a share for those that give way first, however much the others ask.
const FLOOR_PART: f64 = 0.1;
/// Least and most time told to a client, ms.
const RETRY_MS: (f64, f64) = (20.0, 30_000.0);
/// Clients come back after a third of the time that they have left at most.
const RETURN_PART: f64 = 1.0 / 3.0;
/// A kept place is given up so long after its moment, ms.
const KEPT_MS: f64 = 1_000.0;
/// Requests that wait here: of one tenant, and of all.
const MOST_WAITING: (usize, usize) = (64, 256);
/// Time over which demand is averaged, ms.
const DEMAND_MS: f64 = 2_000.0;

/// A request that has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// In which order it gives way.
    pub rank: Rank,
    /// Time that it may be held, ms.
    pub left_ms: f64,
    /// Time that a server is expected to take, ms.
    pub expected_ms: f64,
    /// Its client has been told to come back before, as far as can be seen.
    pub again: bool,
}

/// What becomes of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// It goes on at once.
    Pass,
    /// It goes on at `until`, ms of the caller's clock; [`Sluice::done`] is told then, or when its client has gone.
    Hold {
        /// That moment.
        until: f64,
    },
    /// It would be too late: its client is told at once, and has a place at that time.
    ComeBack {
        /// After so long, ms.
        retry_after_ms: f64,
    },
}

/// How a tenant stands here, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Standing {
    /// Who.
    pub tenant: String,
    /// Stage in force.
    pub stage: u32,
    /// Step that it came with.
    pub step: u64,
    /// Requests that wait.
    pub waiting: usize,
    /// Share of the pace, requests a second; infinite: not bound.
    pub per_s: f64,
    /// Requests that were held, and for how long in all, ms.
    pub held: (u64, f64),
    /// Requests that were told to come back.
    pub told: u64,
}

/// Demand, requests a second, averaged over [`DEMAND_MS`].
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    per_s: f64,
    at: f64,
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
    }

    fn get(mut self, now: f64) -> f64 {
        self.fade(now);
        self.per_s
    }
}

/// The pace of one rank: when the next request may pass (a generic cell rate).
#[derive(Debug, Clone, Copy, Default)]
struct Lane {
    next: f64,
    demand: Demand,
}

impl Lane {
    /// When a request that comes now may pass, at `per_s` requests a second.
    fn place(&self, now: f64, per_s: f64) -> f64 {
        match per_s.is_finite() {
            true => self.next.max(now - BURST * 1_000.0 / per_s),
            false => now,
        }
    }

    fn take(&mut self, place: f64, per_s: f64) {
        if per_s.is_finite() {
            self.next = place + 1_000.0 / per_s;
        }
    }
}

#[derive(Debug, Clone)]
struct Tenant {
    curve: Option<Curve>,
    /// Step and stage in force, and the stage before.
    step: u64,
    stage: u32,
    before: u32,
    entered: f64,
    /// A stage that is to come.
    coming: Option<(u64, u32, f64)>,
    share: f64,
    lanes: [Lane; 3],
    /// Moments of places that were told and are kept, by rank.
    kept: [VecDeque<f64>; 3],
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
            coming: None,
            share: f64::INFINITY,
            lanes: [Lane::default(); 3],
            kept: Default::default(),
            waiting: 0,
            held: (0, 0.0),
            told: 0,
        }
    }

    fn turn(&mut self, now: f64) {
        if let Some((step, stage, _)) = self.coming.filter(|(_, _, at)| *at <= now) {
            (self.before, self.step, self.stage, self.entered) = (self.stage, step, stage, now);
            self.coming = None;
        }
        for (lane, kept) in self.lanes.iter_mut().zip(&mut self.kept) {
            while kept.front().is_some_and(|moment| moment + KEPT_MS < now) {
                kept.pop_front();
                // Nobody came for it: the next one may have it.
                lane.next = lane.next.min(now);
            }
        }
    }

    fn step_of(&self, stage: u32) -> Step {
        self.curve.as_ref().map_or(Step::NONE, |curve| curve.step(stage))
    }

    /// Added wait of a rank as it is now, on the way from the stage before.
    fn wait(&self, now: f64, rank: Rank) -> f64 {
        let (from, to) = (self.step_of(self.before).wait(rank), self.step_of(self.stage).wait(rank));
        let part = ((now - self.entered) / RAMP_MS).clamp(0.0, 1.0);
        from + (to - from) * part
    }

    fn slowed(&self) -> bool {
        self.stage > 0 || self.coming.is_some()
    }

    /// Requests a second that a rank may pass here: bookings all of the share, reads what these leave, the rest what both
    /// leave.
    fn per_s(&self, now: f64, rank: Rank, gateways: usize) -> f64 {
        let pace = self.step_of(self.stage).pace;
        let share = if self.share.is_finite() { self.share.min(pace) } else { pace / gateways.max(1) as f64 };
        if !share.is_finite() {
            return f64::INFINITY;
        }
        let demand = |rank: Rank| self.lanes[rank as usize].demand.get(now);
        let left = match rank {
            Rank::Never => share,
            Rank::Later => share - demand(Rank::Never),
            Rank::First => share - demand(Rank::Never) - demand(Rank::Later),
        };
        left.max(FLOOR_PART * share).max(1e-3)
    }
}

/// All slowed tenants at one gateway. Without one it keeps nothing and costs a look at an empty map.
#[derive(Debug, Clone, Default)]
pub struct Sluice {
    tenants: BTreeMap<String, Tenant>,
    waiting: usize,
    gateways: usize,
}

impl Sluice {
    /// So many gateways there are: a share that was not told yet is an even one.
    pub fn fleet(&mut self, gateways: usize) {
        self.gateways = gateways;
    }

    /// A trial as the leader told it: `step` rises with each change, `stage` holds from `in_ms` on. What is not higher than
    /// known is dropped: a gateway never goes back. Whether it was news.
    pub fn told(&mut self, now: f64, tenant: &str, step: u64, stage: u32, in_ms: f64) -> bool {
        let entry = self.tenants.entry(tenant.to_owned()).or_insert_with(Tenant::new);
        entry.turn(now);
        if step <= entry.coming.map_or(entry.step, |(step, _, _)| step) {
            return false;
        }
        entry.coming = Some((step, stage, now + in_ms));
        entry.turn(now);
        true
    }

    /// The curves in force, by a new configuration.
    pub fn curves(&mut self, curve: impl Fn(&str) -> Option<Curve>) {
        for (name, tenant) in &mut self.tenants {
            tenant.curve = curve(name);
        }
    }

    /// Some tenant is slowed, or about to be.
    pub fn active(&self) -> bool {
        self.tenants.values().any(Tenant::slowed)
    }

    /// Shares of paces, as the leader answered; they hold until the next ones.
    pub fn shares(&mut self, shares: &BTreeMap<String, f64>) {
        for (name, per_s) in shares {
            if let Some(tenant) = self.tenants.get_mut(name).filter(|_| *per_s >= 0.0) {
                tenant.share = *per_s;
            }
        }
    }

    /// Shares that are gone by, of tenants that are slowed.
    pub fn shares_held(&self) -> BTreeMap<String, f64> {
        let slowed = self.tenants.iter().filter(|(_, tenant)| tenant.slowed() && tenant.share.is_finite());
        slowed.map(|(name, tenant)| (name.clone(), tenant.share)).collect()
    }

    /// Requests a second that each slowed tenant sends here.
    pub fn demand(&self, now: f64) -> BTreeMap<String, f64> {
        let slowed = self.tenants.iter().filter(|(_, tenant)| tenant.slowed());
        let sum = |tenant: &Tenant| tenant.lanes.iter().map(|lane| lane.demand.get(now)).sum();
        slowed.map(|(name, tenant)| (name.clone(), sum(tenant))).collect()
    }

    /// What becomes of a request of this tenant.
    pub fn arrive(&mut self, now: f64, tenant: &str, arrival: &Arrival) -> Verdict {
        let Some(tenant) = self.tenants.get_mut(tenant) else { return Verdict::Pass };
        tenant.turn(now);
        // Also while a restored one's last wait runs off.
        if tenant.stage == 0 && now >= tenant.entered + RAMP_MS {
            return Verdict::Pass;
        }
        let Arrival { rank, left_ms, expected_ms, again } = *arrival;
        let at = rank as usize;
        let free_ms = (left_ms - expected_ms - MARGIN_MS).max(0.0);
        if !again {
            tenant.lanes[at].demand.note(now);
        } else if tenant.kept[at].pop_front().is_some() {
            // Its place, or that of one like it whose client came to another gateway.
            return Verdict::Pass;
        }
        let per_s = tenant.per_s(now, rank, self.gateways);
        let place = tenant.lanes[at].place(now, per_s);
        // Who comes back has waited. It passes before those that wait, at their cost, as long as there is a place in its time.
        if again && place <= now + free_ms {
            tenant.lanes[at].take(place, per_s);
            return Verdict::Pass;
        }
        let wait = tenant.wait(now, rank).min(PART[at] * free_ms);
        let until = place.max(now + wait);
        // A booking waits for nothing; a little ahead of the pace it may be.
        let latest = if rank == Rank::Never { now + BURST * 1_000.0 / per_s } else { now + free_ms };
        let full = tenant.waiting >= MOST_WAITING.0 || self.waiting >= MOST_WAITING.1;
        if until <= latest && rank == Rank::Never {
            tenant.lanes[at].take(place, per_s);
            return Verdict::Pass;
        }
        if until <= now + 1.0 && until <= latest {
            tenant.lanes[at].take(place, per_s);
            return Verdict::Pass;
        }
        if until <= latest && !full {
            tenant.lanes[at].take(place, per_s);
            tenant.waiting += 1;
            self.waiting += 1;
            tenant.held = (tenant.held.0 + 1, tenant.held.1 + (until - now));
            return Verdict::Hold { until };
        }
        tenant.told += 1;
        let retry_after_ms = (place - now).clamp(RETRY_MS.0, RETRY_MS.1);
        // A place is kept for who can be there: else it would be lost to the others.
        if !full && retry_after_ms <= left_ms * RETURN_PART {
            tenant.lanes[at].take(place, per_s);
            tenant.kept[at].push_back(now + retry_after_ms);
        }
        Verdict::ComeBack { retry_after_ms }
    }

    /// A request that was held goes on, or its client has gone.
    pub fn done(&mut self, tenant: &str) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.waiting = tenant.waiting.saturating_sub(1);
        }
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// How each tenant that ever was slowed stands here.
    pub fn standings(&mut self, now: f64) -> Vec<Standing> {
        let tenants = self.tenants.iter_mut().map(|(name, tenant)| {
            tenant.turn(now);
            Standing {
                tenant: name.clone(),
                stage: tenant.stage,
                step: tenant.step,
                waiting: tenant.waiting,
                per_s: tenant.share.min(tenant.step_of(tenant.stage).pace),
                held: tenant.held,
                told: tenant.told,
            }
        });
        tenants.collect()
    }
}
