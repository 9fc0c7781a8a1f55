//! The keyed operations that this gateway claimed, without I/O: what a repeat is told, here or at another gateway.
//!
//! A claim's number is used once. A claim that ended before a server was asked is released: its number never runs, so that
//! another claim may take its place. Whatever else ended without an answer is in doubt, and is never run again.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::{Bytes, BytesMut};
use nickeljunction_http::stream::read_answer_head;
use nickeljunction_http::MOST_HEAD;
use nickeljunction_messages::{Claimant, KeptAnswer, OperationId, RecallAnswer, RecallCall};
use siphasher::sip128::SipHasher13;
use std::collections::{HashMap, VecDeque};
use std::hash::Hasher;
use std::net::Ipv4Addr;
use std::rc::Rc;

use crate::exchange::{ResponseBody, ServerResponse};

/// Most bytes of answers that are kept; beyond that the oldest are dropped.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Most operations that are remembered.
pub const MAX_OPERATIONS: usize = 32 * 1024;
/// An operation is remembered for so long beyond the window in which repeats come, ms.
const BEYOND_WINDOW_MS: f64 = 30_000.0;
/// What a kept answer takes beside its lines and its body, bytes.
const ANSWER_BYTES: usize = 128;

/// Digest of a request, by which another one under the same key is told apart. `body`: where it is held whole.
pub fn request_digest(method: &str, target: &str, body: Option<&[u8]>) -> u64 {
    let mut hasher = SipHasher13::new();
    text(&mut hasher, method.as_bytes());
    text(&mut hasher, target.as_bytes());
    hasher.write(&[u8::from(body.is_some())]);
    text(&mut hasher, body.unwrap_or_default());
    hasher.finish()
}

/// With its length in front, so that no two rows of texts look alike.
fn text(hasher: &mut SipHasher13, bytes: &[u8]) {
    hasher.write(&(bytes.len() as u64).to_le_bytes());
    hasher.write(bytes);
}

/// A server's answer that is kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    status: u16,
    /// Header lines with their ends, but for `X-Attempt-Id`.
    lines: String,
    body: Bytes,
}

impl StoredAnswer {
    /// A copy of an answer; `None`: its body is streamed, or a line of it is no text.
    pub fn from_response(served: &ServerResponse) -> Option<StoredAnswer> {
        let ResponseBody::Buffered(body) = &served.body else { return None };
        let mut lines = String::new();
        for (name, value) in served.headers.passed_on() {
            if !name.eq_ignore_ascii_case("x-attempt-id") {
                lines.extend([name, ": ", std::str::from_utf8(value).ok()?, "\r\n"]);
            }
        }
        // Copied: a part of a read buffer would hold the whole buffer.
        Some(StoredAnswer { status: served.status, lines, body: Bytes::copy_from_slice(body) })
    }

    /// The answer as the client of this try gets it; `None`: what another gateway sent can't be read.
    pub fn to_response(&self, attempt_id: &str) -> Option<ServerResponse> {
        let StoredAnswer { status, lines, body } = self;
        let head = format!(
            "HTTP/1.1 {status} Kept\r\n{lines}X-Attempt-Id: {attempt_id}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let head = read_answer_head(&mut BytesMut::from(head.as_bytes()), 2 * MOST_HEAD, false).ok()??;
        Some(ServerResponse {
            status: *status,
            headers: head.headers,
            body: ResponseBody::Buffered(body.clone()),
        })
    }

    /// As it goes to another gateway.
    pub fn to_message(&self) -> KeptAnswer {
        let lines = self.lines.lines().filter_map(|line| line.split_once(": "));
        KeptAnswer {
            status: self.status,
            headers: lines.map(|(name, value)| (name.to_string(), value.to_string())).collect(),
            body: STANDARD.encode(&self.body),
        }
    }

    /// As it came from another gateway.
    pub fn from_message(message: &KeptAnswer) -> Option<StoredAnswer> {
        let lines = message.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let body = STANDARD.decode(&message.body).ok()?.into();
        Some(StoredAnswer { status: message.status, lines, body })
    }

    fn bytes(&self) -> usize {
        ANSWER_BYTES + self.lines.len() + self.body.len()
    }
}

#[derive(Debug, Clone)]
enum State {
    /// Being claimed, or at a server.
    InProgress,
    /// It ran nowhere, and this claim's number will never be used.
    Released,
    Answered(Rc<StoredAnswer>),
    InDoubt,
}

#[derive(Debug, Clone)]
struct Record {
    /// The first of the numbers under which this gateway claimed it: all before `number` were released.
    first: u64,
    number: u64,
    request: u64,
    state: State,
    /// When the state was entered, ms.
    since: f64,
}

/// What a request under a key may do.
#[derive(Debug, Clone, PartialEq)]
pub enum BeginResult {
    /// Claim the operation.
    Claim {
        /// Under this number, which is at work from now on.
        claimant: Claimant,
        /// The claim of this gateway before it, which was released.
        released: Option<Claimant>,
    },
    /// Come back later.
    InProgress,
    /// Have the first run's answer.
    Answered(Rc<StoredAnswer>),
    /// Nothing: it may have run.
    InDoubt,
    /// Nothing: the key was used for another request.
    OtherRequest,
    /// Nothing: as many operations as fit are remembered.
    Full,
}

/// What a table has seen since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OperationCounts {
    /// Claims begun.
    pub claims: u64,
    /// Claims that were released.
    pub released: u64,
    /// Runs that ended with an answer that is kept.
    pub answered: u64,
    /// Runs that ended in doubt.
    pub in_doubt: u64,
    /// Requests that got the answer of the first run, here or at another gateway.
    pub repeated: u64,
    /// Questions of other gateways.
    pub recalls: u64,
    /// Answers that were dropped before their time, for want of space.
    pub dropped: u64,
}

