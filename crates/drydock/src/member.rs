//! A core member: the real agreement, statutes, registers, counter and copy, and the thin rules by which
//! `harbourmaster` drives them. Those are mixed with I/O there; here they are modelled, each with the name of what it mirrors.

use crate::{host, node_of, Answer, Fact, Node, Out, Packet, Question, WINDOW_MS};
use nickeljunction_berths::{Copy, Register, Seen};
use nickeljunction_bunker::{Counter, Limit, Roll};
use nickeljunction_hold::{Hold, MemoryHold};
use nickeljunction_logbook::{Logbook, Outputs, ReadTicket, Restored, Tuning, Write};
use nickeljunction_manifest::{Bounds, Document};
use nickeljunction_signals::{Caller, ConfigLine, Elsewhere, ServerState, UnitsCall, WatchAnswer, WatchCall};
use nickeljunction_wheelhouse::statutes::{Entry, Outcome, Statutes};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

// The figures of `helm`, `follow`, `resources::{config, evacuations, instances, inner}`.
const SNAPSHOT_EVERY: u64 = 64;
const AGE_MS: u64 = 200;
const HOLD_MS: u64 = 2_000;
const SLACK_MS: u64 = 700;
const AGAIN_MS: u64 = 60;
const PROPOSAL_MS: u64 = 2_500;
const READ_MS: u64 = 800;
const ROUND_MS: u64 = 250;
const ENROLL_MS: u64 = 250;
const MOST_HOLD_MS: u64 = 5_000;
/// Servers beat so often, ms.
pub(crate) const HEARTBEAT_MS: u64 = 1_000;

/// Limits of a document's tenants, as `helm::Helm::limits` and `pilot::link::Link::configure` make them.
pub(crate) fn limits(doc: &serde_json::Value) -> BTreeMap<String, Limit> {
    let bounds = Bounds::usual();
    let Ok(document) = Document::of(doc.clone()) else { return BTreeMap::new() };
    let limit = |tenant: &nickeljunction_manifest::Tenant| {
        let (rate, burst) = tenant.quota()?;
        let window_s = WINDOW_MS as f64 / 1_000.0;
        Limit::with_margin(rate, burst, window_s, bounds.quota_overrun, bounds.quota_slack)
    };
    let tenants = document.config().tenants.iter();
    tenants.filter_map(|(name, tenant)| Some((name.clone(), limit(tenant)?))).collect()
}

struct Lead {
    term: u64,
    register: Register,
    counter: Counter,
    version: u64,
    /// The counter's wish to forget lives is on its way to the log.
    forgets: bool,
}

impl From<Elsewhere> for Answer {
    fn from(elsewhere: Elsewhere) -> Answer {
        Answer::Elsewhere(elsewhere.leader)
    }
}

/// A call that waits for the agreement.
struct Job {
    from: Node,
    call: u64,
    question: Question,
    until: u64,
}

/// A watch call that is held.
struct Held {
    from: Node,
    call: u64,
    watch: WatchCall,
    brief: bool,
    end: u64,
}

/// An acknowledgement that waits for its change to come round.
struct Round {
    from: Node,
    call: u64,
    question: Question,
    seq: u64,
    until: u64,
    look_at: u64,
}

/// One core machine and its process.
pub struct Member {
    node: Node,
    /// Its disk, which outlives the process.
    pub disk: MemoryHold,
    /// A write takes 1 to so many ms.
    pub disk_ms: u64,
    /// Its agreement, while it runs.
    pub book: Option<Logbook>,
    /// What its log makes.
    pub statutes: Statutes,
    rng: fastrand::Rng,
    applied: u64,
    snapshot_at: u64,
    lead: Option<Lead>,
    copy: Copy,
    waits: BTreeMap<u64, (u64, Job)>,
    reads: BTreeMap<ReadTicket, Job>,
    /// Settled, to be gone on with after the turn.
    settled: Vec<(Job, Option<Outcome>)>,
    confirmed: Vec<(Job, bool)>,
    held: Vec<Held>,
    rounds: Vec<Round>,
    changed: bool,
    age_at: u64,
    /// Its own watch call: number, time-out, at whom.
    watching: Option<(u64, u64, Node)>,
    watch_at: u64,
    next_call: u64,
    writes: VecDeque<Write>,
    /// When the write under way ends, and whether it took.
    writing: Option<(u64, bool)>,
}

