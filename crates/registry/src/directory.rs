//! Which gateways the directory lists for a client.

use nickeljunction_messages::GatewayInfo;
use std::collections::BTreeMap;

/// Upper bound for the number of addresses in an answer.
pub const MAX_ADDRESSES: usize = 64;

/// Number of addresses to reach where possible: a client whose only gateway fails needs another one without a new query.
const MIN_ADDRESSES: usize = 2;

/// The client that queries the gateways of a host.
#[derive(Debug, Clone, Copy)]
pub struct Client<'a> {
    /// The client's region, used if its zone is not known.
    pub region: &'a str,
    /// The client's zone.
    pub zone: &'a str,
    /// Regions that are a home of every route of the host that has homes. Besides its own region the client may be sent
    /// only to these. `None`: no route of the host has homes, and the client may be sent to any region.
    pub homes: Option<&'a [String]>,
}

/// Addresses of the gateways that a client should use, at most [`MAX_ADDRESSES`], near ones first.
///
/// Clients choose at random among all of them, so a far gateway would receive as many requests as a near one. Therefore
/// only the nearest tier (zone, region, elsewhere) that has any gateway is listed, topped up from the next tiers to two
/// addresses. `zones` gives the region of each zone; `seed` determines the random choice within a tier.
///
/// A gateway elsewhere is eligible only if the client may be sent to its region. If no eligible gateway is ready, all
/// gateways of the client's region are listed: a request must not leave its region only because the directory's data was
/// outdated. Gateways of other regions, ready ones first, are listed only if the client's region has no gateway at all.
pub fn nearby_gateways(
    roster: &[GatewayInfo],
    client: &Client<'_>,
    zones: &BTreeMap<String, String>,
    seed: u64,
) -> Vec<String> {
    let mut rng = Rng(seed);
    let (own_region, other_regions) = split_by_region(roster, client, zones);
    let ready = |line: &&&GatewayInfo| line.ready;
    let allowed = |line: &&&GatewayInfo| {
        let region = zones.get(&line.zone);
        client.homes.is_none_or(|homes| region.is_some_and(|region| homes.contains(region)))
    };
    let (same_zone, same_region) =
        own_region.iter().filter(ready).partition::<Vec<_>, _>(|line| line.zone == client.zone);
    let elsewhere: Vec<&GatewayInfo> = other_regions.iter().filter(ready).filter(allowed).copied().collect();
    let mut addresses = Vec::new();
    for tier in [same_zone, same_region, elsewhere] {
        let limit =
            if addresses.is_empty() { MAX_ADDRESSES } else { MIN_ADDRESSES.saturating_sub(addresses.len()) };
        add_tier(&mut addresses, tier, limit, &mut rng);
    }
    if !addresses.is_empty() {
        return addresses;
    }
    let (same_zone, same_region) = own_region.iter().partition::<Vec<_>, _>(|line| line.zone == client.zone);
    let (ready, not_ready) = other_regions.iter().partition::<Vec<_>, _>(|line| line.ready);
    for tiers in [[same_zone, same_region], [ready, Vec::new()], [not_ready, Vec::new()]] {
        for tier in tiers {
            let limit = MAX_ADDRESSES - addresses.len();
            add_tier(&mut addresses, tier, limit, &mut rng);
        }
        if !addresses.is_empty() {
            break;
        }
    }
    addresses
}

/// The gateways of the client's region, and all others.
fn split_by_region<'a>(
    roster: &'a [GatewayInfo],
    client: &Client<'_>,
    zones: &BTreeMap<String, String>,
) -> (Vec<&'a GatewayInfo>, Vec<&'a GatewayInfo>) {
    let client_region = zones.get(client.zone).map_or(client.region, String::as_str);
    let in_own_region = |line: &&GatewayInfo| {
        line.zone == client.zone || zones.get(&line.zone).is_some_and(|region| region == client_region)
    };
    roster.iter().partition(in_own_region)
}

/// Adds the addresses of at most `limit` gateways of a tier, in random order.
fn add_tier(addresses: &mut Vec<String>, mut tier: Vec<&GatewayInfo>, limit: usize, rng: &mut Rng) {
    rng.shuffle(&mut tier);
    for line in tier.into_iter().take(limit) {
        if !addresses.contains(&line.front) {
            addresses.push(line.front.clone());
        }
    }
}

