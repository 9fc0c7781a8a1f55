//! A core member: its machine, driven as `controller` drives it, between a disk and a network that are modelled here.

use crate::{host, node_of, Answer, Fact, Node, Out, Packet, Question};
use nickeljunction_consensus::{Consensus, Restored, Tuning, Write};
use nickeljunction_messages::{LeaderRedirect, WatchCall};
use nickeljunction_registry::WatchCache;
use nickeljunction_replica::state::ReplicatedState;
use nickeljunction_replica::{
    self as replica, follower, Change, ClaimReply, CoreView, Effects, Event, HeldWatch, MemberConfig,
    PendingAck, Replica, Ticket, UnitsReply,
};
use nickeljunction_schema::Bounds;
use nickeljunction_storage::{LogStore, MemoryLogStore};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Servers beat so often, ms.
pub(crate) const HEARTBEAT_MS: u64 = 1_000;

impl From<LeaderRedirect> for Answer {
    fn from(elsewhere: LeaderRedirect) -> Answer {
        Answer::Elsewhere(elsewhere.leader)
    }
}

/// A call and whose it is.
struct Job {
    from: Node,
    call: u64,
    question: Question,
}

/// An answer that is there at once, or the ticket by which it comes.
enum Reply {
    Now(Box<Answer>),
    Later(Ticket),
}

/// A watch call that is held.
struct HeldCall {
    from: Node,
    call: u64,
    watch: WatchCall,
    held: HeldWatch,
    look_at: u64,
}

/// An acknowledgement that waits for its change to come round.
struct Waiting {
    job: Job,
    round: PendingAck,
    look_at: u64,
}

/// One core machine and its process.
pub struct Member {
    node: Node,
    tuning: Tuning,
    /// Its disk, which outlives the process.
    pub disk: MemoryLogStore,
    /// A write takes 1 to so many ms.
    pub disk_ms: u64,
    /// What it noted down of servers and gateways, and when: outlives the process, but not the loss of power.
    pub hint: Option<(u64, WatchCache)>,
    house: Option<Replica>,
    rng: fastrand::Rng,
    /// Calls that wait for the agreement.
    jobs: BTreeMap<Ticket, Job>,
    held: Vec<HeldCall>,
    rounds: Vec<Waiting>,
    changed: bool,
    /// Its own watch call: number, time-out, at whom.
    watching: Option<(u64, u64, Node)>,
    watch_at: u64,
    next_call: u64,
    writes: VecDeque<Write>,
    /// When the write under way ends, and whether it took.
    writing: Option<(u64, bool)>,
}

impl Member {
    pub(crate) fn new(node: Node, tuning: Tuning, seed: u64) -> Member {
        Member {
            node,
            tuning,
            disk: MemoryLogStore::new(),
            disk_ms: 3,
            hint: None,
            house: None,
            rng: fastrand::Rng::with_seed(seed),
            jobs: BTreeMap::new(),
            held: Vec::new(),
            rounds: Vec::new(),
            changed: false,
            watching: None,
            watch_at: 0,
            next_call: 0,
            writes: VecDeque::new(),
            writing: None,
        }
    }

    /// A process begins; see `serve::open` and `serve::run`.
    pub(crate) fn start(&mut self, now: u64, restored: Restored, seeds: &[String], out: &mut Out) {
        self.end();
        // Answers to its life before are not taken for its own.
        self.next_call = self.rng.u64(..1 << 40);
        let zones = [("z1", "r1"), ("z2", "r1")].map(|(zone, region)| (zone.to_owned(), region.to_owned()));
        let place = MemberConfig {
            name: host(self.node),
            host: host(self.node),
            zones: BTreeMap::from(zones),
            bounds: Bounds::usual(),
            heartbeat_ms: HEARTBEAT_MS,
        };
        let seed = self.rng.u64(..);
        let mut house = Replica::new(Rc::new(place), restored, self.tuning, seed, now);
        let fresh = |(at, _): &(u64, WatchCache)| now - at <= replica::SAVED_CACHE_MAX_AGE_MS;
        if let Some((_, copy)) = self.hint.take().filter(fresh) {
            house.load_watch_cache(copy);
        }
        self.house = Some(house);
        self.seek(now, seeds, out);
    }

    /// The process ends; what it had asked the disk to write is there, synced or not.
    pub(crate) fn end(&mut self) {
        let (disk, hint, rng) = (self.disk.clone(), self.hint.take(), self.rng.fork());
        *self = Member { disk, disk_ms: self.disk_ms, hint, rng, ..Member::new(self.node, self.tuning, 0) };
    }

