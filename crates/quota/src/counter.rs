//! The leader's side: records what is lent to each gateway of each tenant, and grants units.

use crate::pace_sum::PaceSum;
use crate::sliding_sum::SlidingSum;
use crate::takeover::Takeover;
use crate::tuning::{Guard, Limit, Tuning};
use crate::unused_pace::UnusedPace;
use crate::window_extreme::WindowExtreme;
use nickeljunction_messages::{TenantGrant, TenantUnits, UnitsAnswer, UnitsCall};
use std::collections::{BTreeMap, BTreeSet};

/// A first grant is sized for at least this many gateways.
const MIN_ASSUMED_GATEWAYS: u64 = 4;

/// A change of the list of gateway processes in the replicated log. A counter lends only to listed processes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProcessListChange {
    /// Processes to be added, with the names of their machines.
    pub added: BTreeMap<u64, String>,
    /// Processes to be removed: none of their units is in force any more.
    pub removed: Vec<u64>,
}

/// How the units of a tenant are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantUsage {
    /// Maximum units that may be spent in a window.
    pub cap: u64,
    /// Units lent to running gateways.
    pub lent: u64,
    /// Units held back for processes that have ended.
    pub held_for_ended: u64,
    /// Units held back for processes that an older counter may have lent to and that have not reported.
    pub held_for_unreported: u64,
    /// For how long the oldest of these units have been held back, ms; `None` if there are none.
    pub held_back_ms: Option<u64>,
}

impl TenantUsage {
    /// Units in force: lent or held back.
    pub fn used(&self) -> u64 {
        self.lent + self.held_for_ended + self.held_for_unreported
    }
}

/// Units of one tenant that are lent to one process.
#[derive(Debug, Clone)]
struct ProcessLoan {
    units: u64,
    /// Minimum pace until `pace_floor_until`, whatever the loan is.
    pace_floor: u64,
    pace_floor_until: u64,
    /// Maximum pace over the last window.
    max_pace: WindowExtreme,
    /// Units granted beyond the pace.
    boosts: SlidingSum,
    /// The pace of the process as included in the tenant's sum of paces.
    counted_pace: u64,
    /// The availability class of the last answer, see `availability_class`.
    reported_class: Option<u64>,
}

impl ProcessLoan {
    fn new(tuning: &Tuning) -> ProcessLoan {
        let boosts = SlidingSum::new(tuning.slot_ms, tuning.boost_in_force_ms());
        ProcessLoan {
            units: 0,
            pace_floor: 0,
            pace_floor_until: 0,
            max_pace: WindowExtreme::default(),
            boosts,
            counted_pace: 0,
            reported_class: None,
        }
    }

    fn pace(&self, now: u64) -> u64 {
        if now < self.pace_floor_until {
            self.units.max(self.pace_floor)
        } else {
            self.units
        }
    }
}

/// A running gateway process.
#[derive(Debug, Clone)]
struct Process {
    machine: String,
    started_at: u64,
    seq: u64,
    last_call_at: u64,
    loans: BTreeMap<String, ProcessLoan>,
}

/// Units held back for a process that has ended or is presumed to have ended.
#[derive(Debug, Clone)]
struct HeldBack {
    process_id: u64,
    units: u64,
    pace: u64,
    boosts: u64,
    ended_at: u64,
}

/// What is lent and held back of one tenant.
#[derive(Debug, Clone)]
struct TenantLedger {
    limit: Limit,
    /// Sum of the loans of running processes.
    lent: u64,
    held_back: Vec<HeldBack>,
    /// Units that may be granted beyond the paces of the processes.
    unused: UnusedPace,
    /// Paces of running processes.
    paces: PaceSum,
}

impl TenantLedger {
    fn new(limit: Limit, unused: UnusedPace) -> TenantLedger {
        TenantLedger { limit, lent: 0, held_back: Vec::new(), unused, paces: PaceSum::default() }
    }

    /// Updates the sum of paces by the current pace of a process. Must be called after each change of its loan.
    fn update_pace(&mut self, now: u64, process_id: u64, loan: &mut ProcessLoan) {
        let pace = loan.pace(now);
        self.paces.update(&mut loan.counted_pace, pace);
        if now < loan.pace_floor_until {
            self.paces.add_floor_end(process_id, loan.pace_floor_until);
        }
    }
}