impl Member {
    pub(crate) fn new(node: Node, seed: u64) -> Member {
        Member {
            node,
            disk: MemoryHold::new(),
            disk_ms: 3,
            book: None,
            statutes: Statutes::default(),
            rng: fastrand::Rng::with_seed(seed),
            applied: 0,
            snapshot_at: 0,
            lead: None,
            copy: Copy::new(),
            waits: BTreeMap::new(),
            reads: BTreeMap::new(),
            settled: Vec::new(),
            confirmed: Vec::new(),
            held: Vec::new(),
            rounds: Vec::new(),
            changed: false,
            age_at: 0,
            watching: None,
            watch_at: 0,
            next_call: 0,
            writes: VecDeque::new(),
            writing: None,
        }
    }

    /// A process begins; see `serve::open` and `serve::run`.
    pub(crate) fn start(&mut self, now: u64, restored: Restored, seeds: &[String], out: &mut Out) {
        let (disk, rng) = (self.disk.clone(), self.rng.fork());
        *self = Member { disk, disk_ms: self.disk_ms, ..Member::new(self.node, 0) };
        self.rng = rng;
        self.age_at = now + AGE_MS;
        // Answers to its life before are not taken for its own.
        self.next_call = self.rng.u64(..1 << 40);
        let mut book = Logbook::new(restored, Tuning::default(), self.rng.u64(..), now);
        book.seek(seeds);
        self.book = Some(book);
        self.act(now, out, |_| ());
    }

    /// The process ends; what it had asked the disk to write is there, synced or not.
    pub(crate) fn end(&mut self) {
        let (disk, rng) = (self.disk.clone(), self.rng.fork());
        *self = Member { disk, disk_ms: self.disk_ms, ..Member::new(self.node, 0) };
        self.rng = rng;
    }

    /// It leads, and has an entry of its own term committed.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    /// What a failed check tells of it.
    pub(crate) fn view(&self, now: u64) -> String {
        let Some(book) = &self.book else { return "down".into() };
        let members: Vec<&str> = book.members().iter().map(|member| member.host.as_str()).collect();
        format!(
            "version {} leads {} term {} commit {} sick {} quorum {:?} writes {} writing {:?} of {members:?}, itself {}",
            self.statutes.version(),
            self.leads(),
            book.term(),
            book.commit(),
            book.sick(),
            book.quorum_age(now),
            self.writes.len(),
            self.writing,
            book.members().contains(book.me()),
        )
    }

    // ---- helm ----

    /// `helm::Helm::turn`, and what the handlers do with what it settles.
    fn act(&mut self, now: u64, out: &mut Out, act: impl FnOnce(&mut Logbook)) {
        match &mut self.book {
            Some(book) => act(book),
            None => return,
        }
        loop {
            let outputs = self.book.as_mut().map(Logbook::take).unwrap_or_default();
            if outputs == Outputs::default() {
                break;
            }
            self.carry_out(now, outputs, out);
        }
        self.take_or_leave_lead(now, out);
        self.begin_write(now);
        for (job, fine) in std::mem::take(&mut self.confirmed) {
            self.has_read(now, job, fine, out);
        }
        for (job, outcome) in std::mem::take(&mut self.settled) {
            let answer = match (&job.question, outcome) {
                (Question::Units(units), Some(_)) => {
                    let units = units.clone();
                    self.lend(now, &units, true)
                }
                // Its own, see `forget`.
                (Question::HangUp, _) => {
                    self.lead.iter_mut().for_each(|lead| lead.forgets = false);
                    continue;
                }
                // resources::config: 503 and a repeat; resources::evacuations: to the leader.
                (Question::Put(..), None) => Answer::Unknown,
                (_, None) => self.elsewhere(),
                (_, Some(Outcome::Taken)) => Answer::Done,
                (_, Some(Outcome::Conflict)) => Answer::Conflict,
            };
            Self::answer(job.from, job.call, job.question, answer, out);
        }
        self.look(now, out);
    }

    fn answer(to: Node, call: u64, question: Question, answer: Answer, out: &mut Out) {
        out.facts.push(Fact::Answered(Box::new((question, answer.clone()))));
        out.posts.push((to, Packet::Reply(call, answer)));
    }

