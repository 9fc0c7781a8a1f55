//! One request's life: it arrives, attempts go out, and exactly one final answer ends it. More than one attempt is
//! out only where the settings allow second copies and the request's class repeats safely or by key.
//!
//! Sans-IO: the core knows no wire and no HTTP. What it wants done goes through [`Ports`], what happens is
//! told by its methods, and the time comes with each call.

use crate::facade::{
    CounterReply, Ending, Facade, Intake, Outcome, Report, RequestKey, RoutedTask, ServiceTable, Settings,
    Tap, Verdict,
};
use crate::ledger::{differences, CountOwner, Difference};
use std::collections::{BTreeMap, BTreeSet};

/// Time before the client's deadline at which a request is answered for good, ms: an answer given at the
/// deadline itself would reach the client after it.
pub const ANSWER_MARGIN_MS: f64 = 20.0;

/// The final answer to a request; `S` is what a region served.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer<S> {
    /// A region's good answer.
    Served(S),
    /// A refusal: trying again is harmless, after so many ms (0: not told).
    ShortOnCapacityReply(f64),
    /// Failed: it may have run.
    Failed,
}

/// The world as the core needs it. `Content` is what a front took in and travels with the request.
pub trait Ports {
    /// A request as it came, opaque here.
    type Content;
    /// A region's good answer, opaque here.
    type Served;
    /// Starts an attempt, to be answered by [`Core::attempt_ended`]; `limit_ms` is the time to wait for it.
    fn route(&mut self, task: &RoutedTask, content: &Self::Content, limit_ms: f64);
    /// Ends one attempt at once, on the wire too, because of this outcome; nothing more may be told of it.
    fn cancel_attempt(&mut self, request: RequestKey, attempt: usize, why: Outcome);
    /// Gives the final answer.
    fn answer(&mut self, content: Self::Content, answer: Answer<Self::Served>);
    /// Calls the counter, to be answered by [`Core::counter_replied`].
    fn increment_counter(&mut self, name: String, amount: f64, life_ms: f64);
    /// Closes idle connections to a region.
    fn close_idle(&mut self, region: &str);
    /// Id and idempotency key of a request, for who records them.
    fn request_names(_content: &Self::Content) -> (&str, &str) {
        ("", "")
    }
    /// Status of a region's answer, for who records it.
    fn status(_served: &Self::Served) -> u16 {
        200
    }
}

#[derive(Debug)]
struct Out {
    task: RoutedTask,
    sent: f64,
    until: f64,
}

#[derive(Debug)]
struct Request<C> {
    /// `None` once the final answer is given.
    content: Option<C>,
    deadline: f64,
    /// Attempts that are out; each ends once towards the module.
    out: Vec<Out>,
    franchisee: u64,
    /// A second attempt may go out beside the first, if the settings still allow it then.
    copies: bool,
    /// Where it stands in the order of waking.
    wake: u64,
}

impl<C> Request<C> {
    /// Takes an attempt that is out: whoever does tells the module of its end.
    fn take_out(&mut self, attempt: usize) -> Option<Out> {
        let at = self.out.iter().position(|out| out.task.attempt == attempt)?;
        Some(self.out.remove(at))
    }

    /// Takes the first attempt that is out for longer than its bound.
    fn take_due(&mut self, now: f64) -> Option<Out> {
        let at = self.out.iter().position(|out| now >= out.until)?;
        Some(self.out.remove(at))
    }
}

/// All requests that are owed an answer or have an attempt out.
#[derive(Debug)]
pub struct Core<P: Ports> {
    facade: Facade,
    ports: P,
    requests: BTreeMap<RequestKey, Request<P::Content>>,
    wakes: BTreeSet<(u64, RequestKey)>,
}

impl<P: Ports> Core<P> {
    /// A core over a module and the world.
    pub fn new(facade: Facade, ports: P) -> Core<P> {
        Core { facade, ports, requests: BTreeMap::new(), wakes: BTreeSet::new() }
    }

    /// The world.
    pub fn ports(&mut self) -> &mut P {
        &mut self.ports
    }

    /// Requests that are owed an answer.
    pub fn unanswered(&self) -> usize {
        self.requests.values().filter(|request| request.content.is_some()).count()
    }

    /// Attempts that are out, by this core's own book.
    pub fn open(&self) -> usize {
        self.requests.values().map(|request| request.out.len()).sum()
    }

    /// The core's counts of attempts out, by region and franchisee.
    fn out(&self) -> BTreeMap<CountOwner, usize> {
        let mut counts = BTreeMap::new();
        for request in self.requests.values() {
            for out in &request.out {
                *counts.entry(CountOwner::Region(out.task.region.clone())).or_default() += 1;
                *counts.entry(CountOwner::Franchisee(request.franchisee)).or_default() += 1;
            }
        }
        counts
    }

