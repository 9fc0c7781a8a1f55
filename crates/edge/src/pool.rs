//! Kept connections to servers, by instance id: connections are dear to servers, and a request that crosses the close of one
//! may have run for all this side can tell.

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

/// Most idle connections kept to one server.
const MOST_IDLE: usize = 8;
/// Idle connections are closed after this time where the server states none, ms.
const KEEP_MS: f64 = 4_000.0;
/// A stated time is in whole seconds, and may have been rounded up: so much of it is left unused, ms, but never more
/// than half.
const KEEP_SPARE_MS: f64 = 1_200.0;
/// Bytes that a peer doesn't acknowledge for so long break the connection: a machine without power says nothing.
const SILENT_PEER_MS: u64 = 2_500;

quick_error! {
    /// Why a server gave no answer that can be used: the step and the peer.
    #[derive(Debug)]
    pub enum SendError {
        /// This side has no place for a further connection, or knows the server no more.
        NoPlace(server: String) {
            display("no place for a connection to {}", server)
        }
        /// The body has gone to another server, or its client broke it off before anything was written.
        NoBody {
            display("no body to send")
        }
        /// No connection came about.
        Connect(peer: SocketAddr, error: io::Error) {
            source(error)
            display("connecting to {}: {}", peer, error)
        }
        /// No connection came about in time, ms.
        ConnectTime(peer: SocketAddr, ms: f64) {
            display("connecting to {}: nothing for {} ms", peer, ms)
        }
        /// Not one byte could be written.
        Unwritten(peer: SocketAddr, error: io::Error) {
            source(error)
            display("writing the first byte to {}: {}", peer, error)
        }
        /// The connection broke while the request was written.
        Write(peer: SocketAddr, error: io::Error) {
            source(error)
            display("writing to {}: {}", peer, error)
        }
        /// The client broke its body off after a part of it had been written.
        BodyBroke(peer: SocketAddr) {
            display("the body for {} broke off", peer)
        }
        /// The connection broke before a byte of the answer.
        Silent(peer: SocketAddr, error: io::Error) {
            source(error)
            display("waiting for {}: {}", peer, error)
        }
        /// The answer was cut off.
        Cut(peer: SocketAddr) {
            display("answer of {} cut off", peer)
        }
        /// The answer is no HTTP.
        Garbled(peer: SocketAddr, error: HttpError) {
            source(error)
            display("answer of {}: {}", peer, error)
        }
        /// The answer is not one to this request, or not the server's own.
        Foreign(peer: SocketAddr, what: &'static str) {
            display("answer of {}: {}", peer, what)
        }
    }
}

impl SendError {
    /// What came was no answer to the request.
    pub(crate) fn flaw(peer: SocketAddr, flaw: InvalidAnswer) -> SendError {
        match flaw {
            InvalidAnswer::Malformed(error) => SendError::Garbled(peer, error),
            InvalidAnswer::Mismatch(what) => SendError::Foreign(peer, what),
        }
    }

    /// What it means for the request. Everything from the first written byte on may have run.
    pub fn outcome(&self) -> Outcome {
        match self {
            SendError::NoPlace(_) | SendError::NoBody => Outcome::NotSent,
            SendError::Connect(..) | SendError::ConnectTime(..) | SendError::Unwritten(..) => {
                Outcome::CouldNotConnect
            }
            SendError::Write(..) | SendError::BodyBroke(_) | SendError::Silent(..) => Outcome::Reset,
            SendError::Cut(_) | SendError::Garbled(..) | SendError::Foreign(..) => Outcome::Spoilt,
        }
    }
}

/// One of the connections that a server's share allows.
#[derive(Debug)]
struct Share(Rc<Cell<usize>>);

impl Share {
    fn take(open: &Rc<Cell<usize>>) -> Share {
        open.set(open.get() + 1);
        Share(open.clone())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection to a server.
pub(crate) struct Link {
    pub(crate) stream: TcpStream,
    pub(crate) peer: SocketAddr,
    /// What has gone out on it.
    pub(crate) carried: ConnectionHistory,
    keep_ms: f64,
    since: f64,
    _share: Share,
    _slot: Slot,
}

impl Link {
    /// Nothing has come on it, not even its end. Asks the kernel itself: the runtime may not know yet.
    fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        let seen = SockRef::from(&self.stream).peek(&mut byte);
        seen.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Takes the server's word on how long it keeps idle connections.
    pub(crate) fn heed(&mut self, keep_alive: Option<&str>) {
        let parameters = keep_alive.into_iter().flat_map(|text| text.split(',')).map(str::trim);
        let seconds = parameters
            .filter_map(|part| part.split_once('='))
            .find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))
            .and_then(|(_, value)| value.trim().parse::<u32>().ok());
        if let Some(seconds) = seconds {
            let stated = f64::from(seconds) * 1000.0;
            self.keep_ms = (stated - KEEP_SPARE_MS).max(stated / 2.0);
        }
    }
}

