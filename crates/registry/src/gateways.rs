//! Which gateways exist, as far as their watch calls show.

use crate::register::{Sequence, Tuning};
use crate::roster::Roster;
use nickeljunction_messages::{GatewayInfo, WatchCall};
use std::collections::{BTreeMap, VecDeque};

/// Replaced processes that are remembered, so that their delayed calls are ignored. Far more than the gateways that
/// restart while one call is on its way.
const MAX_REPLACED: usize = 256;

/// Upper bound for the hold time that a call may announce, ms. A gateway can't make itself count as alive for longer.
const MAX_WAIT_MS: u64 = 10_000;

/// What came of a watch call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The caller is a registered gateway, possibly since this call.
    Accepted,
    /// The caller was replaced by another process of the same name; the call was ignored.
    ReplacedProcess,
    /// The gateway's line is unknown, so that the directory can't list it: it must call again with its line.
    MissingLine,
    /// The caller is another core member.
    CoreMember,
}

/// The status of a gateway, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayStatus {
    /// As published.
    pub line: GatewayInfo,
    /// Version of the configuration that the gateway had at its last call; `None`: it has not called this leader yet.
    pub version: Option<u64>,
    /// Time since the gateway was last known to be connected, ms; `None`: it is connected.
    pub away_ms: Option<u64>,
}

/// One gateway, identified by the name of its machine.
#[derive(Debug)]
struct Gateway {
    /// Identifies the gateway's process. `None`: the gateway was taken over from a cache, which doesn't contain it.
    life: Option<u64>,
    line: Option<GatewayInfo>,
    /// Until then the gateway's call is held, or its next call is on its way.
    expected_until: u64,
    /// When the gateway's watch connection broke.
    disconnected_at: Option<u64>,
    /// Highest sequence number of this term up to which the gateway has everything.
    acknowledged_seq: u64,
    /// Version of the configuration that its last call named.
    version: Option<u64>,
}

impl Gateway {
    /// Last time at which the gateway was known to be connected.
    fn connected_until(&self) -> u64 {
        self.disconnected_at.map_or(self.expected_until, |at| at.min(self.expected_until))
    }

    fn status(&self, now: u64) -> Option<GatewayStatus> {
        let line = GatewayInfo { ready: self.is_ready(now), ..self.line.clone()? };
        let away_ms = now.checked_sub(self.connected_until());
        Some(GatewayStatus { line, version: self.version, away_ms })
    }

    fn is_ready(&self, now: u64) -> bool {
        self.line.as_ref().is_some_and(|line| line.ready) && now < self.connected_until()
    }
}

/// All gateways.
#[derive(Debug)]
pub(crate) struct Gateways {
    by_name: BTreeMap<String, Gateway>,
    /// Name and `life` of processes that were replaced by a newer one.
    replaced: VecDeque<(String, u64)>,
    roster: Roster,
    count: u32,
    /// Sequence number of the count's last change.
    count_seq: u64,
    min_count: MinCount,
}

/// A lower bound for the number of gateways after a take-over: gateways that have not reached this leader yet count, too.
#[derive(Debug)]
struct MinCount {
    count: u32,
    until: u64,
}

impl Gateways {
    /// Starts from a cache, whose gateways count as connected now.
    pub(crate) fn new(
        now: u64,
        tuning: &Tuning,
        roster: &[GatewayInfo],
        count: u32,
        sequence: &mut Sequence,
    ) -> Gateways {
        let from_cache = |line: &GatewayInfo| Gateway {
            life: None,
            line: Some(line.clone()),
            expected_until: now + tuning.takeover_ms,
            disconnected_at: None,
            acknowledged_seq: 0,
            version: None,
        };
        let by_name = roster.iter().map(|line| (line.name.clone(), from_cache(line))).collect();
        let mut gateways = Gateways {
            by_name,
            replaced: VecDeque::new(),
            roster: Roster::new(sequence),
            count: 0,
            count_seq: sequence.next(),
            min_count: MinCount { count, until: now + tuning.gateway_alive_ms },
        };
        gateways.refresh(now, tuning, sequence);
        gateways
    }

