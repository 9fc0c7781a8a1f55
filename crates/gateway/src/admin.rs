//! The admin door: a second listener, on `admin_addr` or `$EDGE_ADMIN_ADDR`, for the operators' staff.
//!
//! HTTP/1.1, one call a connection, always answered with `Connection: close`:
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/readyz` | 200 while this process serves; 503 before it knows its booking servers, drained or stopping |
//! | `GET /v1/metrics` | 200, the [`Figures`] in statsd's line form |
//! | `GET /v1/fleet` | 200, the view of the fleet as JSON; 404 where none is kept |
//! | `POST /v1/gateway/drain` | 200; clients are sent away, the process stays |
//! | `POST /v1/gateway/activate` | 200; the drain ends (409 while the process stops) |
//!
//! Any other path is 404, another method 405, a call that is no HTTP 400. Each call has [`CALL_MS`] from its
//! connection to its answer: a caller that sends nothing or half a call is closed then. At most
//! [`MOST_CALLERS`] connections are open at once; one more closes the oldest. None of them takes a
//! descriptor or a turn of the clients' connections.

use crate::figures::Figures;
use crate::net::terminal::{Phase, Terminals};
use crate::peers::Peers;
use nickeljunction_net::wheel::Wheel;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};

/// From a caller's connection to the end of its answer, ms; the operators want it within 1 s.
pub const CALL_MS: f64 = 800.0;
/// Connections of callers open at once; the budget of the clients' side leaves them so many descriptors.
pub const MOST_CALLERS: usize = 16;
/// Most bytes of a call's head and body.
const MOST_CALL: usize = 8 * 1024;
/// How long a drain lets busy connections end with their answer before idle ones are closed, ms.
const CLOSE_IDLE_AFTER_MS: f64 = 1_000.0;
/// How long a caller's unread bytes are read before the close, ms: a close on them would reset the answer.
const LINGER_MS: f64 = 100.0;

/// Whether clients are let in: the phase of the clients' side, as drains and the stop set it.
pub struct Gate {
    phase: watch::Sender<Phase>,
    /// Raised by each drain and activation: a drain's later step finds out whether it still holds.
    turn: Cell<u64>,
    drained: Cell<bool>,
    stopping: Cell<bool>,
    wheel: Wheel,
}

impl Gate {
    /// A gate that lets clients in, and the phase that the clients' side follows.
    pub fn new(wheel: Wheel) -> (Rc<Gate>, watch::Receiver<Phase>) {
        let (phase, follows) = watch::channel(Phase::Serving);
        let gate =
            Gate { phase, turn: Cell::new(0), drained: Cell::new(false), stopping: Cell::new(false), wheel };
        (Rc::new(gate), follows)
    }

    /// Sends clients away: readiness says no, each answer closes its connection, and after
    /// [`CLOSE_IDLE_AFTER_MS`] idle connections are closed. The process goes on. `false`: it stops anyway.
    pub fn drain(self: &Rc<Self>) -> bool {
        if self.stopping.get() {
            return false;
        }
        if !self.drained.replace(true) {
            let turn = self.turn.get() + 1;
            self.turn.set(turn);
            self.phase.send_replace(Phase::Draining);
            let gate = self.clone();
            tokio::task::spawn_local(async move {
                gate.wheel.sleep(CLOSE_IDLE_AFTER_MS).await;
                if gate.turn.get() == turn && !gate.stopping.get() {
                    gate.phase.send_replace(Phase::Closing);
                }
            });
        }
        true
    }

    /// Ends a drain. `false`: the process stops, and that is not undone.
    pub fn activate(&self) -> bool {
        if self.stopping.get() {
            return false;
        }
        if self.drained.replace(false) {
            self.turn.set(self.turn.get() + 1);
            self.phase.send_replace(Phase::Serving);
        }
        true
    }

    /// The process stops; nothing undoes it.
    pub fn stop(&self, phase: Phase) {
        self.stopping.set(true);
        self.phase.send_replace(phase);
    }
}

/// What the door needs of the process.
pub struct Door {
    /// The figures it shows.
    pub figures: Rc<Figures>,
    /// Readiness of the clients' side.
    pub terminals: Rc<Terminals>,
    /// Drains.
    pub gate: Rc<Gate>,
    /// The view of the fleet, where it is on.
    pub peers: Option<Rc<Peers>>,
    /// Timers.
    pub wheel: Wheel,
    callers: RefCell<BTreeMap<u64, Rc<Notify>>>,
    last: Cell<u64>,
}

/// Binds the admin door's address.
///
/// # Errors
/// A line naming the address and why it can't be had.
pub fn bind(address: SocketAddr) -> Result<TcpListener, String> {
    let listen = || {
        let socket = if address.is_ipv4() {
            tokio::net::TcpSocket::new_v4()?
        } else {
            tokio::net::TcpSocket::new_v6()?
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(64)
    };
    listen().map_err(|why: std::io::Error| format!("configuration: admin_addr: {address}: {why}"))
}

impl Door {
    /// A door over the process's parts.
    pub fn new(
        figures: Rc<Figures>,
        terminals: Rc<Terminals>,
        gate: Rc<Gate>,
        peers: Option<Rc<Peers>>,
        wheel: Wheel,
    ) -> Rc<Door> {
        let (callers, last) = (RefCell::default(), Cell::new(0));
        Rc::new(Door { figures, terminals, gate, peers, wheel, callers, last })
    }

    /// Answers callers for as long as it is polled.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let number = self.last.get() + 1;
                    self.last.set(number);
                    let go = Rc::new(Notify::new());
                    let mut callers = self.callers.borrow_mut();
                    callers.insert(number, go.clone());
                    // The oldest is the likeliest to be one that sends nothing.
                    while callers.len() > MOST_CALLERS {
                        if let Some((_, oldest)) = callers.pop_first() {
                            oldest.notify_one();
                        }
                    }
                    drop(callers);
                    tokio::task::spawn_local(self.clone().call(stream, number, go));
                }
                // Out of descriptors, or the caller was gone at once: neither may end the door.
                Err(error) => {
                    tracing::warn!(%error, "an admin connection could not be accepted");
                    self.wheel.sleep(20.0).await;
                }
            }
        }
    }

    async fn call(self: Rc<Self>, mut stream: TcpStream, number: u64, go: Rc<Notify>) {
        let wheel = self.wheel.clone();
        let answered = async {
            let answer = match read_call(&mut stream).await {
                Some(Ok(call)) => self.answer(&call),
                Some(Err(())) => answer(400, "not a call of HTTP/1.1\n"),
                None => return,
            };
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.shutdown().await;
        };
        tokio::select! {
            () = answered => {}
            () = go.notified() => {}
            () = wheel.sleep(CALL_MS) => {}
        }
        self.callers.borrow_mut().remove(&number);
        let mut rest = [0; 1024];
        let _ = wheel.timeout(LINGER_MS, stream.read(&mut rest)).await;
    }

    fn answer(&self, call: &Call) -> String {
        let route = match call.path.split('?').next().unwrap_or_default() {
            "/v1/readyz" => Route::Ready,
            "/v1/metrics" => Route::Metrics,
            "/v1/fleet" if self.peers.is_some() => Route::Fleet,
            "/v1/gateway/drain" => Route::Drain,
            "/v1/gateway/activate" => Route::Activate,
            _ => return answer(404, "no such call\n"),
        };
        let wanted =
            if matches!(route, Route::Ready | Route::Metrics | Route::Fleet) { "GET" } else { "POST" };
        if call.method != wanted && !(wanted == "GET" && call.method == "HEAD") {
            return answer(405, &format!("{wanted} is wanted\n"));
        }
        match route {
            Route::Ready if self.ready() => answer(200, "yes\n"),
            Route::Ready => answer(503, "no\n"),
            Route::Metrics => {
                let fleet = self.peers.as_ref().map(|peers| peers.figures()).unwrap_or_default();
                answer(200, &(self.figures.render() + fleet.as_str()))
            }
            Route::Fleet => {
                answer(200, &self.peers.as_ref().map_or(String::new(), |peers| peers.status().to_string()))
            }
            Route::Drain if self.gate.drain() => answer(200, "draining\n"),
            Route::Activate if self.gate.activate() => answer(200, "active\n"),
            Route::Drain | Route::Activate => answer(409, "stopping\n"),
        }
    }

    fn ready(&self) -> bool {
        self.terminals.listed.get() && *self.terminals.phase.borrow() == Phase::Serving
    }
}

enum Route {
    Ready,
    Metrics,
    Fleet,
    Drain,
    Activate,
}

struct Call {
    method: String,
    path: String,
}

/// A call's head, and as much of its body as it says it has; `None`: the caller went first; `Err`: no HTTP.
async fn read_call(stream: &mut TcpStream) -> Option<Result<Call, ()>> {
    let mut buffer = Vec::with_capacity(512);
    let mut chunk = [0; 1024];
    loop {
        let read = stream.read(&mut chunk).await.ok()?;
        if read == 0 {
            return None;
        }
        buffer.extend_from_slice(&chunk[..read]);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&buffer) {
            Ok(httparse::Status::Complete(head)) => {
                let length =
                    request.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
                let length =
                    match length.map(|header| std::str::from_utf8(header.value).ok()?.trim().parse().ok()) {
                        None => 0,
                        Some(Some(length)) if head + length <= MOST_CALL => length,
                        Some(_) => return Some(Err(())),
                    };
                let call = Call {
                    method: request.method.unwrap_or_default().to_string(),
                    path: request.path.unwrap_or_default().to_string(),
                };
                // The body means nothing here; it is read so that the close does not reset the answer.
                while buffer.len() < head + length {
                    let read = stream.read(&mut chunk).await.ok()?;
                    if read == 0 {
                        break;
                    }
                    buffer.extend_from_slice(&chunk[..read]);
                }
                return Some(Ok(call));
            }
            Ok(httparse::Status::Partial) if buffer.len() < MOST_CALL => {}
            _ => return Some(Err(())),
        }
    }
}

fn answer(status: u16, body: &str) -> String {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        _ => "Service Unavailable",
    };
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}
