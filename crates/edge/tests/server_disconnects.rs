//! Server connections that close, reset or stall at any byte of a request or of its response, over loopback: a
//! request that must not run twice runs at most once, no client receives a truncated response, and the next request
//! gets its own response.

use bytes::{Bytes, BytesMut};
use nickeljunction_core::facade::RetrySafety;
use nickeljunction_core::life::Answer;
use nickeljunction_edge::exchange::{
    BodyPart, Dispatch, Exchange, RequestBody, ResponseBody, ServerResponse,
};
use nickeljunction_edge::proxy::Proxy;
use nickeljunction_edge::proxy_types::{BackendConfig, ProxyTuning};
use nickeljunction_edge::upstream::Location;
use nickeljunction_http::stream::{read_request_head, BodyReader};
use nickeljunction_http::Chunk;
use nickeljunction_messages::{ServerInfo, ServerState};
use nickeljunction_net::budget::Budget;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinSet, LocalSet};

/// How a server ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
    /// The connection stays open, but the server sends nothing more.
    Stall,
}

/// Where the first connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// After this number of bytes of the request.
    Request(usize),
    /// After the complete request and this number of bytes of the response.
    Response(usize),
    /// Within a long response.
    LongResponse,
}

/// One case: the first connection ends this way, with a request of this retry safety on it.
#[derive(Debug, Clone, Copy)]
struct Disconnect {
    position: Position,
    ending: Ending,
    retry_safety: RetrySafety,
}

/// What the servers of a case have received.
#[derive(Default)]
struct ServerLog {
    /// The id of each run, in order.
    runs: RefCell<Vec<String>>,
    /// The first connection, which ends early, has been accepted.
    first_accepted: Cell<bool>,
    /// Length of the longest complete request.
    longest_request: Cell<usize>,
}

/// How long after its deadline an answer may arrive on a busy machine, ms: far less than the time-out of any
/// connection.
const SCHEDULING_SLACK_MS: f64 = 2_000.0;
const REQUEST_BODY: &[u8] = b"0123456789";

