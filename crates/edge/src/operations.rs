//! The table of keyed operations that this gateway has claimed, without I/O. It determines the answer to a repeated
//! request, at this gateway or at another one.
//!
//! A claim's number is used once. A claim that ended before a request was sent to a server is released: its number
//! never runs, so another claim may replace it. A claim that ended otherwise without an answer is in doubt, and its
//! operation is not run again.

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

/// Limit on the stored answers; beyond it the oldest are dropped.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Limit on the operations in the table.
pub const MAX_OPERATIONS: usize = 32 * 1024;
/// An operation is kept for this time after the window in which repeats may arrive, ms.
const EXTRA_RETENTION_MS: f64 = 30_000.0;
/// Memory of a stored answer in addition to its lines and its body.
const ANSWER_OVERHEAD_BYTES: usize = 128;

/// Digest of a request, which distinguishes it from other requests under the same key. `body`: `None` if it is
/// streamed.
pub fn request_digest(method: &str, target: &str, body: Option<&[u8]>) -> u64 {
    let mut hasher = SipHasher13::new();
    hash_text(&mut hasher, method.as_bytes());
    hash_text(&mut hasher, target.as_bytes());
    hasher.write(&[u8::from(body.is_some())]);
    hash_text(&mut hasher, body.unwrap_or_default());
    hasher.finish()
}

/// Hashes the length before the bytes, so that different sequences of texts never hash the same bytes.
fn hash_text(hasher: &mut SipHasher13, bytes: &[u8]) {
    hasher.write(&(bytes.len() as u64).to_le_bytes());
    hasher.write(bytes);
}

/// A server's answer that is stored for repeated requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    status: u16,
    /// Header lines with their line ends, without `X-Attempt-Id`.
    lines: String,
    body: Bytes,
}

impl StoredAnswer {
    /// A copy of an answer; `None`: its body is streamed, or a header line is not UTF-8.
    pub fn from_response(response: &ServerResponse) -> Option<StoredAnswer> {
        let ResponseBody::Buffered(body) = &response.body else { return None };
        let mut lines = String::new();
        for (name, value) in response.headers.passed_on() {
            if !name.eq_ignore_ascii_case("x-attempt-id") {
                lines.extend([name, ": ", std::str::from_utf8(value).ok()?, "\r\n"]);
            }
        }
        // Copied, because a slice of a read buffer would keep the whole buffer in memory.
        Some(StoredAnswer { status: response.status, lines, body: Bytes::copy_from_slice(body) })
    }

    /// The answer to the request with this `X-Attempt-Id`; `None`: the answer came from another gateway and is not
    /// valid HTTP.
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

    /// The message for another gateway.
    pub fn to_message(&self) -> KeptAnswer {
        let lines = self.lines.lines().filter_map(|line| line.split_once(": "));
        KeptAnswer {
            status: self.status,
            headers: lines.map(|(name, value)| (name.to_string(), value.to_string())).collect(),
            body: STANDARD.encode(&self.body),
        }
    }

    /// The answer in a message of another gateway; `None`: its body is not valid base64.
    pub fn from_message(message: &KeptAnswer) -> Option<StoredAnswer> {
        let lines = message.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let body = STANDARD.decode(&message.body).ok()?.into();
        Some(StoredAnswer { status: message.status, lines, body })
    }

    fn size_bytes(&self) -> usize {
        ANSWER_OVERHEAD_BYTES + self.lines.len() + self.body.len()
    }
}

#[derive(Debug, Clone)]
enum State {
    /// Being claimed or at a server.
    InProgress,
    /// The operation was run by no server, and this claim's number will never be used.
    Released,
    Answered(Rc<StoredAnswer>),
    InDoubt,
}

#[derive(Debug, Clone)]
struct Record {
    /// The first number under which this gateway claimed the operation. All its claims before `number` were released.
    first_number: u64,
    number: u64,
    request_digest: u64,
    state: State,
    /// When the state was entered, ms.
    since: f64,
}

