//! Which server instances exist, as far as their heartbeats show, their states, and which gateway may send to a cold one.

use crate::catalog::WatchCache;
use crate::gateways::Gateways;
use crate::register::{Sequence, Tuning};
use nickeljunction_messages::{ServerInfo, ServerState, WatchAnswer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Removals that can be sent as differences. A watcher that is further behind receives the whole table.
const MAX_REMOVED: usize = 1_024;

/// Former instances that are remembered; the replicated log holds no more departures than that. Those whose time ends
/// first are dropped first.
const MAX_FORMER: usize = 4_096;

/// A server's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Where the server listens.
    pub address: String,
    /// Name of its service.
    pub backend: String,
    /// Version of its software; not evaluated.
    pub version: String,
    /// Zone in which it runs.
    pub zone: String,
    /// Number of requests that it processes at the same time.
    pub slots: u32,
    /// Its state.
    pub state: ServerState,
    /// Increases with each call of an instance.
    pub call_seq: u64,
    /// Remaining time for which the server is cold, ms; 0: it is warm.
    pub warmup_left_ms: u64,
}

/// What came of a heartbeat. Every heartbeat is acknowledged, whatever its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// What the heartbeat changed.
    pub kind: HeartbeatKind,
    /// Sequence number of the change that published the instance's current line. Gateways that have received that change
    /// ([`crate::Register::propagation`]) have the instance's current state.
    pub seq: u64,
}

/// Kinds of heartbeats, by what they changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatKind {
    /// The instance was added to the table, for the first time or again.
    Registered,
    /// The instance's line changed.
    Changed,
    /// Only the time of the last heartbeat changed.
    Unchanged,
    /// Older than a heartbeat that was processed before; ignored.
    Stale,
    /// The instance has ended: it announced its end, or another instance has its address. Ignored.
    Ended,
    /// The previous leader may have known that the instance has ended. Its next heartbeat registers it.
    Unconfirmed,
}

/// The status of a server instance, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerStatus {
    /// As published.
    pub line: ServerInfo,
    /// Time since the last heartbeat, ms, if that is longer than usual; `None`: heartbeats arrive as usual.
    pub silent_ms: Option<u64>,
}

/// How warm a server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Warmth {
    Warm,
    /// Cold until this time, according to its last heartbeat.
    Cold(u64),
    /// Unknown until a heartbeat arrives at or after this time.
    Unknown(u64),
}

/// Which gateway may send to a cold server. Kept while the server is warm, because it may turn cold again while a
/// disconnected gateway still uses its earlier permit.
#[derive(Debug, Clone, Default)]
struct Permit {
    holder: Option<String>,
    /// No gateway may receive the permit before this time, because its last holder may still use it.
    free_at: u64,
}

/// One server instance: one process of a server, from its start to its end.
#[derive(Debug)]
struct Instance {
    /// As published.
    line: ServerInfo,
    /// Sequence number of the line's last change.
    changed_seq: u64,
    /// `call_seq` of the newest heartbeat. `None`: the instance was taken over from a cache, which doesn't contain it.
    call_seq: Option<u64>,
    /// Time of the last heartbeat.
    last_heartbeat: u64,
    warmth: Warmth,
    permit: Permit,
}

impl Instance {
    /// The value of `ServerLine::cold` to publish.
    fn cold(&self) -> Option<String> {
        match self.warmth {
            Warmth::Warm => None,
            Warmth::Cold(_) => Some(self.permit.holder.clone().unwrap_or_default()),
            Warmth::Unknown(_) => Some(String::new()),
        }
    }

    /// Publishes warmth and permit if they changed. Returns whether they did.
    fn publish_warmth(&mut self, sequence: &mut Sequence) -> bool {
        let cold = self.cold();
        let changed = cold != self.line.cold;
        if changed {
            self.line.cold = cold;
            self.changed_seq = sequence.next();
        }
        changed
    }
}

