//! Brings the parts up and down.

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

/// Where the platform asks whether this gateway is ready.
const READINESS: &str = "/-/readiness";
/// Where clients ask where to go.
const RESOLVE: &str = "/-/resolve";
/// Clients keep the directory's answer for so long, s.
const TTL_S: f64 = 4.0;
/// Clients that ask the directory at once.
const MOST_ASKING: usize = 256;
/// Gateways that ask at once what became of operations.
const MOST_RECALLING: usize = 64;
/// Of the machine's descriptors so many are for files and the system's own connections.
const OTHER_DESCRIPTORS: u32 = 232;
/// Between two rounds of counts in the log, ms.
const NOTE_MS: f64 = 5_000.0;

quick_error! {
    /// Why the program could not start.
    #[derive(Debug)]
    pub enum ServeError {
        /// The settings.
        Settings(cause: SettingsError) {
            from()
            display("{}", cause)
            source(cause)
        }
        /// Listeners and the like.
        Start(cause: StartError) {
            from()
            display("{}", cause)
            source(cause)
        }
    }
}

/// `/-/readiness`.
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

fn hosts(seeds: &[SocketAddr]) -> Vec<String> {
    seeds.iter().map(|seed| seed.ip().to_string()).collect()
}

/// Serves until SIGTERM; figures at this place, where one is given.
///
/// # Errors
/// See [`ServeError`].
pub async fn run(settings: Settings, figures_at: Option<figures::Place>) -> Result<(), ServeError> {
    // Before anything listens: a signal that is not taken ends the process.
    let orders = Orders::new()?;
    let addresses = settings.edge_checked()?;
    let mut dice = fastrand::Rng::new();
    let wheel = Wheel::new(Clock::start());
    let bounds = settings.bounds.clone();
    let place = Location {
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
    };
    let sockets = settings.limits.max_file_descriptors.saturating_sub(OTHER_DESCRIPTORS).max(64);
    let budget = Budget::new(sockets as usize);
    let tuning = ProxyTuning {
        retry_window_ms: (bounds.retry_window_s * 1_000.0) as u64,
        retry_ratio: bounds.retry_budget_ratio,
        retry_slack: bounds.retry_slack as u32,
        ..ProxyTuning::default()
    };
    let proxy = Proxy::new(wheel.clone(), budget.clone(), place.clone(), dice.u64(..), tuning);
    let table = Rc::new(SnapshotCell::new(Table::empty()));
    let caller = Caller::new(wheel.clone());
    let incarnation = dice.u64(..);
    let own = GatewayIdentity {
        place,
        client_address: addresses.frontend.to_string(),
        inner_port: addresses.inner_port,
        incarnation,
        bounds: bounds.clone(),
        zones: settings.zones.clone(),
        serves_directory: addresses.directory.is_some(),
    };
    let seeds = hosts(&addresses.seeds);
    let link = CoreClient::new(own, wheel.clone(), caller, table.clone(), proxy.clone(), seeds, dice.u64(..));
    let units: Rc<dyn Admission> = link.clone();
    proxy.set_admission(Rc::downgrade(&units));
    let lifecycle = Rc::new(Lifecycle::default());
    let front = Frontend::new(
        wheel.clone(),
        table,
        link.clone(),
        proxy.clone(),
        lifecycle.clone(),
        budget,
        dice.u64(..),
    );
    let operations =
        OperationTable::new(claimant_host(addresses.ip), incarnation, bounds.key_window_s * 1_000.0);
    let operations = Rc::new(RefCell::new(operations));
    front.set_keyed_operations(KeyedOperations::new(wheel.clone(), operations.clone(), link.clone()));
    let inner = listen("inner calls", SocketAddr::new(addresses.ip, addresses.inner_port)).await?;
    let recalls = Desk::new(wheel.clone(), Limits { connections: MOST_RECALLING, ..Limits::default() })
        .route(path::RECALL, Rc::new(RecallResource::new(wheel.clone(), operations)));
    let clients = listen("clients", addresses.frontend).await?;
    let readiness = listen("readiness", addresses.readiness).await?;
    let desk = Desk::new(wheel.clone(), Limits { connections: 16, ..Limits::default() })
        .route(READINESS, Rc::new(Readiness(link.clone())));
    if let Some(address) = addresses.directory {
        let resolve = ResolveResource::new(link.clone(), dice.u64(..), TTL_S.min(bounds.ttl_max_s));
        let desk = Desk::new(wheel.clone(), Limits { connections: MOST_ASKING, ..Limits::default() });
        let desk = desk.route(RESOLVE, Rc::new(resolve));
        tokio::task::spawn_local(Rc::new(desk).serve(listen("directory", address).await?));
    }
    // Last of all that listens: its port is fixed, the others are the day's.
    if let Some(place) = figures_at {
        let (front, lifecycle) = (front.clone(), lifecycle.clone());
        let sources = Sources { front, lifecycle, proxy: proxy.clone(), link: link.clone() };
        figures::offer_at(&wheel, place, addresses.ip, sources.writer()).await?;
    }
    tokio::task::spawn_local(wheel.clone().run());
    tokio::task::spawn_local(proxy.clone().run());
    tokio::task::spawn_local(Rc::new(desk).serve(readiness));
    tokio::task::spawn_local(Rc::new(recalls).serve(inner));
    tokio::task::spawn_local(front.clone().serve(clients));
    tokio::task::spawn_local(link.clone().run_watch());
    tokio::task::spawn_local(link.clone().run_quota_sync());
    tokio::task::spawn_local(link.ebb().clone().run_share_refresh(link.clone()));
    let leaving = proxy.clone();
    tokio::task::spawn_local(note(wheel.clone(), front, proxy));
    log::info!("event=serving name={} front={}", settings.node_name, addresses.frontend);

    wait_for_stop(orders, &settings, &link).await;
    let (stalled_ms, late_ms) = (wheel.stalled_ms(), wheel.unseen_ms());
    let shutdown = Shutdown::begin(wheel.now(), late_ms, bounds.grace_s * 1_000.0);
    let open = lifecycle.open_connections();
    let name = &settings.node_name;
    log::info!("event=leaving name={name} open={open} stalled_ms={stalled_ms:.0} late_ms={late_ms:.0}");
    link.begin_shutdown();
    leaving.begin_shutdown(shutdown);
    lifecycle.begin_shutdown(shutdown);
    drain(&wheel, &lifecycle, shutdown, link.return_units()).await;
    log::info!("event=left name={} open={}", settings.node_name, lifecycle.open_connections());
    Ok(())
}

