//! The leader's side: what is lent to each gateway of each tenant.

use crate::paces::Paces;
use crate::peak::Peak;
use crate::ring::Ring;
use crate::takeover::Takeover;
use crate::tuning::{Guard, Limit, Tuning};
use crate::unused_pace::UnusedPace;
use nickeljunction_messages::{TenantGrant, TenantUnits, UnitsAnswer, UnitsCall};
use std::collections::{BTreeMap, BTreeSet};

/// The first allowances are for so many gateways at least.
const FEW_GATEWAYS: u64 = 4;

/// A change of the list of gateway processes (lives) in the replicated log: those that a counter may lend to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProcessListChange {
    /// Lives to be added, with the names of their machines.
    pub added: BTreeMap<u64, String>,
    /// Lives to be removed: nothing of theirs is in force any more.
    pub removed: Vec<u64>,
}

/// How a tenant's units stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantUsage {
    /// Most that may be spent in a window.
    pub cap: u64,
    /// Lent to gateways that live.
    pub lent: u64,
    /// Held back for lives that have ended.
    pub held_for_ended: u64,
    /// Held back for lives that an older counter may have lent to and that have not told.
    pub held_for_unreported: u64,
    /// The first of what is held back is so since then, ms ago; `None`: nothing is.
    pub held_back_ms: Option<u64>,
}

impl TenantUsage {
    /// Units in force: lent or held back.
    pub fn used(&self) -> u64 {
        self.lent + self.held_for_ended + self.held_for_unreported
    }
}

/// What a life has of a tenant.
#[derive(Debug, Clone)]
struct Lent {
    loan: u64,
    /// A pace that holds until then, whatever the loan is.
    lift: u64,
    lift_until: u64,
    /// Most pace over the last window.
    peak: Peak,
    /// Units allowed beyond the pace.
    boosts: Ring,
    /// Its pace, as the tenant's book counts it.
    counted: u64,
    /// What remained of the cap, as it was last answered.
    class_told: Option<u64>,
}

impl Lent {
    fn new(tuning: &Tuning) -> Lent {
        let boosts = Ring::new(tuning.slot_ms, tuning.boost_ms());
        Lent { loan: 0, lift: 0, lift_until: 0, peak: Peak::default(), boosts, counted: 0, class_told: None }
    }

    fn pace(&self, now: u64) -> u64 {
        if now < self.lift_until {
            self.loan.max(self.lift)
        } else {
            self.loan
        }
    }
}

/// A gateway's process.
#[derive(Debug, Clone)]
struct Life {
    name: String,
    born: u64,
    seq: u64,
    heard: u64,
    lent: BTreeMap<String, Lent>,
}

/// Units held back for a life that has ended, or is taken to have.
#[derive(Debug, Clone)]
struct HeldBack {
    life: u64,
    units: u64,
    pace: u64,
    boosts: u64,
    ended: u64,
}

/// What is lent and held back of one tenant.
#[derive(Debug, Clone)]
struct Book {
    limit: Limit,
    /// Sum of the loans of lives.
    out: u64,
    held_back: Vec<HeldBack>,
    /// What may be allowed beyond the paces of lives.
    unused: UnusedPace,
    /// Paces of lives.
    paces: Paces,
}

impl Book {
    fn new(limit: Limit, unused: UnusedPace) -> Book {
        Book { limit, out: 0, held_back: Vec::new(), unused, paces: Paces::default() }
    }

    /// Counts the pace that `life` has now: after each change of what it has.
    fn count(&mut self, now: u64, life: u64, lent: &mut Lent) {
        let pace = lent.pace(now);
        self.paces.count(&mut lent.counted, pace);
        if now < lent.lift_until {
            self.paces.lifted(life, lent.lift_until);
        }
    }
}

/// A life that has ended.
#[derive(Debug, Clone, Copy)]
struct EndedLife {
    /// When.
    at: u64,
    /// Number of its last call.
    seq: u64,
}

/// An earlier life of a machine whose next one calls.
#[derive(Debug, Clone, Copy)]
struct EarlierLife {
    number: u64,
    born: u64,
    heard: u64,
}

/// Whether a call is of a process that may be lent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Registered {
    /// It tells what an older counter lent to it.
    FromOlderCounter,
    /// What it has is in these books, or it has nothing.
    Known,
    /// Its machine runs a newer process.
    Superseded,
}

