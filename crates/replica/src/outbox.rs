//! Queue of messages to one other member: which are sent together, and how long a call with them may take.
//!
//! On a slow link, a call that times out before its bytes are transferred achieves nothing, however often it is repeated. So
//! the time-out grows with the number of bytes, a batch is small enough not to delay the heartbeat behind it, and a snapshot
//! has a call of its own: heartbeats overtake it, or its receiver would be taken for failed.

use nickeljunction_consensus::{Envelope, Msg};
use std::collections::VecDeque;

/// Most messages that wait for one member. Lost messages do no harm; many old ones would only arrive late.
const MAX_WAITING: usize = 64;
/// Most bytes in one call, except for a single message that is larger.
const BATCH_BYTES: usize = 32 * 1024;
/// Time-out of a call with few bytes, ms: an unreachable member must not block the following messages for long.
const BASE_TIMEOUT_MS: u64 = 300;
/// The slowest link that is supported, bytes per ms: 0.4 Mbit/s.
const MIN_BYTES_PER_MS: usize = 50;

/// Messages of different lanes are sent in separate calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// All messages except snapshots, in order: an append that overtakes another one is rejected.
    InOrder,
    /// Snapshots, one at a time: the leader sends one again if it isn't answered.
    Snapshots,
}

impl Lane {
    /// Both lanes.
    pub const ALL: [Lane; 2] = [Lane::InOrder, Lane::Snapshots];

    fn of(message: &Envelope) -> Lane {
        match message.msg {
            Msg::InstallSnapshot { .. } => Lane::Snapshots,
            _ => Lane::InOrder,
        }
    }
}

/// The contents of one call.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// In the order in which they have to be processed.
    pub messages: Vec<Envelope>,
    /// Time-out of the call, ms.
    pub timeout_ms: u64,
}

/// Messages that wait for one member.
#[derive(Debug, Default)]
pub struct Outbox {
    in_order: VecDeque<Envelope>,
    snapshot: Option<Envelope>,
    /// Whether a call is in flight, by lane.
    in_flight: [bool; 2],
}

impl Outbox {
    /// Adds a message; false if it is dropped because too many wait.
    pub fn push(&mut self, message: Envelope) -> bool {
        match Lane::of(&message) {
            Lane::InOrder if self.in_order.len() < MAX_WAITING => self.in_order.push_back(message),
            // A snapshot in flight serves as well, or the next one will.
            Lane::Snapshots if !self.in_flight[Lane::Snapshots as usize] => self.snapshot = Some(message),
            _ => return false,
        }
        true
    }

    /// The next call of a lane; `None`: one is in flight, or nothing waits. [`Outbox::done`] has to follow.
    pub fn next(&mut self, lane: Lane) -> Option<Batch> {
        if self.in_flight[lane as usize] {
            return None;
        }
        let messages = match lane {
            Lane::Snapshots => Vec::from_iter(self.snapshot.take()),
            Lane::InOrder => self.next_in_order(),
        };
        if messages.is_empty() {
            return None;
        }
        self.in_flight[lane as usize] = true;
        let bytes: usize = messages.iter().map(Envelope::size).sum();
        Some(Batch { messages, timeout_ms: BASE_TIMEOUT_MS + (bytes / MIN_BYTES_PER_MS) as u64 })
    }

    fn next_in_order(&mut self) -> Vec<Envelope> {
        let (mut messages, mut bytes) = (Vec::new(), 0);
        while let Some(next) = self.in_order.front() {
            bytes += next.size();
            if bytes > BATCH_BYTES && !messages.is_empty() {
                break;
            }
            messages.extend(self.in_order.pop_front());
        }
        messages
    }

    /// The call of a lane has succeeded or failed.
    pub fn done(&mut self, lane: Lane) {
        self.in_flight[lane as usize] = false;
    }
}
