//! Random histories of claims, lost and delayed entries, pauses and leader changes, checked against a reference model
//! that knows the true time.

use nickeljunction_messages::{ClaimAnswer, ClaimCall, Claimant, OperationId};
use nickeljunction_operations::{
    Batch, ClaimBatcher, GenerationClock, OperationTable, OperationsEntry, WaitingClaim, RETENTION_MARGIN_MS,
};
use proptest::prelude::*;

const WINDOW_MS: u64 = 60_000;
/// How long a caller waits for an answer, ms.
const ANSWER_TIMEOUT_MS: u64 = 600;
/// Time between two entries, ms.
const ENTRY_INTERVAL_MS: u64 = 10;
/// Interval at which a leader checks its generations, ms.
const CHECK_INTERVAL_MS: u64 = 200;

#[derive(Debug, Clone)]
enum Action {
    /// A new claimant claims this operation.
    Claim(u8),
    /// One of the claims is sent again, unchanged.
    Repeat(prop::sample::Index),
    /// The claimant releases one of the claims: it will never use it.
    Release(prop::sample::Index),
    /// A new claimant takes over one of the claims, if it was released.
    TakeOver(prop::sample::Index),
    /// The batch in flight is committed.
    Commit,
    /// The leader gives up the batch in flight. If true, its entry is committed later nevertheless.
    TimeOut(bool),
    /// A new leader takes over, with this clock offset, ms. If true, its log includes the batch in flight.
    ChangeLeader(bool, u64),
    /// Time passes, ms.
    Wait(u64),
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        4 => (0..3u8).prop_map(Action::Claim),
        2 => any::<prop::sample::Index>().prop_map(Action::Repeat),
        2 => any::<prop::sample::Index>().prop_map(Action::Release),
        4 => any::<prop::sample::Index>().prop_map(Action::TakeOver),
        6 => Just(Action::Commit),
        1 => any::<bool>().prop_map(Action::TimeOut),
        1 => (any::<bool>(), 0..1u64 << 40).prop_map(|(commits, offset)| Action::ChangeLeader(commits, offset)),
        2 => (0..WINDOW_MS).prop_map(Action::Wait),
    ];
    proptest::collection::vec(action, 1..200)
}

/// A claim in the reference model.
#[derive(Debug)]
struct ModelClaim {
    call: ClaimCall,
    /// When it was last granted, in true time, ms.
    granted_at: Option<u64>,
    is_released: bool,
}

impl ModelClaim {
    /// Whether the claimant has the exclusive right to run the operation, or may have run it.
    fn is_in_force(&self, now: u64) -> bool {
        !self.is_released
            && self.granted_at.is_some_and(|granted_at| now < granted_at + WINDOW_MS + RETENTION_MARGIN_MS)
    }
}

struct Harness {
    /// True time, ms.
    now: u64,
    /// How far the leader's clock is ahead of the true time, ms.
    offset: u64,
    table: OperationTable,
    batcher: ClaimBatcher,
    clock: GenerationClock,
    in_flight: Option<Batch>,
    /// Entries that the leader gave up and that are committed later.
    delayed: Vec<OperationsEntry>,
    claims: Vec<ModelClaim>,
}

impl Harness {
    fn new() -> Harness {
        Harness {
            now: 0,
            offset: 1 << 20,
            table: OperationTable::default(),
            batcher: ClaimBatcher::default(),
            clock: GenerationClock::new(WINDOW_MS),
            in_flight: None,
            delayed: Vec::new(),
            claims: Vec::new(),
        }
    }

    fn perform(&mut self, action: &Action) {
        match action {
            Action::Claim(operation) => self.claim(OperationId(u128::from(*operation) << 100), None),
            Action::Repeat(index) => {
                let call = self.pick(index).filter(|claim| !claim.is_released).map(|claim| claim.call);
                call.into_iter().for_each(|call| self.call(call));
            }
            Action::Release(index) => self.pick(index).into_iter().for_each(|claim| claim.is_released = true),
            Action::TakeOver(index) => {
                let call = self.pick(index).filter(|claim| claim.is_released).map(|claim| claim.call);
                call.into_iter().for_each(|call| self.claim(call.operation, Some(call.claimant)));
            }
            Action::Commit => self.commit(),
            Action::TimeOut(commits) => self.give_up(*commits),
            Action::ChangeLeader(commits, offset) => {
                self.batcher.drain_waiting();
                self.give_up(*commits);
                self.batcher = ClaimBatcher::default();
                self.offset = *offset;
                self.clock = GenerationClock::new(WINDOW_MS);
                self.apply_delayed();
            }
            Action::Wait(ms) => {
                for _ in 0..ms / CHECK_INTERVAL_MS {
                    self.now += CHECK_INTERVAL_MS;
                    let entry = self.clock.due_entry(self.now + self.offset, &self.table);
                    entry.into_iter().for_each(|entry| self.apply(&entry));
                }
            }
        }
    }

    fn pick(&mut self, index: &prop::sample::Index) -> Option<&mut ModelClaim> {
        let count = self.claims.len();
        (count > 0).then(|| &mut self.claims[index.index(count)])
    }

