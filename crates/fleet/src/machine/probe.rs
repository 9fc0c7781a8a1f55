//! Direct and indirect probes: one ping a slot by the common clock, and helpers for those that do not answer.

use super::parameters::{mix, HEALTH_MOST, HELPERS};
use super::pending::{Probe, Relay};
use super::{Cause, Membership};
use crate::view::{Member, MemberState};
use crate::wire::Body;

/// A ping unanswered for this part of a slot is sent again and asked of helpers.
const DIRECT_PART: f64 = 0.3;
/// Pings of a slot at most, when one after another goes unanswered: many failures at once are found out sooner.
const PINGS_MOST: usize = 4;
/// Silent gateways are asked once in so many slots, so that two halves find one another again.
const ASK_GONE_SLOTS: i64 = 2;
/// After a start, silent ones are asked each slot for so long, ms.
const STARTUP_MS: f64 = 10_000.0;
/// A helper answers its asker after this part of a slot at the latest.
const RELAY_PART: f64 = 0.4;
/// Pings in other gateways' place that are open at once at most.
const RELAYS_MOST: usize = 32;

impl Membership {
    pub(super) fn slot_of(&self, now: f64) -> i64 {
        ((now + self.phase_ms) / self.slot_ms).floor() as i64
    }

    pub(super) fn patience(&self, asked_helpers: bool) -> f64 {
        let part = if asked_helpers { 0.9 } else { DIRECT_PART };
        part * self.slot_ms * (1.0 + f64::from(self.health) / 2.0)
    }

    // ---- Probes ----

    pub(super) fn run_slot(&mut self) {
        let slot = self.slot_of(self.now);
        if slot == self.slot {
            return;
        }
        self.slot = slot;
        self.pinged = 0;
        if self.yielded {
            return;
        }
        if !self.leaving {
            self.probe_next();
        }
        let green = self.now < self.started + STARTUP_MS;
        // So many at once are rather cut off than dead: the sooner they are met again the better.
        let cut = self.view.count(MemberState::Gone) * 4 > self.view.len();
        if green || cut || slot.rem_euclid(ASK_GONE_SLOTS) == 0 {
            self.ask_silent();
        }
        if let Some(at) = self.differs.take().and_then(|number| self.view.index_of(number)) {
            let (from, to) = self.number_range();
            self.compare(at, from, to);
        }
    }
    pub(super) fn probe_next(&mut self) {
        let size = self.view.len();
        if size < 2 {
            return;
        }
        // Those never heard of are asked apart: they may not be there yet, and each that is not would cost helpers,
        // health and further pings, until too little was left to answer those that live.
        let wanted = |member: &Member| matches!(member.state, MemberState::Alive | MemberState::Suspect);
        // Ranks among those that live, not in the roster: whoever stood behind a run of dead ones got the pings of
        // them all, more than it could answer, and was suspected for it.
        let ring: Vec<usize> =
            (0..size).filter(|at| *at == self.at || wanted(self.view.member(*at))).collect();
        let rank = ring.partition_point(|at| *at < self.at);
        let drawn = mix(self.slot as u64 ^ ((self.pinged as u64) << 48)) as f64 / u64::MAX as f64;
        let step = 1 + (drawn * ring.len().saturating_sub(1) as f64) as usize;
        let turn = (0..ring.len()).map(|on| ring[(rank + step + on) % ring.len()]);
        let found =
            turn.into_iter().find(|at| *at != self.at && self.probes.iter().all(|probe| probe.at != *at));
        let Some(at) = found else { return };
        self.pinged += 1;
        let seq = self.next_seq();
        self.probes.push(Probe { at, seq, sent: self.now, asked_helpers: false, nacked: false });
        self.send(at, Body::Ping(seq), true);
    }

    pub(super) fn next_seq(&mut self) -> u16 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    pub(super) fn run_probes(&mut self) {
        for probe in self.advance_probes() {
            self.probe_failed(&probe);
        }
        self.end_relays();
    }

    /// Asks helpers where a direct ping was not answered; yields the probes that helpers could not save either.
    fn advance_probes(&mut self) -> Vec<Probe> {
        let mut failed = Vec::new();
        for index in (0..self.probes.len()).rev() {
            let probe = &self.probes[index];
            if self.now < probe.sent + self.patience(probe.asked_helpers) {
                continue;
            }
            let (at, seq, asked) = (probe.at, probe.seq, probe.asked_helpers);
            if asked {
                failed.push(self.probes.swap_remove(index));
                continue;
            }
            self.probes[index].asked_helpers = true;
            self.send(at, Body::Ping(seq), true);
            self.ask_helpers(at, seq);
            // Whether it is one or most of the fleet is known sooner if the next is not waited for.
            let room = self.budget > 0.5 * self.rate;
            if room && self.pinged < PINGS_MOST && !self.yielded && !self.leaving {
                self.probe_next();
            }
        }
        failed
    }

