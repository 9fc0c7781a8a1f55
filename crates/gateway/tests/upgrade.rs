//! A new version under load over real processes: both take clients from one listening socket handed on as
//! descriptor 3, and the old one is stopped while it still owes answers.

mod scenario;

use scenario::Rig;
use std::net::TcpListener;

/// SIGTERM to the old process while one of its requests is out and another is half sent: both are answered
/// by it, and the clients that come after are served by the new process from the same socket.
#[test]
fn sigterm_during_an_upgrade_with_requests_mid_body() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("the platform's socket");
    let mut rig = Rig::sharing(1, &[], &socket);
    // The old process has taken these: one is out at the server, one has half its body.
    rig.play(
        "a: send GET /safe/1
        r1: expect GET /safe/1
        b: raw POST /once/2 HTTP/1.1\\r\\nHost: x\\r\\nRequest-Id: 00000000000000b2\\r\\nX-Contract: large\\r\\n\
        X-Client-Id: 0000000000000007\\r\\nRequest-Timeout: 20\\r\\nX-Metering: units=1,spread=1,first=0\\r\\n\
        Content-Length: 10\\r\\n\\r\\nhalf",
    );
    let mut next = rig.successor(&socket);
    rig.play(
        "gateway: send TERM
        wait 100
        b: raw -body!
        r1: send 200 one
        a: expect 200 one
        r1: expect POST /once/2
        r1: send 200 two
        b: expect 200 two
        gateway: expect exit 0",
    );
    // The old one has gone: the next client is taken from the same queue by the new one.
    rig.play(
        "x: send GET /safe/3
        r1: expect GET /safe/3
        r1: send 200 three
        x: expect 200 three",
    );
    let _ = next.kill();
    let _ = next.wait();
}
