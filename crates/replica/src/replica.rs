//! The machine: time, messages, the disk, and what follows from what the agreement puts out.

use crate::change::Checked;
use crate::divergence::Divergence;
use crate::effects::{Effects, Event, Ticket};
use crate::follower::WATCH_HOLD_MS;
use crate::leader::Lead;
use crate::pending_calls::{Confirming, Proposed, Settled};
use crate::state::{Entry, ReplicatedState};
use nickeljunction_consensus::{Consensus, Envelope, Outputs, ReadTicket, Restored, Tuning};
use nickeljunction_messages::{Caller, GatewayInfo, LeaderRedirect, WatchAnswer, WatchCall};
use nickeljunction_operations::ClaimBatcher;
use nickeljunction_quota::Counter;
use nickeljunction_registry::{ApplyError, CatalogUpdate, ConfigHistory, Register, WatchCache};
use nickeljunction_schema::Bounds;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Between two looks at what has become old, ms.
const AGE_MS: u64 = 200;
/// Between two looks whether there is something to note down, ms.
const HINT_MS: u64 = 500;
/// It is written again after so long, ms, whether it has changed or not.
const HINT_AGAIN_MS: u64 = 3_000;
/// An older hint is of no use to a next process, ms: servers that live have beaten since.
pub const SAVED_CACHE_MAX_AGE_MS: u64 = 8_000;
/// Entries applied between two snapshots of the log, at least and at most.
const SNAPSHOT_ENTRIES: (u64, u64) = (64, 4_096);
/// Between the two it is taken once the entries since the last one make up this part of its bytes: a large state isn't
/// written for every few small entries.
const SNAPSHOT_PART: usize = 4;

/// What a member needs to know of itself.
#[derive(Debug, Clone)]
pub struct MemberConfig {
    /// Name of its machine.
    pub name: String,
    /// IP address of its machine.
    pub host: String,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Figures of the rules.
    pub bounds: Bounds,
    /// Servers beat about that often, ms.
    pub heartbeat_ms: u64,
}

/// One core member. See the crate's page for how it is driven.
#[derive(Debug)]
pub struct Replica {
    pub(crate) place: Rc<MemberConfig>,
    /// A leader whose majority has not answered for so long answers nobody: below the time in which another one can be
    /// elected.
    pub(crate) lease_ms: u64,
    pub(crate) book: Consensus,
    pub(crate) state: ReplicatedState,
    /// Index of the last entry that `state` holds, or `divergence`.
    pub(crate) applied: u64,
    /// `state` isn't the log's.
    pub(crate) divergence: Option<Divergence>,
    /// What the last entries changed in the document.
    pub(crate) changes: ConfigHistory,
    /// The newest document that was checked here.
    pub(crate) checked: Option<Checked>,
    snapshot_at: u64,
    /// Bytes of the last snapshot, and of the entries applied since.
    snapshot_bytes: usize,
    entry_bytes: usize,
    /// So many orders on the core's members does `book` know.
    away_from: u64,
    pub(crate) lead: Option<Lead>,
    pub(crate) copy: WatchCache,
    pub(crate) next_ticket: Ticket,
    /// Calls whose entries are on their way, by index, with their term and the time of their last moment.
    pub(crate) waits: BTreeMap<u64, (u64, u64, Proposed)>,
    /// Claims of keyed operations that wait for their entry.
    pub(crate) claims: ClaimBatcher,
    /// Calls that a majority is to confirm.
    pub(crate) reads: BTreeMap<ReadTicket, Confirming>,
    /// Calls that can go on.
    pub(crate) settled: Vec<Settled>,
    age_at: u64,
    hint_at: u64,
    /// Term and number of what was noted down last, and when.
    noted: (u64, u64),
    noted_at: u64,
    pub(crate) out: Effects,
}

