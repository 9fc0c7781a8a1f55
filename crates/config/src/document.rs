//! The operators' document. Each section changes at run time as a whole; a section that is not there leaves
//! what the gateway was started with. The JSON Schema is made from these types, and the check goes by it.

use nickeljunction_core::facade::{Plan, Settings};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The form of the document that this program writes and reads.
pub const VERSION: u32 = 1;

/// The operators' document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Form of this document.
    #[schemars(range(min = 1, max = 1))]
    pub version: u32,
    /// Where this process is spoken to and what it keeps; the same from start to end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub daemon: Option<Daemon>,
    /// Routes, classes and units: an OpenAPI description, or a list by hand.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routes: Option<Routes>,
    /// The operators' script.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plugin: Option<Script>,
    /// Where the service table comes from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub roster: Option<Roster>,
    /// The quota counter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub counter: Option<Counter>,
    /// Figures of plans by name; must agree over all gateways that share a counter.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub plans: BTreeMap<String, PlanFigures>,
    /// Limits on attempts and advice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
    /// Time-outs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeouts: Option<Timeouts>,
    /// Trace files of what is seen and decided.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trace: Option<TraceFiles>,
    /// When a change on trial is taken back by itself.
    #[serde(default)]
    pub guard: GuardFigures,
}

/// Where this process is spoken to and what it keeps.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Path of the Unix socket for commands; made with mode 0600.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<String>,
    /// File of the history; without it the history is in memory and ends with the process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub history: Option<String>,
    /// File of accepted keys, one or two; with it, unsigned documents are refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keys: Option<String>,
    /// The view of the fleet, kept by messages between gateways; without it no socket for them is opened.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetView>,
}

/// Messages between gateways. Refused where the settings say that gateways may not tell one another.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetView {
    /// Address and port to listen on (UDP); else the configuration's `peer_listen`, else this gateway's own of `members`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listen: Option<String>,
    /// All gateways, this one among them; else those of the configuration's `peers`, by their place.
    #[schemars(length(max = 10000))]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<FleetMember>,
    /// Datagrams a second that a gateway takes in; else the settings' `Extra.MailPerS`, else 100.
    #[schemars(range(min = 10, max = 100000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mail_per_s: Option<f64>,
}

/// A gateway of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetMember {
    /// Its number among its siblings, from 0.
    #[schemars(range(min = 0, max = 65534))]
    pub number: u32,
    /// Its name.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub name: String,
    /// Where its datagrams come from and go to, address and port.
    pub address: String,
    /// Its zone.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
}

/// Routes: a description or a list by hand, not both.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Routes {
    /// File of an OpenAPI 3 description (JSON), beside the document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub description: Option<String>,
    /// Routes by hand.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routes: Option<Vec<HandRoute>>,
    /// Operations such as `GET /v1/exports` that must never run twice.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub r#unsafe: Vec<String>,
    /// What becomes of an endpoint that is not described.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub undescribed: Option<Undescribed>,
}

/// What becomes of an endpoint that is not described.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Undescribed {
    /// Goes on under the most cautious class and the highest guess.
    Pass,
    /// Answered with 404.
    Refuse,
}

/// A route written by hand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HandRoute {
    /// Method.
    pub method: Method,
    /// Path; a segment in braces stands for any text.
    #[schemars(regex(pattern = "^/"))]
    pub path: String,
    /// A class of the settings; the loosest that is strict enough where it is not told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// How often it may run; only a stricter word than the method's and the class's counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeats>,
    /// Guessed units.
    #[schemars(range(min = 0.001, max = 1000000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub units: Option<f64>,
    /// The request must bring an `Idempotency-Key`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub key_required: bool,
}

/// Methods that are passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[allow(missing_docs)]
pub enum Method {
    GET,
    PUT,
    POST,
    DELETE,
    OPTIONS,
    PATCH,
}

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Repeats {
    /// Any number of times.
    Safe,
    /// Again where its key is known.
    Keyed,
    /// Never twice.
    Never,
}

/// The operators' script.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// File of the script, beside the document.
    pub script: String,
}

/// Where the service table comes from: one of the two.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    /// Address and port of discovery's agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub discovery: Option<String>,
    /// Ephemeral nodes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ephemeral: Option<EphemeralNodes>,
    /// Fewest regions that a new source must tell before it is taken.
    #[schemars(range(min = 0, max = 100000))]
    #[serde(default = "one")]
    pub least_regions: u32,
}

