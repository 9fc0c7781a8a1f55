//! Complete shutdowns in virtual time: clients send requests throughout the grace period, servers work for a random
//! time up to the deadline that they receive, and the process ends when [`drain`] returns. The checks use only what
//! clients and servers recorded.

use bytes::Bytes;
use nickeljunction_core::life::Answer;
use nickeljunction_edge::drain::drain;
use nickeljunction_edge::exchange::{
    Admission, AdmissionDecision, Dispatch, Exchange, ResponseBody, ServerResponse,
};
use nickeljunction_edge::frontend::{Frontend, Lifecycle};
use nickeljunction_edge::shutdown::Shutdown;
use nickeljunction_edge::table::{SnapshotCell, Table};
use nickeljunction_http::Headers;
use nickeljunction_net::budget::Budget;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use nickeljunction_schema::Document;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{spawn_local, JoinSet, LocalSet};

/// Time from the start of the shutdown to the end of the process, ms.
const GRACE_MS: f64 = 6_000.0;
/// Requests sent up to this time after the start of the shutdown may be broken off at its end if their servers are
/// still working on them, ms.
const LONG_RUN_LIMIT_MS: f64 = 3_000.0;
/// Longest delay of a server's response on the network, ms.
const MAX_RESPONSE_DELAY_MS: f64 = 150.0;
/// Time between two clients, ms.
const CLIENT_INTERVAL_MS: u32 = 23;

/// Path prefixes of the routes, and the time-outs that their clients have for their first and for later attempts, ms.
const ROUTES: [(&str, f64, f64); 3] =
    [("/s/", 1_500.0, 800.0), ("/m/", 3_000.0, 1_400.0), ("/l/", 60_000.0, 50_000.0)];

/// A run as its server recorded it: times in ms after the start of the shutdown.
#[derive(Debug, Clone, Copy)]
struct Run {
    started: f64,
    /// `None`: the server was still working when the process ended.
    ended: Option<f64>,
}

/// Servers that work for a random time, and stop with status 504 at the deadline that they receive.
struct FakeServers {
    wheel: Wheel,
    lifecycle: Rc<Lifecycle>,
    rng: RefCell<fastrand::Rng>,
    /// When the shutdown starts, ms by the wheel's clock.
    shutdown_at: f64,
    runs: Rc<RefCell<BTreeMap<String, Run>>>,
}

impl Dispatch for FakeServers {
    fn dispatch(&self, exchange: Exchange) {
        let now = self.wheel.now();
        let deadline = exchange.arrived + exchange.timeout_ms;
        let server_deadline =
            self.lifecycle.shutdown().map_or(deadline, |shutdown| shutdown.bound_deadline(deadline));
        let (work_ms, response_delay_ms) = {
            let mut rng = self.rng.borrow_mut();
            // Most runs are short; a quarter of them last until their deadline.
            let long = rng.u8(..4) == 0;
            (
                if long { f64::INFINITY } else { rng.f64() * exchange.target_latency_ms },
                rng.f64() * MAX_RESPONSE_DELAY_MS,
            )
        };
        let (ended, status) = match now + work_ms < server_deadline {
            true => (now + work_ms, 200),
            false => (server_deadline, 504),
        };
        let (wheel, runs, shutdown_at) = (self.wheel.clone(), self.runs.clone(), self.shutdown_at);
        let id = exchange.attempt_id.clone();
        runs.borrow_mut().insert(id.clone(), Run { started: now - shutdown_at, ended: None });
        spawn_local(async move {
            wheel.sleep_until(ended).await;
            runs.borrow_mut().get_mut(&id).expect("started").ended = Some(ended - shutdown_at);
            wheel.sleep(response_delay_ms).await;
            let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\n");
            let mut buffer = bytes::BytesMut::from(&head[..]);
            let head = nickeljunction_http::stream::read_answer_head(&mut buffer, 4_096, false);
            let headers: Headers = head.expect("well formed").expect("complete").headers;
            let response =
                ServerResponse { status, headers, body: ResponseBody::Buffered(Bytes::from_static(b"ok")) };
            let _ = exchange.reply.send(Answer::Served(response));
        });
    }
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

/// A request as its client recorded it.
#[derive(Debug)]
struct ClientRecord {
    id: String,
    /// When it was sent, ms after the start of the shutdown.
    sent: f64,
    /// Status of the answer; 0: the connection ended without a complete answer.
    status: u16,
    /// The answer came from a server, not from the gateway itself.
    from_server: bool,
    elapsed_ms: f64,
}

/// Sends one request at `send_at` on a connection of its own.
async fn send_request(
    frontend: Rc<Frontend>,
    wheel: Wheel,
    send_at: f64,
    (path, timeout_ms): (&str, f64),
    id: String,
    shutdown_at: f64,
) -> ClientRecord {
    wheel.sleep_until(send_at).await;
    let (mut stream, io) = tokio::io::duplex(4_096);
    spawn_local(frontend.serve_connection(io));
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nX-Deadline-Remaining: {timeout_ms}\r\n\r\n"
    );
    let sent = wheel.now();
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8(answer).expect("text");
    let from_server = text.ends_with("ok");
    let complete = from_server || text.ends_with('}');
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).filter(|_| complete);
    ClientRecord {
        id,
        sent: sent - shutdown_at,
        status: status.unwrap_or(0),
        from_server,
        elapsed_ms: wheel.now() - sent,
    }
}

