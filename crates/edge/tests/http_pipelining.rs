//! A client's connection: however its requests are sent ahead, answered, cut off or met by the order to leave, each
//! answer goes to the request that it belongs to, and what must not run twice is handed on once at most.

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

/// The servers' side: keeps what it is given, and writes down every id that it was ever given.
#[derive(Default)]
struct Servers {
    open: RefCell<Vec<Exchange>>,
    given: RefCell<Vec<String>>,
}

impl Dispatch for Servers {
    fn dispatch(&self, exchange: Exchange) {
        self.given.borrow_mut().push(exchange.attempt_id.clone());
        self.open.borrow_mut().push(exchange);
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

struct World {
    front: Rc<Frontend>,
    servers: Rc<Servers>,
    lifecycle: Rc<Lifecycle>,
    wheel: Wheel,
}

impl World {
    fn new() -> World {
        let text = r#"{"config_version":1,"limits":{},"backends":{"a":{}},"routes":{
            "i":{"hostname":"h","path_prefix":"/i/","route_type":"idempotent","timeout_s":60,"backend":"a","no_auth":true},
            "n":{"hostname":"h","path_prefix":"/n/","route_type":"non_idempotent","timeout_s":60,"backend":"a","no_auth":true}}}"#;
        let document = Document::read(text.as_bytes()).expect("valid");
        let wheel = Wheel::new(Clock::start());
        tokio::task::spawn_local(wheel.clone().run());
        let (servers, lifecycle) = (Rc::new(Servers::default()), Rc::new(Lifecycle::default()));
        let table = Rc::new(SnapshotCell::new(Table::of(document.config())));
        let (open, budget) = (Rc::new(Open), Budget::new(100));
        let front = Frontend::new(wheel.clone(), table, open, servers.clone(), lifecycle.clone(), budget, 7);
        World { front, servers, lifecycle, wheel }
    }

    fn client(&self) -> DuplexStream {
        let (client, io) = tokio::io::duplex(8 * 1024);
        tokio::task::spawn_local(self.front.clone().serve_connection(io));
        client
    }

    /// Nothing that must not run twice is at the servers' side beside one that came before it.
    fn posts_waited(&self) -> bool {
        let open = self.servers.open.borrow();
        let numbered = |one: &Exchange| one.attempt_id.parse::<usize>().expect("a number");
        let mut posts = open.iter().filter(|one| one.method == "POST").map(numbered);
        posts.all(|post| open.iter().map(numbered).all(|other| other >= post))
    }

    /// Ends one of the requests that are at the servers' side: the first of them, or the last.
    async fn end(&self, last: bool, ends: &[End]) -> bool {
        let exchange = {
            let mut open = self.servers.open.borrow_mut();
            match open.len() {
                0 => return false,
                all => open.remove(if last { all - 1 } else { 0 }),
            }
        };
        let id = exchange.attempt_id;
        let end = ends.get(id.parse::<usize>().expect("a number")).copied().unwrap_or(End::Good);
        let body = format!("body of {id}");
        let headers = headers(&format!("X-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\n"));
        match end {
            End::Failed => drop(exchange.reply.send(Answer::Failed)),
            End::Good => {
                let body = ResponseBody::Buffered(Bytes::from(body));
                drop(exchange.reply.send(Answer::Served(ServerResponse { status: 200, headers, body })));
            }
            End::Streamed | End::Broken => {
                let (to, parts) = mpsc::channel(2);
                let body_length = Some(body.len() as u64);
                let served = ResponseBody::Streamed(BodyStream { length: body_length, parts });
                drop(exchange.reply.send(Answer::Served(ServerResponse {
                    status: 200,
                    headers,
                    body: served,
                })));
                let whole = end == End::Streamed;
                tokio::task::spawn_local(async move {
                    let sent = if whole { body } else { body[..3].to_string() };
                    let _ = to.send(BodyPart::Data(Bytes::from(sent))).await;
                    if whole {
                        let _ = to.send(BodyPart::End).await;
                    }
                });
            }
        }
        true
    }
}

