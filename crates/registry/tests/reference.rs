//! Long random sequences of events, shrunk if they fail: compares the register and its watchers with a simple reference
//! model, which has no sequence numbers, differences or permits.

mod common;

use common::*;
use nickeljunction_messages::{Caller, ServerInfo, ServerState, VersionedConfig, WatchAnswer};
use nickeljunction_registry::{send_block, ConfigHistory, Heartbeat, SendLimit, WatchCache};
use nickeljunction_schema::DocumentDigest;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const ZONES: [&str; 3] = ["a1", "a2", "b1"];
const GATEWAYS: [&str; 4] = ["g0", "g1", "g2", "g3"];
const SERVERS: usize = 6;
/// Interval between two ticks of the register.
const TICK_MS: u64 = 250;
/// Maximum time for which a gateway keeps a permit after its last call: hold time, slack and grace period.
const KEEPS_PERMIT_MS: u64 = 1_000 + 1_200 + 1_000;

#[derive(Debug, Clone)]
enum Step {
    Heartbeat {
        server: usize,
        address: usize,
        drains: bool,
        cold_ms: u64,
    },
    /// An earlier heartbeat arrives again; the number says how many heartbeats ago it arrived first.
    RepeatHeartbeat(usize),
    AnnounceEnd(usize),
    /// The server crashes. Its next heartbeat is that of a new instance of the other service at the same address.
    Restart(usize),
    Wait(u64),
    /// A gateway calls and receives an answer. The call was sent `sent_ms_ago`.
    Call {
        gateway: usize,
        ready: bool,
        sent_ms_ago: u64,
    },
    /// A gateway's watch connection breaks.
    Disconnect(usize),
    /// A gateway's process is replaced by a new one.
    RestartGateway(usize),
    /// A gateway receives an earlier answer, possibly that of another gateway. The second number says how many answers
    /// ago it was made.
    StaleAnswer(usize, usize),
    /// The follower calls and receives an answer.
    Follow,
    Evacuate(usize),
    Configure,
    /// Another member becomes leader: with the follower's cache if true, otherwise without a cache.
    TakeOver(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let heartbeat = (0..SERVERS, 0..SERVERS + 12, prop::bool::weighted(0.15));
    let cold = prop_oneof![Just(0), Just(0), 500..20_000_u64];
    let call = (0..GATEWAYS.len(), prop::bool::weighted(0.9), 0..1_000_u64);
    prop_oneof![
        14 => (heartbeat, cold).prop_map(|((server, address, drains), cold_ms)| {
            // In most cases the server has its own address.
            let address = if address < SERVERS { address } else { server };
            Step::Heartbeat { server, address, drains, cold_ms }
        }),
        2 => (1..30_usize).prop_map(Step::RepeatHeartbeat),
        1 => (0..SERVERS).prop_map(Step::AnnounceEnd),
        1 => (0..SERVERS).prop_map(Step::Restart),
        6 => (1..2_500_u64).prop_map(Step::Wait),
        12 => call.prop_map(|(gateway, ready, sent_ms_ago)| Step::Call { gateway, ready, sent_ms_ago }),
        1 => (0..GATEWAYS.len()).prop_map(Step::Disconnect),
        1 => (0..GATEWAYS.len()).prop_map(Step::RestartGateway),
        1 => (0..GATEWAYS.len(), 1..20_usize).prop_map(|(gateway, ago)| Step::StaleAnswer(gateway, ago)),
        4 => Just(Step::Follow),
        1 => (0..8_usize).prop_map(Step::Evacuate),
        1 => Just(Step::Configure),
        1 => prop::bool::ANY.prop_map(Step::TakeOver),
    ]
}

// ---- The reference model ----

/// A server instance that is expected in the table.
#[derive(Debug, Clone, PartialEq)]
struct Instance {
    address: String,
    backend: String,
    zone: String,
    state: ServerState,
    /// `call_seq` of the newest heartbeat; `None`: the instance comes from a cache.
    call_seq: Option<u64>,
    last_heartbeat: u64,
    /// It is unknown whether the server is cold, until a heartbeat arrives at this time or later.
    warmth_unknown_until: Option<u64>,
    cold_until: u64,
}

/// Why an instance is not in the table.
#[derive(Debug, Clone, Copy, PartialEq)]
enum EndReason {
    /// It announced its end, or another instance has its address.
    Confirmed,
    /// It was silent after this heartbeat: only a newer one registers it again.
    Silent(Option<u64>),
    /// The cache listed it as removed, for an unknown reason.
    RemovedInCache,
}

/// The expected state of one leader's servers and gateways.
#[derive(Debug, Clone, Default)]
struct Reference {
    started_at: u64,
    instances: BTreeMap<String, Instance>,
    /// Instances that have ended, with the address that each had.
    ended: BTreeMap<String, (EndReason, String)>,
    evacuated_zones: BTreeSet<String>,
    gateways: BTreeMap<String, KnownGateway>,
}

/// A gateway as the reference model knows it.
#[derive(Debug, Clone)]
struct KnownGateway {
    /// The gateway may keep a permit until then.
    permit_until: u64,
    ready: bool,
    /// The process that called; `None`: the gateway comes from a cache.
    life: Option<u64>,
}

impl Reference {
    fn heartbeat(&mut self, now: u64, id: &str, heartbeat: &Heartbeat) {
        let mut state = heartbeat.state;
        let mut warmth_unknown_until = None;
        if let Some(instance) = self.instances.get_mut(id) {
            match instance.call_seq {
                Some(newest) if heartbeat.call_seq < newest => return,
                Some(newest) if heartbeat.call_seq == newest => {
                    instance.last_heartbeat = now;
                    return;
                }
                // The drain may have been announced after this heartbeat.
                None if instance.state == ServerState::Draining => state = ServerState::Draining,
                _ => {}
            }
            warmth_unknown_until = instance.warmth_unknown_until.filter(|from| now < *from);
        } else if let Some((reason, _)) = self.ended.get(id).cloned() {
            let address_in_use =
                self.instances.values().any(|instance| instance.address == heartbeat.address);
            let next = match reason {
                EndReason::Confirmed => return,
                EndReason::Silent(Some(newest)) if heartbeat.call_seq <= newest => return,
                _ if address_in_use => EndReason::Confirmed,
                EndReason::RemovedInCache => EndReason::Silent(Some(heartbeat.call_seq)),
                EndReason::Silent(_) => EndReason::Silent(None),
            };
            if next != EndReason::Silent(None) {
                self.ended.entry(id.into()).and_modify(|(reason, _)| *reason = next);
                return;
            }
        }
        let address_changed =
            self.instances.get(id).is_none_or(|instance| instance.address != heartbeat.address);
        let cold_until = if heartbeat.warmup_left_ms > 0 { now + heartbeat.warmup_left_ms } else { 0 };
        let instance = Instance {
            address: heartbeat.address.clone(),
            backend: heartbeat.backend.clone(),
            zone: heartbeat.zone.clone(),
            state,
            call_seq: Some(heartbeat.call_seq),
            last_heartbeat: now,
            warmth_unknown_until,
            cold_until,
        };
        self.ended.remove(id);
        self.instances.insert(id.into(), instance);
        if address_changed {
            // An address belongs to one instance at a time, which is now this one.
            let same_address = |(other, instance): (&String, &Instance)| {
                (other != id && instance.address == heartbeat.address).then(|| other.clone())
            };
            let others: Vec<String> = self.instances.iter().filter_map(same_address).collect();
            others.iter().for_each(|other| self.end(other, EndReason::Confirmed));
            let ended = self.ended.values_mut().filter(|(_, address)| *address == heartbeat.address);
            ended.for_each(|(reason, _)| *reason = EndReason::Confirmed);
        }
    }

