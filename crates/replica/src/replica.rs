//! The state machine of a member: time, messages, the disk, and the handling of what consensus puts out.

use crate::change::CheckedConfig;
use crate::divergence::Divergence;
use crate::effects::{Effects, Event, Ticket};
use crate::follower::WATCH_HOLD_MS;
use crate::leader::Lead;
use crate::pending_calls::{PendingRead, Proposal, Resolved};
use crate::state::{Entry, ReplicatedState};
use nickeljunction_consensus::{Consensus, Envelope, Outputs, ReadTicket, Restored, Tuning};
use nickeljunction_messages::{Caller, GatewayInfo, LeaderRedirect, WatchAnswer, WatchCall};
use nickeljunction_operations::ClaimBatcher;
use nickeljunction_quota::Counter;
use nickeljunction_registry::{ApplyError, CatalogUpdate, ConfigHistory, Register, WatchCache};
use nickeljunction_schema::Bounds;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Interval at which a leader expires what is old, ms.
const LEAD_TICK_MS: u64 = 200;
/// Interval at which the watch cache is checked for changes to save, ms.
const CACHE_SAVE_INTERVAL_MS: u64 = 500;
/// The watch cache is saved again after this time even if it has not changed, ms: otherwise it would count as outdated.
const CACHE_REFRESH_MS: u64 = 3_000;
/// An older saved watch cache is of no use to the next process, ms: live servers have sent heartbeats since.
pub const SAVED_CACHE_MAX_AGE_MS: u64 = 8_000;
/// Fewest and most entries applied between two snapshots of the log.
const SNAPSHOT_ENTRIES: (u64, u64) = (64, 4_096);
/// Between those two bounds, a snapshot is taken once the entries since the last one have its size divided by this. So a
/// large state isn't written for every few small entries.
const SNAPSHOT_SIZE_DIVISOR: usize = 4;

/// What a member has to know about itself.
#[derive(Debug, Clone)]
pub struct MemberConfig {
    /// Name of this machine.
    pub name: String,
    /// IP address of this machine.
    pub host: String,
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Cluster-wide figures, such as the quota window.
    pub bounds: Bounds,
    /// Approximate interval of the servers' heartbeats, ms.
    pub heartbeat_ms: u64,
}

/// One core member. The crate's documentation describes how to drive it.
#[derive(Debug)]
pub struct Replica {
    pub(crate) member_config: Rc<MemberConfig>,
    /// A leader that no majority has answered for this long answers no calls, ms: less than the time in which another leader
    /// can be elected.
    pub(crate) lease_ms: u64,
    pub(crate) consensus: Consensus,
    pub(crate) state: ReplicatedState,
    /// Index of the last entry that is applied to `state`, or held by `divergence`.
    pub(crate) applied_index: u64,
    /// Present while `state` doesn't match the log.
    pub(crate) divergence: Option<Divergence>,
    /// What the latest entries changed in the document.
    pub(crate) changes: ConfigHistory,
    /// The document that was validated here last.
    pub(crate) checked: Option<CheckedConfig>,
    snapshot_index: u64,
    /// Bytes of the last snapshot, and of the entries applied since.
    snapshot_bytes: usize,
    entry_bytes: usize,
    /// Number of membership orders that `consensus` has.
    applied_orders: u64,
    pub(crate) lead: Option<Lead>,
    pub(crate) watch_cache: WatchCache,
    pub(crate) next_ticket: Ticket,
    /// Calls whose entries are not committed yet, by index, with the entry's term and the deadline.
    pub(crate) proposals: BTreeMap<u64, (u64, u64, Proposal)>,
    /// Claims of keyed operations that wait to be put in an entry.
    pub(crate) claims: ClaimBatcher,
    /// Calls that wait until a majority has confirmed this member as leader.
    pub(crate) pending_reads: BTreeMap<ReadTicket, PendingRead>,
    /// Confirmed reads and decided entries, to be handled next.
    pub(crate) resolved: Vec<Resolved>,
    next_lead_tick: u64,
    next_cache_save: u64,
    /// Term and sequence number of the watch cache that was saved last.
    saved_revision: (u64, u64),
    /// When it was saved, ms.
    saved_at: u64,
    pub(crate) effects: Effects,
}

