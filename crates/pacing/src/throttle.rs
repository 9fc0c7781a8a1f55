//! Runs in every gateway: decides whether a request of a tenant whose trial has lapsed passes, is delayed, or has to be
//! retried later.

use crate::stage_schedule::{Rank, StageEffect, StageSchedule};
use std::collections::{BTreeMap, VecDeque};

/// When a stage begins, the delay changes gradually from that of the previous stage over this time, ms, so that
/// gateways which enter the stage at slightly different times behave alike.
const RAMP_MS: f64 = 1_000.0;
/// Maximum fraction of a client's spare time (the time beyond the expected service time) that a stage's delay takes, by
/// rank.
const MAX_WAIT_FRACTION: [f64; 3] = [0.5, 0.25, 0.0];
/// Time reserved for the network in addition to the expected service time, ms.
const NETWORK_MARGIN_MS: f64 = 20.0;
/// Number of requests that may pass at once after a time without requests.
const BURST: f64 = 4.0;
/// Minimum fraction of a share for deferrable requests, regardless of the demand of the other ranks.
const FLOOR_FRACTION: f64 = 0.1;
/// Minimum share, in requests per second, so that there always is a next slot.
const MIN_SHARE_PER_S: f64 = 0.01;
/// Slots are assigned at most this far ahead, ms: bookings and reads beyond the pace delay other requests by no more
/// than this.
const MAX_AHEAD_MS: f64 = 3_000.0;
/// Minimum and maximum time after which a client is asked to retry, ms.
const MIN_RETRY_AFTER_MS: f64 = 20.0;
const MAX_RETRY_AFTER_MS: f64 = 30_000.0;
/// A client retries after at most this fraction of its remaining time.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;
/// A reserved slot is released this long after its time, ms.
const RESERVATION_MS: f64 = 1_000.0;
/// A retry may arrive this much before its expected time, ms.
const EARLY_RETRY_MS: f64 = 50.0;
/// Maximum number of pending retries that are tracked per tenant and rank.
const MAX_PENDING_RETRIES: usize = 256;
/// Maximum number of requests that this gateway delays concurrently, per tenant and in total.
const MAX_DELAYED_PER_TENANT: usize = 64;
const MAX_DELAYED: usize = 256;
/// When throttling of a tenant starts, a gateway uses only the stage's delays for this time, ms: it needs a measured
/// demand to get a share.
const SETTLE_MS: f64 = 2_000.0;
/// Maximum fraction of a client's remaining time for which the pace delays its request; beyond that the client is
/// asked to retry.
const MAX_PACE_WAIT_FRACTION: f64 = 0.3;
/// Time constant of the moving average of demand, ms.
const DEMAND_AVERAGE_MS: f64 = 4_000.0;

/// An incoming request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// How strongly it is throttled.
    pub rank: Rank,
    /// Time that remains until the request must be answered, ms.
    pub remaining_ms: f64,
    /// Expected service time, ms.
    pub expected_ms: f64,
    /// The client seems to have been asked to retry before.
    pub is_retry: bool,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// It is forwarded at once.
    Pass,
    /// It is forwarded later. The caller must call [`Throttle::end_delay`] then, or when the client disconnects.
    Delay {
        /// When to forward it, ms on the caller's clock.
        until: f64,
    },
    /// A delay would take too much of the client's time: the client is asked at once to retry, when there is a slot
    /// for it.
    RetryLater {
        /// Time after which the client should retry, ms.
        retry_after_ms: f64,
    },
}

/// State of a tenant at this gateway, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantStatus {
    /// Name of the tenant.
    pub tenant: String,
    /// Current stage.
    pub stage: u32,
    /// Number of the change of the trial that set the stage.
    pub step: u64,
    /// Number of requests that are being delayed.
    pub waiting: usize,
    /// Share of the pace, in requests per second; infinite: no limit.
    pub per_s: f64,
    /// Number of requests delayed so far, and the sum of their delays, ms.
    pub delayed: (u64, f64),
    /// Number of requests whose client was asked to retry.
    pub retry_later_count: u64,
}