    /// Compares what is out with what the module believes to be out, and heals what differs: ends that were not told
    /// are told, counts that still differ are put right. Returns what differed; always nothing, or there is a fault.
    pub fn audit(&mut self, now: f64) -> Vec<Difference> {
        let found = differences(&self.out(), &self.facade.attempt_counts());
        if found.is_empty() {
            return found;
        }
        for (key, attempt, region) in self.facade.attempts_in_flight() {
            let entry = self.requests.get(&key);
            let known = entry.is_some_and(|entry| entry.out.iter().any(|out| out.task.attempt == attempt));
            if !known {
                let closed = entry.is_none_or(|entry| entry.content.is_none());
                let task = RoutedTask { request: key, attempt, region, limit_ms: 0.0 };
                let out = Out { task, sent: now, until: now };
                self.settle(now, key, out, Outcome::Canceled, 0.0, closed);
            }
        }
        for rest in differences(&self.out(), &self.facade.attempt_counts()) {
            self.facade.correct_count(&rest.owner, rest.out);
        }
        found
    }

    /// Takes a request in under a number of its own; the clock of its patience began `age_ms` ago.
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
        let copies = self.facade.copies(&intake);
        let (content, out, franchisee) = (Some(content), Vec::new(), intake.customer);
        let request = Request { content, deadline, out, franchisee, copies, wake };
        self.requests.insert(key, request);
        if let Some(tap) = self.facade.tap() {
            let content = self.requests.get(&key).and_then(|entry| entry.content.as_ref());
            let (id, idempotency) = content.map_or(("", ""), P::request_names);
            tap.named(id, idempotency);
        }
        let verdicts = self.facade.pick(now, key, &intake);
        self.carry_out(now, verdicts);
    }

    /// An attempt ended by itself.
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
        // Guards against news of an attempt that was given up meanwhile.
        let Some(out) = entry.take_out(attempt) else { return };
        let content = served.is_some().then(|| entry.content.take()).flatten();
        let closed = entry.content.is_none();
        if let (Some(content), Some(served)) = (content, served) {
            self.ending(now, request, Ending::Served(P::status(&served)));
            self.ports.answer(content, Answer::Served(served));
        }
        self.settle(now, request, out, outcome, settled, closed);
    }

    /// The client has gone. The attempt that is out goes on: its answer tells the true units.
    pub fn client_left(&mut self, now: f64, request: RequestKey) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        if entry.content.take().is_none() {
            return;
        }
        let verdicts = self.facade.report(now, Report::ClientLeft(request));
        self.tidy(request);
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

    /// Lets time pass: attempts and requests that are overdue end, and the module gets its tick.
    pub fn tick(&mut self, now: f64) {
        while let Some((_, key)) = self.wakes.first().copied().filter(|(wake, _)| now >= *wake as f64) {
            self.overdue(now, key);
        }
        let verdicts = self.facade.tick(now);
        self.carry_out(now, verdicts);
    }

    /// When [`Core::tick`] is next of use, ms.
    pub fn next_tick(&self) -> Option<f64> {
        let wake = self.wakes.first().map(|(wake, _)| *wake as f64);
        match (wake, self.facade.next_tick()) {
            (Some(wake), Some(tick)) => Some(wake.min(tick)),
            (wake, tick) => wake.or(tick),
        }
    }

    /// Takes new figures; requests under way keep the deadline and class that they came with. See
    /// [`Facade::update_settings`].
    pub fn update_settings(&mut self, now: f64, settings: Settings, from: f64, epoch: u64) {
        self.facade.update_settings(now, settings, from, epoch);
    }

    /// Sets or takes away who sees what goes into the module and comes out of it.
    pub fn set_tap(&mut self, tap: Option<Box<dyn Tap>>) {
        self.facade.set_tap(tap);
    }

    /// The module thinks the fleet short.
    pub fn is_shedding(&self) -> bool {
        self.facade.is_shedding()
    }

    /// The program stops: unused leases go back to the counter.
    pub fn shut_down(&mut self, now: f64) {
        let verdicts = self.facade.shut_down(now);
        self.carry_out(now, verdicts);
    }

    /// A fault put in on purpose: what this request has out is forgotten, and the module not told.
    #[cfg(test)]
    pub(crate) fn forget_out(&mut self, key: RequestKey) {
        self.requests.get_mut(&key).into_iter().for_each(|entry| entry.out.clear());
    }

    fn overdue(&mut self, now: f64, key: RequestKey) {
        let Some(entry) = self.requests.get_mut(&key) else {
            self.wakes.retain(|(_, other)| *other != key);
            return;
        };
        if let Some(out) = entry.take_due(now) {
            let closed = entry.content.is_none();
            self.ports.cancel_attempt(key, out.task.attempt, Outcome::TimedOut);
            self.settle(now, key, out, Outcome::TimedOut, 0.0, closed);
            // Its wake stands until nothing of it is due: another attempt may be.
            return self.rewake(key);
        }
        if now < entry.deadline {
            return self.rewake(key);
        }
        // Whatever the module still ponders, the client is owed its one answer now.
        if let Some(content) = self.requests.get_mut(&key).and_then(|entry| entry.content.take()) {
            self.ending(now, key, Ending::Failed);
            self.ports.answer(content, Answer::Failed);
            let verdicts = self.facade.report(now, Report::ClientLeft(key));
            self.carry_out(now, verdicts);
        }
        self.forget(key);
    }

    fn settle(
        &mut self,
        now: f64,
        request: RequestKey,
        out: Out,
        outcome: Outcome,
        settled: f64,
        closed: bool,
    ) {
        let (latency_ms, task) = (now - out.sent, out.task);
        let (attempt, region) = (task.attempt, task.region);
        let report = Report::Ended { request, attempt, region, outcome, settled, latency_ms, closed };
        let verdicts = self.facade.report(now, report);
        self.tidy(request);
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
                    let Some(out) = entry.take_out(attempt) else { continue };
                    let closed = entry.content.is_none();
                    self.ports.cancel_attempt(request, attempt, Outcome::Canceled);
                    self.settle(now, request, out, Outcome::Canceled, 0.0, closed);
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
        let copies = self.facade.hedging_enabled();
        let (closed, fit) = self.requests.get(&key).map_or((true, false), |entry| {
            let room = entry.out.is_empty() || (entry.copies && copies);
            (entry.content.is_none(), entry.content.is_some() && now < entry.deadline && room)
        });
        if !fit {
            // What does not go out is told as well: the module's book of what is out would never empty.
            let out = Out { task, sent: now, until: now };
            return self.settle(now, key, out, Outcome::NotSent, 0.0, closed);
        }
        let Some(entry) = self.requests.get_mut(&key) else { return };
        let Some(content) = entry.content.as_ref() else { return };
        let until =
            if task.limit_ms > 0.0 { entry.deadline.min(now + task.limit_ms) } else { entry.deadline };
        self.ports.route(&task, content, (until - now).max(0.0));
        entry.out.push(Out { task, sent: now, until });
        self.rewake(key);
    }

    fn ending(&mut self, now: f64, request: RequestKey, ending: Ending) {
        if let Some(tap) = self.facade.tap() {
            tap.answered(now, request, ending);
        }
    }

    fn answer(&mut self, now: f64, request: RequestKey, answer: Answer<P::Served>, ending: Ending) {
        if let Some(content) = self.requests.get_mut(&request).and_then(|entry| entry.content.take()) {
            self.ending(now, request, ending);
            self.ports.answer(content, answer);
        }
        self.tidy(request);
    }

    /// Forgets a request that has its answer and no attempt out.
    fn tidy(&mut self, key: RequestKey) {
        if self.requests.get(&key).is_some_and(|entry| entry.content.is_none() && entry.out.is_empty()) {
            self.forget(key);
        }
    }

    fn forget(&mut self, key: RequestKey) {
        if let Some(entry) = self.requests.remove(&key) {
            self.wakes.remove(&(entry.wake, key));
        }
    }

    fn rewake(&mut self, key: RequestKey) {
        let Some(entry) = self.requests.get_mut(&key) else { return };
        let due = entry.out.iter().fold(entry.deadline, |due, out| due.min(out.until));
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

    /// Writes down what the core wants; an answer takes the request's content with it.
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

    fn core(repeat: RetrySafety) -> Core<Log> {
        let class = Class {
            name: "c".into(),
            target_latency_ms: 400.0,
            client_timeout_ms: 1_000.0,
            retry_safety: repeat,
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
    fn one_answer_whatever_comes_twice() {
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
    fn a_client_that_left_gets_nothing_and_its_attempt_is_still_accounted_for() {
        let mut core = core(RetrySafety::AtMostOnce);
        arrive(&mut core);
        core.client_left(1_010.0, 7);
        assert_eq!(core.requests.len(), 1, "the attempt is out");
        core.attempt_ended(1_050.0, 7, 0, Outcome::Served, 1.0, Some("fine"));
        assert_eq!(core.ports().0, ["route x 0 980"]);
        assert_eq!((core.requests.len(), core.wakes.len()), (0, 0));
    }

    #[test]
    fn an_attempt_is_closed_before_the_next_and_the_deadline_answers() {
        let mut core = core(RetrySafety::AtMostOnce);
        arrive(&mut core);
        core.tick(1_979.0);
        assert_eq!(core.ports().0.len(), 1, "not yet");
        core.tick(1_980.0);
        assert_eq!(core.ports().0, ["route x 0 980", "give up 7 0 TimedOut", "answer x failed"]);
        core.attempt_ended(1_981.0, 7, 0, Outcome::Served, 1.0, Some("late"));
        assert_eq!(core.ports().0.len(), 3, "news of a closed attempt");
    }

    #[test]
    fn what_never_ran_goes_out_again_and_what_may_have_run_does_not() {
        let mut core = core(RetrySafety::AtMostOnce);
        arrive(&mut core);
        core.attempt_ended(1_010.0, 7, 0, Outcome::CouldNotConnect, 0.0, None);
        core.attempt_ended(1_020.0, 7, 1, Outcome::Reset, 0.0, None);
        assert_eq!(core.ports().0, ["route x 0 980", "route x 1 970", "answer x failed"]);
    }
}
