//! A simulated gateway process with frontend and proxy, its clients and its servers, over loopback sockets in virtual
//! time. All tasks of the process end together, and the process may get no processor time while everything outside it
//! goes on.

mod clients;
mod servers;

pub use clients::{Client, ClientRecord};
pub use servers::{Run, Server};

use nickeljunction_edge::drain::drain;
use nickeljunction_edge::exchange::{Admission, AdmissionDecision};
use nickeljunction_edge::frontend::{Frontend, Lifecycle};
use nickeljunction_edge::proxy::Proxy;
use nickeljunction_edge::proxy_types::{BackendConfig, ProxyTuning};
use nickeljunction_edge::shutdown::Shutdown;
use nickeljunction_edge::table::{SnapshotCell, Table};
use nickeljunction_edge::upstream::Location;
use nickeljunction_messages::ServerInfo;
use nickeljunction_net::budget::Budget;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use nickeljunction_schema::Document;
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::Instant;

/// From SIGTERM to SIGKILL, ms.
pub const GRACE_MS: f64 = 6_000.0;

/// The clock outside the gateway process: ms since the start of the simulation.
#[derive(Clone, Copy)]
pub struct SimulationClock(Instant);

impl SimulationClock {
    pub fn start() -> SimulationClock {
        SimulationClock(Instant::now())
    }

    pub fn now(self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1_000.0
    }

    pub async fn sleep_until(self, at: f64) {
        tokio::time::sleep_until(self.0 + Duration::from_secs_f64(at.max(0.0) / 1_000.0)).await;
    }
}

pub async fn sleep(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms / 1_000.0)).await;
}

/// A signal or an update to the gateway process from outside.
pub enum Event {
    Sigterm,
    Sighup,
    /// The core sends a configuration and a list of servers.
    Config {
        /// Added to the time-outs of all routes, ms.
        extra_timeout_ms: u32,
        servers: Vec<ServerInfo>,
    },
}

/// A configuration with routes with a short and a longer target latency, a route whose requests must not run twice,
/// and one whose requests may take much longer than the grace period. `extra_timeout_ms` is added to their time-outs.
fn document(extra_timeout_ms: u32) -> Document {
    let route = |name: &str, route_type: &str, timeout_ms: u32, target_latency_ms: u32| {
        let timeout_s = f64::from(timeout_ms + extra_timeout_ms) / 1_000.0;
        let target_latency_s = f64::from(target_latency_ms) / 1_000.0;
        format!(
            r#""{name}":{{"hostname":"h","path_prefix":"/{name}/","route_type":"{route_type}","timeout_s":{timeout_s},
            "target_latency_s":{target_latency_s},"backend":"b","no_auth":true,"max_attempts":3}}"#
        )
    };
    let routes = [
        route("s", "idempotent", 1_500, 600),
        route("m", "idempotent", 3_000, 1_200),
        route("o", "non_idempotent", 3_000, 1_200),
        route("l", "idempotent", 60_000, 30_000),
    ];
    let text = format!(
        r#"{{"config_version":3,"limits":{{}},"backends":{{"b":{{}}}},"routes":{{{}}}}}"#,
        routes.join(",")
    );
    Document::read(text.as_bytes()).expect("valid")
}

struct AdmitAll;

impl Admission for AdmitAll {
    fn admit<'a>(&'a self, _: &'a str) -> Pin<Box<dyn Future<Output = AdmissionDecision> + 'a>> {
        Box::pin(async { AdmissionDecision::Admitted(f64::INFINITY) })
    }

    fn take_extra_unit(&self, _: &str) -> bool {
        true
    }

    fn stale_retry_after_ms(&self) -> Option<f64> {
        None
    }
}

/// The gateway process: serves until the first SIGTERM, then drains. Signals after that have no effect, but
/// configurations are still applied.
async fn run_gateway(listener: TcpListener, seed: u64, mut events: mpsc::UnboundedReceiver<Event>) {
    let wheel = Wheel::new(Clock::start());
    spawn_local(wheel.clone().run());
    let location = Location { name: "g".into(), zone: "n1".into(), region: "n".into() };
    let budget = Budget::new(10_000);
    let tuning = ProxyTuning { retry_slack: 1_000, ..ProxyTuning::default() };
    let proxy = Proxy::new(wheel.clone(), budget.clone(), location, seed, tuning);
    spawn_local(proxy.clone().run());
    proxy.set_gateway_count(1);
    let backend = BackendConfig { max_connections: 500, warmup_per_s: 0.0 };
    proxy.update_backends(HashMap::from([("b".to_string(), backend)]));
    let table = Rc::new(SnapshotCell::new(Table::of(document(0).config())));
    let lifecycle = Rc::new(Lifecycle::default());
    let admission = Rc::new(AdmitAll);
    let frontend = Frontend::new(
        wheel.clone(),
        table.clone(),
        admission,
        proxy.clone(),
        lifecycle.clone(),
        budget,
        seed,
    );
    spawn_local(frontend.serve(listener));
    let (sigterm_sender, mut sigterm_receiver) = mpsc::unbounded_channel();
    let updated_proxy = proxy.clone();
    spawn_local(async move {
        while let Some(event) = events.recv().await {
            match event {
                // Only the first SIGTERM counts; the receiver may be gone at later ones.
                Event::Sigterm => drop(sigterm_sender.send(())),
                Event::Sighup => {}
                Event::Config { extra_timeout_ms, servers } => {
                    table.set(Table::of(document(extra_timeout_ms).config()));
                    let zones = HashMap::from([("n1".to_string(), "n".to_string())]);
                    updated_proxy.update_servers(&servers, &[], &zones);
                }
            }
        }
    });
    sigterm_receiver.recv().await;
    let shutdown = Shutdown::begin(wheel.now(), wheel.unseen_ms(), GRACE_MS);
    proxy.begin_shutdown(shutdown);
    lifecycle.begin_shutdown(shutdown);
    drain(&wheel, &lifecycle, shutdown, async {}).await;
}

/// A period in which the gateway process gets no processor time; ms by the [`SimulationClock`].
#[derive(Debug, Clone, Copy)]
pub struct Stall {
    pub from: f64,
    pub until: f64,
}

/// Runs a gateway process until it exits or is killed at `kill_at`. Returns when it ended.
pub async fn run_process(
    clock: SimulationClock,
    listener: TcpListener,
    seed: u64,
    stalls: &[Stall],
    events: mpsc::UnboundedReceiver<Event>,
    kill_at: f64,
) -> f64 {
    let mut tasks = LocalSet::new();
    let mut main = tasks.spawn_local(run_gateway(listener, seed, events));
    let mut stall_end: Option<Pin<Box<dyn Future<Output = ()>>>> = None;
    let running = poll_fn(|context| {
        loop {
            if let Some(end) = &mut stall_end {
                if end.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                stall_end = None;
            }
            let now = clock.now();
            match stalls.iter().find(|stall| stall.from <= now && now < stall.until) {
                Some(stall) => stall_end = Some(Box::pin(clock.sleep_until(stall.until))),
                None => break,
            }
        }
        let _ = Pin::new(&mut tasks).poll(context);
        Pin::new(&mut main).poll(context).map(|result| result.expect("no panic"))
    });
    let mut running = pin!(running);
    tokio::select! {
        biased;
        () = clock.sleep_until(kill_at) => {}
        () = &mut running => {}
    }
    clock.now()
}
