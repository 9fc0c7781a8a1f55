//! Whole shutdowns in virtual time: clients come at every moment of the grace, servers take any time up to what they are
//! told, and the process ends when the drain is over. Judged by the clients' and the servers' books alone.

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

const GRACE_MS: f64 = 6_000.0;
/// Requests sent no later than this after the order may be cut off, if their servers are at work all the while, ms.
const EARLY_MS: f64 = 3_000.0;
/// Longest way of a server's answer, ms.
const WAY_MS: f64 = 150.0;
/// Between two clients, ms.
const STEP_MS: u32 = 23;

/// Routes, and how long their clients wait on their first tries and on later ones, ms.
const ROUTES: [(&str, f64, f64); 3] =
    [("/s/", 1_500.0, 800.0), ("/m/", 3_000.0, 1_400.0), ("/l/", 60_000.0, 50_000.0)];

/// A run, by a server's own book: times in ms after the order.
#[derive(Debug, Clone, Copy)]
struct Run {
    begun: f64,
    /// `None`: at work when the process ended.
    ended: Option<f64>,
}

/// Servers that work for a drawn time, and stop with a failure at the time that they are told.
struct Servers {
    wheel: Wheel,
    lifecycle: Rc<Lifecycle>,
    draws: RefCell<fastrand::Rng>,
    ordered: f64,
    runs: Rc<RefCell<BTreeMap<String, Run>>>,
}

impl Dispatch for Servers {
    fn dispatch(&self, exchange: Exchange) {
        let now = self.wheel.now();
        let deadline = exchange.arrived + exchange.timeout_ms;
        let bounded =
            self.lifecycle.shutdown().map_or(deadline, |shutdown| shutdown.bound_deadline(deadline));
        let (work_ms, way_ms) = {
            let mut draws = self.draws.borrow_mut();
            // Most work is short, some lasts as long as it may.
            let long = draws.u8(..4) == 0;
            (
                if long { f64::INFINITY } else { draws.f64() * exchange.target_latency_ms },
                draws.f64() * WAY_MS,
            )
        };
        let (ended, status) = match now + work_ms < bounded {
            true => (now + work_ms, 200),
            false => (bounded, 504),
        };
        let (wheel, runs, ordered) = (self.wheel.clone(), self.runs.clone(), self.ordered);
        let id = exchange.attempt_id.clone();
        runs.borrow_mut().insert(id.clone(), Run { begun: now - ordered, ended: None });
        spawn_local(async move {
            wheel.sleep_until(ended).await;
            runs.borrow_mut().get_mut(&id).expect("begun").ended = Some(ended - ordered);
            wheel.sleep(way_ms).await;
            let lines = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\n");
            let mut from = bytes::BytesMut::from(&lines[..]);
            let head = nickeljunction_http::stream::read_answer_head(&mut from, 4_096, false);
            let headers: Headers = head.expect("well formed").expect("whole").headers;
            let served =
                ServerResponse { status, headers, body: ResponseBody::Buffered(Bytes::from_static(b"ok")) };
            let _ = exchange.reply.send(Answer::Served(served));
        });
    }
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

/// What a client saw: when it sent its request, ms after the order, and what it was told (0: the connection ended).
#[derive(Debug)]
struct Seen {
    id: String,
    sent: f64,
    status: u16,
    /// The answer is a server's.
    from_server: bool,
    took_ms: f64,
}

async fn client(
    front: Rc<Frontend>,
    wheel: Wheel,
    at: f64,
    (path, left_ms): (&str, f64),
    id: String,
    ordered: f64,
) -> Seen {
    wheel.sleep_until(at).await;
    let (mut stream, io) = tokio::io::duplex(4_096);
    spawn_local(front.serve_connection(io));
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nX-Deadline-Remaining: {left_ms}\r\n\r\n"
    );
    let sent = wheel.now();
    stream.write_all(request.as_bytes()).await.expect("taken");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8(answer).expect("text");
    let from_server = text.ends_with("ok");
    let whole = from_server || text.ends_with('}');
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).filter(|_| whole);
    Seen { id, sent: sent - ordered, status: status.unwrap_or(0), from_server, took_ms: wheel.now() - sent }
}