impl Replica {
    /// A member that has loaded its disk. `seed` is for the random part of election time-outs and must differ between
    /// machines.
    pub fn new(
        member_config: Rc<MemberConfig>,
        restored: Restored,
        tuning: Tuning,
        seed: u64,
        now: u64,
    ) -> Replica {
        Replica {
            member_config,
            lease_ms: tuning.election_min_ms,
            consensus: Consensus::new(restored, tuning, seed, now),
            state: ReplicatedState::default(),
            applied_index: 0,
            divergence: None,
            changes: ConfigHistory::default(),
            checked: None,
            snapshot_index: 0,
            snapshot_bytes: 0,
            entry_bytes: 0,
            applied_orders: 0,
            lead: None,
            watch_cache: WatchCache::new(),
            next_ticket: 0,
            proposals: BTreeMap::new(),
            claims: ClaimBatcher::default(),
            pending_reads: BTreeMap::new(),
            resolved: Vec::new(),
            next_lead_tick: now + LEAD_TICK_MS,
            next_cache_save: now + CACHE_SAVE_INTERVAL_MS,
            saved_revision: (0, 0),
            saved_at: 0,
            effects: Effects::default(),
        }
    }

    /// Loads the servers and gateways that this machine's previous process had saved.
    pub fn load_watch_cache(&mut self, cache: WatchCache) {
        self.watch_cache = cache;
    }

    // ---- Time, messages, disk ----

    /// When [`Replica::tick`] is due, by the clock of `now`, ms.
    pub fn next_wake(&self) -> u64 {
        let proposals = self.proposals.values().map(|(_, deadline, _)| *deadline);
        let reads = self.pending_reads.values().map(|pending| pending.confirm_by);
        let trials = self.lead.iter().filter_map(|lead| lead.trials.next_due());
        proposals
            .chain(reads)
            .chain(trials)
            .chain(self.claims.next_deadline())
            .chain([self.consensus.next_wake(), self.next_lead_tick, self.next_cache_save])
            .min()
            .unwrap_or(self.next_lead_tick)
    }

    /// Handles what is due by `now`. To be called at [`Replica::next_wake`]; early and late calls are harmless.
    pub fn tick(&mut self, now: u64) {
        if self.consensus.next_wake() <= now {
            self.advance(now, |consensus| consensus.tick(now));
        }
        if self.next_lead_tick <= now {
            self.next_lead_tick = now + LEAD_TICK_MS;
            self.tick_lead(now);
        }
        self.propose_due_stages(now);
        self.flush_claims(now);
        if self.next_cache_save <= now {
            self.next_cache_save = now + CACHE_SAVE_INTERVAL_MS;
            self.save_watch_cache(now);
        }
        self.expire_calls(now);
    }

    /// Handles messages from other members.
    pub fn receive(&mut self, now: u64, messages: Vec<Envelope>) {
        self.advance(now, |consensus| messages.into_iter().for_each(|message| consensus.step(now, message)));
    }

    /// Handles the end of a write.
    pub fn written(&mut self, now: u64, ticket: u64, succeeded: bool) {
        self.advance(now, |consensus| match succeeded {
            true => consensus.written(now, ticket),
            false => consensus.write_failed(now, ticket),
        });
    }

    /// Adds hosts at which members may be found, for a machine that isn't a member.
    pub fn add_seed_hosts(&mut self, now: u64, hosts: &[String]) {
        self.advance(now, |consensus| consensus.add_seed_hosts(hosts));
    }

    /// The process is about to end: a standby machine has to take its place before [`Consensus::may_stop`] allows the end.
    pub fn leave(&mut self, now: u64) {
        self.advance(now, |consensus| consensus.leave(now));
    }

    /// The process is about to end: it gives up its lead, so that the others need not wait for an election time-out.
    pub fn resign(&mut self, now: u64) {
        self.advance(now, |consensus| consensus.resign(now));
    }

    /// What the driver has to do now; see the crate's documentation.
    pub fn take_effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    /// Runs `act` on consensus and handles everything that follows from it.
    pub(crate) fn advance(&mut self, now: u64, act: impl FnOnce(&mut Consensus)) {
        act(&mut self.consensus);
        loop {
            let outputs = self.consensus.take_outputs();
            if outputs != Outputs::default() {
                self.apply_outputs(now, outputs);
                continue;
            }
            // A member whose state is diverged may be elected all the same.
            if self.divergence.is_some() && self.consensus.is_leader() {
                self.consensus.resign(now);
                continue;
            }
            self.update_lead(now);
            if self.resolved.is_empty() {
                break;
            }
            // Handling these may propose further entries.
            for resolved in std::mem::take(&mut self.resolved) {
                self.handle_resolved(now, resolved);
            }
        }
        self.effects.wake_changed = true;
    }

