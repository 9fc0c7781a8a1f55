//! Which servers there are: lives by their beats, their states, and who may send to a cold one.

use crate::catalog::WatchCache;
use crate::gateways::Gateways;
use crate::register::{Numbering, Tuning};
use nickeljunction_messages::{ServerInfo, ServerState, WatchAnswer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Ids of lives gone that are told as differences; who lags further behind reads the whole table.
const MOST_GONE: usize = 1_024;

/// Ended lives that are remembered, as many as the agreed log tells at most. Those that end first are forgotten first.
const MOST_PAST: usize = 4_096;

/// What a server's beat tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Where it listens.
    pub address: String,
    /// Its service.
    pub backend: String,
    /// Version of its software; nothing goes by it.
    pub version: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Its state.
    pub state: ServerState,
    /// Rises with each call of a life.
    pub call_seq: u64,
    /// How much longer it is cold, ms; 0: it is warm.
    pub warmup_left_ms: u64,
}

/// What became of a beat. All are acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// What it was.
    pub kind: HeartbeatKind,
    /// Number of the change by which this life's present line was published: when that has come round
    /// ([`crate::Register::propagation`]), so has the life's state.
    pub seq: u64,
}

/// Kinds of beats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatKind {
    /// The life is new here, or back.
    Registered,
    /// Its line changed.
    Changed,
    /// Only its time.
    Unchanged,
    /// Older than one that was heard; ignored.
    Stale,
    /// Its life has ended, by its own word or because another life has its address; ignored.
    Ended,
    /// The leader before may have known its end: its next beat registers it.
    Unconfirmed,
}

/// How a server stands, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerStatus {
    /// As published.
    pub line: ServerInfo,
    /// Its last beat came so long ago, ms, which is longer than servers take; `None`: it beats.
    pub silent_ms: Option<u64>,
}

/// How warm a server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Warmth {
    Warm,
    /// Cold until then, as its last beat told.
    Cold(u64),
    /// Not known until a beat that comes at or after this time.
    Held(u64),
}

/// Which gateway may send to a cold server. Kept while the server is warm: it may turn cold again while a gateway out of
/// reach still goes by the permit of before.
#[derive(Debug, Clone, Default)]
struct Permit {
    holder: Option<String>,
    /// Nobody may get it before: who had it last may still go by it.
    free_at: u64,
}

/// One life.
#[derive(Debug)]
struct Life {
    /// As published.
    line: ServerInfo,
    /// Number of its last change.
    changed: u64,
    /// Of its newest beat. `None`: known from a copy, which doesn't tell it.
    call_seq: Option<u64>,
    /// When its last beat came.
    heard: u64,
    warmth: Warmth,
    permit: Permit,
}

impl Life {
    fn cold(&self) -> Option<String> {
        match self.warmth {
            Warmth::Warm => None,
            Warmth::Cold(_) => Some(self.permit.holder.clone().unwrap_or_default()),
            Warmth::Held(_) => Some(String::new()),
        }
    }

    /// Publishes its warmth if that changed.
    fn publish_warmth(&mut self, numbers: &mut Numbering) -> bool {
        let cold = self.cold();
        let changed = cold != self.line.cold;
        if changed {
            self.line.cold = cold;
            self.changed = numbers.next();
        }
        changed
    }
}

/// Why a life is not in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// By its own word, or its address went to another life.
    Certain,
    /// It was silent: a beat newer than this brings it back.
    Silent(Option<u64>),
    /// It was gone in the copy, nobody knows why.
    Copied,
    /// The same, and one beat came since: a newer one brings it back.
    Heard(u64),
}

/// A life that is not in the table.
#[derive(Debug)]
struct Past {
    end: End,
    address: String,
    /// Forgotten then.
    until: u64,
    /// See [`Permit::free_at`].
    free_at: u64,
}

/// All lives.
#[derive(Debug)]
pub(crate) struct Servers {
    lives: BTreeMap<String, Life>,
    past: BTreeMap<String, Past>,
    /// Number and id of those that went, oldest first.
    gone: VecDeque<(u64, String)>,
    /// Differences can't be told from before this number.
    floor: u64,
    /// Number of the last change.
    changed: u64,
    /// Number of the last life that came, and of the last other change before it.
    arrival: (u64, u64),
    /// A leader before this one may have lent permits that are still gone by.
    permits_from: u64,
    /// Most lives were silent: none is withdrawn before this time.
    patient_until: u64,
}