    /// Its process runs.
    pub fn up(&self) -> bool {
        self.house.is_some()
    }

    /// Its agreement, while it runs.
    pub fn book(&self) -> Option<&Consensus> {
        self.house.as_ref().map(Replica::consensus)
    }

    /// What its log makes, while it runs.
    pub fn state(&self) -> Option<&ReplicatedState> {
        self.house.as_ref().map(Replica::state)
    }

    /// The core's machines as it sees them, while it leads.
    pub fn core_view(&self, now: u64) -> Option<CoreView> {
        self.house.as_ref().filter(|house| house.leader_state().is_some()).map(|house| house.core_view(now))
    }

    /// It leads, and has an entry of its own term committed.
    pub fn leads(&self) -> bool {
        self.house.as_ref().is_some_and(|house| house.leader_state().is_some())
    }

    /// Entries that it applied since its last snapshot, while it runs.
    pub fn applied_since_snapshot(&self) -> Option<u64> {
        self.house.as_ref().map(Replica::applied_since_snapshot)
    }

    /// What a failed check tells of it.
    pub(crate) fn view(&self, now: u64) -> String {
        let (Some(book), Some(state)) = (self.book(), self.state()) else { return "down".into() };
        let members: Vec<&str> = book.members().iter().map(|member| member.host.as_str()).collect();
        format!(
            "version {} leads {} term {} commit {} sick {} quorum {:?} writes {} writing {:?} of {members:?}, itself {}",
            state.version(),
            self.leads(),
            book.term(),
            book.commit(),
            book.disk_failed(),
            book.quorum_age(now),
            self.writes.len(),
            self.writing,
            book.members().contains(book.me()),
        )
    }

    // ---- As driver ----

    /// Does something with the machine and carries out what follows from it.
    fn act<R>(&mut self, now: u64, out: &mut Out, act: impl FnOnce(&mut Replica) -> R) -> Option<R> {
        let house = self.house.as_mut()?;
        let result = act(house);
        let effects = house.take_effects();
        self.carry_out(now, effects, out);
        Some(result)
    }

    fn carry_out(&mut self, now: u64, effects: Effects, out: &mut Out) {
        for entry in effects.applied {
            out.facts.push(Fact::Applied(entry.index, entry.term, entry.data().map(str::to_owned)));
        }
        for event in effects.events {
            match event {
                Event::LeadBegun { term, version, .. } => out.facts.push(Fact::Leads(version, term)),
                Event::SnapshotUnreadable { .. } | Event::EntryUnreadable { .. } | Event::Diverged { .. } => {
                    panic!("{event:?}")
                }
                _ => {}
            }
        }
        for (to, envelope) in effects.send {
            out.posts.extend(node_of(&to).map(|node| (node, Packet::Book(envelope))));
        }
        self.writes.extend(effects.writes);
        self.begin_write(now);
        for (ticket, answer) in effects.answers {
            let Some(job) = self.jobs.remove(&ticket) else { continue };
            let answer = match answer {
                replica::Answer::Confirmed => Answer::State(self.state().map_or(0, ReplicatedState::version)),
                replica::Answer::Units(units) => Answer::Units(units),
                replica::Answer::Claim(claim) => Answer::Claim(claim),
                replica::Answer::Accepted => Answer::Done,
                replica::Answer::Conflict(_) => Answer::Conflict,
                replica::Answer::Unknown | replica::Answer::Forgotten(_) => Answer::Unknown,
                replica::Answer::NotLeader(elsewhere) => elsewhere.into(),
                replica::Answer::MembershipRefused(_) if matches!(job.question, Question::Core(_)) => {
                    Answer::Unfit
                }
                unfit @ (replica::Answer::Invalid(_)
                | replica::Answer::MembershipRefused(_)
                | replica::Answer::NotFound(_)) => {
                    panic!("{:?}: {unfit:?}", job.question)
                }
            };
            Self::answer(job, answer, out);
        }
        self.hint = effects.watch_cache_to_save.map(|copy| (now, copy)).or(self.hint.take());
        self.changed |= effects.changed;
    }

    fn answer(job: Job, answer: Answer, out: &mut Out) {
        out.facts.push(Fact::Answered(Box::new((job.question, answer.clone()))));
        out.posts.push((job.from, Packet::Reply(job.call, answer)));
    }

    /// Other hosts where members may be.
    pub(crate) fn seek(&mut self, now: u64, hosts: &[String], out: &mut Out) {
        self.act(now, out, |house| house.add_seed_hosts(now, hosts));
    }

