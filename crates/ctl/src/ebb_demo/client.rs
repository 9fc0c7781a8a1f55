//! Clients: each request on a thread of its own, sent when it is due however the ones before it fare; tried again as
//! clients of the field do.

use super::record::{attempt, End, Try, BOOKING, KINDS, TENANTS};
use super::scene::{key, HOST};
use super::traffic::Due;
use crate::wire::{self, CallError, Request};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Tries of a request.
const MOST_TRIES: u8 = 3;
/// `Retry-After` is honoured up to this part of the time left.
const RETURN_PART: f64 = 1.0 / 3.0;
/// A client goes on to the gateway so many places further: over all gateways, and to none twice.
const STRIDES: [usize; 6] = [1, 2, 4, 5, 7, 8];
/// After a failure without a time to come back, ms.
const PAUSE_MS: f64 = 20.0;
/// A client's thread needs little.
const STACK: usize = 128 << 10;

/// Sends all requests when they are due; returns after the last one is sent. `fronts`: where gateways take clients.
pub fn send_all(
    plan: &[Due],
    fronts: &Arc<[String]>,
    start: Instant,
    notes: &Sender<Try>,
) -> std::io::Result<()> {
    for due in plan {
        std::thread::sleep((start + ms(due.at)).saturating_duration_since(Instant::now()));
        let (due, fronts, notes) = (*due, fronts.clone(), notes.clone());
        std::thread::Builder::new().stack_size(STACK).spawn(move || play(&due, &fronts, start, &notes))?;
    }
    Ok(())
}

fn ms(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1_000.0)
}

/// One request to its end.
fn play(due: &Due, fronts: &[String], start: Instant, notes: &Sender<Try>) {
    let now = || start.elapsed().as_secs_f64() * 1_000.0;
    let over = due.at + due.deadline_ms;
    let gone = due.leaves_ms.map_or(over, |patience| due.at + patience);
    let (mut gateway, mut as_told) = (due.gateway, false);
    for number in 0..MOST_TRIES {
        let sent = now();
        let left = gone - sent;
        if left < 1.0 && number > 0 {
            return;
        }
        let request = request(due, number, over - sent);
        let answer =
            wire::call(&fronts[gateway], &request.path, &request, ms(left.max(1.0)), start + ms(gone));
        let end = match answer {
            Ok(answer) => {
                let after = answer.header("retry-after").and_then(|line| line.parse::<f64>().ok());
                End::Answer(answer.status, after.map(|after| after * 1_000.0))
            }
            Err(CallError::Connect(..) | CallError::Resolve(..)) => End::NoConnection,
            Err(CallError::Silent(_)) if due.leaves_ms.is_some() => End::Left,
            Err(CallError::Silent(_)) => End::Silent,
            Err(_) => End::Broke,
        };
        let ended = now();
        // Who plays the day has left only after the last note.
        let _ = notes.send(Try {
            request: due.request,
            number,
            kind: due.kind,
            tenant: due.tenant,
            gateway,
            leaver: due.leaves_ms.is_some(),
            as_told,
            due: due.at,
            sent,
            ended,
            end,
        });
        let Some(pause) = again(&end, KINDS[due.kind].rank == BOOKING) else { return };
        let most = (over - ended) * RETURN_PART;
        as_told = matches!(end, End::Answer(_, Some(after)) if after <= most);
        std::thread::sleep(ms(pause.min(most).min(gone - ended)));
        gateway = (gateway + STRIDES[due.request as usize % STRIDES.len()]) % fronts.len();
    }
}

/// After how long a client tries again, ms; `None`: it does not.
fn again(end: &End, once: bool) -> Option<f64> {
    match end {
        End::Answer(_, after) if end.declined() => Some(after.unwrap_or(PAUSE_MS)),
        End::NoConnection => Some(PAUSE_MS),
        End::Answer(502 | 504, _) | End::Broke if !once => Some(PAUSE_MS),
        _ => None,
    }
}

fn request(due: &Due, number: u8, left: f64) -> Request {
    let kind = &KINDS[due.kind];
    let once = kind.rank == BOOKING;
    Request {
        method: if once { "POST" } else { "GET" },
        path: format!("/{}/{}", kind.name, due.request),
        headers: vec![
            ("Host", HOST.into()),
            ("X-Attempt-Id", format!("{:016x}", attempt(due.request, number))),
            ("X-Deadline-Remaining", format!("{:.0}", left.max(1.0))),
            ("Authorization", format!("Bearer {}", key(TENANTS[due.tenant]))),
        ],
        body: if once { br#"{"seats":2}"#.to_vec() } else { Vec::new() },
        ..Request::default()
    }
}
