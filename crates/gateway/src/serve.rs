//! The gateway as a process: configuration, wiring, signals. It contains no behaviour of its own.

use crate::admin::{self, Door, Gate};
use crate::change::{Boot, Driver, Parts, NAMES};
use crate::config::{Config, ConfigError};
use crate::control::{Command, Control};
use crate::figures::Figures;
use crate::live::{Base, Files, Live, Pinned};
use crate::net::counter::Counter;
use crate::net::ephemeral::Ephemeral;
use crate::net::hub::{self, World};
use crate::net::inbox::{Inbox, Input};
use crate::net::inherit;
use crate::net::region::Regions;
use crate::net::roster::{self, Source};
use crate::net::terminal::{self, Phase, Terminals};
use crate::paths::beside;
use crate::peers::Peers;
use crate::record::Recorder;
use crate::tally::Tally;
use nickeljunction_config::bundle::{Bundle, Key};
use nickeljunction_config::document::Daemon;
use nickeljunction_config::problem::Problem;
use nickeljunction_core::facade::{CounterReply, Facade, ServiceTable};
use nickeljunction_core::life::Core;
use nickeljunction_net::backoff::Backoff;
use nickeljunction_net::budget::Budget;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use nickeljunction_store::History;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;

/// After SIGTERM, connections that are idle stay open for so long, ms: clients still use them.
const ACCEPTING_MS: f64 = 500.0;
/// After SIGTERM, the program stays at least and at most so long, ms.
const LEAST_STAY_MS: f64 = 750.0;
const MOST_STAY_MS: f64 = 3_500.0;
/// Queue of connections that the system has accepted and the program has not.
const BACKLOG: u32 = 1024;

/// Why the gateway can't run.
#[derive(Debug)]
pub enum Failure {
    /// What it was given is no good: one line each.
    Bad(Vec<String>),
    /// It failed while it ran.
    Failed(String),
}

impl From<String> for Failure {
    fn from(why: String) -> Failure {
        Failure::Failed(why)
    }
}

impl From<ConfigError> for Failure {
    fn from(why: ConfigError) -> Failure {
        Failure::Bad(vec![why.to_string()])
    }
}

impl From<Vec<Problem>> for Failure {
    fn from(problems: Vec<Problem>) -> Failure {
        Failure::Bad(problems.iter().map(ToString::to_string).collect())
    }
}

fn fail(key: &str, why: impl Into<String>) -> ConfigError {
    ConfigError { key: key.to_string(), why: why.into() }
}

/// The configuration's file as it is now; `path`: `None` for the one that `EDGE_CONFIG` names.
///
/// # Errors
/// No file is named, it can't be read, or a key of it can't be used.
pub fn read_file(path: Option<&Path>) -> Result<Config, ConfigError> {
    let named = std::env::var_os("EDGE_CONFIG").map(PathBuf::from);
    let path = path.map(Path::to_path_buf).or(named).ok_or_else(|| fail("EDGE_CONFIG", "not set"))?;
    let text = std::fs::read_to_string(&path).map_err(|why| fail("EDGE_CONFIG", why.to_string()))?;
    Config::parse(&text)
}

/// The configuration with what the environment says in its place.
fn read_config(path: Option<&Path>) -> Result<Config, ConfigError> {
    let mut config = read_file(path)?;
    for (key, address) in [("EDGE_LISTEN", &mut config.listen), ("EDGE_DISCOVERY", &mut config.discovery)] {
        if let Ok(text) = std::env::var(key) {
            *address = text.parse().map_err(|_| fail(key, format!("'{text}' is no address with a port")))?;
        }
    }
    match std::env::var("EDGE_ADMIN_ADDR") {
        Ok(text) if text.is_empty() => {}
        Ok(text) => {
            let address = text
                .parse()
                .map_err(|_| fail("EDGE_ADMIN_ADDR", format!("'{text}' is no address with a port")))?;
            config.admin = Some(address);
        }
        Err(_) => {}
    }
    Ok(config)
}

/// An operator's file: named by the variable, or else at its place; empty text turns it off.
pub fn operators_file(variable: &str, place: &str) -> Option<PathBuf> {
    match std::env::var_os(variable) {
        Some(path) if path.is_empty() => None,
        Some(path) => Some(PathBuf::from(path)),
        None => Some(PathBuf::from(place)).filter(|path| path.exists()),
    }
}

