//! 85 gateways and 24 tenants of very different sizes, most of them small: share of requests within the limit that is
//! refused, without faults and after gateways are lost.

mod simulation;

use nickeljunction_quota::Limit;
use simulation::Simulation;

const GATEWAYS: usize = 85;
/// Requests a second of each tenant. Its limit is 1.6 times that, with a burst of one second.
const USUAL_RATES: [f64; 24] = [
    170.0, 72.0, 47.0, 36.0, 29.0, 25.0, 22.0, 20.0, 18.0, 16.0, 15.0, 14.0, 13.0, 12.5, 12.0, 11.5, 11.0,
    10.5, 10.0, 10.0, 9.5, 9.5, 9.0, 9.0,
];
const SEEDS: [u64; 3] = [1, 2, 3];
/// Maximum share of requests within the limit that may be refused.
const MAX_REFUSED: f64 = 0.005;
/// Maximum share of requests that may be refused while gateways are restarted soon after a loss.
const MAX_REFUSED_DURING_RESTARTS: f64 = 0.05;

/// A fleet that has been in service for 12 s.
fn running_fleet(seed: u64) -> Simulation {
    let limit = |usual: f64| {
        (Limit::with_default_margin(usual * 1.6, usual * 1.6, 5.0, 0.1, 20.0).expect("a limit"), usual)
    };
    let mut sim = Simulation::new(seed, GATEWAYS, &USUAL_RATES.map(limit));
    // Gateways and counter are in different regions.
    sim.delay = (1, 40);
    sim.run(12_000);
    sim
}

/// Share of all requests refused during the next `ms`.
fn refused_over(sim: &mut Simulation, ms: u64) -> f64 {
    sim.reset_stats();
    sim.run(ms);
    refused(sim)
}

fn refused(sim: &Simulation) -> f64 {
    let (refused, requested) =
        sim.tenants.iter().fold((0, 0), |sum, t| (sum.0 + t.refused, sum.1 + t.requested));
    refused as f64 / requested.max(1) as f64
}

/// Share of all requests refused in each of the next windows of 2 s.
fn refused_by_window(sim: &mut Simulation, windows: usize) -> Vec<f64> {
    (0..windows).map(|_| refused_over(sim, 2_000)).collect()
}

fn formatted(shares: &[f64]) -> String {
    shares.iter().map(|share| format!("{share:.3}")).collect::<Vec<_>>().join(" ")
}

/// The sum of all loans is bounded by a tenant's pace as well as by its cap. Gateways that know only what remains of
/// the cap keep idle units that can then not be lent to others.
#[test]
fn idle_units_are_returned_for_other_gateways() {
    for seed in SEEDS {
        let mut sim = running_fleet(seed);
        sim.reset_stats();
        let refused = refused_over(&mut sim, 10_000);
        println!("seed {seed}: refused {refused:.4}, {:.0} calls/s", sim.calls as f64 / 10.0);
        assert!(refused < MAX_REFUSED, "seed {seed}: {refused}");
        assert!(sim.calls < 6_000, "seed {seed}: {} calls in 10 s", sim.calls);
        sim.check_caps("no faults");
    }
}

#[test]
fn refusals_end_two_windows_after_most_gateways_restart() {
    for seed in SEEDS {
        let mut sim = running_fleet(seed);
        (0..60).for_each(|gateway| sim.kill(gateway));
        sim.run(1_500);
        (0..60).for_each(|gateway| sim.restart(gateway));
        let windows = refused_by_window(&mut sim, 6);
        println!("seed {seed}: refused after 60 of {GATEWAYS} were lost {}", formatted(&windows));
        let later = windows[3..].iter().sum::<f64>() / 3.0;
        assert!(later < MAX_REFUSED, "seed {seed}: {later}");
        sim.check_caps("most gateways lost");
    }
}

/// Guards against incident 019.
#[test]
fn restarts_soon_after_a_total_loss_refuse_few_requests() {
    for seed in SEEDS {
        let mut sim = running_fleet(seed);
        sim.lose_counter();
        (0..GATEWAYS).for_each(|gateway| sim.kill(gateway));
        sim.run(5_000);
        (0..GATEWAYS).for_each(|gateway| sim.restart(gateway));
        sim.run(300);
        sim.start_new_counter();
        let after_loss = refused_by_window(&mut sim, 2);
        sim.run(1_200);
        sim.reset_stats();
        for gateway in 0..30 {
            sim.restart(gateway);
            sim.run(250);
        }
        let during_restarts = refused(&sim);
        println!(
            "seed {seed}: refused {} after a total loss, {during_restarts:.3} while 30 are restarted",
            formatted(&after_loss)
        );
        assert!(during_restarts < MAX_REFUSED_DURING_RESTARTS, "seed {seed}: {during_restarts}");
        sim.check_caps("total loss");
    }
}
