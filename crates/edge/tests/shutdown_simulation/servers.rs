//! Servers that work for a random time and reject some requests. Half of the servers stop with status 504 at the
//! deadline that they receive, the others ignore it.

use super::{sleep, SimulationClock};
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

/// Longest delay of a response on the network, ms.
const MAX_RESPONSE_DELAY_MS: f64 = 80.0;
/// Longest duration of a short run, ms; most runs are short.
const MAX_SHORT_RUN_MS: f64 = 150.0;
const MAX_LONG_RUN_MS: f64 = 3_000.0;
/// Duration of a run that doesn't end within a simulation, ms.
const ENDLESS_RUN_MS: f64 = 100_000.0;

/// A run as its server recorded it.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// When it ended, ms by the [`SimulationClock`]; `None`: the server is still working on it.
    pub ended: Option<f64>,
    /// The gateway closed the connection before the run had ended.
    pub cancelled: bool,
}

/// The runs of all servers by attempt id.
pub type Runs = Rc<RefCell<BTreeMap<String, Vec<Run>>>>;

pub struct Server {
    clock: SimulationClock,
    runs: Runs,
    rng: RefCell<fastrand::Rng>,
    /// Whether the server stops at the deadline that it receives.
    obeys_deadline: bool,
}

impl Server {
    /// Starts a server; returns the entry for it in the core's list of servers.
    pub async fn start(clock: SimulationClock, number: u64, seed: u64, runs: &Runs) -> ServerInfo {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
        let address = listener.local_addr().expect("local address").to_string();
        let rng = RefCell::new(fastrand::Rng::with_seed(seed ^ (number << 32)));
        let server =
            Rc::new(Server { clock, runs: runs.clone(), rng, obeys_deadline: number.is_multiple_of(2) });
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(server.clone().serve(stream));
            }
        });
        let (id, backend, zone) = (format!("s{number}"), "b".into(), "n1".into());
        ServerInfo { id, backend, address, zone, slots: 50, state: ServerState::InService, cold: None }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut buffer = BytesMut::new();
        loop {
            let head = loop {
                match read_request_head(&mut buffer, 4_096).expect("well formed") {
                    Some(head) => break head,
                    None if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 => return,
                    None => {}
                }
            };
            assert_eq!(head.framing, Framing::Length(0));
            let id = head.headers.get("x-attempt-id").expect("an id").to_string();
            let remaining_ms = head.headers.get("x-deadline-remaining").and_then(|text| text.parse().ok());
            let remaining_ms: f64 = remaining_ms.expect("X-Deadline-Remaining header");
            let (kind, fraction, response_delay_ms) = {
                let mut rng = self.rng.borrow_mut();
                (rng.u8(..), rng.f64(), rng.f64() * MAX_RESPONSE_DELAY_MS)
            };
            let work_ms = match kind {
                0..=7 => {
                    sleep(response_delay_ms / 4.0).await;
                    let rejection = response(503, &id, "X-Not-Executed: 1\r\n");
                    if stream.write_all(rejection.as_bytes()).await.is_err() {
                        return;
                    }
                    continue;
                }
                8 | 9 => ENDLESS_RUN_MS,
                10..=25 => fraction * MAX_LONG_RUN_MS,
                _ => fraction * MAX_SHORT_RUN_MS,
            };
            let index = self.record_start(&id);
            let (status, work_ms) = if work_ms < remaining_ms || !self.obeys_deadline {
                (200, work_ms)
            } else {
                (504, remaining_ms)
            };
            tokio::select! {
                biased;
                () = sleep(work_ms) => {}
                // The gateway doesn't pipeline requests to servers: readable here means that the connection has ended.
                _ = stream.read_buf(&mut buffer) => return self.record_end(&id, index, true),
            }
            self.record_end(&id, index, false);
            sleep(response_delay_ms).await;
            if stream.write_all(response(status, &id, "X-Response-Seal: s\r\n").as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Records the start of a run; returns its index among the runs of the request.
    fn record_start(&self, id: &str) -> usize {
        let mut runs = self.runs.borrow_mut();
        let runs = runs.entry(id.to_string()).or_default();
        runs.push(Run { ended: None, cancelled: false });
        runs.len() - 1
    }

    fn record_end(&self, id: &str, index: usize, cancelled: bool) {
        let ended = Some(self.clock.now());
        let mut runs = self.runs.borrow_mut();
        let run = &mut runs.get_mut(id).expect("started")[index];
        (run.ended, run.cancelled) = (ended, cancelled);
    }
}

fn response(status: u16, id: &str, header_lines: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nX-Attempt-Id: {id}\r\n{header_lines}Content-Length: 2\r\n\r\nok")
}
