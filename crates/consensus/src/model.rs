//! For the model of the tests alone (feature `model`): a [`Consensus`] that can be copied, compared and set back in
//! time, and guards that can be disabled one at a time.

use crate::entry::Entry;
pub use crate::guards::{disable_guards, Guard};
use crate::state::{Consensus, Role};
use std::hash::{Hash, Hasher};

impl Consensus {
    /// Sets the clock to `now` and shifts all remembered times with it; a time before 0 becomes 0. The random
    /// generator is seeded again, and the election deadline is due.
    pub fn set_clock(&mut self, now: u64) {
        let previous = self.now;
        let shift = |time: u64| (time + now).saturating_sub(previous);
        self.now = now;
        self.rng = fastrand::Rng::with_seed(0);
        self.leader_contact_at = self.leader_contact_at.map(shift);
        self.leaderless_since = shift(self.leaderless_since);
        self.election_deadline = now;
        self.next_join_at = shift(self.next_join_at);
        self.redirect_followed_at = self.redirect_followed_at.map(shift);
        self.departing.iter_mut().for_each(|(_, announced_at)| *announced_at = shift(*announced_at));
        self.disk.retry_due = self.disk.retry_due.map(shift);
        if let Role::Leader(leader_state) = &mut self.role {
            leader_state.shift_times(shift);
        }
    }

    /// The index before the first entry in memory, and the entries in memory.
    pub fn entries(&self) -> (u64, impl Iterator<Item = &Entry>) {
        let base = self.log.base();
        (base, (base + 1..=self.log.last()).map_while(|index| self.log.get(index)))
    }

    /// The entry at `index`, if it is in memory.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index)
    }
}

impl Hash for Consensus {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Everything but the random generator and what never changes.
        (&self.me, self.now, self.hard, &self.log, &self.disk, self.commit, self.delivered).hash(state);
        (&self.role, &self.leader, self.leader_contact_at, self.leaderless_since, self.election_deadline)
            .hash(state);
        (
            &self.restart_lease,
            self.fast_retries,
            &self.exclusions,
            &self.requested_host,
            &self.departing,
            self.leaving,
            self.next_leave_at,
            self.may_stop,
        )
            .hash(state);
        (self.verified_index, self.round, self.pending_reply, &self.pending_vote, &self.known_hosts)
            .hash(state);
        (self.next_join_at, self.redirect_followed_at, self.next_read_ticket, &self.outputs).hash(state);
    }
}