    fn end(&mut self, id: &str, reason: EndReason) {
        let address = self.instances.remove(id).map_or(String::new(), |instance| instance.address);
        self.ended.insert(id.into(), (reason, address));
    }

    fn evacuate(&mut self, now: u64, zones: BTreeSet<String>) {
        for instance in self.instances.values_mut() {
            if self.evacuated_zones.contains(&instance.zone) && !zones.contains(&instance.zone) {
                instance.warmth_unknown_until = Some(now + 200);
            }
        }
        self.evacuated_zones = zones;
    }

    /// Checks a published line, except for the holder of its permit.
    fn check_line(&self, now: u64, line: &ServerInfo) -> Result<(), TestCaseError> {
        let instance = self.instances.get(&line.id);
        prop_assert!(instance.is_some(), "{} ms: {} is published but has ended", now, line.id);
        let instance = instance.unwrap();
        let published = (&line.address, &line.backend, line.state);
        let expected = (&instance.address, &instance.backend, instance.state);
        prop_assert_eq!(published, expected, "{} ms: {}", now, line.id);
        let unknown = instance.warmth_unknown_until.is_some();
        let cold = unknown || now < instance.cold_until;
        let warm = !unknown && now >= instance.cold_until + TICK_MS;
        prop_assert!(line.cold.is_some() || !cold, "{} ms: {} is published as warm but cold", now, line.id);
        prop_assert!(line.cold.is_none() || !warm, "{} ms: {} is published as cold but warm", now, line.id);
        Ok(())
    }

