//! The check of `njctl demo-storm` on made-up notes: a day that keeps all rules, and for each rule days that break it.

use ctl::storm_demo::check::check;
use ctl::storm_demo::facts::Facts;
use ctl::storm_demo::record::{
    Asked, Copy, Fault, Got, Hit, Log, Order, OrderId, Read, Run, Said, Seen, Try,
};

/// Changes of a day, one a second; number `n` makes version `n` on version `n - 1`.
const CHANGES: u32 = 30;
/// Requests a second at each gateway.
const REQUESTS: u32 = 10;
/// A change is sent so long after its second begins, ms, and acknowledged 20 ms later.
const SENT: f64 = 100.0;
const TOOK: f64 = 20.0;
/// Routes that a configuration keeps.
const ROUTES: u32 = 3;

fn order(id: OrderId, version: u64) -> Order {
    let first = (id + 1).saturating_sub(ROUTES).max(1);
    Order {
        id,
        operator: id % 4,
        patch: id.is_multiple_of(2),
        base: version - 1,
        base_order: version as u32 - 1,
        version,
        routes: (first..=id).collect(),
        stamp: format!("stamp-{id}"),
        valid: true,
    }
}

fn acked(id: OrderId) -> f64 {
    f64::from(id) * 1_000.0 + SENT + TOOK
}

fn copy(order: OrderId, sent: f64, said: Said) -> Copy {
    Copy { order, sent, ended: sent + TOOK, said }
}

fn read(log: &Log, sent: f64, order: OrderId) -> Read {
    let of = log.orders.iter().find(|known| known.id == order).expect("an order");
    let seen = Seen { version: of.version, order, stamp: of.stamp.clone() };
    Read { sent, ended: sent + 5.0, seen: Some(seen), no_connection: false, last: false }
}

/// A day as it should be: each change acknowledged, and repeated half a second later; each shown by both gateways 50 ms after
/// its acknowledgement; a read in the middle of each second.
fn day() -> Log {
    let mut log = Log {
        cores: (1..=5).map(|at| format!("core-{at}")).collect(),
        gateways: vec!["edge-1".into(), "edge-2".into()],
        orders: (1..=CHANGES).map(|id| order(id, u64::from(id))).collect(),
        end: f64::from(CHANGES + 1) * 1_000.0,
        ..Log::default()
    };
    for id in 1..=CHANGES {
        let at = f64::from(id) * 1_000.0;
        log.copies.push(copy(id, at + SENT, Said::Taken));
        log.copies.push(copy(id, at + 500.0, Said::Taken));
        log.reads.push(read(&log, at + 600.0, id));
    }
    let last = Read { last: true, ..read(&log, log.end, CHANGES) };
    log.reads.push(last);
    for number in 0..CHANGES * REQUESTS {
        let sent = f64::from(number) * 1_000.0 / f64::from(REQUESTS) + 1_200.0;
        let shown = (1..=CHANGES).rev().find(|id| acked(*id) + 50.0 <= sent).expect("one");
        for gateway in 0..2 {
            let attempt = u64::from(number) << 1 | gateway as u64;
            let asked = match number % 3 {
                0 => Asked::Steady,
                1 => Asked::Once,
                _ => Asked::Route(shown),
            };
            let ended = sent + 4.0;
            log.tries.push(Try { attempt, gateway, asked, sent, ended, got: Got::Served(shown) });
            log.runs.push(Run { attempt, at: sent + 2.0 });
        }
    }
    log
}

/// Rules that are broken, and their first findings.
fn broken(log: &Log) -> Vec<(&'static str, String)> {
    let rulings = check(log).into_iter().filter(|ruling| !ruling.found.is_empty());
    rulings.map(|ruling| (ruling.rule, ruling.found[0].clone())).collect()
}

/// This rule is broken, with a first finding that says all of this.
fn wants(log: &Log, rule: &str, says: &[&str]) {
    let found = broken(log);
    let finding = found.iter().find(|(broken, _)| broken.contains(rule));
    let (_, finding) = finding.unwrap_or_else(|| panic!("{rule:?} is not broken: {found:?}"));
    assert!(says.iter().all(|word| finding.contains(word)), "{finding}");
}

fn fault(hit: Hit, killed: bool, from: f64, until: f64) -> Fault {
    Fault { what: "a fault".into(), hit, killed, all: false, from, until }
}

/// The request at this gateway that is sent first from this moment on.
fn at(log: &Log, gateway: usize, from: f64) -> usize {
    log.tries.iter().position(|one| one.gateway == gateway && one.sent >= from).expect("one")
}

#[test]
fn a_day_as_it_should_be_breaks_no_rule() {
    let log = day();
    assert_eq!(broken(&log), []);
    assert_eq!(check(&log).len(), 14);
    let facts = Facts::of(&log);
    assert_eq!(facts.chain.len(), CHANGES as usize);
    let spread = facts.spread();
    assert_eq!(spread.len(), CHANGES as usize);
    assert!(spread.iter().all(|(_, spread)| (50.0..=150.0).contains(spread)), "{spread:?}");
}