/// How the servers' side ends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Good,
    Failed,
    Streamed,
    Broken,
}

/// A client's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ask {
    /// May be repeated.
    Get,
    /// The same, and its answer has no body.
    Head,
    /// Must not run twice.
    Post,
}

fn text(ask: Ask, id: usize) -> String {
    let lines = format!("HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\n");
    match ask {
        Ask::Get => format!("GET /i/ {lines}\r\n"),
        Ask::Head => format!("HEAD /i/ {lines}\r\n"),
        Ask::Post => format!("POST /n/ {lines}Content-Length: 3\r\n\r\nabc"),
    }
}

fn headers(text: &str) -> Headers {
    let mut from = BytesMut::from(&format!("HTTP/1.1 200 OK\r\n{text}Content-Length: 0\r\n\r\n")[..]);
    read_answer_head(&mut from, 4096, false).expect("well formed").expect("whole").headers
}

async fn settle() {
    for _ in 0..40 {
        tokio::task::yield_now().await;
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("runtime");
    let bounded = async { tokio::time::timeout(std::time::Duration::from_secs(60), test).await };
    tokio::task::LocalSet::new().block_on(&runtime, bounded).expect("hangs");
}

/// What a client sees: whole answers as status, id and body, and whether the last of them closes. Panics at bytes that
/// belong to none, unless an answer broke off: then it is left out.
fn answers(seen: &[u8], asks: &[Ask]) -> (Vec<(u16, usize, String)>, bool) {
    let (mut from, mut whole, mut closed) = (BytesMut::from(seen), Vec::new(), false);
    while !from.is_empty() {
        assert!(!closed, "bytes after the answer that closes: {:?}", String::from_utf8_lossy(seen));
        let to_head = asks.get(whole.len()) == Some(&Ask::Head);
        let Some(head) = read_answer_head(&mut from, 4096, to_head).expect("an answer") else { break };
        let id = head.headers.get("x-attempt-id").and_then(|id| id.parse().ok()).expect("an id");
        let (mut reader, mut body) = (BodyReader::new(head.framing, 4096).expect("short"), Vec::new());
        while !reader.is_complete() {
            match reader.next(&mut from).expect("a body") {
                Chunk::Part(part) => body.extend_from_slice(&part),
                Chunk::End => {}
                Chunk::Incomplete => return (whole, true),
            }
        }
        closed = !head.keep_alive;
        whole.push((head.status, id, String::from_utf8(body).expect("text")));
    }
    (whole, closed)
}

fn check(answers: &[(u16, usize, String)], asks: &[Ask], ends: &[End], story: &str) {
    for (at, (status, id, body)) in answers.iter().enumerate() {
        assert_eq!(at, *id, "the answer of another request: {story}: {answers:?}");
        let (wanted, good) = match ends.get(at) {
            Some(End::Failed) => (502, "{\"error\":\"no good answer from a server\"}".to_string()),
            _ => (200, format!("body of {at}")),
        };
        let good = if asks[at] == Ask::Head { String::new() } else { good };
        assert_eq!((*status, body), (wanted, &good), "{story}");
    }
}

/// All sequences of three of these.
fn triples<T: Copy>(of: &[T]) -> Vec<[T; 3]> {
    let pairs = of.iter().flat_map(|a| of.iter().map(move |b| (*a, *b)));
    pairs.flat_map(|(a, b)| of.iter().map(move |c| [a, b, *c])).collect()
}

#[test]
fn answers_stay_in_order_whatever_earlier_ones_come_to() {
    run(async {
        let mut stories = 0;
        for asks in triples(&[Ask::Get, Ask::Head, Ask::Post]) {
            for ends in triples(&[End::Good, End::Failed, End::Streamed, End::Broken]) {
                for last in [false, true] {
                    let world = World::new();
                    let mut client = world.client();
                    let sent: String = asks.iter().enumerate().map(|(id, ask)| text(*ask, id)).collect();
                    client.write_all(sent.as_bytes()).await.expect("sent");
                    settle().await;
                    let story = format!("{asks:?} {ends:?} {last}");
                    loop {
                        assert!(world.posts_waited(), "handed on too soon: {story}");
                        if !world.end(last, &ends).await {
                            break;
                        }
                        settle().await;
                    }
                    client.shutdown().await.expect("open");
                    settle().await;
                    let mut seen = Vec::new();
                    client.read_to_end(&mut seen).await.expect("an end");
                    let (answers, _) = answers(&seen, &asks);
                    check(&answers, &asks, &ends, &story);
                    // A body that breaks off ends the connection; one that has no body can't break.
                    let broken = (0..3).find(|at| ends[*at] == End::Broken && asks[*at] != Ask::Head);
                    assert_eq!(answers.len(), broken.unwrap_or(3), "{story}");
                    let given = world.servers.given.borrow().clone();
                    let once = given.iter().all(|id| given.iter().filter(|other| *other == id).count() == 1);
                    assert!(once, "handed on twice: {story}: {given:?}");
                    stories += 1;
                }
            }
        }
        println!("{stories} stories");
        assert_eq!(stories, 27 * 64 * 2);
    });
}

/// From the order to leave to the end of the process, ms.
const GRACE_MS: f64 = 6_000.0;
const ASKS: [Ask; 5] = [Ask::Get, Ask::Head, Ask::Post, Ask::Get, Ask::Post];

/// The bytes of all of [`ASKS`], and where each of them ends.
fn sent() -> (String, Vec<usize>) {
    let mut all = String::new();
    let ends = ASKS.iter().enumerate().map(|(id, ask)| {
        all.push_str(&text(*ask, id));
        all.len()
    });
    let ends = ends.collect();
    (all, ends)
}

#[test]
fn a_client_that_goes_at_any_byte_leaves_nothing_that_it_has_not_sent_whole() {
    run(async {
        let (all, ends) = sent();
        for at in 0..=all.len() {
            let world = World::new();
            let mut client = world.client();
            client.write_all(&all.as_bytes()[..at]).await.expect("sent");
            settle().await;
            while world.end(false, &[]).await {
                settle().await;
            }
            drop(client);
            settle().await;
            let whole = ends.iter().filter(|end| **end <= at).count();
            let given = world.servers.given.borrow().clone();
            let wanted: Vec<String> = (0..whole).map(|id| id.to_string()).collect();
            assert_eq!(given, wanted, "gone after {at} bytes");
            assert_eq!(world.lifecycle.open_connections(), 0, "gone after {at} bytes");
        }
        println!("{} places", all.len() + 1);
    });
}

#[test]
fn the_order_to_leave_at_any_byte_answers_all_that_was_handed_on_and_hands_nothing_on_twice() {
    run(async {
        let (all, _) = sent();
        for answered in [false, true] {
            for at in 0..=all.len() {
                let world = World::new();
                let mut client = world.client();
                client.write_all(&all.as_bytes()[..at]).await.expect("sent");
                settle().await;
                while answered && world.end(false, &[]).await {
                    settle().await;
                }
                let before = if answered { world.servers.given.borrow().len() } else { 0 };
                world.lifecycle.begin_shutdown(Shutdown::begin(world.wheel.now(), 0.0, GRACE_MS));
                settle().await;
                // What the client still sends may find the connection closed.
                let _ = client.write_all(&all.as_bytes()[at..]).await;
                settle().await;
                while world.end(true, &[]).await {
                    settle().await;
                }
                client.shutdown().await.unwrap_or(());
                settle().await;
                let mut seen = Vec::new();
                client.read_to_end(&mut seen).await.expect("an end");
                let (answers, closed) = answers(&seen, &ASKS);
                let story = format!("order after {at} bytes, answered: {answered}");
                check(&answers, &ASKS, &[], &story);
                let given = world.servers.given.borrow().clone();
                let wanted: Vec<String> = (0..answers.len()).map(|id| id.to_string()).collect();
                assert_eq!(given, wanted, "{story}");
                // The last answer after the order says that it is the last.
                assert_eq!(closed, answers.len() > before, "{story}: {answers:?}");
            }
        }
    });
}
