//! What is recorded: everything that goes into the decision module and comes out of it, and each final answer. Fed
//! to a module of the same settings and seed, the inputs must bring the same outputs again.

use crate::number::{Put, Take};
use nickeljunction_core::facade::{
    CounterReply, Intake, Outcome, RegionEntry, RegionState, RequestKey, RoutedTask, ServiceTable,
};
use std::collections::HashMap;

/// Parts of a millisecond that a time is told in.
pub const TICKS_PER_MS: f64 = 1024.0;
/// Most lines of a service table, and most different texts of one block.
const MOST_LINES: usize = 1 << 20;

pub use nickeljunction_core::facade::Ending;

/// One event.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A process begins: all that its module is made of.
    Boot {
        /// The gateway's name.
        name: String,
        /// The module's seed.
        seed: u64,
        /// The module has never-twice twins of its classes.
        strict: bool,
        /// Settings as key and value, by the names of the simulator's wire.
        settings: Vec<(String, String)>,
    },
    /// New figures are in force.
    Tuned {
        /// The document's epoch.
        epoch: u64,
        /// Settings as in [`Event::Boot`].
        settings: Vec<(String, String)>,
        /// Plans hold for windows that begin then or later, ms; negative infinity: for all.
        from: f64,
    },
    /// A request was taken in.
    Taken {
        /// Its number in this process.
        request: RequestKey,
        /// Its id, as its client gave it.
        id: String,
        /// Its idempotency key; empty: none.
        key: String,
        /// What the module was told.
        intake: Intake,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        request: RequestKey,
        /// The attempt's number.
        attempt: usize,
        /// The region's uid.
        region: String,
        /// How.
        outcome: Outcome,
        /// True units; 0: none told.
        settled: f64,
        /// Time since it was routed, ms.
        latency_ms: f64,
        /// The request has its final answer.
        closed: bool,
    },
    /// The client left, or the core answered for the module.
    Left(RequestKey),
    /// The counter answered.
    Counted(String, CounterReply),
    /// The service table changed.
    Table {
        /// The change.
        table: ServiceTable,
        /// It may be old.
        saved: bool,
    },
    /// The module was given its tick.
    Tick,
    /// Leases went back at a stop.
    Retired,
    /// An attempt goes out.
    Route(RoutedTask),
    /// The module refused.
    Short(RequestKey, f64),
    /// The module failed it.
    Fail(RequestKey),
    /// The module gives an attempt up.
    GiveUp(RequestKey, usize),
    /// The counter is called: name, amount, life in ms.
    Count(String, f64, f64),
    /// Idle connections are closed.
    CloseIdle(String),
    /// A line of the module's.
    Note(String),
    /// The final answer went to the client.
    Answered(RequestKey, Ending),
    /// The recorder could not keep up: so many blocks, and events in them, are missing here.
    Dropped {
        /// Blocks.
        blocks: u64,
        /// Events.
        events: u64,
    },
}

impl Event {
    /// It goes into the module; others come out, or only tell.
    pub fn is_input(&self) -> bool {
        matches!(
            self,
            Event::Boot { .. }
                | Event::Tuned { .. }
                | Event::Taken { .. }
                | Event::Ended { .. }
                | Event::Left(_)
                | Event::Counted(..)
                | Event::Table { .. }
                | Event::Tick
                | Event::Retired
        )
    }

    /// It is a verdict of the module.
    pub fn is_verdict(&self) -> bool {
        matches!(
            self,
            Event::Route(_)
                | Event::Short(..)
                | Event::Fail(_)
                | Event::GiveUp(..)
                | Event::Count(..)
                | Event::CloseIdle(_)
                | Event::Note(_)
        )
    }

    /// The request it is about.
    pub fn request(&self) -> Option<RequestKey> {
        match self {
            Event::Taken { request, .. } | Event::Ended { request, .. } => Some(*request),
            Event::Left(request)
            | Event::Short(request, _)
            | Event::Fail(request)
            | Event::GiveUp(request, _)
            | Event::Answered(request, _) => Some(*request),
            Event::Route(task) => Some(task.request),
            _ => None,
        }
    }

    /// The franchisee it names by itself: a request's, or that of a counter's name.
    pub fn franchisee(&self) -> Option<u64> {
        match self {
            Event::Taken { intake, .. } => Some(intake.customer),
            Event::Counted(name, _) | Event::Count(name, ..) => name.split('.').next()?.parse().ok(),
            _ => None,
        }
    }
}

/// What one event's bytes refer back to; begins anew with each block, so that each block can be read alone.
#[derive(Debug, Default)]
pub struct Context {
    time: i64,
    request: RequestKey,
    texts: Vec<String>,
    numbers: HashMap<String, usize>,
}