/// Where other gateways ask for this one's operations. Claims name IPv4 addresses only: elsewhere they are in doubt.
fn claimant_host(ip: IpAddr) -> Ipv4Addr {
    match ip.to_canonical() {
        IpAddr::V4(host) => host,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    }
}

async fn note(wheel: Wheel, front: Rc<Frontend>, proxy: Rc<Proxy>) {
    loop {
        wheel.sleep(NOTE_MS).await;
        log::info!("event=counts {}", front.counts().log_line());
        log::info!("{}", proxy.log_line());
        if let Some(line) = front.keyed_operations().and_then(|keyed| keyed.log_line()) {
            log::info!("{line}");
        }
        if let Some(line) = front.over_quota().take_log_line() {
            log::info!("{line}");
        }
    }
}

/// Until SIGTERM or SIGINT; at SIGHUP the seeds of the changed file are taken.
async fn wait_for_stop(mut orders: Orders, settings: &Settings, link: &CoreClient) {
    while orders.next().await == Order::Reload {
        let file = &settings.source;
        match Settings::read(file).and_then(|settings| settings.edge_checked()) {
            Ok(addresses) => {
                log::info!("event=settings_read file={file:?}");
                link.set_seeds(hosts(&addresses.seeds));
            }
            // What can't be used changes nothing.
            Err(error) => log::error!("event=settings_refused error={:?}", error.to_string()),
        }
    }
}