    fn apply_outputs(&mut self, now: u64, outputs: Outputs) {
        if let Some(snapshot) = outputs.restored_state {
            (self.divergence, self.changes) = (None, ConfigHistory::default());
            // The first snapshot of a core has only its members.
            match snapshot.state.is_empty() {
                true => self.state = ReplicatedState::default(),
                false => match ReplicatedState::from_text(&snapshot.state) {
                    Ok(state) => self.state = state,
                    // This program wrote it and its checksum is right, so this is a bug, but no reason to stop.
                    Err(error) => self
                        .effects
                        .events
                        .push(Event::SnapshotUnreadable { index: snapshot.index, error: error.to_string() }),
                },
            }
            (self.applied_index, self.snapshot_index) = (snapshot.index, snapshot.index);
            (self.snapshot_bytes, self.entry_bytes) = (snapshot.state.len(), 0);
        }
        let mut needs_publish = false;
        for entry in outputs.committed {
            debug_assert_eq!(entry.index, self.applied_index + 1, "committed entries have a gap");
            self.applied_index = entry.index;
            self.entry_bytes += entry.data().map_or(0, str::len);
            let mut is_unpublished = false;
            let outcome = entry.data().and_then(|data| match serde_json::from_str::<Entry>(data) {
                Ok(change) => {
                    is_unpublished = change.is_unpublished();
                    self.apply(now, entry.index, change)
                }
                Err(error) => {
                    let error = error.to_string();
                    self.effects.events.push(Event::EntryUnreadable { index: entry.index, error });
                    None
                }
            });
            needs_publish |= !is_unpublished;
            if let Some((term, _, proposal)) = self.proposals.remove(&entry.index) {
                // If another leader's entry is at our index, the outcome of ours is unknown.
                self.resolved.push(Resolved::Entry(proposal, outcome.filter(|_| term == entry.term)));
            }
            self.effects.applied.push(entry);
        }
        self.install_state_transfer(now);
        let (orders, order) = self.state.membership_order();
        if self.applied_orders != orders {
            self.applied_orders = orders;
            self.consensus.set_exclusions(order.excluded.clone());
            self.consensus.set_requested_host(order.requested_host.clone());
        }
        self.effects.send.extend(outputs.send);
        self.effects.writes.extend(outputs.writes);
        for (ticket, is_confirmed) in outputs.reads {
            let pending = self.pending_reads.remove(&ticket);
            let is_confirmed = is_confirmed && self.divergence.is_none();
            let resolved =
                |read: PendingRead| Resolved::Read(read.call, is_confirmed.then_some(read.answer_by));
            self.resolved.extend(pending.map(resolved));
        }
        for index in outputs.unresolved {
            let pending = self.proposals.remove(&index);
            self.resolved.extend(pending.map(|(.., proposal)| Resolved::Entry(proposal, None)));
        }
        if self.divergence.is_none() && self.snapshot_is_due() {
            self.take_snapshot(now);
        }
        if needs_publish {
            self.publish(now);
            self.effects.changed = true;
        }
    }

    fn snapshot_is_due(&self) -> bool {
        let (fewest, most) = SNAPSHOT_ENTRIES;
        let entries = self.applied_since_snapshot();
        entries >= most
            || entries >= fewest && self.entry_bytes >= self.snapshot_bytes / SNAPSHOT_SIZE_DIVISOR
    }

    fn take_snapshot(&mut self, now: u64) {
        let text = self.state.to_text();
        (self.snapshot_index, self.snapshot_bytes, self.entry_bytes) = (self.applied_index, text.len(), 0);
        self.consensus.snapshot(now, self.applied_index, text);
    }

