//! Clients that use a gateway until its process is gone, on connections that they keep and on new ones.

use super::{sleep, Time};
use bytes::BytesMut;
use nickeljunction_http::stream::read_answer_head;
use nickeljunction_http::Framing;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Between an answer and the next request, ms.
const PAUSE_MS: f64 = 400.0;
/// Before a connection that could not be opened is tried again, ms.
const AGAIN_MS: f64 = 40.0;
/// Routes, and how long their clients wait, ms; the last one is asked for seldom.
const ROUTES: [(&str, f64); 4] = [("s", 1_500.0), ("m", 3_000.0), ("o", 3_000.0), ("l", 60_000.0)];

/// A request by its client's book, ms of the operators' clock.
#[derive(Debug, Clone)]
pub struct Seen {
    pub id: String,
    pub patience_ms: f64,
    /// Its last byte was sent.
    pub sent: f64,
    pub ended: f64,
    /// `None`: the connection ended without a whole answer.
    pub status: Option<u16>,
    /// The answer is a server's.
    pub by_server: bool,
    /// On a connection that had carried others.
    pub kept: bool,
}

pub struct Client {
    pub time: Time,
    pub number: u64,
    pub seed: u64,
    pub gateway: SocketAddr,
    pub book: Rc<RefCell<Vec<Seen>>>,
}

impl Client {
    /// Asks until it is dropped.
    pub async fn run(self) {
        let mut draws = fastrand::Rng::with_seed(self.seed ^ (self.number << 24));
        let keeps = !self.number.is_multiple_of(3);
        let mut open: Option<TcpStream> = None;
        for request in 0.. {
            sleep(draws.f64() * PAUSE_MS).await;
            let kept = open.is_some();
            let mut stream = match open.take() {
                Some(stream) => stream,
                None => match TcpStream::connect(self.gateway).await {
                    Ok(stream) => stream,
                    Err(_) => {
                        sleep(AGAIN_MS).await;
                        continue;
                    }
                },
            };
            let route = if draws.u8(..24) == 0 { 3 } else { draws.usize(..3) };
            let (route, patience_ms) = ROUTES[route];
            let id = format!("{route}-{}-{request}", self.number);
            let method = if route == "o" { "POST" } else { "GET" };
            let text = format!(
                "{method} /{route}/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nX-Deadline-Remaining: {patience_ms}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            let sent = self.time.now();
            let answer = match stream.write_all(text.as_bytes()).await {
                Ok(()) => read(&mut stream).await,
                Err(_) => None,
            };
            let seen = Seen {
                id,
                patience_ms,
                sent,
                ended: self.time.now(),
                status: answer.as_ref().map(|answer| answer.status),
                by_server: answer.as_ref().is_some_and(|answer| answer.by_server),
                kept,
            };
            self.book.borrow_mut().push(seen);
            open = answer.filter(|answer| keeps && !answer.closes).map(|_| stream);
        }
    }
}

struct Answer {
    status: u16,
    by_server: bool,
    closes: bool,
}

/// The next answer; `None`: it did not come whole.
async fn read(stream: &mut TcpStream) -> Option<Answer> {
    let mut from = BytesMut::new();
    let head = loop {
        match read_answer_head(&mut from, 4_096, false).expect("well formed") {
            Some(head) => break head,
            None if stream.read_buf(&mut from).await.unwrap_or(0) == 0 => return None,
            None => {}
        }
    };
    let Framing::Length(length) = head.framing else { panic!("an answer in chunks") };
    while from.len() < length {
        if stream.read_buf(&mut from).await.unwrap_or(0) == 0 {
            return None;
        }
    }
    let by_server = head.headers.get("x-response-seal").is_some();
    Some(Answer { status: head.status, by_server, closes: !head.keep_alive })
}