/// Demand in requests per second: an exponential moving average over [`DEMAND_AVERAGE_MS`].
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    per_s: f64,
    /// Time of the last update, ms.
    updated: f64,
    /// Time of the first request, ms.
    first_request: Option<f64>,
}

impl Demand {
    fn decay(&mut self, now: f64) {
        let elapsed = (now - self.updated).max(0.0);
        self.per_s *= (-elapsed / DEMAND_AVERAGE_MS).exp();
        self.updated = now.max(self.updated);
    }

    fn record_request(&mut self, now: f64) {
        self.decay(now);
        self.per_s += 1_000.0 / DEMAND_AVERAGE_MS;
        self.first_request.get_or_insert(now);
    }

    /// The average, corrected for the short time since the first request: without that it would start too low.
    fn rate(mut self, now: f64) -> f64 {
        self.decay(now);
        let measured_ms =
            self.first_request.map_or(0.0, |first_request| now - first_request).max(DEMAND_AVERAGE_MS / 8.0);
        self.per_s / (1.0 - (-measured_ms / DEMAND_AVERAGE_MS).exp())
    }
}

/// Rate limiter of one pace: a generic cell rate algorithm (GCRA).
#[derive(Debug, Clone, Copy, Default)]
struct RateLimiter {
    /// Time of the next free slot, ms.
    next: f64,
}

impl RateLimiter {
    /// Time of the slot for a request that arrives now, at `per_s` requests per second.
    fn next_slot(&self, now: f64, per_s: f64) -> f64 {
        match per_s.is_finite() {
            true => self.next.max(now - BURST * 1_000.0 / per_s),
            false => now,
        }
    }

    /// Uses the next slot.
    fn take_slot(&mut self, now: f64, per_s: f64) {
        if per_s.is_finite() {
            self.next = (self.next_slot(now, per_s) + 1_000.0 / per_s).min(now + MAX_AHEAD_MS);
        }
    }

    fn return_slot(&mut self, per_s: f64) {
        if per_s.is_finite() {
            self.next -= 1_000.0 / per_s;
        }
    }
}

/// Rate limiters of one tenant at this gateway. Requests of every rank use slots of `all`. Bookings and reads pass at
/// paces of their own, also ahead of `all`, so deferrable requests get what the others leave, but at least the floor.
#[derive(Debug, Clone, Copy, Default)]
struct RateLimiters {
    all: RateLimiter,
    floor: RateLimiter,
    reads: RateLimiter,
    bookings: RateLimiter,
}

/// Paces of the rate limiters, in requests per second; infinite: no limit.
#[derive(Debug, Clone, Copy)]
struct Paces {
    all: f64,
    floor: f64,
    reads: f64,
}

impl RateLimiters {
    fn next_slot(&self, now: f64, rank: Rank, paces: Paces) -> f64 {
        match rank {
            Rank::Deferrable => {
                self.all.next_slot(now, paces.all).min(self.floor.next_slot(now, paces.floor))
            }
            Rank::Interactive => self.reads.next_slot(now, paces.reads),
            Rank::Booking => self.bookings.next_slot(now, paces.all),
        }
    }

    fn limiter_of(&mut self, rank: Rank, paces: Paces) -> (&mut RateLimiter, f64) {
        match rank {
            Rank::Deferrable => (&mut self.floor, paces.floor),
            Rank::Interactive => (&mut self.reads, paces.reads),
            Rank::Booking => (&mut self.bookings, paces.all),
        }
    }

    fn take_slot(&mut self, now: f64, rank: Rank, paces: Paces) {
        self.all.take_slot(now, paces.all);
        let (limiter, per_s) = self.limiter_of(rank, paces);
        limiter.take_slot(now, per_s);
    }

    fn return_slot(&mut self, rank: Rank, paces: Paces) {
        self.all.return_slot(paces.all);
        let (limiter, per_s) = self.limiter_of(rank, paces);
        limiter.return_slot(per_s);
    }
}

