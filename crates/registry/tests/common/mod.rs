//! A leader's register on a simulated clock, with servers and gateways that call it.

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

pub fn heartbeat(address: &str, zone: &str, call_seq: u64) -> Heartbeat {
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

pub fn draining_heartbeat(address: &str, zone: &str, call_seq: u64) -> Heartbeat {
    Heartbeat { state: ServerState::Draining, ..heartbeat(address, zone, call_seq) }
}

pub fn cold_heartbeat(address: &str, zone: &str, call_seq: u64, warmup_left_ms: u64) -> Heartbeat {
    Heartbeat { warmup_left_ms, ..heartbeat(address, zone, call_seq) }
}

pub fn gateway_line(name: &str, zone: &str, ready: bool) -> GatewayInfo {
    GatewayInfo { name: name.into(), front: format!("{name}:80"), zone: zone.into(), ready }
}

/// The first watch call of a gateway process.
pub fn first_call(name: &str, zone: &str, life: u64, ready: bool) -> WatchCall {
    WatchCache::new().watch_call(Caller::Gateway, name, life, Some(gateway_line(name, zone, ready)), 1_000)
}

pub struct TestLeader {
    pub now: u64,
    pub register: Register,
    /// Servers that ticks removed because they were silent.
    pub expired_ids: Vec<String>,
    /// Gateways that call at each tick: name and zone.
    pub calling_gateways: Vec<(&'static str, &'static str)>,
    /// Servers that send heartbeats regularly: id, zone, address and last `call_seq`.
    pub active_servers: Vec<(String, &'static str, String, u64)>,
}

impl TestLeader {
    pub fn new() -> TestLeader {
        TestLeader::from(1_000, 1, None)
    }

    pub fn from(now: u64, term: u64, cache: Option<WatchCache>) -> TestLeader {
        let register = Register::new(now, tuning(), term, cache);
        TestLeader {
            now,
            register,
            expired_ids: Vec::new(),
            calling_gateways: Vec::new(),
            active_servers: Vec::new(),
        }
    }

    /// Adds `count` servers `s0`, `s1`, ... at `s0:1`, `s1:1`, ... in `zone`, which send heartbeats from now on.
    pub fn add_servers(&mut self, count: usize, zone: &'static str) {
        for n in 0..count {
            self.active_servers.push((format!("s{n}"), zone, format!("s{n}:1"), 0));
        }
        self.send_heartbeats();
    }

    fn send_heartbeats(&mut self) {
        for (id, zone, address, call_seq) in &mut self.active_servers {
            *call_seq += 1;
            self.register.record_heartbeat(self.now, id, &heartbeat(address, zone, *call_seq));
        }
    }

    /// Advances the clock in steps of 250 ms, with heartbeats, watch calls and ticks.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            let before = self.now;
            self.now = end.min(self.now + 250);
            if before / HEARTBEAT_MS != self.now / HEARTBEAT_MS {
                self.send_heartbeats();
            }
            for (name, zone) in &self.calling_gateways {
                self.register.record_watch_call(self.now, &first_call(name, zone, 1, true));
            }
            self.expired_ids.extend(self.register.tick(self.now));
        }
    }

    pub fn heartbeat(&mut self, id: &str, heartbeat: &Heartbeat) -> HeartbeatKind {
        self.register.record_heartbeat(self.now, id, heartbeat).kind
    }

    /// The catalog of a core member whose cache was empty.
    pub fn catalog(&self) -> Rc<Catalog> {
        self.core_cache().catalog()
    }

    /// The cache of a core member that was empty and has received everything.
    pub fn core_cache(&self) -> WatchCache {
        let mut cache = WatchCache::new();
        self.update(&mut cache, Caller::Core);
        cache
    }

    /// Applies to a watcher's cache everything that it has not received yet, if there is anything.
    pub fn update(&self, cache: &mut WatchCache, who: Caller) -> Option<CatalogUpdate> {
        let call = cache.watch_call(who, "watcher", 7, None, 1_000);
        let answer = self.register.answer(self.now, &call, 0)?;
        Some(cache.apply(answer).expect("an answer of the current leader must be applied"))
    }

    /// State of a server; `None`: it is not in the table.
    pub fn state(&self, id: &str) -> Option<ServerState> {
        self.catalog().servers.get(id).map(|line| line.state)
    }

    /// The gateway that may send to a cold server; empty: none may; `None`: the server is warm.
    pub fn permit_holder(&self, id: &str) -> Option<String> {
        self.catalog().servers.get(id).expect("not in the table").cold.clone()
    }
}
