//! Messages to one other member: which go out together, and how long a call with them may take.
//!
//! A line may be thin, and a call that is given up before its bytes are through brings nothing, however often it is
//! repeated. So a call has time in proportion to its bytes, a batch is small enough for the heartbeat behind it not to come
//! late, and a snapshot goes by itself: heartbeats pass it, or its receiver would be taken for gone.

use nickeljunction_consensus::{Envelope, Msg};
use std::collections::VecDeque;

/// Messages that wait for one member at most. A lost one harms nothing; many old ones would only come late.
const MOST_WAITING: usize = 64;
/// Bytes that go out in one call, but for a single message that is larger.
const BATCH_BYTES: usize = 32 * 1024;
/// A call of few bytes without an answer by then has failed, ms: a member that is cut off must not hold what comes after
/// for long.
const CALL_MS: u64 = 300;
/// The thinnest line that is reckoned with, bytes a ms: 0.4 Mbit/s.
const LEAST_RATE: usize = 50;

/// What goes to a member by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// All but snapshots, in their order: an append that overtakes another one is refused.
    InOrder,
    /// Snapshots. One at a time: a leader sends it again where it isn't answered.
    Snapshots,
}

impl Lane {
    /// All of them.
    pub const ALL: [Lane; 2] = [Lane::InOrder, Lane::Snapshots];

    fn of(message: &Envelope) -> Lane {
        match message.msg {
            Msg::InstallSnapshot { .. } => Lane::Snapshots,
            _ => Lane::InOrder,
        }
    }
}

/// What one call carries.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// In their order.
    pub messages: Vec<Envelope>,
    /// Without an answer after so long, ms, it has failed.
    pub timeout_ms: u64,
}

/// Messages that wait for one member.
#[derive(Debug, Default)]
pub struct Outbox {
    in_order: VecDeque<Envelope>,
    snapshot: Option<Envelope>,
    /// A call is under way, by lane.
    calls: [bool; 2],
}

impl Outbox {
    /// Takes a message; false where it is dropped, as too much waits.
    pub fn push(&mut self, message: Envelope) -> bool {
        match Lane::of(&message) {
            Lane::InOrder if self.in_order.len() < MOST_WAITING => self.in_order.push_back(message),
            // The one under way is as good, or the next will be.
            Lane::Snapshots if !self.calls[Lane::Snapshots as usize] => self.snapshot = Some(message),
            _ => return false,
        }
        true
    }

    /// The next call of a lane; `None`: one is under way, or nothing waits. To be followed by [`Outbox::done`].
    pub fn next(&mut self, lane: Lane) -> Option<Batch> {
        if self.calls[lane as usize] {
            return None;
        }
        let messages = match lane {
            Lane::Snapshots => Vec::from_iter(self.snapshot.take()),
            Lane::InOrder => self.batch(),
        };
        if messages.is_empty() {
            return None;
        }
        self.calls[lane as usize] = true;
        let bytes: usize = messages.iter().map(Envelope::size).sum();
        Some(Batch { messages, timeout_ms: CALL_MS + (bytes / LEAST_RATE) as u64 })
    }

    fn batch(&mut self) -> Vec<Envelope> {
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

    /// The call of a lane is over, well or not.
    pub fn done(&mut self, lane: Lane) {
        self.calls[lane as usize] = false;
    }
}
