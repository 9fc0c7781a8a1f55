//! A [`Proxy`] under random faults: concurrent requests to servers that respond late, twice, with the wrong id, with
//! errors or not at all, clients that disconnect, and shutdowns. The servers log each run; by this log the test
//! checks that no client gets another request's response and that no request runs more often than it may.

use bytes::{Bytes, BytesMut};
use nickeljunction_core::facade::RetrySafety;
use nickeljunction_core::life::Answer;
use nickeljunction_edge::exchange::{Dispatch, Exchange, RequestBody, ResponseBody, ServerResponse};
use nickeljunction_edge::proxy::Proxy;
use nickeljunction_edge::proxy_types::{BackendConfig, ProxyTuning};
use nickeljunction_edge::shutdown::Shutdown;
use nickeljunction_edge::upstream::Location;
use nickeljunction_http::stream::read_request_head;
use nickeljunction_messages::{ServerInfo, ServerState};
use nickeljunction_net::budget::Budget;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinSet, LocalSet};

/// Time from the start of the shutdown to the end of the process, ms.
const GRACE_MS: f64 = 6_000.0;
/// Requests of one scenario.
const REQUESTS: usize = 16;
const SERVERS: usize = 3;
/// The route's limit on attempts for one request.
const MAX_ATTEMPTS: u32 = 2;
/// How long after its deadline an answer may arrive on a busy machine, ms.
const SCHEDULING_SLACK_MS: f64 = 2_000.0;
/// How long a server that doesn't respond keeps the connection open, ms.
const SILENCE_MS: f64 = 200.0;

/// What a server does with a request that it has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    /// Runs it and responds with status 200.
    Succeed,
    /// Responds once more to the previous request on the connection, then to this one.
    RepeatPreviousResponse,
    /// Responds twice at once.
    RespondTwice,
    /// Responds, and once more a little later.
    RespondTwiceWithDelay,
    /// Runs it and resets the connection.
    RunAndReset,
    /// Runs it and closes the connection.
    RunAndClose,
    /// Runs it, sends a truncated response and closes the connection.
    RunAndTruncate,
    /// Runs it, sends nothing and closes the connection after [`SILENCE_MS`].
    RunAndStall,
    /// Responds with a sealed status 500: it ran and failed.
    Fail,
    /// Responds with a status 503 that doesn't say whether it ran.
    Unspecific503,
    /// Responds that it didn't run.
    Reject,
    /// Responds with status 421; it didn't run.
    Misdirected,
    /// Responds with the attempt id of no request.
    WrongId,
}

const BEHAVIOURS: [Behaviour; 13] = [
    Behaviour::Succeed,
    Behaviour::RepeatPreviousResponse,
    Behaviour::RespondTwice,
    Behaviour::RespondTwiceWithDelay,
    Behaviour::RunAndReset,
    Behaviour::RunAndClose,
    Behaviour::RunAndTruncate,
    Behaviour::RunAndStall,
    Behaviour::Fail,
    Behaviour::Unspecific503,
    Behaviour::Reject,
    Behaviour::Misdirected,
    Behaviour::WrongId,
];

/// What the servers recorded of one request.
#[derive(Debug, Clone, Copy, Default)]
struct LogEntry {
    /// Attempts that reached a server.
    attempts: u32,
    runs: u32,
    /// A server responded that the run failed.
    failed: bool,
}

/// State that the servers of a scenario share.
struct SharedState {
    wheel: Wheel,
    rng: RefCell<fastrand::Rng>,
    /// By attempt id.
    log: RefCell<HashMap<String, LogEntry>>,
}

