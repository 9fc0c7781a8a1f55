//! The gateway's side: holds loans, spends from them, fetches units ahead of need and returns idle ones.

use crate::sliding_sum::SlidingSum;
use crate::tuning::{Guard, Limit, Tuning};
use crate::window_extreme::WindowExtreme;
use nickeljunction_messages::{TenantGrant, TenantUnits, UnitsAnswer, UnitsCall};
use std::collections::BTreeMap;

/// First and longest back-off after failed calls, ms.
const FIRST_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 500;
/// Maximum `Retry-After` of a refused request, ms.
const MAX_RETRY_AFTER_MS: u64 = 5_000;

/// Result of spending a unit for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spend {
    /// A unit is spent. The first byte of the request must be sent between `from` and `until` (the allowance's
    /// monotonic clock, ms; 0 and `u64::MAX` for a tenant without a limit).
    Done {
        /// Earliest time at which the request may be sent: now, or shortly after if the pace requires it.
        from: u64,
        /// Latest time at which the first byte may be sent.
        until: u64,
    },
    /// No unit may be spent now; a call for units is due or in flight. Spend again after the next `answered` or
    /// `failed`; call `give_up` after the counter's time-out.
    Wait,
    /// Refuse the request (429).
    Refused {
        /// Time until a unit is expected to be free, ms; 1 to 5,000.
        retry_after_ms: u64,
    },
}

/// Of units lent on demand, a gateway holds one idle unit for this many that it spent in the last window.
const SPENT_PER_IDLE_UNIT: u64 = 4;
/// Below this many units of the cap for each gateway, a gateway decides by what the paces leave for others whether to
/// return idle units, and not only by what the cap leaves.
const THIN_CAP_PER_GATEWAY: u64 = 24;
/// For this long after its start a gateway lets requests wait for a tenant's first units even if the counter is
/// unreachable or has no free units, ms.
const STARTUP_MS: u64 = 2_000;
/// `Retry-After` of a request that waited for a tenant's first units without success, ms.
const FIRST_UNITS_RETRY_MS: u64 = 300;

/// A call without an answer yet.
#[derive(Debug, Clone, Copy)]
struct OpenCall {
    seq: u64,
    sent_at: u64,
}

/// What a batch needs to know of an answer to apply its grant.
#[derive(Debug, Clone, Copy)]
struct Receipt {
    now: u64,
    /// When the call was sent.
    sent_at: u64,
    /// Whether the granted units may be spent.
    valid: bool,
}

/// The units of one tenant at this gateway.
#[derive(Debug, Clone)]
struct Batch {
    /// `None`: the configuration no longer has a limit; the batch is kept for its spent units.
    limit: Option<Limit>,
    /// Units lent: the maximum that may be spent in any window.
    loan: u64,
    /// Minimum pace until `pace_floor_until`, whatever the loan is.
    pace_floor: u64,
    pace_floor_until: u64,
    spent: SlidingSum,
    /// Token bucket of the pace as of `tokens_updated_at`: at most `bucket_units`, below 0 while requests wait for it.
    tokens: f64,
    tokens_updated_at: u64,
    /// Minimum and maximum pace over the last window.
    min_pace: WindowExtreme,
    max_pace: WindowExtreme,
    /// Units granted beyond the pace, by the time of their answer.
    boosts: SlidingSum,
    last_spend_at: Option<u64>,
    /// When units were last granted.
    last_grant_at: u64,
    /// The loan that the counter has recorded, as of the newest answered call; `None`: unknown.
    counter_loan: Option<u64>,
    /// The loan that the call in flight reports.
    call_loan: Option<u64>,
    /// The limit was lowered since the call in flight was sent.
    limit_lowered_in_call: bool,
    /// Units were granted since the tenant has a limit.
    has_received_units: bool,
    /// Requests that have started to wait since the last answer.
    waiting: u64,
    /// Requests refused since the last answer.
    refused: u64,
    /// The counter had no free units: none are requested before this time.
    exhausted_until: u64,
    /// The call in flight requests units beyond the pace.
    boost_requested: bool,
    /// The counter granted nothing beyond the pace: nothing is requested beyond it before this time.
    no_boost_until: u64,
    /// Units of the cap that were lent to nobody, by the last answer.
    remaining: u64,
    /// Of `remaining`, what the paces of all gateways leave for this one. Determines the size of the batch.
    room: u64,
    /// See [`Tuning::lends_on_demand`].
    on_demand: bool,
    /// The cap is so small for the number of gateways that units idle at one gateway are missing at others.
    is_thinly_spread: bool,
}

