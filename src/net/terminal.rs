//! Terminals: the clients' side. One task a connection, one request at a time.

use crate::core::Answer;
use crate::front::Front;
use crate::net::budget::{Budget, Slot};
use crate::net::http::{HttpError, RegionReply, TerminalCodec, TerminalReply, TerminalRequest};
use crate::net::hub::{Inbox, Input, Parcel};
use crate::net::wheel::Wheel;
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio_util::codec::Framed;

/// A connection without a request is closed after so long, ms.
const IDLE_MS: f64 = 120_000.0;
/// A client that does not take its answer in this time has gone, ms.
const WRITE_MS: f64 = 5_000.0;
/// At a stop, how long a connection is still listened to: with nothing on it, and with half a request, ms.
const LAST_MOMENT_MS: f64 = 100.0;
const PARTIAL_MS: f64 = 2_000.0;
/// Pause of the listener when the system has no descriptor left, ms.
const ACCEPT_PAUSE_MS: f64 = 20.0;

/// How often a connection without a place in the budget tries for one.
const ACCEPT_TRIES: usize = 5;

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

/// What all terminals share.
pub struct Terminals {
    /// Reads requests.
    pub front: Box<dyn Front>,
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
}

/// Accepts connections for as long as it is polled.
pub async fn listen(listener: TcpListener, terminals: Rc<Terminals>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Over the budget the next ones wait in the system's queue while idle connections go; a client
                // that still finds no place is told so, never cut off.
                let mut slot = terminals.budget.terminal();
                for _ in 0..ACCEPT_TRIES {
                    if slot.is_some() {
                        break;
                    }
                    terminals.wheel.sleep(ACCEPT_PAUSE_MS).await;
                    slot = terminals.budget.terminal();
                }
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(serve(stream, slot, terminals.clone()));
            }
            // Out of descriptors, or the client was gone at once: neither may end the listener.
            Err(error) => {
                tracing::warn!(%error, "a connection could not be accepted");
                terminals.budget.squeeze.notify_one();
                terminals.wheel.sleep(ACCEPT_PAUSE_MS).await;
            }
        }
    }
}

/// Counts open connections, whichever way they end.
struct Open<'a>(&'a Cell<usize>);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

type Wire = Framed<TcpStream, TerminalCodec>;
type Read = Option<Result<TerminalRequest, HttpError>>;

async fn serve(stream: TcpStream, slot: Option<Slot>, terminals: Rc<Terminals>) {
    terminals.open.set(terminals.open.get() + 1);
    let _open = Open(&terminals.open);
    let mut wire = Framed::new(stream, TerminalCodec::default());
    let mut phase = terminals.phase.clone();
    let mut stashed: Option<Read> = None;
    loop {
        let read = match stashed.take() {
            Some(read) => read,
            None => tokio::select! {
                biased;
                read = wire.next() => read,
                _ = phase.wait_for(|phase| *phase >= Phase::Closing) => {
                    // A request may be under way on a connection that has just come, or be here in part: it is
                    // owed an answer, so it gets a moment before the connection goes.
                    let moment = if wire.read_buffer().is_empty() { LAST_MOMENT_MS } else { PARTIAL_MS };
                    match terminals.wheel.timeout(moment, wire.next()).await {
                        Some(read) => read,
                        None => return,
                    }
                }
                () = terminals.budget.squeeze.notified() => {
                    if wire.read_buffer().is_empty() {
                        return;
                    }
                    wire.next().await
                }
                () = terminals.wheel.sleep(IDLE_MS) => return,
            },
        };
        let request = match read {
            Some(Ok(request)) => request,
            Some(Err(error)) => return reject(&mut wire, error, &terminals.wheel).await,
            None => return,
        };
        let keep = request.keep_alive && slot.is_some();
        let Some(mut reply) = answer(request, &slot, &mut wire, &mut stashed, &terminals).await else {
            return;
        };
        reply.close |= !keep || *phase.borrow() >= Phase::Draining;
        let close = reply.close;
        match terminals.wheel.timeout(WRITE_MS, wire.send(reply)).await {
            Some(Ok(())) if !close => {}
            _ => return,
        }
    }
}

/// What a request is answered with; `None`: nobody waits for it.
async fn answer(
    request: TerminalRequest,
    slot: &Option<Slot>,
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
    let intake = match terminals.front.take_in(&request) {
        Ok(intake) => intake,
        Err(reply) => return Some(reply),
    };
    if slot.is_none() {
        let reply = TerminalReply::text(503, "too many connections\n");
        return Some(TerminalReply { retry_after: Some(0.1), ..reply });
    }
    let (key, at) = (terminals.inbox.next_key(), terminals.wheel.now());
    let (reply, mut answered) = oneshot::channel();
    terminals.inbox.tell(Input::Arrive(key, at, intake, Parcel { request, reply }));
    loop {
        tokio::select! {
            biased;
            answer = &mut answered => return Some(reply_of(answer.ok())),
            read = wire.next(), if stashed.is_none() => match read {
                None | Some(Err(HttpError::Io(_))) => {
                    terminals.inbox.tell(Input::Left(key));
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

async fn reject(wire: &mut Wire, error: HttpError, wheel: &Wheel) {
    let status = match error {
        HttpError::Io(_) => return,
        HttpError::Malformed(_) => 400,
        HttpError::BodyTooLarge => 413,
        HttpError::HeadTooLarge => 431,
    };
    tracing::debug!(%error, status, "a request was rejected");
    let reply = TerminalReply { close: true, ..TerminalReply::text(status, &format!("{error}\n")) };
    let _ = wheel.timeout(WRITE_MS, wire.send(reply)).await;
    // Closing on unread bytes would reset the connection and could destroy the answer before it is read.
    let mut rest = [0; 4096];
    let stream = wire.get_mut();
    let _ = tokio::io::AsyncWriteExt::shutdown(stream).await;
    let drain = async {
        let mut left: usize = 256 * 1024;
        while let Ok(read @ 1..) = tokio::io::AsyncReadExt::read(stream, &mut rest).await {
            left = left.saturating_sub(read);
            if left == 0 {
                break;
            }
        }
    };
    let _ = wheel.timeout(500.0, drain).await;
}