fn response(id: &str) -> Vec<u8> {
    let body = format!("for {id}");
    let length = body.len();
    format!("HTTP/1.1 200 X\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// The length and the id of the complete request at the start of `buffer`; `None`: it is incomplete.
fn complete_request(buffer: &BytesMut) -> Option<(usize, String)> {
    let mut rest = buffer.clone();
    let head = read_request_head(&mut rest, 16_384).expect("a request")?;
    let mut reader = BodyReader::new(head.framing, 1 << 20).expect("within bounds");
    while !reader.is_complete() {
        if reader.next(&mut rest).expect("a body") == Chunk::Incomplete {
            return None;
        }
    }
    Some((buffer.len() - rest.len(), head.headers.get("x-attempt-id").expect("an id").to_string()))
}

/// The first half of a response with a body of 200 kB.
fn half_of_long_response(id: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 X\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Length: 200000\r\n\r\n"
    );
    [head.as_bytes(), &[b'x'; 100_000]].concat()
}

fn end_connection(stream: TcpStream, ending: Ending) {
    match ending {
        Ending::Close => drop(stream),
        Ending::Reset => {
            socket2::SockRef::from(&stream)
                .set_linger(Some(std::time::Duration::ZERO))
                .expect("set SO_LINGER");
        }
        Ending::Stall => {
            spawn_local(async move {
                let mut stream = stream;
                let mut discarded = [0; 1024];
                while stream.read(&mut discarded).await.is_ok_and(|read| read > 0) {}
            });
        }
    }
}

/// Answers requests; the first connection of all ends as `disconnect` says.
async fn serve(mut stream: TcpStream, log: Rc<ServerLog>, disconnect: Disconnect) {
    let is_first = !log.first_accepted.replace(true);
    let mut buffer = BytesMut::new();
    if let (true, Position::Request(bytes)) = (is_first, disconnect.position) {
        let mut part = vec![0; bytes];
        if bytes > 0 {
            stream.read_exact(&mut part).await.expect("a request");
        }
        if let Some((_, id)) = complete_request(&BytesMut::from(&part[..])) {
            log.runs.borrow_mut().push(id);
        }
        return end_connection(stream, disconnect.ending);
    }
    loop {
        let (length, id) = loop {
            match complete_request(&buffer) {
                Some(request) => break request,
                None if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 => return,
                None => {}
            }
        };
        drop(buffer.split_to(length));
        log.longest_request.set(log.longest_request.get().max(length));
        log.runs.borrow_mut().push(id.clone());
        let response = response(&id);
        if let (true, Position::Response(bytes)) = (is_first, disconnect.position) {
            stream.write_all(&response[..bytes]).await.expect("the gateway reads");
            return end_connection(stream, disconnect.ending);
        }
        if (is_first, disconnect.position) == (true, Position::LongResponse) {
            stream.write_all(&half_of_long_response(&id)).await.expect("the gateway reads");
            return end_connection(stream, disconnect.ending);
        }
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

fn exchange(
    wheel: &Wheel,
    id: &str,
    retry_safety: RetrySafety,
    timeout_ms: f64,
) -> (Exchange, oneshot::Receiver<Answer<ServerResponse>>) {
    let mut head = BytesMut::from("POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: x\r\n\r\n");
    let head = read_request_head(&mut head, 4_096).expect("well formed").expect("complete");
    let (reply, answer) = oneshot::channel();
    let exchange = Exchange {
        method: head.method,
        target: head.target,
        headers: head.headers,
        body: RequestBody::Buffered(Bytes::from_static(REQUEST_BODY)),
        attempt_id: id.to_string(),
        tenant: None,
        unit_valid_until: f64::INFINITY,
        backend: "b".into(),
        home_regions: Rc::new([]),
        retry_safety,
        target_latency_ms: 4_000.0,
        max_attempts: 2,
        priority: 0,
        arrived: wheel.now(),
        timeout_ms,
        reply,
    };
    (exchange, answer)
}

/// The body of a response of status 200; `Ok(None)`: the request failed; `Err`: it was refused.
fn outcome(answer: Answer<ServerResponse>) -> Result<Option<String>, ()> {
    match answer {
        Answer::Served(ServerResponse { status: 200, body: ResponseBody::Buffered(body), .. }) => {
            Ok(Some(String::from_utf8(body.to_vec()).expect("text")))
        }
        Answer::Served(_) => panic!("a response that no server sent"),
        Answer::Failed => Ok(None),
        Answer::ShortOnCapacityReply(_) => Err(()),
    }
}

/// A gateway with two servers, whose first connection ends as the case says.
struct Fixture {
    proxy: Rc<Proxy>,
    wheel: Wheel,
    log: Rc<ServerLog>,
    /// The listeners and the proxy's own task; they stop when the fixture is dropped.
    _tasks: JoinSet<()>,
}

impl Fixture {
    async fn new(wheel: Wheel, disconnect: Disconnect) -> Fixture {
        let location = Location { name: "g1".into(), zone: "n1".into(), region: "n".into() };
        let tuning = ProxyTuning { retry_slack: 1_000, ..ProxyTuning::default() };
        let proxy = Proxy::new(wheel.clone(), Budget::new(200), location, 7, tuning);
        let (log, mut tasks, mut servers) = (Rc::new(ServerLog::default()), JoinSet::new(), Vec::new());
        tasks.spawn_local(proxy.clone().run());
        for number in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
            let address = listener.local_addr().expect("local address").to_string();
            let (id, backend, zone) = (format!("s{number}"), "b".to_string(), "n1".to_string());
            let state = ServerState::InService;
            servers.push(ServerInfo { id, backend, address, zone, slots: 2, state, cold: None });
            let log = log.clone();
            tasks.spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(serve(stream, log.clone(), disconnect));
                }
            });
        }
        proxy.set_gateway_count(1);
        let backend = BackendConfig { max_connections: 100, warmup_per_s: 0.0 };
        proxy.update_backends(HashMap::from([("b".to_string(), backend)]));
        proxy.update_servers(&servers, &[], &HashMap::from([("n1".to_string(), "n".to_string())]));
        Fixture { proxy, wheel, log, _tasks: tasks }
    }

    async fn dispatch(&self, id: &str, retry_safety: RetrySafety, timeout_ms: f64) -> Answer<ServerResponse> {
        let (exchange, answer) = exchange(&self.wheel, id, retry_safety, timeout_ms);
        self.proxy.dispatch(exchange);
        answer.await.expect("exactly one answer")
    }
}

/// Runs a case with a request on the connection that ends early, and another request after it. Returns the length of
/// the longest request that a server received.
async fn run_case(wheel: Wheel, case: Disconnect) -> usize {
    let fixture = Fixture::new(wheel, case).await;
    let (log, proxy) = (fixture.log.clone(), fixture.proxy.clone());
    let timeout_ms = if case.ending == Ending::Stall { 500.0 } else { 9_000.0 };
    let began = fixture.wheel.now();
    let first = outcome(fixture.dispatch("a", case.retry_safety, timeout_ms).await);
    let elapsed_ms = fixture.wheel.now() - began;
    assert!(elapsed_ms < timeout_ms + SCHEDULING_SLACK_MS, "{case:?}: answered after {elapsed_ms} ms");
    let sent = proxy.counts().first_attempts + proxy.counts().further_attempts;
    let runs = |id: &str| log.runs.borrow().iter().filter(|run| *run == id).count();
    let success = |id: &str| Ok(Some(format!("for {id}")));
    let is_complete = case.position == Position::Response(response("a").len());
    match (case.retry_safety, case.ending) {
        _ if is_complete => assert!(first == success("a") && runs("a") == 1, "{case:?}: {first:?}"),
        // Refused only if no byte of it was sent: on a busy machine its deadline may have passed by then.
        (RetrySafety::AtMostOnce, _) => {
            let expected = if sent == 0 { first.is_err() } else { first == Ok(None) };
            assert!(
                expected && sent <= 1 && runs("a") <= 1,
                "{case:?}: {first:?}, {sent} sent, {} runs",
                runs("a")
            );
        }
        // An idempotent request may also be refused after it has run.
        (_, Ending::Stall) => {
            assert!(first.is_err() || first == Ok(None) || first == success("a"), "{case:?}: {first:?}");
        }
        _ => assert!(first == success("a") && runs("a") <= 2, "{case:?}: {first:?}"),
    }
    // The next request gets its own response and runs once, whatever is left of the first.
    let next = outcome(fixture.dispatch("b", RetrySafety::AtMostOnce, 9_000.0).await);
    assert!(next == success("b") && runs("b") == 1, "{case:?}, then {next:?}");
    log.longest_request.get()
}

