//! New settings at SIGHUP over real sockets: classes added, dropped and changed, fewer attempts, broken files.

mod scenario;

use scenario::Rig;

fn rig() -> Rig {
    Rig::new(1, &[("admin", "")])
}

const ONCE: &str = r#"{"Name":"once","AimMs":4000,"GiveUpMs":12000,"Repeat":"once","#;
const FRESH: &str = r#"{"Name":"fresh","AimMs":4000,"GiveUpMs":12000,"Repeat":"repeatable","#;

#[test]
fn a_class_dropped_while_requests_of_it_are_open_ends_them_under_its_old_rules() {
    let mut rig = rig();
    rig.play(&format!(
        "a: send POST /once/1
        r1: expect POST /once/1
        gateway: edit {ONCE} => {FRESH}
        gateway: send HUP
        gateway: log loaded
        wait 100
        # The open request is still a request of its class: what may have run is not repeated.
        r1: send 500
        a: expect 502 failed
        b: send GET /fresh/2
        r1: expect GET /fresh/2
        r1: send 200 new
        b: expect 200 new
        x: send POST /once/3
        x: expect 404
        admin: GET /v1/metrics
        admin: has app.loads:1|c
        admin: has app.load_errors:0|c
        admin: has app.bad_gateway.once:1|c
        admin: has app.passed.fresh:1|c"
    ));
}

#[test]
fn fewer_attempts_hold_for_new_requests_and_the_open_one_still_gets_its_answer() {
    let mut rig = rig();
    rig.play(
        "a: send GET /safe/1
        r1: expect GET /safe/1
        gateway: edit \"MaxAttempts\":3 => \"MaxAttempts\":1
        gateway: send HUP
        gateway: log loaded
        wait 100
        r1: send 200 first
        a: expect 200 first
        b: send GET /safe/2
        r1: expect GET /safe/2
        # One attempt is all: the refusal comes without a second one to the region.
        r1: send 500
        b: expect 503",
    );
}

#[test]
fn sighup_with_a_file_cut_off_halfway_takes_nothing_and_says_where() {
    let mut rig = rig();
    rig.play(
        "gateway: cut
        gateway: send HUP
        gateway: log nothing of the file is taken
        a: send POST /once/1
        r1: expect POST /once/1
        r1: send 200 old
        a: expect 200 old
        gateway: edit \"MaxAttempts\":3 => \"MaxAttempts\":0
        gateway: send HUP
        gateway: log settings.Permissions.MaxAttempts
        admin: GET /v1/metrics
        admin: has app.loads:0|c
        admin: has app.load_errors:2|c",
    );
}