fn one() -> u32 {
    1
}

/// Ephemeral children of a node in ZooKeeper's protocol.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EphemeralNodes {
    /// Servers of the ensemble, address and port each.
    #[schemars(length(min = 1, max = 64))]
    pub servers: Vec<String>,
    /// The parent node.
    #[schemars(regex(pattern = "^/"))]
    pub path: String,
    /// Session time-out, ms.
    #[schemars(range(min = 100, max = 600000))]
    #[serde(default = "ten_seconds")]
    pub session_ms: u32,
}

fn ten_seconds() -> u32 {
    10_000
}

/// The quota counter.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Address and port.
    pub address: String,
}

/// Figures of a plan; what is not told stays as the gateway was started with.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlanFigures {
    /// Units a second that refill each franchisee's store.
    #[schemars(range(min = 0.0001, max = 10000000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Units that the store holds at most.
    #[schemars(range(min = 0.0001, max = 10000000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<f64>,
    /// Units a second of the hard ceiling; 0: none.
    #[schemars(range(min = 0, max = 10000000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ceiling_rate: Option<f64>,
    /// Units that the ceiling's store holds at most.
    #[schemars(range(min = 0, max = 10000000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ceiling_burst: Option<f64>,
    /// Units by which the ceiling's store may go below nothing.
    #[schemars(range(min = 0, max = 10000000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ceiling_slack: Option<f64>,
    /// Attempts out at once; 0: any number.
    #[schemars(range(min = 0, max = 100000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_once: Option<f64>,
    /// Worth factor.
    #[schemars(range(min = 0.001, max = 1000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub price: Option<f64>,
    /// Share of its worth that a request beyond the quota costs.
    #[schemars(range(min = 0, max = 1000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub over_cost: Option<f64>,
}

/// Limits on attempts and advice.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Most attempts of one request.
    #[schemars(range(min = 1, max = 16))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    /// Longest advice to stay away, ms; 0: none is given.
    #[schemars(range(min = 0, max = 600000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_retry_after_ms: Option<f64>,
}

/// Trace files of what is seen and decided.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TraceFiles {
    /// Folder of the files, beside the document; made if it is not there.
    pub folder: String,
    /// A file is ended at this length, MiB.
    #[schemars(range(min = 1, max = 65536))]
    #[serde(default = "file_mb")]
    pub file_mb: f64,
    /// A file is ended at this age, minutes.
    #[schemars(range(min = 0.01, max = 100000))]
    #[serde(default = "file_minutes")]
    pub file_minutes: f64,
    /// The oldest files go when all together are longer than this, MiB.
    #[schemars(range(min = 1, max = 1048576))]
    #[serde(default = "total_mb")]
    pub total_mb: f64,
    /// Files go at this age, hours.
    #[schemars(range(min = 0.01, max = 100000))]
    #[serde(default = "keep_hours")]
    pub keep_hours: f64,
}

fn file_mb() -> f64 {
    64.0
}

fn file_minutes() -> f64 {
    60.0
}

fn total_mb() -> f64 {
    1024.0
}

fn keep_hours() -> f64 {
    168.0
}

/// Time-outs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Timeouts {
    /// How long a connection to a region may take to come up, ms.
    #[schemars(range(min = 1, max = 60000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connect_ms: Option<f64>,
    /// When regions close idle connections, ms; half of it is used.
    #[schemars(range(min = 10, max = 3600000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_close_ms: Option<f64>,
    /// A counter call without an answer by then counts as timed out, ms.
    #[schemars(range(min = 1, max = 10000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub counter_ms: Option<f64>,
    /// By class of the settings.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub classes: BTreeMap<String, ClassTimes>,
}

/// Times of a class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassTimes {
    /// Full worth is earned within this time, ms.
    #[schemars(range(min = 1, max = 600000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub aim_ms: Option<f64>,
    /// The client's whole wait, ms.
    #[schemars(range(min = 1, max = 600000))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub give_up_ms: Option<f64>,
}

