//! An exhaustive model check, up to a depth, of one server's departure under crashes, partitions, suspended leaders and
//! changes of leader.
//!
//! It runs the real [`DepartureLog`], [`Departures`] and [`Register`]. Consensus is replaced by its guarantees, which have a
//! model check of their own: one order of entries, and a leader that has applied all of them before it answers any call. The
//! copy from which a new leader starts is as old as possible. Each guard is also removed in turn, and the check has to find
//! the fault that it prevents.

use nickeljunction_messages::ServerState;
use nickeljunction_registry::{Heartbeat, Register, Tuning, WatchCache};
use nickeljunction_replica::departures::{Departure, DepartureLog, Departures};
use nickeljunction_replica::state::Entry;
use std::collections::BTreeMap;

const ID: &str = "i-1";
/// Actions in one history; `DEPARTURE_MODEL_DEPTH` overrides it.
const DEPTH: usize = 6;
/// Longer than the time after which a departure is forgotten, ms.
const BEYOND_RETENTION_MS: u64 = 61_000;

/// One step of a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    /// The server announces its drain to the current leader.
    Drain,
    /// The server reports its end to the current leader.
    End,
    /// A heartbeat from before the departure arrives late.
    DelayedHeartbeat,
    /// The entry in flight is committed.
    Commit,
    /// The leader's entry times out, though a majority may have it.
    TimeOut,
    /// The leader is cut off, suspended or crashes: another one starts from the oldest copy, and the entry in flight is lost.
    LeaderChangeWithoutEntry,
    /// The leader changes, and the new one has the entry in flight on its log.
    LeaderChangeWithEntry,
    /// More than a minute goes by, then as [`Action::LeaderChangeWithoutEntry`].
    LongPause,
}

const ACTIONS: [Action; 8] = [
    Action::Drain,
    Action::End,
    Action::DelayedHeartbeat,
    Action::Commit,
    Action::TimeOut,
    Action::LeaderChangeWithoutEntry,
    Action::LeaderChangeWithEntry,
    Action::LongPause,
];

/// A guard that is removed to show that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Guard {
    /// A departure is acknowledged only once it is logged.
    AcknowledgeLogged,
    /// A new leader applies the departures on the log to its register.
    ApplyOnTakeover,
    /// An entry that timed out is proposed again.
    ProposeAgain,
}

