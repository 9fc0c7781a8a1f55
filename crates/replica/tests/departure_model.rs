//! All ways, up to a depth, in which one server's departure can meet crashes, cuts, wakes and changes of leader.
//!
//! The true [`DepartureLog`], [`Departures`] and [`Register`] run; the agreement below them is taken as what its own model
//! shows: one order of entries, and a leader that has applied all of it before it tells anyone anything. Copies from which a
//! successor starts are as old as they like. Each guard is taken out in turn, and the fault that it keeps away is found.

use nickeljunction_messages::ServerState;
use nickeljunction_registry::{Heartbeat, Register, Tuning, WatchCache};
use nickeljunction_replica::departures::{Departure, DepartureLog, Departures};
use nickeljunction_replica::state::Entry;
use std::collections::BTreeMap;

const ID: &str = "i-1";
/// Acts of one history; `DEPARTURE_MODEL_DEPTH` sets another number.
const DEPTH: usize = 6;
/// Longer than an ended life is remembered, ms.
const LONG_MS: u64 = 61_000;

/// What can happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Act {
    /// The server says to the leader of now that it drains.
    Drain,
    /// The server says to the leader of now that it has ended.
    End,
    /// A beat of before its departure arrives at last.
    LateBeat,
    /// The entry under way is committed.
    Commit,
    /// The leader hears that its entry is not known to be taken, though a majority may have it.
    TimeOut,
    /// The leader is cut off, freezes or crashes: another one starts from the oldest copy, with the entry under way cut off.
    SucceedWithout,
    /// The same; the successor finds the entry under way on its log.
    SucceedWith,
    /// A minute goes by; then as [`Act::SucceedWithout`].
    Minute,
}

const ACTS: [Act; 8] = [
    Act::Drain,
    Act::End,
    Act::LateBeat,
    Act::Commit,
    Act::TimeOut,
    Act::SucceedWithout,
    Act::SucceedWith,
    Act::Minute,
];

/// What is taken out to see that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Guard {
    /// A departure is acknowledged when it is logged only.
    AcknowledgeLogged,
    /// A successor applies what the log says to its register.
    ApplyOnTakeover,
    /// An entry that is not known to be taken is put on the log again.
    ProposeAgain,
}

fn beat(state: ServerState, call_seq: u64) -> Heartbeat {
    Heartbeat {
        address: "10.2.0.1:80".into(),
        backend: "b".into(),
        version: "v1".into(),
        zone: "z1".into(),
        slots: 2,
        state,
        call_seq,
        warmup_left_ms: 0,
    }
}

fn tuning() -> Tuning {
    Tuning::new(1_500, BTreeMap::from([("z1".into(), "r1".into())]))
}

/// The copy that every leader starts from: the server serves.
fn old_copy() -> WatchCache {
    let mut register = Register::new(0, tuning(), 1, None);
    register.record_heartbeat(0, ID, &beat(ServerState::InService, 1));
    (0..100).for_each(|step| drop(register.tick(step * 100)));
    register.record_heartbeat(9_900, ID, &beat(ServerState::InService, 2));
    let mut copy = WatchCache::new();
    let call = copy.watch_call(nickeljunction_messages::Caller::Core, "core-2", 1, None, 0);
    let answer = register.answer(10_000, &call, 0).expect("all of it");
    copy.apply(answer).expect("the first");
    assert!(copy.is_complete() && copy.catalog().servers.contains_key(ID));
    copy
}

struct Model {
    out: Option<Guard>,
    copy: WatchCache,
    now: u64,
    term: u64,
    register: Register,
    log: DepartureLog,
    state: Departures,
    under_way: Option<Entry>,
    /// The leader was told that its entry is not known to be taken, and it may still be committed.
    open: Option<Entry>,
    call_seq: u64,
    /// Numbers of departures that wait for their acknowledgement, in this term.
    waiting: Vec<u64>,
    /// It may have been acknowledged, since when.
    acknowledged: Option<u64>,
}

impl Model {
    fn new(copy: &WatchCache, out: Option<Guard>) -> Model {
        let now = 20_000;
        Model {
            out,
            copy: copy.clone(),
            now,
            term: 2,
            register: Register::new(now, tuning(), 2, Some(copy.clone())),
            log: DepartureLog::default(),
            state: Departures::default(),
            under_way: None,
            open: None,
            call_seq: 2,
            waiting: Vec::new(),
            acknowledged: None,
        }
    }

    fn has(&self, guard: Guard) -> bool {
        self.out != Some(guard)
    }

