//! Which gateways there are, by their watch calls.

use crate::register::{Numbering, Tuning};
use crate::roster::Roster;
use nickeljunction_messages::{GatewayInfo, WatchCall};
use std::collections::{BTreeMap, VecDeque};

/// Replaced lives that are remembered: their late calls say nothing. Far more than restart within a call's time.
const MOST_REPLACED: usize = 256;

/// Longest hold of a call that is believed, ms: a caller can't make itself count as alive for longer.
const MOST_WAIT_MS: u64 = 10_000;

/// Who called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A gateway that is known, or is from now on.
    Accepted,
    /// A life that another one of the same name has replaced: nothing was noted.
    ReplacedProcess,
    /// Its line is unknown, so that the directory can't name it: it must call again with its line.
    MissingLine,
    /// Another core member.
    CoreMember,
}

/// How a gateway stands, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayStatus {
    /// As published.
    pub line: GatewayInfo,
    /// Version of the configuration that it had at its last call; `None`: it has not called this leader yet.
    pub version: Option<u64>,
    /// It was last surely there so long ago, ms; `None`: it is there.
    pub away_ms: Option<u64>,
}

/// One gateway, by the name of its machine.
#[derive(Debug)]
struct Gateway {
    /// `None`: known from a copy, which doesn't tell it.
    life: Option<u64>,
    line: Option<GatewayInfo>,
    /// Its call is held, or the next one is due, until then.
    until: u64,
    /// Since when its watch connection is broken.
    broken: Option<u64>,
    /// Number up to which it has what was told, in the own term.
    has: u64,
    /// Version of the configuration that its last call named.
    version: Option<u64>,
}

impl Gateway {
    /// Last moment at which it was surely there.
    fn there_until(&self) -> u64 {
        self.broken.map_or(self.until, |at| at.min(self.until))
    }

    fn standing(&self, now: u64) -> Option<GatewayStatus> {
        let line = GatewayInfo { ready: self.ready(now), ..self.line.clone()? };
        let away_ms = now.checked_sub(self.there_until());
        Some(GatewayStatus { line, version: self.version, away_ms })
    }

    fn ready(&self, now: u64) -> bool {
        self.line.as_ref().is_some_and(|line| line.ready) && now < self.there_until()
    }
}

/// All gateways.
#[derive(Debug)]
pub(crate) struct Gateways {
    known: BTreeMap<String, Gateway>,
    replaced: VecDeque<(String, u64)>,
    roster: Roster,
    count: u32,
    /// Number of the count's last change.
    count_at: u64,
    /// The copy's count and until when it is held: gateways that didn't reach this leader yet count.
    floor: (u32, u64),
}

impl Gateways {
    /// From a copy: all of its gateways count as heard now.
    pub(crate) fn new(
        now: u64,
        tuning: &Tuning,
        roster: &[GatewayInfo],
        count: u32,
        numbers: &mut Numbering,
    ) -> Gateways {
        let heard = |line: &GatewayInfo| Gateway {
            life: None,
            line: Some(line.clone()),
            until: now + tuning.takeover_ms,
            broken: None,
            has: 0,
            version: None,
        };
        let known = roster.iter().map(|line| (line.name.clone(), heard(line))).collect();
        let mut gateways = Gateways {
            known,
            replaced: VecDeque::new(),
            roster: Roster::new(numbers),
            count: 0,
            count_at: numbers.next(),
            floor: (count, now + tuning.gateway_alive_ms),
        };
        gateways.refresh(now, tuning, numbers);
        gateways
    }

    /// A watch call came. `has`: what the caller has of the own term.
    pub(crate) fn called(
        &mut self,
        now: u64,
        tuning: &Tuning,
        call: &WatchCall,
        has: u64,
        numbers: &mut Numbering,
    ) -> CallOutcome {
        if self.replaced.iter().any(|(name, life)| *name == call.name && *life == call.incarnation) {
            return CallOutcome::ReplacedProcess;
        }
        let until = now + call.wait_ms.min(MOST_WAIT_MS) + tuning.gateway_slack_ms;
        let gateway = self.known.entry(call.name.clone()).or_insert_with(|| Gateway {
            life: None,
            line: None,
            until,
            broken: None,
            has,
            version: None,
        });
        match gateway.life {
            Some(life) if life != call.incarnation => {
                // Lives are drawn by chance and say nothing of their order: the one that tells its line, as each does at
                // its start, replaces the other.
                if call.gateway.is_none() {
                    return CallOutcome::MissingLine;
                }
                self.replaced.push_back((call.name.clone(), life));
                if self.replaced.len() > MOST_REPLACED {
                    self.replaced.pop_front();
                }
                gateway.has = has;
            }
            _ => gateway.has = gateway.has.max(has),
        }
        let was_ready = gateway.ready(now);
        // One that asks beside a call that is held is there for as long as that one is.
        let same = gateway.life == Some(call.incarnation);
        gateway.until = if same { gateway.until.max(until) } else { until };
        gateway.life = Some(call.incarnation);
        gateway.version = Some(call.version);
        gateway.broken = None;
        let mut changed = false;
        if let Some(line) = &call.gateway {
            changed = gateway.line.as_ref() != Some(line);
            if changed {
                gateway.line = Some(GatewayInfo { name: call.name.clone(), ..line.clone() });
            }
        }
        let unsaid = gateway.line.is_none();
        if changed || unsaid || !was_ready {
            self.refresh(now, tuning, numbers);
        }
        if unsaid {
            CallOutcome::MissingLine
        } else {
            CallOutcome::Accepted
        }
    }

