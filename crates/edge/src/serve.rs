//! Starts the parts of a gateway, and shuts them down in order.

use crate::core_client::{CoreClient, GatewayIdentity};
use crate::drain::drain;
use crate::exchange::Admission;
use crate::frontend::{Frontend, KeyedOperations, Lifecycle};
use crate::metrics::Sources;
use crate::operations::OperationTable;
use crate::proxy::{Proxy, ProxyTuning};
use crate::recall::RecallResource;
use crate::resolve::ResolveResource;
use crate::shutdown::Shutdown;
use crate::table::{SnapshotCell, Table};
use crate::upstream::Location;
use nickeljunction_messages::path;
use nickeljunction_net::budget::Budget;
use nickeljunction_net::caller::Caller;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::desk::{Answering, Call, Desk, Limits, Resource, Response};
use nickeljunction_net::figures;
use nickeljunction_net::start::{listen, Order, Orders, StartError};
use nickeljunction_net::wheel::Wheel;
use nickeljunction_schema::{Settings, SettingsError};
use quick_error::quick_error;
use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// Path of the readiness probe.
const READINESS_PATH: &str = "/-/readiness";
/// Most connections to the readiness probe at a time.
const MAX_READINESS_CONNECTIONS: usize = 16;
/// Path of the directory, which names gateways to clients.
const RESOLVE_PATH: &str = "/-/resolve";
/// How long clients may cache the directory's answer, s.
const DIRECTORY_TTL_S: f64 = 4.0;
/// Most connections to the directory at a time.
const MAX_DIRECTORY_CONNECTIONS: usize = 256;
/// Most connections of other gateways that query the outcome of operations.
const MAX_RECALL_CONNECTIONS: usize = 64;
/// File descriptors reserved for files and for connections between the system's machines.
const RESERVED_DESCRIPTORS: u32 = 232;
/// Interval of the counters in the log, ms.
const LOG_INTERVAL_MS: f64 = 5_000.0;

quick_error! {
    /// Why the program could not start.
    #[derive(Debug)]
    pub enum ServeError {
        /// The settings are invalid.
        Settings(cause: SettingsError) {
            from()
            display("{}", cause)
            source(cause)
        }
        /// A listener or a signal handler could not be set up.
        Start(cause: StartError) {
            from()
            display("{}", cause)
            source(cause)
        }
    }
}

/// Answers the readiness probe.
struct Readiness(Rc<CoreClient>);

impl Resource for Readiness {
    fn handle<'a>(&'a self, _call: Call) -> Answering<'a> {
        Box::pin(async move {
            match self.0.is_ready() {
                true => Response::empty(200),
                false => Response::error(503, "not ready: leaving, or the core has not been heard of"),
            }
        })
    }
}

fn seed_hosts(seeds: &[SocketAddr]) -> Vec<String> {
    seeds.iter().map(|seed| seed.ip().to_string()).collect()
}

