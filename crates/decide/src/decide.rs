//! The decisions of an admission gateway. The interface (settings, events, actions) is `src/api.rs`.
//!
//! Order: admission (leases, ceiling, open cap, waiting line), server choice and health, attempts, cold
//! starts. What is remembered: `src/state.rs`. Sans-IO and deterministic: everything follows from the
//! settings, the seed and the events.

use crate::api::*;
use crate::state::*;
use std::collections::BTreeMap;

/// Share of the remaining quota that one fetch takes at most: the paper's static batch.
const SHARE: f64 = 0.5;
/// Span of recent use that caps a lease, in burst lengths: the paper's dynamic batch.
const RECENT: f64 = 0.25;
/// A batch idle for this part of the burst's length goes back (design page).
const GIVE_BACK: f64 = 0.25;
/// Longest life of a count name, ms (the counter service's own bound); a window is half of it, so that no
/// name is forgotten within its window.
const NAME_LIFE_MS: f64 = 60_000.0;
/// Part of the cap by which the books may be off before a call of its own puts them right, and that part
/// through many doors: each meets a name seldom, and half of all calls did nothing else.
const TOLERANCE: f64 = 0.1;
const TOLERANCE_MOST: f64 = 0.4;
/// Totals come to seven digits: a store is full enough when it lacks no more than this, units.
const ROUNDING: f64 = 0.02;
/// Odds that a fetch is made, after a silence and at least. Each quick answer in a row raises them by more
/// and any other lowers them, so that all together stay under a limit that none is told.
const ODDS_BACK: f64 = 0.5;
const ODDS_LEAST: f64 = 0.15;
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
/// Part of a request's aim that it may wait for units or for an attempt of its customer to end.
const UNIT_WAIT: f64 = 0.25;
/// Rounds between two sweeps over requests and servers: while requests wait for a server, and else, when a
/// sweep finds next to nothing to do; then between two over accounts. Idle ones were a third of all CPU.
const SWEEP_STEPS: f64 = 2.0;
const CALM_STEPS: f64 = 5.0;
const ACCOUNT_STEPS: f64 = 16.0;
/// Part of its time after which a request that was never sent is refused: later, refusing costs too.
const UNSENT_PART: f64 = 0.48;
/// Least and most weight of one sample in a server's average, by its age in so many mean latencies: a few
/// samples must do where a gateway sees a server seldom. Then the weight in a class's average.
const SERVER_GAIN: f64 = 0.1;
const SPARSE_GAIN: f64 = 0.4;
const GAIN_MEANS: f64 = 40.0;
const CLASS_GAIN: f64 = 0.03;
/// Mean latency assumed for a class before the first answer, as a part of its aim.
pub(crate) const FIRST_GUESS: f64 = 0.2;
/// A server is set aside when the attempts out there have waited, since it was last heard, so many mean
/// latencies in sum and the oldest so many: one long request alone is no silence.
const SILENT_SUM: f64 = 12.0;
const SILENT_ONE: f64 = 4.0;
/// A server this much slower than the median is set aside; slower together, nobody is.
const SLOW_X: f64 = 2.5;
/// At most this part of the fleet is set aside: the rest could not carry more.
const ASIDE_PART: f64 = 0.4;
/// First and longest pause before a test of a set-aside server, in mean latencies.
const TEST_PAUSE: f64 = 5.0;
const TEST_PAUSE_MAX: f64 = 40.0;
/// Part of the first attempts that may test a lost path: with most lost, tests would use up the attempts.
const PATH_TESTS: f64 = 0.05;
/// A copy goes out when an attempt has been out for so many mean latencies of its class.
const HEDGE_X: f64 = 3.0;
/// Usual latencies that an attempt's bound leaves within the aim for another, and that it takes at least.
const BOUND_SPARE: f64 = 2.0;
const BOUND_LEAST: f64 = 4.0;
/// Further attempts allowed for each first one, and how many may be saved up: bounds a retry storm.
const RETRY_RATE: f64 = 0.15;
const RETRY_SAVED: f64 = 20.0;
/// Attempts out at one server: first bound, and the parts of the aim that widen or narrow it.
const FIRST_LIMIT: f64 = 2.0;
const LEAST_LIMIT: f64 = 1.0;
const WIDEN_BELOW: f64 = 1.1;
const NARROW_ABOVE: f64 = 1.45;
/// The lowest mean latency forgets by this much an outcome: a first guess that was too low must not last.
const CALM_CREEP: f64 = 1.0003;
const NARROW_BY: f64 = 0.85;
/// An answer later than this part of its aim, or none for lack of room, tells of a fleet driven over: what
/// one twice as late leaves of the odds of admission, how late they count at most (work varies: barely late
/// says little), and what a quick answer adds.
const LATE_AT: f64 = 0.4;
const SHED_DOWN: f64 = 0.75;
const LATE_MOST: f64 = 1.5;
const SHED_UP: f64 = 0.05;
/// A quick answer after a long time raises the odds by so many times more for each aim that passed.
const RARE_X: f64 = 3.0;
/// Weight by which each quick answer in a row parts trust from shedding: both at once kept servers idle.
const EASE: f64 = 0.5;
/// A gateway uses as many servers as its own sends in so many mean aims can judge, and at least so many:
/// seen once in a minute a server can't be judged, and every hung one would be met anew.
const SUBSET_AIMS: f64 = 2.0;
const SUBSET_LEAST: f64 = 8.0;
/// With more gateways (doors) than this one's own place bounds, work out and books say little.
const FEW: f64 = 4.0;
/// Time constant of a server's and the fleet's send rate, ms.
const RATE_SPAN_MS: f64 = 2_000.0;

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