/// Runs cases, up to 120 of them concurrently. Returns the length of the longest request that a server received.
fn run_cases(cases: &[Disconnect]) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let wheel = Wheel::new(Clock::start());
        spawn_local(wheel.clone().run());
        let mut longest = 0;
        for batch in cases.chunks(120) {
            let mut tasks = JoinSet::new();
            batch.iter().for_each(|case| drop(tasks.spawn_local(run_case(wheel.clone(), *case))));
            while let Some(request) = tasks.join_next().await {
                longest = longest.max(request.expect("a case"));
            }
        }
        longest
    })
}

/// The cases of all these positions and endings, for both kinds of retry safety.
fn combinations(positions: impl Iterator<Item = Position> + Clone, endings: &[Ending]) -> Vec<Disconnect> {
    let retry_safeties = [RetrySafety::AtMostOnce, RetrySafety::Idempotent];
    let at_all_positions = |retry_safety, ending| {
        positions.clone().map(move |position| Disconnect { position, ending, retry_safety })
    };
    retry_safeties
        .iter()
        .flat_map(|retry_safety| {
            endings.iter().flat_map(move |ending| at_all_positions(*retry_safety, *ending))
        })
        .collect()
}

#[test]
fn a_request_that_breaks_off_at_any_byte_runs_no_more_often_than_it_may() {
    let request_length = run_cases(&[Disconnect {
        position: Position::Response(response("a").len()),
        ending: Ending::Close,
        retry_safety: RetrySafety::AtMostOnce,
    }]);
    let positions = (0..=request_length).map(Position::Request);
    let mut cases = combinations(positions.clone(), &[Ending::Close, Ending::Reset]);
    cases.extend(combinations(positions.step_by(7), &[Ending::Stall]));
    println!("{} cases with a request of {request_length} bytes", cases.len());
    assert!(request_length > 100);
    run_cases(&cases);
}

#[test]
fn no_part_of_a_response_that_breaks_off_at_any_byte_reaches_a_client() {
    let response_length = response("a").len();
    let positions = (0..=response_length).map(Position::Response);
    let mut cases = combinations(positions.clone(), &[Ending::Close, Ending::Reset]);
    // Without the position after the complete response: a server may stall on the next request then.
    cases.extend(combinations(positions.take(response_length), &[Ending::Stall]));
    println!("{} cases with a response of {response_length} bytes", cases.len());
    run_cases(&cases);
}

#[test]
fn a_long_response_that_breaks_off_or_stalls_ends_visibly_and_by_its_deadline() {
    let cases =
        combinations([Position::LongResponse].into_iter(), &[Ending::Close, Ending::Reset, Ending::Stall]);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let wheel = Wheel::new(Clock::start());
        spawn_local(wheel.clone().run());
        for case in cases {
            let fixture = Fixture::new(wheel.clone(), case).await;
            let (began, timeout_ms) = (wheel.now(), 1_000.0);
            let Answer::Served(ServerResponse { body: ResponseBody::Streamed(mut body), .. }) =
                fixture.dispatch("a", case.retry_safety, timeout_ms).await
            else {
                panic!("{case:?}: the response is not streamed")
            };
            let mut complete = false;
            while let Some(part) = body.parts.recv().await {
                complete |= part == BodyPart::End;
            }
            let elapsed_ms = wheel.now() - began;
            assert!(
                !complete && elapsed_ms < timeout_ms + SCHEDULING_SLACK_MS,
                "{case:?}: complete: {complete}, ended after {elapsed_ms} ms"
            );
            assert!(
                case.ending != Ending::Stall || elapsed_ms >= timeout_ms - 50.0,
                "{case:?}: ended after {elapsed_ms} ms"
            );
            fixture.proxy.wait_until_idle().await;
            assert_eq!(
                outcome(fixture.dispatch("b", RetrySafety::AtMostOnce, 9_000.0).await),
                Ok(Some("for b".into())),
                "{case:?}"
            );
            assert_eq!(fixture.log.runs.borrow()[..], ["a", "b"], "{case:?}");
        }
    });
}
