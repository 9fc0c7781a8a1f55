//! Terminals: the clients' side. One task a connection, one request at a time.

use crate::figures::{Ending, Figures};
use crate::net::inbox::{Exchange, Inbox, Input, OpenId, OpenIds};
use crate::reception::{request_id, Front};
use crate::tally::Tally;
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use nickeljunction_core::life::Answer;
use nickeljunction_http::{HttpError, RegionReply, TerminalCodec, TerminalReply, TerminalRequest};
use nickeljunction_net::budget::{Budget, Slot};
use nickeljunction_net::link;
use nickeljunction_net::wheel::Wheel;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};
use tokio_util::codec::Framed;

/// A client's first request must be whole so long after its connecting, and any later one so long after its
/// first bytes, ms: who says nothing, or half of something, is told so and goes.
const FIRST_MS: f64 = 2_300.0;
const PARTIAL_MS: f64 = 2_000.0;
/// A connection that has served is closed after so long without a request, ms. Many clients ask once and keep
/// theirs for good: those count among what clients may hold, and none is left to ask with.
const KEPT_MS: f64 = 2_000.0;
/// Part of the budget above which the oldest kept connection goes before that, once it has waited so long, ms.
const KEPT_PART: f64 = 0.15;
const KEPT_LEAST_MS: f64 = 50.0;
/// Once a request's head is whole, its body may stand still so long between two pieces, ms: a client may
/// send a long body slowly, and its time is then counted from its last piece.
const BODY_STILL_MS: f64 = 2_000.0;
/// How often a waiting connection looks for half a request, ms.
const LOOK_MS: f64 = 400.0;
/// A client that does not take its answer in this time has gone, ms.
const WRITE_MS: f64 = 5_000.0;
/// At a stop, how long a connection is still listened to with nothing on it, ms.
const LAST_MOMENT_MS: f64 = 100.0;
/// Pause of the listener when there is no descriptor left, ms.
const ACCEPT_PAUSE_MS: f64 = 20.0;
const PLACE_PAUSE_MS: f64 = 2.0;
/// In a full house, how long a connection must have waited before it may be closed for another, by how
/// little its client loses; a client that means to ask does so at once.
const ORDER: [(Wait, f64); 5] = [
    (Wait::Rejected, 0.0),
    (Wait::Silent, 50.0),
    (Wait::Kept, 2_000.0),
    (Wait::Half, 500.0),
    (Wait::Kept, 100.0),
];
/// Most connections that are asked to go at a time.
const GO_AT_ONCE: usize = 4;
/// What a waiting connection's buffer holds, and most that is read of what was rejected, bytes.
const READ_BYTES: usize = 4 * 1024;
const MOST_REJECTED: usize = 256 * 1024;
/// How long a rejected client has to take its answer, ms.
const REJECTED_MS: f64 = 400.0;

/// What the program is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It stops: each answer ends its connection.
    Draining,
    /// It stops: idle connections are closed.
    Closing,
}

/// What a connection without a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// Its first request, of which nothing has come.
    Silent,
    /// The rest of a request.
    Half,
    /// The next request.
    Kept,
    /// Its client's close, after an answer to nonsense.
    Rejected,
}

/// A connection that waits.
pub struct Waiting {
    wait: Wait,
    since: f64,
    go: Rc<Notify>,
}

/// What all terminals share.
pub struct Terminals {
    /// Reads requests; another may take its place between two turns.
    pub front: RefCell<Rc<dyn Front>>,
    /// Counts answers while a change may have to be judged by them; off without an operators' document.
    pub tally: Option<Rc<Tally>>,
    /// To the core loop.
    pub inbox: Inbox,
    /// Descriptors.
    pub budget: Rc<Budget>,
    /// Timers.
    pub wheel: Wheel,
    /// The program's phase.
    pub phase: watch::Receiver<Phase>,
    /// A service table is known.
    pub listed: Cell<bool>,
    /// Connections open.
    pub open: Cell<usize>,
    /// Ids of the requests that are open.
    pub ids: OpenIds,
    /// Connections without a request, in the order of their coming.
    pub waiting: RefCell<BTreeMap<u64, Waiting>>,
    /// Number of the last connection.
    pub last: Cell<u64>,
    /// What the admin door shows.
    pub figures: Rc<Figures>,
}

