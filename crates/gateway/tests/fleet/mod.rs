//! A fleet of gateway processes over stand-ins, and the changes that are pushed to it. Shared by the tests of
//! transactions and the bench of their figures.

#![allow(dead_code)]

use nickeljunction_testkit::counter::Counter;
use nickeljunction_testkit::discovery::Discovery;
use nickeljunction_testkit::gateway::Gateway;
use nickeljunction_testkit::load::{mixed_shapes, Answer, Load};
use nickeljunction_testkit::region::{doubles, Region};
use std::time::Duration;

pub struct Fleet {
    pub regions: Vec<Region>,
    pub discovery: Discovery,
    pub counter: Counter,
    pub gateways: Vec<Gateway>,
}

/// Sections of a document that change nothing.
pub const QUIET: &str = "";

/// A document with these further sections.
pub fn document(sections: &str) -> String {
    let comma = if sections.is_empty() { "" } else { "," };
    format!(
        r#"{{"version":1,"daemon":{{"control":"control.sock","history":"history.redb"}}{comma}{sections}}}"#
    )
}

fn configuration(me: usize, gateways: usize, discovery: &str, counter: &str) -> String {
    let class = |name: &str, repeat: &str| {
        format!(
            r#"{{"Name":"{name}","AimMs":1000,"GiveUpMs":2000,"Repeat":"{repeat}","Group":"all","KeyTtlMs":1000,"Worth":1}}"#
        )
    };
    let plan = |name: &str| {
        format!(r#"{{"Name":"{name}","Refill":20,"PeakUnits":60,"WorthFactor":1,"OverCost":1}}"#)
    };
    format!(
        r#"{{"name":"n{me}","listen":"127.0.0.1:0","discovery":"{discovery}","counter":"{counter}","seed":"{me}7",
        "limits":{{"sockets":1024,"memory_mb":192}},"settings":{{"Me":{me},"Siblings":{gateways},"Locality":"east",
        "StepMs":2.0,"Classes":[{},{},{}],"TiersOfService":[{},{},{}],
        "Extra":{{"Counter":true,"CounterTimeoutMs":100,"Settles":true,"UnitsTop":1}},"Discovery":"automatic",
        "Permissions":{{"MayCancel":true,"MaxAttempts":3,"MaxRetryAfterMs":2000,"RetryAfter":true,
        "SecondCopies":false,"ConnectTimeoutMs":500,"IdleCloseMs":30000}},
        "Guarantees":{{"ColdFrom":0.15,"ColdMs":1000,"DrainGraceMs":1000,"FallMultiple":2,"FallMs":1500}}}}}}"#,
        class("slot-lookup", "repeatable"),
        class("slot-hold", "by_key"),
        class("donor-checkin", "once"),
        plan("starter"),
        plan("standard"),
        plan("growth"),
    )
}

impl Fleet {
    /// So many gateways and regions, all gateways on a quiet document.
    pub fn start(gateways: usize, regions: usize) -> Fleet {
        Fleet::of(env!("CARGO_BIN_EXE_nickeljunction"), gateways, regions, Some(&document(QUIET)))
    }

    /// The same of another program, and with another document or none.
    pub fn of(program: &str, gateways: usize, regions: usize, document: Option<&str>) -> Fleet {
        let regions: Vec<Region> = (1..=regions).map(|at| Region::start(&format!("r{at}"))).collect();
        let discovery = Discovery::start(regions.iter().map(|region| region.line("Ready")).collect());
        let counter = Counter::start();
        let gateways = (0..gateways)
            .map(|me| {
                let (at, count) = (discovery.address.to_string(), counter.address.to_string());
                Gateway::start(program, &configuration(me, gateways, &at, &count), document)
            })
            .collect();
        Fleet { regions, discovery, counter, gateways }
    }

    /// Three kinds of requests in two plans, 190 a second in all unless told otherwise.
    pub fn load(&self, rate: f64) -> Load {
        let shapes = mixed_shapes(20);
        Load::start(self.gateways.iter().map(|gateway| gateway.address.clone()).collect(), rate, shapes)
    }

