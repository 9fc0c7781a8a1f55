//! Operators and servers, scripted: they repeat what has no clear answer, unchanged, and go where they are sent.

use crate::member::HEARTBEAT_MS;
use crate::{node_of, Answer, Node, Out, Packet, Question};
use nickeljunction_history::{self as history, Call, Exchange, Kind, Status};
use nickeljunction_messages::ServerState;
use nickeljunction_registry::Heartbeat;
use std::collections::HashMap;

/// A call without an answer is repeated elsewhere after so long, ms, and one sent on or without a clear answer after that.
const ANSWER_MS: u64 = 3_000;
const BEAT_MS: u64 = 1_000;
const AGAIN_MS: u64 = 200;

/// An operator's call, from its first copy to its clear answer.
#[derive(Debug, Clone)]
pub struct Order {
    /// What is asked.
    pub question: Question,
    /// The clear answer.
    pub answer: Option<Answer>,
    /// Newest version acknowledged or read before it was first asked.
    pub floor: u64,
    /// Only this member is asked, once: to see what one machine says.
    pub only: bool,
    /// When it was first asked.
    pub asked_at: u64,
    /// When its clear answer came.
    pub answered_at: Option<u64>,
    to: Node,
    call: u64,
    again_at: u64,
}

impl Order {
    /// It was acknowledged.
    pub fn done(&self) -> bool {
        matches!(self.answer, Some(Answer::Done))
    }

    /// It was refused for good.
    pub fn conflict(&self) -> bool {
        matches!(self.answer, Some(Answer::Conflict))
    }
}

/// A server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its life.
    pub id: String,
    /// It calls.
    pub up: bool,
    /// What it says.
    pub beat: Heartbeat,
    /// It says that it is gone, until that is acknowledged.
    pub ended: bool,
    /// A call of its present state was acknowledged at this time.
    pub acked: Option<u64>,
    to: Node,
    call: u64,
    next_at: u64,
}

/// What gets lost between operators and members, percent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lost {
    /// Of the calls, before a member has them.
    pub calls: u8,
    /// Of the answers.
    pub answers: u8,
}

/// All who call from outside.
#[derive(Debug)]
pub struct Operators {
    node: Node,
    members: usize,
    /// By their number.
    pub orders: Vec<Order>,
    /// By their number.
    pub servers: Vec<Server>,
    /// All calls that change or read the configuration, with what came back.
    pub history: Vec<Exchange>,
    /// What gets lost of operators' calls.
    pub lost: Lost,
    /// What gets lost is chance.
    pub rng: fastrand::Rng,
    /// Where a call stands in the history.
    places: HashMap<u64, usize>,
    calls: u64,
}

/// What a history says of a question; `None`: it is none of the configuration.
fn call(operator: usize, question: &Question, sent_ms: u64) -> Option<Call> {
    let (kind, base, version, digest) = match question {
        Question::Get => (Kind::Read, 0, 0, ""),
        Question::Put(base, version, digest, _) => (Kind::Put, *base, *version, &digest[..]),
        Question::Patch(base, version, digest, _) => (Kind::Patch, *base, *version, &digest[..]),
        _ => return None,
    };
    let digest = digest.to_owned();
    Some(Call { operator: operator as u32, kind, base, version, digest, valid: true, sent_ms })
}

fn status(answer: &Answer) -> Status {
    match answer {
        Answer::State(version) => Status::Read(*version),
        Answer::Done => Status::Acknowledged,
        Answer::Conflict => Status::Conflict,
        _ => Status::Unclear,
    }
}

impl Operators {
    pub(crate) fn new(node: Node, members: usize) -> Operators {
        Operators {
            node,
            members,
            orders: Vec::new(),
            servers: Vec::new(),
            history: Vec::new(),
            lost: Lost::default(),
            rng: fastrand::Rng::with_seed(node as u64),
            places: HashMap::new(),
            calls: 0,
        }
    }

    /// An operator asks, at this member first.
    pub(crate) fn order(&mut self, now: u64, to: Node, question: Question, floor: u64, only: bool) -> usize {
        let order = Order {
            question,
            answer: None,
            floor,
            only,
            asked_at: now,
            answered_at: None,
            to,
            call: 0,
            again_at: now,
        };
        self.orders.push(order);
        self.orders.len() - 1
    }

    /// A server comes up.
    pub(crate) fn server(&mut self, now: u64, id: &str, address: &str, backend: &str, zone: &str) -> usize {
        let beat = Heartbeat {
            address: address.into(),
            backend: backend.into(),
            version: "v1".into(),
            zone: zone.into(),
            slots: 4,
            state: ServerState::InService,
            call_seq: 0,
            warmup_left_ms: 0,
        };
        let server =
            Server { id: id.into(), up: true, beat, ended: false, acked: None, to: 0, call: 0, next_at: now };
        self.servers.push(server);
        self.servers.len() - 1
    }

