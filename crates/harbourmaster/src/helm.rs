//! The one owner of what a core member knows: the agreement, the state that its log makes, and, while it leads, the
//! registers and the counter. Handlers of calls come in here; nothing waits in here.

use crate::disk::Job;
use crate::hint;
use crate::peers::Peers;
use crate::statutes::{Entry, Outcome, Statutes};
use hashbrown::HashMap;
use nickeljunction_berths::{Applied, Copy, Refused, Register};
use nickeljunction_bunker::{Counter, Limit, Roll};
use nickeljunction_chandler::wheel::Wheel;
use nickeljunction_logbook::{Logbook, NotLeader, Outputs, ReadTicket};
use nickeljunction_manifest::{Bounds, Document};
use nickeljunction_signals::{
    Caller, ConfigLine, Elsewhere, GatewayLine, UnitsAnswer, UnitsCall, WatchAnswer, WatchCall,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, Notify};

/// Between two looks whether there is something to note down, ms.
const HINT_MS: f64 = 500.0;
/// It is written again after so long, ms, whether it has changed or not.
const HINT_AGAIN_MS: u64 = 3_000;
/// Entries applied between two snapshots of the log.
const SNAPSHOT_EVERY: u64 = 64;
/// How long a gateway's counted add waits for the log, ms: below its own time-out.
const ENROLL_MS: f64 = 250.0;

/// What this process needs to know of itself.
pub struct Place {
    /// Name of its machine.
    pub name: String,
    /// IP address of its machine.
    pub host: String,
    /// Port of control on every machine.
    pub control_port: u16,
    /// First inner port of every machine.
    pub inner_port: u16,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Figures of the rules.
    pub bounds: Bounds,
    /// Servers beat about that often, ms.
    pub heartbeat_ms: u64,
    /// A leader whose majority has not answered for so long answers nobody: below the time in which another one can be
    /// elected.
    pub lease_ms: u64,
}

/// What only a leader has.
struct Lead {
    term: u64,
    register: Register,
    counter: Counter,
    /// Version of the configuration that `register` and `counter` know.
    version: u64,
    /// The counter's wish to forget lives is on its way to the log.
    forgets: bool,
}

struct Inner {
    book: Logbook,
    statutes: Statutes,
    /// Index of the last entry that `statutes` holds.
    applied: u64,
    snapshot_at: u64,
    lead: Option<Lead>,
    copy: Copy,
    /// Proposals by index, with their term.
    waits: HashMap<u64, (u64, oneshot::Sender<Option<Outcome>>), ahash::RandomState>,
    reads: HashMap<ReadTicket, oneshot::Sender<bool>, ahash::RandomState>,
}

/// See the module.
pub struct Helm {
    /// This process.
    pub place: Place,
    wheel: Wheel,
    inner: RefCell<Inner>,
    disk: mpsc::UnboundedSender<Job>,
    peers: Rc<Peers>,
    /// Something changed: held calls look again.
    pub changed: Notify,
    /// The loop's next wake may have come nearer.
    sooner: Notify,
}

impl Helm {
    /// What was known of servers and gateways when this machine's process before ended.
    pub fn remember(&self, copy: Copy) {
        log::info!("event=hint_loaded term={} servers={}", copy.term(), copy.chart().servers.len());
        self.inner.borrow_mut().copy = copy;
    }

    /// Writes down what is known of servers and gateways, as it changes; runs for as long as it is polled.
    pub async fn note_down(self: Rc<Self>) {
        let (mut noted, mut noted_at) = ((0, 0), 0);
        loop {
            self.wheel.sleep(HINT_MS).await;
            let inner = self.inner.borrow();
            // What has not changed is written again all the same, or it would pass for old.
            let old = self.now() >= noted_at + HINT_AGAIN_MS;
            let copy = match &inner.lead {
                None => inner.copy.clone(),
                Some(lead) if !old && (lead.term, lead.register.seq()) == noted => continue,
                Some(lead) => {
                    let mut copy = Copy::new();
                    let ask = copy.ask(Caller::Core, &self.place.name, 0, None, 0);
                    if let Some(answer) = lead.register.answer(&ask, 0) {
                        let _ = copy.apply(WatchAnswer { config: None, ..answer });
                    }
                    copy
                }
            };
            let now = (copy.term(), copy.seq());
            if now == noted && !old {
                continue;
            }
            if let Some(text) = hint::text(&copy, hint::steady_ms()) {
                (noted, noted_at) = (now, self.now());
                let _ = self.disk.send(Job::Hint(text));
            }
        }
    }

