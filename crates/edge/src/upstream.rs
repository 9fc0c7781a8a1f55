//! Which servers a gateway sends to, and how near they are. Pure functions over what the core tells.

use nickeljunction_messages::ServerInfo;
use nickeljunction_registry::send_block;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Part of the slots of the own region that may be needed before it is left again for itself: between the two bounds
/// nothing changes, or servers would come and go with each sample.
const CALM_PART: f64 = 0.6;

/// Where this gateway is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Name of its machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// How dear a slot is by where it stands: a far one is used when the near ones hold so many times more work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalityWeights {
    /// Weight of a slot in the own zone.
    pub zone: f64,
    /// Weight of a slot elsewhere in the own region.
    pub region: f64,
    /// Weight of a slot in another region: bytes between regions cost more than an answer's worth on large routes.
    pub other: f64,
}

impl Default for LocalityWeights {
    fn default() -> LocalityWeights {
        LocalityWeights { zone: 1.0, region: 0.9, other: 0.04 }
    }
}

/// A server that requests may go to, as far as its own state and its zone's allow.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Its instance id.
    pub id: String,
    /// Its service.
    pub backend: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region; empty where that isn't known.
    pub region: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It is cold, and this gateway holds the permit to send to it.
    pub cold: bool,
}

/// The servers of a list that may be used: in service, in no evacuated zone, and warm or with this gateway's permit.
pub fn usable_upstreams(
    lines: &[ServerInfo],
    evacuated: &HashSet<String>,
    regions: &HashMap<String, String>,
    here: &Location,
) -> Vec<Upstream> {
    let fits = |line: &&ServerInfo| send_block(line, &here.name, |zone| evacuated.contains(zone)).is_none();
    let upstream = |line: &ServerInfo| {
        let address = line.address.parse();
        if address.is_err() {
            log::warn!("event=bad_address server={} address={}", line.id, line.address);
        }
        Some(Upstream {
            id: line.id.clone(),
            backend: line.backend.clone(),
            address: address.ok()?,
            zone: line.zone.clone(),
            region: regions.get(&line.zone).cloned().unwrap_or_default(),
            slots: line.slots.max(1),
            cold: line.cold.is_some(),
        })
    };
    lines.iter().filter(fits).filter_map(upstream).collect()
}

/// Whether other regions' servers are to be used: where the own one has no warm slot, or fewer than `need`, which is
/// what the gateways of this region have out together. `wide`: they are used now.
pub fn exceeds_local_capacity(own_slots: u32, need: f64, wide: bool) -> bool {
    let bound = f64::from(own_slots) * if wide { CALM_PART } else { 1.0 };
    own_slots == 0 || need > bound
}

/// Warm slots of the own region among the servers that `homes` allow.
pub fn local_region_slots<'a>(
    servers: impl Iterator<Item = &'a Upstream>,
    homes: &[String],
    here: &Location,
) -> u32 {
    servers
        .filter(|upstream| allowed(upstream, homes) && upstream.region == here.region && !upstream.cold)
        .map(|upstream| upstream.slots)
        .sum()
}

/// How near a server is: 0 in the own zone, 1 in the own region, 2 elsewhere.
pub fn locality_distance(upstream: &Upstream, here: &Location) -> u8 {
    nickeljunction_routing::distance((&upstream.zone, &upstream.region), (&here.zone, &here.region))
}

/// The weight of a server for requests with these homes; `None`: it is not to be used. `wide`: other regions are.
pub fn locality_weight(
    upstream: &Upstream,
    homes: &[String],
    here: &Location,
    nearness: &LocalityWeights,
    wide: bool,
) -> Option<f64> {
    let part = match locality_distance(upstream, here) {
        _ if !allowed(upstream, homes) => return None,
        0 => nearness.zone,
        1 => nearness.region,
        _ if wide => nearness.other,
        _ => return None,
    };
    Some(part * f64::from(upstream.slots))
}

fn allowed(upstream: &Upstream, homes: &[String]) -> bool {
    nickeljunction_routing::region_allowed(&upstream.region, homes)
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickeljunction_messages::ServerState;

    fn line(id: &str, zone: &str, state: ServerState, cold: Option<&str>) -> ServerInfo {
        let (backend, address) = ("b".to_string(), "127.0.0.1:1".to_string());
        let (id, zone, cold) = (id.to_string(), zone.to_string(), cold.map(str::to_string));
        ServerInfo { id, backend, address, zone, slots: 2, state, cold }
    }

    #[test]
    fn draining_evacuated_foreign_and_far_servers_are_left_out() {
        let here = Location { name: "g1".into(), zone: "n1".into(), region: "n".into() };
        let zones = [("n1", "n"), ("n2", "n"), ("s1", "s"), ("w1", "w")];
        let regions = zones.iter().map(|(zone, region)| (zone.to_string(), region.to_string())).collect();
        let (on, off) = (ServerState::InService, ServerState::Draining);
        let lines = [
            line("near", "n1", on, None),
            line("next", "n2", on, None),
            line("leaves", "n1", off, None),
            line("mine", "n1", on, Some("g1")),
            line("theirs", "n1", on, Some("g2")),
            line("nobodys", "n1", on, Some("")),
            line("far", "s1", on, None),
            line("emptied", "w1", on, None),
            line("lost", "nowhere", on, None),
        ];
        let upstreams = usable_upstreams(&lines, &HashSet::from(["w1".to_string()]), &regions, &here);
        let ids: Vec<_> = upstreams.iter().map(|upstream| &upstream.id[..]).collect();
        assert_eq!(ids, ["near", "next", "mine", "far", "lost"]);
        let chosen = |homes: &[&str], wide| {
            let homes: Vec<String> = homes.iter().map(|home| home.to_string()).collect();
            let weigh =
                |upstream| locality_weight(upstream, &homes, &here, &LocalityWeights::default(), wide);
            upstreams.iter().filter_map(|b| Some((&b.id[..], weigh(b)?))).collect::<Vec<_>>()
        };
        let own = [("near", 2.0), ("next", 1.8), ("mine", 2.0)];
        assert_eq!(chosen(&[], false), own);
        assert_eq!(chosen(&[], true)[3..], [("far", 0.08), ("lost", 0.08)]);
        assert_eq!(chosen(&["s"], true), [("far", 0.08)]);
        assert_eq!((chosen(&["n"], true), chosen(&["w"], true)), (own.to_vec(), vec![]));
        assert_eq!(local_region_slots(upstreams.iter(), &[], &here), 4);
        assert_eq!(local_region_slots(upstreams.iter(), &["s".into()], &here), 0);
    }

    #[test]
    fn a_region_that_fills_up_spills_and_comes_back_calmly() {
        assert!(
            exceeds_local_capacity(0, 0.0, false)
                && exceeds_local_capacity(4, 4.5, false)
                && !exceeds_local_capacity(4, 3.9, false)
        );
        assert!(exceeds_local_capacity(4, 3.0, true) && !exceeds_local_capacity(4, 2.0, true));
    }
}