/// A process that has ended.
#[derive(Debug, Clone, Copy)]
struct EndedProcess {
    ended_at: u64,
    /// Number of its last call.
    seq: u64,
}

/// An earlier process of the machine of a process that calls for the first time.
#[derive(Debug, Clone, Copy)]
struct EarlierProcess {
    process_id: u64,
    started_at: u64,
    last_call_at: u64,
}

/// Result of registering the process of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Registration {
    /// The process reports what an older counter lent to it.
    FromOlderCounter,
    /// The process has no loans but those in this counter's ledgers.
    Current,
    /// The machine of the process runs a newer one.
    Superseded,
}

/// Number of machines that these processes run on.
fn count_machines(processes: &BTreeMap<u64, String>) -> usize {
    processes.values().collect::<BTreeSet<_>>().len()
}

/// The counter of all tenants' units.
#[derive(Debug, Clone)]
pub struct Counter {
    term: u64,
    tuning: Tuning,
    ledgers: BTreeMap<String, TenantLedger>,
    processes: BTreeMap<u64, Process>,
    /// Processes that have ended; kept until none of their units is in force.
    ended: BTreeMap<u64, EndedProcess>,
    /// Processes in the replicated log, with the names of their machines.
    logged: BTreeMap<u64, String>,
    /// Number of machines of the logged processes.
    logged_machines: usize,
    /// Processes whose removal from the log is pending: treated as if they were not in it.
    pending_removal: BTreeSet<u64>,
    /// Processes whose addition to the log is pending, and since when: they are not removed meanwhile.
    pending_addition: BTreeMap<u64, u64>,
    takeover: Option<Takeover>,
    /// Before this time nothing is granted beyond the pace, as grants of an older counter may still be in flight.
    boosts_allowed_from: u64,
}

impl Counter {
    /// The counter of a leader from `now` on, in `term`. `logged` are the processes in the replicated log, which must
    /// be up to date: other processes have no units. Lends nothing before [`Counter::set_limits`].
    pub fn new(now: u64, term: u64, tuning: Tuning, logged: BTreeMap<u64, String>) -> Counter {
        let takeover = Takeover::new(now, &tuning, logged.clone());
        let boosts_allowed_from = if logged.is_empty() { now } else { now + tuning.max_boost_answer_ms };
        Counter {
            term,
            tuning,
            ledgers: BTreeMap::new(),
            processes: BTreeMap::new(),
            ended: BTreeMap::new(),
            logged_machines: count_machines(&logged),
            logged,
            pending_removal: BTreeSet::new(),
            pending_addition: BTreeMap::new(),
            takeover: Some(takeover),
            boosts_allowed_from,
        }
    }

    /// Maximum time after its start for which the counter holds units back for processes that an older counter may have
    /// lent to, ms: until then if none of them reports. 0 if there are no such processes.
    pub fn takeover_ms(&self) -> u64 {
        if self.logged.is_empty() {
            0
        } else {
            self.tuning.lease_ms + self.tuning.in_force_ms()
        }
    }

    /// Sets the limits of the newest configuration. The ledger of a tenant whose limit is removed is dropped.
    pub fn set_limits(&mut self, now: u64, limits: &BTreeMap<String, Limit>) {
        self.tick(now);
        self.ledgers.retain(|tenant, _| limits.contains_key(tenant));
        for process in self.processes.values_mut() {
            process.loans.retain(|tenant, _| limits.contains_key(tenant));
        }
        for (tenant, limit) in limits {
            match self.ledgers.get_mut(tenant) {
                Some(ledger) => {
                    if let Some(takeover) = self.takeover.as_mut().filter(|_| limit.pace < ledger.limit.pace)
                    {
                        takeover.limit_lowered(tenant, ledger.limit, *limit);
                    }
                    ledger.limit = *limit;
                }
                None => {
                    let unused = if now < self.boosts_allowed_from {
                        UnusedPace::empty(self.boosts_allowed_from, &self.tuning)
                    } else {
                        UnusedPace::full(now, &self.tuning, self.tuning.max_boost(limit.cap))
                    };
                    self.ledgers.insert(tenant.clone(), TenantLedger::new(*limit, unused));
                }
            }
            self.settle_unused_pace(now, tenant);
        }
    }

