//! `/-/resolve`: where a client is to go.

use crate::core_client::CoreClient;
use nickeljunction_messages::GatewayInfo;
use nickeljunction_net::desk::{percent_decoded, Answering, Call, Resource, Response};
use nickeljunction_registry::{nearby_gateways, Client};
use std::cell::RefCell;
use std::rc::Rc;

/// See the module.
pub struct ResolveResource {
    link: Rc<CoreClient>,
    dice: RefCell<fastrand::Rng>,
    ttl_s: f64,
}

impl ResolveResource {
    /// The directory; its answers are kept for `ttl_s`.
    pub fn new(link: Rc<CoreClient>, seed: u64, ttl_s: f64) -> ResolveResource {
        ResolveResource { link, dice: RefCell::new(fastrand::Rng::with_seed(seed)), ttl_s }
    }
}

impl Resource for ResolveResource {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            if call.method != "GET" {
                return Response::error(405, "wants GET").with("Allow", "GET");
            }
            let asked = |name: &str| {
                let pairs = call.query().split('&').filter_map(|pair| pair.split_once('='));
                let mut values =
                    pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decoded(value));
                values.next().unwrap_or_default()
            };
            let (region, zone) = (asked("region"), asked("zone"));
            let homes = self.link.host_homes(&asked("name"));
            let client = Client { region: &region, zone: &zone, homes: homes.as_deref() };
            let dice = self.dice.borrow_mut().u64(..);
            let mut roster = self.link.gateways();
            if self.link.is_out_of_touch() {
                roster = Rc::new(others(&roster, self.link.name()));
            }
            let addresses = nearby_gateways(&roster, &client, self.link.zones(), dice);
            if addresses.is_empty() {
                return Response::error(503, "no gateway is known here yet").with("Retry-After", "0.3");
            }
            let answer = serde_json::json!({ "addresses": addresses, "ttl_s": self.ttl_s });
            Response::json(200, answer.to_string())
        })
    }
}

/// All gateways but the one of this name; all of them where it is the only one.
fn others(roster: &[GatewayInfo], name: &str) -> Vec<GatewayInfo> {
    let others: Vec<_> = roster.iter().filter(|line| line.name != name).cloned().collect();
    match others.is_empty() {
        true => roster.to_vec(),
        false => others,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_gateway_out_of_touch_names_the_others_and_itself_only_if_there_are_none() {
        let line = |name: &str| GatewayInfo {
            name: name.into(),
            zone: "z".into(),
            front: format!("{name}:1"),
            ready: true,
        };
        let named = |roster: &[GatewayInfo]| {
            let names = others(roster, "g1").into_iter().map(|line| line.name);
            names.collect::<Vec<_>>()
        };
        assert_eq!(named(&[line("g1"), line("g2"), line("g3")]), ["g2", "g3"]);
        assert_eq!(named(&[line("g1")]), ["g1"]);
    }
}
