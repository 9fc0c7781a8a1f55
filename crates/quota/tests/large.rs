//! 295 gateways and 190 tenants, most of them small: share of requests within the limit that is refused, and the number
//! of calls to the counter.

mod simulation;

use nickeljunction_quota::Limit;
use simulation::Simulation;

const GATEWAYS: usize = 295;
const TENANTS: usize = 190;
/// Requests a second of all tenants together.
const TOTAL_RATE: f64 = 4_500.0;
/// Maximum share of requests within the limit that may be refused.
const MAX_REFUSED: f64 = 0.005;
/// Maximum calls a second that the leader has to answer.
const MAX_CALLS_PER_S: u64 = 2_000;

/// A fleet that has been in service for 8 s. The limit of each tenant is 1.6 times its traffic, with a burst of one
/// second.
fn running_fleet(seed: u64) -> Simulation {
    let weight = |number: usize| 1.0 / (number as f64 + 1.0).powf(0.9);
    let total_weight: f64 = (0..TENANTS).map(weight).sum();
    let tenant = |number| {
        let usual = TOTAL_RATE * weight(number) / total_weight;
        (Limit::with_default_margin(usual * 1.6, usual * 1.6, 5.0, 0.1, 20.0).expect("a limit"), usual)
    };
    let tenants: Vec<(Limit, f64)> = (0..TENANTS).map(tenant).collect();
    let mut sim = Simulation::new(seed, GATEWAYS, &tenants);
    // Gateways and counter are in different regions.
    sim.delay = (2, 22);
    sim.run(8_000);
    sim
}

#[test]
fn tenants_with_rare_requests_at_each_gateway_get_their_quota() {
    let mut sim = running_fleet(1);
    sim.reset_stats();
    sim.run(6_000);
    for number in [0, 5, 20, 50, TENANTS - 1] {
        let stats = &sim.tenants[number];
        let waited = stats.waited as f64 / stats.requested as f64;
        println!(
            "{:.0} a second, cap {}: refused {:.4}, waited {waited:.3}",
            stats.rate,
            stats.cap,
            sim.refused_share(number)
        );
    }
    let (refused, requested) =
        sim.tenants.iter().fold((0, 0), |sum, t| (sum.0 + t.refused, sum.1 + t.requested));
    let refused = refused as f64 / requested as f64;
    println!(
        "refused {refused:.4}, {} calls/s, {} bytes a call and its answer",
        sim.calls / 6,
        sim.bytes as u64 / sim.calls
    );
    assert!(refused < MAX_REFUSED, "{refused}");
    assert!(sim.calls < 6 * MAX_CALLS_PER_S, "{} calls in 6 s", sim.calls);
    sim.check_caps("no faults");
}
