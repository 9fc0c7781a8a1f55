//! A [`Frontend`] with in-memory client connections, a fake proxy whose replies the test sends, and a fake admission.

// Each test target uses only a part of this module.
#![allow(dead_code)]

use bytes::Bytes;
use nickeljunction_core::life::Answer;
use nickeljunction_edge::exchange::{
    Admission, AdmissionDecision, BodyPart, BodyStream, Dispatch, Exchange, ResponseBody, ServerResponse,
};
use nickeljunction_edge::frontend::{Frontend, Lifecycle};
use nickeljunction_edge::table::{SnapshotCell, Table};
use nickeljunction_edge::tenant_pacing::TenantPacing;
use nickeljunction_http::Headers;
use nickeljunction_net::budget::Budget;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use nickeljunction_schema::Document;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc;

/// Stores the exchanges that the frontend dispatches until the test replies to them.
#[derive(Default)]
pub struct FakeProxy {
    /// The exchanges without a reply, in the order of their dispatch.
    pub exchanges: RefCell<Vec<Exchange>>,
}

impl Dispatch for FakeProxy {
    fn dispatch(&self, exchange: Exchange) {
        self.exchanges.borrow_mut().push(exchange);
    }
}

impl FakeProxy {
    /// The attempt ids of the exchanges without a reply.
    pub fn attempt_ids(&self) -> Vec<String> {
        self.exchanges.borrow().iter().map(|exchange| exchange.attempt_id.clone()).collect()
    }

    /// Removes and returns the first exchange with this attempt id.
    pub fn remove(&self, id: &str) -> Exchange {
        let mut exchanges = self.exchanges.borrow_mut();
        let index = exchanges.iter().position(|exchange| exchange.attempt_id == id).expect("dispatched");
        exchanges.remove(index)
    }
}

/// An admission that makes the same decision for every request.
pub struct FakeAdmission {
    pub decision: Cell<AdmissionDecision>,
    /// Returned by [`Admission::stale_retry_after_ms`].
    pub stale_retry_after_ms: Cell<Option<f64>>,
    /// The tenant of each call to [`Admission::admit`], whatever the decision was.
    pub admit_calls: RefCell<Vec<String>>,
    pub pacing: TenantPacing,
}

impl Admission for FakeAdmission {
    fn admit<'a>(&'a self, tenant: &'a str) -> Pin<Box<dyn Future<Output = AdmissionDecision> + 'a>> {
        self.admit_calls.borrow_mut().push(tenant.to_string());
        Box::pin(async { self.decision.get() })
    }

    fn take_extra_unit(&self, _: &str) -> bool {
        true
    }

    fn stale_retry_after_ms(&self) -> Option<f64> {
        self.stale_retry_after_ms.get()
    }

    fn pacing(&self) -> Option<&TenantPacing> {
        self.pacing.is_active().then_some(&self.pacing)
    }
}

pub struct FrontendFixture {
    pub frontend: Rc<Frontend>,
    pub proxy: Rc<FakeProxy>,
    pub admission: Rc<FakeAdmission>,
    pub lifecycle: Rc<Lifecycle>,
    pub wheel: Wheel,
    pub document: Document,
}

