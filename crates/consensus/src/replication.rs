//! The leader's log gets to the others: appends, snapshots, answers, commits, and reads that a majority vouches for.

use crate::log::Log;
use crate::machine::{Consensus, Owed, Role};
use crate::messages::{Body, Entry, Envelope, Msg, ReadTicket, Snapshot};
use nickeljunction_messages::{Member, MemberId};
use std::collections::VecDeque;

/// Entries of one message, bytes; one entry goes out however large it is.
const BATCH_BYTES: usize = 4 * 1024;
/// Entries that may be on their way to a member at a time, bytes. What it says next, a heartbeat's answer too, comes after
/// these: over a thin line (0.4 Mbit/s) they must take less than the shortest election time, by which leases end.
const FLIGHT_BYTES: usize = 2 * BATCH_BYTES;
/// Messages with entries that may be unanswered at a time, by member.
const WINDOW: usize = 16;
/// Rounds whose start is remembered.
const ROUNDS_KEPT: usize = 64;
/// A snapshot that wasn't answered is sent again after this time, ms, if the member was heard since.
const SNAPSHOT_AGAIN_MS: u64 = 500;

/// How entries go out to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mode {
    /// As they come, without waiting for answers.
    Flow,
    /// Not at all before it has answered an empty append.
    Probe,
    /// A snapshot has to go first; when it was last sent.
    Snapshot(Option<u64>),
}

/// Another member, or one that would be, as its leader sees it.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// It isn't a member and doesn't count.
    pub(crate) learner: bool,
    /// The next entry to send; what precedes it is taken to be there.
    next: u64,
    /// Where `next` goes back to when it falls silent before it has vouched for anything.
    guess: u64,
    /// Its disk has the leader's log up to here.
    matched: u64,
    /// The newest round in which it said so.
    vouched: u64,
    mode: Mode,
    /// Last entry of each message that is unanswered, and its bytes.
    unanswered: VecDeque<(u64, usize)>,
    /// The newest round that it answered, and when that was begun.
    round: u64,
    acked_at: Option<u64>,
    /// Since when it is one.
    since: u64,
    /// An empty append is due at once.
    poke: bool,
}

impl Peer {
    fn new(member: Member, learner: bool, next: u64, since: u64) -> Peer {
        Peer {
            member,
            learner,
            next,
            guess: next,
            matched: 0,
            vouched: 0,
            mode: if learner { Mode::Probe } else { Mode::Flow },
            unanswered: VecDeque::new(),
            round: 0,
            acked_at: None,
            since,
            poke: learner,
        }
    }

    /// It was there at this time, or had not been asked before it.
    pub(crate) fn heard_at(&self) -> u64 {
        self.acked_at.unwrap_or(self.since)
    }

    /// Its disk has the leader's log up to here, as far as it said so.
    pub(crate) fn matched(&self) -> u64 {
        self.matched
    }

    /// It answered, and keeps all up to `index`.
    pub(crate) fn keeps(&self, index: u64) -> bool {
        self.acked_at.is_some() && self.matched >= index
    }

    /// It (again) knows nothing of what is sent to it.
    pub(crate) fn probe(&mut self) {
        self.mode = Mode::Probe;
        self.next = self.guess.max(self.matched + 1);
        self.unanswered.clear();
    }

    /// Probes it at once.
    pub(crate) fn poke(&mut self) {
        self.probe();
        self.poke = true;
    }

    /// More entries may be on their way to it.
    fn may_send(&self) -> bool {
        let bytes: usize = self.unanswered.iter().map(|(_, bytes)| bytes).sum();
        self.unanswered.len() < WINDOW && bytes < FLIGHT_BYTES
    }

