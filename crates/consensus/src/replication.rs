//! Replication of the leader's log: appends, snapshots, their replies, commits, and reads confirmed by a majority.

use crate::entry::{Body, Entry, Snapshot};
use crate::leader::PendingRead;
use crate::messages::Envelope;
use crate::peer::Peer;
use crate::state::{Consensus, PendingReply, Role};
use nickeljunction_messages::{Member, MemberId};

impl Consensus {
    /// The largest value that more than half of the members of each list in force have reached. A member's value is
    /// `own_value` for this one, `value_of` its peer for the others, and `least` for one without a peer.
    fn majority_value<T: Ord + Copy>(&self, own_value: T, least: T, value_of: impl Fn(&Peer) -> T) -> T {
        let Role::Leader(leader_state) = &self.role else { return least };
        let value = |member: &Member| {
            if member.id == self.me.id {
                own_value
            } else {
                leader_state.peer(member.id).map_or(least, &value_of)
            }
        };
        let reached = |list: &[Member]| {
            let mut values: Vec<T> = list.iter().map(value).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(list.len() / 2).copied().unwrap_or(least)
        };
        let lists = self.log.member_lists();
        lists.take(guard!(JointMajorities, 2, 1)).map(reached).min().unwrap_or(least)
    }

    /// When the newest round that a majority answered was started.
    pub(crate) fn quorum_contact_at(&self, now: u64) -> Option<u64> {
        self.majority_value(Some(now), None, Peer::acked_at)
    }

    /// Steps down if a majority hasn't answered for the longest election time: a successor may have been elected.
    pub(crate) fn check_quorum(&mut self) {
        let Role::Leader(leader_state) = &self.role else { return };
        let elected_at = leader_state.votes_requested_at();
        let contact_at =
            self.quorum_contact_at(self.now).map_or(elected_at, |contact_at| contact_at.max(elected_at));
        if self.now > contact_at + self.tuning.election_max_ms {
            self.become_follower(self.hard.term);
        }
    }

    /// Appends a new leader's first entry.
    pub(crate) fn append_first_of_term(&mut self) {
        self.append(Body::Empty);
    }

    /// Appends an entry of this leader's term.
    pub(crate) fn append(&mut self, body: Body) {
        let index = self.log.last() + 1;
        self.log.push(Entry { index, term: self.hard.term, body });
    }

    /// Sends the messages that are due to each member and learner.
    pub(crate) fn replicate(&mut self) {
        let Role::Leader(leader_state) = &mut self.role else { return };
        let (now, last_index) = (self.now, self.log.last());
        for peer in &mut leader_state.peers {
            // Entries sent to a silent peer are most likely lost, so it is probed first.
            if peer.is_replicating() && now > peer.last_answer_at() + self.tuning.election_min_ms {
                peer.probe();
            }
        }
        let heartbeat = leader_state.start_round(now, last_index, self.tuning.heartbeat_ms);
        for peer in &mut leader_state.peers {
            for msg in peer.messages_due(&self.log, self.commit, leader_state.round, now, heartbeat) {
                let envelope =
                    Envelope { from: self.me.clone(), to: peer.member.id, term: self.hard.term, msg };
                self.outputs.send.push((peer.member.host.clone(), envelope));
            }
        }
    }

