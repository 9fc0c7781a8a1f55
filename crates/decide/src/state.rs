//! The state of a limiter. The decisions that read and change it are in `src/decide/`.
//!
//! Fields that end in `_at`, and times without a unit in their name, are in ms on the embedding program's clock.

use crate::api::*;
use crate::plan_change::PlanChange;
use crate::retry_age::FirstTryTimeout;
use std::collections::{BTreeMap, VecDeque};

/// Mean latency assumed for a class before its first response, as a fraction of its target latency.
pub(crate) const FIRST_GUESS: f64 = 0.2;

/// A moving average that follows its first samples quickly: the initial guess weighs as much as one sample.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Average {
    pub(crate) mean: f64,
    samples: f64,
}

impl Average {
    pub(crate) fn of(guess: f64) -> Average {
        Average { mean: guess, samples: 1.0 }
    }

    /// Adds a sample, which weighs at least `gain`.
    pub(crate) fn add(&mut self, sample: f64, gain: f64) {
        self.samples += 1.0;
        self.mean += gain.max(1.0 / self.samples) * (sample - self.mean);
    }
}

/// The decision module of one gateway: it receives events and returns actions for the gateway to carry out.
///
/// The density of a request is its value per ms of expected latency.
#[derive(Debug, Default)]
pub struct Limiter {
    pub(crate) settings: Settings,
    pub(crate) plan_change: PlanChange,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: f64,
    /// Actions of the current event, not yet handed to the caller.
    pub(crate) actions: Vec<Action>,
    /// By customer.
    pub(crate) accounts: BTreeMap<u64, Account>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests that have their quota and wait for a server, the highest density first.
    pub(crate) queue: Vec<RequestId>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Servers that are up, in this gateway's order of preference.
    pub(crate) candidates: Vec<ServerId>,
    /// By class: mean latency of a request of size 1, ms.
    pub(crate) latency: Vec<Average>,
    /// Mean size of the requests served.
    pub(crate) mean_size: Average,
    /// By class: the lowest value of its mean latency, ms. It stands for servers with little work.
    pub(crate) lowest_latency: Vec<f64>,
    /// By class: the timeout of first tries.
    pub(crate) first_try_timeouts: Vec<FirstTryTimeout>,
    /// By plan: the moving share of fetches that the quota covered.
    pub(crate) plan_trust: Vec<f64>,
    /// Probability that a request is covered by a fetch from the counter rather than by the local share.
    pub(crate) fetch_prob: f64,
    /// Number of servers without a connection.
    pub(crate) unreachable: f64,
    /// The counter's fastest reply, ms.
    pub(crate) fastest: f64,
    /// Quick replies of the counter in a row, and calls without a reply in a row.
    pub(crate) quick_replies: f64,
    pub(crate) missed: u32,
    /// The counter is taken for unresponsive.
    pub(crate) silent: bool,
    /// Further attempts that may be sent now.
    pub(crate) retry_budget: f64,
    /// Share of the fleet's work that this gateway can't see: 0 with a few gateways, near 1 with hundreds.
    pub(crate) others_share: f64,
    /// When the last attempt ended that counted for admission.
    pub(crate) answered_at: f64,
    /// Weighted number of quick responses in a row.
    pub(crate) quick_answers: f64,
    /// Probability that a request of mean density is admitted.
    pub(crate) admission: f64,
    pub(crate) mean_density: f64,
    /// Sends, decayed with time, and when that was last updated.
    pub(crate) sends: f64,
    pub(crate) sends_at: f64,
    /// The first event has been handled.
    pub(crate) started: bool,
    pub(crate) accounts_swept_at: f64,
}

impl Limiter {
    /// Mean latency of a request of mean size over all classes, ms.
    pub(crate) fn mean_latency(&self) -> f64 {
        let sum: f64 = self.latency.iter().map(|class| class.mean).sum();
        self.mean_size.mean * sum / self.latency.len().max(1) as f64
    }

    /// Expected latency of a request by its class and size, ms.
    pub(crate) fn expected(&self, request: &Request) -> f64 {
        self.latency[request.class].mean * request.size
    }
}

