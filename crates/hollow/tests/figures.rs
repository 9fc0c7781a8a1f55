//! The arithmetic and the parsers behind what a run prints, without processes.

use hollow::document::{self, Size};
use hollow::gateway::{read_answer, Adds};
use hollow::operator::target;
use hollow::procfs::{figure, processor_s, switches, Look, Spent};
use hollow::report::{Process, Report};
use hollow::server::Life;
use hollow::spread::{median, Delays, Spread};
use hollow::traffic::{request_bytes, Kind, Traffic};
use nickeljunction_messages::{ConfigLine, ServerLine, ServerState, WatchAnswer};
use nickeljunction_schema::{Bounds, Document, Patch};
use serde_json::json;
use std::rc::Rc;

const SMALL: Size = Size { routes: 12, tenants: 7, limited: 3, services: 4 };

#[test]
fn processor_time_is_found_behind_any_name() {
    let stat = "4711 (a) b) (c) S 1 2 3 4 5 6 7 8 9 10 250 50 99 98 20 0 1";
    assert_eq!(processor_s(stat), Some(3.0));
    assert_eq!(processor_s("4711 (a) S 1 2 3"), None, "cut off");
    assert_eq!(processor_s("no process"), None);
}

#[test]
fn figures_of_a_status_go_by_their_whole_names() {
    let status = "Name:\tx\nVmHWM:\t  2048 kB\nVmRSS:\t  1024 kB\nvoluntary_ctxt_switches:\t40\n\
                  nonvoluntary_ctxt_switches:\t2\n";
    assert_eq!(figure(status, "VmRSS"), Some(1024));
    assert_eq!(figure(status, "Vm"), None);
    assert_eq!(switches(status), Some(42));
    assert_eq!(switches("Name:\tx\n"), None);
}

#[test]
fn this_process_can_be_looked_at() {
    let (_, look) = hollow::procfs::look(std::process::id()).expect("of Linux");
    assert!(look.resident_kib > 0 && look.peak_kib >= look.resident_kib && look.wakes > 0);
}

#[test]
fn spent_is_the_difference_by_the_seconds() {
    let before = Look { processor_s: 1.0, resident_kib: 9, peak_kib: 9, wakes: 100 };
    let after = Look { processor_s: 1.5, resident_kib: 2048, peak_kib: 4096, wakes: 300 };
    let spent = Spent::between(&before, &after, 10.0);
    assert_eq!(spent, Spent { core: 0.05, wakes_per_s: 20.0, resident_mib: 2.0, peak_mib: 4.0 });
}

#[test]
fn the_median_is_a_figure_that_was_there() {
    assert_eq!(median(&mut []), None);
    assert_eq!(median(&mut [7.0]), Some(7.0));
    assert_eq!(median(&mut [9.0, 1.0]), Some(1.0));
    assert_eq!(median(&mut [9.0, 1.0, 5.0]), Some(5.0));
}

#[test]
fn a_change_is_everywhere_when_its_last_gateway_has_it() {
    let mut spread = Spread::default();
    spread.acknowledged(1, 100.0);
    spread.acknowledged(2, 1_000.0);
    // Before its operator heard of it, and later.
    spread.arrived(1, 2, 990.0);
    spread.arrived(1, 2, 1_030.0);
    // Two at once: the second gateway never had version 3 by itself.
    spread.acknowledged(3, 2_000.0);
    spread.arrived(2, 3, 2_010.0);
    spread.acknowledged(4, 2_020.0);
    spread.arrived(3, 4, 2_050.0);
    spread.arrived(2, 4, 2_060.0);
    // Still under way.
    spread.acknowledged(5, 3_000.0);
    spread.arrived(4, 5, 3_001.0);
    let told = spread.delays(1, 2);
    assert_eq!((told.changes, told.everywhere), (4, 3), "the first is the document's");
    // Of each its last: 30, 60 and 40.
    assert_eq!((told.last_median, told.last_most), (Some(40.0), Some(60.0)));
    // 0, 30, 10, 60, 30, 40, 1.
    assert_eq!(told.median, Some(30.0));
    assert_eq!(spread.delays(5, 2), Delays::default());
}

#[test]
fn a_change_that_nobody_has_is_nowhere() {
    let mut spread = Spread::default();
    spread.acknowledged(2, 1.0);
    assert_eq!(spread.delays(1, 0).everywhere, 0, "without gateways there is no last one");
    assert_eq!(spread.delays(1, 1), Delays { changes: 1, ..Delays::default() });
}

#[test]
fn calls_are_weighed_by_kind_and_answer() {
    let mut traffic = Traffic::default();
    traffic.add(Kind::Watch, 100, Some((200, 1_000)));
    let before = traffic;
    traffic.add(Kind::Watch, 50, Some((421, 30)));
    traffic.add(Kind::Watch, 10, None);
    traffic.add(Kind::Beat, 7, Some((204, 0)));
    let since = traffic.since(&before);
    let watch = since.of(Kind::Watch);
    assert_eq!((watch.calls, watch.failed, watch.sent, watch.received), (1, 2, 60, 30));
    assert_eq!(since.of(Kind::Beat).calls, 1);
    assert_eq!(since.of(Kind::Units), Traffic::default().of(Kind::Units));
}

