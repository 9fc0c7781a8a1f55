//! The gateway: configuration, wiring, signals.

use nickeljunction::clock::Clock;
use nickeljunction::config::{Config, ConfigError};
use nickeljunction::front::openapi::OpenApi;
use nickeljunction::front::platform::Platform;
use nickeljunction::net::budget::Budget;
use nickeljunction::net::counter::Counter;
use nickeljunction::net::ephemeral::{self, Ephemeral};
use nickeljunction::net::hub::{self, World};
use nickeljunction::net::inbox::{Inbox, Input};
use nickeljunction::net::region::Regions;
use nickeljunction::net::service_table;
use nickeljunction::net::terminal::{self, Phase, Terminals};
use nickeljunction::net::wheel::Wheel;
use nickeljunction::plugin::{Hooked, Plugin};
use nickeljunction::reception::Front;
use nickeljunction_core::facade::{Facade, Settings};
use nickeljunction_core::life::Core;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
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

fn fail(key: &str, why: impl Into<String>) -> ConfigError {
    ConfigError { key: key.to_string(), why: why.into() }
}

/// The file as it is now.
fn read_file() -> Result<Config, ConfigError> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| fail("EDGE_CONFIG", "not set"))?;
    let text = std::fs::read_to_string(&path).map_err(|why| fail("EDGE_CONFIG", why.to_string()))?;
    Config::parse(&text)
}

fn read_config() -> Result<Config, ConfigError> {
    let mut config = read_file()?;
    for (key, address) in [("EDGE_LISTEN", &mut config.listen), ("EDGE_DISCOVERY", &mut config.discovery)] {
        if let Ok(text) = std::env::var(key) {
            *address = text.parse().map_err(|_| fail(key, format!("'{text}' is no address with a port")))?;
        }
    }
    Ok(config)
}

/// An operator's file: named by the variable, or else at its place; empty text turns it off.
fn operators_file(variable: &str, place: &str) -> Option<PathBuf> {
    match std::env::var_os(variable) {
        Some(path) if path.is_empty() => None,
        Some(path) => Some(PathBuf::from(path)),
        None => Some(PathBuf::from(place)).filter(|path| path.exists()),
    }
}

/// On SIGHUP, hands on where discovery and the counter are by the file: it is newer than the environment.
/// The rest of the file holds from start to end. A file that can't be used changes nothing.
async fn reload(
    mut hangup: Signal,
    discovery: watch::Sender<SocketAddr>,
    counter: watch::Sender<Option<SocketAddr>>,
) {
    while hangup.recv().await.is_some() {
        match read_file() {
            Ok(config) => {
                let at = config.counter.map_or_else(|| "none".to_string(), |address| address.to_string());
                tracing::info!(discovery = %config.discovery, counter = at, "reloaded");
                discovery
                    .send_if_modified(|old| std::mem::replace(old, config.discovery) != config.discovery);
                counter.send_if_modified(|old| std::mem::replace(old, config.counter) != config.counter);
            }
            Err(why) => tracing::error!("{why}: the former values stay"),
        }
    }
    std::future::pending().await
}

/// The front of this deployment, and whether it may ask for never-twice handling.
fn front(settings: &Settings) -> Result<(Box<dyn Front>, bool), String> {
    let (mut front, mut strict): (Box<dyn Front>, bool) = (Box::new(Platform::new(settings)), false);
    if let Some(path) = operators_file("NICKELJUNCTION_FRONT", "deploy/front.json") {
        let openapi = OpenApi::load(&path, settings).map_err(|why| why.to_string())?;
        openapi.warnings.iter().for_each(|warning| tracing::warn!("{warning}"));
        tracing::info!(file = %path.display(), "routes are an operator's");
        (front, strict) = (Box::new(openapi), true);
    }
    if let Some(path) = operators_file("NICKELJUNCTION_PLUGIN", "deploy/plugin.rhai") {
        let plugin = Plugin::load(&path, settings)?;
        tracing::info!(file = %path.display(), "requests are reviewed by a plugin");
        (front, strict) = (Box::new(Hooked { front, plugin }), true);
    }
    Ok((front, strict))
}