impl Terminals {
    /// Asks some of the connections without a request to go, those first whose clients lose least.
    fn make_room(&self) {
        let (mut waiting, now) = (self.waiting.borrow_mut(), self.wheel.now());
        let mut gone = 0;
        for (wait, least) in ORDER {
            let ripe = |(_, other): &(&u64, &Waiting)| other.wait == wait && now - other.since >= least;
            let mut found: Vec<(f64, u64)> =
                waiting.iter().filter(ripe).map(|(number, other)| (other.since, *number)).collect();
            found.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (_, number) in found.into_iter().take(GO_AT_ONCE - gone) {
                gone += 1;
                waiting.remove(&number).into_iter().for_each(|other| other.go.notify_one());
            }
            if gone == GO_AT_ONCE {
                return;
            }
        }
    }

    /// Asks the oldest kept connection to go while there are many.
    fn thin(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let kept = || waiting.iter().filter(|(_, other)| other.wait == Wait::Kept);
        if kept().count() <= self.budget.part(KEPT_PART) {
            return;
        }
        let ripe = kept().filter(|(_, other)| self.wheel.now() - other.since >= KEPT_LEAST_MS);
        let oldest = ripe.min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|(number, _)| *number);
        oldest.and_then(|number| waiting.remove(&number)).into_iter().for_each(|other| other.go.notify_one());
    }

    /// A place in the budget for a client's connection, before it is accepted: those beyond the budget wait
    /// in the system's queue and hold no descriptor.
    async fn place(&self) -> Slot {
        loop {
            if let Some(slot) = self.budget.terminal() {
                return slot;
            }
            self.make_room();
            self.wheel.sleep(PLACE_PAUSE_MS).await;
        }
    }
}

/// Accepts connections for as long as it is polled.
pub async fn listen(listener: TcpListener, terminals: Rc<Terminals>) {
    let mut place = None;
    loop {
        let slot = match place.take() {
            Some(slot) => slot,
            None => terminals.place().await,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = terminals.budget.squeeze.notified() => {
                terminals.make_room();
                place = Some(slot);
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(serve(stream, slot, terminals.clone()));
            }
            // Out of descriptors, or the client was gone at once: neither may end the listener.
            Err(error) => {
                tracing::warn!(%error, "a connection could not be accepted");
                place = Some(slot);
                terminals.make_room();
                terminals.wheel.sleep(ACCEPT_PAUSE_MS).await;
            }
        }
    }
}

/// Counts open connections, whichever way they end, and stands in the list of those that wait.
struct Open<'a> {
    terminals: &'a Terminals,
    number: u64,
    go: Rc<Notify>,
}