/// SplitMix64, which is uniform enough for a fair choice.
struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, (self.next() % (last as u64 + 1)) as usize);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(name: &str, zone: &str, ready: bool) -> GatewayInfo {
        GatewayInfo { name: name.into(), front: format!("{name}:80"), zone: zone.into(), ready }
    }

    fn zones() -> BTreeMap<String, String> {
        [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")]
            .map(|(zone, region)| (zone.into(), region.into()))
            .into()
    }

    fn addresses(roster: &[GatewayInfo], zone: &str, seed: u64) -> Vec<String> {
        addresses_with_homes(None, roster, zone, seed)
    }

    fn addresses_with_homes(
        homes: Option<&[&str]>,
        roster: &[GatewayInfo],
        zone: &str,
        seed: u64,
    ) -> Vec<String> {
        let homes = homes.map(|homes| homes.iter().map(|home| home.to_string()).collect::<Vec<_>>());
        let client = Client { region: "a", zone, homes: homes.as_deref() };
        nearby_gateways(roster, &client, &zones(), seed)
    }

    #[test]
    fn two_ready_gateways_of_the_clients_zone_are_sufficient() {
        let roster =
            [line("p", "a1", true), line("q", "a1", true), line("r", "a2", true), line("s", "b1", true)];
        for seed in 0..20 {
            let mut listed = addresses(&roster, "a1", seed);
            listed.sort();
            assert_eq!(listed, ["p:80", "q:80"], "seed {seed}");
        }
    }

    #[test]
    fn a_single_gateway_of_the_zone_is_topped_up_by_a_random_one_of_the_region() {
        let roster =
            [line("p", "a1", true), line("q", "a2", true), line("r", "a2", true), line("s", "b1", true)];
        let results: std::collections::BTreeSet<_> =
            (0..40).map(|seed| addresses(&roster, "a1", seed)).collect();
        let expected = [["p:80", "q:80"], ["p:80", "r:80"]].map(|pair| pair.map(String::from).to_vec());
        assert_eq!(results, expected.into());
    }

    #[test]
    fn gateways_that_are_not_ready_are_listed_only_if_none_is_ready() {
        let mut roster = vec![line("p", "a1", false), line("q", "a2", false), line("s", "b1", true)];
        assert_eq!(addresses(&roster, "a1", 1), ["s:80"]);
        roster[2].ready = false;
        assert_eq!(
            addresses(&roster, "a1", 1),
            ["p:80", "q:80"],
            "the client's region comes first even if its gateways are not ready"
        );
        assert_eq!(addresses(&roster[2..], "a1", 1), ["s:80"]);
        let far: Vec<_> = (0..100).map(|n| line(&format!("g{n}"), "b1", true)).collect();
        assert_eq!(addresses(&far, "a1", 3).len(), MAX_ADDRESSES);
        assert_eq!(addresses(&[], "a1", 3), Vec::<String>::new());
    }

    #[test]
    fn clients_are_sent_only_to_their_own_region_or_to_home_regions() {
        let roster = ["a1", "b1", "c1"].map(|zone| line(zone, zone, true));
        assert_eq!(
            addresses_with_homes(Some(&["a"]), &roster, "a1", 1),
            ["a1:80"],
            "a single gateway is not topped up from a region that is no home"
        );
        assert_eq!(
            addresses_with_homes(Some(&["b"]), &roster, "a1", 1),
            ["a1:80", "b1:80"],
            "topped up from a home region only"
        );
        let roster =
            [line("p", "a1", false), line("q", "a2", false), line("s", "b1", true), line("t", "c1", true)];
        assert_eq!(
            addresses_with_homes(Some(&["c"]), &roster, "a1", 1),
            ["t:80"],
            "a home region has a ready gateway"
        );
        assert_eq!(
            addresses_with_homes(Some(&["a"]), &roster, "a1", 1),
            ["p:80", "q:80"],
            "gateways of the own region, though none is ready"
        );
        assert_eq!(
            addresses_with_homes(Some(&[]), &roster, "a1", 1),
            ["p:80", "q:80"],
            "the routes have no common home"
        );
        assert_eq!(
            addresses_with_homes(Some(&["a"]), &roster[2..3], "a1", 1),
            ["s:80"],
            "the own region has no gateway at all"
        );
    }

    #[test]
    fn an_unknown_zone_falls_back_to_the_clients_region() {
        let roster = [line("p", "a1", true), line("q", "a2", true), line("s", "b1", true)];
        let mut listed = addresses(&roster, "a9", 5);
        listed.sort();
        assert_eq!(listed, ["p:80", "q:80"]);
    }
}
