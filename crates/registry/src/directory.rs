//! Which gateways a client is told of.

use nickeljunction_messages::GatewayInfo;
use std::collections::BTreeMap;

/// Most addresses that an answer may hold.
pub const MAX_ADDRESSES: usize = 64;

/// Fewest addresses worth telling: a client whose only gateway dies finds another one without asking again.
const FEWEST: usize = 2;

/// Who asks for the gateways of a host.
#[derive(Debug, Clone, Copy)]
pub struct Client<'a> {
    /// Its region, which counts where its zone is not known.
    pub region: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Regions that are a home of each of the host's routes with homes: those beside its own to which the client may be led.
    /// `None`: no route of the host has homes, and it may be led anywhere.
    pub homes: Option<&'a [String]>,
}

/// Addresses of the gateways that a client should use, near ones first, at most [`MAX_ADDRESSES`].
///
/// Clients pick by chance among all of them, so that a far one takes as much as a near one: only the nearest tier that
/// holds any is listed (zone, region, elsewhere), topped up to two from the next. `zones` gives each zone's region;
/// `dice` draws whom to take for it.
///
/// A gateway counts elsewhere only if the client may be led to its region. Where none that counts is ready, all of the own
/// region are listed: a request must not leave its region because the directory knew no better. Only where that has none at
/// all are others listed, ready ones first.
pub fn nearby_gateways(
    roster: &[GatewayInfo],
    client: &Client<'_>,
    zones: &BTreeMap<String, String>,
    dice: u64,
) -> Vec<String> {
    let mut dice = Dice(dice);
    let (own, others) = split(roster, client, zones);
    let ready = |line: &&&GatewayInfo| line.ready;
    let allowed = |line: &&&GatewayInfo| {
        let region = zones.get(&line.zone);
        client.homes.is_none_or(|homes| region.is_some_and(|region| homes.contains(region)))
    };
    let near = own.iter().filter(ready).partition::<Vec<_>, _>(|line| line.zone == client.zone);
    let far: Vec<&GatewayInfo> = others.iter().filter(ready).filter(allowed).copied().collect();
    let mut listed = Vec::new();
    for tier in [near.0, near.1, far] {
        let most = if listed.is_empty() { MAX_ADDRESSES } else { FEWEST.saturating_sub(listed.len()) };
        add(&mut listed, tier, most, &mut dice);
    }
    if !listed.is_empty() {
        return listed;
    }
    let unready = own.iter().partition::<Vec<_>, _>(|line| line.zone == client.zone);
    let far = others.iter().partition::<Vec<_>, _>(|line| line.ready);
    for tiers in [[unready.0, unready.1], [far.0, Vec::new()], [far.1, Vec::new()]] {
        for tier in tiers {
            let most = MAX_ADDRESSES - listed.len();
            add(&mut listed, tier, most, &mut dice);
        }
        if !listed.is_empty() {
            break;
        }
    }
    listed
}

/// The gateways of the client's own region, and all others.
fn split<'a>(
    roster: &'a [GatewayInfo],
    client: &Client<'_>,
    zones: &BTreeMap<String, String>,
) -> (Vec<&'a GatewayInfo>, Vec<&'a GatewayInfo>) {
    let region = zones.get(client.zone).map_or(client.region, String::as_str);
    let own = |line: &&GatewayInfo| {
        line.zone == client.zone || zones.get(&line.zone).is_some_and(|there| there == region)
    };
    roster.iter().partition(own)
}

/// Lists `most` gateways of a tier, in a drawn order.
fn add(listed: &mut Vec<String>, mut tier: Vec<&GatewayInfo>, most: usize, dice: &mut Dice) {
    dice.shuffle(&mut tier);
    for line in tier.into_iter().take(most) {
        if !listed.contains(&line.front) {
            listed.push(line.front.clone());
        }
    }
}

/// SplitMix64: enough for a fair draw.
struct Dice(u64);