    /// Checks right after a tick that silent instances are removed in the end, and that holders of permits are
    /// connected.
    fn check_times(&self, now: u64, lines: &BTreeMap<Rc<str>, Rc<ServerInfo>>) -> Result<(), TestCaseError> {
        for (id, instance) in &self.instances {
            let (bound, last) = (tuning().mass_silence_ms, instance.last_heartbeat);
            prop_assert!(now <= last + bound, "{} ms: {} has been silent since {}", now, id, last);
        }
        let holders =
            lines.values().filter_map(|line| line.cold.as_ref()).filter(|holder| !holder.is_empty());
        for holder in holders {
            let gateway = self.gateways.get(holder);
            let may_hold =
                gateway.is_some_and(|gateway| gateway.ready && now < gateway.permit_until + TICK_MS);
            prop_assert!(may_hold, "{} ms: {} must not hold a permit: {:?}", now, holder, gateway);
            let early = now < self.started_at + tuning().permit_gap_ms;
            prop_assert!(!early, "{} ms: too early for a permit of {}", now, holder);
        }
        Ok(())
    }
}

// ---- The system under test ----

/// A gateway's process.
#[derive(Clone, Default)]
struct Gateway {
    cache: WatchCache,
    life: u64,
    /// When the gateway sent its newest call that was answered.
    sent_at: u64,
}

struct Simulation {
    leader: TestLeader,
    gateways: Vec<Gateway>,
    follower: WatchCache,
    /// Servers that the follower's answers removed.
    removed_from_follower: BTreeSet<String>,
    /// A cache that has received answers of the current leader only.
    single_leader_cache: WatchCache,
    reference: Reference,
    /// Number of the current instance and last `call_seq` of each server.
    servers: [(u64, u64); SERVERS],
    heartbeats: Vec<(String, Heartbeat)>,
    answers: Vec<WatchAnswer>,
    version: u64,
}

impl Simulation {
    fn new() -> Simulation {
        let leader = TestLeader::new();
        Simulation {
            reference: Reference { started_at: leader.now, ..Reference::default() },
            leader,
            gateways: vec![Gateway::default(); GATEWAYS.len()],
            follower: WatchCache::new(),
            removed_from_follower: BTreeSet::new(),
            single_leader_cache: WatchCache::new(),
            servers: [(0, 10); SERVERS],
            heartbeats: Vec::new(),
            answers: Vec::new(),
            version: 0,
        }
    }

    fn instance_id(&self, server: usize) -> String {
        format!("i{server}-{}", self.servers[server].0)
    }

    fn heartbeat(&mut self, id: &str, heartbeat: &Heartbeat) {
        self.leader.heartbeat(id, heartbeat);
        self.reference.heartbeat(self.leader.now, id, heartbeat);
    }