/// One limiter: tell it events, carry out its actions.
#[derive(Debug, Default)]
pub struct Limiter {
    pub(crate) settings: Settings,
    pub(crate) figures: crate::tune::Figures,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: f64,
    pub(crate) out: Vec<Action>,
    pub(crate) accounts: BTreeMap<u64, Account>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    line: Vec<RequestId>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Those that run, in the order of this gateway's choice.
    ring: Vec<ServerId>,
    /// Mean latency by class for each part of a request's size, ms, and the mean size.
    pub(crate) latency: Vec<Average>,
    pub(crate) size: Average,
    /// The lowest that the mean latency of each class has been, ms: servers that hold little.
    pub(crate) calm: Vec<f64>,
    pub(crate) usual: Vec<crate::age::Usual>,
    /// Part of the fetches that fitted lately, by plan.
    pub(crate) trust: Vec<f64>,
    /// Odds that a fetch is made rather than its request served on trust.
    odds: f64,
    /// Servers to which no connection came about.
    lost: f64,
    /// The counter's quickest answer, ms.
    brisk: f64,
    quick: f64,
    pub(crate) misses: u32,
    silent: bool,
    retries: f64,
    /// Part of the fleet's work that the other gateways send, as far as it matters here.
    unseen: f64,
    answered_at: f64,
    eased: f64,
    /// Odds that a request of mean worth for its time is taken in, and that mean.
    pub(crate) admit: f64,
    worth: f64,
    sends: f64,
    sends_at: f64,
    swept: bool,
    accounts_at: f64,
}

