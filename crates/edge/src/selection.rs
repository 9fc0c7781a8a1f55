//! Inputs of the decision module for a service: its settings, and an entry for each server from this gateway's point of
//! view.

use crate::preference;
use crate::proxy_types::ProxyTuning;
use crate::upstream::{locality_distance, Location, Upstream};
use nickeljunction_core::facade::{Class, Plan, RegionEntry, RegionState, Settings};
use std::collections::HashSet;

/// The module's settings for requests of these classes; for `min_subset` see [`FleetLayout::min_subset_size`].
pub fn decision_settings(
    tuning: &ProxyTuning,
    here: &Location,
    classes: Vec<Class>,
    max_attempts: u32,
    min_subset: f64,
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
        // The module is configured as if there were no other gateway. With several gateways it sheds load by how late
        // answers are against their target latency, which refused a fifth of a day's requests while the servers were
        // half busy.
        gateway_index: 0,
        gateway_count: 1,
        zone: here.zone.clone(),
        step_ms: tuning.decide_step_ms,
        min_subset,
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

/// The entry of a server that requests may be sent to.
pub fn ready_entry(upstream: &Upstream, here: &Location, weight: f64) -> RegionEntry {
    RegionEntry {
        uid: upstream.id.clone(),
        endpoint: String::new(),
        state: RegionState::Ready,
        zone: upstream.zone.clone(),
        pod_group: 0,
        weight,
        boot_ms: 0.0,
        distance: locality_distance(upstream, here),
        rank: preference::rendezvous_rank(&here.name, &upstream.id, upstream.slots),
    }
}

/// The entry of a server that gets no new requests: a server that is still listed completes those it has, any other is
/// gone.
pub fn withdrawn_entry(id: &str, listed: Option<&Upstream>, weight: f64) -> RegionEntry {
    RegionEntry {
        uid: id.to_string(),
        endpoint: String::new(),
        state: if listed.is_some() { RegionState::Terminating } else { RegionState::Gone },
        zone: listed.map(|upstream| upstream.zone.clone()).unwrap_or_default(),
        pod_group: 0,
        weight,
        boot_ms: 0.0,
        distance: u8::MAX,
        rank: 0.0,
    }
}

/// How the gateways are distributed. One gateway can't see the others, so it assumes them evenly spread over the
/// zones that have servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLayout {
    gateways: f64,
    zones: f64,
    regions: f64,
}

impl FleetLayout {
    /// The layout of `gateways` gateways, given the servers of all services.
    pub fn new<'a>(gateways: u32, servers: impl Iterator<Item = &'a Upstream>) -> FleetLayout {
        let (mut zones, mut regions) = (HashSet::new(), HashSet::new());
        for upstream in servers {
            zones.insert(&upstream.zone[..]);
            regions.insert(&upstream.region[..]);
        }
        let count = |names: HashSet<&str>| names.len().max(1) as f64;
        FleetLayout { gateways: f64::from(gateways.max(1)), zones: count(zones), regions: count(regions) }
    }

    /// Gateways per region, at least 1.
    pub fn gateways_per_region(&self) -> f64 {
        (self.gateways / self.regions).max(1.0)
    }

    /// Number of servers that this gateway must use so that each server is used by some gateway: its share of the
    /// servers in its zone, or in its region if the zone has no server or not every zone has a gateway.
    pub fn min_subset_size<'a>(&self, servers: impl Iterator<Item = &'a Upstream>, here: &Location) -> f64 {
        let (mut in_zone, mut in_region, mut total) = (0, 0, 0);
        for upstream in servers {
            total += 1;
            in_region += usize::from(upstream.region == here.region);
            in_zone += usize::from(upstream.zone == here.zone);
        }
        let (servers, gateways) = match (in_zone, in_region) {
            (0, 0) => (total, self.gateways),
            (0, _) => (in_region, self.gateways_per_region()),
            _ if self.gateways < self.zones => (in_region, self.gateways_per_region()),
            _ => (in_zone, self.gateways / self.zones),
        };
        preference::min_subset_size(servers, gateways)
    }
}