impl Dice {
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

    fn ask(roster: &[GatewayInfo], zone: &str, dice: u64) -> Vec<String> {
        ask_for(None, roster, zone, dice)
    }

    fn ask_for(homes: Option<&[&str]>, roster: &[GatewayInfo], zone: &str, dice: u64) -> Vec<String> {
        let homes = homes.map(|homes| homes.iter().map(|home| home.to_string()).collect::<Vec<_>>());
        let client = Client { region: "a", zone, homes: homes.as_deref() };
        nearby_gateways(roster, &client, &zones(), dice)
    }

    #[test]
    fn the_own_zone_is_enough_where_two_are_ready() {
        let roster =
            [line("p", "a1", true), line("q", "a1", true), line("r", "a2", true), line("s", "b1", true)];
        for dice in 0..20 {
            let mut listed = ask(&roster, "a1", dice);
            listed.sort();
            assert_eq!(listed, ["p:80", "q:80"], "dice {dice}");
        }
    }

    #[test]
    fn a_lone_gateway_is_joined_by_one_of_the_region_and_each_gets_its_turn() {
        let roster =
            [line("p", "a1", true), line("q", "a2", true), line("r", "a2", true), line("s", "b1", true)];
        let seen: std::collections::BTreeSet<_> = (0..40).map(|dice| ask(&roster, "a1", dice)).collect();
        let expected = [["p:80", "q:80"], ["p:80", "r:80"]].map(|pair| pair.map(String::from).to_vec());
        assert_eq!(seen, expected.into());
    }

    #[test]
    fn what_leaves_is_not_listed_unless_nothing_is_ready() {
        let mut roster = vec![line("p", "a1", false), line("q", "a2", false), line("s", "b1", true)];
        assert_eq!(ask(&roster, "a1", 1), ["s:80"]);
        roster[2].ready = false;
        assert_eq!(ask(&roster, "a1", 1), ["p:80", "q:80"], "near ones first, though not ready");
        assert_eq!(ask(&roster[2..], "a1", 1), ["s:80"]);
        let far: Vec<_> = (0..100).map(|n| line(&format!("g{n}"), "b1", true)).collect();
        assert_eq!(ask(&far, "a1", 3).len(), MAX_ADDRESSES);
        assert_eq!(ask(&[], "a1", 3), Vec::<String>::new());
    }

    #[test]
    fn no_client_is_led_to_a_region_that_is_neither_its_own_nor_a_home() {
        let roster = ["a1", "b1", "c1"].map(|zone| line(zone, zone, true));
        assert_eq!(
            ask_for(Some(&["a"]), &roster, "a1", 1),
            ["a1:80"],
            "a lone one is not joined by a far one"
        );
        assert_eq!(ask_for(Some(&["b"]), &roster, "a1", 1), ["a1:80", "b1:80"], "nor by one of no home");
        let roster =
            [line("p", "a1", false), line("q", "a2", false), line("s", "b1", true), line("t", "c1", true)];
        assert_eq!(ask_for(Some(&["c"]), &roster, "a1", 1), ["t:80"], "a home's are ready");
        assert_eq!(ask_for(Some(&["a"]), &roster, "a1", 1), ["p:80", "q:80"], "the own, though not ready");
        assert_eq!(
            ask_for(Some(&[]), &roster, "a1", 1),
            ["p:80", "q:80"],
            "homes that have nothing in common"
        );
        assert_eq!(ask_for(Some(&["a"]), &roster[2..3], "a1", 1), ["s:80"], "there is no other");
    }

    #[test]
    fn a_zone_that_nobody_knows_goes_by_the_region() {
        let roster = [line("p", "a1", true), line("q", "a2", true), line("s", "b1", true)];
        let mut listed = ask(&roster, "a9", 5);
        listed.sort();
        assert_eq!(listed, ["p:80", "q:80"]);
    }
}
