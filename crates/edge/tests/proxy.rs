//! Tests of the proxy against scripted servers: which requests reach a server, on which connection and with which
//! headers, and which answers the client receives.

use bytes::{Bytes, BytesMut};
use nickeljunction_core::facade::RetrySafety;
use nickeljunction_core::life::Answer;
use nickeljunction_edge::exchange::{
    Admission, AdmissionDecision, BodyPart, BodyStream, Dispatch, Exchange, RequestBody, ResponseBody,
    ServerResponse,
};
use nickeljunction_edge::proxy::Proxy;
use nickeljunction_edge::proxy_types::{BackendConfig, ProxyTuning};
use nickeljunction_edge::shutdown::Shutdown;
use nickeljunction_edge::upstream::Location;
use nickeljunction_http::stream::{read_request_head, BodyReader};
use nickeljunction_http::{Chunk, Headers};
use nickeljunction_messages::{ServerInfo, ServerState};
use nickeljunction_net::budget::Budget;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};

/// Time from the start of the shutdown to the end of the process.
const SHUTDOWN_GRACE_MS: f64 = 6_000.0;

/// A request as a server received it.
#[derive(Debug, Clone)]
struct Arrival {
    server: String,
    /// Index of the connection among those that its server accepted.
    connection: usize,
    id: String,
    headers: Headers,
    body: Vec<u8>,
}

/// A step of a server's reaction to a request.
enum Action {
    Write(Vec<u8>),
    Close,
    Reset,
    /// Sends nothing until the connection ends.
    WaitForClose,
    /// Waits for the notification, even if the connection ends earlier.
    WaitFor(Rc<Notify>),
}

type Script = Rc<dyn Fn(usize, &Arrival) -> Vec<Action>>;

/// An answer with additional header lines.
fn encode_answer(status: u16, id: &str, header_lines: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nX-Attempt-Id: {id}\r\nContent-Length: {}\r\n{header_lines}\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn sealed_answer(id: &str) -> Vec<u8> {
    encode_answer(200, id, "X-Response-Seal: s\r\n", format!("for {id}").as_bytes())
}

fn not_executed_answer(id: &str, status: u16) -> Vec<u8> {
    encode_answer(status, id, "X-Not-Executed: 1\r\n", b"")
}

/// The proxy under test, the scripted servers and the requests that they received.
struct Fixture {
    proxy: Rc<Proxy>,
    wheel: Wheel,
    arrivals: Rc<RefCell<Vec<Arrival>>>,
    /// Notified when a connection ends during [`Action::WaitForClose`].
    connection_closed: Rc<Notify>,
    servers: Vec<ServerInfo>,
}

impl Fixture {
    /// Starts servers `s0`, `s1` ... of one backend, one for each of the zones. All run the same script, whose first
    /// argument is the number of requests that they received before, all together.
    async fn new(
        zones: &[&str],
        tuning: ProxyTuning,
        script: impl Fn(usize, &Arrival) -> Vec<Action> + 'static,
    ) -> Fixture {
        let wheel = Wheel::new(Clock::start());
        tokio::task::spawn_local(wheel.clone().run());
        let location = Location { name: "g1".into(), zone: "n1".into(), region: "n".into() };
        let proxy = Proxy::new(wheel.clone(), Budget::new(1_000), location, 7, tuning);
        tokio::task::spawn_local(proxy.clone().run());
        let (arrivals, connection_closed) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Notify::new()));
        let script: Script = Rc::new(script);
        let mut servers = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("bound").to_string();
            let (id, backend, zone, state) =
                (format!("s{index}"), "b".into(), zone.to_string(), ServerState::InService);
            let script_state = (script.clone(), arrivals.clone(), connection_closed.clone());
            tokio::task::spawn_local(listen(listener, id.clone(), script_state));
            servers.push(ServerInfo { id, backend, address, zone, slots: 2, state, cold: None });
        }
        let fixture = Fixture { proxy, wheel, arrivals, connection_closed, servers };
        fixture.proxy.set_gateway_count(1);
        let backend = BackendConfig { max_connections: 100, warmup_per_s: 0.001 };
        fixture.proxy.update_backends(HashMap::from([("b".to_string(), backend)]));
        fixture.update_servers(&[]);
        fixture
    }

    fn update_servers(&self, evacuated: &[&str]) {
        let zones = [("n1", "n"), ("n2", "n"), ("s1", "s")];
        let regions = zones.iter().map(|(zone, region)| (zone.to_string(), region.to_string())).collect();
        let evacuated: Vec<String> = evacuated.iter().map(|zone| zone.to_string()).collect();
        self.proxy.update_servers(&self.servers, &evacuated, &regions);
    }

    /// A request with this attempt id, and the receiver of its answer.
    fn exchange(
        &self,
        id: &str,
        retry_safety: RetrySafety,
    ) -> (Exchange, oneshot::Receiver<Answer<ServerResponse>>) {
        let mut head = BytesMut::from(
            "GET /a?b HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nX-Tenant-Name: forged\r\nX-Attempt-Id: x\r\n\
             X-Expected-Instance: forged\r\nX-Other: kept\r\nConnection: keep-alive\r\n\r\n",
        );
        let head = read_request_head(&mut head, 4_096).expect("good").expect("whole");
        let (reply, answer) = oneshot::channel();
        let exchange = Exchange {
            method: head.method,
            target: head.target,
            headers: head.headers,
            body: RequestBody::Buffered(Bytes::new()),
            attempt_id: id.to_string(),
            tenant: Some("t".into()),
            unit_valid_until: f64::INFINITY,
            backend: "b".into(),
            home_regions: Rc::new([]),
            retry_safety,
            target_latency_ms: 4_000.0,
            max_attempts: 2,
            priority: 0,
            arrived: self.wheel.now(),
            timeout_ms: 10_000.0,
            reply,
        };
        (exchange, answer)
    }

    async fn request(&self, id: &str, retry_safety: RetrySafety) -> Answer<ServerResponse> {
        let (exchange, answer) = self.exchange(id, retry_safety);
        self.proxy.dispatch(exchange);
        answer.await.expect("exactly one answer")
    }

    /// The server of each request that arrived, in the order of arrival.
    fn reached(&self) -> Vec<String> {
        self.arrivals.borrow().iter().map(|arrival| arrival.server.clone()).collect()
    }
}