fn heartbeat(state: ServerState, call_seq: u64) -> Heartbeat {
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

/// The copy that every leader starts from. The server is in service in it.
fn old_copy() -> WatchCache {
    let mut register = Register::new(0, tuning(), 1, None);
    register.record_heartbeat(0, ID, &heartbeat(ServerState::InService, 1));
    (0..100).for_each(|step| drop(register.tick(step * 100)));
    register.record_heartbeat(9_900, ID, &heartbeat(ServerState::InService, 2));
    let mut copy = WatchCache::new();
    let call = copy.watch_call(nickeljunction_messages::Caller::Core, "core-2", 1, None, 0);
    let answer = register.answer(10_000, &call, 0).expect("all of it");
    copy.apply(answer).expect("the first");
    assert!(copy.is_complete() && copy.catalog().servers.contains_key(ID));
    copy
}

struct Model {
    removed: Option<Guard>,
    copy: WatchCache,
    now: u64,
    term: u64,
    register: Register,
    log: DepartureLog,
    state: Departures,
    in_flight: Option<Entry>,
    /// An entry that has timed out, but may still be committed.
    timed_out: Option<Entry>,
    call_seq: u64,
    /// Numbers of the departures of this term that wait for their acknowledgement.
    waiting: Vec<u64>,
    /// Since when a departure may have been acknowledged, ms.
    acknowledged: Option<u64>,
}

impl Model {
    fn new(copy: &WatchCache, removed: Option<Guard>) -> Model {
        let now = 20_000;
        Model {
            removed,
            copy: copy.clone(),
            now,
            term: 2,
            register: Register::new(now, tuning(), 2, Some(copy.clone())),
            log: DepartureLog::default(),
            state: Departures::default(),
            in_flight: None,
            timed_out: None,
            call_seq: 2,
            waiting: Vec::new(),
            acknowledged: None,
        }
    }

    fn has(&self, guard: Guard) -> bool {
        self.removed != Some(guard)
    }

    fn depart(&mut self, departure: Departure) {
        let number = self.log.record(ID, departure, &self.state);
        self.waiting.push(number);
        self.propose();
    }

    fn propose(&mut self) {
        if self.in_flight.is_none() {
            self.in_flight = self.log.next_entry();
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

    fn change_leader(&mut self) {
        self.term += 1;
        self.register = Register::new(self.now, tuning(), self.term, Some(self.copy.clone()));
        if self.has(Guard::ApplyOnTakeover) {
            self.register.apply_departures(self.now, self.state.draining(), self.state.ended());
        }
        self.log = DepartureLog::default();
        self.waiting.clear();
    }

    fn apply_action(&mut self, action: Action) {
        self.now += 100;
        match action {
            Action::Drain => {
                self.call_seq += 1;
                let heartbeat = heartbeat(ServerState::Draining, self.call_seq);
                self.register.record_heartbeat(self.now, ID, &heartbeat);
                self.depart(Departure::Draining { call_seq: self.call_seq });
            }
            Action::End => {
                self.register.remove_server(self.now, ID);
                self.depart(Departure::Ended);
            }
            Action::DelayedHeartbeat => {
                self.register.record_heartbeat(self.now, ID, &heartbeat(ServerState::InService, 2));
            }
            Action::Commit => {
                // The entry that timed out is committed before the one after it.
                if let Some(entry) = self.timed_out.take() {
                    self.apply(entry);
                }
                if let Some(entry) = self.in_flight.take() {
                    self.apply(entry);
                    self.log.entry_settled(true);
                }
                self.propose();
            }
            Action::TimeOut => {
                if let Some(entry) = self.in_flight.take() {
                    self.timed_out = Some(entry);
                    self.log.entry_settled(!self.has(Guard::ProposeAgain));
                }
                self.propose();
            }
            Action::LeaderChangeWithoutEntry => {
                (self.in_flight, self.timed_out) = (None, None);
                self.change_leader();
            }
            Action::LeaderChangeWithEntry => {
                for entry in [self.timed_out.take(), self.in_flight.take()].into_iter().flatten() {
                    self.apply(entry);
                }
                self.change_leader();
            }
            Action::LongPause => {
                (self.in_flight, self.timed_out) = (None, None);
                self.now += BEYOND_RETENTION_MS;
                self.change_leader();
            }
        }
        let register = &self.register;
        self.log.forget_old(self.now, &self.state, |id| register.server_state(id).is_some());
    }

    /// The property: no leader lets requests be routed to a server whose departure was acknowledged.
    fn property_holds(&self) -> bool {
        let is_in_service = self.register.server_state(ID) == Some(ServerState::InService);
        // After a minute no older copy can be in use: a process discards a saved copy after seconds.
        let must_hold = self.acknowledged.is_some_and(|since| self.now < since + BEYOND_RETENTION_MS);
        !(is_in_service && must_hold)
    }
}

/// Runs all histories, and returns the first one that violates the property.
fn search(removed: Option<Guard>) -> Option<Vec<Action>> {
    let copy = old_copy();
    let depth =
        std::env::var("DEPARTURE_MODEL_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(DEPTH);
    let mut histories: u64 = 0;
    let mut actions = vec![0usize; depth];
    loop {
        let mut model = Model::new(&copy, removed);
        let mut steps_run = depth;
        for (step, action) in actions.iter().enumerate() {
            model.apply_action(ACTIONS[*action]);
            if !model.property_holds() {
                return Some(actions[..=step].iter().map(|action| ACTIONS[*action]).collect());
            }
            steps_run = step + 1;
        }
        histories += 1;
        // Continues with the next history, counting up from the last action that was run.
        let mut position = steps_run;
        loop {
            if position == 0 {
                println!("{histories} histories of {depth} actions");
                return None;
            }
            position -= 1;
            actions[position] += 1;
            if actions[position] < ACTIONS.len() {
                break;
            }
            actions[position] = 0;
        }
    }
}

#[test]
fn no_history_routes_to_a_server_whose_departure_was_acknowledged() {
    assert_eq!(search(None), None);
}

#[test]
fn each_guard_is_needed() {
    for guard in [Guard::AcknowledgeLogged, Guard::ApplyOnTakeover, Guard::ProposeAgain] {
        let violation = search(Some(guard));
        println!("without {guard:?}: {violation:?}");
        assert!(violation.is_some(), "no fault is found without {guard:?}");
    }
}