    /// The messages that are due to it; `beat`: one at least, empty if need be.
    fn due(&mut self, log: &Log, commit: u64, round: u64, now: u64, beat: bool) -> Vec<Msg> {
        let mut due = Vec::new();
        // Looked at with a full window, too: where all of it was lost, no entry that is still there follows on what the
        // member has, and an empty append would have nothing to be refused by.
        if self.mode == Mode::Flow && log.term(self.next - 1).is_none() {
            self.mode = Mode::Snapshot(None);
            self.unanswered.clear();
        }
        if self.mode == Mode::Flow {
            while self.next <= log.last() && self.may_send() {
                let prev = self.next - 1;
                let Some(prev_term) = log.term(prev) else {
                    self.mode = Mode::Snapshot(None);
                    self.unanswered.clear();
                    break;
                };
                let entries = log.some(self.next, log.last(), guard!(LargeBatches, BATCH_BYTES, 1));
                self.next += entries.len() as u64;
                self.unanswered.push_back((self.next - 1, entries.iter().map(Entry::size).sum()));
                due.push(Msg::Append { prev, prev_term, entries, commit, round });
            }
        }
        if let (Mode::Snapshot(sent), Some(snapshot)) = (self.mode, log.snapshot()) {
            let again = |at: u64| beat && now >= at + SNAPSHOT_AGAIN_MS && self.heard_at() > at;
            if sent.is_none_or(again) {
                self.mode = Mode::Snapshot(Some(now));
                due.push(Msg::Snap { snapshot: Box::new(snapshot.clone()), round });
            }
        }
        if due.is_empty() && (beat || self.poke) {
            // Where the entry before the next is forgotten, the beginning will do: there all logs agree.
            let prev = self.next - 1;
            let known = log.term(prev).filter(|_| !matches!(self.mode, Mode::Snapshot(_)));
            let (prev, prev_term) = known.map_or((0, 0), |term| (prev, term));
            due.push(Msg::Append { prev, prev_term, entries: Vec::new(), commit, round });
        }
        self.poke = false;
        due
    }

    /// It has (on its disk) all up to `index`, it said in `round`.
    fn accepted(&mut self, index: u64, round: u64, base: u64) {
        self.matched = self.matched.max(index);
        self.vouched = self.vouched.max(round);
        while self.unanswered.front().is_some_and(|(last, _)| *last <= self.matched) {
            self.unanswered.pop_front();
        }
        if self.mode == Mode::Probe || (matches!(self.mode, Mode::Snapshot(_)) && self.matched >= base) {
            self.mode = Mode::Flow;
        }
        self.next = self.next.max(self.matched + 1);
    }

    /// It hasn't the entry `prev`, it said in `round`; the logs may agree at `hint`.
    fn refused(&mut self, prev: u64, hint: u64, round: u64) {
        if prev <= self.matched && round > self.vouched {
            // Said after it had vouched for this very entry: its disk forgot. It counts for what it has now, and is
            // taught the rest again.
            self.matched = hint.min(prev - 1);
        }
        let stale = prev <= self.matched
            || matches!(self.mode, Mode::Snapshot(_))
            || (self.mode == Mode::Probe && prev != self.next - 1);
        if !stale {
            self.guess = hint.min(prev - 1).max(self.matched) + 1;
            self.poke();
        }
    }
}

/// A read that waits.
#[derive(Debug, Clone, Hash)]
pub(crate) struct PendingRead {
    pub(crate) ticket: ReadTicket,
    /// What must be committed.
    pub(crate) index: u64,
    /// Which round must be answered by a majority.
    pub(crate) round: u64,
}

/// What only a leader knows.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Lead {
    /// When it asked for the votes that it leads by.
    since: u64,
    /// The first entry of its own term.
    pub(crate) start: u64,
    pub(crate) peers: Vec<Peer>,
    /// The newest round, and when the last ones were begun.
    pub(crate) round: u64,
    rounds: VecDeque<(u64, u64)>,
    beat_at: u64,
    /// A round is due at once.
    pub(crate) want_round: bool,
    /// The last entry that was there when messages last went out.
    shown: u64,
    pub(crate) reads: VecDeque<PendingRead>,
    proposed: VecDeque<u64>,
}

impl Lead {
    pub(crate) fn new(since: u64, start: u64, now: u64, others: Vec<Member>) -> Lead {
        Lead {
            since,
            start,
            peers: others.into_iter().map(|member| Peer::new(member, false, start, since)).collect(),
            round: 0,
            rounds: VecDeque::new(),
            beat_at: now,
            want_round: true,
            shown: start - 1,
            reads: VecDeque::new(),
            proposed: VecDeque::new(),
        }
    }

    /// When the next heartbeat is due.
    pub(crate) fn beat_at(&self) -> u64 {
        self.beat_at
    }

    /// Remembers that the entry was proposed here.
    pub(crate) fn proposed(&mut self, index: u64) {
        self.proposed.push_back(index);
    }

    /// The proposals and reads that stay open.
    pub(crate) fn give_up(self) -> (VecDeque<u64>, Vec<ReadTicket>) {
        (self.proposed, self.reads.into_iter().map(|read| read.ticket).collect())
    }