/// How many machines these processes run on.
fn machines_of(lives: &BTreeMap<u64, String>) -> usize {
    lives.values().collect::<BTreeSet<_>>().len()
}

/// The counter of all tenants' units.
#[derive(Debug, Clone)]
pub struct Counter {
    term: u64,
    tuning: Tuning,
    books: BTreeMap<String, Book>,
    lives: BTreeMap<u64, Life>,
    /// Lives that have ended; kept until nothing of theirs is in force.
    ended: BTreeMap<u64, EndedLife>,
    logged: BTreeMap<u64, String>,
    /// Machines of these lives.
    logged_machines: usize,
    /// Lives that are to be removed from the log: treated as if they were not in it.
    leaving: BTreeSet<u64>,
    /// Lives that are to be added to the log, and since when: they are not removed at the same time.
    coming: BTreeMap<u64, u64>,
    takeover: Option<Takeover>,
    /// Before then nothing is allowed beyond the pace: what an older counter allowed may still be on its way.
    boosts_from: u64,
}

impl Counter {
    /// The counter of a leader from `now` on, in `term`. `logged`: the lives in the replicated log, which is up to date;
    /// others have no unit. It lends nothing before [`Counter::set_limits`].
    pub fn new(now: u64, term: u64, tuning: Tuning, logged: BTreeMap<u64, String>) -> Counter {
        let takeover = Takeover::new(now, &tuning, logged.clone());
        let boosts_from = if logged.is_empty() { now } else { now + tuning.max_boost_answer_ms };
        Counter {
            term,
            tuning,
            books: BTreeMap::new(),
            lives: BTreeMap::new(),
            ended: BTreeMap::new(),
            logged_machines: machines_of(&logged),
            logged,
            leaving: BTreeSet::new(),
            coming: BTreeMap::new(),
            takeover: Some(takeover),
            boosts_from,
        }
    }

    /// For so long after its start, ms, it holds units back for lives of which an older counter knew, should none of them
    /// tell what it has; 0 without any.
    pub fn takeover_ms(&self) -> u64 {
        if self.logged.is_empty() {
            0
        } else {
            self.tuning.lease_ms + self.tuning.span_ms()
        }
    }

    /// Tenants with a limit, by the newest configuration. A tenant whose limit goes is forgotten.
    pub fn set_limits(&mut self, now: u64, limits: &BTreeMap<String, Limit>) {
        self.tick(now);
        self.books.retain(|tenant, _| limits.contains_key(tenant));
        for life in self.lives.values_mut() {
            life.lent.retain(|tenant, _| limits.contains_key(tenant));
        }
        for (tenant, limit) in limits {
            match self.books.get_mut(tenant) {
                Some(book) => {
                    if let Some(takeover) = self.takeover.as_mut().filter(|_| limit.pace < book.limit.pace) {
                        takeover.lowered(tenant, book.limit, *limit);
                    }
                    book.limit = *limit;
                }
                None => {
                    let unused = if now < self.boosts_from {
                        UnusedPace::empty(self.boosts_from, &self.tuning)
                    } else {
                        UnusedPace::full(now, &self.tuning, self.tuning.boost_of(limit.cap))
                    };
                    self.books.insert(tenant.clone(), Book::new(*limit, unused));
                }
            }
            self.settle_unused(now, tenant);
        }
    }

    /// The lives in the replicated log, whenever they changed.
    pub fn set_logged_processes(&mut self, lives: &BTreeMap<u64, String>) {
        self.logged.clone_from(lives);
        self.logged_machines = machines_of(lives);
        self.leaving.retain(|life| lives.contains_key(life));
    }

    /// Ages the books; also done by every other call. Once a second keeps memory small.
    pub fn tick(&mut self, now: u64) {
        let lease_ms = self.tuning.lease_ms;
        let silent = |life: &&Life| life.heard + lease_ms <= now;
        let over: Vec<u64> =
            self.lives.iter().filter(|(_, life)| silent(life)).map(|(number, _)| *number).collect();
        for number in over {
            let ended = self.lives[&number].heard + lease_ms;
            self.end(number, ended);
        }
        let span_ms = self.tuning.span_ms();
        self.ended.retain(|_, ended| ended.at + span_ms > now);
        for book in self.books.values_mut() {
            book.held_back.retain(|held| held.ended + span_ms > now);
        }
        if self.takeover.as_ref().is_some_and(|takeover| takeover.over(now, &self.tuning)) {
            self.takeover = None;
        }
    }