    /// Sets the processes in the replicated log. Must be called whenever they have changed.
    pub fn set_logged_processes(&mut self, processes: &BTreeMap<u64, String>) {
        self.logged.clone_from(processes);
        self.logged_machines = count_machines(processes);
        self.pending_removal.retain(|process_id| processes.contains_key(process_id));
    }

    /// Ends the processes whose lease is over and drops what is out of force. Every call does so, too; calling this
    /// once a second keeps memory use small.
    pub fn tick(&mut self, now: u64) {
        let lease_ms = self.tuning.lease_ms;
        let is_lease_over = |process: &&Process| process.last_call_at + lease_ms <= now;
        let expired: Vec<u64> = self
            .processes
            .iter()
            .filter(|(_, process)| is_lease_over(process))
            .map(|(process_id, _)| *process_id)
            .collect();
        for process_id in expired {
            let ended_at = self.processes[&process_id].last_call_at + lease_ms;
            self.end_process(process_id, ended_at);
        }
        let in_force_ms = self.tuning.in_force_ms();
        self.ended.retain(|_, ended| ended.ended_at + in_force_ms > now);
        for ledger in self.ledgers.values_mut() {
            ledger.held_back.retain(|held| held.ended_at + in_force_ms > now);
        }
        if self.takeover.as_ref().is_some_and(|takeover| takeover.is_over(now, &self.tuning)) {
            self.takeover = None;
        }
    }

    /// Ends a process, which spends nothing after `ended_at`, and holds back what it may have in force.
    fn end_process(&mut self, process_id: u64, ended_at: u64) {
        let Some(process) = self.processes.remove(&process_id) else { return };
        for (tenant, mut loan) in process.loans {
            let Some(ledger) = self.ledgers.get_mut(&tenant) else { continue };
            ledger.lent -= loan.units;
            ledger.paces.update(&mut loan.counted_pace, 0);
            let pace = loan.pace(ended_at);
            let pace = loan.max_pace.get(ended_at, self.tuning.in_force_ms(), pace, u64::max);
            loan.boosts.expire(ended_at);
            let boosts = loan.boosts.sum();
            ledger.held_back.push(HeldBack { process_id, units: loan.units, pace, boosts, ended_at });
        }
        self.ended.insert(process_id, EndedProcess { ended_at, seq: process.seq });
    }

    fn is_logged(&self, process_id: u64) -> bool {
        self.logged.contains_key(&process_id) && !self.pending_removal.contains(&process_id)
    }

    /// Returns what must be committed to the replicated log before [`Counter::handle_call`] lends to the process of
    /// this call. Once it is committed, call [`Counter::set_logged_processes`] and then
    /// [`Counter::enrollment_committed`].
    pub fn enrollment_for(&mut self, now: u64, call: &UnitsCall) -> Option<ProcessListChange> {
        if !call.is_full_report
            || call.is_final
            || call.counter_term != self.term
            || self.is_logged(call.incarnation)
        {
            return None;
        }
        self.pending_addition.insert(call.incarnation, now);
        Some(ProcessListChange {
            added: BTreeMap::from([(call.incarnation, call.name.clone())]),
            removed: Vec::new(),
        })
    }

    /// A process that [`Counter::enrollment_for`] named is committed to the log, after every earlier proposal.
    pub fn enrollment_committed(&mut self, process_id: u64) {
        self.pending_removal.remove(&process_id);
    }

    /// Returns the processes that may be removed from the log. To be called periodically; the result is to be
    /// appended to the log.
    pub fn removable_processes(&mut self, now: u64) -> Option<ProcessListChange> {
        self.tick(now);
        let unreported: BTreeSet<u64> = self.takeover.iter().flat_map(Takeover::unreported).collect();
        self.pending_addition.retain(|_, since| *since + self.tuning.lease_ms > now);
        let is_needed = |process_id: &u64| {
            self.processes.contains_key(process_id)
                || self.ended.contains_key(process_id)
                || self.pending_addition.contains_key(process_id)
                || unreported.contains(process_id)
        };
        let removed: Vec<u64> =
            self.logged.keys().filter(|process_id| !is_needed(process_id)).copied().collect();
        self.pending_removal.extend(&removed);
        (!removed.is_empty()).then(|| ProcessListChange { added: BTreeMap::new(), removed })
    }

