//! The life cycle of a request: it arrives, attempts are sent, and exactly one final answer ends it. More than one
//! attempt is in flight only if the settings allow hedging and the request's class repeats safely or by key.
//!
//! Sans-IO: the core contains no network code and no HTTP. It acts through [`Ports`], learns of events through
//! its methods, and gets the time with each call.

use crate::facade::{
    CounterReply, Ending, Facade, Intake, Outcome, Report, RequestKey, RoutedTask, ServiceTable, Settings,
    Tap, Verdict,
};
use crate::ledger::{differences, CountOwner, Difference};
use std::collections::{BTreeMap, BTreeSet};

/// Time before the client's deadline at which a request gets its final answer at the latest, ms: an answer sent
/// at the deadline itself would reach the client too late.
pub const ANSWER_MARGIN_MS: f64 = 20.0;

/// The final answer to a request; `S` is the type of a region's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer<S> {
    /// A region's good answer.
    Served(S),
    /// Refused for lack of capacity: a retry is safe after this time, ms (0: not stated).
    ShortOnCapacityReply(f64),
    /// Failed: the request may have run.
    Failed,
}

/// The side effects of the core, implemented by its caller.
pub trait Ports {
    /// A request as the front end received it, opaque to the core.
    type Content;
    /// A region's good answer, opaque to the core.
    type Served;
    /// Starts an attempt, whose end is reported by [`Core::attempt_ended`]; `limit_ms` is its time-out.
    fn route(&mut self, task: &RoutedTask, content: &Self::Content, limit_ms: f64);
    /// Cancels an attempt immediately, on the network too, for the reason `why`; no end of it may be reported later.
    fn cancel_attempt(&mut self, request: RequestKey, attempt: usize, why: Outcome);
    /// Gives the final answer.
    fn answer(&mut self, content: Self::Content, answer: Answer<Self::Served>);
    /// Calls the counter, whose reply is reported by [`Core::counter_replied`].
    fn increment_counter(&mut self, name: String, amount: f64, life_ms: f64);
    /// Closes idle connections to a region.
    fn close_idle(&mut self, region: &str);
    /// Id and idempotency key of a request, for the tap.
    fn request_names(_content: &Self::Content) -> (&str, &str) {
        ("", "")
    }
    /// Status of a region's answer, for the tap.
    fn status(_served: &Self::Served) -> u16 {
        200
    }
}

#[derive(Debug)]
struct Attempt {
    task: RoutedTask,
    sent_at: f64,
    /// When it times out, ms.
    expires_at: f64,
}

#[derive(Debug)]
struct Request<C> {
    /// `None` once the request has its final answer or its client has left.
    content: Option<C>,
    deadline: f64,
    /// Attempts in flight; the end of each is reported to the module exactly once.
    in_flight: Vec<Attempt>,
    franchisee: u64,
    /// A second attempt may be sent while the first is in flight, if the settings still allow it then.
    may_hedge: bool,
    /// Its time in [`Core::wakes`], ms.
    wake: u64,
}

impl<C> Request<C> {
    /// Removes an attempt from those in flight; the caller must report its end to the module.
    fn remove_attempt(&mut self, attempt: usize) -> Option<Attempt> {
        let index = self.in_flight.iter().position(|other| other.task.attempt == attempt)?;
        Some(self.in_flight.remove(index))
    }

    /// Removes the first attempt that has timed out; the caller must report its end to the module.
    fn remove_expired(&mut self, now: f64) -> Option<Attempt> {
        let index = self.in_flight.iter().position(|other| now >= other.expires_at)?;
        Some(self.in_flight.remove(index))
    }
}

/// All requests that are unanswered or have an attempt in flight.
#[derive(Debug)]
pub struct Core<P: Ports> {
    facade: Facade,
    ports: P,
    requests: BTreeMap<RequestKey, Request<P::Content>>,
    /// The time at which [`Core::tick`] next looks at each request, ms.
    wakes: BTreeSet<(u64, RequestKey)>,
}

impl<P: Ports> Core<P> {
    /// Creates a core without requests.
    pub fn new(facade: Facade, ports: P) -> Core<P> {
        Core { facade, ports, requests: BTreeMap::new(), wakes: BTreeSet::new() }
    }

