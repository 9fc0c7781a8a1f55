//! The leader's part of a member: the register, the quota counter, and the calls that it answers by its lease.

use crate::departures::{Departure, DepartureLog};
use crate::effects::{Event, Ticket};
use crate::pending_calls::Proposal;
use crate::replica::Replica;
use crate::trials::TrialTracker;
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

/// Longest time for which a watch call is held, ms.
const MAX_WATCH_HOLD_MS: u64 = 5_000;
/// Changes that are not urgent ([`Register::has_urgent_changes`]) are not sent before this time after the watch call, ms:
/// while a fleet starts, gateways and servers register one by one, and each answer costs another call.
const BATCHING_DELAY_MS: u64 = 250;
/// How long an acknowledgement waits until the connected gateways have the change, ms.
const PROPAGATION_TIMEOUT_MS: u64 = 250;
/// How long an acknowledgement waits until the change is committed, ms. Without that there is no acknowledgement: a later
/// leader without the entry would route to a server that was told that it may leave. A server tries another member after a
/// second.
const LOG_TIMEOUT_MS: u64 = 700;
/// Interval at which a pending acknowledgement is checked, ms: watch calls, by which gateways report what they have, don't
/// count as changes.
const ACK_POLL_MS: u64 = 10;

/// State that only a leader has.
#[derive(Debug)]
pub(crate) struct Lead {
    pub term: u64,
    pub register: Register,
    pub counter: Counter,
    pub trials: TrialTracker,
    /// Version of the configuration that `register` and `counter` have.
    pub version: u64,
    /// An entry that removes gateway processes is in flight.
    pub forget_in_flight: bool,
    /// Departures of servers that are not on the log yet.
    pub departures: DepartureLog,
    /// Ages of the generations of keyed operations.
    pub generations: GenerationClock,
    /// An entry that closes or forgets generations is in flight.
    pub generations_in_flight: bool,
    /// Number of open watch calls by their sender's process: only the end of the last one means that the sender is gone.
    open_watches: BTreeMap<u64, u32>,
}

impl Lead {
    /// Records the end of a watch call of this process; true if it was the last one.
    fn watch_ended(&mut self, incarnation: u64) -> bool {
        let left = self.open_watches.get(&incarnation).map_or(0, |count| count.saturating_sub(1));
        match left {
            0 => drop(self.open_watches.remove(&incarnation)),
            left => drop(self.open_watches.insert(incarnation, left)),
        }
        left == 0
    }
}

/// The reply to a request for units.
#[derive(Debug, Clone, PartialEq)]
pub enum UnitsReply {
    /// The request is answered at once.
    Immediate(UnitsAnswer),
    /// The caller's process is put on the log first; [`crate::Answer::Units`] follows by this ticket.
    Pending(Ticket),
}

/// A watch call that is held until there is something to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldWatch {
    /// The sender has to call again with its own entry of the register, or another process replaced it: there is no reason
    /// to hold the call.
    answer_now: bool,
    /// Before this time only urgent changes are sent, so that small changes are sent together.
    batch_until: u64,
    end: u64,
    /// Term of the leader that holds the call.
    term: u64,
}

impl HeldWatch {
    /// The time by which the call is answered even if nothing has changed.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// When to check again if nothing changes before.
    pub fn next_check_at(&self, now: u64) -> u64 {
        if now < self.batch_until {
            self.batch_until
        } else {
            self.end
        }
    }
}

/// An acknowledgement that waits until its change is committed and gateways have it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingAck {
    /// Term of the leader that owes the acknowledgement.
    term: u64,
    /// Number of the change in that leader's register.
    seq: u64,
    /// Number of the departure that has to be committed; 0: none.
    departure: u64,
    /// Deadline for the gateways.
    gateways_until: u64,
    /// Deadline for the log.
    logged_until: u64,
}

impl PendingAck {
    /// When to check again if nothing changes before.
    pub fn next_check_at(&self, now: u64) -> u64 {
        let next = if now < self.gateways_until { self.gateways_until } else { self.logged_until };
        next.clamp(now + 1, now + ACK_POLL_MS)
    }
}