    /// `helm::Helm::carry_out`.
    fn carry_out(&mut self, now: u64, outputs: Outputs, out: &mut Out) {
        if let Some(snapshot) = outputs.restored_state {
            self.statutes = match snapshot.state.is_empty() {
                true => Statutes::default(),
                false => Statutes::from_text(&snapshot.state).expect("its own text"),
            };
            (self.applied, self.snapshot_at) = (snapshot.index, snapshot.index);
        }
        let news = !outputs.committed.is_empty();
        for entry in outputs.committed {
            assert_eq!(entry.index, self.applied + 1, "a gap in what was committed");
            self.applied = entry.index;
            out.facts.push(Fact::Applied(entry.index, entry.term, entry.data().map(str::to_owned)));
            let read = |data| serde_json::from_str::<Entry>(data).expect("an entry of its own");
            let outcome = entry.data().map(|data| self.statutes.apply(read(data)));
            if let Some((term, job)) = self.waits.remove(&entry.index) {
                self.settled.push((job, outcome.filter(|_| term == entry.term)));
            }
        }
        for (to, envelope) in outputs.send {
            if let Some(node) = node_of(&to) {
                out.posts.push((node, Packet::Book(envelope)));
            }
        }
        self.writes.extend(outputs.writes);
        for (ticket, fine) in outputs.reads {
            self.confirmed.extend(self.reads.remove(&ticket).map(|job| (job, fine)));
        }
        for index in outputs.lost {
            self.settled.extend(self.waits.remove(&index).map(|(_, job)| (job, None)));
        }
        if self.applied >= self.snapshot_at + SNAPSHOT_EVERY {
            self.snapshot_at = self.applied;
            let (index, text) = (self.applied, self.statutes.to_text());
            self.book.iter_mut().for_each(|book| book.snapshot(now, index, text.clone()));
        }
        if news {
            self.publish(now);
            self.changed = true;
        }
    }

    /// `helm::Helm::publish`.
    fn publish(&mut self, now: u64) {
        let (Some(lead), Some(book)) = (&mut self.lead, &self.book) else { return };
        lead.register.evacuated(now, self.statutes.evacuated().clone());
        lead.register.core(book.members().iter().map(|member| member.host.clone()).collect());
        lead.counter.logged(self.statutes.gateways());
        let version = self.statutes.version();
        if version > lead.version {
            lead.version = version;
            let doc = self.statutes.doc().clone();
            lead.counter.limits(now, &limits(&doc));
            lead.register.config(Rc::new(ConfigLine { version, doc }));
        }
    }

    /// `helm::Helm::take_or_leave_lead`.
    fn take_or_leave_lead(&mut self, now: u64, out: &mut Out) {
        let Some(book) = &self.book else { return };
        let term = book.term();
        if !book.ready() {
            if let Some(lead) = self.lead.take() {
                // What it knew is what the next leader starts from, which may be this very member.
                let ask = self.copy.ask(Caller::Core, &host(self.node), 0, None, 0);
                if let Some(answer) = lead.register.answer(&ask, 0) {
                    let _ = self.copy.apply(answer);
                }
                self.changed = true;
            }
            return;
        }
        if self.lead.as_ref().is_some_and(|lead| lead.term == term) {
            return;
        }
        let zones = BTreeMap::from([("z1", "r1"), ("z2", "r1")]);
        let zones = zones.into_iter().map(|(zone, region)| (zone.to_owned(), region.to_owned()));
        let tuning = nickeljunction_berths::Tuning::new(HEARTBEAT_MS, zones.collect());
        let copy = std::mem::take(&mut self.copy);
        let known = self.statutes.gateways().clone();
        let counter = Counter::new(now, term, nickeljunction_bunker::Tuning::new(WINDOW_MS), known);
        let register = Register::new(now, tuning, term, Some(copy));
        self.lead = Some(Lead { term, register, counter, version: 0, forgets: false });
        out.facts.push(Fact::Leads(self.statutes.version(), term));
        self.publish(now);
        self.changed = true;
    }