    /// The ports given to [`Core::new`].
    pub fn ports(&mut self) -> &mut P {
        &mut self.ports
    }

    /// Number of requests without a final answer whose client has not left.
    pub fn unanswered(&self) -> usize {
        self.requests.values().filter(|request| request.content.is_some()).count()
    }

    /// Number of attempts in flight, as the core counts them.
    pub fn open(&self) -> usize {
        self.requests.values().map(|request| request.in_flight.len()).sum()
    }

    /// The core's counts of attempts in flight, by region and franchisee.
    fn attempt_counts(&self) -> BTreeMap<CountOwner, usize> {
        let mut counts = BTreeMap::new();
        for request in self.requests.values() {
            for attempt in &request.in_flight {
                *counts.entry(CountOwner::Region(attempt.task.region.clone())).or_default() += 1;
                *counts.entry(CountOwner::Franchisee(request.franchisee)).or_default() += 1;
            }
        }
        counts
    }

    /// Compares the core's attempts in flight with the module's and repairs differences: it reports the ends that
    /// were not reported and corrects the counts that still differ. Returns the differences; there are none unless
    /// the program has a fault.
    pub fn audit(&mut self, now: f64) -> Vec<Difference> {
        let differing = differences(&self.attempt_counts(), &self.facade.attempt_counts());
        if differing.is_empty() {
            return differing;
        }
        for (key, attempt, region) in self.facade.attempts_in_flight() {
            let entry = self.requests.get(&key);
            let in_flight =
                entry.is_some_and(|entry| entry.in_flight.iter().any(|other| other.task.attempt == attempt));
            if !in_flight {
                let closed = entry.is_none_or(|entry| entry.content.is_none());
                let task = RoutedTask { request: key, attempt, region, limit_ms: 0.0 };
                let ended = Attempt { task, sent_at: now, expires_at: now };
                self.report_end(now, key, ended, Outcome::Canceled, 0.0, closed);
            }
        }
        for difference in differences(&self.attempt_counts(), &self.facade.attempt_counts()) {
            self.facade.correct_count(&difference.owner, difference.out);
        }
        differing
    }

    /// Accepts a request under the unused number `key`; its time-out started to run `age_ms` ago.
    pub fn arrive(
        &mut self,
        now: f64,
        key: RequestKey,
        age_ms: f64,
        mut intake: Intake,
        content: P::Content,
    ) {
        intake.timeout_ms = (intake.timeout_ms - age_ms - ANSWER_MARGIN_MS).max(0.0);
        let deadline = now + intake.timeout_ms;
        let wake = deadline.ceil() as u64;
        self.wakes.insert((wake, key));
        let may_hedge = self.facade.allows_hedging(&intake);
        let (content, in_flight, franchisee) = (Some(content), Vec::new(), intake.customer);
        let request = Request { content, deadline, in_flight, franchisee, may_hedge, wake };
        self.requests.insert(key, request);
        if let Some(tap) = self.facade.tap() {
            let content = self.requests.get(&key).and_then(|entry| entry.content.as_ref());
            let (id, idempotency) = content.map_or(("", ""), P::request_names);
            tap.named(id, idempotency);
        }
        let verdicts = self.facade.pick(now, key, &intake);
        self.carry_out(now, verdicts);
    }

