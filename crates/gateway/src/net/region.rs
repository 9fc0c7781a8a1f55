//! Regions: the booking servers. Pools of kept connections, and one attempt over one of them.

use crate::figures::Figures;
use bytes::Bytes;
use futures_util::StreamExt;
use nickeljunction_core::facade::{Outcome, RegionState, ServiceTable};
use nickeljunction_http::{most_answer, HttpError, RegionCodec, RegionReply, RegionRequest};
use nickeljunction_net::budget::{Budget, Slot};
use nickeljunction_net::link;
use nickeljunction_net::wheel::Wheel;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Part of the region's own idle time after which a kept connection is closed here: a request that
/// crosses the region's close may have run, for all this side can tell.
const IDLE_PART: f64 = 0.5;
/// What a kept connection's buffer holds, bytes.
const READ_BYTES: usize = 4 * 1024;
/// Most idle connections kept to one region.
const MOST_IDLE: usize = 32;

/// A connection to a region with its place in the budget.
struct Link {
    framed: Framed<TcpStream, RegionCodec>,
    address: SocketAddr,
    since: f64,
    _slot: Slot,
}

impl Link {
    /// Lets go of what a large answer made the buffers grow to.
    fn shrink(&mut self) {
        link::shrink(self.framed.read_buffer_mut(), READ_BYTES);
    }

    /// Nothing has come on it, not even its end.
    fn quiet(&self) -> bool {
        self.framed.read_buffer().is_empty() && link::quiet(self.framed.get_ref())
    }
}

#[derive(Default)]
struct Region {
    /// Where it listens; `None` once it wants nothing new.
    address: Option<SocketAddr>,
    idle: Vec<Link>,
}

/// The regions by uid, and the connections kept to them.
pub struct Regions {
    regions: RefCell<HashMap<String, Region>>,
    budget: Rc<Budget>,
    wheel: Wheel,
    connect_ms: Cell<f64>,
    keep_ms: Cell<f64>,
    most_answer: usize,
    figures: Rc<Figures>,
}

/// How an attempt ended, and what was served.
pub type Ended = (Outcome, Option<RegionReply>);

impl Regions {
    /// No regions yet; `idle_ms` is when they close idle connections themselves, `memory`
    /// what the program may hold, bytes.
    pub fn new(
        budget: Rc<Budget>,
        wheel: Wheel,
        connect_ms: f64,
        idle_ms: f64,
        memory: usize,
        figures: Rc<Figures>,
    ) -> Rc<Regions> {
        let (keep_ms, most_answer) = (Cell::new(idle_ms * IDLE_PART), most_answer(memory));
        let connect_ms = Cell::new(connect_ms);
        Rc::new(Regions {
            regions: RefCell::default(),
            budget,
            wheel,
            connect_ms,
            keep_ms,
            most_answer,
            figures,
        })
    }

    /// The figures of the process.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// Follows the service table: where regions are, and which kept connections are of no more use.
    pub fn follow(&self, table: &ServiceTable) {
        let mut regions = self.regions.borrow_mut();
        if table.all {
            regions.retain(|uid, _| table.regions.iter().any(|entry| entry.uid == *uid));
        }
        for entry in &table.regions {
            if entry.state == RegionState::Gone {
                regions.remove(&entry.uid);
                continue;
            }
            let region = regions.entry(entry.uid.clone()).or_default();
            let address = entry.endpoint.parse().ok();
            if address.is_none() {
                tracing::warn!(uid = entry.uid, endpoint = entry.endpoint, "the endpoint is no address");
            }
            region.address = address.filter(|_| entry.state == RegionState::Ready);
            if region.idle.iter().any(|link| Some(link.address) != region.address) {
                region.idle = Vec::new();
            }
        }
        let skipped = regions.values().filter(|region| region.address.is_none()).count();
        self.figures.listed(regions.len(), skipped);
    }

    /// Takes new time-outs, ms: for connections to come up, and when regions close idle ones.
    pub fn retime(&self, connect_ms: f64, idle_ms: f64) {
        self.connect_ms.set(connect_ms);
        self.keep_ms.set(idle_ms * IDLE_PART);
    }

    /// Closes idle connections to a region.
    pub fn close_idle(&self, uid: &str) {
        if let Some(region) = self.regions.borrow_mut().get_mut(uid) {
            region.idle.clear();
        }
    }