/// How to proceed with a request under a key.
#[derive(Debug, Clone, PartialEq)]
pub enum BeginResult {
    /// The operation must be claimed.
    Claim {
        /// The claim to request, whose number is in progress from now on.
        claimant: Claimant,
        /// The previous claim of this gateway, which was released.
        released: Option<Claimant>,
    },
    /// Another request of the operation is in progress.
    InProgress,
    /// The operation has run: this is its answer.
    Answered(Rc<StoredAnswer>),
    /// The operation may have run and must not run again.
    InDoubt,
    /// The key was used for a different request.
    OtherRequest,
    /// The table is full.
    Full,
}

/// Counts of one table since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OperationCounts {
    /// Claims begun.
    pub claims: u64,
    /// Claims that were released.
    pub released: u64,
    /// Runs that ended with a stored answer.
    pub answered: u64,
    /// Runs that ended in doubt.
    pub in_doubt: u64,
    /// Requests that got the answer of the first run, here or at another gateway.
    pub repeated: u64,
    /// Queries of other gateways.
    pub recalls: u64,
    /// Answers that were dropped early for lack of space.
    pub dropped: u64,
}

/// The table of operations. Times are ms of the process clock.
#[derive(Debug, Clone)]
pub struct OperationTable {
    host: Ipv4Addr,
    incarnation: u64,
    next_number: u64,
    retention_ms: f64,
    max_answer_bytes: usize,
    records: HashMap<OperationId, Record>,
    /// Ended claims in the order in which they ended, for their expiry. An outdated entry has no effect.
    ended: VecDeque<(OperationId, u64)>,
    /// Claims with a stored answer, the oldest first. An outdated entry has no effect.
    stored: VecDeque<(OperationId, u64)>,
    answer_bytes: usize,
    answer_count: usize,
    counts: OperationCounts,
}

impl OperationTable {
    /// A table for this incarnation of the process on this host. Repeats arrive within `window_ms`.
    pub fn new(host: Ipv4Addr, incarnation: u64, window_ms: f64) -> OperationTable {
        OperationTable {
            host,
            incarnation,
            next_number: 1,
            retention_ms: window_ms + EXTRA_RETENTION_MS,
            max_answer_bytes: MAX_ANSWER_BYTES,
            records: HashMap::new(),
            ended: VecDeque::new(),
            stored: VecDeque::new(),
            answer_bytes: 0,
            answer_count: 0,
            counts: OperationCounts::default(),
        }
    }

    /// Changes the limit on the bytes of stored answers.
    pub fn with_max_answer_bytes(self, max_answer_bytes: usize) -> OperationTable {
        OperationTable { max_answer_bytes, ..self }
    }

    /// Counts since the start.
    pub fn counts(&self) -> OperationCounts {
        self.counts
    }

    /// Number of operations in the table, number of stored answers, and the bytes of these answers.
    pub fn usage(&self) -> (usize, usize, usize) {
        (self.records.len(), self.answer_count, self.answer_bytes)
    }

    /// Begins a request of an operation and returns how to proceed with it.
    pub fn begin(&mut self, now: f64, operation: OperationId, request_digest: u64) -> BeginResult {
        self.expire(now);
        let (mut first_number, mut released) = (self.next_number, None);
        if let Some(record) = self.records.get(&operation) {
            if record.request_digest != request_digest && !matches!(record.state, State::Released) {
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
                    first_number = record.first_number;
                    released = Some(self.claimant(record.number));
                }
            }
        } else if self.records.len() >= MAX_OPERATIONS {
            return BeginResult::Full;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.counts.claims += 1;
        self.records.insert(
            operation,
            Record { first_number, number, request_digest, state: State::InProgress, since: now },
        );
        BeginResult::Claim { claimant: self.claimant(number), released }
    }

    fn claimant(&self, number: u64) -> Claimant {
        Claimant { host: self.host, incarnation: self.incarnation, number }
    }

    /// Records that this claim ended before a send to a server, or that each server stated that it has not run the
    /// operation.
    pub fn release(&mut self, now: f64, operation: OperationId, number: u64) {
        if self.end(now, operation, number, State::Released) {
            self.counts.released += 1;
        }
    }

