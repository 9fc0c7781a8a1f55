//! Which watch calls a gateway has under way, at whom, and when it makes another. No I/O: time and chance are arguments.
//!
//! Silence is no proof. A call that isn't answered in time is in doubt: others are made beside it on connections of their
//! own, at its host and at all others, and whichever is answered first counts. What is under way is only given up when
//! another call has brought an answer, or when it is of no use any more. So a link on which every answer takes longer than
//! the patience here costs further calls, but never the answer itself.

use crate::leader_lookup::LeaderLookup;
use std::collections::BTreeMap;

/// How long the leader may hold a call, ms: with the answer's way it bounds how old the knowledge of a gateway in
/// touch gets.
pub const HOLD_MS: u64 = 1_000;
/// A call that isn't answered so long after its hold is in doubt, ms; twice as long where it was made beside another one
/// in doubt at the same host: on a thin link each answer makes the others wait.
pub const OVERDUE_MS: f64 = 400.0;
/// A call is given up so long after its hold, ms. A new connection over a link on which packets wait for half a second
/// each way has its answer after 2 s.
pub const GIVE_UP_MS: f64 = 3_000.0;
/// How long a connection for a call may take to come up, ms: on a thin link with packets waiting, longer than other calls
/// have in all.
pub const CONNECT_TIMEOUT_MS: f64 = 2_000.0;
/// Most calls beside one another at one host: no more are made then.
const MAX_CALLS_PER_HOST: usize = 4;
/// Pause before a host that doesn't lead is asked once more, ms: first, and at most.
const RETRY_PAUSE_MS: (f64, f64) = (40.0, 200.0);
/// What a pause grows by.
const RETRY_PAUSE_GROWTH: f64 = 1.5;

/// A watch call.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Its number, by which its end is told.
    pub id: u64,
    /// Whom it asks.
    pub host: String,
    /// How long it may be held, ms; 0: it is to be answered at once.
    pub hold_ms: u64,
    sent: f64,
    /// It is in doubt from then on.
    doubt_at: f64,
}

impl Call {
    fn over_at(&self) -> f64 {
        self.sent + self.hold_ms as f64 + GIVE_UP_MS
    }

    fn sound(&self, now: f64) -> bool {
        now < self.doubt_at
    }
}

/// What is to be done with calls.
#[derive(Debug, Clone, PartialEq)]
pub enum CallAction {
    /// This one is to be made.
    Start(Call),
    /// This one is to be dropped, with its connection.
    Cancel(Call),
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The host leads, and its answer was taken.
    Answered,
    /// The host leads, and another call of it brought something newer before.
    Superseded,
    /// The host doesn't lead; who does, where it knows.
    NotLeader(Option<String>),
    /// No connection, a broken one, or an answer of no use.
    Failed,
}

/// When a host is asked again while the leader is sought.
#[derive(Debug, Clone, Copy)]
struct Pace {
    next_at: f64,
    pause: f64,
}

/// See the module.
#[derive(Debug)]
pub struct Watcher {
    seek: LeaderLookup,
    calls: Vec<Call>,
    hung_up: Vec<Call>,
    paces: BTreeMap<String, Pace>,
    /// Hosts that others pointed to, and that neither the seeds nor the last leader named.
    pointed: Vec<String>,
    /// The gateway has something to say, or doubts the leader.
    recall: bool,
    /// The leader knows more than this gateway: it is to be asked then, if the held call has brought nothing.
    behind_at: Option<f64>,
    /// Number of the newest call that was answered.
    heard: u64,
    next_id: u64,
    wake_at: f64,
}

impl Watcher {
    /// One that knows only the seeds' hosts. Calls are numbered from `first_id`.
    pub fn new(seeds: Vec<String>, first_id: u64) -> Watcher {
        Watcher {
            seek: LeaderLookup::new(seeds),
            calls: Vec::new(),
            hung_up: Vec::new(),
            paces: BTreeMap::new(),
            pointed: Vec::new(),
            recall: false,
            behind_at: None,
            heard: first_id,
            next_id: first_id,
            wake_at: f64::NEG_INFINITY,
        }
    }

    /// The leader, where one answered last. It may be in doubt.
    pub fn leader(&self) -> Option<&str> {
        self.seek.leader()
    }

