//! Drives the transaction machine: commands, counter calls, time and the guard go in; records, swaps and calls
//! come out, each carried out whole before the next. Nothing is decided here.

use crate::control::{Ask, Command, Told};
use crate::live::{Base, Live, Prepared};
use crate::net::counter::Counter;
use crate::net::inbox::{Inbox, Input};
use crate::peers::Peers;
use nickeljunction_config::ballot::Reply;
use nickeljunction_config::bundle::{Bundle, Key, Tag};
use nickeljunction_config::diff::diff;
use nickeljunction_config::problem::Problem;
use nickeljunction_config::transaction::{
    Change, Effect, Epoch, InForce, Machine, Record, Status, Step, Terms,
};
use nickeljunction_core::facade::CounterReply;
use nickeljunction_net::wheel::Wheel;
use nickeljunction_store::History;
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Names at the counter that are the transactions' own begin so.
pub const NAMES: &str = "cfg.";
/// How often the guard looks while it watches, ms.
const WATCH_MS: f64 = 100.0;

/// Something that a command's trial found, off the driver's own task.
enum Tried {
    Stage { built: Box<Prepared>, who: String, why: String, replace: bool },
    Apply { epoch: Epoch, terms: Terms },
}

type Trial = (Result<Tried, Vec<Problem>>, oneshot::Sender<Told>);

/// The history on a thread of its own: a sync of the disk must not hold up the core loop.
struct Keeper {
    to: std::sync::mpsc::Sender<Job>,
    lasting: bool,
}

type Kept<T> = oneshot::Sender<Result<T, String>>;

enum Job {
    Append(Box<Record>, Option<Bundle>, Kept<()>),
    Steps(Kept<Vec<Record>>),
    Document(Epoch, Kept<Option<Bundle>>),
}

impl Keeper {
    fn new(mut history: History) -> Keeper {
        let (to, jobs) = std::sync::mpsc::channel();
        let lasting = history.is_durable();
        std::thread::spawn(move || {
            for job in jobs {
                let text = |why: nickeljunction_store::HistoryError| why.to_string();
                match job {
                    Job::Append(record, document, done) => {
                        let _ = done.send(history.append(&record, document.as_ref()).map_err(text));
                    }
                    Job::Steps(done) => drop(done.send(history.steps().map_err(text))),
                    Job::Document(epoch, done) => drop(done.send(history.document(epoch).map_err(text))),
                }
            }
        });
        Keeper { to, lasting }
    }

    async fn ask<T>(&self, job: impl FnOnce(Kept<T>) -> Job) -> Result<T, String> {
        let (done, kept) = oneshot::channel();
        let _ = self.to.send(job(done));
        kept.await.unwrap_or_else(|_| Err("history: its thread has ended".into()))
    }
}

/// What [`Driver::start`] needs of the gateway.
pub struct Parts {
    /// What serves.
    pub live: Live,
    /// The history.
    pub history: History,
    /// Accepted keys; none: unsigned documents are taken.
    pub keys: Vec<Key>,
    /// To the core loop.
    pub inbox: Inbox,
    /// The counter, for votes.
    pub counter: Counter,
    /// Timers.
    pub wheel: Wheel,
    /// The view of the fleet, where it is on.
    pub peers: Option<Rc<Peers>>,
}

/// The driver's task.
pub struct Driver {
    live: Rc<Live>,
    machine: Machine,
    prepared: BTreeMap<Epoch, Rc<Prepared>>,
    keeper: Keeper,
    keys: Vec<Key>,
    inbox: Inbox,
    counter: Counter,
    wheel: Wheel,
    peers: Option<Rc<Peers>>,
    force: Option<InForce>,
    watching: bool,
    /// When the guard last looked, ms.
    looked: f64,
    /// The last alarm, for the status.
    alarm: Option<String>,
    tried: mpsc::UnboundedSender<Trial>,
    trials: mpsc::UnboundedReceiver<Trial>,
}

/// What a gateway comes up with: out of its history, or the document it was started with.
pub struct Boot {
    machine: Machine,
    prepared: BTreeMap<Epoch, Rc<Prepared>>,
}