impl FrontendFixture {
    /// A frontend whose configuration has `limits` as the members of its `limits` object, in JSON.
    pub fn new(limits: &str) -> FrontendFixture {
        let text = format!(
            r#"{{"config_version":3,"limits":{{{limits}}},"backends":{{"a":{{}},"b":{{}}}},"routes":{{
            "i":{{"hostname":"h","path_prefix":"/i/","route_type":"idempotent","timeout_s":2,"backend":"a","no_auth":true}},
            "n":{{"hostname":"h","path_prefix":"/n/","route_type":"non_idempotent","timeout_s":2,"backend":"b","no_auth":true}},
            "d":{{"hostname":"h","path_prefix":"/d/","route_type":"download","timeout_s":2,"backend":"a","no_auth":true}},
            "w":{{"hostname":"h","path_prefix":"/w/","route_type":"idempotent","timeout_s":60,"backend":"a","gives_way":1}},
            "o":{{"hostname":"h","path_prefix":"/o/","route_type":"keyed","timeout_s":2,"backend":"b"}},
            "k":{{"hostname":"h","path_prefix":"/k/","timeout_s":2,"backend":"b","home_regions":["r"]}}}},
            "trials":{{"t":{{"stages":[{{"for_s":9,"wait_s":500000}}]}}}},
            "tenants":{{"t":{{"api_keys":["good"]}},"u":{{"api_keys":["further"]}},"far":{{"api_keys":["away"],"home_regions":["q"]}}}}}}"#
        );
        let document = Document::read(text.as_bytes()).expect("valid");
        let table = Table::of(document.config());
        let wheel = Wheel::new(Clock::start());
        tokio::task::spawn_local(wheel.clone().run());
        let proxy = Rc::new(FakeProxy::default());
        let admission = Rc::new(FakeAdmission {
            decision: Cell::new(AdmissionDecision::Admitted(f64::INFINITY)),
            stale_retry_after_ms: Cell::new(None),
            admit_calls: RefCell::default(),
            pacing: TenantPacing::new(wheel.clone()),
        });
        let lifecycle = Rc::new(Lifecycle::default());
        let frontend = Frontend::new(
            wheel.clone(),
            Rc::new(SnapshotCell::new(table)),
            admission.clone(),
            proxy.clone(),
            lifecycle.clone(),
            Budget::new(100),
            7,
        );
        FrontendFixture { frontend, proxy, admission, lifecycle, wheel, document }
    }

    /// Opens a client connection to the frontend.
    pub fn client(&self) -> DuplexStream {
        let (client, io) = tokio::io::duplex(8 * 1024);
        tokio::task::spawn_local(self.frontend.clone().serve_connection(io));
        client
    }

    /// Lets all tasks run, then asserts that exactly these exchanges are without a reply, in this order.
    pub async fn expect_dispatched(&self, ids: &[&str]) {
        settle().await;
        assert_eq!(self.proxy.attempt_ids(), ids);
    }

    /// Sends the frontend the result of an exchange; panics if the frontend no longer waits for it.
    pub fn reply(&self, id: &str, answer: Answer<ServerResponse>) {
        assert!(
            self.proxy.remove(id).reply.send(answer).is_ok(),
            "{id}: the frontend has dropped the receiver"
        );
    }

    /// Replies to an exchange with a buffered response of status 200.
    pub fn reply_ok(&self, id: &str) {
        self.reply(id, Answer::Served(buffered_response(200, id)));
    }
}

/// Yields until all tasks are idle. They communicate in memory only, so a fixed number of yields is enough.
pub async fn settle() {
    for _ in 0..200 {
        tokio::task::yield_now().await;
    }
}

/// Runs a test on a single-threaded runtime; panics if it takes longer than 20 s.
pub fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("runtime");
    let local = tokio::task::LocalSet::new();
    let bounded = async { tokio::time::timeout(std::time::Duration::from_secs(20), test).await };
    local.block_on(&runtime, bounded).expect("test timed out");
}

/// Parses header lines, each of which ends with CRLF, and adds `Content-Length: 0`.
pub fn parse_headers(text: &str) -> Headers {
    let text = format!("HTTP/1.1 200 OK\r\n{text}Content-Length: 0\r\n\r\n");
    let mut buffer = bytes::BytesMut::from(&text[..]);
    let head = nickeljunction_http::stream::read_answer_head(&mut buffer, 4096, false);
    head.expect("well formed").expect("complete").headers
}

/// A server's response to the attempt `id`, with the body `body of {id}`.
pub fn buffered_response(status: u16, id: &str) -> ServerResponse {
    let lines = format!("X-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\nConnection: close\r\n");
    let body = ResponseBody::Buffered(Bytes::from(format!("body of {id}")));
    ServerResponse { status, headers: parse_headers(&lines), body }
}

/// Reads one response whose body has a `Content-Length` or is empty; returns its head and its body.
pub async fn read_response(client: &mut DuplexStream) -> (String, String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(client.read_u8().await.unwrap_or_else(|_| panic!("{}", String::from_utf8_lossy(&head))));
    }
    let head = String::from_utf8(head).expect("text");
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a number"))];
    client.read_exact(&mut body).await.expect("complete body");
    (head, String::from_utf8(body).expect("text"))
}

/// Reads until the frontend closes the connection.
pub async fn read_to_end(client: &mut DuplexStream) -> String {
    let mut text = Vec::new();
    client.read_to_end(&mut text).await.expect("end of stream");
    String::from_utf8(text).expect("text")
}

pub fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\n\r\n")
}

pub fn post(path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}")
}

pub async fn send(client: &mut DuplexStream, text: &str) {
    client.write_all(text.as_bytes()).await.expect("sent");
}

/// A response with a streamed body, and the sender of the body's parts. `length` is its `Content-Length`.
pub fn streamed_response(length: Option<u64>) -> (mpsc::Sender<BodyPart>, ServerResponse) {
    let (sender, parts) = mpsc::channel(2);
    let body = ResponseBody::Streamed(BodyStream { length, parts });
    (sender, ServerResponse { status: 200, headers: parse_headers("X-Response-Seal: s\r\n"), body })
}

/// A request with the API key of tenant `t`; a POST has an empty body.
pub fn authorized_request(method: &str, path: &str, id: &str) -> String {
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    format!("{method} {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nAuthorization: Bearer good\r\n{length}\r\n")
}
