//! Which servers a gateway may send to, and their weights by locality. Pure functions over the core's list of servers.

use nickeljunction_messages::ServerInfo;
use nickeljunction_registry::send_block;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Part of the own region's slots below which the load must fall before other regions are no longer used. Between the
/// two thresholds nothing changes, or servers would be added and removed with each sample.
const RETURN_BELOW: f64 = 0.6;

/// The location of this gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Name of its machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// Weights of a slot by locality. A server far away is used once the near ones have proportionally more work in
/// progress.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalityWeights {
    /// Weight of a slot in the own zone.
    pub zone: f64,
    /// Weight of a slot elsewhere in the own region.
    pub region: f64,
    /// Weight of a slot in another region: on routes with large answers the traffic between regions costs more than an
    /// answer is worth.
    pub other: f64,
}

impl Default for LocalityWeights {
    fn default() -> LocalityWeights {
        LocalityWeights { zone: 1.0, region: 0.9, other: 0.04 }
    }
}

/// A server that requests may be sent to, as far as its own state and its zone's allow.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Its instance id.
    pub id: String,
    /// Its service.
    pub backend: String,
    /// The address where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region; empty if unknown.
    pub region: String,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// It is cold, and this gateway holds the permit to send to it.
    pub cold: bool,
}

/// The servers of a list that may be used: in service, in no evacuated zone, and warm or with this gateway's permit.
pub fn usable_upstreams(
    servers: &[ServerInfo],
    evacuated_zones: &HashSet<String>,
    regions: &HashMap<String, String>,
    here: &Location,
) -> Vec<Upstream> {
    let is_usable = |server: &&ServerInfo| {
        send_block(server, &here.name, |zone| evacuated_zones.contains(zone)).is_none()
    };
    let upstream = |server: &ServerInfo| {
        let address = server.address.parse();
        if address.is_err() {
            log::warn!("event=bad_address server={} address={}", server.id, server.address);
        }
        Some(Upstream {
            id: server.id.clone(),
            backend: server.backend.clone(),
            address: address.ok()?,
            zone: server.zone.clone(),
            region: regions.get(&server.zone).cloned().unwrap_or_default(),
            slots: server.slots.max(1),
            cold: server.cold.is_some(),
        })
    };
    servers.iter().filter(is_usable).filter_map(upstream).collect()
}

/// Whether servers of other regions should be used: the own region has no warm slot, or fewer than `needed_slots`, the
/// number of requests in flight in it. `spills`: other regions are used now.
pub fn exceeds_local_capacity(local_slots: u32, needed_slots: f64, spills: bool) -> bool {
    let threshold = f64::from(local_slots) * if spills { RETURN_BELOW } else { 1.0 };
    local_slots == 0 || needed_slots > threshold
}

/// Warm slots of the own region among the servers in `home_regions`.
pub fn local_region_slots<'a>(
    servers: impl Iterator<Item = &'a Upstream>,
    home_regions: &[String],
    here: &Location,
) -> u32 {
    servers
        .filter(|upstream| {
            allowed(upstream, home_regions) && upstream.region == here.region && !upstream.cold
        })
        .map(|upstream| upstream.slots)
        .sum()
}

/// Distance of a server: 0 in the own zone, 1 in the own region, 2 elsewhere.
pub fn locality_distance(upstream: &Upstream, here: &Location) -> u8 {
    nickeljunction_routing::distance((&upstream.zone, &upstream.region), (&here.zone, &here.region))
}

/// The weight of a server for requests with these home regions; `None`: it must not be used. `spills`: other regions
/// may be used.
pub fn locality_weight(
    upstream: &Upstream,
    home_regions: &[String],
    here: &Location,
    weights: &LocalityWeights,
    spills: bool,
) -> Option<f64> {
    let slot_weight = match locality_distance(upstream, here) {
        _ if !allowed(upstream, home_regions) => return None,
        0 => weights.zone,
        1 => weights.region,
        _ if spills => weights.other,
        _ => return None,
    };
    Some(slot_weight * f64::from(upstream.slots))
}

fn allowed(upstream: &Upstream, home_regions: &[String]) -> bool {
    nickeljunction_routing::region_allowed(&upstream.region, home_regions)
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickeljunction_messages::ServerState;

    fn server(id: &str, zone: &str, state: ServerState, cold: Option<&str>) -> ServerInfo {
        let (backend, address) = ("b".to_string(), "127.0.0.1:1".to_string());
        let (id, zone, cold) = (id.to_string(), zone.to_string(), cold.map(str::to_string));
        ServerInfo { id, backend, address, zone, slots: 2, state, cold }
    }

    #[test]
    fn only_servers_that_may_be_sent_to_get_a_weight() {
        let here = Location { name: "g1".into(), zone: "n1".into(), region: "n".into() };
        let zones = [("n1", "n"), ("n2", "n"), ("s1", "s"), ("w1", "w")];
        let regions = zones.iter().map(|(zone, region)| (zone.to_string(), region.to_string())).collect();
        let (in_service, draining) = (ServerState::InService, ServerState::Draining);
        let servers = [
            server("near", "n1", in_service, None),
            server("next", "n2", in_service, None),
            server("drains", "n1", draining, None),
            server("own-permit", "n1", in_service, Some("g1")),
            server("other-permit", "n1", in_service, Some("g2")),
            server("no-permit", "n1", in_service, Some("")),
            server("far", "s1", in_service, None),
            server("evacuated", "w1", in_service, None),
            server("unknown-region", "nowhere", in_service, None),
        ];
        let upstreams = usable_upstreams(&servers, &HashSet::from(["w1".to_string()]), &regions, &here);
        let ids: Vec<_> = upstreams.iter().map(|upstream| &upstream.id[..]).collect();
        assert_eq!(ids, ["near", "next", "own-permit", "far", "unknown-region"]);
        let weights = |homes: &[&str], spills| {
            let homes: Vec<String> = homes.iter().map(|home| home.to_string()).collect();
            let weigh =
                |upstream| locality_weight(upstream, &homes, &here, &LocalityWeights::default(), spills);
            upstreams
                .iter()
                .filter_map(|upstream| Some((&upstream.id[..], weigh(upstream)?)))
                .collect::<Vec<_>>()
        };
        let in_own_region = [("near", 2.0), ("next", 1.8), ("own-permit", 2.0)];
        assert_eq!(weights(&[], false), in_own_region);
        assert_eq!(weights(&[], true)[3..], [("far", 0.08), ("unknown-region", 0.08)]);
        assert_eq!(weights(&["s"], true), [("far", 0.08)]);
        assert_eq!((weights(&["n"], true), weights(&["w"], true)), (in_own_region.to_vec(), vec![]));
        assert_eq!(local_region_slots(upstreams.iter(), &[], &here), 4);
        assert_eq!(local_region_slots(upstreams.iter(), &["s".into()], &here), 0);
    }

    #[test]
    fn spilling_starts_at_full_capacity_and_ends_below_a_lower_threshold() {
        assert!(
            exceeds_local_capacity(0, 0.0, false)
                && exceeds_local_capacity(4, 4.5, false)
                && !exceeds_local_capacity(4, 3.9, false)
        );
        assert!(exceeds_local_capacity(4, 3.0, true) && !exceeds_local_capacity(4, 2.0, true));
    }
}