/// One shutdown: what clients saw, what servers did, and when the process ended, ms after the order.
async fn shut_down(seed: u64) -> (Vec<Seen>, BTreeMap<String, Run>, f64) {
    let wheel = Wheel::new(Clock::start());
    spawn_local(wheel.clone().run());
    // Routes of a short and a long aim, and one whose requests may take far longer than the grace.
    let text = r#"{"config_version":3,"limits":{},"backends":{"a":{}},"routes":{
        "s":{"hostname":"h","path_prefix":"/s/","timeout_s":1.5,"target_latency_s":0.6,"backend":"a","no_auth":true},
        "m":{"hostname":"h","path_prefix":"/m/","timeout_s":3,"target_latency_s":1.2,"backend":"a","no_auth":true},
        "l":{"hostname":"h","path_prefix":"/l/","timeout_s":60,"target_latency_s":30,"backend":"a","no_auth":true}}}"#;
    let table = Table::of(Document::read(text.as_bytes()).expect("valid").config());
    let lifecycle = Rc::new(Lifecycle::default());
    let ordered = wheel.now() + 1_000.0;
    let servers = Rc::new(Servers {
        wheel: wheel.clone(),
        lifecycle: lifecycle.clone(),
        draws: RefCell::new(fastrand::Rng::with_seed(seed)),
        ordered,
        runs: Rc::default(),
    });
    let front = Frontend::new(
        wheel.clone(),
        Rc::new(SnapshotCell::new(table)),
        Rc::new(Open),
        servers.clone(),
        lifecycle.clone(),
        Budget::new(10_000),
        seed,
    );
    let mut clients = JoinSet::new();
    for number in 0..(7_000 / STEP_MS) {
        let at = ordered - 1_000.0 + f64::from(number * STEP_MS);
        for (path, first_ms, later_ms) in ROUTES {
            let id = format!("{path}{number}");
            let left_ms = if number.is_multiple_of(2) { first_ms } else { later_ms };
            clients.spawn_local(client(front.clone(), wheel.clone(), at, (path, left_ms), id, ordered));
        }
    }
    wheel.sleep_until(ordered).await;
    let shutdown = Shutdown::begin(wheel.now(), 0.0, GRACE_MS);
    lifecycle.begin_shutdown(shutdown);
    drain(&wheel, &lifecycle, shutdown, async {}).await;
    let ended = wheel.now() - ordered;
    let mut seen = Vec::new();
    // What has not been answered when the process ends is cut off with it.
    while let Some(client) = clients.try_join_next() {
        seen.push(client.expect("a client"));
    }
    let runs = servers.runs.borrow().clone();
    (seen, runs, ended)
}

fn in_virtual_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

#[test]
fn whenever_a_request_comes_in_a_shutdown_it_ends_with_an_answer() {
    for seed in 0..24 {
        in_virtual_time(async move {
            let (seen, runs, ended) = shut_down(seed).await;
            assert!(ended <= GRACE_MS - 400.0, "seed {seed}: the process needs time to end, {ended}");
            let story =
                |seen: &Seen| format!("seed {seed}: {seen:?}, {:?}, ended {ended}", runs.get(&seen.id));
            for seen in seen.iter().filter(|seen| seen.sent >= 0.0) {
                let run = runs.get(&seen.id);
                assert!(seen.status != 0, "{}", story(seen));
                // An answer of the gateway's own in place of the server's is none.
                assert_eq!(seen.from_server, run.is_some(), "{}", story(seen));
                if run.is_none() {
                    assert_eq!(seen.status, 503, "{}", story(seen));
                    assert!(seen.took_ms < 10.0, "refused at once: {}", story(seen));
                }
            }
            // Everybody who came in the time for new requests has been told something.
            let told = seen.iter().filter(|seen| seen.sent >= 0.0).count();
            assert!(told >= (4_900 / STEP_MS as usize) * 3, "seed {seed}: {told}");
            // And a good part of the grace is used to serve.
            let served = |path: &str| {
                let served =
                    seen.iter().filter(|seen| seen.id.starts_with(path) && runs.contains_key(&seen.id));
                served.map(|seen| seen.sent).fold(0.0, f64::max)
            };
            assert!(served("/s/") > 4_300.0 && served("/m/") > 3_700.0 && served("/l/") > 2_400.0);
            // Those under way at the order are cut only if their servers are at work to the end.
            for (id, run) in runs.iter().filter(|(_, run)| run.ended.is_none()) {
                assert!(run.begun < 0.0 && id.starts_with("/l/"), "seed {seed}: {id} {run:?}");
                assert!(run.begun < EARLY_MS && ended >= GRACE_MS * 5.0 / 6.0, "seed {seed}: {id} {run:?}");
            }
        });
    }
}

#[test]
fn a_process_without_connections_ends_early_and_gives_its_units_back_last() {
    in_virtual_time(async {
        let wheel = Wheel::new(Clock::start());
        spawn_local(wheel.clone().run());
        let lifecycle = Rc::new(Lifecycle::default());
        let began = wheel.now();
        let shutdown = Shutdown::begin(began, 0.0, GRACE_MS);
        lifecycle.begin_shutdown(shutdown);
        let gave_back = Cell::new(f64::INFINITY);
        let give_back = async { gave_back.set(wheel.now() - began) };
        drain(&wheel, &lifecycle, shutdown, give_back).await;
        assert!(wheel.now() - began < 1_600.0, "{}", wheel.now() - began);
        assert!(gave_back.get() >= 1_500.0);
    });
}