    fn run(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let now = self.leader.now;
        match *step {
            Step::Heartbeat { server, address, drains, cold_ms } => {
                self.servers[server].1 += 1;
                let (instance, call_seq) = self.servers[server];
                let mut heartbeat =
                    cold_heartbeat(&format!("m{address}:1"), ZONES[server % 3], call_seq, cold_ms);
                heartbeat.backend = ["bookdesk", "eligcheck"][instance as usize % 2].into();
                if drains {
                    heartbeat.state = ServerState::Draining;
                }
                let id = self.instance_id(server);
                self.heartbeat(&id, &heartbeat);
                self.heartbeats.push((id, heartbeat));
            }
            Step::RepeatHeartbeat(ago) => {
                if let Some((id, heartbeat)) = self.heartbeats.iter().rev().nth(ago).cloned() {
                    self.heartbeat(&id, &heartbeat);
                }
            }
            Step::AnnounceEnd(server) => {
                let id = self.instance_id(server);
                self.leader.register.remove_server(now, &id);
                self.reference.end(&id, EndReason::Confirmed);
                self.servers[server].0 += 1;
            }
            Step::Restart(server) => self.servers[server].0 += 1,
            Step::Wait(ms) => self.advance(ms)?,
            Step::Call { gateway, ready, sent_ms_ago } => self.call(gateway, ready, sent_ms_ago)?,
            Step::Disconnect(gateway) => {
                let (name, life) = (GATEWAYS[gateway], self.gateways[gateway].life);
                self.leader.register.gateway_disconnected(now, name, life);
                let known = self.reference.gateways.get_mut(name).filter(|known| known.life == Some(life));
                if let Some(gateway) = known {
                    gateway.permit_until = gateway.permit_until.min(now + 1_000);
                }
            }
            Step::RestartGateway(gateway) => {
                let life = self.gateways[gateway].life + 1;
                self.gateways[gateway] = Gateway { life, ..Gateway::default() };
            }
            Step::StaleAnswer(gateway, ago) => {
                let cache = &mut self.gateways[gateway].cache;
                let (current, catalog) = ((cache.term(), cache.seq()), cache.catalog());
                let answer = self.answers.iter().rev().nth(ago).filter(|old| (old.term, old.seq) < current);
                if let Some(answer) = answer.cloned() {
                    prop_assert!(cache.apply(answer).is_err(), "{} ms: applied a stale answer", now);
                    prop_assert!(Rc::ptr_eq(&catalog, &cache.catalog()));
                }
            }
            Step::Follow => {
                let update = self.leader.update(&mut self.follower, Caller::Core).unwrap_or_default();
                let removed = update.removed_servers;
                let catalog = self.follower.catalog();
                self.removed_from_follower.extend(removed.iter().map(|id| id.to_string()));
                self.removed_from_follower.retain(|id| !catalog.servers.contains_key(id.as_str()));
                self.leader.update(&mut self.single_leader_cache, Caller::Core);
                prop_assert_eq!(
                    &*self.single_leader_cache.catalog(),
                    &*self.leader.catalog(),
                    "{} ms: differences and a full answer give different catalogs",
                    now
                );
                prop_assert_eq!(self.leader.update(&mut self.single_leader_cache, Caller::Core), None);
            }
            Step::Evacuate(zones) => {
                let chosen = (0..3).filter(|bit| zones & (1 << bit) != 0).map(|bit| ZONES[bit].to_string());
                let chosen: BTreeSet<String> = chosen.collect();
                self.leader.register.set_evacuated_zones(now, chosen.clone());
                self.reference.evacuate(now, chosen);
            }
            Step::Configure => {
                self.version += 2;
                self.configure();
            }
            Step::TakeOver(with_cache) => self.take_over(with_cache),
        }
        self.check()
    }

    fn advance(&mut self, ms: u64) -> Result<(), TestCaseError> {
        let end = self.leader.now + ms;
        while self.leader.now < end {
            self.leader.advance(TICK_MS.min(end - self.leader.now));
            let now = self.leader.now;
            for id in std::mem::take(&mut self.leader.expired_ids) {
                let instance = self.reference.instances.get(&id);
                let (last, call_seq) =
                    instance.map_or((now, None), |instance| (instance.last_heartbeat, instance.call_seq));
                let was_silent = last + tuning().silence_ms < now;
                prop_assert!(was_silent, "{} ms: {} was removed, last heartbeat at {}", now, id, last);
                self.reference.end(&id, EndReason::Silent(call_seq));
            }
            self.check()?;
            self.reference.check_times(now, &self.leader.catalog().servers)?;
        }
        Ok(())
    }

