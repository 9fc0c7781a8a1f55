//! Checks on all that comes out of the machines, as it comes. A fault panics with the world's seed and time.

use crate::{Answer, Fact, Node, Question};
use nickeljunction_messages::ServerState;
use nickeljunction_replica::departures::Departure;
use nickeljunction_replica::state::{Entry, MembershipOrder, Outcome, ReplicatedState, Trial};
use nickeljunction_replica::MembershipRequest;
use nickeljunction_schema::Bounds;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A configuration that was acknowledged.
#[derive(Debug, Clone)]
pub struct Acked {
    /// The version that it builds on.
    pub base: u64,
    /// Its own.
    pub version: u64,
    /// When.
    pub at: u64,
    digest: String,
}

/// A member said something that only a leader may say.
#[derive(Debug, Clone)]
pub struct Said {
    /// When.
    pub at: u64,
    /// Who.
    pub member: Node,
    /// What: `ack`, `read`, `units`, `watch`.
    pub what: &'static str,
}

/// A trial changed on the log.
#[derive(Debug, Clone)]
pub struct Tide {
    /// When the first member had it.
    pub at: u64,
    /// Whose.
    pub tenant: String,
    /// As it stood from then on.
    pub trial: Trial,
}

/// A gateway learned of a trial.
#[derive(Debug, Clone)]
pub struct Told {
    /// When.
    pub at: u64,
    /// Who.
    pub gateway: Node,
    /// Its process.
    life: u64,
    /// Whose.
    pub tenant: String,
    /// Step of the log.
    pub step: u64,
    /// From when it holds there.
    pub holds: u64,
}

/// What was seen, and the rules over it.
#[derive(Debug, Default)]
pub struct Audit {
    seed: u64,
    /// Gateways must refuse keys of before after the time-out.
    pub strict: bool,
    committed: BTreeMap<u64, (u64, Option<String>)>,
    /// The state that the committed entries make.
    pub state: ReplicatedState,
    applied: u64,
    leaders: HashMap<u64, Node>,
    /// In the order of their acknowledgements.
    pub acked: Vec<Acked>,
    /// Zones whose evacuation was acknowledged, and since then nothing was ordered of it.
    pub evacuated: BTreeSet<String>,
    /// The same of zones that were taken back.
    pub returned: BTreeSet<String>,
    /// Servers whose departure was acknowledged: `true` where they ended.
    pub departed: BTreeMap<String, bool>,
    /// Orders on the core's members that were agreed on, oldest first.
    pub orders: Vec<MembershipOrder>,
    /// How many of them were acknowledged, repeats included.
    pub ordered: usize,
    /// Newest version acknowledged or read.
    pub newest: u64,
    versions: HashMap<u64, u64>,
    /// Units spent: when, by whom.
    pub spent: Vec<(u64, Node)>,
    /// Requests sent: when, by whom, to which life.
    pub sent: Vec<(u64, Node, String)>,
    /// What leaders said.
    pub said: Vec<Said>,
    /// Reads answered.
    pub reads: usize,
    /// Changes of trials.
    pub tides: Vec<Tide>,
    /// What gateways learned of them.
    pub told: Vec<Told>,
    /// Orders on trials that were acknowledged.
    pub trial_acks: usize,
}

impl Audit {
    pub(crate) fn new(seed: u64, strict: bool) -> Audit {
        Audit { seed, strict, ..Audit::default() }
    }

