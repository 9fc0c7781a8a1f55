//! A second source of the service table: ephemeral children of a node, in ZooKeeper's protocol.
//!
//! Each region keeps one ephemeral child whose name is its uid and whose data is the JSON of a service
//! table's line without `uid`. This side holds a session, watches the children and their data, and reads
//! everything anew after each reconnect: a watch does not outlive its connection here. While no session can
//! be had, the table stays as it is, as when discovery is silent.

use crate::net::service_table;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use miniserde::{json, Deserialize};
use nickeljunction_core::facade::{RegionEntry, RegionState, ServiceTable};
use nickeljunction_net::backoff::Backoff;
use nickeljunction_net::wheel::Wheel;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Longest wait for a connection, ms.
const CONNECT_MS: f64 = 1_000.0;
/// A parent node that is not there is asked for again after this, ms.
const MISSING_MS: f64 = 500.0;

/// Types of requests.
const GET_DATA: i32 = 4;
const GET_CHILDREN: i32 = 8;
const PING: i32 = 11;
/// Numbers of requests with a meaning of their own.
const XID_EVENT: i32 = -1;
const XID_PING: i32 = -2;
/// Numbers of this side's requests begin here; the children are asked for under the first.
const XID_FIRST: i32 = 1;
/// The node is not there.
const NO_NODE: i32 = -101;

/// An operator's file.
#[derive(Debug, Clone, PartialEq)]
pub struct Ephemeral {
    /// The ensemble, tried in turn.
    pub servers: Vec<SocketAddr>,
    /// The node whose children are the regions.
    pub path: String,
    /// Session time-out that is asked for, ms.
    pub session_ms: i32,
}

#[derive(Deserialize)]
struct File {
    servers: Vec<String>,
    path: String,
    session_ms: Option<u32>,
}

impl Ephemeral {
    /// Reads an operator's file: `{"servers": ["127.0.0.1:2181"], "path": "/regions", "session_ms": 10000}`.
    pub fn load(path: &Path) -> Result<Ephemeral, String> {
        let fail = |key: &str, why: &str| Err(format!("service table: {}: {key}: {why}", path.display()));
        let Ok(text) = std::fs::read_to_string(path) else { return fail("file", "can't be read") };
        let Ok(file) = json::from_str::<File>(&text) else {
            return fail("file", "needs 'servers' (a list of addresses) and 'path'");
        };
        let servers: Result<Vec<SocketAddr>, _> = file.servers.iter().map(|text| text.parse()).collect();
        let Ok(servers) = servers else { return fail("servers", "addresses with ports") };
        if servers.is_empty() {
            return fail("servers", "at least one");
        }
        if !file.path.starts_with('/') || (file.path.len() > 1 && file.path.ends_with('/')) {
            return fail("path", "must begin with / and not end with it");
        }
        let session_ms = file.session_ms.unwrap_or(10_000).clamp(500, 600_000) as i32;
        Ok(Ephemeral { servers, path: file.path, session_ms })
    }
}

fn put_text(to: &mut BytesMut, text: &str) {
    to.put_i32(text.len() as i32);
    to.put_slice(text.as_bytes());
}

/// Reads the parts of a frame; `None` where it ends too early.
struct Reader(Bytes);

impl Reader {
    fn int(&mut self) -> Option<i32> {
        (self.0.remaining() >= 4).then(|| self.0.get_i32())
    }

    fn long(&mut self) -> Option<i64> {
        (self.0.remaining() >= 8).then(|| self.0.get_i64())
    }

    fn buffer(&mut self) -> Option<Bytes> {
        match self.int()? {
            length if length < 0 => Some(Bytes::new()),
            length if length as usize <= self.0.remaining() => Some(self.0.split_to(length as usize)),
            _ => None,
        }
    }

    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.buffer()?.to_vec()).ok()
    }
}

/// What outlives a connection.
#[derive(Debug, Default)]
struct Session {
    id: i64,
    password: Bytes,
    last_zxid: i64,
}

