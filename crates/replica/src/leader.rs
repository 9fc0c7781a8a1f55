//! What only a leader has and does: registers, counter, and who is answered by its lease.

use crate::effects::{Event, Ticket};
use crate::lapsed_trials::LapsedTrials;
use crate::machine::Replica;
use nickeljunction_messages::{
    Caller, ConfigLine, Elsewhere, Restated, ServerState, UnitsAnswer, UnitsCall, WatchAnswer, WatchCall,
};
use nickeljunction_quota::{Counter, Limit};
use nickeljunction_registry::{Beat, BeatKind, Register, Seen};
use nickeljunction_schema::{Bounds, Config, Document};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Longest hold of a watch call, ms.
const MOST_HOLD_MS: u64 = 5_000;
/// How long an acknowledgement waits for the gateways that are there to know the change, ms.
const ROUND_MS: u64 = 250;
/// How long it waits for a majority of the members to know it, ms: a server that is told that it may leave must not be sent to
/// by a successor who never heard of it, so without them there is no acknowledgement. A server takes another member after a
/// second.
const MAJORITY_MS: u64 = 700;
/// Watch calls that say what their sender has don't count as changes: a round looks again so soon, ms.
const LOOK_MS: u64 = 10;

/// What only a leader has.
#[derive(Debug)]
pub(crate) struct Lead {
    pub term: u64,
    pub register: Register,
    pub counter: Counter,
    pub tides: LapsedTrials,
    /// Version of the configuration that `register` and `counter` know.
    pub version: u64,
    /// The counter's wish to forget lives is on its way to the log.
    pub forgets: bool,
    /// Watch calls under way, by the life of their sender: one of them that breaks says nothing while others are there.
    watching: BTreeMap<u64, u32>,
}

impl Lead {
    /// A watch call of this life has ended; true where it was the last one.
    fn unwatched(&mut self, life: u64) -> bool {
        let left = self.watching.get(&life).map_or(0, |count| count.saturating_sub(1));
        match left {
            0 => drop(self.watching.remove(&life)),
            left => drop(self.watching.insert(life, left)),
        }
        left == 0
    }
}

/// What became of a call for units.
#[derive(Debug, Clone, PartialEq)]
pub enum Lent {
    /// Its answer.
    Now(UnitsAnswer),
    /// The caller's process goes on the log first; the answer comes by this ticket.
    Later(Ticket),
}

/// A watch call that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Its sender is to come again with its line, or was replaced: nothing to hold it for.
    brief: bool,
    end: u64,
    /// Of the leader that holds it.
    term: u64,
}

impl Held {
    /// By then it is answered, whether there is something new or not.
    pub fn end(&self) -> u64 {
        self.end
    }
}

/// An acknowledgement that waits until a change has come round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Round {
    seq: u64,
    /// Gateways are waited for until then.
    gateways_until: u64,
    /// A majority of the members is waited for until then.
    members_until: u64,
}

impl Round {
    fn new(seq: u64, now: u64) -> Round {
        Round { seq, gateways_until: now + ROUND_MS, members_until: now + MAJORITY_MS }
    }

    /// When it is to look again, where nothing changes before.
    pub fn look_at(&self, now: u64) -> u64 {
        let next = if now < self.gateways_until { self.gateways_until } else { self.members_until };
        next.clamp(now + 1, now + LOOK_MS)
    }
}

/// Units that a document allows each tenant with a limit, by the rules' figures.
pub fn limits(doc: &serde_json::Value, bounds: &Bounds) -> BTreeMap<String, Limit> {
    Document::view(doc).map(|config| limits_of(&config, bounds)).unwrap_or_default()
}

fn limits_of(config: &Config, bounds: &Bounds) -> BTreeMap<String, Limit> {
    let limit = |tenant: &nickeljunction_schema::Tenant| {
        let (rate, burst) = tenant.quota()?;
        let (window, overrun, slack) = (bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack);
        Limit::with_margin(rate, burst, window, overrun, slack)
    };
    let tenants = config.tenants.iter();
    tenants.filter_map(|(name, tenant)| Some((name.clone(), limit(tenant)?))).collect()
}