/// Why an instance is not in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndReason {
    /// It announced its end, or another instance has its address.
    Confirmed,
    /// It was silent. A heartbeat newer than this one registers it again.
    Silent(Option<u64>),
    /// The cache listed it as removed, for an unknown reason.
    RemovedInCache,
    /// The cache listed it as removed, and one heartbeat has arrived since. A newer one registers it again.
    HeardOnce(u64),
}

/// An instance that is not in the table any more.
#[derive(Debug)]
struct FormerInstance {
    reason: EndReason,
    address: String,
    /// Dropped at this time.
    until: u64,
    /// See [`Permit::free_at`].
    permit_free_at: u64,
}

/// All server instances.
#[derive(Debug)]
pub(crate) struct Servers {
    instances: BTreeMap<String, Instance>,
    former: BTreeMap<String, FormerInstance>,
    /// Sequence number and id of each removed instance, oldest first.
    removed: VecDeque<(u64, String)>,
    /// Differences are available only from this sequence number on.
    oldest_seq: u64,
    /// Sequence number of the last change.
    changed_seq: u64,
    /// Sequence number after the last registration.
    registered_seq: u64,
    /// Sequence number of the last other change before that registration.
    urgent_before_registered: u64,
    /// Permits that earlier leaders gave out may be in use until this time.
    permits_from: u64,
    /// Until this time [`Tuning::mass_silence_ms`] applies, because most instances were silent.
    mass_silence_until: u64,
}

impl Servers {
    /// Starts from a cache, whose instances count as having sent a heartbeat now.
    pub(crate) fn new(now: u64, tuning: &Tuning, cache: &WatchCache, sequence: &mut Sequence) -> Servers {
        let permits_from = now + tuning.permit_gap_ms;
        let mut servers = Servers {
            instances: BTreeMap::new(),
            former: BTreeMap::new(),
            removed: VecDeque::new(),
            oldest_seq: 0,
            changed_seq: sequence.next(),
            registered_seq: 0,
            urgent_before_registered: 0,
            permits_from,
            mass_silence_until: 0,
        };
        for (id, line) in cache.catalog().servers.iter() {
            let mut line = ServerInfo::clone(line);
            let warmth = match &mut line.cold {
                None => Warmth::Warm,
                // Neither the gateway to which the old leader last gave the permit nor the remaining time is known.
                Some(holder) => {
                    holder.clear();
                    Warmth::Unknown(now)
                }
            };
            let instance = Instance {
                line,
                changed_seq: servers.changed_seq,
                call_seq: None,
                last_heartbeat: now,
                warmth,
                permit: Permit { holder: None, free_at: permits_from },
            };
            servers.instances.insert(id.to_string(), instance);
        }
        for id in cache.recently_removed() {
            servers.remember_end(now, tuning, id, EndReason::RemovedInCache, String::new(), permits_from);
        }
        servers
    }

    /// See [`crate::Register::apply_departures`].
    pub(crate) fn apply_departures(
        &mut self,
        now: u64,
        tuning: &Tuning,
        draining: &BTreeMap<String, u64>,
        ended: &BTreeSet<String>,
        sequence: &mut Sequence,
    ) {
        for (id, call_seq) in draining {
            let Some(instance) = self.instances.get_mut(id) else {
                // Gateways that still have the instance receive its removal. Its next heartbeat registers it again.
                let reason = EndReason::Silent(Some(*call_seq));
                self.remember_end(now, tuning, id, reason, String::new(), self.permits_from);
                self.publish_removal(id, sequence);
                continue;
            };
            instance.call_seq = instance.call_seq.max(Some(*call_seq));
            if instance.line.state != ServerState::Draining {
                instance.line.state = ServerState::Draining;
                instance.changed_seq = sequence.next();
                self.changed_seq = instance.changed_seq;
            }
        }
        for id in ended {
            if self.instances.contains_key(id) {
                self.end_instance(now, tuning, id, EndReason::Confirmed, sequence);
            } else {
                self.remember_end(now, tuning, id, EndReason::Confirmed, String::new(), 0);
                self.publish_removal(id, sequence);
            }
        }
    }

