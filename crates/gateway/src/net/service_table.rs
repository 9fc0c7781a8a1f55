//! The service table: discovery's list, kept by a watch that never rests.

use bytes::Bytes;
use futures_util::StreamExt;
use miniserde::{json, Deserialize};
use nickeljunction_core::facade::{RegionEntry, RegionState, ServiceTable};
use nickeljunction_http::{RegionRequest, WatchCodec};
use nickeljunction_net::backoff::Backoff;
use nickeljunction_net::wheel::Wheel;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Discovery sends an empty line every 2 s: silence beyond that is a dead watch, ms.
const SILENT_MS: f64 = 3_500.0;
/// Longest wait for the connection, ms.
const CONNECT_MS: f64 = 1_000.0;

#[derive(Deserialize)]
struct RawTable {
    rev: u64,
    all: Option<bool>,
    targets: Vec<RawEntry>,
}

#[derive(Deserialize)]
struct RawEntry {
    uid: Option<String>,
    endpoint: Option<String>,
    az: Option<String>,
    pod_group: Option<f64>,
    state: Option<String>,
    capacity_hint: Option<f64>,
    boot_ms: Option<f64>,
}

/// Reads a list or a change; a line of it that makes no sense is left out and named.
pub fn parse(text: &str) -> Result<ServiceTable, String> {
    let raw: RawTable = json::from_str(text).map_err(|_| "no list of regions".to_string())?;
    let regions = raw.targets.into_iter().filter_map(entry).collect();
    Ok(ServiceTable { rev: raw.rev, all: raw.all.unwrap_or(false), regions })
}

/// Reads one line that stands by itself, for the region of that uid.
pub fn parse_entry(uid: &str, text: &str) -> Option<RegionEntry> {
    let raw: RawEntry = json::from_str(text).ok()?;
    entry(RawEntry { uid: Some(uid.to_string()), ..raw })
}

fn entry(raw: RawEntry) -> Option<RegionEntry> {
    let uid = raw.uid.filter(|uid| !uid.is_empty());
    let state = match raw.state.as_deref().unwrap_or("Ready") {
        "Ready" => RegionState::Ready,
        "Terminating" => RegionState::Terminating,
        "Gone" => RegionState::Gone,
        other => {
            tracing::warn!(?uid, state = other, "unknown state in the service table");
            return None;
        }
    };
    let fine = |number: Option<f64>, or: f64| number.filter(|value| value.is_finite()).unwrap_or(or);
    Some(RegionEntry {
        uid: uid?,
        endpoint: raw.endpoint.unwrap_or_default(),
        state,
        zone: raw.az.unwrap_or_default(),
        pod_group: fine(raw.pod_group, 0.0).max(0.0) as u64,
        weight: fine(raw.capacity_hint, 1.0),
        boot_ms: fine(raw.boot_ms, 0.0),
        distance: 0,
        rank: 0.0,
    })
}

/// Watches discovery at one address from version `rev` on, for as long as it is polled.
pub async fn follow(
    address: SocketAddr,
    mut rev: u64,
    wheel: Wheel,
    mut backoff: Backoff,
    told: impl Fn(ServiceTable),
) {
    loop {
        let heard = session(address, &mut rev, &wheel, &told).await;
        wheel.sleep(if heard { backoff.answered() } else { backoff.failed() }).await;
    }
}

/// One connection; true if anything came on it.
async fn session(address: SocketAddr, rev: &mut u64, wheel: &Wheel, told: &impl Fn(ServiceTable)) -> bool {
    let Some(Ok(stream)) = wheel.timeout(CONNECT_MS, TcpStream::connect(address)).await else {
        tracing::debug!("no connection to discovery");
        return false;
    };
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, WatchCodec::default());
    let request = RegionRequest(Bytes::from(format!(
        "GET /registry/instances?watch=1&after={rev} HTTP/1.1\r\nHost: discovery\r\n\r\n"
    )));
    if framed.get_mut().write_all(&request.0).await.is_err() {
        return false;
    }
    let mut heard = false;
    loop {
        let line = match wheel.timeout(SILENT_MS, framed.next()).await {
            Some(Some(Ok(line))) => line,
            Some(Some(Err(error))) => {
                tracing::warn!(%error, "the watch broke");
                return heard;
            }
            Some(None) => return heard,
            None => {
                tracing::info!("the watch is silent: watching anew");
                return heard;
            }
        };
        if !std::mem::replace(&mut heard, true) {
            tracing::info!(rev, "discovery answers the watch");
        }
        let text = String::from_utf8_lossy(&line);
        if text.trim().is_empty() {
            continue;
        }
        match parse(&text) {
            Ok(table) => {
                *rev = table.rev;
                told(table);
            }
            // The line is lost, and with it what it changed: only the whole list can make up for it.
            Err(why) => {
                tracing::warn!(why, "a line of the watch can't be read: asking for the whole list");
                *rev = 0;
                return heard;
            }
        }
    }
}
