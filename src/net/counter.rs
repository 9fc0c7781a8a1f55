//! The counter: pipelined calls in RESP2 over a few connections.

use crate::facade::CounterReply;
use crate::net::wheel::Wheel;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio_util::codec::{Decoder, Framed};

/// Connections of a gateway; a name always takes the same one, so that its answers keep their order.
const LINKS: usize = 2;
/// A connection is pinged after so long without a call: the counter closes idle ones, ms.
const PING_MS: f64 = 3_000.0;
/// A connection that has owed an answer for so long is given up, ms.
const STUCK_MS: f64 = 2_500.0;
/// First and longest wait between connects, ms.
const BACKOFF_MS: f64 = 50.0;
const BACKOFF_MOST_MS: f64 = 800.0;
/// Longest line or bulk of an answer, bytes.
const MOST_ANSWER: usize = 4_096;

/// One answer of the counter.
#[derive(Debug, Clone, PartialEq)]
pub enum CounterAnswer {
    /// A bulk string.
    Bulk(Bytes),
    /// `+...`, `:...`, or a nil bulk.
    Plain(Bytes),
    /// `-...`.
    Error(Bytes),
}

/// Reads RESP2 answers.
#[derive(Debug, Default)]
pub struct CounterCodec;

impl Decoder for CounterCodec {
    type Item = CounterAnswer;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<CounterAnswer>> {
        let broken = |what: &str| Err(io::Error::new(io::ErrorKind::InvalidData, what.to_string()));
        let Some(end) = from.windows(2).position(|pair| pair == b"\r\n") else {
            return if from.len() > MOST_ANSWER { broken("line too long") } else { Ok(None) };
        };
        let line = &from[..end];
        match line.first() {
            Some(b'$') => {
                let Some(length) =
                    std::str::from_utf8(&line[1..]).ok().and_then(|text| text.parse::<i64>().ok())
                else {
                    return broken("bulk length");
                };
                if length < 0 {
                    let _ = from.split_to(end + 2);
                    return Ok(Some(CounterAnswer::Plain(Bytes::new())));
                }
                let length = length as usize;
                if length > MOST_ANSWER {
                    return broken("bulk too long");
                }
                if from.len() < end + 2 + length + 2 {
                    return Ok(None);
                }
                let _ = from.split_to(end + 2);
                let bulk = from.split_to(length).freeze();
                if &from.split_to(2)[..] != b"\r\n" {
                    return broken("bulk end");
                }
                Ok(Some(CounterAnswer::Bulk(bulk)))
            }
            Some(kind @ (b'+' | b':' | b'-')) => {
                let kind = *kind;
                let mut text = from.split_to(end + 2);
                text.truncate(end);
                let text = text.freeze().slice(1..);
                Ok(Some(if kind == b'-' { CounterAnswer::Error(text) } else { CounterAnswer::Plain(text) }))
            }
            _ => broken("unknown answer type"),
        }
    }
}

/// A call: what to add under which name, and how long a new name lives.
#[derive(Debug)]
struct Call {
    name: String,
    amount: f64,
    life_ms: f64,
    made: f64,
}

fn write_part(part: &str, to: &mut BytesMut) {
    to.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
    to.extend_from_slice(part.as_bytes());
    to.extend_from_slice(b"\r\n");
}

fn write_call(call: &Call, to: &mut BytesMut) {
    to.extend_from_slice(b"*4\r\n");
    for part in ["INCRTTL", &call.name, &call.amount.to_string(), &format!("{:.0}", call.life_ms.max(1.0))] {
        write_part(part, to);
    }
}

/// The counter as the core loop uses it.
pub struct Counter {
    links: Vec<UnboundedSender<Call>>,
    wheel: Wheel,
}

/// Takes the answer to a call on a name.
pub type OnCounted = Rc<dyn Fn(String, CounterReply)>;

impl Counter {
    /// Starts the connections as tasks of the present `LocalSet`.
    pub fn start(address: SocketAddr, timeout_ms: f64, wheel: Wheel, done: OnCounted) -> Counter {
        let links = (0..LINKS).map(|_| {
            let (to, calls) = unbounded_channel();
            let link = Link { address, timeout_ms, wheel: wheel.clone(), done: done.clone(), calls };
            tokio::task::spawn_local(link.run());
            to
        });
        Counter { links: links.collect(), wheel }
    }

