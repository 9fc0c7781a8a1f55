//! Pipelined requests on one client connection: responses keep the order of the requests, and no request is
//! dispatched twice, whichever of them fail, wherever the client disconnects, and wherever an orderly shutdown
//! begins.

use bytes::{Bytes, BytesMut};
use nickeljunction_core::life::Answer;
use nickeljunction_edge::exchange::{
    Admission, AdmissionDecision, BodyPart, BodyStream, Dispatch, Exchange, ResponseBody, ServerResponse,
};
use nickeljunction_edge::frontend::{Frontend, Lifecycle};
use nickeljunction_edge::shutdown::Shutdown;
use nickeljunction_edge::table::{SnapshotCell, Table};
use nickeljunction_http::stream::{read_answer_head, BodyReader};
use nickeljunction_http::{Chunk, Headers};
use nickeljunction_net::budget::Budget;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use nickeljunction_schema::Document;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc;

/// Stores dispatched exchanges until the test replies to them, and records the ids of all.
#[derive(Default)]
struct FakeProxy {
    /// Exchanges without a reply, in the order of their dispatch.
    open: RefCell<Vec<Exchange>>,
    dispatched_ids: RefCell<Vec<String>>,
}

impl Dispatch for FakeProxy {
    fn dispatch(&self, exchange: Exchange) {
        self.dispatched_ids.borrow_mut().push(exchange.attempt_id.clone());
        self.open.borrow_mut().push(exchange);
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

struct Fixture {
    frontend: Rc<Frontend>,
    proxy: Rc<FakeProxy>,
    lifecycle: Rc<Lifecycle>,
    wheel: Wheel,
}

impl Fixture {
    fn new() -> Fixture {
        let text = r#"{"config_version":1,"limits":{},"backends":{"a":{}},"routes":{
            "i":{"hostname":"h","path_prefix":"/i/","route_type":"idempotent","timeout_s":60,"backend":"a","no_auth":true},
            "n":{"hostname":"h","path_prefix":"/n/","route_type":"non_idempotent","timeout_s":60,"backend":"a","no_auth":true}}}"#;
        let document = Document::read(text.as_bytes()).expect("valid");
        let wheel = Wheel::new(Clock::start());
        tokio::task::spawn_local(wheel.clone().run());
        let (proxy, lifecycle) = (Rc::new(FakeProxy::default()), Rc::new(Lifecycle::default()));
        let table = Rc::new(SnapshotCell::new(Table::of(document.config())));
        let (admission, budget) = (Rc::new(AdmitAll), Budget::new(100));
        let frontend =
            Frontend::new(wheel.clone(), table, admission, proxy.clone(), lifecycle.clone(), budget, 7);
        Fixture { frontend, proxy, lifecycle, wheel }
    }

    /// Opens a client connection to the frontend.
    fn client(&self) -> DuplexStream {
        let (client, io) = tokio::io::duplex(8 * 1024);
        tokio::task::spawn_local(self.frontend.clone().serve_connection(io));
        client
    }

    /// Whether no POST has been dispatched while an earlier request is without a reply.
    fn open_posts_are_oldest(&self) -> bool {
        let open = self.proxy.open.borrow();
        let id = |exchange: &Exchange| exchange.attempt_id.parse::<usize>().expect("numeric id");
        let mut posts = open.iter().filter(|exchange| exchange.method == "POST").map(id);
        posts.all(|post| open.iter().map(id).all(|other| other >= post))
    }

    /// Replies to the first or the last open exchange as `outcomes` says for its id, and with a complete response if
    /// they don't. Returns whether there was an open exchange.
    async fn reply_to_one(&self, last: bool, outcomes: &[Outcome]) -> bool {
        let exchange = {
            let mut open = self.proxy.open.borrow_mut();
            match open.len() {
                0 => return false,
                count => open.remove(if last { count - 1 } else { 0 }),
            }
        };
        let id = exchange.attempt_id;
        let outcome =
            outcomes.get(id.parse::<usize>().expect("numeric id")).copied().unwrap_or(Outcome::Buffered);
        let body = format!("body of {id}");
        let headers = parse_headers(&format!("X-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\n"));
        match outcome {
            Outcome::Failed => drop(exchange.reply.send(Answer::Failed)),
            Outcome::Buffered => {
                let body = ResponseBody::Buffered(Bytes::from(body));
                drop(exchange.reply.send(Answer::Served(ServerResponse { status: 200, headers, body })));
            }
            Outcome::Streamed | Outcome::Truncated => {
                let (sender, parts) = mpsc::channel(2);
                let length = Some(body.len() as u64);
                let stream = ResponseBody::Streamed(BodyStream { length, parts });
                let response = ServerResponse { status: 200, headers, body: stream };
                drop(exchange.reply.send(Answer::Served(response)));
                let complete = outcome == Outcome::Streamed;
                tokio::task::spawn_local(async move {
                    let sent = if complete { body } else { body[..3].to_string() };
                    let _ = sender.send(BodyPart::Data(Bytes::from(sent))).await;
                    if complete {
                        let _ = sender.send(BodyPart::End).await;
                    }
                });
            }
        }
        true
    }
}