/// The table. Times are ms of the program's clock.
#[derive(Debug, Clone)]
pub struct OperationTable {
    host: Ipv4Addr,
    life: u64,
    next_number: u64,
    remembered_ms: f64,
    most_kept_bytes: usize,
    records: HashMap<OperationId, Record>,
    /// Ended claims in the order of their ends, for forgetting them; an entry that is no longer current has no effect.
    ended: VecDeque<(OperationId, u64)>,
    /// Kept answers, the oldest first; an entry that is no longer current has no effect.
    kept: VecDeque<(OperationId, u64)>,
    kept_bytes: usize,
    kept_answers: usize,
    counts: OperationCounts,
}

impl OperationTable {
    /// A table of the process of this life on this host; repeats come within `window_ms`.
    pub fn new(host: Ipv4Addr, life: u64, window_ms: f64) -> OperationTable {
        OperationTable {
            host,
            life,
            next_number: 1,
            remembered_ms: window_ms + BEYOND_WINDOW_MS,
            most_kept_bytes: MAX_ANSWER_BYTES,
            records: HashMap::new(),
            ended: VecDeque::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            kept_answers: 0,
            counts: OperationCounts::default(),
        }
    }

    /// The same with another bound of the bytes of kept answers.
    pub fn with_max_answer_bytes(self, most_kept_bytes: usize) -> OperationTable {
        OperationTable { most_kept_bytes, ..self }
    }

    /// What has been seen since the start.
    pub fn counts(&self) -> OperationCounts {
        self.counts
    }

    /// Operations that are remembered, answers that are kept, and their bytes.
    pub fn usage(&self) -> (usize, usize, usize) {
        (self.records.len(), self.kept_answers, self.kept_bytes)
    }