    /// All members that answered since then keep the entry.
    pub(crate) fn reachable_keep(&self, since: u64, index: u64) -> bool {
        let reachable = |peer: &&Peer| !peer.learner && peer.acked_at.is_some_and(|at| at >= since);
        self.peers.iter().filter(reachable).all(|peer| peer.matched >= index)
    }

    /// The peer with this number.
    pub(crate) fn peer(&self, id: MemberId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.member.id == id)
    }

    /// Begins to teach a machine that isn't a member; `last` is the log's last entry.
    pub(crate) fn teach(&mut self, member: Member, last: u64, now: u64) {
        self.peers.push(Peer::new(member, true, last + 1, now));
    }
}

impl Consensus {
    /// The value that more than half of the members reach, of each list that holds, by `of` for the others and `mine` for
    /// this one.
    fn by_majority<T: Ord + Copy>(&self, mine: T, least: T, of: impl Fn(&Peer) -> T) -> T {
        let Role::Leading(lead) = &self.role else { return least };
        let value = |member: &Member| {
            if member.id == self.me.id {
                mine
            } else {
                lead.peer(member.id).map_or(least, &of)
            }
        };
        let reached = |list: &[Member]| {
            let mut values: Vec<T> = list.iter().map(value).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(list.len() / 2).copied().unwrap_or(least)
        };
        let lists = self.log.lists();
        lists.take(guard!(JointMajorities, 2, 1)).map(reached).min().unwrap_or(least)
    }

    /// When the newest round that a majority answered was begun.
    pub(crate) fn quorum_at(&self, now: u64) -> Option<u64> {
        self.by_majority(Some(now), None, |peer| peer.acked_at)
    }

    /// Steps down where no majority was heard for the longest election time: others may have elected a successor.
    pub(crate) fn check_quorum(&mut self) {
        let Role::Leading(lead) = &self.role else { return };
        let heard = self.quorum_at(self.now).map_or(lead.since, |at| at.max(lead.since));
        if self.now > heard + self.tuning.election_max_ms {
            self.follow(self.hard.term);
        }
    }

    /// A new leader's first entry.
    pub(crate) fn open_term(&mut self) {
        self.append(Body::Empty);
    }

    /// Adds an entry of its own.
    pub(crate) fn append(&mut self, body: Body) {
        let index = self.log.last() + 1;
        self.log.push(Entry { index, term: self.hard.term, body });
    }

    /// Sends what is due to each member and learner.
    pub(crate) fn replicate(&mut self) {
        let Role::Leading(lead) = &mut self.role else { return };
        let (now, last) = (self.now, self.log.last());
        for peer in &mut lead.peers {
            // What is sent to one that doesn't answer is lost, most likely: it is asked first.
            if peer.mode == Mode::Flow && now > peer.heard_at() + self.tuning.election_min_ms {
                peer.probe();
            }
        }
        let beat = lead.want_round || now >= lead.beat_at;
        let news = lead.shown < last;
        if beat || news {
            lead.round += 1;
            lead.rounds.push_back((lead.round, now));
            if lead.rounds.len() > ROUNDS_KEPT {
                lead.rounds.pop_front();
            }
            // Entries are a heartbeat too, where all get them.
            if beat || lead.peers.iter().all(|peer| peer.mode == Mode::Flow) {
                lead.beat_at = now + self.tuning.heartbeat_ms;
            }
            lead.want_round = false;
            lead.shown = last;
        }
        for peer in &mut lead.peers {
            for msg in peer.due(&self.log, self.commit, lead.round, now, beat) {
                let envelope =
                    Envelope { from: self.me.clone(), to: peer.member.id, term: self.hard.term, msg };
                self.out.send.push((peer.member.host.clone(), envelope));
            }
        }
    }