    /// The settings name other seeds.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seek.set_seeds(seeds);
    }

    /// The leader told the core's machines.
    pub fn set_core_hosts(&mut self, hosts: &[String]) {
        self.seek.set_core_hosts(hosts);
    }

    /// Another call's answer shows that the leader knows more than this gateway. The held call's answer is mostly on its
    /// way then: the leader is asked beside it where nothing comes.
    pub fn newer_version_seen(&mut self, now: f64) {
        let at = *self.behind_at.get_or_insert(now + OVERDUE_MS);
        self.wake_at = self.wake_at.min(at);
    }

    /// The leader is to be asked at once, beside what it holds: there is something to say to it, or a doubt.
    pub fn query_leader_now(&mut self) {
        self.recall = true;
        self.wake_at = f64::NEG_INFINITY;
    }

    /// When [`Watcher::poll`] is due.
    pub fn next_wake(&self) -> f64 {
        self.wake_at
    }

    /// A call at the leader that was made after the last one it answered has taken too long; or nobody is known to lead.
    pub fn is_leader_overdue(&self, now: f64) -> bool {
        let Some(leader) = self.seek.leader() else { return true };
        self.at(leader).any(|call| call.id > self.heard && !call.sound(now))
    }

    fn at<'a>(&'a self, host: &'a str) -> impl Iterator<Item = &'a Call> {
        self.calls.iter().filter(move |call| call.host == host)
    }

    /// What is to be done now. `known_ms` is the age of the gateway's knowledge.
    pub fn poll(&mut self, now: f64, known_ms: f64) -> Vec<CallAction> {
        let (over, under_way) =
            std::mem::take(&mut self.calls).into_iter().partition(|call: &Call| now >= call.over_at());
        self.calls = under_way;
        self.hung_up.extend::<Vec<Call>>(over);
        self.recall |= self.behind_at.take_if(|at| *at <= now).is_some();
        let mut asked = Vec::new();
        match self.is_leader_overdue(now) {
            true => self.search(now, &mut asked),
            false => self.follow(now, known_ms, &mut asked),
        }
        self.wake_at = self.due(now);
        let hung_up = std::mem::take(&mut self.hung_up).into_iter().map(CallAction::Cancel);
        hung_up.chain(asked.into_iter().map(CallAction::Start)).collect()
    }

    /// Has a call held at the leader, and one beside it where something is to be said or asked at once.
    fn follow(&mut self, now: f64, known_ms: f64, asked: &mut Vec<Call>) {
        let Some(leader) = self.seek.leader().map(str::to_owned) else { return };
        let asks = |brief: bool| self.at(&leader).any(|call| call.sound(now) && (call.hold_ms == 0) == brief);
        let (held, brief) = (asks(false), asks(true));
        if self.at(&leader).count() >= MAX_CALLS_PER_HOST {
            return;
        }
        if self.recall && !brief {
            self.recall = false;
            asked.push(self.ask(now, &leader, 0));
        } else if !held && !brief {
            // One that has not answered lately is not asked to hold the call: it may be dark.
            let fresh = known_ms < HOLD_MS as f64 + OVERDUE_MS;
            asked.push(self.ask(now, &leader, if fresh { HOLD_MS } else { 0 }));
        }
    }

    /// Asks all machines of the core who leads, each for itself and again: one after the other, or in rounds, each dark
    /// one would cost its time.
    fn search(&mut self, now: f64, asked: &mut Vec<Call>) {
        for host in self.candidate_hosts() {
            let next_at = self.paces.get(&host).map_or(now, |pace| pace.next_at);
            let sound = self.at(&host).any(|call| call.sound(now) && call.hold_ms == 0);
            if now < next_at || sound || self.at(&host).count() >= MAX_CALLS_PER_HOST {
                continue;
            }
            // It says what there is to say.
            self.recall = false;
            asked.push(self.ask(now, &host, 0));
        }
    }

    /// All hosts where the leader may be found.
    pub fn candidate_hosts(&self) -> Vec<String> {
        let mut hosts = self.seek.candidate_hosts();
        let more = self.pointed.iter().filter(|host| !hosts.contains(host)).cloned().collect::<Vec<_>>();
        hosts.extend(more);
        hosts
    }

    fn ask(&mut self, now: f64, host: &str, hold_ms: u64) -> Call {
        self.next_id += 1;
        let beside = self.at(host).any(|call| !call.sound(now));
        let doubt_at = now + hold_ms as f64 + OVERDUE_MS * if beside { 2.0 } else { 1.0 };
        let call = Call { id: self.next_id, host: host.to_owned(), hold_ms, sent: now, doubt_at };
        self.calls.push(call.clone());
        call
    }

    /// When something is due after `now`.
    fn due(&self, now: f64) -> f64 {
        let doubts =
            self.calls.iter().map(|call| if call.sound(now) { call.doubt_at } else { call.over_at() });
        let paces = self.paces.values().map(|pace| pace.next_at).filter(|at| *at > now);
        // Nobody to ask: the list may be another one by then.
        doubts.chain(paces).chain(self.behind_at).fold(now + HOLD_MS as f64, f64::min)
    }

    /// A call has ended. `luck`, 0 to 1, is for pauses: gateways that lost a leader together don't ask in step.
    pub fn call_ended(&mut self, now: f64, id: u64, how: CallOutcome, luck: f64) {
        let Some(at) = self.calls.iter().position(|call| call.id == id) else { return };
        let call = self.calls.remove(at);
        self.wake_at = f64::NEG_INFINITY;
        match how {
            CallOutcome::Answered => self.answered(now, &call),
            CallOutcome::Superseded => self.heard = self.heard.max(call.id),
            CallOutcome::NotLeader(leader) => {
                self.not_there(now, &call, luck);
                self.pointed.extend(leader.filter(|host| !self.candidate_hosts().contains(host)));
            }
            CallOutcome::Failed => self.not_there(now, &call, luck),
        }
    }

    fn answered(&mut self, now: f64, call: &Call) {
        self.heard = self.heard.max(call.id);
        self.behind_at = None;
        self.seek.set_leader(&call.host);
        self.paces.clear();
        self.pointed.clear();
        // What was asked beside it has no use any more, but for a call that the leader may hold on.
        let held = |other: &Call| other.host == call.host && other.hold_ms > 0 && other.sound(now);
        let (kept, rest) = std::mem::take(&mut self.calls).into_iter().partition(held);
        self.calls = kept;
        self.hung_up.extend::<Vec<Call>>(rest);
    }

    fn not_there(&mut self, now: f64, call: &Call, luck: f64) {
        if self.seek.leader() == Some(call.host.as_str()) {
            self.seek.clear_leader();
        }
        let pace =
            self.paces.entry(call.host.clone()).or_insert(Pace { next_at: now, pause: RETRY_PAUSE_MS.0 });
        pace.next_at = now + pace.pause * (0.5 + luck);
        pace.pause = (pace.pause * RETRY_PAUSE_GROWTH).min(RETRY_PAUSE_MS.1);
    }
}