    /// Records a watch call. `acknowledged_seq` is the sequence number of this term up to which the caller has
    /// everything.
    pub(crate) fn record_call(
        &mut self,
        now: u64,
        tuning: &Tuning,
        call: &WatchCall,
        acknowledged_seq: u64,
        sequence: &mut Sequence,
    ) -> CallOutcome {
        if self.replaced.iter().any(|(name, life)| *name == call.name && *life == call.incarnation) {
            return CallOutcome::ReplacedProcess;
        }
        let expected_until = now + call.wait_ms.min(MAX_WAIT_MS) + tuning.gateway_slack_ms;
        let gateway = self.by_name.entry(call.name.clone()).or_insert_with(|| Gateway {
            life: None,
            line: None,
            expected_until,
            disconnected_at: None,
            acknowledged_seq,
            version: None,
        });
        match gateway.life {
            Some(life) if life != call.incarnation => {
                // The ids of processes are random and have no order. Each process sends its line when it starts, so the
                // one that sends it replaces the other.
                if call.gateway.is_none() {
                    return CallOutcome::MissingLine;
                }
                self.replaced.push_back((call.name.clone(), life));
                if self.replaced.len() > MAX_REPLACED {
                    self.replaced.pop_front();
                }
                gateway.acknowledged_seq = acknowledged_seq;
            }
            _ => gateway.acknowledged_seq = gateway.acknowledged_seq.max(acknowledged_seq),
        }
        let was_ready = gateway.is_ready(now);
        // While another call of the same process is held for longer, the process stays connected as long as that one.
        let same_process = gateway.life == Some(call.incarnation);
        gateway.expected_until =
            if same_process { gateway.expected_until.max(expected_until) } else { expected_until };
        gateway.life = Some(call.incarnation);
        gateway.version = Some(call.version);
        gateway.disconnected_at = None;
        let mut line_changed = false;
        if let Some(line) = &call.gateway {
            line_changed = gateway.line.as_ref() != Some(line);
            if line_changed {
                gateway.line = Some(GatewayInfo { name: call.name.clone(), ..line.clone() });
            }
        }
        let line_missing = gateway.line.is_none();
        if line_changed || line_missing || !was_ready {
            self.refresh(now, tuning, sequence);
        }
        if line_missing {
            CallOutcome::MissingLine
        } else {
            CallOutcome::Accepted
        }
    }

    /// The watch connection of the gateway process `life` broke.
    pub(crate) fn disconnected(
        &mut self,
        now: u64,
        tuning: &Tuning,
        name: &str,
        life: u64,
        sequence: &mut Sequence,
    ) {
        let Some(gateway) = self.by_name.get_mut(name) else { return };
        // The broken connection of a replaced process may be noticed only after the new process has called.
        if gateway.life == Some(life) && gateway.disconnected_at.is_none() {
            gateway.disconnected_at = Some(now);
            self.refresh(now, tuning, sequence);
        }
    }

    /// Publishes what has changed with time, and removes gateways that have been away for too long.
    pub(crate) fn refresh(&mut self, now: u64, tuning: &Tuning, sequence: &mut Sequence) {
        self.by_name.retain(|_, gateway| now < gateway.connected_until() + tuning.gateway_removal_ms);
        let alive = |gateway: &&Gateway| now < gateway.connected_until() + tuning.gateway_alive_ms;
        let mut count = self.by_name.values().filter(alive).count() as u32;
        if now < self.min_count.until {
            count = count.max(self.min_count.count);
        }
        if count != self.count {
            self.count = count;
            self.count_seq = sequence.next();
        }
        let lines = || {
            self.by_name.values().filter_map(|gateway| Some((gateway.line.as_ref()?, gateway.is_ready(now))))
        };
        let unchanged = |(published, (line, ready)): (&GatewayInfo, (&GatewayInfo, bool))| {
            published.ready == ready
                && published.name == line.name
                && published.front == line.front
                && published.zone == line.zone
        };
        let published = self.roster.lines();
        if lines().count() != published.len() || !published.iter().zip(lines()).all(unchanged) {
            let changed = lines().map(|(line, ready)| GatewayInfo { ready, ..line.clone() }).collect();
            self.roster.publish(changed, sequence);
        }
    }

    /// All gateways, as published.
    pub(crate) fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Number of gateways that may be alive.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Sequence number of the count's last change.
    pub(crate) fn count_seq(&self) -> u64 {
        self.count_seq
    }

    /// Of the connected gateways, how many have everything up to `seq`, and how many there are.
    pub(crate) fn propagation(&self, now: u64, seq: u64) -> (usize, usize) {
        let connected = || self.by_name.values().filter(|gateway| now < gateway.connected_until());
        (connected().filter(|gateway| gateway.acknowledged_seq >= seq).count(), connected().count())
    }

    /// Status of each gateway that has sent its line.
    pub(crate) fn statuses(&self, now: u64) -> Vec<GatewayStatus> {
        self.by_name.values().filter_map(|gateway| gateway.status(now)).collect()
    }

    /// Status of the gateway process `life`, if it has sent its line.
    pub(crate) fn status_of(&self, now: u64, life: u64) -> Option<GatewayStatus> {
        let gateway = self.by_name.values().find(|gateway| gateway.life == Some(life))?;
        gateway.status(now)
    }

    /// Whether the gateway may keep its permits for cold servers. A broken connection does not end them at once: it is
    /// usually re-established soon, and moving a permit leaves the server without requests for a while.
    pub(crate) fn keeps_permit(&self, now: u64, tuning: &Tuning, name: &str) -> bool {
        self.by_name.get(name).is_some_and(|gateway| {
            gateway.line.as_ref().is_some_and(|line| line.ready)
                && now < gateway.connected_until() + tuning.permit_grace_ms
        })
    }

    /// Name and zone of each ready gateway.
    pub(crate) fn ready(&self, now: u64) -> impl Iterator<Item = (&str, &str)> {
        self.by_name
            .iter()
            .filter(move |(_, gateway)| gateway.is_ready(now))
            .filter_map(|(name, gateway)| Some((name.as_str(), gateway.line.as_ref()?.zone.as_str())))
    }
}
