//! Long histories drawn by chance, shrunk where they fail: the true register and its watchers against a plain reference,
//! which reads the list of events and knows nothing of numbers, differences and permits.

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
/// Between two ticks of the register.
const TICK_MS: u64 = 250;
/// A gateway keeps a permit for so long after its last call at most: its hold, the slack, the patience.
const KEEPS_MS: u64 = 1_000 + 1_200 + 1_000;

#[derive(Debug, Clone)]
enum Step {
    Beat {
        server: usize,
        address: usize,
        drains: bool,
        cold_ms: u64,
    },
    /// A beat of before comes once more: so many beats ago.
    Late(usize),
    Leave(usize),
    /// A crash; the next beat is another life's, of the other service, at the same address.
    Restart(usize),
    Wait(u64),
    /// A gateway asks and is answered; the call was sent so long ago.
    Ask {
        gateway: usize,
        ready: bool,
        held_ms: u64,
    },
    Breaks(usize),
    /// A gateway's process ends, another one begins.
    Reborn(usize),
    /// A gateway hears an answer of before, of another one maybe: so many answers ago.
    Stale(usize, usize),
    Follow,
    Evacuate(usize),
    Configure,
    /// The follower leads, or one without a copy.
    TakeOver(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let beat = (0..SERVERS, 0..SERVERS + 12, prop::bool::weighted(0.15));
    let cold = prop_oneof![Just(0), Just(0), 500..20_000_u64];
    let ask = (0..GATEWAYS.len(), prop::bool::weighted(0.9), 0..1_000_u64);
    prop_oneof![
        14 => (beat, cold).prop_map(|((server, address, drains), cold_ms)| {
            // Mostly its own address.
            let address = if address < SERVERS { address } else { server };
            Step::Beat { server, address, drains, cold_ms }
        }),
        2 => (1..30_usize).prop_map(Step::Late),
        1 => (0..SERVERS).prop_map(Step::Leave),
        1 => (0..SERVERS).prop_map(Step::Restart),
        6 => (1..2_500_u64).prop_map(Step::Wait),
        12 => ask.prop_map(|(gateway, ready, held_ms)| Step::Ask { gateway, ready, held_ms }),
        1 => (0..GATEWAYS.len()).prop_map(Step::Breaks),
        1 => (0..GATEWAYS.len()).prop_map(Step::Reborn),
        1 => (0..GATEWAYS.len(), 1..20_usize).prop_map(|(gateway, ago)| Step::Stale(gateway, ago)),
        4 => Just(Step::Follow),
        1 => (0..8_usize).prop_map(Step::Evacuate),
        1 => Just(Step::Configure),
        1 => prop::bool::ANY.prop_map(Step::TakeOver),
    ]
}

// ---- The reference ----

/// A life that may be there.
#[derive(Debug, Clone, PartialEq)]
struct Life {
    address: String,
    backend: String,
    zone: String,
    state: ServerState,
    /// Number of the newest beat heard; `None`: from a copy.
    beat: Option<u64>,
    heard: u64,
    /// Nobody knows whether it is cold, until a beat at this time or later.
    held: Option<u64>,
    cold_until: u64,
}

/// Why a life is not there.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    /// It said so, or its address is another one's.
    Final,
    /// It was silent after this beat: only a newer one counts.
    Silent(Option<u64>),
    /// The leader before knew of its end, and maybe why.
    Hearsay,
}

/// What one leader's events make of the servers.
#[derive(Debug, Clone, Default)]
struct Reference {
    began: u64,
    lives: BTreeMap<String, Life>,
    /// And the address that it had.
    ends: BTreeMap<String, (End, String)>,
    zones: BTreeSet<String>,
    /// Of gateways: until when it may keep a permit, whether it is ready, and the life that called.
    gateways: BTreeMap<String, (u64, bool, Option<u64>)>,
}