impl Batch {
    fn new(now: u64, tuning: &Tuning) -> Batch {
        Batch {
            limit: None,
            loan: 0,
            pace_floor: 0,
            pace_floor_until: 0,
            spent: SlidingSum::new(tuning.slot_ms, tuning.window_ms + tuning.max_write_delay_ms),
            tokens: 0.0,
            tokens_updated_at: now,
            min_pace: WindowExtreme::default(),
            max_pace: WindowExtreme::default(),
            boosts: SlidingSum::new(tuning.slot_ms, tuning.in_force_ms()),
            last_spend_at: None,
            last_grant_at: 0,
            counter_loan: Some(0),
            call_loan: None,
            limit_lowered_in_call: false,
            has_received_units: false,
            waiting: 0,
            refused: 0,
            exhausted_until: 0,
            boost_requested: false,
            no_boost_until: 0,
            remaining: 0,
            room: 0,
            on_demand: false,
            is_thinly_spread: false,
        }
    }

    fn cap(&self) -> u64 {
        self.limit.map_or(0, |limit| limit.cap)
    }

    fn held(&self) -> u64 {
        self.loan.saturating_sub(self.spent.sum())
    }

    /// What the counter must count as lent: units spent beyond a loan that was lowered are in force, too.
    fn in_force(&self) -> u64 {
        self.loan.max(self.spent.sum())
    }

    /// Units that may be spent per window.
    fn pace(&self, now: u64) -> u64 {
        if now < self.pace_floor_until {
            self.loan.max(self.pace_floor)
        } else {
            self.loan
        }
    }

    /// Advances to `now`: expires spent units and refills the token bucket.
    fn advance(&mut self, now: u64, tuning: &Tuning) {
        self.spent.expire(now);
        self.boosts.expire(now);
        let pace = self.pace(self.tokens_updated_at.min(now));
        // The pace floor may have ended since the last update.
        let floor_ms = now.min(self.pace_floor_until).saturating_sub(self.tokens_updated_at);
        let rest_ms = now.saturating_sub(self.tokens_updated_at.max(self.pace_floor_until));
        let refill = (pace * floor_ms + self.loan * rest_ms) as f64 / tuning.window_ms as f64;
        self.tokens = (self.tokens + refill).min(tuning.bucket_units(self.cap()) as f64);
        self.tokens_updated_at = self.tokens_updated_at.max(now);
        self.record_pace(now, tuning);
    }

    /// Records the current pace for its minimum and maximum.
    fn record_pace(&mut self, now: u64, tuning: &Tuning) {
        let pace = self.pace(now);
        self.min_pace.record(now, tuning.window_ms, pace, pace, u64::min);
        self.max_pace.record(now, tuning.in_force_ms(), pace, pace, u64::max);
    }

    /// Changes the loan, and the pace with it.
    fn set_loan(&mut self, now: u64, tuning: &Tuning, loan: u64) {
        self.advance(now, tuning);
        self.loan = loan;
        self.record_pace(now, tuning);
    }

    /// Time until the pace allows a unit, ms.
    fn pace_wait_ms(&self, now: u64, tuning: &Tuning) -> u64 {
        if self.tokens >= 1.0 {
            return 0;
        }
        match self.pace(now) {
            0 => u64::MAX,
            pace => ((1.0 - self.tokens) * tuning.window_ms as f64 / pace as f64).ceil() as u64,
        }
    }