    /// A life spends nothing after `ended`.
    fn end(&mut self, number: u64, ended: u64) {
        let Some(life) = self.lives.remove(&number) else { return };
        for (tenant, mut lent) in life.lent {
            let Some(book) = self.books.get_mut(&tenant) else { continue };
            book.out -= lent.loan;
            book.paces.count(&mut lent.counted, 0);
            let pace = lent.pace(ended);
            let pace = lent.peak.get(ended, self.tuning.span_ms(), pace, u64::max);
            lent.boosts.age(ended);
            let boosts = lent.boosts.sum();
            book.held_back.push(HeldBack { life: number, units: lent.loan, pace, boosts, ended });
        }
        self.ended.insert(number, EndedLife { at: ended, seq: life.seq });
    }

    fn is_logged(&self, life: u64) -> bool {
        self.logged.contains_key(&life) && !self.leaving.contains(&life)
    }

    /// What must be committed to the replicated log before [`Counter::handle_call`] lends to this life. Once it is:
    /// [`Counter::set_logged_processes`], and then [`Counter::enrollment_committed`].
    pub fn enrollment_for(&mut self, now: u64, call: &UnitsCall) -> Option<ProcessListChange> {
        if !call.is_full_report
            || call.is_final
            || call.counter_term != self.term
            || self.is_logged(call.incarnation)
        {
            return None;
        }
        self.coming.insert(call.incarnation, now);
        Some(ProcessListChange {
            added: BTreeMap::from([(call.incarnation, call.name.clone())]),
            removed: Vec::new(),
        })
    }

    /// A life that [`Counter::enrollment_for`] named is committed, after all that was proposed before.
    pub fn enrollment_committed(&mut self, life: u64) {
        self.leaving.remove(&life);
    }

    /// Lives that may be removed from the log: call once in a while, and append the result.
    pub fn removable_processes(&mut self, now: u64) -> Option<ProcessListChange> {
        self.tick(now);
        let rest: BTreeSet<u64> = self.takeover.iter().flat_map(Takeover::unreported).collect();
        self.coming.retain(|_, since| *since + self.tuning.lease_ms > now);
        let known = |life: &u64| {
            self.lives.contains_key(life)
                || self.ended.contains_key(life)
                || self.coming.contains_key(life)
                || rest.contains(life)
        };
        let gone: Vec<u64> = self.logged.keys().filter(|life| !known(life)).copied().collect();
        self.leaving.extend(&gone);
        (!gone.is_empty()).then(|| ProcessListChange { added: BTreeMap::new(), removed: gone })
    }

    /// Units of a tenant in force: lent, or held back for lives that are dead or not heard of.
    pub fn used(&mut self, now: u64, tenant: &str) -> u64 {
        self.tick(now);
        self.used_now(now, tenant)
    }

    fn used_now(&self, now: u64, tenant: &str) -> u64 {
        self.books.get(tenant).map_or(0, |book| self.standing(now, tenant, book).used())
    }

    /// How each tenant's units stand, for operators; of books that were aged lately.
    pub fn usage_by_tenant(&self, now: u64) -> BTreeMap<String, TenantUsage> {
        let books = self.books.iter();
        books.map(|(tenant, book)| (tenant.clone(), self.standing(now, tenant, book))).collect()
    }

    fn standing(&self, now: u64, tenant: &str, book: &Book) -> TenantUsage {
        let (cap, tuning) = (book.limit.cap, &self.tuning);
        let units_of = |held: &HeldBack| {
            let paced = tuning.in_force(cap, 1, held.pace, now.saturating_sub(held.ended));
            held.units.min(paced + held.boosts)
        };
        let held_back = book.held_back.iter().filter(|_| tuning.keeps(Guard::EndedProcesses));
        let ended = held_back.map(units_of).sum();
        let rest = self.takeover.as_ref().filter(|_| tuning.keeps(Guard::UnreportedProcesses));
        let unheard = rest.map_or(0, |takeover| takeover.units(now, tenant, book.limit, tuning));
        let since = book.held_back.iter().filter(|held| units_of(held) > 0).map(|held| held.ended);
        let takeover = self.takeover.as_ref().filter(|_| unheard > 0).map(Takeover::started);
        let held_ms = since.chain(takeover).min().map(|since| now.saturating_sub(since));
        TenantUsage {
            cap,
            lent: book.out,
            held_for_ended: ended,
            held_for_unreported: unheard,
            held_back_ms: held_ms,
        }
    }

