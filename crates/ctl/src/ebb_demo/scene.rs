//! What is played: configuration, weights of gateways, the timetable, and how a gateway may be broken on purpose.

use super::record::{Kind, KINDS, LAPSED, TENANTS};
use serde_json::{json, Map, Value};

/// Host name of all routes.
pub const HOST: &str = "donors.example";
/// Gateways, and zones that they are in.
pub const GATEWAYS: u8 = 9;
/// Zones.
pub const ZONES: usize = 3;
/// A tenant's requests at the gateway with the most, in those at the gateway with the least.
const HEAVIEST: f64 = 3.0;

/// Stages of the trial: how long each lasts, s, waits of those that give way first and of reads, s, part of the pace.
const STAGES: [(f64, f64, f64, f64); 4] =
    [(4.0, 0.1, 0.0, 1.0), (4.0, 0.25, 0.05, 1.0), (4.0, 0.4, 0.1, 0.9), (4.0, 0.6, 0.15, 0.8)];
/// More than twice what the tenant sends: waits alone slow it.
const RATE_PER_S: f64 = 400.0;

/// Seconds of traffic where none are given, and bounds of them.
pub const USUAL_S: f64 = 46.0;
/// The shortest still has some seconds after the restoring.
pub const LENGTH_S: (f64, f64) = (30.0, 600.0);

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// The tenant's trial is ordered to lapse.
    Lapse,
    /// The core process that leads is killed.
    KillLeader,
    /// It comes back with its disk.
    LeaderBack,
    /// The gateways of [`KILLED`] are killed.
    KillGateways,
    /// They come back.
    GatewaysBack,
    /// The trial is ordered to be restored.
    Restore,
}

/// When, s.
pub const TIMETABLE: [(f64, Event); 6] = [
    (6.0, Event::Lapse),
    (11.0, Event::KillLeader),
    (13.0, Event::LeaderBack),
    (15.0, Event::KillGateways),
    (18.0, Event::GatewaysBack),
    (27.0, Event::Restore),
];
/// Places of the gateways that are killed: fewer than the tries of a client.
pub const KILLED: [usize; 2] = [2, 6];
/// Place of the gateway that is broken on purpose.
pub const BROKEN: usize = 4;

/// How a gateway is broken on purpose, by a relay before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// Each booking is sent twice.
    Twice,
    /// Each fourth booking is run and its client told that it was not.
    Denied,
    /// Each fourth request's connection ends without an answer.
    Lost,
    /// From the lapse on, what can wait waits longer than at the others.
    Uneven,
    /// From the lapse on, bookings wait.
    Late,
}

impl Broken {
    /// By its name.
    pub fn read(name: &str) -> Option<Broken> {
        match name {
            "twice" => Some(Broken::Twice),
            "denied" => Some(Broken::Denied),
            "lost" => Some(Broken::Lost),
            "uneven" => Some(Broken::Uneven),
            "late" => Some(Broken::Late),
            _ => None,
        }
    }
}

/// Part of a tenant's traffic that a gateway gets, 1 at the first to [`HEAVIEST`] at the last.
pub fn weight(gateway: usize) -> f64 {
    1.0 + (HEAVIEST - 1.0) * gateway as f64 / f64::from(GATEWAYS - 1)
}

/// Added waits of each stage, ms: of those that give way first, of reads.
pub fn waits() -> Vec<(f64, f64)> {
    STAGES.map(|(_, wait, read_wait, _)| (wait * 1_000.0, read_wait * 1_000.0)).to_vec()
}

/// How long a stage lasts at least, ms.
pub fn stage_ms() -> f64 {
    STAGES.iter().map(|(length, ..)| length * 1_000.0).fold(0.0, f64::max)
}

/// A tenant's key.
pub fn key(tenant: &str) -> String {
    format!("key-of-{tenant}")
}

/// The configuration.
pub fn config() -> Value {
    let (mut routes, mut backends, mut tenants) = (Map::new(), Map::new(), Map::new());
    for Kind { name, route_type, rank, .. } in KINDS {
        let mut route = json!({"hostname": HOST, "path_prefix": format!("/{name}/"), "route_type": route_type,
            "backend": name, "timeout_s": 4.0, "target_latency_s": 0.5, "priority": 1, "max_attempts": 2});
        // Downloads give way first by themselves.
        if rank == super::record::FIRST && route_type == "idempotent" {
            route["gives_way"] = rank.into();
        }
        routes.insert(name.into(), route);
        backends.insert(
            name.into(),
            json!({"health_check": "/health", "max_connections": 400, "protocol": "h1", "tls": false,
            "warmup_s": 0}),
        );
    }
    for name in TENANTS {
        let tenant = json!({"api_keys": [key(name)], "priority": 1, "rate_per_s": RATE_PER_S, "burst_size": RATE_PER_S});
        tenants.insert(name.into(), tenant);
    }
    let stages: Vec<Value> = STAGES
        .iter()
        .map(|(length, wait, read_wait, pace)| {
            json!({"for_s": length, "wait_s": wait, "read_wait_s": read_wait, "pace": pace})
        })
        .collect();
    json!({"config_version": 1, "routes": routes, "backends": backends, "tenants": tenants,
        "trials": {(TENANTS[LAPSED]): {"stages": stages}},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_048_576, "header_timeout_s": 3, "idle_timeout_s": 15}})
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickeljunction_schema::Document;

    #[test]
    fn the_configuration_is_taken_and_ranks_are_as_the_check_takes_them() {
        let document = Document::read(config().to_string().as_bytes()).expect("valid");
        for kind in KINDS {
            assert_eq!(document.config().routes[kind.name].rank(), kind.rank, "{}", kind.name);
        }
        assert_eq!(document.config().trials[TENANTS[LAPSED]].stages.len(), waits().len());
        let sent: f64 = (0..usize::from(GATEWAYS)).map(weight).sum::<f64>()
            * KINDS.iter().map(|kind| kind.per_s).sum::<f64>();
        let pace = RATE_PER_S * STAGES.iter().map(|stage| stage.3).fold(1.0, f64::min);
        assert!(pace > 1.5 * sent, "a pace of {pace} for {sent} requests a second");
    }
}