    /// Target number of unspent units. Smaller when little remains, so that idle units here are not missing at other
    /// gateways.
    fn target_unspent(&self) -> u64 {
        let (cap, used) = (self.cap(), self.spent.sum());
        if self.on_demand {
            return used / SPENT_PER_IDLE_UNIT;
        }
        match self.room {
            left if left * 4 >= cap => used / 2 + 2,
            left if left * 8 >= cap => used / 3 + 2,
            left if left * 16 >= cap => used / 4 + 2,
            left if left * 32 >= cap => used / 6 + 2,
            _ => used / 12 + 1,
        }
    }

    fn needs_fetch(&self) -> bool {
        let refused_without_units = self.refused > 0 && self.held() == 0 && !self.on_demand;
        self.held() * 4 < self.target_unspent() || self.waiting > 0 || refused_without_units
    }

    /// Units to request beyond the pace, for requests that wait.
    fn boost_demand(&self, now: u64) -> u64 {
        if self.waiting == 0 || now < self.no_boost_until || self.limit.is_none() {
            return 0;
        }
        (self.waiting as f64 - self.tokens).ceil().max(0.0) as u64
    }

    /// Units that the counter can still lend to other gateways. Decides whether idle units are returned.
    fn lendable_to_others(&self) -> u64 {
        match self.is_thinly_spread {
            true => self.room,
            false => self.remaining,
        }
    }

    /// Whether the batch holds more units than it needs while another gateway may need them.
    fn has_excess(&self, now: u64, tuning: &Tuning) -> bool {
        let held = self.held();
        if self.on_demand {
            // Units that were just granted are for a waiting request. While the bucket is not full, the next requests
            // need the loan for its pace.
            let settled = self.waiting == 0 && now >= self.last_grant_at + tuning.fetch_interval_ms;
            return settled
                && held > self.target_unspent()
                && self.tokens >= tuning.bucket_units(self.cap()) as f64;
        }
        let quarter = tuning.window_ms / 4;
        if !self.has_received_units
            || self.lendable_to_others() * 8 >= self.cap()
            || now < self.last_grant_at + quarter
        {
            return false;
        }
        let unused_lately = self.last_spend_at.is_none_or(|last| now >= last + quarter);
        held > self.target_unspent() * 2 || (unused_lately && held > 0)
    }
}

/// A tenant's units at a gateway, for status pages and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holding {
    /// Name of the tenant.
    pub tenant: String,
    /// Units lent and unspent, while the lease is valid.
    pub held: u64,
    /// Units spent in the current window.
    pub spent: u64,
}

/// The units that a gateway holds of all tenants with a limit.
#[derive(Debug, Clone)]
pub struct Allowance {
    name: String,
    process_id: u64,
    tuning: Tuning,
    started_at: u64,
    batches: BTreeMap<String, Batch>,
    /// Number of gateways, see [`Allowance::set_gateway_count`].
    gateways: u32,
    seq: u64,
    /// The call in flight.
    open_call: Option<OpenCall>,
    last_call_at: Option<u64>,
    /// End of the lease: loans may be spent before this time.
    lease_until: u64,
    /// Highest term seen.
    term: u64,
    /// The next call reports every loan.
    report_all: bool,
    backoff_ms: u64,
    /// After a failed call: no call is sent before this time.
    backoff_until: Option<u64>,
}

impl Allowance {
    /// The allowance of gateway `name`, whose process starts at `now` and has drawn `process_id` at random.
    pub fn new(now: u64, name: impl Into<String>, process_id: u64, tuning: Tuning) -> Allowance {
        Allowance {
            name: name.into(),
            process_id,
            tuning,
            started_at: now,
            batches: BTreeMap::new(),
            gateways: 1,
            seq: 0,
            open_call: None,
            last_call_at: None,
            lease_until: 0,
            term: 0,
            report_all: true,
            backoff_ms: FIRST_BACKOFF_MS,
            backoff_until: None,
        }
    }