/// A document out of its file, with the files that it names beside it.
///
/// # Errors
/// All that is wrong with it.
pub fn read_document(path: &Path, base: Option<&Config>) -> Result<(Bundle, Daemon), Vec<Problem>> {
    let name = path.display().to_string();
    let read = |path: &Path| std::fs::read_to_string(path).map_err(|why| why.to_string());
    let text = read(path).map_err(|why| vec![Problem::of_file(&name, why, "a file that can be read")])?;
    let settings = base.map(|config| &config.settings);
    let (bundle, checked) = Bundle::gather(&name, &text, settings, |file| read(&beside(path, file)))?;
    Ok((bundle, checked.document.daemon.unwrap_or_default()))
}

/// The accepted keys of a document's daemon section; none where it names no file.
///
/// # Errors
/// The file can't be read, or holds something that is no key.
pub fn read_keys(document: &Path, daemon: &Daemon) -> Result<Vec<Key>, Vec<Problem>> {
    let Some(file) = &daemon.keys else { return Ok(Vec::new()) };
    let path = beside(document, file);
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path)
        .map_err(|why| vec![Problem::of_file(&name, why.to_string(), "a file of keys that can be read")])?;
    Key::read(&name, &text)
}

/// What SIGHUP changes besides discovery and the counter.
struct Retune {
    terminals: Rc<Terminals>,
    inbox: Inbox,
    counter_timeout_ms: Rc<Cell<f64>>,
    /// An operators' document holds the settings: the file's are not taken.
    documented: bool,
}

impl Retune {
    /// Takes the file's settings between two turns of the core loop: requests that come after it are read and
    /// decided under them, those already open keep the rules of their class as it was.
    fn take(&self, base: &Base, config: &Config) -> Result<(), String> {
        if self.documented {
            return Ok(());
        }
        let (front, _) = base.files.front(&config.settings)?;
        let (settings, terminals) = (config.settings.clone(), self.terminals.clone());
        let (connect_ms, idle_ms) = (config.connect_ms, config.idle_close_ms);
        self.counter_timeout_ms.set(settings.counter_timeout_ms);
        self.inbox.tell(Input::Turn(Box::new(move |core, now| {
            terminals.front.replace(front);
            core.retime(connect_ms, idle_ms);
            core.retune(now, settings, f64::NEG_INFINITY, 0);
        })));
        Ok(())
    }
}

/// On SIGHUP, hands on where discovery and the counter are by the file: it is newer than the environment;
/// takes its settings, where no operators' document holds them. The rest of the file holds from start to end. A
/// file that can't be used changes nothing, and is counted and told with its place.
#[allow(clippy::too_many_arguments)]
async fn reload(
    path: Option<PathBuf>,
    mut hangup: Signal,
    base: Rc<Base>,
    sources: Rc<watch::Sender<Source>>,
    counter: Rc<watch::Sender<Option<SocketAddr>>>,
    pinned: Rc<Pinned>,
    figures: Rc<Figures>,
    retune: Retune,
) {
    let named =
        || path.clone().or_else(|| std::env::var_os("EDGE_CONFIG").map(PathBuf::from)).unwrap_or_default();
    while hangup.recv().await.is_some() {
        let read = read_file(path.as_deref()).and_then(|config| config.retunable().map(|()| config));
        let read = read.map_err(|why| why.to_string()).and_then(|config| {
            retune.take(&base, &config)?;
            Ok(config)
        });
        figures.loaded(read.is_ok());
        match read {
            Ok(config) => {
                let at = config.counter.map_or_else(|| "none".to_string(), |address| address.to_string());
                tracing::info!(discovery = %config.discovery, counter = at, "reloaded");
                base.counter.set(config.counter);
                // Ephemeral nodes of an operator's file go before discovery, as at the start.
                if matches!(*base.source.borrow(), Source::Discovery(_)) {
                    base.source.replace(Source::Discovery(config.discovery));
                }
                if !pinned.source.get() {
                    let source = base.source.borrow().clone();
                    sources.send_if_modified(|old| {
                        let other = *old != source;
                        *old = source;
                        other
                    });
                }
                if !pinned.counter.get() {
                    counter.send_if_modified(|old| std::mem::replace(old, config.counter) != config.counter);
                }
            }
            Err(why) => tracing::error!(file = %named().display(), "{why}: nothing of the file is taken"),
        }
    }
    std::future::pending().await
}