impl<'a> Open<'a> {
    fn new(terminals: &'a Terminals) -> Open<'a> {
        terminals.open.set(terminals.open.get() + 1);
        terminals.last.set(terminals.last.get() + 1);
        Open { terminals, number: terminals.last.get(), go: Rc::default() }
    }

    fn waits(&self, wait: Wait, since: f64) {
        let waiting = Waiting { wait, since, go: self.go.clone() };
        self.terminals.waiting.borrow_mut().insert(self.number, waiting);
        if wait == Wait::Kept {
            self.terminals.thin();
        }
    }

    fn busy(&self) {
        self.terminals.waiting.borrow_mut().remove(&self.number);
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.busy();
        self.terminals.open.set(self.terminals.open.get() - 1);
    }
}

type Wire = Framed<TcpStream, TerminalCodec>;
type Read = Option<Result<TerminalRequest, HttpError>>;

/// How the wait for a request ended.
enum Next {
    Read(Read),
    /// Half a request came and no more.
    Half,
    /// Nothing came.
    Nothing,
}

/// Waits for a client's next request, as long as the client may take for it.
async fn next(wire: &mut Wire, open: &Open<'_>, fresh: bool) -> Next {
    let terminals = open.terminals;
    let (began, wheel) = (terminals.wheel.now(), &terminals.wheel);
    let mut phase = terminals.phase.clone();
    let mut due = began + if fresh { FIRST_MS } else { KEPT_MS };
    let (mut half, mut seen) = (false, 0);
    open.waits(if fresh { Wait::Silent } else { Wait::Kept }, began);
    loop {
        if !half && !wire.read_buffer().is_empty() {
            let now = wheel.now();
            half = true;
            due = if fresh { due } else { now + PARTIAL_MS };
            open.waits(Wait::Half, now);
        }
        let ended = |wire: &Wire| if wire.read_buffer().is_empty() { Next::Nothing } else { Next::Half };
        tokio::select! {
            biased;
            read = wire.next() => return Next::Read(read),
            _ = phase.wait_for(|phase| *phase >= Phase::Closing) => {
                // A request may be under way on a connection that has just come, or be here in part: it is
                // owed an answer, so it gets a moment before the connection goes.
                let moment = if wire.read_buffer().is_empty() { LAST_MOMENT_MS } else { PARTIAL_MS };
                return wheel.timeout(moment, wire.next()).await.map_or_else(|| ended(wire), Next::Read);
            }
            // Never on a request that waits unread in the kernel: the next turn reads it.
            () = open.go.notified() => if link::quiet(wire.get_ref()) {
                return ended(wire);
            },
            () = wheel.sleep_until(due.min(wheel.now() + LOOK_MS)) => {
                // A body that still comes in is given more time; a head is not: it is due whole.
                if let Some(held) = wire.codec().body_held() {
                    let progress = held + wire.read_buffer().len();
                    if progress > seen {
                        seen = progress;
                        due = due.max(wheel.now() + BODY_STILL_MS);
                    }
                }
                if wheel.now() >= due && link::quiet(wire.get_ref()) {
                    return ended(wire);
                }
            },
        }
    }
}

async fn serve(stream: TcpStream, _slot: Slot, terminals: Rc<Terminals>) {
    let open = Open::new(&terminals);
    let mut wire = Framed::with_capacity(stream, TerminalCodec::default(), READ_BYTES);
    *wire.write_buffer_mut() = BytesMut::new();
    let mut stashed: Option<Read> = None;
    let mut fresh = true;
    loop {
        let read = match stashed.take() {
            Some(read) => Next::Read(read),
            None => next(&mut wire, &open, fresh).await,
        };
        open.busy();
        let request = match read {
            Next::Read(Some(Ok(request))) => request,
            Next::Read(Some(Err(error))) => return reject(&mut wire, error, &open).await,
            Next::Half => return reject(&mut wire, HttpError::TooSlow, &open).await,
            Next::Read(None) | Next::Nothing => return,
        };
        fresh = false;
        let keep = request.keep_alive;
        let Some(mut reply) = answer(request, &mut wire, &mut stashed, &terminals).await else {
            return;
        };
        reply.close |= !keep || *terminals.phase.borrow() >= Phase::Draining;
        let close = reply.close;
        match terminals.wheel.timeout(WRITE_MS, wire.send(reply)).await {
            Some(Ok(())) if !close => {}
            _ => return,
        }
        // What a large message made the buffers grow to is not kept for a connection that waits.
        link::shrink(wire.read_buffer_mut(), READ_BYTES);
        if wire.write_buffer().capacity() > READ_BYTES {
            *wire.write_buffer_mut() = BytesMut::new();
        }
    }
}

/// What a request is answered with; `None`: nobody waits for it.
async fn answer(
    request: TerminalRequest,
    wire: &mut Wire,
    stashed: &mut Option<Read>,
    terminals: &Terminals,
) -> Option<TerminalReply> {
    tracing::trace!(target = request.target, "request");
    if request.path() == "/health/ready" {
        let ready = terminals.listed.get() && *terminals.phase.borrow() == Phase::Serving;
        let (status, text) = if ready { (200, "ready\n") } else { (503, "not ready\n") };
        return Some(TerminalReply::text(status, text));
    }
    // A front that is replaced meanwhile still finishes the request that it has begun to read.
    let front = terminals.front.borrow().clone();
    let intake = match front.take_in(&request) {
        Ok(intake) => intake,
        Err(reply) => {
            if let Some(tally) = &terminals.tally {
                tally.turned_away(terminals.wheel.now(), request.headers.get("x-contract"));
            }
            return Some(reply);
        }
    };
    let id = match request_id(&request) {
        Ok(id) => OpenId::take(&terminals.ids, id),
        Err(reply) => return Some(reply),
    };
    let Some(id) = id else {
        return Some(TerminalReply::text(409, "a request of this id is open\n"));
    };
    let (key, at) = (terminals.inbox.next_key(), terminals.wheel.now());
    let (reply, mut answered) = oneshot::channel();
    let mark = terminals.tally.as_ref().map(|tally| tally.mark(at, &intake));
    let class = intake.class.clone();
    terminals.figures.began();
    terminals.inbox.tell(Input::Arrive(key, at, intake, Exchange { request, id, reply, mark }));
    loop {
        tokio::select! {
            biased;
            answer = &mut answered => {
                let answer = answer.ok();
                let ending = match &answer {
                    Some(Answer::Served(_)) => Ending::Passed,
                    Some(Answer::ShortOnCapacityReply(_)) => Ending::Dropped,
                    Some(Answer::Failed) | None => Ending::BadGateway,
                };
                terminals.figures.ended(&class, ending);
                return Some(reply_of(answer));
            }
            read = wire.next(), if stashed.is_none() => match read {
                None | Some(Err(HttpError::Io(_))) => {
                    terminals.inbox.tell(Input::Left(key));
                    terminals.figures.left();
                    return None;
                }
                read => *stashed = Some(read),
            },
        }
    }
}

fn reply_of(answer: Option<Answer<RegionReply>>) -> TerminalReply {
    match answer {
        Some(Answer::Served(reply)) => {
            let RegionReply { status, headers, body, .. } = reply;
            TerminalReply { status, retry_after: None, headers, body, close: false }
        }
        Some(Answer::ShortOnCapacityReply(pause_ms)) => {
            let reply = TerminalReply::text(503, "short on capacity\n");
            TerminalReply { retry_after: (pause_ms > 0.0).then_some(pause_ms / 1000.0), ..reply }
        }
        Some(Answer::Failed) | None => TerminalReply::text(502, "failed\n"),
    }
}

async fn reject(wire: &mut Wire, error: HttpError, open: &Open<'_>) {
    let wheel = &open.terminals.wheel;
    let status = match error {
        HttpError::Io(_) => return,
        HttpError::Malformed(_) => 400,
        HttpError::TooSlow => 408,
        HttpError::BodyTooLarge => 413,
        HttpError::HeadTooLarge => 431,
    };
    tracing::debug!(%error, status, "a request was rejected");
    let reply = TerminalReply { close: true, ..TerminalReply::text(status, &format!("{error}\n")) };
    let _ = wheel.timeout(WRITE_MS.min(REJECTED_MS), wire.send(reply)).await;
    open.waits(Wait::Rejected, wheel.now());
    // Closing on unread bytes would reset the connection and could destroy the answer before it is read.
    let mut rest = [0; 4096];
    let stream = wire.get_mut();
    let _ = tokio::io::AsyncWriteExt::shutdown(stream).await;
    let drain = async {
        let mut left: usize = MOST_REJECTED;
        while let Ok(read @ 1..) = tokio::io::AsyncReadExt::read(stream, &mut rest).await {
            left = left.saturating_sub(read);
            if left == 0 {
                break;
            }
        }
    };
    tokio::select! {
        () = drain => {}
        () = open.go.notified() => {}
        () = wheel.sleep(REJECTED_MS) => {}
    }
}
