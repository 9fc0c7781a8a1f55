//! Leases: what this gateway holds of each customer's quota, and its calls to the counter.

use super::*;

/// Share of the remaining quota that one fetch takes at most: the paper's static batch.
const SHARE: f64 = 0.5;
/// Span of recent use that caps a lease, in burst lengths: the paper's dynamic batch.
const RECENT: f64 = 0.25;
/// A batch idle for this part of the burst's length goes back (design page).
const GIVE_BACK: f64 = 0.25;
/// Part of the cap by which the books may be off before a call of its own puts them right, and that part
/// through many doors: each meets a name seldom, and half of all calls did nothing else.
const TOLERANCE: f64 = 0.1;
const TOLERANCE_MOST: f64 = 0.4;
/// Odds that a fetch is made after a silence. Each quick answer in a row raises them by more and any other
/// lowers them, so that all together stay under a limit that none is told.
const ODDS_BACK: f64 = 0.5;
const ODDS_UP: f64 = 0.03;
const ODDS_DOWN: f64 = 0.7;
/// Worth for its time against the mean, up and down, by which the odds of a request differ at most.
const STAKE_MOST: f64 = 2.0;
/// An answer slower than this part of the way from the counter's quickest to its time-out is a sign of
/// crowding: where it stands far off or works slowly, a quick one takes long, too. The quickest forgets by
/// this much an answer.
const CROWDED_AT: f64 = 0.5;
const BRISK_CREEP: f64 = 1.001;
/// Under these odds the counter is crowded: calls that only tidy the books can wait.
const TIDY_ODDS: f64 = 0.7;
/// Weight of one fetch in the part that fits: of a plan's, and of one customer's.
const TRUST_GAIN: f64 = 0.1;
const OWN_GAIN: f64 = 0.5;
/// Calls in a row without an answer that make the counter silent: a crowded one still answers some.
const SILENT_CALLS: u32 = 6;
/// Part of the cap that a store must be known to hold for its customer to be trusted whatever was before.
const KNOWN_ROOM: f64 = 0.15;
/// A store found empty is left to the other doors for this part of the time in which it fills for them all:
/// they would ask for each unit that comes together, and hand back what does not fit.
const PATIENCE: f64 = 0.25;

impl Pool {
    /// The lease of a plan's customer that comes in through so many doors with requests of up to `top` units;
    /// `shift` (0 to 1) keeps customers from changing windows together.
    pub(crate) fn new(plan: &Plan, shift: f64, doors: f64, top: f64) -> Option<Pool> {
        let (mut rate, mut cap, strict) = (plan.rate, plan.burst, plan.ceiling_rate > 0.0);
        let (mut spare, mut spare_rate) = (0.0, 0.0);
        if strict {
            // Ceiling: what all doors may spend on trust and, at a window's seam, two caps fit it together.
            spare = if doors * top <= plan.ceiling_burst / 2.0 { top } else { 0.0 };
            let most = (plan.ceiling_burst + plan.ceiling_slack - doors * spare) / 2.0;
            rate = if rate > 0.0 { rate.min(plan.ceiling_rate) } else { plan.ceiling_rate / 2.0 };
            cap = if cap > 0.0 { cap.min(most) } else { most };
            spare_rate = (plan.ceiling_rate - rate) / doors / 1000.0;
        }
        let (span, length) = (cap / rate * 1000.0, NAME_LIFE_MS / 2.0);
        let (phase, never) = (shift * length, f64::NEG_INFINITY);
        let seen = Pool { used_at: never, trusted_at: never, judged_at: never, ..Pool::default() };
        let times = Pool { length, phase, span, window: i64::MIN, ..seen };
        let pool = Pool { strict, rate: rate / 1000.0, cap, doors, spare, spare_rate, ..times };
        (rate > 0.0).then_some(pool)
    }

    fn spend(&mut self, now: f64, units: f64) {
        self.held -= units;
        self.recent = self.recent * (-(now - self.used_at) / (RECENT * self.span).max(1.0)).exp() + units;
        self.used_at = now;
    }

    /// Trust in a customer: what this door saw of its fetches, fading into what it saw of the plan. A few
    /// that ask for many times their quota make most fetches of a plan, which alone took the trust from all.
    /// Harm: after a burst of its own a customer is asked for rather than trusted.
    fn trust(&self, now: f64, plan: f64) -> f64 {
        plan + (-(now - self.judged_at) / self.length).exp() * (self.fits - plan)
    }

