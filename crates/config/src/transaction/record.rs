//! Documents, and the steps of a transaction as the history keeps them.

use super::schedule::Epoch;
use serde::{Deserialize, Serialize};

/// A staged document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its number.
    pub epoch: Epoch,
    /// The confirmed one that it was checked against.
    pub base: Epoch,
    /// Digest of document and files.
    pub digest: String,
    /// Fingerprint of what must agree over the gateways.
    pub fingerprint: String,
    /// That differs from what holds now.
    pub shared: bool,
    /// Who staged it.
    pub who: String,
    /// And why.
    pub why: String,
}

/// How a change is to be applied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Who applied it.
    pub who: String,
    /// Without a confirmation after so long on trial it is taken back, ms.
    pub confirm_within_ms: f64,
    /// Without all gateways after so long it is held, ms.
    pub gather_within_ms: f64,
}

/// A step of a transaction, as the history keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Step {
    /// The first document, in force without a trial.
    Began {
        /// The document.
        change: Change,
    },
    /// Checked, prepared and waiting to be applied.
    Staged {
        /// The document.
        change: Change,
    },
    /// Given up before it was applied.
    Dropped {
        /// Why.
        why: String,
    },
    /// Waits for the other gateways.
    Voting {
        /// How it is applied.
        terms: Terms,
    },
    /// Says yes in this round; recorded before it does.
    Voted {
        /// The round.
        round: u64,
    },
    /// Not all gateways had it in time: staged as before.
    Held {
        /// What was missing.
        why: String,
    },
    /// All gateways have it: the flip is at [`flip_at`].
    Armed {
        /// The round that decided.
        round: u64,
    },
    /// On trial; recorded before it is in force.
    Trial {
        /// Until when, ms.
        until: f64,
        /// The round that decided, with other gateways.
        round: Option<u64>,
        /// The ballots of its first slot were marked ahead.
        marked: bool,
    },
    /// A slot of a trial begins.
    Slot {
        /// Its number.
        slot: u64,
        /// Its ballots were marked ahead.
        marked: bool,
    },
    /// In force for good.
    Confirmed {
        /// Who confirmed it.
        who: String,
    },
    /// The last confirmed document is back.
    RolledBack {
        /// Why.
        why: String,
    },
    /// Nobody can know any more how the vote went: the last confirmed document holds, with the smaller figures.
    InDoubt {
        /// Which vote.
        why: String,
    },
    /// An operator ended the doubt: the last confirmed document's own figures hold.
    Settled {
        /// Who.
        who: String,
    },
}

/// A step with its transaction and time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The document's number.
    pub epoch: Epoch,
    /// When, Unix ms.
    pub at: f64,
    /// What.
    #[serde(flatten)]
    pub step: Step,
}