    /// Sets the limits of the newest configuration. When a limit is lowered, the loan is reduced in proportion, so that
    /// all gateways' loans together are within the new limit; a tenant whose limit is removed loses its loan.
    pub fn set_limits(&mut self, now: u64, limits: &BTreeMap<String, Limit>) {
        self.expire_loans(now);
        let tuning = &self.tuning;
        for (tenant, batch) in &mut self.batches {
            batch.advance(now, tuning);
            match (batch.limit, limits.get(tenant)) {
                (Some(old), Some(new)) if new.pace < old.pace || new.cap < old.cap => {
                    batch.pace_floor = old.scale_to(new, batch.pace_floor);
                    batch.set_loan(now, tuning, old.scale_to(new, batch.loan));
                    batch.remaining = batch.remaining.min(new.cap);
                    batch.room = batch.room.min(new.cap);
                    // The answer to a call in flight lends under the old limit.
                    if self.open_call.is_some() {
                        (batch.counter_loan, batch.call_loan, batch.limit_lowered_in_call) =
                            (None, None, true);
                    }
                }
                // The limit was raised: that no units were free is out of date.
                (Some(old), Some(new)) if new.cap > old.cap => batch.exhausted_until = 0,
                (Some(_), None) => {
                    (batch.loan, batch.pace_floor_until, batch.waiting, batch.refused) = (0, 0, 0, 0);
                    (batch.has_received_units, batch.exhausted_until) = (false, 0);
                    (batch.counter_loan, batch.call_loan) = (None, None);
                }
                _ => {}
            }
            batch.limit = limits.get(tenant).copied();
        }
        for (tenant, limit) in limits {
            if !self.batches.contains_key(tenant) {
                let mut batch = Batch::new(now, &self.tuning);
                (batch.limit, batch.tokens) = (Some(*limit), self.tuning.bucket_units(limit.cap) as f64);
                self.batches.insert(tenant.clone(), batch);
            }
        }
        self.classify_batches();
    }

    /// Sets the known number of gateways, on which depends how many units each may hold in reserve.
    pub fn set_gateway_count(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
        self.classify_batches();
    }

    fn classify_batches(&mut self) {
        let gateways = u64::from(self.gateways);
        for batch in self.batches.values_mut() {
            batch.on_demand = self.tuning.lends_on_demand(batch.cap(), gateways);
            batch.is_thinly_spread = batch.cap() < gateways * THIN_CAP_PER_GATEWAY;
        }
    }

    /// Another core member is, or may be, the leader in `term`: the next call is due at once and reports every loan. A
    /// call in flight counts as failed.
    pub fn leader_changed(&mut self, now: u64, term: u64) {
        if self.open_call.is_some() {
            self.failed(now);
        }
        self.observe_term(term);
        self.report_all = true;
        self.backoff_until = None;
        self.backoff_ms = FIRST_BACKOFF_MS;
    }

    /// Records that a counter of this term exists; returns whether the term is newer than any seen before.
    fn observe_term(&mut self, term: u64) -> bool {
        let is_newer = term > self.term;
        if is_newer {
            self.term = term;
            // Even if the old counter had no free units, the new one may have some.
            self.batches.values_mut().for_each(|batch| batch.exhausted_until = 0);
        }
        is_newer
    }

    /// Drops unspent loans if the lease has ended, so that a gateway that was suspended spends nothing that the counter
    /// may have lent to others.
    fn expire_loans(&mut self, now: u64) {
        if now < self.lease_until {
            return;
        }
        for batch in self.batches.values_mut() {
            batch.advance(now, &self.tuning);
            let spent = batch.spent.sum();
            if batch.loan > spent {
                batch.set_loan(now, &self.tuning, spent);
            }
            batch.pace_floor_until = batch.pace_floor_until.min(now);
        }
    }

