//! Messages to other core members: a queue and one call at a time for each host.

use hashbrown::HashMap;
use nickeljunction_consensus::Envelope;
use nickeljunction_messages::path;
use nickeljunction_net::caller::Caller;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::sync::mpsc;

/// Messages that wait for one host at most. A lost one harms nothing; many old ones would only come late.
const MOST_WAITING: usize = 64;
/// A call without an answer by then has failed, ms: a host that is cut off must not hold what comes after for long.
const CALL_MS: f64 = 300.0;

struct Peer {
    queue: mpsc::UnboundedSender<Envelope>,
    waiting: Rc<Cell<usize>>,
}

/// Queues by host.
pub struct Peers {
    caller: Rc<Caller>,
    port: u16,
    peers: RefCell<HashMap<String, Peer, ahash::RandomState>>,
    sent: Cell<u64>,
}

impl Peers {
    /// No queues yet; every host listens on this port.
    pub fn new(caller: Rc<Caller>, port: u16) -> Rc<Peers> {
        Rc::new(Peers { caller, port, peers: RefCell::default(), sent: Cell::new(0) })
    }

    /// Messages that were sent on, since the start.
    pub fn sent(&self) -> u64 {
        self.sent.get()
    }

    /// Sends a message to a host, if it is fit to be sent in time.
    pub fn send(self: &Rc<Self>, host: &str, message: Envelope) {
        let mut peers = self.peers.borrow_mut();
        if !peers.contains_key(host) {
            let Ok(ip) = host.parse::<IpAddr>() else {
                log::warn!("event=bad_host host={host:?}");
                return;
            };
            let (queue, messages) = mpsc::unbounded_channel();
            let waiting = Rc::new(Cell::new(0));
            let to = SocketAddr::new(ip, self.port);
            tokio::task::spawn_local(deliver(self.caller.clone(), to, messages, waiting.clone()));
            peers.insert(host.to_string(), Peer { queue, waiting });
        }
        let peer = &peers[host];
        if peer.waiting.get() < MOST_WAITING && peer.queue.send(message).is_ok() {
            peer.waiting.set(peer.waiting.get() + 1);
            self.sent.set(self.sent.get() + 1);
        }
    }
}

async fn deliver(
    caller: Rc<Caller>,
    to: SocketAddr,
    mut messages: mpsc::UnboundedReceiver<Envelope>,
    waiting: Rc<Cell<usize>>,
) {
    let mut batch = Vec::new();
    while messages.recv_many(&mut batch, MOST_WAITING).await > 0 {
        waiting.set(waiting.get().saturating_sub(batch.len()));
        let body = serde_json::to_vec(&batch).unwrap_or_default();
        batch.clear();
        match caller.call(to, "POST", path::CONSENSUS, &[], &body, CALL_MS).await {
            Ok(_) => {}
            Err(error) => {
                log::debug!("event=peer_silent step=consensus peer={to} error={:?}", error.to_string());
                caller.forget(to);
            }
        }
    }
}
