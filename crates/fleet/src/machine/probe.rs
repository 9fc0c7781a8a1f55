//! Failure detection: one direct ping per slot by the common clock, and indirect pings through helpers for members that
//! do not answer.

use super::parameters::{hash, MAX_LOCAL_HEALTH, PROBE_FANOUT};
use super::pending::{Probe, Relay};
use super::{Cause, Membership};
use crate::view::{Member, MemberState};
use crate::wire::Body;

/// Slots until an unanswered ping is repeated and helpers are asked.
const DIRECT_TIMEOUT_SLOTS: f64 = 0.3;
/// Slots from the first ping until the probe has failed.
const PROBE_TIMEOUT_SLOTS: f64 = 0.9;
/// Most pings per slot when successive pings stay unanswered: this detects simultaneous failures sooner.
const MAX_PINGS_PER_SLOT: usize = 4;
/// Interval in slots of pings to unreachable members, by which the two sides of a partition find each other again.
const UNREACHABLE_PING_SLOTS: i64 = 2;
/// Time after a start with a ping to an unreachable member in each slot, ms.
const STARTUP_MS: f64 = 10_000.0;
/// Slots until a helper reports an unanswered ping to the requester.
const RELAY_TIMEOUT_SLOTS: f64 = 0.4;
/// Most simultaneous pings on behalf of other gateways.
const MAX_OPEN_RELAYS: usize = 32;

impl Membership {
    pub(super) fn slot_at(&self, now_ms: f64) -> i64 {
        ((now_ms + self.phase_ms) / self.slot_ms).floor() as i64
    }

    pub(super) fn probe_timeout_ms(&self, asked_helpers: bool) -> f64 {
        let slots = if asked_helpers { PROBE_TIMEOUT_SLOTS } else { DIRECT_TIMEOUT_SLOTS };
        slots * self.slot_ms * (1.0 + f64::from(self.local_health) / 2.0)
    }

    pub(super) fn run_slot(&mut self) {
        let slot = self.slot_at(self.now_ms);
        if slot == self.slot {
            return;
        }
        self.slot = slot;
        self.pings_in_slot = 0;
        if self.yielded {
            return;
        }
        if !self.leaving {
            self.probe_next();
        }
        let just_started = self.now_ms < self.started_ms + STARTUP_MS;
        // Many members that are gone at once rather indicate a partition than crashes: find them again soon.
        let partitioned = self.view.count(MemberState::Gone) * 4 > self.view.len();
        if just_started || partitioned || slot.rem_euclid(UNREACHABLE_PING_SLOTS) == 0 {
            self.ping_unreachable();
        }
        if let Some(peer) = self.differing_peer.take().and_then(|number| self.view.index_of(number)) {
            let (first, end) = self.number_range();
            self.compare_range(peer, first, end);
        }
    }

    /// Pings the member whose turn it is; each further ping in the slot has another target.
    pub(super) fn probe_next(&mut self) {
        let size = self.view.len();
        if size < 2 {
            return;
        }
        // Unknown members are pinged separately: they may not have started yet, and each failed probe would cost
        // helpers, local health and further pings, until too little budget was left to answer the live members.
        let is_probed = |member: &Member| matches!(member.state, MemberState::Alive | MemberState::Suspect);
        // The distance counts live members, not roster positions: otherwise the member behind a run of dead ones would
        // get the pings for all of them, more than it can answer, and would be suspected for it.
        let ring: Vec<usize> = (0..size)
            .filter(|index| *index == self.own_index || is_probed(self.view.member(*index)))
            .collect();
        let own_rank = ring.partition_point(|index| *index < self.own_index);
        let random = hash(self.slot as u64 ^ ((self.pings_in_slot as u64) << 48)) as f64 / u64::MAX as f64;
        let distance = 1 + (random * ring.len().saturating_sub(1) as f64) as usize;
        let mut candidates = (0..ring.len()).map(|offset| ring[(own_rank + distance + offset) % ring.len()]);
        let target = candidates
            .find(|index| *index != self.own_index && self.probes.iter().all(|probe| probe.target != *index));
        let Some(target) = target else { return };
        self.pings_in_slot += 1;
        let seq = self.next_seq();
        self.probes.push(Probe { target, seq, sent_ms: self.now_ms, asked_helpers: false, nacked: false });
        self.send(target, Body::Ping(seq), true);
    }

    pub(super) fn next_seq(&mut self) -> u16 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    pub(super) fn run_probes(&mut self) {
        for probe in self.expire_probes() {
            self.probe_failed(&probe);
        }
        self.expire_relays();
    }

    /// Asks helpers about members that did not answer a direct ping. Returns the probes that failed even so.
    fn expire_probes(&mut self) -> Vec<Probe> {
        let mut failed = Vec::new();
        for index in (0..self.probes.len()).rev() {
            let probe = &self.probes[index];
            if self.now_ms < probe.sent_ms + self.probe_timeout_ms(probe.asked_helpers) {
                continue;
            }
            let (target, seq, asked_helpers) = (probe.target, probe.seq, probe.asked_helpers);
            if asked_helpers {
                failed.push(self.probes.swap_remove(index));
                continue;
            }
            self.probes[index].asked_helpers = true;
            self.send(target, Body::Ping(seq), true);
            self.request_indirect_probes(target, seq);
            // Probing the next member without waiting for its slot shows sooner whether one member or most have failed.
            let has_budget = self.send_budget > 0.5 * self.send_rate_per_s;
            if has_budget && self.pings_in_slot < MAX_PINGS_PER_SLOT && !self.yielded && !self.leaving {
                self.probe_next();
            }
        }
        failed
    }

