//! What the decision module is told of a service's servers: its settings, and each server as this gateway sees it.

use crate::preference;
use crate::proxy_types::ProxyTuning;
use crate::upstream::{locality_distance, Location, Upstream};
use nickeljunction_core::facade::{Class, Plan, RegionEntry, RegionState, Settings};
use std::collections::HashSet;

/// The module's settings for requests of these classes; `subset_least`: see [`FleetLayout::subset_least`].
pub fn decision_settings(
    tuning: &ProxyTuning,
    here: &Location,
    classes: Vec<Class>,
    max_attempts: u32,
    subset_least: f64,
) -> Settings {
    let plan = Plan {
        name: String::new(),
        rate: 0.0,
        burst: 0.0,
        max_concurrent: 0.0,
        worth_factor: 1.0,
        excess_worth: 0.0,
        excess_cost: 0.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    };
    Settings {
        // To the module this gateway is alone: with siblings it sheds by how late answers are against their aim,
        // which took a fifth of a day's requests for servers that were busy by half.
        gateway_index: 0,
        gateway_count: 1,
        zone: here.zone.clone(),
        step_ms: tuning.decide_step_ms,
        min_subset: subset_least,
        classes,
        plans: vec![plan],
        max_request_units: 1.0,
        max_attempts: max_attempts.max(1) as usize,
        max_retry_after_ms: tuning.max_retry_after_ms,
        retry_after: true,
        hedging: tuning.hedging,
        may_cancel: tuning.hedging,
        cold_start_share: 1.0,
        ..Settings::default()
    }
}

/// A server that may be sent to.
pub fn ready_entry(upstream: &Upstream, here: &Location, weight: f64) -> RegionEntry {
    RegionEntry {
        uid: upstream.id.clone(),
        endpoint: String::new(),
        state: RegionState::Ready,
        zone: upstream.zone.clone(),
        pod_group: 0,
        weight,
        boot_ms: 0.0,
        near: locality_distance(upstream, here),
        order: preference::rendezvous_rank(&here.name, &upstream.id, upstream.slots),
    }
}

/// A server that gets nothing new: one still listed completes what it has, any other is gone.
pub fn withdrawn_entry(id: &str, listed: Option<&Upstream>, weight: f64) -> RegionEntry {
    RegionEntry {
        uid: id.to_string(),
        endpoint: String::new(),
        state: if listed.is_some() { RegionState::Terminating } else { RegionState::Gone },
        zone: listed.map(|upstream| upstream.zone.clone()).unwrap_or_default(),
        pod_group: 0,
        weight,
        boot_ms: 0.0,
        near: u8::MAX,
        order: 0.0,
    }
}

/// How the gateways are spread, as far as one of them can tell: evenly over the zones that have servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLayout {
    gateways: f64,
    zones: f64,
    regions: f64,
}

impl FleetLayout {
    /// `gateways` in all, among these servers of all services.
    pub fn new<'a>(gateways: u32, servers: impl Iterator<Item = &'a Upstream>) -> FleetLayout {
        let (mut zones, mut regions) = (HashSet::new(), HashSet::new());
        for upstream in servers {
            zones.insert(&upstream.zone[..]);
            regions.insert(&upstream.region[..]);
        }
        let count = |places: HashSet<&str>| places.len().max(1) as f64;
        FleetLayout { gateways: f64::from(gateways.max(1)), zones: count(zones), regions: count(regions) }
    }

    /// Gateways of one region.
    pub fn gateways_per_region(&self) -> f64 {
        (self.gateways / self.regions).max(1.0)
    }

    /// Fewest servers that this gateway has to use for all to be used by someone: its share of those of its zone, or
    /// of its region where the zone has none or not every zone has a gateway.
    pub fn min_subset_size<'a>(&self, servers: impl Iterator<Item = &'a Upstream>, here: &Location) -> f64 {
        let (mut zone, mut region, mut all) = (0, 0, 0);
        for upstream in servers {
            all += 1;
            region += usize::from(upstream.region == here.region);
            zone += usize::from(upstream.zone == here.zone);
        }
        let (servers, gateways) = match (zone, region) {
            (0, 0) => (all, self.gateways),
            (0, _) => (region, self.gateways_per_region()),
            _ if self.gateways < self.zones => (region, self.gateways_per_region()),
            _ => (zone, self.gateways / self.zones),
        };
        preference::min_subset_size(servers, gateways)
    }
}
