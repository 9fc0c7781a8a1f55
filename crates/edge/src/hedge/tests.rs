use super::*;

#[test]
fn delay_follows_the_measured_latencies() {
    let mut delay = HedgeDelay::default();
    assert_eq!(delay.delay_ms(), INITIAL_MS);
    for call in 0..200 {
        delay.record_latency(if call % 2 == 0 { 85.0 } else { 95.0 });
    }
    assert!((95.0..120.0).contains(&delay.delay_ms()), "{}", delay.delay_ms());
    // A longer latency is learned within some calls, so that not every call is sent twice.
    (0..60).for_each(|_| delay.record_latency(160.0));
    assert!((160.0..260.0).contains(&delay.delay_ms()), "{}", delay.delay_ms());
}

#[test]
fn delay_stays_within_its_bounds() {
    for (latency_ms, bound) in [(0.0, MIN_MS), (9_000.0, MAX_MS)] {
        let mut delay = HedgeDelay::default();
        delay.record_latency(latency_ms);
        assert_eq!(delay.delay_ms(), bound);
    }
}
