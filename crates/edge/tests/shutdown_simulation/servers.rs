//! Servers that work for a drawn time and turn some away; half of them stop with a failure at the time that they are told.

use super::{sleep, Time};
use bytes::BytesMut;
use nickeljunction_http::stream::read_request_head;
use nickeljunction_http::Framing;
use nickeljunction_messages::{ServerInfo, ServerState};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Longest way of an answer, ms.
const WAY_MS: f64 = 80.0;
/// Most work is shorter, ms.
const SHORT_MS: f64 = 150.0;
const FOREVER_MS: f64 = 100_000.0;
const LONG_MS: f64 = 3_000.0;

/// A run by a server's own book, ms of the operators' clock.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// `None`: still at work.
    pub ended: Option<f64>,
    /// The gateway closed the connection before the work had ended.
    pub cut: bool,
}

/// A server, and the runs of all by the ids of their requests.
pub struct Server {
    time: Time,
    runs: Rc<RefCell<BTreeMap<String, Vec<Run>>>>,
    draws: RefCell<fastrand::Rng>,
    /// It stops at the time that it is told.
    heeds: bool,
}

impl Server {
    /// Begins to serve; the line by which the core knows it.
    pub async fn start(
        time: Time,
        number: u64,
        seed: u64,
        runs: &Rc<RefCell<BTreeMap<String, Vec<Run>>>>,
    ) -> ServerInfo {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound").to_string();
        let draws = RefCell::new(fastrand::Rng::with_seed(seed ^ (number << 32)));
        let server = Rc::new(Server { time, runs: runs.clone(), draws, heeds: number.is_multiple_of(2) });
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(server.clone().serve(stream));
            }
        });
        let (id, backend, zone) = (format!("s{number}"), "b".into(), "n1".into());
        ServerInfo { id, backend, address, zone, slots: 50, state: ServerState::InService, cold: None }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut from = BytesMut::new();
        loop {
            let head = loop {
                match read_request_head(&mut from, 4_096).expect("well formed") {
                    Some(head) => break head,
                    None if stream.read_buf(&mut from).await.unwrap_or(0) == 0 => return,
                    None => {}
                }
            };
            assert_eq!(head.framing, Framing::Length(0));
            let id = head.headers.get("x-attempt-id").expect("an id").to_string();
            let left = head.headers.get("x-deadline-remaining").and_then(|left| left.parse().ok());
            let left: f64 = left.expect("told when to stop");
            let (kind, part, way_ms) = {
                let mut draws = self.draws.borrow_mut();
                (draws.u8(..), draws.f64(), draws.f64() * WAY_MS)
            };
            let work_ms = match kind {
                0..=7 => {
                    sleep(way_ms / 4.0).await;
                    let away = answer(503, &id, "X-Not-Executed: 1\r\n");
                    if stream.write_all(away.as_bytes()).await.is_err() {
                        return;
                    }
                    continue;
                }
                8 | 9 => FOREVER_MS,
                10..=25 => part * LONG_MS,
                _ => part * SHORT_MS,
            };
            let at = self.begin(&id);
            let (status, work_ms) = if work_ms < left || !self.heeds { (200, work_ms) } else { (504, left) };
            tokio::select! {
                biased;
                () = sleep(work_ms) => {}
                // Nothing is sent ahead to a server: what is read here is the connection's end.
                _ = stream.read_buf(&mut from) => return self.end(&id, at, true),
            }
            self.end(&id, at, false);
            sleep(way_ms).await;
            if stream.write_all(answer(status, &id, "X-Response-Seal: s\r\n").as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn begin(&self, id: &str) -> usize {
        let mut runs = self.runs.borrow_mut();
        let runs = runs.entry(id.to_string()).or_default();
        runs.push(Run { ended: None, cut: false });
        runs.len() - 1
    }

    fn end(&self, id: &str, at: usize, cut: bool) {
        let ended = Some(self.time.now());
        let mut runs = self.runs.borrow_mut();
        let run = &mut runs.get_mut(id).expect("begun")[at];
        (run.ended, run.cut) = (ended, cut);
    }
}

fn answer(status: u16, id: &str, lines: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nX-Attempt-Id: {id}\r\n{lines}Content-Length: 2\r\n\r\nok")
}
