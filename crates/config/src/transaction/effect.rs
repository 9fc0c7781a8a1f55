//! What the machine decides, what it refuses, and what it says of itself.

use super::record::{Change, Record};
use super::schedule::Epoch;
use crate::ballot::Call;
use serde::{Deserialize, Serialize};

/// Plans' figures in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Figures {
    /// Those of one document.
    Of(Epoch),
    /// The smaller ones of two, plan by plan.
    Smaller(Epoch, Epoch),
}

/// What is in force.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct InForce {
    /// All sections but the plans are this document's.
    pub sections: Epoch,
    /// The plans.
    pub plans: Figures,
    /// They hold for windows that begin from then on, ms; negative infinity: for all, at once.
    pub from: f64,
}

/// What the driver is to do, in this order, each whole before the next.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Keep it, durably where there is a disk.
    Record(Record),
    /// Put it in force between two turns of the core loop. Can't fail.
    Force(InForce),
    /// Watch the answers given under this document, or none.
    Watch(Option<Epoch>),
    /// Call the counter; the answer goes to [`Machine::answered`].
    Call(Call),
    /// A line for the log.
    Note(String),
}

/// Why a command can't be carried out.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal(pub String);

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Refusal {}

pub(super) fn refuse<T>(why: impl Into<String>) -> Result<T, Refusal> {
    Err(Refusal(why.into()))
}

/// What the machine is doing, for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The last confirmed document.
    pub confirmed: Epoch,
    /// `idle`, `staged`, `voting`, `armed`, `trial`.
    pub phase: String,
    /// The document under way.
    pub change: Option<Change>,
    /// Why a staged one is held, or what a trial waits for.
    pub note: Option<String>,
    /// When the phase ends by itself, Unix ms.
    pub until: Option<f64>,
    /// The document whose figures may hold at other gateways, while that can't be known.
    pub doubt: Option<Epoch>,
}