    /// Makes a call; it is answered once, after the time-out at the latest.
    pub fn call(&self, name: String, amount: f64, life_ms: f64) {
        let mut hash = DefaultHasher::new();
        name.hash(&mut hash);
        let link = &self.links[(hash.finish() % self.links.len() as u64) as usize];
        // The other side ends only with the program.
        let _ = link.send(Call { name, amount, life_ms, made: self.wheel.now() });
    }
}

/// A call that is written and not answered by the counter; `name` is gone once it was given up here.
struct Pending {
    name: Option<String>,
    made: f64,
}

struct Link {
    address: SocketAddr,
    timeout_ms: f64,
    wheel: Wheel,
    done: OnCounted,
    calls: UnboundedReceiver<Call>,
}

impl Link {
    async fn run(mut self) {
        let mut backoff = BACKOFF_MS;
        loop {
            let connect = TcpStream::connect(self.address);
            match self.wheel.timeout(self.timeout_ms, connect).await {
                Some(Ok(stream)) => {
                    let began = self.wheel.now();
                    let _ = stream.set_nodelay(true);
                    if self.session(Framed::new(stream, CounterCodec)).await.is_none() {
                        return;
                    }
                    if self.wheel.now() - began > BACKOFF_MOST_MS {
                        backoff = BACKOFF_MS;
                    }
                }
                Some(Err(error)) => tracing::debug!(%error, "no connection to the counter"),
                None => tracing::debug!("no connection to the counter in time"),
            }
            let pause = self.wheel.sleep(backoff);
            backoff = (backoff * 2.0).min(BACKOFF_MOST_MS);
            tokio::pin!(pause);
            // What waits now was never written: nothing was added.
            loop {
                tokio::select! {
                    () = &mut pause => break,
                    call = self.calls.recv() => match call {
                        Some(call) => (self.done)(call.name, CounterReply::CouldNotConnect),
                        None => return,
                    },
                }
            }
        }
    }

    /// Works one connection until it breaks; `None` when the program lets go of the counter.
    async fn session(&mut self, mut framed: Framed<TcpStream, CounterCodec>) -> Option<()> {
        let mut pending: VecDeque<Pending> = VecDeque::new();
        let mut lines = BytesMut::new();
        let mut used = self.wheel.now();
        loop {
            let now = self.wheel.now();
            // Answers come in order, so a call given up keeps its place: its late answer must not pass for
            // that of the next.
            for call in pending.iter_mut().filter(|call| now - call.made >= self.timeout_ms) {
                call.name.take().into_iter().for_each(|name| (self.done)(name, CounterReply::TimedOut));
            }
            if pending.front().is_some_and(|call| now - call.made > STUCK_MS) {
                tracing::info!("the counter has answered nothing for long: connecting anew");
                return self.broken(pending);
            }
            let waiting = pending.iter().find(|call| call.name.is_some());
            let next = match (waiting, pending.front()) {
                (Some(call), _) => call.made + self.timeout_ms,
                (None, Some(call)) => call.made + STUCK_MS + 1.0,
                (None, None) => used + PING_MS,
            };
            lines.clear();
            tokio::select! {
                biased;
                answer = framed.next() => match answer {
                    Some(Ok(answer)) => self.answered(answer, &mut pending),
                    Some(Err(error)) => {
                        tracing::warn!(%error, "the counter's answer can't be read");
                        return self.broken(pending);
                    }
                    None => return self.broken(pending),
                },
                call = self.calls.recv() => {
                    let call = call?;
                    write_call(&call, &mut lines);
                    pending.push_back(Pending { name: Some(call.name), made: call.made });
                    while let Ok(call) = self.calls.try_recv() {
                        write_call(&call, &mut lines);
                        pending.push_back(Pending { name: Some(call.name), made: call.made });
                    }
                }
                () = self.wheel.sleep_until(next) => if pending.is_empty() {
                    lines.extend_from_slice(b"*1\r\n$4\r\nPING\r\n");
                    pending.push_back(Pending { name: None, made: self.wheel.now() });
                },
            }
            if !lines.is_empty() {
                used = self.wheel.now();
                let written = self.wheel.timeout(self.timeout_ms, framed.get_mut().write_all(&lines)).await;
                if !matches!(written, Some(Ok(()))) {
                    return self.broken(pending);
                }
            }
        }
    }

