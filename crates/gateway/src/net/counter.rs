//! The counter: pipelined calls in RESP2 over a few connections.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use nickeljunction_core::facade::CounterReply;
use nickeljunction_net::wheel::Wheel;
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::Future;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio_util::codec::{Decoder, Framed};

/// Connections of a gateway; a name always takes the same one, so that its answers keep their order.
const LINKS: usize = 2;
/// A connection is pinged after so long without a call: the counter closes idle ones, ms.
const PING_MS: f64 = 3_000.0;
/// A connection that has owed an answer for so many time-outs, or the rest of one for so many, is given up: it
/// may have fallen silent by itself, and a new one costs less than a name that is asked in vain.
const STUCK_TIMEOUTS: f64 = 8.0;
const HALF_TIMEOUTS: f64 = 3.0;
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
#[derive(Clone)]
pub struct Counter {
    links: Vec<UnboundedSender<Call>>,
    wheel: Wheel,
}

/// Takes the answer to a call on a name.
pub type OnCounted = Rc<dyn Fn(String, CounterReply)>;

impl Counter {
    /// Starts the connections as tasks of the present `LocalSet`. `timeout_ms`: a call without an answer by then
    /// counts as timed out; read anew for each call.
    pub fn start(
        addresses: watch::Receiver<Option<SocketAddr>>,
        timeout_ms: Rc<Cell<f64>>,
        wheel: Wheel,
        done: OnCounted,
    ) -> Counter {
        let links = (0..LINKS).map(|_| {
            let (to, calls) = unbounded_channel();
            let link = Link {
                addresses: addresses.clone(),
                timeout_ms: timeout_ms.clone(),
                wheel: wheel.clone(),
                done: done.clone(),
                calls,
            };
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

/// A call that is written and not answered by the counter; a ping has no name.
struct Pending {
    name: Option<String>,
    made: f64,
    /// It has been told as timed out; its answer is told as a late one.
    late: bool,
}

/// A connection to the counter with what it owes.
struct Session {
    framed: Framed<TcpStream, CounterCodec>,
    pending: VecDeque<Pending>,
    /// It has brought a good answer.
    proven: bool,
    timeout_ms: Rc<Cell<f64>>,
    wheel: Wheel,
    done: OnCounted,
}

impl Session {
    /// Waits for the next answer or time limit; `None` once the connection is of no more use.
    async fn step(&mut self) -> Option<()> {
        let (now, timeout_ms) = (self.wheel.now(), self.timeout_ms.get());
        // Answers come in order, so a call given up keeps its place: its late answer must not pass for
        // that of the next.
        for call in self.pending.iter_mut().filter(|call| !call.late && now - call.made >= timeout_ms) {
            call.late = true;
            call.name.iter().for_each(|name| (self.done)(name.clone(), CounterReply::TimedOut));
        }
        if let Some(call) = self.pending.front().filter(|call| now - call.made >= timeout_ms) {
            // Half an answer that stays half is a spoilt one: nothing behind it can be read either.
            let half = !self.framed.read_buffer().is_empty();
            if now - call.made > timeout_ms * if half { HALF_TIMEOUTS } else { STUCK_TIMEOUTS } {
                tracing::info!("the counter owes an answer for long: connecting anew");
                return None;
            }
        }
        let waiting = self.pending.iter().find(|call| call.name.is_some() && !call.late);
        let next = match (waiting, self.pending.front()) {
            (Some(call), _) => call.made + timeout_ms,
            (None, Some(call)) => (call.made + timeout_ms * STUCK_TIMEOUTS).min(now + timeout_ms) + 1.0,
            (None, None) => f64::MAX,
        };
        let answer = if next < f64::MAX {
            tokio::select! {
                biased;
                answer = self.framed.next() => answer,
                () = self.wheel.sleep_until(next) => return Some(()),
            }
        } else {
            self.framed.next().await
        };
        match answer {
            Some(Ok(answer)) => self.answered(answer),
            Some(Err(error)) => {
                tracing::info!(%error, "the counter's answer can't be read: connecting anew");
                None
            }
            None => None,
        }
    }

    /// Books an answer; `None` if it is spoilt, for then the connection is of no further use.
    fn answered(&mut self, answer: CounterAnswer) -> Option<()> {
        let total = |text: &Bytes| std::str::from_utf8(text).ok()?.trim().parse::<f64>().ok();
        let reply = match &answer {
            CounterAnswer::Bulk(text) | CounterAnswer::Plain(text) => {
                total(text).filter(|total| total.is_finite()).map(CounterReply::Total)
            }
            CounterAnswer::Error(text) if text.starts_with(b"BUSY") => Some(CounterReply::Busy),
            CounterAnswer::Error(text) if text.starts_with(b"ERR") => {
                tracing::warn!(?text, "the counter rejects a call");
                Some(CounterReply::Busy)
            }
            CounterAnswer::Error(_) => None,
        };
        let Some(call) = self.pending.front_mut() else {
            tracing::info!("the counter answered a call that was not made: connecting anew");
            return None;
        };
        let pong = call.name.is_none() && answer == CounterAnswer::Plain(Bytes::from_static(b"PONG"));
        if reply.is_none() && !pong {
            // The call stays pending, and ends with the connection: it was added.
            tracing::debug!(?answer, "the counter's answer is no total");
            return None;
        }
        let (name, late) = (call.name.take(), call.late);
        self.pending.pop_front();
        self.proven = true;
        for (name, reply) in name.into_iter().zip(reply) {
            let reply = match reply {
                CounterReply::Total(total) if late => CounterReply::Late(total),
                _ if late => CounterReply::Unresolved,
                reply => reply,
            };
            (self.done)(name, reply);
        }
        Some(())
    }

    async fn write(&mut self, lines: &[u8]) -> Option<()> {
        let written = self.wheel.timeout(self.timeout_ms.get(), self.framed.get_mut().write_all(lines)).await;
        matches!(written, Some(Ok(()))).then_some(())
    }

    /// Waits for what the connection still owes and closes it.
    async fn finish(mut self) {
        while !self.pending.is_empty() && self.step().await.is_some() {}
    }
}

/// What was written and not answered may have been added, however the connection ends.
impl Drop for Session {
    fn drop(&mut self) {
        for call in self.pending.drain(..) {
            let Some(name) = call.name else { continue };
            if !call.late {
                (self.done)(name.clone(), CounterReply::TimedOut);
            }
            (self.done)(name, CounterReply::Unresolved);
        }
    }
}

struct Link {
    addresses: watch::Receiver<Option<SocketAddr>>,
    timeout_ms: Rc<Cell<f64>>,
    wheel: Wheel,
    done: OnCounted,
    calls: UnboundedReceiver<Call>,
}

/// How a session ended.
enum End {
    /// Its connection is of no more use; it had been of some or not.
    Broken(bool),
    /// The counter is elsewhere now, and connected.
    Moved(TcpStream),
    /// The program lets go of the counter.
    Released,
}

/// Connects, to nothing where there is no address.
async fn connect(address: Option<SocketAddr>, timeout_ms: f64, wheel: &Wheel) -> Option<TcpStream> {
    match wheel.timeout(timeout_ms, TcpStream::connect(address?)).await {
        Some(Ok(stream)) => {
            let _ = stream.set_nodelay(true);
            return Some(stream);
        }
        Some(Err(error)) => tracing::debug!(%error, "no connection to the counter"),
        None => tracing::debug!("no connection to the counter in time"),
    }
    None
}

impl Link {
    async fn run(mut self) {
        let (mut backoff, mut moved) = (BACKOFF_MS, None);
        loop {
            let address = *self.addresses.borrow_and_update();
            let stream = match moved.take() {
                Some(stream) => Some(stream),
                None => connect(address, self.timeout_ms.get(), &self.wheel).await,
            };
            if let Some(stream) = stream {
                match self.session(stream).await {
                    End::Released => return,
                    End::Moved(stream) => {
                        (moved, backoff) = (Some(stream), BACKOFF_MS);
                        continue;
                    }
                    // One that worked is replaced at once: calls refused meanwhile would pass for an outage.
                    End::Broken(true) => {
                        backoff = BACKOFF_MS;
                        continue;
                    }
                    End::Broken(false) => {}
                }
            }
            let pause = self.wheel.sleep(backoff);
            backoff = (backoff * 2.0).min(BACKOFF_MOST_MS);
            tokio::pin!(pause);
            // What waits now was never written: nothing was added.
            loop {
                tokio::select! {
                    () = &mut pause => break,
                    Ok(()) = self.addresses.changed() => {
                        backoff = BACKOFF_MS;
                        break;
                    }
                    call = self.calls.recv() => match call {
                        Some(call) => (self.done)(call.name, CounterReply::CouldNotConnect),
                        None => return,
                    },
                }
            }
        }
    }

    /// Works one connection until it breaks or the counter has moved. The old connection serves until the
    /// new one is up, and then waits for what it owes: each call is written once, to one of the two.
    async fn session(&mut self, stream: TcpStream) -> End {
        let framed = Framed::new(stream, CounterCodec);
        let (pending, wheel) = (VecDeque::new(), self.wheel.clone());
        let (timeout_ms, done) = (self.timeout_ms.clone(), self.done.clone());
        let mut session = Session { framed, pending, proven: false, timeout_ms, wheel, done };
        let (mut lines, mut used) = (BytesMut::new(), self.wheel.now());
        let mut next: Option<Pin<Box<dyn Future<Output = Option<TcpStream>>>>> = None;
        loop {
            lines.clear();
            let ping = if session.pending.is_empty() { used + PING_MS } else { f64::MAX };
            tokio::select! {
                biased;
                alive = session.step() => if alive.is_none() {
                    return End::Broken(session.proven);
                },
                Ok(()) = self.addresses.changed() => {
                    let address = *self.addresses.borrow_and_update();
                    next = Some(Box::pin(reach(address, self.timeout_ms.get(), self.wheel.clone())));
                }
                stream = async { next.as_mut().expect("asked for below").await }, if next.is_some() => {
                    tokio::task::spawn_local(session.finish());
                    return stream.map_or(End::Broken(true), End::Moved);
                }
                call = self.calls.recv() => {
                    let Some(call) = call else { return End::Released };
                    write_call(&call, &mut lines);
                    session.pending.push_back(Pending { name: Some(call.name), made: call.made, late: false });
                    while let Ok(call) = self.calls.try_recv() {
                        write_call(&call, &mut lines);
                        session.pending.push_back(Pending { name: Some(call.name), made: call.made, late: false });
                    }
                }
                () = self.wheel.sleep_until(ping), if ping < f64::MAX => {
                    lines.extend_from_slice(b"*1\r\n$4\r\nPING\r\n");
                    session.pending.push_back(Pending { name: None, made: self.wheel.now(), late: false });
                },
            }
            if !lines.is_empty() {
                used = self.wheel.now();
                if session.write(&lines).await.is_none() {
                    return End::Broken(session.proven);
                }
            }
        }
    }
}

/// Connects to where the counter has moved, however often it takes; `None`: there is no counter any more.
async fn reach(address: Option<SocketAddr>, timeout_ms: f64, wheel: Wheel) -> Option<TcpStream> {
    let address = address?;
    loop {
        if let Some(stream) = connect(Some(address), timeout_ms, &wheel).await {
            return Some(stream);
        }
        wheel.sleep(BACKOFF_MS).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickeljunction_net::clock::Clock;
    use std::cell::RefCell;
    use std::io::{Read, Write};
    use std::net::TcpStream;

    /// A counter on a port of its own, with a thread for each connection.
    fn serve(connection: impl Fn(TcpStream) + Copy + Send + 'static) -> SocketAddr {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                std::thread::spawn(move || connection(stream));
            }
        });
        address
    }

    /// Runs a test beside a wheel.
    fn with_wheel(test: impl AsyncFnOnce(Wheel)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let wheel = Wheel::new(Clock::start());
            tokio::task::spawn_local(wheel.clone().run());
            test(wheel).await;
        });
    }

