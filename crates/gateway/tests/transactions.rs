//! Configuration transactions over real processes and sockets. No verdict hangs on speed: time limits are those of
//! a broken program. The figures are made by `cargo bench -p nickeljunction --bench changes`.

mod fleet;

use fleet::{document, Fleet, BAD, SMALL_PLAN};
use nickeljunction_testkit::counter::Manner;
use nickeljunction_testkit::discovery::Discovery;
use nickeljunction_testkit::load::Load;
use nickeljunction_testkit::region;
use std::time::Duration;

/// Time to see enough of the answers before a change.
const BEFORE: Duration = Duration::from_secs(4);
const LONG: Duration = Duration::from_secs(60);

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The guard rolled the change back for refusals, and a second later all are served again.
fn check_rolled_back(fleet: &Fleet, load: Load) {
    let history = fleet.gateways[0].done(&["history"]);
    assert!(history.contains("rolled back: the guard: refused"), "{history}");
    pause(1_000);
    let answers = load.stop();
    fleet.check(&answers);
    let last = &answers[answers.len() - 50..];
    assert!(last.iter().all(|answer| answer.status == Some(200)), "{last:?}");
}

/// Every deliberately bad change is taken back by the guard under load, and all are served as before after it.
#[test]
fn bad_changes_are_rolled_back_under_load_and_nothing_is_answered_twice_or_left() {
    let fleet = Fleet::start(2, 3);
    let load = fleet.load(190.0);
    std::thread::sleep(BEFORE);
    for (name, sections, files) in BAD {
        fleet.push(sections, files, "50s");
        fleet.settle(LONG);
        for gateway in &fleet.gateways {
            let history = gateway.done(&["history"]);
            let last = history.lines().last().unwrap_or_default().to_string();
            assert!(last.contains("rolled back: the guard: "), "{name}: {history}");
        }
        pause(500);
    }
    pause(500);
    let before = load.answers().len();
    pause(1_000);
    let answers = load.stop();
    fleet.check(&answers);
    let (refused, _) = fleet::spoilt(&answers[..before.min(answers.len())]);
    assert!(refused > 0, "the bad changes did harm, or they prove nothing");
    let late: Vec<_> = answers[before..].iter().filter(|answer| answer.status != Some(200)).collect();
    assert!(late.is_empty(), "served as before, after all were taken back: {late:?}");
}

/// A plan a hundred times too small, at a gateway that has no others to agree with.
#[test]
fn a_plan_a_hundred_times_too_small_is_rolled_back() {
    let fleet = Fleet::start(1, 3);
    let load = fleet.load(100.0);
    std::thread::sleep(BEFORE);
    fleet.push(SMALL_PLAN, &[], "50s");
    fleet.settle(LONG);
    check_rolled_back(&fleet, load);
}