impl Context {
    fn put_name(&mut self, to: &mut Vec<u8>, text: &str) {
        match self.numbers.get(text) {
            Some(number) => to.whole(*number as u64 + 1),
            None => {
                to.whole(0);
                to.text(text);
                self.numbers.insert(text.to_string(), self.texts.len());
                self.texts.push(text.to_string());
            }
        }
    }

    fn take_name(&mut self, from: &mut Take<'_>) -> Option<String> {
        match from.whole()? {
            0 => {
                let text = from.text()?.to_string();
                if self.texts.len() >= MOST_LINES {
                    return None;
                }
                self.texts.push(text.clone());
                Some(text)
            }
            number => self.texts.get(usize::try_from(number - 1).ok()?).cloned(),
        }
    }

    fn put_request(&mut self, to: &mut Vec<u8>, request: RequestKey) {
        to.signed(request.wrapping_sub(self.request) as i64);
        self.request = request;
    }

    fn take_request(&mut self, from: &mut Take<'_>) -> Option<RequestKey> {
        self.request = self.request.wrapping_add(from.signed()? as u64);
        Some(self.request)
    }

    /// Appends an event at a time in ticks of 1/1024 ms.
    pub fn put(&mut self, to: &mut Vec<u8>, time: i64, event: &Event) {
        to.push(kind(event));
        to.signed(time.wrapping_sub(self.time));
        self.time = time;
        match event {
            Event::Boot { name, seed, strict, settings } => {
                to.text(name);
                to.whole(*seed);
                to.push(u8::from(*strict));
                put_pairs(to, settings);
            }
            Event::Tuned { epoch, settings, from } => {
                to.whole(*epoch);
                to.real(*from);
                put_pairs(to, settings);
            }
            Event::Taken { request, id, key, intake } => {
                self.put_request(to, *request);
                put_id(to, id);
                put_id(to, key);
                self.put_name(to, &intake.class);
                self.put_name(to, &intake.plan);
                to.push(u8::from(intake.never_twice) | u8::from(intake.retry) << 1);
                to.whole(intake.customer);
                to.real(intake.timeout_ms);
                to.real(intake.units);
                to.whole(intake.gateways as u64);
            }
            Event::Ended { request, attempt, region, outcome, settled, latency_ms, closed } => {
                self.put_request(to, *request);
                to.whole(*attempt as u64);
                self.put_name(to, region);
                to.push(outcome_code(*outcome) | u8::from(*closed) << 4);
                to.real(*settled);
                to.real(*latency_ms);
            }
            Event::Left(request) | Event::Fail(request) => self.put_request(to, *request),
            Event::Counted(name, reply) => {
                put_count_name(to, name);
                match reply {
                    CounterReply::Total(total) => {
                        to.push(0);
                        to.real(*total);
                    }
                    CounterReply::Busy => to.push(1),
                    CounterReply::CouldNotConnect => to.push(2),
                    CounterReply::TimedOut => to.push(3),
                    CounterReply::Late(total) => {
                        to.push(4);
                        to.real(*total);
                    }
                    CounterReply::Unresolved => to.push(5),
                }
            }
            Event::Table { table, saved } => {
                to.push(u8::from(*saved) | u8::from(table.all) << 1);
                to.whole(table.rev);
                to.whole(table.regions.len() as u64);
                for entry in &table.regions {
                    self.put_name(to, &entry.uid);
                    self.put_name(to, &entry.endpoint);
                    self.put_name(to, &entry.zone);
                    let state = match entry.state {
                        RegionState::Ready => 0,
                        RegionState::Terminating => 1,
                        RegionState::Gone => 2,
                    };
                    // The nearest say no more than files of before there was anything else.
                    to.push(state | u8::from(entry.distance > 0) << 2 | u8::from(entry.rank != 0.0) << 3);
                    if entry.distance > 0 {
                        to.push(entry.distance);
                    }
                    to.whole(entry.pod_group);
                    to.real(entry.weight);
                    to.real(entry.boot_ms);
                    if entry.rank != 0.0 {
                        to.real(entry.rank);
                    }
                }
            }
            Event::Tick | Event::Retired => {}
            Event::Route(task) => {
                self.put_request(to, task.request);
                to.whole(task.attempt as u64);
                self.put_name(to, &task.region);
                to.real(task.limit_ms);
            }
            Event::Short(request, pause) => {
                self.put_request(to, *request);
                to.real(*pause);
            }
            Event::GiveUp(request, attempt) => {
                self.put_request(to, *request);
                to.whole(*attempt as u64);
            }
            Event::Count(name, amount, life) => {
                put_count_name(to, name);
                to.real(*amount);
                to.real(*life);
            }
            Event::CloseIdle(region) => self.put_name(to, region),
            Event::Note(text) => to.text(text),
            Event::Answered(request, ending) => {
                self.put_request(to, *request);
                match ending {
                    Ending::Served(status) => {
                        to.push(0);
                        to.whole(u64::from(*status));
                    }
                    Ending::ShortOnCapacity(pause) => {
                        to.push(1);
                        to.real(*pause);
                    }
                    Ending::Failed => to.push(2),
                }
            }
            Event::Dropped { blocks, events } => {
                to.whole(*blocks);
                to.whole(*events);
            }
        }
    }