    fn judge(&mut self, now: f64, fits: f64, plan: &mut f64) {
        // Who was judged lately says nothing new of the plan: else a few heavy ones would speak for all.
        let fresh = 1.0 - (-(now - self.judged_at) / self.length).exp();
        self.fits = (1.0 - OWN_GAIN) * self.trust(now, *plan) + OWN_GAIN * fits;
        *plan += TRUST_GAIN * fresh * (fits - *plan);
        self.judged_at = now;
    }

    /// Units to fetch so that `need` is covered: half the remainder, capped by recent use and one request.
    fn size(&self, now: f64, need: f64, one: f64) -> f64 {
        let (room, short) = (self.room(now), need - self.held);
        let ahead = (SHARE * room).min(self.recent + one);
        // Whole units: a part of one serves nobody and would lie stranded.
        ahead.max(short).min(room.max(short.min(one))).ceil().max(0.0)
    }

    /// Books an answered call; true if the name was flushed. What does not fit is handed back, by lot
    /// (`drawn`) where the odds of a fetch are low: a third of all calls did nothing else.
    pub(crate) fn settle(&mut self, now: f64, flight: &Flight, total: f64, drawn: bool) -> bool {
        let prior = total - flight.amount();
        // Below this limiter's own adds: the name was forgotten, and fresh leases would overshoot.
        let flushed = prior < self.own - 0.5;
        if flushed {
            self.target = self.told.unwrap_or(self.own).max(self.own);
            self.own = 0.0;
        }
        let floor = self.floor(now);
        let base = floor.max(self.target);
        let lacking = (base - prior).max(0.0);
        // Two limiters may put the same name right at once: whoever came second takes its part back.
        let mut fix = if flight.fix > 0.0 { (lacking - flight.fix).max(-flight.fix) } else { lacking };
        if fix.abs() < (TOLERANCE * self.doors / FEW).clamp(TOLERANCE, TOLERANCE_MOST) * self.cap {
            fix = 0.0;
        }
        let free = floor + self.cap - base.max(prior) - flight.owed;
        let barred = flushed && self.strict;
        let granted = if barred { 0.0 } else { (free + ROUNDING).floor().clamp(0.0, flight.take) };
        if granted < flight.take.min(1.0) && self.doors > FEW {
            // Not for longer than an empty store takes to be full again: through many doors a slow plan's
            // customer was shut out for minutes.
            self.shut = now + (PATIENCE * flight.take * self.doors / self.rate).min(self.span);
        }
        // What stood for others and does not fit was beyond the quota: it must not weigh on what comes.
        let surplus = flight.take - granted + (flight.unseen - (free - granted).max(0.0)).max(0.0).floor();
        if self.strict || flight.odds >= 1.0 {
            fix -= surplus;
        } else if drawn && surplus > 0.0 {
            // Stands for the others that were not drawn: down to the cap, whoever passed it.
            fix = (floor + self.cap - total).min(-surplus);
        }
        self.held += granted;
        self.own += flight.amount();
        self.fix += fix;
        // Past the cap lies only what others are about to hand back: to trust it would refuse for seconds.
        // After a flush the call that puts it right is judged by this: by the floor alone it was undone.
        self.target = if flushed { total + fix } else { 0.0 };
        self.told = Some((total + fix).min(floor + self.cap));
        flushed
    }
}

impl Limiter {
    /// Serves a customer's waiting requests in turn from its batches; fetches where they fall short.
    pub(crate) fn serve(&mut self, customer: u64) {
        let Some(mut account) = self.accounts.remove(&customer) else { return };
        let (now, mut admitted) = (self.now, Vec::new());
        for pool in account.pool.iter_mut() {
            pool.roll(now);
            self.fit(pool);
        }
        while let Some(id) = account.waiters.front().cloned() {
            let waiting =
                |id: &RequestId| self.requests.get(id).filter(|request| request.stage == Stage::Units);
            let Some((units, stake)) = waiting(&id).map(|request| (request.units, request.stake)) else {
                account.waiters.pop_front();
                continue;
            };
            // An even part of the cap on open attempts: asking the counter for each would crowd it.
            let most = (account.at_once / account.doors).ceil();
            if most > 0.0 && account.open + admitted.len() as f64 >= most {
                break;
            }
            let need = account.waiters.iter().filter_map(waiting).map(|request| request.units).sum();
            let covered = match account.pool.as_mut().filter(|pool| pool.held + 1e-6 < units) {
                Some(pool) => self.cover(customer, pool, units, need, stake),
                None => Cover::Held,
            };
            if matches!(covered, Cover::Wait) {
                break;
            }
            account.waiters.pop_front();
            if let Cover::None(pause) = covered {
                self.refuse(&id, pause);
                continue;
            }
            account.pool.iter_mut().for_each(|pool| pool.spend(now, units));
            let request = self.requests.get_mut(&id).expect("looked up above");
            (request.stage, request.paid) = (Stage::Line, true);
            request.charged = account.pool.as_ref().map_or(0, |pool| pool.window);
            admitted.push(id);
        }
        if let Some(pool) = account.pool.as_mut() {
            // Not on the heels of a failed call: where connections are refused, which fails at once, this
            // asked again and again without a pause. The next sweep does it.
            let tidy = pool.fix < 0.0 || (pool.fix > 0.0 && self.odds >= TIDY_ODDS);
            if tidy && !pool.unanswered {
                self.ask(customer, pool, 0.0, 0.0);
            }
        }
        self.accounts.insert(customer, account);
        admitted.into_iter().for_each(|id| self.place(id));
    }

