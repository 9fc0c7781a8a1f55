//! When requests leave their own region.

use nickeljunction_edge::overflow::Overflow;

const SLOTS: u32 = 186;

/// A gateway's view after so many sends of which every `nth` found no room.
fn after(overflow: &mut Overflow, sends: usize, nth: usize) {
    for at in 1..=sends {
        overflow.record_arrival(1);
        overflow.record_send(at % nth != 0);
    }
}

#[test]
fn a_busy_gateway_does_not_leave_a_region_that_has_room() {
    // Of 98 gateways this one has twice its share of work that fills half of the region's slots.
    let mut overflow = Overflow::default();
    for _ in 0..1_000 {
        overflow.record_arrival(2);
        overflow.record_send(true);
        assert!(!overflow.update(SLOTS));
    }
    after(&mut overflow, 1_000, 20);
    assert!(!overflow.update(SLOTS), "one send in twenty is no lack of room");
}

#[test]
fn a_region_whose_servers_turn_requests_away_is_left_within_a_few_sends_and_calmly_used_again() {
    let mut overflow = Overflow::default();
    let sends_until_wide = (1..100).find(|_| {
        overflow.record_send(false);
        overflow.update(SLOTS)
    });
    assert!(sends_until_wide.is_some_and(|sends| sends <= 5), "{sends_until_wide:?}");
    after(&mut overflow, 10, 2);
    assert!(overflow.update(SLOTS), "half of the sends still find no room");
    let sends_until_back = (1..200).find(|_| {
        overflow.record_send(true);
        !overflow.update(SLOTS)
    });
    assert!(sends_until_back.is_some_and(|sends| (10..=60).contains(&sends)), "{sends_until_back:?}");
}

#[test]
fn a_region_without_slots_or_with_fewer_than_one_gateway_needs_is_left_at_once() {
    let mut overflow = Overflow::default();
    assert!(overflow.update(0) && !overflow.update(SLOTS));
    (0..200).for_each(|_| overflow.record_arrival(5));
    assert!(overflow.update(4) && !overflow.update(9));
}

#[test]
fn a_gateway_without_requests_forgets_that_there_was_no_room() {
    let mut overflow = Overflow::default();
    after(&mut overflow, 20, 1);
    assert!(overflow.update(SLOTS));
    (0..6).for_each(|_| overflow.decay());
    assert!(!overflow.update(SLOTS));
}