#[test]
fn two_changes_on_one_version_or_an_improper_one_are_acknowledged() {
    let rule = "of changes on one version one is acknowledged";
    let mut log = day();
    log.orders.push(Order { base: 9, base_order: 9, ..order(500, 10) });
    log.copies.push(copy(500, 10_110.0, Said::Conflict));
    assert_eq!(broken(&log), [], "it lost");
    log.copies.push(copy(500, 10_115.0, Said::Taken));
    wants(&log, rule, &["500", "on 9", "were both acknowledged"]);
    wants(&log, "no acknowledged change is lost", &["500", "is not built on it"]);
    wants(&log, "linearizable", &["version 9"]);

    let mut log = day();
    log.orders[14].valid = false;
    wants(&log, rule, &["not proper", "second 15.120"]);
}

#[test]
fn a_repeat_of_what_was_taken_is_refused() {
    let rule = "a repeat of what was taken is not refused";
    for said in [Said::Conflict, Said::Invalid] {
        let mut log = day();
        log.copies.push(copy(3, 29_000.0, said));
        wants(&log, rule, &["version 3 on 2", "second 29.000", "taken by second 3.120"]);
        wants(&log, "linearizable", &["an applied change was refused"]);
    }
    // Its only answer was lost, but a gateway shows it.
    let mut log = day();
    log.copies.retain(|copy| copy.order != 3);
    log.copies.push(Copy { said: Said::GivenUp, ..copy(3, 3_100.0, Said::Taken) });
    assert_eq!(broken(&log), [], "in force, though its answer was lost");
    log.copies.push(copy(3, 4_500.0, Said::Conflict));
    wants(&log, rule, &["version 3 on 2", "second 4.500"]);
    // No answer at all says nothing.
    let mut log = day();
    for said in [Said::Unclear(503), Said::NoConnection, Said::Silent, Said::GivenUp] {
        log.copies.push(copy(3, 29_000.0, said));
    }
    assert_eq!(broken(&log), []);
}

#[test]
fn a_read_is_stale_or_shows_what_nobody_sent() {
    let mut log = day();
    let stale = read(&log, 20_300.0, 19);
    log.reads.push(stale);
    wants(&log, "reads are never stale", &["saw version 19", "version 20 was known", "second 20.300"]);
    wants(&log, "linearizable", &["a read returned version 19"]);
    // As long as the newer change is not acknowledged, either will do.
    let mut log = day();
    let early = read(&log, 20_110.0, 19);
    log.reads.push(early);
    assert_eq!(broken(&log), []);

    let rule = "reads show a change as it was sent";
    let mut log = day();
    log.reads[8].seen.as_mut().expect("seen").stamp = "another".into();
    wants(&log, rule, &["version 9", "read otherwise"]);
    let mut log = day();
    log.reads[8].seen.as_mut().expect("seen").order = 77;
    wants(&log, rule, &["nobody's order 77"]);
}

#[test]
fn an_acknowledged_change_is_lost_or_nothing_is_read_at_the_end() {
    let rule = "no acknowledged change is lost";
    let mut log = day();
    let (last, before) = (log.reads.len() - 1, read(&log, log.end, CHANGES - 1));
    log.reads[last] = Read { last: true, ..before };
    wants(&log, rule, &["version 30", "version 29, read at the end"]);
    log.reads[last].seen = None;
    wants(&log, rule, &["no machine gives the configuration at the end"]);
    // A later one that got no clear answer may stand there.
    let mut log = day();
    log.orders.push(order(CHANGES + 1, u64::from(CHANGES) + 1));
    log.copies.push(copy(CHANGES + 1, log.end - 50.0, Said::Silent));
    let last = log.reads.len() - 1;
    log.reads[last] = Read { last: true, ..read(&log, log.end, CHANGES + 1) };
    assert_eq!(broken(&log), []);
}

#[test]
fn changes_stand_still() {
    let rule = "changes go on";
    let mut log = day();
    for copy in log.copies.iter_mut().filter(|copy| (11..22).contains(&copy.order)) {
        copy.said = Said::Silent;
    }
    wants(&log, rule, &["second 10.120", "for 12000 ms"]);
    // The whole core was away for some of it.
    log.faults.push(Fault { all: true, ..fault(Hit::Core(0), true, 11_000.0, 14_000.0) });
    assert_eq!(broken(&log), []);
    // Two members that are away are no reason.
    log.faults[0].all = false;
    wants(&log, rule, &["for 12000 ms"]);
    let mut log = day();
    log.copies.clear();
    wants(&log, rule, &["second 0.000"]);
}