/// A client that was asked to retry.
#[derive(Debug, Clone, Copy)]
struct PendingRetry {
    /// When the retry is expected, ms.
    expected: f64,
    /// A slot is reserved for the retry.
    has_slot: bool,
}

/// A stage that begins in the future.
#[derive(Debug, Clone, Copy)]
struct NextStage {
    step: u64,
    stage: u32,
    /// When it begins, ms.
    begins: f64,
}

/// A tenant that is or was throttled.
#[derive(Debug, Clone)]
struct Tenant {
    schedule: Option<StageSchedule>,
    /// Number of the change of the trial that set the current stage.
    step: u64,
    stage: u32,
    previous_stage: u32,
    /// When the current stage began, ms.
    stage_began: f64,
    /// When throttling began, ms.
    throttled_since: f64,
    next_stage: Option<NextStage>,
    /// Share of the pace, in requests per second.
    share: f64,
    limiters: RateLimiters,
    /// By rank.
    demand: [Demand; 3],
    /// Clients that were asked to retry and haven't yet, by rank.
    pending_retries: [VecDeque<PendingRetry>; 3],
    waiting: usize,
    /// Number of delayed requests and the sum of their delays, ms.
    delayed: (u64, f64),
    retry_later_count: u64,
}

impl Tenant {
    fn new() -> Tenant {
        Tenant {
            schedule: None,
            step: 0,
            stage: 0,
            previous_stage: 0,
            stage_began: f64::NEG_INFINITY,
            throttled_since: f64::NEG_INFINITY,
            next_stage: None,
            share: f64::INFINITY,
            limiters: RateLimiters::default(),
            demand: [Demand::default(); 3],
            pending_retries: Default::default(),
            waiting: 0,
            delayed: (0, 0.0),
            retry_later_count: 0,
        }
    }

    /// Enters the next stage if it has begun, and releases reserved slots whose client hasn't retried.
    fn advance(&mut self, now: f64) {
        if let Some(NextStage { step, stage, begins }) = self.next_stage.filter(|next| next.begins <= now) {
            if self.stage == 0 && now >= self.stage_began + RAMP_MS {
                self.throttled_since = begins;
            }
            (self.previous_stage, self.step, self.stage, self.stage_began) =
                (self.stage, step, stage, begins);
            self.next_stage = None;
        }
        let paces = self.paces(now);
        for rank in [Rank::Deferrable, Rank::Interactive, Rank::Booking] {
            let pending = &mut self.pending_retries[rank as usize];
            while pending.front().is_some_and(|retry| retry.expected + RESERVATION_MS < now) {
                if pending.pop_front().is_some_and(|retry| retry.has_slot) {
                    self.limiters.return_slot(rank, paces);
                }
            }
        }
    }

    /// Removes and returns the retry that is expected about now. A client that retries here may use the entry of one
    /// that went to another gateway.
    fn take_pending_retry(&mut self, now: f64, rank: Rank) -> Option<PendingRetry> {
        let pending = &mut self.pending_retries[rank as usize];
        pending.front().filter(|retry| retry.expected <= now + EARLY_RETRY_MS)?;
        pending.pop_front()
    }

    /// Asks a client to retry when there is a slot, and reserves the slot if the client can retry in time for it.
    fn retry_later(
        &mut self,
        now: f64,
        rank: Rank,
        slot_in_ms: f64,
        remaining_ms: f64,
        is_full: bool,
    ) -> Verdict {
        self.retry_later_count += 1;
        let retry_after_ms = slot_in_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        let retries_in_ms = remaining_ms * MAX_RETRY_FRACTION;
        let has_slot = !is_full && retry_after_ms <= retries_in_ms;
        if has_slot {
            let paces = self.paces(now);
            self.limiters.take_slot(now, rank, paces);
        }
        let pending = &mut self.pending_retries[rank as usize];
        if pending.len() < MAX_PENDING_RETRIES {
            pending.push_back(PendingRetry { expected: now + retry_after_ms.min(retries_in_ms), has_slot });
        }
        Verdict::RetryLater { retry_after_ms }
    }

