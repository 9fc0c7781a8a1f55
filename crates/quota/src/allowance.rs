//! The gateway's side: loans that are held, spent, fetched ahead of need and returned.

use crate::peak::Peak;
use crate::ring::Ring;
use crate::tuning::{Guard, Limit, Tuning};
use nickeljunction_messages::{TenantGrant, TenantUnits, UnitsAnswer, UnitsCall};
use std::collections::BTreeMap;

/// First pause after a failed call, and the longest, ms.
const FIRST_PAUSE_MS: u64 = 50;
const LONGEST_PAUSE_MS: u64 = 500;
/// Longest time told to a refused client, ms.
const RETRY_MOST_MS: u64 = 5_000;

/// What becomes of a request that asks for a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spend {
    /// A unit is spent: the request is to be sent at `from`, and its first byte no later than `until` (the allowance's monotonic
    /// clock, ms; 0 and `u64::MAX` for a tenant without a limit).
    Done {
        /// First moment at which the request may be sent: now, or in a short while, where the pace demands it.
        from: u64,
        /// Last moment.
        until: u64,
    },
    /// No unit may be spent now; a call for some is due or under way. Spend again after the next `answered` or `failed`,
    /// give up after the counter time-out.
    Wait,
    /// Refuse the request (429).
    Refused {
        /// When a unit is expected to come free, ms; 1 to 5,000.
        retry_after_ms: u64,
    },
}

/// Of units that are lent on demand a gateway holds one idle for so many that it spent in the last window.
const SPENT_PER_IDLE: u64 = 4;
/// Below so many units for each gateway idle ones are given back by what the paces leave for others, not only by what the cap
/// does.
const THIN_SHARE: u64 = 24;
/// So long after its start a gateway lets requests wait for a tenant's first units, whatever is known of the counter, ms.
const STARTUP_MS: u64 = 2_000;
/// When a client is to come back that has waited for a tenant's first units in vain, ms.
const FIRST_RETRY_MS: u64 = 300;

/// A call that waits for its answer.
#[derive(Debug, Clone, Copy)]
struct OpenCall {
    seq: u64,
    sent: u64,
}

/// An answer as one batch takes it in.
#[derive(Debug, Clone, Copy)]
struct Receipt {
    now: u64,
    /// When the call was sent.
    sent: u64,
    /// What was granted may be spent.
    valid: bool,
}

/// One tenant's batch.
#[derive(Debug, Clone)]
struct Batch {
    /// `None`: the limit is gone, or not known any more; kept for its spent units.
    limit: Option<Limit>,
    /// Units lent: in any window no more are spent.
    loan: u64,
    /// A pace that holds until then, whatever the loan is.
    lift: u64,
    lift_until: u64,
    spent: Ring,
    /// Units that the pace allows now, and as of when: `depth` at most, below 0 where requests wait for it.
    tokens: f64,
    tokens_at: u64,
    /// Least and most pace over the last window.
    least: Peak,
    most: Peak,
    /// Units allowed beyond the pace, by when they came in.
    boosts: Ring,
    last_spend: Option<u64>,
    /// When units last came in.
    last_grant: u64,
    /// The loan as the counter knows it, after the newest answered call; `None`: not known.
    counter_loan: Option<u64>,
    /// The same as reported in the call under way.
    call_loan: Option<u64>,
    /// The limit was lowered since it was sent.
    limit_lowered: bool,
    /// Units were granted since the tenant is known.
    has_first_units: bool,
    /// Requests that wait, since the last answer.
    waiting: u64,
    /// Requests that were refused since the last answer.
    refused: u64,
    /// Nothing was free at the counter: not asked again before then.
    empty_until: u64,
    /// More than the pace was asked for in the call under way.
    boost_asked: bool,
    /// Nothing beyond the pace was allowed: not asked again before then.
    paced_until: u64,
    /// As the counter told: what nobody has of the cap.
    remaining: u64,
    /// Of that, what the paces of all gateways leave for this one: by it the batch is sized.
    room: u64,
    /// See [`Tuning::lends_on_demand`].
    on_demand: bool,
    /// The cap divided among all gateways is so little that what lies idle at each is missing at others.
    is_thinly_spread: bool,
}