impl Replica {
    pub(crate) fn take_or_leave_lead(&mut self, now: u64) {
        let term = self.book.term();
        if !self.book.ready() {
            if let Some(lead) = self.lead.take() {
                self.out.events.push(Event::LeadEnded { term: lead.term });
                // What it knew is what the next leader starts from, which may be this very member: one whose majority
                // was away for seconds would else begin with an empty register.
                let ask = self.copy.ask(Caller::Core, &self.place.name, 0, None, 0);
                if let Some(answer) = lead.register.answer(now, &ask, 0) {
                    let _ = self.copy.apply(answer);
                }
                self.out.changed = true;
            }
            return;
        }
        if self.lead.as_ref().is_some_and(|lead| lead.term == term) {
            return;
        }
        let tuning = nickeljunction_registry::Tuning::new(self.place.heartbeat_ms, self.place.zones.clone());
        let copy = std::mem::take(&mut self.copy);
        let window = (self.place.bounds.quota_window_s * 1_000.0) as u64;
        let logged = self.state.gateways().clone();
        let known = logged.len();
        let counter = Counter::new(now, term, nickeljunction_quota::Tuning::new(window), logged);
        let register = Register::new(now, tuning, term, Some(copy));
        self.out.events.push(Event::LeadBegun {
            term,
            version: self.state.version(),
            servers: register.servers(),
            gateways: register.gateways(),
            unheard: known,
            held_ms: counter.held_ms(),
        });
        self.lead = Some(Lead {
            term,
            register,
            counter,
            tides: LapsedTrials::default(),
            version: 0,
            forgets: false,
            watching: BTreeMap::new(),
        });
        self.publish(now);
        self.out.changed = true;
    }

    /// Tells registers and counter what the log says.
    pub(crate) fn publish(&mut self, now: u64) {
        if self.lead.is_none() {
            return;
        }
        let config = self.config();
        self.publish_tides(now);
        let Some(lead) = &mut self.lead else { return };
        lead.register.evacuated(now, self.state.evacuated().clone());
        lead.register.core(self.book.members().iter().map(|member| member.host.clone()).collect());
        lead.counter.logged(self.state.gateways());
        let version = self.state.version();
        if version > lead.version {
            lead.version = version;
            lead.counter.limits(now, &limits_of(&config, &self.place.bounds));
            let line = Rc::new(ConfigLine { version, doc: self.state.doc().clone() });
            lead.register.config(line, self.state.document_digest(), self.changes.clone());
        }
    }

    /// Ages the registers and the counter.
    pub(crate) fn age(&mut self, now: u64) {
        let Some(lead) = &mut self.lead else { return };
        let before = lead.register.seq();
        let silent = lead.register.tick(now);
        self.out.events.extend(silent.into_iter().map(|life| Event::ServerSilent { life }));
        self.out.changed |= lead.register.seq() != before;
        let forget = if lead.forgets { None } else { lead.counter.after(now) };
        if let Some(roll) = forget {
            lead.forgets = true;
            self.forget(now, roll);
        }
    }

    /// Does something with the registers and the counter, if this member surely leads; with the lease's age.
    pub(crate) fn with_lead<R>(
        &mut self,
        now: u64,
        act: impl FnOnce(&mut Lead, u64) -> R,
    ) -> Result<R, Elsewhere> {
        // A leader that was frozen or cut off may have a successor by now: it must not answer as one.
        let age = self.book.quorum_age(now).filter(|age| *age < self.lease_ms);
        let (Some(age), Some(lead)) = (age, &mut self.lead) else { return Err(self.elsewhere()) };
        let before = lead.register.seq();
        let result = act(lead, age);
        self.out.changed |= lead.register.seq() != before;
        Ok(result)
    }

    /// Counted adds of a gateway. A process that is new is put on the log first: nobody has units whom a later leader
    /// would not know of.
    ///
    /// # Errors
    /// This member doesn't lead, or is not sure of it.
    pub fn units(&mut self, now: u64, call: &UnitsCall) -> Result<Lent, Elsewhere> {
        match self.with_lead(now, |lead, _| lead.counter.before(now, call))? {
            Some(roll) => Ok(Lent::Later(self.enroll_first(now, roll, call.clone()))),
            None => self.lend(now, call).map(Lent::Now),
        }
    }

    /// The same, once the process is on the log.
    pub(crate) fn lend_to_new(&mut self, now: u64, call: &UnitsCall) -> Result<UnitsAnswer, Elsewhere> {
        self.with_lead(now, |lead, _| lead.counter.came(call.life))?;
        self.lend(now, call)
    }