    // ---- As the resources ----

    /// A packet came in.
    pub(crate) fn heard(&mut self, now: u64, packet: Packet, out: &mut Out) {
        match packet {
            Packet::Book(envelope) => drop(self.act(now, out, |house| house.receive(now, vec![envelope]))),
            Packet::Open(from, call) => out.posts.push((from, Packet::Opened(call))),
            Packet::Opened(_) => {}
            Packet::Reply(call, answer) => {
                if self.watching.is_some_and(|(mine, ..)| mine == call) {
                    self.watching = None;
                    self.learned(now, answer);
                }
            }
            Packet::Ask(from, call, question) => {
                if let Some(answer) = self.asked(now, Job { from, call, question: question.clone() }, out) {
                    Self::answer(Job { from, call, question }, answer, out);
                }
            }
        }
        self.look(now, out);
    }

    /// Its answer, where it comes at once.
    fn asked(&mut self, now: u64, job: Job, out: &mut Out) -> Option<Answer> {
        let (from, call) = (job.from, job.call);
        match &job.question {
            Question::Get => self.wait(now, job, out, |house| house.read(now)),
            Question::Put(base, _, _, body) | Question::Patch(base, _, _, body) => {
                let body = serde_json::to_vec(body).expect("plain data").into();
                let patch = matches!(job.question, Question::Patch(..));
                let change = Change { patch, base: Some(*base), body };
                self.wait(now, job, out, |house| house.change_config(now, change));
            }
            Question::Evacuate(zone) => {
                let zone = zone.clone();
                self.wait(now, job, out, |house| house.change_evacuation(now, zone, false));
            }
            Question::Return(zone) => {
                let zone = zone.clone();
                self.wait(now, job, out, |house| house.change_evacuation(now, zone, true));
            }
            Question::Core(wish) => {
                let wish = wish.clone();
                self.wait(now, job, out, |house| house.change_membership(now, wish));
            }
            Question::Trial(tenant, lapse, _) => {
                let (tenant, lapse) = (tenant.clone(), *lapse);
                self.wait(now, job, out, |house| house.change_trial(now, tenant, lapse));
            }
            Question::Units(units) => {
                let units = units.clone();
                return self.ask(now, job, out, |house| {
                    Ok(match house.request_units(now, &units)? {
                        UnitsReply::Immediate(answer) => Reply::Now(Box::new(Answer::Units(answer))),
                        UnitsReply::Pending(ticket) => Reply::Later(ticket),
                    })
                });
            }
            Question::Claim(claim) => {
                let claim = *claim;
                return self.ask(now, job, out, |house| {
                    Ok(match house.claim(now, &claim)? {
                        ClaimReply::Immediate(answer) => Reply::Now(Box::new(Answer::Claim(answer))),
                        ClaimReply::Pending(ticket) => Reply::Later(ticket),
                    })
                });
            }
            Question::Watch(watch) => match self.act(now, out, |house| house.begin_watch(now, watch))? {
                Ok(held) => {
                    self.changed = true;
                    self.held.push(HeldCall { from, call, watch: watch.clone(), held, look_at: now });
                }
                Err(elsewhere) => return Some(elsewhere.into()),
            },
            Question::HangUp => {
                let gone = self.held.iter().position(|held| (held.from, held.call) == (from, call));
                if let Some(held) = gone.map(|at| self.held.remove(at)) {
                    self.act(now, out, |house| house.watch_disconnected(now, &held.watch, &held.held));
                }
            }
            Question::Beat(id, beat) => {
                match self.act(now, out, |house| house.record_heartbeat(now, id, beat))? {
                    Ok(Some(round)) => self.rounds.push(Waiting { job, round, look_at: now }),
                    Ok(None) => return Some(Answer::Done),
                    Err(elsewhere) => return Some(elsewhere.into()),
                }
            }
            Question::Leave(id) => match self.act(now, out, |house| house.remove_server(now, id))? {
                Ok(round) => self.rounds.push(Waiting { job, round, look_at: now }),
                Err(elsewhere) => return Some(elsewhere.into()),
            },
        }
        None
    }

    fn wait(&mut self, now: u64, job: Job, out: &mut Out, ask: impl FnOnce(&mut Replica) -> Ticket) {
        let Some(house) = self.house.as_mut() else { return };
        self.jobs.insert(ask(house), job);
        let effects = house.take_effects();
        self.carry_out(now, effects, out);
    }