    /// A request under a key: what it may do.
    pub fn begin(&mut self, now: f64, operation: OperationId, request: u64) -> BeginResult {
        self.forget(now);
        let (mut first, mut released) = (self.next_number, None);
        if let Some(record) = self.records.get(&operation) {
            if record.request != request && !matches!(record.state, State::Released) {
                return BeginResult::OtherRequest;
            }
            match &record.state {
                State::InProgress => return BeginResult::InProgress,
                State::InDoubt => return BeginResult::InDoubt,
                State::Answered(answer) => {
                    self.counts.repeated += 1;
                    return BeginResult::Answered(answer.clone());
                }
                State::Released => {
                    first = record.first;
                    released = Some(self.claimant(record.number));
                }
            }
        } else if self.records.len() >= MAX_OPERATIONS {
            return BeginResult::Full;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.counts.claims += 1;
        self.records
            .insert(operation, Record { first, number, request, state: State::InProgress, since: now });
        BeginResult::Claim { claimant: self.claimant(number), released }
    }

    fn claimant(&self, number: u64) -> Claimant {
        Claimant { host: self.host, incarnation: self.life, number }
    }

    /// This claim ended before a server was asked, or each server vouched for not having run it.
    pub fn release(&mut self, now: f64, operation: OperationId, number: u64) {
        if self.end(now, operation, number, State::Released) {
            self.counts.released += 1;
        }
    }

    /// This claim's run ended with an answer.
    pub fn record_answer(&mut self, now: f64, operation: OperationId, number: u64, answer: StoredAnswer) {
        let bytes = answer.bytes();
        if !self.end(now, operation, number, State::Answered(Rc::new(answer))) {
            return;
        }
        self.counts.answered += 1;
        self.kept_answers += 1;
        self.kept_bytes += bytes;
        self.kept.push_back((operation, number));
        while self.kept_bytes > self.most_kept_bytes {
            let Some((operation, number)) = self.kept.pop_front() else { break };
            self.drop_answer(operation, number);
        }
    }

    /// Nobody knows whether this claim's run took place, or its answer can't be kept.
    pub fn mark_in_doubt(&mut self, now: f64, operation: OperationId, number: u64) {
        if self.end(now, operation, number, State::InDoubt) {
            self.counts.in_doubt += 1;
        }
    }

    /// `false`: this claim has ended before.
    fn end(&mut self, now: f64, operation: OperationId, number: u64, state: State) -> bool {
        let record = self.records.get_mut(&operation);
        let at_work =
            record.filter(|record| record.number == number && matches!(record.state, State::InProgress));
        let Some(record) = at_work else { return false };
        (record.state, record.since) = (state, now);
        self.ended.push_back((operation, number));
        true
    }

    /// Its operation is in doubt for repeats from now on.
    fn drop_answer(&mut self, operation: OperationId, number: u64) {
        let record = self.records.get_mut(&operation).filter(|record| record.number == number);
        let Some(record) = record else { return };
        let State::Answered(answer) = &record.state else { return };
        self.kept_bytes -= answer.bytes();
        self.kept_answers -= 1;
        self.counts.dropped += 1;
        record.state = State::InDoubt;
    }

    /// Another gateway asks what became of a claim.
    pub fn recall(&mut self, now: f64, call: &RecallCall) -> RecallAnswer {
        self.forget(now);
        self.counts.recalls += 1;
        self.lookup(call)
    }

    /// What became of a claim.
    pub fn lookup(&self, call: &RecallCall) -> RecallAnswer {
        let RecallCall { operation, claimant, request_digest: request } = call;
        let record = self.records.get(operation).filter(|_| self.is_own_claim(claimant));
        let Some(record) = record else { return RecallAnswer::InDoubt };
        if (record.first..record.number).contains(&claimant.number) {
            return RecallAnswer::Released;
        }
        if record.number != claimant.number {
            return RecallAnswer::InDoubt;
        }
        match &record.state {
            State::Released => RecallAnswer::Released,
            _ if record.request != *request => RecallAnswer::OtherRequest,
            State::InProgress => RecallAnswer::InProgress,
            State::InDoubt => RecallAnswer::InDoubt,
            State::Answered(answer) => RecallAnswer::Answered(answer.to_message()),
        }
    }

    /// This process made the claim.
    pub fn is_own_claim(&self, claimant: &Claimant) -> bool {
        (claimant.host, claimant.incarnation) == (self.host, self.life)
    }

    /// A request here got an answer that another gateway keeps.
    pub fn record_repeat(&mut self) {
        self.counts.repeated += 1;
    }

    /// Forgets what ended too long ago for a repeat.
    fn forget(&mut self, now: f64) {
        while let Some((operation, number)) = self.ended.front().copied() {
            if let Some(record) = self.records.get(&operation).filter(|record| record.number == number) {
                if now < record.since + self.remembered_ms {
                    return;
                }
                if let State::Answered(answer) = &record.state {
                    self.kept_bytes -= answer.bytes();
                    self.kept_answers -= 1;
                }
                self.records.remove(&operation);
            }
            self.ended.pop_front();
        }
        while self.kept.front().is_some_and(|(operation, number)| !self.keeps(operation, *number)) {
            self.kept.pop_front();
        }
    }

    fn keeps(&self, operation: &OperationId, number: u64) -> bool {
        let record = self.records.get(operation).filter(|record| record.number == number);
        record.is_some_and(|record| matches!(record.state, State::Answered(_)))
    }
}