    /// `helm::Helm::with_lead`: nothing is said, taken or lent by one that may have a successor.
    fn with_lead<R>(&mut self, now: u64, act: impl FnOnce(&mut Lead, u64) -> R) -> Result<R, Elsewhere> {
        let elsewhere = self.known_leader();
        let Some(book) = &self.book else { return Err(elsewhere) };
        let lease_ms = Tuning::default().election_min_ms;
        let Some(age) = book.quorum_age(now).filter(|age| *age < lease_ms) else { return Err(elsewhere) };
        let Some(lead) = &mut self.lead else { return Err(elsewhere) };
        let before = lead.register.seq();
        let result = act(lead, age);
        self.changed |= lead.register.seq() != before;
        Ok(result)
    }

    /// `helm::Helm::elsewhere`.
    fn known_leader(&self) -> Elsewhere {
        let leader = self.book.as_ref().and_then(Logbook::leader).map(|member| member.host);
        Elsewhere { leader: leader.filter(|leader| *leader != host(self.node)) }
    }

    fn elsewhere(&self) -> Answer {
        self.known_leader().into()
    }

    // ---- resources ----

    fn read(&mut self, now: u64, from: Node, call: u64, question: Question, out: &mut Out) {
        let Some(book) = &mut self.book else { return };
        match book.read(now) {
            Ok(ticket) => {
                self.reads.insert(ticket, Job { from, call, question, until: now + READ_MS });
            }
            Err(_) => Self::answer(from, call, question, self.elsewhere(), out),
        }
        self.act(now, out, |_| ());
    }

    /// `resources::config::Config::{get, change}`, after `state`.
    fn has_read(&mut self, now: u64, job: Job, fine: bool, out: &mut Out) {
        let elsewhere = self.elsewhere();
        let answer = match &job.question {
            _ if !fine => elsewhere,
            Question::Put(base, version, digest, doc) => match () {
                () if self.statutes.knows(*version, digest) => Answer::Done,
                () if *base != self.statutes.version() || *version <= *base => Answer::Conflict,
                () => {
                    let (base, version, digest) = (*base, *version, digest.clone());
                    let entry = Entry::Put { base, version, digest, doc: doc.clone() };
                    return self.propose(now, job, &entry, out);
                }
            },
            _ => Answer::State(self.statutes.version()),
        };
        Self::answer(job.from, job.call, job.question, answer, out);
    }

    /// `helm::Helm::propose`.
    fn propose(&mut self, now: u64, mut job: Job, entry: &Entry, out: &mut Out) {
        let Some(book) = &mut self.book else { return };
        let patience = if matches!(job.question, Question::Units(_)) { ENROLL_MS } else { PROPOSAL_MS };
        job.until = now + patience;
        match book.propose(now, serde_json::to_string(entry).expect("plain data")) {
            Ok(index) => {
                let term = book.term();
                self.waits.insert(index, (term, job));
            }
            Err(_) => self.settled.push((job, None)),
        }
        self.act(now, out, |_| ());
    }

    /// A packet came in.
    pub(crate) fn heard(&mut self, now: u64, packet: Packet, out: &mut Out) {
        if self.book.is_none() {
            return;
        }
        match packet {
            Packet::Book(envelope) => self.act(now, out, |book| book.step(now, envelope)),
            Packet::Reply(call, answer) => {
                if self.watching.is_some_and(|(mine, ..)| mine == call) {
                    self.watching = None;
                    self.learned(now, answer);
                }
            }
            Packet::Ask(from, call, question) => self.asked(now, from, call, question, out),
        }
        self.look(now, out);
    }