    /// Sum of all paces at which may be spent now; `most` of them together.
    fn pace_now(&mut self, now: u64, tenant: &str, most: u64) -> u64 {
        let Counter { books, lives, takeover, .. } = self;
        let Some(book) = books.get_mut(tenant) else { return 0 };
        while let Some(number) = book.paces.lapsed(now) {
            if let Some(lent) = lives.get_mut(&number).and_then(|life| life.lent.get_mut(tenant)) {
                book.count(now, number, lent);
            }
        }
        let unknown = takeover.as_ref().map_or(0, |takeover| takeover.pace(now, tenant, most));
        book.paces.sum() + unknown
    }

    /// Notes which part of the tenant's pace nobody has from now on.
    fn settle_unused(&mut self, now: u64, tenant: &str) {
        let Some(Limit { cap, pace: most }) = self.books.get(tenant).map(|book| book.limit) else { return };
        let rate = most.saturating_sub(self.pace_now(now, tenant, most));
        let Counter { books, tuning, .. } = self;
        if let Some(book) = books.get_mut(tenant) {
            book.unused.settle(now, tuning, tuning.boost_of(cap), rate);
        }
    }

    /// A gateway's call. `gateways`: how many there are, by the register; divides the first allowance. What
    /// [`Counter::enrollment_for`] names must be on the log; a life that isn't gets nothing.
    pub fn handle_call(&mut self, now: u64, call: &UnitsCall, gateways: usize) -> UnitsAnswer {
        self.tick(now);
        let mut answer = UnitsAnswer { seq: call.seq, term: self.term, ..UnitsAnswer::default() };
        // Overtaken by a newer call, or duplicated: the newer call's figures stand, and nothing is lent twice.
        if self.lives.get(&call.incarnation).is_some_and(|life| life.seq >= call.seq)
            && self.tuning.keeps(Guard::CallOrder)
        {
            return answer;
        }
        // The same after its end: an old figure must not stand in place of what its spent units hold back.
        if self.ended.get(&call.incarnation).is_some_and(|ended| ended.seq >= call.seq) {
            return answer;
        }
        // Told to another counter: more may have been lent since.
        if call.is_full_report && call.counter_term != self.term && self.tuning.keeps(Guard::IntendedTerm) {
            answer.full_report_needed = true;
            return answer;
        }
        if !call.is_full_report && !self.lives.contains_key(&call.incarnation)
            || !self.is_logged(call.incarnation)
        {
            answer.full_report_needed = true;
            return answer;
        }
        let registered = self.register(now, call);
        if registered == Registered::Superseded {
            answer.full_report_needed = true;
            return answer;
        }
        self.record_report(now, call, registered == Registered::FromOlderCounter);
        if call.is_final {
            self.end(call.incarnation, now);
            return answer;
        }
        let gateways = gateways.max(self.logged_machines) as u64;
        // Of a tenant whose units are lent on demand a gateway that doesn't ask needs no word.
        let concerned = |(tenant, book): &(&String, &Book)| {
            call.tenants.contains_key(*tenant) || !self.tuning.lends_on_demand(book.limit.cap, gateways)
        };
        let tenants: Vec<String> =
            self.books.iter().filter(concerned).map(|(tenant, _)| tenant.clone()).collect();
        for tenant in tenants {
            let told = call.tenants.get(&tenant);
            if let Some(grant) = self.grant(now, call.incarnation, &tenant, told, gateways) {
                answer.tenants.insert(tenant, grant);
            }
        }
        answer
    }

    /// Notes that the process runs, and that earlier ones of its machine ended before its start.
    fn register(&mut self, now: u64, call: &UnitsCall) -> Registered {
        if let Some(life) = self.lives.get_mut(&call.incarnation) {
            (life.seq, life.heard) = (call.seq, now);
            return Registered::Known;
        }
        let born = now.saturating_sub(call.uptime_ms);
        let earlier = self.lives_of(&call.name);
        // A late call of a process that has a successor.
        if earlier.iter().any(|life| life.born > born) {
            return Registered::Superseded;
        }
        for life in earlier {
            self.end(life.number, born.max(life.heard));
        }
        // One that was taken to have ended has not: what it tells stands in place of that.
        if self.ended.remove(&call.incarnation).is_some() {
            self.books
                .values_mut()
                .for_each(|book| book.held_back.retain(|held| held.life != call.incarnation));
        }
        let life = Life { name: call.name.clone(), born, seq: call.seq, heard: now, lent: BTreeMap::new() };
        self.lives.insert(call.incarnation, life);
        let unreported =
            |takeover: &mut Takeover| takeover.reported(call.incarnation, &call.name, born, &self.tuning);
        match self.takeover.as_mut().is_some_and(unreported) {
            true => Registered::FromOlderCounter,
            false => Registered::Known,
        }
    }