impl Replica {
    /// A member that has loaded its disk. `seed` is for the random part of election times and differs between machines.
    pub fn new(place: Rc<MemberConfig>, restored: Restored, tuning: Tuning, seed: u64, now: u64) -> Replica {
        Replica {
            place,
            lease_ms: tuning.election_min_ms,
            book: Consensus::new(restored, tuning, seed, now),
            state: ReplicatedState::default(),
            applied: 0,
            divergence: None,
            changes: ConfigHistory::default(),
            checked: None,
            snapshot_at: 0,
            snapshot_bytes: 0,
            entry_bytes: 0,
            away_from: 0,
            lead: None,
            copy: WatchCache::new(),
            next_ticket: 0,
            waits: BTreeMap::new(),
            claims: ClaimBatcher::default(),
            reads: BTreeMap::new(),
            settled: Vec::new(),
            age_at: now + AGE_MS,
            hint_at: now + HINT_MS,
            noted: (0, 0),
            noted_at: 0,
            out: Effects::default(),
        }
    }

    /// What was known of servers and gateways when this machine's process before ended.
    pub fn load_watch_cache(&mut self, copy: WatchCache) {
        self.copy = copy;
    }

    // ---- Time, messages, disk ----

    /// When [`Replica::tick`] is due, by the clock of `now`, ms.
    pub fn next_wake(&self) -> u64 {
        let late = self.waits.values().map(|(_, until, _)| *until);
        let late = late.chain(self.reads.values().map(|confirming| confirming.confirm_by));
        let tides = self.lead.iter().filter_map(|lead| lead.tides.wake());
        late.chain(tides)
            .chain(self.claims.next_deadline())
            .chain([self.book.next_wake(), self.age_at, self.hint_at])
            .min()
            .unwrap_or(self.age_at)
    }

    /// Lets time pass; due whenever [`Replica::next_wake`] is reached. Early and late calls are harmless.
    pub fn tick(&mut self, now: u64) {
        if self.book.next_wake() <= now {
            self.turn(now, |book| book.tick(now));
        }
        if self.age_at <= now {
            self.age_at = now + AGE_MS;
            self.age(now);
        }
        self.turn_tides(now);
        self.turn_claims(now);
        if self.hint_at <= now {
            self.hint_at = now + HINT_MS;
            self.note_down(now);
        }
        self.give_up_late(now);
    }

    /// Messages of other members came in.
    pub fn receive(&mut self, now: u64, messages: Vec<Envelope>) {
        self.turn(now, |book| messages.into_iter().for_each(|message| book.step(now, message)));
    }

    /// What became of a write.
    pub fn written(&mut self, now: u64, ticket: u64, fine: bool) {
        self.turn(now, |book| match fine {
            true => book.written(now, ticket),
            false => book.write_failed(now, ticket),
        });
    }

    /// Other hosts where members may be found, for one that isn't a member.
    pub fn add_seed_hosts(&mut self, now: u64, hosts: &[String]) {
        self.turn(now, |book| book.add_seed_hosts(hosts));
    }

    /// The process is about to end: another machine that stands by is to take its place, until
    /// [`Consensus::may_stop`].
    pub fn leave(&mut self, now: u64) {
        self.turn(now, |book| book.leave(now));
    }

    /// The process is about to end: nobody needs to wait for its lead to run out.
    pub fn resign(&mut self, now: u64) {
        self.turn(now, |book| book.resign(now));
    }

    /// What is to be done now; see the crate's page.
    pub fn take_effects(&mut self) -> Effects {
        std::mem::take(&mut self.out)
    }

    /// Does something with the agreement, and all that follows from it.
    pub(crate) fn turn(&mut self, now: u64, act: impl FnOnce(&mut Consensus)) {
        act(&mut self.book);
        loop {
            let outputs = self.book.take_outputs();
            if outputs != Outputs::default() {
                self.carry_out(now, outputs);
                continue;
            }
            // One that is apart was elected all the same.
            if self.divergence.is_some() && self.book.is_leader() {
                self.book.resign(now);
                continue;
            }
            self.take_or_leave_lead(now);
            if self.settled.is_empty() {
                break;
            }
            // What goes on may put more on the log.
            for settled in std::mem::take(&mut self.settled) {
                self.go_on(now, settled);
            }
        }
        self.out.wake_changed = true;
    }