    /// A server says at once that it drains, and goes on saying so.
    pub(crate) fn drain(&mut self, now: u64, server: usize) {
        let server = &mut self.servers[server];
        server.beat.state = ServerState::Draining;
        (server.acked, server.call, server.next_at) = (None, 0, now);
    }

    /// A server says at once that it is gone, until that is acknowledged.
    pub(crate) fn leave(&mut self, now: u64, server: usize) {
        let server = &mut self.servers[server];
        server.ended = true;
        (server.acked, server.call, server.next_at) = (None, 0, now);
    }

    /// Newest version that an answer has told of.
    pub fn known(&self) -> u64 {
        let told = self.history.iter().filter_map(|exchange| match exchange.answer?.status {
            Status::Acknowledged => Some(exchange.call.version),
            Status::Read(version) => Some(version),
            _ => None,
        });
        told.max().unwrap_or(0)
    }

    /// Orders that are repeated until they have a clear answer, and have none.
    pub fn under_way(&self) -> usize {
        self.orders.iter().filter(|order| order.answer.is_none() && !order.only).count()
    }

    /// What a read's answer must show at least, where it is waited for.
    pub(crate) fn asked(&self, call: u64) -> Option<u64> {
        let order = self.orders.iter().find(|order| order.call == call && order.answer.is_none());
        order.map(|order| order.floor)
    }

    pub(crate) fn heard(&mut self, now: u64, packet: Packet) {
        let Packet::Reply(call, answer) = packet else { return };
        if let Some(place) = self.places.get(&call) {
            if self.rng.u8(..100) < self.lost.answers {
                return;
            }
            let told = history::Answer { status: status(&answer), received_ms: now };
            self.history[*place].answer.get_or_insert(told);
        }
        let members = self.members;
        let next =
            |to: Node, leader: Option<String>| leader.and_then(|l| node_of(&l)).unwrap_or((to + 1) % members);
        if let Some(order) = self.orders.iter_mut().find(|order| order.call == call && order.answer.is_none())
        {
            match answer {
                Answer::Elsewhere(leader) if !order.only => {
                    order.again_at = now + if leader.is_some() { 1 } else { AGAIN_MS };
                    (order.to, order.call) = (next(order.to, leader), 0);
                }
                Answer::Unknown if !order.only => (order.again_at, order.call) = (now + AGAIN_MS, 0),
                clear => {
                    (order.answer, order.again_at) = (Some(clear), u64::MAX);
                    order.answered_at = Some(now);
                }
            }
        } else if let Some(server) = self.servers.iter_mut().find(|server| server.call == call) {
            match answer {
                Answer::Done => {
                    (server.call, server.next_at) = (0, now + HEARTBEAT_MS);
                    server.acked.get_or_insert(now);
                    server.up &= !server.ended;
                }
                Answer::Elsewhere(leader) => {
                    server.next_at = now + if leader.is_some() { 1 } else { AGAIN_MS };
                    (server.to, server.call) = (next(server.to, leader), 0);
                }
                _ => {}
            }
        }
    }

    pub(crate) fn wake(&self) -> u64 {
        let orders = self.orders.iter().map(|order| order.again_at);
        let servers = self.servers.iter().filter(|server| server.up).map(|server| server.next_at);
        orders.chain(servers).min().unwrap_or(u64::MAX)
    }

    pub(crate) fn turn(&mut self, now: u64, out: &mut Out) {
        for (number, order) in self.orders.iter_mut().enumerate().filter(|(_, order)| order.again_at <= now) {
            if order.call > 0 && order.only {
                order.again_at = u64::MAX;
                continue;
            }
            if order.call > 0 {
                // No answer: it may be cut off.
                order.to = (order.to + 1) % self.members;
            }
            self.calls += 1;
            (order.call, order.again_at) = (self.calls, now + ANSWER_MS);
            if let Some(call) = call(number, &order.question, now) {
                self.places.insert(self.calls, self.history.len());
                self.history.push(Exchange { call, answer: None });
                if self.rng.u8(..100) < self.lost.calls {
                    continue;
                }
            }
            out.posts.push((order.to, Packet::Ask(self.node, order.call, order.question.clone())));
        }
        for server in self.servers.iter_mut().filter(|server| server.up && server.next_at <= now) {
            if server.call > 0 {
                server.to = (server.to + 1) % self.members;
            }
            self.calls += 1;
            server.beat.call_seq += 1;
            (server.call, server.next_at) = (self.calls, now + BEAT_MS);
            let question = match server.ended {
                true => Question::Leave(server.id.clone()),
                false => Question::Beat(server.id.clone(), server.beat.clone()),
            };
            out.posts.push((server.to, Packet::Ask(self.node, server.call, question)));
        }
    }
}