    /// Units of a tenant in force: lent, or held back for processes that have ended or not reported.
    pub fn used(&mut self, now: u64, tenant: &str) -> u64 {
        self.tick(now);
        self.used_now(now, tenant)
    }

    fn used_now(&self, now: u64, tenant: &str) -> u64 {
        self.ledgers.get(tenant).map_or(0, |ledger| self.usage(now, tenant, ledger).used())
    }

    /// The usage of each tenant, for status pages and metrics, as of the last `tick`.
    pub fn usage_by_tenant(&self, now: u64) -> BTreeMap<String, TenantUsage> {
        let ledgers = self.ledgers.iter();
        ledgers.map(|(tenant, ledger)| (tenant.clone(), self.usage(now, tenant, ledger))).collect()
    }

    fn usage(&self, now: u64, tenant: &str, ledger: &TenantLedger) -> TenantUsage {
        let (cap, tuning) = (ledger.limit.cap, &self.tuning);
        let units_of = |held: &HeldBack| {
            let paced = tuning.max_in_force(cap, 1, held.pace, now.saturating_sub(held.ended_at));
            held.units.min(paced + held.boosts)
        };
        let held_back = ledger.held_back.iter().filter(|_| tuning.enforces(Guard::EndedProcesses));
        let ended = held_back.map(units_of).sum();
        let unreported_processes =
            self.takeover.as_ref().filter(|_| tuning.enforces(Guard::UnreportedProcesses));
        let unreported =
            unreported_processes.map_or(0, |takeover| takeover.units(now, tenant, ledger.limit, tuning));
        let since = ledger.held_back.iter().filter(|held| units_of(held) > 0).map(|held| held.ended_at);
        let takeover_since = self.takeover.as_ref().filter(|_| unreported > 0).map(Takeover::started_at);
        let held_back_ms = since.chain(takeover_since).min().map(|since| now.saturating_sub(since));
        TenantUsage {
            cap,
            lent: ledger.lent,
            held_for_ended: ended,
            held_for_unreported: unreported,
            held_back_ms,
        }
    }

    /// Sum of the paces of all processes, reported or not. `max` is the pace of the tenant's limit.
    fn total_pace(&mut self, now: u64, tenant: &str, max: u64) -> u64 {
        let Counter { ledgers, processes, takeover, .. } = self;
        let Some(ledger) = ledgers.get_mut(tenant) else { return 0 };
        while let Some(process_id) = ledger.paces.pop_ended_floor(now) {
            if let Some(loan) =
                processes.get_mut(&process_id).and_then(|process| process.loans.get_mut(tenant))
            {
                ledger.update_pace(now, process_id, loan);
            }
        }
        let unreported = takeover.as_ref().map_or(0, |takeover| takeover.pace(now, tenant, max));
        ledger.paces.sum() + unreported
    }

    /// Updates the inflow of the tenant's unused pace: the part of its pace that no process has.
    fn settle_unused_pace(&mut self, now: u64, tenant: &str) {
        let Some(Limit { cap, pace: max }) = self.ledgers.get(tenant).map(|ledger| ledger.limit) else {
            return;
        };
        let rate = max.saturating_sub(self.total_pace(now, tenant, max));
        let Counter { ledgers, tuning, .. } = self;
        if let Some(ledger) = ledgers.get_mut(tenant) {
            ledger.unused.settle(now, tuning, tuning.max_boost(cap), rate);
        }
    }

