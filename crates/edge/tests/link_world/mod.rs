//! A gateway's link to a core and to fellow gateways whose answers are scripted.

use nickeljunction_edge::core_client::{CoreClient, GatewayIdentity};
use nickeljunction_edge::proxy::{Proxy, ProxyTuning};
use nickeljunction_edge::table::{SnapshotCell, Table};
use nickeljunction_edge::upstream::Location;
use nickeljunction_net::budget::Budget;
use nickeljunction_net::caller::Caller;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::desk::{Desk, Limits, Resource};
use nickeljunction_net::wheel::Wheel;
use nickeljunction_schema::Bounds;
use std::rc::Rc;
use tokio::net::TcpListener;

pub fn wheel() -> Wheel {
    let wheel = Wheel::new(Clock::start());
    tokio::task::spawn_local(wheel.clone().run());
    wheel
}

/// A gateway whose core and whose fellow gateways are at this port of the loopback address.
pub fn link(wheel: &Wheel, inner_port: u16) -> Rc<CoreClient> {
    let place = Location { name: "edge-1".into(), zone: "z".into(), region: "r".into() };
    let proxy = Proxy::new(wheel.clone(), Budget::new(64), place.clone(), 1, ProxyTuning::default());
    let own = GatewayIdentity {
        place,
        client_address: "127.0.0.1:1".into(),
        inner_port,
        incarnation: 1,
        bounds: Bounds::default(),
        zones: Default::default(),
        serves_directory: false,
    };
    let table = Rc::new(SnapshotCell::new(Table::empty()));
    let seeds = vec!["127.0.0.1".into()];
    CoreClient::new(own, wheel.clone(), Caller::new(wheel.clone()), table, proxy, seeds, 1)
}

/// A machine that serves these resources, at its port.
pub async fn serve(wheel: &Wheel, resources: &[(&str, Rc<dyn Resource>)]) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let port = listener.local_addr().expect("bound").port();
    let desk = Desk::new(wheel.clone(), Limits::default());
    let desk = resources.iter().fold(desk, |desk, (at, resource)| desk.route(at, resource.clone()));
    tokio::task::spawn_local(Rc::new(desk).serve(listener));
    port
}