    fn lend(&mut self, now: u64, call: &UnitsCall) -> Result<UnitsAnswer, Elsewhere> {
        self.with_lead(now, |lead, age_ms| {
            let gateways = lead.register.gateways() as usize;
            UnitsAnswer { age_ms, version: lead.version, ..lead.counter.call(now, call, gateways) }
        })
    }

    /// A watch call came.
    ///
    /// # Errors
    /// As all here.
    pub fn called(&mut self, now: u64, call: &WatchCall) -> Result<Held, Elsewhere> {
        let (seen, term) = self.with_lead(now, |lead, _| {
            *lead.watching.entry(call.life).or_default() += 1;
            (lead.register.called(now, call), lead.term)
        })?;
        let brief = matches!(seen, Seen::NoLine | Seen::Replaced);
        Ok(Held { brief, end: now + call.wait_ms.min(MOST_HOLD_MS), term })
    }

    /// What a watch call gets now; `None`: it is to look again after a change, or at its end.
    ///
    /// # Errors
    /// As all here.
    pub fn watch(
        &mut self,
        now: u64,
        call: &WatchCall,
        held: &Held,
    ) -> Result<Option<WatchAnswer>, Elsewhere> {
        let last = held.brief || now >= held.end || call.diverged;
        let answer = self.with_lead(now, |lead, age| {
            let news = lead.register.answer(now, call, age);
            news.or_else(|| last.then(|| lead.register.nothing(age)))
        });
        if !matches!(answer, Ok(None)) {
            self.unwatched(call, held);
        }
        let restated = call.diverged.then(|| Restated { after: self.applied, state: self.state.to_text() });
        Ok(answer?.map(|answer| WatchAnswer { restated, ..answer }))
    }

    /// A watch call has ended; true where its sender has no other one here.
    fn unwatched(&mut self, call: &WatchCall, held: &Held) -> bool {
        let lead = self.lead.as_mut().filter(|lead| lead.term == held.term);
        lead.is_some_and(|lead| lead.unwatched(call.life))
    }

    /// The caller of a held watch call went away before its answer. Its sender is gone where that was its last one.
    pub fn hung_up(&mut self, now: u64, call: &WatchCall, held: &Held) {
        // Whoever leads by then has a watch of its own.
        if self.unwatched(call, held) && call.who == Caller::Gateway {
            self.out.events.push(Event::GatewayAway { name: call.name.clone() });
            let _ = self.with_lead(now, |lead, _| lead.register.gateway_left(now, &call.name, call.life));
        }
    }

    /// A server says that it lives. It is acknowledged at once, or after a round.
    ///
    /// # Errors
    /// As all here.
    pub fn beat(&mut self, now: u64, id: &str, beat: &Beat) -> Result<Option<Round>, Elsewhere> {
        let outcome = self.with_lead(now, |lead, _| lead.register.beat(now, id, beat))?;
        if matches!(outcome.kind, BeatKind::Came | BeatKind::Changed) {
            self.out.events.push(Event::Server {
                life: id.into(),
                backend: beat.backend.clone(),
                zone: beat.zone.clone(),
                state: beat.state,
                cold_ms: beat.warmup_left_ms,
            });
        }
        let drains = beat.state == ServerState::Draining;
        Ok(drains.then(|| Round::new(outcome.at, now)))
    }

    /// A server says that it is gone. It is acknowledged after a round.
    ///
    /// # Errors
    /// As all here.
    pub fn gone(&mut self, now: u64, id: &str) -> Result<Round, Elsewhere> {
        let seq = self.with_lead(now, |lead, _| lead.register.leave(now, id))?;
        self.out.events.push(Event::ServerGone { life: id.into() });
        Ok(Round::new(seq, now))
    }

    /// Whether a round is over: a majority of the members has the change, and all gateways that are there have it or were
    /// waited for long enough.
    ///
    /// # Errors
    /// As all here, and where no majority has it in time: whoever leads next might never hear of it.
    pub fn come_round(&mut self, now: u64, round: &Round) -> Result<bool, Elsewhere> {
        let reach = self.with_lead(now, |lead, _| lead.register.reach(now, round.seq))?;
        let majority_without_me = self.book.members().len() / 2;
        if reach.core < majority_without_me {
            return if now >= round.members_until { Err(self.elsewhere()) } else { Ok(false) };
        }
        Ok(reach.gateways >= reach.gateways_there || now >= round.gateways_until)
    }
}