    fn claim(&mut self, operation: OperationId, released: Option<Claimant>) {
        let claimant =
            Claimant { host: [10, 0, 0, 9].into(), incarnation: 7, number: self.claims.len() as u64 };
        let call = ClaimCall { operation, claimant, released };
        self.claims.push(ModelClaim { call, granted_at: None, is_released: false });
        self.call(call);
    }

    fn call(&mut self, call: ClaimCall) {
        self.now += ENTRY_INTERVAL_MS;
        let deadline = self.now + self.offset + ANSWER_TIMEOUT_MS;
        assert!(self.batcher.enqueue(WaitingClaim { call, ticket: call.claimant.number, deadline }));
        self.propose();
    }

    fn propose(&mut self) {
        if self.in_flight.is_none() {
            self.in_flight = self.batcher.next_batch(self.now + self.offset);
        }
    }

    fn commit(&mut self) {
        self.now += ENTRY_INTERVAL_MS;
        let Some(batch) = self.in_flight.take() else { return self.propose() };
        self.apply_delayed();
        self.apply(&batch.to_entry());
        self.batcher.finish_batch(&batch);
        for claim in &batch.claims {
            self.check_answer(&claim.call, claim.answer(self.now + self.offset, &self.table));
        }
        self.propose();
    }

    fn give_up(&mut self, commits: bool) {
        let Some(batch) = self.in_flight.take() else { return };
        self.batcher.finish_batch(&batch);
        self.delayed.extend(commits.then(|| batch.to_entry()));
        self.propose();
    }

    fn apply_delayed(&mut self) {
        std::mem::take(&mut self.delayed).iter().for_each(|entry| self.apply(entry));
    }

    /// Applies an entry after encoding and decoding it, as every member does.
    fn apply(&mut self, entry: &OperationsEntry) {
        let text = serde_json::to_string(entry).expect("JSON");
        let decoded: OperationsEntry = serde_json::from_str(&text).expect("decodes its own text");
        assert_eq!(&decoded, entry);
        self.table.apply(&decoded);
    }

    fn check_answer(&mut self, call: &ClaimCall, answer: Option<ClaimAnswer>) {
        let now = self.now;
        match answer {
            Some(ClaimAnswer::Granted) => {
                let in_force =
                    |claim: &&ModelClaim| claim.call.operation == call.operation && claim.is_in_force(now);
                let other =
                    self.claims.iter().filter(in_force).find(|claim| claim.call.claimant != call.claimant);
                let claim = &self.claims[call.claimant.number as usize];
                assert!(
                    claim.is_released || other.is_none(),
                    "{call:?} is granted while {other:?} is in force"
                );
                self.claims[call.claimant.number as usize].granted_at = Some(now);
            }
            Some(ClaimAnswer::Held(holder)) => assert_ne!(holder, call.claimant),
            Some(ClaimAnswer::Full) => panic!("the table is never full here"),
            None => {}
        }
    }

    /// Checks that the table still has every granted claim within its window, and that it decodes to itself.
    fn check_table(&self) {
        for claim in self.claims.iter().filter(|claim| claim.is_in_force(self.now)) {
            let holder = self.table.holder(claim.call.operation);
            assert_eq!(holder, Some(claim.call.claimant), "at {} ms: {claim:?}", self.now);
        }
        let text = serde_json::to_string(&self.table).expect("JSON");
        let decoded: OperationTable = serde_json::from_str(&text).expect("decodes its own text");
        assert_eq!(decoded, self.table);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn no_operation_is_granted_twice_or_forgotten_within_its_window(actions in actions()) {
        let mut harness = Harness::new();
        for action in &actions {
            harness.perform(action);
            harness.check_table();
        }
        // If the leader does not change, it forgets everything in the end.
        harness.give_up(false);
        harness.batcher.drain_waiting();
        harness.perform(&Action::Wait(2 * (WINDOW_MS + RETENTION_MARGIN_MS)));
        prop_assert_eq!((harness.table.operation_count(), harness.table.record_count()), (0, 0));
    }
}

#[test]
fn only_one_of_two_takeovers_of_a_released_claim_is_granted() {
    let mut harness = Harness::new();
    let operation = OperationId(5);
    harness.claim(operation, None);
    harness.commit();
    harness.claims[0].is_released = true;
    let released = Some(harness.claims[0].call.claimant);
    harness.claim(operation, released);
    harness.claim(operation, released);
    harness.commit();
    harness.commit();
    let granted: Vec<bool> = harness.claims.iter().map(|claim| claim.granted_at.is_some()).collect();
    assert_eq!(granted, [true, true, false]);
}

#[test]
fn a_taken_over_claim_is_kept_for_a_window_from_its_takeover() {
    let mut harness = Harness::new();
    let operation = OperationId(5);
    harness.claim(operation, None);
    harness.commit();
    harness.claims[0].is_released = true;
    harness.perform(&Action::Wait(WINDOW_MS));
    harness.claim(operation, Some(harness.claims[0].call.claimant));
    harness.commit();
    harness.perform(&Action::Wait(WINDOW_MS));
    assert_eq!(harness.table.holder(operation), Some(harness.claims[1].call.claimant));
}
