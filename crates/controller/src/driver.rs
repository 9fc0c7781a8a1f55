//! The driver of this core member: turns its machine ([`Replica`]) and carries out what comes out of it. Handlers of
//! calls come in here.

mod metrics;

use crate::disk::Job;
use crate::hint;
use crate::peers::Peers;
use crate::tell::tell;
use hashbrown::HashMap;
use nickeljunction_consensus::Envelope;
use nickeljunction_messages::{
    ClaimAnswer, ClaimCall, GatewayInfo, LeaderRedirect, OperationId, PaceSharesAnswer, PaceSharesCall,
    UnitsAnswer, UnitsCall, WatchAnswer, WatchCall,
};
use nickeljunction_net::wheel::Wheel;
use nickeljunction_registry::{ApplyError, CatalogUpdate, Heartbeat, WatchCache};
use nickeljunction_replica::{
    Answer, Change, ClaimReply, CoreView, Effects, HeldWatch, MemberConfig, MembershipRequest, OperationView,
    PendingAck, Replica, Ticket, TrialView, UnitsReply,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, Notify};

/// A process that waits for its place to be taken looks again so soon, ms.
const LEAVE_LOOK_MS: f64 = 10.0;

/// Where every machine listens.
pub struct Ports {
    /// Control.
    pub control: u16,
    /// First inner port.
    pub inner: u16,
}

/// See the module.
pub struct Driver {
    /// This process.
    pub place: Rc<MemberConfig>,
    /// See there.
    pub ports: Ports,
    wheel: Wheel,
    house: RefCell<Replica>,
    /// Calls that wait for the agreement.
    waits: RefCell<HashMap<Ticket, oneshot::Sender<Answer>, ahash::RandomState>>,
    disk: mpsc::UnboundedSender<Job>,
    peers: Rc<Peers>,
    syncs: metrics::Syncs,
    claims: metrics::Claims,
    /// When this process began, ms.
    begun: u64,
    /// Something changed: held calls look again.
    pub changed: Notify,
    /// The loop's next wake may have come nearer.
    sooner: Notify,
}

/// A call that waits for the agreement. Its caller may go away before.
struct Waiting<'a>(&'a Driver, Ticket);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Waiting(driver, ticket) = self;
        if driver.waits.borrow_mut().remove(ticket).is_some() {
            driver.house.borrow_mut().cancel(*ticket);
        }
    }
}

impl Driver {
    /// A member that has loaded its disk. `disk` takes writes in order; what became of each is told to
    /// [`Driver::written`].
    pub fn new(
        place: Rc<MemberConfig>,
        ports: Ports,
        wheel: Wheel,
        house: Replica,
        disk: mpsc::UnboundedSender<Job>,
        peers: Rc<Peers>,
    ) -> Rc<Driver> {
        let (house, waits) = (RefCell::new(house), RefCell::default());
        let (changed, sooner) = (Notify::new(), Notify::new());
        let begun = wheel.now() as u64;
        Rc::new(Driver {
            place,
            ports,
            wheel,
            house,
            waits,
            disk,
            peers,
            syncs: metrics::Syncs::default(),
            claims: metrics::Claims::default(),
            begun,
            changed,
            sooner,
        })
    }

    /// What was known of servers and gateways when this machine's process before ended.
    pub fn remember(&self, copy: WatchCache) {
        log::info!("event=hint_loaded term={} servers={}", copy.term(), copy.catalog().servers.len());
        self.house.borrow_mut().load_watch_cache(copy);
    }

    /// The steady clock, whole ms.
    pub fn now(&self) -> u64 {
        self.wheel.now() as u64
    }

    /// Timers.
    pub fn wheel(&self) -> &Wheel {
        &self.wheel
    }

