//! What a run measured, as a table or as JSON.

use crate::gateway::Adds;
use crate::procfs::Spent;
use crate::spread::Delays;
use crate::traffic::{Kind, Traffic, KINDS};
use serde_json::{json, Value};
use std::fmt::Write;

/// A process of the run.
#[derive(Debug, Clone)]
pub struct Process {
    /// Its machine's name.
    pub name: String,
    /// It led the core when the measurement ended.
    pub leads: bool,
    /// What it spent.
    pub spent: Spent,
}

/// All of it.
#[derive(Debug, Clone)]
pub struct Report {
    /// What was asked for, as the command line would have it.
    pub asked: String,
    /// Seconds that were measured.
    pub seconds: f64,
    /// Bytes of the document.
    pub document: usize,
    /// Hollow gateways, and how many had a configuration at the end.
    pub gateways: (usize, usize),
    /// Hollow servers, and how many the least informed gateway knew at the end.
    pub servers: (usize, usize),
    /// From the document's acknowledgement to the last gateway's first configuration, ms; `None`: not all had it.
    pub first_ms: Option<f64>,
    /// Real processes, and this one.
    pub processes: Vec<Process>,
    /// Calls of gateways before that, from their start on.
    pub start: Traffic,
    /// Calls in the time that was measured.
    pub traffic: Traffic,
    /// Counted adds in that time.
    pub adds: Adds,
    /// Changes.
    pub delays: Delays,
}

impl Report {
    /// As a table.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = self.write(&mut text);
        text
    }

    fn write(&self, text: &mut String) -> std::fmt::Result {
        let per_s = |count: u64| count as f64 / self.seconds;
        writeln!(text, "{}", self.asked)?;
        writeln!(
            text,
            "measured {:.1} s; document {} bytes; gateways with a configuration {} of {}; servers known {} of {}",
            self.seconds, self.document, self.gateways.1, self.gateways.0, self.servers.1, self.servers.0
        )?;
        writeln!(text, "last gateway's first configuration after {} ms", shown(self.first_ms))?;
        let (watch, units) = (self.start.of(Kind::Watch), self.start.of(Kind::Units));
        writeln!(
            text,
            "until then     in {:.2} MB, out {:.2} MB; calls that are not 2xx {}",
            (watch.sent + units.sent) as f64 / 1e6,
            (watch.received + units.received) as f64 / 1e6,
            watch.failed + units.failed
        )?;
        writeln!(
            text,
            "{:<14} {:>8} {:>10} {:>10} {:>10}",
            "process", "core %", "wakes/s", "MiB", "peak MiB"
        )?;
        for Process { name, leads, spent } in &self.processes {
            let name = if *leads { format!("{name} *") } else { name.clone() };
            writeln!(
                text,
                "{name:<14} {:>8.2} {:>10.1} {:>10.1} {:>10.1}",
                spent.core * 100.0,
                spent.wakes_per_s,
                spent.resident_mib,
                spent.peak_mib
            )?;
        }
        writeln!(
            text,
            "{:<14} {:>8} {:>10} {:>10} {:>10}",
            "calls", "per s", "not 2xx/s", "in B/s", "out B/s"
        )?;
        for kind in KINDS {
            let weight = self.traffic.of(kind);
            writeln!(
                text,
                "{:<14} {:>8.1} {:>10.2} {:>10.0} {:>10.0}",
                kind.name(),
                per_s(weight.calls),
                per_s(weight.failed),
                per_s(weight.sent),
                per_s(weight.received)
            )?;
        }
        let a_gateway = |bytes: u64| per_s(bytes) / self.gateways.0.max(1) as f64;
        let (watch, units) = (self.traffic.of(Kind::Watch), self.traffic.of(Kind::Units));
        writeln!(
            text,
            "a gateway      in {:.0} B/s, out {:.0} B/s, calls {:.2}/s",
            a_gateway(watch.received + units.received),
            a_gateway(watch.sent + units.sent),
            a_gateway(watch.calls + units.calls)
        )?;
        writeln!(
            text,
            "counted adds   spent {:.1}/s, refused {:.1}/s, waited {:.1}/s",
            per_s(self.adds.spent),
            per_s(self.adds.refused),
            per_s(self.adds.waited)
        )?;
        let Delays { changes, everywhere, median, last_median, last_most } = self.delays;
        writeln!(
            text,
            "changes        {changes}, everywhere {everywhere}; to a gateway: median {} ms; to the last: median {} ms, \
             most {} ms",
            shown(median),
            shown(last_median),
            shown(last_most)
        )
    }

    /// As JSON.
    pub fn json(&self) -> Value {
        let process = |process: &Process| {
            let Spent { core, wakes_per_s, resident_mib, peak_mib } = process.spent;
            json!({"name": process.name, "leads": process.leads, "core": core, "wakes_per_s": wakes_per_s,
                "resident_mib": resident_mib, "peak_mib": peak_mib})
        };
        let calls: serde_json::Map<String, Value> = KINDS
            .iter()
            .map(|kind| {
                let weight = self.traffic.of(*kind);
                let told = json!({"calls": weight.calls, "failed": weight.failed, "sent": weight.sent,
                    "received": weight.received});
                (kind.name().to_string(), told)
            })
            .collect();
        json!({
            "asked": self.asked, "seconds": self.seconds, "document": self.document,
            "gateways": self.gateways.0, "gateways_configured": self.gateways.1,
            "servers": self.servers.0, "servers_known": self.servers.1, "first_ms": self.first_ms,
            "start_received": self.start.of(Kind::Watch).received + self.start.of(Kind::Units).received,
            "processes": self.processes.iter().map(process).collect::<Vec<_>>(), "calls": calls,
            "adds": {"spent": self.adds.spent, "refused": self.adds.refused, "waited": self.adds.waited},
            "changes": {"count": self.delays.changes, "everywhere": self.delays.everywhere,
                "median_ms": self.delays.median, "last_median_ms": self.delays.last_median,
                "last_most_ms": self.delays.last_most},
        })
    }
}

fn shown(figure: Option<f64>) -> String {
    figure.map_or("-".into(), |figure| format!("{figure:.0}"))
}
