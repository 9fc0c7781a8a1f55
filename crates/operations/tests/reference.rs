//! Drawn histories of claims, lost and late entries, pauses and changes of leader, beside a reference that knows the time.

use nickeljunction_messages::{ClaimAnswer, ClaimCall, Claimant, OperationId};
use nickeljunction_operations::{
    Batch, ClaimBatcher, GenerationClock, OperationTable, OperationsEntry, WaitingClaim, RETENTION_MARGIN_MS,
};
use proptest::prelude::*;

const WINDOW_MS: u64 = 60_000;
const PATIENCE_MS: u64 = 600;
/// Between two entries, ms.
const ENTRY_EVERY_MS: u64 = 10;
/// Between two looks of a leader at its generations, ms.
const LOOK_MS: u64 = 200;

#[derive(Debug, Clone)]
enum Act {
    /// A new claimant claims this operation.
    Claim(u8),
    /// One of the claims is called again, unchanged.
    Repeat(prop::sample::Index),
    /// Its claimant will never use it.
    Release(prop::sample::Index),
    /// A new claimant takes a claim over, if that was released.
    TakeOver(prop::sample::Index),
    /// The batch under way is on the log.
    Commit,
    /// The batch under way is given up; it may still get on the log.
    TimeOut(bool),
    /// Another leader, whose clock shows something else; the batch under way may be on its log.
    Succeed(bool, u64),
    Pass(u64),
}

fn acts() -> impl Strategy<Value = Vec<Act>> {
    let act = prop_oneof![
        4 => (0..3u8).prop_map(Act::Claim),
        2 => any::<prop::sample::Index>().prop_map(Act::Repeat),
        2 => any::<prop::sample::Index>().prop_map(Act::Release),
        4 => any::<prop::sample::Index>().prop_map(Act::TakeOver),
        6 => Just(Act::Commit),
        1 => any::<bool>().prop_map(Act::TimeOut),
        1 => (any::<bool>(), 0..1u64 << 40).prop_map(|(with, offset)| Act::Succeed(with, offset)),
        2 => (0..WINDOW_MS).prop_map(Act::Pass),
    ];
    proptest::collection::vec(act, 1..200)
}

/// A claim as its claimant knows it.
#[derive(Debug)]
struct Known {
    call: ClaimCall,
    /// When it was last granted, true time.
    granted_at: Option<u64>,
    is_released: bool,
}

impl Known {
    /// Its claimant may run the operation, or have run it, and nobody else may.
    fn holds(&self, now: u64) -> bool {
        !self.is_released && self.granted_at.is_some_and(|at| now < at + WINDOW_MS + RETENTION_MARGIN_MS)
    }
}

struct World {
    /// True time, ms.
    now: u64,
    /// The leader's clock is ahead by so much.
    offset: u64,
    table: OperationTable,
    log: ClaimBatcher,
    clock: GenerationClock,
    under_way: Option<Batch>,
    /// Given up, and yet to be on the log.
    stray: Vec<OperationsEntry>,
    known: Vec<Known>,
}

impl World {
    fn new() -> World {
        World {
            now: 0,
            offset: 1 << 20,
            table: OperationTable::default(),
            log: ClaimBatcher::default(),
            clock: GenerationClock::new(WINDOW_MS),
            under_way: None,
            stray: Vec::new(),
            known: Vec::new(),
        }
    }

    fn act(&mut self, act: &Act) {
        match act {
            Act::Claim(operation) => self.claim(OperationId(u128::from(*operation) << 100), None),
            Act::Repeat(of) => {
                let call = self.pick(of).filter(|known| !known.is_released).map(|known| known.call);
                call.into_iter().for_each(|call| self.call(call));
            }
            Act::Release(of) => self.pick(of).into_iter().for_each(|known| known.is_released = true),
            Act::TakeOver(of) => {
                let call = self.pick(of).filter(|known| known.is_released).map(|known| known.call);
                call.into_iter().for_each(|call| self.claim(call.operation, Some(call.claimant)));
            }
            Act::Commit => self.commit(),
            Act::TimeOut(commits) => self.give_up(*commits),
            Act::Succeed(with, offset) => {
                self.log.drain_waiting();
                self.give_up(*with);
                self.log = ClaimBatcher::default();
                self.offset = *offset;
                self.clock = GenerationClock::new(WINDOW_MS);
                self.apply_strays();
            }
            Act::Pass(ms) => {
                for _ in 0..ms / LOOK_MS {
                    self.now += LOOK_MS;
                    let due = self.clock.due_entry(self.now + self.offset, &self.table);
                    due.into_iter().for_each(|entry| self.apply(&entry));
                }
            }
        }
    }

    fn pick(&mut self, index: &prop::sample::Index) -> Option<&mut Known> {
        let count = self.known.len();
        (count > 0).then(|| &mut self.known[index.index(count)])
    }