impl Servers {
    /// From a copy: all of its lives count as heard now.
    pub(crate) fn new(now: u64, tuning: &Tuning, copy: &WatchCache, numbers: &mut Numbering) -> Servers {
        let permits_from = now + tuning.permit_gap_ms;
        let mut servers = Servers {
            lives: BTreeMap::new(),
            past: BTreeMap::new(),
            gone: VecDeque::new(),
            floor: 0,
            changed: numbers.next(),
            arrival: (0, 0),
            permits_from,
            patient_until: 0,
        };
        for (id, line) in copy.catalog().servers.iter() {
            let mut line = ServerInfo::clone(line);
            let warmth = match &mut line.cold {
                None => Warmth::Warm,
                // Whom the old leader gave the permit since is unknown, and how long it stays cold.
                Some(holder) => {
                    holder.clear();
                    Warmth::Held(now)
                }
            };
            let permit = Permit { holder: None, free_at: permits_from };
            let life = Life { line, changed: servers.changed, call_seq: None, heard: now, warmth, permit };
            servers.lives.insert(id.to_string(), life);
        }
        for id in copy.gone() {
            servers.forget(now, tuning, id, End::Copied, String::new(), permits_from);
        }
        servers
    }

    /// See [`crate::Register::apply_departures`].
    pub(crate) fn departed(
        &mut self,
        now: u64,
        tuning: &Tuning,
        draining: &BTreeMap<String, u64>,
        ended: &BTreeSet<String>,
        numbers: &mut Numbering,
    ) {
        for (id, call_seq) in draining {
            let Some(life) = self.lives.get_mut(id) else {
                // Whoever still goes by it is told that it is gone, until its next beat.
                self.forget(now, tuning, id, End::Silent(Some(*call_seq)), String::new(), self.permits_from);
                self.tell_gone(id, numbers);
                continue;
            };
            life.call_seq = life.call_seq.max(Some(*call_seq));
            if life.line.state != ServerState::Draining {
                life.line.state = ServerState::Draining;
                life.changed = numbers.next();
                self.changed = life.changed;
            }
        }
        for id in ended {
            if self.lives.contains_key(id) {
                self.withdraw(now, tuning, id, End::Certain, numbers);
            } else {
                self.forget(now, tuning, id, End::Certain, String::new(), 0);
                self.tell_gone(id, numbers);
            }
        }
    }

    /// State of the life of this id; `None`: it is not in the table.
    pub(crate) fn state(&self, id: &str) -> Option<ServerState> {
        self.lives.get(id).map(|life| life.line.state)
    }

    /// See [`crate::Register::record_heartbeat`].
    pub(crate) fn beat(
        &mut self,
        now: u64,
        tuning: &Tuning,
        gateways: &Gateways,
        id: &str,
        beat: &Heartbeat,
        numbers: &mut Numbering,
    ) -> HeartbeatOutcome {
        let Some(life) = self.lives.get_mut(id) else {
            return self.first_beat(now, tuning, gateways, id, beat, numbers);
        };
        let told_at = life.changed;
        match life.call_seq {
            Some(known) if beat.call_seq < known => {
                return HeartbeatOutcome { kind: HeartbeatKind::Stale, seq: told_at };
            }
            // The same call over another way: it lives, but how long it stays cold was counted from the first arrival.
            Some(known) if beat.call_seq == known => {
                life.heard = now;
                return HeartbeatOutcome { kind: HeartbeatKind::Unchanged, seq: told_at };
            }
            _ => {}
        }
        // Which call said `draining` isn't told by a copy, so that this one may be from before: only the next one may take
        // it back.
        let blind = life.call_seq.is_none() && life.line.state == ServerState::Draining;
        let before = life.line.clone();
        life.call_seq = Some(beat.call_seq);
        life.heard = now;
        life.line = beat.line(id);
        life.line.cold.clone_from(&before.cold);
        if blind {
            life.line.state = ServerState::Draining;
        }
        life.warmth = match life.warmth {
            Warmth::Held(from) if now < from => Warmth::Held(from),
            _ => beat.warmth(now),
        };
        if life.line != before {
            life.changed = numbers.next();
            self.changed = life.changed;
        }
        if beat.address != before.address {
            self.clear_address(now, tuning, id, &beat.address, numbers);
        }
        self.assign(now, tuning, gateways, Some(id), numbers);
        let at = self.lives.get(id).map_or(told_at, |life| life.changed);
        HeartbeatOutcome {
            kind: if at == told_at { HeartbeatKind::Unchanged } else { HeartbeatKind::Changed },
            seq: at,
        }
    }

