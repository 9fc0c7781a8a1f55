//! Which watch calls a gateway has open at which core hosts, and when it makes another one. No I/O: the time and the
//! random jitter are arguments.
//!
//! A late answer doesn't prove that a host has failed. A call that isn't answered in time is overdue: further calls are
//! made on connections of their own, to the same host and to all others, and the first answer counts. An open call is
//! only cancelled when another call has been answered or when its own answer would be of no use any more. A link on
//! which every answer takes longer than the time-out here therefore causes further calls, but the answer still arrives.

use crate::leader_lookup::LeaderLookup;
use std::collections::BTreeMap;

/// How long the leader may hold a call, ms. Together with the answer's travel time it limits the age of a connected
/// gateway's configuration.
pub const HOLD_MS: u64 = 1_000;
/// A call that isn't answered this long after its hold is overdue, ms. The time is doubled for a call made while
/// another one to the same host is overdue, since answers delay each other on a link of low bandwidth.
pub const OVERDUE_MS: f64 = 400.0;
/// A call is given up this long after its hold, ms. A new connection over a link on which packets queue for half a
/// second each way has its answer after 2 s.
pub const GIVE_UP_MS: f64 = 3_000.0;
/// How long connecting for a watch call may take, ms: on a link of low bandwidth with queued packets it takes longer
/// than other calls may take in total.
pub const CONNECT_TIMEOUT_MS: f64 = 2_000.0;
/// Most calls open at one host at a time.
const MAX_CALLS_PER_HOST: usize = 4;
/// Pause before a host that doesn't lead is called again, ms: the first and the longest.
const RETRY_PAUSE_MS: (f64, f64) = (40.0, 200.0);
/// Factor from one pause to the next.
const RETRY_PAUSE_GROWTH: f64 = 1.5;

/// A watch call.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Identifies the call in [`Watcher::call_ended`].
    pub id: u64,
    /// The core host that is called.
    pub host: String,
    /// How long the host may hold the call, ms; 0: it answers at once.
    pub hold_ms: u64,
    sent_at: f64,
    /// When the call becomes overdue.
    overdue_at: f64,
}

impl Call {
    fn gives_up_at(&self) -> f64 {
        self.sent_at + self.hold_ms as f64 + GIVE_UP_MS
    }

    fn is_in_time(&self, now: f64) -> bool {
        now < self.overdue_at
    }
}

/// What the caller of [`Watcher::poll`] has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum CallAction {
    /// Make this call.
    Start(Call),
    /// Drop this call and its connection.
    Cancel(Call),
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The host leads, and its answer was applied.
    Answered,
    /// The host leads, but the answer to another call had already brought something newer.
    Superseded,
    /// The host doesn't lead; with the leader's host, if it named one.
    NotLeader(Option<String>),
    /// There was no connection, it broke, or the answer was unusable.
    Failed,
}

/// When a host is called again while the leader is unknown.
#[derive(Debug, Clone, Copy)]
struct RetryPause {
    next_at: f64,
    pause: f64,
}

/// The watch calls of one gateway.
#[derive(Debug)]
pub struct Watcher {
    lookup: LeaderLookup,
    open: Vec<Call>,
    /// Calls that the next [`Watcher::poll`] cancels.
    to_cancel: Vec<Call>,
    retry_pauses: BTreeMap<String, RetryPause>,
    /// Hosts that another host named as the leader, and that are neither seeds nor known members of the core.
    redirects: Vec<String>,
    /// A call to the leader that it answers at once is wanted.
    query_wanted: bool,
    /// The leader has a newer version than this gateway, and is called at this time unless the held call is answered.
    newer_version_due: Option<f64>,
    /// Id of the newest call that was answered.
    newest_answered: u64,
    newest_id: u64,
    wake_at: f64,
}

impl Watcher {
    /// A watcher that knows only the hosts from the settings. Call ids follow `first_id`.
    pub fn new(seeds: Vec<String>, first_id: u64) -> Watcher {
        Watcher {
            lookup: LeaderLookup::new(seeds),
            open: Vec::new(),
            to_cancel: Vec::new(),
            retry_pauses: BTreeMap::new(),
            redirects: Vec::new(),
            query_wanted: false,
            newer_version_due: None,
            newest_answered: first_id,
            newest_id: first_id,
            wake_at: f64::NEG_INFINITY,
        }
    }