    /// An attempt ended without being canceled by the core.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        request: RequestKey,
        attempt: usize,
        outcome: Outcome,
        settled: f64,
        served: Option<P::Served>,
    ) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        // The attempt may have been canceled before its end was reported.
        let Some(ended) = entry.remove_attempt(attempt) else { return };
        let content = served.is_some().then(|| entry.content.take()).flatten();
        let closed = entry.content.is_none();
        if let (Some(content), Some(served)) = (content, served) {
            self.tap_ending(now, request, Ending::Served(P::status(&served)));
            self.ports.answer(content, Answer::Served(served));
        }
        self.report_end(now, request, ended, outcome, settled, closed);
    }

    /// The client has left. Attempts in flight continue, because their answers state the actual units.
    pub fn client_left(&mut self, now: f64, request: RequestKey) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        if entry.content.take().is_none() {
            return;
        }
        let verdicts = self.facade.report(now, Report::ClientLeft(request));
        self.remove_if_done(request);
        self.carry_out(now, verdicts);
    }

    /// The counter answered.
    pub fn counter_replied(&mut self, now: f64, name: String, reply: CounterReply) {
        let verdicts = self.facade.report(now, Report::CounterReplied(name, reply));
        self.carry_out(now, verdicts);
    }

    /// The service table changed.
    pub fn update_service_table(&mut self, now: f64, table: ServiceTable, saved: bool) {
        let verdicts = self.facade.report(now, Report::ServiceTable { table, saved });
        self.carry_out(now, verdicts);
    }

    /// Advances time: ends overdue attempts and requests, and ticks the module.
    pub fn tick(&mut self, now: f64) {
        while let Some((_, key)) = self.wakes.first().copied().filter(|(wake, _)| now >= *wake as f64) {
            self.expire(now, key);
        }
        let verdicts = self.facade.tick(now);
        self.carry_out(now, verdicts);
    }

    /// Time at which [`Core::tick`] is next needed, ms.
    pub fn next_tick(&self) -> Option<f64> {
        let wake = self.wakes.first().map(|(wake, _)| *wake as f64);
        match (wake, self.facade.next_tick()) {
            (Some(wake), Some(tick)) => Some(wake.min(tick)),
            (wake, tick) => wake.or(tick),
        }
    }

    /// Applies new settings; open requests keep the deadline and class that they arrived with. See
    /// [`Facade::update_settings`].
    pub fn update_settings(&mut self, now: f64, settings: Settings, from: f64, epoch: u64) {
        self.facade.update_settings(now, settings, from, epoch);
    }

    /// Sets or removes the tap, which observes the inputs and verdicts of the module.
    pub fn set_tap(&mut self, tap: Option<Box<dyn Tap>>) {
        self.facade.set_tap(tap);
    }

    /// Whether the module sheds load because the fleet lacks capacity.
    pub fn is_shedding(&self) -> bool {
        self.facade.is_shedding()
    }

    /// Stops the module: unused leases go back to the counter.
    pub fn shut_down(&mut self, now: f64) {
        let verdicts = self.facade.shut_down(now);
        self.carry_out(now, verdicts);
    }

    /// Injects a fault: drops the request's attempts in flight without reporting their ends to the module.
    #[cfg(test)]
    pub(crate) fn drop_attempts(&mut self, key: RequestKey) {
        self.requests.get_mut(&key).into_iter().for_each(|entry| entry.in_flight.clear());
    }

    fn expire(&mut self, now: f64, key: RequestKey) {
        let Some(entry) = self.requests.get_mut(&key) else {
            self.wakes.retain(|(_, other)| *other != key);
            return;
        };
        if let Some(expired) = entry.remove_expired(now) {
            let closed = entry.content.is_none();
            self.ports.cancel_attempt(key, expired.task.attempt, Outcome::TimedOut);
            self.report_end(now, key, expired, Outcome::TimedOut, 0.0, closed);
            // Another attempt may be due too; then the wake time stays in the past, and `tick` calls again.
            return self.update_wake(key);
        }
        if now < entry.deadline {
            return self.update_wake(key);
        }
        // The client gets its final answer now, even if the module has not decided yet.
        if let Some(content) = self.requests.get_mut(&key).and_then(|entry| entry.content.take()) {
            self.tap_ending(now, key, Ending::Failed);
            self.ports.answer(content, Answer::Failed);
            let verdicts = self.facade.report(now, Report::ClientLeft(key));
            self.carry_out(now, verdicts);
        }
        self.remove(key);
    }

    fn report_end(
        &mut self,
        now: f64,
        request: RequestKey,
        ended: Attempt,
        outcome: Outcome,
        settled: f64,
        closed: bool,
    ) {
        let (latency_ms, task) = (now - ended.sent_at, ended.task);
        let (attempt, region) = (task.attempt, task.region);
        let report = Report::Ended { request, attempt, region, outcome, settled, latency_ms, closed };
        let verdicts = self.facade.report(now, report);
        self.remove_if_done(request);
        self.carry_out(now, verdicts);
    }

    fn carry_out(&mut self, now: f64, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            match verdict {
                Verdict::Route(task) => self.route(now, task),
                Verdict::ShortOnCapacity(request, pause) => self.answer(
                    now,
                    request,
                    Answer::ShortOnCapacityReply(pause),
                    Ending::ShortOnCapacity(pause),
                ),
                Verdict::Fail(request) => self.answer(now, request, Answer::Failed, Ending::Failed),
                Verdict::CancelAttempt(request, attempt) => {
                    let Some(entry) = self.requests.get_mut(&request) else { continue };
                    let Some(canceled) = entry.remove_attempt(attempt) else { continue };
                    let closed = entry.content.is_none();
                    self.ports.cancel_attempt(request, attempt, Outcome::Canceled);
                    self.report_end(now, request, canceled, Outcome::Canceled, 0.0, closed);
                }
                Verdict::IncrementCounter(name, amount, life_ms) => {
                    self.ports.increment_counter(name, amount, life_ms)
                }
                Verdict::CloseIdle(region) => self.ports.close_idle(&region),
                Verdict::Log(text) => tracing::info!("{text}"),
            }
        }
    }

    fn route(&mut self, now: f64, task: RoutedTask) {
        let key = task.request;
        let hedging = self.facade.hedging_enabled();
        let (closed, can_send) = self.requests.get(&key).map_or((true, false), |entry| {
            let room = entry.in_flight.is_empty() || (entry.may_hedge && hedging);
            (entry.content.is_none(), entry.content.is_some() && now < entry.deadline && room)
        });
        if !can_send {
            // An attempt that is not sent is reported too; otherwise the module would count it as in flight forever.
            let ended = Attempt { task, sent_at: now, expires_at: now };
            return self.report_end(now, key, ended, Outcome::NotSent, 0.0, closed);
        }
        let Some(entry) = self.requests.get_mut(&key) else { return };
        let Some(content) = entry.content.as_ref() else { return };
        let expires_at =
            if task.limit_ms > 0.0 { entry.deadline.min(now + task.limit_ms) } else { entry.deadline };
        self.ports.route(&task, content, (expires_at - now).max(0.0));
        entry.in_flight.push(Attempt { task, sent_at: now, expires_at });
        self.update_wake(key);
    }

    fn tap_ending(&mut self, now: f64, request: RequestKey, ending: Ending) {
        if let Some(tap) = self.facade.tap() {
            tap.answered(now, request, ending);
        }
    }

    fn answer(&mut self, now: f64, request: RequestKey, answer: Answer<P::Served>, ending: Ending) {
        if let Some(content) = self.requests.get_mut(&request).and_then(|entry| entry.content.take()) {
            self.tap_ending(now, request, ending);
            self.ports.answer(content, answer);
        }
        self.remove_if_done(request);
    }

    /// Removes a request that needs no answer any more and has no attempt in flight.
    fn remove_if_done(&mut self, key: RequestKey) {
        if self.requests.get(&key).is_some_and(|entry| entry.content.is_none() && entry.in_flight.is_empty())
        {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: RequestKey) {
        if let Some(entry) = self.requests.remove(&key) {
            self.wakes.remove(&(entry.wake, key));
        }
    }

    fn update_wake(&mut self, key: RequestKey) {
        let Some(entry) = self.requests.get_mut(&key) else { return };
        let due = entry.in_flight.iter().fold(entry.deadline, |due, attempt| due.min(attempt.expires_at));
        let wake = due.ceil() as u64;
        if wake != entry.wake {
            self.wakes.remove(&(entry.wake, key));
            self.wakes.insert((wake, key));
            entry.wake = wake;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::facade::{Class, DedupScope, Plan, RegionEntry, RegionState, RetrySafety};

    /// Records the calls of the core.
    #[derive(Default)]
    struct Log(Vec<String>);

    impl Ports for Log {
        type Content = &'static str;
        type Served = &'static str;

        fn route(&mut self, task: &RoutedTask, content: &&'static str, limit_ms: f64) {
            self.0.push(format!("route {content} {} {limit_ms:.0}", task.attempt));
        }

        fn cancel_attempt(&mut self, request: RequestKey, attempt: usize, why: Outcome) {
            self.0.push(format!("give up {request} {attempt} {why:?}"));
        }

        fn answer(&mut self, content: &'static str, answer: Answer<&'static str>) {
            let answer = match answer {
                Answer::Served(served) => served,
                Answer::ShortOnCapacityReply(_) => "short",
                Answer::Failed => "failed",
            };
            self.0.push(format!("answer {content} {answer}"));
        }

        fn increment_counter(&mut self, _: String, _: f64, _: f64) {}

        fn close_idle(&mut self, _: &str) {}
    }

    fn core(retry_safety: RetrySafety) -> Core<Log> {
        let class = Class {
            name: "c".into(),
            target_latency_ms: 400.0,
            client_timeout_ms: 1_000.0,
            retry_safety,
            dedup_scope: DedupScope::All,
            key_ttl_ms: 1_000.0,
            late_share: 0.0,
            stream: false,
            worth: 1.0,
        };
        let plan = Plan { name: "p".into(), excess_cost: 0.0, ..Plan::default() };
        let settings = Settings {
            gateway_count: 1,
            step_ms: 2.0,
            classes: vec![class],
            plans: vec![plan],
            max_attempts: 3,
            ..Settings::default()
        };
        let mut core = Core::new(Facade::new(settings, 1, false).expect("good settings"), Log::default());
        let region = |uid: &str| RegionEntry {
            uid: uid.into(),
            endpoint: String::new(),
            state: RegionState::Ready,
            zone: String::new(),
            pod_group: 0,
            weight: 1.0,
            boot_ms: 0.0,
            distance: 0,
            rank: 0.0,
        };
        let table = ServiceTable { rev: 1, all: true, regions: vec![region("r1"), region("r2")] };
        core.update_service_table(1_000.0, table, true);
        core
    }

    fn arrive(core: &mut Core<Log>) {
        let (class, plan) = ("c".to_string(), "p".to_string());
        let (customer, timeout_ms, units, gateways) = (1, 1_000.0, 1.0, 1);
        let intake =
            Intake { class, never_twice: false, plan, customer, timeout_ms, units, gateways, retry: false };
        core.arrive(1_000.0, 7, 0.0, intake, "x");
    }

    #[test]
    fn a_request_is_answered_once_despite_duplicate_events() {
        let mut core = core(RetrySafety::Idempotent);
        arrive(&mut core);
        core.attempt_ended(1_050.0, 7, 0, Outcome::Served, 1.0, Some("fine"));
        core.attempt_ended(1_051.0, 7, 0, Outcome::Served, 1.0, Some("again"));
        core.client_left(1_052.0, 7);
        core.tick(9_000.0);
        assert_eq!(core.ports().0, ["route x 0 980", "answer x fine"]);
        assert_eq!((core.unanswered(), core.requests.len(), core.wakes.len()), (0, 0, 0));
    }

    #[test]
    fn a_client_that_left_gets_no_answer_and_its_attempt_is_tracked_to_its_end() {
        let mut core = core(RetrySafety::AtMostOnce);
        arrive(&mut core);
        core.client_left(1_010.0, 7);
        assert_eq!(core.requests.len(), 1, "the attempt is still in flight");
        core.attempt_ended(1_050.0, 7, 0, Outcome::Served, 1.0, Some("fine"));
        assert_eq!(core.ports().0, ["route x 0 980"]);
        assert_eq!((core.requests.len(), core.wakes.len()), (0, 0));
    }

    #[test]
    fn the_deadline_cancels_the_attempt_and_fails_the_request() {
        let mut core = core(RetrySafety::AtMostOnce);
        arrive(&mut core);
        core.tick(1_979.0);
        assert_eq!(core.ports().0.len(), 1, "nothing happens before the deadline");
        core.tick(1_980.0);
        assert_eq!(core.ports().0, ["route x 0 980", "give up 7 0 TimedOut", "answer x failed"]);
        core.attempt_ended(1_981.0, 7, 0, Outcome::Served, 1.0, Some("late"));
        assert_eq!(core.ports().0.len(), 3, "the end of a canceled attempt is ignored");
    }

    #[test]
    fn only_attempts_that_never_ran_are_retried() {
        let mut core = core(RetrySafety::AtMostOnce);
        arrive(&mut core);
        core.attempt_ended(1_010.0, 7, 0, Outcome::CouldNotConnect, 0.0, None);
        core.attempt_ended(1_020.0, 7, 1, Outcome::Reset, 0.0, None);
        assert_eq!(core.ports().0, ["route x 0 980", "route x 1 970", "answer x failed"]);
    }
}
