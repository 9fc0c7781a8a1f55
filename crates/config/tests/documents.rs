//! What the check says of documents: every problem with its place, none lost, and hostile texts bounded.

use nickeljunction_config::bundle::Bundle;
use nickeljunction_config::check::check;
use nickeljunction_config::document::{schema, smaller, Document};
use nickeljunction_core::facade::{Plan, Settings};
use proptest::prelude::*;

fn plan(name: &str, rate: f64, burst: f64, ceiling: f64) -> Plan {
    Plan {
        name: name.into(),
        rate,
        burst,
        max_concurrent: 0.0,
        worth_factor: 1.0,
        excess_worth: 0.0,
        excess_cost: 1.0,
        ceiling_rate: ceiling * rate,
        ceiling_burst: ceiling * burst,
        ceiling_slack: if ceiling > 0.0 { 2.0 } else { 0.0 },
    }
}

fn base() -> Settings {
    let class = nickeljunction_core::facade::Class {
        name: "slot-lookup".into(),
        target_latency_ms: 500.0,
        client_timeout_ms: 2_000.0,
        retry_safety: nickeljunction_core::facade::RetrySafety::Idempotent,
        dedup_scope: nickeljunction_core::facade::DedupScope::All,
        key_ttl_ms: 0.0,
        late_share: 0.0,
        stream: false,
        worth: 1.0,
    };
    let plans = vec![plan("starter", 2.0, 8.0, 0.0), plan("growth", 10.0, 20.0, 2.0)];
    Settings { classes: vec![class], plans, max_request_units: 6.0, gateway_count: 3, ..Settings::default() }
}

fn problems(text: &str) -> Vec<String> {
    match check("g.json", text, Some(&base())) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn the_example_that_ships_is_good_and_the_schema_is_the_one_checked_in() {
    let text = include_str!("../../../deploy/gateway.example.json");
    let read = |name: &str| {
        let beside = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/");
        std::fs::read_to_string(format!("{beside}{name}")).map_err(|why| why.to_string())
    };
    let gathered = Bundle::gather("gateway.example.json", text, None, read);
    let (bundle, checked) = gathered.unwrap_or_else(|problems| panic!("{problems:#?}"));
    assert!(!bundle.files.is_empty() && checked.document.guard.false_alarm < 0.01);
    let written = include_str!("../../../deploy/gateway.schema.json");
    assert_eq!(written, schema(), "write it anew: nickeljunction config schema > deploy/gateway.schema.json");
}

#[test]
fn all_problems_of_a_file_are_told_with_place_found_and_wanted() {
    let text = r#"{
  "version": 1,
  "plnas": {},
  "plans": {
    "starter": {"rate": -1, "brust": 4},
    "startr": {"rate": 2}
  },
  "roster": {"discovery": "here", "least_regions": 1.5},
  "limits": {"max_attempts": "six"},
  "routes": {"routes": [{"method": "get", "path": "slots"}]},
  "guard": {"false_alarm": 0.001, "//": "a comment"}
}"#;
    assert_eq!(
        problems(text),
        [
            "g.json:3:3: plnas: found the unknown key 'plnas', wanted a known key (did you mean 'plans'?)",
            "g.json:5:25: plans.starter.rate: found -1, wanted a number from 0.0001 to 10000000 (Units a second that refill each franchisee's store)",
            "g.json:5:29: plans.starter.brust: found the unknown key 'brust', wanted a known key (did you mean 'burst'?)",
            "g.json:8:52: roster.least_regions: found 1.5, wanted a whole number from 0 to 100000 (Fewest regions that a new source must tell before it is taken)",
            "g.json:9:30: limits.max_attempts: found the text 'six', wanted a whole number from 1 to 16 (Most attempts of one request)",
            "g.json:10:36: routes.routes[0].method: found the text 'get', wanted one of: GET, PUT, POST, DELETE, OPTIONS, PATCH",
            "g.json:10:51: routes.routes[0].path: found the text 'slots', wanted a text that begins with '/'",
        ]
    );
}