impl Batch {
    fn new(now: u64, tuning: &Tuning) -> Batch {
        Batch {
            limit: None,
            loan: 0,
            lift: 0,
            lift_until: 0,
            spent: Ring::new(tuning.slot_ms, tuning.window_ms + tuning.max_write_delay_ms),
            tokens: 0.0,
            tokens_at: now,
            least: Peak::default(),
            most: Peak::default(),
            boosts: Ring::new(tuning.slot_ms, tuning.span_ms()),
            last_spend: None,
            last_grant: 0,
            counter_loan: Some(0),
            call_loan: None,
            limit_lowered: false,
            has_first_units: false,
            waiting: 0,
            refused: 0,
            empty_until: 0,
            boost_asked: false,
            paced_until: 0,
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

    /// What the counter must count: units spent beyond a loan that was lowered are in force, too.
    fn in_force(&self) -> u64 {
        self.loan.max(self.spent.sum())
    }

    /// Units a window that may be spent.
    fn pace(&self, now: u64) -> u64 {
        if now < self.lift_until {
            self.loan.max(self.lift)
        } else {
            self.loan
        }
    }

    /// Lets time pass: spent units come back, and the pace allows more.
    fn age(&mut self, now: u64, tuning: &Tuning) {
        self.spent.age(now);
        self.boosts.age(now);
        let pace = self.pace(self.tokens_at.min(now));
        // The lift may have ended in between.
        let lifted = now.min(self.lift_until).saturating_sub(self.tokens_at);
        let rest = now.saturating_sub(self.tokens_at.max(self.lift_until));
        let came = (pace * lifted + self.loan * rest) as f64 / tuning.window_ms as f64;
        self.tokens = (self.tokens + came).min(tuning.depth_of(self.cap()) as f64);
        self.tokens_at = self.tokens_at.max(now);
        self.note_pace(now, tuning);
    }

    /// Remembers the pace of now.
    fn note_pace(&mut self, now: u64, tuning: &Tuning) {
        let pace = self.pace(now);
        self.least.note(now, tuning.window_ms, pace, pace, u64::min);
        self.most.note(now, tuning.span_ms(), pace, pace, u64::max);
    }

    /// Changes the loan; the pace with it.
    fn set_loan(&mut self, now: u64, tuning: &Tuning, loan: u64) {
        self.age(now, tuning);
        self.loan = loan;
        self.note_pace(now, tuning);
    }

    /// How long until the pace allows a unit, ms.
    fn pace_wait_ms(&self, now: u64, tuning: &Tuning) -> u64 {
        if self.tokens >= 1.0 {
            return 0;
        }
        match self.pace(now) {
            0 => u64::MAX,
            pace => ((1.0 - self.tokens) * tuning.window_ms as f64 / pace as f64).ceil() as u64,
        }
    }

    /// Unspent units to aim for: fewer where little remains, so that idle units here are not missing at other gateways.
    fn target(&self) -> u64 {
        let (cap, used) = (self.cap(), self.spent.sum());
        if self.on_demand {
            return used / SPENT_PER_IDLE;
        }
        match self.room {
            left if left * 4 >= cap => used / 2 + 2,
            left if left * 8 >= cap => used / 3 + 2,
            left if left * 16 >= cap => used / 4 + 2,
            left if left * 32 >= cap => used / 6 + 2,
            _ => used / 12 + 1,
        }
    }

    fn low(&self) -> bool {
        let missed = self.refused > 0 && self.held() == 0 && !self.on_demand;
        self.held() * 4 < self.target() || self.waiting > 0 || missed
    }

    /// Units to ask for beyond the pace: for those who wait.
    fn boost(&self, now: u64) -> u64 {
        if self.waiting == 0 || now < self.paced_until || self.limit.is_none() {
            return 0;
        }
        (self.waiting as f64 - self.tokens).ceil().max(0.0) as u64
    }

    /// What others may be lent, for whether to give back.
    fn spare(&self) -> u64 {
        match self.is_thinly_spread {
            true => self.room,
            false => self.remaining,
        }
    }

    /// Holds more than it needs while another gateway may need it.
    fn idle(&self, now: u64, tuning: &Tuning) -> bool {
        let held = self.held();
        if self.on_demand {
            // What just came is for a request that waits. While the bucket isn't full the next ones need the pace.
            let settled = self.waiting == 0 && now >= self.last_grant + tuning.fetch_interval_ms;
            return settled && held > self.target() && self.tokens >= tuning.depth_of(self.cap()) as f64;
        }
        let quarter = tuning.window_ms / 4;
        if !self.has_first_units || self.spare() * 8 >= self.cap() || now < self.last_grant + quarter {
            return false;
        }
        let still = self.last_spend.is_none_or(|last| now >= last + quarter);
        held > self.target() * 2 || (still && held > 0)
    }
}

/// A tenant's units at a gateway, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holding {
    /// Whose.
    pub tenant: String,
    /// Lent, unspent and in force.
    pub held: u64,
    /// Spent in the window of now.
    pub spent: u64,
}

/// The units that a gateway holds, of all tenants with a limit.
#[derive(Debug, Clone)]
pub struct Allowance {
    name: String,
    life: u64,
    tuning: Tuning,
    started: u64,
    batches: BTreeMap<String, Batch>,
    /// See [`Allowance::set_gateway_count`].
    gateways: u32,
    seq: u64,
    /// The call under way.
    open_call: Option<OpenCall>,
    last_sent: Option<u64>,
    /// Loans may be spent before then.
    valid_until: u64,
    /// Highest term heard of.
    term: u64,
    /// The next call reports every loan.
    report_all: bool,
    pause: u64,
    /// After a failed call: no call before then.
    no_call_until: Option<u64>,
}

impl Allowance {
    /// Of the gateway `name`, whose process drew `life` at its start, just now.
    pub fn new(now: u64, name: impl Into<String>, life: u64, tuning: Tuning) -> Allowance {
        Allowance {
            name: name.into(),
            life,
            tuning,
            started: now,
            batches: BTreeMap::new(),
            gateways: 1,
            seq: 0,
            open_call: None,
            last_sent: None,
            valid_until: 0,
            term: 0,
            report_all: true,
            pause: FIRST_PAUSE_MS,
            no_call_until: None,
        }
    }

