//! Keyed operations (requests with an idempotency key): a gateway claims an operation at the leader before it sends the
//! request to a server. Other gateways that receive a repeat ask the holder of the claim for the outcome.
//!
//! ```text
//! gateway ── ClaimCall ──> leader        Granted: run the operation.  Held: another process has claimed it.
//! gateway ── RecallCall ──> holder       outcome of the operation, with the answer of the first run
//! ```
//!
//! An operation is identified by a digest of its tenant and its key, so that neither leaves the client's region.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

/// Identifies an operation: digest of its tenant and its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u128);

impl fmt::Display for OperationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl Serialize for OperationId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for OperationId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<OperationId, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom)
    }
}

impl FromStr for OperationId {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<OperationId, &'static str> {
        let is_well_formed = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = is_well_formed.then(|| u128::from_str_radix(text, 16).ok()).flatten();
        number.map(OperationId).ok_or("wants 32 hexadecimal digits")
    }
}

impl OperationId {
    /// The id of the operation with this key; `tenant` is `None` on routes that need no API key.
    pub fn of(tenant: Option<&str>, key: &str) -> OperationId {
        let mut hasher = SipHasher13::new();
        hasher.write(&[u8::from(tenant.is_some())]);
        // Each text is preceded by its length, so that different pairs of texts never give the same bytes.
        for text in [tenant.unwrap_or_default(), key] {
            hasher.write(&(text.len() as u64).to_le_bytes());
            hasher.write(text.as_bytes());
        }
        OperationId(hasher.finish128().as_u128())
    }
}

/// The gateway process that claimed an operation, and the number of the claim within that process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// IP address of the gateway's machine; it answers [`RecallCall`]s on the first internal port.
    #[serde(rename = "h")]
    pub host: std::net::Ipv4Addr,
    /// Random number drawn at the start of the gateway's process.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Increases with each claim of this incarnation.
    #[serde(rename = "n")]
    pub number: u64,
}

/// A gateway asks to run an operation. The call is idempotent: sent again unchanged, it has the same result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCall {
    /// The operation to claim.
    #[serde(rename = "o")]
    pub operation: OperationId,
    /// The caller.
    #[serde(rename = "c")]
    pub claimant: Claimant,
    /// The claim to take over, if any: its holder has answered that no server ran the operation and that it has
    /// released the claim.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub released: Option<Claimant>,
}

/// Result of a [`ClaimCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The claim is on the disks of a majority: only the caller may run the operation.
    Granted,
    /// This other claim was granted before.
    Held(Claimant),
    /// The table of operations is full: the claim was not granted.
    Full,
}

/// Asks the holder of a claim for the outcome of the operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallCall {
    /// The claimed operation.
    #[serde(rename = "o")]
    pub operation: OperationId,
    /// The claim, as the leader reported it in [`ClaimAnswer::Held`].
    #[serde(rename = "c")]
    pub claimant: Claimant,
    /// Digest of the repeated request: a different request under the same key must not get the answer of the first.
    #[serde(rename = "f")]
    pub request_digest: u64,
}

/// The holder's answer on the outcome of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecallAnswer {
    /// A server may still be processing it.
    #[serde(rename = "at_work")]
    InProgress,
    /// No server ran it and the holder will never use this claim: the claim may be taken over.
    Released,
    /// A server ran it and the client received this answer.
    Answered(KeptAnswer),
    /// A server may have run it, but no answer was received or the answer is no longer stored. It must not run again.
    InDoubt,
    /// The key was used for a different request.
    OtherRequest,
}

/// A server's answer, stored for repeats of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status code.
    #[serde(rename = "s")]
    pub status: u16,
    /// Headers that are sent to the client, except `X-Attempt-Id`.
    #[serde(rename = "h")]
    pub headers: Vec<(String, String)>,
    /// The body in base64.
    #[serde(rename = "b")]
    pub body: String,
}
