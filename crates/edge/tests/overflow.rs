//! Tests of the decision whether a gateway sends requests to other regions.

use nickeljunction_edge::overflow::Overflow;

const SLOTS: u32 = 186;

/// Records `sends` requests; every `nth` of them found no capacity.
fn record_requests(overflow: &mut Overflow, sends: usize, nth: usize) {
    for number in 1..=sends {
        overflow.record_arrival(1);
        overflow.record_send(number % nth != 0);
    }
}

#[test]
fn busy_gateway_does_not_overflow_from_a_region_with_capacity() {
    // All 98 gateways together use half of the region's slots; this one has twice its share of the requests.
    let mut overflow = Overflow::default();
    for _ in 0..1_000 {
        overflow.record_arrival(2);
        overflow.record_send(true);
        assert!(!overflow.update(SLOTS));
    }
    record_requests(&mut overflow, 1_000, 20);
    assert!(!overflow.update(SLOTS), "one request in twenty without capacity causes no overflow");
}

#[test]
fn overflow_begins_after_a_few_requests_without_capacity_and_ends_gradually() {
    let mut overflow = Overflow::default();
    let sends_until_overflow = (1..100).find(|_| {
        overflow.record_send(false);
        overflow.update(SLOTS)
    });
    assert!(sends_until_overflow.is_some_and(|sends| sends <= 5), "{sends_until_overflow:?}");
    record_requests(&mut overflow, 10, 2);
    assert!(overflow.update(SLOTS), "overflow continues while half of the requests find no capacity");
    let sends_until_local = (1..200).find(|_| {
        overflow.record_send(true);
        !overflow.update(SLOTS)
    });
    assert!(sends_until_local.is_some_and(|sends| (10..=60).contains(&sends)), "{sends_until_local:?}");
}

#[test]
fn region_with_no_slots_or_fewer_than_one_gateway_needs_overflows_at_once() {
    let mut overflow = Overflow::default();
    assert!(overflow.update(0) && !overflow.update(SLOTS));
    (0..200).for_each(|_| overflow.record_arrival(5));
    assert!(overflow.update(4) && !overflow.update(9));
}

#[test]
fn overflow_decays_without_requests() {
    let mut overflow = Overflow::default();
    record_requests(&mut overflow, 20, 1);
    assert!(overflow.update(SLOTS));
    (0..6).for_each(|_| overflow.decay());
    assert!(!overflow.update(SLOTS));
}
