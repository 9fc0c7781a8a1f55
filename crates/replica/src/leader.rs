//! What only a leader has and does: registers, counter, and who is answered by its lease.

use crate::departures::{Departure, DepartureLog};
use crate::effects::{Event, Ticket};
use crate::pending_calls::Proposed;
use crate::replica::Replica;
use crate::trials::LapsedTrials;
use nickeljunction_messages::{
    Caller, LeaderRedirect, ServerState, StateTransfer, UnitsAnswer, UnitsCall, VersionedConfig, WatchAnswer,
    WatchCall,
};
use nickeljunction_operations::GenerationClock;
use nickeljunction_quota::{Counter, Limit};
use nickeljunction_registry::{CallOutcome, Heartbeat, HeartbeatKind, Register};
use nickeljunction_schema::{Bounds, Config, Document};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Longest hold of a watch call, ms.
const MOST_HOLD_MS: u64 = 5_000;
/// What may wait, see [`Register::has_urgent_changes`], is told to a caller no sooner than so long after its call, ms: while a fleet
/// starts, gateways and servers come one by one, and each answer costs a call.
const TOGETHER_MS: u64 = 250;
/// How long an acknowledgement waits for the gateways that are there to know the change, ms.
const ROUND_MS: u64 = 250;
/// How long it waits for the change to be on the agreed log, ms: a server that is told that it may leave must not be sent to
/// by a successor who never heard of it, so without that there is no acknowledgement. A server takes another member after a
/// second.
const LOGGED_MS: u64 = 700;
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
    /// Servers that leave, on their way to the log.
    pub departures: DepartureLog,
    /// Ages of generations of keyed operations.
    pub generations: GenerationClock,
    /// What is due of them is on its way to the log.
    pub generations_under_way: bool,
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
pub enum UnitsReply {
    /// Its answer.
    Immediate(UnitsAnswer),
    /// The caller's process goes on the log first; the answer comes by this ticket.
    Pending(Ticket),
}

/// A watch call that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldWatch {
    /// Its sender is to come again with its line, or was replaced: nothing to hold it for.
    brief: bool,
    /// Before that it is only answered with what must not wait, so that what comes bit by bit is told together.
    together_at: u64,
    end: u64,
    /// Of the leader that holds it.
    term: u64,
}

impl HeldWatch {
    /// By then it is answered, whether there is something new or not.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// When it is to look again, where nothing changes before.
    pub fn next_check_at(&self, now: u64) -> u64 {
        if now < self.together_at {
            self.together_at
        } else {
            self.end
        }
    }
}

/// An acknowledgement that waits until a change has come round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingAck {
    /// Of the leader that waits.
    term: u64,
    /// Number of the change in its register.
    seq: u64,
    /// Number of the departure that is to be on the log.
    departure: u64,
    /// Gateways are waited for until then.
    gateways_until: u64,
    /// The log is waited for until then.
    logged_until: u64,
}

impl PendingAck {
    /// When it is to look again, where nothing changes before.
    pub fn next_check_at(&self, now: u64) -> u64 {
        let next = if now < self.gateways_until { self.gateways_until } else { self.logged_until };
        next.clamp(now + 1, now + LOOK_MS)
    }
}

/// Units that a document allows each tenant with a limit, by the rules' figures.
pub fn quota_limits(doc: &serde_json::Value, bounds: &Bounds) -> BTreeMap<String, Limit> {
    Document::view(doc).map(|config| limits_of(&config, bounds)).unwrap_or_default()
}