/// A counter call in flight. Its amount is the sum of four parts, in units.
#[derive(Debug, Default)]
pub(crate) struct CounterCall {
    pub(crate) window: i64,
    /// Requested for the lease.
    pub(crate) fetch: f64,
    /// Corrects the total.
    pub(crate) correction: f64,
    /// Spent before this call.
    pub(crate) unreported: f64,
    /// Stands for requests that were covered by the local share without a call of their own.
    pub(crate) sampled: f64,
    pub(crate) sent_at: f64,
    /// [`Limiter::fetch_prob`] when the call was sent.
    pub(crate) fetch_prob: f64,
}

impl CounterCall {
    /// What the call adds to the count.
    pub(crate) fn amount(&self) -> f64 {
        self.fetch + self.correction + self.unreported + self.sampled
    }
}

/// The lease on a customer's quota: units taken from the count of one window, for this gateway to spend.
///
/// The quota is a token bucket. The count of a window starts at 0 and grows by the units spent; a full bucket
/// corresponds to the total [`Lease::refilled`], an empty one to that plus the capacity.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    pub(crate) customer: u64,
    /// The plan has a hard ceiling: only units held are spent.
    pub(crate) has_ceiling: bool,
    pub(crate) plan: usize,
    /// Number of gateways that receive the customer's requests.
    pub(crate) gateways: f64,
    /// Which revision of the plan this lease follows: see [`Limiter::apply_plan_change`].
    pub(crate) plan_revision: u64,
    /// Under a ceiling: most units of this gateway's local share, its refill per ms, what is left of it, and when
    /// that was last updated.
    pub(crate) local_max: f64,
    pub(crate) local_rate: f64,
    pub(crate) local_left: f64,
    pub(crate) local_at: f64,
    /// Refill of the bucket, units per ms.
    pub(crate) rate: f64,
    pub(crate) capacity: f64,
    /// Length of a window and shift of its start, ms.
    pub(crate) window_ms: f64,
    pub(crate) window_shift: f64,
    /// Time in which an empty bucket fills, ms.
    pub(crate) burst_ms: f64,
    /// Number of the current window.
    pub(crate) window: i64,
    /// Units leased and not spent.
    pub(crate) held: f64,
    /// The count's total as last learned or estimated.
    pub(crate) known_total: Option<f64>,
    /// Sum of this gateway's acknowledged amounts in the window.
    pub(crate) own_total: f64,
    /// Units spent that the counter does not know of yet.
    pub(crate) unreported: f64,
    /// Least total that the count should show: carried over from the previous window, or from before it was lost.
    pub(crate) min_total: f64,
    /// Correction of the total that the next call carries.
    pub(crate) correction: f64,
    pub(crate) call: Option<CounterCall>,
    /// Calls of this window that timed out and may still be answered, in the order of sending.
    pub(crate) late_calls: VecDeque<CounterCall>,
    /// The last call failed: the requests that waited for it use the local share.
    pub(crate) call_failed: bool,
    /// Units spent lately, decayed with time.
    pub(crate) recent_use: f64,
    /// Moving share of this customer's fetches that the quota covered, and when the last one was answered.
    pub(crate) covered: f64,
    pub(crate) covered_at: f64,
    pub(crate) used_at: f64,
    /// The bucket was found empty: no fetch before this time.
    pub(crate) empty_until: f64,
}

impl Lease {
    /// Units refilled since the window began, which is the total of a full bucket. A lower total means the same.
    pub(crate) fn refilled(&self, now: f64) -> f64 {
        self.rate * (now + self.window_shift - self.window as f64 * self.window_ms)
    }

    /// Units left in the bucket, as far as this gateway knows.
    pub(crate) fn available(&self, now: f64) -> f64 {
        let refilled = self.refilled(now);
        refilled + self.capacity - self.known_total.unwrap_or(0.0).max(self.min_total).max(refilled)
    }

    /// Starts a new window if one is due. Units held end with the old one; what the customer had used of its bucket
    /// is carried over into the new count.
    pub(crate) fn roll_window(&mut self, now: f64) {
        let window = ((now + self.window_shift) / self.window_ms).floor() as i64;
        if window == self.window {
            return;
        }
        let used = self.known_total.unwrap_or(0.0) - self.held - self.rate * self.window_ms;
        let follows = window == self.window.saturating_add(1);
        self.min_total = if follows { used.max(0.0) } else { 0.0 };
        (self.window, self.correction) = (window, self.min_total);
        (self.held, self.known_total, self.own_total) = (0.0, None, 0.0);
        self.late_calls.clear();
    }
}