    /// A member that has loaded its disk. `disk` takes writes in order; what became of each is told to
    /// [`Helm::written`].
    pub fn new(
        place: Place,
        wheel: Wheel,
        book: Logbook,
        disk: mpsc::UnboundedSender<Job>,
        peers: Rc<Peers>,
    ) -> Rc<Helm> {
        let inner = Inner {
            book,
            statutes: Statutes::default(),
            applied: 0,
            snapshot_at: 0,
            lead: None,
            copy: Copy::new(),
            waits: HashMap::default(),
            reads: HashMap::default(),
        };
        let (changed, sooner) = (Notify::new(), Notify::new());
        Rc::new(Helm { place, wheel, inner: RefCell::new(inner), disk, peers, changed, sooner })
    }

    /// The steady clock, whole ms.
    pub fn now(&self) -> u64 {
        self.wheel.now() as u64
    }

    /// Timers.
    pub fn wheel(&self) -> &Wheel {
        &self.wheel
    }

    /// Turns the agreement's clock and the registers' for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        loop {
            let wake = self.inner.borrow().book.next_wake() as f64;
            tokio::select! {
                () = self.sooner.notified() => continue,
                () = self.wheel.sleep_until(wake) => {}
            }
            self.turn(|inner, now| inner.book.tick(now));
        }
    }

    /// Ages the registers; runs for as long as it is polled.
    pub async fn age(self: Rc<Self>) {
        loop {
            self.wheel.sleep(200.0).await;
            let now = self.now();
            let mut inner = self.inner.borrow_mut();
            let Some(lead) = inner.lead.as_mut() else { continue };
            let before = lead.register.seq();
            for life in lead.register.tick(now) {
                log::info!("event=server_silent life={life}");
            }
            let news = lead.register.seq() != before;
            let forget = if lead.forgets { None } else { lead.counter.after(now) };
            lead.forgets |= forget.is_some();
            drop(inner);
            if news {
                self.changed.notify_waiters();
            }
            if let Some(roll) = forget {
                let helm = self.clone();
                tokio::task::spawn_local(async move {
                    helm.enroll(roll).await;
                    if let Some(lead) = helm.inner.borrow_mut().lead.as_mut() {
                        lead.forgets = false;
                    }
                });
            }
        }
    }

    /// Puts a change of the list of gateways' processes on the log; whether it is committed.
    async fn enroll(&self, roll: Roll) -> bool {
        let Roll { come, gone } = roll;
        log::info!(
            "event=gateways_enrolled come={:?} gone={}",
            come.values().collect::<Vec<_>>(),
            gone.len()
        );
        self.propose(&Entry::Gateways { come, gone }).await.is_some()
    }

    /// Messages of other members came in.
    pub fn heard(&self, messages: Vec<nickeljunction_logbook::Envelope>) {
        self.turn(|inner, now| messages.into_iter().for_each(|message| inner.book.step(now, message)));
    }

    /// What became of a write.
    pub fn written(&self, ticket: u64, fine: bool) {
        self.turn(|inner, now| match fine {
            true => inner.book.written(now, ticket),
            false => inner.book.write_failed(now, ticket),
        });
    }

    /// Other hosts where members may be found, for one that isn't a member.
    pub fn seek(&self, hosts: Vec<String>) {
        self.turn(|inner, _| inner.book.seek(&hosts));
    }

    /// The process is about to end: nobody needs to wait for its lead to run out.
    pub fn resign(&self) {
        self.turn(|inner, now| inner.book.resign(now));
    }

    /// Does something with the agreement and carries out what follows from it.
    fn turn(&self, act: impl FnOnce(&mut Inner, u64)) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        act(&mut inner, now);
        loop {
            let outputs = inner.book.take();
            if outputs == Outputs::default() {
                break;
            }
            self.carry_out(&mut inner, outputs);
        }
        self.take_or_leave_lead(&mut inner, now);
        drop(inner);
        self.sooner.notify_one();
    }

    fn carry_out(&self, inner: &mut Inner, outputs: Outputs) {
        let now = self.now();
        if let Some(snapshot) = outputs.restored_state {
            // The very first one holds only the members.
            match snapshot.state.is_empty() {
                true => inner.statutes = Statutes::default(),
                false => match Statutes::from_text(&snapshot.state) {
                    Ok(statutes) => inner.statutes = statutes,
                    // Written by this program and checked on the disk: a fault, but no reason to end.
                    Err(error) => log::error!(
                        "event=snapshot_unreadable index={} error={:?}",
                        snapshot.index,
                        error.to_string()
                    ),
                },
            }
            (inner.applied, inner.snapshot_at) = (snapshot.index, snapshot.index);
        }
        let news = !outputs.committed.is_empty();
        for entry in outputs.committed {
            inner.applied = entry.index;
            let outcome = entry.data().and_then(|data| match serde_json::from_str::<Entry>(data) {
                Ok(entry) => Some(inner.statutes.apply(entry)),
                Err(error) => {
                    log::error!("event=entry_unreadable index={} error={:?}", entry.index, error.to_string());
                    None
                }
            });
            if let Some((term, wait)) = inner.waits.remove(&entry.index) {
                // Another leader's entry in the place of ours: ours is not known to be taken.
                let _ = wait.send(outcome.filter(|_| term == entry.term));
            }
        }
        for (host, envelope) in outputs.send {
            self.peers.send(&host, envelope);
        }
        for write in outputs.writes {
            let _ = self.disk.send(Job::Log(write));
        }
        for (ticket, fine) in outputs.reads {
            if let Some(read) = inner.reads.remove(&ticket) {
                let _ = read.send(fine);
            }
        }
        for index in outputs.lost {
            if let Some((_, wait)) = inner.waits.remove(&index) {
                let _ = wait.send(None);
            }
        }
        if inner.applied >= inner.snapshot_at + SNAPSHOT_EVERY {
            inner.snapshot_at = inner.applied;
            let (index, text) = (inner.applied, inner.statutes.to_text());
            inner.book.snapshot(now, index, text);
        }
        if news {
            self.publish(inner, now);
            self.changed.notify_waiters();
        }
    }

    /// Tells registers and counter what the log says.
    fn publish(&self, inner: &mut Inner, now: u64) {
        let Some(lead) = inner.lead.as_mut() else { return };
        lead.register.evacuated(now, inner.statutes.evacuated().clone());
        lead.register.core(inner.book.members().iter().map(|member| member.host.clone()).collect());
        lead.counter.logged(inner.statutes.gateways());
        let version = inner.statutes.version();
        if version > lead.version {
            lead.version = version;
            lead.register.config(Rc::new(ConfigLine { version, doc: inner.statutes.doc().clone() }));
            lead.counter.limits(now, &self.limits(&inner.statutes));
        }
    }

    fn limits(&self, statutes: &Statutes) -> BTreeMap<String, Limit> {
        let bounds = &self.place.bounds;
        let Ok(document) = Document::of(statutes.doc().clone()) else { return BTreeMap::new() };
        let limit = |tenant: &nickeljunction_manifest::Tenant| {
            let (rate, burst) = tenant.quota()?;
            let (window, overrun, slack) = (bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack);
            Limit::with_margin(rate, burst, window, overrun, slack)
        };
        let tenants = document.config().tenants.iter();
        tenants.filter_map(|(name, tenant)| Some((name.clone(), limit(tenant)?))).collect()
    }

    fn take_or_leave_lead(&self, inner: &mut Inner, now: u64) {
        let term = inner.book.term();
        let leads = inner.book.ready();
        if !leads {
            if let Some(lead) = inner.lead.take() {
                log::info!("event=lead_ended term={}", lead.term);
                // What it knew is what the next leader starts from, which may be this very member: one whose majority
                // was away for seconds would else begin with an empty register.
                let ask = inner.copy.ask(Caller::Core, &self.place.name, 0, None, 0);
                if let Some(answer) = lead.register.answer(&ask, 0) {
                    let _ = inner.copy.apply(answer);
                }
                self.changed.notify_waiters();
            }
            return;
        }
        if inner.lead.as_ref().is_some_and(|lead| lead.term == term) {
            return;
        }
        let tuning = nickeljunction_berths::Tuning::new(self.place.heartbeat_ms, self.place.zones.clone());
        let copy = std::mem::take(&mut inner.copy);
        let window = (self.place.bounds.quota_window_s * 1_000.0) as u64;
        let known = inner.statutes.gateways().clone();
        let counter = Counter::new(now, term, nickeljunction_bunker::Tuning::new(window), known);
        let register = Register::new(now, tuning, term, Some(copy));
        log::info!(
            "event=lead_begun term={term} servers={} gateways={}",
            register.servers(),
            register.gateways()
        );
        inner.lead = Some(Lead { term, register, counter, version: 0, forgets: false });
        self.publish(inner, now);
        self.changed.notify_waiters();
    }

    // ---- For who may ask only a leader ----

    /// Does something with the registers and the counter, if this member surely leads.
    fn with_lead<R>(&self, act: impl FnOnce(&mut Lead, u64, u64) -> R) -> Result<R, Elsewhere> {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let leader = inner.book.leader().map(|member| member.host);
        // A leader that was frozen or cut off may have a successor by now: it must not answer as one.
        let age = inner.book.quorum_age(now).filter(|age| *age < self.place.lease_ms);
        let own = Some(self.place.host.as_str());
        let elsewhere = || Elsewhere { leader: leader.clone().filter(|host| Some(host.as_str()) != own) };
        let age = age.ok_or_else(elsewhere)?;
        let lead = inner.lead.as_mut().ok_or_else(elsewhere)?;
        let before = lead.register.seq();
        let result = act(lead, now, age);
        let news = lead.register.seq() != before;
        drop(inner);
        if news {
            self.changed.notify_waiters();
        }
        Ok(result)
    }

    /// Does something with the register of servers and gateways.
    ///
    /// # Errors
    /// This member doesn't lead, or is not sure of it.
    pub fn register<R>(&self, act: impl FnOnce(&mut Register, u64) -> R) -> Result<R, Elsewhere> {
        self.with_lead(|lead, now, _| act(&mut lead.register, now))
    }

    /// What a watch call gets now; `None`: it is to be held.
    ///
    /// # Errors
    /// This member doesn't lead, or is not sure of it.
    pub fn watch(&self, call: &WatchCall, last: bool) -> Result<Option<WatchAnswer>, Elsewhere> {
        self.with_lead(|lead, _, age| {
            let news = lead.register.answer(call, age);
            if last {
                news.or_else(|| Some(lead.register.nothing(age)))
            } else {
                news
            }
        })
    }

    /// Counted adds of a gateway. One that is new is put on the log first: nobody has units whom a later leader would not
    /// know of.
    ///
    /// # Errors
    /// This member doesn't lead, is not sure of it, or can't put the gateway on the log.
    pub async fn units(&self, call: &UnitsCall) -> Result<UnitsAnswer, Elsewhere> {
        if let Some(roll) = self.with_lead(|lead, now, _| lead.counter.before(now, call))? {
            if !self.wheel.timeout(ENROLL_MS, self.enroll(roll)).await.unwrap_or(false) {
                return Err(self.elsewhere());
            }
            self.with_lead(|lead, _, _| lead.counter.came(call.life))?;
        }
        self.with_lead(|lead, now, age_ms| {
            let gateways = lead.register.gateways() as usize;
            UnitsAnswer { age_ms, version: lead.version, ..lead.counter.call(now, call, gateways) }
        })
    }

    /// Waits until a majority has confirmed this member's lead after now, then gives the state.
    ///
    /// # Errors
    /// It leads no more.
    pub async fn read(&self) -> Result<Statutes, Elsewhere> {
        let (done, confirmed) = oneshot::channel();
        let mut asked = Ok(());
        self.turn(|inner, now| match inner.book.read(now) {
            Ok(ticket) => drop(inner.reads.insert(ticket, done)),
            Err(error) => asked = Err(error),
        });
        if asked.is_err() || !confirmed.await.unwrap_or(false) {
            return Err(self.elsewhere());
        }
        Ok(self.inner.borrow().statutes.clone())
    }

    /// Puts an entry on the log; `None`: whether it will be taken is not known.
    pub async fn propose(&self, entry: &Entry) -> Option<Outcome> {
        let (done, applied) = oneshot::channel();
        let data = serde_json::to_string(entry).ok()?;
        self.turn(|inner, now| match inner.book.propose(now, data) {
            Ok(index) => {
                let term = inner.book.term();
                inner.waits.insert(index, (term, done));
            }
            Err(NotLeader::Elsewhere(_)) => {}
            Err(error) => log::warn!("event=proposal_refused error={:?}", error.to_string()),
        });
        applied.await.ok().flatten()
    }

    /// Who leads, as far as is known here; never this machine.
    pub fn elsewhere(&self) -> Elsewhere {
        let leader = self.inner.borrow().book.leader().map(|member| member.host);
        Elsewhere { leader: leader.filter(|host| *host != self.place.host) }
    }

    // ---- For followers ----

    /// Whom to watch: the leader, if it is another machine.
    pub fn leader_to_watch(&self) -> Option<String> {
        self.elsewhere().leader
    }

    /// The call that asks a leader for what is new.
    pub fn ask(&self, life: u64, wait_ms: u64) -> WatchCall {
        let inner = self.inner.borrow();
        inner.copy.ask(Caller::Core, &self.place.name, life, None, wait_ms)
    }

    /// What a leader answered.
    ///
    /// # Errors
    /// It leads back.
    pub fn learned(&self, answer: WatchAnswer) -> Result<Applied, Refused> {
        let mut inner = self.inner.borrow_mut();
        // A leader's own registers are the truth.
        if inner.lead.is_some() {
            return Ok(Applied::default());
        }
        inner.copy.apply(answer)
    }

    // ---- For everyone ----

    /// All gateways, as far as is known here.
    pub fn roster(&self) -> Rc<Vec<GatewayLine>> {
        let inner = self.inner.borrow();
        match &inner.lead {
            Some(lead) => lead.register.roster(),
            None => inner.copy.chart().roster.clone(),
        }
    }

    /// Hosts of the core's members, as far as is known here.
    pub fn core(&self) -> Vec<String> {
        self.inner.borrow().book.members().iter().map(|member| member.host.clone()).collect()
    }

    /// What operators see of this member.
    pub fn status(&self) -> serde_json::Value {
        let inner = self.inner.borrow();
        let chart = inner.copy.chart();
        let (roster, leads) = match &inner.lead {
            Some(lead) => (lead.register.roster(), true),
            None => (chart.roster.clone(), false),
        };
        let servers = match &inner.lead {
            Some(lead) => lead.register.tally(),
            None => nickeljunction_berths::tally(chart.servers.values().map(|line| &**line)),
        };
        let mut shown = serde_json::json!({
            "node_name": self.place.name,
            "host": self.place.host,
            "leads": leads,
            "leader": inner.book.leader().map(|member| member.host),
            "term": inner.book.term(),
            "commit": inner.book.commit(),
            "members": inner.book.members().iter().map(|member| member.host.clone()).collect::<Vec<_>>(),
            "quorum_age_ms": inner.book.quorum_age(self.now()),
            "disk_sick": inner.book.sick(),
            "config_version": inner.statutes.version(),
            "evacuated": inner.statutes.evacuated(),
            "servers": servers,
            "gateways": roster.iter().map(|line| serde_json::json!({
                "name": line.name, "front": line.front, "zone": line.zone, "ready": line.ready,
            })).collect::<Vec<_>>(),
            "zones": self.place.zones,
        });
        if let Some(lead) = &inner.lead {
            crate::resources::status::add_lead(&mut shown, &lead.register, &lead.counter, self.now());
        }
        shown
    }
}