impl Reference {
    fn beat(&mut self, now: u64, id: &str, told: &Heartbeat) {
        let mut state = told.state;
        let mut held = None;
        if let Some(life) = self.lives.get_mut(id) {
            match life.beat {
                Some(known) if told.call_seq < known => return,
                Some(known) if told.call_seq == known => {
                    life.heard = now;
                    return;
                }
                // The drain may be the newer word.
                None if life.state == ServerState::Draining => state = ServerState::Draining,
                _ => {}
            }
            held = life.held.filter(|from| now < *from);
        } else if let Some((end, _)) = self.ends.get(id).cloned() {
            let taken = self.lives.values().any(|life| life.address == told.address);
            let next = match end {
                End::Final => return,
                End::Silent(Some(known)) if told.call_seq <= known => return,
                _ if taken => End::Final,
                End::Hearsay => End::Silent(Some(told.call_seq)),
                End::Silent(_) => End::Silent(None),
            };
            if next != End::Silent(None) {
                self.ends.entry(id.into()).and_modify(|(end, _)| *end = next);
                return;
            }
        }
        let moved = self.lives.get(id).is_none_or(|life| life.address != told.address);
        let cold_until = if told.warmup_left_ms > 0 { now + told.warmup_left_ms } else { 0 };
        let life = Life {
            address: told.address.clone(),
            backend: told.backend.clone(),
            zone: told.zone.clone(),
            state,
            beat: Some(told.call_seq),
            heard: now,
            held,
            cold_until,
        };
        self.ends.remove(id);
        self.lives.insert(id.into(), life);
        if moved {
            // A machine gives an address to one life at a time, this one.
            let same = |(other, life): (&String, &Life)| {
                (other != id && life.address == told.address).then(|| other.clone())
            };
            let older: Vec<String> = self.lives.iter().filter_map(same).collect();
            older.iter().for_each(|other| self.end(other, End::Final));
            let ends = self.ends.values_mut().filter(|(_, address)| *address == told.address);
            ends.for_each(|(end, _)| *end = End::Final);
        }
    }

    fn end(&mut self, id: &str, end: End) {
        let address = self.lives.remove(id).map_or(String::new(), |life| life.address);
        self.ends.insert(id.into(), (end, address));
    }

    fn evacuate(&mut self, now: u64, zones: BTreeSet<String>) {
        for life in self.lives.values_mut() {
            if self.zones.contains(&life.zone) && !zones.contains(&life.zone) {
                life.held = Some(now + 200);
            }
        }
        self.zones = zones;
    }

    /// What is published of a life, but for who has the permit.
    fn check_line(&self, now: u64, line: &ServerInfo) -> Result<(), TestCaseError> {
        let life = self.lives.get(&line.id);
        prop_assert!(life.is_some(), "{} ms: {} is there", now, line.id);
        let life = life.unwrap();
        let told = (&line.address, &line.backend, line.state);
        prop_assert_eq!(told, (&life.address, &life.backend, life.state), "{} ms: {}", now, line.id);
        let cold = life.held.is_some() || now < life.cold_until;
        let warm = life.held.is_none() && now >= life.cold_until + TICK_MS;
        prop_assert!(line.cold.is_some() || !cold, "{} ms: {} is cold", now, line.id);
        prop_assert!(line.cold.is_none() || !warm, "{} ms: {} is warm", now, line.id);
        Ok(())
    }

    /// Right after a tick: silent lives are gone in the end, and holders of permits are there.
    fn check_times(&self, now: u64, lines: &BTreeMap<Rc<str>, Rc<ServerInfo>>) -> Result<(), TestCaseError> {
        for (id, life) in &self.lives {
            let most = tuning().mass_silence_ms;
            prop_assert!(now <= life.heard + most, "{} ms: {} is silent since {}", now, id, life.heard);
        }
        let permits =
            lines.values().filter_map(|line| line.cold.as_ref()).filter(|holder| !holder.is_empty());
        for holder in permits {
            let there =
                self.gateways.get(holder).is_some_and(|(until, ready, _)| *ready && now < until + TICK_MS);
            prop_assert!(there, "{} ms: {} has a permit: {:?}", now, holder, self.gateways.get(holder));
            prop_assert!(now >= self.began + tuning().permit_gap_ms, "{} ms: too early for {}", now, holder);
        }
        Ok(())
    }
}

// ---- The true machines ----

/// A gateway's process.
#[derive(Clone, Default)]
struct Gateway {
    copy: WatchCache,
    life: u64,
    /// When it sent the call that told it.
    sent_at: u64,
}

struct World {
    cluster: Cluster,
    gateways: Vec<Gateway>,
    follower: WatchCache,
    /// Lives that went, by the follower's answers.
    follower_gone: BTreeSet<String>,
    /// One that has read this leader alone.
    reader: WatchCache,
    reference: Reference,
    /// Of each server: life and newest beat's number.
    servers: [(u64, u64); SERVERS],
    beats: Vec<(String, Heartbeat)>,
    answers: Vec<WatchAnswer>,
    version: u64,
}

impl World {
    fn new() -> World {
        let cluster = Cluster::new();
        World {
            reference: Reference { began: cluster.now, ..Reference::default() },
            cluster,
            gateways: vec![Gateway::default(); GATEWAYS.len()],
            follower: WatchCache::new(),
            follower_gone: BTreeSet::new(),
            reader: WatchCache::new(),
            servers: [(0, 10); SERVERS],
            beats: Vec::new(),
            answers: Vec::new(),
            version: 0,
        }
    }

    fn id(&self, server: usize) -> String {
        format!("i{server}-{}", self.servers[server].0)
    }

    fn beat(&mut self, id: &str, told: &Heartbeat) {
        self.cluster.beat(id, told);
        self.reference.beat(self.cluster.now, id, told);
    }