/// How the proxy replies to an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// A complete response with a buffered body.
    Buffered,
    Failed,
    /// A complete response with a streamed body.
    Streamed,
    /// A streamed body that breaks off.
    Truncated,
}

/// A client's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Request {
    /// Idempotent.
    Get,
    /// Idempotent; the response has no body.
    Head,
    /// Must not run twice.
    Post,
}

fn request_text(request: Request, id: usize) -> String {
    let lines = format!("HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\n");
    match request {
        Request::Get => format!("GET /i/ {lines}\r\n"),
        Request::Head => format!("HEAD /i/ {lines}\r\n"),
        Request::Post => format!("POST /n/ {lines}Content-Length: 3\r\n\r\nabc"),
    }
}

fn parse_headers(text: &str) -> Headers {
    let mut buffer = BytesMut::from(&format!("HTTP/1.1 200 OK\r\n{text}Content-Length: 0\r\n\r\n")[..]);
    read_answer_head(&mut buffer, 4096, false).expect("well formed").expect("complete").headers
}

/// Yields until all tasks are idle. They communicate in memory only, so a fixed number of yields is enough.
async fn settle() {
    for _ in 0..40 {
        tokio::task::yield_now().await;
    }
}

/// Runs a test on a single-threaded runtime; panics if it takes longer than 60 s.
fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("runtime");
    let bounded = async { tokio::time::timeout(std::time::Duration::from_secs(60), test).await };
    tokio::task::LocalSet::new().block_on(&runtime, bounded).expect("test timed out");
}

/// The status, the id and the body of a response.
type Response = (u16, usize, String);

/// Parses the bytes that a client received: the complete responses, and whether the last one closes the connection. A
/// response that breaks off is left out. Panics at bytes that belong to no response.
fn parse_responses(received: &[u8], requests: &[Request]) -> (Vec<Response>, bool) {
    let (mut buffer, mut complete, mut closed) = (BytesMut::from(received), Vec::new(), false);
    while !buffer.is_empty() {
        assert!(!closed, "bytes after the response that closes: {:?}", String::from_utf8_lossy(received));
        let to_head = requests.get(complete.len()) == Some(&Request::Head);
        let Some(head) = read_answer_head(&mut buffer, 4096, to_head).expect("a response") else { break };
        let id = head.headers.get("x-attempt-id").and_then(|id| id.parse().ok()).expect("an id");
        let (mut reader, mut body) = (BodyReader::new(head.framing, 4096).expect("short"), Vec::new());
        while !reader.is_complete() {
            match reader.next(&mut buffer).expect("a body") {
                Chunk::Part(part) => body.extend_from_slice(&part),
                Chunk::End => {}
                Chunk::Incomplete => return (complete, true),
            }
        }
        closed = !head.keep_alive;
        complete.push((head.status, id, String::from_utf8(body).expect("text")));
    }
    (complete, closed)
}

/// Asserts that the responses belong to the requests in order, and have the statuses and bodies of their outcomes.
fn check_responses(responses: &[Response], requests: &[Request], outcomes: &[Outcome], case: &str) {
    for (index, (status, id, body)) in responses.iter().enumerate() {
        assert_eq!(index, *id, "the response to another request: {case}: {responses:?}");
        let (expected_status, expected_body) = match outcomes.get(index) {
            Some(Outcome::Failed) => (502, "{\"error\":\"no good answer from a server\"}".to_string()),
            _ => (200, format!("body of {index}")),
        };
        let expected_body = if requests[index] == Request::Head { String::new() } else { expected_body };
        assert_eq!((*status, body), (expected_status, &expected_body), "{case}");
    }
}

/// All sequences of three of `values`.
fn triples<T: Copy>(values: &[T]) -> Vec<[T; 3]> {
    let pairs = values.iter().flat_map(|a| values.iter().map(move |b| (*a, *b)));
    pairs.flat_map(|(a, b)| values.iter().map(move |c| [a, b, *c])).collect()
}