impl Boot {
    /// Reads the history and builds the documents that may be in force. `first`: the document that the gateway was
    /// started with, for a history that holds none. `gateways`: how many share the counter.
    ///
    /// # Errors
    /// The history can't be read, or a document can't be built on this configuration.
    pub fn read(
        history: &History,
        base: &Base,
        first: &Bundle,
        gateways: usize,
        now: f64,
    ) -> Result<Boot, Vec<Problem>> {
        let broken = |why: String| vec![Problem::of_file("history", why, "a history that can be read")];
        let steps = history.steps().map_err(|why| broken(why.to_string()))?;
        let mut prepared = BTreeMap::new();
        let Some(machine) = Machine::recover(gateways, now, &steps) else {
            let built = Prepared::build(first, base)?;
            let change = Change {
                epoch: 1,
                base: 0,
                digest: first.digest(),
                fingerprint: built.fingerprint.clone(),
                shared: false,
                who: "the start".into(),
                why: first.name.clone(),
            };
            prepared.insert(1, Rc::new(built));
            return Ok(Boot { machine: Machine::new(gateways, now, change), prepared });
        };
        let status = machine.status();
        let wanted = [Some(status.confirmed), status.change.map(|change| change.epoch), status.doubt];
        for epoch in wanted.into_iter().flatten() {
            let kept = history.document(epoch).map_err(|why| broken(why.to_string()))?;
            let Some(bundle) = kept else { continue };
            match Prepared::build(&bundle, base) {
                Ok(built) => drop(prepared.insert(epoch, Rc::new(built))),
                // Without the confirmed one there is nothing to serve by; another is only not applied.
                Err(problems) if epoch == status.confirmed => return Err(problems),
                Err(problems) => {
                    problems.iter().for_each(|problem| tracing::warn!("epoch {epoch}: {problem}"));
                }
            }
        }
        let confirmed = prepared.get(&status.confirmed);
        let Some(confirmed) = confirmed else {
            return Err(broken(format!("no document of the confirmed epoch {}", status.confirmed)));
        };
        if confirmed.bundle.digest() != first.digest() {
            tracing::warn!(
                epoch = status.confirmed,
                file = first.name,
                "the confirmed document of the history holds; the file differs: stage it to have it in force"
            );
        }
        Ok(Boot { machine, prepared })
    }

    /// The confirmed document.
    pub fn confirmed(&self) -> Rc<Prepared> {
        self.prepared[&self.machine.confirmed()].clone()
    }

    /// Its epoch.
    pub fn epoch(&self) -> Epoch {
        self.machine.confirmed()
    }
}

impl Driver {
    /// Puts in force what the gateway came up with. The listener must not be polled before.
    pub async fn start(parts: Parts, boot: Boot) -> Driver {
        let Parts { live, history, keys, inbox, counter, wheel, peers } = parts;
        let (tried, trials) = mpsc::unbounded_channel();
        let mut driver = Driver {
            live: Rc::new(live),
            machine: boot.machine,
            prepared: boot.prepared,
            keeper: Keeper::new(history),
            keys,
            inbox,
            counter,
            wheel,
            peers,
            force: None,
            watching: false,
            looked: 0.0,
            alarm: None,
            tried,
            trials,
        };
        driver.carry_out().await;
        driver
    }