    fn play(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let now = self.cluster.now;
        match *step {
            Step::Beat { server, address, drains, cold_ms } => {
                self.servers[server].1 += 1;
                let (life, call_seq) = self.servers[server];
                let mut told = cold(&format!("m{address}:1"), ZONES[server % 3], call_seq, cold_ms);
                told.backend = ["bookdesk", "eligcheck"][life as usize % 2].into();
                if drains {
                    told.state = ServerState::Draining;
                }
                let id = self.id(server);
                self.beat(&id, &told);
                self.beats.push((id, told));
            }
            Step::Late(ago) => {
                if let Some((id, told)) = self.beats.iter().rev().nth(ago).cloned() {
                    self.beat(&id, &told);
                }
            }
            Step::Leave(server) => {
                let id = self.id(server);
                self.cluster.register.remove_server(now, &id);
                self.reference.end(&id, End::Final);
                self.servers[server].0 += 1;
            }
            Step::Restart(server) => self.servers[server].0 += 1,
            Step::Wait(ms) => self.wait(ms)?,
            Step::Ask { gateway, ready, held_ms } => self.ask(gateway, ready, held_ms)?,
            Step::Breaks(gateway) => {
                let (name, life) = (GATEWAYS[gateway], self.gateways[gateway].life);
                self.cluster.register.gateway_disconnected(now, name, life);
                let known = self.reference.gateways.get_mut(name).filter(|known| known.2 == Some(life));
                if let Some((until, ..)) = known {
                    *until = (*until).min(now + 1_000);
                }
            }
            Step::Reborn(gateway) => {
                let life = self.gateways[gateway].life + 1;
                self.gateways[gateway] = Gateway { life, ..Gateway::default() };
            }
            Step::Stale(gateway, ago) => {
                let copy = &mut self.gateways[gateway].copy;
                let (known, catalog) = ((copy.term(), copy.seq()), copy.catalog());
                let answer = self.answers.iter().rev().nth(ago).filter(|old| (old.term, old.seq) < known);
                if let Some(answer) = answer.cloned() {
                    prop_assert!(copy.apply(answer).is_err(), "{} ms: led back", now);
                    prop_assert!(Rc::ptr_eq(&catalog, &copy.catalog()));
                }
            }
            Step::Follow => {
                let applied = self.cluster.tell(&mut self.follower, Caller::Core).unwrap_or_default();
                let gone = applied.removed_servers;
                let there = self.follower.catalog();
                self.follower_gone.extend(gone.iter().map(|id| id.to_string()));
                self.follower_gone.retain(|id| !there.servers.contains_key(id.as_str()));
                self.cluster.tell(&mut self.reader, Caller::Core);
                prop_assert_eq!(
                    &*self.reader.catalog(),
                    &*self.cluster.catalog(),
                    "{} ms: what differs",
                    now
                );
                prop_assert_eq!(self.cluster.tell(&mut self.reader, Caller::Core), None);
            }
            Step::Evacuate(zones) => {
                let chosen = (0..3).filter(|bit| zones & (1 << bit) != 0).map(|bit| ZONES[bit].to_string());
                let chosen: BTreeSet<String> = chosen.collect();
                self.cluster.register.set_evacuated_zones(now, chosen.clone());
                self.reference.evacuate(now, chosen);
            }
            Step::Configure => {
                self.version += 2;
                self.configure();
            }
            Step::TakeOver(copy) => self.take_over(copy),
        }
        self.check()
    }

    fn wait(&mut self, ms: u64) -> Result<(), TestCaseError> {
        let end = self.cluster.now + ms;
        while self.cluster.now < end {
            self.cluster.wait(TICK_MS.min(end - self.cluster.now));
            let now = self.cluster.now;
            for id in std::mem::take(&mut self.cluster.expired) {
                let life = self.reference.lives.get(&id);
                let (heard, beat) = life.map_or((now, None), |life| (life.heard, life.beat));
                prop_assert!(heard + tuning().silence_ms < now, "{} ms: {} beat at {}", now, id, heard);
                self.reference.end(&id, End::Silent(beat));
            }
            self.check()?;
            self.reference.check_times(now, &self.cluster.catalog().servers)?;
        }
        Ok(())
    }