    /// Brings a pool to hold what the request needs: by a fetch, or by the local share while that can't be.
    fn cover(&mut self, customer: u64, pool: &mut Pool, units: f64, need: f64, stake: f64) -> Cover {
        let lacking = units - pool.held - pool.room(self.now);
        let pause = lacking.max(0.0) / pool.rate;
        let blind = std::mem::take(&mut pool.unanswered) || self.silent || !self.settings.counter_enabled;
        if pool.flight.is_some() && !blind {
            return Cover::Wait;
        }
        // A mistake costs by worth: the dear are asked for more often.
        let odds = self.odds.powf(1.0 / stake.clamp(1.0 / STAKE_MOST, STAKE_MOST));
        let chosen = self.rng.f64() < odds;
        // Trust pays while so many fetches of the customer fit and the fleet has room; a client's repeat was
        // mostly refused for cause.
        let over_cost = self.settings.plans[pool.plan].excess_cost;
        let trust = pool.trust(self.now, self.trust[pool.plan]);
        let room = self.admit.powf(1.0 / (1.0 + self.eased));
        // A store known to have room speaks for itself, whoever asks; through many doors not for long.
        let fresh = pool.doors <= FEW || (self.now - pool.judged_at) * pool.doors < FEW * pool.span;
        let known = pool.told.is_some() && fresh && pool.room(self.now) >= KNOWN_ROOM * pool.cap;
        let doubtful = !known && (stake <= 0.0 || trust * room < over_cost / (1.0 + over_cost));
        if blind {
            if chosen && self.silent {
                self.ask(customer, pool, 0.0, 0.0);
            }
            // Few gateways know a silent counter's customers well enough by their own share.
            let pass = !doubtful || self.unseen < 0.5;
            return if pass { self.local(pool, units, pause, true) } else { Cover::None(f64::INFINITY) };
        }
        if pool.told.is_some() && lacking > ROUNDING || self.now < pool.shut {
            // Known to be empty: asking would cost a call and change nothing.
            return Cover::None(pause.max(pool.shut - self.now));
        }
        if chosen {
            // Stands also for those that were not chosen but trusted: each add counts for one in so many.
            let take = pool.size(self.now, need, units).max(units - pool.held);
            // (The doubtful were not, but while the fleet is short their quota is counted down all the same.)
            let stands = if doubtful { 1.0 - self.admit } else { 1.0 };
            let unseen = stands * units * (1.0 / odds - 1.0);
            self.ask(customer, pool, take, unseen);
            return Cover::Wait;
        }
        if doubtful {
            // For as long as advice goes: told nothing, the client comes at once and is doubted again.
            return Cover::None(f64::INFINITY);
        }
        self.local(pool, units, pause, false)
    }

    /// A bounded share of what is left, for as long as the counter can't be asked. Under a ceiling it is the
    /// door's own part of the room above the lease: two limiters that both guess would pass it.
    fn local(&self, pool: &mut Pool, units: f64, pause: f64, booked: bool) -> Cover {
        let (now, lacking) = (self.now, units - pool.held);
        // Of a small store an even part is under one request: each door may serve its first.
        let most = (pool.cap / (2.0 * units.max(1.0))).max(1.0);
        let doors = pool.doors.clamp(1.0, most);
        let trusted = (pool.trusted + (now - pool.trusted_at) * pool.spare_rate).min(pool.spare);
        if pool.room(now) < lacking * doors || (pool.strict && trusted < lacking) {
            return Cover::None(pause);
        }
        (pool.trusted, pool.trusted_at) = (trusted - lacking, now);
        // The other gateways are taken to spend as much, so the guess of the total moves for all of them.
        pool.told = Some(pool.told.unwrap_or(0.0).max(pool.floor(self.now)) + lacking * doors);
        pool.owed += if booked { lacking } else { 0.0 };
        pool.held += lacking;
        Cover::Held
    }

