//! What came of a run, and its summary for people.

use super::timeline::{Step, Timeline};
use crate::checks::Broken;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A look at a gateway's view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Look {
    /// When, ms.
    pub at: f64,
    /// Whose.
    pub gateway: usize,
    /// Its digest.
    pub digest: String,
    /// How many live, as it has it.
    pub least: u64,
    /// Most likely.
    pub likely: u64,
    /// At most.
    pub most: u64,
    /// Its part of the whole.
    pub part: f64,
    /// Members it holds to be gone.
    pub gone: u64,
    /// Datagrams sent and received since its start.
    pub sent: u64,
    /// See `sent`.
    pub received: u64,
    /// Members wrongly held to be gone so far.
    pub wrongly_gone: u64,
    /// It yields its number to another process.
    pub yielded: bool,
}

/// What came of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The timeline.
    pub timeline: Timeline,
    /// Broken rules.
    pub broken: Vec<Broken>,
    /// Requests, and those served, refused, failed, and without an answer.
    pub requests: usize,
    /// See `requests`.
    pub served: usize,
    /// See `requests`.
    pub refused: usize,
    /// See `requests`.
    pub failed: usize,
    /// See `requests`; of gateways that were down or hung, or the rule is broken.
    pub unanswered: usize,
    /// Time from the end of the last fault until all views agreed, ms; `None`: they did not.
    pub settled_ms: Option<f64>,
    /// Most that parts added up to.
    pub most_parts: f64,
    /// Datagrams that a gateway sent a second, on average and at most of any.
    pub sent_per_s: (f64, f64),
    /// Processor time of gateways, s, by number.
    pub cpu_s: Vec<f64>,
    /// Their memory at the end, MiB.
    pub memory_mb: Vec<f64>,
    /// Looks at the views.
    pub looks: Vec<Look>,
    /// Requests by second: served, and others.
    pub by_second: Vec<(usize, usize)>,
    /// Times at which things were done, ms, as they were done.
    pub done: Vec<Step>,
}

impl Report {
    /// When each gateway's looks first told no more than `living` after `from`, ms since then, in order of time; looks
    /// come each quarter of a second.
    pub fn noticed(&self, from: f64, until: f64, living: u64) -> Vec<f64> {
        let mut times: Vec<f64> = (0..self.timeline.gateways)
            .filter_map(|gateway| {
                let own = self.looks.iter().filter(|look| look.gateway == gateway);
                let mut after = own.filter(|look| look.at >= from && look.at < until);
                after.find(|look| look.likely <= living).map(|look| look.at - from)
            })
            .collect();
        times.sort_by(f64::total_cmp);
        times
    }

    /// The rules held and the views came to agree.
    pub fn fine(&self) -> bool {
        self.broken.is_empty() && (self.settled_ms.is_some() || !self.timeline.view)
    }

    /// A summary for people.
    pub fn summary(&self) -> String {
        use std::fmt::Write;
        let mut text = String::new();
        let part = |count: usize| 100.0 * count as f64 / self.requests.max(1) as f64;
        let _ = writeln!(
            text,
            "{} gateways, {} servers, {:.0} s, seed {}: {} acts",
            self.timeline.gateways,
            self.timeline.regions,
            self.timeline.length_ms as f64 / 1_000.0,
            self.timeline.seed,
            self.done.len()
        );
        let _ = writeln!(
            text,
            "requests   {}: served {:.1}%, refused {:.1}%, failed {:.1}%, lost with their gateway {:.1}%",
            self.requests,
            part(self.served),
            part(self.refused),
            part(self.failed),
            part(self.unanswered)
        );
        if self.timeline.view {
            let settled = self.settled_ms.map_or("NOT settled".into(), |ms| format!("settled {ms:.0} ms"));
            let _ = writeln!(
                text,
                "views      {settled} after the last fault; parts up to {:.3}",
                self.most_parts
            );
            let (mean, most) = self.sent_per_s;
            let _ = writeln!(text, "messages   {mean:.1} a second for each gateway, {most:.1} at most");
        }
        let mut broken: BTreeMap<&str, usize> = BTreeMap::new();
        self.broken.iter().for_each(|broken_rule| *broken.entry(&broken_rule.rule).or_default() += 1);
        match broken.is_empty() {
            true => text.push_str("rules      none broken\n"),
            false => broken.iter().for_each(|(rule, count)| {
                let _ = writeln!(text, "BROKEN     {rule}, {count} times");
            }),
        }
        self.broken.iter().take(8).for_each(|broken| {
            let _ = writeln!(text, "  {:>8.0} ms  {}: {}", broken.at, broken.rule, broken.what);
        });
        text
    }
}