    /// A beat of a life that isn't in the table.
    fn first_beat(
        &mut self,
        now: u64,
        tuning: &Tuning,
        gateways: &Gateways,
        id: &str,
        beat: &Heartbeat,
        numbers: &mut Numbering,
    ) -> HeartbeatOutcome {
        let at = self.changed;
        let mut free_at = self.permits_from;
        let held = self.lives.values().any(|life| life.line.address == beat.address);
        if let Some(past) = self.past.get_mut(id).filter(|past| now < past.until) {
            let kind = match past.end {
                End::Certain => HeartbeatKind::Ended,
                End::Silent(Some(known)) | End::Heard(known) if beat.call_seq <= known => {
                    HeartbeatKind::Stale
                }
                // Its address has gone to a life that was heard after it.
                _ if held => {
                    past.end = End::Certain;
                    HeartbeatKind::Ended
                }
                End::Copied => {
                    past.end = End::Heard(beat.call_seq);
                    HeartbeatKind::Unconfirmed
                }
                End::Silent(_) | End::Heard(_) => HeartbeatKind::Registered,
            };
            if kind != HeartbeatKind::Registered {
                return HeartbeatOutcome { kind, seq: at };
            }
            free_at = free_at.max(past.free_at);
        }
        self.past.remove(id);
        self.clear_address(now, tuning, id, &beat.address, numbers);
        let others = self.pressing_at();
        let at = numbers.next();
        let mut line = beat.line(id);
        // Told cold from the first: until its permit is given nobody sends.
        line.cold = (beat.warmup_left_ms > 0).then(String::new);
        let life = Life {
            line,
            changed: at,
            call_seq: Some(beat.call_seq),
            heard: now,
            warmth: beat.warmth(now),
            permit: Permit { holder: None, free_at },
        };
        self.changed = at;
        self.lives.insert(id.to_string(), life);
        self.assign(now, tuning, gateways, Some(id), numbers);
        self.arrival = (self.changed, others);
        HeartbeatOutcome {
            kind: HeartbeatKind::Registered,
            seq: self.lives.get(id).map_or(at, |life| life.changed),
        }
    }

    /// No other life than `id` has `address`: the machine gave it to this one, which the others did not outlive.
    fn clear_address(&mut self, now: u64, tuning: &Tuning, id: &str, address: &str, numbers: &mut Numbering) {
        let older = |(other, life): (&String, &Life)| {
            (life.line.address == address && other != id).then(|| other.clone())
        };
        let older: Vec<String> = self.lives.iter().filter_map(older).collect();
        for other in older {
            self.withdraw(now, tuning, &other, End::Certain, numbers);
        }
        for (_, past) in self.past.iter_mut().filter(|(other, past)| past.address == address && *other != id)
        {
            past.end = End::Certain;
        }
    }

    /// See [`crate::Register::remove_server`].
    pub(crate) fn leave(&mut self, now: u64, tuning: &Tuning, id: &str, numbers: &mut Numbering) {
        if self.lives.contains_key(id) {
            self.withdraw(now, tuning, id, End::Certain, numbers);
        } else {
            // Its beats may still be under way, even if none has come.
            self.forget(now, tuning, id, End::Certain, String::new(), 0);
        }
    }

    fn withdraw(&mut self, now: u64, tuning: &Tuning, id: &str, end: End, numbers: &mut Numbering) {
        let Some(life) = self.lives.remove(id) else { return };
        let free_at = match life.permit.holder {
            Some(_) => now + tuning.permit_gap_ms,
            None => life.permit.free_at,
        };
        self.forget(now, tuning, id, end, life.line.address, free_at);
        self.tell_gone(id, numbers);
    }