    /// The watch connection of a life broke.
    pub(crate) fn left(&mut self, now: u64, tuning: &Tuning, name: &str, life: u64, numbers: &mut Numbering) {
        let Some(gateway) = self.known.get_mut(name) else { return };
        // An older life's connection may be found broken after the new one has called.
        if gateway.life == Some(life) && gateway.broken.is_none() {
            gateway.broken = Some(now);
            self.refresh(now, tuning, numbers);
        }
    }

    /// Publishes what time has changed; forgets those that are gone for long.
    pub(crate) fn refresh(&mut self, now: u64, tuning: &Tuning, numbers: &mut Numbering) {
        self.known.retain(|_, gateway| now < gateway.there_until() + tuning.gateway_forget_ms);
        let alive = |gateway: &&Gateway| now < gateway.there_until() + tuning.gateway_alive_ms;
        let mut count = self.known.values().filter(alive).count() as u32;
        if now < self.floor.1 {
            count = count.max(self.floor.0);
        }
        if count != self.count {
            self.count = count;
            self.count_at = numbers.next();
        }
        let lines =
            || self.known.values().filter_map(|gateway| Some((gateway.line.as_ref()?, gateway.ready(now))));
        let same = |(held, (line, ready)): (&GatewayInfo, (&GatewayInfo, bool))| {
            held.ready == ready
                && held.name == line.name
                && held.front == line.front
                && held.zone == line.zone
        };
        let held = self.roster.lines();
        if lines().count() != held.len() || !held.iter().zip(lines()).all(same) {
            let news = lines().map(|(line, ready)| GatewayInfo { ready, ..line.clone() }).collect();
            self.roster.publish(news, numbers);
        }
    }

    /// All gateways, as published.
    pub(crate) fn roster(&self) -> &Roster {
        &self.roster
    }

    /// How many may be alive.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Number of the count's last change.
    pub(crate) fn count_at(&self) -> u64 {
        self.count_at
    }

    /// How many have all up to `seq`, of those that were there lately.
    pub(crate) fn reached(&self, now: u64, seq: u64) -> (usize, usize) {
        let there = || self.known.values().filter(|gateway| now < gateway.there_until());
        (there().filter(|gateway| gateway.has >= seq).count(), there().count())
    }

    /// How each stands that has told its line.
    pub(crate) fn standings(&self, now: u64) -> Vec<GatewayStatus> {
        self.known.values().filter_map(|gateway| gateway.standing(now)).collect()
    }

    /// How the process of this life stands, if it has told its line.
    pub(crate) fn standing_of(&self, now: u64, life: u64) -> Option<GatewayStatus> {
        let gateway = self.known.values().find(|gateway| gateway.life == Some(life))?;
        gateway.standing(now)
    }

    /// It may keep the permit of a cold server: a broken connection is soon made anew, and moving a permit leaves the
    /// server idle for a while.
    pub(crate) fn keeps_permit(&self, now: u64, tuning: &Tuning, name: &str) -> bool {
        self.known.get(name).is_some_and(|gateway| {
            gateway.line.as_ref().is_some_and(|line| line.ready)
                && now < gateway.there_until() + tuning.permit_patience_ms
        })
    }

    /// Ready gateways: name and zone.
    pub(crate) fn ready(&self, now: u64) -> impl Iterator<Item = (&str, &str)> {
        self.known
            .iter()
            .filter(move |(_, gateway)| gateway.ready(now))
            .filter_map(|(name, gateway)| Some((name.as_str(), gateway.line.as_ref()?.zone.as_str())))
    }
}