struct Server {
    address: SocketAddr,
    connect_ms: f64,
    most_open: usize,
    open: Rc<Cell<usize>>,
    /// In the order in which they came back.
    idle: Vec<Link>,
}

/// The connections.
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

    /// Connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Connections to the servers that may be sent to: open, and of these idle.
    pub(crate) fn open(&self) -> (usize, usize) {
        let servers = self.servers.borrow();
        let count = |(open, idle): (usize, usize), server: &Server| {
            (open + server.open.get(), idle + server.idle.len())
        };
        servers.values().fold((0, 0), count)
    }

    /// A server that may be sent to: where it listens, how long a connection may take to come up, ms, and how many may be
    /// open at most.
    pub(crate) fn follow(&self, id: &str, address: SocketAddr, connect_ms: f64, most_open: usize) {
        let mut servers = self.servers.borrow_mut();
        if let Some(server) = servers.get_mut(id) {
            (server.connect_ms, server.most_open) = (connect_ms, most_open);
            if server.address != address {
                (server.address, server.idle) = (address, Vec::new());
            }
            return;
        }
        let (open, idle) = (Rc::default(), Vec::new());
        servers.insert(id.to_string(), Server { address, connect_ms, most_open, open, idle });
    }

    /// Forgets all servers but these, with their idle connections.
    pub(crate) fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.servers.borrow_mut().retain(|id, _| keep(id));
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle(&self, id: &str) {
        if let Some(server) = self.servers.borrow_mut().get_mut(id) {
            server.idle.clear();
        }
    }

    /// Closes what has been idle for too long.
    pub(crate) fn reap(&self) {
        let now = self.wheel.now();
        for server in self.servers.borrow_mut().values_mut() {
            server.idle.retain(|link| now - link.since < link.keep_ms);
        }
    }

    /// A kept connection, the one used last first, or else a new one; `true`: kept.
    pub(crate) async fn take(&self, id: &str) -> Result<(Link, bool), SendError> {
        match self.take_idle(id) {
            Some(link) => Ok((link, true)),
            None => Ok((self.connect(id).await?, false)),
        }
    }

    fn take_idle(&self, id: &str) -> Option<Link> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(id)?;
        let now = self.wheel.now();
        while let Some(link) = server.idle.pop() {
            if now - link.since < link.keep_ms && link.quiet() {
                return Some(link);
            }
        }
        None
    }

    /// Takes a connection back on which all that was asked has been answered.
    pub(crate) fn keep(&self, id: &str, mut link: Link) {
        if let Some(server) = self.servers.borrow_mut().get_mut(id) {
            // Another server may listen meanwhile where this one did, under an id of its own.
            if server.idle.len() < MOST_IDLE && server.address == link.peer {
                link.since = self.wheel.now();
                server.idle.push(link);
            }
        }
    }

    /// A descriptor, if need be that of the connection that has been idle longest.
    fn slot(&self) -> Option<Slot> {
        if let Some(slot) = self.budget.region() {
            return Some(slot);
        }
        let mut servers = self.servers.borrow_mut();
        let held = servers.values_mut().filter(|server| !server.idle.is_empty());
        match held.min_by(|a, b| a.idle[0].since.total_cmp(&b.idle[0].since)) {
            Some(server) => drop(server.idle.remove(0)),
            None => self.budget.squeeze.notify_one(),
        }
        drop(servers);
        self.budget.region()
    }

    async fn connect(&self, id: &str) -> Result<Link, SendError> {
        let none = || SendError::NoPlace(id.to_string());
        let (peer, connect_ms, share) = {
            let servers = self.servers.borrow();
            let server = servers.get(id).filter(|server| server.open.get() < server.most_open);
            let server = server.ok_or_else(none)?;
            (server.address, server.connect_ms, Share::take(&server.open))
        };
        let slot = self.slot().ok_or_else(none)?;
        self.opened.set(self.opened.get() + 1);
        let stream = match self.wheel.timeout(connect_ms, TcpStream::connect(peer)).await {
            Some(stream) => stream.map_err(|error| SendError::Connect(peer, error))?,
            None => return Err(SendError::ConnectTime(peer, connect_ms)),
        };
        let tuned = stream.set_nodelay(true).and_then(|()| {
            SockRef::from(&stream).set_tcp_user_timeout(Some(Duration::from_millis(SILENT_PEER_MS)))
        });
        tuned.map_err(|error| SendError::Connect(peer, error))?;
        Ok(Link {
            stream,
            peer,
            carried: ConnectionHistory::default(),
            keep_ms: KEEP_MS,
            since: self.wheel.now(),
            _share: share,
            _slot: slot,
        })
    }
}