    fn request_indirect_probes(&mut self, target: usize, seq: u16) {
        let number = self.view.roster_entry(target).number;
        // With many suspects most helpers are dead as well, and the requests use up the budget for gossip about them.
        let helpers = if self.suspicions.len() * 10 > self.view.len() { 1 } else { PROBE_FANOUT };
        for _ in 0..helpers {
            let helper = self.random_member(|member| member.state == MemberState::Alive);
            if let Some(helper) = helper.filter(|helper| *helper != target) {
                self.send(helper, Body::PingRequest { number, seq }, true);
            }
        }
    }

    fn probe_failed(&mut self, probe: &Probe) {
        if self.view.member(probe.target).last_received_ms >= probe.sent_ms {
            return;
        }
        // No datagram arrived since the ping, not even a nack from a helper: this gateway may itself be partitioned or
        // slow. (Missing nacks alone do not show it: when many members fail at once most helpers are dead, too.)
        if !probe.nacked && self.last_received_ms < probe.sent_ms && self.view.count(MemberState::Alive) > 2 {
            self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
        }
        self.suspect(probe.target, self.own_number, Cause::ProbeFailed);
    }

    /// Sends nacks to the requesters of pings that were not answered in time.
    fn expire_relays(&mut self) {
        let mut nacks = Vec::new();
        let now_ms = self.now_ms;
        self.relays.retain(|relay| {
            let expired = now_ms >= relay.until_ms;
            if expired {
                nacks.push((relay.requester, relay.requester_seq));
            }
            !expired
        });
        for (requester, seq) in nacks {
            if let Some(requester) = self.view.index_of(requester) {
                self.send(requester, Body::Nack(seq), true);
            }
        }
    }

    /// Pings a member on behalf of the requester.
    pub(super) fn relay_ping(&mut self, requester: usize, number: u16, requester_seq: u16) {
        let Some(target) = self.view.index_of(number).filter(|target| *target != self.own_index) else {
            return;
        };
        // Relays are limited: a flood of requests must not become a flood of pings.
        if self.relays.len() < MAX_OPEN_RELAYS && self.send_budget > 0.0 {
            let seq = self.next_seq();
            let until_ms = self.now_ms + RELAY_TIMEOUT_SLOTS * self.slot_ms;
            let requester = self.view.roster_entry(requester).number;
            self.relays.push(Relay { requester, requester_seq, seq, until_ms });
            self.send(target, Body::Ping(seq), true);
        }
    }

    /// Handles the answer to a direct ping, to a relayed one, or to an indirect one through a helper.
    pub(super) fn handle_ack(&mut self, peer: usize, seq: u16) {
        if let Some(index) = self.probes.iter().position(|probe| probe.seq == seq && probe.target == peer) {
            self.probes.swap_remove(index);
            self.local_health = self.local_health.saturating_sub(1);
        } else if let Some(index) = self.relays.iter().position(|relay| relay.seq == seq) {
            let relay = self.relays.swap_remove(index);
            if let Some(requester) = self.view.index_of(relay.requester) {
                self.send(requester, Body::Ack(relay.requester_seq), true);
            }
        } else if let Some(index) = self.probes.iter().position(|probe| probe.seq == seq) {
            // Through a helper.
            self.probes.swap_remove(index);
        }
    }

    /// A helper got no answer either.
    pub(super) fn handle_nack(&mut self, seq: u16) {
        self.probes.iter_mut().filter(|probe| probe.seq == seq).for_each(|probe| probe.nacked = true);
    }

    /// Pings a random member that is gone, leaving or unknown: it may be reachable again after a partition.
    pub(super) fn ping_unreachable(&mut self) {
        let is_unreachable = |member: &Member| {
            matches!(member.state, MemberState::Gone | MemberState::Unknown | MemberState::Leaving)
        };
        let count = |state| self.view.count(state);
        if count(MemberState::Gone) + count(MemberState::Unknown) + count(MemberState::Leaving) == 0 {
            return;
        }
        if let Some(peer) = self.random_member(is_unreachable) {
            let seq = self.next_seq();
            self.send(peer, Body::Ping(seq), false);
        }
    }

    /// A random member other than this gateway that fulfils the condition.
    pub(super) fn random_member(&mut self, is_eligible: impl Fn(&Member) -> bool) -> Option<usize> {
        let size = self.view.len();
        let start = self.rng.usize(0..size);
        // From a random start, steps that are coprime to the size visit every member once. With steps of 1 the member
        // behind a long run of ineligible ones would be chosen too often.
        let step = (1..)
            .map(|add| (size / 3 + add) | 1)
            .find(|step| greatest_common_divisor(*step, size) == 1)
            .unwrap_or(1);
        let order = (0..size).map(|count| (start + count * step) % size);
        order.into_iter().find(|index| *index != self.own_index && is_eligible(self.view.member(*index)))
    }
}

fn greatest_common_divisor(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        greatest_common_divisor(b, a % b)
    }
}
