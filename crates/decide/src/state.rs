//! What a limiter remembers: plain state without decisions, which are in `src/decide/`.

use crate::api::*;
use std::collections::{BTreeMap, VecDeque};

/// Mean latency assumed for a class before the first answer, as a part of its aim.
pub(crate) const FIRST_GUESS: f64 = 0.2;

/// An average that follows its first samples quickly: each counts for as much as the guess it began with.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Average {
    pub(crate) mean: f64,
    seen: f64,
}

impl Average {
    pub(crate) fn of(guess: f64) -> Average {
        Average { mean: guess, seen: 1.0 }
    }

    /// Takes a sample; `gain` is its least weight.
    pub(crate) fn add(&mut self, sample: f64, gain: f64) {
        self.seen += 1.0;
        self.mean += gain.max(1.0 / self.seen) * (sample - self.mean);
    }
}

/// One limiter: tell it events, carry out its actions.
#[derive(Debug, Default)]
pub struct Limiter {
    pub(crate) settings: Settings,
    pub(crate) figures: crate::plan_change::Figures,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: f64,
    pub(crate) out: Vec<Action>,
    pub(crate) accounts: BTreeMap<u64, Account>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) line: Vec<RequestId>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Those that run, in the order of this gateway's choice.
    pub(crate) ring: Vec<ServerId>,
    /// Mean latency by class for each part of a request's size, ms, and the mean size.
    pub(crate) latency: Vec<Average>,
    pub(crate) size: Average,
    /// The lowest that the mean latency of each class has been, ms: servers that hold little.
    pub(crate) calm: Vec<f64>,
    pub(crate) usual: Vec<crate::retry_age::Usual>,
    /// Part of the fetches that fitted lately, by plan.
    pub(crate) trust: Vec<f64>,
    /// Odds that a fetch is made rather than its request served on trust.
    pub(crate) odds: f64,
    /// Servers to which no connection came about.
    pub(crate) lost: f64,
    /// The counter's quickest answer, ms.
    pub(crate) brisk: f64,
    pub(crate) quick: f64,
    pub(crate) misses: u32,
    pub(crate) silent: bool,
    pub(crate) retries: f64,
    /// Part of the fleet's work that the other gateways send, as far as it matters here.
    pub(crate) unseen: f64,
    pub(crate) answered_at: f64,
    pub(crate) eased: f64,
    /// Odds that a request of mean worth for its time is taken in, and that mean.
    pub(crate) admit: f64,
    pub(crate) worth: f64,
    pub(crate) sends: f64,
    pub(crate) sends_at: f64,
    pub(crate) swept: bool,
    pub(crate) accounts_at: f64,
}

impl Limiter {
    /// Mean latency over the classes, ms.
    pub(crate) fn mean_latency(&self) -> f64 {
        let sum: f64 = self.latency.iter().map(|class| class.mean).sum();
        self.size.mean * sum / self.latency.len().max(1) as f64
    }

    /// Usual latency of such a request, ms.
    pub(crate) fn usual(&self, request: &Request) -> f64 {
        self.latency[request.class].mean * request.size
    }
}

/// A counter call under way: units asked for, correction of the books, units spent before it was made.
#[derive(Debug, Default)]
pub(crate) struct Flight {
    pub(crate) window: i64,
    pub(crate) take: f64,
    pub(crate) fix: f64,
    pub(crate) owed: f64,
    /// Units that stand for requests served on trust elsewhere.
    pub(crate) unseen: f64,
    pub(crate) asked: f64,
    /// Odds of a fetch when it was made.
    pub(crate) odds: f64,
}

impl Flight {
    /// What the call adds to the name.
    pub(crate) fn amount(&self) -> f64 {
        self.take + self.fix + self.owed + self.unseen
    }
}

/// The lease of one count name.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// The plan has a hard ceiling: spent from holdings alone.
    pub(crate) strict: bool,
    /// Which plan, and how many limiters the customer comes in through.
    pub(crate) plan: usize,
    pub(crate) doors: f64,
    /// Which of the plan's figures it was made of, by their stamp.
    pub(crate) fitted: u64,
    /// Under a ceiling: units that this door may spend on trust at most, their refill a ms, and what it has.
    pub(crate) spare: f64,
    pub(crate) spare_rate: f64,
    pub(crate) trusted: f64,
    pub(crate) trusted_at: f64,
    /// Units a ms that the allowance grows by within a window.
    pub(crate) rate: f64,
    pub(crate) cap: f64,
    /// Length of the window and shift of its start, ms.
    pub(crate) length: f64,
    pub(crate) phase: f64,
    /// Length of the burst, ms: the scale of use and of give-back.
    pub(crate) span: f64,
    pub(crate) window: i64,
    pub(crate) held: f64,
    pub(crate) told: Option<f64>,
    /// Acknowledged net adds of this limiter under the name.
    pub(crate) own: f64,
    /// Units let in that the counter does not know yet.
    pub(crate) owed: f64,
    /// Total that the name should at least show: carried over from the window before, or from before a flush.
    pub(crate) target: f64,
    /// Correction of the books that goes with the next call.
    pub(crate) fix: f64,
    pub(crate) flight: Option<Flight>,
    /// Calls of this window that timed out and may be answered yet, in their order.
    pub(crate) late: VecDeque<Flight>,
    /// The last call brought no answer: those who waited for it get the local share.
    pub(crate) unanswered: bool,
    pub(crate) recent: f64,
    /// Part of this customer's fetches that fitted here lately, and when the last one was answered.
    pub(crate) fits: f64,
    pub(crate) judged_at: f64,
    pub(crate) used_at: f64,
    /// Found empty: not asked for until then, ms.
    pub(crate) shut: f64,
}