    /// Entries from the leader of this term.
    pub(crate) fn on_append(&mut self, prev: u64, prev_term: u64, entries: Vec<Entry>, commit: u64) {
        if guard!(SickTakesNothing, self.disk.sick(), false) {
            return;
        }
        let base = self.log.base();
        if entries.iter().zip(prev + 1..).any(|(entry, index)| entry.index != index) {
            // Not a leader's message.
            return;
        }
        // What is committed every leader's log has.
        if prev > self.commit && guard!(LogsMatch, self.log.term(prev) != Some(prev_term), false) {
            let hint = match self.log.term(prev) {
                None => self.log.last(),
                Some(_) => self.log.run_start(prev, self.commit) - 1,
            };
            self.owed = Owed::Refusal { prev, hint: hint.max(self.commit.min(prev - 1)) };
            return;
        }
        let mut upto = prev.max(self.commit);
        let mut added = false;
        for entry in entries {
            if entry.index <= base {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if guard!(TermsMatch, term == entry.term, true) => {}
                Some(_) if guard!(CommittedStays, entry.index <= self.commit, false) => return,
                known => {
                    if known.is_some() {
                        self.log.truncate(entry.index);
                        self.disk.truncated(entry.index);
                    }
                    if entry.index != self.log.last() + 1 {
                        return;
                    }
                    upto = upto.max(entry.index);
                    self.log.push(entry);
                    added = true;
                    continue;
                }
            }
            upto = upto.max(entry.index);
        }
        self.verified = self.verified.max(upto);
        self.commit = self.commit.max(guard!(CommitVerified, commit.min(self.verified), commit));
        // New entries are answered for when they are on the disk.
        if !added {
            self.owed = Owed::Kept;
        } else if matches!(self.owed, Owed::Refusal { .. }) {
            self.owed = Owed::Nothing;
        }
    }

    /// A snapshot from the leader of this term.
    pub(crate) fn on_snap(&mut self, snapshot: Snapshot) {
        if self.disk.sick() {
            return;
        }
        let index = snapshot.index;
        if guard!(SnapshotAhead, index > self.commit, true) {
            let stays = self.log.install(snapshot.clone());
            self.disk.installed(index, stays, self.commit);
            self.commit = index;
            self.delivered = index;
            self.out.committed.clear();
            self.out.restored_state = Some(snapshot);
        }
        self.verified = self.verified.max(index);
        self.owed = Owed::Kept;
    }

    /// A member's or a learner's answer.
    pub(crate) fn on_kept(&mut self, from: MemberId, index: u64, round: u64, refused: Option<u64>) {
        let (base, last) = (self.log.base(), self.log.last());
        let Role::Leading(lead) = &mut self.role else { return };
        let begun = lead.rounds.iter().find(|(number, _)| *number == round).map(|(_, at)| *at);
        let Some(peer) = lead.peers.iter_mut().find(|peer| peer.member.id == from) else { return };
        peer.round = peer.round.max(round);
        peer.acked_at = peer.acked_at.max(guard!(RoundBegun, begun, Some(self.now)));
        match refused {
            Some(prev) => peer.refused(prev, index, round),
            None => peer.accepted(guard!(KeptWithinLog, index.min(last), index), round, base),
        }
        self.advance();
        self.govern();
    }

    /// Commits what a majority's disks have, from the first entry of its own term on.
    pub(crate) fn advance(&mut self) {
        let mine = guard!(LeaderSynced, self.disk.stable(), self.log.last());
        let kept = self.by_majority(mine, 0, |peer| peer.matched);
        let own = guard!(OwnTermCommits, self.log.term(kept) == Some(self.hard.term), true);
        if kept > self.commit && own {
            self.commit = kept;
        }
        let commit = self.commit;
        if let Role::Leading(lead) = &mut self.role {
            while lead.proposed.front().is_some_and(|index| *index <= commit) {
                lead.proposed.pop_front();
            }
        }
    }

    /// Lets reads go whose round a majority answered.
    pub(crate) fn settle_reads(&mut self) {
        let Role::Leading(lead) = &self.role else { return };
        let answered = self.by_majority(lead.round, 0, |peer| peer.round);
        let commit = self.commit;
        let Role::Leading(lead) = &mut self.role else { return };
        let fresh = |read: &PendingRead| guard!(ReadConfirmed, read.round <= answered, true);
        while lead.reads.front().is_some_and(|read| fresh(read) && read.index <= commit) {
            self.out.reads.extend(lead.reads.pop_front().map(|read| (read.ticket, true)));
        }
    }
}

/// Of the model's worlds, where a member's clock may be set back as long as all that it remembers goes with it.
#[cfg(feature = "model")]
impl Lead {
    pub(crate) fn map_times(&mut self, to: impl Fn(u64) -> u64) {
        self.since = to(self.since);
        self.beat_at = to(self.beat_at);
        self.rounds.iter_mut().for_each(|(_, at)| *at = to(*at));
        for peer in &mut self.peers {
            peer.since = to(peer.since);
            peer.acked_at = peer.acked_at.map(&to);
            if let Mode::Snapshot(Some(at)) = &mut peer.mode {
                *at = to(*at);
            }
        }
    }
}
