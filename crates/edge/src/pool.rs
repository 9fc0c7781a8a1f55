//! Pool of keep-alive connections to servers, by instance id. Connections are reused because they are costly for
//! servers. Idle ones are closed before the server would, because a request that crosses the server's close may have
//! run.

use crate::exchange_state::{ConnectionHistory, InvalidAnswer};
use nickeljunction_core::facade::Outcome;
use nickeljunction_http::HttpError;
use nickeljunction_net::budget::{Budget, Slot};
use nickeljunction_net::wheel::Wheel;
use quick_error::quick_error;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Limit on idle connections to one server.
const MAX_IDLE: usize = 8;
/// Idle connections are closed after this time if the server states no time-out, ms.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 4_000.0;
/// Subtracted from a stated time-out, which is in whole seconds and may have been rounded up, ms; but at most half of
/// it.
const IDLE_TIMEOUT_MARGIN_MS: f64 = 1_200.0;
/// Time after which unacknowledged bytes break the connection, ms: a machine that lost power sends no reset.
const UNACKNOWLEDGED_TIMEOUT_MS: u64 = 2_500;

quick_error! {
    /// Why a send gave no usable answer: the step that failed and the peer.
    #[derive(Debug)]
    pub enum SendError {
        /// The connection limit is reached, or the server is no longer known.
        NoConnection(server: String) {
            display("connection limit reached or server unknown: {}", server)
        }
        /// The streamed body was consumed by an earlier send.
        NoBody {
            display("streamed body already consumed")
        }
        /// The connection could not be established.
        Connect(peer: SocketAddr, error: io::Error) {
            source(error)
            display("connecting to {}: {}", peer, error)
        }
        /// The connection was not established within this time, ms.
        ConnectTimeout(peer: SocketAddr, ms: f64) {
            display("connecting to {}: timed out after {} ms", peer, ms)
        }
        /// No byte of the request could be written.
        FirstWrite(peer: SocketAddr, error: io::Error) {
            source(error)
            display("writing the first byte to {}: {}", peer, error)
        }
        /// The connection broke while the request was being written.
        Write(peer: SocketAddr, error: io::Error) {
            source(error)
            display("writing the request to {}: {}", peer, error)
        }
        /// The client's body is incomplete or longer than stated, and a part of the request had been written.
        InvalidBody(peer: SocketAddr) {
            display("request body for {} is incomplete or longer than stated", peer)
        }
        /// The connection broke before the first byte of the answer.
        NoAnswer(peer: SocketAddr, error: io::Error) {
            source(error)
            display("waiting for the answer of {}: {}", peer, error)
        }
        /// The connection broke within the answer.
        Truncated(peer: SocketAddr) {
            display("answer of {} is truncated", peer)
        }
        /// The answer is not valid HTTP.
        Malformed(peer: SocketAddr, error: HttpError) {
            source(error)
            display("answer of {}: {}", peer, error)
        }
        /// The answer belongs to another request, or was not made by the server itself.
        Mismatch(peer: SocketAddr, reason: &'static str) {
            display("answer of {}: {}", peer, reason)
        }
    }
}

impl SendError {
    /// The error for an invalid answer.
    pub(crate) fn invalid_answer(peer: SocketAddr, invalid: InvalidAnswer) -> SendError {
        match invalid {
            InvalidAnswer::Malformed(error) => SendError::Malformed(peer, error),
            InvalidAnswer::Mismatch(reason) => SendError::Mismatch(peer, reason),
        }
    }

    /// What the error means for the request. Once a byte was written, the request may have run.
    pub fn outcome(&self) -> Outcome {
        match self {
            SendError::NoConnection(_) | SendError::NoBody => Outcome::NotSent,
            SendError::Connect(..) | SendError::ConnectTimeout(..) | SendError::FirstWrite(..) => {
                Outcome::CouldNotConnect
            }
            SendError::Write(..) | SendError::InvalidBody(_) | SendError::NoAnswer(..) => Outcome::Reset,
            SendError::Truncated(_) | SendError::Malformed(..) | SendError::Mismatch(..) => {
                Outcome::Unreadable
            }
        }
    }
}

/// Counts one open connection of a server; dropping it uncounts the connection.
#[derive(Debug)]
struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(open: &Rc<Cell<usize>>) -> OpenGuard {
        open.set(open.get() + 1);
        OpenGuard(open.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection to a server.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) peer: SocketAddr,
    /// The kinds of requests that were written to it.
    pub(crate) history: ConnectionHistory,
    idle_timeout_ms: f64,
    idle_since: f64,
    _open: OpenGuard,
    _slot: Slot,
}

impl Connection {
    /// Whether nothing was received on it, not even its close. Checks with the kernel, because the runtime may not have
    /// noticed yet.
    fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        let received = SockRef::from(&self.stream).peek(&mut byte);
        received.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sets the idle time-out from the server's `Keep-Alive` header.
    pub(crate) fn set_idle_timeout(&mut self, keep_alive: Option<&str>) {
        let parameters = keep_alive.into_iter().flat_map(|text| text.split(',')).map(str::trim);
        let seconds = parameters
            .filter_map(|part| part.split_once('='))
            .find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))
            .and_then(|(_, value)| value.trim().parse::<u32>().ok());
        if let Some(seconds) = seconds {
            let stated_ms = f64::from(seconds) * 1000.0;
            self.idle_timeout_ms = (stated_ms - IDLE_TIMEOUT_MARGIN_MS).max(stated_ms / 2.0);
        }
    }
}

