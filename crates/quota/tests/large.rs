//! 295 gateways before 190 tenants, most of them small: what is refused within the limit, and how many calls that takes.

mod world;

use nickeljunction_quota::Limit;
use world::World;

const GATEWAYS: usize = 295;
const TENANTS: usize = 190;
/// Requests a second of all tenants.
const USUAL: f64 = 4_500.0;
/// Share of requests within the limit that may be refused.
const REFUSED_MOST: f64 = 0.005;
/// Calls a second that the leader is to answer at most.
const CALLS_MOST: u64 = 2_000;

/// In service for 8 s; each tenant has a limit of 1.6 times its use, and a burst of a second.
fn large(seed: u64) -> World {
    let part = |number: usize| 1.0 / (number as f64 + 1.0).powf(0.9);
    let whole: f64 = (0..TENANTS).map(part).sum();
    let tenant = |number| {
        let usual = USUAL * part(number) / whole;
        (Limit::with_default_margin(usual * 1.6, usual * 1.6, 5.0, 0.1, 20.0).expect("a limit"), usual)
    };
    let tenants: Vec<(Limit, f64)> = (0..TENANTS).map(tenant).collect();
    let mut world = World::new(seed, GATEWAYS, &tenants);
    // Regions are apart.
    world.delay = (2, 22);
    world.run(8_000);
    world
}

#[test]
fn tenants_that_ask_each_gateway_once_in_many_seconds_are_served_within_their_quota() {
    let mut world = large(1);
    world.reset_luck();
    world.run(6_000);
    for number in [0, 5, 20, 50, TENANTS - 1] {
        let luck = &world.tenants[number];
        let waited = luck.waited as f64 / luck.asked as f64;
        println!(
            "{:.0} a second, cap {}: refused {:.4}, waited {waited:.3}",
            luck.rate,
            luck.cap,
            world.refused(number)
        );
    }
    let (refused, asked) = world.tenants.iter().fold((0, 0), |sum, t| (sum.0 + t.refused, sum.1 + t.asked));
    let refused = refused as f64 / asked as f64;
    println!(
        "refused {refused:.4}, {} calls/s, {} bytes a call and its answer",
        world.calls / 6,
        world.bytes as u64 / world.calls
    );
    assert!(refused < REFUSED_MOST, "{refused}");
    assert!(world.calls < 6 * CALLS_MOST, "{} calls in 6 s", world.calls);
    world.check("calm");
}