    fn say(&mut self, departure: Departure) {
        let number = self.log.record(ID, departure, &self.state);
        self.waiting.push(number);
        self.propose();
    }

    fn propose(&mut self) {
        if self.under_way.is_none() {
            self.under_way = self.log.next_entry();
        }
        let logged = |number: &u64| self.log.is_logged(*number) || !self.has(Guard::AcknowledgeLogged);
        if self.waiting.iter().any(logged) {
            self.acknowledged.get_or_insert(self.now);
        }
    }

    fn apply(&mut self, entry: Entry) {
        if let Entry::Departures { draining, ended, forgotten } = entry {
            self.state.apply(draining, ended, &forgotten);
        }
    }

    fn succeed(&mut self) {
        self.term += 1;
        self.register = Register::new(self.now, tuning(), self.term, Some(self.copy.clone()));
        if self.has(Guard::ApplyOnTakeover) {
            self.register.apply_departures(self.now, self.state.draining(), self.state.ended());
        }
        self.log = DepartureLog::default();
        self.waiting.clear();
    }

    fn act(&mut self, act: Act) {
        self.now += 100;
        match act {
            Act::Drain => {
                self.call_seq += 1;
                let beat = beat(ServerState::Draining, self.call_seq);
                self.register.record_heartbeat(self.now, ID, &beat);
                self.say(Departure::Draining { call_seq: self.call_seq });
            }
            Act::End => {
                self.register.remove_server(self.now, ID);
                self.say(Departure::Ended);
            }
            Act::LateBeat => {
                self.register.record_heartbeat(self.now, ID, &beat(ServerState::InService, 2));
            }
            Act::Commit => {
                // What timed out is committed before what came after it.
                if let Some(entry) = self.open.take() {
                    self.apply(entry);
                }
                if let Some(entry) = self.under_way.take() {
                    self.apply(entry);
                    self.log.entry_settled(true);
                }
                self.propose();
            }
            Act::TimeOut => {
                if let Some(entry) = self.under_way.take() {
                    self.open = Some(entry);
                    self.log.entry_settled(!self.has(Guard::ProposeAgain));
                }
                self.propose();
            }
            Act::SucceedWithout => {
                (self.under_way, self.open) = (None, None);
                self.succeed();
            }
            Act::SucceedWith => {
                for entry in [self.open.take(), self.under_way.take()].into_iter().flatten() {
                    self.apply(entry);
                }
                self.succeed();
            }
            Act::Minute => {
                (self.under_way, self.open) = (None, None);
                self.now += LONG_MS;
                self.succeed();
            }
        }
        let register = &self.register;
        self.log.forget_old(self.now, &self.state, |id| register.server_state(id).is_some());
    }

    /// Whoever leads: nobody is told to send to a server that was told that it may leave.
    fn is_fine(&self) -> bool {
        let serves = self.register.server_state(ID) == Some(ServerState::InService);
        // A minute later no copy of before is of any use: a process forgets its notes after seconds.
        let binds = self.acknowledged.is_some_and(|at| self.now < at + LONG_MS);
        !(serves && binds)
    }
}

/// Plays all histories; the first one that breaks the promise.
fn search(out: Option<Guard>) -> Option<Vec<Act>> {
    let copy = old_copy();
    let depth =
        std::env::var("DEPARTURE_MODEL_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(DEPTH);
    let mut histories: u64 = 0;
    let mut acts = vec![0usize; depth];
    loop {
        let mut world = Model::new(&copy, out);
        let mut played = depth;
        for (step, act) in acts.iter().enumerate() {
            world.act(ACTS[*act]);
            if !world.is_fine() {
                return Some(acts[..=step].iter().map(|act| ACTS[*act]).collect());
            }
            played = step + 1;
        }
        histories += 1;
        // The next one: counted up from the last act that was played.
        let mut at = played;
        loop {
            if at == 0 {
                println!("{histories} histories of {depth} acts");
                return None;
            }
            at -= 1;
            acts[at] += 1;
            if acts[at] < ACTS.len() {
                break;
            }
            acts[at] = 0;
        }
    }
}

#[test]
fn no_history_leads_to_a_server_that_was_told_it_may_leave() {
    assert_eq!(search(None), None);
}

#[test]
fn each_guard_is_needed() {
    for guard in [Guard::AcknowledgeLogged, Guard::ApplyOnTakeover, Guard::ProposeAgain] {
        let found = search(Some(guard));
        println!("without {guard:?}: {found:?}");
        assert!(found.is_some(), "nothing is missed without {guard:?}");
    }
}