    fn asked(&mut self, now: u64, from: Node, call: u64, question: Question, out: &mut Out) {
        let job = Job { from, call, question: question.clone(), until: 0 };
        let answer = match &question {
            Question::Get | Question::Put(..) => return self.read(now, from, call, question, out),
            Question::Evacuate(zone) => return self.propose(now, job, &Entry::Evacuate(zone.clone()), out),
            // resources::inner::Watch and its `Held`.
            Question::Watch(watch) => match self.with_lead(now, |lead, _| lead.register.called(now, watch)) {
                Ok(seen) => {
                    let brief = matches!(seen, Seen::NoLine | Seen::Replaced);
                    let end = now + watch.wait_ms.min(MOST_HOLD_MS);
                    self.changed = true;
                    self.held.push(Held { from, call, watch: watch.clone(), brief, end });
                    return;
                }
                Err(elsewhere) => elsewhere.into(),
            },
            Question::HangUp => {
                let gone = self.held.iter().position(|held| (held.from, held.call) == (from, call));
                if let Some(held) = gone.map(|at| self.held.remove(at)) {
                    let (name, life) = (&held.watch.name, held.watch.life);
                    if held.watch.who == Caller::Gateway {
                        let _ = self.with_lead(now, |lead, _| lead.register.gateway_left(now, name, life));
                    }
                }
                return;
            }
            Question::Units(units) => match self.with_lead(now, |lead, _| lead.counter.before(now, units)) {
                // On the log first: nobody has units whom a later leader would not know of.
                Ok(Some(roll)) => return self.enroll(now, job, roll, out),
                Ok(None) => self.lend(now, units, false),
                Err(elsewhere) => elsewhere.into(),
            },
            // resources::instances.
            Question::Beat(id, beat) => {
                match self.with_lead(now, |lead, _| lead.register.beat(now, id, beat).at) {
                    Ok(seq) if beat.state == ServerState::Draining => {
                        let until = now + ROUND_MS;
                        return self.rounds.push(Round { from, call, question, seq, until, look_at: now });
                    }
                    Ok(_) => Answer::Done,
                    Err(elsewhere) => elsewhere.into(),
                }
            }
            Question::Leave(id) => match self.with_lead(now, |lead, _| lead.register.leave(now, id)) {
                Ok(seq) => {
                    let until = now + ROUND_MS;
                    return self.rounds.push(Round { from, call, question, seq, until, look_at: now });
                }
                Err(elsewhere) => elsewhere.into(),
            },
        };
        Self::answer(from, call, question, answer, out);
    }

    /// `helm::Helm::units`, once the life is on the log.
    fn lend(&mut self, now: u64, units: &UnitsCall, came: bool) -> Answer {
        let lent = self.with_lead(now, |lead, _| {
            if came {
                lead.counter.came(units.life);
            }
            let gateways = lead.register.gateways() as usize;
            lead.counter.call(now, units, gateways)
        });
        lent.map_or_else(Answer::from, Answer::Units)
    }

    /// `helm::Helm::enroll`.
    fn enroll(&mut self, now: u64, job: Job, roll: Roll, out: &mut Out) {
        self.propose(now, job, &Entry::Gateways { come: roll.come, gone: roll.gone }, out);
    }

    /// Held calls and rounds look again, where something changed or their time has come.
    fn look(&mut self, now: u64, out: &mut Out) {
        let changed = std::mem::take(&mut self.changed);
        for held in std::mem::take(&mut self.held) {
            let last = held.brief || now >= held.end;
            if !changed && !last {
                self.held.push(held);
                continue;
            }
            // helm::Helm::watch.
            let news = self.with_lead(now, |lead, age| {
                let news = lead.register.answer(&held.watch, age);
                news.or_else(|| last.then(|| lead.register.nothing(age)))
            });
            let answer = match news {
                Ok(None) => {
                    self.held.push(held);
                    continue;
                }
                Ok(Some(answer)) => Answer::Watch(answer),
                Err(elsewhere) => elsewhere.into(),
            };
            Self::answer(held.from, held.call, Question::Watch(held.watch), answer, out);
        }
        // resources::instances::Instances::come_round.
        let members = self.book.as_ref().map_or(0, |book| book.members().len());
        for mut round in std::mem::take(&mut self.rounds) {
            if !changed && now < round.look_at && now < round.until {
                self.rounds.push(round);
                continue;
            }
            round.look_at = now + 10;
            let answer = match self.with_lead(now, |lead, _| lead.register.reach(now, round.seq)) {
                Ok(reach) => {
                    let there = reach.gateways >= reach.gateways_there;
                    if now < round.until && !((reach.core > 0 || members < 2) && there) {
                        self.rounds.push(round);
                        continue;
                    }
                    Answer::Done
                }
                Err(elsewhere) => elsewhere.into(),
            };
            Self::answer(round.from, round.call, round.question, answer, out);
        }
    }

    // ---- follow ----

    fn learned(&mut self, now: u64, answer: Answer) {
        let applied = match answer {
            // helm::Helm::learned: a leader's own registers are the truth.
            Answer::Watch(_) if self.lead.is_some() => true,
            Answer::Watch(answer) => self.apply(answer),
            _ => false,
        };
        self.watch_at = if applied { now } else { now + AGAIN_MS };
    }