    /// Stages and applies a document with these sections and files at all gateways.
    pub fn push(&self, sections: &str, files: &[(&str, &str)], confirm_within: &str) {
        for gateway in &self.gateways {
            gateway.folder().write("next.json", &document(sections));
            files.iter().for_each(|(name, text)| drop(gateway.folder().write(name, text)));
            gateway.done(&["stage", "next.json"]);
        }
        for gateway in &self.gateways {
            gateway.done(&["apply", "--confirm-within", confirm_within]);
        }
    }

    /// Waits until nothing is under way at any gateway.
    pub fn settle(&self, within: Duration) {
        self.gateways.iter().for_each(|gateway| drop(gateway.wait_for("idle", within)));
    }

    /// What no trouble excuses: every request has one answer, no check-in ran twice, no two attempts were out.
    pub fn check(&self, answers: &[Answer]) {
        let unanswered: Vec<&Answer> = answers.iter().filter(|answer| answer.status.is_none()).collect();
        assert!(
            unanswered.is_empty(),
            "{} of {} unanswered: {unanswered:?}",
            unanswered.len(),
            answers.len()
        );
        let twice = answers.iter().filter(|answer| answer.more).count();
        assert_eq!(twice, 0, "answered twice");
        let (ran_twice, at_once) = doubles(&self.regions);
        let checkins: Vec<String> = self
            .regions
            .iter()
            .flat_map(Region::runs)
            .filter(|run| run.line.contains("donor-checkin") && ran_twice.contains(&run.id))
            .map(|run| run.id)
            .collect();
        assert!(checkins.is_empty(), "check-ins that ran twice: {checkins:?}");
        assert!(at_once.is_empty(), "two attempts out: {at_once:?}");
    }
}

/// A change that must be taken back: its name, its sections, its files.
pub type Bad = (&'static str, &'static str, &'static [(&'static str, &'static str)]);

/// Changes that no check can find bad: each is valid, and does harm.
pub const BAD: [Bad; 4] = [
    (
        "a script that refuses all",
        r#""plugin":{"script":"refuse.rhai"}"#,
        &[("refuse.rhai", "fn admit(r) { #{refuse: true, retry_after_ms: 500} }")],
    ),
    (
        "a route list without check-ins",
        r#""routes":{"undescribed":"refuse","routes":[
            {"method":"GET","path":"/slot-lookup/{id}","class":"slot-lookup"},
            {"method":"POST","path":"/slot-hold/{id}","class":"slot-hold","key_required":true}]}"#,
        &[],
    ),
    (
        "no time for any class",
        r#""timeouts":{"classes":{"slot-lookup":{"aim_ms":1,"give_up_ms":2},"slot-hold":{"aim_ms":1,"give_up_ms":2},
            "donor-checkin":{"aim_ms":1,"give_up_ms":2}}}"#,
        &[],
    ),
    (
        "one attempt and a tenth of the time",
        r#""limits":{"max_attempts":1},"timeouts":{"classes":{
            "slot-lookup":{"aim_ms":5,"give_up_ms":10},"donor-checkin":{"aim_ms":5,"give_up_ms":10}}}"#,
        &[],
    ),
];

/// A plan a hundred times too small.
pub const SMALL_PLAN: &str = r#""plans":{"standard":{"rate":0.2,"burst":1}}"#;

/// Answers that are not 200, and the seconds from the first of them to the last.
pub fn spoilt(answers: &[Answer]) -> (usize, f64) {
    let bad: Vec<&Answer> = answers.iter().filter(|answer| answer.status != Some(200)).collect();
    let first = bad.iter().map(|answer| answer.done).min();
    let last = bad.iter().map(|answer| answer.done).max();
    let seconds = first.zip(last).map_or(0.0, |(first, last)| (last - first).as_secs_f64());
    (bad.len(), seconds)
}