#[test]
fn what_figures_mean_together_is_checked_against_the_gateways_settings() {
    for (text, said) in [
        (r#"{"version":1,"plans":{"startr":{"rate":2}}}"#, "plans.startr: found a plan that the gateway was not started with, wanted 'rate' and 'burst', since the plan is new (did you mean 'starter'?)"),
        (r#"{"version":1,"plans":{"growth":{"ceiling_rate":5}}}"#, "plans.growth.ceiling_rate: found 5, under the rate of 10"),
        (r#"{"version":1,"plans":{"starter":{"ceiling_rate":5}}}"#, "plans.starter.ceiling_rate: found a ceiling of 5 without a burst"),
        (r#"{"version":1,"plans":{"starter":{"burst":3}}}"#, "plans.starter.burst: found 3, wanted at least the largest request, 6 units"),
        (r#"{"version":1,"counter":{"address":"here"}}"#, "counter.address: found the text 'here', wanted an address with a port"),
        (r#"{"version":1,"roster":{}}"#, "roster: found neither"),
        (r#"{"version":1,"routes":{"description":"a","routes":[]}}"#, "routes: found both"),
        (r#"{"version":1,"timeouts":{"classes":{"slot-lookup":{"aim_ms":3000}}}}"#, "found an aim of 3000 ms, given up after 2000 ms"),
        (r#"{"version":1,"timeouts":{"classes":{"lookup":{"aim_ms":3}}}}"#, "found the class 'lookup', wanted one of: slot-lookup"),
        (r#"{"version":1,"routes":{"routes":[{"method":"GET","path":"/a","class":"x"}]}}"#, "routes.routes[0].class: found the class 'x'"),
        (r#"{"version":2}"#, "version: found 2, wanted a whole number: 1"),
        (r#"{}"#, "version: found nothing, wanted this key (Form of this document)"),
        (r#"{"version":1,"version":1}"#, "found 'version' a second time"),
        (r#"{"version":1,"plans":{"growth":{"rate":1e999}}}"#, "wanted a finite number"),
        (r#"[1]"#, "found a list of 1, wanted an object"),
        ("", "wanted JSON"),
    ] {
        let told = problems(text);
        assert!(told.iter().any(|problem| problem.contains(said)), "{text}: {told:#?}");
    }
    assert!(problems(r#"{"version":1,"plans":{"growth":{"rate":9}}}"#).is_empty());
}

/// Fifty megabytes, ten thousand levels, and a document cut off at every byte.
#[test]
fn hostile_texts_are_bounded_and_truncated_ones_are_errors() {
    let large = format!(r#"{{"version":1,"//":"{}"}}"#, "x".repeat(50 << 20));
    assert!(problems(&large)[0].contains("wanted at most 4194304 bytes"), "a large one");
    for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
        let deep = open.repeat(10_000) + "1" + &close.repeat(10_000);
        assert!(problems(&deep)[0].contains("wanted at most 64 levels"), "a deep one");
    }
    let text = include_str!("../../../deploy/gateway.example.json").trim_end();
    for cut in (0..text.len()).filter(|cut| text.is_char_boundary(*cut)) {
        assert!(check("cut.json", &text[..cut], None).is_err(), "cut at {cut}");
    }
}

#[test]
fn a_file_that_a_document_names_is_part_of_it() {
    let text = r#"{"version":1,"plugin":{"script":"a.rhai"}}"#;
    let gather = |content: &'static str| {
        let read = move |_: &str| Ok(content.to_string());
        Bundle::gather("g.json", text, None, read).expect("good").0
    };
    assert_ne!(gather("one").digest(), gather("two").digest());
    let missing = Bundle::gather("g.json", text, None, |_| Err("no such file".into())).expect_err("missing");
    assert_eq!(
        missing[0].to_string(),
        "g.json:1:33: plugin.script: found 'a.rhai': no such file, wanted a file that can be read"
    );
    let moved = Bundle { files: Default::default(), ..gather("one") };
    assert!(moved.check(None).is_err(), "a bundle without its file");
}

#[test]
fn the_smaller_of_two_plans_is_smaller_in_every_figure_and_none_counts_as_boundless() {
    let (one, two) = (plan("p", 10.0, 5.0, 2.0), plan("p", 4.0, 8.0, 0.0));
    let both = smaller(std::slice::from_ref(&one), std::slice::from_ref(&two));
    assert_eq!((both[0].rate, both[0].burst, both[0].ceiling_rate), (4.0, 5.0, 20.0));
    assert_eq!(smaller(&[two], &[one]), both);
    assert_eq!(smaller(&[plan("a", 1.0, 1.0, 0.0)], &[plan("b", 1.0, 1.0, 0.0)]).len(), 2);
}

proptest! {
    /// Whatever text comes, the check ends, and never with an empty list of problems.
    #[test]
    fn any_text_is_checked(text in "\\PC{0,200}") {
        if let Err(problems) = check("any.json", &text, Some(&base())) {
            prop_assert!(!problems.is_empty());
        }
    }

    /// What was read and written again says the same.
    #[test]
    fn a_document_survives_writing(rate in 0.001f64..1e6, burst in 6.0f64..1e6, attempts in 1u32..16) {
        let text = format!(
            r#"{{"version":1,"plans":{{"starter":{{"rate":{rate},"burst":{burst}}}}},"limits":{{"max_attempts":{attempts}}}}}"#
        );
        let read = check("a.json", &text, Some(&base())).expect("good").document;
        let written = serde_json::to_string(&read).expect("written");
        let again: Document = check("b.json", &written, Some(&base())).expect("good").document;
        prop_assert_eq!(&read, &again);
        let settings = again.settings(&base());
        prop_assert_eq!(settings.plans[0].rate, rate);
        prop_assert_eq!(settings.max_attempts, attempts as usize);
    }
}