    /// State of the instance `id`; `None`: it is not in the table.
    pub(crate) fn state(&self, id: &str) -> Option<ServerState> {
        self.instances.get(id).map(|instance| instance.line.state)
    }

    /// See [`crate::Register::record_heartbeat`].
    pub(crate) fn record_heartbeat(
        &mut self,
        now: u64,
        tuning: &Tuning,
        gateways: &Gateways,
        id: &str,
        heartbeat: &Heartbeat,
        sequence: &mut Sequence,
    ) -> HeartbeatOutcome {
        let Some(instance) = self.instances.get_mut(id) else {
            return self.record_unregistered(now, tuning, gateways, id, heartbeat, sequence);
        };
        let previous_seq = instance.changed_seq;
        match instance.call_seq {
            Some(newest) if heartbeat.call_seq < newest => {
                return HeartbeatOutcome { kind: HeartbeatKind::Stale, seq: previous_seq };
            }
            // The same call arrived by another path. The server is alive, but its remaining cold time counts from the
            // first arrival.
            Some(newest) if heartbeat.call_seq == newest => {
                instance.last_heartbeat = now;
                return HeartbeatOutcome { kind: HeartbeatKind::Unchanged, seq: previous_seq };
            }
            _ => {}
        }
        // A cache doesn't contain the call that announced `draining`, so this heartbeat may be older than that. Only the
        // next one may return the instance to service.
        let maybe_before_drain = instance.call_seq.is_none() && instance.line.state == ServerState::Draining;
        let previous = instance.line.clone();
        instance.call_seq = Some(heartbeat.call_seq);
        instance.last_heartbeat = now;
        instance.line = heartbeat.line(id);
        instance.line.cold.clone_from(&previous.cold);
        if maybe_before_drain {
            instance.line.state = ServerState::Draining;
        }
        instance.warmth = match instance.warmth {
            Warmth::Unknown(from) if now < from => Warmth::Unknown(from),
            _ => heartbeat.warmth(now),
        };
        if instance.line != previous {
            instance.changed_seq = sequence.next();
            self.changed_seq = instance.changed_seq;
        }
        if heartbeat.address != previous.address {
            self.end_others_at(now, tuning, id, &heartbeat.address, sequence);
        }
        self.assign_permits(now, tuning, gateways, Some(id), sequence);
        let seq = self.instances.get(id).map_or(previous_seq, |instance| instance.changed_seq);
        let kind = if seq == previous_seq { HeartbeatKind::Unchanged } else { HeartbeatKind::Changed };
        HeartbeatOutcome { kind, seq }
    }

    /// Records a heartbeat of an instance that is not in the table.
    fn record_unregistered(
        &mut self,
        now: u64,
        tuning: &Tuning,
        gateways: &Gateways,
        id: &str,
        heartbeat: &Heartbeat,
        sequence: &mut Sequence,
    ) -> HeartbeatOutcome {
        let seq = self.changed_seq;
        let mut permit_free_at = self.permits_from;
        let address_in_use =
            self.instances.values().any(|instance| instance.line.address == heartbeat.address);
        if let Some(former) = self.former.get_mut(id).filter(|former| now < former.until) {
            let kind = match former.reason {
                EndReason::Confirmed => HeartbeatKind::Ended,
                EndReason::Silent(Some(newest)) | EndReason::HeardOnce(newest)
                    if heartbeat.call_seq <= newest =>
                {
                    HeartbeatKind::Stale
                }
                // The address belongs to an instance that sent a heartbeat after this one had ended.
                _ if address_in_use => {
                    former.reason = EndReason::Confirmed;
                    HeartbeatKind::Ended
                }
                EndReason::RemovedInCache => {
                    former.reason = EndReason::HeardOnce(heartbeat.call_seq);
                    HeartbeatKind::Unconfirmed
                }
                EndReason::Silent(_) | EndReason::HeardOnce(_) => HeartbeatKind::Registered,
            };
            if kind != HeartbeatKind::Registered {
                return HeartbeatOutcome { kind, seq };
            }
            permit_free_at = permit_free_at.max(former.permit_free_at);
        }
        self.former.remove(id);
        self.end_others_at(now, tuning, id, &heartbeat.address, sequence);
        let urgent_seq = self.urgent_seq();
        let seq = sequence.next();
        let mut line = heartbeat.line(id);
        // Published as cold from the start: no gateway sends to it before its permit is assigned.
        line.cold = (heartbeat.warmup_left_ms > 0).then(String::new);
        let instance = Instance {
            line,
            changed_seq: seq,
            call_seq: Some(heartbeat.call_seq),
            last_heartbeat: now,
            warmth: heartbeat.warmth(now),
            permit: Permit { holder: None, free_at: permit_free_at },
        };
        self.changed_seq = seq;
        self.instances.insert(id.to_string(), instance);
        self.assign_permits(now, tuning, gateways, Some(id), sequence);
        (self.registered_seq, self.urgent_before_registered) = (self.changed_seq, urgent_seq);
        let seq = self.instances.get(id).map_or(seq, |instance| instance.changed_seq);
        HeartbeatOutcome { kind: HeartbeatKind::Registered, seq }
    }

