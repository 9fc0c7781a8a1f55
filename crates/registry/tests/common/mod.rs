//! A leader's register on a fake clock, with watchers.

#![allow(dead_code, missing_docs)]

use nickeljunction_messages::{Caller, GatewayInfo, ServerState, WatchCall};
use nickeljunction_registry::{
    Catalog, CatalogUpdate, Heartbeat, HeartbeatKind, Register, Tuning, WatchCache,
};
use std::collections::BTreeMap;
use std::rc::Rc;

pub const HEARTBEAT_MS: u64 = 1_500;

pub fn tuning() -> Tuning {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    Tuning::new(HEARTBEAT_MS, BTreeMap::from(zones.map(|(zone, region)| (zone.into(), region.into()))))
}

pub fn beat(address: &str, zone: &str, call_seq: u64) -> Heartbeat {
    Heartbeat {
        address: address.into(),
        backend: "bookdesk".into(),
        version: "v1".into(),
        zone: zone.into(),
        slots: 3,
        state: ServerState::InService,
        call_seq,
        warmup_left_ms: 0,
    }
}

pub fn draining(address: &str, zone: &str, call_seq: u64) -> Heartbeat {
    Heartbeat { state: ServerState::Draining, ..beat(address, zone, call_seq) }
}

pub fn cold(address: &str, zone: &str, call_seq: u64, warmup_left_ms: u64) -> Heartbeat {
    Heartbeat { warmup_left_ms, ..beat(address, zone, call_seq) }
}

pub fn line(name: &str, zone: &str, ready: bool) -> GatewayInfo {
    GatewayInfo { name: name.into(), front: format!("{name}:80"), zone: zone.into(), ready }
}

/// The first call of a gateway's life.
pub fn hello(name: &str, zone: &str, life: u64, ready: bool) -> WatchCall {
    WatchCache::new().watch_call(Caller::Gateway, name, life, Some(line(name, zone, ready)), 1_000)
}

pub struct Cluster {
    pub now: u64,
    pub register: Register,
    /// Withdrawn by ticks.
    pub expired: Vec<String>,
    /// Gateways that call all the time: name and zone.
    pub calling: Vec<(&'static str, &'static str)>,
    /// Servers that beat all the time: id, zone, address, call_seq.
    pub beating: Vec<(String, &'static str, String, u64)>,
}

impl Cluster {
    pub fn new() -> Cluster {
        Cluster::from(1_000, 1, None)
    }

    pub fn from(now: u64, term: u64, copy: Option<WatchCache>) -> Cluster {
        let register = Register::new(now, tuning(), term, copy);
        Cluster { now, register, expired: Vec::new(), calling: Vec::new(), beating: Vec::new() }
    }

    /// `count` servers `s0`... in `zone`, at `s0:1`..., that beat from now on.
    pub fn crowd(&mut self, count: usize, zone: &'static str) {
        for n in 0..count {
            self.beating.push((format!("s{n}"), zone, format!("s{n}:1"), 0));
        }
        self.beats();
    }

    fn beats(&mut self) {
        for (id, zone, address, call_seq) in &mut self.beating {
            *call_seq += 1;
            self.register.record_heartbeat(self.now, id, &beat(address, zone, *call_seq));
        }
    }

    pub fn wait(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            let before = self.now;
            self.now = end.min(self.now + 250);
            if before / HEARTBEAT_MS != self.now / HEARTBEAT_MS {
                self.beats();
            }
            for (name, zone) in &self.calling {
                self.register.record_watch_call(self.now, &hello(name, zone, 1, true));
            }
            self.expired.extend(self.register.tick(self.now));
        }
    }

    pub fn beat(&mut self, id: &str, beat: &Heartbeat) -> HeartbeatKind {
        self.register.record_heartbeat(self.now, id, beat).kind
    }

    /// All that a core member is told that has nothing.
    pub fn catalog(&self) -> Rc<Catalog> {
        self.copy().catalog()
    }

    pub fn copy(&self) -> WatchCache {
        let mut copy = WatchCache::new();
        self.tell(&mut copy, Caller::Core);
        copy
    }

    /// Tells a watcher what it lacks, if anything.
    pub fn tell(&self, copy: &mut WatchCache, who: Caller) -> Option<CatalogUpdate> {
        let call = copy.watch_call(who, "watcher", 7, None, 1_000);
        let answer = self.register.answer(self.now, &call, 0)?;
        Some(copy.apply(answer).expect("leads back"))
    }

    /// `None`: not in the table.
    pub fn state(&self, id: &str) -> Option<ServerState> {
        self.catalog().servers.get(id).map(|line| line.state)
    }

    /// Who may send to it, as published.
    pub fn permit(&self, id: &str) -> Option<String> {
        self.catalog().servers.get(id).expect("not in the table").cold.clone()
    }
}