    fn carry_out(&mut self, now: u64, outputs: Outputs) {
        if let Some(snapshot) = outputs.restored_state {
            (self.divergence, self.changes) = (None, ConfigHistory::default());
            // The very first one holds only the members.
            match snapshot.state.is_empty() {
                true => self.state = ReplicatedState::default(),
                false => match ReplicatedState::from_text(&snapshot.state) {
                    Ok(state) => self.state = state,
                    // Written by this program and checked on the disk: a fault, but no reason to end.
                    Err(error) => self
                        .out
                        .events
                        .push(Event::SnapshotUnreadable { index: snapshot.index, error: error.to_string() }),
                },
            }
            (self.applied, self.snapshot_at) = (snapshot.index, snapshot.index);
            (self.snapshot_bytes, self.entry_bytes) = (snapshot.state.len(), 0);
        }
        let mut news = false;
        for entry in outputs.committed {
            debug_assert_eq!(entry.index, self.applied + 1, "a gap in what was committed");
            self.applied = entry.index;
            self.entry_bytes += entry.data().map_or(0, str::len);
            let mut is_silent = false;
            let outcome = entry.data().and_then(|data| match serde_json::from_str::<Entry>(data) {
                Ok(change) => {
                    is_silent = change.is_unpublished();
                    self.apply(now, entry.index, change)
                }
                Err(error) => {
                    let error = error.to_string();
                    self.out.events.push(Event::EntryUnreadable { index: entry.index, error });
                    None
                }
            });
            news |= !is_silent;
            if let Some((term, _, proposed)) = self.waits.remove(&entry.index) {
                // Another leader's entry in the place of ours: ours is not known to be taken.
                self.settled.push(Settled::Entry(proposed, outcome.filter(|_| term == entry.term)));
            }
            self.out.applied.push(entry);
        }
        self.rejoin(now);
        let (orders, order) = self.state.membership_order();
        if self.away_from != orders {
            self.away_from = orders;
            self.book.set_exclusions(order.excluded.clone());
            self.book.set_requested_host(order.requested_host.clone());
        }
        self.out.send.extend(outputs.send);
        self.out.writes.extend(outputs.writes);
        for (ticket, fine) in outputs.reads {
            let read = self.reads.remove(&ticket);
            let fine = fine && self.divergence.is_none();
            let settled = |one: Confirming| Settled::Read(one.reading, fine.then_some(one.answer_by));
            self.settled.extend(read.map(settled));
        }
        for index in outputs.unresolved {
            let wait = self.waits.remove(&index);
            self.settled.extend(wait.map(|(.., proposed)| Settled::Entry(proposed, None)));
        }
        if self.divergence.is_none() && self.snapshot_is_due() {
            self.take_snapshot(now);
        }
        if news {
            self.publish(now);
            self.out.changed = true;
        }
    }

    fn snapshot_is_due(&self) -> bool {
        let (least, most) = SNAPSHOT_ENTRIES;
        let entries = self.applied_since_snapshot();
        entries >= most || entries >= least && self.entry_bytes >= self.snapshot_bytes / SNAPSHOT_PART
    }

    fn take_snapshot(&mut self, now: u64) {
        let text = self.state.to_text();
        (self.snapshot_at, self.snapshot_bytes, self.entry_bytes) = (self.applied, text.len(), 0);
        self.book.snapshot(now, self.applied, text);
    }

