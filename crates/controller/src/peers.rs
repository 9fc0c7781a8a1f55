//! Messages to other core members: an outbox for each host, and one call at a time for each of its lanes.

use hashbrown::HashMap;
use nickeljunction_consensus::Envelope;
use nickeljunction_messages::path;
use nickeljunction_net::caller::Caller;
use nickeljunction_replica::outbox::{Lane, Outbox};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::sync::Notify;

struct Peer {
    outbox: RefCell<Outbox>,
    /// Something waits, or a call is over.
    news: Notify,
}

/// Queues by host.
pub struct Peers {
    caller: Rc<Caller>,
    port: u16,
    peers: RefCell<HashMap<String, Rc<Peer>, ahash::RandomState>>,
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
            let peer = Rc::new(Peer { outbox: RefCell::default(), news: Notify::new() });
            let to = SocketAddr::new(ip, self.port);
            for lane in Lane::ALL {
                tokio::task::spawn_local(deliver(self.caller.clone(), to, peer.clone(), lane));
            }
            peers.insert(host.to_string(), peer);
        }
        let peer = &peers[host];
        if peer.outbox.borrow_mut().push(message) {
            peer.news.notify_waiters();
            self.sent.set(self.sent.get() + 1);
        }
    }
}

async fn deliver(caller: Rc<Caller>, to: SocketAddr, peer: Rc<Peer>, lane: Lane) {
    loop {
        let news = peer.news.notified();
        tokio::pin!(news);
        news.as_mut().enable();
        let next = peer.outbox.borrow_mut().next(lane);
        let Some(batch) = next else {
            news.await;
            continue;
        };
        let body = serde_json::to_vec(&batch.messages).unwrap_or_default();
        drop(batch.messages);
        match caller.call(to, "POST", path::CONSENSUS, &[], &body, batch.timeout_ms as f64).await {
            Ok(_) => {}
            Err(error) => {
                log::debug!("event=peer_silent step=consensus peer={to} error={:?}", error.to_string());
                caller.forget(to);
            }
        }
        peer.outbox.borrow_mut().done(lane);
    }
}