    /// A life is not in the table any more: who follows is told.
    fn tell_gone(&mut self, id: &str, numbers: &mut Numbering) {
        self.changed = numbers.next();
        self.gone.push_back((self.changed, id.to_string()));
        if self.gone.len() > MOST_GONE {
            if let Some((at, _)) = self.gone.pop_front() {
                self.floor = at;
            }
        }
    }

    /// Remembers that a life is over.
    fn forget(&mut self, now: u64, tuning: &Tuning, id: &str, end: End, address: String, free_at: u64) {
        self.past.insert(id.to_string(), Past { end, address, until: now + tuning.ended_ms, free_at });
        if self.past.len() > MOST_PAST {
            let oldest = self.past.iter().min_by_key(|(_, past)| past.until).map(|(id, _)| id.clone());
            oldest.map(|id| self.past.remove(&id));
        }
    }

    /// This machine stood still for `pause`: nobody was silent in that time.
    pub(crate) fn stood_still(&mut self, now: u64, pause: u64) {
        for life in self.lives.values_mut() {
            life.heard = now.min(life.heard + pause);
        }
    }

    /// Withdraws lives that were silent for too long, unless most are: then this machine was cut off.
    pub(crate) fn expire(&mut self, now: u64, tuning: &Tuning, numbers: &mut Numbering) -> Vec<String> {
        self.past.retain(|_, past| now < past.until);
        let silence = |life: &Life| now.saturating_sub(life.heard);
        // Lives that fell silent together are up to a heartbeat apart.
        let missing = tuning.missing_ms();
        let silent = self.lives.values().filter(|life| silence(life) > missing).count();
        if silent * 2 > self.lives.len() {
            // When the first are back the others get their time, too.
            self.patient_until = now + tuning.silence_ms;
        }
        let bound = if now < self.patient_until { tuning.mass_silence_ms } else { tuning.silence_ms };
        let over =
            |(id, life): (&String, &Life)| (silence(life) > bound).then(|| (id.clone(), life.call_seq));
        let over: Vec<(String, Option<u64>)> = self.lives.iter().filter_map(over).collect();
        for (id, call_seq) in &over {
            self.withdraw(now, tuning, id, End::Silent(*call_seq), numbers);
        }
        over.into_iter().map(|(id, _)| id).collect()
    }

    /// The evacuation of these zones was withdrawn: their servers may have turned cold.
    pub(crate) fn hold(
        &mut self,
        now: u64,
        tuning: &Tuning,
        zones: &BTreeSet<&String>,
        numbers: &mut Numbering,
    ) {
        for life in self.lives.values_mut().filter(|life| zones.contains(&life.line.zone)) {
            life.warmth = Warmth::Held(now + tuning.hold_margin_ms);
            if life.publish_warmth(numbers) {
                self.changed = life.changed;
            }
        }
    }

    /// Lets cold servers get warm by time, and moves permits whose holders are out of reach.
    pub(crate) fn warm(&mut self, now: u64, tuning: &Tuning, gateways: &Gateways, numbers: &mut Numbering) {
        for life in self.lives.values_mut() {
            if matches!(life.warmth, Warmth::Cold(until) if now >= until) {
                life.warmth = Warmth::Warm;
            }
        }
        self.assign(now, tuning, gateways, None, numbers);
    }

    /// Sees to the permits, of all lives or of `only` one, and publishes their warmth.
    fn assign(
        &mut self,
        now: u64,
        tuning: &Tuning,
        gateways: &Gateways,
        only: Option<&str>,
        numbers: &mut Numbering,
    ) {
        let mut wanting = Vec::new();
        let lives = self.lives.iter_mut().filter(|(id, _)| only.is_none_or(|only| only == id.as_str()));
        for (id, life) in lives {
            if matches!(life.warmth, Warmth::Cold(_)) {
                let permit = &mut life.permit;
                if permit.holder.as_ref().is_some_and(|name| !gateways.keeps_permit(now, tuning, name)) {
                    *permit = Permit { holder: None, free_at: now + tuning.permit_gap_ms };
                }
                if permit.holder.is_none()
                    && now >= permit.free_at
                    && life.line.state == ServerState::InService
                {
                    wanting.push(id.clone());
                    continue;
                }
            }
            if life.publish_warmth(numbers) {
                self.changed = life.changed;
            }
        }
        if wanting.is_empty() {
            return;
        }
        let mut load: BTreeMap<String, usize> = BTreeMap::new();
        for life in self.lives.values().filter(|life| matches!(life.warmth, Warmth::Cold(_))) {
            if let Some(holder) = &life.permit.holder {
                *load.entry(holder.clone()).or_default() += 1;
            }
        }
        for id in wanting {
            let Some(life) = self.lives.get_mut(&id) else { continue };
            life.permit.holder = nearest(now, tuning, gateways, &id, &life.line.zone, &load);
            if let Some(holder) = &life.permit.holder {
                *load.entry(holder.clone()).or_default() += 1;
            }
            if life.publish_warmth(numbers) {
                self.changed = life.changed;
            }
        }
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.lives.len()
    }

