//! The calls of hollow gateways, servers and operators, and what they weigh: bytes of HTTP, without TCP's and IP's own.

use nickeljunction_net::caller::{CallError, Caller, Reply};
use nickeljunction_net::wheel::Wheel;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// What a call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A gateway's held call for news.
    Watch,
    /// A gateway's counted adds.
    Units,
    /// A server's beat.
    Beat,
    /// An operator's call.
    Order,
}

/// All kinds, in the order that they are printed in.
pub const KINDS: [Kind; 4] = [Kind::Watch, Kind::Units, Kind::Beat, Kind::Order];

impl Kind {
    /// How it is called in the table.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Watch => "watch",
            Kind::Units => "units",
            Kind::Beat => "beat",
            Kind::Order => "order",
        }
    }
}

/// What calls of one kind weighed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Weight {
    /// Calls that ended with an answer.
    pub calls: u64,
    /// Calls that ended without, or with another status than 2xx.
    pub failed: u64,
    /// Bytes of the requests.
    pub sent: u64,
    /// Bytes of the answers.
    pub received: u64,
}

impl Weight {
    /// What came on top of `before`.
    pub fn since(&self, before: &Weight) -> Weight {
        Weight {
            calls: self.calls - before.calls,
            failed: self.failed - before.failed,
            sent: self.sent - before.sent,
            received: self.received - before.received,
        }
    }
}

/// What all calls weighed, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic([Weight; KINDS.len()]);

impl Traffic {
    /// Calls of this kind.
    pub fn of(&self, kind: Kind) -> &Weight {
        &self.0[kind as usize]
    }

    /// A call of this kind ended.
    pub fn add(&mut self, kind: Kind, sent: usize, answer: Option<(u16, usize)>) {
        let weight = &mut self.0[kind as usize];
        weight.sent += sent as u64;
        weight.received += answer.map_or(0, |(_, bytes)| bytes as u64);
        weight.calls += u64::from(answer.is_some());
        let good = answer.is_some_and(|(status, _)| (200..300).contains(&status));
        weight.failed += u64::from(!good);
    }

    /// What came on top of `before`.
    pub fn since(&self, before: &Traffic) -> Traffic {
        let mut since = Traffic::default();
        for (at, weight) in since.0.iter_mut().enumerate() {
            *weight = self.0[at].since(&before.0[at]);
        }
        since
    }
}

/// Bytes of a request of this tool: the head that the shared caller writes, and the body.
pub fn request_bytes(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: usize,
) -> usize {
    let lines: usize = headers.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
    let typed = if body > 0 { "Content-Type: application/json\r\n".len() } else { 0 };
    let length = format!("Content-Length: {body}\r\n").len();
    format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\n\r\n").len() + lines + typed + length + body
}

/// Bytes of an answer, its reason phrase left out.
pub fn answer_bytes(reply: &Reply) -> usize {
    let lines: usize = reply.headers.lines().map(|(name, value)| name.len() + value.len() + 4).sum();
    "HTTP/1.1 200 \r\n\r\n".len() + lines + reply.body.len()
}

/// Kept connections of one caller, whose calls are weighed.
pub struct Channel {
    caller: Rc<Caller>,
    traffic: Rc<RefCell<Traffic>>,
}

impl Channel {
    /// Without connections yet.
    pub fn new(wheel: &Wheel, traffic: &Rc<RefCell<Traffic>>) -> Channel {
        Channel { caller: Caller::new(wheel.clone()), traffic: traffic.clone() }
    }

    /// Makes one call.
    ///
    /// # Errors
    /// See [`Caller::call`].
    pub async fn call(&self, kind: Kind, to: SocketAddr, ask: Ask<'_>) -> Result<Reply, CallError> {
        let Ask { method, path, headers, body, timeout_ms } = ask;
        let sent = request_bytes(to, method, path, headers, body.len());
        let answer = self.caller.call(to, method, path, headers, body, timeout_ms).await;
        let told = answer.as_ref().ok().map(|reply| (reply.status, answer_bytes(reply)));
        self.traffic.borrow_mut().add(kind, sent, told);
        answer
    }
}

/// A request.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Header lines beside those that every request has.
    pub headers: &'a [(&'a str, &'a str)],
    /// JSON.
    pub body: &'a [u8],
    /// Time for all of it, ms.
    pub timeout_ms: f64,
}