/// The quota limit of each tenant that has one, by a document and the configured bounds.
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
    /// Takes up or gives up the leader's state as consensus requires.
    pub(crate) fn update_lead(&mut self, now: u64) {
        let term = self.consensus.term();
        if !self.consensus.ready() {
            if let Some(lead) = self.lead.take() {
                self.effects.events.push(Event::LeadEnded { term: lead.term });
                // The next leader may be this same member, for example after its majority was unreachable for seconds.
                // Without this copy it would start with an empty register.
                let call = self.watch_cache.watch_call(Caller::Core, &self.member_config.name, 0, None, 0);
                if let Some(answer) = lead.register.answer(now, &call, 0) {
                    let _ = self.watch_cache.apply(answer);
                }
                self.effects.changed = true;
                self.redirect_waiting_claims();
            }
            return;
        }
        if self.lead.as_ref().is_some_and(|lead| lead.term == term) {
            return;
        }
        let tuning = nickeljunction_registry::Tuning::new(
            self.member_config.heartbeat_ms,
            self.member_config.zones.clone(),
        );
        let copy = std::mem::take(&mut self.watch_cache);
        let departures = self.state.departures();
        let window = (self.member_config.bounds.quota_window_s * 1_000.0) as u64;
        let logged = self.state.gateways().clone();
        let logged_gateways = logged.len();
        let counter = Counter::new(now, term, nickeljunction_quota::Tuning::new(window), logged);
        let mut register = Register::new(now, tuning, term, Some(copy));
        register.apply_departures(now, departures.draining(), departures.ended());
        self.effects.events.push(Event::LeadBegun {
            term,
            version: self.state.version(),
            servers: register.server_count(),
            gateways: register.gateway_count(),
            logged_gateways,
            held_ms: counter.takeover_ms(),
        });
        self.lead = Some(Lead {
            term,
            register,
            counter,
            trials: TrialTracker::default(),
            version: 0,
            forget_in_flight: false,
            departures: DepartureLog::default(),
            generations: GenerationClock::new(
                (self.member_config.bounds.key_window_s * 1_000.0).ceil() as u64
            ),
            generations_in_flight: false,
            open_watches: BTreeMap::new(),
        });
        self.publish(now);
        self.effects.changed = true;
    }

    /// Brings the register and the counter up to date with the replicated state.
    pub(crate) fn publish(&mut self, now: u64) {
        if self.lead.is_none() {
            return;
        }
        let config = self.config();
        self.publish_trials(now);
        let Some(lead) = &mut self.lead else { return };
        lead.register.set_evacuated_zones(now, self.state.evacuated().clone());
        lead.register
            .set_core_hosts(self.consensus.members().iter().map(|member| member.host.clone()).collect());
        lead.counter.set_logged_processes(self.state.gateways());
        let version = self.state.version();
        if version > lead.version {
            lead.version = version;
            lead.counter.set_limits(now, &limits_of(&config, &self.member_config.bounds));
            let config = Rc::new(VersionedConfig { version, document: self.state.doc().clone() });
            lead.register.set_config(config, self.state.document_digest(), self.changes.clone());
        }
    }

    /// Expires what is old in the register, the counter, the departures and the generations.
    pub(crate) fn tick_lead(&mut self, now: u64) {
        let Some(lead) = &mut self.lead else { return };
        let before = lead.register.seq();
        let silent = lead.register.tick(now);
        self.effects.events.extend(silent.into_iter().map(|id| Event::ServerSilent { id }));
        self.effects.changed |= lead.register.seq() != before;
        let removable = if lead.forget_in_flight { None } else { lead.counter.removable_processes(now) };
        if let Some(change) = removable {
            lead.forget_in_flight = true;
            self.forget_processes(now, change);
        }
        self.maintain_departures(now);
        self.maintain_generations(now);
    }

    /// Runs `act` on the leader's state, with the age of the lease, if this member surely leads.
    pub(crate) fn with_lead<R>(
        &mut self,
        now: u64,
        act: impl FnOnce(&mut Lead, u64) -> R,
    ) -> Result<R, LeaderRedirect> {
        // A leader that was suspended or cut off may already have a successor, so it must not answer as the leader.
        let age = self.consensus.quorum_age(now).filter(|age| *age < self.lease_ms);
        let (Some(age), Some(lead)) = (age, &mut self.lead) else { return Err(self.leader_redirect()) };
        let before = lead.register.seq();
        let result = act(lead, age);
        self.effects.changed |= lead.register.seq() != before;
        Ok(result)
    }

    /// A gateway requests units. A new gateway process is put on the log first, so that a later leader knows every process
    /// that may hold units.
    ///
    /// # Errors
    /// This member doesn't lead, or can't be sure that it still does.
    pub fn request_units(&mut self, now: u64, call: &UnitsCall) -> Result<UnitsReply, LeaderRedirect> {
        match self.with_lead(now, |lead, _| lead.counter.enrollment_for(now, call))? {
            Some(change) => Ok(UnitsReply::Pending(self.enroll_before_lending(now, change, call.clone()))),
            None => self.lend(now, call).map(UnitsReply::Immediate),
        }
    }

    /// Answers a request for units once the new process is on the log.
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

    /// Registers a watch call, which is then held until [`Replica::answer_watch`] gives its answer.
    ///
    /// # Errors
    /// This member doesn't lead, or can't be sure that it still does.
    pub fn begin_watch(&mut self, now: u64, call: &WatchCall) -> Result<HeldWatch, LeaderRedirect> {
        let (seen, term) = self.with_lead(now, |lead, _| {
            *lead.open_watches.entry(call.incarnation).or_default() += 1;
            (lead.register.record_watch_call(now, call), lead.term)
        })?;
        let answer_now = matches!(seen, CallOutcome::MissingLine | CallOutcome::ReplacedProcess);
        let end = now + call.wait_ms.min(MAX_WATCH_HOLD_MS);
        Ok(HeldWatch { answer_now, batch_until: end.min(now + BATCHING_DELAY_MS), end, term })
    }

    /// The answer to a held watch call; `None`: check again after a change or at [`HeldWatch::next_check_at`].
    ///
    /// # Errors
    /// This member doesn't lead, or can't be sure that it still does.
    pub fn answer_watch(
        &mut self,
        now: u64,
        call: &WatchCall,
        held: &HeldWatch,
    ) -> Result<Option<WatchAnswer>, LeaderRedirect> {
        let must_answer = held.answer_now || now >= held.end || call.diverged;
        let answer = self.with_lead(now, |lead, age| {
            if !must_answer && now < held.batch_until && !lead.register.has_urgent_changes(call) {
                return None;
            }
            let changes = lead.register.answer(now, call, age);
            changes.or_else(|| must_answer.then(|| lead.register.empty_answer(age)))
        });
        if !matches!(answer, Ok(None)) {
            self.watch_ended(call, held);
        }
        let state_transfer = call
            .diverged
            .then(|| StateTransfer { last_index: self.applied_index, state: self.state.to_text() });
        Ok(answer?.map(|answer| WatchAnswer { state_transfer, ..answer }))
    }

    /// Records the end of a watch call; true if its sender has no other one here.
    fn watch_ended(&mut self, call: &WatchCall, held: &HeldWatch) -> bool {
        let lead = self.lead.as_mut().filter(|lead| lead.term == held.term);
        lead.is_some_and(|lead| lead.watch_ended(call.incarnation))
    }

    /// The caller of a held watch call disconnected before the answer. If it was the sender's last watch call, the sender
    /// counts as gone.
    pub fn watch_disconnected(&mut self, now: u64, call: &WatchCall, held: &HeldWatch) {
        // A leader of another term counts its own watch calls.
        if self.watch_ended(call, held) && call.caller == Caller::Gateway {
            self.effects.events.push(Event::GatewayDisconnected { name: call.name.clone() });
            let _ = self.with_lead(now, |lead, _| {
                lead.register.gateway_disconnected(now, &call.name, call.incarnation)
            });
        }
    }

    /// A server's heartbeat; `None`: it is acknowledged at once.
    ///
    /// # Errors
    /// This member doesn't lead, or can't be sure that it still does.
    pub fn record_heartbeat(
        &mut self,
        now: u64,
        id: &str,
        beat: &Heartbeat,
    ) -> Result<Option<PendingAck>, LeaderRedirect> {
        let outcome = self.with_lead(now, |lead, _| lead.register.record_heartbeat(now, id, beat))?;
        if matches!(outcome.kind, HeartbeatKind::Registered | HeartbeatKind::Changed) {
            self.effects.events.push(Event::ServerChanged {
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
            return self.start_ack(now, id, outcome.seq, departure).map(Some);
        }
        self.record_return_to_service(now, id, beat);
        Ok(None)
    }

    /// Withdraws the departure of a draining server whose later heartbeat says that it is in service.
    fn record_return_to_service(&mut self, now: u64, id: &str, beat: &Heartbeat) {
        let draining_since = self.state.departures().draining().get(id);
        let is_later = draining_since.is_some_and(|call_seq| *call_seq < beat.call_seq);
        let Some(lead) = self.lead.as_mut().filter(|_| is_later) else { return };
        if lead.register.server_state(id) == Some(ServerState::InService) {
            lead.departures.record_return(id);
            self.flush_departures(now);
        }
    }

    /// A server reports that its process ends.
    ///
    /// # Errors
    /// This member doesn't lead, or can't be sure that it still does.
    pub fn remove_server(&mut self, now: u64, id: &str) -> Result<PendingAck, LeaderRedirect> {
        let seq = self.with_lead(now, |lead, _| lead.register.remove_server(now, id))?;
        self.effects.events.push(Event::ServerGone { id: id.into() });
        self.start_ack(now, id, seq, Some(Departure::Ended))
    }

    /// Starts to distribute a change to the log and to the gateways.
    fn start_ack(
        &mut self,
        now: u64,
        id: &str,
        seq: u64,
        departure: Option<Departure>,
    ) -> Result<PendingAck, LeaderRedirect> {
        let Some(lead) = &mut self.lead else { return Err(self.leader_redirect()) };
        let logged = self.state.departures();
        let number = departure.map_or(0, |departure| lead.departures.record(id, departure, logged));
        let pending = PendingAck {
            term: lead.term,
            seq,
            departure: number,
            gateways_until: now + PROPAGATION_TIMEOUT_MS,
            logged_until: now + LOG_TIMEOUT_MS,
        };
        self.flush_departures(now);
        Ok(pending)
    }

    /// Proposes the waiting departures unless an entry is in flight.
    fn flush_departures(&mut self, now: u64) {
        self.propose_departures(now);
        self.advance(now, |_| ());
    }

    /// As [`Replica::flush_departures`], but the caller has to call [`Replica::advance`].
    fn propose_departures(&mut self, now: u64) {
        let Some(entry) = self.lead.as_mut().and_then(|lead| lead.departures.next_entry()) else { return };
        self.propose_own(now, &entry, Proposal::Departures);
    }

    /// Takes the result of an entry of departures.
    pub(crate) fn departures_settled(&mut self, now: u64, is_logged: bool) {
        let Some(lead) = &mut self.lead else { return };
        lead.departures.entry_settled(is_logged);
        self.effects.changed = true;
        // If the entry failed, the next heartbeat or tick tries again.
        if is_logged {
            self.propose_departures(now);
        }
    }

    /// Forgets old departures, and proposes again those whose entry failed.
    fn maintain_departures(&mut self, now: u64) {
        let Some(lead) = &mut self.lead else { return };
        let register = &lead.register;
        lead.departures.forget_old(now, self.state.departures(), |id| register.server_state(id).is_some());
        self.flush_departures(now);
    }

    /// Whether the acknowledgement can be sent: the change is committed, and all connected gateways have it or had enough
    /// time.
    ///
    /// # Errors
    /// This member doesn't lead, or can't be sure that it still does, or the change was not committed in time: the next
    /// leader might never have it.
    pub fn ack_ready(&mut self, now: u64, pending: &PendingAck) -> Result<bool, LeaderRedirect> {
        let (propagation, term, is_logged) = self.with_lead(now, |lead, _| {
            (
                lead.register.propagation(now, pending.seq),
                lead.term,
                lead.departures.is_logged(pending.departure),
            )
        })?;
        // Another term of this member has its own numbers.
        if term != pending.term {
            return Err(self.leader_redirect());
        }
        if !is_logged {
            return if now >= pending.logged_until { Err(self.leader_redirect()) } else { Ok(false) };
        }
        Ok(propagation.gateways >= propagation.connected_gateways || now >= pending.gateways_until)
    }
}
