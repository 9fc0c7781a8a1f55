//! A gateway's clients' and servers' sides as one process over loopback sockets in virtual time. The process ends as a whole,
//! and may be without processor time while clients, servers and operators go on.

mod clients;
mod servers;

pub use clients::{Client, Seen};
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

/// The operators' clock: ms since a run began.
#[derive(Clone, Copy)]
pub struct Time(Instant);

impl Time {
    pub fn start() -> Time {
        Time(Instant::now())
    }

    pub fn now(self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1_000.0
    }

    pub async fn until(self, at: f64) {
        tokio::time::sleep_until(self.0 + Duration::from_secs_f64(at.max(0.0) / 1_000.0)).await;
    }
}

pub async fn sleep(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms / 1_000.0)).await;
}

/// What reaches a process from outside.
pub enum Order {
    Term,
    Hup,
    /// The core tells of a configuration whose routes may take so many ms longer, and of these servers.
    Config(u32, Vec<ServerInfo>),
}

/// A configuration: routes of a short and a long aim, one that must not run twice, and one that may take far longer than the
/// grace.
fn document(more_ms: u32) -> Document {
    let route = |name: &str, kind: &str, timeout_ms: u32, aim_ms: u32| {
        let timeout_s = f64::from(timeout_ms + more_ms) / 1_000.0;
        let aim_s = f64::from(aim_ms) / 1_000.0;
        format!(
            r#""{name}":{{"hostname":"h","path_prefix":"/{name}/","route_type":"{kind}","timeout_s":{timeout_s},
            "target_latency_s":{aim_s},"backend":"b","no_auth":true,"max_attempts":3}}"#
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

struct Open;

impl Admission for Open {
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

/// The process's own part: serves until SIGTERM, then drains; orders after that change nothing, configurations still do.
async fn gateway(listener: TcpListener, seed: u64, mut orders: mpsc::UnboundedReceiver<Order>) {
    let wheel = Wheel::new(Clock::start());
    spawn_local(wheel.clone().run());
    let here = Location { name: "g".into(), zone: "n1".into(), region: "n".into() };
    let budget = Budget::new(10_000);
    let tuning = ProxyTuning { retry_slack: 1_000, ..ProxyTuning::default() };
    let proxy = Proxy::new(wheel.clone(), budget.clone(), here, seed, tuning);
    spawn_local(proxy.clone().run());
    proxy.set_gateway_count(1);
    let backend = BackendConfig { max_connections: 500, warmup_per_s: 0.0 };
    proxy.update_backends(HashMap::from([("b".to_string(), backend)]));
    let table = Rc::new(SnapshotCell::new(Table::of(document(0).config())));
    let lifecycle = Rc::new(Lifecycle::default());
    let admission = Rc::new(Open);
    let front = Frontend::new(
        wheel.clone(),
        table.clone(),
        admission,
        proxy.clone(),
        lifecycle.clone(),
        budget,
        seed,
    );
    spawn_local(front.serve(listener));
    let (term, mut termed) = mpsc::unbounded_channel();
    let taker = proxy.clone();
    spawn_local(async move {
        while let Some(order) = orders.recv().await {
            match order {
                // Nobody may be left to take it: the first one counts.
                Order::Term => drop(term.send(())),
                Order::Hup => {}
                Order::Config(more_ms, lines) => {
                    table.set(Table::of(document(more_ms).config()));
                    taker.update_servers(&lines, &[], &HashMap::from([("n1".to_string(), "n".to_string())]));
                }
            }
        }
    });
    termed.recv().await;
    let shutdown = Shutdown::begin(wheel.now(), wheel.unseen_ms(), GRACE_MS);
    proxy.begin_shutdown(shutdown);
    lifecycle.begin_shutdown(shutdown);
    drain(&wheel, &lifecycle, shutdown, async {}).await;
}

/// A time without processor time: from, until; ms of the operators' clock.
#[derive(Debug, Clone, Copy)]
pub struct Stall(pub f64, pub f64);

/// Runs a gateway to its end or, at `killed`, to that of the grace; when it ended.
pub async fn process(
    time: Time,
    listener: TcpListener,
    seed: u64,
    stalls: &[Stall],
    orders: mpsc::UnboundedReceiver<Order>,
    killed: f64,
) -> f64 {
    let mut tasks = LocalSet::new();
    let mut main = tasks.spawn_local(gateway(listener, seed, orders));
    let mut waiting: Option<Pin<Box<dyn Future<Output = ()>>>> = None;
    let running = poll_fn(|context| {
        loop {
            if let Some(stalled) = &mut waiting {
                if stalled.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                waiting = None;
            }
            let now = time.now();
            match stalls.iter().find(|stall| stall.0 <= now && now < stall.1) {
                Some(stall) => waiting = Some(Box::pin(time.until(stall.1))),
                None => break,
            }
        }
        let _ = Pin::new(&mut tasks).poll(context);
        Pin::new(&mut main).poll(context).map(|ended| ended.expect("no panic"))
    });
    let mut running = pin!(running);
    tokio::select! {
        biased;
        () = time.until(killed) => {}
        () = &mut running => {}
    }
    time.now()
}