    /// Reads the next event and its time; `None` where the bytes make no sense.
    pub fn take(&mut self, from: &mut Take<'_>) -> Option<(i64, Event)> {
        let kind = from.byte()?;
        self.time = self.time.wrapping_add(from.signed()?);
        let event = match kind {
            1 => {
                let (name, seed, strict) = (from.text()?.to_string(), from.whole()?, flag(from.byte()?)?);
                Event::Boot { name, seed, strict, settings: take_pairs(from)? }
            }
            2 => {
                let (epoch, since) = (from.whole()?, from.real()?);
                Event::Tuned { epoch, from: since, settings: take_pairs(from)? }
            }
            3 => {
                let request = self.take_request(from)?;
                let (id, key) = (take_id(from)?, take_id(from)?);
                let (class, plan) = (self.take_name(from)?, self.take_name(from)?);
                let flags = from.byte().filter(|flags| *flags < 4)?;
                let intake = Intake {
                    class,
                    plan,
                    never_twice: flags & 1 != 0,
                    retry: flags & 2 != 0,
                    customer: from.whole()?,
                    timeout_ms: from.real()?,
                    units: from.real()?,
                    gateways: usize::try_from(from.whole()?).ok()?,
                };
                Event::Taken { request, id, key, intake }
            }
            4 => {
                let request = self.take_request(from)?;
                let attempt = usize::try_from(from.whole()?).ok()?;
                let region = self.take_name(from)?;
                let code = from.byte().filter(|code| *code < 32)?;
                let (outcome, closed) = (outcome_of(code & 15)?, code & 16 != 0);
                let (settled, latency_ms) = (from.real()?, from.real()?);
                Event::Ended { request, attempt, region, outcome, settled, latency_ms, closed }
            }
            5 => Event::Left(self.take_request(from)?),
            6 => {
                let name = take_count_name(from)?;
                let reply = match from.byte()? {
                    0 => CounterReply::Total(from.real()?),
                    1 => CounterReply::Busy,
                    2 => CounterReply::CouldNotConnect,
                    3 => CounterReply::TimedOut,
                    4 => CounterReply::Late(from.real()?),
                    5 => CounterReply::Unresolved,
                    _ => return None,
                };
                Event::Counted(name, reply)
            }
            7 => {
                let flags = from.byte().filter(|flags| *flags < 4)?;
                let (rev, count) = (from.whole()?, from.count()?);
                let mut regions = Vec::new();
                for _ in 0..count.min(MOST_LINES) {
                    let (uid, endpoint, zone) =
                        (self.take_name(from)?, self.take_name(from)?, self.take_name(from)?);
                    let code = from.byte().filter(|code| *code < 16)?;
                    let state = match code & 3 {
                        0 => RegionState::Ready,
                        1 => RegionState::Terminating,
                        2 => RegionState::Gone,
                        _ => return None,
                    };
                    let near = if code & 4 != 0 { from.byte()? } else { 0 };
                    let (pod_group, weight, boot_ms) = (from.whole()?, from.real()?, from.real()?);
                    let order = if code & 8 != 0 { from.real()? } else { 0.0 };
                    regions.push(RegionEntry {
                        uid,
                        endpoint,
                        state,
                        zone,
                        pod_group,
                        weight,
                        boot_ms,
                        distance: near,
                        rank: order,
                    });
                }
                let table = ServiceTable { rev, all: flags & 2 != 0, regions };
                Event::Table { table, saved: flags & 1 != 0 }
            }
            8 => Event::Tick,
            9 => Event::Retired,
            10 => Event::Route(RoutedTask {
                request: self.take_request(from)?,
                attempt: usize::try_from(from.whole()?).ok()?,
                region: self.take_name(from)?,
                limit_ms: from.real()?,
            }),
            11 => Event::Short(self.take_request(from)?, from.real()?),
            12 => Event::Fail(self.take_request(from)?),
            13 => Event::GiveUp(self.take_request(from)?, usize::try_from(from.whole()?).ok()?),
            14 => Event::Count(take_count_name(from)?, from.real()?, from.real()?),
            15 => Event::CloseIdle(self.take_name(from)?),
            16 => Event::Note(from.text()?.to_string()),
            17 => {
                let request = self.take_request(from)?;
                let ending = match from.byte()? {
                    0 => Ending::Served(u16::try_from(from.whole()?).ok()?),
                    1 => Ending::ShortOnCapacity(from.real()?),
                    2 => Ending::Failed,
                    _ => return None,
                };
                Event::Answered(request, ending)
            }
            18 => Event::Dropped { blocks: from.whole()?, events: from.whole()? },
            _ => return None,
        };
        Some((self.time, event))
    }
}