    /// Gives up on what has waited for too long.
    fn give_up_late(&mut self, now: u64) {
        let late = |until: &u64| *until <= now;
        let waits: Vec<u64> =
            self.waits.iter().filter(|(_, wait)| late(&wait.1)).map(|(index, _)| *index).collect();
        for wait in waits.iter().filter_map(|index| self.waits.remove(index)) {
            self.settled.push(Settled::Entry(wait.2, None));
        }
        let reads: Vec<ReadTicket> =
            self.reads.iter().filter(|(_, read)| late(&read.confirm_by)).map(|(ticket, _)| *ticket).collect();
        for confirming in reads.iter().filter_map(|ticket| self.reads.remove(ticket)) {
            self.settled.push(Settled::Read(confirming.reading, None));
        }
        self.give_up_late_claims(now);
        if !self.settled.is_empty() {
            self.turn(now, |_| ());
        }
    }

    /// Says what is to be kept of servers and gateways, where that has changed.
    fn note_down(&mut self, now: u64) {
        // What has not changed is written again all the same, or it would pass for old.
        let old = now >= self.noted_at + HINT_AGAIN_MS;
        let known = match &self.lead {
            Some(lead) => (lead.term, lead.register.seq()),
            None => (self.copy.term(), self.copy.seq()),
        };
        if known == self.noted && !old {
            return;
        }
        let copy = match &self.lead {
            Some(lead) => {
                let mut copy = WatchCache::new();
                let ask = copy.watch_call(Caller::Core, &self.place.name, 0, None, 0);
                if let Some(answer) = lead.register.answer(now, &ask, 0) {
                    let _ = copy.apply(WatchAnswer { config: None, ..answer });
                }
                copy
            }
            None => self.copy.clone(),
        };
        if copy.is_complete() {
            (self.noted, self.noted_at) = (known, now);
            self.out.watch_cache_to_save = Some(copy);
        }
    }

    // ---- For followers ----

    /// Who leads, as far as is known here; never this machine.
    pub fn leader_redirect(&self) -> LeaderRedirect {
        let leader = self.book.leader().map(|member| member.host);
        LeaderRedirect { leader: leader.filter(|host| *host != self.place.host) }
    }

    /// The call that asks a leader for what is new.
    pub fn watch_call(&self, life: u64) -> WatchCall {
        let call = self.copy.watch_call(Caller::Core, &self.place.name, life, None, WATCH_HOLD_MS);
        WatchCall { diverged: self.wants_state(), ..call }
    }

    /// What a leader answered.
    ///
    /// # Errors
    /// It leads back.
    pub fn apply_watch_answer(
        &mut self,
        now: u64,
        mut answer: WatchAnswer,
    ) -> Result<CatalogUpdate, ApplyError> {
        // A leader's own registers are the truth.
        if self.lead.is_some() {
            return Ok(CatalogUpdate::default());
        }
        let restated = answer.state_transfer.take();
        let applied = self.copy.apply(answer)?;
        self.restated(now, restated);
        Ok(applied)
    }

    // ---- To look at ----

    /// The agreement.
    pub fn consensus(&self) -> &Consensus {
        &self.book
    }

    /// Index of the last entry that [`Replica::state`] holds.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Entries applied since the last snapshot of the log.
    pub fn applied_since_snapshot(&self) -> u64 {
        self.applied - self.snapshot_at
    }

    /// What the log makes.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// What a leader told, while another one leads.
    pub fn watch_cache(&self) -> &WatchCache {
        &self.copy
    }

    /// The registers and the counter, while this member leads.
    pub fn leader_state(&self) -> Option<(&Register, &Counter)> {
        self.lead.as_ref().map(|lead| (&lead.register, &lead.counter))
    }

    /// While this member leads: for how long it has known the oldest generation of keyed operations to be closed, ms.
    pub fn oldest_generation_age(&self, now: u64) -> Option<u64> {
        self.lead.as_ref()?.generations.oldest_closed_ms(now)
    }

    /// All gateways, as far as is known here.
    pub fn roster(&self) -> Rc<Vec<GatewayInfo>> {
        match &self.lead {
            Some(lead) => lead.register.roster(),
            None => self.copy.catalog().roster.clone(),
        }
    }
}