    /// Ends all other instances at `address`: since `id` has received the address, they no longer exist.
    fn end_others_at(&mut self, now: u64, tuning: &Tuning, id: &str, address: &str, sequence: &mut Sequence) {
        let same_address = |(other, instance): (&String, &Instance)| {
            (instance.line.address == address && other != id).then(|| other.clone())
        };
        let others: Vec<String> = self.instances.iter().filter_map(same_address).collect();
        for other in others {
            self.end_instance(now, tuning, &other, EndReason::Confirmed, sequence);
        }
        for (other, former) in self.former.iter_mut() {
            if former.address == address && other != id {
                former.reason = EndReason::Confirmed;
            }
        }
    }

    /// See [`crate::Register::remove_server`].
    pub(crate) fn remove(&mut self, now: u64, tuning: &Tuning, id: &str, sequence: &mut Sequence) {
        if self.instances.contains_key(id) {
            self.end_instance(now, tuning, id, EndReason::Confirmed, sequence);
        } else {
            // Heartbeats may still be on their way, even if none has arrived yet.
            self.remember_end(now, tuning, id, EndReason::Confirmed, String::new(), 0);
        }
    }

    fn end_instance(
        &mut self,
        now: u64,
        tuning: &Tuning,
        id: &str,
        reason: EndReason,
        sequence: &mut Sequence,
    ) {
        let Some(instance) = self.instances.remove(id) else { return };
        let permit_free_at = match instance.permit.holder {
            Some(_) => now + tuning.permit_gap_ms,
            None => instance.permit.free_at,
        };
        self.remember_end(now, tuning, id, reason, instance.line.address, permit_free_at);
        self.publish_removal(id, sequence);
    }

    /// Publishes that an instance is not in the table any more.
    fn publish_removal(&mut self, id: &str, sequence: &mut Sequence) {
        self.changed_seq = sequence.next();
        self.removed.push_back((self.changed_seq, id.to_string()));
        if self.removed.len() > MAX_REMOVED {
            if let Some((seq, _)) = self.removed.pop_front() {
                self.oldest_seq = seq;
            }
        }
    }

    /// Remembers that an instance has ended.
    fn remember_end(
        &mut self,
        now: u64,
        tuning: &Tuning,
        id: &str,
        reason: EndReason,
        address: String,
        permit_free_at: u64,
    ) {
        let former = FormerInstance { reason, address, until: now + tuning.ended_memory_ms, permit_free_at };
        self.former.insert(id.to_string(), former);
        if self.former.len() > MAX_FORMER {
            let oldest = self.former.iter().min_by_key(|(_, former)| former.until).map(|(id, _)| id.clone());
            oldest.map(|id| self.former.remove(&id));
        }
    }

    /// This process was suspended for `pause`, which doesn't count as silence of any server.
    pub(crate) fn discount_pause(&mut self, now: u64, pause: u64) {
        for instance in self.instances.values_mut() {
            instance.last_heartbeat = now.min(instance.last_heartbeat + pause);
        }
    }

