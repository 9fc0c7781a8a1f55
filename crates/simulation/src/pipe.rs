//! A machine's thin link: what goes over it queues, each way by itself, behind what clients and servers send.

use crate::{Answer, Packet, Question};

/// Heads of a call and of its answer, bytes.
const HEAD: u64 = 250;
/// What a connection sends before the first acknowledgement, bytes; twice as much in each round after it.
const FIRST_WINDOW: u64 = 14_600;

/// One direction.
#[derive(Debug, Clone, Copy)]
struct Lane {
    bytes_per_ms: f64,
    /// All that was put on it has left it by then.
    free_at: f64,
}

impl Lane {
    fn waits(&self, now: f64) -> f64 {
        (self.free_at - now).max(0.0)
    }

    /// When the last of so many bytes, put on it at `at`, has left it.
    fn carry(&mut self, at: f64, bytes: u64) -> f64 {
        self.free_at = self.free_at.max(at) + bytes as f64 / self.bytes_per_ms;
        self.free_at
    }
}

/// A machine's link, both ways.
#[derive(Debug, Clone, Copy)]
pub struct Pipe {
    outward: Lane,
    inward: Lane,
}

impl Pipe {
    /// A link of so many Mbit/s each way.
    pub fn new(mbps: f64) -> Pipe {
        let lane = Lane { bytes_per_ms: mbps * 125.0, free_at: 0.0 };
        Pipe { outward: lane, inward: lane }
    }

    /// Other traffic fills it up, so that packets wait for so long each way, ms.
    pub fn press(&mut self, now: u64, outward_ms: f64, inward_ms: f64) {
        let now = now as f64;
        self.outward.free_at = self.outward.free_at.max(now + outward_ms);
        self.inward.free_at = self.inward.free_at.max(now + inward_ms);
    }

    /// When the last of a packet that is sent now is on the network.
    pub(crate) fn send(&mut self, now: f64, packet: &Packet) -> f64 {
        let bytes = size(packet);
        let rounds = self.rounds(now, bytes);
        self.outward.carry(now, bytes) + rounds
    }

    /// When the last of a packet that comes off the network at `at` is here.
    pub(crate) fn receive(&mut self, at: f64, packet: &Packet) -> f64 {
        let bytes = size(packet);
        let rounds = self.rounds(at, bytes);
        self.inward.carry(at, bytes) + rounds
    }

    /// What a connection waits for acknowledgements, where it sends more than its window at first.
    fn rounds(&self, now: f64, bytes: u64) -> f64 {
        let (mut window, mut rounds) = (FIRST_WINDOW, 0.0);
        while window < bytes {
            window = window * 2 + FIRST_WINDOW;
            rounds += 1.0;
        }
        rounds * (self.outward.waits(now) + self.inward.waits(now))
    }
}

/// Bytes of a packet.
fn size(packet: &Packet) -> u64 {
    let body = match packet {
        Packet::Reply(_, Answer::Watch(answer)) => serde_json::to_vec(answer).map_or(0, |body| body.len()),
        Packet::Ask(_, _, Question::Watch(call)) => serde_json::to_vec(call).map_or(0, |body| body.len()),
        Packet::Open(..) | Packet::Opened(_) | Packet::Ask(_, _, Question::HangUp) => return 60,
        _ => 200,
    };
    HEAD + body as u64
}
