//! The gateway over real sockets: one scenario for each promise or failure found.

mod scenario;

use scenario::{start, Rig, SETTINGS};
use std::io::Read;

fn play(regions: usize, text: &str) {
    Rig::new(regions, &[]).play(text);
}

#[test]
fn a_request_passes_on_and_its_answer_comes_back_unchanged() {
    play(1, "a: raw GET /health/ready HTTP/1.1\\r\\n\\r\\n
        a: expect 200
        a: send GET /safe/1?x=2 units=2
        r1: expect GET /safe/1?x=2
        r1: send 200 hello settled=3
        a: expect 200 hello
        a: send POST /keyed/2 key=k1 body=b
        r1: expect POST /keyed/2 key=k1
        r1: raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nhe\\r\\n3\\r\\nllo\\r\\n0\\r\\n\\r\\n
        a: expect 200 hello");
}

#[test]
fn what_may_have_run_is_repeated_only_where_the_class_allows_it() {
    let mut rig = Rig::new(1, &[]);
    rig.play(
        "a: send POST /once/1
        r1: expect POST /once/1
        r1: send 500
        a: expect 502 failed
        a: send POST /once/2
        r1: expect POST /once/2
        r1: close
        a: expect 502 failed
        a: send POST /once/3
        r1: expect POST /once/3
        r1: send 503 not-started
        a: expect 503 short retry",
    );
}

#[test]
fn a_client_that_closes_ends_its_request_and_the_next_is_served() {
    play(
        1,
        "a: send GET /safe/1
        r1: expect GET /safe/1
        a: close
        r1: send 200 late
        b: send GET /safe/2
        r1: expect GET /safe/2
        r1: send 200 fine
        b: expect 200 fine",
    );
}

#[test]
fn a_silent_region_costs_the_request_no_more_than_its_time() {
    play(
        1,
        "a: send POST /once/1 timeout=2
        r1: expect POST /once/1
        a: expect 502 failed
        r1: expect eof",
    );
}

#[test]
fn bytes_past_an_answer_never_answer_the_next_request() {
    play(1, "a: send GET /safe/1
        r1: expect GET /safe/1
        r1: raw HTTP/1.1 200 OK\\r\\nContent-Length: 1\\r\\n\\r\\nAHTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\n\\r\\nEVIL
        a: expect 200 A
        r1: expect eof
        a: send GET /safe/2
        r1: expect GET /safe/2
        r1: send 200 good
        a: expect 200 good");
}

#[test]
fn a_kept_connection_that_the_region_closed_is_not_used_again() {
    play(
        1,
        "a: send GET /safe/1
        r1: expect GET /safe/1
        r1: send 200 one
        a: expect 200 one
        r1: close
        a: send POST /once/2
        r1: expect POST /once/2
        r1: send 200 two
        a: expect 200 two",
    );
}

#[test]
fn quotas_are_refused_with_advice_and_counted_by_the_true_units() {
    play(
        1,
        "a: send GET /safe/1 plan=small units=3
        c: expect 7 3
        r1: expect GET /safe/1
        r1: send 200 x settled=4
        a: expect 200 x
        a: send GET /safe/2 plan=small units=3
        a: expect 503 short retry",
    );
}

#[test]
fn a_draining_region_gets_nothing_new() {
    play(
        2,
        "d: send r1 Terminating
        d: send r2 Ready
        wait 1000
        a: send GET /safe/1
        r2: expect GET /safe/1
        r2: send 200 x
        a: expect 200 x
        b: send GET /safe/2
        r2: expect GET /safe/2
        r2: send 200 x
        b: expect 200 x",
    );
}

#[test]
fn a_broken_watch_and_a_broken_line_are_survived() {
    play(
        2,
        "d: close
        d: raw {\"rev\":nonsense}
        d: close
        d: send r1 Gone
        wait 1000
        a: send GET /safe/1
        r2: expect GET /safe/1
        r2: send 200 x
        a: expect 200 x",
    );
}

#[test]
fn bad_input_is_answered_and_the_connection_ends() {
    let long = "x".repeat(20_000);
    for (text, status) in [
        ("NONSENSE\\r\\n\\r\\n", "400"),
        ("POST /once HTTP/1.1\\r\\nContent-Length: 3\\r\\nContent-Length: 4\\r\\n\\r\\n", "400"),
        ("POST /once HTTP/1.1\\r\\nContent-Length: +3\\r\\n\\r\\nabc", "400"),
        ("POST /once HTTP/1.1\\r\\nContent-Length: 3\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n", "400"),
        ("POST /once HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n", "400"),
        ("POST /once HTTP/1.1\\r\\nContent-Length: 65537\\r\\n\\r\\n", "413"),
        (&format!("GET /safe HTTP/1.1\\r\\nX-Long: {long}\\r\\n\\r\\n"), "431"),
    ] {
        play(1, &format!("a: raw {text}\na: expect {status}\na: expect eof"));
    }
}

#[test]
fn what_does_not_fit_its_class_is_not_passed_on() {
    play(
        1,
        "a: send GET /nowhere/1
        a: expect 404
        a: send POST /keyed/1
        a: expect 400 missing: Idempotency-Key
        a: send POST /safe/1
        a: expect 405",
    );
}

#[test]
fn a_stop_answers_what_was_taken_and_hands_leases_back() {
    play(
        1,
        "a: send GET /safe/1 plan=small
        c: expect 7 1
        r1: expect GET /safe/1
        r1: send 200 one
        a: expect 200 one
        a: send GET /safe/2 plan=small
        # One unit more than it needs: the paper's batch.
        c: expect 7 2
        r1: expect GET /safe/2
        gateway: send TERM
        b: send GET /safe/3 customer=8
        r1: send 200 two
        a: expect 200 two
        r1: expect GET /safe/3
        c: expect 8 1
        r1: send 200 three
        b: expect 200 three
        b: expect eof
        gateway: expect exit 0
        c: expect 7 -1",
    );
}

#[test]
fn a_bad_configuration_is_one_line_that_names_the_key() {
    let good = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","settings":SETTINGS}"#;
    let good = good.replace("SETTINGS", SETTINGS);
    for (from, to, key) in [
        (r#""listen":"127.0.0.1:0""#, r#""listen":"here""#, "listen"),
        (r#""discovery":"127.0.0.1:9","#, "", "discovery"),
        (r#""AimMs":4000"#, r#""AimMs":"soon""#, "settings.Classes.0.AimMs"),
        (r#""Me":0"#, r#""Me":9"#, "me must be under siblings"),
        (r#""IdleCloseMs":30000"#, r#""IdleCloseMs":0"#, "settings.Permissions.IdleCloseMs"),
        (r#""MaxAttempts":3"#, r#""MaxAttempts":0"#, "the most attempts must be above 0"),
    ] {
        let mut child = start(&good.replacen(from, to, 1), &[]);
        let mut said = String::new();
        child.stderr.take().expect("its log").read_to_string(&mut said).expect("text");
        assert_eq!(child.wait().expect("it ends").code(), Some(2), "{key}");
        assert!(said.contains(key) && said.trim_end().lines().count() == 1, "{key}: {said}");
    }
}

#[test]
fn a_plugin_refuses_and_tightens_and_its_errors_do_no_harm() {
    let script = r#"fn admit(request) {
        if request.path == "/safe/closed" { return #{refuse: true, retry_after_ms: 500}; }
        if request.path == "/safe/audit" { return #{never_twice: true, units: 5}; }
        if request.path == "/safe/loop" { loop { } }
    }"#;
    Rig::new(1, &[("NICKELJUNCTION_PLUGIN", script)]).play(
        "a: send GET /safe/closed
        a: expect 503 refused by a rule of the operators retry
        a: send GET /safe/audit customer=1
        c: expect 1 5
        r1: expect GET /safe/audit
        r1: send 500
        a: expect 502 failed
        a: send GET /safe/loop customer=2
        c: expect 2 1
        r1: expect GET /safe/loop
        r1: send 200 x
        a: expect 200 x",
    );
}

/// At the limit of descriptors idle connections make room: nobody is cut off, and nothing runs out.
#[test]
fn more_clients_than_descriptors_are_all_served() {
    let mut rig = Rig::new(1, &[]);
    for at in 0..300 {
        rig.play(&format!("x{at}: raw GET /health/ready HTTP/1.1\\r\\n\\r\\n\nx{at}: expect 200"));
    }
    rig.play("a: send GET /safe/1\nr1: expect GET /safe/1\nr1: send 200 x\na: expect 200 x");
}

/// What a booking server says of a request is its answer, lines and all; only this hop's own lines stay behind.
#[test]
fn answers_other_than_200_and_header_lines_pass_on() {
    let seen = Rig::new(1, &[]).play(
        "a: raw GET /safe/1 HTTP/1.1\\r\\nRequest-Id: 1\\r\\nX-Contract: large\\r\\nX-Client-Id: 0000000000000007\\r\\nAuthorization: me\\r\\nConnection: x-hop\\r\\nX-Hop: 1\\r\\n\\r\\n
        r1: expect GET /safe/1
        r1: head authorization x-hop connection
        r1: raw HTTP/1.1 404 No\\r\\nX-Why: gone\\r\\nContent-Length: 4\\r\\n\\r\\nnone
        a: expect 404 none
        a: send GET /safe/2
        r1: expect GET /safe/2
        r1: raw HTTP/1.1 204 No\\r\\nETag: 5\\r\\n\\r\\n
        a: expect 204
        a: send GET /safe/3
        r1: expect GET /safe/3
        r1: send 200 three
        a: expect 200 three",
    );
    assert!(seen.contains(&"r1 authorization=me".to_string()), "{seen:?}");
}

/// A connection that came while the program stops still gets its one request answered.
#[test]
fn a_request_sent_just_before_idle_connections_close_is_answered() {
    play(
        1,
        "a: send GET /safe/1
        r1: expect GET /safe/1
        gateway: send TERM
        b: raw GET /safe/2 HTTP/1.1\\r\\nX-Contract: large\\r\\n
        wait 600
        b: raw Request-Id: 2\\r\\nX-Client-Id: 0000000000000008\\r\\n\\r\\n
        r1: expect GET /safe/2
        r1: send 200 two
        b: expect 200 two
        b: expect eof
        a: close
        gateway: expect exit 0",
    );
}

/// SIGHUP: the new counter and the new discovery are used, the old watch goes until the new one has told its
/// list, and a request that is under way is not disturbed.
#[test]
fn a_reload_moves_to_the_new_counter_and_the_new_discovery() {
    play(
        2,
        "d: send r1 Gone
        wait 300
        a: send GET /safe/1
        c: expect 7 1
        r2: expect GET /safe/1
        gateway: move counter
        gateway: move discovery
        gateway: send HUP
        gateway: log reloaded
        r2: send 200 one
        a: expect 200 one
        wait 500
        a: send GET /safe/2 customer=8
        c: expect 8 1
        r2: expect GET /safe/2
        r2: send 200 two
        a: expect 200 two
        d: send r1 Ready
        d: send r2 Gone
        wait 500
        a: send GET /safe/3
        r1: expect GET /safe/3
        r1: send 200 three
        a: expect 200 three
        gateway: send TERM
        gateway: expect exit 0",
    );
}

/// A configuration that can't be read on SIGHUP is named in the log and changes nothing.
#[test]
fn a_bad_file_on_reload_keeps_the_former_values() {
    play(
        1,
        "gateway: write {\"listen\":\"127.0.0.1:0\"}
        gateway: send HUP
        gateway: log configuration: settings: missing
        a: send GET /safe/1
        c: expect 7 1
        r1: expect GET /safe/1
        r1: send 200 one
        a: expect 200 one",
    );
}

/// Who connects and says nothing, or half of something, is not waited for without end.
#[test]
fn silent_and_half_said_clients_are_told_or_closed() {
    play(
        1,
        "a: raw
        b: raw GET /safe/1 HTTP/1.1\\r\\nX-Contr
        c1: raw POST /once/1 HTTP/1.1\\r\\nContent-Length: 9\\r\\n\\r\\nhalf
        d1: raw POST /once/1 HTTP/1.1\\r\\nContent-Length: 60000000\\r\\n\\r\\nhalf
        d1: expect 413
        b: expect 408
        b: expect eof
        c1: expect 408
        c1: expect eof
        a: expect eof",
    );
}

/// Hundreds that connect at once and say nothing: they wait in the system's queue or make room, so that a
/// client with a request is served, and no more descriptors are held than the configuration allows.
#[test]
fn hundreds_of_silent_clients_leave_room_for_one_that_asks() {
    let mut rig = Rig::new(1, &[]);
    for at in 0..400 {
        rig.play(&format!("x{at}: raw "));
    }
    assert!(rig.descriptors() <= 256, "{}", rig.descriptors());
    rig.play("a: send GET /safe/1\nr1: expect GET /safe/1\nr1: send 200 x\na: expect 200 x");
    assert!(rig.descriptors() <= 256, "{}", rig.descriptors());
}

/// What can't be true is answered before the module or a region hears of it; the id of an open request is
/// taken until that request has ended.
#[test]
fn improper_requests_reach_neither_the_counter_nor_a_region() {
    play(
        1,
        "a: send GET /safe/1 units=NaN
        a: expect 400
        a: send GET /safe/1 units=7
        a: expect 400
        a: send GET /safe/1 plan=none
        a: expect 400
        a: send GET /safe/1 timeout=never
        a: expect 400
        a: send GET /safe/1 customer=0000000200000000
        a: expect 400
        a: send GET /safe/1 customer=00000001ffffffff
        c: expect 8589934591 1
        r1: expect GET /safe/1
        r1: send 200 x
        a: expect 200 x",
    );
    play(
        1,
        "a: send GET /safe/1 id=same
        c: expect 7 1
        r1: expect GET /safe/1
        b: send GET /safe/2 id=same
        b: expect 409
        r1: send 200 one
        a: expect 200 one
        b: send GET /safe/3 id=same
        r1: expect GET /safe/3
        r1: send 200 three
        b: expect 200 three",
    );
}

/// A spoilt answer costs its own connection and nothing else; one that begins and stands still does not cost
/// the request all its time.
#[test]
fn a_spoilt_answer_is_never_served_and_another_region_makes_up_for_it() {
    play(
        2,
        "d: send r2 Terminating
        wait 300
        a: send POST /once/1
        r1: expect POST /once/1
        r1: raw \\x01noise\\r\\n\\r\\n
        a: expect 502
        a: send GET /safe/2 timeout=12
        r1: expect GET /safe/2
        d: send r2 Ready
        wait 300
        r1: raw HTTP/1.1 200 OK\\r\\nContent-Length: 9\\r\\n\\r\\nhalf
        r2: expect GET /safe/2
        r2: raw HTTP/1.1 103 E\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\nX-Settled: lots\\r\\nServer-Load: ?\\r\\nContent-Length: 1\\r\\n\\r\\nAnoise
        a: expect 200 A",
    );
}

/// Clients that ask once and keep their connection: what waits without a request is bounded well under what
/// the budget allows, since clients have no more than a part of it to ask with.
#[test]
fn connections_kept_without_a_request_are_few() {
    let mut rig = Rig::new(1, &[]);
    for at in 0..100 {
        rig.play(&format!("x{at}: raw GET /health/ready HTTP/1.1\\r\\n\\r\\n\nx{at}: expect 200"));
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    rig.play("wait 300\na: raw GET /health/ready HTTP/1.1\\r\\n\\r\\n\na: expect 200\nwait 100");
    assert!(rig.descriptors() <= 80, "{}", rig.descriptors());
    rig.play("a: expect eof");
}