    /// Answers a gateway's call. `gateways` is the number of registered gateways, among which first grants are divided.
    /// What [`Counter::enrollment_for`] returned must be in the log; a process that is not gets nothing.
    pub fn handle_call(&mut self, now: u64, call: &UnitsCall, gateways: usize) -> UnitsAnswer {
        self.tick(now);
        let mut answer = UnitsAnswer { seq: call.seq, term: self.term, ..UnitsAnswer::default() };
        // The call was overtaken by a newer one or duplicated: the newer report stays, and nothing is lent twice.
        if self.processes.get(&call.incarnation).is_some_and(|process| process.seq >= call.seq)
            && self.tuning.enforces(Guard::CallOrder)
        {
            return answer;
        }
        // The same for a process that has ended: an old report must not replace what is held back for its spent units.
        if self.ended.get(&call.incarnation).is_some_and(|ended| ended.seq >= call.seq) {
            return answer;
        }
        // The report was addressed to another counter, which may have lent more since.
        if call.is_full_report && call.counter_term != self.term && self.tuning.enforces(Guard::IntendedTerm)
        {
            answer.full_report_needed = true;
            return answer;
        }
        if !call.is_full_report && !self.processes.contains_key(&call.incarnation)
            || !self.is_logged(call.incarnation)
        {
            answer.full_report_needed = true;
            return answer;
        }
        let registration = self.register(now, call);
        if registration == Registration::Superseded {
            answer.full_report_needed = true;
            return answer;
        }
        self.record_report(now, call, registration == Registration::FromOlderCounter);
        if call.is_final {
            self.end_process(call.incarnation, now);
            return answer;
        }
        let gateways = gateways.max(self.logged_machines) as u64;
        // For tenants whose units are lent on demand, a gateway that requests nothing needs no grant.
        let needs_grant = |(tenant, ledger): &(&String, &TenantLedger)| {
            call.tenants.contains_key(*tenant) || !self.tuning.lends_on_demand(ledger.limit.cap, gateways)
        };
        let tenants: Vec<String> =
            self.ledgers.iter().filter(needs_grant).map(|(tenant, _)| tenant.clone()).collect();
        for tenant in tenants {
            let report = call.tenants.get(&tenant);
            if let Some(grant) = self.grant(now, call.incarnation, &tenant, report, gateways) {
                answer.tenants.insert(tenant, grant);
            }
        }
        answer
    }

    /// Records that the process runs, and that earlier ones of its machine ended before it started.
    fn register(&mut self, now: u64, call: &UnitsCall) -> Registration {
        if let Some(process) = self.processes.get_mut(&call.incarnation) {
            (process.seq, process.last_call_at) = (call.seq, now);
            return Registration::Current;
        }
        let started_at = now.saturating_sub(call.uptime_ms);
        let earlier = self.processes_of(&call.name);
        // The call is a late one of a process that already has a successor.
        if earlier.iter().any(|process| process.started_at > started_at) {
            return Registration::Superseded;
        }
        for process in earlier {
            self.end_process(process.process_id, started_at.max(process.last_call_at));
        }
        // The process was presumed to have ended but runs: its report replaces what is held back for it.
        if self.ended.remove(&call.incarnation).is_some() {
            self.ledgers
                .values_mut()
                .for_each(|ledger| ledger.held_back.retain(|held| held.process_id != call.incarnation));
        }
        let process = Process {
            machine: call.name.clone(),
            started_at,
            seq: call.seq,
            last_call_at: now,
            loans: BTreeMap::new(),
        };
        self.processes.insert(call.incarnation, process);
        let was_unreported = |takeover: &mut Takeover| {
            takeover.process_reported(call.incarnation, &call.name, started_at, &self.tuning)
        };
        match self.takeover.as_mut().is_some_and(was_unreported) {
            true => Registration::FromOlderCounter,
            false => Registration::Current,
        }
    }

    /// The running processes of a machine, as far as known.
    fn processes_of(&self, machine: &str) -> Vec<EarlierProcess> {
        let of_machine = self.processes.iter().filter(|(_, process)| process.machine == machine);
        of_machine
            .map(|(process_id, process)| EarlierProcess {
                process_id: *process_id,
                started_at: process.started_at,
                last_call_at: process.last_call_at,
            })
            .collect()
    }

