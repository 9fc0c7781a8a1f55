//! The admin door over real sockets: its calls, its figures, drains, and callers that say nothing.

mod scenario;

use scenario::{admin_call, Rig};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

fn rig() -> Rig {
    Rig::new(1, &[("admin", "")])
}

#[test]
fn each_call_has_its_answer_and_anything_else_is_turned_down() {
    let mut rig = rig();
    rig.play(
        "admin: GET /v1/readyz
        admin: expect 200 yes
        admin: POST /v1/readyz
        admin: expect 405
        admin: GET /v1/gateway/drain
        admin: expect 405
        admin: GET /v1/nothing
        admin: expect 404
        admin: POST /v1/gateway/activate
        admin: expect 200 active",
    );
    let door = rig.admin.clone().expect("a door");
    let mut stream = TcpStream::connect(&door).expect("it listens");
    stream.write_all(b"not http at all\r\n\r\n").expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("answered and closed");
    assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
}

#[test]
fn without_an_admin_address_there_is_no_door() {
    let rig = Rig::new(1, &[]);
    assert!(rig.admin.is_none());
}

#[test]
fn the_figures_count_what_happened_exactly() {
    let mut rig = rig();
    rig.play(
        "admin: GET /v1/metrics
        admin: has app.passed.safe:0|c
        admin: has app.upstream_tries:0|c
        admin: has app.known_booking_servers:1|g
        a: send GET /safe/1
        r1: expect GET /safe/1
        r1: send 200 one
        a: expect 200 one
        a: send POST /once/2
        r1: expect POST /once/2
        r1: send 500
        a: expect 502
        a: send POST /once/3
        r1: expect POST /once/3
        r1: send 503 not-started
        a: expect 503 short retry
        b: send GET /safe/4
        r1: expect GET /safe/4
        admin: GET /v1/metrics
        admin: has app.in_progress:1|g
        r1: send 200 four
        b: expect 200 four
        wait 50
        admin: GET /v1/metrics
        admin: has app.passed.safe:2|c
        admin: has app.dropped.safe:0|c
        admin: has app.dropped.once:1|c
        admin: has app.bad_gateway.once:1|c
        admin: has app.passed.once:0|c
        admin: has app.upstream_tries:4|c
        admin: has app.in_progress:0|g
        admin: has app.skipped_booking_servers:0|g
        admin: has app.loads:0|c",
    );
}

#[test]
fn a_drain_sends_clients_away_and_activation_takes_them_back() {
    let mut rig = rig();
    rig.play(
        "idle: send GET /safe/1
        r1: expect GET /safe/1
        r1: send 200 one
        idle: expect 200 one
        busy: send GET /safe/2
        r1: expect GET /safe/2
        admin: POST /v1/gateway/drain
        admin: expect 200
        admin: GET /v1/readyz
        admin: expect 503
        h: raw GET /health/ready HTTP/1.1\\r\\n\\r\\n
        h: expect 503
        r1: send 200 two
        busy: expect 200 two
        busy: expect eof
        wait 1500
        idle: expect eof
        admin: POST /v1/gateway/activate
        admin: expect 200
        admin: GET /v1/readyz
        admin: expect 200 yes
        k: raw GET /health/ready HTTP/1.1\\r\\n\\r\\n
        k: expect 200",
    );
}

/// Callers that send nothing, or half a call, while every client's connection is taken: the next call is
/// still answered, and the clients' side is served as before.
#[test]
fn slowloris_on_the_admin_door_while_the_client_port_is_full() {
    let mut rig = rig();
    let door = rig.admin.clone().expect("a door");
    let mut silent: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(&door).expect("connected")).collect();
    for stream in silent.iter_mut().take(20) {
        stream.write_all(b"GET /v1/met").expect("half a call");
    }
    // Clients hold connections too, each with a request out.
    let mut script = String::new();
    for at in 0..30 {
        script += &format!("c{at}: send GET /safe/{at}\n");
    }
    rig.play(&script);
    // The clients' requests reach the gateway in their own time; each look is answered all the same.
    let mut text = String::new();
    for _ in 0..100 {
        let (status, answer) = admin_call(&door, "GET", "/v1/metrics").expect("answered");
        assert_eq!(status, 200, "{answer}");
        text = answer;
        if text.contains("app.in_progress:30|g") {
            break;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(text.contains("app.in_progress:30|g"), "{text}");
    // Those that said nothing or half have been closed.
    std::thread::sleep(Duration::from_millis(1_200));
    for stream in &mut silent {
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    }
    rig.play("h: raw GET /health/ready HTTP/1.1\\r\\n\\r\\n\nh: expect 200");
}