    /// Tenants with a limit, by the newest configuration. Loans beyond a lowered limit are cut here, in proportion, so that
    /// all loans together are within the new one; of a tenant whose limit is gone, all.
    pub fn set_limits(&mut self, now: u64, limits: &BTreeMap<String, Limit>) {
        self.expire_loans(now);
        let tuning = &self.tuning;
        for (tenant, batch) in &mut self.batches {
            batch.age(now, tuning);
            match (batch.limit, limits.get(tenant)) {
                (Some(old), Some(new)) if new.pace < old.pace || new.cap < old.cap => {
                    batch.lift = old.part(new, batch.lift);
                    batch.set_loan(now, tuning, old.part(new, batch.loan));
                    batch.remaining = batch.remaining.min(new.cap);
                    batch.room = batch.room.min(new.cap);
                    // What a call under way brings was lent under the old limit.
                    if self.open_call.is_some() {
                        (batch.counter_loan, batch.call_loan, batch.limit_lowered) = (None, None, true);
                    }
                }
                // Higher: what was known of its end is out of date.
                (Some(old), Some(new)) if new.cap > old.cap => batch.empty_until = 0,
                (Some(_), None) => {
                    (batch.loan, batch.lift_until, batch.waiting, batch.refused) = (0, 0, 0, 0);
                    (batch.has_first_units, batch.empty_until) = (false, 0);
                    (batch.counter_loan, batch.call_loan) = (None, None);
                }
                _ => {}
            }
            batch.limit = limits.get(tenant).copied();
        }
        for (tenant, limit) in limits {
            if !self.batches.contains_key(tenant) {
                let mut batch = Batch::new(now, &self.tuning);
                (batch.limit, batch.tokens) = (Some(*limit), self.tuning.depth_of(limit.cap) as f64);
                self.batches.insert(tenant.clone(), batch);
            }
        }
        self.share_out();
    }