    pub(crate) fn take(&mut self, now: u64, node: Node, fact: Fact) {
        let seed = self.seed;
        match fact {
            Fact::Applied(index, term, data) => {
                let told = (term, data);
                let first = self.committed.entry(index).or_insert_with(|| told.clone());
                assert_eq!(*first, told, "seed {seed}, {now} ms: index {index} differs at member {node}");
                while let Some((_, data)) = self.committed.get(&(self.applied + 1)) {
                    self.applied += 1;
                    if let Some(data) = data {
                        let before = self.state.trials().clone();
                        let outcome =
                            self.state.apply(serde_json::from_str::<Entry>(data).expect("an entry"));
                        assert_ne!(
                            outcome,
                            Outcome::Diverged,
                            "seed {seed}, {now} ms: entry {}",
                            self.applied
                        );
                        let (number, order) = self.state.membership_order();
                        if number as usize > self.orders.len() {
                            self.orders.push(order.clone());
                        }
                        let turned = self.state.trials().iter();
                        for (tenant, trial) in
                            turned.filter(|(tenant, trial)| before.get(*tenant) != Some(trial))
                        {
                            self.tides.push(Tide { at: now, tenant: tenant.clone(), trial: *trial });
                        }
                    }
                }
            }
            Fact::Leads(version, term) => {
                let other = self.leaders.insert(term, node).is_some_and(|other| other != node);
                assert!(!other, "seed {seed}, {now} ms: two leaders in term {term}");
                let newest = self.acked.iter().map(|acked| acked.version).max().unwrap_or(0);
                assert!(
                    version >= newest,
                    "seed {seed}, {now} ms: member {node} leads in term {term} with version {version}, {newest} is lost"
                );
            }
            Fact::Answered(said) => self.answered(now, node, said.0, said.1),
            Fact::Knows { life, version, at } => {
                let before = self.versions.insert(life, version).unwrap_or(0);
                assert!(
                    before <= version,
                    "seed {seed}, {now} ms: gateway {node} went from {before} to {version}"
                );
                let missed = self.acked.iter().find(|acked| acked.version > version && acked.at < at);
                assert!(
                    missed.is_none(),
                    "seed {seed}, {now} ms: gateway {node} takes {version} for current at {at}: {missed:?}"
                );
            }
            Fact::Takes { version } => {
                let timeout = (Bounds::usual().revoke_timeout_s * 1_000.0) as u64;
                let missed =
                    self.acked.iter().find(|acked| acked.version > version && acked.at + timeout < now);
                assert!(
                    !self.strict || missed.is_none(),
                    "seed {seed}, {now} ms: gateway {node} takes keys of {version}: {missed:?}"
                );
            }
            Fact::Tide { life, tenant, step, stage, holds } => {
                let before = self.told.iter().rev().find(|told| told.life == life && told.tenant == tenant);
                assert!(
                    before.is_none_or(|told| told.step < step),
                    "seed {seed}, {now} ms: gateway {node} goes from {before:?} to {step}"
                );
                let logged = self.tides.iter().find(|tide| tide.tenant == tenant && tide.trial.step == step);
                assert!(
                    logged.is_some_and(|tide| tide.trial.stage == stage),
                    "seed {seed}, {now} ms: gateway {node} is told step {step}, stage {stage}; the log has {logged:?}"
                );
                self.told.push(Told { at: now, gateway: node, life, tenant, step, holds });
            }
            Fact::Spends => self.spent.push((now, node)),
            Fact::Sends(id) => self.sent.push((now, node, id)),
        }
    }

    fn answered(&mut self, now: u64, member: Node, question: Question, answer: Answer) {
        let seed = self.seed;
        let what = match answer {
            Answer::Done => "ack",
            Answer::State(_) => "read",
            Answer::Units(_) => "units",
            Answer::Watch(_) => "watch",
            Answer::Conflict => return self.refused(now, member, &question),
            _ => return,
        };
        self.said.push(Said { at: now, member, what });
        // What a leader tells, lends or takes by its lease alone: nobody else may lead by then. Acknowledgements and reads of
        // the log are bound by more than that, and checked by what they say.
        let by_lease = !matches!(
            question,
            Question::Put(..)
                | Question::Patch(..)
                | Question::Evacuate(_)
                | Question::Return(_)
                | Question::Core(_)
                | Question::Trial(..)
                | Question::Get
        );
        let newest = self.leaders.iter().max().map(|(term, leader)| (*term, *leader));
        assert!(
            !by_lease || newest.is_some_and(|(_, leader)| leader == member),
            "seed {seed}, {now} ms: member {member} says {what} as a leader, beside {newest:?} (term, member)"
        );
        if !matches!(answer, Answer::Done) {
            return;
        }
        match question {
            Question::Put(base, version, digest, _) | Question::Patch(base, version, digest, _) => {
                assert!(
                    self.state.was_accepted(version, &digest),
                    "seed {seed}, {now} ms: {version} was acknowledged and isn't on the log"
                );
                if self.acked.iter().any(|acked| acked.digest == digest) {
                    return;
                }
                let twice = self.acked.iter().find(|acked| acked.base == base);
                assert!(twice.is_none(), "seed {seed}, {now} ms: {version} on {base}, beside {twice:?}");
                self.acked.push(Acked { base, version, at: now, digest });
                self.newest = self.newest.max(version);
            }
            Question::Evacuate(zone) => {
                self.returned.remove(&zone);
                self.evacuated.insert(zone);
            }
            Question::Return(zone) => {
                self.evacuated.remove(&zone);
                self.returned.insert(zone);
            }
            Question::Leave(id) => self.depart(now, id, true),
            Question::Beat(id, beat) if beat.state == ServerState::Draining => self.depart(now, id, false),
            Question::Core(wish) => {
                let away = |order: &MembershipOrder, host: &String| {
                    order.excluded.iter().any(|away| away.host == *host)
                };
                let says = |order: &MembershipOrder| match &wish {
                    MembershipRequest::Add(new, old) => {
                        !away(order, new) && old.as_ref().is_none_or(|old| away(order, old))
                    }
                    MembershipRequest::Remove(host) => away(order, host),
                };
                let none = MembershipOrder::default();
                let agreed = self.orders.iter().chain([&none]).any(says);
                assert!(agreed, "seed {seed}, {now} ms: {wish:?} was acknowledged and isn't on the log");
                self.ordered += 1;
            }
            Question::Trial(tenant, lapse, asked) => {
                self.trial_acks += 1;
                // Its direction was in force at some moment between its call and now.
                let of = self.tides.iter().filter(|tide| tide.tenant == tenant);
                let then =
                    of.clone().rev().find(|tide| tide.at < asked).is_some_and(|tide| tide.trial.lapses);
                let since = of.filter(|tide| tide.at >= asked).map(|tide| tide.trial.lapses);
                assert!(
                    [then].into_iter().chain(since).any(|lapses| lapses == lapse),
                    "seed {seed}, {now} ms: lapse {lapse}, asked at {asked}, was acknowledged and isn't on the log"
                );
            }
            _ => {}
        }
    }