impl Session {
    fn hello(&self, session_ms: i32) -> Bytes {
        let mut to = BytesMut::new();
        to.put_i32(0);
        to.put_i64(self.last_zxid);
        to.put_i32(session_ms);
        to.put_i64(self.id);
        let blank = Bytes::from_static(&[0; 16]);
        let password = if self.password.is_empty() { &blank } else { &self.password };
        to.put_i32(password.len() as i32);
        to.put_slice(password);
        to.put_u8(0);
        to.freeze()
    }

    /// The agreed time-out, ms; `None` when the session has expired, or the answer makes no sense.
    fn welcome(&mut self, frame: Bytes) -> Option<f64> {
        let mut reader = Reader(frame);
        let (_, timeout, id) = (reader.int()?, reader.int()?, reader.long()?);
        if timeout <= 0 || id == 0 {
            *self = Session::default();
            return None;
        }
        (self.id, self.password) = (id, reader.buffer()?);
        Some(f64::from(timeout))
    }
}

/// Sans-IO view of the children within one connection.
#[derive(Debug, Default)]
struct Tree {
    path: String,
    last_xid: i32,
    asked: BTreeMap<i32, String>,
    children: BTreeMap<String, Option<RegionEntry>>,
    /// The first whole reading of this connection has been told.
    whole: bool,
    rev: u64,
    out: Vec<Bytes>,
    told: Vec<ServiceTable>,
    /// The parent is not there: ask again later.
    missing: bool,
}

impl Tree {
    fn new(path: &str) -> Tree {
        Tree { path: path.into(), last_xid: XID_FIRST - 1, ..Tree::default() }
    }

    /// Asks for a node with a watch on it: the children of the parent, or a child's data.
    fn ask(&mut self, child: &str) {
        self.last_xid += 1;
        let (kind, node) = match (child, self.path.as_str()) {
            ("", path) => (GET_CHILDREN, path.to_string()),
            (child, "/") => (GET_DATA, format!("/{child}")),
            (child, path) => (GET_DATA, format!("{path}/{child}")),
        };
        let mut to = BytesMut::new();
        to.put_i32(self.last_xid);
        to.put_i32(kind);
        put_text(&mut to, &node);
        to.put_u8(1);
        self.out.push(to.freeze());
        self.asked.insert(self.last_xid, child.into());
    }

    /// Takes a frame; `None` if it makes no sense.
    fn take(&mut self, frame: Bytes, session: &mut Session) -> Option<()> {
        let mut reader = Reader(frame);
        let (xid, zxid, error) = (reader.int()?, reader.long()?, reader.int()?);
        match xid {
            XID_PING => return Some(()),
            XID_EVENT => {
                let (kind, _, node) = (reader.int()?, reader.int()?, reader.text()?);
                return self.event(kind, &node);
            }
            _ => {}
        }
        session.last_zxid = session.last_zxid.max(zxid);
        let child = self.asked.remove(&xid)?;
        match (child.as_str(), error) {
            ("", 0) => {
                let count = reader.int()?.max(0);
                let names: BTreeSet<String> = (0..count).map(|_| reader.text()).collect::<Option<_>>()?;
                self.names(names);
            }
            ("", NO_NODE) => {
                tracing::warn!(path = self.path, "the regions' parent node is not there");
                self.missing = true;
                self.names(BTreeSet::new());
            }
            (_, 0) => self.data(&child, &reader.buffer()?),
            (_, NO_NODE) => self.gone(&child),
            _ => return None,
        }
        self.tell_whole();
        Some(())
    }

    fn event(&mut self, kind: i32, node: &str) -> Option<()> {
        let child = node.strip_prefix(&self.path).unwrap_or_default().trim_start_matches('/').to_string();
        match kind {
            // Of the children; it comes once, so asking sets the next watch.
            4 => self.ask(""),
            // A child's data, or its end.
            3 if !child.is_empty() => self.ask(&child),
            2 if !child.is_empty() => self.gone(&child),
            // The parent was removed or made.
            1 | 2 => self.ask(""),
            _ => {}
        }
        Some(())
    }

    fn names(&mut self, names: BTreeSet<String>) {
        let lost: Vec<String> = self.children.keys().filter(|name| !names.contains(*name)).cloned().collect();
        lost.iter().for_each(|name| self.gone(name));
        for name in names {
            if !self.children.contains_key(&name) {
                self.children.insert(name.clone(), None);
                self.ask(&name);
            }
        }
    }

