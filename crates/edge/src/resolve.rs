//! `/-/resolve`: the gateways that a client should connect to.

use crate::core_client::CoreClient;
use nickeljunction_messages::GatewayInfo;
use nickeljunction_net::desk::{percent_decoded, Answering, Call, Resource, Response};
use nickeljunction_registry::{nearby_gateways, Client};
use std::cell::RefCell;
use std::rc::Rc;

/// Answers with the gateways that are near to a client.
pub struct ResolveResource {
    link: Rc<CoreClient>,
    random: RefCell<fastrand::Rng>,
    ttl_s: f64,
}

impl ResolveResource {
    /// A resource whose answers clients may cache for `ttl_s`.
    pub fn new(link: Rc<CoreClient>, seed: u64, ttl_s: f64) -> ResolveResource {
        ResolveResource { link, random: RefCell::new(fastrand::Rng::with_seed(seed)), ttl_s }
    }
}

impl Resource for ResolveResource {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            if call.method != "GET" {
                return Response::error(405, "wants GET").with("Allow", "GET");
            }
            let parameter = |name: &str| {
                let pairs = call.query().split('&').filter_map(|pair| pair.split_once('='));
                let mut values =
                    pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decoded(value));
                values.next().unwrap_or_default()
            };
            let (region, zone) = (parameter("region"), parameter("zone"));
            let homes = self.link.host_homes(&parameter("name"));
            let client = Client { region: &region, zone: &zone, homes: homes.as_deref() };
            let random = self.random.borrow_mut().u64(..);
            let mut gateways = self.link.gateways();
            if self.link.is_out_of_touch() {
                gateways = Rc::new(others(&gateways, self.link.name()));
            }
            let addresses = nearby_gateways(&gateways, &client, self.link.zones(), random);
            if addresses.is_empty() {
                return Response::error(503, "no gateway is known here yet").with("Retry-After", "0.3");
            }
            let answer = serde_json::json!({ "addresses": addresses, "ttl_s": self.ttl_s });
            Response::json(200, answer.to_string())
        })
    }
}

/// All gateways except the one of this name, or this one if there are no others.
fn others(gateways: &[GatewayInfo], name: &str) -> Vec<GatewayInfo> {
    let others: Vec<_> = gateways.iter().filter(|gateway| gateway.name != name).cloned().collect();
    match others.is_empty() {
        true => gateways.to_vec(),
        false => others,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_own_gateway_is_left_out_unless_it_is_the_only_one() {
        let gateway = |name: &str| GatewayInfo {
            name: name.into(),
            zone: "z".into(),
            front: format!("{name}:1"),
            ready: true,
        };
        let names = |gateways: &[GatewayInfo]| {
            let names = others(gateways, "g1").into_iter().map(|gateway| gateway.name);
            names.collect::<Vec<_>>()
        };
        assert_eq!(names(&[gateway("g1"), gateway("g2"), gateway("g3")]), ["g2", "g3"]);
        assert_eq!(names(&[gateway("g1")]), ["g1"]);
    }
}
