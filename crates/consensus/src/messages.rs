//! Messages between members.

use crate::entry::{Entry, Snapshot};
use nickeljunction_messages::{Member, MemberId};
use serde::{Deserialize, Serialize};

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// A message to one member, or to any member at a host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    #[serde(rename = "f")]
    pub from: Member,
    /// The receiving member; 0: any member at the host.
    #[serde(rename = "t")]
    pub to: MemberId,
    /// The sender's term.
    #[serde(rename = "n")]
    pub term: u64,
    /// The message itself.
    #[serde(rename = "m")]
    pub msg: Msg,
}

impl Envelope {
    /// Approximate size in bytes.
    pub fn size(&self) -> usize {
        let payload = match &self.msg {
            Msg::Append { entries, .. } => entries.iter().map(Entry::size).sum(),
            Msg::InstallSnapshot { snapshot, .. } => snapshot.state.len(),
            _ => 0,
        };
        128 + payload
    }
}

/// A message between members.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Msg {
    /// Asks whether the receiver would vote for the sender in the term after the sender's. Changes nothing at the
    /// receiver.
    #[serde(rename = "p")]
    PreVote {
        /// Index of the sender's last entry.
        #[serde(rename = "i")]
        last_index: u64,
        /// Term of that entry.
        #[serde(rename = "t")]
        last_term: u64,
    },
    /// Reply to [`Msg::PreVote`].
    #[serde(rename = "P")]
    PreVoteReply {
        /// The term in which the pre-vote was requested.
        #[serde(rename = "a")]
        asked_term: u64,
        /// The sender would vote for the receiver.
        #[serde(rename = "y")]
        granted: bool,
        /// If the sender neither leads nor follows anyone: the checksum of the members in its log; else 0.
        #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
        free_checksum: u64,
    },
    /// Asks for a vote in the sender's term.
    #[serde(rename = "v")]
    RequestVote {
        /// Index of the sender's last entry.
        #[serde(rename = "i")]
        last_index: u64,
        /// Term of that entry.
        #[serde(rename = "t")]
        last_term: u64,
    },
    /// Reply to [`Msg::RequestVote`].
    #[serde(rename = "V")]
    VoteReply {
        /// The sender voted for the receiver.
        #[serde(rename = "y")]
        granted: bool,
    },
    /// The leader's heartbeat, with entries that the receiver's log is missing.
    #[serde(rename = "a")]
    Append {
        /// Index of the entry before `entries`.
        #[serde(rename = "p")]
        prev_index: u64,
        /// Term of that entry.
        #[serde(rename = "q")]
        prev_term: u64,
        /// The entries that follow it.
        #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
        entries: Vec<Entry>,
        /// The leader's commit index.
        #[serde(rename = "c")]
        commit: u64,
        /// Number of the heartbeat round.
        #[serde(rename = "r")]
        round: u64,
    },
    /// A snapshot, for a log that ends before the leader's begins.
    #[serde(rename = "s")]
    InstallSnapshot {
        /// The leader's newest snapshot.
        #[serde(rename = "s")]
        snapshot: Box<Snapshot>,
        /// Number of the heartbeat round.
        #[serde(rename = "r")]
        round: u64,
    },
    /// Reply to [`Msg::Append`] and [`Msg::InstallSnapshot`]: the sender's disk has the leader's log up to `index`.
    #[serde(rename = "k")]
    AppendReply {
        /// Last index on the sender's disk; in a rejection, the index up to which the logs may agree.
        #[serde(rename = "i")]
        index: u64,
        /// The newest round that the sender received.
        #[serde(rename = "r")]
        round: u64,
        /// Set in a rejection: the `prev_index` of the append, which the sender's log doesn't have.
        #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
        rejected: Option<u64>,
    },
    /// Asks to be made a member. Goes to any member at a host.
    #[serde(rename = "j")]
    Join,
    /// Says that the sender doesn't lead and names the leader that it knows of. Goes to a machine that asked to join
    /// or is no longer a member.
    #[serde(rename = "l")]
    Redirect {
        /// The leader.
        #[serde(rename = "l")]
        leader: Member,
    },
    /// From a leader: it no longer leads, and the receiver need not wait for it. From another member: it is about to
    /// stop. From a leader to a member that is about to stop: it may do so.
    #[serde(rename = "z")]
    Resign,
}