    /// Spends a unit for a request to be sent now or shortly after.
    pub fn spend(&mut self, now: u64, tenant: &str) -> Spend {
        self.expire_loans(now);
        let lease_until = self.lease_until;
        let Some(batch) = self.batches.get_mut(tenant).filter(|batch| batch.limit.is_some()) else {
            return Spend::Done { from: 0, until: u64::MAX };
        };
        batch.advance(now, &self.tuning);
        let wait = batch.pace_wait_ms(now, &self.tuning);
        if batch.held() > 0 && wait <= self.tuning.max_pace_delay_ms && now + wait < lease_until {
            let from = now + wait;
            batch.tokens -= 1.0;
            batch.spent.add(from, 1);
            batch.last_spend_at = Some(from);
            let until = lease_until.min(from + self.tuning.max_write_delay_ms);
            return Spend::Done { from, until };
        }
        // If units are held, only the pace prevents spending one.
        let exhausted = batch.remaining == 0 && now < batch.exhausted_until;
        let must_refuse = exhausted && (batch.held() <= batch.waiting || now < batch.no_boost_until);
        // After a start the first units are on their way, or the counter will lend again soon. Clients retry once or
        // twice, and all of their attempts would be refused meanwhile.
        let starting = !batch.has_received_units && now < self.started_at + STARTUP_MS;
        if !starting && (self.backoff_until.is_some() || must_refuse) {
            return self.refuse(now, tenant);
        }
        batch.waiting += 1;
        Spend::Wait
    }

    /// Refuses a request that has waited for the maximum time, or spends a unit for it if one is available by now.
    pub fn give_up(&mut self, now: u64, tenant: &str) -> Spend {
        self.stop_waiting(tenant);
        match self.spend(now, tenant) {
            Spend::Wait => {
                self.stop_waiting(tenant);
                self.refuse(now, tenant)
            }
            done => done,
        }
    }

    /// One request stops waiting: no unit is requested for it any more.
    fn stop_waiting(&mut self, tenant: &str) {
        if let Some(batch) = self.batches.get_mut(tenant) {
            batch.waiting = batch.waiting.saturating_sub(1);
        }
    }

    /// Spends a unit for a further attempt of a request, to be sent at once. Returns false if there is none: the
    /// attempt must not be sent, and no unit is fetched for it.
    pub fn spend_for_retry(&mut self, now: u64, tenant: &str) -> bool {
        self.expire_loans(now);
        let has_lease = now < self.lease_until;
        let Some(batch) = self.batches.get_mut(tenant).filter(|batch| batch.limit.is_some()) else {
            return true;
        };
        batch.advance(now, &self.tuning);
        let covered = has_lease && batch.held() > 0 && batch.tokens >= 1.0;
        if covered {
            batch.tokens -= 1.0;
            batch.spent.add(now, 1);
            batch.last_spend_at = Some(now);
        }
        covered
    }

    fn refuse(&mut self, now: u64, tenant: &str) -> Spend {
        let backoff_until = self.backoff_until.unwrap_or(0);
        let Some(batch) = self.batches.get_mut(tenant) else {
            return Spend::Done { from: 0, until: u64::MAX };
        };
        batch.refused += 1;
        // A spent unit of the own loan is free when it leaves the window; units of others are free at the counter.
        let own_free_at = match batch.held() {
            0 => batch.spent.next_expiry().unwrap_or(u64::MAX),
            _ => now.saturating_add(batch.pace_wait_ms(now, &self.tuning)),
        };
        let retry_ms =
            if batch.has_received_units { self.tuning.fetch_interval_ms } else { FIRST_UNITS_RETRY_MS };
        let counter_free_at = batch.exhausted_until.max(backoff_until).max(now + retry_ms);
        let free_at = counter_free_at.min(own_free_at.max(now + 1));
        Spend::Refused { retry_after_ms: (free_at - now).clamp(1, MAX_RETRY_AFTER_MS) }
    }