type ScriptState = (Script, Rc<RefCell<Vec<Arrival>>>, Rc<Notify>);

async fn listen(listener: TcpListener, id: String, script_state: ScriptState) {
    for connection in 0.. {
        let Ok((stream, _)) = listener.accept().await else { return };
        tokio::task::spawn_local(serve(stream, id.clone(), connection, script_state.clone()));
    }
}

async fn serve(
    mut stream: TcpStream,
    server: String,
    connection: usize,
    (script, arrivals, connection_closed): ScriptState,
) {
    let mut buffer = BytesMut::new();
    loop {
        let head = loop {
            match read_request_head(&mut buffer, 16_384).expect("a request") {
                Some(head) => break head,
                None if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 => return,
                None => {}
            }
        };
        let mut reader = BodyReader::new(head.framing, 1 << 20).expect("within bounds");
        let mut body = Vec::new();
        while !reader.is_complete() {
            match reader.next(&mut buffer).expect("a body") {
                Chunk::Part(part) => body.extend_from_slice(&part),
                Chunk::Incomplete if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 => return,
                _ => {}
            }
        }
        assert_eq!((&head.method[..], &head.target[..]), ("GET", "/a?b"));
        let id = head.headers.get("x-attempt-id").expect("an id").to_string();
        let arrival = Arrival { server: server.clone(), connection, id, headers: head.headers, body };
        let earlier = arrivals.borrow().len();
        let actions = script(earlier, &arrival);
        arrivals.borrow_mut().push(arrival);
        for action in actions {
            match action {
                Action::Write(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Action::Close => return,
                Action::Reset => {
                    let socket = socket2::SockRef::from(&stream);
                    return socket.set_linger(Some(std::time::Duration::ZERO)).expect("a socket");
                }
                Action::WaitFor(completed) => completed.notified().await,
                Action::WaitForClose => {
                    let _ = stream.read_buf(&mut buffer).await;
                    return connection_closed.notify_one();
                }
            }
        }
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn ample_budget() -> ProxyTuning {
    ProxyTuning { retry_slack: 1_000, ..ProxyTuning::default() }
}

/// Status and complete body of an answer; the status is 0 for a failure and 1 for a refusal.
fn outcome(answer: Answer<ServerResponse>) -> (u16, String) {
    match answer {
        Answer::Served(ServerResponse { status, body: ResponseBody::Buffered(body), .. }) => {
            (status, String::from_utf8(body.to_vec()).expect("text"))
        }
        Answer::Served(served) => (served.status, "streamed".into()),
        Answer::Failed => (0, String::new()),
        Answer::ShortOnCapacityReply(_) => (1, String::new()),
    }
}

fn success(id: &str) -> (u16, String) {
    (200, format!("for {id}"))
}

const AT_MOST_ONCE: RetrySafety = RetrySafety::AtMostOnce;
const IDEMPOTENT: RetrySafety = RetrySafety::Idempotent;

#[test]
fn surplus_answer_is_never_delivered_to_the_next_request() {
    run(async {
        let fixture = Fixture::new(&["n1"], ample_budget(), |earlier, arrival| {
            match earlier {
                // A second answer to the first request arrives before the answer to this one.
                1 => vec![Action::Write(sealed_answer("a")), Action::Write(sealed_answer(&arrival.id))],
                // A duplicate follows the answer directly.
                2 => vec![Action::Write([sealed_answer(&arrival.id), sealed_answer(&arrival.id)].concat())],
                // Only answers to other requests arrive.
                4 => vec![
                    Action::Write([sealed_answer("a"), sealed_answer("b")].concat()),
                    Action::WaitForClose,
                ],
                _ => vec![Action::Write(sealed_answer(&arrival.id))],
            }
        });
        let fixture = fixture.await;
        for id in ["a", "b", "c", "d"] {
            assert_eq!(outcome(fixture.request(id, AT_MOST_ONCE).await), success(id));
        }
        assert_eq!(outcome(fixture.request("e", AT_MOST_ONCE).await), (0, String::new()));
        let connections: Vec<_> =
            fixture.arrivals.borrow().iter().map(|arrival| arrival.connection).collect();
        assert_eq!(connections, [0, 0, 1, 2, 2], "a connection with a surplus answer is closed");
    });
}

#[test]
fn request_that_was_not_executed_is_sent_to_another_server_even_if_at_most_once() {
    run(async {
        for status in [421, 503, 429] {
            let fixture =
                Fixture::new(&["n1", "n1"], ample_budget(), move |earlier, arrival| match earlier {
                    0 if status == 421 => {
                        vec![Action::Write(encode_answer(421, &arrival.id, "", b"not me"))]
                    }
                    0 => vec![Action::Write(not_executed_answer(&arrival.id, status))],
                    _ => vec![Action::Write(sealed_answer(&arrival.id))],
                });
            let fixture = fixture.await;
            assert_eq!(outcome(fixture.request("a", AT_MOST_ONCE).await), success("a"));
            let servers = fixture.reached();
            assert!(servers.len() == 2 && servers[0] != servers[1], "{servers:?}");
            if status == 421 {
                for number in 0..6 {
                    assert_eq!(
                        outcome(fixture.request(&number.to_string(), AT_MOST_ONCE).await),
                        success(&number.to_string())
                    );
                }
                let first = servers[0].clone();
                assert!(
                    !fixture.reached()[1..].contains(&first),
                    "the server that answered 421 is used again"
                );
            }
        }
    });
}

#[test]
fn request_that_may_have_run_is_retried_only_if_idempotent() {
    run(async {
        type MakeActions = fn(&str) -> Vec<Action>;
        let cases: [(&str, MakeActions, u16); 8] = [
            ("reset", |_| vec![Action::Reset], 0),
            ("closed", |_| vec![Action::Close], 0),
            ("truncated", |id| vec![Action::Write(sealed_answer(id)[..60].to_vec()), Action::Close], 0),
            (
                "invalid bytes",
                |_| vec![Action::Write(b"\x16\x03\x01noise\r\n\r\n".to_vec()), Action::WaitForClose],
                0,
            ),
            ("no seal", |id| vec![Action::Write(encode_answer(200, id, "", b"?"))], 0),
            (
                "no attempt id",
                |_| {
                    vec![Action::Write(
                        b"HTTP/1.1 200 X\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n".to_vec(),
                    )]
                },
                0,
            ),
            ("503 without X-Not-Executed", |id| vec![Action::Write(encode_answer(503, id, "", b""))], 0),
            (
                "failure",
                |id| vec![Action::Write(encode_answer(500, id, "X-Response-Seal: s\r\n", b"ran"))],
                500,
            ),
        ];
        for (case, actions, at_most_once_status) in cases {
            let script = move |earlier: usize, arrival: &Arrival| match earlier {
                0 => actions(&arrival.id),
                _ => vec![Action::Write(sealed_answer(&arrival.id))],
            };
            let fixture = Fixture::new(&["n1", "n1"], ample_budget(), script).await;
            assert_eq!(
                (outcome(fixture.request("a", AT_MOST_ONCE).await).0, fixture.reached().len()),
                (at_most_once_status, 1),
                "{case}"
            );
            let fixture = Fixture::new(&["n1", "n1"], ample_budget(), script).await;
            assert_eq!(
                (outcome(fixture.request("a", IDEMPOTENT).await), fixture.reached().len()),
                (success("a"), 2),
                "{case}"
            );
        }
        // After the last allowed attempt the failure is delivered to the client.
        let server_error =
            |_: usize, arrival: &Arrival| vec![Action::Write(encode_answer(500, &arrival.id, "", b"ran"))];
        let fixture = Fixture::new(&["n1", "n1", "n1"], ample_budget(), server_error).await;
        assert_eq!(
            (outcome(fixture.request("a", IDEMPOTENT).await).0, fixture.reached().len()),
            (500, 2),
            "attempts that the route allows"
        );
    });
}

#[test]
fn long_answers_are_streamed_in_small_parts_and_truncation_is_detectable() {
    const BODY_BYTES: usize = 540_000;
    run(async {
        let fixture = Fixture::new(&["n1"], ample_budget(), |earlier, arrival| {
            let complete_answer =
                encode_answer(200, &arrival.id, "X-Response-Seal: s\r\n", &vec![b'x'; BODY_BYTES]);
            match earlier {
                1 => vec![Action::Write(complete_answer[..BODY_BYTES / 2].to_vec()), Action::Close],
                _ => vec![Action::Write(complete_answer)],
            }
        });
        let fixture = fixture.await;
        for (id, complete) in [("a", true), ("b", false), ("c", true)] {
            let Answer::Served(ServerResponse {
                status: 200, body: ResponseBody::Streamed(mut body), ..
            }) = fixture.request(id, IDEMPOTENT).await
            else {
                panic!("a streamed answer")
            };
            assert_eq!(body.length, Some(BODY_BYTES as u64));
            let (mut length, mut ended) = (0, false);
            while let Some(part) = body.parts.recv().await {
                assert!(!ended && body.parts.len() <= 2);
                match part {
                    BodyPart::Data(bytes) => length += bytes.len(),
                    BodyPart::End => ended = true,
                }
            }
            assert_eq!((ended, length == BODY_BYTES), (complete, complete), "{id}: {length}");
        }
        fixture.proxy.wait_until_idle().await;
        assert_eq!((fixture.proxy.active_requests(), fixture.reached().len()), (0, 3));
        let connections: Vec<_> =
            fixture.arrivals.borrow().iter().map(|arrival| arrival.connection).collect();
        assert_eq!(connections, [0, 0, 1], "a connection is reused after a complete answer only");
    });
}

#[test]
fn home_regions_evacuated_zones_and_cold_servers_are_respected() {
    run(async {
        let answers = |_: usize, arrival: &Arrival| vec![Action::Write(sealed_answer(&arrival.id))];
        let mut fixture = Fixture::new(&["n1", "n2", "s1"], ample_budget(), answers).await;
        let status_with = |fixture: &Fixture, home_regions: &[&str], timeout_ms| {
            let (mut exchange, answer) = fixture.exchange("a", IDEMPOTENT);
            exchange.home_regions = home_regions.iter().map(|region| region.to_string()).collect();
            exchange.timeout_ms = timeout_ms;
            fixture.arrivals.borrow_mut().clear();
            fixture.proxy.dispatch(exchange);
            async { outcome(answer.await.expect("an answer")).0 }
        };
        fixture.update_servers(&["n1"]);
        assert_eq!((status_with(&fixture, &[], 9e3).await, fixture.reached()), (200, vec!["s1".to_string()]));
        assert_eq!(
            (status_with(&fixture, &["s"], 9e3).await, fixture.reached()),
            (200, vec!["s2".to_string()])
        );
        fixture.update_servers(&["n1", "n2"]);
        assert_eq!(
            (status_with(&fixture, &["n"], 200.0).await, fixture.reached().len()),
            (1, 0),
            "no permitted region has a server"
        );
        assert_eq!((status_with(&fixture, &[], 9e3).await, fixture.reached()), (200, vec!["s2".to_string()]));
        // A cold server gets one request in a long time, and only from the gateway that holds its permit.
        fixture.servers[0].cold = Some("g1".into());
        fixture.servers[1].cold = Some("g2".into());
        fixture.servers[2].state = ServerState::Draining;
        fixture.update_servers(&[]);
        assert_eq!((status_with(&fixture, &[], 9e3).await, fixture.reached()), (200, vec!["s0".to_string()]));
        assert_eq!(
            (status_with(&fixture, &[], 200.0).await, fixture.reached().len()),
            (1, 0),
            "the warm-up permit is used up"
        );
        fixture.servers[0].cold = None;
        fixture.update_servers(&[]);
        assert_eq!(
            (status_with(&fixture, &[], 9e3).await, fixture.reached()),
            (200, vec!["s0".to_string()]),
            "warm again"
        );
    });
}

#[test]
fn unreachable_local_server_is_replaced_by_a_remote_one_at_once() {
    run(async {
        let answers = |_: usize, arrival: &Arrival| vec![Action::Write(sealed_answer(&arrival.id))];
        let mut fixture = Fixture::new(&["n1", "s1"], ample_budget(), answers).await;
        assert_eq!(
            (outcome(fixture.request("a", AT_MOST_ONCE).await), fixture.reached()),
            (success("a"), vec!["s0".to_string()])
        );
        // Nothing listens on this address any more, but the server is still listed.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        fixture.servers[0].address = listener.local_addr().expect("bound").to_string();
        drop(listener);
        fixture.update_servers(&[]);
        assert_eq!(
            (outcome(fixture.request("b", AT_MOST_ONCE).await), &fixture.reached()[1][..]),
            (success("b"), "s1")
        );
        let counts = fixture.proxy.counts();
        assert_eq!(
            (counts.connect_failures, counts.further_attempts),
            (1, 0),
            "{}",
            fixture.proxy.log_line()
        );
    });
}

/// The address of a server id changes, once while its connection is idle and once while a request is in progress on it.
#[test]
fn connection_to_a_former_address_is_not_reused() {
    run(async {
        let completed = Rc::new(Notify::new());
        let script_completed = completed.clone();
        let mut fixture =
            Fixture::new(&["n1", "n1", "n1"], ample_budget(), move |earlier, arrival| match earlier {
                1 => {
                    vec![Action::WaitFor(script_completed.clone()), Action::Write(sealed_answer(&arrival.id))]
                }
                _ => vec![Action::Write(sealed_answer(&arrival.id))],
            })
            .await;
        let addresses: Vec<String> = fixture.servers.iter().map(|server| server.address.clone()).collect();
        fixture.servers.truncate(1);
        fixture.update_servers(&[]);
        assert_eq!(outcome(fixture.request("a", AT_MOST_ONCE).await), success("a"));
        fixture.servers[0].address = addresses[1].clone();
        fixture.update_servers(&[]);
        let (exchange, answer) = fixture.exchange("b", AT_MOST_ONCE);
        fixture.proxy.dispatch(exchange);
        while fixture.reached().len() < 2 {
            tokio::task::yield_now().await;
        }
        fixture.servers[0].address = addresses[2].clone();
        fixture.update_servers(&[]);
        completed.notify_one();
        assert_eq!(outcome(answer.await.expect("an answer")), success("b"));
        assert_eq!(outcome(fixture.request("c", AT_MOST_ONCE).await), success("c"));
        assert_eq!(fixture.reached(), ["s0", "s1", "s2"]);
    });
}

#[test]
fn retry_budget_limits_further_attempts_while_every_server_fails() {
    run(async {
        let tuning = ProxyTuning { retry_slack: 8, ..ProxyTuning::default() };
        let server_error =
            |_: usize, arrival: &Arrival| vec![Action::Write(encode_answer(500, &arrival.id, "", b"ran"))];
        let fixture = Fixture::new(&["n1", "n1", "n1"], tuning, server_error).await;
        for number in 0..60 {
            assert_eq!(outcome(fixture.request(&number.to_string(), IDEMPOTENT).await).0 / 500 * 500, 500);
        }
        let (arrivals, counts) = (fixture.reached().len(), fixture.proxy.counts());
        assert!((61..=60 + 12).contains(&arrivals), "{arrivals}");
        assert_eq!(
            (counts.first_attempts + counts.further_attempts, counts.first_attempts),
            (arrivals as u64, 60),
            "{}",
            fixture.proxy.log_line()
        );
    });
}

/// An admission without any units left.
struct ExhaustedAdmission;

impl Admission for ExhaustedAdmission {
    fn admit<'a>(&'a self, _: &'a str) -> Pin<Box<dyn Future<Output = AdmissionDecision> + 'a>> {
        unreachable!("only the frontend calls admit")
    }

    fn take_extra_unit(&self, _: &str) -> bool {
        false
    }

    fn stale_retry_after_ms(&self) -> Option<f64> {
        None
    }
}

#[test]
fn no_attempt_without_a_unit_or_with_an_expired_unit() {
    run(async {
        let fixture = Fixture::new(&["n1", "n2"], ample_budget(), |_, _| vec![Action::Reset]).await;
        let admission: Rc<dyn Admission> = Rc::new(ExhaustedAdmission);
        fixture.proxy.set_admission(Rc::downgrade(&admission));
        let answer = fixture.request("a", IDEMPOTENT).await;
        assert!(matches!(answer, Answer::ShortOnCapacityReply(_)), "the one unit is used up");
        assert_eq!(fixture.reached().len(), 1);
        let (mut exchange, answer) = fixture.exchange("b", AT_MOST_ONCE);
        exchange.unit_valid_until = exchange.arrived - 1.0;
        fixture.proxy.dispatch(exchange);
        let answer = answer.await.expect("exactly one answer");
        assert!(matches!(answer, Answer::ShortOnCapacityReply(_)), "no server executed it");
        assert_eq!(fixture.reached().len(), 1);
    });
}

/// Sends requests to the only server of the region until it has no free slot.
async fn fill_local_server(fixture: &Fixture) -> Vec<oneshot::Receiver<Answer<ServerResponse>>> {
    let mut in_progress = Vec::new();
    while fixture.reached().len() < 2 {
        let (exchange, answer) = fixture.exchange("in progress", IDEMPOTENT);
        fixture.proxy.dispatch(exchange);
        in_progress.push(answer);
        fixture.wheel.sleep(5.0).await;
    }
    in_progress
}

/// Whether requests overflow into the other region after `refused` requests, changed by `modify`, were refused. With
/// `full`, the local region has no free slot during these refusals; otherwise it is filled only afterwards.
async fn overflows_after_refusals(refused: usize, full: bool, modify: impl Fn(&mut Exchange)) -> bool {
    let fixture = Fixture::new(&["n1", "s1"], ample_budget(), |_, _| vec![Action::WaitForClose]).await;
    let admission: Rc<dyn Admission> = Rc::new(ExhaustedAdmission);
    fixture.proxy.set_admission(Rc::downgrade(&admission));
    let _in_progress_before = if full { fill_local_server(&fixture).await } else { Vec::new() };
    for _ in 0..refused {
        let (mut exchange, answer) = fixture.exchange("refused", IDEMPOTENT);
        modify(&mut exchange);
        fixture.proxy.dispatch(exchange);
        assert!(matches!(answer.await, Ok(Answer::ShortOnCapacityReply(_))));
    }
    let _in_progress_after = fill_local_server(&fixture).await;
    let (exchange, _answer) = fixture.exchange("last", IDEMPOTENT);
    fixture.proxy.dispatch(exchange);
    // The overflow decision is updated within one maintenance interval.
    fixture.wheel.sleep(1_100.0).await;
    fixture.reached().contains(&"s1".to_string())
}

#[test]
fn requests_overflow_only_if_the_region_has_no_capacity() {
    run(async {
        let timed_out_waiting =
            |exchange: &mut Exchange| (exchange.target_latency_ms, exchange.timeout_ms) = (100.0, 400.0);
        assert!(
            overflows_after_refusals(6, true, timed_out_waiting).await,
            "requests waited for the full server in vain"
        );
        let no_unit = |exchange: &mut Exchange| exchange.unit_valid_until = exchange.arrived - 1.0;
        assert!(!overflows_after_refusals(20, false, no_unit).await, "refused without a valid unit");
        let too_little_time = |exchange: &mut Exchange| exchange.timeout_ms = 1.0;
        assert!(!overflows_after_refusals(20, false, too_little_time).await, "refused for lack of time");
    });
}

#[test]
fn server_receives_the_clients_headers_and_body_with_the_gateways_own_headers() {
    run(async {
        let answers = |_: usize, arrival: &Arrival| vec![Action::Write(sealed_answer(&arrival.id))];
        let fixture = Fixture::new(&["n1"], ample_budget(), answers).await;
        for length in [Some(6), None] {
            let (mut exchange, answer) = fixture.exchange("a", AT_MOST_ONCE);
            let (part_sender, parts) = mpsc::channel(2);
            exchange.body = RequestBody::Streamed(RefCell::new(Some(BodyStream { length, parts })));
            fixture.proxy.dispatch(exchange);
            for part in ["abc", "def"] {
                part_sender.send(BodyPart::Data(Bytes::from(part))).await.expect("receiver is open");
            }
            part_sender.send(BodyPart::End).await.expect("receiver is open");
            assert_eq!(outcome(answer.await.expect("an answer")), success("a"));
        }
        // A request whose body breaks off is not sent again, and its connection is closed.
        let (mut exchange, answer) = fixture.exchange("b", IDEMPOTENT);
        let (part_sender, parts) = mpsc::channel(2);
        exchange.body = RequestBody::Streamed(RefCell::new(Some(BodyStream { length: Some(6), parts })));
        fixture.proxy.dispatch(exchange);
        part_sender.send(BodyPart::Data(Bytes::from("abc"))).await.expect("receiver is open");
        drop(part_sender);
        assert!(outcome(answer.await.expect("an answer")).0 < 2);
        let arrivals = fixture.arrivals.borrow();
        assert_eq!(arrivals.len(), 2);
        for arrival in arrivals.iter() {
            let values = |name| arrival.headers.all(name).collect::<Vec<_>>();
            assert_eq!((values("x-tenant-name"), values("x-expected-instance")), (vec!["t"], vec!["s0"]));
            assert_eq!(
                (values("x-attempt-id"), values("x-other"), values("host")),
                (vec!["a"], vec!["kept"], vec!["h"])
            );
            assert_eq!(
                (values("authorization").len(), values("connection").len(), &arrival.body[..]),
                (0, 0, &b"abcdef"[..])
            );
            let remaining_ms: u64 = values("x-deadline-remaining")[0].parse().expect("whole ms");
            assert!((1..=9_990).contains(&remaining_ms), "{remaining_ms}");
        }
    });
}

#[test]
fn client_disconnect_cancels_idempotent_requests_only() {
    run(async {
        let fixture = Fixture::new(&["n1"], ample_budget(), |_, _| vec![Action::WaitForClose]).await;
        let dispatch_and_disconnect = async |id, retry_safety, earlier| {
            let (exchange, answer) = fixture.exchange(id, retry_safety);
            fixture.proxy.dispatch(exchange);
            while fixture.reached().len() == earlier {
                tokio::task::yield_now().await;
            }
            drop(answer);
        };
        dispatch_and_disconnect("a", IDEMPOTENT, 0).await;
        fixture.connection_closed.notified().await;
        fixture.proxy.wait_until_idle().await;
        dispatch_and_disconnect("b", AT_MOST_ONCE, 1).await;
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(fixture.proxy.active_requests(), 1, "the server may still be executing it");
    });
}

/// Runs a request whose first attempt exceeds its target latency, and returns the client's answer after the server has
/// completed that attempt.
async fn answer_after_slow_attempt(tuning: ProxyTuning, shutting_down: bool) -> (u16, String) {
    const FAST_ANSWERS: usize = 20;
    let completed = Rc::new(Notify::new());
    let script_completed = completed.clone();
    // After some fast answers one attempt takes too long. A further attempt, where it is allowed, is answered with
    // X-Not-Executed: if the first attempt were cancelled, the client would receive a refusal.
    let fixture = Fixture::new(&["n1", "n2"], tuning, move |earlier, arrival| match earlier {
        ..FAST_ANSWERS => vec![Action::Write(sealed_answer(&arrival.id))],
        FAST_ANSWERS => {
            vec![Action::WaitFor(script_completed.clone()), Action::Write(sealed_answer(&arrival.id))]
        }
        _ => vec![Action::Write(not_executed_answer(&arrival.id, 503))],
    })
    .await;
    let exchange = |id: &str| {
        let (exchange, answer) = fixture.exchange(id, IDEMPOTENT);
        (Exchange { target_latency_ms: 500.0, ..exchange }, answer)
    };
    for _ in 0..FAST_ANSWERS {
        let (exchange, answer) = exchange("fast");
        fixture.proxy.dispatch(exchange);
        assert_eq!(outcome(answer.await.expect("exactly one answer")), success("fast"));
    }
    if shutting_down {
        fixture.proxy.begin_shutdown(Shutdown::begin(fixture.wheel.now(), 0.0, SHUTDOWN_GRACE_MS));
    }
    let (exchange, mut answer) = exchange("a");
    fixture.proxy.dispatch(exchange);
    while fixture.proxy.counts().rejected + fixture.proxy.counts().further_attempts_denied == 0 {
        assert!(answer.try_recv().is_err(), "answered while the first server is still executing");
        tokio::task::yield_now().await;
    }
    assert!(answer.try_recv().is_err(), "answered while the first server is still executing");
    completed.notify_one();
    let answer = outcome(answer.await.expect("exactly one answer"));
    fixture.proxy.wait_until_idle().await;
    answer
}

#[test]
fn slow_attempt_is_not_cancelled_during_shutdown() {
    run(async { assert_eq!(answer_after_slow_attempt(ample_budget(), true).await, success("a")) });
}

/// A shutdown may begin at the same moment, which is not yet known when the attempt is judged too slow.
#[test]
fn slow_attempt_is_not_cancelled_if_no_retry_is_allowed() {
    let tuning = ProxyTuning { retry_ratio: 0.0, retry_slack: 0, ..ample_budget() };
    run(async move { assert_eq!(answer_after_slow_attempt(tuning, false).await, success("a")) });
}

/// The remaining time in ms that the request announced to the server.
fn announced_time_ms(arrival: &Arrival) -> f64 {
    arrival.headers.get("x-deadline-remaining").expect("a time").parse().expect("a number")
}

#[test]
fn announced_deadline_ends_before_the_process_during_shutdown() {
    run(async {
        let fixture = Fixture::new(&["n1"], ample_budget(), |_, arrival| {
            vec![Action::Write(sealed_answer(&arrival.id))]
        })
        .await;
        assert_eq!(outcome(fixture.request("before", AT_MOST_ONCE).await), success("before"));
        fixture.proxy.begin_shutdown(Shutdown::begin(fixture.wheel.now(), 0.0, SHUTDOWN_GRACE_MS));
        assert_eq!(outcome(fixture.request("after", AT_MOST_ONCE).await), success("after"));
        let arrivals = fixture.arrivals.borrow();
        assert!(announced_time_ms(&arrivals[0]) > 9_000.0);
        let max_ms = SHUTDOWN_GRACE_MS - 1_000.0 - ample_budget().deadline_margin_ms;
        assert!(announced_time_ms(&arrivals[1]) <= max_ms, "{} of {max_ms}", announced_time_ms(&arrivals[1]));
    });
}

#[test]
fn no_attempt_is_sent_that_could_not_end_before_the_process() {
    run(async {
        // The shutdown begins when the first server answers that it did not execute the request: a second attempt
        // could not end in time.
        let proxy: Rc<OnceCell<(Rc<Proxy>, Wheel)>> = Rc::default();
        let script_proxy = proxy.clone();
        let fixture = Fixture::new(&["n1", "n2"], ample_budget(), move |_, arrival| {
            let (proxy, wheel) = script_proxy.get().expect("made");
            proxy.begin_shutdown(Shutdown::begin(wheel.now(), 0.0, 0.0));
            vec![Action::Write(not_executed_answer(&arrival.id, 503))]
        })
        .await;
        assert!(proxy.set((fixture.proxy.clone(), fixture.wheel.clone())).is_ok());
        for (id, retry_safety) in [("once", AT_MOST_ONCE), ("safe", IDEMPOTENT)] {
            assert_eq!(
                outcome(fixture.request(id, retry_safety).await),
                (1, String::new()),
                "{id}: refused as not executed"
            );
        }
        // The second request arrives after the start of the shutdown and reaches no server.
        assert_eq!(fixture.arrivals.borrow().len(), 1);
        fixture.proxy.wait_until_idle().await;
    });
}