    fn answered(&self, answer: CounterAnswer, pending: &mut VecDeque<Pending>) {
        let Some(call) = pending.pop_front() else {
            return tracing::warn!("the counter answered a call that was not made");
        };
        let Some(name) = call.name else { return };
        let total = |text: &Bytes| std::str::from_utf8(text).ok()?.trim().parse::<f64>().ok();
        let reply = match &answer {
            CounterAnswer::Bulk(text) => match total(text).filter(|total| total.is_finite()) {
                Some(total) => CounterReply::Total(total),
                None => {
                    tracing::warn!(?answer, "the counter's total is no number");
                    CounterReply::TimedOut
                }
            },
            CounterAnswer::Error(text) if text.starts_with(b"BUSY") => CounterReply::Busy,
            CounterAnswer::Error(text) => {
                tracing::warn!(?text, "the counter rejects a call");
                CounterReply::Busy
            }
            CounterAnswer::Plain(_) => {
                tracing::warn!(?answer, "the counter's answer is no total");
                CounterReply::TimedOut
            }
        };
        (self.done)(name, reply);
    }

    /// What was written may have been added.
    fn broken(&self, pending: VecDeque<Pending>) -> Option<()> {
        for name in pending.into_iter().filter_map(|call| call.name) {
            (self.done)(name, CounterReply::TimedOut);
        }
        Some(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::Clock;
    use std::cell::RefCell;
    use std::io::{Read, Write};

    /// A late answer keeps its place in the order: it must never pass for the answer to the next call.
    #[test]
    fn a_late_answer_is_not_taken_for_that_of_the_next_call() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                std::thread::spawn(move || {
                    let (mut seen, mut part) = (String::new(), [0; 1024]);
                    while let Ok(read @ 1..) = stream.read(&mut part) {
                        seen.push_str(&String::from_utf8_lossy(&part[..read]));
                        // Says nothing until three calls are there, then answers all.
                        if seen.matches("INCRTTL").count() == 3 {
                            let _ = stream.write_all(b"$1\r\n5\r\n-BUSY\r\n$1\r\n7\r\n");
                            seen.clear();
                        }
                    }
                });
            }
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let wheel = Wheel::new(Clock::start());
            tokio::task::spawn_local(wheel.clone().run());
            let replies: Rc<RefCell<Vec<(String, CounterReply)>>> = Rc::default();
            let told = replies.clone();
            let counter = Counter::start(
                address,
                300.0,
                wheel.clone(),
                Rc::new(move |name, reply| told.borrow_mut().push((name, reply))),
            );
            let answered = async |wanted: usize| {
                while replies.borrow().len() < wanted {
                    wheel.sleep(5.0).await;
                }
            };
            // Both names on one connection, which a pair of equal names is for sure.
            counter.call("late.next".into(), 1.0, 1_000.0);
            answered(1).await;
            assert_eq!(replies.borrow()[0].1, CounterReply::TimedOut);
            counter.call("late.next".into(), 2.0, 1_000.0);
            counter.call("late.next".into(), 3.0, 1_000.0);
            answered(3).await;
            let later: Vec<CounterReply> = replies.borrow()[1..].iter().map(|(_, reply)| *reply).collect();
            assert_eq!(later, [CounterReply::Busy, CounterReply::Total(7.0)]);
        });
    }

    #[test]
    fn answers_are_read_whole_and_nonsense_is_an_error() {
        let read = |text: &str| CounterCodec.decode(&mut BytesMut::from(text));
        assert!(matches!(read("$3\r\n1."), Ok(None)));
        assert_eq!(read("$3\r\n1.5\r\n").ok().flatten(), Some(CounterAnswer::Bulk("1.5".into())));
        assert_eq!(read("-BUSY\r\n").ok().flatten(), Some(CounterAnswer::Error("BUSY".into())));
        for text in ["$x\r\n", "?\r\n", "$3\r\nabcXX", "\r\n"] {
            assert!(read(text).is_err(), "{text:?}");
        }
    }
}
