//! Entries of the log, and the snapshot that replaces the oldest ones.

use nickeljunction_messages::Member;
use serde::{Deserialize, Serialize};

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// A new leader's first entry: committing it also commits the entries of earlier terms.
    #[serde(rename = "n")]
    Empty,
    /// Data proposed by the embedding program.
    #[serde(rename = "d")]
    Data(String),
    /// The member list in force from this entry on.
    #[serde(rename = "m")]
    Members(Vec<Member>),
    /// One member replaces another: from this entry on, until the new list alone is appended, every decision takes a
    /// majority of each list (joint consensus).
    #[serde(rename = "j")]
    Joint {
        /// The members before.
        #[serde(rename = "o")]
        old: Vec<Member>,
        /// The members after.
        #[serde(rename = "n")]
        new: Vec<Member>,
    },
}

impl Body {
    /// The member list that this entry leads to, if it changes the membership.
    pub fn members(&self) -> Option<&[Member]> {
        match self {
            Body::Members(members) | Body::Joint { new: members, .. } => Some(members),
            Body::Data(_) | Body::Empty => None,
        }
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, from 1, without gaps.
    #[serde(rename = "i")]
    pub index: u64,
    /// Term of the leader that wrote the entry.
    #[serde(rename = "t")]
    pub term: u64,
    /// Content of the entry.
    #[serde(rename = "b")]
    pub body: Body,
}

impl Entry {
    /// The proposed data, if the entry holds any.
    pub fn data(&self) -> Option<&str> {
        match &self.body {
            Body::Data(data) => Some(data),
            Body::Empty | Body::Members(_) | Body::Joint { .. } => None,
        }
    }

    /// Approximate size in bytes.
    pub(crate) fn size(&self) -> usize {
        32 + match &self.body {
            Body::Empty => 0,
            Body::Data(data) => data.len(),
            Body::Members(members) => size_of_list(members),
            Body::Joint { old, new } => size_of_list(old) + size_of_list(new),
        }
    }
}

fn size_of_list(members: &[Member]) -> usize {
    members.iter().map(|member| 32 + member.host.len()).sum()
}

/// The embedding program's whole state after an entry; replaces all entries up to that one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers; 0: none, it only lists the first members.
    #[serde(rename = "i")]
    pub index: u64,
    /// Term of that entry.
    #[serde(rename = "t")]
    pub term: u64,
    /// The members after that entry.
    #[serde(rename = "m")]
    pub members: Vec<Member>,
    /// The state, opaque to this crate.
    #[serde(rename = "s")]
    pub state: String,
}