    fn claim(&mut self, operation: OperationId, released: Option<Claimant>) {
        let claimant =
            Claimant { host: [10, 0, 0, 9].into(), incarnation: 7, number: self.known.len() as u64 };
        let call = ClaimCall { operation, claimant, released };
        self.known.push(Known { call, granted_at: None, is_released: false });
        self.call(call);
    }

    fn call(&mut self, call: ClaimCall) {
        self.now += ENTRY_EVERY_MS;
        let until = self.now + self.offset + PATIENCE_MS;
        assert!(self.log.enqueue(WaitingClaim { call, ticket: call.claimant.number, deadline: until }));
        self.propose();
    }

    fn propose(&mut self) {
        if self.under_way.is_none() {
            self.under_way = self.log.next_batch(self.now + self.offset);
        }
    }

    fn commit(&mut self) {
        self.now += ENTRY_EVERY_MS;
        let Some(batch) = self.under_way.take() else { return self.propose() };
        self.apply_strays();
        self.apply(&batch.to_entry());
        self.log.finish_batch(&batch);
        for claim in &batch.claims {
            self.check_answer(&claim.call, claim.answer(self.now + self.offset, &self.table));
        }
        self.propose();
    }

    fn give_up(&mut self, commits: bool) {
        let Some(batch) = self.under_way.take() else { return };
        self.log.finish_batch(&batch);
        self.stray.extend(commits.then(|| batch.to_entry()));
        self.propose();
    }

    fn apply_strays(&mut self) {
        std::mem::take(&mut self.stray).iter().for_each(|entry| self.apply(entry));
    }

    /// As every member does, from what was written.
    fn apply(&mut self, entry: &OperationsEntry) {
        let text = serde_json::to_string(entry).expect("JSON");
        let read: OperationsEntry = serde_json::from_str(&text).expect("its own text");
        assert_eq!(&read, entry);
        self.table.apply(&read);
    }

    fn check_answer(&mut self, call: &ClaimCall, answer: Option<ClaimAnswer>) {
        let now = self.now;
        match answer {
            Some(ClaimAnswer::Granted) => {
                let same = |known: &&Known| known.call.operation == call.operation && known.holds(now);
                let other = self.known.iter().filter(same).find(|known| known.call.claimant != call.claimant);
                let known = &self.known[call.claimant.number as usize];
                assert!(known.is_released || other.is_none(), "{call:?} is granted beside {other:?}");
                self.known[call.claimant.number as usize].granted_at = Some(now);
            }
            Some(ClaimAnswer::Held(holder)) => assert_ne!(holder, call.claimant),
            Some(ClaimAnswer::Full) => panic!("nothing is full"),
            None => {}
        }
    }

    /// Nothing that was granted is forgotten within the window.
    fn check_memory(&self) {
        for known in self.known.iter().filter(|known| known.holds(self.now)) {
            let holder = self.table.holder(known.call.operation);
            assert_eq!(holder, Some(known.call.claimant), "at {}: {known:?}", self.now);
        }
        let text = serde_json::to_string(&self.table).expect("JSON");
        let read: OperationTable = serde_json::from_str(&text).expect("its own text");
        assert_eq!(read, self.table);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn no_operation_is_granted_twice_or_forgotten_within_its_window(acts in acts()) {
        let mut world = World::new();
        for act in &acts {
            world.act(act);
            world.check_memory();
        }
        // A leader that stays forgets all of it at last.
        world.give_up(false);
        world.log.drain_waiting();
        world.act(&Act::Pass(2 * (WINDOW_MS + RETENTION_MARGIN_MS)));
        prop_assert_eq!((world.table.operation_count(), world.table.record_count()), (0, 0));
    }
}

#[test]
fn of_two_takeovers_of_one_release_one_is_granted() {
    let mut world = World::new();
    let operation = OperationId(5);
    world.claim(operation, None);
    world.commit();
    world.known[0].is_released = true;
    let released = Some(world.known[0].call.claimant);
    world.claim(operation, released);
    world.claim(operation, released);
    world.commit();
    world.commit();
    let granted: Vec<bool> = world.known.iter().map(|known| known.granted_at.is_some()).collect();
    assert_eq!(granted, [true, true, false]);
}

#[test]
fn a_takeover_is_remembered_from_its_own_time() {
    let mut world = World::new();
    let operation = OperationId(5);
    world.claim(operation, None);
    world.commit();
    world.known[0].is_released = true;
    world.act(&Act::Pass(WINDOW_MS));
    world.claim(operation, Some(world.known[0].call.claimant));
    world.commit();
    world.act(&Act::Pass(WINDOW_MS));
    assert_eq!(world.table.holder(operation), Some(world.known[1].call.claimant));
}