    fn apply(&mut self, answer: WatchAnswer) -> bool {
        self.copy.apply(answer).is_ok()
    }

    /// `follow::once`.
    fn follow(&mut self, now: u64, out: &mut Out) {
        if let Some((call, until, to)) = self.watching {
            if now >= until {
                self.watching = None;
                self.watch_at = now + AGAIN_MS;
                out.posts.push((to, Packet::Ask(self.node, call, Question::HangUp)));
            }
        }
        if self.watching.is_some() || now < self.watch_at {
            return;
        }
        let Answer::Elsewhere(Some(leader)) = self.elsewhere() else {
            self.watch_at = now + AGAIN_MS;
            return;
        };
        let Some(to) = node_of(&leader) else { return };
        self.next_call += 1;
        let watch = self.copy.ask(Caller::Core, &host(self.node), 1, None, HOLD_MS);
        self.watching = Some((self.next_call, now + HOLD_MS + SLACK_MS, to));
        out.posts.push((to, Packet::Ask(self.node, self.next_call, Question::Watch(watch))));
    }

    // ---- Time and disk ----

    fn begin_write(&mut self, now: u64) {
        if let (None, Some(write)) = (self.writing, self.writes.front()) {
            let fine = self.disk.write(write).is_ok();
            self.writing = Some((now + self.rng.u64(1..=self.disk_ms), fine));
        }
    }

    /// When it is to be turned.
    pub(crate) fn wake(&self) -> u64 {
        let Some(book) = &self.book else { return u64::MAX };
        let watch = self.watching.map_or(self.watch_at, |(_, until, _)| until);
        let ends = self.held.iter().map(|held| held.end);
        let rounds = self.rounds.iter().map(|round| round.look_at.min(round.until));
        let jobs =
            self.waits.values().map(|(_, job)| job.until).chain(self.reads.values().map(|job| job.until));
        let due = [book.next_wake(), watch, self.age_at, self.writing.map_or(u64::MAX, |(at, _)| at)];
        ends.chain(rounds).chain(jobs).chain(due).min().unwrap_or(u64::MAX)
    }

    /// Lets time pass.
    pub(crate) fn turn(&mut self, now: u64, out: &mut Out) {
        let Some(book) = &self.book else { return };
        if book.next_wake() <= now {
            self.act(now, out, |book| book.tick(now));
        }
        if let Some((at, fine)) = self.writing.filter(|(at, _)| *at <= now) {
            if fine && self.disk.hangs() {
                self.writing = Some((at.max(now) + 10, fine));
            } else if let Some(write) = self.writes.pop_front() {
                self.writing = None;
                self.disk.sync();
                self.act(now, out, |book| match fine {
                    true => book.written(now, write.ticket),
                    false => book.write_failed(now, write.ticket),
                });
            }
        }
        // helm::Helm::age.
        if now >= self.age_at {
            self.age_at = now + AGE_MS;
            if let Some(lead) = &mut self.lead {
                let before = lead.register.seq();
                lead.register.tick(now);
                self.changed |= lead.register.seq() != before;
                let forget = if lead.forgets { None } else { lead.counter.after(now) };
                lead.forgets |= forget.is_some();
                if let Some(roll) = forget {
                    let job = Job { from: self.node, call: 0, question: Question::HangUp, until: 0 };
                    self.enroll(now, job, roll, out);
                }
            }
        }
        let late: Vec<u64> =
            self.waits.iter().filter(|(_, (_, job))| job.until <= now).map(|(i, _)| *i).collect();
        for index in late {
            self.settled.extend(self.waits.remove(&index).map(|(_, job)| (job, None)));
        }
        let late: Vec<u64> = self.reads.iter().filter(|(_, job)| job.until <= now).map(|(t, _)| *t).collect();
        for ticket in late {
            self.confirmed.extend(self.reads.remove(&ticket).map(|job| (job, false)));
        }
        if !self.settled.is_empty() || !self.confirmed.is_empty() {
            self.act(now, out, |_| ());
        }
        self.follow(now, out);
        self.look(now, out);
    }

    /// What is on the disk.
    pub(crate) fn load(&mut self) -> Option<Restored> {
        self.disk.load().expect("a disk that can be read").map(Into::into)
    }
}