    /// The processes of a machine.
    fn lives_of(&self, name: &str) -> Vec<EarlierLife> {
        let same = self.lives.iter().filter(|(_, life)| life.name == name);
        same.map(|(number, life)| EarlierLife { number: *number, born: life.born, heard: life.heard })
            .collect()
    }

    /// Takes over what the process reports.
    fn record_report(&mut self, now: u64, call: &UnitsCall, first: bool) {
        let Some(life) = self.lives.get_mut(&call.incarnation) else { return };
        let span_ms = self.tuning.span_ms();
        for (tenant, told) in &call.tenants {
            let Some(book) = self.books.get_mut(tenant) else { continue };
            let lent = match life.lent.get_mut(tenant) {
                Some(lent) => lent,
                None => {
                    let lent = life.lent.entry(tenant.clone()).or_insert_with(|| Lent::new(&self.tuning));
                    let most = self.tuning.boost_of(book.limit.cap);
                    let boosted = if call.reports_boosted { told.boosted } else { most };
                    lent.boosts.book(now, boosted.min(told.loan));
                    if told.pace > told.loan {
                        (lent.lift, lent.lift_until) = (told.pace, now + self.tuning.pace_floor_ms);
                    }
                    if let Some(takeover) = self.takeover.as_mut().filter(|_| first) {
                        // What it spent before a limit was lowered is no part of what all may have under the new one.
                        let loan = told.loan.saturating_sub(told.unspendable);
                        takeover.add_report(tenant, loan, told.pace.max(loan), told.min_pace);
                    }
                    lent
                }
            };
            let before = lent.pace(now);
            book.out = book.out - lent.loan + told.loan;
            lent.loan = told.loan;
            book.count(now, call.incarnation, lent);
            let pace = lent.pace(now);
            // What it spent under an older counter may have been at a higher pace.
            lent.peak.note(now, span_ms, before.max(told.max_pace), pace, u64::max);
        }
        for tenant in call.tenants.keys() {
            self.settle_unused(now, tenant);
        }
    }

    fn grant(
        &mut self,
        now: u64,
        number: u64,
        tenant: &str,
        told: Option<&TenantUnits>,
        gateways: u64,
    ) -> Option<TenantGrant> {
        let Limit { cap, pace: most } = self.books.get(tenant)?.limit;
        let on_demand = self.tuning.lends_on_demand(cap, gateways);
        // It gives back.
        if on_demand && told.is_some_and(|told| told.requested + told.boost == 0) {
            return None;
        }
        let used = self.used_now(now, tenant);
        // The paces of all lives are within the tenant's at every moment.
        let pace_left = most.saturating_sub(self.pace_now(now, tenant, most));
        let lent = self.lives.get(&number)?.lent.get(tenant);
        let (own_pace, own_loan) = lent.map_or((0, 0), |lent| (lent.pace(now), lent.loan));
        let room = (own_pace + pace_left).saturating_sub(own_loan);
        let remaining = cap.saturating_sub(used);
        // At a first start the register learns of gateways one by one.
        let share = match on_demand {
            true => 0,
            false => (cap / (2 * gateways.max(FEW_GATEWAYS))).max(2),
        };
        let first = told.is_some_and(|told| told.is_first_fetch);
        let (want, boost) = told.map_or((0, 0), |told| (told.requested, told.boost));
        let free = remaining.min(room);
        let plenty = free * 2 >= cap;
        // Of what is plenty each may have its share: a rise finds it there.
        let asked = if want > 0 && (first || plenty) { want.max(share) } else { want };
        let half = if want <= 2 { free.min(want) } else { 0 }.max(free.div_ceil(2));
        let Counter { tuning, lives, books, .. } = self;
        let lent = lives.get_mut(&number)?.lent.entry(tenant.to_owned());
        let lent = lent.or_insert_with(|| Lent::new(tuning));
        let before = lent.pace(now);
        let mut lift = 0;
        let low = lent.loan < share && lent.lift_until < now + tuning.pace_floor_ms / 2;
        if !on_demand && (first || (low && plenty)) {
            // Units may come slowly at first, or before a rise not at all: the pace doesn't wait for them.
            lift = share.min(before + pace_left);
            (lent.lift, lent.lift_until) = (lift.max(before), now + tuning.pace_floor_ms);
        }
        let class = Self::remaining_class(remaining.min(room), cap);
        // Not asked, and it knows of about as much: no word of it.
        if told.is_none() && lift == 0 && lent.class_told == Some(class) {
            return None;
        }
        let granted = asked.min(half);
        lent.loan += granted;
        let book = books.get_mut(tenant)?;
        book.out += granted;
        book.count(now, number, lent);
        let pace = lent.pace(now);
        lent.peak.note(now, tuning.span_ms(), before, pace, u64::max);
        lent.class_told = Some(Self::remaining_class((remaining - granted).min(room - granted), cap));
        let allowed = book.unused.take(now, tuning, boost);
        lent.boosts.age(now);
        lent.boosts.book(now, allowed);
        self.settle_unused(now, tenant);
        let (remaining, room) = (remaining - granted, room - granted);
        let room = (room < remaining).then_some(room);
        Some(TenantGrant { granted, remaining, pace_headroom: room, boost: allowed, initial_pace: lift })
    }