    /// Asks for what may be answered at once; else the job waits for its ticket.
    fn ask(
        &mut self,
        now: u64,
        job: Job,
        out: &mut Out,
        ask: impl FnOnce(&mut Replica) -> Result<Reply, LeaderRedirect>,
    ) -> Option<Answer> {
        let house = self.house.as_mut()?;
        let answer = match ask(house) {
            Ok(Reply::Now(answer)) => Some(*answer),
            Ok(Reply::Later(ticket)) => {
                self.jobs.insert(ticket, job);
                None
            }
            Err(elsewhere) => Some(elsewhere.into()),
        };
        let effects = house.take_effects();
        self.carry_out(now, effects, out);
        answer
    }

    /// Held calls and rounds look again, where something changed or their time has come.
    fn look(&mut self, now: u64, out: &mut Out) {
        let changed = std::mem::take(&mut self.changed);
        for mut one in std::mem::take(&mut self.held) {
            if !changed && now < one.look_at {
                self.held.push(one);
                continue;
            }
            let answer = match self.act(now, out, |house| house.answer_watch(now, &one.watch, &one.held)) {
                Some(Ok(Some(answer))) => Answer::Watch(Box::new(answer)),
                Some(Err(elsewhere)) => elsewhere.into(),
                Some(Ok(None)) | None => {
                    one.look_at = one.held.next_check_at(now);
                    self.held.push(one);
                    continue;
                }
            };
            let job = Job { from: one.from, call: one.call, question: Question::Watch(one.watch) };
            Self::answer(job, answer, out);
        }
        for mut one in std::mem::take(&mut self.rounds) {
            if !changed && now < one.look_at {
                self.rounds.push(one);
                continue;
            }
            let answer = match self.act(now, out, |house| house.ack_ready(now, &one.round)) {
                Some(Ok(true)) => Answer::Done,
                Some(Err(elsewhere)) => elsewhere.into(),
                Some(Ok(false)) | None => {
                    one.look_at = one.round.next_check_at(now);
                    self.rounds.push(one);
                    continue;
                }
            };
            Self::answer(one.job, answer, out);
        }
    }

    // ---- As follow ----

    fn learned(&mut self, now: u64, answer: Answer) {
        let applied = match (answer, &mut self.house) {
            (Answer::Watch(answer), Some(house)) => house.apply_watch_answer(now, *answer).is_ok(),
            _ => false,
        };
        self.watch_at = if applied { now } else { now + follower::RETRY_MS };
    }

    /// `follow::once`.
    fn follow(&mut self, now: u64, out: &mut Out) {
        let Some(house) = &self.house else { return };
        if let Some((call, until, to)) = self.watching {
            if now >= until {
                self.watching = None;
                self.watch_at = now + follower::RETRY_MS;
                out.posts.push((to, Packet::Ask(self.node, call, Question::HangUp)));
            }
        }
        if self.watching.is_some() || now < self.watch_at {
            return;
        }
        let Some(to) = house.leader_redirect().leader.and_then(|leader| node_of(&leader)) else {
            self.watch_at = now + follower::RETRY_MS;
            return;
        };
        self.next_call += 1;
        self.watching =
            Some((self.next_call, now + follower::WATCH_HOLD_MS + follower::ANSWER_MARGIN_MS, to));
        out.posts.push((to, Packet::Ask(self.node, self.next_call, Question::Watch(house.watch_call(1)))));
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
        let Some(house) = &self.house else { return u64::MAX };
        let watch = self.watching.map_or(self.watch_at, |(_, until, _)| until);
        let held = self.held.iter().map(|one| one.look_at);
        let rounds = self.rounds.iter().map(|one| one.look_at);
        let due = [house.next_wake(), watch, self.writing.map_or(u64::MAX, |(at, _)| at)];
        held.chain(rounds).chain(due).min().unwrap_or(u64::MAX)
    }

    /// Lets time pass.
    pub(crate) fn turn(&mut self, now: u64, out: &mut Out) {
        self.act(now, out, |house| house.tick(now));
        if let Some((at, fine)) = self.writing.filter(|(at, _)| *at <= now) {
            if fine && self.disk.hangs() {
                self.writing = Some((at.max(now) + 10, fine));
            } else if let Some(write) = self.writes.pop_front() {
                self.writing = None;
                self.disk.sync();
                self.act(now, out, |house| house.written(now, write.ticket, fine));
            }
        }
        self.follow(now, out);
        self.look(now, out);
    }

    /// What is on the disk.
    pub fn load(&mut self) -> Option<Restored> {
        self.disk.load().expect("a disk that can be read").map(Into::into)
    }
}