    fn effect_of(&self, stage: u32) -> StageEffect {
        self.schedule.as_ref().map_or(StageEffect::NONE, |schedule| schedule.effect(stage))
    }

    /// Current delay of a rank, ms; it changes linearly from the previous stage's delay.
    fn wait_ms(&self, now: f64, rank: Rank) -> f64 {
        let (previous, current) =
            (self.effect_of(self.previous_stage).wait_ms(rank), self.effect_of(self.stage).wait_ms(rank));
        let progress = ((now - self.stage_began) / RAMP_MS).clamp(0.0, 1.0);
        previous + (current - previous) * progress
    }

    /// Whether the tenant is throttled or about to be. True also while the last delay of a restored tenant ramps down.
    fn is_throttled(&self, now: f64) -> bool {
        self.stage > 0 || self.next_stage.is_some() || now < self.stage_began + RAMP_MS
    }

    /// Current paces: bookings may use the whole share, reads what bookings leave, and deferrable requests what both
    /// leave, but at least the floor.
    fn paces(&self, now: f64) -> Paces {
        // Until this gateway and the leader have measured the demand, only the stage's delays apply.
        let is_demand_known = now >= self.throttled_since + SETTLE_MS;
        let all = self.share.min(self.effect_of(self.stage).pace_per_s).max(MIN_SHARE_PER_S);
        if !is_demand_known || !all.is_finite() {
            return Paces { all: f64::INFINITY, floor: f64::INFINITY, reads: f64::INFINITY };
        }
        let floor = FLOOR_FRACTION * all;
        let bookings = self.demand[Rank::Booking as usize].rate(now);
        Paces { all, floor, reads: (all - bookings).max(floor) }
    }
}

/// All throttled tenants at one gateway. Without any, its only cost is a lookup in an empty map.
#[derive(Debug, Clone, Default)]
pub struct Throttle {
    tenants: BTreeMap<String, Tenant>,
    waiting: usize,
}

impl Throttle {
    /// Applies a message from the leader on a tenant's trial: `step` increases with each change of the trial, and
    /// `stage` begins in `in_ms`. Returns false and ignores the message if its step isn't higher than the last one: a
    /// gateway never returns to an earlier state.
    pub fn set_stage(&mut self, now: f64, tenant: &str, step: u64, stage: u32, in_ms: f64) -> bool {
        let entry = self.tenants.entry(tenant.to_owned()).or_insert_with(Tenant::new);
        entry.advance(now);
        if step <= entry.next_stage.map_or(entry.step, |next| next.step) {
            return false;
        }
        entry.next_stage = Some(NextStage { step, stage, begins: now + in_ms });
        entry.advance(now);
        true
    }

    /// Replaces the schedules after a change of the configuration.
    pub fn set_schedules(&mut self, schedule: impl Fn(&str) -> Option<StageSchedule>) {
        for (name, tenant) in &mut self.tenants {
            tenant.schedule = schedule(name);
        }
    }

    /// Whether any tenant is throttled or about to be.
    pub fn is_throttling(&self, now: f64) -> bool {
        self.tenants.values().any(|tenant| tenant.is_throttled(now))
    }

    /// Sets the shares of paces from the leader's answer; they apply until the next answer.
    pub fn set_shares(&mut self, shares: &BTreeMap<String, f64>) {
        for (name, per_s) in shares {
            if let Some(tenant) = self.tenants.get_mut(name).filter(|_| *per_s >= 0.0) {
                tenant.share = *per_s;
            }
        }
    }

    /// Shares that this gateway applies now, of tenants that are throttled.
    pub fn shares_in_use(&self, now: f64) -> BTreeMap<String, f64> {
        let throttled =
            self.tenants.iter().filter(|(_, tenant)| tenant.is_throttled(now) && tenant.share.is_finite());
        throttled.map(|(name, tenant)| (name.clone(), tenant.share)).collect()
    }