#[test]
fn a_request_weighs_its_head_and_its_body() {
    let to = "127.0.0.1:80".parse().expect("an address");
    let whole = "PUT /a HTTP/1.1\r\nHost: 127.0.0.1:80\r\nIf-Match: 7\r\nContent-Type: application/json\r\n\
                 Content-Length: 2\r\n\r\n{}";
    assert_eq!(request_bytes(to, "PUT", "/a", &[("If-Match", "7")], 2), whole.len());
}

#[test]
fn documents_and_their_changes_are_valid_and_as_large_as_asked() {
    let bytes = document::whole(1, &SMALL).to_string().into_bytes();
    let first = Document::read(&bytes).expect("a document");
    let config = first.config();
    assert_eq!((config.routes.len(), config.tenants.len(), config.backends.len()), (12, 7, 4));
    assert_eq!(config.tenants.values().filter(|tenant| tenant.quota().is_some()).count(), SMALL.limited);
    let change = Patch::of(document::change(2, &SMALL)).expect("a change");
    let second = change.apply(&first).expect("a change of this document");
    assert_eq!(second.version(), 2);
    let changed = config.routes.iter().filter(|(name, route)| second.config().routes[*name] != **route);
    assert_eq!(changed.count(), 1);
}

#[test]
fn limits_are_those_that_the_document_gives() {
    let bounds = Bounds { quota_window_s: 5.0, ..Bounds::usual() };
    let names: Vec<String> = document::limits(&SMALL, &bounds).into_keys().collect();
    assert_eq!(names, ["tenant-0", "tenant-1", "tenant-2"]);
}

#[test]
fn a_watch_answer_is_taken_but_for_its_document() {
    let line = ServerLine {
        id: "i-1".into(),
        backend: "b".into(),
        address: "10.0.0.1:80".into(),
        zone: "z".into(),
        slots: 4,
        state: ServerState::InService,
        cold: None,
    };
    let told = WatchAnswer {
        term: 3,
        seq: 9,
        age_ms: 4,
        whole: true,
        config: Some(Rc::new(ConfigLine { version: 7, doc: json!({"routes": {"r": {"x": [1, 2]}}}) })),
        servers: vec![line],
        gateways: Some(2),
        ..WatchAnswer::default()
    };
    let taken = read_answer(&serde_json::to_vec(&told).expect("JSON")).expect("an answer");
    let doc = taken.config.as_ref().map(|config| config.doc.clone());
    assert_eq!(doc, Some(serde_json::Value::Null));
    let config = told.config.clone();
    assert_eq!(WatchAnswer { config, ..taken.clone() }, told, "all else is as told");
    assert_eq!(taken.config.map(|config| config.version), Some(7));
    let change =
        br#"{"term":3,"seq":10,"age_ms":1,"change":{"from":7,"version":8,"difference":{},"digest":"0"}}"#;
    let taken = read_answer(change).expect("an answer with a difference");
    assert_eq!(taken.config.map(|config| config.version), Some(8), "of a difference, too, the version alone");
    assert!(read_answer(b"{\"term\":1").is_err());
}

#[test]
fn redirections_name_host_and_port() {
    assert_eq!(target("http://127.0.1.11:8080/-/config"), "127.0.1.11:8080".parse().ok());
    assert_eq!(target("/-/config"), None);
    assert_eq!(target("http://host/-/config"), None);
}

#[test]
fn a_beat_says_what_the_core_reads() {
    let life = Life {
        id: "i-1".into(),
        service: "service-0".into(),
        zone: "north-1".into(),
        address: "10.0.0.1:8080".parse().expect("an address"),
    };
    let (path, body) = life.beat(4);
    let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
    assert_eq!(path, "/-/instances/i-1");
    assert_eq!(
        body,
        json!({"address": "10.0.0.1:8080",
            "node_info": {"backend": "service-0", "config_version": "v1", "zone": "north-1", "slots": 4},
            "status": {"state": "in_service", "call_seq": 4, "warmup_left_s": 0}})
    );
}

#[test]
fn the_table_has_rates_a_second_and_a_gateway() {
    let mut traffic = Traffic::default();
    for _ in 0..20 {
        traffic.add(Kind::Watch, 100, Some((200, 400)));
    }
    let spent = Spent { core: 0.021, wakes_per_s: 12.5, resident_mib: 8.0, peak_mib: 9.0 };
    let report = Report {
        asked: "as asked".into(),
        seconds: 10.0,
        document: 77,
        gateways: (2, 1),
        servers: (5, 4),
        first_ms: None,
        processes: vec![Process { name: "controller-1".into(), leads: true, spent }],
        start: traffic,
        traffic,
        adds: Adds { spent: 50, refused: 0, waited: 0 },
        delays: Delays::default(),
    };
    let text = report.text();
    let has = |line: &str| assert!(text.lines().any(|shown| shown.starts_with(line)), "{line}\n{text}");
    has("controller-1 *     2.10       12.5        8.0        9.0");
    has("a gateway      in 400 B/s, out 100 B/s, calls 1.00/s");
    has("until then     in 0.00 MB, out 0.01 MB; calls that are not 2xx 0");
    has("counted adds   spent 5.0/s");
    has("last gateway's first configuration after - ms");
    assert_eq!(report.json()["calls"]["watch"]["received"], 8_000);
}