    /// Turns the machine's clock for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        loop {
            let wake = self.house.borrow().next_wake() as f64;
            tokio::select! {
                () = self.sooner.notified() => continue,
                () = self.wheel.sleep_until(wake) => {}
            }
            self.turn(Replica::tick);
        }
    }

    /// Messages of other members came in.
    pub fn heard(&self, messages: Vec<Envelope>) {
        self.syncs.heard(messages.len());
        self.turn(|house, now| house.receive(now, messages));
    }

    /// What became of a write, and how long it took, microseconds.
    pub fn written(&self, ticket: u64, fine: bool, took_us: u64) {
        self.syncs.wrote(fine, took_us);
        self.turn(|house, now| house.written(now, ticket, fine));
    }

    /// Other hosts where members may be found, for one that isn't a member.
    pub fn seek(&self, hosts: Vec<String>) {
        self.turn(|house, now| house.add_seed_hosts(now, &hosts));
    }

    /// The process is about to end: waits until another machine that stands by has taken its place, or none does, for
    /// `most_ms` at most.
    pub async fn leave(&self, most_ms: u64) {
        self.turn(|house, now| house.leave(now));
        let until = self.now() + most_ms;
        while !self.house.borrow().consensus().may_stop() && self.now() < until {
            self.wheel.sleep(LEAVE_LOOK_MS).await;
        }
    }

    /// The process is about to end: nobody needs to wait for its lead to run out.
    pub fn resign(&self) {
        self.turn(|house, now| house.resign(now));
    }

    /// Does something with the machine and carries out what follows from it.
    fn turn<R>(&self, act: impl FnOnce(&mut Replica, u64) -> R) -> R {
        let now = self.now();
        let mut house = self.house.borrow_mut();
        let result = act(&mut house, now);
        let effects = house.take_effects();
        drop(house);
        self.carry_out(effects);
        result
    }

    fn carry_out(&self, effects: Effects) {
        effects.events.iter().for_each(tell);
        for (host, envelope) in effects.send {
            self.peers.send(&host, envelope);
        }
        for write in effects.writes {
            let _ = self.disk.send(Job::Log(write));
        }
        for (ticket, answer) in effects.answers {
            if let Some(wait) = self.waits.borrow_mut().remove(&ticket) {
                let _ = wait.send(answer);
            }
        }
        if let Some(text) =
            effects.watch_cache_to_save.and_then(|copy| hint::text(&copy, hint::Moment::now()))
        {
            let _ = self.disk.send(Job::Hint(text));
        }
        if effects.changed {
            self.changed.notify_waiters();
        }
        if effects.wake_changed {
            self.sooner.notify_one();
        }
    }

    // ---- For who waits for the agreement ----

    /// Asks the machine and waits for its answer.
    async fn wait(&self, ask: impl FnOnce(&mut Replica, u64) -> Ticket) -> Answer {
        let (done, told) = oneshot::channel();
        let ticket = self.turn(|house, now| {
            let ticket = ask(house, now);
            self.waits.borrow_mut().insert(ticket, done);
            ticket
        });
        let waiting = Waiting(self, ticket);
        let answer = told.await;
        drop(waiting);
        answer.unwrap_or_else(|_| Answer::NotLeader(self.elsewhere()))
    }

    /// Waits until a majority has confirmed this member's lead after now, then gives the configuration and its version.
    ///
    /// # Errors
    /// It leads no more.
    pub async fn read<R>(
        &self,
        look: impl FnOnce(u64, &serde_json::Value) -> R,
    ) -> Result<R, LeaderRedirect> {
        match self.wait(|house, now| house.read(now)).await {
            Answer::Confirmed => {
                let house = self.house.borrow();
                Ok(look(house.state().version(), house.state().doc()))
            }
            Answer::NotLeader(elsewhere) => Err(elsewhere),
            _ => Err(self.elsewhere()),
        }
    }

    /// An operator's change of the configuration.
    pub async fn change(&self, change: Change) -> Answer {
        self.wait(|house, now| house.change_config(now, change)).await
    }

    /// An operator's order on who is a member of the core.
    pub async fn order(&self, wish: MembershipRequest) -> Answer {
        self.wait(|house, now| house.change_membership(now, wish)).await
    }

    /// The core's machines as this member, which leads, sees them.
    pub fn core_view(&self) -> CoreView {
        self.house.borrow().core_view(self.now())
    }

    /// A zone is evacuated, or taken back.
    pub async fn zone(&self, zone: &str, back: bool) -> Answer {
        self.wait(|house, now| house.change_evacuation(now, zone.to_owned(), back)).await
    }

    /// A tenant's trial is to lapse, or else to be restored.
    pub async fn trial(&self, tenant: &str, lapse: bool) -> Answer {
        self.wait(|house, now| house.change_trial(now, tenant.to_owned(), lapse)).await
    }

    /// The trials of all tenants as this member, which leads, sees them.
    pub fn trials(&self) -> BTreeMap<String, TrialView> {
        let now = self.now();
        self.house.borrow_mut().trial_views(now)
    }

    /// All keyed operations as this member, which leads, knows them, and the claims that it answered since its start.
    pub fn operations(&self) -> serde_json::Value {
        let now = self.now();
        serde_json::json!({
            "table": self.house.borrow().operations_view(now),
            "answered": self.claims.by_answer().into_iter().collect::<BTreeMap<_, _>>(),
            "answered_during_ms": now.saturating_sub(self.begun),
        })
    }

    /// One keyed operation as this member, which leads, knows it.
    pub fn operation(&self, operation: OperationId) -> OperationView {
        self.house.borrow().operation_view(self.now(), operation)
    }

    // ---- For who may ask only a leader; errors: this member doesn't lead, or is not sure of it ----

    /// Counted adds of a gateway.
    ///
    /// # Errors
    /// See above; also where a new gateway can't be put on the log.
    pub async fn units(&self, call: &UnitsCall) -> Result<UnitsAnswer, LeaderRedirect> {
        let (done, told) = oneshot::channel();
        let lent = self.turn(|house, now| {
            let lent = house.request_units(now, call);
            if let Ok(UnitsReply::Pending(ticket)) = lent {
                self.waits.borrow_mut().insert(ticket, done);
            }
            lent
        });
        let ticket = match lent? {
            UnitsReply::Immediate(answer) => return Ok(answer),
            UnitsReply::Pending(ticket) => ticket,
        };
        let waiting = Waiting(self, ticket);
        let answer = told.await;
        drop(waiting);
        match answer {
            Ok(Answer::Units(answer)) => Ok(answer),
            Ok(Answer::NotLeader(elsewhere)) => Err(elsewhere),
            _ => Err(self.elsewhere()),
        }
    }

    /// A gateway claims a keyed operation; `None`: not known whether it is granted, and it is to be repeated unchanged.
    ///
    /// # Errors
    /// See above.
    pub async fn claim(&self, call: &ClaimCall) -> Result<Option<ClaimAnswer>, LeaderRedirect> {
        let (done, told) = oneshot::channel();
        let claimed = self.turn(|house, now| {
            let claimed = house.claim(now, call);
            if let Ok(ClaimReply::Pending(ticket)) = claimed {
                self.waits.borrow_mut().insert(ticket, done);
            }
            claimed
        });
        let answer = match claimed? {
            ClaimReply::Immediate(answer) => Some(answer),
            ClaimReply::Pending(ticket) => {
                let waiting = Waiting(self, ticket);
                let answer = told.await;
                drop(waiting);
                match answer {
                    Ok(Answer::Claim(answer)) => Some(answer),
                    Ok(Answer::NotLeader(elsewhere)) => return Err(elsewhere),
                    _ => None,
                }
            }
        };
        self.claims.answered(answer);
        Ok(answer)
    }

    /// A gateway asks for its shares of paces.
    ///
    /// # Errors
    /// See above.
    pub fn ebb(&self, call: &PaceSharesCall) -> Result<PaceSharesAnswer, LeaderRedirect> {
        self.turn(|house, now| house.request_pace_shares(now, call))
    }

    /// A watch call came.
    ///
    /// # Errors
    /// See above, as in all of these.
    pub fn called(&self, call: &WatchCall) -> Result<HeldWatch, LeaderRedirect> {
        self.turn(|house, now| house.begin_watch(now, call))
    }

    /// What a watch call gets now; `None`: it is to be held.
    ///
    /// # Errors
    /// See above.
    pub fn watch(&self, call: &WatchCall, held: &HeldWatch) -> Result<Option<WatchAnswer>, LeaderRedirect> {
        self.turn(|house, now| house.answer_watch(now, call, held))
    }

    /// The caller of a held watch call went away before its answer.
    pub fn hung_up(&self, call: &WatchCall, held: &HeldWatch) {
        self.turn(|house, now| house.watch_disconnected(now, call, held));
    }

    /// A server says that it lives; a round is to be waited for.
    ///
    /// # Errors
    /// See above.
    pub fn beat(&self, id: &str, beat: &Heartbeat) -> Result<Option<PendingAck>, LeaderRedirect> {
        self.turn(|house, now| house.record_heartbeat(now, id, beat))
    }

    /// A server says that it is gone; a round is to be waited for.
    ///
    /// # Errors
    /// See above.
    pub fn gone(&self, id: &str) -> Result<PendingAck, LeaderRedirect> {
        self.turn(|house, now| house.remove_server(now, id))
    }

    /// Waits until a round is over; not for long.
    ///
    /// # Errors
    /// See above.
    pub async fn come_round(&self, round: &PendingAck) -> Result<(), LeaderRedirect> {
        loop {
            let changed = self.changed.notified();
            if self.turn(|house, now| house.ack_ready(now, round))? {
                return Ok(());
            }
            let now = self.now();
            self.wheel.timeout(round.next_check_at(now).saturating_sub(now) as f64, changed).await;
        }
    }

    // ---- For followers ----

    /// Who leads, as far as is known here; never this machine.
    pub fn elsewhere(&self) -> LeaderRedirect {
        self.house.borrow().leader_redirect()
    }

    /// The call that asks a leader for what is new.
    pub fn ask(&self, life: u64) -> WatchCall {
        self.house.borrow().watch_call(life)
    }

    /// What a leader answered.
    ///
    /// # Errors
    /// It leads back.
    pub fn learned(&self, answer: WatchAnswer) -> Result<CatalogUpdate, ApplyError> {
        let now = self.now();
        self.house.borrow_mut().apply_watch_answer(now, answer)
    }

    // ---- For everyone ----

    /// All gateways, as far as is known here.
    pub fn roster(&self) -> Rc<Vec<GatewayInfo>> {
        self.house.borrow().roster()
    }

    /// What operators see of this member.
    pub fn status(&self) -> serde_json::Value {
        let house = self.house.borrow();
        let (book, state, roster) = (house.consensus(), house.state(), house.roster());
        let servers = match house.leader_state() {
            Some((register, _)) => register.server_counts(),
            None => nickeljunction_registry::count_servers(
                house.watch_cache().catalog().servers.values().map(|line| &**line),
            ),
        };
        let mut shown = serde_json::json!({
            "node_name": self.place.name,
            "host": self.place.host,
            "leads": house.leader_state().is_some(),
            "leader": book.leader().map(|member| member.host),
            "term": book.term(),
            "commit": book.commit(),
            "members": book.members().iter().map(|member| member.host.clone()).collect::<Vec<_>>(),
            "quorum_age_ms": book.quorum_age(self.now()),
            "disk_sick": book.disk_failed(),
            "config_version": state.version(),
            "evacuated": state.evacuated(),
            "operations": crate::resources::operations::standing(&house, self.now()),
            "servers": servers,
            "gateways": roster.iter().map(|line| serde_json::json!({
                "name": line.name, "front": line.front, "zone": line.zone, "ready": line.ready,
            })).collect::<Vec<_>>(),
            "zones": self.place.zones,
        });
        if let Some((register, counter)) = house.leader_state() {
            crate::resources::status::add_lead(&mut shown, register, counter, self.now());
        }
        shown
    }
}