    /// A late answer keeps its place in the order: it must never pass for the answer to the next call.
    #[test]
    fn a_late_answer_is_not_taken_for_that_of_the_next_call() {
        let address = serve(|mut stream| {
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
        with_wheel(async |wheel| {
            let replies: Rc<RefCell<Vec<(String, CounterReply)>>> = Rc::default();
            let told = replies.clone();
            let (_moves, addresses) = watch::channel(Some(address));
            let counter = Counter::start(
                addresses,
                Rc::new(Cell::new(300.0)),
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
            answered(4).await;
            let later: Vec<CounterReply> = replies.borrow()[1..].iter().map(|(_, reply)| *reply).collect();
            assert_eq!(later, [CounterReply::Late(5.0), CounterReply::Busy, CounterReply::Total(7.0)]);
        });
    }

    /// A spoilt answer ends its connection: what it owed may have been added, and the next call is made at
    /// once on a new one. A total counts in whatever form it comes.
    #[test]
    fn a_spoilt_answer_ends_its_connection_and_any_total_is_true() {
        let address = serve(|mut stream| {
            let (mut answers, mut part) = ([":5\r\n", "+oops\r\n$1\r\n6\r\n"].into_iter(), [0; 1024]);
            while let Ok(1..) = stream.read(&mut part) {
                let _ = stream.write_all(answers.next().unwrap_or_default().as_bytes());
            }
        });
        with_wheel(async |wheel| {
            let replies: Rc<RefCell<Vec<CounterReply>>> = Rc::default();
            let (told, (_moves, addresses)) = (replies.clone(), watch::channel(Some(address)));
            let done = Rc::new(move |_, reply| told.borrow_mut().push(reply));
            let counter = Counter::start(addresses, Rc::new(Cell::new(5_000.0)), wheel.clone(), done);
            for at in 0..3 {
                counter.call("name".into(), 1.0, 1_000.0);
                while replies.borrow().iter().filter(|reply| **reply != CounterReply::Unresolved).count()
                    <= at
                {
                    wheel.sleep(5.0).await;
                }
            }
            use CounterReply::{TimedOut, Total, Unresolved};
            assert_eq!(replies.borrow()[..], [Total(5.0), TimedOut, Unresolved, Total(5.0)]);
        });
    }

    /// A connection that falls silent by itself is replaced after a few time-outs: each call on it is lost, and
    /// with it the units it may have added.
    #[test]
    fn a_connection_that_fell_silent_is_replaced() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        std::thread::spawn(move || {
            // All names take one of the links: the first connection of each stays silent.
            let mut silent = Vec::new();
            for mut stream in listener.incoming().flatten() {
                if silent.len() < LINKS {
                    silent.push(stream);
                    continue;
                }
                std::thread::spawn(move || {
                    let mut part = [0; 1024];
                    while let Ok(1..) = stream.read(&mut part) {
                        let _ = stream.write_all(b"$1\r\n5\r\n");
                    }
                });
            }
        });
        with_wheel(async |wheel| {
            let replies: Rc<RefCell<Vec<CounterReply>>> = Rc::default();
            let (told, (_moves, addresses)) = (replies.clone(), watch::channel(Some(address)));
            let done = Rc::new(move |_, reply| {
                if reply != CounterReply::Unresolved {
                    told.borrow_mut().push(reply);
                }
            });
            let counter = Counter::start(addresses, Rc::new(Cell::new(100.0)), wheel.clone(), done);
            let mut calls = 0;
            while replies.borrow().last() != Some(&CounterReply::Total(5.0)) {
                calls += 1;
                assert!(calls <= 16, "{:?}", replies.borrow());
                counter.call("name".into(), 1.0, 1_000.0);
                while replies.borrow().len() < calls {
                    wheel.sleep(5.0).await;
                }
                if replies.borrow().last() == Some(&CounterReply::CouldNotConnect) {
                    calls -= 1;
                    replies.borrow_mut().pop();
                    wheel.sleep(20.0).await;
                }
            }
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