fn kind(event: &Event) -> u8 {
    match event {
        Event::Boot { .. } => 1,
        Event::Tuned { .. } => 2,
        Event::Taken { .. } => 3,
        Event::Ended { .. } => 4,
        Event::Left(_) => 5,
        Event::Counted(..) => 6,
        Event::Table { .. } => 7,
        Event::Tick => 8,
        Event::Retired => 9,
        Event::Route(_) => 10,
        Event::Short(..) => 11,
        Event::Fail(_) => 12,
        Event::GiveUp(..) => 13,
        Event::Count(..) => 14,
        Event::CloseIdle(_) => 15,
        Event::Note(_) => 16,
        Event::Answered(..) => 17,
        Event::Dropped { .. } => 18,
    }
}

fn flag(byte: u8) -> Option<bool> {
    (byte < 2).then_some(byte == 1)
}

/// Number of an outcome, in files and in summaries.
pub(crate) fn outcome_code(outcome: Outcome) -> u8 {
    match outcome {
        Outcome::Served => 0,
        Outcome::Error => 1,
        Outcome::Rejected => 2,
        Outcome::CouldNotConnect => 3,
        Outcome::Reset => 4,
        Outcome::Unreadable => 5,
        Outcome::TimedOut => 6,
        Outcome::Canceled => 7,
        Outcome::NotSent => 8,
    }
}

fn outcome_of(code: u8) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Served,
        1 => Outcome::Error,
        2 => Outcome::Rejected,
        3 => Outcome::CouldNotConnect,
        4 => Outcome::Reset,
        5 => Outcome::Unreadable,
        6 => Outcome::TimedOut,
        7 => Outcome::Canceled,
        8 => Outcome::NotSent,
        _ => return None,
    })
}

fn put_pairs(to: &mut Vec<u8>, pairs: &[(String, String)]) {
    to.whole(pairs.len() as u64);
    for (key, value) in pairs {
        to.text(key);
        to.text(value);
    }
}

fn take_pairs(from: &mut Take<'_>) -> Option<Vec<(String, String)>> {
    let count = from.count()?;
    let mut pairs = Vec::new();
    for _ in 0..count {
        pairs.push((from.text()?.to_string(), from.text()?.to_string()));
    }
    Some(pairs)
}

/// Ids are mostly an even number of lower-case hexadecimal digits: half their length then. The first number is the
/// length times two, the low bit telling which of the two follows.
fn put_id(to: &mut Vec<u8>, id: &str) {
    let digits = id.as_bytes();
    let hex = !id.is_empty()
        && digits.len().is_multiple_of(2)
        && digits.iter().all(|digit| matches!(digit, b'0'..=b'9' | b'a'..=b'f'));
    if !hex {
        to.whole((id.len() as u64) << 1);
        to.extend_from_slice(digits);
        return;
    }
    to.whole((digits.len() as u64 / 2) << 1 | 1);
    let digit = |digit: u8| if digit < b'a' { digit - b'0' } else { digit - b'a' + 10 };
    digits.chunks(2).for_each(|pair| to.push(digit(pair[0]) << 4 | digit(pair[1])));
}

fn take_id(from: &mut Take<'_>) -> Option<String> {
    let length = from.whole()?;
    let bytes = from.bytes(usize::try_from(length >> 1).ok()?)?;
    if length & 1 == 0 {
        return String::from_utf8(bytes.to_vec()).ok();
    }
    let digit = |digit: u8| char::from(b"0123456789abcdef"[digit as usize]);
    Some(bytes.iter().flat_map(|byte| [digit(byte >> 4), digit(byte & 15)]).collect())
}

/// A counter's name is a franchisee and a window; any other stands as a text behind a 0.
fn put_count_name(to: &mut Vec<u8>, name: &str) {
    if let Some((customer, window)) = name.split_once('.') {
        if let (Ok(customer), Ok(window)) = (customer.parse::<u64>(), window.parse::<i64>()) {
            if customer < u64::MAX && format!("{customer}.{window}") == name {
                to.whole(customer + 1);
                return to.signed(window);
            }
        }
    }
    to.whole(0);
    to.text(name);
}

fn take_count_name(from: &mut Take<'_>) -> Option<String> {
    match from.whole()? {
        0 => from.text().map(str::to_string),
        customer => Some(format!("{}.{}", customer - 1, from.signed()?)),
    }
}
