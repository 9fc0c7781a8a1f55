//! Looks at the gateways' views of the fleet, and figures taken from them.

use super::report::Look;
use crate::checks::Span;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Between two looks at a gateway's view, ms.
const LOOK_MS: u64 = 250;

/// Datagrams a second of a gateway, on average and of the busiest over any ten seconds of a life.
pub(super) fn rates(looks: &[Look]) -> (f64, f64) {
    let mut by_gateway: BTreeMap<usize, Vec<&Look>> = BTreeMap::new();
    looks.iter().for_each(|look| by_gateway.entry(look.gateway).or_default().push(look));
    let (mut sent, mut time, mut most) = (0.0, 0.0, 0.0f64);
    for looks in by_gateway.values() {
        for pair in looks.windows(2).filter(|pair| pair[1].sent >= pair[0].sent) {
            sent += (pair[1].sent - pair[0].sent) as f64;
            time += (pair[1].at - pair[0].at) / 1_000.0;
        }
        for (index, first) in looks.iter().enumerate() {
            let last = looks[index..].iter().find(|last| last.at >= first.at + 10_000.0);
            if let Some(last) = last.filter(|last| last.sent >= first.sent) {
                most = most.max((last.sent - first.sent) as f64 / (last.at - first.at) * 1_000.0);
            }
        }
    }
    (sent / time.max(1e-9), most)
}

/// From when on the last looks at all that live were the same, and told the number that really live.
pub(super) fn settled(looks: &[Look], living: &[usize], quiet: f64) -> Option<f64> {
    let last: Vec<&Look> = living
        .iter()
        .map(|at| looks.iter().rev().find(|look| look.gateway == *at && !look.yielded))
        .collect::<Option<_>>()?;
    let digest = &last.first()?.digest;
    let fine = |look: &Look| look.digest == *digest && look.likely as usize == living.len();
    if !last.iter().all(|look| fine(look)) {
        return None;
    }
    let wrong = looks.iter().filter(|look| living.contains(&look.gateway) && !fine(look));
    // Seen to be settled with the look after the last wrong one.
    let last = wrong.map(|look| look.at).filter(|at| *at > quiet).fold(f64::NEG_INFINITY, f64::max);
    Some((last + LOOK_MS as f64 - quiet).max(0.0))
}

/// Most that the parts of all gateways added up to, each as of its latest look, while it was up.
pub(super) fn parts(looks: &[Look], spans: &[Span]) -> f64 {
    let mut latest: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    let mut most = 0.0f64;
    for look in looks {
        latest.insert(look.gateway, (look.at, look.part));
        let down = |gateway: usize, at: f64| {
            let own = |span: &&Span| span.gateway == gateway && span.region.is_none();
            spans.iter().filter(own).any(|span| span.from <= at && at <= span.to)
        };
        let sum = latest
            .iter()
            .filter(|(gateway, (at, _))| *at > look.at - 3.0 * LOOK_MS as f64 && !down(**gateway, look.at))
            .map(|(_, (_, part))| part)
            .sum();
        most = most.max(sum);
    }
    most
}

pub(super) fn look(
    doors: &Mutex<Vec<Option<SocketAddr>>>,
    looks: &Mutex<Vec<Look>>,
    over: &AtomicBool,
    began: Instant,
) {
    while !over.load(Ordering::Relaxed) {
        let round = Instant::now();
        let now = doors.lock().expect("doors").clone();
        let asked: Vec<_> = now
            .into_iter()
            .enumerate()
            .filter_map(|(gateway, door)| Some((gateway, door?)))
            .map(|(gateway, door)| {
                std::thread::spawn(move || {
                    let status = status(door)?;
                    let whole = |key: &str| status[key].as_u64().unwrap_or(0);
                    Some(Look {
                        at: began.elapsed().as_secs_f64() * 1_000.0,
                        gateway,
                        digest: status["digest"].as_str()?.to_string(),
                        least: status["live"]["least"].as_u64()?,
                        likely: status["live"]["likely"].as_u64()?,
                        most: status["live"]["most"].as_u64()?,
                        part: status["part"].as_f64()?,
                        gone: status["states"]["gone"].as_u64()?,
                        sent: whole("sent"),
                        received: whole("received"),
                        wrongly_gone: whole("wrongly_gone"),
                        yielded: status["yielded"] == true,
                    })
                })
            })
            .collect();
        let mut seen: Vec<Look> =
            asked.into_iter().filter_map(|thread| thread.join().ok().flatten()).collect();
        seen.sort_by(|a, b| a.at.total_cmp(&b.at));
        looks.lock().expect("looks").extend(seen);
        std::thread::sleep(Duration::from_millis(LOOK_MS).saturating_sub(round.elapsed()));
    }
}

/// The view of the fleet as a gateway's admin door tells it; `None`: no answer within half a second.
pub fn status(door: SocketAddr) -> Option<serde_json::Value> {
    let within = Duration::from_millis(500);
    let mut stream = TcpStream::connect_timeout(&door, within).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.write_all(b"GET /v1/fleet HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
}
