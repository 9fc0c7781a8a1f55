//! A front over connections in memory, with a scripted servers' side and scripted admission.

// Each file of tests uses a part of it.
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

/// The servers' side: keeps what it is given, by its id.
#[derive(Default)]
pub struct Proxy(pub RefCell<Vec<Exchange>>);

impl Dispatch for Proxy {
    fn dispatch(&self, exchange: Exchange) {
        self.0.borrow_mut().push(exchange);
    }
}

impl Proxy {
    pub fn ids(&self) -> Vec<String> {
        self.0.borrow().iter().map(|exchange| exchange.attempt_id.clone()).collect()
    }

    pub fn take(&self, id: &str) -> Exchange {
        let mut exchanges = self.0.borrow_mut();
        let at = exchanges.iter().position(|exchange| exchange.attempt_id == id).expect("dispatched");
        exchanges.remove(at)
    }
}

/// Admission that says the same to all.
pub struct Desk {
    pub says: Cell<AdmissionDecision>,
    pub stale: Cell<Option<f64>>,
    pub asked: RefCell<Vec<String>>,
    pub ebb: TenantPacing,
}

impl Admission for Desk {
    fn admit<'a>(&'a self, tenant: &'a str) -> Pin<Box<dyn Future<Output = AdmissionDecision> + 'a>> {
        self.asked.borrow_mut().push(tenant.to_string());
        Box::pin(async { self.says.get() })
    }

    fn take_extra_unit(&self, _: &str) -> bool {
        true
    }

    fn stale_retry_after_ms(&self) -> Option<f64> {
        self.stale.get()
    }

    fn pacing(&self) -> Option<&TenantPacing> {
        self.ebb.is_active().then_some(&self.ebb)
    }
}

pub struct World {
    pub front: Rc<Frontend>,
    pub proxy: Rc<Proxy>,
    pub desk: Rc<Desk>,
    pub lifecycle: Rc<Lifecycle>,
    pub wheel: Wheel,
    pub document: Document,
}

impl World {
    pub fn new(limits: &str) -> World {
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
        let proxy = Rc::new(Proxy::default());
        let (says, stale) = (Cell::new(AdmissionDecision::Admitted(f64::INFINITY)), Cell::new(None));
        let ebb = TenantPacing::new(wheel.clone());
        let desk = Rc::new(Desk { says, stale, asked: RefCell::default(), ebb });
        let lifecycle = Rc::new(Lifecycle::default());
        let front = Frontend::new(
            wheel.clone(),
            Rc::new(SnapshotCell::new(table)),
            desk.clone(),
            proxy.clone(),
            lifecycle.clone(),
            Budget::new(100),
            7,
        );
        World { front, proxy, desk, lifecycle, wheel, document }
    }

    pub fn client(&self) -> DuplexStream {
        let (client, io) = tokio::io::duplex(8 * 1024);
        tokio::task::spawn_local(self.front.clone().serve_connection(io));
        client
    }

    /// Lets everything run until these are at the servers' side.
    pub async fn dispatched(&self, ids: &[&str]) {
        settle().await;
        assert_eq!(self.proxy.ids(), ids);
    }

    pub fn answer(&self, id: &str, answer: Answer<ServerResponse>) {
        assert!(self.proxy.take(id).reply.send(answer).is_ok(), "{id}: nobody waits");
    }

    pub fn serve(&self, id: &str) {
        self.answer(id, Answer::Served(whole(200, id)));
    }
}

/// Gives every task its turn, many times over: nothing here waits for anything else.
pub async fn settle() {
    for _ in 0..200 {
        tokio::task::yield_now().await;
    }
}

pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("runtime");
    let local = tokio::task::LocalSet::new();
    let bounded = async { tokio::time::timeout(std::time::Duration::from_secs(20), test).await };
    local.block_on(&runtime, bounded).expect("hangs");
}

pub fn headers(text: &str) -> Headers {
    let text = format!("HTTP/1.1 200 OK\r\n{text}Content-Length: 0\r\n\r\n");
    let mut from = bytes::BytesMut::from(&text[..]);
    let head = nickeljunction_http::stream::read_answer_head(&mut from, 4096, false);
    head.expect("well formed").expect("whole").headers
}

pub fn whole(status: u16, id: &str) -> ServerResponse {
    let lines = format!("X-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\nConnection: close\r\n");
    let body = ResponseBody::Buffered(Bytes::from(format!("body of {id}")));
    ServerResponse { status, headers: headers(&lines), body }
}

/// Reads one answer with a length: its head and its body.
pub async fn read(client: &mut DuplexStream) -> (String, String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(client.read_u8().await.unwrap_or_else(|_| panic!("{}", String::from_utf8_lossy(&head))));
    }
    let head = String::from_utf8(head).expect("text");
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a number"))];
    client.read_exact(&mut body).await.expect("whole");
    (head, String::from_utf8(body).expect("text"))
}

pub async fn rest(client: &mut DuplexStream) -> String {
    let mut text = Vec::new();
    client.read_to_end(&mut text).await.expect("an end");
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

/// A stream for an answer, with its sender.
pub fn streamed(length: Option<u64>) -> (mpsc::Sender<BodyPart>, ServerResponse) {
    let (to, parts) = mpsc::channel(2);
    let body = ResponseBody::Streamed(BodyStream { length, parts });
    (to, ServerResponse { status: 200, headers: headers("X-Response-Seal: s\r\n"), body })
}

pub fn keyed(method: &str, path: &str, id: &str) -> String {
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    format!("{method} {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nAuthorization: Bearer good\r\n{length}\r\n")
}