    /// When the next call is due, ms; `u64::MAX` if no tenant has a limit or a loan to report.
    fn next_call_due(&self) -> u64 {
        let Some(last_call) = self.last_call_at else {
            return if self.batches.is_empty() { u64::MAX } else { self.started_at };
        };
        let tuning = &self.tuning;
        let urgent_fetch_interval_ms = tuning.min_call_interval_ms(u64::from(self.gateways));
        let fetch_interval_ms = tuning.fetch_interval_ms.max(urgent_fetch_interval_ms);
        let mut due = u64::MAX;
        for batch in self.batches.values() {
            if batch.limit.is_none() {
                // The counter may still count units of a limit that was removed.
                if batch.counter_loan.is_none_or(|recorded| recorded > 0) {
                    due = due.min(last_call + tuning.return_interval_ms);
                }
                continue;
            }
            due = due.min(last_call + tuning.refresh_interval_ms);
            if batch.counter_loan.is_none_or(|recorded| recorded > batch.in_force())
                || batch.has_excess(last_call + tuning.return_interval_ms, tuning)
            {
                due = due.min(last_call + tuning.return_interval_ms);
            }
            if batch.waiting > 0 && batch.held() >= batch.waiting {
                due = due.min(last_call + urgent_fetch_interval_ms);
            } else if batch.remaining == 0 && batch.exhausted_until > 0 {
                if batch.needs_fetch() {
                    due = due.min(batch.exhausted_until.max(last_call + urgent_fetch_interval_ms));
                }
            } else if batch.waiting > 0 {
                let no_pace_left = batch.room == 0 && batch.has_received_units;
                due = due
                    .min(last_call + if no_pace_left { fetch_interval_ms } else { urgent_fetch_interval_ms });
            } else if !batch.has_received_units && batch.target_unspent() > 0 {
                due = due.min(last_call + fetch_interval_ms);
            } else if batch.needs_fetch() {
                let ample = batch.held() > 0 && batch.remaining * 8 >= batch.cap();
                due = due
                    .min(last_call + if ample { tuning.return_interval_ms / 2 } else { fetch_interval_ms });
            }
        }
        if self.report_all && due != u64::MAX {
            due = due.min(last_call + tuning.urgent_fetch_interval_ms);
        }
        due.max(self.backoff_until.unwrap_or(0))
    }

    /// When to call `poll` again, ms by the monotonic clock; `None` while a call is in flight or nothing is due.
    pub fn next_wake(&self) -> Option<u64> {
        match self.open_call {
            Some(_) => None,
            None => Some(self.next_call_due()).filter(|due| *due != u64::MAX),
        }
    }

    /// Returns the call that is due, if any, to be sent to the leader. Only one call is in flight at a time.
    pub fn poll(&mut self, now: u64) -> Option<UnitsCall> {
        if self.open_call.is_some() || now < self.next_call_due() {
            return None;
        }
        self.expire_loans(now);
        Some(self.build_call(now, false))
    }

    /// Returns all units at shutdown, in a last call whose answer is not needed. Nothing is spent after this.
    pub fn return_all(&mut self, now: u64) -> UnitsCall {
        self.lease_until = 0;
        self.expire_loans(now);
        for batch in self.batches.values_mut() {
            (batch.waiting, batch.refused) = (0, 0);
        }
        self.build_call(now, true)
    }

    fn build_call(&mut self, now: u64, end: bool) -> UnitsCall {
        self.seq += 1;
        let all = self.report_all;
        let mut call = UnitsCall {
            incarnation: self.process_id,
            seq: self.seq,
            is_full_report: all,
            is_final: end,
            ..UnitsCall::default()
        };
        if all {
            (call.name, call.uptime_ms, call.counter_term) =
                (self.name.clone(), now - self.started_at, self.term);
            call.reports_boosted = true;
        }
        let tuning = &self.tuning;
        for (tenant, batch) in &mut self.batches {
            batch.advance(now, tuning);
            let want = if end { 0 } else { Self::units_to_request(tuning, now, batch) };
            let loan = batch.in_force();
            let is_recorded = batch.counter_loan == Some(loan);
            let boost = if end { 0 } else { batch.boost_demand(now) };
            (batch.boost_requested, batch.limit_lowered_in_call) = (boost > 0, false);
            if (!all && want + boost == 0 && is_recorded)
                || (batch.limit.is_none() && is_recorded && loan == 0)
            {
                continue;
            }
            let mut units = TenantUnits { loan, requested: want, boost, ..TenantUnits::default() };
            units.is_first_fetch = want > 0 && !batch.has_received_units;
            if all {
                let pace = batch.pace(now);
                units.pace = if pace > loan { pace } else { 0 };
                units.min_pace = batch.min_pace.get(now, tuning.window_ms, pace, u64::min);
                let most = batch.max_pace.get(now, tuning.in_force_ms(), pace, u64::max);
                units.max_pace = if most > pace.max(loan) { most } else { 0 };
                units.unspendable = loan - batch.loan;
                units.boosted = batch.boosts.sum();
            }
            batch.call_loan = Some(loan);
            call.tenants.insert(tenant.clone(), units);
        }
        self.open_call = Some(OpenCall { seq: self.seq, sent_at: now });
        self.last_call_at = Some(now);
        call
    }