    /// What remains, in coarse parts of the cap: as gateways size their batches by it.
    fn remaining_class(remaining: u64, cap: u64) -> u64 {
        match remaining {
            0 => 0,
            _ => 1 + [32, 16, 8, 4].iter().filter(|part| remaining * **part >= cap).count() as u64,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TENANTS: [&str; 3] = ["a", "b", "c"];

    /// The sums of paces that are kept, and those added up anew.
    fn sums(counter: &mut Counter, now: u64) -> [(u64, u64); 3] {
        TENANTS.map(|tenant| {
            let kept = counter.pace_now(now, tenant, 0);
            let lent = counter.lives.values().filter_map(|life| life.lent.get(tenant));
            (kept, lent.map(|lent| lent.pace(now)).sum())
        })
    }

    #[test]
    fn sums_of_paces_are_those_that_adding_up_gives() {
        let log: BTreeMap<u64, String> = (0..6).map(|life| (life, format!("g-{life}"))).collect();
        let all = |cap: u64| TENANTS.map(|name| (name.to_string(), Limit { cap, pace: cap })).into();
        let mut counter = Counter::new(0, 1, Tuning::new(1_000), log);
        // What a counter before may have lent is no part of either sum.
        counter.takeover = None;
        counter.set_limits(0, &all(400));
        let (mut dice, mut now, mut lifted) = (fastrand::Rng::with_seed(7), 0, 0);
        for seq in 1..4_000 {
            // Long pauses end lives.
            now += if dice.u32(..100) == 0 { 9_000 } else { dice.u64(..150) };
            let life = dice.u64(..6);
            let loan = |dice: &mut fastrand::Rng| dice.u64(..40);
            let told = |dice: &mut fastrand::Rng| TenantUnits {
                loan: loan(dice),
                requested: dice.u64(..20),
                is_first_fetch: dice.u32(..8) == 0,
                ..TenantUnits::default()
            };
            let named = TENANTS.iter().filter(|_| dice.bool()).collect::<Vec<_>>();
            let tenants = named.into_iter().map(|name| (name.to_string(), told(&mut dice))).collect();
            let (all_told, end) = (!counter.lives.contains_key(&life), dice.u32(..50) == 0);
            let name = format!("g-{life}");
            let call = UnitsCall {
                incarnation: life,
                seq,
                is_full_report: all_told,
                name,
                counter_term: 1,
                is_final: end,
                tenants,
                ..UnitsCall::default()
            };
            let answer = counter.handle_call(now, &call, 6);
            lifted += answer.tenants.values().filter(|grant| grant.initial_pace > 0).count();
            if seq % 500 == 0 {
                counter.set_limits(
                    now,
                    &all(if seq % 1_000 == 0 { 400 } else { 0 }).into_iter().take(2).collect(),
                );
                counter.set_limits(now, &all(400));
            }
            for (kept, anew) in sums(&mut counter, now) {
                assert_eq!(kept, anew, "after call {seq}");
            }
        }
        assert!(lifted > 100, "{lifted} paces were lifted");
    }
}
