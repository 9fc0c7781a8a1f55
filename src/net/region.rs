//! Regions: the booking servers. Pools of kept connections, and one attempt over one of them.

use crate::facade::{Outcome, RegionState, ServiceTable};
use crate::net::budget::{Budget, Slot};
use crate::net::http::{RegionCodec, RegionReply, RegionRequest};
use crate::net::wheel::Wheel;
use bytes::Bytes;
use futures_util::StreamExt;
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::HashMap;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Part of the region's own idle time after which a kept connection is closed here: a request that
/// crosses the region's close may have run, for all this side can tell.
const IDLE_PART: f64 = 0.5;
/// Most idle connections kept to one region.
const MOST_IDLE: usize = 32;

/// A connection to a region with its place in the budget.
struct Link {
    framed: Framed<TcpStream, RegionCodec>,
    since: f64,
    _slot: Slot,
}

impl Link {
    /// Nothing has come on it, not even its end. Asks the kernel itself: the runtime may not know yet.
    fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        let seen = SockRef::from(self.framed.get_ref()).peek(&mut byte);
        self.framed.read_buffer().is_empty()
            && seen.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

#[derive(Default)]
struct Region {
    address: Option<SocketAddr>,
    idle: Vec<Link>,
}

/// The regions by uid, and the connections kept to them.
pub struct Regions {
    regions: RefCell<HashMap<String, Region>>,
    budget: Rc<Budget>,
    wheel: Wheel,
    connect_ms: f64,
    keep_ms: f64,
}

/// How an attempt ended, and what was served.
pub type Ended = (Outcome, Option<RegionReply>);

impl Regions {
    /// No regions yet; `idle_ms` is when they close idle connections themselves.
    pub fn new(budget: Rc<Budget>, wheel: Wheel, connect_ms: f64, idle_ms: f64) -> Rc<Regions> {
        let keep_ms = idle_ms * IDLE_PART;
        Rc::new(Regions { regions: RefCell::default(), budget, wheel, connect_ms, keep_ms })
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
            if region.address != address || entry.state == RegionState::Terminating {
                region.idle.clear();
            }
            region.address = address;
        }
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
            self.wheel.sleep((self.keep_ms / 8.0).clamp(50.0, 1_000.0)).await;
            let now = self.wheel.now();
            for region in self.regions.borrow_mut().values_mut() {
                region.idle.retain(|link| now - link.since < self.keep_ms && link.quiet());
            }
        }
    }

    fn take_idle(&self, uid: &str) -> Option<Link> {
        let mut regions = self.regions.borrow_mut();
        let region = regions.get_mut(uid)?;
        let now = self.wheel.now();
        while let Some(link) = region.idle.pop() {
            if now - link.since < self.keep_ms && link.quiet() {
                return Some(link);
            }
        }
        None
    }

    fn keep(&self, uid: &str, mut link: Link) {
        if let Some(region) = self.regions.borrow_mut().get_mut(uid) {
            if region.idle.len() < MOST_IDLE {
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
        self.budget.region()
    }

    async fn connect(&self, uid: &str) -> Option<Link> {
        let address = self.regions.borrow().get(uid)?.address?;
        let slot = self.slot()?;
        let stream = self.wheel.timeout(self.connect_ms, TcpStream::connect(address)).await?.ok()?;
        stream.set_nodelay(true).ok()?;
        let framed = Framed::new(stream, RegionCodec::default());
        Some(Link { framed, since: self.wheel.now(), _slot: slot })
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
        let reply = match link.framed.next().await {
            Some(Ok(reply)) => reply,
            // Another process may have come up there: the other connections are as dead as this one.
            Some(Err(_)) | None => {
                self.close_idle(uid);
                return (Outcome::Reset, None);
            }
        };
        // Bytes past the answer would be taken for the answer to the next request.
        if reply.keep_alive && link.framed.read_buffer().is_empty() {
            self.keep(uid, link);
        }
        match reply.status {
            // A redirection or a client's error is an answer, too: the region has dealt with the request.
            200..=428 | 430..=499 => (Outcome::Served, Some(reply)),
            503 | 504 if reply.not_started => (Outcome::TurnedAway, None),
            _ => (Outcome::Error, None),
        }
    }
}