#[test]
fn responses_stay_in_order_whatever_the_outcome_of_earlier_requests() {
    run_test(async {
        let mut cases = 0;
        for requests in triples(&[Request::Get, Request::Head, Request::Post]) {
            for outcomes in
                triples(&[Outcome::Buffered, Outcome::Failed, Outcome::Streamed, Outcome::Truncated])
            {
                for last_first in [false, true] {
                    let fixture = Fixture::new();
                    let mut client = fixture.client();
                    let sent: String =
                        requests.iter().enumerate().map(|(id, request)| request_text(*request, id)).collect();
                    client.write_all(sent.as_bytes()).await.expect("sent");
                    settle().await;
                    let case = format!("{requests:?} {outcomes:?}, last first: {last_first}");
                    loop {
                        assert!(fixture.open_posts_are_oldest(), "dispatched too early: {case}");
                        if !fixture.reply_to_one(last_first, &outcomes).await {
                            break;
                        }
                        settle().await;
                    }
                    client.shutdown().await.expect("open");
                    settle().await;
                    let mut received = Vec::new();
                    client.read_to_end(&mut received).await.expect("end of stream");
                    let (responses, _) = parse_responses(&received, &requests);
                    check_responses(&responses, &requests, &outcomes, &case);
                    // A truncated body ends the connection; the response to HEAD has no body that could be truncated.
                    let truncated = (0..3).find(|index| {
                        outcomes[*index] == Outcome::Truncated && requests[*index] != Request::Head
                    });
                    assert_eq!(responses.len(), truncated.unwrap_or(3), "{case}");
                    let ids = fixture.proxy.dispatched_ids.borrow().clone();
                    let unique = ids.iter().all(|id| ids.iter().filter(|other| *other == id).count() == 1);
                    assert!(unique, "dispatched twice: {case}: {ids:?}");
                    cases += 1;
                }
            }
        }
        println!("{cases} cases");
        assert_eq!(cases, 27 * 64 * 2);
    });
}

/// Time from the start of the shutdown to the end of the process, ms.
const GRACE_MS: f64 = 6_000.0;
/// The requests that the tests below send, with their indices as ids.
const REQUESTS: [Request; 5] = [Request::Get, Request::Head, Request::Post, Request::Get, Request::Post];

/// The bytes of all of [`REQUESTS`], and the offset at which each of them ends.
fn requests_text() -> (String, Vec<usize>) {
    let mut text = String::new();
    let ends = REQUESTS.iter().enumerate().map(|(id, request)| {
        text.push_str(&request_text(*request, id));
        text.len()
    });
    let ends = ends.collect();
    (text, ends)
}

#[test]
fn only_complete_requests_are_dispatched_wherever_the_client_disconnects() {
    run_test(async {
        let (text, ends) = requests_text();
        for offset in 0..=text.len() {
            let fixture = Fixture::new();
            let mut client = fixture.client();
            client.write_all(&text.as_bytes()[..offset]).await.expect("sent");
            settle().await;
            while fixture.reply_to_one(false, &[]).await {
                settle().await;
            }
            drop(client);
            settle().await;
            let complete = ends.iter().filter(|end| **end <= offset).count();
            let ids = fixture.proxy.dispatched_ids.borrow().clone();
            let expected: Vec<String> = (0..complete).map(|id| id.to_string()).collect();
            assert_eq!(ids, expected, "disconnected after {offset} bytes");
            assert_eq!(fixture.lifecycle.open_connections(), 0, "disconnected after {offset} bytes");
        }
        println!("{} offsets", text.len() + 1);
    });
}

#[test]
fn all_dispatched_requests_are_answered_once_wherever_a_shutdown_begins() {
    run_test(async {
        let (text, _) = requests_text();
        for answered in [false, true] {
            for offset in 0..=text.len() {
                let fixture = Fixture::new();
                let mut client = fixture.client();
                client.write_all(&text.as_bytes()[..offset]).await.expect("sent");
                settle().await;
                while answered && fixture.reply_to_one(false, &[]).await {
                    settle().await;
                }
                let answered_before = if answered { fixture.proxy.dispatched_ids.borrow().len() } else { 0 };
                fixture.lifecycle.begin_shutdown(Shutdown::begin(fixture.wheel.now(), 0.0, GRACE_MS));
                settle().await;
                // The frontend may have closed the connection already.
                let _ = client.write_all(&text.as_bytes()[offset..]).await;
                settle().await;
                while fixture.reply_to_one(true, &[]).await {
                    settle().await;
                }
                client.shutdown().await.unwrap_or(());
                settle().await;
                let mut received = Vec::new();
                client.read_to_end(&mut received).await.expect("end of stream");
                let (responses, closed) = parse_responses(&received, &REQUESTS);
                let case = format!("shutdown after {offset} bytes, answered before it: {answered}");
                check_responses(&responses, &REQUESTS, &[], &case);
                let ids = fixture.proxy.dispatched_ids.borrow().clone();
                let expected: Vec<String> = (0..responses.len()).map(|id| id.to_string()).collect();
                assert_eq!(ids, expected, "{case}");
                // The last response after the start of the shutdown closes the connection.
                assert_eq!(closed, responses.len() > answered_before, "{case}: {responses:?}");
            }
        }
    });
}