    fn call(&mut self, number: usize, ready: bool, sent_ms_ago: u64) -> Result<(), TestCaseError> {
        let (now, name) = (self.leader.now, GATEWAYS[number]);
        let gateway = &mut self.gateways[number];
        let line = Some(gateway_line(name, ZONES[number % 3], ready));
        let call = gateway.cache.watch_call(Caller::Gateway, name, gateway.life, line, 1_000);
        self.leader.register.record_watch_call(now, &call);
        let known = KnownGateway { permit_until: now + KEEPS_PERMIT_MS, ready, life: Some(call.incarnation) };
        self.reference.gateways.insert(name.into(), known);
        let answer = self.leader.register.answer(self.leader.now, &call, 0);
        let answer = answer.unwrap_or_else(|| self.leader.register.empty_answer(0));
        self.answers.push(answer.clone());
        let before = gateway.cache.catalog();
        let new_leader = gateway.cache.term() < answer.term;
        prop_assert!(gateway.cache.apply(answer).is_ok(), "{} ms: refused by {}", now, name);
        gateway.sent_at = gateway.sent_at.max(now.saturating_sub(sent_ms_ago));
        // Every server to which the gateway may now send exists, is not draining, and is in a zone that is not
        // evacuated.
        let catalog = gateway.cache.catalog();
        prop_assert_eq!(catalog.version(), self.version);
        prop_assert_eq!(&*catalog.evacuated_zones, &self.reference.evacuated_zones);
        let complete = !self.leader.register.is_gathering();
        let leader_catalog = self.leader.catalog();
        for (id, line) in catalog.servers.iter() {
            let drained = before.servers.get(id).is_some_and(|old| old.state == ServerState::Draining);
            let reverted = new_leader && drained && line.state == ServerState::InService;
            prop_assert!(!reverted, "{} ms: {} reverts the drain of {}", now, name, id);
            if send_block(line, name, |zone| catalog.evacuated_zones.contains(zone)).is_some() {
                continue;
            }
            let Some(leader_line) = leader_catalog.servers.get(id) else {
                prop_assert!(!complete, "{} ms: {} sends to {}, which was removed", now, name, id);
                prop_assert!(
                    line.cold.is_none(),
                    "{} ms: {} has the last leader's permit for {}",
                    now,
                    name,
                    id
                );
                continue;
            };
            let block = send_block(leader_line, name, |zone| self.reference.evacuated_zones.contains(zone));
            prop_assert!(block.is_none(), "{} ms: {} sends to {}: {:?}", now, name, id, block);
        }
        if complete {
            let missing = leader_catalog.servers.keys().find(|id| !catalog.servers.contains_key(*id));
            prop_assert!(missing.is_none(), "{} ms: {} lacks {:?}", now, name, missing);
        }
        Ok(())
    }

    fn configure(&mut self) {
        let doc = serde_json::json!({ "config_version": self.version });
        let digest = DocumentDigest::of(&doc);
        let line = VersionedConfig { version: self.version, document: doc };
        self.leader.register.set_config(Rc::new(line), digest, ConfigHistory::default());
    }

    fn take_over(&mut self, with_cache: bool) {
        let (now, zones) = (self.leader.now, self.reference.evacuated_zones.clone());
        let cache = with_cache.then(|| self.follower.clone());
        let mut reference = Reference { started_at: now, ..Reference::default() };
        if let Some(cache) = &cache {
            let catalog = cache.catalog();
            for (id, line) in catalog.servers.iter() {
                let instance = Instance {
                    address: line.address.clone(),
                    backend: line.backend.clone(),
                    zone: line.zone.clone(),
                    state: line.state,
                    call_seq: None,
                    last_heartbeat: now,
                    warmth_unknown_until: line.cold.is_some().then_some(now),
                    cold_until: 0,
                };
                reference.instances.insert(id.to_string(), instance);
            }
            reference.evacuated_zones = BTreeSet::clone(&catalog.evacuated_zones);
            let removed = self.removed_from_follower.iter();
            let ended = removed.map(|id| (id.clone(), (EndReason::RemovedInCache, String::new())));
            reference.ended = ended.collect();
            let permit_until = now + tuning().takeover_ms + 1_000;
            let known = |ready| KnownGateway { permit_until, ready, life: None };
            let gateways = catalog.roster.iter().map(|line| (line.name.clone(), known(line.ready)));
            reference.gateways = gateways.collect();
        }
        self.leader = TestLeader::from(now, self.leader.register.term() + 1, cache);
        self.reference = reference;
        self.single_leader_cache = WatchCache::new();
        self.leader.register.set_evacuated_zones(now, zones.clone());
        self.reference.evacuate(now, zones);
        self.configure();
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let (now, catalog) = (self.leader.now, self.leader.catalog());
        for line in catalog.servers.values() {
            self.reference.check_line(now, line)?;
        }
        let missing = self.reference.instances.keys().find(|id| !catalog.servers.contains_key(id.as_str()));
        prop_assert!(missing.is_none(), "{} ms: {:?} is missing", now, missing);
        // No two gateways use a permit for the same server.
        let mut holders = BTreeMap::new();
        for (name, gateway) in GATEWAYS.iter().zip(&self.gateways) {
            for (id, line) in gateway.cache.catalog().servers.iter() {
                if SendLimit::of(line, name, now - gateway.sent_at) == SendLimit::WarmupRate {
                    let other = holders.insert(id.clone(), name);
                    let unique = other.is_none();
                    prop_assert!(unique, "{} ms: {} and {:?} use a permit for {}", now, name, other, id);
                }
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("REFERENCE_CASES").map_or(400, |cases| cases.parse().expect("a number")),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x0b37),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_register_and_its_watchers_match_the_reference_model(steps in prop::collection::vec(step(), 1..160)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.run(step)?;
        }
        simulation.run(&Step::Follow)?;
    }
}