    /// How many gateways there are, as far as is known: what each may hold in reserve depends on it.
    pub fn set_gateway_count(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
        self.share_out();
    }

    fn share_out(&mut self) {
        let gateways = u64::from(self.gateways);
        for batch in self.batches.values_mut() {
            batch.on_demand = self.tuning.lends_on_demand(batch.cap(), gateways);
            batch.is_thinly_spread = batch.cap() < gateways * THIN_SHARE;
        }
    }

    /// Another core member is the leader, or may be, in `term`: the next call is due at once and reports every loan. A
    /// call under way counts as failed.
    pub fn leader_changed(&mut self, now: u64, term: u64) {
        if self.open_call.is_some() {
            self.failed(now);
        }
        self.note_term(term);
        self.report_all = true;
        self.no_call_until = None;
        self.pause = FIRST_PAUSE_MS;
    }

    /// A counter of this term exists; true if its term is new.
    fn note_term(&mut self, term: u64) -> bool {
        let news = term > self.term;
        if news {
            self.term = term;
            // That the old counter had no units left says nothing about the new one.
            self.batches.values_mut().for_each(|batch| batch.empty_until = 0);
        }
        news
    }

    /// Drops loans whose lease has ended: a gateway that was suspended spends nothing that the counter has given up.
    fn expire_loans(&mut self, now: u64) {
        if now < self.valid_until {
            return;
        }
        for batch in self.batches.values_mut() {
            batch.age(now, &self.tuning);
            let spent = batch.spent.sum();
            if batch.loan > spent {
                batch.set_loan(now, &self.tuning, spent);
            }
            batch.lift_until = batch.lift_until.min(now);
        }
    }

    /// Spends a unit for a request that is about to be sent.
    pub fn spend(&mut self, now: u64, tenant: &str) -> Spend {
        self.expire_loans(now);
        let valid = self.valid_until;
        let Some(batch) = self.batches.get_mut(tenant).filter(|batch| batch.limit.is_some()) else {
            return Spend::Done { from: 0, until: u64::MAX };
        };
        batch.age(now, &self.tuning);
        let wait = batch.pace_wait_ms(now, &self.tuning);
        if batch.held() > 0 && wait <= self.tuning.max_pace_delay_ms && now + wait < valid {
            let from = now + wait;
            batch.tokens -= 1.0;
            batch.spent.book(from, 1);
            batch.last_spend = Some(from);
            let until = valid.min(from + self.tuning.max_write_delay_ms);
            return Spend::Done { from, until };
        }
        // Where units are held, only the pace is in the way.
        let empty = batch.remaining == 0 && now < batch.empty_until;
        let hopeless = empty && (batch.held() <= batch.waiting || now < batch.paced_until);
        // After a start the first allowance is on its way, or the counter is about to lend again: clients come back once or
        // twice, and would be refused each time.
        let starting = !batch.has_first_units && now < self.started + STARTUP_MS;
        if !starting && (self.no_call_until.is_some() || hopeless) {
            return self.refuse(now, tenant);
        }
        batch.waiting += 1;
        Spend::Wait
    }

    /// Refuses a request that has waited long enough; a unit that has come in the meantime is spent.
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

    /// One request fewer waits: no unit is asked for it any more.
    fn stop_waiting(&mut self, tenant: &str) {
        if let Some(batch) = self.batches.get_mut(tenant) {
            batch.waiting = batch.waiting.saturating_sub(1);
        }
    }

    /// Spends a unit for a further try of a request, right now. False: there is none, and it must not be sent; nothing is
    /// fetched for it either.
    pub fn spend_for_retry(&mut self, now: u64, tenant: &str) -> bool {
        self.expire_loans(now);
        let valid = now < self.valid_until;
        let Some(batch) = self.batches.get_mut(tenant).filter(|batch| batch.limit.is_some()) else {
            return true;
        };
        batch.age(now, &self.tuning);
        let covered = valid && batch.held() > 0 && batch.tokens >= 1.0;
        if covered {
            batch.tokens -= 1.0;
            batch.spent.book(now, 1);
            batch.last_spend = Some(now);
        }
        covered
    }