impl Pool {
    /// Units that a full store would have let go by now: below this the total says nothing.
    pub(crate) fn floor(&self, now: f64) -> f64 {
        self.rate * (now + self.phase - self.window as f64 * self.length)
    }

    /// Units left in the store, as far as is known.
    pub(crate) fn room(&self, now: f64) -> f64 {
        let floor = self.floor(now);
        floor + self.cap - self.told.unwrap_or(0.0).max(self.target).max(floor)
    }

    /// A batch ends with its window; what the customer had used of its store is carried into the next name.
    pub(crate) fn roll(&mut self, now: f64) {
        let window = ((now + self.phase) / self.length).floor() as i64;
        if window == self.window {
            return;
        }
        let used = self.told.unwrap_or(0.0) - self.held - self.rate * self.length;
        let next = window == self.window.saturating_add(1);
        self.target = if next { used.max(0.0) } else { 0.0 };
        (self.window, self.fix) = (window, self.target);
        (self.held, self.told, self.own) = (0.0, None, 0.0);
        self.late.clear();
    }
}

#[derive(Debug, Default)]
pub(crate) struct Account {
    pub(crate) doors: f64,
    pub(crate) pool: Option<Pool>,
    pub(crate) waiters: VecDeque<RequestId>,
    /// Attempts out at once that the plan allows (0: any), and those of this limiter.
    pub(crate) at_once: f64,
    pub(crate) open: f64,
    pub(crate) seen: f64,
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: f64,
    pub(crate) open: bool,
    pub(crate) may_have_run: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) enum Stage {
    /// Waits for units, or for an attempt of its customer to end.
    #[default]
    Units,
    /// Paid for; waits for a server.
    Line,
    Out,
    Ended,
}

#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) customer: u64,
    pub(crate) units: f64,
    pub(crate) arrived: f64,
    pub(crate) due: f64,
    pub(crate) aim_at: f64,
    pub(crate) value: f64,
    /// Work against other requests of its class, as far as its units tell it.
    pub(crate) size: f64,
    /// Worth for its time against the mean; 0: a client's repeat, where clients mark it.
    pub(crate) stake: f64,
    pub(crate) stage: Stage,
    pub(crate) streaming: bool,
    /// Has drawn its units, and the window that it was charged to.
    pub(crate) paid: bool,
    pub(crate) charged: i64,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    pub(crate) fn open(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.open).count()
    }

    pub(crate) fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) up: bool,
    /// How near it is: 0 for the nearest.
    pub(crate) near: u8,
    /// Its place among equally near ones.
    pub(crate) order: f64,
    pub(crate) zone: String,
    pub(crate) cell: u64,
    pub(crate) weight: f64,
    pub(crate) out: f64,
    pub(crate) limit: f64,
    /// Latency in mean latencies of the classes served.
    pub(crate) slowness: f64,
    pub(crate) samples: u32,
    /// Latency as a part of the aim.
    pub(crate) lateness: f64,
    /// When its latency was last averaged.
    pub(crate) judged: f64,
    pub(crate) heard: f64,
    /// When the oldest attempt that is out was sent.
    pub(crate) oldest: f64,
    /// Sum of the waits of what is out, each counted since the server was last heard, ms.
    pub(crate) waits: f64,
    /// Pause between tests while it is set aside (0: it is not), and when the next test may go, ms.
    pub(crate) aside: f64,
    pub(crate) until: f64,
    /// It is set aside because no connection to it came about.
    pub(crate) cut: bool,
    /// Start of its warming up.
    pub(crate) cold_since: f64,
    pub(crate) tokens: f64,
    pub(crate) tokens_at: f64,
}

/// Whether a pool covers a request now, may after a call, or won't before a pause.
pub(crate) enum Cover {
    Held,
    Wait,
    None(f64),
}

impl Server {
    /// A server that nothing is known of, with its first bound on attempts out.
    pub(crate) fn new(now: f64, limit: f64) -> Server {
        let server = Server { up: true, weight: 1.0, limit, slowness: 1.0, ..Server::default() };
        Server { heard: now, oldest: f64::INFINITY, cold_since: f64::NEG_INFINITY, tokens_at: now, ..server }
    }

    /// How long nothing has come back while work was out.
    pub(crate) fn silence(&self, now: f64) -> f64 {
        (now - self.heard.max(self.oldest)).max(0.0)
    }
}