    /// Units to request in a call that is being built. Takes excess units out of the loan, so that the call returns
    /// them.
    fn units_to_request(tuning: &Tuning, now: u64, batch: &mut Batch) -> u64 {
        if batch.limit.is_none() {
            return 0;
        }
        let target = batch.target_unspent();
        if batch.has_excess(now, tuning) {
            let loan = batch.spent.sum() + target.min(batch.held());
            batch.set_loan(now, tuning, loan);
            return 0;
        }
        if now < batch.exhausted_until && batch.remaining == 0 {
            return 0;
        }
        if !batch.has_received_units && !batch.on_demand {
            return target + batch.waiting;
        }
        let missing = target.saturating_sub(batch.held());
        if batch.on_demand {
            return (batch.waiting + target).saturating_sub(batch.held());
        }
        if batch.waiting + batch.refused > 0 {
            // These requests are the first of a rise in traffic, or are delayed by the pace.
            return missing.max(batch.spent.sum() / 4 + 1) + batch.waiting + batch.refused;
        }
        // A call is sent anyway, so a partly spent batch is refilled with it.
        if batch.needs_fetch() || batch.held() * 2 < target {
            return missing.max(1);
        }
        0
    }

    /// Handles the counter's answer. It counts only if it answers the newest call and no counter of a higher term is
    /// known.
    pub fn answered(&mut self, now: u64, answer: &UnitsAnswer) {
        let Some(OpenCall { seq, sent_at }) = self.open_call else { return };
        if answer.seq != seq && self.tuning.enforces(Guard::NewestAnswer) {
            return;
        }
        if answer.term < self.term {
            return self.failed(now);
        }
        self.open_call = None;
        let is_newer = self.observe_term(answer.term);
        (self.backoff_ms, self.backoff_until) = (FIRST_BACKOFF_MS, None);
        if answer.full_report_needed {
            self.batches.values_mut().for_each(|batch| batch.call_loan = None);
            // The call was already a full report for this counter: do not repeat it at once.
            if self.report_all && !is_newer {
                self.backoff_until = Some(now + FIRST_BACKOFF_MS);
            }
            self.report_all = true;
            return;
        }
        self.report_all = false;
        self.expire_loans(now);
        self.lease_until = self.lease_until.max(sent_at + self.tuning.lease_ms);
        let has_lease = now < self.lease_until;
        for (tenant, batch) in &mut self.batches {
            if let Some(loan) = batch.call_loan.take() {
                batch.counter_loan = Some(loan);
            }
            if let Some(grant) = answer.tenants.get(tenant) {
                let receipt = Receipt { now, sent_at, valid: has_lease && !batch.limit_lowered_in_call };
                Self::apply_grant(&self.tuning, receipt, batch, grant);
            }
            // Every waiting request spends again, and is counted again if it has to keep waiting.
            batch.waiting = 0;
        }
    }