impl Limiter {
    /// A limiter that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Limiter, BadSettings> {
        let store = |rate: f64, burst: f64| rate == 0.0 || (rate > 0.0 && burst > 0.0);
        let checks = [
            (settings.plans.iter().all(|p| store(p.rate, p.burst)), "a plan's rate needs a burst"),
            (
                settings.plans.iter().all(|p| store(p.ceiling_rate, p.ceiling_burst)),
                "a ceiling needs a burst",
            ),
            (settings.classes.iter().all(|class| class.aim_ms > 0.0), "a class needs an aim above 0"),
            (settings.step_ms > 0.0, "the step must be above 0"),
            (settings.max_attempts > 0, "the most attempts must be above 0"),
            (settings.me < settings.siblings, "me must be under siblings: the number of gateways"),
        ];
        if let Some((_, why)) = checks.into_iter().find(|(fine, _)| !fine) {
            return Err(BadSettings(why));
        }
        let guesses: Vec<f64> = settings.classes.iter().map(|class| class.aim_ms * FIRST_GUESS).collect();
        Ok(Limiter {
            rng: fastrand::Rng::with_seed(seed),
            trust: vec![1.0; settings.plans.len()],
            unseen: 1.0 - (FEW / settings.siblings.max(1) as f64).min(1.0),
            latency: guesses.iter().map(|guess| Average::of(*guess)).collect(),
            calm: guesses,
            usual: vec![crate::age::Usual::default(); settings.classes.len()],
            size: Average::of(1.0),
            retries: RETRY_SAVED / 2.0,
            admit: 1.0,
            odds: 1.0,
            settings,
            ..Limiter::default()
        })
    }

    /// Takes one event at time `now` (ms) and appends the actions that follow from it.
    pub fn on_event(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if !std::mem::replace(&mut self.swept, true) {
            self.out.push(Action::Timer("sweep".into(), self.settings.step_ms * SWEEP_STEPS));
            if self.settings.subscribe {
                self.out.push(Action::Watch);
            }
        }
        match event {
            Event::Servers(kind, entries) => self.list(kind, entries),
            Event::Request(arrival) => self.arrive(arrival),
            Event::Started(id, _) => self.requests.get_mut(&id).into_iter().for_each(|r| r.streaming = true),
            Event::Outcome(outcome) => self.outcome(outcome),
            Event::Gone(id) => self.end(&id),
            Event::Timer(token) if token == "sweep" => self.sweep(),
            Event::Counted(name, status, total) => self.counted(&name, status, total),
            Event::Late(name, total) => self.counted_late(&name, total),
            Event::Timer(_) | Event::Probed(..) | Event::Peer(..) => {}
        }
        out.append(&mut self.out);
    }

    /// The gateway stops: what its batches hold, and what is still to be put right, goes to the counter.
    pub fn retire(&mut self, now: f64, out: &mut Vec<Action>) {
        self.now = now;
        for customer in self.accounts.keys().copied().collect::<Vec<_>>() {
            let Some(mut account) = self.accounts.remove(&customer) else { continue };
            for pool in account.pool.iter_mut() {
                pool.roll(now);
                pool.fix -= std::mem::take(&mut pool.held).max(0.0);
                if (pool.fix + pool.owed).abs() > ROUNDING {
                    self.ask(customer, pool, 0.0, 0.0);
                }
            }
            self.accounts.insert(customer, account);
        }
        out.append(&mut self.out);
    }

    /// Requests whose attempts or final answer are still owed.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    // ---- Admission ----

    fn arrive(&mut self, arrival: Arrival) {
        let (settings, now, id) = (&self.settings, self.now, arrival.id);
        let class = settings.classes.iter().position(|class| class.name == arrival.class);
        let plan = settings.plans.iter().position(|plan| plan.name == arrival.plan);
        let (Some(class), Some(plan_at)) = (class, plan) else {
            self.out.push(Action::Refuse(id, 0.0));
            return;
        };
        let (plan, units) = (&settings.plans[plan_at], arrival.units.max(0.0));
        // The aim counts from the client's first try: a later one comes with part of it gone.
        let marked = settings.marks_retry.then_some(arrival.retry);
        let age = self.usual[class].age(&settings.classes[class], arrival.patience_ms, marked);
        // Units that are settled afterwards follow the work: without this each large request passed for a
        // slow server and a late fleet, and a gateway among many has few samples to put that right.
        let size = if settings.settles { units.max(1.0) } else { 1.0 };
        let (aim, least) = (settings.classes[class].aim_ms - age, 0.5 * size * self.latency[class].mean);
        let late = (f64::INFINITY, settings.classes[class].late_share);
        let (aim, share) = if aim > least { (aim, 1.0) } else { late };
        let mut request = Request {
            class,
            customer: arrival.customer,
            units,
            arrived: now,
            due: now + arrival.patience_ms,
            aim_at: now + aim.min(arrival.patience_ms),
            value: settings.classes[class].worth * plan.price * units * share,
            size,
            ..Request::default()
        };
        // Place bounds of hundreds bind nothing: what is cheap for its time is shed before it draws units.
        let worth = request.value / self.usual(&request);
        self.worth += CLASS_GAIN * (worth - self.worth);
        request.stake = if arrival.retry { 0.0 } else { worth / self.worth };
        // Worth nothing any more (by a mark: else its age is a guess, and a hasty first try would do),
        // or too short for any server or for the next sweep, which would answer late.
        let least = least.max(self.settings.step_ms * CALM_STEPS);
        let hopeless = arrival.patience_ms < least || share <= 0.0 && marked.is_some();
        if hopeless || self.rng.f64() > self.admit.powf(self.worth / worth.max(1e-9)) {
            self.requests.insert(id.clone(), request);
            return self.refuse(&id, self.settings.max_retry_after_ms);
        }
        self.requests.insert(id.clone(), request);
        let doors = (arrival.doors.max(1) as f64).min(settings.siblings.max(1) as f64);
        let account = self.accounts.entry(arrival.customer).or_insert_with(|| {
            // Golden-ratio shift by number: a plan's customers must not all change windows at one moment.
            let shift = (arrival.customer as f64 * 0.618_033_988_75).fract();
            let pool = Pool::new(plan, shift, doors, settings.units_top.max(1.0));
            let pool = pool.map(|pool| Pool { plan: plan_at, ..pool });
            Account { pool, doors, at_once: plan.at_once, seen: now, ..Account::default() }
        });
        (account.seen, account.at_once) = (now, plan.at_once);
        account.waiters.push_back(id);
        self.serve(arrival.customer);
    }

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
        let blind = std::mem::take(&mut pool.unanswered) || self.silent || !self.settings.counter;
        if pool.flight.is_some() && !blind {
            return Cover::Wait;
        }
        // A mistake costs by worth: the dear are asked for more often.
        let odds = self.odds.powf(1.0 / stake.clamp(1.0 / STAKE_MOST, STAKE_MOST));
        let chosen = self.rng.f64() < odds;
        // Trust pays while so many fetches of the customer fit and the fleet has room; a client's repeat was
        // mostly refused for cause.
        let over_cost = self.settings.plans[pool.plan].over_cost;
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
    fn ask(&mut self, customer: u64, pool: &mut Pool, take: f64, unseen: f64) {
        if !self.settings.counter || pool.flight.is_some() {
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
        self.out.push(Action::Count(name, amount, NAME_LIFE_MS));
    }

    fn counted(&mut self, name: &str, status: Status, total: f64) {
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

    fn refuse(&mut self, id: &RequestId, pause: f64) {
        let most = if self.settings.retry_after { self.settings.max_retry_after_ms } else { 0.0 };
        self.out.push(Action::Refuse(id.clone(), pause.clamp(0.0, most)));
        self.end(id);
    }

    /// The request has had its final answer; it is forgotten once all its attempts have ended.
    fn end(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let unsent = request.stage == Stage::Line && request.attempts.is_empty();
        if request.stage == Stage::Line {
            self.line.retain(|other| other != id);
        }
        request.stage = Stage::Ended;
        let done = request.open() == 0;
        let account = self.accounts.get_mut(&request.customer);
        let pool = account.and_then(|account| account.pool.as_mut()).filter(|_| request.paid && unsent);
        // Paid for but never sent: its units go back to the batch, unless that has ended.
        pool.into_iter()
            .filter(|pool| pool.window == request.charged)
            .for_each(|pool| pool.held += request.units);
        if done {
            self.requests.remove(id);
        }
    }

    // ---- Sweeps ----

    fn sweep(&mut self) {
        let now = self.now;
        self.servers.values_mut().for_each(|server| (server.oldest, server.waits) = (f64::INFINITY, 0.0));
        for attempt in
            self.requests.values().flat_map(|request| &request.attempts).filter(|attempt| attempt.open)
        {
            if let Some(server) = self.servers.get_mut(&attempt.server) {
                server.oldest = server.oldest.min(attempt.sent);
                server.waits += now - attempt.sent.max(server.heard);
            }
        }
        self.judge_servers();
        for id in self.requests.keys().cloned().collect::<Vec<_>>() {
            let Some(request) = self.requests.get(&id) else { continue };
            let customer = request.customer;
            match request.stage {
                Stage::Units if now > request.arrived + UNIT_WAIT * (request.aim_at - request.arrived) => {
                    self.refuse(&id, self.settings.max_retry_after_ms);
                }
                Stage::Units => self.serve(customer),
                Stage::Out if !request.streaming => self.hedge(&id),
                _ => {}
            }
        }
        self.drain_line();
        if now - self.accounts_at >= ACCOUNT_STEPS * self.settings.step_ms && !self.silent {
            self.accounts_at = now;
            self.sweep_accounts();
        }
        let steps = if self.line.is_empty() { CALM_STEPS } else { SWEEP_STEPS };
        self.out.push(Action::Timer("sweep".into(), self.settings.step_ms * steps));
    }

    /// Idle batches go back, what was spent in silence goes on the books, unused accounts are freed.
    fn sweep_accounts(&mut self) {
        let now = self.now;
        for customer in self.accounts.keys().copied().collect::<Vec<_>>() {
            let Some(mut account) = self.accounts.remove(&customer) else { continue };
            for pool in account.pool.iter_mut().filter(|_| account.waiters.is_empty()) {
                pool.roll(now);
                let idle = now - pool.used_at > GIVE_BACK * pool.span;
                // Nobody lacks what lies idle while the store is half full: handing it back only crowds.
                if idle && pool.held > 0.0 && pool.room(now) < pool.cap / 2.0 && self.settings.counter {
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

    /// Sends waiting requests to servers that have a place, the dearest first; those too late are refused.
    fn drain_line(&mut self) {
        let mut at = 0;
        while let Some(id) = self.line.get(at).cloned() {
            let request = &self.requests[&id];
            // Given up is answered now: nobody is held until the deadline so that the client can't ask.
            let stale = request.arrived + UNSENT_PART * (request.due - request.arrived);
            let unsent = request.attempts.is_empty() && self.now > stale;
            let late = unsent || self.now + self.usual(request) > request.aim_at;
            if late && request.open() == 0 {
                self.finish(&id);
            } else if !self.dispatch(&id) {
                at += 1;
            }
        }
    }

    /// A request with its units in hand: to a server, or into the line, ordered by worth for its time.
    fn place(&mut self, id: RequestId) {
        let density = |id: &RequestId| self.requests.get(id).map_or(0.0, |r| r.value / self.usual(r));
        let own = density(&id);
        let at = self.line.partition_point(|other| density(other) >= own);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Line;
        self.line.insert(at, id.clone());
        if at == 0 {
            self.dispatch(&id);
        }
    }

    // ---- Server choice and health ----

    fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        let now = self.now;
        if kind == ListKind::Failed {
            self.out.push(Action::Watch);
            return;
        }
        if kind != ListKind::Incremental {
            self.servers.values_mut().for_each(|server| server.up = false);
        }
        for entry in entries {
            let warm = entry.launched <= 0.0 || now - entry.launched >= self.settings.cold_ms;
            let cold_since = if warm { f64::NEG_INFINITY } else { entry.launched };
            let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(now, FIRST_LIMIT));
            if cold_since > server.cold_since {
                // A restarted process: what was learned of the old one says nothing of it. Hundreds of
                // gateways hear of it at once: each draws when its first send is due, or all would come.
                let tokens = self.rng.f64();
                *server = Server { out: server.out, cold_since, tokens, ..Server::new(now, FIRST_LIMIT) };
            }
            server.up = entry.state == ServerState::Up;
            (server.zone, server.cell, server.weight) = (entry.zone, entry.cell, entry.weight.max(1e-3));
        }
        self.servers.retain(|_, server| server.up || server.out > 0.0);
        // Gateways in turn begin at different ranks of the ids in order, so that every server has as many.
        self.ring = self.servers.iter().filter(|(_, server)| server.up).map(|(id, _)| id.clone()).collect();
        let first = (self.settings.me as f64 * 0.618_033_988_75).fract() * self.ring.len() as f64;
        self.ring.rotate_left(first as usize);
        self.drain_line();
    }

    /// Sets aside servers that hang, fail or are slow while the others are not.
    fn judge_servers(&mut self) {
        let (now, mean) = (self.now, self.mean_latency());
        self.lost = self.servers.values().filter(|server| server.up && server.cut).count() as f64;
        // Only those seen: a gateway among hundreds uses few, and what it never used would pass for normal.
        let seen = || self.servers.values().filter(|server| server.up && server.samples > 0);
        let mut slowness: Vec<f64> = seen().map(|server| server.slowness).collect();
        slowness.sort_by(f64::total_cmp);
        let median = slowness.get(slowness.len() / 2).copied().unwrap_or(1.0);
        let most = (slowness.len() as f64 * ASIDE_PART).ceil() as usize;
        let mut aside =
            self.servers.values().filter(|server| server.up && server.aside > 0.0 && !server.cut).count();
        for (id, server) in self.servers.iter_mut().filter(|(_, server)| server.up && server.aside == 0.0) {
            let usual = mean * server.slowness.clamp(1.0, SLOW_X);
            let silent = server.waits > SILENT_SUM * usual && server.silence(now) > SILENT_ONE * usual;
            if !silent && (server.samples < 5 || server.slowness < SLOW_X * median) {
                continue;
            }
            if aside < most {
                aside += 1;
                (server.aside, server.until) = (TEST_PAUSE * mean, now + TEST_PAUSE * mean);
                let why = if silent { "silent" } else { "slow or failing" };
                self.out.push(Action::Log(format!("server {id} set aside: {why}")));
            }
        }
    }

    /// The cheapest server for a request: own work out, own latency seen, stated size. `None`: no place.
    fn pick(&mut self, id: &RequestId) -> Option<ServerId> {
        let (now, mean, request) = (self.now, self.mean_latency(), &self.requests[id]);
        let class = &self.settings.classes[request.class];
        let once = class.repeat == Repeat::Once;
        // A keyed request that may have run goes only where its repeat is dropped.
        let keyed =
            request.first_run().filter(|_| class.repeat == Repeat::ByKey && class.group != Group::All);
        let home = keyed.map(|run| self.servers.get(&run.server).map(|home| (home.zone.clone(), home.cell)));
        let aims = self.settings.classes.iter().map(|class| class.aim_ms).sum::<f64>();
        let span = SUBSET_AIMS * aims / self.settings.classes.len() as f64;
        let subset = (self.sends / RATE_SPAN_MS * span).ceil().max(SUBSET_LEAST).min(self.ring.len() as f64);
        let share = self.sends / RATE_SPAN_MS / subset.max(1.0);
        // Only a request that can be repeated tests a server that is set aside.
        let tester = !once && self.settings.second_copies && request.attempts.is_empty();
        let prober = request.attempts.is_empty() && self.rng.f64() < PATH_TESTS;
        let (mut best, mut met): (Option<(f64, &ServerId)>, f64) = (None, 0.0);
        for name in &self.ring {
            // What is set aside leaves its place in the subset to the next one.
            if met >= subset && best.is_some() {
                break;
            }
            let Some(server) = self.servers.get_mut(name).filter(|server| server.up) else { continue };
            met += if server.aside > 0.0 { 0.0 } else { 1.0 };
            let stranger = home.as_ref().is_some_and(|home| match (class.group, home) {
                (Group::Zone, Some((zone, _))) => *zone != server.zone,
                (_, Some((_, cell))) => *cell != server.cell,
                (_, None) => true,
            });
            let tried = request.attempts.iter().any(|attempt| &attempt.server == name);
            if stranger || tried || server.out >= server.limit {
                continue;
            }
            let may_test = if server.cut { prober } else { tester };
            if server.aside > 0.0 && (!may_test || now < server.until || server.out > 0.0) {
                continue;
            }
            // The cheapest to all gateways would be driven over: by chance, the odds falling with the cost.
            let luck = (-(1.0 - self.rng.f64()).ln()).powf(self.unseen) * (1.0 + 0.05 * self.rng.f64());
            // What is due for a test goes first.
            let cost =
                if server.aside > 0.0 { 0.0 } else { server.cost(now, mean, once, self.unseen) * luck };
            // The more paths are lost the dearer is one not heard of: it is likely lost too.
            let cost = if server.samples == 0 { cost * (1.0 + self.lost).powi(2) } else { cost };
            if best.is_none_or(|(least, _)| cost < least) && server.warm_enough(now, share, &self.settings) {
                best = Some((cost, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    fn dispatch(&mut self, id: &RequestId) -> bool {
        let Some(server_id) = self.pick(id) else { return false };
        if self.requests[id].stage == Stage::Line {
            self.line.retain(|other| other != id);
        }
        let (now, request) = (self.now, self.requests.get_mut(id).expect("picked for it"));
        request.stage = Stage::Out;
        let first = request.attempts.is_empty();
        let server = server_id.clone();
        request.attempts.push(Attempt { server, sent: now, open: true, may_have_run: true });
        if let Some(account) = self.accounts.get_mut(&request.customer) {
            account.open += 1.0;
        }
        self.sends = self.sends * (-(now - self.sends_at) / RATE_SPAN_MS).exp() + 1.0;
        self.sends_at = now;
        self.retries =
            if first { (self.retries + RETRY_RATE).min(RETRY_SAVED) } else { (self.retries - 1.0).max(0.0) };
        let server = self.servers.get_mut(&server_id).expect("picked");
        server.out += 1.0;
        server.tokens -= 1.0;
        server.oldest = server.oldest.min(now);
        let limit = self.bound(id);
        self.out.push(Action::Send(id.clone(), server_id, limit));
        true
    }

    // ---- Attempts ----

    /// How long an attempt may take, 0 for all the time there is. One that can go elsewhere leaves time for
    /// that within its aim: a server or a path that says nothing would cost it all.
    fn bound(&self, id: &RequestId) -> f64 {
        let request = &self.requests[id];
        let usual = self.usual(request);
        let left = request.aim_at - self.now - BOUND_SPARE * usual;
        let repeats = self.settings.classes[request.class].repeat == Repeat::Repeatable;
        let more = request.attempts.len() < self.settings.max_attempts && self.retries >= 1.0;
        if repeats && more && left >= BOUND_LEAST * usual && self.untried(id) {
            left
        } else {
            0.0
        }
    }

    fn outcome(&mut self, outcome: Outcome) {
        self.learn(&outcome);
        let Some(request) = self.requests.get_mut(&outcome.id) else { return };
        let customer = request.customer;
        if let Some(attempt) = request.attempts.get_mut(outcome.attempt).filter(|attempt| attempt.open) {
            attempt.open = false;
            let never = matches!(outcome.status, Status::QueueFull | Status::ConnectError | Status::Ignored);
            attempt.may_have_run = !never;
            let mut account = self.accounts.get_mut(&customer);
            if let Some(account) = account.as_mut() {
                account.open = (account.open - 1.0).max(0.0);
            }
            if outcome.settled > 0.0 && outcome.status == Status::Ok {
                let pool = account.and_then(|account| account.pool.as_mut());
                pool.into_iter().for_each(|pool| pool.owed += outcome.settled - request.units);
            }
        }
        let ended = request.stage == Stage::Ended;
        let usual = request.size * self.latency[request.class].mean;
        let cancel = !ended && self.settings.may_cancel;
        if outcome.closed || ended {
            for (at, _) in request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.open && cancel) {
                self.out.push(Action::Cancel(outcome.id.clone(), at));
            }
            self.end(&outcome.id);
        } else if request.open() == 0 && !request.streaming {
            // No connection cost no server work: the budget against retry storms is not for it.
            let paid = self.retries >= 1.0 || outcome.status == Status::ConnectError;
            let hopeful = paid && self.now + usual * 0.5 < request.due;
            if hopeful && self.may_repeat(&outcome.id) && self.untried(&outcome.id) {
                self.place(outcome.id);
            } else {
                self.finish(&outcome.id);
            }
        }
        self.serve(customer);
        self.drain_line();
    }

    /// Is there a server left that the request may go to? Without one it would wait in line in vain until its
    /// aim was gone: it is given up, and what is given up is answered at once.
    fn untried(&self, id: &RequestId) -> bool {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.class];
        let run = request.first_run().filter(|_| class.repeat == Repeat::ByKey);
        let home = run.and_then(|run| self.servers.get(&run.server));
        self.ring.iter().any(|name| {
            let fits = match (class.group, home, self.servers.get(name)) {
                (_, _, None) => false,
                (Group::All, ..) | (_, None, _) => true,
                (Group::Zone, Some(home), Some(server)) => home.zone == server.zone,
                (Group::Cell, Some(home), Some(server)) => home.cell == server.cell,
            };
            fits && request.attempts.iter().all(|attempt| attempt.server != *name)
        })
    }

    /// May the request go out once more?
    fn may_repeat(&self, id: &RequestId) -> bool {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.class];
        let allowed = match (class.repeat, request.first_run()) {
            (_, None) | (Repeat::Repeatable, _) => true,
            // The group forgets the key: a margin of a step, since the send takes effect a little later.
            (Repeat::ByKey, Some(first)) => self.now + self.settings.step_ms < first.sent + class.key_ttl_ms,
            (Repeat::Once, Some(_)) => false,
        };
        allowed && request.attempts.len() < self.settings.max_attempts && self.now < request.due
    }

    /// Final answer: a refusal where a retry is harmless, else a failure.
    fn finish(&mut self, id: &RequestId) {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.class];
        let keyed = class.repeat == Repeat::ByKey && class.group == Group::All;
        if class.repeat == Repeat::Repeatable || keyed || request.first_run().is_none() {
            return self.refuse(id, self.settings.max_retry_after_ms);
        }
        self.out.push(Action::Fail(id.clone()));
        self.end(id);
    }

    /// A second copy for an attempt that is out too long, at a server that was not tried.
    fn hedge(&mut self, id: &RequestId) {
        let request = &self.requests[id];
        let (class, usual) = (&self.settings.classes[request.class], self.usual(request));
        if class.repeat == Repeat::Once || !self.settings.second_copies || request.open() != 1 {
            return;
        }
        let Some(last) = request.attempts.iter().find(|attempt| attempt.open) else { return };
        let due = self.now - last.sent > usual * HEDGE_X;
        if due && self.now + usual * 0.5 < request.due && self.retries >= 1.0 && self.may_repeat(id) {
            self.dispatch(id);
        }
    }

    /// What an outcome says of the server, of its class and of the fleet.
    fn learn(&mut self, outcome: &Outcome) {
        let (now, mean, status) = (self.now, self.mean_latency(), outcome.status);
        let Some(request) = self.requests.get(&outcome.id) else { return };
        let Some(server) = self.servers.get_mut(&outcome.server) else { return };
        if !request.attempts.get(outcome.attempt).is_some_and(|attempt| attempt.open) {
            return;
        }
        let (size, class) = (request.size, &mut self.latency[request.class]);
        let usual = class.mean * size;
        server.out = (server.out - 1.0).max(0.0);
        if status == Status::ConnectError {
            return self.lost_path(&outcome.server);
        }
        if status == Status::Spoilt {
            // Any server's answers arrive spoilt alike: it is alive, and no slower or worse than the others.
            server.heard = now;
            return;
        }
        let bad = matches!(status, Status::Failed | Status::Reset | Status::QueueFull);
        let heard = bad || status == Status::Ok;
        server.heard = if heard { now } else { server.heard };
        let fine = status == Status::Ok && outcome.latency_ms < SLOW_X * usual || server.cut && heard;
        // One that was given up took at least so long: a server that answers nobody must not pass for usual.
        if heard || (status == Status::TimedOut && outcome.latency_ms > server.slowness * usual) {
            // A failure, however quick, is the longest latency: who turns work away is not the cheapest.
            let ratio = if bad { 2.0 * SLOW_X } else { (outcome.latency_ms / usual).min(2.0 * SLOW_X) };
            let gain = ((now - server.judged) / (GAIN_MEANS * mean)).clamp(SERVER_GAIN, SPARSE_GAIN);
            server.slowness += gain * (ratio - server.slowness);
            server.judged = now;
            server.samples += 1;
            if server.aside == 0.0 && status == Status::Ok {
                class.add(outcome.latency_ms / size, CLASS_GAIN);
                self.size.add(size, CLASS_GAIN);
            }
        }
        let aim = self.settings.classes[request.class].aim_ms;
        let late = outcome.latency_ms / (LATE_AT * aim * size / self.size.mean);
        if status == Status::QueueFull || server.aside == 0.0 && late > 1.0 && !bad {
            let by =
                self.unseen * if status == Status::QueueFull { 1.0 } else { (late - 1.0).min(LATE_MOST) };
            self.admit = (self.admit * SHED_DOWN.powf(by)).max(ODDS_LEAST);
            self.eased = 0.0;
        } else if status == Status::Ok {
            self.eased += EASE;
            // Few answers come while much is shed: each then counts for more, or the fleet would lie idle.
            let rare = RARE_X * (now - self.answered_at) / aim;
            self.admit = (self.admit + SHED_UP * rare.max(1.0) * (1.0 - late)).min(1.0);
        }
        self.answered_at = now;
        if matches!(status, Status::Ok | Status::TimedOut) {
            let calm = &mut self.calm[request.class];
            *calm = (*calm * CALM_CREEP).min(class.mean);
            let ratio = outcome.latency_ms / (*calm * size);
            server.lateness += SERVER_GAIN * (ratio.min(10.0) - server.lateness);
        }
        if server.lateness > NARROW_ABOVE || status == Status::QueueFull {
            server.limit = (server.limit * NARROW_BY).max(LEAST_LIMIT);
        } else if server.lateness < WIDEN_BELOW && server.out + 2.0 > server.limit {
            server.limit += 1.0 / server.limit;
        }
        if server.aside > 0.0 && fine {
            (server.aside, server.cut, server.samples, server.slowness) = (0.0, false, 0, 1.0);
            self.out.push(Action::Log(format!("server {} back", outcome.server)));
        } else if server.aside > 0.0 && server.out == 0.0 {
            server.aside = (server.aside * 2.0).min(TEST_PAUSE_MAX * mean);
            server.until = now + server.aside;
        }
    }

    /// No connection came about. That is no matter of load but of this gateway's own path (a link or a rule
    /// between the two, a full connection table) or of a server that is gone: exact after one try, and no
    /// other gateway may see it. So the server leaves the choice at once, however many do, and tells nothing
    /// of the fleet; the next of the ring takes its place. Danger: a path that loses one connection in some
    /// halves the choice for nothing, and what all gateways still reach gets their work: shedding must hold.
    fn lost_path(&mut self, id: &ServerId) {
        let (now, mean) = (self.now, self.mean_latency());
        let Some(server) = self.servers.get_mut(id) else { return };
        (server.aside, server.until) = (TEST_PAUSE_MAX * mean, now + TEST_PAUSE_MAX * mean);
        self.lost += if server.cut { 0.0 } else { 1.0 };
        if !std::mem::replace(&mut server.cut, true) && (self.lost as usize).is_power_of_two() {
            self.out.push(Action::Log(format!("no connection to {} servers, the last one {id}", self.lost)));
        }
    }
}

impl Server {
    /// Steeper among many gateways: each sees little, and a jammed server is left only if all leave it.
    fn cost(&self, now: f64, mean: f64, once: bool, unseen: f64) -> f64 {
        let silence = self.silence(now) / mean;
        // What hangs there can't be sent elsewhere.
        let risk = if once { 1.0 + silence * silence } else { 1.0 };
        self.slowness.max(silence / 2.0).powf(2.0 + 2.0 * unseen) * risk * (self.out + 1.0) / self.weight
    }

    // ---- Cold starts ----

    /// A cold server takes no more than its share of a warm one's traffic, one send at a time: the first
    /// burst to an empty new server would push it over.
    fn warm_enough(&mut self, now: f64, share: f64, settings: &Settings) -> bool {
        let age = (now - self.cold_since) / settings.cold_ms.max(1.0);
        if age >= 1.0 {
            return true;
        }
        let warmth = settings.cold_from + (1.0 - settings.cold_from) * age.max(0.0);
        self.tokens = (self.tokens + (now - self.tokens_at) * share * warmth).min(1.0);
        self.tokens_at = now;
        self.tokens >= 1.0
    }
}
