//! Calls of operators and readers to control, each noted with when it was sent and how it ended.

use super::record::{Copy, Evacuation, Order, OrderId, Read, Said};
use super::scene::{self, View};
use crate::tour::Tour;
use crate::wire::{self, Answer, CallError, Request};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

/// An operator goes on after so long without a byte.
const SILENCE: Duration = Duration::from_secs(1);
/// And after so long for one copy with its redirects.
const COPY: Duration = Duration::from_secs(3);

/// What is noted as it happens.
#[derive(Debug)]
pub enum Note {
    /// A change is made up; noted before its first copy is sent.
    Order(Order),
    /// A copy ended.
    Copy(Copy),
    /// A read ended.
    Read(Read),
    /// An order on a zone ended.
    Evacuation(Evacuation),
}

/// Where and since when one caller calls.
#[derive(Debug, Clone)]
pub struct Desk {
    /// Control addresses.
    pub addresses: Vec<String>,
    /// Start of the clock.
    pub start: Instant,
    /// Who notes.
    pub notes: Sender<Note>,
}

impl Desk {
    /// Now, ms.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    fn note(&self, note: Note) {
        // Who plays has left only after the last one.
        let _ = self.notes.send(note);
    }

    /// A change is made up.
    pub fn made_up(&self, order: Order) {
        self.note(Note::Order(order));
    }

    /// Sends a copy of a change; how it ended, and who answered.
    pub fn change(&self, to: &str, order: OrderId, request: &Request) -> (Said, Option<String>) {
        let sent = self.now();
        let answer = self.call(to, request, SILENCE, COPY);
        let said = said(&answer);
        self.note(Note::Copy(Copy { order, sent, ended: self.now(), said }));
        (said, answer.ok().map(|answer| answer.by))
    }

    /// Sends a copy of a change and gives up on its answer after `stay`.
    pub fn change_unheard(&self, to: &str, order: OrderId, request: &Request, stay: Duration) {
        let sent = self.now();
        // Whether it got there is just what its sender doesn't learn.
        let _ = wire::send_and_leave(to, request, SILENCE, stay);
        self.note(Note::Copy(Copy { order, sent, ended: self.now(), said: Said::GivenUp }));
    }

    /// Reads the configuration, waiting so long for a byte.
    pub fn read(&self, to: &str, silence: Duration, last: bool) -> Option<View> {
        let request = Request { method: "GET", path: "/-/config".into(), ..Request::default() };
        let sent = self.now();
        let answer = self.call(to, &request, silence, silence.max(COPY));
        let ended = self.now();
        let no_connection = said(&answer) == Said::NoConnection;
        let seen = answer.ok().filter(|answer| answer.status == 200).and_then(|got| scene::read(&got.body));
        let (seen, view) = seen.map_or((None, None), |(seen, view)| (Some(seen), Some(view)));
        self.note(Note::Read(Read { sent, ended, seen, no_connection, last }));
        view
    }

    /// Orders on a zone.
    pub fn zone(&self, to: &str, method: &'static str, zone: &str) -> Said {
        let request = Request { method, path: format!("/-/evacuations/{zone}"), ..Request::default() };
        let sent = self.now();
        let said = said(&self.call(to, &request, SILENCE, COPY));
        self.note(Note::Evacuation(Evacuation { sent, ended: self.now(), said }));
        said
    }

    fn call(
        &self,
        to: &str,
        request: &Request,
        silence: Duration,
        whole: Duration,
    ) -> Result<Answer, CallError> {
        let tour = Tour { addresses: Vec::new(), silence, deadline: Instant::now() + whole };
        tour.follow(to, request)
    }
}

fn said(answer: &Result<Answer, CallError>) -> Said {
    match answer {
        Ok(answer) => match answer.status {
            200..=299 => Said::Taken,
            409 | 412 => Said::Conflict,
            // A redirect without an end is no answer.
            300..=399 | 408 | 429 | 500.. => Said::Unclear(answer.status),
            _ => Said::Invalid,
        },
        Err(CallError::Connect(..) | CallError::Resolve(..)) => Said::NoConnection,
        Err(_) => Said::Silent,
    }
}