/// When a change on trial is taken back by itself. See [`crate::guard`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct GuardFigures {
    /// Chance that a trial of a harmless change is taken back.
    #[schemars(range(min = 0.000000001, max = 0.1))]
    pub false_alarm: f64,
    /// Rise of a share that is put up with, as a part of all answers.
    #[schemars(range(min = 0, max = 0.9))]
    pub least_rise: f64,
    /// How far back answers count as those before the change, ms.
    #[schemars(range(min = 1000, max = 600000))]
    pub before_ms: f64,
    /// Answers that make one observation, at least.
    #[schemars(range(min = 1, max = 1000))]
    pub block: u32,
}

impl Default for GuardFigures {
    fn default() -> GuardFigures {
        GuardFigures { false_alarm: 0.001, least_rise: 0.05, before_ms: 60_000.0, block: 4 }
    }
}

/// The sections that change at run time, by their keys.
pub const SECTIONS: [&str; 9] =
    ["routes", "plugin", "roster", "counter", "plans", "limits", "timeouts", "trace", "guard"];

impl Document {
    /// What the gateway's settings become under this document. `base` is what it was started with.
    pub fn settings(&self, base: &Settings) -> Settings {
        let mut settings = base.clone();
        for (name, figures) in &self.plans {
            let at = settings.plans.iter().position(|plan| plan.name == *name).unwrap_or_else(|| {
                settings.plans.push(Plan { name: name.clone(), ..Plan::default() });
                settings.plans.len() - 1
            });
            let plan = &mut settings.plans[at];
            for (to, figure) in [
                (&mut plan.rate, figures.rate),
                (&mut plan.burst, figures.burst),
                (&mut plan.ceiling_rate, figures.ceiling_rate),
                (&mut plan.ceiling_burst, figures.ceiling_burst),
                (&mut plan.ceiling_slack, figures.ceiling_slack),
                (&mut plan.max_concurrent, figures.at_once),
                (&mut plan.worth_factor, figures.price),
                (&mut plan.excess_cost, figures.over_cost),
            ] {
                *to = figure.unwrap_or(*to);
            }
        }
        if let Some(limits) = &self.limits {
            settings.max_attempts = limits.max_attempts.map_or(settings.max_attempts, |most| most as usize);
            settings.max_retry_after_ms = limits.max_retry_after_ms.unwrap_or(settings.max_retry_after_ms);
        }
        if let Some(times) = &self.timeouts {
            settings.counter_timeout_ms = times.counter_ms.unwrap_or(settings.counter_timeout_ms);
            for class in &mut settings.classes {
                if let Some(own) = times.classes.get(&class.name) {
                    class.target_latency_ms = own.aim_ms.unwrap_or(class.target_latency_ms);
                    class.client_timeout_ms = own.give_up_ms.unwrap_or(class.client_timeout_ms);
                }
            }
        }
        settings
    }
}

/// The smaller of both figures, plan by plan: what a gateway spends by that can't know which of the two the
/// others spend by. A quota of nothing (0: none) is larger than any. A plan that only one knows has the one's.
pub fn smaller(one: &[Plan], other: &[Plan]) -> Vec<Plan> {
    let least = |a: f64, b: f64| if a > 0.0 && b > 0.0 { a.min(b) } else { a.max(b) };
    let join = |a: &Plan| match other.iter().find(|b| b.name == a.name) {
        None => a.clone(),
        Some(b) => {
            let ceiling_rate = least(a.ceiling_rate, b.ceiling_rate);
            Plan {
                rate: least(a.rate, b.rate),
                burst: least(a.burst, b.burst),
                max_concurrent: least(a.max_concurrent, b.max_concurrent),
                ceiling_rate,
                ceiling_burst: least(a.ceiling_burst, b.ceiling_burst),
                // Where only one of the two has a ceiling, its own slack goes with it.
                ceiling_slack: match (a.ceiling_rate > 0.0, b.ceiling_rate > 0.0) {
                    (true, true) => a.ceiling_slack.min(b.ceiling_slack),
                    (true, false) => a.ceiling_slack,
                    _ => b.ceiling_slack,
                },
                ..a.clone()
            }
        }
    };
    let mut plans: Vec<Plan> = one.iter().map(join).collect();
    plans.extend(other.iter().filter(|b| one.iter().all(|a| a.name != b.name)).cloned());
    plans
}

/// The JSON Schema of the document, as text with a line end.
pub fn schema() -> String {
    let schema = schemars::schema_for!(Document);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}