    /// Runs for as long as it is polled.
    pub async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut counted: mpsc::UnboundedReceiver<(String, CounterReply)>,
    ) {
        loop {
            // From the last look, not from now: commands that come thick and fast must not put it off for ever.
            let look = if self.watching { self.looked + WATCH_MS } else { f64::INFINITY };
            let next = self.machine.next_tick().min(look);
            tokio::select! {
                biased;
                () = self.wheel.sleep_until(next), if next.is_finite() => self.tick(),
                Some((ask, told)) = commands.recv() => self.command(ask, told).await,
                Some((name, reply)) = counted.recv() => {
                    let reply = match reply {
                        CounterReply::Total(total) => Reply::Total(total),
                        CounterReply::Busy | CounterReply::CouldNotConnect => Reply::Nothing,
                        CounterReply::TimedOut => Reply::Unknown,
                        // The machine has gone on from there: it asks again by itself.
                        CounterReply::Late(_) | CounterReply::Unresolved => continue,
                    };
                    self.machine.answered(self.wheel.now(), &name, reply);
                }
                Some((tried, told)) = self.trials.recv() => {
                    let came_to = self.tried(tried);
                    self.carry_out().await;
                    let _ = told.send(came_to);
                }
            }
            self.carry_out().await;
        }
    }

    fn tick(&mut self) {
        let now = self.wheel.now();
        self.machine.tick(now);
        if !self.watching {
            return;
        }
        self.looked = now;
        if let Some(alarm) = self.live.tally.tick(now) {
            let epoch = self.machine.change().map_or(0, |change| change.epoch);
            self.alarm = Some(alarm.to_string());
            self.machine.tripped(now, epoch, &alarm.to_string());
        }
    }

    async fn carry_out(&mut self) {
        loop {
            let effects = self.machine.effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Record(record) => self.keep(record).await,
                    Effect::Force(force) => self.put_in_force(force).await,
                    Effect::Watch(Some(epoch)) => self.watch(epoch),
                    Effect::Watch(None) => {
                        self.watching = false;
                        self.live.tally.watch(self.wheel.now(), None);
                    }
                    Effect::Call(call) => self.counter.call(call.name, call.amount, call.life_ms),
                    Effect::Note(text) => tracing::info!("{text}"),
                }
            }
            self.forget();
        }
    }

    async fn keep(&mut self, record: Record) {
        let new = matches!(record.step, Step::Began { .. } | Step::Staged { .. });
        let document =
            new.then(|| self.prepared.get(&record.epoch).map(|built| built.bundle.clone())).flatten();
        let (epoch, step) = (record.epoch, format!("{:?}", record.step));
        if let Err(why) = self.keeper.ask(|done| Job::Append(Box::new(record), document, done)).await {
            // The gateway serves on. After a crash the history tells an earlier step, which is taken back or
            // asked about; it never tells a later one.
            tracing::error!(epoch, step, "{why}: a step was not kept");
        }
    }

    async fn put_in_force(&mut self, force: InForce) {
        let prepared = &self.prepared;
        let Some(turn) = self.live.turn(force, |epoch| prepared.get(&epoch).cloned()) else {
            tracing::error!(?force, "a document that is to be in force is not prepared");
            return;
        };
        let (done, swapped) = oneshot::channel();
        self.inbox.tell(Input::Turn(Box::new(move |core, now| {
            let began = std::time::Instant::now();
            turn(core, now);
            let _ = done.send(began.elapsed());
        })));
        if let Ok(took) = swapped.await {
            tracing::info!(sections = force.sections, plans = ?force.plans, ?took, "in force");
        }
        if let Some(peers) = &self.peers {
            peers.set_epoch(force.sections as u32);
        }
        self.force = Some(force);
    }

    fn watch(&mut self, epoch: Epoch) {
        let (Some(new), Some(old)) =
            (self.prepared.get(&epoch), self.prepared.get(&self.machine.confirmed()))
        else {
            return;
        };
        let scope = new.scope(old, &self.live.places());
        (self.watching, self.looked, self.alarm) = (true, self.wheel.now(), None);
        self.live.tally.watch(self.wheel.now(), Some((epoch, scope)));
    }

    /// Keeps only the documents that may come in force.
    fn forget(&mut self) {
        let Status { confirmed, change, doubt, .. } = self.machine.status();
        let change = change.map(|change| change.epoch);
        self.prepared
            .retain(|epoch, _| *epoch == confirmed || Some(*epoch) == change || Some(*epoch) == doubt);
    }

    async fn command(&mut self, ask: Ask, told: oneshot::Sender<Told>) {
        let now = self.wheel.now();
        let came_to = match ask {
            Ask::Stage { bundle, tag, who, why, replace } => {
                return self.stage(bundle, tag, (who, why, replace), told);
            }
            Ask::Apply { epoch, who, confirm_within_ms, gather_within_ms } => {
                let terms = Terms { who, confirm_within_ms, gather_within_ms };
                return self.try_apply(epoch, terms, told);
            }
            Ask::Confirm { who } => self.machine.confirm(now, &who).map(|()| "confirmed".to_string()),
            Ask::Rollback { who, why } => {
                self.machine.rollback(now, &who, &why).map(|()| "taken back".to_string())
            }
            Ask::Status => {
                let _ = told.send(Told::done(String::new(), self.status()));
                return;
            }
            Ask::Fleet => {
                let _ = told.send(match &self.peers {
                    Some(peers) => Told::done(String::new(), peers.status()),
                    None => Told::bad(
                        "this gateway keeps no view of the fleet: its document has no daemon.fleet",
                        Vec::new(),
                    ),
                });
                return;
            }
            Ask::History => {
                let steps = self.keeper.ask(Job::Steps).await;
                let _ = told.send(match steps {
                    Ok(steps) => Told::done("", json!({"lasting": self.keeper.lasting, "steps": steps})),
                    Err(why) => Told::failed(why),
                });
                return;
            }
            Ask::Show { epoch } => {
                let document = self.keeper.ask(|done| Job::Document(epoch, done)).await;
                let _ = told.send(match document {
                    Ok(Some(bundle)) => Told::done("", json!({"epoch": epoch, "bundle": bundle})),
                    Ok(None) => Told::failed(format!("no document of epoch {epoch} is kept")),
                    Err(why) => Told::failed(why),
                });
                return;
            }
        };
        self.carry_out().await;
        let _ = told.send(match came_to {
            Ok(text) => Told::done(text, self.status()),
            Err(why) => Told::failed(why.to_string()),
        });
    }

    fn stage(
        &mut self,
        bundle: Bundle,
        tag: Option<Tag>,
        (who, why, replace): (String, String, bool),
        told: oneshot::Sender<Told>,
    ) {
        if !self.keys.is_empty() {
            let signed = tag.as_ref().is_some_and(|tag| bundle.signed_by(tag, &self.keys));
            if !signed {
                let found = if tag.is_some() { "a tag that no accepted key made" } else { "no tag" };
                let problem = Problem::of_file(&bundle.name, found, "a document signed with an accepted key");
                let _ = told.send(Told::bad("refused", vec![problem]));
                return;
            }
        }
        let Some(now) = self.prepared.get(&self.machine.confirmed()).cloned() else { return };
        let built = match Prepared::build(&bundle, &self.live.base) {
            Ok(built) => built,
            Err(problems) => return drop(told.send(Told::bad("refused", problems))),
        };
        if built.document.daemon != now.document.daemon {
            let found = "another 'daemon' section than the one in force";
            let problem = Problem::of_file(&bundle.name, found, "the same: it holds from start to end");
            return drop(told.send(Told::bad("refused", vec![problem])));
        }
        let same = built.bundle.digest() == now.bundle.digest();
        if same && self.machine.status().doubt.is_none() {
            let epoch = self.machine.confirmed();
            return drop(
                told.send(Told::failed(format!("nothing differs from epoch {epoch}, which is in force"))),
            );
        }
        let (to, wheel) = (self.tried.clone(), self.wheel.clone());
        tokio::task::spawn_local(async move {
            let tried = built.try_out(&now, &wheel).await;
            let built = Box::new(built);
            let _ = to.send((tried.map(|()| Tried::Stage { built, who, why, replace }), told));
        });
    }

    /// What was tried when it was staged may have gone since: tried again before it is applied.
    fn try_apply(&mut self, epoch: Option<Epoch>, terms: Terms, told: oneshot::Sender<Told>) {
        let staged = self.machine.change().map(|change| change.epoch);
        let built = staged.and_then(|staged| self.prepared.get(&staged)).cloned();
        let now = self.prepared.get(&self.machine.confirmed()).cloned();
        let (Some(built), Some(now)) = (built, now) else {
            return drop(told.send(Told::failed("nothing is staged")));
        };
        let (to, wheel, epoch) =
            (self.tried.clone(), self.wheel.clone(), epoch.or(staged).unwrap_or_default());
        tokio::task::spawn_local(async move {
            let tried = built.try_out(&now, &wheel).await;
            let _ = to.send((tried.map(|()| Tried::Apply { epoch, terms }), told));
        });
    }

    fn tried(&mut self, tried: Result<Tried, Vec<Problem>>) -> Told {
        let now = self.wheel.now();
        match tried {
            Err(problems) => Told::bad("refused", problems),
            Ok(Tried::Stage { built, who, why, replace }) => {
                let epoch = self.machine.next_epoch();
                let confirmed = self.prepared.get(&self.machine.confirmed());
                let differs = confirmed.is_none_or(|now| now.fingerprint != built.fingerprint)
                    || self.machine.status().doubt.is_some();
                let shared = differs && self.machine.gateways() > 1;
                let change = Change {
                    epoch,
                    base: self.machine.confirmed(),
                    digest: built.bundle.digest(),
                    fingerprint: built.fingerprint.clone(),
                    shared,
                    who,
                    why,
                };
                let differences = confirmed.map(|now| diff(&now.value, &built.value)).unwrap_or_default();
                match self.machine.stage(now, change, replace) {
                    Ok(()) => {
                        self.prepared.insert(epoch, Rc::new(*built));
                        let data = json!({"epoch": epoch, "shared": shared, "differences": differences});
                        Told::done(format!("staged as epoch {epoch}"), data)
                    }
                    Err(why) => Told::failed(why.to_string()),
                }
            }
            Ok(Tried::Apply { epoch, terms }) => match self.machine.apply(now, Some(epoch), terms) {
                Ok(()) => Told::done(format!("epoch {epoch} is being applied"), self.status()),
                Err(why) => Told::failed(why.to_string()),
            },
        }
    }

    fn status(&self) -> serde_json::Value {
        let status = self.machine.status();
        let left_ms = status.until.map(|until| (until - self.wheel.now()).max(0.0));
        let shown = |epoch: Epoch| self.prepared.get(&epoch).map(|built| built.bundle.digest());
        json!({
            "confirmed": status.confirmed,
            "digest": shown(status.confirmed),
            "phase": status.phase,
            "change": status.change,
            "note": status.note,
            "left_ms": left_ms,
            "doubt": status.doubt,
            "in_force": self.force.map(|force| json!({"sections": force.sections, "plans": force.plans})),
            "guard": {"watching": self.watching, "excused": self.live.tally.excused(), "alarm": self.alarm},
            "lasting": self.keeper.lasting,
        })
    }
}