    /// Closes what has been idle for long; runs for as long as it is polled.
    pub async fn reap(self: Rc<Self>) {
        loop {
            self.wheel.sleep((self.keep_ms.get() / 8.0).clamp(50.0, 1_000.0)).await;
            let now = self.wheel.now();
            for region in self.regions.borrow_mut().values_mut() {
                region.idle.retain(|link| now - link.since < self.keep_ms.get() && link.quiet());
            }
        }
    }

    fn take_idle(&self, uid: &str) -> Option<Link> {
        let mut regions = self.regions.borrow_mut();
        let region = regions.get_mut(uid)?;
        let now = self.wheel.now();
        while let Some(link) = region.idle.pop() {
            if now - link.since < self.keep_ms.get() && link.quiet() {
                return Some(link);
            }
        }
        None
    }

    fn keep(&self, uid: &str, mut link: Link) {
        if let Some(region) = self.regions.borrow_mut().get_mut(uid) {
            // Another machine may have come up meanwhile where this one was, under an id of its own.
            if region.idle.len() < MOST_IDLE && region.address == Some(link.address) {
                link.shrink();
                link.since = self.wheel.now();
                region.idle.push(link);
            }
        }
    }

    /// A place in the budget, if need be that of the connection that has been idle longest.
    fn slot(&self) -> Option<Slot> {
        if let Some(slot) = self.budget.region() {
            return Some(slot);
        }
        let mut regions = self.regions.borrow_mut();
        let oldest = regions.values_mut().filter(|region| !region.idle.is_empty());
        match oldest.min_by(|a, b| a.idle[0].since.total_cmp(&b.idle[0].since)) {
            Some(region) => drop(region.idle.remove(0)),
            None => self.budget.squeeze.notify_one(),
        }
        drop(regions);
        self.budget.region()
    }

    async fn connect(&self, uid: &str) -> Option<Link> {
        let address = self.regions.borrow().get(uid)?.address?;
        let slot = self.slot()?;
        let stream = self.wheel.timeout(self.connect_ms.get(), TcpStream::connect(address)).await?.ok()?;
        stream.set_nodelay(true).ok()?;
        let framed = Framed::with_capacity(stream, RegionCodec::new(self.most_answer), READ_BYTES);
        Some(Link { framed, address, since: self.wheel.now(), _slot: slot })
    }

    /// The answer on a connection. One that has begun and then stands still is not whole and won't be: waited
    /// for, it would cost the request all its time.
    async fn answer(&self, link: &mut Link) -> Option<Result<RegionReply, HttpError>> {
        loop {
            if !link.framed.codec().begun() && link.framed.read_buffer().is_empty() {
                // Nothing has come. Readable: the next turn reads what has, without waiting for more.
                tokio::select! {
                    biased;
                    reply = link.framed.next() => return reply,
                    () = self.wheel.sleep(self.connect_ms.get()) => continue,
                }
            }
            let had = link.framed.read_buffer().len();
            match self.wheel.timeout(self.connect_ms.get(), link.framed.next()).await {
                Some(reply) => return reply,
                None if link.framed.read_buffer().len() > had => {}
                None => return Some(Err(HttpError::Malformed("an answer that stands still"))),
            }
        }
    }

    /// Sends one request to one region, once, and waits for its answer. Dropping the future gives the
    /// attempt up and closes its connection.
    pub async fn attempt(&self, uid: &str, request: Bytes) -> Ended {
        let link = match self.take_idle(uid) {
            Some(link) => Some(link),
            None => self.connect(uid).await,
        };
        let Some(mut link) = link else { return (Outcome::CouldNotConnect, None) };
        // Until the last byte is written the region can't have begun; from then on it may have.
        let RegionRequest(bytes) = RegionRequest(request);
        if link.framed.get_mut().write_all(&bytes).await.is_err() {
            return (Outcome::CouldNotConnect, None);
        }
        self.figures.tried();
        let reply = match self.answer(&mut link).await {
            Some(Ok(reply)) => reply,
            Some(Err(HttpError::Io(_))) | None => return (Outcome::Reset, None),
            // Only this connection is of no more use: the region and its other connections are what they were.
            Some(Err(error)) => {
                tracing::debug!(uid, %error, "a spoilt answer");
                return (Outcome::Unreadable, None);
            }
        };
        // Bytes past the answer would be taken for the answer to the next request.
        if reply.keep_alive && link.framed.read_buffer().is_empty() {
            self.keep(uid, link);
        }
        match reply.status {
            // A redirection or a client's error is an answer, too: the region has dealt with the request.
            200..=428 | 430..=499 => (Outcome::Served, Some(reply)),
            503 | 504 if reply.not_started => (Outcome::Rejected, None),
            _ => (Outcome::Error, None),
        }
    }
}
