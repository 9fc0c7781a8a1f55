//! Slow clients over real sockets: a body that comes in pieces for longer than a head may take.

mod scenario;

use scenario::Rig;

/// The head of a POST of 40,000 bytes, in the scenario's escapes.
fn head(id: &str) -> String {
    format!(
        "POST /once/1 HTTP/1.1\\r\\nHost: x\\r\\nRequest-Id: 00000000000000{id}\\r\\nX-Contract: large\\r\\n\
        X-Client-Id: 0000000000000007\\r\\nRequest-Timeout: 20\\r\\nX-Metering: units=1,spread=1,first=0\\r\\n\
        Content-Length: 40000\\r\\n\\r\\n"
    )
}

/// A client that sends its head in two parts over a second, then a body of 40,000 bytes at about 26 kB/s, beside
/// a booking server that answers at once: the request is whole only after the time a head may take, and is
/// served all the same.
#[test]
fn a_client_at_64_kb_a_second_beside_a_fast_booking_server() {
    let mut rig = Rig::new(1, &[]);
    let head = head("a1");
    let (first, rest) = head.split_at(40);
    let mut script = format!("a: raw {first}\nwait 1000\na: raw {rest}\n");
    for _ in 0..10 {
        script += &format!("wait 150\na: raw {}\n", "x".repeat(4_000));
    }
    script += "r1: expect POST /once/1\nr1: send 200 whole\na: expect 200 whole";
    rig.play(&script);
}

/// A body that stands still for longer than a piece may wait ends its request with 408, and nothing goes on.
#[test]
fn a_body_that_stands_still_is_told_so() {
    let mut rig = Rig::new(1, &[]);
    let head = head("a2");
    rig.play(&format!("a: raw {head}\na: raw {}\nwait 3000\na: expect 408", "x".repeat(100)));
}