    /// Applies the grant for one tenant.
    fn apply_grant(tuning: &Tuning, receipt: Receipt, batch: &mut Batch, grant: &TenantGrant) {
        let Receipt { now, sent_at, valid } = receipt;
        batch.remaining = grant.remaining;
        batch.room = grant.pace_headroom.map_or(grant.remaining, |room| room.min(grant.remaining));
        let waited = batch.waiting + batch.refused > 0;
        (batch.waiting, batch.refused) = (0, 0);
        batch.advance(now, tuning);
        if grant.granted > 0 {
            batch.has_received_units = true;
            batch.last_grant_at = now;
            // The counter has recorded these units as lent. Units to return are the difference to this record.
            batch.counter_loan = batch.counter_loan.map(|recorded| recorded + grant.granted);
            if valid && batch.limit.is_some() {
                let loan = batch.loan + grant.granted;
                batch.set_loan(now, tuning, loan);
            }
        }
        if grant.initial_pace > 0 && valid {
            (batch.pace_floor, batch.pace_floor_until) = (grant.initial_pace, sent_at + tuning.pace_floor_ms);
            batch.record_pace(now, tuning);
        }
        if grant.boost > 0 && valid && now <= sent_at + tuning.max_boost_answer_ms {
            let depth = tuning.bucket_units(batch.cap()) as f64;
            batch.tokens = (batch.tokens + grant.boost as f64).min(depth);
            batch.boosts.add(now, grant.boost);
        }
        if batch.boost_requested {
            batch.no_boost_until = if grant.boost > 0 { 0 } else { now + tuning.exhausted_fetch_interval_ms };
        }
        batch.exhausted_until = 0;
        if batch.on_demand {
            // Units that others return are free at once, so only a refusal counts as exhaustion.
            if grant.granted == 0 && grant.remaining == 0 && waited {
                batch.exhausted_until = now + tuning.exhausted_fetch_interval_ms;
            }
        } else if grant.remaining == 0 {
            // The first units of a new process become free as its predecessor's units expire.
            batch.exhausted_until = now
                + if batch.has_received_units {
                    tuning.exhausted_fetch_interval_ms
                } else {
                    tuning.fetch_interval_ms
                };
            // A refused request keeps the demand on record for the requests that follow.
            batch.refused = u64::from(grant.granted == 0 && waited && batch.held() == 0);
        }
    }

    /// The call in flight got no answer in time, or there is no leader. Units that it may have been granted are never
    /// spent.
    pub fn failed(&mut self, now: u64) {
        if self.open_call.take().is_none() {
            return;
        }
        for batch in self.batches.values_mut() {
            if batch.call_loan.take().is_some() {
                // The call may have arrived and the counter may have lent units; the next call corrects that.
                batch.counter_loan = None;
            }
        }
        self.backoff_until = Some(now + self.backoff_ms);
        self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
    }

    /// Whether the call in flight was sent at `since` or later and names this tenant, so that its answer may bring
    /// units.
    pub fn is_fetching(&self, tenant: &str, since: u64) -> bool {
        let is_named = self.batches.get(tenant).is_some_and(|batch| batch.call_loan.is_some());
        is_named && self.open_call.is_some_and(|call| call.sent_at >= since)
    }

    /// Units held and spent here, of the first `max` tenants with a limit, by name.
    pub fn holdings(&mut self, now: u64, max: usize) -> Vec<Holding> {
        let (has_lease, tuning) = (now < self.lease_until, &self.tuning);
        let holding = |(tenant, batch): (&String, &mut Batch)| {
            batch.advance(now, tuning);
            let held = if has_lease { batch.held() } else { 0 };
            Holding { tenant: tenant.clone(), held, spent: batch.spent.sum() }
        };
        let limited = self.batches.iter_mut().filter(|(_, batch)| batch.limit.is_some());
        limited.take(max).map(holding).collect()
    }

    /// Unspent units of a tenant, as far as the lease is valid at `now`.
    pub fn held(&mut self, now: u64, tenant: &str) -> u64 {
        match self.batches.get_mut(tenant) {
            Some(batch) if now < self.lease_until => {
                batch.advance(now, &self.tuning);
                batch.held()
            }
            _ => 0,
        }
    }
}