#[test]
fn a_gateway_goes_back_or_serves_what_never_was_in_force() {
    let rule = "a gateway never goes back in one life";
    let mut log = day();
    let one = at(&log, 1, 20_500.0);
    log.tries[one].got = Got::Served(18);
    wants(&log, rule, &["edge-2", "version 18 after version 20", "second 20."]);
    // A new life may begin with an older one, within its time.
    log.faults.push(fault(Hit::Gateway(1), true, log.tries[one].sent - 10.0, log.tries[one].sent - 1.0));
    assert_eq!(broken(&log), []);
    // A frozen process has one life.
    log.faults[0].killed = false;
    wants(&log, rule, &["edge-2"]);

    let mut log = day();
    log.orders.push(order(500, 10));
    log.copies.push(copy(500, 10_110.0, Said::Conflict));
    let one = at(&log, 0, 10_500.0);
    (log.tries[one].got, log.tries[one].asked) = (Got::Served(500), Asked::Steady);
    wants(&log, "gateways serve only under what was in force", &["edge-1", "order 500"]);
}

#[test]
fn a_gateway_in_touch_is_late() {
    let rule = "4 s after its acknowledgement";
    let stay = |log: &mut Log, from: f64, until: f64| {
        let own = log.tries.iter_mut().filter(|one| one.gateway == 1 && (from..until).contains(&one.sent));
        own.for_each(|one| (one.got, one.asked) = (Got::Served(10), Asked::Steady));
    };
    let mut log = day();
    stay(&mut log, 11_000.0, 15_050.0);
    assert_eq!(broken(&log), [], "just in time");
    let mut log = day();
    stay(&mut log, 11_000.0, 17_000.0);
    wants(&log, rule, &["edge-2", "shows version 10", "version 11 was acknowledged"]);
    // It stood still, and has as long again to come back.
    let frozen = fault(Hit::Gateway(1), false, 10_500.0, 13_500.0);
    log.faults.push(frozen);
    assert_eq!(broken(&log), []);
    // The same time from the loss of a core machine, however long that is away.
    log.faults[0] = fault(Hit::Core(2), true, 11_500.0, 30_000.0);
    assert_eq!(broken(&log), []);
    // Not for ever.
    let mut log = day();
    log.faults.push(fault(Hit::Gateway(1), false, 10_500.0, 13_500.0));
    stay(&mut log, 11_000.0, 40_000.0);
    wants(&log, rule, &["edge-2", "shows version 10"]);
}

#[test]
fn routes_and_keys_of_two_configurations() {
    let rule = "routes and keys are those of one configuration";
    let mut log = day();
    let one = at(&log, 0, 20_500.0);
    log.tries[one].asked = Asked::Route(15);
    wants(&log, rule, &["edge-1", "the route of 15 under order 20"]);
    // A route that is gone is refused, one that is there isn't.
    log.tries[one].got = Got::Status(404);
    assert_eq!(broken(&log), []);
    log.tries[one].asked = Asked::Route(19);
    wants(&log, rule, &["404", "Route(19)"]);
    (log.tries[one].asked, log.tries[one].got) = (Asked::Steady, Got::Status(401));
    wants(&log, rule, &["401", "Steady"]);
    // A life that has shown nothing may know nothing yet.
    log.faults.push(fault(Hit::Gateway(0), true, log.tries[one].sent - 50.0, log.tries[one].sent - 1.0));
    assert_eq!(broken(&log), []);
}

#[test]
fn requests_run_twice_or_though_declined_answers_are_mixed_up_and_processes_end() {
    let rule = "what may not be repeated runs at most once";
    let once = |log: &Log| log.tries.iter().position(|one| one.asked == Asked::Once).expect("one");
    let mut log = day();
    let one = once(&log);
    log.runs.push(Run { attempt: log.tries[one].attempt, at: log.tries[one].ended });
    wants(&log, rule, &["ran 2 times", "edge-1"]);
    // Also where its client heard nothing.
    log.tries[one].got = Got::Nothing;
    wants(&log, rule, &["ran 2 times"]);

    let mut log = day();
    let one = once(&log);
    log.tries[one].got = Got::Status(503);
    wants(&log, rule, &["ran, and its client got 503"]);
    let mut log = day();
    log.runs.remove(0);
    wants(&log, rule, &["was served and never ran"]);
    // What may be repeated may run twice.
    let mut log = day();
    let steady = log.tries.iter().find(|one| one.asked == Asked::Steady).expect("one");
    log.runs.push(Run { attempt: steady.attempt, at: steady.ended });
    assert_eq!(broken(&log), []);

    let mut log = day();
    log.tries[5].got = Got::Foreign;
    wants(&log, "an answer belongs to its request", &["what is not its answer"]);

    let mut log = day();
    log.ended.push("second 3.0: core-2 (exit status: 1)".into());
    wants(&log, "no process ends by itself", &["core-2"]);
}

#[test]
fn bad_use_starts_nothing() {
    for told in [["--seconds", "5"], ["--seconds", "601"], ["--broken", "everything"], ["--seed", "x"]] {
        let words = ["demo-storm", told[0], told[1]].map(std::ffi::OsString::from).to_vec();
        let (mut out, mut err) = (Vec::new(), Vec::new());
        assert_eq!(
            ctl::run(words, None, &mut std::io::empty(), &mut out, &mut err),
            ctl::BAD_INPUT,
            "{told:?}"
        );
        let said = String::from_utf8(err).expect("text");
        assert!(
            said.contains(told[0].trim_start_matches("--")) || said.contains(told[1]),
            "{told:?}: {said}"
        );
    }
}