/// A customer's requests and lease at this gateway.
#[derive(Debug, Default)]
pub(crate) struct Account {
    pub(crate) gateways: f64,
    /// `None`: the plan has no quota.
    pub(crate) lease: Option<Lease>,
    /// Requests that wait for quota, in order of arrival.
    pub(crate) waiting: VecDeque<RequestId>,
    /// Concurrent attempts that the plan allows at all gateways together (0: any number).
    pub(crate) max_concurrent: f64,
    /// Attempts in flight from this gateway.
    pub(crate) in_flight: f64,
    /// When the last request arrived.
    pub(crate) last_seen: f64,
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
    /// Waits for quota, or for an attempt of the same customer to end.
    #[default]
    AwaitingQuota,
    /// Has its quota; waits for a server.
    Queued,
    InFlight,
    /// Has its final answer.
    Answered,
}

#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) customer: u64,
    pub(crate) units: f64,
    pub(crate) arrived: f64,
    /// When the client gives up.
    pub(crate) deadline: f64,
    /// When its target latency is over.
    pub(crate) target_at: f64,
    pub(crate) value: f64,
    /// Its work relative to other requests of the class, as far as its units indicate it.
    pub(crate) size: f64,
    /// Density relative to the mean; 0: marked as a client's retry.
    pub(crate) relative_density: f64,
    pub(crate) stage: Stage,
    pub(crate) streaming: bool,
    /// Its units have been taken from the lease, and in which window.
    pub(crate) charged: bool,
    pub(crate) charged_window: i64,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// Attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.open).count()
    }

    /// The first attempt that may have run.
    pub(crate) fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) up: bool,
    /// 0 for the nearest.
    pub(crate) distance: u8,
    /// Order among servers at the same distance.
    pub(crate) rank: f64,
    pub(crate) zone: String,
    pub(crate) cell: u64,
    pub(crate) weight: f64,
    /// Attempts in flight from this gateway, and their limit.
    pub(crate) in_flight: f64,
    pub(crate) limit: f64,
    /// Moving average of latency relative to the expected latency.
    pub(crate) slowness: f64,
    /// Number of samples in `slowness`, and when the last one was added.
    pub(crate) samples: u32,
    pub(crate) sampled_at: f64,
    /// Moving average of latency relative to the lowest mean latency of the class.
    pub(crate) congestion: f64,
    /// When it last responded.
    pub(crate) heard_at: f64,
    /// When the oldest attempt in flight was sent.
    pub(crate) oldest: f64,
    /// Sum over the attempts in flight of their waits since the server last responded, ms.
    pub(crate) total_wait: f64,
    /// Pause between tests while it is ejected (0: it is not), and when the next test is due, ms.
    pub(crate) ejection_ms: f64,
    pub(crate) ejected_until: f64,
    /// It is ejected because a connection failed.
    pub(crate) unreachable: bool,
    /// When its warm-up began.
    pub(crate) cold_since: f64,
    /// Sends allowed during its warm-up, and when that was last updated.
    pub(crate) tokens: f64,
    pub(crate) tokens_at: f64,
}

/// Whether the units held cover a request.
pub(crate) enum Quota {
    Covered,
    /// Decided by the counter's next reply.
    Pending,
    /// Not before this pause, ms.
    Denied(f64),
}

impl Server {
    /// A server without history.
    pub(crate) fn new(now: f64, limit: f64) -> Server {
        let server = Server { up: true, weight: 1.0, limit, slowness: 1.0, ..Server::default() };
        Server {
            heard_at: now,
            oldest: f64::INFINITY,
            cold_since: f64::NEG_INFINITY,
            tokens_at: now,
            ..server
        }
    }

    /// It is kept out of the choice but for tests.
    pub(crate) fn ejected(&self) -> bool {
        self.ejection_ms > 0.0
    }

    /// How long it has not responded while attempts were in flight, ms.
    pub(crate) fn silence(&self, now: f64) -> f64 {
        (now - self.heard_at.max(self.oldest)).max(0.0)
    }
}
