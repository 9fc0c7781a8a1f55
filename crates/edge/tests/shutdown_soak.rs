//! Random shutdowns under load: signals and configuration updates overlap, clients send requests until the process
//! has ended, and the process may get no processor time for a while. The checks use only what clients and servers
//! recorded.

mod shutdown_simulation;

use nickeljunction_messages::{ServerInfo, ServerState};
use shutdown_simulation::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinSet, LocalSet};

/// Shutdowns to simulate. The environment variable `SHUTDOWNS` sets another number, `SHUTDOWN_FROM` the first seed.
const SHUTDOWNS: u64 = 10;
/// Concurrent clients.
const CLIENTS: u64 = 80;
/// Servers; each configuration update leaves one of them out.
const SERVERS: u64 = 8;
/// When the first SIGTERM is sent, ms by the simulation clock.
const SIGTERM_AT_MS: f64 = 1_000.0;
/// If a connection ends sooner than this after its request was sent, the gateway may not have read the complete
/// request, ms.
const UNREAD_REQUEST_MS: f64 = 200.0;
/// Requests sent up to this time after SIGTERM may be broken off in the last sixth of the grace period if servers are
/// still working on them, ms.
const LONG_RUN_LIMIT_MS: f64 = 3_000.0;

/// The random events of one shutdown; times in ms by the simulation clock.
struct Plan {
    stalls: Vec<Stall>,
    sighups: Vec<f64>,
    sigterms: Vec<f64>,
    config_updates: Vec<f64>,
}

impl Plan {
    fn random(seed: u64) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut random_times = |count: usize| {
            (0..count).map(|_| SIGTERM_AT_MS + (rng.f64() - 0.1) * GRACE_MS).collect::<Vec<f64>>()
        };
        let (sighups, config_updates) = (random_times(8), random_times(8));
        let mut sigterms: Vec<f64> = random_times(6).into_iter().map(|at| at.max(SIGTERM_AT_MS)).collect();
        sigterms.push(SIGTERM_AT_MS);
        let stalls = match seed % 5 {
            // No stall.
            0 => Vec::new(),
            // A short (1) or long (2) stall around SIGTERM.
            1 | 2 => {
                let least_ms = if seed % 5 == 1 { 0.0 } else { 900.0 };
                let from = SIGTERM_AT_MS - rng.f64() * 300.0;
                vec![Stall { from, until: SIGTERM_AT_MS + least_ms + rng.f64() * 500.0 }]
            }
            // A CPU quota: a stall for the rest of each period of 100 ms.
            3 => {
                let quota_ms = 20.0 + rng.f64() * 60.0;
                (0..90)
                    .map(|period| f64::from(period) * 100.0)
                    .map(|start| Stall { from: start + quota_ms, until: start + 100.0 })
                    .collect()
            }
            // Short stalls at random times.
            _ => random_times(8)
                .into_iter()
                .map(|from| Stall { from, until: from + rng.f64() * 150.0 })
                .collect(),
        };
        Plan { stalls, sighups, sigterms, config_updates }
    }
}

/// Kinds of events at the times of a [`Plan`].
#[derive(Clone, Copy)]
enum EventKind {
    Sighup,
    Sigterm,
    Config,
}

struct SimulationResult {
    records: Vec<ClientRecord>,
    runs: BTreeMap<String, Vec<Run>>,
    plan: Plan,
    /// When the process ended, ms by the simulation clock.
    ended: f64,
}

async fn simulate(seed: u64) -> SimulationResult {
    let plan = Plan::random(seed);
    let clock = SimulationClock::start();
    let (runs, records) = (Rc::default(), Rc::new(RefCell::new(Vec::new())));
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(Server::start(clock, number, seed, &runs).await);
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let gateway = listener.local_addr().expect("local address");
    let (event_sender, events) = mpsc::unbounded_channel();
    let _ = event_sender.send(Event::Config { extra_timeout_ms: 0, servers: servers.clone() });
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        clients.spawn_local(Client { clock, number, seed, gateway, records: records.clone() }.run());
    }
    let sighups = plan.sighups.iter().map(|at| (*at, EventKind::Sighup));
    let sigterms = plan.sigterms.iter().map(|at| (*at, EventKind::Sigterm));
    let config_updates = plan.config_updates.iter().map(|at| (*at, EventKind::Config));
    for (at, kind) in sighups.chain(sigterms).chain(config_updates) {
        let (event_sender, mut servers) = (event_sender.clone(), servers.clone());
        spawn_local(async move {
            clock.sleep_until(at).await;
            servers.remove(at as usize % SERVERS as usize);
            let _ = event_sender.send(match kind {
                EventKind::Sighup => Event::Sighup,
                EventKind::Sigterm => Event::Sigterm,
                EventKind::Config => Event::Config { extra_timeout_ms: at as u32 % 900, servers },
            });
        });
    }
    let kill_at = SIGTERM_AT_MS + GRACE_MS;
    let ended = run_process(clock, listener, seed, &plan.stalls, events, kill_at).await;
    sleep(1_000.0).await;
    clients.shutdown().await;
    let (records, runs) = (records.take(), runs.take());
    SimulationResult { records, runs, plan, ended }
}

