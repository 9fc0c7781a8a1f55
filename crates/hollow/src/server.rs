//! A hollow server: it beats, and does nothing else.

use crate::operator;
use crate::traffic::{Ask, Channel, Kind};
use nickeljunction_net::wheel::Wheel;
use serde_json::json;
use std::cell::Cell;
use std::net::SocketAddr;

/// An acknowledgement that takes longer counts as none, ms.
const PATIENCE_MS: f64 = 1_000.0;
/// Most redirections that a beat follows.
const MOST_REDIRECTS: usize = 2;

/// What a server says of itself.
#[derive(Debug, Clone)]
pub struct Life {
    /// Its instance id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Where it would listen.
    pub address: SocketAddr,
}

impl Life {
    /// Path and body of its beat number `seq`.
    pub fn beat(&self, seq: u64) -> (String, Vec<u8>) {
        let body = json!({
            "address": self.address.to_string(),
            "node_info": {"backend": self.service, "config_version": "v1", "zone": self.zone, "slots": 4},
            "status": {"state": "in_service", "call_seq": seq, "warmup_left_s": 0},
        });
        (format!("/-/instances/{}", self.id), body.to_string().into_bytes())
    }
}

/// Beats every `heartbeat_ms`, first after `phase_ms`, for as long as it is polled: to the member that took the last beat,
/// else to the next of control.
pub async fn run(
    life: Life,
    channel: Channel,
    wheel: Wheel,
    control: Vec<SocketAddr>,
    phase_ms: f64,
    heartbeat_ms: f64,
) {
    let (mut turn, target) = (0, Cell::new(None));
    let mut next = wheel.now() + phase_ms;
    for seq in 1.. {
        wheel.sleep_until(next).await;
        next += heartbeat_ms;
        let (path, body) = life.beat(seq);
        let to = target.get().unwrap_or(control[turn % control.len()]);
        target.set(beat(&channel, to, &path, &body).await);
        if target.get().is_none() {
            turn += 1;
        }
    }
}

/// One beat, along its redirections; who took it.
async fn beat(channel: &Channel, mut to: SocketAddr, path: &str, body: &[u8]) -> Option<SocketAddr> {
    for _ in 0..=MOST_REDIRECTS {
        let ask = Ask { method: "PUT", path, headers: &[], body, timeout_ms: PATIENCE_MS };
        let reply = channel.call(Kind::Beat, to, ask).await.ok()?;
        match reply.status {
            200..=299 => return Some(to),
            307 => to = operator::target(reply.headers.get("Location")?)?,
            _ => return None,
        }
    }
    None
}