    fn refuse(&mut self, now: u64, tenant: &str) -> Spend {
        let silent = self.no_call_until.unwrap_or(0);
        let Some(batch) = self.batches.get_mut(tenant) else {
            return Spend::Done { from: 0, until: u64::MAX };
        };
        batch.refused += 1;
        // Own units come back by themselves, others at the counter.
        let own = match batch.held() {
            0 => batch.spent.next_free().unwrap_or(u64::MAX),
            _ => now.saturating_add(batch.pace_wait_ms(now, &self.tuning)),
        };
        let soon = if batch.has_first_units { self.tuning.fetch_interval_ms } else { FIRST_RETRY_MS };
        let others = batch.empty_until.max(silent).max(now + soon);
        let free = others.min(own.max(now + 1));
        Spend::Refused { retry_after_ms: (free - now).clamp(1, RETRY_MOST_MS) }
    }

    /// When the next call is due, ms; `u64::MAX` without a tenant that has a limit or something to tell.
    fn due(&self) -> u64 {
        let Some(last) = self.last_sent else {
            return if self.batches.is_empty() { u64::MAX } else { self.started };
        };
        let tuning = &self.tuning;
        let urgent_fetch_interval_ms = tuning.spacing_ms(u64::from(self.gateways));
        let fetch_interval_ms = tuning.fetch_interval_ms.max(urgent_fetch_interval_ms);
        let mut due = u64::MAX;
        for batch in self.batches.values() {
            if batch.limit.is_none() {
                // Units dropped with a limit: the counter may still count them.
                if batch.counter_loan.is_none_or(|told| told > 0) {
                    due = due.min(last + tuning.return_interval_ms);
                }
                continue;
            }
            due = due.min(last + tuning.refresh_interval_ms);
            if batch.counter_loan.is_none_or(|told| told > batch.in_force())
                || batch.idle(last + tuning.return_interval_ms, tuning)
            {
                due = due.min(last + tuning.return_interval_ms);
            }
            if batch.waiting > 0 && batch.held() >= batch.waiting {
                due = due.min(last + urgent_fetch_interval_ms);
            } else if batch.remaining == 0 && batch.empty_until > 0 {
                if batch.low() {
                    due = due.min(batch.empty_until.max(last + urgent_fetch_interval_ms));
                }
            } else if batch.waiting > 0 {
                let paced_out = batch.room == 0 && batch.has_first_units;
                due = due.min(last + if paced_out { fetch_interval_ms } else { urgent_fetch_interval_ms });
            } else if !batch.has_first_units && batch.target() > 0 {
                due = due.min(last + fetch_interval_ms);
            } else if batch.low() {
                let calm = batch.held() > 0 && batch.remaining * 8 >= batch.cap();
                due = due.min(last + if calm { tuning.return_interval_ms / 2 } else { fetch_interval_ms });
            }
        }
        if self.report_all && due != u64::MAX {
            due = due.min(last + tuning.urgent_fetch_interval_ms);
        }
        due.max(self.no_call_until.unwrap_or(0))
    }

    /// When to `poll` again, ms by the monotonic clock; `None` while a call is under way, or without tenants.
    pub fn next_wake(&self) -> Option<u64> {
        match self.open_call {
            Some(_) => None,
            None => Some(self.due()).filter(|due| *due != u64::MAX),
        }
    }

    /// The call that is due, if any: send it to the core member that leads. One is under way at a time.
    pub fn poll(&mut self, now: u64) -> Option<UnitsCall> {
        if self.open_call.is_some() || now < self.due() {
            return None;
        }
        self.expire_loans(now);
        Some(self.call(now, false))
    }

    /// Returns all units at shutdown, in a last call whose answer is not needed. Nothing is spent after it.
    pub fn return_all(&mut self, now: u64) -> UnitsCall {
        self.valid_until = 0;
        self.expire_loans(now);
        for batch in self.batches.values_mut() {
            (batch.waiting, batch.refused) = (0, 0);
        }
        self.call(now, true)
    }

