//! The simulator's wire format: parsing, malformed lines, and the adapter as a process.

use nickeljunction_decide::api::*;
use nickeljunction_decide::wire::{write_action, Line};
use std::io::Write;
use std::process::{Command, Stdio};

fn event(text: &str) -> Result<Option<Event>, String> {
    let line = Line::parse(text).map_err(|reason| reason.to_string())?;
    line.event().map_err(|reason| reason.to_string())
}

fn run_adapter(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_nickeljunction-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("written");
    let done = child.wait_with_output().expect("ended");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (done.status.success(), text(done.stdout), text(done.stderr))
}

#[test]
fn request_line_is_parsed_and_unknown_fields_are_ignored() {
    let parsed = event("ACCEPT\tId=r-1\tClass=c\tPatienceLeftMs=240.5\tQuotaUnits=2\tContract=p\tDoors=3\tCustomer=77\tNew=1");
    let Ok(Some(Event::Request(arrival))) = parsed else { panic!("{parsed:?}") };
    assert_eq!((arrival.id.as_str(), arrival.timeout_ms, arrival.units), ("r-1", 240.5, 2.0));
    assert_eq!((arrival.gateways, arrival.customer, arrival.retry), (3, 77, false));
    assert_eq!(event("WHATEVER\tA=1"), Ok(None));
}

#[test]
fn outcome_line_includes_the_load_report() {
    let parsed = event("REPLY\tId=r\tDisposition=TimedOut\tGo=1\tServer=a:1\tPressure=mean_ms:12.5,depth:3");
    let Ok(Some(Event::Outcome(outcome))) = parsed else { panic!("{parsed:?}") };
    assert_eq!((outcome.status, outcome.attempt, outcome.request_closed), (Status::TimedOut, 1, false));
    assert_eq!(outcome.load.get("mean_ms"), Some(&12.5));
}

#[test]
fn count_reply_may_lack_its_sum_only_after_a_failure() {
    assert!(event("RECKONED\tCounterKey=k\tDisposition=TimedOut").is_ok());
    assert!(event("RECKONED\tCounterKey=k\tDisposition=Ok").unwrap_err().contains("Sum"));
}

#[test]
fn parse_errors_name_the_field() {
    for (text, field) in [
        ("ACCEPT\tClass=c\tPatienceLeftMs=1", "Id"),
        ("ACCEPT\tId=r\tClass=c\tPatienceLeftMs=soon", "PatienceLeftMs"),
        ("REPLY\tId=r\tDisposition=Fine\tServer=a", "Disposition"),
        ("REPLY\tId=r\tDisposition=Ok\tServer=a\tLast=2", "Last"),
        ("PEER\tFrom=1\tBytes=%%", "Bytes"),
        ("TIMER", "KeyBack"),
        ("ACCEPT\tId", "Id"),
    ] {
        let reason = event(text).expect_err(text);
        assert!(reason.contains(field), "{text}: {reason}");
    }
}

#[test]
fn actions_are_written_in_the_wire_format() {
    let lines = [
        (Action::Send("r".into(), "a:1".into(), 80.0), "DISPATCH\tId=r\tServer=a:1\tLimitMs=80.000\n"),
        (Action::IncrementCounter("k".into(), -2.0, 60.0), "INCR\tTtlMs=60.000\tAdd=-2\tCounterKey=k\n"),
        (Action::Log("a\tb\nc".into()), "WRITE_LOG\tWhat=a b c\n"),
        (Action::Cancel("r".into(), 1), "RETRACT\tId=r\tGo=1\n"),
        (Action::Refuse("r".into(), 2.0), "SHED\tId=r\tPauseMs=2.000\n"),
        (Action::SubscribeServers, "TRACK\tActive=1\n"),
    ];
    for (action, wanted) in lines {
        let mut text = String::new();
        write_action(&action, &mut text);
        assert_eq!(text, wanted);
    }
}