    /// Records the loans that the process reports.
    fn record_report(&mut self, now: u64, call: &UnitsCall, from_older_counter: bool) {
        let Some(process) = self.processes.get_mut(&call.incarnation) else { return };
        let in_force_ms = self.tuning.in_force_ms();
        for (tenant, report) in &call.tenants {
            let Some(ledger) = self.ledgers.get_mut(tenant) else { continue };
            let loan = match process.loans.get_mut(tenant) {
                Some(loan) => loan,
                None => {
                    let loan =
                        process.loans.entry(tenant.clone()).or_insert_with(|| ProcessLoan::new(&self.tuning));
                    let max_boost = self.tuning.max_boost(ledger.limit.cap);
                    let boosted = if call.reports_boosted { report.boosted } else { max_boost };
                    loan.boosts.add(now, boosted.min(report.loan));
                    if report.pace > report.loan {
                        (loan.pace_floor, loan.pace_floor_until) =
                            (report.pace, now + self.tuning.pace_floor_ms);
                    }
                    if let Some(takeover) = self.takeover.as_mut().filter(|_| from_older_counter) {
                        // Units that it spent before a limit was lowered are not part of what all processes may have
                        // under the new limit.
                        let reported_loan = report.loan.saturating_sub(report.unspendable);
                        takeover.add_report(
                            tenant,
                            reported_loan,
                            report.pace.max(reported_loan),
                            report.min_pace,
                        );
                    }
                    loan
                }
            };
            let previous_pace = loan.pace(now);
            ledger.lent = ledger.lent - loan.units + report.loan;
            loan.units = report.loan;
            ledger.update_pace(now, call.incarnation, loan);
            let pace = loan.pace(now);
            // Under an older counter it may have spent at a higher pace.
            loan.max_pace.record(now, in_force_ms, previous_pace.max(report.max_pace), pace, u64::max);
        }
        for tenant in call.tenants.keys() {
            self.settle_unused_pace(now, tenant);
        }
    }

    /// What the process is granted of a tenant; `None` if the gateway learns nothing new from a grant.
    fn grant(
        &mut self,
        now: u64,
        process_id: u64,
        tenant: &str,
        report: Option<&TenantUnits>,
        gateways: u64,
    ) -> Option<TenantGrant> {
        let Limit { cap, pace: max_pace } = self.ledgers.get(tenant)?.limit;
        let on_demand = self.tuning.lends_on_demand(cap, gateways);
        // The gateway only returns units.
        if on_demand && report.is_some_and(|report| report.requested + report.boost == 0) {
            return None;
        }
        let used = self.used_now(now, tenant);
        // The paces of all processes together must never exceed the tenant's pace.
        let pace_left = max_pace.saturating_sub(self.total_pace(now, tenant, max_pace));
        let loan = self.processes.get(&process_id)?.loans.get(tenant);
        let (own_pace, own_loan) = loan.map_or((0, 0), |loan| (loan.pace(now), loan.units));
        let room = (own_pace + pace_left).saturating_sub(own_loan);
        let remaining = cap.saturating_sub(used);
        // At a first start gateways register one by one, so the number of them is too low at first.
        let share = match on_demand {
            true => 0,
            false => (cap / (2 * gateways.max(MIN_ASSUMED_GATEWAYS))).max(2),
        };
        let first = report.is_some_and(|report| report.is_first_fetch);
        let (want, boost) = report.map_or((0, 0), |report| (report.requested, report.boost));
        let free = remaining.min(room);
        let is_ample = free * 2 >= cap;
        // While units are ample each process may have its share, so that it is there when traffic rises.
        let requested = if want > 0 && (first || is_ample) { want.max(share) } else { want };
        let max_grant = if want <= 2 { free.min(want) } else { 0 }.max(free.div_ceil(2));
        let Counter { tuning, processes, ledgers, .. } = self;
        let loan = processes.get_mut(&process_id)?.loans.entry(tenant.to_owned());
        let loan = loan.or_insert_with(|| ProcessLoan::new(tuning));
        let previous_pace = loan.pace(now);
        let mut pace_floor = 0;
        let is_low = loan.units < share && loan.pace_floor_until < now + tuning.pace_floor_ms / 2;
        if !on_demand && (first || (is_low && is_ample)) {
            // Units may be granted slowly at first, and before a rise in traffic not at all: the pace must not depend
            // on them.
            pace_floor = share.min(previous_pace + pace_left);
            (loan.pace_floor, loan.pace_floor_until) =
                (pace_floor.max(previous_pace), now + tuning.pace_floor_ms);
        }
        let class = Self::availability_class(remaining.min(room), cap);
        // The gateway requests nothing and already knows about the same availability.
        if report.is_none() && pace_floor == 0 && loan.reported_class == Some(class) {
            return None;
        }
        let granted = requested.min(max_grant);
        loan.units += granted;
        let ledger = ledgers.get_mut(tenant)?;
        ledger.lent += granted;
        ledger.update_pace(now, process_id, loan);
        let pace = loan.pace(now);
        loan.max_pace.record(now, tuning.in_force_ms(), previous_pace, pace, u64::max);
        loan.reported_class = Some(Self::availability_class((remaining - granted).min(room - granted), cap));
        let granted_boost = ledger.unused.take(now, tuning, boost);
        loan.boosts.expire(now);
        loan.boosts.add(now, granted_boost);
        self.settle_unused_pace(now, tenant);
        let (remaining, room) = (remaining - granted, room - granted);
        let room = (room < remaining).then_some(room);
        Some(TenantGrant {
            granted,
            remaining,
            pace_headroom: room,
            boost: granted_boost,
            initial_pace: pace_floor,
        })
    }