    fn call(&mut self, now: u64, end: bool) -> UnitsCall {
        self.seq += 1;
        let all = self.report_all;
        let mut call = UnitsCall {
            incarnation: self.life,
            seq: self.seq,
            is_full_report: all,
            is_final: end,
            ..UnitsCall::default()
        };
        if all {
            (call.name, call.uptime_ms, call.counter_term) =
                (self.name.clone(), now - self.started, self.term);
            call.reports_boosted = true;
        }
        let tuning = &self.tuning;
        for (tenant, batch) in &mut self.batches {
            batch.age(now, tuning);
            let want = if end { 0 } else { Self::ask(tuning, now, batch) };
            let loan = batch.in_force();
            let known = batch.counter_loan == Some(loan);
            let boost = if end { 0 } else { batch.boost(now) };
            (batch.boost_asked, batch.limit_lowered) = (boost > 0, false);
            if (!all && want + boost == 0 && known) || (batch.limit.is_none() && known && loan == 0) {
                continue;
            }
            let mut units = TenantUnits { loan, requested: want, boost, ..TenantUnits::default() };
            units.is_first_fetch = want > 0 && !batch.has_first_units;
            if all {
                let pace = batch.pace(now);
                units.pace = if pace > loan { pace } else { 0 };
                units.min_pace = batch.least.get(now, tuning.window_ms, pace, u64::min);
                let most = batch.most.get(now, tuning.span_ms(), pace, u64::max);
                units.max_pace = if most > pace.max(loan) { most } else { 0 };
                units.unspendable = loan - batch.loan;
                units.boosted = batch.boosts.sum();
            }
            batch.call_loan = Some(loan);
            call.tenants.insert(tenant.clone(), units);
        }
        self.open_call = Some(OpenCall { seq: self.seq, sent: now });
        self.last_sent = Some(now);
        call
    }

    /// Units to ask for in a call that goes out anyway; gives idle ones back on the way.
    fn ask(tuning: &Tuning, now: u64, batch: &mut Batch) -> u64 {
        if batch.limit.is_none() {
            return 0;
        }
        let target = batch.target();
        if batch.idle(now, tuning) {
            let loan = batch.spent.sum() + target.min(batch.held());
            batch.set_loan(now, tuning, loan);
            return 0;
        }
        if now < batch.empty_until && batch.remaining == 0 {
            return 0;
        }
        if !batch.has_first_units && !batch.on_demand {
            return target + batch.waiting;
        }
        let missing = target.saturating_sub(batch.held());
        if batch.on_demand {
            return (batch.waiting + target).saturating_sub(batch.held());
        }
        if batch.waiting + batch.refused > 0 {
            // They are the first of a rise, or are held up by the pace.
            return missing.max(batch.spent.sum() / 4 + 1) + batch.waiting + batch.refused;
        }
        // A call goes out anyway: a batch that is partly spent is filled up on the way.
        if batch.low() || batch.held() * 2 < target {
            return missing.max(1);
        }
        0
    }

    /// The counter's answer. Only that to the newest call counts, and only while no newer counter has been heard of.
    pub fn answered(&mut self, now: u64, answer: &UnitsAnswer) {
        let Some(OpenCall { seq, sent }) = self.open_call else { return };
        if answer.seq != seq && self.tuning.keeps(Guard::NewestAnswer) {
            return;
        }
        if answer.term < self.term {
            return self.failed(now);
        }
        self.open_call = None;
        let news = self.note_term(answer.term);
        (self.pause, self.no_call_until) = (FIRST_PAUSE_MS, None);
        if answer.full_report_needed {
            self.batches.values_mut().for_each(|batch| batch.call_loan = None);
            // Asked for a full report though the call was one, and for this counter: not again at once.
            if self.report_all && !news {
                self.no_call_until = Some(now + FIRST_PAUSE_MS);
            }
            self.report_all = true;
            return;
        }
        self.report_all = false;
        self.expire_loans(now);
        self.valid_until = self.valid_until.max(sent + self.tuning.lease_ms);
        let valid = now < self.valid_until;
        for (tenant, batch) in &mut self.batches {
            if let Some(loan) = batch.call_loan.take() {
                batch.counter_loan = Some(loan);
            }
            if let Some(grant) = answer.tenants.get(tenant) {
                let receipt = Receipt { now, sent, valid: valid && !batch.limit_lowered };
                Self::take(&self.tuning, receipt, batch, grant);
            }
            // Every request that waits spends again, and counts anew if it has to wait on.
            batch.waiting = 0;
        }
    }