    /// The host that last answered as the leader, even if a call to it is overdue; `None`: none is known.
    pub fn leader(&self) -> Option<&str> {
        self.lookup.leader()
    }

    /// Replaces the hosts from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.lookup.set_seeds(seeds);
    }

    /// Replaces the core's members by the leader's latest list.
    pub fn set_core_hosts(&mut self, hosts: &[String]) {
        self.lookup.set_core_hosts(hosts);
    }

    /// The answer to a call of another kind shows that the leader has a newer version. The answer to the held call is
    /// usually on its way then, so the leader is only called again if it doesn't arrive.
    pub fn newer_version_seen(&mut self, now: f64) {
        let due = *self.newer_version_due.get_or_insert(now + OVERDUE_MS);
        self.wake_at = self.wake_at.min(due);
    }

    /// Has the leader called at once, beside the call that it holds: there is something to report to it, or it may have
    /// failed.
    pub fn query_leader_now(&mut self) {
        self.query_wanted = true;
        self.wake_at = f64::NEG_INFINITY;
    }

    /// When [`Watcher::poll`] is due.
    pub fn next_wake(&self) -> f64 {
        self.wake_at
    }

    /// Whether a call to the leader, made after the last one that was answered, is overdue, or no leader is known.
    pub fn is_leader_overdue(&self, now: f64) -> bool {
        let Some(leader) = self.lookup.leader() else { return true };
        self.calls_to(leader).any(|call| call.id > self.newest_answered && !call.is_in_time(now))
    }

    fn calls_to<'a>(&'a self, host: &'a str) -> impl Iterator<Item = &'a Call> {
        self.open.iter().filter(move |call| call.host == host)
    }

    /// The calls to make and to cancel now. `knowledge_age_ms` is the time since the leader was last confirmed.
    pub fn poll(&mut self, now: f64, knowledge_age_ms: f64) -> Vec<CallAction> {
        let (given_up, open) =
            std::mem::take(&mut self.open).into_iter().partition(|call: &Call| now >= call.gives_up_at());
        self.open = open;
        self.to_cancel.extend::<Vec<Call>>(given_up);
        self.query_wanted |= self.newer_version_due.take_if(|due| *due <= now).is_some();
        let mut started = Vec::new();
        match self.is_leader_overdue(now) {
            true => self.call_candidates(now, &mut started),
            false => self.call_leader(now, knowledge_age_ms, &mut started),
        }
        self.wake_at = self.next_due(now);
        let cancelled = std::mem::take(&mut self.to_cancel).into_iter().map(CallAction::Cancel);
        cancelled.chain(started.into_iter().map(CallAction::Start)).collect()
    }

    /// Keeps one held call open at the leader, and adds one that is answered at once where it is wanted.
    fn call_leader(&mut self, now: f64, knowledge_age_ms: f64, started: &mut Vec<Call>) {
        let Some(leader) = self.lookup.leader().map(str::to_owned) else { return };
        let has_call = |immediate: bool| {
            self.calls_to(&leader).any(|call| call.is_in_time(now) && (call.hold_ms == 0) == immediate)
        };
        let (held, immediate) = (has_call(false), has_call(true));
        if self.calls_to(&leader).count() >= MAX_CALLS_PER_HOST {
            return;
        }
        if self.query_wanted && !immediate {
            self.query_wanted = false;
            started.push(self.start_call(now, &leader, 0));
        } else if !held && !immediate {
            // A leader that has not answered recently may be down: it is not asked to hold the call.
            let recent = knowledge_age_ms < HOLD_MS as f64 + OVERDUE_MS;
            started.push(self.start_call(now, &leader, if recent { HOLD_MS } else { 0 }));
        }
    }

    /// Calls all hosts that may lead, each independently of the others: in sequence or in rounds, each host that is
    /// down would cost its time-out.
    fn call_candidates(&mut self, now: f64, started: &mut Vec<Call>) {
        for host in self.candidate_hosts() {
            let next_at = self.retry_pauses.get(&host).map_or(now, |pause| pause.next_at);
            let pending = self.calls_to(&host).any(|call| call.is_in_time(now) && call.hold_ms == 0);
            if now < next_at || pending || self.calls_to(&host).count() >= MAX_CALLS_PER_HOST {
                continue;
            }
            // This call also carries the report for which a query was wanted.
            self.query_wanted = false;
            started.push(self.start_call(now, &host, 0));
        }
    }

    /// All hosts that may lead.
    pub fn candidate_hosts(&self) -> Vec<String> {
        let mut hosts = self.lookup.candidate_hosts();
        let redirects =
            self.redirects.iter().filter(|host| !hosts.contains(host)).cloned().collect::<Vec<_>>();
        hosts.extend(redirects);
        hosts
    }

    fn start_call(&mut self, now: f64, host: &str, hold_ms: u64) -> Call {
        self.newest_id += 1;
        let other_overdue = self.calls_to(host).any(|call| !call.is_in_time(now));
        let overdue_at = now + hold_ms as f64 + OVERDUE_MS * if other_overdue { 2.0 } else { 1.0 };
        let call = Call { id: self.newest_id, host: host.to_owned(), hold_ms, sent_at: now, overdue_at };
        self.open.push(call.clone());
        call
    }

    /// When something is due after `now`.
    fn next_due(&self, now: f64) -> f64 {
        let calls =
            self.open
                .iter()
                .map(|call| if call.is_in_time(now) { call.overdue_at } else { call.gives_up_at() });
        let retries = self.retry_pauses.values().map(|pause| pause.next_at).filter(|next_at| *next_at > now);
        // With no host to call, polls again after the hold time: the list of hosts may have changed by then.
        calls.chain(retries).chain(self.newer_version_due).fold(now + HOLD_MS as f64, f64::min)
    }

    /// Records how a call ended. `jitter`, 0 to 1, spreads the pauses, so that gateways that lost the same leader don't
    /// call in step.
    pub fn call_ended(&mut self, now: f64, id: u64, outcome: CallOutcome, jitter: f64) {
        let Some(index) = self.open.iter().position(|call| call.id == id) else { return };
        let call = self.open.remove(index);
        self.wake_at = f64::NEG_INFINITY;
        match outcome {
            CallOutcome::Answered => self.leader_answered(&call, now),
            CallOutcome::Superseded => self.newest_answered = self.newest_answered.max(call.id),
            CallOutcome::NotLeader(leader) => {
                self.retry_later(now, &call, jitter);
                self.redirects.extend(leader.filter(|host| !self.candidate_hosts().contains(host)));
            }
            CallOutcome::Failed => self.retry_later(now, &call, jitter),
        }
    }

    fn leader_answered(&mut self, call: &Call, now: f64) {
        self.newest_answered = self.newest_answered.max(call.id);
        self.newer_version_due = None;
        self.lookup.set_leader(&call.host);
        self.retry_pauses.clear();
        self.redirects.clear();
        // The other calls are of no use any more, except one that the leader still holds in time.
        let held = |other: &Call| other.host == call.host && other.hold_ms > 0 && other.is_in_time(now);
        let (kept, rest) = std::mem::take(&mut self.open).into_iter().partition(held);
        self.open = kept;
        self.to_cancel.extend::<Vec<Call>>(rest);
    }

    fn retry_later(&mut self, now: f64, call: &Call, jitter: f64) {
        if self.lookup.leader() == Some(call.host.as_str()) {
            self.lookup.clear_leader();
        }
        let first = RetryPause { next_at: now, pause: RETRY_PAUSE_MS.0 };
        let retry = self.retry_pauses.entry(call.host.clone()).or_insert(first);
        retry.next_at = now + retry.pause * (0.5 + jitter);
        retry.pause = (retry.pause * RETRY_PAUSE_GROWTH).min(RETRY_PAUSE_MS.1);
    }
}