    fn ask_helpers(&mut self, at: usize, seq: u16) {
        let number = self.view.roster_entry(at).number;
        // With many suspected most helpers are dead as well, and what they cost is lacking for the news of it.
        let helpers = if self.suspicions.len() * 10 > self.view.len() { 1 } else { HELPERS };
        for _ in 0..helpers {
            let helper = self.random_member(|member| member.state == MemberState::Alive);
            if let Some(helper) = helper.filter(|helper| *helper != at) {
                self.send(helper, Body::PingFor { number, seq }, true);
            }
        }
    }

    fn probe_failed(&mut self, probe: &Probe) {
        if self.view.member(probe.at).last_received_ms >= probe.sent {
            return;
        }
        // Nobody was heard meanwhile, not even a helper that heard nothing: perhaps it is this gateway that is cut
        // off or slow. (Helpers alone don't tell: when many fail at once most of them are dead, too.)
        if !probe.nacked && self.heard < probe.sent && self.view.count(MemberState::Alive) > 2 {
            self.health = (self.health + 1).min(HEALTH_MOST);
        }
        self.suspect(probe.at, self.me, Cause::ProbeFailed);
    }

    /// Tells the askers of pings that were not answered in time.
    fn end_relays(&mut self) {
        let mut nacks = Vec::new();
        let now = self.now;
        self.relays.retain(|relay| {
            let over = now >= relay.until;
            if over {
                nacks.push((relay.asker, relay.asked));
            }
            !over
        });
        for (asker, seq) in nacks {
            if let Some(at) = self.view.index_of(asker) {
                self.send(at, Body::Nack(seq), true);
            }
        }
    }

    /// Pings a member in the asker's place.
    pub(super) fn relay_ping(&mut self, asker: usize, number: u16, asked: u16) {
        let Some(target) = self.view.index_of(number).filter(|target| *target != self.at) else {
            return;
        };
        // Helping is bounded: a flood of wishes must not become one of pings.
        if self.relays.len() < RELAYS_MOST && self.budget > 0.0 {
            let seq = self.next_seq();
            let until = self.now + RELAY_PART * self.slot_ms;
            let asker = self.view.roster_entry(asker).number;
            self.relays.push(Relay { asker, asked, seq, until });
            self.send(target, Body::Ping(seq), true);
        }
    }

    /// A ping was answered: by its receiver, for an asker, or through a helper.
    pub(super) fn acknowledged(&mut self, at: usize, seq: u16) {
        if let Some(index) = self.probes.iter().position(|probe| probe.seq == seq && probe.at == at) {
            self.probes.swap_remove(index);
            self.health = self.health.saturating_sub(1);
        } else if let Some(index) = self.relays.iter().position(|relay| relay.seq == seq) {
            let relay = self.relays.swap_remove(index);
            if let Some(asker) = self.view.index_of(relay.asker) {
                self.send(asker, Body::Ack(relay.asked), true);
            }
        } else if let Some(index) = self.probes.iter().position(|probe| probe.seq == seq) {
            // Through a helper.
            self.probes.swap_remove(index);
        }
    }

    /// A helper heard nothing either.
    pub(super) fn not_acknowledged(&mut self, seq: u16) {
        self.probes.iter_mut().filter(|probe| probe.seq == seq).for_each(|probe| probe.nacked = true);
    }

    /// A ping to one that is held to be gone, or was never heard of: it may be beyond a cut that has ended.
    pub(super) fn ask_silent(&mut self) {
        let silent = |member: &Member| {
            matches!(member.state, MemberState::Gone | MemberState::Unknown | MemberState::Leaving)
        };
        let count = |state| self.view.count(state);
        if count(MemberState::Gone) + count(MemberState::Unknown) + count(MemberState::Leaving) == 0 {
            return;
        }
        if let Some(at) = self.random_member(silent) {
            let seq = self.next_seq();
            self.send(at, Body::Ping(seq), false);
        }
    }

    /// Some member other than this gateway, by lot.
    pub(super) fn random_member(&mut self, wanted: impl Fn(&Member) -> bool) -> Option<usize> {
        let size = self.view.len();
        let first = self.rng.usize(0..size);
        // From a place by lot onwards in steps that meet every place: long runs of the unwanted favour nobody.
        let step = (1..).map(|by| (size / 3 + by) | 1).find(|step| gcd(*step, size) == 1).unwrap_or(1);
        let order = (0..size).map(|on| (first + on * step) % size);
        order.into_iter().find(|at| *at != self.at && wanted(self.view.member(*at)))
    }
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        gcd(b, a % b)
    }
}