    /// Takes in what was granted of one tenant.
    fn take(tuning: &Tuning, receipt: Receipt, batch: &mut Batch, grant: &TenantGrant) {
        let Receipt { now, sent, valid } = receipt;
        batch.remaining = grant.remaining;
        batch.room = grant.pace_headroom.map_or(grant.remaining, |room| room.min(grant.remaining));
        let waited = batch.waiting + batch.refused > 0;
        (batch.waiting, batch.refused) = (0, 0);
        batch.age(now, tuning);
        if grant.granted > 0 {
            batch.has_first_units = true;
            batch.last_grant = now;
            // The counter has recorded them as lent: what is returned is found by comparison with this.
            batch.counter_loan = batch.counter_loan.map(|told| told + grant.granted);
            if valid && batch.limit.is_some() {
                let loan = batch.loan + grant.granted;
                batch.set_loan(now, tuning, loan);
            }
        }
        if grant.initial_pace > 0 && valid {
            (batch.lift, batch.lift_until) = (grant.initial_pace, sent + tuning.pace_floor_ms);
            batch.note_pace(now, tuning);
        }
        if grant.boost > 0 && valid && now <= sent + tuning.max_boost_answer_ms {
            let depth = tuning.depth_of(batch.cap()) as f64;
            batch.tokens = (batch.tokens + grant.boost as f64).min(depth);
            batch.boosts.book(now, grant.boost);
        }
        if batch.boost_asked {
            batch.paced_until = if grant.boost > 0 { 0 } else { now + tuning.exhausted_fetch_interval_ms };
        }
        batch.empty_until = 0;
        if batch.on_demand {
            // What others give back is free at once.
            if grant.granted == 0 && grant.remaining == 0 && waited {
                batch.empty_until = now + tuning.exhausted_fetch_interval_ms;
            }
        } else if grant.remaining == 0 {
            // The first units of a new life come as those of its predecessors go.
            batch.empty_until = now
                + if batch.has_first_units {
                    tuning.exhausted_fetch_interval_ms
                } else {
                    tuning.fetch_interval_ms
                };
            // A request that is refused keeps the demand known for those that follow.
            batch.refused = u64::from(grant.granted == 0 && waited && batch.held() == 0);
        }
    }

    /// The call under way got no answer in time, or there is no leader. What it may have been granted is never used.
    pub fn failed(&mut self, now: u64) {
        if self.open_call.take().is_none() {
            return;
        }
        for batch in self.batches.values_mut() {
            if batch.call_loan.take().is_some() {
                // It may have arrived, and its grant be lent: the next call reports otherwise.
                batch.counter_loan = None;
            }
        }
        self.no_call_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE_MS);
    }

    /// The call under way was sent at `since` or later and names this tenant: an answer may be about to come.
    pub fn is_fetching(&self, tenant: &str, since: u64) -> bool {
        let named = self.batches.get(tenant).is_some_and(|batch| batch.call_loan.is_some());
        named && self.open_call.is_some_and(|call| call.sent >= since)
    }

    /// What is held and spent here, of each tenant with a limit, by name, of the first `most`.
    pub fn holdings(&mut self, now: u64, most: usize) -> Vec<Holding> {
        let (valid, tuning) = (now < self.valid_until, &self.tuning);
        let holding = |(tenant, batch): (&String, &mut Batch)| {
            batch.age(now, tuning);
            let held = if valid { batch.held() } else { 0 };
            Holding { tenant: tenant.clone(), held, spent: batch.spent.sum() }
        };
        let limited = self.batches.iter_mut().filter(|(_, batch)| batch.limit.is_some());
        limited.take(most).map(holding).collect()
    }

    /// Units held of a tenant that may be spent at `now`.
    pub fn held(&mut self, now: u64, tenant: &str) -> u64 {
        match self.batches.get_mut(tenant) {
            Some(batch) if now < self.valid_until => {
                batch.age(now, &self.tuning);
                batch.held()
            }
            _ => 0,
        }
    }
}