    /// Requests per second that each throttled tenant sends to this gateway.
    pub fn demand(&self, now: f64) -> BTreeMap<String, f64> {
        let throttled = self.tenants.iter().filter(|(_, tenant)| tenant.is_throttled(now));
        let sum = |tenant: &Tenant| tenant.demand.iter().map(|demand| demand.rate(now)).sum();
        throttled.map(|(name, tenant)| (name.clone(), sum(tenant))).collect()
    }

    /// Decides on an incoming request of this tenant.
    pub fn admit(&mut self, now: f64, tenant: &str, arrival: &Arrival) -> Verdict {
        let Some(tenant) = self.tenants.get_mut(tenant) else { return Verdict::Pass };
        tenant.advance(now);
        if !tenant.is_throttled(now) {
            return Verdict::Pass;
        }
        let Arrival { rank, remaining_ms, expected_ms, is_retry } = *arrival;
        let spare_ms = (remaining_ms - expected_ms - NETWORK_MARGIN_MS).max(0.0);
        // A request with a short deadline may still be a first attempt: no more requests count as retries than
        // clients were asked to retry.
        let pending = if is_retry { tenant.take_pending_retry(now, rank) } else { None };
        if pending.is_none() {
            tenant.demand[rank as usize].record_request(now);
        }
        if pending.is_some_and(|retry| retry.has_slot) {
            return Verdict::Pass;
        }
        let is_full = tenant.waiting >= MAX_DELAYED_PER_TENANT || self.waiting >= MAX_DELAYED;
        let paces = tenant.paces(now);
        let slot = tenant.limiters.next_slot(now, rank, paces);
        // A client that retries has already waited: it passes ahead of delayed requests if there is a slot within its
        // time.
        if pending.is_some() && slot <= now + spare_ms {
            tenant.limiters.take_slot(now, rank, paces);
            return Verdict::Pass;
        }
        let wait_ms = tenant.wait_ms(now, rank).min(MAX_WAIT_FRACTION[rank as usize] * spare_ms);
        let until = slot.max(now + wait_ms);
        // A booking is never delayed; it may be slightly ahead of the pace.
        let latest = match rank {
            Rank::Booking => now + BURST * 1_000.0 / paces.all,
            _ => now + spare_ms.min(wait_ms.max(MAX_PACE_WAIT_FRACTION * remaining_ms)),
        };
        let passes_at_once = rank == Rank::Booking || until <= now + 1.0;
        if until <= latest && passes_at_once {
            tenant.limiters.take_slot(now, rank, paces);
            return Verdict::Pass;
        }
        if until <= latest && !is_full {
            tenant.limiters.take_slot(now, rank, paces);
            tenant.waiting += 1;
            self.waiting += 1;
            tenant.delayed = (tenant.delayed.0 + 1, tenant.delayed.1 + (until - now));
            return Verdict::Delay { until };
        }
        tenant.retry_later(now, rank, slot - now, remaining_ms, is_full)
    }

    /// Ends the delay of a request: it is forwarded, or its client has disconnected.
    pub fn end_delay(&mut self, tenant: &str) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.waiting = tenant.waiting.saturating_sub(1);
        }
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// State of each tenant that is or was throttled at this gateway.
    pub fn tenant_statuses(&mut self, now: f64) -> Vec<TenantStatus> {
        let statuses = self.tenants.iter_mut().map(|(name, tenant)| {
            tenant.advance(now);
            TenantStatus {
                tenant: name.clone(),
                stage: tenant.stage,
                step: tenant.step,
                waiting: tenant.waiting,
                per_s: tenant.share.min(tenant.effect_of(tenant.stage).pace_per_s),
                delayed: tenant.delayed,
                retry_later_count: tenant.retry_later_count,
            }
        });
        statuses.collect()
    }
}