    /// The remaining units as a coarse fraction of the cap. Uses the same steps by which gateways size their batches.
    fn availability_class(remaining: u64, cap: u64) -> u64 {
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

    /// For each tenant, the maintained sum of paces and the sum computed from all loans.
    fn sums(counter: &mut Counter, now: u64) -> [(u64, u64); 3] {
        TENANTS.map(|tenant| {
            let maintained = counter.total_pace(now, tenant, 0);
            let loans = counter.processes.values().filter_map(|process| process.loans.get(tenant));
            (maintained, loans.map(|loan| loan.pace(now)).sum())
        })
    }

    #[test]
    fn maintained_sums_of_paces_match_the_loans() {
        let log: BTreeMap<u64, String> =
            (0..6).map(|process_id| (process_id, format!("g-{process_id}"))).collect();
        let limits = |cap: u64| TENANTS.map(|name| (name.to_string(), Limit { cap, pace: cap })).into();
        let mut counter = Counter::new(0, 1, Tuning::new(1_000), log);
        // What an older counter may have lent is not part of the compared sums.
        counter.takeover = None;
        counter.set_limits(0, &limits(400));
        let (mut rng, mut now, mut pace_floors) = (fastrand::Rng::with_seed(7), 0, 0);
        for seq in 1..4_000 {
            // Long pauses end processes.
            now += if rng.u32(..100) == 0 { 9_000 } else { rng.u64(..150) };
            let process_id = rng.u64(..6);
            let loan = |rng: &mut fastrand::Rng| rng.u64(..40);
            let report = |rng: &mut fastrand::Rng| TenantUnits {
                loan: loan(rng),
                requested: rng.u64(..20),
                is_first_fetch: rng.u32(..8) == 0,
                ..TenantUnits::default()
            };
            let named = TENANTS.iter().filter(|_| rng.bool()).collect::<Vec<_>>();
            let tenants = named.into_iter().map(|name| (name.to_string(), report(&mut rng))).collect();
            let (is_full_report, end) = (!counter.processes.contains_key(&process_id), rng.u32(..50) == 0);
            let name = format!("g-{process_id}");
            let call = UnitsCall {
                incarnation: process_id,
                seq,
                is_full_report,
                name,
                counter_term: 1,
                is_final: end,
                tenants,
                ..UnitsCall::default()
            };
            let answer = counter.handle_call(now, &call, 6);
            pace_floors += answer.tenants.values().filter(|grant| grant.initial_pace > 0).count();
            if seq % 500 == 0 {
                counter.set_limits(
                    now,
                    &limits(if seq % 1_000 == 0 { 400 } else { 0 }).into_iter().take(2).collect(),
                );
                counter.set_limits(now, &limits(400));
            }
            for (maintained, computed) in sums(&mut counter, now) {
                assert_eq!(maintained, computed, "after call {seq}");
            }
        }
        assert!(pace_floors > 100, "{pace_floors} pace floors were granted");
    }
}