    /// Records that this claim's run ended with an answer.
    pub fn record_answer(&mut self, now: f64, operation: OperationId, number: u64, answer: StoredAnswer) {
        let bytes = answer.size_bytes();
        if !self.end(now, operation, number, State::Answered(Rc::new(answer))) {
            return;
        }
        self.counts.answered += 1;
        self.answer_count += 1;
        self.answer_bytes += bytes;
        self.stored.push_back((operation, number));
        while self.answer_bytes > self.max_answer_bytes {
            let Some((operation, number)) = self.stored.pop_front() else { break };
            self.drop_answer(operation, number);
        }
    }

    /// Records that it is unknown whether this claim's operation has run, or that its answer can't be stored.
    pub fn mark_in_doubt(&mut self, now: f64, operation: OperationId, number: u64) {
        if self.end(now, operation, number, State::InDoubt) {
            self.counts.in_doubt += 1;
        }
    }

    /// Ends a claim; `false`: it has ended before.
    fn end(&mut self, now: f64, operation: OperationId, number: u64, state: State) -> bool {
        let record = self.records.get_mut(&operation);
        let in_progress =
            record.filter(|record| record.number == number && matches!(record.state, State::InProgress));
        let Some(record) = in_progress else { return false };
        (record.state, record.since) = (state, now);
        self.ended.push_back((operation, number));
        true
    }

    /// Drops a stored answer. The operation is in doubt from then on.
    fn drop_answer(&mut self, operation: OperationId, number: u64) {
        let record = self.records.get_mut(&operation).filter(|record| record.number == number);
        let Some(record) = record else { return };
        let State::Answered(answer) = &record.state else { return };
        self.answer_bytes -= answer.size_bytes();
        self.answer_count -= 1;
        self.counts.dropped += 1;
        record.state = State::InDoubt;
    }

    /// Answers another gateway's query for the outcome of a claim.
    pub fn recall(&mut self, now: f64, call: &RecallCall) -> RecallAnswer {
        self.expire(now);
        self.counts.recalls += 1;
        self.lookup(call)
    }

    /// The outcome of a claim.
    pub fn lookup(&self, call: &RecallCall) -> RecallAnswer {
        let RecallCall { operation, claimant, request_digest } = call;
        let record = self.records.get(operation).filter(|_| self.is_own_claim(claimant));
        let Some(record) = record else { return RecallAnswer::InDoubt };
        if (record.first_number..record.number).contains(&claimant.number) {
            return RecallAnswer::Released;
        }
        if record.number != claimant.number {
            return RecallAnswer::InDoubt;
        }
        match &record.state {
            State::Released => RecallAnswer::Released,
            _ if record.request_digest != *request_digest => RecallAnswer::OtherRequest,
            State::InProgress => RecallAnswer::InProgress,
            State::InDoubt => RecallAnswer::InDoubt,
            State::Answered(answer) => RecallAnswer::Answered(answer.to_message()),
        }
    }

    /// Whether this process made the claim.
    pub fn is_own_claim(&self, claimant: &Claimant) -> bool {
        (claimant.host, claimant.incarnation) == (self.host, self.incarnation)
    }

    /// Counts a request that got an answer stored by another gateway.
    pub fn record_repeat(&mut self) {
        self.counts.repeated += 1;
    }

    /// Removes operations that ended too long ago to be repeated.
    fn expire(&mut self, now: f64) {
        while let Some((operation, number)) = self.ended.front().copied() {
            if let Some(record) = self.records.get(&operation).filter(|record| record.number == number) {
                if now < record.since + self.retention_ms {
                    return;
                }
                if let State::Answered(answer) = &record.state {
                    self.answer_bytes -= answer.size_bytes();
                    self.answer_count -= 1;
                }
                self.records.remove(&operation);
            }
            self.ended.pop_front();
        }
        while self.stored.front().is_some_and(|(operation, number)| !self.has_answer(operation, *number)) {
            self.stored.pop_front();
        }
    }

    fn has_answer(&self, operation: &OperationId, number: u64) -> bool {
        let record = self.records.get(operation).filter(|record| record.number == number);
        record.is_some_and(|record| matches!(record.state, State::Answered(_)))
    }
}