    /// Calls the counter for a pool, one call at a time for each name.
    pub(super) fn ask(&mut self, customer: u64, pool: &mut Pool, take: f64, unseen: f64) {
        if !self.settings.counter_enabled || pool.flight.is_some() {
            return;
        }
        let mut flight =
            Flight { window: pool.window, asked: self.now, odds: self.odds, ..Flight::default() };
        // A silent counter is only read: what a lost call may have added would be on the books twice.
        if !self.silent {
            flight = Flight { take, unseen, fix: pool.fix, owed: pool.owed, ..flight };
            (pool.fix, pool.owed) = (0.0, 0.0);
        }
        let (name, amount) = (format!("{customer}.{}", pool.window), flight.amount());
        pool.flight = Some(flight);
        self.out.push(Action::IncrementCounter(name, amount, NAME_LIFE_MS));
    }

    pub(super) fn counted(&mut self, name: &str, status: Status, total: f64) {
        let Some(customer) = name.split('.').next().and_then(|text| text.parse().ok()) else { return };
        let now = self.now;
        let Some(pool) = self.accounts.get_mut(&customer).and_then(|account| account.pool.as_mut()) else {
            return;
        };
        let Some(flight) = pool.flight.take() else { return };
        let waited = now - flight.asked;
        pool.roll(now);
        if pool.window != flight.window {
            // The answer is about a window that has ended, and its batch with it.
        } else if status == Status::Ok {
            if pool.settle(now, &flight, total, self.rng.f64() < flight.odds) {
                self.out.push(Action::Log(format!("count {name} was flushed: total {total}")));
            }
            if flight.take > 0.0 {
                let fits = if pool.held >= flight.take.min(1.0) { 1.0 } else { 0.0 };
                pool.judge(now, fits, &mut self.trust[pool.plan]);
            }
        } else if status == Status::TimedOut {
            // May have been added: then others see it. Not ours to spend, and not ours to take back.
            pool.own += flight.amount().min(0.0);
            pool.late.push_back(flight);
        } else {
            (pool.owed, pool.fix) = (pool.owed + flight.owed, pool.fix + flight.fix);
        }
        pool.unanswered = status != Status::Ok;
        self.pace(status, waited);
        self.serve(customer);
    }

    /// Sets the odds of a fetch by how the counter answers, so that limiters share a crowded one. One that
    /// answers no call in a row is silent: only read, and seldom, since hundreds of polls would hold it down.
    fn pace(&mut self, status: Status, waited: f64) {
        let answered = status == Status::Ok;
        let timeout = self.settings.counter_timeout_ms;
        if answered {
            self.brisk = if self.brisk > 0.0 { (self.brisk * BRISK_CREEP).min(waited) } else { waited };
        }
        let quick = answered && waited < self.brisk + CROWDED_AT * (timeout - self.brisk).max(0.0);
        self.quick = if quick { self.quick + 1.0 } else { 0.0 };
        self.odds *= if quick { 1.0 + ODDS_UP * self.quick } else { ODDS_DOWN };
        self.odds = self.odds.clamp(ODDS_LEAST, 1.0);
        self.misses = if answered { 0 } else { self.misses + 1 };
        let silent = self.misses >= SILENT_CALLS;
        if silent != self.silent {
            self.silent = silent;
            self.odds = if silent { ODDS_LEAST } else { ODDS_BACK };
            self.out.push(Action::Log(format!("counter {}", if silent { "silent" } else { "back" })));
        }
    }

    /// Idle batches go back, what was spent in silence goes on the books, unused accounts are freed.
    pub(super) fn sweep_accounts(&mut self) {
        let now = self.now;
        for customer in self.accounts.keys().copied().collect::<Vec<_>>() {
            let Some(mut account) = self.accounts.remove(&customer) else { continue };
            for pool in account.pool.iter_mut().filter(|_| account.waiters.is_empty()) {
                pool.roll(now);
                let idle = now - pool.used_at > GIVE_BACK * pool.span;
                // Nobody lacks what lies idle while the store is half full: handing it back only crowds.
                if idle && pool.held > 0.0 && pool.room(now) < pool.cap / 2.0 && self.settings.counter_enabled
                {
                    pool.fix -= pool.held;
                    pool.held = 0.0;
                }
                if pool.fix < 0.0 || (self.odds >= TIDY_ODDS && pool.fix + pool.owed > 0.0) {
                    self.ask(customer, pool, 0.0, 0.0);
                }
            }
            if now - account.seen < NAME_LIFE_MS || account.open > 0.0 || !account.waiters.is_empty() {
                self.accounts.insert(customer, account);
            }
        }
    }
}