fn response(id: &str, status: u16, header_lines: &str) -> Vec<u8> {
    let body = format!("for {id}");
    format!(
        "HTTP/1.1 {status} X\r\nX-Attempt-Id: {id}\r\n{header_lines}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Handles each request on a connection with a random behaviour.
async fn serve(mut stream: TcpStream, shared: Rc<SharedState>) {
    let (mut buffer, mut previous) = (BytesMut::new(), None::<String>);
    loop {
        let head = loop {
            match read_request_head(&mut buffer, 16_384).expect("a request") {
                Some(head) => break head,
                None if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 => return,
                None => {}
            }
        };
        let id = head.headers.get("x-attempt-id").expect("an id").to_string();
        // Most requests succeed: the proxy would soon send nothing to servers that seldom respond.
        let (behaviour, delay_ms) = {
            let mut rng = shared.rng.borrow_mut();
            let behaviour =
                if rng.bool() { Behaviour::Succeed } else { BEHAVIOURS[rng.usize(..BEHAVIOURS.len())] };
            (behaviour, if rng.u8(..4) == 0 { rng.f64() * 300.0 } else { 0.0 })
        };
        {
            let mut log = shared.log.borrow_mut();
            let entry = log.entry(id.clone()).or_default();
            entry.attempts += 1;
            entry.runs += u32::from(!matches!(behaviour, Behaviour::Reject | Behaviour::Misdirected));
            entry.failed |= behaviour == Behaviour::Fail;
        }
        shared.wheel.sleep(delay_ms).await;
        let success = response(&id, 200, "X-Response-Seal: s\r\n");
        let bytes = match behaviour {
            Behaviour::Succeed | Behaviour::RespondTwiceWithDelay => success.clone(),
            Behaviour::RepeatPreviousResponse => {
                let repeated =
                    previous.as_ref().map(|previous| response(previous, 200, "X-Response-Seal: s\r\n"));
                [repeated.unwrap_or_default(), success.clone()].concat()
            }
            Behaviour::RespondTwice => [success.clone(), success.clone()].concat(),
            Behaviour::RunAndReset | Behaviour::RunAndClose | Behaviour::RunAndStall => Vec::new(),
            Behaviour::RunAndTruncate => success[..success.len() - 3].to_vec(),
            Behaviour::Fail => response(&id, 500, "X-Response-Seal: s\r\n"),
            Behaviour::Unspecific503 => response(&id, 503, ""),
            Behaviour::Reject => response(&id, 503, "X-Not-Executed: 1\r\n"),
            Behaviour::Misdirected => response(&id, 421, ""),
            Behaviour::WrongId => response("unknown", 200, "X-Response-Seal: s\r\n"),
        };
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        match behaviour {
            Behaviour::RunAndReset => {
                return socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("set SO_LINGER");
            }
            Behaviour::RunAndClose | Behaviour::RunAndTruncate => return,
            Behaviour::RunAndStall => {
                shared.wheel.sleep(SILENCE_MS).await;
                return;
            }
            Behaviour::RespondTwiceWithDelay => {
                shared.wheel.sleep(5.0).await;
                if stream.write_all(&success).await.is_err() {
                    return;
                }
            }
            _ => {}
        }
        previous = Some(id);
    }
}

fn exchange(
    wheel: &Wheel,
    id: &str,
    retry_safety: RetrySafety,
    timeout_ms: f64,
) -> (Exchange, oneshot::Receiver<Answer<ServerResponse>>) {
    let mut head = BytesMut::from("GET /a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: x\r\n\r\n");
    let head = read_request_head(&mut head, 4_096).expect("well formed").expect("complete");
    let (reply, answer) = oneshot::channel();
    let exchange = Exchange {
        method: head.method,
        target: head.target,
        headers: head.headers,
        body: RequestBody::Buffered(Bytes::new()),
        attempt_id: id.to_string(),
        tenant: None,
        unit_valid_until: f64::INFINITY,
        backend: "b".into(),
        home_regions: Rc::new([]),
        retry_safety,
        target_latency_ms: 500.0,
        max_attempts: MAX_ATTEMPTS,
        priority: 0,
        arrived: wheel.now(),
        timeout_ms,
        reply,
    };
    (exchange, answer)
}

/// Sums over the requests of scenarios.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    /// Attempts that reached a server.
    attempts: u32,
    served: u32,
    failed: u32,
    refused: u32,
    disconnected: u32,
    /// Idempotent requests that ran more than once.
    ran_twice: u32,
}

/// How a request ended for its client.
enum Outcome {
    /// The status and the body of the response.
    Served(u16, String),
    Failed,
    Refused,
    /// The client disconnected before the answer.
    Disconnected,
}

/// Runs one scenario and checks its requests against the servers' log.
async fn run_scenario(wheel: Wheel, seed: u64) -> Totals {
    let rng = RefCell::new(fastrand::Rng::with_seed(seed));
    let shared = Rc::new(SharedState { wheel: wheel.clone(), rng, log: RefCell::default() });
    let location = Location { name: "g1".into(), zone: "n1".into(), region: "n".into() };
    let tuning = ProxyTuning { retry_slack: 1_000, ..ProxyTuning::default() };
    let proxy = Proxy::new(wheel.clone(), Budget::new(200), location, seed, tuning);
    let (mut tasks, mut servers) = (JoinSet::new(), Vec::new());
    tasks.spawn_local(proxy.clone().run());
    for number in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
        let address = listener.local_addr().expect("local address").to_string();
        let (id, backend, zone) = (format!("s{number}"), "b".to_string(), "n1".to_string());
        let state = ServerState::InService;
        servers.push(ServerInfo { id, backend, address, zone, slots: 4, state, cold: None });
        let shared = shared.clone();
        tasks.spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(stream, shared.clone()));
            }
        });
    }
    proxy.set_gateway_count(1);
    let backend = BackendConfig { max_connections: 100, warmup_per_s: 0.0 };
    proxy.update_backends(HashMap::from([("b".to_string(), backend)]));
    proxy.update_servers(&servers, &[], &HashMap::from([("n1".to_string(), "n".to_string())]));
    let mut rng = fastrand::Rng::with_seed(!seed);
    let shutdown_after_ms = if rng.bool() { rng.f64() * 400.0 } else { f64::INFINITY };
    let mut clients = JoinSet::new();
    for number in 0..REQUESTS {
        let retry_safety = if rng.bool() { RetrySafety::AtMostOnce } else { RetrySafety::Idempotent };
        // Only a few have a short time-out: on a busy machine their outcome depends on the machine's load.
        let timeout_ms = if rng.u8(..10) == 0 { 300.0 } else { 3_000.0 };
        let start_delay_ms = rng.f64() * 400.0;
        let disconnect_after_ms = if rng.u8(..6) == 0 { rng.f64() * 200.0 } else { f64::INFINITY };
        let (wheel, proxy) = (wheel.clone(), proxy.clone());
        clients.spawn_local(async move {
            wheel.sleep(start_delay_ms).await;
            let id = format!("{seed}-{number}");
            let began = wheel.now();
            let (exchange, answer) = exchange(&wheel, &id, retry_safety, timeout_ms);
            proxy.dispatch(exchange);
            let outcome = match wheel.timeout(disconnect_after_ms.min(60_000.0), answer).await {
                None => Outcome::Disconnected,
                Some(answer) => match answer.expect("exactly one answer") {
                    Answer::Served(ServerResponse { status, body: ResponseBody::Buffered(body), .. }) => {
                        Outcome::Served(status, String::from_utf8(body.to_vec()).expect("text"))
                    }
                    Answer::Served(_) => panic!("{id}: a streamed response"),
                    Answer::Failed => Outcome::Failed,
                    Answer::ShortOnCapacityReply(_) => Outcome::Refused,
                },
            };
            let elapsed_ms = wheel.now() - began;
            assert!(
                elapsed_ms < timeout_ms + SCHEDULING_SLACK_MS,
                "{id}: answered after {elapsed_ms} ms, time-out {timeout_ms} ms"
            );
            (id, retry_safety, outcome)
        });
    }
    if shutdown_after_ms.is_finite() {
        wheel.sleep(shutdown_after_ms).await;
        proxy.begin_shutdown(Shutdown::begin(wheel.now(), 0.0, GRACE_MS));
    }
    let mut outcomes = Vec::new();
    while let Some(outcome) = clients.join_next().await {
        outcomes.push(outcome.expect("a client"));
    }
    // Attempts that are still in flight may yet run.
    proxy.wait_until_idle().await;
    let mut totals = Totals::default();
    for (id, retry_safety, outcome) in outcomes {
        let entry = shared.log.borrow().get(&id).copied().unwrap_or_default();
        let at_most_once = retry_safety == RetrySafety::AtMostOnce;
        assert!(entry.attempts <= MAX_ATTEMPTS, "{id}: more attempts than the route allows: {entry:?}");
        assert!(!at_most_once || entry.runs <= 1, "{id}: ran twice: {entry:?}");
        match outcome {
            Outcome::Served(status, body) => {
                assert_eq!(body, format!("for {id}"), "{id}: the response to another request");
                assert!(
                    status == 200 && entry.runs > 0 || status == 500 && entry.failed,
                    "{id}: {status}, {entry:?}"
                );
                totals.served += 1;
            }
            Outcome::Refused => {
                assert!(!at_most_once || entry.runs == 0, "{id}: refused although it ran: {entry:?}");
                totals.refused += 1;
            }
            Outcome::Failed => totals.failed += 1,
            Outcome::Disconnected => totals.disconnected += 1,
        }
        totals.attempts += entry.attempts;
        totals.ran_twice += u32::from(entry.runs > 1);
    }
    totals
}

#[test]
fn under_random_faults_each_client_gets_its_own_response_and_no_request_runs_more_often_than_it_may() {
    const SCENARIOS: u64 = 120;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let wheel = Wheel::new(Clock::start());
        spawn_local(wheel.clone().run());
        let mut sum = Totals::default();
        let mut scenarios = JoinSet::new();
        (0..SCENARIOS).for_each(|seed| drop(scenarios.spawn_local(run_scenario(wheel.clone(), seed))));
        while let Some(totals) = scenarios.join_next().await {
            let totals = totals.expect("a scenario");
            sum = Totals {
                attempts: sum.attempts + totals.attempts,
                served: sum.served + totals.served,
                failed: sum.failed + totals.failed,
                refused: sum.refused + totals.refused,
                disconnected: sum.disconnected + totals.disconnected,
                ran_twice: sum.ran_twice + totals.ran_twice,
            };
        }
        println!("{SCENARIOS} scenarios: {sum:?}");
        // The faults that the checks are about have occurred.
        assert!(sum.served > 200 && sum.failed > 20 && sum.disconnected > 20 && sum.ran_twice > 5, "{sum:?}");
    });
}