    fn data(&mut self, child: &str, data: &Bytes) {
        // An ephemeral child that went while it was asked for stays gone.
        let Some(known) = self.children.get_mut(child) else { return };
        let text = String::from_utf8_lossy(data);
        let Some(entry) = service_table::parse_entry(child, &text) else {
            return tracing::warn!(child, "the data of a region's node can't be read");
        };
        *known = Some(entry.clone());
        if self.whole {
            self.tell(false, vec![entry]);
        }
    }

    fn gone(&mut self, child: &str) {
        if let Some(Some(entry)) = self.children.remove(child) {
            if self.whole {
                self.tell(false, vec![RegionEntry { state: RegionState::Gone, ..entry }]);
            }
        }
    }

    /// The first time that nothing is asked for any more, the whole table.
    fn tell_whole(&mut self) {
        if !self.whole && !self.missing && self.asked.is_empty() {
            self.whole = true;
            let entries = self.children.values().flatten().cloned().collect();
            self.tell(true, entries);
        }
    }

    fn tell(&mut self, all: bool, regions: Vec<RegionEntry>) {
        self.rev += 1;
        self.told.push(ServiceTable { rev: self.rev, all, regions });
    }
}

/// Watches the ensemble and passes on each change, for as long as it is polled.
pub async fn watch(source: Ephemeral, wheel: Wheel, mut backoff: Backoff, told: impl Fn(ServiceTable)) {
    let mut session = Session::default();
    for server in source.servers.iter().cycle() {
        let welcome = connection(*server, &source, &mut session, &wheel, &told).await;
        wheel.sleep(if welcome { backoff.answered() } else { backoff.failed() }).await;
    }
}

/// One connection; true if it got as far as a session.
async fn connection(
    server: SocketAddr,
    source: &Ephemeral,
    session: &mut Session,
    wheel: &Wheel,
    told: &impl Fn(ServiceTable),
) -> bool {
    let Some(Ok(stream)) = wheel.timeout(CONNECT_MS, TcpStream::connect(server)).await else { return false };
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, LengthDelimitedCodec::new());
    if framed.send(session.hello(source.session_ms)).await.is_err() {
        return false;
    }
    let Some(Some(Ok(frame))) = wheel.timeout(f64::from(source.session_ms), framed.next()).await else {
        return false;
    };
    let Some(timeout) = session.welcome(frame.freeze()) else {
        tracing::info!(%server, "the session has expired: opening another");
        return false;
    };
    let mut tree = Tree::new(&source.path);
    tree.ask("");
    let (mut heard, mut pinged, mut again) = (wheel.now(), wheel.now(), f64::INFINITY);
    loop {
        for frame in std::mem::take(&mut tree.out) {
            if framed.send(frame).await.is_err() {
                return true;
            }
        }
        tree.told.drain(..).for_each(told);
        if std::mem::take(&mut tree.missing) {
            again = wheel.now() + MISSING_MS;
        }
        // As ZooKeeper's own clients do: a ping after a third of the time-out, another server after two.
        let next = (pinged + timeout / 3.0).min(heard + timeout * 2.0 / 3.0).min(again);
        tokio::select! {
            biased;
            frame = framed.next() => match frame {
                Some(Ok(frame)) => {
                    heard = wheel.now();
                    if tree.take(frame.freeze(), session).is_none() {
                        tracing::warn!(%server, "an answer of the ensemble can't be read");
                        return true;
                    }
                }
                _ => return true,
            },
            () = wheel.sleep_until(next) => {
                let now = wheel.now();
                if now - heard >= timeout * 2.0 / 3.0 {
                    tracing::info!(%server, "the ensemble is silent: connecting anew");
                    return true;
                }
                if now >= again {
                    again = f64::INFINITY;
                    tree.ask("");
                }
                if now - pinged >= timeout / 3.0 {
                    pinged = now;
                    let mut ping = BytesMut::new();
                    ping.put_i32(XID_PING);
                    ping.put_i32(PING);
                    tree.out.push(ping.freeze());
                }
            }
        }
    }
}