fn limits_of(config: &Config, bounds: &Bounds) -> BTreeMap<String, Limit> {
    let limit = |tenant: &nickeljunction_schema::Tenant| {
        let (rate, burst) = tenant.quota()?;
        let (window, overrun, slack) = (bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack);
        Limit::with_default_margin(rate, burst, window, overrun, slack)
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
                let ask = self.copy.watch_call(Caller::Core, &self.place.name, 0, None, 0);
                if let Some(answer) = lead.register.answer(now, &ask, 0) {
                    let _ = self.copy.apply(answer);
                }
                self.out.changed = true;
                self.hand_over_claims();
            }
            return;
        }
        if self.lead.as_ref().is_some_and(|lead| lead.term == term) {
            return;
        }
        let tuning = nickeljunction_registry::Tuning::new(self.place.heartbeat_ms, self.place.zones.clone());
        let copy = std::mem::take(&mut self.copy);
        let departures = self.state.departures();
        let window = (self.place.bounds.quota_window_s * 1_000.0) as u64;
        let logged = self.state.gateways().clone();
        let known = logged.len();
        let counter = Counter::new(now, term, nickeljunction_quota::Tuning::new(window), logged);
        let mut register = Register::new(now, tuning, term, Some(copy));
        register.apply_departures(now, departures.draining(), departures.ended());
        self.out.events.push(Event::LeadBegun {
            term,
            version: self.state.version(),
            servers: register.server_count(),
            gateways: register.gateway_count(),
            logged_gateways: known,
            held_ms: counter.takeover_ms(),
        });
        self.lead = Some(Lead {
            term,
            register,
            counter,
            tides: LapsedTrials::default(),
            version: 0,
            forgets: false,
            departures: DepartureLog::default(),
            generations: GenerationClock::new((self.place.bounds.key_window_s * 1_000.0).ceil() as u64),
            generations_under_way: false,
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
        lead.register.set_evacuated_zones(now, self.state.evacuated().clone());
        lead.register.set_core_hosts(self.book.members().iter().map(|member| member.host.clone()).collect());
        lead.counter.set_logged_processes(self.state.gateways());
        let version = self.state.version();
        if version > lead.version {
            lead.version = version;
            lead.counter.set_limits(now, &limits_of(&config, &self.place.bounds));
            let line = Rc::new(VersionedConfig { version, document: self.state.doc().clone() });
            lead.register.set_config(line, self.state.document_digest(), self.changes.clone());
        }
    }

    /// Ages the registers and the counter.
    pub(crate) fn age(&mut self, now: u64) {
        let Some(lead) = &mut self.lead else { return };
        let before = lead.register.seq();
        let silent = lead.register.tick(now);
        self.out.events.extend(silent.into_iter().map(|id| Event::ServerSilent { id }));
        self.out.changed |= lead.register.seq() != before;
        let forget = if lead.forgets { None } else { lead.counter.removable_processes(now) };
        if let Some(roll) = forget {
            lead.forgets = true;
            self.forget(now, roll);
        }
        self.age_departures(now);
        self.age_generations(now);
    }

    /// Does something with the registers and the counter, if this member surely leads; with the lease's age.
    pub(crate) fn with_lead<R>(
        &mut self,
        now: u64,
        act: impl FnOnce(&mut Lead, u64) -> R,
    ) -> Result<R, LeaderRedirect> {
        // A leader that was frozen or cut off may have a successor by now: it must not answer as one.
        let age = self.book.quorum_age(now).filter(|age| *age < self.lease_ms);
        let (Some(age), Some(lead)) = (age, &mut self.lead) else { return Err(self.leader_redirect()) };
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
    pub fn request_units(&mut self, now: u64, call: &UnitsCall) -> Result<UnitsReply, LeaderRedirect> {
        match self.with_lead(now, |lead, _| lead.counter.enrollment_for(now, call))? {
            Some(roll) => Ok(UnitsReply::Pending(self.enroll_first(now, roll, call.clone()))),
            None => self.lend(now, call).map(UnitsReply::Immediate),
        }
    }

    /// The same, once the process is on the log.
    pub(crate) fn lend_to_new(&mut self, now: u64, call: &UnitsCall) -> Result<UnitsAnswer, LeaderRedirect> {
        self.with_lead(now, |lead, _| lead.counter.enrollment_committed(call.incarnation))?;
        self.lend(now, call)
    }

    fn lend(&mut self, now: u64, call: &UnitsCall) -> Result<UnitsAnswer, LeaderRedirect> {
        self.with_lead(now, |lead, age_ms| {
            let gateways = lead.register.gateway_count() as usize;
            UnitsAnswer {
                quorum_age_ms: age_ms,
                version: lead.version,
                ..lead.counter.handle_call(now, call, gateways)
            }
        })
    }

    /// A watch call came.
    ///
    /// # Errors
    /// As all here.
    pub fn begin_watch(&mut self, now: u64, call: &WatchCall) -> Result<HeldWatch, LeaderRedirect> {
        let (seen, term) = self.with_lead(now, |lead, _| {
            *lead.watching.entry(call.incarnation).or_default() += 1;
            (lead.register.record_watch_call(now, call), lead.term)
        })?;
        let brief = matches!(seen, CallOutcome::MissingLine | CallOutcome::ReplacedProcess);
        let end = now + call.wait_ms.min(MOST_HOLD_MS);
        Ok(HeldWatch { brief, together_at: end.min(now + TOGETHER_MS), end, term })
    }

    /// What a watch call gets now; `None`: it is to look again after a change, or at its end.
    ///
    /// # Errors
    /// As all here.
    pub fn answer_watch(
        &mut self,
        now: u64,
        call: &WatchCall,
        held: &HeldWatch,
    ) -> Result<Option<WatchAnswer>, LeaderRedirect> {
        let last = held.brief || now >= held.end || call.diverged;
        let answer = self.with_lead(now, |lead, age| {
            if !last && now < held.together_at && !lead.register.has_urgent_changes(call) {
                return None;
            }
            let news = lead.register.answer(now, call, age);
            news.or_else(|| last.then(|| lead.register.empty_answer(age)))
        });
        if !matches!(answer, Ok(None)) {
            self.unwatched(call, held);
        }
        let restated =
            call.diverged.then(|| StateTransfer { last_index: self.applied, state: self.state.to_text() });
        Ok(answer?.map(|answer| WatchAnswer { state_transfer: restated, ..answer }))
    }

    /// A watch call has ended; true where its sender has no other one here.
    fn unwatched(&mut self, call: &WatchCall, held: &HeldWatch) -> bool {
        let lead = self.lead.as_mut().filter(|lead| lead.term == held.term);
        lead.is_some_and(|lead| lead.unwatched(call.incarnation))
    }

    /// The caller of a held watch call went away before its answer. Its sender is gone where that was its last one.
    pub fn watch_disconnected(&mut self, now: u64, call: &WatchCall, held: &HeldWatch) {
        // Whoever leads by then has a watch of its own.
        if self.unwatched(call, held) && call.caller == Caller::Gateway {
            self.out.events.push(Event::GatewayDisconnected { name: call.name.clone() });
            let _ = self.with_lead(now, |lead, _| {
                lead.register.gateway_disconnected(now, &call.name, call.incarnation)
            });
        }
    }

    /// A server says that it lives. It is acknowledged at once, or after a round.
    ///
    /// # Errors
    /// As all here.
    pub fn record_heartbeat(
        &mut self,
        now: u64,
        id: &str,
        beat: &Heartbeat,
    ) -> Result<Option<PendingAck>, LeaderRedirect> {
        let outcome = self.with_lead(now, |lead, _| lead.register.record_heartbeat(now, id, beat))?;
        if matches!(outcome.kind, HeartbeatKind::Registered | HeartbeatKind::Changed) {
            self.out.events.push(Event::ServerChanged {
                id: id.into(),
                backend: beat.backend.clone(),
                zone: beat.zone.clone(),
                state: beat.state,
                warmup_left_ms: beat.warmup_left_ms,
            });
        }
        if beat.state == ServerState::Draining {
            let departure = Departure::Draining { call_seq: beat.call_seq };
            let departure = (outcome.kind != HeartbeatKind::Stale).then_some(departure);
            return self.begin_round(now, id, outcome.seq, departure).map(Some);
        }
        self.note_return(now, id, beat);
        Ok(None)
    }

    /// A server that drained says that it serves.
    fn note_return(&mut self, now: u64, id: &str, beat: &Heartbeat) {
        let said = self.state.departures().draining().get(id);
        let is_later = said.is_some_and(|call_seq| *call_seq < beat.call_seq);
        let Some(lead) = self.lead.as_mut().filter(|_| is_later) else { return };
        if lead.register.server_state(id) == Some(ServerState::InService) {
            lead.departures.record_return(id);
            self.log_departures(now);
        }
    }

    /// A server says that it is gone. It is acknowledged after a round.
    ///
    /// # Errors
    /// As all here.
    pub fn remove_server(&mut self, now: u64, id: &str) -> Result<PendingAck, LeaderRedirect> {
        let seq = self.with_lead(now, |lead, _| lead.register.remove_server(now, id))?;
        self.out.events.push(Event::ServerGone { id: id.into() });
        self.begin_round(now, id, seq, Some(Departure::Ended))
    }

    /// Puts a departure on its way to the log and to the gateways.
    fn begin_round(
        &mut self,
        now: u64,
        id: &str,
        seq: u64,
        departure: Option<Departure>,
    ) -> Result<PendingAck, LeaderRedirect> {
        let Some(lead) = &mut self.lead else { return Err(self.leader_redirect()) };
        let logged = self.state.departures();
        let number = departure.map_or(0, |departure| lead.departures.record(id, departure, logged));
        let round = PendingAck {
            term: lead.term,
            seq,
            departure: number,
            gateways_until: now + ROUND_MS,
            logged_until: now + LOGGED_MS,
        };
        self.log_departures(now);
        Ok(round)
    }

    /// Puts the departures that wait on the log, where none is on its way there.
    fn log_departures(&mut self, now: u64) {
        self.propose_departures(now);
        self.turn(now, |_| ());
    }

    /// The same, to be followed by a turn.
    fn propose_departures(&mut self, now: u64) {
        let Some(entry) = self.lead.as_mut().and_then(|lead| lead.departures.next_entry()) else { return };
        self.propose_own(now, &entry, Proposed::Departures);
    }

    /// What became of the entry of departures.
    pub(crate) fn departures_settled(&mut self, now: u64, is_logged: bool) {
        let Some(lead) = &mut self.lead else { return };
        lead.departures.entry_settled(is_logged);
        self.out.changed = true;
        // A log that takes nothing at the moment is tried again with the next beat or tick.
        if is_logged {
            self.propose_departures(now);
        }
    }

    /// Has departures forgotten that are old, and tries again what the log didn't take.
    fn age_departures(&mut self, now: u64) {
        let Some(lead) = &mut self.lead else { return };
        let register = &lead.register;
        lead.departures.forget_old(now, self.state.departures(), |id| register.server_state(id).is_some());
        self.log_departures(now);
    }

    /// Whether a round is over: the change is on the log, and all gateways that are there have it or were waited for long
    /// enough.
    ///
    /// # Errors
    /// As all here, and where the log doesn't have it in time: whoever leads next might never hear of it.
    pub fn ack_ready(&mut self, now: u64, round: &PendingAck) -> Result<bool, LeaderRedirect> {
        let (reach, term, is_logged) = self.with_lead(now, |lead, _| {
            (lead.register.propagation(now, round.seq), lead.term, lead.departures.is_logged(round.departure))
        })?;
        // Another lead of this member has other numbers.
        if term != round.term {
            return Err(self.leader_redirect());
        }
        if !is_logged {
            return if now >= round.logged_until { Err(self.leader_redirect()) } else { Ok(false) };
        }
        Ok(reach.gateways >= reach.connected_gateways || now >= round.gateways_until)
    }
}
