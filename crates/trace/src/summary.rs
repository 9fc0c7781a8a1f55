//! What a trace comes to: service by class and plan, attempts and regions, the counter, latencies. Adding the same
//! events in any cut and order of files gives the same figures, since all of them are counts.

use crate::event::{outcome_code, Ending, Event, TICKS_PER_MS};
use hdrhistogram::Histogram;
use nickeljunction_core::facade::{CounterReply, RequestKey};
use std::collections::BTreeMap;

/// Longest latency that is told apart, in hundredths of a millisecond: ten minutes.
const MOST: u64 = 60_000_000;

/// Requests of a class and plan.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Service {
    /// Taken in.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Without an answer in the trace: the client left, or the trace ends before.
    pub open: u64,
    /// Marked as clients' retries.
    pub retries: u64,
    /// Guessed units of what was sent on, in thousandths.
    pub milliunits: u64,
}

/// A region's attempts by how they ended, in the order of [`OUTCOMES`].
pub type Attempts = [u64; 9];

/// Names of the outcomes.
pub const OUTCOMES: [&str; 9] = [
    "served",
    "error",
    "turned away",
    "no connection",
    "reset",
    "spoilt",
    "timed out",
    "called off",
    "not sent",
];

#[derive(Debug, Clone)]
struct Life {
    class: u16,
    plan: u16,
    taken: i64,
    units: f64,
    sent: bool,
}

/// The figures.
#[derive(Debug, Clone)]
pub struct Summary {
    names: Vec<String>,
    service: BTreeMap<(u16, u16), Service>,
    /// Attempts by region.
    pub regions: BTreeMap<String, Attempts>,
    /// Counter calls made, and replies: totals, busy, no connection, timed out, of those answered late.
    pub calls: u64,
    /// See `calls`.
    pub replies: [u64; 5],
    /// Latency of served requests, hundredths of a millisecond.
    pub latency: Histogram<u64>,
    /// Processes that began, and changes of figures.
    pub boots: u64,
    /// See `boots`.
    pub tunings: u64,
    /// Events that the recorders dropped.
    pub dropped: u64,
    /// Time of the first and the last event, ticks.
    pub first: i64,
    /// See `first`.
    pub last: i64,
    /// Requests under way, by file and number.
    lives: BTreeMap<(u64, RequestKey), Life>,
}

impl Default for Summary {
    fn default() -> Summary {
        Summary {
            names: Vec::new(),
            service: BTreeMap::new(),
            regions: BTreeMap::new(),
            calls: 0,
            replies: [0; 5],
            latency: Histogram::new_with_max(MOST, 3).expect("bounds of a histogram"),
            boots: 0,
            tunings: 0,
            dropped: 0,
            first: i64::MAX,
            last: i64::MIN,
            lives: BTreeMap::new(),
        }
    }
}

impl Summary {
    fn name(&mut self, name: &str) -> u16 {
        let at = self.names.iter().position(|known| known == name).unwrap_or_else(|| {
            self.names.push(name.to_string());
            self.names.len() - 1
        });
        at.min(usize::from(u16::MAX)) as u16
    }

    /// Adds an event. `process`: a number for the process it is of, since requests are numbered by process.
    pub fn add(&mut self, process: u64, time: i64, event: &Event) {
        (self.first, self.last) = (self.first.min(time), self.last.max(time));
        match event {
            Event::Boot { .. } => self.boots += 1,
            Event::Tuned { .. } => self.tunings += 1,
            Event::Dropped { events, .. } => self.dropped += events,
            Event::Taken { request, intake, .. } => {
                let (class, plan) = (self.name(&intake.class), self.name(&intake.plan));
                let service = self.service.entry((class, plan)).or_default();
                service.taken += 1;
                service.open += 1;
                service.retries += u64::from(intake.retry);
                let life = Life { class, plan, taken: time, units: intake.units, sent: false };
                self.lives.insert((process, *request), life);
            }
            Event::Route(task) => {
                if let Some(life) = self.lives.get_mut(&(process, task.request)).filter(|life| !life.sent) {
                    life.sent = true;
                    let service = self.service.entry((life.class, life.plan)).or_default();
                    service.milliunits += (life.units * 1000.0).round() as u64;
                }
            }
            Event::Ended { region, outcome, .. } => {
                let at = usize::from(outcome_code(*outcome));
                self.regions.entry(region.clone()).or_default()[at] += 1;
            }
            Event::Count(..) => self.calls += 1,
            Event::Counted(_, reply) => {
                let at = match reply {
                    CounterReply::Total(_) => 0,
                    CounterReply::Busy => 1,
                    CounterReply::CouldNotConnect => 2,
                    CounterReply::TimedOut => 3,
                    CounterReply::Late(_) => 4,
                    CounterReply::Unresolved => return,
                };
                self.replies[at] += 1;
            }
            Event::Answered(request, ending) => {
                let Some(life) = self.lives.remove(&(process, *request)) else { return };
                let service = self.service.entry((life.class, life.plan)).or_default();
                service.open -= 1;
                match ending {
                    Ending::Served(_) => {
                        service.served += 1;
                        let took = (time - life.taken) as f64 / TICKS_PER_MS * 100.0;
                        self.latency.saturating_record(took.max(1.0) as u64);
                    }
                    Ending::ShortOnCapacity(_) => service.refused += 1,
                    Ending::Failed => service.failed += 1,
                }
            }
            _ => {}
        }
    }

    /// Service by the names of class and plan.
    pub fn service(&self) -> impl Iterator<Item = (&str, &str, &Service)> {
        let name = |at: u16| self.names.get(usize::from(at)).map_or("?", String::as_str);
        self.service.iter().map(move |((class, plan), service)| (name(*class), name(*plan), service))
    }

    /// Latency of served requests at this part of them, 0 to 1, ms.
    pub fn latency_ms(&self, part: f64) -> f64 {
        self.latency.value_at_quantile(part) as f64 / 100.0
    }
}