/// What the gateway is started with.
#[derive(Debug, Default)]
pub struct Start {
    /// The configuration's file; `None`: the one that `EDGE_CONFIG` names.
    pub config: Option<PathBuf>,
    /// The operators' document.
    pub document: Option<PathBuf>,
}

/// An operators' document at the start, with what it opens.
struct Opened {
    bundle: Bundle,
    daemon: Daemon,
    keys: Vec<Key>,
    history: History,
    control: Option<Control>,
}

fn open(path: &Path, config: &Config) -> Result<Opened, Failure> {
    let (bundle, daemon) = read_document(path, Some(config))?;
    let keys = read_keys(path, &daemon)?;
    let bad = |why: String| Failure::Bad(vec![why]);
    let history = match &daemon.history {
        Some(file) => History::open(&beside(path, file)).map_err(|why| bad(why.to_string()))?,
        None => History::in_memory().map_err(|why| bad(why.to_string()))?,
    };
    if !history.is_durable() {
        tracing::warn!("the history of changes is in memory: it ends with this process");
    }
    let control = daemon.control.as_ref().map(|file| Control::listen(&beside(path, file))).transpose();
    Ok(Opened { bundle, daemon, keys, history, control: control.map_err(bad)? })
}

/// Runs the gateway until a signal ends it.
///
/// # Errors
/// What it was given is no good, or it failed while it ran.
pub fn serve(start: Start) -> Result<(), Failure> {
    let config = read_config(start.config.as_deref())?;
    // Before the runtime, which may start threads: taking it sets variables of the process.
    let inherited = inherit::take().map_err(|why| Failure::Bad(vec![why]))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|why| format!("no runtime: {why}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, run(start, config, inherited))
}

/// The clients' listener: the inherited one where the platform hands one on, else bound here.
fn listener(config: &Config, inherited: Option<std::net::TcpListener>) -> Result<TcpListener, String> {
    if let Some(inherited) = inherited {
        let adopt = || {
            inherited.set_nonblocking(true)?;
            TcpListener::from_std(inherited)
        };
        return adopt().map_err(|why| format!("{}: {why}", inherit::SOCKET_FD));
    }
    let listen = || {
        let socket = if config.listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(config.listen)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|why: std::io::Error| format!("configuration: listen: {}: {why}", config.listen))
}

async fn run(start: Start, config: Config, inherited: Option<std::net::TcpListener>) -> Result<(), Failure> {
    // First of all, and long before readiness: until then each of these signals ends the program.
    let on = |kind| signal(kind).map_err(|why| Failure::Failed(format!("signals: {why}")));
    let (mut stop, mut interrupt) = (on(SignalKind::terminate())?, on(SignalKind::interrupt())?);
    let hangup = on(SignalKind::hangup())?;
    let clock = Clock::start();
    let wheel = Wheel::new(clock);
    let mut turning = spawn_local(wheel.clone().run());
    // The admin door's callers have descriptors of their own, and its listener one more.
    let budget = Budget::new(config.sockets - config.admin.map_or(0, |_| admin::MOST_CALLERS + 1));
    let figures = Rc::new(Figures::new(config.settings.classes.iter().map(|class| class.name.as_str())));
    // Bound first: a process that can't have its door must say so before it says yes anywhere.
    let door = config.admin.map(admin::bind).transpose()?;
    let (to, inputs) = mpsc::unbounded_channel();
    let inbox = Inbox::new(to);

    let files = Files {
        front: operators_file("NICKELJUNCTION_FRONT", "deploy/front.json"),
        plugin: operators_file("NICKELJUNCTION_PLUGIN", "deploy/plugin.rhai"),
        ephemeral: operators_file("NICKELJUNCTION_EPHEMERAL", "deploy/ephemeral.json"),
    };
    let opened = start.document.as_ref().map(|path| open(path, &config)).transpose()?;
    let (front, strict) = files.front(&config.settings)?;
    // A document may ask for never-twice handling at any time.
    let facade = Facade::new(config.settings.clone(), config.seed, strict || opened.is_some())
        .map_err(|why| Failure::Bad(vec![format!("configuration: settings: {why}")]))?;
    let regions = Regions::new(
        budget.clone(),
        wheel.clone(),
        config.connect_ms,
        config.idle_close_ms,
        config.memory,
        figures.clone(),
    );
    let source = match &files.ephemeral {
        None => Source::Discovery(config.discovery),
        Some(path) => Source::Ephemeral(Ephemeral::load(path)?),
    };
    let base = Rc::new(Base {
        files,
        source: RefCell::new(source.clone()),
        counter: Cell::new(config.counter),
        document: start.document.clone().unwrap_or_default(),
        config,
    });
    let config = &base.config;
    // Where there is no counter to vote with, a gateway changes for itself alone.
    let gateways = if config.settings.counter_enabled { config.settings.gateway_count } else { 1 };
    let (opened, boot) = match opened {
        None => (None, None),
        Some(opened) => {
            let boot = Boot::read(&opened.history, &base, &opened.bundle, gateways, wheel.now())?;
            (Some(opened), Some(boot))
        }
    };
    // Bound early, as the door is: a gateway that can't speak to the others must say so before it serves.
    let view = opened.as_ref().and_then(|opened| opened.daemon.fleet.as_ref()).zip(boot.as_ref());
    let peers = view.map(|(section, boot)| Peers::start(section, config, wheel.clone(), boot.epoch() as u32));
    let peers = peers.transpose().map_err(|why| Failure::Bad(vec![why]))?;
    let tally = boot.as_ref().map(|boot| {
        let confirmed = boot.confirmed();
        Rc::new(Tally::new(confirmed.document.guard.clone(), &confirmed.settings, boot.epoch()))
    });
    let (sources_at, sources) = watch::channel(source);
    let (counter_at, counter) = watch::channel(config.counter);
    let (sources_at, counter_at) = (Rc::new(sources_at), Rc::new(counter_at));
    let (votes, voted) = mpsc::unbounded_channel();
    let counted = {
        let (inbox, tally) = (inbox.clone(), tally.clone());
        Rc::new(move |name: String, reply| {
            if let Some(tally) = &tally {
                let late = matches!(reply, CounterReply::Late(_) | CounterReply::Unresolved);
                if !late {
                    tally.counted(clock.now(), matches!(reply, CounterReply::Total(_)));
                }
                if name.starts_with(NAMES) {
                    let _ = votes.send((name, reply));
                    return;
                }
            }
            inbox.tell(Input::Counted(name, reply));
        })
    };
    let counter_timeout_ms = Rc::new(Cell::new(config.settings.counter_timeout_ms));
    let counter = Counter::start(counter, counter_timeout_ms.clone(), wheel.clone(), counted);
    let pinned = Rc::new(Pinned::default());
    let world = World {
        regions: regions.clone(),
        counter: counter.clone(),
        inbox: inbox.clone(),
        out: HashMap::new(),
        host: "service.internal".to_string(),
        tally: tally.clone(),
        wheel: wheel.clone(),
    };
    let mut core = Core::new(facade, world);
    // Recording begins before anything goes into the module: only then can it be replayed.
    let recording = boot.as_ref().and_then(|boot| boot.confirmed().trace().cloned());
    if let Some(place) = &recording {
        let mut recorder = Recorder::start(&config.name, place.clone());
        recorder.boot(wheel.now(), &config.name, config.seed, true, &config.settings);
        core.set_tap(Some(Box::new(recorder)));
    }
    regions.follow(&config.known);
    let (rev, listed) = (config.known.rev, !config.known.regions.is_empty());
    core.update_service_table(wheel.now(), config.known.clone(), true);
    let mut deciding = spawn_local(hub::run(core, inputs, wheel.clone()));
    spawn_local(regions.reap());

    let shared = inherited.is_some();
    let listener = listener(config, inherited)?;
    let listening = listener.local_addr();
    let (gate, phase) = Gate::new(wheel.clone());
    if let Some(peers) = peers.clone() {
        spawn_local(peers.clone().run());
        let mut phase = phase.clone();
        // Drains and the stop are told to the others, so that nobody suspects a gateway that left.
        spawn_local(async move {
            while phase.changed().await.is_ok() {
                if *phase.borrow_and_update() == Phase::Serving {
                    peers.stay()
                } else {
                    peers.leave()
                }
            }
        });
    }
    let terminals = Rc::new(Terminals {
        front: RefCell::new(front),
        tally: tally.clone(),
        inbox: inbox.clone(),
        budget,
        wheel: wheel.clone(),
        phase,
        listed: Cell::new(listed),
        open: Cell::new(0),
        ids: Rc::default(),
        waiting: RefCell::default(),
        last: Cell::new(0),
        figures: figures.clone(),
    });
    if let Some(door) = door {
        tracing::info!(admin = %door.local_addr().map_or_else(|why| why.to_string(), |at| at.to_string()), "admin door");
        let door_of =
            Door::new(figures.clone(), terminals.clone(), gate.clone(), peers.clone(), wheel.clone());
        spawn_local(door_of.run(door));
    }
    let retune = Retune {
        terminals: terminals.clone(),
        inbox: inbox.clone(),
        counter_timeout_ms: counter_timeout_ms.clone(),
        documented: start.document.is_some(),
    };
    spawn_local(reload(
        start.config.clone(),
        hangup,
        base.clone(),
        sources_at.clone(),
        counter_at.clone(),
        pinned.clone(),
        figures.clone(),
        retune,
    ));
    let told = {
        let (inbox, terminals) = (inbox.clone(), terminals.clone());
        move |table: ServiceTable| {
            if table.all || !table.regions.is_empty() {
                terminals.listed.set(true);
            }
            inbox.tell(Input::Table(table));
        }
    };
    let mut backoff = match peers.clone() {
        None => Backoff::new(config.settings.gateway_count, config.seed),
        Some(peers) => Backoff::among(Rc::new(move || peers.gateways()), config.seed),
    };
    let first_ms = if listed { backoff.start() } else { 0.0 };
    spawn_local(roster::watch(sources, rev, wheel.clone(), backoff, first_ms, told));
    if let (Some(opened), Some(boot), Some(tally)) = (opened, boot, tally) {
        let live = Live {
            base: base.clone(),
            terminals: terminals.clone(),
            source: sources_at,
            counter: counter_at,
            counter_timeout_ms,
            tally,
            places: RefCell::new(config.settings.plans.clone()),
            recording: RefCell::new(recording),
            pinned,
        };
        let Opened { keys, history, control, .. } = opened;
        let parts = Parts { live, history, keys, inbox: inbox.clone(), counter, wheel: wheel.clone(), peers };
        let driver = Driver::start(parts, boot).await;
        let (to, commands) = mpsc::unbounded_channel::<Command>();
        if let Some(control) = control {
            spawn_local(control.run(to));
        }
        spawn_local(driver.run(commands, voted));
    }
    let accepting = spawn_local(terminal::listen(listener, terminals.clone()));
    let listen = listening.map_or_else(|why| why.to_string(), |address| address.to_string());
    tracing::info!(name = config.name, listen, "serving");

    // Neither of the two tasks ends by itself: without them nothing would ever be answered.
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
        ended = &mut deciding => return Err(format!("the core loop ended: {ended:?}").into()),
        ended = &mut turning => return Err(format!("the timers ended: {ended:?}").into()),
    }
    tracing::info!("stopping");
    let began = wheel.now();
    // A socket shared with the process that follows: what this one does not accept waits there for that one.
    if shared {
        accepting.abort();
    }
    gate.stop(Phase::Draining);
    wheel.sleep(ACCEPTING_MS).await;
    gate.stop(Phase::Closing);
    // Early, since the stay may end without warning, and once more below for what stragglers leave.
    let retire = || {
        let (done, retired) = oneshot::channel();
        inbox.tell(Input::Retire(done));
        retired
    };
    let _ = wheel.timeout(100.0, retire()).await;
    loop {
        wheel.sleep(20.0).await;
        let stayed = wheel.now() - began;
        if stayed >= MOST_STAY_MS || (stayed >= LEAST_STAY_MS && terminals.open.get() == 0) {
            break;
        }
    }
    let _ = wheel.timeout(100.0, retire()).await;
    // What was recorded goes to the disk with the recorder.
    inbox.tell(Input::Turn(Box::new(|core, _| core.record(None))));
    // The calls are written and answered in this time or not at all.
    wheel.sleep(config.settings.counter_timeout_ms.min(100.0) + 10.0).await;
    tracing::info!("stopped");
    Ok(())
}