    /// Removes instances that were silent for too long, and returns their ids. While most are silent the longer bound
    /// applies, because then this machine was probably cut off.
    pub(crate) fn expire(&mut self, now: u64, tuning: &Tuning, sequence: &mut Sequence) -> Vec<String> {
        self.former.retain(|_, former| now < former.until);
        let silence = |instance: &Instance| now.saturating_sub(instance.last_heartbeat);
        // The last heartbeats of instances that became silent together are up to one heartbeat interval apart.
        let report_bound = tuning.silence_report_ms();
        let silent = self.instances.values().filter(|instance| silence(instance) > report_bound).count();
        if silent * 2 > self.instances.len() {
            // Extended, so that after the first instances have returned the others still have time to do so.
            self.mass_silence_until = now + tuning.silence_ms;
        }
        let bound = if now < self.mass_silence_until { tuning.mass_silence_ms } else { tuning.silence_ms };
        let expired = |(id, instance): (&String, &Instance)| {
            (silence(instance) > bound).then(|| (id.clone(), instance.call_seq))
        };
        let expired: Vec<(String, Option<u64>)> = self.instances.iter().filter_map(expired).collect();
        for (id, call_seq) in &expired {
            self.end_instance(now, tuning, id, EndReason::Silent(*call_seq), sequence);
        }
        expired.into_iter().map(|(id, _)| id).collect()
    }

    /// The evacuation of these zones was withdrawn. Their servers may have turned cold, so their warmth is unknown until
    /// their next heartbeat.
    pub(crate) fn await_warmth(
        &mut self,
        now: u64,
        tuning: &Tuning,
        zones: &BTreeSet<&String>,
        sequence: &mut Sequence,
    ) {
        for instance in self.instances.values_mut().filter(|instance| zones.contains(&instance.line.zone)) {
            instance.warmth = Warmth::Unknown(now + tuning.reopen_margin_ms);
            if instance.publish_warmth(sequence) {
                self.changed_seq = instance.changed_seq;
            }
        }
    }

    /// Marks cold servers as warm whose cold time is over, and moves permits whose holders are disconnected.
    pub(crate) fn update_warmth(
        &mut self,
        now: u64,
        tuning: &Tuning,
        gateways: &Gateways,
        sequence: &mut Sequence,
    ) {
        for instance in self.instances.values_mut() {
            if matches!(instance.warmth, Warmth::Cold(until) if now >= until) {
                instance.warmth = Warmth::Warm;
            }
        }
        self.assign_permits(now, tuning, gateways, None, sequence);
    }

    /// Withdraws and assigns permits, of all instances or of `only` one, and publishes the result with their warmth.
    fn assign_permits(
        &mut self,
        now: u64,
        tuning: &Tuning,
        gateways: &Gateways,
        only: Option<&str>,
        sequence: &mut Sequence,
    ) {
        let mut without_permit = Vec::new();
        let selected =
            self.instances.iter_mut().filter(|(id, _)| only.is_none_or(|only| only == id.as_str()));
        for (id, instance) in selected {
            if matches!(instance.warmth, Warmth::Cold(_)) {
                let permit = &mut instance.permit;
                if permit.holder.as_ref().is_some_and(|name| !gateways.keeps_permit(now, tuning, name)) {
                    *permit = Permit { holder: None, free_at: now + tuning.permit_gap_ms };
                }
                if permit.holder.is_none()
                    && now >= permit.free_at
                    && instance.line.state == ServerState::InService
                {
                    without_permit.push(id.clone());
                    continue;
                }
            }
            if instance.publish_warmth(sequence) {
                self.changed_seq = instance.changed_seq;
            }
        }
        if without_permit.is_empty() {
            return;
        }
        let mut permit_counts: BTreeMap<String, usize> = BTreeMap::new();
        for instance in self.instances.values().filter(|instance| matches!(instance.warmth, Warmth::Cold(_)))
        {
            if let Some(holder) = &instance.permit.holder {
                *permit_counts.entry(holder.clone()).or_default() += 1;
            }
        }
        for id in without_permit {
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            let holder = choose_holder(now, tuning, gateways, &id, &instance.line.zone, &permit_counts);
            instance.permit.holder = holder;
            if let Some(holder) = &instance.permit.holder {
                *permit_counts.entry(holder.clone()).or_default() += 1;
            }
            if instance.publish_warmth(sequence) {
                self.changed_seq = instance.changed_seq;
            }
        }
    }

