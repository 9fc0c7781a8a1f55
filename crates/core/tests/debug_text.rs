//! The `trace` command prints these types with `{:?}`: their text must not follow renames in the code.

use nickeljunction_core::facade::{CounterReply, Intake, Outcome, RegionEntry, RegionState};

#[test]
fn debug_output_keeps_the_printed_names() {
    let intake = Intake {
        class: "c".into(),
        never_twice: false,
        plan: "p".into(),
        customer: 1,
        timeout_ms: 2.0,
        units: 3.0,
        gateways: 4,
        retry: true,
    };
    assert_eq!(
        format!("{intake:?}"),
        "Intake { class: \"c\", never_twice: false, plan: \"p\", customer: 1, patience_ms: 2.0, units: 3.0, \
         doors: 4, retry: true }"
    );
    let region = RegionEntry {
        uid: "r".into(),
        endpoint: "e".into(),
        state: RegionState::Ready,
        zone: "z".into(),
        pod_group: 1,
        weight: 2.0,
        boot_ms: 3.0,
        distance: 4,
        rank: 5.0,
    };
    assert_eq!(
        format!("{region:?}"),
        "RegionEntry { uid: \"r\", endpoint: \"e\", state: Ready, zone: \"z\", pod_group: 1, weight: 2.0, \
         boot_ms: 3.0, near: 4, order: 5.0 }"
    );
    let outcomes = [Outcome::Rejected, Outcome::Unreadable, Outcome::Canceled, Outcome::NotSent];
    assert_eq!(format!("{outcomes:?}"), "[TurnedAway, Spoilt, CalledOff, NotSent]");
    let replies = [CounterReply::Total(1.0), CounterReply::Late(2.0), CounterReply::Unresolved];
    assert_eq!(format!("{replies:?}"), "[Total(1.0), Late(2.0), Never]");
}
