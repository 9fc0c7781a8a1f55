use super::*;

#[test]
fn a_call_is_made_again_soon_after_it_should_have_been_answered() {
    let mut delay = HedgeDelay::default();
    assert_eq!(delay.delay_ms(), FIRST_MS);
    for call in 0..200 {
        delay.record_latency(if call % 2 == 0 { 85.0 } else { 95.0 });
    }
    assert!((95.0..120.0).contains(&delay.delay_ms()), "{}", delay.delay_ms());
    // A way that has become longer is learned, so that not every call is made twice.
    (0..60).for_each(|_| delay.record_latency(160.0));
    assert!((160.0..260.0).contains(&delay.delay_ms()), "{}", delay.delay_ms());
}

#[test]
fn the_delay_has_bounds() {
    for (ms, bound) in [(0.0, LEAST_MS), (9_000.0, MOST_MS)] {
        let mut delay = HedgeDelay::default();
        delay.record_latency(ms);
        assert_eq!(delay.delay_ms(), bound);
    }
}