impl SimulationResult {
    /// Why a request counts as lost; `None`: it doesn't.
    fn loss_reason(&self, record: &ClientRecord) -> Option<&'static str> {
        let runs = self.runs.get(&record.id).map_or(&[][..], |runs| &runs[..]);
        let elapsed_ms = record.ended - record.sent;
        let reached_server = !runs.is_empty();
        let sent_in_stall = self
            .plan
            .stalls
            .iter()
            .any(|stall| stall.from <= record.sent && record.ended <= stall.until + 1.0);
        let cancelled = runs.iter().any(|run| run.cancelled);
        let reason = match record.status {
            None if reached_server => "no answer although a server worked on it",
            None if elapsed_ms > UNREAD_REQUEST_MS && !sent_in_stall => "no answer",
            Some(_) if !record.from_server && cancelled => {
                "answered by the gateway while a server was working on it"
            }
            _ => return None,
        };
        let last_sixth = SIGTERM_AT_MS + GRACE_MS * 5.0 / 6.0;
        let cancelled_at_end =
            runs.iter().any(|run| run.cancelled && run.ended.is_some_and(|ended| ended >= last_sixth));
        let allowed = cancelled_at_end && record.sent <= SIGTERM_AT_MS + LONG_RUN_LIMIT_MS;
        let timed_out = elapsed_ms >= record.timeout_ms - 50.0;
        (record.ended >= SIGTERM_AT_MS && !allowed && !timed_out).then_some(reason)
    }
}

fn in_virtual_time<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

#[test]
fn no_request_is_lost_in_random_shutdowns() {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first_seed = number("SHUTDOWN_FROM").unwrap_or(0);
    let mut all_lost = Vec::new();
    for seed in first_seed..first_seed + number("SHUTDOWNS").unwrap_or(SHUTDOWNS) {
        let result = in_virtual_time(simulate(seed));
        let after_sigterm_ms = |at: f64| at - SIGTERM_AT_MS;
        let after = result.records.iter().filter(|record| record.sent >= SIGTERM_AT_MS);
        let served = after.clone().filter(|record| record.from_server).count();
        let last = after
            .clone()
            .filter(|record| record.from_server)
            .map(|record| after_sigterm_ms(record.sent))
            .fold(0.0, f64::max);
        let kept = after.clone().filter(|record| record.reused_connection).count();
        let lost: Vec<_> = result
            .records
            .iter()
            .filter_map(|record| result.loss_reason(record).map(|reason| (reason, record)))
            .collect();
        println!(
            "seed {seed}: {} requests, {} after SIGTERM, {kept} of these on kept connections, {served} served, the last \
             sent {last:.0} ms after it; ended {:.0} ms after it; {} lost",
            result.records.len(),
            after.count(),
            after_sigterm_ms(result.ended),
            lost.len()
        );
        for (reason, record) in &lost {
            println!("  {reason}: {record:?}, {:?}", result.runs.get(&record.id));
        }
        all_lost.extend(lost.iter().map(|(reason, record)| format!("seed {seed}: {reason}: {}", record.id)));
        assert!(
            served > 0 && kept > 0,
            "seed {seed}: after SIGTERM no request was served or no connection was reused"
        );
    }
    assert!(all_lost.is_empty(), "{all_lost:#?}");
}

/// A server that accepts connections and never responds.
async fn start_silent_server() -> ServerInfo {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let address = listener.local_addr().expect("local address").to_string();
    spawn_local(async move {
        let mut connections = Vec::new();
        while let Ok(connection) = listener.accept().await {
            connections.push(connection);
        }
    });
    let (id, backend, zone, state) = ("s".into(), "b".into(), "n1".into(), ServerState::InService);
    ServerInfo { id, backend, address, zone, slots: 2, state, cold: None }
}

/// An idle process that gets no processor time learns of SIGTERM late: its schedule must still end before SIGKILL.
#[test]
fn a_process_that_is_stalled_at_sigterm_exits_before_sigkill() {
    // Moves the request's own time-out to after SIGKILL.
    const EXTRA_TIMEOUT_MS: u32 = 4_000;
    in_virtual_time(async {
        let clock = SimulationClock::start();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
        let gateway = listener.local_addr().expect("local address");
        let (event_sender, events) = mpsc::unbounded_channel();
        let servers = vec![start_silent_server().await];
        let _ = event_sender.send(Event::Config { extra_timeout_ms: EXTRA_TIMEOUT_MS, servers });
        // No timer of the process is due in this period: its periodic tasks run at each full second, and there are no
        // requests yet.
        let stall = Stall { from: SIGTERM_AT_MS + 20.0, until: SIGTERM_AT_MS + 980.0 };
        spawn_local(async move {
            clock.sleep_until(stall.from + 1.0).await;
            let _ = event_sender.send(Event::Sigterm);
        });
        let client = spawn_local(async move {
            clock.sleep_until(stall.until + 500.0).await;
            let mut stream = TcpStream::connect(gateway).await.expect("connected");
            let request = "GET /m/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n\r\n";
            stream.write_all(request.as_bytes()).await.expect("sent");
            let mut answer = String::new();
            let _ = stream.read_to_string(&mut answer).await;
            answer
        });
        let kill_at = stall.from + 1.0 + GRACE_MS;
        let ended = run_process(clock, listener, 1, &[stall], events, kill_at).await;
        assert!(ended < kill_at, "ended at {ended}, SIGKILL at {kill_at}");
        let answer = client.await.expect("no panic");
        assert!(answer.starts_with("HTTP/1.1 50"), "the client gets an error response: {answer:?}");
    });
}