struct Server {
    address: SocketAddr,
    connect_timeout_ms: f64,
    max_open: usize,
    open: Rc<Cell<usize>>,
    /// Idle connections; the one idle longest is first.
    idle: Vec<Connection>,
}

/// The connections to all servers.
pub(crate) struct Pool {
    servers: RefCell<HashMap<String, Server>>,
    budget: Rc<Budget>,
    wheel: Wheel,
    opened: Cell<u64>,
}

impl Pool {
    pub(crate) fn new(wheel: Wheel, budget: Rc<Budget>) -> Rc<Pool> {
        Rc::new(Pool { servers: RefCell::default(), budget, wheel, opened: Cell::default() })
    }

    /// Number of connections opened since the start, successful or not.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Number of open connections to the known servers, and how many of them are idle.
    pub(crate) fn open_and_idle(&self) -> (usize, usize) {
        let servers = self.servers.borrow();
        let count = |(open, idle): (usize, usize), server: &Server| {
            (open + server.open.get(), idle + server.idle.len())
        };
        servers.values().fold((0, 0), count)
    }

    /// Adds or updates a server: its address, the time-out for connecting to it and the limit on open connections.
    pub(crate) fn update_server(
        &self,
        id: &str,
        address: SocketAddr,
        connect_timeout_ms: f64,
        max_open: usize,
    ) {
        let mut servers = self.servers.borrow_mut();
        if let Some(server) = servers.get_mut(id) {
            (server.connect_timeout_ms, server.max_open) = (connect_timeout_ms, max_open);
            if server.address != address {
                (server.address, server.idle) = (address, Vec::new());
            }
            return;
        }
        let (open, idle) = (Rc::default(), Vec::new());
        servers.insert(id.to_string(), Server { address, connect_timeout_ms, max_open, open, idle });
    }

    /// Removes the servers for which `keep` is false, with their idle connections.
    pub(crate) fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.servers.borrow_mut().retain(|id, _| keep(id));
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle(&self, id: &str) {
        if let Some(server) = self.servers.borrow_mut().get_mut(id) {
            server.idle.clear();
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        let now = self.wheel.now();
        for server in self.servers.borrow_mut().values_mut() {
            server.idle.retain(|connection| now - connection.idle_since < connection.idle_timeout_ms);
        }
    }

    /// The idle connection that was used last, or a new one if there is none; `true`: it was idle.
    pub(crate) async fn take(&self, id: &str) -> Result<(Connection, bool), SendError> {
        match self.take_idle(id) {
            Some(connection) => Ok((connection, true)),
            None => Ok((self.connect(id).await?, false)),
        }
    }

    fn take_idle(&self, id: &str) -> Option<Connection> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(id)?;
        let now = self.wheel.now();
        while let Some(connection) = server.idle.pop() {
            if now - connection.idle_since < connection.idle_timeout_ms && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection whose requests have all been answered to the pool.
    pub(crate) fn put_back(&self, id: &str, mut connection: Connection) {
        if let Some(server) = self.servers.borrow_mut().get_mut(id) {
            // Another server with another id may listen on this address by now.
            if server.idle.len() < MAX_IDLE && server.address == connection.peer {
                connection.idle_since = self.wheel.now();
                server.idle.push(connection);
            }
        }
    }

    /// A slot of the socket budget. If there is none, the connection that has been idle longest is closed for it.
    fn acquire_slot(&self) -> Option<Slot> {
        if let Some(slot) = self.budget.region() {
            return Some(slot);
        }
        let mut servers = self.servers.borrow_mut();
        let with_idle = servers.values_mut().filter(|server| !server.idle.is_empty());
        match with_idle.min_by(|a, b| a.idle[0].idle_since.total_cmp(&b.idle[0].idle_since)) {
            Some(server) => drop(server.idle.remove(0)),
            None => self.budget.squeeze.notify_one(),
        }
        drop(servers);
        self.budget.region()
    }

    async fn connect(&self, id: &str) -> Result<Connection, SendError> {
        let no_connection = || SendError::NoConnection(id.to_string());
        let (peer, connect_timeout_ms, open) = {
            let servers = self.servers.borrow();
            let server = servers.get(id).filter(|server| server.open.get() < server.max_open);
            let server = server.ok_or_else(no_connection)?;
            (server.address, server.connect_timeout_ms, OpenGuard::new(&server.open))
        };
        let slot = self.acquire_slot().ok_or_else(no_connection)?;
        self.opened.set(self.opened.get() + 1);
        let stream = match self.wheel.timeout(connect_timeout_ms, TcpStream::connect(peer)).await {
            Some(stream) => stream.map_err(|error| SendError::Connect(peer, error))?,
            None => return Err(SendError::ConnectTimeout(peer, connect_timeout_ms)),
        };
        let configured = stream.set_nodelay(true).and_then(|()| {
            SockRef::from(&stream)
                .set_tcp_user_timeout(Some(Duration::from_millis(UNACKNOWLEDGED_TIMEOUT_MS)))
        });
        configured.map_err(|error| SendError::Connect(peer, error))?;
        Ok(Connection {
            stream,
            peer,
            history: ConnectionHistory::default(),
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            idle_since: self.wheel.now(),
            _open: open,
            _slot: slot,
        })
    }
}
