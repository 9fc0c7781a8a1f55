//! A [`CoreClient`] for tests, and HTTP servers with scripted resources that stand for core hosts and other gateways.

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

/// A running timer wheel.
pub fn start_wheel() -> Wheel {
    let wheel = Wheel::new(Clock::start());
    tokio::task::spawn_local(wheel.clone().run());
    wheel
}

/// The core client of a gateway that calls the core and other gateways at `inner_port` of the loopback address.
pub fn core_client(wheel: &Wheel, inner_port: u16) -> Rc<CoreClient> {
    let location = Location { name: "edge-1".into(), zone: "z".into(), region: "r".into() };
    let proxy = Proxy::new(wheel.clone(), Budget::new(64), location.clone(), 1, ProxyTuning::default());
    let identity = GatewayIdentity {
        place: location,
        client_address: "127.0.0.1:1".into(),
        inner_port,
        incarnation: 1,
        bounds: Bounds::default(),
        zones: Default::default(),
        serves_directory: false,
    };
    let table = Rc::new(SnapshotCell::new(Table::empty()));
    let seeds = vec!["127.0.0.1".into()];
    CoreClient::new(identity, wheel.clone(), Caller::new(wheel.clone()), table, proxy, seeds, 1)
}

/// Serves these resources by their paths on a free loopback port, and returns the port.
pub async fn start_server(wheel: &Wheel, resources: &[(&str, Rc<dyn Resource>)]) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let port = listener.local_addr().expect("local address").port();
    let server = Desk::new(wheel.clone(), Limits::default());
    let server =
        resources.iter().fold(server, |server, (path, resource)| server.route(path, resource.clone()));
    tokio::task::spawn_local(Rc::new(server).serve(listener));
    port
}
