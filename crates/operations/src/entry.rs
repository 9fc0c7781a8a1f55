//! Log entries on operations.

use crate::record::{append_claims, decode_claims, decode_takeovers, encode_takeovers, RecordError};
use nickeljunction_messages::{Claimant, OperationId};
use serde::{Deserialize, Serialize};

/// A gateway process asks for the right to run an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The operation.
    pub operation: OperationId,
    /// The gateway process.
    pub claimant: Claimant,
}

/// A claim that replaces a released one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Takeover {
    /// The new claim.
    pub claim: Claim,
    /// The claim to replace: the takeover only applies if it holds the operation.
    pub released: Claimant,
}

/// Claims, and changes of generations that apply after them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "EntryText", into = "EntryText")]
pub struct OperationsEntry {
    /// Applied in order: of two claims on one operation, the first is granted.
    pub claims: Vec<Claim>,
    /// Applied in order, after the claims.
    pub takeovers: Vec<Takeover>,
    /// Number of the generation to close; ignored if it isn't the open one.
    pub close: Option<u64>,
    /// Number of the generation to forget; ignored unless it is the oldest one and closed.
    pub forget: Option<u64>,
}

/// Serialized form of an entry.
#[derive(Clone, Serialize, Deserialize)]
struct EntryText {
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    claims: String,
    #[serde(rename = "t", default, skip_serializing_if = "String::is_empty")]
    takeovers: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    close: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    forget: Option<u64>,
}

impl From<OperationsEntry> for EntryText {
    fn from(entry: OperationsEntry) -> EntryText {
        let mut claims = String::new();
        append_claims(&mut claims, &entry.claims);
        let takeovers = encode_takeovers(&entry.takeovers);
        EntryText { claims, takeovers, close: entry.close, forget: entry.forget }
    }
}

impl TryFrom<EntryText> for OperationsEntry {
    type Error = RecordError;

    fn try_from(text: EntryText) -> Result<OperationsEntry, RecordError> {
        Ok(OperationsEntry {
            claims: decode_claims(&text.claims)?,
            takeovers: decode_takeovers(&text.takeovers)?,
            close: text.close,
            forget: text.forget,
        })
    }
}