fn main() -> ExitCode {
    let config = match read_config() {
        Ok(config) => config,
        Err(why) => {
            eprintln!("nickeljunction: {why}");
            return ExitCode::from(2);
        }
    };
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false).init();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(why) => {
            eprintln!("nickeljunction: no runtime: {why}");
            return ExitCode::FAILURE;
        }
    };
    match tokio::task::LocalSet::new().block_on(&runtime, run(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("nickeljunction: {why}");
            ExitCode::FAILURE
        }
    }
}

fn listener(config: &Config) -> Result<TcpListener, String> {
    let listen = || {
        let socket = if config.listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(config.listen)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|why: std::io::Error| format!("configuration: listen: {}: {why}", config.listen))
}

async fn run(config: Config) -> Result<(), String> {
    // First of all, and long before readiness: until then each of these signals ends the program.
    let on = |kind| signal(kind).map_err(|why| format!("signals: {why}"));
    let (mut stop, mut interrupt) = (on(SignalKind::terminate())?, on(SignalKind::interrupt())?);
    let hangup = on(SignalKind::hangup())?;
    let wheel = Wheel::new(Clock::start());
    let mut turning = spawn_local(wheel.clone().run());
    let budget = Budget::new(config.sockets);
    let (to, inputs) = mpsc::unbounded_channel();
    let inbox = Inbox::new(to);

    let (front, strict) = front(&config.settings)?;
    let facade = Facade::new(config.settings.clone(), config.seed, strict)
        .map_err(|why| format!("configuration: settings: {why}"))?;
    let regions =
        Regions::new(budget.clone(), wheel.clone(), config.connect_ms, config.idle_close_ms, config.memory);
    let (discovery_at, discovery) = watch::channel(config.discovery);
    let (counter_at, counter) = watch::channel(config.counter);
    let counted = {
        let inbox = inbox.clone();
        Rc::new(move |name, reply| inbox.tell(Input::Counted(name, reply)))
    };
    let counter = Counter::start(counter, config.settings.counter_timeout_ms, wheel.clone(), counted);
    spawn_local(reload(hangup, discovery_at, counter_at));
    let host = "service.internal".to_string();
    let world = World { regions: regions.clone(), counter, inbox: inbox.clone(), out: HashMap::new(), host };
    let mut core = Core::new(facade, world);
    regions.follow(&config.known);
    let (rev, listed) = (config.known.rev, !config.known.regions.is_empty());
    core.table(wheel.now(), config.known.clone(), true);
    let mut deciding = spawn_local(hub::run(core, inputs, wheel.clone()));
    spawn_local(regions.reap());

    let listener = listener(&config)?;
    let listening = listener.local_addr();
    let (set_phase, phase) = watch::channel(Phase::Serving);
    let terminals = Rc::new(Terminals {
        front,
        inbox: inbox.clone(),
        budget,
        wheel: wheel.clone(),
        phase,
        listed: Cell::new(listed),
        open: Cell::new(0),
        ids: Rc::default(),
        waiting: RefCell::default(),
        last: Cell::new(0),
    });
    let told = {
        let (inbox, terminals) = (inbox.clone(), terminals.clone());
        move |table: nickeljunction_core::facade::ServiceTable| {
            if table.all || !table.regions.is_empty() {
                terminals.listed.set(true);
            }
            inbox.tell(Input::Table(table));
        }
    };
    match operators_file("NICKELJUNCTION_EPHEMERAL", "deploy/ephemeral.json") {
        None => drop(spawn_local(service_table::watch(discovery, rev, wheel.clone(), told))),
        Some(path) => drop(spawn_local(ephemeral::watch(Ephemeral::load(&path)?, wheel.clone(), told))),
    }
    spawn_local(terminal::listen(listener, terminals.clone()));
    let listen = listening.map_or_else(|why| why.to_string(), |address| address.to_string());
    tracing::info!(name = config.name, listen, "serving");

    // Neither of the two tasks ends by itself: without them nothing would ever be answered.
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
        ended = &mut deciding => return Err(format!("the core loop ended: {ended:?}")),
        ended = &mut turning => return Err(format!("the timers ended: {ended:?}")),
    }
    tracing::info!("stopping");
    let began = wheel.now();
    let _ = set_phase.send(Phase::Draining);
    wheel.sleep(ACCEPTING_MS).await;
    let _ = set_phase.send(Phase::Closing);
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
    // The calls are written and answered in this time or not at all.
    wheel.sleep(config.settings.counter_timeout_ms.min(100.0) + 10.0).await;
    tracing::info!("stopped");
    Ok(())
}