    /// Number of instances.
    pub(crate) fn count(&self) -> usize {
        self.instances.len()
    }

    /// The published lines.
    pub(crate) fn lines(&self) -> impl Iterator<Item = &ServerInfo> {
        self.instances.values().map(|instance| &instance.line)
    }

    /// Status of each instance.
    pub(crate) fn statuses(&self, now: u64, tuning: &Tuning) -> Vec<ServerStatus> {
        let status = |instance: &Instance| {
            let silent_ms = now.saturating_sub(instance.last_heartbeat);
            let silent_ms = (silent_ms > tuning.silence_report_ms()).then_some(silent_ms);
            ServerStatus { line: instance.line.clone(), silent_ms }
        };
        self.instances.values().map(status).collect()
    }

    /// Sequence number of the last change that must be sent at once. These are all changes but registrations.
    pub(crate) fn urgent_seq(&self) -> u64 {
        if self.changed_seq == self.registered_seq {
            self.urgent_before_registered
        } else {
            self.changed_seq
        }
    }

    /// Whether the changes after `since` are still available as differences.
    pub(crate) fn has_differences_since(&self, since: u64) -> bool {
        since >= self.oldest_seq
    }

    /// Copies of all published lines.
    pub(crate) fn cloned_lines(&self) -> Vec<ServerInfo> {
        self.lines().cloned().collect()
    }

    /// Ids of instances that were removed under this leader and have not registered again.
    pub(crate) fn removed_ids(&self) -> Vec<String> {
        let removed = self.removed.iter().filter(|(_, id)| !self.instances.contains_key(id));
        removed.map(|(_, id)| id.clone()).collect()
    }

    /// Adds to `answer` what changed after `since`: each instance once, with its newest line.
    pub(crate) fn add_changes(&self, since: u64, answer: &mut WatchAnswer) {
        if self.changed_seq <= since {
            return;
        }
        let changed = self.instances.values().filter(|instance| instance.changed_seq > since);
        answer.servers = changed.map(|instance| instance.line.clone()).collect();
        let removed = self.removed.iter().rev().take_while(|(seq, _)| *seq > since);
        // An instance that was removed and registered again is among the changed ones.
        let removed = removed.filter(|(_, id)| !self.instances.contains_key(id));
        answer.removed_servers = removed.map(|(_, id)| id.clone()).collect();
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

/// The gateway that receives the permit for a cold server: one in its zone, else in its region, else any. Among these
/// one that holds the fewest permits, and among those the one with the lowest hash. The hash spreads servers over
/// gateways and is the same on all leaders.
fn choose_holder(
    now: u64,
    tuning: &Tuning,
    gateways: &Gateways,
    id: &str,
    zone: &str,
    permit_counts: &BTreeMap<String, usize>,
) -> Option<String> {
    let region = tuning.zones.get(zone);
    let rank = |(name, gateway_zone): (&str, &str)| {
        let distance = match gateway_zone == zone {
            true => 0,
            false if region.is_some() && tuning.zones.get(gateway_zone) == region => 1,
            false => 2,
        };
        (distance, permit_counts.get(name).copied().unwrap_or(0), hash(id, name))
    };
    gateways.ready(now).min_by_key(|gateway| rank(*gateway)).map(|(name, _)| name.to_string())
}

/// 64-bit FNV-1a of both strings.
fn hash(id: &str, name: &str) -> u64 {
    let bytes = id.bytes().chain([0]).chain(name.bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