/// A plug-in that loops costs bounded steps and is passed over: no harm, so no rollback; the time to confirm ends
/// it. A confirmed one stays, through a restart, too.
#[test]
fn without_confirmation_the_former_document_is_back_and_a_confirmed_one_survives_a_restart() {
    let mut fleet = Fleet::start(1, 2);
    let load = fleet.load(60.0);
    std::thread::sleep(BEFORE);
    let script = [("loop.rhai", "fn admit(r) { loop { } }")];
    fleet.push(r#""plugin":{"script":"loop.rhai"}"#, &script, "3s");
    fleet.gateways[0].wait_for("trial", LONG);
    fleet.settle(LONG);
    let history = fleet.gateways[0].done(&["history"]);
    assert!(history.ends_with("rolled back: not confirmed in time\n"), "{history}");
    let answers = load.stop();
    fleet.check(&answers);
    assert!(answers.iter().all(|answer| answer.status == Some(200)), "{answers:?}");
    // Confirmed: 404 for what is not described, before and after a kill.
    let routes =
        r#""routes":{"undescribed":"refuse","routes":[{"method":"GET","path":"/slot-lookup/{id}"}]}"#;
    fleet.push(routes, &[], "50s");
    fleet.gateways[0].done(&["confirm"]);
    let status = |fleet: &Fleet, line: &str| {
        use nickeljunction_testkit::load::Shape;
        let shape = Shape { line: line.into(), plan: "growth".into(), keyed: false, franchisees: 1..2 };
        let load = Load::start(vec![fleet.gateways[0].address.clone()], 20.0, vec![shape]);
        pause(300);
        load.stop().first().and_then(|answer| answer.status)
    };
    assert_eq!(status(&fleet, "POST /donor-checkin/1"), Some(404));
    fleet.gateways[0].kill();
    fleet.gateways[0].again().expect("it serves again");
    assert_eq!(status(&fleet, "POST /donor-checkin/1"), Some(404), "the confirmed document holds");
    assert_eq!(status(&fleet, "GET /slot-lookup/1"), Some(200));
    assert!(fleet.gateways[0].log().iter().any(|line| line.contains("the file differs")), "it says so");
    assert_eq!(fleet.gateways[0].stop(), Some(0), "and SIGTERM ends it in order");
    assert!(!fleet.gateways[0].folder().path().join("control.sock").exists(), "its socket is gone");
}

/// Hundreds of requests in flight, some with an attempt out that may have run: a rollback in the middle leaves each
/// its one answer.
#[test]
fn a_rollback_with_hundreds_in_flight_leaves_each_exactly_one_answer() {
    let fleet = Fleet::start(1, 12);
    let slow = region::Manner { work: Duration::from_millis(600), ..region::Manner::default() };
    fleet.regions.iter().for_each(|region| region.set(slow));
    fleet.regions[0].set(region::Manner { fail_every: 5, ..slow });
    let load = fleet.load(500.0);
    pause(1_500);
    for _ in 0..3 {
        fleet.push(r#""limits":{"max_attempts":2},"timeouts":{"connect_ms":400}"#, &[], "50s");
        pause(300);
        fleet.gateways[0].done(&["rollback", "--why", "to try"]);
        pause(300);
    }
    let answers = load.stop();
    fleet.check(&answers);
    let in_flight = answers
        .iter()
        .map(|one| answers.iter().filter(|other| other.sent <= one.sent && other.done > one.sent).count());
    let most = in_flight.max().unwrap_or(0);
    assert!(most >= 200, "{most} in flight at most: too few to prove anything");
    let history = fleet.gateways[0].done(&["history"]);
    assert_eq!(history.matches("rolled back: by ann: to try").count(), 3, "{history}");
}

/// Killed outright at moments all over a transaction: what is in force afterwards is a confirmed document, nothing
/// is stuck, and the history is whole.
#[test]
fn killed_at_any_moment_the_last_confirmed_document_is_back() {
    let mut fleet = Fleet::start(1, 2);
    let sections = r#""limits":{"max_attempts":2}"#;
    let mut seen = std::collections::BTreeSet::new();
    for round in 0..14u64 {
        let gateway = &mut fleet.gateways[0];
        gateway
            .folder()
            .write("next.json", &document(&format!("{sections},\"guard\":{{\"block\":{}}}", round + 1)));
        let confirms = round % 2 == 1;
        std::thread::scope(|scope| {
            let gateway = &*gateway;
            scope.spawn(move || {
                for words in [&["stage", "next.json"][..], &["apply"], &["confirm"]] {
                    if words[0] == "confirm" && !confirms {
                        return;
                    }
                    if !gateway.config(words).status.success() {
                        return;
                    }
                }
            });
            // Each command takes some ms: the moments lie all over them. Struck before the scope waits for them.
            std::thread::sleep(Duration::from_micros(4_000 * round + 317 * (round % 5)));
            gateway.strike();
        });
        fleet.gateways[0].kill();
        fleet.gateways[0].again().unwrap_or_else(|why| panic!("round {round}: {why}"));
        let gateway = &fleet.gateways[0];
        let status = gateway.done(&["status", "--json"]);
        let settled = status.contains("\"phase\": \"idle\"") || status.contains("\"phase\": \"staged\"");
        assert!(settled, "round {round}: {status}");
        let history = gateway.done(&["history"]);
        assert!(!history.is_empty() && history.contains("began with"), "{history}");
        let confirmed =
            history.lines().rev().find(|line| line.contains("confirmed by") || line.contains("began"));
        let epoch =
            confirmed.and_then(|line| line.split("epoch ").nth(1)?.split(' ').next()).expect("an epoch");
        assert!(status.contains(&format!("\"confirmed\": {epoch},")), "{status}\n{history}");
        assert!(status.contains(&format!("\"sections\": {epoch}")), "{status}\n{history}");
        let last = history.lines().last().unwrap_or_default();
        seen.extend(
            ["staged by", "ended during the trial", "confirmed by", "dropped"]
                .into_iter()
                .filter(|step| last.contains(step)),
        );
        if status.contains("\"phase\": \"staged\"") {
            gateway.done(&["rollback"]);
        }
    }
    println!("last steps found after the kills: {seen:?}");
}

#[test]
fn two_operators_do_not_undo_each_others_work() {
    let fleet = Fleet::start(1, 1);
    let gateway = &fleet.gateways[0];
    gateway.folder().write("a.json", &document(r#""limits":{"max_attempts":2}"#));
    gateway.folder().write("b.json", &document(r#""limits":{"max_attempts":1}"#));
    let said = |words: &[&str]| {
        let output = gateway.config(words);
        let text = String::from_utf8_lossy(&output.stderr).to_string();
        (output.status.code(), text)
    };
    gateway.done(&["stage", "a.json", "--who", "ann"]);
    let (code, why) = said(&["stage", "b.json", "--who", "bob"]);
    assert_eq!(code, Some(1));
    assert!(why.contains("epoch 2 of ann is staged"), "{why}");
    gateway.done(&["stage", "b.json", "--who", "bob", "--replace"]);
    // Ann still means her own.
    let (code, why) = said(&["apply", "2", "--who", "ann"]);
    assert!(code == Some(1) && why.contains("epoch 3 of bob is staged, not 2"), "{why}");
    // Both apply at the same time: one of them does.
    let both: Vec<bool> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..2).map(|_| scope.spawn(|| gateway.config(&["apply", "3"]).status.success())).collect();
        threads.into_iter().map(|thread| thread.join().expect("asked")).collect()
    });
    assert_eq!(both.iter().filter(|done| **done).count(), 1);
    for words in [&["apply"][..], &["stage", "a.json"]] {
        let (code, why) = said(words);
        assert!(code == Some(1) && why.contains("epoch 3 is on trial"), "{why}");
    }
    gateway.done(&["confirm", "--who", "bob"]);
    // Staged against an older one, it is refused at its application.
    let (code, why) = said(&["stage", "b.json"]);
    assert!(code == Some(1) && why.contains("nothing differs from epoch 3"), "{why}");
    assert_eq!(said(&["rollback"]).0, Some(1), "nothing to take back");
}

/// What the check can find is refused before it is staged, with its place; nothing in force is touched.
#[test]
fn what_can_be_found_bad_is_refused_at_the_door() {
    let fleet = Fleet::start(1, 1);
    let gateway = &fleet.gateways[0];
    let empty = Discovery::start(Vec::new());
    let refused = |text: &str, files: &[(&str, &str)]| {
        gateway.folder().write("bad.json", text);
        files.iter().for_each(|(name, text)| drop(gateway.folder().write(name, text)));
        let output = gateway.config(&["stage", "bad.json"]);
        assert_eq!(output.status.code(), Some(2), "{text}");
        String::from_utf8_lossy(&output.stderr).to_string()
    };
    let roster = format!(r#""roster":{{"discovery":"{}"}}"#, empty.address);
    let gone = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("its address");
    for (text, files, said) in [
        (document(&roster), &[][..], "bad.json:1:84: roster: found 0 regions ready at discovery"),
        (document(&format!(r#""roster":{{"discovery":"{gone}"}}"#)), &[], "no list from discovery"),
        (
            document(&format!(r#""counter":{{"address":"{gone}"}}"#)),
            &[],
            "counter.address: found no connection",
        ),
        (document(r#""plugin":{"script":"x.rhai"}"#), &[("x.rhai", "fn admit(r) {")], "plugin.script: found"),
        (document(r#""plugin":{"script":"none.rhai"}"#), &[], "plugin.script: found 'none.rhai'"),
        (
            document(r#""routes":{"routes":[{"method":"GET","path":"/a","class":"gold"}]}"#),
            &[],
            "routes.routes[0].class: found the class 'gold', wanted one of: slot-lookup",
        ),
        (
            document(r#""routes":{"routes":[{"method":"GET","path":"/{a"}]}"#),
            &[],
            "more than one template or an open brace",
        ),
        (document(r#""plans":{"gold":{"rate":1}}"#), &[], "plans.gold: found a plan that the gateway"),
        ("{".repeat(10_000), &[], "wanted at most 64 levels"),
        (document("").trim_end_matches('}').to_string(), &[], "no JSON"),
        (r#"{"version":1}"#.to_string(), &[], "another 'daemon' section than the one in force"),
    ] {
        let why = refused(&text, files);
        assert!(why.contains(said), "{said}: {why}");
    }
    gateway.folder().write("bad.json", &format!("{{\"version\":1,\"//\":\"{}\"}}", "x".repeat(50 << 20)));
    let output = gateway.config(&["check", "bad.json"]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("wanted at most 4194304 bytes"));
    assert_eq!(gateway.done(&["status"]), "epoch 1 is confirmed\n");
}

/// A roster that is good when it is tried and empty a moment later: back to the old one, which serves at once.
#[test]
fn a_list_that_empties_during_the_trial_is_left_for_the_former_one() {
    let fleet = Fleet::start(1, 2);
    let other = Discovery::start(fleet.regions.iter().map(|region| region.line("Ready")).collect());
    let load = fleet.load(100.0);
    std::thread::sleep(BEFORE);
    fleet.push(&format!(r#""roster":{{"discovery":"{}"}}"#, other.address), &[], "50s");
    pause(300);
    other.set(Vec::new());
    fleet.settle(LONG);
    check_rolled_back(&fleet, load);
}

/// Signed documents: refused without a tag of an accepted key, and with one of a document that was changed since.
#[test]
fn only_signed_documents_are_staged_where_keys_are_set() {
    let mut fleet = Fleet::start(1, 1);
    let program = env!("CARGO_BIN_EXE_nickeljunction");
    let keygen = |name: &str| {
        let output =
            std::process::Command::new(program).args(["config", "keygen", name]).output().expect("made");
        String::from_utf8_lossy(&output.stdout).to_string()
    };
    let (old, new) = (keygen("old"), keygen("new"));
    assert_ne!(old.replace("old", ""), new.replace("new", ""));
    let gateway = &mut fleet.gateways[0];
    let signed =
        |sections: &str| document(sections).replacen(r#""daemon":{"#, r#""daemon":{"keys":"keys","#, 1);
    gateway.stop();
    gateway.folder().write("keys", &format!("{new}{old}"));
    gateway.folder().write("new.key", &new);
    gateway.folder().write("old.key", &old);
    gateway.folder().write("other.key", &keygen("other"));
    std::fs::remove_file(gateway.folder().path().join("history.redb")).expect("removed");
    gateway.folder().write("gateway.json", &signed(""));
    gateway.again().expect("it serves");
    let refused = |said: &str| {
        let output = gateway.config(&["stage", "next.json"]);
        let why = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(output.status.code() == Some(2) && why.contains(said), "{why}");
    };
    gateway.folder().write("next.json", &signed(r#""limits":{"max_attempts":2}"#));
    refused("found no tag, wanted a document signed with an accepted key");
    gateway.done(&["sign", "next.json", "--key", "other.key"]);
    refused("found a tag that no accepted key made");
    // Either key, while they are exchanged.
    for key in ["old.key", "new.key"] {
        gateway.done(&["sign", "next.json", "--key", key]);
        gateway.done(&["stage", "next.json"]);
    }
    gateway.folder().write("next.json", &signed(r#""limits":{"max_attempts":3}"#));
    refused("found a tag that no accepted key made");
}

/// Plans change at all gateways or at none: two of three that have it hold; with the third they flip, and a word at
/// one of them confirms all.
#[test]
fn plans_flip_at_all_gateways_together_or_not_at_all() {
    let fleet = Fleet::start(3, 2);
    let sections = r#""plans":{"growth":{"rate":30,"burst":80}}"#;
    for gateway in &fleet.gateways {
        gateway.folder().write("next.json", &document(sections));
    }
    for gateway in &fleet.gateways[..2] {
        let staged = gateway.done(&["stage", "next.json"]);
        assert!(staged.contains("when all gateways have it"), "{staged}");
        gateway.done(&["apply", "--gather-within", "7s"]);
    }
    for gateway in &fleet.gateways[..2] {
        let status = gateway.wait_for("staged", LONG);
        assert!(status.contains("2 of 3 gateways had it staged and applied"), "{status}");
        assert!(status.contains("\"Of\": 1"), "held: the former figures are in force: {status}");
    }
    fleet.gateways[2].done(&["stage", "next.json"]);
    for gateway in &fleet.gateways {
        gateway.done(&["apply", "--gather-within", "50s", "--confirm-within", "60s"]);
    }
    for gateway in &fleet.gateways {
        let status = gateway.wait_for("trial", LONG);
        assert!(status.contains("\"Of\": 2"), "{status}");
    }
    // The counter is dark for a while on trial, and back: nothing is decided by that.
    fleet.counter.set(Manner::Dark);
    pause(2_000);
    fleet.counter.set(Manner::Fine);
    fleet.gateways[1].done(&["confirm", "--who", "bob"]);
    fleet.settle(LONG);
    for gateway in &fleet.gateways {
        let status = gateway.done(&["status", "--json"]);
        let logs: Vec<String> = fleet.gateways.iter().map(|one| one.log().join("\n")).collect();
        let fine = status.contains("\"confirmed\": 2,") && status.contains("\"Of\": 2");
        assert!(fine, "{status}\n{}", logs.join("\n---\n"));
    }
    assert!(fleet.gateways[1].done(&["history"]).contains("confirmed by bob"));
    assert!(fleet.gateways[0].done(&["history"]).contains("confirmed by another gateway"));
    assert!(fleet.counter.names().iter().any(|name| name.starts_with("cfg.")), "the vote was by the counter");
}

/// A rollback at one gateway takes the plans back at all; with the counter dark nobody flips at all.
#[test]
fn a_rollback_at_one_gateway_is_one_at_all_and_a_dark_counter_flips_nothing() {
    let fleet = Fleet::start(2, 2);
    fleet.counter.set(Manner::Dark);
    let sections = r#""plans":{"growth":{"rate":30,"burst":80}}"#;
    for gateway in &fleet.gateways {
        gateway.folder().write("next.json", &document(sections));
        gateway.done(&["stage", "next.json"]);
        gateway.done(&["apply", "--gather-within", "6s"]);
    }
    for gateway in &fleet.gateways {
        let status = gateway.wait_for("staged", LONG);
        assert!(status.contains("no vote could be counted: the counter is silent"), "{status}");
    }
    fleet.counter.set(Manner::Fine);
    for gateway in &fleet.gateways {
        gateway.done(&["apply", "--gather-within", "50s"]);
    }
    for gateway in &fleet.gateways {
        gateway.wait_for("trial", LONG);
    }
    fleet.gateways[0].done(&["rollback", "--why", "refusals"]);
    fleet.settle(LONG);
    let histories: Vec<String> = fleet.gateways.iter().map(|gateway| gateway.done(&["history"])).collect();
    assert!(histories[0].contains("rolled back: by ann: refusals"), "{}", histories[0]);
    assert!(histories[1].contains("rolled back: another gateway took it back"), "{}", histories[1]);
    for gateway in &fleet.gateways {
        assert!(gateway.done(&["status", "--json"]).contains("\"Of\": 1"));
    }
}
