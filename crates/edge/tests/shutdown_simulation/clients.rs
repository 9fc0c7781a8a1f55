//! Clients that send requests to a gateway until its process has ended, on keep-alive and on new connections.

use super::{sleep, SimulationClock};
use bytes::BytesMut;
use nickeljunction_http::stream::read_answer_head;
use nickeljunction_http::Framing;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest pause between an answer and the next request, ms.
const MAX_PAUSE_MS: f64 = 400.0;
/// Pause after a failed attempt to connect, ms.
const RECONNECT_PAUSE_MS: f64 = 40.0;
/// Routes and the time-outs of their clients, ms. The last route gets few requests.
const ROUTES: [(&str, f64); 4] = [("s", 1_500.0), ("m", 3_000.0), ("o", 3_000.0), ("l", 60_000.0)];

/// A request as its client recorded it; times in ms by the [`SimulationClock`].
#[derive(Debug, Clone)]
pub struct ClientRecord {
    pub id: String,
    pub timeout_ms: f64,
    /// When the client began to send it.
    pub sent: f64,
    pub ended: f64,
    /// `None`: the connection ended without a complete answer.
    pub status: Option<u16>,
    /// The answer came from a server, not from the gateway itself.
    pub from_server: bool,
    /// The connection had carried other requests before.
    pub reused_connection: bool,
}

pub struct Client {
    pub clock: SimulationClock,
    pub number: u64,
    pub seed: u64,
    pub gateway: SocketAddr,
    /// The records of all clients.
    pub records: Rc<RefCell<Vec<ClientRecord>>>,
}

impl Client {
    /// Sends requests until the future is dropped.
    pub async fn run(self) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ (self.number << 24));
        let keep_alive = !self.number.is_multiple_of(3);
        let mut open: Option<TcpStream> = None;
        for request in 0.. {
            sleep(rng.f64() * MAX_PAUSE_MS).await;
            let reused_connection = open.is_some();
            let mut stream = match open.take() {
                Some(stream) => stream,
                None => match TcpStream::connect(self.gateway).await {
                    Ok(stream) => stream,
                    Err(_) => {
                        sleep(RECONNECT_PAUSE_MS).await;
                        continue;
                    }
                },
            };
            let route_index = if rng.u8(..24) == 0 { 3 } else { rng.usize(..3) };
            let (route, timeout_ms) = ROUTES[route_index];
            let id = format!("{route}-{}-{request}", self.number);
            let method = if route == "o" { "POST" } else { "GET" };
            let text = format!(
                "{method} /{route}/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {id}\r\nX-Deadline-Remaining: {timeout_ms}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            let sent = self.clock.now();
            let answer = match stream.write_all(text.as_bytes()).await {
                Ok(()) => read_answer(&mut stream).await,
                Err(_) => None,
            };
            let record = ClientRecord {
                id,
                timeout_ms,
                sent,
                ended: self.clock.now(),
                status: answer.as_ref().map(|answer| answer.status),
                from_server: answer.as_ref().is_some_and(|answer| answer.from_server),
                reused_connection,
            };
            self.records.borrow_mut().push(record);
            open = answer.filter(|answer| keep_alive && !answer.closes).map(|_| stream);
        }
    }
}

struct Answer {
    status: u16,
    from_server: bool,
    /// The gateway closes the connection after it.
    closes: bool,
}

/// Reads the next answer; `None`: the connection ended before it was complete.
async fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut buffer = BytesMut::new();
    let head = loop {
        match read_answer_head(&mut buffer, 4_096, false).expect("well formed") {
            Some(head) => break head,
            None if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 => return None,
            None => {}
        }
    };
    let Framing::Length(length) = head.framing else { panic!("a chunked answer") };
    while buffer.len() < length {
        if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
            return None;
        }
    }
    let from_server = head.headers.get("x-response-seal").is_some();
    Some(Answer { status: head.status, from_server, closes: !head.keep_alive })
}