    /// Handles entries from the leader of this term.
    pub(crate) fn on_append(
        &mut self,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        leader_commit: u64,
    ) {
        if guard!(NoAppendWhileDiskFailed, self.disk.has_failed(), false) {
            return;
        }
        let base = self.log.base();
        if entries.iter().zip(prev_index + 1..).any(|(entry, index)| entry.index != index) {
            // The indexes have gaps: no leader sends such a message.
            return;
        }
        // Committed entries need no check, as every leader's log has them.
        if prev_index > self.commit
            && guard!(PrevEntryMatches, self.log.term(prev_index) != Some(prev_term), false)
        {
            let hint = match self.log.term(prev_index) {
                None => self.log.last(),
                Some(_) => self.log.first_of_term_run(prev_index, self.commit) - 1,
            };
            let hint = hint.max(self.commit.min(prev_index - 1));
            self.pending_reply = PendingReply::Rejected { prev_index, hint };
            return;
        }
        let mut verified_index = prev_index.max(self.commit);
        let mut added = false;
        for entry in entries {
            if entry.index <= base {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if guard!(TermsMatch, term == entry.term, true) => {}
                Some(_) if guard!(CommittedNotTruncated, entry.index <= self.commit, false) => return,
                other_term => {
                    if other_term.is_some() {
                        self.log.truncate(entry.index);
                        self.disk.on_truncated(entry.index);
                    }
                    if entry.index != self.log.last() + 1 {
                        return;
                    }
                    verified_index = verified_index.max(entry.index);
                    self.log.push(entry);
                    added = true;
                    continue;
                }
            }
            verified_index = verified_index.max(entry.index);
        }
        self.verified_index = self.verified_index.max(verified_index);
        let commit = guard!(CommitVerified, leader_commit.min(self.verified_index), leader_commit);
        self.commit = self.commit.max(commit);
        // New entries are acknowledged once they are on the disk.
        if !added {
            self.pending_reply = PendingReply::Accepted;
        } else if matches!(self.pending_reply, PendingReply::Rejected { .. }) {
            self.pending_reply = PendingReply::None;
        }
    }

    /// Handles a snapshot from the leader of this term.
    pub(crate) fn on_install_snapshot(&mut self, snapshot: Snapshot) {
        if self.disk.has_failed() {
            return;
        }
        let index = snapshot.index;
        if guard!(SnapshotAhead, index > self.commit, true) {
            let kept_entries = self.log.install(snapshot.clone());
            self.disk.on_snapshot_installed(index, kept_entries, self.commit);
            self.commit = index;
            self.delivered = index;
            self.outputs.committed.clear();
            self.outputs.restored_state = Some(snapshot);
        }
        self.verified_index = self.verified_index.max(index);
        self.pending_reply = PendingReply::Accepted;
    }

    /// Handles the reply of a member or a learner.
    pub(crate) fn on_append_reply(&mut self, from: MemberId, index: u64, round: u64, rejected: Option<u64>) {
        let (base, last_index) = (self.log.base(), self.log.last());
        let Role::Leader(leader_state) = &mut self.role else { return };
        let round_started_at = leader_state.round_started_at(round);
        let Some(peer) = leader_state.peers.iter_mut().find(|peer| peer.member.id == from) else { return };
        peer.record_answer(round, guard!(RoundStarted, round_started_at, Some(self.now)));
        match rejected {
            Some(prev_index) => peer.on_rejected(prev_index, index, round),
            None => peer.on_accepted(guard!(AckWithinLog, index.min(last_index), index), round, base),
        }
        self.advance_commit();
        self.update_membership();
    }

    /// Commits the entries that a majority has on its disks, from the first entry of the leader's own term on.
    pub(crate) fn advance_commit(&mut self) {
        let own_index = guard!(LeaderSynced, self.disk.synced_index(), self.log.last());
        let majority_index = self.majority_value(own_index, 0, Peer::match_index);
        let own_term = guard!(CommitsOwnTerm, self.log.term(majority_index) == Some(self.hard.term), true);
        if majority_index > self.commit && own_term {
            self.commit = majority_index;
        }
        let commit = self.commit;
        if let Role::Leader(leader_state) = &mut self.role {
            leader_state.close_proposals(commit);
        }
    }

    /// Releases the reads whose round a majority has answered and whose index is committed.
    pub(crate) fn settle_reads(&mut self) {
        let Role::Leader(leader_state) = &self.role else { return };
        let answered_round = self.majority_value(leader_state.round, 0, Peer::answered_round);
        let commit = self.commit;
        let Role::Leader(leader_state) = &mut self.role else { return };
        let confirmed = |read: &PendingRead| guard!(ReadConfirmed, read.round <= answered_round, true);
        while leader_state.reads.front().is_some_and(|read| confirmed(read) && read.index <= commit) {
            self.outputs.reads.extend(leader_state.reads.pop_front().map(|read| (read.ticket, true)));
        }
    }
}