/// Simulates one shutdown. Returns the clients' records, the servers' runs by attempt id, and when the process ended,
/// ms after the start of the shutdown.
async fn simulate_shutdown(seed: u64) -> (Vec<ClientRecord>, BTreeMap<String, Run>, f64) {
    let wheel = Wheel::new(Clock::start());
    spawn_local(wheel.clone().run());
    // Routes with a short and a longer target latency, and one whose requests may take much longer than the grace
    // period.
    let text = r#"{"config_version":3,"limits":{},"backends":{"a":{}},"routes":{
        "s":{"hostname":"h","path_prefix":"/s/","timeout_s":1.5,"target_latency_s":0.6,"backend":"a","no_auth":true},
        "m":{"hostname":"h","path_prefix":"/m/","timeout_s":3,"target_latency_s":1.2,"backend":"a","no_auth":true},
        "l":{"hostname":"h","path_prefix":"/l/","timeout_s":60,"target_latency_s":30,"backend":"a","no_auth":true}}}"#;
    let table = Table::of(Document::read(text.as_bytes()).expect("valid").config());
    let lifecycle = Rc::new(Lifecycle::default());
    let shutdown_at = wheel.now() + 1_000.0;
    let servers = Rc::new(FakeServers {
        wheel: wheel.clone(),
        lifecycle: lifecycle.clone(),
        rng: RefCell::new(fastrand::Rng::with_seed(seed)),
        shutdown_at,
        runs: Rc::default(),
    });
    let frontend = Frontend::new(
        wheel.clone(),
        Rc::new(SnapshotCell::new(table)),
        Rc::new(AdmitAll),
        servers.clone(),
        lifecycle.clone(),
        Budget::new(10_000),
        seed,
    );
    let mut clients = JoinSet::new();
    for number in 0..(7_000 / CLIENT_INTERVAL_MS) {
        let send_at = shutdown_at - 1_000.0 + f64::from(number * CLIENT_INTERVAL_MS);
        for (path, first_ms, later_ms) in ROUTES {
            let id = format!("{path}{number}");
            let timeout_ms = if number.is_multiple_of(2) { first_ms } else { later_ms };
            clients.spawn_local(send_request(
                frontend.clone(),
                wheel.clone(),
                send_at,
                (path, timeout_ms),
                id,
                shutdown_at,
            ));
        }
    }
    wheel.sleep_until(shutdown_at).await;
    let shutdown = Shutdown::begin(wheel.now(), 0.0, GRACE_MS);
    lifecycle.begin_shutdown(shutdown);
    drain(&wheel, &lifecycle, shutdown, async {}).await;
    let ended = wheel.now() - shutdown_at;
    let mut records = Vec::new();
    // Requests without an answer are broken off when the process ends.
    while let Some(record) = clients.try_join_next() {
        records.push(record.expect("a client"));
    }
    let runs = servers.runs.borrow().clone();
    (records, runs, ended)
}

fn in_virtual_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

#[test]
fn every_request_during_a_shutdown_gets_an_answer() {
    for seed in 0..24 {
        in_virtual_time(async move {
            let (records, runs, ended) = simulate_shutdown(seed).await;
            assert!(ended <= GRACE_MS - 400.0, "seed {seed}: the process needs time to exit, {ended}");
            let describe = |record: &ClientRecord| {
                format!("seed {seed}: {record:?}, {:?}, ended {ended}", runs.get(&record.id))
            };
            for record in records.iter().filter(|record| record.sent >= 0.0) {
                let run = runs.get(&record.id);
                assert!(record.status != 0, "{}", describe(record));
                // Once a server has run the request, the gateway must not answer in the server's place.
                assert_eq!(record.from_server, run.is_some(), "{}", describe(record));
                if run.is_none() {
                    assert_eq!(record.status, 503, "{}", describe(record));
                    assert!(record.elapsed_ms < 10.0, "refused too late: {}", describe(record));
                }
            }
            // All requests sent while the frontend accepts connections have been answered.
            let answered = records.iter().filter(|record| record.sent >= 0.0).count();
            assert!(answered >= (4_900 / CLIENT_INTERVAL_MS as usize) * 3, "seed {seed}: {answered}");
            // Requests are served during a large part of the grace period.
            let last_served = |path: &str| {
                let served = records
                    .iter()
                    .filter(|record| record.id.starts_with(path) && runs.contains_key(&record.id));
                served.map(|record| record.sent).fold(0.0, f64::max)
            };
            assert!(
                last_served("/s/") > 4_300.0 && last_served("/m/") > 3_700.0 && last_served("/l/") > 2_400.0
            );
            // Only requests that were in flight at the start of the shutdown may be broken off, and only if their
            // servers work until the end.
            for (id, run) in runs.iter().filter(|(_, run)| run.ended.is_none()) {
                assert!(run.started < 0.0 && id.starts_with("/l/"), "seed {seed}: {id} {run:?}");
                assert!(
                    run.started < LONG_RUN_LIMIT_MS && ended >= GRACE_MS * 5.0 / 6.0,
                    "seed {seed}: {id} {run:?}"
                );
            }
        });
    }
}

#[test]
fn without_connections_the_drain_ends_early_and_gives_units_back_last() {
    in_virtual_time(async {
        let wheel = Wheel::new(Clock::start());
        spawn_local(wheel.clone().run());
        let lifecycle = Rc::new(Lifecycle::default());
        let began = wheel.now();
        let shutdown = Shutdown::begin(began, 0.0, GRACE_MS);
        lifecycle.begin_shutdown(shutdown);
        let given_back_ms = Cell::new(f64::INFINITY);
        let give_back = async { given_back_ms.set(wheel.now() - began) };
        drain(&wheel, &lifecycle, shutdown, give_back).await;
        assert!(wheel.now() - began < 1_600.0, "{}", wheel.now() - began);
        assert!(given_back_ms.get() >= 1_500.0);
    });
}