    /// The published lines.
    pub(crate) fn lines(&self) -> impl Iterator<Item = &ServerInfo> {
        self.lives.values().map(|life| &life.line)
    }

    /// How each stands.
    pub(crate) fn standings(&self, now: u64, tuning: &Tuning) -> Vec<ServerStatus> {
        let standing = |life: &Life| {
            let silent_ms = now.saturating_sub(life.heard);
            let silent_ms = (silent_ms > tuning.missing_ms()).then_some(silent_ms);
            ServerStatus { line: life.line.clone(), silent_ms }
        };
        self.lives.values().map(standing).collect()
    }

    /// Number of the last change that must not wait: of all but arrivals.
    pub(crate) fn pressing_at(&self) -> u64 {
        let (arrived_at, others) = self.arrival;
        if self.changed == arrived_at {
            others
        } else {
            self.changed
        }
    }

    /// Differences from `since` on can be told.
    pub(crate) fn follows(&self, since: u64) -> bool {
        since >= self.floor
    }

    /// All lines.
    pub(crate) fn all(&self) -> Vec<ServerInfo> {
        self.lines().cloned().collect()
    }

    /// Ids of all lives that went under this leader and have not come back.
    pub(crate) fn all_gone(&self) -> Vec<String> {
        let gone = self.gone.iter().filter(|(_, id)| !self.lives.contains_key(id));
        gone.map(|(_, id)| id.clone()).collect()
    }

    /// What changed after `since`, each life once, in its last state.
    pub(crate) fn since(&self, since: u64, answer: &mut WatchAnswer) {
        if self.changed <= since {
            return;
        }
        let fresh = self.lives.values().filter(|life| life.changed > since);
        answer.servers = fresh.map(|life| life.line.clone()).collect();
        let gone = self.gone.iter().rev().take_while(|(at, _)| *at > since);
        // A life that went and came back is among the fresh.
        answer.removed_servers =
            gone.filter(|(_, id)| !self.lives.contains_key(id)).map(|(_, id)| id.clone()).collect();
    }
}

impl Heartbeat {
    fn line(&self, id: &str) -> ServerInfo {
        ServerInfo {
            id: id.to_string(),
            backend: self.backend.clone(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            slots: self.slots,
            state: self.state,
            cold: None,
        }
    }

    fn warmth(&self, now: u64) -> Warmth {
        if self.warmup_left_ms > 0 {
            Warmth::Cold(now.saturating_add(self.warmup_left_ms))
        } else {
            Warmth::Warm
        }
    }
}

/// The gateway to get the permit for a cold server: of its zone, else of its region, else any; of these one that holds
/// fewest, and of those one by a hash, so that servers spread over gateways and leaders agree.
fn nearest(
    now: u64,
    tuning: &Tuning,
    gateways: &Gateways,
    id: &str,
    zone: &str,
    load: &BTreeMap<String, usize>,
) -> Option<String> {
    let region = tuning.zones.get(zone);
    let place = |(name, there): (&str, &str)| {
        let distance = match there == zone {
            true => 0,
            false if region.is_some() && tuning.zones.get(there) == region => 1,
            false => 2,
        };
        (distance, load.get(name).copied().unwrap_or(0), hash(id, name))
    };
    gateways.ready(now).min_by_key(|gateway| place(*gateway)).map(|(name, _)| name.to_string())
}

/// FNV-1a of both, 64 bits.
fn hash(id: &str, name: &str) -> u64 {
    let bytes = id.bytes().chain([0]).chain(name.bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