    fn ask(&mut self, number: usize, ready: bool, held_ms: u64) -> Result<(), TestCaseError> {
        let (now, name) = (self.cluster.now, GATEWAYS[number]);
        let gateway = &mut self.gateways[number];
        let told = Some(line(name, ZONES[number % 3], ready));
        let call = gateway.copy.watch_call(Caller::Gateway, name, gateway.life, told, 1_000);
        self.cluster.register.record_watch_call(now, &call);
        self.reference.gateways.insert(name.into(), (now + KEEPS_MS, ready, Some(call.incarnation)));
        let answer = self.cluster.register.answer(self.cluster.now, &call, 0);
        let answer = answer.unwrap_or_else(|| self.cluster.register.empty_answer(0));
        self.answers.push(answer.clone());
        let (before, turn) = (gateway.copy.catalog(), gateway.copy.term() < answer.term);
        prop_assert!(gateway.copy.apply(answer).is_ok(), "{} ms: refused by {}", now, name);
        gateway.sent_at = gateway.sent_at.max(now.saturating_sub(held_ms));
        // What it may send to now is there, stays, and is in a zone that is not evacuated.
        let catalog = gateway.copy.catalog();
        prop_assert_eq!(catalog.version(), self.version);
        prop_assert_eq!(&*catalog.evacuated_zones, &self.reference.zones);
        let whole = !self.cluster.register.is_gathering();
        let truth = self.cluster.catalog();
        for (id, line) in catalog.servers.iter() {
            let drained = before.servers.get(id).is_some_and(|old| old.state == ServerState::Draining);
            let back = turn && drained && line.state == ServerState::InService;
            prop_assert!(!back, "{} ms: {} takes {} back from its drain", now, name, id);
            if send_block(line, name, |zone| catalog.evacuated_zones.contains(zone)).is_some() {
                continue;
            }
            let Some(own) = truth.servers.get(id) else {
                prop_assert!(!whole, "{} ms: {} sends to {}, which is gone", now, name, id);
                prop_assert!(
                    line.cold.is_none(),
                    "{} ms: {} has the last leader's permit for {}",
                    now,
                    name,
                    id
                );
                continue;
            };
            let bar = send_block(own, name, |zone| self.reference.zones.contains(zone));
            prop_assert!(bar.is_none(), "{} ms: {} sends to {}: {:?}", now, name, id, bar);
        }
        if whole {
            let lost = truth.servers.keys().find(|id| !catalog.servers.contains_key(*id));
            prop_assert!(lost.is_none(), "{} ms: {} lacks {:?}", now, name, lost);
        }
        Ok(())
    }

    fn configure(&mut self) {
        let doc = serde_json::json!({ "config_version": self.version });
        let digest = DocumentDigest::of(&doc);
        let line = VersionedConfig { version: self.version, document: doc };
        self.cluster.register.set_config(Rc::new(line), digest, ConfigHistory::default());
    }

    fn take_over(&mut self, copy: bool) {
        let (now, zones) = (self.cluster.now, self.reference.zones.clone());
        let copy = copy.then(|| self.follower.clone());
        let mut reference = Reference { began: now, ..Reference::default() };
        if let Some(copy) = &copy {
            let catalog = copy.catalog();
            for (id, line) in catalog.servers.iter() {
                let life = Life {
                    address: line.address.clone(),
                    backend: line.backend.clone(),
                    zone: line.zone.clone(),
                    state: line.state,
                    beat: None,
                    heard: now,
                    held: line.cold.is_some().then_some(now),
                    cold_until: 0,
                };
                reference.lives.insert(id.to_string(), life);
            }
            reference.zones = BTreeSet::clone(&catalog.evacuated_zones);
            let hearsay = self.follower_gone.iter().map(|id| (id.clone(), (End::Hearsay, String::new())));
            reference.ends = hearsay.collect();
            let until = now + tuning().takeover_ms + 1_000;
            let roster = catalog.roster.iter().map(|line| (line.name.clone(), (until, line.ready, None)));
            reference.gateways = roster.collect();
        }
        self.cluster = Cluster::from(now, self.cluster.register.term() + 1, copy);
        self.reference = reference;
        self.reader = WatchCache::new();
        self.cluster.register.set_evacuated_zones(now, zones.clone());
        self.reference.evacuate(now, zones);
        self.configure();
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let (now, catalog) = (self.cluster.now, self.cluster.catalog());
        for line in catalog.servers.values() {
            self.reference.check_line(now, line)?;
        }
        let lost = self.reference.lives.keys().find(|id| !catalog.servers.contains_key(id.as_str()));
        prop_assert!(lost.is_none(), "{} ms: {:?} is not there", now, lost);
        // No two gateways go by a permit for one life.
        let mut holders = BTreeMap::new();
        for (name, gateway) in GATEWAYS.iter().zip(&self.gateways) {
            for (id, line) in gateway.copy.catalog().servers.iter() {
                if SendLimit::of(line, name, now - gateway.sent_at) == SendLimit::WarmupRate {
                    let other = holders.insert(id.clone(), name);
                    prop_assert!(other.is_none(), "{} ms: {} and {:?} go by {}", now, name, other, id);
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
    fn the_register_and_its_watchers_do_as_the_reference_says(steps in prop::collection::vec(step(), 1..160)) {
        let mut world = World::new();
        for step in &steps {
            world.play(step)?;
        }
        world.play(&Step::Follow)?;
    }
}