const OPEN: &str = "CONTEXT\tLimiterId=3\nOPEN_INSTANCE\tNonce64=5\tClasses.count=1\tClasses.0.Name=c\tClasses.0.AimMs=400\t\
Classes.0.GiveUpMs=800\tClasses.0.Repeat=once\tTiersOfService.count=1\tTiersOfService.0.Name=p\tStepMs=4\tSiblings=1\t\
Permissions.MaxAttempts=2\nSHEET\tRef=0\tMembers=1\nITEM\tMode=U\tServer=a:1\nSYNC\tRef=0\tEpoch=1\tMode=SAVED\n";
const ASK: &str = "ACCEPT\tId=r\tClass=c\tContract=p\tPatienceLeftMs=400\n";

#[test]
fn adapter_answers_a_batch_and_drops_a_killed_instance() {
    let input = format!("FRAME\tWallMs=1.5\tturn=1\n{OPEN}{ASK}GO\nFRAME\tWallMs=9\tturn=2\nCONTEXT\tLimiterId=3\nKILLED\n{ASK}GO\n");
    let (success, out, err) = run_adapter(&input);
    assert!(success, "{err}");
    assert!(out.contains("SOURCE\tLimiterId=3\n") && out.contains("DISPATCH\tId=r\tServer=a:1"), "{out}");
    assert!(out.ends_with("READY\tturn=1\nREADY\tturn=2\n"), "{out}");
}

#[test]
fn adapter_error_names_line_and_field() {
    let (success, _, err) = run_adapter("FRAME\tWallMs=1\tturn=1\nCONTEXT\tLimiterId=three\nGO\n");
    assert!(
        !success && err.contains("line 2") && err.contains("LimiterId") && !err.contains("panicked"),
        "{err}"
    );
    let (success, _, err) =
        run_adapter("FRAME\tWallMs=1\tturn=1\nSHEET\tRef=0\tMembers=2\nITEM\tMode=U\tServer=a\nGO\n");
    assert!(!success && err.contains("line 4") && err.contains("Members"), "{err}");
}

/// A trace stores settings as pairs, and a replay needs exactly the same settings.
#[test]
fn settings_survive_a_round_trip_through_pairs() {
    let class = Class {
        name: "c".into(),
        target_latency_ms: 0.1 + 0.2,
        client_timeout_ms: 1e9 / 3.0,
        retry_safety: RetrySafety::Keyed,
        dedup_scope: DedupScope::Cell,
        key_ttl_ms: 5.0,
        late_share: 0.25,
        stream: true,
        worth: 3.0,
    };
    let plan = Plan {
        name: "p q".into(),
        rate: 1.0 / 3.0,
        burst: 7.7,
        max_concurrent: 2.0,
        worth_factor: 0.55,
        excess_worth: 0.1,
        excess_cost: 1.2,
        ceiling_rate: 2.0 / 3.0,
        ceiling_burst: 15.4,
        ceiling_slack: 1e-7,
    };
    let settings = Settings {
        gateway_index: 2,
        gateway_count: 4,
        zone: "east-wing".into(),
        step_ms: 2.0,
        min_subset: 9.0,
        classes: vec![
            class.clone(),
            Class {
                name: "d".into(),
                retry_safety: RetrySafety::AtMostOnce,
                dedup_scope: DedupScope::Zone,
                ..class
            },
        ],
        plans: vec![plan],
        counter_enabled: true,
        counter_timeout_ms: 30.5,
        settles_units: true,
        max_request_units: 6.0,
        subscribe: true,
        may_cancel: true,
        max_attempts: 6,
        max_retry_after_ms: 2_000.0,
        retry_after: true,
        marks_retry: true,
        probing: true,
        hedging: true,
        probe_fee: 0.01,
        cross_zone_fee: 0.014,
        cold_start_share: 0.15,
        warmup_ms: 16_000.0,
        drain_grace_ms: 1_000.0,
        overload_multiple: 2.0,
        overload_ms: 1_500.0,
        answer_grace_ms: 50.0,
    };
    let pairs = nickeljunction_decide::wire::settings_to_pairs(&settings);
    assert_eq!(Line::from_pairs("settings", &pairs).settings().expect("read"), settings);
}
