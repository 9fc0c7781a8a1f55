//! Second copies over real sockets: two regions hold one request at once. Each scenario ends with books that agree.

mod scenario;

use scenario::Rig;

/// Settings that allow second copies, and a class whose copies go out after some 0.4 s; `edit` changes them further.
fn two_out(edit: &str, patience: &str) -> Rig {
    let mut rig = Rig::new(2, &[("admin", "")]);
    rig.play(&format!(
        r#"gateway: edit "SecondCopies":false => "SecondCopies":true
        gateway: edit {{"Name":"safe","AimMs":4000 => {{"Name":"safe","AimMs":600
        {edit}
        gateway: send HUP
        gateway: log loaded
        wait 100
        a: send GET /safe/1 {patience}
        first: expect GET /safe/1
        second: expect GET /safe/1"#
    ));
    rig
}

/// So many attempts were written, nothing is open, and a second later no book had to be put right.
fn ends(mut rig: Rig, tries: usize) {
    rig.play(&format!(
        "wait 1100
        admin: GET /v1/metrics
        admin: has app.upstream_tries:{tries}|c
        admin: has app.in_progress:0|g
        admin: has app.books_put_right:0|c"
    ));
}

const NO_CANCEL: &str = r#"gateway: edit "MayCancel":true => "MayCancel":false"#;

#[test]
fn the_copy_answers_and_the_first_is_closed() {
    let mut rig = two_out("", "");
    rig.play("second: send 200 copy\n a: expect 200 copy\n first: expect eof");
    ends(rig, 2);
}

#[test]
fn the_first_answers_and_the_copy_is_closed() {
    let mut rig = two_out("", "");
    rig.play("first: send 200 own\n a: expect 200 own\n second: expect eof");
    ends(rig, 2);
}

#[test]
fn both_copies_answer_in_the_same_turn() {
    let mut rig = two_out("", "");
    rig.play(
        "first: send 200 same
        second: send 200 same
        a: expect 200 same
        # Nothing of the other answer is left on the client's connection.
        a: send GET /safe/2
        first: expect GET /safe/2
        first: send 200 next
        a: expect 200 next",
    );
    ends(rig, 3);
}

#[test]
fn a_spoilt_answer_on_one_and_a_good_one_on_the_other() {
    let mut rig = two_out("", "");
    rig.play(
        "first: raw noise that is no head\\r\\n\\r\\n\n wait 50\n second: send 200 good\n a: expect 200 good",
    );
    ends(rig, 2);
}

#[test]
fn where_cancelling_is_not_allowed_the_other_runs_on_and_its_connection_is_used_again() {
    let mut rig = two_out(NO_CANCEL, "");
    rig.play("second: send 200 copy\n a: expect 200 copy\n wait 50\n first: send 200 late");
    // The region reads on where it was: a closed connection would be told here.
    ends(rig, 2);
}

#[test]
fn the_copy_answers_and_the_first_resets_after() {
    let mut rig = two_out(NO_CANCEL, "");
    rig.play(
        "second: send 200 copy
        a: expect 200 copy
        first: close
        b: send GET /safe/2
        first: expect GET /safe/2
        first: send 200 two
        b: expect 200 two",
    );
    ends(rig, 3);
}

#[test]
fn the_client_leaves_with_two_out() {
    let mut rig = two_out("", "");
    rig.play("a: close\n wait 50\n second: send 200 copy\n first: send 200 own");
    ends(rig, 2);
}

#[test]
fn the_deadline_comes_with_two_out() {
    let mut rig = two_out("", "timeout=1.0");
    rig.play("a: expect 503\n first: expect eof\n second: expect eof");
    ends(rig, 2);
}

#[test]
fn one_of_the_two_servers_drains() {
    let mut rig = two_out("", "");
    rig.play("d: send r1 Terminating\n wait 100\n second: send 200 copy\n a: expect 200 copy");
    ends(rig, 2);
}

#[test]
fn a_stop_with_two_out_answers_first() {
    let mut rig = two_out("", "");
    rig.play(
        "gateway: send TERM\n wait 100\n second: send 200 copy\n a: expect 200 copy\n gateway: expect exit 0",
    );
}

#[test]
fn settings_that_take_second_copies_away_let_the_two_go_on_and_send_no_more() {
    let mut rig = two_out("", "");
    rig.play(
        r#"gateway: edit "SecondCopies":true => "SecondCopies":false
        gateway: send HUP
        gateway: log loaded
        wait 100
        second: send 200 copy
        a: expect 200 copy
        b: send GET /safe/2
        first: expect GET /safe/2
        wait 900
        first: send 200 alone
        b: expect 200 alone"#,
    );
    ends(rig, 3);
}