/// Serves until SIGTERM or SIGINT; serves metrics at `metrics_address` if it is given.
///
/// # Errors
/// See [`ServeError`].
pub async fn run(settings: Settings, metrics_address: Option<figures::Place>) -> Result<(), ServeError> {
    // Before anything listens: a signal without a handler kills the process.
    let orders = Orders::new()?;
    let addresses = settings.edge_checked()?;
    let mut rng = fastrand::Rng::new();
    let wheel = Wheel::new(Clock::start());
    let bounds = settings.bounds.clone();
    let place = Location {
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
    };
    let max_sockets = settings.limits.max_file_descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
    let budget = Budget::new(max_sockets as usize);
    let tuning = ProxyTuning {
        retry_window_ms: (bounds.retry_window_s * 1_000.0) as u64,
        retry_ratio: bounds.retry_budget_ratio,
        retry_slack: bounds.retry_slack as u32,
        ..ProxyTuning::default()
    };
    let proxy = Proxy::new(wheel.clone(), budget.clone(), place.clone(), rng.u64(..), tuning);
    let table = Rc::new(SnapshotCell::new(Table::empty()));
    let caller = Caller::new(wheel.clone());
    let incarnation = rng.u64(..);
    let identity = GatewayIdentity {
        place,
        client_address: addresses.frontend.to_string(),
        inner_port: addresses.inner_port,
        incarnation,
        bounds: bounds.clone(),
        zones: settings.zones.clone(),
        serves_directory: addresses.directory.is_some(),
    };
    let seeds = seed_hosts(&addresses.seeds);
    let core_client =
        CoreClient::new(identity, wheel.clone(), caller, table.clone(), proxy.clone(), seeds, rng.u64(..));
    let units: Rc<dyn Admission> = core_client.clone();
    proxy.set_admission(Rc::downgrade(&units));
    let lifecycle = Rc::new(Lifecycle::default());
    let frontend = Frontend::new(
        wheel.clone(),
        table,
        core_client.clone(),
        proxy.clone(),
        lifecycle.clone(),
        budget,
        rng.u64(..),
    );
    let operations =
        OperationTable::new(claimant_host(addresses.ip), incarnation, bounds.key_window_s * 1_000.0);
    let operations = Rc::new(RefCell::new(operations));
    frontend.set_keyed_operations(KeyedOperations::new(
        wheel.clone(),
        operations.clone(),
        core_client.clone(),
    ));
    let inner = listen("inner calls", SocketAddr::new(addresses.ip, addresses.inner_port)).await?;
    let recall_desk =
        Desk::new(wheel.clone(), Limits { connections: MAX_RECALL_CONNECTIONS, ..Limits::default() })
            .route(path::RECALL, Rc::new(RecallResource::new(wheel.clone(), operations)));
    let clients = listen("clients", addresses.frontend).await?;
    let readiness = listen("readiness", addresses.readiness).await?;
    let readiness_desk =
        Desk::new(wheel.clone(), Limits { connections: MAX_READINESS_CONNECTIONS, ..Limits::default() })
            .route(READINESS_PATH, Rc::new(Readiness(core_client.clone())));
    if let Some(address) = addresses.directory {
        let resolve =
            ResolveResource::new(core_client.clone(), rng.u64(..), DIRECTORY_TTL_S.min(bounds.ttl_max_s));
        let desk =
            Desk::new(wheel.clone(), Limits { connections: MAX_DIRECTORY_CONNECTIONS, ..Limits::default() });
        let desk = desk.route(RESOLVE_PATH, Rc::new(resolve));
        tokio::task::spawn_local(Rc::new(desk).serve(listen("directory", address).await?));
    }
    // The last listener: its port is fixed, while those of the others vary with the settings.
    if let Some(place) = metrics_address {
        let (front, lifecycle) = (frontend.clone(), lifecycle.clone());
        let sources = Sources { front, lifecycle, proxy: proxy.clone(), link: core_client.clone() };
        figures::offer_at(&wheel, place, addresses.ip, sources.writer()).await?;
    }
    tokio::task::spawn_local(wheel.clone().run());
    tokio::task::spawn_local(proxy.clone().run());
    tokio::task::spawn_local(Rc::new(readiness_desk).serve(readiness));
    tokio::task::spawn_local(Rc::new(recall_desk).serve(inner));
    tokio::task::spawn_local(frontend.clone().serve(clients));
    tokio::task::spawn_local(core_client.clone().run_watch());
    tokio::task::spawn_local(core_client.clone().run_quota_sync());
    tokio::task::spawn_local(core_client.ebb().clone().run_share_refresh(core_client.clone()));
    tokio::task::spawn_local(log_counters(wheel.clone(), frontend, proxy.clone()));
    log::info!("event=serving name={} front={}", settings.node_name, addresses.frontend);

    wait_for_stop(orders, &settings, &core_client).await;
    let (stalled_ms, late_ms) = (wheel.stalled_ms(), wheel.unseen_ms());
    let shutdown = Shutdown::begin(wheel.now(), late_ms, bounds.grace_s * 1_000.0);
    let open = lifecycle.open_connections();
    let name = &settings.node_name;
    log::info!("event=leaving name={name} open={open} stalled_ms={stalled_ms:.0} late_ms={late_ms:.0}");
    core_client.begin_shutdown();
    proxy.begin_shutdown(shutdown);
    lifecycle.begin_shutdown(shutdown);
    drain(&wheel, &lifecycle, shutdown, core_client.return_units()).await;
    log::info!("event=left name={} open={}", settings.node_name, lifecycle.open_connections());
    Ok(())
}

/// The address at which other gateways query this one's operations. Claims can only name IPv4 addresses: with an IPv6
/// address, operations that other gateways ask about stay in doubt.
fn claimant_host(ip: IpAddr) -> Ipv4Addr {
    match ip.to_canonical() {
        IpAddr::V4(host) => host,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    }
}

async fn log_counters(wheel: Wheel, frontend: Rc<Frontend>, proxy: Rc<Proxy>) {
    loop {
        wheel.sleep(LOG_INTERVAL_MS).await;
        log::info!("event=counts {}", frontend.counts().log_line());
        log::info!("{}", proxy.log_line());
        if let Some(line) = frontend.keyed_operations().and_then(|keyed| keyed.log_line()) {
            log::info!("{line}");
        }
        if let Some(line) = frontend.over_quota().take_log_line() {
            log::info!("{line}");
        }
    }
}

/// Returns at SIGTERM or SIGINT; at SIGHUP, reads the settings file again and applies its seeds.
async fn wait_for_stop(mut orders: Orders, settings: &Settings, core_client: &CoreClient) {
    while orders.next().await == Order::Reload {
        let file = &settings.source;
        match Settings::read(file).and_then(|settings| settings.edge_checked()) {
            Ok(addresses) => {
                log::info!("event=settings_read file={file:?}");
                core_client.set_seeds(seed_hosts(&addresses.seeds));
            }
            // Invalid settings change nothing.
            Err(error) => log::error!("event=settings_refused error={:?}", error.to_string()),
        }
    }
}