    /// Ends the calls whose deadline has passed.
    fn expire_calls(&mut self, now: u64) {
        let has_expired = |deadline: &u64| *deadline <= now;
        let expired_proposals: Vec<u64> = self
            .proposals
            .iter()
            .filter(|(_, (_, deadline, _))| has_expired(deadline))
            .map(|(index, _)| *index)
            .collect();
        for (.., proposal) in expired_proposals.iter().filter_map(|index| self.proposals.remove(index)) {
            self.resolved.push(Resolved::Entry(proposal, None));
        }
        let expired_reads: Vec<ReadTicket> = self
            .pending_reads
            .iter()
            .filter(|(_, read)| has_expired(&read.confirm_by))
            .map(|(ticket, _)| *ticket)
            .collect();
        for pending in expired_reads.iter().filter_map(|ticket| self.pending_reads.remove(ticket)) {
            self.resolved.push(Resolved::Read(pending.call, None));
        }
        self.expire_claims(now);
        if !self.resolved.is_empty() {
            self.advance(now, |_| ());
        }
    }

    /// Has the servers and gateways saved for the next process, if they have changed or the saved ones are about to become
    /// outdated.
    fn save_watch_cache(&mut self, now: u64) {
        let needs_refresh = now >= self.saved_at + CACHE_REFRESH_MS;
        let revision = match &self.lead {
            Some(lead) => (lead.term, lead.register.seq()),
            None => (self.watch_cache.term(), self.watch_cache.seq()),
        };
        if revision == self.saved_revision && !needs_refresh {
            return;
        }
        let cache = match &self.lead {
            Some(lead) => {
                let mut cache = WatchCache::new();
                let call = cache.watch_call(Caller::Core, &self.member_config.name, 0, None, 0);
                if let Some(answer) = lead.register.answer(now, &call, 0) {
                    let _ = cache.apply(WatchAnswer { config: None, ..answer });
                }
                cache
            }
            None => self.watch_cache.clone(),
        };
        if cache.is_complete() {
            (self.saved_revision, self.saved_at) = (revision, now);
            self.effects.watch_cache_to_save = Some(cache);
        }
    }

    // ---- For followers ----

    /// The leader, as far as this member knows; never this machine itself.
    pub fn leader_redirect(&self) -> LeaderRedirect {
        let leader = self.consensus.leader().map(|member| member.host);
        LeaderRedirect { leader: leader.filter(|host| *host != self.member_config.host) }
    }

    /// The call by which a follower gets changes from the leader.
    pub fn watch_call(&self, incarnation: u64) -> WatchCall {
        let call = self.watch_cache.watch_call(
            Caller::Core,
            &self.member_config.name,
            incarnation,
            None,
            WATCH_HOLD_MS,
        );
        WatchCall { diverged: self.needs_state_transfer(), ..call }
    }

    /// Applies the leader's answer to the watch call.
    ///
    /// # Errors
    /// The answer is older than what is known here.
    pub fn apply_watch_answer(
        &mut self,
        now: u64,
        mut answer: WatchAnswer,
    ) -> Result<CatalogUpdate, ApplyError> {
        // A leader's own register is authoritative.
        if self.lead.is_some() {
            return Ok(CatalogUpdate::default());
        }
        let transfer = answer.state_transfer.take();
        let update = self.watch_cache.apply(answer)?;
        self.receive_state_transfer(now, transfer);
        Ok(update)
    }

    // ---- To inspect ----

    /// The consensus state of this member.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// Index of the last entry that is applied to [`Replica::state`], or held while that is diverged.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Entries applied since the last snapshot of the log.
    pub fn applied_since_snapshot(&self) -> u64 {
        self.applied_index - self.snapshot_index
    }

    /// The state that results from the log.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// The servers, gateways and configuration as received from the leader, while another member leads.
    pub fn watch_cache(&self) -> &WatchCache {
        &self.watch_cache
    }

    /// The register and the counter, while this member leads.
    pub fn leader_state(&self) -> Option<(&Register, &Counter)> {
        self.lead.as_ref().map(|lead| (&lead.register, &lead.counter))
    }

    /// While this member leads: how long ago it learned that the oldest generation of keyed operations is closed, ms.
    pub fn oldest_generation_age(&self, now: u64) -> Option<u64> {
        self.lead.as_ref()?.generations.oldest_closed_ms(now)
    }

    /// All gateways that this member knows.
    pub fn roster(&self) -> Rc<Vec<GatewayInfo>> {
        match &self.lead {
            Some(lead) => lead.register.roster(),
            None => self.watch_cache.catalog().roster.clone(),
        }
    }
}