    /// An order on a zone is on its way: whether it will be in force is open until its answer.
    pub(crate) fn ordered_zone(&mut self, zone: &str) {
        self.evacuated.remove(zone);
        self.returned.remove(zone);
    }

    /// A server's departure was acknowledged: the log has it.
    fn depart(&mut self, now: u64, id: String, ended: bool) {
        let seed = self.seed;
        let logged = self.state.departures().get(&id);
        let fits = match logged {
            Some(Departure::Ended) => true,
            Some(Departure::Draining { .. }) => !ended,
            None => false,
        };
        assert!(
            fits,
            "seed {seed}, {now} ms: the departure of {id} was acknowledged, the log has {logged:?}"
        );
        *self.departed.entry(id).or_default() |= ended;
    }

    /// A change was refused: another version was in place by then, and it is not in force itself.
    fn refused(&self, now: u64, member: Node, question: &Question) {
        let (Question::Put(base, version, digest, _) | Question::Patch(base, version, digest, _)) = question
        else {
            return;
        };
        let (seed, there) = (self.seed, self.state.version());
        assert!(
            there != *base && !self.state.was_accepted(*version, digest),
            "seed {seed}, {now} ms: member {member} refuses {version} on {base}, with {there} in force"
        );
    }

    /// A read came back.
    pub(crate) fn read(&mut self, now: u64, floor: u64, version: u64) {
        let seed = self.seed;
        assert!(version >= floor, "seed {seed}, {now} ms: a read saw {version}, {floor} was there before it");
        self.newest = self.newest.max(version);
        self.reads += 1;
    }

    /// Most units spent in any window.
    pub fn most_units(&self, window_ms: u64) -> u64 {
        let (mut first, mut most) = (0, 0);
        for (last, (at, _)) in self.spent.iter().enumerate() {
            while self.spent[first].0 + window_ms <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most as u64
    }

    /// A member's state has all that was acknowledged and is the log's.
    pub fn check_state(&self, member: Node, state: &ReplicatedState) {
        let seed = self.seed;
        assert_eq!(state, &self.state, "seed {seed}: member {member}'s state is another one");
        for acked in &self.acked {
            let known = state.was_accepted(acked.version, &acked.digest);
            assert!(known, "seed {seed}: {acked:?} is lost");
        }
        for zone in &self.evacuated {
            assert!(state.evacuated().contains(zone), "seed {seed}: the evacuation of {zone} is lost");
        }
        for zone in &self.returned {
            assert!(!state.evacuated().contains(zone), "seed {seed}: the return of {zone} is lost");
        }
    }
}
